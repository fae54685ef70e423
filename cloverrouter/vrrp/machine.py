"""VRRP's state machine for one virtual router, RFC 9568 section 6.4. Pure logic, without clock or socket.

Times are milliseconds of a monotonic clock that the caller passes in; advertisement intervals are in
centiseconds, as in the packet. Each method returns the actions to perform; `due_ms` is when to call `tick`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address, IPv6Address

Address = IPv4Address | IPv6Address
OWNER_PRIORITY = 255  # of the router that owns the virtual addresses
STOP_PRIORITY = 0  # advertised by an active router that stops


class State(Enum):
    INITIALIZE = "initialize"
    BACKUP = "backup"
    ACTIVE = "active"


@dataclass(frozen=True, slots=True)
class ReceivedAdvertisement:
    """An advertisement that passed all checks of section 7.1."""

    priority: int
    interval_cs: int  # Max Advertise Interval
    source: Address  # the sender's primary address


@dataclass(frozen=True, slots=True)
class Advertise:
    """Send an advertisement with this priority now."""

    priority: int


@dataclass(frozen=True, slots=True)
class Transition:
    """A change of state, and its reason."""

    before: State
    after: State
    reason: str


Action = Advertise | Transition


class StateMachine:
    """`interval_cs` is Advertisement_Interval, `address` this router's primary address."""

    def __init__(self, priority: int, interval_cs: int, address: Address, preempt: bool = True) -> None:
        if not 1 <= priority <= OWNER_PRIORITY:
            raise ValueError("priority must be from 1 to 255")
        if not 1 <= interval_cs <= 4095:
            raise ValueError("interval must be from 1 to 4095 centiseconds")
        self.priority, self.interval_cs, self.address, self.preempt = priority, interval_cs, address, preempt
        self.state = State.INITIALIZE
        self.active_interval_cs = interval_cs  # Active_Adver_Interval, learned from the active router
        self.due_ms: float | None = None  # expiry of Adver_Timer or Active_Down_Timer, whichever runs

    # Section 6.1

    @property
    def skew_ms(self) -> float:
        """Skew_Time: the lower the priority, the later a backup takes over."""
        return (256 - self.priority) * self.active_interval_cs * 10 / 256

    @property
    def active_down_ms(self) -> float:
        """Active_Down_Interval."""
        return 3 * self.active_interval_cs * 10 + self.skew_ms

    # Section 6.4

    def start(self, now_ms: float) -> list[Action]:
        if self.state is not State.INITIALIZE:
            return []
        if self.priority == OWNER_PRIORITY:
            return self._activate(now_ms, "it owns the addresses")
        self.active_interval_cs = self.interval_cs
        self.due_ms = now_ms + self.active_down_ms
        return self._transition_to(State.BACKUP, "started")

    def stop(self, now_ms: float) -> list[Action]:
        before, self.due_ms = self.state, None
        if before is State.INITIALIZE:
            return []
        advertisements: list[Action] = [Advertise(STOP_PRIORITY)] if before is State.ACTIVE else []
        return advertisements + self._transition_to(State.INITIALIZE, "stopped")

    def tick(self, now_ms: float) -> list[Action]:
        """Fire the running timer if it has expired by `now_ms`; an overdue timer fires only once."""
        if self.due_ms is None or now_ms < self.due_ms:
            return []
        if self.state is State.BACKUP:
            return self._activate(now_ms, f"heard no active router for {self.active_down_ms:.0f} ms")
        self.due_ms = now_ms + self.interval_cs * 10
        return [Advertise(self.priority)]

    def handle_advertisement(self, now_ms: float, received: ReceivedAdvertisement) -> list[Action]:
        if self.state is State.BACKUP:
            return self._handle_as_backup(now_ms, received)
        if self.state is State.ACTIVE:
            return self._handle_as_active(now_ms, received)
        return []

    def _handle_as_backup(self, now_ms: float, received: ReceivedAdvertisement) -> list[Action]:
        if received.priority == STOP_PRIORITY:
            self.due_ms = now_ms + self.skew_ms
        elif not self.preempt or received.priority >= self.priority:
            self.active_interval_cs = received.interval_cs
            self.due_ms = now_ms + self.active_down_ms
        return []  # a lower priority is ignored: this router preempts when Active_Down_Timer fires

    def _handle_as_active(self, now_ms: float, received: ReceivedAdvertisement) -> list[Action]:
        if received.priority == STOP_PRIORITY:
            self.due_ms = now_ms + self.interval_cs * 10
            return [Advertise(self.priority)]
        sender_wins = received.priority > self.priority or (
            received.priority == self.priority and int(received.source) > int(self.address)
        )
        if not sender_wins:
            # Advertises at once, so that the other router becomes backup without waiting for Adver_Timer.
            self.due_ms = now_ms + self.interval_cs * 10
            return [Advertise(self.priority)]
        self.active_interval_cs = received.interval_cs
        self.due_ms = now_ms + self.active_down_ms
        return self._transition_to(
            State.BACKUP, f"{received.source} is active with priority {received.priority}"
        )

    def set_priority(self, now_ms: float, priority: int) -> list[Action]:
        """Change this router's priority (health tracking).

        The state does not change by itself, only by the advertisements that are received afterwards.
        """
        if not 1 <= priority <= OWNER_PRIORITY:
            raise ValueError("priority must be from 1 to 255")
        before, self.priority = self.priority, priority
        if self.state is State.ACTIVE and before != priority:
            self.due_ms = now_ms + self.interval_cs * 10
            return [Advertise(priority)]
        return []

    def _activate(self, now_ms: float, reason: str) -> list[Action]:
        self.due_ms = now_ms + self.interval_cs * 10
        return [Advertise(self.priority), *self._transition_to(State.ACTIVE, reason)]

    def _transition_to(self, state: State, reason: str) -> list[Action]:
        before, self.state = self.state, state
        return [Transition(before, state, reason)]
