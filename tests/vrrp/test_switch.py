"""A failover of a pair: the cold-server budgets of both nodes together do not overload a cold server."""

from __future__ import annotations

import pytest

from cloverrouter import decide
from cloverrouter.interface import Outcome
from tests.driver import KEYED, SAFE, SETTINGS, UNSAFE, Driver, endpoint

WORK_MS = 50.0
REQUEST_INTERVAL_MS = 1000 / 60  # between requests
SERVERS = 3
# Work per millisecond that one server can do; the load is 70 % of the fleet's capacity.
CAPACITY = WORK_MS / REQUEST_INTERVAL_MS / SERVERS / 0.7
SAFETY = SETTINGS.safety
STARTED_MS = 9000.0


def make_driver(seed: int) -> Driver:
    warm = [endpoint("s1"), endpoint("s2")]
    return Driver(SETTINGS, [*warm, endpoint("cold", started_ms=STARTED_MS)], seed=seed)


def run_requests(driver: Driver, start_ms: float, end_ms: float) -> list[float]:
    """Send requests at even intervals, each answered after its work; return when the cold server got one."""
    driver.wait(start_ms - driver.now_ms)
    in_flight: list[tuple[float, int]] = []
    sent: list[float] = []
    while driver.now_ms < end_ms:
        request_id, _ = driver.request(("safe", "keyed", "unsafe")[len(sent) % 3])
        if driver.sent.get(request_id):
            in_flight.append((driver.now_ms + WORK_MS, request_id))
            if driver.sent[request_id] == ["cold"]:
                sent.append(driver.now_ms)
        until = driver.now_ms + REQUEST_INTERVAL_MS
        while in_flight and in_flight[0][0] <= until:
            done_ms, request_done = in_flight.pop(0)
            driver.wait(done_ms - driver.now_ms)
            driver.end(request_done, Outcome.OK, WORK_MS)
        driver.wait(until - driver.now_ms)
    return sent


def worst_overload_ratio(sent: list[float]) -> float:
    """The highest share, in any window, of the work that would overload the cold server; above 1 it would."""
    worst = 0.0
    for begin in sent:
        window = [at for at in sent if begin <= at < begin + SAFETY.overload_window_ms]
        age = max(0.0, begin - STARTED_MS) / SAFETY.cold_ms
        warmth = min(1.0, SAFETY.cold_share + (1 - SAFETY.cold_share) * age)
        bound = SAFETY.overload_multiple * warmth * CAPACITY * SAFETY.overload_window_ms
        worst = max(worst, len(window) * WORK_MS / bound)
    return worst


@pytest.mark.parametrize("before_ms", [200, 700, 1500, 3000])
def test_budgets_of_both_nodes_together_do_not_overload_a_cold_server(before_ms: float) -> None:
    """The first node served before the cold server started; the other takes over without any state."""
    assert {c.name for c in (SAFE, KEYED, UNSAFE)} == {"safe", "keyed", "unsafe"}
    for seed in range(3):
        switch_ms = STARTED_MS + before_ms
        first = run_requests(make_driver(seed), 5000.0, switch_ms)
        other = run_requests(make_driver(seed + 100), switch_ms, switch_ms + 4000)
        assert first or other  # the cold server does get requests
        assert worst_overload_ratio(first + other) < 1


def test_without_the_cold_server_budget_it_would_be_overloaded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(decide.Balancer, "_within_cold_limit", lambda self, request, endpoint: True)
    monkeypatch.setattr(decide.Picker, "score", lambda self, now_ms, e: e.listed.name == "cold")
    switch_ms = STARTED_MS + 200
    first, other = (
        run_requests(make_driver(1), 5000.0, switch_ms),
        run_requests(make_driver(101), switch_ms, switch_ms + 4000),
    )
    assert worst_overload_ratio(first + other) > 1
