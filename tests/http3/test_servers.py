"""The proxy process with servers of both protocols: the same guarantees over HTTP/1.1 and HTTP/3."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from cloverrouter.lab.certificates import Authority
from cloverrouter.lab.peers import LONG_S, Discovery, Host, Listable, Proxy, running
from cloverrouter.lab.quic import QuicHost, Respond, ServerRequest, done, silent
from tests.standins.answers import receive_answer
from tests.standins.appliance import ApplianceFixture

SITE = """
[control]
enabled = true
directory = "{folder}/control"
[http3_servers]
enabled = true
servers = {servers}
authority = "{authority}"
name = "registry"
fallback = {fallback}
"""


class Scene:
    """A proxy and its servers. `hosts`: those on HTTP/3."""

    def __init__(self, folder: Path, hosts: int, respond: Respond, fallback: tuple[str, ...]) -> None:
        self.authority = Authority(folder)
        files = self.authority.issue("registry", "server")
        self.hosts = [QuicHost(f"q{i}", files, respond) for i in range(hosts)]
        self.box = ApplianceFixture(folder, False, "")
        names = [*(host.name for host in self.hosts), *fallback]
        values = {"folder": folder, "servers": names, "authority": self.authority.file}
        self.box.file.write_text(SITE.format(**values, fallback=str(bool(fallback)).lower()))
        self.discovery = Discovery()
        self.proxy: Proxy

    async def servers(self) -> dict[str, dict[str, Any]]:
        connection = await self.box.connect()
        status = await connection.result("servers")
        return {server["server"]: server for server in status["servers"]}


@asynccontextmanager
async def scene(
    folder: Path, hosts: int = 1, respond: Respond = done, others: Sequence[Listable] = (),
    fallback: tuple[str, ...] = (),
) -> AsyncIterator[Scene]:  # fmt: skip
    """Run a proxy with HTTP/3 servers and `others`. `fallback`: names of others that are configured for
    HTTP/3, with a fallback to HTTP/1.1."""
    fixture = Scene(folder, hosts, respond, fallback)
    for host in fixture.hosts:
        await host.start()
    servers: list[Listable] = [*fixture.hosts, *others]
    async with running(await fixture.discovery.start(), servers, environ=fixture.box.environ) as proxy:
        fixture.proxy = proxy
        yield fixture
    for host in fixture.hosts:
        host.close()


def test_servers_of_both_protocols_serve_and_are_reported(tmp_path: Path) -> None:
    async def run() -> None:
        plain = await Host("h0").start()
        async with scene(tmp_path, others=[plain]) as s:
            (quic,), count = s.hosts, 0
            clients = [await s.proxy.client() for _ in range(4)]
            async with asyncio.timeout(LONG_S):
                while not (quic.seen and plain.seen and count > 40):
                    target = "/unsafe" if count % 8 else "/keyed"
                    answers = await asyncio.gather(*(client.ask(target) for client in clients))
                    assert [answer.status for answer in answers] == [200] * 4
                    count += 4
            assert len(quic.seen) + len(plain.seen) == count
            assert quic.handshakes == 1
            servers = await s.servers()
            assert (servers["q0"]["protocol"], servers["h0"]["protocol"]) == ("HTTP/3", "HTTP/1.1")
            assert servers["q0"]["served"] == len(quic.seen) and servers["h0"]["served"] == len(plain.seen)
            status = await (await s.box.connect()).result("status")
            assert status["protocols"]["HTTP/3 to servers"]["opened"] == 1

    asyncio.run(run())


def fail_first_attempt(how: str) -> Respond:
    """Return a script that fails the first attempt of each request and serves the second one."""
    seen_ids: set[str] = set()

    def respond(asked: ServerRequest) -> None:
        if asked.id in seen_ids:
            asked.answer()
            return
        seen_ids.add(asked.id)
        match how:
            case "rejected":
                asked.reset(0x10B)
            case "goaway":
                asked.peer.go_away(asked.stream_id)
            case "cancelled":
                asked.reset(0x10C)
            case "closed":
                asked.peer.close()
            case "spoilt":
                asked.head(200, {"content_length": "9"})
                asked.data(b"four", end=True)
            case "turned away":
                asked.answer(status=503, x_not_processed="1")

    return respond


@pytest.mark.parametrize(
    ("how", "never_ran"),
    [
        ("rejected", True),
        ("goaway", True),
        ("turned away", True),
        ("cancelled", False),
        ("closed", False),
        ("spoilt", False),
    ],
)
def test_unsafe_request_is_sent_once_and_refused_only_if_it_never_ran(
    tmp_path: Path, how: str, never_ran: bool
) -> None:
    """A keyed request is retried in either case, on another server."""

    async def run() -> None:
        async with scene(tmp_path, 3, fail_first_attempt(how)) as s:
            client = await s.proxy.client()
            name = client.next_id
            assert (await client.ask("/unsafe")).status == (503 if never_ran else 502)
            assert [asked.id for host in s.hosts for asked in host.seen] == [name]
            client = await s.proxy.client()
            name = client.next_id
            assert (await client.ask("/keyed")).status == 200
            assert [asked.id for host in s.hosts for asked in host.seen].count(name) == 2
            line = await s.box.connect()
            failures = (await line.result("failures"))["failures"]
            assert len(failures) == (0 if never_ran else 1)

    asyncio.run(run())


def test_server_without_http3_gets_requests_over_http1_with_fallback(tmp_path: Path) -> None:
    """Its UDP port is closed. The first attempt never ran, and is retried; no request is lost, and the
    failure does not count against the server."""

    async def run() -> None:
        without_http3, other = await Host("p0").start(), await Host("h0").start()
        async with scene(tmp_path, hosts=0, others=[without_http3, other], fallback=("p0",)) as s:
            client = await s.proxy.client()
            async with asyncio.timeout(LONG_S):
                while not without_http3.seen:
                    assert (await client.ask("/keyed")).status == 200
                    await asyncio.sleep(0.02)
            server = (await s.servers())["p0"]
            assert server["protocol"].startswith("HTTP/1.1: HTTP/3 failed")
            assert server["belief"] == "present" and server["healthy"]

    asyncio.run(run())


PAUSED_TIMEOUT_S, LOST_AFTER_S = 0.7, 0.5


def paused_answer(last_at_s: float, rest_bytes: int) -> Respond:
    """Answer with 20 kB, 10 kB at `last_at_s`, and the rest 2 s later; the length is not declared."""

    def respond(asked: ServerRequest) -> None:
        def end() -> None:
            with suppress(Exception):  # the proxy may have given the answer up
                asked.data(bytes(rest_bytes), True)

        loop = asyncio.get_running_loop()
        asked.head(200)
        asked.data(bytes(20_000))
        loop.call_later(last_at_s, asked.data, bytes(10_000))
        loop.call_later(last_at_s + 2.0, end)

    return respond


# Guards against: a long answer over HTTP/3 is cut off while its server pauses and then goes on.
def test_long_answer_whose_server_pauses_is_not_cut_off(tmp_path: Path) -> None:
    async def run() -> None:
        async with scene(tmp_path, respond=paused_answer(0.65, 270_000)) as s:
            client = await s.proxy.client()
            sent_s = time.monotonic()
            client.send("/unsafe", timeout_ms=int(PAUSED_TIMEOUT_S * 1000))
            answer = await receive_answer(client, sent_s)
            assert answer.first_s < PAUSED_TIMEOUT_S + LOST_AFTER_S
            assert answer.status == 502 or answer[:2] == (200, 300_000)

    asyncio.run(run())


# Guards against: an answer over HTTP/3 that stopped before its time is over is begun, and then has no end.
@pytest.mark.parametrize("rest_bytes", [10_000, 270_000], ids=["short", "long"])
def test_answer_that_stopped_before_its_time_fails_in_time(rest_bytes: int, tmp_path: Path) -> None:
    async def run() -> None:
        async with scene(tmp_path, respond=paused_answer(0.1, rest_bytes)) as s:
            client = await s.proxy.client()
            sent_s = time.monotonic()
            client.send("/unsafe", timeout_ms=int(PAUSED_TIMEOUT_S * 1000))
            answer = await receive_answer(client, sent_s)
            assert answer.status == 502
            assert answer.end_s < PAUSED_TIMEOUT_S + LOST_AFTER_S

    asyncio.run(run())


def test_drained_server_finishes_requests_and_gets_no_new_ones(tmp_path: Path) -> None:
    async def run() -> None:
        async with scene(tmp_path, hosts=2, respond=silent) as s:
            # Each server gets one request: there is no estimate of them yet.
            clients = [await s.proxy.client() for _ in range(2)]
            for client in clients:
                client.send("/unsafe")
            async with asyncio.timeout(LONG_S):
                while sum(len(host.seen) for host in s.hosts) < 2:
                    await asyncio.sleep(0.01)
            first, second = s.hosts
            counts = len(first.seen), len(second.seen)
            assert all(counts)
            await s.discovery.change(first.entry("leaving"))
            async with asyncio.timeout(LONG_S):
                while (await s.servers())["q0"]["state"] == "active":
                    await asyncio.sleep(0.01)
            second.respond = done
            second.seen[0].answer(b"at last")
            late = await s.proxy.client()
            for _ in range(10):
                assert (await late.ask("/unsafe")).status == 200
            assert len(first.seen) == counts[0]
            first.seen[0].answer(b"at last")
            assert [(await client.read()).body for client in clients] == [b"at last"] * 2
            # Its connections are closed on both sides: the proxy keeps none to a drained host.
            async with asyncio.timeout(LONG_S):
                while any(peer.termination is None for peer in first.peers.values()):
                    await asyncio.sleep(0.01)

    asyncio.run(run())


def test_authority_is_replaced_in_service(tmp_path: Path) -> None:
    async def run() -> None:
        async with scene(tmp_path) as s:
            client = await s.proxy.client()
            assert (await client.ask("/unsafe")).status == 200
            line = await s.box.connect()
            good = s.authority.file.read_bytes()
            s.authority.file.write_text("no certificate")
            s.proxy.process.send_signal(signal.SIGHUP)

            async def alarms() -> list[str]:
                return [text for text in (await line.result("status"))["alarms"] if "http3_servers" in text]

            async with asyncio.timeout(LONG_S):
                while not await alarms():
                    await asyncio.sleep(0.02)
            assert "has no CERTIFICATE in PEM form" in (await alarms())[0]
            assert (await client.ask("/unsafe")).status == 200  # the old authority stays in force
            s.authority.file.write_bytes(good)
            s.proxy.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(LONG_S):
                while await alarms():
                    await asyncio.sleep(0.02)
            assert (await client.ask("/unsafe")).status == 200

    asyncio.run(run())


def test_start_with_unusable_authority_fails_with_a_message(tmp_path: Path) -> None:
    async def run() -> None:
        found = Scene(tmp_path, 0, done, ())
        found.authority.file.write_text("nothing of the kind")
        host = await Host("h0").start()
        with pytest.raises(RuntimeError, match=r"\[http3_servers\]: .* has no CERTIFICATE in PEM form"):
            async with running(await found.discovery.start(), [host], environ=found.box.environ):
                pass

    asyncio.run(run())
