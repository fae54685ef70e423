"""The carrier and scripted servers over loopback: every end of an attempt, and what it is told as."""

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
from cloverrouter.http3.ways import REST_S, Speech
from cloverrouter.http3.wire import client_settings
from cloverrouter.interface import Outcome, Sign
from cloverrouter.lab.certificates import Authority
from cloverrouter.lab.quic import LIBRARIES, Asked, QuicHost, Respond, done, silent
from cloverrouter.proxy.exchange import Host
from cloverrouter.proxy.messages import MOST_BODY, Answer, Call, Upload
from tests.http3.scenes import played_in, until

REJECTED, CANCELLED, NO_ERROR, INTERNAL = 0x10B, 0x10C, 0x100, 0x102


class Wanted(Call):
    """A call that an attempt is made for."""

    def __init__(self, body: bytes = b"x", upload: Upload | None = None) -> None:
        self.method, self.target, self.request_id = b"POST", b"/unsafe?obj=1", b"r1"
        self.idempotency_key, self.content_type, self.body, self.upload = b"k1", b"text/plain", body, upload

    def served(self, answer: Answer) -> None: ...
    def refused(self, retry_after_ms: float) -> None: ...
    def failed(self) -> None: ...


class Sink:
    """Where a long answer goes; `room`: bytes that are taken before it has had enough."""

    def __init__(self, room: int = 1 << 30) -> None:
        self.room, self.got, self.how = room, 0, ""
        self.on_ready: Callable[[], None] | None = None

    def write(self, data: bytes) -> bool:
        self.got += len(data)
        return self.got < self.room

    def finish(self) -> None:
        self.how = "whole"

    def cut(self) -> None:
        self.how = "cut"


class Plain:
    """In the place of HTTP/1.1's carrier: notes what is left to it."""

    def __init__(self) -> None:
        self.sent: list[Host] = []
        self.opened: list[Host] = []
        self.kept: AbstractSet[Host] = set()

    def send(self, host: Host, *rest: Any) -> Exchange:
        self.sent.append(host)
        return Exchange(rest[0], rest[1], rest[2], None, None)

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        self.kept = wanted

    def open_ahead(self, host: Host) -> None:
        self.opened.append(host)


@dataclass
class Tried:
    """An attempt, and what it came to."""

    exchange: Exchange | None = None
    outcome: Outcome | None = None
    answer: Answer | None = None
    sink: Sink = field(default_factory=Sink)

    def end(self, outcome: Outcome, answer: Answer | None) -> None:
        assert self.outcome is None, "an attempt ends once"
        self.outcome, self.answer = outcome, answer


class Scene:
    def __init__(self, folder: Path, fallback: bool, most: int) -> None:
        self.authority = Authority(folder)
        self.files = self.authority.issue("s-1", "server")
        self.plain = Plain()
        self.signs: list[tuple[str, Sign]] = []
        self.hosts: list[QuicHost] = []
        self.carrier = Carrier(
            self.plain, Speech(fallback=fallback), client_settings(str(self.authority.file)), "", most, 250.0,
            60_000.0, lambda name, sign: self.signs.append((name, sign)),
        )  # fmt: skip

    async def host(self, respond: Respond = done, library: str = "aioquic", **how: Any) -> QuicHost:
        found = await QuicHost("s-1", self.files, respond, library, **how).start()
        self.hosts.append(found)
        return found

    def send(self, at: QuicHost, call: Call | None = None, **how: Any) -> Tried:
        place = ("s-1", ("127.0.0.1", at.port))
        tried = Tried()
        sent = self.carrier.send(place, call or Wanted(), 1500.0, tried.end, lambda answer: tried.sink, **how)
        assert isinstance(sent, Exchange)
        tried.exchange = sent
        return tried

    async def ended(self, *tried: Tried) -> list[Outcome | None]:
        await until(lambda: all(one.outcome is not None for one in tried))
        return [one.outcome for one in tried]


@asynccontextmanager
async def scene(folder: Path, fallback: bool = False, most: int = 20) -> AsyncIterator[Scene]:
    found, wrong = Scene(folder, fallback, most), list[dict[str, Any]]()
    # The loop would log what a callback raises, and go on.
    asyncio.get_running_loop().set_exception_handler(lambda loop, told: wrong.append(told))
    try:
        yield found
        assert not wrong
        # Whatever happened: no exchange, stream or socket is left behind by what has ended.
        assert not any(lane.over for lane in found.carrier.lanes)
    finally:
        found.carrier.close()
        for host in found.hosts:
            host.close()


