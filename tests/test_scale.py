"""The cost of the decisions depends on what changes and is used, not on the number of known servers.

Work is counted, not timed: as the executed lines of the modules, with few servers and with many. What a
single line does (a sort, a set of all names) counts by its accesses to the order or state of the servers.
"""

from __future__ import annotations

import gc
import sys
import weakref
from collections.abc import Callable
from math import inf, log2
from pathlib import Path
from random import Random
from types import FrameType
from typing import Any

import pytest

import cloverrouter
from cloverrouter.decide import LOOK, Balancer, Endpoint, Membership
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    ConnectionSignal,
    ConnectionSignalObserved,
    EndpointsListed,
    EndpointState,
    Event,
    GiveUpReason,
    Idempotency,
    ListedEndpoint,
    ListKind,
    Outcome,
    ProcessPaused,
    Refuse,
    RequestArrived,
    RequestClass,
    Safety,
    Send,
    Settings,
    SettingsChanged,
    TimerFired,
)
from cloverrouter.membership.rings import WEIGHT_UNITS, ring_key
from cloverrouter.values import replace
from tests.driver import delta, full

FEW, MANY = 64, 4096
# Lines that a doubling of the known servers may add: one step of each search in sorted data.
PER_DOUBLING = 12
READ = RequestClass("read", aim_ms=100, deadline_ms=400, late_worth=0.5, idempotency=Idempotency.SAFE)
ONCE = replace(READ, name="once", idempotency=Idempotency.UNSAFE)
ZONES = "abcd"
GONE, DRAINING, READY = EndpointState.GONE, EndpointState.DRAINING, EndpointState.READY
PACKAGE = Path(cloverrouter.__file__).parent
COUNTED = {str(PACKAGE / "decide.py"), *map(str, (PACKAGE / "membership").glob("*.py"))}


def servers(count: int) -> list[ListedEndpoint]:
    return [ListedEndpoint(f"s{i}", ZONES[i % len(ZONES)], started_ms=0.0) for i in range(count)]


class BalancerRun:
    """A balancer in service, by default one of as many proxies as there are servers."""

    def __init__(
        self, count: int, proxies: int | None = None, listed: list[ListedEndpoint] | None = None
    ) -> None:
        self.listed = servers(count) if listed is None else listed
        safety = Safety(cold_share=0.3, cold_ms=5000)
        settings = Settings((READ, ONCE), "a", proxies or count, number=0, safety=safety)
        self.balancer = Balancer(settings, 1)
        self.now_ms, self.last_id = 1e6, 0
        self.lines = 0
        self.dispatch(EndpointsListed(ListKind.RESTORED, tuple(self.listed)))
        self.balancer.concurrency_limit.limit = 1e6
        for _ in range(40):
            self.serve()

    @property
    def membership(self) -> Membership:
        return self.balancer.membership

    def dispatch(self, *events: Event) -> list[Action]:
        return self.balancer.handle(self.now_ms, events)

    def request(self, name: str = "read") -> list[Action]:
        self.last_id += 1
        return self.dispatch(RequestArrived(self.last_id, name))

    def end(
        self, outcome: Outcome = Outcome.OK, signal: ConnectionSignal | None = None, latency_ms: float = 5.0
    ) -> list[Action]:
        ok = outcome is Outcome.OK
        return self.dispatch(AttemptEnded(self.last_id, 0, outcome, latency_ms, ok, signal=signal))

    def serve(self) -> None:
        self.now_ms += 10
        if any(isinstance(action, Send) for action in self.request()):
            self.now_ms += 5
            self.end()

    def subset(self) -> list[Endpoint]:
        """Return the servers with capacity of its subset."""
        return self.membership.subset(
            self.now_ms, self.balancer._target_subset_size(), self.balancer.ring_position
        )

    def count_lines(self, act: Callable[[], object]) -> int:
        """Return the number of lines of `COUNTED` modules that `act` executes."""
        lines = 0

        def on_line(frame: FrameType, event: str, arg: Any) -> Any:
            nonlocal lines
            lines += event == "line"
            return on_line

        def on_call(frame: FrameType, event: str, arg: Any) -> Any:
            return on_line if frame.f_code.co_filename in COUNTED else None

        before = sys.gettrace()
        sys.settrace(on_call)
        try:
            act()
        finally:
            sys.settrace(before)
        return lines


