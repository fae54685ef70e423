"""Work rates of cold servers, and detection of a rollout."""

from __future__ import annotations

import pytest

from cloverrouter.decide import COLD_MARGIN
from cloverrouter.interface import Log, Outcome, Safety, Settings
from cloverrouter.membership.releases import (
    COMPLETED_WORK_SHARE,
    ROLLOUT_WINDOW_MS,
    SHOWN_SPAN,
    CompletedWorkRate,
    RolloutDetector,
    cold_rate,
)
from tests.driver import SAFE, Driver, delta, endpoint, full


def test_completed_work_decays() -> None:
    completed = CompletedWorkRate(500.0)
    assert completed.per_ms(0.0) == 0
    for at in range(0, 2000, 50):
        completed.add(float(at), 100.0)
    assert completed.per_ms(2000.0) == pytest.approx(2.0, rel=0.15)
    assert completed.per_ms(2600.0) == 0


@pytest.mark.parametrize("multiple", [1.5, 3.0])
@pytest.mark.parametrize("proxies", [1, 3, 40])
def test_all_proxies_together_stay_below_the_overload_multiple(multiple: float, proxies: int) -> None:
    """Each proxy sends what it may, and the server works to its capacity: it is never overloaded."""
    capacity, warm_share, step_ms = 4.0, 4.0, 10.0  # work per ms of a warm server
    warmth, sent, queue = 0.3, 0.0, 0.0
    completed = [CompletedWorkRate(SHOWN_SPAN * 2000) for _ in range(proxies)]
    for step in range(1000):
        now_ms = step * step_ms
        stated = COLD_MARGIN * multiple * warmth * warm_share / proxies
        offered = [step_ms * cold_rate(stated, each.per_ms(now_ms), multiple) for each in completed]
        sent = sum(offered)
        queue += sent
        done = min(queue, capacity * warmth * step_ms)
        queue -= done
        for each in completed:
            each.add(now_ms, done / proxies)
        if step > 100:
            assert (
                sent <= (COMPLETED_WORK_SHARE + COLD_MARGIN) * multiple * warmth * capacity * step_ms * 1.05
            )


@pytest.mark.parametrize(
    ("started", "removed", "fleet", "in_progress"),
    [(1, 1, 4, True), (1, 1, 12, False), (2, 1, 12, True), (3, 0, 9, False), (0, 3, 9, False)],
)
def test_a_rollout_has_starts_and_removals(started: int, removed: int, fleet: int, in_progress: bool) -> None:
    rollout = RolloutDetector()
    rollout.record_changes(0.0, 0, removed, fleet)
    rollout.record_changes(1000.0, started, 0, fleet)
    assert rollout.in_progress(1000.0) is in_progress
    assert not rollout.in_progress(1000.0 + ROLLOUT_WINDOW_MS + 1)


def test_a_cold_server_that_keeps_up_gets_more_than_its_stated_share() -> None:
    """Otherwise a fleet of new servers would leave its cores idle while requests are refused."""

    def sent_in(busy: bool) -> int:
        # One attempt each, and a warm server that got little work: the stated share is almost nothing.
        settings = Settings((SAFE,), safety=Safety(0.1, 60_000, 3, 2000))
        driver = Driver(settings, [endpoint("old")])
        driver.serve(5)
        driver.dispatch(full(endpoint("new", started_ms=driver.now_ms)))
        driver.balancer.membership.endpoints["new"].limit = 50.0
        before = len(driver.sent)
        for _ in range(400):
            request_id, _ = driver.request()
            driver.wait(10)
            if busy and request_id in driver.sent:
                driver.end(request_id, Outcome.OK, 10.0)
        return len([i for i in driver.sent if i > before])

    busy, idle = sent_in(busy=True), sent_in(busy=False)
    assert busy > 35 and idle < 10


@pytest.mark.parametrize(("warm_left", "rollout"), [(False, False), (True, False), (True, True)])
def test_the_warm_rate_does_not_decay_in_a_rollout(warm_left: bool, rollout: bool) -> None:
    """Nor where no warm server is left, whether a rollout was detected or not."""
    settings = Settings((SAFE,), safety=Safety(0.3, 5_000, 3, 2000))
    driver = Driver(settings, [endpoint("old")])
    driver.serve(40)
    balancer = driver.balancer
    before = balancer._warm_server_rate()
    left = [endpoint("old")] if warm_left else []
    for _ in range(20):  # each time a server that has just started and completes nothing
        driver.wait(200)
        driver.dispatch(full(*left, endpoint("new", started_ms=driver.now_ms)))
        balancer.rollout = RolloutDetector()
        if rollout:
            balancer.rollout.record_changes(driver.now_ms, 1, 1, 2)
        balancer._servers_with_capacity()
        now = balancer._warm_server_rate()
    assert before > 0
    assert (now < 0.7 * before) is (warm_left and not rollout)


def test_credit_of_a_cold_server_is_limited_to_half_a_window() -> None:
    """After an idle period the credit of many proxies would be spent on it at one moment."""
    safety = Safety(0.3, 600_000, 3, 2000)
    driver = Driver(Settings((SAFE,), safety=safety), [endpoint("old")])
    driver.serve(100)
    driver.dispatch(full(endpoint("old"), endpoint("new", started_ms=driver.now_ms)))
    balancer, new = driver.balancer, driver.balancer.membership.endpoints["new"]
    request_id, _ = driver.request()
    request = balancer.requests[request_id]
    driver.wait(60_000)
    balancer.now_ms = driver.now_ms
    assert balancer._within_cold_limit(request, new)
    window_work = COLD_MARGIN * 3 * new.warmth(driver.now_ms, safety) * balancer._warm_server_rate() * 2000
    assert request.work < new.cold_credit <= window_work / 2 * 1.01


def test_a_rollout_is_logged_once() -> None:
    driver = Driver()
    logged = []
    for i in range(3):
        driver.wait(500)
        new = endpoint(f"n{i}", started_ms=driver.now_ms - 100)
        logged += [a for a in driver.dispatch(delta(new)) if isinstance(a, Log)]
        logged += [
            a
            for a in driver.dispatch(full(*(endpoint(f"s{k}") for k in range(i + 2, 4)), new))
            if isinstance(a, Log)
        ]
    assert len(logged) == 1 and "replaced" in logged[0].text
