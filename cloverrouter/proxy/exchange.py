"""One attempt: a request on its way to a host, and how it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from cloverrouter.interface import Outcome, Sign
from cloverrouter.proxy.config import Address
from cloverrouter.proxy.messages import Answer, AnswerSink, Call, Upload

if TYPE_CHECKING:
    from cloverrouter.proxy.server_connection import ServerConnection

# Danger: a new host at an old address must not be sent requests on the old one's connections.
Host = tuple[str, Address]
OnEnd = Callable[[Outcome, Answer | None], None]
# A long answer begins; where its pieces go, or None if nobody wants it any more.
OnBegin = Callable[[Answer], AnswerSink | None]


def outcome_of(answer: Answer) -> Outcome:
    """How the attempt ended that brought this answer."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504) and answer.never_ran:
        return Outcome.REJECTED
    return Outcome.ERROR


def chunk(data: bytes) -> bytes:
    """A piece of a body of unknown length (RFC 9112, 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode(call: Call, timeout_ms: float) -> tuple[bytes, bytes]:
    """A request as it goes out: its head, and what there is of the body. `timeout_ms`: the time left."""
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
        return b"".join([*head, b"Transfer-Encoding: chunked\r\n\r\n"]), chunk(call.body)
    if call.body or call.method not in (b"GET", b"HEAD"):
        length = len(call.body) if upload is None or upload.length is None else upload.length
        head.append(b"Content-Length: %d\r\n" % length)
    return b"".join([*head, b"\r\n"]), call.body


class Exchange:
    """One attempt: a request on its way to a host. Ends once, by `on_end` or silently by `abandon`."""

    __slots__ = (
        "connection",
        "message",
        "on_begin",
        "on_end",
        "on_open",
        "opening",
        "sign",
        "until_s",
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
        self.sign: Sign | None = None  # what its connection showed, if that did not come up
        self.until_s = float("inf")  # from then on it is not to go out any more
        self.on_end: OnEnd | None = on_end
        self.connection: ServerConnection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.written = False  # its last byte was handed to the socket: it may have run

    @property
    def begun(self) -> bool:
        return self.written or self.connection is not None

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(outcome, answer)

    def abandon(self) -> None:
        """Give it up: its connection closes, and if it has not gone out it never will."""
        self.on_end = None
        if self.opening is not None:
            self.opening.cancel()
        if self.connection is not None:
            self.connection.abort()
