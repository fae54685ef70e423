"""Limit a process to a share of a CPU, measured by the CPU time that it really used.

A process that is stopped and continued by signals gets only the CPU time that the machine has left. On a busy
machine that is less than intended, and a test would demand the impossible. So a process that still has work
runs until it has used its CPU time, by its own clock (clock_getcpuclockid(3)), and the longest time for which
the machine kept it waiting is recorded.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from dataclasses import dataclass

from cloverrouter.lab.processor import POLL_INTERVAL_S, cpu_s, is_runnable

# A runnable process that used no CPU time for this long was denied it by the machine. Clients with the
# shortest timeouts give up after this time.
LONG_DENIAL_S = 0.3


async def pause(pid: int, seconds: float) -> None:
    """Pause the process once, by SIGSTOP and SIGCONT."""
    os.kill(pid, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    os.kill(pid, signal.SIGCONT)


@dataclass
class Starvation:
    """Makes a process alternate between using `run_s` of CPU time and being stopped for `rest_s`."""

    run_s: float
    rest_s: float
    rounds: int = 0
    cpu_used_s: float = 0.0  # CPU time of the process
    elapsed_s: float = 0.0
    max_denial_s: float = 0.0

    @property
    def denied(self) -> bool:
        """Whether the machine denied it CPU time for too long for any program to answer in time."""
        return self.max_denial_s >= LONG_DENIAL_S

    async def play(self, pid: int, seconds: float) -> None:
        began_s, before_s = time.monotonic(), cpu_s(pid)
        while time.monotonic() - began_s < seconds:
            await pause(pid, self.rest_s)
            await self._run(pid)
            self.rounds += 1
        self.cpu_used_s, self.elapsed_s = cpu_s(pid) - before_s, time.monotonic() - began_s

    async def _run(self, pid: int) -> None:
        """Wait until `run_s` have passed and the process has used that CPU time, or has nothing to do."""
        began_s = progress_s = time.monotonic()
        before_s = last_s = cpu_s(pid)
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now_s, used_s, runnable = time.monotonic(), cpu_s(pid), is_runnable(pid)
            if used_s > last_s or not runnable:
                progress_s, last_s = now_s, used_s
            self.max_denial_s = max(self.max_denial_s, now_s - progress_s)
            if now_s - began_s >= self.run_s and (used_s - before_s >= self.run_s or not runnable):
                return

    def summary(self) -> str:
        share = self.cpu_used_s / self.elapsed_s
        return f"{share:.3f} of a CPU, denied it for up to {self.max_denial_s:.2f} s at a time"
