"""The module's view for people, and the reasons that its answers carry."""

from __future__ import annotations

from random import Random

from cloverrouter.interface import (
    Action,
    EndpointState,
    Fail,
    Limits,
    Outcome,
    Refuse,
    Why,
)
from cloverrouter.view import believed
from tests.driver import SETTINGS, Driver, delta, endpoint, full


def play(seed: int, looked_at: bool) -> list[Action]:
    """A few hundred random events; with `looked_at`, the view is read before and after each."""
    random, driver = Random(seed), Driver(seed=seed)
    out: list[int] = []
    for _ in range(400):
        if looked_at:
            believed(driver.balancer, driver.now_ms + random.random() * 0)
        else:
            random.random()
        match random.randrange(4):
            case 0 | 1:
                request_id, _ = driver.request(random.choice(("safe", "keyed", "unsafe")))
                out.append(request_id)
            case 2 if out:
                request_id = out.pop(random.randrange(len(out)))
                if driver.sent.get(request_id):
                    driver.end(request_id, random.choice((Outcome.OK, Outcome.RESET, Outcome.REJECTED)))
            case _:
                driver.wait(random.random() * 200)
    return driver.log


def test_reading_the_view_changes_no_action() -> None:
    for seed in range(5):
        assert play(seed, looked_at=True) == play(seed, looked_at=False)


def test_view_says_ready_paused_silent_draining() -> None:
    driver = Driver(endpoints=(endpoint("s1"), endpoint("s2")))
    driver.serve(20)
    assert all(e.healthy for e in believed(driver.balancer, driver.now_ms).endpoints)
    request_id, _ = driver.request("unsafe")
    driver.end(request_id, Outcome.REJECTED)
    name = driver.sent[request_id][0]
    views = {e.name: e for e in believed(driver.balancer, driver.now_ms).endpoints}
    assert views[name].paused_ms > 0 and not views[name].healthy
    driver.wait(views[name].paused_ms + 1)
    driver.tell(delta(endpoint("s1", state=EndpointState.DRAINING)))
    driver.request("safe")
    driver.wait(450)
    views = {e.name: e for e in believed(driver.balancer, driver.now_ms).endpoints}
    assert views["s1"].state is EndpointState.DRAINING and not views["s1"].healthy
    assert views["s2"].in_flight == 1 and views["s2"].silent and not views["s2"].healthy


def whys(actions: list[Action]) -> list[Why | None]:
    return [a.why for a in actions if isinstance(a, Refuse | Fail)]


def test_each_way_to_give_up_says_why() -> None:
    driver = Driver()
    assert whys(driver.request("safe", deadline_ms=driver.now_ms - 1)[1]) == [Why.TOO_LATE]
    request_id, _ = driver.request("unsafe")
    assert whys(driver.end(request_id, Outcome.RESET)) == [Why.MAY_HAVE_RUN]
    request_id, _ = driver.request("unsafe")
    assert whys(driver.end(request_id, Outcome.REJECTED)) == [Why.ONE_ATTEMPT]
    driver.wait(5000)
    driver.balancer.budget.tokens = 0.0
    request_id, _ = driver.request("safe")
    assert whys(driver.end(request_id, Outcome.RESET)) == [Why.NO_TOKENS]
    request_id, _ = driver.request("safe", deadline_ms=driver.now_ms + 40)
    assert whys(driver.end(request_id, Outcome.RESET)) == [Why.NO_TIME]


def test_held_requests_say_whether_any_server_was_there() -> None:
    driver = Driver()
    for known in driver.balancer.membership.endpoints.values():
        known.paused_until_ms = driver.now_ms + 10_000
    driver.request("safe")
    assert whys(driver.wait(3000)) == [Why.NO_ROOM]
    driver.tell(full())
    driver.request("safe")
    assert whys(driver.wait(3000)) == [Why.NO_SERVER]


def test_attempts_and_crowds_are_named() -> None:
    one = Driver(settings=SETTINGS.__class__(classes=SETTINGS.classes, limits=Limits(max_attempts=1)))
    request_id, _ = one.request("safe")
    assert whys(one.end(request_id, Outcome.RESET)) == [Why.ATTEMPTS]
    full_up = Driver(settings=SETTINGS.__class__(classes=SETTINGS.classes, limits=Limits(max_open=4)))
    for known in full_up.balancer.membership.endpoints.values():
        known.paused_until_ms = full_up.now_ms + 10_000
    given_up = [why for _ in range(4) for why in whys(full_up.request("safe")[1])]
    assert given_up == [Why.CROWDED]
