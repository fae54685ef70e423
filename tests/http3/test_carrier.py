"""The carrier with scripted servers over loopback: every end of an attempt, and its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from collections.abc import Set as AbstractSet
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from cloverrouter.http3 import carrier
from cloverrouter.http3.carrier import Carrier, Exchange
from cloverrouter.http3.ways import BACKOFF_S, Http3Availability
from cloverrouter.http3.wire import client_settings
from cloverrouter.interface import ConnectionSignal, Outcome
from cloverrouter.lab.certificates import Authority
from cloverrouter.lab.quic import LIBRARIES, QuicHost, Respond, ServerRequest, done, silent
from cloverrouter.proxy.exchange import Host
from cloverrouter.proxy.messages import MAX_BODY_BYTES, Answer, Call, Upload
from tests.http3.scenes import run_in_scene, until

REJECTED, CANCELLED, NO_ERROR, INTERNAL = 0x10B, 0x10C, 0x100, 0x102


class StubCall(Call):
    """A client's call, for attempts."""

    def __init__(self, body: bytes = b"x", upload: Upload | None = None) -> None:
        self.method, self.target, self.request_id = b"POST", b"/unsafe?obj=1", b"r1"
        self.idempotency_key, self.content_type, self.body, self.upload = b"k1", b"text/plain", body, upload

    def served(self, answer: Answer) -> None: ...
    def refused(self, retry_after_ms: float) -> None: ...
    def failed(self) -> None: ...


class Sink:
    """Receives a streamed answer; `capacity`: bytes after which it asks for a pause."""

    def __init__(self, capacity: int = 1 << 30) -> None:
        self.capacity, self.received_bytes, self.ending = capacity, 0, ""
        self.on_ready: Callable[[], None] | None = None

    def write(self, data: bytes) -> bool:
        self.received_bytes += len(data)
        return self.received_bytes < self.capacity

    def finish(self) -> None:
        self.ending = "whole"

    def abort(self) -> None:
        self.ending = "cut"


class Http1CarrierStub:
    """Stands in for the HTTP/1.1 carrier and records its calls."""

    def __init__(self) -> None:
        self.sent: list[Host] = []
        self.opened: list[Host] = []
        self.discarded: list[tuple[Host, float]] = []
        self.kept: AbstractSet[Host] = set()

    def send(self, host: Host, *rest: Any) -> Exchange:
        self.sent.append(host)
        return Exchange(rest[0], rest[1], rest[2], None, None)

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        self.kept = wanted

    def discard_older(self, host: Host, before_s: float) -> None:
        self.discarded.append((host, before_s))

    def preconnect(self, host: Host) -> None:
        self.opened.append(host)


@dataclass
class AttemptResult:
    """An attempt and its result."""

    exchange: Exchange | None = None
    outcome: Outcome | None = None
    answer: Answer | None = None
    sink: Sink = field(default_factory=Sink)

    def end(self, outcome: Outcome, answer: Answer | None) -> None:
        assert self.outcome is None, "an attempt ends once"
        self.outcome, self.answer = outcome, answer


class Scene:
    """A carrier with its servers."""

    def __init__(self, folder: Path, fallback: bool, max_connections: int) -> None:
        self.authority = Authority(folder)
        self.files = self.authority.issue("s-1", "server")
        self.http1_carrier = Http1CarrierStub()
        self.signals: list[tuple[str, ConnectionSignal]] = []
        self.hosts: list[QuicHost] = []
        self.carrier = Carrier(
            self.http1_carrier, Http3Availability(fallback=fallback),
            client_settings(str(self.authority.file)), "", max_connections, 250.0, 60_000.0,
            lambda name, signal: self.signals.append((name, signal)),
        )  # fmt: skip

    async def host(self, respond: Respond = done, library: str = "aioquic", **options: Any) -> QuicHost:
        host = await QuicHost("s-1", self.files, respond, library, **options).start()
        self.hosts.append(host)
        return host

    def send(self, host: QuicHost, call: Call | None = None, **options: Any) -> AttemptResult:
        address = ("s-1", ("127.0.0.1", host.port))
        result = AttemptResult()
        sent = self.carrier.send(
            address, call or StubCall(), 1500.0, result.end, lambda answer: result.sink, **options
        )
        assert isinstance(sent, Exchange)
        result.exchange = sent
        return result

    async def ended(self, *results: AttemptResult) -> list[Outcome | None]:
        await until(lambda: all(one.outcome is not None for one in results))
        return [one.outcome for one in results]


