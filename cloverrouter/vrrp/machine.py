"""VRRP's state machine for one virtual router: RFC 9568, section 6.4. Rules only, simulated time welcome.

Times are milliseconds of a monotonic clock; advertisement intervals are the RFC's centiseconds, since the
packet carries them so. The machine says what to send and when it wants to be called again (`due_ms`).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address, IPv6Address

Address = IPv4Address | IPv6Address
OWNER = 255  # of the virtual addresses
LEAVING = 0  # said by an active router that stops


class State(Enum):
    INITIALIZE = "initialize"
    BACKUP = "backup"
    ACTIVE = "active"


@dataclass(frozen=True, slots=True)
class Heard:
    """An advertisement that passed all checks of section 7.1."""

    priority: int
    interval_cs: int  # Max Advertise Interval
    source: Address  # the sender's primary address


@dataclass(frozen=True, slots=True)
class Advertise:
    """Send an advertisement with this priority, now."""

    priority: int


@dataclass(frozen=True, slots=True)
class Became:
    """A transition, and why."""

    before: State
    after: State
    why: str


Action = Advertise | Became


class Machine:
    """`interval_cs` is Advertisement_Interval, `address` this router's primary one."""

    def __init__(self, priority: int, interval_cs: int, address: Address, preempt: bool = True) -> None:
        if not 1 <= priority <= OWNER:
            raise ValueError("priority must be from 1 to 255")
        if not 1 <= interval_cs <= 4095:
            raise ValueError("interval must be from 1 to 4095 centiseconds")
        self.priority, self.interval_cs, self.address, self.preempt = priority, interval_cs, address, preempt
        self.state = State.INITIALIZE
        self.active_interval_cs = interval_cs  # Active_Adver_Interval, learned from the active router
        self.due_ms: float | None = None  # of Adver_Timer or Active_Down_Timer, whichever runs

    # Section 6.1

    @property
    def skew_ms(self) -> float:
        """Skew_Time: the lower the priority, the later a backup takes over."""
        return (256 - self.priority) * self.active_interval_cs * 10 / 256

    @property
    def down_ms(self) -> float:
        """Active_Down_Interval."""
        return 3 * self.active_interval_cs * 10 + self.skew_ms

    # Section 6.4

    def start(self, now_ms: float) -> list[Action]:
        if self.state is not State.INITIALIZE:
            return []
        if self.priority == OWNER:
            return self._activate(now_ms, "it owns the addresses")
        self.active_interval_cs = self.interval_cs
        self.due_ms = now_ms + self.down_ms
        return self._become(State.BACKUP, "started")

    def stop(self, now_ms: float) -> list[Action]:
        before, self.due_ms = self.state, None
        if before is State.INITIALIZE:
            return []
        leaving: list[Action] = [Advertise(LEAVING)] if before is State.ACTIVE else []
        return leaving + self._become(State.INITIALIZE, "stopped")

    def tick(self, now_ms: float) -> list[Action]:
        """Time has come to `now_ms`. Fires the timer that is due; one that is overdue fires once."""
        if self.due_ms is None or now_ms < self.due_ms:
            return []
        if self.state is State.BACKUP:
            return self._activate(now_ms, f"heard no active router for {self.down_ms:.0f} ms")
        self.due_ms = now_ms + self.interval_cs * 10
        return [Advertise(self.priority)]

    def heard(self, now_ms: float, told: Heard) -> list[Action]:
        if self.state is State.BACKUP:
            return self._heard_as_backup(now_ms, told)
        if self.state is State.ACTIVE:
            return self._heard_as_active(now_ms, told)
        return []

    def _heard_as_backup(self, now_ms: float, told: Heard) -> list[Action]:
        if told.priority == LEAVING:
            self.due_ms = now_ms + self.skew_ms
        elif not self.preempt or told.priority >= self.priority:
            self.active_interval_cs = told.interval_cs
            self.due_ms = now_ms + self.down_ms
        return []  # one of lower priority is not listened to: this router takes over in its time

    def _heard_as_active(self, now_ms: float, told: Heard) -> list[Action]:
        if told.priority == LEAVING:
            self.due_ms = now_ms + self.interval_cs * 10
            return [Advertise(self.priority)]
        wins = told.priority > self.priority or (
            told.priority == self.priority and int(told.source) > int(self.address)
        )
        if not wins:
            # Asserted at once: the other one yields on hearing it.
            self.due_ms = now_ms + self.interval_cs * 10
            return [Advertise(self.priority)]
        self.active_interval_cs = told.interval_cs
        self.due_ms = now_ms + self.down_ms
        return self._become(State.BACKUP, f"{told.source} is active with priority {told.priority}")

    def set_priority(self, now_ms: float, priority: int) -> list[Action]:
        """A new priority of its own (tracking). It acts by what is heard next, not by itself."""
        if not 1 <= priority <= OWNER:
            raise ValueError("priority must be from 1 to 255")
        before, self.priority = self.priority, priority
        if self.state is State.ACTIVE and before != priority:
            self.due_ms = now_ms + self.interval_cs * 10
            return [Advertise(priority)]
        return []

    def _activate(self, now_ms: float, why: str) -> list[Action]:
        self.due_ms = now_ms + self.interval_cs * 10
        return [Advertise(self.priority), *self._become(State.ACTIVE, why)]

    def _become(self, state: State, why: str) -> list[Action]:
        before, self.state = self.state, state
        return [Became(before, state, why)]
