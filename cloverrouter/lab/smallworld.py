"""Exhaustive search of the lease protocol in a small model: two contenders, three voters, one seat.

A step is one of these:

- a contender sends a request or a release; any subset of the voters receives it at once, and the contender
  receives any subset of their answers at once;
- a message that is still in flight is delivered (so it may be overtaken, late or lost), and may also stay in
  flight (duplicated);
- a process is killed and restarted, a voter also between storing a token and sending its answer;
- time advances by one tick.

A contender may or may not have learned the highest token from earlier denials. The clocks run at the ends of
the drift. States that differ only by a permutation of the voters are treated as one. The search is
breadth-first, over all schedules up to a number of steps.
"""

from __future__ import annotations

from collections.abc import Iterator
from copy import copy
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from cloverrouter.lab.claims import TASK, InvariantViolated, Parts
from cloverrouter.leases.claim import Claim, SendRequest
from cloverrouter.leases.voter import PersistToken, SendAnswer, Voter
from cloverrouter.leases.words import Ask, Release
from cloverrouter.rights import LeaseTerms

# A lease grant expires within one tick, and not earlier, at either end of the drift.
TERMS = LeaseTerms(promise_ms=1.0, drift=0.2)
CONTENDERS, VOTERS = ("a", "b"), ("u", "v", "w")
SLOW, FAST = 1 - TERMS.drift, 1 + TERMS.drift
WEIGHTS = dict.fromkeys(VOTERS, 1)


@dataclass(frozen=True)
class Bounds:
    """How often each kind of step may occur in one schedule; `states`: how many states are visited."""

    ticks: int = 1
    asks: int = 2  # requests of both contenders
    kills: int = 1
    duplicates: int = 0  # of messages in flight
    releases: int = 0
    states: int = 60_000


@dataclass(frozen=True)
class State:
    """State of the model after a schedule, `path`. Contenders and voters are given by index."""

    now: int  # ticks
    claims: tuple[Claim, ...]
    lives: tuple[int, ...]  # incarnation of each contender
    voters: tuple[Voter, ...]
    disks: tuple[int, ...]  # the highest token that each voter has stored
    flying: tuple[tuple[int, int, Any], ...]  # in flight: contender, voter, message
    left: tuple[int, int, int, int]  # what remains of the bounds: asks, kills, duplicates, releases
    acted: tuple[int, int, int]  # of the last act: token, contender, incarnation
    path: tuple[str, ...] = ()


def _copy_claim(claim: Claim) -> Claim:
    copied = copy(claim)
    for name, value in vars(claim).items():
        if isinstance(value, dict):
            setattr(copied, name, dict(value))
    return copied


def _copy_voter(voter: Voter) -> Voter:
    copied = copy(voter)
    copied._tasks = {}
    for name, task in voter._tasks.items():
        copied_task = copied._tasks[name] = copy(task)
        copied_task.waiting = dict(task.waiting)
        copied_task.seats = {}
        for number, seat in task.seats.items():
            copied_task.seats[number] = copy(seat)
            copied_task.seats[number].lease = copy(seat.lease)
    return copied


def _message_order(in_flight: tuple[int, int, Any]) -> tuple[Any, ...]:
    """Sort key of a message in flight."""
    i, j, message = in_flight
    tokens = getattr(message, "token", 0), getattr(message, "highest", 0)
    return i, j, type(message).__name__, message.request_id.incarnation, message.request_id.number, *tokens


