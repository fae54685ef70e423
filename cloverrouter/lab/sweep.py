"""Sweeps and comparisons: factors crossed with seeds, and what differs beyond chance.

Pairs of runs on one seed meet the same arrivals, work and faults; the difference within each pair is what
counts. Intervals are percentile bootstraps of the mean difference (Efron and Tibshirani 1993, ch. 13).
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
from cloverrouter.lab.workers import OWN, Run, Worker, spread
from cloverrouter.strict import Fault, FileError

MOST_RUNS = 100_000
RESAMPLES = 4_000
LEVEL = 0.95
FEW = 5  # pairs, under which nothing is concluded
Progress = Callable[[int, int], None]


class Factor(NamedTuple):
    path: str
    values: list[Any]

    @property
    def label(self) -> str:
        return self.path


def read_value(text: str) -> Any:
    """A value as TOML has it; a bare word is a text."""
    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text


def read_factor(words: str) -> Factor:
    """`PATH=VALUE,VALUE,...`. Raises `FileError`."""
    path, equals, told = words.partition("=")
    if not equals or not path or not told:
        raise FileError(
            words, [Fault("", "is no factor", "write PATH=VALUE,VALUE such as office[0].rate=200,300")]
        )
    try:
        values = list(tomllib.loads(f"v = [{told}]")["v"])
    except tomllib.TOMLDecodeError:
        values = [read_value(word.strip()) for word in told.split(",")]
    return Factor(path.strip(), values)


def read_change(words: str) -> tuple[str, Any]:
    """`PATH=VALUE`. Raises `FileError`."""
    path, equals, told = words.partition("=")
    if not equals:
        raise FileError(words, [Fault("", "is no change", "write PATH=VALUE such as proxies.count=8")])
    return path.strip(), read_value(told.strip())


class Cell(NamedTuple):
    """One combination of the factors' values."""

    values: tuple[Any, ...]
    scenario: Scenario


def cells_of(scenario: Scenario, factors: Sequence[Factor]) -> list[Cell]:
    """Every combination, each a valid scenario. Raises `FileError` for one that is not."""
    cells = []
    for values in itertools.product(*(factor.values for factor in factors)):
        changed = scenario
        for factor, value in zip(factors, values, strict=True):
            changed = change(changed, factor.path, value)
        cells.append(Cell(values, changed))
    return cells


def plan_of(scenario: Scenario, factors: Sequence[Factor], seeds: Sequence[int]) -> dict[str, Any]:
    return {
        "scenario": plain(scenario),
        "factors": [[factor.path, factor.values] for factor in factors],
        "seeds": list(seeds),
    }


def read_plan(plan: dict[str, Any]) -> tuple[Scenario, list[Factor], list[int]]:
    return build(plan["scenario"]), [Factor(*each) for each in plan["factors"]], plan["seeds"]


def sweep(
    scenario: Scenario,
    factors: Sequence[Factor],
    seeds: Sequence[int],
    store: Store,
    jobs: int,
    progress: Progress = lambda done, of: None,
    started: Callable[[Worker], None] = lambda worker: None,
) -> int:
    """Run what the store does not have yet; how many that were. It can be stopped at any moment, and a second
    start goes on where it was."""
    cells = cells_of(scenario, factors)
    if len(cells) * len(seeds) > MOST_RUNS:
        text = f"{len(cells)} combinations and {len(seeds)} seeds are {len(cells) * len(seeds):,} runs"
        raise FileError("sweep", [Fault("", text, f"at most {MOST_RUNS:,}")])
    store.plan(plan_of(scenario, factors, seeds))
    done = store.done()
    told = [plain(cell.scenario) for cell in cells]
    runs = [
        Run((at, seed), told[at], seed)
        for seed in seeds
        for at in range(len(cells))
        if (at, seed) not in done
    ]
    of = len(cells) * len(seeds)
    for count, end in enumerate(spread(runs, jobs, started), of - len(runs) + 1):
        store.add(end.key[0], end.key[1], end.result, end.error)
        progress(count, of)
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
    def shown(self) -> bool:
        """Does the interval leave out 0? Danger: of a few seeds that agree by chance, any would."""
        return self.seeds >= FEW and (self.low > 0 or self.high < 0)

    @property
    def verdict(self) -> str:
        if not self.shown:
            return "no difference shown" if self.seeds >= FEW else f"too few seeds: {FEW} are needed"
        return f"b is {'higher' if self.mean > 0 else 'lower'}"


