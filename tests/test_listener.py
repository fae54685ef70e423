"""The listener at the connection limit and under overload: refusals, evictions and arrival times."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import struct
import time
from contextlib import suppress
from typing import Any

import pytest

from cloverrouter.proxy import client_connection, wake
from cloverrouter.proxy import listener as listener_module
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.load import RefusalReason
from cloverrouter.proxy.overload import MAX_DELAY_S
from cloverrouter.proxy.wake import Loop, data_age_s
from tests.test_upstream import until
from tests.test_wake import run_scene
from tests.test_waking_front import connect, request, start_frontend

LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER with a zero timeout: close(2) sends RST


async def receive_answer(loop: Loop, client: socket.socket) -> bytes:
    client.setblocking(False)
    async with asyncio.timeout(10):
        return await loop.sock_recv(client, 1000)


def simulate_overload(monkeypatch: pytest.MonkeyPatch, frontend: Frontend) -> list[bool]:
    """Make the loop appear overloaded while the first item of the returned list is true."""
    state = [True]
    monkeypatch.setattr(frontend.pause_detector.overload, "is_overloaded", lambda now_s: state[0])
    return state


def test_overloaded_process_refuses_at_once_without_consulting_the_balancer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        kept = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await receive_answer(loop, kept)).startswith(b"HTTP/1.1 200")
        state = simulate_overload(monkeypatch, frontend)
        clients = [connect(address, request(f"r{i}")) for i in range(40)]
        kept.send(request("kept"))
        time.sleep(MAX_DELAY_S + 0.05)
        for client in (*clients, kept):
            assert (await receive_answer(loop, client)).startswith(b"HTTP/1.1 503")
        assert not handler.calls and frontend.load.total["refused_overloaded"] == 41
        assert frontend.count <= 1  # refused connections are closed
        state[0] = False
        last = connect(address, request("last"))
        await until(lambda: handler.calls)
        handler.calls.pop().reply(200, b"")
        assert (await receive_answer(loop, last)).startswith(b"HTTP/1.1 200")
        for one in (*clients, kept, last):
            one.close()

    run_scene(scene)


def test_established_connection_that_is_read_without_delay_is_served_in_an_overload(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A flood of new connections does not affect established ones."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        kept = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await receive_answer(loop, kept)).startswith(b"HTTP/1.1 200")
        simulate_overload(monkeypatch, frontend)
        kept.send(request("kept"))
        await until(lambda: handler.calls)
        assert handler.calls[0].request_id == b"kept"
        # If the kernel does not report how long the data has been pending, a long delay is assumed.
        monkeypatch.setattr(client_connection, "data_age_s", lambda sock: None)
        other = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await receive_answer(loop, other)).startswith(b"HTTP/1.1 200")
        other.send(request("other"))
        assert (await receive_answer(loop, other)).startswith(b"HTTP/1.1 503")
        for one in (kept, other):
            one.close()

    run_scene(scene)


def test_new_connection_that_is_read_without_delay_is_served_in_an_overload(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A loop may find ready sockets at every poll for long, and still read all data within milliseconds."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        simulate_overload(monkeypatch, frontend)
        client = connect(address, request("new"))
        await until(lambda: handler.calls)
        handler.calls.pop().reply(200, b"")
        assert (await receive_answer(loop, client)).startswith(b"HTTP/1.1 200")
        assert not frontend.load.total["refused_overloaded"]
        client.close()

    run_scene(scene)


def test_pause_between_the_poll_and_its_callbacks_is_no_overload() -> None:
    """The next poll records the pause; until then it must not pass for a loop that has fallen behind."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 40)
        first = connect(address, request("first"))
        await until(lambda: handler.calls)
        handler.calls.pop().reply(200, b"")
        assert (await receive_answer(loop, first)).startswith(b"HTTP/1.1 200")
        clients: list[socket.socket] = []

        def pause() -> None:
            clients.extend(connect(address, request(f"r{i}")) for i in range(8))
            time.sleep(MAX_DELAY_S + 0.3)

        loop.call_soon(pause)
        loop.call_soon(frontend.listener.accept)  # runs in the same step
        await until(lambda: len(handler.calls) + frontend.load.total["refused_overloaded"] == 8)
        assert not frontend.load.total["refused_overloaded"]
        for call in handler.calls:
            call.reply(200, b"")
        for client in clients:
            assert (await receive_answer(loop, client)).startswith(b"HTTP/1.1 200")
        for one in (first, *clients):
            one.close()

    run_scene(scene)


def test_readiness_is_answered_in_an_overload(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await start_frontend(loop, 8)
        simulate_overload(monkeypatch, frontend)
        client = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await receive_answer(loop, client)).startswith(b"HTTP/1.1 200")
        client.close()

    run_scene(scene)


