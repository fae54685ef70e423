"""Crowds of clients that make a real process hold as much as they can: it stays under its memory limit.

The limits are the least memory that a deployment has, 32 MB, with 1,024 descriptors.
"""

from __future__ import annotations

import asyncio
import resource
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from cloverrouter.lab.peers import Discovery, Host, Proxy, Seen, answer_ok, ok, running

MEMORY_MB, SOCKETS = 32, 1024
CROWD = 460  # of the 462 connections that clients may have
OWN_DESCRIPTORS = 4096  # of the test's process
STARTS, CROWD_S = 3, 2.0  # of a process, and for how long the crowd comes to each
HOLD_S = 2.5  # for how long the crowd stays; by then each of its clients has been answered or closed
LONG_ANSWER_BYTES, SHORT_ANSWER_BYTES = 8 << 20, 60_000
SERVERS = 24
RECEIVE_BUFFER_BYTES = 4096  # of clients that do not read: the rest of an answer waits at the proxy
Behaviour = Callable[[int], bytes]  # what client number so-and-so sends


def peak_mb(proxy: Proxy) -> float:
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


def head(number: object, length: int, target: str = "/unsafe", framing: str = "") -> bytes:
    fields = f"X-Request-ID: id-{number}\r\nX-Timeout-Ms: 2000\r\n{framing or f'Content-Length: {length}'}"
    return f"POST {target} HTTP/1.1\r\nHost: b\r\n{fields}\r\n".encode()


async def answer_by_target(seen: Seen, writer: asyncio.StreamWriter) -> None:
    if "obj=short" in seen.message.start:
        writer.write(ok(bytes(SHORT_ANSWER_BYTES)))
        return
    if "obj=long" not in seen.message.start:
        await answer_ok(seen, writer)
        return
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER_BYTES)
    for _ in range(LONG_ANSWER_BYTES >> 16):
        writer.write(bytes(1 << 16))
        await writer.drain()


@asynccontextmanager
async def small_proxy() -> AsyncIterator[Proxy]:
    """Run a proxy with the least memory, and with the allocator's setting of the deploy file."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, OWN_DESCRIPTORS)), hard))
    hosts = [await Host(f"h{i}", answer_by_target).start() for i in range(SERVERS)]
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    environ = {"MALLOC_MMAP_THRESHOLD_": "65536"}
    async with running(await Discovery().start(), hosts, more={"limits": limits}, environ=environ) as proxy:
        yield proxy


async def peak_with_crowd(behaviours: dict[str, Behaviour]) -> dict[str, float]:
    """Run one crowd after the other against a process of its own each; return the peaks by crowd."""
    peaks = {}
    for name, behaviour in behaviours.items():
        async with small_proxy() as proxy:
            writers = await asyncio.gather(*(connect_and_send(proxy, behaviour(i)) for i in range(CROWD)))
            await asyncio.sleep(HOLD_S)
            assert proxy.up, name
            peaks[name] = peak_mb(proxy)
            for writer in writers:
                if writer is not None:
                    writer.transport.abort()
            await proxy.wait_health(200)
            client = await proxy.client()
            assert (await client.ask("/unsafe")).status == 200, name
    return peaks


async def connect_and_send(proxy: Proxy, data: bytes) -> asyncio.StreamWriter | None:
    """Connect, send `data` as far as it is taken, and do not read; None if the proxy refuses."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    with suppress(OSError):
        await asyncio.get_running_loop().sock_connect(sock, proxy.endpoint)
        _, writer = await asyncio.open_connection(sock=sock)
        transport = writer.transport
        assert isinstance(transport, asyncio.ReadTransport)
        transport.pause_reading()
        writer.write(data)
        return writer
    return None


def over_limit(peaks: dict[str, float]) -> dict[str, float]:
    return {name: round(peak, 1) for name, peak in peaks.items() if peak >= MEMORY_MB}


# Guards against: heads of very many short fields take a multiple of their bytes, by hundreds of clients.
def test_crowd_that_sends_heads_of_many_short_fields_stays_within_the_memory() -> None:
    fields = b"".join(b"%x:\r\n" % i for i in range(0x100, 0x100 + 2500))
    line = b"x-long: " + b"y" * 15_000
    crowds: dict[str, Behaviour] = {
        "fields": lambda i: head(i, 0) + fields,
        "one long field": lambda i: head(i, 0) + line,
    }
    assert not over_limit(asyncio.run(peak_with_crowd(crowds)))


