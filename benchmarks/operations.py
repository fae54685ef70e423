"""Effect of upgrades on clients, and memory used for long messages.

    python -m benchmarks.operations [upgrades] [long]

upgrades: ten consecutive upgrades under load; counts the requests by status and those whose connection broke
before an answer (aim: none), and compares response times within about two seconds of an upgrade with those in
between. long: request and response bodies of 64 KiB to 32 MiB, one at a time and sixteen at once with peers
that read slowly; memory above an idle proxy's (aim: no growth with the size), and throughput, with peers and
proxy on one machine.
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


async def respond_after_delay(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Answer a request after 20 ms."""
    await asyncio.sleep(0.02)
    writer.write(ok(b"done"))


async def is_ready(address: str) -> bool:
    """Return whether the health check at this address answers with status 200."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /healthcheck HTTP/1.1\r\n\r\n")
        answer = await reader.read()
        writer.close()
    except OSError:
        return False
    return b" 200 " in answer[:15]


async def measure_upgrades() -> None:
    """Upgrade the proxy repeatedly under load, and print the results of its clients."""
    hosts = [await Host(f"h{i}", respond_after_delay).start() for i in range(6)]
    discovery = await Discovery().start()
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    address = listener.getsockname()
    stop = False
    response_times: list[tuple[float, float]] = []  # start in seconds, response time in milliseconds
    results: dict[str, int] = {}

    async def send_requests() -> None:
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
            results[end] = results.get(end, 0) + 1
            response_times.append((begun, (time.monotonic() - begun) * 1000))
            if closes:
                count = client.count
                client.writer.close()
                client = None
            await asyncio.sleep(0.02)

    upgrades_begun: list[float] = []
    startup_s: list[float] = []
    with tempfile.TemporaryDirectory() as folder, listener:
        environ = {"TMPDIR": folder, "PROXY_INHERITED_FD": str(listener.fileno())}
        more = {"listen": "{}:{}".format(*address)}
        async with running(
            discovery, hosts, environ=environ, more=more, inherit=(listener.fileno(),)
        ) as first:
            tasks = [asyncio.create_task(send_requests()) for _ in range(CLIENTS)]
            await asyncio.sleep(3)
            old: Proxy = first
            try:
                for _ in range(UPGRADES):
                    management = own_address()
                    new = first.successor({**environ, "PROXY_MANAGEMENT": management})
                    begun = time.monotonic()
                    upgrades_begun.append(begun)
                    new.start()
                    while not await is_ready(management):
                        await asyncio.sleep(0.02)
                    startup_s.append(time.monotonic() - begun)
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
    during = [ms for at, ms in response_times if any(-0.1 < at - moment < 2 for moment in upgrades_begun)]
    between = [
        ms for at, ms in response_times if not any(-0.1 < at - moment < 2 for moment in upgrades_begun)
    ]
    rows = []
    for name, times_ms in (("round an upgrade", during), ("between", between)):
        times_ms.sort()
        percentiles = [times_ms[int(len(times_ms) * share)] for share in (0.5, 0.99, 0.999)]
        rows.append([name, str(len(times_ms)), *(f"{ms:.1f}" for ms in percentiles)])
    print(f"{UPGRADES} upgrades, {len(response_times)} requests: {results}")
    print(
        f"a new process says yes after {statistics.median(startup_s):.2f} s, at most {max(startup_s):.2f} s"
    )
    print("\n".join(table(["requests", "number", "50% ms", "99%", "99.9%"], rows)))


def memory_mb(proxy: Proxy, name: str = "VmRSS") -> float:
    """Return a memory figure of /proc/PID/status in MB."""
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    return int(status.partition(f"{name}:")[2].split()[0]) / 1024


async def measure_transfers(size: int, concurrency: int, slow: bool) -> tuple[float, float]:
    """Send bodies of `size` bytes through the proxy in both directions, `concurrency` at a time.

    Returns the peak memory above the idle proxy's in MB, and the throughput in MB per second.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await read_body(reader, size, slow)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                await write_body(writer, size)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host = Host("h")
    host.port = server.sockets[0].getsockname()[1]
    async with running(await Discovery().start(), [host]) as proxy:
        idle_mb = memory_mb(proxy)

        async def send_one(number: int) -> None:
            client = await proxy.client()
            head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: {number}\r\nContent-Length: {size}\r\n\r\n"
            client.writer.write(head.encode())
            await write_body(client.writer, size)
            answer = await client.reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in answer[:15], answer
            await read_body(client.reader, size, slow)
            client.writer.close()

        begun = time.monotonic()
        await asyncio.gather(*(send_one(i) for i in range(concurrency)))
        mb_per_s = 2 * size * concurrency / MB / (time.monotonic() - begun)
        peak_mb = memory_mb(proxy, "VmHWM") - idle_mb
    server.close()
    return peak_mb, mb_per_s


async def write_body(writer: asyncio.StreamWriter, size: int) -> None:
    """Write `size` bytes, a multiple of 64 KiB."""
    chunk = bytes(1 << 16)
    for _ in range(size >> 16):
        writer.write(chunk)
        await writer.drain()


async def read_body(reader: asyncio.StreamReader, size: int, slow: bool) -> None:
    """Read `size` bytes; if `slow`, with a pause of 5 ms after each read."""
    while size:
        size -= len(await reader.read(min(size, 1 << 16)))
        if slow:
            await asyncio.sleep(0.005)


async def measure_long_messages() -> None:
    """Print memory and throughput for each size of message, with fast and with slow peers."""
    rows: list[list[Any]] = []
    for size in (64 << 10, 256 << 10, MB, 8 * MB, 32 * MB):
        for concurrency, slow in ((1, False), (16, True)):
            peak_mb, mb_per_s = await measure_transfers(size, concurrency, slow)
            rows.append(
                [
                    f"{size >> 10} KiB",
                    concurrency,
                    "slow" if slow else "fast",
                    f"{peak_mb:.1f}",
                    f"{mb_per_s:.0f}",
                ]
            )
    head = ["size", "at once", "peers", "memory MB over idle", "MB a second, both ways"]
    print("\n".join(table(head, [[str(cell) for cell in row] for row in rows])))


def main() -> None:
    """Run the benchmarks that the command line names, by default both."""
    benchmarks = {"upgrades": measure_upgrades, "long": measure_long_messages}
    for name in sys.argv[1:] or benchmarks:
        asyncio.run(benchmarks[name]())


if __name__ == "__main__":
    main()
