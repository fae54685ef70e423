"""Connections that end while a part of an answer has not left the program yet: the client still gets it."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from cloverrouter.proxy.messages import Answer
from cloverrouter.proxy.wake import Loop
from tests.test_listener import answer_on
from tests.test_upstream import until
from tests.test_wake import play
from tests.test_waking_front import connect, front_of, request

PIECE = 3  # bytes that the kernel takes at a time
HEAD = b"HTTP/1.1 200 OK\r\n"


def send_in_pieces(monkeypatch: pytest.MonkeyPatch, port: int) -> None:
    """send(2) takes a few bytes, and then none, in turn, from those that have accepted at `port`."""
    real, full = socket.socket.send, set[int]()

    def send(self: socket.socket, data: Any, *told: Any) -> int:
        if self.getsockname()[1] != port:
            return real(self, data, *told)
        if self.fileno() in full:
            full.remove(self.fileno())
            raise BlockingIOError
        full.add(self.fileno())
        return real(self, bytes(data)[:PIECE], *told)

    monkeypatch.setattr(socket.socket, "send", send)


async def all_of(loop: Loop, client: socket.socket) -> bytes:
    """What comes until the connection ends. Raises ConnectionResetError."""
    found = b""
    while piece := await answer_on(loop, client):
        found += piece
    return found


@pytest.mark.parametrize("length", [300_000, None])
def test_head_of_an_answer_that_is_cut_short_reaches_its_client(
    length: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its server breaks it off at once. A connection that ends with nothing on it would be no answer."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        client = connect(address, request("r0"))
        await until(lambda: held.calls)
        send_in_pieces(monkeypatch, address[1])
        sink = held.calls[0].begin(Answer(200, b"", b"", False, None, length))
        sink.write(b"begins")
        sink.cut()
        found = await all_of(loop, client)
        assert found.startswith(HEAD) and b"begins" in found
        assert not found.endswith(b"0\r\n\r\n")  # its client can tell that this was not all
        client.close()
        await until(lambda: not frontend.count)

    play(scene)


def test_answer_whose_end_is_its_connection_s_end_is_reset_when_it_is_cut_short() -> None:
    """HTTP/1.0 knows no chunks: an orderly end would say that this was all."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        old = request("r0").replace(b"HTTP/1.1", b"HTTP/1.0")
        client = connect(address, old)
        await until(lambda: held.calls)
        sink = held.calls[0].begin(Answer(200, b"", b"", False, None))
        sink.write(b"begins")
        sink.cut()
        with pytest.raises(ConnectionResetError):
            await all_of(loop, client)
        client.close()
        await until(lambda: not frontend.count)

    play(scene)


def test_an_idle_connection_is_closed_only_once_its_answer_has_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """A drain closes those that are idle."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        client = connect(address, request("r0"))
        await until(lambda: held.calls)
        send_in_pieces(monkeypatch, address[1])
        held.calls.pop().reply(200, b"answer" * 100)
        frontend.close_idle()
        assert frontend.count == 1
        found = b""
        while not found.endswith(b"answer" * 100):
            piece = await answer_on(loop, client)
            assert piece, found
            found += piece
        frontend.close_idle()
        assert await all_of(loop, client) == b""
        client.close()

    play(scene)


def test_who_is_refused_for_want_of_room_gets_all_of_the_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    """More are refused at once than there are places for that; each makes room for the next."""

    async def scene(loop: Loop) -> None:
        _frontend, held, address = await front_of(loop, 4)
        busy = [connect(address, request(f"busy{i}")) for i in range(4)]
        await until(lambda: len(held.calls) == 4)
        send_in_pieces(monkeypatch, address[1])
        refused = []
        for i in range(16):
            refused.append(connect(address, request(f"r{i}")))
            for _ in range(3):  # of the loop's steps, in which it is accepted
                await asyncio.sleep(0)
        for client in refused:
            found = await all_of(loop, client)
            assert found.startswith(b"HTTP/1.1 503 ") and found.endswith(b"\r\n\r\n")
        for client in (*busy, *refused):
            client.close()

    play(scene)
