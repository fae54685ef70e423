"""Load that all proxies together send to a cold server, and what limiting that load costs.

    python -m benchmarks.cold [--proxies 20 30 200] [--seeds 500] [--first 40000] [--jobs 4] [CASE ...]
    python -m benchmarks.cold --worth [--seeds 24] ...
    python -m benchmarks.cold --sockets --proxies 20 --seeds 3 [CASE ...]

Runs in simulated time, with the real decision module and node in each proxy. The seed selects the case and
draws its sizes, loads and limits. At the stand-in servers the work from all proxies is counted over the
sliding window of the settings, in requests of mean work. It is compared with N, which the settings allow a
server in that window, and with the bound N + 2 x sqrt(N) + 2, which leaves a margin for random variation.
One request counts as at most three of mean work, since its cost is random, too. Servers don't crash from
overload here, so that all of the load is counted.

`--sockets` runs the real program, as up to 30 processes in front of stand-in servers on loopback. `--worth`
runs the same scenarios with the module's limit, with an omniscient limit (each server is sent up to N,
counted over all proxies) and with no limit, and compares the worth served within the aim.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import tempfile
from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from cloverrouter.decide import Balancer, Endpoint, Request
from cloverrouter.lab.registry import Listing
from cloverrouter.lab.scenario import Safety, Scenario, build
from cloverrouter.lab.server import MAX_COUNTED_COST, Job, Server
from cloverrouter.lab.simulation import Simulation
from cloverrouter.lab.sockets import SocketRun
from cloverrouter.lab.text import table
from cloverrouter.values import replace

ScenarioSpec = dict[str, Any]
NEVER_OVERLOADED = 1e9
SOCKETS_RATE = 300.0


def chance_bound(budget: float) -> float:
    """Return the bound for an allowance of `budget`, with its margin for random variation."""
    return float(budget + 2 * budget**0.5 + 2)


def allowed(server: Server, safety: Safety, now_s: float) -> float:
    """Return N: requests of mean work that a cold server may be sent in the window that ends now.

    Warmth rises linearly, so its value in the middle of the window is the mean over the window.
    """
    assert server.started_s is not None
    begun_s = max(server.started_s, now_s - safety.fall_s)
    age = ((begun_s + now_s) / 2 - server.started_s) / safety.cold_s
    warmth = min(1.0, safety.cold_share + (1 - safety.cold_share) * age)
    capacity_ms = warmth * server.speed * server.kind.cores * safety.fall_s * 1000
    return safety.fall_multiple * capacity_ms / server.mean_work_ms


@dataclass(slots=True)
class PeakLoad:
    """The window of one cold server process with the highest load relative to its bound."""

    server: str
    sent: float = 0.0  # requests of mean work
    allowed: float = 1.0
    count: int = 0
    unaware_share: float = 0.0  # share of the work sent by proxies that didn't know of its start yet

    @property
    def bound_ratio(self) -> float:
        """Load as a multiple of the bound; above 1 the server crashes from overload."""
        return self.sent / chance_bound(self.allowed)

    @property
    def exceeds_bound(self) -> bool:
        """Whether the bound was exceeded with less than a third of the load from unaware proxies."""
        return self.bound_ratio > 1 and self.unaware_share < 1 / 3


@dataclass
class LoadMeter:
    """Measures the work that one server receives while it is cold.

    `knows_start` returns whether the named proxy knows of the server's current start.
    """

    server: Server
    safety: Safety
    knows_start: Callable[[str, Server], bool]
    worst: dict[int, PeakLoad] = field(default_factory=dict)  # by process

    def __post_init__(self) -> None:
        self._arrivals: deque[tuple[float, float, bool]] = deque()
        self._incarnation = -1
        self._receive = self.server.receive
        setattr(self.server, "receive", self._measure)  # noqa: B010

    def _measure(self, job: Job) -> None:
        server = self.server
        if server.up and server.started_s is not None and server.warmth() < 1:
            self._record(server.started_s, job)
        self._receive(job)

    def _record(self, started_s: float, job: Job) -> None:
        server, now_s = self.server, self.server.loop.time()
        if server.incarnation != self._incarnation:
            self._incarnation = server.incarnation
            self._arrivals.clear()
        work = min(MAX_COUNTED_COST, job.work_ms / server.mean_work_ms)
        self._arrivals.append((now_s, work, self.knows_start(job.proxy, server)))
        while self._arrivals[0][0] < now_s - self.safety.fall_s:
            self._arrivals.popleft()
        sent = sum(work for _, work, _ in self._arrivals)
        budget = allowed(server, self.safety, now_s)
        worst = self.worst.setdefault(server.incarnation, PeakLoad(server.name))
        if sent / chance_bound(budget) > worst.bound_ratio:
            worst.sent, worst.allowed, worst.count = sent, budget, len(self._arrivals)
            worst.unaware_share = sum(work for _, work, knows in self._arrivals if not knows) / sent


class MeteredSimulation(Simulation):
    """Simulation that measures cold servers, none of which crashes from overload.

    `stated` is the number of proxies in the settings, as a multiple of the true number.
    """

    def __init__(self, scenario: Scenario, seed: int, stated: float = 1.0) -> None:
        self.meters: list[LoadMeter] = []
        super().__init__(scenario, seed)
        for proxy in self.proxies:
            count = max(1, round(stated * scenario.proxies.count))
            proxy.settings = replace(proxy.settings, proxies=count, number=proxy.index % count)
        for server in self.servers.values():
            self._attach_meter(server)

    def _attach_meter(self, server: Server) -> None:
        self.meters.append(LoadMeter(server, self.scenario.safety, self._knows_start))
        server.safety = _without_overload(server.safety)

    def replace(self, server: Server, name: str, same_address: bool) -> Server:
        """Replace a server as the simulation does, and measure the new one."""
        new = super().replace(server, name, same_address)
        self._attach_meter(new)
        return new

    def _knows_start(self, proxy: str, server: Server) -> bool:
        assert server.started_s is not None
        known = self._proxy(proxy)._known.get(server.name)
        return known is not None and known.listed.started_ms == server.started_s * 1000

    def peak_loads(self) -> list[PeakLoad]:
        """Return the peak load of each cold server process."""
        return [peak for meter in self.meters for peak in meter.worst.values()]


def _without_overload(safety: Safety) -> Safety:
    return Safety(
        cold_share=safety.cold_share, cold_s=safety.cold_s, fall_multiple=NEVER_OVERLOADED,
        fall_s=safety.fall_s, drain_grace_ms=safety.drain_grace_ms, must_ask_s=safety.must_ask_s,
    )  # fmt: skip


class MeteredRun(SocketRun):
    """Run on sockets that measures cold servers, none of which crashes from overload."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path) -> None:
        super().__init__(scenario, seed, folder)
        self._delivered: set[tuple[str, str, float | None]] = set()
        self.meters = [
            LoadMeter(server, scenario.safety, self._knows_start) for server in self.servers.values()
        ]
        for server in self.servers.values():
            server.safety = _without_overload(server.safety)

    def _on_list_sent(self, proxy: str, listing: Listing) -> None:
        super()._on_list_sent(proxy, listing)
        self._delivered |= {(proxy, entry.name, entry.started_s) for entry in listing.entries}

    def _knows_start(self, proxy: str, server: Server) -> bool:
        return (proxy, server.name, server.started_s) in self._delivered

    def peak_loads(self) -> list[PeakLoad]:
        """Return the peak load of each cold server process."""
        return [peak for meter in self.meters for peak in meter.worst.values()]


