"""A TCP proxy that injects faults: it delays, fragments, resets or half-closes connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from random import Random

CHUNK_BYTES = 16 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: close sends RST


class ChunkFaults:
    """Random faults of each chunk of data. `share`: fraction of the chunks that end their connection."""

    def __init__(self, random: Random, share: float) -> None:
        self._random, self._share = random, share

    def read_size(self) -> int:
        """Return the most bytes of the next read."""
        return self._random.choice((1, 7, 100, CHUNK_BYTES, CHUNK_BYTES, CHUNK_BYTES))

    def delay_s(self) -> float:
        """Return how long a chunk is delayed."""
        return self._random.choice((0.0, 0.0, 0.0, 0.002, 0.02))

    def end(self) -> str:
        """Return how the connection ends at this chunk: "" (not at all), "reset", "close" or "half"."""
        if self._random.random() >= self._share:
            return ""
        return self._random.choice(("reset", "reset", "close", "half"))


class FaultyLink:
    """Listens in place of `target`. A `share` of the connections is faulty; the others are only forwarded."""

    def __init__(self, target: tuple[str, int], faults: ChunkFaults, share: float) -> None:
        self._target, self._faults = target, faults
        self._share = share
        self._random = Random(int(share * 1e9))
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> FaultyLink:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self._server.sockets[0].getsockname()[1]
        return self

    async def close(self) -> None:
        """Stop listening and cancel all open connections."""
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
        with suppress(asyncio.CancelledError):  # asyncio.streams would log it
            await self._connect(reader, writer)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            reset(writer)
            return
        faulty = self._random.random() < self._share
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, writer, faulty),
                self._forward(target_reader, writer, target_writer, faulty),
            )
        finally:
            reset(writer)
            reset(target_writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: asyncio.StreamWriter,
        faulty: bool,
    ) -> None:
        """Forward one direction. `source`: the writer of the connection that `reader` belongs to."""
        try:
            while data := await reader.read(self._faults.read_size() if faulty else CHUNK_BYTES):
                end = ""
                if faulty:
                    await asyncio.sleep(self._faults.delay_s())
                    end = self._faults.end()
                if end == "half":
                    break
                if end == "close":
                    writer.close()
                if end:
                    reset(writer)
                    reset(source)
                    return
                writer.write(data)
                await writer.drain()
            if not writer.is_closing():
                writer.write_eof()
        except OSError:
            reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with RST."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
