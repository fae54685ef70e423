"""The rules beneath front and carrier: fields, streams, who may begin, how attempts end, which connection;
tables, properties, simulated time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.http3 import streams
from cloverrouter.http3.attempts import Bad, End, Reply, outcome_of
from cloverrouter.http3.doors import CROWDED_S, HANDSHAKE_S, MOST_UNPROVEN, TOKEN_S, Doors, Word
from cloverrouter.http3.fields import Fields, Request, answer_fields, request_of
from cloverrouter.http3.streams import FREE_BYTES, FROM_ANY, MOST_HANDED, Streams
from cloverrouter.http3.ways import (
    MOST_OF_A_SERVER,
    MOST_REST_S,
    MOST_STREAMS,
    REST_S,
    Speech,
    choose,
    leads_nowhere,
)
from cloverrouter.http3.wire import BadId, Goaways
from cloverrouter.interface import Outcome
from cloverrouter.lab.quic import goaway
from cloverrouter.proxy.keeping import Keeping
from cloverrouter.proxy.messages import MAX_BODY, MAX_HEAD, MOST_BODY

PSEUDO = ((b":method", b"POST"), (b":scheme", b"https"), (b":authority", b"x"), (b":path", b"/a?obj=1"))
HERE, THERE = ("127.0.0.1", 1000), ("127.0.0.1", 1001)


@pytest.mark.parametrize(
    ("told", "fault"),
    [
        ((*PSEUDO, (b"x-request-id", b"1")), 0),
        ((*PSEUDO, (b"te", b"trailers")), 0),
        ((*PSEUDO, (b"content-length", b"%d" % MOST_BODY)), 0),
        ((*PSEUDO, (b"content-length", b"%d" % (MOST_BODY + 1))), 413),
        ((*PSEUDO, (b"content-length", b"9" * 11)), 400),
        ((*PSEUDO, (b"content-length", b"-1")), 400),
        ((*PSEUDO, (b"te", b"gzip")), 400),
        ((*PSEUDO, (b"transfer-encoding", b"chunked")), 400),
        ((*PSEUDO, (b"connection", b"close")), 400),
        ((*PSEUDO, (b"x-request-id", b"1"), (b"x-request-id", b"2")), 400),
        ((*PSEUDO, (b"a", b"b" * 17_000)), 431),
        ((*PSEUDO, (b":path", b"/b")), 400),  # twice
        (((b"a", b"b"), *PSEUDO), 400),  # behind an ordinary field
        (PSEUDO[1:], 400),
        (PSEUDO[:3], 400),
        ((*PSEUDO[:3], (b":path", b"*")), 400),
        (((b":method", b"POST"), (b":path", b"/a")), 400),
        ((), 400),
    ],
)
def test_what_a_field_section_says(told: Fields, fault: int) -> None:
    found = request_of(told)
    if fault:
        assert found == fault
    else:
        assert isinstance(found, Request) and (found.method, found.target) == (b"POST", b"/a?obj=1")


@given(st.lists(st.tuples(st.binary(max_size=12), st.binary(max_size=12)), max_size=12))
def test_whatever_comes_is_a_request_or_an_error(told: list[tuple[bytes, bytes]]) -> None:
    found = request_of([*PSEUDO, *told])
    assert isinstance(found, Request) or found in (400, 413, 431)
    assert isinstance(request_of(told), Request | int)


def test_an_answers_fields() -> None:
    assert answer_fields(200, 0) == [(b":status", b"200"), (b"content-length", b"0")]
    assert answer_fields(503, None, b"t", b"1.5") == [
        (b":status", b"503"), (b"content-type", b"t"), (b"retry-after", b"1.5"),
    ]  # fmt: skip


def request(length: int | None = None) -> Request:
    told = [*PSEUDO] if length is None else [*PSEUDO, (b"content-length", b"%d" % length)]
    found = request_of(told)
    assert isinstance(found, Request)
    return found


@pytest.mark.parametrize(
    ("length", "pieces", "fault"),
    [
        (None, [10], 0),
        (10, [4, 6], 0),
        (10, [4, 7], 400),  # more than was said
        (None, [MAX_BODY, FREE_BYTES], 0),
        (None, [700_000], 413),  # over half of all that there is
        (700_000, [1], 413),
        (400_000, [1], 0),  # room is made for all of it at once
    ],
)
def test_what_a_body_earns(length: int | None, pieces: list[int], fault: int) -> None:
    found = Streams(Keeping(1_000_000))
    stream = found.opened(0, 0.0)
    assert stream is not None
    stream.request = request(length)
    assert [found.more(stream, b"x" * n, 0.0) for n in pieces][-1] == fault


def test_the_budget_is_one_for_all_connections_and_is_given_back() -> None:
    keeping = Keeping(500_000)
    connections = [Streams(keeping) for _ in range(4)]
    faults = []
    for found in connections:
        stream = found.opened(0, 0.0)
        assert stream is not None
        stream.request = request(250_000)
        faults.append(found.more(stream, b"x", 0.0))
    assert faults == [0, 0, 0, 0] and keeping.held == 4 * (250_000 - FREE_BYTES)
    other = connections[0].opened(4, 0.0)
    assert other is not None
    other.request = request(50_000)
    assert connections[0].more(other, b"x", 0.0) == 503
    connections[1].over(0)
    connections[2].ended()
    assert connections[0].more(other, b"x", 0.0) == 0
    for found in connections:
        found.ended()
    assert keeping.held == 0


def test_streams_that_do_not_come_to_an_end_are_late() -> None:
    found = Streams(Keeping(1_000_000))
    silent, slow, steady, whole = (found.opened(4 * i, 0.0) for i in range(4))
    assert silent is not None and slow is not None and steady is not None and whole is not None
    for stream in (slow, steady, whole):
        stream.request = request()
    found.taken(whole)
    for tick in range(1, 40):
        now_s = tick / 10
        assert found.more(steady, b"x" * 2000, now_s) == 0  # 20 KB a second
        if tick < 20:
            assert found.more(slow, b"x", now_s) == 0
        late = {stream.id for stream in found.late(now_s)}
        expected = {silent.id, slow.id} if now_s > streams.UNFINISHED_S + 0.01 else set()
        assert late == expected, now_s
    assert {s.id for s in found.late(3.9 + streams.PAUSE_S + 0.1)} == {silent.id, slow.id, steady.id}


def test_goaway_serves_what_was_seen_and_nothing_above() -> None:
    found = Streams(Keeping(1))
    for number in (0, 8):
        stream = found.opened(number, 0.0)
        assert stream is not None
        found.taken(stream)
    assert found.announce() == FROM_ANY and not found.leaving
    assert found.opened(12, 0.0) is not None  # came after the announcement
    assert found.leave() == 16 and found.leaving
    assert found.opened(16, 0.0) is None
    assert found.opened(4, 0.0) is not None  # below: it was on its way, and may be served
    assert found.leave() == 16  # it never rises (RFC 9114, 5.2)
    assert found.owed and found.next() == 0 and found.next() == 8 and found.next() is None
    for number in (0, 4, 8, 12):
        found.over(number)
    assert not found.busy


@settings(max_examples=200)
@given(st.lists(st.tuples(st.sampled_from("otnvx"), st.integers(0, 9)), max_size=80))
def test_each_taken_request_is_handed_over_once(steps: list[tuple[str, int]]) -> None:
    """However streams open, end, are handed over and withdrawn: in order, once, never beyond the bound."""
    found = Streams(Keeping(1))
    taken: list[int] = []
    handed: list[int] = []
    over: set[int] = set()
    opened = 0
    for word, which in steps:
        if word == "o":
            assert found.opened(4 * opened, 0.0) is not None
            opened += 1
        elif word == "t" and found.coming:
            stream = list(found.coming.values())[which % len(found.coming)]
            found.taken(stream)
            taken.append(stream.id)
        elif word == "n" and (number := found.next()) is not None:
            handed.append(number)
        elif word == "v" and opened:
            over.add(4 * (which % opened))
            found.over(4 * (which % opened))
        elif word == "x" and which == 0:
            found.ended()
            over.update(range(0, 4 * opened, 4))
        waiting = [n for n in taken if n not in handed and n not in over]
        assert found.owed == bool(waiting or [n for n in handed if n not in over])
    while (number := found.next()) is not None:
        handed.append(number)
    assert len(handed) == len(set(handed)) and set(handed) <= set(taken)
    assert handed == [n for n in taken if n in handed]


def test_no_more_than_so_many_are_with_the_handler() -> None:
    found = Streams(Keeping(1))
    for i in range(MOST_HANDED + 2):
        stream = found.opened(4 * i, 0.0)
        assert stream is not None
        found.taken(stream)
    assert len(list(iter(found.next, None))) == MOST_HANDED
    found.over(0)
    assert found.next() == 4 * MOST_HANDED and found.next() is None


# Who may begin


@pytest.mark.parametrize(
    ("most", "connections", "unproven", "proven", "word"),
    [
        (100, 0, 0, False, Word.BEGIN),
        (100, 50, MOST_UNPROVEN - 1, False, Word.BEGIN),
        (100, 50, MOST_UNPROVEN, False, Word.PROVE),
        (100, 50, MOST_UNPROVEN, True, Word.BEGIN),
        (100, 100, 0, False, Word.PROVE),
        (100, 100, 0, True, Word.DROP),
        (100, 100, MOST_UNPROVEN, True, Word.DROP),
        (8, 2, 2, False, Word.PROVE),  # a quarter of few
        (1, 0, 0, False, Word.BEGIN),
    ],
)
def test_who_may_begin(most: int, connections: int, unproven: int, proven: bool, word: Word) -> None:
    assert Doors(most, b"s").word(connections, unproven, proven) is word


@pytest.mark.parametrize(
    ("connections", "unproven", "seconds"),
    [(1, 1, HANDSHAKE_S), (50, MOST_UNPROVEN, CROWDED_S), (100, 1, CROWDED_S), (99, 15, HANDSHAKE_S)],
)
def test_a_handshake_has_time_unless_it_is_in_the_way(
    connections: int, unproven: int, seconds: float
) -> None:
    assert Doors(100, b"s").handshake_s(connections, unproven) == seconds


def test_a_token_counts_for_one_address_one_connection_and_a_moment() -> None:
    own, other = Doors(9, b"one secret"), Doors(9, b"another")
    token = own.token(HERE, b"original", b"chosen..", 5.0)
    assert own.read(HERE, token, b"chosen..", 5.0 + TOKEN_S - 0.01) == b"original"
    assert own.read(HERE, token, b"chosen..", 5.01 + TOKEN_S) is None
    assert own.read(HERE, token, b"chosen..", 4.0) is None
    assert own.read(THERE, token, b"chosen..", 5.0) is None
    assert own.read(("127.0.0.2", 1000), token, b"chosen..", 5.0) is None
    assert own.read(HERE, token, b"another.", 5.0) is None
    assert other.read(HERE, token, b"chosen..", 5.0) is None


@given(st.binary(max_size=60), st.integers(0, 400))
def test_no_other_bytes_are_a_token(noise: bytes, bit: int) -> None:
    doors = Doors(9, b"secret")
    token = bytearray(doors.token(HERE, b"original", b"chosen..", 5.0))
    token[bit // 8 % len(token)] ^= 1 << bit % 8
    assert doors.read(HERE, bytes(token), b"chosen..", 5.0) is None
    assert doors.read(HERE, noise, b"chosen..", 5.0) is None


def test_a_reset_is_known_after_a_restart() -> None:
    assert Doors(9, b"key").reset_token(b"id") == Doors(1, b"key").reset_token(b"id")
    assert Doors(9, b"key").reset_token(b"id") != Doors(9, b"key").reset_token(b"ie")
    assert Doors(9, b"key").reset_token(b"id") != Doors(9, b"yek").reset_token(b"id")


# The carrier's rules


@pytest.mark.parametrize(
    ("end", "code", "sent", "unsent"),
    [
        (End.NOT_UP, 0, Outcome.CONNECT_FAILED, Outcome.CONNECT_FAILED),
        (End.AWAY, 0, Outcome.REJECTED, Outcome.REJECTED),
        (End.RESET, 0x10B, Outcome.REJECTED, Outcome.REJECTED),
        *[(End.RESET, n, Outcome.RESET, Outcome.CONNECT_FAILED) for n in (0x10C, 0x100, 0x102, 0, 2**60)],
        (End.CLOSED, 0, Outcome.RESET, Outcome.CONNECT_FAILED),
        (End.CLOSED, 0x10B, Outcome.RESET, Outcome.CONNECT_FAILED),  # of a connection it promises nothing
        (End.MALFORMED, 0, Outcome.SPOILT, Outcome.CONNECT_FAILED),
        (End.STALLED, 0, Outcome.SPOILT, Outcome.CONNECT_FAILED),
    ],
)  # fmt: skip
def test_what_an_end_is_told_as(end: End, code: int, sent: Outcome, unsent: Outcome) -> None:
    assert (outcome_of(end, True, code), outcome_of(end, False, code)) == (sent, unsent)


OK_HEAD = [(b":status", b"200"), (b"content-length", b"4"), (b"x-server-load", b"queue=1")]


@pytest.mark.parametrize(
    ("steps", "why"),
    [
        ([b"four"], ""),
        ([b"fo", b"ur"], ""),
        ([b"fou"], "shorter"),
        ([b"four!"], "longer"),
        ([[(b":status", b"503")], b"four"], ""),  # fields behind the body are no second head
        ([[(b":status", b"103")]], "shorter"),
    ],
)
def test_an_answer_is_what_its_head_said(steps: list[Any], why: str) -> None:
    reply = Reply()
    assert not reply.head([(b":status", b"103")]) and reply.head(OK_HEAD)
    try:
        for step in steps:
            reply.body(step) if isinstance(step, bytes) else reply.head(step)
        reply.whole()
        assert not why and (reply.status, bytes(reply.held), reply.report) == (200, b"four", b"queue=1")
    except Bad as bad:
        assert why and why in str(bad)


@given(st.lists(st.one_of(
    st.binary(max_size=9),
    st.lists(st.tuples(st.sampled_from([b":status", b"content-length", b"x"]),
                       st.sampled_from([b"200", b"103", b"4", b"-1", b"2x0", b"99999999999"]))),
)))  # fmt: skip
def test_any_answer_is_one_or_is_bad(steps: list[Any]) -> None:
    reply = Reply()
    try:
        for step in steps:
            reply.body(step) if isinstance(step, bytes) else reply.head(step)
        reply.whole()
        assert 200 <= reply.status <= 999 and reply.length in (None, reply.came)
    except Bad:
        pass


def test_bounds_of_an_answer() -> None:
    with pytest.raises(Bad, match="head"):
        Reply().head([(b":status", b"200"), (b"x", b"y" * 2 * MAX_HEAD)])
    with pytest.raises(Bad, match="too large"):
        Reply().head([(b":status", b"200"), (b"content-length", b"%d" % (MOST_BODY + 1))])
    reply = Reply()
    reply.head([(b":status", b"200")])
    reply.came = MOST_BODY
    with pytest.raises(Bad, match="too large"):
        reply.body(b"x")
    with pytest.raises(Bad, match="without"):
        Reply().body(b"x")


@dataclass
class SomeLane:
    name: str
    up: bool = True
    usable: bool = True
    load: int = 0
    room: int = 100


@pytest.mark.parametrize(
    ("lanes", "fresh", "may_open", "chosen", "open"),
    [
        ([], False, True, None, True),
        ([], False, False, None, False),
        ([SomeLane("a", load=3), SomeLane("b", load=2)], False, True, "b", False),
        ([SomeLane("a", usable=False)], False, True, None, True),
        ([SomeLane("a", room=0)], False, True, None, True),
        ([SomeLane("a", load=MOST_STREAMS)], False, True, None, True),
        ([SomeLane("a")], True, True, None, True),  # only a new one tells whether any comes up
        ([SomeLane("a")], True, False, None, False),
        ([SomeLane("a", up=False, room=0)], False, True, "a", False),  # one handshake, not one for each
        ([SomeLane("a", up=False), SomeLane("b", load=9)], False, True, "b", False),
        ([SomeLane("a", room=0)] * MOST_OF_A_SERVER, False, True, None, False),
        ([SomeLane("a", usable=False)] * MOST_OF_A_SERVER, False, True, None, True),
    ],
)
def test_on_which_connection_a_request_goes(
    lanes: list[SomeLane], fresh: bool, may_open: bool, chosen: str | None, open: bool
) -> None:
    choice = choose(lanes, fresh, may_open)
    assert (choice.lane.name if choice.lane else None, choice.open) == (chosen, open)


def test_http3_rests_longer_with_each_failure_and_not_for_those_begun_before_it() -> None:
    speech, now_s = Speech(frozenset({"a", "b"})), 100.0
    assert speech.by_http3("a", now_s) and not speech.by_http3("c", now_s)
    rests = []
    for _ in range(9):
        for _ in range(5):  # five connections were under way
            speech.failed("a", now_s)
        assert not speech.by_http3("a", now_s) and speech.by_http3("b", now_s)
        rests.append(speech.resting_s("a", now_s))
        now_s += rests[-1]
        assert speech.by_http3("a", now_s)
    assert rests == [min(MOST_REST_S, REST_S * 2**n) for n in range(9)]
    speech.came_up("a")
    speech.failed("a", now_s)
    assert speech.resting_s("a", now_s) == REST_S
    speech.keep_only(["b"])
    assert speech.by_http3("a", now_s)
    alone = Speech(fallback=False)
    alone.failed("a", 0.0)
    assert alone.by_http3("a", 0.0) and not alone.resting_s("a", 0.0)


def test_a_connection_on_which_nothing_came_since_leads_nowhere() -> None:
    assert leads_nowhere(1.0, 2.0) and not leads_nowhere(2.1, 2.0)


@given(
    st.lists(st.one_of(st.integers(0, 2**40), st.binary(max_size=70))),
    st.lists(st.integers(1, 9), max_size=60),
)
def test_goaways_are_found_however_the_control_stream_is_cut(frames: list[Any], cuts: list[int]) -> None:
    data = b"\0\x04\x00"  # the stream's type, empty SETTINGS
    for told in frames:
        if isinstance(told, int):
            data += goaway(told)
        else:
            data += b"\x21" + (len(told) | 0x4000).to_bytes(2, "big") + told  # of a kind to be passed over
    reader, found, at = Goaways(), list[int](), 0
    for cut in [*cuts, len(data)]:
        found += reader.feed(data[at : at + cut])
        at += cut
    assert found == [told for told in frames if isinstance(told, int)]
    assert len(reader._buffer) < 20  # what is passed over is not held


def test_what_is_passed_over_on_the_control_stream_is_not_held() -> None:
    reader = Goaways()
    reader.feed(b"\0\x21\xbf\xff\xff\xff")  # a frame of a gigabyte
    for _ in range(9):
        assert reader.feed(b"\x07\x01\x00" * 9999) == []
    assert not reader._buffer


@pytest.mark.parametrize("payload", [b"", b"\xff", b"\0" * 9])
def test_a_goaway_without_an_id_is_an_error(payload: bytes) -> None:
    with pytest.raises(BadId):
        Goaways().feed(b"\0\x07" + bytes([len(payload)]) + payload)
