"""Measure leases: faults that break a rule, how long a task has no holder, and what a lease costs.

    python benchmarks/leases.py --timelines 500 [--first 1000] [--workers 6]
    python benchmarks/leases.py --gaps 30
    python benchmarks/leases.py --cost

`--timelines`: runs timelines of six faults on five real proxies each, with seeds from `--first` on, and
prints the violations and the counts of acts and changes of holder. `--gaps`: the time from a fault to the
next act of another holder, in multiples of the lease grant's duration. `--cost`: ten tasks that all members
claim, in fleets of 5 and of 200 without loss, in simulated time: datagrams a second of a member and of a
voter, and the processor time for them (protocol rules and encoding, without sockets).
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

from cloverrouter.datagrams import DatagramCodec
from cloverrouter.lab.engine import Engine
from cloverrouter.lab.fleet import Fault, Fleet, fleet, timeline
from cloverrouter.leases.claim import Claim, SendRequest
from cloverrouter.leases.voter import SendAnswer, Voter
from cloverrouter.leases.wire import LEASE_FORM, decode_answer, decode_request, encode_message
from cloverrouter.rights import LeaseTerms


def run_timeline(seed: int) -> tuple[int, int, int, int, list[str]]:
    """Seed, acts, changes of holder, refused acts, and what was broken, with the logs if anything was."""
    try:
        found = asyncio.run(timeline(seed))
    except TimeoutError:
        return seed, 0, 0, 0, ["nobody acted in 30 s after the last fault"]
    acts = found.resource.acts
    broken = found.check()
    refused = sum(not noted.accepted for noted in acts)
    return seed, len(acts), found.holder_changes, refused, broken + found.history if broken else []


def timelines(first: int, count: int, workers: int) -> None:
    """Run the timelines in worker processes; print each violation and the totals."""
    totals: Counter[str] = Counter()
    with ProcessPoolExecutor(workers) as pool:
        for seed, acts, changes, refused, broken in pool.map(run_timeline, range(first, first + count)):
            totals.update(runs=1, acts=acts, changes=changes, refused=refused, broken=bool(broken))
            for text in broken:
                print(f"seed {seed}: {text}", flush=True)
    print(", ".join(f"{name} {figure}" for name, figure in totals.items()))


async def gap(running: Fleet, kind: str) -> float:
    """Seconds from the fault to the next act of another holder; the fault is then undone."""
    holder = running.holder
    process, from_s = running.members[holder], time.monotonic()
    holder_links = [link for link in running.links if holder in link]
    match kind:
        case "killed":
            process.signal(signal.SIGKILL)
        case "stopped":
            process.signal(signal.SIGSTOP)
        case "cut off":
            for link in holder_links:
                running.links[link].cut = True
        case "told to end":
            process.signal(signal.SIGTERM)
    other = (await running.acts(not_by=holder))[0]
    for link in holder_links:
        running.links[link].cut = False
    process.signal(signal.SIGCONT)
    if kind in ("killed", "told to end"):
        await process.ended()
        running.start(holder)
        await process.wait_health(200)
    else:
        running.faults.append(Fault("stop", holder, from_s, time.monotonic()))
    return other.begun_s - from_s


async def gaps(count: int) -> None:
    """Print the gaps of `count` faults of each kind, in lease grants."""
    print("| the holder is | median | p99 | most | (promises)")
    print("| --- | --- | --- | --- |")
    for kind in ("killed", "stopped", "cut off", "told to end"):
        async with fleet(5, 1000) as running:
            spans = []
            for _ in range(count):
                await asyncio.sleep(1.5 * running.promise_s)
                spans.append(await gap(running, kind) / running.promise_s)
            spans.sort()
            late = spans[min(len(spans) - 1, int(0.99 * len(spans)))]
            print(f"| {kind} | {median(spans):.2f} | {late:.2f} | {spans[-1]:.2f} |", flush=True)


def cost(size: int, tasks: int = 10, seconds: float = 60.0, voters: int = 5) -> None:
    """Messages take 1 ms; each is encoded, authenticated, decoded and handled as on a socket."""
    engine, terms, random = Engine(), LeaseTerms(), Random(1)  # times in ms
    names = [f"p{i}" for i in range(size)]
    weights = dict.fromkeys(names[:voters], 1)
    secret = b"sixteen bytes at the least"
    others = frozenset(names)
    codecs = {name: DatagramCodec(LEASE_FORM, name, i + 1, others, secret) for i, name in enumerate(names)}
    for codec in codecs.values():
        codec._peer_lives = {name: i + 1 for i, name in enumerate(names)}
    voter_of = {name: Voter(name, terms, -10_000.0, 0) for name in weights}
    claims = {
        (name, f"t{j}"): Claim(name, names.index(name) + 1, f"t{j}", 1, terms, random, weights)
        for name in names
        for j in range(tasks)
    }
    sent: Counter[str] = Counter()
    cpu_s = 0.0
    timer_numbers: dict[tuple[str, str], int] = {}

    def send(source: str, target: str, kind: int, payload: bytes) -> None:
        if source != target:
            sent[source] += 1
        engine.post(1.0, arrive, codecs[source].wrap(target, kind, payload), target)

    def arrive(data: bytes, target: str) -> None:
        nonlocal cpu_s
        begun_s = time.perf_counter()
        datagram = codecs[target]._decode(data)
        if datagram.kind in (3, 4):
            for action in voter_of[target].handle(engine.now, decode_request(datagram)):
                if isinstance(action, SendAnswer):
                    send(target, action.to, *encode_message(action.answer))
        else:
            answer = decode_answer(datagram, target)
            send_requests(target, answer.task, claims[target, answer.task].handle_answer(engine.now, answer))
        cpu_s += time.perf_counter() - begun_s

    def send_requests(member: str, task: str, requests: list[SendRequest]) -> None:
        for request in requests:
            for voter in request.to:
                send(member, voter, *encode_message(request.request))
        number = timer_numbers[member, task] = timer_numbers.get((member, task), 0) + 1

        def tick() -> None:
            if timer_numbers[member, task] == number:
                send_requests(member, task, claims[member, task].tick(engine.now))

        if claims[member, task].due_ms < float("inf"):
            engine.post(max(0.0, claims[member, task].due_ms - engine.now), tick)

    for (member, task), claim in claims.items():
        engine.post(
            random.uniform(0, 3000),
            lambda member=member, task=task, claim=claim: send_requests(
                member, task, claim.contend(engine.now)
            ),
        )
    engine.run(20_000.0)
    before, cpu_before_s = Counter(sent), cpu_s
    engine.run(20_000.0 + 1000 * seconds)
    rates = {name: (sent[name] - before[name]) / seconds for name in names}
    held = Counter(
        member for (member, _), claim in claims.items() if claim.current_token(engine.now) is not None
    )
    member_rates = [rates[name] for name in names if name not in weights]
    used = (cpu_s - cpu_before_s) / seconds / size
    busiest = max(rates[name] for name in weights)
    print(
        f"{size} members, {tasks} tasks that all want, {sum(held.values())} held: datagrams sent a second "
        f"by a member {median(member_rates) if member_rates else 0:.1f}, by the busiest voter {busiest:.1f}; "
        f"processor {used * 100:.2f}% of a core each in the mean"
    )


def main() -> None:
    """Run the measurements that the options select."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--timelines", type=int, default=0)
    parser.add_argument("--first", type=int, default=1000)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--gaps", type=int, default=0)
    parser.add_argument("--cost", action="store_true")
    options = parser.parse_args()
    if options.timelines:
        timelines(options.first, options.timelines, options.workers)
    if options.gaps:
        asyncio.run(gaps(options.gaps))
    if options.cost:
        for size in (5, 200):
            cost(size)
    if not (options.timelines or options.gaps or options.cost):
        parser.print_help(sys.stderr)


if __name__ == "__main__":
    main()