@asynccontextmanager
async def scene(folder: Path, fallback: bool = False, max_connections: int = 20) -> AsyncIterator[Scene]:
    fixture, loop_errors = Scene(folder, fallback, max_connections), list[dict[str, Any]]()
    # By default the loop only logs an exception of a callback.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: loop_errors.append(context))
    try:
        yield fixture
        assert not loop_errors
        # Closed connections must not stay in the carrier.
        assert not any(connection.closed for connection in fixture.carrier.connections)
    finally:
        fixture.carrier.close()
        for host in fixture.hosts:
            host.close()


def in_scene(**options: Any) -> Callable[[Callable[[Scene], Awaitable[None]]], Callable[[Path], None]]:
    return run_in_scene(lambda folder: scene(folder, **options))


def answer_after_interim(asked: ServerRequest) -> None:
    asked.head(103, {"link": "</x>"})
    asked.answer()


def answer_with_trailers(asked: ServerRequest) -> None:
    asked.head(200, {"content_length": "4"})
    asked.data(b"done")
    asked.peer.http.send_headers(asked.stream_id, [(b"x-not-processed", b"1")], True)
    asked.peer.flush()


def answer_without_length(asked: ServerRequest) -> None:
    asked.head(200)
    asked.data(b"done", end=True)


def answer_with_invalid_status(asked: ServerRequest) -> None:
    asked.raw(frame(0x1, b"\0\0\x5f\x09\x02xx"), end=True)  # a field section with :status "xx"


def frame(kind: int, data: bytes) -> bytes:
    return bytes([kind]) + (len(data) | 0x4000).to_bytes(2, "big") + data


def go_away_above(above: int) -> Respond:
    def respond(asked: ServerRequest) -> None:
        asked.peer.go_away(asked.stream_id + above)
        if above:
            asked.answer()

    return respond


def answer_declaring(length: int, body: bytes, end: bool = True) -> Respond:
    def respond(asked: ServerRequest) -> None:
        asked.head(200, {"content_length": str(length)})
        asked.data(body, end)

    return respond


def reset_during_answer(asked: ServerRequest) -> None:
    asked.head(200, {"content_length": "9"})
    asked.data(b"some")
    asked.reset(INTERNAL)


ENDS_AFTER_SENT: dict[str, tuple[Respond, Outcome]] = {
    "answered": (done, Outcome.OK),
    "answered with a body framed by its stream's end": (answer_without_length, Outcome.OK),
    "an interim answer first": (answer_after_interim, Outcome.OK),
    "trailers": (answer_with_trailers, Outcome.OK),
    "an error": (lambda a: a.answer(status=500), Outcome.ERROR),
    "rejected, not processed": (lambda a: a.answer(status=503, x_not_processed="1"), Outcome.REJECTED),
    "rejected, perhaps processed": (lambda a: a.answer(status=503), Outcome.ERROR),
    "reset, H3_REQUEST_REJECTED": (lambda a: a.reset(REJECTED), Outcome.REJECTED),
    "reset, H3_REQUEST_CANCELLED": (lambda a: a.reset(CANCELLED), Outcome.RESET),
    "reset, H3_NO_ERROR": (lambda a: a.reset(NO_ERROR), Outcome.RESET),
    "reset in the middle of an answer": (reset_during_answer, Outcome.RESET),
    "GOAWAY at its stream": (go_away_above(0), Outcome.REJECTED),
    "GOAWAY above its stream": (go_away_above(4), Outcome.OK),
    "connection closed": (lambda a: a.peer.close(), Outcome.RESET),
    "connection closed in error": (lambda a: a.peer.close(INTERNAL), Outcome.RESET),
    "forgotten: a stateless reset": (lambda a: a.peer.host.lose_connections(), Outcome.RESET),
    "an invalid status": (answer_with_invalid_status, Outcome.SPOILT),
    "longer than declared": (answer_declaring(2, b"more", end=False), Outcome.SPOILT),
    "shorter than declared": (answer_declaring(9, b"less"), Outcome.SPOILT),
    "larger than the limit": (answer_declaring(MAX_BODY_BYTES + 1, b"x", end=False), Outcome.SPOILT),
    "an invalid length": (lambda a: a.head(200, {"content_length": "-4"}), Outcome.SPOILT),
    "an end without an answer": (lambda a: a.raw(b"", end=True), Outcome.SPOILT),
    "a head that is too large": (lambda a: a.head(200, {f"x{i}": "y" * 900 for i in range(60)}),
                                 Outcome.SPOILT),
    "no frame that is allowed there": (lambda a: a.raw(frame(0x4, b"\x00" * 4)), Outcome.RESET),
}  # fmt: skip


