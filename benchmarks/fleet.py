"""Thousands of proxies with a low request rate each, in simulated time: load of servers, results of clients.

    python -m benchmarks.fleet [--proxies 5000] [--seeds 1] [CASE ...]

Each case is one run of the lab, with the real decision module and node in each proxy and ten servers.
Figures: worth served within the aim; attempts received by servers per request; the highest number of
connections at one server; the busiest server's requests over the mean; servers that crashed from overload
while cold. `quiet` offers half of the servers' capacity, `over` one and a half times of it.
"""

from __future__ import annotations

import argparse
import tempfile
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from cloverrouter.lab.account import Series
from cloverrouter.lab.scenario import load
from cloverrouter.lab.server import Server
from cloverrouter.lab.simulation import Simulation

BASE = """
name = "fleet"
about = "Proxies with a trickle each."
seconds = {seconds}
[proxies]
count = {proxies}
start_spread_s = {spread}
[[office]]
rate = {rate}
unequal = {unequal}
retries = 0
[[class]]
name = "extract-issue"
share = 0.62
effect = "keyed"
group = "cell"
window_ms = 1200
aim_ms = 500
deadline_ms = 1200
worth = 3
work_ms = 47
spread = 1.1
[[class]]
name = "entry-register"
share = 0.38
effect = "unsafe"
aim_ms = 800
deadline_ms = 1500
worth = 10
work_ms = 94
spread = 1.1
[[servers]]
count = 10
halls = ["lozenets", "mladost", "lyulin"]
speed = 1.1
speed_spread = 0.3
connections = 4000
handshake_ms = 2
"""
RELEASE = """
[[fault]]
kind = "release"
at_s = 10
count = {count}
within_s = {within}
"""
FAIL = """
[[fault]]
kind = "fail"
at_s = 40
for_s = 10
share = 1.0
{servers}
"""
FAILURE_WINDOW_S = (40, 50)
# Seconds, requests per second, inequality of the proxies' rates, seconds within which they start, faults
CASES: dict[str, tuple[int, int, float, float, str]] = {
    "quiet": (30, 300, 1.0, 0.0, ""),
    "even": (30, 300, 0.0, 0.0, ""),
    "hot": (30, 300, 2.5, 0.0, ""),
    "over": (30, 900, 1.0, 0.0, ""),
    "release": (40, 300, 1.0, 0.0, RELEASE.format(count=5, within=10)),
    "together": (30, 300, 1.0, 0.0, RELEASE.format(count=10, within=1)),
    "third": (80, 300, 1.0, 0.0, FAIL.format(servers='servers = ["s-1", "s-2", "s-3"]')),
    "all": (80, 300, 1.0, 0.0, FAIL.format(servers="")),
}


class OverloadCountingSimulation(Simulation):
    """Simulation that counts servers which crash from overload."""

    overload_crashes = 0

    def _fell(self, server: Server) -> None:
        self.overload_crashes += 1
        super()._fell(server)


def run_case(job: tuple[str, int, int]) -> str:
    """Run one case, given as (name, proxies, seed), and return its row."""
    name, proxies, seed = job
    seconds, rate, unequal, spread, faults = CASES[name]
    text = BASE.format(seconds=seconds, proxies=proxies, rate=rate, unequal=unequal, spread=spread) + faults
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "fleet.toml")
        path.write_text(text)
        simulation = OverloadCountingSimulation(load(str(path)), seed)
    result = simulation.run()
    figures, sends = result.figures, result.series.sends
    attempts_by_server = [sum(sends.get(f"s-{i + 1}", [])) for i in range(10)]
    busiest_ratio = max(attempts_by_server) / max(1e-9, sum(attempts_by_server) / len(attempts_by_server))
    return (
        f"{name:9} seed {seed}: in aim {figures.worth:.3f}, attempts a request "
        f"{figures.attempts_per_request:.3f}, most connections {figures.most_connections}, "
        f"busiest over mean {busiest_ratio:.2f}, fell over {simulation.overload_crashes}"
        + (failure_figures(result.series) if name in ("third", "all") else "")
        + (f", RULE BROKEN: {result.broken}" if result.broken else "")
    )


def failure_figures(series: Series) -> str:
    """Return the figures while servers fail: attempts per request, worth in aim, and the time to recover.

    Recovered means that the share of the worth served in aim, in the mean of three seconds, is back at 95% of
    its level before the failure.
    """
    begin, end = FAILURE_WINDOW_S
    during = slice(begin, end)
    attempts = sum(sum(each[during]) for each in series.sends.values()) / sum(series.offered[during])
    shares = [good / max(1e-9, asked) for good, asked in zip(series.good, series.asked, strict=True)]
    baseline = sum(shares[begin - 10 : begin]) / 10
    recovered = next(
        (i for i in range(end, len(shares) - 2) if sum(shares[i : i + 3]) / 3 >= 0.95 * baseline), None
    )
    recovery = f"after {recovered - end} s" if recovered is not None else "NOT"
    return (
        f"; failing: attempts a request {attempts:.3f}, in aim {sum(shares[during]) / (end - begin):.3f}, "
        f"back {recovery}"
    )


def rows(names: list[str], proxies: int, seeds: int) -> Iterator[str]:
    """Yield the row of each run, over all cases and seeds."""
    jobs = [(name, proxies, seed) for name in names for seed in range(100, 100 + seeds)]
    with ProcessPoolExecutor(max_workers=6, max_tasks_per_child=1) as pool:
        yield from pool.map(run_case, jobs)


def main() -> None:
    """Print a row for each run."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("case", nargs="*", default=list(CASES), help=", ".join(CASES))
    parser.add_argument("--proxies", type=int, default=5000)
    parser.add_argument("--seeds", type=int, default=1)
    args = parser.parse_args()
    for row in rows(args.case, args.proxies, args.seeds):
        print(row, flush=True)


if __name__ == "__main__":
    main()
