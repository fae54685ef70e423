"""Long bodies and answers: passed on as they come, within bounds, and told exactly as what they were."""

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
    RequestWhole,
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
from cloverrouter.proxy.keeping import MOST_EACH, Keeping
from cloverrouter.proxy.messages import MAX_BODY, MOST_BODY, Upload
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.values import replace
from cloverrouter.view import believed
from tests.driver import SAFE, SETTINGS, UNSAFE, Driver
from tests.test_upstream import FakeCall, until

LONG = os.urandom(3 << 20)
LARGE = 24 << 20


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
        ok(LONG),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG),
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG,
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nCONTENT-LENGTH: %d \r\n\r\n" % len(LONG) + LONG,
    ],
    ids=["length", "chunks", "to the end", "interim ahead"],
)
@pytest.mark.parametrize("size", [len(LONG), MAX_BODY + 1, MAX_BODY, 5])
def test_answer_of_any_framing_and_size_comes_whole(answer: bytes, size: int) -> None:
    body = LONG[:size]
    if size < len(LONG):
        head, _, _ = answer.rpartition(b"\r\n\r\n" + LONG)
        if b"chunked" in answer:
            answer = answer.partition(b"\r\n\r\n")[0] + b"\r\n\r\n" + chunked(body)
        else:
            answer = head.replace(b"%d" % len(LONG), b"%d" % size) + b"\r\n\r\n" + body

    async def scene() -> None:
        async with scene_with(raw(answer, close=b"Connection: close" in answer)) as (proxy, hosts):
            client = await proxy.client()
            for _ in range(2):  # the connections go on being of use
                got = await client.ask("/unsafe")
                assert (got.status, got.body) == (200, body)
            assert len(hosts[0].seen) == 2

    asyncio.run(scene())


def test_client_of_http_1_0_gets_a_long_answer_up_to_its_end() -> None:
    async def scene() -> None:
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG)
        async with scene_with(raw(answer)) as (proxy, _):
            client = await proxy.client()
            client.writer.write(b"POST /unsafe HTTP/1.0\r\nX-Request-ID: 1\r\nContent-Length: 0\r\n\r\n")
            head, _, body = (await client.reader.read()).partition(b"\r\n\r\n")
            assert b"chunked" not in head and body == LONG

    asyncio.run(scene())


@pytest.mark.parametrize("framing", ["length", "chunks", "to the end"])
def test_answer_cut_off_under_way_is_recognised_and_not_sent_again(framing: str) -> None:
    head = {"length": f"Content-Length: {len(LONG)}", "chunks": "Transfer-Encoding: chunked",
            "to the end": "Connection: close"}[framing]  # fmt: skip
    part = chunked(LONG)[: len(LONG) // 2] if framing == "chunks" else LONG[: len(LONG) // 2]

    async def breaks(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n\r\n".encode() + part)
        await writer.drain()
        await asyncio.sleep(0.2)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))  # as if it had died
        writer.transport.abort()

    async def scene() -> None:
        async with scene_with(breaks, breaks) as (proxy, hosts):
            client = await proxy.client()
            client.send("/keyed")
            with pytest.raises(asyncio.IncompleteReadError):
                await client.read()
            assert sum(len(host.seen) for host in hosts) == 1
            assert proxy.up

    asyncio.run(scene())


def test_answer_with_no_end_is_cut_off() -> None:
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


def test_slow_reader_of_a_large_answer_costs_little_memory_and_no_host_its_standing() -> None:
    async def large(seen: Seen, writer: asyncio.StreamWriter) -> None:
        if seen.message.body != b"large":
            await answer_ok(seen, writer)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE)
        for _ in range(LARGE >> 16):
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
            await asyncio.sleep(1.0)  # nobody reads
            # Four that do not read take none of the one host's room.
            begun = time.monotonic()
            assert (await (await proxy.client()).ask("/unsafe")).status == 200
            assert time.monotonic() - begun < 1.0
            for client in readers:
                assert len(await client.reader.readexactly(LARGE)) == LARGE
            assert resident_mb(proxy) - before < 8

    asyncio.run(scene())


# Bodies


@pytest.mark.parametrize("size", [len(LONG), MOST_EACH + 1, MOST_EACH, MAX_BODY + 1])
@pytest.mark.parametrize("with_length", [True, False])
def test_body_of_any_size_comes_whole_in_pieces_of_any_size(size: int, with_length: bool) -> None:
    body = LONG[:size]

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


