"""Runs at scale, with thousands of proxies on one machine: plans, limits, timelines and evaluation.

A run has a few real proxies beside many hollow ones. The results of the hollow ones are valid only if they
agree with those of the real ones in the same run. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import ceil, inf, isfinite, nan
from random import Random

import numpy
from numpy.typing import NDArray

from cloverrouter.strict import Fault

# The users' bounds: time until a version is in force everywhere; a proxy's control traffic, CPU and memory.
IN_FORCE_S, BYTES_PER_S, CORE_SHARE, MEMORY_MB = 18.0, 4096.0, 0.016, 256.0
CHANGES_PER_DAY, RESTARTS_PER_DAY, FAILURES_PER_DAY, DAY_S, HOUR_S = 20_000, 1_300, 23, 86_400.0, 3_600.0
# Limits of a run on this machine.
MAX_MEMORY_GB, MAX_PROCESSES, MAX_SECONDS = 12.0, 200, 300.0
MAX_DISCOVERIES, MAX_REAL, MIN_REAL = 10, 30, 3
# Allowed deviation of hollow from real proxies, and the resolution of times (timers and scheduling).
TOLERANCE, RESOLUTION_S = 0.10, 0.010
COINCIDENCE_S, COINCIDENCE_TOLERANCE = 0.02, 0.10
MAX_DEVIATIONS = 3.3  # exceeded by chance in one run of a thousand
RESTART_S, DRAIN_S, REPLACEMENT_S = 8.0, 3.0, 20.0
SCENARIOS = {
    "day": "an ordinary day compressed: changes, restarts, failures; 1,000 changes within 18 s at its end",
    "outage": "discovery is down for a minute, versions are compacted, and all come back",
    "regions": "half of discovery hears nothing of the other half's changes, and then of an hour's at once",
}


@dataclass(frozen=True, slots=True)
class Plan:
    """One run. `speed`: rate of changes, as a multiple of the users' ordinary day."""

    scenario: str
    nodes: int = 250  # proxies, including the real ones
    servers: int = 250  # in the list of each proxy
    real: int = 10
    discoveries: int = 10
    processes: int = 2  # of hollow proxies
    seconds: float = 60.0
    speed: float = 4.0
    quiet_s: float = 6.0  # before the first change, to measure the cost of idle proxies
    burst: int = 1000  # changes within `burst_s`, at the end of scenario "day"
    burst_s: float = 18.0
    down_s: float = 60.0  # of the outage of discovery, or of the partition between regions
    deadline_ms: float = 400.0  # of the only class; the proxies' maintenance intervals depend on it
    calls_per_s: float = 400.0  # capacity of one discovery instance
    behind_s: float = HOUR_S  # a partitioned region misses the changes of this much of the users' day
    mb_per_s: float = 50.0
    gather_s: float = 0.5  # for which discovery batches changes before it publishes them
    seed: int = 1
    resolution_s: float = RESOLUTION_S
    flaw: str = ""  # for tests: the defect of the hollow proxies

    @property
    def hollow(self) -> int:
        """The number of hollow proxies."""
        return self.nodes - self.real

    @property
    def polling_load(self) -> float:
        """Calls a second of proxies that see no changes, as a share of discovery's capacity."""
        return self.nodes / 3.0 / (self.discoveries * self.calls_per_s)


@dataclass(frozen=True, slots=True)
class Machine:
    """The machine's resources: descriptors that a process may open, and free memory."""

    descriptors: int
    memory_gb: float


@dataclass(frozen=True, slots=True)
class Needs:
    """An estimate of the resources that a run uses."""

    processes: int
    memory_gb: float
    seconds: float
    descriptors: int  # of the process that opens most


def needs(plan: Plan) -> Needs:
    """An upper estimate of a run's resources, extrapolated from smaller runs."""
    entries_mb = plan.servers * 0.0012  # parsed and as text, once per process
    each_mb = 0.1 + plan.servers * 40e-6 + plan.burst * 40e-6  # memory of one hollow proxy
    memory_mb = (
        60
        + plan.discoveries * (45 + entries_mb)
        + plan.processes * (45 + entries_mb)
        + plan.hollow * each_mb
        + plan.real * (30 + plan.servers * 0.002)
    )
    runs_s = plan.quiet_s + plan.seconds + (plan.burst_s if plan.scenario == "day" else plan.down_s)
    start_s = 15 + plan.nodes / 300 + plan.real * 0.5
    nodes_per_process = ceil(plan.hollow / max(1, plan.processes))
    nodes_per_instance = ceil(plan.nodes / max(1, plan.discoveries))
    return Needs(
        1 + plan.discoveries + plan.processes + plan.real,
        memory_mb / 1024,
        start_s + runs_s + 20 + plan.nodes / 200,
        64 + max(3 * nodes_per_process, 4 * nodes_per_instance),
    )


