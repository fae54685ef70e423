"""Clients that leave while their requests wait: how many are sent on all the same, and how late.

    python benchmarks/leavers.py [--clients 10]

One proxy on loopback for each cell, by where the request waits and how its client leaves. A row: left, sent
on later than 0.1 s after that, with room for all of them only then; how long after it the last one was sent
on where there is room at once; and where a server shows it, how long until the proxy gave the attempt up.
`stays` is the check of the measurement: clients that do not leave are to be sent on. Exit code 1 if any other
was.
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
LONG = {
    "categories": [{**c, "aim_ms": 8000, "deadline_ms": 9000} for c in SETTINGS["categories"]],
    "bounds": {"max_attempts": 3, "connect_timeout_ms": 2000.0, "conn_idle_ms": 60_000.0},
}


class Row(NamedTuple):
    where: str
    how: str
    left: int
    late: int
    worst_s: float | None
    noticed_s: float | None


def fin(client: socket.socket) -> None:
    client.close()


def rst(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def stays(client: socket.socket) -> None:
    """It waits on."""


def request(name: str, target: str, length: int = 0) -> bytes:
    key = f"Idempotency-Key: k{name}\r\n" if target == "/keyed" else ""
    head = f"POST {target} HTTP/1.1\r\nX-Request-ID: {name}\r\n{key}X-Timeout-Ms: 8500\r\n"
    return f"{head}Content-Length: {length}\r\n\r\n".encode()


async def asked(proxy: Proxy, data: bytes) -> socket.socket:
    client = socket.create_connection(proxy.endpoint)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_sendall(client, data)
    return client


async def retries(leave: Callable[[socket.socket], None], count: int) -> Row:
    """Each is reset once by the server, and its client leaves while it waits to be tried again."""
    tries: dict[str, list[float]] = {}

    async def respond(seen: Seen, writer: Any) -> None:
        name = seen.message.headers["x-request-id"]
        tries.setdefault(name, []).append(time.monotonic())
        if name.startswith("c") and len(tries[name]) == 1:
            writer.transport.abort()
        else:
            writer.write(ok())

    host, late = await Host("h0", respond).start(), 0
    worst_s: float | None = None
    async with running(await Discovery().start(), [host], settings=LONG) as proxy:
        for i in range(count):
            usual = await proxy.client()  # else a server that only resets is paused
            assert (await usual.ask("/unsafe")).status == 200
            client = await asked(proxy, request(f"c{i}", "/keyed"))
            name = f"c{i}"
            await host.wait(lambda name=name: name in tries)  # type: ignore[misc]
            left_s = time.monotonic()
            leave(client)
            await asyncio.sleep(0.7)  # the first wait is 0.1 to 0.3 s
            late += len(tries[name]) > 1 if leave is stays else tries[name][-1] > left_s + 0.02
            if len(tries[name]) > 1:
                worst_s = max(worst_s or 0.0, tries[name][-1] - left_s)
            client.close()
    return Row("a retry", leave.__name__, count, late, worst_s, None)


async def cell(where: str, leave: Callable[[socket.socket], None], count: int) -> Row:
    """With room for those that wait once that would be late, and with room at once."""
    then, now = [await scene(where, leave, count, room_s) for room_s in (LATE_S, 0.0)]
    return then._replace(late=then.late + now.late, worst_s=now.worst_s)


async def scene(where: str, leave: Callable[[socket.socket], None], count: int, room_s: float) -> Row:
    seen_s: dict[str, float] = {}
    closed: dict[int, float] = {}

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
    memory_mb = 10 if where == "the module, held back" else 192  # so little that no body is held
    more = {"limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 24 + 4 * count + 40}}
    async with running(discovery, [host], settings=LONG, more=more) as proxy:
        if where not in ("a connection", "nothing"):  # fill the server: all others wait in the module
            blockers = [await asked(proxy, request(f"b{i}", "/unsafe")) for i in range(12)]
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
            clients.append(await asked(proxy, data))
        if where == "nothing":
            await host.wait(lambda: len(host.seen) >= 1)
            await asyncio.sleep(0.03)
        else:
            await asyncio.sleep(0.2)
        before = set(seen_s)
        open_before = set(host.open)
        left_s, left = time.monotonic(), 0
        for client in clients:
            if not has_unread_data(client):  # it waits: neither answered nor closed
                left += 1
                leave(client)
        if where == "nothing":  # they are at the server: how soon it sees them given up
            async with asyncio.timeout(10):
                while open_before & set(host.open):
                    await asyncio.sleep(0.002)
            closed[0] = time.monotonic() - left_s
        if room_s:
            await asyncio.sleep(room_s)
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
                        got = sock.recv(4096)
                        if b"X-Request-ID: c" in got:
                            name = got.split(b"X-Request-ID: ")[1].split(b"\r\n")[0].decode()
                            seen_s[name] = time.monotonic()
                await asyncio.sleep(0.005)
        else:
            for _ in range(30):  # there is room now, again and again
                for writer in list(host.open.values()):
                    writer.write(ok())
                await asyncio.sleep(0.05)
        begun_s = [
            at_s - left_s for name, at_s in seen_s.items() if name.startswith("c") and name not in before
        ]
        late = sum(at_s > LATE_S for at_s in begun_s)
        for sock in (*blockers, *clients):
            sock.close()
    return Row(where, leave.__name__, left, late, max(begun_s, default=None), closed.get(0))


WAYS = (fin, rst, half_close, stays)
PLACES = (
    "the module",
    "another on its connection",
    "the module, held back",
    "the module, at the proxy's limit",
    "a connection",
    "a retry",
    "nothing",
)


async def measure(count: int) -> list[Row]:
    cells = ((where, leave) for where in PLACES for leave in WAYS if leave is not stays or where != "nothing")
    return [
        await (retries(leave, count) if where == "a retry" else cell(where, leave, count))
        for where, leave in cells
    ]


def main() -> int:
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
