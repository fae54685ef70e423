"""Request statistics for operators: counts by class and server, recent failures and refusals.

Implements the observer interface. All stored data is bounded. A request costs a few additions here, and a
record only if it was not served. Rates are computed from totals that `tick` samples once a second.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from cloverrouter.interface import GiveUpReason, Outcome
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.observer import AttemptResult, RequestResult
from cloverrouter.seams import Json

MAX_UNSERVED_REQUESTS = 200  # of failures and of refusals each
RATE_SAMPLES = 6  # one second apart: rates cover the last five seconds
MAX_SERVERS = 1000
MAX_CLASSES = 200
NO_REASON = "the module did not say"


@dataclass(slots=True)
class ServerCount:
    """Counts of one server's attempts, and its latest load report."""

    served: int = 0
    failed: int = 0
    outcomes: Counter[Outcome] = field(default_factory=Counter)
    report: tuple[float, ...] | None = None
    report_at_ms: float = 0.0


@dataclass(slots=True)
class ClassCount:
    """Counts of one class's requests, by result and by reason."""

    accepted: int = 0
    results: Counter[RequestResult] = field(default_factory=Counter)
    reasons: Counter[tuple[RequestResult, str]] = field(default_factory=Counter)
    served_ms: float = 0.0  # smoothed duration of the served requests


@dataclass(frozen=True, slots=True)
class UnservedRequest:
    """A request that was not served."""

    at_ms: float  # Unix
    request_id: str
    class_name: str
    result: RequestResult
    reason: str
    took_ms: float
    attempts: tuple[AttemptResult, ...]

    def to_json(self) -> Json:
        """Return the record as the `failures` and `refusals` commands report it."""
        return {
            "at_ms": self.at_ms,
            "request": self.request_id,
            "class": self.class_name,
            "final": self.result.value,
            "why": self.reason,
            "took_ms": round(self.took_ms, 1),
            "attempts": [
                {"server": t.server, "outcome": t.outcome.value, "took_ms": round(t.took_ms, 1)}
                for t in self.attempts
            ],
        }


@dataclass(frozen=True, slots=True)
class Sample:
    """Totals at one point in time; rates are differences between samples."""

    at_ms: float
    servers: dict[str, tuple[int, int]]  # served, failed
    classes: dict[str, tuple[int, int, int, int, int]]  # accepted, then by `RequestResult` in its order