@pytest.mark.parametrize("name", ENDS_AFTER_SENT)
def test_end_of_attempt_after_last_byte_was_sent(tmp_path: Path, name: str) -> None:
    respond, outcome = ENDS_AFTER_SENT[name]

    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host(respond)
            first = s.send(host)
            assert await s.ended(first) == [outcome]
            assert first.exchange is not None and first.exchange.written and first.exchange.begun
            assert len(host.seen) == 1 and len(host.started) == 1
            received = host.seen[0]
            assert (received.fields[b":path"], received.fields[b"idempotency-key"], bytes(received.body)) == (
                b"/unsafe?obj=1", b"k1", b"x",
            )  # fmt: skip
            assert 1 <= int(received.fields[b"x-timeout-ms"]) <= 1500
            if outcome is Outcome.OK:
                assert first.answer is not None and first.answer.body == b"done"
                assert not first.answer.never_ran
            # A stream error doesn't affect other streams: the next attempt reuses the connection, if open.
            host.respond = done
            again = s.send(host)
            assert await s.ended(again) == [Outcome.OK]
            ended = ("GOAWAY", "connection", "forgotten", "no frame")
            assert host.handshakes == (2 if name.startswith(ended) else 1)
            assert s.signals == (
                [("s-1", ConnectionSignal.CLOSED_BY_PEER)] if name.startswith("forgotten") else []
            )

    asyncio.run(run())


def answer_and_stop_body(asked: ServerRequest) -> None:
    asked.stop(NO_ERROR)  # the server does not need the rest of the body
    asked.answer(status=500)


def long_answer(asked: ServerRequest) -> None:
    asked.answer(b"y" * 200_000)


ENDS_BEFORE_SENT: dict[str, tuple[Callable[[ServerRequest], None], Outcome]] = {
    "reset, H3_REQUEST_REJECTED": (lambda a: a.reset(REJECTED), Outcome.REJECTED),
    "reset, H3_REQUEST_CANCELLED": (lambda a: a.reset(CANCELLED), Outcome.CONNECT_FAILED),
    "STOP_SENDING, H3_REQUEST_REJECTED": (lambda a: a.stop(REJECTED), Outcome.REJECTED),
    "connection closed": (lambda a: a.peer.close(), Outcome.CONNECT_FAILED),
    "GOAWAY": (lambda a: a.peer.go_away(a.stream_id), Outcome.REJECTED),
    "forgotten": (lambda a: a.peer.host.lose_connections(), Outcome.CONNECT_FAILED),
    "malformed": (answer_with_invalid_status, Outcome.CONNECT_FAILED),
    "answered early": (lambda a: a.answer(status=500), Outcome.ERROR),
    "STOP_SENDING, H3_NO_ERROR, and answered": (answer_and_stop_body, Outcome.ERROR),
    # If it were streamed, it would be the client's final answer to a request that may never be complete.
    "answered early and at length": (long_answer, Outcome.CONNECT_FAILED),
}


