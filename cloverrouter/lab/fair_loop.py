"""An event loop that handles a burst of ready sockets in small batches, for a process that also keeps time.

asyncio handles all ready sockets before any timer is looked at. A process that generates load, runs servers
and sends signals on schedule would be late with all of these while it handles a thousand answers that came at
once.
"""

from __future__ import annotations

import asyncio
import selectors

MAX_READY = 32  # sockets that are handled before timers are evaluated again


class _BatchSelector(selectors.DefaultSelector):
    """Returns at most `MAX_READY` ready sockets; the rest is still ready at the next poll."""

    def __init__(self) -> None:
        super().__init__()
        self._begin = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(timeout)
        if len(ready) <= MAX_READY:
            return ready
        # In turn, as sockets that are always ready would otherwise take up each batch.
        self._begin = (self._begin + MAX_READY) % len(ready)
        return (ready[self._begin :] + ready[: self._begin])[:MAX_READY]


def fair_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that evaluates its timers after each `MAX_READY` sockets."""
    return asyncio.SelectorEventLoop(_BatchSelector())