def in_scene(**how: Any) -> Callable[[Callable[[Scene], Awaitable[None]]], Callable[[Path], None]]:
    return played_in(lambda folder: scene(folder, **how))


def interim(asked: Asked) -> None:
    asked.head(103, {"link": "</x>"})
    asked.answer()


def trailers(asked: Asked) -> None:
    asked.head(200, {"content_length": "4"})
    asked.data(b"done")
    asked.peer.http.send_headers(asked.number, [(b"x-not-processed", b"1")], True)
    asked.peer.flush()


def unframed(asked: Asked) -> None:
    asked.head(200)
    asked.data(b"done", end=True)


def no_status(asked: Asked) -> None:
    asked.raw(frame(0x1, b"\0\0\x5f\x09\x02xx"), end=True)  # a field section with :status "xx"


def frame(kind: int, data: bytes) -> bytes:
    return bytes([kind]) + (len(data) | 0x4000).to_bytes(2, "big") + data


def away(above: int) -> Respond:
    def respond(asked: Asked) -> None:
        asked.peer.go_away(asked.number + above)
        if above:
            asked.answer()

    return respond


def saying(length: int, body: bytes, end: bool = True) -> Respond:
    def respond(asked: Asked) -> None:
        asked.head(200, {"content_length": str(length)})
        asked.data(body, end)

    return respond


def cut_off(asked: Asked) -> None:
    asked.head(200, {"content_length": "9"})
    asked.data(b"some")
    asked.reset(INTERNAL)


ENDS: dict[str, tuple[Respond, Outcome]] = {
    "answered": (done, Outcome.OK),
    "answered with a body framed by its stream's end": (unframed, Outcome.OK),
    "an interim answer first": (interim, Outcome.OK),
    "fields behind the body": (trailers, Outcome.OK),
    "an error": (lambda a: a.answer(status=500), Outcome.ERROR),
    "turned away, not processed": (lambda a: a.answer(status=503, x_not_processed="1"), Outcome.REJECTED),
    "turned away, perhaps processed": (lambda a: a.answer(status=503), Outcome.ERROR),
    "reset, H3_REQUEST_REJECTED": (lambda a: a.reset(REJECTED), Outcome.REJECTED),
    "reset, H3_REQUEST_CANCELLED": (lambda a: a.reset(CANCELLED), Outcome.RESET),
    "reset, H3_NO_ERROR": (lambda a: a.reset(NO_ERROR), Outcome.RESET),
    "reset in the midst of an answer": (cut_off, Outcome.RESET),
    "GOAWAY at its stream": (away(0), Outcome.REJECTED),
    "GOAWAY above its stream": (away(4), Outcome.OK),
    "connection closed": (lambda a: a.peer.close(), Outcome.RESET),
    "connection closed in error": (lambda a: a.peer.close(INTERNAL), Outcome.RESET),
    "forgotten: a stateless reset": (lambda a: a.peer.host.forget(), Outcome.RESET),
    "a status that is none": (no_status, Outcome.SPOILT),
    "longer than said": (saying(2, b"more", end=False), Outcome.SPOILT),
    "shorter than said": (saying(9, b"less"), Outcome.SPOILT),
    "larger than may be": (saying(MOST_BODY + 1, b"x", end=False), Outcome.SPOILT),
    "a length that is none": (lambda a: a.head(200, {"content_length": "-4"}), Outcome.SPOILT),
    "an end without an answer": (lambda a: a.raw(b"", end=True), Outcome.SPOILT),
    "a head that is too large": (lambda a: a.head(200, {f"x{i}": "y" * 900 for i in range(60)}),
                                 Outcome.SPOILT),
    "no frame that may be there": (lambda a: a.raw(frame(0x4, b"\x00" * 4)), Outcome.RESET),
}  # fmt: skip


