"""The listener and its connections in a paused process: deferral, eviction, and arrival times."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.decide import Balancer
from cloverrouter.interface import Event, Idempotency, RequestArrived, Send
from cloverrouter.lab.peers import ok
from cloverrouter.proxy import accept_rules, client_connection
from cloverrouter.proxy import frontend as frontends
from cloverrouter.proxy.client_connection import ClientConnection
from cloverrouter.proxy.eviction import SILENT_GRACE_S
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.listener import Listener
from cloverrouter.proxy.shutdown import drain
from cloverrouter.proxy.validity import Gate, ParsedCall
from cloverrouter.proxy.wake import Loop
from tests.test_upstream import until
from tests.test_wake import ThreadedServer, make_call, make_node, record_events, run_scene

CLASSES = {"unsafe": Idempotency.UNSAFE, "safe": Idempotency.SAFE}
PAUSE_S = 0.3
Block = Callable[[Loop, float], Awaitable[None]]


class StubHandler:
    """A handler that collects calls and leaves the answers to the test."""

    failed = False

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def ready(self) -> bool:
        return True

    def upload_held_back(self, call: Any, since_s: float) -> None:
        pass

    def may_have_run(self, request_id: bytes) -> bool:
        return False

    def is_open(self, request_id: bytes) -> bool:
        return False

    def call_received(self, call: Any) -> None:
        self.calls.append(call)

    def disconnected(self, call: Any) -> None:
        self.calls.remove(call)

    def set_drain_deadline(self, from_ms: float, by_ms: float) -> None:
        self.leaving = from_ms, by_ms

    @property
    def busy(self) -> bool:
        return bool(self.calls)


async def start_frontend(loop: Loop, max_open: int) -> tuple[Frontend, StubHandler, tuple[str, int]]:
    handler = StubHandler()
    frontend = Frontend(Gate(handler, CLASSES, loop.time), max_open)
    return frontend, handler, await frontend.listen(("127.0.0.1", 0))


def request(name: str, body: bytes = b"") -> bytes:
    head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: {name}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def connect(address: tuple[str, int], data: bytes = b"") -> socket.socket:
    """Connect and send `data` synchronously, without a loop step in between."""
    client = socket.create_connection(address)
    client.settimeout(10.0)
    client.sendall(data)
    return client


def test_connections_that_arrived_in_a_pause_stay_queued_until_there_is_capacity(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections are accepted up to half of the limit; each answer closes its own, and the next is accepted.

    All requests get their true arrival time.
    """
    monkeypatch.setattr(accept_rules, "MAX_DEFERRAL_S", 10.0)

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        began_ms = loop.time() * 1000
        clients = [connect(address, request(f"r{i}")) for i in range(30)]
        time.sleep(PAUSE_S)
        await until(lambda: frontend.listener.deferred)
        await until(lambda: len(handler.calls) == 4)
        answered = 0
        while answered < 30:
            await until(lambda: handler.calls)
            call = handler.calls.pop()
            assert call.is_delayed and call.arrived_ms < began_ms + 1000 * PAUSE_S / 2
            call.reply(503, b"")
            answered += 1
            assert len(handler.calls) <= 4
        for client in clients:
            assert client.recv(1000).startswith(b"HTTP/1.1 503")

    run_scene(scene)


