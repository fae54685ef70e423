"""The drift towards the mean: kept once for all servers, and the same as step by step for each."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.membership.decay import SCALE_LEAST, SENT_MOST, Decaying, Pool, WarmRate


@dataclass
class Stepwise:
    """A server's values, moved at each step, as they are defined."""

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
    st.tuples(st.just("drift"), st.just(0.01), st.just(5000)),  # a minute of steps: the scale starts anew
    st.tuples(st.just("judge"), st.integers(0, 4), st.tuples(st.floats(0.0, 1.0), st.floats(0.1, 1e4))),
    st.tuples(st.just("settle"), st.integers(0, 4), st.tuples(st.booleans(), st.booleans())),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(ACTS, max_size=25))
def test_what_is_read_is_what_every_step_would_have_made_of_it(acts: list[tuple[str, float, object]]) -> None:
    pool = Pool()
    kept = [Decaying(pool, 1.0, 1.0 + i) for i in range(5)]
    stepped = [Stepwise(1.0, 1.0 + i) for i in range(5)]
    for act, which, told in acts:
        if act == "drift":
            assert isinstance(told, int)
            for _ in range(told):
                pool.drift(which)
                step(stepped, which)
        else:
            assert isinstance(told, tuple)
            mine, theirs = kept[int(which)], stepped[int(which)]
            if act == "settle":
                mine.settle(*told)
                theirs.drifts, theirs.counts = told
            else:
                mine.put(*told)
                theirs.earned, theirs.slowness = told
        assert pool.means() == pytest.approx(mean(stepped), rel=1e-9, abs=1e-9)
    for mine, theirs in zip(kept, stepped, strict=True):
        assert mine.values() == pytest.approx((theirs.earned, theirs.slowness), rel=1e-9, abs=1e-9)


def test_a_server_unused_for_hours_then_drawn_is_as_the_steps_leave_it() -> None:
    """Danger: the scale of hours of steps is zero, and what is divided by it is lost."""
    pool = Pool()
    bad, good = Decaying(pool, 0.0, 8.0), Decaying(pool, 1.0, 1.0)
    for server in (bad, good):
        server.settle(True, True)
    for steps in (1, 100, 20_000, 200_000):  # of 1% each 16 ms: up to an hour
        for _ in range(steps):
            pool.drift(0.01)
        good.put(0.9, 1.5)
        assert all(
            0.0 <= earned <= 1.0 and 1.0 <= slow <= 8.0 for earned, slow in map(Decaying.values, (bad, good))
        )
    assert bad.values() == pytest.approx(pool.means(), rel=0.6)
    for _ in range(20_000):
        pool.drift(0.01)
    assert bad.values() == good.values() == pytest.approx(pool.means())


def test_servers_that_are_alike_stay_exactly_alike() -> None:
    """Of two that score the same the first drawn is taken: rounding must not make one of them better."""
    pool = Pool()
    servers = [Decaying(pool, 1.0, 1.0) for _ in range(3)]
    for server in servers:
        server.settle(True, True)
    random = Random(1)
    for _ in range(3000):
        pool.drift(random.uniform(0.01, 0.3))
        if random.random() < 0.3:
            random.choice(servers).put(1.0, 1.0)
    assert {server.values() for server in servers} == {(1.0, 1.0)}


@pytest.mark.parametrize("share", [1.0, 0.999999, 1 - SCALE_LEAST * 2])
def test_a_stall_as_long_as_the_memory_leaves_the_mean_alone(share: float) -> None:
    pool = Pool()
    servers = [Decaying(pool, i / 4, 1.0 + i) for i in range(4)]
    for server in servers:
        server.settle(True, True)
    before = pool.means()
    pool.drift(share)
    for server in servers:
        assert server.values() == pytest.approx(before, rel=1e-5)
    servers[0].put(0.0, 9.0)  # right after it
    assert servers[0].values() == pytest.approx((0.0, 9.0))
    assert servers[1].values() == pytest.approx(before, rel=1e-5)


def test_who_is_gone_counts_no_more_and_who_drains_stands_still() -> None:
    pool = Pool()
    gone, drains, stays = (Decaying(pool, earned, 1.0) for earned in (0.1, 0.4, 0.8))
    for server in (gone, drains, stays):
        server.settle(True, True)
    gone.settle(False, False)
    drains.settle(False, True)
    assert pool.means()[0] == pytest.approx(0.6)
    gone.put(0.0, 50.0)  # an attempt that was out there ended
    for _ in range(500):
        pool.drift(0.05)
    assert drains.values() == pytest.approx((0.4, 1.0))
    assert stays.values()[0] == pytest.approx(0.4, abs=1e-4)  # it draws near the other
    assert gone.values() == pytest.approx((0.0, 50.0))


def test_nothing_is_left_over_of_sums_that_all_have_left() -> None:
    pool = Pool()
    before = Decaying(pool, 1.0, 1.0)
    for i in range(2000):
        server = Decaying(pool, 1 / (i + 3), 1e9 / (i + 1))
        server.settle(True, True)
        pool.drift(0.3)
        before.settle(False, False)
        before = server
    before.settle(False, False)
    last = Decaying(pool, 0.25, 2.0)
    last.settle(True, True)
    assert pool.means() == (0.25, 2.0)


SPAN_MS = 1000.0


def rate_of(with_room: int, warm: int, turned_away: float) -> float:
    """Of a proxy that sends 10 ms of work each 10 ms to one of `with_room` servers out of `warm` ones; the
    part `turned_away` of it is turned away 1 ms later."""
    rate = WarmRate(SPAN_MS)
    for at_ms in range(0, 5000, 10):
        rate.sent(at_ms, 10.0, with_room, warm)
        rate.turned_away(at_ms + 1, 10.0 * turned_away, warm)
    return rate.per_ms(5000.0)


def test_work_that_is_taken_counts_whole() -> None:
    assert rate_of(4, 4, 0.0) == pytest.approx(1 / 4, rel=0.05)
    assert rate_of(4, 4, 0.3) == pytest.approx(1 / 4, rel=0.05)  # some would be taken by one with room


def test_what_full_servers_turn_away_does_not_raise_the_rate() -> None:
    """Danger: they are sent more at once, and cold servers would be sent as much as that."""
    assert rate_of(4, 4, 0.9) == pytest.approx(SENT_MOST * 0.1 / 4, rel=0.1)
    assert rate_of(4, 4, 1.0) < 0.01


def test_what_few_with_room_are_sent_is_not_what_each_warm_server_can_do() -> None:
    assert rate_of(1, 8, 0.0) == pytest.approx(SENT_MOST / 8, rel=0.05)


def test_what_was_taken_never_falls_below_nothing() -> None:
    rate = WarmRate(SPAN_MS)
    rate.sent(0.0, 10.0, 4, 4)
    rate.turned_away(1.0, 10.0, 1)  # the window has become smaller meanwhile
    assert rate.per_ms(2.0) == 0.0
    rate.span_ms = 500.0
    assert rate.span_ms == 500.0
