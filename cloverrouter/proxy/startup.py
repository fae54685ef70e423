"""Retry startup steps that can fail for a short time, which would otherwise keep the proxy from starting.

A port may still be in use by a process that is exiting, and a machine that starts many processes at once may
be out of memory or descriptors for a moment.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")
# Delay before each attempt; 5 s in total, well within the time in which a proxy has to become ready.
RETRY_DELAYS_S = (0.0, 0.02, 0.04, 0.08, 0.16, 0.32, *[0.5] * 9)


def retry(step: Callable[[], T]) -> T:
    """Call `step` until it raises no OSError; raise the last one if all attempts fail. Blocks the thread."""
    last_error: OSError | None = None
    for delay_s in RETRY_DELAYS_S:
        time.sleep(delay_s)
        try:
            return step()
        except OSError as error:
            last_error = error
    assert last_error is not None
    raise last_error


async def retry_in_loop(step: Callable[[], T]) -> T:
    """Call `step` as `retry` does, without blocking the event loop."""
    last_error: OSError | None = None
    for delay_s in RETRY_DELAYS_S:
        await asyncio.sleep(delay_s)
        try:
            return step()
        except OSError as error:
            last_error = error
    assert last_error is not None
    raise last_error
