"""Clients that ask, leave in every way at every moment, send halves, noise and many at once; and one that
behaves."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

from cloverrouter.lab.peers import read_message
from tests.faults.chaos.servers import answer_of, body_of

Address = tuple[str, int]
KEPT_TO_THE_END_S = 6.0  # for a final answer: the deadline, and what a busy machine adds
# Over its time by so much an answer is late: half a second by the rules, pauses of 0.15 s, a busy machine.
LATE_S = 1.5
STEADY_MS = 1000
RESET = struct.pack("ii", 1, 0)


class Clients:
    """`through`: addresses that lead to the proxy; the first one directly."""

    def __init__(self, random: Random, through: list[Address], truthful: bool, excused: bool) -> None:
        """`truthful`: all answers with 200 are checked; `excused`: a connection may be shut unanswered."""
        self._random, self._through = random, through
        self._truthful, self._excused = truthful, excused
        self._names = itertools.count()
        self.until_s = 0.0
        self.statuses: Counter[str] = Counter()
        self.unanswered: list[str] = []
        self.late: list[str] = []
        self.mixed_up: list[str] = []  # answers that belong to another request

    async def one(self) -> None:
        """One client after the other, each with a connection of its own."""
        while time.monotonic() < self.until_s:
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self._random.choice(self._through))
                try:
                    await self._behave(reader, writer)
                finally:
                    self._leave(writer)
            await asyncio.sleep(self._random.random() * 0.01)

    async def steady(self) -> None:
        """One that behaves: each of its requests gets a final answer in time, whatever the others do."""
        while time.monotonic() < self.until_s:
            await asyncio.sleep(0.02)
            name = f"steady{next(self._names)}"
            began_s = time.monotonic()
            try:
                async with asyncio.timeout(KEPT_TO_THE_END_S):
                    status = await self._ask_steadily(name)
                self.statuses[f"steady {status}"] += 1
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                if self._excused:
                    continue  # it may be shut unanswered: there is no answer that could be late
                self.unanswered.append(f"{name} ({error!r})")
            took_s = time.monotonic() - began_s
            if took_s > STEADY_MS / 1000 + LATE_S:
                self.late.append(f"{name} after {took_s:.1f} s")

    async def _ask_steadily(self, name: str) -> int:
        reader, writer = await asyncio.open_connection(*self._through[0])
        try:
            head = f"POST /unsafe?obj=0 HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: {STEADY_MS}\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            start = await reader.readuntil(b"\r\n")
            status = int(start.split()[1])
            # A server may break off a long answer. Its client has to be able to tell: that is an answer, too.
            with suppress(OSError, asyncio.IncompleteReadError):
                message = await read_message(reader, start)
                self._check(name, message.status, message.body)
            return status
        finally:
            writer.close()

    def _check(self, name: str, status: int, body: bytes) -> None:
        right = (answer_of(name), answer_of(name, long=True))
        if status == 200 and self._truthful and body not in right:
            self.mixed_up.append(f"{name}: {body[:60]!r}")

    def _request(self) -> tuple[str, bytes]:
        random = self._random
        name = f"r{next(self._names)}"
        target = random.choice(("/unsafe", "/keyed", "/unsafe", "/keyed", "/nowhere"))
        key = f"Idempotency-Key: k{name}\r\n" if target == "/keyed" else ""
        close = random.choice(("", "Connection: close\r\n"))
        expect = random.choice(("", "", "Expect: 100-continue\r\n"))
        timeout_ms = random.choice((1, 30, 200, 1000))
        size = random.choice((0, 10, 10, 70_000, 300_000))
        head = (
            f"POST {target}?obj={size} HTTP/1.1\r\nX-Request-ID: {name}\r\n{key}{close}{expect}"
            f"X-Timeout-Ms: {timeout_ms}\r\nContent-Length: {size}\r\n\r\n"
        )
        return name, head.encode() + body_of(name, size)

    async def _behave(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send something, and perhaps wait for an answer."""
        behaviours: tuple[Callable[[], Awaitable[None]], ...] = (
            lambda: self._ask(reader, writer),
            lambda: self._ask_and_go(writer),
            lambda: self._ask_half(writer),
            lambda: self._pipeline(reader, writer),
            lambda: self._noise(reader, writer),
        )
        await self._random.choices(behaviours, (4, 4, 2, 2, 1))[0]()

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Several requests, one after the other, with an impatience of its own."""
        for _ in range(self._random.choice((1, 1, 3))):
            name, data = self._request()
            writer.write(data)
            async with asyncio.timeout(self._random.choice((0.05, 0.3, 1.5))):
                message = await read_message(reader)
                if message.status == 100:
                    message = await read_message(reader)
            self.statuses[str(message.status)] += 1
            self._check(name, message.status, message.body)
            if message.headers.get("connection") == "close":
                return

    async def _ask_and_go(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self._request()[1])
        await asyncio.sleep(self._random.choice((0.0, 0.0, 0.001, 0.01, 0.1)))

    async def _ask_half(self, writer: asyncio.StreamWriter) -> None:
        _, data = self._request()
        writer.write(data[: self._random.randrange(1, len(data))])
        await asyncio.sleep(self._random.choice((0.0, 0.05, 0.5)))

    async def _pipeline(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"".join(self._request()[1] for _ in range(self._random.randrange(2, 20))))
        await asyncio.sleep(self._random.choice((0.0, 0.1, 0.4)))
        if self._random.random() < 0.5:
            await asyncio.wait_for(reader.read(1000), 1.0)

    async def _noise(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._random.randbytes(200))
        await asyncio.wait_for(reader.read(1000), 1.0)

    def _leave(self, writer: asyncio.StreamWriter) -> None:
        draw = self._random.random()
        if draw < 0.4:
            writer.close()
        elif draw < 0.8:
            with suppress(OSError):
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        else:
            with suppress(OSError):
                writer.write_eof()
            asyncio.get_running_loop().call_later(0.2, writer.transport.abort)