class TrafficStats:
    """Counts requests and attempts. `clock` returns Unix ms; `on_balancer_log` is passed log lines."""

    def __init__(
        self, classes: Iterable[str], clock: Callable[[], float], on_balancer_log: Callable[[str], None]
    ) -> None:
        self._clock = clock
        self._on_balancer_log = on_balancer_log
        self.servers: dict[str, ServerCount] = {}
        self.classes = {name: ClassCount() for name in classes}
        self.failures: deque[UnservedRequest] = deque(maxlen=MAX_UNSERVED_REQUESTS)
        self.refusals: deque[UnservedRequest] = deque(maxlen=MAX_UNSERVED_REQUESTS)
        self.rejected_by_status: Counter[int] = Counter()
        self._samples: deque[Sample] = deque(maxlen=RATE_SAMPLES)
        self.tick(())

    # proxy.observer.Observer

    def request_accepted(self, call: Call) -> None:
        self._class_count(call.class_name).accepted += 1

    def attempt_ended(self, call: Call, result: AttemptResult, report: tuple[float, ...] | None) -> None:
        server = self.servers.get(result.server)
        if server is None:
            # Without a limit, a fleet that renames its servers with each release would grow this forever.
            if len(self.servers) >= MAX_SERVERS:
                self.servers.pop(next(iter(self.servers)))
            server = self.servers[result.server] = ServerCount()
        if result.outcome is Outcome.OK:
            server.served += 1
        elif result.outcome is not Outcome.NOT_SENT and result.outcome is not Outcome.CANCELLED:
            server.failed += 1
        server.outcomes[result.outcome] += 1
        if report is not None:
            server.report, server.report_at_ms = report, self._clock()

    def request_ended(
        self,
        call: Call,
        final: RequestResult,
        reason: GiveUpReason | None,
        attempts: Sequence[AttemptResult],
        took_ms: float,
    ) -> None:
        count = self._class_count(call.class_name)
        count.results[final] += 1
        if final is RequestResult.SERVED:
            count.served_ms += 0.1 * (took_ms - count.served_ms) if count.served_ms else took_ms
            return
        if final is RequestResult.GONE:
            return
        reason_text = NO_REASON if reason is None else reason.value
        count.reasons[final, reason_text] += 1
        request_id = call.request_id.decode("ascii", "replace")
        unserved = UnservedRequest(
            self._clock(), request_id, call.class_name, final, reason_text, took_ms, tuple(attempts)
        )
        (self.failures if final is RequestResult.FAILED else self.refusals).append(unserved)

    def request_refused_early(self, call: Call, reason: str) -> None:
        count = self._class_count(call.class_name)
        count.accepted += 1
        count.results[RequestResult.REFUSED] += 1
        # The text after the colon may contain varying figures; the part before it identifies the reason.
        reason_kind = reason.partition(":")[0]
        count.reasons[RequestResult.REFUSED, reason_kind] += 1
        request_id = call.request_id.decode("ascii", "replace")
        self.refusals.append(
            UnservedRequest(
                self._clock(), request_id, call.class_name, RequestResult.REFUSED, reason, 0.0, ()
            )
        )

    def invalid_request_rejected(self, status: int) -> None:
        self.rejected_by_status[status] += 1

    def balancer_logged(self, text: str) -> None:
        self._on_balancer_log(text)

    def _class_count(self, name: str) -> ClassCount:
        count = self.classes.get(name)
        if count is None:
            # Names come from clients, so their number is limited; the configured classes exist already.
            count = self.classes.setdefault(name if len(self.classes) < MAX_CLASSES else "?", ClassCount())
        return count

    # Rates

    def tick(self, listed: Iterable[str]) -> None:
        """Sample the totals; called once a second.

        Removes the counts of servers that are neither listed nor recently used.
        """
        now_ms = self._clock()
        oldest = self._samples[0] if self._samples else None
        listed = set(listed)
        for name in [n for n in self.servers if n not in listed]:
            count = self.servers[name]
            if oldest is not None and oldest.servers.get(name) == (count.served, count.failed):
                del self.servers[name]
        self._samples.append(
            Sample(
                now_ms,
                {name: (c.served, c.failed) for name, c in self.servers.items()},
                {name: (c.accepted, *_result_counts(c)) for name, c in self.classes.items()},
            )
        )

    def _seconds(self) -> float:
        return max(0.001, (self._clock() - self._samples[0].at_ms) / 1000)

    def server_rates(self, name: str) -> tuple[float, float]:
        """Return the served and the failed attempts per second, over the last few seconds."""
        now, before = self.servers.get(name), self._samples[0].servers.get(name, (0, 0))
        if now is None:
            return 0.0, 0.0
        seconds = self._seconds()
        return (now.served - before[0]) / seconds, (now.failed - before[1]) / seconds

    def class_rates(self, name: str) -> dict[str, float]:
        """Return the requests per second: accepted, and by result."""
        count, before = self.classes[name], self._samples[0].classes.get(name, (0, 0, 0, 0, 0))
        now = (count.accepted, *_result_counts(count))
        names = ("taken", *(result.value for result in RequestResult))
        seconds = self._seconds()
        return {n: (a - b) / seconds for n, a, b in zip(names, now, before, strict=True)}


def _result_counts(count: ClassCount) -> tuple[int, int, int, int]:
    results = count.results
    return (
        results[RequestResult.SERVED],
        results[RequestResult.REFUSED],
        results[RequestResult.FAILED],
        results[RequestResult.GONE],
    )
