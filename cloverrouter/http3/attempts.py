"""How an attempt on an HTTP/3 stream can end, and what it is told as. Rules, no I/O.

An attempt has been *sent* when the last byte of its request, with the stream's end (FIN), was put into a
packet that was handed to the socket; from then on it may have run. A packet that the library sends again
belongs to the same attempt: no request goes out a second time below the decisions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from cloverrouter.http3.fields import Fields
from cloverrouter.interface import Outcome
from cloverrouter.proxy.messages import MAX_BODY, MAX_HEAD, MOST_BODY

REQUEST_REJECTED = 0x10B  # RFC 9114, 8.1
STALL_S = 10.0  # a long answer, or body, of which nothing moves for so long has ended
MOST_DIGITS = 10
FIELD_BYTES = 32  # that a field counts on top of its text (RFC 9114, 4.2.2)


class End(Enum):
    """What an attempt's stream, or what it needed, came to."""

    NOT_UP = "no connection came up"  # no answer, no common version, TLS or ALPN failed, refused
    AWAY = "GOAWAY at or below its stream"
    RESET = "reset by the server"
    CLOSED = "the connection ended"  # by a close, a time-out, a stateless reset
    MALFORMED = "what came is no answer"
    STALLED = "nothing moves any more"


def outcome_of(end: End, sent: bool, code: int = 0) -> Outcome:
    """What an attempt is told as that ended without an answer; `code`: of a reset (RFC 9114, 8.1).

    Told as never having run only where the standard promises it, or where its last byte had not left.
    """
    if end is End.AWAY or (end is End.RESET and code == REQUEST_REJECTED):
        return Outcome.REJECTED  # RFC 9114, 5.2 and 4.1.1: no part of it was or will be processed
    if end is End.NOT_UP or not sent:
        return Outcome.CONNECT_FAILED
    if end in (End.MALFORMED, End.STALLED):
        return Outcome.SPOILT
    return Outcome.RESET


class Bad(ValueError):
    """What came is no answer; the text says why."""


@dataclass(slots=True)
class Reply:
    """An answer as it comes: its head, then its body in pieces. Raises `Bad` for what can't be one."""

    status: int = 0
    length: int | None = None  # of its body in bytes, where the server said
    content_type: bytes = b""
    report: bytes | None = None
    never_ran: bool = False
    came: int = 0  # bytes of its body, those passed on among them
    held: bytearray = field(default_factory=bytearray)

    def head(self, fields: Fields) -> bool:
        """A field section. False: an interim answer, the real one follows (RFC 9114, 4.1)."""
        if self.status:
            return True  # danger: trailers behind the body would change what the head has said
        # Danger: a head is held whole, and the server chooses its size.
        if sum(len(name) + len(value) + FIELD_BYTES for name, value in fields) > 2 * MAX_HEAD:
            raise Bad("its head is too large")
        told = dict(fields)
        status = told.get(b":status", b"")
        if len(status) != 3 or not status.isdigit():
            raise Bad(f"status {status[:10]!r}")
        if status[:1] == b"1":
            return False
        self.status = int(status)
        if (length := told.get(b"content-length")) is not None:
            if not length.isdigit() or len(length) > MOST_DIGITS:
                raise Bad(f"content-length {length[:20]!r}")
            self.length = int(length)
            if self.length > MOST_BODY:  # danger: gigabytes would be read to no use
                raise Bad("too large")
        self.content_type = told.get(b"content-type", b"")
        self.report = told.get(b"x-server-load")
        self.never_ran = told.get(b"x-not-processed", b"").strip() == b"1"
        return True

    def body(self, data: bytes) -> None:
        if not self.status:
            raise Bad("a body without a head")
        self.came += len(data)
        if self.came > MOST_BODY or (self.length is not None and self.came > self.length):
            raise Bad("longer than it said" if self.length is not None else "too large")
        self.held += data

    def whole(self) -> None:
        """Its stream's end has come."""
        if not self.status:
            raise Bad("an end without an answer")
        if self.length is not None and self.came != self.length:
            raise Bad("shorter than it said")

    @property
    def long(self) -> bool:
        """Too long to be held whole?"""
        return max(self.came, self.length or 0) > MAX_BODY
