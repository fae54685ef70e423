"""Limits on how long connections may be left in the listen queue. No I/O; times are seconds of one clock.

The kernel has completed the handshake of a connection in that queue, so its client may have sent a request
that the proxy can't answer yet and whose deadline runs. Deferring accept(2) is acceptable only for the short
time in which other connections are certain to free capacity.
"""

from __future__ import annotations

# Servers answer some of the requests in flight within this time. Clients give up a few hundredths of a second
# after their own timeout, which may be as short.
MAX_DEFERRAL_S = 0.05
# Minimum time between two deferrals; without it, a process that is paused repeatedly would defer each time.
DEFERRAL_INTERVAL_S = 1.0
# After a long pause, expired requests free their connections as soon as they are read, so requests that still
# have time may wait longer: for this fraction of the pause, up to the maximum.
PAUSE_DEFERRAL_DIVISOR, MAX_DEFERRAL_AFTER_PAUSE_S = 8, 0.75


class AcceptDeferral:
    """Rate limit on deferring accept(2): for `MAX_DEFERRAL_S`, at most once per `DEFERRAL_INTERVAL_S`.

    After a long pause a deferral may last longer, up to `MAX_DEFERRAL_AFTER_PAUSE_S`.
    """

    def __init__(self) -> None:
        self._began_s = float("-inf")

    def allows(self, now_s: float, pause_s: float = 0.0) -> bool:
        """Return whether accepting may be deferred now; the first call starts the deferral period.

        `pause_s`: duration of a process pause that has just ended.
        """
        if now_s - self._began_s >= DEFERRAL_INTERVAL_S:
            self._began_s = now_s
        after_pause_s = min(MAX_DEFERRAL_AFTER_PAUSE_S, pause_s / PAUSE_DEFERRAL_DIVISOR)
        return now_s - self._began_s < max(MAX_DEFERRAL_S, after_pause_s)
