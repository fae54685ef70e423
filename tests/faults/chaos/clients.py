"""Clients that misbehave, and one that does not.

They disconnect at any moment in several ways, send incomplete requests, random bytes and pipelined requests.
"""

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
ANSWER_TIMEOUT_S = 6.0  # the longest deadline, and delays on a busy machine
# Delay past a request's timeout from which its answer is late: the rules allow half a second; process pauses
# of 0.15 s and a busy machine add to it.
LATE_AFTER_S = 1.5
LONG_ANSWER_BYTES = 64 * 1024
TIMEOUT_MS = 1000  # of the well-behaved client's requests
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: close sends RST


class Clients:
    """Clients of one proxy. `endpoints`: addresses that lead to it, the first one directly."""

    def __init__(
        self, random: Random, endpoints: list[Address], check_answers: bool, may_close_unanswered: bool
    ) -> None:
        """`check_answers`: check the body of each answer with status 200.

        `may_close_unanswered`: the proxy may close a connection without an answer.
        """
        self._random, self._endpoints = random, endpoints
        self._check_answers, self._may_close_unanswered = check_answers, may_close_unanswered
        self._request_numbers = itertools.count()
        self.until_s = 0.0
        self.statuses: Counter[str] = Counter()
        self.unanswered: list[str] = []
        self.late: list[str] = []
        self.mismatched: list[str] = []  # answers that belong to another request

    async def run_worker(self) -> None:
        """Run one client after the other, each with a connection of its own."""
        while time.monotonic() < self.until_s:
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self._random.choice(self._endpoints))
                try:
                    await self._run_behaviour(reader, writer)
                finally:
                    self._disconnect(writer)
            await asyncio.sleep(self._random.random() * 0.01)

    async def run_steady_client(self) -> None:
        """Run the well-behaved client, whose requests must each get a final answer in time."""
        while time.monotonic() < self.until_s:
            await asyncio.sleep(0.02)
            name = f"steady{next(self._request_numbers)}"
            started_s = time.monotonic()
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    status, answered_s = await self._send_steady_request(name)
                self.statuses[f"steady {status}"] += 1
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                if self._may_close_unanswered:
                    continue  # without an answer there is none that could be late
                self.unanswered.append(f"{name} ({error!r})")
                answered_s = time.monotonic()
            took_s = answered_s - started_s
            if took_s > TIMEOUT_MS / 1000 + LATE_AFTER_S:
                self.late.append(f"{name} after {took_s:.1f} s")

    async def _send_steady_request(self, name: str) -> tuple[int, float]:
        """Return the status, and when the answer came: of one above 64 KiB its first bytes are timed."""
        reader, writer = await asyncio.open_connection(*self._endpoints[0])
        try:
            head = f"POST /unsafe?obj=0 HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: {TIMEOUT_MS}\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            start = await reader.readuntil(b"\r\n")
            status, begun_s = int(start.split()[1]), time.monotonic()
            is_long = False
            # A server may break off a long answer. That counts as an answer: the client can detect it.
            with suppress(OSError, asyncio.IncompleteReadError):
                message = await read_message(reader, start)
                self._check(name, message.status, message.body)
                is_long = len(message.body) > LONG_ANSWER_BYTES
            return status, begun_s if is_long else time.monotonic()
        finally:
            writer.close()

    def _check(self, name: str, status: int, body: bytes) -> None:
        expected = (answer_of(name), answer_of(name, long=True))
        if status == 200 and self._check_answers and body not in expected:
            self.mismatched.append(f"{name}: {body[:60]!r}")

    def _new_request(self) -> tuple[str, bytes]:
        random = self._random
        name = f"r{next(self._request_numbers)}"
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

    async def _run_behaviour(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run a random behaviour on this connection."""
        behaviours: tuple[Callable[[], Awaitable[None]], ...] = (
            lambda: self._send_and_read(reader, writer),
            lambda: self._send_without_reading(writer),
            lambda: self._send_incomplete(writer),
            lambda: self._pipeline(reader, writer),
            lambda: self._send_random_bytes(reader, writer),
            lambda: self._leave_and_come_again(writer),
        )
        await self._random.choices(behaviours, (4, 4, 2, 2, 1, 2))[0]()

    async def _send_and_read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send one or several requests in turn, with a random read timeout for each."""
        for _ in range(self._random.choice((1, 1, 3))):
            name, data = self._new_request()
            writer.write(data)
            async with asyncio.timeout(self._random.choice((0.05, 0.3, 1.5))):
                message = await read_message(reader)
                if message.status == 100:
                    message = await read_message(reader)
            self.statuses[str(message.status)] += 1
            self._check(name, message.status, message.body)
            if message.headers.get("connection") == "close":
                return

    async def _send_without_reading(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self._new_request()[1])
        await asyncio.sleep(self._random.choice((0.0, 0.0, 0.001, 0.01, 0.1)))

    async def _leave_and_come_again(self, writer: asyncio.StreamWriter) -> None:
        """Send a request, leave, and send it once more with the same id on another connection."""
        name, data = self._new_request()
        writer.write(data)
        await asyncio.sleep(self._random.choice((0.0, 0.01, 0.1)))
        self._disconnect(writer)
        await asyncio.sleep(self._random.choice((0.0, 0.05)))
        reader, again = await asyncio.open_connection(*self._random.choice(self._endpoints))
        try:
            again.write(data)
            async with asyncio.timeout(1.5):
                message = await read_message(reader)
                if message.status == 100:
                    message = await read_message(reader)
            self.statuses[f"again {message.status}"] += 1
            self._check(name, message.status, message.body)
        finally:
            again.close()

    async def _send_incomplete(self, writer: asyncio.StreamWriter) -> None:
        _, data = self._new_request()
        writer.write(data[: self._random.randrange(1, len(data))])
        await asyncio.sleep(self._random.choice((0.0, 0.05, 0.5)))

    async def _pipeline(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"".join(self._new_request()[1] for _ in range(self._random.randrange(2, 20))))
        await asyncio.sleep(self._random.choice((0.0, 0.1, 0.4)))
        if self._random.random() < 0.5:
            await asyncio.wait_for(reader.read(1000), 1.0)

    async def _send_random_bytes(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._random.randbytes(200))
        await asyncio.wait_for(reader.read(1000), 1.0)

    def _disconnect(self, writer: asyncio.StreamWriter) -> None:
        draw = self._random.random()
        if draw < 0.4:
            writer.close()
        elif draw < 0.8:
            with suppress(OSError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()
        else:
            with suppress(OSError):
                writer.write_eof()
            asyncio.get_running_loop().call_later(0.2, writer.transport.abort)
