"""A fault proxy: TCP connections pass through it and are delayed, cut in pieces, reset, or half-closed."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from random import Random

PIECE = 16 * 1024
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close sends RST


class Trouble:
    """What befalls each piece of data. `share`: of the pieces that end their connection."""

    def __init__(self, random: Random, share: float) -> None:
        self._random, self._share = random, share

    def size(self) -> int:
        """How much is read at once."""
        return self._random.choice((1, 7, 100, PIECE, PIECE, PIECE))

    def delay_s(self) -> float:
        return self._random.choice((0.0, 0.0, 0.0, 0.002, 0.02))

    def ends(self) -> str:
        """How the connection ends now: "", "reset", "close" or "half"."""
        if self._random.random() >= self._share:
            return ""
        return self._random.choice(("reset", "reset", "close", "half"))


class TroubledLink:
    """Listens in the place of `target`. Some connections (`share`) are troubled, the others passed on."""

    def __init__(self, target: tuple[str, int], trouble: Trouble, share: float) -> None:
        self._target, self._trouble = target, trouble
        self._share = share
        self._random = Random(int(share * 1e9))
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> TroubledLink:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self._server.sockets[0].getsockname()[1]
        return self

    async def close(self) -> None:
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with suppress(asyncio.CancelledError):  # else asyncio.streams tells of it
            await self._connect(reader, writer)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            reset(writer)
            return
        troubled = self._random.random() < self._share
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, writer, troubled),
                self._pass(far_reader, writer, far_writer, troubled),
            )
        finally:
            reset(writer)
            reset(far_writer)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        back: asyncio.StreamWriter,
        troubled: bool,
    ) -> None:
        """One direction. `back`: the other end of the connection that is read from."""
        try:
            while data := await reader.read(self._trouble.size() if troubled else PIECE):
                end = ""
                if troubled:
                    await asyncio.sleep(self._trouble.delay_s())
                    end = self._trouble.ends()
                if end == "half":
                    break
                if end == "close":
                    writer.close()
                if end:
                    reset(writer)
                    reset(back)
                    return
                writer.write(data)
                await writer.drain()
            if not writer.is_closing():
                writer.write_eof()
        except OSError:
            reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by RST."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