async def measure_on_sockets(scenario: Scenario, seed: int) -> tuple[list[PeakLoad], float]:
    """Return the peak load of each cold server, and the worth served within the aim."""
    with tempfile.TemporaryDirectory(prefix="cold-") as folder:
        socket_run = MeteredRun(scenario, seed, Path(folder))
        result = await socket_run.run()
    assert not result.broken, result.broken
    return socket_run.peak_loads(), result.figures.worth


# Cases

RESTARTED_S = 5.0  # when the first restarted server is up
SECONDS = 14.0


def base_scenario(seed: int, proxies: int, load: float | None = None) -> ScenarioSpec:
    """Return a random scenario without faults; `load` is the offered share of the servers' capacity."""
    random = Random(seed)
    servers = random.randint(8, max(14, proxies // 5))
    cores, speed = random.choice((1, 2, 4)), random.uniform(0.6, 1.3)
    work_ms = random.uniform(50, 120)
    capacity = servers * cores * speed * 1000 / work_ms
    load = random.uniform(0.4, 0.75) if load is None else load
    return {
        "name": "cold",
        "seconds": SECONDS,
        "proxies": {"count": proxies},
        "office": [{"rate": load * capacity, "unequal": random.uniform(0.5, 2.0), "retries": 2}],
        "class": [
            {"name": "look-up", "share": 0.6, "effect": "keyed", "group": "all", "window_ms": 1200,
             "aim_ms": 600, "deadline_ms": 1500, "worth": 3, "work_ms": 0.7 * work_ms, "spread": 1.1},
            {"name": "entry", "share": 0.4, "effect": "unsafe", "aim_ms": 900, "deadline_ms": 1800,
             "worth": 10, "work_ms": 1.45 * work_ms, "spread": 1.1},
        ],
        "servers": [
            {"count": servers, "halls": ["a", "b", "c"][: random.randint(1, 3)], "cores": cores,
             "speed": speed, "speed_spread": 0.35, "connections": 19 * cores,
             "handshake_ms": 0.25 * work_ms},
        ],
        "safety": {"cold_share": random.uniform(0.12, 0.35), "cold_s": random.uniform(6, 20),
                   "fall_multiple": random.choice((3.0, 4.0)), "fall_s": random.choice((1.5, 2.0))},
        "discovery": {"add_s": random.uniform(0.3, 1.5), "notice_s": 1.5, "crash_notice_s": 1.0},
        "fault": [],
    }  # fmt: skip


def crash(count: int) -> ScenarioSpec:
    """Return a fault: `count` servers crash and are up again at the restart time."""
    return {"kind": "crash", "at_s": RESTARTED_S - 2.5, "for_s": 2.5, "count": count}


def once(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """One server restarts."""
    spec = base_scenario(seed, proxies)
    spec["fault"] = [crash(1)]
    return spec, 1.0


def late(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """Discovery is cut off from 30% of the proxies, which learn of restarts seconds later than the others."""
    spec = base_scenario(seed, proxies)
    isolated = [f"p-{i}" for i in Random(seed).sample(range(proxies), round(0.3 * proxies))]
    cut_off = {"kind": "cut", "from": ["discovery"], "to": isolated, "at_s": RESTARTED_S - 0.5, "for_s": 5.0}
    spec["fault"] = [crash(2), cut_off]
    return spec, 1.0


def burst(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """The load doubles for 3 s after two servers restart."""
    spec = base_scenario(seed, proxies)
    at_s = RESTARTED_S + Random(seed).uniform(0.5, 4)
    spec["fault"] = [crash(2), {"kind": "load", "factor": 2.0, "at_s": at_s, "for_s": 3.0}]
    return spec, 1.0


def lull(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """High load, almost none while servers restart, then a burst: every proxy has its full allowance."""
    spec = base_scenario(seed, proxies, Random(seed).uniform(0.6, 0.9))
    ends_s = RESTARTED_S + Random(seed).uniform(2, 5)
    spec["fault"] = [
        crash(2),
        {"kind": "load", "factor": 0.1, "at_s": RESTARTED_S - 1, "for_s": ends_s - RESTARTED_S + 1},
        {"kind": "load", "factor": 2.0, "at_s": ends_s, "for_s": 3.0},
    ]
    return spec, 1.0


def most(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """60% of the servers crash at the same moment and are up again at the same moment."""
    spec = base_scenario(seed, proxies)
    spec["fault"] = [crash(round(0.6 * spec["servers"][0]["count"]))]
    return spec, 1.0


def release(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """A release replaces 60% of the servers within 5 s."""
    spec = base_scenario(seed, proxies)
    count = round(0.6 * spec["servers"][0]["count"])
    spec["fault"] = [{"kind": "release", "at_s": 1.0, "count": count, "within_s": 5.0, "gap_s": 0.5}]
    return spec, 1.0


def release_in_overload(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """The load doubles during a release."""
    spec, _ = release(seed, proxies)
    spec["fault"].append({"kind": "load", "factor": 2.0, "at_s": 3.0, "for_s": 6.0})
    return spec, 1.0


def unequal(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """The proxies' shares of the load differ widely."""
    spec = base_scenario(seed, proxies)
    spec["office"][0]["unequal"] = 4.0
    spec["fault"] = [crash(2)]
    return spec, 1.0


def repeats(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """Messages arrive up to a second late, connections are reset, and clients retry failed requests."""
    spec = base_scenario(seed, proxies)
    spec["office"][0] |= {"retries": 3, "backoff_ms": 100, "try_share": 0.6}
    spec["network"] = {"loss": 0.15, "resend_ms": 1000}
    spec["fault"] = [crash(2), {"kind": "reset", "share": 0.15, "at_s": RESTARTED_S, "for_s": 6.0}]
    return spec, 1.0


def jam(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """An overload precedes the restart, so the proxies' estimate of a request's cost is still high."""
    spec = base_scenario(seed, proxies)
    spec["fault"] = [crash(2), {"kind": "load", "factor": 3.0, "at_s": 1.0, "for_s": RESTARTED_S - 1.5}]
    return spec, 1.0


def herd(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """70% of the proxies are killed and restart around the time when servers do."""
    spec = base_scenario(seed, proxies)
    killed = {"kind": "kill", "part": 0.7, "at_s": RESTARTED_S - 1, "for_s": Random(seed).uniform(0.5, 2)}
    spec["fault"] = [crash(2), killed]
    return spec, 1.0


def turned_away(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """Warm servers reject requests at once: few connections, short queues, an overload, and retries."""
    spec = release_in_overload(seed, proxies)[0]
    spec["servers"][0] |= {"connections": 8 * spec["servers"][0]["cores"], "queue": 8}
    spec["office"][0]["retries"] = 3
    return spec, 1.0


def failing(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """A third of the servers answer with errors at once, and clients retry."""
    spec = burst(seed, proxies)[0]
    spec["office"][0] |= {"retries": 3, "after_failures": True}
    fails = {"kind": "fail", "part": 0.33, "share": 0.9, "at_s": RESTARTED_S - 2, "for_s": 8.0}
    spec["fault"].append(fails)
    return spec, 1.0


def fresh(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """All servers and all proxies restart, and the offered load is 150% of the capacity."""
    spec = base_scenario(seed, proxies, 1.5)
    spec["fault"] = [
        {"kind": "crash", "at_s": RESTARTED_S - 2.5, "for_s": 2.5},
        {"kind": "kill", "at_s": RESTARTED_S - 2.5, "for_s": 2.5 + Random(seed).uniform(0, 2)},
    ]
    return spec, 1.0


def more(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """The settings state four times as many proxies as there are."""
    return burst(seed, proxies)[0], 4.0


def fewer(seed: int, proxies: int) -> tuple[ScenarioSpec, float]:
    """The settings state a quarter of the proxies that there are."""
    return burst(seed, proxies)[0], 0.25


CASES: dict[str, Callable[[int, int], tuple[ScenarioSpec, float]]] = {
    case.__name__: case
    for case in (
        once, late, burst, lull, most, release, release_in_overload, unequal, repeats, jam, herd, turned_away,
        failing, fresh, more, fewer,
    )
}  # fmt: skip


def measure_case(case: str, seed: int, proxies: int) -> list[PeakLoad]:
    """Return the peak load of each cold server process in one simulated run of a case."""
    spec, stated = CASES[case](seed, proxies)
    simulation = MeteredSimulation(build(spec), seed, stated)
    broken = simulation.run().broken
    assert not broken, broken
    return simulation.peak_loads()


# Worth lost to the cold limit


@contextmanager
def replaced_cold_limit(kind: str) -> Iterator[Callable[[MeteredSimulation], None]]:
    """Replace the decision module's cold limit in this process for the duration of the context.

    `kind`: `module` (unchanged), `omniscient` or `none`. Yields a function that registers the simulation,
    which the omniscient limit reads.
    """
    original_limit, simulations = Balancer._within_cold_limit, list[MeteredSimulation]()
    work_sent: dict[tuple[str, float], deque[tuple[float, float]]] = {}

    def omniscient(self: Balancer, request: Request, endpoint: Endpoint) -> bool:
        safety, now_ms = self.settings.safety, self.now_ms
        if endpoint.warmth(now_ms, safety) >= 1:
            return True
        run = simulations[0]
        server = run.servers[endpoint.listed.name]
        if server.started_s is None:
            return True
        recent = work_sent.setdefault((server.name, server.started_s), deque())
        while recent and recent[0][0] < now_ms - safety.overload_window_ms:
            recent.popleft()
        return sum(work for _, work in recent) + 1 <= allowed(server, run.scenario.safety, now_ms / 1000)

    original_send = Balancer._send

    def send(self: Balancer, request: Request, endpoint: Endpoint, new_connection: bool = False) -> None:
        server = simulations[0].servers[endpoint.listed.name]
        if server.started_s is not None:
            work = request.work / server.mean_work_ms
            work_sent.setdefault((server.name, server.started_s), deque()).append((self.now_ms, work))
        original_send(self, request, endpoint, new_connection)

    if kind == "omniscient":
        setattr(Balancer, "_within_cold_limit", omniscient)  # noqa: B010
        setattr(Balancer, "_send", send)  # noqa: B010
    elif kind == "none":
        setattr(Balancer, "_within_cold_limit", lambda self, request, endpoint: True)  # noqa: B010
    try:
        yield simulations.append
    finally:
        setattr(Balancer, "_within_cold_limit", original_limit)  # noqa: B010
        setattr(Balancer, "_send", original_send)  # noqa: B010


def run_for_worth(job: tuple[str, str, int, int]) -> float:
    """Return the worth served within the aim in one run: (kind of limit, case, seed, proxies)."""
    kind, case, seed, proxies = job
    spec, stated = CASES[case](seed, proxies)
    with replaced_cold_limit(kind) as register:
        simulation = MeteredSimulation(build(spec), seed, stated)
        register(simulation)
        return simulation.run().figures.worth


def _measure_job(job: tuple[str, int, int]) -> list[PeakLoad]:
    return measure_case(*job)


def load_rows(names: list[str], proxies: int, seeds: range, pool: ProcessPoolExecutor) -> list[list[str]]:
    """Return a table row for each case, over its simulated runs."""
    jobs = [(names[seed % len(names)], seed, proxies) for seed in seeds]
    found = list(pool.map(_measure_job, jobs, chunksize=4))
    rows = []
    for name in names:
        runs = [peaks for (case, _, _), peaks in zip(jobs, found, strict=True) if case == name]
        rows.append([str(proxies), name, *_figures([peak for peaks in runs for peak in peaks])])
    return rows


def _figures(peaks: list[PeakLoad]) -> list[str]:
    if not peaks:
        return ["0"]
    aware = [peak for peak in peaks if peak.unaware_share < 1 / 3]
    worst = max(aware, key=lambda peak: peak.bound_ratio)
    return [
        str(len(peaks)),
        f"{max(peak.sent / peak.allowed for peak in aware):.2f}",
        f"{sum(peak.sent > peak.allowed for peak in aware)}",
        f"{worst.bound_ratio:.2f}",
        f"{sum(peak.exceeds_bound for peak in aware)}",
        f"{worst.sent:.1f} ({worst.count}) of {worst.allowed:.1f}; {chance_bound(worst.allowed):.1f}",
        f"{statistics.quantiles([peak.bound_ratio for peak in aware], n=100)[98]:.2f}"
        if len(aware) > 1
        else "",
        f"{sum(peak.bound_ratio > 1 for peak in peaks) - sum(peak.exceeds_bound for peak in aware)}",
    ]


LOAD_HEAD = ["proxies", "case", "cold servers", "most / N", "over N", "most / bound", "over it",
        "the worst: sent (requests) of N; bound", "99%", "over it untold"]  # fmt: skip


def socket_rows(names: list[str], proxies: int, seeds: range) -> list[list[str]]:
    """Return a table row for each case, over its runs on sockets."""
    rows = []
    for name in names:
        found: list[PeakLoad] = []
        for seed in seeds:
            spec, _ = CASES[name](seed, proxies)
            # All stand-ins and clients run in this process: a higher rate would only measure its own limit.
            spec["office"][0]["rate"] = min(SOCKETS_RATE, spec["office"][0]["rate"])
            found += asyncio.run(measure_on_sockets(build(spec), seed))[0]
        rows.append([str(proxies), name, *_figures(found)])
    return rows


def main() -> None:
    """Print a table for each number of proxies."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("case", nargs="*", default=list(CASES), help=", ".join(CASES))
    parser.add_argument("--proxies", type=int, nargs="+", default=[20, 30, 200])
    parser.add_argument("--seeds", type=int, default=500)
    parser.add_argument("--first", type=int, default=40_000)
    parser.add_argument("--jobs", type=int, default=min(4, os.cpu_count() or 1))
    parser.add_argument("--worth", action="store_true")
    parser.add_argument("--sockets", action="store_true")
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.seeds)
    if args.sockets:
        for proxies in args.proxies:
            print("\n".join(table(LOAD_HEAD, socket_rows(args.case, proxies, seeds))), flush=True)
        return
    with ProcessPoolExecutor(args.jobs) as pool:
        for proxies in args.proxies:
            if args.worth:
                print("\n".join(table(WORTH_HEAD, worth_rows(args.case, proxies, seeds, pool))), flush=True)
            else:
                print("\n".join(table(LOAD_HEAD, load_rows(args.case, proxies, seeds, pool))), flush=True)


WORTH_HEAD = ["proxies", "case", "module", "omniscient", "none", "lost to caution, mean", "most"]


def worth_rows(names: list[str], proxies: int, seeds: range, pool: ProcessPoolExecutor) -> list[list[str]]:
    """Return a table row for each case: mean worth under each limit, and the worth lost to the module's."""
    kinds = ("module", "omniscient", "none")
    jobs = [(names[seed % len(names)], seed, proxies) for seed in seeds]
    found = list(pool.map(run_for_worth, [(kind, *job) for job in jobs for kind in kinds], chunksize=3))
    worths_by_job = {job: found[3 * i : 3 * i + 3] for i, job in enumerate(jobs)}
    rows = []
    for name in names:
        runs = [worths for job, worths in worths_by_job.items() if job[0] == name]
        if runs:
            lost = [omniscient - module for module, omniscient, _ in runs]
            means = [f"{statistics.mean(column):.3f}" for column in zip(*runs, strict=True)]
            rows.append([str(proxies), name, *means, f"{statistics.mean(lost):.3f}", f"{max(lost):.3f}"])
    return rows


if __name__ == "__main__":
    main()
