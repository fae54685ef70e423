"""What parts that wait need of a loop: the time, and to be called later.

asyncio's loop is one; the lab's engine, in simulated time, is another. What is written against this runs on
both, unchanged.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class Handle(Protocol):
    def cancel(self) -> None: ...


class Loop(Protocol):
    def time(self) -> float:
        """Seconds on a clock that never runs backwards."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Handle:
        """Call `callback(*args)` after `delay` seconds."""
