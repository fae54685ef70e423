"""Every schedule of a small world of leases, up to a bound: two contenders, three voters, one seat.

A step is one of these: a contender asks, or gives back what it has, and any of the voters hear it at once,
and any of their answers are heard at once; a message that was left under way comes (so it may be overtaken,
late or lost) and may stay there (doubled); a process is killed and started, a voter also between its storing
and its answer; time goes on. A contender may have learned of the highest token from earlier denials, or not.
Clocks run at the ends of the drift. States that differ only in which voter is which are one. All schedules of
so many steps are looked at, the shortest first.
"""

from __future__ import annotations

from collections.abc import Iterator
from copy import copy
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from cloverrouter.lab.claims import TASK, Broken, Parts
from cloverrouter.leases.claim import Claim, Say
from cloverrouter.leases.voter import Keep, Tell, Voter
from cloverrouter.leases.words import Ask, Release
from cloverrouter.rights import Terms

# A promise is over within one tick of the world, at either end of the drift, and not before.
TERMS = Terms(promise_ms=1.0, drift=0.2)
NAMES, VOTERS = ("a", "b"), ("u", "v", "w")
SLOW, FAST = 1 - TERMS.drift, 1 + TERMS.drift
WEIGHTS = dict.fromkeys(VOTERS, 1)


@dataclass(frozen=True)
class Bounds:
    """How often each may happen in one schedule."""

    ticks: int = 1
    asks: int = 2  # of both contenders
    kills: int = 1
    doubles: int = 0
    gives: int = 0  # back
    states: int = 60_000


@dataclass(frozen=True)
class State:
    now: int
    claims: tuple[Claim, ...]
    lives: tuple[int, ...]
    voters: tuple[Voter, ...]
    disks: tuple[int, ...]  # the highest token that each has stored
    flying: tuple[tuple[int, int, Any], ...]  # contender, voter, message
    left: tuple[int, int, int, int]  # asks, kills, doubles, gives
    acted: tuple[int, int, int]  # the last token, and who named it in which life
    path: tuple[str, ...] = ()


def _claim_of(one: Claim) -> Claim:
    other = copy(one)
    for name, value in vars(one).items():
        if isinstance(value, dict):
            setattr(other, name, dict(value))
    return other


def _voter_of(one: Voter) -> Voter:
    other = copy(one)
    other._tasks = {}
    for name, task in one._tasks.items():
        mine = other._tasks[name] = copy(task)
        mine.waiting = dict(task.waiting)
        mine.seats = {}
        for number, seat in task.seats.items():
            mine.seats[number] = copy(seat)
            mine.seats[number].promise = copy(seat.promise)
    return other


def _order(one: tuple[int, int, Any]) -> tuple[Any, ...]:
    i, j, message = one
    told = getattr(message, "token", 0), getattr(message, "highest", 0)
    return i, j, type(message).__name__, message.stamp.life, message.stamp.number, *told


