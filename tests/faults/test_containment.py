"""An error of one request, connection or callback ends that one: forced in process, place by place.

A client's FIN is put into the kernel with no step of the loop before the call under test, which then writes
to a connection that answers with RST. Other errors are raised by stand-ins.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from types import SimpleNamespace
from typing import Any, cast

import pytest

from cloverrouter.interface import (
    Action,
    AttemptEnded,
    EndpointsListed,
    ListedEndpoint,
    ListKind,
    Outcome,
    Refuse,
    RequestGone,
    Subscribe,
)
from cloverrouter.lab.peers import Discovery, Host, Seen, never, ok
from cloverrouter.proxy import client_connection, listener
from cloverrouter.proxy.client_connection import ClientConnection
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock, read_known, read_list
from cloverrouter.proxy.containment import ContainedErrors, Periodic
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.exchange import Exchange
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.messages import Answer
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.observer import Final, Observer, joined
from cloverrouter.proxy.server_connection import ServerConnection
from cloverrouter.proxy.server_pool import ServerPool
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.proxy.wake import Loop
from tests.endings.test_front import asking_last
from tests.endings.test_gone import SETTINGS, Whole, played, request, serving
from tests.test_upstream import FakeCall, until
from tests.test_wake import node_with, play, told
from tests.test_waking_front import connect, front_of

CLOSE = "Connection: close\r\n"
pytestmark = pytest.mark.usefixtures("errors_may_be_contained")


def boom(*told: object, **named: object) -> Any:
    raise RuntimeError("boom")


def last(name: str) -> bytes:
    return request(name).replace(b"\r\n\r\n", b"\r\n" + CLOSE.encode() + b"\r\n")


# A client that has left as something is written to it


def test_answer_that_ends_a_connection_whose_client_has_left() -> None:
    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        client = connect(address, asking_last("r0"))
        await until(lambda: held.calls)
        client.close()
        held.calls[0].reply(503, b"")
        await until(lambda: not frontend.count)
        assert frontend.errors.counts == {"client_half_close": 1}

    play(scene)


def test_early_answer_to_an_upload_whose_client_has_left() -> None:
    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        frontend.keeping.budget = 0
        client = connect(address)
        client.setblocking(False)
        await loop.sock_sendall(client, request("r0", length=300_000) + b"x" * 100_000)
        await until(lambda: held.calls)
        assert held.calls[0].upload is not None
        client.close()
        held.calls[0].reply(503, b"")
        await until(lambda: not frontend.count)
        assert not set(frontend.errors.counts) - {"client_half_close"}

    play(scene)


class RaisingTransport:
    """A client's transport whose `write` raises an error that no socket makes."""

    def __init__(self, real: asyncio.Transport) -> None:
        self._real = real

    def write(self, data: bytes) -> None:
        boom()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


@pytest.mark.parametrize("written", ["answer", "begin", "piece", "end"])
def test_write_that_raises_ends_its_connection_and_nothing_else(written: str) -> None:
    """What the answer comes from, a server's connection or the decisions' loop, hears of no error."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        clients = [connect(address, asking_last(name)) for name in ("r0", "r1")]
        await until(lambda: len(held.calls) == 2)
        call, other = held.calls
        connection = call._client
        head = Answer(200, b"", b"", False, None, length=None)
        sink: Any = None if written in ("answer", "begin") else call.begin(head)
        connection._transport = RaisingTransport(connection._transport)
        if written == "answer":
            call.reply(200, b"done")
        elif written == "begin":
            assert call.begin(head) is None
        elif written == "piece":
            assert not sink.write(b"piece")
        else:
            sink.finish()
        await until(lambda: frontend.count == 1)
        other.reply(200, b"done")
        assert (await loop.sock_recv(not_blocking(clients[1]), 1000)).endswith(b"done")
        assert frontend.errors.counts.total() == 1

    play(scene)


async def half_sent(frontend: Frontend, address: tuple[str, int], count: int) -> list[socket.socket]:
    """Clients whose requests have begun, the last of which stays."""
    clients = [connect(address, b"POST /unsafe HTTP/1.1\r\nX-Re") for _ in range(count)]
    await until(lambda: sum(c.half_sent for c in frontend._connections) == count)
    for client in clients[:-1]:
        client.close()
    return clients


def test_half_sent_requests_are_turned_away_at_the_end_also_behind_one_that_has_left() -> None:
    async def scene(loop: Loop) -> None:
        frontend, _held, address = await front_of(loop, 8)
        clients = await half_sent(frontend, address, 5)
        frontend.turn_away()
        assert (await loop.sock_recv(not_blocking(clients[-1]), 100)).startswith(b"HTTP/1.1 503")

    play(scene)


def test_half_sent_requests_time_out_also_behind_one_that_has_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Checked in one sweep; and there is a next one."""
    monkeypatch.setattr(client_connection, "UNFINISHED_S", 0.0)

    async def scene(loop: Loop) -> None:
        frontend, _held, address = await front_of(loop, 8)
        clients = await half_sent(frontend, address, 5)
        await asyncio.sleep(0)
        for _ in range(2):
            frontend._sweep()
        assert (await loop.sock_recv(not_blocking(clients[-1]), 100)).startswith(b"HTTP/1.1 408")
        later = connect(address, b"POST /unsafe HTTP/1.1\r\nX-Re")
        assert (await loop.sock_recv(not_blocking(later), 100)).startswith(b"HTTP/1.1 408")

    play(scene)


