"""A scripted HTTP/3 client and server on loopback, on either of two QUIC libraries: they do and say exactly
what a test tells them, also what no honest peer would."""

from __future__ import annotations

import asyncio
import importlib
import inspect
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from cloverrouter.lab.process import LONG_S

Address = tuple[str, int]
LIBRARIES = ("qh3", "aioquic")


def library(name: str) -> SimpleNamespace:
    """The parts of a library that are used here; both have them under the same names."""

    def part(path: str) -> Any:
        return importlib.import_module(f"{name}.{path}")

    return SimpleNamespace(
        Settings=part("quic.configuration").QuicConfiguration,
        Connection=part("quic.connection").QuicConnection,
        Http=part("h3.connection").H3Connection,
        quic=part("quic.events"),
        h3=part("h3.events"),
    )


def goaway(bound: int) -> bytes:
    """The frame (RFC 9114, 7.2.6), with an integer of eight bytes."""
    return b"\x07\x08" + (bound | 3 << 62).to_bytes(8, "big")


@dataclass
class Reply:
    """What has come on one stream."""

    fields: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    ended: bool = False
    reset: int | None = None  # the code that the other side ended it with
    stopped: int | None = None  # and with which it wanted no more of the request

    @property
    def status(self) -> int:
        return int(self.fields.get(b":status", b"0"))


class QuicClient(asyncio.DatagramProtocol):
    """One connection. `authority`: the file of the certificate that signs its server's."""

    def __init__(self, address: Address, authority: Path, name: str = "qh3", **settings: Any) -> None:
        self.library = library(name)
        told = self.library.Settings(
            is_client=True,
            alpn_protocols=["h3"],
            server_name="localhost",
            max_datagram_frame_size=65536,
            **settings,
        )
        told.load_verify_locations(str(authority))
        self.quic = self.library.Connection(configuration=told)
        self.http: Any = None
        self.replies: dict[int, Reply] = {}
        self.away: list[int] = []  # what GOAWAY said
        self.over: Any = None  # how the connection ended
        self.reading = True  # if not, what comes is left to lie
        self._address = address
        self._changed = asyncio.Event()
        self._up = False
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self._count = 0

    async def open(self) -> QuicClient:
        """Raises ConnectionError if the server turns it away, TimeoutError if it says nothing."""
        await self.bind()
        self.quic.connect(self._address, now=time.monotonic())
        self.http = self.library.Http(self.quic)
        self.flush()
        await self.until(lambda: self._up or self.over is not None)
        if self.over is not None:
            raise ConnectionError(str(self.over))
        return self

    async def bind(self, host: str = "127.0.0.1") -> None:
        """A socket; another one than before is a path of its own (RFC 9000, 9)."""
        old = self.transport
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host if family == socket.AF_INET else "::1", 0)
        )
        self.transport = transport
        if old is not None:
            old.close()

    async def until(self, condition: Any, seconds: float = LONG_S) -> None:
        async with asyncio.timeout(seconds):
            while not condition():
                changed = self._changed
                await changed.wait()

    # Requests and answers

    def fields(self, target: str, **extra: str) -> list[tuple[bytes, bytes]]:
        """A valid request's; `extra` by names with underscores, an empty value takes one out."""
        self._count += 1
        name = f"{id(self):x}-{self._count}"
        told = {
            ":method": "GET" if target.startswith("/safe") else "POST",
            ":scheme": "https",
            ":authority": "localhost",
            ":path": target,
            "x-request-id": name,
            "x-timeout-ms": "2500",
        }
        if target.startswith("/keyed"):
            told["idempotency-key"] = f"k{name}"
        for key, value in extra.items():
            told[key.replace("_", "-")] = value
        return [(key.encode(), value.encode()) for key, value in told.items() if value]

    def send(self, target: str, body: bytes = b"", end: bool = True, **extra: str) -> int:
        return self.send_fields(self.fields(target, **extra), body, end)

    def send_fields(self, fields: list[tuple[bytes, bytes]], body: bytes = b"", end: bool = True) -> int:
        number = int(self.quic.get_next_available_stream_id())
        self.replies[number] = Reply()
        self.http.send_headers(number, fields, end and not body)
        if body:
            self.http.send_data(number, body, end)
        self.flush()
        return number

    def more(self, number: int, body: bytes, end: bool = False) -> None:
        self.http.send_data(number, body, end)
        self.flush()

    def cancel(self, number: int, code: int = 0x10C) -> None:
        """H3_REQUEST_CANCELLED, in both directions."""
        if not getattr(self.quic, "_stream_can_send", lambda n: True)(number):
            pass
        else:
            self.quic.reset_stream(number, code)
        self.quic.stop_stream(number, code)
        self.flush()

    async def reply(self, number: int, seconds: float = LONG_S) -> Reply:
        found = self.replies[number]
        await self.until(lambda: found.ended or found.reset is not None or self.over is not None, seconds)
        return found

    async def ask(self, target: str, body: bytes = b"", **extra: str) -> Reply:
        return await self.reply(self.send_fields(self.fields(target, **extra), body))

    def close(self) -> None:
        if self.over is None:
            self.quic.close()
            self.flush()
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.close()

    def vanish(self) -> None:
        """Its machine is gone: nothing more is sent, not even an end."""
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.close()

    # Datagrams

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        if self.reading:
            self.quic.receive_datagram(data, self._address, now=time.monotonic())
            self._happened()
            self.flush()

    def flush(self) -> None:
        now_s = time.monotonic()
        for data, _ in self.quic.datagrams_to_send(now=now_s):
            if self.transport is not None and not self.transport.is_closing():
                self.transport.sendto(data, self._address)
        if self._timer is not None:
            self._timer.cancel()
        due_s = self.quic.get_timer()
        if due_s is not None and self.over is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, due_s - now_s) + 0.001, self._on_timer)

    def _on_timer(self) -> None:
        self.quic.handle_timer(now=time.monotonic())
        self._happened()
        self.flush()

    def _happened(self) -> None:
        while (event := self.quic.next_event()) is not None:
            if isinstance(event, self.library.quic.HandshakeCompleted):
                self._up = True
            elif isinstance(event, self.library.quic.ConnectionTerminated):
                self.over = event
            elif isinstance(event, self.library.quic.StreamReset) and event.stream_id in self.replies:
                self.replies[event.stream_id].reset = event.error_code
            elif isinstance(event, self.library.quic.StopSendingReceived) and event.stream_id in self.replies:
                self.replies[event.stream_id].stopped = event.error_code
            if self.http is not None:
                for told in self.http.handle_event(event):
                    self._said(told)
        # Its side knows of the end before the wait that follows it is over.
        self.over = self.over or getattr(self.quic, "_close_event", None)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _said(self, told: Any) -> None:
        h3 = self.library.h3
        if isinstance(told, h3.HeadersReceived):
            reply = self.replies[told.stream_id]
            reply.fields.update(told.headers)
            reply.ended = told.stream_ended
        elif isinstance(told, h3.DataReceived):
            reply = self.replies[told.stream_id]
            reply.body += told.data
            reply.ended = told.stream_ended
        elif type(told).__name__ == "GoawayReceived":
            self.away.append(told.stream_id)


