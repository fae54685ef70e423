"""Leases: processes under faults, how long a task lies, what it costs.

    python benchmarks/leases.py --timelines 500 [--first 1000] [--workers 6]
    python benchmarks/leases.py --gaps 30
    python benchmarks/leases.py --cost

`--timelines`: five real proxies each, six faults, from these seeds on; what was broken, and how many acts and
changes of holder there were. `--gaps`: from a fault to the next act of another, in multiples of the promise.
`--cost`: ten tasks that all want, in a fleet of 5 and of 200 without loss, in simulated time: datagrams a
second of a member and of a voter, and the processor time for them (rules and wire, no socket).
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import median

from cloverrouter.datagrams import Courier
from cloverrouter.lab.engine import Engine
from cloverrouter.lab.fleet import Fault, Fleet, fleet, timeline
from cloverrouter.leases.claim import Claim, Say
from cloverrouter.leases.voter import Tell, Voter
from cloverrouter.leases.wire import FLEET, answer_of, request_of, written
from cloverrouter.rights import Terms


def one(seed: int) -> tuple[int, int, int, int, list[str]]:
    try:
        found = asyncio.run(timeline(seed))
    except TimeoutError:
        return seed, 0, 0, 0, ["nobody acted in 30 s after the last fault"]
    acts = found.resource.acts
    broken = found.check()
    refused = sum(not noted.accepted for noted in acts)
    return seed, len(acts), found.changes, refused, broken + found.history if broken else []


def timelines(first: int, count: int, workers: int) -> None:
    totals: Counter[str] = Counter()
    with ProcessPoolExecutor(workers) as pool:
        for seed, acts, changes, refused, broken in pool.map(one, range(first, first + count)):
            totals.update(runs=1, acts=acts, changes=changes, refused=refused, broken=bool(broken))
            for text in broken:
                print(f"seed {seed}: {text}", flush=True)
    print(", ".join(f"{name} {figure}" for name, figure in totals.items()))


async def gap(found: Fleet, kind: str) -> float:
    """Seconds from the fault to the next act of another."""
    old = found.holder
    process, from_s = found.members[old], time.monotonic()
    ways = [way for way in found.links if old in way]
    match kind:
        case "killed":
            process.signal(signal.SIGKILL)
        case "stopped":
            process.signal(signal.SIGSTOP)
        case "cut off":
            for way in ways:
                found.links[way].cut = True
        case "told to end":
            process.signal(signal.SIGTERM)
    other = (await found.acts(not_by=old))[0]
    for way in ways:
        found.links[way].cut = False
    process.signal(signal.SIGCONT)
    if kind in ("killed", "told to end"):
        await process.ended()
        found.start(old)
        await process.wait_health(200)
    else:
        found.faults.append(Fault("stop", old, from_s, time.monotonic()))
    return other.begun_s - from_s


async def gaps(count: int) -> None:
    print("| the holder is | median | p99 | most | (promises)")
    print("| --- | --- | --- | --- |")
    for kind in ("killed", "stopped", "cut off", "told to end"):
        async with fleet(5, 1000) as found:
            spans = []
            for _ in range(count):
                await asyncio.sleep(1.5 * found.promise_s)
                spans.append(await gap(found, kind) / found.promise_s)
            spans.sort()
            late = spans[min(len(spans) - 1, int(0.99 * len(spans)))]
            print(f"| {kind} | {median(spans):.2f} | {late:.2f} | {spans[-1]:.2f} |", flush=True)


def cost(size: int, tasks: int = 10, seconds: float = 60.0, voters: int = 5) -> None:
    """Messages cross in 1 ms; each is written, authenticated, read and handled as on a socket."""
    engine, terms, random = Engine(), Terms(), Random(1)  # in ms here
    names = [f"p{i}" for i in range(size)]
    weights = dict.fromkeys(names[:voters], 1)
    secret = b"sixteen bytes at the least"
    others = frozenset(names)
    couriers = {name: Courier(FLEET, name, i + 1, others, secret) for i, name in enumerate(names)}
    for courier in couriers.values():
        courier._lives = {name: i + 1 for i, name in enumerate(names)}
    votes = {name: Voter(name, terms, -10_000.0, 0) for name in weights}
    claims = {
        (name, f"t{j}"): Claim(name, names.index(name) + 1, f"t{j}", 1, terms, random, weights)
        for name in names
        for j in range(tasks)
    }
    sent: Counter[str] = Counter()
    cpu_s = 0.0
    due: dict[tuple[str, str], int] = {}

    def send(source: str, target: str, kind: int, payload: bytes) -> None:
        if source != target:
            sent[source] += 1
        engine.post(1.0, arrive, couriers[source].wrap(target, kind, payload), target)

    def arrive(data: bytes, target: str) -> None:
        nonlocal cpu_s
        begun_s = time.perf_counter()
        told = couriers[target]._decode(data)
        if told.kind in (3, 4):
            for out in votes[target].handle(engine.now, request_of(told)):
                if isinstance(out, Tell):
                    send(target, out.to, *written(out.answer))
        else:
            answer = answer_of(told, target)
            carry(target, answer.task, claims[target, answer.task].heard(engine.now, answer))
        cpu_s += time.perf_counter() - begun_s

    def carry(box: str, task: str, said: list[Say]) -> None:
        for one in said:
            for voter in one.to:
                send(box, voter, *written(one.request))
        number = due[box, task] = due.get((box, task), 0) + 1

        def tick() -> None:
            if due[box, task] == number:
                carry(box, task, claims[box, task].tick(engine.now))

        if claims[box, task].due_ms < float("inf"):
            engine.post(max(0.0, claims[box, task].due_ms - engine.now), tick)

    for (box, task), claim in claims.items():
        engine.post(
            random.uniform(0, 3000),
            lambda box=box, task=task, claim=claim: carry(box, task, claim.want(engine.now)),
        )
    engine.run(20_000.0)
    before, cpu_before_s = Counter(sent), cpu_s
    engine.run(20_000.0 + 1000 * seconds)
    rates = {name: (sent[name] - before[name]) / seconds for name in names}
    held = Counter(box for (box, _), claim in claims.items() if claim.may_act(engine.now) is not None)
    plain = [rates[name] for name in names if name not in weights]
    used = (cpu_s - cpu_before_s) / seconds / size
    busiest = max(rates[name] for name in weights)
    print(
        f"{size} members, {tasks} tasks that all want, {sum(held.values())} held: datagrams sent a second "
        f"by a member {median(plain) if plain else 0:.1f}, by the busiest voter {busiest:.1f}; "
        f"processor {used * 100:.2f}% of a core each in the mean"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--timelines", type=int, default=0)
    parser.add_argument("--first", type=int, default=1000)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--gaps", type=int, default=0)
    parser.add_argument("--cost", action="store_true")
    told = parser.parse_args()
    if told.timelines:
        timelines(told.first, told.timelines, told.workers)
    if told.gaps:
        asyncio.run(gaps(told.gaps))
    if told.cost:
        for size in (5, 200):
            cost(size)
    if not (told.timelines or told.gaps or told.cost):
        parser.print_help(sys.stderr)


if __name__ == "__main__":
    main()
