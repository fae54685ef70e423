"""Uncertain membership: releases, an unresponsive discovery, servers and machines that fail.

    python -m benchmarks.membership [releases] [deaths] [cases] [--seeds 4] [--first 9000] [--jobs N] [--out
    F]

releases: worth served during a release, by its length, the initial capacity share of cold servers, whether
discovery is unresponsive, and the number of proxies. deaths: time from a server's failure to the last attempt
sent to it, by the request rate of each proxy; discovery alone takes about 6 s to report it. cases: the hard
cases of the design note, one row each. `--out` writes the means as JSON; a second run, of another checkout,
reads them with `--before F` and shows the difference.
"""

from __future__ import annotations

import argparse
import itertools
import json
import os
import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from cloverrouter.lab.scenario import Scenario, build, load, plain
from cloverrouter.lab.simcarrier import SimCarrier
from cloverrouter.lab.simulation import Simulation, simulate
from cloverrouter.lab.text import table

LENGTHS_S = (0.1, 3.0, 9.0)
COLD_SHARES = (0.31, 0.7)
UNRESPONSIVE = (False, True)
PROXY_COUNTS = (2, 4, 12)
RATES = (0.1, 1.0, 10.0, 75.0)  # requests per second of each of four proxies
JsonObject = dict[str, Any]


def base() -> JsonObject:
    """Return the shipped rolling-release scenario for 30 s, without its faults."""
    spec = plain(load("rolling-release"))
    spec["fault"], spec["seconds"] = [], 30.0
    return spec


def release(length_s: float, cold_share: float, unresponsive: bool, proxies: int) -> Scenario:
    """Return a scenario with a release that takes `length_s`.

    If `unresponsive`, discovery doesn't answer from the middle of the release until 2 s after its end.
    """
    spec = base()
    spec["safety"], spec["proxies"] = {"cold_share": cold_share}, {"count": proxies}
    spec["fault"] = [{"kind": "release", "at_s": 6.0, "within_s": length_s, "gap_s": 1.0}]
    if unresponsive:
        half_s = length_s / 2
        spec["fault"].append({"kind": "silence", "at_s": 6.0 + half_s, "for_s": half_s + 2.0})
    return build(spec)


def cases() -> Iterable[tuple[str, Scenario]]:
    """Yield the hard cases with their names."""
    start = {"at_s": 6.0}
    all_proxies = ["p-*"]
    for name, faults in {
        "machine gone, back after 5 s": [{"kind": "vanish", "for_s": 5.0, "count": 1, **start}],
        "machine gone, discovery silent": [
            {"kind": "vanish", "count": 1, **start},
            {"kind": "silence", "at_s": 5.5, "for_s": 15.0},
        ],
        "process dies, new one after 2 s": [{"kind": "crash", "for_s": 2.0, "count": 2, **start}],
        "one hall cut off for 6 s": [
            {"kind": "cut", "from": ["mladost"], "to": all_proxies, "for_s": 6.0, **start}
        ],
        "new servers at old addresses": [
            {"kind": "release", "within_s": 3.0, "gap_s": 0.5, "takes_address": True, **start}
        ],
        "our own network gone for 2 s": [
            {"kind": "cut", "from": all_proxies, "to": ["s-*"], "for_s": 2.0, **start}
        ],
        "discovery tells an old list": [
            {"kind": "release", "within_s": 3.0, **start},
            {"kind": "stale", "at_s": 7.0, "for_s": 6.0},
        ],
        "discovery contradicts itself": [
            {"kind": "release", "within_s": 6.0, **start},
            {"kind": "contradict", "at_s": 5.0, "for_s": 12.0},
        ],
        "discovery restarts, lower version": [
            {"kind": "release", "within_s": 6.0, **start},
            {"kind": "lower_version", "at_s": 8.0},
        ],
        "calls to discovery break": [
            {"kind": "release", "within_s": 6.0, **start},
            {"kind": "break_calls", "at_s": 5.0, "for_s": 12.0, "share": 0.7},
        ],
    }.items():
        spec = base()
        spec["fault"] = faults
        yield name, build(spec)


def run_job(job: tuple[JsonObject, int]) -> tuple[float, float, str]:
    """Return the worth, the share of tries refused or failed, and the rule that was violated."""
    result = simulate(build(job[0]), job[1])
    figures = result.figures
    return figures.worth, (figures.refused + figures.failed) / max(1, figures.tries), result.broken