@pytest.mark.parametrize("name", ENDS)
def test_every_end_of_an_attempt_that_was_sent(tmp_path: Path, name: str) -> None:
    respond, outcome = ENDS[name]

    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host(respond)
            tried = s.send(host)
            assert await s.ended(tried) == [outcome]
            assert tried.exchange is not None and tried.exchange.written and tried.exchange.begun
            assert len(host.seen) == 1 and len(host.begun) == 1
            told = host.seen[0]
            assert (told.fields[b":path"], told.fields[b"idempotency-key"], bytes(told.body)) == (
                b"/unsafe?obj=1", b"k1", b"x",
            )  # fmt: skip
            assert 1 <= int(told.fields[b"x-timeout-ms"]) <= 1500
            if outcome is Outcome.OK:
                assert tried.answer is not None and tried.answer.body == b"done"
                assert not tried.answer.never_ran
            # A stream's error leaves the others alone: the next one is served on what is left, or anew.
            host.respond = done
            again = s.send(host)
            assert await s.ended(again) == [Outcome.OK]
            ended = ("GOAWAY", "connection", "forgotten", "no frame")
            assert host.handshakes == (2 if name.startswith(ended) else 1)
            assert s.signs == ([("s-1", Sign.HUNG_UP)] if name.startswith("forgotten") else [])

    asyncio.run(run())


def not_wanted(asked: Asked) -> None:
    asked.stop(NO_ERROR)  # the rest of the body is not wanted, and the answer does not need it
    asked.answer(status=500)


def long_answer(asked: Asked) -> None:
    asked.answer(b"y" * 200_000)


BEFORE: dict[str, tuple[Callable[[Asked], None], Outcome]] = {
    "reset, H3_REQUEST_REJECTED": (lambda a: a.reset(REJECTED), Outcome.REJECTED),
    "reset, H3_REQUEST_CANCELLED": (lambda a: a.reset(CANCELLED), Outcome.CONNECT_FAILED),
    "STOP_SENDING, H3_REQUEST_REJECTED": (lambda a: a.stop(REJECTED), Outcome.REJECTED),
    "connection closed": (lambda a: a.peer.close(), Outcome.CONNECT_FAILED),
    "GOAWAY": (lambda a: a.peer.go_away(a.number), Outcome.REJECTED),
    "forgotten": (lambda a: a.peer.host.forget(), Outcome.CONNECT_FAILED),
    "malformed": (no_status, Outcome.CONNECT_FAILED),
    "answered early": (lambda a: a.answer(status=500), Outcome.ERROR),
    "STOP_SENDING, H3_NO_ERROR, and answered": (not_wanted, Outcome.ERROR),
    # Passed on, it would be the client's only answer, and the request may never come to its end.
    "answered early and at length": (long_answer, Outcome.CONNECT_FAILED),
}


@pytest.mark.parametrize("name", BEFORE)
def test_every_end_before_the_last_byte_was_sent(tmp_path: Path, name: str) -> None:
    respond, outcome = BEFORE[name]

    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host()
            upload = Upload(None, lambda: None, lambda: None)
            tried = s.send(host, Wanted(b"beginning", upload))
            await until(lambda: bool(host.begun and host.begun[0].body))
            assert tried.exchange is not None and tried.exchange.begun and not tried.exchange.written
            respond(host.begun[0])
            assert await s.ended(tried) == [outcome]
            assert not tried.exchange.written and not tried.sink.got
            upload.feed(b"more")  # its client has not heard of it yet
            upload.end()
            await asyncio.sleep(0.05)
            assert not host.seen  # no request was ever whole: none has run

    asyncio.run(run())


def test_what_does_not_come_up_never_ran(tmp_path: Path) -> None:
    """Nobody there, silence, another authority, another name, another protocol on QUIC: each with its sign,
    which counts only where there is nothing to fall back to."""

    async def run(fallback: bool) -> None:
        other = tmp_path / "other"
        other.mkdir(exist_ok=True)
        strange = Authority(other, "another")
        async with scene(tmp_path, fallback) as s:
            gone = await s.host()
            gone.close()
            deaf = await s.host()
            deaf.deaf = True
            wrong = await QuicHost("s-1", strange.issue("s-1", "other")).start()
            named = await QuicHost("s-1", s.authority.issue("s-2", "named")).start()
            alpn = await s.host(alpn_protocols=["hq-interop"])
            mute = await s.host(alpn_protocols=None)
            s.hosts += [wrong, named]
            signs = dict.fromkeys((gone, deaf, wrong, named, alpn, mute))
            signs |= {gone: Sign.REFUSED, deaf: Sign.UNANSWERED}
            for host, sign in signs.items():
                s.carrier.speech.came_up("s-1")
                tried = s.send(host)
                assert await s.ended(tried) == [Outcome.CONNECT_FAILED]
                assert tried.exchange is not None and not tried.exchange.written and not host.begun
                assert tried.exchange.sign is (None if fallback else sign)

    asyncio.run(run(fallback=False))
    asyncio.run(run(fallback=True))


