"""Simulated time: a loop of events, the same to the byte from one run to the next.

Two events at the same instant happen in the order in which they were asked for: the heap is ordered by time
and a running number, and never compares what is called.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Timer:
    """What `call_later` gives back."""

    __slots__ = ("cancelled",)

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Engine:
    """A `cloverrouter.clock.Loop` in simulated time, in seconds from 0."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0  # that have happened
        self._number = 0
        self._heap: list[tuple[float, int, Timer | None, Callable[..., object], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        timer = Timer()
        self._number += 1
        heapq.heappush(self._heap, (self.now + max(0.0, delay), self._number, timer, callback, args))
        return timer

    def post(self, delay: float, callback: Callable[..., object], *args: Any) -> None:
        """`call_later` for what is never called off."""
        self._number += 1
        heapq.heappush(self._heap, (self.now + max(0.0, delay), self._number, None, callback, args))

    def step(self, until: float) -> bool:
        """Let the next thing happen, if it does before `until`."""
        while self._heap and self._heap[0][0] < until:
            at, _, timer, callback, args = heapq.heappop(self._heap)
            if timer is None or not timer.cancelled:
                self.now = at
                self.events += 1
                callback(*args)
                return True
        return False

    def run(self, until: float) -> None:
        """Let time pass up to `until`, or until nothing is left to happen."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until:
            at, _, timer, callback, args = pop(heap)
            if timer is not None and timer.cancelled:
                continue
            self.now = at
            self.events += 1
            callback(*args)
        self.now = max(self.now, until)