def interval(values: Sequence[float]) -> tuple[float, float, float]:
    """The mean and its bootstrap interval, by a seed of its own, so the same each time; of fewer than `FEW`
    values the least and the greatest."""
    found = numpy.asarray(values, dtype=float)
    if len(found) < FEW:
        return float(found.mean()), float(found.min()), float(found.max())
    picks = numpy.random.default_rng(20_260_101).integers(0, len(found), (RESAMPLES, len(found)))
    low, high = numpy.quantile(found[picks].mean(axis=1), [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(found.mean()), float(low), float(high)


def paired(figure: str, a: Sequence[float], b: Sequence[float]) -> Difference:
    """The mean difference of pairs, and its interval."""
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
    differences: list[Difference]
    broken: dict[str, list[tuple[int, str]]]  # by variant: the seeds on which a rule is broken
    errors: list[str]


def compare(
    a: Scenario,
    b: Scenario,
    seeds: Sequence[int],
    jobs: int,
    checkouts: tuple[str, str] = (OWN, OWN),
    progress: Progress = lambda done, of: None,
) -> Comparison:
    """Two variants side by side on the same seeds."""
    variants = (("a", a, checkouts[0]), ("b", b, checkouts[1]))
    runs = [
        Run((name, seed), plain(scenario), seed, where)
        for name, scenario, where in variants
        for seed in seeds
    ]
    found: dict[tuple[str, int], Figures] = {}
    broken: dict[str, list[tuple[int, str]]] = {"a": [], "b": []}
    errors = []
    for count, end in enumerate(spread(runs, jobs), 1):
        progress(count, len(runs))
        if end.result is None:
            errors.append(f"{end.key[0]}, seed {end.key[1]}: {end.error}")
        elif end.result.broken:
            broken[end.key[0]].append((end.key[1], end.result.broken))
        else:
            found[end.key] = end.result.figures
    both = [seed for seed in seeds if ("a", seed) in found and ("b", seed) in found]
    differences = []
    for name, figure in FIGURES.items():
        pairs = [(figure(found["a", seed]), figure(found["b", seed])) for seed in both]
        known = [(one, other) for one, other in pairs if one is not None and other is not None]
        if known:
            differences.append(paired(name, [one for one, _ in known], [other for _, other in known]))
    return Comparison(differences, broken, errors)


class Row(NamedTuple):
    """A cell of a sweep over its seeds: means and intervals by figure."""

    values: tuple[Any, ...]
    means: dict[str, tuple[float, float, float]]
    seeds: int
    broken: int
    errors: int


def rows_of(store: Store) -> tuple[list[Factor], list[Row]]:
    """A sweep's table."""
    scenario, factors, _ = read_plan(store.plan(None))
    cells = cells_of(scenario, factors)
    figures: dict[int, list[Figures]] = {}
    broken: Counter[int] = Counter()
    errors: Counter[int] = Counter()
    for number, _, found, rule, error in store.runs():
        if error or found is None:
            errors[number] += 1
        elif rule:
            broken[number] += 1
        else:
            figures.setdefault(number, []).append(found)
    rows = []
    for at, cell in enumerate(cells):
        means = {}
        for name, figure in FIGURES.items():
            values = [value for f in figures.get(at, []) if (value := figure(f)) is not None]
            if values:
                means[name] = interval(values)
        rows.append(Row(cell.values, means, len(figures.get(at, [])), broken[at], errors[at]))
    return factors, rows
