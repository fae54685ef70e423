"""Clients that disconnect while their requests wait: how many of these are still sent to a server, and when.

    python benchmarks/leavers.py [--clients 10]

Runs proxies on loopback for each combination of where the request waits and how its client leaves, with
servers that have capacity again only 0.1 s later, and with servers that have it at once. Each row reports:
clients that left; requests sent to a server later than 0.1 s after that; the time until the last one was
sent, with capacity at once; and, where a server can see it, the time until the proxy abandoned the attempt.
`stays` is a control: requests of clients that do not leave must be sent. The exit code is 1 if any other
request was sent late.
"""

from __future__ import annotations

import argparse
import asyncio
import socket
import struct
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from cloverrouter.lab.peers import SETTINGS, Discovery, Host, Proxy, Seen, ok, running
from cloverrouter.proxy.sockets import has_unread_data

LATE_S = 0.1
LONG_DEADLINE_SETTINGS = {
    "categories": [{**c, "aim_ms": 8000, "deadline_ms": 9000} for c in SETTINGS["categories"]],
    "bounds": {"max_attempts": 3, "connect_timeout_ms": 2000.0, "conn_idle_ms": 60_000.0},
}


class Row(NamedTuple):
    """Result for one place of waiting and one way to leave."""

    where: str
    how: str
    left: int
    late: int
    worst_s: float | None
    noticed_s: float | None


def fin(client: socket.socket) -> None:
    """Close the connection normally (FIN)."""
    client.close()


