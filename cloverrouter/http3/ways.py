"""By which protocol a server is spoken to, and on which of its connections a request goes. Rules, no I/O.

Times are seconds of the caller's monotonic clock. The decisions choose the server; here stands only how it is
reached. Nothing is tried twice below them: what does not come up is told to them as never having run, and the
next attempt that they send there, if they do, may go by HTTP/1.1.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

# After a handshake that failed HTTP/3 rests for this time, twice as long with each that follows.
REST_S, MOST_REST_S = 5.0, 300.0
MOST_STREAMS = 64  # at once on one connection: more would wait behind one another's losses
MOST_OF_A_SERVER = 4  # connections to one server at once
# A handshake costs two flights of a server's packets, and the first that is lost comes again only after twice
# the first guess of a round trip (RFC 9002, 6.2.2).
HANDSHAKES = 3.0  # as long as a TCP connection may take to come up


@dataclass(slots=True)
class Speech:
    """Which servers speak HTTP/3. `names`: their ids, empty for all; `fallback`: may they be asked by
    HTTP/1.1 while HTTP/3 fails?"""

    names: frozenset[str] = frozenset()
    fallback: bool = True
    _failed: dict[str, tuple[int, float]] = field(default_factory=dict)  # in a row, and until when it rests

    def named(self, server: str) -> bool:
        return not self.names or server in self.names

    def by_http3(self, server: str, now_s: float) -> bool:
        if not self.named(server):
            return False
        # Danger: with nothing to fall back to, a rest would be a pause of our own making.
        return not self.fallback or now_s >= self._failed.get(server, (0, 0.0))[1]

    def came_up(self, server: str) -> None:
        self._failed.pop(server, None)

    def failed(self, server: str, now_s: float) -> None:
        """A connection did not come up. Of those begun before the rest only the first counts."""
        count, until_s = self._failed.get(server, (0, 0.0))
        if now_s >= until_s:
            rest_s = min(MOST_REST_S, REST_S * 2.0**count)
            self._failed[server] = (min(count + 1, 16), now_s + rest_s)

    def keep_only(self, servers: Iterable[str]) -> None:
        """Forget those that are not there any more."""
        kept = set(servers)
        self._failed = {name: told for name, told in self._failed.items() if name in kept}

    def resting_s(self, server: str, now_s: float) -> float:
        """For how long HTTP/3 rests still, to this server; 0 if it does not."""
        return max(0.0, self._failed.get(server, (0, 0.0))[1] - now_s) if self.fallback else 0.0


class Lane(Protocol):
    """A connection, as far as the choice of one goes."""

    @property
    def up(self) -> bool:
        """Its handshake is over."""

    @property
    def usable(self) -> bool:
        """It takes requests: no GOAWAY has come, it is not ending, and nothing says that it leads nowhere."""

    @property
    def load(self) -> int:
        """Requests on it, or waiting for it to come up."""

    @property
    def room(self) -> int:
        """How many more streams its server allows; only known once it is up."""


L = TypeVar("L", bound=Lane)


@dataclass(frozen=True, slots=True)
class Choice(Generic[L]):
    """`lane`: goes on this one; None with `open`: on a new one; None without: there is no room."""

    lane: L | None
    open: bool = False


def choose(lanes: Iterable[L], fresh: bool, may_open: bool) -> Choice[L]:
    """The connection that a request goes on. `fresh`: it must be a new one, to tell whether any comes up;
    `may_open`: there is a socket for one."""
    usable = [lane for lane in lanes if lane.usable]
    if fresh:
        return Choice(None, may_open)
    up = [lane for lane in usable if lane.up and lane.load < MOST_STREAMS and lane.room > 0]
    if up:
        return Choice(min(up, key=lambda lane: lane.load))
    coming = [lane for lane in usable if not lane.up and lane.load < MOST_STREAMS]
    if coming:
        return Choice(min(coming, key=lambda lane: lane.load))
    return Choice(None, may_open and len(usable) < MOST_OF_A_SERVER)


def leads_nowhere(heard_s: float, sent_s: float) -> bool:
    """A request was given up that had no answer: does its connection still lead anywhere?

    `heard_s`: when anything last came on it, `sent_s`: when the request went out. An honest server that is
    merely slow has acknowledged its packets long ago (RFC 9000, 13.2.1: within 25 ms). Danger: what follows
    on a dead one would be lost until the connection's own time-out.
    """
    return heard_s < sent_s