def measure_death(job: tuple[str, float, int]) -> tuple[float, float, int]:
    """Return the attempts to a server after its failure, for (kind of fault, rate of each proxy, seed).

    The result: seconds until the last attempt, seconds until the last one written, number of attempts.
    """
    kind, rate, seed = job
    spec = base()
    spec["office"] = [{"rate": 4 * rate, "retries": 0}]
    spec["seconds"], died_s = 40.0, 10.0
    spec["fault"] = [{"kind": kind, "at_s": died_s, "count": 1}]
    simulation = Simulation(build(spec), seed)
    sent: list[tuple[float, str]] = []
    written: list[tuple[float, str]] = []
    original_send, original_sent = SimCarrier.send, simulation.monitors.sent

    def send(self: SimCarrier, host: Any, *more: Any, **named: Any) -> Any:
        sent.append((simulation.engine.now, host[0]))
        return original_send(self, host, *more, **named)

    def record_sent(now_s: float, proxy: str, number: int, server: str, group: str) -> None:
        written.append((now_s, server))
        original_sent(now_s, proxy, number, server, group)

    setattr(SimCarrier, "send", send)  # noqa: B010
    setattr(simulation.monitors, "sent", record_sent)  # noqa: B010
    try:
        simulation.run()
    finally:
        setattr(SimCarrier, "send", original_send)  # noqa: B010
    dead = {name for name, server in simulation.servers.items() if not (server.up and server.reachable)}
    after = [at - died_s for at, name in sent if name in dead and at > died_s]
    written_after = [at - died_s for at, name in written if name in dead and at > died_s]
    return max(after, default=0.0), max(written_after, default=0.0), len(after)


def measure_worth(
    pool: ProcessPoolExecutor, rows: list[tuple[list[str], Scenario]], seeds: list[int], before: JsonObject
) -> tuple[list[list[str]], JsonObject]:
    """Run each scenario with each seed; return the table rows, and the mean worth by row label."""
    jobs = [(plain(scenario), seed) for _, scenario in rows for seed in seeds]
    outcomes = list(pool.map(run_job, jobs))
    table_rows, means = [], {}
    for i, (labels, _) in enumerate(rows):
        found = outcomes[i * len(seeds) : (i + 1) * len(seeds)]
        mean, key = statistics.mean(worth for worth, _, _ in found), " ".join(labels)
        means[key] = mean
        previous = before.get(key)
        broken = sum(bool(rule) for _, _, rule in found)
        table_rows.append(
            [
                *labels,
                "" if previous is None else f"{previous:.3f}",
                f"{mean:.3f}",
                "" if previous is None else f"{mean - previous:+.3f}",
                f"{statistics.mean(lost for _, lost, _ in found):.3f}",
                f"{broken} broken" if broken else "",
            ]
        )
    return table_rows, means


def main() -> None:
    """Print the tables that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", nargs="*", default=["releases", "deaths", "cases"])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--first", type=int, default=9000)
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--out")
    parser.add_argument("--before")
    args = parser.parse_args()
    seeds = list(range(args.first, args.first + args.seeds))
    before = json.loads(Path(args.before).read_text()) if args.before else {}
    results: JsonObject = {}
    with ProcessPoolExecutor(args.jobs) as pool:
        if "releases" in args.what:
            rows = [
                ([f"{length:g}", f"{cold:g}", "silent" if unresponsive else "", str(proxies)],
                 release(length, cold, unresponsive, proxies))
                for length, cold, unresponsive, proxies in itertools.product(
                    LENGTHS_S, COLD_SHARES, UNRESPONSIVE, PROXY_COUNTS)
            ]  # fmt: skip
            table_rows, means = measure_worth(pool, rows, seeds, before)
            results |= means
            head = [
                "within s",
                "cold share",
                "discovery",
                "proxies",
                "before",
                "worth",
                "gain",
                "lost",
                "rules",
            ]
            print("\n".join(table(head, table_rows)))
            gains = [results[key] - before[key] for key in means if key in before]
            if gains:
                least, most = min(gains), max(gains)
                print(f"mean gain {statistics.mean(gains):+.4f}, least {least:+.4f}, most {most:+.4f}")
        if "cases" in args.what:
            table_rows, means = measure_worth(
                pool, [([name], scenario) for name, scenario in cases()], seeds, before
            )
            results |= means
            print("\n".join(table(["case", "before", "worth", "gain", "lost", "rules"], table_rows)))
        if "deaths" in args.what:
            death_rows = []
            for kind, rate in itertools.product(("vanish", "crash"), RATES):
                outcomes = list(
                    pool.map(
                        measure_death, [(kind, rate, seed) for seed in range(args.first, args.first + 12)]
                    )
                )
                key = f"{kind} {rate:g}"
                last, lost, count = (statistics.mean(column) for column in zip(*outcomes, strict=True))
                results[key] = [last, lost, count]
                previous = before.get(key, ["", "", ""])
                cells = [f"{value:.2f}" if value != "" else "" for value in (*previous, last, lost, count)]
                death_rows.append([kind, f"{rate:g}", *cells])
            head = [
                "death",
                "a second",
                *(f"{w} {f}" for w in ("was", "is") for f in ("last s", "written s", "tries")),
            ]
            print("\n".join(table(head, death_rows)))
    if args.out:
        Path(args.out).write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
