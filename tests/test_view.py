"""The view of the balancer for operators, and the reasons in its final answers."""

from __future__ import annotations

from random import Random

from cloverrouter.interface import (
    Action,
    EndpointState,
    Fail,
    GiveUpReason,
    Limits,
    Outcome,
    Refuse,
)
from cloverrouter.view import balancer_view
from tests.driver import SETTINGS, Driver, delta, endpoint, full


def run_random_events(seed: int, read_view: bool) -> list[Action]:
    """Run a few hundred random events; with `read_view`, the view is read before each."""
    random, driver = Random(seed), Driver(seed=seed)
    open_ids: list[int] = []
    for _ in range(400):
        if read_view:
            balancer_view(driver.balancer, driver.now_ms + random.random() * 0)
        else:
            random.random()
        match random.randrange(4):
            case 0 | 1:
                request_id, _ = driver.request(random.choice(("safe", "keyed", "unsafe")))
                open_ids.append(request_id)
            case 2 if open_ids:
                request_id = open_ids.pop(random.randrange(len(open_ids)))
                if driver.sent.get(request_id):
                    driver.end(request_id, random.choice((Outcome.OK, Outcome.RESET, Outcome.REJECTED)))
            case _:
                driver.wait(random.random() * 200)
    return driver.log


def test_reading_the_view_changes_no_action() -> None:
    for seed in range(5):
        assert run_random_events(seed, read_view=True) == run_random_events(seed, read_view=False)


def test_view_shows_ready_paused_unresponsive_and_draining_servers() -> None:
    driver = Driver(endpoints=(endpoint("s1"), endpoint("s2")))
    driver.serve(20)
    assert all(e.healthy for e in balancer_view(driver.balancer, driver.now_ms).endpoints)
    request_id, _ = driver.request("unsafe")
    driver.end(request_id, Outcome.REJECTED)
    name = driver.sent[request_id][0]
    views = {e.name: e for e in balancer_view(driver.balancer, driver.now_ms).endpoints}
    assert views[name].paused_ms > 0 and not views[name].healthy
    driver.wait(views[name].paused_ms + 1)
    driver.dispatch(delta(endpoint("s1", state=EndpointState.DRAINING)))
    driver.request("safe")
    driver.wait(450)
    views = {e.name: e for e in balancer_view(driver.balancer, driver.now_ms).endpoints}
    assert views["s1"].state is EndpointState.DRAINING and not views["s1"].healthy
    assert views["s2"].in_flight == 1 and views["s2"].unresponsive and not views["s2"].healthy


def reasons(actions: list[Action]) -> list[GiveUpReason | None]:
    return [a.reason for a in actions if isinstance(a, Refuse | Fail)]


def test_each_way_to_give_up_has_its_reason() -> None:
    driver = Driver()
    assert reasons(driver.request("safe", deadline_ms=driver.now_ms - 1)[1]) == [GiveUpReason.TOO_LATE]
    request_id, _ = driver.request("unsafe")
    assert reasons(driver.end(request_id, Outcome.RESET)) == [GiveUpReason.MAY_HAVE_RUN]
    request_id, _ = driver.request("unsafe")
    assert reasons(driver.end(request_id, Outcome.REJECTED)) == [GiveUpReason.ONE_ATTEMPT]
    driver.wait(5000)
    driver.balancer.budget.tokens = 0.0
    request_id, _ = driver.request("safe")
    assert reasons(driver.end(request_id, Outcome.RESET)) == [GiveUpReason.NO_TOKENS]
    request_id, _ = driver.request("safe", deadline_ms=driver.now_ms + 40)
    assert reasons(driver.end(request_id, Outcome.RESET)) == [GiveUpReason.NO_TIME]


def test_reason_of_queued_requests_tells_whether_there_was_a_server() -> None:
    driver = Driver()
    for server in driver.balancer.membership.endpoints.values():
        server.paused_until_ms = driver.now_ms + 10_000
    driver.request("safe")
    assert reasons(driver.wait(3000)) == [GiveUpReason.NO_ROOM]
    driver.dispatch(full())
    driver.request("safe")
    assert reasons(driver.wait(3000)) == [GiveUpReason.NO_SERVER]


def test_reasons_for_the_attempt_limit_and_the_limit_of_open_requests() -> None:
    one = Driver(settings=SETTINGS.__class__(classes=SETTINGS.classes, limits=Limits(max_attempts=1)))
    request_id, _ = one.request("safe")
    assert reasons(one.end(request_id, Outcome.RESET)) == [GiveUpReason.ATTEMPTS]
    crowded = Driver(settings=SETTINGS.__class__(classes=SETTINGS.classes, limits=Limits(max_open=4)))
    for server in crowded.balancer.membership.endpoints.values():
        server.paused_until_ms = crowded.now_ms + 10_000
    given_up = [reason for _ in range(4) for reason in reasons(crowded.request("safe")[1])]
    assert given_up == [GiveUpReason.CROWDED]
