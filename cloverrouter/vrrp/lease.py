"""The lease of a pair: at most one of its nodes may accept work at any time, whatever the network does.

Pure logic on top of `cloverrouter.rights`, in its simplest case: a single right without a name and without
fencing tokens, two nodes, and optionally a witness. VRRP's state machine decides which node should be active;
if advertisements are lost, both may become active. Only the lease permits a node to accept work.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cloverrouter.rights import LeaseGrant, LeaseTerms, QuorumTracker, RequestId, quorum_until_ms


@dataclass(frozen=True, slots=True)
class Request:
    stamp: RequestId


@dataclass(frozen=True, slots=True)
class Release:
    """The node no longer accepts work. The stamp's number is higher than those of its earlier requests."""

    stamp: RequestId


@dataclass(frozen=True, slots=True)
class Grant:
    """`voter` grants its vote; the lease counts from when the node sent the request with this stamp."""

    voter: str
    stamp: RequestId


@dataclass(frozen=True, slots=True)
class Deny:
    """The vote is not granted.

    `left_ms`: how long it remains granted to `holder`, or, with an empty `holder`, withheld after the voter's
    restart.
    """

    voter: str
    stamp: RequestId
    holder: str
    left_ms: float


@dataclass(frozen=True, slots=True)
class Stale:
    """`voter` has received a later life of the node than the stamp's.

    This happens to a node whose clock was set back between two starts; it then continues under a later life.
    """

    voter: str
    stamp: RequestId
    life: int


Answer = Grant | Deny | Stale


class Voter:
    """One vote, in memory only: after a restart it is withheld until any earlier grant has expired."""

    def __init__(self, name: str, terms: LeaseTerms, now_ms: float) -> None:
        self.name = name
        # A grant from before a restart is not remembered; without the wait, the vote could be granted twice.
        self._no_grants_until_ms = now_ms + terms.promise_ms
        self._vote: LeaseGrant[str] = LeaseGrant(terms)
        self._latest: dict[str, tuple[int, int]] = {}  # by node: its life and highest number

    def holder(self, now_ms: float) -> str | None:
        return self._vote.holder if self._vote.remaining_ms(now_ms) > 0 else None

    def handle(self, now_ms: float, message: Request | Release) -> Answer | None:
        stamp = message.stamp
        life, highest = self._latest.get(stamp.member, (stamp.incarnation, 0))
        # Duplicates and reordered messages must be ignored: a late release would free a vote that its node
        # has requested again in the meantime.
        if stamp.incarnation < life:
            return Stale(self.name, stamp, life)
        if stamp.incarnation == life and stamp.number <= highest:
            return None
        self._latest[stamp.member] = (stamp.incarnation, stamp.number)
        if isinstance(message, Release):
            if self._vote.holder == stamp.member:
                self._vote.release()
            return None
        if now_ms < self._no_grants_until_ms:
            return Deny(self.name, stamp, "", self._no_grants_until_ms - now_ms)
        holder = self.holder(now_ms)
        if holder is not None and holder != stamp.member:
            return Deny(self.name, stamp, holder, self._vote.remaining_ms(now_ms))
        self._vote.assign(now_ms, stamp.member)
        return Grant(self.name, stamp)


class Lease(QuorumTracker):
    """The lease as seen by a node: its pending requests, the votes it holds, and whether it may accept work.

    `weights`: of all voters by name. With two nodes and a witness each weighs 1. With two nodes alone one
    must weigh more, since otherwise neither could ever accept work without the other.
    """

    def __init__(self, node: str, life: int, weights: Mapping[str, int], terms: LeaseTerms) -> None:
        super().__init__(terms, weights)
        self.node, self.life = node, life
        self._weights = dict(weights)
        self.denied: dict[str, Deny] = {}
        self.declared_off: frozenset[str] = frozenset()  # voters that an operator declared switched off

    def request(self, now_ms: float) -> Request:
        """A request to every voter, this node's own included, to acquire or extend the lease."""
        return Request(RequestId(self.node, self.life, self.next_request_number(now_ms)))

    def release(self) -> Release:
        """Give up the lease at once, including grants of pending requests."""
        self.denied.clear()
        return Release(RequestId(self.node, self.life, self.abandon()))

    def handle_answer(self, answer: Answer) -> None:
        own = (answer.stamp.member, answer.stamp.incarnation) == (self.node, self.life)
        if not own or answer.stamp.number not in self._sent or answer.voter not in self._weights:
            return
        if isinstance(answer, Stale):
            self.life = max(self.life, answer.life + 1)
            self._sent.clear()
            return
        if isinstance(answer, Deny):
            self.denied[answer.voter] = answer
            return
        self.denied.pop(answer.voter, None)
        self.record_grant(answer.voter, answer.stamp.number)

    def declare_off(self, voter: str) -> None:
        """Record an operator's statement that `voter` is off; it holds until a message from it arrives."""
        self.declared_off |= {voter}

    def voter_responded(self, voter: str) -> None:
        """Withdraw the statement that `voter` is switched off: a message from it has arrived."""
        self.declared_off -= {voter}

    def until_ms(self) -> float:
        """When the majority of votes expires, on this node's clock; minus infinity without a majority."""
        free = sum(self._weights[voter] for voter in self.declared_off if voter in self._weights)
        until = {voter: until_ms for voter, until_ms in self._until.items() if voter not in self.declared_off}
        if free * 2 > sum(self._weights.values()):
            until = {self.node: until[self.node]} if self.node in until else {}
        return quorum_until_ms(self._weights, until, free)

    def may_accept(self, now_ms: float) -> bool:
        """Whether work may be accepted; to be checked at each acceptance, on the monotonic clock.

        A flag that a timer resets would be reset late after a process pause, when the lease has expired.
        """
        return now_ms < self.until_ms()
