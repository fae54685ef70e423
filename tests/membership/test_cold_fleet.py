"""Work that all proxies together send to a cold server, counted there.

It is at most what the settings allow plus what chance explains (`benchmarks/cold.py` plays more seeds, and up
to 200 proxies).
"""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.cold import CASES, PeakLoad, chance_bound, measure_case, measure_on_sockets
from cloverrouter.lab.scenario import build, change

PROCESSES = 6
SCENE = {
    "name": "cold",
    "seconds": 5.0,
    "proxies": {"count": PROCESSES},
    "office": [{"rate": 130.0, "unequal": 1.0, "retries": 2}],
    "class": [
        {"name": "look-up", "share": 0.6, "effect": "keyed", "group": "all", "window_ms": 1200, "aim_ms": 600,
         "deadline_ms": 1000, "worth": 3, "work_ms": 20, "spread": 1.0},
        {"name": "entry", "share": 0.4, "effect": "unsafe", "aim_ms": 600, "deadline_ms": 1000, "worth": 10,
         "work_ms": 30, "spread": 1.0},
    ],
    "servers": [{"count": 4, "halls": ["a"], "cores": 1, "speed": 1.0, "handshake_ms": 2}],
    "safety": {"cold_share": 0.05, "cold_s": 60.0, "fall_multiple": 1.5, "fall_s": 1.5},
    "discovery": {"add_s": 0.1, "notice_s": 0.1, "crash_notice_s": 0.1},
    "fault": [
        {"kind": "crash", "at_s": 0.7, "for_s": 0.5, "count": 1},
        {"kind": "load", "factor": 2.0, "at_s": 2.5, "for_s": 2.0},
    ],
}  # fmt: skip


def small(case: str) -> int:
    """Seed of a run with few requests, as a test should take about a second."""
    return min(range(41_000, 41_060), key=lambda seed: CASES[case](seed, 20)[0]["office"][0]["rate"])


def worst(pushes: list[PeakLoad]) -> PeakLoad:
    assert pushes
    return max(pushes, key=lambda push: push.bound_ratio)


@pytest.mark.parametrize("case", CASES)
def test_no_cold_server_gets_more_than_chance_explains(case: str) -> None:
    assert worst(measure_case(case, small(case), 20)).bound_ratio <= 1


def test_several_processes_send_a_cold_server_no_more_than_chance_explains() -> None:
    """The real program, over loopback sockets, under a burst; without the margin the scene shows more."""
    pushes, served = asyncio.run(measure_on_sockets(build(SCENE), 1))
    assert worst(pushes).bound_ratio <= 1
    assert worst(pushes).count > 3 and served > 0.5
    without_margin = change(build(SCENE), "proxies.module", {"COLD_MARGIN": 1000.0})
    assert (
        worst(asyncio.run(measure_on_sockets(without_margin, 1))[0]).bound_ratio
        > 1.2 * worst(pushes).bound_ratio
    )


def test_chance_is_the_mean_plus_two_roots_plus_two() -> None:
    assert chance_bound(100.0) == 122.0
