"""The listener when there is no room, or no time: who is refused, who goes on, and how requests are dated."""

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
from cloverrouter.proxy.overload import MOST_BEHIND_S
from cloverrouter.proxy.wake import Loop, data_age_s
from tests.test_upstream import until
from tests.test_wake import play
from tests.test_waking_front import connect, front_of, request

RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: close(2) sends RST


async def answer_on(loop: Loop, client: socket.socket) -> bytes:
    client.setblocking(False)
    async with asyncio.timeout(10):
        return await loop.sock_recv(client, 1000)


def overload(monkeypatch: pytest.MonkeyPatch, frontend: Frontend) -> list[bool]:
    """Have the loop count as overloaded as long as the list that is returned says so."""
    state = [True]
    monkeypatch.setattr(frontend.wake.overload, "is_overloaded", lambda now_s: state[0])
    return state


def test_overloaded_process_refuses_at_once_and_the_decisions_see_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        kept = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await answer_on(loop, kept)).startswith(b"HTTP/1.1 200")
        state = overload(monkeypatch, frontend)
        clients = [connect(address, request(f"r{i}")) for i in range(40)]
        kept.send(request("kept"))
        time.sleep(MOST_BEHIND_S + 0.05)
        for client in (*clients, kept):
            assert (await answer_on(loop, client)).startswith(b"HTTP/1.1 503")
        assert not held.calls and frontend.load.total["refused_overloaded"] == 41
        assert frontend.count <= 1  # those that were refused hold nothing
        state[0] = False
        last = connect(address, request("last"))
        await until(lambda: held.calls)
        held.calls.pop().reply(200, b"")
        assert (await answer_on(loop, last)).startswith(b"HTTP/1.1 200")
        for one in (*clients, kept, last):
            one.close()

    play(scene)


def test_connection_that_is_there_and_is_read_in_good_time_is_served_in_an_overload(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Others flood the listener: who has a connection does not pay for them."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        kept = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await answer_on(loop, kept)).startswith(b"HTTP/1.1 200")
        overload(monkeypatch, frontend)
        kept.send(request("kept"))
        await until(lambda: held.calls)
        assert held.calls[0].request_id == b"kept"
        # Where the kernel does not tell how long it has waited, it may have been long.
        monkeypatch.setattr(client_connection, "data_age_s", lambda sock: None)
        other = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await answer_on(loop, other)).startswith(b"HTTP/1.1 200")
        other.send(request("other"))
        assert (await answer_on(loop, other)).startswith(b"HTTP/1.1 503")
        for one in (kept, other):
            one.close()

    play(scene)


