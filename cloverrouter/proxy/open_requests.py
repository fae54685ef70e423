"""Open requests of the node and their attempts in flight."""

from __future__ import annotations

from cloverrouter.clock import Handle
from cloverrouter.proxy.carrier import SentAttempt
from cloverrouter.proxy.exchange import Host
from cloverrouter.proxy.late_answers import LateAnswer, StreamedShortAnswer
from cloverrouter.proxy.messages import AnswerSink, Call
from cloverrouter.proxy.observer import AttemptResult


class OpenAttempt:
    """An attempt in flight at a server."""

    __slots__ = (
        "answer_watch",
        "exchange",
        "expires_ms",
        "first_byte_ms",
        "host",
        "number",
        "request",
        "send_timer",
        "sent_active_ms",
        "sent_ms",
        "sink",
        "timer",
    )

    def __init__(self, request: OpenRequest, number: int, host: Host, sent_ms: float) -> None:
        self.request = request
        self.number = number
        self.host = host
        self.sent_ms = sent_ms
        self.sent_active_ms = 0.0  # when it was sent, on the clock that excludes process pauses
        self.expires_ms = float("inf")  # when it times out
        self.first_byte_ms: float | None = None  # time to the start of a streamed answer
        self.exchange: SentAttempt | None = None
        self.sink: AnswerSink | None = None  # receives the body of a streamed answer
        self.timer: Handle | None = None
        self.send_timer: Handle | None = None  # ends it if it has not been sent by then
        # Ends an answer that has begun, and may not be waited for.
        self.answer_watch: LateAnswer | StreamedShortAnswer | None = None

    def release(self) -> None:
        """Stop the timers of an attempt that ends, and drop what refers to it: a timer that has fired, too,
        would keep the request with its body in a reference cycle."""
        for watch in (self.timer, self.send_timer):
            if watch is not None:
                watch.cancel()
        if self.answer_watch is not None:
            self.answer_watch.stop()
        self.timer = self.send_timer = self.answer_watch = self.sink = None


class OpenRequest:
    """A call, from its arrival until it is answered and all its attempts have ended."""

    __slots__ = (
        "answered",
        "attempt_count",
        "attempt_results",
        "attempts",
        "call",
        "deadline_ms",
        "id",
        "may_have_run",
        "registered",
    )

    def __init__(self, request_id: int, call: Call, deadline_ms: float | None) -> None:
        self.id = request_id
        self.call = call
        self.deadline_ms = deadline_ms
        self.attempt_count = 0
        self.attempts: dict[int, OpenAttempt] = {}
        self.answered = False  # or the client no longer waits for an answer
        self.may_have_run = False  # a fully written attempt ended, not as one that never ran
        self.registered = False  # its id is in `Node.run_ids`
        self.attempt_results: list[AttemptResult] | None = None  # of its ended attempts, for an observer

    @property
    def is_fully_sent(self) -> bool:
        """Whether the last byte of an attempt in flight has been written: its server may have run it."""
        return any(a.exchange is not None and a.exchange.written for a in self.attempts.values())
