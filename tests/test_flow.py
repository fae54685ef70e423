"""The pooled limit of a crowd below one attempt: rests saved, a part sought; in simulated time."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.decide import COVER, FLOW_LEAST, FLOW_SAVED, FLOW_START, Flow
from cloverrouter.interface import Outcome
from cloverrouter.values import replace
from tests.driver import SAFE, SETTINGS, Driver

CROWD = int(COVER) + 1
PROXIES, SERVERS, USUAL_MS = 5000, 10.0, 100.0
START = FLOW_START * SERVERS / PROXIES
PART_MS = USUAL_MS / START  # what one attempt takes up


def flow(proxies: int = PROXIES) -> Flow:
    found = Flow(replace(SETTINGS, proxies=proxies))
    found.resize(SERVERS)
    return found


def use(found: Flow, now_ms: float, strain: float | None = None) -> bool:
    """One attempt of the usual time, if there is room for it."""
    if not found.has_room(now_ms):
        return False
    found.out += 1
    found.ended(now_ms + USUAL_MS, USUAL_MS, strain)
    return True


def test_one_that_asked_for_nothing_may_ask_a_few_times_in_a_row() -> None:
    found, at_ms = flow(), 50_000.0
    served = 0
    while use(found, at_ms):
        served += 1
        at_ms += USUAL_MS
    assert served == FLOW_SAVED + 1  # not one, and not as many as were left out
    # From there on it has one in each part, until it has been quiet for a while.
    assert not use(found, at_ms + PART_MS - 5 * USUAL_MS) and use(found, at_ms + PART_MS)
    at_ms += PART_MS * (FLOW_SAVED + 2)
    assert [use(found, at_ms + i * USUAL_MS) for i in range(5)] == [True] * 4 + [False]


@given(st.lists(st.floats(0, 2), min_size=1, max_size=200), st.sampled_from([60, 200, 5000]))
def test_over_any_time_no_more_is_out_than_the_limit_and_what_was_saved(
    gaps: list[float], proxies: int
) -> None:
    found, at_ms, used = flow(proxies), 0.0, 0
    begun_ms: float | None = None
    part_ms = USUAL_MS * proxies / (FLOW_START * SERVERS)
    for gap in gaps:
        at_ms += gap * part_ms
        if use(found, at_ms):
            begun_ms = at_ms if begun_ms is None else begun_ms
            used += 1
            at_ms += USUAL_MS
            span_ms = at_ms - begun_ms
            assert used <= FLOW_SAVED + 1 + span_ms / part_ms + 1e-9


def test_a_hot_one_seeks_its_part_and_gives_it_back_in_a_jam() -> None:
    """A hundred times its even part, as long as answers come in good time: within a minute it has it."""
    found, at_ms, wanted_ms = flow(), 0.0, PART_MS / 100
    served = asked = 0
    while at_ms < 120_000:
        done = use(found, at_ms, strain=0.8)
        if at_ms > 60_000:
            asked, served = asked + 1, served + done
        at_ms += wanted_ms
    assert served == asked and found.limit <= 1
    limits = []
    for _ in range(40):  # answers are three times as slow as they should be
        at_ms = max(at_ms, found.closed_until_ms) + 1
        assert use(found, at_ms, strain=3.0)
        limits.append(found.limit)
    assert limits == sorted(limits, reverse=True) and limits[-1] == pytest.approx(FLOW_LEAST * START)


def test_one_that_does_not_want_more_seeks_nothing() -> None:
    found, at_ms = flow(), 0.0
    for _ in range(50):
        assert use(found, at_ms, strain=0.5)
        at_ms += 2 * PART_MS
    assert found.limit == START


def test_few_proxies_have_no_pooled_limit() -> None:
    found = flow(proxies=3)
    assert all(use(found, float(i)) for i in range(50))


# Retries of a crowd


LONG = replace(SAFE, aim_ms=60_000, deadline_ms=60_000)  # no retry is left out for want of time


def ended(proxies: int, *outcomes: Outcome) -> tuple[Driver, int]:
    """A request whose attempts end so, one after the other; its driver and how many attempts it got."""
    driver = Driver(replace(SETTINGS, proxies=proxies, classes=(LONG,)))
    return driver, tried(driver, *outcomes)


def tried(driver: Driver, *outcomes: Outcome) -> int:
    driver.wait(60_000)  # pauses of servers that failed are over
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


def test_what_fails_at_two_servers_alike_is_not_tried_at_a_third_by_a_crowd() -> None:
    driver, count = ended(CROWD, *FAILS)
    assert count == 2
    # From there on nothing is repeated until something was served.
    assert tried(driver, *FAILS) == 1
    assert tried(driver, Outcome.OK) == 1
    assert tried(driver, Outcome.ERROR, Outcome.OK) == 2


def test_a_few_proxies_repeat_as_ever() -> None:
    driver, count = ended(CROWD - 1, *FAILS)
    assert count == 3 and tried(driver, *FAILS) == 3


def test_one_servers_fault_is_no_common_one() -> None:
    """Something was served between the two failures: the crowd's third attempt is made."""
    driver = Driver(replace(SETTINGS, proxies=CROWD, classes=(LONG,)))
    request, _ = driver.request()
    other, _ = driver.request()
    driver.end(request, Outcome.ERROR)
    driver.end(other, Outcome.OK)
    driver.wait(1000)
    assert len(driver.sent[request]) == 2
    driver.end(request, Outcome.ERROR)
    driver.wait(4000)
    assert len(driver.sent[request]) == 3
