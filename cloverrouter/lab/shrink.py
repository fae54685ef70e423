"""A scenario that breaks a rule, cut down to a small one that still does.

Greedy, as delta debugging is (Zeller and Hildebrandt 2002): of all cuts that are left the largest comes
first, and what still breaks the same rule is kept. Bounded by a number of runs.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from cloverrouter.lab.account import Result
from cloverrouter.lab.scenario import Scenario, build, plain
from cloverrouter.strict import FileError

MOST_RUNS = 150
SEEDS = 3  # tried for each cut: another seed may show what this one no longer does


class Shrunk(NamedTuple):
    scenario: Scenario
    seed: int
    result: Result
    runs: int


def rule_of(result: Result) -> str:
    """`rule 2`, or nothing."""
    return result.broken.partition(" is")[0]


def cuts(told: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Smaller scenarios, the larger cuts first."""

    def but(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
        smaller = copy.deepcopy(told)
        change(smaller)
        return smaller

    told = {"servers": [{}], "office": [{}], **told}  # named, though they are at their defaults
    faults, seconds = told.get("fault", []), told.get("seconds", 30.0)
    if len(faults) > 1:
        yield but(lambda t: t.update(fault=faults[: len(faults) // 2]))
        yield but(lambda t: t.update(fault=faults[len(faults) // 2 :]))
    for i in range(len(faults)):
        yield but(lambda t, i=i: t["fault"].pop(i))  # type: ignore[misc]
    for part in (0.5, 0.75, 0.9):
        if seconds * part >= 0.5:
            yield but(lambda t, part=part: t.update(seconds=round(seconds * part, 2)))  # type: ignore[misc]
    if faults and (earliest := min(fault.get("at_s", 0.0) for fault in faults)) > 0.2:
        moved = [{**fault, "at_s": round(fault.get("at_s", 0.0) - earliest / 2, 3)} for fault in faults]
        yield but(lambda t: t.update(fault=moved, seconds=round(max(0.5, seconds - earliest / 2), 3)))
    count = told.get("proxies", {}).get("count", 1)
    for fewer in {count // 2, count - 1} - {0, count}:
        yield but(lambda t, fewer=fewer: t["proxies"].update(count=fewer))  # type: ignore[misc]
    for i, kind in enumerate(told.get("servers", [])):
        count = kind.get("count", 9)
        for fewer in {count // 2, count - 1} - {0, count}:
            yield but(lambda t, i=i, fewer=fewer: t["servers"][i].update(count=fewer))  # type: ignore[misc]
        if len(kind.get("halls", ())) > 1:
            yield but(lambda t, i=i: t["servers"][i].update(halls=t["servers"][i]["halls"][:1]))  # type: ignore[misc]
    for key in ("class", "office", "servers"):
        for i in range(len(told.get(key, []))):
            if len(told[key]) > 1:
                yield but(lambda t, key=key, i=i: t[key].pop(i))  # type: ignore[misc]
    for i, office in enumerate(told.get("office", [])):
        if office.get("rate", 100.0) > 2:
            rate = round(office.get("rate", 100.0) / 2, 3)
            yield but(lambda t, i=i, rate=rate: t["office"][i].update(rate=rate))  # type: ignore[misc]
        for extra in ("curve", "unequal", "leave_share", "retries", "arrivals"):
            if extra in office:
                yield but(lambda t, i=i, extra=extra: t["office"][i].pop(extra))  # type: ignore[misc]
    for table in ("network", "discovery", "safety"):
        if table in told:
            yield but(lambda t, table=table: t.pop(table))  # type: ignore[misc]


def shrink(
    scenario: Scenario,
    seed: int,
    simulate: Callable[[Scenario, int], Result],
    most_runs: int = MOST_RUNS,
    progress: Callable[[int], None] = lambda runs: None,
) -> Shrunk:
    """Raises ValueError if the scenario breaks no rule on this seed."""
    result = simulate(scenario, seed)
    wanted, runs = rule_of(result), 1
    if not wanted:
        raise ValueError(f"{scenario.name} breaks no rule with seed {seed}")
    smaller = True
    while smaller and runs < most_runs:
        smaller = False
        for told in cuts(plain(scenario)):
            try:
                cut = build(told, scenario.name)
            except FileError:
                continue  # a fault may name a server that the cut has taken away
            for number in [seed, *range(seed + 1, seed + SEEDS)]:
                runs += 1
                progress(runs)
                found = simulate(cut, number)
                if rule_of(found) == wanted or runs >= most_runs:
                    break
            if rule_of(found) == wanted:
                scenario, seed, result, smaller = cut, number, found, True
                break
            if runs >= most_runs:
                break
    return Shrunk(scenario, seed, result, runs)
