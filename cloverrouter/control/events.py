"""What happened of late that operators care about: a ring of numbered events, and who follows it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cloverrouter.seams import Json

KEPT = 500
Follower = Callable[[Json], None]


class Events:
    """Numbered from 1 on, in the order they came. The ring keeps the last `KEPT`."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock  # Unix ms
        self._kept: deque[Json] = deque(maxlen=KEPT)
        self.last = 0
        self.followers: set[Follower] = set()

    def add(self, kind: str, what: Json) -> None:
        self.last += 1
        event = {"seq": self.last, "at_ms": self._clock(), "kind": kind, **what}
        self._kept.append(event)
        for follower in list(self.followers):
            follower(event)

    def since(self, seq: int, most: int = KEPT) -> tuple[list[Json], int]:
        """The events behind `seq`, the last `most` of them, and how many are lost in between.

        A `seq` that lies ahead of what there is comes from before a restart: all that is kept is told.
        """
        seq = 0 if seq > self.last else seq
        found = [event for event in self._kept if event["seq"] > seq][-most:]
        first = found[0]["seq"] if found else self.last + 1
        return found, max(0, first - seq - 1)
