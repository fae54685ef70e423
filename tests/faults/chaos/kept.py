"""Clients that keep their connections and use them for as long as these stay open, also after SIGTERM."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress
from random import Random

from cloverrouter.lab.peers import read_message

Address = tuple[str, int]
CONNECTIONS = 6
WAITS_MS = 1000
# Beyond its time; the process is paused, its machine is busy, and the answers of others go first.
GIVES_UP_AFTER_S = 1.5


class KeptConnections:
    """Some connections, on each of which one request follows the other."""

    def __init__(self, random: Random, endpoint: Address) -> None:
        self._random, self._endpoint = random, endpoint
        self._names = itertools.count()
        self.ending = False  # no new connections from now on
        self.answered = 0
        self.answered_while_ending = 0
        self.unanswered: list[str] = []  # requests whose connection ended, or whose time did, with no answer

    async def run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            for _ in range(CONNECTIONS):
                tasks.create_task(self._keep_one())

    async def _keep_one(self) -> None:
        while not self.ending:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._endpoint)
                try:
                    await self._use(reader, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.02)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Ask until the connection ends."""
        while not (reader.at_eof() or writer.is_closing()):
            name = f"kept{next(self._names)}"
            head = f"POST /unsafe?obj=0 HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: {WAITS_MS}\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            try:
                async with asyncio.timeout(WAITS_MS / 1000 + GIVES_UP_AFTER_S):
                    start = await reader.readuntil(b"\r\n")
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.unanswered.append(name)
                return
            self.answered += 1
            self.answered_while_ending += self.ending
            # A server may break off a long answer; the client can tell, and that is an answer, too.
            try:
                message = await read_message(reader, start)
            except (OSError, asyncio.IncompleteReadError):
                return
            if message.headers.get("connection") == "close":
                return
            await asyncio.sleep(self._random.uniform(0.0, 0.05))


def lost(unanswered: list[str], log: str) -> list[str]:
    """Of these requests those that the proxy has read (`PROXY_TRACE`): a connection may end between two,
    and a request that crosses this end has not been read."""
    taken = {
        line.partition("subject=")[2].split()[0]
        for line in log.splitlines()
        if "request_step event=taken " in line or "request_step event=refused " in line
    }
    return [name for name in unanswered if name in taken]


class Crowd:
    """Idle connections, more than the proxy has descriptors for; each that is ended comes again."""

    def __init__(self, endpoint: Address, count: int) -> None:
        self._endpoint, self._count = endpoint, count
        self.over = False

    async def run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            for _ in range(self._count):
                tasks.create_task(self._idle())

    async def _idle(self) -> None:
        while not self.over:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._endpoint)
                with suppress(OSError, TimeoutError):
                    async with asyncio.timeout(1.0):
                        await reader.read(1)
                writer.transport.abort()
            await asyncio.sleep(0.05)
