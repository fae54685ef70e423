"""A long answer of undeclared length, whose host pauses while the request's time runs out, is cut off."""

from __future__ import annotations

import asyncio
import sys
import time
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
    read_head,
    request,
    settings,
    text_of,
)

TIMEOUT_MS = 1200
FIRST, SECOND, REST = 20_000, 10_000, 270_000  # bytes: 300 kB in all
SECOND_AT_S = 1.0  # both parts come within the request's time
PAUSE_S = 2.0 if TROUBLE else 0.0
REQUESTS = 12


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def play(stage: Stage) -> list[str]:
    record = stage.record
    written: dict[str, str] = {}  # by request id: how far its host came
    broken: list[str] = []

    async def answer(host: Host, message: Message, writer: asyncio.StreamWriter) -> None:
        identifier, letter = message.fields["x-request-id"], message.fields["x-request-id"][-1:].encode()
        record(f"{host.name} runs {identifier}")
        began_s = time.monotonic()
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(letter * FIRST))
            await writer.drain()
            await asyncio.sleep(SECOND_AT_S)
            writer.write(chunk(letter * SECOND))
            await writer.drain()
            record(f"{host.name} has written {FIRST + SECOND} bytes for {identifier}, and pauses")
            await asyncio.sleep(PAUSE_S)
            for _ in range(REST // 30_000):
                writer.write(chunk(letter * 30_000))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except ConnectionError:
            after_s = time.monotonic() - began_s
            written[identifier] = f"could not be written on {after_s:.2f} s after its start"
            record(f"{host.name} can't go on with {identifier}: the client proxy has ended the connection")
            raise
        written[identifier] = "was written whole"
        record(f"{host.name} has written the whole answer to {identifier}")

    hosts = [await stage.host(f"s-{i}", i, answer) for i in range(9)]
    servers = [entry(host.name, text_of(host.address)) for host in hosts]
    discovery = await stage.discovery(servers)
    classes = [category("extract-issue", "retryable", 500.0, 1200.0, late_worth=0.5)]
    proxy = await stage.proxy(
        {
            "discovery": text_of(discovery.address),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.listing(),
            "settings": settings(classes),
        }
    )

    async def client(number: int) -> None:
        identifier = f"extract{number:04d}"
        reader, writer = await asyncio.open_connection(*proxy.listen)
        writer.write(request("GET", "extract-issue", identifier, TIMEOUT_MS))
        sent_s = time.monotonic()
        head = await read_head(reader)
        status, got, whole = int(head[0][1]) if head is not None else 0, 0, False
        first_s = time.monotonic() - sent_s
        try:
            while status == 200 and not whole:
                size = int(await reader.readuntil(b"\r\n"), 16)
                got += len(await reader.readexactly(size))
                await reader.readexactly(2)
                whole = size == 0
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            got += len(getattr(error, "partial", b""))
        writer.close()
        ended_s = time.monotonic() - sent_s
        end = "whole" if whole else "cut off"
        what = f"{identifier}: {status} after {first_s:.2f} s, {got} bytes, {end} at {ended_s:.2f} s"
        record(f"client: {what}")
        await asyncio.sleep(PAUSE_S + 0.5)
        if status == 200 and not whole:
            broken.append(f"{what}; its host still gave it, and it {written.get(identifier, 'goes on')}")

    for start in range(0, REQUESTS, 3):
        await asyncio.gather(*(client(number) for number in range(start, start + 3)))
    if proxy.crashed:
        broken.append("the client proxy has ended")
    return broken


main(__file__, play)