def refusals(plan: Plan, machine: Machine) -> list[Fault]:
    """What is invalid in a plan or exceeds a limit, each with the value."""
    faults = []

    def check(key: str, bad: bool, text: str, right: str) -> None:
        if bad:
            faults.append(Fault(key, text, right))

    if plan.scenario not in SCENARIOS:
        faults.append(Fault("scenario", f"no such scenario: {plan.scenario!r}", ", ".join(SCENARIOS)))
    check("real", not MIN_REAL <= plan.real <= MAX_REAL, f"is {plan.real}",
          f"{MIN_REAL} to {MAX_REAL}: hollow nodes count only beside real ones")  # fmt: skip
    check("nodes", plan.hollow < 1, f"is {plan.nodes}, {plan.real} of them real", "more than the real ones")
    check("servers", plan.servers < 16, f"is {plan.servers}", "16 at least")
    check("discoveries", not 1 <= plan.discoveries <= MAX_DISCOVERIES, f"is {plan.discoveries}",
          f"1 to {MAX_DISCOVERIES}")  # fmt: skip
    check("processes", plan.processes < 1, f"is {plan.processes}", "1 at least")
    check("discoveries", plan.scenario == "regions" and plan.discoveries < 2, f"is {plan.discoveries}",
          "2 at least: each region has its own")  # fmt: skip
    if faults:
        return faults
    need = needs(plan)
    check("processes", need.processes > MAX_PROCESSES, f"{need.processes} would run",
          f"at most {MAX_PROCESSES}")  # fmt: skip
    check("memory", need.memory_gb > MAX_MEMORY_GB, f"{need.memory_gb:.1f} GB would be used",
          f"at most {MAX_MEMORY_GB:g}")  # fmt: skip
    check("memory", need.memory_gb > machine.memory_gb, f"{need.memory_gb:.1f} GB would be used",
          f"at most the {machine.memory_gb:.1f} that are free")  # fmt: skip
    check("seconds", need.seconds > MAX_SECONDS, f"it would take {need.seconds:.0f} s",
          f"at most {MAX_SECONDS:g}")  # fmt: skip
    check("descriptors", need.descriptors > machine.descriptors, f"a process would open {need.descriptors}",
          f"at most {machine.descriptors} (ulimit -n); more processes need fewer each")  # fmt: skip
    check("calls_per_s", plan.polling_load > 0.9,
          f"proxies with no news would use {plan.polling_load:.0%} of discovery",
          "at most 90%: more instances, or fewer nodes")  # fmt: skip
    return faults


# Timeline


@dataclass(frozen=True, slots=True, order=True)
class Step:
    """A step of the timeline. `what`: change (of a weight), leave, left, begin (a new process), down, up,
    compact, cut or heal."""

    at_s: float
    what: str
    server: int = -1


FAULTS = ("leave", "left", "down", "cut")


def timeline(plan: Plan) -> list[Step]:
    """The steps of a run; their times count from when all proxies have called discovery."""
    random = Random(plan.seed)
    steps: list[Step] = []

    def event_count(per_day: int, seconds: float) -> int:
        """How many events of a kind to add. At least one, so that every kind occurs."""
        return max(1, round(per_day / DAY_S * plan.speed * seconds)) if plan.speed else 0

    def add_ordinary_changes(from_s: float, to_s: float, equivalent_s: float = 0.0) -> None:
        """`equivalent_s`: as many as in this much of the users' day, at any speed."""
        span_s = equivalent_s / plan.speed if equivalent_s and plan.speed else to_s - from_s
        for _ in range(event_count(CHANGES_PER_DAY, span_s)):
            steps.append(Step(random.uniform(from_s, to_s), "change", random.randrange(plan.servers)))
        for _ in range(event_count(RESTARTS_PER_DAY, span_s)):
            at_s, server = random.uniform(from_s, to_s), random.randrange(plan.servers)
            steps.append(Step(at_s, "leave", server))
            steps.append(Step(at_s + DRAIN_S, "left", server))
            steps.append(Step(at_s + RESTART_S, "begin", server))
        for _ in range(event_count(FAILURES_PER_DAY, span_s)):
            at_s, server = random.uniform(from_s, to_s), random.randrange(plan.servers)
            steps.append(Step(at_s, "left", server))
            steps.append(Step(at_s + REPLACEMENT_S, "begin", server))

    if plan.scenario == "regions":
        end_s = plan.seconds + plan.down_s
        add_ordinary_changes(0.0, plan.seconds)
        steps.append(Step(plan.seconds, "cut"))
        add_ordinary_changes(plan.seconds, end_s - 0.1, plan.behind_s)
        steps = [step for step in steps if step.at_s < end_s] + [Step(end_s, "heal")]
    elif plan.scenario == "outage":
        add_ordinary_changes(0.0, plan.seconds)
        steps.append(Step(plan.seconds, "down"))
        add_ordinary_changes(plan.seconds, plan.seconds + 0.8 * plan.down_s)
        end_s = plan.seconds + plan.down_s
        steps += [Step(end_s - 0.01, "compact"), Step(end_s, "up")]
        steps = [step for step in steps if step.at_s <= end_s]
    else:
        add_ordinary_changes(0.0, plan.seconds)
        for i in range(plan.burst):
            at_s = plan.seconds + plan.burst_s * (i + random.random()) / plan.burst
            steps.append(Step(at_s, "change", random.randrange(plan.servers)))
        steps = [step for step in steps if step.at_s <= plan.seconds + plan.burst_s]
    return sorted(steps)


