"""Long request bodies and answers: streamed within memory limits, and reported with their true outcome."""

from __future__ import annotations

import asyncio
import hashlib
import os
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.interface import (
    AttemptEnded,
    Fail,
    Outcome,
    Refuse,
    RequestArrived,
    RequestCompleted,
    Send,
    StreamStarted,
)
from cloverrouter.lab.peers import (
    Discovery,
    Host,
    Proxy,
    Seen,
    answer_ok,
    never,
    ok,
    raw,
    reset,
    running,
)
from cloverrouter.proxy import server_connection
from cloverrouter.proxy.keeping import MAX_BUFFERED_BODY_BYTES, BufferBudget
from cloverrouter.proxy.messages import MAX_BODY_BYTES, STREAMING_THRESHOLD_BYTES, Upload
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.values import replace
from cloverrouter.view import balancer_view
from tests.driver import SAFE, SETTINGS, UNSAFE, Driver
from tests.test_upstream import FakeCall, until

LONG_BODY = os.urandom(3 << 20)
LARGE_BYTES = 24 << 20


@asynccontextmanager
async def scene_with(*responds: object, **how: object) -> AsyncIterator[tuple[Proxy, list[Host]]]:
    hosts = [await Host(f"h{i}", respond).start() for i, respond in enumerate(responds)]  # type: ignore[arg-type]
    async with running(await Discovery().start(), hosts, **how) as proxy:  # type: ignore[arg-type]
        yield proxy, hosts


def chunked(data: bytes, size: int = 50_000) -> bytes:
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    return b"".join(b"%x;x=y\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\nX-Trailer: 1\r\n\r\n"


def resident_mb(proxy: Proxy) -> float:
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


# Answers


@pytest.mark.parametrize(
    "answer",
    [
        ok(LONG_BODY),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG_BODY),
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG_BODY,
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nCONTENT-LENGTH: %d \r\n\r\n" % len(LONG_BODY)
        + LONG_BODY,
    ],
    ids=["length", "chunks", "to the end", "interim ahead"],
)
@pytest.mark.parametrize(
    "size", [len(LONG_BODY), STREAMING_THRESHOLD_BYTES + 1, STREAMING_THRESHOLD_BYTES, 5]
)
def test_answer_of_any_framing_and_size_is_complete(answer: bytes, size: int) -> None:
    body = LONG_BODY[:size]
    if size < len(LONG_BODY):
        head, _, _ = answer.rpartition(b"\r\n\r\n" + LONG_BODY)
        if b"chunked" in answer:
            answer = answer.partition(b"\r\n\r\n")[0] + b"\r\n\r\n" + chunked(body)
        else:
            answer = head.replace(b"%d" % len(LONG_BODY), b"%d" % size) + b"\r\n\r\n" + body

    async def scene() -> None:
        async with scene_with(raw(answer, close=b"Connection: close" in answer)) as (proxy, hosts):
            client = await proxy.client()
            for _ in range(2):  # the connections stay usable
                got = await client.ask("/unsafe")
                assert (got.status, got.body) == (200, body)
            assert len(hosts[0].seen) == 2

    asyncio.run(scene())


def test_http_1_0_client_gets_a_long_answer_delimited_by_close() -> None:
    async def scene() -> None:
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG_BODY)
        async with scene_with(raw(answer)) as (proxy, _):
            client = await proxy.client()
            client.writer.write(b"POST /unsafe HTTP/1.0\r\nX-Request-ID: 1\r\nContent-Length: 0\r\n\r\n")
            head, _, body = (await client.reader.read()).partition(b"\r\n\r\n")
            assert b"chunked" not in head and body == LONG_BODY

    asyncio.run(scene())


