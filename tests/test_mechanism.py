"""The usual path of a request: retry budget, backoff, choice of two servers, deadline."""

from random import Random

import pytest

from cloverrouter.decide import Balancer, RetryBudget, backoff_ms
from cloverrouter.interface import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsListed,
    EndpointState,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)
from cloverrouter.values import replace
from tests.driver import SAFE, SETTINGS, Driver, delta, endpoint, full


def test_budget_starts_full_allows_ten_retries_and_gains_one_token_per_success() -> None:
    budget = RetryBudget()
    assert [budget.spend() for _ in range(11)] == [True] * 10 + [False]
    for _ in range(9):
        budget.earn()
    assert not budget.spend()
    budget.earn()
    assert budget.spend()


def test_budget_never_exceeds_its_capacity() -> None:
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


def test_retry_waits_for_the_backoff_and_goes_to_another_server() -> None:
    driver = Driver()
    request, _ = driver.request()
    driver.end(request, Outcome.ERROR)
    assert driver.wait(99) == []
    assert len(driver.wait(202)) == 1
    first, second = driver.sent[request]
    assert first != second


def test_retry_goes_to_the_same_server_if_it_is_the_only_one() -> None:
    driver = Driver(endpoints=[endpoint("only")])
    request, _ = driver.request()
    driver.end(request, Outcome.RESET)
    driver.wait(301)
    assert driver.sent[request] == ["only", "only"]


def test_request_fails_at_the_attempt_limit() -> None:
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


def test_choice_of_two_prefers_higher_payoff_per_in_flight() -> None:
    driver = Driver(endpoints=[endpoint("good"), endpoint("bad")])
    good = driver.balancer.membership.endpoints["good"]
    bad = driver.balancer.membership.endpoints["bad"]
    good.earned, bad.earned = 0.9, 0.3
    request, _ = driver.request()
    assert driver.sent[request] == ["good"]  # 0.9 against 0.3
    good.in_flight = 3
    request, _ = driver.request()
    assert driver.sent[request] == ["bad"]  # 0.9 / 4 against 0.3


def test_new_server_starts_at_the_mean_of_the_others() -> None:
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    driver.serve(30)
    for name, earned in (("s1", 0.8), ("s2", 0.4)):
        driver.balancer.membership.endpoints[name].earned = earned
    driver.dispatch(delta(endpoint("s3")))
    assert driver.balancer.membership.endpoints["s3"].earned == pytest.approx(0.6)


def test_without_servers_requests_queue_then_are_refused_or_served_by_a_new_server() -> None:
    driver = Driver(endpoints=[])
    lost, actions = driver.request()
    assert actions == []
    assert driver.wait(2000) == [Refuse(lost)]
    saved, _ = driver.request()
    driver.wait(20)
    assert driver.dispatch(full(endpoint("s1"))) == [Send(saved, "s1", 480.0)]


def test_draining_servers_get_no_requests() -> None:
    driver = Driver(endpoints=[endpoint("s1", state=EndpointState.DRAINING)])
    request, actions = driver.request()
    assert actions == [] and driver.wait(2000) == [Refuse(request)]


def test_subscribes_at_start_and_again_after_failure() -> None:
    balancer = Balancer(replace(SETTINGS, subscribe=True), seed=1)
    assert Subscribe() in balancer.handle(0, [full(endpoint("s1"))])
    failed = balancer.handle(10, [EndpointsListed(ListKind.FAILED)])
    timers = [a for a in failed if isinstance(a, SetTimer)]
    assert len(timers) == 1 and timers[0].delay_ms <= SETTINGS.safety.discovery_poll_ms / 4
    assert balancer.handle(10 + timers[0].delay_ms, [TimerFired(timers[0].token)]) == [Subscribe()]


def test_same_events_give_the_same_actions() -> None:
    def run() -> list[object]:
        driver = Driver(seed=42)
        for i in range(40):
            request, _ = driver.request()
            driver.wait(20)
            if request in driver.sent:
                driver.end(request, Outcome.ERROR if i % 3 == 0 else Outcome.OK)
            driver.wait(100)
        return list(driver.log)

    assert run() == run()


def test_events_of_unknown_requests_attempts_and_timers_are_ignored() -> None:
    driver = Driver()
    request, _ = driver.request()
    driver.end(request, Outcome.OK)
    assert driver.dispatch(AttemptEnded(request, 0, Outcome.ERROR, 5)) == []
    assert (
        driver.dispatch(AttemptEnded(999, 0, Outcome.OK, 5), ClientDisconnected(999), TimerFired(12345)) == []
    )
    other, _ = driver.request()
    assert driver.dispatch(AttemptEnded(other, 7, Outcome.OK, -3)) == []


def test_disconnected_client_gets_no_more_actions() -> None:
    driver = Driver()
    request, _ = driver.request()
    driver.dispatch(ClientDisconnected(request))
    assert driver.end(request, Outcome.ERROR) == []
    assert driver.wait(5000) == []
    assert not driver.balancer.requests


def test_invalid_input_raises_value_error_with_the_reason() -> None:
    driver = Driver()
    driver.request()
    with pytest.raises(ValueError, match="arrived twice"):
        driver.dispatch(RequestArrived(1, "safe"))
    driver.now_ms -= 1
    with pytest.raises(ValueError, match="time ran backwards"):
        driver.dispatch()
    with pytest.raises(ValueError, match="aim and deadline"):
        replace(SETTINGS, classes=(replace(SAFE, aim_ms=0),))
    with pytest.raises(ValueError, match="share a name"):
        replace(SETTINGS, classes=(SAFE, SAFE))
    with pytest.raises(ValueError, match="proxies"):
        replace(SETTINGS, proxies=0)


def test_a_deadline_longer_than_that_of_the_class_is_kept() -> None:
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_worth=0.5),)), [endpoint("s1")])
    _, actions = driver.request(deadline_ms=driver.now_ms + 3 * SAFE.deadline_ms)
    assert isinstance(actions[0], Send) and actions[0].timeout_ms == 3 * SAFE.deadline_ms
    lost = Driver(replace(SETTINGS, classes=(replace(SAFE, late_worth=0.5),)), [])
    request, actions = lost.request(deadline_ms=lost.now_ms + 3 * SAFE.deadline_ms)
    assert actions == []
    assert lost.wait(3 * SAFE.deadline_ms) == [Refuse(request)]
