"""A contender's side of one task: its requests, the lease that it holds, and whether it may act.

Rules only; `random` draws the delays. A contender asks every voter for one seat under one token. With grants
of more than half it holds the seat; with fewer it releases them at once and retries after a delay. It holds
the seat while unexpired grants form a quorum, each counted from the sending of its request, and passes its
token to whatever it acts on. A holder that a restarted voter no longer knows moves on to a higher token
without giving up the seat.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from random import Random

from cloverrouter.leases.words import Answer, Ask, ContenderId, Deny, Free, Grant, Release, Request
from cloverrouter.rights import NEVER, LeaseTerms, QuorumTracker, RequestId, quorum_until_ms
from cloverrouter.values import Value

# Intervals, as shares of the duration of a grant.
RENEW_INTERVAL_SHARE = 1 / 3  # between a holder's renewals
ROUND_TIMEOUT_SHARE = 1 / 10  # for the answers to a contender's round
MAX_WAIT_SHARE = 1 / 2  # until a waiting contender asks again, which also shows that it still waits
# Between the requests of a contender that receives no answers: longer than a grant, so that grants expire.
UNANSWERED_INTERVAL_SHARE = (1.2, 2.0)
RETRY_SPAN_MS = 5.0  # range of the random delay after a split vote, for each contender
MAX_DOUBLINGS = 6  # of that range, one for each further split vote


class SendRequest(Value):
    """Instruction to the caller: send `request` to the voters named in `to`."""

    to: tuple[str, ...]
    request: Request


class Claim(QuorumTracker):
    """One contender's claim to a seat of one task. `groups`: the voters' weights, as in `QuorumTracker`."""

    def __init__(
        self,
        member: str,
        incarnation: int,
        task: str,
        seat_count: int,
        terms: LeaseTerms,
        random: Random,
        *groups: Mapping[str, int],
    ) -> None:
        super().__init__(terms, *groups)
        self.member, self.incarnation, self.task, self.seat_count = member, incarnation, task, seat_count
        self.wanted = False
        self.seat = 0
        self.due_ms = float("inf")
        self.settings_conflict: str | None = (
            None  # how a voter's view of the task differs from these settings
        )
        self._random = random
        self._token: int | None = None  # to act under; None while it holds no seat
        self._requested_token = 0
        self._highest_token = 0  # of all that it knows
        # Grants under tokens up to this one have been released, or are released on arrival.
        self._released_token = 0
        self._seat_until_ms: dict[str, float] = {}  # by voter: expiry of its grant of the seat
        self._token_until_ms: dict[str, float] = {}  # the same, for grants under the requested token only
        self._answers: dict[str, Grant | Deny] = {}  # by voter, in the current round
        self._round_number = 0  # request number of the current round
        self._split_rounds = 0  # consecutive rounds that may have had no winner
        self._unanswered_rounds = 0  # consecutive rounds that fewer than half of the voters answered

    # Interface for the owner of the claim

    def contend(self, now_ms: float) -> list[SendRequest]:
        """Start contending for the task."""
        if self.wanted:
            return []
        self.wanted, self._split_rounds = True, 0
        return self._ask(now_ms)

    def current_token(self, now_ms: float, longest_ms: float = 0.0) -> int | None:
        """The token to act under, if an act that begins now and takes at most `longest_ms` ends before the
        lease does; else None. Call it at the moment of acting, with the time of the boot clock, and again
        after a process pause."""
        return self._token if now_ms + longest_ms < self.held_until_ms() else None

    def held_until_ms(self) -> float:
        """When the hold on the seat expires; minus infinity if there is none."""
        return self._quorum_until_ms(self._seat_until_ms) if self._token is not None else NEVER

    def release(self, hand_over: bool = False) -> list[SendRequest]:
        """Stop acting and contending at once. With `hand_over` the seat goes to the contender that most
        voters report as the longest waiting."""
        successor = self._choose_successor() if hand_over and self._token is not None else None
        wanted, self.wanted, self.due_ms = self.wanted, False, float("inf")
        return self._release_votes(tuple(self.voters), successor) if wanted else []

    # Events

    def tick(self, now_ms: float) -> list[SendRequest]:
        """Ask again, or back off from a round without a winner, once `due_ms` has passed."""
        if not self.wanted or now_ms < self.due_ms:
            return []
        self._expire(now_ms)
        if self._token is None and any(isinstance(answer, Deny) for answer in self._answers.values()):
            # While voters are unreachable a round may be neither won nor lost. If it asked on, it would renew
            # its few grants, as the other contenders would theirs, and none would ever reach a quorum.
            return self._back_off(now_ms)
        return self._ask(now_ms)

    def handle_answer(self, now_ms: float, answer: Answer) -> list[SendRequest]:
        request_id = answer.request_id
        if (request_id.member, request_id.incarnation, answer.task) != (
            self.member,
            self.incarnation,
            self.task,
        ):
            return []
        if answer.voter not in self.voters:
            return []
        if isinstance(answer, Grant) and (not self.wanted or answer.token <= self._released_token):
            # A grant that was released or came too late must not count, nor must a duplicate of it.
            self._released_token = max(self._released_token, answer.token)
            return [self._release((answer.voter,), answer.seat, answer.token)]
        if not self.wanted:
            return []
        self._expire(now_ms)
        self._highest_token = max(self._highest_token, answer.highest)
        if isinstance(answer, Free):
            # Asks at once, while the voters reserve the seat for this contender.
            return self._ask(now_ms, answer.seat) if self._token is None and not self._token_until_ms else []
        if isinstance(answer, Grant):
            return self._handle_grant(now_ms, answer)
        return self._handle_denial(now_ms, answer)

    def _handle_grant(self, now_ms: float, grant: Grant) -> list[SendRequest]:
        expires_ms = self.grant_expires_ms(grant.voter, grant.request_id.number)
        if expires_ms == NEVER:
            return []  # the request is too old to be on record
        if (grant.seat, grant.token) != (self.seat, self._requested_token):
            # The previous holder named this contender as successor, which supersedes its own request.
            if self._token is not None or grant.token <= self._requested_token or self._token_until_ms:
                return []
            self.seat, self._requested_token, self._round_number = grant.seat, grant.token, 0
            self._seat_until_ms.clear()
            self._answers.clear()
        self._seat_until_ms[grant.voter] = max(expires_ms, self._seat_until_ms.get(grant.voter, NEVER))
        self._token_until_ms[grant.voter] = max(expires_ms, self._token_until_ms.get(grant.voter, NEVER))
        if grant.request_id.number == self._round_number:
            self._answers[grant.voter] = grant
        if now_ms < self._quorum_until_ms(self._token_until_ms):
            acquired, self._token = self._token is None, self._requested_token
            self._split_rounds = 0
            if acquired:
                # A successor's lease counts from its last request, some time ago, and ends that much earlier.
                remaining_ms = (1 - RENEW_INTERVAL_SHARE) * self._terms.promise_ms
                self.due_ms = max(now_ms, self.held_until_ms() - remaining_ms)
        return []

    def _handle_denial(self, now_ms: float, denial: Deny) -> list[SendRequest]:
        if denial.request_id.number != self._round_number:
            return []
        self._answers[denial.voter] = denial
        self.settings_conflict = None
        if denial.seat_count != self.seat_count:
            self.settings_conflict = (
                f"{denial.voter} knows {self.task!r} with room for {denial.seat_count}, "
                f"here {self.seat_count}"
            )
        # A voter that has restarted denies a holder's renewal; the next request asks for a higher token.
        if self._token is not None or not self._round_is_lost():
            return []
        return self._back_off(now_ms)

    # Rounds

    def _round_is_lost(self) -> bool:
        """Whether the voters that have not denied the request no longer form a quorum."""
        denying = {voter for voter, answer in self._answers.items() if isinstance(answer, Deny)}
        remaining = {voter: 1.0 for voter in self.voters if voter not in denying}
        return any(quorum_until_ms(weights, remaining) == NEVER for weights in self._groups)

    def _back_off(self, now_ms: float) -> list[SendRequest]:
        """Release the votes of a round without a win, and schedule the next round after a delay."""
        denials = [answer for answer in self._answers.values() if isinstance(answer, Deny)]
        retry_after_ms = sorted(denial.retry_after_ms for denial in denials)[len(denials) // 2]
        contenders = 1 + max(denial.queue_position for denial in denials)
        granting = tuple(voter for voter, answer in self._answers.items() if isinstance(answer, Grant))
        max_wait_ms = MAX_WAIT_SHARE * self._terms.promise_ms
        span_ms = RETRY_SPAN_MS * contenders * 2 ** min(MAX_DOUBLINGS, self._split_rounds)
        # After a split vote all contenders release their votes, so none has to wait for these to expire.
        min_wait_ms = 0.0 if granting else min(max_wait_ms, retry_after_ms)
        self._split_rounds = self._split_rounds + 1 if granting else 0
        self.due_ms = now_ms + min_wait_ms + self._random.uniform(0.0, min(span_ms, max_wait_ms))
        busy_seats = 0
        for denial in denials:
            busy_seats |= denial.busy_seats
        free_seats = [seat for seat in range(self.seat_count) if not busy_seats >> seat & 1]
        releases = self._release_votes(granting, None)
        if free_seats:
            self.seat = self._random.choice(free_seats)
        return releases if granting else []

    def _ask(self, now_ms: float, seat: int | None = None) -> list[SendRequest]:
        self._highest_token = max(self._highest_token, self._released_token)
        denied = any(isinstance(answer, Deny) for answer in self._answers.values())
        if self._token is None and seat is not None:
            self.seat = seat
        # A token that was denied once may belong to another contender by now.
        if not self._requested_token or (denied and self._highest_token >= self._requested_token):
            self._requested_token = self._highest_token = self._highest_token + 1
            self._token_until_ms.clear()
        answered = dict.fromkeys(self._answers, 1.0)
        self._unanswered_rounds = (
            self._unanswered_rounds + 1
            if self._round_number and self._quorum_until_ms(answered) == NEVER
            else 0
        )
        self._answers.clear()
        self._round_number = self.next_request_number(now_ms)
        share = RENEW_INTERVAL_SHARE if self._token is not None else ROUND_TIMEOUT_SHARE
        if self._token is None and self._unanswered_rounds >= 2:
            # With its requests delivered but the answers lost, a contender that asked at the usual interval
            # would have its grants renewed for ever.
            share = self._random.uniform(*UNANSWERED_INTERVAL_SHARE)
        self.due_ms = now_ms + share * self._terms.promise_ms
        request_id = RequestId(self.member, self.incarnation, self._round_number)
        return [
            SendRequest(
                tuple(self.voters),
                Ask(request_id, self.task, self.seat, self._requested_token, self.seat_count),
            )
        ]

    def _release_votes(self, voters: tuple[str, ...], successor: ContenderId | None) -> list[SendRequest]:
        held = self._token is not None
        # A contender that only waits has no token, but a release needs one of at least 1.
        token, self._requested_token, self._token = max(1, self._requested_token), 0, None
        self._released_token, self._round_number = max(self._released_token, token), 0
        self._seat_until_ms.clear()
        self._token_until_ms.clear()
        self._answers.clear()
        return [self._release(voters, self.seat, token, held, successor)]

    def _release(
        self,
        voters: tuple[str, ...],
        seat: int,
        token: int,
        held: bool = False,
        successor: ContenderId | None = None,
    ) -> SendRequest:
        self._number += 1
        self._highest_token += successor is not None
        successor_token = self._highest_token if successor is not None else 0
        request_id = RequestId(self.member, self.incarnation, self._number)
        return SendRequest(
            voters, Release(request_id, self.task, seat, token, held, successor, successor_token)
        )

    def _choose_successor(self) -> ContenderId | None:
        """The contender that most voters report as the longest waiting."""
        nominations = Counter(
            answer.longest_waiting
            for answer in self._answers.values()
            if isinstance(answer, Grant) and answer.longest_waiting is not None
        )
        return nominations.most_common(1)[0][0] if nominations else None

    def _expire(self, now_ms: float) -> None:
        """Drop the token of a lease that has expired: since then another contender may have held the seat and
        acted under a higher token."""
        if self._token is not None and now_ms >= self.held_until_ms():
            self._token = None

    def _quorum_until_ms(self, expiry_by_voter: Mapping[str, float]) -> float:
        return min(quorum_until_ms(weights, expiry_by_voter) for weights in self._groups)

    # Status for operators

    @property
    def votes(self) -> int:
        """Number of grants under the requested token."""
        return len(self._token_until_ms)
