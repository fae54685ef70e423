"""One box of a pair: state machine, lease and own vote together. Rules only; simulated time welcome.

In: the time, and messages from others by name. Out: messages to others, and what changed. Whether work may
be taken is asked of it at the moment of taking.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from cloverrouter.rights import Terms
from cloverrouter.vrrp.lease import Answer, Deny, Lease, Release, Request, Voter
from cloverrouter.vrrp.machine import Action as MachineAction
from cloverrouter.vrrp.machine import Address, Advertise, Became, Heard, Machine, State

RENEWALS = 3.3  # in the time of one promise: two may be lost
LEAVING_MS = 500.0  # beyond the longest Skew_Time: by then the other has asked, or is not there
RETRY_MS = 50.0  # while a vote is denied to a box that is active and may not take


@dataclass(frozen=True, slots=True)
class Shape:
    """What is configured. `weights` has this box, its peer and the witness, if there is one."""

    name: str
    peer: str
    weights: Mapping[str, int]
    priority: int
    interval_cs: int
    address: Address
    preempt: bool = True
    terms: Terms = field(default_factory=Terms)


@dataclass(frozen=True, slots=True)
class Tell:
    """Send `message` to `target`, one of the others."""

    target: str
    message: Advertise | Request | Release | Answer


Out = Tell | Became


class Pair:
    """`life` is later with each start of the box, as far as its clock goes."""

    def __init__(self, shape: Shape, life: int, now_ms: float) -> None:
        self.shape = shape
        self.machine = Machine(shape.priority, shape.interval_cs, shape.address, shape.preempt)
        self.lease = Lease(shape.name, life, shape.weights, shape.terms)
        self.voter = Voter(shape.name, shape.terms, now_ms)
        self.heard_ms: dict[str, float] = {}  # when each of the others was last heard
        self._renew_ms: float | None = None
        self._leaving_until_ms: float | None = None  # handing over: it still takes, until the other asks

    # What may be done

    def may_take(self, now_ms: float) -> bool:
        wants = self.machine.state is State.ACTIVE or self._leaving_until_ms is not None
        return wants and self.lease.may_take(now_ms)

    def why_not(self, now_ms: float) -> str:
        """Why work is not taken, for clients' owners and operators; empty if it is."""
        if self.may_take(now_ms):
            return ""
        if self.machine.state is State.INITIALIZE:
            return "not started, or leaving"
        if self.machine.state is State.BACKUP:
            return f"backup: {self.shape.peer} is to take"
        lacking = []
        for voter in self.shape.weights:
            denied = self.lease.denied.get(voter)
            if denied is not None:
                holder = denied.holder or "nobody, after its start"
                lacking.append(f"{voter} is promised to {holder} for {denied.left_ms / 1000:.1f} s")
            elif voter != self.shape.name and voter not in self.lease.vouched:
                lacking.append(f"{voter} does not answer")
        return "active without the right to take: " + (", ".join(lacking) or "no votes yet")

    def due_ms(self) -> float | None:
        """When `tick` is to be called at the latest."""
        times = [t for t in (self.machine.due_ms, self._renew_ms, self._leaving_until_ms) if t is not None]
        return min(times, default=None)

    # What happens

    def start(self, now_ms: float) -> list[Out]:
        return self._left(now_ms) + self._follow(now_ms, self.machine.start(now_ms))

    def stop(self, now_ms: float) -> list[Out]:
        """Leave at once: the last work has been taken, the other may begin."""
        return self._left(now_ms) + self._follow(now_ms, self.machine.stop(now_ms))

    def hand_over(self, now_ms: float) -> list[Out]:
        """Leave without a gap: priority 0 tells the other, and work is taken until it asks for the votes.

        The other waits for Skew_Time before it asks (section 6.4.2). Taking on until then is safe by the
        lease, which is given up in the step in which the other's request comes, or after a while without one.
        """
        if not self.may_take(now_ms) or self.machine.state is not State.ACTIVE:
            return self.stop(now_ms)
        self._leaving_until_ms = now_ms + self.machine.interval_cs * 10 + LEAVING_MS
        return self._follow(now_ms, self.machine.stop(now_ms))

    def _left(self, now_ms: float) -> list[Out]:
        """Handing over is done: from here on nothing is taken."""
        if self._leaving_until_ms is None:
            return []
        self._leaving_until_ms = self._renew_ms = None
        return self._to_voters(now_ms, self.lease.release())

    def tick(self, now_ms: float) -> list[Out]:
        out = self._follow(now_ms, self.machine.tick(now_ms))
        if self._leaving_until_ms is not None and now_ms >= self._leaving_until_ms:
            out += self._left(now_ms)
        if self._renew_ms is not None and now_ms >= self._renew_ms:
            out += self._renew(now_ms)
        return out

    def set_priority(self, now_ms: float, priority: int) -> list[Out]:
        return self._follow(now_ms, self.machine.set_priority(now_ms, priority))

    def heard(self, now_ms: float, source: str, message: Heard | Request | Release | Answer) -> list[Out]:
        """A message of `source`, one of the others, or of this box's own to itself."""
        self.heard_ms[source] = now_ms
        self.lease.heard(source)
        if isinstance(message, Heard):
            return self._follow(now_ms, self.machine.heard(now_ms, message))
        if isinstance(message, Request | Release):
            # The other asks: it wants to take now, and this box was only waiting for that.
            out = self._left(now_ms) if isinstance(message, Request) and source == self.shape.peer else []
            answer = self.voter.handle(now_ms, message)
            if answer is not None:
                out.append(Tell(source, answer))
            if isinstance(message, Release) and self._renew_ms is not None and not self.may_take(now_ms):
                out += self._renew(now_ms)  # this box's own vote has become free, and was what it lacked
            return out
        self.lease.answered(message)
        if isinstance(message, Deny) and self._renew_ms is not None and not self.may_take(now_ms):
            self._renew_ms = min(self._renew_ms, now_ms + max(1.0, min(RETRY_MS, message.left_ms)))
        return []

    def vouch(self, now_ms: float) -> list[Out]:
        """An operator says that the peer is switched off."""
        self.lease.vouch(self.shape.peer)
        return self._renew(now_ms) if self._renew_ms is not None else []

    # Both together

    def _follow(self, now_ms: float, actions: list[MachineAction]) -> list[Out]:
        out: list[Out] = []
        for action in actions:
            if isinstance(action, Advertise):
                out.append(Tell(self.shape.peer, action))
                continue
            out.append(action)
            if action.after is State.ACTIVE:
                out += self._renew(now_ms)
            elif action.before is State.ACTIVE and self._leaving_until_ms is None:
                # At once, in the same step: from here on nothing is taken, and the other need not wait.
                self._renew_ms = None
                out += self._to_voters(now_ms, self.lease.release())
        return out

    def _renew(self, now_ms: float) -> list[Out]:
        self._renew_ms = now_ms + self.shape.terms.promise_ms / RENEWALS
        return self._to_voters(now_ms, self.lease.request(now_ms))

    def _to_voters(self, now_ms: float, message: Request | Release) -> list[Out]:
        own = self.voter.handle(now_ms, message)
        if own is not None:
            self.lease.answered(own)
        return [Tell(voter, message) for voter in self.shape.weights if voter != self.shape.name]
