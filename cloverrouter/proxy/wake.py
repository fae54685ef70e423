"""The event loop of a proxy, which detects process pauses and reports them before any timer is evaluated.

A `Loop` reads the clock after each poll of its sockets. As in asyncio, ready sockets are read before the
timers that have expired meanwhile; the `on_pause` callbacks run before both.
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
from cloverrouter.membership.standing import (
    GAP_LOG_THRESHOLD_S,
    LATE_POLL_S,
    READ_AGE_CHECK_S,
    LoopGap,
    PauseCause,
    PauseTracker,
    arrival_bounds,
)
from cloverrouter.proxy.containment import ContainedErrors
from cloverrouter.proxy.descriptors import MAX_RECLAIMS, DescriptorBudget, is_descriptor_exhaustion
from cloverrouter.proxy.overload import OverloadDetector

# `struct tcp_info` of Linux (linux/tcp.h): eight bytes, the first of which is the state; `tcpi_rto`, in
# microseconds and never 0; ten more 32-bit fields; `tcpi_last_data_recv`, in ms.
TCP_INFO_BYTES, TCPI_RTO, TCPI_LAST_DATA_RECV = 56, slice(8, 12), slice(52, 56)
STARVED_LOG_INTERVAL_S = 1.0  # between two log lines on a process that is starved of CPU time
# A timeout that expired in a gap is extended by this time, so that pending data is read first. The number of
# extensions is limited, as a starved process would extend it forever.
TIMEOUT_EXTENSION_S, MAX_TIMEOUT_EXTENSIONS = 0.1, 3
# Up to this time after a gap, the first read of a connection that was opened before its end may still be due.
FIRST_READ_WINDOW_S = 1.0
JUST_RESUMED_S = 0.05  # data read within this time after a gap may have arrived before its end
BLOCKED_POLL_S = 0.0005  # a poll that took longer than this had found nothing ready
Ready = list[tuple[selectors.SelectorKey, int]]  # the result type of `selectors.BaseSelector.select`
log = logging.getLogger(__name__)


def data_age_s(sock: socket.socket) -> float | None:
    """Return the seconds since a connection last received data; None if the kernel does not report them."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except (OSError, AttributeError):
        return None
    # Where sockets are redirected or emulated, all fields may be 0, or all but the state, which would read as
    # "received just now". A real connection always has a retransmission timeout.
    if len(info) < TCP_INFO_BYTES or not any(info[TCPI_RTO]):
        return None
    return int.from_bytes(info[TCPI_LAST_DATA_RECV], sys.byteorder) / 1000


