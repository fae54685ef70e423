"""Paused and starved proxies in simulated time: the whole fleet or a part of it, once or repeatedly."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from cloverrouter.lab.account import Result
from cloverrouter.lab.scenario import Scenario, build, load, plain
from cloverrouter.lab.simcall import SimCall
from cloverrouter.lab.simulation import simulate
from cloverrouter.strict import FileError

SHIPPED = plain(load("stopped-fleet"))


def scenario(faults: list[dict[str, Any]], proxies: int = 6, rate: float = 150.0) -> Scenario:
    few = {"proxies": {"count": proxies}, "office": [{"rate": rate, "retries": 1}], "seconds": 16}
    return build({**SHIPPED, **few, "servers": [{"count": 8, "cores": 1}], "fault": faults})


def assert_no_violation(result: Result) -> Result:
    assert not result.broken, (result.seed, result.broken, result.last[-5:])
    assert result.figures.attempts > 500
    return result


@pytest.mark.parametrize("for_s", [0.05, 0.5, 1.5, 3.0, 8.0])
def test_whole_fleet_is_paused_at_once(for_s: float) -> None:
    for seed in range(3):
        assert_no_violation(simulate(scenario([{"kind": "stop", "at_s": 5, "for_s": for_s}]), seed))


def test_fleet_paused_among_cold_servers_overloads_none() -> None:
    """When it resumes it sends the requests of two seconds, while half of the servers have just started."""
    release = {"kind": "release", "at_s": 3, "within_s": 3, "gap_s": 0.5, "part": 0.5}
    for seed in range(6):
        assert_no_violation(
            simulate(scenario([release, {"kind": "stop", "at_s": 6, "for_s": 2}], 12, 250), seed)
        )


def test_starved_fleet_runs_no_request_after_its_deadline() -> None:
    for seed in range(3):
        assert_no_violation(
            simulate(scenario([{"kind": "starve", "at_s": 4, "for_s": 10, "share": 0.1}]), seed)
        )


def test_random_pauses_among_other_faults() -> None:
    # Seed 27: a client disconnects during a pause, and when the proxy resumes, others are handled before it.
    for seed in (*range(20), 27):
        random = Random(seed)
        faults: list[dict[str, Any]] = [
            {"kind": "stop", "at_s": random.uniform(2, 12), "for_s": random.choice([0.1, 0.4, 1.0, 2.5]),
             "part": random.choice([0.3, 1.0])}
            for _ in range(4)
        ]  # fmt: skip
        other = random.choice(["crash", "vanish", "reset", "kill", "restart", "silence", "release"])
        faults.append({"kind": other, "at_s": random.uniform(2, 8), "for_s": 3, "share": 0.2, "part": 0.4})
        assert_no_violation(simulate(scenario(faults), seed))


def test_servers_are_not_suspected_after_a_pause_of_the_fleet() -> None:
    """In the seconds after the pause, as many requests are served in their aim as without a pause."""
    paused = simulate(scenario([{"kind": "stop", "at_s": 5, "for_s": 2}]), 4)
    unpaused = simulate(scenario([]), 4)
    after = slice(8, 13)
    assert sum(paused.series.good[after]) >= 0.97 * sum(unpaused.series.good[after])


def test_request_received_during_a_pause_but_timed_as_new_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real = SimCall.__init__

    def init_as_new(self: SimCall, proxy: Any, ask: Any, now_ms: float, late: bool) -> None:
        real(self, proxy, ask, proxy.world.engine.now * 1000, False)

    monkeypatch.setattr(SimCall, "__init__", init_as_new)
    paused = scenario([{"kind": "stop", "at_s": 5, "for_s": 3}])
    # The check for a disconnected client before each attempt prevents sends, but not unanswered requests.
    assert "rule 1" in simulate(paused, 0).broken
    monkeypatch.setattr(SimCall, "is_disconnected", lambda self: False)
    result = simulate(paused, 0)
    assert "rule 1" in result.broken and "after its end" in result.broken


@pytest.mark.parametrize(
    ("fault", "right"),
    [
        ({"kind": "stop", "at_s": 5}, "for how many seconds"),
        ({"kind": "starve", "at_s": 5, "for_s": 1}, "above 0 and below 1"),
    ],
)
def test_incomplete_fault_is_rejected(fault: dict[str, Any], right: str) -> None:
    with pytest.raises(FileError, match=right):
        scenario([fault])
