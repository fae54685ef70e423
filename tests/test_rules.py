"""Rules 2 to 4 in the check before each send, and the mechanisms that each prevent a known failure."""

import pytest

from cloverrouter import decide
from cloverrouter.decide import FLOW_SAVED, Balancer
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    ConnectionSignal,
    ConnectionSignalObserved,
    EndpointState,
    Fail,
    IdempotencyScope,
    Outcome,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
)
from cloverrouter.values import replace
from tests.driver import KEYED, SAFE, SETTINGS, UNSAFE, Driver, delta, endpoint, full


def keyed(scope: IdempotencyScope) -> Driver:
    cls = replace(KEYED, idempotency_scope=scope)
    servers = [
        endpoint("a0", "a", 0),
        endpoint("a0'", "a", 0),
        endpoint("a1", "a", 1),
        endpoint("b0", "b", 2),
        endpoint("b1", "b", 3),
    ]
    return Driver(replace(SETTINGS, classes=(cls,)), servers)


@pytest.mark.parametrize(("scope", "same"), [(IdempotencyScope.ZONE, 1), (IdempotencyScope.CELL, 2)])
def test_keyed_retry_stays_among_servers_that_deduplicate_it(scope: IdempotencyScope, same: int) -> None:
    groups = {"a0": "a0", "a0'": "a0", "a1": "a1", "b0": "b2", "b1": "b3"}
    retries = 0
    for seed in range(40):
        driver = keyed(scope)
        driver.balancer.random.seed(seed)
        request, _ = driver.request("keyed")
        driver.end(request, Outcome.ERROR)
        driver.wait(301)
        sent = driver.sent[request]
        retries += len(sent) == 2
        assert len({groups[name][:same] for name in sent}) == 1
    assert retries > 20


def test_keyed_retry_is_skipped_after_the_idempotency_window() -> None:
    driver = keyed(IdempotencyScope.ALL)
    request, _ = driver.request("keyed")
    driver.wait(750)  # a retry now would be sent after the window of 800 ms
    assert driver.end(request, Outcome.ERROR) == [Fail(request)]


def test_keyed_request_that_never_ran_may_go_to_any_server() -> None:
    zones = set()
    for seed in range(40):
        driver = keyed(IdempotencyScope.ZONE)
        driver.balancer.random.seed(seed)
        request, _ = driver.request("keyed")
        driver.end(request, Outcome.REJECTED)
        driver.wait(301)
        zones.add(tuple(name[0] for name in driver.sent[request]))
    assert {("a", "b"), ("b", "a")} & zones


def test_keyed_request_that_may_have_run_is_never_refused() -> None:
    driver = keyed(IdempotencyScope.ZONE)
    driver.balancer.budget.tokens = 0
    request, _ = driver.request("keyed")
    assert driver.end(request, Outcome.TIMEOUT) == [Fail(request)]


def test_nothing_is_sent_to_draining_or_removed_servers() -> None:
    driver = Driver()
    driver.dispatch(
        delta(endpoint("s1", state=EndpointState.DRAINING), endpoint("s2", state=EndpointState.GONE))
    )
    driver.serve(20)
    assert {name for sent in driver.sent.values() for name in sent} == {"s3"}


def test_cold_server_gets_less_than_its_share_until_warm() -> None:
    """A server that has just started fails under the load of a warm one."""

    def run_rounds(rounds: int) -> list[str]:
        """Serve rounds of ten concurrent requests within 100 ms; return the servers they went to."""
        names = []
        for _ in range(rounds):
            requests = [driver.request()[0] for _ in range(10)]
            driver.wait(100)
            for request in requests:
                driver.end(request, Outcome.OK, 100)
                names += driver.sent[request]
        return names

    driver = Driver()
    run_rounds(100)
    driver.dispatch(delta(endpoint("new", started_ms=driver.now_ms)))
    cold = run_rounds(30)  # 3 s of the 10 s warm-up
    assert 0 < cold.count("new") < len(cold) / 4 * 0.6
    driver.wait(10_000)
    warm = run_rounds(30)
    assert warm.count("new") > len(warm) / 4 * 0.8


def test_a_cold_fleet_is_used_and_first_requests_of_many_proxies_do_not_overload_it() -> None:
    """With no warm server to compare with, one request each from hundreds of proxies is an overload."""
    sent = 0
    for number in range(200):
        config = replace(SETTINGS, proxies=200, number=number)
        driver = Driver(config, [endpoint("c1", started_ms=990), endpoint("c2", started_ms=990)], number)
        sent += len(driver.request()[1])
    assert sent < 20  # of 200
    driver = Driver(endpoints=[endpoint("c1", started_ms=990), endpoint("c2", started_ms=990)])
    for _ in range(40):
        driver.request()
        driver.wait(250)
        for request in [r.id for r in driver.balancer.requests.values() if r.attempts_in_flight]:
            driver.end(request, Outcome.OK, 100)
    served = sum(len(names) for names in driver.sent.values())
    assert served > 5


