"""The logic of the frontend and the carrier without I/O: fields, streams, admission, ends of attempts, choice
of connections; with tables, properties and simulated time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.http3 import streams
from cloverrouter.http3.attempts import AttemptEnd, MalformedAnswer, Reply, outcome_of
from cloverrouter.http3.doors import (
    CROWDED_S,
    HANDSHAKE_S,
    MOST_UNPROVEN,
    TOKEN_LIFETIME_S,
    Admission,
    AdmissionControl,
)
from cloverrouter.http3.fields import Fields, Request, answer_fields, parse_request
from cloverrouter.http3.streams import MAX_DISPATCHED, MAX_GOAWAY_ID, UNBUDGETED_BYTES, RequestStreams
from cloverrouter.http3.ways import (
    BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_CONNECTIONS_PER_SERVER,
    MAX_STREAMS,
    Http3Availability,
    choose_connection,
    is_unresponsive,
)
from cloverrouter.http3.wire import GoawayIdError, GoawayReader
from cloverrouter.interface import Outcome
from cloverrouter.lab.quic import goaway
from cloverrouter.proxy.keeping import BufferBudget
from cloverrouter.proxy.messages import MAX_BODY_BYTES, MAX_HEAD_BYTES, STREAMING_THRESHOLD_BYTES

PSEUDO = ((b":method", b"POST"), (b":scheme", b"https"), (b":authority", b"x"), (b":path", b"/a?obj=1"))
ADDRESS, OTHER_ADDRESS = ("127.0.0.1", 1000), ("127.0.0.1", 1001)


@pytest.mark.parametrize(
    ("told", "fault"),
    [
        ((*PSEUDO, (b"x-request-id", b"1")), 0),
        ((*PSEUDO, (b"te", b"trailers")), 0),
        ((*PSEUDO, (b"content-length", b"%d" % MAX_BODY_BYTES)), 0),
        ((*PSEUDO, (b"content-length", b"%d" % (MAX_BODY_BYTES + 1))), 413),
        ((*PSEUDO, (b"content-length", b"9" * 11)), 400),
        ((*PSEUDO, (b"content-length", b"-1")), 400),
        ((*PSEUDO, (b"te", b"gzip")), 400),
        ((*PSEUDO, (b"transfer-encoding", b"chunked")), 400),
        ((*PSEUDO, (b"connection", b"close")), 400),
        ((*PSEUDO, (b"x-request-id", b"1"), (b"x-request-id", b"2")), 400),
        ((*PSEUDO, (b"a", b"b" * 17_000)), 431),
        ((*PSEUDO, (b":path", b"/b")), 400),  # twice
        (((b"a", b"b"), *PSEUDO), 400),  # after a regular field
        (PSEUDO[1:], 400),
        (PSEUDO[:3], 400),
        ((*PSEUDO[:3], (b":path", b"*")), 400),
        (((b":method", b"POST"), (b":path", b"/a")), 400),
        ((), 400),
    ],
)
def test_parse_request(told: Fields, fault: int) -> None:
    found = parse_request(told)
    if fault:
        assert found == fault
    else:
        assert isinstance(found, Request) and (found.method, found.target) == (b"POST", b"/a?obj=1")


@given(st.lists(st.tuples(st.binary(max_size=12), st.binary(max_size=12)), max_size=12))
def test_any_field_section_is_a_request_or_an_error(fields: list[tuple[bytes, bytes]]) -> None:
    found = parse_request([*PSEUDO, *fields])
    assert isinstance(found, Request) or found in (400, 413, 431)
    assert isinstance(parse_request(fields), Request | int)


def test_answer_fields() -> None:
    assert answer_fields(200, 0) == [(b":status", b"200"), (b"content-length", b"0")]
    assert answer_fields(503, None, b"t", b"1.5") == [
        (b":status", b"503"), (b"content-type", b"t"), (b"retry-after", b"1.5"),
    ]  # fmt: skip


def request(length: int | None = None) -> Request:
    fields = [*PSEUDO] if length is None else [*PSEUDO, (b"content-length", b"%d" % length)]
    found = parse_request(fields)
    assert isinstance(found, Request)
    return found


@pytest.mark.parametrize(
    ("length", "pieces", "fault"),
    [
        (None, [10], 0),
        (10, [4, 6], 0),
        (10, [4, 7], 400),  # more than declared
        (None, [STREAMING_THRESHOLD_BYTES, UNBUDGETED_BYTES], 0),
        (None, [700_000], 413),  # over half of the budget
        (700_000, [1], 413),
        (400_000, [1], 0),  # the declared length is reserved at once
    ],
)
def test_status_of_a_body(length: int | None, pieces: list[int], fault: int) -> None:
    request_streams = RequestStreams(BufferBudget(1_000_000))
    stream = request_streams.open(0, 0.0)
    assert stream is not None
    stream.request = request(length)
    assert [request_streams.add_body(stream, b"x" * n, 0.0) for n in pieces][-1] == fault


def test_budget_is_shared_by_connections_and_released() -> None:
    budget = BufferBudget(500_000)
    connections = [RequestStreams(budget) for _ in range(4)]
    faults = []
    for request_streams in connections:
        stream = request_streams.open(0, 0.0)
        assert stream is not None
        stream.request = request(250_000)
        faults.append(request_streams.add_body(stream, b"x", 0.0))
    assert faults == [0, 0, 0, 0] and budget.reserved_bytes == 4 * (250_000 - UNBUDGETED_BYTES)
    other = connections[0].open(4, 0.0)
    assert other is not None
    other.request = request(50_000)
    assert connections[0].add_body(other, b"x", 0.0) == 503
    connections[1].release(0)
    connections[2].release_all()
    assert connections[0].add_body(other, b"x", 0.0) == 0
    for request_streams in connections:
        request_streams.release_all()
    assert budget.reserved_bytes == 0


def test_slow_streams_are_overdue() -> None:
    request_streams = RequestStreams(BufferBudget(1_000_000))
    silent, slow, steady, complete = (request_streams.open(4 * i, 0.0) for i in range(4))
    assert silent is not None and slow is not None and steady is not None and complete is not None
    for stream in (slow, steady, complete):
        stream.request = request()
    request_streams.accept(complete)
    for tick in range(1, 40):
        now_s = tick / 10
        assert request_streams.add_body(steady, b"x" * 2000, now_s) == 0  # 20 KB a second
        if tick < 20:
            assert request_streams.add_body(slow, b"x", now_s) == 0
        overdue = {stream.id for stream in request_streams.overdue(now_s)}
        expected = {silent.id, slow.id} if now_s > streams.UNFINISHED_S + 0.01 else set()
        assert overdue == expected, now_s
    assert {s.id for s in request_streams.overdue(3.9 + streams.MAX_BODY_GAP_S + 0.1)} == {
        silent.id,
        slow.id,
        steady.id,
    }


def test_goaway_serves_opened_streams_and_none_above() -> None:
    request_streams = RequestStreams(BufferBudget(1))
    for number in (0, 8):
        stream = request_streams.open(number, 0.0)
        assert stream is not None
        request_streams.accept(stream)
    assert request_streams.goaway_announcement() == MAX_GOAWAY_ID and not request_streams.draining
    assert request_streams.open(12, 0.0) is not None  # arrives after the announcement
    assert request_streams.start_drain() == 16 and request_streams.draining
    assert request_streams.open(16, 0.0) is None
    assert request_streams.open(4, 0.0) is not None  # a lower id, which arrives out of order, is served
    assert request_streams.start_drain() == 16  # the id never rises (RFC 9114, 5.2)
    assert (
        request_streams.has_unanswered
        and request_streams.next_request() == 0
        and request_streams.next_request() == 8
        and request_streams.next_request() is None
    )
    for number in (0, 4, 8, 12):
        request_streams.release(number)
    assert not request_streams.busy


@settings(max_examples=200)
@given(st.lists(st.tuples(st.sampled_from("otnvx"), st.integers(0, 9)), max_size=80))
def test_accepted_request_is_dispatched_at_most_once(steps: list[tuple[str, int]]) -> None:
    """In any order of opening, ending, dispatching and withdrawing: in order and at most once."""
    request_streams = RequestStreams(BufferBudget(1))
    accepted: list[int] = []
    dispatched: list[int] = []
    released: set[int] = set()
    opened = 0
    for step, which in steps:
        if step == "o":
            assert request_streams.open(4 * opened, 0.0) is not None
            opened += 1
        elif step == "t" and request_streams.incomplete:
            stream = list(request_streams.incomplete.values())[which % len(request_streams.incomplete)]
            request_streams.accept(stream)
            accepted.append(stream.id)
        elif step == "n" and (number := request_streams.next_request()) is not None:
            dispatched.append(number)
        elif step == "v" and opened:
            released.add(4 * (which % opened))
            request_streams.release(4 * (which % opened))
        elif step == "x" and which == 0:
            request_streams.release_all()
            released.update(range(0, 4 * opened, 4))
        queued = [n for n in accepted if n not in dispatched and n not in released]
        assert request_streams.has_unanswered == bool(queued or [n for n in dispatched if n not in released])
    while (number := request_streams.next_request()) is not None:
        dispatched.append(number)
    assert len(dispatched) == len(set(dispatched)) and set(dispatched) <= set(accepted)
    assert dispatched == [n for n in accepted if n in dispatched]


def test_dispatch_limit() -> None:
    request_streams = RequestStreams(BufferBudget(1))
    for i in range(MAX_DISPATCHED + 2):
        stream = request_streams.open(4 * i, 0.0)
        assert stream is not None
        request_streams.accept(stream)
    assert len(list(iter(request_streams.next_request, None))) == MAX_DISPATCHED
    request_streams.release(0)
    assert request_streams.next_request() == 4 * MAX_DISPATCHED and request_streams.next_request() is None


# Admission


@pytest.mark.parametrize(
    ("most", "connections", "unproven", "proven", "word"),
    [
        (100, 0, 0, False, Admission.BEGIN),
        (100, 50, MOST_UNPROVEN - 1, False, Admission.BEGIN),
        (100, 50, MOST_UNPROVEN, False, Admission.PROVE),
        (100, 50, MOST_UNPROVEN, True, Admission.BEGIN),
        (100, 100, 0, False, Admission.PROVE),
        (100, 100, 0, True, Admission.DROP),
        (100, 100, MOST_UNPROVEN, True, Admission.DROP),
        (8, 2, 2, False, Admission.PROVE),  # a quarter of a small limit
        (1, 0, 0, False, Admission.BEGIN),
    ],
)
def test_admission(most: int, connections: int, unproven: int, proven: bool, word: Admission) -> None:
    assert AdmissionControl(most, b"s").admit(connections, unproven, proven) is word


@pytest.mark.parametrize(
    ("connections", "unproven", "seconds"),
    [(1, 1, HANDSHAKE_S), (50, MOST_UNPROVEN, CROWDED_S), (100, 1, CROWDED_S), (99, 15, HANDSHAKE_S)],
)
def test_handshake_timeout_is_shorter_when_crowded(connections: int, unproven: int, seconds: float) -> None:
    assert AdmissionControl(100, b"s").handshake_s(connections, unproven) == seconds


def test_token_is_valid_for_one_address_and_connection_and_expires() -> None:
    own, other = AdmissionControl(9, b"one secret"), AdmissionControl(9, b"another")
    token = own.issue_token(ADDRESS, b"original", b"chosen..", 5.0)
    assert own.verify_token(ADDRESS, token, b"chosen..", 5.0 + TOKEN_LIFETIME_S - 0.01) == b"original"
    assert own.verify_token(ADDRESS, token, b"chosen..", 5.01 + TOKEN_LIFETIME_S) is None
    assert own.verify_token(ADDRESS, token, b"chosen..", 4.0) is None
    assert own.verify_token(OTHER_ADDRESS, token, b"chosen..", 5.0) is None
    assert own.verify_token(("127.0.0.2", 1000), token, b"chosen..", 5.0) is None
    assert own.verify_token(ADDRESS, token, b"another.", 5.0) is None
    assert other.verify_token(ADDRESS, token, b"chosen..", 5.0) is None


@given(st.binary(max_size=60), st.integers(0, 400))
def test_altered_token_is_invalid(noise: bytes, bit: int) -> None:
    admission = AdmissionControl(9, b"secret")
    token = bytearray(admission.issue_token(ADDRESS, b"original", b"chosen..", 5.0))
    token[bit // 8 % len(token)] ^= 1 << bit % 8
    assert admission.verify_token(ADDRESS, bytes(token), b"chosen..", 5.0) is None
    assert admission.verify_token(ADDRESS, noise, b"chosen..", 5.0) is None


def test_reset_token_is_the_same_after_a_restart() -> None:
    assert AdmissionControl(9, b"key").reset_token(b"id") == AdmissionControl(1, b"key").reset_token(b"id")
    assert AdmissionControl(9, b"key").reset_token(b"id") != AdmissionControl(9, b"key").reset_token(b"ie")
    assert AdmissionControl(9, b"key").reset_token(b"id") != AdmissionControl(9, b"yek").reset_token(b"id")


# The logic of the carrier


@pytest.mark.parametrize(
    ("end", "code", "sent", "unsent"),
    [
        (AttemptEnd.NOT_UP, 0, Outcome.CONNECT_FAILED, Outcome.CONNECT_FAILED),
        (AttemptEnd.AWAY, 0, Outcome.REJECTED, Outcome.REJECTED),
        (AttemptEnd.RESET, 0x10B, Outcome.REJECTED, Outcome.REJECTED),
        *[(AttemptEnd.RESET, n, Outcome.RESET, Outcome.CONNECT_FAILED)
          for n in (0x10C, 0x100, 0x102, 0, 2**60)],
        (AttemptEnd.CLOSED, 0, Outcome.RESET, Outcome.CONNECT_FAILED),
        # As the error of a connection, H3_REQUEST_REJECTED guarantees nothing.
        (AttemptEnd.CLOSED, 0x10B, Outcome.RESET, Outcome.CONNECT_FAILED),
        (AttemptEnd.MALFORMED, 0, Outcome.SPOILT, Outcome.CONNECT_FAILED),
        (AttemptEnd.STALLED, 0, Outcome.SPOILT, Outcome.CONNECT_FAILED),
    ],
)  # fmt: skip
def test_outcome_of_each_end(end: AttemptEnd, code: int, sent: Outcome, unsent: Outcome) -> None:
    assert (outcome_of(end, True, code), outcome_of(end, False, code)) == (sent, unsent)


OK_HEAD = [(b":status", b"200"), (b"content-length", b"4"), (b"x-server-load", b"queue=1")]


@pytest.mark.parametrize(
    ("steps", "why"),
    [
        ([b"four"], ""),
        ([b"fo", b"ur"], ""),
        ([b"fou"], "shorter"),
        ([b"four!"], "longer"),
        ([[(b":status", b"503")], b"four"], ""),  # trailers don't replace the head
        ([[(b":status", b"103")]], "shorter"),
    ],
)
def test_answer_must_match_its_head(steps: list[Any], why: str) -> None:
    reply = Reply()
    assert not reply.receive_head([(b":status", b"103")]) and reply.receive_head(OK_HEAD)
    try:
        for step in steps:
            reply.receive_body(step) if isinstance(step, bytes) else reply.receive_head(step)
        reply.check_complete()
        assert not why and (reply.status, bytes(reply.buffered), reply.report) == (200, b"four", b"queue=1")
    except MalformedAnswer as bad:
        assert why and why in str(bad)


@given(st.lists(st.one_of(
    st.binary(max_size=9),
    st.lists(st.tuples(st.sampled_from([b":status", b"content-length", b"x"]),
                       st.sampled_from([b"200", b"103", b"4", b"-1", b"2x0", b"99999999999"]))),
)))  # fmt: skip
def test_any_input_is_an_answer_or_malformed(steps: list[Any]) -> None:
    reply = Reply()
    try:
        for step in steps:
            reply.receive_body(step) if isinstance(step, bytes) else reply.receive_head(step)
        reply.check_complete()
        assert 200 <= reply.status <= 999 and reply.length in (None, reply.received_bytes)
    except MalformedAnswer:
        pass


def test_limits_of_an_answer() -> None:
    with pytest.raises(MalformedAnswer, match="head"):
        Reply().receive_head([(b":status", b"200"), (b"x", b"y" * 2 * MAX_HEAD_BYTES)])
    with pytest.raises(MalformedAnswer, match="too large"):
        Reply().receive_head([(b":status", b"200"), (b"content-length", b"%d" % (MAX_BODY_BYTES + 1))])
    reply = Reply()
    reply.receive_head([(b":status", b"200")])
    reply.received_bytes = MAX_BODY_BYTES
    with pytest.raises(MalformedAnswer, match="too large"):
        reply.receive_body(b"x")
    with pytest.raises(MalformedAnswer, match="without"):
        Reply().receive_body(b"x")


@dataclass
class SomeConnection:
    name: str
    established: bool = True
    usable: bool = True
    load: int = 0
    available_streams: int = 100


@pytest.mark.parametrize(
    ("lanes", "fresh", "may_open", "chosen", "open"),
    [
        ([], False, True, None, True),
        ([], False, False, None, False),
        ([SomeConnection("a", load=3), SomeConnection("b", load=2)], False, True, "b", False),
        ([SomeConnection("a", usable=False)], False, True, None, True),
        ([SomeConnection("a", available_streams=0)], False, True, None, True),
        ([SomeConnection("a", load=MAX_STREAMS)], False, True, None, True),
        # Only a new connection tests whether the server accepts any.
        ([SomeConnection("a")], True, True, None, True),
        ([SomeConnection("a")], True, False, None, False),
        # Requests share one handshake.
        ([SomeConnection("a", established=False, available_streams=0)], False, True, "a", False),
        ([SomeConnection("a", established=False), SomeConnection("b", load=9)], False, True, "b", False),
        ([SomeConnection("a", available_streams=0)] * MAX_CONNECTIONS_PER_SERVER, False, True, None, False),
        ([SomeConnection("a", usable=False)] * MAX_CONNECTIONS_PER_SERVER, False, True, None, True),
    ],
)
def test_choose_connection(
    lanes: list[SomeConnection], fresh: bool, may_open: bool, chosen: str | None, open: bool
) -> None:
    choice = choose_connection(lanes, fresh, may_open)
    assert (choice.connection.name if choice.connection else None, choice.open) == (chosen, open)


def test_backoff_doubles_and_counts_concurrent_failures_once() -> None:
    availability, now_s = Http3Availability(frozenset({"a", "b"})), 100.0
    assert availability.uses_http3("a", now_s) and not availability.uses_http3("c", now_s)
    backoffs = []
    for _ in range(9):
        for _ in range(5):  # five handshakes were in progress
            availability.record_failure("a", now_s)
        assert not availability.uses_http3("a", now_s) and availability.uses_http3("b", now_s)
        backoffs.append(availability.backoff_left_s("a", now_s))
        now_s += backoffs[-1]
        assert availability.uses_http3("a", now_s)
    assert backoffs == [min(MAX_BACKOFF_S, BACKOFF_S * 2**n) for n in range(9)]
    availability.record_success("a")
    availability.record_failure("a", now_s)
    assert availability.backoff_left_s("a", now_s) == BACKOFF_S
    availability.keep_only(["b"])
    assert availability.uses_http3("a", now_s)
    without_fallback = Http3Availability(fallback=False)
    without_fallback.record_failure("a", 0.0)
    assert without_fallback.uses_http3("a", 0.0) and not without_fallback.backoff_left_s("a", 0.0)


def test_connection_without_datagrams_since_the_request_is_unresponsive() -> None:
    assert is_unresponsive(1.0, 2.0) and not is_unresponsive(2.1, 2.0)


@given(
    st.lists(st.one_of(st.integers(0, 2**40), st.binary(max_size=70))),
    st.lists(st.integers(1, 9), max_size=60),
)
def test_goaways_are_found_in_a_control_stream_split_anywhere(frames: list[Any], cuts: list[int]) -> None:
    data = b"\0\x04\x00"  # the stream's type, empty SETTINGS
    for frame in frames:
        if isinstance(frame, int):
            data += goaway(frame)
        else:
            data += b"\x21" + (len(frame) | 0x4000).to_bytes(2, "big") + frame  # of a type that is skipped
    reader, ids, position = GoawayReader(), list[int](), 0
    for cut in [*cuts, len(data)]:
        ids += reader.feed(data[position : position + cut])
        position += cut
    assert ids == [frame for frame in frames if isinstance(frame, int)]
    assert len(reader._buffer) < 20  # skipped frames are not buffered


def test_skipped_frames_of_the_control_stream_are_not_buffered() -> None:
    reader = GoawayReader()
    reader.feed(b"\0\x21\xbf\xff\xff\xff")  # a frame of a gigabyte
    for _ in range(9):
        assert reader.feed(b"\x07\x01\x00" * 9999) == []
    assert not reader._buffer


@pytest.mark.parametrize("payload", [b"", b"\xff", b"\0" * 9])
def test_goaway_without_id_is_an_error(payload: bytes) -> None:
    with pytest.raises(GoawayIdError):
        GoawayReader().feed(b"\0\x07" + bytes([len(payload)]) + payload)
