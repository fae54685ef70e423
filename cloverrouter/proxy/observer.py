"""The observer seam: what happened and why, after the fact.

The node calls an observer at a few moments of a request's life. An observer never blocks, never raises
for a request's sake and keeps what it keeps within bounds of its own. With none set, the cost is one
comparison at each of these moments.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from cloverrouter.interface import Outcome, Why
from cloverrouter.proxy.containment import ContainedErrors
from cloverrouter.proxy.messages import Call


class Final(Enum):
    """How a request that was taken ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"  # the client left before its answer


class Tried(NamedTuple):
    """An attempt that has ended; `took_ms` counts from its start here."""

    server: str
    outcome: Outcome
    took_ms: float


class Observer(Protocol):
    def taken(self, call: Call) -> None:
        """A request came whole and goes to the module."""

    def tried(self, call: Call, tried: Tried, report: tuple[float, ...] | None) -> None:
        """An attempt for `call` ended; `report` is the server's load report, in the settings' order."""

    def ended(
        self, call: Call, final: Final, why: Why | None, trail: Sequence[Tried], took_ms: float
    ) -> None:
        """The final answer was given, or the client left. `took_ms` counts from the request's last byte."""

    def turned_away(self, status: int) -> None:
        """What can't be valid was answered with `status`; the module never saw it."""

    def not_taken(self, call: Call, why: str) -> None:
        """Refused before the module saw it, and why."""

    def said(self, text: str) -> None:
        """The module said something for the log."""


class Observers:
    """Several observers where the seam has room for one. What one of them raises is kept from the request
    that it was told of, and from the others."""

    def __init__(self, observers: tuple[Observer, ...], errors: ContainedErrors) -> None:
        self.observers = observers
        self._errors = errors

    def _each(self, call: Callable[[Observer], None]) -> None:
        for observer in self.observers:
            try:
                call(observer)
            except Exception as error:
                self._errors.report("observer", error, type(observer).__name__)

    def taken(self, call: Call) -> None:
        self._each(lambda observer: observer.taken(call))

    def tried(self, call: Call, tried: Tried, report: tuple[float, ...] | None) -> None:
        self._each(lambda observer: observer.tried(call, tried, report))

    def ended(
        self, call: Call, final: Final, why: Why | None, trail: Sequence[Tried], took_ms: float
    ) -> None:
        self._each(lambda observer: observer.ended(call, final, why, trail, took_ms))

    def turned_away(self, status: int) -> None:
        self._each(lambda observer: observer.turned_away(status))

    def not_taken(self, call: Call, why: str) -> None:
        self._each(lambda observer: observer.not_taken(call, why))

    def said(self, text: str) -> None:
        self._each(lambda observer: observer.said(text))


def joined(there: Observer | None, new: Observer, errors: ContainedErrors) -> Observer:
    """Return `new` beside the observers that are set already."""
    before = there.observers if isinstance(there, Observers) else () if there is None else (there,)
    return Observers((*before, new), errors)
