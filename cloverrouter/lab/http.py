"""HTTP/1.1 on loopback for the lab: servers, discovery and clients.

This module does the I/O only; the behaviour of a server, of discovery and of an office's clients is in
`server`, `registry` and `office`. A peer that sends malformed data has its connection closed, with no other
effect.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

import httptools

from cloverrouter.lab.network import Net
from cloverrouter.lab.office import ClientAttempt, ClientOutcome
from cloverrouter.lab.registry import Entry, Listing, Registry
from cloverrouter.lab.server import Job, Reply, Server

BACKLOG = 256
LATE_ANSWER_S = 0.05  # how late a client still accepts an answer; the protocol's value for real sockets
MAX_HEAD_BYTES = 16 * 1024
Address = tuple[str, int]


class Endpoint:
    """A listening socket that can be closed, reopened, and made to look unreachable."""

    def __init__(self, protocol: Callable[[], asyncio.Protocol], host: str = "127.0.0.1") -> None:
        self._protocol = protocol
        self._loop = asyncio.get_running_loop()
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self.address: Address = (host, 0)

    def open(self) -> Address:
        """Listen and return the address, which is the same as before after a `close`."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(self.address)
        listener.listen(BACKLOG)
        self._listener = listener
        self._loop.add_reader(listener, self._accept)
        self.address = listener.getsockname()[:2]
        return self.address

    def _accept(self) -> None:
        assert self._listener is not None
        with suppress(BlockingIOError, InterruptedError, ConnectionAbortedError):
            while True:
                sock, _ = self._listener.accept()
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                task = self._loop.create_task(self._loop.connect_accepted_socket(self._protocol, sock))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    @property
    def listening(self) -> bool:
        """Whether the socket is open."""
        return self._listener is not None

    def vanish(self) -> None:
        """Leave new connections unestablished: accept none, and fill the backlog."""
        if self._listener is None or self._fillers:
            return
        self._loop.remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(self.address)
            self._fillers.append(filler)

    def restore(self) -> None:
        """Accept connections again after `vanish`."""
        if self._listener is None or not self._fillers:
            return
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(BACKLOG)
        self._loop.add_reader(self._listener, self._accept)

    def close(self) -> None:
        """Close the listening socket; connections that were accepted stay open."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        listener, self._listener = self._listener, None
        if listener is not None:
            self._loop.remove_reader(listener)
            listener.close()


class Connection(asyncio.Protocol):
    """Base of the server-side connections: parses requests and passes them on one after the other."""

    def __init__(self) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self._begin()

    def _begin(self) -> None:
        self.target, self.headers, self.length = b"", dict[bytes, bytes](), 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self._parser = None

    def data_received(self, data: bytes) -> None:
        try:
            if self._parser is not None:
                self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        target, headers = self.target, self.headers
        self._begin()
        self.request(target, headers)

    def request(self, target: bytes, headers: dict[bytes, bytes]) -> None:
        """Handle a complete request."""
        raise NotImplementedError

    def write(self, status: bytes, head: bytes, body: bytes) -> None:
        """Write an answer; `head` holds complete header lines."""
        if self.transport is not None:
            self.transport.write(
                b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, head, len(body), body)
            )

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


STATUS = {"ok": b"200 OK", "error": b"500 Error", "turned away": b"503 Full"}


class ServerConnection(Connection):
    """One proxy's connection to a server."""

    def __init__(self, stand_in: StandIn, proxy: str) -> None:
        super().__init__()
        self._stand_in, self._proxy = stand_in, proxy
        self._incarnation = stand_in.server.incarnation
        self._job: Job | None = None
        self._used = False
        self._idle_since = float("inf")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        server = self._stand_in.server
        server.connections += 1
        server.most_connections = max(server.most_connections, server.connections)
        self._stand_in.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._stand_in.connections.discard(self)
        if self._incarnation == self._stand_in.server.incarnation:
            self._stand_in.server.connections -= 1
        if self._job is not None and not self._job.done:
            self._stand_in.server.cancel(self._job)

    def request(self, target: bytes, headers: dict[bytes, bytes]) -> None:
        stand_in, server = self._stand_in, self._stand_in.server
        if server.drops_idle_connection(server.loop.time() - self._idle_since):
            self.abort()
            return
        path, _, query = target.partition(b"?")
        parameters = dict(part.partition(b"=")[::2] for part in query.split(b"&"))
        try:
            number, work_ms = int(headers[b"x-request-id"]), int(parameters[b"w"]) / 1000
        except (KeyError, ValueError):
            self.write(b"404 Unknown", b"", b"")  # not a client's request; the protocol requires this answer
            return
        name = path.strip(b"/").decode("latin-1")
        key = headers[b"idempotency-key"].decode("latin-1") if b"idempotency-key" in headers else None
        if not self._used:
            self._used = True
            work_ms += server.kind.handshake_ms
        job = Job(number, name, self._proxy, key, work_ms, self._reply)
        if b"obj" in parameters:
            job.object_id, job.draft_saves = (
                f"{name} {parameters[b'obj'].decode('latin-1')}",
                stand_in.draft_saves.get(name, 0.0),
            )
        stand_in.on_arrival(self._proxy, server, job)
        if not server.reachable or not stand_in.net.passes(self._proxy, server.name):
            return  # lost in the network: the proxy gets no signal
        self._job = job
        delay_s = stand_in.net.delay_s(self._proxy, server.name)
        server.loop.call_later(delay_s, self._receive, job)

    def _receive(self, job: Job) -> None:
        if self.transport is not None and self._incarnation == self._stand_in.server.incarnation:
            self._stand_in.server.receive(job)

    def _reply(self, reply: Reply) -> None:
        stand_in, server = self._stand_in, self._stand_in.server
        if reply.how == "turned away" and self._job is not None:
            stand_in.on_rejection(server, self._job)
        if server.reachable and stand_in.net.passes(server.name, self._proxy):
            server.loop.call_later(stand_in.net.delay_s(server.name, self._proxy), self._write_answer, reply)

    def _write_answer(self, reply: Reply) -> None:
        self._job = None
        self._idle_since = self._stand_in.server.loop.time()
        if reply.how == "reset":
            self.abort()
            return
        head = b""
        if reply.report is not None:
            head = b"X-Server-Load: inflight=%d,queue=%d,latency_ms=%.2f\r\n" % reply.report
        if reply.how == "turned away":
            head += b"X-Not-Processed: 1\r\n"
        body = b"by %b" % self._stand_in.server.name.encode() if reply.how == "ok" else b""
        self.write(STATUS[reply.how], head, body)


