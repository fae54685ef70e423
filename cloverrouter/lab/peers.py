"""Scripted peers on loopback: hosts, discovery and clients that send exactly what a test specifies.

Peers that behave as real ones do are in `server`, `registry` and `office`, with their I/O in `http`.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

from cloverrouter.lab.process import LONG_S as LONG_S
from cloverrouter.lab.process import ProxyProcess, own_address
from cloverrouter.proxy.wake import data_age_s

client_numbers = itertools.count(1)  # of all protocols: each request of a process has an id of its own
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
    """An HTTP/1.1 message. `start`: its start line."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of an answer."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader, before: bytes = b"") -> Message:
    """Read a message. `before`: the part of its head that has been read already."""
    head = (before + await reader.readuntil(b"\r\n\r\n")).decode()
    start, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(start, headers, await _read_chunks(reader))
    return Message(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass  # trailers
    return bytes(body)


@dataclass
class Seen:
    """A request that a host has received, and the number of the connection."""

    message: Message
    connection: int


def ok(body: bytes = b"done", head: bytes = b"") -> bytes:
    """Return an answer with status 200; `head` holds complete header lines."""
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)


async def answer_ok(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Answer with status 200."""
    writer.write(ok())


async def never(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Never answer; the connection stays open."""


async def reset(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Reset the connection."""
    writer.transport.abort()


def raw(data: bytes, close: bool = False) -> Respond:
    """Return a responder that sends `data` as it is, then closes the connection if `close`."""

    async def respond(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        if close:
            writer.close()

    return respond


class Host:
    """A host that answers each request with `respond` and records what it receives."""

    def __init__(self, name: str, respond: Respond = answer_ok) -> None:
        self.name = name
        self.respond = respond
        self.seen: list[Seen] = []
        self.connections = 0
        self.open: dict[int, asyncio.StreamWriter] = {}
        self.changed = asyncio.Condition()

    async def start(self) -> Host:
        """Listen on a free port."""
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
                await self._notify()
                await self.respond(seen, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            del self.open[number]
            await self._notify()

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def wait(self, condition: Callable[[], bool]) -> None:
        """Wait until `condition` holds; it is checked after each request and each end of a connection."""
        async with asyncio.timeout(LONG_S), self.changed:
            await self.changed.wait_for(condition)

    def entry(self, state: str = "active") -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": "a", "cell": 1, "state": state,
                "weight": 1.0, "started_ms": 0}  # fmt: skip


class Discovery:
    """Answers the next calls with `broken_answers`, if any; otherwise a watch when `change` is called."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, str]] = []
        self.broken_answers: list[bytes] = []  # answers to the next calls; an empty one is a reset
        self.calls: list[str] = []
        self.ends_idle_watches = False  # if False, a watch waits for a change beyond its `hold_ms`
        self.changed = asyncio.Condition()

    async def start(self) -> Discovery:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def listing(self, since: int | None = None) -> dict[str, Any]:
        """Return the full list, or the changes after version `since`."""
        changed = [self.entries[name] for v, name in self.changes if v > (since or 0)]
        servers = list(self.entries.values()) if since is None else changed
        return {"version": self.version, "full": since is None, "servers": servers}

    async def change(self, *entries: dict[str, Any]) -> None:
        """Add or replace entries, which increments the version and answers the watches."""
        async with self.changed:
            self.version += 1
            self.entries.update({entry["id"]: entry for entry in entries})
            self.changes += [(self.version, entry["id"]) for entry in entries]
            self.changed.notify_all()

    async def wait_for_calls(self, count: int) -> None:
        """Wait until at least `count` calls have been received in total."""
        async with asyncio.timeout(LONG_S), self.changed:
            await self.changed.wait_for(lambda: len(self.calls) >= count)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                target = (await read_message(reader)).start.split()[1]
                async with self.changed:
                    self.calls.append(target)
                    self.changed.notify_all()
                if self.broken_answers:
                    answer = self.broken_answers.pop(0)
                    writer.write(answer)
                    if not answer:
                        writer.transport.abort()
                    continue
                since = int(target.partition("from=")[2].partition("&")[0]) if "from=" in target else None
                hold_s = int(target.partition("hold_ms=")[2] or 0) / 1000 if self.ends_idle_watches else None
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
    """One connection of a client to the proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.number = next(client_numbers)
        self.count = 0

    @property
    def next_id(self) -> str:
        """The id that the next request will have."""
        return self.request_id(self.count + 1)

    def request_id(self, count: int) -> str:
        """The id of this client's request number `count`."""
        return f"{os.getpid()}-{self.number}-{count}"

    def send(self, target: str, body: bytes = b"x", timeout_ms: object = 2500, extra: str = "") -> None:
        """Send a request; `extra` holds complete header lines."""
        request_id = self.next_id
        self.count += 1
        key = f"Idempotency-Key: k{request_id}\r\n" if target.startswith("/keyed") else ""
        head = (
            f"POST {target} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {request_id}\r\n{key}{extra}"
            f"X-Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)

    async def read(self) -> Message:
        """Read an answer."""
        async with asyncio.timeout(LONG_S):
            return await read_message(self.reader)

    async def ask(self, target: str, **options: Any) -> Message:
        """Send a request and read its answer; `options` are those of `send`."""
        self.send(target, **options)
        return await self.read()


class Proxy(ProxyProcess):
    """A process of the proxy, and its clients."""

    async def client(self) -> Client:
        """Open a connection to the proxy."""
        return Client(*await asyncio.open_connection(*self.endpoint))

    def successor(self, environ: dict[str, str]) -> Proxy:
        """Return the process that takes over in an upgrade, not started: same file and descriptors."""
        spec = json.loads(self.config.read_text())
        return Proxy(spec, self.config.parent, None, environ, inherit=self._inherit)


class Listable(Protocol):
    """A server of any protocol that discovery can list."""

    name: str

    def entry(self, state: str = "active") -> dict[str, Any]:
        """Return its entry in discovery's list."""
        ...


@asynccontextmanager
async def running(
    discovery: Discovery,
    hosts: Sequence[Listable],
    known: bool = True,
    ready: tuple[int, ...] = (200,),
    command: list[str] | str | None = None,
    settings: dict[str, Any] | None = None,
    environ: dict[str, str] | None = None,
    more: dict[str, Any] | None = None,
    inherit: tuple[int, ...] = (),
    contains: bool = False,
) -> AsyncIterator[Proxy]:
    """Run the proxy with these hosts, and yield it when its health check answers.

    `more` is added to its configuration; `inherit`: descriptors that it inherits. Raises RuntimeError if its
    log reports a contained error, unless `contains`.
    """
    discovery.entries.update({host.name: host.entry() for host in hosts})
    spec = {"name": "n0", "listen": own_address(), "discovery": f"127.0.0.1:{discovery.port}", "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": {**SETTINGS, **(settings or {})}, **(more or {})}  # fmt: skip
    if known:
        spec["known"] = discovery.listing()
    with tempfile.TemporaryDirectory() as folder:
        proxy = Proxy(spec, Path(folder), command, environ, inherit=inherit)
        proxy.start()
        try:
            await proxy.wait_health(*ready)
            yield proxy
        finally:
            proxy.close()
        if not contains and " error_contained " in proxy.log():
            raise RuntimeError(f"{proxy.name} contained an error:\n{proxy.log()}")


@dataclass
class Account:
    """What servers received (time and request id) and answered, and the statuses that clients received."""

    received: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    answered_s: dict[str, float] = field(default_factory=dict)  # by request id: when its server answered it
    answers: dict[str, list[int]] = field(default_factory=dict)

    def since(self, server: str, moment_s: float) -> int:
        """Return how many requests `server` received after `moment_s`."""
        return sum(at_s > moment_s for at_s, _ in self.received[server])

    def runs(self) -> Counter[str]:
        """Return how many times each request was received by a server."""
        return Counter(name for requests in self.received.values() for _, name in requests)

    def check(self) -> None:
        """Assert that each request was answered once and none ran twice, as must hold without faults."""
        assert self.answers
        assert all(len(statuses) == 1 for statuses in self.answers.values())
        assert max(self.runs().values()) == 1


async def working_host(name: str, account: Account, work_s: float = 0.02) -> Host:
    """Start a server that takes `work_s` for each request and records in `account` when it arrived."""
    account.received[name] = []

    async def respond(seen: Seen, writer: asyncio.StreamWriter) -> None:
        # On a busy machine this process reads late; without this correction the proxy would seem to be late.
        received_s = time.monotonic() - (data_age_s(writer.get_extra_info("socket")) or 0.0)
        request_id = seen.message.headers["x-request-id"]
        account.received[name].append((received_s, request_id))
        await asyncio.sleep(work_s)
        account.answered_s[request_id] = time.monotonic()
        writer.write(ok(name.encode(), b"X-Server-Load: inflight=3,queue=1\r\n"))

    return await Host(name, respond).start()


class SteadyClients:
    """`count` connections, each sending one request after the other, alternately keyed and unsafe."""

    def __init__(self, proxy: Proxy, account: Account, count: int = 4, pause_s: float = 0.02) -> None:
        self._proxy, self._account, self._pause_s = proxy, account, pause_s
        self._stopping = False
        self._tasks = [asyncio.get_running_loop().create_task(self._run()) for _ in range(count)]

    async def _run(self) -> None:
        client = await self._proxy.client()
        while not self._stopping:
            request_id = client.next_id
            answer = await client.ask("/unsafe" if client.count % 2 else "/keyed")
            self._account.answers.setdefault(request_id, []).append(answer.status)
            if answer.headers.get("connection") == "close":
                client.writer.close()
                count, client = client.count, await self._proxy.client()
                client.count = count
            await asyncio.sleep(self._pause_s)
        client.writer.close()

    async def stop(self) -> None:
        """Stop, after every request in flight has been answered."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
