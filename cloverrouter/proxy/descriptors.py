"""Which descriptors are kept back for which purpose, and who makes room where one is missing. No I/O.

The limit on descriptors holds for all processes of one proxy together, and `RLIMIT_NOFILE` for each of them.
What is left of a process's part when `KEPT` is taken off is shared half and half by clients and hosts, so
that neither can keep the other, or discovery, from a connection.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from cloverrouter.values import Value

MADE_AT_ONCE = 4  # connections that are taken in one step in the place of others, which close in the next one
REFUSED_AT_ONCE = 4  # connections that are accepted beyond the limit, to refuse what they ask
KEPT = {
    "standard streams": 3,
    "the event loop: epoll, and the pair that wakes it": 3,
    "the listener": 1,
    "the lock that tells of this process, and one that is tried": 2,
    # `discovery.MOST_LATE` calls that were given up and are still heard; a closed one is gone a step later.
    "discovery: a call, two late ones, one of a former address, one that closes": 5,
    "clients' connections of which each request is refused, for want of room": REFUSED_AT_ONCE,
    "clients' connections that have made room and are gone a step later": MADE_AT_ONCE,
    "files: settings, tallies, what is loaded late": 3,
    # While a successor starts, and this process has not heard of it yet.
    "a successor's first steps": 2,
}
AT_START = 9  # of these are open when the parts are put together: the first four
LEAST = 4  # for clients and for hosts each
MANAGEMENT = 9  # its listener, its file as it is changed (lock, old, new, folder), callers being closed: 4
CALLERS_PART = 16  # of the limit is for operators' calls, `MOST_CALLERS` at most
MOST_CALLERS = 64
# Our own lack: what fails by it says nothing about the other side.
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)
OWN_LACK = (*NO_DESCRIPTOR, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
TRIES = 3  # of whoever finds no descriptor
PAUSE_S = 0.2  # in which room is made `TRIES` times at most, if nobody gets a descriptor by it


class Budget(Value):
    """Of one process."""

    clients: int  # connections of clients
    hosts: int  # connections to hosts, those that come up among them


def callers(limit: int) -> int:
    """Operators' calls that may be open at once."""
    return max(1, min(MOST_CALLERS, limit // CALLERS_PART))


def budget(limit: int, most: int, processes: int = 1, others: int = 0, opened: int = AT_START) -> Budget:
    """`limit`: of all processes of the proxy together; `most`: of this one (`RLIMIT_NOFILE`; below 0: none);
    `processes`: how many there are; `others`: for what operators have turned on; `opened`: that were open at
    the start.

    Raises ValueError, with the least limit that would do, where one process has too few by its settings; what
    whoever starts it has left open takes off at most what is over the least.
    """
    kept = sum(KEPT.values()) + others
    most = most if most >= 0 else limit
    left = min(limit // processes, most) - kept
    if left < 2 * LEAST and processes == 1:
        least = kept + 2 * LEAST
        name, told = ("limits.sockets", limit) if limit <= most else ("RLIMIT_NOFILE", most)
        raise ValueError(f"{name} is {told}; right is at least {least}, of which {kept} are kept back")
    half = max(LEAST, (left - max(0, opened - AT_START)) // 2)
    return Budget(half, half)


def missing(error: BaseException) -> bool:
    """Has there been no descriptor left, in this process or on this machine?"""
    return isinstance(error, OSError) and error.errno in NO_DESCRIPTOR


def own_lack(error: BaseException) -> bool:
    return isinstance(error, OSError) and error.errno in OWN_LACK


class Room:
    """Who can free a descriptor, those first that are missed least. It is free in the loop's next step.

    Where the whole machine has none left, what is closed here goes to others: connections of clients would be
    closed without end, to no use. So `TRIES` make room within `PAUSE_S`, for as long as nobody gets a
    descriptor by it. Times are in seconds of the loop's clock.
    """

    def __init__(self) -> None:
        self.makers: list[Callable[[], bool]] = []
        self._made = 0  # times in this pause
        self._pause_ends_s = float("-inf")

    def make(self, now_s: float, *preferred: Callable[[], bool]) -> bool:
        """Has room been made, now or shortly before, for whoever comes first? `preferred` are asked ahead of
        the others."""
        if now_s >= self._pause_ends_s:
            self._made = 0
        if self._made >= TRIES:
            return True
        if not any(maker() for maker in (*preferred, *self.makers)):
            return self._made > 0
        if not self._made:
            self._pause_ends_s = now_s + PAUSE_S
        self._made += 1
        return True

    def used(self) -> None:
        """A descriptor was got: what is closed here is of use."""
        self._made = 0


def room_of(loop: object) -> Room:
    """The loop's own; where it has none, one in which nobody can make any."""
    found = getattr(loop, "room", None)
    return found if isinstance(found, Room) else Room()
