"""Clients that make the proxy hold as much as they can, hundreds of times in a row."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress
from random import Random

Address = tuple[str, int]
STAY_S = 1.5  # for how long a client stays, unless it is closed before
BODY_BYTES = 300_000


class HungryClients:
    """`count` connections; each one that ends is replaced by another."""

    def __init__(self, random: Random, endpoint: Address, count: int) -> None:
        self._random, self._endpoint, self._count = random, endpoint, count
        self._request_numbers = itertools.count()
        self.stopping = False

    async def run(self) -> None:
        """Keep the connections open until `stopping` is set."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(self._count):
                tasks.create_task(self._run_connection())

    async def _run_connection(self) -> None:
        while not self.stopping:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._endpoint)
                transport = writer.transport
                assert isinstance(transport, asyncio.ReadTransport)
                transport.pause_reading()
                writer.write(self._data())
                with suppress(OSError, TimeoutError):
                    async with asyncio.timeout(self._random.uniform(0.1, STAY_S)):
                        await reader.read()
                writer.transport.abort()
            await asyncio.sleep(0.05)

    def _head(self, length: int) -> bytes:
        name = f"hungry{next(self._request_numbers)}"
        fields = f"X-Request-ID: {name}\r\nX-Timeout-Ms: 1000\r\nContent-Length: {length}\r\n"
        return f"POST /unsafe?obj={length} HTTP/1.1\r\n{fields}".encode()

    def _data(self) -> bytes:
        """Return what one client sends: nothing of it is a whole request that a server would get."""
        fields = b"".join(b"%x:\r\n" % i for i in range(0x100, 0x100 + 2000))
        half = bytes(self._random.randrange(1, BODY_BYTES))
        return self._random.choice(
            (
                self._head(0) + fields,
                self._head(0) + b"x-long: " + b"y" * 15_000,
                self._head(BODY_BYTES) + b"\r\n" + half,
                self._head(60_000) + b"\r\n" + half[:59_000],
                b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" * 500,
            )
        )
