"""Health tracking lowers the priority with hysteresis; in simulated time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.vrrp.tracking import FALL_MS, PRIORITY_PENALTY, RISE_MS, Fault, PriorityTracker

NO_FAULTS: frozenset[Fault] = frozenset()
DISCOVERY_FAULT = frozenset({Fault.DISCOVERY})


def test_fault_counts_after_fall_ms_and_stops_after_rise_ms() -> None:
    tracker = PriorityTracker(100)
    assert tracker.update(0, DISCOVERY_FAULT) == 100
    assert tracker.update(FALL_MS - 1, DISCOVERY_FAULT) == 100
    assert tracker.update(FALL_MS, DISCOVERY_FAULT) == 90
    assert tracker.update(FALL_MS + 1, NO_FAULTS) == 90
    assert tracker.update(FALL_MS + RISE_MS, NO_FAULTS) == 90
    assert tracker.update(FALL_MS + RISE_MS + 1, NO_FAULTS) == 100


def test_repeatedly_pausing_server_does_not_flap_the_pair() -> None:
    tracker, changes, before = PriorityTracker(100), 0, 100
    for tick in range(600):  # ten minutes, down for three seconds in every six
        down = frozenset({Fault.NO_SERVER}) if tick % 6 < 3 else NO_FAULTS
        priority = tracker.update(tick * 1000.0, down)
        changes, before = changes + (priority != before), priority
    assert changes == 1 and before == 1  # lowered once, and not raised again


def test_short_faults_change_nothing() -> None:
    tracker = PriorityTracker(100)
    for tick in range(600):
        assert tracker.update(tick * 1000.0, frozenset(Fault) if tick % 2 else NO_FAULTS) == 100


def test_no_server_outweighs_all_other_faults_and_an_owner_is_not_lowered() -> None:
    assert (
        PRIORITY_PENALTY[Fault.NO_SERVER]
        > PRIORITY_PENALTY[Fault.DISCOVERY] + PRIORITY_PENALTY[Fault.DESCRIPTORS]
    )
    owner, low = PriorityTracker(255), PriorityTracker(50)
    for now_ms in (0.0, FALL_MS):
        owner.update(now_ms, frozenset(Fault))
        low.update(now_ms, frozenset(Fault))
    assert owner.priority == 255 and low.priority == 1


@given(st.lists(st.tuples(st.floats(1, 5000), st.sets(st.sampled_from(list(Fault)))), max_size=60))
def test_each_fault_changes_at_most_once_in_fall_ms(steps: list[tuple[float, set[Fault]]]) -> None:
    tracker, now_ms = PriorityTracker(200), 0.0
    last: dict[Fault, float] = {}
    counted: set[Fault] = set()
    for wait_ms, faults in steps:
        now_ms += wait_ms
        assert 1 <= tracker.update(now_ms, frozenset(faults)) <= 200
        for fault in counted ^ set(tracker.counted_faults):
            assert now_ms - last.get(fault, float("-inf")) >= FALL_MS
            last[fault] = now_ms
        counted = set(tracker.counted_faults)
