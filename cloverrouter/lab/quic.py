"""A scripted HTTP/3 client and server on loopback, with either of two QUIC libraries.

They send exactly what a test specifies, including violations of the protocol.
"""

from __future__ import annotations

import asyncio
import importlib
import inspect
import os
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from cloverrouter.lab.peers import client_numbers
from cloverrouter.lab.process import LONG_S

Address = tuple[str, int]
LIBRARIES = ("qh3", "aioquic")


def library(name: str) -> SimpleNamespace:
    """Return the classes and modules of a library that are used here; both have the same names for them."""

    def module(path: str) -> Any:
        return importlib.import_module(f"{name}.{path}")

    return SimpleNamespace(
        Settings=module("quic.configuration").QuicConfiguration,
        Connection=module("quic.connection").QuicConnection,
        Http=module("h3.connection").H3Connection,
        quic=module("quic.events"),
        h3=module("h3.events"),
    )


def goaway(bound: int) -> bytes:
    """Return a GOAWAY frame (RFC 9114, 7.2.6) with an integer of eight bytes."""
    return b"\x07\x08" + (bound | 3 << 62).to_bytes(8, "big")


@dataclass
class Reply:
    """What has been received on one stream."""

    fields: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    ended: bool = False
    reset: int | None = None  # error code of the peer's RESET_STREAM
    stopped: int | None = None  # error code of the peer's STOP_SENDING

    @property
    def status(self) -> int:
        """The status code, 0 if none has been received."""
        return int(self.fields.get(b":status", b"0"))


