"""Sweeps of factors over seeds, and paired comparisons of two variants.

Two runs on the same seed get the same arrivals, work and faults, so variants are compared by the differences
within pairs. Intervals are percentile bootstrap intervals of the mean difference (Efron and Tibshirani 1993,
ch. 13).
"""

from __future__ import annotations

import itertools
import tomllib
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import numpy

from cloverrouter.lab.account import Figures
from cloverrouter.lab.records import Store
from cloverrouter.lab.scenario import Scenario, build, change, plain
from cloverrouter.lab.workers import OWN_CHECKOUT, Run, Worker, run_all
from cloverrouter.strict import Fault, FileError

MAX_RUNS = 100_000
RESAMPLES = 4_000
CONFIDENCE_LEVEL = 0.95
MIN_PAIRS = 5  # with fewer, no difference is reported
Progress = Callable[[int, int], None]


class Factor(NamedTuple):
    """A setting that a sweep varies, and its values."""

    path: str
    values: list[Any]

    @property
    def label(self) -> str:
        """The heading of the factor's column."""
        return self.path


def read_value(text: str) -> Any:
    """A TOML value; text that is not valid TOML is returned as a string."""
    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text


def read_factor(text: str) -> Factor:
    """Parse a factor, `PATH=VALUE,VALUE,...`. Raises `FileError`."""
    path, equals, values_text = text.partition("=")
    if not equals or not path or not values_text:
        raise FileError(
            text, [Fault("", "is no factor", "write PATH=VALUE,VALUE such as office[0].rate=200,300")]
        )
    try:
        values = list(tomllib.loads(f"v = [{values_text}]")["v"])
    except tomllib.TOMLDecodeError:
        values = [read_value(word.strip()) for word in values_text.split(",")]
    return Factor(path.strip(), values)


def read_change(text: str) -> tuple[str, Any]:
    """Parse a changed setting, `PATH=VALUE`. Raises `FileError`."""
    path, equals, value_text = text.partition("=")
    if not equals:
        raise FileError(text, [Fault("", "is no change", "write PATH=VALUE such as proxies.count=8")])
    return path.strip(), read_value(value_text.strip())


class Cell(NamedTuple):
    """One combination of the factors' values."""

    values: tuple[Any, ...]
    scenario: Scenario


def cells_of(scenario: Scenario, factors: Sequence[Factor]) -> list[Cell]:
    """All combinations of the factors' values. Raises `FileError` if one is not a valid scenario."""
    cells = []
    for values in itertools.product(*(factor.values for factor in factors)):
        changed = scenario
        for factor, value in zip(factors, values, strict=True):
            changed = change(changed, factor.path, value)
        cells.append(Cell(values, changed))
    return cells


def plan_of(scenario: Scenario, factors: Sequence[Factor], seeds: Sequence[int]) -> dict[str, Any]:
    """The plan of a sweep as plain values, as `Store` keeps it."""
    return {
        "scenario": plain(scenario),
        "factors": [[factor.path, factor.values] for factor in factors],
        "seeds": list(seeds),
    }


def read_plan(plan: dict[str, Any]) -> tuple[Scenario, list[Factor], list[int]]:
    """The scenario, factors and seeds of a stored plan."""
    return build(plan["scenario"]), [Factor(*each) for each in plan["factors"]], plan["seeds"]


def sweep(
    scenario: Scenario,
    factors: Sequence[Factor],
    seeds: Sequence[int],
    store: Store,
    jobs: int,
    progress: Progress = lambda done, total: None,
    started: Callable[[Worker], None] = lambda worker: None,
) -> int:
    """Do the runs that the store does not have yet, and return their number.

    A sweep can be interrupted at any time; the next call resumes it.
    """
    cells = cells_of(scenario, factors)
    if len(cells) * len(seeds) > MAX_RUNS:
        text = f"{len(cells)} combinations and {len(seeds)} seeds are {len(cells) * len(seeds):,} runs"
        raise FileError("sweep", [Fault("", text, f"at most {MAX_RUNS:,}")])
    store.plan(plan_of(scenario, factors, seeds))
    done = store.done()
    scenarios = [plain(cell.scenario) for cell in cells]
    runs = [
        Run((index, seed), scenarios[index], seed)
        for seed in seeds
        for index in range(len(cells))
        if (index, seed) not in done
    ]
    total = len(cells) * len(seeds)
    for count, outcome in enumerate(run_all(runs, jobs, started), total - len(runs) + 1):
        store.add(outcome.key[0], outcome.key[1], outcome.result, outcome.error)
        progress(count, total)
    return len(runs)


class Difference(NamedTuple):
    """A figure of two variants on the same seeds."""

    figure: str
    a: float
    b: float
    mean: float  # of b - a
    low: float
    high: float
    seeds: int

    @property
    def significant(self) -> bool:
        """Whether the interval excludes 0, with enough pairs: a few may agree by chance."""
        return self.seeds >= MIN_PAIRS and (self.low > 0 or self.high < 0)

    @property
    def verdict(self) -> str:
        """The conclusion about the difference, for people."""
        if not self.significant:
            return (
                "no difference shown" if self.seeds >= MIN_PAIRS else f"too few seeds: {MIN_PAIRS} are needed"
            )
        return f"b is {'higher' if self.mean > 0 else 'lower'}"