def test_answers_close_their_connections_while_others_are_queued(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(accept_rules, "MAX_DEFERRAL_S", 10.0)

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        clients = [connect(address, request(f"r{i}")) for i in range(30)]
        time.sleep(PAUSE_S)
        await until(lambda: len(handler.calls) == 4 and frontend.listener.deferred)
        handler.calls[0].reply(200, b"")
        answers = []
        for client in clients:
            client.setblocking(False)
            try:
                answers.append(client.recv(1000))
            except BlockingIOError:
                continue
        assert len(answers) == 1 and b"Connection: close" in answers[0]
        frontend.stop_accepting()
        await asyncio.sleep(0.05)

    run_scene(scene)


def test_clients_that_use_all_connections_do_not_block_the_others() -> None:
    """After a pause, requests beyond the limit are refused instead of being left queued without an answer."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        clients = [connect(address, request(f"r{i}")) for i in range(30)]
        time.sleep(PAUSE_S)
        resumed_s = loop.time()
        await until(lambda: frontend.listener.deferred)
        await until(lambda: len(handler.calls) == 8)  # after the deferral, the whole limit is in use again
        for client in clients[8:]:
            client.setblocking(False)
            async with asyncio.timeout(10):
                answer = await loop.sock_recv(client, 1000)
            assert answer.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer
        assert (
            loop.time() - resumed_s < 1.0
        )  # 0.05 s, plus delays of a busy machine; it took 3 s without the rule
        assert len(handler.calls) == 8
        frontend.stop_accepting()

    run_scene(scene)


def test_no_request_is_refused_while_accepted_connections_are_being_attached(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Attached, they can be evicted; until then they can't, and the limit seems to be used up.

    The allowance for deferring accept(2) after a pause is spent, as after an earlier pause.
    """
    monkeypatch.setattr(accept_rules, "MAX_DEFERRAL_S", 0.0)
    monkeypatch.setattr(accept_rules, "MAX_DEFERRAL_AFTER_PAUSE_S", 0.0)

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        silent = [connect(address) for _ in range(8)]
        clients = [connect(address, request(f"r{i}")) for i in range(4)]
        time.sleep(PAUSE_S)
        await until(lambda: len(handler.calls) + frontend.load.total["refused_no_capacity"] == 4)
        assert len(handler.calls) == 4
        frontend.stop_accepting()
        for client in (*silent, *clients):
            client.close()

    run_scene(scene)


def test_one_connection_is_evicted_for_each_that_waited_in_a_pause() -> None:
    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        silent = [connect(address) for _ in range(8)]
        await until(lambda: frontend.count == 8)
        client = connect(address, request("r0"))
        time.sleep(PAUSE_S)
        await until(lambda: handler.calls)
        assert frontend.count == 8
        for one in (*silent, client):
            one.close()

    run_scene(scene)


def test_silent_connection_accepted_before_a_pause_was_recorded_is_spared_for_as_long() -> None:
    """Its time of accept lies ahead on the clock without pauses. A starved process that closed it, and many
    like it, would lose requests that are about to arrive."""

    async def scene(loop: Loop) -> None:
        frontend, _, address = await start_frontend(loop, 8)
        silent = [connect(address) for _ in range(8)]
        await until(lambda: frontend.count == 8)
        assert frontend.could_evict()  # a crowd
        for connection in frontend._connections:
            connection.state_since_s += PAUSE_S
        assert not frontend.could_evict()
        await asyncio.sleep(PAUSE_S)
        assert frontend.could_evict()
        for one in silent:
            one.close()

    run_scene(scene)


def test_expired_request_is_refused_without_the_event_loop() -> None:
    """Its client has given up; keeping its connection would cost as much as a request."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        late = connect(address, request("r0").replace(b"\r\n\r\n", b"\r\nX-Timeout-Ms: 100\r\n\r\n"))
        time.sleep(PAUSE_S)
        await until(lambda: frontend.load.total["refused_expired"])
        assert frontend.listener.accepting == 0 and frontend.count == 0 and not handler.calls
        answer = late.recv(1000)
        assert answer.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer
        assert late.recv(1000) == b""
        late.close()

    run_scene(scene)


def test_listener_that_is_polled_is_not_registered_again() -> None:
    """Registered again right after a gap, it would be polled later, and queued connections would seem new."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        loop.call_soon(frontend.listener._resume)
        client = connect(address, request("r0"))
        time.sleep(PAUSE_S)
        await until(lambda: handler.calls)
        assert handler.calls[0].is_delayed
        client.close()

    run_scene(scene)


def test_first_data_read_several_steps_after_a_gap_gets_its_arrival_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The gap is between accepting a connection and reading from it."""
    real = Listener._attach

    async def attach(self: Listener, connection: ClientConnection, sock: socket.socket) -> None:
        time.sleep(PAUSE_S)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await real(self, connection, sock)

    async def scene(loop: Loop) -> None:
        _, handler, address = await start_frontend(loop, 8)
        monkeypatch.setattr(Listener, "_attach", attach)
        client = connect(address, request("r0"))
        await until(lambda: handler.calls)
        assert handler.calls[0].is_delayed
        client.close()

    run_scene(scene)


def test_data_left_after_a_full_read_buffer_is_as_old_as_the_data_read() -> None:
    async def scene(loop: Loop) -> None:
        _, handler, address = await start_frontend(loop, 8)
        client = connect(address, request("r0", bytes(45_000)) + request("r1", bytes(45_000)))
        time.sleep(PAUSE_S)
        for name in (b"r0", b"r1"):
            await until(lambda: handler.calls)
            call = handler.calls.pop()
            assert call.request_id == name and call.is_delayed
            call.reply(200, b"")
        await asyncio.sleep(0.2)
        client.sendall(request("r2"))  # data that arrives now is new
        await until(lambda: handler.calls)
        assert not handler.calls[0].is_delayed

    run_scene(scene)


def test_connection_with_unread_data_is_not_evicted() -> None:
    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        partial = connect(address, request("r0")[:20])
        idle = connect(address, request("r1"))
        await until(lambda: handler.calls and frontend.count == 2)
        handler.calls.pop().reply(200, b"")
        assert idle.recv(1000)
        partial.sendall(request("r0")[20:])
        idle.sendall(request("r2"))
        assert not frontend.evict() and frontend.count == 2
        await until(lambda: len(handler.calls) == 2)

    run_scene(scene)


def test_new_connection_is_spared_while_others_wait() -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await start_frontend(loop, 8)
        new = connect(address)
        await until(lambda: frontend.count == 1)
        assert not frontend.evict(spare_active=True)
        frontend.close_idle(spare_new=True)
        await asyncio.sleep(0.05)
        assert frontend.count == 1 and not frontend.evict()
        await asyncio.sleep(SILENT_GRACE_S)
        assert frontend.evict()
        await until(lambda: frontend.count == 0)
        new.close()

    run_scene(scene)


async def block_between_steps(loop: Loop, for_s: float) -> None:
    time.sleep(for_s)


async def block_ahead_of_timers(loop: Loop, for_s: float) -> None:
    """Block in a loop step ahead of the timers that are due in it: the next poll records the pause."""
    loop.call_soon(time.sleep, 0.03)  # the timers of this time are due in one step, the next line's first
    loop.call_later(0.0001, time.sleep, for_s)
    await asyncio.sleep(0.0002)


async def block_ahead_of_tasks(loop: Loop, for_s: float) -> None:
    """Do the same ahead of the tasks whose timers were due in the step before."""
    loop.call_soon(time.sleep, 0.03)
    await asyncio.sleep(0.0001)
    time.sleep(for_s)


BLOCKS = pytest.mark.parametrize("block", [block_between_steps, block_ahead_of_timers, block_ahead_of_tasks])


@BLOCKS
def test_pause_does_not_count_against_an_incomplete_request(
    block: Block, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frontends, "SWEEP_INTERVAL_S", 0.02)  # due in most of the blocked steps
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.5)

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        partial = connect(address, request("r0")[:20])
        await until(lambda: frontend.count == 1)
        for _ in range(5):
            await block(loop, 0.5)
            await asyncio.sleep(0.005)
        partial.sendall(request("r0")[20:])
        await until(lambda: handler.calls)
        partial.close()

    run_scene(scene)


@BLOCKS
def test_drain_waits_for_new_connections_and_excludes_process_pauses(block: Block) -> None:
    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        partial = connect(address, request("r0")[:20])
        await until(lambda: frontend.count == 1)
        draining = loop.create_task(drain(frontend, handler, False, None))  # type: ignore[arg-type]
        await asyncio.sleep(0.3)
        silent = connect(address)
        await asyncio.sleep(0.3)  # by now the listener is closed
        silent.sendall(request("r1"))
        await until(lambda: handler.calls)
        handler.calls.pop().reply(200, b"")
        assert silent.recv(1000).startswith(b"HTTP/1.1 200")
        await block(loop, 1.0)
        await asyncio.sleep(0.1)
        assert not draining.done()
        partial.sendall(request("r0")[20:])
        await until(lambda: handler.calls)
        handler.calls.pop().reply(200, b"")
        assert partial.recv(1000).startswith(b"HTTP/1.1 200")
        await draining

    run_scene(scene)


def test_safe_calls_are_dated_to_the_end_of_a_gap_and_unsafe_ones_to_its_start() -> None:
    for name, arrived_ms in (("unsafe", 1000.0), ("safe", 2000.0)):
        call = SimpleNamespace(classes=CLASSES, class_name=name)
        ParsedCall.set_arrival(call, (1.0, 2.0))  # type: ignore[arg-type]
        assert call.arrived_ms == arrived_ms and call.is_delayed


def test_call_close_to_its_deadline_is_dispatched_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = make_node(("127.0.0.1", 9))
        events = record_events(node, monkeypatch)
        call = make_call(loop, 1000)
        call.is_delayed = True
        call.arrived_ms -= 993
        node.call_received(call)
        assert [event for event in events if isinstance(event, RequestArrived)]

    run_scene(scene)


def test_request_that_expires_in_a_pause_between_choice_and_sending_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        real = Balancer.handle

        def handle(self: Balancer, now_ms: float, batch: list[Event]) -> Any:
            found = real(self, now_ms, batch)
            if any(isinstance(action, Send) for action in found):
                time.sleep(PAUSE_S)
            return found

        monkeypatch.setattr(Balancer, "handle", handle)
        sent: list[int] = []
        node = make_node(ThreadedServer(lambda: sent.append(1), ok(b"")).address)
        call = make_call(loop, 200)
        node.call_received(call)
        await until(lambda: call.given)
        await asyncio.sleep(0.1)
        assert call.given == ["refused"] and not sent

    run_scene(scene)
