"""Ordinary requests with bodies of up to 64 KiB take the client proxy over its memory limit."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common2 import (
    TROUBLE,
    Host,
    Message,
    Stage,
    category,
    entry,
    main,
    ok,
    read_body,
    read_head,
    request,
    settings,
    text_of,
)

MEMORY_MB = 64
CLIENTS = 200
BODY_BYTES = 60_000 if TROUBLE else 200
WORK_S = (0.35, 0.85)  # hosts that are overloaded, and slower by it
PLAYED_S = 60.0


def resident_mb(pid: int) -> float:
    """The resident memory in MiB, as the platform sees it."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        lines = [line for line in file if line.startswith("VmRSS:")]
    if not lines:
        raise ProcessLookupError
    return int(lines[0].split()[1]) / 1024


async def play(stage: Stage) -> list[str]:
    record = stage.record
    broken: list[str] = []
    runs: Counter[str] = Counter()
    statuses: Counter[str] = Counter()
    draw = random.Random(79)

    async def answer(host: Host, message: Message, writer: asyncio.StreamWriter) -> None:
        runs[host.name] += 1
        record(f"{host.name} runs {message.fields['x-request-id']}")
        await asyncio.sleep(draw.uniform(*WORK_S))
        writer.write(ok(b"done"))

    hosts = [await stage.host(f"s-{i}", i, answer) for i in range(12)]
    discovery = await stage.discovery([entry(host.name, text_of(host.address)) for host in hosts])
    classes = [category("entry-register", "fragile", 800.0, 1500.0, worth=10.0)]
    proxy = await stage.proxy(
        {
            "discovery": text_of(discovery.address),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "known": discovery.listing(),
            "settings": settings(classes),
        }
    )

    async def client(number: int) -> None:
        """Send one request after the other on one connection, as long as it stays open."""
        turn, reader, writer = 0, None, None
        body = b"x" * BODY_BYTES
        await asyncio.sleep(number / CLIENTS)
        while True:
            turn, asked = turn + 1, False
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*proxy.listen)
                identifier = f"e{number:04d}-{turn}"
                writer.write(request("POST", "entry-register", identifier, 900, body))
                asked = True
                record(f"client {number} sends {identifier}")
                head = await read_head(reader)
                if head is None:
                    raise ConnectionResetError
                await read_body(reader, head[1])
                statuses[head[0][1]] += 1
                record(f"client {number} gets {head[0][1]} for {identifier}")
                if head[1].get("connection", "").lower() == "close":
                    writer.close()
                    writer = None
            except (OSError, asyncio.IncompleteReadError):
                statuses["no answer"] += asked
                writer = None
                if proxy.crashed:
                    return
            await asyncio.sleep(draw.uniform(0.4, 1.2))

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    began_s = time.monotonic()
    peak = 0.0
    while time.monotonic() - began_s < PLAYED_S:
        await asyncio.sleep(0.1)
        if proxy.crashed:
            broken.append("the client proxy has ended by itself")
            break
        now_mb = resident_mb(proxy.pid)
        if now_mb > peak + 4:
            peak = now_mb
            record(f"resident memory {now_mb:.1f} of {MEMORY_MB} MiB; answers: {dict(statuses)}")
        if now_mb > MEMORY_MB:
            proxy.kill()
            record("the platform kills the client proxy for memory")
            before = statuses["no answer"]
            await asyncio.sleep(0.1)
            broken.append(
                f"the client proxy held {now_mb:.1f} MiB with a limit of {MEMORY_MB} MB, "
                f"{time.monotonic() - began_s:.1f} s after the first request, and was killed; "
                f"{statuses['no answer'] - before} requests got no answer"
            )
            break
    for task in clients:
        task.cancel()
    record(f"answers: {dict(statuses)}; requests that hosts ran: {sum(runs.values())}")
    for line in [line for line in proxy.log().splitlines() if "front_load" in line][-3:]:
        record(f"log: {line}")
    return broken


main(__file__, play)
