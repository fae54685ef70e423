"""The process clock, and the event loop interface for code that runs in real or simulated time.

asyncio's loop implements `Loop`, and so does the lab's engine in simulated time: code that uses only this
interface runs on both unchanged.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

# CLOCK_BOOTTIME also counts time in which the machine is suspended: a suspend must not extend a deadline.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


# Returns the time in seconds on the clock that the whole process uses. Each request calls it dozens of times.
now_s: Callable[[], float] = partial(time.clock_gettime, _CLOCK)


class Handle(Protocol):
    def cancel(self) -> None: ...


class Loop(Protocol):
    def time(self) -> float:
        """Return the time in seconds on a monotonic clock."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Handle:
        """Call `callback(*args)` after `delay` seconds."""
