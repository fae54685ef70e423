"""Random faults round one real proxy: what clients, servers, the network and signals may do, by seed.

`python -m tests.faults.chaos 1 50` plays these seeds and prints what each showed. A run is judged by what
clients and servers saw, by the process's end and by its log.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import signal
import socket
import struct
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from cloverrouter.lab.peers import Discovery, Host, Proxy, Seen, ok, running
from tests.faults.tcp_proxy import Trouble, TroubledLink

WORKERS = 10
LONG_BODY = 200_000
CROWDED = 48  # descriptors in every third seed, fewer than the clients want
PIECES_THAT_END = 0.02  # share of the pieces on a troubled connection
KEPT_TO_THE_END_S = 5.0  # for a final answer: the deadline, and what a busy machine adds
# Words of the log that tell of an error which nobody expected. `socket_error_contained` is a peer's reset.
UNEXPECTED = ("CRITICAL", "Traceback", " error_contained", "loop_error", "was destroyed", "never awaited")


@dataclass
class Outcome:
    """What a run showed."""

    seed: int
    statuses: Counter[str] = field(default_factory=Counter)
    twice: list[str] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)
    exit_code: int | None = None
    descriptors: int = 0
    log: str = ""

    def troubles(self) -> list[str]:
        """What must not be, in words; none if all is well."""
        found = [f"the log has {word.strip()!r}" for word in UNEXPECTED if word in self.log]
        if self.exit_code != 0:
            found.append(f"exit code {self.exit_code}")
        found += [f"{name} ran twice" for name in self.twice]
        found += [f"{name} had no answer" for name in self.unanswered]
        if self.descriptors > 60:
            found.append(f"{self.descriptors} descriptors were open at rest")
        return found


class Chaos:
    """One run."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.outcome = Outcome(seed)
        self._random = Random(seed)
        self._seconds = seconds
        self._names = itertools.count()
        self._crowded = seed % 3 == 0
        self._until_s = 0.0
        self._hosts: list[Host] = []
        self._clients_link: TroubledLink

    async def play(self) -> Outcome:
        self._hosts = [await Host(f"h{i}", self._respond).start() for i in range(4)]
        discovery = await Discovery().start()
        peers: list[Host | Discovery] = [*self._hosts, discovery]
        links = [await self._link(("127.0.0.1", peer.port)) for peer in peers]
        for peer, link in zip(peers, links, strict=True):
            peer.port = link.port  # where the proxy is told that it is
        try:
            async with running(discovery, self._hosts, more=self._limits()) as proxy:
                self._clients_link = await self._link(proxy.endpoint)
                links.append(self._clients_link)
                await self._trouble(proxy, discovery)
                await self._end(proxy)
        finally:
            for link in links:
                await link.close()
            for peer in peers:
                peer.server.close()
        return self.outcome

    def _limits(self) -> dict[str, object]:
        return {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": CROWDED if self._crowded else 256}}

    async def _link(self, target: tuple[str, int]) -> TroubledLink:
        trouble = Trouble(self._random, PIECES_THAT_END)
        return await TroubledLink(target, trouble, self._random.random()).start()

    async def _trouble(self, proxy: Proxy, discovery: Discovery) -> None:
        self._until_s = time.monotonic() + self._seconds
        tasks = [self._client(proxy) for _ in range(WORKERS)]
        await asyncio.gather(*tasks, self._steady(proxy), self._signals(proxy), self._lists(discovery))

    async def _end(self, proxy: Proxy) -> None:
        """At rest; then told to end while clients go on."""
        await asyncio.sleep(0.5)
        with suppress(OSError):
            self.outcome.descriptors = len(os.listdir(f"/proc/{proxy.process.pid}/fd"))
        self._until_s = time.monotonic() + 1.0
        tasks = [asyncio.ensure_future(self._client(proxy)) for _ in range(WORKERS)]
        await asyncio.sleep(0.1)
        proxy.signal(signal.SIGTERM)
        await asyncio.gather(*tasks)
        self.outcome.exit_code = await proxy.ended()
        self.outcome.log = proxy.log()
        ran = Counter(
            seen.message.headers["x-request-id"]
            for host in self._hosts
            for seen in host.seen
            if seen.message.start.startswith("POST /unsafe")
        )
        self.outcome.twice = [name for name, count in ran.items() if count > 1]

    # Servers

    async def _respond(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        random = self._random
        await asyncio.sleep(random.choice((0.0, 0.0, 0.01, 0.05, 0.3)))
        draw = random.random()
        if draw < 0.6:
            writer.write(ok(b"done", b"X-Server-Load: inflight=3,queue=1\r\n"))
        elif draw < 0.68:
            writer.transport.abort()
        elif draw < 0.74:
            body = random.randbytes(LONG_BODY)
            writer.write(ok(body)[: random.choice((len(body), LONG_BODY // 2))])
            if random.random() < 0.5:
                writer.transport.abort()
        elif draw < 0.80:
            await self._chunked(writer)
        elif draw < 0.84:
            writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        elif draw < 0.88:
            writer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        elif draw < 0.91:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end")
            writer.close()
        elif draw < 0.94:
            writer.write(ok() + ok(b"a second one"))
        elif draw < 0.97:
            writer.write(random.randbytes(300))
        # else: nothing at all

    async def _chunked(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(6):
            writer.write(b"8000\r\n" + bytes(0x8000) + b"\r\n")
            await asyncio.sleep(0.005)
        if self._random.random() < 0.7:
            writer.write(b"0\r\n\r\n")
        else:
            writer.transport.abort()

    # Clients

    def _request(self) -> tuple[str, bytes]:
        random = self._random
        name = f"r{next(self._names)}"
        target = random.choice(("/unsafe", "/keyed", "/unsafe", "/keyed", "/nowhere"))
        key = f"Idempotency-Key: k{name}\r\n" if target == "/keyed" else ""
        close = random.choice(("", "Connection: close\r\n"))
        expect = random.choice(("", "", "Expect: 100-continue\r\n"))
        timeout_ms = random.choice((1, 30, 200, 1000))
        body = bytes(random.choice((0, 10, 10, 70_000, 300_000)))
        head = (
            f"POST {target} HTTP/1.1\r\nX-Request-ID: {name}\r\n{key}{close}{expect}"
            f"X-Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return name, head.encode() + body

    async def _client(self, proxy: Proxy) -> None:
        while time.monotonic() < self._until_s:
            address = self._random.choice((proxy.endpoint, ("127.0.0.1", self._clients_link.port)))
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    await self._behave(reader, writer)
                finally:
                    self._leave(writer)
            await asyncio.sleep(self._random.random() * 0.01)

    async def _behave(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send something, and perhaps wait for an answer."""
        random = self._random
        behaviours: tuple[Callable[[], Awaitable[None]], ...] = (
            lambda: self._ask(reader, writer),
            lambda: self._ask_and_go(writer),
            lambda: self._ask_half(writer),
            lambda: self._pipeline(reader, writer),
            lambda: self._noise(reader, writer),
        )
        await random.choices(behaviours, (4, 4, 2, 2, 1))[0]()

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, data = self._request()
        writer.write(data)
        async with asyncio.timeout(self._random.choice((0.05, 0.3, 1.5))):
            line = await reader.readuntil(b"\r\n")
        self.outcome.statuses[line.split()[1].decode()] += 1

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
        sock = writer.get_extra_info("socket")
        if draw < 0.4:
            writer.close()
        elif draw < 0.8:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        else:
            with suppress(OSError):
                writer.write_eof()
            asyncio.get_running_loop().call_later(0.2, writer.transport.abort)

    async def _steady(self, proxy: Proxy) -> None:
        """One client that behaves: each of its requests gets a final answer, whatever the others do."""
        while time.monotonic() < self._until_s:
            name = f"steady{next(self._names)}"
            head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: 1000\r\n"
            try:
                async with asyncio.timeout(KEPT_TO_THE_END_S):
                    reader, writer = await asyncio.open_connection(*proxy.endpoint)
                    writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
                    status = (await reader.readuntil(b"\r\n")).split()[1].decode()
                self.outcome.statuses[f"steady {status}"] += 1
                writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                # Where clients hold all descriptors, a new connection may be shut unread.
                if not self._crowded:
                    self.outcome.unanswered.append(name)
            await asyncio.sleep(0.02)

    # Signals and lists

    async def _signals(self, proxy: Proxy) -> None:
        while time.monotonic() < self._until_s:
            await asyncio.sleep(self._random.uniform(0.05, 0.5))
            if self._random.random() < 0.3:
                proxy.signal(signal.SIGHUP)
            else:
                proxy.signal(signal.SIGSTOP)
                await asyncio.sleep(self._random.choice((0.01, 0.05, 0.15)))
                proxy.signal(signal.SIGCONT)

    async def _lists(self, discovery: Discovery) -> None:
        while time.monotonic() < self._until_s:
            await asyncio.sleep(self._random.uniform(0.1, 0.6))
            host = self._random.choice(self._hosts[1:])
            await discovery.change(host.entry(self._random.choice(("active", "active", "leaving"))))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--seconds", type=float, default=6.0)
    told = parser.parse_args()
    bad = 0
    for seed in range(told.first, told.last + 1):
        outcome = asyncio.run(Chaos(seed, told.seconds).play())
        troubles = outcome.troubles()
        bad += bool(troubles)
        print(json.dumps({"seed": seed, "troubles": troubles[:5], "statuses": outcome.statuses}), flush=True)
        if troubles:
            print(outcome.log[-6000:], file=sys.stderr, flush=True)
    print(f"{told.last - told.first + 1} runs, {bad} with trouble")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
