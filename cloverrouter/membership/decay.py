"""Smoothed values whose update cost does not depend on the number of servers. No I/O; times in ms.

Two values of each server drift towards the mean of all servers. A step moves each value by the same share of
its distance to the mean, which is one affine map for all. The composition of these maps is kept once and
applied when a value is read: a value is stored as its distance from a shared origin, and each step scales all
distances alike. The sums behind the mean are updated in the same way. A value read equals the value moved
step by step, except for rounding.
"""

from __future__ import annotations

# The scale shrinks with each step and would underflow to zero, and dividing a distance by it would lose the
# distance. Below this value it restarts at one; a distance untouched for two such rounds is below rounding.
MIN_SCALE = 2.0**-64
# Work sent to warm servers counts up to this multiple of what they accept, since a server with free capacity
# would accept some of the rejected work.
MAX_SENT_RATIO = 1.75
MIN_OBSERVED_SHARE = 1 / 16  # share of a rate's span: the least one that is extrapolated to the whole span


class _Sums:
    __slots__ = ("count", "earned", "slowness")

    def __init__(self) -> None:
        self.count = 0
        self.earned = self.slowness = 0.0


class PooledMeans:
    """State shared by the scores of all servers: origin, scale and sums.

    `drift` moves the scores that drift, the others are fixed. The mean is over all that count, drifting or
    fixed.
    """

    __slots__ = ("earned", "previous_scale", "round", "scale", "slowness", "sums")

    def __init__(self) -> None:
        self.earned = self.slowness = 1.0  # the origin
        self.scale, self.round = 1.0, 0
        self.previous_scale = 1.0  # the scale at the end of the previous round
        self.sums = (_Sums(), _Sums())  # of the scores that count: fixed, drifting

    def means(self) -> tuple[float, float]:
        """Mean (earned, slowness) of the scores that count; (1, 1) if there are none."""
        still, drifting = self.sums
        count = still.count + drifting.count
        if not count:
            return 1.0, 1.0
        return (still.earned + drifting.earned) / count, (still.slowness + drifting.slowness) / count

    def drift(self, share: float) -> None:
        """Move all drifting scores by this share (0 to 1) of their distance to the mean."""
        earned, slowness = self.means()
        drifting = self.sums[True]
        drifting.earned += share * (drifting.count * earned - drifting.earned)
        drifting.slowness += share * (drifting.count * slowness - drifting.slowness)
        self.earned += share * (earned - self.earned)
        self.slowness += share * (slowness - self.slowness)
        self.scale *= 1 - share
        if self.scale < MIN_SCALE:
            self.previous_scale, self.scale = self.scale, 1.0
            self.round += 1


