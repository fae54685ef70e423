"""Keep what happened last to requests and connections, for the log of a crash.

A crash is told of by one traceback; what led to it is not in the log, since a line for each request would
cost too much. The recorder keeps the last few hundred steps in memory and writes them only when something
went wrong.
"""

from __future__ import annotations

import logging
import os
from collections import deque
from typing import NamedTuple

from cloverrouter.clock import now_s

KEPT = 400
log = logging.getLogger(__name__)


class Step(NamedTuple):
    """One step: what happened, to which request (its client's id) or connection, and any more of it."""

    at_s: float
    event: str
    subject: object
    detail: object


class Recorder:
    """The last steps of one process."""

    def __init__(self) -> None:
        """With `PROXY_TRACE` set in the environment each step is logged as it is noted, some lines for each
        request, for a run that is to be traced by request ids."""
        if os.environ.get("PROXY_TRACE"):
            self.note = self._note_and_log  # type: ignore[method-assign]
        # Made into `Step` when they are read: some are noted for every request, and few are ever read.
        self._steps: deque[tuple[float, str, object, object]] = deque(maxlen=KEPT)

    def note(self, event: str, subject: object, detail: object = "") -> None:
        self._steps.append((now_s(), event, subject, detail))

    def _note_and_log(self, event: str, subject: object, detail: object = "") -> None:
        self._steps.append((now_s(), event, subject, detail))
        text = subject.decode("latin-1") if isinstance(subject, bytes) else subject
        log.info("request_step event=%s subject=%s detail=%s", event, text, detail)

    @property
    def steps(self) -> list[Step]:
        return [Step(*step) for step in self._steps]

    def write(self, most: int = KEPT) -> None:
        """Write the last `most` steps to the log, with their age in milliseconds."""
        at_s = now_s()
        for step in self.steps[-most:]:
            age_ms = (at_s - step.at_s) * 1000
            subject = step.subject.decode("latin-1") if isinstance(step.subject, bytes) else step.subject
            text = "recent_step ms_ago=%.1f event=%s subject=%s detail=%s"
            log.error(text, age_ms, step.event, subject, step.detail)
