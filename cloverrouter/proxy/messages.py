"""Messages between the parts of the proxy: a client's call, a host's answer, and their streamed bodies."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from cloverrouter.values import Value

STREAMING_THRESHOLD_BYTES = 64 * 1024  # shorter bodies and answers are buffered; longer ones may be streamed
MAX_BODY_BYTES = 32 * 1024 * 1024  # of one request or answer
MAX_HEAD_BYTES = 16 * 1024


class Answer(Value):
    """A host's complete answer; or, with an empty body, the head of one that is streamed."""

    status: int
    body: bytes
    content_type: bytes
    never_ran: bool  # the host reports that it has not started the request
    report: bytes | None  # the host's load report, unparsed
    length: int | None = None  # of a streamed body, if the host declared it
    waited_ms: float | None = None  # unread in the socket while this process was paused; None: not known


class AnswerLength(Enum):
    """What is known of the length of an answer that has not ended."""

    SHORT = "short"  # declared, and at most `STREAMING_THRESHOLD_BYTES`: due as a whole
    UNDECLARED = "undeclared"  # not declared, and so far it may be either
    LONG = "long"  # above the threshold, by declaration or by what has come: only its first bytes are due


class AnswerProgress(NamedTuple):
    """How far an answer has come whose head is complete."""

    body_bytes: int  # received so far
    idle_s: float  # seconds in which the server has sent nothing, although it could have
    declared_bytes: int | None = None  # the length of its body, if the server has declared it
    client_is_slow: bool = False  # the server is not read, since the client does not read

    @property
    def length(self) -> AnswerLength:
        """What is known of its length."""
        if max(self.body_bytes, self.declared_bytes or 0) > STREAMING_THRESHOLD_BYTES:
            return AnswerLength.LONG
        return AnswerLength.UNDECLARED if self.declared_bytes is None else AnswerLength.SHORT


class AnswerSink(Protocol):
    """The receiver of a streamed answer's pieces."""

    def write(self, data: bytes) -> bool:
        """Send a piece; False asks for a pause until `on_ready` is called: the client reads too slowly."""

    def finish(self) -> None:
        """Mark the end of a complete answer."""

    def abort(self) -> None:
        """End a truncated answer in a way that lets the client detect it."""

    on_ready: Callable[[], None] | None


class BodySink(Protocol):
    """The receiver of a streamed request body's pieces."""

    def write_body(self, data: bytes) -> bool:
        """Send a piece; False asks for a pause until `Upload.resume` is called: the host reads too slowly."""

    def finish_body(self) -> None:
        """Mark the end of a complete body."""

    @property
    def unsent_bytes(self) -> int:
        """How much of the body waits for the host to read it."""


class EndedBodySink:
    """The receiver of a request body whose attempt has ended: it takes nothing more."""

    unsent_bytes = 0

    def write_body(self, data: bytes) -> bool:
        """Drop a piece; False, since no more of them are wanted."""
        return False

    def finish_body(self) -> None:
        """Do nothing."""


ENDED_BODY_SINK = EndedBodySink()


class Upload:
    """The rest of a streamed request body, between the client's connection and an attempt.

    Buffers at most the bytes of one read: reading pauses until these have been forwarded.
    """

    def __init__(self, length: int | None, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """`length`: of the whole body, if declared; `pause` and `resume`: stop and continue reading it."""
        self.length = length
        self.first_part_bytes = 0  # of the body, which waits with the head for a connection to the host
        self.ended = False
        self.on_end: Callable[[], None] | None = None
        self._pause, self._resume = pause, resume
        self._sink: BodySink | None = None
        self._pending = bytearray()

    @property
    def held_bytes(self) -> int:
        """How much of the body waits for an attempt, or for its host to read it."""
        if self._sink is None:
            return self.first_part_bytes + len(self._pending)
        return self._sink.unsent_bytes

    # The client's side

    def feed(self, data: bytes) -> None:
        if self._sink is None:
            self._pending += data
            self._pause()
        elif not self._sink.write_body(data):
            self._pause()

    def end(self) -> None:
        self.ended = True
        if self._sink is not None:
            self._sink.finish_body()
        if self.on_end is not None:
            self.on_end()

    # The host's side

    def attach(self, sink: BodySink) -> None:
        """Connect the attempt that the rest is sent to; there is only one, since the body is not kept."""
        self._sink = sink
        pending, self._pending = bytes(self._pending), bytearray()
        ready = sink.write_body(pending) if pending else True
        if self.ended:
            sink.finish_body()
        elif ready:
            self._resume()

    def detach(self) -> None:
        """Drop the attempt, which has ended: what still comes of the body is not sent."""
        if self._sink is not None:
            self._sink = ENDED_BODY_SINK

    def resume(self) -> None:
        if not self.ended:
            self._resume()


class Call(ABC):
    """One request of a client. Exactly one of the three answers is given; later ones are ignored."""

    __slots__ = (
        "arrived_ms",
        "body",
        "class_name",
        "content_type",
        "cost_ms",
        "idempotency_key",
        "is_retry",
        "key",
        "method",
        "request_id",
        "target",
        "tenant",
        "timeout_ms",
    )

    arrived_ms: float  # when its last byte arrived
    method: bytes
    target: bytes
    request_id: bytes
    idempotency_key: bytes
    content_type: bytes
    body: bytes
    class_name: str
    tenant: str | None
    key: str | None
    timeout_ms: float | None  # how long the client waits; None: not declared
    cost_ms: float | None
    is_retry: bool  # the client marked it as a retry
    fits_previous_classes = False  # valid by the classes before the last settings change
    is_delayed = False  # read late, after a process pause or a backlog: `arrived_ms` is an estimate
    upload: Upload | None = None  # set where `body` holds only the first part of the body

    @property
    def is_safe(self) -> bool:
        """Whether its class is safe to repeat."""
        return self.method == b"GET"

    def is_disconnected(self) -> bool:
        """Return whether the client has disconnected. To be called right before an attempt starts; if the
        disconnect is detected here, `Handler.disconnected` has been called before this returns."""
        return False

    def may_be_disconnected(self) -> bool:
        """Return whether the client may have disconnected for a while without this process seeing it."""
        return False

    def begin(self, answer: Answer) -> AnswerSink | None:
        """Start streaming an answer; None if the client can't receive it."""
        return None

    @abstractmethod
    def served(self, answer: Answer) -> None: ...

    @abstractmethod
    def refused(self, retry_after_ms: float) -> None: ...

    @abstractmethod
    def failed(self) -> None: ...