class Search:
    """`contenders`, `voters`: how fast their clocks run; `stored`: do voters keep their tokens?"""

    def __init__(
        self,
        parts: Parts,
        bounds: Bounds,
        contenders: float = SLOW,
        voters: float = FAST,
        stored: bool = True,
    ) -> None:
        self.parts, self.bounds, self.stored = parts, bounds, stored
        self._rates = contenders, voters
        self.states = self.acts = 0
        self.depth = 0  # every schedule of so many events was looked at
        self.closed = False  # and there are no longer ones within the bounds

    def _voter(self, state_now: int, highest: int, quiet: bool) -> Voter:
        now = state_now * self._rates[1]
        floor = 0 if self.stored else state_now * 10
        voter = self.parts.voter("", self._terms, now, floor, {TASK: highest} if highest else {})
        if not quiet:
            voter.quiet_until_ms = float("-inf")
        # Who has to wait for its turn does less.
        voter._turn = lambda now_ms, task, ask: True  # type: ignore[method-assign]
        return voter

    @property
    def _terms(self) -> Terms:
        return type(self.parts.terms)(TERMS.promise_ms, TERMS.drift)

    def _claim(self, index: int, life: int) -> Claim:
        claim = self.parts.claim(NAMES[index], life, TASK, 1, self._terms, Random(0), WEIGHTS)
        claim.wanted = True
        return claim

    def start(self) -> State:
        voters = []
        for name in VOTERS:
            voter = self._voter(0, 0, quiet=False)
            voter.name = name
            voters.append(voter)
        bounds = self.bounds
        left = (bounds.asks, bounds.kills, bounds.doubles, bounds.gives)
        claims = tuple(self._claim(i, 1) for i in range(2))
        return State(0, claims, (1, 1), tuple(voters), (0, 0, 0), (), left, (0, -1, 0))

    def run(self) -> Search:
        """Raises `Broken` with the way there. Breadth first, so the way is a shortest one."""
        seen: set[Any] = set()
        edge = [self.start()]
        while edge:
            ahead: list[State] = []
            for state in edge:
                for following in self._next(state):
                    looked = self._look(self._heard_of(following))
                    key = self._key(looked)
                    if key not in seen:
                        seen.add(key)
                        ahead.append(looked)
                self.states = len(seen)
                if self.states > self.bounds.states:
                    return self
            edge = ahead
            self.depth += 1
        self.closed = True
        return self

    # What may happen

    def _next(self, state: State) -> Iterator[State]:
        asks, kills, doubles, gives = state.left
        contender_now = state.now * self._rates[0]

        def then(what: str, **changes: Any) -> State:
            return replace(state, path=(*state.path, what), **changes)

        if state.now < self.bounds.ticks:
            yield then("tick", now=state.now + 1)
        for i, claim in enumerate(state.claims):
            for what, call, many, left in (
                ("asks", self._ask, asks, (asks - 1, kills, doubles, gives)),
                ("asks, knowing all", self._ask_high, asks, (asks - 1, kills, doubles, gives)),
                ("gives back", self._give, gives, (asks, kills, doubles, gives - 1)),
            ):
                if many and not (what == "gives back" and not claim._asked):
                    mine = _claim_of(claim)
                    said = call(mine, contender_now, state)
                    claims = (*state.claims[:i], mine, *state.claims[i + 1 :])
                    flying = self._flying(state.flying, i, said)
                    said_now = then(f"{NAMES[i]} {what}", claims=claims, flying=flying, left=left)
                    fresh = [(i, VOTERS.index(name), one.request) for one in said for name in one.to]
                    yield from self._spread(said_now, fresh)
            if kills and claim._number:
                life = state.lives[i] + 1
                claims = (*state.claims[:i], self._claim(i, life), *state.claims[i + 1 :])
                lives = (*state.lives[:i], life, *state.lives[i + 1 :])
                yield then(
                    f"{NAMES[i]} killed", claims=claims, lives=lives, left=(asks, kills - 1, doubles, gives)
                )
        for j, voter in enumerate(state.voters):
            if kills and voter._tasks:
                anew = self._restarted(state, j, state.disks[j])
                voters = (*state.voters[:j], anew, *state.voters[j + 1 :])
                yield then(f"{VOTERS[j]} killed", voters=voters, left=(asks, kills - 1, doubles, gives))
        for place, one in enumerate(state.flying):
            if place and state.flying[place - 1] == one:
                continue
            rest = state.flying[:place] + state.flying[place + 1 :]
            yield from self._delivered(state, place, rest)
            if doubles:
                again = replace(state, left=(asks, kills, doubles - 1, gives))
                yield from self._delivered(again, place, state.flying)

    def _spread(self, state: State, fresh: list[Any]) -> list[State]:
        """What was said just now comes at once to any of the voters, and their answers to who asked."""
        found = [state]
        for one in fresh:
            for before in list(found):
                place = before.flying.index(one)
                rest = before.flying[:place] + before.flying[place + 1 :]
                for after in self._delivered(before, place, rest):
                    found.append(after)
                    answers = [new for new in after.flying if new[:2] == one[:2] and new not in before.flying]
                    for new in answers:
                        place = after.flying.index(new)
                        rest = after.flying[:place] + after.flying[place + 1 :]
                        found.extend(self._delivered(after, place, rest))
        return found

    def _delivered(self, state: State, place: int, rest: tuple[Any, ...]) -> list[State]:
        """The message at that place comes; `rest` is then under way."""
        i, j, message = state.flying[place]
        path = (*state.path, f"{type(message).__name__} {NAMES[i]} {VOTERS[j]}")
        if isinstance(message, Ask | Release):
            return self._at_voter(replace(state, path=path), rest, i, j, message)
        claim = _claim_of(state.claims[i])
        said = claim.heard(state.now * self._rates[0], message)
        claims = (*state.claims[:i], claim, *state.claims[i + 1 :])
        return [replace(state, path=path, claims=claims, flying=self._flying(rest, i, said))]

    def _at_voter(self, state: State, rest: tuple[Any, ...], i: int, j: int, message: Any) -> list[State]:
        voter = _voter_of(state.voters[j])
        out = voter.handle(state.now * self._rates[1], message)
        keeps = [one.highest for one in out if isinstance(one, Keep)]
        answers = [(NAMES.index(one.to), j, one.answer) for one in out if isinstance(one, Tell)]
        later = self._sorted((*rest, *answers))
        disk = keeps[-1] if keeps and self.stored else state.disks[j]

        def then(voter: Voter, disk: int, flying: tuple[Any, ...], **changes: Any) -> State:
            voters = (*state.voters[:j], voter, *state.voters[j + 1 :])
            disks = (*state.disks[:j], disk, *state.disks[j + 1 :])
            return replace(state, voters=voters, disks=disks, flying=flying, **changes)

        found = [then(voter, disk, later)]
        asks, kills, doubles, gives = state.left
        if keeps and kills:  # killed between the two
            disk, flying = (disk, rest) if self.parts.stores_first else (state.disks[j], later)
            path = (*state.path, "killed within")
            left = (asks, kills - 1, doubles, gives)
            found.append(then(self._restarted(state, j, disk), disk, flying, path=path, left=left))
        return found

    def _restarted(self, state: State, j: int, highest: int) -> Voter:
        voter = self._voter(state.now, highest, quiet=True)
        voter.name = VOTERS[j]
        return voter

    def _ask(self, claim: Claim, now: float, state: State) -> list[Say]:
        claim.wanted, claim.due_ms = True, now
        return claim.tick(now)

    def _ask_high(self, claim: Claim, now: float, state: State) -> list[Say]:
        highest = max((task.highest for voter in state.voters for task in voter._tasks.values()), default=0)
        if highest <= claim._highest:
            return []
        claim._highest = highest
        return self._ask(claim, now, state)

    def _give(self, claim: Claim, now: float, state: State) -> list[Say]:
        return claim.give_back()

    def _flying(self, flying: tuple[Any, ...], i: int, said: list[Say]) -> tuple[Any, ...]:
        more = [(i, VOTERS.index(name), one.request) for one in said for name in one.to]
        return self._sorted((*flying, *more))

    def _sorted(self, flying: tuple[Any, ...]) -> tuple[Any, ...]:
        return tuple(sorted(flying, key=_order))

    def _heard_of(self, state: State) -> State:
        """Without answers that nobody counts any more."""

        def counts(i: int, message: Any) -> bool:
            stamp = message.stamp
            return stamp.life == state.lives[i] and stamp.number in state.claims[i]._sent

        flying = tuple(
            one for one in state.flying if isinstance(one[2], Ask | Release) or counts(one[0], one[2])
        )
        return state if len(flying) == len(state.flying) else replace(state, flying=flying)

    # What must hold

    def _look(self, state: State) -> State:
        now = state.now * self._rates[0]
        tokens = [self.parts.may_act(claim, now) for claim in state.claims]
        told = f"after {'; '.join(state.path)}"
        if all(token is not None for token in tokens):
            raise Broken(f"both hold {told}")
        for i, token in enumerate(tokens):
            if token is None:
                continue
            self.acts += 1
            last, by, life = state.acted
            if token < last or (token == last and (by, life) != (i, state.lives[i])):
                raise Broken(f"token {token} of {NAMES[i]} after {last} {told}")
            return replace(state, acted=(token, i, state.lives[i]))
        return state

    def _key(self, state: State) -> Any:
        contender_now, voter_now = (state.now * rate for rate in self._rates)
        asks = state.left[0]
        whole = []
        for claim in state.claims:
            sent = tuple((n, at) for n, at in claim._sent.items() if at + TERMS.promise_ms > contender_now)
            known = claim._highest if asks else 0  # of use for another request only
            whole.append((claim.wanted, claim._gone, claim._token, claim._asked, known, claim._round, sent))
        parts = []
        for j, (voter, disk) in enumerate(zip(state.voters, state.disks, strict=True)):
            name = VOTERS[j]
            mine = []
            for claim in state.claims:
                ends, under = claim._ends.get(name, 0.0), claim._under.get(name, 0.0)
                answer = type(claim._answers.get(name)).__name__
                mine.append((max(ends, contender_now), max(under, contender_now), answer))
            tasks = []
            for task in voter._tasks.values():
                seat = task.seats.get(0)
                until = max(seat.promise.until_ms, voter_now) if seat else 0.0
                tasks.append((task.highest, seat and (seat.promise.to, until, seat.token, seat.number)))
            flying = [_order(one) for one in state.flying if one[1] == j]
            quiet = max(voter.quiet_until_ms, voter_now)
            parts.append(repr((disk, mine, quiet, tasks, flying)))
        return (state.now, tuple(whole), tuple(sorted(parts)), state.left, state.acted, state.lives)
