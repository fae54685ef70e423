"""What parts that wait need of a loop: the time, and to be called later.

asyncio's loop is one; the lab's engine, in simulated time, is another. What is written against this runs on
both, unchanged.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

# It counts the time for which the machine was suspended, which no deadline may outlast.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now_s() -> float:
    """Seconds on the clock that all of a process goes by."""
    return time.clock_gettime(_CLOCK)


class Handle(Protocol):
    def cancel(self) -> None: ...


class Loop(Protocol):
    def time(self) -> float:
        """Seconds on a clock that never runs backwards."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Handle:
        """Call `callback(*args)` after `delay` seconds."""
