"""A refusal for an open request that may have run: a pipelined one behind it finds no memory."""

from __future__ import annotations

import asyncio
import contextlib
import sys
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
    read_head,
    request,
    settings,
    text_of,
)

COSTLY_S = 3.5  # a costly entry: 29 times the usual 120 ms
DEADLINE_MS = 4000
BULK_CLIENTS = 240  # each with one long request: 61 MB together
BULK_BYTES = 256_000
SECOND_BYTES = 60_000
PIECE_BYTES, PIECE_S = 6400, 0.1  # clients send bodies at 64 kB a second
COSTLY = 5  # of some 250, clients that send commands without waiting for the answers


def entry_register(identifier: str, body: bytes, name: str) -> bytes:
    return request("POST", "entry-register", identifier, DEADLINE_MS, body, name)


async def play(stage: Stage) -> list[str]:
    record = stage.record
    runs: Counter[str] = Counter()  # by entry
    costly_names = {f"costly{number}" for number in range(COSTLY)}

    async def answer(host: Host, message: Message, writer: asyncio.StreamWriter) -> None:
        entry_name = message.first[1].partition("obj=")[2]
        runs[entry_name] += 1
        if entry_name.startswith("costly"):
            record(f"{host.name} runs {entry_name} (id {message.fields['x-request-id']})")
        await asyncio.sleep(COSTLY_S if entry_name in costly_names else 0.1)
        writer.write(ok(b"done"))

    hosts = [await stage.host(f"s-{i}", i, answer) for i in range(10)]
    servers = [entry(host.name, text_of(host.address)) for host in hosts]
    discovery = await stage.discovery(servers)
    classes = [category("entry-register", "fragile", 3800.0, DEADLINE_MS, worth=10.0)]
    proxy = await stage.proxy(
        {
            "discovery": text_of(discovery.address),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
            "known": discovery.listing(),
            "settings": settings(classes),
        }
    )
    broken: list[str] = []
    statuses: Counter[str] = Counter()  # of the long requests

    async def send_slowly(writer: asyncio.StreamWriter, data: bytes) -> None:
        with contextlib.suppress(ConnectionError):
            for start in range(0, len(data), PIECE_BYTES):
                writer.write(data[start : start + PIECE_BYTES])
                await writer.drain()
                await asyncio.sleep(PIECE_S)

    async def bulk_client(number: int) -> None:
        """Send one request with an attachment, and wait for its answer."""
        reader, writer = await asyncio.open_connection(*proxy.listen)
        body = b"x" * BULK_BYTES
        message = entry_register(f"bulk{number:04d}", body, f"bulk{number}")
        sending = asyncio.create_task(send_slowly(writer, message))
        head = await read_head(reader)
        sending.cancel()
        statuses["no answer" if head is None else head[0][1]] += 1
        writer.close()

    async def costly_client(number: int) -> None:
        """Send two commands at once, the second with an attachment; repeat the first where it is refused."""
        name, identifier = f"costly{number}", f"costly{number:04d}"
        reader, writer = await asyncio.open_connection(*proxy.listen)
        writer.write(entry_register(identifier, b"entry", name))
        record(f"client {number} sends {name} as id {identifier}")
        await asyncio.sleep(0.1)
        second = entry_register(f"{identifier}b", b"y" * SECOND_BYTES, f"{name}b")
        sending = asyncio.create_task(send_slowly(writer, second))
        record(f"client {number} sends {name}b as id {identifier}b behind it, without waiting")
        head = await read_head(reader)
        sending.cancel()
        status = int(head[0][1]) if head is not None else 0
        record(f"client {number} gets {status} for {name}, which has run {runs[name]} times by now")
        writer.close()
        if status in (429, 503):
            if runs[name]:
                broken.append(f"{name} was refused ({status}: trying again is harmless) though it had run")
            again = entry_register(f"{identifier}r", b"entry", name)
            reader, writer = await asyncio.open_connection(*proxy.listen)
            writer.write(again)
            record(f"client {number} tries {name} again as id {identifier}r, as the refusal allows")
            await read_head(reader)
            writer.close()
        if runs[name] > 1:
            broken.append(f"{name} ran {runs[name]} times")

    for number in range(20):  # hosts and client proxy get to know each other
        reader, writer = await asyncio.open_connection(*proxy.listen)
        writer.write(entry_register(f"warm{number:04d}", b"e", f"warm{number}"))
        await read_head(reader)
        writer.close()
    bulk = [asyncio.create_task(bulk_client(number)) for number in range(BULK_CLIENTS if TROUBLE else 0)]
    await asyncio.sleep(0.35)
    costly = [asyncio.create_task(costly_client(number)) for number in range(COSTLY)]
    await asyncio.gather(*costly)
    if bulk:
        await asyncio.wait(bulk, timeout=20)
        record(f"answers to the long requests: {dict(statuses)}")
    if proxy.crashed:
        broken.append("the client proxy has ended")
    record(f"requests that hosts ran: {sum(runs.values())}")
    for line in proxy.log().splitlines()[-12:]:
        record(f"log: {line}")
    return broken


main(__file__, play)
