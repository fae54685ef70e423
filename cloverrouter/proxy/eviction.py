"""Choose which client connection to close when a new one needs its slot. Does no I/O of its own."""

from __future__ import annotations

from cloverrouter.proxy.client_connection import ClientConnection, Stage

FIRST_REQUEST_GRACE_S = 0.5  # a client with work to do sends its first request within this time of connecting
# Upper bound on the time that a first request takes to arrive, also on a busy machine. Closing the connection
# in that time would answer the request with a TCP reset.
SILENT_GRACE_S = 0.1
# An answer that is being sent takes a few steps of the event loop, unless its client does not read.
UNFLUSHED_GRACE_S = 0.5
# If more than 1 / MAX_SILENT_DIVISOR of the connection limit has sent no request yet, these connections keep
# other clients out, and the grace period no longer applies to them.
MAX_SILENT_DIVISOR = 4


class Eviction:
    """Connections that may be evicted, by stage; within a stage the oldest comes first."""

    def __init__(self, max_open: int) -> None:
        """`max_open`: the limit on concurrently open connections."""
        self.max_open = max_open
        self._ended: dict[ClientConnection, None] = {}
        self._silent: dict[ClientConnection, None] = {}
        self._idle: dict[ClientConnection, None] = {}

    @property
    def idle_count(self) -> int:
        """Number of idle keep-alive connections: answered, and without a further request."""
        return len(self._idle)

    def update_stage(self, connection: ClientConnection) -> None:
        """Record the current stage of `connection`."""
        connections = self._connections_in(connection.stage)
        if connections is not None and connections is not self._idle and connection in connections:
            return
        self.remove(connection)
        if connections is not None:
            connections[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        self._ended.pop(connection, None)
        self._silent.pop(connection, None)
        self._idle.pop(connection, None)

    def _connections_in(self, stage: Stage) -> dict[ClientConnection, None] | None:
        if stage is Stage.ENDED:
            return self._ended
        if stage is Stage.SILENT:
            return self._silent
        return self._idle if stage is Stage.IDLE else None

    def evict(self, now_s: float, spare_active: bool = False) -> bool:
        """Close the least valuable connection; return whether there was one."""
        connection = self.choose(now_s, spare_active)
        if connection is None:
            return False
        self.remove(connection)
        connection.end("evicted")
        return True

    def choose(self, now_s: float, spare_active: bool = False) -> ClientConnection | None:
        """Return the connection that `evict` closes.

        `spare_active`: spare connections that may be about to send a request, and those whose answer is not
        fully sent. `now_s`: time on the clock that excludes process pauses.
        """
        connection = self._candidate(now_s, spare_active, unflushed=False)
        if connection is None and not spare_active:
            connection = self._candidate(now_s, spare_active, unflushed=True)
        return connection

    def _candidate(self, now_s: float, spare_active: bool, unflushed: bool) -> ClientConnection | None:
        """Return the connection to close; `unflushed`: consider only those with unsent answer bytes."""
        grace_s = self._silent_grace_s(spare_active)
        for connections in (self._ended, self._silent, self._idle):
            for connection in connections:
                if connection.unflushed is not unflushed:
                    continue
                if unflushed and connection.state_since_s > now_s - UNFLUSHED_GRACE_S:
                    continue
                if connections is self._silent and connection.state_since_s > now_s - grace_s:
                    break  # insertion order: all that follow are newer
                if connection.evictable:
                    return connection
        return None

    def _silent_grace_s(self, spare_active: bool) -> float:
        """Return the age up to which a connection that has sent no request is not closed.

        A pause is recorded by the next poll, so that a connection accepted before that is spared for as long
        as the process was paused: a starved process would close many whose requests are about to arrive.
        """
        if len(self._silent) > self.max_open // MAX_SILENT_DIVISOR:
            return 0.0
        return FIRST_REQUEST_GRACE_S if spare_active else SILENT_GRACE_S

    @property
    def has_unread_requests(self) -> bool:
        """Whether a connection without a request so far has received bytes that are not read yet."""
        return any(connection.unread for connection in self._silent)
