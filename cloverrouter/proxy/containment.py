"""Contain an unexpected error within the connection, request or callback that raised it.

One process serves many clients, servers and watches. An exception that propagates out of the code for one of
them would end its caller: the loop that executes the decisions' actions, a periodic task, a drain. Each such
caller therefore catches it: the request or connection fails, the error is counted and logged as
`error_contained`, and the others are not affected.

The decisions are not covered: an error in them ends the process (`proxy.shutdown`).
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

from cloverrouter.clock import Handle, Loop, now_s
from cloverrouter.proxy.recorder import Recorder

RECORDER_STEPS_LOGGED = 20  # after each traceback
LOG_INTERVAL_S = 1.0  # between two tracebacks of one place; the next line's count includes the errors between
log = logging.getLogger(__name__)


class ContainedErrors:
    """Counts and logs contained errors by place."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.recorder = Recorder()
        self._logged_s: dict[str, float] = {}

    def report(self, place: str, error: BaseException, detail: object = "") -> None:
        """Count and log `error`, which affected only what `detail` names."""
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
        self.recorder.write(RECORDER_STEPS_LOGGED)

    def run(self, place: str, step: Callable[[], object], detail: object = "") -> bool:
        """Call `step`; return False if it raised an error, which is reported."""
        try:
            step()
        except Exception as error:
            self.report(place, error, detail)
            return False
        return True

    def handle_loop_error(self, loop: object, context: dict[str, object]) -> None:
        """Handle an exception from a callback or a task that is not awaited, as asyncio's exception handler.

        A socket error there comes from a peer: asyncio defers a half-close until its buffer is empty, and it
        fails if the peer has reset the connection meanwhile. The transport is notified of the reset anyway.
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
    """Raises each error, for simulations: errors, and violations that a monitor finds, end the run."""

    def report(self, place: str, error: BaseException, detail: object = "") -> None:
        raise error


def contained_errors_of(loop: object) -> ContainedErrors:
    """Return the `ContainedErrors` of `loop`, or a new one if it has none."""
    errors = getattr(loop, "contained_errors", None)
    return errors if isinstance(errors, ContainedErrors) else ContainedErrors()


class Periodic:
    """Calls a function every `interval_s` seconds, also after a call that raised an error."""

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
