"""One HTTP/1.1 connection to a host: sends one request at a time and reads its answer.

Never sends a request twice. An attempt that failed is reported as one that may have run, unless its last byte
was never handed to the socket.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING, cast

import httptools

from cloverrouter.interface import Outcome
from cloverrouter.proxy.exchange import Exchange, encode_chunk, outcome_of
from cloverrouter.proxy.memory import SMALL_READ_BYTES, MemoryAccount
from cloverrouter.proxy.messages import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    STREAMING_THRESHOLD_BYTES,
    Answer,
    AnswerProgress,
    AnswerSink,
)
from cloverrouter.proxy.sockets import has_unread_data
from cloverrouter.proxy.wake import data_age_s

if TYPE_CHECKING:
    from cloverrouter.proxy.server_pool import ServerPool

READ_BUFFER_BYTES = 64 * 1024
STREAM_READ_BYTES = 32 * 1024
MAX_RESPONSE_BYTES = 2 * MAX_BODY_BYTES  # of one answer, with heads and chunk framing
# A read may hold a whole head, or the end of a body, beside the part that has no byte of a body.
MAX_OVERHEAD_BYTES = MAX_HEAD_BYTES + READ_BUFFER_BYTES
MEMORY_CHECK_INTERVAL_S = 0.02  # while an answer is not read for lack of memory
STALL_TIMEOUT_S = 10.0  # a streamed body without progress for this time is aborted
log = logging.getLogger(__name__)


class ServerConnection(asyncio.BufferedProtocol):
    """One connection to a host."""

    def __init__(self, pool: ServerPool, sock: socket.socket) -> None:
        self._pool = pool
        self._sock = sock
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self.received_bytes = 0
        self._sink: AnswerSink | None = None  # receiver of the answer that is being streamed
        self._reading_paused = False  # backpressure: the client reads too slowly
        self._memory_timer: asyncio.TimerHandle | None = None  # set while it is not read for lack of memory
        self.last_progress_s = 0.0  # of the last byte, on the clock that excludes process pauses
        self._unread_ms: float | None = 0.0  # how long the last read data was in the socket; None: unknown
        self._memory = MemoryAccount(pool.upstream.memory)
        self.opened_s = pool.upstream.loop.time()
        self.idle_since = 0.0
        self.idle_before_use_s = 0.0  # idle time before its last use
        self._aborted = False  # closed by this process
        self._reset_response()

    def _reset_response(self) -> None:
        self._body = bytearray()
        self._overhead_bytes = 0  # received since the last byte of the body
        self._body_bytes = 0  # of the body so far, including those already passed on
        self._in_head = True
        self._is_served = False  # its status is 200
        self._framed = self._until_close = False
        self._length: int | None = None
        self._malformed = ""  # the reason why the answer is malformed, if it is
        self._report: bytes | None = None
        self._content_type = b""
        self._never_ran = self._complete = self._extra_data = False
        self._keep_alive = True

    def is_clean(self) -> bool:
        """Whether a request may be sent here: unread data would be taken for its answer."""
        return self._transport is not None and not has_unread_data(self._sock)

    def send(self, exchange: Exchange) -> None:
        assert self._exchange is None
        if self._transport is None:  # closed by the host before anything was written
            self._pool.record_use(self, True)
            exchange.end(Outcome.CONNECT_FAILED)
            return
        self.received_bytes = 0
        self.last_progress_s = self._pool.upstream.active_time_s()
        self._exchange = exchange
        exchange.connection = self
        head, body = exchange.message
        if len(body) <= STREAMING_THRESHOLD_BYTES:
            self._transport.write(head + body)
        else:  # joining them would copy a large body
            self._transport.write(head)
            self._transport.write(body)
        exchange.message = b"", b""
        if exchange.upload is not None:
            exchange.upload.attach(self)
        self._check_written()

    def _check_written(self) -> None:
        exchange, transport = self._exchange, self._transport
        if exchange is None or transport is None or transport.get_write_buffer_size():
            return
        if exchange.upload is None or exchange.upload.ended:
            exchange.written = True
        else:
            exchange.upload.resume()

    # The methods of `BodySink`: the rest of a streamed request body

    def write_body(self, data: bytes) -> bool:
        exchange, transport = self._exchange, self._transport
        if exchange is None or transport is None or exchange.upload is None:
            return False
        self.last_progress_s = self._pool.upstream.active_time_s()
        transport.write(data if exchange.upload.length is not None else encode_chunk(data))
        return not transport.get_write_buffer_size()

    @property
    def unsent_bytes(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def finish_body(self) -> None:
        exchange, transport = self._exchange, self._transport
        if exchange is not None and transport is not None and exchange.upload is not None:
            if exchange.upload.length is None:
                transport.write(b"0\r\n\r\n")
            self._check_written()

    def abort(self) -> None:
        self._aborted = True
        self._exchange = None
        self._end_memory_pause()
        self._memory.hold(0)
        self._pool.discard(self)
        if self._transport is not None:
            self._transport.abort()

    # asyncio.BufferedProtocol; all connections share one buffer, since each read is consumed at once

    def get_buffer(self, sizehint: int) -> memoryview:
        # Streamed answers are read in smaller pieces: each of many may have one piece waiting for its client.
        upstream = self._pool.upstream
        return upstream.memory.view(
            upstream.buffer[: READ_BUFFER_BYTES if self._sink is None else STREAM_READ_BYTES]
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        # With a high-water mark of 0 `resume_writing` is called when the last byte has gone to the socket.
        self._transport.set_write_buffer_limits(high=0)
        self._pool.upstream.connections.add(self)
        self._pool.established.add(self)

    def resume_writing(self) -> None:
        self._check_written()

    def buffer_updated(self, nbytes: int) -> None:
        if self._exchange is None or self._parser is None:
            self.abort()  # unexpected data while idle could be taken for the next answer
            return
        self.received_bytes += nbytes
        upstream = self._pool.upstream
        if upstream.pause_detector.waiting_since_s(upstream.loop.time()) is None:
            self._unread_ms = 0.0
        else:
            age_s = data_age_s(self._sock)
            self._unread_ms = None if age_s is None else age_s * 1000
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(self._pool.upstream.buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._complete:
                self._extra_data = True
            else:
                self._malformed = self._malformed or str(error)
        if not self._complete and self.received_bytes > (
            MAX_HEAD_BYTES if self._in_head else MAX_RESPONSE_BYTES
        ):
            self._malformed = self._malformed or "response too large"
        self._overhead_bytes = 0 if self._body_bytes > body_bytes else self._overhead_bytes + nbytes
        if not self._in_head and self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._malformed = self._malformed or "chunk extensions or trailers are too long"
        self._process_read()

    def _process_read(self) -> None:
        """Handle the state of the answer after a read."""
        self.last_progress_s = self._pool.upstream.active_time_s()
        if self._complete:
            self._finish()
        elif self._malformed:
            self._fail(self._malformed)
        elif not self._in_head and (self._sink is not None or self._exceeds_buffer):
            self._stream_body()
        else:
            self._buffer_body()

    def _buffer_body(self) -> None:
        """Keep a part of an answer that is not known to be long.

        If the memory for it is not there, one of declared length is streamed. One without is not read until
        there is memory, since it must not begin early (`late_answers`).
        """
        if self._length is None:
            if not self._in_head and not self._memory.may_hold_answer(len(self._body)):
                self._pause_for_memory()
        elif not self._memory.may_hold(len(self._body)) and self._begin_stream():
            self._forward_body()
        if self._exchange is not None:
            self._memory.hold(len(self._body))

    def _pause_for_memory(self) -> None:
        if self._transport is not None and self._memory_timer is None:
            self._transport.pause_reading()
            self._wait_for_memory()

    def _wait_for_memory(self) -> None:
        loop = self._pool.upstream.loop
        self._memory_timer = loop.call_later(MEMORY_CHECK_INTERVAL_S, self._read_if_memory)

    def _read_if_memory(self) -> None:
        """Go on reading the answer if there is memory for the next part of it."""
        if self._memory.may_hold_answer(len(self._body) + SMALL_READ_BYTES):
            self._end_memory_pause()
        else:
            self._wait_for_memory()

    def _end_memory_pause(self) -> None:
        """Go on reading the answer, if it was paused for lack of memory."""
        timer, self._memory_timer = self._memory_timer, None
        if timer is not None:
            timer.cancel()
            if self._transport is not None:
                self._transport.resume_reading()

    @property
    def _exceeds_buffer(self) -> bool:
        """Whether the answer is known to be too long to be buffered as a whole."""
        return max(self._body_bytes, self._length or 0) > STREAMING_THRESHOLD_BYTES

    def stream_answer(self) -> bool:
        """Start to stream an answer that may be long, before its length is known; return whether it is
        streamed. Its first bytes are due when the request's time is over, and its end is not."""
        if self._sink is not None:
            return True
        if self.answer_progress() is None or not self._begin_stream():
            return False
        self._end_memory_pause()
        self._forward_body()
        return True

    def answer_progress(self) -> AnswerProgress | None:
        """Return how far an answer has come whose head is complete; None if there is none."""
        if self._in_head or self._malformed or not self._is_served:
            return None
        idle_s = self._pool.upstream.active_time_s() - self.last_progress_s
        if self._reading_paused or (self._memory_timer is not None and has_unread_data(self._sock)):
            idle_s = 0.0  # it is this process that does not read
        return AnswerProgress(self._body_bytes, idle_s, self._length, self._reading_paused)

    def _stream_body(self) -> None:
        """Stream the body to the client as it arrives, as fast as the client reads it."""
        exchange = self._exchange
        if self._sink is None and not self._begin_stream():
            if self._exchange is exchange:  # not cancelled in the meantime
                self._fail("too large")
            return
        self._forward_body()

    def _begin_stream(self) -> bool:
        """Pass on the head of the answer; False if it can't be streamed, or nobody waits for it."""
        exchange = self._exchange
        assert exchange is not None
        answer = self._answer(b"")
        if outcome_of(answer) is not Outcome.OK or not exchange.written or exchange.on_begin is None:
            return False
        sink = exchange.on_begin(answer)
        if sink is None or self._exchange is not exchange:  # cancelled by `on_begin`
            return False
        self._sink = sink
        sink.on_ready = self._resume_stream
        return True

    def _forward_body(self) -> None:
        """Pass on what has been received of the body."""
        assert self._sink is not None and self._transport is not None
        piece = bytes(self._body)
        self._body.clear()
        self._memory.hold(0)
        if piece and not self._sink.write(piece) and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_stream(self) -> None:
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self.last_progress_s = self._pool.upstream.active_time_s()
            self._transport.resume_reading()

    @property
    def stalled(self) -> bool:
        """Whether the host has stopped sending a streamed answer, or reading a streamed request body."""
        if (
            self._pool.upstream.active_time_s() - self.last_progress_s <= STALL_TIMEOUT_S
            or self._exchange is None
        ):
            return False
        if self._sink is not None:
            return not self._reading_paused
        upload, transport = self._exchange.upload, self._transport
        unread = transport is not None and transport.get_write_buffer_size() > 0
        return unread and upload is not None and not upload.ended

    def fail_stalled(self) -> None:
        self._fail("held back")

    def _answer(self, body: bytes) -> Answer:
        assert self._parser is not None
        return Answer(
            self._parser.get_status_code(),
            body,
            self._content_type,
            self._never_ran,
            self._report,
            self._length,
            self._unread_ms,
        )

    def eof_received(self) -> None:
        self._pool.connection_ended(self, self._aborted)
        # With `Connection: close` and no length the end of the connection is the end of the body.
        if self._exchange is not None and self._until_close and not self._in_head and not self._malformed:
            self._complete, self._keep_alive = True, False
            self._finish()
        else:
            self._fail("")

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._parser = None  # breaks a reference cycle, which would wait for the garbage collector
        self._pool.upstream.connections.discard(self)
        self._pool.connection_ended(self, self._aborted, was_reset=exc is not None)
        self._fail("")

    def _fail(self, malformed: str) -> None:
        """Close the connection and end its attempt; `malformed`: what is wrong with the answer, or empty."""
        exchange, sink = self._exchange, self._sink
        self._sink = None
        if exchange is not None:
            reason = malformed or "closed by the server"
            self._pool.upstream.errors.recorder.record("server_connection_lost", self._pool.host[0], reason)
        self.abort()
        if exchange is None:
            return
        if sink is not None:
            self._pool.upstream.errors.run("answer_cut", sink.abort, self._pool.host[0])
        if not self.received_bytes and not malformed:
            self._pool.record_use(self, True)  # no byte of an answer: it may have been closed before its use
        if not exchange.written:
            exchange.end(Outcome.CONNECT_FAILED)
        elif malformed:
            log.warning("spoilt answer from %s: %s", self._pool.host[0], malformed)
            exchange.end(Outcome.SPOILT)
        else:
            exchange.end(Outcome.RESET)

    def _finish(self) -> None:
        assert self._exchange is not None and self._parser is not None
        if not self._exchange.written and self._parser.get_status_code() == 200:
            # A host answers only a complete request, so this is a second copy of the previous answer.
            self._fail("received before the end of the request")
            return
        exchange, self._exchange = self._exchange, None
        self._pool.record_use(self, False)
        exchange.connection = None
        sink, self._sink = self._sink, None
        answer = self._answer(bytes(self._body))
        if sink is not None:
            self._finish_sink(sink, answer.body)
        if self._extra_data or not self._keep_alive or not exchange.written:
            self.abort()
        else:
            self._pool.release(self)
        self._reset_response()  # frees the answer: an idle connection must not keep it
        self._memory.hold(0)
        exchange.end(outcome_of(answer), answer)

    def _finish_sink(self, sink: AnswerSink, rest: bytes) -> None:
        """Write the end of a streamed answer. An error of the client's connection does not concern the
        server: the outcome of the attempt stays, and the connection is kept."""
        try:
            if rest:
                sink.write(rest)
            sink.finish()
        except Exception as error:
            self._pool.upstream.errors.report("answer_end", error, self._pool.host[0])
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()

    # httptools

    def on_message_begin(self) -> None:
        if self._complete:
            self._extra_data = True  # a second answer, which must not be taken for the next one

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete or not self._in_head:
            return  # a trailer must not override the fields of the head
        match name.lower():
            case b"x-server-load":
                self._report = value
            case b"x-not-processed":
                self._never_ran = value.strip() == b"1"
            case b"content-type":
                self._content_type = value
            case b"content-length":
                self._framed, self._length = True, int(value)
                if self._length > MAX_BODY_BYTES:  # else gigabytes would be read in vain
                    self._malformed = self._malformed or "too large"
            case b"connection":
                self._until_close = b"close" in value.lower()
            case b"transfer-encoding":
                self._framed, self._length = value.strip().lower() == b"chunked", None

    def on_headers_complete(self) -> None:
        if self._complete:
            return
        self._in_head = False
        assert self._parser is not None
        self._is_served = self._parser.get_status_code() == 200
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            self._malformed = self._malformed or "unknown version"
        # Without a length or chunked coding, a truncated body can't be told from a complete one, unless the
        # host has announced the end of the connection by `Connection: close`.
        elif not self._framed and not self._until_close and self._parser.get_status_code() >= 200:
            self._malformed = self._malformed or "no length"
        self._until_close = self._until_close and not self._framed

    def on_body(self, body: bytes) -> None:
        if not self._complete and not self._malformed:
            self._body_bytes += len(body)
            if self._is_served:  # nothing of another answer's body is used
                self._body += body  # exceeds the size of a buffered body by one read at most

    def on_message_complete(self) -> None:
        if self._complete or self._malformed:
            return
        assert self._parser is not None
        if self._parser.get_status_code() < 200:
            self._reset_response()  # an interim answer (1xx): the final one follows
            return
        self._keep_alive = self._parser.should_keep_alive()
        self._complete = True
