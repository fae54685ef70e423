"""One peer that sends at full speed: other clients are served meanwhile, and memory does not grow."""

from __future__ import annotations

import asyncio
import threading
import time
from contextlib import suppress

from cloverrouter.lab.peers import Discovery, Host, Proxy, Seen, answer_ok, running
from cloverrouter.proxy.request_parser import RequestParser
from cloverrouter.proxy.wake import Loop
from tests.faults.test_memory_limit import peak_mb
from tests.test_wake import run_scene
from tests.test_waking_front import connect, request, start_frontend

FLOOD_S = 2.0
PIECE_BYTES = 64 * 1024
MAX_OVERHEAD_BYTES = 3 * PIECE_BYTES  # of what is read of something without end before it is an error
MAX_GROWTH_MB = 4.0
MAX_ANSWERS_PER_STEP = 8  # to one connection, between two looks of the event loop at the others
HEALTH_CHECK = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED_HEAD = b"POST /unsafe HTTP/1.1\r\nX-Request-ID: r0\r\nTransfer-Encoding: chunked\r\n\r\n"
# What can be sent without end where no byte of a body comes any more.
ENDLESS = {
    "trailer value": b"1\r\nx\r\n0\r\nX-Trailer: ",
    "trailer name": b"1\r\nx\r\n0\r\n",
    "chunk extension": b"1;a=",
}


class NoReceiver:
    def head_received(self) -> None:
        pass

    def request_received(self) -> None:
        pass


def status_of_endless(beginning: bytes) -> int:
    """Return the error status of a request with a part without end, or 0 if it gets none."""
    parser = RequestParser()
    parser.feed(memoryview(CHUNKED_HEAD + beginning), NoReceiver())
    sent_bytes = 0
    while not parser.error_status and sent_bytes <= MAX_OVERHEAD_BYTES:
        parser.feed(memoryview(b"y" * PIECE_BYTES), NoReceiver())
        sent_bytes += PIECE_BYTES
    return parser.error_status


# Guards against: a part of a message that has no limit, and keeps or costs more with each byte.
def test_part_without_end_behind_a_body_makes_a_request_invalid() -> None:
    statuses = {name: status_of_endless(beginning) for name, beginning in ENDLESS.items()}
    assert not [name for name, status in statuses.items() if status not in (400, 431)], statuses


# Guards against: a server's answer without end that takes ever more memory and time.
def test_part_without_end_in_an_answer_takes_no_memory() -> None:
    async def endless(seen: Seen, writer: asyncio.StreamWriter) -> None:
        if "obj=endless" not in seen.message.start:
            await answer_ok(seen, writer)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Trailer: ")
        until_s = time.monotonic() + FLOOD_S
        while time.monotonic() < until_s and not writer.is_closing():
            writer.write(b"y" * PIECE_BYTES)
            await writer.drain()

    async def scene() -> None:
        hosts = [await Host(f"h{i}", endless).start() for i in range(4)]
        async with running(await Discovery().start(), hosts) as proxy:
            client = await proxy.client()
            assert (await client.ask("/unsafe")).status == 200
            before_mb = peak_mb(proxy)
            floods = [await proxy.client() for _ in hosts]
            for flood in floods:
                flood.send("/unsafe?obj=endless")
            for _ in range(10):
                assert (await client.ask("/unsafe")).status in (200, 503)
                await asyncio.sleep(0.1)
            assert peak_mb(proxy) - before_mb < MAX_GROWTH_MB

    asyncio.run(scene())


async def most_answers_in_a_step(loop: Loop, data: bytes, count: int) -> int:
    """Send `data`, which holds `count` requests, at once; return the most answers in one step of the loop."""
    _, handler, address = await start_frontend(loop, 8)
    handler.call_received = lambda call: call.refused(0.0)  # type: ignore[method-assign]
    client = connect(address, data)
    client.setblocking(False)
    answered = most = 0
    while answered < count:
        await asyncio.sleep(0)
        received = b""
        with suppress(BlockingIOError):
            received = client.recv(1 << 20)
        new = received.count(b"HTTP/1.1 ")
        most, answered = max(most, new), answered + new
    client.close()
    await asyncio.sleep(0.05)
    return most


# Guards against: one connection whose requests are answered at once keeps the event loop from all others.
def test_answers_at_once_to_one_connection_leave_the_event_loop_to_others() -> None:
    async def scene(loop: Loop) -> None:
        count = 400
        refused = b"".join(request(f"r{i}") for i in range(count))
        assert await most_answers_in_a_step(loop, HEALTH_CHECK * count, count) <= MAX_ANSWERS_PER_STEP
        assert await most_answers_in_a_step(loop, refused, count) <= MAX_ANSWERS_PER_STEP

    run_scene(scene)


async def median_s(proxy: Proxy, until_s: float) -> float:
    """Return the median time of a new connection's request until `until_s`."""
    times = []
    while time.monotonic() < until_s:
        started_s = time.monotonic()
        client = await proxy.client()
        assert (await client.ask("/unsafe")).status in (200, 503)
        client.writer.close()
        times.append(time.monotonic() - started_s)
    return sorted(times)[len(times) // 2]


def flood(endpoint: tuple[str, int], data: bytes, until_s: float) -> None:
    """Send `data` again and again on one connection, and read the answers."""
    client = connect(endpoint)

    def read() -> None:
        with suppress(OSError):
            while client.recv(1 << 20):
                pass

    threading.Thread(target=read, daemon=True).start()
    with suppress(OSError):
        while time.monotonic() < until_s:
            client.sendall(data)
    client.close()


# Guards against: other clients' answers come late while one client floods its connection.
def test_other_clients_are_served_while_one_connection_floods() -> None:
    async def scene() -> None:
        host = await Host("h0").start()
        async with running(await Discovery().start(), [host]) as proxy:
            until_s = time.monotonic() + FLOOD_S
            asyncio.get_running_loop().run_in_executor(
                None, flood, proxy.endpoint, HEALTH_CHECK * 1000, until_s
            )
            assert await median_s(proxy, until_s) < 0.5
            assert proxy.up

    asyncio.run(scene())
