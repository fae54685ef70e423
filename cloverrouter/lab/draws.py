"""Random numbers: one stream for each party and purpose, all from one seed.

The numbers of a stream depend only on the seed and its name (numpy's `SeedSequence`), so a change to one
party does not shift the numbers of another: two variants run with one seed have the same arrivals, work and
faults (common random numbers).
"""

from __future__ import annotations

from math import exp, log, log1p, sqrt
from zlib import crc32

from numpy.random import PCG64, Generator, SeedSequence

# Numbers drawn at a time: a call into numpy costs as much as twenty numbers.
FIRST_BLOCK_SIZE, MAX_BLOCK_SIZE = 8, 512


class Draws:
    """The random stream of one party. Uniform and normal numbers come in blocks from a stream each."""

    __slots__ = ("_blocks", "_generators", "_size")

    def __init__(self, seed: int, *name: str | int) -> None:
        name_key = [crc32(str(part).encode()) for part in name]
        self._generators = [
            Generator(PCG64(SeedSequence(seed, spawn_key=(*name_key, purpose)))) for purpose in (0, 1)
        ]
        self._blocks: list[list[float]] = [[], []]
        self._size = [FIRST_BLOCK_SIZE, FIRST_BLOCK_SIZE]

    def _refill(self, purpose: int) -> list[float]:
        generator, size = self._generators[purpose], self._size[purpose]
        numbers = generator.standard_normal(size) if purpose else generator.random(size)
        self._size[purpose] = min(MAX_BLOCK_SIZE, 4 * size)
        block: list[float] = numbers.tolist()
        self._blocks[purpose] = block
        return block

    def uniform(self) -> float:
        """Return a number from 0 up to, but not including, 1."""
        return (self._blocks[0] or self._refill(0)).pop()

    def between(self, low: float, high: float) -> float:
        """Return a number from `low` up to `high`."""
        return low + (high - low) * self.uniform()

    def wait(self, rate: float) -> float:
        """Return the time to the next event of a Poisson process with `rate`; infinite for a rate of 0."""
        return -log1p(-self.uniform()) / rate if rate > 0 else float("inf")

    def lognormal(self, mean: float, spread: float) -> float:
        """Return a log-normal number. `spread`: standard deviation over mean."""
        if not spread:
            return mean
        variance = log(1 + spread * spread)
        return mean * exp(sqrt(variance) * (self._blocks[1] or self._refill(1)).pop() - variance / 2)

    def integer(self) -> int:
        """Return an integer below 2**53, as a seed for other generators."""
        return int(self.uniform() * 2**53)

    def pick(self, names: list[str], count: int) -> list[str]:
        """Return `count` different items of `names`, in their original order."""
        ranked = sorted((self.uniform(), i) for i in range(len(names)))
        return [names[i] for i in sorted(i for _, i in ranked[:count])]
