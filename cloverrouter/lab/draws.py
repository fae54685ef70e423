"""Random numbers: one stream for each party and purpose, all from one seed.

A stream's numbers depend on the seed and its name alone (numpy's `SeedSequence`), so a change to one party
shifts no other's draws: two variants on one seed meet the same arrivals, work and faults (common random
numbers).
"""

from __future__ import annotations

from math import exp, log, log1p, sqrt
from zlib import crc32

from numpy.random import PCG64, Generator, SeedSequence

FIRST_BLOCK, MOST_BLOCK = 8, 512  # drawn at once: a call into numpy costs as much as twenty numbers


class Draws:
    """One party's stream. Uniform and normal numbers are drawn in blocks from streams of their own."""

    __slots__ = ("_blocks", "_generators", "_size")

    def __init__(self, seed: int, *name: str | int) -> None:
        words = [crc32(str(part).encode()) for part in name]
        self._generators = [
            Generator(PCG64(SeedSequence(seed, spawn_key=(*words, purpose)))) for purpose in (0, 1)
        ]
        self._blocks: list[list[float]] = [[], []]
        self._size = [FIRST_BLOCK, FIRST_BLOCK]

    def _refill(self, purpose: int) -> list[float]:
        generator, size = self._generators[purpose], self._size[purpose]
        found = generator.standard_normal(size) if purpose else generator.random(size)
        self._size[purpose] = min(MOST_BLOCK, 4 * size)
        block: list[float] = found.tolist()
        self._blocks[purpose] = block
        return block

    def uniform(self) -> float:
        """From 0 up to 1."""
        return (self._blocks[0] or self._refill(0)).pop()

    def between(self, least: float, most: float) -> float:
        return least + (most - least) * self.uniform()

    def wait(self, rate: float) -> float:
        """The time to the next of events that come at `rate`, by chance."""
        return -log1p(-self.uniform()) / rate if rate > 0 else float("inf")

    def lognormal(self, mean: float, spread: float) -> float:
        """`spread`: standard deviation over mean."""
        if not spread:
            return mean
        variance = log(1 + spread * spread)
        return mean * exp(sqrt(variance) * (self._blocks[1] or self._refill(1)).pop() - variance / 2)

    def whole(self) -> int:
        """A whole number below 2**53, to seed others with."""
        return int(self.uniform() * 2**53)

    def pick(self, names: list[str], count: int) -> list[str]:
        """`count` different ones, in their old order."""
        keyed = sorted((self.uniform(), i) for i in range(len(names)))
        return [names[i] for i in sorted(i for _, i in keyed[:count])]
