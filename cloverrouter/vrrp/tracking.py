"""Health tracking of a node's VRRP priority, with hysteresis: a flapping server must not make the pair flap.

Pure logic, no I/O. A fault is counted once it has been present for `FALL_MS` without interruption, and is no
longer counted once it has been absent for `RISE_MS` without interruption. So the priority changes at most
once in `FALL_MS`, however fast a fault comes and goes, and a fault that keeps recurring stays counted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FALL_MS = 2000.0
RISE_MS = 15_000.0


class Fault(Enum):
    """A health fault that lowers the priority, with its text for operators."""

    NO_SERVER = "no server can take work"
    DISCOVERY = "discovery does not answer"
    DESCRIPTORS = "descriptors are short"


# NO_SERVER exceeds the sum of the others: a node that has a server is preferred to one that has none.
PRIORITY_PENALTY = {Fault.NO_SERVER: 100, Fault.DESCRIPTORS: 20, Fault.DISCOVERY: 10}


@dataclass(slots=True)
class FaultState:
    """The state of one fault. `changed_ms`: since when it has been present or absent without interruption."""

    present: bool = False
    changed_ms: float = 0.0
    counted: bool = False


class PriorityTracker:
    """The priority of a node: `base_priority`, as configured, less the penalties of its counted faults.

    A base priority of 255 owns the virtual addresses and is not lowered (RFC 9568, section 5.2.4).
    """

    def __init__(self, base_priority: int) -> None:
        self.base_priority = base_priority
        self._fault_states = {fault: FaultState() for fault in Fault}

    def update(self, now_ms: float, faults: frozenset[Fault]) -> int:
        """Record the faults that are present at `now_ms`, and return the priority."""
        for fault, state in self._fault_states.items():
            present = fault in faults
            if present != state.present:
                state.present, state.changed_ms = present, now_ms
            if now_ms - state.changed_ms >= (FALL_MS if present else RISE_MS):
                state.counted = present
        return self.priority

    @property
    def counted_faults(self) -> list[Fault]:
        return [fault for fault, state in self._fault_states.items() if state.counted]

    @property
    def priority(self) -> int:
        if self.base_priority == 255:
            return self.base_priority
        return max(1, self.base_priority - sum(PRIORITY_PENALTY[fault] for fault in self.counted_faults))
