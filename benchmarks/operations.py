"""What upgrades cost clients, and what long messages cost memory.

    python -m benchmarks.operations [upgrades] [long]

upgrades: ten under load, one after the other; requests refused, failed or turned back, and the times of
answers in the two seconds round each, against the time between (aim: none turned back). long: bodies and
answers of 64 KiB to 32 MiB, one at a time and sixteen at once with peers that read slowly; memory on top of
an idle proxy's (aim: no growth with the size), and throughput, peers and proxy on one machine.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from cloverrouter.lab.peers import Client, Discovery, Host, Proxy, Seen, ok, running
from cloverrouter.lab.process import own_address
from cloverrouter.lab.text import table

UPGRADES = 10
CLIENTS = 24
MB = 1 << 20


async def working(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.02)
    writer.write(ok(b"done"))


async def ready(place: str) -> bool:
    host, _, port = place.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /healthcheck HTTP/1.1\r\n\r\n")
        answer = await reader.read()
        writer.close()
    except OSError:
        return False
    return b" 200 " in answer[:15]


async def upgrades() -> None:
    hosts = [await Host(f"h{i}", working).start() for i in range(6)]
    discovery = await Discovery().start()
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    address = listener.getsockname()
    stop = False
    took: list[tuple[float, float]] = []  # when, and for how long
    ends: dict[str, int] = {}

    async def ask() -> None:
        client: Client | None = None
        count = 0
        while not stop:
            if client is None:
                client = Client(*await asyncio.open_connection(*address))
                client.count = count
            begun = time.monotonic()
            try:
                answer = await client.ask("/unsafe" if client.count % 2 else "/keyed")
                end = str(answer.status)
                closes = answer.headers.get("connection") == "close"
            except (OSError, asyncio.IncompleteReadError):
                end, closes = "turned back unheard", True
            ends[end] = ends.get(end, 0) + 1
            took.append((begun, (time.monotonic() - begun) * 1000))
            if closes:
                count = client.count
                client.writer.close()
                client = None
            await asyncio.sleep(0.02)

    moments: list[float] = []
    starts: list[float] = []
    with tempfile.TemporaryDirectory() as folder, listener:
        environ = {"TMPDIR": folder, "PROXY_INHERITED_FD": str(listener.fileno())}
        more = {"listen": "{}:{}".format(*address)}
        async with running(
            discovery, hosts, environ=environ, more=more, inherit=(listener.fileno(),)
        ) as first:
            tasks = [asyncio.create_task(ask()) for _ in range(CLIENTS)]
            await asyncio.sleep(3)
            old: Proxy = first
            try:
                for _ in range(UPGRADES):
                    place = own_address()
                    new = first.successor({**environ, "PROXY_MANAGEMENT": place})
                    begun = time.monotonic()
                    moments.append(begun)
                    new.start()
                    while not await ready(place):
                        await asyncio.sleep(0.02)
                    starts.append(time.monotonic() - begun)
                    old.process.send_signal(signal.SIGTERM)
                    await old.ended()
                    if old is not first:
                        old.close()
                    old = new
                    await asyncio.sleep(3)
                stop = True
                await asyncio.gather(*tasks)
            finally:
                old.close()
    near = [ms for at, ms in took if any(-0.1 < at - moment < 2 for moment in moments)]
    apart = [ms for at, ms in took if not any(-0.1 < at - moment < 2 for moment in moments)]
    rows = []
    for name, some in (("round an upgrade", near), ("between", apart)):
        some.sort()
        picked = [some[int(len(some) * share)] for share in (0.5, 0.99, 0.999)]
        rows.append([name, str(len(some)), *(f"{ms:.1f}" for ms in picked)])
    print(f"{UPGRADES} upgrades, {len(took)} requests: {ends}")
    print(f"a new process says yes after {statistics.median(starts):.2f} s, at most {max(starts):.2f} s")
    print("\n".join(table(["requests", "number", "50% ms", "99%", "99.9%"], rows)))


def memory_mb(proxy: Proxy, name: str = "VmRSS") -> float:
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    return int(status.partition(f"{name}:")[2].split()[0]) / 1024


async def through(size: int, together: int, slow: bool) -> tuple[float, float]:
    """Bodies of `size` up and answers of `size` down; MB of memory at the peak over idle, and MB a second."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await take(reader, size, slow)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                await give(writer, size)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host = Host("h")
    host.port = server.sockets[0].getsockname()[1]
    async with running(await Discovery().start(), [host]) as proxy:
        before = memory_mb(proxy)

        async def one(number: int) -> None:
            client = await proxy.client()
            head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: {number}\r\nContent-Length: {size}\r\n\r\n"
            client.writer.write(head.encode())
            await give(client.writer, size)
            answer = await client.reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in answer[:15], answer
            await take(client.reader, size, slow)
            client.writer.close()

        begun = time.monotonic()
        await asyncio.gather(*(one(i) for i in range(together)))
        rate = 2 * size * together / MB / (time.monotonic() - begun)
        peak = memory_mb(proxy, "VmHWM") - before
    server.close()
    return peak, rate


async def give(writer: asyncio.StreamWriter, size: int) -> None:
    piece = bytes(1 << 16)
    for _ in range(size >> 16):
        writer.write(piece)
        await writer.drain()


async def take(reader: asyncio.StreamReader, size: int, slow: bool) -> None:
    while size:
        size -= len(await reader.read(min(size, 1 << 16)))
        if slow:
            await asyncio.sleep(0.005)


async def long() -> None:
    rows: list[list[Any]] = []
    for size in (64 << 10, 256 << 10, MB, 8 * MB, 32 * MB):
        for together, slow in ((1, False), (16, True)):
            peak, rate = await through(size, together, slow)
            rows.append(
                [f"{size >> 10} KiB", together, "slow" if slow else "fast", f"{peak:.1f}", f"{rate:.0f}"]
            )
    head = ["size", "at once", "peers", "memory MB over idle", "MB a second, both ways"]
    print("\n".join(table(head, [[str(cell) for cell in row] for row in rows])))


def main() -> None:
    words = {"upgrades": upgrades, "long": long}
    for name in sys.argv[1:] or words:
        asyncio.run(words[name]())


if __name__ == "__main__":
    main()
