"""What the cases share: a deployment of one client proxy on loopback, and small stand-ins around it.

The client proxy is started with `run` of the deploy file. Hosts, discovery, clients and operators are
stand-ins of the page's behaviour in this process, on the real clock. Nothing but the standard library.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
LIMIT_S = 110.0  # of one run, in all


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


def free_port(address: str) -> int:
    with socket.socket() as sock:
        sock.bind((address, 0))
        return int(sock.getsockname()[1])


def request_class(
    name: str, effect: str, deadline_ms: float, aim_ms: float | None = None
) -> dict[str, object]:
    return {
        "name": name, "aim_ms": aim_ms or deadline_ms, "deadline_ms": deadline_ms, "effect": effect,
        "group": "cell", "window_ms": 1200.0, "worth": 3.0, "late_worth": 0.0, "stream": False,
    }  # fmt: skip


def settings(classes: list[dict[str, object]], **bounds: object) -> dict[str, object]:
    """The form of the settings on the page, with the figures of the first deployment."""
    return {
        "balancers": 3, "ordinal": 0, "discovery": "subscribe", "family": "mesh",
        "bounds": {
            "cancel": True, "conn_idle_ms": 60000.0, "connect_timeout_ms": 250.0, "max_attempts": 3,
            "max_open": 26666, "max_retry_after_ms": 750.0, "parallel_tries": True, "peers": False,
            "probes": False, "retry_after": False, "streams_per_conn": 1, **bounds,
        },
        "categories": classes, "clients": {"marks_retry": True}, "counted_by": "request", "projects": [],
        "prices": {"connection": 0.05, "handshake": 0.05, "late_fail": 0.05, "waste": 0.15},
        "reporting": {"fields": ["inflight", "queue", "latency_ms"], "how": "inline"},
        "safety": {
            "cold_ms": 7500.0, "cold_share": 0.31, "drain_grace_ms": 1000.0, "fall_ms": 2000.0,
            "fall_multiple": 3.0, "grace_to_answer_ms": 20.0, "must_ask_in_ms": 10000.0,
        },
        "weight_source": "rough", "zone": "a", "zones": ["a"],
    }  # fmt: skip


class Record:
    """`record.txt`: a line for each thing that was sent, answered or run, in order, in ms since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def ms(self) -> float:
        return (time.monotonic() - self._began) * 1000

    def __call__(self, event: str, /, **fields: object) -> float:
        at = self.ms()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:10.1f} {event} {text}\n")
        self._file.flush()
        return at


# HTTP/1.1, as far as the stand-ins need it


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = dict(line.split(":", 1) for line in head[1:] if line)
    return head[0], {name.lower(): value.strip() for name, value in fields.items()}


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    first, fields = await read_head(reader)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return first, fields, body
    return first, fields, await reader.readexactly(int(fields.get("content-length", "0")))


def answer_bytes(status: int, body: bytes, *fields: str) -> bytes:
    reason = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}", *fields, "", ""]
    return "\r\n".join(lines).encode() + body


class Request:
    """A request as it came to a host."""

    def __init__(self, first: str, fields: dict[str, str], body: bytes) -> None:
        self.method, self.target, _ = first.split(" ", 2)
        self.id, self.fields, self.body = fields.get("x-request-id", ""), fields, body


