"""One node of a VRRP pair: its state machine, lease and vote. Pure logic, without clock or socket.

Its methods take the time and messages from other members by name, and return the messages to send and the
transitions. Callers check `may_accept` whenever they accept work.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from cloverrouter.rights import LeaseTerms
from cloverrouter.vrrp.lease import Answer, Deny, Lease, Release, Request, Voter
from cloverrouter.vrrp.machine import Action as MachineAction
from cloverrouter.vrrp.machine import (
    Address,
    Advertise,
    ReceivedAdvertisement,
    State,
    StateMachine,
    Transition,
)

RENEWALS_PER_GRANT = 3.3  # two successive renewals may be lost
HANDOVER_MARGIN_MS = 500.0  # after one interval, hence beyond Skew_Time: a running peer has asked by then
DENIED_RETRY_MS = 50.0  # while a vote is denied to an active node without a lease


@dataclass(frozen=True, slots=True)
class PairConfig:
    """The configuration. `weights`: of this node's vote, its peer's and, if there is one, the witness's."""

    name: str
    peer: str
    weights: Mapping[str, int]
    priority: int
    interval_cs: int
    address: Address
    preempt: bool = True
    terms: LeaseTerms = field(default_factory=LeaseTerms)


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send `message` to `target`, another member."""

    target: str
    message: Advertise | Request | Release | Answer


PairAction = SendMessage | Transition


class PairMember:
    """`life` increases with each start of the node, unless its clock is set back."""

    def __init__(self, config: PairConfig, life: int, now_ms: float) -> None:
        self.config = config
        self.machine = StateMachine(config.priority, config.interval_cs, config.address, config.preempt)
        self.lease = Lease(config.name, life, config.weights, config.terms)
        self.voter = Voter(config.name, config.terms, now_ms)
        self.last_received_ms: dict[str, float] = {}  # by member: time of its last message
        self._renew_due_ms: float | None = None
        # Timeout of a handover, during which work is accepted until the peer requests the lease.
        self._handover_until_ms: float | None = None

    # State

    def may_accept(self, now_ms: float) -> bool:
        wants_work = self.machine.state is State.ACTIVE or self._handover_until_ms is not None
        return wants_work and self.lease.may_accept(now_ms)

    def refusal_reason(self, now_ms: float) -> str:
        """Why work is refused, for clients and operators; empty if it is accepted."""
        if self.may_accept(now_ms):
            return ""
        if self.machine.state is State.INITIALIZE:
            return "not started, or leaving"
        if self.machine.state is State.BACKUP:
            return f"backup: {self.config.peer} is to take"
        missing = []
        for voter in self.config.weights:
            denied = self.lease.denied.get(voter)
            if denied is not None:
                holder = denied.holder or "nobody, after its start"
                missing.append(f"{voter} is promised to {holder} for {denied.left_ms / 1000:.1f} s")
            elif voter != self.config.name and voter not in self.lease.declared_off:
                missing.append(f"{voter} does not answer")
        return "active without the right to take: " + (", ".join(missing) or "no votes yet")

    def due_ms(self) -> float | None:
        """The latest time for the next call of `tick`."""
        times = [
            t for t in (self.machine.due_ms, self._renew_due_ms, self._handover_until_ms) if t is not None
        ]
        return min(times, default=None)

    # Events

    def start(self, now_ms: float) -> list[PairAction]:
        return self._finish_handover(now_ms) + self._apply(now_ms, self.machine.start(now_ms))

    def stop(self, now_ms: float) -> list[PairAction]:
        """Stop accepting work at once and release the lease, so that the peer may accept."""
        return self._finish_handover(now_ms) + self._apply(now_ms, self.machine.stop(now_ms))

    def hand_over(self, now_ms: float) -> list[PairAction]:
        """Stop without a gap: advertise priority 0, but accept work until the peer requests the votes.

        The peer waits for Skew_Time before its request (section 6.4.2). Accepting work until then is safe
        because of the lease, which is released in the step that handles the request, or after a
        timeout.
        """
        if not self.may_accept(now_ms) or self.machine.state is not State.ACTIVE:
            return self.stop(now_ms)
        self._handover_until_ms = now_ms + self.machine.interval_cs * 10 + HANDOVER_MARGIN_MS
        return self._apply(now_ms, self.machine.stop(now_ms))

    def _finish_handover(self, now_ms: float) -> list[PairAction]:
        """Complete a pending handover: release the lease and accept no more work."""
        if self._handover_until_ms is None:
            return []
        self._handover_until_ms = self._renew_due_ms = None
        return self._send_to_voters(now_ms, self.lease.release())

    def tick(self, now_ms: float) -> list[PairAction]:
        actions = self._apply(now_ms, self.machine.tick(now_ms))
        if self._handover_until_ms is not None and now_ms >= self._handover_until_ms:
            actions += self._finish_handover(now_ms)
        if self._renew_due_ms is not None and now_ms >= self._renew_due_ms:
            actions += self._renew(now_ms)
        return actions

    def set_priority(self, now_ms: float, priority: int) -> list[PairAction]:
        return self._apply(now_ms, self.machine.set_priority(now_ms, priority))

    def handle_message(
        self, now_ms: float, source: str, message: ReceivedAdvertisement | Request | Release | Answer
    ) -> list[PairAction]:
        """Handle a message from `source`: another member, or this node itself."""
        self.last_received_ms[source] = now_ms
        self.lease.voter_responded(source)
        if isinstance(message, ReceivedAdvertisement):
            return self._apply(now_ms, self.machine.handle_advertisement(now_ms, message))
        if isinstance(message, Request | Release):
            # The peer's request completes a pending handover: it is ready to accept work.
            actions = (
                self._finish_handover(now_ms)
                if isinstance(message, Request) and source == self.config.peer
                else []
            )
            answer = self.voter.handle(now_ms, message)
            if answer is not None:
                actions.append(SendMessage(source, answer))
            if (
                isinstance(message, Release)
                and self._renew_due_ms is not None
                and not self.may_accept(now_ms)
            ):
                actions += self._renew(
                    now_ms
                )  # the release has freed this node's own vote, which was missing
            return actions
        self.lease.handle_answer(message)
        if isinstance(message, Deny) and self._renew_due_ms is not None and not self.may_accept(now_ms):
            self._renew_due_ms = min(
                self._renew_due_ms, now_ms + max(1.0, min(DENIED_RETRY_MS, message.left_ms))
            )
        return []

    def declare_peer_off(self, now_ms: float) -> list[PairAction]:
        """Record an operator's statement that the peer is switched off."""
        self.lease.declare_off(self.config.peer)
        return self._renew(now_ms) if self._renew_due_ms is not None else []

    # State machine and lease

    def _apply(self, now_ms: float, machine_actions: list[MachineAction]) -> list[PairAction]:
        actions: list[PairAction] = []
        for action in machine_actions:
            if isinstance(action, Advertise):
                actions.append(SendMessage(self.config.peer, action))
                continue
            actions.append(action)
            if action.after is State.ACTIVE:
                actions += self._renew(now_ms)
            elif action.before is State.ACTIVE and self._handover_until_ms is None:
                # Released in the same step: no more work is accepted, and the peer need not wait.
                self._renew_due_ms = None
                actions += self._send_to_voters(now_ms, self.lease.release())
        return actions

    def _renew(self, now_ms: float) -> list[PairAction]:
        self._renew_due_ms = now_ms + self.config.terms.promise_ms / RENEWALS_PER_GRANT
        return self._send_to_voters(now_ms, self.lease.request(now_ms))

    def _send_to_voters(self, now_ms: float, message: Request | Release) -> list[PairAction]:
        own_answer = self.voter.handle(now_ms, message)
        if own_answer is not None:
            self.lease.handle_answer(own_answer)
        return [SendMessage(voter, message) for voter in self.config.weights if voter != self.config.name]
