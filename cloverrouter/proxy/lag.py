"""How late the event loop comes to things, by which deadlines are taken to be earlier."""

from __future__ import annotations

import time

from cloverrouter.clock import Loop
from cloverrouter.proxy.wake import wake_of

MOST_LAG_MS = 30.0  # that is told: one long stall would have everything refused for a while
LAG_EVERY_S = 0.05
LAG_KEPT = 0.98  # of the longest lag, from one measurement to the next


class LagMeter:
    """How late the event loop comes to things: the longest of late, fading."""

    def __init__(self, loop: Loop) -> None:
        self._loop, self._wake = loop, wake_of(loop)
        self.peak_ms = 0.0
        self._due_s = 0.0
        self._again()

    def _again(self) -> None:
        self._due_s = self._loop.time() + LAG_EVERY_S
        self._loop.call_later(LAG_EVERY_S, self._measure)

    def _measure(self) -> None:
        late_ms = (self._loop.time() - self._due_s) * 1000
        self.peak_ms = min(MOST_LAG_MS, max(late_ms, self.peak_ms * LAG_KEPT))
        self._wake.cpu_s = time.process_time()
        self._again()
