"""A ring buffer of recent events of requests and connections, logged after a crash.

A crash is logged with one traceback; the events that led to it are not in the log, since a line for each
request would cost too much. The recorder keeps the last few hundred steps in memory and writes them only
after an error.
"""

from __future__ import annotations

import logging
import os
from collections import deque
from typing import NamedTuple

from cloverrouter.clock import now_s

MAX_STEPS = 400
log = logging.getLogger(__name__)


class Step(NamedTuple):
    """One step: the event, the request (by its client's id) or connection concerned, and details."""

    at_s: float
    event: str
    subject: object
    detail: object


class Recorder:
    """The most recent steps of one process."""

    def __init__(self) -> None:
        """With `PROXY_TRACE` set in the environment each step is also logged at once, several lines for each
        request, so that a run can be traced by request ids."""
        if os.environ.get("PROXY_TRACE"):
            self.record = self._record_and_log  # type: ignore[method-assign]
        # Converted to `Step` when read: several are recorded for every request, and few are ever read.
        self._steps: deque[tuple[float, str, object, object]] = deque(maxlen=MAX_STEPS)

    def record(self, event: str, subject: object, detail: object = "") -> None:
        self._steps.append((now_s(), event, subject, detail))

    def _record_and_log(self, event: str, subject: object, detail: object = "") -> None:
        self._steps.append((now_s(), event, subject, detail))
        text = subject.decode("latin-1") if isinstance(subject, bytes) else subject
        log.info("request_step event=%s subject=%s detail=%s", event, text, detail)

    @property
    def steps(self) -> list[Step]:
        return [Step(*step) for step in self._steps]

    def write(self, max_steps: int = MAX_STEPS) -> None:
        """Write the last `max_steps` steps to the log, with their age in milliseconds."""
        at_s = now_s()
        for step in self.steps[-max_steps:]:
            age_ms = (at_s - step.at_s) * 1000
            subject = step.subject.decode("latin-1") if isinstance(step.subject, bytes) else step.subject
            text = "recent_step ms_ago=%.1f event=%s subject=%s detail=%s"
            log.error(text, age_ms, step.event, subject, step.detail)
