"""Detection of pauses of this process, and their effect on requests and timers. No I/O, no clock.

Times are seconds of one clock that runs on while the machine is suspended (CLOCK_BOOTTIME).

A paused process resumes in the middle of its code, and all data that arrived meanwhile seems to arrive then.
Treated as new, requests run although their clients gave them up long ago; judged by timers, servers that have
answered seem to have timed out. So three times are kept apart: the arrival of the data, as far as it can be
known; the time for which this process ran; and the current time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Protocol, TypeVar

from cloverrouter.interface import Idempotency
from cloverrouter.values import Value

# A timer makes the loop poll its sockets at least every 50 ms (`lag.LAG_PERIOD_S`); a poll is late after
# `LATE_POLL_S`. Data may have waited since the previous poll: after `READ_AGE_CHECK_S` the kernel is asked
# how long.
READ_AGE_CHECK_S = 0.06
LATE_POLL_S = 0.075
# The kernel counts the age of a connection's last data in its ticks, which are 10 ms at most.
KERNEL_TICK_S = 0.01
OWN_CPU_SHARE = 0.5  # least CPU time of this process, as a share of a gap, that makes it its own long step
# As many gaps within this time mean that the process is starved of CPU time.
STARVED_GAPS, STARVED_SPAN_S = 3, 1.0
GAP_LOG_THRESHOLD_S = 0.2  # gaps from this length on are logged
ALARM_GAP_S, ALARM_DURATION_S = (
    1.0,
    60.0,
)  # gaps from this length on raise an alarm, which is shown for this long


C = TypeVar("C", bound="DelayedRequest")


class PauseCause(Enum):
    STOPPED = "stopped"  # by a signal, or with its machine
    STARVED = "starved"  # other processes used the CPU
    STEP = "own step"  # this process was busy itself


class LoopGap(Value):
    """Time between two polls of the event loop, of which the second was late."""

    from_s: float
    to_s: float
    cause: PauseCause

    @property
    def span_s(self) -> float:
        return self.to_s - self.from_s

    def contains(self, at_s: float) -> bool:
        return self.from_s <= at_s <= self.to_s


class PauseTracker:
    """Record of the pauses of one process."""

    def __init__(self) -> None:
        self.paused_s = 0.0  # total
        self.count = 0
        self.longest: LoopGap | None = None
        self.last: LoopGap | None = None
        self._ends: deque[float] = deque(maxlen=STARVED_GAPS)

    def record_gap(self, from_s: float, to_s: float, cpu_s: float) -> LoopGap:
        """Record a late poll. The previous poll was at `from_s`; `cpu_s` is the CPU time used since."""
        span_s = to_s - from_s
        self._ends.append(to_s)
        cause = PauseCause.STOPPED
        if cpu_s >= OWN_CPU_SHARE * span_s:
            cause = PauseCause.STEP
        elif len(self._ends) == STARVED_GAPS and from_s - self._ends[0] <= STARVED_SPAN_S:
            cause = PauseCause.STARVED
        gap = self.last = LoopGap(from_s, to_s, cause)
        self.paused_s += span_s
        self.count += 1
        if self.longest is None or span_s > self.longest.span_s:
            self.longest = gap
        return gap

    def passed_in_last_gap(self, due_s: float) -> bool:
        """Whether a past time was in the last gap. A timeout that ended then says nothing about the peer."""
        return self.last is not None and self.last.contains(due_s)

    def alarm(self, now_s: float) -> str | None:
        """Alarm text for operators, or None."""
        gap = self.longest
        if self.last is not None and self.last.span_s >= ALARM_GAP_S:
            gap = self.last
        if gap is None or gap.span_s < ALARM_GAP_S or now_s - gap.to_s > ALARM_DURATION_S:
            return None
        return f"stood still {gap.span_s:.1f} s, {now_s - gap.to_s:.0f} s ago ({gap.cause.value})"


def arrival_bounds(
    now_s: float, since_s: float, age_s: float | None, is_last_data: bool, suspended_s: float = 0.0
) -> tuple[float, float]:
    """Return the earliest and latest time at which the last byte of a request arrived that is read now.

    It did not arrive before `since_s`. `age_s`: age of the connection's last data as the kernel reports it,
    by a clock that does not count `suspended_s`, for which the machine was suspended. `is_last_data`: the
    last byte of the request was the last of that data. Without `age_s` only the ends of the gap are known.
    """
    if age_s is None:
        return since_s, now_s
    latest_s = min(now_s, max(since_s, now_s - age_s))
    return (max(since_s, latest_s - KERNEL_TICK_S - suspended_s) if is_last_data else since_s), latest_s


class DelayedRequest(Protocol):
    """A request that arrived while the process was paused."""

    class_name: str
    arrived_ms: float


def sort_by_worth(requests: Iterable[C], worths: Mapping[str, float]) -> list[C]:
    """Order delayed requests by worth, highest first, then by arrival."""
    return sorted(requests, key=lambda request: (-worths.get(request.class_name, 0.0), request.arrived_ms))


def deadline_start_s(idempotency: Idempotency | None, arrival: tuple[float, float]) -> float:
    """Return the time from which a request's deadline counts.

    A request with effects counts from its earliest possible arrival, so it proceeds only if it surely has
    time left: its client may already have retried it as another request. A safe one may still be of use.
    """
    return arrival[1] if idempotency is Idempotency.SAFE else arrival[0]
