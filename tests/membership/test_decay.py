"""Drift towards the mean: stored once for all servers, equal to step-by-step updates of each."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.membership.decay import (
    MAX_SENT_RATIO,
    MIN_SCALE,
    DecayingScore,
    PooledMeans,
    WarmServerRate,
)


@dataclass
class Stepwise:
    """Reference model: a server's values, moved at each step."""

    earned: float
    slowness: float
    drifts: bool = False
    counts: bool = False


def mean(servers: list[Stepwise]) -> tuple[float, float]:
    known = [s for s in servers if s.counts]
    if not known:
        return 1.0, 1.0
    return sum(s.earned for s in known) / len(known), sum(s.slowness for s in known) / len(known)


def step(servers: list[Stepwise], share: float) -> None:
    earned, slowness = mean(servers)
    for s in servers:
        if s.drifts:
            s.earned += share * (earned - s.earned)
            s.slowness += share * (slowness - s.slowness)


ACTS = st.one_of(
    st.tuples(st.just("drift"), st.floats(0.01, 1.0), st.integers(1, 40)),
    st.tuples(st.just("drift"), st.just(0.01), st.just(5000)),  # a minute of steps: the scale restarts
    st.tuples(st.just("judge"), st.integers(0, 4), st.tuples(st.floats(0.0, 1.0), st.floats(0.1, 1e4))),
    st.tuples(st.just("settle"), st.integers(0, 4), st.tuples(st.booleans(), st.booleans())),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(ACTS, max_size=25))
def test_values_equal_the_step_by_step_model(actions: list[tuple[str, float, object]]) -> None:
    pool = PooledMeans()
    kept = [DecayingScore(pool, 1.0, 1.0 + i) for i in range(5)]
    stepped = [Stepwise(1.0, 1.0 + i) for i in range(5)]
    for action, which, argument in actions:
        if action == "drift":
            assert isinstance(argument, int)
            for _ in range(argument):
                pool.drift(which)
                step(stepped, which)
        else:
            assert isinstance(argument, tuple)
            mine, theirs = kept[int(which)], stepped[int(which)]
            if action == "settle":
                mine.set_participation(*argument)
                theirs.drifts, theirs.counts = argument
            else:
                mine.set_values(*argument)
                theirs.earned, theirs.slowness = argument
        assert pool.means() == pytest.approx(mean(stepped), rel=1e-9, abs=1e-9)
    for mine, theirs in zip(kept, stepped, strict=True):
        assert mine.values() == pytest.approx((theirs.earned, theirs.slowness), rel=1e-9, abs=1e-9)


def test_a_server_unused_for_hours_keeps_valid_values() -> None:
    """After hours of steps the scale would underflow to zero, and division by it would lose the values."""
    pool = PooledMeans()
    bad, good = DecayingScore(pool, 0.0, 8.0), DecayingScore(pool, 1.0, 1.0)
    for server in (bad, good):
        server.set_participation(True, True)
    for steps in (1, 100, 20_000, 200_000):  # of 1% each 16 ms: up to an hour
        for _ in range(steps):
            pool.drift(0.01)
        good.set_values(0.9, 1.5)
        assert all(
            0.0 <= earned <= 1.0 and 1.0 <= slow <= 8.0
            for earned, slow in map(DecayingScore.values, (bad, good))
        )
    assert bad.values() == pytest.approx(pool.means(), rel=0.6)
    for _ in range(20_000):
        pool.drift(0.01)
    assert bad.values() == good.values() == pytest.approx(pool.means())


def test_servers_with_equal_values_stay_exactly_equal() -> None:
    """Of two equal scores the first one drawn is chosen: rounding must not make either of them better."""
    pool = PooledMeans()
    servers = [DecayingScore(pool, 1.0, 1.0) for _ in range(3)]
    for server in servers:
        server.set_participation(True, True)
    random = Random(1)
    for _ in range(3000):
        pool.drift(random.uniform(0.01, 0.3))
        if random.random() < 0.3:
            random.choice(servers).set_values(1.0, 1.0)
    assert {server.values() for server in servers} == {(1.0, 1.0)}


