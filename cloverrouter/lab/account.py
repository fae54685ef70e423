"""What happened in a run, in figures: what clients got, where attempts went, what servers did.

Worth counts as on the users' bench: a request is served in aim if any of its tries brings the answer within
the class's aim, counted from when its first try was meant to start.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec
import numpy
from hdrh.histogram import HdrHistogram

from cloverrouter.lab.office import Ask, Got
from cloverrouter.lab.scenario import Scenario

BIN_S = 0.25
MOST_MS = 3_600_000


class ClassFigures(msgspec.Struct):
    asked: int = 0
    served: int = 0
    in_aim: int = 0
    share_in_aim: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    mean_ms: float = 0.0


class Figures(msgspec.Struct):
    """A run's figures; those of sockets alone are None in simulated time."""

    worth: float = 0.0  # worth served in aim over worth asked
    in_aim: float = 0.0  # share of the requests
    served: float = 0.0
    asked: int = 0
    tries: int = 0
    attempts: int = 0
    attempts_per_request: float = 0.0
    refused: int = 0
    failed: int = 0
    left: int = 0
    unsent: int = 0  # for which no connection was there: not offered, and no fault of a proxy's
    waste: float = 0.0  # work begun for requests that were not served, over all work begun
    p50_ms: float = 0.0
    p90_ms: float = 0.0
    p99_ms: float = 0.0
    most_connections: int = 0  # at one server at one time
    noticed_s: float | None = None  # the longest, over the faults: until hardly anything goes there
    reasons: dict[str, int] = {}
    by_class: dict[str, ClassFigures] = {}
    cpu_us_per_request: float | None = None
    late_ms: float | None = None  # how late the load itself was, at the 99th percentile


class Series(msgspec.Struct):
    """The run over time, a value a second."""

    asked: list[float] = []  # worth
    good: list[float] = []  # of which was served in aim, by the second in which it was asked
    offered: list[int] = []  # tries
    reasons: dict[str, list[int]] = {}
    sends: dict[str, list[int]] = {}  # attempts by server
    believed: dict[str, list[float]] = {}  # by server: share of the proxies looked at that would send to it
    faults: list[tuple[float, float, str]] = []  # from, to, what


class Result(msgspec.Struct):
    scenario: dict[str, Any]
    seed: int
    driver: str
    figures: Figures
    series: Series
    digest: str = ""
    broken: str = ""  # the rule, if one is
    last: list[str] = []
    notes: list[str] = []  # what a reader must know before trusting the figures
    latencies: dict[str, str] = {}  # "class outcome" to an HdrHistogram, encoded


def histogram_of(latencies_s: Iterable[float]) -> HdrHistogram:
    """Latencies in microseconds, to three digits. Equal ones are counted first: recording is slow."""
    found = HdrHistogram(1, MOST_MS * 1000, 3)
    values = numpy.maximum(1, numpy.fromiter(latencies_s, float) * 1e6)
    digits = 10.0 ** (numpy.floor(numpy.log10(values)) - 3)
    for value, count in zip(
        *numpy.unique(numpy.round(values / digits) * digits, return_counts=True), strict=True
    ):
        found.record_value(int(value), int(count))
    return found


def encoded(latencies: dict[tuple[str, str], list[float]]) -> dict[str, str]:
    """Histograms as texts, by class and outcome."""
    return {
        f"{name} {got}": histogram_of(known).encode().decode()
        for (name, got), known in sorted(latencies.items())
    }


