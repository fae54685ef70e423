"""Clients that reuse persistent connections until the proxy closes them, also after SIGTERM."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress
from random import Random

from cloverrouter.lab.peers import read_message

Address = tuple[str, int]
CONNECTIONS = 6
TIMEOUT_MS = 1000  # of a request
# Added to a request's timeout: the process is paused, the machine is busy and other answers are sent first.
ANSWER_GRACE_S = 1.5


class KeptConnections:
    """Persistent connections, each with one request at a time."""

    def __init__(self, random: Random, endpoint: Address) -> None:
        self._random, self._endpoint = random, endpoint
        self._request_numbers = itertools.count()
        self.stopping = False  # set at SIGTERM: open no new connections
        self.answered = 0
        self.answered_after_sigterm = 0
        self.unanswered: list[str] = []  # their connection ended, or they timed out

    async def run(self) -> None:
        """Use the connections until `stopping` is set and they are closed."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(CONNECTIONS):
                tasks.create_task(self._run_connection())

    async def _run_connection(self) -> None:
        while not self.stopping:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._endpoint)
                try:
                    await self._send_requests(reader, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.02)

    async def _send_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send requests until the connection ends."""
        while not (reader.at_eof() or writer.is_closing()):
            name = f"kept{next(self._request_numbers)}"
            head = f"POST /unsafe?obj=0 HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: {TIMEOUT_MS}\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            try:
                async with asyncio.timeout(TIMEOUT_MS / 1000 + ANSWER_GRACE_S):
                    start = await reader.readuntil(b"\r\n")
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.unanswered.append(name)
                return
            self.answered += 1
            self.answered_after_sigterm += self.stopping
            # A server may break off a long answer. That counts as an answer: the client can detect it.
            try:
                message = await read_message(reader, start)
            except (OSError, asyncio.IncompleteReadError):
                return
            if message.headers.get("connection") == "close":
                return
            await asyncio.sleep(self._random.uniform(0.0, 0.05))


def lost(unanswered: list[str], log: str) -> list[str]:
    """Return the unanswered requests that the proxy has read, according to its trace (`PROXY_TRACE`).

    The proxy may close a connection between two requests. One that is sent at that moment is never read and
    counts as not lost.
    """
    read = {
        line.partition("subject=")[2].split()[0]
        for line in log.splitlines()
        if "request_step event=taken " in line or "request_step event=refused " in line
    }
    return [name for name in unanswered if name in read]


class IdleClients:
    """Idle connections, more than the proxy has descriptors for. Each one that is closed is opened again."""

    def __init__(self, endpoint: Address, count: int) -> None:
        self._endpoint, self._count = endpoint, count
        self.stopping = False

    async def run(self) -> None:
        """Keep the connections open until `stopping` is set."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(self._count):
                tasks.create_task(self._run_idle_client())

    async def _run_idle_client(self) -> None:
        while not self.stopping:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._endpoint)
                with suppress(OSError, TimeoutError):
                    async with asyncio.timeout(1.0):
                        await reader.read(1)
                writer.transport.abort()
            await asyncio.sleep(0.05)
