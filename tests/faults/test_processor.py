"""CPU share of a test's process: it gets the intended share, and a denial by the machine is recorded."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time

import pytest

from cloverrouter.lab.processor import cpu_s, is_runnable, let_run
from tests.faults.processor import Starvation

BUSY, IDLE = "while True: pass", "import time; time.sleep(60)"


def play(program: str, run_s: float, rest_s: float) -> tuple[Starvation, float]:
    """Starve a process that runs `program`; return the starvation, and the total CPU time of the process."""
    with subprocess.Popen([sys.executable, "-S", "-c", program]) as process:
        try:
            time.sleep(0.3)  # startup of the interpreter
            before_s = cpu_s(process.pid)
            starvation = Starvation(run_s, rest_s)
            asyncio.run(starvation.play(process.pid, 1.0))
            return starvation, cpu_s(process.pid) - before_s
        finally:
            process.kill()


def test_busy_process_gets_its_share_of_cpu_time() -> None:
    starvation, used_s = play(BUSY, 0.02, 0.06)
    assert starvation.rounds >= 3
    assert starvation.cpu_used_s >= starvation.rounds * 0.02  # in each round it got its CPU time, or more
    assert starvation.cpu_used_s <= starvation.elapsed_s - starvation.rounds * 0.06
    assert used_s >= starvation.cpu_used_s


def test_an_idle_process_is_not_waited_for() -> None:
    starvation, used_s = play(IDLE, 0.02, 0.06)
    assert used_s < 0.05
    assert starvation.max_denial_s < 0.1
    assert not starvation.denied


def test_process_that_waits_for_a_cpu_is_distinguished_from_a_sleeping_one() -> None:
    for program, expected in ((BUSY, True), (IDLE, False)):
        with subprocess.Popen([sys.executable, "-S", "-c", program]) as process:
            try:
                time.sleep(0.3)
                assert is_runnable(process.pid) is expected
            finally:
                process.kill()


def test_process_is_let_run_until_it_has_used_its_cpu_time() -> None:
    """On a busy machine this takes longer than the time for which it may run."""
    with subprocess.Popen([sys.executable, "-S", "-c", BUSY]) as process:
        try:
            time.sleep(0.3)

            async def scene() -> float:
                before_s = cpu_s(process.pid)
                await let_run(process.pid, 0.05)
                return cpu_s(process.pid) - before_s

            assert asyncio.run(scene()) >= 0.05
        finally:
            process.kill()


@pytest.mark.parametrize("program", [IDLE, "pass"])
def test_process_without_work_is_let_run_for_the_given_time_only(program: str) -> None:
    with subprocess.Popen([sys.executable, "-S", "-c", program]) as process:
        try:
            time.sleep(0.3)
            began_s = time.monotonic()
            asyncio.run(let_run(process.pid, 0.05))
            assert time.monotonic() - began_s < 1.0
        finally:
            process.kill()


def test_long_denial_is_recorded() -> None:
    assert Starvation(0.1, 0.1, max_denial_s=0.31).denied
    assert not Starvation(0.1, 0.1, max_denial_s=0.29).denied
