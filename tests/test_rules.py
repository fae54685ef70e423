"""Rules 2 to 4 at the guard, case by case, and the exceptions that answer a failure seen."""

import pytest

from cloverrouter import decide
from cloverrouter.decide import FLOW_SAVED, Balancer
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    EndpointState,
    Fail,
    Outcome,
    Refuse,
    RepeatScope,
    RequestArrived,
    Send,
    SetTimer,
    Sign,
    SignSeen,
)
from cloverrouter.values import replace
from tests.driver import KEYED, SAFE, SETTINGS, UNSAFE, Driver, delta, endpoint, full


def keyed(scope: RepeatScope) -> Driver:
    cls = replace(KEYED, repeat_scope=scope)
    servers = [
        endpoint("a0", "a", 0),
        endpoint("a0'", "a", 0),
        endpoint("a1", "a", 1),
        endpoint("b0", "b", 2),
        endpoint("b1", "b", 3),
    ]
    return Driver(replace(SETTINGS, classes=(cls,)), servers)


@pytest.mark.parametrize(("scope", "same"), [(RepeatScope.ZONE, 1), (RepeatScope.CELL, 2)])
def test_keyed_repeat_stays_in_the_group_that_drops_it(scope: RepeatScope, same: int) -> None:
    groups = {"a0": "a0", "a0'": "a0", "a1": "a1", "b0": "b2", "b1": "b3"}
    repeats = 0
    for seed in range(40):
        driver = keyed(scope)
        driver.balancer.random.seed(seed)
        request, _ = driver.request("keyed")
        driver.end(request, Outcome.ERROR)
        driver.wait(301)
        sent = driver.sent[request]
        repeats += len(sent) == 2
        assert len({groups[name][:same] for name in sent}) == 1
    assert repeats > 20


def test_keyed_repeat_is_skipped_once_the_window_has_passed() -> None:
    driver = keyed(RepeatScope.ALL)
    request, _ = driver.request("keyed")
    driver.wait(750)  # a repeat now would be sent after the window of 800
    assert driver.end(request, Outcome.ERROR) == [Fail(request)]


def test_keyed_that_never_ran_may_go_anywhere() -> None:
    zones = set()
    for seed in range(40):
        driver = keyed(RepeatScope.ZONE)
        driver.balancer.random.seed(seed)
        request, _ = driver.request("keyed")
        driver.end(request, Outcome.REJECTED)
        driver.wait(301)
        zones.add(tuple(name[0] for name in driver.sent[request]))
    assert {("a", "b"), ("b", "a")} & zones


def test_keyed_that_may_have_run_is_never_refused() -> None:
    driver = keyed(RepeatScope.ZONE)
    driver.balancer.budget.tokens = 0
    request, _ = driver.request("keyed")
    assert driver.end(request, Outcome.TIMEOUT) == [Fail(request)]


def test_nothing_is_sent_to_a_server_told_to_drain() -> None:
    driver = Driver()
    driver.tell(delta(endpoint("s1", state=EndpointState.DRAINING), endpoint("s2", state=EndpointState.GONE)))
    driver.serve(20)
    assert {name for sent in driver.sent.values() for name in sent} == {"s3"}


def test_cold_server_gets_less_than_its_share_until_warm() -> None:
    """Danger: a server just started falls over under a warm server's share."""

    def crowd(rounds: int) -> list[str]:
        """Rounds of ten requests at once, served within 100 ms; the servers they went to."""
        names = []
        for _ in range(rounds):
            requests = [driver.request()[0] for _ in range(10)]
            driver.wait(100)
            for request in requests:
                driver.end(request, Outcome.OK, 100)
                names += driver.sent[request]
        return names

    driver = Driver()
    crowd(100)
    driver.tell(delta(endpoint("new", started_ms=driver.now_ms)))
    cold = crowd(30)  # 3 s of the 10 that warming may take
    assert 0 < cold.count("new") < len(cold) / 4 * 0.6
    driver.wait(10_000)
    warm = crowd(30)
    assert warm.count("new") > len(warm) / 4 * 0.8