def rst(client: socket.socket) -> None:
    """Reset the connection (RST)."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def half_close(client: socket.socket) -> None:
    """Close only the sending side."""
    client.shutdown(socket.SHUT_WR)


def stays(client: socket.socket) -> None:
    """Leave the connection open and keep waiting."""


def request(name: str, target: str, length: int = 0) -> bytes:
    """Return the head of a POST request with `name` as its request id."""
    key = f"Idempotency-Key: k{name}\r\n" if target == "/keyed" else ""
    head = f"POST {target} HTTP/1.1\r\nX-Request-ID: {name}\r\n{key}X-Timeout-Ms: 8500\r\n"
    return f"{head}Content-Length: {length}\r\n\r\n".encode()


async def send_request(proxy: Proxy, data: bytes) -> socket.socket:
    """Send `data` over a new connection to the proxy, and return the connection."""
    client = socket.create_connection(proxy.endpoint)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_sendall(client, data)
    return client


async def measure_retries(leave: Callable[[socket.socket], None], count: int) -> Row:
    """The server resets each request once, and its client leaves while the request waits for its retry."""
    attempts_s: dict[str, list[float]] = {}

    async def respond(seen: Seen, writer: Any) -> None:
        name = seen.message.headers["x-request-id"]
        attempts_s.setdefault(name, []).append(time.monotonic())
        if name.startswith("c") and len(attempts_s[name]) == 1:
            writer.transport.abort()
        else:
            writer.write(ok())

    host, late = await Host("h0", respond).start(), 0
    worst_s: float | None = None
    async with running(await Discovery().start(), [host], settings=LONG_DEADLINE_SETTINGS) as proxy:
        for i in range(count):
            healthy_client = await proxy.client()  # otherwise the proxy pauses a server that only resets
            assert (await healthy_client.ask("/unsafe")).status == 200
            client = await send_request(proxy, request(f"c{i}", "/keyed"))
            name = f"c{i}"
            await host.wait(lambda name=name: name in attempts_s)  # type: ignore[misc]
            left_s = time.monotonic()
            leave(client)
            await asyncio.sleep(0.7)  # the first retry delay is 0.1 to 0.3 s
            late += len(attempts_s[name]) > 1 if leave is stays else attempts_s[name][-1] > left_s + 0.02
            if len(attempts_s[name]) > 1:
                worst_s = max(worst_s or 0.0, attempts_s[name][-1] - left_s)
            client.close()
    return Row("a retry", leave.__name__, count, late, worst_s, None)


async def measure_case(where: str, leave: Callable[[socket.socket], None], count: int) -> Row:
    """Run a case twice: with servers that have capacity only after `LATE_S`, and with capacity at once."""
    delayed, immediate = [await run_case(where, leave, count, delay_s) for delay_s in (LATE_S, 0.0)]
    return delayed._replace(late=delayed.late + immediate.late, worst_s=immediate.worst_s)


async def run_case(
    where: str, leave: Callable[[socket.socket], None], count: int, capacity_delay_s: float
) -> Row:
    """Run one case, with server capacity for the waiting requests `capacity_delay_s` after clients left."""
    seen_s: dict[str, float] = {}
    abandoned_s: dict[int, float] = {}

    async def respond(seen: Seen, writer: Any) -> None:
        seen_s.setdefault(seen.message.headers["x-request-id"], time.monotonic())

    host = await Host("h0", respond).start()
    discovery = await Discovery().start()
    fillers: list[socket.socket] = []
    if where == "a connection":
        listener = host.server.sockets[0]
        asyncio.get_running_loop().remove_reader(listener.fileno())
        backlog = socket.socket(fileno=socket.dup(listener.fileno()))
        backlog.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", host.port))
            fillers.append(filler)
    memory_mb = 10 if where == "the module, held back" else 192  # with 10 MB no body is buffered
    more = {"limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 24 + 4 * count + 40}}
    async with running(discovery, [host], settings=LONG_DEADLINE_SETTINGS, more=more) as proxy:
        if where not in ("a connection", "nothing"):  # saturate the server: others wait in the module
            blockers = [await send_request(proxy, request(f"b{i}", "/unsafe")) for i in range(12)]
            await host.wait(lambda: len(host.seen) >= 1)
            await asyncio.sleep(0.1)
        else:
            blockers = []
        if where == "the module, at the proxy's limit":
            blockers += [socket.create_connection(proxy.endpoint) for _ in range(count * 2)]
        target = "/unsafe"
        clients = []
        for i in range(count):
            data = request(f"c{i}", target)
            if where == "another on its connection":
                data = request(f"f{i}", target) + data
            if where == "the module, held back":
                data = request(f"c{i}", target, 100_000) + b"x" * 100_000
            clients.append(await send_request(proxy, data))
        if where == "nothing":
            await host.wait(lambda: len(host.seen) >= 1)
            await asyncio.sleep(0.03)
        else:
            await asyncio.sleep(0.2)
        before = set(seen_s)
        open_before = set(host.open)
        left_s, left = time.monotonic(), 0
        for client in clients:
            if not has_unread_data(client):  # still waiting: neither answered nor closed
                left += 1
                leave(client)
        if where == "nothing":  # already at the server: measure when it sees the attempts abandoned
            async with asyncio.timeout(10):
                while open_before & set(host.open):
                    await asyncio.sleep(0.002)
            abandoned_s[0] = time.monotonic() - left_s
        if capacity_delay_s:
            await asyncio.sleep(capacity_delay_s)
        for filler in fillers:
            filler.close()
        if where == "a connection":
            backlog.listen(100)
            asyncio.get_running_loop().add_reader(listener.fileno(), lambda: None)
            asyncio.get_running_loop().remove_reader(listener.fileno())
            backlog.setblocking(False)
            until_s = time.monotonic() + 2.0
            while time.monotonic() < until_s:
                with suppress(BlockingIOError):
                    sock, _ = backlog.accept()
                    sock.settimeout(0.05)
                    with suppress(OSError):
                        received = sock.recv(4096)
                        if b"X-Request-ID: c" in received:
                            name = received.split(b"X-Request-ID: ")[1].split(b"\r\n")[0].decode()
                            seen_s[name] = time.monotonic()
                await asyncio.sleep(0.005)
        else:
            for _ in range(30):  # answer repeatedly, to free capacity for the next ones
                for writer in list(host.open.values()):
                    writer.write(ok())
                await asyncio.sleep(0.05)
        delays_s = [
            at_s - left_s for name, at_s in seen_s.items() if name.startswith("c") and name not in before
        ]
        late = sum(at_s > LATE_S for at_s in delays_s)
        for sock in (*blockers, *clients):
            sock.close()
    return Row(where, leave.__name__, left, late, max(delays_s, default=None), abandoned_s.get(0))


LEAVE_METHODS = (fin, rst, half_close, stays)
WAITING_PLACES = (
    "the module",
    "another on its connection",
    "the module, held back",
    "the module, at the proxy's limit",
    "a connection",
    "a retry",
    "nothing",
)


async def measure(count: int) -> list[Row]:
    """Return a row for each place of waiting and way to leave, with `count` clients each."""
    cells = (
        (where, leave)
        for where in WAITING_PLACES
        for leave in LEAVE_METHODS
        if leave is not stays or where != "nothing"
    )
    return [
        await (measure_retries(leave, count) if where == "a retry" else measure_case(where, leave, count))
        for where, leave in cells
    ]


def main() -> int:
    """Print the rows; return 1 if a request was sent late for a client that had left."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--clients", type=int, default=10)
    rows = asyncio.run(measure(parser.parse_args().clients))
    print("| waits for | leaves by | left | sent later than 0.1 s | last sent after | noticed after |")
    print("| --- | --- | --- | --- | --- | --- |")
    for row in rows:
        worst, noticed = (
            "" if at_s is None else f"{at_s * 1000:.0f} ms" for at_s in (row.worst_s, row.noticed_s)
        )
        print(f"| {row.where} | {row.how} | {row.left} | {row.late} | {worst} | {noticed} |")
    return 1 if any(row.late for row in rows if row.how != "stays") else 0


if __name__ == "__main__":
    sys.exit(main())