@pytest.mark.parametrize("name", ENDS_BEFORE_SENT)
def test_end_of_attempt_before_last_byte_was_sent(tmp_path: Path, name: str) -> None:
    respond, outcome = ENDS_BEFORE_SENT[name]

    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host()
            upload = Upload(None, lambda: None, lambda: None)
            attempt = s.send(host, StubCall(b"beginning", upload))
            await until(lambda: bool(host.started and host.started[0].body))
            assert attempt.exchange is not None and attempt.exchange.begun and not attempt.exchange.written
            respond(host.started[0])
            assert await s.ended(attempt) == [outcome]
            assert not attempt.exchange.written and not attempt.sink.received_bytes
            upload.feed(b"more")  # the client does not know of the end yet
            upload.end()
            await asyncio.sleep(0.05)
            assert not host.seen  # no complete request arrived: none has run

    asyncio.run(run())


def test_attempt_without_established_connection_never_ran(tmp_path: Path) -> None:
    """A closed port, no response, another authority, another name, another protocol over QUIC: each reports
    its connection signal and a failed connect, but only without a fallback: with one, it is no evidence."""

    async def run(fallback: bool) -> None:
        other_folder = tmp_path / "other"
        other_folder.mkdir(exist_ok=True)
        other_authority = Authority(other_folder, "another")
        async with scene(tmp_path, fallback) as s:
            closed = await s.host()
            closed.close()
            unresponsive = await s.host()
            unresponsive.unreachable = True
            wrong_authority = await QuicHost("s-1", other_authority.issue("s-1", "other")).start()
            wrong_name = await QuicHost("s-1", s.authority.issue("s-2", "named")).start()
            wrong_alpn = await s.host(alpn_protocols=["hq-interop"])
            no_alpn = await s.host(alpn_protocols=None)
            s.hosts += [wrong_authority, wrong_name]
            signals = dict.fromkeys((closed, unresponsive, wrong_authority, wrong_name, wrong_alpn, no_alpn))
            signals |= {closed: ConnectionSignal.REFUSED, unresponsive: ConnectionSignal.CONNECT_TIMEOUT}
            for host, signal in signals.items():
                s.carrier.availability.record_success("s-1")
                attempt = s.send(host)
                assert await s.ended(attempt) == [Outcome.NOT_SENT if fallback else Outcome.CONNECT_FAILED]
                assert attempt.exchange is not None and not attempt.exchange.written and not host.started
                assert attempt.exchange.signal is (None if fallback else signal)

    asyncio.run(run(fallback=False))
    asyncio.run(run(fallback=True))


@in_scene(fallback=True)
async def test_falls_back_to_http1_during_backoff(s: Scene) -> None:
    """Each attempt has one outcome: nothing is retried below the decisions."""
    host = await s.host()
    host.unreachable = True
    first, second = s.send(host), s.send(host)
    assert await s.ended(first, second) == [Outcome.NOT_SENT] * 2
    assert not s.http1_carrier.sent
    assert s.carrier.protocol_of("s-1").startswith("HTTP/1.1: HTTP/3 failed, again in")
    s.send(host)
    s.carrier.preconnect(("s-1", ("127.0.0.1", host.port)))
    assert len(s.http1_carrier.sent) == len(s.http1_carrier.opened) == 1
    now_s = s.carrier.loop.time()
    assert 0 < s.carrier.availability.backoff_left_s("s-1", now_s) <= BACKOFF_S
    host.unreachable = False
    s.carrier.availability.record_success("s-1")  # ends the backoff
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert s.carrier.protocol_of("s-1") == "HTTP/3"


