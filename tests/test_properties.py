"""Random legal histories: servers that die, hang, restart and drain; clients that leave; kills.

Every action is checked against the rules, from the outside and with books of its own.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.decide import COLD_MARGIN, Balancer
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    Cancel,
    EndpointsListed,
    EndpointState,
    Event,
    Fail,
    Idempotency,
    ListedEndpoint,
    ListKind,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    RepeatScope,
    RequestArrived,
    RequestClass,
    RequestGone,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    TimerFired,
)
from cloverrouter.membership.releases import SHOWN_PART
from cloverrouter.values import replace
from tests.driver import KEYED, SAFE, SETTINGS, UNSAFE, endpoint

GRACE_MS = 20.0
TICK_MS = 5.0
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
CLASSES = (
    SAFE,
    UNSAFE,
    KEYED,
    replace(KEYED, name="cell", repeat_scope=RepeatScope.CELL, repeat_window_ms=1500),
    replace(KEYED, name="everywhere", repeat_scope=RepeatScope.ALL),
    replace(SAFE, name="stream", streamed=True, late_worth=0.5),
)


@dataclass
class Sent:
    server: ListedEndpoint
    at_ms: float
    ends_ms: float
    outcome: Outcome | None = None


@dataclass
class Book:
    cls: RequestClass
    deadline_ms: float
    sent: list[Sent] = field(default_factory=list)
    over: bool = False
    streaming: bool = False


class World:
    """The proxy, its clients and its servers, as far as one balancer can see them."""

    def __init__(self, config: Settings, seed: int) -> None:
        self.random = Random(seed)
        self.config = config
        self.now_ms = 50_000.0
        self.ids = 0
        self.servers = {f"s{i}": endpoint(f"s{i}", "ab"[i % 2], i // 2 % 3) for i in range(6)}
        self.mood = {
            name: self.random.choice(["well", "well", "hung", "failing", "down"]) for name in self.servers
        }
        self.begin()

    def begin(self) -> None:
        self.balancer = Balancer(self.config, self.random.randrange(2**32))
        self.books: dict[int, Book] = {}
        self.came: list[float] = []
        self.most_came = 0
        self.timers: list[tuple[float, int]] = []
        self.probes: list[str] = []
        self.pushes: defaultdict[str, list[float]] = defaultdict(list)
        self.done: defaultdict[str, list[float]] = defaultdict(list)
        self.tell(EndpointsListed(ListKind.RESTORED, tuple(self.servers.values())))

    # What happens

    def tick(self) -> None:
        self.now_ms += TICK_MS
        if self.random.random() < 0.0005:
            self.begin()  # killed: what it held is its clients' again
        if self.random.random() < 0.01:
            self.tell(self.change())
        for request_id, book in list(self.books.items()):
            for number, sent in enumerate(book.sent):
                event = self.progress(request_id, book, number, sent) if sent.outcome is None else None
                if event:
                    self.tell(event)
            if not book.over and self.random.random() < 0.002:
                book.over = True
                self.tell(RequestGone(request_id))
        for timer in [t for t in self.timers if t[0] <= self.now_ms]:
            self.timers.remove(timer)
            self.tell(TimerFired(timer[1]))
        probes, self.probes = self.probes, []
        for name in probes:
            well = self.mood[name] in ("well", "failing")
            self.tell(ProbeEnded(name, Outcome.OK if well else Outcome.TIMEOUT, 2.0, (3.0,)))
        for _ in range(self.random.choice([0, 0, 0, 1, 1, 2])):
            self.ids += 1
            cls = self.random.choice(CLASSES)
            deadline_ms = self.now_ms + cls.deadline_ms * self.random.uniform(0.2, 1.0)
            self.books[self.ids] = Book(cls, deadline_ms)
            self.came.append(self.now_ms)
            since = self.now_ms - self.config.safety.push_window_ms
            self.most_came = max(self.most_came, sum(at > since for at in self.came[-1000:]))
            self.tell(RequestArrived(self.ids, cls.name, deadline_ms, work_hint_ms=100.0))
        self.check_answers()
        over = [i for i, b in self.books.items() if b.over and all(s.outcome for s in b.sent)]
        for request_id in over:
            del self.books[request_id]

    def progress(self, request_id: int, book: Book, number: int, sent: Sent) -> Event | None:
        mood, roll = self.mood[sent.server.name], self.random.random()
        outcome: Outcome | None = None
        if book.streaming:
            outcome = Outcome.OK if roll < 0.1 else Outcome.RESET if roll < 0.11 else None
        elif self.now_ms >= sent.ends_ms:
            outcome = Outcome.TIMEOUT
        elif mood == "down":
            outcome = Outcome.CONNECT_FAILED if roll < 0.1 else None
        elif mood == "failing":
            outcome = (
                self.random.choice([Outcome.ERROR, Outcome.REJECTED, Outcome.RESET]) if roll < 0.3 else None
            )
        elif mood == "well":
            outcome = Outcome.OK if roll < 0.05 else None
            if book.cls.streamed and outcome and not book.over and len(book.sent) == 1:
                book.streaming = True
                return StreamStarted(request_id, number, self.now_ms - sent.at_ms)
        if outcome is None:
            return None
        sent.outcome = outcome
        if outcome is Outcome.OK:
            self.done[sent.server.name].append(self.now_ms)
        answered = book.over or book.streaming or outcome is Outcome.OK
        book.over = answered
        return AttemptEnded(request_id, number, outcome, self.now_ms - sent.at_ms, answered)

    def change(self) -> Event:
        name = self.random.choice(list(self.servers))
        roll = self.random.random()
        if roll < 0.1:
            return EndpointsListed(ListKind.FAILED)
        old = self.servers[name]
        if roll < 0.4:
            new = replace(old, state=self.random.choice([EndpointState.DRAINING, EndpointState.GONE]))
        else:
            started = self.now_ms - self.random.choice([50.0, 1000.0])
            new = replace(old, state=EndpointState.READY, started_ms=started)
            self.mood[name] = self.random.choice(["well", "well", "hung", "failing", "down"])
            self.pushes[name].clear()
            self.done[name].clear()
        self.servers[name] = new
        return EndpointsListed(ListKind.DELTA, (new,))

    # What is done about it

    def tell(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_ms, [event]):
            self.check(action)

    def check(self, action: Action) -> None:
        match action:
            case SetTimer():
                self.timers.append((self.now_ms + max(action.delay_ms, TICK_MS), action.token))
            case Send():
                self.check_send(self.books[action.request_id], action)
            case Fail() | Refuse():
                book = self.books[action.request_id]
                assert not book.over, "a second final answer"
                assert not book.streaming
                book.over = True
                if isinstance(action, Refuse):
                    possible = [s for s in book.sent if s.outcome not in NEVER_RAN]
                    assert not possible or book.cls.idempotency is Idempotency.SAFE
            case Cancel():
                assert self.config.limits.cancel
                sent = self.books[action.request_id].sent[action.attempt]
                if sent.outcome is None:
                    sent.ends_ms = self.now_ms
            case Probe():
                assert self.config.limits.probes
                self.probes.append(action.endpoint)

    def check_send(self, book: Book, action: Send) -> None:
        server = self.servers[action.endpoint]
        assert not book.over, "sent after its end"
        assert not book.streaming
        assert server.state is EndpointState.READY, "sent to a server that drains or is gone"
        assert len(book.sent) < self.config.limits.max_attempts
        assert action.timeout_ms > 0
        out = [s for s in book.sent if s.outcome is None]
        assert not out or self.config.limits.parallel_attempts
        possible = [s for s in book.sent if s.outcome not in NEVER_RAN]
        if possible:
            assert book.cls.idempotency is not Idempotency.UNSAFE, "an effect twice"
        if possible and book.cls.idempotency is Idempotency.KEYED:
            assert self.now_ms < possible[0].at_ms + book.cls.repeat_window_ms
            for earlier in possible:
                if book.cls.repeat_scope is RepeatScope.ZONE:
                    assert earlier.server.zone == server.zone
                if book.cls.repeat_scope is RepeatScope.CELL:
                    assert earlier.server.cell == server.cell and earlier.server.zone == server.zone
        book.sent.append(Sent(server, self.now_ms, min(self.now_ms + action.timeout_ms, book.deadline_ms)))
        self.pushes[server.name].append(self.now_ms)
        self.check_push(server)

    def check_push(self, server: ListedEndpoint) -> None:
        """A cold server gets, in any window, two requests and no more than the rule's multiple of its share
        of what the busiest warm server ever got, or of all that ever came in where that is more; or half the
        multiple of what it ever did in one, with the rule's margin for its share."""
        safety = self.config.safety
        if self.warmth(server) >= 1:
            return
        span = safety.push_window_ms
        sent = sum(at > self.now_ms - span for at in self.pushes[server.name])
        warm = [self.pushes[s.name] for s in self.servers.values() if self.warmth(s) >= 1]
        busiest = max((sum(at - span < b <= at for b in p) for p in warm for at in p), default=0)
        share = max(busiest, self.most_came / len(self.servers))
        done = self.done[server.name]
        shown = max((sum(at - span < b <= at for b in done) for at in done), default=0)
        stated = self.warmth(server) * share
        most = max(stated, (SHOWN_PART + COLD_MARGIN) * max(shown, stated))
        assert sent <= 2 + safety.push_multiple * most, "a cold server pushed"

    def warmth(self, server: ListedEndpoint) -> float:
        if server.started_ms is None:
            return 1.0
        safety = self.config.safety
        age = (self.now_ms - server.started_ms) / safety.cold_ms
        return min(1.0, safety.cold_share + (1 - safety.cold_share) * age)

    def check_answers(self) -> None:
        for book in self.books.values():
            late = self.now_ms > book.deadline_ms + GRACE_MS
            assert book.over or book.streaming or not late, "a request lost"


@settings(derandomize=True, deadline=None, max_examples=25, database=None)
@given(seed=st.integers(0, 2**32), parallel=st.booleans(), probes=st.booleans())
def test_rules_hold_on_random_histories(seed: int, parallel: bool, probes: bool) -> None:
    limits = replace(SETTINGS.limits, parallel_attempts=parallel, probes=probes, cancel=parallel)
    config = replace(SETTINGS, classes=CLASSES, limits=limits, report_fields=("inflight",))
    world = World(config, seed)
    for _ in range(1200):
        world.tick()
    assert world.ids > 100