# Evaluation


@dataclass(slots=True)
class ProxyObservation:
    """What discovery observed of one proxy during the run, and whether its final list is right."""

    name: str
    calls: int
    bytes: int  # in both directions
    worst_bytes: int  # in one second
    fulls: int  # full lists
    in_force_s: NDArray[numpy.float64]  # by version: time until in force; nan: never
    drawn_s: list[float]  # calls at randomly drawn times: the first, and those after failures
    # `in_force_s` without the effect of one random wait: after an outage counted from the first call, after a
    # partition without the missed versions (nan). `returned_s`: that wait, until the first call or until the
    # missed versions were in force.
    from_call_s: NDArray[numpy.float64] | None = None
    returned_s: float = nan
    untrue: int = 0  # versions that it reported but never received
    wrong: bool = False  # its list differs from discovery's at the same version


@dataclass(slots=True)
class Agreement:
    """A figure of the hollow proxies compared with that of the real ones."""

    name: str
    hollow: float
    real: float
    agrees: bool

    @property
    def deviation(self) -> float:
        """Relative deviation of the hollow proxies from the real ones."""
        return self.hollow / self.real - 1 if self.real else (inf if self.hollow else 0.0)


def _close(hollow: float, real: float, slack: float = 0.0) -> bool:
    return isfinite(hollow) and isfinite(real) and abs(hollow - real) <= TOLERANCE * real + slack


def coincidence_share(
    times_s: Sequence[Sequence[float]], others_s: Sequence[Sequence[float]], same_proxies: bool
) -> float:
    """The mean share of the other proxies that called within `COINCIDENCE_S` of a call.

    `times_s` and `others_s`: call times, one list per proxy. `same_proxies`: both are the same proxies, and a
    proxy does not count for its own calls.
    """
    count = len(others_s) - same_proxies
    if count < 1:
        return 0.0
    spans = []  # around each other proxy's calls, merged so that a proxy counts once
    for other_calls_s in others_s:
        last = -inf
        for at_s in sorted(other_calls_s):
            start = max(at_s - COINCIDENCE_S, last)
            last = at_s + COINCIDENCE_S
            spans.append((start, last))
    starts = numpy.sort(numpy.array([start for start, _ in spans]))
    ends = numpy.sort(numpy.array([end for _, end in spans]))
    calls_s = numpy.array([at_s for call_times_s in times_s for at_s in call_times_s])
    if not calls_s.size:
        return 0.0
    coinciding = (
        numpy.searchsorted(starts, calls_s, "right")
        - numpy.searchsorted(ends, calls_s, "left")
        - same_proxies
    )
    return float(numpy.clip(coinciding / count, 0.0, 1.0).mean())


def rank_deviation(some: Sequence[float], others: Sequence[float]) -> float:
    """Deviation of the ranks of `some` from chance, in standard deviations (Mann and Whitney 1947).

    Used for waits of which each of the few real proxies shows only one random draw, so that their mean may
    differ by 10% by chance. The same holds for the turn in which a proxy gets all versions that it missed:
    one time for hundreds of versions.
    """
    ranks = numpy.searchsorted(numpy.sort(numpy.array(others)), numpy.array(some))
    count, of = len(some), len(others)
    deviation = (count * of * (count + of + 1) / 12) ** 0.5
    return float((ranks.sum() - count * of / 2) / deviation)