@pytest.mark.parametrize("library", LIBRARIES)
def test_concurrent_attempts_share_a_connection_to_either_library(tmp_path: Path, library: str) -> None:
    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host(lambda asked: asked.answer(bytes(asked.body)), library)
            attempts = [s.send(host, StubCall(b"%d" % i)) for i in range(50)]
            assert await s.ended(*attempts) == [Outcome.OK] * 50
            assert [t.answer and t.answer.body for t in attempts] == [b"%d" % i for i in range(50)]
            assert host.handshakes == 1  # they share a connection
            # An idle connection is closed at half of the server's idle timeout.
            for connection in s.carrier.connections:
                connection.check(s.carrier.loop.time() + 0.4 * connection.quic.idle_timeout_s, 1000.0)
            assert len(s.carrier.connections) == 1
            for connection in s.carrier.connections:
                connection.check(s.carrier.loop.time() + 0.6 * connection.quic.idle_timeout_s, 1000.0)
            assert not s.carrier.connections

    asyncio.run(run())


@in_scene()
async def test_goaway_serves_earlier_requests_and_no_new_ones(s: Scene) -> None:
    host = await s.host(silent)
    attempts = [s.send(host) for _ in range(3)]
    await until(lambda: len(host.seen) == 3)
    peer = host.seen[0].peer
    peer.go_away(host.seen[1].stream_id + 4)  # the third is not processed
    assert await s.ended(attempts[2]) == [Outcome.REJECTED]
    host.respond = done
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 2 and attempts[0].outcome is None
    peer.go_away(host.seen[0].stream_id + 4)  # lowered: nor is the second
    assert await s.ended(attempts[1]) == [Outcome.REJECTED]
    host.seen[0].answer()
    assert await s.ended(attempts[0]) == [Outcome.OK]
    await until(lambda: len(s.carrier.connections) == 1)  # closed after its last request
    # Raising the id again is a connection error: the requests have been sent elsewhere.
    last = s.send(host)
    assert await s.ended(last) == [Outcome.OK]
    connection = s.carrier.connections[0]
    peer = host.seen[-1].peer
    peer.go_away(100)
    await until(lambda: connection.draining or connection.closed)


@pytest.mark.parametrize("bounds", [(8, 12), (9,)])
def test_goaway_with_raised_or_invalid_id_is_connection_error(
    tmp_path: Path, bounds: tuple[int, ...]
) -> None:
    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host(silent)
            attempt = s.send(host)
            await until(lambda: len(host.seen) == 1)
            peer = host.seen[0].peer
            for bound in bounds:
                peer.go_away(bound)
            assert await s.ended(attempt) == [Outcome.RESET]
            await until(lambda: peer.termination is not None)
            assert peer.termination.error_code == 0x108

    asyncio.run(run())


@in_scene()
async def test_goaway_is_ignored_on_other_unidirectional_streams(s: Scene) -> None:
    host = await s.host()
    assert await s.ended(s.send(host)) == [Outcome.OK]
    peer = host.seen[0].peer
    number = peer.quic.get_next_available_stream_id(is_unidirectional=True)
    peer.quic.send_stream_data(number, b"\x21\x07\x01\x00")  # of a type that must be ignored
    peer.flush()
    await asyncio.sleep(0.1)
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 1


@in_scene()
async def test_abandoned_attempt_cancels_its_stream_and_keeps_the_connection(s: Scene) -> None:
    host = await s.host(silent)
    abandoned = s.send(host)
    await until(lambda: len(host.seen) == 1)
    assert abandoned.exchange is not None
    abandoned.exchange.abandon()
    await until(lambda: host.stop_codes.get(host.seen[0].stream_id) == CANCELLED)
    with suppress(ValueError, RuntimeError):  # too late: the stream is cancelled
        host.seen[0].answer()
    host.respond = done
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 1 and abandoned.outcome is None
    # Abandoned during the handshake, it is never sent.
    host.unreachable, before = True, len(host.started)
    on_new_connection = s.send(host, on_open=lambda: None)
    assert on_new_connection.exchange is not None
    on_new_connection.exchange.abandon()
    host.unreachable = False
    await until(
        lambda: (
            len(s.carrier.connections) == 2
            and all(connection.established for connection in s.carrier.connections)
        )
    )
    assert len(host.started) == before and on_new_connection.outcome is None


