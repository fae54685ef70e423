"""HTTP/3 on a UDP socket: datagrams to calls, and a final answer to each. Carries out, decides nothing.

What is valid is `proxy.validity`'s, what a stream's life is `http3.streams`', who may begin `http3.doors`'.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections import Counter
from collections.abc import Callable
from functools import partial

from aioquic._buffer import Buffer
from aioquic.h3 import events as h3
from aioquic.h3.connection import ErrorCode
from aioquic.quic import events as quic
from aioquic.quic.packet import (
    QuicHeader,
    QuicPacketType,
    encode_quic_retry,
    encode_quic_version_negotiation,
    pull_quic_header,
)

from cloverrouter.http3.doors import ID_BYTES, Doors, Word
from cloverrouter.http3.fields import answer_fields, request_of
from cloverrouter.http3.link import Link
from cloverrouter.http3.streams import STEP, Stream, Streams
from cloverrouter.http3.wire import Http3, NetworkAddress, Quic, server_settings, stateless_reset
from cloverrouter.membership.standing import Gap
from cloverrouter.proxy.config import Address
from cloverrouter.proxy.containment import Periodic, contained_errors_of
from cloverrouter.proxy.keeping import Keeping
from cloverrouter.proxy.messages import Answer, AnswerSink
from cloverrouter.proxy.observer import Observer
from cloverrouter.proxy.validity import HEALTH, Gate, Head, ParsedCall
from cloverrouter.proxy.wake import wake_of

LEAST_INITIAL = 1200  # bytes of a datagram with a client's first packet (RFC 9000, 14.1)
LEAST_RESET = 43  # bytes of a packet that a stateless reset answers to
SWEEP_S = 0.2
CROWDED_IDLE_S = 2.3  # where connections are short, as on HTTP/1.1
ALIVE_S = 3.0  # a client that is owed something and silent for so long is asked whether it is there
MOST_UNREAD = 256 * 1024  # of answers, beyond which no further request is handed over
PASSING_BYTES = 32 * 1024  # of a long answer may wait for its client before the host is to wait, too
# For answers of which the client reads nothing. Longer than on HTTP/1.1: after a move on a network that loses
# packets, what is sent again comes at growing intervals.
UNREAD_S = 10.0
RETRY_AFTER = b"1.000"
RECEIVE_BYTES = 1 << 20  # that may wait in the socket
READ_AT_ONCE = 8  # datagrams, then the others have their turn
# Past this much of waiting in the socket, what lies there is read on for so long, whoever has to wait.
BEHIND_S, CATCH_UP_S = 0.02, 0.05
MOST_DATAGRAM = 65_535
LAST_BYTES_S = 0.5
MOST_RESETS = 50  # stateless resets in a second; each tells an unknown peer that we are here


class Http3Call(ParsedCall):
    __slots__ = ("_connection", "stream_id")

    def __init__(
        self, connection: Connection, stream_id: int, method: bytes, target: bytes, head: Head, body: bytes
    ) -> None:
        super().__init__(method, target, head, body)
        self._connection, self.stream_id = connection, stream_id

    def reply(self, status: int, body: bytes, content_type: bytes = b"", retry_after: bytes = b"") -> None:
        self._connection.answer(self.stream_id, status, body, content_type, retry_after)

    def begin(self, answer: Answer) -> AnswerSink | None:
        return self._connection.begin(self.stream_id, answer)


class Connection(Link):
    """One QUIC connection of a client, with many requests at once."""

    def __init__(self, front: Front, transport: Quic, address: NetworkAddress) -> None:
        super().__init__(front.loop, transport, address[0], front.count)
        self._front, self._gate, self.quic = front, front.gate, transport
        self.streams = Streams(front.keeping)
        self.ids: set[bytes] = set()  # connection ids by which its packets find it
        self.proven = False  # its handshake is over: its address is known to be its own
        self.since_s = self.heard_s
        self._http: Http3 | None = None
        self._calls: dict[int, Http3Call] = {}  # taken and not answered
        self._passing: dict[int, Passing] = {}
        self._written = self._read = self._seen = 0  # bytes of answers, and as many as had been read at last

    # A `Link`

    def _send(self, data: bytes, address: NetworkAddress) -> None:
        self._front.send(data, address)

    def _flushed(self) -> None:
        for passing in list(self._passing.values()):
            passing.look()

    def _settled(self) -> None:
        self._hand_over()

    def _happened(self, event: quic.QuicEvent) -> None:
        if isinstance(event, quic.ConnectionIdIssued):
            self._front.named(event.connection_id, self)
        elif isinstance(event, quic.ConnectionIdRetired):
            self._front.unnamed(event.connection_id)
        elif isinstance(event, quic.ConnectionTerminated):
            self._end()
        elif isinstance(event, quic.HandshakeCompleted):
            self.proven = True
            self._http = Http3(self.quic)
            if self._gate.stopping:
                self.leave(final=False)
        elif self._http is not None:
            http = self._http
            self._note(event)
            for told in self._guarded(lambda: http.handle_event(event)) or ():
                self._said(told)

    def _note(self, event: quic.QuicEvent) -> None:
        """What the transport tells of a request's stream."""
        if isinstance(event, quic.StreamReset | quic.StopSendingReceived):
            if event.stream_id % STEP == 0:
                self._withdraw(event.stream_id)
            return
        if not isinstance(event, quic.StreamDataReceived) or event.stream_id % STEP:
            return
        # Danger: a head that never ends is held by the library, which sets no time for it.
        if not self.streams.seen(event.stream_id):
            self.streams.opened(event.stream_id, self.heard_s)

    # HTTP/3's events

    def _said(self, told: h3.H3Event) -> None:
        now_s = self._front.loop.time()
        if isinstance(told, h3.HeadersReceived):
            stream = self.streams.coming.get(told.stream_id)
            if stream is None:
                if not self.streams.seen(told.stream_id):
                    # Above what GOAWAY said: it never ran, and may be sent elsewhere.
                    self._stop(told.stream_id, ErrorCode.H3_REQUEST_REJECTED)
                return
            if stream.request is None:
                request = request_of(told.headers)
                if isinstance(request, int):
                    self._turn_back(stream.id, request, ended=told.stream_ended)
                    return
                stream.request = request
            # Fields behind the body (trailers) change nothing of what the head has said.
            if told.stream_ended:
                self._whole(stream)
        elif isinstance(told, h3.DataReceived):
            stream = self.streams.coming.get(told.stream_id)
            if stream is None:
                return  # turned back already: the rest is dropped
            if fault := self.streams.more(stream, told.data, now_s):
                self._turn_back(stream.id, fault, ended=told.stream_ended)
            elif told.stream_ended:
                self._whole(stream)

    def _whole(self, stream: Stream) -> None:
        """Its end has been read."""
        request = stream.request
        assert request is not None
        call = Http3Call(self, stream.id, request.method, request.target, request.head, bytes(stream.body))
        if call.target == HEALTH:
            fault = 0 if call.method == b"GET" else 405
        else:
            fault = self._gate.check(call, request.head)
        if fault:
            self._turn_back(stream.id, fault, ended=True)
            return
        # Datagrams tell no age: all that is known is since when it may have lain here.
        now_s = self._front.loop.time()
        wake = wake_of(self._front.loop)
        since_s = wake.since_s(now_s)
        if since_s is not None:
            call.came(wake.came(now_s, since_s, None, False))
        self.streams.taken(stream)
        self._calls[stream.id] = call
        self._gate.waiting_ids.add(call.request_id)

    def _hand_over(self) -> None:
        while not self.over and not self._choked and (number := self.streams.next()) is not None:
            call = self._calls[number]
            self._gate.waiting_ids.discard(call.request_id)
            if call.target == HEALTH:
                self.answer(number, 200 if self._gate.handler.ready() else 503, b"")
            elif not self._gate.still_valid(call):
                call.refused(0.0)
            else:
                self._gate.handler.arrived(call)

    @property
    def _choked(self) -> bool:
        """Does the client leave its answers unread? Counted only when that could be."""
        if self._written - self._read < MOST_UNREAD:
            return False
        self._read = self._written - self.unread
        return self._written - self._read >= MOST_UNREAD

    def _turn_back(self, stream_id: int, status: int, ended: bool) -> None:
        """An error; nothing of the request went anywhere."""
        self._front.turned_away(status)
        self._write(stream_id, status, b"", b"", RETRY_AFTER if status == 503 else b"")
        if not ended:
            # The rest is not wanted, and the answer is complete without it (RFC 9114, 4.1).
            self._guarded(lambda: self.quic.stop_stream(stream_id, ErrorCode.H3_NO_ERROR))
        self.streams.over(stream_id)

    def _withdraw(self, stream_id: int) -> None:
        """Its client has taken it back."""
        self.streams.over(stream_id)
        passing = self._passing.pop(stream_id, None)
        call = passing.call if passing is not None else self._calls.pop(stream_id, None)
        if call is not None:
            self._front.count["withdrawn"] += 1
            self._forget(call)
        if not self.over and self.quic.writable(stream_id):
            self._guarded(lambda: self.quic.reset_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED))

    def _forget(self, call: Http3Call) -> None:
        if call.request_id in self._gate.waiting_ids:
            self._gate.waiting_ids.discard(call.request_id)  # the handler has not heard of it
        else:
            self._gate.handler.gone(call)

    def _stop(self, stream_id: int, code: int) -> None:
        self._guarded(lambda: self.quic.stop_stream(stream_id, code))
        if not self.over:
            self._guarded(lambda: self.quic.reset_stream(stream_id, code))

    # Answers

    def answer(
        self, stream_id: int, status: int, body: bytes, content_type: bytes = b"", retry_after: bytes = b""
    ) -> None:
        if self._calls.pop(stream_id, None) is None or self.over:
            return  # the client has gone
        self._write(stream_id, status, body, content_type, retry_after)
        self._answered(stream_id)

    def _answered(self, stream_id: int) -> None:
        self.streams.over(stream_id)
        if self._gate.refusing and not self.streams.leaving:
            self.leave(final=True)  # clients are to move to the box that takes
        self.flush_soon()
        self._front.loop.call_soon(self._hand_over)

    def _write(self, stream_id: int, status: int, body: bytes, kind: bytes, retry_after: bytes) -> None:
        http = self._http
        if self.over or http is None or not self.quic.writable(stream_id):
            return
        fields = answer_fields(status, len(body), kind, retry_after)
        self._guarded(lambda: http.send_headers(stream_id, fields, not body))
        if body and not self.over:
            self._guarded(lambda: http.send_data(stream_id, body, True))
        self._written += len(body)

    def begin(self, stream_id: int, answer: Answer) -> AnswerSink | None:
        """A long answer, passed on as it comes."""
        http, call = self._http, self._calls.pop(stream_id, None)
        if self.over or http is None or call is None:
            return None
        passing = self._passing[stream_id] = Passing(self, stream_id, call)
        fields = answer_fields(200, answer.length, answer.content_type)
        self._guarded(lambda: http.send_headers(stream_id, fields))
        return passing

    def pass_on(self, stream_id: int, data: bytes) -> bool:
        http = self._http
        if self.over or http is None or stream_id not in self._passing:
            return False
        self._guarded(lambda: http.send_data(stream_id, data, False))
        self._written += len(data)
        self.flush_soon()
        return not self.over and self.waiting(stream_id) < PASSING_BYTES

    def passed(self, stream_id: int, whole: bool) -> None:
        http = self._http
        if self._passing.pop(stream_id, None) is None or self.over or http is None:
            return
        if whole:
            self._guarded(lambda: http.send_data(stream_id, b"", True))
        else:
            # Danger: a client must be able to tell that this was not all.
            self._guarded(lambda: self.quic.reset_stream(stream_id, ErrorCode.H3_INTERNAL_ERROR))
        self._answered(stream_id)

    def waiting(self, stream_id: int) -> int:
        """Bytes of a stream that its client has not read."""
        return self.quic.waiting(stream_id)

    @property
    def unread(self) -> int:
        return self.quic.unread

    # Its end

    def leave(self, final: bool) -> None:
        """Say that the proxy is about to go (RFC 9114, 5.2): what comes from now on is served, or with
        `final` turned away."""
        http = self._http
        if http is None or self.over:
            return
        bound = self.streams.leave() if final else self.streams.announce()
        self._guarded(lambda: http.go_away(bound))
        self.flush_soon()

    def close(self, code: int = ErrorCode.H3_NO_ERROR, reason: str = "") -> None:
        if not self.over:
            self._guarded(lambda: self.quic.close(error_code=code, reason_phrase=reason))
            self.flush()
            self._end()

    def _end(self) -> None:
        """The connection is gone: nothing is owed to this client any more."""
        if self.over:
            return
        if self._calls or self._passing or (self.proven and self.unread):
            self._front.count["undelivered"] += 1
        self.over = True
        self._stop_timer()
        self._front.remove(self)
        self.streams.ended()
        calls, self._calls = self._calls, {}
        passing, self._passing = self._passing, {}
        for call in calls.values():
            self._forget(call)
        for sink in passing.values():
            self._gate.handler.gone(sink.call)

    def check(self, now_s: float, crowded: bool, handshake_s: float) -> None:
        """Danger: whoever never ends a handshake, a request, or reads no answer holds memory for good."""
        if not self.proven:
            if now_s - self.since_s > handshake_s:
                self.close(reason="handshake took too long")
            return
        for stream in self.streams.late(now_s):
            self._turn_back(stream.id, 408, ended=False)
            self.flush_soon()
        unread = self.unread
        if not unread or self._written - unread > self._seen:
            self._seen, self.since_s = self._written - unread, now_s
        elif now_s - self.since_s > UNREAD_S:
            self.close(ErrorCode.H3_EXCESSIVE_LOAD, "answers are not read")
            return
        silent_s = now_s - self.heard_s
        if (self.streams.owed or self._passing) and silent_s > ALIVE_S:
            # Danger: a path that is lost is as silent as a client that waits.
            self._guarded(lambda: self.quic.send_ping(1))
            self.flush_soon()
        elif self.idle and (self.streams.leaving or (crowded and silent_s > CROWDED_IDLE_S)):
            self.close()

    @property
    def idle(self) -> bool:
        return not (self.streams.busy or self._calls or self._passing or (self.proven and self.unread))


