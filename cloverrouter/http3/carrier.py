"""HTTP/3 to servers: attempts to streams, and one outcome back for each. Carries out, decides nothing.

How a server is reached stands in `http3.ways`, what an end means in `http3.attempts`. Servers that do not
speak HTTP/3, or do not now, are left to the carrier of HTTP/1.1. The UDP port is the one of the same number
as the server's listed TCP port.
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

from cloverrouter.http3.attempts import STALL_S, Bad, End, Reply, outcome_of
from cloverrouter.http3.fields import request_fields
from cloverrouter.http3.link import Link
from cloverrouter.http3.ways import HANDSHAKES, Speech, choose, leads_nowhere
from cloverrouter.http3.wire import Away, Http3Client, Malformed, NetworkAddress, QuicClient
from cloverrouter.interface import Outcome, Sign
from cloverrouter.proxy.carrier import Carrier as PlainCarrier
from cloverrouter.proxy.carrier import Sent
from cloverrouter.proxy.containment import Periodic, contained_errors_of
from cloverrouter.proxy.descriptors import missing, room_of
from cloverrouter.proxy.exchange import Host, OnBegin, OnEnd
from cloverrouter.proxy.exchange import outcome_of as outcome_of_answer
from cloverrouter.proxy.messages import Answer, AnswerSink, Call
from cloverrouter.proxy.upstream import IDLE_SHARE

SWEEP_S = 0.5
READ_AT_ONCE = 16  # datagrams, then the others have their turn
MOST_DATAGRAM = 65_535
RECEIVE_BYTES = 256 * 1024  # that may wait in a connection's socket
PASSING_BYTES = 32 * 1024  # of a long body may wait for its server before its client is to wait, too
ALIVE_S = 3.0  # a server that owes an answer and is silent for so long is asked whether it is there
log = logging.getLogger(__name__)


class Exchange:
    """One attempt; the node's `Sent`. Ends once, by `on_end` or silently by `abandon`."""

    __slots__ = (
        "call", "full", "lane", "moved_s", "on_begin", "on_end", "on_open", "reply", "sent_s", "sign", "sink",
        "stream", "stuck", "timeout_ms", "until_s", "written",
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
        self.until_s = float("inf")  # from then on it is not to go out any more
        self.on_end: OnEnd | None = on_end
        self.on_begin, self.on_open = on_begin, on_open
        self.sign: Sign | None = None
        self.written = False
        self.lane: Lane | None = None
        self.stream: int | None = None  # once its head was handed to the connection
        self.sent_s = self.moved_s = 0.0
        self.reply = Reply()
        self.sink: AnswerSink | None = None
        self.stuck = False  # the client has enough of a long answer for now
        self.full = False  # the server has enough of a long body for now

    @property
    def begun(self) -> bool:
        return self.stream is not None

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(outcome, answer)

    def abandon(self) -> None:
        self.on_end = None
        if self.lane is not None:
            self.lane.abandoned(self)

    # A `BodySink`: the rest of a body that is passed on as it comes

    def more(self, data: bytes) -> bool:
        if self.lane is None or self.stream is None:
            return False
        self.full = not self.lane.pass_on(self, data, end=False)
        return not self.full

    def whole(self) -> None:
        if self.lane is not None and self.stream is not None:
            self.lane.pass_on(self, b"", end=True)

    def look(self, waiting: int) -> None:
        """Some of its body may have been read."""
        if self.full and waiting < PASSING_BYTES and self.call.upload is not None:
            self.full = False
            self.call.upload.go_on()


class Lane(Link):
    """One QUIC connection to a server, on a socket of its own."""

    def __init__(self, carrier: Carrier, host: Host, sock: socket.socket, told: QuicConfiguration) -> None:
        self.quic = QuicClient(told)
        super().__init__(carrier.loop, self.quic, host[0], carrier.count)
        self.host, self._carrier, self._sock = host, carrier, sock
        self.up = False
        self.leaving = False  # it takes no more requests, and ends with those that it has
        self.sign: Sign | None = None  # if it does not come up
        self.idle_since = self.heard_s
        self._name = told.server_name or ""
        self._nowhere = False
        self._http: Http3Client | None = None
        self._waiting: list[Exchange] = []  # for it to come up
        self._out: dict[int, Exchange] = {}
        self._unsent: dict[int, Exchange] = {}
        self._due = carrier.loop.call_later(carrier.handshake_s, self._too_late)
        carrier.loop.add_reader(sock, self._read)
        self._guarded(lambda: self.quic.connect(host[1], now=self.heard_s))
        self.flush()

    # A `ways.Lane`

    @property
    def usable(self) -> bool:
        return not (self.over or self.leaving or self._nowhere)

    @property
    def load(self) -> int:
        return len(self._waiting) + len(self._out)

    @property
    def room(self) -> int:
        return self.quic.room

    # A `Link`

    def _read(self) -> None:
        for _ in range(READ_AT_ONCE):
            if self.over:
                return
            try:
                data = self._sock.recv(MOST_DATAGRAM)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                self._unreachable(error)
                return
            if self.quic.is_reset(data):
                # Danger: read by the library it would be noise, and all that is out would wait in vain.
                self._count["reset"] += 1
                self._end()
                self._carrier.on_sign(self.host[0], Sign.HUNG_UP)
                return
            self._nowhere = False
            self.receive(data, self.host[1])
        if not self.over:
            self.settle()

    def _send(self, data: bytes, address: NetworkAddress) -> None:
        if self.over:
            return
        try:
            self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            self._count["unsent"] += 1  # a packet that is lost is sent again
        except OSError as error:
            self._unreachable(error)

    def _unreachable(self, error: OSError) -> None:
        """The server's machine says that nobody is at that port."""
        if isinstance(error, ConnectionRefusedError):
            self.sign = Sign.REFUSED
        self._end()

    def _flushed(self) -> None:
        for number, exchange in list(self._unsent.items()):
            if self.quic.sent(number):
                exchange.written, exchange.sent_s = True, self._loop.time()
                del self._unsent[number]
            elif exchange.full:
                exchange.look(self.quic.waiting(number))

    def _too_late(self) -> None:
        """Its handshake has not come to its end in time."""
        self.sign = Sign.UNANSWERED
        self._end()

    def _happened(self, event: quic.QuicEvent) -> None:
        if isinstance(event, quic.HandshakeCompleted):
            self._came_up()
        elif isinstance(event, quic.ConnectionTerminated):
            self._end()
        elif self._http is not None:
            http = self._http
            for told in self._guarded(lambda: http.handle_event(event)) or ():
                self._said(told)
            if isinstance(event, quic.StreamReset | quic.StopSendingReceived):
                self._ended_by_server(event)

    def _came_up(self) -> None:
        self._due.cancel()
        self._http = self._guarded(lambda: Http3Client(self.quic))
        if self.over:
            return
        self.up = True
        self.idle_since = self._loop.time()
        self._carrier.came_up(self)
        waiting, self._waiting = self._waiting, []
        for exchange in waiting:
            if exchange.on_open is not None:
                exchange.on_open()
            if self.over or self.leaving:
                exchange.lane = None
                exchange.end(outcome_of(End.NOT_UP, False))
            elif self._loop.time() >= exchange.until_s or exchange.call.left():
                # Danger: after a stop this is read before the time-out that is due, too; and the client may
                # have gone meanwhile.
                exchange.lane = None
                exchange.end(Outcome.NOT_SENT)
            else:
                self._begin(exchange)
        self.flush_soon()

    # Attempts

    def take(self, exchange: Exchange) -> None:
        exchange.lane = self
        if self.up:
            if exchange.on_open is not None:
                exchange.on_open()
            self._begin(exchange)
            self.flush_soon()
        else:
            self._waiting.append(exchange)

    def _begin(self, exchange: Exchange) -> None:
        http, call, upload = self._http, exchange.call, exchange.call.upload
        if exchange.on_end is None or http is None:
            exchange.lane = None
            return  # given up in the meantime: it must not go out any more
        number = exchange.stream = self.quic.get_next_available_stream_id()
        self._out[number] = self._unsent[number] = exchange
        exchange.moved_s = self._loop.time()
        fields = request_fields(call, self._name, exchange.timeout_ms)
        alone = upload is None and not call.body
        self._guarded(lambda: http.send_headers(number, fields, alone))
        if call.body and not self.over:
            self._guarded(lambda: http.send_data(number, call.body, upload is None))
        if upload is not None and not self.over:
            upload.attach(exchange)

    def pass_on(self, exchange: Exchange, data: bytes, end: bool) -> bool:
        """More of a body. False: enough for now."""
        http, number = self._http, exchange.stream
        if self.over or http is None or number is None or not self.quic.writable(number):
            return False
        exchange.moved_s = self._loop.time()
        self._guarded(lambda: http.send_data(number, data, end))
        self.flush_soon()
        return not self.over and self.quic.waiting(number) < PASSING_BYTES

    def abandoned(self, exchange: Exchange) -> None:
        """Given up from our side."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)
        elif exchange.stream in self._out:
            if exchange.written and leads_nowhere(self.heard_s, exchange.sent_s):
                self._nowhere = True
            self._drop(exchange)
        exchange.lane = None

    def _drop(self, exchange: Exchange, answered: bool = False) -> None:
        """Its stream is of no further use: what has not gone out never will."""
        number = exchange.stream
        assert number is not None
        del self._out[number]
        self._unsent.pop(number, None)
        self.quic.hold(number, False)
        if not self._out:
            self.idle_since = self._loop.time()
        if not self.over:
            self._guarded(lambda: self._cancel(number, answered))
            self.flush_soon()

    def _cancel(self, number: int, answered: bool) -> None:
        if self.quic.readable(number):
            self.quic.stop_stream(number, ErrorCode.H3_REQUEST_CANCELLED)
        # Danger: a packet that was lost would be sent again, and the request run long after it was given up.
        if not answered or not self.quic.sent(number):
            self.quic.reset_stream(number, ErrorCode.H3_REQUEST_CANCELLED)

    def _lose(self, exchange: Exchange, end: End, code: int = 0, why: str = "") -> None:
        """It ends without an answer."""
        outcome = outcome_of(end, exchange.written, code)
        if outcome is Outcome.SPOILT:
            log.warning("spoilt answer from %s: %s", self.host[0], why or end.value)
        self._count[end.name.lower()] += 1
        self._drop(exchange)
        exchange.lane = None
        if exchange.sink is not None:
            exchange.sink.cut()
        exchange.end(outcome)

    def _ended_by_server(self, event: quic.StreamReset | quic.StopSendingReceived) -> None:
        exchange = self._out.get(event.stream_id)
        if exchange is None:
            return
        if isinstance(event, quic.StreamReset) or event.error_code == ErrorCode.H3_REQUEST_REJECTED:
            self._lose(exchange, End.RESET, event.error_code)
        # Else the rest of the body is not wanted, and an answer is to come.

    # Answers

    def _said(self, told: h3.H3Event) -> None:
        if isinstance(told, Away):
            self._away(told.bound)
            return
        if not isinstance(told, h3.HeadersReceived | h3.DataReceived | Malformed):
            return
        exchange = self._out.get(told.stream_id)
        if exchange is None:
            return  # given up already
        exchange.moved_s = self._loop.time()
        reply = exchange.reply
        try:
            if isinstance(told, Malformed):
                raise Bad(told.why)
            if isinstance(told, h3.HeadersReceived):
                reply.head(told.headers)
            else:
                reply.body(told.data)
            if told.stream_ended:
                reply.whole()
                self._finish(exchange)
            elif reply.status and reply.held and (exchange.sink is not None or reply.long):
                self._pass_on(exchange)
        except Bad as why:
            self._lose(exchange, End.MALFORMED, why=str(why))

    def _answer(self, reply: Reply, body: bytes) -> Answer:
        return Answer(reply.status, body, reply.content_type, reply.never_ran, reply.report, reply.length)

    def _pass_on(self, exchange: Exchange) -> None:
        """A long answer: its pieces go on as they come, as fast as the client reads them."""
        reply = exchange.reply
        if exchange.sink is None:
            answer = self._answer(reply, b"")
            if outcome_of_answer(answer) is Outcome.OK and exchange.written and exchange.on_begin is not None:
                exchange.sink = exchange.on_begin(answer)
            if exchange.lane is not self:
                return  # given up in that very step
            if exchange.sink is None:
                raise Bad("too large")
            exchange.sink.on_ready = lambda: self._ready(exchange)
        piece = bytes(reply.held)
        reply.held.clear()
        if not exchange.sink.write(piece) and not exchange.stuck and exchange.stream is not None:
            exchange.stuck = True
            self.quic.hold(exchange.stream, True)

    def _ready(self, exchange: Exchange) -> None:
        if exchange.stuck and exchange.stream is not None and not self.over:
            exchange.stuck = False
            exchange.moved_s = self._loop.time()
            self.quic.hold(exchange.stream, False)
            self.flush_soon()

    def _finish(self, exchange: Exchange) -> None:
        reply, sink = exchange.reply, exchange.sink
        self._drop(exchange, answered=True)
        exchange.lane = None
        answer = self._answer(reply, bytes(reply.held))
        if sink is not None:
            if answer.body:
                sink.write(answer.body)
            sink.finish()
        exchange.end(outcome_of_answer(answer), answer)

    # Its end

    def _away(self, bound: int) -> None:
        """The server is about to go: what it has not looked at may be sent elsewhere."""
        self.leave()
        for number, exchange in list(self._out.items()):
            if number >= bound:
                self._lose(exchange, End.AWAY)

    def leave(self) -> None:
        """No more requests on it; it ends with those that it has, at the next look after them."""
        self.leaving = True
        if not self.load:
            self.close()

    def close(self) -> None:
        if not self.over:
            self._guarded(lambda: self.quic.close(error_code=ErrorCode.H3_NO_ERROR))
            self.flush()
            self._end()

    def _end(self) -> None:
        if self.over:
            return
        self.over = True
        self._stop_timer()
        self._due.cancel()
        self._loop.remove_reader(self._sock)
        self._sock.close()
        # Danger: one that is not wanted any more would speak against its server's HTTP/3.
        self._carrier.ended(self, failed=not self.up and not self.leaving)
        waiting, self._waiting = self._waiting, []
        for exchange in waiting:
            exchange.sign, exchange.lane = self._carrier.sign_of(self), None
            exchange.end(outcome_of(End.NOT_UP, False))
        for exchange in list(self._out.values()):
            self._lose(exchange, End.CLOSED)

    def check(self, now_s: float, idle_s: float) -> None:
        """Danger: what nobody ends holds a socket, and its client's connection."""
        for exchange in list(self._out.values()):
            if now_s - exchange.moved_s > STALL_S and self._stalls(exchange):
                self._lose(exchange, End.STALLED)
        if not self.up or self.over:
            return
        if not self.load:
            # The server ends it, or has forgotten it, at its own time: half of that is ours.
            if now_s - self.idle_since > min(idle_s, self.quic.idle_s * IDLE_SHARE) or not self.usable:
                self.close()
        elif now_s - self.heard_s > ALIVE_S:
            self._guarded(lambda: self.quic.send_ping(1))
            self.flush_soon()

    def _stalls(self, exchange: Exchange) -> bool:
        """Does the server hold back the rest of a long answer, or not read the rest of a body?"""
        if exchange.sink is not None:
            return not exchange.stuck
        upload = exchange.call.upload
        return exchange.full and upload is not None and not upload.ended


class Carrier:
    """The connections to servers that speak HTTP/3, and `plain` for all others. The node's `Carrier`."""

    def __init__(
        self,
        plain: PlainCarrier,
        speech: Speech,
        settings: QuicConfiguration,
        name: str,
        most: int,
        connect_timeout_ms: float,
        idle_ms: float,
        on_sign: Callable[[str, Sign], None],
    ) -> None:
        """`name`: the one in servers' certificates, empty for each server's own id; `most`: connections."""
        self.plain, self.speech, self.on_sign = plain, speech, on_sign
        self.loop = asyncio.get_running_loop()
        self.count: Counter[str] = Counter()
        self.handshake_s = HANDSHAKES * connect_timeout_ms / 1000
        self._settings, self._name, self._most = settings, name, most
        self._idle_s = idle_ms * IDLE_SHARE / 1000
        self._lanes: dict[Host, set[Lane]] = {}
        self._ahead: set[Lane] = set()  # opened before a request needed them
        self._errors = contained_errors_of(self.loop)
        self._sweeping = Periodic(self.loop, self._errors, "http3_server_sweep", SWEEP_S, self._sweep)

    @property
    def lanes(self) -> list[Lane]:
        return [lane for lanes in self._lanes.values() for lane in lanes]

    def retrust(self, settings: QuicConfiguration) -> None:
        """Believe servers by these settings, on connections from now on."""
        self._settings = settings

    # The node's

    def send(
        self,
        host: Host,
        call: Call,
        timeout_ms: float,
        on_end: OnEnd,
        on_begin: OnBegin | None = None,
        on_open: Callable[[], None] | None = None,
    ) -> Sent:
        if not self.speech.by_http3(host[0], self.loop.time()):
            return self.plain.send(host, call, timeout_ms, on_end, on_begin, on_open)
        exchange = Exchange(call, timeout_ms, on_end, on_begin, on_open)
        if call.upload is None:
            exchange.until_s = self.loop.time() + timeout_ms / 1000
        choice = choose(self._lanes.get(host, ()), on_open is not None, self._may_open())
        lane = choice.lane
        if lane is None and choice.open:
            lane = self._open(host)
        if lane is None:
            exchange.end(Outcome.NOT_SENT)  # our own lack: it says nothing about the server
        elif lane.over:
            exchange.sign = self.sign_of(lane)
            exchange.end(outcome_of(End.NOT_UP, False))
        else:
            lane.take(exchange)
        return exchange

    def open_ahead(self, host: Host) -> None:
        if not self.speech.by_http3(host[0], self.loop.time()):
            self.plain.open_ahead(host)
        elif len(self.lanes) < self._most // 2 and (lane := self._open(host)) is not None:
            self._ahead.add(lane)

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        self.plain.keep_only(wanted)
        self.speech.keep_only(name for name, _ in wanted)
        for host in [h for h in self._lanes if h not in wanted]:
            for lane in list(self._lanes.get(host, ())):
                lane.leave()

    # Connections

    def _may_open(self) -> bool:
        if len(self.lanes) < self._most:
            return True
        idle = [lane for lane in self.lanes if lane.up and not lane.load]
        if not idle:
            return False
        min(idle, key=lambda lane: lane.idle_since).close()
        return True

    def _open(self, host: Host) -> Lane | None:
        family = socket.AF_INET6 if ":" in host[1][0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_DGRAM)
        except OSError as error:  # no descriptor, no memory: not the server's fault
            log.error("no socket: %s", error)
            if missing(error):
                room_of(self.loop).make(self.loop.time())  # for the next one
            return None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            # Connected, it gets datagrams of that address only, and its machine's word that nobody is there.
            sock.connect(host[1])
        except OSError as error:
            log.error("no way to %s: %s", host[0], error)
            sock.close()
            return None
        self.count["opened"] += 1
        lane = Lane(self, host, sock, replace(self._settings, server_name=self._name or host[0]))
        if not lane.over:
            self._lanes.setdefault(host, set()).add(lane)
        return lane

    def came_up(self, lane: Lane) -> None:
        self.speech.came_up(lane.host[0])
        self._ahead.discard(lane)

    def sign_of(self, lane: Lane) -> Sign | None:
        """What a connection that did not come up says of its server. Where HTTP/1.1 is left: nothing, its
        UDP may be blocked on the way."""
        return None if self.speech.fallback else lane.sign

    def ended(self, lane: Lane, failed: bool) -> None:
        """`failed`: it never came up."""
        lanes = self._lanes.get(lane.host, set())
        lanes.discard(lane)
        if not lanes:
            self._lanes.pop(lane.host, None)
        if failed:
            self.count["not_up"] += 1
            resting = self.speech.resting_s(lane.host[0], self.loop.time())
            self.speech.failed(lane.host[0], self.loop.time())
            if self.speech.fallback and not resting:
                log.warning("%s does not answer by HTTP/3: HTTP/1.1 for now", lane.host[0])
            sign = self.sign_of(lane)
            if lane in self._ahead and sign is not None:
                self.on_sign(lane.host[0], sign)
        self._ahead.discard(lane)

    def told(self, server: str) -> str:
        """For operators: how a server is spoken to."""
        if not self.speech.named(server):
            return "HTTP/1.1"
        resting_s = self.speech.resting_s(server, self.loop.time())
        return f"HTTP/1.1: HTTP/3 failed, again in {resting_s:.0f} s" if resting_s else "HTTP/3"

    def close(self) -> None:
        self._sweeping.cancel()
        for lane in self.lanes:
            lane.leaving = True
            lane.close()

    def _sweep(self) -> None:
        now_s = self.loop.time()
        for lane in self.lanes:
            if not self._errors.run("http3_server_check", partial(lane.check, now_s, self._idle_s)):
                self._errors.run("http3_server_check", lane.close, lane.host[0])