def agreements(
    real: Sequence[ProxyObservation], hollow: Sequence[ProxyObservation], resolution_s: float = RESOLUTION_S
) -> list[Agreement]:
    """Compare the hollow proxies with the real ones, figure by figure."""
    results = []

    def compare(name: str, figures: tuple[float, float], slack: float = 0.0) -> None:
        results.append(Agreement(name, *figures, _close(*figures, slack)))

    def both(figure: Callable[[Sequence[ProxyObservation]], float]) -> tuple[float, float]:
        return float(figure(hollow)), float(figure(real))

    def times_in_force(some: Sequence[ProxyObservation]) -> NDArray[numpy.float64]:
        times = [seen.in_force_s if seen.from_call_s is None else seen.from_call_s for seen in some]
        all_times: NDArray[numpy.float64] = numpy.concatenate(times)
        known_times: NDArray[numpy.float64] = all_times[~numpy.isnan(all_times)]
        return known_times

    compare("calls a proxy", both(lambda some: float(numpy.mean([seen.calls for seen in some]))))
    compare("bytes a proxy", both(lambda some: float(numpy.mean([seen.bytes for seen in some]))))
    never = both(lambda some: sum(float(numpy.isnan(seen.in_force_s).sum()) for seen in some))
    results.append(Agreement("versions never in force", *never, not any(never)))
    if times_in_force(hollow).size and times_in_force(real).size:
        compare("mean time in force, s", both(lambda some: float(times_in_force(some).mean())), resolution_s)
        compare(
            "p90 time in force, s",
            both(lambda some: float(numpy.quantile(times_in_force(some), 0.9))),
            resolution_s,
        )
    return_waits = [
        [seen.returned_s for seen in some if isfinite(seen.returned_s)] for some in (hollow, real)
    ]
    if return_waits[0] and return_waits[1]:
        means = [float(numpy.mean(some)) for some in return_waits]
        agrees = abs(rank_deviation(return_waits[1], return_waits[0])) <= MAX_DEVIATIONS
        results.append(Agreement("mean wait after an outage or a cut, s", means[0], means[1], agrees))
    untrue = both(lambda some: sum(seen.untrue for seen in some))
    results.append(Agreement("versions told of that were never heard", *untrue, not any(untrue)))
    wrong = both(lambda some: sum(seen.wrong for seen in some))
    results.append(Agreement("proxies that hold another list", *wrong, not any(wrong)))
    hollow_draws = [seen.drawn_s for seen in hollow]
    shares = (
        coincidence_share(hollow_draws, hollow_draws, True),
        coincidence_share([seen.drawn_s for seen in real], hollow_draws, False),
    )
    agrees = abs(shares[0] - shares[1]) <= COINCIDENCE_TOLERANCE
    results.append(Agreement("share of hollow ones that ask at the same instant", *shares, agrees))
    return results


def empty_reasons(plan: Plan, versions: int, faults: int, fulls: int, behind: int = 0) -> list[str]:
    """Why a run has no significance: the events that it tests did not happen."""
    reasons = []
    if not versions:
        reasons.append("this run shows nothing: nothing changed")
    if not faults:
        reasons.append("this run shows nothing: there were no faults")
    if plan.scenario == "outage" and not fulls:
        reasons.append("this run shows nothing of an outage: nobody had to ask for the whole list")
    if plan.scenario == "regions" and not behind:
        reasons.append("this run shows nothing of regions cut from one another: none had to catch up")
    return reasons


@dataclass(slots=True)
class Report:
    """The results of a run, as stored in a file."""

    kind: str
    plan: dict[str, object]
    commit: str
    figures: dict[str, float]
    agreements: list[Agreement]
    complaints: list[str]
    instances: list[dict[str, float]]
    notes: list[str] = field(default_factory=list)


KIND = "lab scale"


def complaints_of(found: Sequence[Agreement]) -> list[str]:
    """A message for each figure that does not agree."""
    return [
        f"hollow and real proxies disagree: {one.name}: {one.hollow:.4g} beside {one.real:.4g}"
        for one in found
        if not one.agrees
    ]


def bounds(figures: dict[str, float]) -> list[tuple[str, float, float, str]]:
    """The users' bounds: each figure's name, measured value, bound and unit."""
    return [
        ("in force everywhere, the last", figures["in_force_last_s"], IN_FORCE_S, "s"),
        ("control, bytes a second, mean", figures["bytes_mean"], BYTES_PER_S, "B/s"),
        ("control, bytes in the worst second", figures["bytes_worst"], BYTES_PER_S, "B/s"),
        ("control, share of a core, mean", figures["cpu_mean"], CORE_SHARE, ""),
        ("control, share of a core, worst second", figures["cpu_worst"], CORE_SHARE, ""),
        ("memory of a real proxy", figures["memory_mb"], MEMORY_MB, "MB"),
    ]
