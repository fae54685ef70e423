"""Figures of a run: the outcomes for clients, the attempts by server, the work of servers.

A request counts as served in aim if any of its tries is answered within the class's aim, measured from the
intended start of its first try. The users' benchmark counts worth in the same way.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec
import numpy
from hdrh.histogram import HdrHistogram

from cloverrouter.lab.office import ClientAttempt, ClientOutcome
from cloverrouter.lab.scenario import Scenario

BIN_S = 0.25
MAX_LATENCY_MS = 3_600_000


class ClassFigures(msgspec.Struct):
    """Figures of one class of requests."""

    asked: int = 0
    served: int = 0
    in_aim: int = 0
    share_in_aim: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    mean_ms: float = 0.0


class Figures(msgspec.Struct):
    """Figures of a run; those that only the sockets driver measures are None in simulated time."""

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
    unsent: int = 0  # tries without a free connection: never offered to a proxy, and not its failure
    waste: float = 0.0  # work started that served no request, over all work started
    p50_ms: float = 0.0
    p90_ms: float = 0.0
    p99_ms: float = 0.0
    most_connections: int = 0  # at one server at the same time
    noticed_s: float | None = None  # longest time until a faulty server gets hardly any attempts
    reasons: dict[str, int] = {}
    by_class: dict[str, ClassFigures] = {}
    cpu_us_per_request: float | None = None
    late_ms: float | None = None  # delay of the load generator, 99th percentile


class Series(msgspec.Struct):
    """The run over time, one value a second."""

    asked: list[float] = []  # worth
    good: list[float] = []  # worth served in aim, by the second of the request
    offered: list[int] = []  # tries
    reasons: dict[str, list[int]] = {}
    sends: dict[str, list[int]] = {}  # attempts by server
    believed: dict[str, list[float]] = {}  # by server: share of the sampled proxies that would send to it
    faults: list[tuple[float, float, str]] = []  # start, end, description


class Result(msgspec.Struct):
    """The result of one run."""

    scenario: dict[str, Any]
    seed: int
    driver: str
    figures: Figures
    series: Series
    digest: str = ""
    broken: str = ""  # the broken rule, or empty
    last: list[str] = []
    notes: list[str] = []  # caveats on the figures
    latencies: dict[str, str] = {}  # "class outcome" to an HdrHistogram, encoded


def histogram_of(latencies_s: Iterable[float]) -> HdrHistogram:
    """A histogram of latencies in microseconds, to three significant digits.

    Equal values are counted before they are recorded, because recording each one is slow.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_MS * 1000, 3)
    values = numpy.maximum(1, numpy.fromiter(latencies_s, float) * 1e6)
    rounding_units = 10.0 ** (numpy.floor(numpy.log10(values)) - 3)
    for value, count in zip(
        *numpy.unique(numpy.round(values / rounding_units) * rounding_units, return_counts=True), strict=True
    ):
        histogram.record_value(int(value), int(count))
    return histogram


def encoded(latencies: dict[tuple[str, str], list[float]]) -> dict[str, str]:
    """Encoded histograms, by "class outcome"."""
    return {
        f"{name} {outcome}": histogram_of(samples).encode().decode()
        for (name, outcome), samples in sorted(latencies.items())
    }