def test_body_that_was_held_is_sent_again_and_one_passed_on_is_not() -> None:
    async def scene() -> None:
        turned = raw(b"HTTP/1.1 503 S\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        async with scene_with(turned, turned) as (proxy, hosts):
            client = await proxy.client()
            assert (await client.ask("/keyed", body=LONG[:MOST_EACH])).status == 503
            tried = sum(len(host.seen) for host in hosts)
            assert tried > 1
            assert {seen.message.body for host in hosts for seen in host.seen} == {LONG[:MOST_EACH]}
            client = await proxy.client()
            assert (await client.ask("/keyed", body=LONG)).status == 503  # it never ran
            assert sum(len(host.seen) for host in hosts) == tried + 1

    asyncio.run(scene())


@pytest.mark.parametrize(("respond", "status"), [(reset, 502), (never, 502)], ids=["reset", "silent"])
def test_passed_on_whole_it_may_have_run(respond: object, status: int) -> None:
    async def scene() -> None:
        async with scene_with(respond, respond) as (proxy, hosts):
            client = await proxy.client()
            begun = time.monotonic()
            assert (await client.ask("/keyed", body=LONG, timeout_ms=600)).status == status
            assert time.monotonic() - begun < 5  # its time runs from the last byte on
            assert sum(len(host.seen) for host in hosts) == 1

    asyncio.run(scene())


def test_host_that_breaks_before_the_last_byte_has_not_run_it() -> None:
    async def scene() -> None:
        server = await asyncio.start_server(breaks_early, "127.0.0.1", 0)
        host = Host("h")
        host.port = server.sockets[0].getsockname()[1]
        async with running(await Discovery().start(), [host]) as proxy:
            client = await proxy.client()
            client.send("/unsafe", body=LONG * 4)
            await asyncio.sleep(2.0)  # what it still sends must not overtake the answer
            assert (await client.read()).status == 503

    async def breaks_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(MAX_BODY)
        writer.transport.abort()

    asyncio.run(scene())


def test_client_that_leaves_or_stalls_under_way_ends_the_attempt() -> None:
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
                    % (leaves, len(LONG))
                    + LONG[: len(LONG) // 2]
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


def test_many_large_bodies_at_once_stay_within_memory() -> None:
    async def scene() -> None:
        digest = hashlib.sha256(bytes(LARGE)).hexdigest()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            got, left = hashlib.sha256(), LARGE
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
                    % (id(client), LARGE)
                )
                for _ in range(LARGE >> 16):
                    client.writer.write(bytes(1 << 16))
                    await client.writer.drain()
                assert (await client.read()).body == digest.encode()

            await asyncio.gather(*(send() for _ in range(3)))
            assert resident_mb(proxy) - before < 10

    asyncio.run(scene())


def test_body_over_all_bounds_is_turned_away_at_once() -> None:
    async def scene() -> None:
        async with scene_with(answer_ok) as (proxy, hosts):
            for framing in (f"Content-Length: {MOST_BODY + 1}", "Transfer-Encoding: chunked"):
                client = await proxy.client()
                head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: 1\r\n{framing}\r\n\r\n"
                client.writer.write(head.encode())
                if "chunked" in framing:
                    for _ in range(MOST_BODY >> 20):
                        client.writer.write(b"100000\r\n" + bytes(1 << 20) + b"\r\n")
                        await client.writer.drain()
                    client.writer.write(b"1\r\nx\r\n")
                assert (await client.read()).status == 413
            assert not hosts[0].seen

    asyncio.run(scene())


def test_slow_head_and_body_are_waited_for() -> None:
    async def scene() -> None:
        async with scene_with(answer_ok) as (proxy, hosts):
            client = await proxy.client()
            head = b"POST http://backend.local/unsafe?a=b HTTP/1.1\r\nX-Request-ID: 1\r\n"
            for piece in (head, b"Content-Length: 300000\r\n", b"\r\n"):
                client.writer.write(piece)
                await asyncio.sleep(0.6)
            for _ in range(60):  # 64 kB a second: longer than a head is given, and than any deadline
                client.writer.write(b"x" * 5000)
                await asyncio.sleep(0.075)
            assert (await client.read()).status == 200
            assert hosts[0].seen[0].message.start == "POST /unsafe?a=b HTTP/1.1"  # from the absolute form

    asyncio.run(scene())


def test_client_that_leaves_under_a_long_answer_frees_its_host() -> None:
    async def endless(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + LONG)
        await asyncio.sleep(0)

    async def scene() -> None:
        async with scene_with(endless) as (proxy, hosts):
            client = await proxy.client()
            client.send("/unsafe")
            await client.reader.readexactly(MAX_BODY)
            client.writer.transport.abort()
            async with asyncio.timeout(5):
                await hosts[0].wait(lambda: not hosts[0].open)

    asyncio.run(scene())


@pytest.mark.parametrize("answers", [True, False], ids=["half an answer", "no reading"])
def test_host_that_stops_under_way_is_given_up(answers: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Of a long answer nothing more comes, or of a long body nothing more is read."""
    monkeypatch.setattr(server_connection, "STALL_S", 0.3)
    cuts: list[str] = []

    class Taker:
        on_ready: Callable[[], None] | None = None

        def write(self, data: bytes) -> bool:
            return True

        def finish(self) -> None:
            cuts.append("finished")

        def cut(self) -> None:
            cuts.append("cut")

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG[:200_000])
        await asyncio.sleep(60)

    async def scene() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        port = server.sockets[0].getsockname()[1]
        carrier, call, ends = Upstream(8, 60_000, 1000), FakeCall(), list[Outcome]()
        if not answers:
            call.upload = Upload(LARGE, lambda: None, lambda: None)
            call.upload.feed(bytes(LARGE - 1))
        carrier.send(
            ("h", ("127.0.0.1", port)), call, 2000, lambda end, _: ends.append(end), lambda _: Taker()
        )
        await until(lambda: ends)
        assert ends == [Outcome.SPOILT if answers else Outcome.CONNECT_FAILED]
        assert cuts == (["cut"] if answers else [])

    asyncio.run(scene())


# Rules


@given(st.lists(st.tuples(st.integers(0, 3), st.one_of(st.none(), st.integers(0, 600_000))), max_size=60))
def test_what_is_held_stays_within_the_budget_and_all_is_given_back(
    steps: list[tuple[int, int | None]],
) -> None:
    keeping, claims = Keeping(300_000), dict.fromkeys(range(4), 0)
    for who, length in steps:
        now = MAX_BODY + 1 if length is None else min(MAX_BODY + 1, length)
        if keeping.may_hold(length, now, claims[who]):
            if now > MAX_BODY:
                claims[who] = keeping.claim(max(now, length or 0), claims[who])
        else:
            assert max(now, length or 0) > MAX_BODY  # what is short is held in any case
            claims[who] = keeping.claim(0, claims[who])
        assert 0 <= keeping.held == sum(claims.values()) <= keeping.budget
    for claim in claims.values():
        keeping.claim(0, claim)
    assert keeping.held == 0


def test_rest_of_a_body_waits_for_its_sink_and_goes_on_in_order() -> None:
    said: list[object] = []

    class Sink:
        room = True

        def more(self, data: bytes) -> bool:
            said.append(data)
            return self.room

        def whole(self) -> None:
            said.append("whole")

    upload = Upload(None, lambda: said.append("pause"), lambda: said.append("resume"))
    upload.feed(b"a")
    upload.feed(b"b")
    sink = Sink()
    upload.attach(sink)
    sink.room = False
    upload.feed(b"c")
    upload.go_on()
    upload.end()
    upload.go_on()  # nothing more comes: nothing is to be resumed
    assert said == ["pause", "pause", b"ab", "resume", b"c", "pause", "resume", "whole"]


LIMITED = replace(SETTINGS, classes=(SAFE, UNSAFE))


@pytest.mark.parametrize(
    ("outcome", "final"),
    [(Outcome.CONNECT_FAILED, Refuse), (Outcome.REJECTED, Refuse), (Outcome.RESET, Fail)],
)
def test_body_that_is_gone_is_never_sent_twice(outcome: Outcome, final: type) -> None:
    driver = Driver(LIMITED)
    first = driver.tell(RequestArrived(1, "safe", once=True, whole=False))
    assert [type(a) for a in first if isinstance(a, Send)] == [Send]
    # No time runs while it comes, and the server owes nothing yet.
    driver.wait(5 * SAFE.deadline_ms)
    assert all(e.in_flight == 0 and not e.silent for e in believed(driver.balancer, driver.now_ms).endpoints)
    driver.tell(RequestWhole(1, driver.now_ms + 800))
    assert sum(e.in_flight for e in believed(driver.balancer, driver.now_ms).endpoints) == 1
    last = driver.tell(AttemptEnded(1, 0, outcome, 5.0))
    assert [type(a) for a in last if isinstance(a, Send | Refuse | Fail)] == [final]


def test_held_request_lives_by_its_own_time_from_its_last_byte_on() -> None:
    driver = Driver(LIMITED, endpoints=())
    driver.tell(RequestArrived(1, "safe", once=True, whole=False))
    driver.wait(4 * SAFE.aim_ms)
    assert not [a for a in driver.log if isinstance(a, Refuse)]
    driver.tell(RequestWhole(1, driver.now_ms + SAFE.deadline_ms))
    driver.wait(2 * SAFE.aim_ms)
    assert [a.request_id for a in driver.log if isinstance(a, Refuse)] == [1]


def test_server_whose_long_answer_is_read_slowly_is_neither_busy_nor_silent() -> None:
    driver = Driver(LIMITED)
    driver.tell(RequestArrived(1, "unsafe"))
    driver.wait(20)
    driver.tell(StreamStarted(1, 0, 20.0))
    driver.wait(60_000)
    view = believed(driver.balancer, driver.now_ms)
    assert all(e.in_flight == 0 and e.healthy for e in view.endpoints)
    driver.tell(AttemptEnded(1, 0, Outcome.OK, 20.0, answered=True))
    assert all(e.in_flight == 0 for e in believed(driver.balancer, driver.now_ms).endpoints)
