"""Count connection events ahead of the balancer's decisions, and log each second in which clients waited.

A request in the listen queue or in an unread socket buffer has no id yet and appears in no other metric. What
can be observed is how long the queue has not been empty, why accepting was deferred, and pauses and CPU time
of the process. A second without such events logs nothing.
"""

from __future__ import annotations

import gc
import logging
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum

from cloverrouter.proxy.memory import resident_mb
from cloverrouter.proxy.messages import AnswerLength

LOG_INTERVAL_S = 1.0
NOTEWORTHY_DELAY_S = 0.05  # in the listen queue
NOTEWORTHY_MEMORY_SHARE = 0.75  # of the memory limit
log = logging.getLogger(__name__)


def collected_objects() -> int:
    """Return how many objects the garbage collector has freed: they were parts of reference cycles."""
    return sum(generation["collected"] for generation in gc.get_stats())


class DeferReason(Enum):
    """Reason for leaving connections in the listen queue for now."""

    RECOVERING = "recovering"  # after a process pause, with half of the connection limit in use
    BEING_ACCEPTED = "being_accepted"  # full, including connections not yet attached to the event loop
    UNREAD_REQUESTS = "unread_requests"  # full, with requests to be read in this loop step
    REFUSING = "refusing"  # full, and no free slot for a connection that is only refused
    NO_DESCRIPTORS = "no_descriptors"  # accept(2) failed: out of descriptors or memory


class RefusalReason(Enum):
    """Reason for refusing a request before the balancer's decisions see it."""

    NO_CAPACITY = "no_capacity"  # the connection limit is reached, and each connection is busy
    EXPIRED = "expired"  # its deadline passed before it was read
    OVERLOADED = "overloaded"  # the event loop is behind its sockets
    NO_MEMORY = "no_memory"  # it is large, and connections hold as much of messages as they may


class LoadCounters:
    """The frontend's counters since the last log line, and in total."""

    def __init__(
        self,
        connections: Callable[[], tuple[int, int]],
        buffered_bytes: Callable[[], int] = lambda: 0,
        memory_limit_mb: float = float("inf"),
    ) -> None:
        """`connections`: returns the number of open connections and the limit; `buffered_bytes`: returns how
        many bytes of messages are buffered."""
        self._connections, self._buffered_bytes = connections, buffered_bytes
        self._memory_limit_mb = memory_limit_mb
        self.total: Counter[str] = Counter()  # since the start, by event
        self._second: Counter[str] = Counter()
        self._accept_delay_s = 0.0
        self._pause_s = 0.0
        self._cpu_s = time.process_time()
        self._collected_objects = collected_objects()

    def accepted(self, delay_s: float) -> None:
        """Record an accepted connection, which waited in the queue for at most `delay_s`."""
        self._second["accepted"] += 1
        self._accept_delay_s = max(self._accept_delay_s, delay_s)

    def deferred(self, reason: DeferReason) -> None:
        """Record that accepting stopped while connections were, or may have been, queued."""
        self._count(f"deferred_{reason.value}")

    def refused(self, reason: RefusalReason) -> None:
        """Record a request refused ahead of the balancer's decisions."""
        self._count(f"refused_{reason.value}")

    def answer_begun(self, length: AnswerLength) -> None:
        """Record that an answer is streamed; one that is not known to be long only for lack of memory, or
        since its time is over."""
        if length is not AnswerLength.LONG:
            self._count(f"answers_begun_{length.value}")

    def paused(self, span_s: float, cause: str) -> None:
        """Record that the event loop did not poll its sockets for `span_s` seconds."""
        self._count(f"paused_{cause.replace(' ', '_')}")
        self._pause_s += span_s

    def _count(self, event: str) -> None:
        self._second[event] += 1
        self.total[event] += 1

    @property
    def noteworthy(self) -> bool:
        """Whether anything but timely accepts happened since the last line."""
        return len(self._second) > ("accepted" in self._second) or self._accept_delay_s >= NOTEWORTHY_DELAY_S

    def log_if_noteworthy(self) -> None:
        """Log the counters of the interval that ends now, if noteworthy, and start the next one."""
        cpu_s, self._cpu_s = self._cpu_s, time.process_time()
        collected_before, self._collected_objects = self._collected_objects, collected_objects()
        memory_mb = resident_mb()
        if self.noteworthy or memory_mb > NOTEWORTHY_MEMORY_SHARE * self._memory_limit_mb:
            count, most = self._connections()
            fields = {
                "connections": count,
                "limit": most,
                "accept_delay_ms": round(self._accept_delay_s * 1000),
                "paused_ms": round(self._pause_s * 1000),
                "cpu_ms": round((self._cpu_s - cpu_s) * 1000),
                "rss_mb": round(memory_mb),
                "buffered_kb": self._buffered_bytes() // 1024,
                "gc_objects": self._collected_objects - collected_before,
                **self._second,
            }
            log.warning("front_load %s", " ".join(f"{name}={value}" for name, value in fields.items()))
        self._second.clear()
        self._accept_delay_s = self._pause_s = 0.0
