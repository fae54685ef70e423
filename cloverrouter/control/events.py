"""Ring buffer of recent numbered events for operators, and the followers that receive new ones."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cloverrouter.seams import Json

MAX_EVENTS = 500
Follower = Callable[[Json], None]


class Events:
    """Events numbered from 1 in the order of arrival. The ring buffer keeps the last `MAX_EVENTS`."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock  # Unix ms
        self._events: deque[Json] = deque(maxlen=MAX_EVENTS)
        self.last = 0
        self.followers: set[Follower] = set()

    def add(self, kind: str, fields: Json) -> None:
        """Append an event and pass it to all followers."""
        self.last += 1
        event = {"seq": self.last, "at_ms": self._clock(), "kind": kind, **fields}
        self._events.append(event)
        for follower in list(self.followers):
            follower(event)

    def since(self, seq: int, limit: int = MAX_EVENTS) -> tuple[list[Json], int]:
        """Return the events after `seq`, at most the last `limit`, and the number of missing ones between.

        A `seq` higher than the last event's is from before a restart: all stored events are returned.
        """
        seq = 0 if seq > self.last else seq
        events = [event for event in self._events if event["seq"] > seq][-limit:]
        first_seq = events[0]["seq"] if events else self.last + 1
        return events, max(0, first_seq - seq - 1)
