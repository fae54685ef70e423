"""The cold-host rule over a switch of boxes: two budgets add up, and stay under what pushes a server over."""

from __future__ import annotations

import pytest

from cloverrouter import decide
from cloverrouter.interface import Outcome
from tests.driver import KEYED, SAFE, SETTINGS, UNSAFE, Driver, endpoint

WORK_MS = 50.0
EVERY_MS = 1000 / 60  # between requests
SERVERS = 3
# What one server can do, in work a millisecond: the fleet is used by seven tenths.
CAPACITY = WORK_MS / EVERY_MS / SERVERS / 0.7
SAFETY = SETTINGS.safety
STARTED_MS = 9000.0


def box(seed: int) -> Driver:
    warm = [endpoint("s1"), endpoint("s2")]
    return Driver(SETTINGS, [*warm, endpoint("cold", started_ms=STARTED_MS)], seed=seed)


def play(driver: Driver, start_ms: float, end_ms: float) -> list[float]:
    """Requests come evenly, each answered after its work; when the cold server was sent one."""
    driver.wait(start_ms - driver.now_ms)
    out: list[tuple[float, int]] = []
    sent: list[float] = []
    while driver.now_ms < end_ms:
        request_id, _ = driver.request(("safe", "keyed", "unsafe")[len(sent) % 3])
        if driver.sent.get(request_id):
            out.append((driver.now_ms + WORK_MS, request_id))
            if driver.sent[request_id] == ["cold"]:
                sent.append(driver.now_ms)
        until = driver.now_ms + EVERY_MS
        while out and out[0][0] <= until:
            at_ms, done = out.pop(0)
            driver.wait(at_ms - driver.now_ms)
            driver.end(done, Outcome.OK, WORK_MS)
        driver.wait(until - driver.now_ms)
    return sent


def most_pushed(sent: list[float]) -> float:
    """The largest part of what would push the cold server over, in any window: 1 is over."""
    worst = 0.0
    for begin in sent:
        within = [at for at in sent if begin <= at < begin + SAFETY.push_window_ms]
        age = max(0.0, begin - STARTED_MS) / SAFETY.cold_ms
        warmth = min(1.0, SAFETY.cold_share + (1 - SAFETY.cold_share) * age)
        bound = SAFETY.push_multiple * warmth * CAPACITY * SAFETY.push_window_ms
        worst = max(worst, len(within) * WORK_MS / bound)
    return worst


@pytest.mark.parametrize("before_ms", [200, 700, 1500, 3000])
def test_two_boxes_budgets_add_up_under_the_push(before_ms: float) -> None:
    """The one has served since before the cold server started; the other begins with nothing known."""
    assert {c.name for c in (SAFE, KEYED, UNSAFE)} == {"safe", "keyed", "unsafe"}
    for seed in range(3):
        switch_ms = STARTED_MS + before_ms
        one = play(box(seed), 5000.0, switch_ms)
        other = play(box(seed + 100), switch_ms, switch_ms + 4000)
        assert one or other  # it is not by never sending
        assert most_pushed(one + other) < 1


def test_without_the_cold_room_they_would_be_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(decide.Balancer, "_cold_room", lambda self, request, endpoint: True)
    monkeypatch.setattr(decide.Picker, "score", lambda self, now_ms, e: e.listed.name == "cold")
    switch_ms = STARTED_MS + 200
    one, other = play(box(1), 5000.0, switch_ms), play(box(101), switch_ms, switch_ms + 4000)
    assert most_pushed(one + other) > 1