def interval(values: Sequence[float]) -> tuple[float, float, float]:
    """The mean and its bootstrap interval; with fewer than `MIN_PAIRS` values, their minimum and maximum.

    The resamples are drawn with a fixed seed, so that the result is reproducible.
    """
    sample = numpy.asarray(values, dtype=float)
    if len(sample) < MIN_PAIRS:
        return float(sample.mean()), float(sample.min()), float(sample.max())
    resample_indices = numpy.random.default_rng(20_260_101).integers(0, len(sample), (RESAMPLES, len(sample)))
    low, high = numpy.quantile(
        sample[resample_indices].mean(axis=1), [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2]
    )
    return float(sample.mean()), float(low), float(high)


def paired_difference(figure: str, a: Sequence[float], b: Sequence[float]) -> Difference:
    """The mean difference of pairs and its interval."""
    differences = [other - one for one, other in zip(a, b, strict=True)]
    mean, low, high = interval(differences)
    return Difference(figure, sum(a) / len(a), sum(b) / len(b), mean, low, high, len(differences))


FIGURES: dict[str, Callable[[Figures], float | None]] = {
    "worth in aim": lambda f: f.worth,
    "served in aim": lambda f: f.in_aim,
    "served": lambda f: f.served,
    "attempts a request": lambda f: f.attempts_per_request,
    "refused a request": lambda f: f.refused / max(1, f.asked),
    "waste": lambda f: f.waste,
    "median ms": lambda f: f.p50_ms,
    "99% ms": lambda f: f.p99_ms,
    "connections a server": lambda f: float(f.most_connections),
    "fault noticed after s": lambda f: f.noticed_s,
    "CPU us a request": lambda f: f.cpu_us_per_request,
}


class Comparison(NamedTuple):
    """The result of comparing two variants."""

    differences: list[Difference]
    broken: dict[str, list[tuple[int, str]]]  # by variant: seed and broken rule
    errors: list[str]


def compare(
    a: Scenario,
    b: Scenario,
    seeds: Sequence[int],
    jobs: int,
    checkouts: tuple[str, str] = (OWN_CHECKOUT, OWN_CHECKOUT),
    progress: Progress = lambda done, total: None,
) -> Comparison:
    """Run two variants on the same seeds and compare their figures."""
    variants = (("a", a, checkouts[0]), ("b", b, checkouts[1]))
    runs = [
        Run((name, seed), plain(scenario), seed, checkout)
        for name, scenario, checkout in variants
        for seed in seeds
    ]
    figures: dict[tuple[str, int], Figures] = {}
    broken: dict[str, list[tuple[int, str]]] = {"a": [], "b": []}
    errors = []
    for count, outcome in enumerate(run_all(runs, jobs), 1):
        progress(count, len(runs))
        if outcome.result is None:
            errors.append(f"{outcome.key[0]}, seed {outcome.key[1]}: {outcome.error}")
        elif outcome.result.broken:
            broken[outcome.key[0]].append((outcome.key[1], outcome.result.broken))
        else:
            figures[outcome.key] = outcome.result.figures
    common_seeds = [seed for seed in seeds if ("a", seed) in figures and ("b", seed) in figures]
    differences = []
    for name, figure in FIGURES.items():
        pairs = [(figure(figures["a", seed]), figure(figures["b", seed])) for seed in common_seeds]
        complete_pairs = [(one, other) for one, other in pairs if one is not None and other is not None]
        if complete_pairs:
            differences.append(
                paired_difference(
                    name, [one for one, _ in complete_pairs], [other for _, other in complete_pairs]
                )
            )
    return Comparison(differences, broken, errors)


class Row(NamedTuple):
    """A cell of a sweep over all its seeds: mean and interval of each figure."""

    values: tuple[Any, ...]
    means: dict[str, tuple[float, float, float]]
    seeds: int
    broken: int
    errors: int


def rows_of(store: Store) -> tuple[list[Factor], list[Row]]:
    """The factors and the table of a stored sweep."""
    scenario, factors, _ = read_plan(store.plan(None))
    cells = cells_of(scenario, factors)
    figures: dict[int, list[Figures]] = {}
    broken: Counter[int] = Counter()
    errors: Counter[int] = Counter()
    for cell_index, _, run_figures, rule, error in store.runs():
        if error or run_figures is None:
            errors[cell_index] += 1
        elif rule:
            broken[cell_index] += 1
        else:
            figures.setdefault(cell_index, []).append(run_figures)
    rows = []
    for index, cell in enumerate(cells):
        means = {}
        for name, figure in FIGURES.items():
            values = [value for f in figures.get(index, []) if (value := figure(f)) is not None]
            if values:
                means[name] = interval(values)
        rows.append(Row(cell.values, means, len(figures.get(index, [])), broken[index], errors[index]))
    return factors, rows
