"""How long connections may be left in the listener's queue. No I/O; times are in seconds of one clock.

A request in that queue has been taken, as its client sees it, and nobody can answer it there: its time runs
out unseen. Leaving it there is right only for the moment in which others are certain to make room for it.
"""

from __future__ import annotations

# Some of the requests that servers have are answered in this time. Clients give up a few hundredths of a
# second after their own time, which may be as short.
MOST_DEFERRED_S = 0.05
# A process that is held up again and again would leave them there again and again.
DEFERRED_AGAIN_S = 1.0
# After a long pause what is over makes room as it is read: those that still have time may wait longer.
DEFERRED_PART, MOST_DEFERRED_LONG_S = 8, 0.75  # so small a part of the pause, and no longer


class AcceptDeferral:
    """Whether accepting may wait for room: for `MOST_DEFERRED_S`, and then not for `DEFERRED_AGAIN_S`."""

    def __init__(self) -> None:
        self._began_s = float("-inf")

    def allows(self, now_s: float, pause_s: float = 0.0) -> bool:
        """May it wait now? The first call begins the time for which it may. `pause_s`: how long the process
        has just been paused."""
        if now_s - self._began_s >= DEFERRED_AGAIN_S:
            self._began_s = now_s
        longer_s = min(MOST_DEFERRED_LONG_S, pause_s / DEFERRED_PART)
        return now_s - self._began_s < max(MOST_DEFERRED_S, longer_s)
