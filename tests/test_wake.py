"""The loop and the parts round the module in a process that stands still: here it sleeps in a callback."""

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
    EndpointsListed,
    Event,
    ListedEndpoint,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
    Sign,
    Stood,
)
from cloverrouter.lab.peers import ok
from cloverrouter.membership.standing import Cause
from cloverrouter.membership.watching import Asking
from cloverrouter.proxy import wake
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.lag import LagMeter
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.proxy.validity import Gate
from cloverrouter.proxy.wake import Loop, data_age_s, wake_of
from tests.test_upstream import SETTINGS, FakeCall, until


def play(scene: Callable[[Loop], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, Loop)
        loop.wake.on_gap.append(lambda gap: None)
        LagMeter(loop)  # with it the loop is at its sockets every 50 ms
        loop.wake.cpu_s = time.process_time()
        await asyncio.sleep(0)
        await scene(loop)

    with asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(run())


class Answerer:
    """A server in a thread of its own, which goes on while the loop stands still."""

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


def told(node: Node, monkeypatch: pytest.MonkeyPatch) -> list[Event]:
    """What the module is told from here on."""
    events: list[Event] = []
    real = Balancer.handle

    def handle(self: Balancer, now_ms: float, batch: list[Event]) -> Any:
        events.extend(batch)
        return real(self, now_ms, batch)

    monkeypatch.setattr(Balancer, "handle", handle)
    return events


def node_with(address: tuple[str, int]) -> Node:
    node = Node(SETTINGS, 1, Upstream(8, 60_000, 1000), lambda: None, lambda error: pytest.fail(str(error)))
    entry = HostEntry(ListedEndpoint("h"), address)
    node.listed(ListKind.RESTORED, HostList(1, True, (entry,)))
    return node


def call_of(loop: Loop, timeout_ms: float) -> FakeCall:
    call = FakeCall(timeout_ms=timeout_ms)
    call.arrived_ms = loop.time() * 1000
    return call


def test_gap_is_noticed_and_told_before_what_came_meanwhile_is_read() -> None:
    async def scene(loop: Loop) -> None:
        ours, theirs = socket.socketpair()
        seen: list[str] = []
        loop.wake.on_gap.append(lambda gap: seen.append(f"gap {gap.cause.value}"))
        loop.add_reader(ours, lambda: seen.append("read") if ours.recv(100) else None)
        loop.call_later(0.2, seen.append, "timer")
        await asyncio.sleep(0.01)
        theirs.send(b"x")
        time.sleep(0.4)
        await asyncio.sleep(0.01)
        assert seen == ["gap stopped", "read", "timer"]
        assert loop.wake.standing.stood_s == pytest.approx(0.4, abs=0.3)
        assert loop.wake.told()["times"] == 1

    play(scene)


def test_wait_that_a_stop_broke_off_reads_before_it_judges() -> None:
    """epoll(7) ends such a wait with nothing, its time being over, though something lies there."""

    async def scene(loop: Loop) -> None:
        ours, theirs = socket.socketpair()
        seen: list[str] = []
        loop.add_reader(ours, lambda: seen.append("read") if ours.recv(100) else None)
        loop.call_later(0.1, seen.append, "timer")
        real, broken = selectors.DefaultSelector.select, [True]

        def select(self: Any, timeout: float | None = None) -> Any:
            if broken and timeout:
                broken.clear()
                time.sleep(0.3)
                theirs.send(b"x")
                return []
            return real(self, timeout)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(selectors.DefaultSelector, "select", select)
            await asyncio.sleep(0.05)
            await asyncio.sleep(0.01)
        assert seen == ["read", "timer"]

    play(scene)


def test_wait_for_the_processor_does_not_end_the_time_to_read_what_came_in_a_gap() -> None:
    """A loop that has something to read all the time, and gets the processor late at each look."""

    async def scene(loop: Loop) -> None:
        ours, theirs = socket.socketpair()
        caught_up: list[float] = []
        real = selectors.DefaultSelector.select

        def select(self: Any, timeout: float | None = None) -> Any:
            found = real(self, timeout)
            time.sleep(4 * wake.WAITED_S)
            return found

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(selectors.DefaultSelector, "select", select)
            patch.setattr(loop.wake.overload, "caught_up", caught_up.append)
            theirs.send(b"x")
            loop.add_reader(ours, lambda: None)
            loop.wake.overload.gap(1.0)
            await asyncio.sleep(0.05)
            assert not caught_up
            loop.remove_reader(ours)
            await asyncio.sleep(0.05)
            assert caught_up

    play(scene)


def test_own_long_step_is_told_from_a_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    # On a busy machine the step gets a part of a core only; a stop uses next to nothing of it.
    monkeypatch.setattr("cloverrouter.membership.standing.OWN_SHARE", 0.03)

    async def scene(loop: Loop) -> None:
        loop.wake.cpu_s = time.process_time()
        until_s = time.process_time() + 0.3
        while time.process_time() < until_s:
            pass
        await asyncio.sleep(0.01)
        assert loop.wake.standing.last is not None and loop.wake.standing.last.cause is Cause.STEP

    play(scene)


def test_time_out_of_what_could_not_be_read_blames_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = node_with(Answerer(30.0, b"").address)
        events = told(node, monkeypatch)
        call = call_of(loop, 300)
        node.arrived(call)
        await asyncio.sleep(0.05)
        time.sleep(0.6)
        await until(lambda: call.given)
        assert call.given == ["failed"]  # it may have run
        ends = [event for event in events if isinstance(event, AttemptEnded)]
        assert [end.outcome for end in ends] == [Outcome.CANCELLED]
        assert any(isinstance(event, Stood) for event in events)
        call = call_of(loop, 300)  # and one that runs out while it is here to see it is a time-out
        node.arrived(call)
        await until(lambda: call.given)
        ends = [event for event in events if isinstance(event, AttemptEnded)]
        assert [end.outcome for end in ends] == [Outcome.CANCELLED, Outcome.TIMEOUT]

    play(scene)


@pytest.mark.parametrize("kernel_tells", [True, False])
def test_answer_that_lay_here_is_not_taken_for_a_slow_one(
    monkeypatch: pytest.MonkeyPatch, kernel_tells: bool
) -> None:
    async def scene(loop: Loop) -> None:
        node = node_with(Answerer(0.1, b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").address)
        events = told(node, monkeypatch)
        if not kernel_tells:
            monkeypatch.setattr("cloverrouter.proxy.server_connection.data_age_s", lambda sock: None)
        call = call_of(loop, 5000)
        node.arrived(call)
        await asyncio.sleep(0.02)
        time.sleep(0.9)
        await until(lambda: call.given)
        assert call.given == [b"x"]
        (end,) = [event for event in events if isinstance(event, AttemptEnded)]
        assert end.outcome is Outcome.OK and end.unsure is not kernel_tells
        if kernel_tells:
            assert 60 <= end.latency_ms <= 500

    play(scene)


def test_what_is_unsure_teaches_the_module_nothing() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(0.0, [EndpointsListed(ListKind.RESTORED, (ListedEndpoint("h"),))])
    endpoint = balancer.membership.endpoints["h"]
    before = endpoint.payoff, endpoint.limit, endpoint.latency_ms, balancer.latencies["unsafe"].seen
    for number, outcome in enumerate((Outcome.OK, Outcome.RESET, Outcome.ERROR), 1):
        actions = balancer.handle(float(number), [RequestArrived(number, "unsafe")])
        assert any(isinstance(action, Send) for action in actions)
        balancer.handle(number + 0.5, [AttemptEnded(number, 0, outcome, 2000.0, unsure=True)])
    after = endpoint.payoff, endpoint.limit, endpoint.latency_ms, balancer.latencies["unsafe"].seen
    assert after == before and endpoint.has_room(10.0)


def test_server_that_owes_answers_is_not_silent_for_a_time_in_which_nobody_listened() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(0.0, [EndpointsListed(ListKind.RESTORED, (ListedEndpoint("h"),))])
    endpoint = balancer.membership.endpoints["h"]
    endpoint.latency_ms = 20.0
    balancer.handle(1.0, [RequestArrived(1, "unsafe")])
    assert endpoint.in_flight and endpoint.silent(2000.0)
    balancer.handle(2000.0, [Stood()])
    assert not endpoint.silent(2010.0) and endpoint.silent(3000.0)


def test_time_of_a_request_that_waited_counts_from_its_arrival() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(0.0, [EndpointsListed(ListKind.RESTORED, (ListedEndpoint("h"),))])
    over = balancer.handle(9000.0, [RequestArrived(1, "unsafe", waited_ms=3000.0)])
    assert [type(action) for action in over] == [Refuse]
    (send,) = balancer.handle(9001.0, [RequestArrived(2, "unsafe", waited_ms=1400.0)])
    assert isinstance(send, Send) and send.timeout_ms == pytest.approx(100.0)


def test_connections_that_ended_one_by_one_are_found_at_once_and_tell_nothing() -> None:
    async def scene(loop: Loop) -> None:
        upstream = Upstream(8, 60_000, 1000)
        signs: list[Sign] = []
        upstream.on_sign = lambda name, sign: signs.append(sign)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        host = ("h", listener.getsockname())
        upstream.keep_only({host})

        async def three() -> list[socket.socket]:
            peers = []
            for _ in range(3):
                upstream.open_ahead(host)
                peers.append((await loop.sock_accept(listener))[0])
            await until(lambda: len(upstream.connections) == 3)
            return peers

        for peer in await three():
            peer.close()
            time.sleep(0.1)
        await until(lambda: not upstream.connections)
        assert not signs
        await asyncio.sleep(2 * wake.WOKE_S)
        for peer in await three():
            peer.close()
        await until(lambda: signs)  # all at one moment: that tells
        assert signs == [Sign.HUNG_UP]

    play(scene)


def test_patience_does_not_count_a_gap() -> None:
    async def scene(loop: Loop) -> None:
        async with loop.wake.patience(0.3):
            await asyncio.sleep(0.01)
            time.sleep(0.5)
            await asyncio.sleep(0.05)
        with pytest.raises(TimeoutError):
            async with loop.wake.patience(0.05):
                await asyncio.sleep(30)

    play(scene)


def test_kernel_that_tells_nothing_is_not_believed() -> None:
    class Led:
        """Sockets that are led elsewhere answer with nothing but zeros, or not at all."""

        def __init__(self, told: bytes | None) -> None:
            self._told = told

        def getsockopt(self, *_: object) -> bytes:
            if self._told is None:
                raise OSError("no such option")
            return self._told

    for given in (None, bytes(56), b"\x01" * 8):
        assert data_age_s(Led(given)) is None  # type: ignore[arg-type]
    assert wake_of(object()).since_s(1e9) is None  # a loop that knows nothing of it is never late


def test_listener_that_closes_takes_in_who_has_connected() -> None:
    async def scene(loop: Loop) -> None:
        node = node_with(("127.0.0.1", 9))
        frontend = Frontend(Gate(node, {}, loop.time), 64)
        address = await frontend.listen(("127.0.0.1", 0))
        clients = [socket.create_connection(address) for _ in range(40)]  # no step of the loop between them
        for client in clients:
            client.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        await frontend.accept_rest()
        frontend.close()
        await until(lambda: not frontend.busy)
        for client in clients:
            assert client.recv(1024).startswith(b"HTTP/1.1 200")

    play(scene)


def test_what_waited_goes_on_by_worth_and_what_is_over_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        node = node_with(("127.0.0.1", 9))
        classes = (RequestClass("cheap", 1500, 3000, worth=1), RequestClass("dear", 1500, 3000, worth=10))
        node.resettle(Settings(classes))
        events = told(node, monkeypatch)
        calls = []
        for number, (name, age_ms) in enumerate(
            [("cheap", 300), ("dear", 100), ("cheap", 200), ("dear", 150), ("dear", 5000)]
        ):
            call = call_of(loop, 1000)
            call.request_id, call.class_name, call.late = b"%d" % number, name, True
            call.arrived_ms -= age_ms
            calls.append(call)
            node.arrived(call)
            assert node.is_open(call.request_id) or call is calls[4]
        assert calls[4].given == ["refused"] and node.busy
        node.gone(calls[2])
        await until(lambda: len([e for e in events if isinstance(e, RequestArrived)]) == 4)
        arrived = [(e.class_name, round(e.waited_ms, -1)) for e in events if isinstance(e, RequestArrived)]
        assert [name for name, _ in arrived] == ["dear", "dear", "dear", "cheap"]
        assert arrived[1][1] > arrived[2][1] and arrived[3][1] >= 300  # of equals, the one that came first

    play(scene)


def test_connection_that_comes_up_after_a_stop_carries_nothing_that_is_over() -> None:
    async def scene(loop: Loop) -> None:
        upstream = Upstream(8, 60_000, 1000)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        host, ends = ("h", listener.getsockname()), list[Outcome]()
        upstream.keep_only({host})
        exchange = upstream.send(host, call_of(loop, 200), 200, lambda outcome, _: ends.append(outcome))
        time.sleep(0.4)
        await until(lambda: ends)
        assert ends == [Outcome.NOT_SENT] and not exchange.written
        peer, _ = await loop.sock_accept(listener)
        with pytest.raises(BlockingIOError):
            peer.recv(1)

    play(scene)


def test_answer_of_discovery_that_comes_as_its_time_is_over_is_taken() -> None:
    """What discovery has written counts as told, also where the proxy gives up in that very step."""

    async def scene(loop: Loop) -> None:
        go = threading.Event()
        answer = ok(b'{"version": 3, "full": true, "servers": []}')
        lists: list[HostList] = []
        failures: list[str] = []
        place = Answerer(lambda: go.wait(), answer).address
        watch = Watch(place, UnixClock(), False, lists.append, lambda: failures.append("lost"))
        watch.asking = Asking(0.2, 0.2)
        watch.start()

        def busy() -> None:
            go.set()
            time.sleep(0.06)  # no gap, but its time is over, and its answer is there

        loop.call_later(0.16, busy)
        await until(lambda: lists or failures)
        watch.stop()
        assert [found.version for found in lists[:1]] == [3] and not failures

    play(scene)


def test_starved_process_does_not_put_off_for_ever() -> None:
    async def scene(loop: Loop) -> None:
        begun_s = loop.time()
        with pytest.raises(TimeoutError):
            async with loop.wake.patience(0.1):
                while loop.time() - begun_s < 10.0:
                    time.sleep(0.09)
                    await asyncio.sleep(0.005)
        assert loop.time() - begun_s < 2.0

    play(scene)


def test_answer_that_takes_more_than_one_read_is_read_before_its_time_out_is_judged() -> None:
    async def scene(loop: Loop) -> None:
        body = b"x" * 65_500  # with its head more than one read brings
        node = node_with(Answerer(0.1, ok(body)).address)
        call = call_of(loop, 300)
        node.arrived(call)
        await asyncio.sleep(0.02)
        time.sleep(0.7)
        await until(lambda: call.given)
        assert call.given == [body]

    play(scene)


def test_discovery_is_not_thought_slow_for_a_stop() -> None:
    async def scene(loop: Loop) -> None:
        answer = ok(b'{"version": 3, "full": true, "servers": []}')
        lists: list[HostList] = []
        watch = Watch(Answerer(0.2, answer).address, UnixClock(), False, lists.append, lambda: None)
        watch.start()
        await asyncio.sleep(0.1)
        time.sleep(1.5)
        await until(lambda: lists)
        watch.stop()
        assert watch.asking._late_s <= 0.8

    play(scene)
