"""What the parts of the client proxy hand to one another: a client's call and a host's answer."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol

from cloverrouter.values import Value

MAX_BODY = 64 * 1024  # held whole, for either side; what is longer may be passed on as it comes
MOST_BODY = 32 * 1024 * 1024  # of one message
MAX_HEAD = 16 * 1024


class Answer(Value):
    """A host's whole answer; or, with no body, the beginning of one that is passed on as it comes."""

    status: int
    body: bytes
    content_type: bytes
    never_ran: bool  # the host says that it has not begun the request
    report: bytes | None  # its load report, unread
    length: int | None = None  # of the body of one that is passed on, where the host said
    waited_ms: float | None = None  # lay here unread, this process having stood still; None: not known


class AnswerSink(Protocol):
    """Where the pieces of an answer go that is passed on as it comes."""

    def write(self, data: bytes) -> bool:
        """False: the client has enough to read for now; `on_ready` is called when it wants more."""

    def finish(self) -> None:
        """That was all of it."""

    def cut(self) -> None:
        """There will be no more, and the client must be able to tell."""

    on_ready: Callable[[], None] | None


class BodySink(Protocol):
    """Where the pieces of a body go that is passed on as it comes."""

    def more(self, data: bytes) -> bool:
        """False: the host has enough for now; it says `Upload.go_on` when it wants more."""

    def whole(self) -> None:
        """That was all of it."""


class Upload:
    """The rest of a body that is passed on as it comes: between a client's connection and an attempt.

    At most what one read brought waits in here: nothing more is read until that has gone on.
    """

    def __init__(self, length: int | None, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """`length`: of the whole body, where the client said; `pause` and `resume` its sending."""
        self.length = length
        self.ended = False
        self.on_end: Callable[[], None] | None = None
        self._pause, self._resume = pause, resume
        self._sink: BodySink | None = None
        self._pending = bytearray()

    # The client's side

    def feed(self, data: bytes) -> None:
        if self._sink is None:
            self._pending += data
            self._pause()
        elif not self._sink.more(data):
            self._pause()

    def end(self) -> None:
        self.ended = True
        if self._sink is not None:
            self._sink.whole()
        if self.on_end is not None:
            self.on_end()

    # The host's side

    def attach(self, sink: BodySink) -> None:
        """The attempt that the rest goes to; there is no second one."""
        self._sink = sink
        pending, self._pending = bytes(self._pending), bytearray()
        ready = sink.more(pending) if pending else True
        if self.ended:
            sink.whole()
        elif ready:
            self._resume()

    def go_on(self) -> None:
        if not self.ended:
            self._resume()


class Call(ABC):
    """One request of a client. Exactly one of the three answers is given; later ones go nowhere."""

    __slots__ = (
        "arrived_ms",
        "body",
        "class_name",
        "content_type",
        "cost_ms",
        "idempotency_key",
        "key",
        "method",
        "repeat",
        "request_id",
        "target",
        "tenant",
        "timeout_ms",
    )

    arrived_ms: float  # when its last byte had come
    method: bytes
    target: bytes
    request_id: bytes
    idempotency_key: bytes
    content_type: bytes
    body: bytes
    class_name: str
    tenant: str | None
    key: str | None
    timeout_ms: float | None  # how long the client waits; None: it did not say
    cost_ms: float | None
    repeat: bool
    former = False  # found valid by the classes as they were before the last change
    late = False  # it lay here unread, this process having stood still: `arrived_ms` is as far as known
    upload: Upload | None = None  # where only the beginning of the body is in `body`

    def left(self) -> bool:
        """Has its client gone? To be asked in the moment before an attempt begins; whoever finds out here has
        told the handler so (`Handler.gone`) by the return."""
        return False

    def begin(self, answer: Answer) -> AnswerSink | None:
        """Begin to pass on a long answer; None if nobody is there to take it."""
        return None

    @abstractmethod
    def served(self, answer: Answer) -> None: ...

    @abstractmethod
    def refused(self, retry_after_ms: float) -> None: ...

    @abstractmethod
    def failed(self) -> None: ...