class Host:
    """A host. `serve` gets each request that has come whole, and writes the answer."""

    def __init__(
        self,
        name: str,
        record: Record,
        serve: Callable[[Host, Request, asyncio.StreamWriter], Awaitable[None]],
    ) -> None:
        self.name, self.record, self._serve = name, record, serve
        self.address = ("127.0.0.1", 0)
        self.state, self.started_ms = "active", 0
        self.cell = 0
        self.requests: list[tuple[float, str]] = []  # when each came whole, and its id
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connection, self.address[0], self.address[1])
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def entry(self) -> dict[str, object]:
        return {
            "id": self.name, "addr": f"{self.address[0]}:{self.address[1]}", "zone": "a",
            "kind": "plain-quad", "cell": self.cell, "state": self.state, "weight": 1.0,
            "started_ms": self.started_ms,
        }  # fmt: skip

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = Request(*await read_message(reader))
                self.requests.append((self.record.ms(), request.id))
                await self._serve(self, request, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Discovery:
    """Discovery: whole lists, and watches on changes."""

    def __init__(self, record: Record, hosts: list[Host]) -> None:
        self.record, self.hosts = record, {host.name: host for host in hosts}
        self.version, self.address = 1, ("127.0.0.1", 0)
        self.changed_in: dict[str, int] = {}
        self.left: dict[str, dict[str, object]] = {}
        self.told_ms: dict[int, float] = {}  # when each version was first written to the client proxy
        self.calls = 0
        self._news = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connection, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    def change(self, *names: str) -> None:
        """Tell of the hosts `names`, whose entries have changed."""
        self.version += 1
        for name in names:
            self.changed_in[name] = self.version
        self.record("discovery_has", version=self.version, hosts=",".join(names))
        news, self._news = self._news, asyncio.Event()
        news.set()

    def message(self, since: int | None) -> bytes:
        entries = {name: host.entry() for name, host in self.hosts.items()}
        if since is None:
            listed = list(entries.values())
        else:
            both = {**entries, **self.left}
            listed = [both[name] for name, version in self.changed_in.items() if version > since]
        return json.dumps({"version": self.version, "full": since is None, "servers": listed}).encode()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _, _ = await read_message(reader)
                self.calls += 1
                query = first.split(" ")[1].partition("?")[2]
                asked = dict(part.split("=", 1) for part in query.split("&") if part)
                since = int(asked["from"]) if "from" in asked else None
                if since is not None and since >= self.version:
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self._news.wait(), float(asked.get("hold_ms", "0")) / 1000)
                version, message = self.version, self.message(since)
                writer.write(answer_bytes(200, message, "Content-Type: application/json"))
                self.told_ms.setdefault(version, self.record.ms())
                self.record("discovery_told", version=version, since=since)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Proxy:
    """One client proxy, by `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, fields: dict[str, object]) -> None:
        self.record, self.folder = record, folder
        self.address = ("127.0.0.1", free_port("127.0.0.1"))
        self.management = ("127.0.0.1", free_port("127.0.0.1"))
        self.fields = {
            "name": "n0", "listen": f"127.0.0.1:{self.address[1]}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, **fields,
        }  # fmt: skip
        self.config = folder / "config.json"
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        self.config.write_text(json.dumps(self.fields), encoding="utf-8")

    async def start(self, **environment: str) -> None:
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        self.write_config()
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        self.log = (self.folder / "proxy.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            env={**os.environ, "PROXY_CONFIG": str(self.config), "TMPDIR": str(temporary), **environment},
        )  # fmt: skip
        self.record("proxy_started", pid=self.process.pid)
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the client proxy ended with {self.process.returncode}: {self.log_text()}")
            try:
                if (await call(self.address, "GET", "/healthz", {}, b"", 2.0))[0] == 200:
                    self.record("proxy_ready")
                    return
            except (OSError, EOFError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"the client proxy was not ready within 30 s: {self.log_text()}")

    def log_text(self) -> str:
        return (self.folder / "proxy.log").read_text(encoding="utf-8", errors="replace")[-2000:]

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(5)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait(5)
        self.record("proxy_ended", code=self.process.returncode)


async def call(
    address: tuple[str, int], method: str, target: str, fields: dict[str, str], body: bytes, within_s: float
) -> tuple[int, bytes]:
    """Make one call on a connection of its own; return the status and the body."""
    async with asyncio.timeout(within_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request_bytes(method, target, {**fields, "Connection": "close"}, body))
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()


def request_bytes(method: str, target: str, fields: dict[str, str], body: bytes) -> bytes:
    length = {"Content-Length": str(len(body))} if method != "GET" else {}
    lines = [f"{name}: {value}" for name, value in {"Host": "backend.local", **fields, **length}.items()]
    return "\r\n".join([f"{method} {target} HTTP/1.1", *lines, "", ""]).encode() + body


def play(case: Callable[[Record, Path, bool, list[Proxy]], Awaitable[int]], file: str) -> None:
    """Run a case in its folder, and exit with its verdict."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))  # for a thousand hosts in this process
    folder = Path(file).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # "$TMPDIR ... counts as memory" (DEPLOY); on a slow disk a case might not get far enough.
    memory = "/dev/shm" if os.access("/dev/shm", os.W_OK | os.X_OK) else None
    temporary = Path(tempfile.mkdtemp(prefix="review-", dir=memory))
    record, proxies = Record(folder), list[Proxy]()
    verdict = CANNOT_RUN
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(CANNOT_RUN))  # the processes are ended below

    async def limited() -> int:
        async with asyncio.timeout(LIMIT_S):
            return await case(record, temporary, trouble, proxies)

    try:
        verdict = asyncio.run(limited())
    except Exception as error:  # also an error in the case itself: it says nothing about the rule
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        record("could_not_run", why=f"{type(error).__name__}: {error}")
    finally:
        for proxy in proxies:
            proxy.end()
        shutil.rmtree(temporary, ignore_errors=True)
    record("verdict", code=verdict, trouble=int(trouble))
    print({BROKEN: "the rule was broken", HELD: "the rule held"}.get(verdict, "could not run"))
    sys.exit(verdict)
