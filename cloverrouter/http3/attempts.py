"""The ways in which an attempt on an HTTP/3 stream can end, and the outcome of each. Pure logic, no I/O.

An attempt is *sent* once the last byte of its request, with the stream's FIN, is in a packet that was handed
to the socket; from then on the server may have run it. A packet that the QUIC library retransmits belongs to
the same attempt: no request is sent twice below the decisions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from cloverrouter.http3.fields import Fields
from cloverrouter.interface import Outcome
from cloverrouter.proxy.messages import MAX_BODY_BYTES, MAX_HEAD_BYTES, STREAMING_THRESHOLD_BYTES

REQUEST_REJECTED = 0x10B  # RFC 9114, 8.1
STALL_S = 10.0  # timeout of a streamed answer or body without progress
MAX_LENGTH_DIGITS = 10
FIELD_OVERHEAD_BYTES = 32  # counted for each field in addition to its text (RFC 9114, 4.2.2)


class AttemptEnd(Enum):
    """How an attempt ended without an answer. The lower-case names are counters."""

    NOT_UP = "no connection established"  # no response, no common version, TLS or ALPN failed, refused
    AWAY = "GOAWAY at or below its stream"
    RESET = "reset by the server"
    CLOSED = "the connection ended"  # by a close, a timeout or a stateless reset
    MALFORMED = "malformed answer"
    STALLED = "no progress on the stream"


def outcome_of(end: AttemptEnd, sent: bool, code: int = 0) -> Outcome:
    """Return the outcome of an attempt that ended without an answer; `code`: of a reset (RFC 9114, 8.1).

    It is reported as never run only if the standard guarantees that or its last byte was not sent.
    """
    if end is AttemptEnd.AWAY or (end is AttemptEnd.RESET and code == REQUEST_REJECTED):
        return Outcome.REJECTED  # no part of it was or will be processed (RFC 9114, 5.2 and 4.1.1)
    if end is AttemptEnd.NOT_UP or not sent:
        return Outcome.CONNECT_FAILED
    if end in (AttemptEnd.MALFORMED, AttemptEnd.STALLED):
        return Outcome.SPOILT
    return Outcome.RESET


class MalformedAnswer(ValueError):
    """The received data is not a valid answer; the text gives the reason."""


@dataclass(slots=True)
class Reply:
    """An answer while it is received: its head, then its body in pieces. Raises `MalformedAnswer`."""

    status: int = 0
    length: int | None = None  # of the body in bytes, if declared
    content_type: bytes = b""
    report: bytes | None = None
    never_ran: bool = False
    received_bytes: int = 0  # bytes of the body, including those already forwarded
    buffered: bytearray = field(default_factory=bytearray)

    def receive_head(self, fields: Fields) -> bool:
        """Process a field section. False: an interim answer, the final one follows (RFC 9114, 4.1)."""
        if self.status:
            return True  # trailers must not override the head
        # The server chooses the size of the head, which is buffered as a whole.
        if sum(len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in fields) > 2 * MAX_HEAD_BYTES:
            raise MalformedAnswer("head is too large")
        values = dict(fields)
        status = values.get(b":status", b"")
        if len(status) != 3 or not status.isdigit():
            raise MalformedAnswer(f"status {status[:10]!r}")
        if status[:1] == b"1":
            return False
        self.status = int(status)
        if (length := values.get(b"content-length")) is not None:
            if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
                raise MalformedAnswer(f"content-length {length[:20]!r}")
            self.length = int(length)
            if self.length > MAX_BODY_BYTES:  # otherwise gigabytes would be read and then discarded
                raise MalformedAnswer("body is too large")
        self.content_type = values.get(b"content-type", b"")
        self.report = values.get(b"x-server-load")
        self.never_ran = values.get(b"x-not-processed", b"").strip() == b"1"
        return True

    def receive_body(self, data: bytes) -> None:
        """Buffer a piece of the body."""
        if not self.status:
            raise MalformedAnswer("body without a head")
        self.received_bytes += len(data)
        if self.received_bytes > MAX_BODY_BYTES or (
            self.length is not None and self.received_bytes > self.length
        ):
            raise MalformedAnswer(
                "body is longer than declared" if self.length is not None else "body is too large"
            )
        self.buffered += data

    def check_complete(self) -> None:
        """Check the answer at the end of its stream."""
        if not self.status:
            raise MalformedAnswer("stream ended without an answer")
        if self.length is not None and self.received_bytes != self.length:
            raise MalformedAnswer("body is shorter than declared")

    @property
    def exceeds_buffer(self) -> bool:
        """Whether it is too long to be buffered as a whole."""
        return max(self.received_bytes, self.length or 0) > STREAMING_THRESHOLD_BYTES
