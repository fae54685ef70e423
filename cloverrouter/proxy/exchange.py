"""One attempt: a request sent to a host, its HTTP/1.1 encoding and its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from cloverrouter.interface import ConnectionSignal, Outcome
from cloverrouter.proxy.config import Address
from cloverrouter.proxy.messages import Answer, AnswerProgress, AnswerSink, Call, Upload

if TYPE_CHECKING:
    from cloverrouter.proxy.server_connection import ServerConnection

# Name and address: a new host at the address of an old one must not get requests on the old connections.
Host = tuple[str, Address]
OnEnd = Callable[[Outcome, Answer | None], None]
# Called when a streamed answer begins; returns the receiver of its body, or None if no longer wanted.
OnBegin = Callable[[Answer], AnswerSink | None]


def outcome_of(answer: Answer) -> Outcome:
    """Return the outcome of an attempt that ended with this answer."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504) and answer.never_ran:
        return Outcome.REJECTED
    return Outcome.ERROR


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk of a body of unknown length (RFC 9112, section 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_request(call: Call, timeout_ms: float) -> tuple[bytes, bytes]:
    """Return the head of the request and as much of its body as has arrived. `timeout_ms`: the time left."""
    upload = call.upload
    head = [
        b"%b %b HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %b\r\nX-Timeout-Ms: %d\r\n"
        % (call.method, call.target, call.request_id, max(1, int(timeout_ms)))
    ]
    if call.idempotency_key:
        head.append(b"Idempotency-Key: %b\r\n" % call.idempotency_key)
    if call.content_type:
        head.append(b"Content-Type: %b\r\n" % call.content_type)
    if upload is not None and upload.length is None:
        return b"".join([*head, b"Transfer-Encoding: chunked\r\n\r\n"]), encode_chunk(call.body)
    if call.body or call.method not in (b"GET", b"HEAD"):
        length = len(call.body) if upload is None or upload.length is None else upload.length
        head.append(b"Content-Length: %d\r\n" % length)
    return b"".join([*head, b"\r\n"]), call.body


class Exchange:
    """One attempt: a request sent to a host. Ends once, by calling `on_end` or silently by `abandon`."""

    __slots__ = (
        "connect_task",
        "connection",
        "message",
        "on_begin",
        "on_end",
        "on_open",
        "send_by_s",
        "signal",
        "upload",
        "written",
    )

    def __init__(
        self,
        message: tuple[bytes, bytes],
        upload: Upload | None,
        on_end: OnEnd,
        on_begin: OnBegin | None,
        on_open: Callable[[], None] | None = None,
    ) -> None:
        self.message = message
        self.upload = upload  # the rest of the body
        self.on_begin = on_begin
        self.on_open = on_open
        self.signal: ConnectionSignal | None = None  # set if its connection could not be established
        self.send_by_s = float("inf")  # not sent after this time
        self.on_end: OnEnd | None = on_end
        self.connection: ServerConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.written = False  # its last byte was handed to the socket: the server may have run it

    @property
    def begun(self) -> bool:
        return self.written or self.connection is not None

    @property
    def received_bytes(self) -> int:
        """How many bytes of an answer have been received."""
        return self.connection.received_bytes if self.connection is not None else 0

    def answer_progress(self) -> AnswerProgress | None:
        """Return how far an answer has come whose head is complete; None if there is none."""
        return self.connection.answer_progress() if self.connection is not None else None

    def stream_answer(self) -> bool:
        """Start to stream an answer that may be long; return whether it is streamed."""
        return self.connection is not None and self.connection.stream_answer()

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        on_end = self.on_end
        self._release()
        if on_end is not None:
            on_end(outcome, answer)

    def _release(self) -> None:
        """Drop what refers to the request: it would be part of a reference cycle, and its body held on to."""
        self.on_end = self.on_begin = self.on_open = self.upload = None
        self.message = b"", b""

    def abandon(self) -> None:
        """Cancel the attempt: its connection is closed, and if it is not sent yet it never will be."""
        self._release()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.abort()
