"""Compare the cost of HTTP/3 with that of HTTP/1.1: in the libraries alone, in the proxy, and under load.

    python -m benchmarks.http3 [libraries] [cost] [mixed] [--requests 6000] [--seconds 10] [--seeds 1]

`libraries`: CPU time of the server's side for both QUIC libraries, in memory, without a socket and with an
immediate answer.
`cost`: CPU time and memory of the proxy's process, with eight stand-in servers, by protocol and connections.
`mixed`: an open load of 570 requests a second, of both classes, over ten servers that fail and pause. Clients
and servers use HTTP/1.1 alone, a mix, and HTTP/3 alone, with a share of the datagrams lost in each direction.
`flood`: an even load by HTTP/1.1 and by HTTP/3, without and with forged Initial packets on the UDP port.
Only ratios within one run on one machine are comparable.
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
from cloverrouter.lab.quic import LIBRARIES, QuicClient, QuicHost, ServerRequest, library
from cloverrouter.lab.relay import Nat
from tests.http3.test_proxy import DualProtocolProxy, run_dual_protocol_proxy

LIMITS = {"cores": 1.0, "memory_mb": 1024, "sockets": 16_000}
RATE = 570  # requests a second
TICKS = os.sysconf("SC_CLK_TCK")
ANSWER = [(b":status", b"200"), (b"content-type", b"application/json"), (b"content-length", b"200")]


# The libraries alone


class InMemoryPair:
    """A client's and a server's connection that pass their datagrams to each other in memory."""

    def __init__(self, name: str, authority: Path, files: tuple[str, str]) -> None:
        self.parts = library(name)
        shared = {"alpn_protocols": ["h3"], "max_datagram_frame_size": 65536}
        client_settings = self.parts.Settings(is_client=True, server_name="localhost", **shared)
        client_settings.load_verify_locations(str(authority))
        self._server_settings = self.parts.Settings(is_client=False, **shared)
        self._server_settings.load_cert_chain(*files)
        self.client = self.parts.Connection(configuration=client_settings)
        self.client.connect(("127.0.0.2", 2), now=time.monotonic())
        self.client_http = self.parts.Http(self.client)
        self.server: Any = None
        self.server_http: Any = None
        self.cpu_s = 0.0  # of the server's side
        self.done = self.sent = 0

    def step(self) -> None:
        """Pass the datagrams of both sides on once and run the timers that are due."""
        for data, _ in self.client.datagrams_to_send(now=time.monotonic()):
            begun = time.process_time()
            if self.server is None:
                self.server = self.parts.Connection(
                    configuration=self._server_settings,
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
                for http_event in self.client_http.handle_event(event):
                    self.done += bool(getattr(http_event, "stream_ended", False))
        for side in (self.client, self.server):
            due_s = side.get_timer()
            if due_s is not None and due_s <= time.monotonic():
                side.handle_timer(now=time.monotonic())

    def _serve(self) -> None:
        while (event := self.server.next_event()) is not None:
            if self.server_http is None and isinstance(event, self.parts.quic.ProtocolNegotiated):
                self.server_http = self.parts.Http(self.server)
            for http_event in self.server_http.handle_event(event) if self.server_http is not None else ():
                if getattr(http_event, "stream_ended", False):
                    self.server_http.send_headers(http_event.stream_id, ANSWER)
                    self.server_http.send_data(http_event.stream_id, b"y" * 200, True)

    def send_request(self) -> None:
        """Open a stream with one request on the client's side."""
        self.sent += 1
        stream_id = self.client.get_next_available_stream_id()
        fields = {
            ":method": "POST", ":scheme": "https", ":authority": "x", ":path": "/unsafe?obj=12",
            "x-request-id": f"r{stream_id}", "x-timeout-ms": "2500",
        }  # fmt: skip
        self.client_http.send_headers(stream_id, [(k.encode(), v.encode()) for k, v in fields.items()])
        self.client_http.send_data(stream_id, b"x" * 100, True)


