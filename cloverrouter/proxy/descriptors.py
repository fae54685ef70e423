"""Budget of file descriptors: reserved ones by purpose, and reclaiming when none is free. No I/O.

The configured limit applies to all processes of one proxy together, `RLIMIT_NOFILE` to each of them. What
remains of a process's share after `RESERVED` is split evenly between clients' connections and connections
to hosts, so that neither side can starve the other, or discovery.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from cloverrouter.values import Value

# Connections accepted per loop step in place of evicted ones, which close in the next step.
MAX_EVICTIONS_PER_STEP = 4
MAX_REFUSING_CONNECTIONS = 4  # accepted beyond the limit, only to refuse their requests
RESERVED = {
    "standard streams": 3,
    "the event loop: epoll, and the socket pair for wake-ups": 3,
    "the listener": 1,
    "the lock file that announces this process, and one that is tried": 2,
    # `discovery.MAX_LATE_CALLS` calls that timed out and whose answer is still accepted; a closed one
    # releases its descriptor one loop step later.
    "discovery: a call, two late ones, one to a previous address, one that closes": 5,
    "client connections beyond the limit, whose requests are refused": MAX_REFUSING_CONNECTIONS,
    "evicted client connections, which close one loop step later": MAX_EVICTIONS_PER_STEP,
    "files: settings, tallies, lazily loaded modules": 3,
    # For the time in which a successor starts and this process does not know of it yet.
    "startup of a successor process": 2,
}
OPEN_AT_START = 9  # of the reserved ones: the first four purposes are open before the limits are computed
MIN_CONNECTIONS = 4  # for clients and for hosts, each
# Its listener; its file while it is rewritten (lock, old, new, directory); 4 for callers that are closing.
MANAGEMENT_DESCRIPTORS = 9
OPERATOR_CALLS_DIVISOR = 16  # the limit over this is for operators' calls, up to `MAX_OPERATOR_CALLS`
MAX_OPERATOR_CALLS = 64
# Local resource exhaustion: a call that fails with one of these says nothing about the peer.
NO_DESCRIPTOR_ERRNOS = (errno.EMFILE, errno.ENFILE)
LOCAL_RESOURCE_ERRNOS = (*NO_DESCRIPTOR_ERRNOS, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
MAX_RECLAIMS = 3  # per interval while no descriptor is acquired; also the retries of one call
RECLAIM_INTERVAL_S = 0.2  # window for `MAX_RECLAIMS`


class ConnectionLimits(Value):
    """Connection limits of one process."""

    clients: int  # connections from clients
    hosts: int  # connections to hosts, including those being established


def max_operator_calls(limit: int) -> int:
    """Return how many operators' calls may be open at once, for a descriptor limit of `limit`."""
    return max(1, min(MAX_OPERATOR_CALLS, limit // OPERATOR_CALLS_DIVISOR))


def connection_limits(
    limit: int,
    process_limit: int,
    processes: int = 1,
    extension_descriptors: int = 0,
    open_at_start: int = OPEN_AT_START,
) -> ConnectionLimits:
    """Split the descriptors of one process between clients and hosts.

    `limit`: for all processes of the proxy together; `process_limit`: `RLIMIT_NOFILE` of this process,
    negative if unlimited; `processes`: how many there are; `extension_descriptors`: reserved for enabled
    extensions; `open_at_start`: descriptors open at the start, including those left open by the parent.

    Raises ValueError, naming the smallest sufficient limit, if the settings leave a single process too few.
    Inherited descriptors reduce the result only down to `MIN_CONNECTIONS`.
    """
    reserved = sum(RESERVED.values()) + extension_descriptors
    process_limit = process_limit if process_limit >= 0 else limit
    available = min(limit // processes, process_limit) - reserved
    if available < 2 * MIN_CONNECTIONS and processes == 1:
        least = reserved + 2 * MIN_CONNECTIONS
        name, value = (
            ("limits.sockets", limit) if limit <= process_limit else ("RLIMIT_NOFILE", process_limit)
        )
        raise ValueError(f"{name} is {value}; right is at least {least}, of which {reserved} are kept back")
    half = max(MIN_CONNECTIONS, (available - max(0, open_at_start - OPEN_AT_START)) // 2)
    return ConnectionLimits(half, half)


def is_descriptor_exhaustion(error: BaseException) -> bool:
    """Whether no descriptor was free, in this process (EMFILE) or on this machine (ENFILE)."""
    return isinstance(error, OSError) and error.errno in NO_DESCRIPTOR_ERRNOS


def is_local_resource_error(error: BaseException) -> bool:
    return isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRNOS


class DescriptorBudget:
    """Reclaims descriptors by closing connections, the least valuable ones first.

    A reclaimed descriptor is free in the loop's next step. If the whole machine has run out, other processes
    get the descriptors that are closed here, and client connections would be closed endlessly to no benefit.
    So there are at most `MAX_RECLAIMS` within `RECLAIM_INTERVAL_S` unless a descriptor is acquired meanwhile.
    Times are in seconds of the loop's clock.
    """

    def __init__(self) -> None:
        self.reclaimers: list[Callable[[], bool]] = []
        self._reclaims = 0  # in the current interval
        self._interval_ends_s = float("-inf")

    def reclaim(self, now_s: float, *preferred: Callable[[], bool]) -> bool:
        """Close a connection to free a descriptor; return whether one was closed now or in this interval.

        The freed descriptor goes to the next caller that opens one. `preferred` are called before the others.
        """
        if now_s >= self._interval_ends_s:
            self._reclaims = 0
        if self._reclaims >= MAX_RECLAIMS:
            return True
        if not any(reclaimer() for reclaimer in (*preferred, *self.reclaimers)):
            return self._reclaims > 0
        if not self._reclaims:
            self._interval_ends_s = now_s + RECLAIM_INTERVAL_S
        self._reclaims += 1
        return True

    def acquired(self) -> None:
        """Record that a descriptor was obtained, so reclaiming is effective; resets the count."""
        self._reclaims = 0


def descriptor_budget_of(loop: object) -> DescriptorBudget:
    """Return the loop's budget, or an empty one without reclaimers if the loop has none."""
    found = getattr(loop, "descriptor_budget", None)
    return found if isinstance(found, DescriptorBudget) else DescriptorBudget()
