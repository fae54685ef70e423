"""Randomized test of a fleet's task leases in simulated time, reproducible from a seed.

There are contenders and voters with drifting clocks, lossy links that duplicate and reorder messages,
restarts, process pauses and one-way or full partitions.

Safety, checked after every event: a task never has more holders than seats, a seat never has two holders,
and the tokens of successive holders of a seat increase. Liveness, checked at the end: at most `RECOVERY_MS`
after the last fault, a contender holds the task again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from cloverrouter.lab.pairs import Clock, Simulated, random_link
from cloverrouter.leases.claim import Claim, SendRequest
from cloverrouter.leases.voter import Action, PersistToken, SendAnswer, Voter
from cloverrouter.leases.words import Request
from cloverrouter.rights import LeaseTerms

TERMS = LeaseTerms(promise_ms=300.0, drift=0.05)
LENGTH_MS = 1500.0  # of the phase with faults
RECOVERY_MS = 12 * TERMS.promise_ms  # from the last fault until the task must be held again
TASK = "t"


@dataclass
class Parts:
    """The implementations under test; a mutation test replaces one of them."""

    claim: Callable[..., Claim] = Claim
    voter: Callable[..., Voter] = Voter
    terms: LeaseTerms = TERMS
    stores_first: bool = True
    may_act: Callable[[Claim, float], int | None] = lambda claim, now_ms: claim.current_token(now_ms)


class InvariantViolated(AssertionError):
    """A safety or liveness property does not hold; the message names the seed."""


class VoterNode:
    """A voter and its disk. A restart loses everything but the disk."""

    def __init__(self, world: World, name: str, stored: bool) -> None:
        self.world, self.name, self.stored = world, name, stored
        self.clock = Clock(world.random, TERMS.drift)
        self.disk: dict[str, int] = {}
        self.old: dict[str, int] = {}
        self.paused_until_ms = 0.0
        self.voter = self._make(quiet=False)

    def _make(self, quiet: bool) -> Voter:
        now_ms = self.clock.at(self.world.now_ms)
        floor = 0 if self.stored else int(self.world.now_ms)  # wall-clock time in ms
        voter = self.world.parts.voter(self.name, self.world.parts.terms, now_ms, floor, self.disk)
        if not quiet:
            voter.quiet_until_ms = float("-inf")
        return voter

    def restart(self) -> None:
        """Start a new voter from the disk."""
        self.voter = self._make(quiet=True)

    def receive(self, source: str, request: Request) -> None:
        """Handle a request that has arrived."""
        self.carry_out(self.voter.handle(self.clock.at(self.world.now_ms), request))

    def carry_out(self, actions: list[Action]) -> None:
        """Store tokens and send answers. A crash while storing drops the remaining actions."""
        if not self.world.parts.stores_first:
            actions = sorted(actions, key=lambda item: isinstance(item, PersistToken))
        for action in actions:
            if isinstance(action, SendAnswer):
                self.world.send(self.name, action.to, action.answer)
            elif self.stored:
                if self.world.random.random() < self.world.store_crash_share:
                    self.restart()  # crashes between storing the token and sending the grant
                    return
                self.disk[action.task] = action.highest


class Contender:
    """A process that contends for the task, and acts whenever its lease permits."""

    def __init__(self, world: World, name: str, seats: int) -> None:
        self.world, self.name, self.seats = world, name, seats
        self.clock = Clock(world.random, TERMS.drift)
        self.paused_until_ms = 0.0
        self.incarnation = self.timer_version = 0
        self.start()

    @property
    def local_ms(self) -> float:
        """The time of its own clock."""
        return self.clock.at(self.world.now_ms)

    def start(self) -> None:
        """Start a new incarnation that wants the task."""
        self.incarnation += 1
        world = self.world
        self.claim = world.parts.claim(
            self.name, self.incarnation, TASK, self.seats, world.parts.terms, world.random, world.weights
        )
        self.carry_out(self.claim.contend(self.local_ms))

    restart = start

    def receive(self, source: str, answer: Any) -> None:
        """Handle a voter's answer."""
        self.carry_out(self.claim.handle_answer(self.local_ms, answer))

    def give_back(self, hand_over: bool, reclaim_after_ms: float | None) -> None:
        """Release the task, and contend again after `reclaim_after_ms`."""
        self.carry_out(self.claim.release(hand_over))
        if reclaim_after_ms is not None:
            claim = self.claim
            self.world.at(
                self.world.now_ms + reclaim_after_ms,
                self,
                lambda: self.carry_out(claim.contend(self.local_ms)),
            )

    def carry_out(self, requests: list[SendRequest]) -> None:
        """Send the requests and set the claim's next timer."""
        for instruction in requests:
            for voter in instruction.to:
                self.world.send(self.name, voter, instruction.request)
        self.timer_version += 1
        timer_version, due_ms = self.timer_version, self.claim.due_ms

        def tick() -> None:
            if timer_version == self.timer_version:
                self.carry_out(self.claim.tick(self.local_ms))

        if due_ms < float("inf"):
            self.world.at(max(self.world.now_ms, self.clock.true(due_ms) + 1e-6), self, tick)

    def token(self) -> int | None:
        """The token that it may act under now; None while it is paused or holds nothing."""
        if self.world.now_ms < self.paused_until_ms:
            return None
        return self.world.parts.may_act(self.claim, self.local_ms)


