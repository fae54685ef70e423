"""The right to take work: at any moment at most one box of a pair has it, whatever the network does.

Rules only, on those of `cloverrouter.rights`, of which this is the smallest case: one right without a name
and without tokens, two boxes, perhaps a witness. VRRP's state machine says which box *wants* to be the active
one; under lost advertisements two may want it. Only a lease lets one take.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cloverrouter.rights import Count, Promise, Stamp, Terms, more_than_half


@dataclass(frozen=True, slots=True)
class Request:
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class Release:
    """The box has stopped to take. Its stamp's number lies behind those of its requests before."""

    stamp: Stamp


@dataclass(frozen=True, slots=True)
class Grant:
    """`voter` promises itself to the box, counted from when the box sent the request with this stamp."""

    voter: str
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class Deny:
    """`left_ms`: how long the voter still is another's, or holds back after its own start."""

    voter: str
    stamp: Stamp
    holder: str
    left_ms: float


@dataclass(frozen=True, slots=True)
class Stale:
    """`voter` has heard a later life of the box than the stamp's. A box whose clock was set back between two
    lives gets this, and takes a later life for itself."""

    voter: str
    stamp: Stamp
    life: int


Answer = Grant | Deny | Stale


class Voter:
    """One vote. Keeps nothing over a restart: a new life holds back until any old promise is over."""

    def __init__(self, name: str, terms: Terms, now_ms: float) -> None:
        self.name = name
        # Danger: what was promised before a restart is forgotten, and could be promised to another now.
        self._quiet_until_ms = now_ms + terms.promise_ms
        self._promise: Promise[str] = Promise(terms)
        self._seen: dict[str, tuple[int, int]] = {}  # of each box: its life and highest number

    def holder(self, now_ms: float) -> str | None:
        return self._promise.to if self._promise.left_ms(now_ms) > 0 else None

    def handle(self, now_ms: float, message: Request | Release) -> Answer | None:
        stamp = message.stamp
        life, highest = self._seen.get(stamp.box, (stamp.life, 0))
        # Danger: a copy, or one that was overtaken, would undo what has been said since: a late release
        # would free a vote that its box has asked for again in the meantime.
        if stamp.life < life:
            return Stale(self.name, stamp, life)
        if stamp.life == life and stamp.number <= highest:
            return None
        self._seen[stamp.box] = (stamp.life, stamp.number)
        if isinstance(message, Release):
            if self._promise.to == stamp.box:
                self._promise.free()
            return None
        if now_ms < self._quiet_until_ms:
            return Deny(self.name, stamp, "", self._quiet_until_ms - now_ms)
        holder = self.holder(now_ms)
        if holder is not None and holder != stamp.box:
            return Deny(self.name, stamp, holder, self._promise.left_ms(now_ms))
        self._promise.give(now_ms, stamp.box)
        return Grant(self.name, stamp)


class Lease(Count):
    """A box's side: what it has asked for, what it holds, and whether it may take.

    `weights`: of all voters by name. With two boxes and a witness each weighs 1. With two boxes alone one
    must weigh more, or neither can ever take without the other.
    """

    def __init__(self, box: str, life: int, weights: Mapping[str, int], terms: Terms) -> None:
        super().__init__(terms, weights)
        self.box, self.life = box, life
        self._weights = dict(weights)
        self.denied: dict[str, Deny] = {}
        self.vouched: frozenset[str] = frozenset()  # voters that an operator says are off

    def request(self, now_ms: float) -> Request:
        """Ask every voter, one's own among them, for (more) time."""
        return Request(Stamp(self.box, self.life, self.ask(now_ms)))

    def release(self) -> Release:
        """Stop to take, at once and for all that was asked for so far."""
        self.denied.clear()
        return Release(Stamp(self.box, self.life, self.give_up()))

    def answered(self, answer: Answer) -> None:
        mine = (answer.stamp.box, answer.stamp.life) == (self.box, self.life)
        if not mine or answer.stamp.number not in self._sent or answer.voter not in self._weights:
            return
        if isinstance(answer, Stale):
            self.life = max(self.life, answer.life + 1)
            self._sent.clear()
            return
        if isinstance(answer, Deny):
            self.denied[answer.voter] = answer
            return
        self.denied.pop(answer.voter, None)
        self.promised(answer.voter, answer.stamp.number)

    def vouch(self, voter: str) -> None:
        """An operator's word that `voter` is switched off and will stay so until it is heard again."""
        self.vouched |= {voter}

    def heard(self, voter: str) -> None:
        """`voter` lives after all: no operator's word stands against that."""
        self.vouched -= {voter}

    def until_ms(self) -> float:
        """Up to when, on this box's clock, it holds more than half of the votes; minus infinity if not."""
        free = sum(self._weights[voter] for voter in self.vouched if voter in self._weights)
        until = {voter: until_ms for voter, until_ms in self._until.items() if voter not in self.vouched}
        if free * 2 > sum(self._weights.values()):
            until = {self.box: until[self.box]} if self.box in until else {}
        return more_than_half(self._weights, until, free)

    def may_take(self, now_ms: float) -> bool:
        """To be asked at the moment of taking, on the monotonic clock. Danger: a timer that says so would
        be late after a pause, and the box would take under a lease that is over."""
        return now_ms < self.until_ms()
