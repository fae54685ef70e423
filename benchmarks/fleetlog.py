"""Counts over a fleet, second by second, from its proxies' logs (written with `PROXY_TALLY=1`).

    python benchmarks/fleetlog.py LOGS [--servers] [--proxies]

LOGS is a folder of log files, one for each proxy. A line a second: requests taken and how they ended,
attempts by outcome, connects, what the proxies hold and believe. `--servers` adds the busiest and the idlest
server of each second, `--proxies` a line for each proxy over the whole time.
"""

from __future__ import annotations

import argparse
import json
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

Line = dict[str, Any]  # what one proxy did in one second
Fleet = dict[str, list[Line]]
MARK = "cloverrouter.tally: "
GAUGES = ("ready", "cold", "paused", "doubted", "silent", "full")  # means over the proxies
SUMS = ("out", "limits", "held", "connections", "cpu_ms")


def read(folder: Path) -> Fleet:
    found: Fleet = {}
    for path in sorted(folder.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()
        found[path.stem] = [json.loads(line.split(MARK, 1)[1]) for line in lines if MARK in line]
    return {name: lines for name, lines in found.items() if lines}


def connects(lines: list[Line]) -> list[int]:
    """Begun in each line's second; the count starts anew with the process."""
    new, before = [], 0
    for line in lines:
        now = line["connects"]
        new.append(now - before if now >= before else now)
        before = now
    return new


def by_prefix(counts: Counter[str], prefix: str) -> int:
    return sum(n for key, n in counts.items() if key.startswith(prefix))


def seconds(fleet: Fleet, servers: bool) -> None:
    start = min(line["at"] for lines in fleet.values() for line in lines)
    rows: dict[int, list[tuple[Line, int]]] = defaultdict(list)
    for lines in fleet.values():
        for line, opened in zip(lines, connects(lines), strict=True):
            rows[int(line["at"] - start)].append((line, opened))
    print(
        "s proxies taken repeat | served refused failed gone | ok_ms tries rej conn t/o err | connects | "
        + " ".join((*GAUGES, *SUMS, "tokens"))
    )
    for second, found in sorted(rows.items()):
        counts: Counter[str] = Counter()
        per: Counter[str] = Counter()
        for line, _ in found:
            counts.update(line["counts"])
            per.update(line["servers"])
        n, ok = len(found), counts["tried.OK"]
        cells = [by_prefix(counts, "taken."), counts["repeat"], "|"]
        cells += [by_prefix(counts, f"{end}.") for end in ("served", "refused", "failed", "gone")]
        cells += ["|", counts["ok_ms"] // max(1, ok), by_prefix(counts, "tried.")]
        cells += [counts[f"tried.{o}"] for o in ("REJECTED", "CONNECT_FAILED", "TIMEOUT", "ERROR")]
        cells += ["|", sum(opened for _, opened in found), "|"]
        cells += [round(sum(line[key] for line, _ in found) / n, 1) for key in GAUGES]
        cells += [round(sum(line[key] for line, _ in found)) for key in SUMS]
        cells += [round(sum(line["tokens"] for line, _ in found) / n)]
        why = {k: v for k, v in sorted(counts.items()) if k.startswith(("refused", "failed"))}
        print(second, n, *cells, why)
        if servers and per:
            ranked = per.most_common()
            print("   busiest", ranked[:4], "idlest", ranked[-3:], "met", len(ranked))


def proxies(fleet: Fleet) -> None:
    for name, lines in sorted(fleet.items(), key=lambda pair: int(pair[0].strip("n") or 0)):
        counts: Counter[str] = Counter()
        for line in lines:
            counts.update(line["counts"])
        ends = [by_prefix(counts, f"{end}.") for end in ("taken", "served", "refused", "failed")]
        print(
            name,
            *ends,
            "tries",
            by_prefix(counts, "tried."),
            "connects",
            sum(connects(lines)),
            "most open",
            max(line["connections"] for line in lines),
            "cpu ms",
            sum(line["cpu_ms"] for line in lines),
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", type=Path)
    parser.add_argument("--servers", action="store_true")
    parser.add_argument("--proxies", action="store_true")
    told = parser.parse_args()
    fleet = read(told.logs)
    if not fleet:
        raise SystemExit(f"{told.logs}: no lines of a tally; start the proxies with PROXY_TALLY=1")
    seconds(fleet, told.servers)
    if told.proxies:
        proxies(fleet)


if __name__ == "__main__":
    main()
