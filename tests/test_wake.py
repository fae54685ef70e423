"""The event loop and the proxy around it in a paused process; a pause is a blocking sleep in a callback."""

from __future__ import annotations

import asyncio
import selectors
import socket
import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from cloverrouter.decide import Balancer
from cloverrouter.interface import (
    AttemptEnded,
    ConnectionSignal,
    EndpointsListed,
    Event,
    ListedEndpoint,
    ListKind,
    Outcome,
    ProcessPaused,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)
from cloverrouter.lab.peers import ok
from cloverrouter.membership.standing import PauseCause
from cloverrouter.membership.watching import WatchSchedule
from cloverrouter.proxy import wake
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.lag import LagMeter
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.proxy.validity import Gate
from cloverrouter.proxy.wake import Loop, data_age_s, pause_detector_of
from tests.test_upstream import SETTINGS, FakeCall, until


def run_scene(scene: Callable[[Loop], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, Loop)
        loop.pause_detector.on_pause.append(lambda gap: None)
        LagMeter(loop)  # its timer makes the loop poll every 50 ms
        loop.pause_detector.cpu_s = time.process_time()
        await asyncio.sleep(0)
        await scene(loop)

    with asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(run())


class ThreadedServer:
    """A server in its own thread, which keeps running while the loop is paused."""

    def __init__(self, after: float | Callable[[], object], answer: bytes) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        self._wait = after if callable(after) else lambda: time.sleep(after)
        self._answer = answer
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._talk, args=(sock,), daemon=True).start()

    def _talk(self, sock: socket.socket) -> None:
        while sock.recv(65536):
            self._wait()
            if self._answer:
                sock.sendall(self._answer)


def record_events(node: Node, monkeypatch: pytest.MonkeyPatch) -> list[Event]:
    """Return a list that collects the events passed to the balancer from now on."""
    events: list[Event] = []
    real = Balancer.handle

    def handle(self: Balancer, now_ms: float, batch: list[Event]) -> Any:
        events.extend(batch)
        return real(self, now_ms, batch)

    monkeypatch.setattr(Balancer, "handle", handle)
    return events


def make_node(address: tuple[str, int]) -> Node:
    node = Node(SETTINGS, 1, Upstream(8, 60_000, 1000), lambda: None, lambda error: pytest.fail(str(error)))
    entry = HostEntry(ListedEndpoint("h"), address)
    node.listed(ListKind.RESTORED, HostList(1, True, (entry,)))
    return node


def make_call(loop: Loop, timeout_ms: float) -> FakeCall:
    call = FakeCall(timeout_ms=timeout_ms)
    call.arrived_ms = loop.time() * 1000
    return call


def test_gap_is_reported_before_data_that_arrived_in_it_is_read() -> None:
    async def scene(loop: Loop) -> None:
        local, peer = socket.socketpair()
        seen: list[str] = []
        loop.pause_detector.on_pause.append(lambda gap: seen.append(f"gap {gap.cause.value}"))
        loop.add_reader(local, lambda: seen.append("read") if local.recv(100) else None)
        loop.call_later(0.2, seen.append, "timer")
        await asyncio.sleep(0.01)
        peer.send(b"x")
        time.sleep(0.4)
        await asyncio.sleep(0.01)
        assert seen == ["gap stopped", "read", "timer"]
        assert loop.pause_detector.pauses.paused_s == pytest.approx(0.4, abs=0.3)
        assert loop.pause_detector.pause_report()["times"] == 1

    run_scene(scene)


def test_poll_interrupted_by_a_pause_reads_before_timers_run() -> None:
    """epoll_wait(2) then returns no events, as its timeout has passed, although data is pending."""

    async def scene(loop: Loop) -> None:
        local, peer = socket.socketpair()
        seen: list[str] = []
        loop.add_reader(local, lambda: seen.append("read") if local.recv(100) else None)
        loop.call_later(0.1, seen.append, "timer")
        real, interrupted = selectors.DefaultSelector.select, [True]

        def select(self: Any, timeout: float | None = None) -> Any:
            if interrupted and timeout:
                interrupted.clear()
                time.sleep(0.3)
                peer.send(b"x")
                return []
            return real(self, timeout)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(selectors.DefaultSelector, "select", select)
            await asyncio.sleep(0.05)
            await asyncio.sleep(0.01)
        assert seen == ["read", "timer"]

    run_scene(scene)


