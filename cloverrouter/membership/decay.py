"""What is smoothed over time, at a cost that does not go by the number of servers. No I/O; times in ms.

Two values for each of many servers all drift towards their mean. A step of the drift moves each by the same
share of its way there: one affine map for all. So the maps' composition is kept once, and applied to a value
when that is read: it is an origin, which all share, and a distance from it, which all steps since have scaled
alike. The sums that the mean is taken from go the same way. What is read equals the value moved step by step,
but for rounding.
"""

from __future__ import annotations

# Danger: a scale that shrinks with each step is zero some day, and a distance divided by it is lost. Below
# this it starts anew at one; a distance that has not been touched for two such rounds is less than rounding.
SCALE_LEAST = 2.0**-64
# Of what is sent to warm servers this many times what they take counts at most: some of what is turned away
# would be taken by a server with room.
SENT_MOST = 1.75
RATE_SEEN_LEAST = 1 / 16  # of a rate's span: from then on what was seen counts for the rest


class _Sums:
    __slots__ = ("count", "earned", "slowness")

    def __init__(self) -> None:
        self.count = 0
        self.earned = self.slowness = 0.0


class Pool:
    """What the values of all servers have in common. Those that `drift` do, the others stand still; the mean
    is of all that count, drifting or not."""

    __slots__ = ("earned", "former_scale", "round", "scale", "slowness", "sums")

    def __init__(self) -> None:
        self.earned = self.slowness = 1.0  # the origin
        self.scale, self.round = 1.0, 0
        self.former_scale = 1.0  # which the round before this one ended with
        self.sums = (_Sums(), _Sums())  # of those that count: standing still, drifting

    def means(self) -> tuple[float, float]:
        """Mean (earned, slowness) of those that count; (1, 1) if none does."""
        still, drifting = self.sums
        count = still.count + drifting.count
        if not count:
            return 1.0, 1.0
        return (still.earned + drifting.earned) / count, (still.slowness + drifting.slowness) / count

    def drift(self, share: float) -> None:
        """All that drift go this share (0 to 1) of their way to the mean."""
        earned, slowness = self.means()
        drifting = self.sums[True]
        drifting.earned += share * (drifting.count * earned - drifting.earned)
        drifting.slowness += share * (drifting.count * slowness - drifting.slowness)
        self.earned += share * (earned - self.earned)
        self.slowness += share * (slowness - self.slowness)
        self.scale *= 1 - share
        if self.scale < SCALE_LEAST:
            self.former_scale, self.scale = self.scale, 1.0
            self.round += 1


class Decaying:
    """A server's two values: the smoothed share of worth that its answers earned, and their smoothed latency
    relative to what their classes take unhurried."""

    # Where they drift these are distances from the pool's origin by the scale of `_round`, else the values.
    __slots__ = ("_counts", "_drifts", "_earned", "_pool", "_round", "_slowness")

    def __init__(self, pool: Pool, earned: float, slowness: float) -> None:
        self._pool = pool
        self._earned, self._slowness, self._round = earned, slowness, 0
        self._drifts = self._counts = False

    def values(self) -> tuple[float, float]:
        """(earned, slowness) now."""
        if not self._drifts:
            return self._earned, self._slowness
        pool = self._pool
        if self._round != pool.round:
            kept = pool.former_scale if self._round == pool.round - 1 else 0.0
            self._earned, self._slowness, self._round = self._earned * kept, self._slowness * kept, pool.round
        return pool.earned + pool.scale * self._earned, pool.slowness + pool.scale * self._slowness

    def put(self, earned: float, slowness: float) -> None:
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

    def settle(self, drifts: bool, counts: bool) -> None:
        """From here on it drifts or stands still, and counts for the mean or does not."""
        if (drifts, counts) == (self._drifts, self._counts):
            return
        earned, slowness = self.values()
        if self._counts:
            sums = self._pool.sums[self._drifts]
            sums.count -= 1
            # The rest of many differences is dropped with the last of them.
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
        self.put(earned, self.values()[1])

    @property
    def slowness(self) -> float:
        return self.values()[1]

    @slowness.setter
    def slowness(self, slowness: float) -> None:
        self.put(self.values()[0], slowness)


class WorkRate:
    """How much work this proxy sends to an average warm server, smoothed over `span_ms`."""

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._sum = 0.0
        self._seen = 0.0  # the part of the span that has been looked at, as far as it still counts
        self._at_ms: float | None = None

    def _decay(self, now_ms: float) -> None:
        if self._at_ms is None:
            self._at_ms = now_ms
        kept = max(0.0, 1 - (now_ms - self._at_ms) / self.span_ms)
        self._sum *= kept
        self._seen = 1 - kept * (1 - self._seen)
        self._at_ms = now_ms

    def add(self, now_ms: float, work_per_server: float) -> None:
        self._decay(now_ms)
        self._sum += work_per_server

    def per_ms(self, now_ms: float) -> float:
        self._decay(now_ms)
        # Danger: a proxy that has just started would take what it has sent for a whole span's, and cold
        # servers would get next to nothing for as long. A few requests are no rate yet.
        return self._sum / (self.span_ms * max(self._seen, RATE_SEEN_LEAST))


class WarmRate:
    """The work that an average warm server gets from this proxy.

    Danger: in an overload few servers have room at a time, and full ones turn away at once and are sent more
    at once. What is sent to those with room then says little of what a server can do: what all of them take
    does.
    """

    def __init__(self, span_ms: float) -> None:
        self._sent, self._taken = WorkRate(span_ms), WorkRate(span_ms)

    @property
    def span_ms(self) -> float:
        """What is seen is smoothed over so long."""
        return self._sent.span_ms

    @span_ms.setter
    def span_ms(self, span_ms: float) -> None:
        self._sent.span_ms = self._taken.span_ms = span_ms

    def sent(self, now_ms: float, work: float, with_room: int, warm: int) -> None:
        """So much was sent to a warm server, of which there are `warm` and `with_room` among them."""
        self._sent.add(now_ms, work / max(1, with_room))
        self._taken.add(now_ms, work / max(1, with_room, warm))

    def turned_away(self, now_ms: float, work: float, warm: int) -> None:
        """So much of what was sent has not been taken."""
        self._taken.add(now_ms, -work / max(1, warm))

    def per_ms(self, now_ms: float) -> float:
        """What was sent, or `SENT_MOST` times what was taken, if that is less."""
        return min(self._sent.per_ms(now_ms), SENT_MOST * max(0.0, self._taken.per_ms(now_ms)))
