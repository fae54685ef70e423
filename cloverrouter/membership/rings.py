"""The ready servers of each zone in an order that is the same for all proxies, and what they weigh. No I/O.

It is kept as servers come and go, at a cost that goes by how many do and by the logarithm of the others.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from math import ceil
from typing import Generic, Protocol, TypeVar
from zlib import crc32

from cloverrouter.interface import ListedEndpoint

# Weights are summed in whole numbers of these: exactly, so that what is taken off leaves no rest. A power of
# two, by which a float is multiplied without rounding.
UNITS = 2**64
# Where so large a part of a zone changes in one step it is put in order anew.
MANY = 1 / 8

Key = tuple[int, str]


def ring_key(name: str) -> Key:
    return crc32(name.encode(errors="surrogatepass")), name


class Server(Protocol):
    key: Key
    number: int  # by the order in which they became known
    listed: ListedEndpoint
    placed: ListedEndpoint | None  # as it was listed when it was put into its ring; None: it is in none

    @property
    def usable(self) -> bool:
        """Is it listed as ready now?"""


P = TypeVar("P", bound=Server)


def _key(server: Server) -> Key:
    return server.key


class Ring(Generic[P]):
    """The servers of one zone."""

    __slots__ = ("members", "units")

    def __init__(self) -> None:
        self.members: list[P] = []
        self.units = 0

    def change(self, out: Sequence[P], into: Sequence[P]) -> None:
        members = self.members
        if len(out) + len(into) > MANY * len(members):
            left = set(out)
            self.members = sorted([e for e in members if e not in left] + list(into), key=_key)
            return
        for e in out:
            del members[bisect_left(members, e.key, key=_key)]
        for e in into:
            insort(members, e, key=_key)


class Rings(Generic[P]):
    def __init__(self) -> None:
        self._rings: dict[str, Ring[P]] = {}
        self._order: list[tuple[Key, str]] = []  # the zones, by the first server of each
        self._units = 0
        self.count = 0
        self._turn = 0.0
        self._around: list[P] | None = None  # as last asked for

    @property
    def weight(self) -> float:
        return self._units / UNITS

    def change(self, touched: Iterable[P]) -> tuple[int, int]:
        """These may have changed. How many processes began, and how many servers that were ready no longer
        are."""
        zones: dict[str, tuple[list[P], list[P]]] = {}
        before: dict[str, float | None] = {}
        now: dict[str, float | None] = {}
        for e in touched:
            if e.placed is not None:
                before[e.placed.name] = e.placed.started_ms
                self._weigh(e.placed, -1)
                zones.setdefault(e.placed.zone, ([], []))[0].append(e)
            e.placed = e.listed if e.usable else None
            if e.placed is not None:
                now[e.placed.name] = e.placed.started_ms
                self._weigh(e.placed, 1)
                zones.setdefault(e.placed.zone, ([], []))[1].append(e)
        self._move(zones)
        self._around = None if zones else self._around
        began = sum(ms is not None and before.get(name) != ms for name, ms in now.items())
        return began, len(before.keys() - now.keys())

    def _weigh(self, listed: ListedEndpoint, sign: int) -> None:
        ring = self._rings.get(listed.zone)
        if ring is None:
            ring = self._rings[listed.zone] = Ring()
        units = sign * int(max(0.0, listed.weight) * UNITS)
        ring.units += units
        self._units += units
        self.count += sign

    def _move(self, zones: dict[str, tuple[list[P], list[P]]]) -> None:
        for zone, (left, came) in zones.items():
            ring = self._rings[zone]
            first = ring.members[0].key if ring.members else None
            ring.change(left, came)
            now = ring.members[0].key if ring.members else None
            if now != first:
                if first is not None:
                    del self._order[bisect_left(self._order, (first, zone))]
                if now is not None:
                    insort(self._order, (now, zone))
            if now is None:
                del self._rings[zone]

    def zones(self, own: str, place: float, most: int) -> list[tuple[list[P], float]]:
        """The servers of each zone and its share of the weight: the own zone first, the others by their first
        servers; of more than `most` zones so many from `place` (0 to 1) on."""
        order = [zone for _, zone in self._from(place, most)]
        if own in self._rings:
            order = [own, *(zone for zone in order if zone != own)]
        total = self._units or 1
        return [(ring.members, ring.units / total) for ring in map(self._rings.__getitem__, order)]

    def _from(self, place: float, most: int) -> list[tuple[Key, str]]:
        start, count = int(place * len(self._order)), len(self._order)
        return self._order if count <= most else [self._order[(start + i) % count] for i in range(most)]

    def around(self, place: float, most: int) -> list[P]:
        """All, by their numbers; of more than `most` about so many, zone by zone, from `place` on in each
        ring, or from where turns have led to."""
        if self._around is None:
            found: list[P] = []
            place = (place + self._turn) % 1.0
            for ring, share in self.zones("", place, most):
                wanted = len(ring) if self.count <= most else min(len(ring), ceil(most * share))
                start = int(place * len(ring))
                found += ring[start : start + wanted]
                found += ring[: max(0, start + wanted - len(ring))]
            self._around = sorted(found, key=lambda e: e.number)
        return self._around

    def turn(self, most: int) -> None:
        """Look on around, where there are more than `most`."""
        if self.count > most:
            self._turn = (self._turn + most / self.count) % 1.0
            self._around = None
