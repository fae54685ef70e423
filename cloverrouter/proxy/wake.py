"""The event loop of a proxy, which notices that it stood still and says so before anything is judged by time.

A `Loop` looks at the clock each time it comes back from its sockets. What is ready there is read before the
timers that have become due meanwhile, as asyncio has it; a gap is told to the parts before both.
"""

from __future__ import annotations

import asyncio
import logging
import selectors
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from cloverrouter.clock import now_s
from cloverrouter.membership.standing import FRESH_S, LATE_S, TOLD_S, Cause, Gap, Standing, arrival
from cloverrouter.proxy.containment import ContainedErrors
from cloverrouter.proxy.descriptors import TRIES, Room, missing
from cloverrouter.proxy.overload import OverloadDetector

# `struct tcp_info` of Linux (linux/tcp.h): eight bytes, of which the first is the state, `tcpi_rto`, in
# microseconds and never 0, and behind ten more figures `tcpi_last_data_recv`, in ms.
INFO_BYTES, RETRANSMIT_TIMEOUT, LAST_DATA = 56, slice(8, 12), slice(52, 56)
QUIET_S = 1.0  # between two lines on a process that starves
# What ran out in a gap is put off by so long, for what lies here to be read; a starved process would put it
# off for ever.
PUT_OFF_S, PUT_OFF_TIMES = 0.1, 3
FIRST_S = 1.0  # so long after a gap a connection that was there by its end may be read from the first time
WOKE_S = 0.05  # so long after a gap what is read may be of before its end, in a pass of its own
WAITED_S = 0.0005  # whoever had to wait for so long at its sockets found nothing ready there
Ready = list[tuple[selectors.SelectorKey, int]]  # as `selectors.BaseSelector.select` has it
log = logging.getLogger(__name__)