@in_scene(fallback=True)
async def test_what_failed_by_http3_goes_by_http1_for_a_while(s: Scene) -> None:
    """Each attempt has one outcome: nothing is tried a second time below the decisions."""
    host = await s.host()
    host.deaf = True
    first, second = s.send(host), s.send(host)
    assert await s.ended(first, second) == [Outcome.CONNECT_FAILED] * 2
    assert not s.plain.sent
    assert s.carrier.told("s-1").startswith("HTTP/1.1: HTTP/3 failed, again in")
    s.send(host)
    s.carrier.open_ahead(("s-1", ("127.0.0.1", host.port)))
    assert len(s.plain.sent) == len(s.plain.opened) == 1
    now_s = s.carrier.loop.time()
    assert 0 < s.carrier.speech.resting_s("s-1", now_s) <= REST_S
    host.deaf = False
    s.carrier.speech.came_up("s-1")  # its rest is over
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert s.carrier.told("s-1") == "HTTP/3"


@pytest.mark.parametrize("library", LIBRARIES)
def test_servers_of_either_library_are_asked_many_at_once(tmp_path: Path, library: str) -> None:
    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host(lambda asked: asked.answer(bytes(asked.body)), library)
            tried = [s.send(host, Wanted(b"%d" % i)) for i in range(50)]
            assert await s.ended(*tried) == [Outcome.OK] * 50
            assert [t.answer and t.answer.body for t in tried] == [b"%d" % i for i in range(50)]
            assert host.handshakes == 1  # they share a connection
            # What is idle is closed at half of the time after which its server would.
            for lane in s.carrier.lanes:
                lane.check(s.carrier.loop.time() + 0.4 * lane.quic.idle_s, 1000.0)
            assert len(s.carrier.lanes) == 1
            for lane in s.carrier.lanes:
                lane.check(s.carrier.loop.time() + 0.6 * lane.quic.idle_s, 1000.0)
            assert not s.carrier.lanes

    asyncio.run(run())


@in_scene()
async def test_goaway_lets_what_is_out_end_and_takes_nothing_new(s: Scene) -> None:
    host = await s.host(silent)
    out = [s.send(host) for _ in range(3)]
    await until(lambda: len(host.seen) == 3)
    peer = host.seen[0].peer
    peer.go_away(host.seen[1].number + 4)  # the third was not looked at
    assert await s.ended(out[2]) == [Outcome.REJECTED]
    host.respond = done
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 2 and out[0].outcome is None
    peer.go_away(host.seen[0].number + 4)  # lowered: the second was not either
    assert await s.ended(out[1]) == [Outcome.REJECTED]
    host.seen[0].answer()
    assert await s.ended(out[0]) == [Outcome.OK]
    await until(lambda: len(s.carrier.lanes) == 1)  # it ends with its last request
    # Raised again, it would call off what has gone elsewhere: an error of the connection.
    last = s.send(host)
    assert await s.ended(last) == [Outcome.OK]
    lane = s.carrier.lanes[0]
    peer = host.seen[-1].peer
    peer.go_away(100)
    await until(lambda: lane.leaving or lane.over)


@pytest.mark.parametrize("bounds", [(8, 12), (9,)])
def test_goaway_that_rises_or_names_no_request_is_an_error(tmp_path: Path, bounds: tuple[int, ...]) -> None:
    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host(silent)
            out = s.send(host)
            await until(lambda: len(host.seen) == 1)
            peer = host.seen[0].peer
            for bound in bounds:
                peer.go_away(bound)
            assert await s.ended(out) == [Outcome.RESET]
            await until(lambda: peer.over is not None)
            assert peer.over.error_code == 0x108

    asyncio.run(run())


@in_scene()
async def test_other_streams_of_the_server_hold_no_goaway(s: Scene) -> None:
    host = await s.host()
    assert await s.ended(s.send(host)) == [Outcome.OK]
    peer = host.seen[0].peer
    number = peer.quic.get_next_available_stream_id(is_unidirectional=True)
    peer.quic.send_stream_data(number, b"\x21\x07\x01\x00")  # of a type to be passed over
    peer.flush()
    await asyncio.sleep(0.1)
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 1