# Guards against: hundreds of clients that stop within a large request, or send many, use up the memory.
def test_crowd_that_stops_within_requests_or_sends_many_stays_within_the_memory() -> None:
    chunk = b"ea60\r\n" + bytes(60_000) + b"\r\n"
    crowds: dict[str, Behaviour] = {
        "half of 400 kB": lambda i: head(i, 400_000) + b"\r\n" + bytes(200_000),
        "half of 200 kB": lambda i: head(i, 200_000) + b"\r\n" + bytes(150_000),
        "most of 64 kB": lambda i: head(i, 65_000) + b"\r\n" + bytes(64_000),
        "chunks": lambda i: head(i, 0, framing="Transfer-Encoding: chunked") + b"\r\n" + chunk,
        "twelve of 60 kB": lambda i: b"".join(
            head(f"{i}-{k}", 60_000) + b"\r\n" + bytes(60_000) for k in range(12)
        ),
        "900 small ones": lambda i: b"".join(head(f"{i}-{k}", 0) + b"\r\n" for k in range(900)),
    }
    assert not over_limit(asyncio.run(peak_with_crowd(crowds)))


# Guards against: hundreds of clients that do not read their long answers use up the memory.
def test_crowd_that_does_not_read_its_answers_stays_within_the_memory() -> None:
    crowds: dict[str, Behaviour] = {
        "long answers": lambda i: head(i, 0, target="/unsafe?obj=long") + b"\r\n",
        "many short answers": lambda i: b"".join(
            head(f"{i}-{k}", 0, target="/unsafe?obj=short") + b"\r\n" for k in range(200)
        ),
    }
    assert not over_limit(asyncio.run(peak_with_crowd(crowds)))


# Guards against: a log that tells the memory of the process that started this one (getrusage(2) keeps it).
def test_log_tells_the_peak_of_this_process_at_its_end() -> None:
    async def scene() -> None:
        ballast = bytes(100 << 20)
        async with small_proxy() as proxy:
            assert (await (await proxy.client()).ask("/unsafe")).status == 200
            peak = peak_mb(proxy)
            proxy.process.terminate()
            assert await proxy.ended() == 0
            logged = float(proxy.log().partition("peak_rss_mb=")[2].split()[0])
            assert abs(logged - peak) < 2.0
        assert ballast

    asyncio.run(scene())


# Guards against: a process that ends, or passes its limit, when it starts in a crowd that reconnects at once.
def test_each_start_in_a_series_of_kills_serves_a_crowd_within_the_memory() -> None:
    fields = b"".join(b"%x:\r\n" % i for i in range(0x100, 0x100 + 2500))
    kinds: tuple[Behaviour, ...] = (
        lambda i: head(i, 0) + fields,
        lambda i: head(i, 400_000) + b"\r\n" + bytes(200_000),
        lambda i: head(i, 0, target="/unsafe?obj=long") + b"\r\n",
        lambda i: b"".join(head(f"{i}-{k}", 20_000) + b"\r\n" + bytes(20_000) for k in range(6)),
    )

    async def crowd(proxy: Proxy, start: int, until_s: float) -> None:
        """Keep the crowd connected: each client that is closed, or can't connect, comes again."""

        async def client(number: int) -> None:
            while time.monotonic() < until_s:
                name = f"{start}-{number}-{time.monotonic_ns()}"
                data = kinds[number % len(kinds)](0).replace(b"id-0", b"id-" + name.encode())
                writer = await connect_and_send(proxy, data)
                if writer is not None:
                    await asyncio.sleep(max(0.0, min(1.0, until_s - time.monotonic())))
                    writer.transport.abort()
                await asyncio.sleep(0.05)

        await asyncio.gather(*(client(number) for number in range(CROWD)))

    async def scene() -> None:
        async with small_proxy() as proxy:
            for start in range(STARTS):
                if start:
                    proxy.process.kill()
                    assert await proxy.ended() == -signal.SIGKILL
                    proxy.start()
                crowd_task = asyncio.ensure_future(crowd(proxy, start, time.monotonic() + CROWD_S))
                await proxy.wait_health(200)
                await crowd_task
                assert proxy.up
                assert peak_mb(proxy) < MEMORY_MB

    asyncio.run(scene())
