"""Keep an unexpected error to the connection, request or callback in which it was raised.

One process serves many clients, servers and watches. An exception that leaves the code of one of them would
end whatever called it: the decisions' loop, a periodic task, a drain. Each place that acts for one peer in
the name of all therefore contains its errors: the peer's own request or connection fails, the error is
counted and logged as `error_contained`, and the others go on.

The decisions are the exception: an error of theirs ends the process (`proxy.shutdown`).
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

from cloverrouter.clock import Handle, Loop, now_s
from cloverrouter.proxy.recorder import Recorder

STEPS_LOGGED = 20  # of the recorder's, behind a traceback
LOG_INTERVAL_S = 1.0  # between two tracebacks of one place; the count in the next line tells of the others
log = logging.getLogger(__name__)


class ContainedErrors:
    """Count and log the errors that were contained, by place."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.recorder = Recorder()
        self._logged_s: dict[str, float] = {}

    def report(self, place: str, error: BaseException, detail: object = "") -> None:
        """Note `error`, which ended nothing but the one thing that `detail` names."""
        self.counts[place] += 1
        at_s = now_s()
        if at_s - self._logged_s.get(place, float("-inf")) < LOG_INTERVAL_S:
            return
        self._logged_s[place] = at_s
        log.error(
            "error_contained place=%s count=%d detail=%s error=%s: %s",
            place,
            self.counts[place],
            detail,
            type(error).__name__,
            error,
            exc_info=error,
        )
        self.recorder.write(STEPS_LOGGED)

    def run(self, place: str, step: Callable[[], object], detail: object = "") -> bool:
        """Call `step`; False if it raised an error, which is contained."""
        try:
            step()
        except Exception as error:
            self.report(place, error, detail)
            return False
        return True

    def handle_loop_error(self, loop: object, context: dict[str, object]) -> None:
        """Serve as asyncio's exception handler: what left a callback or a task that nobody waits for.

        A socket error there is a peer's: the half-close that asyncio puts off until its buffer is empty fails
        when the peer has reset the connection meanwhile. The transport hears of that by itself.
        """
        error = context.get("exception")
        message = str(context.get("message", ""))
        if isinstance(error, ConnectionError) or (isinstance(error, OSError) and not error.filename):
            self.counts["loop_socket"] += 1
            log.warning("socket_error_contained message=%r error=%s", message, error)
        elif isinstance(error, Exception):
            self.report("loop", error, message)
        else:
            log.error("loop_error message=%r", message)


class UncontainedErrors(ContainedErrors):
    """Contain nothing: for simulations, in which each error, and each verdict of a monitor, ends the run."""

    def report(self, place: str, error: BaseException, detail: object = "") -> None:
        raise error


def contained_errors_of(loop: object) -> ContainedErrors:
    """Return the loop's own; a new one where it has none."""
    found = getattr(loop, "contained_errors", None)
    return found if isinstance(found, ContainedErrors) else ContainedErrors()


class Periodic:
    """Call a function every `interval_s` seconds, also after a call of it that failed."""

    def __init__(
        self, loop: Loop, errors: ContainedErrors, place: str, interval_s: float, step: Callable[[], object]
    ) -> None:
        self._loop, self._errors, self._place = loop, errors, place
        self._interval_s, self._step = interval_s, step
        self._handle: Handle = loop.call_later(interval_s, self._run)

    def _run(self) -> None:
        self._errors.run(self._place, self._step)
        self._handle = self._loop.call_later(self._interval_s, self._run)

    def cancel(self) -> None:
        self._handle.cancel()