@in_scene()
async def test_abandoned_lost_request_is_not_retransmitted(s: Scene) -> None:
    host = await s.host()
    assert await s.ended(s.send(host)) == [Outcome.OK]
    host.unreachable = True
    lost = s.send(host)
    await until(lambda: lost.exchange is not None and lost.exchange.written)
    assert lost.exchange is not None
    lost.exchange.abandon()  # as on a timeout
    host.unreachable = False
    await until(lambda: bool(host.reset_codes))
    await asyncio.sleep(0.1)
    assert len(host.seen) == 1


@in_scene()
async def test_unresponsive_connection_gets_no_more_requests(s: Scene) -> None:
    """The server disappears and restarts at the same address, without state and without a stateless reset."""
    host = await s.host()
    assert await s.ended(s.send(host)) == [Outcome.OK]
    host.unreachable = True
    abandoned = s.send(host)
    await until(lambda: abandoned.exchange is not None and abandoned.exchange.written)
    assert abandoned.exchange is not None
    abandoned.exchange.abandon()
    host.unreachable = False
    for peer in host.peers.values():
        peer.stop_timer()
    host.peers = {address: peer for address, peer in host.peers.items() if False}
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 2
    # Its socket is closed in the next check.
    for connection in s.carrier.connections:
        connection.check(s.carrier.loop.time(), 1000.0)
    assert len(s.carrier.connections) == 1
    # A slow server has acknowledged the request: its connection is kept.
    host.respond = silent
    abandoned = s.send(host)
    await until(lambda: len(host.seen) == 3)
    await asyncio.sleep(0.05)
    assert abandoned.exchange is not None
    abandoned.exchange.abandon()
    host.respond = done
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 2


@in_scene()
async def test_drained_host_finishes_requests_and_gets_no_new_ones(s: Scene) -> None:
    host = await s.host(silent)
    listed = ("s-1", ("127.0.0.1", host.port))
    attempt = s.send(host)
    await until(lambda: len(host.seen) == 1)
    s.carrier.preconnect(("s-9", ("127.0.0.1", host.port)))
    s.carrier.keep_only({listed})
    assert len(s.carrier.connections) == 1 and s.http1_carrier.kept == {listed}
    s.carrier.keep_only(set())
    assert attempt.outcome is None
    host.seen[0].answer()
    assert await s.ended(attempt) == [Outcome.OK]
    await until(lambda: not s.carrier.connections)


@in_scene()
async def test_attempt_abandoned_during_handshake_is_not_sent(s: Scene) -> None:
    host = await s.host()

    # In the callback for its established connection.
    def abandon() -> None:
        assert abandoned.exchange is not None
        abandoned.exchange.abandon()

    abandoned: AttemptResult = s.send(host, on_open=abandon)
    await until(lambda: host.handshakes == 1)
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert len(host.started) == 1 and abandoned.outcome is None
    # Before that, on a connection to a server that drains: it is closed with its only request.
    host.unreachable = True
    queued = s.send(host, on_open=lambda: None)
    s.carrier.keep_only(set())
    assert queued.exchange is not None and queued.outcome is None
    queued.exchange.abandon()
    await until(lambda: not s.carrier.connections)
    assert len(host.started) == 1 and s.carrier.count["not_up"] == 0
    assert s.carrier.availability.uses_http3("s-1", s.carrier.loop.time())


@in_scene()
async def test_attempt_abandoned_at_begin_of_streamed_answer(s: Scene) -> None:
    host = await s.host(long_answer)
    answers: list[Answer] = []

    def begin(answer: Answer) -> None:
        answers.append(answer)
        assert attempt.exchange is not None
        attempt.exchange.abandon()

    attempt = AttemptResult()
    listed = ("s-1", ("127.0.0.1", host.port))
    sent = s.carrier.send(listed, StubCall(), 1500.0, attempt.end, begin)
    assert isinstance(sent, Exchange)
    attempt.exchange = sent
    await until(lambda: bool(host.stop_codes))
    assert len(answers) == 1 and attempt.outcome is None
    host.respond = done
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 1