@pytest.mark.parametrize("framing", ["length", "chunks", "to the end"])
def test_truncated_answer_is_detected_and_not_retried(framing: str) -> None:
    head = {"length": f"Content-Length: {len(LONG_BODY)}", "chunks": "Transfer-Encoding: chunked",
            "to the end": "Connection: close"}[framing]  # fmt: skip
    part = (
        chunked(LONG_BODY)[: len(LONG_BODY) // 2] if framing == "chunks" else LONG_BODY[: len(LONG_BODY) // 2]
    )

    async def truncate(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n\r\n".encode() + part)
        await writer.drain()
        await asyncio.sleep(0.2)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )  # RST, as from a crashed host
        writer.transport.abort()

    async def scene() -> None:
        async with scene_with(truncate, truncate) as (proxy, hosts):
            client = await proxy.client()
            client.send("/keyed")
            with pytest.raises(asyncio.IncompleteReadError):
                await client.read()
            assert sum(len(host.seen) for host in hosts) == 1
            assert proxy.up

    asyncio.run(scene())


def test_endless_answer_is_truncated() -> None:
    async def endless(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"10000\r\n" + b"z" * 0x10000 + b"\r\n")
            await writer.drain()

    async def scene() -> None:
        async with scene_with(endless) as (proxy, _):
            client = await proxy.client()
            client.send("/unsafe")
            with pytest.raises(asyncio.IncompleteReadError):
                await client.read()

    asyncio.run(scene())


def test_slow_readers_of_large_answers_take_little_memory_and_no_capacity() -> None:
    async def large(seen: Seen, writer: asyncio.StreamWriter) -> None:
        if seen.message.body != b"large":
            await answer_ok(seen, writer)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES)
        for _ in range(LARGE_BYTES >> 16):
            writer.write(bytes(1 << 16))
            await writer.drain()

    async def scene() -> None:
        async with scene_with(large) as (proxy, _):
            assert (await (await proxy.client()).ask("/unsafe")).status == 200
            before = resident_mb(proxy)
            readers = [await proxy.client() for _ in range(4)]
            for client in readers:
                client.send("/unsafe", body=b"large")
                await client.reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(1.0)  # none of the four reads
            # Streams that are not read don't count against the concurrency limit of the only host.
            begun = time.monotonic()
            assert (await (await proxy.client()).ask("/unsafe")).status == 200
            assert time.monotonic() - begun < 1.0
            for client in readers:
                assert len(await client.reader.readexactly(LARGE_BYTES)) == LARGE_BYTES
            assert resident_mb(proxy) - before < 8

    asyncio.run(scene())


# Bodies


@pytest.mark.parametrize(
    "size",
    [len(LONG_BODY), MAX_BUFFERED_BODY_BYTES + 1, MAX_BUFFERED_BODY_BYTES, STREAMING_THRESHOLD_BYTES + 1],
)
@pytest.mark.parametrize("with_length", [True, False])
def test_body_of_any_size_arrives_complete(size: int, with_length: bool) -> None:
    body = LONG_BODY[:size]

    async def scene() -> None:
        async with scene_with(answer_ok) as (proxy, hosts):
            client = await proxy.client()
            for number in range(2):
                framing = f"Content-Length: {size}" if with_length else "Transfer-Encoding: chunked"
                head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: {number}\r\n{framing}\r\n\r\n"
                data = head.encode() + (body if with_length else chunked(body, 30_011))
                for i in range(0, len(data), 70_001):
                    client.writer.write(data[i : i + 70_001])
                    await asyncio.sleep(0.001)
                assert (await client.read()).status == 200
            assert [seen.message.body == body for seen in hosts[0].seen] == [True, True]

    asyncio.run(scene())


