"""Randomized test of a pair in simulated time, reproducible from a seed.

There are two members, in some runs a witness, a lossy network and drifting clocks. The invariant: at most one
member accepts work at any time. A lease begins only when an answer arrives, so a check after every event is
enough.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from ipaddress import ip_address
from random import Random
from typing import Any

from cloverrouter.lab.engine import Engine
from cloverrouter.lab.relay import DatagramPath
from cloverrouter.rights import LeaseTerms
from cloverrouter.vrrp.lease import Lease, Release, Request, Voter
from cloverrouter.vrrp.machine import Advertise, ReceivedAdvertisement
from cloverrouter.vrrp.pair import PairAction, PairConfig, PairMember, SendMessage

INTERVAL_CS = 10
TERMS = LeaseTerms(promise_ms=300.0, drift=0.05)
LENGTH_MS = 2600.0  # of a run
CALM_DELAY_MS = 2.0  # of each message in a run without faults
ADDRESSES = {"a": ip_address("127.1.0.1"), "b": ip_address("127.1.0.2")}


@dataclass
class Parts:
    """The implementations under test; a mutation test replaces one of them."""

    lease: Callable[..., Lease] = Lease
    voter: Callable[..., Voter] = Voter
    terms: LeaseTerms = TERMS


class BothAccepting(AssertionError):
    """Both members accept work at the same time; the message names the seed."""


class Clock:
    """A local clock with its own origin, whose rate is within `drift` of true time."""

    def __init__(self, random: Random, drift: float) -> None:
        self.rate = 1 + random.choice((-1.0, 1.0, random.uniform(-1, 1))) * drift
        self.origin = random.uniform(0, 1e6)

    def at(self, true_ms: float) -> float:
        """The local time at a true time."""
        return self.origin + true_ms * self.rate

    def true(self, local_ms: float) -> float:
        """The true time at a local time."""
        return (local_ms - self.origin) / self.rate


def random_link(random: Random, severity: float, frequent_changes: bool) -> DatagramPath:
    """One direction of a link, with bursts of loss and occasional delays much longer than a lease."""
    late_ms, late = (60.0, 0.3) if frequent_changes else (400.0, random.choice((0.0, 0.02, 0.2)) * severity)

    def delay() -> float:
        return random.expovariate(1 / (late_ms if random.random() < late else 3))

    bursts = random.uniform(10, 600), random.uniform(50, 800)
    return DatagramPath(
        random, delay, bursts, random.uniform(0.1, 0.95) * severity, random.choice((0.0, 0.1))
    )


class Node:
    """A witness, and the base class of a member."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.clock = Clock(world.random, TERMS.drift)
        self.paused_until_ms = 0.0
        self.buffer: list[tuple[str, Any]] = []
        self.voter = world.parts.voter(name, world.parts.terms, self.clock.at(0))
        # As after a long uptime: the quiet period after a start is over.
        self.voter._no_grants_until_ms = float("-inf")

    def receive(self, source: str, message: Any) -> None:
        """Handle a message that has arrived."""
        if isinstance(message, Request | Release):
            answer = self.voter.handle(self.clock.at(self.world.now_ms), message)
            if answer is not None:
                self.world.send(self.name, source, answer)

    def restart(self) -> None:
        """Restart with a new voter that has no state."""
        self.buffer.clear()
        self.voter = self.world.parts.voter(
            self.name, self.world.parts.terms, self.clock.at(self.world.now_ms)
        )


class MemberNode(Node):
    """A member; drives the same `PairMember` as a real process."""

    def __init__(self, world: World, name: str, priority: int) -> None:
        super().__init__(world, name)
        self.incarnation = 1
        self.priority = priority
        self._make(quiet=False)

    def _make(self, quiet: bool) -> None:
        parts, peer = self.world.parts, "b" if self.name == "a" else "a"
        address = ADDRESSES[self.name]
        config = PairConfig(
            self.name, peer, self.world.weights, self.priority, INTERVAL_CS, address, terms=parts.terms
        )
        self.pair = PairMember(config, self.incarnation, self.local_ms)
        self.pair.lease = parts.lease(self.name, self.incarnation, self.world.weights, parts.terms)
        self.pair.voter = parts.voter(self.name, parts.terms, self.local_ms)
        if not quiet:
            self.pair.voter._no_grants_until_ms = float("-inf")
        self.timer_version = 0
        self.carry_out(self.pair.start(self.local_ms))

    @property
    def local_ms(self) -> float:
        """The time of its own clock."""
        return self.clock.at(self.world.now_ms)

    def accepting(self) -> bool:
        """Whether it may accept work now. Checks only the lease, as the role can only restrict it further."""
        return self.world.now_ms >= self.paused_until_ms and self.pair.lease.may_accept(self.local_ms)

    def restart(self) -> None:
        self.incarnation += self.world.random.choice((1, 1, -1))  # its source clock may be set back
        self._make(quiet=True)

    def receive(self, source: str, message: Any) -> None:
        if isinstance(message, Advertise):
            message = ReceivedAdvertisement(message.priority, INTERVAL_CS, ADDRESSES[source])
        self.carry_out(self.pair.handle_message(self.local_ms, source, message))

    def carry_out(self, actions: list[PairAction]) -> None:
        """Send the messages and set the member's next timer."""
        for action in actions:
            if isinstance(action, SendMessage):
                self.world.send(self.name, action.target, action.message)
        self.timer_version += 1
        timer_version, due_ms = self.timer_version, self.pair.due_ms()

        def tick() -> None:
            if timer_version == self.timer_version:
                self.carry_out(self.pair.tick(self.local_ms))

        if due_ms is not None:
            self.world.at(max(self.world.now_ms, self.clock.true(due_ms) + 1e-6), self, tick)


