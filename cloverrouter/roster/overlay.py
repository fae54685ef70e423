"""Operators' drains applied to discovery's list; the result goes to the decision module.

Rules only: no clock, file or socket. Times are Unix milliseconds, since a drain outlives the process.
A drain applies to a server's id. Later lists, full or partial, do not undo it; an id that is removed and
listed again is still drained; another id at the same address is another server.
"""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.interface import EndpointState, ListKind
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.roster.limits import MAX_HOSTS
from cloverrouter.values import Value, replace


class Drain(Value):
    """A server gets no new requests. `until_ms` None: until an operator restores it."""

    server: str
    by: str
    since_ms: float
    until_ms: float | None = None
    note: str = ""

    def over(self, now_ms: float) -> bool:
        return self.until_ms is not None and now_ms >= self.until_ms


class Change(Value):
    """Result of a command or an expiry. `update`: the list for the decision module; None: unchanged."""

    server: str
    before: str
    after: str
    drain: Drain | None
    update: HostList | None

    @property
    def changed(self) -> bool:
        return self.before != self.after or self.update is not None


class UnknownServer(Exception):
    """Neither discovery nor a drain names this id."""


class TooManyDrains(Exception):
    """The limit of `MAX_HOSTS` drains is reached."""


class Overlay:
    """Discovery's list and the drains that are applied to it."""

    def __init__(self, drains: Iterable[Drain] = ()) -> None:
        self.drains = {drain.server: drain for drain in drains}
        self.discovered: dict[str, HostEntry] = {}  # by id, without removed servers
        self.version = 0

    # Discovery

    def listed(self, kind: ListKind, found: HostList) -> HostList:
        """Store a list from discovery; return the list to send to the decision module instead."""
        self.version = found.version
        if kind is not ListKind.DELTA:
            self.discovered.clear()
        for entry in found.entries:
            if entry.listed.state is EndpointState.GONE:
                self.discovered.pop(entry.listed.name, None)
            else:
                self.discovered[entry.listed.name] = entry
        if self._forwards_unchanged():
            return found
        return replace(found, entries=tuple(self._overlaid(entry) for entry in found.entries))

    def _forwards_unchanged(self) -> bool:
        """Return whether the list is forwarded unchanged."""
        return not self.drains

    def _overlaid(self, entry: HostEntry) -> HostEntry:
        # A drain never upgrades a server's state: only one that is ready is changed.
        if entry.listed.name not in self.drains or entry.listed.state is not EndpointState.READY:
            return entry
        return HostEntry(replace(entry.listed, state=EndpointState.DRAINING), entry.address)

    # Operators

    def state(self, server: str) -> str:
        """Return ready, drained, leaving, drained+leaving, absent or drained+absent."""
        entry, drained = self.discovered.get(server), server in self.drains
        if entry is None:
            return "drained+absent" if drained else "absent"
        if entry.listed.state is EndpointState.READY:
            return "drained" if drained else "ready"
        return "drained+leaving" if drained else "leaving"

    def drain(self, drain: Drain) -> Change:
        """Drain a server. A repeated drain only updates its end, and its note if one is given.

        Raises `UnknownServer` for an id that neither discovery lists nor a drain names, `TooManyDrains`.
        """
        old = self.drains.get(drain.server)
        if old is None and drain.server not in self.discovered:
            raise UnknownServer(drain.server)
        if old is None:
            self._check_drain_limit()
        before = self.state(drain.server)
        if old is not None:
            # Idempotent: the operator and the time of the first drain are kept.
            drain = replace(old, until_ms=drain.until_ms, note=drain.note or old.note)
        self.drains[drain.server] = drain
        return Change(
            drain.server, before, self.state(drain.server), drain, self._update_for(drain.server, before)
        )

    def _check_drain_limit(self) -> None:
        if len(self.drains) >= MAX_HOSTS:
            raise TooManyDrains

    def restore(self, server: str) -> Change:
        """Undo a drain. Raises `UnknownServer` for an id that neither discovery nor a drain names."""
        if server not in self.discovered and server not in self.drains:
            raise UnknownServer(server)
        before = self.state(server)
        self.drains.pop(server, None)
        return Change(server, before, self.state(server), None, self._update_for(server, before))

    def expire(self, now_ms: float) -> list[Change]:
        """Undo the drains that have expired."""
        return [self.restore(name) for name in [n for n, d in self.drains.items() if d.over(now_ms)]]

    def next_expiry_ms(self) -> float | None:
        return min((d.until_ms for d in self.drains.values() if d.until_ms is not None), default=None)

    def _update_for(self, server: str, before: str) -> HostList | None:
        """Return the change as an update from discovery; None if the decision module sees no change."""
        entry = self.discovered.get(server)
        if entry is None or self.state(server) == before:
            return None
        return HostList(self.version, False, (self._overlaid(entry),))