@in_scene()
async def test_given_up_a_stream_is_cancelled_and_the_connection_goes_on(s: Scene) -> None:
    host = await s.host(silent)
    out = s.send(host)
    await until(lambda: len(host.seen) == 1)
    assert out.exchange is not None
    out.exchange.abandon()
    await until(lambda: host.stops.get(host.seen[0].number) == CANCELLED)
    with suppress(ValueError, RuntimeError):  # too late: nobody hears of it
        host.seen[0].answer()
    host.respond = done
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 1 and out.outcome is None
    # Before its connection is up it never goes out.
    host.deaf, before = True, len(host.begun)
    fresh = s.send(host, on_open=lambda: None)
    assert fresh.exchange is not None
    fresh.exchange.abandon()
    host.deaf = False
    await until(lambda: len(s.carrier.lanes) == 2 and all(lane.up for lane in s.carrier.lanes))
    assert len(host.begun) == before and fresh.outcome is None


@in_scene()
async def test_a_lost_request_that_was_given_up_does_not_arrive_later(s: Scene) -> None:
    host = await s.host()
    assert await s.ended(s.send(host)) == [Outcome.OK]
    host.deaf = True
    out = s.send(host)
    await until(lambda: out.exchange is not None and out.exchange.written)
    assert out.exchange is not None
    out.exchange.abandon()  # its time is over
    host.deaf = False
    await until(lambda: bool(host.resets))
    await asyncio.sleep(0.1)
    assert len(host.seen) == 1


@in_scene()
async def test_a_connection_that_leads_nowhere_takes_no_more_requests(s: Scene) -> None:
    """Its server has vanished, and is back at the same place as a new process that says nothing of it."""
    host = await s.host()
    assert await s.ended(s.send(host)) == [Outcome.OK]
    host.deaf = True
    out = s.send(host)
    await until(lambda: out.exchange is not None and out.exchange.written)
    assert out.exchange is not None
    out.exchange.abandon()
    host.deaf = False
    for peer in host.peers.values():
        peer.stop_timer()
    host.peers = {address: peer for address, peer in host.peers.items() if False}
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 2
    # It holds its socket no longer than to the next look.
    for lane in s.carrier.lanes:
        lane.check(s.carrier.loop.time(), 1000.0)
    assert len(s.carrier.lanes) == 1
    # One that is merely slow has acknowledged what it got, and is kept.
    host.respond = silent
    out = s.send(host)
    await until(lambda: len(host.seen) == 3)
    await asyncio.sleep(0.05)
    assert out.exchange is not None
    out.exchange.abandon()
    host.respond = done
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 2


@in_scene()
async def test_a_host_that_drains_gets_nothing_new_and_ends_what_it_has(s: Scene) -> None:
    host = await s.host(silent)
    place = ("s-1", ("127.0.0.1", host.port))
    out = s.send(host)
    await until(lambda: len(host.seen) == 1)
    s.carrier.open_ahead(("s-9", ("127.0.0.1", host.port)))
    s.carrier.keep_only({place})
    assert len(s.carrier.lanes) == 1 and s.plain.kept == {place}
    s.carrier.keep_only(set())
    assert out.outcome is None
    host.seen[0].answer()
    assert await s.ended(out) == [Outcome.OK]
    await until(lambda: not s.carrier.lanes)


@in_scene()
async def test_what_is_given_up_while_it_comes_up_never_goes_out(s: Scene) -> None:
    host = await s.host()

    # In the very step in which its connection is up.
    def give_up() -> None:
        assert tried.exchange is not None
        tried.exchange.abandon()

    tried: Tried = s.send(host, on_open=give_up)
    await until(lambda: host.handshakes == 1)
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert len(host.begun) == 1 and tried.outcome is None
    # Before, on a connection to a server that drains by then: it goes with its only request.
    host.deaf = True
    waiting = s.send(host, on_open=lambda: None)
    s.carrier.keep_only(set())
    assert waiting.exchange is not None and waiting.outcome is None
    waiting.exchange.abandon()
    await until(lambda: not s.carrier.lanes)
    assert len(host.begun) == 1 and s.carrier.count["not_up"] == 0
    assert s.carrier.speech.by_http3("s-1", s.carrier.loop.time())


