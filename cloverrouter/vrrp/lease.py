"""The right to take work: at any moment at most one box of a pair has it, whatever the network does.

Rules only: no clock, no socket. Times are milliseconds of the caller's own monotonic clock; no two clocks
are ever compared. VRRP's state machine says which box *wants* to be the active one; under lost
advertisements two may want it. Only a lease lets one take.

Voters (each box has one, a witness may be a third) promise themselves to one box at a time, for
`Terms.promise_ms` of their own clock from the moment they receive a request. A box holds a voter's promise
for the shorter `Terms.hold_ms` of its own clock, from the moment it *sent* the request. It may take while it
holds promises that weigh more than half of all. Two such sets share a voter, and that voter's promise to one
box ends, on any clock within the bound on drift, after that box has stopped to count on it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MOST_PENDING = 64  # requests that are not answered; older ones would give little time anyway


@dataclass(frozen=True, slots=True)
class Terms:
    """`promise_ms`: what a voter promises. `drift`: clocks run within 1 - drift to 1 + drift of true time."""

    promise_ms: float = 3000.0
    drift: float = 0.01

    def __post_init__(self) -> None:
        if not self.promise_ms > 0 or not 0 <= self.drift < 0.5:
            raise ValueError("promise_ms must be positive, drift from 0 to under 0.5")

    @property
    def hold_ms(self) -> float:
        """A box's clock may be slow and a voter's fast: by true time, the box still stops first."""
        return self.promise_ms * (1 - self.drift) / (1 + self.drift)


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Who said it, in which life, and as what number of that life's."""

    box: str
    life: int
    number: int


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
        self._terms = terms
        # Danger: what was promised before a restart is forgotten, and could be promised to another now.
        self._quiet_until_ms = now_ms + terms.promise_ms
        self._holder: Stamp | None = None  # of its last request
        self._until_ms = 0.0
        self._seen: dict[str, tuple[int, int]] = {}  # of each box: its life and highest number

    def holder(self, now_ms: float) -> str | None:
        return self._holder.box if self._holder is not None and now_ms < self._until_ms else None

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
            if self._holder is not None and self._holder.box == stamp.box:
                self._holder = None
            return None
        if now_ms < self._quiet_until_ms:
            return Deny(self.name, stamp, "", self._quiet_until_ms - now_ms)
        holder = self.holder(now_ms)
        if holder is not None and holder != stamp.box:
            return Deny(self.name, stamp, holder, self._until_ms - now_ms)
        self._holder, self._until_ms = stamp, now_ms + self._terms.promise_ms
        return Grant(self.name, stamp)


class Lease:
    """A box's side: what it has asked for, what it holds, and whether it may take.

    `weights`: of all voters by name. With two boxes and a witness each weighs 1. With two boxes alone one
    must weigh more, or neither can ever take without the other.
    """

    def __init__(self, box: str, life: int, weights: Mapping[str, int], terms: Terms) -> None:
        if any(weight < 0 for weight in weights.values()) or sum(weights.values()) <= 0:
            raise ValueError("weights must be whole numbers from 0 up, and not all 0")
        self.box, self.life = box, life
        self._weights, self._terms = dict(weights), terms
        self._number = 0
        self._sent: dict[int, float] = {}
        self._until: dict[str, float] = {}
        self.denied: dict[str, Deny] = {}
        self.vouched: frozenset[str] = frozenset()  # voters that an operator says are off

    def request(self, now_ms: float) -> Request:
        """Ask every voter, one's own among them, for (more) time."""
        self._number += 1
        self._sent[self._number] = now_ms
        while len(self._sent) > MOST_PENDING:
            del self._sent[next(iter(self._sent))]
        return Request(Stamp(self.box, self.life, self._number))

    def release(self) -> Release:
        """Stop to take, at once and for all that was asked for so far."""
        # Danger: an answer that is still under way would bring back a right that has been given away.
        self._sent.clear()
        self._until.clear()
        self.denied.clear()
        self._number += 1
        return Release(Stamp(self.box, self.life, self._number))

    def answered(self, answer: Answer) -> None:
        mine = (answer.stamp.box, answer.stamp.life) == (self.box, self.life)
        sent_ms = self._sent.get(answer.stamp.number)
        if not mine or sent_ms is None or answer.voter not in self._weights:
            return
        if isinstance(answer, Stale):
            self.life = max(self.life, answer.life + 1)
            self._sent.clear()
            return
        if isinstance(answer, Deny):
            self.denied[answer.voter] = answer
            return
        self.denied.pop(answer.voter, None)
        # Danger: counted from when the answer came, a slow network would lengthen the lease.
        until_ms = sent_ms + self._terms.hold_ms
        self._until[answer.voter] = max(until_ms, self._until.get(answer.voter, until_ms))

    def vouch(self, voter: str) -> None:
        """An operator's word that `voter` is switched off and will stay so until it is heard again."""
        self.vouched |= {voter}

    def heard(self, voter: str) -> None:
        """`voter` lives after all: no operator's word stands against that."""
        self.vouched -= {voter}

    def until_ms(self) -> float:
        """Up to when, on this box's clock, it holds more than half of the votes; minus infinity if not."""
        need = sum(self._weights.values()) / 2
        held = sum(self._weights[voter] for voter in self.vouched if voter in self._weights)
        if held > need and self._own_until() > float("-inf"):
            return self._own_until()
        for until_ms, voter in sorted(((u, v) for v, u in self._until.items()), reverse=True):
            if voter not in self.vouched:
                held += self._weights[voter]
            if held > need:
                return until_ms
        return float("-inf")

    def _own_until(self) -> float:
        return self._until.get(self.box, float("-inf"))

    def may_take(self, now_ms: float) -> bool:
        """To be asked at the moment of taking, on the monotonic clock. Danger: a timer that says so would
        be late after a pause, and the box would take under a lease that is over."""
        return now_ms < self.until_ms()
