"""Hosts that operators banned: they get no new requests until the ban is lifted, whatever discovery lists.

Rules only, no I/O. `Overlay` applies the bans to the lists of discovery as drains. Bans differ from a drain
by the console in this: a host that was listed once may be banned while it is absent, the last host may be
banned, too, and a host is treated as cold when its ban is lifted. A ban is a `Drain` without an end; a lifted
ban is one whose `until_ms` is the time at which it was lifted. Times are Unix milliseconds, since processes
share them.

The processes of one proxy exchange their records, and the latest change of a host applies. A record that is
missing changes nothing: a ban ends only by the record that it was lifted.
"""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.interface import EndpointState, ListKind
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock
from cloverrouter.roster.limits import MAX_HOSTS, MAX_RECORDS
from cloverrouter.roster.overlay import Drain, Overlay, UnknownServer
from cloverrouter.values import replace

LIFTED_KEPT_MS = 600_000.0  # for how long a lifted ban is shared; until then each process must have read it
NEXT_CHANGE_MS = 1.0  # from a change to one that must count as later, whatever the clock says
BANNED_BY = "management"


def changed_ms(record: Drain) -> float:
    """When a ban was last changed: when it was lifted, or else when it began (Unix)."""
    return record.since_ms if record.until_ms is None else max(record.since_ms, record.until_ms)


def is_later(record: Drain, other: Drain | None) -> bool:
    """Whether `record` is a later change of its host than `other`; at the same time, a lift is the later."""
    if other is None or changed_ms(record) != changed_ms(other):
        return other is None or changed_ms(record) > changed_ms(other)
    return record.until_ms is not None and other.until_ms is None


def merge_records(stored: Iterable[Drain], own: Iterable[Drain], now_ms: float) -> list[Drain]:
    """The latest record of each host, without what need not be stored.

    Lifted bans are left out `LIFTED_KEPT_MS` after the lift, and the oldest of them where there are more
    than `MAX_RECORDS`. A ban in force is never left out.
    """
    latest = {record.server: record for record in stored}
    for record in own:
        known = latest.get(record.server)
        if known is not record and is_later(record, known):
            latest[record.server] = record
    bans = [record for record in latest.values() if record.until_ms is None]
    lifted = [record for record in latest.values() if is_recently_lifted(record, now_ms)]
    free = max(0, MAX_RECORDS - len(bans))
    if len(lifted) > free:
        lifted = sorted(lifted, key=changed_ms, reverse=True)[:free]
    return [*bans, *lifted]


def is_recently_lifted(record: Drain, now_ms: float) -> bool:
    return record.until_ms is not None and now_ms - record.until_ms < LIFTED_KEPT_MS


class Bans(Overlay):
    def __init__(self, clock: UnixClock) -> None:
        """`clock` converts Unix times to the monotonic times in which lists give the start of a host."""
        super().__init__()
        self._clock = clock
        self._known_ids: dict[str, None] = {}  # ids that were ever listed, least recently listed first
        self.lifted: dict[str, Drain] = {}  # lifted bans by host, the one lifted first in front

    def listed(self, kind: ListKind, found: HostList) -> HostList:
        for entry in found.entries:
            self._known_ids.pop(entry.listed.name, None)
            self._known_ids[entry.listed.name] = None
        while len(self._known_ids) > MAX_HOSTS:
            del self._known_ids[next(iter(self._known_ids))]
        return super().listed(kind, found)

    def _forwards_unchanged(self) -> bool:
        return super()._forwards_unchanged() and not self.lifted

    def _overlaid(self, entry: HostEntry) -> HostEntry:
        entry = super()._overlaid(entry)
        lifted = self.lifted.get(entry.listed.name)
        if lifted is None or lifted.until_ms is None or entry.listed.state is not EndpointState.READY:
            return entry
        # A host is usually banned for a restart and comes back cold. While the list still gives the start of
        # the old process, the host would count as warm and be overloaded.
        started_ms, banned_ms = entry.listed.started_ms, self._clock.monotonic_ms(lifted.since_ms)
        if started_ms is not None and banned_ms is not None and started_ms >= banned_ms:
            return entry
        lifted_ms = self._clock.monotonic_ms(lifted.until_ms)
        return HostEntry(replace(entry.listed, started_ms=lifted_ms), entry.address)

    def ban(self, host: str, now_ms: float) -> HostList | None:
        """Ban a host. Returns the update for the decision module, or None if nothing changed for it.

        A repeated ban keeps the time of the first. Raises `UnknownServer` for an id that was never listed,
        and `TooManyDrains`.
        """
        self.check_known(host)
        if host in self.drains:
            return None
        self._check_drain_limit()
        lifted = self.lifted.get(host)
        since_ms = now_ms if lifted is None else max(now_ms, changed_ms(lifted) + NEXT_CHANGE_MS)
        return self._apply([Drain(host, BANNED_BY, since_ms)])

    def lift(self, host: str, now_ms: float) -> HostList | None:
        """Lift the ban of a host, however often it was banned. Returns as `ban`. Raises `UnknownServer`."""
        self.check_known(host)
        ban = self.drains.get(host)
        return None if ban is None else self._apply([replace(ban, until_ms=now_ms)])

    def merge_shared(self, records: Iterable[Drain]) -> HostList | None:
        """Apply what other processes changed later than this one. Returns as `ban`."""
        return self._apply([record for record in records if self._is_news(record)])

    def records(self, now_ms: float) -> list[Drain]:
        """The bans and the recently lifted ones, as they are shared."""
        lifted = [record for record in self.lifted.values() if is_recently_lifted(record, now_ms)]
        return [*self.drains.values(), *lifted]

    def is_banned(self, host: str) -> bool:
        return host in self.drains

    def check_known(self, host: str) -> None:
        """Raise `UnknownServer` for an id that was neither ever listed nor banned."""
        if host not in self.drains and host not in self._known_ids:
            raise UnknownServer(host)

    def _is_news(self, record: Drain) -> bool:
        known = self.drains.get(record.server) or self.lifted.get(record.server)
        return known is not record and is_later(record, known)

    def _apply(self, changes: Iterable[Drain]) -> HostList | None:
        before: dict[str, str] = {}
        for record in changes:
            host = record.server
            before[host] = self.state(host)
            self.drains.pop(host, None)
            self.lifted.pop(host, None)
            (self.drains if record.until_ms is None else self.lifted)[host] = record
        while len(self.lifted) > MAX_HOSTS:
            del self.lifted[next(iter(self.lifted))]
        return self._changed_entries(before)

    def _changed_entries(self, before: dict[str, str]) -> HostList | None:
        changed = [
            name for name, state in before.items() if name in self.discovered and self.state(name) != state
        ]
        if not changed:
            return None
        return HostList(self.version, False, tuple(self._overlaid(self.discovered[name]) for name in changed))