def test_cold_rate_follows_the_recent_peak_not_a_congestion() -> None:
    """During congestion warm servers get little work, and cold ones that could end it would get none."""
    driver = Driver()
    driver.serve(200)
    rate = driver.balancer._warm_server_rate()
    driver.wait(2000)
    driver.dispatch()
    assert 0.7 * rate < driver.balancer._warm_server_rate() < rate
    driver.wait(20_000)
    driver.dispatch()
    assert driver.balancer._warm_server_rate() < 0.1 * rate


def test_requests_queue_while_servers_are_full_and_the_most_valuable_go_first() -> None:
    """Sent to full servers, requests would queue there until they are late, and congest them."""
    driver = Driver(endpoints=[endpoint("s1")])
    first = [driver.request()[0] for _ in range(4)]
    cheap, actions = driver.request("safe")
    assert actions == []
    valuable, actions = driver.request("unsafe")
    assert actions == []
    actions = driver.end(first[0], Outcome.OK) + driver.end(first[1], Outcome.OK)
    assert [a.request_id for a in actions if isinstance(a, Send)][:2] == [valuable, cheap]


def test_slow_answers_shrink_the_limit_and_good_ones_grow_it() -> None:
    driver = Driver(endpoints=[endpoint("s1")])
    driver.serve(30)
    server = driver.balancer.membership.endpoints["s1"]
    for _ in range(20):
        server.adapt_limit(driver.now_ms, 100.0, 3.0, min_limit=0.1)
    assert server.limit == pytest.approx(0.1)
    assert not server.has_capacity(driver.now_ms + 899)  # paused: one in flight for a tenth of the time
    assert server.has_capacity(driver.now_ms + 901)
    for _ in range(60):
        server.in_flight = int(server.limit)
        server.adapt_limit(driver.now_ms, 50.0, 0.5, min_limit=0.1)
    assert 3 < server.limit < 8  # slowly: a surge has had several rounds by the time that slowness shows


def test_server_that_rejects_requests_is_paused_longer_each_time() -> None:
    """A server that fails requests at once would attract and fail more than its share."""
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    driver.serve(30)
    server = driver.balancer.membership.endpoints["s1"]
    pauses = []
    for _ in range(3):
        server.record_failure(driver.now_ms, 50, 1000)
        server.record_failure(driver.now_ms, 50, 1000)  # in the same burst
        pauses.append(server.paused_until_ms - driver.now_ms)
        assert not server.has_capacity(driver.now_ms)
        driver.wait(pauses[-1])
        assert server.has_capacity(driver.now_ms)
    assert pauses == [50, 100, 200]


def test_unresponsive_server_gets_nothing_new_until_it_answers() -> None:
    """A hung server would take more work until the first timeout."""
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    driver.serve(40)
    stuck = [driver.request()[0] for _ in range(4)]
    on_s1 = [i for i in stuck if driver.sent[i] == ["s1"]]
    driver.wait(300)
    for i in stuck:
        if i not in on_s1:
            driver.end(i, Outcome.OK)
    driver.last_id = 1000
    driver.serve(10)
    assert all(driver.sent[i] == ["s2"] for i in range(1001, 1011))
    for i in on_s1:
        driver.end(i, Outcome.OK, 300)
    assert driver.balancer.membership.endpoints["s1"].has_capacity(driver.now_ms)


def test_limits_of_few_proxies_stay_at_one_or_more() -> None:
    """Mechanisms for many proxies would refuse requests where each proxy knows its servers well."""
    driver = Driver(endpoints=[endpoint("s1")])
    for _ in range(40):
        request, _ = driver.request()
        driver.wait(500)
        if request in driver.sent:
            driver.end(request, Outcome.TIMEOUT, 2000)
        driver.wait(2000)
    assert driver.balancer.membership.endpoints["s1"].limit == 1.0
    driver.balancer.concurrency_limit.limit = 0.01
    assert driver.balancer.concurrency_limit.has_capacity(driver.now_ms)


def test_no_parallel_attempt_where_the_settings_forbid_it() -> None:
    driver = Driver()
    request, _ = driver.request()
    pending = driver.balancer.requests[request]
    assert not any(driver.balancer._may_send(pending, e) for e in driver.balancer.membership.ready)


