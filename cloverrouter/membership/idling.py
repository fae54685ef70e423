"""Learned limit on the idle time of reusable server connections. No I/O; times in seconds.

Servers and middleboxes drop idle connections, some without notice and after a fraction of a second. A request
written to a dropped connection ends with a reset and may have run, so one that is not retryable has failed.
The outcomes of uses by idle time give the age from which on a new connection is the better choice.
"""

from __future__ import annotations

from bisect import bisect_right
from math import sqrt

# Bounds of the idle time buckets. Below the first bound a connection counts as in use.
IDLE_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)
# Least difference between the shares of breaks above and below an age. A new connection costs its server
# about a quarter of a request's work, which in an overload is a quarter of a request refused; a break costs
# the whole request or its retry.
MIN_EXCESS_SHARE = 0.2
# Least number of breaks beyond an age, and of standard errors between the shares above and below it. Smaller
# differences may be chance, as ten ages are tested.
MIN_BREAKS, MIN_STANDARD_ERRORS = 3.0, 3.5
MIN_OWN_USES = 6.0  # uses of one server, below which the counts of all servers apply
# Half-life of the counts, since the cause of the drops may be removed.
HALF_LIFE_S = 20.0
# After this many avoided uses a retryable request uses an old connection, as a trial of whether the limit
# still holds. That costs one use in fifty at most.
AVOIDED_USES_PER_TRIAL = 50


class IdleUseCounts:
    """Counts of uses and breaks by idle time, with exponential decay."""

    __slots__ = ("_at_s", "avoided", "breaks", "uses")

    def __init__(self) -> None:
        self.uses = [0.0] * (len(IDLE_BUCKETS_S) + 1)
        self.breaks = [0.0] * (len(IDLE_BUCKETS_S) + 1)
        self._at_s = 0.0
        self.avoided = 0  # uses avoided because of the idle time, since the last trial

    def add(self, idle_s: float, broke: bool, now_s: float) -> None:
        if now_s - self._at_s > HALF_LIFE_S / 20:  # decay in steps is cheaper and accurate enough
            kept = 0.5 ** ((now_s - self._at_s) / HALF_LIFE_S)
            self.uses = [each * kept for each in self.uses]
            self.breaks = [each * kept for each in self.breaks]
            self._at_s = now_s
        at = bisect_right(IDLE_BUCKETS_S, idle_s)
        self.uses[at] += 1
        self.breaks[at] += broke

    def limit_s(self) -> float:
        """Idle time from which on uses break significantly more often than below it; infinite if none."""
        found, best = 0, MIN_STANDARD_ERRORS
        all_uses, all_breaks = sum(self.uses), sum(self.breaks)
        uses, breaks = 0.0, 0.0
        for at in range(len(IDLE_BUCKETS_S), 0, -1):
            uses += self.uses[at]
            breaks += self.breaks[at]
            if breaks < MIN_BREAKS:
                continue
            # Connections that break at any age gain nothing by being new, so both sides are compared. One
            # success and one break are added to the lower side, which may have few samples.
            others = all_uses - uses + 2
            below = (all_breaks - breaks + 1) / others
            excess, share = breaks / uses - below, (all_breaks + 1) / (all_uses + 2)
            error = sqrt(share * (1 - share) * (1 / uses + 1 / others))
            if excess >= MIN_EXCESS_SHARE and excess >= best * error:
                found, best = at, excess / error
        # The true limit may lie within the bucket before the most significant one.
        while found > 1 and self.breaks[found - 1] >= max(MIN_BREAKS, self.uses[found - 1] / 4):
            found -= 1
        return IDLE_BUCKETS_S[found - 1] if found else float("inf")


class IdleAgeLimit:
    """Idle limit of one server. `shared`: counts of all servers, used until this one has enough uses."""

    __slots__ = ("_limit_s", "_own", "_shared")

    def __init__(self, shared: IdleUseCounts) -> None:
        self._own, self._shared = IdleUseCounts(), shared
        self._limit_s = float("inf")

    @property
    def limit_s(self) -> float:
        """Idle time from which on a connection is not reused, except for trials."""
        return self._limit_s

    def may_use(self, idle_s: float, retryable: bool) -> bool:
        """Whether a request may be sent on a connection idle for `idle_s`. `retryable`: it may be retried."""
        if idle_s < self._limit_s:
            return True
        self._shared.avoided += 1
        if not retryable or self._shared.avoided < AVOIDED_USES_PER_TRIAL:
            return False
        self._shared.avoided = 0
        return True

    def record_use(self, idle_s: float, broke: bool, now_s: float) -> None:
        """Record the outcome of a use. The idle time of a new connection is 0."""
        self._own.add(idle_s, broke, now_s)
        self._shared.add(idle_s, broke, now_s)
        # The limit of all servers applies unless this server has a limit or enough uses of its own.
        own_s, shared_s = self._own.limit_s(), self._shared.limit_s()
        at = bisect_right(IDLE_BUCKETS_S, shared_s) if shared_s != float("inf") else 0
        known = at > 0 and sum(self._own.uses[at:]) >= MIN_OWN_USES
        self._limit_s = own_s if own_s != float("inf") or known else shared_s
