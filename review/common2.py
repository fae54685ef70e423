"""What the cases 6 to 10 share: the client proxy as it is deployed, and small stand-ins round it.

Standard library only. The stand-ins run in the script's own event loop: hosts, discovery and clients, on
loopback addresses with free ports. A client sends one request at a time on a connection unless a case says
otherwise.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
HEALTH_CALL = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
Json = dict[str, Any]


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def free_address(host: str) -> tuple[str, int]:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        return host, sock.getsockname()[1]


def text_of(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


class Record:
    """The lines of `record.txt`, with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()


def settings(classes: list[Json], **changes: Any) -> Json:
    """The settings of a small deployment: those of the example on the page of the wire."""
    base: Json = {
        "balancers": 3,
        "bounds": {
            "cancel": True, "conn_idle_ms": 60000.0, "connect_timeout_ms": 250.0, "max_attempts": 3,
            "max_retry_after_ms": 750.0, "parallel_tries": True, "peers": False, "probes": False,
            "retry_after": False, "streams_per_conn": 1,
        },
        "categories": classes,
        "clients": {"marks_retry": True},
        "counted_by": "request",
        "discovery": "subscribe",
        "family": "mesh",
        "ordinal": 1,
        "reporting": {"fields": [], "how": "off"},
        "safety": {
            "cold_ms": 7500.0, "cold_share": 0.31, "drain_grace_ms": 1000.0, "fall_ms": 2000.0,
            "fall_multiple": 3.0, "grace_to_answer_ms": 20.0, "must_ask_in_ms": 10000.0,
        },
        "weight_source": "rough",
        "zone": "hall-a",
        "zones": ["hall-a"],
    }  # fmt: skip
    return {**base, **changes}


def category(name: str, effect: str, aim_ms: float, deadline_ms: float, **more: Any) -> Json:
    base = {
        "name": name, "effect": effect, "aim_ms": aim_ms, "deadline_ms": deadline_ms, "group": "all",
        "late_worth": 0.0, "stream": False, "window_ms": 5000.0, "worth": 3.0,
    }  # fmt: skip
    return {**base, **more}


def entry(name: str, address: str, state: str = "active", started_ms: int = 0) -> Json:
    return {
        "id": name, "addr": address, "zone": "hall-a", "kind": "plain-quad", "cell": 0, "state": state,
        "weight": 4.0, "started_ms": started_ms,
    }  # fmt: skip


