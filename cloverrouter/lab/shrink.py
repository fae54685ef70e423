"""Reduces a scenario that breaks a rule to a small one that breaks the same rule.

A greedy search as in delta debugging (Zeller and Hildebrandt 2002): candidates are tried from the largest
reduction on, and the first one that still breaks the same rule is the next scenario. The number of runs is
bounded.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from cloverrouter.lab.account import Result
from cloverrouter.lab.scenario import Scenario, build, plain
from cloverrouter.strict import FileError

MAX_RUNS = 150
SEEDS_PER_CANDIDATE = 3  # a candidate may still break the rule, but on another seed


class Shrunk(NamedTuple):
    """The smallest scenario found, its seed and result, and the number of runs of the search."""

    scenario: Scenario
    seed: int
    result: Result
    runs: int


def rule_of(result: Result) -> str:
    """The name of the broken rule, such as `rule 2`, or an empty string."""
    return result.broken.partition(" is")[0]


def smaller_scenarios(data: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield smaller scenarios as plain values, the larger reductions first."""

    def with_change(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
        smaller = copy.deepcopy(data)
        change(smaller)
        return smaller

    data = {"servers": [{}], "office": [{}], **data}  # explicit, because they may be left at their defaults
    faults, seconds = data.get("fault", []), data.get("seconds", 30.0)
    if len(faults) > 1:
        yield with_change(lambda t: t.update(fault=faults[: len(faults) // 2]))
        yield with_change(lambda t: t.update(fault=faults[len(faults) // 2 :]))
    for i in range(len(faults)):
        yield with_change(lambda t, i=i: t["fault"].pop(i))  # type: ignore[misc]
    for part in (0.5, 0.75, 0.9):
        if seconds * part >= 0.5:
            yield with_change(lambda t, part=part: t.update(seconds=round(seconds * part, 2)))  # type: ignore[misc]
    if faults and (earliest := min(fault.get("at_s", 0.0) for fault in faults)) > 0.2:
        moved = [{**fault, "at_s": round(fault.get("at_s", 0.0) - earliest / 2, 3)} for fault in faults]
        yield with_change(lambda t: t.update(fault=moved, seconds=round(max(0.5, seconds - earliest / 2), 3)))
    count = data.get("proxies", {}).get("count", 1)
    for fewer in {count // 2, count - 1} - {0, count}:
        yield with_change(lambda t, fewer=fewer: t["proxies"].update(count=fewer))  # type: ignore[misc]
    for i, kind in enumerate(data.get("servers", [])):
        count = kind.get("count", 9)
        for fewer in {count // 2, count - 1} - {0, count}:
            yield with_change(lambda t, i=i, fewer=fewer: t["servers"][i].update(count=fewer))  # type: ignore[misc]
        if len(kind.get("halls", ())) > 1:
            yield with_change(lambda t, i=i: t["servers"][i].update(halls=t["servers"][i]["halls"][:1]))  # type: ignore[misc]
    for key in ("class", "office", "servers"):
        for i in range(len(data.get(key, []))):
            if len(data[key]) > 1:
                yield with_change(lambda t, key=key, i=i: t[key].pop(i))  # type: ignore[misc]
    for i, office in enumerate(data.get("office", [])):
        if office.get("rate", 100.0) > 2:
            rate = round(office.get("rate", 100.0) / 2, 3)
            yield with_change(lambda t, i=i, rate=rate: t["office"][i].update(rate=rate))  # type: ignore[misc]
        for extra in ("curve", "unequal", "leave_share", "retries", "arrivals"):
            if extra in office:
                yield with_change(lambda t, i=i, extra=extra: t["office"][i].pop(extra))  # type: ignore[misc]
    for table in ("network", "discovery", "safety"):
        if table in data:
            yield with_change(lambda t, table=table: t.pop(table))  # type: ignore[misc]


def shrink(
    scenario: Scenario,
    seed: int,
    simulate: Callable[[Scenario, int], Result],
    max_runs: int = MAX_RUNS,
    progress: Callable[[int], None] = lambda runs: None,
) -> Shrunk:
    """Shrink a scenario. Raises ValueError if it breaks no rule on this seed."""
    result = simulate(scenario, seed)
    broken_rule, runs = rule_of(result), 1
    if not broken_rule:
        raise ValueError(f"{scenario.name} breaks no rule with seed {seed}")
    reduced = True
    while reduced and runs < max_runs:
        reduced = False
        for data in smaller_scenarios(plain(scenario)):
            try:
                candidate = build(data, scenario.name)
            except FileError:
                continue  # a fault may name a server that the candidate no longer has
            for candidate_seed in [seed, *range(seed + 1, seed + SEEDS_PER_CANDIDATE)]:
                runs += 1
                progress(runs)
                candidate_result = simulate(candidate, candidate_seed)
                if rule_of(candidate_result) == broken_rule or runs >= max_runs:
                    break
            if rule_of(candidate_result) == broken_rule:
                scenario, seed, result, reduced = candidate, candidate_seed, candidate_result, True
                break
            if runs >= max_runs:
                break
    return Shrunk(scenario, seed, result, runs)
