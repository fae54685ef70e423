"""An error of a request, connection or callback ends only that one; in-process tests of each place.

Where a client disconnects, its FIN is in the kernel before the call under test, without an iteration of the
loop between them: the call writes to a connection that answers with RST. Other errors are raised by stubs.
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
    ClientDisconnected,
    EndpointsListed,
    ListedEndpoint,
    ListKind,
    Outcome,
    Refuse,
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
from cloverrouter.proxy.observer import Observer, RequestResult, with_observer
from cloverrouter.proxy.server_connection import ServerConnection
from cloverrouter.proxy.server_pool import ServerPool
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.proxy.wake import Loop
from tests.endings.test_front import request_with_close
from tests.endings.test_gone import SETTINGS, InProcessProxy, request, run_scene_with_cleanup, start_host
from tests.test_upstream import FakeCall, until
from tests.test_wake import make_node, record_events, run_scene
from tests.test_waking_front import connect, start_frontend

CLOSE = "Connection: close\r\n"
pytestmark = pytest.mark.usefixtures("errors_may_be_contained")


def raise_error(*args: object, **kwargs: object) -> Any:
    raise RuntimeError("boom")


def closing_request(name: str) -> bytes:
    return request(name).replace(b"\r\n\r\n", b"\r\n" + CLOSE.encode() + b"\r\n")


# Writing to a client that has disconnected


def test_closing_answer_to_a_disconnected_client() -> None:
    async def scene(loop: Loop) -> None:
        frontend, held, address = await start_frontend(loop, 8)
        client = connect(address, request_with_close("r0"))
        await until(lambda: held.calls)
        client.close()
        held.calls[0].reply(503, b"")
        await until(lambda: not frontend.count)
        assert frontend.errors.counts == {"client_half_close": 1}

    run_scene(scene)


def test_early_answer_to_an_upload_of_a_disconnected_client() -> None:
    async def scene(loop: Loop) -> None:
        frontend, held, address = await start_frontend(loop, 8)
        frontend.buffer_budget.limit_bytes = 0
        client = connect(address)
        client.setblocking(False)
        await loop.sock_sendall(client, request("r0", length=300_000) + b"x" * 100_000)
        await until(lambda: held.calls)
        assert held.calls[0].upload is not None
        client.close()
        held.calls[0].reply(503, b"")
        await until(lambda: not frontend.count)
        assert not set(frontend.errors.counts) - {"client_half_close"}

    run_scene(scene)


class RaisingTransport:
    """A client's transport whose `write` raises an error other than OSError."""

    def __init__(self, real: asyncio.Transport) -> None:
        self._real = real

    def write(self, data: bytes) -> None:
        raise_error()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


@pytest.mark.parametrize("operation", ["answer", "begin", "piece", "end"])
def test_write_that_raises_ends_only_its_connection(operation: str) -> None:
    """The error does not propagate to the caller: a server connection or the execution of decisions."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await start_frontend(loop, 8)
        clients = [connect(address, request_with_close(name)) for name in ("r0", "r1")]
        await until(lambda: len(held.calls) == 2)
        call, other = held.calls
        connection = call._client
        head = Answer(200, b"", b"", False, None, length=None)
        sink: Any = None if operation in ("answer", "begin") else call.begin(head)
        connection._transport = RaisingTransport(connection._transport)
        if operation == "answer":
            call.reply(200, b"done")
        elif operation == "begin":
            assert call.begin(head) is None
        elif operation == "piece":
            assert not sink.write(b"piece")
        else:
            sink.finish()
        await until(lambda: frontend.count == 1)
        other.reply(200, b"done")
        assert (await loop.sock_recv(not_blocking(clients[1]), 1000)).endswith(b"done")
        assert frontend.errors.counts.total() == 1

    run_scene(scene)


async def half_sent(frontend: Frontend, address: tuple[str, int], count: int) -> list[socket.socket]:
    """Connect clients that send incomplete requests; all but the last disconnect."""
    clients = [connect(address, b"POST /unsafe HTTP/1.1\r\nX-Re") for _ in range(count)]
    await until(lambda: sum(c.is_receiving for c in frontend._connections) == count)
    for client in clients[:-1]:
        client.close()
    return clients


def test_incomplete_requests_are_rejected_at_shutdown_also_after_a_disconnected_one() -> None:
    async def scene(loop: Loop) -> None:
        frontend, _held, address = await start_frontend(loop, 8)
        clients = await half_sent(frontend, address, 5)
        frontend.refuse_incomplete_requests()
        assert (await loop.sock_recv(not_blocking(clients[-1]), 100)).startswith(b"HTTP/1.1 503")

    run_scene(scene)


def test_incomplete_requests_time_out_also_after_a_disconnected_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """One sweep checks them all, and later sweeps still run."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.0)

    async def scene(loop: Loop) -> None:
        frontend, _held, address = await start_frontend(loop, 8)
        clients = await half_sent(frontend, address, 5)
        await asyncio.sleep(0)
        for _ in range(2):
            frontend._sweep()
        assert (await loop.sock_recv(not_blocking(clients[-1]), 100)).startswith(b"HTTP/1.1 408")
        later = connect(address, b"POST /unsafe HTTP/1.1\r\nX-Re")
        assert (await loop.sock_recv(not_blocking(later), 100)).startswith(b"HTTP/1.1 408")

    run_scene(scene)


