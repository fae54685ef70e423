"""Fake hosts, discovery and clients on loopback, and the program itself, for tests over sockets."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LONG_S = 30.0  # for what surely comes; a test that waits this long has failed
Respond = Callable[["Seen", asyncio.StreamWriter], Awaitable[None]]

SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "ordinal": 0,
    "discovery": "subscribe",
    "reporting": {"fields": ["inflight", "queue"], "how": "inline"},
    "bounds": {"max_attempts": 3, "connect_timeout_ms": 250.0, "conn_idle_ms": 60000.0},
    "categories": [
        {"name": "keyed", "aim_ms": 1500, "deadline_ms": 3000, "effect": "dedup", "group": "cell",
         "window_ms": 3000, "worth": 3},
        {"name": "safe", "aim_ms": 1500, "deadline_ms": 3000, "effect": "retryable", "worth": 1},
        {"name": "unsafe", "aim_ms": 1500, "deadline_ms": 3000, "effect": "fragile", "worth": 10},
    ],
    "safety": {"cold_ms": 0, "cold_share": 1.0, "fall_ms": 2000, "fall_multiple": 3, "must_ask_in_ms": 400},
}  # fmt: skip


@dataclass
class Message:
    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    start, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return Message(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


@dataclass
class Seen:
    """A request as a host got it."""

    message: Message
    connection: int


def ok(body: bytes = b"done", head: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)


async def answer_ok(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(ok())


async def never(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """No answer, on a connection that stays open."""


async def reset(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def raw(data: bytes, close: bool = False) -> Respond:
    async def respond(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        if close:
            writer.close()

    return respond


class Host:
    """A host that answers each request with `respond`, and remembers what it got."""

    def __init__(self, name: str, respond: Respond = answer_ok) -> None:
        self.name = name
        self.respond = respond
        self.seen: list[Seen] = []
        self.connections = 0
        self.open: dict[int, asyncio.StreamWriter] = {}
        self.changed = asyncio.Condition()

    async def start(self) -> Host:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.open[number] = writer
        try:
            while True:
                seen = Seen(await read_message(reader), number)
                self.seen.append(seen)
                await self._tell()
                await self.respond(seen, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            del self.open[number]
            await self._tell()

    async def _tell(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def wait(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(LONG_S), self.changed:
            await self.changed.wait_for(condition)

    def entry(self, state: str = "active") -> dict[str, Any]:
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": "a", "cell": 1, "state": state,
                "weight": 1.0, "started_ms": 0}  # fmt: skip


class Discovery:
    """Answers a watch when `change` is called; `broken` answers take its place while they last."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, str]] = []
        self.broken: list[bytes] = []  # answers to the next calls; an empty one is a reset
        self.calls: list[str] = []
        self.holds = False  # end a watch after its hold, with no change? Else it waits for one for ever
        self.changed = asyncio.Condition()

    async def start(self) -> Discovery:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def listing(self, since: int | None = None) -> dict[str, Any]:
        changed = [self.entries[name] for v, name in self.changes if v > (since or 0)]
        servers = list(self.entries.values()) if since is None else changed
        return {"version": self.version, "full": since is None, "servers": servers}

    async def change(self, *entries: dict[str, Any]) -> None:
        async with self.changed:
            self.version += 1
            self.entries.update({entry["id"]: entry for entry in entries})
            self.changes += [(self.version, entry["id"]) for entry in entries]
            self.changed.notify_all()

    async def asked(self, times: int) -> None:
        async with asyncio.timeout(LONG_S), self.changed:
            await self.changed.wait_for(lambda: len(self.calls) >= times)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                target = (await read_message(reader)).start.split()[1]
                async with self.changed:
                    self.calls.append(target)
                    self.changed.notify_all()
                if self.broken:
                    answer = self.broken.pop(0)
                    writer.write(answer)
                    if not answer:
                        writer.transport.abort()
                    continue
                since = int(target.partition("from=")[2].partition("&")[0]) if "from=" in target else None
                hold_s = int(target.partition("hold_ms=")[2] or 0) / 1000 if self.holds else None
                with suppress(TimeoutError):
                    async with asyncio.timeout(hold_s if since is not None else None), self.changed:
                        while since is not None and self.version <= since:
                            await self.changed.wait()
                writer.write(ok(json.dumps(self.listing(since)).encode()))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Client:
    """One connection of the application."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.count = 0

    def send(self, target: str, body: bytes = b"x", timeout_ms: object = 2500, extra: str = "") -> None:
        self.count += 1
        name = f"{id(self):x}-{self.count}"
        key = f"Idempotency-Key: k{name}\r\n" if target.startswith("/keyed") else ""
        head = (
            f"POST {target} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {name}\r\n{key}{extra}"
            f"X-Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)

    async def read(self) -> Message:
        async with asyncio.timeout(LONG_S):
            return await read_message(self.reader)

    async def ask(self, target: str, **how: Any) -> Message:
        self.send(target, **how)
        return await self.read()


class Proxy:
    """The program, started as `run` says but with this interpreter."""

    def __init__(self, address: str, process: subprocess.Popen[bytes], stderr: Path, config: Path) -> None:
        self.address, self.process, self._stderr, self.config = address, process, stderr, config

    def log(self) -> str:
        return self._stderr.read_text()

    async def logged(self, text: str) -> None:
        end = time.monotonic() + LONG_S
        while text not in self.log():
            assert self.process.poll() is None and time.monotonic() < end, self.log()
            await asyncio.sleep(0.02)

    async def client(self) -> Client:
        host, port = self.address.split(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    async def health(self) -> int | None:
        try:
            client = await self.client()
            client.writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            status = (await client.read()).status
            client.writer.close()
            return status
        except OSError:
            return None

    async def wait_health(self, *statuses: int) -> None:
        end = time.monotonic() + LONG_S
        while await self.health() not in statuses:
            assert self.process.poll() is None, self.log()
            assert time.monotonic() < end
            await asyncio.sleep(0.02)

    async def ended(self) -> int:
        return await asyncio.get_running_loop().run_in_executor(None, self.process.wait, LONG_S)


@asynccontextmanager
async def running(
    discovery: Discovery,
    hosts: list[Host],
    known: bool = True,
    ready: tuple[int, ...] = (200,),
    command: list[str] | str = [sys.executable, "-m", "cloverrouter.proxy"],  # noqa: B006
    settings: dict[str, Any] | None = None,
    environ: dict[str, str] | None = None,
) -> AsyncIterator[Proxy]:
    """The program with these hosts, up and answering."""
    discovery.entries.update({host.name: host.entry() for host in hosts})
    # An address of its own: no other test, and no connection's own end, can hold the port.
    address = "127." + ".".join(str(random.randrange(1, 255)) for _ in range(3)) + ":3000"
    told = {"name": "n0", "listen": address, "discovery": f"127.0.0.1:{discovery.port}", "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": {**SETTINGS, **(settings or {})}}  # fmt: skip
    if known:
        told["known"] = discovery.listing()
    with tempfile.TemporaryDirectory() as folder:
        path, stderr = Path(folder, "config.json"), Path(folder, "log")
        path.write_text(json.dumps(told))
        with stderr.open("wb") as log:
            process = subprocess.Popen(
                command,
                env={**os.environ, "PROXY_CONFIG": str(path), **(environ or {})},
                stderr=log,
                shell=isinstance(command, str),
            )
        proxy = Proxy(address, process, stderr, path)
        try:
            await proxy.wait_health(*ready)
            yield proxy
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()
