"""Thousands of proxies with a trickle each, in simulated time: what servers meet, and what clients get.

    python -m benchmarks.fleet [--proxies 5000] [--seeds 1] [CASE ...]

Each case is one run of the lab: the real module and node in each proxy, ten servers. Figures: worth served in
aim; attempts that came to servers over requests asked; connections at the server that had most of them;
the busiest server's requests over the mean; servers that fell over while cold. `quiet` has half of what the
servers can take, `over` one and a half times of it.
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
FAILS_S = (40, 50)
# seconds, rate, how unequal, seconds within which the proxies start, faults
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


class Fleet(Simulation):
    """Counts servers that fall over."""

    fallen = 0

    def _fell(self, server: Server) -> None:
        self.fallen += 1
        super()._fell(server)


def one(told: tuple[str, int, int]) -> str:
    name, proxies, seed = told
    seconds, rate, unequal, spread, faults = CASES[name]
    text = BASE.format(seconds=seconds, proxies=proxies, rate=rate, unequal=unequal, spread=spread) + faults
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "fleet.toml")
        path.write_text(text)
        fleet = Fleet(load(str(path)), seed)
    result = fleet.run()
    figures, sends = result.figures, result.series.sends
    first = [sum(sends.get(f"s-{i + 1}", [])) for i in range(10)]
    busiest = max(first) / max(1e-9, sum(first) / len(first))
    return (
        f"{name:9} seed {seed}: in aim {figures.worth:.3f}, attempts a request "
        f"{figures.attempts_per_request:.3f}, most connections {figures.most_connections}, "
        f"busiest over mean {busiest:.2f}, fell over {fleet.fallen}"
        + (failing(result.series) if name in ("third", "all") else "")
        + (f", RULE BROKEN: {result.broken}" if result.broken else "")
    )


def failing(series: Series) -> str:
    """While servers fail: attempts a request, and worth in aim; then, until that is back where it was."""
    begin, end = FAILS_S
    during = slice(begin, end)
    sends = sum(sum(each[during]) for each in series.sends.values()) / sum(series.offered[during])
    parts = [good / max(1e-9, asked) for good, asked in zip(series.good, series.asked, strict=True)]
    usual = sum(parts[begin - 10 : begin]) / 10
    back = next((i for i in range(end, len(parts) - 2) if sum(parts[i : i + 3]) / 3 >= 0.95 * usual), None)
    again = f"after {back - end} s" if back is not None else "NOT"
    return (
        f"; failing: attempts a request {sends:.3f}, in aim {sum(parts[during]) / (end - begin):.3f}, "
        f"back {again}"
    )


def rows(names: list[str], proxies: int, seeds: int) -> Iterator[str]:
    told = [(name, proxies, seed) for name in names for seed in range(100, 100 + seeds)]
    with ProcessPoolExecutor(max_workers=6, max_tasks_per_child=1) as pool:
        yield from pool.map(one, told)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("case", nargs="*", default=list(CASES), help=", ".join(CASES))
    parser.add_argument("--proxies", type=int, default=5000)
    parser.add_argument("--seeds", type=int, default=1)
    told = parser.parse_args()
    for row in rows(told.case, told.proxies, told.seeds):
        print(row, flush=True)


if __name__ == "__main__":
    main()
