"""The connection pool of one host, and the health signals from the ends of its connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cloverrouter.interface import ConnectionSignal
from cloverrouter.membership.evidence import ConnectionCloses
from cloverrouter.membership.idling import IdleAgeLimit
from cloverrouter.proxy.exchange import Host
from cloverrouter.proxy.server_connection import ServerConnection

if TYPE_CHECKING:
    from cloverrouter.proxy.upstream import Upstream

# Extra data behind an answer (a second copy, noise) may arrive in a separate read. A connection is not reused
# before there was time for that, or the data would be taken for the next answer.
REUSE_DELAY_S = 0.005


class ServerPool:
    """The idle connections to one host. The last used is reused first, so that surplus ones expire."""

    def __init__(self, upstream: Upstream, host: Host) -> None:
        self.upstream = upstream
        self.host = host
        self.idle: list[ServerConnection] = []
        self.ages = IdleAgeLimit(upstream.idle_uses)
        self.established: set[ServerConnection] = set()
        self._closes = ConnectionCloses()
        self._opened_from_s = float("-inf")  # connections that were opened earlier are not used any more

    def connection_ended(self, connection: ServerConnection, by_proxy: bool, was_reset: bool = False) -> None:
        """A connection has ended. If all end at the same moment, the host's process has ended."""
        if connection not in self.established:
            return
        self.established.discard(connection)
        if was_reset and not by_proxy and not self.established and self.upstream.is_current(self):
            self.upstream.on_signal(self.host[0], ConnectionSignal.LAST_RESET)
        # Connections that ended one after the other during a process pause are all noticed when it resumes.
        if by_proxy or self.upstream.pause_detector.just_resumed(self.upstream.loop.time()):
            return
        if self._closes.record_close(
            self.upstream.loop.time() * 1000, len(self.established)
        ) and self.upstream.is_current(self):
            self.upstream.on_signal(self.host[0], ConnectionSignal.CLOSED_BY_PEER)

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool after its use."""
        if not self.upstream.is_current(self) or connection.opened_s < self._opened_from_s:
            connection.abort()  # the host drains or was removed: idle connections only burden it
            return
        connection.idle_since = self.upstream.loop.time()
        self.idle.append(connection)

    def discard_older(self, before_s: float) -> None:
        """Stop using connections that were opened before `before_s`: the host's process has gone since."""
        self._opened_from_s = before_s
        for connection in [c for c in self.idle if c.opened_s < before_s]:
            connection.abort()

    def acquire(self, retryable: bool) -> ServerConnection | None:
        """Take an idle connection that may be used for a request; None if there is none."""
        now_s = self.upstream.loop.time()
        reusable_s = now_s - REUSE_DELAY_S
        for connection in self.idle[::-1]:
            if connection.idle_since > reusable_s:
                continue
            idle_s = now_s - connection.idle_since
            # A connection idle for too long may have been dropped silently; a request sent on it is reset and
            # may have run. All remaining connections have been idle for longer still.
            if not self.ages.may_use(idle_s, retryable):
                return None
            self.idle.remove(connection)
            if connection.is_clean():
                connection.idle_before_use_s = idle_s
                return connection
            connection.abort()
        return None

    def record_use(self, connection: ServerConnection, broken: bool) -> None:
        """Record whether the connection was broken when it was used after its idle time."""
        self.ages.record_use(connection.idle_before_use_s, broken, self.upstream.loop.time())

    def close_over_age(self) -> None:
        """Close connections that have been idle for too long, except the youngest: it is kept for a trial of
        whether that limit still holds."""
        before_s = self.upstream.loop.time() - self.ages.limit_s
        for connection in [c for c in self.idle[:-1] if c.idle_since < before_s]:
            connection.abort()

    def discard(self, connection: ServerConnection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, since: float = float("inf")) -> None:
        for connection in [c for c in self.idle if c.idle_since < since]:
            connection.abort()
