"""The HTTP/3 carrier: sends each attempt on a stream to its server, and reports one outcome for it.

The protocol and the connection are chosen by `http3.ways`, outcomes are defined in `http3.attempts`. Servers
that are not reached over HTTP/3 are left to the HTTP/1.1 carrier. The UDP port has the same number as the TCP
port in the server's list entry.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable
from collections.abc import Set as AbstractSet
from dataclasses import replace
from functools import partial

from aioquic.h3 import events as h3
from aioquic.h3.connection import ErrorCode
from aioquic.quic import events as quic
from aioquic.quic.configuration import QuicConfiguration

from cloverrouter.http3.attempts import STALL_S, AttemptEnd, MalformedAnswer, Reply, outcome_of
from cloverrouter.http3.fields import request_fields
from cloverrouter.http3.link import ConnectionBase
from cloverrouter.http3.ways import (
    HANDSHAKE_TIMEOUT_FACTOR,
    Http3Availability,
    choose_connection,
    is_unresponsive,
)
from cloverrouter.http3.wire import GoawayReceived, Http3Client, MalformedStream, NetworkAddress, QuicClient
from cloverrouter.interface import ConnectionSignal, Outcome
from cloverrouter.proxy.carrier import Carrier as Http1Carrier
from cloverrouter.proxy.carrier import SentAttempt
from cloverrouter.proxy.containment import Periodic, contained_errors_of
from cloverrouter.proxy.descriptors import descriptor_budget_of, is_descriptor_exhaustion
from cloverrouter.proxy.exchange import Host, OnBegin, OnEnd
from cloverrouter.proxy.exchange import outcome_of as outcome_of_answer
from cloverrouter.proxy.messages import Answer, AnswerProgress, AnswerSink, Call
from cloverrouter.proxy.upstream import IDLE_TIMEOUT_FRACTION

SWEEP_S = 0.5
MAX_READS_AT_ONCE = 16  # datagrams, before other sockets are read
MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 256 * 1024  # receive buffer of a connection's socket
MAX_PENDING_BODY_BYTES = 32 * 1024  # of a streamed body, buffered for its server before its client is paused
ALIVE_S = 3.0  # a server that has requests and is silent for this long gets a PING
log = logging.getLogger(__name__)


class Exchange:
    """One attempt: a `SentAttempt` and a `BodySink`. Ends once, with `on_end` or without by `abandon`."""

    __slots__ = (
        "answer_paused", "body_paused", "call", "connection", "on_begin", "on_end", "on_open", "progress_s",
        "reply", "send_deadline_s", "sent_s", "signal", "sink", "stream_id", "timeout_ms", "written",
    )  # fmt: skip

    def __init__(
        self,
        call: Call,
        timeout_ms: float,
        on_end: OnEnd,
        on_begin: OnBegin | None,
        on_open: Callable[[], None] | None,
    ) -> None:
        self.call, self.timeout_ms = call, timeout_ms
        self.send_deadline_s = float("inf")  # not sent any more from then on
        self.on_end: OnEnd | None = on_end
        self.on_begin, self.on_open = on_begin, on_open
        self.signal: ConnectionSignal | None = None
        self.written = False
        self.connection: ServerConnection | None = None
        self.stream_id: int | None = None  # set when its head is handed to the connection
        self.sent_s = self.progress_s = 0.0
        self.reply = Reply()
        self.sink: AnswerSink | None = None
        self.answer_paused = False  # the client reads a streamed answer too slowly
        self.body_paused = False  # the server reads a streamed body too slowly

    @property
    def begun(self) -> bool:
        """Whether its head was handed to the connection."""
        return self.stream_id is not None

    @property
    def received_bytes(self) -> int:
        """How many bytes of an answer's body have been received."""
        return self.reply.received_bytes

    def answer_progress(self) -> AnswerProgress | None:
        """Return how far an answer has come whose head is complete; None if there is none."""
        reply = self.reply
        if self.connection is None or reply.status != 200:
            return None
        idle_s = 0.0 if self.answer_paused else self.connection.idle_s(self)
        return AnswerProgress(reply.received_bytes, idle_s, reply.length, self.answer_paused)

    def stream_answer(self) -> bool:
        """Start to stream an answer that has begun and may be long; return whether it is streamed."""
        return self.connection is not None and self.connection.stream_answer(self)

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """Report the outcome, unless the attempt was abandoned or has ended."""
        on_end = self.on_end
        self._release()
        if on_end is not None:
            on_end(outcome, answer)

    def _release(self) -> None:
        """Drop what would keep the request, with its body, in a reference cycle."""
        self.on_end = self.on_begin = self.on_open = self.sink = None
        if self.call.upload is not None:
            self.call.upload.detach()

    def abandon(self) -> None:
        """Cancel the attempt without calling `on_end`."""
        self._release()
        if self.connection is not None:
            self.connection.cancel_attempt(self)

    # The methods of `BodySink`, for a body that is streamed

    def write_body(self, data: bytes) -> bool:
        """Send a piece of the body; False asks for a pause: the server reads too slowly."""
        if self.connection is None or self.stream_id is None:
            return False
        self.body_paused = not self.connection.send_body(self, data, end=False)
        return not self.body_paused

    @property
    def unsent_bytes(self) -> int:
        """0: HTTP/3 reserves what it buffers of bodies in the budget for long ones."""
        return 0

    def finish_body(self) -> None:
        """Mark the end of a complete body."""
        if self.connection is not None and self.stream_id is not None:
            self.connection.send_body(self, b"", end=True)

    def resume_body(self, unacknowledged_bytes: int) -> None:
        """Resume a paused body once the server has acknowledged enough of it."""
        if (
            self.body_paused
            and unacknowledged_bytes < MAX_PENDING_BODY_BYTES
            and self.call.upload is not None
        ):
            self.body_paused = False
            self.call.upload.resume()


