"""Whether the event loop keeps up with what its sockets hold. No I/O; times are in seconds of its clock.

What is ready at the loop's sockets became ready after the loop last found nothing there: the time since then
bounds how long anybody has waited. A process that has not caught up for long has more to do than it gets of
the processor. Whatever it reads then is old, and older the longer it goes on like this: it refuses instead,
which costs a fraction of serving, until it has caught up.
"""

from __future__ import annotations

# Clients give up a few hundredths of a second after their own time; most requests have some tenths.
MOST_BEHIND_S = 0.1
# What came in one gap, in which the loop was not at its sockets, is there at once and is worth the time to be
# read. Further gaps before that is done are of a process that does not get the processor that it needs.
RECOVERY_SHARE = 0.25  # of the gap
MOST_RECOVERY_S = 1.5


class OverloadDetector:
    """Of one event loop."""

    def __init__(self) -> None:
        self._caught_up_s = float("inf")  # when it last found nothing ready; until the first time it is well
        self._gap_s = 0.0  # the first gap since then

    def caught_up(self, now_s: float) -> None:
        """The loop found nothing ready at its sockets."""
        self._caught_up_s, self._gap_s = now_s, 0.0

    def waited(self, span_s: float) -> None:
        """The loop waited for `span_s` with nothing ready, but connections were left in a listener's queue on
        purpose. It has not caught up with these, and it is not behind by a wait that was its own choice."""
        self._caught_up_s += span_s

    @property
    def recovering(self) -> bool:
        """Has there been a gap since the loop caught up?"""
        return self._gap_s > 0

    def gap(self, span_s: float) -> None:
        """The loop was not at its sockets for `span_s`: a pause of the process, or a long step of its own."""
        self._gap_s = self._gap_s or span_s

    def is_overloaded(self, now_s: float) -> bool:
        """Has the loop failed to catch up for longer than one gap explains?"""
        behind_s = now_s - self._caught_up_s - self._gap_s
        return behind_s > MOST_BEHIND_S + min(MOST_RECOVERY_S, RECOVERY_SHARE * self._gap_s)
