"""Requests that are not over yet, and their attempts that are out."""

from __future__ import annotations

from cloverrouter.clock import Handle
from cloverrouter.proxy.carrier import Sent
from cloverrouter.proxy.exchange import Host
from cloverrouter.proxy.messages import AnswerSink, Call
from cloverrouter.proxy.observer import Tried


class OpenAttempt:
    """An attempt that is out."""

    __slots__ = (
        "due_ms",
        "exchange",
        "first_ms",
        "host",
        "number",
        "ran_ms",
        "request",
        "sent_ms",
        "sink",
        "timer",
    )

    def __init__(self, request: OpenRequest, number: int, host: Host, sent_ms: float) -> None:
        self.request = request
        self.number = number
        self.host = host
        self.sent_ms = sent_ms
        self.ran_ms = 0.0  # when it was sent, on the clock that stands still with this process
        self.due_ms = float("inf")  # when its time is over
        self.first_ms: float | None = None  # how long a long answer took to begin
        self.exchange: Sent | None = None
        self.sink: AnswerSink | None = None  # where a long answer of it goes
        self.timer: Handle | None = None


class OpenRequest:
    """A call until its answer is given and its attempts have ended."""

    __slots__ = ("answered", "call", "deadline_ms", "id", "may_have_run", "out", "trail", "tries")

    def __init__(self, request_id: int, call: Call, deadline_ms: float | None) -> None:
        self.id = request_id
        self.call = call
        self.deadline_ms = deadline_ms
        self.tries = 0
        self.out: dict[int, OpenAttempt] = {}
        self.answered = False  # or nothing is owed any more
        self.may_have_run = False  # an attempt that was written whole ended without its answer
        self.trail: list[Tried] | None = None  # how its attempts ended, for an observer
