"""A fleet's leases in simulated time, from one seed: contenders, voters, clocks that drift, networks that
lose, double and overtake, restarts, stalls, cuts each way.

What is checked after every event: never more holders of a task than it has room for, never two of one seat,
and tokens that never go back: who acts later on a seat has the higher token. And at the end, in time: some
time after the last fault the task is held again, if anybody wants it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from cloverrouter.lab.pairs import Clock, Simulated, way
from cloverrouter.leases.claim import Claim, Say
from cloverrouter.leases.voter import Keep, Out, Tell, Voter
from cloverrouter.leases.words import Request
from cloverrouter.rights import Terms

TERMS = Terms(promise_ms=300.0, drift=0.05)
LENGTH_MS = 1500.0  # of the faults
SETTLES_MS = 12 * TERMS.promise_ms  # after the last of them somebody holds again
TASK = "t"


@dataclass
class Parts:
    """What they are made of; a mutation puts another in a place."""

    claim: Callable[..., Claim] = Claim
    voter: Callable[..., Voter] = Voter
    terms: Terms = TERMS
    stores_first: bool = True
    may_act: Callable[[Claim, float], int | None] = lambda claim, now_ms: claim.may_act(now_ms)


class Broken(AssertionError):
    pass


class VoterNode:
    """A voter and its disk; a restart loses all but that, and may find an old copy of it."""

    def __init__(self, world: World, name: str, stored: bool) -> None:
        self.world, self.name, self.stored = world, name, stored
        self.clock = Clock(world.random, TERMS.drift)
        self.disk: dict[str, int] = {}
        self.old: dict[str, int] = {}
        self.paused_until_ms = 0.0
        self.voter = self._make(quiet=False)

    def _make(self, quiet: bool) -> Voter:
        now_ms = self.clock.at(self.world.now_ms)
        floor = 0 if self.stored else int(self.world.now_ms)  # the time of day in ms
        voter = self.world.parts.voter(self.name, self.world.parts.terms, now_ms, floor, self.disk)
        if not quiet:
            voter.quiet_until_ms = float("-inf")
        return voter

    def restart(self) -> None:
        self.voter = self._make(quiet=True)

    def receive(self, source: str, request: Request) -> None:
        self.carry_out(self.voter.handle(self.clock.at(self.world.now_ms), request))

    def carry_out(self, out: list[Out]) -> None:
        if not self.world.parts.stores_first:
            out = sorted(out, key=lambda one: isinstance(one, Keep))
        for action in out:
            if isinstance(action, Tell):
                self.world.send(self.name, action.to, action.answer)
            elif self.stored:
                if self.world.random.random() < self.world.crash_at_store:
                    self.restart()  # between the two
                    return
                self.disk[action.task] = action.highest


class Contender:
    """A process that wants the task; it acts whenever it may."""

    def __init__(self, world: World, name: str, room: int) -> None:
        self.world, self.name, self.room = world, name, room
        self.clock = Clock(world.random, TERMS.drift)
        self.paused_until_ms = 0.0
        self.life = self.version = 0
        self.start()

    @property
    def local(self) -> float:
        return self.clock.at(self.world.now_ms)

    def start(self) -> None:
        self.life += 1
        world = self.world
        self.claim = world.parts.claim(
            self.name, self.life, TASK, self.room, world.parts.terms, world.random, world.weights
        )
        self.carry_out(self.claim.want(self.local))

    restart = start

    def receive(self, source: str, answer: Any) -> None:
        self.carry_out(self.claim.heard(self.local, answer))

    def give_back(self, hand_over: bool, again_ms: float | None) -> None:
        self.carry_out(self.claim.give_back(hand_over))
        if again_ms is not None:
            claim = self.claim
            self.world.at(self.world.now_ms + again_ms, self, lambda: self.carry_out(claim.want(self.local)))

    def carry_out(self, said: list[Say]) -> None:
        for one in said:
            for voter in one.to:
                self.world.send(self.name, voter, one.request)
        self.version += 1
        version, due_ms = self.version, self.claim.due_ms

        def tick() -> None:
            if version == self.version:
                self.carry_out(self.claim.tick(self.local))

        if due_ms < float("inf"):
            self.world.at(max(self.world.now_ms, self.clock.true(due_ms) + 1e-6), self, tick)

    def token(self) -> int | None:
        if self.world.now_ms < self.paused_until_ms:
            return None
        return self.world.parts.may_act(self.claim, self.local)


Node = VoterNode | Contender


class World(Simulated):
    def __init__(
        self,
        seed: int,
        parts: Parts | None = None,
        contenders: int | None = None,
        room: int | None = None,
        faults: int | None = None,
    ) -> None:
        super().__init__(seed)
        self.parts, random = parts or Parts(), self.random
        self.acts = self.changes = 0
        self.highest: dict[int, tuple[int, str, int]] = {}  # by seat: the last token, and who acted under it
        self.crash_at_store = random.choice((0.0, 0.1)) if faults is None else 0.0
        voters = [f"v{i}" for i in range(random.choice((3, 3, 5)))]
        self.weights = dict.fromkeys(voters, 1)
        self.room = room or random.choice((1, 1, 1, 2))
        harsh = random.choice((0.0, 0.5, 1.0)) if faults is None else 0.0
        names = [f"c{i}" for i in range(contenders or random.choice((2, 2, 3, 4)))]
        ends = voters + names
        self.links = {
            (x, y): way(random, harsh, False) for x in ends for y in ends if (x in voters) != (y in voters)
        }
        stored = random.random() < 0.5
        self.nodes = {name: VoterNode(self, name, stored) for name in voters}
        self.contenders: list[Contender] = []
        for name in names:
            contender = Contender(self, name, self.room)
            self.nodes[name] = contender
            self.contenders.append(contender)
        if random.random() < 0.3:  # fewer than half are gone, for good
            for name in voters[len(voters) // 2 + 1 :]:
                self.at(random.uniform(0, LENGTH_MS), None, partial(self._gone, self.nodes[name]))
        for _ in range(random.randrange(9) if faults is None else faults):
            self.at(random.uniform(0, LENGTH_MS), None, self._fault)

    def _gone(self, node: Node) -> None:
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
            case 2:  # one way
                self.links[random.choice(list(self.links))].cut_until = self.now_ms + span_ms
            case 3:
                for ends, link in self.links.items():
                    if name in ends:
                        link.cut_until = self.now_ms + span_ms
            case 4 if isinstance(node, Contender):
                node.give_back(random.random() < 0.5, random.choice((0.1, 5.0, 300.0)))
            case 5:  # all voters at once
                for other in self.nodes.values():
                    if isinstance(other, VoterNode):
                        other.restart()
            case 6:  # the power of all
                for other in self.nodes.values():
                    other.restart()

    def look(self) -> None:
        """Raises `Broken`, with the seed."""
        holders: dict[int, str] = {}
        for contender in self.contenders:
            token = contender.token()
            if token is None:
                continue
            seat, name = contender.claim.seat, contender.name
            if seat in holders:
                raise Broken(
                    f"seed {self.seed}: {holders[seat]} and {name} hold seat {seat} at {self.now_ms:.3f}"
                )
            holders[seat] = name
            self.acts += 1
            last, by, life = self.highest.get(seat, (0, "", 0))
            if token < last or (token == last and (by, life) != (name, contender.life)):
                raise Broken(
                    f"seed {self.seed}: token {token} of {name} after {last} of {by} at {self.now_ms:.3f}"
                )
            self.changes += by != name
            self.highest[seat] = (token, name, contender.life)
        if len(holders) > self.room:
            raise Broken(f"seed {self.seed}: {len(holders)} hold at {self.now_ms:.3f}")

    def run(self) -> World:
        while self.engine.step(LENGTH_MS):
            self.look()
        for link in self.links.values():
            link.cut_until = link.loss = link.double = 0.0
        self.crash_at_store = 0.0
        before = self.acts
        while self.acts == before and self.engine.step(LENGTH_MS + SETTLES_MS):
            self.look()
        if self.acts == before:
            raise Broken(f"seed {self.seed}: nobody holds the task {SETTLES_MS:.0f} ms after the last fault")
        return self


def run_range(start: int, stop: int) -> tuple[int, int, list[str]]:
    """Acts, changes of holder, and what was broken."""
    acts, changes, broken = 0, 0, []
    for seed in range(start, stop):
        try:
            world = World(seed).run()
        except Broken as error:
            broken.append(str(error))
        else:
            acts, changes = acts + world.acts, changes + world.changes
    return acts, changes, broken
