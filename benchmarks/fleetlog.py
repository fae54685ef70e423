"""Per-second counts of a whole fleet, from its proxies' logs (written with `PROXY_TALLY=1`).

    python benchmarks/fleetlog.py LOGS [--servers] [--proxies]

LOGS is a folder of log files, one for each proxy. Prints a line per second: requests accepted and their
results, attempts by outcome, new connections, and the proxies' gauges (queued requests, open connections,
state of servers). `--servers` adds the busiest and the idlest servers of each second, `--proxies` a line for
each proxy over the whole time.
"""

from __future__ import annotations

import argparse
import json
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

Line = dict[str, Any]  # counts of one proxy in one second
Fleet = dict[str, list[Line]]
MARK = "cloverrouter.tally: "
GAUGES = ("ready", "cold", "paused", "doubted", "silent", "full")  # means over the proxies
SUMS = ("out", "limits", "held", "connections", "cpu_ms")


def read(folder: Path) -> Fleet:
    """Return the tally lines of each log file, by the file's stem; files without any are left out."""
    found: Fleet = {}
    for path in sorted(folder.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()
        found[path.stem] = [json.loads(line.split(MARK, 1)[1]) for line in lines if MARK in line]
    return {name: lines for name, lines in found.items() if lines}


def connects(lines: list[Line]) -> list[int]:
    """Return the connections opened in each line's second; the logged total restarts with the process."""
    opened, previous = [], 0
    for line in lines:
        total = line["connects"]
        opened.append(total - previous if total >= previous else total)
        previous = total
    return opened


def by_prefix(counts: Counter[str], prefix: str) -> int:
    """Return the sum of the counts whose key starts with `prefix`."""
    return sum(n for key, n in counts.items() if key.startswith(prefix))


def print_seconds(fleet: Fleet, servers: bool) -> None:
    """Print a line for each second; with `servers` also the busiest and the idlest servers in it."""
    start = min(line["at"] for lines in fleet.values() for line in lines)
    rows: dict[int, list[tuple[Line, int]]] = defaultdict(list)
    for lines in fleet.values():
        for line, opened in zip(lines, connects(lines), strict=True):
            rows[int(line["at"] - start)].append((line, opened))
    print(
        "s proxies taken repeat | served refused failed gone | ok_ms tries rej conn t/o err | connects | "
        + " ".join((*GAUGES, *SUMS, "tokens"))
    )
    for second, lines_at in sorted(rows.items()):
        counts: Counter[str] = Counter()
        by_server: Counter[str] = Counter()
        for line, _ in lines_at:
            counts.update(line["counts"])
            by_server.update(line["servers"])
        n, ok = len(lines_at), counts["tried.OK"]
        cells = [by_prefix(counts, "taken."), counts["repeat"], "|"]
        cells += [by_prefix(counts, f"{end}.") for end in ("served", "refused", "failed", "gone")]
        cells += ["|", counts["ok_ms"] // max(1, ok), by_prefix(counts, "tried.")]
        cells += [counts[f"tried.{o}"] for o in ("REJECTED", "CONNECT_FAILED", "TIMEOUT", "ERROR")]
        cells += ["|", sum(opened for _, opened in lines_at), "|"]
        cells += [round(sum(line[key] for line, _ in lines_at) / n, 1) for key in GAUGES]
        cells += [round(sum(line[key] for line, _ in lines_at)) for key in SUMS]
        cells += [round(sum(line["tokens"] for line, _ in lines_at) / n)]
        reasons = {k: v for k, v in sorted(counts.items()) if k.startswith(("refused", "failed"))}
        print(second, n, *cells, reasons)
        if servers and by_server:
            ranked = by_server.most_common()
            print("   busiest", ranked[:4], "idlest", ranked[-3:], "met", len(ranked))


def print_proxies(fleet: Fleet) -> None:
    """Print a line for each proxy over the whole time."""
    for name, lines in sorted(fleet.items(), key=lambda pair: int(pair[0].strip("n") or 0)):
        counts: Counter[str] = Counter()
        for line in lines:
            counts.update(line["counts"])
        results = [by_prefix(counts, f"{end}.") for end in ("taken", "served", "refused", "failed")]
        print(
            name,
            *results,
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
    """Print the counts that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", type=Path)
    parser.add_argument("--servers", action="store_true")
    parser.add_argument("--proxies", action="store_true")
    args = parser.parse_args()
    fleet = read(args.logs)
    if not fleet:
        raise SystemExit(f"{args.logs}: no tally lines; start the proxies with PROXY_TALLY=1")
    print_seconds(fleet, args.servers)
    if args.proxies:
        print_proxies(fleet)


if __name__ == "__main__":
    main()
