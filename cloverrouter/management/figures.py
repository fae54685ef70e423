"""The figures that operators read: requests by class and end, and what the proxy holds now. No I/O.

Fills the observer seam; what a request costs here is three additions. Wording: statsd lines, `name:value|c`
for what only grows and `name:value|g` for what is so now. Each process counts from 0.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from cloverrouter.interface import BalancerView, EndpointState, EndpointView, Outcome, Why
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.observer import Final, Tried

PREFIX = "edge_proxy"
LEFT_OUT_MS = 500.0  # still to be waited for
UNWRITTEN = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # its last byte never went out


class Figures:
    """What is counted, and the gauges as they are asked for."""

    def __init__(self) -> None:
        self.reloads_ok = self.reloads_failed = 0  # files taken, and turned down, at SIGHUP
        self.finals: Counter[tuple[str, Final]] = Counter()
        self.attempts: Counter[str] = Counter()  # written whole, and over

    # proxy.observer.Observer

    def taken(self, call: Call) -> None:
        pass

    def tried(self, call: Call, tried: Tried, report: tuple[float, ...] | None) -> None:
        if tried.outcome not in UNWRITTEN:
            self.attempts[call.class_name] += 1

    def ended(
        self, call: Call, final: Final, why: Why | None, trail: Sequence[Tried], took_ms: float
    ) -> None:
        self.finals[call.class_name, final] += 1

    def turned_away(self, status: int) -> None:
        pass

    def not_taken(self, call: Call, why: str) -> None:
        self.finals[call.class_name, Final.REFUSED] += 1

    def said(self, text: str) -> None:
        pass

    # For operators

    def text(
        self, classes: Iterable[str], out: Mapping[str, int], in_flight: int, view: BalancerView
    ) -> bytes:
        """`classes`: the settings' own, told from the start on; `out`: attempts out and written, by class."""
        lines = []
        seen = {name for name, _ in self.finals}
        for name in sorted({*classes, *seen, *self.attempts}):
            place = f"{PREFIX}.requests.{name}"
            for final in (Final.SERVED, Final.REFUSED, Final.FAILED):
                lines.append(f"{place}.{final.value}:{self.finals[name, final]}|c")
            lines.append(f"{place}.attempts:{self.attempts[name] + out.get(name, 0)}|c")
        listed = [e for e in view.endpoints if e.state is not EndpointState.GONE]
        avoided = [e for e in listed if e.state is not EndpointState.READY or _left_out(e)]
        lines += [
            f"{PREFIX}.in_flight:{in_flight}|g",
            f"{PREFIX}.hosts_known:{len(listed)}|g",
            f"{PREFIX}.hosts_excluded:{len(avoided)}|g",
            f"{PREFIX}.reloads_ok:{self.reloads_ok}|c",
            f"{PREFIX}.reloads_failed:{self.reloads_failed}|c",
        ]
        return "".join(f"{line}\n" for line in lines).encode()


def _left_out(endpoint: EndpointView) -> bool:
    """One that rests between two answers, is just full, or had a mishap or two, is in use."""
    paused = endpoint.paused_ms >= LEFT_OUT_MS and endpoint.failures >= 2
    return paused or endpoint.doubted_ms >= LEFT_OUT_MS
