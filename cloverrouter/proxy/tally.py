"""Per-second counters of one proxy, logged as JSON lines, for statistics over a whole fleet.

Implements the observer interface and reads the balancer's view once a second: a request costs a few
additions. Enabled by `PROXY_TALLY`; without it the module is not imported.
"""

from __future__ import annotations

import json
import logging
import time
from collections import Counter
from collections.abc import Callable, Sequence

from cloverrouter.interface import BalancerView, EndpointState, GiveUpReason, Outcome
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.observer import AttemptResult, RequestResult

LINE_INTERVAL_S = 1.0
log = logging.getLogger("cloverrouter.tally")


class Tally:
    """Counts events of one second, by kind and reason; `at` is in seconds of the system's wall clock."""

    def __init__(self, view: Callable[[], BalancerView], sockets: Callable[[], dict[str, int]]) -> None:
        self._view, self._sockets = view, sockets
        self._counts: Counter[str] = Counter()
        self._by_server: Counter[str] = Counter()
        self._reports: dict[str, tuple[float, ...]] = {}
        self._cpu_s = time.process_time()

    # proxy.observer.Observer

    def request_accepted(self, call: Call) -> None:
        self._counts[f"taken.{call.class_name}"] += 1
        self._counts["repeat"] += call.is_retry

    def attempt_ended(self, call: Call, result: AttemptResult, report: tuple[float, ...] | None) -> None:
        self._counts[f"tried.{result.outcome.name}"] += 1
        if result.outcome is Outcome.OK:
            self._counts["ok_ms"] += int(result.took_ms)
        self._by_server[result.server] += 1
        if report is not None:
            self._reports[result.server] = report

    def request_ended(
        self,
        call: Call,
        final: RequestResult,
        reason: GiveUpReason | None,
        attempts: Sequence[AttemptResult],
        took_ms: float,
    ) -> None:
        suffix = f".{reason.name}" if reason is not None else ""
        self._counts[f"{final.value}.{call.class_name}{suffix}"] += 1
        if final is not RequestResult.SERVED:
            self._counts["unserved_ms"] += int(took_ms)

    def invalid_request_rejected(self, status: int) -> None:
        self._counts[f"turned_away.{status}"] += 1

    def request_refused_early(self, call: Call, reason: str) -> None:
        self._counts["not_taken"] += 1

    def balancer_logged(self, text: str) -> None:
        pass

    def line(self) -> str:
        """Return the counts since the last line and the current state, as JSON, and reset the counts."""
        view = self._view()
        ready = [e for e in view.endpoints if e.state is EndpointState.READY]
        cpu_s, self._cpu_s = self._cpu_s, time.process_time()
        fields = {
            "at": round(time.time(), 3),
            "cpu_ms": round((self._cpu_s - cpu_s) * 1000),
            "counts": dict(self._counts),
            "servers": dict(self._by_server),
            "reports": dict(self._reports),
            "ready": len(ready),
            "cold": sum(e.warmth < 1 for e in ready),
            "paused": sum(e.paused_ms > 0 for e in ready),
            "doubted": sum(e.suspected_ms > 0 for e in ready),
            "silent": sum(e.unresponsive for e in ready),
            "full": sum(e.in_flight >= max(1.0, e.limit) for e in ready),
            "out": sum(e.in_flight for e in ready),
            "limits": round(sum(e.limit for e in ready), 1),
            "held": view.queued,
            "tokens": round(view.retry_tokens),
            **self._sockets(),
        }
        self._counts.clear()
        self._by_server.clear()
        self._reports.clear()
        return json.dumps(fields)

    def log_line(self) -> None:
        log.info("%s", self.line())