Node = VoterNode | Contender


class World(Simulated):
    """One randomized schedule. Arguments that are not None replace random choices."""

    def __init__(
        self,
        seed: int,
        parts: Parts | None = None,
        contenders: int | None = None,
        seats: int | None = None,
        faults: int | None = None,
    ) -> None:
        super().__init__(seed)
        self.parts, random = parts or Parts(), self.random
        self.acts = self.holder_changes = 0
        self.highest: dict[int, tuple[int, str, int]] = {}  # by seat: last token, its holder and incarnation
        self.store_crash_share = random.choice((0.0, 0.1)) if faults is None else 0.0
        voters = [f"v{i}" for i in range(random.choice((3, 3, 5)))]
        self.weights = dict.fromkeys(voters, 1)
        self.seats = seats or random.choice((1, 1, 1, 2))
        severity = random.choice((0.0, 0.5, 1.0)) if faults is None else 0.0
        names = [f"c{i}" for i in range(contenders or random.choice((2, 2, 3, 4)))]
        endpoints = voters + names
        self.links = {
            (x, y): random_link(random, severity, False)
            for x in endpoints
            for y in endpoints
            if (x in voters) != (y in voters)
        }
        stored = random.random() < 0.5
        self.nodes = {name: VoterNode(self, name, stored) for name in voters}
        self.contenders: list[Contender] = []
        for name in names:
            contender = Contender(self, name, self.seats)
            self.nodes[name] = contender
            self.contenders.append(contender)
        if random.random() < 0.3:  # a minority of the voters stops permanently
            for name in voters[len(voters) // 2 + 1 :]:
                self.at(random.uniform(0, LENGTH_MS), None, partial(self._stop_permanently, self.nodes[name]))
        for _ in range(random.randrange(9) if faults is None else faults):
            self.at(random.uniform(0, LENGTH_MS), None, self._fault)

    def _stop_permanently(self, node: Node) -> None:
        node.paused_until_ms = float("inf")

    def _fault(self) -> None:
        random, name = self.random, self.random.choice(list(self.nodes))
        node, span_ms = self.nodes[name], self.random.uniform(50, 1500)
        match random.randrange(7):
            case 0:
                span_ms = random.choice((20, 200, 400, 1500)) * random.random()
                node.paused_until_ms = max(node.paused_until_ms, self.now_ms + span_ms)
            case 1:
                node.restart()
            case 2:  # one-way partition
                self.links[random.choice(list(self.links))].cut_until = self.now_ms + span_ms
            case 3:  # partition from all others
                for endpoints, link in self.links.items():
                    if name in endpoints:
                        link.cut_until = self.now_ms + span_ms
            case 4 if isinstance(node, Contender):
                node.give_back(random.random() < 0.5, random.choice((0.1, 5.0, 300.0)))
            case 5:  # all voters restart
                for other in self.nodes.values():
                    if isinstance(other, VoterNode):
                        other.restart()
            case 6:  # power failure of all nodes
                for other in self.nodes.values():
                    other.restart()

    def check_invariants(self) -> None:
        """Raises `InvariantViolated`, with the seed, if a safety property does not hold."""
        holders: dict[int, str] = {}
        for contender in self.contenders:
            token = contender.token()
            if token is None:
                continue
            seat, name = contender.claim.seat, contender.name
            if seat in holders:
                raise InvariantViolated(
                    f"seed {self.seed}: {holders[seat]} and {name} hold seat {seat} at {self.now_ms:.3f}"
                )
            holders[seat] = name
            self.acts += 1
            last_token, last_holder, incarnation = self.highest.get(seat, (0, "", 0))
            if token < last_token or (
                token == last_token and (last_holder, incarnation) != (name, contender.incarnation)
            ):
                raise InvariantViolated(
                    f"seed {self.seed}: token {token} of {name} after {last_token} of {last_holder} "
                    f"at {self.now_ms:.3f}"
                )
            self.holder_changes += last_holder != name
            self.highest[seat] = (token, name, contender.incarnation)
        if len(holders) > self.seats:
            raise InvariantViolated(f"seed {self.seed}: {len(holders)} hold at {self.now_ms:.3f}")

    def run(self) -> World:
        """Run the faults, then wait for a holder. Raises `InvariantViolated`."""
        while self.engine.step(LENGTH_MS):
            self.check_invariants()
        for link in self.links.values():
            link.cut_until = link.loss = link.duplicate = 0.0
        self.store_crash_share = 0.0
        before = self.acts
        while self.acts == before and self.engine.step(LENGTH_MS + RECOVERY_MS):
            self.check_invariants()
        if self.acts == before:
            raise InvariantViolated(
                f"seed {self.seed}: nobody holds the task {RECOVERY_MS:.0f} ms after the last fault"
            )
        return self


def run_range(start: int, stop: int) -> tuple[int, int, list[str]]:
    """Run the seeds; returns the numbers of acts and of holder changes, and the violations."""
    acts, changes, broken = 0, 0, []
    for seed in range(start, stop):
        try:
            world = World(seed).run()
        except InvariantViolated as error:
            broken.append(str(error))
        else:
            acts, changes = acts + world.acts, changes + world.holder_changes
    return acts, changes, broken
