"""The ordinary path: budget, backoff, two draws, deadline."""

from random import Random

import pytest

from cloverrouter.decide import Balancer, RetryBudget, backoff_ms
from cloverrouter.interface import (
    AttemptEnded,
    EndpointsListed,
    EndpointState,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestGone,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)
from cloverrouter.values import replace
from tests.driver import SAFE, SETTINGS, Driver, delta, endpoint, full


def test_budget_starts_full_pays_ten_retries_and_earns_one_a_success() -> None:
    budget = RetryBudget()
    assert [budget.spend() for _ in range(11)] == [True] * 10 + [False]
    for _ in range(9):
        budget.earn()
    assert not budget.spend()
    budget.earn()
    assert budget.spend()


def test_budget_never_holds_more_than_its_capacity() -> None:
    budget = RetryBudget()
    for _ in range(50):
        budget.earn()
    assert sum(budget.spend() for _ in range(20)) == 10


def test_backoff_is_decorrelated_jitter() -> None:
    random = Random(3)
    waits = [backoff_ms(100, random) for _ in range(1000)]
    assert 100 <= min(waits) < 110 and 290 < max(waits) <= 300
    later = [backoff_ms(1000, random) for _ in range(1000)]
    assert 100 <= min(later) < 150 and 2900 < max(later) <= 3000
    assert max(backoff_ms(1e9, random) for _ in range(10)) == 30_000


def test_retry_waits_by_the_jitter_and_goes_elsewhere() -> None:
    driver = Driver()
    request, _ = driver.request()
    driver.end(request, Outcome.ERROR)
    assert driver.wait(99) == []
    assert len(driver.wait(202)) == 1
    first, second = driver.sent[request]
    assert first != second


def test_retry_with_nowhere_else_goes_back() -> None:
    driver = Driver(endpoints=[endpoint("only")])
    request, _ = driver.request()
    driver.end(request, Outcome.RESET)
    driver.wait(301)
    assert driver.sent[request] == ["only", "only"]


def test_attempt_limit_ends_it() -> None:
    driver = Driver(replace(SETTINGS, limits=replace(SETTINGS.limits, max_attempts=2)))
    request, _ = driver.request()
    driver.end(request, Outcome.ERROR)
    driver.wait(301)
    assert driver.end(request, Outcome.ERROR) == [Fail(request)]


def test_empty_budget_skips_the_retry() -> None:
    driver = Driver()
    driver.balancer.budget.tokens = 9.5
    request, _ = driver.request()
    assert driver.end(request, Outcome.ERROR) == [Fail(request)]
    assert driver.balancer.budget.tokens == 9.5


def test_no_retry_closer_than_the_margin_to_the_deadline() -> None:
    driver = Driver()
    request, _ = driver.request(deadline_ms=driver.now_ms + 1000)
    driver.wait(955)
    assert driver.end(request, Outcome.ERROR) == [Fail(request)]


def test_unsafe_and_unknown_classes_get_one_attempt() -> None:
    for class_name in ("unsafe", "never heard of"):
        driver = Driver()
        request, actions = driver.request(class_name)
        assert isinstance(actions[0], Send)
        assert driver.end(request, Outcome.ERROR) == [Fail(request)]


def test_gives_up_with_refuse_if_no_attempt_ran() -> None:
    driver = Driver()
    request, _ = driver.request("unsafe")
    assert driver.end(request, Outcome.REJECTED) == [Refuse(request)]


def test_expired_on_arrival_is_refused_unsent() -> None:
    driver = Driver()
    request, actions = driver.request(deadline_ms=driver.now_ms - 5)
    assert actions == [Refuse(request)]


def test_two_draws_prefer_higher_payoff_over_in_flight() -> None:
    driver = Driver(endpoints=[endpoint("good"), endpoint("bad")])
    good = driver.balancer.membership.endpoints["good"]
    bad = driver.balancer.membership.endpoints["bad"]
    good.earned, bad.earned = 0.9, 0.3
    request, _ = driver.request()
    assert driver.sent[request] == ["good"]  # 0.9 against 0.3
    good.in_flight = 3
    request, _ = driver.request()
    assert driver.sent[request] == ["bad"]  # 0.9 / 4 against 0.3