def not_blocking(client: socket.socket) -> socket.socket:
    client.setblocking(False)
    return client


@pytest.mark.parametrize("answer", ["whole", "long"])
def test_server_is_free_again_though_its_answer_found_no_client(
    answer: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The module hears how the attempt ended, the id may be used again, and nothing is owed."""

    async def scene(loop: Loop) -> None:
        host = await serving()
        whole = Whole(("127.0.0.1", host.port))
        events = told(whole.node, monkeypatch)
        address = await whole.listen()
        client = connect(address, last("r0"))
        await host.wait(lambda: bool(host.seen))
        writer = next(iter(host.open.values()))
        if answer == "long":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(3):
                writer.write(b"8000\r\n" + bytes(0x8000) + b"\r\n")
            await until(lambda: whole.node._passing)
            client.settimeout(10)
            got = 0
            while got < 3 * 0x8000:  # all of it is read: nothing would make its end a reset before
                got += len(await loop.sock_recv(not_blocking(client), 65536))
        whole.deaf()
        client.close()
        writer.write(b"0\r\n\r\n" if answer == "long" else ok())
        await until(lambda: any(isinstance(event, AttemptEnded) for event in events))
        assert not whole.node.busy and not whole.node.is_open(b"r0")
        await whole.settled(host)

    played(scene)


# What raises an error while actions are carried out


class Raising(FakeCall):
    """A call to which nothing can be answered."""

    def refused(self, retry_after_ms: float) -> None:
        boom()

    failed = served = boom


def decided(node: Node, monkeypatch: pytest.MonkeyPatch, *actions: Action) -> None:
    """The module says this, whatever it is told next."""
    monkeypatch.setattr(node._balancer, "handle", lambda now_ms, events: list(actions))
    node.tell(RequestGone(0))
    monkeypatch.undo()


def call_named(name: bytes, kind: type[FakeCall] = FakeCall) -> FakeCall:
    call = kind(timeout_ms=5000)
    call.request_id = name
    call.arrived_ms = asyncio.get_running_loop().time() * 1000
    return call


def nowhere() -> Node:
    """A node whose requests wait, with nobody to send them to."""
    upstream = Upstream(8, 60_000, 1000)
    return Node(SETTINGS, 1, upstream, lambda: None, lambda error: pytest.fail(repr(error)))


def test_refusal_that_raises_costs_nobody_else_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = nowhere()
        calls = [call_named(b"a", Raising), call_named(b"b")]
        for call in calls:
            node.arrived(call)
        decided(node, monkeypatch, Refuse(1, 0.0), Refuse(2, 0.0))
        assert calls[1].given == ["refused"]
        assert node.errors.counts == {"reply": 1}
        assert not node.busy and not node.failed

    play(scene)


def test_answer_that_raises_is_told_to_the_module_all_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        host = await Host("h", lambda seen, writer: answer(seen, writer)).start()
        node = node_with(("127.0.0.1", host.port))
        events = told(node, monkeypatch)
        node.arrived(call_named(b"a", Raising))
        await until(lambda: any(isinstance(event, AttemptEnded) for event in events))
        assert node.errors.counts == {"reply": 1}
        assert not node.busy and not node.is_open(b"a")
        host.server.close()

    async def answer(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(ok())

    play(scene)


def test_attempt_that_raises_as_it_begins_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = node_with(("127.0.0.1", 1))
        events = told(node, monkeypatch)
        node.carrier = cast(Any, SimpleNamespace(send=boom))
        call = call_named(b"a")
        node.arrived(call)
        ended = [event for event in events if isinstance(event, AttemptEnded)]
        assert [event.outcome for event in ended] == [Outcome.CANCELLED]
        assert call.given == ["failed"]  # it may not be sent again, and no effect is not promised
        assert not node.busy and not node.is_open(b"a")

    play(scene)


def test_attempt_that_can_not_be_given_up_ends_for_the_module(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        host = await Host("h", never).start()
        node = node_with(("127.0.0.1", host.port))
        events = told(node, monkeypatch)
        call = call_named(b"a")
        node.arrived(call)
        await host.wait(lambda: bool(host.seen))
        attempt = next(iter(node._requests.values())).out[0]
        monkeypatch.setattr(Exchange, "abandon", boom)
        node.gone(call)
        assert not attempt.request.out and not node.is_open(b"a")
        assert any(isinstance(event, AttemptEnded) for event in events)
        host.server.close()

    play(scene)


@pytest.mark.parametrize("name", ["keep_only", "open_ahead"])
def test_module_hears_of_a_list_whatever_becomes_of_connections(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        node = node_with(("127.0.0.1", 1))
        events = told(node, monkeypatch)
        monkeypatch.setattr(node.carrier, name, boom)
        entries = tuple(HostEntry(ListedEndpoint(f"h{i}"), ("127.0.0.1", 1 + i)) for i in range(3))
        node.listed(ListKind.FULL, HostList(2, True, entries))
        assert any(isinstance(event, EndpointsListed) for event in events)

    play(scene)


def test_watch_that_can_not_be_started_is_asked_for_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = node_with(("127.0.0.1", 1))
        events = told(node, monkeypatch)
        monkeypatch.setattr(node, "_subscribe", boom)
        node._execute(Subscribe())
        assert events == [EndpointsListed(ListKind.FAILED)]

    play(scene)


def test_one_call_that_can_not_be_taken_in_does_not_lose_those_behind_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Read after a pause, they are handed over together."""

    async def scene(loop: Loop) -> None:
        node = nowhere()
        calls = [call_named(name) for name in (b"a", b"b", b"c")]
        real = node._take
        monkeypatch.setattr(node, "_take", lambda call: boom() if call is calls[0] else real(call))
        for call in calls:
            node._woken[call] = None
        node._hand_over()
        assert calls[0].given == ["refused"]
        assert set(node._by_call) == set(calls[1:])

    play(scene)


def test_error_after_a_call_was_taken_in_leaves_nothing_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = nowhere()
        node.observer = cast(Observer, SimpleNamespace(taken=boom))
        call = call_named(b"a")
        node.arrived(call)
        assert call.given == ["refused"]
        assert not node.busy and not node.is_open(b"a")

    play(scene)


def test_admission_that_raises_refuses() -> None:
    async def scene(loop: Loop) -> None:
        node = nowhere()
        node.admission = cast(Any, SimpleNamespace(refusal=boom))
        call = call_named(b"a")
        node.arrived(call)
        assert call.given == ["refused"] and not node.busy

    play(scene)


def test_module_that_has_failed_is_asked_no_more(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        crashes: list[BaseException] = []
        node = Node(SETTINGS, 1, Upstream(8, 60_000, 1000), lambda: None, crashes.append)
        waiting = call_named(b"a")
        node.arrived(waiting)
        monkeypatch.setattr(node._balancer, "handle", boom)
        later = call_named(b"b")
        node.arrived(later)
        for event in (RequestGone(1), EndpointsListed(ListKind.FAILED)):
            node.tell(event)
        assert len(crashes) == 1 and node.failed and not node.ready()
        assert waiting.given == later.given == ["refused"]

    play(scene)


def test_observer_that_raises_is_not_the_requests_trouble() -> None:
    seen: list[str] = []
    raising = dict.fromkeys(("taken", "tried", "ended", "turned_away", "not_taken", "said"), boom)
    hearing = {**raising, "said": seen.append, "turned_away": lambda status: seen.append(str(status))}
    first, second = cast(Any, SimpleNamespace(**raising)), cast(Any, SimpleNamespace(**hearing))
    errors = ContainedErrors()
    observer = joined(joined(None, first, errors), second, errors)
    call: Any = None
    observer.taken(call)
    observer.tried(call, cast(Any, None), None)
    observer.ended(call, Final.SERVED, None, (), 0.0)
    observer.not_taken(call, "")
    observer.said("text")
    observer.turned_away(400)
    assert seen == ["text", "400"]
    assert errors.counts == {"observer": 10}


# Connections to servers


def test_many_connections_that_have_ended_are_passed_over_in_one_go() -> None:
    """A server's restart may end thousands at once: no step of the search may stand on the one before."""

    async def scene(loop: Loop) -> None:
        pool = ServerPool(Upstream(8, 60_000, 1000), ("h", ("127.0.0.1", 1)))

        class Ended:
            idle_since, idle_s = loop.time() - 1.0, 0.0

            def clean(self) -> bool:
                return False

            def abort(self) -> None:
                pass

        pool.idle = [cast(Any, Ended()) for _ in range(5000)]
        assert pool.take(True) is None
        assert not pool.idle

    play(scene)


def test_attempt_whose_connection_raises_behind_its_last_byte_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        host = await Host("h", never).start()
        upstream = Upstream(8, 60_000, 1000)
        real = ServerConnection.send

        def send(self: ServerConnection, exchange: Exchange) -> None:
            real(self, exchange)
            boom()

        monkeypatch.setattr(ServerConnection, "send", send)
        ends: list[Outcome] = []
        address = ("127.0.0.1", host.port)
        upstream.send(("h", address), FakeCall(), 2000, lambda outcome, _: ends.append(outcome))
        await until(lambda: ends)
        assert ends == [Outcome.CANCELLED]
        await until(lambda: not upstream.open)
        host.server.close()

    play(scene)


def test_connection_that_can_not_be_read_from_is_sent_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """It could not be added to epoll: the answer would be waited for in vain."""
    monkeypatch.setattr(Loop, "watches", lambda self, sock: False)

    async def scene(loop: Loop) -> None:
        host = await Host("h", never).start()
        upstream = Upstream(8, 60_000, 1000)
        ends: list[Outcome] = []
        address = ("127.0.0.1", host.port)
        upstream.send(("h", address), FakeCall(), 2000, lambda outcome, _: ends.append(outcome))
        await until(lambda: ends and not upstream.open)
        assert ends == [Outcome.NOT_SENT] and not host.seen
        host.server.close()

    play(scene)


def test_sink_that_raises_does_not_cost_the_server_its_attempts_end() -> None:
    async def scene(loop: Loop) -> None:
        body = bytes(300_000)

        async def answer(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(ok(body))

        host = await Host("h", answer).start()
        upstream = Upstream(8, 60_000, 1000)
        ends: list[Outcome] = []
        sink = SimpleNamespace(write=lambda data: True, finish=boom, cut=boom, on_ready=None)
        address = ("127.0.0.1", host.port)
        upstream.send(
            ("h", address),
            FakeCall(),
            2000,
            lambda outcome, _: ends.append(outcome),
            lambda head: cast(Any, sink),
        )
        await until(lambda: ends)
        assert ends == [Outcome.OK] and upstream.errors.counts == {"answer_end": 1}
        host.server.close()

    play(scene)


def test_stalled_connection_that_raises_does_not_keep_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        upstream = Upstream(8, 60_000, 1000)
        ended: list[str] = []
        stalls = (boom, lambda: ended.append("other"))
        connections = [SimpleNamespace(stalled=True, stall=stall) for stall in stalls]
        upstream.connections = cast(Any, connections)
        upstream._sweep()
        assert ended == ["other"]

    play(scene)


# Periodic tasks, the listener, the loop


def test_periodic_task_goes_on_after_an_error() -> None:
    async def scene(loop: Loop) -> None:
        errors, calls = ContainedErrors(), list[int]()

        def step() -> None:
            calls.append(1)
            boom()

        periodic = Periodic(loop, errors, "place", 0.005, step)
        await until(lambda: len(calls) >= 3)
        periodic.cancel()
        count = len(calls)
        await asyncio.sleep(0.05)
        assert len(calls) == count == errors.counts["place"]

    play(scene)


def test_connection_whose_check_raises_ends_and_the_next_is_checked(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _held, address = await front_of(loop, 8)
        clients = [connect(address) for _ in range(4)]
        await until(lambda: frontend.count == 4)
        bad = next(iter(frontend._connections))
        checked: list[ClientConnection] = []

        def check(self: ClientConnection, now_s: float, crowded: bool) -> None:
            if self is bad:
                boom()
            checked.append(self)

        monkeypatch.setattr(ClientConnection, "check", check)
        frontend._sweep()
        assert len(checked) == 3
        await until(lambda: frontend.count == 3)
        for client in clients:
            client.close()

    play(scene)


def test_request_that_has_just_come_is_not_taken_for_one_that_can_not_be_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It lies in the kernel as an idle connection is looked at, and the loop has had no step since."""
    monkeypatch.setattr(client_connection, "UNFINISHED_S", 0.0)

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        client = connect(address, asking_last("r0").replace(CLOSE.encode(), b""))
        await until(lambda: held.calls)
        held.calls.pop().reply(200, b"")
        assert client.recv(1000).startswith(b"HTTP/1.1 200")
        client.sendall(asking_last("r1"))
        for _ in range(2):
            frontend._sweep()
        await until(lambda: held.calls)
        held.calls.pop().reply(200, b"")
        assert (await loop.sock_recv(not_blocking(client), 1000)).startswith(b"HTTP/1.1 200")

    play(scene)


def test_listener_that_can_not_be_added_again_is_tried_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """epoll_ctl(2) fails where the user has no more watches."""
    monkeypatch.setattr(listener, "RETRY_S", 0.02)

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        real, failures = loop.add_reader, [1, 2, 3]

        def add_reader(fd: Any, callback: Any, *told: Any) -> None:
            if failures:
                failures.pop()
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            real(fd, callback, *told)

        monkeypatch.setattr(loop, "add_reader", add_reader)
        frontend.listener._rest(0.0)
        client = connect(address, asking_last("r0"))
        await until(lambda: held.calls)
        client.close()

    play(scene)


@pytest.mark.parametrize("name", ["ECONNABORTED", "EPROTO", "EPERM", "ENETDOWN", "EHOSTUNREACH"])
def test_connection_that_ended_before_it_was_accepted_closes_no_other(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Such an error is of that connection (accept(2)): no room is to be made, and the next one waits."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        idle = connect(address, asking_last("r0").replace(CLOSE.encode(), b""))
        await until(lambda: held.calls)
        held.calls.pop().reply(200, b"")
        assert idle.recv(1000).startswith(b"HTTP/1.1 200")
        real, number, left = socket.socket.accept, getattr(errno, name), [1, 2]

        def accept(self: socket.socket) -> Any:
            if left:
                left.pop()
                raise OSError(number, os.strerror(number))
            return real(self)

        monkeypatch.setattr(socket.socket, "accept", accept)
        client = connect(address, asking_last("r1"))
        await until(lambda: held.calls)
        assert not left and frontend.count == 2
        client.close()

    play(scene)


def test_socket_errors_in_the_loops_own_callbacks_are_no_tracebacks(caplog: pytest.LogCaptureFixture) -> None:
    """asyncio's put-off half-close fails in a callback of its own."""

    async def scene(loop: Loop) -> None:
        def not_connected() -> None:
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))

        loop.call_soon(not_connected)
        loop.call_soon(boom)
        await asyncio.sleep(0.01)
        assert loop.contained_errors.counts == {"loop_socket": 1, "loop": 1}

    with caplog.at_level(logging.WARNING):
        play(scene)
    assert [bool(record.exc_info) for record in caplog.records] == [False, True]


def test_errors_of_one_place_are_logged_once_in_a_while(caplog: pytest.LogCaptureFixture) -> None:
    errors = ContainedErrors()
    for _ in range(100):
        errors.run("place", boom, "r1")
    errors.run("other", boom)
    assert errors.counts == {"place": 100, "other": 1}
    assert [record.getMessage().split()[1] for record in caplog.records] == ["place=place", "place=other"]


# Lists


@pytest.mark.parametrize("pushed", [False, True])
def test_list_that_can_not_be_applied_is_asked_for_again_as_a_whole(pushed: bool) -> None:
    async def scene(loop: Loop) -> None:
        discovery = await Discovery().start()
        heard: list[HostList] = []
        failures = [1]

        def on_list(found: HostList) -> None:
            if failures:
                failures.pop()
                boom()
            heard.append(found)

        address = ("127.0.0.1", discovery.port)

        def on_failure() -> None:
            loop.call_soon(watch.start)

        watch = Watch(address, UnixClock(), pushed, on_list, on_failure)
        watch.start()
        await until(lambda: heard)
        assert heard[0].full and discovery.calls[:2] == ["/v1/servers"] * 2
        watch.stop()
        discovery.server.close()

    play(scene)


HUGE = 10**400


@pytest.mark.parametrize("field", ["weight", "started_ms", "cell"])
def test_whole_number_too_large_for_a_float_spoils_its_entry_only(field: str) -> None:
    entry = {"id": "s1", "addr": "127.0.0.1:3000", "state": "active", "started_ms": 0}
    message = {"version": 1, "full": True, "servers": [entry, {**entry, "id": "s2", field: HUGE}]}
    with pytest.raises(ValueError, match="not a number"):
        read_list(message, UnixClock())
    found = read_known(message, UnixClock())
    assert found is not None and [e.listed.name for e in found.entries] == ["s1"]
