"""The driver in simulated time: byte-identical results in every process, and the library's scenarios."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from cloverrouter.lab.scenario import Scenario, change, library, load
from cloverrouter.lab.simulation import simulate

ROOT = Path(__file__).resolve().parents[2]


def shorter(name: str, seconds: float = 8.0) -> Scenario:
    """Return a scenario of the library, shortened, with its faults at 2 s."""
    scenario = load(name)
    if scenario.fault:
        scenario = change(scenario, "fault[*].at_s", 2.0)
    return change(scenario, "seconds", seconds)


@pytest.mark.parametrize("name", [name for name in library() if name != "quiet-proxies"])
def test_library_scenario_runs_without_violated_invariants(name: str) -> None:
    assert load(name).name == name
    result = simulate(shorter(name), 1)
    assert not result.broken
    assert result.figures.asked > 100
    assert result.figures.worth > 0.5


def rolling_release() -> Scenario:
    return shorter("rolling-release", 12.0)


def replaced_while_discovery_is_silent() -> Scenario:
    """Return a scenario in which one list names several new servers: all that started during the silence."""
    return change(shorter("rolling-release", 6.0), "fault[0].within_s", 2.0)


def digests_in_other_processes(scenario: Callable[[], Scenario], seed: int, *hash_seeds: str) -> list[str]:
    """Return the digests of a run in one process for each of these values of PYTHONHASHSEED, on which the
    order of sets of strings depends."""
    program = (
        "from cloverrouter.lab.simulation import simulate; from tests.lab import test_simulation;"
        f"print(simulate(test_simulation.{scenario.__name__}(), {seed}).digest)"
    )
    digests = []
    for hash_seed in hash_seeds:
        environ = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-c", program]
        completed = subprocess.run(command, env=environ, capture_output=True, text=True, check=True)
        digests.append(completed.stdout.strip())
    return digests


def test_digest_for_one_seed_is_the_same_in_every_process() -> None:
    digests = set(digests_in_other_processes(rolling_release, 7, "0", "1", "77"))
    assert digests == {simulate(rolling_release(), 7).digest}
    assert simulate(rolling_release(), 8).digest not in digests


def test_digest_does_not_depend_on_the_hash_seed_where_a_list_names_several_new_servers() -> None:
    digests = digests_in_other_processes(replaced_while_discovery_is_silent, 1, "0", "1", "2")
    assert digests[0] and digests == digests[:1] * 3