@in_scene()
async def test_what_is_given_up_as_a_long_answer_begins_ends_there(s: Scene) -> None:
    host = await s.host(long_answer)
    given: list[Answer] = []

    def begin(answer: Answer) -> None:
        given.append(answer)
        assert tried.exchange is not None
        tried.exchange.abandon()

    tried = Tried()
    place = ("s-1", ("127.0.0.1", host.port))
    sent = s.carrier.send(place, Wanted(), 1500.0, tried.end, begin)
    assert isinstance(sent, Exchange)
    tried.exchange = sent
    await until(lambda: bool(host.stops))
    assert len(given) == 1 and tried.outcome is None
    host.respond = done
    assert await s.ended(s.send(host)) == [Outcome.OK]
    assert host.handshakes == 1


@in_scene()
async def test_sent_is_what_has_left_not_what_was_handed_over(s: Scene) -> None:
    """A body that a window holds back has not been sent: given up, it never ran."""
    host = await s.host()
    assert await s.ended(s.send(host)) == [Outcome.OK]
    host.deaf = True
    tried = s.send(host, Wanted(b"x" * 60_000))
    await asyncio.sleep(0.2)
    assert tried.exchange is not None and tried.exchange.begun and not tried.exchange.written
    tried.exchange.abandon()
    host.deaf = False
    await until(lambda: bool(host.resets))
    assert len(host.seen) == 1
    assert not s.carrier.lanes[0].quic.is_reset(b"")


def test_one_opened_ahead_is_used_and_tells_who_is_not_there(tmp_path: Path) -> None:
    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host()
            s.carrier.open_ahead(("s-1", ("127.0.0.1", host.port)))
            await until(lambda: host.handshakes == 1)
            assert await s.ended(s.send(host)) == [Outcome.OK]
            assert host.handshakes == 1 and not s.signs
            gone = await s.host()
            gone.close()
            s.carrier.open_ahead(("s-1", ("127.0.0.1", gone.port)))
            await until(lambda: s.signs == [("s-1", Sign.REFUSED)])
        async with scene(tmp_path, most=2) as s:
            hosts = [await s.host(), await s.host()]
            for host in hosts:  # what may come to nothing takes half of the sockets at most
                s.carrier.open_ahead(("s-1", ("127.0.0.1", host.port)))
            assert len(s.carrier.lanes) == 1

    asyncio.run(run())


@in_scene(most=1)
async def test_sockets_are_bounded_and_an_idle_one_makes_room(s: Scene) -> None:
    first, second = await s.host(silent), await s.host()
    out = s.send(first)
    await until(lambda: len(first.seen) == 1)
    full = s.send(second)
    assert full.outcome is Outcome.NOT_SENT  # our own lack, told at once
    first.seen[0].answer()
    assert await s.ended(out) == [Outcome.OK]
    assert await s.ended(s.send(second)) == [Outcome.OK]
    assert [lane.host[1][1] for lane in s.carrier.lanes] == [second.port]


@in_scene()
async def test_streams_over_the_servers_limit_go_on_another_connection(s: Scene) -> None:
    host = await s.host(silent)
    first = s.send(host)
    await until(lambda: len(host.seen) == 1)
    (lane,) = s.carrier.lanes
    lane.quic._remote_max_streams_bidi = 2
    rest = [s.send(host) for _ in range(2)]
    await until(lambda: len(host.seen) == 3)
    assert host.handshakes == 2
    for asked in list(host.seen):
        asked.answer()
    assert await s.ended(first, *rest) == [Outcome.OK] * 3


@in_scene()
async def test_a_long_answer_comes_as_fast_as_its_client_takes_it(s: Scene) -> None:
    """8 MB to a client that has enough after 100 KB: no more than a window comes on top."""
    body = b"y" * (8 << 20)
    host = await s.host(lambda asked: asked.answer(body))
    out = s.send(host)
    out.sink.room = 100_000
    await until(lambda: out.sink.got >= out.sink.room)
    await asyncio.sleep(0.5)
    held = out.sink.got
    assert held < out.sink.room + 4 * 64 * 1024 and out.outcome is None
    # Another request is served meanwhile, on the same connection.
    host.respond = done
    assert await s.ended(s.send(host)) == [Outcome.OK]
    out.sink.room = 1 << 30
    assert out.sink.on_ready is not None
    out.sink.on_ready()
    assert await s.ended(out) == [Outcome.OK]
    assert (out.sink.got, out.sink.how, host.handshakes) == (len(body), "whole", 1)


