"""Steps of a start that the machine may refuse for a moment, and that would otherwise keep the proxy down.

A port may still belong to a process that is ending, and a machine that starts many processes at once may have
no memory or descriptor left just then.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")
# Before each try; in all 5 s, well within the time in which a proxy has to be ready.
WAITS_S = (0.0, 0.02, 0.04, 0.08, 0.16, 0.32, *[0.5] * 9)


def retried(step: Callable[[], T]) -> T:
    """Call `step` until it raises no OSError; raise its last one after all of `WAITS_S`. Blocks."""
    last: OSError | None = None
    for wait_s in WAITS_S:
        time.sleep(wait_s)
        try:
            return step()
        except OSError as error:
            last = error
    assert last is not None
    raise last


async def retried_in_loop(step: Callable[[], T]) -> T:
    """The same without blocking the event loop."""
    last: OSError | None = None
    for wait_s in WAITS_S:
        await asyncio.sleep(wait_s)
        try:
            return step()
        except OSError as error:
            last = error
    assert last is not None
    raise last
