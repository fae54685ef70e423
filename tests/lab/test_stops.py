"""Proxies that stand still, in simulated time: one, the whole fleet at once, again and again, and starved."""

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


def world(faults: list[dict[str, Any]], proxies: int = 6, rate: float = 150.0) -> Scenario:
    few = {"proxies": {"count": proxies}, "office": [{"rate": rate, "retries": 1}], "seconds": 16}
    return build({**SHIPPED, **few, "servers": [{"count": 8, "cores": 1}], "fault": faults})


def well(result: Result) -> Result:
    assert not result.broken, (result.seed, result.broken, result.last[-5:])
    assert result.figures.attempts > 500
    return result


@pytest.mark.parametrize("for_s", [0.05, 0.5, 1.5, 3.0, 8.0])
def test_fleet_that_is_stopped_at_once(for_s: float) -> None:
    for seed in range(3):
        well(simulate(world([{"kind": "stop", "at_s": 5, "for_s": for_s}]), seed))


def test_fleet_that_is_stopped_among_cold_servers_pushes_none_over() -> None:
    """Two seconds of requests go out at the wake, while half of the servers have just started."""
    release = {"kind": "release", "at_s": 3, "within_s": 3, "gap_s": 0.5, "part": 0.5}
    for seed in range(6):
        well(simulate(world([release, {"kind": "stop", "at_s": 6, "for_s": 2}], 12, 250), seed))


def test_starved_fleet_runs_nothing_after_its_time() -> None:
    for seed in range(3):
        well(simulate(world([{"kind": "starve", "at_s": 4, "for_s": 10, "share": 0.1}]), seed))


def test_stops_at_random_among_other_faults() -> None:
    for seed in (*range(20), 27):  # 27: a client leaves meanwhile, and at the wake others are met first
        draw = Random(seed)
        faults: list[dict[str, Any]] = [
            {"kind": "stop", "at_s": draw.uniform(2, 12), "for_s": draw.choice([0.1, 0.4, 1.0, 2.5]),
             "part": draw.choice([0.3, 1.0])}
            for _ in range(4)
        ]  # fmt: skip
        other = draw.choice(["crash", "vanish", "reset", "kill", "restart", "silence", "release"])
        faults.append({"kind": other, "at_s": draw.uniform(2, 8), "for_s": 3, "share": 0.2, "part": 0.4})
        well(simulate(world(faults), seed))


def test_servers_are_not_blamed_for_a_stop_of_the_fleet() -> None:
    """In the seconds after the wake as much is served in its aim as if nothing had been."""
    stopped = simulate(world([{"kind": "stop", "at_s": 5, "for_s": 2}]), 4)
    calm = simulate(world([]), 4)
    after = slice(8, 13)
    assert sum(stopped.series.good[after]) >= 0.97 * sum(calm.series.good[after])


def test_what_came_meanwhile_taken_for_new_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    real = SimCall.__init__

    def new(self: SimCall, proxy: Any, ask: Any, now_ms: float, late: bool) -> None:
        real(self, proxy, ask, proxy.world.engine.now * 1000, False)

    monkeypatch.setattr(SimCall, "__init__", new)
    stopped = world([{"kind": "stop", "at_s": 5, "for_s": 3}])
    # Who asks the kernel before each attempt sends nothing of it on, and still owes what it took for new.
    assert "rule 1" in simulate(stopped, 0).broken
    monkeypatch.setattr(SimCall, "left", lambda self: False)
    result = simulate(stopped, 0)
    assert "rule 1" in result.broken and "after its end" in result.broken


@pytest.mark.parametrize(
    ("fault", "right"),
    [
        ({"kind": "stop", "at_s": 5}, "for how many seconds"),
        ({"kind": "starve", "at_s": 5, "for_s": 1}, "above 0 and below 1"),
    ],
)
def test_fault_that_says_too_little_is_named(fault: dict[str, Any], right: str) -> None:
    with pytest.raises(FileError, match=right):
        world([fault])