def tick(run: BalancerRun) -> None:
    run.now_ms += 40
    run.dispatch()


def request(run: BalancerRun) -> None:
    assert any(isinstance(action, Send) for action in run.request())


def answered(run: BalancerRun) -> None:
    run.end()


def connect_refused(run: BalancerRun) -> None:
    run.end(Outcome.CONNECT_FAILED, ConnectionSignal.REFUSED)


def listed_with(**changes: Any) -> Callable[[BalancerRun], None]:
    def change(run: BalancerRun) -> None:
        run.dispatch(delta(replace(run.listed[7], **changes)))

    return change


def removed(run: BalancerRun) -> None:
    run.dispatch(delta(replace(run.listed[7], state=GONE)))


def added(run: BalancerRun) -> None:
    run.dispatch(delta(ListedEndpoint("new", "b", started_ms=run.now_ms)))


def empty_delta(run: BalancerRun) -> None:
    run.dispatch(delta())


def discovery_failed(run: BalancerRun) -> None:
    run.dispatch(EndpointsListed(ListKind.FAILED))


def process_paused(run: BalancerRun) -> None:
    run.now_ms += 3000
    run.dispatch(ProcessPaused())


def settings_changed(run: BalancerRun) -> None:
    run.dispatch(SettingsChanged(replace(run.balancer.settings, classes=(READ,))))


def signal_refused(run: BalancerRun) -> None:
    run.dispatch(ConnectionSignalObserved("s7", ConnectionSignal.REFUSED))


def signal_accepted(run: BalancerRun) -> None:
    run.dispatch(ConnectionSignalObserved("s7", ConnectionSignal.ACCEPTED))