def test_a_cold_fleet_is_used_and_many_proxies_first_requests_do_not_add_up() -> None:
    """Danger: with nothing warm to go by, one request each from hundreds of proxies is a push."""
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
        for request in [r.id for r in driver.balancer.requests.values() if r.out]:
            driver.end(request, Outcome.OK, 100)
    served = sum(len(names) for names in driver.sent.values())
    assert served > 5


def test_cold_servers_go_by_the_best_of_late_not_by_a_jam() -> None:
    """Danger: in a jam little is sent to warm servers, and the cold ones that could end it starve."""
    driver = Driver()
    driver.serve(200)
    rate = driver.balancer._warm_rate()
    driver.wait(2000)
    driver.tell()
    assert 0.7 * rate < driver.balancer._warm_rate() < rate
    driver.wait(20_000)
    driver.tell()
    assert driver.balancer._warm_rate() < 0.1 * rate


def test_full_servers_are_spared_and_the_most_valuable_go_first() -> None:
    """Danger: sent to full servers, work queues there until it is late, and jams them."""
    driver = Driver(endpoints=[endpoint("s1")])
    first = [driver.request()[0] for _ in range(4)]
    cheap, actions = driver.request("safe")
    assert actions == []
    dear, actions = driver.request("unsafe")
    assert actions == []
    actions = driver.end(first[0], Outcome.OK) + driver.end(first[1], Outcome.OK)
    assert [a.request_id for a in actions if isinstance(a, Send)][:2] == [dear, cheap]


def test_slow_answers_shrink_the_limit_and_good_ones_grow_it() -> None:
    driver = Driver(endpoints=[endpoint("s1")])
    driver.serve(30)
    server = driver.balancer.membership.endpoints["s1"]
    for _ in range(20):
        server.adapt_limit(driver.now_ms, 100.0, 3.0, least=0.1)
    assert server.limit == pytest.approx(0.1)
    assert not server.has_room(driver.now_ms + 899)  # a rest: one out for a tenth of the time
    assert server.has_room(driver.now_ms + 901)
    for _ in range(60):
        server.in_flight = int(server.limit)
        server.adapt_limit(driver.now_ms, 50.0, 0.5, least=0.1)
    assert 3 < server.limit < 8  # slowly: by the time slowness shows, a surge has had some rounds


def test_server_that_turns_work_away_is_paused_longer_each_time() -> None:
    """Danger: a server that fails at once takes in, and spoils, more than its share."""
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    driver.serve(30)
    server = driver.balancer.membership.endpoints["s1"]
    pauses = []
    for _ in range(3):
        server.failed(driver.now_ms, 50, 1000)
        server.failed(driver.now_ms, 50, 1000)  # of the same burst
        pauses.append(server.paused_until_ms - driver.now_ms)
        assert not server.has_room(driver.now_ms)
        driver.wait(pauses[-1])
        assert server.has_room(driver.now_ms)
    assert pauses == [50, 100, 200]


def test_silent_server_gets_nothing_new_until_it_answers() -> None:
    """Danger: a hung server swallows work until the first time-out tells."""
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
    assert driver.balancer.membership.endpoints["s1"].has_room(driver.now_ms)


def test_few_proxies_keep_to_limits_of_one_and_more() -> None:
    """Danger: exceptions made for crowds refuse where each proxy knows its servers well."""
    driver = Driver(endpoints=[endpoint("s1")])
    for _ in range(40):
        request, _ = driver.request()
        driver.wait(500)
        if request in driver.sent:
            driver.end(request, Outcome.TIMEOUT, 2000)
        driver.wait(2000)
    assert driver.balancer.membership.endpoints["s1"].limit == 1.0
    driver.balancer.flow.limit = 0.01
    assert driver.balancer.flow.has_room(driver.now_ms)


def test_no_repeat_while_an_attempt_is_out_where_that_is_forbidden() -> None:
    driver = Driver()
    request, _ = driver.request()
    held = driver.balancer.requests[request]
    assert not any(driver.balancer._may_send(held, e) for e in driver.balancer.membership.ready)


