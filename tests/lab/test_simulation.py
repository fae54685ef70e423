"""The driver in simulated time: the same to the byte, on every core count and in every process."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from cloverrouter.lab.scenario import Scenario, change, library, load
from cloverrouter.lab.simulation import simulate

ROOT = Path(__file__).resolve().parents[2]


def shorter(name: str, seconds: float = 8.0) -> Scenario:
    """A scenario of the library, its faults at 2 s, cut short."""
    scenario = load(name)
    if scenario.fault:
        scenario = change(scenario, "fault[*].at_s", 2.0)
    return change(scenario, "seconds", seconds)


@pytest.mark.parametrize("name", [name for name in library() if name != "quiet-proxies"])
def test_each_scenario_of_the_library_runs_and_breaks_no_rule(name: str) -> None:
    assert load(name).name == name
    result = simulate(shorter(name), 1)
    assert not result.broken
    assert result.figures.asked > 100
    assert result.figures.worth > 0.5


def test_one_seed_gives_the_same_bytes_in_every_process() -> None:
    program = (
        "from cloverrouter.lab.simulation import simulate; from tests.lab.test_simulation import shorter;"
        "print(simulate(shorter('rolling-release', 12.0), 7).digest)"
    )
    digests = set()
    for hashing in ("0", "1", "77"):  # sets and dictionaries of texts differ from one process to the next
        environ = {**os.environ, "PYTHONHASHSEED": hashing, "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-c", program]
        done = subprocess.run(command, env=environ, capture_output=True, text=True, check=True)
        digests.add(done.stdout)
    scenario = shorter("rolling-release", 12.0)
    assert digests == {simulate(scenario, 7).digest + "\n"}
    assert simulate(scenario, 8).digest + "\n" not in digests