def test_many_silent_connections_are_evicted_before_one_that_has_sent_a_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Eviction with `spare_active`, used while accepted connections were delayed and half of the limit is in
    use, does not spare silent connections either if there are too many of them.
    """

    async def scene(loop: Loop) -> None:
        frontend, _, address = await start_frontend(loop, 8)
        now_s = frontend.active_time_s()
        monkeypatch.setattr(frontend, "active_time_s", lambda: now_s)  # the silent connections are new
        asked = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await receive_answer(loop, asked)).startswith(b"HTTP/1.1 200")
        silent = [connect(address) for _ in range(4)]
        await until(lambda: frontend.count == 5)
        assert frontend.evict(spare_active=True)
        asked.send(b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await receive_answer(loop, asked)).startswith(b"HTTP/1.1 200")
        for one in (asked, *silent):
            one.close()

    run_scene(scene)


def test_partial_request_is_refused_once_it_is_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        simulate_overload(monkeypatch, frontend)
        whole = request("r0", bytes(2000))
        client = connect(address, whole[:60])
        await until(lambda: frontend.count == 1)
        client.sendall(whole[60:])
        time.sleep(MAX_DELAY_S + 0.05)
        assert (await receive_answer(loop, client)).startswith(b"HTTP/1.1 503")
        assert not handler.calls
        client.close()

    run_scene(scene)


def test_partial_request_is_served_if_the_overload_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        state = simulate_overload(monkeypatch, frontend)
        client = connect(address, request("r0")[:30])
        await until(lambda: frontend.count == 1)
        state[0] = False
        client.sendall(request("r0")[30:])
        await until(lambda: handler.calls)
        assert handler.calls[0].request_id == b"r0"
        handler.calls.pop().reply(200, b"")
        assert (await receive_answer(loop, client)).startswith(b"HTTP/1.1 200")
        client.close()

    run_scene(scene)


def test_data_after_a_refused_request_does_not_destroy_its_answer() -> None:
    """Closing a socket with unread data sends RST (RFC 9112, 9.6), so the data is read and dropped first."""

    async def scene(loop: Loop) -> None:
        _, handler, address = await start_frontend(loop, 4)
        busy = [connect(address, request(f"busy{i}")) for i in range(4)]
        await until(lambda: len(handler.calls) == 4)
        client = connect(address, request("r0") + request("r1", bytes(60_000)) + request("r2", bytes(60_000)))
        answers = b""
        while piece := await receive_answer(loop, client):
            answers += piece
        assert answers.startswith(b"HTTP/1.1 503") and len(handler.calls) == 4
        for one in (*busy, client):
            one.close()

    run_scene(scene)


@pytest.mark.parametrize("busy", [True, False])
def test_answer_is_sent_completely_despite_partial_writes(
    busy: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """send(2) may accept a few bytes at a time, and then fail with EAGAIN for a while."""
    real = socket.socket.send
    sizes = iter([1, 3, 0, 7])

    def send(self: socket.socket, data: Any, *args: Any) -> int:
        if self.getsockname()[1] != port:
            return real(self, data, *args)
        size = next(sizes, None)
        if size == 0:
            raise BlockingIOError
        return real(self, data if size is None else bytes(data)[:size], *args)

    port = 0

    async def scene(loop: Loop) -> None:
        nonlocal port
        frontend, handler, address = await start_frontend(loop, 4)
        clients = [connect(address, request(f"r{i}")) for i in range(4 if busy else 0)]
        await until(lambda: len(handler.calls) == len(clients))
        if not busy:
            simulate_overload(monkeypatch, frontend)
        port = address[1]
        monkeypatch.setattr(socket.socket, "send", send)
        client = connect(address, request("last"))
        if not busy:
            time.sleep(MAX_DELAY_S + 0.05)  # a request that is read without delay is not refused
        answers = b""
        while not answers.endswith(b"\r\n\r\n"):
            piece = await receive_answer(loop, client)
            assert piece, answers
            answers += piece
        assert answers.startswith(b"HTTP/1.1 503 ") and b"Content-Length: 0" in answers
        if busy:
            assert await receive_answer(loop, client) == b""  # the connection is closed after its answer
        for one in (*clients, client):
            one.close()

    run_scene(scene)


@pytest.mark.parametrize("reset", [False, True])
def test_client_that_disconnects_before_its_refusal_causes_no_error(
    reset: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await start_frontend(loop, 8)
        simulate_overload(monkeypatch, frontend)
        for data in (b"", request("r0")[:20], request("r1")):
            client = connect(address, data)
            if reset:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            client.close()
        time.sleep(MAX_DELAY_S + 0.05)
        await until(lambda: frontend._number == 3)
        await until(lambda: frontend.count == 0)
        assert not frontend.errors.counts

    run_scene(scene)


def test_silent_connection_is_closed_soon_if_all_others_are_busy() -> None:
    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 4)
        busy = [connect(address, request(f"r{i}")) for i in range(4)]
        await until(lambda: len(handler.calls) == 4)
        silent = [connect(address) for _ in range(12)]
        for client in silent:
            assert await receive_answer(loop, client) == b""
        asking = connect(address, request("last"))
        assert (await receive_answer(loop, asking)).startswith(b"HTTP/1.1 503")
        assert frontend.load.total["refused_no_capacity"] == 1 and len(handler.calls) == 4
        for one in (*busy, *silent, asking):
            one.close()

    run_scene(scene)


def test_refusal_has_a_retry_after_header() -> None:
    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 4)
        frontend.gate.retry_after_ms = 100.0
        busy = [connect(address, request(f"r{i}")) for i in range(4)]
        await until(lambda: len(handler.calls) == 4)
        client = connect(address, request("last"))
        assert b"Retry-After: 0.100" in await receive_answer(loop, client)
        for one in (*busy, client):
            one.close()

    run_scene(scene)


def test_request_that_has_expired_when_it_is_read_is_refused() -> None:
    """Its client may have retried by then, so that a request with side effects would run twice."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        wanted = request("r0").replace(b"\r\n\r\n", b"\r\nX-Timeout-Ms: 50\r\n\r\n")
        client = connect(address, wanted)
        other = connect(address, request("r1"))
        time.sleep(0.3)
        assert (await receive_answer(loop, client)).startswith(b"HTTP/1.1 503")
        await until(lambda: handler.calls)
        assert [call.request_id for call in handler.calls] == [b"r1"]
        assert frontend.load.total[f"refused_{RefusalReason.EXPIRED.value}"] == 1
        client.close()
        other.close()

    run_scene(scene)


