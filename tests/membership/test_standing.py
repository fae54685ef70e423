"""The rules on a process that stood still, by themselves."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.interface import Idempotency
from cloverrouter.membership.standing import (
    ALARM_KEPT_S,
    COARSE_S,
    Cause,
    Standing,
    arrival,
    counted_from,
)


@pytest.mark.parametrize(
    ("age_s", "ends_there", "earliest_s", "latest_s"),
    [
        (None, True, 10.0, 13.0),  # the kernel tells nothing: anywhere in the gap
        (2.0, True, 11.0 - COARSE_S, 11.0),  # it does, to within its ticks
        (2.0, False, 10.0, 11.0),  # bytes behind it came later than it did
        (2.995, True, 10.0, 10.005),  # never before the gap
        (9.0, True, 10.0, 10.0),
        (0.0, True, 13.0 - COARSE_S, 13.0),
    ],
)
def test_when_a_request_came(
    age_s: float | None, ends_there: bool, earliest_s: float, latest_s: float
) -> None:
    came = arrival(13.0, 10.0, age_s, ends_there)
    assert came == pytest.approx((earliest_s, latest_s))
    for effect in (Idempotency.UNSAFE, Idempotency.KEYED, None):
        assert counted_from(effect, came) == came[0]
    assert counted_from(Idempotency.SAFE, came) == came[1]


@given(
    st.floats(0, 1e6), st.floats(0, 1e5), st.one_of(st.none(), st.floats(0, 1e7)), st.booleans(),
    st.floats(0, 1),
)  # fmt: skip
def test_a_request_is_never_taken_to_have_come_later_than_it_may_have(
    since_s: float, span_s: float, age_s: float | None, ends_there: bool, where: float
) -> None:
    now_s = since_s + span_s
    earliest_s, latest_s = arrival(now_s, since_s, age_s, ends_there)
    assert since_s <= earliest_s <= latest_s <= now_s
    if age_s is None:
        assert earliest_s <= since_s + where * span_s <= latest_s


def test_causes_are_told_apart() -> None:
    standing = Standing()
    assert standing.late(0.0, 3.0, 0.01).cause is Cause.STOPPED
    assert standing.late(10.0, 12.0, 1.9).cause is Cause.STEP
    causes = [standing.late(20 + i / 10, 20.09 + i / 10, 0.005).cause for i in range(5)]
    assert causes == [Cause.STOPPED] * 2 + [Cause.STARVED] * 3
    assert standing.late(40.0, 41.0, 0.0).cause is Cause.STOPPED
    assert standing.count == 8 and standing.stood_s == pytest.approx(3 + 2 + 5 * 0.09 + 1)
    assert standing.longest is not None and standing.longest.span_s == 3.0


def test_what_ran_out_meanwhile_is_told_from_what_ran_out_after_it() -> None:
    standing = Standing()
    assert not standing.ran_out(5.0)
    standing.late(4.0, 6.0, 0.0)
    assert standing.ran_out(5.0) and not standing.ran_out(6.1) and not standing.ran_out(3.9)


def test_operators_are_shown_long_gaps_for_a_while() -> None:
    standing = Standing()
    standing.late(0.0, 0.9, 0.0)
    assert standing.alarm(1.0) is None
    standing.late(10.0, 13.0, 0.0)
    standing.late(14.0, 14.2, 0.0)
    assert standing.alarm(20.0) == "stood still 3.0 s, 7 s ago (stopped)"
    assert standing.alarm(13.1 + ALARM_KEPT_S) is None