@pytest.mark.parametrize("share", [1.0, 0.999999, 1 - MIN_SCALE * 2])
def test_a_drift_by_almost_the_whole_distance_keeps_the_mean(share: float) -> None:
    pool = PooledMeans()
    servers = [DecayingScore(pool, i / 4, 1.0 + i) for i in range(4)]
    for server in servers:
        server.set_participation(True, True)
    before = pool.means()
    pool.drift(share)
    for server in servers:
        assert server.values() == pytest.approx(before, rel=1e-5)
    servers[0].set_values(0.0, 9.0)  # right after it
    assert servers[0].values() == pytest.approx((0.0, 9.0))
    assert servers[1].values() == pytest.approx(before, rel=1e-5)


def test_removed_servers_do_not_count_and_draining_ones_do_not_drift() -> None:
    pool = PooledMeans()
    removed, draining, ready = (DecayingScore(pool, earned, 1.0) for earned in (0.1, 0.4, 0.8))
    for server in (removed, draining, ready):
        server.set_participation(True, True)
    removed.set_participation(False, False)
    draining.set_participation(False, True)
    assert pool.means()[0] == pytest.approx(0.6)
    removed.set_values(0.0, 50.0)  # an attempt in flight ended
    for _ in range(500):
        pool.drift(0.05)
    assert draining.values() == pytest.approx((0.4, 1.0))
    assert ready.values()[0] == pytest.approx(0.4, abs=1e-4)  # it drifts towards the draining one
    assert removed.values() == pytest.approx((0.0, 50.0))


def test_sums_have_no_rounding_error_after_all_servers_were_removed() -> None:
    pool = PooledMeans()
    before = DecayingScore(pool, 1.0, 1.0)
    for i in range(2000):
        server = DecayingScore(pool, 1 / (i + 3), 1e9 / (i + 1))
        server.set_participation(True, True)
        pool.drift(0.3)
        before.set_participation(False, False)
        before = server
    before.set_participation(False, False)
    last = DecayingScore(pool, 0.25, 2.0)
    last.set_participation(True, True)
    assert pool.means() == (0.25, 2.0)


SPAN_MS = 1000.0


def rate_of(with_capacity: int, warm: int, rejected: float) -> float:
    """Rate of a proxy that sends 10 ms of work each 10 ms to one of `warm` servers, of which `with_capacity`
    have a free slot; the share `rejected` of it is rejected 1 ms later."""
    rate = WarmServerRate(SPAN_MS)
    for at_ms in range(0, 5000, 10):
        rate.sent(at_ms, 10.0, with_capacity, warm)
        rate.rejected(at_ms + 1, 10.0 * rejected, warm)
    return rate.per_ms(5000.0)


def test_accepted_work_counts_in_full() -> None:
    assert rate_of(4, 4, 0.0) == pytest.approx(1 / 4, rel=0.05)
    assert rate_of(4, 4, 0.3) == pytest.approx(
        1 / 4, rel=0.05
    )  # a server with capacity would accept some of it


def test_work_rejected_by_full_servers_does_not_raise_the_rate() -> None:
    """Full servers are sent more at once, and cold servers would be sent the same rate."""
    assert rate_of(4, 4, 0.9) == pytest.approx(MAX_SENT_RATIO * 0.1 / 4, rel=0.1)
    assert rate_of(4, 4, 1.0) < 0.01


def test_work_sent_to_few_servers_with_capacity_is_not_the_rate_of_each_warm_server() -> None:
    assert rate_of(1, 8, 0.0) == pytest.approx(MAX_SENT_RATIO / 8, rel=0.05)


def test_the_accepted_rate_is_never_negative() -> None:
    rate = WarmServerRate(SPAN_MS)
    rate.sent(0.0, 10.0, 4, 4)
    rate.rejected(1.0, 10.0, 1)  # the subset has shrunk meanwhile
    assert rate.per_ms(2.0) == 0.0
    rate.span_ms = 500.0
    assert rate.span_ms == 500.0
