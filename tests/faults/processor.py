"""Give a process a share of the processor, by the time that it really had.

What a signal stops and lets go on gets as much of the processor as the machine leaves it: on a busy one less
than is meant, and a test would ask for what nobody could do. So a process that still has work goes on until
it had its time, by its own clock (clock_getcpuclockid(3)), and how long the machine kept it waiting is told.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from dataclasses import dataclass
from pathlib import Path

LOOK_S = 0.002
# A process that had none of the processor for so long, though it was runnable, was denied it by its machine.
# Clients with the shortest times give up after this.
LONG_DENIAL_S = 0.3
# `MAKE_PROCESS_CPUCLOCK(pid, CPUCLOCK_SCHED)` of Linux (include/linux/posix-timers.h).
PROCESS_CLOCK_SHIFT, SCHEDULER_CLOCK = 3, 2


def cpu_s(pid: int) -> float:
    """Processor time that the process has had, in seconds."""
    return time.clock_gettime((~pid << PROCESS_CLOCK_SHIFT) | SCHEDULER_CLOCK)


def is_runnable(pid: int) -> bool:
    """Does it run, or wait for nothing but the processor (proc(5), `stat`, third field)?"""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "R"


async def pause(pid: int, seconds: float) -> None:
    """Hold the process up once."""
    os.kill(pid, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    os.kill(pid, signal.SIGCONT)


@dataclass
class Starvation:
    """A process that runs for `runs_s` of the processor and rests for `rests_s` in turn."""

    runs_s: float
    rests_s: float
    rounds: int = 0
    had_s: float = 0.0  # of the processor
    lasted_s: float = 0.0
    longest_denial_s: float = 0.0

    @property
    def denied(self) -> bool:
        """Did the machine keep it from running for so long that no program could have answered in time?"""
        return self.longest_denial_s >= LONG_DENIAL_S

    async def play(self, pid: int, seconds: float) -> None:
        began_s, before_s = time.monotonic(), cpu_s(pid)
        while time.monotonic() - began_s < seconds:
            await pause(pid, self.rests_s)
            await self._run(pid)
            self.rounds += 1
        self.had_s, self.lasted_s = cpu_s(pid) - before_s, time.monotonic() - began_s

    async def _run(self, pid: int) -> None:
        """Until its time is over, and it has had it or has nothing to do."""
        began_s = progress_s = time.monotonic()
        before_s = last_s = cpu_s(pid)
        while True:
            await asyncio.sleep(LOOK_S)
            now_s, had_s, runnable = time.monotonic(), cpu_s(pid), is_runnable(pid)
            if had_s > last_s or not runnable:
                progress_s, last_s = now_s, had_s
            self.longest_denial_s = max(self.longest_denial_s, now_s - progress_s)
            if now_s - began_s >= self.runs_s and (had_s - before_s >= self.runs_s or not runnable):
                return

    def summary(self) -> str:
        share = self.had_s / self.lasted_s
        return f"{share:.3f} of the processor, denied it for {self.longest_denial_s:.2f} s at once at most"