def test_buffered_body_is_retried_and_streamed_one_is_not() -> None:
    async def scene() -> None:
        rejected = raw(b"HTTP/1.1 503 S\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        async with scene_with(rejected, rejected) as (proxy, hosts):
            client = await proxy.client()
            assert (await client.ask("/keyed", body=LONG_BODY[:MAX_BUFFERED_BODY_BYTES])).status == 503
            attempts = sum(len(host.seen) for host in hosts)
            assert attempts > 1
            assert {seen.message.body for host in hosts for seen in host.seen} == {
                LONG_BODY[:MAX_BUFFERED_BODY_BYTES]
            }
            client = await proxy.client()
            assert (await client.ask("/keyed", body=LONG_BODY)).status == 503  # it never ran
            assert sum(len(host.seen) for host in hosts) == attempts + 1

    asyncio.run(scene())


@pytest.mark.parametrize(("respond", "status"), [(reset, 502), (never, 502)], ids=["reset", "silent"])
def test_request_with_a_completely_streamed_body_may_have_run(respond: object, status: int) -> None:
    async def scene() -> None:
        async with scene_with(respond, respond) as (proxy, hosts):
            client = await proxy.client()
            begun = time.monotonic()
            assert (await client.ask("/keyed", body=LONG_BODY, timeout_ms=600)).status == status
            assert time.monotonic() - begun < 5  # its deadline starts at the last byte
            assert sum(len(host.seen) for host in hosts) == 1

    asyncio.run(scene())


def test_host_that_disconnects_before_the_last_byte_has_not_run_it() -> None:
    async def scene() -> None:
        server = await asyncio.start_server(disconnect_early, "127.0.0.1", 0)
        host = Host("h")
        host.port = server.sockets[0].getsockname()[1]
        async with running(await Discovery().start(), [host]) as proxy:
            client = await proxy.client()
            client.send("/unsafe", body=LONG_BODY * 4)
            await asyncio.sleep(2.0)  # input that follows must not cause a reset that loses the answer
            assert (await client.read()).status == 503

    async def disconnect_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(STREAMING_THRESHOLD_BYTES)
        writer.transport.abort()

    asyncio.run(scene())


def test_client_that_disconnects_or_stalls_during_upload_ends_the_attempt() -> None:
    async def scene() -> None:
        connected = asyncio.Queue[asyncio.StreamReader]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connected.put_nowait(reader)
            await reader.read(-1)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host = Host("h")
        host.port = server.sockets[0].getsockname()[1]
        async with running(await Discovery().start(), [host]) as proxy:
            for leaves in (True, False):
                client = await proxy.client()
                client.writer.write(
                    b"POST /unsafe HTTP/1.1\r\nX-Request-ID: %d\r\nContent-Length: %d\r\n\r\n"
                    % (leaves, len(LONG_BODY))
                    + LONG_BODY[: len(LONG_BODY) // 2]
                )
                reader = await connected.get()
                if leaves:
                    client.writer.transport.abort()
                else:
                    assert (await client.read()).status == 408
                async with asyncio.timeout(10):
                    while not reader.at_eof():
                        await asyncio.sleep(0.02)

    asyncio.run(scene())


def test_concurrent_large_bodies_take_little_memory() -> None:
    async def scene() -> None:
        digest = hashlib.sha256(bytes(LARGE_BYTES)).hexdigest()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            got, left = hashlib.sha256(), LARGE_BYTES
            while left:
                data = await reader.read(min(left, 100_000))
                got.update(data)
                left -= len(data)
                await asyncio.sleep(0.001)
            writer.write(ok(got.hexdigest().encode()))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host = Host("h")
        host.port = server.sockets[0].getsockname()[1]
        async with running(await Discovery().start(), [host]) as proxy:
            before = resident_mb(proxy)

            async def send() -> None:
                client = await proxy.client()
                client.writer.write(
                    b"POST /unsafe HTTP/1.1\r\nX-Request-ID: %d\r\nContent-Length: %d\r\n\r\n"
                    % (id(client), LARGE_BYTES)
                )
                for _ in range(LARGE_BYTES >> 16):
                    client.writer.write(bytes(1 << 16))
                    await client.writer.drain()
                assert (await client.read()).body == digest.encode()

            await asyncio.gather(*(send() for _ in range(3)))
            assert resident_mb(proxy) - before < 10

    asyncio.run(scene())


def test_body_over_the_size_limit_is_rejected() -> None:
    async def scene() -> None:
        async with scene_with(answer_ok) as (proxy, hosts):
            for framing in (f"Content-Length: {MAX_BODY_BYTES + 1}", "Transfer-Encoding: chunked"):
                client = await proxy.client()
                head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: 1\r\n{framing}\r\n\r\n"
                client.writer.write(head.encode())
                if "chunked" in framing:
                    for _ in range(MAX_BODY_BYTES >> 20):
                        client.writer.write(b"100000\r\n" + bytes(1 << 20) + b"\r\n")
                        await client.writer.drain()
                    client.writer.write(b"1\r\nx\r\n")
                assert (await client.read()).status == 413
            assert not hosts[0].seen

    asyncio.run(scene())


def test_slow_head_and_body_are_accepted() -> None:
    async def scene() -> None:
        async with scene_with(answer_ok) as (proxy, hosts):
            client = await proxy.client()
            head = b"POST http://backend.local/unsafe?a=b HTTP/1.1\r\nX-Request-ID: 1\r\n"
            for piece in (head, b"Content-Length: 300000\r\n", b"\r\n"):
                client.writer.write(piece)
                await asyncio.sleep(0.6)
            for _ in range(60):  # 64 kB a second: takes longer than the limit for a head and any deadline
                client.writer.write(b"x" * 5000)
                await asyncio.sleep(0.075)
            assert (await client.read()).status == 200
            assert hosts[0].seen[0].message.start == "POST /unsafe?a=b HTTP/1.1"  # from the absolute form

    asyncio.run(scene())


def test_client_that_disconnects_during_a_long_answer_frees_its_host() -> None:
    async def endless(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES + LONG_BODY)
        await asyncio.sleep(0)

    async def scene() -> None:
        async with scene_with(endless) as (proxy, hosts):
            client = await proxy.client()
            client.send("/unsafe")
            await client.reader.readexactly(STREAMING_THRESHOLD_BYTES)
            client.writer.transport.abort()
            async with asyncio.timeout(5):
                await hosts[0].wait(lambda: not hosts[0].open)

    asyncio.run(scene())


@pytest.mark.parametrize("answers", [True, False], ids=["half an answer", "no reading"])
def test_attempt_on_a_stalled_host_is_aborted(answers: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """The host stops sending a long answer, or stops reading a long body."""
    monkeypatch.setattr(server_connection, "STALL_TIMEOUT_S", 0.3)
    stream_ends: list[str] = []

    class RecordingSink:
        on_ready: Callable[[], None] | None = None

        def write(self, data: bytes) -> bool:
            return True

        def finish(self) -> None:
            stream_ends.append("finished")

        def abort(self) -> None:
            stream_ends.append("cut")

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:200_000]
            )
        await asyncio.sleep(60)

    async def scene() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        port = server.sockets[0].getsockname()[1]
        carrier, call, outcomes = Upstream(8, 60_000, 1000), FakeCall(), list[Outcome]()
        if not answers:
            call.upload = Upload(LARGE_BYTES, lambda: None, lambda: None)
            call.upload.feed(bytes(LARGE_BYTES - 1))
        carrier.send(
            ("h", ("127.0.0.1", port)),
            call,
            2000,
            lambda end, _: outcomes.append(end),
            lambda _: RecordingSink(),
        )
        await until(lambda: outcomes)
        assert outcomes == [Outcome.SPOILT if answers else Outcome.CONNECT_FAILED]
        assert stream_ends == (["cut"] if answers else [])

    asyncio.run(scene())


# Rules


@given(st.lists(st.tuples(st.integers(0, 3), st.one_of(st.none(), st.integers(0, 600_000))), max_size=60))
def test_buffered_bytes_stay_within_the_budget_and_are_released(
    steps: list[tuple[int, int | None]],
) -> None:
    budget, reservations = BufferBudget(300_000), dict.fromkeys(range(4), 0)
    for connection, length in steps:
        now = STREAMING_THRESHOLD_BYTES + 1 if length is None else min(STREAMING_THRESHOLD_BYTES + 1, length)
        if budget.may_buffer(length, now, reservations[connection]):
            if now > STREAMING_THRESHOLD_BYTES:
                reservations[connection] = budget.reserve(max(now, length or 0), reservations[connection])
        else:
            assert max(now, length or 0) > STREAMING_THRESHOLD_BYTES  # short bodies are always buffered
            reservations[connection] = budget.reserve(0, reservations[connection])
        assert 0 <= budget.reserved_bytes == sum(reservations.values()) <= budget.limit_bytes
    for reservation in reservations.values():
        budget.reserve(0, reservation)
    assert budget.reserved_bytes == 0


def test_rest_of_a_body_waits_for_its_sink_and_keeps_its_order() -> None:
    events: list[object] = []

    class Sink:
        has_capacity = True
        unsent_bytes = 0

        def write_body(self, data: bytes) -> bool:
            events.append(data)
            return self.has_capacity

        def finish_body(self) -> None:
            events.append("whole")

    upload = Upload(None, lambda: events.append("pause"), lambda: events.append("resume"))
    upload.feed(b"a")
    upload.feed(b"b")
    sink = Sink()
    upload.attach(sink)
    sink.has_capacity = False
    upload.feed(b"c")
    upload.resume()
    upload.end()
    upload.resume()  # no effect after the end of the body
    assert events == ["pause", "pause", b"ab", "resume", b"c", "pause", "resume", "whole"]


LIMITED = replace(SETTINGS, classes=(SAFE, UNSAFE))


@pytest.mark.parametrize(
    ("outcome", "final"),
    [(Outcome.CONNECT_FAILED, Refuse), (Outcome.REJECTED, Refuse), (Outcome.RESET, Fail)],
)
def test_streamed_body_is_never_sent_twice(outcome: Outcome, final: type) -> None:
    driver = Driver(LIMITED)
    first = driver.dispatch(RequestArrived(1, "safe", single_attempt=True, complete=False))
    assert [type(a) for a in first if isinstance(a, Send)] == [Send]
    # While the body is streamed, no deadline runs and the server has nothing to answer.
    driver.wait(5 * SAFE.deadline_ms)
    assert all(
        e.in_flight == 0 and not e.unresponsive
        for e in balancer_view(driver.balancer, driver.now_ms).endpoints
    )
    driver.dispatch(RequestCompleted(1, driver.now_ms + 800))
    assert sum(e.in_flight for e in balancer_view(driver.balancer, driver.now_ms).endpoints) == 1
    last = driver.dispatch(AttemptEnded(1, 0, outcome, 5.0))
    assert [type(a) for a in last if isinstance(a, Send | Refuse | Fail)] == [final]


def test_deadline_of_a_queued_upload_starts_at_its_last_byte() -> None:
    driver = Driver(LIMITED, endpoints=())
    driver.dispatch(RequestArrived(1, "safe", single_attempt=True, complete=False))
    driver.wait(4 * SAFE.aim_ms)
    assert not [a for a in driver.log if isinstance(a, Refuse)]
    driver.dispatch(RequestCompleted(1, driver.now_ms + SAFE.deadline_ms))
    driver.wait(2 * SAFE.aim_ms)
    assert [a.request_id for a in driver.log if isinstance(a, Refuse)] == [1]


def test_server_with_a_slowly_read_answer_is_neither_busy_nor_unresponsive() -> None:
    driver = Driver(LIMITED)
    driver.dispatch(RequestArrived(1, "unsafe"))
    driver.wait(20)
    driver.dispatch(StreamStarted(1, 0, 20.0))
    driver.wait(60_000)
    view = balancer_view(driver.balancer, driver.now_ms)
    assert all(e.in_flight == 0 and e.healthy for e in view.endpoints)
    driver.dispatch(AttemptEnded(1, 0, Outcome.OK, 20.0, answered=True))
    assert all(e.in_flight == 0 for e in balancer_view(driver.balancer, driver.now_ms).endpoints)
