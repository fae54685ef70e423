"""A host of a large fleet is taken out by hand after some releases of the others: the call is denied."""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common2 import (
    TROUBLE,
    CannotRun,
    Host,
    Json,
    Message,
    Stage,
    ask,
    category,
    entry,
    main,
    ok,
    request,
    settings,
    text_of,
)

HOSTS = 3200
DESCRIPTORS = HOSTS + 700  # of this script, which stands in for all hosts
RELEASES = 4 if TROUBLE else 0  # each replaces six in ten hosts within 7 s
RELEASE_S, STEP_S = 7.0, 0.1
RATE = 40.0  # requests a second
CALLS = 40  # hosts that the operator takes out
GRACE_S = 1.0 + 0.05  # of drains, on sockets
LATEST_YES_S = 1.0  # after a call, whatever its answer
WATCHED_S = 12.0


async def play(stage: Stage) -> list[str]:
    record = stage.record
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < DESCRIPTORS:
        raise CannotRun(f"no descriptors for {HOSTS} hosts")
    if soft != resource.RLIM_INFINITY and soft < DESCRIPTORS:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    names: dict[int, str] = {}  # by place: the id of the host that is there
    last_send_s: dict[str, float] = {}
    binding_s: dict[str, float] = {}  # by id: from when nothing more may be sent there
    broken: list[str] = []
    sends: Counter[str] = Counter()

    async def answer(host: Host, message: Message, writer: asyncio.StreamWriter) -> None:
        name, now_s = names[places[host.name]], time.monotonic()
        last_send_s[name] = now_s
        if now_s > binding_s.get(name, float("inf")):
            sends[name] += 1
            late_s = now_s - binding_s[name]
            record(f"host {name} gets {message.fields['x-request-id']} {late_s:.2f} s after the grace")
        await asyncio.sleep(0.1)
        writer.write(ok(b"done"))

    hosts = [await stage.host(f"place-{i}", i, answer) for i in range(HOSTS)]
    places = {host.name: i for i, host in enumerate(hosts)}
    names.update({i: f"s-{i:05d}" for i in range(HOSTS)})
    discovery = await stage.discovery([entry(names[i], text_of(hosts[i].address)) for i in range(HOSTS)])
    classes = [
        category("extract-issue", "retryable", 500.0, 1200.0, late_worth=0.5),
        category("entry-register", "fragile", 800.0, 1500.0, late_worth=0.5, worth=10.0),
    ]
    proxy = await stage.proxy(
        {
            "discovery": text_of(discovery.address),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.listing(),
            "settings": settings(classes, balancers=200, ordinal=17),
        }
    )
    statuses: Counter[tuple[str, int]] = Counter()
    draw = random.Random(79)

    async def one_request(number: int) -> None:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            if number % 5 < 2:
                message = request("POST", "entry-register", f"entry{number:06d}", 1500, b"entry")
            else:
                message = request("GET", "extract-issue", f"extract{number:06d}", 1200)
            status, _ = await ask(proxy.listen, message)
            statuses["entry" if number % 5 < 2 else "extract", status] += 1

    async def traffic() -> None:
        number, tasks = 0, set[asyncio.Task[None]]()
        while True:
            number += 1
            task = asyncio.create_task(one_request(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(draw.expovariate(RATE))

    async def release(number: int) -> None:
        """Replace the hosts at three of five places; the others stay as they are."""
        moved = [i for i in range(HOSTS) if i % 5 < 3]
        per_step = -(-len(moved) // round(RELEASE_S / STEP_S))
        began_s = time.monotonic()
        for step, start in enumerate(range(0, len(moved), per_step)):
            changes: list[Json] = []
            for i in moved[start : start + per_step]:
                address = text_of(hosts[i].address)
                changes.append(entry(names[i], address, "left"))
                names[i] = f"s-{i:05d}-{number}"
                changes.append(entry(names[i], address, "active", int(time.time() * 1000)))
            await discovery.change(changes)
            await asyncio.sleep(max(0.0, began_s + (step + 1) * STEP_S - time.monotonic()))
        took_s = time.monotonic() - began_s
        record(f"release {number}: {len(moved)} of {HOSTS} hosts replaced in {took_s:.1f} s")

    running = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    for number in range(1, RELEASES + 1):
        await release(number)
    await asyncio.sleep(8)
    record(f"answers so far: {dict(statuses)}")
    now_s = time.monotonic()
    in_use = sorted(i for i, name in names.items() if i % 5 >= 3 and now_s - last_send_s.get(name, 0.0) < 6)
    answers: Counter[int] = Counter()
    for i in in_use[:CALLS]:
        called_s = time.monotonic()
        call = f"PUT /hosts/{names[i]}/maint HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        status, text = await ask(proxy.management, call.encode())
        answered_s = time.monotonic()
        answers[status] += 1
        told_s = answered_s if status // 100 == 2 else called_s + LATEST_YES_S
        binding_s[names[i]] = min(told_s, called_s + LATEST_YES_S) + GRACE_S
        record(f"operator: host {names[i]} out: {status} {text.decode().strip()}")
    if not answers:
        raise CannotRun("no host that stayed was in use")
    await asyncio.sleep(WATCHED_S)
    running.cancel()
    record(f"answers to the operator: {dict(answers)}; to clients: {dict(statuses)}")
    for name, count in sends.items():
        broken.append(f"host {name} was taken out, and got {count} requests after the grace")
    if proxy.crashed:
        broken.append("the client proxy has ended")
    return broken


main(__file__, play)
