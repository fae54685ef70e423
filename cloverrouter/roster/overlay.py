"""What discovery said, overlaid by what operators said: the list that the decision module is told.

Rules only: no clock, file or socket. Times are Unix milliseconds, since a drain outlives the process.
A drain belongs to a server's id. Lists that come later, whole or in part, do not undo it; the id may
vanish and come back, and is still drained; another id at the same address is another server.
"""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.interface import EndpointState, ListKind
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.values import Value, replace

MOST_DRAINS = 1000  # a script gone wrong must not grow the state without end


class Drain(Value):
    """An operator's word that a server gets nothing new. `until_ms` None: until it is restored."""

    server: str
    by: str
    since_ms: float
    until_ms: float | None = None
    note: str = ""

    def over(self, now_ms: float) -> bool:
        return self.until_ms is not None and now_ms >= self.until_ms


class Change(Value):
    """What one word of an operator, or an expiry, did. `tell` is what the module must hear; None: nothing."""

    server: str
    before: str
    after: str
    drain: Drain | None
    tell: HostList | None

    @property
    def changed(self) -> bool:
        return self.before != self.after or self.tell is not None


class UnknownServer(Exception):
    """Neither discovery nor an operator has named this id."""


class TooManyDrains(Exception):
    """`MOST_DRAINS` are in force."""


class Overlay:
    """The list as told, and the drains over it."""

    def __init__(self, drains: Iterable[Drain] = ()) -> None:
        self.drains = {drain.server: drain for drain in drains}
        self.told: dict[str, HostEntry] = {}  # by discovery, those that are gone left out
        self.version = 0

    # Discovery

    def listed(self, kind: ListKind, found: HostList) -> HostList:
        """Take in a list from discovery; the list that the module is to be told in its place."""
        self.version = found.version
        if kind is not ListKind.DELTA:
            self.told.clear()
        for entry in found.entries:
            if entry.listed.state is EndpointState.GONE:
                self.told.pop(entry.listed.name, None)
            else:
                self.told[entry.listed.name] = entry
        if self._plain():
            return found
        return replace(found, entries=tuple(self._overlaid(entry) for entry in found.entries))

    def _plain(self) -> bool:
        """Is the list told as it came?"""
        return not self.drains

    def _overlaid(self, entry: HostEntry) -> HostEntry:
        # A drain never makes more of a server than discovery does: only what is ready is changed.
        if entry.listed.name not in self.drains or entry.listed.state is not EndpointState.READY:
            return entry
        return HostEntry(replace(entry.listed, state=EndpointState.DRAINING), entry.address)

    # Operators

    def state(self, server: str) -> str:
        """One word: ready, drained, leaving, drained+leaving, absent or drained+absent."""
        entry, drained = self.told.get(server), server in self.drains
        if entry is None:
            return "drained+absent" if drained else "absent"
        if entry.listed.state is EndpointState.READY:
            return "drained" if drained else "ready"
        return "drained+leaving" if drained else "leaving"

    def drain(self, drain: Drain) -> Change:
        """Drain a server. Said again it changes nothing but its end and its note, where these differ.

        Raises `UnknownServer` for an id that neither discovery lists nor a drain names, `TooManyDrains`.
        """
        old = self.drains.get(drain.server)
        if old is None and drain.server not in self.told:
            raise UnknownServer(drain.server)
        if old is None:
            self._check_room()
        before = self.state(drain.server)
        if old is not None:
            # Idempotent: who drained it first, and when, stays true.
            drain = replace(old, until_ms=drain.until_ms, note=drain.note or old.note)
        self.drains[drain.server] = drain
        return Change(drain.server, before, self.state(drain.server), drain, self._tell(drain.server, before))

    def _check_room(self) -> None:
        if len(self.drains) >= MOST_DRAINS:
            raise TooManyDrains

    def restore(self, server: str) -> Change:
        """Undo a drain. Raises `UnknownServer` for an id that neither discovery nor a drain names."""
        if server not in self.told and server not in self.drains:
            raise UnknownServer(server)
        before = self.state(server)
        self.drains.pop(server, None)
        return Change(server, before, self.state(server), None, self._tell(server, before))

    def expire(self, now_ms: float) -> list[Change]:
        """Undo the drains whose time is over."""
        return [self.restore(name) for name in [n for n, d in self.drains.items() if d.over(now_ms)]]

    def next_expiry_ms(self) -> float | None:
        return min((d.until_ms for d in self.drains.values() if d.until_ms is not None), default=None)

    def _tell(self, server: str, before: str) -> HostList | None:
        """The change as discovery would have told it; None where the module sees none."""
        entry = self.told.get(server)
        if entry is None or self.state(server) == before:
            return None
        return HostList(self.version, False, (self._overlaid(entry),))
