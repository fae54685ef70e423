"""The right to act alone, by promises of voters: what a pair's lease and a fleet's leases are both made of.

Rules only: no clock, no socket. Times are milliseconds of the caller's own clock, one that counts a suspended
machine; no two clocks are ever compared.

A voter promises itself to one holder at a time, for `Terms.promise_ms` of its own clock from the moment it
receives a request. A holder counts on that for the shorter `Terms.hold_ms` of its own clock, from the moment
it *sent* the request, and may act while promises that weigh more than half of all last. Two such sets share a
voter, and that voter's promise to one ends, on any clocks within the bound on drift, after that one has
stopped to count on it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Generic, TypeVar

from cloverrouter.values import Value

MOST_PENDING = 64  # requests that are not answered; older ones would give little time anyway
NEVER = float("-inf")
H = TypeVar("H")


class Terms(Value):
    """`promise_ms`: what a voter promises. `drift`: clocks run within 1 - drift to 1 + drift of true time."""

    promise_ms: float = 3000.0
    drift: float = 0.01

    def __post_init__(self) -> None:
        if not self.promise_ms > 0 or not 0 <= self.drift < 0.5:
            raise ValueError("promise_ms must be positive, drift from 0 to under 0.5")

    @property
    def hold_ms(self) -> float:
        """A holder's clock may be slow and a voter's fast: by true time, the holder still stops first."""
        return self.promise_ms * (1 - self.drift) / (1 + self.drift)


class Stamp(Value):
    """Who said it, in which life, and as what number of that life's."""

    box: str
    life: int
    number: int


class Promise(Generic[H]):
    """One voter's, of one right."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self.to: H | None = None  # also when it is over
        self.until_ms = NEVER

    def left_ms(self, now_ms: float) -> float:
        """For how long it binds; 0 when it does not."""
        return max(0.0, self.until_ms - now_ms) if self.to is not None else 0.0

    def give(self, now_ms: float, to: H) -> None:
        """To be asked for only where it does not bind, or binds to the same holder."""
        self.to, self.until_ms = to, now_ms + self._terms.promise_ms

    def free(self) -> None:
        """Its holder has stopped to count on it."""
        self.to, self.until_ms = None, NEVER


def more_than_half(weights: Mapping[str, int], until: Mapping[str, float], held: int = 0) -> float:
    """Up to when promises that last `until` then, by voter, weigh more than half; `held`: weight that is held
    anyway. Minus infinity if they never do."""
    need = sum(weights.values()) / 2
    for until_ms, voter in sorted(((u, v) for v, u in until.items()), reverse=True):
        held += weights.get(voter, 0)
        if held > need:
            return until_ms
    return NEVER


class Count:
    """A holder's side: when it asked, who has promised, and up to when that is more than half.

    `groups`: the weights of voters by name. While voters are changed there are two, the old and the new, and
    more than half of each is needed.
    """

    def __init__(self, terms: Terms, *groups: Mapping[str, int]) -> None:
        for weights in groups:
            if any(weight < 0 for weight in weights.values()) or sum(weights.values()) <= 0:
                raise ValueError("weights must be whole numbers from 0 up, and not all 0")
        self._terms, self._groups = terms, [dict(weights) for weights in groups]
        self._number = 0
        self._sent: dict[int, float] = {}
        self._until: dict[str, float] = {}

    @property
    def voters(self) -> list[str]:
        return list(dict.fromkeys(name for weights in self._groups for name in weights))

    def ask(self, now_ms: float) -> int:
        """The number of a request that goes out now."""
        self._number += 1
        self._sent[self._number] = now_ms
        while len(self._sent) > MOST_PENDING:
            del self._sent[next(iter(self._sent))]
        return self._number

    def promised(self, voter: str, number: int) -> bool:
        """`voter` has promised itself to the request of that number. False if that counts for nothing."""
        until_ms = self.ends_ms(voter, number)
        self._until[voter] = max(until_ms, self._until.get(voter, until_ms))
        return until_ms > NEVER

    def ends_ms(self, voter: str, number: int) -> float:
        """Up to when a promise of `voter` counts that answers the request of that number."""
        sent_ms = self._sent.get(number)
        if sent_ms is None or not any(voter in weights for weights in self._groups):
            return NEVER
        # Danger: counted from when the answer came, a slow network would lengthen the right.
        return sent_ms + self._terms.hold_ms

    def give_up(self) -> int:
        """Stop to act, at once and for all that was asked for so far: the number to say so under."""
        # Danger: an answer that is still under way would bring back a right that has been given away.
        self._sent.clear()
        self._until.clear()
        self._number += 1
        return self._number

    def until_ms(self) -> float:
        """Up to when it holds more than half of each group; minus infinity if not."""
        return min(more_than_half(weights, self._until) for weights in self._groups)