def test_request_on_a_connection_that_can_not_be_attached_is_not_dispatched(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A delayed request is read at the accept; if it were dispatched, it would run without a client."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)

        async def fail(*_: Any) -> Any:
            raise OSError(errno.ENOMEM, "epoll_ctl")

        dispatched: list[object] = []
        monkeypatch.setattr(handler, "call_received", dispatched.append)
        monkeypatch.setattr(loop, "connect_accepted_socket", fail)
        lost = connect(address, request("lost"))
        time.sleep(0.1)  # longer than the normal latency of the loop
        with suppress(ConnectionResetError):
            assert await receive_answer(loop, lost) == b""
        assert not dispatched
        assert not frontend.gate.queued_ids  # otherwise its client could not retry it
        assert not frontend.busy
        monkeypatch.undo()
        again = connect(address, request("lost"))
        await until(lambda: handler.calls)
        for client in (lost, again):
            client.close()

    run_scene(scene)


def test_deferred_connections_neither_end_the_recovery_nor_count_as_overload(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loop finds nothing ready while it defers: it has neither caught up nor fallen behind."""
    monkeypatch.setattr(listener_module, "MAX_DEFERRAL_S", 1.0)

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        clients = [connect(address, request(f"r{i}")) for i in range(5)]
        await until(lambda: len(handler.calls) == 5)
        clients += [connect(address, request(f"late{i}")) for i in range(2)]
        time.sleep(0.1)
        await until(lambda: frontend.listener._accept_paused)
        caught_up: list[float] = []
        monkeypatch.setattr(frontend.pause_detector.overload, "caught_up", caught_up.append)
        await asyncio.sleep(MAX_DELAY_S + 0.2)
        assert frontend.listener._accept_paused and not caught_up and not frontend.overloaded
        await until(lambda: len(handler.calls) == 7)
        await until(lambda: caught_up)
        for client in clients:
            client.close()

    run_scene(scene)


class FailingAccept:
    """A listening socket whose accept(2) fails with EMFILE while `failing` is set."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self.failing = sock, True

    def accept(self) -> Any:
        if self.failing:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return self._sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def test_time_in_the_queue_counts_while_accepting_is_paused() -> None:
    """Without a free descriptor, accepting pauses for 0.2 s at a time while the loop keeps polling."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        listener = frontend.listener
        assert listener._socket is not None
        failing_socket = FailingAccept(listener._socket)
        listener._socket = failing_socket  # type: ignore[assignment]
        connected_ms = loop.time() * 1000
        client = connect(address, request("r0"))
        await asyncio.sleep(0.5)
        failing_socket.failing = False
        await until(lambda: handler.calls)
        call = handler.calls[0]
        assert call.is_delayed and call.arrived_ms < connected_ms + 100
        client.close()
        listener._socket = failing_socket._sock

    run_scene(scene)


@pytest.mark.parametrize(
    ("info", "age_s"),
    [
        (bytes(56), None),
        (bytes([1]) + bytes(55), None),  # the state only
        (bytes([1]) + bytes(7) + struct.pack("=I", 200_000) + bytes(40) + struct.pack("=I", 40), 0.04),
        (bytes([1]) + bytes(7) + struct.pack("=I", 200_000) + bytes(44), 0.0),
        (bytes(20), None),
    ],
)
def test_age_of_data_is_used_only_if_tcp_info_is_filled_in(info: bytes, age_s: float | None) -> None:
    class FakeSocket:
        def getsockopt(self, *what: object) -> bytes:
            return info

    assert data_age_s(FakeSocket()) == age_s  # type: ignore[arg-type]


def test_kernel_fills_in_tcp_info_of_a_real_connection() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, connect(server.getsockname(), b"x") as client:
        accepted, _ = server.accept()
        with accepted:
            info = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, wake.TCP_INFO_BYTES)
            assert any(info[wake.TCPI_RTO])
            assert data_age_s(accepted) is not None
        client.close()