def test_guard_alone_keeps_the_rules() -> None:
    """Whatever the callers check: the guard says no by itself."""
    cls = replace(KEYED, repeat_scope=RepeatScope.ALL)
    driver = Driver(replace(SETTINGS, classes=(cls, replace(UNSAFE, name="once"))))
    server = driver.balancer.membership.endpoints["s1"]
    for class_name, past_window in (("once", 0), ("keyed", 900)):
        request, _ = driver.request(class_name)
        held = driver.balancer.requests[request]
        held.attempts[0].outcome, held.out = Outcome.REJECTED, 0
        driver.wait(past_window)
        driver.tell()
        assert driver.balancer._may_send(held, server)
        held.attempts[0].outcome = Outcome.TIMEOUT
        assert not driver.balancer._may_send(held, server)
    request, _ = driver.request("keyed")
    held = driver.balancer.requests[request]
    held.out = 0
    assert driver.balancer._may_send(held, server)
    server.listed = replace(server.listed, state=EndpointState.DRAINING)
    assert not driver.balancer._may_send(held, server)


def test_attempts_end_with_the_aim_where_late_answers_earn_nothing() -> None:
    """Danger: work for nobody, on servers that are full."""
    for late_worth, timeout_ms in ((0.0, 500.0), (0.3, 2000.0)):
        driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_worth=late_worth),)))
        _, actions = driver.request()
        assert isinstance(actions[0], Send) and actions[0].timeout_ms == timeout_ms


def test_reported_queues_shrink_the_limit_where_latencies_look_usual() -> None:
    """Danger: a proxy that starts in the middle of an overload takes its latencies for unhurried."""
    for waiting, shrinks in ((0.0, False), (20.0, True)):
        driver = Driver(replace(SETTINGS, report_fields=("inflight", "queue")), [endpoint("s1")])
        for i in range(1, 41):
            driver.request()
            driver.wait(50)
            driver.tell(AttemptEnded(i, 0, Outcome.OK, 50.0, True, report=(4.0 + waiting, waiting)))
        limit = driver.balancer.membership.endpoints["s1"].limit
        assert (limit < 4) == shrinks


def test_the_class_with_the_least_room_sets_the_target_for_all() -> None:
    """Danger: servers fed up to what a roomy class bears jam, and are late for the tight one."""
    roomy = replace(SAFE, name="roomy", aim_ms=5000, deadline_ms=8000)
    driver = Driver(replace(SETTINGS, classes=(SAFE, roomy)))
    driver.serve(60, "roomy", 200)
    alone = driver.balancer._target()
    driver.serve(60, "safe", 200)
    assert driver.balancer._target() < alone / 1.5