def many_suspected(run: BalancerRun) -> None:
    """More servers than are inspected, and than are cleared at once; one has responded since."""
    for entry in run.listed[: len(run.listed) // 2]:
        run.dispatch(ConnectionSignalObserved(entry.name, ConnectionSignal.REFUSED))
    run.now_ms += 10  # no trial is due yet
    while not any(isinstance(action, Send) and not action.new_connection for action in run.request("once")):
        pass
    run.end()


def subset_full(run: BalancerRun) -> None:
    for e in run.subset():
        e.paused_until_ms = run.now_ms + 5000


def all_full(run: BalancerRun) -> None:
    for e in run.membership.ready:
        e.paused_until_ms = run.now_ms + 5000
    run.request()


def subset_cold(run: BalancerRun) -> None:
    """No server of the subset may be sent anything, so others are inspected."""
    began = [replace(e.listed, started_ms=run.now_ms) for e in run.subset()]
    run.dispatch(delta(*began))
    for e in run.subset():
        e.cold_credit, e.cold_credit_at_ms = 0.0, run.now_ms


def prepared(*acts: Callable[[BalancerRun], None]) -> Callable[[BalancerRun], None]:
    def act(run: BalancerRun) -> None:
        for each in acts:
            each(run)

    return act


def rings_suspected(run: BalancerRun) -> None:
    """Three in four servers of each zone, from the start of the subset on."""
    many_suspected(run)
    for ring, _ in run.membership.rings.zones("a", 0.0, LOOK):
        for e in ring[: 3 * len(ring) // 4]:
            run.dispatch(ConnectionSignalObserved(e.listed.name, ConnectionSignal.REFUSED))


def connect_timed_out(run: BalancerRun) -> None:
    run.dispatch(ConnectionSignalObserved("s7", ConnectionSignal.CONNECT_TIMEOUT))
    run.now_ms += 10
    assert any(isinstance(action, Send) for action in run.request("once"))
    run.end()


def trial(run: BalancerRun) -> None:
    (sent,) = [action for action in run.request() if isinstance(action, Send)]
    assert sent.new_connection


def later(run: BalancerRun) -> None:
    run.now_ms += 600
    run.dispatch()


CALM = {
    "a tick": (prepared(), tick),
    "a request": (prepared(), request),
    "an answer": (prepared(request), answered),
    "a failure": (prepared(request), connect_refused),
    "a drain": (prepared(), listed_with(state=DRAINING)),
    "a drain undone": (prepared(listed_with(state=DRAINING)), listed_with()),
    "a new process": (prepared(), listed_with(started_ms=5e5)),
    "another weight": (prepared(), listed_with(weight=3.0)),
    "another zone": (prepared(), listed_with(zone="d")),
    "a server removed": (prepared(), removed),
    "a server added": (prepared(), added),
    "an empty delta": (prepared(), empty_delta),
    "discovery lost": (prepared(), discovery_failed),
    "a process pause": (prepared(request), process_paused),
    "other settings": (prepared(request), settings_changed),
    "a signal against a server": (prepared(), signal_refused),
    "a suspicion cleared": (prepared(signal_refused), signal_accepted),
    "a request with a suspected server": (prepared(signal_refused, tick), request),
    "a trial of a suspected server": (prepared(connect_timed_out, later), trial),
}


@pytest.mark.parametrize("name", CALM)
def test_work_is_the_same_with_few_and_many_servers(name: str) -> None:
    before, act = CALM[name]
    lines = []
    for count in (FEW, MANY):
        run = BalancerRun(count)
        before(run)
        lines.append(run.count_lines(lambda p=run: act(p)))  # type: ignore[misc]
    assert 0 < lines[1] <= lines[0] + PER_DOUBLING * log2(MANY / FEW), lines


# In these cases up to LOOK servers are inspected: a larger number of known servers is no more work.
HARD = {
    "a request, its subset full": (prepared(subset_full), request),
    "a request, its subset cold": (prepared(subset_cold), lambda run: run.request("once")),
    "a request, all full": (prepared(all_full), lambda run: run.request()),
    "a tick with requests queued": (prepared(all_full), tick),
    "a request, many suspected": (prepared(many_suspected), request),
    "a request, its rings suspected": (prepared(rings_suspected), lambda run: run.request("once")),
    "an answer, many suspected": (prepared(many_suspected, request), answered),
    "a signal, many suspected": (prepared(many_suspected), signal_refused),
}


@pytest.mark.parametrize("name", HARD)
def test_work_is_bounded_where_servers_are_full_cold_or_suspected(name: str) -> None:
    before, act = HARD[name]
    lines = []
    for count in (8 * LOOK, 16 * LOOK):
        run = BalancerRun(count)
        before(run)
        lines.append(run.count_lines(lambda p=run: act(p)))  # type: ignore[misc]
    assert 0 < lines[1] <= lines[0] + PER_DOUBLING, lines


def test_servers_inspected_beyond_suspected_ones_are_limited_over_all_zones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A limit for each of sixteen zones would allow sixteen times as many."""
    run = BalancerRun(0, 1000, [ListedEndpoint(f"s{i}", f"z{i % 16}") for i in range(16 * LOOK)])
    for entry in run.listed[1:]:
        run.dispatch(ConnectionSignalObserved(entry.name, ConnectionSignal.REFUSED))
    inspected: list[Endpoint] = []
    original = Endpoint.has_capacity

    def has_capacity(e: Endpoint, now_ms: float) -> bool:
        inspected.append(e)
        return original(e, now_ms)

    monkeypatch.setattr(Endpoint, "has_capacity", has_capacity)
    run.subset()
    assert LOOK <= len(inspected) <= run.balancer._target_subset_size() + LOOK + 16


def test_subset_of_few_proxies_is_bounded() -> None:
    """Twelve proxies per server would make the subset the whole list where there are fewer proxies."""
    runs = [BalancerRun(count, proxies=3) for count in (2 * LOOK, 16 * LOOK)]
    lines = [run.count_lines(lambda p=run: request(p)) for run in runs]  # type: ignore[misc]
    assert lines[1] <= lines[0] + PER_DOUBLING * 3
    assert len(runs[1].subset()) <= LOOK + len(ZONES)


def test_a_zone_for_each_server_is_no_more_work() -> None:
    lines = []
    for count in (2 * LOOK, 16 * LOOK):
        run = BalancerRun(count, listed=[ListedEndpoint(f"s{i}", f"z{i}") for i in range(count)])
        lines.append(run.count_lines(lambda p=run: request(p)))  # type: ignore[misc]
        lines.append(run.count_lines(lambda p=run: listed_with(weight=2.0)(p)))  # type: ignore[misc]
    assert lines[2] <= lines[0] + PER_DOUBLING * 3 and lines[3] <= lines[1] + PER_DOUBLING * 3


def test_cost_of_frequent_changes_is_independent_of_the_server_count() -> None:
    lines = []
    for count in (FEW, MANY):
        run = BalancerRun(count)

        def burst(p: BalancerRun = run) -> None:
            for i in range(100):
                p.now_ms += 5
                state = DRAINING if i % 2 else READY
                p.dispatch(delta(replace(p.listed[i // 2 % FEW], state=state)))

        lines.append(run.count_lines(burst))
    assert lines[1] <= lines[0] + 100 * PER_DOUBLING * log2(MANY / FEW)


def test_an_unchanged_full_list_takes_one_pass() -> None:
    run = BalancerRun(MANY)
    again = full(*(replace(entry) for entry in run.listed))
    order = [ring for ring, _ in run.membership.rings.zones("a", 0.0, LOOK)]
    lines = run.count_lines(lambda: run.dispatch(again))
    assert lines <= 12 * MANY
    assert all(
        ring is had for (ring, _), had in zip(run.membership.rings.zones("a", 0.0, LOOK), order, strict=True)
    )


def test_an_answer_reviews_only_suspects_added_since_the_last_one() -> None:
    """While a third of the fleet is unavailable, each answer would otherwise check all of it again."""
    run = BalancerRun(MANY)
    run.dispatch(
        *(ConnectionSignalObserved(entry.name, ConnectionSignal.REFUSED) for entry in run.listed[: MANY // 2])
    )
    lines = []
    for _ in range(3):
        while not any(
            isinstance(action, Send) and not action.new_connection for action in run.request("once")
        ):
            pass
        lines.append(run.count_lines(run.end))
    assert lines[0] > MANY // 2 > 1000 > max(lines[1:])


def test_the_only_server_with_capacity_among_thousands_is_found() -> None:
    """With a fixed set of inspected servers, the others would never be found."""
    run = BalancerRun(MANY, proxies=MANY)
    for e in run.membership.ready:
        e.paused_until_ms = run.now_ms + 1e6
    run.membership.endpoints["s2345"].paused_until_ms = 0.0
    tries = 0
    while not any(isinstance(action, Send) for action in run.request("once")):
        tries += 1
        assert tries <= 2 * MANY // LOOK + len(ZONES)


# Incremental state equals state computed from scratch


def assert_consistent(membership: Membership) -> None:
    ready = [e for e in membership.endpoints.values() if e.listed.state is READY]
    assert membership.ready == ready and membership.rings.count == len(ready)
    rings: dict[str, list[Endpoint]] = {}
    for e in sorted(ready, key=lambda e: e.key):
        rings.setdefault(e.listed.zone, []).append(e)
    kept = membership.rings.zones("a", 0.0, 10**6)
    order = [zone for zone in ("a",) if zone in rings] + [zone for zone in rings if zone != "a"]
    assert [ring for ring, _ in kept] == [rings[zone] for zone in order]
    units = {zone: sum(int(e.weight * WEIGHT_UNITS) for e in ring) for zone, ring in rings.items()}
    total = sum(units.values())
    assert membership.rings.weight == total / WEIGHT_UNITS
    assert [share for _, share in kept] == [units[zone] / (total or 1) for zone in order]
    with_outcomes = [e for e in membership.endpoints.values() if e.has_outcomes]
    means = [
        sum(e.values()[i] for e in with_outcomes) / len(with_outcomes) if with_outcomes else 1.0
        for i in (0, 1)
    ]
    assert membership.pooled_means.means() == pytest.approx(means, rel=1e-9)
    suspects = [e for e in ready if e.liveness.has_enough_signals]
    assert membership.suspects.all == suspects and membership.fleet.suspect_count == len(suspects)
    assert membership.fleet.all_suspected is (0 < len(ready) == len(suspects))


@pytest.mark.parametrize("seed", range(4))
def test_incremental_state_equals_state_computed_from_scratch(seed: int) -> None:
    random = Random(seed)
    names = [f"s{i}" for i in range(60)]
    run = BalancerRun(60)
    for step in range(150):
        run.now_ms += random.choice((1.0, 40.0, 3000.0))
        some = random.choices(names, k=random.choice((0, 1, 1, 2, 8, 40)))  # a name may come twice
        entries = []
        for name in some:
            state = random.choice((READY, READY, READY, DRAINING, GONE))
            weight = random.choice((0.0, 0.01, 1.0, 1.7, 100.0))
            started_ms = random.choice((None, 0.0, run.now_ms))
            entries.append(ListedEndpoint(name, random.choice("abcx"), 0, weight, state, started_ms))
        kind = random.choice((ListKind.DELTA,) * 4 + (ListKind.FULL, ListKind.RESTORED, ListKind.FAILED))
        if step % 3 == 0:
            run.dispatch(EndpointsListed(kind, tuple(entries)))
            assert_consistent(run.membership)
        run.dispatch(ConnectionSignalObserved(random.choice(names), random.choice(list(ConnectionSignal))))
        run.last_id += 1
        if any(isinstance(a, Send) for a in run.dispatch(RequestArrived(run.last_id, "once"))):
            run.dispatch(EndpointsListed(ListKind.DELTA, tuple(entries[:1])))
            run.end(
                random.choice((Outcome.OK, Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT)), latency_ms=120.0
            )
        assert_consistent(run.membership)


def test_with_a_full_subset_removed_servers_get_nothing_and_new_ones_do() -> None:
    """The servers to inspect beyond the subset are kept from one request to the next."""
    run = BalancerRun(200, proxies=240)
    subset = run.subset()
    for e in subset:
        e.paused_until_ms = run.now_ms + 5000
    others = {a.endpoint for _ in range(3) for a in run.request("once") if isinstance(a, Send)}
    assert others and not others & {e.listed.name for e in subset}
    for e in run.membership.ready:
        e.limit = 1e6
    run.dispatch(delta(*(replace(run.membership.endpoints[name].listed, state=GONE) for name in others)))
    new = max((f"n{i}" for i in range(200)), key=ring_key)  # the last of its ring
    run.dispatch(delta(ListedEndpoint(new, "b")))
    for e in run.membership.ready:
        e.limit, e.paused_until_ms = 1e6, run.now_ms + (0 if e.listed.name == new else 5000)
    assert not run.subset()
    sent = {a.endpoint for _ in range(3) for a in run.request("once") if isinstance(a, Send)}
    assert sent == {new}


def test_a_new_server_starts_at_the_mean_of_the_remaining_ones() -> None:
    run = BalancerRun(4, proxies=1)
    for e in run.membership.ready:
        for _ in range(30):
            e.record_outcome(0.0 if e.listed.name == "s3" else 0.75, 1.0)
    stay = [entry for entry in run.listed if entry.name != "s3"]
    mean = sum(run.membership.endpoints[entry.name].earned for entry in stay) / 3
    run.dispatch(full(*stay, ListedEndpoint("new", "a")))
    assert run.membership.endpoints["new"].earned == pytest.approx(mean)


def test_score_of_a_draining_server_does_not_decay() -> None:
    run = BalancerRun(4, proxies=1)
    draining, other = (run.membership.endpoints[name] for name in ("s2", "s3"))
    for e in (draining, other):
        for _ in range(10):
            e.record_outcome(0.0, 5.0)
    run.dispatch(delta(replace(draining.listed, state=DRAINING)))
    before = draining.values()
    for _ in range(50):
        tick(run)
    assert draining.values() == before and other.earned > before[0] + 0.1
    run.dispatch(delta(replace(draining.listed, state=READY)))
    for _ in range(50):
        tick(run)
    assert draining.earned > before[0] + 0.1


# Hard cases


def assert_listed(run: BalancerRun, listed: list[ListedEndpoint]) -> None:
    assert_consistent(run.membership)
    assert {name: e.listed for name, e in run.membership.endpoints.items()} == {e.name: e for e in listed}


def test_a_thousand_changes_in_one_answer() -> None:
    run = BalancerRun(MANY)
    listed = {entry.name: entry for entry in run.listed}
    changes = []
    for i in range(1000):
        entry = run.listed[i]
        what = i % 5
        changes.append(
            replace(entry, state=DRAINING) if what == 0
            else replace(entry, state=GONE) if what == 1
            else replace(entry, started_ms=run.now_ms) if what == 2
            else replace(entry, zone="z", weight=0.5) if what == 3
            else ListedEndpoint(f"new{i}", "b", started_ms=run.now_ms)
        )  # fmt: skip
        listed[changes[-1].name] = changes[-1]
    lines = run.count_lines(lambda: run.dispatch(delta(*changes)))
    assert lines <= 120 * len(changes)
    assert_listed(run, [entry for entry in listed.values() if entry.state is not GONE])
    began_left = run.balancer.rollout._changes[-1][1:]
    assert began_left == (400, 400)
    request(run)


def test_all_replaced_in_one_answer() -> None:
    run = BalancerRun(MANY)
    began = [replace(entry, name=f"n{i}", started_ms=run.now_ms) for i, entry in enumerate(run.listed)]
    run.dispatch(full(*began))
    assert_listed(run, began)
    assert run.balancer.rollout.in_progress(run.now_ms)
    sent = [a for a in run.request() if isinstance(a, Send)]
    assert all(a.endpoint.startswith("n") for a in sent)


def test_thousands_to_three_and_back_give_their_memory_back() -> None:
    for kind in (ListKind.FULL, ListKind.DELTA):
        run = BalancerRun(MANY)
        signal_refused(run)
        kept, rest = run.listed[:3], run.listed[3:]
        gone = [weakref.ref(run.membership.endpoints[entry.name]) for entry in rest]
        size = sys.getsizeof(run.membership.endpoints)
        left = kept if kind is ListKind.FULL else [replace(entry, state=GONE) for entry in rest]
        run.dispatch(EndpointsListed(kind, tuple(left)))
        assert_listed(run, kept)
        gc.collect()
        alive = [ref for ref in gone if ref() is not None]
        assert not alive
        assert sys.getsizeof(run.membership.endpoints) < size / 100
        request(run)
        run.end()
        run.dispatch(full(*run.listed))
        assert_listed(run, run.listed)
        request(run)


def test_all_servers_draining_then_removed() -> None:
    run = BalancerRun(MANY)
    run.dispatch(delta(*(replace(entry, state=DRAINING) for entry in run.listed)))
    assert_consistent(run.membership)
    assert not any(isinstance(action, Send) for action in run.request("once"))
    run.now_ms += 500
    timers = list(run.balancer.timers)
    (end,) = [a for token in timers for a in run.dispatch(TimerFired(token)) if isinstance(a, Refuse)]
    assert end.reason is GiveUpReason.NO_SERVER
    run.dispatch(full())
    assert_consistent(run.membership)
    assert run.membership.pooled_means.means() == (1.0, 1.0)
    run.dispatch(full(*run.listed))
    request(run)


def test_other_settings_with_requests_in_flight() -> None:
    """Reload by SIGHUP: attempts in flight keep their class, and their outcomes count."""
    run = BalancerRun(MANY)
    request(run)
    known = dict(run.membership.endpoints)
    run.dispatch(SettingsChanged(replace(run.balancer.settings, classes=(replace(READ, deadline_ms=3000),))))
    assert run.membership.endpoints == known
    assert_consistent(run.membership)
    (out,) = run.balancer.requests.values()
    endpoint = out.attempts[0].endpoint
    run.now_ms += 50
    run.end(latency_ms=50.0)
    assert endpoint.has_outcomes and not endpoint.in_flight and not run.balancer.requests
    request(run)


def test_a_server_unused_for_an_hour_then_drawn() -> None:
    """Its score equals that after decaying step by step."""
    run = BalancerRun(FEW)
    bad, good = run.membership.endpoints["s5"], run.membership.endpoints["s6"]
    for _ in range(20):
        bad.record_outcome(0.0, 9.0)
        good.record_outcome(1.0, 1.0)
    stepped = {e: e.values() for e in run.membership.endpoints.values()}
    for i in range(90_000):
        before_ms = run.balancer.last_decay_ms
        run.now_ms += 40
        run.dispatch()
        share = (run.balancer.last_decay_ms - before_ms) / (4 * READ.deadline_ms)
        if i < 1500:  # after that the changes are too small to measure
            with_outcomes = [values for e, values in stepped.items() if e.has_outcomes]
            mean = [sum(v[k] for v in with_outcomes) / len(with_outcomes) for k in (0, 1)]
            stepped = {
                e: (v[0] + share * (mean[0] - v[0]), v[1] + share * (mean[1] - v[1]))
                for e, v in stepped.items()
            }
            assert bad.values() == pytest.approx(stepped[bad], rel=1e-9)
    assert all(e.values() == pytest.approx(stepped[e], rel=1e-6) for e in stepped)
    assert_consistent(run.membership)
    good.record_outcome(0.0, 9.0)
    assert good.values()[0] == pytest.approx(0.8 * stepped[good][0], rel=1e-6)


@pytest.mark.parametrize("step_ms", [3000.0, 1e12])
def test_a_process_pause_and_a_clock_step_between_two_reads(step_ms: float) -> None:
    run = BalancerRun(FEW)
    bad = run.membership.endpoints["s5"]
    for _ in range(20):
        bad.record_outcome(0.0, 9.0)
    mean = run.membership.pooled_means.means()
    request(run)
    run.now_ms += step_ms
    run.dispatch(ProcessPaused())
    assert run.membership.pooled_means.means() == pytest.approx(mean)
    assert bad.values() == pytest.approx(mean)  # longer than the decay time
    run.dispatch()
    run.now_ms += 40
    run.end()
    assert_consistent(run.membership)
    assert all(-inf < value < inf for e in run.membership.ready for value in e.values())


def test_a_process_pause_does_not_make_a_draining_server_unresponsive() -> None:
    run = BalancerRun(4, proxies=1)
    (sent,) = [action for action in run.request("once") if isinstance(action, Send)]
    endpoint = run.membership.endpoints[sent.endpoint]
    run.dispatch(delta(replace(endpoint.listed, state=DRAINING)))
    run.now_ms += 3000
    run.dispatch(ProcessPaused())
    run.dispatch(delta(replace(endpoint.listed, state=READY)))
    assert endpoint.in_flight and endpoint.latency_ms and endpoint.has_capacity(run.now_ms)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.CONNECT_FAILED, Outcome.TIMEOUT])
@pytest.mark.parametrize("back", [False, True])
def test_a_server_removed_with_an_attempt_in_flight(outcome: Outcome, back: bool) -> None:
    """The outcome is that of a server no longer listed, so it is not counted."""
    run = BalancerRun(FEW)
    (sent,) = [a for a in run.request("once") if isinstance(a, Send)]
    endpoint = run.membership.endpoints[sent.endpoint]
    assert endpoint.has_outcomes
    run.dispatch(delta(replace(endpoint.listed, state=GONE)))
    if back:
        run.dispatch(delta(replace(endpoint.listed, started_ms=run.now_ms)))
    means = run.membership.pooled_means.means()
    run.now_ms += 300
    signal = ConnectionSignal.REFUSED if outcome is Outcome.CONNECT_FAILED else None
    run.end(outcome, signal, 300.0)
    assert run.membership.pooled_means.means() == pytest.approx(means)
    assert not run.membership.suspects.all and not endpoint.in_flight
    assert_consistent(run.membership)
    if back:
        assert run.membership.endpoints[sent.endpoint] is not endpoint
    else:
        assert endpoint not in run.subset()


def test_first_outcome_after_removal_does_not_count() -> None:
    run = BalancerRun(4, proxies=1)
    run.dispatch(full(ListedEndpoint("new", "a")))
    (sent,) = [action for action in run.request("once") if isinstance(action, Send)]
    new = run.membership.endpoints[sent.endpoint]
    assert not new.has_outcomes
    run.dispatch(full(*run.listed))
    run.now_ms += 1
    run.end(Outcome.ERROR)
    assert new.has_outcomes and run.membership.pooled_means.means() == (1.0, 1.0)
    assert_consistent(run.membership)


def test_weights_from_a_hundredth_to_a_hundred() -> None:
    """A float sum from which heavy weights were subtracted keeps an error larger than light weights."""
    heavy = [ListedEndpoint(f"h{i}", "b", weight=100.0) for i in range(500)]
    light = [ListedEndpoint(f"l{i}", "a", weight=0.01) for i in range(3)]
    run = BalancerRun(0, proxies=7, listed=heavy + light)
    run.dispatch(delta(*(replace(entry, state=DRAINING) for entry in heavy)))
    assert_consistent(run.membership)
    assert run.membership.rings.weight == pytest.approx(0.03, rel=1e-12)
    assert {e.listed.name for e in run.subset()} == {"l0", "l1", "l2"}
    run.dispatch(delta(*heavy[:1]))
    names = {a.endpoint for _ in range(60) for a in run.request("once") if isinstance(a, Send)}
    assert "h0" in names
