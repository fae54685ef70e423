"""Hosts that operators took out: nothing more to them until they are given back, whatever the list says.

Rules only. An `Overlay` of drains does the laying over; here is what differs from an operator's drain on
the console: an id that was listed once may be taken out while it is absent, there is no guard on the last
host, and a host given back is taken to be cold. A ban is a `Drain` without an end; one with an end was given
back then. Times are Unix milliseconds, as two processes share them.
"""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.interface import EndpointState, ListKind
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock
from cloverrouter.roster.overlay import Drain, Overlay, UnknownServer
from cloverrouter.values import replace

MOST_REMEMBERED = 10_000  # ids; a fleet that renames its hosts must not grow this without end
KEPT_MS = 600_000.0  # how long a host given back is remembered as such
BY = "management"


class Bans(Overlay):
    def __init__(self, clock: UnixClock) -> None:
        """`clock` turns Unix times into those of the list's starts."""
        super().__init__()
        self._clock = clock
        self._ever: dict[str, None] = {}  # ids that were listed, the oldest first
        self.returned: dict[str, Drain] = {}  # given back; `until_ms` is when

    def listed(self, kind: ListKind, found: HostList) -> HostList:
        for entry in found.entries:
            self._ever.pop(entry.listed.name, None)
            self._ever[entry.listed.name] = None
        while len(self._ever) > MOST_REMEMBERED:
            del self._ever[next(iter(self._ever))]
        return super().listed(kind, found)

    def _plain(self) -> bool:
        return super()._plain() and not self.returned

    def _overlaid(self, entry: HostEntry) -> HostEntry:
        entry = super()._overlaid(entry)
        back = self.returned.get(entry.listed.name)
        if back is None or back.until_ms is None or entry.listed.state is not EndpointState.READY:
            return entry
        # Danger: taken out to be restarted, it comes back cold; as long as the list still tells of the old
        # process it would be taken for warm, and be pushed over.
        started_ms, out_ms = entry.listed.started_ms, self._clock.monotonic_ms(back.since_ms)
        if started_ms is not None and out_ms is not None and started_ms >= out_ms:
            return entry
        back_ms = self._clock.monotonic_ms(back.until_ms)
        return HostEntry(replace(entry.listed, started_ms=back_ms), entry.address)

    def take_out(self, host: str, now_ms: float) -> HostList | None:
        """What the module must hear; None: nothing.

        Raises `UnknownServer` for an id that was never listed, and `TooManyDrains`.
        """
        self._check_known(host)
        return self._put(Drain(host, BY, now_ms))

    def give_back(self, host: str, now_ms: float) -> HostList | None:
        """One call ends the ban, however often the host was taken out. Raises `UnknownServer`."""
        self._check_known(host)
        ban = self.drains.get(host)
        return None if ban is None else self._put(replace(ban, until_ms=now_ms))

    def take_over(self, said: Iterable[Drain], now_ms: float) -> HostList | None:
        """What another process wrote: all of the bans, and those given back."""
        before = {name: self.state(name) for name in self.told}
        self.drains = {d.server: d for d in said if d.until_ms is None}
        self.returned = {
            d.server: d for d in said if d.until_ms is not None and now_ms - d.until_ms < KEPT_MS
        }
        return self._changes(before)

    def all(self, now_ms: float) -> list[Drain]:
        """The bans, and the hosts given back of late, as they are written down."""
        back = [d for d in self.returned.values() if d.until_ms is not None and now_ms - d.until_ms < KEPT_MS]
        return [*self.drains.values(), *back]

    def _check_known(self, host: str) -> None:
        if host not in self.drains and host not in self._ever:
            raise UnknownServer(host)

    def _put(self, said: Drain) -> HostList | None:
        before = {said.server: self.state(said.server)}
        if said.until_ms is None:
            self.returned.pop(said.server, None)
            if said.server in self.drains:
                return None  # said again: since when it is out stays true
            self._check_room()
            self.drains[said.server] = said
        else:
            self.drains.pop(said.server, None)
            self.returned[said.server] = said
        return self._changes(before)

    def _changes(self, before: dict[str, str]) -> HostList | None:
        changed = [name for name, state in before.items() if name in self.told and self.state(name) != state]
        if not changed:
            return None
        return HostList(self.version, False, tuple(self._overlaid(self.told[name]) for name in changed))
