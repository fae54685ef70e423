"""One connection of the application: bytes to calls, and a final answer to each call.

What can't be valid ends here, with an error and the connection's end. Nothing of it reaches a host:
nobody may be served for it, and the host's own error for it would count against a healthy host.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, cast

import httptools

from cloverrouter.proxy.client_answers import LongAnswer, encode_answer, encode_long_head
from cloverrouter.proxy.client_call import ClientCall
from cloverrouter.proxy.direct import DirectTransport
from cloverrouter.proxy.load import RefusalReason
from cloverrouter.proxy.messages import (
    MAX_BODY,
    MAX_HEAD,
    MOST_BODY,
    Answer,
    AnswerSink,
    Upload,
)
from cloverrouter.proxy.overload import MOST_BEHIND_S
from cloverrouter.proxy.sockets import half_close, has_unread_data, peer_has_closed, reset
from cloverrouter.proxy.validity import HEALTH, Head
from cloverrouter.proxy.wake import data_age_s

if TYPE_CHECKING:
    from cloverrouter.proxy.frontend import Frontend

READ_BYTES = 64 * 1024
PASSING_BYTES = 32 * 1024  # of a long answer may wait for its client before the host is to wait, too
# Calls that wait behind an open one on the same connection, and their bytes; a client that sends more
# is not one of ours.
MOST_WAITING = 16
MOST_WAITING_BYTES = 2 * MAX_BODY
# From connecting, or from a later request's first byte, to its last. The limit on a day is 3 s.
UNFINISHED_S = 2.3
# A body comes at this rate at least, in bytes a second, and with no longer pause than this.
SLOWEST_BODY = 16 * 1024
PAUSE_S = 2.3
# A connection with nothing on it for so long may be closed; while there is room it is left for longer.
IDLE_S = 2.1
IDLE_WITH_ROOM_S = 10.0
# What a client still sends after an error is read and dropped for this long, or the end of the
# connection would overtake the error.
LINGER_S = 1.5
UNREAD_S = 3.0  # for an answer of which its client reads nothing
UNREADABLE_S = 1.0  # that something may lie unread on a connection with nothing else on it
STALL_S = 10.0  # the same for a long one, of which it has read some


class Stage(Enum):
    """What is on a connection; all but the first can make room, the last of these first."""

    BUSY = "busy"
    IDLE = "idle"  # it has been answered
    SILENT = "silent"  # it has asked nothing yet
    ENDED = "ended"  # its last answer is out


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of the application. Its calls are handled one after the other."""

    def __init__(self, frontend: Frontend, sock: socket.socket, refuses: bool = False) -> None:
        """`refuses`: there was no room for it; each of its requests is refused."""
        self._frontend, self._gate = frontend, frontend.gate
        self.refuses = refuses
        self._number = frontend.number()
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._direct = False  # the loop does not have it yet
        self._parser: httptools.HttpRequestParser | None = None  # many connections never say a word
        self._open: ClientCall | None = None
        self._waiting: deque[ClientCall] = deque()
        self._error = 0  # what the bytes read just now have earned
        self._ended = False  # an error or a last answer is out: what still comes is dropped
        self._asked = False  # it has sent a whole request
        self._unread_from_s: float | None = None  # since when a sweep has found something unread
        self._paused = False  # the client does not read its answers
        self._begun = False  # bytes of an unfinished request have come
        self._completed = False  # a request ended in the bytes read just now
        # Of its present state. Clients are judged by the clock that stands still with this process.
        self.since_s = frontend.ran_s()
        self._coming: ClientCall | None = None  # the rest of its body is passed on as it comes
        self._over: list[tuple[ClientCall, bytes]] = []  # whose rest came in the bytes read just now
        self._passing: LongAnswer | None = None  # a long answer
        self._held_back = False  # it is not read from: what it sent has not gone on yet
        self._claimed = 0  # bytes of the open calls' bodies out of the budget for all
        self._written = self._taken = 0  # bytes of long answers, and as many as it had read at last
        # Since when what it sends may lie here unread, where that is longer than the loop was away.
        self.behind_s = frontend.listener.delayed_since_s
        self._opened_s, self._unheard = frontend.loop.time(), True
        self._admitted: list[ClientCall] = []  # whose last byte came in the bytes read just now
        self._reset()

    def _reset(self) -> None:
        self._headers = Head()
        self._target = b""
        self._body = bytearray()
        self._unended = 0
        self._in_head = True
        self._whole_size = 0  # of the body so far, also of what has gone on
        self.moved_s = self.since_s  # when something of the body last came

    # asyncio.BufferedProtocol: one buffer for all, since each read is used up at once

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._frontend.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._ended or self._transport is None:
            return
        self._unread_from_s = None
        if not self._begun:
            self._begun = True
            if self._asked:  # a first request's time counts from connecting
                self.since_s = self._frontend.ran_s()
        if self._parser is None:
            self._parser = httptools.HttpRequestParser(self)
        self._completed = False
        try:
            self._parser.feed_data(self._frontend.buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._error = self._error or 400
        self._date(nbytes)
        if self._in_head and self._begun and not self._completed:
            self._unended += nbytes  # danger: a header without end, of which the parser tells nothing
            if self._unended > MAX_HEAD:
                self._error = self._error or 431
        if not self._error:
            self._pass_body_on()
        if self._error:
            self._end_with(self._error)
        else:
            self._next()
        self._frontend.note_stage(self)

    def _date(self, nbytes: int) -> None:
        """When what ended in the bytes read just now came, where that may be long ago. Danger: a process that
        was stopped finds what came meanwhile, and would run it after its clients gave up."""
        admitted, self._admitted = self._admitted, []
        now_s = self._frontend.loop.time()
        wake = self._frontend.wake
        since_s = self.behind_s or wake.since_s(now_s)
        if self._unheard:
            self._unheard = False
            since_s = since_s or wake.since_opened_s(now_s, self._opened_s)
        # A read that fills the buffer leaves something that may be as old.
        self.behind_s = since_s or 0.0 if nbytes == READ_BYTES else 0.0
        if since_s is None:
            return
        for call in admitted:
            ends_there = call is admitted[-1] and not self._begun
            call.came(wake.came(now_s, since_s, self._sock, ends_there))

    def _pass_body_on(self) -> None:
        """What of a body goes on as it comes. Not within the parser's calls, as in `_next`."""
        over, self._over = self._over, []
        for done, rest in over:
            assert done.upload is not None
            if rest:
                done.upload.feed(rest)
            done.upload.end()
        if self._in_head or not self._body:
            return
        self.moved_s = self._frontend.ran_s()
        call, keeping = self._coming, self._frontend.keeping
        if call is not None and call.upload is not None:
            piece = bytes(self._body)
            self._body.clear()
            call.upload.feed(piece)
            return
        length = self._headers.get(b"content-length")
        whole = int(length) if length is not None else None
        if keeping.may_hold(whole, len(self._body), self._claimed):
            if len(self._body) > MAX_BODY:
                self._claimed = keeping.claim(max(len(self._body), whole or 0), self._claimed)
        elif len(self._body) >= MAX_BODY:
            self._begin_upload(whole)

    def _begin_upload(self, length: int | None) -> None:
        """The beginning of the body is there; the call goes its way, and the rest follows as it comes."""
        assert self._parser is not None
        call = self._call()
        call.upload = Upload(length, self._hold_back, self._read_on)
        self._body.clear()
        self._admit(call)
        if not self._error:
            self._coming = call
            self._admitted.clear()  # its last byte is to come
            self._hold_back()  # until an attempt is there that the rest can go to

    def _hold_back(self) -> None:
        if not self._held_back and self._transport is not None and not self._ended:
            self._held_back, self.moved_s = True, self._frontend.ran_s()
            self._transport.pause_reading()

    def _read_on(self) -> None:
        if self._held_back and self._transport is not None:
            now_s = self._frontend.ran_s()
            self.since_s += now_s - self.moved_s  # that time was ours
            self._held_back, self.moved_s = False, now_s
            self._transport.resume_reading()

    def eof_received(self) -> None:
        """A client that closes its connection, or its sending, has gone away; the transport closes by itself.

        Danger: it closes only when all that was written is read; what waits would be sent on until then.
        """
        self._ended = True
        self._withdraw()

    def left(self, call: ClientCall) -> bool:
        """Has the client of a call gone? Asked of the kernel.

        Danger: its end is heard a step of the loop after it came, which may be long on a busy machine, and
        not at all while it is not read from: what it had asked would be sent on.
        """
        if self._open is call and peer_has_closed(self._sock):
            self._ended = True  # the transport hears it by itself, or `check` does
            self._withdraw()
        return self._open is not call

    def begin_direct(self, transport: asyncio.Transport) -> None:
        """Use `transport` until the loop has one (`connection_made`), or the connection is over."""
        self._transport, self._direct = transport, True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        before, self._transport = self._transport, cast(asyncio.Transport, transport)
        self._direct = False
        self._transport.set_write_buffer_limits(high=MAX_BODY)
        self._frontend.add(self)
        if isinstance(before, DirectTransport):
            self._go_on_from(before)
        self._next()

    def _go_on_from(self, before: DirectTransport) -> None:
        """The loop has the connection now; what was left to be done on it without the loop is done here."""
        assert self._transport is not None
        if before.unsent:
            self._transport.write(before.unsent)
        if self._ended:
            half_close(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._parser = None  # danger: the two hold each other, and would wait for the cycle collector
        self._frontend.remove(self)
        self._withdraw()

    def pause_writing(self) -> None:
        self._paused, self.since_s = True, self._frontend.ran_s()

    def resume_writing(self) -> None:
        self._paused = False
        if self._passing is not None and self._passing.on_ready is not None:
            self._passing.on_ready()
        self._next()
        self._frontend.note_stage(self)

    # httptools

    def on_message_begin(self) -> None:
        self._reset()
        self._begun = True

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return  # danger: a trailer behind the body would change what the head has said
        self._error = self._error or self._headers.add(name.lower(), value)

    def on_headers_complete(self) -> None:
        self._in_head = False
        parser, headers = self._parser, self._headers
        assert parser is not None
        length = headers.get(b"content-length")
        if parser.should_upgrade() or parser.get_http_version() not in ("1.1", "1.0"):
            self._error = self._error or 400  # danger: what follows is framed in another way
        elif b"transfer-encoding" in headers and (
            length is not None or headers[b"transfer-encoding"].lower() != b"chunked"
        ):
            self._error = self._error or 400  # danger: another request may hide in its body
        elif length is not None and int(length) > MOST_BODY:
            self._error = self._error or 413
        self._whole_size, self.moved_s = 0, self._frontend.ran_s()
        if headers.get(b"expect", b"").lower() == b"100-continue" and not self._error and not self.busy:
            assert self._transport is not None
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._whole_size += len(body)
        if self._whole_size > MOST_BODY:
            self._error = self._error or 413
        elif not self._error:
            self._body += body

    def on_message_complete(self) -> None:
        self._begun, self._in_head, self._completed = False, True, True
        if self._error:
            return
        coming, self._coming = self._coming, None
        if coming is not None:
            coming.arrived_ms = self._frontend.loop.time() * 1000
            self._over.append((coming, bytes(self._body)))
            self._admitted.append(coming)
        else:
            self._admit(self._call())
        self._reset()

    def _call(self) -> ClientCall:
        assert self._parser is not None
        target = self._target
        if not target.startswith(b"/"):  # the absolute form (RFC 9112, 3.2.2)
            scheme, _, rest = target.partition(b"://")
            slash = rest.find(b"/")
            target = rest[slash:] if scheme.lower() in (b"http", b"https") and slash > 0 else b""
        call = ClientCall(self, self._parser.get_method(), target or b"/", self._headers, bytes(self._body))
        if not target:
            self._error = self._error or 400
        call.keep_alive = self._parser.should_keep_alive()
        call.old = self._parser.get_http_version() == "1.0"
        return call

    def _admit(self, call: ClientCall) -> None:
        """Into the queue of calls to be handed over, or say what is wrong with it."""
        headers = self._headers
        if self._error:
            return
        if call.target != HEALTH:
            self._error = self._gate.check(call, headers)
            waiting_bytes = sum(len(waiting.body) for waiting in self._waiting) + len(call.body)
            if len(self._waiting) >= MOST_WAITING or (self.busy and waiting_bytes > MOST_WAITING_BYTES):
                self._error = self._error or 429
        elif call.method != b"GET" or len(self._waiting) >= MOST_WAITING:
            self._error = 405 if call.method != b"GET" else 429
        if not self._error:
            self._waiting.append(call)
            self._admitted.append(call)
            self._gate.waiting_ids.add(call.request_id)

    # Calls and answers

    def _next(self) -> None:
        """Hand over the next call, if none is open. Nothing is handed over within the parser's calls:
        the bytes behind a request can show that its length was wrong."""
        while self._open is None and self._waiting and not self._paused and not self._ended:
            call, reason = self._waiting[0], None
            if call.target != HEALTH:
                reason = self._frontend.reason_to_refuse(self, call)
                if reason is None and self._direct:
                    return  # it is handed over once the loop has this connection
            self._open = self._waiting.popleft()
            self._gate.waiting_ids.discard(call.request_id)
            self._asked = True
            if call.target == HEALTH:
                self.answer(call, 200 if self._gate.handler.ready() else 503, b"", b"")
            elif not self._gate.still_valid(call):
                call.refused(0.0)
            elif reason is not None:
                self._refuse(call, reason)
            else:
                self._gate.handler.arrived(call)

    def _refuse(self, call: ClientCall, reason: RefusalReason) -> None:
        """Refuse a request that the decisions never see."""
        self._frontend.load.refused(reason)
        self._frontend.errors.recorder.note("refused", call.request_id, reason.value)
        if self._frontend.observer is not None:
            self._frontend.observer.not_taken(call, reason.value)
        call.refused(self._gate.retry_after_ms)

    def answer(self, call: ClientCall, status: int, body: bytes, headers: bytes) -> None:
        if self._open is not call or self._transport is None:
            return  # the client has gone
        try:
            if call.upload is not None and not call.upload.ended:
                self._answer_early(status, headers)
                return
            close = self._closing(call)
            self._transport.write(encode_answer(status, body, headers + self._gate.alt_svc, close))
            self._answered(close)
        except Exception as error:
            self.fail("client_answer", error)

    def fail(self, place: str, error: Exception) -> None:
        """End this connection for an error that was raised while something was done for it. Whoever did that,
        the decisions' loop or a server's connection, goes on."""
        errors = self._frontend.errors
        errors.report(place, error, f"client connection {self._number}")
        errors.run(place, partial(self.end, place))

    def _closing(self, call: ClientCall) -> bool:
        # In a drain what waits has been taken, too: the connection ends with the last of it.
        return not call.keep_alive or (
            not self._waiting
            and (
                self.refuses
                or self._gate.stopping
                or self._gate.refusing
                or self._frontend.many_idle
                or self._frontend.over_full
                or self._frontend.listener.deferred
            )
        )

    def _answered(self, close: bool) -> None:
        """The open call's answer is out, whole."""
        self._open = None
        self._release()
        self.since_s = self._frontend.ran_s()
        assert self._transport is not None
        if close and self._frontend.many_idle and not self.unflushed and not has_unread_data(self._sock):
            self._ended = True  # it goes at once, to make room; nothing lies here that would reset it
            self._withdraw()
            self._transport.close()
        elif close:
            self._end_sending()
        elif self._waiting:
            self._frontend.loop.call_soon(self._next)
        self._frontend.note_stage(self)

    def _answer_early(self, status: int, headers: bytes) -> None:
        """Before the call's last byte: the rest is read and dropped, or it would overtake the answer."""
        assert self._transport is not None
        self._open = self._coming = None
        self._say_last(encode_answer(status, b"", headers, True))

    def begin(self, call: ClientCall, answer: Answer) -> AnswerSink | None:
        """A long answer, passed on as it comes."""
        if self._open is not call or self._transport is None:
            return None
        try:
            return self._begin_passing(self._transport, call, answer)
        except Exception as error:
            self.fail("client_answer_begin", error)
            return None

    def _begin_passing(self, transport: asyncio.Transport, call: ClientCall, answer: Answer) -> AnswerSink:
        chunked = answer.length is None and not call.old
        close = self._closing(call) or (answer.length is None and call.old)
        transport.write(encode_long_head(answer, self._gate.alt_svc, chunked, close))
        transport.set_write_buffer_limits(high=PASSING_BYTES)
        self._passing = LongAnswer(self, chunked, close, shows_its_end=chunked or answer.length is not None)
        return self._passing

    def pass_on(self, data: bytes) -> bool:
        if self._transport is None or self._ended:
            return False
        try:
            self._transport.write(data)
        except Exception as error:
            self.fail("client_answer_piece", error)
            return False
        self._written += len(data)
        return not self._paused

    def passed(self, close: bool) -> None:
        self._passing = None
        if self._transport is not None and self._open is not None:
            self._answered(close)

    def cut(self, shows_its_end: bool) -> None:
        """A long answer ends before its end. Danger: its client must be able to tell: not one byte that could
        end it, and no orderly end of the connection where that is the answer's."""
        self._passing, self._open = None, None
        if self._transport is None:
            return
        self._note("closed_by_us", "answer cut short")
        if shows_its_end:
            self._end_sending()  # what it has been sent goes out first: not even its head may have left yet
            self._frontend.note_stage(self)
        else:
            self._ended = True
            reset(self._transport, self._sock)

    def _release(self) -> None:
        self._claimed = self._frontend.keeping.claim(0, self._claimed)

    def _end_with(self, status: int) -> None:
        """An error, and the end of the connection: what can't be read leaves nothing on it to be trusted.

        Calls that are open are withdrawn: the error is the answer to the first, and says that it failed.
        """
        if self._transport is None or self._ended:
            return
        if status == 429 and self._open is not None:
            # Danger: it answers the open call, which may have run: 429 would say that it may be sent again.
            status = 400
        self._ended = True
        self._note("turned_away", status)
        if self._frontend.observer is not None:
            self._frontend.observer.turned_away(status)
        self._withdraw()
        self._reset()
        self._say_last(encode_answer(status, b"", b"", True))

    def _say_last(self, answer: bytes) -> None:
        """The last answer; what its client still sends is dropped for a while."""
        assert self._transport is not None
        self._transport.write(answer)
        self._end_sending()
        self._frontend.note_stage(self)

    def _end_sending(self) -> None:
        """The last answer is out. Danger: where something lies here unread, or still comes, closing resets
        the connection, and the answer is lost on its way (RFC 9112, 9.6): it is read and dropped a while."""
        transport = self._transport
        assert transport is not None
        self._ended, self.since_s = True, self._frontend.ran_s()
        if not half_close(transport):
            self._note("closed_by_client", "as its last answer was written")
            self._frontend.errors.counts["client_half_close"] += 1
        self._withdraw()
        self._held_back, held_back = False, self._held_back
        if held_back:
            transport.resume_reading()

    def _withdraw(self) -> None:
        """Nothing is owed to this client any more."""
        for waiting in self._waiting:
            self._gate.waiting_ids.discard(waiting.request_id)
        self._waiting.clear()
        self._release()
        self._coming, self._passing = None, None
        self._over.clear()
        call, self._open = self._open, None
        if call is not None:
            self._gate.handler.gone(call)

    # Its state, for the frontend

    @property
    def busy(self) -> bool:
        return self._open is not None or bool(self._waiting)

    @property
    def half_sent(self) -> bool:
        return self._begun and not self._ended

    def read_late(self) -> bool:
        """May what it sent have waited here for long? To be asked while the loop does not keep up: it may be
        busy all the time and read each request in good time all the same."""
        age_s = data_age_s(self._sock)
        return age_s is None or age_s > MOST_BEHIND_S

    @property
    def stage(self) -> Stage:
        if self.busy or self._paused:
            return Stage.BUSY
        if self._ended:
            return Stage.ENDED
        if not self._asked:
            return Stage.SILENT
        return Stage.BUSY if self._begun else Stage.IDLE

    @property
    def evictable(self) -> bool:
        """Can it be closed with nothing lost that its client is owed?"""
        return self._ended or (self.half_sent and not self.unread) or self.closable

    @property
    def unread(self) -> bool:
        """Has it sent what has not been read? Then it is not the one to make room, whatever it seemed."""
        return has_unread_data(self._sock)

    @property
    def unflushed(self) -> bool:
        """Has it been answered what has not left this program yet?"""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def turn_away(self) -> None:
        """The proxy ends: what has not come whole is refused. Danger: its last byte may cross that end."""
        if self._begun and not self.busy:
            self._end_with(503)

    @property
    def closable(self) -> bool:
        """Is nothing on it? False also if a request is, which has not been read yet."""
        nothing = not (self.busy or self._begun or self._ended or self._transport is None)
        return nothing and not has_unread_data(self._sock)

    def close_idle(self) -> bool:
        """Close it if nothing is on it, its last answer included."""
        if not self.closable or self.unflushed:
            return False
        self.end("idle")
        return True

    def _note(self, event: str, detail: object) -> None:
        self._frontend.errors.recorder.note(event, f"client-connection-{self._number}", detail)

    def end(self, why: str) -> None:
        """Close at once, whatever is on it."""
        self._note("closed_by_us", why)
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def check(self, now_s: float, crowded: bool) -> None:
        """Danger: whoever never ends a request, or its connection, holds descriptors and memory for good."""
        if self._held_back and peer_has_closed(self._sock):
            self.end("left")  # who is not read from is not seen to leave, and its request would go on
            return
        waited_s = now_s - self.since_s
        left = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if self._written - left > self._taken:
            self._taken, self.since_s = self._written - left, now_s  # it reads, if slowly
        elif left:
            if waited_s > (STALL_S if self._written else UNREAD_S):
                self.end("answers are not read")
        elif self._ended:
            if waited_s > LINGER_S:
                self.end("lingered")
        elif self._begun and not self._in_head and (not self.busy or self._coming is not None):
            late = waited_s > UNFINISHED_S + self._whole_size / SLOWEST_BODY
            if not self._held_back and (late or now_s - self.moved_s > PAUSE_S):
                self._end_with(408)
        elif self.busy:
            pass
        elif self._begun:
            if waited_s > UNFINISHED_S:
                self._end_with(408)
        elif waited_s > UNFINISHED_S and self._is_unreadable(now_s):
            self.end("can't be read from")
        elif waited_s > (IDLE_S if crowded or not self._asked else IDLE_WITH_ROOM_S):
            self.close_idle()

    def _is_unreadable(self, now_s: float) -> bool:
        """Has something lain here unread for `UNREADABLE_S`? Then the loop could not add the connection to
        epoll (epoll_ctl(2): ENOMEM, ENOSPC), and will never read from it. What has just come is read in the
        loop's next step."""
        if not has_unread_data(self._sock):
            self._unread_from_s = None
            return False
        if self._unread_from_s is None:
            self._unread_from_s = now_s
        return now_s - self._unread_from_s > UNREADABLE_S
