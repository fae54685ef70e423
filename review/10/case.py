"""While memory is short, a request whose host pauses within a short answer gets no end in its time."""

from __future__ import annotations

import asyncio
import contextlib
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

TIMEOUT_MS, LATE_S = 1200, 0.5  # a final answer is lost from half a second after the request's time on
LENGTH, FIRST = 60_000, 40_000  # bytes of an answer: under 64 KiB, so due as a whole
PAUSE_S = 4.0  # of a slow host, within its answer
SLOW_REQUESTS = 60
BULK_CLIENTS = 360 if TROUBLE else 0  # each sends one body after the other
BULK_BYTES = 60_000
PIECE_BYTES, PIECE_S = 6400, 0.1  # clients send bodies at 64 kB a second


async def play(stage: Stage) -> list[str]:
    record = stage.record
    broken: list[str] = []
    statuses: Counter[str] = Counter()

    async def answer(host: Host, message: Message, writer: asyncio.StreamWriter) -> None:
        identifier = message.fields["x-request-id"]
        if not identifier.startswith("slow"):
            await asyncio.sleep(0.05)
            writer.write(ok(b"done"))
            return
        record(f"{host.name} runs {identifier}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LENGTH + b"x" * FIRST)
        await writer.drain()
        record(f"{host.name} has written {FIRST} of {LENGTH} bytes of the answer to {identifier}, and pauses")
        await asyncio.sleep(PAUSE_S)
        writer.write(b"x" * (LENGTH - FIRST))
        await writer.drain()

    hosts = [await stage.host(f"s-{i}", i, answer) for i in range(10)]
    discovery = await stage.discovery([entry(host.name, text_of(host.address)) for host in hosts])
    classes = [
        category("extract-issue", "retryable", 900.0, float(TIMEOUT_MS), late_worth=0.5),
        category("entry-register", "fragile", 1500.0, 1500.0, worth=10.0),
    ]
    proxy = await stage.proxy(
        {
            "discovery": text_of(discovery.address),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
            "known": discovery.listing(),
            "settings": settings(classes),
        }
    )

    async def send_slowly(writer: asyncio.StreamWriter, data: bytes) -> None:
        with contextlib.suppress(ConnectionError):
            for start in range(0, len(data), PIECE_BYTES):
                writer.write(data[start : start + PIECE_BYTES])
                await writer.drain()
                await asyncio.sleep(PIECE_S)

    async def bulk_client(number: int) -> None:
        turn = 0
        await asyncio.sleep(number / BULK_CLIENTS)  # not all at the same moment
        while True:
            turn += 1
            message = request("POST", "entry-register", f"bulk{number:04d}-{turn}", 1500, b"x" * BULK_BYTES)
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*proxy.listen)
                sending = asyncio.create_task(send_slowly(writer, message))
                head = await read_head(reader)
                sending.cancel()
                statuses["no answer" if head is None else head[0][1]] += 1
                writer.close()
            await asyncio.sleep(0.05)

    async def slow_request(number: int) -> None:
        identifier = f"slow{number:04d}"
        reader, writer = await asyncio.open_connection(*proxy.listen)
        writer.write(request("GET", "extract-issue", identifier, TIMEOUT_MS))
        sent_s = time.monotonic()
        got = "no byte of an answer"

        async def whole_answer() -> str:
            nonlocal got
            head = await read_head(reader)
            if head is None:
                return "ended without an answer"
            got = f"the head of a {head[0][1]}, and no end"
            try:
                return f"{head[0][1]} with {len(await read_body(reader, head[1]))} bytes"
            except (asyncio.IncompleteReadError, ConnectionError):
                return f"{head[0][1]}, cut off"

        reading = asyncio.create_task(whole_answer())
        await asyncio.wait([reading], timeout=TIMEOUT_MS / 1000 + LATE_S)
        if not reading.done():
            what = f"{identifier}: {got} {LATE_S} s after its time of {TIMEOUT_MS} ms"
            record(f"client: {what}")
            broken.append(what)
        await asyncio.wait([reading], timeout=12)
        ended = reading.result() if reading.done() else "nothing"
        record(f"client: {identifier}: {ended} after {time.monotonic() - sent_s:.2f} s")
        writer.close()

    bulk = [asyncio.create_task(bulk_client(number)) for number in range(BULK_CLIENTS)]
    await asyncio.sleep(2)
    slow = []
    for number in range(SLOW_REQUESTS):
        slow.append(asyncio.create_task(slow_request(number)))
        await asyncio.sleep(0.08)
    await asyncio.gather(*slow)
    for task in bulk:
        task.cancel()
    record(f"answers to the requests with bodies: {dict(statuses)}")
    for line in [line for line in proxy.log().splitlines() if "front_load" in line][:4]:
        record(f"log: {line}")
    if proxy.crashed:
        broken.append("the client proxy has ended")
    return broken


main(__file__, play)
