"""The lab's ends of HTTP/1.1 on loopback: servers and discovery by the lab's rules, and clients that ask.

Shells only: what a server, discovery or an office does stands in their rules. A peer that sends what can't be
read loses its connection, and nothing else happens.
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
from cloverrouter.lab.office import Ask, Got
from cloverrouter.lab.registry import Entry, Listing, Registry
from cloverrouter.lab.server import Job, Reply, Server

BACKLOG = 256
LATE_S = 0.05  # after its time, for which a client still listens: the protocol's figure for real sockets
MOST_HEAD = 16 * 1024
Address = tuple[str, int]


class Endpoint:
    """A listening socket that can be closed, opened again, and made to look like a vanished machine's."""

    def __init__(self, protocol: Callable[[], asyncio.Protocol], host: str = "127.0.0.1") -> None:
        self._protocol = protocol
        self._loop = asyncio.get_running_loop()
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self.address: Address = (host, 0)

    def open(self) -> Address:
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
        return self._listener is not None

    def vanish(self) -> None:
        """New connections never come up: nobody accepts, and the backlog is full."""
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

    def back(self) -> None:
        if self._listener is None or not self._fillers:
            return
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(BACKLOG)
        self._loop.add_reader(self._listener, self._accept)

    def close(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        listener, self._listener = self._listener, None
        if listener is not None:
            self._loop.remove_reader(listener)
            listener.close()


class Connection(asyncio.Protocol):
    """What the two servers below share: whole requests, one after the other."""

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
        raise NotImplementedError

    def write(self, status: bytes, head: bytes, body: bytes) -> None:
        if self.transport is not None:
            self.transport.write(
                b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, head, len(body), body)
            )

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


STATUS = {"ok": b"200 OK", "error": b"500 Error", "turned away": b"503 Full"}


class ServerConnection(Connection):
    """One proxy's connection to a server."""

    def __init__(self, stand_in: StandIn, proxy: str) -> None:
        super().__init__()
        self._stand_in, self._proxy = stand_in, proxy
        self._number = stand_in.server.number
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
        if self._number == self._stand_in.server.number:
            self._stand_in.server.connections -= 1
        if self._job is not None and not self._job.done:
            self._stand_in.server.called_off(self._job)

    def request(self, target: bytes, headers: dict[bytes, bytes]) -> None:
        stand_in, server = self._stand_in, self._stand_in.server
        if server.forgets(server.loop.time() - self._idle_since):
            self.abort()
            return
        path, _, query = target.partition(b"?")
        told = dict(part.partition(b"=")[::2] for part in query.split(b"&"))
        try:
            number, work_ms = int(headers[b"x-request-id"]), int(told[b"w"]) / 1000
        except (KeyError, ValueError):
            self.write(b"404 Unknown", b"", b"")  # nobody's request: as the protocol has it
            return
        name = path.strip(b"/").decode("latin-1")
        key = headers[b"idempotency-key"].decode("latin-1") if b"idempotency-key" in headers else None
        if not self._used:
            self._used = True
            work_ms += server.kind.handshake_ms
        job = Job(number, name, self._proxy, key, work_ms, self._reply)
        if b"obj" in told:
            job.about, job.saves = f"{name} {told[b'obj'].decode('latin-1')}", stand_in.saves.get(name, 0.0)
        stand_in.arrived(self._proxy, server, job)
        if not server.reachable or not stand_in.net.passes(self._proxy, server.name):
            return  # into the void: nothing tells
        self._job = job
        delay_s = stand_in.net.delay_s(self._proxy, server.name)
        server.loop.call_later(delay_s, self._receive, job)

    def _receive(self, job: Job) -> None:
        if self.transport is not None and self._number == self._stand_in.server.number:
            self._stand_in.server.receive(job)

    def _reply(self, reply: Reply) -> None:
        stand_in, server = self._stand_in, self._stand_in.server
        if reply.how == "turned away" and self._job is not None:
            stand_in.turned_away(server, self._job)
        if server.reachable and stand_in.net.passes(server.name, self._proxy):
            server.loop.call_later(stand_in.net.delay_s(server.name, self._proxy), self._answer, reply)

    def _answer(self, reply: Reply) -> None:
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
    """A record server on loopback: a `Server`'s rules, at an address of its own for each proxy.

    `arrived` is told of each request whose last byte has come, `turned_away` of each that was told so.
    """

    def __init__(
        self,
        server: Server,
        net: Net,
        proxies: list[str],
        arrived: Callable[[str, Server, Job], None] = lambda proxy, server, job: None,
        turned_away: Callable[[Server, Job], None] = lambda server, job: None,
    ) -> None:
        self.server, self.net = server, net
        self.arrived, self.turned_away = arrived, turned_away
        self.saves: dict[str, float] = {}  # by class: share of the work that a draft in memory saves
        self.connections: set[ServerConnection] = set()
        self._endpoints = {proxy: self._endpoint(proxy) for proxy in proxies}

    def _endpoint(self, proxy: str) -> Endpoint:
        return Endpoint(lambda: ServerConnection(self, proxy))

    def open(self, like: StandIn | None = None) -> None:
        """Listen; at another's addresses, where it has left them."""
        for proxy, endpoint in self._endpoints.items():
            if like is not None:
                endpoint.address = like._endpoints[proxy].address
            endpoint.open()

    @property
    def listening(self) -> bool:
        return any(endpoint.listening for endpoint in self._endpoints.values())

    def address(self, proxy: str) -> Address:
        return self._endpoints[proxy].address

    def died(self) -> None:
        """The process is gone: connections are reset, new ones refused."""
        for endpoint in self._endpoints.values():
            endpoint.close()
        self._reset()

    def _reset(self) -> None:
        for connection in list(self.connections):
            connection.abort()

    def vanish(self) -> None:
        for endpoint in self._endpoints.values():
            endpoint.vanish()

    def back(self) -> None:
        for endpoint in self._endpoints.values():
            endpoint.back()
        self._reset()

    close = died