class QuicClient(asyncio.DatagramProtocol):
    """One connection of a client. `authority`: path of the CA certificate for the server's certificate."""

    def __init__(self, address: Address, authority: Path, name: str = "qh3", **settings: Any) -> None:
        self.library = library(name)
        configuration = self.library.Settings(
            is_client=True,
            alpn_protocols=["h3"],
            server_name="localhost",
            max_datagram_frame_size=65536,
            **settings,
        )
        configuration.load_verify_locations(str(authority))
        self.quic = self.library.Connection(configuration=configuration)
        self.http: Any = None
        self.replies: dict[int, Reply] = {}
        self.goaway_bounds: list[int] = []  # stream ids of the GOAWAY frames received
        self.termination: Any = None  # the library's event that ended the connection
        self.reading = True  # if False, datagrams received are dropped
        self._address = address
        self._changed = asyncio.Event()
        self._up = False
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self._number = next(client_numbers)
        self._count = 0

    async def open(self) -> QuicClient:
        """Connect. Raises ConnectionError if the server refuses, TimeoutError if it doesn't answer."""
        await self.bind()
        self.quic.connect(self._address, now=time.monotonic())
        self.http = self.library.Http(self.quic)
        self.flush()
        await self.until(lambda: self._up or self.termination is not None)
        if self.termination is not None:
            raise ConnectionError(str(self.termination))
        return self

    async def bind(self, host: str = "127.0.0.1") -> None:
        """Open a socket. On a later call the connection migrates to a new path (RFC 9000, 9)."""
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
        """Wait until `condition` holds; it is checked after each event."""
        async with asyncio.timeout(seconds):
            while not condition():
                changed = self._changed
                await changed.wait()

    # Requests and answers

    def fields(self, target: str, **extra: str) -> list[tuple[bytes, bytes]]:
        """Return the fields of a valid request.

        `extra` adds or replaces fields, named with underscores; an empty value removes one.
        """
        self._count += 1
        name = f"{os.getpid()}-{self._number}-{self._count}"
        values = {
            ":method": "GET" if target.startswith("/safe") else "POST",
            ":scheme": "https",
            ":authority": "localhost",
            ":path": target,
            "x-request-id": name,
            "x-timeout-ms": "2500",
        }
        if target.startswith("/keyed"):
            values["idempotency-key"] = f"k{name}"
        for key, value in extra.items():
            values[key.replace("_", "-")] = value
        return [(key.encode(), value.encode()) for key, value in values.items() if value]

    def send(self, target: str, body: bytes = b"", end: bool = True, **extra: str) -> int:
        """Send a request and return its stream id."""
        return self.send_fields(self.fields(target, **extra), body, end)

    def send_fields(self, fields: list[tuple[bytes, bytes]], body: bytes = b"", end: bool = True) -> int:
        """Send a request with exactly these fields and return its stream id."""
        stream_id = int(self.quic.get_next_available_stream_id())
        self.replies[stream_id] = Reply()
        self.http.send_headers(stream_id, fields, end and not body)
        if body:
            self.http.send_data(stream_id, body, end)
        self.flush()
        return stream_id

    def send_data(self, stream_id: int, body: bytes, end: bool = False) -> None:
        """Send more of a request's body."""
        self.http.send_data(stream_id, body, end)
        self.flush()

    def cancel(self, stream_id: int, code: int = 0x10C) -> None:
        """Cancel a request in both directions, by default with H3_REQUEST_CANCELLED."""
        if not getattr(self.quic, "_stream_can_send", lambda n: True)(stream_id):
            pass
        else:
            self.quic.reset_stream(stream_id, code)
        self.quic.stop_stream(stream_id, code)
        self.flush()

    async def reply(self, stream_id: int, seconds: float = LONG_S) -> Reply:
        """Wait until the reply, the stream or the connection has ended."""
        found = self.replies[stream_id]
        await self.until(
            lambda: found.ended or found.reset is not None or self.termination is not None, seconds
        )
        return found

    async def ask(self, target: str, body: bytes = b"", **extra: str) -> Reply:
        """Send a request and wait for its reply."""
        return await self.reply(self.send_fields(self.fields(target, **extra), body))

    def close(self) -> None:
        """Close the connection and the socket."""
        if self.termination is None:
            self.quic.close()
            self.flush()
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.close()

    def vanish(self) -> None:
        """Act as a machine that has failed: send nothing more, not even a close."""
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.close()

    # Datagrams

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        if self.reading:
            self.quic.receive_datagram(data, self._address, now=time.monotonic())
            self._process_events()
            self.flush()

    def flush(self) -> None:
        """Send the datagrams that are due and set the timer for the next ones."""
        now_s = time.monotonic()
        for data, _ in self.quic.datagrams_to_send(now=now_s):
            if self.transport is not None and not self.transport.is_closing():
                self.transport.sendto(data, self._address)
        if self._timer is not None:
            self._timer.cancel()
        due_s = self.quic.get_timer()
        if due_s is not None and self.termination is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, due_s - now_s) + 0.001, self._on_timer)

    def _on_timer(self) -> None:
        self.quic.handle_timer(now=time.monotonic())
        self._process_events()
        self.flush()

    def _process_events(self) -> None:
        while (event := self.quic.next_event()) is not None:
            if isinstance(event, self.library.quic.HandshakeCompleted):
                self._up = True
            elif isinstance(event, self.library.quic.ConnectionTerminated):
                self.termination = event
            elif isinstance(event, self.library.quic.StreamReset) and event.stream_id in self.replies:
                self.replies[event.stream_id].reset = event.error_code
            elif isinstance(event, self.library.quic.StopSendingReceived) and event.stream_id in self.replies:
                self.replies[event.stream_id].stopped = event.error_code
            if self.http is not None:
                for http_event in self.http.handle_event(event):
                    self._on_http_event(http_event)
        # The library has the close event before it reports it, which it does after the draining period.
        self.termination = self.termination or getattr(self.quic, "_close_event", None)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _on_http_event(self, event: Any) -> None:
        h3 = self.library.h3
        if isinstance(event, h3.HeadersReceived):
            reply = self.replies[event.stream_id]
            reply.fields.update(event.headers)
            reply.ended = event.stream_ended
        elif isinstance(event, h3.DataReceived):
            reply = self.replies[event.stream_id]
            reply.body += event.data
            reply.ended = event.stream_ended
        elif type(event).__name__ == "GoawayReceived":
            self.goaway_bounds.append(event.stream_id)


