"""Run the days of the standing test one after another and tabulate how far each is from its gate.

    python benchmarks/standing.py --bench PROGRAM --site FILE [--days join,roll] [--seeds 1,2] [--nodes 60]
        [--within 1200] [--logs FOLDER]

PROGRAM is the users' benchmark of a whole fleet and FILE their site; neither is part of this project. Each
day runs with each seed, one at a time, from the checkout that contains this file. `--within`: seconds of real
time for all runs; those that have not begun by then are listed as left out. A row has the share served, the
share that the gate requires, the distance between them, the score, the prices in points of 100, the seconds
of real time and the peak memory of one proxy. The exit code is 1 if a day broke a rule, crashed or stayed
under its gate, and 2 if PROGRAM or FILE does not exist.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

HERE = Path(__file__).resolve().parents[1]
DAYS = ("calm", "roll", "herd", "zone", "split", "join")
KIND = "mass"
SUMMARY = re.compile(
    r"served (?P<served>[\d.]+) \(gate (?P<gate>[\d.]+)\)\s+"
    r"memory (?P<memory>\d+) of \d+ MB.*score (?P<score>-?[\d.]+)"
)
PRICE = re.compile(r"(\w+) ([\d.]+)")
DAY_TIMEOUT_S = 1500.0  # a day is aborted after 25 minutes


class DayRun(NamedTuple):
    """One day's run with one seed, and what the benchmark printed."""

    day: str
    seed: int
    took_s: float
    text: str  # standard output and standard error

    @property
    def summary(self) -> re.Match[str] | None:
        """The benchmark's closing line; None if the run did not get that far."""
        return SUMMARY.search(self.text)

    @property
    def prices(self) -> str:
        """Prices of at least half a point of 100, the highest first."""
        line = next((line for line in self.text.splitlines() if line.startswith("prices: ")), "")
        found = [(float(points) * 100, name) for name, points in PRICE.findall(line.removeprefix("prices: "))]
        return ", ".join(
            f"{name} {points:.1f}" for points, name in sorted(found, reverse=True) if points >= 0.5
        )

    @property
    def passed(self) -> bool:
        """Whether the run kept the rules and reached its gate."""
        summary = self.summary
        kept = "rules kept, no fault" in self.text
        return kept and summary is not None and float(summary["served"]) >= float(summary["gate"])


def run_day(
    bench: Path, site: Path, day: str, seed: int, nodes: int | None, logs: Path | None, left_s: float
) -> DayRun:
    """Run one day with one seed, for at most `left_s` seconds."""
    command = [str(bench), str(site), "--rough", f"{day}+{KIND}", "--seed", str(seed)]
    command += ["--why", f"A look at {day} with seed {seed} for the table of distances to the gate."]
    if nodes is not None:
        command += ["--nodes", str(nodes)]
    if logs is not None:
        command += ["--logs", str(logs / f"{day}-{seed}")]
    began_s = time.monotonic()
    try:
        done = subprocess.run(command, cwd=HERE, capture_output=True, text=True, timeout=left_s)
        text = done.stdout + done.stderr
    except subprocess.TimeoutExpired:
        text = f"not over after {left_s:.0f} s"
    return DayRun(day, seed, time.monotonic() - began_s, text)


def row(run: DayRun) -> str:
    """The table row of a run; a failed one has the last lines that the benchmark printed."""
    summary = run.summary
    if summary is None or "rules kept, no fault" not in run.text:
        last_lines = [line for line in run.text.splitlines() if line.strip()][-3:]
        return f"| {run.day} | {run.seed} | FAILED: {' / '.join(last_lines)} | | | | | {run.took_s:.0f} | |"
    served, gate = float(summary["served"]), float(summary["gate"])
    cells = [
        run.day,
        run.seed,
        f"{served:.3f}",
        f"{gate:.3f}",
        f"{served - gate:+.3f}",
        summary["score"],
    ]
    return "| " + " | ".join(map(str, [*cells, run.prices, f"{run.took_s:.0f}", summary["memory"]])) + " |"


def main() -> int:
    """Run the days in turn, print a row for each and return the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--site", type=Path, required=True)
    parser.add_argument("--days", default=",".join(DAYS), help="of " + ", ".join(DAYS))
    parser.add_argument("--seeds", default="1")
    parser.add_argument(
        "--nodes", type=int, help="client proxies; a smaller run is a trial and does not count"
    )
    parser.add_argument("--within", type=float, default=1200.0, help="seconds for all runs")
    parser.add_argument(
        "--logs", type=Path, help="folder for the proxies' logs, with a subfolder for each run"
    )
    options = parser.parse_args()
    for path in (options.bench, options.site):
        if not path.exists():
            print(
                f"{path} does not exist: the users' benchmark is not part of this project; nothing was run."
            )
            return 2
    days = options.days.split(",")
    if unknown := [day for day in days if day not in DAYS]:
        parser.error(f"no such day: {', '.join(unknown)}; choose from {', '.join(DAYS)}")
    runs = [(day, int(seed)) for seed in options.seeds.split(",") for day in days]
    until_s, failed, left_out = time.monotonic() + options.within, 0, []
    print("| day | seed | served | wanted | distance | score | prices, points | s | MB |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for day, seed in runs:
        left_s = min(DAY_TIMEOUT_S, until_s - time.monotonic())
        if left_s <= 0:
            left_out.append(f"{day} {seed}")
            continue
        run = run_day(
            options.bench.resolve(), options.site.resolve(), day, seed, options.nodes, options.logs, left_s
        )
        failed += not run.passed
        print(row(run), flush=True)
    if left_out:
        print(f"\nleft out, no time: {', '.join(left_out)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