class StandIn:
    """A record server on loopback: a `Server` with a separate address for each proxy.

    `on_arrival` is called for each request whose last byte has been received, `on_rejection` for each one
    that the server has rejected.
    """

    def __init__(
        self,
        server: Server,
        net: Net,
        proxies: list[str],
        on_arrival: Callable[[str, Server, Job], None] = lambda proxy, server, job: None,
        on_rejection: Callable[[Server, Job], None] = lambda server, job: None,
    ) -> None:
        self.server, self.net = server, net
        self.on_arrival, self.on_rejection = on_arrival, on_rejection
        self.draft_saves: dict[str, float] = {}  # by class: share of the work saved by a draft in memory
        self.connections: set[ServerConnection] = set()
        self._endpoints = {proxy: self._endpoint(proxy) for proxy in proxies}

    def _endpoint(self, proxy: str) -> Endpoint:
        return Endpoint(lambda: ServerConnection(self, proxy))

    def open(self, predecessor: StandIn | None = None) -> None:
        """Listen; if `predecessor` is given, at the addresses that it has left."""
        for proxy, endpoint in self._endpoints.items():
            if predecessor is not None:
                endpoint.address = predecessor._endpoints[proxy].address
            endpoint.open()

    @property
    def listening(self) -> bool:
        """Whether any of its sockets is open."""
        return any(endpoint.listening for endpoint in self._endpoints.values())

    def address(self, proxy: str) -> Address:
        """Return the address for `proxy`."""
        return self._endpoints[proxy].address

    def crash(self) -> None:
        """End as a killed process does: connections are reset, new ones refused."""
        for endpoint in self._endpoints.values():
            endpoint.close()
        self._reset()

    def _reset(self) -> None:
        for connection in list(self.connections):
            connection.abort()

    def vanish(self) -> None:
        """Leave new connections unestablished, as those to an unreachable machine."""
        for endpoint in self._endpoints.values():
            endpoint.vanish()

    def restore(self) -> None:
        """Accept connections again after `vanish`, and reset the old ones."""
        for endpoint in self._endpoints.values():
            endpoint.restore()
        self._reset()

    close = crash


def entry_json(entry: Entry, address: Address, unix_offset_s: float) -> dict[str, Any]:
    """Return discovery's JSON object for one server; `unix_offset_s` converts loop time to Unix time."""
    started_ms = 0 if entry.started_s is None else round((entry.started_s + unix_offset_s) * 1000)
    return {
        "id": entry.name, "addr": f"{address[0]}:{address[1]}", "zone": entry.hall, "cell": entry.rack,
        "state": entry.state, "weight": 1.0, "started_ms": started_ms,
    }  # fmt: skip