@in_scene()
async def test_request_blocked_by_flow_control_is_not_sent(s: Scene) -> None:
    """A body that flow control blocks has not been sent: if abandoned, the request never ran."""
    host = await s.host()
    assert await s.ended(s.send(host)) == [Outcome.OK]
    host.unreachable = True
    attempt = s.send(host, StubCall(b"x" * 60_000))
    await asyncio.sleep(0.2)
    assert attempt.exchange is not None and attempt.exchange.begun and not attempt.exchange.written
    attempt.exchange.abandon()
    host.unreachable = False
    await until(lambda: bool(host.reset_codes))
    assert len(host.seen) == 1
    assert not s.carrier.connections[0].quic.is_reset(b"")


def test_preconnected_connection_is_used_and_reports_failure(tmp_path: Path) -> None:
    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host()
            s.carrier.preconnect(("s-1", ("127.0.0.1", host.port)))
            await until(lambda: host.handshakes == 1)
            assert await s.ended(s.send(host)) == [Outcome.OK]
            assert host.handshakes == 1 and not s.signals
            closed = await s.host()
            closed.close()
            s.carrier.preconnect(("s-1", ("127.0.0.1", closed.port)))
            await until(lambda: s.signals == [("s-1", ConnectionSignal.REFUSED)])
        async with scene(tmp_path, max_connections=2) as s:
            hosts = [await s.host(), await s.host()]
            for host in hosts:  # preconnecting uses at most half of the connections
                s.carrier.preconnect(("s-1", ("127.0.0.1", host.port)))
            assert len(s.carrier.connections) == 1

    asyncio.run(run())


@in_scene(max_connections=1)
async def test_connection_limit_evicts_an_idle_connection(s: Scene) -> None:
    first, second = await s.host(silent), await s.host()
    active = s.send(first)
    await until(lambda: len(first.seen) == 1)
    above_limit = s.send(second)
    assert above_limit.outcome is Outcome.NOT_SENT  # a local shortage, reported at once
    first.seen[0].answer()
    assert await s.ended(active) == [Outcome.OK]
    assert await s.ended(s.send(second)) == [Outcome.OK]
    assert [connection.host[1][1] for connection in s.carrier.connections] == [second.port]


@in_scene()
async def test_streams_above_the_servers_limit_use_another_connection(s: Scene) -> None:
    host = await s.host(silent)
    first = s.send(host)
    await until(lambda: len(host.seen) == 1)
    (connection,) = s.carrier.connections
    connection.quic._remote_max_streams_bidi = 2
    rest = [s.send(host) for _ in range(2)]
    await until(lambda: len(host.seen) == 3)
    assert host.handshakes == 2
    for asked in list(host.seen):
        asked.answer()
    assert await s.ended(first, *rest) == [Outcome.OK] * 3


@in_scene()
async def test_streamed_answer_is_paused_for_a_slow_client(s: Scene) -> None:
    """8 MB to a client that reads 100 KB: at most about one window is received beyond that."""
    body = b"y" * (8 << 20)
    host = await s.host(lambda asked: asked.answer(body))
    attempt = s.send(host)
    attempt.sink.capacity = 100_000
    await until(lambda: attempt.sink.received_bytes >= attempt.sink.capacity)
    await asyncio.sleep(0.5)
    received_bytes = attempt.sink.received_bytes
    assert received_bytes < attempt.sink.capacity + 4 * 64 * 1024 and attempt.outcome is None
    # Another request is served meanwhile, on the same connection.
    host.respond = done
    assert await s.ended(s.send(host)) == [Outcome.OK]
    attempt.sink.capacity = 1 << 30
    assert attempt.sink.on_ready is not None
    attempt.sink.on_ready()
    assert await s.ended(attempt) == [Outcome.OK]
    assert (attempt.sink.received_bytes, attempt.sink.ending, host.handshakes) == (len(body), "whole", 1)