class PauseDetector:
    """Records the pauses of one process, for the modules that measure time.

    Without a `Loop` that reports to it, it behaves as in a process that is never paused.
    """

    def __init__(self) -> None:
        self.pauses = PauseTracker()
        self.overload = OverloadDetector()
        self.previous_poll_s = float("inf")  # when the poll before the latest one returned
        self.last_poll_s = float("inf")  # when the latest poll returned
        self.cpu_s = 0.0  # CPU time of the process at the latest measurement
        # Listeners that deliberately leave connections queued and are not polled meanwhile.
        self.deferring_listeners: set[object] = set()
        self.on_pause: list[Callable[[LoopGap], None]] = []
        self.on_report: Callable[[str], None] = lambda text: None
        self.resumed_s = float("-inf")
        # Ahead of CLOCK_MONOTONIC, which stops while the machine is suspended.
        self._clock_offset_s = now_s() - time.monotonic()
        self._suspended_s = 0.0  # time that the machine was suspended in the last gap
        self._extensions: dict[asyncio.Timeout, int] = {}  # number of extensions of each active timeout
        self._last_logged_s = float("-inf")

    def waiting_since_s(self, at_s: float) -> float | None:
        """Return since when data read at `at_s` may have been pending; None if it has just arrived."""
        return self.previous_poll_s if at_s - self.previous_poll_s > READ_AGE_CHECK_S else None

    def first_data_waiting_since_s(self, at_s: float, opened_s: float) -> float | None:
        """Return since when the first data of a connection, opened at `opened_s`, may have been pending.

        Several loop steps pass before a new connection is first read, and the gap may precede any of them,
        even the accept.
        """
        last = self.pauses.last
        if last is None or at_s - last.to_s > FIRST_READ_WINDOW_S or opened_s > last.to_s:
            return None
        return last.from_s

    def arrival_bounds_s(
        self, at_s: float, since_s: float, sock: socket.socket | None, is_last_data: bool
    ) -> tuple[float, float]:
        """Return the bounds on when the last byte that is read at `at_s` arrived, not before `since_s`."""
        age_s = None if sock is None else data_age_s(sock)
        return arrival_bounds(
            at_s, since_s, age_s, is_last_data, self._suspended_s if since_s < self.resumed_s else 0.0
        )

    def active_time_s(self, at_s: float) -> float:
        """Return the time on a clock that excludes process pauses.

        It is used to time peers, which had to wait for this process during its pauses.
        """
        return at_s - self.pauses.paused_s

    def active_time_at_poll_s(self, at_s: float) -> float:
        """Return the same as of the latest poll: a pause since then is recorded by the next one.

        For what is ended once its time is over. The other method would count such a pause as elapsed time.
        """
        return self.active_time_s(min(at_s, self.last_poll_s))

    def is_overloaded(self, at_s: float) -> bool:
        """Whether the loop has fallen behind.

        A pause after the latest poll is recorded by the next one. What is read in between is judged as of the
        latest poll, as if the pause were recorded already.
        """
        if at_s - self.last_poll_s > LATE_POLL_S and not self.overload.recovering:
            at_s = self.last_poll_s
        return self.overload.is_overloaded(at_s)

    def just_resumed(self, at_s: float) -> bool:
        return at_s - self.resumed_s < JUST_RESUMED_S

    def paused_at_expiry(self, due_s: float) -> bool:
        return self.pauses.passed_in_last_gap(due_s)

    def paused_since(self, from_s: float) -> bool:
        """Whether the process was paused after `from_s`."""
        return self.resumed_s > from_s

    @asynccontextmanager
    async def timeout_excluding_pauses(self, delay_s: float) -> AsyncIterator[None]:
        """Like `asyncio.timeout`, but extended briefly if it expires in a gap.

        After a gap, an answer that arrived in it and the expired timeout are found in the same loop step;
        the extension lets the answer be read first. The gap as such still counts: the peer had all of that
        time, and obligations in real time must not be delayed by the sum of small gaps.
        """
        async with asyncio.timeout(delay_s) as timeout:
            self._extensions[timeout] = 0
            try:
                yield
            finally:
                del self._extensions[timeout]

    def record_pause(self, from_s: float, to_s: float, cpu_s: float) -> LoopGap:
        """Record a gap from `from_s` to `to_s`, in which the process used `cpu_s` seconds of CPU time."""
        self.resumed_s = to_s
        gap = self.pauses.record_gap(from_s, to_s, cpu_s)
        self.overload.record_gap(gap.span_s)
        return gap

    def loop_delayed(self, from_s: float, to_s: float) -> LoopGap:
        """Record that the loop did not poll from `from_s` to `to_s`, and extend the timeouts that expired."""
        cpu_s = time.process_time()
        gap = self.record_pause(from_s, to_s, cpu_s - self.cpu_s)
        self.cpu_s = cpu_s
        previous_offset_s, self._clock_offset_s = self._clock_offset_s, now_s() - time.monotonic()
        self._suspended_s = max(0.0, self._clock_offset_s - previous_offset_s)
        for timeout, extensions in self._extensions.items():
            when_s = timeout.when()
            due = when_s is not None and when_s < to_s + TIMEOUT_EXTENSION_S and not timeout.expired()
            if due and extensions < MAX_TIMEOUT_EXTENSIONS:
                self._extensions[timeout] = extensions + 1
                timeout.reschedule(to_s + TIMEOUT_EXTENSION_S)
        if gap.span_s >= GAP_LOG_THRESHOLD_S or gap.cause is PauseCause.STARVED:
            self._report(gap)
        return gap

    def _report(self, gap: LoopGap) -> None:
        if gap.cause is PauseCause.STARVED and gap.to_s - self._last_logged_s < STARVED_LOG_INTERVAL_S:
            return
        self._last_logged_s = gap.to_s
        at = time.strftime("%H:%M:%S", time.localtime(time.time() - gap.span_s))
        count, cause = self.pauses.count, gap.cause.value
        text = f"stood still {gap.span_s:.1f} s at {at} ({cause}), {count} times by now"
        log.warning("%s", text)
        self.on_report(text)

    def alarm(self) -> str | None:
        return self.pauses.alarm(now_s())

    def pause_report(self) -> dict[str, object]:
        """Return the number, total duration, longest and last of the pauses, for operators."""
        report: dict[str, object] = {"times": self.pauses.count, "s": round(self.pauses.paused_s, 2)}
        for name, gap in (("longest", self.pauses.longest), ("last", self.pauses.last)):
            if gap is not None:
                ago_s = round(now_s() - gap.to_s, 1)
                report[name] = {"s": round(gap.span_s, 2), "cause": gap.cause.value, "ago_s": ago_s}
        return report


