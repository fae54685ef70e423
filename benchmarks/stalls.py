"""A real proxy whose process is paused under load: results of its clients, and work done after their timeout.

    python benchmarks/stalls.py [--runs 5] [--against CHECKOUT]
    python benchmarks/stalls.py --fleet [--runs 20] [--rate 290]

Eight servers, a descriptor limit of 256, and an open load of clients with a timeout of 1 s each. Every other
client sends an entry-register, and sends it again under a new request id if no answer came. `--against`:
measures another checkout of this project instead, with the same interpreter. Each row is the total of all its
runs.

`--fleet`: twelve proxies in front of ten servers in simulated time, paused at the same moment, compared with
the same fleet that is never paused, over paired seeds. The figure is the worth served within its aim, as a
share of the worth requested in the 5 s after the pause. `--rate`: requests a second, over all proxies.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from collections import Counter
from math import ceil
from pathlib import Path
from statistics import mean, stdev
from typing import Any

from cloverrouter.lab.scenario import build, load, plain
from cloverrouter.lab.simulation import simulate
from cloverrouter.lab.stops import run_with_pauses

PAUSE_CASES: tuple[tuple[str, list[tuple[float, float]], float], ...] = (
    ("0.05 s", [(0.5, 0.05)], 100),
    ("0.5 s", [(0.5, 0.5)], 100),
    ("1.5 s", [(0.5, 1.5)], 30),
    ("3 s", [(0.5, 3.0)], 30),
    ("3 s", [(0.5, 3.0)], 100),
    ("8 s", [(0.5, 8.0)], 100),
    ("30 s", [(0.5, 30.0)], 30),
    ("10 x 0.4 s", [(0.1, 0.4)] * 10, 100),
    ("a tenth, 10 s", [(0.01, 0.09)] * 100, 30),
)
COLUMNS = (
    "asked", "over", "served", "refused", "failed", "resets", "unanswered", "run late", "unsafe late",
    "twice", "kept back", "server late", "after", "after not served",
)  # fmt: skip


async def measure(runs: int, against: Path | None) -> None:
    """Print a row for each pattern of pauses, from `runs` runs of a real proxy."""
    environ = None if against is None else {"PYTHONPATH": str(against)}
    print("| stop | rate | " + " | ".join(COLUMNS) + " |")
    print("| --- " * (len(COLUMNS) + 2) + "|")
    for name, pauses, rate in PAUSE_CASES:
        totals: Counter[str] = Counter()
        for _ in range(runs):
            result = await run_with_pauses(pauses, rate, environ=environ)
            totals.update({key: round(value) for key, value in result.figures().items()})
        print(f"| {name} | {rate:g} | " + " | ".join(str(totals[key]) for key in COLUMNS) + " |", flush=True)


SHIPPED_SCENARIO = plain(load("stopped-fleet"))
PAUSE_AT_S, OBSERVED_S = 5, 5
RELEASE = {"kind": "release", "at_s": 3, "within_s": 2, "gap_s": 0.5, "part": 0.5}
FLEET_CASES: tuple[tuple[str, list[dict[str, Any]]], ...] = (
    ("all stop for 0.5 s", [{"kind": "stop", "for_s": 0.5}]),
    ("all stop for 2 s", [{"kind": "stop", "for_s": 2}]),
    ("all stop for 8 s", [{"kind": "stop", "for_s": 8}]),
    ("a third stops for 2 s", [{"kind": "stop", "for_s": 2, "part": 1 / 3}]),
    ("all stop for 2 s, half of the servers cold", [{"kind": "stop", "for_s": 2}, RELEASE]),
)  # fmt: skip


def measure_fleet(runs: int, rate: float) -> None:
    """Print a row for each fleet case, from `runs` paired simulations."""
    scenario = {**SHIPPED_SCENARIO, "office": [{**SHIPPED_SCENARIO["office"][0], "rate": rate}]}
    print("| what | worth after the wake | never stopped | difference, 95% | rules broken |")
    print("| --- | --- | --- | --- | --- |")
    for name, faults in FLEET_CASES:
        paused_shares: list[float] = []
        unpaused_shares: list[float] = []
        broken = 0
        for seed in range(runs):
            for case_faults, shares in ((faults, paused_shares), (faults[1:], unpaused_shares)):
                timed_faults = [{"at_s": PAUSE_AT_S, **fault} for fault in case_faults]
                result = simulate(build({**scenario, "fault": timed_faults}), seed)
                broken += bool(result.broken)
                from_s = PAUSE_AT_S + ceil(faults[0]["for_s"])
                good = sum(result.series.good[from_s : from_s + OBSERVED_S])
                shares.append(good / sum(result.series.asked[from_s : from_s + OBSERVED_S]))
        diffs = [paused - unpaused for paused, unpaused in zip(paused_shares, unpaused_shares, strict=True)]
        error = 1.96 * stdev(diffs) / len(diffs) ** 0.5
        cells = f"{mean(paused_shares):.3f} | {mean(unpaused_shares):.3f} | {mean(diffs):+.3f} +- {error:.3f}"
        print(f"| {name} | {cells} | {broken} |", flush=True)


def main() -> None:
    """Run the benchmark that the command line selects."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--against", type=Path)
    parser.add_argument("--fleet", action="store_true")
    parser.add_argument("--rate", type=float, default=290.0)
    args = parser.parse_args()
    if args.fleet:
        measure_fleet(args.runs, args.rate)
    else:
        asyncio.run(measure(args.runs, args.against))


if __name__ == "__main__":
    sys.path.insert(0, os.getcwd())
    main()
