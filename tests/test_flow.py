"""The pooled limit of many proxies below one attempt: saved time, and growth; in simulated time."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.decide import COVER, FLOW_LEAST, FLOW_SAVED, FLOW_START, ConcurrencyLimit
from cloverrouter.interface import Outcome
from cloverrouter.values import replace
from tests.driver import SAFE, SETTINGS, Driver

MANY_PROXIES = int(COVER) + 1
PROXIES, SERVERS, EXPECTED_MS = 5000, 10.0, 100.0
START = FLOW_START * SERVERS / PROXIES
INTERVAL_MS = EXPECTED_MS / START  # the time that one attempt uses up


def new_limit(proxies: int = PROXIES) -> ConcurrencyLimit:
    limit = ConcurrencyLimit(replace(SETTINGS, proxies=proxies))
    limit.resize(SERVERS)
    return limit


def try_attempt(limit: ConcurrencyLimit, now_ms: float, overload_ratio: float | None = None) -> bool:
    """Run one attempt of the expected latency, if the limit allows it; return whether it did."""
    if not limit.has_capacity(now_ms):
        return False
    limit.in_flight += 1
    limit.record_end(now_ms + EXPECTED_MS, EXPECTED_MS, overload_ratio)
    return True


def test_an_idle_proxy_may_send_a_few_attempts_in_a_row() -> None:
    limit, at_ms = new_limit(), 50_000.0
    served = 0
    while try_attempt(limit, at_ms):
        served += 1
        at_ms += EXPECTED_MS
    assert served == FLOW_SAVED + 1  # more than one, but not all of the time left unused
    # After that it may send one in each interval, until it has been idle for a while.
    assert not try_attempt(limit, at_ms + INTERVAL_MS - 5 * EXPECTED_MS) and try_attempt(
        limit, at_ms + INTERVAL_MS
    )
    at_ms += INTERVAL_MS * (FLOW_SAVED + 2)
    assert [try_attempt(limit, at_ms + i * EXPECTED_MS) for i in range(5)] == [True] * 4 + [False]


@given(st.lists(st.floats(0, 2), min_size=1, max_size=200), st.sampled_from([60, 200, 5000]))
def test_attempts_over_any_time_stay_within_the_limit_and_the_saved_ones(
    gaps: list[float], proxies: int
) -> None:
    limit, at_ms, used = new_limit(proxies), 0.0, 0
    begun_ms: float | None = None
    interval_ms = EXPECTED_MS * proxies / (FLOW_START * SERVERS)
    for gap in gaps:
        at_ms += gap * interval_ms
        if try_attempt(limit, at_ms):
            begun_ms = at_ms if begun_ms is None else begun_ms
            used += 1
            at_ms += EXPECTED_MS
            span_ms = at_ms - begun_ms
            assert used <= FLOW_SAVED + 1 + span_ms / interval_ms + 1e-9


def test_limit_of_a_busy_proxy_grows_and_shrinks_again_under_overload() -> None:
    """It reaches a hundred times the even share within a minute, as long as answers come in time."""
    limit, at_ms, gap_ms = new_limit(), 0.0, INTERVAL_MS / 100
    served = asked = 0
    while at_ms < 120_000:
        sent = try_attempt(limit, at_ms, overload_ratio=0.8)
        if at_ms > 60_000:
            asked, served = asked + 1, served + sent
        at_ms += gap_ms
    assert served == asked and limit.limit <= 1
    limits = []
    for _ in range(40):  # answers are three times as slow as they should be
        at_ms = max(at_ms, limit.closed_until_ms) + 1
        assert try_attempt(limit, at_ms, overload_ratio=3.0)
        limits.append(limit.limit)
    assert limits == sorted(limits, reverse=True) and limits[-1] == pytest.approx(FLOW_LEAST * START)


def test_limit_does_not_grow_without_unmet_demand() -> None:
    limit, at_ms = new_limit(), 0.0
    for _ in range(50):
        assert try_attempt(limit, at_ms, overload_ratio=0.5)
        at_ms += 2 * INTERVAL_MS
    assert limit.limit == START


def test_few_proxies_have_no_pooled_limit() -> None:
    limit = new_limit(proxies=3)
    assert all(try_attempt(limit, float(i)) for i in range(50))


# Retries with many proxies


LONG = replace(SAFE, aim_ms=60_000, deadline_ms=60_000)  # no retry is omitted for lack of time


def new_driver_with_attempts(proxies: int, *outcomes: Outcome) -> tuple[Driver, int]:
    """Return a new driver, and the number of attempts of a request whose attempts end with `outcomes`."""
    driver = Driver(replace(SETTINGS, proxies=proxies, classes=(LONG,)))
    return driver, count_attempts(driver, *outcomes)


def count_attempts(driver: Driver, *outcomes: Outcome) -> int:
    driver.wait(60_000)  # the pauses of failed servers end
    request, _ = driver.request()
    for i, outcome in enumerate(outcomes):
        if len(driver.sent[request]) == i:
            driver.wait(4000)  # a retry waits first
        if len(driver.sent[request]) <= i:
            break
        driver.end(request, outcome)
    driver.wait(4000)
    return len(driver.sent[request])


FAILS = (Outcome.ERROR, Outcome.ERROR, Outcome.ERROR)


def test_with_many_proxies_a_failure_on_two_servers_is_not_retried_on_a_third() -> None:
    driver, count = new_driver_with_attempts(MANY_PROXIES, *FAILS)
    assert count == 2
    # From then on nothing is retried until a request succeeds.
    assert count_attempts(driver, *FAILS) == 1
    assert count_attempts(driver, Outcome.OK) == 1
    assert count_attempts(driver, Outcome.ERROR, Outcome.OK) == 2


def test_few_proxies_retry_up_to_the_attempt_limit() -> None:
    driver, count = new_driver_with_attempts(MANY_PROXIES - 1, *FAILS)
    assert count == 3 and count_attempts(driver, *FAILS) == 3


def test_failure_of_one_server_is_not_a_common_failure() -> None:
    """A request succeeded between the two failures, so the third attempt is made with many proxies, too."""
    driver = Driver(replace(SETTINGS, proxies=MANY_PROXIES, classes=(LONG,)))
    request, _ = driver.request()
    other, _ = driver.request()
    driver.end(request, Outcome.ERROR)
    driver.end(other, Outcome.OK)
    driver.wait(1000)
    assert len(driver.sent[request]) == 2
    driver.end(request, Outcome.ERROR)
    driver.wait(4000)
    assert len(driver.sent[request]) == 3
