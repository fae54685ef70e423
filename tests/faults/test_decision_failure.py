"""Decisions that fail end the process, loudly; what its other clients are owed is answered all the same.

What a server has whole is waited for, up to its time. What never went out is refused (503: no effect); what
may have run and has no answer has failed (502).
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
from cloverrouter.proxy.shutdown import KILLED_S, LONGEST_S
from tests.faults.test_client_disconnects import request

COMMAND = [sys.executable, "-m", "tests.faults.failing_decisions"]
ANSWER_DELAY_S = 0.6
SLACK_S = 1.5  # of a busy machine, and for the interpreter to start and end


async def slowly(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(ANSWER_DELAY_S)
    writer.write(ok())


async def reset_slowly(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(ANSWER_DELAY_S)
    await reset(seen, writer)


@asynccontextmanager
async def proxy_before(respond: Callable[..., object]) -> AsyncIterator[tuple[Proxy, Host]]:
    host, discovery = await Host("h0", respond).start(), await Discovery().start()  # type: ignore[arg-type]
    async with running(discovery, [host], command=COMMAND) as proxy:
        yield proxy, host


async def under_way(proxy: Proxy, host: Host, target: str = "/unsafe", timeout_ms: int = 2500) -> Client:
    """A client whose request a server has."""
    client, before = await proxy.client(), len(host.seen)
    client.send(target, timeout_ms=timeout_ms)
    await host.wait(lambda: len(host.seen) > before)
    return client


async def fail(proxy: Proxy) -> Client:
    """The request at which the decisions fail."""
    client = await proxy.client()
    client.writer.write(b"GET /safe HTTP/1.1\r\nX-Request-ID: fatal\r\nX-Timeout-Ms: 2000\r\n\r\n")
    await proxy.logged("the decisions crashed")
    return client


async def ends_in_order(proxy: Proxy, within_s: float = LONGEST_S + KILLED_S) -> None:
    began_s = time.monotonic()
    assert await proxy.ended() == 1
    log = proxy.log()
    assert time.monotonic() - began_s < within_s + SLACK_S
    assert log.count("RuntimeError: made to fail\n") == 1, log
    for trouble in ("was destroyed", "Event loop is closed", "never awaited", "error_contained"):
        assert trouble not in log, log


def test_what_a_server_has_is_answered_and_all_else_refused() -> None:
    async def scene() -> None:
        async with proxy_before(slowly) as (proxy, host):
            waiting = [await under_way(proxy, host) for _ in range(3)]
            idle = await proxy.client()
            fatal = await fail(proxy)
            assert (await fatal.read()).status == 503
            assert [(await client.read()).status for client in waiting] == [200, 200, 200]
            assert await idle.reader.read() == b""
            await ends_in_order(proxy)
            assert len(host.seen) == 3

    asyncio.run(scene())


def test_those_that_have_connected_are_refused_and_not_reset() -> None:
    """Their requests lie in the listener's queue, or on connections that were being accepted."""

    async def scene() -> None:
        async with proxy_before(slowly) as (proxy, host):
            waiting = await under_way(proxy, host)
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
            await ends_in_order(proxy)

    asyncio.run(scene())


def test_what_may_have_run_has_failed() -> None:
    async def scene() -> None:
        async with proxy_before(reset_slowly) as (proxy, host):
            waiting = await under_way(proxy, host)
            await fail(proxy)
            assert (await waiting.read()).status == 502
            await ends_in_order(proxy)

    asyncio.run(scene())


@pytest.mark.parametrize("target", ["/unsafe", "/keyed"])
def test_server_that_hangs_keeps_nobody_past_the_time_given(target: str) -> None:
    async def scene() -> None:
        async with proxy_before(never) as (proxy, host):
            waiting = await under_way(proxy, host, target, timeout_ms=60_000)
            await fail(proxy)
            assert (await waiting.read()).status == 502
            await ends_in_order(proxy)

    asyncio.run(scene())


async def begin_and_hang(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(4):
        writer.write(b"8000\r\n" + bytes(0x8000) + b"\r\n")


def test_long_answer_that_stalls_keeps_the_process_no_longer() -> None:
    """Otherwise its server would have ten seconds."""

    async def scene() -> None:
        async with proxy_before(begin_and_hang) as (proxy, host):
            client = await under_way(proxy, host)
            assert (await client.reader.readline()).startswith(b"HTTP/1.1 200")
            await fail(proxy)
            await ends_in_order(proxy)

    asyncio.run(scene())


def test_requests_that_come_later_are_refused_and_end_their_connections() -> None:
    async def scene() -> None:
        async with proxy_before(slowly) as (proxy, host):
            kept = await under_way(proxy, host)
            kept.send("/unsafe")  # waits behind the first
            await fail(proxy)
            assert (await kept.read()).status == 200
            answer = await kept.read()
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            await ends_in_order(proxy)
            assert len(host.seen) == 1

    asyncio.run(scene())


def test_failure_during_a_drain() -> None:
    async def scene() -> None:
        async with proxy_before(slowly) as (proxy, host):
            waiting = await under_way(proxy, host)
            other = await proxy.client()
            proxy.signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            other.writer.write(b"GET /safe HTTP/1.1\r\nX-Request-ID: fatal\r\nX-Timeout-Ms: 2000\r\n\r\n")
            assert (await other.read()).status == 503
            assert (await waiting.read()).status == 200
            await ends_in_order(proxy)

    asyncio.run(scene())


def test_failure_at_the_start() -> None:
    async def scene() -> None:
        host, discovery = await Host("h0").start(), await Discovery().start()
        with pytest.raises(RuntimeError, match="did not come up"):
            async with running(discovery, [host], command=COMMAND, environ={"PROXY_FAILS_AT": "list"}):
                pass

    asyncio.run(scene())
