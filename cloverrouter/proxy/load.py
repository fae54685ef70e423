"""Count what happens to connections ahead of the decisions, and log each second in which some waited.

A request that lies in the listener's queue, or in a socket that nobody reads, is seen by no one: it has no id
yet and is in no figure. What can be known of it is how long the queue has not been empty, why nobody was
accepted meanwhile, and what the process itself did. A second without any of that logs nothing.
"""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum

EVERY_S = 1.0
NOTEWORTHY_DELAY_S = 0.05  # in the listener's queue
log = logging.getLogger(__name__)


class DeferReason(Enum):
    """Why connections are left in the listener's queue for now."""

    RECOVERING = "recovering"  # after a pause of the process, half of the capacity is in use
    BEING_ACCEPTED = "being_accepted"  # full, with some that the loop does not have yet
    UNREAD_REQUESTS = "unread_requests"  # full of connections whose requests are read in this step
    REFUSING = "refusing"  # full, and so are the places of those that are refused
    NO_DESCRIPTORS = "no_descriptors"  # accept(2) failed for want of them, or of memory


class RefusalReason(Enum):
    """Why a request is refused before the decisions see it."""

    NO_CAPACITY = "no_capacity"  # as many connections are open as may be, and each is busy
    EXPIRED = "expired"  # its time was over before it could be read
    OVERLOADED = "overloaded"  # this process does not keep up with what comes


class LoadCounters:
    """What the front did since the last line of the log, and in all."""

    def __init__(self, connections: Callable[[], tuple[int, int]]) -> None:
        """`connections`: how many are open, and how many may be."""
        self._connections = connections
        self.total: Counter[str] = Counter()  # since the start, by event
        self._second: Counter[str] = Counter()
        self._accept_delay_s = 0.0
        self._pause_s = 0.0
        self._cpu_s = time.process_time()

    def accepted(self, delay_s: float) -> None:
        """A connection was accepted; it had waited for `delay_s` at most."""
        self._second["accepted"] += 1
        self._accept_delay_s = max(self._accept_delay_s, delay_s)

    def deferred(self, reason: DeferReason) -> None:
        """Accepting stopped with connections still queued, or perhaps so."""
        self._count(f"deferred_{reason.value}")

    def refused(self, reason: RefusalReason) -> None:
        """A request was refused that the decisions never saw."""
        self._count(f"refused_{reason.value}")

    def paused(self, span_s: float, cause: str) -> None:
        """The process was not at its sockets for `span_s`, in seconds."""
        self._count(f"paused_{cause.replace(' ', '_')}")
        self._pause_s += span_s

    def _count(self, event: str) -> None:
        self._second[event] += 1
        self.total[event] += 1

    @property
    def noteworthy(self) -> bool:
        """Has anything but accepting in good time happened since the last line?"""
        return len(self._second) > ("accepted" in self._second) or self._accept_delay_s >= NOTEWORTHY_DELAY_S

    def tell(self) -> None:
        """Log the second that ends now, if it is worth a line, and begin the next one."""
        cpu_s, self._cpu_s = self._cpu_s, time.process_time()
        if self.noteworthy:
            count, most = self._connections()
            fields = {
                "connections": count,
                "limit": most,
                "accept_delay_ms": round(self._accept_delay_s * 1000),
                "paused_ms": round(self._pause_s * 1000),
                "cpu_ms": round((self._cpu_s - cpu_s) * 1000),
                **self._second,
            }
            log.warning("front_load %s", " ".join(f"{name}={value}" for name, value in fields.items()))
        self._second.clear()
        self._accept_delay_s = self._pause_s = 0.0