# The server's side


@dataclass(eq=False)
class ServerRequest:
    """A request that a server has received, with methods to answer it in any way."""

    peer: Peer
    stream_id: int
    fields: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    ended: bool = False

    @property
    def id(self) -> str:
        """The value of X-Request-ID."""
        return self.fields[b"x-request-id"].decode()

    def head(self, status: int = 200, extra: dict[str, str] | None = None, end: bool = False) -> None:
        """Send a status and fields; `extra` is named with underscores."""
        fields = [(b":status", b"%d" % status)]
        fields += [(name.replace("_", "-").encode(), value.encode()) for name, value in (extra or {}).items()]
        self.peer.http.send_headers(self.stream_id, fields, end)
        self.peer.flush()

    def data(self, body: bytes, end: bool = False) -> None:
        """Send more of the body."""
        self.peer.http.send_data(self.stream_id, body, end)
        self.peer.flush()

    def answer(self, body: bytes = b"done", status: int = 200, **extra: str) -> None:
        """Send a complete answer."""
        self.head(status, {"content_length": str(len(body)), **extra})
        self.data(body, end=True)

    def raw(self, data: bytes, end: bool = False) -> None:
        """Send bytes on the stream without HTTP/3 framing."""
        self.peer.quic.send_stream_data(self.stream_id, data, end)
        self.peer.flush()

    def reset(self, code: int) -> None:
        """Send RESET_STREAM."""
        self.peer.quic.reset_stream(self.stream_id, code)
        self.peer.flush()

    def stop(self, code: int) -> None:
        """Send STOP_SENDING."""
        self.peer.quic.stop_stream(self.stream_id, code)
        self.peer.flush()


