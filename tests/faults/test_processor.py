"""A share of the processor for a test's process: it gets what is meant, and is told where it did not."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time

from tests.faults.processor import Starvation, cpu_s, is_runnable

BUSY, IDLE = "while True: pass", "import time; time.sleep(60)"


def play(program: str, runs_s: float, rests_s: float) -> tuple[Starvation, float]:
    """Starve a process that runs `program`; and the processor time that it had in all."""
    with subprocess.Popen([sys.executable, "-S", "-c", program]) as process:
        try:
            time.sleep(0.3)  # for the interpreter
            before_s = cpu_s(process.pid)
            starvation = Starvation(runs_s, rests_s)
            asyncio.run(starvation.play(process.pid, 1.0))
            return starvation, cpu_s(process.pid) - before_s
        finally:
            process.kill()


def test_a_busy_process_gets_its_share_by_its_own_clock() -> None:
    starvation, had_s = play(BUSY, 0.02, 0.06)
    assert starvation.rounds >= 3
    assert starvation.had_s >= starvation.rounds * 0.02  # each round it had what is meant, or more
    assert starvation.had_s <= starvation.lasted_s - starvation.rounds * 0.06
    assert had_s >= starvation.had_s


def test_an_idle_process_is_not_waited_for() -> None:
    starvation, had_s = play(IDLE, 0.02, 0.06)
    assert had_s < 0.05
    assert starvation.longest_denial_s < 0.1
    assert not starvation.denied


def test_a_process_that_waits_for_a_processor_is_told_from_one_that_sleeps() -> None:
    for program, expected in ((BUSY, True), (IDLE, False)):
        with subprocess.Popen([sys.executable, "-S", "-c", program]) as process:
            try:
                time.sleep(0.3)
                assert is_runnable(process.pid) is expected
            finally:
                process.kill()


def test_a_long_denial_is_told() -> None:
    assert Starvation(0.1, 0.1, longest_denial_s=0.31).denied
    assert not Starvation(0.1, 0.1, longest_denial_s=0.29).denied
