"""Membership in doubt: releases, silence of discovery, machines that vanish.

    python -m benchmarks.membership [releases] [deaths] [cases] [--seeds 4] [--first 9000] [--jobs N] [--out
    F]

releases: worth served through a release by its length, the cold servers' share, discovery's silence and the
number of proxies. deaths: from a server's death to the last attempt sent to it, by the rate of each proxy,
where discovery alone takes about 6 s. cases: the hard cases of the design note, one row each. `--out` keeps
the means as JSON; a second run, of another checkout, takes them with `--before F` and shows the difference.
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
COLD = (0.31, 0.7)
SILENT = (False, True)
PROXIES = (2, 4, 12)
RATES = (0.1, 1.0, 10.0, 75.0)  # of each of four proxies
Told = dict[str, Any]


def base() -> Told:
    told = plain(load("rolling-release"))
    told["fault"], told["seconds"] = [], 30.0
    return told


def release(length_s: float, cold: float, silent: bool, proxies: int) -> Scenario:
    told = base()
    told["safety"], told["proxies"] = {"cold_share": cold}, {"count": proxies}
    told["fault"] = [{"kind": "release", "at_s": 6.0, "within_s": length_s, "gap_s": 1.0}]
    if silent:
        half_s = length_s / 2
        told["fault"].append({"kind": "silence", "at_s": 6.0 + half_s, "for_s": half_s + 2.0})
    return build(told)


def cases() -> Iterable[tuple[str, Scenario]]:
    """The hard cases, by name."""
    at = {"at_s": 6.0}
    every = ["p-*"]
    for name, faults in {
        "machine gone, back after 5 s": [{"kind": "vanish", "for_s": 5.0, "count": 1, **at}],
        "machine gone, discovery silent": [
            {"kind": "vanish", "count": 1, **at},
            {"kind": "silence", "at_s": 5.5, "for_s": 15.0},
        ],
        "process dies, new one after 2 s": [{"kind": "crash", "for_s": 2.0, "count": 2, **at}],
        "one hall cut off for 6 s": [{"kind": "cut", "from": ["mladost"], "to": every, "for_s": 6.0, **at}],
        "new servers at old addresses": [
            {"kind": "release", "within_s": 3.0, "gap_s": 0.5, "takes_address": True, **at}
        ],
        "our own network gone for 2 s": [{"kind": "cut", "from": every, "to": ["s-*"], "for_s": 2.0, **at}],
        "discovery tells an old list": [
            {"kind": "release", "within_s": 3.0, **at},
            {"kind": "stale", "at_s": 7.0, "for_s": 6.0},
        ],
        "discovery contradicts itself": [
            {"kind": "release", "within_s": 6.0, **at},
            {"kind": "contradict", "at_s": 5.0, "for_s": 12.0},
        ],
        "discovery restarts, lower version": [
            {"kind": "release", "within_s": 6.0, **at},
            {"kind": "lower_version", "at_s": 8.0},
        ],
        "calls to discovery break": [
            {"kind": "release", "within_s": 6.0, **at},
            {"kind": "break_calls", "at_s": 5.0, "for_s": 12.0, "share": 0.7},
        ],
    }.items():
        told = base()
        told["fault"] = faults
        yield name, build(told)


def one(job: tuple[Told, int]) -> tuple[float, float, str]:
    """Worth, share of tries refused or failed, and the rule that broke."""
    result = simulate(build(job[0]), job[1])
    figures = result.figures
    return figures.worth, (figures.refused + figures.failed) / max(1, figures.tries), result.broken


def death(job: tuple[str, float, int]) -> tuple[float, float, int]:
    """(s to the last attempt, s to the last that was written, number of attempts) after a server's death."""
    kind, rate, seed = job
    told = base()
    told["office"] = [{"rate": 4 * rate, "retries": 0}]
    told["seconds"], died_s = 40.0, 10.0
    told["fault"] = [{"kind": kind, "at_s": died_s, "count": 1}]
    simulation = Simulation(build(told), seed)
    sent: list[tuple[float, str]] = []
    written: list[tuple[float, str]] = []
    original, noted = SimCarrier.send, simulation.monitors.sent

    def send(self: SimCarrier, host: Any, *more: Any, **named: Any) -> Any:
        sent.append((simulation.engine.now, host[0]))
        return original(self, host, *more, **named)

    def note(now_s: float, proxy: str, number: int, server: str, group: str) -> None:
        written.append((now_s, server))
        noted(now_s, proxy, number, server, group)

    setattr(SimCarrier, "send", send)  # noqa: B010
    setattr(simulation.monitors, "sent", note)  # noqa: B010
    try:
        simulation.run()
    finally:
        setattr(SimCarrier, "send", original)  # noqa: B010
    dead = {name for name, server in simulation.servers.items() if not (server.up and server.reachable)}
    after = [at - died_s for at, name in sent if name in dead and at > died_s]
    lost = [at - died_s for at, name in written if name in dead and at > died_s]
    return max(after, default=0.0), max(lost, default=0.0), len(after)


