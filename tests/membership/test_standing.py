"""Unit tests of the rules on a paused process."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.interface import Idempotency
from cloverrouter.membership.standing import (
    ALARM_DURATION_S,
    KERNEL_TICK_S,
    PauseCause,
    PauseTracker,
    arrival_bounds,
    deadline_start_s,
)


@pytest.mark.parametrize(
    ("age_s", "is_last_data", "earliest_s", "latest_s"),
    [
        (None, True, 10.0, 13.0),  # the kernel reports no age: anywhere in the gap
        (2.0, True, 11.0 - KERNEL_TICK_S, 11.0),  # it reports one, to within its ticks
        (2.0, False, 10.0, 11.0),  # later bytes arrived after the request
        (2.995, True, 10.0, 10.005),  # never before the gap
        (9.0, True, 10.0, 10.0),
        (0.0, True, 13.0 - KERNEL_TICK_S, 13.0),
    ],
)
def test_arrival_bounds_of_a_request(
    age_s: float | None, is_last_data: bool, earliest_s: float, latest_s: float
) -> None:
    arrival = arrival_bounds(13.0, 10.0, age_s, is_last_data)
    assert arrival == pytest.approx((earliest_s, latest_s))
    for idempotency in (Idempotency.UNSAFE, Idempotency.KEYED, None):
        assert deadline_start_s(idempotency, arrival) == arrival[0]
    assert deadline_start_s(Idempotency.SAFE, arrival) == arrival[1]


@given(
    st.floats(0, 1e6), st.floats(0, 1e5), st.one_of(st.none(), st.floats(0, 1e7)), st.booleans(),
    st.floats(0, 1),
)  # fmt: skip
def test_the_true_arrival_is_within_the_bounds(
    since_s: float, span_s: float, age_s: float | None, is_last_data: bool, position: float
) -> None:
    now_s = since_s + span_s
    earliest_s, latest_s = arrival_bounds(now_s, since_s, age_s, is_last_data)
    assert since_s <= earliest_s <= latest_s <= now_s
    if age_s is None:
        assert earliest_s <= since_s + position * span_s <= latest_s


def test_causes_of_pauses_are_distinguished() -> None:
    tracker = PauseTracker()
    assert tracker.record_gap(0.0, 3.0, 0.01).cause is PauseCause.STOPPED
    assert tracker.record_gap(10.0, 12.0, 1.9).cause is PauseCause.STEP
    causes = [tracker.record_gap(20 + i / 10, 20.09 + i / 10, 0.005).cause for i in range(5)]
    assert causes == [PauseCause.STOPPED] * 2 + [PauseCause.STARVED] * 3
    assert tracker.record_gap(40.0, 41.0, 0.0).cause is PauseCause.STOPPED
    assert tracker.count == 8 and tracker.paused_s == pytest.approx(3 + 2 + 5 * 0.09 + 1)
    assert tracker.longest is not None and tracker.longest.span_s == 3.0


def test_timeouts_during_a_gap_are_distinguished_from_later_ones() -> None:
    tracker = PauseTracker()
    assert not tracker.passed_in_last_gap(5.0)
    tracker.record_gap(4.0, 6.0, 0.0)
    assert (
        tracker.passed_in_last_gap(5.0)
        and not tracker.passed_in_last_gap(6.1)
        and not tracker.passed_in_last_gap(3.9)
    )


def test_long_gaps_raise_an_alarm_for_a_limited_time() -> None:
    tracker = PauseTracker()
    tracker.record_gap(0.0, 0.9, 0.0)
    assert tracker.alarm(1.0) is None
    tracker.record_gap(10.0, 13.0, 0.0)
    tracker.record_gap(14.0, 14.2, 0.0)
    assert tracker.alarm(20.0) == "stood still 3.0 s, 7 s ago (stopped)"
    assert tracker.alarm(13.1 + ALARM_DURATION_S) is None