def test_truncated_streamed_answer_is_aborted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(carrier, "STALL_S", 0.3)

    async def run() -> None:
        async with scene(tmp_path) as s:
            for how in ("reset", "closed", "stalled"):
                host = await s.host(answer_declaring(200_000, b"y" * 100_000, end=False))
                attempt = s.send(host)
                await until(lambda attempt=attempt: attempt.sink.received_bytes == 100_000)  # type: ignore[misc]
                if how == "reset":
                    host.seen[0].reset(INTERNAL)
                elif how == "closed":
                    host.seen[0].peer.close()
                outcome = Outcome.SPOILT if how == "stalled" else Outcome.RESET
                assert await s.ended(attempt) == [outcome]
                assert attempt.sink.ending == "cut"

    asyncio.run(run())


@in_scene()
async def test_streamed_body_is_paused_for_a_slow_server(s: Scene) -> None:
    host = await s.host(lambda asked: asked.answer(b"%d" % len(asked.body)))
    paused = [False]
    upload = Upload(None, lambda: paused.__setitem__(0, True), lambda: paused.__setitem__(0, False))
    attempt = s.send(host, StubCall(b"x" * 1000, upload))
    await until(lambda: bool(host.started))
    host.unreachable = True
    for _ in range(20):
        if not paused[0]:
            upload.feed(b"x" * 50_000)
            await asyncio.sleep(0)
    assert paused[0] and attempt.exchange is not None and not attempt.exchange.written
    fed_bytes = 1000 + 50_000
    host.unreachable = False
    while fed_bytes < 1_000_000:
        await until(lambda: not paused[0])
        upload.feed(b"x" * 50_000)
        fed_bytes += 50_000
    upload.end()
    assert await s.ended(attempt) == [Outcome.OK]
    assert attempt.answer is not None and int(attempt.answer.body) >= 1_000_000 and attempt.exchange.written


def test_silent_server_gets_a_ping(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(carrier, "ALIVE_S", 0.1)

    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host(silent)
            attempt = s.send(host)
            await until(lambda: len(host.seen) == 1)
            await asyncio.sleep(0.3)
            before = host.datagrams
            await until(lambda: host.datagrams > before)
            host.seen[0].answer()
            assert await s.ended(attempt) == [Outcome.OK]

    asyncio.run(run())


def test_exception_in_the_library_ends_only_its_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with scene(tmp_path) as s:
            host, other_host = await s.host(silent), await s.host(silent)
            affected, other = s.send(host), s.send(other_host)
            await until(lambda: len(host.seen) == len(other_host.seen) == 1)
            (connection,) = [
                connection for connection in s.carrier.connections if connection.host[1][1] == host.port
            ]

            def raise_error(*args: object, **how: object) -> None:
                raise AssertionError("bug in the library")

            monkeypatch.setattr(connection.quic, "receive_datagram", raise_error)
            host.seen[0].answer()
            assert await s.ended(affected) == [Outcome.RESET]
            other_host.seen[0].answer()
            assert await s.ended(other) == [Outcome.OK]

    asyncio.run(run())


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("no certificate", "has no CERTIFICATE in PEM form"),
        ("-----BEGIN CERTIFICATE-----\nbm9uZQ==\n-----END CERTIFICATE-----\n", "authority.pem: "),
    ],
)
def test_unusable_authority_is_reported_at_once(tmp_path: Path, text: str, why: str) -> None:
    file = tmp_path / "authority.pem"
    file.write_text(text)
    with pytest.raises(ValueError, match=why):
        client_settings(str(file))


@in_scene()
async def test_attempt_past_its_deadline_after_the_handshake_is_not_sent(s: Scene) -> None:
    host = await s.host()
    expired, in_time = s.send(host), s.send(host)
    assert expired.exchange is not None and not expired.exchange.begun
    expired.exchange.send_deadline_s = 0.0  # as after a process pause
    assert await s.ended(expired, in_time) == [Outcome.NOT_SENT, Outcome.OK]
    assert not expired.exchange.written and len(host.seen) == 1