class Account:
    """Records the events of one run and computes its figures; the `Ledger` of its offices."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._seconds = max(1, int(scenario.seconds + 0.999))
        self._asked_worth = [0.0] * self._seconds
        self._worth_in_aim = [0.0] * self._seconds
        self._offered = [0] * self._seconds
        self._reasons: dict[str, list[int]] = {}
        self._unserved: dict[int, int] = {}  # second of each unserved request, by first try
        self._by_class = {kind.name: ClassFigures() for kind in scenario.class_}
        self._outcomes: Counter[str] = Counter()
        self._latencies: dict[tuple[str, str], list[float]] = {}  # seconds, by class and outcome
        self._sends: dict[str, Counter[int]] = defaultdict(Counter)
        self._work_ms: dict[int, float] = defaultdict(float)  # by first try, until it is served
        self._wasted_work_ms = self._total_work_ms = 0.0
        self.believed: dict[str, dict[int, float]] = defaultdict(dict)
        self.faults: list[tuple[float, float, str, list[str]]] = []
        self.begun_s = 0.0  # start of the run on the driver's clock
        self.first_tries: dict[int, int] = {}
        self.attempts = 0
        self.tries = 0

    def asked(self, ask: ClientAttempt) -> None:
        """Record that a client starts a try."""
        second = min(self._seconds - 1, int(ask.first_s - self.begun_s))
        self._offered[min(self._seconds - 1, int(ask.intended_s - self.begun_s))] += 1
        self.tries += 1
        if ask.attempt == 0:
            self._asked_worth[second] += ask.kind.worth
            self._by_class[ask.kind.name].asked += 1
            self._unserved[ask.first] = second
        else:
            self.first_tries[ask.number] = ask.first

    def got(self, ask: ClientAttempt, got: ClientOutcome, latency_s: float) -> None:
        """Record the outcome of a try."""
        self._outcomes[got] += 1
        samples = self._latencies.get((ask.kind.name, got))
        if samples is None:
            samples = self._latencies[ask.kind.name, got] = []
        samples.append(latency_s)
        if got == "served":
            second = self._unserved.pop(ask.first, None)
            if second is None:
                return
            figures = self._by_class[ask.kind.name]
            figures.served += 1
            if ask.intended_s + latency_s - ask.first_s <= ask.kind.aim_ms / 1000:
                figures.in_aim += 1
                self._worth_in_aim[second] += ask.kind.worth
            # The work of the other tries
            self._wasted_work_ms += max(0.0, self._work_ms.pop(ask.first, 0.0) - ask.work_ms)

    def refused(self, at_s: float, why: str) -> None:
        """Record that a proxy refused or failed a request, and its reason."""
        second = min(self._seconds - 1, max(0, int(at_s - self.begun_s)))
        self._reasons.setdefault(why, [0] * self._seconds)[second] += 1

    def sent(self, at_s: float, server: str) -> None:
        """Record an attempt that a proxy sends."""
        self.attempts += 1
        self._sends[server][int((at_s - self.begun_s) / BIN_S)] += 1

    def begun(self, number: int, work_ms: float) -> None:
        """Record that a server starts work on a try."""
        self._total_work_ms += work_ms
        first = self.first_tries.get(number, number)
        if first in self._unserved:
            self._work_ms[first] += work_ms
        else:
            self._wasted_work_ms += work_ms  # its request is already served

    def _longest_detection_s(self) -> float | None:
        """The longest detection time over all faults.

        A fault counts as detected once each of its servers gets at most a fifth of an even share of the
        attempts.
        """
        longest = None
        for from_s, to_s, _, names in self.faults:
            if not names:
                continue
            first, last = int(from_s / BIN_S), int(min(to_s, self._scenario.seconds) / BIN_S)
            detected_s: float | None = None
            for index in range(first, last):
                even_share = sum(bins[index] for bins in self._sends.values()) / max(1, len(self._sends))
                if all(self._sends[name][index] <= even_share / 5 for name in names):
                    detected_s = max(0.0, index * BIN_S - from_s)
                    break
            detected_s = (last - first) * BIN_S if detected_s is None else detected_s
            longest = detected_s if longest is None else max(longest, detected_s)
        return longest

    def result(self, seed: int, driver: str, scenario: dict[str, Any], most_connections: int) -> Result:
        """Compute the result at the end of the run."""
        figures = Figures(attempts=self.attempts, most_connections=most_connections, tries=self.tries)
        served: list[float] = []
        for kind in self._scenario.class_:
            class_figures = self._by_class[kind.name]
            class_figures.share_in_aim = class_figures.in_aim / max(1, class_figures.asked)
            samples = self._latencies.get((kind.name, "served"), [])
            if samples:
                class_figures.p50_ms, class_figures.p99_ms = (
                    1000 * float(at) for at in numpy.percentile(samples, (50, 99))
                )
                class_figures.mean_ms = 1000 * sum(samples) / len(samples)
                served += samples
            figures.asked += class_figures.asked
            figures.served += class_figures.served
            figures.in_aim += class_figures.in_aim
        figures.worth = sum(self._worth_in_aim) / max(1e-9, sum(self._asked_worth))
        figures.served /= max(1, figures.asked)
        figures.in_aim /= max(1, figures.asked)
        figures.attempts_per_request = self.attempts / max(1, figures.asked)
        figures.refused, figures.failed = self._outcomes["refused"], self._outcomes["failed"]
        figures.left, figures.unsent = self._outcomes["left"], self._outcomes["unsent"]
        figures.waste = (self._wasted_work_ms + sum(self._work_ms.values())) / max(1e-9, self._total_work_ms)
        if served:
            figures.p50_ms, figures.p90_ms, figures.p99_ms = (
                1000 * float(at) for at in numpy.percentile(served, (50, 90, 99))
            )
        figures.by_class = self._by_class
        figures.reasons = {why: sum(counts) for why, counts in sorted(self._reasons.items())}
        figures.noticed_s = self._longest_detection_s()
        per_s = int(1 / BIN_S)
        sends = {
            name: [sum(bins[s * per_s + i] for i in range(per_s)) for s in range(self._seconds)]
            for name, bins in sorted(self._sends.items())
        }
        believed = {
            name: [by_second.get(s, 0.0) for s in range(self._seconds)]
            for name, by_second in sorted(self.believed.items())
        }
        faults = [(from_s, to_s, text) for from_s, to_s, text, _ in self.faults]
        series = Series(
            self._asked_worth,
            self._worth_in_aim,
            self._offered,
            dict(sorted(self._reasons.items())),
            sends,
            believed,
            faults,
        )
        return Result(scenario, seed, driver, figures, series, latencies=encoded(self._latencies))