# The server's side


@dataclass(eq=False)
class Asked:
    """A request as a server got it, and the means to answer it in any way."""

    peer: Peer
    number: int
    fields: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    ended: bool = False

    @property
    def id(self) -> str:
        return self.fields[b"x-request-id"].decode()

    def head(self, status: int = 200, extra: dict[str, str] | None = None, end: bool = False) -> None:
        told = [(b":status", b"%d" % status)]
        told += [(name.replace("_", "-").encode(), value.encode()) for name, value in (extra or {}).items()]
        self.peer.http.send_headers(self.number, told, end)
        self.peer.flush()

    def data(self, body: bytes, end: bool = False) -> None:
        self.peer.http.send_data(self.number, body, end)
        self.peer.flush()

    def answer(self, body: bytes = b"done", status: int = 200, **extra: str) -> None:
        self.head(status, {"content_length": str(len(body)), **extra})
        self.data(body, end=True)

    def raw(self, data: bytes, end: bool = False) -> None:
        """Bytes of the stream below HTTP/3's frames."""
        self.peer.quic.send_stream_data(self.number, data, end)
        self.peer.flush()

    def reset(self, code: int) -> None:
        self.peer.quic.reset_stream(self.number, code)
        self.peer.flush()

    def stop(self, code: int) -> None:
        self.peer.quic.stop_stream(self.number, code)
        self.peer.flush()


