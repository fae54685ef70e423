"""The metrics for operators: requests by class and result, and the current state of the proxy. No I/O.

`Figures` is an observer; it costs three additions per request. The text format is that of statsd:
`name:value|c` for counters and `name:value|g` for gauges. The counters of each process start at 0.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from cloverrouter.interface import BalancerView, EndpointState, EndpointView, GiveUpReason, Outcome
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.observer import AttemptResult, RequestResult

PREFIX = "edge_proxy"
MIN_EXCLUSION_MS = 500.0  # remaining time out of use from which a host counts as excluded
NOT_WRITTEN = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # the request's last byte was not written


class Figures:
    """Counts requests and attempts; reads the gauges when the text is requested."""

    def __init__(self) -> None:
        self.reloads_ok = self.reloads_failed = 0  # configuration files accepted and rejected at SIGHUP
        self.results: Counter[tuple[str, RequestResult]] = Counter()
        self.attempts: Counter[str] = Counter()  # by class: fully written and ended

    # Methods of proxy.observer.Observer

    def request_accepted(self, call: Call) -> None:
        pass

    def attempt_ended(self, call: Call, tried: AttemptResult, report: tuple[float, ...] | None) -> None:
        if tried.outcome not in NOT_WRITTEN:
            self.attempts[call.class_name] += 1

    def request_ended(
        self,
        call: Call,
        final: RequestResult,
        why: GiveUpReason | None,
        trail: Sequence[AttemptResult],
        took_ms: float,
    ) -> None:
        self.results[call.class_name, final] += 1

    def invalid_request_rejected(self, status: int) -> None:
        pass

    def request_refused_early(self, call: Call, why: str) -> None:
        self.results[call.class_name, RequestResult.REFUSED] += 1

    def balancer_logged(self, text: str) -> None:
        pass

    # Output

    def text(
        self, classes: Iterable[str], open_attempts: Mapping[str, int], in_flight: int, view: BalancerView
    ) -> bytes:
        """The metrics as statsd lines.

        `classes`: configured classes, reported even before their first request; `open_attempts`: attempts by
        class that are fully written and have not ended.
        """
        lines = []
        observed = {name for name, _ in self.results}
        for name in sorted({*classes, *observed, *self.attempts}):
            name_prefix = f"{PREFIX}.requests.{name}"
            for final in (RequestResult.SERVED, RequestResult.REFUSED, RequestResult.FAILED):
                lines.append(f"{name_prefix}.{final.value}:{self.results[name, final]}|c")
            lines.append(f"{name_prefix}.attempts:{self.attempts[name] + open_attempts.get(name, 0)}|c")
        listed = [e for e in view.endpoints if e.state is not EndpointState.GONE]
        excluded = [e for e in listed if e.state is not EndpointState.READY or _is_excluded(e)]
        lines += [
            f"{PREFIX}.in_flight:{in_flight}|g",
            f"{PREFIX}.hosts_known:{len(listed)}|g",
            f"{PREFIX}.hosts_excluded:{len(excluded)}|g",
            f"{PREFIX}.reloads_ok:{self.reloads_ok}|c",
            f"{PREFIX}.reloads_failed:{self.reloads_failed}|c",
        ]
        return "".join(f"{line}\n" for line in lines).encode()


def _is_excluded(endpoint: EndpointView) -> bool:
    """Whether failures or a suspicion keep an endpoint out of use for at least `MIN_EXCLUSION_MS`.

    An endpoint that pauses with fewer than two failures, such as between two responses or because it is
    full, counts as in use, and so does one whose pause is shorter.
    """
    paused = endpoint.paused_ms >= MIN_EXCLUSION_MS and endpoint.failures >= 2
    return paused or endpoint.suspected_ms >= MIN_EXCLUSION_MS
