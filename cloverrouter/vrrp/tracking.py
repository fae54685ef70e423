"""A box's priority follows its health, slowly: a server that flaps must not flap the pair.

Rules only. A fault counts once it has stood for `FALL_MS` without a break, and is forgotten once it has been
away for `RISE_MS` without a break. So however fast a fault comes and goes, the priority changes at most once
in `FALL_MS`, and a fault that is seen again and again counts as standing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FALL_MS = 2000.0
RISE_MS = 15_000.0


class Fault(Enum):
    """What lowers the priority, and why an operator should care."""

    NO_SERVER = "no server can take work"
    DISCOVERY = "discovery does not answer"
    DESCRIPTORS = "descriptors are short"


# No server outweighs all else: any box that has one is better.
COST = {Fault.NO_SERVER: 100, Fault.DESCRIPTORS: 20, Fault.DISCOVERY: 10}


@dataclass(slots=True)
class Standing:
    """One fault over time. `changed_ms`: since when it has been seen, or not seen, without a break."""

    seen: bool = False
    changed_ms: float = 0.0
    counts: bool = False


class Tracking:
    """`base` is the configured priority; 255 owns the addresses and is not lowered (RFC 9568, 5.2.4)."""

    def __init__(self, base: int) -> None:
        self.base = base
        self._standing = {fault: Standing() for fault in Fault}

    def look(self, now_ms: float, faults: frozenset[Fault]) -> int:
        """The priority, with the faults that are seen at `now_ms`."""
        for fault, standing in self._standing.items():
            seen = fault in faults
            if seen != standing.seen:
                standing.seen, standing.changed_ms = seen, now_ms
            if now_ms - standing.changed_ms >= (FALL_MS if seen else RISE_MS):
                standing.counts = seen
        return self.priority

    @property
    def counting(self) -> list[Fault]:
        return [fault for fault, standing in self._standing.items() if standing.counts]

    @property
    def priority(self) -> int:
        if self.base == 255:
            return self.base
        return max(1, self.base - sum(COST[fault] for fault in self.counting))
