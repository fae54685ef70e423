"""One connection to a host: one request at a time, and the answer that is read from it.

Nothing here sends a request twice. What could be told as "never ran" and as "may have run" is told
as the latter, unless the last byte was never handed to the socket.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING, cast

import httptools

from cloverrouter.interface import Outcome
from cloverrouter.proxy.exchange import Exchange, chunk, outcome_of
from cloverrouter.proxy.messages import MAX_BODY, MAX_HEAD, MOST_BODY, Answer, AnswerSink
from cloverrouter.proxy.sockets import has_unread_data
from cloverrouter.proxy.wake import data_age_s

if TYPE_CHECKING:
    from cloverrouter.proxy.server_pool import ServerPool

READ_BYTES = 64 * 1024
PIECE_BYTES = 32 * 1024
MOST_BYTES = 2 * MOST_BODY  # of one answer with its heads, chunk sizes and all
STALL_S = 10.0  # a long answer of which nothing comes for so long has ended
log = logging.getLogger(__name__)


class ServerConnection(asyncio.BufferedProtocol):
    """One connection to a host."""

    def __init__(self, pool: ServerPool, sock: socket.socket) -> None:
        self._pool = pool
        self._sock = sock
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._received = 0
        self._sink: AnswerSink | None = None  # of a long answer that is being passed on
        self._stuck = False  # its client has enough for now
        self.moved_s = 0.0  # when something of it last came, on the clock that stands still with us
        self._waited_ms: float | None = 0.0  # what came last had lain here for so long
        self.idle_since = 0.0
        self.idle_s = 0.0  # that it stood idle before its last use
        self._aborted = False  # ended from this side
        self._begin()

    def _begin(self) -> None:
        self._body = bytearray()
        self._in_head = True
        self._framed = self._to_end = False
        self._length: int | None = None
        self._spoilt = ""  # why what comes can't become a good answer any more
        self._report: bytes | None = None
        self._content_type = b""
        self._never_ran = self._complete = self._surplus = False
        self._keep = True

    def clean(self) -> bool:
        """May a request go out here? Danger: what came late would be taken for its answer."""
        return self._transport is not None and not has_unread_data(self._sock)

    def send(self, exchange: Exchange) -> None:
        assert self._exchange is None
        if self._transport is None:  # the host has closed it before anything could be written
            self._pool.used(self, True)
            exchange.end(Outcome.CONNECT_FAILED)
            return
        self._received = 0
        self.moved_s = self._pool.upstream.ran_s()
        self._exchange = exchange
        exchange.connection = self
        head, body = exchange.message
        if len(body) <= MAX_BODY:
            self._transport.write(head + body)
        else:  # danger: joined, a long body would be held twice
            self._transport.write(head)
            self._transport.write(body)
        exchange.message = b"", b""
        if exchange.upload is not None:
            exchange.upload.attach(self)
        self._look_whether_written()

    def _look_whether_written(self) -> None:
        exchange, transport = self._exchange, self._transport
        if exchange is None or transport is None or transport.get_write_buffer_size():
            return
        if exchange.upload is None or exchange.upload.ended:
            exchange.written = True
        else:
            exchange.upload.go_on()

    # A `BodySink`: the rest of a body that is passed on as it comes

    def more(self, data: bytes) -> bool:
        exchange, transport = self._exchange, self._transport
        if exchange is None or transport is None or exchange.upload is None:
            return False
        self.moved_s = self._pool.upstream.ran_s()
        transport.write(data if exchange.upload.length is not None else chunk(data))
        return not transport.get_write_buffer_size()

    def whole(self) -> None:
        exchange, transport = self._exchange, self._transport
        if exchange is not None and transport is not None and exchange.upload is not None:
            if exchange.upload.length is None:
                transport.write(b"0\r\n\r\n")
            self._look_whether_written()

    def abort(self) -> None:
        self._aborted = True
        self._exchange = None
        self._pool.forget(self)
        if self._transport is not None:
            self._transport.abort()

    # asyncio.BufferedProtocol: one buffer for all, since each read is used up at once

    def get_buffer(self, sizehint: int) -> memoryview:
        # Of a long answer less is read at once: as much may wait for its client, of each of many.
        return self._pool.upstream.buffer[: READ_BYTES if self._sink is None else PIECE_BYTES]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        # With no high-water mark, `resume_writing` tells when the last byte has gone to the socket.
        self._transport.set_write_buffer_limits(high=0)
        self._pool.upstream.connections.add(self)
        self._pool.up.add(self)

    def resume_writing(self) -> None:
        self._look_whether_written()

    def buffer_updated(self, nbytes: int) -> None:
        if self._exchange is None or self._parser is None:
            self.abort()  # noise on an idle connection: the next answer could not be told from it
            return
        self._received += nbytes
        upstream = self._pool.upstream
        if upstream.wake.since_s(upstream.loop.time()) is None:
            self._waited_ms = 0.0
        else:
            age_s = data_age_s(self._sock)
            self._waited_ms = None if age_s is None else age_s * 1000
        try:
            self._parser.feed_data(self._pool.upstream.buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._complete:
                self._surplus = True
            else:
                self._spoilt = self._spoilt or str(error)
        if not self._complete and self._received > (MAX_HEAD if self._in_head else MOST_BYTES):
            self._spoilt = self._spoilt or "no end"
        self._go_on()

    def _go_on(self) -> None:
        """What the bytes read just now have brought."""
        self.moved_s = self._pool.upstream.ran_s()
        if self._complete:
            self._finish()
        elif self._spoilt:
            self._lose(self._spoilt)
        elif self._body and (self._sink is not None or max(len(self._body), self._length or 0) > MAX_BODY):
            self._pass_on()

    def _pass_on(self) -> None:
        """A long answer: its pieces go on as they come, as fast as the client reads them."""
        exchange, transport = self._exchange, self._transport
        assert exchange is not None and transport is not None
        if self._sink is None:
            answer = self._answer(b"")
            if outcome_of(answer) is Outcome.OK and exchange.written and exchange.on_begin is not None:
                self._sink = exchange.on_begin(answer)
            if self._exchange is not exchange:
                return  # given up in that very step
            if self._sink is None:
                self._lose("too large")
                return
            self._sink.on_ready = self._ready
        piece = bytes(self._body)
        self._body.clear()
        if piece and not self._sink.write(piece) and not self._stuck:
            self._stuck = True
            transport.pause_reading()

    def _ready(self) -> None:
        if self._stuck and self._transport is not None:
            self._stuck = False
            self.moved_s = self._pool.upstream.ran_s()
            self._transport.resume_reading()

    @property
    def stalled(self) -> bool:
        """Is the host holding back the rest of a long answer, or does it not read the rest of a body?"""
        if self._pool.upstream.ran_s() - self.moved_s <= STALL_S or self._exchange is None:
            return False
        if self._sink is not None:
            return not self._stuck
        upload, transport = self._exchange.upload, self._transport
        unread = transport is not None and transport.get_write_buffer_size() > 0
        return unread and upload is not None and not upload.ended

    def stall(self) -> None:
        self._lose("held back")

    def _answer(self, body: bytes) -> Answer:
        assert self._parser is not None
        return Answer(
            self._parser.get_status_code(),
            body,
            self._content_type,
            self._never_ran,
            self._report,
            self._length,
            self._waited_ms,
        )

    def eof_received(self) -> None:
        self._pool.ended(self, self._aborted)
        # Framed by its connection's end, and said to be so: whole when that comes in order.
        if self._exchange is not None and self._to_end and not self._in_head and not self._spoilt:
            self._complete, self._keep = True, False
            self._finish()
        else:
            self._lose("")

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._parser = None  # danger: the two hold each other, and would wait for the cycle collector
        self._pool.upstream.connections.discard(self)
        self._pool.ended(self, self._aborted)
        self._lose("")

    def _lose(self, spoilt: str) -> None:
        """The connection is of no further use, nor is what came on it."""
        exchange, sink = self._exchange, self._sink
        self._sink = None
        if exchange is not None:
            why = spoilt or "closed by the server"
            self._pool.upstream.errors.recorder.note("server_connection_lost", self._pool.host[0], why)
        self.abort()
        if exchange is None:
            return
        if sink is not None:
            self._pool.upstream.errors.run("answer_cut", sink.cut, self._pool.host[0])
        if not self._received and not spoilt:
            self._pool.used(self, True)  # not a byte of an answer: it may have been gone before its use
        if not exchange.written:
            exchange.end(Outcome.CONNECT_FAILED)
        elif spoilt:
            log.warning("spoilt answer from %s: %s", self._pool.host[0], spoilt)
            exchange.end(Outcome.SPOILT)
        else:
            exchange.end(Outcome.RESET)

    def _finish(self) -> None:
        assert self._exchange is not None and self._parser is not None
        if not self._exchange.written and self._parser.get_status_code() == 200:
            # Danger: no host has made this for a request that it has not got whole; it is a copy of the last.
            self._lose("ahead of its request's end")
            return
        exchange, self._exchange = self._exchange, None
        self._pool.used(self, False)
        exchange.connection = None
        sink, self._sink = self._sink, None
        answer = self._answer(bytes(self._body))
        if sink is not None:
            self._finish_sink(sink, answer.body)
        if self._surplus or not self._keep or not exchange.written:
            self.abort()
        else:
            self._pool.put(self)
        self._begin()  # an idle connection holds no answer
        exchange.end(outcome_of(answer), answer)

    def _finish_sink(self, sink: AnswerSink, rest: bytes) -> None:
        """Pass on the last of a long answer. An error of its client's connection is not this server's: the
        attempt ends as it did, and the connection goes on."""
        try:
            if rest:
                sink.write(rest)
            sink.finish()
        except Exception as error:
            self._pool.upstream.errors.report("answer_end", error, self._pool.host[0])
        if self._stuck and self._transport is not None:
            self._stuck = False
            self._transport.resume_reading()

    # httptools

    def on_message_begin(self) -> None:
        if self._complete:
            self._surplus = True  # more than was asked for: not to be taken for the next answer

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete or not self._in_head:
            return  # danger: a trailer behind the body would change what the head has said
        match name.lower():
            case b"x-server-load":
                self._report = value
            case b"x-not-processed":
                self._never_ran = value.strip() == b"1"
            case b"content-type":
                self._content_type = value
            case b"content-length":
                self._framed, self._length = True, int(value)
                if self._length > MOST_BODY:  # danger: gigabytes would be read to no use
                    self._spoilt = self._spoilt or "too large"
            case b"connection":
                self._to_end = b"close" in value.lower()
            case b"transfer-encoding":
                self._framed, self._length = value.strip().lower() == b"chunked", None

    def on_headers_complete(self) -> None:
        if self._complete:
            return
        self._in_head = False
        assert self._parser is not None
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            self._spoilt = self._spoilt or "unknown version"
        # Danger: framed by nothing but the connection's end, a part can't be told from the whole, unless
        # the host has said that this is its way.
        elif not self._framed and not self._to_end and self._parser.get_status_code() >= 200:
            self._spoilt = self._spoilt or "no length"
        self._to_end = self._to_end and not self._framed

    def on_body(self, body: bytes) -> None:
        if not self._complete and not self._spoilt:
            self._body += body  # what one read brings, at most, on top of what is held whole

    def on_message_complete(self) -> None:
        if self._complete or self._spoilt:
            return
        assert self._parser is not None
        if self._parser.get_status_code() < 200:
            self._begin()  # an interim answer: the real one follows
            return
        self._keep = self._parser.should_keep_alive()
        self._complete = True