class _Selector(selectors.DefaultSelector):
    """Records when each poll returns, and reports gaps between polls."""

    def __init__(self, pause_detector: PauseDetector) -> None:
        super().__init__()
        self._pause_detector = pause_detector
        pause_detector.last_poll_s = now_s()
        self.on_gap: Callable[[float, float], None] = lambda from_s, to_s: None

    def select(self, timeout: float | None = None) -> Ready:
        detector, began_s = self._pause_detector, now_s()
        if detector.overload.recovering:
            found, caught_up = self._select_in_recovery(timeout)
            at_s = now_s()
        else:
            found = super().select(timeout)
            at_s = now_s()
            caught_up = not found or at_s - began_s > BLOCKED_POLL_S
        detector.previous_poll_s, detector.last_poll_s = detector.last_poll_s, at_s
        late = at_s - detector.previous_poll_s > LATE_POLL_S
        if late:
            self.on_gap(detector.previous_poll_s, at_s)
            # A poll that SIGSTOP interrupted returns nothing, as its timeout has passed, or only what was
            # ready before. Timers would then run before data that arrived meanwhile is read as if new.
            found = super().select(0) or found
            caught_up = not found
        if caught_up:
            self._note_caught_up(at_s, 0.0 if late else at_s - began_s)
        return found

    def _select_in_recovery(self, timeout: float | None) -> tuple[Ready, bool]:
        """Return what is ready, and whether nothing was ready when the poll began.

        Time spent waiting for a CPU looks like time spent in the poll, and would end the recovery period for
        reading what arrived in a gap. So the loop first polls without blocking.
        """
        found = super().select(0)
        if found or timeout == 0:
            return found, not found
        return super().select(timeout), True

    def _note_caught_up(self, at_s: float, waited_s: float) -> None:
        if self._pause_detector.deferring_listeners:
            self._pause_detector.overload.exclude_wait(waited_s)
        else:
            self._pause_detector.overload.caught_up(at_s)


class Loop(asyncio.SelectorEventLoop):
    """asyncio's selector loop, on a clock that includes time in which the machine is suspended."""

    def __init__(self) -> None:
        self.pause_detector = PauseDetector()
        self.descriptor_budget = DescriptorBudget()
        self.contained_errors = ContainedErrors()
        selector = self._watched = _Selector(self.pause_detector)
        super().__init__(selector)
        selector.on_gap = self._on_gap
        self.set_exception_handler(self.contained_errors.handle_loop_error)

    def time(self) -> float:
        return now_s()

    def watches(self, sock: socket.socket) -> bool:
        """Whether the socket is polled: not if epoll_ctl(2) failed, which only asyncio's handler learns."""
        return sock.fileno() in self._watched.get_map()

    async def create_connection(self, *what: Any, **how: Any) -> Any:
        """Connect as asyncio does, but reclaim descriptors and retry if none is free.

        Otherwise a call to discovery would fail for lack of a descriptor, and the next one is not made at
        once.
        """
        for _ in range(MAX_RECLAIMS):
            try:
                return await super().create_connection(*what, **how)
            except OSError as error:
                if not is_descriptor_exhaustion(error) or not self.descriptor_budget.reclaim(self.time()):
                    raise
            await asyncio.sleep(0)  # closed connections release their descriptors in this step
        return await super().create_connection(*what, **how)

    def _on_gap(self, from_s: float, to_s: float) -> None:
        if not self.pause_detector.on_pause:
            return  # not serving yet
        gap = self.pause_detector.loop_delayed(from_s, to_s)
        for callback in self.pause_detector.on_pause:
            self.call_soon(callback, gap)  # ahead of the reads of this pass


def pause_detector_of(loop: object) -> PauseDetector:
    """Return the loop's detector, or one that never reports a pause if the loop has none."""
    found = getattr(loop, "pause_detector", None)
    return found if isinstance(found, PauseDetector) else PauseDetector()
