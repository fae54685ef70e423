"""Work rates of servers that have just started, and detection of a rollout. No I/O; times in ms.

A server that has just started fails, and stays down, if it is sent more than a multiple of its present
capacity. Its stated minimum share of a warm server's rate is a lower bound of that capacity. Where most of a
fleet is new at once, this bound alone would leave cores idle while requests are refused.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import TypeVar

Place = TypeVar("Place")

# Share of the overload multiple that a cold server may be sent, relative to the work that it has completed.
# Summed over any number of proxies it is the same share; with the part that the stated share allows
# (`decide.COLD_MARGIN`, a third), five sixths of the multiple.
COMPLETED_WORK_SHARE = 0.5
# Completed work is smoothed over this share of the overload window, so that a surge that was answered late
# does not count for longer than the window.
SHOWN_SPAN = 0.25
# A rollout is in progress if this share of the fleet started, drained or was removed within this time, with
# at least one start and one drain or removal.
ROLLOUT_FLEET_SHARE, ROLLOUT_WINDOW_MS = 0.25, 10_000.0


def servers_to_preconnect(new: Sequence[Place], first: bool, many_proxies: bool) -> Sequence[Place]:
    """Return the servers of a new list to connect to before a request needs them.

    The connection shows whether the server is alive, and costs it no more than its first request would. With
    many proxies, one connection each would flood a server just as it starts, so none is opened. Neither is
    one for the first list, whose servers have long been running. The order is that of `new`: connections are
    limited, and which servers get one must not differ from one process to another.
    """
    return () if many_proxies or first else new


class CompletedWorkRate:
    """Work per millisecond that a server has recently completed for this proxy: a decaying rate."""

    __slots__ = ("_at_ms", "_span_ms", "_sum")

    def __init__(self, span_ms: float) -> None:
        self._span_ms = max(1.0, span_ms)
        self._sum = 0.0
        self._at_ms: float | None = None

    def add(self, now_ms: float, work: float) -> None:
        self._decay(now_ms)
        self._sum += work

    def _decay(self, now_ms: float) -> None:
        if self._at_ms is not None:
            self._sum *= max(0.0, 1 - (now_ms - self._at_ms) / self._span_ms)
        self._at_ms = now_ms

    def per_ms(self, now_ms: float) -> float:
        if self._at_ms is None:
            return 0.0
        self._decay(now_ms)
        return self._sum / self._span_ms


def cold_rate(stated: float, completed: float, overload_multiple: float) -> float:
    """Work per millisecond that this proxy may send to a cold server.

    The larger of what the stated share allows (`stated`) and what follows from its completed work.
    """
    return max(stated, COMPLETED_WORK_SHARE * overload_multiple * completed)


class RolloutDetector:
    """Detector of a rollout, in which servers are replaced, from the changes of each list."""

    def __init__(self) -> None:
        self._changes: deque[tuple[float, int, int]] = deque()
        self._started = self._removed = 0
        self._fleet = 0

    def record_changes(self, now_ms: float, started: int, removed: int, fleet: int) -> None:
        """Record how many of the `fleet` servers have just started, and how many drain or were removed."""
        self._fleet = fleet
        if started or removed:
            self._changes.append((now_ms, started, removed))
            self._started += started
            self._removed += removed

    def in_progress(self, now_ms: float) -> bool:
        while self._changes and self._changes[0][0] < now_ms - ROLLOUT_WINDOW_MS:
            _, started, removed = self._changes.popleft()
            self._started -= started
            self._removed -= removed
        threshold = max(2.0, ROLLOUT_FLEET_SHARE * self._fleet)
        return self._started > 0 and self._removed > 0 and self._started + self._removed >= threshold
