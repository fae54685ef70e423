"""The priority follows health, with hysteresis, in simulated time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.vrrp.tracking import COST, FALL_MS, RISE_MS, Fault, Tracking

NONE: frozenset[Fault] = frozenset()
LOST = frozenset({Fault.DISCOVERY})


def test_fault_counts_when_it_has_stood_and_goes_when_it_has_been_away() -> None:
    tracking = Tracking(100)
    assert tracking.look(0, LOST) == 100
    assert tracking.look(FALL_MS - 1, LOST) == 100
    assert tracking.look(FALL_MS, LOST) == 90
    assert tracking.look(FALL_MS + 1, NONE) == 90
    assert tracking.look(FALL_MS + RISE_MS, NONE) == 90
    assert tracking.look(FALL_MS + RISE_MS + 1, NONE) == 100


def test_server_that_freezes_and_thaws_does_not_flap_the_pair() -> None:
    tracking, changes, before = Tracking(100), 0, 100
    for tick in range(600):  # ten minutes, down for three seconds in every six
        down = frozenset({Fault.NO_SERVER}) if tick % 6 < 3 else NONE
        priority = tracking.look(tick * 1000.0, down)
        changes, before = changes + (priority != before), priority
    assert changes == 1 and before == 1  # it is lowered once and stays so


def test_short_faults_change_nothing() -> None:
    tracking = Tracking(100)
    for tick in range(600):
        assert tracking.look(tick * 1000.0, frozenset(Fault) if tick % 2 else NONE) == 100


def test_having_no_server_outweighs_all_else_and_an_owner_is_not_lowered() -> None:
    assert COST[Fault.NO_SERVER] > COST[Fault.DISCOVERY] + COST[Fault.DESCRIPTORS]
    owner, low = Tracking(255), Tracking(50)
    for at in (0.0, FALL_MS):
        owner.look(at, frozenset(Fault))
        low.look(at, frozenset(Fault))
    assert owner.priority == 255 and low.priority == 1


@given(st.lists(st.tuples(st.floats(1, 5000), st.sets(st.sampled_from(list(Fault)))), max_size=60))
def test_each_fault_changes_at_most_once_in_its_time(steps: list[tuple[float, set[Fault]]]) -> None:
    tracking, now_ms = Tracking(200), 0.0
    last: dict[Fault, float] = {}
    counting: set[Fault] = set()
    for wait_ms, faults in steps:
        now_ms += wait_ms
        assert 1 <= tracking.look(now_ms, frozenset(faults)) <= 200
        for fault in counting ^ set(tracking.counting):
            assert now_ms - last.get(fault, float("-inf")) >= FALL_MS
            last[fault] = now_ms
        counting = set(tracking.counting)
