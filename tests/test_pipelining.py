"""Commands sent at once on one connection: each gets one final answer, in order, in a body of its own."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from pathlib import Path
from typing import cast

import pytest

from cloverrouter.lab.peers import (
    Client,
    Discovery,
    Host,
    Message,
    Proxy,
    Seen,
    answer_ok,
    never,
    ok,
    read_message,
    running,
)
from cloverrouter.proxy import client_connection
from cloverrouter.proxy.client_connection import MAX_QUEUED_BYTES, READ_BUFFER_BYTES, AnswerUnfinishedError
from cloverrouter.proxy.keeping import MAX_BUFFERED_BODY_BYTES
from cloverrouter.proxy.messages import Answer
from cloverrouter.proxy.rejections import Rejection, encode_last_answers
from cloverrouter.proxy.wake import Loop
from tests.test_clients import ANSWER_LIMIT_S, INVALID_REQUESTS, LONG_DEADLINES, fleet, post, read_to_end
from tests.test_upstream import until
from tests.test_wake import run_scene
from tests.test_waking_front import request, start_frontend

LATE_S = 0.5  # after its time, an answer only earns nothing for so long
LONG_ANSWER_BYTES = 150_000  # more than is buffered
LAST_PIECE_BYTES = 40
BODY_BYTES = 2 * MAX_BUFFERED_BODY_BYTES
WAIT_S = 30.0


def command(request_id: str, body: bytes = b"", timeout_ms: int = 2500, target: str = "/unsafe") -> bytes:
    return post(target, f"X-Request-ID: {request_id}\r\nX-Timeout-Ms: {timeout_ms}\r\n", body)


def made_for(seen: Seen) -> bytes:
    return seen.message.headers["x-request-id"].encode()


async def echo(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Answer with the request's id."""
    writer.write(ok(made_for(seen)))


