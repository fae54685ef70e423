"""The connections to one host that are not in use, and what their ends tell of its process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cloverrouter.interface import Sign
from cloverrouter.membership.evidence import Ends
from cloverrouter.membership.idling import IdleAges
from cloverrouter.proxy.exchange import Host
from cloverrouter.proxy.server_connection import ServerConnection

if TYPE_CHECKING:
    from cloverrouter.proxy.upstream import Upstream

# What a host sends behind an answer (a second copy, noise) may come in a read of its own. Nothing goes
# out on a connection before that has had time to come, or it would be taken for the next answer.
SETTLE_S = 0.005


class ServerPool:
    """The idle connections to one host, the last used first: the others can age and go."""

    def __init__(self, upstream: Upstream, host: Host) -> None:
        self.upstream = upstream
        self.host = host
        self.idle: list[ServerConnection] = []
        self.ages = IdleAges(upstream.uses_seen)
        self.up: set[ServerConnection] = set()
        self._ends = Ends()

    def ended(self, connection: ServerConnection, by_us: bool) -> None:
        """A connection has ended; all at one moment tell that the host's process has."""
        if connection not in self.up:
            return
        self.up.discard(connection)
        # Danger: those that ended one by one, idle, while this process stood are all found at its wake.
        if by_us or self.upstream.wake.just_woke(self.upstream.loop.time()):
            return
        if self._ends.add(self.upstream.loop.time() * 1000, len(self.up)) and self.upstream.uses(self):
            self.upstream.on_sign(self.host[0], Sign.HUNG_UP)

    def put(self, connection: ServerConnection) -> None:
        if not self.upstream.uses(self):
            connection.abort()  # the host drains or is gone: an idle connection only burdens it
            return
        connection.idle_since = self.upstream.loop.time()
        self.idle.append(connection)

    def take(self, repeatable: bool) -> ServerConnection | None:
        """An idle connection that a request may go out on."""
        now_s = self.upstream.loop.time()
        settled_s = now_s - SETTLE_S
        for connection in self.idle[::-1]:
            if connection.idle_since > settled_s:
                continue
            idle_s = now_s - connection.idle_since
            # One that has stood too long may be gone without a word; what is written to it is reset, and may
            # have run. All others have stood for longer still.
            if not self.ages.may_use(idle_s, repeatable):
                return None
            self.idle.remove(connection)
            if connection.clean():
                connection.idle_s = idle_s
                return connection
            connection.abort()
        return None

    def used(self, connection: ServerConnection, broke: bool) -> None:
        self.ages.used(connection.idle_s, broke, self.upstream.loop.time())

    def drop_doubtful(self) -> None:
        """Close what has stood idle for too long, but the youngest: a trial tells whether that still
        holds."""
        before_s = self.upstream.loop.time() - self.ages.limit_s
        for connection in [c for c in self.idle[:-1] if c.idle_since < before_s]:
            connection.abort()

    def forget(self, connection: ServerConnection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def drop_idle(self, since: float = float("inf")) -> None:
        for connection in [c for c in self.idle if c.idle_since < since]:
            connection.abort()