class DecayingScore:
    """Two smoothed values of a server.

    `earned`: share of worth that its answers earned. `slowness`: their latency relative to the latency of
    their classes without load.
    """

    # While drifting: distances from the pool's origin, by the scale of `_round`. Otherwise: the values.
    __slots__ = ("_counts", "_drifts", "_earned", "_pool", "_round", "_slowness")

    def __init__(self, pool: PooledMeans, earned: float, slowness: float) -> None:
        self._pool = pool
        self._earned, self._slowness, self._round = earned, slowness, 0
        self._drifts = self._counts = False

    def values(self) -> tuple[float, float]:
        """(earned, slowness) now."""
        if not self._drifts:
            return self._earned, self._slowness
        pool = self._pool
        if self._round != pool.round:
            kept = pool.previous_scale if self._round == pool.round - 1 else 0.0
            self._earned, self._slowness, self._round = self._earned * kept, self._slowness * kept, pool.round
        return pool.earned + pool.scale * self._earned, pool.slowness + pool.scale * self._slowness

    def set_values(self, earned: float, slowness: float) -> None:
        if self._counts:
            before, sums = self.values(), self._pool.sums[self._drifts]
            sums.earned += earned - before[0]
            sums.slowness += slowness - before[1]
        self._store(earned, slowness)

    def _store(self, earned: float, slowness: float) -> None:
        if self._drifts:
            pool = self._pool
            earned, slowness = (earned - pool.earned) / pool.scale, (slowness - pool.slowness) / pool.scale
            self._round = pool.round
        self._earned, self._slowness = earned, slowness

    def set_participation(self, drifts: bool, counts: bool) -> None:
        """Set whether the score drifts from now on and whether it counts for the mean."""
        if (drifts, counts) == (self._drifts, self._counts):
            return
        earned, slowness = self.values()
        if self._counts:
            sums = self._pool.sums[self._drifts]
            sums.count -= 1
            # Drops the accumulated rounding error when the last score leaves the sum.
            sums.earned = sums.earned - earned if sums.count else 0.0
            sums.slowness = sums.slowness - slowness if sums.count else 0.0
        self._drifts, self._counts = drifts, counts
        self._store(earned, slowness)
        if counts:
            sums = self._pool.sums[drifts]
            sums.count += 1
            sums.earned += earned
            sums.slowness += slowness

    @property
    def earned(self) -> float:
        return self.values()[0]

    @earned.setter
    def earned(self, earned: float) -> None:
        self.set_values(earned, self.values()[1])

    @property
    def slowness(self) -> float:
        return self.values()[1]

    @slowness.setter
    def slowness(self, slowness: float) -> None:
        self.set_values(self.values()[0], slowness)


class WorkRate:
    """Work that this proxy sends to an average warm server, smoothed over `span_ms`."""

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._sum = 0.0
        self._observed = 0.0  # share of the span that has been observed, decayed like the sum
        self._at_ms: float | None = None

    def _decay(self, now_ms: float) -> None:
        if self._at_ms is None:
            self._at_ms = now_ms
        kept = max(0.0, 1 - (now_ms - self._at_ms) / self.span_ms)
        self._sum *= kept
        self._observed = 1 - kept * (1 - self._observed)
        self._at_ms = now_ms

    def add(self, now_ms: float, work_per_server: float) -> None:
        self._decay(now_ms)
        self._sum += work_per_server

    def per_ms(self, now_ms: float) -> float:
        self._decay(now_ms)
        # Dividing by the observed share: a proxy that has just started would otherwise count its few requests
        # as those of a whole span, and cold servers would get almost nothing for that long. The minimum share
        # keeps a few requests from counting as a rate.
        return self._sum / (self.span_ms * max(self._observed, MIN_OBSERVED_SHARE))


class WarmServerRate:
    """Rate of work that an average warm server gets from this proxy.

    In an overload few servers have free capacity at a time, and full ones reject at once and are sent more at
    once. The work sent to those with capacity then says little about what a server can do; the work that all
    of them accept does.
    """

    def __init__(self, span_ms: float) -> None:
        self._sent, self._accepted = WorkRate(span_ms), WorkRate(span_ms)

    @property
    def span_ms(self) -> float:
        """Time over which the rates are smoothed."""
        return self._sent.span_ms

    @span_ms.setter
    def span_ms(self, span_ms: float) -> None:
        self._sent.span_ms = self._accepted.span_ms = span_ms

    def sent(self, now_ms: float, work: float, with_capacity: int, warm: int) -> None:
        """Record work sent to one of `warm` warm servers, of which `with_capacity` have a free slot."""
        self._sent.add(now_ms, work / max(1, with_capacity))
        self._accepted.add(now_ms, work / max(1, with_capacity, warm))

    def rejected(self, now_ms: float, work: float, warm: int) -> None:
        """Record work that was sent and then rejected."""
        self._accepted.add(now_ms, -work / max(1, warm))

    def per_ms(self, now_ms: float) -> float:
        """Rate of the work sent, at most `MAX_SENT_RATIO` times the rate of the work accepted."""
        return min(self._sent.per_ms(now_ms), MAX_SENT_RATIO * max(0.0, self._accepted.per_ms(now_ms)))
