"""The memory of this process, as its limit counts it."""

from __future__ import annotations

import os
import resource


def resident_mb() -> float:
    """Return the resident memory of this process in MiB (proc(5), statm); 0 where it can't be read."""
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[1])
    except (OSError, IndexError, ValueError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def peak_resident_mb() -> float:
    """Return the largest resident memory since the start of this process in MiB (getrusage(2))."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
