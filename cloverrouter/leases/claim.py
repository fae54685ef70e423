"""A contender's side of one task: what it asks for, what it holds, and whether it may act.

Rules only; `random` draws the waits. It asks every voter for one seat under one token. More than half give it
the seat; less, and it gives back at once what it got, and comes back after a wait. It holds the seat while
promises of more than half last, counted from when each was asked for, and names its token to whatever it acts
on. One that a voter has forgotten (it was started anew) takes a higher token on the way, without letting go.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from random import Random

from cloverrouter.leases.words import Answer, Ask, Deny, Free, Grant, Release, Request, Who
from cloverrouter.rights import NEVER, Count, Stamp, Terms, more_than_half
from cloverrouter.values import Value

RENEW_SHARE = 1 / 3  # of a promise: so often a holder asks for more time
ROUND_SHARE = 1 / 10  # so long answers are waited for before it asks again
WAIT_SHARE = 1 / 2  # so often who waits shows that it still does
SILENT_SHARE = (1.2, 2.0)  # so seldom one asks that hears no answers: longer than a promise
RETRY_MS = 5.0  # the span that waits are drawn from when votes were parted, for each that contends
MOST_DOUBLINGS = 6


class Say(Value):
    """A request to these voters."""

    to: tuple[str, ...]
    request: Request


class Claim(Count):
    """One box's, of one task. `groups`: the voters' weights, as in `Count`."""

    def __init__(
        self,
        box: str,
        life: int,
        task: str,
        room: int,
        terms: Terms,
        random: Random,
        *groups: Mapping[str, int],
    ) -> None:
        super().__init__(terms, *groups)
        self.box, self.life, self.task, self.room = box, life, task, room
        self.wanted = False
        self.seat = 0
        self.due_ms = float("inf")
        self.trouble: str | None = None  # what operators have set differently elsewhere
        self._random = random
        self._token: int | None = None  # that it may name; None: it holds nothing
        self._asked = 0  # the token that it asks for
        self._highest = 0  # that it knows of
        self._gone = 0  # promises under tokens up to this one were given back, or are as soon as they come
        self._ends: dict[str, float] = {}  # by voter: up to when its promise of the seat counts
        self._under: dict[str, float] = {}  # the same of those under the token that it asks for
        self._answers: dict[str, Grant | Deny] = {}  # to its last round
        self._round = 0  # the number of that
        self._parted = 0  # rounds in a row that nobody may have won
        self._unheard = 0  # rounds in a row that fewer than half answered

    # What others want of it

    def want(self, now_ms: float) -> list[Say]:
        """Be a contender from now on."""
        if self.wanted:
            return []
        self.wanted, self._parted = True, 0
        return self._ask(now_ms)

    def may_act(self, now_ms: float, longest_ms: float = 0.0) -> int | None:
        """The token to act under, if an act that begins now and takes `longest_ms` at most ends within the
        right. To be asked at the moment of acting, on the boot clock; after a stall, anew."""
        return self._token if now_ms + longest_ms < self.held_until_ms() else None

    def held_until_ms(self) -> float:
        """Up to when it holds the seat; minus infinity if it does not."""
        return self._until_by(self._ends) if self._token is not None else NEVER

    def give_back(self, hand_over: bool = False) -> list[Say]:
        """Stop to act and to contend, at once; `hand_over`: to who has waited longest, as most voters say."""
        heir = self._heir() if hand_over and self._token is not None else None
        wanted, self.wanted, self.due_ms = self.wanted, False, float("inf")
        return self._let_go(tuple(self.voters), heir) if wanted else []

    # What happens

    def tick(self, now_ms: float) -> list[Say]:
        if not self.wanted or now_ms < self.due_ms:
            return []
        self._lapse(now_ms)
        if self._token is None and any(isinstance(answer, Deny) for answer in self._answers.values()):
            # Danger: with voters that are gone a round may be neither won nor lost; asking on would renew the
            # few promises that it got, as others do theirs, and nobody would ever have more than half.
            return self._come_back(now_ms)
        return self._ask(now_ms)

    def heard(self, now_ms: float, answer: Answer) -> list[Say]:
        stamp = answer.stamp
        if (stamp.box, stamp.life, answer.task) != (self.box, self.life, self.task):
            return []
        if answer.voter not in self.voters:
            return []
        if isinstance(answer, Grant) and (not self.wanted or answer.token <= self._gone):
            # Danger: a promise that was given back, or came too late, must not count, nor a copy of it.
            self._gone = max(self._gone, answer.token)
            return [self._release((answer.voter,), answer.seat, answer.token)]
        if not self.wanted:
            return []
        self._lapse(now_ms)
        self._highest = max(self._highest, answer.highest)
        if isinstance(answer, Free):
            # It is its turn: at once, while the seat is kept for it.
            return self._ask(now_ms, answer.seat) if self._token is None and not self._under else []
        if isinstance(answer, Grant):
            return self._granted(now_ms, answer)
        return self._denied(now_ms, answer)

    def _granted(self, now_ms: float, grant: Grant) -> list[Say]:
        ends_ms = self.ends_ms(grant.voter, grant.stamp.number)
        if ends_ms == NEVER:
            return []  # so long ago that it is forgotten
        if (grant.seat, grant.token) != (self.seat, self._asked):
            # Another's heir, by that one's word; what it asked for itself meanwhile it does not need.
            if self._token is not None or grant.token <= self._asked or self._under:
                return []
            self.seat, self._asked, self._round = grant.seat, grant.token, 0
            self._ends.clear()
            self._answers.clear()
        self._ends[grant.voter] = max(ends_ms, self._ends.get(grant.voter, NEVER))
        self._under[grant.voter] = max(ends_ms, self._under.get(grant.voter, NEVER))
        if grant.stamp.number == self._round:
            self._answers[grant.voter] = grant
        if now_ms < self._until_by(self._under):
            first, self._token = self._token is None, self._asked
            self._parted = 0
            if first:
                # Danger: an heir's right counts from a request of some time ago, and is the shorter for it.
                held_ms = (1 - RENEW_SHARE) * self._terms.promise_ms
                self.due_ms = max(now_ms, self.held_until_ms() - held_ms)
        return []

    def _denied(self, now_ms: float, denial: Deny) -> list[Say]:
        if denial.stamp.number != self._round:
            return []
        self._answers[denial.voter] = denial
        self.trouble = None
        if denial.room != self.room:
            self.trouble = f"{denial.voter} knows {self.task!r} with room for {denial.room}, here {self.room}"
        # A holder is denied by a voter that was started anew: it asks for a higher token, next time.
        if self._token is not None or not self._lost():
            return []
        return self._come_back(now_ms)

    # Rounds

    def _lost(self) -> bool:
        """Can this round not be won any more?"""
        against = {voter for voter, answer in self._answers.items() if isinstance(answer, Deny)}
        left = {voter: 1.0 for voter in self.voters if voter not in against}
        return any(more_than_half(weights, left) == NEVER for weights in self._groups)

    def _come_back(self, now_ms: float) -> list[Say]:
        """Votes went to others: give back what it got, and come again when it is worth it."""
        denials = [answer for answer in self._answers.values() if isinstance(answer, Deny)]
        left_ms = sorted(denial.left_ms for denial in denials)[len(denials) // 2]
        contenders = 1 + max(denial.ahead for denial in denials)
        granted = tuple(voter for voter, answer in self._answers.items() if isinstance(answer, Grant))
        most_ms = WAIT_SHARE * self._terms.promise_ms
        span_ms = RETRY_MS * contenders * 2 ** min(MOST_DOUBLINGS, self._parted)
        # Votes that were parted are given back by all: nobody has to wait for them to end.
        least_ms = 0.0 if granted else min(most_ms, left_ms)
        self._parted = self._parted + 1 if granted else 0
        self.due_ms = now_ms + least_ms + self._random.uniform(0.0, min(span_ms, most_ms))
        busy = 0
        for denial in denials:
            busy |= denial.busy
        free = [seat for seat in range(self.room) if not busy >> seat & 1]
        said = self._let_go(granted, None)
        if free:
            self.seat = self._random.choice(free)
        return said if granted else []

    def _ask(self, now_ms: float, seat: int | None = None) -> list[Say]:
        self._highest = max(self._highest, self._gone)
        denied = any(isinstance(answer, Deny) for answer in self._answers.values())
        if self._token is None and seat is not None:
            self.seat = seat
        # Danger: a token that was denied once may be another's by now.
        if not self._asked or (denied and self._highest >= self._asked):
            self._asked = self._highest = self._highest + 1
            self._under.clear()
        answered = dict.fromkeys(self._answers, 1.0)
        self._unheard = self._unheard + 1 if self._round and self._until_by(answered) == NEVER else 0
        self._answers.clear()
        self._round = self.ask(now_ms)
        share = RENEW_SHARE if self._token is not None else ROUND_SHARE
        if self._token is None and self._unheard >= 2:
            # Danger: who is heard, but hears nothing, would have its promises renewed for ever.
            share = self._random.uniform(*SILENT_SHARE)
        self.due_ms = now_ms + share * self._terms.promise_ms
        stamp = Stamp(self.box, self.life, self._round)
        return [Say(tuple(self.voters), Ask(stamp, self.task, self.seat, self._asked, self.room))]

    def _let_go(self, voters: tuple[str, ...], heir: Who | None) -> list[Say]:
        held = self._token is not None
        token, self._asked, self._token = max(1, self._asked), 0, None  # one that only waits has none
        self._gone, self._round = max(self._gone, token), 0
        self._ends.clear()
        self._under.clear()
        self._answers.clear()
        return [self._release(voters, self.seat, token, held, heir)]

    def _release(
        self, voters: tuple[str, ...], seat: int, token: int, held: bool = False, heir: Who | None = None
    ) -> Say:
        self._number += 1
        self._highest += heir is not None
        heir_token = self._highest if heir is not None else 0
        stamp = Stamp(self.box, self.life, self._number)
        return Say(voters, Release(stamp, self.task, seat, token, held, heir, heir_token))

    def _heir(self) -> Who | None:
        named = Counter(
            answer.waiting
            for answer in self._answers.values()
            if isinstance(answer, Grant) and answer.waiting is not None
        )
        return named.most_common(1)[0][0] if named else None

    def _lapse(self, now_ms: float) -> None:
        """Danger: between the end of its right and now another may have held the seat, and acted under a
        higher token than the one that it named before."""
        if self._token is not None and now_ms >= self.held_until_ms():
            self._token = None

    def _until_by(self, votes: Mapping[str, float]) -> float:
        return min(more_than_half(weights, votes) for weights in self._groups)

    # For operators

    @property
    def votes(self) -> int:
        """Promises under the token that it asks for."""
        return len(self._under)