def test_all_attempts_out_together_stay_under_the_part_of_one_of_many_proxies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Danger: one attempt a server is no limit where hundreds of proxies each allow themselves that."""
    monkeypatch.setattr(decide, "FLOW_SEEKS", 1.0)
    servers = [endpoint(f"s{i}") for i in range(10)]
    many = Balancer(replace(SETTINGS, proxies=300), seed=1)
    few = Balancer(replace(SETTINGS, proxies=3), seed=1)
    for balancer, sent in ((many, 1), (few, 10)):
        balancer.handle(0, [full(*servers)])
        actions = balancer.handle(1, [RequestArrived(i, "safe") for i in range(20)])
        assert sum(isinstance(a, Send) for a in actions) == sent
    assert many.flow.limit < 1
    now_ms = 100.0

    def end_one() -> list[Action]:
        (request_id, attempts), *_ = [(r.id, r.attempts) for r in many.requests.values() if r.out]
        assert attempts
        return many.handle(now_ms, [AttemptEnded(request_id, 0, Outcome.OK, 50, True)])

    saved, actions = 0, end_one()
    while any(isinstance(a, Send) for a in actions):  # what it did not use before it had anything to ask
        saved, now_ms = saved + 1, now_ms + 10
        actions = end_one()
    assert FLOW_SAVED <= saved <= FLOW_SAVED + 1
    for _ in range(3):  # then one after the other, with a pause to keep to the part
        assert not any(isinstance(a, Send) for a in actions)
        assert any(isinstance(a, SetTimer) for a in actions)
        assert not many.handle(many.flow.closed_until_ms - 1, [])
        now_ms = many.flow.closed_until_ms
        assert any(isinstance(a, Send) for a in many.handle(now_ms, []))
        now_ms += 50
        actions = end_one()


def test_slow_answers_shrink_the_pooled_limit_to_its_floor_and_good_ones_grow_it() -> None:
    """Danger: a fleet driven past its knee stays slow for long."""
    driver = Driver(replace(SETTINGS, proxies=21))
    flow = driver.balancer.flow
    for _ in range(200):
        flow.out += 1
        flow.ended(driver.now_ms, 900, 3.0)
    assert flow.limit == flow.least > 0
    for _ in range(300):
        flow.out += 1
        flow.ended(driver.now_ms, 50, 0.3)
    assert flow.limit == flow.start  # not beyond, while nothing wants more
    for _ in range(300):
        flow.out = int(flow.limit) + 1
        assert not flow.has_room(driver.now_ms)
        flow.ended(driver.now_ms, 50, 0.3)
    assert flow.limit > 2 * flow.start


def test_a_window_of_the_servers_for_each_proxy_and_all_servers_in_even_use() -> None:
    """Danger: with many proxies each server is met too rarely to be known, and holds connections to all."""
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
    assert len(few.balancer._roomy()) == 12


def test_a_window_reaches_further_for_servers_that_are_gone_not_for_full_ones() -> None:
    """Danger: in an overload each proxy's window would reach on, and a server that is full already be tried
    by more and more who do not know it yet."""
    servers = [endpoint(f"s{i}") for i in range(12)]
    driver = Driver(replace(SETTINGS, proxies=240, number=0), servers)
    before = driver.balancer._roomy()
    assert len(before) < 6
    before[0].failed(driver.now_ms, 500, 1000)
    assert driver.balancer._roomy() == before[1:]
    for e in before:
        e.failed(driver.now_ms, 500, 1000)
    others = driver.balancer._roomy()  # nowhere else to go: anywhere
    assert len(others) == 12 - len(before) and not set(others) & set(before)
    driver.wait(5000)
    driver.tell()
    assert driver.balancer._roomy() == before
    driver.tell(SignSeen(before[0].listed.name, Sign.REFUSED))
    after = driver.balancer._roomy()
    assert len(after) == len(before) and after[:-1] == before[1:]


def test_held_requests_that_can_make_their_aim_go_before_those_that_cannot() -> None:
    """Danger: in an overload those that have waited longest are served late, and make the next late."""
    classes = (replace(SAFE, late_worth=0.5), replace(UNSAFE, late_worth=0.5))
    config = replace(SETTINGS, proxies=300, classes=classes)
    driver = Driver(config, [endpoint("s1")])
    first = [driver.request()[0] for _ in range(4)]
    driver.tell(RequestArrived(900, "unsafe", repeat=True))  # worth more, but hardly in time any more
    fresh, _ = driver.request("safe")
    actions = driver.end(first[0], Outcome.OK) + driver.end(first[1], Outcome.OK)
    assert [a.request_id for a in actions if isinstance(a, Send)] == [fresh, 900]


def test_held_only_while_the_aim_can_be_met_and_never_past_the_deadline() -> None:
    """Danger: work held for long is served late, or its client is gone before it is answered."""
    config = replace(SETTINGS, proxies=300, classes=(replace(SAFE, late_worth=0.5),))
    driver = Driver(config, endpoints=[])
    lost, _ = driver.request()
    assert driver.wait(500) == [Refuse(lost)]  # the aim
    short, _ = driver.request(deadline_ms=driver.now_ms + 200)
    assert driver.wait(199) == [Refuse(short)]
    driver.tell(RequestArrived(900, "safe", repeat=True))  # has most likely missed its aim before
    assert driver.wait(1000) == []
    assert driver.wait(1000) == [Refuse(900)]


def test_clients_with_hardly_a_connection_left_lose_what_has_waited_longest() -> None:
    """Danger: requests held for long take up the connections that others need to come at all."""
    config = replace(SETTINGS, limits=replace(SETTINGS.limits, max_open=10))
    driver = Driver(config, [endpoint("s1")])
    for _ in range(8):
        driver.request("safe")
    held = [request for *_, request in driver.balancer.held]
    assert len(held) > 2 and not [a for a in driver.log if isinstance(a, Refuse)]
    driver.wait(20)
    driver.request("safe")
    # At once, not when its time is up.
    (refused,) = [a.request_id for a in driver.log if isinstance(a, Refuse)]
    assert refused == min(request.id for request in held)
    assert len(driver.balancer.requests) == 8
