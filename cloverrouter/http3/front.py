"""The HTTP/3 frontend: turns datagrams of a UDP socket into calls, and sends a final answer to each.

Requests are validated by `proxy.validity`, the state of streams is in `http3.streams`, and the admission of
connections in `http3.doors`.
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

from cloverrouter.http3.doors import CONNECTION_ID_BYTES, Admission, AdmissionControl
from cloverrouter.http3.fields import answer_fields, parse_request
from cloverrouter.http3.link import ConnectionBase
from cloverrouter.http3.streams import STREAM_ID_STEP, RequestStream, RequestStreams
from cloverrouter.http3.wire import Http3Server, NetworkAddress, QuicServer, server_settings, stateless_reset
from cloverrouter.membership.standing import LoopGap
from cloverrouter.proxy.config import Address
from cloverrouter.proxy.containment import Periodic, contained_errors_of
from cloverrouter.proxy.keeping import BufferBudget
from cloverrouter.proxy.messages import Answer, AnswerSink
from cloverrouter.proxy.observer import Observer
from cloverrouter.proxy.validity import HEALTH, Gate, Head, ParsedCall
from cloverrouter.proxy.wake import pause_detector_of

MIN_INITIAL_BYTES = 1200  # of a datagram with a client's first packet (RFC 9000, 14.1)
MIN_RESET_TRIGGER_BYTES = 43  # of a packet that is answered by a stateless reset
SWEEP_S = 0.2
CROWDED_IDLE_S = 2.3  # idle timeout while connections are scarce, as on HTTP/1.1
ALIVE_S = 3.0  # a client that awaits an answer and is silent for this long gets a PING
MAX_UNREAD_BYTES = 256 * 1024  # of answers, beyond which no further request is dispatched
MAX_PENDING_ANSWER_BYTES = 32 * 1024  # of a streamed answer for its client, before the host is paused
# Timeout of a client that reads no answers. Longer than on HTTP/1.1: after a migration on a lossy network,
# retransmissions come at growing intervals.
UNREAD_S = 10.0
RETRY_AFTER = b"1.000"
RECEIVE_BUFFER_BYTES = 1 << 20  # receive buffer of the socket
MAX_READS_AT_ONCE = 8  # datagrams, before other sockets are read
# If datagrams have waited in the socket for longer than the first time, reading continues for the second.
MAX_READ_DELAY_S, CATCH_UP_READ_S = 0.02, 0.05
MAX_DATAGRAM_BYTES = 65_535
CLOSE_TIMEOUT_S = 0.5
MAX_RESETS_PER_S = 50  # stateless resets: each reveals the proxy to an unknown peer


class Http3Call(ParsedCall):
    """A client's request on an HTTP/3 stream."""

    __slots__ = ("_connection", "stream_id")

    def __init__(
        self, connection: Connection, stream_id: int, method: bytes, target: bytes, head: Head, body: bytes
    ) -> None:
        super().__init__(method, target, head, body)
        self._connection, self.stream_id = connection, stream_id

    def reply(self, status: int, body: bytes, content_type: bytes = b"", retry_after: bytes = b"") -> None:
        """Send a complete answer."""
        self._connection.answer(self.stream_id, status, body, content_type, retry_after)

    def begin(self, answer: Answer) -> AnswerSink | None:
        """Start a streamed answer; None if the client is gone."""
        return self._connection.begin_answer(self.stream_id, answer)


