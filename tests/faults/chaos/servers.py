"""Servers that answer, refuse, stall, reset, and send what can't be read."""

from __future__ import annotations

import asyncio
from collections import Counter
from hashlib import sha256
from random import Random

from cloverrouter.lab.peers import Host, Seen, ok

LONG_BODY = 200_000
REPORT = b"X-Server-Load: inflight=3,queue=1\r\n"


def body_of(name: str, size: int) -> bytes:
    """The body of a request or an answer, which nobody else's has."""
    seed = sha256(name.encode()).digest()
    return (seed * (size // len(seed) + 1))[:size]


def answer_of(name: str, long: bool = False) -> bytes:
    return body_of(f"answer {name}", LONG_BODY if long else 40)


class Servers:
    """Four of them. `truthful`: what they send is a whole true answer, or cut short, and nothing else."""

    def __init__(self, random: Random, truthful: bool) -> None:
        self._random, self._truthful = random, truthful
        self.hosts: list[Host] = []
        self.strange: list[str] = []  # what no client had sent

    async def start(self) -> None:
        self.hosts = [await Host(f"h{i}", self._respond).start() for i in range(4)]

    def ran_twice(self) -> list[str]:
        """Requests of a class without keys that came to servers more than once."""
        ran = Counter(
            seen.message.headers["x-request-id"]
            for host in self.hosts
            for seen in host.seen
            if seen.message.start.startswith("POST /unsafe")
        )
        return [name for name, count in ran.items() if count > 1]

    def _check(self, seen: Seen) -> None:
        headers, body = seen.message.headers, seen.message.body
        name = headers.get("x-request-id", "")
        target, _, size = seen.message.start.partition(" ")[2].partition(" ")[0].partition("?obj=")
        known = target in ("/unsafe", "/keyed") and size.isdigit()
        if not known or body != body_of(name, int(size)):
            self.strange.append(f"{seen.message.start!r} of {name} with {len(body)} bytes")
        key = headers.get("idempotency-key")
        if (key is not None) != (target == "/keyed") or (key is not None and key != f"k{name}"):
            self.strange.append(f"{seen.message.start!r} of {name} with key {key!r}")

    async def _respond(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        random = self._random
        self._check(seen)
        name = seen.message.headers["x-request-id"]
        await asyncio.sleep(random.choice((0.0, 0.0, 0.01, 0.05, 0.3)))
        draw = random.random()
        if draw < 0.6:
            writer.write(ok(answer_of(name), REPORT))
        elif draw < 0.68:
            writer.transport.abort()
        elif draw < 0.74:
            await self._long(name, writer)
        elif draw < 0.80:
            await self._chunked(name, writer)
        elif draw < 0.84:
            writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        elif draw < 0.88:
            writer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        elif draw < 0.91:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + answer_of(name))
            writer.close()
        elif draw < 0.97 and not self._truthful:
            writer.write(random.choice((ok(answer_of(name)) + ok(b"a second one"), random.randbytes(300))))
        # else: nothing at all

    async def _long(self, name: str, writer: asyncio.StreamWriter) -> None:
        whole = ok(answer_of(name, long=True))
        if self._random.random() < 0.5:
            writer.write(whole)
        else:
            writer.write(whole[: LONG_BODY // 2])
            await asyncio.sleep(self._random.choice((0.0, 0.02)))
            writer.transport.abort()

    async def _chunked(self, name: str, writer: asyncio.StreamWriter) -> None:
        body = answer_of(name, long=True)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(body), 0x8000):
            piece = body[start : start + 0x8000]
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            await asyncio.sleep(0.005)
        if self._random.random() < 0.7:
            writer.write(b"0\r\n\r\n")
        else:
            writer.transport.abort()