def data_age_s(sock: socket.socket) -> float | None:
    """How long ago the last data of a connection came; None where the kernel does not tell."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    except (OSError, AttributeError):
        return None
    # Where sockets are led elsewhere, all of it may be 0, or all but the state, which would say that it came
    # just now. A real connection always has a time-out for retransmission.
    if len(told) < INFO_BYTES or not any(told[RETRANSMIT_TIMEOUT]):
        return None
    return int.from_bytes(told[LAST_DATA], sys.byteorder) / 1000


class Wake:
    """What the parts of one process ask about its standing still; of one that never does, by itself."""

    def __init__(self) -> None:
        self.standing = Standing()
        self.overload = OverloadDetector()
        self.before_s = float("inf")  # when the loop was at its sockets, the time before this one
        self.cpu_s = 0.0  # of the processor, as of late
        # Listeners that leave connections queued on purpose, where the loop does not look meanwhile.
        self.leaving_queued: set[object] = set()
        self.on_gap: list[Callable[[Gap], None]] = []
        self.on_told: Callable[[str], None] = lambda text: None
        self.woke_s = float("-inf")
        self._ahead_s = now_s() - time.monotonic()  # of a clock that a suspended machine stops
        self._slept_s = 0.0  # in the last gap
        self._limits: dict[asyncio.Timeout, int] = {}  # and how often each was put off
        self._told_s = float("-inf")

    def since_s(self, at_s: float) -> float | None:
        """Since when what is read now, at `at_s`, may have waited; None: it has just come."""
        return self.before_s if at_s - self.before_s > FRESH_S else None

    def since_opened_s(self, at_s: float, opened_s: float) -> float | None:
        """The same of the first data of a connection. Danger: it takes some steps of the loop to be read from
        the first time, and the gap may lie before any of them, also before it was accepted."""
        last = self.standing.last
        if last is None or at_s - last.to_s > FIRST_S or opened_s > last.to_s:
            return None
        return last.from_s

    def came(
        self, at_s: float, since_s: float, sock: socket.socket | None, ends_there: bool
    ) -> tuple[float, float]:
        """Between which times the last byte came that is read now, at `at_s`, and not before `since_s`."""
        age_s = None if sock is None else data_age_s(sock)
        return arrival(at_s, since_s, age_s, ends_there, self._slept_s if since_s < self.woke_s else 0.0)

    def ran_s(self, at_s: float) -> float:
        """A clock that stands still with the process: by it others are judged who had to wait for us."""
        return at_s - self.standing.stood_s

    def just_woke(self, at_s: float) -> bool:
        return at_s - self.woke_s < WOKE_S

    def ran_out(self, due_s: float) -> bool:
        return self.standing.ran_out(due_s)

    def stood(self, from_s: float) -> bool:
        """Has it stood still since then?"""
        return self.woke_s > from_s

    @asynccontextmanager
    async def patience(self, delay_s: float) -> AsyncIterator[None]:
        """As `asyncio.timeout`, but put off a little where a gap holds its end. Danger: an answer that came
        meanwhile, and the end of the time it had, are found in the same moment. But whoever answers had all
        that time, and what is asked of us by true time is not to be late by the sum of small gaps."""
        async with asyncio.timeout(delay_s) as limit:
            self._limits[limit] = 0
            try:
                yield
            finally:
                del self._limits[limit]

    def took(self, from_s: float, to_s: float, cpu_s: float) -> Gap:
        """It stood from one moment to the other, and used `cpu_s` of the processor meanwhile."""
        self.woke_s = to_s
        gap = self.standing.late(from_s, to_s, cpu_s)
        self.overload.gap(gap.span_s)
        return gap

    def late(self, from_s: float, to_s: float) -> Gap:
        """The loop was not at its sockets from one moment to the other."""
        cpu_s = time.process_time()
        gap = self.took(from_s, to_s, cpu_s - self.cpu_s)
        self.cpu_s = cpu_s
        ahead_s, self._ahead_s = self._ahead_s, now_s() - time.monotonic()
        self._slept_s = max(0.0, self._ahead_s - ahead_s)
        for limit, times in self._limits.items():
            when_s = limit.when()
            due = when_s is not None and when_s < to_s + PUT_OFF_S and not limit.expired()
            if due and times < PUT_OFF_TIMES:
                self._limits[limit] = times + 1
                limit.reschedule(to_s + PUT_OFF_S)
        if gap.span_s >= TOLD_S or gap.cause is Cause.STARVED:
            self._tell(gap)
        return gap

    def _tell(self, gap: Gap) -> None:
        if gap.cause is Cause.STARVED and gap.to_s - self._told_s < QUIET_S:
            return
        self._told_s = gap.to_s
        at = time.strftime("%H:%M:%S", time.localtime(time.time() - gap.span_s))
        count, cause = self.standing.count, gap.cause.value
        text = f"stood still {gap.span_s:.1f} s at {at} ({cause}), {count} times by now"
        log.warning("%s", text)
        self.on_told(text)

    def alarm(self) -> str | None:
        return self.standing.alarm(now_s())

    def told(self) -> dict[str, object]:
        """For operators."""
        found: dict[str, object] = {"times": self.standing.count, "s": round(self.standing.stood_s, 2)}
        for name, gap in (("longest", self.standing.longest), ("last", self.standing.last)):
            if gap is not None:
                ago_s = round(now_s() - gap.to_s, 1)
                found[name] = {"s": round(gap.span_s, 2), "cause": gap.cause.value, "ago_s": ago_s}
        return found


class _Selector(selectors.DefaultSelector):
    """Notes when the loop comes back from its sockets."""

    def __init__(self, wake: Wake) -> None:
        super().__init__()
        self._wake, self._at_s = wake, now_s()
        self.on_late: Callable[[float, float], None] = lambda from_s, to_s: None

    def select(self, timeout: float | None = None) -> Ready:
        began_s = now_s()
        found, caught_up = self._wait(timeout, began_s)
        at_s = now_s()
        self._wake.before_s, self._at_s = self._at_s, at_s
        late = at_s - self._wake.before_s > LATE_S
        if late:
            self.on_late(self._wake.before_s, at_s)
            # Danger: a wait that a stop broke off ends with nothing, its time being over, or with what was
            # there before; timers would have their turn before what came meanwhile, and that would look new.
            found = super().select(0) or found
            caught_up = not found
        if caught_up:
            self._note_caught_up(at_s, 0.0 if late else at_s - began_s)
        return found

    def _wait(self, timeout: float | None, began_s: float) -> tuple[Ready, bool]:
        """What is ready; and whether nothing was, when this began."""
        if self._wake.overload.recovering:
            # Danger: a wait for the processor looks like one at the sockets, and would end the time that is
            # given to read what came in a gap.
            found = super().select(0)
            if found or timeout == 0:
                return found, not found
            return super().select(timeout), True
        found = super().select(timeout)
        return found, not found or now_s() - began_s > WAITED_S

    def _note_caught_up(self, at_s: float, waited_s: float) -> None:
        if self._wake.leaving_queued:
            self._wake.overload.waited(waited_s)
        else:
            self._wake.overload.caught_up(at_s)


class Loop(asyncio.SelectorEventLoop):
    """asyncio's loop on the clock that counts a suspended machine."""

    def __init__(self) -> None:
        self.wake = Wake()
        self.room = Room()
        self.contained_errors = ContainedErrors()
        selector = self._watched = _Selector(self.wake)
        super().__init__(selector)
        selector.on_late = self._late
        self.set_exception_handler(self.contained_errors.handle_loop_error)

    def time(self) -> float:
        return now_s()

    def watches(self, sock: socket.socket) -> bool:
        """Is this socket waited for? Not if epoll_ctl(2) has failed, which only asyncio's handler is told."""
        return sock.fileno() in self._watched.get_map()

    async def create_connection(self, *what: Any, **how: Any) -> Any:
        """Danger: a call to discovery that finds no descriptor would have failed, and the next one is not
        made at once; others make room for it."""
        for _ in range(TRIES):
            try:
                return await super().create_connection(*what, **how)
            except OSError as error:
                if not missing(error) or not self.room.make(self.time()):
                    raise
            await asyncio.sleep(0)  # what was closed is gone then
        return await super().create_connection(*what, **how)

    def _late(self, from_s: float, to_s: float) -> None:
        if not self.wake.on_gap:
            return  # nobody serves yet
        gap = self.wake.late(from_s, to_s)
        for hear in self.wake.on_gap:
            self.call_soon(hear, gap)  # ahead of all that is read in this pass


def wake_of(loop: object) -> Wake:
    """The loop's own; where it has none, one that never stands still."""
    found = getattr(loop, "wake", None)
    return found if isinstance(found, Wake) else Wake()