class Peer:
    """One connection of a client, as its server has it."""

    def __init__(self, host: QuicHost, quic: Any, address: Address) -> None:
        self.host, self.quic, self.address = host, quic, address
        self.http: Any = None
        self.asked: dict[int, Asked] = {}
        self.over: Any = None
        self._timer: asyncio.TimerHandle | None = None

    def receive(self, data: bytes) -> None:
        self.quic.receive_datagram(data, self.address, now=time.monotonic())
        self._happened()
        self.flush()

    def flush(self) -> None:
        now_s = time.monotonic()
        for data, _ in self.quic.datagrams_to_send(now=now_s):
            self.host.send(data, self.address)
        self.stop_timer()
        due_s = self.quic.get_timer()
        if due_s is not None and self.over is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, due_s - now_s) + 0.001, self._on_timer)

    def stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _on_timer(self) -> None:
        self.quic.handle_timer(now=time.monotonic())
        self._happened()
        self.flush()

    def _happened(self) -> None:
        parts = self.host.library
        while (event := self.quic.next_event()) is not None:
            if isinstance(event, parts.quic.HandshakeCompleted):
                self.http = parts.Http(self.quic)
                self.host.handshakes += 1
            elif isinstance(event, parts.quic.ConnectionTerminated):
                self.over = event
            elif isinstance(event, parts.quic.StreamReset):
                self.host.resets[event.stream_id] = event.error_code
            elif isinstance(event, parts.quic.StopSendingReceived):
                self.host.stops[event.stream_id] = event.error_code
            if self.http is not None:
                for told in self.http.handle_event(event):
                    self._said(told)

    def _said(self, told: Any) -> None:
        if not hasattr(told, "stream_ended") or told.stream_id % 4:
            return
        asked = self.asked.get(told.stream_id)
        if asked is None:
            asked = self.asked[told.stream_id] = Asked(self, told.stream_id)
            self.host.begun.append(asked)
        if isinstance(told, self.host.library.h3.HeadersReceived):
            asked.fields.update(told.headers)
        else:
            asked.body += told.data
        if told.stream_ended and not asked.ended:
            asked.ended = True
            self.host.took(asked)

    def go_away(self, bound: int) -> None:
        self.quic.send_stream_data(self.http._local_control_stream_id, goaway(bound))
        self.flush()

    def close(self, code: int = 0x100) -> None:
        self.quic.close(error_code=code)
        self.flush()


Respond = Callable[[Asked], Awaitable[None] | None]


def done(asked: Asked) -> None:
    asked.answer()


def silent(asked: Asked) -> None:
    """No answer."""


class QuicHost(asyncio.DatagramProtocol):
    """A server that answers each request with `respond`, and remembers what it got. `files`: certificate and
    key; `begun` has requests from their first byte on, `seen` when they are whole."""

    def __init__(
        self, name: str, files: tuple[str, str], respond: Respond = done, library_name: str = "aioquic",
        **settings: Any,
    ) -> None:  # fmt: skip
        self.name, self.respond = name, respond
        self.library = library(library_name)
        self._settings = self.library.Settings(
            is_client=False, **{"alpn_protocols": ["h3"], "max_datagram_frame_size": 65536, **settings}
        )
        self._settings.load_cert_chain(*files)
        self.peers: dict[Address, Peer] = {}
        self.begun: list[Asked] = []
        self.seen: list[Asked] = []
        self.resets: dict[int, int] = {}  # codes by stream, from the clients
        self.stops: dict[int, int] = {}
        self.handshakes = self.datagrams = 0
        self.deaf = False  # its machine has vanished
        # Has an address prove itself first. Without, qh3 fails where the amplification limit leaves less than
        # a packet (RFC 9000, 8.1).
        self._retry = library_name == "qh3"
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Future[None]] = set()

    async def start(self, port: int = 0) -> QuicHost:
        """On a UDP port; one on HTTP/1.1 may have the TCP port of the same number."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", port))
        self._transport = transport
        self.port = transport.get_extra_info("sockname")[1]
        return self

    def datagram_received(self, data: bytes, address: Address) -> None:
        from aioquic._buffer import Buffer
        from aioquic.quic.packet import QuicPacketType, encode_quic_retry, pull_quic_header

        self.datagrams += 1
        if self.deaf:
            return
        peer = self.peers.get(address)
        if peer is None:
            header = pull_quic_header(Buffer(data=data), host_cid_length=8)
            if header.packet_type != QuicPacketType.INITIAL:
                return
            asked, chosen = header.destination_cid, None
            if self._retry:
                if not header.token:
                    told = encode_quic_retry(
                        header.version or 1, b"chosenid", header.source_cid, asked, asked
                    )
                    self.send(told, address)
                    return
                asked, chosen = header.token, asked
            quic = self.library.Connection(
                configuration=self._settings,
                original_destination_connection_id=asked,
                retry_source_connection_id=chosen,
            )
            peer = self.peers[address] = Peer(self, quic, address)
        peer.receive(data)

    def send(self, data: bytes, address: Address) -> None:
        if self._transport is not None and not self.deaf:
            self._transport.sendto(data, address)

    def took(self, asked: Asked) -> None:
        self.seen.append(asked)
        told = self.respond(asked)
        if inspect.isawaitable(told):
            task = asyncio.ensure_future(told)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def forget(self) -> None:
        """A new process at the same port: it knows no connection, and says so (RFC 9000, 10.3)."""
        for peer in self.peers.values():
            peer.stop_timer()
            peer.over = "forgotten"
            token = peer.quic._host_cids[0].stateless_reset_token
            self.send(b"\x41" + bytes(range(30)) + token, peer.address)
        self.peers.clear()

    def close(self) -> None:
        """The process ends, without a word."""
        for peer in self.peers.values():
            peer.stop_timer()
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def entry(self, state: str = "active") -> dict[str, Any]:
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": "a", "cell": 1, "state": state,
                "weight": 1.0, "started_ms": 0}  # fmt: skip
