"""Whether this process itself stood still, and what that means for what it finds when it wakes. No I/O, no
clock; times are seconds of one clock that counts a suspended machine, too (CLOCK_BOOTTIME).

A process that was stopped wakes in the middle of its line, and all that came meanwhile seems to come now.
Taken for new, requests run that their clients gave up long ago; judged by timers, servers are blamed that
have answered. So three things are told apart: when something came, as far as that can be known; for how long
this process ran; and what the time is.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Protocol, TypeVar

from cloverrouter.interface import Idempotency
from cloverrouter.values import Value

# The loop is at its sockets every 50 ms, whatever happens (`lag.LAG_EVERY_S`), and late past `LATE_S`. What
# is read may have waited since the time before: past `FRESH_S` it is asked how long.
FRESH_S = 0.06
LATE_S = 0.075
# The kernel counts how long ago a connection's last data came in its ticks, which are 10 ms at the most.
COARSE_S = 0.01
OWN_SHARE = 0.5  # of a gap that this process used of the processor itself: then it was its own long step
# Gaps that follow one another like this are a share of the processor that is gone.
STARVED_GAPS, STARVED_SPAN_S = 3, 1.0
TOLD_S = 0.2  # gaps from here on are worth a line
ALARM_S, ALARM_KEPT_S = 1.0, 60.0  # operators should look, and for so long it is shown


C = TypeVar("C", bound="Came")


class Cause(Enum):
    STOPPED = "stopped"  # by a signal, or with its machine
    STARVED = "starved"  # others had the processor
    STEP = "own step"  # it was busy itself


class Gap(Value):
    """From one time that the loop looked at its sockets to the next one, too late."""

    from_s: float
    to_s: float
    cause: Cause

    @property
    def span_s(self) -> float:
        return self.to_s - self.from_s

    def holds(self, at_s: float) -> bool:
        return self.from_s <= at_s <= self.to_s


class Standing:
    """The gaps of one process."""

    def __init__(self) -> None:
        self.stood_s = 0.0  # in all
        self.count = 0
        self.longest: Gap | None = None
        self.last: Gap | None = None
        self._ends: deque[float] = deque(maxlen=STARVED_GAPS)

    def late(self, from_s: float, to_s: float, cpu_s: float) -> Gap:
        """The loop was last at its sockets at `from_s`, and used `cpu_s` of the processor since."""
        span_s = to_s - from_s
        self._ends.append(to_s)
        cause = Cause.STOPPED
        if cpu_s >= OWN_SHARE * span_s:
            cause = Cause.STEP
        elif len(self._ends) == STARVED_GAPS and from_s - self._ends[0] <= STARVED_SPAN_S:
            cause = Cause.STARVED
        gap = self.last = Gap(from_s, to_s, cause)
        self.stood_s += span_s
        self.count += 1
        if self.longest is None or span_s > self.longest.span_s:
            self.longest = gap
        return gap

    def ran_out(self, due_s: float) -> bool:
        """Did this moment, which is over, fall into the time in which nobody was here to see it? Danger: what
        ran out then tells nothing about whom it waited for."""
        return self.last is not None and self.last.holds(due_s)

    def alarm(self, now_s: float) -> str | None:
        """What operators should look at."""
        last = self.longest
        if self.last is not None and self.last.span_s >= ALARM_S:
            last = self.last
        if last is None or last.span_s < ALARM_S or now_s - last.to_s > ALARM_KEPT_S:
            return None
        return f"stood still {last.span_s:.1f} s, {now_s - last.to_s:.0f} s ago ({last.cause.value})"


def arrival(
    now_s: float, since_s: float, age_s: float | None, ends_there: bool, slept_s: float = 0.0
) -> tuple[float, float]:
    """Between which times a request's last byte came that is read now, and not before `since_s`.

    `age_s`: how long ago the connection's last data came, where the kernel tells, by a clock that does not
    count `slept_s`, for which the machine was suspended; `ends_there`: the request's last byte was the last
    of that. Without, all that is known are the two ends of the gap.
    """
    if age_s is None:
        return since_s, now_s
    latest_s = min(now_s, max(since_s, now_s - age_s))
    return (max(since_s, latest_s - COARSE_S - slept_s) if ends_there else since_s), latest_s


class Came(Protocol):
    """What came while the process stood."""

    class_name: str
    arrived_ms: float


def by_worth(came: Iterable[C], worths: Mapping[str, float]) -> list[C]:
    """In which order what waited goes on: the most valuable first, and of equals the one that came first."""
    return sorted(came, key=lambda one: (-worths.get(one.class_name, 0.0), one.arrived_ms))


def counted_from(effect: Idempotency | None, came: tuple[float, float]) -> float:
    """From when on a request's time counts. One that has an effect goes on only if it surely has time: its
    client may have come again, as another request. One that only reads may be of use yet."""
    return came[1] if effect is Idempotency.SAFE else came[0]
