"""Leases granted by a quorum of voters: the rules that a pair's lease and a fleet's task leases share.

Rules only: no clock, no socket. Times are milliseconds of the caller's own clock, which has to count the time
for which the machine was suspended; times of two clocks are never compared.

A voter grants its vote to one holder at a time, for `LeaseTerms.promise_ms` of its own clock from the moment
it receives a request. The holder relies on the grant for the shorter `LeaseTerms.hold_ms` of its own clock,
from the moment it *sent* the request, and may act while unexpired grants carry more than half of all weight.
Two such quorums share a voter, and as long as clocks stay within the bound on drift that voter's grant to the
one holder ends only after this holder has stopped relying on it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Generic, TypeVar

from cloverrouter.values import Value

MAX_PENDING_REQUESTS = 64  # without an answer; a grant for an older one would have little time left
NEVER = float("-inf")
H = TypeVar("H")


class LeaseTerms(Value):
    """Duration of a voter's grant (`promise_ms`) and the bound on clock drift (`drift`): a clock runs at 1 -
    drift to 1 + drift times true time. Raises ValueError for values out of range."""

    promise_ms: float = 3000.0
    drift: float = 0.01

    def __post_init__(self) -> None:
        if not self.promise_ms > 0 or not 0 <= self.drift < 0.5:
            raise ValueError("promise_ms must be positive, drift from 0 to under 0.5")

    @property
    def hold_ms(self) -> float:
        """Time for which a holder relies on a grant, on its own clock.

        It is short enough that the holder stops first even if its clock is slow and the voter's is fast.
        """
        return self.promise_ms * (1 - self.drift) / (1 + self.drift)


class RequestId(Value):
    """Identifies a request by its sender, the sender's incarnation (one run of its process) and a number that
    rises within the incarnation."""

    member: str
    incarnation: int
    number: int


class LeaseGrant(Generic[H]):
    """One voter's grant of one lease: to whom, and until when."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self.holder: H | None = None  # stays set after the grant has expired
        self.expires_ms = NEVER

    def remaining_ms(self, now_ms: float) -> float:
        """Time until the grant expires; 0 if there is none in force."""
        return max(0.0, self.expires_ms - now_ms) if self.holder is not None else 0.0

    def assign(self, now_ms: float, to: H) -> None:
        """Grant or renew the lease. The caller checks that no other holder's grant is in force."""
        self.holder, self.expires_ms = to, now_ms + self._terms.promise_ms

    def release(self) -> None:
        """End the grant early, once its holder has stopped relying on it."""
        self.holder, self.expires_ms = None, NEVER


def quorum_until_ms(
    weights: Mapping[str, int], expiry_by_voter: Mapping[str, float], granted_weight: int = 0
) -> float:
    """The time until which unexpired grants carry more than half of the weight; minus infinity if they never
    do. `granted_weight` is weight that counts as granted without end."""
    need = sum(weights.values()) / 2
    for until_ms, voter in sorted(((u, v) for v, u in expiry_by_voter.items()), reverse=True):
        granted_weight += weights.get(voter, 0)
        if granted_weight > need:
            return until_ms
    return NEVER


class QuorumTracker:
    """A holder's record of its requests, the grants for them, and until when these form a quorum.

    `groups`: the weights of voters by name. During a change of the voters there are two, the old and the new,
    and more than half of each is needed. Raises ValueError for weights that are negative or all 0.
    """

    def __init__(self, terms: LeaseTerms, *groups: Mapping[str, int]) -> None:
        for weights in groups:
            if any(weight < 0 for weight in weights.values()) or sum(weights.values()) <= 0:
                raise ValueError("weights must be whole numbers from 0 up, and not all 0")
        self._terms, self._groups = terms, [dict(weights) for weights in groups]
        self._number = 0
        self._sent: dict[int, float] = {}  # by request number: when it was sent
        self._until: dict[str, float] = {}  # by voter: when its grant expires

    @property
    def voters(self) -> list[str]:
        return list(dict.fromkeys(name for weights in self._groups for name in weights))

    def next_request_number(self, now_ms: float) -> int:
        """Allocate the number of a request that is sent now."""
        self._number += 1
        self._sent[self._number] = now_ms
        while len(self._sent) > MAX_PENDING_REQUESTS:
            del self._sent[next(iter(self._sent))]
        return self._number

    def record_grant(self, voter: str, number: int) -> bool:
        """Record that `voter` granted the request with this number; False if the grant does not count."""
        until_ms = self.grant_expires_ms(voter, number)
        self._until[voter] = max(until_ms, self._until.get(voter, until_ms))
        return until_ms > NEVER

    def grant_expires_ms(self, voter: str, number: int) -> float:
        """When a grant of `voter` for the request with this number expires; minus infinity if the request is
        no longer pending or the voter is unknown."""
        sent_ms = self._sent.get(number)
        if sent_ms is None or not any(voter in weights for weights in self._groups):
            return NEVER
        # Counted from the sending: counted from the answer's arrival, a slow network would extend the lease
        # beyond the voter's grant.
        return sent_ms + self._terms.hold_ms

    def abandon(self) -> int:
        """Drop all grants and all pending requests at once; returns the number for the release message."""
        # Pending requests have to go, too: an answer still in flight would restore a lease that has been
        # released.
        self._sent.clear()
        self._until.clear()
        self._number += 1
        return self._number

    def until_ms(self) -> float:
        """When the quorum of any group ends first; minus infinity if a group has no quorum."""
        return min(quorum_until_ms(weights, self._until) for weights in self._groups)
