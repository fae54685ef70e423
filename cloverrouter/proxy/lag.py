"""Measure the event loop's lag, by which the balancer brings deadlines forward."""

from __future__ import annotations

import time

from cloverrouter.clock import Loop
from cloverrouter.proxy.wake import pause_detector_of

MAX_LAG_MS = 30.0  # cap on the reported lag: a single long stall would have all requests refused for a while
LAG_PERIOD_S = 0.05
LAG_DECAY = 0.98  # factor on the peak from one measurement to the next


class LagMeter:
    """The recent peak of the event loop's lag, in milliseconds, with exponential decay."""

    def __init__(self, loop: Loop) -> None:
        self._loop, self._pause_detector = loop, pause_detector_of(loop)
        self.peak_ms = 0.0
        self._due_s = 0.0
        self._schedule()

    def _schedule(self) -> None:
        self._due_s = self._loop.time() + LAG_PERIOD_S
        self._loop.call_later(LAG_PERIOD_S, self._measure)

    def _measure(self) -> None:
        late_ms = (self._loop.time() - self._due_s) * 1000
        self.peak_ms = min(MAX_LAG_MS, max(late_ms, self.peak_ms * LAG_DECAY))
        self._pause_detector.cpu_s = time.process_time()
        self._schedule()