class DiscoveryConnection(Connection):
    """One proxy's connection to discovery."""

    def __init__(self, discovery: StandInDiscovery, proxy: str) -> None:
        super().__init__()
        self._discovery, self._proxy = discovery, proxy

    def request(self, target: bytes, headers: dict[bytes, bytes]) -> None:
        path, _, query = target.partition(b"?")
        parameters = dict(part.partition(b"=")[::2] for part in query.split(b"&")) if query else {}
        try:
            since = int(parameters[b"from"]) if b"from" in parameters else None
            hold_s = min(60.0, int(parameters.get(b"hold_ms", b"0")) / 1000)
        except ValueError:
            self.write(b"400 Bad", b"", b"")
            return
        if path != b"/v1/servers":
            self.write(b"404 Unknown", b"", b"")
        elif self._discovery.net.passes(self._proxy, "discovery"):
            self._discovery.on_poll(self._proxy)
            self._discovery.registry.call(since, hold_s, self._answer)

    def _answer(self, listing: Listing | None) -> None:
        if not self._discovery.net.passes("discovery", self._proxy):
            return
        if listing is None:
            self.abort()
        elif self.transport is not None:
            self._discovery.on_list_sent(self._proxy, listing)
            body = json.dumps(self._discovery.as_json(listing, self._proxy)).encode()
            self.write(b"200 OK", b"Content-Type: application/json\r\n", body)


class StandInDiscovery:
    """Discovery on loopback: a `Registry` with a separate address for each proxy.

    `on_poll` is called for each call of a proxy, `on_list_sent` for each list sent to one.
    """

    def __init__(
        self,
        registry: Registry,
        net: Net,
        proxies: list[str],
        address: Callable[[str, str], Address],
        unix_offset_s: float,
        on_poll: Callable[[str], None] = lambda proxy: None,
        on_list_sent: Callable[[str, Listing], None] = lambda proxy, listing: None,
    ) -> None:
        self.registry, self.net, self.on_poll, self.on_list_sent = registry, net, on_poll, on_list_sent
        self._address, self._offset_s = address, unix_offset_s
        self._endpoints = {proxy: self._endpoint(proxy) for proxy in proxies}

    def _endpoint(self, proxy: str) -> Endpoint:
        return Endpoint(lambda: DiscoveryConnection(self, proxy))

    def open(self) -> None:
        """Listen."""
        for endpoint in self._endpoints.values():
            endpoint.open()

    def address(self, proxy: str) -> Address:
        """Return the address for `proxy`."""
        return self._endpoints[proxy].address

    def as_json(self, listing: Listing, proxy: str) -> dict[str, Any]:
        """Return the message of a list, with the servers' addresses for `proxy`."""
        servers = [
            entry_json(entry, self._address(entry.name, proxy), self._offset_s) for entry in listing.entries
        ]
        return {"version": listing.version, "full": listing.full, "servers": servers}

    def close(self) -> None:
        """Stop listening."""
        for endpoint in self._endpoints.values():
            endpoint.close()


