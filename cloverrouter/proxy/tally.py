"""What one proxy did in each second, as a line of its log, for those who count over a whole fleet.

Fills the observer seam and reads the module's view once a second: a request costs a few additions. Off
unless `PROXY_TALLY` is set; off, it is not imported.
"""

from __future__ import annotations

import json
import logging
import time
from collections import Counter
from collections.abc import Callable, Sequence

from cloverrouter.interface import BalancerView, EndpointState, Outcome, Why
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.observer import Final, Tried

EVERY_S = 1.0
log = logging.getLogger("cloverrouter.tally")


class Tally:
    """Counts of one second, by what happened and why; times are in seconds of the system's clock."""

    def __init__(self, view: Callable[[], BalancerView], sockets: Callable[[], dict[str, int]]) -> None:
        self._view, self._sockets = view, sockets
        self._counts: Counter[str] = Counter()
        self._by_server: Counter[str] = Counter()
        self._reports: dict[str, tuple[float, ...]] = {}
        self._cpu_s = time.process_time()

    # proxy.observer.Observer

    def taken(self, call: Call) -> None:
        self._counts[f"taken.{call.class_name}"] += 1
        self._counts["repeat"] += call.repeat

    def tried(self, call: Call, tried: Tried, report: tuple[float, ...] | None) -> None:
        self._counts[f"tried.{tried.outcome.name}"] += 1
        if tried.outcome is Outcome.OK:
            self._counts["ok_ms"] += int(tried.took_ms)
        self._by_server[tried.server] += 1
        if report is not None:
            self._reports[tried.server] = report

    def ended(
        self, call: Call, final: Final, why: Why | None, trail: Sequence[Tried], took_ms: float
    ) -> None:
        reason = f".{why.name}" if why is not None else ""
        self._counts[f"{final.value}.{call.class_name}{reason}"] += 1
        if final is not Final.SERVED:
            self._counts["unserved_ms"] += int(took_ms)

    def turned_away(self, status: int) -> None:
        self._counts[f"turned_away.{status}"] += 1

    def not_taken(self, call: Call, why: str) -> None:
        self._counts["not_taken"] += 1

    def said(self, text: str) -> None:
        pass

    def line(self) -> str:
        """What happened since the last line, and what is so now."""
        view = self._view()
        ready = [e for e in view.endpoints if e.state is EndpointState.READY]
        cpu_s, self._cpu_s = self._cpu_s, time.process_time()
        told = {
            "at": round(time.time(), 3),
            "cpu_ms": round((self._cpu_s - cpu_s) * 1000),
            "counts": dict(self._counts),
            "servers": dict(self._by_server),
            "reports": dict(self._reports),
            "ready": len(ready),
            "cold": sum(e.warmth < 1 for e in ready),
            "paused": sum(e.paused_ms > 0 for e in ready),
            "doubted": sum(e.doubted_ms > 0 for e in ready),
            "silent": sum(e.silent for e in ready),
            "full": sum(e.in_flight >= max(1.0, e.limit) for e in ready),
            "out": sum(e.in_flight for e in ready),
            "limits": round(sum(e.limit for e in ready), 1),
            "held": view.held,
            "tokens": round(view.retry_tokens),
            **self._sockets(),
        }
        self._counts.clear()
        self._by_server.clear()
        self._reports.clear()
        return json.dumps(told)

    def tell(self) -> None:
        log.info("%s", self.line())
