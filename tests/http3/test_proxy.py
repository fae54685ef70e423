"""The proxy process with both frontends: shared validation, drain, replaced certificates."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cloverrouter.lab.certificates import Authority
from cloverrouter.lab.peers import LONG_S, Discovery, Host, Proxy, never, ok, running
from cloverrouter.lab.quic import QuicClient
from tests.standins.appliance import ApplianceFixture

SITE = """
[control]
enabled = true
directory = "{folder}/control"
[http3]
enabled = true
listen = "127.0.0.1:{port}"
certificate = "{certificate}"
key = "{key}"
alt_svc = true
connections = {connections}
"""


class DualProtocolProxy:
    """A proxy that serves HTTP/1.1 and HTTP/3, its host and its clients."""

    def __init__(self, folder: Path, connections: int = 200) -> None:
        self.folder = folder
        self.authority = Authority(folder)
        self.files = self.authority.issue("localhost", "server")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = sock.getsockname()[1]
        self.box = ApplianceFixture(folder, False, "")
        self.box.file.write_text(
            SITE.format(
                folder=folder,
                port=self.port,
                certificate=self.files[0],
                key=self.files[1],
                connections=connections,
            )
        )
        self.clients: list[QuicClient] = []
        self.host: Host
        self.proxy: Proxy

    async def client(self, library: str = "qh3") -> QuicClient:
        client = QuicClient(("127.0.0.1", self.port), self.authority.file, library)
        self.clients.append(client)
        return await client.open()

    async def until_received(self, count: int) -> None:
        async with asyncio.timeout(LONG_S):
            while len(self.host.seen) < count:
                await asyncio.sleep(0.01)

    def answer_all(self) -> None:
        for seen in self.host.seen[-1:]:
            if (writer := self.host.open.get(seen.connection)) is not None:
                writer.write(ok(b"at last"))


@asynccontextmanager
async def run_dual_protocol_proxy(
    folder: Path, connections: int = 200, servers: int = 1, settings: dict[str, Any] | None = None
) -> AsyncIterator[DualProtocolProxy]:
    """Run a proxy with both frontends; `settings`: further entries of its settings file."""
    fixture = DualProtocolProxy(folder, connections)
    hosts = [await Host(f"h{i}").start() for i in range(servers)]
    fixture.host, environ = hosts[0], fixture.box.environ
    async with running(await Discovery().start(), hosts, environ=environ, more=settings) as proxy:
        fixture.proxy = proxy
        try:
            yield fixture
        finally:
            for client in fixture.clients:
                client.close()


def test_both_protocols_share_validation(tmp_path: Path) -> None:
    async def scene() -> None:
        async with run_dual_protocol_proxy(tmp_path) as b:
            http1, http3 = await b.proxy.client(), await b.client()
            first = await http1.ask("/keyed")
            assert first.status == 200 and first.headers["alt-svc"] == f'h3=":{b.port}"; ma=3600'
            assert (await http3.ask("/keyed?obj=7", b"y")).status == 200
            received = b.host.seen[-1].message
            assert received.start == "POST /keyed?obj=7 HTTP/1.1" and received.body == b"y"
            b.host.respond = never
            # A request id that is open on one protocol is refused on the other.
            name = http1.next_id
            http1.send("/unsafe")
            await b.until_received(3)
            assert (await http3.ask("/unsafe", x_request_id=name)).status == 409
            b.answer_all()
            assert (await http1.read()).status == 200
            number = http3.send("/unsafe", x_request_id="mine")
            await b.until_received(4)
            other = await b.proxy.client()
            other.writer.write(
                b"POST /unsafe HTTP/1.1\r\nHost: x\r\nX-Request-ID: mine\r\nContent-Length: 0\r\n\r\n"
            )
            assert (await other.read()).status == 409
            line = await b.box.connect()
            assert (await line.result("status"))["clients"] >= 2
            b.answer_all()
            assert (await http3.reply(number)).status == 200
            assert len(b.host.seen) == 4

    asyncio.run(scene())


def test_sigterm_with_100_open_streams_loses_no_request(tmp_path: Path) -> None:
    async def scene() -> None:
        async with run_dual_protocol_proxy(tmp_path) as b:
            b.host.respond = never
            clients = [await b.client(library) for library in ("qh3", "aioquic", "qh3", "aioquic")]
            numbers = [(c, c.send("/unsafe", x_timeout_ms="20000")) for c in clients for _ in range(25)]
            await b.until_received(1)
            b.proxy.process.send_signal(signal.SIGTERM)
            await clients[0].until(
                lambda: len(clients[0].goaway_bounds) == 2
            )  # the announcement, then the drain
            late = clients[0].send("/unsafe")
            assert (await clients[0].reply(late)).reset == 0x10B
            b.host.respond = answer_at_last
            b.answer_all()
            replies = [await client.reply(number) for client, number in numbers]
            assert all(reply.ended for reply in replies)  # one final answer each
            statuses = {reply.status for reply in replies}
            assert 200 in statuses and statuses <= {200, 503}
            assert await b.proxy.ended() == 0
            ids = [seen.message.headers["x-request-id"] for seen in b.host.seen]
            assert len(ids) == len(set(ids)) == sum(reply.status == 200 for reply in replies)

    asyncio.run(scene())


async def answer_at_last(seen: Any, writer: asyncio.StreamWriter) -> None:
    writer.write(ok(b"at last"))


def test_sighup_replaces_the_certificate_and_a_bad_one_raises_an_alarm(tmp_path: Path) -> None:
    async def scene() -> None:
        async with run_dual_protocol_proxy(tmp_path) as b:
            old = await b.client()
            assert (await old.ask("/keyed")).status == 200
            b.authority = Authority(tmp_path, "another")
            b.authority.issue("localhost", "server")
            line = await b.box.connect()
            b.proxy.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(LONG_S):
                while True:
                    try:
                        async with asyncio.timeout(2):
                            new = await b.client("aioquic")
                            break
                    except (ConnectionError, TimeoutError):
                        await asyncio.sleep(0.05)
            assert (await new.ask("/keyed")).status == 200
            assert (await old.ask("/keyed")).status == 200  # an open connection keeps its own
            Path(b.files[1]).write_text("not a key")
            b.proxy.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(LONG_S):
                while not any("server.key" in text for text in (await line.result("status"))["alarms"]):
                    await asyncio.sleep(0.05)
            assert (await (await b.client()).ask("/keyed")).status == 200

    asyncio.run(scene())


@pytest.mark.parametrize(("change", "word"), [("certificate", "No such file"), ("key", "PRIVATE KEY")])
def test_unusable_file_ends_the_start_with_a_clear_message(tmp_path: Path, change: str, word: str) -> None:
    async def scene() -> None:
        fixture = DualProtocolProxy(tmp_path)
        if change == "certificate":
            Path(fixture.files[0]).unlink()
        else:
            Path(fixture.files[1]).write_bytes(Path(fixture.files[0]).read_bytes())
        with pytest.raises(RuntimeError, match=word):
            async with running(
                await Discovery().start(), [await Host("h0").start()], environ=fixture.box.environ
            ):
                pass

    asyncio.run(scene())