class Connection(ConnectionBase):
    """One QUIC connection of a client, with many requests at once."""

    def __init__(self, frontend: Http3Frontend, transport: QuicServer, address: NetworkAddress) -> None:
        super().__init__(frontend.loop, transport, address[0], frontend.count)
        self._frontend, self._gate, self.quic = frontend, frontend.gate, transport
        self.streams = RequestStreams(frontend.buffer_budget)
        self.connection_ids: set[bytes] = set()  # connection ids that its packets may carry
        self.handshake_done = False  # the handshake is complete, which validates the client's address
        self.since_s = self.received_s
        self._http: Http3Server | None = None
        self._calls: dict[int, Http3Call] = {}  # accepted and not answered
        self._streamed: dict[int, StreamedAnswer] = {}
        # Bytes of answers: written, and acknowledged as of the last backpressure check and the last sweep.
        self._written_bytes = self._acknowledged_bytes = self._acknowledged_at_sweep_bytes = 0

    # Overrides of `ConnectionBase`

    def _send(self, data: bytes, address: NetworkAddress) -> None:
        self._frontend.send(data, address)

    def _on_flushed(self) -> None:
        for answer in list(self._streamed.values()):
            answer.resume_if_read()

    def _on_settled(self) -> None:
        self._dispatch_queued()

    def _on_quic_event(self, event: quic.QuicEvent) -> None:
        if isinstance(event, quic.ConnectionIdIssued):
            self._frontend.register_connection_id(event.connection_id, self)
        elif isinstance(event, quic.ConnectionIdRetired):
            self._frontend.unregister_connection_id(event.connection_id)
        elif isinstance(event, quic.ConnectionTerminated):
            self._end()
        elif isinstance(event, quic.HandshakeCompleted):
            self.handshake_done = True
            self._http = Http3Server(self.quic)
            if self._gate.stopping:
                self.send_goaway(final=False)
        elif self._http is not None:
            http = self._http
            self._track_stream(event)
            for http_event in self._call_library(lambda: http.handle_event(event)) or ():
                self._on_http_event(http_event)

    def _track_stream(self, event: quic.QuicEvent) -> None:
        """Track the opening and the cancellation of request streams."""
        if isinstance(event, quic.StreamReset | quic.StopSendingReceived):
            if event.stream_id % STREAM_ID_STEP == 0:
                self._withdraw(event.stream_id)
            return
        if not isinstance(event, quic.StreamDataReceived) or event.stream_id % STREAM_ID_STEP:
            return
        # Tracked from the first byte: the library buffers an incomplete head without a timeout.
        if not self.streams.was_opened(event.stream_id):
            self.streams.open(event.stream_id, self.received_s)

    # Events of the HTTP/3 library

    def _on_http_event(self, event: h3.H3Event) -> None:
        now_s = self._frontend.loop.time()
        if isinstance(event, h3.HeadersReceived):
            stream = self.streams.incomplete.get(event.stream_id)
            if stream is None:
                if not self.streams.was_opened(event.stream_id):
                    # Its id is at or above that of GOAWAY: it never runs, and may be sent elsewhere.
                    self._abort_stream(event.stream_id, ErrorCode.H3_REQUEST_REJECTED)
                return
            if stream.request is None:
                request = parse_request(event.headers)
                if isinstance(request, int):
                    self._reject(stream.id, request, ended=event.stream_ended)
                    return
                stream.request = request
            # Trailers don't override the head.
            if event.stream_ended:
                self._queue_request(stream)
        elif isinstance(event, h3.DataReceived):
            stream = self.streams.incomplete.get(event.stream_id)
            if stream is None:
                return  # rejected already: the rest is discarded
            if fault := self.streams.add_body(stream, event.data, now_s):
                self._reject(stream.id, fault, ended=event.stream_ended)
            elif event.stream_ended:
                self._queue_request(stream)

    def _queue_request(self, stream: RequestStream) -> None:
        """Validate and queue a request that has been received completely."""
        request = stream.request
        assert request is not None
        call = Http3Call(self, stream.id, request.method, request.target, request.head, bytes(stream.body))
        if call.target == HEALTH:
            fault = 0 if call.method == b"GET" else 405
        else:
            fault = self._gate.check(call, request.head)
        if fault:
            self._reject(stream.id, fault, ended=True)
            return
        # Datagrams have no arrival time: only the longest time that it may have waited unread is known.
        now_s = self._frontend.loop.time()
        pause_detector = pause_detector_of(self._frontend.loop)
        since_s = pause_detector.waiting_since_s(now_s)
        if since_s is not None:
            call.set_arrival(pause_detector.arrival_bounds_s(now_s, since_s, None, False))
        self.streams.accept(stream)
        self._calls[stream.id] = call
        self._gate.queued_ids.add(call.request_id)

    def _dispatch_queued(self) -> None:
        """Dispatch queued requests to the handler, as far as the limits allow."""
        while (
            not self.closed
            and not self._has_backpressure
            and (stream_id := self.streams.next_request()) is not None
        ):
            call = self._calls[stream_id]
            self._gate.queued_ids.discard(call.request_id)
            if call.target == HEALTH:
                self.answer(stream_id, 200 if self._gate.handler.ready() else 503, b"")
            elif not self._gate.revalidate(call):
                call.refused(0.0)
            else:
                self._gate.handler.call_received(call)

    @property
    def _has_backpressure(self) -> bool:
        """Whether too many bytes of answers are unacknowledged. They are counted only if that is possible."""
        if self._written_bytes - self._acknowledged_bytes < MAX_UNREAD_BYTES:
            return False
        self._acknowledged_bytes = self._written_bytes - self.total_unacknowledged_bytes
        return self._written_bytes - self._acknowledged_bytes >= MAX_UNREAD_BYTES

    def _reject(self, stream_id: int, status: int, ended: bool) -> None:
        """Answer with an error; no part of the request was forwarded."""
        self._frontend.invalid_request_rejected(status)
        self._write_answer(stream_id, status, b"", b"", RETRY_AFTER if status == 503 else b"")
        if not ended:
            # The answer is complete without the rest of the request (RFC 9114, 4.1).
            self._call_library(lambda: self.quic.stop_stream(stream_id, ErrorCode.H3_NO_ERROR))
        self.streams.release(stream_id)

    def _withdraw(self, stream_id: int) -> None:
        """Cancel a request that its client has reset."""
        self.streams.release(stream_id)
        streamed = self._streamed.pop(stream_id, None)
        call = streamed.call if streamed is not None else self._calls.pop(stream_id, None)
        if call is not None:
            self._frontend.count["withdrawn"] += 1
            self._drop_call(call)
        if not self.closed and self.quic.writable(stream_id):
            self._call_library(lambda: self.quic.reset_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED))

    def _drop_call(self, call: Http3Call) -> None:
        """Drop a call whose client is gone."""
        if call.request_id in self._gate.queued_ids:
            self._gate.queued_ids.discard(call.request_id)  # not dispatched to the handler yet
        else:
            self._gate.handler.disconnected(call)

    def _abort_stream(self, stream_id: int, code: int) -> None:
        """End both directions of a stream."""
        self._call_library(lambda: self.quic.stop_stream(stream_id, code))
        if not self.closed:
            self._call_library(lambda: self.quic.reset_stream(stream_id, code))

    # Answers

    def answer(
        self, stream_id: int, status: int, body: bytes, content_type: bytes = b"", retry_after: bytes = b""
    ) -> None:
        """Send a complete answer."""
        if self._calls.pop(stream_id, None) is None or self.closed:
            return  # the client is gone
        self._write_answer(stream_id, status, body, content_type, retry_after)
        self._on_answered(stream_id)

    def _on_answered(self, stream_id: int) -> None:
        self.streams.release(stream_id)
        if self._gate.refusing and not self.streams.draining:
            self.send_goaway(final=True)  # the client should connect to the member that accepts requests
        self.flush_soon()
        self._frontend.loop.call_soon(self._dispatch_queued)

    def _write_answer(
        self, stream_id: int, status: int, body: bytes, content_type: bytes, retry_after: bytes
    ) -> None:
        http = self._http
        if self.closed or http is None or not self.quic.writable(stream_id):
            return
        fields = answer_fields(status, len(body), content_type, retry_after)
        self._call_library(lambda: http.send_headers(stream_id, fields, not body))
        if body and not self.closed:
            self._call_library(lambda: http.send_data(stream_id, body, True))
        self._written_bytes += len(body)

    def begin_answer(self, stream_id: int, answer: Answer) -> AnswerSink | None:
        """Start a streamed answer; None if the client is gone."""
        http, call = self._http, self._calls.pop(stream_id, None)
        if self.closed or http is None or call is None:
            return None
        streamed = self._streamed[stream_id] = StreamedAnswer(self, stream_id, call)
        fields = answer_fields(200, answer.length, answer.content_type)
        self._call_library(lambda: http.send_headers(stream_id, fields))
        return streamed

    def write_piece(self, stream_id: int, data: bytes) -> bool:
        """Send a piece of a streamed answer. False: the client reads too slowly."""
        http = self._http
        if self.closed or http is None or stream_id not in self._streamed:
            return False
        self._call_library(lambda: http.send_data(stream_id, data, False))
        self._written_bytes += len(data)
        self.flush_soon()
        return not self.closed and self.unacknowledged_bytes(stream_id) < MAX_PENDING_ANSWER_BYTES

    def end_answer(self, stream_id: int, complete: bool) -> None:
        """End a streamed answer, which is complete or truncated."""
        http = self._http
        if self._streamed.pop(stream_id, None) is None or self.closed or http is None:
            return
        if complete:
            self._call_library(lambda: http.send_data(stream_id, b"", True))
        else:
            # A reset lets the client detect the truncation.
            self._call_library(lambda: self.quic.reset_stream(stream_id, ErrorCode.H3_INTERNAL_ERROR))
        self._on_answered(stream_id)

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the bytes of a stream that the client has not acknowledged."""
        return self.quic.unacknowledged_bytes(stream_id)

    @property
    def total_unacknowledged_bytes(self) -> int:
        """Unacknowledged bytes of all streams."""
        return self.quic.total_unacknowledged_bytes

    # Drain and close

    def send_goaway(self, final: bool) -> None:
        """Send GOAWAY (RFC 9114, 5.2): requests that arrive from now on are served or, with `final`,
        rejected."""
        http = self._http
        if http is None or self.closed:
            return
        goaway_id = self.streams.start_drain() if final else self.streams.goaway_announcement()
        self._call_library(lambda: http.go_away(goaway_id))
        self.flush_soon()

    def close(self, code: int = ErrorCode.H3_NO_ERROR, reason: str = "") -> None:
        """Close the connection now."""
        if not self.closed:
            self._call_library(lambda: self.quic.close(error_code=code, reason_phrase=reason))
            self.flush()
            self._end()

    def _end(self) -> None:
        """Release the connection, and report its open calls as disconnected."""
        if self.closed:
            return
        if self._calls or self._streamed or (self.handshake_done and self.total_unacknowledged_bytes):
            self._frontend.count["undelivered"] += 1
        self.closed = True
        self._stop_timer()
        self._frontend.remove(self)
        self.streams.release_all()
        calls, self._calls = self._calls, {}
        streamed, self._streamed = self._streamed, {}
        for call in calls.values():
            self._drop_call(call)
        for sink in streamed.values():
            self._gate.handler.disconnected(sink.call)

    def check(self, now_s: float, crowded: bool, handshake_s: float) -> None:
        """Apply the timeouts: an unfinished handshake or request, or an unread answer, would otherwise hold
        memory indefinitely."""
        if not self.handshake_done:
            if now_s - self.since_s > handshake_s:
                self.close(reason="handshake took too long")
            return
        for stream in self.streams.overdue(now_s):
            self._reject(stream.id, 408, ended=False)
            self.flush_soon()
        unread = self.total_unacknowledged_bytes
        if not unread or self._written_bytes - unread > self._acknowledged_at_sweep_bytes:
            self._acknowledged_at_sweep_bytes, self.since_s = self._written_bytes - unread, now_s
        elif now_s - self.since_s > UNREAD_S:
            self.close(ErrorCode.H3_EXCESSIVE_LOAD, "answers are not read")
            return
        silent_s = now_s - self.received_s
        if (self.streams.has_unanswered or self._streamed) and silent_s > ALIVE_S:
            # Without a PING, a lost path looks the same as a client that awaits its answer.
            self._call_library(lambda: self.quic.send_ping(1))
            self.flush_soon()
        elif self.idle and (self.streams.draining or (crowded and silent_s > CROWDED_IDLE_S)):
            self.close()

    @property
    def idle(self) -> bool:
        """Whether no request or answer is in progress."""
        return not (
            self.streams.busy
            or self._calls
            or self._streamed
            or (self.handshake_done and self.total_unacknowledged_bytes)
        )


class StreamedAnswer:
    """A streamed answer to a client: an `AnswerSink`."""

    def __init__(self, connection: Connection, stream_id: int, call: Http3Call) -> None:
        self._connection, self._stream_id = connection, stream_id
        self.call = call
        self.on_ready: Callable[[], None] | None = None
        self._paused = False

    def write(self, data: bytes) -> bool:
        """Send a piece; False asks for a pause until `on_ready` is called."""
        self._paused = not self._connection.write_piece(self._stream_id, data)
        return not self._paused

    def resume_if_read(self) -> None:
        """Call `on_ready` once the client has acknowledged enough."""
        if self._paused and self._connection.unacknowledged_bytes(self._stream_id) < MAX_PENDING_ANSWER_BYTES:
            self._paused = False
            if self.on_ready is not None:
                self.on_ready()

    def finish(self) -> None:
        """Mark the end of a complete answer."""
        self._connection.end_answer(self._stream_id, True)

    def abort(self) -> None:
        """Reset the stream of a truncated answer."""
        self._connection.end_answer(self._stream_id, False)


class Http3Frontend:
    """The UDP socket and the connections of its clients. `files`: certificate and key, in PEM form."""

    def __init__(
        self, gate: Gate, buffer_budget: BufferBudget, files: tuple[str, str], max_connections: int
    ) -> None:
        """Raises OSError or ValueError if the files can't be used."""
        self.gate, self.buffer_budget = gate, buffer_budget
        self.loop = asyncio.get_running_loop()
        self._files = files
        self._settings, secret = server_settings(*files)
        self.admission = AdmissionControl(max_connections, secret)
        self.count: Counter[str] = Counter()
        self.observer: Observer | None = None
        self._by_connection_id: dict[bytes, Connection] = {}
        self._connections: set[Connection] = set()
        self._sock: socket.socket | None = None
        self._sweep_timer: Periodic | None = None
        self._resets_sent = 0
        self._refuses_new = False  # no new connections are accepted
        self._pause_detector = pause_detector_of(self.loop)
        self._errors = contained_errors_of(self.loop)
        self._backlog_since_s: float | None = None  # time since which each read left datagrams in the socket

    def listen(self, address: Address) -> Address:
        """Open the socket; return its address. Raises OSError."""
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        self._sock = sock
        self.loop.add_reader(sock, self._read)
        # Datagrams that arrived during a process pause may cancel requests. They are read first: due timers,
        # and answers on other sockets, would otherwise start attempts for these requests.
        self._pause_detector.on_pause.insert(0, self._on_pause)
        self._sweep_timer = Periodic(self.loop, self._errors, "http3_sweep", SWEEP_S, self._sweep)
        host, port = sock.getsockname()[:2]
        return host, port

    def reload_certificate(self) -> None:
        """Reload certificate and key for new connections; open ones keep theirs.

        Raises OSError or ValueError if they can't be used; the old ones stay in force.
        """
        self._settings, _ = server_settings(*self._files)

    def _on_pause(self, gap: LoopGap) -> None:
        self._backlog_since_s = gap.from_s
        self._read()

    def _read(self) -> None:
        """Read a limited number of datagrams, so that HTTP/1.1 clients are served too; more if they have
        waited."""
        touched: dict[Connection, None] = {}
        now_s, count = self.loop.time(), 0
        until_s = now_s
        if self._backlog_since_s is not None and now_s - self._backlog_since_s > MAX_READ_DELAY_S:
            until_s = now_s + CATCH_UP_READ_S
        while self._sock is not None:
            if count >= MAX_READS_AT_ONCE and self.loop.time() >= until_s:
                self._backlog_since_s = now_s if self._backlog_since_s is None else self._backlog_since_s
                break
            count += 1
            try:
                data, address = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                self._backlog_since_s = None
                break
            except OSError:  # a datagram to an earlier client was undeliverable: its connection will time out
                continue
            connection = self._take(data, address)
            if connection is not None:
                touched[connection] = None
        for connection in touched:
            self._contain(connection, "http3_settle", connection.settle)

    def _contain(self, connection: Connection, place: str, step: Callable[[], object]) -> None:
        """Run a step of one connection; an exception closes this connection only."""
        if not self._errors.run(place, step):
            self._errors.run(place, connection.close)

    def send(self, data: bytes, address: NetworkAddress) -> None:
        """Send a datagram, or drop it if that is not possible."""
        if self._sock is None:
            return
        try:
            self._sock.sendto(data, address)
        except OSError:  # the buffer is full or the peer unreachable; QUIC retransmits lost packets
            self.count["unsent"] += 1

    def datagram_received(self, data: bytes, address: NetworkAddress) -> None:
        """Process a single datagram."""
        connection = self._take(data, address)
        if connection is not None:
            connection.settle()

    def _take(self, data: bytes, address: NetworkAddress) -> Connection | None:
        """Process a datagram; return its connection, which the caller must settle, or None."""
        try:
            header = pull_quic_header(Buffer(data=data), host_cid_length=CONNECTION_ID_BYTES)
        except (ValueError, IndexError):
            self.count["noise"] += 1
            return None
        connection = self._by_connection_id.get(header.destination_cid)
        if connection is not None:
            connection.receive(data, address)
        elif header.version is None:
            self._send_stateless_reset(header.destination_cid, len(data), address)
        elif len(data) < MIN_INITIAL_BYTES:
            self.count["noise"] += 1  # answering a small packet with a forged address would amplify it
        elif header.version not in self._settings.supported_versions:
            versions = list(self._settings.supported_versions)
            self.count["versions"] += 1
            if header.version:  # never in reply to version negotiation: two servers would loop forever
                packet = encode_quic_version_negotiation(header.destination_cid, header.source_cid, versions)
                self.send(packet, address)
        elif header.packet_type == QuicPacketType.INITIAL:
            return self._on_initial(data, address, header)
        return connection

    def _on_initial(self, data: bytes, address: NetworkAddress, header: QuicHeader) -> Connection | None:
        """Process the first packet of a connection; return the connection if it is accepted."""
        version, destination_id, token = header.version or 0, header.destination_cid, header.token
        now_s, source = self.loop.time(), (address[0], address[1])
        original_id = self.admission.verify_token(source, token, destination_id, now_s) if token else None
        count = len(self._connections)
        if count >= self.admission.max_connections and original_id is not None and self._evict_idle():
            count -= 1
        decision = (
            Admission.DROP
            if self._refuses_new
            else self.admission.admit(count, self._handshaking, original_id is not None)
        )
        self.count[decision.value] += 1
        if decision is Admission.PROVE:
            retry_id = os.urandom(CONNECTION_ID_BYTES)
            retry_token = self.admission.issue_token(source, destination_id, retry_id, now_s)
            self.send(
                encode_quic_retry(version, retry_id, header.source_cid, destination_id, retry_token), address
            )
        elif decision is Admission.BEGIN:
            transport = QuicServer(
                self._settings,
                destination_id if original_id is None else original_id,
                None if original_id is None else destination_id,
                self.admission.reset_token,
            )
            connection = Connection(self, transport, address)
            self._connections.add(connection)
            self.register_connection_id(destination_id, connection)
            self.register_connection_id(transport.host_cid, connection)
            connection.receive(data, address)
            return connection
        return None

    def _send_stateless_reset(self, connection_id: bytes, size: int, address: NetworkAddress) -> None:
        """Answer a packet of an unknown connection, for example from before a restart."""
        if size < MIN_RESET_TRIGGER_BYTES or self._resets_sent >= MAX_RESETS_PER_S * SWEEP_S:
            return
        self._resets_sent += 1
        self.count["resets"] += 1
        self.send(stateless_reset(self.admission.reset_token(connection_id), size), address)

    @property
    def _handshaking(self) -> int:
        """Number of handshakes in progress."""
        return sum(not connection.handshake_done for connection in self._connections)

    def _evict_idle(self) -> bool:
        """Close the idle connection from which nothing was received for longest. False if there is none."""
        idle = [c for c in self._connections if c.handshake_done and c.idle]
        if not idle:
            return False
        min(idle, key=lambda c: c.received_s).close()
        return True

    def register_connection_id(self, connection_id: bytes, connection: Connection) -> None:
        """Route packets with this connection id to the connection."""
        self._by_connection_id[connection_id] = connection
        connection.connection_ids.add(connection_id)

    def unregister_connection_id(self, connection_id: bytes) -> None:
        """Stop routing packets with this connection id."""
        connection = self._by_connection_id.pop(connection_id, None)
        if connection is not None:
            connection.connection_ids.discard(connection_id)

    def remove(self, connection: Connection) -> None:
        """Remove a connection and its connection ids."""
        self._connections.discard(connection)
        for connection_id in connection.connection_ids:
            self._by_connection_id.pop(connection_id, None)
        connection.connection_ids.clear()

    def invalid_request_rejected(self, status: int) -> None:
        """Notify the observer of a rejected request."""
        if self.observer is not None:
            self.observer.invalid_request_rejected(status)

    @property
    def open(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def leave(self, final: bool) -> None:
        """Send GOAWAY on all connections."""
        self._refuses_new = self._refuses_new or (final and self.gate.stopping)
        for connection in list(self._connections):
            self._contain(connection, "http3_leave", partial(connection.send_goaway, final))

    async def close(self) -> None:
        """Close all connections and the socket, after a short time for answers in progress."""
        self.leave(final=True)
        until_s = self.loop.time() + CLOSE_TIMEOUT_S
        while self.loop.time() < until_s and any(not c.idle for c in self._connections):
            await asyncio.sleep(0.01)
        for connection in list(self._connections):
            connection.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._pause_detector.on_pause.remove(self._on_pause)
            self._sock.close()
            self._sock = None

    def _sweep(self) -> None:
        now_s = self.loop.time()
        self._resets_sent = 0
        crowded = len(self._connections) > self.admission.max_connections // 2
        handshake_s = self.admission.handshake_s(len(self._connections), self._handshaking)
        for connection in list(self._connections):
            check = partial(connection.check, now_s, crowded, handshake_s)
            self._contain(connection, "http3_check", check)