class Search:
    """The search. `contender_rate`, `voter_rate`: clock speeds; `stored`: whether voters persist tokens."""

    def __init__(
        self,
        parts: Parts,
        bounds: Bounds,
        contender_rate: float = SLOW,
        voter_rate: float = FAST,
        stored: bool = True,
    ) -> None:
        self.parts, self.bounds, self.stored = parts, bounds, stored
        self._rates = contender_rate, voter_rate
        self.states = self.acts = 0
        self.depth = 0  # all schedules of this number of steps were visited
        self.exhausted = False  # whether the bounds allow no longer schedules

    def _make_voter(self, state_now: int, highest: int, quiet: bool) -> Voter:
        now = state_now * self._rates[1]
        floor = 0 if self.stored else state_now * 10
        voter = self.parts.voter("", self._terms, now, floor, {TASK: highest} if highest else {})
        if not quiet:
            voter.quiet_until_ms = float("-inf")
        # Any contender may take its turn at once: waiting for it would only allow fewer schedules.
        voter._may_take_turn = lambda now_ms, task, ask: True  # type: ignore[method-assign]
        return voter

    @property
    def _terms(self) -> LeaseTerms:
        return type(self.parts.terms)(TERMS.promise_ms, TERMS.drift)

    def _make_claim(self, index: int, incarnation: int) -> Claim:
        claim = self.parts.claim(CONTENDERS[index], incarnation, TASK, 1, self._terms, Random(0), WEIGHTS)
        claim.wanted = True
        return claim

    def start(self) -> State:
        """Return the initial state."""
        voters = []
        for name in VOTERS:
            voter = self._make_voter(0, 0, quiet=False)
            voter.name = name
            voters.append(voter)
        bounds = self.bounds
        left = (bounds.asks, bounds.kills, bounds.duplicates, bounds.releases)
        claims = tuple(self._make_claim(i, 1) for i in range(2))
        return State(0, claims, (1, 1), tuple(voters), (0, 0, 0), (), left, (0, -1, 0))

    def run(self) -> Search:
        """Run the search. Raises `InvariantViolated` with a shortest schedule that violates an invariant."""
        seen: set[Any] = set()
        frontier = [self.start()]
        while frontier:
            next_frontier: list[State] = []
            for state in frontier:
                for successor in self._successors(state):
                    checked = self._check_invariants(self._without_stale_answers(successor))
                    key = self._canonical_key(checked)
                    if key not in seen:
                        seen.add(key)
                        next_frontier.append(checked)
                self.states = len(seen)
                if self.states > self.bounds.states:
                    return self
            frontier = next_frontier
            self.depth += 1
        self.exhausted = True
        return self

    # Steps

    def _successors(self, state: State) -> Iterator[State]:
        asks, kills, duplicates, releases = state.left
        contender_now = state.now * self._rates[0]

        def successor(step: str, **changes: Any) -> State:
            return replace(state, path=(*state.path, step), **changes)

        if state.now < self.bounds.ticks:
            yield successor("tick", now=state.now + 1)
        for i, claim in enumerate(state.claims):
            for step, action, remaining, left in (
                ("asks", self._request, asks, (asks - 1, kills, duplicates, releases)),
                (
                    "asks, knowing all",
                    self._request_with_highest_token,
                    asks,
                    (asks - 1, kills, duplicates, releases),
                ),
                ("gives back", self._release, releases, (asks, kills, duplicates, releases - 1)),
            ):
                if remaining and not (step == "gives back" and not claim._requested_token):
                    changed_claim = _copy_claim(claim)
                    requests = action(changed_claim, contender_now, state)
                    claims = (*state.claims[:i], changed_claim, *state.claims[i + 1 :])
                    flying = self._add_in_flight(state.flying, i, requests)
                    requested = successor(f"{CONTENDERS[i]} {step}", claims=claims, flying=flying, left=left)
                    new_messages = [
                        (i, VOTERS.index(name), message.request)
                        for message in requests
                        for name in message.to
                    ]
                    yield from self._deliver_new_messages(requested, new_messages)
            if kills and claim._number:
                incarnation = state.lives[i] + 1
                claims = (*state.claims[:i], self._make_claim(i, incarnation), *state.claims[i + 1 :])
                lives = (*state.lives[:i], incarnation, *state.lives[i + 1 :])
                yield successor(
                    f"{CONTENDERS[i]} killed",
                    claims=claims,
                    lives=lives,
                    left=(asks, kills - 1, duplicates, releases),
                )
        for j, voter in enumerate(state.voters):
            if kills and voter._tasks:
                restarted = self._restart_voter(state, j, state.disks[j])
                voters = (*state.voters[:j], restarted, *state.voters[j + 1 :])
                yield successor(
                    f"{VOTERS[j]} killed", voters=voters, left=(asks, kills - 1, duplicates, releases)
                )
        for position, message in enumerate(state.flying):
            if position and state.flying[position - 1] == message:
                continue
            rest = state.flying[:position] + state.flying[position + 1 :]
            yield from self._deliver(state, position, rest)
            if duplicates:
                duplicated = replace(state, left=(asks, kills, duplicates - 1, releases))
                yield from self._deliver(duplicated, position, state.flying)

    def _deliver_new_messages(self, state: State, new_messages: list[Any]) -> list[State]:
        """Deliver new requests to any subset of the voters, and any of their answers to the contender."""
        states = [state]
        for message in new_messages:
            for before in list(states):
                position = before.flying.index(message)
                rest = before.flying[:position] + before.flying[position + 1 :]
                for after in self._deliver(before, position, rest):
                    states.append(after)
                    answers = [
                        answer
                        for answer in after.flying
                        if answer[:2] == message[:2] and answer not in before.flying
                    ]
                    for answer in answers:
                        position = after.flying.index(answer)
                        rest = after.flying[:position] + after.flying[position + 1 :]
                        states.extend(self._deliver(after, position, rest))
        return states

    def _deliver(self, state: State, position: int, rest: tuple[Any, ...]) -> list[State]:
        """Deliver the message at this position; `rest` remains in flight."""
        i, j, message = state.flying[position]
        path = (*state.path, f"{type(message).__name__} {CONTENDERS[i]} {VOTERS[j]}")
        if isinstance(message, Ask | Release):
            return self._deliver_to_voter(replace(state, path=path), rest, i, j, message)
        claim = _copy_claim(state.claims[i])
        requests = claim.handle_answer(state.now * self._rates[0], message)
        claims = (*state.claims[:i], claim, *state.claims[i + 1 :])
        return [replace(state, path=path, claims=claims, flying=self._add_in_flight(rest, i, requests))]

    def _deliver_to_voter(
        self, state: State, rest: tuple[Any, ...], i: int, j: int, message: Any
    ) -> list[State]:
        voter = _copy_voter(state.voters[j])
        actions = voter.handle(state.now * self._rates[1], message)
        stored_tokens = [action.highest for action in actions if isinstance(action, PersistToken)]
        answers = [
            (CONTENDERS.index(action.to), j, action.answer)
            for action in actions
            if isinstance(action, SendAnswer)
        ]
        in_flight = self._sort_in_flight((*rest, *answers))
        disk = stored_tokens[-1] if stored_tokens and self.stored else state.disks[j]

        def successor(voter: Voter, disk: int, flying: tuple[Any, ...], **changes: Any) -> State:
            voters = (*state.voters[:j], voter, *state.voters[j + 1 :])
            disks = (*state.disks[:j], disk, *state.disks[j + 1 :])
            return replace(state, voters=voters, disks=disks, flying=flying, **changes)

        states = [successor(voter, disk, in_flight)]
        asks, kills, duplicates, releases = state.left
        if stored_tokens and kills:  # killed between storing the token and sending the answer
            disk, flying = (disk, rest) if self.parts.stores_first else (state.disks[j], in_flight)
            path = (*state.path, "killed within")
            left = (asks, kills - 1, duplicates, releases)
            states.append(successor(self._restart_voter(state, j, disk), disk, flying, path=path, left=left))
        return states

    def _restart_voter(self, state: State, j: int, highest: int) -> Voter:
        voter = self._make_voter(state.now, highest, quiet=True)
        voter.name = VOTERS[j]
        return voter

    def _request(self, claim: Claim, now: float, state: State) -> list[SendRequest]:
        claim.wanted, claim.due_ms = True, now
        return claim.tick(now)

    def _request_with_highest_token(self, claim: Claim, now: float, state: State) -> list[SendRequest]:
        highest = max((task.highest for voter in state.voters for task in voter._tasks.values()), default=0)
        if highest <= claim._highest_token:
            return []
        claim._highest_token = highest
        return self._request(claim, now, state)

    def _release(self, claim: Claim, now: float, state: State) -> list[SendRequest]:
        return claim.release()

    def _add_in_flight(self, flying: tuple[Any, ...], i: int, requests: list[SendRequest]) -> tuple[Any, ...]:
        """Return the messages in flight with the requests of a contender added."""
        added = [(i, VOTERS.index(name), sent.request) for sent in requests for name in sent.to]
        return self._sort_in_flight((*flying, *added))

    def _sort_in_flight(self, flying: tuple[Any, ...]) -> tuple[Any, ...]:
        return tuple(sorted(flying, key=_message_order))

    def _without_stale_answers(self, state: State) -> State:
        """Return the state without in-flight answers that their contenders would ignore."""

        def counts(i: int, message: Any) -> bool:
            request_id = message.request_id
            return request_id.incarnation == state.lives[i] and request_id.number in state.claims[i]._sent

        flying = tuple(
            entry
            for entry in state.flying
            if isinstance(entry[2], Ask | Release) or counts(entry[0], entry[2])
        )
        return state if len(flying) == len(state.flying) else replace(state, flying=flying)

    # Invariants

    def _check_invariants(self, state: State) -> State:
        now = state.now * self._rates[0]
        tokens = [self.parts.may_act(claim, now) for claim in state.claims]
        schedule = f"after {'; '.join(state.path)}"
        if all(token is not None for token in tokens):
            raise InvariantViolated(f"both hold {schedule}")
        for i, token in enumerate(tokens):
            if token is None:
                continue
            self.acts += 1
            last, last_contender, last_incarnation = state.acted
            if token < last or (token == last and (last_contender, last_incarnation) != (i, state.lives[i])):
                raise InvariantViolated(f"token {token} of {CONTENDERS[i]} after {last} {schedule}")
            return replace(state, acted=(token, i, state.lives[i]))
        return state

    def _canonical_key(self, state: State) -> Any:
        contender_now, voter_now = (state.now * rate for rate in self._rates)
        asks = state.left[0]
        claim_keys = []
        for claim in state.claims:
            pending = tuple(
                (number, sent_at)
                for number, sent_at in claim._sent.items()
                if sent_at + TERMS.promise_ms > contender_now
            )
            known = claim._highest_token if asks else 0  # only used by a further request
            claim_keys.append(
                (
                    claim.wanted,
                    claim._released_token,
                    claim._token,
                    claim._requested_token,
                    known,
                    claim._round_number,
                    pending,
                )
            )
        voter_keys = []
        for j, (voter, disk) in enumerate(zip(state.voters, state.disks, strict=True)):
            name = VOTERS[j]
            grants = []
            for claim in state.claims:
                seat_until, token_until = (
                    claim._seat_until_ms.get(name, 0.0),
                    claim._token_until_ms.get(name, 0.0),
                )
                answer = type(claim._answers.get(name)).__name__
                grants.append((max(seat_until, contender_now), max(token_until, contender_now), answer))
            task_keys = []
            for task in voter._tasks.values():
                seat = task.seats.get(0)
                until = max(seat.lease.expires_ms, voter_now) if seat else 0.0
                task_keys.append(
                    (task.highest, seat and (seat.lease.holder, until, seat.token, seat.granted_number))
                )
            flying = [_message_order(message) for message in state.flying if message[1] == j]
            quiet_until = max(voter.quiet_until_ms, voter_now)
            voter_keys.append(repr((disk, grants, quiet_until, task_keys, flying)))
        return (state.now, tuple(claim_keys), tuple(sorted(voter_keys)), state.left, state.acted, state.lives)