class Peer:
    """The server's side of one connection."""

    def __init__(self, host: QuicHost, quic: Any, address: Address) -> None:
        self.host, self.quic, self.address = host, quic, address
        self.http: Any = None
        self.request: dict[int, ServerRequest] = {}
        self.termination: Any = None
        self._timer: asyncio.TimerHandle | None = None

    def receive(self, data: bytes) -> None:
        """Handle a datagram from the client."""
        self.quic.receive_datagram(data, self.address, now=time.monotonic())
        self._process_events()
        self.flush()

    def flush(self) -> None:
        """Send the datagrams that are due and set the timer for the next ones."""
        now_s = time.monotonic()
        for data, _ in self.quic.datagrams_to_send(now=now_s):
            self.host.send(data, self.address)
        self.stop_timer()
        due_s = self.quic.get_timer()
        if due_s is not None and self.termination is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, due_s - now_s) + 0.001, self._on_timer)

    def stop_timer(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _on_timer(self) -> None:
        self.quic.handle_timer(now=time.monotonic())
        self._process_events()
        self.flush()

    def _process_events(self) -> None:
        library = self.host.library
        while (event := self.quic.next_event()) is not None:
            if isinstance(event, library.quic.HandshakeCompleted):
                self.http = library.Http(self.quic)
                self.host.handshakes += 1
            elif isinstance(event, library.quic.ConnectionTerminated):
                self.termination = event
            elif isinstance(event, library.quic.StreamReset):
                self.host.reset_codes[event.stream_id] = event.error_code
            elif isinstance(event, library.quic.StopSendingReceived):
                self.host.stop_codes[event.stream_id] = event.error_code
            if self.http is not None:
                for http_event in self.http.handle_event(event):
                    self._on_http_event(http_event)

    def _on_http_event(self, event: Any) -> None:
        if not hasattr(event, "stream_ended") or event.stream_id % 4:
            return
        requests = self.request.get(event.stream_id)
        if requests is None:
            requests = self.request[event.stream_id] = ServerRequest(self, event.stream_id)
            self.host.started.append(requests)
        if isinstance(event, self.host.library.h3.HeadersReceived):
            requests.fields.update(event.headers)
        else:
            requests.body += event.data
        if event.stream_ended and not requests.ended:
            requests.ended = True
            self.host.on_request(requests)

    def go_away(self, bound: int) -> None:
        """Send GOAWAY with the stream id `bound`, valid or not."""
        self.quic.send_stream_data(self.http._local_control_stream_id, goaway(bound))
        self.flush()

    def close(self, code: int = 0x100) -> None:
        """Close the connection, by default with H3_NO_ERROR."""
        self.quic.close(error_code=code)
        self.flush()


Respond = Callable[[ServerRequest], Awaitable[None] | None]


def done(request: ServerRequest) -> None:
    """Answer at once."""
    request.answer()


def silent(request: ServerRequest) -> None:
    """Never answer."""


class QuicHost(asyncio.DatagramProtocol):
    """A server that answers each request with `respond` and records what it receives.

    `files`: paths of the certificate and its key. `started` has requests from their first byte
    on, `seen` those received completely.
    """

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
        self.started: list[ServerRequest] = []
        self.seen: list[ServerRequest] = []
        self.reset_codes: dict[int, int] = {}  # by stream id, error codes from the clients
        self.stop_codes: dict[int, int] = {}
        self.handshakes = self.datagrams = 0
        self.unreachable = False  # if True, it neither receives nor sends datagrams
        # Validate client addresses with Retry: without it, qh3 fails where the anti-amplification limit
        # leaves less than a packet (RFC 9000, 8.1).
        self._retry = library_name == "qh3"
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Future[None]] = set()

    async def start(self, port: int = 0) -> QuicHost:
        """Listen on a UDP port; an HTTP/1.1 server may listen on the TCP port of the same number."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", port))
        self._transport = transport
        self.port = transport.get_extra_info("sockname")[1]
        return self

    def datagram_received(self, data: bytes, address: Address) -> None:
        from aioquic._buffer import Buffer
        from aioquic.quic.packet import QuicPacketType, encode_quic_retry, pull_quic_header

        self.datagrams += 1
        if self.unreachable:
            return
        peer = self.peers.get(address)
        if peer is None:
            header = pull_quic_header(Buffer(data=data), host_cid_length=8)
            if header.packet_type != QuicPacketType.INITIAL:
                return
            original_id, retry_id = header.destination_cid, None
            if self._retry:
                if not header.token:
                    retry_packet = encode_quic_retry(
                        header.version or 1, b"chosenid", header.source_cid, original_id, original_id
                    )
                    self.send(retry_packet, address)
                    return
                original_id, retry_id = header.token, original_id
            quic = self.library.Connection(
                configuration=self._settings,
                original_destination_connection_id=original_id,
                retry_source_connection_id=retry_id,
            )
            peer = self.peers[address] = Peer(self, quic, address)
        peer.receive(data)

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram unless the server is unreachable."""
        if self._transport is not None and not self.unreachable:
            self._transport.sendto(data, address)

    def on_request(self, request: ServerRequest) -> None:
        """Record a complete request and answer it with `respond`."""
        self.seen.append(request)
        pending = self.respond(request)
        if inspect.isawaitable(pending):
            task = asyncio.ensure_future(pending)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def lose_connections(self) -> None:
        """Act as a new process on the same port: send stateless resets (RFC 9000, 10.3)."""
        for peer in self.peers.values():
            peer.stop_timer()
            peer.termination = "forgotten"
            token = peer.quic._host_cids[0].stateless_reset_token
            self.send(b"\x41" + bytes(range(30)) + token, peer.address)
        self.peers.clear()

    def close(self) -> None:
        """Close the socket without closing the connections, as a killed process does."""
        for peer in self.peers.values():
            peer.stop_timer()
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def entry(self, state: str = "active") -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": "a", "cell": 1, "state": state,
                "weight": 1.0, "started_ms": 0}  # fmt: skip