def entry_json(entry: Entry, address: Address, unix_offset_s: float) -> dict[str, Any]:
    started_ms = 0 if entry.started_s is None else round((entry.started_s + unix_offset_s) * 1000)
    return {
        "id": entry.name, "addr": f"{address[0]}:{address[1]}", "zone": entry.hall, "cell": entry.rack,
        "state": entry.state, "weight": 1.0, "started_ms": started_ms,
    }  # fmt: skip


class DiscoveryConnection(Connection):
    def __init__(self, discovery: StandInDiscovery, proxy: str) -> None:
        super().__init__()
        self._discovery, self._proxy = discovery, proxy

    def request(self, target: bytes, headers: dict[bytes, bytes]) -> None:
        path, _, query = target.partition(b"?")
        told = dict(part.partition(b"=")[::2] for part in query.split(b"&")) if query else {}
        try:
            since = int(told[b"from"]) if b"from" in told else None
            hold_s = min(60.0, int(told.get(b"hold_ms", b"0")) / 1000)
        except ValueError:
            self.write(b"400 Bad", b"", b"")
            return
        if path != b"/v1/servers":
            self.write(b"404 Unknown", b"", b"")
        elif self._discovery.net.passes(self._proxy, "discovery"):
            self._discovery.asked(self._proxy)
            self._discovery.registry.call(since, hold_s, self._answer)

    def _answer(self, listing: Listing | None) -> None:
        if not self._discovery.net.passes("discovery", self._proxy):
            return
        if listing is None:
            self.abort()
        elif self.transport is not None:
            self._discovery.told(self._proxy, listing)
            body = json.dumps(self._discovery.as_json(listing, self._proxy)).encode()
            self.write(b"200 OK", b"Content-Type: application/json\r\n", body)


class StandInDiscovery:
    """Discovery on loopback: a `Registry`'s rules, at an address of its own for each proxy."""

    def __init__(
        self,
        registry: Registry,
        net: Net,
        proxies: list[str],
        address: Callable[[str, str], Address],
        unix_offset_s: float,
        asked: Callable[[str], None] = lambda proxy: None,
        told: Callable[[str, Listing], None] = lambda proxy, listing: None,
    ) -> None:
        self.registry, self.net, self.asked, self.told = registry, net, asked, told
        self._address, self._offset_s = address, unix_offset_s
        self._endpoints = {proxy: self._endpoint(proxy) for proxy in proxies}

    def _endpoint(self, proxy: str) -> Endpoint:
        return Endpoint(lambda: DiscoveryConnection(self, proxy))

    def open(self) -> None:
        for endpoint in self._endpoints.values():
            endpoint.open()

    def address(self, proxy: str) -> Address:
        return self._endpoints[proxy].address

    def as_json(self, listing: Listing, proxy: str) -> dict[str, Any]:
        servers = [
            entry_json(entry, self._address(entry.name, proxy), self._offset_s) for entry in listing.entries
        ]
        return {"version": listing.version, "full": listing.full, "servers": servers}

    def close(self) -> None:
        for endpoint in self._endpoints.values():
            endpoint.close()