class Account:
    """Keeps account for one run; the `Ledger` of its offices."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._seconds = max(1, int(scenario.seconds + 0.999))
        self._asked = [0.0] * self._seconds
        self._good = [0.0] * self._seconds
        self._offered = [0] * self._seconds
        self._reasons: dict[str, list[int]] = {}
        self._open: dict[int, int] = {}  # requests not served yet, by first try: their second
        self._by_class = {kind.name: ClassFigures() for kind in scenario.class_}
        self._got: Counter[str] = Counter()
        self._latencies: dict[tuple[str, str], list[float]] = {}  # seconds, by class and outcome
        self._bins: dict[str, Counter[int]] = defaultdict(Counter)
        self._begun: dict[int, float] = defaultdict(float)  # work by request, until it is served
        self._wasted = self._worked = 0.0
        self.believed: dict[str, dict[int, float]] = defaultdict(dict)
        self.faults: list[tuple[float, float, str, list[str]]] = []
        self.begun_s = 0.0  # the driver's clock at the start
        self.firsts: dict[int, int] = {}
        self.attempts = 0
        self.tries = 0

    def asked(self, ask: Ask) -> None:
        second = min(self._seconds - 1, int(ask.first_s - self.begun_s))
        self._offered[min(self._seconds - 1, int(ask.meant_s - self.begun_s))] += 1
        self.tries += 1
        if ask.attempt == 0:
            self._asked[second] += ask.kind.worth
            self._by_class[ask.kind.name].asked += 1
            self._open[ask.first] = second
        else:
            self.firsts[ask.number] = ask.first

    def got(self, ask: Ask, got: Got, latency_s: float) -> None:
        self._got[got] += 1
        known = self._latencies.get((ask.kind.name, got))
        if known is None:
            known = self._latencies[ask.kind.name, got] = []
        known.append(latency_s)
        if got == "served":
            second = self._open.pop(ask.first, None)
            if second is None:
                return
            figures = self._by_class[ask.kind.name]
            figures.served += 1
            if ask.meant_s + latency_s - ask.first_s <= ask.kind.aim_ms / 1000:
                figures.in_aim += 1
                self._good[second] += ask.kind.worth
            self._wasted += max(0.0, self._begun.pop(ask.first, 0.0) - ask.work_ms)  # other tries' work

    def refused(self, at_s: float, why: str) -> None:
        """A proxy refused, or failed, a request, and why."""
        second = min(self._seconds - 1, max(0, int(at_s - self.begun_s)))
        self._reasons.setdefault(why, [0] * self._seconds)[second] += 1

    def sent(self, at_s: float, server: str) -> None:
        self.attempts += 1
        self._bins[server][int((at_s - self.begun_s) / BIN_S)] += 1

    def begun(self, number: int, work_ms: float) -> None:
        self._worked += work_ms
        first = self.firsts.get(number, number)
        if first in self._open:
            self._begun[first] += work_ms
        else:
            self._wasted += work_ms  # its request has been served already

    def _noticed(self) -> float | None:
        """How long after a fault's begin a server in it goes on getting over a fifth of an even share."""
        longest = None
        for from_s, to_s, _, names in self.faults:
            if not names:
                continue
            first, last = int(from_s / BIN_S), int(min(to_s, self._scenario.seconds) / BIN_S)
            found: float | None = None
            for at in range(first, last):
                even = sum(bins[at] for bins in self._bins.values()) / max(1, len(self._bins))
                if all(self._bins[name][at] <= even / 5 for name in names):
                    found = max(0.0, at * BIN_S - from_s)
                    break
            found = (last - first) * BIN_S if found is None else found
            longest = found if longest is None else max(longest, found)
        return longest

    def result(self, seed: int, driver: str, scenario: dict[str, Any], most_connections: int) -> Result:
        figures = Figures(attempts=self.attempts, most_connections=most_connections, tries=self.tries)
        served: list[float] = []
        for kind in self._scenario.class_:
            each = self._by_class[kind.name]
            each.share_in_aim = each.in_aim / max(1, each.asked)
            known = self._latencies.get((kind.name, "served"), [])
            if known:
                each.p50_ms, each.p99_ms = (1000 * float(at) for at in numpy.percentile(known, (50, 99)))
                each.mean_ms = 1000 * sum(known) / len(known)
                served += known
            figures.asked += each.asked
            figures.served += each.served
            figures.in_aim += each.in_aim
        figures.worth = sum(self._good) / max(1e-9, sum(self._asked))
        figures.served /= max(1, figures.asked)
        figures.in_aim /= max(1, figures.asked)
        figures.attempts_per_request = self.attempts / max(1, figures.asked)
        figures.refused, figures.failed = self._got["refused"], self._got["failed"]
        figures.left, figures.unsent = self._got["left"], self._got["unsent"]
        figures.waste = (self._wasted + sum(self._begun.values())) / max(1e-9, self._worked)
        if served:
            figures.p50_ms, figures.p90_ms, figures.p99_ms = (
                1000 * float(at) for at in numpy.percentile(served, (50, 90, 99))
            )
        figures.by_class = self._by_class
        figures.reasons = {why: sum(counts) for why, counts in sorted(self._reasons.items())}
        figures.noticed_s = self._noticed()
        per_s = int(1 / BIN_S)
        sends = {
            name: [sum(bins[s * per_s + i] for i in range(per_s)) for s in range(self._seconds)]
            for name, bins in sorted(self._bins.items())
        }
        believed = {
            name: [by_second.get(s, 0.0) for s in range(self._seconds)]
            for name, by_second in sorted(self.believed.items())
        }
        faults = [(from_s, to_s, text) for from_s, to_s, text, _ in self.faults]
        series = Series(
            self._asked,
            self._good,
            self._offered,
            dict(sorted(self._reasons.items())),
            sends,
            believed,
            faults,
        )
        return Result(scenario, seed, driver, figures, series, latencies=encoded(self._latencies))