def test_new_connection_that_is_read_in_good_time_is_served_in_an_overload(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A loop may find something ready at each look for long, and read all of it within milliseconds."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        overload(monkeypatch, frontend)
        client = connect(address, request("new"))
        await until(lambda: held.calls)
        held.calls.pop().reply(200, b"")
        assert (await answer_on(loop, client)).startswith(b"HTTP/1.1 200")
        assert not frontend.load.total["refused_overloaded"]
        client.close()

    play(scene)


def test_readiness_is_answered_in_an_overload(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await front_of(loop, 8)
        overload(monkeypatch, frontend)
        client = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await answer_on(loop, client)).startswith(b"HTTP/1.1 200")
        client.close()

    play(scene)


def test_crowd_of_silent_connections_makes_room_ahead_of_one_that_has_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Also where room is made gently, as it is while what is accepted has waited and half of the places are
    taken: nobody of a crowd is spared."""

    async def scene(loop: Loop) -> None:
        frontend, _, address = await front_of(loop, 8)
        now_s = frontend.ran_s()
        monkeypatch.setattr(frontend, "ran_s", lambda: now_s)  # the silent ones have just come
        asked = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await answer_on(loop, asked)).startswith(b"HTTP/1.1 200")
        silent = [connect(address) for _ in range(4)]
        await until(lambda: frontend.count == 5)
        assert frontend.evict(gently=True)
        asked.send(b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await answer_on(loop, asked)).startswith(b"HTTP/1.1 200")
        for one in (asked, *silent):
            one.close()

    play(scene)


def test_request_of_which_a_part_has_come_is_refused_when_it_is_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        overload(monkeypatch, frontend)
        whole = request("r0", bytes(2000))
        client = connect(address, whole[:60])
        await until(lambda: frontend.count == 1)
        client.sendall(whole[60:])
        time.sleep(MOST_BEHIND_S + 0.05)
        assert (await answer_on(loop, client)).startswith(b"HTTP/1.1 503")
        assert not held.calls
        client.close()

    play(scene)


def test_request_of_which_a_part_has_come_is_served_when_there_is_time_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        state = overload(monkeypatch, frontend)
        client = connect(address, request("r0")[:30])
        await until(lambda: frontend.count == 1)
        state[0] = False
        client.sendall(request("r0")[30:])
        await until(lambda: held.calls)
        assert held.calls[0].request_id == b"r0"
        held.calls.pop().reply(200, b"")
        assert (await answer_on(loop, client)).startswith(b"HTTP/1.1 200")
        client.close()

    play(scene)


def test_bytes_behind_a_refused_request_do_not_destroy_its_answer() -> None:
    """Closing over unread bytes sends RST (RFC 9112, 9.6): they are read and dropped first."""

    async def scene(loop: Loop) -> None:
        _, held, address = await front_of(loop, 4)
        busy = [connect(address, request(f"busy{i}")) for i in range(4)]
        await until(lambda: len(held.calls) == 4)
        client = connect(address, request("r0") + request("r1", bytes(60_000)) + request("r2", bytes(60_000)))
        answers = b""
        while piece := await answer_on(loop, client):
            answers += piece
        assert answers.startswith(b"HTTP/1.1 503") and len(held.calls) == 4
        for one in (*busy, client):
            one.close()

    play(scene)


@pytest.mark.parametrize("busy", [True, False])
def test_answer_that_the_kernel_takes_in_parts_is_sent_whole(
    busy: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """send(2) may take a few bytes at a time, and then none for a while."""
    real = socket.socket.send
    sizes = iter([1, 3, 0, 7])

    def send(self: socket.socket, data: Any, *told: Any) -> int:
        if self.getsockname()[1] != port:
            return real(self, data, *told)
        size = next(sizes, None)
        if size == 0:
            raise BlockingIOError
        return real(self, data if size is None else bytes(data)[:size], *told)

    port = 0

    async def scene(loop: Loop) -> None:
        nonlocal port
        frontend, held, address = await front_of(loop, 4)
        clients = [connect(address, request(f"r{i}")) for i in range(4 if busy else 0)]
        await until(lambda: len(held.calls) == len(clients))
        if not busy:
            overload(monkeypatch, frontend)
        port = address[1]
        monkeypatch.setattr(socket.socket, "send", send)
        client = connect(address, request("last"))
        if not busy:
            time.sleep(MOST_BEHIND_S + 0.05)  # what is read in good time is not refused
        answers = b""
        while not answers.endswith(b"\r\n\r\n"):
            piece = await answer_on(loop, client)
            assert piece, answers
            answers += piece
        assert answers.startswith(b"HTTP/1.1 503 ") and b"Content-Length: 0" in answers
        if busy:
            assert await answer_on(loop, client) == b""  # it ends with its answer
        for one in (*clients, client):
            one.close()

    play(scene)


@pytest.mark.parametrize("reset", [False, True])
def test_client_that_has_gone_before_it_is_refused_is_no_error(
    reset: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await front_of(loop, 8)
        overload(monkeypatch, frontend)
        for data in (b"", request("r0")[:20], request("r1")):
            client = connect(address, data)
            if reset:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            client.close()
        time.sleep(MOST_BEHIND_S + 0.05)
        await until(lambda: frontend._number == 3)
        await until(lambda: frontend.count == 0)
        assert not frontend.errors.counts

    play(scene)


def test_connection_that_asks_nothing_where_all_are_busy_ends_soon() -> None:
    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 4)
        busy = [connect(address, request(f"r{i}")) for i in range(4)]
        await until(lambda: len(held.calls) == 4)
        silent = [connect(address) for _ in range(12)]
        for client in silent:
            assert await answer_on(loop, client) == b""
        asking = connect(address, request("last"))
        assert (await answer_on(loop, asking)).startswith(b"HTTP/1.1 503")
        assert frontend.load.total["refused_no_capacity"] == 1 and len(held.calls) == 4
        for one in (*busy, *silent, asking):
            one.close()

    play(scene)


def test_refused_client_is_told_when_to_come_back() -> None:
    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 4)
        frontend.gate.retry_after_ms = 100.0
        busy = [connect(address, request(f"r{i}")) for i in range(4)]
        await until(lambda: len(held.calls) == 4)
        client = connect(address, request("last"))
        assert b"Retry-After: 0.100" in await answer_on(loop, client)
        for one in (*busy, client):
            one.close()

    play(scene)


def test_request_whose_time_is_over_when_it_is_read_is_refused_unseen() -> None:
    """Its client may have come again by then: what has an effect would run twice for it."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        wanted = request("r0").replace(b"\r\n\r\n", b"\r\nX-Timeout-Ms: 50\r\n\r\n")
        client = connect(address, wanted)
        other = connect(address, request("r1"))
        time.sleep(0.3)
        assert (await answer_on(loop, client)).startswith(b"HTTP/1.1 503")
        await until(lambda: held.calls)
        assert [call.request_id for call in held.calls] == [b"r1"]
        assert frontend.load.total[f"refused_{RefusalReason.EXPIRED.value}"] == 1
        client.close()
        other.close()

    play(scene)


def test_request_of_a_connection_that_the_loop_can_not_take_reaches_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It has waited, and is read as it is accepted. Handed over then, it would run for nobody."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)

        async def fail(*_: Any) -> Any:
            raise OSError(errno.ENOMEM, "epoll_ctl")

        handed_over: list[object] = []
        monkeypatch.setattr(held, "arrived", handed_over.append)
        monkeypatch.setattr(loop, "connect_accepted_socket", fail)
        lost = connect(address, request("lost"))
        time.sleep(0.1)  # longer than it takes the loop to come by
        with suppress(ConnectionResetError):
            assert await answer_on(loop, lost) == b""
        assert not handed_over
        assert not frontend.gate.waiting_ids  # or its client could not send it once more
        assert not frontend.busy
        monkeypatch.undo()
        again = connect(address, request("lost"))
        await until(lambda: held.calls)
        for client in (lost, again):
            client.close()

    play(scene)


def test_loop_that_leaves_connections_queued_keeps_the_time_to_read_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It finds nothing ready meanwhile: that is neither having caught up nor being behind."""
    monkeypatch.setattr(listener_module, "MOST_DEFERRED_S", 1.0)

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        clients = [connect(address, request(f"r{i}")) for i in range(5)]
        await until(lambda: len(held.calls) == 5)
        clients += [connect(address, request(f"late{i}")) for i in range(2)]
        time.sleep(0.1)
        await until(lambda: frontend.listener._resting)
        told: list[float] = []
        monkeypatch.setattr(frontend.wake.overload, "caught_up", told.append)
        await asyncio.sleep(MOST_BEHIND_S + 0.2)
        assert frontend.listener._resting and not told and not frontend.overloaded
        await until(lambda: len(held.calls) == 7)
        await until(lambda: told)
        for client in clients:
            client.close()

    play(scene)


class Unwilling:
    """A listening socket of which accept(2) fails for want of descriptors until it is told otherwise."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self.failing = sock, True

    def accept(self) -> Any:
        if self.failing:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return self._sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def test_time_in_the_queue_counts_while_accepting_rests() -> None:
    """Without a descriptor nobody is accepted for 0.2 s at a time, though the loop is at its sockets."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        listener = frontend.listener
        assert listener._socket is not None
        unwilling = Unwilling(listener._socket)
        listener._socket = unwilling  # type: ignore[assignment]
        came_ms = loop.time() * 1000
        client = connect(address, request("r0"))
        await asyncio.sleep(0.5)
        unwilling.failing = False
        await until(lambda: held.calls)
        call = held.calls[0]
        assert call.late and call.arrived_ms < came_ms + 100
        client.close()
        listener._socket = unwilling._sock

    play(scene)


@pytest.mark.parametrize(
    ("told", "age_s"),
    [
        (bytes(56), None),
        (bytes([1]) + bytes(55), None),  # a state, and nothing else
        (bytes([1]) + bytes(7) + struct.pack("=I", 200_000) + bytes(40) + struct.pack("=I", 40), 0.04),
        (bytes([1]) + bytes(7) + struct.pack("=I", 200_000) + bytes(44), 0.0),
        (bytes(20), None),
    ],
)
def test_age_of_data_is_believed_only_of_a_filled_tcp_info(told: bytes, age_s: float | None) -> None:
    class Told:
        def getsockopt(self, *what: object) -> bytes:
            return told

    assert data_age_s(Told()) == age_s  # type: ignore[arg-type]


def test_real_connection_fills_what_tcp_info_is_believed_by() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, connect(server.getsockname(), b"x") as client:
        accepted, _ = server.accept()
        with accepted:
            told = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, wake.INFO_BYTES)
            assert any(told[wake.RETRANSMIT_TIMEOUT])
            assert data_age_s(accepted) is not None
        client.close()