class ServerConnection(ConnectionBase):
    """One QUIC connection to a server, on a socket of its own."""

    def __init__(
        self, carrier: Carrier, host: Host, sock: socket.socket, settings: QuicConfiguration
    ) -> None:
        self.quic = QuicClient(settings)
        super().__init__(carrier.loop, self.quic, host[0], carrier.count)
        self.host, self._carrier, self._sock = host, carrier, sock
        self.opened_s = carrier.loop.time()
        self.established = False
        self.draining = False  # it accepts no more requests, and closes after those that it has
        self.failure_signal: ConnectionSignal | None = None  # if it can't be established
        self.idle_since_s = self.received_s
        self._server_name = settings.server_name or ""
        self._unresponsive = False
        self._http: Http3Client | None = None
        self._queued: list[Exchange] = []  # queued until the handshake completes
        self._active: dict[int, Exchange] = {}
        self._unsent: dict[int, Exchange] = {}
        self._handshake_timer = carrier.loop.call_later(carrier.handshake_s, self._on_handshake_timeout)
        carrier.loop.add_reader(sock, self._read)
        self._call_library(lambda: self.quic.connect(host[1], now=self.received_s))
        self.flush()

    # The properties of `ways.SelectableConnection`

    @property
    def usable(self) -> bool:
        """Whether it accepts requests."""
        return not (self.closed or self.draining or self._unresponsive)

    @property
    def load(self) -> int:
        """Requests on it, including queued ones."""
        return len(self._queued) + len(self._active)

    @property
    def available_streams(self) -> int:
        """How many more streams the server allows."""
        return self.quic.available_streams

    # Overrides of `ConnectionBase`

    def _read(self) -> None:
        for _ in range(MAX_READS_AT_ONCE):
            if self.closed:
                return
            try:
                data = self._sock.recv(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                self._on_socket_error(error)
                return
            if self.quic.is_reset(data):
                # The library would discard it, and the requests in progress would wait until a timeout.
                self._count["reset"] += 1
                self._end()
                self._carrier.on_signal(self.host[0], ConnectionSignal.CLOSED_BY_PEER)
                return
            self._unresponsive = False
            self.receive(data, self.host[1])
        if not self.closed:
            self.settle()

    def _send(self, data: bytes, address: NetworkAddress) -> None:
        if self.closed:
            return
        try:
            self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            self._count["unsent"] += 1  # QUIC retransmits lost packets
        except OSError as error:
            self._on_socket_error(error)

    def _on_socket_error(self, error: OSError) -> None:
        """End the connection on a socket error, such as a closed port reported by the server's machine."""
        if isinstance(error, ConnectionRefusedError):
            self.failure_signal = ConnectionSignal.REFUSED
        self._end()

    def _on_flushed(self) -> None:
        for stream_id, exchange in list(self._unsent.items()):
            if self.quic.all_sent(stream_id):
                exchange.written, exchange.sent_s = True, self._loop.time()
                del self._unsent[stream_id]
            elif exchange.body_paused:
                exchange.resume_body(self.quic.unacknowledged_bytes(stream_id))

    def _on_handshake_timeout(self) -> None:
        """End the connection: its handshake did not complete in time."""
        self.failure_signal = ConnectionSignal.CONNECT_TIMEOUT
        self._end()

    def _on_quic_event(self, event: quic.QuicEvent) -> None:
        if isinstance(event, quic.HandshakeCompleted):
            self._on_established()
        elif isinstance(event, quic.ConnectionTerminated):
            self._end()
        elif self._http is not None:
            http = self._http
            for http_event in self._call_library(lambda: http.handle_event(event)) or ():
                self._on_http_event(http_event)
            if isinstance(event, quic.StreamReset | quic.StopSendingReceived):
                self._on_stream_ended_by_server(event)

    def _on_established(self) -> None:
        self._handshake_timer.cancel()
        self._http = self._call_library(lambda: Http3Client(self.quic))
        if self.closed:
            return
        self.established = True
        self.idle_since_s = self._loop.time()
        self._carrier.on_established(self)
        queued, self._queued = self._queued, []
        for exchange in queued:
            if exchange.on_open is not None:
                exchange.on_open()
            if self.closed or self.draining:
                exchange.connection = None
                exchange.end(self._carrier.outcome_without_connection())
            elif self._loop.time() >= exchange.send_deadline_s or (
                exchange.call.is_disconnected() or exchange.call.may_be_disconnected()
            ):
                # After a process pause this runs before a timeout that is due; and the client may have
                # disconnected meanwhile.
                exchange.connection = None
                exchange.end(Outcome.NOT_SENT)
            else:
                self._send_request(exchange)
        self.flush_soon()

    # Attempts

    def submit(self, exchange: Exchange) -> None:
        """Send an attempt, now or once the handshake completes."""
        exchange.connection = self
        if self.established:
            if exchange.on_open is not None:
                exchange.on_open()
            self._send_request(exchange)
            self.flush_soon()
        else:
            self._queued.append(exchange)

    def _send_request(self, exchange: Exchange) -> None:
        http, call, upload = self._http, exchange.call, exchange.call.upload
        if exchange.on_end is None or http is None:
            exchange.connection = None
            return  # abandoned meanwhile: it must not be sent any more
        stream_id = exchange.stream_id = self.quic.get_next_available_stream_id()
        self._active[stream_id] = self._unsent[stream_id] = exchange
        exchange.progress_s = self._loop.time()
        fields = request_fields(call, self._server_name, exchange.timeout_ms)
        without_body = upload is None and not call.body
        self._call_library(lambda: http.send_headers(stream_id, fields, without_body))
        if call.body and not self.closed:
            self._call_library(lambda: http.send_data(stream_id, call.body, upload is None))
        if upload is not None and not self.closed:
            upload.attach(exchange)

    def send_body(self, exchange: Exchange, data: bytes, end: bool) -> bool:
        """Send a piece of a body. False: the server reads too slowly."""
        http, stream_id = self._http, exchange.stream_id
        if self.closed or http is None or stream_id is None or not self.quic.writable(stream_id):
            return False
        exchange.progress_s = self._loop.time()
        self._call_library(lambda: http.send_data(stream_id, data, end))
        self.flush_soon()
        return not self.closed and self.quic.unacknowledged_bytes(stream_id) < MAX_PENDING_BODY_BYTES

    def cancel_attempt(self, exchange: Exchange) -> None:
        """Cancel an attempt that was abandoned."""
        if exchange in self._queued:
            self._queued.remove(exchange)
        elif exchange.stream_id in self._active:
            if exchange.written and is_unresponsive(self.received_s, exchange.sent_s):
                self._unresponsive = True
            self._release_stream(exchange)
        exchange.connection = None

    def _release_stream(self, exchange: Exchange, answered: bool = False) -> None:
        """Release the stream of an attempt that ends; unsent data is discarded."""
        stream_id = exchange.stream_id
        assert stream_id is not None
        del self._active[stream_id]
        self._unsent.pop(stream_id, None)
        self.quic.set_receive_paused(stream_id, False)
        if not self._active:
            self.idle_since_s = self._loop.time()
        if not self.closed:
            self._call_library(lambda: self._cancel_stream(stream_id, answered))
            self.flush_soon()

    def _cancel_stream(self, stream_id: int, answered: bool) -> None:
        if self.quic.readable(stream_id):
            self.quic.stop_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)
        # Otherwise a lost packet would be retransmitted, and an abandoned request run long after its end.
        if not answered or not self.quic.all_sent(stream_id):
            self.quic.reset_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)

    def _fail(self, exchange: Exchange, end: AttemptEnd, code: int = 0, reason: str = "") -> None:
        """End an attempt without an answer."""
        outcome = outcome_of(end, exchange.written, code)
        if outcome is Outcome.SPOILT:
            log.warning("spoilt answer from %s: %s", self.host[0], reason or end.value)
        self._count[end.name.lower()] += 1
        self._release_stream(exchange)
        exchange.connection = None
        if exchange.sink is not None:
            exchange.sink.abort()
        exchange.end(outcome)

    def _on_stream_ended_by_server(self, event: quic.StreamReset | quic.StopSendingReceived) -> None:
        exchange = self._active.get(event.stream_id)
        if exchange is None:
            return
        if isinstance(event, quic.StreamReset) or event.error_code == ErrorCode.H3_REQUEST_REJECTED:
            self._fail(exchange, AttemptEnd.RESET, event.error_code)
        # Otherwise the server does not need the rest of the body, and an answer follows.

    # Answers

    def _on_http_event(self, event: h3.H3Event) -> None:
        if isinstance(event, GoawayReceived):
            self._on_goaway(event.bound)
            return
        if not isinstance(event, h3.HeadersReceived | h3.DataReceived | MalformedStream):
            return
        exchange = self._active.get(event.stream_id)
        if exchange is None:
            return  # abandoned already
        exchange.progress_s = self._loop.time()
        reply = exchange.reply
        try:
            if isinstance(event, MalformedStream):
                raise MalformedAnswer(event.reason)
            if isinstance(event, h3.HeadersReceived):
                reply.receive_head(event.headers)
            else:
                reply.receive_body(event.data)
            if event.stream_ended:
                reply.check_complete()
                self._finish(exchange)
            elif reply.status and (exchange.sink is not None or reply.exceeds_buffer):
                self._forward_answer(exchange)
        except MalformedAnswer as error:
            self._fail(exchange, AttemptEnd.MALFORMED, reason=str(error))

    def _answer(self, reply: Reply, body: bytes) -> Answer:
        return Answer(reply.status, body, reply.content_type, reply.never_ran, reply.report, reply.length)

    def idle_s(self, exchange: Exchange) -> float:
        """Return the seconds since the last progress of `exchange`."""
        return self._loop.time() - exchange.progress_s

    def stream_answer(self, exchange: Exchange) -> bool:
        """Start to stream an answer that may be long, before its length is known; return whether it is
        streamed."""
        if exchange.sink is None:
            if exchange.answer_progress() is None or not self._begin_stream(exchange):
                return False
            self._forward_body(exchange)
        return True

    def _forward_answer(self, exchange: Exchange) -> None:
        """Forward the received part of a long answer, and pause its server if the client reads too slowly."""
        if exchange.sink is None and not self._begin_stream(exchange):
            if exchange.connection is self:  # not abandoned in the meantime
                raise MalformedAnswer("too large to be buffered")
            return
        self._forward_body(exchange)

    def _begin_stream(self, exchange: Exchange) -> bool:
        """Pass on the head of the answer; False if it can't be streamed, or nobody waits for it."""
        answer = self._answer(exchange.reply, b"")
        if outcome_of_answer(answer) is not Outcome.OK or not exchange.written or exchange.on_begin is None:
            return False
        sink = exchange.on_begin(answer)
        if sink is None or exchange.connection is not self:  # abandoned by that callback
            return False
        exchange.sink = sink
        sink.on_ready = lambda: self._resume_answer(exchange)
        return True

    def _forward_body(self, exchange: Exchange) -> None:
        """Pass on what has been received of the body."""
        assert exchange.sink is not None
        piece = bytes(exchange.reply.buffered)
        exchange.reply.buffered.clear()
        paused = bool(piece) and not exchange.sink.write(piece)
        if paused and not exchange.answer_paused and exchange.stream_id is not None:
            exchange.answer_paused = True
            self.quic.set_receive_paused(exchange.stream_id, True)

    def _resume_answer(self, exchange: Exchange) -> None:
        if exchange.answer_paused and exchange.stream_id is not None and not self.closed:
            exchange.answer_paused = False
            exchange.progress_s = self._loop.time()
            self.quic.set_receive_paused(exchange.stream_id, False)
            self.flush_soon()

    def _finish(self, exchange: Exchange) -> None:
        reply, sink = exchange.reply, exchange.sink
        self._release_stream(exchange, answered=True)
        exchange.connection = None
        answer = self._answer(reply, bytes(reply.buffered))
        if sink is not None:
            if answer.body:
                sink.write(answer.body)
            sink.finish()
        exchange.end(outcome_of_answer(answer), answer)

    # Drain and close

    def _on_goaway(self, bound: int) -> None:
        """Handle GOAWAY: requests that the server has not processed may be sent elsewhere."""
        self.drain()
        for stream_id, exchange in list(self._active.items()):
            if stream_id >= bound:
                self._fail(exchange, AttemptEnd.AWAY)

    def drain(self) -> None:
        """Accept no more requests; close now if idle, otherwise in the first check after the last request."""
        self.draining = True
        if not self.load:
            self.close()

    def close(self) -> None:
        """Close the connection now."""
        if not self.closed:
            self._call_library(lambda: self.quic.close(error_code=ErrorCode.H3_NO_ERROR))
            self.flush()
            self._end()

    def _end(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._stop_timer()
        self._handshake_timer.cancel()
        self._loop.remove_reader(self._sock)
        self._sock.close()
        # A connection that is closed during a drain is no evidence against HTTP/3 on its server.
        self._carrier.remove(self, failed=not self.established and not self.draining)
        queued, self._queued = self._queued, []
        for exchange in queued:
            exchange.signal, exchange.connection = self._carrier.failure_signal_of(self), None
            exchange.end(self._carrier.outcome_without_connection())
        for exchange in list(self._active.values()):
            self._fail(exchange, AttemptEnd.CLOSED)

    def check(self, now_s: float, idle_s: float) -> None:
        """Apply the timeouts: otherwise a stalled attempt would hold its socket and its client forever."""
        for exchange in list(self._active.values()):
            if now_s - exchange.progress_s > STALL_S and self._server_stalls(exchange):
                self._fail(exchange, AttemptEnd.STALLED)
        if not self.established or self.closed:
            return
        if not self.load:
            # Closed well before the server's own timeout, to avoid a request on a connection it discards.
            if (
                now_s - self.idle_since_s > min(idle_s, self.quic.idle_timeout_s * IDLE_TIMEOUT_FRACTION)
                or not self.usable
            ):
                self.close()
        elif now_s - self.received_s > ALIVE_S:
            self._call_library(lambda: self.quic.send_ping(1))
            self.flush_soon()

    def _server_stalls(self, exchange: Exchange) -> bool:
        """Whether the server is to blame for the lack of progress of a streamed answer or body."""
        if exchange.sink is not None:
            return not exchange.answer_paused
        upload = exchange.call.upload
        return exchange.body_paused and upload is not None and not upload.ended


class Carrier:
    """Sends attempts over HTTP/3, or with `http1_carrier` to servers that are not reached that way."""

    def __init__(
        self,
        http1_carrier: Http1Carrier,
        availability: Http3Availability,
        settings: QuicConfiguration,
        name: str,
        max_connections: int,
        connect_timeout_ms: float,
        idle_ms: float,
        on_signal: Callable[[str, ConnectionSignal], None],
    ) -> None:
        """`name`: the name in servers' certificates, empty for each server's own id."""
        self.http1_carrier, self.availability, self.on_signal = http1_carrier, availability, on_signal
        self.loop = asyncio.get_running_loop()
        self.count: Counter[str] = Counter()
        self.handshake_s = HANDSHAKE_TIMEOUT_FACTOR * connect_timeout_ms / 1000
        self._settings, self._name, self._max_connections = settings, name, max_connections
        self._idle_s = idle_ms * IDLE_TIMEOUT_FRACTION / 1000
        self._connections: dict[Host, set[ServerConnection]] = {}
        self._preconnecting: set[ServerConnection] = set()  # by `preconnect`, and not established yet
        self._errors = contained_errors_of(self.loop)
        self._sweep_timer = Periodic(self.loop, self._errors, "http3_server_sweep", SWEEP_S, self._sweep)

    @property
    def connections(self) -> list[ServerConnection]:
        """All connections."""
        return [connection for connections in self._connections.values() for connection in connections]

    def replace_settings(self, settings: QuicConfiguration) -> None:
        """Use these settings, with their certificate authority, for new connections."""
        self._settings = settings

    # The methods of `proxy.carrier.Carrier`

    def send(
        self,
        host: Host,
        call: Call,
        timeout_ms: float,
        on_end: OnEnd,
        on_begin: OnBegin | None = None,
        on_open: Callable[[], None] | None = None,
    ) -> SentAttempt:
        """Start an attempt; with `on_open` on a new connection, called once that is established."""
        if not self.availability.uses_http3(host[0], self.loop.time()):
            return self.http1_carrier.send(host, call, timeout_ms, on_end, on_begin, on_open)
        exchange = Exchange(call, timeout_ms, on_end, on_begin, on_open)
        if call.upload is None:
            exchange.send_deadline_s = self.loop.time() + timeout_ms / 1000
        choice = choose_connection(self._connections.get(host, ()), on_open is not None, self._may_open())
        connection = choice.connection
        if connection is None and choice.open:
            connection = self._open(host)
        if connection is None:
            exchange.end(Outcome.NOT_SENT)  # a local shortage, no evidence against the server
        elif connection.closed:
            exchange.signal = self.failure_signal_of(connection)
            exchange.end(self.outcome_without_connection())
        else:
            connection.submit(exchange)
        return exchange

    def preconnect(self, host: Host) -> None:
        """Open one connection to a newly listed host. These use at most half of the connections."""
        if not self.availability.uses_http3(host[0], self.loop.time()):
            self.http1_carrier.preconnect(host)
        elif (
            len(self.connections) < self._max_connections // 2
            and (connection := self._open(host)) is not None
        ):
            self._preconnecting.add(connection)

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        """Drain the connections to hosts that are not in `wanted`."""
        self.http1_carrier.keep_only(wanted)
        self.availability.keep_only(name for name, _ in wanted)
        for host in [h for h in self._connections if h not in wanted]:
            for connection in list(self._connections.get(host, ())):
                connection.drain()

    def discard_older(self, host: Host, before_s: float) -> None:
        """Drain the connections to a host that were opened before `before_s`: its process has gone."""
        self.http1_carrier.discard_older(host, before_s)
        for connection in list(self._connections.get(host, ())):
            if connection.opened_s < before_s:
                connection.drain()

    # Connections

    def _may_open(self) -> bool:
        """Whether a connection may be opened; closes the longest idle one if needed."""
        if len(self.connections) < self._max_connections:
            return True
        idle = [
            connection for connection in self.connections if connection.established and not connection.load
        ]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since_s).close()
        return True

    def _open(self, host: Host) -> ServerConnection | None:
        family = socket.AF_INET6 if ":" in host[1][0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_DGRAM)
        except OSError as error:  # no descriptor or memory: no evidence against the server
            log.error("no socket: %s", error)
            if is_descriptor_exhaustion(error):
                descriptor_budget_of(self.loop).reclaim(self.loop.time())  # for the next one
            return None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            # A connected socket receives from that address only, and reports a closed port as an error.
            sock.connect(host[1])
        except OSError as error:
            log.error("cannot connect a UDP socket to %s: %s", host[0], error)
            sock.close()
            return None
        self.count["opened"] += 1
        connection = ServerConnection(
            self, host, sock, replace(self._settings, server_name=self._name or host[0])
        )
        if not connection.closed:
            self._connections.setdefault(host, set()).add(connection)
        return connection

    def on_established(self, connection: ServerConnection) -> None:
        """Called when the handshake of a connection has completed."""
        self.availability.record_success(connection.host[0])
        self._preconnecting.discard(connection)

    def failure_signal_of(self, connection: ServerConnection) -> ConnectionSignal | None:
        """Return the signal of a connection that could not be established. None if HTTP/1.1 is available as a
        fallback: UDP alone may be blocked on the path."""
        return None if self.availability.fallback else connection.failure_signal

    def outcome_without_connection(self) -> Outcome:
        """Return the outcome of an attempt whose connection could not be established.

        With HTTP/1.1 as a fallback it says nothing about the server, whose score it must not lower: the next
        attempt would come so late that HTTP/3 is tried again first, and fails again.
        """
        return Outcome.NOT_SENT if self.availability.fallback else outcome_of(AttemptEnd.NOT_UP, False)

    def remove(self, connection: ServerConnection, failed: bool) -> None:
        """Remove a connection that has ended; `failed`: it could not be established."""
        connections = self._connections.get(connection.host, set())
        connections.discard(connection)
        if not connections:
            self._connections.pop(connection.host, None)
        if failed:
            self.count["not_up"] += 1
            backoff_left_s = self.availability.backoff_left_s(connection.host[0], self.loop.time())
            self.availability.record_failure(connection.host[0], self.loop.time())
            if self.availability.fallback and not backoff_left_s:
                log.warning("%s does not answer by HTTP/3: HTTP/1.1 for now", connection.host[0])
            signal = self.failure_signal_of(connection)
            if connection in self._preconnecting and signal is not None:
                self.on_signal(connection.host[0], signal)
        self._preconnecting.discard(connection)

    def protocol_of(self, server: str) -> str:
        """Return the protocol in use for a server, for the operators' status."""
        if not self.availability.is_selected(server):
            return "HTTP/1.1"
        backoff_left_s = self.availability.backoff_left_s(server, self.loop.time())
        return f"HTTP/1.1: HTTP/3 failed, again in {backoff_left_s:.0f} s" if backoff_left_s else "HTTP/3"

    def close(self) -> None:
        """Close all connections."""
        self._sweep_timer.cancel()
        for connection in self.connections:
            connection.draining = True
            connection.close()

    def _sweep(self) -> None:
        now_s = self.loop.time()
        for connection in self.connections:
            if not self._errors.run("http3_server_check", partial(connection.check, now_s, self._idle_s)):
                self._errors.run("http3_server_check", connection.close, connection.host[0])