class ClientConnection(asyncio.Protocol):
    """A client's connection, one attempt at a time; kept minimal, since its cost limits the load."""

    def __init__(self, port: HttpPort) -> None:
        self._port = port
        self.ask: ClientAttempt | None = None
        self.transport: asyncio.Transport | None = None
        self.served = 0  # answers received on it
        self._buffer = b""

    @property
    def unanswered(self) -> bool:
        """Whether no byte of an answer to the last request has been received."""
        return not self._buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._port.lost(self)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                self.close()
            return
        head = self._buffer[:end].lower()
        at = head.find(b"content-length:")
        try:
            length = int(head[at + 15 :].split(b"\r", 1)[0]) if at >= 0 else 0
            status = int(head[9:12])
            at = head.find(b"retry-after:")
            retry_after_s = float(head[at + 12 :].split(b"\r", 1)[0]) if at >= 0 else None
        except ValueError:
            self.close()
            return
        if len(self._buffer) < end + 4 + length:
            return
        self._buffer = b""
        self.served += 1
        self._port.done(self, status, retry_after_s, b"connection: close" not in head)

    def close(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


class HttpPort:
    """One office's persistent connections to one proxy, up to a maximum; an office's `Port`.

    `on_answer` gets each request's outcome, `on_no_answer` each request whose answer did not come in time or
    whose connection broke, and `on_send_delay` by how many seconds each one was sent late.
    """

    def __init__(
        self,
        address: Address,
        max_connections: int,
        on_answer: Callable[[ClientAttempt, ClientOutcome, float | None], None],
        on_sent: Callable[[ClientAttempt], None] = lambda ask: None,
        on_no_answer: Callable[[ClientAttempt], None] = lambda ask: None,
        on_send_delay: Callable[[float], None] = lambda s: None,
        keeps_connection: Callable[[], bool] = lambda: True,
    ) -> None:
        self._address, self._max_connections = address, max_connections
        self._on_answer, self._on_sent, self._on_no_answer, self._on_send_delay = (
            on_answer,
            on_sent,
            on_no_answer,
            on_send_delay,
        )
        self._keeps_connection = keeps_connection
        self._loop = asyncio.get_running_loop()
        self._idle: list[ClientConnection] = []
        self._connections: set[ClientConnection] = set()
        self._opening = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._by_ask: dict[ClientAttempt, ClientConnection] = {}
        self._resent: set[ClientAttempt] = set()
        self.open = True

    def ask(self, ask: ClientAttempt) -> bool:
        """Send a request; return False if no connection is free and no more may be opened."""
        self._on_send_delay(self._loop.time() - ask.intended_s)
        while self._idle:
            connection = self._idle.pop()
            if connection.transport is not None:
                self._write(connection, ask)
                return True
        if not self.open or len(self._connections) + self._opening >= self._max_connections:
            return False
        self._opening += 1
        self._start(ask)
        return True

    def _start(self, ask: ClientAttempt) -> None:
        task = self._loop.create_task(self._connect(ask))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, ask: ClientAttempt) -> None:
        connection = ClientConnection(self)
        try:
            await self._loop.create_connection(lambda: connection, *self._address)
        except OSError:
            self._on_answer(ask, "unsent", None)
            return
        finally:
            self._opening -= 1
        self._connections.add(connection)
        if ask.finished:
            self._idle.append(connection)
        else:
            self._write(connection, ask)

    def _write(self, connection: ClientConnection, ask: ClientAttempt) -> None:
        assert connection.transport is not None
        connection.ask, self._by_ask[ask] = ask, connection
        name = ask.kind.name.encode()
        method = b"GET" if ask.kind.effect == "safe" else b"POST"
        query = b"&obj=%d" % ask.object_number if ask.object_number else b""
        head = b"%b /%b?w=%d%b HTTP/1.1\r\nHost: lab\r\nX-Request-ID: %d\r\nX-Timeout-Ms: %d\r\n" % (
            method, name, ask.work_ms * 1000, query, ask.number, ask.timeout_s * 1000,
        )  # fmt: skip
        if ask.kind.effect == "keyed":
            head += b"Idempotency-Key: k%d\r\n" % ask.number
        if ask.attempt:
            head += b"X-Retried: 1\r\n"
        if method == b"POST":
            head += b"Content-Length: 4\r\n\r\nbody"
        else:
            head += b"\r\n"
        connection.transport.write(head)
        self._on_sent(ask)

    def done(
        self, connection: ClientConnection, status: int, retry_after_s: float | None, keep_alive: bool
    ) -> None:
        """Handle a complete answer."""
        ask, connection.ask = connection.ask, None
        if keep_alive and ask is not None and self._keeps_connection():
            self._idle.append(connection)
        else:
            connection.close()  # not to be reused, or an answer without a request
        if ask is not None:
            self._by_ask.pop(ask, None)
            got: ClientOutcome = (
                "served" if status == 200 else "refused" if status in (429, 503) else "failed"
            )
            self._on_answer(ask, got, retry_after_s)

    def lost(self, connection: ClientConnection) -> None:
        """Handle the end of a connection; a request may be sent once more if it was reused."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        ask, connection.ask = connection.ask, None
        if ask is None:
            return
        self._by_ask.pop(ask, None)
        if (
            connection.served
            and connection.unanswered
            and self.open
            and ask not in self._resent
            and not ask.finished
        ):
            # The server closed the reused connection while the request was in transit: resent once, as the
            # protocol allows.
            self._resent.add(ask)
            self._opening += 1
            self._start(ask)
            return
        self._on_no_answer(ask)
        self._on_answer(ask, "failed", None)

    def left(self, ask: ClientAttempt) -> None:
        """Handle a client that gives up; after its full timeout the connection stays open briefly."""
        connection = self._by_ask.get(ask)
        if connection is None:
            return
        if ask.abandons_after_s < ask.timeout_s:
            self._abandon(connection, ask)
        else:
            self._loop.call_later(LATE_ANSWER_S, self._stop_listening, connection, ask)

    def _stop_listening(self, connection: ClientConnection, ask: ClientAttempt) -> None:
        if connection.ask is ask:
            self._on_no_answer(ask)
            self._abandon(connection, ask)

    def _abandon(self, connection: ClientConnection, ask: ClientAttempt) -> None:
        connection.ask = None
        self._by_ask.pop(ask, None)
        connection.close()

    def close(self) -> None:
        """Close all connections and drop the requests in flight."""
        self.open = False
        for connection in list(self._connections):
            connection.ask = None
            connection.close()
        for task in list(self._tasks):
            task.cancel()
