"""How long a connection to a server may stand idle before it breaks on use. No I/O; times in seconds.

Servers, and what stands between, drop idle connections, some silently and after a fraction of a second. A
request written to one that is gone ends as a reset and may have run, as far as anybody can tell: one that may
not be repeated has failed. What uses came to, by the time that their connections had stood idle, tells from
when on a new connection is the better choice.
"""

from __future__ import annotations

from bisect import bisect_right
from math import sqrt

# Idle times that are told apart. Under the least a connection is as good as in use.
EDGES_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)
# Beyond an age uses break this much more often than below it. A new connection costs its server about a
# quarter of a request's work, which in an overload is a quarter of a request refused; a break costs the whole
# request, or its repeat.
EXCESS = 0.2
# So many breaks beyond an age, and so many standard errors between the shares on both sides of it: less may
# be chance, which has ten ages to choose from.
BREAKS_LEAST, ERRORS = 3.0, 3.5
USES_LEAST = 6.0  # of one server's own, until which all servers' tell
# What was seen counts half as much after so long: what drops connections may be mended.
HALF_S = 20.0
# After so many uses that were held back by the age, one that may be repeated goes ahead all the same: it
# tells whether that still holds, and costs one use in fifty at most.
TRIAL_EVERY = 50


class Uses:
    """Uses and breaks by idle time, fading."""

    __slots__ = ("_at_s", "breaks", "held_back", "uses")

    def __init__(self) -> None:
        self.uses = [0.0] * (len(EDGES_S) + 1)
        self.breaks = [0.0] * (len(EDGES_S) + 1)
        self._at_s = 0.0
        self.held_back = 0  # uses that were held back by their connections' ages, since the last trial

    def add(self, idle_s: float, broke: bool, now_s: float) -> None:
        if now_s - self._at_s > HALF_S / 20:  # fading in steps is cheaper, and as good
            kept = 0.5 ** ((now_s - self._at_s) / HALF_S)
            self.uses = [each * kept for each in self.uses]
            self.breaks = [each * kept for each in self.breaks]
            self._at_s = now_s
        at = bisect_right(EDGES_S, idle_s)
        self.uses[at] += 1
        self.breaks[at] += broke

    def limit_s(self) -> float:
        """From this idle time on uses break clearly more often than below it; infinite if there is none."""
        found, most = 0, ERRORS
        all_uses, all_breaks = sum(self.uses), sum(self.breaks)
        uses, breaks = 0.0, 0.0
        for at in range(len(EDGES_S), 0, -1):
            uses += self.uses[at]
            breaks += self.breaks[at]
            if breaks < BREAKS_LEAST:
                continue
            # Danger: connections that break whatever their age gain nothing by being new. One use that went
            # well and one that broke are added on the other side, of which little may be known.
            others = all_uses - uses + 2
            below = (all_breaks - breaks + 1) / others
            excess, share = breaks / uses - below, (all_breaks + 1) / (all_uses + 2)
            error = sqrt(share * (1 - share) * (1 / uses + 1 / others))
            if excess >= EXCESS and excess >= most * error:
                found, most = at, excess / error
        # The age may lie within the span before the one that tells best.
        while found > 1 and self.breaks[found - 1] >= max(BREAKS_LEAST, self.uses[found - 1] / 4):
            found -= 1
        return EDGES_S[found - 1] if found else float("inf")


class IdleAges:
    """Of one server. `shared`: of all servers, which tells until enough is known of this one."""

    __slots__ = ("_limit_s", "_own", "_shared")

    def __init__(self, shared: Uses) -> None:
        self._own, self._shared = Uses(), shared
        self._limit_s = float("inf")

    @property
    def limit_s(self) -> float:
        """No connection is used that has stood idle for so long, but for trials."""
        return self._limit_s

    def may_use(self, idle_s: float, repeatable: bool) -> bool:
        """May a request go out on a connection that has stood idle so long? `repeatable`: it may be sent
        again."""
        if idle_s < self._limit_s:
            return True
        self._shared.held_back += 1
        if not repeatable or self._shared.held_back < TRIAL_EVERY:
            return False
        self._shared.held_back = 0
        return True

    def used(self, idle_s: float, broke: bool, now_s: float) -> None:
        """What came of a use. A new connection has stood idle for no time."""
        self._own.add(idle_s, broke, now_s)
        self._shared.add(idle_s, broke, now_s)
        # Of all servers, as far as this one's own uses do not say otherwise.
        own_s, shared_s = self._own.limit_s(), self._shared.limit_s()
        at = bisect_right(EDGES_S, shared_s) if shared_s != float("inf") else 0
        known = at > 0 and sum(self._own.uses[at:]) >= USES_LEAST
        self._limit_s = own_s if own_s != float("inf") or known else shared_s