def test_waiting_for_a_cpu_does_not_end_the_recovery_after_a_gap() -> None:
    """A loop that always has something to read, and gets the CPU late after each poll."""

    async def scene(loop: Loop) -> None:
        local, peer = socket.socketpair()
        caught_up: list[float] = []
        real = selectors.DefaultSelector.select

        def select(self: Any, timeout: float | None = None) -> Any:
            found = real(self, timeout)
            time.sleep(4 * wake.BLOCKED_POLL_S)
            return found

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(selectors.DefaultSelector, "select", select)
            patch.setattr(loop.pause_detector.overload, "caught_up", caught_up.append)
            peer.send(b"x")
            loop.add_reader(local, lambda: None)
            loop.pause_detector.overload.record_gap(1.0)
            await asyncio.sleep(0.05)
            assert not caught_up
            loop.remove_reader(local)
            await asyncio.sleep(0.05)
            assert caught_up

    run_scene(scene)


def test_long_step_of_the_loop_is_distinguished_from_a_stopped_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # On a busy machine the step gets only part of a core; a stopped process uses next to no CPU time.
    monkeypatch.setattr("cloverrouter.membership.standing.OWN_CPU_SHARE", 0.03)

    async def scene(loop: Loop) -> None:
        loop.pause_detector.cpu_s = time.process_time()
        until_s = time.process_time() + 0.3
        while time.process_time() < until_s:
            pass
        await asyncio.sleep(0.01)
        assert (
            loop.pause_detector.pauses.last is not None
            and loop.pause_detector.pauses.last.cause is PauseCause.STEP
        )

    run_scene(scene)


def test_timeout_that_expired_in_a_pause_is_not_attributed_to_the_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        node = make_node(ThreadedServer(30.0, b"").address)
        events = record_events(node, monkeypatch)
        call = make_call(loop, 300)
        node.call_received(call)
        await asyncio.sleep(0.05)
        time.sleep(0.6)
        await until(lambda: call.given)
        assert call.given == ["failed"]  # it may have run
        ends = [event for event in events if isinstance(event, AttemptEnded)]
        assert [end.outcome for end in ends] == [Outcome.CANCELLED]
        assert any(isinstance(event, ProcessPaused) for event in events)
        call = make_call(loop, 300)  # one that expires without a pause is a timeout
        call.request_id = b"another request"
        node.call_received(call)
        await until(lambda: call.given)
        ends = [event for event in events if isinstance(event, AttemptEnded)]
        assert [end.outcome for end in ends] == [Outcome.CANCELLED, Outcome.TIMEOUT]

    run_scene(scene)


