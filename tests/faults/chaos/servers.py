"""Servers that answer, reject requests, do not answer, reset connections and send malformed responses."""

from __future__ import annotations

import asyncio
from collections import Counter
from hashlib import sha256
from random import Random

from cloverrouter.lab.peers import Host, Seen, ok

LONG_BODY_BYTES = 200_000
SLOW_PIECE_BYTES, SLOW_PAUSE_S = 10_000, 0.07
LOAD_REPORT = b"X-Server-Load: inflight=3,queue=1\r\n"


def body_of(name: str, size: int) -> bytes:
    """Return a body of `size` bytes that is unique to the request or answer `name`."""
    seed = sha256(name.encode()).digest()
    return (seed * (size // len(seed) + 1))[:size]


def answer_of(name: str, long: bool = False) -> bytes:
    """Return the body of the answer to request `name`."""
    return body_of(f"answer {name}", LONG_BODY_BYTES if long else 40)


class Servers:
    """Four servers. `truthful`: they send only correct answers, complete or truncated."""

    def __init__(self, random: Random, truthful: bool) -> None:
        self._random, self._truthful = random, truthful
        self.hosts: list[Host] = []
        self._rejected: Counter[str] = Counter()
        self.unknown_requests: list[str] = []  # requests that no client has sent

    async def start(self) -> None:
        """Start the servers on free ports."""
        self.hosts = [await Host(f"h{i}", self._respond).start() for i in range(4)]

    def ran_twice(self) -> list[str]:
        """Return the requests of the class without idempotency keys that servers ran more than once.

        A request that a server has rejected with `X-Not-Processed` has not run there.
        """
        ran = Counter(
            seen.message.headers["x-request-id"]
            for host in self.hosts
            for seen in host.seen
            if seen.message.start.startswith("POST /unsafe")
        )
        return [name for name, count in ran.items() if count - self._rejected[name] > 1]

    def _check(self, seen: Seen) -> None:
        headers, body = seen.message.headers, seen.message.body
        name = headers.get("x-request-id", "")
        target, _, size = seen.message.start.partition(" ")[2].partition(" ")[0].partition("?obj=")
        known = target in ("/unsafe", "/keyed") and size.isdigit()
        if not known or body != body_of(name, int(size)):
            self.unknown_requests.append(f"{seen.message.start!r} of {name} with {len(body)} bytes")
        key = headers.get("idempotency-key")
        if (key is not None) != (target == "/keyed") or (key is not None and key != f"k{name}"):
            self.unknown_requests.append(f"{seen.message.start!r} of {name} with key {key!r}")

    async def _respond(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        random = self._random
        self._check(seen)
        name = seen.message.headers["x-request-id"]
        await asyncio.sleep(random.choice((0.0, 0.0, 0.01, 0.05, 0.3)))
        draw = random.random()
        if draw < 0.6:
            writer.write(ok(answer_of(name), LOAD_REPORT))
        elif draw < 0.68:
            writer.transport.abort()
        elif draw < 0.74:
            await self._answer_long(name, writer)
        elif draw < 0.80:
            await self._answer_chunked(name, writer)
        elif draw < 0.84:
            self._rejected[name] += 1
            writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        elif draw < 0.88:
            writer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        elif draw < 0.91:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + answer_of(name))
            writer.close()
        elif draw < 0.97 and not self._truthful:
            writer.write(random.choice((ok(answer_of(name)) + ok(b"a second one"), random.randbytes(300))))
        elif draw < 0.985:
            await self._answer_slowly(name, writer)
        # else: no answer

    async def _answer_long(self, name: str, writer: asyncio.StreamWriter) -> None:
        response = ok(answer_of(name, long=True))
        if self._random.random() < 0.5:
            writer.write(response)
        else:
            writer.write(response[: LONG_BODY_BYTES // 2])
            await asyncio.sleep(self._random.choice((0.0, 0.02)))
            writer.transport.abort()

    async def _answer_slowly(self, name: str, writer: asyncio.StreamWriter) -> None:
        """Write a long answer in pieces, beyond the request's time."""
        body = answer_of(name, long=True)
        chunked = self._random.random() < 0.5
        framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(body)
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing)
        for start in range(0, len(body), SLOW_PIECE_BYTES):
            await asyncio.sleep(SLOW_PAUSE_S)
            piece = body[start : start + SLOW_PIECE_BYTES]
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
        if chunked:
            writer.write(b"0\r\n\r\n")

    async def _answer_chunked(self, name: str, writer: asyncio.StreamWriter) -> None:
        body = answer_of(name, long=True)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(body), 0x8000):
            chunk = body[start : start + 0x8000]
            writer.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            await asyncio.sleep(0.005)
        if self._random.random() < 0.7:
            writer.write(b"0\r\n\r\n")
        else:
            writer.transport.abort()
