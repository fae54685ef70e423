"""Days of the standing test, one after another, as one table: how far each is from its gate.

    python benchmarks/standing.py --bench PROGRAM --site FILE [--days join,roll] [--seeds 1,2] [--nodes 60]
        [--within 1200] [--logs FOLDER]

PROGRAM is the users' bench for the whole fleet, FILE their site; neither is part of this project. Each day is
played with each seed, alone, from the checkout that this file stands in. `--within`: seconds of real time for
all; what was not begun by then is said to be left out. A row: served share, what the gate wants, the distance
between them, score, prices in points of 100, seconds of real time, most memory of one proxy. Exit code 1 if a
day broke a rule, crashed or stayed under its gate, 2 without a bench.
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
CLOSING = re.compile(
    r"served (?P<served>[\d.]+) \(gate (?P<gate>[\d.]+)\)\s+"
    r"memory (?P<memory>\d+) of \d+ MB.*score (?P<score>-?[\d.]+)"
)
PRICE = re.compile(r"(\w+) ([\d.]+)")
LONGEST_S = 1500.0  # one day may take 25 minutes


class Played(NamedTuple):
    day: str
    seed: int
    took_s: float
    text: str  # all that the bench said

    @property
    def closing(self) -> re.Match[str] | None:
        return CLOSING.search(self.text)

    @property
    def prices(self) -> str:
        line = next((line for line in self.text.splitlines() if line.startswith("prices: ")), "")
        found = [(float(points) * 100, name) for name, points in PRICE.findall(line.removeprefix("prices: "))]
        return ", ".join(
            f"{name} {points:.1f}" for points, name in sorted(found, reverse=True) if points >= 0.5
        )

    @property
    def passed(self) -> bool:
        closing = self.closing
        kept = "rules kept, no fault" in self.text
        return kept and closing is not None and float(closing["served"]) >= float(closing["gate"])


def play(
    bench: Path, site: Path, day: str, seed: int, nodes: int | None, logs: Path | None, left_s: float
) -> Played:
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
    return Played(day, seed, time.monotonic() - began_s, text)


def row(played: Played) -> str:
    closing = played.closing
    if closing is None or "rules kept, no fault" not in played.text:
        told = [line for line in played.text.splitlines() if line.strip()][-3:]
        return (
            f"| {played.day} | {played.seed} | FAILED: {' / '.join(told)} | | | | | {played.took_s:.0f} | |"
        )
    served, gate = float(closing["served"]), float(closing["gate"])
    cells = [
        played.day,
        played.seed,
        f"{served:.3f}",
        f"{gate:.3f}",
        f"{served - gate:+.3f}",
        closing["score"],
    ]
    return (
        "| " + " | ".join(map(str, [*cells, played.prices, f"{played.took_s:.0f}", closing["memory"]])) + " |"
    )


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--site", type=Path, required=True)
    parser.add_argument("--days", default=",".join(DAYS), help="of " + ", ".join(DAYS))
    parser.add_argument("--seeds", default="1")
    parser.add_argument(
        "--nodes", type=int, help="client proxies; a smaller day is a look, and does not count"
    )
    parser.add_argument("--within", type=float, default=1200.0, help="seconds for all")
    parser.add_argument("--logs", type=Path, help="for the proxies' logs, a folder for each play")
    told = parser.parse_args()
    for path in (told.bench, told.site):
        if not path.exists():
            print(
                f"{path} is not there: the users' bench is no part of this project, and nothing was played."
            )
            return 2
    days = told.days.split(",")
    if unknown := [day for day in days if day not in DAYS]:
        parser.error(f"no such day: {', '.join(unknown)}; right is of {', '.join(DAYS)}")
    plays = [(day, int(seed)) for seed in told.seeds.split(",") for day in days]
    until_s, failed, left_out = time.monotonic() + told.within, 0, []
    print("| day | seed | served | wanted | distance | score | prices, points | s | MB |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for day, seed in plays:
        left_s = min(LONGEST_S, until_s - time.monotonic())
        if left_s <= 0:
            left_out.append(f"{day} {seed}")
            continue
        played = play(told.bench.resolve(), told.site.resolve(), day, seed, told.nodes, told.logs, left_s)
        failed += not played.passed
        print(row(played), flush=True)
    if left_out:
        print(f"\nleft out, no time: {', '.join(left_out)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