@pytest.mark.parametrize("kernel_reports", [True, False])
def test_answer_that_was_pending_in_a_pause_is_not_recorded_as_slow(
    monkeypatch: pytest.MonkeyPatch, kernel_reports: bool
) -> None:
    async def scene(loop: Loop) -> None:
        node = make_node(ThreadedServer(0.1, b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").address)
        events = record_events(node, monkeypatch)
        if not kernel_reports:
            monkeypatch.setattr("cloverrouter.proxy.server_connection.data_age_s", lambda sock: None)
        call = make_call(loop, 5000)
        node.call_received(call)
        await asyncio.sleep(0.02)
        time.sleep(0.9)
        await until(lambda: call.given)
        assert call.given == [b"x"]
        (end,) = [event for event in events if isinstance(event, AttemptEnded)]
        assert end.outcome is Outcome.OK and end.latency_unreliable is not kernel_reports
        if kernel_reports:
            assert 60 <= end.latency_ms <= 500

    run_scene(scene)


def test_attempts_with_unreliable_latency_do_not_update_the_balancer() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(0.0, [EndpointsListed(ListKind.RESTORED, (ListedEndpoint("h"),))])
    endpoint = balancer.membership.endpoints["h"]
    before = endpoint.payoff, endpoint.limit, endpoint.latency_ms, balancer.latencies["unsafe"].count
    for number, outcome in enumerate((Outcome.OK, Outcome.RESET, Outcome.ERROR), 1):
        actions = balancer.handle(float(number), [RequestArrived(number, "unsafe")])
        assert any(isinstance(action, Send) for action in actions)
        balancer.handle(number + 0.5, [AttemptEnded(number, 0, outcome, 2000.0, latency_unreliable=True)])
    after = endpoint.payoff, endpoint.limit, endpoint.latency_ms, balancer.latencies["unsafe"].count
    assert after == before and endpoint.has_capacity(10.0)


def test_pause_does_not_make_a_server_with_requests_in_flight_unresponsive() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(0.0, [EndpointsListed(ListKind.RESTORED, (ListedEndpoint("h"),))])
    endpoint = balancer.membership.endpoints["h"]
    endpoint.latency_ms = 20.0
    balancer.handle(1.0, [RequestArrived(1, "unsafe")])
    assert endpoint.in_flight and endpoint.unresponsive(2000.0)
    balancer.handle(2000.0, [ProcessPaused()])
    assert not endpoint.unresponsive(2010.0) and endpoint.unresponsive(3000.0)


def test_deadline_of_a_delayed_request_counts_from_its_arrival() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(0.0, [EndpointsListed(ListKind.RESTORED, (ListedEndpoint("h"),))])
    expired = balancer.handle(9000.0, [RequestArrived(1, "unsafe", waited_ms=3000.0)])
    assert [type(action) for action in expired] == [Refuse]
    (send,) = balancer.handle(9001.0, [RequestArrived(2, "unsafe", waited_ms=1400.0)])
    assert isinstance(send, Send) and send.timeout_ms == pytest.approx(100.0)


def test_connections_closed_one_by_one_in_a_pause_give_no_signal() -> None:
    async def scene(loop: Loop) -> None:
        upstream = Upstream(8, 60_000, 1000)
        signals: list[ConnectionSignal] = []
        upstream.on_signal = lambda name, signal: signals.append(signal)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        host = ("h", listener.getsockname())
        upstream.keep_only({host})

        async def three_connections() -> list[socket.socket]:
            peers = []
            for _ in range(3):
                upstream.preconnect(host)
                peers.append((await loop.sock_accept(listener))[0])
            await until(lambda: len(upstream.connections) == 3)
            return peers

        for peer in await three_connections():
            peer.close()
            time.sleep(0.1)
        await until(lambda: not upstream.connections)
        assert not signals
        await asyncio.sleep(2 * wake.JUST_RESUMED_S)
        for peer in await three_connections():
            peer.close()
        await until(lambda: signals)  # all closed at once: the signal is given
        assert signals == [ConnectionSignal.CLOSED_BY_PEER]

    run_scene(scene)


def test_timeout_that_expires_in_a_gap_is_extended() -> None:
    async def scene(loop: Loop) -> None:
        async with loop.pause_detector.timeout_excluding_pauses(0.3):
            await asyncio.sleep(0.01)
            time.sleep(0.5)
            await asyncio.sleep(0.05)
        with pytest.raises(TimeoutError):
            async with loop.pause_detector.timeout_excluding_pauses(0.05):
                await asyncio.sleep(30)

    run_scene(scene)


def test_data_age_is_unknown_if_the_kernel_does_not_report_it() -> None:
    class RedirectedSocket:
        """Redirected or emulated sockets return all zeros, or fail."""

        def __init__(self, info: bytes | None) -> None:
            self._info = info

        def getsockopt(self, *_: object) -> bytes:
            if self._info is None:
                raise OSError("no such option")
            return self._info

    for given in (None, bytes(56), b"\x01" * 8):
        assert data_age_s(RedirectedSocket(given)) is None  # type: ignore[arg-type]
    assert pause_detector_of(object()).waiting_since_s(1e9) is None  # without a `Loop`, no data is late


def test_closing_listener_accepts_queued_connections() -> None:
    async def scene(loop: Loop) -> None:
        node = make_node(("127.0.0.1", 9))
        frontend = Frontend(Gate(node, {}, loop.time), 64)
        address = await frontend.listen(("127.0.0.1", 0))
        clients = [socket.create_connection(address) for _ in range(40)]  # without a loop step in between
        for client in clients:
            client.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        await frontend.accept_queued()
        frontend.close()
        await until(lambda: not frontend.busy)
        for client in clients:
            assert client.recv(1024).startswith(b"HTTP/1.1 200")

    run_scene(scene)


def test_delayed_requests_are_dispatched_by_worth_and_expired_ones_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        node = make_node(("127.0.0.1", 9))
        classes = (RequestClass("cheap", 1500, 3000, worth=1), RequestClass("dear", 1500, 3000, worth=10))
        node.apply_settings(Settings(classes))
        events = record_events(node, monkeypatch)
        calls = []
        for number, (name, age_ms) in enumerate(
            [("cheap", 300), ("dear", 100), ("cheap", 200), ("dear", 150), ("dear", 5000)]
        ):
            call = make_call(loop, 1000)
            call.request_id, call.class_name, call.is_delayed = b"%d" % number, name, True
            call.arrived_ms -= age_ms
            calls.append(call)
            node.call_received(call)
            assert node.is_open(call.request_id) or call is calls[4]
        assert calls[4].given == ["refused"] and node.busy
        node.disconnected(calls[2])
        await until(lambda: len([e for e in events if isinstance(e, RequestArrived)]) == 4)
        arrived = [(e.class_name, round(e.waited_ms, -1)) for e in events if isinstance(e, RequestArrived)]
        assert [name for name, _ in arrived] == ["dear", "dear", "dear", "cheap"]
        assert arrived[1][1] > arrived[2][1] and arrived[3][1] >= 300  # of equal worth, the earliest first

    run_scene(scene)


def test_connection_established_after_a_pause_does_not_carry_an_expired_request() -> None:
    async def scene(loop: Loop) -> None:
        upstream = Upstream(8, 60_000, 1000)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        host, ends = ("h", listener.getsockname()), list[Outcome]()
        upstream.keep_only({host})
        exchange = upstream.send(host, make_call(loop, 200), 200, lambda outcome, _: ends.append(outcome))
        time.sleep(0.4)
        await until(lambda: ends)
        assert ends == [Outcome.NOT_SENT] and not exchange.written
        peer, _ = await loop.sock_accept(listener)
        with pytest.raises(BlockingIOError):
            peer.recv(1)

    run_scene(scene)


def test_discovery_answer_that_arrives_as_its_timeout_expires_is_accepted() -> None:
    """What discovery has written counts as delivered, even if the timeout expires in the same step."""

    async def scene(loop: Loop) -> None:
        go = threading.Event()
        answer = ok(b'{"version": 3, "full": true, "servers": []}')
        lists: list[HostList] = []
        failures: list[str] = []
        address = ThreadedServer(lambda: go.wait(), answer).address
        watch = Watch(address, UnixClock(), False, lists.append, lambda: failures.append("lost"))
        watch.asking = WatchSchedule(0.2, 0.2)
        watch.start()

        def block_loop() -> None:
            go.set()
            time.sleep(0.06)  # too short for a gap, but the timeout expires, and the answer has arrived

        loop.call_later(0.16, block_loop)
        await until(lambda: lists or failures)
        watch.stop()
        assert [found.version for found in lists[:1]] == [3] and not failures

    run_scene(scene)


def test_starved_process_does_not_extend_timeouts_forever() -> None:
    async def scene(loop: Loop) -> None:
        began_s = loop.time()
        with pytest.raises(TimeoutError):
            async with loop.pause_detector.timeout_excluding_pauses(0.1):
                while loop.time() - began_s < 10.0:
                    time.sleep(0.09)
                    await asyncio.sleep(0.005)
        assert loop.time() - began_s < 2.0

    run_scene(scene)


def test_answer_of_several_reads_is_read_before_its_timeout_is_evaluated() -> None:
    async def scene(loop: Loop) -> None:
        body = b"x" * 65_500  # with the header, more than one read returns
        node = make_node(ThreadedServer(0.1, ok(body)).address)
        call = make_call(loop, 300)
        node.call_received(call)
        await asyncio.sleep(0.02)
        time.sleep(0.7)
        await until(lambda: call.given)
        assert call.given == [body]

    run_scene(scene)


def test_pause_is_not_counted_as_latency_of_discovery() -> None:
    async def scene(loop: Loop) -> None:
        answer = ok(b'{"version": 3, "full": true, "servers": []}')
        lists: list[HostList] = []
        watch = Watch(ThreadedServer(0.2, answer).address, UnixClock(), False, lists.append, lambda: None)
        watch.start()
        await asyncio.sleep(0.1)
        time.sleep(1.5)
        await until(lambda: lists)
        watch.stop()
        assert watch.asking._late_s <= 0.8

    run_scene(scene)