class Message:
    """A parsed head, and the body."""

    def __init__(self, first: list[str], fields: dict[str, str], body: bytes) -> None:
        self.first, self.fields, self.body = first, fields, body


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]] | None:
    """Read a head; None if the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    return lines[0].split(" ", 2), {name.lower(): value for name, value in fields.items()}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read a body by its framing. Raises IncompleteReadError or ConnectionError if it does not come whole."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return bytes(body)
    return await reader.readexactly(int(fields.get("content-length", "0")))


Answerer = Callable[["Host", Message, asyncio.StreamWriter], Awaitable[None]]


class Host:
    """A record server: `answer` writes the answer to one request, whose last byte has come."""

    def __init__(self, name: str, number: int, answer: Answerer) -> None:
        self.name, self.address = name, free_address(f"127.40.{number // 250}.{number % 250 + 1}")
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address, limit=2**16, backlog=256)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await self._answer(self, Message(*head, body), writer)
        writer.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()


def ok(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Discovery:
    """Discovery that is asked: whole lists, and watches that wait for a newer version."""

    def __init__(self, record: Record, servers: list[Json]) -> None:
        self.address = free_address("127.41.0.1")
        self.version = 1
        self._record = record
        self._servers = {server["id"]: server for server in servers}
        self._changed_at: dict[str, int] = {}
        self._gone: dict[str, Json] = {}
        self._news = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.told_s: dict[int, float] = {}  # when a version was first written to the proxy

    def listing(self) -> Json:
        return {"version": self.version, "full": True, "servers": list(self._servers.values())}

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def change(self, servers: list[Json]) -> int:
        """Apply changes, and wake the watches; returns the new version."""
        self.version += 1
        for server in servers:
            name = server["id"]
            self._changed_at.pop(name, None)
            self._changed_at[name] = self.version
            if server["state"] == "left":
                self._servers.pop(name, None)
                self._gone[name] = server
            else:
                self._servers[name] = server
        async with self._news:
            self._news.notify_all()
        return self.version

    def _changes_since(self, version: int) -> Json:
        names = [name for name, changed in self._changed_at.items() if changed > version]
        found = [self._servers.get(name) or self._gone[name] for name in names]
        return {"version": self.version, "full": False, "servers": found}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while (head := await read_head(reader)) is not None:
                _, _, query = head[0][1].partition("?")
                asked = dict(part.split("=") for part in query.split("&") if part)
                if "from" in asked:
                    version = int(asked["from"])
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(float(asked.get("hold_ms", 0)) / 1000), self._news:
                            await self._news.wait_for(lambda version=version: self.version > version)
                    message = self._changes_since(version)
                else:
                    message = self.listing()
                writer.write(ok(json.dumps(message).encode()))
                if message["version"] not in self.told_s:
                    self.told_s[message["version"]] = time.monotonic()
                    self._record(f"discovery writes version {message['version']} to the client proxy")
        writer.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()


class Proxy:
    """A client proxy, started by the command `run` of the deploy file."""

    def __init__(self, folder: Path, config: Json) -> None:
        self.listen = free_address("127.42.0.1")
        self.management = free_address("127.42.0.2")
        self._folder = folder
        (folder / "tmp").mkdir(exist_ok=True)
        self._config = {
            "name": "n1", "listen": text_of(self.listen), "seed": "8c1f30d27a5be964",
            "management": text_of(self.management), **config,
        }  # fmt: skip
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        path = self._folder / "config.json"
        path.write_text(json.dumps(self._config))
        names = ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_MANAGEMENT", "PROXY_INHERITED_FD")
        environ = {key: value for key, value in os.environ.items() if key not in names}
        environ |= {"PROXY_CONFIG": str(path), "TMPDIR": str(self._folder / "tmp")}
        with (self._folder / "log").open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environ, stderr=log, stdin=subprocess.DEVNULL
            )
        for _ in range(300):
            if self._process.poll() is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                status, _ = await ask(self.listen, HEALTH_CALL)
                if status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRun("the client proxy was not ready after 30 s: " + self.log()[-800:])

    def log(self) -> str:
        path = self._folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    @property
    def crashed(self) -> bool:
        return self._process is not None and self._process.poll() is not None

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid  # the command ends in `exec`

    def kill(self) -> None:
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def stop(self) -> None:
        """End the process, and wait until it is gone."""
        process, self._process = self._process, None
        if process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(8)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


async def ask(address: tuple[str, int], request: bytes, timeout_s: float = 10.0) -> tuple[int, bytes]:
    """Send one request on a connection of its own; return status and body."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address, limit=2**20)
        try:
            writer.write(request)
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError
            return int(head[0][1]), await read_body(reader, head[1])
        finally:
            writer.close()


def request(
    method: str, class_name: str, request_id: str, timeout_ms: int, body: bytes = b"", obj: str = "o"
) -> bytes:
    """A client's request as the page of the protocol writes it."""
    head = (
        f"{method} /{class_name}?obj={obj} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {request_id}\r\n"
        f"X-Timeout-Ms: {timeout_ms}\r\n"
    )
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Stage:
    """The parts of one case; all are closed at its end, however it ends."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self._temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self._temporary.name)
        self._closers: list[Callable[[], None]] = []

    async def host(self, name: str, number: int, answer: Answerer) -> Host:
        host = Host(name, number, answer)
        await host.open()
        self._closers.append(host.close)
        return host

    async def discovery(self, servers: list[Json]) -> Discovery:
        discovery = Discovery(self.record, servers)
        await discovery.open()
        self._closers.append(discovery.close)
        return discovery

    async def proxy(self, config: Json) -> Proxy:
        proxy = Proxy(self.folder, config)
        self._closers.insert(0, proxy.stop)
        await proxy.start()
        self.record("the client proxy is ready")
        return proxy

    def close(self) -> None:
        for close in self._closers:
            close()
        self._temporary.cleanup()


def main(case: str, play: Callable[[Stage], Awaitable[list[str]]], limit_s: float = 100.0) -> None:
    """Play a case and exit: with 1 and what broke the rule, 0 if it held, 2 if it could not run."""
    stage = Stage(Path(case).resolve().parent)
    stage.record(f"disruption: {'on' if TROUBLE else 'off'}")

    async def run() -> list[str]:
        async with asyncio.timeout(limit_s):
            try:
                return list(await play(stage))
            finally:
                for task in asyncio.all_tasks() - {asyncio.current_task()}:
                    task.cancel()

    try:
        broken = asyncio.run(run())
        code = BROKEN if broken else HELD
        for text in broken:
            stage.record(f"broken: {text}")
        stage.record(f"result: {'the rule was broken' if broken else 'the rule held'}")
        print("\n".join(broken) or "the rule held")
    except Exception as error:  # a fault of the case says nothing about the rule
        stage.record(f"result: the case could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    finally:
        stage.close()
    sys.stdout.flush()
    os._exit(code)  # connections that are still open are of no interest
