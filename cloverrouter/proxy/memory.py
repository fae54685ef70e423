"""The memory of this process, and the budget for the parts of messages that its connections hold.

A connection may always hold a small message. What it holds beyond that comes out of one budget for all
connections, so that hundreds of clients that send or read slowly can't take the process over its limit.
"""

from __future__ import annotations

import os

from cloverrouter.proxy.messages import STREAMING_THRESHOLD_BYTES


def resident_mb() -> float:
    """Return the resident memory of this process in MiB (proc(5), statm); 0 where it can't be read."""
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[1])
    except (OSError, IndexError, ValueError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def peak_resident_mb() -> float:
    """Return the largest resident memory of this process so far in MiB (proc(5), status); 0 where it can't be
    read. getrusage(2) also counts the process that started this one."""
    try:
        with open("/proc/self/status", "rb") as file:
            text = file.read()
        return int(text.partition(b"VmHWM:")[2].split()[0]) / 1024
    except (OSError, IndexError, ValueError):
        return 0.0


DEFAULT_MEMORY_MB = 192.0  # where no limit is given
BASE_MB = 24.0  # of the interpreter, the program, and idle connections
MESSAGE_SHARE = 0.25  # of what remains: copies and the allocator's fragmentation multiply what is held
MIN_BUDGET_BYTES = 1024 * 1024
FREE_BYTES = 4096  # held by a connection at no charge
SMALL_READ_BYTES = 2048  # read at once while the budget is exhausted
# Answers of undeclared length can't be passed on early. Beyond the budget, as many as fit into this part
# of it may be held whole at a time, so that some of them always come to their end.
ANSWER_RESERVE_DIVISOR = 4
MIN_RESERVED_ANSWERS = 4


def message_budget_bytes(memory_mb: float, processes: int = 1) -> int:
    """Return how much one of `processes` that share a limit of `memory_mb` may hold of messages."""
    available_mb = memory_mb / processes - BASE_MB
    return max(MIN_BUDGET_BYTES, int(MESSAGE_SHARE * available_mb * 2**20))


class MemoryBudget:
    """What all connections hold of messages, against one limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.reserved_answers = 0  # that may be held whole, beyond the limit

    @property
    def exhausted(self) -> bool:
        return self.held_bytes >= self.limit_bytes

    @property
    def max_reserved_answers(self) -> int:
        """How many answers may be held whole beyond the limit."""
        reserve_bytes = self.limit_bytes // ANSWER_RESERVE_DIVISOR
        return max(MIN_RESERVED_ANSWERS, reserve_bytes // STREAMING_THRESHOLD_BYTES)

    def view(self, buffer: memoryview) -> memoryview:
        """Return the part of a read buffer that may be filled now."""
        return buffer[:SMALL_READ_BYTES] if self.held_bytes >= self.limit_bytes else buffer


class MemoryAccount:
    """What one connection holds of messages."""

    __slots__ = ("_budget", "_charged_bytes", "_is_reserved")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._charged_bytes = 0
        self._is_reserved = False  # it has a place in the reserve for answers

    def hold(self, size: int) -> None:
        """Record that the connection holds `size` bytes now; 0 at its end."""
        charged = size - FREE_BYTES if size > FREE_BYTES else 0
        if charged != self._charged_bytes:
            self._budget.held_bytes += charged - self._charged_bytes
            self._charged_bytes = charged
        if not size and self._is_reserved:
            self._budget.reserved_answers -= 1
            self._is_reserved = False

    def may_hold(self, size: int) -> bool:
        """Whether the connection may hold `size` bytes: no more than before, or within the budget."""
        growth = size - FREE_BYTES - self._charged_bytes
        return growth <= 0 or self._budget.held_bytes + growth <= self._budget.limit_bytes

    def may_hold_answer(self, size: int) -> bool:
        """Whether the connection may hold `size` bytes of an answer of undeclared length: within the budget,
        or else by a place in the reserve, which the connection keeps until it holds nothing."""
        if self._is_reserved or self.may_hold(size):
            return True
        if self._budget.reserved_answers >= self._budget.max_reserved_answers:
            return False
        self._budget.reserved_answers += 1
        self._is_reserved = True
        return True