def long_body(request_id: str) -> bytes:
    text = f"made for {request_id};".encode()
    return text * (LONG_ANSWER_BYTES // len(text))


async def long_if_asked(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Answer with a long body in two pieces if the target says so, else with the request's id."""
    if "long" not in seen.message.start:
        await echo(seen, writer)
        return
    answer = ok(long_body(made_for(seen).decode()))
    writer.write(answer[:-LAST_PIECE_BYTES])
    await asyncio.sleep(0.3)
    writer.write(answer[-LAST_PIECE_BYTES:])


async def read(client: Client) -> Message:
    async with asyncio.timeout(WAIT_S):
        return await client.read()


def memory_mb(proxy: Proxy) -> float:
    lines = Path(f"/proc/{proxy.process.pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) / 1024


class DiscardedBody:
    """A host that takes all of a body."""

    unsent_bytes = 0

    def write_body(self, data: bytes) -> bool:
        return True

    def finish_body(self) -> None:
        pass


# Errors behind calls


@pytest.mark.parametrize("name", ["unknown class", "wrong method", "noise", "two ids", "no id"])
def test_invalid_command_is_answered_after_a_streamed_answer(name: str) -> None:
    """Guards against an error that is written into the body of an answer, which its client takes as whole."""
    data, status = INVALID_REQUESTS[name]

    async def scene() -> None:
        discovery, hosts = await fleet(long_if_asked)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.writer.write(command("first", target="/unsafe?obj=long"))
            await client.reader.readuntil(b"\r\n\r\n")  # the answer has begun
            body = long_body("first")
            begun = await client.reader.readexactly(1000)
            client.writer.write(data)
            assert begun + await client.reader.readexactly(len(body) - 1000) == body
            assert (await read(client)).start.split()[1] == str(status)
            assert await read_to_end(client) == b""

    asyncio.run(scene())


@pytest.mark.parametrize("name", ["unknown class", "wrong method", "two ids", "noise"])
def test_invalid_command_leaves_those_before_it_their_answers(name: str) -> None:
    """Guards against valid commands that are dropped because of a later one of the same connection."""
    data, status = INVALID_REQUESTS[name]

    async def scene() -> None:
        discovery, hosts = await fleet(echo)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            commands = [command(f"c{i}") for i in range(3)]
            # Bytes that are no request may belong to the command right before them, which must not run.
            kept = 2 if name == "noise" else 3
            client.writer.write(b"".join(commands) + data + command("behind"))
            answers = [await read(client) for _ in range(kept)]
            assert [(a.status, a.body) for a in answers] == [(200, f"c{i}".encode()) for i in range(kept)]
            assert (await read(client)).status == status
            assert await read_to_end(client) == b""
            assert [made_for(seen) for seen in hosts[0].seen] == [f"c{i}".encode() for i in range(kept)]

    asyncio.run(scene())


@pytest.mark.parametrize("length", [150_000, None])
def test_fault_of_a_body_whose_answer_has_begun_cuts_the_connection(length: int | None) -> None:
    """Guards against an error within the answer to the same request, which began before its body ended."""

    async def scene(loop: Loop) -> None:
        _, handler, address = await start_frontend(loop, 8)
        with socket.create_connection(address, 10.0) as client:
            head = b"POST /unsafe HTTP/1.1\r\nX-Request-ID: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            sending = loop.run_in_executor(
                None, client.sendall, head + b"%x\r\n" % BODY_BYTES + b"y" * BODY_BYTES
            )
            await until(lambda: handler.calls)
            call = handler.calls[0]
            call.upload.attach(DiscardedBody())
            sink = call.begin(Answer(200, b"", b"", False, None, length))
            sink.write(b"x" * 1000)
            await sending
            client.sendall(b"no end of a chunk")
            await until(lambda: not handler.calls)
            got = b""
            with contextlib.suppress(ConnectionResetError):
                while piece := await loop.run_in_executor(None, client.recv, 65536):
                    got += piece
            assert got.count(b"HTTP/1.1 ") == 1 and got.count(b"x") == 1000
            assert got.rstrip(b"\r\n").endswith(b"x") and not got.endswith(b"0\r\n\r\n")

    run_scene(scene)


def test_no_answer_begins_within_another() -> None:
    """Guards against any path that writes a second status line while a body is open."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        with socket.create_connection(address, 10.0) as client:
            client.sendall(request("r0"))
            await until(lambda: handler.calls)
            sink = handler.calls[0].begin(Answer(200, b"", b"", False, None, 10))
            (connection,) = frontend._connections
            with pytest.raises(AnswerUnfinishedError):
                connection._write_head(b"HTTP/1.1 503 Service Unavailable\r\n\r\n")
            sink.write(b"x" * 10)
            sink.finish()
            connection._write_head(b"")
            assert (await loop.run_in_executor(None, client.recv, 65536)).endswith(b"\r\n\r\n" + b"x" * 10)

    run_scene(scene)


def test_error_behind_a_call_that_takes_long_still_comes_in_time() -> None:
    """Guards against an invalid command that waits for as long as the calls before it may take."""

    async def scene() -> None:
        discovery, hosts = await fleet(never)
        async with running(discovery, hosts, settings=LONG_DEADLINES) as proxy:
            client = await proxy.client()
            client.writer.write(command("open", timeout_ms=60_000) + command("queued", timeout_ms=60_000))
            await hosts[0].wait(lambda: len(hosts[0].seen) == 1)
            begun_s = time.monotonic()
            client.writer.write(INVALID_REQUESTS["unknown class"][0])
            # The open call may have run, so it fails; the queued one has not, and is refused.
            assert [(await read(client)).status for _ in range(3)] == [502, 503, 404]
            assert time.monotonic() - begun_s < ANSWER_LIMIT_S
            assert await read_to_end(client) == b""
            await hosts[0].wait(lambda: not hosts[0].open)
            assert len(hosts[0].seen) == 1

    asyncio.run(scene())


def begin_without_memory(client: socket.socket, behind_timeout: str) -> None:
    """Send a request, and a part of a large one behind it."""
    client.sendall(request("open"))
    fields = f"X-Request-ID: behind\r\nContent-Length: 60000\r\n{behind_timeout}\r\n"
    client.sendall(b"POST /unsafe HTTP/1.1\r\n" + fields.encode() + bytes(30_000))


# Guards against: a refusal for an open request that may have run, for lack of memory for the one behind.
def test_open_request_fails_and_is_not_refused_when_the_one_behind_it_finds_no_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.3)

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        frontend.memory.limit_bytes = 0
        with socket.create_connection(address, 10.0) as client:
            begin_without_memory(client, "")
            await until(lambda: handler.calls)
            await until(lambda: not handler.calls)  # it is given up for the sake of the one behind it
            got = await loop.run_in_executor(None, client.recv, 65536)
            assert got.startswith(b"HTTP/1.1 502 ") and got.count(b"HTTP/1.1 503 ") == 1

    run_scene(scene)


# Guards against: an open request is given up, in its time, for lack of memory for the one behind it.
def test_open_request_is_waited_for_while_the_one_without_memory_has_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.3)

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        frontend.memory.limit_bytes = 0
        with socket.create_connection(address, 10.0) as client:
            begin_without_memory(client, "X-Timeout-Ms: 4000\r\n")
            await until(lambda: handler.calls)
            await asyncio.sleep(1.0)
            handler.calls.pop().reply(200, b"first")
            got = b""
            while got.count(b"HTTP/1.1 ") < 2:
                got += await loop.run_in_executor(None, client.recv, 65536)
            assert got.startswith(b"HTTP/1.1 200 ") and got.count(b"HTTP/1.1 503 ") == 1

    run_scene(scene)


# Guards against: the status of a rejected request is written for the open one before it, whichever it is.
@pytest.mark.parametrize("status", [400, 404, 405, 408, 409, 413, 429, 431, 503])
def test_last_answers_never_give_an_open_request_the_status_of_another(status: int) -> None:
    sent = encode_last_answers(Rejection(status, 0.0), has_open_call=True, queued_calls=2)
    statuses = [int(part[:3]) for part in sent.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [502, 503, 503, status]


class SlowBody(DiscardedBody):
    """A host that is slow to take the last bytes of a body."""

    def __init__(self, last_bytes_from: int) -> None:
        self._missing = last_bytes_from

    def write_body(self, data: bytes) -> bool:
        self._missing -= len(data)
        return self._missing > 0


def test_request_behind_a_body_whose_host_is_slow_to_the_end_is_read() -> None:
    """Guards against a connection that is never read again after a body whose last piece had to wait."""

    async def scene(loop: Loop) -> None:
        _, handler, address = await start_frontend(loop, 8)
        with socket.create_connection(address, 10.0) as client:
            head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            sending = loop.run_in_executor(None, client.sendall, head.encode() + b"y" * BODY_BYTES)
            await until(lambda: handler.calls)
            call = handler.calls.pop()
            call.upload.attach(SlowBody(BODY_BYTES - len(call.body) - 1))
            await sending
            await until(lambda: call.upload.ended)
            client.sendall(request("r1"))
            call.reply(200, b"first")
            await until(lambda: handler.calls)

    run_scene(scene)


# More commands than are queued


@pytest.mark.parametrize(("count", "size"), [(300, 0), (24, 200), (6, 48 * 1024), (40, 3000)])
def test_each_of_many_commands_sent_at_once_is_answered_in_order(count: int, size: int) -> None:
    """Guards against commands that are read and turned away together, without an answer each."""

    async def scene() -> None:
        discovery, hosts = await fleet(echo)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.writer.write(b"".join(command(f"c{i}", b"x" * size) for i in range(count)))
            answers = [await read(client) for _ in range(count)]
            assert [answer.body for answer in answers] == [f"c{i}".encode() for i in range(count)]
            assert len(hosts[0].seen) == count
            client.writer.write(command("one-more"))  # the connection is still in use
            assert (await read(client)).body == b"one-more"

    asyncio.run(scene())


@pytest.mark.parametrize(("count", "size"), [(60, 0), (9, 30_000)])
def test_commands_in_wait_are_answered_in_time_and_run_by_their_time_only(count: int, size: int) -> None:
    """Guards against commands that wait, read or unread, beyond their deadline, and are then run."""
    timeout_ms = 900

    async def slow(seen: Seen, writer: asyncio.StreamWriter) -> None:
        started_s.append(time.monotonic())
        await asyncio.sleep(0.25)
        await echo(seen, writer)

    started_s: list[float] = []

    async def scene() -> None:
        discovery, hosts = await fleet(slow)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            sent_s = time.monotonic()
            client.writer.write(b"".join(command(f"c{i}", b"x" * size, timeout_ms) for i in range(count)))
            assert client.writer.transport.get_write_buffer_size() == 0  # the system has taken all of it
            answers = [await read(client) for _ in range(count)]
            assert time.monotonic() - sent_s < timeout_ms / 1000 + LATE_S
            served = [answer.body.decode() for answer in answers if answer.status == 200]
            assert served == [f"c{i}" for i in range(len(served))] and 2 <= len(served) <= 4
            statuses = [answer.status for answer in answers[len(served) :]]
            # What was sent shortly before its time may have run; the others are refused.
            assert set(statuses) <= {502, 503} and statuses.count(502) <= 2
            assert max(started_s) < sent_s + timeout_ms / 1000 + 0.1

    asyncio.run(scene())


def test_input_behind_calls_that_wait_is_not_read() -> None:
    """Guards against memory that grows with what one client sends behind an open call."""

    async def scene() -> None:
        discovery, hosts = await fleet(never)
        async with running(discovery, hosts, settings=LONG_DEADLINES) as proxy:
            client = await proxy.client()
            client.writer.write(command("open", timeout_ms=60_000))
            await hosts[0].wait(lambda: len(hosts[0].seen) == 1)
            before_mb = memory_mb(proxy)
            for i in range(400):
                client.writer.write(command(f"{i}", b"x" * 30_000, 60_000) + command(f"s{i}") * 300)
            await asyncio.sleep(1.5)
            assert client.writer.transport.get_write_buffer_size() > 10_000_000  # not taken
            assert memory_mb(proxy) - before_mb < 4 * (MAX_QUEUED_BYTES + READ_BUFFER_BYTES) / 2**20 + 4
            hosts[0].respond = answer_ok
            hosts[0].open[1].write(ok(b"open"))
            assert (await read(client)).body == b"open"
            assert (await read(client)).body == b"done"
            other = await proxy.client()
            assert (await other.ask("/unsafe")).status == 200

    asyncio.run(scene())


def test_half_a_command_behind_others_times_out_after_their_answers() -> None:
    async def scene() -> None:
        discovery, hosts = await fleet(echo)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.writer.write(b"".join(command(f"c{i}") for i in range(20)) + b"POST /uns")
            assert [(await read(client)).status for _ in range(20)] == [200] * 20
            begun_s = time.monotonic()
            assert (await read(client)).status == 408
            assert time.monotonic() - begun_s < ANSWER_LIMIT_S

    asyncio.run(scene())


def test_client_that_reads_none_of_its_answers_is_ended() -> None:
    async def scene() -> None:
        async def large(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(ok(b"x" * 60_000))

        discovery, hosts = await fleet(large)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            cast(asyncio.Transport, client.writer.transport).pause_reading()
            client.writer.write(b"".join(command(f"c{i}", b"x" * 300, 60_000) for i in range(600)))
            async with asyncio.timeout(WAIT_S):
                while "answers are not read" not in proxy.log() and not client.writer.transport.is_closing():
                    await asyncio.sleep(0.05)
                    client.writer.write(b" ")
            assert len(hosts[0].seen) < 200

    asyncio.run(scene())


def test_drain_answers_commands_that_wait() -> None:
    """Guards against a shutdown that closes a connection with commands that were read."""

    async def scene() -> None:
        async def slow(seen: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.02)
            await echo(seen, writer)

        discovery, hosts = await fleet(slow)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.writer.write(b"".join(command(f"c{i}") for i in range(40)))
            await hosts[0].wait(lambda: len(hosts[0].seen) == 2)
            proxy.process.terminate()
            answers = [await read(client) for _ in range(40)]
            assert [answer.status for answer in answers] == [200] * 40
            assert await proxy.ended() == 0

    asyncio.run(scene())


# Random interleavings


async def varied(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Answer long or short, in pieces, after a short time, or not at all, as the target says."""
    request_id, target = made_for(seen).decode(), seen.message.start
    delay_s = 0.001 * (hash(request_id) % 30)
    await asyncio.sleep(delay_s)
    if "none" in target:
        return
    if "cut" in target:  # a truncated answer
        writer.write(ok(long_body(request_id))[:-LAST_PIECE_BYTES])
        await asyncio.sleep(delay_s)
        writer.transport.abort()
        return
    answer = ok(long_body(request_id) if "long" in target else request_id.encode())
    for start in range(0, len(answer), 40_000):
        writer.write(answer[start : start + 40_000])
        await asyncio.sleep(delay_s / 3)


class RandomClient:
    """Sends random commands in random pieces on one connection, and checks every byte that comes back."""

    def __init__(self, proxy: Proxy, number: int, rng: random.Random) -> None:
        self._proxy, self._number, self._rng = proxy, number, rng
        kinds = rng.choices(["short", "long", "none", "cut"], [12, 3, 0.5, 0.5], k=rng.randint(1, 40))
        self.ids = [f"{number}-{i}" for i in range(len(kinds))]
        self._data = b"".join(
            command(name, b"x" * rng.choice([0, 0, 300, 20_000]), 1200, f"/unsafe?obj={kind}")
            for name, kind in zip(self.ids, kinds, strict=True)
        )
        self._cuts_allowed = "cut" in kinds
        self._invalid = rng.choice([None, *(INVALID_REQUESTS[name] for name in ("noise", "unknown class"))])
        if self._invalid is not None:
            self._data += self._invalid[0]

    async def run(self) -> None:
        reader, writer = await asyncio.open_connection(*self._proxy.endpoint)
        sending = asyncio.create_task(self._send(writer))
        try:
            async with asyncio.timeout(WAIT_S):
                await self._check(reader)
        finally:
            sending.cancel()
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        rest = self._data
        while rest:
            size = self._rng.choice([1, 50, 1000, 70_000])
            writer.write(rest[:size])
            rest = rest[size:]
            if self._rng.random() < 0.3:
                await asyncio.sleep(self._rng.uniform(0, 0.02))

    async def _check(self, reader: asyncio.StreamReader) -> None:
        for request_id in self.ids:
            try:
                answer = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                assert self._cuts_allowed, f"no answer for {request_id}"
                return
            status = answer.start.split()[1]
            # An error may answer the command right before it.
            allowed = {"200", "502", "503"} | ({"400"} if request_id == self.ids[-1] else set())
            assert answer.start.startswith("HTTP/1.1 ") and status in allowed, answer.start
            if status == "200":
                assert answer.body in (request_id.encode(), long_body(request_id))
            if status == "400":
                return
        if self._invalid is not None:
            answer = await read_message(reader)
            assert answer.start.split()[1] == str(self._invalid[1])
            assert await reader.read() == b""


@pytest.mark.parametrize("seed", range(4))
def test_every_byte_of_random_pipelines_belongs_to_an_answer_of_its_own(seed: int) -> None:
    """Guards against any order of commands, errors and long answers in which one ends up within another."""

    async def scene() -> None:
        rng = random.Random(seed)
        hosts = [await Host(f"h{i}", varied).start() for i in range(4)]
        discovery = await Discovery().start()
        async with running(discovery, hosts) as proxy:
            for round_number in range(4):
                clients = [RandomClient(proxy, round_number * 100 + i, rng) for i in range(12)]
                await asyncio.gather(*(client.run() for client in clients))
            ran = [made_for(seen) for host in hosts for seen in host.seen]
            assert len(ran) > 100

    asyncio.run(scene())
