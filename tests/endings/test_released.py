"""What a request and its attempts held is freed when they end, by reference counts alone.

The memory budget counts it as free by then. The garbage collector frees reference cycles by the number of
objects, not by their size, so that bodies in cycles take a process over its memory limit.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import suppress

import pytest

from cloverrouter.interface import (
    Idempotency,
    Limits,
    ListedEndpoint,
    ListKind,
    RequestClass,
    Send,
    Settings,
)
from cloverrouter.lab.peers import Respond, Seen, answer_ok, never, ok, raw, reset
from cloverrouter.proxy import server_pool
from cloverrouter.proxy.client_call import ClientCall
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.proxy.exchange import Exchange
from cloverrouter.proxy.late_answers import LateAnswer, StreamedShortAnswer
from cloverrouter.proxy.messages import Upload
from cloverrouter.proxy.open_requests import OpenAttempt, OpenRequest
from cloverrouter.proxy.wake import Loop
from tests.endings.test_gone import InProcessProxy, run_scene_with_cleanup, start_host
from tests.standins.collector import alive, collector_disabled
from tests.test_upstream import full_listener, until
from tests.test_waking_front import connect

SETTINGS = Settings(
    (
        RequestClass("unsafe", 6000, 9000, idempotency=Idempotency.UNSAFE),
        RequestClass("keyed", 6000, 9000, idempotency=Idempotency.KEYED, idempotency_window_ms=9000),
        RequestClass("safe", 6000, 9000, idempotency=Idempotency.SAFE),
    ),
    limits=Limits(max_attempts=3, connect_timeout_ms=300.0),
)
PARTS = (ClientCall, OpenRequest, OpenAttempt, Exchange, Upload, LateAnswer, StreamedShortAnswer)
SHORT_MS, LONG_MS = 150, 8000  # the time of a request
SETTLE_S = 0.1  # for the last steps of the loop after an end
BODY, LONG_BODY = b"x" * 5000, b"x" * 300_000
LONG_ANSWER = 200_000


@pytest.fixture(autouse=True)
def without_collector(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(server_pool, "REUSE_DELAY_S", 0.0)
    with collector_disabled():
        yield


def request(
    name: str, target: str = "/unsafe", body: bytes = BODY, timeout_ms: int = LONG_MS, framing: str = ""
) -> bytes:
    key = f"Idempotency-Key: {name}\r\n" if target == "/keyed" else ""
    method = "GET" if target == "/safe" else "POST"
    sent = b"" if method == "GET" else body
    length = framing or f"Content-Length: {len(sent)}"
    fields = f"X-Request-ID: {name}\r\n{key}X-Timeout-Ms: {timeout_ms}\r\n{length}\r\n\r\n"
    return f"{method} {target} HTTP/1.1\r\nHost: b\r\n{fields}".encode() + sent


async def read_some(loop: Loop, client: socket.socket, until_bytes: int = 1) -> bytes:
    """Read until so many bytes have come, or the connection has ended."""
    got = b""
    async with asyncio.timeout(10):
        with suppress(ConnectionError):
            while len(got) < until_bytes and (piece := await loop.sock_recv(client, 65536)):
                got += piece
    return got


async def answer_error(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(ok().replace(b"200 OK", b"500 Error"))


async def answer_long(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(ok(bytes(LONG_ANSWER)))


async def answer_with_connection_close(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(ok(head=b"Connection: close\r\n"))
    writer.close()


LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
Ending = tuple[Respond, bytes, bytes]  # the server, what a client sends, the beginning of what it gets

ENDINGS: dict[str, Ending] = {
    "served": (answer_ok, request("r0"), b"HTTP/1.1 200"),
    "served, chunked request": (
        answer_ok,
        request("r0", body=b"3\r\nabc\r\n0\r\n\r\n", framing="Transfer-Encoding: chunked"),
        b"HTTP/1.1 200",
    ),
    "served, keyed": (answer_ok, request("r0", "/keyed"), b"HTTP/1.1 200"),
    "served, safe": (answer_ok, request("r0", "/safe"), b"HTTP/1.1 200"),
    "server closes": (answer_with_connection_close, request("r0"), b"HTTP/1.1 200"),
    "server error": (answer_error, request("r0"), b"HTTP/1.1 502"),
    "server error, tried again": (answer_error, request("r0", "/keyed"), b"HTTP/1.1 502"),
    "server resets": (reset, request("r0"), b"HTTP/1.1 502"),
    "server resets, tried again": (reset, request("r0", "/safe"), b"HTTP/1.1 50"),
    "spoilt answer": (raw(b"HTTP/1.1 200 OK\r\n\r\n"), request("r0"), b"HTTP/1.1 502"),
    "time is over": (never, request("r0", timeout_ms=SHORT_MS), b"HTTP/1.1 502"),
    "time is over, keyed": (never, request("r0", "/keyed", timeout_ms=SHORT_MS), b"HTTP/1.1 502"),
    "long answer": (answer_long, request("r0"), b"HTTP/1.1 200"),
    "long answer, cut by its server": (
        raw(LONG_HEAD + bytes(1000), close=True),
        request("r0"),
        b"HTTP/1.1 200",
    ),
    "undeclared answer that stops": (
        raw(CHUNKED_HEAD + b"3\r\nabc\r\n"),
        request("r0", timeout_ms=SHORT_MS),
        b"HTTP/1.1 ",
    ),
    "streamed body": (answer_ok, request("r0", body=LONG_BODY), b"HTTP/1.1 200"),
    "streamed body, server resets": (reset, request("r0", body=LONG_BODY), b"HTTP/1.1 502"),
    "invalid request": (answer_ok, request("r0", timeout_ms=-1), b"HTTP/1.1 400"),
    "unknown class": (answer_ok, request("r0", "/none"), b"HTTP/1.1 404"),
}


# Guards against: an attempt that is over keeps its request, with body and connection, in a reference cycle.
@pytest.mark.parametrize("name", ENDINGS)
def test_request_is_freed_when_it_has_ended(name: str) -> None:
    respond, sent, expected = ENDINGS[name]

    async def scene(loop: Loop) -> None:
        proxy = await proxy_with(respond)
        client = connect(await proxy.listen())
        client.setblocking(False)
        await loop.sock_sendall(client, sent)
        got = await read_some(loop, client, LONG_ANSWER if "long answer" in name else 1)
        assert got.startswith(expected)
        await until(lambda: not proxy.node.busy and not proxy.node._requests)
        await asyncio.sleep(SETTLE_S)
        assert alive(*PARTS) == []
        client.close()

    run_scene_with_cleanup(scene)


async def proxy_with(respond: Respond) -> InProcessProxy:
    host = await start_host(respond)
    proxy = InProcessProxy(("127.0.0.1", host.port), SETTINGS)
    proxy.frontend.gate.classes = {cls.name: cls.idempotency for cls in SETTINGS.classes}
    proxy.frontend.buffer_budget.limit_bytes = 0  # long bodies are streamed
    return proxy


# Guards against: connections that are kept, and reused, hold the requests before.
def test_requests_of_a_kept_connection_are_freed_one_by_one() -> None:
    async def scene(loop: Loop) -> None:
        proxy = await proxy_with(answer_ok)
        client = connect(await proxy.listen())
        client.setblocking(False)
        for number in range(3):
            await loop.sock_sendall(client, request(f"r{number}"))
            assert b"200 OK" in await read_some(loop, client)
        await loop.sock_sendall(client, request("r3") + request("r4"))  # two at once
        await read_some(loop, client, 2 * len(ok()))
        await asyncio.sleep(SETTLE_S)
        assert alive(*PARTS) == []
        client.close()

    run_scene_with_cleanup(scene)


# Guards against: a client that leaves, in whatever state its request is, leaves the request behind in memory.
@pytest.mark.parametrize("state", ["sent", "connecting", "answer streamed", "body streamed", "waits behind"])
def test_request_is_freed_when_its_client_has_left(state: str) -> None:
    async def scene(loop: Loop) -> None:
        respond: Respond = raw(LONG_HEAD + bytes(1000)) if state == "answer streamed" else never
        listener, _fillers = full_listener()
        proxy = await proxy_with(respond)
        if state == "connecting":
            entry = HostEntry(ListedEndpoint("h0"), listener.getsockname())
            proxy.node.listed(ListKind.RESTORED, HostList(2, True, (entry,)))
        client = connect(await proxy.listen())
        client.setblocking(False)
        sent = request("r0", body=LONG_BODY)[:-1000] if state == "body streamed" else request("r0")
        await loop.sock_sendall(client, sent + (request("r1") if state == "waits behind" else b""))
        if state == "answer streamed":
            await read_some(loop, client)
        await until(lambda: proxy.node.busy)
        await asyncio.sleep(SETTLE_S)
        client.close()
        await until(lambda: not proxy.node.busy and not proxy.upstream._connecting)
        await asyncio.sleep(SETTLE_S)
        assert alive(*PARTS) == []
        listener.close()

    run_scene_with_cleanup(scene)


# Guards against: servers that can't be reached leave the attempts, and the errors of their connects, behind.
@pytest.mark.parametrize("kind", ["refuses", "silent"])
def test_request_is_freed_when_its_server_can_not_be_reached(kind: str) -> None:
    async def scene(loop: Loop) -> None:
        listener, _fillers = full_listener()
        closed = socket.create_server(("127.0.0.1", 0))
        address = listener.getsockname() if kind == "silent" else closed.getsockname()
        closed.close()
        proxy = InProcessProxy(address, SETTINGS)
        client = connect(await proxy.listen(), request("r0", timeout_ms=1000))
        client.setblocking(False)
        assert b"503" in await read_some(loop, client)
        await until(lambda: not proxy.upstream._connecting)
        await asyncio.sleep(SETTLE_S)
        assert alive(*PARTS) == []
        client.close()
        listener.close()

    run_scene_with_cleanup(scene)


# Guards against: an attempt that ends as it is started is kept by the timer of the time to send it.
def test_attempt_that_ends_at_once_is_freed() -> None:
    async def scene(loop: Loop) -> None:
        proxy = await proxy_with(never)
        proxy.upstream.set_max_open(0)  # no socket for it: it ends within `Carrier.send`
        client = connect(await proxy.listen(), request("r0", "/keyed"))
        client.setblocking(False)
        await until(lambda: proxy.node._requests)
        request_id = next(iter(proxy.node._requests))
        proxy.node._execute(Send(request_id, "h0", LONG_MS, begin_within_ms=LONG_MS / 2))
        proxy.node.answer_all_now()
        await read_some(loop, client)
        await asyncio.sleep(SETTLE_S)
        assert alive(*PARTS) == []
        client.close()

    run_scene_with_cleanup(scene)


# Guards against: what a shutdown gives up is kept by its timers and callbacks.
@pytest.mark.parametrize("respond", [never, raw(LONG_HEAD + bytes(1000))], ids=["unanswered", "streamed"])
@pytest.mark.parametrize(
    "end", [lambda proxy: proxy.node.answer_all_now(), lambda proxy: proxy.node.abandon_all()]
)
def test_request_is_freed_when_the_shutdown_ends_it(
    respond: Respond, end: Callable[[InProcessProxy], None]
) -> None:
    async def scene(loop: Loop) -> None:
        proxy = await proxy_with(respond)
        client = connect(await proxy.listen(), request("r0"))
        client.setblocking(False)
        await until(lambda: proxy.node.fully_sent_by_class())
        await asyncio.sleep(SETTLE_S)
        end(proxy)
        await asyncio.sleep(SETTLE_S)
        client.close()
        await until(lambda: not proxy.frontend.count)
        await asyncio.sleep(SETTLE_S)
        assert alive(*PARTS) == []

    run_scene_with_cleanup(scene)