def worths(
    pool: ProcessPoolExecutor, rows: list[tuple[list[str], Scenario]], seeds: list[int], before: Told
) -> tuple[list[list[str]], Told]:
    jobs = [(plain(scenario), seed) for _, scenario in rows for seed in seeds]
    ends = list(pool.map(one, jobs))
    shown, kept = [], {}
    for i, (words, _) in enumerate(rows):
        found = ends[i * len(seeds) : (i + 1) * len(seeds)]
        mean, key = statistics.mean(worth for worth, _, _ in found), " ".join(words)
        kept[key] = mean
        was = before.get(key)
        broken = sum(bool(rule) for _, _, rule in found)
        shown.append(
            [
                *words,
                "" if was is None else f"{was:.3f}",
                f"{mean:.3f}",
                "" if was is None else f"{mean - was:+.3f}",
                f"{statistics.mean(lost for _, lost, _ in found):.3f}",
                f"{broken} broken" if broken else "",
            ]
        )
    return shown, kept


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    words.add_argument("what", nargs="*", default=["releases", "deaths", "cases"])
    words.add_argument("--seeds", type=int, default=4)
    words.add_argument("--first", type=int, default=9000)
    words.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    words.add_argument("--out")
    words.add_argument("--before")
    given = words.parse_args()
    seeds = list(range(given.first, given.first + given.seeds))
    before = json.loads(Path(given.before).read_text()) if given.before else {}
    kept: Told = {}
    with ProcessPoolExecutor(given.jobs) as pool:
        if "releases" in given.what:
            rows = [
                ([f"{length:g}", f"{cold:g}", "silent" if silent else "", str(proxies)],
                 release(length, cold, silent, proxies))
                for length, cold, silent, proxies in itertools.product(LENGTHS_S, COLD, SILENT, PROXIES)
            ]  # fmt: skip
            shown, more = worths(pool, rows, seeds, before)
            kept |= more
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
            print("\n".join(table(head, shown)))
            gains = [kept[key] - before[key] for key in more if key in before]
            if gains:
                least, most = min(gains), max(gains)
                print(f"mean gain {statistics.mean(gains):+.4f}, least {least:+.4f}, most {most:+.4f}")
        if "cases" in given.what:
            shown, more = worths(pool, [([name], scenario) for name, scenario in cases()], seeds, before)
            kept |= more
            print("\n".join(table(["case", "before", "worth", "gain", "lost", "rules"], shown)))
        if "deaths" in given.what:
            rows_shown = []
            for kind, rate in itertools.product(("vanish", "crash"), RATES):
                ends = list(
                    pool.map(death, [(kind, rate, seed) for seed in range(given.first, given.first + 12)])
                )
                key = f"{kind} {rate:g}"
                last, lost, count = (statistics.mean(column) for column in zip(*ends, strict=True))
                kept[key] = [last, lost, count]
                was = before.get(key, ["", "", ""])
                told = [f"{value:.2f}" if value != "" else "" for value in (*was, last, lost, count)]
                rows_shown.append([kind, f"{rate:g}", *told])
            head = [
                "death",
                "a second",
                *(f"{w} {f}" for w in ("was", "is") for f in ("last s", "written s", "tries")),
            ]
            print("\n".join(table(head, rows_shown)))
    if given.out:
        Path(given.out).write_text(json.dumps(kept, indent=1))


if __name__ == "__main__":
    main()
