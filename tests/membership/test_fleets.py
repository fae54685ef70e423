"""Hard cases of uncertain membership, each on a whole fleet in simulated time, with all four rules checked.

The min_worth worth of each case lies between the present result and the one before the guards were added
(`docs/design/membership.md`). Each case has one seed, which gives the same result in every process.
"""

from __future__ import annotations

import pytest

from benchmarks.membership import base, cases, release
from cloverrouter.lab.scenario import build
from cloverrouter.lab.simulation import simulate

SEED = 9100
CASES = dict(cases())


@pytest.mark.parametrize(
    ("within_s", "unresponsive", "min_worth"),
    [(0.1, False, 0.87), (3.0, False, 0.92), (9.0, False, 0.99), (9.0, True, 0.91)],
)
def test_a_whole_fleet_is_replaced(within_s: float, unresponsive: bool, min_worth: float) -> None:
    result = simulate(release(within_s, 0.31, unresponsive, 4), SEED)
    assert not result.broken
    assert result.figures.worth >= min_worth


@pytest.mark.parametrize(
    ("case", "min_worth"),
    [
        ("machine gone, back after 5 s", 0.995),
        ("process dies, new one after 2 s", 0.995),
        ("one hall cut off for 6 s", 0.99),
        ("new servers at old addresses", 0.95),
        ("our own network gone for 2 s", 0.92),
        ("discovery tells an old list", 0.81),
        ("discovery restarts, lower version", 0.97),
        ("calls to discovery break", 0.955),
    ],
)
def test_hard_cases(case: str, min_worth: float) -> None:
    result = simulate(CASES[case], SEED)
    assert not result.broken
    assert result.figures.worth >= min_worth


def test_discovery_lists_dead_servers_only() -> None:
    """Every request is answered, and most are served again once discovery responds."""
    scenario = base()
    scenario["fault"] = [
        {"kind": "silence", "at_s": 5.0, "for_s": 6.0},
        {"kind": "release", "at_s": 6.0, "within_s": 0.1, "gap_s": 0.5},
    ]
    result = simulate(build(scenario), SEED)
    assert not result.broken
    assert result.figures.worth > 0.75


def test_proxies_that_send_one_request_in_ten_seconds() -> None:
    scenario = base()
    scenario["seconds"], scenario["proxies"] = 120.0, {"count": 20}
    scenario["office"] = [{"rate": 2.0, "retries": 0}]
    scenario["fault"] = [
        {"kind": "crash", "at_s": 20.0, "for_s": 3.0, "count": 3},
        {"kind": "vanish", "at_s": 50.0, "for_s": 5.0, "count": 3},
    ]
    result = simulate(build(scenario), SEED)
    assert not result.broken
    assert result.figures.worth > 0.97