def test_the_check_before_a_send_enforces_the_rules_by_itself() -> None:
    """`Balancer._may_send` rejects forbidden sends whatever its callers check."""
    cls = replace(KEYED, idempotency_scope=IdempotencyScope.ALL)
    driver = Driver(replace(SETTINGS, classes=(cls, replace(UNSAFE, name="once"))))
    server = driver.balancer.membership.endpoints["s1"]
    for class_name, past_window in (("once", 0), ("keyed", 900)):
        request, _ = driver.request(class_name)
        pending = driver.balancer.requests[request]
        pending.attempts[0].outcome, pending.attempts_in_flight = Outcome.REJECTED, 0
        driver.wait(past_window)
        driver.dispatch()
        assert driver.balancer._may_send(pending, server)
        pending.attempts[0].outcome = Outcome.TIMEOUT
        assert not driver.balancer._may_send(pending, server)
    request, _ = driver.request("keyed")
    pending = driver.balancer.requests[request]
    pending.attempts_in_flight = 0
    assert driver.balancer._may_send(pending, server)
    server.listed = replace(server.listed, state=EndpointState.DRAINING)
    assert not driver.balancer._may_send(pending, server)


def test_attempts_time_out_at_the_aim_where_late_answers_are_worthless() -> None:
    """Work on answers that no client waits for would load servers that are full."""
    for late_worth, timeout_ms in ((0.0, 500.0), (0.3, 2000.0)):
        driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_worth=late_worth),)))
        _, actions = driver.request()
        assert isinstance(actions[0], Send) and actions[0].timeout_ms == timeout_ms


def test_reported_queues_shrink_the_limit_where_latencies_look_normal() -> None:
    """A proxy that starts during an overload takes its latencies for those of unloaded servers."""
    for waiting, shrinks in ((0.0, False), (20.0, True)):
        driver = Driver(replace(SETTINGS, report_fields=("inflight", "queue")), [endpoint("s1")])
        for i in range(1, 41):
            driver.request()
            driver.wait(50)
            driver.dispatch(AttemptEnded(i, 0, Outcome.OK, 50.0, True, report=(4.0 + waiting, waiting)))
        limit = driver.balancer.membership.endpoints["s1"].limit
        assert (limit < 4) == shrinks


def test_the_class_with_the_least_headroom_sets_the_target_for_all() -> None:
    """Servers loaded up to what a class with a long aim tolerates would be late for one with a short aim."""
    relaxed = replace(SAFE, name="roomy", aim_ms=5000, deadline_ms=8000)
    driver = Driver(replace(SETTINGS, classes=(SAFE, relaxed)))
    driver.serve(60, "roomy", 200)
    alone = driver.balancer._slowness_target()
    driver.serve(60, "safe", 200)
    assert driver.balancer._slowness_target() < alone / 1.5


