"""Simulated time: a deterministic event loop, byte-identical from one run to the next.

Events at the same instant are executed in the order in which they were scheduled: the heap is ordered by time
and a sequence number, and never compares callbacks.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Timer:
    """Handle of a scheduled call, returned by `call_later`."""

    __slots__ = ("cancelled",)

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Engine:
    """A `cloverrouter.clock.Loop` in simulated time, which is in seconds from 0."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0  # number of events executed
        self._sequence = 0
        self._heap: list[tuple[float, int, Timer | None, Callable[..., object], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        timer = Timer()
        self._sequence += 1
        heapq.heappush(self._heap, (self.now + max(0.0, delay), self._sequence, timer, callback, args))
        return timer

    def post(self, delay: float, callback: Callable[..., object], *args: Any) -> None:
        """Like `call_later`, for calls that are never cancelled."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.now + max(0.0, delay), self._sequence, None, callback, args))

    def step(self, until: float) -> bool:
        """Execute the next event if it is due before `until`; return whether there was one."""
        while self._heap and self._heap[0][0] < until:
            due, _, timer, callback, args = heapq.heappop(self._heap)
            if timer is None or not timer.cancelled:
                self.now = due
                self.events += 1
                callback(*args)
                return True
        return False

    def run(self, until: float) -> None:
        """Execute all events that are due up to `until`, and advance the time to it."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until:
            due, _, timer, callback, args = pop(heap)
            if timer is not None and timer.cancelled:
                continue
            self.now = due
            self.events += 1
            callback(*args)
        self.now = max(self.now, until)
