"""A client's HTTP/1.x connection: parses requests into calls and writes the final answer to each call.

An invalid request is answered with an error, and its connection is closed. It is never forwarded to a host: a
request that is invalid must not be served, and the host's error answer would count against a healthy host.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, cast

from cloverrouter.proxy.client_answers import StreamedAnswer, encode_answer, encode_stream_head
from cloverrouter.proxy.client_call import ClientCall
from cloverrouter.proxy.direct import DirectTransport
from cloverrouter.proxy.input_times import InputTimes
from cloverrouter.proxy.load import RefusalReason
from cloverrouter.proxy.memory import FREE_BYTES, MemoryAccount
from cloverrouter.proxy.messages import (
    STREAMING_THRESHOLD_BYTES,
    Answer,
    AnswerSink,
    Upload,
)
from cloverrouter.proxy.overload import MAX_DELAY_S
from cloverrouter.proxy.rejections import Rejection, encode_last_answers
from cloverrouter.proxy.request_parser import RequestParser
from cloverrouter.proxy.sockets import half_close, has_unread_data, peer_has_closed, reset
from cloverrouter.proxy.validity import HEALTH, parse_integer
from cloverrouter.proxy.wake import data_age_s

if TYPE_CHECKING:
    from cloverrouter.proxy.frontend import Frontend

READ_BUFFER_BYTES = 64 * 1024
WRITE_BUFFER_BYTES = 4 * 1024  # unsent bytes beyond which no call is started and a streamed answer waits
MAX_CALLS_PER_STEP = 4  # started for one connection in a step of the event loop
SMALL_BODY_BYTES = 1024  # two copies of it, and the call, are within what is free
CALL_BYTES = 1024  # of memory that a call takes beside its body
# Limits on pipelined calls behind an open one of the same connection, and on their bytes, beyond which no
# further input is parsed or read until some have been answered.
MAX_QUEUED_CALLS = 16
MAX_QUEUED_BYTES = 2 * STREAMING_THRESHOLD_BYTES
# Input is parsed in pieces, so that few calls are added beyond these limits. A body is one piece.
PARSED_PIECE_BYTES = 2048
# From connecting, or from the first byte of a later request, to the last byte. The requirement is 3 s.
REQUEST_TIMEOUT_S = 2.3
# The lowest average rate of a request body, and the longest time without any of its bytes.
MIN_BODY_BYTES_PER_S = 16 * 1024
BODY_STALL_TIMEOUT_S = 2.3
# How long a connection may be idle; the longer time applies after its first request, while at most half of
# the connection limit is in use.
IDLE_TIMEOUT_S = 2.1
IDLE_WITH_CAPACITY_TIMEOUT_S = 10.0
# How long input after the last answer is read and discarded: closing at once would reset the connection, and
# the client could lose the answer.
LINGER_TIMEOUT_S = 1.5
UNREAD_ANSWER_S = 3.0  # limit for an answer of which the client reads nothing
UNREADABLE_TIMEOUT_S = 1.0  # limit for unread input on a connection without any open request
STREAM_STALL_S = 10.0  # limit without progress for a streamed answer, once the client has read part of it


class AnswerUnfinishedError(Exception):
    """Part of an answer has been written, and no other one may begin before its end."""


class Stage(Enum):
    """State of a connection for eviction: ENDED is evicted first, then SILENT, then IDLE, and BUSY never."""

    BUSY = "busy"
    IDLE = "idle"  # its requests have been answered
    SILENT = "silent"  # it has not sent a complete request yet
    ENDED = "ended"  # its last answer has been written


class ClientConnection(asyncio.BufferedProtocol):
    """A connection of a client. Its calls are handled one after the other."""

    def __init__(self, frontend: Frontend, sock: socket.socket, refuses: bool = False) -> None:
        """`refuses`: accepted beyond the limit on connections; each of its requests is refused."""
        self._frontend, self._gate = frontend, frontend.gate
        self.refuses = refuses
        self._number = frontend.next_connection_number()
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._direct = False  # not registered with the event loop yet
        self._parser = RequestParser()
        self._open_call: ClientCall | None = None
        self._queued: deque[ClientCall] = deque()
        self._deferred: Rejection | None = None  # of a request behind calls that are answered first
        self._unparsed = b""  # input that was read, and has to wait until fewer calls are queued
        self._ended = False  # an error or the last answer has been sent: further input is discarded
        self._has_requested = False  # a complete request has been received
        self._unread_from_s: float | None = None  # when a sweep first found unread input
        self._writing_paused = False  # the write buffer is full: the client does not read its answers
        # Start of the current state. Timeouts of clients exclude the time in which this process was paused.
        self.state_since_s = frontend.active_time_s()
        self._uploading: ClientCall | None = None  # the call whose body is being streamed
        # Streamed calls whose body was completed by the current read, with the bytes of this read.
        self._finished_uploads: list[tuple[ClientCall, bytes]] = []
        self._stream: StreamedAnswer | None = None  # the answer that is being streamed
        self._upload_paused = False  # backpressure: the received part of a body has not been forwarded yet
        self._reading_paused = False  # for that reason, or since enough calls wait
        self._times = InputTimes(
            frontend.loop,
            frontend.pause_detector,
            sock,
            READ_BUFFER_BYTES,
            frontend.listener.delayed_since_s,
        )
        self._memory = MemoryAccount(frontend.memory)
        self._reserved_bytes = 0  # of the shared buffer budget, for the bodies of the open calls
        # Bytes of streamed answers that were written, and that had left the write buffer at the last check.
        self._stream_written = self._stream_flushed = 0
        self._proceeding = False  # `_proceed` is called in the next step of the loop
        self._just_completed: list[ClientCall] = []  # calls whose last byte came in the current read
        self.body_progress_s = self.state_since_s  # when bytes of the body were last received

    # asyncio.BufferedProtocol: all connections share one buffer, since each read is processed immediately

    def get_buffer(self, sizehint: int) -> memoryview:
        view = self._frontend.memory.view(self._frontend.buffer)
        self._times.read_limit = len(view)
        return view

    def buffer_updated(self, nbytes: int) -> None:
        if self._ended or self._deferred or self._transport is None:
            return
        self._unread_from_s = None
        if not self._parser.begun:
            self._parser.begun = True
            if self._has_requested:  # the time limit of a first request starts at connecting
                self.state_since_s = self._frontend.active_time_s()
        self._process(self._frontend.buffer[:nbytes])
        self._frontend.note_stage(self)

    def _process(self, data: memoryview) -> None:
        """Parse input that was just read and pass on the calls in it, as far as calls may be queued."""
        rest = self._parse(data)
        self._times.record_read(len(data))
        self._set_arrivals(len(rest) == 0)
        self._pass_on(rest)

    def _process_unparsed(self) -> None:
        """Parse more of the input that had to wait."""
        data, self._unparsed = self._unparsed, b""
        rest = self._parse(memoryview(data))
        self._set_arrivals(False)
        self._pass_on(rest)

    def _pass_on(self, rest: memoryview) -> None:
        """Forward parsed input to the handler; keep `rest`, which is not parsed yet."""
        # The buffer of `rest` is that of all connections.
        self._unparsed = bytes(rest) if not self._parser.error_status else b""
        self._finish_uploads()
        if not self._parser.error_status:
            self._forward_body()
        answer_within_s = REQUEST_TIMEOUT_S
        if not self._parser.error_status and not self._may_hold_request():
            answer_within_s = max(answer_within_s, self._declared_timeout_s())
            self._abandon_request()
        if self._parser.error_status:
            self._reject(self._parser.error_status, answer_within_s)
        else:
            self._next()
            self._continue_input()

    def _may_hold_request(self) -> bool:
        """Whether there is memory for the part of a request that has been received."""
        held_bytes = self._parser.held_bytes
        return held_bytes <= FREE_BYTES or self._memory.may_hold(self._held_bytes)

    def _declared_timeout_s(self) -> float:
        """Return for how long the client waits for the request that is being received; 0 if not declared."""
        timeout_ms = parse_integer(self._parser.headers.get(b"x-timeout-ms", b""))
        return (timeout_ms or 0) / 1000

    def _abandon_request(self) -> None:
        """Refuse the request that is being received, for lack of memory; it was not forwarded."""
        self._frontend.load.refused(RefusalReason.NO_MEMORY)
        self._record("refused", RefusalReason.NO_MEMORY.value)
        self._parser.abandon(503)

    def _parse(self, data: memoryview) -> memoryview:
        """Parse `data` until enough calls are queued or a request is invalid; return the rest."""
        rest, parser = data, self._parser
        while rest and not parser.error_status and not self._holds_input:
            piece = rest[: max(PARSED_PIECE_BYTES, parser.missing_body_bytes)]
            rest = rest[len(piece) :]
            if not parser.feed(piece, self):
                self._withdraw_last_completed()
        return rest

    def _withdraw_last_completed(self) -> None:
        """Drop the last call of the current read, if it waits: what follows it may show that its length was
        wrong."""
        if self._just_completed and self._queued and self._queued[-1] is self._just_completed[-1]:
            call = self._queued.pop()
            self._gate.queued_ids.discard(call.request_id)

    @property
    def _holds_input(self) -> bool:
        """Whether further input has to wait: for a body to be forwarded, or for calls to be answered."""
        if self._upload_paused or len(self._queued) >= MAX_QUEUED_CALLS:
            return True
        if not self._queued:
            return False
        if self._frontend.memory.exhausted:
            return True
        # One more body fits, which is at most as long as one that is not streamed.
        waiting_bytes = sum(len(call.body) for call in self._queued)
        return waiting_bytes > MAX_QUEUED_BYTES - STREAMING_THRESHOLD_BYTES

    def _continue_input(self) -> None:
        """Read on, or parse on in a later step of the loop, if calls may be queued."""
        if self._ended or self._transport is None:
            return
        holds = self._holds_input or self._deferred is not None
        if self._unparsed and not holds:
            self._proceed_soon()
        self._set_reading(not holds and not self._unparsed)

    def _proceed_soon(self) -> None:
        """Call `_proceed` in the next step of the loop, once."""
        if not self._proceeding:
            self._proceeding = True
            self._frontend.loop.call_soon(self._proceed)

    def _proceed(self) -> None:
        """Go on after an answer: with the next call, the input that had to wait, or a deferred error."""
        self._proceeding = False
        if self._ended or self._transport is None:
            return
        self._next()
        if self._deferred is not None and not self._has_calls:
            self._reject_now(self._deferred)
        elif self._unparsed and not self._holds_input:
            self._process_unparsed()
        else:
            self._continue_input()
        self._frontend.note_stage(self)

    def _set_reading(self, wanted: bool) -> None:
        assert self._transport is not None
        if self._direct or wanted is not self._reading_paused:
            return
        self._reading_paused = not wanted
        if wanted:
            self._times.reading_resumed()
            self._transport.resume_reading()
        else:
            self._times.reading_paused(is_uploading=self._upload_paused)
            self._transport.pause_reading()

    def _set_arrivals(self, is_last_input: bool) -> None:
        """Set the arrival time of the calls that were just parsed; `is_last_input`: all input is parsed."""
        completed, self._just_completed = self._just_completed, []
        self._times.set_arrivals(completed, is_last_input, not self._parser.begun)

    def _finish_uploads(self) -> None:
        """Forward the last bytes of streamed bodies. Not done in the parser's callbacks, as in `_next`."""
        finished, self._finished_uploads = self._finished_uploads, []
        for done, rest in finished:
            assert done.upload is not None
            if rest:
                done.upload.feed(rest)
            done.upload.end()
            self._upload_paused = False  # its host may still be slow, but no more input belongs to it
            self._times.upload_written_since_s = 0.0

    def _forward_body(self) -> None:
        """Forward or buffer received body bytes. Not done in the parser's callbacks, as in `_next`."""
        if self._parser.in_head or not self._parser.body:
            return
        self.body_progress_s = self._frontend.active_time_s()
        call, budget = self._uploading, self._frontend.buffer_budget
        if call is not None and call.upload is not None:
            piece = bytes(self._parser.body)
            self._parser.body.clear()
            call.upload.feed(piece)
            self._record_upload_backlog()
            return
        length = self._parser.headers.get(b"content-length")
        declared = int(length) if length is not None else None
        if budget.may_buffer(declared, len(self._parser.body), self._reserved_bytes):
            if len(self._parser.body) > STREAMING_THRESHOLD_BYTES:
                self._reserved_bytes = budget.reserve(
                    max(len(self._parser.body), declared or 0), self._reserved_bytes
                )
        elif len(self._parser.body) >= STREAMING_THRESHOLD_BYTES:
            self._begin_upload(declared)

    def _begin_upload(self, length: int | None) -> None:
        """Admit a call with the first part of its body; the rest is streamed as it is received."""
        call = self._call()
        call.upload = Upload(length, self._pause_upload, self._resume_upload)
        call.upload.first_part_bytes = len(call.body)
        self._parser.body.clear()
        self._admit(call)
        if not self._parser.error_status:
            self._uploading = call
            self._just_completed.clear()  # its last byte has not arrived yet
            self._pause_upload()  # until an attempt has started that the rest can be sent to

    def _pause_upload(self) -> None:
        if not self._upload_paused and self._transport is not None and not self._ended:
            self._upload_paused, self.body_progress_s = True, self._frontend.active_time_s()
            self._set_reading(False)
            self._record_upload_backlog()

    def _record_upload_backlog(self) -> None:
        call, missing_bytes = self._uploading, None
        if call is not None and call.upload is not None and call.upload.length is not None:
            missing_bytes = call.upload.length - self._parser.body_size - len(self._unparsed)
        self._times.record_upload_backlog(call, self._upload_paused, missing_bytes)

    def _resume_upload(self) -> None:
        if self._upload_paused and self._transport is not None:
            now_s = self._frontend.active_time_s()
            self.state_since_s += now_s - self.body_progress_s  # the client could not send in that time
            self._upload_paused, self.body_progress_s = False, now_s
            self._continue_input()

    def eof_received(self) -> None:
        """Treat FIN, also of a half-closed connection, as a disconnect; asyncio then closes the transport.

        asyncio does so only once its write buffer is flushed; without this, queued calls would be forwarded
        until then.
        """
        self._ended = True
        self._withdraw_calls()

    def check_disconnected(self, call: ClientCall) -> bool:
        """Return whether the client of `call` has disconnected, as reported by the kernel.

        The event loop reports a disconnect one iteration later, which may take long on a busy machine, and
        not at all while reading is paused; until then, the client's requests would still be forwarded.
        """
        if self._open_call is call and peer_has_closed(self._sock):
            self._ended = True  # the transport, or `check`, will close the connection
            self._withdraw_calls()
        return self._open_call is not call

    def may_be_disconnected(self) -> bool:
        """Return whether the client may have closed the connection without this process seeing it."""
        return self._times.may_be_disconnected()

    def begin_direct(self, transport: asyncio.Transport) -> None:
        """Use `transport` until the event loop provides one (`connection_made`) or the connection ends."""
        self._transport, self._direct = transport, True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        before, self._transport = self._transport, cast(asyncio.Transport, transport)
        self._direct = False
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._frontend.add(self)
        if isinstance(before, DirectTransport):
            self._continue_from(before)
        self._proceed()

    def _continue_from(self, before: DirectTransport) -> None:
        """Finish what `before` could not do without the event loop: unsent bytes and a pending half-close."""
        assert self._transport is not None
        if before.unsent:
            self._transport.write(before.unsent)
        if self._ended:
            half_close(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._parser.close()
        self._frontend.remove(self)
        self._withdraw_calls()
        self._memory.hold(0)

    def pause_writing(self) -> None:
        self._writing_paused, self.state_since_s = True, self._frontend.active_time_s()

    def resume_writing(self) -> None:
        self._writing_paused = False
        if self._stream is not None and self._stream.on_ready is not None:
            self._stream.on_ready()
        self._proceed()
        self._frontend.note_stage(self)

    # Requests in the input, reported by the parser

    def head_received(self) -> None:
        self.body_progress_s = self._frontend.active_time_s()
        expects_continue = self._parser.headers.get(b"expect", b"").lower() == b"100-continue"
        if expects_continue and not self._parser.error_status and not self.busy:
            self._write_head(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_received(self) -> None:
        coming, self._uploading = self._uploading, None
        if coming is not None:
            coming.arrived_ms = self._times.upload_arrived_ms()
            self._finished_uploads.append((coming, bytes(self._parser.body)))
            self._just_completed.append(coming)
        else:
            self._admit(self._call())

    def _call(self) -> ClientCall:
        parser = self._parser
        call = ClientCall(self, parser.method, parser.path or b"/", parser.headers, bytes(parser.body))
        if not parser.path:
            parser.error_status = parser.error_status or 400
        call.keep_alive = parser.keep_alive
        call.lacks_chunking = parser.http_version == "1.0"
        return call

    def _admit(self, call: ClientCall) -> None:
        """Queue a valid call for the handler, or set the error status."""
        parser = self._parser
        if parser.error_status:
            return
        if call.target != HEALTH:
            parser.error_status = self._gate.check(call, parser.headers)
        elif call.method != b"GET":
            parser.error_status = 405
        if not parser.error_status:
            self._queued.append(call)
            self._just_completed.append(call)
            self._gate.queued_ids.add(call.request_id)

    # Calls and answers

    def _next(self) -> None:
        """Pass the next queued call to the handler, if none is open.

        Not done in the parser's callbacks: the bytes that follow a request may show that its length was
        wrong. Calls that are answered at once are limited, so that other connections get their turn.
        """
        for _ in range(MAX_CALLS_PER_STEP):
            if self._open_call is not None or not self._queued or self._writing_paused or self._ended:
                return
            call, reason = self._queued[0], None
            if call.target != HEALTH:
                reason = self._frontend.reason_to_refuse(self, call)
                if reason is None and self._direct:
                    return  # it is passed on once the event loop has this connection
            self._open_call = self._queued.popleft()
            self._gate.queued_ids.discard(call.request_id)
            self._has_requested = True
            if call.target == HEALTH:
                self.answer(call, 200 if self._gate.handler.ready() else 503, b"", b"")
            elif not self._gate.revalidate(call):
                call.refused(0.0)
            elif reason is not None:
                self._refuse(call, reason)
            else:
                self._gate.handler.call_received(call)
        if self._open_call is None and self._queued:
            self._proceed_soon()

    def _refuse(self, call: ClientCall, reason: RefusalReason) -> None:
        """Refuse a request before it reaches the balancer."""
        if self._direct and reason is RefusalReason.EXPIRED and not self._owes_answers:
            call.keep_alive = False  # its client has given up, and the event loop need not learn of it
        self._frontend.load.refused(reason)
        self._frontend.errors.recorder.record("refused", call.request_id, reason.value)
        if self._frontend.observer is not None:
            self._frontend.observer.request_refused_early(call, reason.value)
        call.refused(self._gate.retry_after_ms)

    def answer(self, call: ClientCall, status: int, body: bytes, headers: bytes) -> None:
        if self._open_call is not call or self._transport is None:
            return  # the client has disconnected
        try:
            if call.upload is not None and not call.upload.ended:
                self._answer_early(status, headers)
                return
            close = self._closes_after(call)
            self._write_head(encode_answer(status, body, headers + self._gate.alt_svc, close))
            self._answer_sent(close)
        except Exception as error:
            self.fail("client_answer", error)

    def fail(self, place: str, error: Exception) -> None:
        """Close this connection after an exception in its own code. The exception does not propagate to the
        caller, which is the node or a server's connection."""
        errors = self._frontend.errors
        errors.report(place, error, f"client connection {self._number}")
        errors.run(place, partial(self.end, place))

    def _closes_after(self, call: ClientCall) -> bool:
        # Queued calls have been accepted and are answered in a drain, too: the last answer closes the
        # connection.
        return not call.keep_alive or (
            not self._owes_answers
            and (
                self.refuses
                or self._gate.stopping
                or self._gate.refusing
                or self._frontend.has_many_idle
                or self._frontend.over_limit
                or self._frontend.listener.deferred
            )
        )

    def _answer_sent(self, close: bool) -> None:
        """Close the connection or start the next call, after the open call's answer has been written."""
        self._open_call = None
        self._release_buffer()
        if not self.unflushed:
            self._times.record_answer()
        self.state_since_s = self._frontend.active_time_s()
        assert self._transport is not None
        if close and self._frontend.has_many_idle and not self.unflushed and not has_unread_data(self._sock):
            self._ended = True  # closed at once to free its descriptor; no unread input that would cause RST
            self._withdraw_calls()
            self._transport.close()
        elif close:
            self._end_sending()
        elif self._owes_answers or self._reading_paused:
            self._proceed_soon()
        self._frontend.note_stage(self)

    def _answer_early(self, status: int, headers: bytes) -> None:
        """Answer a call before its last byte; the rest of the body is read and discarded, since closing at
        once would reset the connection and lose the answer."""
        assert self._transport is not None
        self._open_call = self._uploading = None
        self._send_last_answer(encode_answer(status, b"", headers, True))

    @property
    def _has_calls(self) -> bool:
        return self._open_call is not None or bool(self._queued)

    @property
    def _owes_answers(self) -> bool:
        """Whether requests of this connection are to be answered after the open call."""
        if self._queued or self._unparsed or self._deferred:
            return True
        return self._reading_paused and has_unread_data(self._sock)

    def begin_stream(self, call: ClientCall, answer: Answer) -> AnswerSink | None:
        """Start streaming an answer; None if the client has disconnected or writing fails."""
        if self._open_call is not call or self._transport is None:
            return None
        try:
            return self._begin_stream(self._transport, call, answer)
        except Exception as error:
            self.fail("client_answer_begin", error)
            return None

    def _begin_stream(self, transport: asyncio.Transport, call: ClientCall, answer: Answer) -> AnswerSink:
        chunked = answer.length is None and not call.lacks_chunking
        close = self._closes_after(call) or (answer.length is None and call.lacks_chunking)
        self._write_head(encode_stream_head(answer, self._gate.alt_svc, chunked, close))
        self._stream = StreamedAnswer(
            self, chunked, close, self_delimited=chunked or answer.length is not None
        )
        return self._stream

    def write_stream(self, stream: StreamedAnswer, data: bytes) -> bool:
        if self._transport is None or self._ended or self._stream is not stream:
            return False
        try:
            self._transport.write(data)
        except Exception as error:
            self.fail("client_answer_piece", error)
            return False
        self._stream_written += len(data)
        self.record_memory()
        return not self._writing_paused

    def finish_stream(self, stream: StreamedAnswer, close: bool) -> None:
        if self._stream is not stream:
            return
        self._stream = None
        if self._transport is not None and self._open_call is not None:
            self._answer_sent(close)

    def abort_stream(self, stream: StreamedAnswer, self_delimited: bool) -> None:
        """End a truncated streamed answer so that its client can detect it: without the end mark of its
        framing, and with a reset if an orderly end of the connection would mark the end of the answer."""
        if self._stream is not stream:
            return
        self._stream, self._open_call = None, None
        if self._transport is None:
            return
        self._record("closed_by_us", "answer cut short")
        if self_delimited:
            self._end_sending()  # flushes what was written first, possibly including the head
            self._frontend.note_stage(self)
        else:
            self._ended = True
            reset(self._transport, self._sock)

    def _release_buffer(self) -> None:
        self._reserved_bytes = self._frontend.buffer_budget.reserve(0, self._reserved_bytes)

    def _reject(self, status: int, answer_within_s: float = REQUEST_TIMEOUT_S) -> None:
        """Answer an invalid request with an error, after the calls before it, and close the connection.

        Nothing that follows it is parsed: after a parse error its framing can't be trusted.
        `answer_within_s`: how long the calls before it may take.
        """
        if self._transport is None or self._ended:
            return
        rejection = Rejection(status, self._frontend.active_time_s() + answer_within_s)
        invalid, self._uploading = self._uploading, None  # a call that was admitted with a part of its body
        if invalid is not None and self._queued and self._queued[-1] is invalid:
            self._queued.pop()
            self._gate.queued_ids.discard(invalid.request_id)
        if self._has_calls and (invalid is None or self._open_call is not invalid):
            self._deferred = rejection
            self._upload_paused = False
            self._next()
            self._set_reading(False)
        else:
            self._reject_now(rejection)

    def _reject_now(self, rejection: Rejection) -> None:
        """Write the last answers and close the connection.

        Where part of an answer has been written, nothing but its end may follow: the connection is cut.
        """
        if self._transport is None or self._ended:
            return
        self._record("turned_away", rejection.status)
        if self._frontend.observer is not None:
            self._frontend.observer.invalid_request_rejected(rejection.status)
        if self._stream is not None:
            self._cut_stream()
            return
        # Not deferred, the open call is the rejected request itself, of which a part has been forwarded.
        has_open_call = self._deferred is not None and self._open_call is not None
        if has_open_call:
            self._record("open_call_failed", "the answer to the request behind it is due")
        answers = encode_last_answers(rejection, has_open_call, len(self._queued))
        self._ended = True
        self._withdraw_calls()
        self._parser.reset()
        self._send_last_answer(answers)

    def _cut_stream(self) -> None:
        """End the connection within a streamed answer, whose client then detects that it is truncated."""
        assert self._stream is not None
        stream, call = self._stream, self._open_call
        stream.abort()
        if call is not None:
            self._gate.handler.disconnected(call)

    def _send_last_answer(self, answer: bytes) -> None:
        """Write the last answer; further input is discarded for a while."""
        self._write_head(answer)
        self._end_sending()
        self._frontend.note_stage(self)

    def _write_head(self, data: bytes) -> None:
        """Write what begins with a status line. Raises `AnswerUnfinishedError` within a streamed answer."""
        assert self._transport is not None
        if self._stream is not None:
            raise AnswerUnfinishedError("an answer is being streamed; another one would end up in its body")
        self._transport.write(data)

    def _end_sending(self) -> None:
        """Half-close after the last answer, and discard further input for `LINGER_TIMEOUT_S`.

        Closing with unread or arriving input would reset the connection, and the client could lose the answer
        (RFC 9112, section 9.6).
        """
        transport = self._transport
        assert transport is not None
        self._ended, self.state_since_s = True, self._frontend.active_time_s()
        if not half_close(transport):
            self._record("closed_by_client", "as its last answer was written")
            self._frontend.errors.counts["client_half_close"] += 1
        self._withdraw_calls()
        self._reading_paused, was_paused = False, self._reading_paused
        if was_paused:
            transport.resume_reading()

    def _withdraw_calls(self) -> None:
        """Drop the queued calls and withdraw the open one from the handler."""
        for queued in self._queued:
            self._gate.queued_ids.discard(queued.request_id)
        self._queued.clear()
        self._unparsed, self._deferred, self._upload_paused = b"", None, False
        self._release_buffer()
        self._uploading, self._stream = None, None
        self._finished_uploads.clear()
        call, self._open_call = self._open_call, None
        if call is not None:
            self._gate.handler.disconnected(call)

    # State, for the frontend

    @property
    def _held_bytes(self) -> int:
        """How much memory this connection's messages take. Up to `WRITE_BUFFER_BYTES` of answers don't count,
        which are free in any case: this is computed several times for each request."""
        held = len(self._parser.body) + self._parser.head_bytes + len(self._unparsed)
        for call in self._queued:
            held += len(call.body) + CALL_BYTES
        open_call = self._open_call
        if open_call is not None:
            # Once more in the buffer of a host's connection, until the host has read it.
            held += 2 * len(open_call.body) + CALL_BYTES
            if open_call.upload is not None:
                held += open_call.upload.held_bytes
        if self._writing_paused and self._transport is not None:
            held += self._transport.get_write_buffer_size()
        return held

    def record_memory(self) -> None:
        """Record how much memory this connection's messages take."""
        call, parser = self._open_call, self._parser
        is_small = call is None or (call.upload is None and len(call.body) < SMALL_BODY_BYTES)
        if is_small and not (self._queued or self._unparsed or self._writing_paused or parser.held_bytes):
            self._memory.hold(0)  # the usual case, at little cost
        else:
            self._memory.hold(self._held_bytes)

    @property
    def busy(self) -> bool:
        return self._has_calls or bool(self._unparsed) or self._deferred is not None

    @property
    def is_receiving(self) -> bool:
        return self._parser.begun and not self._ended

    def may_be_delayed(self) -> bool:
        """Return whether the input of this connection may have waited unread for long. For use in an
        overload, since a busy event loop may still read each request in time."""
        age_s = data_age_s(self._sock)
        return age_s is None or age_s > MAX_DELAY_S

    @property
    def stage(self) -> Stage:
        if self.busy or self._writing_paused:
            return Stage.BUSY
        if self._ended:
            return Stage.ENDED
        if not self._has_requested:
            return Stage.SILENT
        return Stage.BUSY if self._parser.begun else Stage.IDLE

    @property
    def evictable(self) -> bool:
        """Whether the connection can be closed without losing a complete request or its answer."""
        return self._ended or (self.is_receiving and not self.unread) or self.closable

    @property
    def unread(self) -> bool:
        """Whether the socket has unread input; such a connection is not evicted."""
        return has_unread_data(self._sock)

    @property
    def unflushed(self) -> bool:
        """Whether part of an answer is still in the write buffer."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def refuse_incomplete_request(self) -> None:
        """Refuse a partially received request at shutdown. Its last byte may be in flight, so closing without
        an answer could drop a complete request."""
        if self._parser.begun and not self.busy:
            self._reject(503)

    @property
    def closable(self) -> bool:
        """Whether the connection is idle, without unread input."""
        idle = not (self.busy or self._parser.begun or self._ended or self._transport is None)
        return idle and not has_unread_data(self._sock)

    def close_idle(self) -> bool:
        """Close the connection if it is idle and its last answer has been flushed; return whether it was."""
        if not self.closable or self.unflushed:
            return False
        self.end("idle")
        return True

    def _record(self, event: str, detail: object) -> None:
        self._frontend.errors.recorder.record(event, f"client-connection-{self._number}", detail)

    def end(self, why: str) -> None:
        """Close immediately, whatever its state; `why` is noted in the recorder."""
        self._record("closed_by_us", why)
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def check(self, now_s: float, half_full: bool) -> None:
        """Apply the time limits; `half_full`: more than half of the connection limit is in use.

        Without limits, a client that never completes a request or never closes its connection would occupy a
        descriptor and memory for good.
        """
        if self._reading_paused and peer_has_closed(self._sock):
            self.end("left")  # not reported while reading is paused; the request would still be forwarded
            return
        self._record_upload_backlog()
        if self._uploading is not None and self._times.upload_written_since_s:
            self._gate.handler.upload_held_back(self._uploading, self._times.upload_written_since_s)
            if self._ended:
                return
        if self._deferred is not None and now_s > self._deferred.answer_by_s and self._stream is None:
            self._reject_now(self._deferred)
            return
        waited_s = now_s - self.state_since_s
        unsent = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if self._stream_written - unsent > self._stream_flushed:
            # The client reads, even if slowly.
            self._stream_flushed, self.state_since_s = self._stream_written - unsent, now_s
        elif unsent:
            if waited_s > (STREAM_STALL_S if self._stream_written else UNREAD_ANSWER_S):
                self.end("answers are not read")
        elif self._ended:
            if waited_s > LINGER_TIMEOUT_S:
                self.end("lingered")
        elif (
            self._parser.begun and not self._parser.in_head and (not self.busy or self._uploading is not None)
        ):
            late = waited_s > REQUEST_TIMEOUT_S + self._parser.body_size / MIN_BODY_BYTES_PER_S
            if not self._upload_paused and (late or now_s - self.body_progress_s > BODY_STALL_TIMEOUT_S):
                self._reject(408)
        elif self.busy:
            pass
        elif self._parser.begun:
            if waited_s > REQUEST_TIMEOUT_S:
                self._reject(408)
        elif waited_s > REQUEST_TIMEOUT_S and self._is_unreadable(now_s):
            self.end("can't be read from")
        elif waited_s > (
            IDLE_TIMEOUT_S if half_full or not self._has_requested else IDLE_WITH_CAPACITY_TIMEOUT_S
        ):
            self.close_idle()

    def _is_unreadable(self, now_s: float) -> bool:
        """Return whether input has been unread for `UNREADABLE_TIMEOUT_S`.

        Then the event loop could not add the socket to epoll (epoll_ctl(2): ENOMEM, ENOSPC) and will never
        read from it. Input that has just arrived is read in the loop's next iteration.
        """
        if not has_unread_data(self._sock):
            self._unread_from_s = None
            return False
        if self._unread_from_s is None:
            self._unread_from_s = now_s
        return now_s - self._unread_from_s > UNREADABLE_TIMEOUT_S