def test_attempts_in_flight_stay_within_the_share_of_one_of_many_proxies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One attempt per server is no limit where each of hundreds of proxies may have as many."""
    monkeypatch.setattr(decide, "FLOW_SEEKS", 1.0)
    servers = [endpoint(f"s{i}") for i in range(10)]
    many = Balancer(replace(SETTINGS, proxies=300), seed=1)
    few = Balancer(replace(SETTINGS, proxies=3), seed=1)
    for balancer, sent in ((many, 1), (few, 10)):
        balancer.handle(0, [full(*servers)])
        actions = balancer.handle(1, [RequestArrived(i, "safe") for i in range(20)])
        assert sum(isinstance(a, Send) for a in actions) == sent
    assert many.concurrency_limit.limit < 1
    now_ms = 100.0

    def end_one() -> list[Action]:
        (request_id, attempts), *_ = [
            (r.id, r.attempts) for r in many.requests.values() if r.attempts_in_flight
        ]
        assert attempts
        return many.handle(now_ms, [AttemptEnded(request_id, 0, Outcome.OK, 50, True)])

    saved, actions = 0, end_one()
    while any(isinstance(a, Send) for a in actions):  # the time that it left unused before
        saved, now_ms = saved + 1, now_ms + 10
        actions = end_one()
    assert FLOW_SAVED <= saved <= FLOW_SAVED + 1
    for _ in range(3):  # then one at a time, with a pause to keep to its share
        assert not any(isinstance(a, Send) for a in actions)
        assert any(isinstance(a, SetTimer) for a in actions)
        assert not many.handle(many.concurrency_limit.closed_until_ms - 1, [])
        now_ms = many.concurrency_limit.closed_until_ms
        assert any(isinstance(a, Send) for a in many.handle(now_ms, []))
        now_ms += 50
        actions = end_one()


def test_slow_answers_shrink_the_pooled_limit_to_its_floor_and_good_ones_grow_it() -> None:
    """A fleet loaded beyond saturation stays slow for long."""
    driver = Driver(replace(SETTINGS, proxies=21))
    limit = driver.balancer.concurrency_limit
    for _ in range(200):
        limit.in_flight += 1
        limit.record_end(driver.now_ms, 900, 3.0)
    assert limit.limit == limit.min_limit > 0
    for _ in range(300):
        limit.in_flight += 1
        limit.record_end(driver.now_ms, 50, 0.3)
    assert limit.limit == limit.initial_limit  # not beyond, while no request needs more
    for _ in range(300):
        limit.in_flight = int(limit.limit) + 1
        assert not limit.has_capacity(driver.now_ms)
        limit.record_end(driver.now_ms, 50, 0.3)
    assert limit.limit > 2 * limit.initial_limit


def test_each_proxy_uses_a_subset_and_all_servers_are_used_evenly() -> None:
    """Without subsets, each of many proxies would rarely use a server, and connect to all of them."""
    servers = [endpoint(f"s{i}") for i in range(12)]
    used: dict[str, int] = {}
    for number in range(240):
        driver = Driver(replace(SETTINGS, proxies=240, number=number), servers)
        for _ in range(30):
            driver.wait(1500)
            driver.serve(1)
        names = {name for sent in driver.sent.values() for name in sent}
        assert 2 <= len(names) <= 5
        for name in names:
            used[name] = used.get(name, 0) + 1
    assert len(used) == 12 and max(used.values()) < 1.3 * min(used.values())
    few = Driver(replace(SETTINGS, proxies=3, number=1), servers)
    assert len(few.balancer._servers_with_capacity()) == 12


def test_a_subset_replaces_suspected_servers_but_not_full_ones() -> None:
    """Otherwise, in an overload, each subset would grow, and full servers be tried by ever more proxies that
    don't know yet how full they are."""
    servers = [endpoint(f"s{i}") for i in range(12)]
    driver = Driver(replace(SETTINGS, proxies=240, number=0), servers)
    before = driver.balancer._servers_with_capacity()
    assert len(before) < 6
    before[0].record_failure(driver.now_ms, 500, 1000)
    assert driver.balancer._servers_with_capacity() == before[1:]
    for e in before:
        e.record_failure(driver.now_ms, 500, 1000)
    others = driver.balancer._servers_with_capacity()  # with none left in the subset, all servers are used
    assert len(others) == 12 - len(before) and not set(others) & set(before)
    driver.wait(5000)
    driver.dispatch()
    assert driver.balancer._servers_with_capacity() == before
    driver.dispatch(ConnectionSignalObserved(before[0].listed.name, ConnectionSignal.REFUSED))
    after = driver.balancer._servers_with_capacity()
    assert len(after) == len(before) and after[:-1] == before[1:]


def test_queued_requests_that_can_meet_their_aim_go_before_those_that_cannot() -> None:
    """In an overload, serving the longest waiting first would make them late, and the next ones, too."""
    classes = (replace(SAFE, late_worth=0.5), replace(UNSAFE, late_worth=0.5))
    config = replace(SETTINGS, proxies=300, classes=classes)
    driver = Driver(config, [endpoint("s1")])
    first = [driver.request()[0] for _ in range(4)]
    driver.dispatch(RequestArrived(900, "unsafe", client_retry=True))  # worth more, but most likely late
    fresh, _ = driver.request("safe")
    actions = driver.end(first[0], Outcome.OK) + driver.end(first[1], Outcome.OK)
    assert [a.request_id for a in actions if isinstance(a, Send)] == [fresh, 900]


def test_requests_queue_only_while_the_aim_can_be_met_and_never_past_the_deadline() -> None:
    """Requests queued for long are served late, or their clients disconnect before the answer."""
    config = replace(SETTINGS, proxies=300, classes=(replace(SAFE, late_worth=0.5),))
    driver = Driver(config, endpoints=[])
    lost, _ = driver.request()
    assert driver.wait(500) == [Refuse(lost)]  # the aim
    short, _ = driver.request(deadline_ms=driver.now_ms + 200)
    assert driver.wait(199) == [Refuse(short)]
    driver.dispatch(RequestArrived(900, "safe", client_retry=True))  # has most likely missed its aim already
    assert driver.wait(1000) == []
    assert driver.wait(1000) == [Refuse(900)]


def test_near_the_limit_of_open_requests_the_oldest_queued_is_given_up() -> None:
    """Requests queued for long use up the connections that others need to arrive at all."""
    config = replace(SETTINGS, limits=replace(SETTINGS.limits, max_open=10))
    driver = Driver(config, [endpoint("s1")])
    for _ in range(8):
        driver.request("safe")
    queued = [request for *_, request in driver.balancer.queue]
    assert len(queued) > 2 and not [a for a in driver.log if isinstance(a, Refuse)]
    driver.wait(20)
    driver.request("safe")
    # At once, not at its timeout.
    (refused,) = [a.request_id for a in driver.log if isinstance(a, Refuse)]
    assert refused == min(request.id for request in queued)
    assert len(driver.balancer.requests) == 8