def test_new_server_starts_at_the_others_mean() -> None:
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    driver.serve(30)
    for name, earned in (("s1", 0.8), ("s2", 0.4)):
        driver.balancer.membership.endpoints[name].earned = earned
    driver.tell(delta(endpoint("s3")))
    assert driver.balancer.membership.endpoints["s3"].earned == pytest.approx(0.6)


def test_no_server_holds_then_refuses_and_a_server_in_time_serves() -> None:
    driver = Driver(endpoints=[])
    lost, actions = driver.request()
    assert actions == []
    assert driver.wait(2000) == [Refuse(lost)]
    saved, _ = driver.request()
    driver.wait(20)
    assert driver.tell(full(endpoint("s1"))) == [Send(saved, "s1", 480.0)]


def test_draining_servers_count_as_none() -> None:
    driver = Driver(endpoints=[endpoint("s1", state=EndpointState.DRAINING)])
    request, actions = driver.request()
    assert actions == [] and driver.wait(2000) == [Refuse(request)]


def test_subscribes_at_start_and_again_after_failure() -> None:
    balancer = Balancer(replace(SETTINGS, subscribe=True), seed=1)
    assert Subscribe() in balancer.handle(0, [full(endpoint("s1"))])
    failed = balancer.handle(10, [EndpointsListed(ListKind.FAILED)])
    timers = [a for a in failed if isinstance(a, SetTimer)]
    assert len(timers) == 1 and timers[0].delay_ms <= SETTINGS.safety.must_ask_ms / 4
    assert balancer.handle(10 + timers[0].delay_ms, [TimerFired(timers[0].token)]) == [Subscribe()]


def test_same_events_same_actions() -> None:
    def play() -> list[object]:
        driver = Driver(seed=42)
        for i in range(40):
            request, _ = driver.request()
            driver.wait(20)
            if request in driver.sent:
                driver.end(request, Outcome.ERROR if i % 3 == 0 else Outcome.OK)
            driver.wait(100)
        return list(driver.log)

    assert play() == play()


def test_news_of_what_is_no_longer_held_is_ignored() -> None:
    driver = Driver()
    request, _ = driver.request()
    driver.end(request, Outcome.OK)
    assert driver.tell(AttemptEnded(request, 0, Outcome.ERROR, 5)) == []
    assert driver.tell(AttemptEnded(999, 0, Outcome.OK, 5), RequestGone(999), TimerFired(12345)) == []
    other, _ = driver.request()
    assert driver.tell(AttemptEnded(other, 7, Outcome.OK, -3)) == []


def test_client_that_left_gets_nothing_more() -> None:
    driver = Driver()
    request, _ = driver.request()
    driver.tell(RequestGone(request))
    assert driver.end(request, Outcome.ERROR) == []
    assert driver.wait(5000) == []
    assert not driver.balancer.requests


def test_misuse_raises_value_error_with_the_reason() -> None:
    driver = Driver()
    driver.request()
    with pytest.raises(ValueError, match="arrived twice"):
        driver.tell(RequestArrived(1, "safe"))
    driver.now_ms -= 1
    with pytest.raises(ValueError, match="time ran backwards"):
        driver.tell()
    with pytest.raises(ValueError, match="aim and deadline"):
        replace(SETTINGS, classes=(replace(SAFE, aim_ms=0),))
    with pytest.raises(ValueError, match="share a name"):
        replace(SETTINGS, classes=(SAFE, SAFE))
    with pytest.raises(ValueError, match="proxies"):
        replace(SETTINGS, proxies=0)


def test_a_deadline_beyond_the_classs_is_kept_as_told() -> None:
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_worth=0.5),)), [endpoint("s1")])
    _, actions = driver.request(deadline_ms=driver.now_ms + 3 * SAFE.deadline_ms)
    assert isinstance(actions[0], Send) and actions[0].timeout_ms == 3 * SAFE.deadline_ms
    lost = Driver(replace(SETTINGS, classes=(replace(SAFE, late_worth=0.5),)), [])
    request, actions = lost.request(deadline_ms=lost.now_ms + 3 * SAFE.deadline_ms)
    assert actions == []
    assert lost.wait(3 * SAFE.deadline_ms) == [Refuse(request)]
