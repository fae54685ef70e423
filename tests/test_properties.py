"""Property test on random valid event sequences.

Servers fail, hang, restart and drain; clients disconnect; the proxy is killed. Every action is checked
against the rules from the outside, by records of the test's own.
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
    ClientDisconnected,
    EndpointsListed,
    EndpointState,
    Event,
    Fail,
    Idempotency,
    IdempotencyScope,
    ListedEndpoint,
    ListKind,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    TimerFired,
)
from cloverrouter.membership.releases import COMPLETED_WORK_SHARE
from cloverrouter.values import replace
from tests.driver import KEYED, SAFE, SETTINGS, UNSAFE, endpoint

GRACE_MS = 20.0
TICK_MS = 5.0
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
CLASSES = (
    SAFE,
    UNSAFE,
    KEYED,
    replace(KEYED, name="cell", idempotency_scope=IdempotencyScope.CELL, idempotency_window_ms=1500),
    replace(KEYED, name="everywhere", idempotency_scope=IdempotencyScope.ALL),
    replace(SAFE, name="stream", streamed=True, late_worth=0.5),
)


@dataclass
class SentAttempt:
    server: ListedEndpoint
    at_ms: float
    ends_ms: float
    outcome: Outcome | None = None


@dataclass
class RequestRecord:
    cls: RequestClass
    deadline_ms: float
    sent: list[SentAttempt] = field(default_factory=list)
    over: bool = False
    streaming: bool = False


class World:
    """Simulates a proxy, its clients and its servers, as far as one balancer can see them."""

    def __init__(self, config: Settings, seed: int) -> None:
        self.random = Random(seed)
        self.config = config
        self.now_ms = 50_000.0
        self.ids = 0
        self.servers = {f"s{i}": endpoint(f"s{i}", "ab"[i % 2], i // 2 % 3) for i in range(6)}
        self.behavior = {
            name: self.random.choice(["well", "well", "hung", "failing", "down"]) for name in self.servers
        }
        self.start()

    def start(self) -> None:
        self.balancer = Balancer(self.config, self.random.randrange(2**32))
        self.records: dict[int, RequestRecord] = {}
        self.arrivals_ms: list[float] = []
        self.max_arrivals = 0
        self.timers: list[tuple[float, int]] = []
        self.probes: list[str] = []
        self.sent_ms: defaultdict[str, list[float]] = defaultdict(list)
        self.completed_ms: defaultdict[str, list[float]] = defaultdict(list)
        self.dispatch(EndpointsListed(ListKind.RESTORED, tuple(self.servers.values())))

    # Events

    def tick(self) -> None:
        self.now_ms += TICK_MS
        if self.random.random() < 0.0005:
            self.start()  # killed: its requests are lost, and left to the clients
        if self.random.random() < 0.01:
            self.dispatch(self.change())
        for request_id, record in list(self.records.items()):
            for number, sent in enumerate(record.sent):
                event = self.progress(request_id, record, number, sent) if sent.outcome is None else None
                if event:
                    self.dispatch(event)
            if not record.over and self.random.random() < 0.002:
                record.over = True
                self.dispatch(ClientDisconnected(request_id))
        for timer in [t for t in self.timers if t[0] <= self.now_ms]:
            self.timers.remove(timer)
            self.dispatch(TimerFired(timer[1]))
        probes, self.probes = self.probes, []
        for name in probes:
            well = self.behavior[name] in ("well", "failing")
            self.dispatch(ProbeEnded(name, Outcome.OK if well else Outcome.TIMEOUT, 2.0, (3.0,)))
        for _ in range(self.random.choice([0, 0, 0, 1, 1, 2])):
            self.ids += 1
            cls = self.random.choice(CLASSES)
            deadline_ms = self.now_ms + cls.deadline_ms * self.random.uniform(0.2, 1.0)
            self.records[self.ids] = RequestRecord(cls, deadline_ms)
            self.arrivals_ms.append(self.now_ms)
            since = self.now_ms - self.config.safety.overload_window_ms
            self.max_arrivals = max(self.max_arrivals, sum(at > since for at in self.arrivals_ms[-1000:]))
            self.dispatch(RequestArrived(self.ids, cls.name, deadline_ms, work_hint_ms=100.0))
        self.check_answers()
        over = [i for i, b in self.records.items() if b.over and all(s.outcome for s in b.sent)]
        for request_id in over:
            del self.records[request_id]

    def progress(
        self, request_id: int, record: RequestRecord, number: int, sent: SentAttempt
    ) -> Event | None:
        behavior, roll = self.behavior[sent.server.name], self.random.random()
        outcome: Outcome | None = None
        if record.streaming:
            outcome = Outcome.OK if roll < 0.1 else Outcome.RESET if roll < 0.11 else None
        elif self.now_ms >= sent.ends_ms:
            outcome = Outcome.TIMEOUT
        elif behavior == "down":
            outcome = Outcome.CONNECT_FAILED if roll < 0.1 else None
        elif behavior == "failing":
            outcome = (
                self.random.choice([Outcome.ERROR, Outcome.REJECTED, Outcome.RESET]) if roll < 0.3 else None
            )
        elif behavior == "well":
            outcome = Outcome.OK if roll < 0.05 else None
            if record.cls.streamed and outcome and not record.over and len(record.sent) == 1:
                record.streaming = True
                return StreamStarted(request_id, number, self.now_ms - sent.at_ms)
        if outcome is None:
            return None
        sent.outcome = outcome
        if outcome is Outcome.OK:
            self.completed_ms[sent.server.name].append(self.now_ms)
        answered = record.over or record.streaming or outcome is Outcome.OK
        record.over = answered
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
            self.behavior[name] = self.random.choice(["well", "well", "hung", "failing", "down"])
            self.sent_ms[name].clear()
            self.completed_ms[name].clear()
        self.servers[name] = new
        return EndpointsListed(ListKind.DELTA, (new,))

    # Checks of the actions

    def dispatch(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_ms, [event]):
            self.check(action)

    def check(self, action: Action) -> None:
        match action:
            case SetTimer():
                self.timers.append((self.now_ms + max(action.delay_ms, TICK_MS), action.token))
            case Send():
                self.check_send(self.records[action.request_id], action)
            case Fail() | Refuse():
                record = self.records[action.request_id]
                assert not record.over, "a second final answer"
                assert not record.streaming
                record.over = True
                if isinstance(action, Refuse):
                    may_have_run = [s for s in record.sent if s.outcome not in NEVER_RAN]
                    assert not may_have_run or record.cls.idempotency is Idempotency.SAFE
            case Cancel():
                assert self.config.limits.cancel
                sent = self.records[action.request_id].sent[action.attempt]
                if sent.outcome is None:
                    sent.ends_ms = self.now_ms
            case Probe():
                assert self.config.limits.probes
                self.probes.append(action.endpoint)

    def check_send(self, record: RequestRecord, action: Send) -> None:
        server = self.servers[action.endpoint]
        assert not record.over, "sent after its final answer"
        assert not record.streaming
        assert server.state is EndpointState.READY, "sent to a draining or removed server"
        assert len(record.sent) < self.config.limits.max_attempts
        assert action.timeout_ms > 0
        out = [s for s in record.sent if s.outcome is None]
        assert not out or self.config.limits.parallel_attempts
        may_have_run = [s for s in record.sent if s.outcome not in NEVER_RAN]
        if may_have_run:
            assert record.cls.idempotency is not Idempotency.UNSAFE, "an unsafe request ran twice"
        if may_have_run and record.cls.idempotency is Idempotency.KEYED:
            assert self.now_ms < may_have_run[0].at_ms + record.cls.idempotency_window_ms
            for earlier in may_have_run:
                if record.cls.idempotency_scope is IdempotencyScope.ZONE:
                    assert earlier.server.zone == server.zone
                if record.cls.idempotency_scope is IdempotencyScope.CELL:
                    assert earlier.server.cell == server.cell and earlier.server.zone == server.zone
        record.sent.append(
            SentAttempt(server, self.now_ms, min(self.now_ms + action.timeout_ms, record.deadline_ms))
        )
        self.sent_ms[server.name].append(self.now_ms)
        self.check_cold_load(server)

    def check_cold_load(self, server: ListedEndpoint) -> None:
        """Check the load of a cold server in every overload window.

        It gets at most two requests more than the overload multiple of its warm-up share of what the busiest
        warm server ever got, or of all that ever arrived where that is more; or half the multiple of what it
        ever completed in a window, plus the margin for its share.
        """
        safety = self.config.safety
        if self.warmth(server) >= 1:
            return
        window_ms = safety.overload_window_ms
        sent = sum(at > self.now_ms - window_ms for at in self.sent_ms[server.name])
        warm = [self.sent_ms[s.name] for s in self.servers.values() if self.warmth(s) >= 1]
        busiest = max((sum(at - window_ms < b <= at for b in p) for p in warm for at in p), default=0)
        share = max(busiest, self.max_arrivals / len(self.servers))
        completed = self.completed_ms[server.name]
        max_completed = max((sum(at - window_ms < b <= at for b in completed) for at in completed), default=0)
        expected = self.warmth(server) * share
        max_load = max(expected, (COMPLETED_WORK_SHARE + COLD_MARGIN) * max(max_completed, expected))
        assert sent <= 2 + safety.overload_multiple * max_load, "a cold server overloaded"

    def warmth(self, server: ListedEndpoint) -> float:
        if server.started_ms is None:
            return 1.0
        safety = self.config.safety
        age = (self.now_ms - server.started_ms) / safety.cold_ms
        return min(1.0, safety.cold_share + (1 - safety.cold_share) * age)

    def check_answers(self) -> None:
        for record in self.records.values():
            late = self.now_ms > record.deadline_ms + GRACE_MS
            assert record.over or record.streaming or not late, "a request without a final answer"


@settings(derandomize=True, deadline=None, max_examples=25, database=None)
@given(seed=st.integers(0, 2**32), parallel=st.booleans(), probes=st.booleans())
def test_rules_hold_on_random_event_sequences(seed: int, parallel: bool, probes: bool) -> None:
    limits = replace(SETTINGS.limits, parallel_attempts=parallel, probes=probes, cancel=parallel)
    config = replace(SETTINGS, classes=CLASSES, limits=limits, report_fields=("inflight",))
    world = World(config, seed)
    for _ in range(1200):
        world.tick()
    assert world.ids > 100
