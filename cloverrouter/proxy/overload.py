"""Detect that the event loop falls behind its sockets. No I/O; times are in seconds of the loop's clock.

Every socket that is ready became ready after the loop's last poll that found nothing ready, so the time since
that poll bounds how long any client has waited. A process that stays behind for long has more work than CPU
time, and the requests that it reads grow ever older. It then refuses them, at a fraction of the cost of
serving, until it has caught up.
"""

from __future__ import annotations

# Most requests have a timeout of some tenths of a second, and clients give up a few hundredths after it.
MAX_DELAY_S = 0.1
# All that arrived during a gap in polling is ready at once, and the loop gets extra time to read it. Further
# gaps before it has caught up add none: the process does not get the CPU time that it needs.
RECOVERY_SHARE = 0.25  # of the gap's duration
MAX_RECOVERY_S = 1.5


class OverloadDetector:
    """Tracks whether one event loop has fallen behind."""

    def __init__(self) -> None:
        self._caught_up_s = float(
            "inf"
        )  # last poll that found nothing ready; inf, not overloaded, before the first one
        self._gap_s = 0.0  # duration of the first gap since then

    def caught_up(self, now_s: float) -> None:
        """Record a poll that found nothing ready."""
        self._caught_up_s, self._gap_s = now_s, 0.0

    def exclude_wait(self, span_s: float) -> None:
        """Exclude `span_s`, which the loop spent waiting while connections were deliberately left queued.

        The loop has not caught up with those connections, but this wait was its own choice and is not a sign
        of overload.
        """
        self._caught_up_s += span_s

    @property
    def recovering(self) -> bool:
        """Whether there was a gap since the loop last caught up."""
        return self._gap_s > 0

    def record_gap(self, span_s: float) -> None:
        """Record that the loop did not poll for `span_s`: a process pause, or a long callback."""
        self._gap_s = self._gap_s or span_s

    def is_overloaded(self, now_s: float) -> bool:
        """Whether the loop has been behind for longer than a single gap explains."""
        delay_s = now_s - self._caught_up_s - self._gap_s
        return delay_s > MAX_DELAY_S + min(MAX_RECOVERY_S, RECOVERY_SHARE * self._gap_s)