def test_a_long_answer_that_is_cut_off_can_be_told(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(carrier, "STALL_S", 0.3)

    async def run() -> None:
        async with scene(tmp_path) as s:
            for how in ("reset", "closed", "stalled"):
                host = await s.host(saying(200_000, b"y" * 100_000, end=False))
                out = s.send(host)
                await until(lambda out=out: out.sink.got == 100_000)  # type: ignore[misc]
                if how == "reset":
                    host.seen[0].reset(INTERNAL)
                elif how == "closed":
                    host.seen[0].peer.close()
                outcome = Outcome.SPOILT if how == "stalled" else Outcome.RESET
                assert await s.ended(out) == [outcome]
                assert out.sink.how == "cut"

    asyncio.run(run())


@in_scene()
async def test_a_long_body_goes_on_as_fast_as_its_server_reads_it(s: Scene) -> None:
    host = await s.host(lambda asked: asked.answer(b"%d" % len(asked.body)))
    paused = [False]
    upload = Upload(None, lambda: paused.__setitem__(0, True), lambda: paused.__setitem__(0, False))
    out = s.send(host, Wanted(b"x" * 1000, upload))
    await until(lambda: bool(host.begun))
    host.deaf = True
    for _ in range(20):
        if not paused[0]:
            upload.feed(b"x" * 50_000)
            await asyncio.sleep(0)
    assert paused[0] and out.exchange is not None and not out.exchange.written
    fed = 1000 + 50_000
    host.deaf = False
    while fed < 1_000_000:
        await until(lambda: not paused[0])
        upload.feed(b"x" * 50_000)
        fed += 50_000
    upload.end()
    assert await s.ended(out) == [Outcome.OK]
    assert out.answer is not None and int(out.answer.body) >= 1_000_000 and out.exchange.written


def test_a_server_that_says_nothing_of_a_long_wait_is_asked_whether_it_is_there(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(carrier, "ALIVE_S", 0.1)

    async def run() -> None:
        async with scene(tmp_path) as s:
            host = await s.host(silent)
            out = s.send(host)
            await until(lambda: len(host.seen) == 1)
            await asyncio.sleep(0.3)
            before = host.datagrams
            await until(lambda: host.datagrams > before)
            host.seen[0].answer()
            assert await s.ended(out) == [Outcome.OK]

    asyncio.run(run())


def test_what_a_server_breaks_in_the_library_ends_its_connection_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with scene(tmp_path) as s:
            host, well = await s.host(silent), await s.host(silent)
            out, other = s.send(host), s.send(well)
            await until(lambda: len(host.seen) == len(well.seen) == 1)
            (lane,) = [lane for lane in s.carrier.lanes if lane.host[1][1] == host.port]

            def broken(*args: object, **how: object) -> None:
                raise AssertionError("a fault of the library")

            monkeypatch.setattr(lane.quic, "receive_datagram", broken)
            host.seen[0].answer()
            assert await s.ended(out) == [Outcome.RESET]
            well.seen[0].answer()
            assert await s.ended(other) == [Outcome.OK]

    asyncio.run(run())


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("no certificate", "has no CERTIFICATE in PEM form"),
        ("-----BEGIN CERTIFICATE-----\nbm9uZQ==\n-----END CERTIFICATE-----\n", "authority.pem: "),
    ],
)
def test_an_authority_that_cannot_be_used_is_told_at_once(tmp_path: Path, text: str, why: str) -> None:
    file = tmp_path / "authority.pem"
    file.write_text(text)
    with pytest.raises(ValueError, match=why):
        client_settings(str(file))


@in_scene()
async def test_attempt_whose_time_is_over_as_its_connection_comes_up_does_not_go_out(s: Scene) -> None:
    host = await s.host()
    over, fresh = s.send(host), s.send(host)
    assert over.exchange is not None and not over.exchange.begun
    over.exchange.until_s = 0.0  # as after a stop
    assert await s.ended(over, fresh) == [Outcome.NOT_SENT, Outcome.OK]
    assert not over.exchange.written and len(host.seen) == 1
