"""The stand-in world: record servers, discovery and offices, on loopback, bounded in rate and time.

    python -m cloverrouter.demo.world CONFIG

CONFIG is JSON: `servers`, `rate` (requests a second), `seconds`, `listen` (the proxy's address). It prints
one line of JSON when it is up, `{"discovery": "127.0.0.1:PORT", "known": {...}}`, begins to send when the
proxy is ready, and ends after its seconds or when its standard input is closed.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

HALLS = ("lozenets", "mladost", "lyulin")
MOST_RATE, MOST_SECONDS, MOST_SERVERS = 200.0, 24 * 3600.0, 20
CLIENTS = 24  # offices' connections at the most
WORK_S = {"extract-issue": (0.02, 0.06), "entry-register": (0.04, 0.12)}
TROUBLE_EVERY_S, TROUBLE_S = 40.0, 8.0
TROUBLE_SHARE = 0.5  # of one server's answers, while it is in trouble

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "ordinal": 0,
    "discovery": "subscribe",
    "reporting": {"fields": ["inflight", "queue"], "how": "inline"},
    "bounds": {
        "max_attempts": 3,
        "connect_timeout_ms": 250.0,
        "conn_idle_ms": 15000.0,
        "retry_after": True,
        "max_retry_after_ms": 2000.0,
    },
    "categories": [
        {"name": "extract-issue", "aim_ms": 500, "deadline_ms": 1200, "effect": "dedup", "group": "zone",
         "window_ms": 1200, "worth": 3},
        {"name": "entry-register", "aim_ms": 800, "deadline_ms": 1500, "effect": "fragile", "worth": 10},
    ],
    "safety": {
        "cold_ms": 7500, "cold_share": 0.31, "fall_ms": 2000, "fall_multiple": 3, "must_ask_in_ms": 10000,
    },
}  # fmt: skip


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Start line, headers by lower-case name, body. Raises EOFError or OSError when the peer has left."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return start, headers, await reader.readexactly(int(headers.get("content-length", "0")))


@dataclass
class RecordServer:
    """Answers each request after some work; now and then half of them with an error."""

    name: str
    zone: str
    speed: float
    random: random.Random
    trouble_until_s: float = 0.0
    busy: int = 0
    port: int = 0
    seen: list[tuple[float, str, str]] = field(default_factory=list)  # when, class, request id

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(EOFError, OSError):
            while True:
                start, headers, _ = await read_message(reader)
                kind = start.split()[1].split("/")[1].partition("?")[0]
                self.seen = [*self.seen[-999:], (time.time(), kind, headers.get("x-request-id", ""))]
                self.busy += 1
                try:
                    least, most = WORK_S.get(kind, (0.01, 0.02))
                    await asyncio.sleep(self.random.uniform(least, most) / self.speed)
                finally:
                    self.busy -= 1
                report = f"X-Server-Load: inflight={self.busy},queue={max(0, self.busy - 4)}\r\n"
                bad = time.monotonic() < self.trouble_until_s and self.random.random() < TROUBLE_SHARE
                status, body = ("500 Error", "") if bad else ("200 OK", f"{kind} by {self.name}")
                writer.write(
                    f"HTTP/1.1 {status}\r\n{report}Content-Length: {len(body)}\r\n\r\n{body}".encode()
                )
        writer.close()

    def entry(self) -> dict[str, Any]:
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "cell": 1,
                "state": "active", "weight": 1.0, "started_ms": 0}  # fmt: skip


class Discovery:
    """The whole list when asked, and an empty change at the end of each watch."""

    def __init__(self, servers: list[RecordServer]) -> None:
        self._servers = servers
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def listing(self) -> dict[str, Any]:
        return {"version": 1, "full": True, "servers": [server.entry() for server in self._servers]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(EOFError, OSError):
            while True:
                start, _, _ = await read_message(reader)
                answer = self.listing()
                if "from=" in start:
                    hold = start.partition("hold_ms=")[2].split(" ")[0]
                    await asyncio.sleep(min(60.0, int(hold or 0) / 1000))
                    answer = {"version": 1, "full": False, "servers": []}
                body = json.dumps(answer)
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        writer.close()


class Offices:
    """Clerks' requests through the proxy: `rate` a second on average, on connections that are kept."""

    def __init__(self, address: tuple[str, int], rate: float, chance: random.Random) -> None:
        self._address, self._rate, self._random = address, min(rate, MOST_RATE), chance
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._out: set[asyncio.Task[None]] = set()
        self._count = 0

    async def ready(self) -> None:
        while True:
            with suppress(EOFError, OSError):
                reader, writer = await asyncio.open_connection(*self._address)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n")
                start, _, _ = await read_message(reader)
                writer.close()
                if " 200 " in start:
                    return
            await asyncio.sleep(0.05)

    async def run(self) -> None:
        await self.ready()
        while True:
            await asyncio.sleep(self._random.expovariate(self._rate))
            if len(self._out) < CLIENTS:
                task = asyncio.get_running_loop().create_task(self._ask())
                self._out.add(task)
                task.add_done_callback(self._out.discard)

    async def _ask(self) -> None:
        self._count += 1
        name = f"demo-{self._count}"
        keyed = self._random.random() < 0.62
        path, key = ("extract-issue", f"Idempotency-Key: k-{name}\r\n") if keyed else ("entry-register", "")
        with suppress(EOFError, OSError, asyncio.IncompleteReadError):
            reader, writer = self._idle.pop() if self._idle else await asyncio.open_connection(*self._address)
            writer.write(
                f"POST /{path} HTTP/1.1\r\nHost: demo\r\nX-Request-ID: {name}\r\n{key}"
                f"X-Timeout-Ms: 1200\r\nContent-Length: 4\r\n\r\nbody".encode()
            )
            _, headers, _ = await read_message(reader)
            if headers.get("connection") == "close":
                writer.close()
            else:
                self._idle.append((reader, writer))


async def troubles(servers: list[RecordServer], chance: random.Random) -> None:
    """From time to time one server fails half of what it gets, so that there is something to see."""
    while True:
        await asyncio.sleep(TROUBLE_EVERY_S)
        chance.choice(servers).trouble_until_s = time.monotonic() + TROUBLE_S


async def run(told: dict[str, Any]) -> None:
    chance = random.Random(told.get("seed", 1))
    count = max(1, min(MOST_SERVERS, int(told["servers"])))
    servers = [
        RecordServer(f"s-{i + 1}", HALLS[i % len(HALLS)], chance.uniform(0.85, 1.7), chance)
        for i in range(count)
    ]
    for server in servers:
        await server.start()
    discovery = Discovery(servers)
    await discovery.start()
    print(json.dumps({"discovery": f"127.0.0.1:{discovery.port}", "known": discovery.listing()}), flush=True)
    host, _, port = told["listen"].rpartition(":")
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(troubles(servers, chance))]
    if told["rate"] > 0:
        tasks.append(loop.create_task(Offices((host, int(port)), told["rate"], chance).run()))
    parent = loop.run_in_executor(None, sys.stdin.read)  # it ends with the parent, however that ends
    with suppress(TimeoutError):
        async with asyncio.timeout(min(told["seconds"], MOST_SECONDS)):
            await parent
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(run(json.loads(sys.argv[1])))
    # The thread that waits for the parent's end would keep the process from ending by itself.
    sys.stdout.flush()
    os._exit(0)
