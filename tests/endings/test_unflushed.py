"""Connections that close while part of an answer is unsent: the client still receives all of it."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from cloverrouter.proxy.messages import Answer
from cloverrouter.proxy.wake import Loop
from tests.test_listener import receive_answer
from tests.test_upstream import until
from tests.test_wake import run_scene
from tests.test_waking_front import connect, request, start_frontend

SEND_LIMIT_BYTES = 3  # that one call of send(2) accepts
HEAD = b"HTTP/1.1 200 OK\r\n"


def send_in_pieces(monkeypatch: pytest.MonkeyPatch, port: int) -> None:
    """Make send(2) on sockets accepted at `port` alternate between a few bytes and EAGAIN."""
    real, full = socket.socket.send, set[int]()

    def send(self: socket.socket, data: Any, *flags: Any) -> int:
        if self.getsockname()[1] != port:
            return real(self, data, *flags)
        if self.fileno() in full:
            full.remove(self.fileno())
            raise BlockingIOError
        full.add(self.fileno())
        return real(self, bytes(data)[:SEND_LIMIT_BYTES], *flags)

    monkeypatch.setattr(socket.socket, "send", send)


async def read_to_end(loop: Loop, client: socket.socket) -> bytes:
    """Read until the connection ends. Raises ConnectionResetError if it is reset."""
    received = b""
    while piece := await receive_answer(loop, client):
        received += piece
    return received


@pytest.mark.parametrize("length", [300_000, None])
def test_head_of_a_truncated_answer_reaches_its_client(
    length: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server closes early; the client must not see a close without any bytes of an answer."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        client = connect(address, request("r0"))
        await until(lambda: handler.calls)
        send_in_pieces(monkeypatch, address[1])
        sink = handler.calls[0].begin(Answer(200, b"", b"", False, None, length))
        sink.write(b"begins")
        sink.abort()
        received = await read_to_end(loop, client)
        assert received.startswith(HEAD) and b"begins" in received
        assert not received.endswith(b"0\r\n\r\n")  # the client detects the truncation
        client.close()
        await until(lambda: not frontend.count)

    run_scene(scene)


def test_truncated_answer_without_framing_ends_with_a_reset() -> None:
    """HTTP/1.0 has no chunked transfer coding: an orderly close would mark the answer as complete."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        old = request("r0").replace(b"HTTP/1.1", b"HTTP/1.0")
        client = connect(address, old)
        await until(lambda: handler.calls)
        sink = handler.calls[0].begin(Answer(200, b"", b"", False, None))
        sink.write(b"begins")
        sink.abort()
        with pytest.raises(ConnectionResetError):
            await read_to_end(loop, client)
        client.close()
        await until(lambda: not frontend.count)

    run_scene(scene)


def test_idle_connection_is_closed_only_after_its_answer_is_flushed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A drain closes idle connections."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        client = connect(address, request("r0"))
        await until(lambda: handler.calls)
        send_in_pieces(monkeypatch, address[1])
        handler.calls.pop().reply(200, b"answer" * 100)
        frontend.close_idle()
        assert frontend.count == 1
        received = b""
        while not received.endswith(b"answer" * 100):
            piece = await receive_answer(loop, client)
            assert piece, received
            received += piece
        frontend.close_idle()
        assert await read_to_end(loop, client) == b""
        client.close()

    run_scene(scene)


def test_refusal_beyond_the_connection_limit_is_sent_completely(monkeypatch: pytest.MonkeyPatch) -> None:
    """More connections are refused at once than there are slots for it; each frees a slot for the next."""

    async def scene(loop: Loop) -> None:
        _frontend, handler, address = await start_frontend(loop, 4)
        busy = [connect(address, request(f"busy{i}")) for i in range(4)]
        await until(lambda: len(handler.calls) == 4)
        send_in_pieces(monkeypatch, address[1])
        refused = []
        for i in range(16):
            refused.append(connect(address, request(f"r{i}")))
            for _ in range(3):  # iterations of the event loop, in which it is accepted
                await asyncio.sleep(0)
        for client in refused:
            received = await read_to_end(loop, client)
            assert received.startswith(b"HTTP/1.1 503 ") and received.endswith(b"\r\n\r\n")
        for client in (*busy, *refused):
            client.close()

    run_scene(scene)