def libraries(requests: int) -> None:
    """Print the server's CPU time per handshake and request, and the memory per connection, by library."""
    with tempfile.TemporaryDirectory() as folder:
        authority = Authority(Path(folder))
        files = authority.issue("localhost", "server")
        for name in LIBRARIES:
            pair = InMemoryPair(name, authority.file, files)
            while pair.server_http is None:
                pair.step()
            print(f"{name}: handshake {pair.cpu_s * 1000:.1f} ms of the server's CPU")
            for at_once in (1, 32):
                pair.cpu_s, pair.done, pair.sent = 0.0, 0, 0
                while pair.done < requests:
                    while pair.sent - pair.done < at_once and pair.sent < requests:
                        pair.send_request()
                    pair.step()
                print(f"{name}: {at_once} at once: {pair.cpu_s / requests * 1e6:.0f} us a request")
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            kept = []
            for _ in range(200):
                pair = InMemoryPair(name, authority.file, files)
                while not pair.done:
                    if pair.server_http is not None and not pair.sent:
                        pair.send_request()
                    pair.step()
                kept.append(pair)
            grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
            print(f"{name}: {grown / len(kept):.0f} KB a connection, both sides together")


# The proxy


def cpu_s(proxy: Proxy) -> float:
    """User and system time of the proxy's process."""
    fields = Path(f"/proc/{proxy.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_kb(proxy: Proxy) -> int:
    """Resident memory of the proxy's process."""
    lines = Path(f"/proc/{proxy.process.pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


async def measure(fixture: DualProtocolProxy, protocol: str, count: int, requests: int) -> None:
    """Open `count` connections, send the requests on them and print the cost of each."""
    before_kb = rss_kb(fixture.proxy)
    begun = cpu_s(fixture.proxy)
    asks: list[Callable[[], Awaitable[int]]] = []
    clients: list[Client | QuicClient] = []
    at_once = asyncio.Semaphore(16)

    async def connect() -> None:
        async with at_once:
            if protocol == "HTTP/3":
                http3 = await fixture.client("qh3")
                clients.append(http3)

                async def by3() -> int:
                    return (await http3.ask("/unsafe", b"x" * 100)).status

                asks.append(by3)
            else:
                http1 = await fixture.proxy.client()
                clients.append(http1)

                async def by1() -> int:
                    return (await http1.ask("/unsafe", body=b"x" * 100)).status

                asks.append(by1)
            await asks[-1]()  # the proxy may evict a connection that is idle before its first request

    await asyncio.gather(*(connect() for _ in range(count)))
    opened = cpu_s(fixture.proxy)
    held_kb = rss_kb(fixture.proxy) - before_kb
    left, answers = requests, Counter[int]()

    async def send_rest(ask: Callable[[], Awaitable[int]]) -> None:
        nonlocal left
        while left > 0:
            left -= 1
            answers[await ask()] += 1

    senders = asyncio.Semaphore(64)

    async def bounded(ask: Callable[[], Awaitable[int]]) -> None:
        async with senders:
            if count > 64:
                for _ in range(max(1, requests // count)):
                    answers[await ask()] += 1
            else:
                await send_rest(ask)

    begun_s = time.monotonic()
    await asyncio.gather(*(bounded(ask) for ask in asks))
    took_s = time.monotonic() - begun_s
    done = sum(answers.values())
    us = (cpu_s(fixture.proxy) - opened) / done * 1e6
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
    """Measure each protocol with 1, 64 and 1,000 connections, on a new proxy each time."""
    for count in (1, 64, 1000):
        for protocol in ("HTTP/1.1", "HTTP/3"):
            with tempfile.TemporaryDirectory() as folder:
                async with run_dual_protocol_proxy(Path(folder), 2100, 8, {"limits": LIMITS}) as fixture:
                    await measure(fixture, protocol, count, requests)


# Both under load


class FaultyServer:
    """A server with 5 to 30 ms of work per request.

    One request in 50 fails or is cut off after it ran, and a request in 500 makes all wait for 0.4 s.
    """

    def __init__(self, runs: Counter[str], rng: random.Random) -> None:
        self._runs, self._rng, self._pause_until = runs, rng, 0.0

    async def work(self, name: str, keyed: bool) -> str:
        """Do the work of a request and draw how it ends."""
        now_s = time.monotonic()
        if self._rng.random() < 0.002:
            self._pause_until = now_s + 0.4
        await asyncio.sleep(max(0.0, self._pause_until - now_s) + self._rng.uniform(0.005, 0.03))
        if not keyed:
            self._runs[name] += 1  # real servers drop the repeat of a keyed request
        drawn = self._rng.random()
        return "cut off" if drawn < 0.01 else "error" if drawn < 0.02 else "ok"

    async def by_http1(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        """Answer a request over HTTP/1.1."""
        headers = seen.message.headers
        match await self.work(headers["x-request-id"], "idempotency-key" in headers):
            case "cut off":
                writer.transport.abort()
            case "error":
                writer.write(b"HTTP/1.1 500 Wrong\r\nContent-Length: 0\r\n\r\n")
            case _:
                writer.write(ok(b"y" * 200, b"X-Server-Load: inflight=3,queue=1\r\n"))

    async def by_http3(self, request: ServerRequest) -> None:
        """Answer a request over HTTP/3."""
        outcome = await self.work(request.id, b"idempotency-key" in request.fields)
        if request.peer.termination is not None or request.stream_id in request.peer.host.stop_codes:
            return
        with suppress(Exception):  # the proxy may cancel the request within this event loop step
            match outcome:
                case "cut off":
                    request.reset(0x102)
                case "error":
                    request.answer(b"", 500)
                case _:
                    request.answer(b"y" * 200, x_server_load="inflight=3,queue=1")


class HostBehindNat:
    """A server on HTTP/3 whose datagrams pass a NAT that drops some."""

    def __init__(self, host: QuicHost, nat: Nat) -> None:
        self.name, self._host, self._nat = host.name, host, nat

    def entry(self, state: str = "active") -> dict[str, Any]:
        """The host's entry in the list of servers, with the address of the NAT."""
        return {**self._host.entry(state), "addr": "{}:{}".format(*self._nat.address)}


CARRIER = """
[http3_servers]
enabled = true
servers = {names}
authority = "{authority}"
name = "localhost"
fallback = false
"""


def try_send(client: QuicClient, target: str) -> int | None:
    """Send a request and return its stream id; None while the server's stream limit is reached.

    The library raises in that case.
    """
    try:
        return client.send(target, b"x" * 100)
    except Exception as error:
        if "stream limit" not in str(error):
            raise
        return None


async def mixed(seconds: float, clients: float, servers: float, seed: int, loss: float) -> None:
    """Run an open load with a share of the clients and of ten servers on HTTP/3, through lossy NATs."""
    rng = random.Random(seed)
    runs: Counter[str] = Counter()
    answers: Counter[int] = Counter()
    took_ms: list[float] = []
    nats: list[Nat] = []
    with tempfile.TemporaryDirectory() as folder:
        fixture = DualProtocolProxy(Path(folder))
        hosts: list[Listable] = []
        quics: list[QuicHost] = []
        for i in range(10):
            faulty = FaultyServer(runs, random.Random(seed + i))
            if i >= 10 * servers:
                hosts.append(await Host(f"s-{i}", faulty.by_http1).start())
                continue
            quics.append(await QuicHost(f"s-{i}", fixture.files, faulty.by_http3).start())
            nats.append(await Nat(seed + i, ("127.0.0.1", quics[-1].port)).start())
            hosts.append(HostBehindNat(quics[-1], nats[-1]))
        if quics:
            names = [host.name for host in quics]
            with fixture.box.file.open("a") as file:
                file.write(CARRIER.format(names=names, authority=fixture.authority.file))
        more, environ = {"limits": LIMITS}, fixture.box.environ
        async with running(await Discovery().start(), hosts, environ=environ, more=more) as proxy:
            nats.append(await Nat(seed, ("127.0.0.1", fixture.port)).start())
            for nat in nats:
                nat.to_server.loss = nat.to_clients.loss = loss
            by3 = [await QuicClient(nats[-1].address, fixture.authority.file).open() for _ in range(8)]
            idle: list[Client] = []

            async def ask(target: str, http3: bool, at_s: float) -> None:
                if http3:
                    client = rng.choice(by3)
                    while (stream_id := try_send(client, target)) is None:
                        await asyncio.sleep(0.005)
                    reply = await client.reply(stream_id)
                    status = reply.status
                    if not status:
                        raise ConnectionError(f"reset {reply.reset}, connection {client.termination}")
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
        f"{sum(nat.to_server.lost + nat.to_clients.lost for nat in nats)}",
        *map(str, lost[:3]), sep="; ", flush=True,
    )  # fmt: skip


# A flood

FLOOD_RATE = 5000  # forged Initial packets a second


async def flood(seconds: float) -> None:
    """Measure the latency of each protocol's clients without and with the flood, on one proxy."""
    with tempfile.TemporaryDirectory() as folder:
        async with run_dual_protocol_proxy(Path(folder), 200, 8, {"limits": LIMITS}) as fixture:
            http3, http1 = await fixture.client(), await fixture.proxy.client()
            first = QuicClient(("127.0.0.1", fixture.port), fixture.authority.file, "aioquic")
            first.quic.connect(("127.0.0.1", fixture.port), now=time.monotonic())
            initial = first.quic.datagrams_to_send(now=time.monotonic())[0][0]
            for rate in (0, FLOOD_RATE):
                stop = asyncio.Event()
                flooding = asyncio.create_task(forge(fixture.port, initial, rate, stop))
                took: dict[str, list[float]] = {"HTTP/1.1": [], "HTTP/3": []}
                failed, before, begun_s = 0, cpu_s(fixture.proxy), time.monotonic()
                while time.monotonic() - begun_s < seconds:
                    for name, ask in (("HTTP/1.1", http1.ask), ("HTTP/3", http3.ask)):
                        at_s = time.monotonic()
                        failed += (await ask("/unsafe", body=b"x")).status != 200
                        took[name].append((time.monotonic() - at_s) * 1000)
                    await asyncio.sleep(0.005)
                share = (cpu_s(fixture.proxy) - before) / (time.monotonic() - begun_s)
                stop.set()
                sent = await flooding
                connection = await fixture.box.connect()
                counts = (await connection.result("status"))["protocols"]["HTTP/3 from clients"]
                for name, found in took.items():
                    found.sort()
                    p50, p99 = found[len(found) // 2], found[int(len(found) * 0.99)]
                    print(f"{rate} a second: {name} {len(found)} served, p50 {p50:.1f} p99 {p99:.1f} ms")
                print(
                    f"  {sent} forged, {failed} failed; {share:.0%} CPU, {rss_kb(fixture.proxy)} KB; {counts}"
                )


async def forge(port: int, initial: bytes, rate: int, stop: asyncio.Event) -> int:
    """Send Initial packets with a new connection id each, from eight ports.

    That is like an attacker with forged source addresses. Returns how many were sent.
    """
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(8)]
    for sock in socks:
        sock.setblocking(False)
    sent, begun_s = 0, time.monotonic()
    while not stop.is_set():
        while rate and sent < (time.monotonic() - begun_s) * rate:
            data = bytearray(initial)
            data[6:14] = os.urandom(8)  # a new destination connection id, so a new connection
            with suppress(OSError):
                socks[sent % 8].sendto(data, ("127.0.0.1", port))
            sent += 1
        await asyncio.sleep(0.002)
    for sock in socks:
        sock.close()
    return sent


def main() -> None:
    """Run the selected measurements."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", nargs="*", default=["libraries", "cost"])
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.02)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    if "libraries" in options.what:
        libraries(options.requests)
    if "mixed" in options.what:
        for seed in range(options.seeds):
            for clients, servers in ((0.0, 0.0), (0.5, 0.0), (0.0, 0.5), (0.5, 0.5), (1.0, 1.0)):
                asyncio.run(mixed(options.seconds, clients, servers, seed, options.loss))
    if "flood" in options.what:
        asyncio.run(flood(options.seconds))
    if "cost" in options.what:
        asyncio.run(cost(options.requests))


if __name__ == "__main__":
    main()
