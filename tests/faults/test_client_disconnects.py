"""A client that disconnects at any moment does not affect other clients.

The process is paused meanwhile, so that one iteration of its event loop finds both request and disconnect.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from cloverrouter.console.text import answer_lines
from cloverrouter.lab.peers import Discovery, Host, Proxy, Seen, ok, running
from tests.standins.appliance import running_appliance

ANSWER_DELAY_S = 0.6
CLOSE = "Connection: close\r\n"


def request(name: str, timeout_ms: int, extra: str = "", length: int = 0) -> bytes:
    return (
        f"POST /unsafe HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: {timeout_ms}\r\n"
        f"{extra}Content-Length: {length}\r\n\r\n"
    ).encode()


async def answer_slowly(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(ANSWER_DELAY_S)
    writer.write(ok())


@asynccontextmanager
async def proxy_with_slow_host() -> AsyncIterator[Proxy]:
    host, discovery = await Host("h0", answer_slowly).start(), await Discovery().start()
    async with running(discovery, [host]) as proxy:
        yield proxy


@asynccontextmanager
async def paused(proxy: Proxy) -> AsyncIterator[None]:
    """Pause the process with SIGSTOP; one iteration of its event loop then finds all that was sent."""
    proxy.signal(signal.SIGSTOP)
    yield
    proxy.signal(signal.SIGCONT)


def test_client_that_disconnects_before_its_refusal_does_not_end_the_process() -> None:
    """The refusal is written to a connection whose FIN has not been read: the kernel answers with RST, and
    `shutdown` raises ENOTCONN."""

    async def scene() -> None:
        async with proxy_with_slow_host() as proxy:
            other = await proxy.client()
            other.send("/unsafe")
            await asyncio.sleep(0.1)
            async with paused(proxy):
                for i in range(8):
                    client = socket.create_connection(proxy.endpoint)
                    client.sendall(request(f"r{i}", timeout_ms=1, extra=CLOSE))
                    client.close()
            assert (await other.read()).status == 200, proxy.log()
            assert (await other.ask("/unsafe")).status == 200, proxy.log()
            assert proxy.up, proxy.log()

    asyncio.run(scene())


def test_resets_by_clients_are_counted_for_operators() -> None:
    async def scene() -> None:
        hosts = [await Host("h0", answer_slowly).start()]
        async with running_appliance(hosts) as (box, proxy, _):
            async with paused(proxy):
                for i in range(8):
                    client = socket.create_connection(proxy.endpoint)
                    client.sendall(request(f"r{i}", timeout_ms=1, extra=CLOSE))
                    client.close()
            line = await box.connect()
            status = await line.result("status")
            assert status["contained_errors"] == {"client_half_close": 8}
            assert "errors contained: client_half_close 8" in answer_lines("status", status, 0.0)

    asyncio.run(scene())
