"""What HTTP/3 costs beside HTTP/1.1: in the libraries alone, in the proxy, under load.

    python -m benchmarks.http3 [libraries] [cost] [mixed] [--requests 6000] [--seconds 10] [--seeds 1]

`libraries`: both QUIC libraries in memory, no socket, the answer made at once: CPU of the server's side.
`cost`: CPU time and memory of the proxy's process before eight stand-in servers, by protocol and connections.
`mixed`: an open load of 570 requests a second, both classes, over ten servers that fail and pause; clients
and servers by HTTP/1.1 alone, mixed, and by HTTP/3 alone, with a share of the datagrams lost each way.
`flood`: an even load by HTTP/1.1 and by HTTP/3, without and with forged first packets on the UDP port.
All of one call on one machine; only ratios within it are to be compared.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import random
import resource
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from cloverrouter.lab.certificates import Authority
from cloverrouter.lab.peers import Client, Discovery, Host, Listable, Proxy, Seen, ok, running
from cloverrouter.lab.quic import LIBRARIES, Asked, QuicClient, QuicHost, library
from cloverrouter.lab.relay import Nat
from tests.http3.test_proxy import Both, both

ROOM = {"cores": 1.0, "memory_mb": 1024, "sockets": 16_000}
RATE = 570  # requests a second
TICKS = os.sysconf("SC_CLK_TCK")
ANSWER = [(b":status", b"200"), (b"content-type", b"application/json"), (b"content-length", b"200")]


# The libraries alone


class Memory:
    """A client's and a server's connection that hand their datagrams to each other."""

    def __init__(self, name: str, authority: Path, files: tuple[str, str]) -> None:
        self.parts = library(name)
        told = {"alpn_protocols": ["h3"], "max_datagram_frame_size": 65536}
        own = self.parts.Settings(is_client=True, server_name="localhost", **told)
        own.load_verify_locations(str(authority))
        self._server = self.parts.Settings(is_client=False, **told)
        self._server.load_cert_chain(*files)
        self.client = self.parts.Connection(configuration=own)
        self.client.connect(("127.0.0.2", 2), now=time.monotonic())
        self.http = self.parts.Http(self.client)
        self.server: Any = None
        self.served: Any = None
        self.cpu_s = 0.0  # of the server's side
        self.done = self.asked = 0

    def step(self) -> None:
        for data, _ in self.client.datagrams_to_send(now=time.monotonic()):
            begun = time.process_time()
            if self.server is None:
                self.server = self.parts.Connection(
                    configuration=self._server,
                    original_destination_connection_id=self.client.original_destination_connection_id,
                )
            self.server.receive_datagram(data, ("127.0.0.1", 1), now=time.monotonic())
            self._serve()
            self.cpu_s += time.process_time() - begun
        begun = time.process_time()
        out = self.server.datagrams_to_send(now=time.monotonic())
        self.cpu_s += time.process_time() - begun
        for data, _ in out:
            self.client.receive_datagram(data, ("127.0.0.2", 2), now=time.monotonic())
            while (event := self.client.next_event()) is not None:
                for told in self.http.handle_event(event):
                    self.done += bool(getattr(told, "stream_ended", False))
        for side in (self.client, self.server):
            due_s = side.get_timer()
            if due_s is not None and due_s <= time.monotonic():
                side.handle_timer(now=time.monotonic())

    def _serve(self) -> None:
        while (event := self.server.next_event()) is not None:
            if self.served is None and isinstance(event, self.parts.quic.ProtocolNegotiated):
                self.served = self.parts.Http(self.server)
            for told in self.served.handle_event(event) if self.served is not None else ():
                if getattr(told, "stream_ended", False):
                    self.served.send_headers(told.stream_id, ANSWER)
                    self.served.send_data(told.stream_id, b"y" * 200, True)

    def ask(self) -> None:
        self.asked += 1
        number = self.client.get_next_available_stream_id()
        told = {
            ":method": "POST", ":scheme": "https", ":authority": "x", ":path": "/unsafe?obj=12",
            "x-request-id": f"r{number}", "x-timeout-ms": "2500",
        }  # fmt: skip
        self.http.send_headers(number, [(k.encode(), v.encode()) for k, v in told.items()])
        self.http.send_data(number, b"x" * 100, True)


def libraries(requests: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        authority = Authority(Path(folder))
        files = authority.issue("localhost", "server")
        for name in LIBRARIES:
            pair = Memory(name, authority.file, files)
            while pair.served is None:
                pair.step()
            print(f"{name}: handshake {pair.cpu_s * 1000:.1f} ms of the server's CPU")
            for at_once in (1, 32):
                pair.cpu_s, pair.done, pair.asked = 0.0, 0, 0
                while pair.done < requests:
                    while pair.asked - pair.done < at_once and pair.asked < requests:
                        pair.ask()
                    pair.step()
                print(f"{name}: {at_once} at once: {pair.cpu_s / requests * 1e6:.0f} us a request")
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            kept = []
            for _ in range(200):
                pair = Memory(name, authority.file, files)
                while not pair.done:
                    if pair.served is not None and not pair.asked:
                        pair.ask()
                    pair.step()
                kept.append(pair)
            grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
            print(f"{name}: {grown / len(kept):.0f} KB a connection, both sides together")


# The proxy


def cpu_s(proxy: Proxy) -> float:
    told = Path(f"/proc/{proxy.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(told[11]) + int(told[12])) / TICKS


def rss_kb(proxy: Proxy) -> int:
    lines = Path(f"/proc/{proxy.process.pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


async def one(b: Both, protocol: str, count: int, requests: int) -> None:
    before_kb = rss_kb(b.proxy)
    begun = cpu_s(b.proxy)
    asks: list[Callable[[], Awaitable[int]]] = []
    clients: list[Client | QuicClient] = []
    at_once = asyncio.Semaphore(16)

    async def connect() -> None:
        async with at_once:
            if protocol == "HTTP/3":
                http3 = await b.client("qh3")
                clients.append(http3)

                async def by3() -> int:
                    return (await http3.ask("/unsafe", b"x" * 100)).status

                asks.append(by3)
            else:
                http1 = await b.proxy.client()
                clients.append(http1)

                async def by1() -> int:
                    return (await http1.ask("/unsafe", body=b"x" * 100)).status

                asks.append(by1)
            await asks[-1]()  # one that is idle before its first request may have to make room

    await asyncio.gather(*(connect() for _ in range(count)))
    opened = cpu_s(b.proxy)
    held_kb = rss_kb(b.proxy) - before_kb
    left, answers = requests, Counter[int]()

    async def work(ask: Callable[[], Awaitable[int]]) -> None:
        nonlocal left
        while left > 0:
            left -= 1
            answers[await ask()] += 1

    gate = asyncio.Semaphore(64)

    async def bounded(ask: Callable[[], Awaitable[int]]) -> None:
        async with gate:
            if count > 64:
                for _ in range(max(1, requests // count)):
                    answers[await ask()] += 1
            else:
                await work(ask)

    begun_s = time.monotonic()
    await asyncio.gather(*(bounded(ask) for ask in asks))
    took_s = time.monotonic() - begun_s
    done = sum(answers.values())
    us = (cpu_s(b.proxy) - opened) / done * 1e6
    print(
        f"{protocol:9} {count:5} connections: {us:5.0f} us of CPU a request, {held_kb / count:6.1f} KB and "
        f"{(opened - begun) / count * 1000:5.2f} ms of CPU a connection; {done / took_s:5.0f} a second, "
        f"{dict(answers)}",
        flush=True,
    )
    for client in clients:
        client.close() if isinstance(client, QuicClient) else client.writer.close()
    await asyncio.sleep(0.5)


async def cost(requests: int) -> None:
    for count in (1, 64, 1000):
        for protocol in ("HTTP/1.1", "HTTP/3"):
            with tempfile.TemporaryDirectory() as folder:
                async with both(Path(folder), 2100, 8, {"limits": ROOM}) as b:
                    await one(b, protocol, count, requests)


# Both under load


class Faulty:
    """5 to 30 ms of work; one request in 50 fails or is cut off after it ran, now and then all wait 0.4 s."""

    def __init__(self, runs: Counter[str], rng: random.Random) -> None:
        self._runs, self._rng, self._pause_until = runs, rng, 0.0

    async def work(self, name: str, keyed: bool) -> str:
        now_s = time.monotonic()
        if self._rng.random() < 0.002:
            self._pause_until = now_s + 0.4
        await asyncio.sleep(max(0.0, self._pause_until - now_s) + self._rng.uniform(0.005, 0.03))
        if not keyed:
            self._runs[name] += 1  # a keyed repeat is dropped by real servers
        fate = self._rng.random()
        return "cut off" if fate < 0.01 else "error" if fate < 0.02 else "ok"

    async def by_http1(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        told = seen.message.headers
        match await self.work(told["x-request-id"], "idempotency-key" in told):
            case "cut off":
                writer.transport.abort()
            case "error":
                writer.write(b"HTTP/1.1 500 Wrong\r\nContent-Length: 0\r\n\r\n")
            case _:
                writer.write(ok(b"y" * 200, b"X-Server-Load: inflight=3,queue=1\r\n"))

    async def by_http3(self, asked: Asked) -> None:
        how = await self.work(asked.id, b"idempotency-key" in asked.fields)
        if asked.peer.over is not None or asked.number in asked.peer.host.stops:
            return
        with suppress(Exception):  # the proxy may have called it off in this very step
            match how:
                case "cut off":
                    asked.reset(0x102)
                case "error":
                    asked.answer(b"", 500)
                case _:
                    asked.answer(b"y" * 200, x_server_load="inflight=3,queue=1")


class Behind:
    """A server on HTTP/3 whose datagrams pass a box that loses some."""

    def __init__(self, host: QuicHost, nat: Nat) -> None:
        self.name, self._host, self._nat = host.name, host, nat

    def entry(self, state: str = "active") -> dict[str, Any]:
        return {**self._host.entry(state), "addr": "{}:{}".format(*self._nat.address)}


CARRIER = """
[http3_servers]
enabled = true
servers = {names}
authority = "{authority}"
name = "localhost"
fallback = false
"""


def opened(client: QuicClient, target: str) -> int | None:
    """A request on a stream; None while the server lets the client open no more (its library would raise)."""
    try:
        return client.send(target, b"x" * 100)
    except Exception as error:
        if "stream limit" not in str(error):
            raise
        return None


async def mixed(seconds: float, clients: float, servers: float, seed: int, loss: float) -> None:
    """An open load; a share of its clients and of ten servers on HTTP/3, through boxes that lose packets."""
    rng = random.Random(seed)
    runs: Counter[str] = Counter()
    answers: Counter[int] = Counter()
    took_ms: list[float] = []
    nats: list[Nat] = []
    with tempfile.TemporaryDirectory() as folder:
        found = Both(Path(folder))
        hosts: list[Listable] = []
        quics: list[QuicHost] = []
        for i in range(10):
            faulty = Faulty(runs, random.Random(seed + i))
            if i >= 10 * servers:
                hosts.append(await Host(f"s-{i}", faulty.by_http1).start())
                continue
            quics.append(await QuicHost(f"s-{i}", found.files, faulty.by_http3).start())
            nats.append(await Nat(seed + i, ("127.0.0.1", quics[-1].port)).start())
            hosts.append(Behind(quics[-1], nats[-1]))
        if quics:
            names = [host.name for host in quics]
            with found.box.file.open("a") as file:
                file.write(CARRIER.format(names=names, authority=found.authority.file))
        more, environ = {"limits": ROOM}, found.box.environ
        async with running(await Discovery().start(), hosts, environ=environ, more=more) as proxy:
            nats.append(await Nat(seed, ("127.0.0.1", found.port)).start())
            for nat in nats:
                nat.out.loss = nat.home.loss = loss
            by3 = [await QuicClient(nats[-1].address, found.authority.file).open() for _ in range(8)]
            idle: list[Client] = []

            async def ask(target: str, http3: bool, at_s: float) -> None:
                if http3:
                    client = rng.choice(by3)
                    while (number := opened(client, target)) is None:
                        await asyncio.sleep(0.005)
                    reply = await client.reply(number)
                    status = reply.status
                    if not status:
                        raise ConnectionError(f"reset {reply.reset}, connection {client.over}")
                else:
                    plain = idle.pop() if idle else await proxy.client()
                    answer = await plain.ask(target, body=b"x" * 100)
                    status = answer.status
                    if answer.headers.get("connection") != "close":
                        idle.append(plain)
                answers[status] += 1
                if status == 200:
                    took_ms.append((time.monotonic() - at_s) * 1000)

            cpu_before = cpu_s(proxy)
            tasks, begun_s, due_s = [], time.monotonic(), 0.0
            while due_s < seconds:
                due_s += rng.expovariate(RATE)
                target = "/unsafe" if rng.random() < 0.5 else f"/keyed?obj={rng.randrange(500)}"
                by_http3 = rng.random() < clients
                await asyncio.sleep(max(0.0, begun_s + due_s - time.monotonic()))
                tasks.append(asyncio.create_task(ask(target, by_http3, begun_s + due_s)))
            results = await asyncio.gather(*tasks, return_exceptions=True)
            cpu_share = (cpu_s(proxy) - cpu_before) / (time.monotonic() - begun_s)
            lost = [r for r in results if r is not None]
            for client in by3:
                client.close()
            for nat in nats:
                nat.close()
            for host in quics:
                host.close()
    took_ms.sort()
    doubled = sum(count > 1 for count in runs.values())
    at = {share: took_ms[int(len(took_ms) * share)] for share in (0.5, 0.95, 0.99)}
    print(
        f"clients {clients:4.0%}, servers {servers:4.0%} by HTTP/3: {len(tasks)} requests, answers "
        f"{dict(answers)}, none for {len(lost)}, entry-registers run twice {doubled}; p50 {at[0.5]:.0f} "
        f"p95 {at[0.95]:.0f} p99 {at[0.99]:.0f} ms; proxy's CPU {cpu_share:.0%}; datagrams lost "
        f"{sum(nat.out.lost + nat.home.lost for nat in nats)}",
        *map(str, lost[:3]), sep="; ", flush=True,
    )  # fmt: skip


# A flood

FLOOD_RATE = 5000  # forged first packets a second


async def flood(seconds: float) -> None:
    """What each protocol's clients notice of it, in one run on one proxy."""
    with tempfile.TemporaryDirectory() as folder:
        async with both(Path(folder), 200, 8, {"limits": ROOM}) as b:
            http3, http1 = await b.client(), await b.proxy.client()
            first = QuicClient(("127.0.0.1", b.port), b.authority.file, "aioquic")
            first.quic.connect(("127.0.0.1", b.port), now=time.monotonic())
            initial = first.quic.datagrams_to_send(now=time.monotonic())[0][0]
            for rate in (0, FLOOD_RATE):
                stop = asyncio.Event()
                flooding = asyncio.create_task(forge(b.port, initial, rate, stop))
                took: dict[str, list[float]] = {"HTTP/1.1": [], "HTTP/3": []}
                failed, before, begun_s = 0, cpu_s(b.proxy), time.monotonic()
                while time.monotonic() - begun_s < seconds:
                    for name, ask in (("HTTP/1.1", http1.ask), ("HTTP/3", http3.ask)):
                        at_s = time.monotonic()
                        failed += (await ask("/unsafe", body=b"x")).status != 200
                        took[name].append((time.monotonic() - at_s) * 1000)
                    await asyncio.sleep(0.005)
                share = (cpu_s(b.proxy) - before) / (time.monotonic() - begun_s)
                stop.set()
                sent = await flooding
                line = await b.box.line()
                told = (await line.result("status"))["protocols"]["HTTP/3 from clients"]
                for name, found in took.items():
                    found.sort()
                    p50, p99 = found[len(found) // 2], found[int(len(found) * 0.99)]
                    print(f"{rate} a second: {name} {len(found)} served, p50 {p50:.1f} p99 {p99:.1f} ms")
                print(f"  {sent} forged, {failed} failed; {share:.0%} CPU, {rss_kb(b.proxy)} KB; {told}")


async def forge(port: int, initial: bytes, rate: int, stop: asyncio.Event) -> int:
    """First packets of one connection id each, from eight ports: as an attacker's with forged sources."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(8)]
    for sock in socks:
        sock.setblocking(False)
    sent, begun_s = 0, time.monotonic()
    while not stop.is_set():
        while rate and sent < (time.monotonic() - begun_s) * rate:
            data = bytearray(initial)
            data[6:14] = os.urandom(8)  # another destination id: another connection
            with suppress(OSError):
                socks[sent % 8].sendto(data, ("127.0.0.1", port))
            sent += 1
        await asyncio.sleep(0.002)
    for sock in socks:
        sock.close()
    return sent


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", nargs="*", default=["libraries", "cost"])
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.02)
    told = parser.parse_args()
    logging.disable(logging.CRITICAL)
    if "libraries" in told.what:
        libraries(told.requests)
    if "mixed" in told.what:
        for seed in range(told.seeds):
            for clients, servers in ((0.0, 0.0), (0.5, 0.0), (0.0, 0.5), (0.5, 0.5), (1.0, 1.0)):
                asyncio.run(mixed(told.seconds, clients, servers, seed, told.loss))
    if "flood" in told.what:
        asyncio.run(flood(told.seconds))
    if "cost" in told.what:
        asyncio.run(cost(told.requests))


if __name__ == "__main__":
    main()
