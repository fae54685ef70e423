"""The CPU time of another process, by its own clock (clock_getcpuclockid(3))."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

POLL_INTERVAL_S = 0.002
# `MAKE_PROCESS_CPUCLOCK(pid, CPUCLOCK_SCHED)` of Linux (include/linux/posix-timers.h).
PROCESS_CLOCK_SHIFT, SCHEDULER_CLOCK = 3, 2


def cpu_s(pid: int) -> float:
    """Return the CPU time that the process has used, in seconds. Raises OSError if it has ended."""
    return time.clock_gettime((~pid << PROCESS_CLOCK_SHIFT) | SCHEDULER_CLOCK)


def is_runnable(pid: int) -> bool:
    """Whether the process is running, or waits only for a CPU (proc(5), `stat`, third field)."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "R"


async def let_run(pid: int, run_s: float) -> None:
    """Wait until `run_s` have passed and the process has used that CPU time, or has nothing to do.

    On a busy machine, a process that may run for `run_s` gets only the CPU time that the others leave.
    Returns early if the process ends.
    """
    try:
        before_s = cpu_s(pid)
        await asyncio.sleep(run_s)
        while is_runnable(pid) and cpu_s(pid) - before_s < run_s:
            await asyncio.sleep(POLL_INTERVAL_S)
    except OSError:
        return
