"""Tests of upstream, node and discovery under conditions that an end-to-end test can't create at will."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Callable

import pytest

from cloverrouter.decide import Balancer
from cloverrouter.interface import (
    EndpointState,
    Idempotency,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestClass,
    Settings,
)
from cloverrouter.lab.peers import LONG_S, Discovery, Host, never, ok
from cloverrouter.membership.watching import WatchSchedule
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock, read_list
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.load_report import read_report
from cloverrouter.proxy.messages import Answer, Call
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.upstream import Upstream

SETTINGS = Settings((RequestClass("unsafe", 1500, 3000, idempotency=Idempotency.UNSAFE),))


class FakeCall(Call):
    def __init__(self, body: bytes = b"", timeout_ms: float | None = 2000) -> None:
        self.method, self.target, self.request_id = b"POST", b"/unsafe", b"1"
        self.arrived_ms = time.monotonic() * 1000
        self.idempotency_key = self.content_type = b""
        self.body, self.class_name, self.tenant, self.key = body, "unsafe", None, None
        self.timeout_ms, self.cost_ms, self.is_retry = timeout_ms, None, False
        self.given: list[object] = []

    def served(self, answer: Answer) -> None:
        self.given.append(answer.body)

    def refused(self, retry_after_ms: float) -> None:
        self.given.append("refused")

    def failed(self) -> None:
        self.given.append("failed")


def full_listener() -> tuple[socket.socket, list[socket.socket]]:
    """A listener with a full accept queue: connects to it do not complete before an `accept`."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)
    return listener, fillers


async def until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(LONG_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_connection_that_never_comes_up_has_not_run() -> None:
    async def scene() -> None:
        listener, _fillers = full_listener()
        ends: list[Outcome] = []
        upstream = Upstream(8, 60_000, 100)
        upstream.send(
            ("h", listener.getsockname()), FakeCall(), 2000, lambda outcome, _: ends.append(outcome)
        )
        await until(lambda: ends)
        assert ends == [Outcome.CONNECT_FAILED]
        await until(lambda: upstream.open == 0)
        listener.close()

    asyncio.run(scene())


def test_attempt_abandoned_while_connecting_is_not_sent() -> None:
    async def scene() -> None:
        listener, _fillers = full_listener()
        upstream = Upstream(8, 60_000, 20_000)
        exchange = upstream.send(
            ("h", listener.getsockname()), FakeCall(), 2000, lambda *_: pytest.fail("ended")
        )
        await asyncio.sleep(0.05)
        assert not exchange.written
        exchange.abandon()
        await until(lambda: upstream.open == 0)
        listener.close()

    asyncio.run(scene())


def test_reset_before_the_last_byte_has_not_run() -> None:
    async def scene() -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen(4)
        listener.setblocking(False)
        ends: list[Outcome] = []
        upstream = Upstream(8, 60_000, 1000)
        call = FakeCall(b"x" * 32_000_000)  # more than the socket buffers of both sides hold
        exchange = upstream.send(
            ("h", listener.getsockname()), call, 2000, lambda outcome, _: ends.append(outcome)
        )
        peer, _ = await asyncio.get_running_loop().sock_accept(listener)
        await asyncio.sleep(0.05)
        assert not exchange.written
        peer.close()  # closing with unread data sends a reset
        await until(lambda: ends)
        assert ends == [Outcome.CONNECT_FAILED]
        listener.close()

    asyncio.run(scene())


def test_reset_after_the_last_byte_may_have_run() -> None:
    async def scene() -> None:
        host = await Host("h", never).start()
        ends: list[Outcome] = []
        upstream = Upstream(8, 60_000, 1000)
        upstream.send(
            ("h", ("127.0.0.1", host.port)), FakeCall(), 2000, lambda outcome, _: ends.append(outcome)
        )
        await host.wait(lambda: len(host.seen) == 1)
        host.open[1].transport.abort()
        await until(lambda: ends)
        assert ends == [Outcome.RESET]

    asyncio.run(scene())


def test_sockets_stay_under_the_limit() -> None:
    async def scene() -> None:
        hosts = [await Host(f"h{i}").start() for i in range(4)]
        upstream = Upstream(2, 60_000, 1000)
        ends: list[Outcome] = []
        for host in hosts:  # idle connections are evicted for the next
            address = host.name, ("127.0.0.1", host.port)
            upstream.send(address, FakeCall(), 2000, lambda outcome, _: ends.append(outcome))
            await until(lambda: len(ends) == sum(len(h.seen) for h in hosts) == hosts.index(host) + 1)  # noqa: B023
        assert ends == [Outcome.OK] * 4
        await until(lambda: upstream.open <= 2)
        hosts[0].respond = never
        for _ in range(3):
            upstream.send(
                ("h0", ("127.0.0.1", hosts[0].port)),
                FakeCall(),
                2000,
                lambda outcome, _: ends.append(outcome),
            )
        await until(lambda: len(ends) == 5)
        assert ends[-1] is Outcome.NOT_SENT

    asyncio.run(scene())


def test_idle_connections_are_closed_well_before_the_host_closes_them() -> None:
    async def scene() -> None:
        host = await Host("h").start()
        upstream = Upstream(8, 200, 1000)
        ends: list[Outcome] = []
        upstream.send(
            ("h", ("127.0.0.1", host.port)), FakeCall(), 2000, lambda outcome, _: ends.append(outcome)
        )
        await until(lambda: ends)
        await host.wait(lambda: not host.open)
        await until(lambda: upstream.open == 0)

    asyncio.run(scene())


# The node


async def node_for(addresses: dict[str, tuple[str, int]], crashes: list[BaseException]) -> Node:
    node = Node(SETTINGS, 1, Upstream(8, 60_000, 20_000), lambda: None, crashes.append)
    entries = tuple(HostEntry(ListedEndpoint(name), address) for name, address in addresses.items())
    node.listed(ListKind.RESTORED, HostList(1, True, entries))
    return node


def test_attempt_still_connecting_when_its_host_drains_is_not_sent() -> None:
    async def scene() -> None:
        listener, _fillers = full_listener()
        crashes: list[BaseException] = []
        node = await node_for({"h": listener.getsockname()}, crashes)
        call = FakeCall()
        node.call_received(call)
        assert not call.given
        draining = HostEntry(ListedEndpoint("h", state=EndpointState.DRAINING), listener.getsockname())
        node.listed(ListKind.DELTA, HostList(2, False, (draining,)))
        assert call.given == ["refused"]  # it never ran; unsafe requests get one attempt
        assert not crashes
        listener.close()

    asyncio.run(scene())


def test_error_of_the_balancer_is_reported_as_a_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        crashes: list[BaseException] = []
        node = await node_for({"h": ("127.0.0.1", 9)}, crashes)

        def broken(*_: object) -> None:
            raise RuntimeError("invalid state")

        monkeypatch.setattr(Balancer, "handle", broken)
        node.call_received(FakeCall())
        assert [str(crash) for crash in crashes] == ["invalid state"]

    asyncio.run(scene())


def test_late_answer_is_not_given_after_the_final_one() -> None:
    async def scene() -> None:
        host = await Host("h", never).start()
        crashes: list[BaseException] = []
        node = await node_for({"h": ("127.0.0.1", host.port)}, crashes)
        call = FakeCall(timeout_ms=150)
        node.call_received(call)
        await host.wait(lambda: len(host.seen) == 1)
        await until(lambda: call.given)
        await host.wait(lambda: not host.open)
        assert call.given == ["failed"] and not node.busy and not crashes

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (b"inflight=7,queue=2,util=0.61", (2.0, 7.0)),
        (b" queue=2 , inflight=7", (2.0, 7.0)),
        (b"inflight=7", None),
        (b"inflight=7,queue=", None),
        (b"inflight=7,queue=nan", None),
        (b"inflight=inf,queue=1", None),
        (b"inflight=1e300,queue=1", None),
        (b"inflight=-7,queue=1", None),
        (b"\xff\x00=,,==", None),
        (None, None),
    ],
)
def test_load_report(text: bytes | None, report: tuple[float, ...] | None) -> None:
    assert read_report(text, ("queue", "inflight")) == report