class ClientConnection(asyncio.Protocol):
    """A client's connection: one try at a time, as bare as it can be, since it bounds the load."""

    def __init__(self, port: HttpPort) -> None:
        self._port = port
        self.ask: Ask | None = None
        self.transport: asyncio.Transport | None = None
        self.served = 0  # answers that came on it
        self._text = b""

    @property
    def silent(self) -> bool:
        """Has nothing come for what was asked last?"""
        return not self._text

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._port.lost(self)

    def data_received(self, data: bytes) -> None:
        self._text += data
        end = self._text.find(b"\r\n\r\n")
        if end < 0:
            if len(self._text) > MOST_HEAD:
                self.end()
            return
        head = self._text[:end].lower()
        at = head.find(b"content-length:")
        try:
            length = int(head[at + 15 :].split(b"\r", 1)[0]) if at >= 0 else 0
            status = int(head[9:12])
            at = head.find(b"retry-after:")
            after_s = float(head[at + 12 :].split(b"\r", 1)[0]) if at >= 0 else None
        except ValueError:
            self.end()
            return
        if len(self._text) < end + 4 + length:
            return
        self._text = b""
        self.served += 1
        self._port.done(self, status, after_s, b"connection: close" not in head)

    def end(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class HttpPort:
    """One office's way to one proxy: connections that are kept, up to a bound."""

    def __init__(
        self,
        address: Address,
        most: int,
        answered: Callable[[Ask, Got, float | None], None],
        sent: Callable[[Ask], None] = lambda ask: None,
        lost_answer: Callable[[Ask], None] = lambda ask: None,
        late: Callable[[float], None] = lambda s: None,
        keeps: Callable[[], bool] = lambda: True,
    ) -> None:
        self._address, self._most = address, most
        self._answered, self._sent, self._lost, self._late = answered, sent, lost_answer, late
        self._keeps = keeps
        self._loop = asyncio.get_running_loop()
        self._idle: list[ClientConnection] = []
        self._all: set[ClientConnection] = set()
        self._opening = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._by_ask: dict[Ask, ClientConnection] = {}
        self._resent: set[Ask] = set()
        self.open = True

    def ask(self, ask: Ask) -> bool:
        self._late(self._loop.time() - ask.meant_s)
        while self._idle:
            connection = self._idle.pop()
            if connection.transport is not None:
                self._write(connection, ask)
                return True
        if not self.open or len(self._all) + self._opening >= self._most:
            return False
        self._opening += 1
        self._start(ask)
        return True

    def _start(self, ask: Ask) -> None:
        task = self._loop.create_task(self._connect(ask))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, ask: Ask) -> None:
        connection = ClientConnection(self)
        try:
            await self._loop.create_connection(lambda: connection, *self._address)
        except OSError:
            self._answered(ask, "unsent", None)
            return
        finally:
            self._opening -= 1
        self._all.add(connection)
        if ask.over:
            self._idle.append(connection)
        else:
            self._write(connection, ask)

    def _write(self, connection: ClientConnection, ask: Ask) -> None:
        assert connection.transport is not None
        connection.ask, self._by_ask[ask] = ask, connection
        name = ask.kind.name.encode()
        line = b"GET" if ask.kind.effect == "safe" else b"POST"
        about = b"&obj=%d" % ask.about if ask.about else b""
        head = b"%b /%b?w=%d%b HTTP/1.1\r\nHost: lab\r\nX-Request-ID: %d\r\nX-Timeout-Ms: %d\r\n" % (
            line, name, ask.work_ms * 1000, about, ask.number, ask.patience_s * 1000,
        )  # fmt: skip
        if ask.kind.effect == "keyed":
            head += b"Idempotency-Key: k%d\r\n" % ask.number
        if ask.attempt:
            head += b"X-Retried: 1\r\n"
        if line == b"POST":
            head += b"Content-Length: 4\r\n\r\nbody"
        else:
            head += b"\r\n"
        connection.transport.write(head)
        self._sent(ask)

    def done(self, connection: ClientConnection, status: int, after_s: float | None, keep: bool) -> None:
        ask, connection.ask = connection.ask, None
        if keep and ask is not None and self._keeps():
            self._idle.append(connection)
        else:
            connection.end()  # it ends, or an answer came that nobody asked for
        if ask is not None:
            self._by_ask.pop(ask, None)
            got: Got = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
            self._answered(ask, got, after_s)

    def lost(self, connection: ClientConnection) -> None:
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        ask, connection.ask = connection.ask, None
        if ask is None:
            return
        self._by_ask.pop(ask, None)
        if connection.served and connection.silent and self.open and ask not in self._resent and not ask.over:
            # A kept connection's end has crossed the request: as the protocol has it, it is sent once more.
            self._resent.add(ask)
            self._opening += 1
            self._start(ask)
            return
        self._lost(ask)
        self._answered(ask, "failed", None)

    def left(self, ask: Ask) -> None:
        """The client waits no longer. Where its whole time is over, its end still listens for a moment."""
        connection = self._by_ask.get(ask)
        if connection is None:
            return
        if ask.leaves_s < ask.patience_s:
            self._leave(connection, ask)
        else:
            self._loop.call_later(LATE_S, self._too_late, connection, ask)

    def _too_late(self, connection: ClientConnection, ask: Ask) -> None:
        if connection.ask is ask:
            self._lost(ask)
            self._leave(connection, ask)

    def _leave(self, connection: ClientConnection, ask: Ask) -> None:
        connection.ask = None
        self._by_ask.pop(ask, None)
        connection.end()

    def close(self) -> None:
        self.open = False
        for connection in list(self._all):
            connection.ask = None
            connection.end()
        for task in list(self._tasks):
            task.cancel()