class Passing:
    """A long answer on its way to a client: an `AnswerSink`."""

    def __init__(self, connection: Connection, stream_id: int, call: Http3Call) -> None:
        self._connection, self._stream_id = connection, stream_id
        self.call = call
        self.on_ready: Callable[[], None] | None = None
        self._full = False

    def write(self, data: bytes) -> bool:
        self._full = not self._connection.pass_on(self._stream_id, data)
        return not self._full

    def look(self) -> None:
        if self._full and self._connection.waiting(self._stream_id) < PASSING_BYTES:
            self._full = False
            if self.on_ready is not None:
                self.on_ready()

    def finish(self) -> None:
        self._connection.passed(self._stream_id, True)

    def cut(self) -> None:
        self._connection.passed(self._stream_id, False)


class Front:
    """The socket and the connections that came by it. `files`: certificate and key, in PEM form."""

    def __init__(self, gate: Gate, keeping: Keeping, files: tuple[str, str], most: int) -> None:
        """Raises OSError or ValueError if the files can't be used."""
        self.gate, self.keeping = gate, keeping
        self.loop = asyncio.get_running_loop()
        self._files = files
        self._settings, secret = server_settings(*files)
        self.doors = Doors(most, secret)
        self.count: Counter[str] = Counter()
        self.observer: Observer | None = None
        self._named: dict[bytes, Connection] = {}
        self._connections: set[Connection] = set()
        self._sock: socket.socket | None = None
        self._sweeping: Periodic | None = None
        self._resets = 0
        self._full = False  # nobody may begin any more
        self._wake = wake_of(self.loop)
        self._errors = contained_errors_of(self.loop)
        self._behind_s: float | None = None  # since when something is left in the socket after each read

    def listen(self, address: Address) -> Address:
        """Raises OSError."""
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        self._sock = sock
        self.loop.add_reader(sock, self._read)
        # Danger: a client's word that it has gone may be among what came in a gap; timers that are due, and
        # answers that lie on other sockets, would begin its attempts before it is read.
        self._wake.on_gap.insert(0, self._stood)
        self._sweeping = Periodic(self.loop, self._errors, "http3_sweep", SWEEP_S, self._sweep)
        host, port = sock.getsockname()[:2]
        return host, port

    def recertify(self) -> None:
        """Read certificate and key again, for connections from now on; those that are open keep theirs.

        Raises OSError or ValueError if they can't be used; the old ones stay in force.
        """
        self._settings, _ = server_settings(*self._files)

    def _stood(self, gap: Gap) -> None:
        self._behind_s = gap.from_s
        self._read()

    def _read(self) -> None:
        """Some of what has come: those on HTTP/1.1 are to have their turn; more of it where it has waited."""
        touched: dict[Connection, None] = {}
        now_s, count = self.loop.time(), 0
        until_s = now_s
        if self._behind_s is not None and now_s - self._behind_s > BEHIND_S:
            until_s = now_s + CATCH_UP_S
        while self._sock is not None:
            if count >= READ_AT_ONCE and self.loop.time() >= until_s:
                self._behind_s = now_s if self._behind_s is None else self._behind_s
                break
            count += 1
            try:
                data, address = self._sock.recvfrom(MOST_DATAGRAM)
            except (BlockingIOError, InterruptedError):
                self._behind_s = None
                break
            except OSError:  # an earlier client is not there any more: its connection ends by its silence
                continue
            connection = self._take(data, address)
            if connection is not None:
                touched[connection] = None
        for connection in touched:
            self._contain(connection, "http3_settle", connection.settle)

    def _contain(self, connection: Connection, place: str, step: Callable[[], object]) -> None:
        """Take one connection's step in the name of all: an error of its own ends it, and nothing else."""
        if not self._errors.run(place, step):
            self._errors.run(place, connection.close)

    def send(self, data: bytes, address: NetworkAddress) -> None:
        if self._sock is None:
            return
        try:
            self._sock.sendto(data, address)
        except OSError:  # no room, or nobody there: a packet that is lost is sent again
            self.count["unsent"] += 1

    def datagram_received(self, data: bytes, address: NetworkAddress) -> None:
        """One datagram alone."""
        connection = self._take(data, address)
        if connection is not None:
            connection.settle()

    def _take(self, data: bytes, address: NetworkAddress) -> Connection | None:
        """The connection that it belongs to, which is to be settled; None if there is none."""
        try:
            header = pull_quic_header(Buffer(data=data), host_cid_length=ID_BYTES)
        except (ValueError, IndexError):
            self.count["noise"] += 1
            return None
        connection = self._named.get(header.destination_cid)
        if connection is not None:
            connection.receive(data, address)
        elif header.version is None:
            self._reset(header.destination_cid, len(data), address)
        elif len(data) < LEAST_INITIAL:
            self.count["noise"] += 1  # danger: a small packet with a forged address draws a larger answer
        elif header.version not in self._settings.supported_versions:
            versions = list(self._settings.supported_versions)
            self.count["versions"] += 1
            if header.version:  # danger: two servers would answer each other's answers for ever
                told = encode_quic_version_negotiation(header.destination_cid, header.source_cid, versions)
                self.send(told, address)
        elif header.packet_type == QuicPacketType.INITIAL:
            return self._first(data, address, header)
        return connection

    def _first(self, data: bytes, address: NetworkAddress, header: QuicHeader) -> Connection | None:
        """The first packet of a connection; the connection, if it begins."""
        version, asked, token = header.version or 0, header.destination_cid, header.token
        now_s, place = self.loop.time(), (address[0], address[1])
        original = self.doors.read(place, token, asked, now_s) if token else None
        count = len(self._connections)
        if count >= self.doors.most and original is not None and self._make_room():
            count -= 1
        word = Word.DROP if self._full else self.doors.word(count, self._unproven, original is not None)
        self.count[word.value] += 1
        if word is Word.PROVE:
            chosen = os.urandom(ID_BYTES)
            proof = self.doors.token(place, asked, chosen, now_s)
            self.send(encode_quic_retry(version, chosen, header.source_cid, asked, proof), address)
        elif word is Word.BEGIN:
            transport = Quic(
                self._settings,
                asked if original is None else original,
                None if original is None else asked,
                self.doors.reset_token,
            )
            connection = Connection(self, transport, address)
            self._connections.add(connection)
            self.named(asked, connection)
            self.named(transport.host_cid, connection)
            connection.receive(data, address)
            return connection
        return None

    def _reset(self, connection_id: bytes, size: int, address: NetworkAddress) -> None:
        """A packet of a connection that this process does not know, from before a restart perhaps."""
        if size < LEAST_RESET or self._resets >= MOST_RESETS * SWEEP_S:
            return
        self._resets += 1
        self.count["resets"] += 1
        self.send(stateless_reset(self.doors.reset_token(connection_id), size), address)

    @property
    def _unproven(self) -> int:
        """Handshakes under way."""
        return sum(not connection.proven for connection in self._connections)

    def _make_room(self) -> bool:
        """End the idle connection that was heard of longest ago."""
        idle = [c for c in self._connections if c.proven and c.idle]
        if not idle:
            return False
        min(idle, key=lambda c: c.heard_s).close()
        return True

    def named(self, connection_id: bytes, connection: Connection) -> None:
        self._named[connection_id] = connection
        connection.ids.add(connection_id)

    def unnamed(self, connection_id: bytes) -> None:
        connection = self._named.pop(connection_id, None)
        if connection is not None:
            connection.ids.discard(connection_id)

    def remove(self, connection: Connection) -> None:
        self._connections.discard(connection)
        for connection_id in connection.ids:
            self._named.pop(connection_id, None)
        connection.ids.clear()

    def turned_away(self, status: int) -> None:
        if self.observer is not None:
            self.observer.turned_away(status)

    @property
    def open(self) -> int:
        """Connections of clients."""
        return len(self._connections)

    def leave(self, final: bool) -> None:
        self._full = self._full or (final and self.gate.stopping)
        for connection in list(self._connections):
            self._contain(connection, "http3_leave", partial(connection.leave, final))

    async def close(self) -> None:
        """End: what is answered has a moment to go out."""
        self.leave(final=True)
        until_s = self.loop.time() + LAST_BYTES_S
        while self.loop.time() < until_s and any(not c.idle for c in self._connections):
            await asyncio.sleep(0.01)
        for connection in list(self._connections):
            connection.close()
        if self._sweeping is not None:
            self._sweeping.cancel()
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._wake.on_gap.remove(self._stood)
            self._sock.close()
            self._sock = None

    def _sweep(self) -> None:
        now_s = self.loop.time()
        self._resets = 0
        crowded = len(self._connections) > self.doors.most // 2
        handshake_s = self.doors.handshake_s(len(self._connections), self._unproven)
        for connection in list(self._connections):
            check = partial(connection.check, now_s, crowded, handshake_s)
            self._contain(connection, "http3_check", check)
