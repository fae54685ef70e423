"""Choose the client connection that is closed to make room for another one. No I/O of its own."""

from __future__ import annotations

from cloverrouter.proxy.client_connection import ClientConnection, Stage

FIRST_REQUEST_S = 0.5  # whoever has connected asks within so long, if it has work
# Its request may be on its way for so long, also on a busy machine; closed meanwhile, it would be reset.
SPARED_S = 0.1
# Where more than this part of all connections has asked nothing, it is a crowd that keeps others out, and
# nobody of it is spared.
CROWD_PART = 4


class Eviction:
    """The connections that can make room, by their stage; the longest there first."""

    def __init__(self, most_open: int) -> None:
        """`most_open`: connections that may be open at once."""
        self.most_open = most_open
        self._by_stage: dict[Stage, dict[ClientConnection, None]] = {
            Stage.ENDED: {},
            Stage.SILENT: {},
            Stage.IDLE: {},
        }

    @property
    def idle_count(self) -> int:
        """Connections that have been answered and rest."""
        return len(self._by_stage[Stage.IDLE])

    def note(self, connection: ClientConnection) -> None:
        """Take down at what stage `connection` is now."""
        stage = connection.stage
        if stage is not Stage.IDLE and connection in self._by_stage.get(stage, ()):
            return
        self.forget(connection)
        if stage in self._by_stage:
            self._by_stage[stage][connection] = None

    def forget(self, connection: ClientConnection) -> None:
        for connections in self._by_stage.values():
            connections.pop(connection, None)

    def evict(self, now_s: float, gently: bool = False) -> bool:
        """Close the connection that is missed least; `gently`: none that may be about to ask, or that has not
        all of its answer yet. `now_s`: of the clock that stands still with this process."""
        connection = self.candidate(now_s, gently, unflushed=False)
        if connection is None and not gently:
            connection = self.candidate(now_s, gently, unflushed=True)
        if connection is None:
            return False
        self.forget(connection)
        connection.end("evicted")
        return True

    def candidate(self, now_s: float, gently: bool, unflushed: bool) -> ClientConnection | None:
        """The connection to close; `unflushed`: one whose client has not all of its answer yet."""
        crowd = len(self._by_stage[Stage.SILENT]) > self.most_open // CROWD_PART
        spared_s = FIRST_REQUEST_S if gently else 0.0 if crowd else SPARED_S
        for stage, connections in self._by_stage.items():
            for connection in connections:
                if connection.unflushed is not unflushed:
                    continue
                if stage is Stage.SILENT and connection.since_s > now_s - spared_s:
                    break  # they stand in the order in which they came
                if connection.evictable:
                    return connection
        return None

    @property
    def unread(self) -> bool:
        """Has a connection that had asked nothing sent something that has not been read yet?"""
        return any(connection.unread for connection in self._by_stage[Stage.SILENT])
