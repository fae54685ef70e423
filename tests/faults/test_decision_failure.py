"""An error in the decisions ends the process and is logged; other clients' open requests are answered first.

A request that a server has received is waited for until its deadline. One that was never sent is refused
(503: no effect); one that may have run and has no answer fails (502).
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from cloverrouter.lab.peers import Client, Discovery, Host, Proxy, Seen, never, ok, reset, running
from cloverrouter.proxy.shutdown import KILL_MARGIN_S, MAX_DEADLINE_S
from tests.faults.test_client_disconnects import request

COMMAND = [sys.executable, "-m", "tests.faults.failing_decisions"]
ANSWER_DELAY_S = 0.6
SLACK_S = 1.5  # for a busy machine and for the start and exit of the interpreter


async def answer_late(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(ANSWER_DELAY_S)
    writer.write(ok())


async def reset_late(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(ANSWER_DELAY_S)
    await reset(seen, writer)


@asynccontextmanager
async def proxy_before(respond: Callable[..., object]) -> AsyncIterator[tuple[Proxy, Host]]:
    host, discovery = await Host("h0", respond).start(), await Discovery().start()  # type: ignore[arg-type]
    async with running(discovery, [host], command=COMMAND) as proxy:
        yield proxy, host


async def request_in_flight(
    proxy: Proxy, host: Host, target: str = "/unsafe", timeout_ms: int = 2500
) -> Client:
    """Return a client whose request a server has received."""
    client, before = await proxy.client(), len(host.seen)
    client.send(target, timeout_ms=timeout_ms)
    await host.wait(lambda: len(host.seen) > before)
    return client


async def crash_decisions(proxy: Proxy) -> Client:
    """Send the request at which the decisions raise an error."""
    client = await proxy.client()
    client.writer.write(b"GET /safe HTTP/1.1\r\nX-Request-ID: fatal\r\nX-Timeout-Ms: 2000\r\n\r\n")
    await proxy.logged("the decisions crashed")
    return client


async def assert_orderly_exit(proxy: Proxy, within_s: float = MAX_DEADLINE_S + KILL_MARGIN_S) -> None:
    began_s = time.monotonic()
    assert await proxy.ended() == 1
    log = proxy.log()
    assert time.monotonic() - began_s < within_s + SLACK_S
    assert log.count("RuntimeError: made to fail\n") == 1, log
    for trouble in ("was destroyed", "Event loop is closed", "never awaited", "error_contained"):
        assert trouble not in log, log


def test_requests_at_servers_are_answered_and_others_refused() -> None:
    async def scene() -> None:
        async with proxy_before(answer_late) as (proxy, host):
            waiting = [await request_in_flight(proxy, host) for _ in range(3)]
            idle = await proxy.client()
            fatal = await crash_decisions(proxy)
            assert (await fatal.read()).status == 503
            assert [(await client.read()).status for client in waiting] == [200, 200, 200]
            assert await idle.reader.read() == b""
            await assert_orderly_exit(proxy)
            assert len(host.seen) == 3

    asyncio.run(scene())


def test_connected_clients_are_refused_and_not_reset() -> None:
    """Their requests are in the listen backlog or on connections that are being accepted."""

    async def scene() -> None:
        async with proxy_before(answer_late) as (proxy, host):
            waiting = await request_in_flight(proxy, host)
            proxy.signal(signal.SIGSTOP)
            first = socket.create_connection(proxy.endpoint)
            first.sendall(b"GET /safe HTTP/1.1\r\nX-Request-ID: fatal\r\nX-Timeout-Ms: 2000\r\n\r\n")
            queued = [socket.create_connection(proxy.endpoint) for _ in range(40)]
            for i, client in enumerate(queued):
                client.sendall(request(f"q{i}", timeout_ms=2500))
            proxy.signal(signal.SIGCONT)
            loop = asyncio.get_running_loop()
            for client in queued:
                client.setblocking(False)
                async with asyncio.timeout(10):
                    answer = await loop.sock_recv(client, 1000)
                assert answer.startswith((b"HTTP/1.1 503", b"HTTP/1.1 200")), (answer, proxy.log())
            assert (await waiting.read()).status == 200
            await assert_orderly_exit(proxy)

    asyncio.run(scene())


def test_request_that_may_have_run_fails() -> None:
    async def scene() -> None:
        async with proxy_before(reset_late) as (proxy, host):
            waiting = await request_in_flight(proxy, host)
            await crash_decisions(proxy)
            assert (await waiting.read()).status == 502
            await assert_orderly_exit(proxy)

    asyncio.run(scene())


@pytest.mark.parametrize("target", ["/unsafe", "/keyed"])
def test_unresponsive_server_does_not_delay_answers_past_the_exit_time(target: str) -> None:
    async def scene() -> None:
        async with proxy_before(never) as (proxy, host):
            waiting = await request_in_flight(proxy, host, target, timeout_ms=60_000)
            await crash_decisions(proxy)
            assert (await waiting.read()).status == 502
            await assert_orderly_exit(proxy)

    asyncio.run(scene())


async def begin_and_stall(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(4):
        writer.write(b"8000\r\n" + bytes(0x8000) + b"\r\n")


def test_stalled_long_answer_does_not_delay_the_exit() -> None:
    """Without a limit the server would have ten seconds to go on."""

    async def scene() -> None:
        async with proxy_before(begin_and_stall) as (proxy, host):
            client = await request_in_flight(proxy, host)
            assert (await client.reader.readline()).startswith(b"HTTP/1.1 200")
            await crash_decisions(proxy)
            await assert_orderly_exit(proxy)

    asyncio.run(scene())


def test_later_requests_are_refused_and_close_their_connections() -> None:
    async def scene() -> None:
        async with proxy_before(answer_late) as (proxy, host):
            client = await request_in_flight(proxy, host)
            client.send("/unsafe")  # queued behind the first
            await crash_decisions(proxy)
            assert (await client.read()).status == 200
            answer = await client.read()
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            await assert_orderly_exit(proxy)
            assert len(host.seen) == 1

    asyncio.run(scene())


def test_failure_during_a_drain() -> None:
    async def scene() -> None:
        async with proxy_before(answer_late) as (proxy, host):
            waiting = await request_in_flight(proxy, host)
            other = await proxy.client()
            proxy.signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            other.writer.write(b"GET /safe HTTP/1.1\r\nX-Request-ID: fatal\r\nX-Timeout-Ms: 2000\r\n\r\n")
            assert (await other.read()).status == 503
            assert (await waiting.read()).status == 200
            await assert_orderly_exit(proxy)

    asyncio.run(scene())


def test_failure_at_the_start() -> None:
    async def scene() -> None:
        host, discovery = await Host("h0").start(), await Discovery().start()
        with pytest.raises(RuntimeError, match="did not come up"):
            async with running(discovery, [host], command=COMMAND, environ={"PROXY_FAILS_AT": "list"}):
                pass

    asyncio.run(scene())
