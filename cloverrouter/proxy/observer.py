"""The observer interface: notifications of what happened to requests, and the reason.

The node calls an observer at a few points in the lifetime of a request. An observer must not block or let
an error reach the request, and bounds the memory that it uses. Without an observer the cost is one comparison
at each of these points.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from cloverrouter.interface import GiveUpReason, Outcome
from cloverrouter.proxy.containment import ContainedErrors
from cloverrouter.proxy.messages import Call


class RequestResult(Enum):
    """How an accepted request ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"  # the client disconnected before its answer


class AttemptResult(NamedTuple):
    """An attempt that has ended; `took_ms` counts from its start in this process."""

    server: str
    outcome: Outcome
    took_ms: float


class Observer(Protocol):
    def request_accepted(self, call: Call) -> None:
        """The request was accepted and is passed to the balancer."""

    def attempt_ended(self, call: Call, result: AttemptResult, report: tuple[float, ...] | None) -> None:
        """An attempt for `call` ended; `report` is the server's load report, in the order of the settings."""

    def request_ended(
        self,
        call: Call,
        final: RequestResult,
        reason: GiveUpReason | None,
        attempts: Sequence[AttemptResult],
        took_ms: float,
    ) -> None:
        """The final answer was given, or the client disconnected. `took_ms` counts from the request's last
        byte."""

    def invalid_request_rejected(self, status: int) -> None:
        """An invalid request was answered with `status` and never reached the balancer."""

    def request_refused_early(self, call: Call, reason: str) -> None:
        """The request was refused for this reason before it reached the balancer."""

    def balancer_logged(self, text: str) -> None:
        """The balancer wrote a line to the log."""


class Observers:
    """Forwards each notification to several observers. An error raised by one of them reaches neither the
    request concerned nor the other observers."""

    def __init__(self, observers: tuple[Observer, ...], errors: ContainedErrors) -> None:
        self.observers = observers
        self._errors = errors

    def _notify_each(self, call: Callable[[Observer], None]) -> None:
        for observer in self.observers:
            try:
                call(observer)
            except Exception as error:
                self._errors.report("observer", error, type(observer).__name__)

    def request_accepted(self, call: Call) -> None:
        self._notify_each(lambda observer: observer.request_accepted(call))

    def attempt_ended(self, call: Call, result: AttemptResult, report: tuple[float, ...] | None) -> None:
        self._notify_each(lambda observer: observer.attempt_ended(call, result, report))

    def request_ended(
        self,
        call: Call,
        final: RequestResult,
        reason: GiveUpReason | None,
        attempts: Sequence[AttemptResult],
        took_ms: float,
    ) -> None:
        self._notify_each(lambda observer: observer.request_ended(call, final, reason, attempts, took_ms))

    def invalid_request_rejected(self, status: int) -> None:
        self._notify_each(lambda observer: observer.invalid_request_rejected(status))

    def request_refused_early(self, call: Call, reason: str) -> None:
        self._notify_each(lambda observer: observer.request_refused_early(call, reason))

    def balancer_logged(self, text: str) -> None:
        self._notify_each(lambda observer: observer.balancer_logged(text))


def with_observer(current: Observer | None, new: Observer, errors: ContainedErrors) -> Observer:
    """Return `current` extended by `new`."""
    existing = current.observers if isinstance(current, Observers) else () if current is None else (current,)
    return Observers((*existing, new), errors)