# Discovery


def test_unresponsive_discovery_is_detected_and_the_watch_resumes() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        discovery.entries["h"] = {"id": "h", "addr": "127.0.0.1:9", "state": "active"}
        lists: list[HostList] = []
        failures: list[int] = []
        watch = Watch(
            ("127.0.0.1", discovery.port), UnixClock(), False, lists.append, lambda: failures.append(1)
        )
        watch.asking = WatchSchedule(max_wait_s=0.1, max_grace_s=0.1)
        watch.resume(1)
        watch.start()  # nothing changes, and no answer comes at the end of the hold time
        await until(lambda: failures)
        await discovery.change({"id": "h", "addr": "127.0.0.1:9", "state": "leaving"})
        watch.start()
        await until(lambda: lists)
        # While discovery is unresponsive calls do not wait for changes: such a call would outlast the outage.
        assert discovery.calls[:2] == [f"/v1/servers?from=1&hold_ms={ms}" for ms in (100, 0)]
        assert [e.listed.state for e in lists[0].entries] == [EndpointState.DRAINING]
        watch.stop()

    asyncio.run(scene())


def test_immediate_empty_answers_are_not_polled_in_a_tight_loop() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        discovery.broken_answers = [ok(b'{"version":1,"full":false,"servers":[]}')] * 1000
        watch = Watch(("127.0.0.1", discovery.port), UnixClock(), True, lambda _: None, lambda: None)
        watch.resume(1)
        watch.start()
        await asyncio.sleep(0.5)
        watch.stop()
        assert 1 <= len(discovery.calls) <= 6

    asyncio.run(scene())


def test_start_times_are_converted_to_the_monotonic_clock() -> None:
    clock = UnixClock()
    entry = {"id": "h", "addr": "127.0.0.1:9", "state": "active", "started_ms": 0}
    ((long_ago,), (started,)) = (
        read_list({"version": 1, "full": True, "servers": [{**entry, "started_ms": ms}]}, clock).entries
        for ms in (0, 1_700_000_000_000)
    )
    assert long_ago.listed.started_ms is None
    again = read_list(json.loads('{"version":1,"full":true,"servers":[]}'), clock)
    assert not again.entries
    assert started.listed.started_ms == clock.monotonic_ms(1_700_000_000_000)


@pytest.mark.parametrize(
    "address", ["db.local:3000", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x", "[::1]:3000", ""]
)
def test_list_with_an_invalid_address_is_rejected(address: str) -> None:
    """Raises ValueError: any other error would end the watch, and no list would be received any more."""
    entry = {"id": "s1", "addr": address, "state": "active"}
    with pytest.raises(ValueError):
        read_list({"version": 1, "full": True, "servers": [entry]}, UnixClock())
