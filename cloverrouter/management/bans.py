"""Hosts that operators banned: they get no new requests until the ban is lifted, whatever discovery lists.

Rules only, no I/O. `Overlay` applies the bans to the lists of discovery as drains. Bans differ from a drain
by the console in this: a host that was listed once may be banned while it is absent, the last host may be
banned, too, and a host is treated as cold when its ban is lifted. A ban is a `Drain` without an end; a lifted
ban is one whose `until_ms` is the time at which it was lifted. Times are Unix milliseconds, since processes
share them.
"""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.interface import EndpointState, ListKind
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock
from cloverrouter.roster.overlay import Drain, Overlay, UnknownServer
from cloverrouter.values import replace

MAX_KNOWN_IDS = 10_000  # bounds memory in a fleet that keeps renaming its hosts
LIFTED_KEPT_MS = 600_000.0  # for how long a lifted ban is kept
BANNED_BY = "management"


class Bans(Overlay):
    def __init__(self, clock: UnixClock) -> None:
        """`clock` converts Unix times to the monotonic times in which lists give the start of a host."""
        super().__init__()
        self._clock = clock
        self._known_ids: dict[str, None] = {}  # ids that were ever listed, least recently listed first
        self.lifted: dict[str, Drain] = {}  # recently lifted bans by host; `until_ms` is the time of lifting

    def listed(self, kind: ListKind, found: HostList) -> HostList:
        for entry in found.entries:
            self._known_ids.pop(entry.listed.name, None)
            self._known_ids[entry.listed.name] = None
        while len(self._known_ids) > MAX_KNOWN_IDS:
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

        Raises `UnknownServer` for an id that was never listed, and `TooManyDrains`.
        """
        self._check_known(host)
        return self._apply(Drain(host, BANNED_BY, now_ms))

    def lift(self, host: str, now_ms: float) -> HostList | None:
        """Lift the ban of a host, however often it was banned. Returns as `ban`. Raises `UnknownServer`."""
        self._check_known(host)
        ban = self.drains.get(host)
        return None if ban is None else self._apply(replace(ban, until_ms=now_ms))

    def load_shared(self, records: Iterable[Drain], now_ms: float) -> HostList | None:
        """Replace the bans and lifted bans by those that another process wrote. Returns as `ban`."""
        before = {name: self.state(name) for name in self.discovered}
        self.drains = {d.server: d for d in records if d.until_ms is None}
        self.lifted = {
            d.server: d for d in records if d.until_ms is not None and now_ms - d.until_ms < LIFTED_KEPT_MS
        }
        return self._changed_entries(before)

    def records(self, now_ms: float) -> list[Drain]:
        """The bans and the recently lifted ones, as they are stored."""
        lifted = [
            d for d in self.lifted.values() if d.until_ms is not None and now_ms - d.until_ms < LIFTED_KEPT_MS
        ]
        return [*self.drains.values(), *lifted]

    def _check_known(self, host: str) -> None:
        if host not in self.drains and host not in self._known_ids:
            raise UnknownServer(host)

    def _apply(self, ban: Drain) -> HostList | None:
        before = {ban.server: self.state(ban.server)}
        if ban.until_ms is None:
            self.lifted.pop(ban.server, None)
            if ban.server in self.drains:
                return None  # a repeated ban keeps the time of the first
            self._check_drain_limit()
            self.drains[ban.server] = ban
        else:
            self.drains.pop(ban.server, None)
            self.lifted[ban.server] = ban
        return self._changed_entries(before)

    def _changed_entries(self, before: dict[str, str]) -> HostList | None:
        changed = [
            name for name, state in before.items() if name in self.discovered and self.state(name) != state
        ]
        if not changed:
            return None
        return HostList(self.version, False, tuple(self._overlaid(self.discovered[name]) for name in changed))