def not_blocking(client: socket.socket) -> socket.socket:
    client.setblocking(False)
    return client


@pytest.mark.parametrize("answer", ["whole", "long"])
def test_server_is_free_again_after_an_answer_to_a_disconnected_client(
    answer: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The decisions receive the attempt's end, the request id is free again, and no request stays open."""

    async def scene(loop: Loop) -> None:
        host = await start_host()
        whole = InProcessProxy(("127.0.0.1", host.port))
        events = record_events(whole.node, monkeypatch)
        address = await whole.listen()
        client = connect(address, closing_request("r0"))
        await host.wait(lambda: bool(host.seen))
        writer = next(iter(host.open.values()))
        if answer == "long":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(3):
                writer.write(b"8000\r\n" + bytes(0x8000) + b"\r\n")
            await until(lambda: whole.node._streaming)
            client.settimeout(10)
            received = 0
            while received < 3 * 0x8000:  # all of it is read: unread data would turn the close into a reset
                received += len(await loop.sock_recv(not_blocking(client), 65536))
        whole.stop_reading_clients()
        client.close()
        writer.write(b"0\r\n\r\n" if answer == "long" else ok())
        await until(lambda: any(isinstance(event, AttemptEnded) for event in events))
        assert not whole.node.busy and not whole.node.is_open(b"r0")
        await whole.wait_for_earlier_sends(host)

    run_scene_with_cleanup(scene)


# Errors while actions are executed


class RaisingCall(FakeCall):
    """A call whose answers all raise an error."""

    def refused(self, retry_after_ms: float) -> None:
        raise_error()

    failed = served = raise_error


def execute_actions(node: Node, monkeypatch: pytest.MonkeyPatch, *actions: Action) -> None:
    """Make the decisions return `actions` for the next event, and execute them."""
    monkeypatch.setattr(node._balancer, "handle", lambda now_ms, events: list(actions))
    node.dispatch(ClientDisconnected(0))
    monkeypatch.undo()


def call_named(name: bytes, kind: type[FakeCall] = FakeCall) -> FakeCall:
    call = kind(timeout_ms=5000)
    call.request_id = name
    call.arrived_ms = asyncio.get_running_loop().time() * 1000
    return call


def node_without_servers() -> Node:
    """A node whose requests stay queued, as it has no server."""
    upstream = Upstream(8, 60_000, 1000)
    return Node(SETTINGS, 1, upstream, lambda: None, lambda error: pytest.fail(repr(error)))


def test_refusal_that_raises_does_not_affect_other_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = node_without_servers()
        calls = [call_named(b"a", RaisingCall), call_named(b"b")]
        for call in calls:
            node.call_received(call)
        execute_actions(node, monkeypatch, Refuse(1, 0.0), Refuse(2, 0.0))
        assert calls[1].given == ["refused"]
        assert node.errors.counts == {"reply": 1}
        assert not node.busy and not node.failed

    run_scene(scene)


def test_attempt_whose_answer_raises_is_still_reported_to_the_decisions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        host = await Host("h", lambda seen, writer: answer(seen, writer)).start()
        node = make_node(("127.0.0.1", host.port))
        events = record_events(node, monkeypatch)
        node.call_received(call_named(b"a", RaisingCall))
        await until(lambda: any(isinstance(event, AttemptEnded) for event in events))
        assert node.errors.counts == {"reply": 1}
        assert not node.busy and not node.is_open(b"a")
        host.server.close()

    async def answer(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(ok())

    run_scene(scene)


def test_attempt_that_raises_when_sent_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = make_node(("127.0.0.1", 1))
        events = record_events(node, monkeypatch)
        node.carrier = cast(Any, SimpleNamespace(send=raise_error))
        call = call_named(b"a")
        node.call_received(call)
        ended = [event for event in events if isinstance(event, AttemptEnded)]
        assert [event.outcome for event in ended] == [Outcome.CANCELLED]
        assert call.given == ["failed"]  # it may have run: it is not retried, and "no effect" is not reported
        assert not node.busy and not node.is_open(b"a")

    run_scene(scene)


def test_attempt_whose_cancellation_raises_ends_for_the_decisions(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        host = await Host("h", never).start()
        node = make_node(("127.0.0.1", host.port))
        events = record_events(node, monkeypatch)
        call = call_named(b"a")
        node.call_received(call)
        await host.wait(lambda: bool(host.seen))
        attempt = next(iter(node._requests.values())).attempts[0]
        monkeypatch.setattr(Exchange, "abandon", raise_error)
        node.disconnected(call)
        assert not attempt.request.attempts and not node.is_open(b"a")
        assert any(isinstance(event, AttemptEnded) for event in events)
        host.server.close()

    run_scene(scene)


@pytest.mark.parametrize("name", ["keep_only", "preconnect"])
def test_list_reaches_the_decisions_although_connections_raise(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        node = make_node(("127.0.0.1", 1))
        events = record_events(node, monkeypatch)
        monkeypatch.setattr(node.carrier, name, raise_error)
        entries = tuple(HostEntry(ListedEndpoint(f"h{i}"), ("127.0.0.1", 1 + i)) for i in range(3))
        node.listed(ListKind.FULL, HostList(2, True, entries))
        assert any(isinstance(event, EndpointsListed) for event in events)

    run_scene(scene)


def test_watch_that_can_not_be_started_is_reported_as_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = make_node(("127.0.0.1", 1))
        events = record_events(node, monkeypatch)
        monkeypatch.setattr(node, "_subscribe", raise_error)
        node._execute_contained(Subscribe())
        assert events == [EndpointsListed(ListKind.FAILED)]

    run_scene(scene)


def test_call_that_can_not_be_accepted_does_not_lose_those_behind_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Calls that were read after a process pause are accepted together."""

    async def scene(loop: Loop) -> None:
        node = node_without_servers()
        calls = [call_named(name) for name in (b"a", b"b", b"c")]
        original_accept = node._accept
        monkeypatch.setattr(
            node, "_accept", lambda call: raise_error() if call is calls[0] else original_accept(call)
        )
        for call in calls:
            node._pending_after_pause[call] = None
        node._admit_pending()
        assert calls[0].given == ["refused"]
        assert set(node._by_call) == set(calls[1:])

    run_scene(scene)


def test_error_after_a_call_was_accepted_leaves_no_state(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = node_without_servers()
        node.observer = cast(Observer, SimpleNamespace(request_accepted=raise_error))
        call = call_named(b"a")
        node.call_received(call)
        assert call.given == ["refused"]
        assert not node.busy and not node.is_open(b"a")

    run_scene(scene)


# Guards against: a refusal for a request that was sent, and may have run, before an error in accepting it.
def test_call_that_was_sent_before_an_error_fails_and_is_not_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        server = await Host("h0", never).start()
        node = node_without_servers()
        entry = HostEntry(ListedEndpoint("h0"), ("127.0.0.1", server.port))
        node.listed(ListKind.RESTORED, HostList(1, True, (entry,)))
        warm = call_named(b"warm")
        node.call_received(warm)
        await server.wait(lambda: len(server.seen) == 1)
        server.respond = never
        server.open[1].write(ok())
        await until(lambda: warm.given)
        await asyncio.sleep(0.02)  # the connection may be reused from now on
        original_accept = node._accept

        def accept(call: Any) -> None:
            original_accept(call)
            raise_error()

        monkeypatch.setattr(node, "_accept", accept)
        call = call_named(b"a")
        node.call_received(call)
        assert call.given == ["failed"]
        assert not node.busy

    run_scene(scene)


# Guards against: decisions that refuse a request which must not run twice and may have run.
@pytest.mark.parametrize(("key", "given"), [(b"", "failed"), (b"k", "refused")], ids=["unsafe", "keyed"])
def test_refusal_of_a_request_that_may_have_run_is_a_failure(key: bytes, given: str) -> None:
    async def scene(loop: Loop) -> None:
        node = node_without_servers()
        call = call_named(b"a")
        call.idempotency_key = key
        node.call_received(call)
        request = node._by_call[call]
        request.may_have_run = True
        node._execute(Refuse(request.id, 0.0))
        assert call.given == [given]

    run_scene(scene)


def test_call_is_refused_when_admission_raises() -> None:
    async def scene(loop: Loop) -> None:
        node = node_without_servers()
        node.admission = cast(Any, SimpleNamespace(refusal=raise_error))
        call = call_named(b"a")
        node.call_received(call)
        assert call.given == ["refused"] and not node.busy

    run_scene(scene)


def test_failed_decisions_receive_no_further_events(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        crashes: list[BaseException] = []
        node = Node(SETTINGS, 1, Upstream(8, 60_000, 1000), lambda: None, crashes.append)
        waiting = call_named(b"a")
        node.call_received(waiting)
        monkeypatch.setattr(node._balancer, "handle", raise_error)
        later = call_named(b"b")
        node.call_received(later)
        for event in (ClientDisconnected(1), EndpointsListed(ListKind.FAILED)):
            node.dispatch(event)
        assert len(crashes) == 1 and node.failed and not node.ready()
        assert waiting.given == later.given == ["refused"]

    run_scene(scene)


def test_observer_that_raises_does_not_affect_the_request() -> None:
    seen: list[str] = []
    raising = dict.fromkeys(
        (
            "request_accepted",
            "attempt_ended",
            "request_ended",
            "invalid_request_rejected",
            "request_refused_early",
            "balancer_logged",
        ),
        raise_error,
    )
    recording = {
        **raising,
        "balancer_logged": seen.append,
        "invalid_request_rejected": lambda status: seen.append(str(status)),
    }
    first, second = cast(Any, SimpleNamespace(**raising)), cast(Any, SimpleNamespace(**recording))
    errors = ContainedErrors()
    observer = with_observer(with_observer(None, first, errors), second, errors)
    call: Any = None
    observer.request_accepted(call)
    observer.attempt_ended(call, cast(Any, None), None)
    observer.request_ended(call, RequestResult.SERVED, None, (), 0.0)
    observer.request_refused_early(call, "")
    observer.balancer_logged("text")
    observer.invalid_request_rejected(400)
    assert seen == ["text", "400"]
    assert errors.counts == {"observer": 10}


# Connections to servers


def test_search_skips_thousands_of_closed_connections() -> None:
    """A server's restart may close thousands at once: a recursive search would exceed the stack."""

    async def scene(loop: Loop) -> None:
        pool = ServerPool(Upstream(8, 60_000, 1000), ("h", ("127.0.0.1", 1)))

        class ClosedConnection:
            idle_since, idle_before_use_s = loop.time() - 1.0, 0.0

            def is_clean(self) -> bool:
                return False

            def abort(self) -> None:
                pass

        pool.idle = [cast(Any, ClosedConnection()) for _ in range(5000)]
        assert pool.acquire(True) is None
        assert not pool.idle

    run_scene(scene)


def test_attempt_whose_connection_raises_after_its_last_byte_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        host = await Host("h", never).start()
        upstream = Upstream(8, 60_000, 1000)
        original_send = ServerConnection.send

        def send(self: ServerConnection, exchange: Exchange) -> None:
            original_send(self, exchange)
            raise_error()

        monkeypatch.setattr(ServerConnection, "send", send)
        ends: list[Outcome] = []
        address = ("127.0.0.1", host.port)
        upstream.send(("h", address), FakeCall(), 2000, lambda outcome, _: ends.append(outcome))
        await until(lambda: ends)
        assert ends == [Outcome.CANCELLED]
        await until(lambda: not upstream.open)
        host.server.close()

    run_scene(scene)


def test_no_request_is_sent_on_a_connection_that_can_not_be_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """If its socket could not be added to epoll, the answer would never be read."""
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

    run_scene(scene)


def test_attempt_ends_although_its_sink_raises() -> None:
    async def scene(loop: Loop) -> None:
        body = bytes(300_000)

        async def answer(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(ok(body))

        host = await Host("h", answer).start()
        upstream = Upstream(8, 60_000, 1000)
        ends: list[Outcome] = []
        sink = SimpleNamespace(write=lambda data: True, finish=raise_error, cut=raise_error, on_ready=None)
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

    run_scene(scene)


def test_stalled_connection_that_raises_does_not_affect_others(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        upstream = Upstream(8, 60_000, 1000)
        ended: list[str] = []
        stalls = (raise_error, lambda: ended.append("other"))
        connections = [SimpleNamespace(stalled=True, fail_stalled=stall) for stall in stalls]
        upstream.connections = cast(Any, connections)
        upstream._sweep()
        assert ended == ["other"]

    run_scene(scene)


# Periodic tasks, the listener, the loop


def test_periodic_task_continues_after_an_error() -> None:
    async def scene(loop: Loop) -> None:
        errors, calls = ContainedErrors(), list[int]()

        def step() -> None:
            calls.append(1)
            raise_error()

        periodic = Periodic(loop, errors, "place", 0.005, step)
        await until(lambda: len(calls) >= 3)
        periodic.cancel()
        count = len(calls)
        await asyncio.sleep(0.05)
        assert len(calls) == count == errors.counts["place"]

    run_scene(scene)


def test_connection_whose_check_raises_ends_and_the_others_are_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _held, address = await start_frontend(loop, 8)
        clients = [connect(address) for _ in range(4)]
        await until(lambda: frontend.count == 4)
        faulty = next(iter(frontend._connections))
        checked: list[ClientConnection] = []

        def check(self: ClientConnection, now_s: float, crowded: bool) -> None:
            if self is faulty:
                raise_error()
            checked.append(self)

        monkeypatch.setattr(ClientConnection, "check", check)
        frontend._sweep()
        assert len(checked) == 3
        await until(lambda: frontend.count == 3)
        for client in clients:
            client.close()

    run_scene(scene)


def test_request_that_has_just_arrived_is_not_closed_as_unreadable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is in the receive buffer when the idle connection is checked, and the loop has not run since."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.0)

    async def scene(loop: Loop) -> None:
        frontend, held, address = await start_frontend(loop, 8)
        client = connect(address, request_with_close("r0").replace(CLOSE.encode(), b""))
        await until(lambda: held.calls)
        held.calls.pop().reply(200, b"")
        assert client.recv(1000).startswith(b"HTTP/1.1 200")
        client.sendall(request_with_close("r1"))
        for _ in range(2):
            frontend._sweep()
        await until(lambda: held.calls)
        held.calls.pop().reply(200, b"")
        assert (await loop.sock_recv(not_blocking(client), 1000)).startswith(b"HTTP/1.1 200")

    run_scene(scene)


def test_listener_that_can_not_be_registered_again_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    """epoll_ctl(2) fails with ENOSPC when the user's limit of watches is reached."""
    monkeypatch.setattr(listener, "ACCEPT_RETRY_S", 0.02)

    async def scene(loop: Loop) -> None:
        frontend, held, address = await start_frontend(loop, 8)
        original_add_reader, failures = loop.add_reader, [1, 2, 3]

        def add_reader(fd: Any, callback: Any, *args: Any) -> None:
            if failures:
                failures.pop()
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            original_add_reader(fd, callback, *args)

        monkeypatch.setattr(loop, "add_reader", add_reader)
        frontend.listener._pause_accepting(0.0)
        client = connect(address, request_with_close("r0"))
        await until(lambda: held.calls)
        client.close()

    run_scene(scene)


@pytest.mark.parametrize("name", ["ECONNABORTED", "EPROTO", "EPERM", "ENETDOWN", "EHOSTUNREACH"])
def test_connection_that_ended_before_accept_closes_no_other(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Such errors concern that connection only (accept(2)): none is evicted, and the next one is accepted."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await start_frontend(loop, 8)
        idle = connect(address, request_with_close("r0").replace(CLOSE.encode(), b""))
        await until(lambda: held.calls)
        held.calls.pop().reply(200, b"")
        assert idle.recv(1000).startswith(b"HTTP/1.1 200")
        original_accept, number, failures = socket.socket.accept, getattr(errno, name), [1, 2]

        def accept(self: socket.socket) -> Any:
            if failures:
                failures.pop()
                raise OSError(number, os.strerror(number))
            return original_accept(self)

        monkeypatch.setattr(socket.socket, "accept", accept)
        client = connect(address, request_with_close("r1"))
        await until(lambda: held.calls)
        assert not failures and frontend.count == 2
        client.close()

    run_scene(scene)


def test_socket_errors_in_callbacks_of_the_loop_are_logged_without_traceback(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """asyncio's deferred half-close fails in a callback of asyncio."""

    async def scene(loop: Loop) -> None:
        def not_connected() -> None:
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))

        loop.call_soon(not_connected)
        loop.call_soon(raise_error)
        await asyncio.sleep(0.01)
        assert loop.contained_errors.counts == {"loop_socket": 1, "loop": 1}

    with caplog.at_level(logging.WARNING):
        run_scene(scene)
    assert [bool(record.exc_info) for record in caplog.records] == [False, True]


def test_logging_of_errors_is_rate_limited_per_place(caplog: pytest.LogCaptureFixture) -> None:
    errors = ContainedErrors()
    for _ in range(100):
        errors.run("place", raise_error, "r1")
    errors.run("other", raise_error)
    assert errors.counts == {"place": 100, "other": 1}
    assert [record.getMessage().split()[1] for record in caplog.records] == ["place=place", "place=other"]


# Lists


@pytest.mark.parametrize("pushed", [False, True])
def test_full_list_is_requested_after_one_that_can_not_be_applied(pushed: bool) -> None:
    async def scene(loop: Loop) -> None:
        discovery = await Discovery().start()
        applied: list[HostList] = []
        failures = [1]

        def on_list(listing: HostList) -> None:
            if failures:
                failures.pop()
                raise_error()
            applied.append(listing)

        address = ("127.0.0.1", discovery.port)

        def on_failure() -> None:
            loop.call_soon(watch.start)

        watch = Watch(address, UnixClock(), pushed, on_list, on_failure)
        watch.start()
        await until(lambda: applied)
        assert applied[0].full and discovery.calls[:2] == ["/v1/servers"] * 2
        watch.stop()
        discovery.server.close()

    run_scene(scene)


HUGE = 10**400


@pytest.mark.parametrize("field", ["weight", "started_ms", "cell"])
def test_integer_too_large_for_a_float_invalidates_only_its_entry(field: str) -> None:
    entry = {"id": "s1", "addr": "127.0.0.1:3000", "state": "active", "started_ms": 0}
    message = {"version": 1, "full": True, "servers": [entry, {**entry, "id": "s2", field: HUGE}]}
    with pytest.raises(ValueError, match="not a number"):
        read_list(message, UnixClock())
    known = read_known(message, UnixClock())
    assert known is not None and [e.listed.name for e in known.entries] == ["s1"]