class Simulated:
    """A simulated network: nodes by name, links by source and target, one seed, time in ms."""

    def __init__(self, seed: int) -> None:
        self.seed, self.random = seed, Random(seed)
        self.engine = Engine()
        self.nodes: dict[str, Any] = {}
        self.links: dict[tuple[str, str], DatagramPath] = {}

    @property
    def now_ms(self) -> float:
        return self.engine.now

    def at(self, time_ms: float, node: Any, call: Callable[[], None]) -> None:
        """Schedule a call at a time, or after the node's pause; dropped if the node never resumes."""

        def due() -> None:
            if node is not None and node.paused_until_ms == float("inf"):
                return
            if node is not None and self.now_ms < node.paused_until_ms:
                # After a pause, timers and messages are handled in any order.
                self.at(node.paused_until_ms + self.random.random() * 0.01, node, call)
            else:
                call()

        self.engine.post(time_ms - self.now_ms, due)

    def send(self, source: str, target: str, message: Any) -> None:
        """Send a message over the link; one to itself arrives at once."""
        if source == target:
            self.nodes[target].receive(source, message)
            return
        node = self.nodes.get(target)
        if node is not None:
            for wait_ms in self.links[source, target].copy_delays(self.now_ms):
                self.at(self.now_ms + wait_ms, node, lambda: node.receive(source, message))


class World(Simulated):
    """One randomized schedule. `calm`: no faults, no loss, each message takes `CALM_DELAY_MS`."""

    def __init__(self, seed: int, parts: Parts | None = None, calm: bool = False) -> None:
        super().__init__(seed)
        self.parts, random = parts or Parts(), self.random
        self.accepting_count = 0
        witness = random.random() < 0.6
        self.weights = {"a": 1, "b": 1, "w": 1} if witness else {"a": 2, "b": 1}
        severity = 0.0 if calm else random.choice((0.0, 0.5, 1.0))
        # Roles change so often that messages sent in one role arrive two role changes later.
        frequent_changes = not calm and random.random() < 0.25
        self.links = {
            (x, y): random_link(random, severity, frequent_changes)
            for x in ("a", "b", "w")
            for y in ("a", "b", "w")
            if x != y
        }
        for link in self.links.values() if calm else ():
            link.delay = lambda: CALM_DELAY_MS
        equal_priorities = not calm and random.random() < 0.2
        for name, priority in (("a", 200), ("b", 200 if equal_priorities else 100)):
            self.nodes[name] = MemberNode(self, name, priority)
        if witness:
            self.nodes["w"] = Node(self, "w")
        for node in list(self.nodes.values()) if frequent_changes else []:
            if isinstance(node, MemberNode):
                for _ in range(30):
                    change = partial(random.choice((self._change_priority, self._restart_as_owner)), node)
                    self.at(random.uniform(0, LENGTH_MS), node, change)
        if frequent_changes and random.random() < 0.5:
            self.links["a", "b"].cut_until = self.links["b", "a"].cut_until = LENGTH_MS
        for _ in range(0 if calm else random.randrange(6)):
            self.at(random.uniform(0, LENGTH_MS), None, self._fault)

    def _fault(self) -> None:
        random, name = self.random, self.random.choice(list(self.nodes))
        node = self.nodes[name]
        match random.randrange(5):
            case 0:
                node.paused_until_ms = self.now_ms + random.choice((20, 200, 400, 1500)) * random.random()
            case 1:
                node.restart()
            case 2:  # one-way partition
                self.links[random.choice(list(self.links))].cut_until = self.now_ms + random.uniform(50, 1500)
            case 3:  # partition from all others
                for (x, y), link in self.links.items():
                    if name in (x, y):
                        link.cut_until = self.now_ms + random.uniform(50, 1500)
            case 4 if isinstance(node, MemberNode):  # its priority flaps
                for i in range(random.randrange(1, 12)):
                    self.at(
                        self.now_ms + i * random.uniform(5, 200), node, lambda: self._change_priority(node)
                    )

    def _change_priority(self, node: MemberNode) -> None:
        node.priority = self.random.choice((50, 100, 200, 250))
        node.carry_out(node.pair.set_priority(node.local_ms, node.priority))

    def _restart_as_owner(self, node: MemberNode) -> None:
        """Stop it and start it again as the owner of the addresses, which is active at once."""
        stop = self.random.choice((node.pair.stop, node.pair.hand_over))
        node.carry_out(stop(node.local_ms))
        if self.random.random() < 0.5:
            self.at(self.now_ms + self.random.uniform(0, 300), node, partial(self._start_as_owner, node))
            return
        self._start_as_owner(node)

    def _start_as_owner(self, node: MemberNode) -> None:
        node.pair.machine.priority = 255
        node.carry_out(node.pair.start(node.local_ms))

    def run(self) -> World:
        """Raises `BothAccepting`, with the seed, when the invariant is broken."""
        a, b = self.nodes["a"], self.nodes["b"]
        assert isinstance(a, MemberNode) and isinstance(b, MemberNode)
        while self.engine.step(LENGTH_MS):
            if a.accepting():
                self.accepting_count += 1
                if b.accepting():
                    raise BothAccepting(f"seed {self.seed}: both take at {self.now_ms:.3f} ms")
            elif b.accepting():
                self.accepting_count += 1
        return self


def run_range(start: int, stop: int) -> tuple[int, list[str]]:
    """Run the seeds; returns how many runs had a member accept at all, and the violations."""
    accepting_runs, broken = 0, []
    for seed in range(start, stop):
        try:
            accepting_runs += World(seed).run().accepting_count > 0
        except BothAccepting as error:
            broken.append(str(error))
    return accepting_runs, broken
