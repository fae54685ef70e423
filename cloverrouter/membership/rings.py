"""Ready servers of each zone in an order that is the same for all proxies, with their weights. No I/O.

An update costs time proportional to the number of changed servers and to the logarithm of the others.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from math import ceil
from typing import Generic, Protocol, TypeVar
from zlib import crc32

from cloverrouter.interface import ListedEndpoint

# Weights are summed exactly, as integers in units of 1 / WEIGHT_UNITS, so that subtraction leaves no
# remainder. A power of two, by which a float is multiplied without rounding.
WEIGHT_UNITS = 2**64
# If more than this share of a zone changes in one step, the zone is sorted anew.
REBUILD_SHARE = 1 / 8

Key = tuple[int, str]


def ring_key(name: str) -> Key:
    return crc32(name.encode(errors="surrogatepass")), name


class Server(Protocol):
    key: Key
    number: int  # in the order in which the servers became known
    listed: ListedEndpoint
    ring_entry: ListedEndpoint | None  # its entry when it was put into its ring; None: it is in no ring

    @property
    def usable(self) -> bool:
        """Whether it is listed as ready now."""


P = TypeVar("P", bound=Server)


def _key(server: Server) -> Key:
    return server.key


class Ring(Generic[P]):
    """Ready servers of one zone, sorted by `ring_key`."""

    __slots__ = ("members", "units")

    def __init__(self) -> None:
        self.members: list[P] = []
        self.units = 0

    def change(self, removed: Sequence[P], added: Sequence[P]) -> None:
        members = self.members
        if len(removed) + len(added) > REBUILD_SHARE * len(members):
            removed_set = set(removed)
            self.members = sorted([e for e in members if e not in removed_set] + list(added), key=_key)
            return
        for e in removed:
            del members[bisect_left(members, e.key, key=_key)]
        for e in added:
            insort(members, e, key=_key)


class ZoneRings(Generic[P]):
    """Rings of all zones."""

    def __init__(self) -> None:
        self._rings: dict[str, Ring[P]] = {}
        self._order: list[tuple[Key, str]] = []  # zones, sorted by the first server of each
        self._units = 0
        self.count = 0
        self._rotation = 0.0
        self._last_sample: list[P] | None = None  # cached result of `sample`

    @property
    def weight(self) -> float:
        return self._units / WEIGHT_UNITS

    def change(self, changed: Iterable[P]) -> tuple[int, int]:
        """Update the rings for servers that may have changed.

        Returns how many processes started, and how many servers are no longer ready.
        """
        zones: dict[str, tuple[list[P], list[P]]] = {}
        before: dict[str, float | None] = {}
        now: dict[str, float | None] = {}
        for e in changed:
            if e.ring_entry is not None:
                before[e.ring_entry.name] = e.ring_entry.started_ms
                self._add_weight(e.ring_entry, -1)
                zones.setdefault(e.ring_entry.zone, ([], []))[0].append(e)
            e.ring_entry = e.listed if e.usable else None
            if e.ring_entry is not None:
                now[e.ring_entry.name] = e.ring_entry.started_ms
                self._add_weight(e.ring_entry, 1)
                zones.setdefault(e.ring_entry.zone, ([], []))[1].append(e)
        self._update_rings(zones)
        self._last_sample = None if zones else self._last_sample
        started = sum(ms is not None and before.get(name) != ms for name, ms in now.items())
        return started, len(before.keys() - now.keys())

    def _add_weight(self, listed: ListedEndpoint, sign: int) -> None:
        ring = self._rings.get(listed.zone)
        if ring is None:
            ring = self._rings[listed.zone] = Ring()
        units = sign * int(max(0.0, listed.weight) * WEIGHT_UNITS)
        ring.units += units
        self._units += units
        self.count += sign

    def _update_rings(self, zones: dict[str, tuple[list[P], list[P]]]) -> None:
        for zone, (removed, added) in zones.items():
            ring = self._rings[zone]
            first = ring.members[0].key if ring.members else None
            ring.change(removed, added)
            now = ring.members[0].key if ring.members else None
            if now != first:
                if first is not None:
                    del self._order[bisect_left(self._order, (first, zone))]
                if now is not None:
                    insort(self._order, (now, zone))
            if now is None:
                del self._rings[zone]

    def zones(self, own_zone: str, position: float, max_zones: int) -> list[tuple[list[P], float]]:
        """Return the servers of each zone and its share of the total weight.

        The own zone comes first, the others are ordered by their first servers. Of more than `max_zones`
        zones, that many are returned, from `position` (0 to 1) on.
        """
        order = [zone for _, zone in self._zones_from(position, max_zones)]
        if own_zone in self._rings:
            order = [own_zone, *(zone for zone in order if zone != own_zone)]
        total = self._units or 1
        return [(ring.members, ring.units / total) for ring in map(self._rings.__getitem__, order)]

    def _zones_from(self, position: float, max_zones: int) -> list[tuple[Key, str]]:
        start, count = int(position * len(self._order)), len(self._order)
        return (
            self._order
            if count <= max_zones
            else [self._order[(start + i) % count] for i in range(max_zones)]
        )

    def sample(self, position: float, max_servers: int) -> list[P]:
        """Return all servers, ordered by number, or about `max_servers` of them.

        A sample takes from each zone by its weight, from `position` on in each ring, moved on by `rotate`.
        """
        if self._last_sample is None:
            found: list[P] = []
            position = (position + self._rotation) % 1.0
            for ring, share in self.zones("", position, max_servers):
                wanted = len(ring) if self.count <= max_servers else min(len(ring), ceil(max_servers * share))
                start = int(position * len(ring))
                found += ring[start : start + wanted]
                found += ring[: max(0, start + wanted - len(ring))]
            self._last_sample = sorted(found, key=lambda e: e.number)
        return self._last_sample

    def rotate(self, max_servers: int) -> None:
        """Move the sample on along the rings, if there are more than `max_servers` servers."""
        if self.count > max_servers:
            self._rotation = (self._rotation + max_servers / self.count) % 1.0
            self._last_sample = None
