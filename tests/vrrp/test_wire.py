"""Datagrams of a pair: any bytes decode or raise, and forged, replayed or outdated datagrams are rejected."""

from __future__ import annotations

from contextlib import suppress
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter import datagrams
from cloverrouter.datagrams import BadDatagram, Datagram, RejectReason
from cloverrouter.rights import RequestId
from cloverrouter.vrrp.lease import Deny, Grant, Release, Request, Stale
from cloverrouter.vrrp.wire import PAIR_FORMAT, Kind, PairCodec, decode_lease, encode_lease

encode, decode = partial(datagrams.encode, PAIR_FORMAT), partial(datagrams.decode, PAIR_FORMAT)
SECRET = b"a secret that both boxes have"
STAMP = RequestId("a", 7, 9)
SAMPLE = Datagram(Kind.ADVERTISEMENT, "a", 5, 1, 3, b"payload")


@pytest.mark.parametrize("secret", [None, SECRET])
def test_decoding_returns_what_was_encoded(secret: bytes | None) -> None:
    assert decode(encode(SAMPLE, secret), secret) == SAMPLE


@pytest.mark.parametrize(
    "message",
    [Request(STAMP), Release(STAMP), Grant("w", STAMP), Deny("w", STAMP, "b", 250.0),
     Deny("w", STAMP, "", 0.0), Stale("w", STAMP, 11)],
)  # fmt: skip
def test_lease_messages_survive_encoding(message) -> None:  # type: ignore[no-untyped-def]
    assert decode_lease(*encode_lease(message)) == message


@given(st.binary(max_size=120), st.booleans(), st.booleans())
def test_any_bytes_decode_or_raise_bad_datagram(data: bytes, secret: bool, magic: bool) -> None:
    try:
        decode(b"CRV1" + data if magic else data, SECRET if secret else None)
    except BadDatagram as error:
        assert isinstance(error.reason, RejectReason)


@given(st.sampled_from(list(Kind)), st.binary(max_size=80))
def test_any_payload_decodes_or_raises_bad_datagram(kind: Kind, payload: bytes) -> None:
    with suppress(BadDatagram):
        decode_lease(kind, payload)


def test_any_changed_or_truncated_datagram_is_detected_with_a_secret() -> None:
    data = encode(SAMPLE, SECRET)
    for offset in range(len(data)):
        with pytest.raises(BadDatagram):
            decode(data[:offset] + bytes([data[offset] ^ 1]) + data[offset + 1 :], SECRET)
        with pytest.raises(BadDatagram):
            decode(data[:offset], SECRET)
    with pytest.raises(BadDatagram, match="secret"):
        decode(encode(SAMPLE, b"another"), SECRET)


def make_codecs() -> tuple[PairCodec, PairCodec]:
    return (
        PairCodec("a", 100, frozenset({"b"}), SECRET),
        PairCodec("b", 200, frozenset({"a"}), SECRET),
    )


def reject_reason(codec: PairCodec, data: bytes) -> RejectReason | None:
    try:
        codec.unwrap(data)
    except BadDatagram as error:
        return error.reason
    return None


def exchange_hellos(a: PairCodec, b: PairCodec) -> None:
    for _ in range(2):
        reject_reason(b, a.wrap("b", Kind.HELLO))
        reject_reason(a, b.wrap("a", Kind.HELLO))


def test_two_started_nodes_learn_their_lives_with_one_hello_each() -> None:
    a, b = make_codecs()
    assert reject_reason(b, a.wrap("b", Kind.HELLO)) is RejectReason.ECHO
    assert reject_reason(a, b.wrap("a", Kind.HELLO)) is None  # b has learned a's life
    assert reject_reason(b, a.wrap("b", Kind.HELLO)) is None


def test_duplicate_and_overtaken_datagrams_are_rejected() -> None:
    a, b = make_codecs()
    exchange_hellos(a, b)
    first, second = a.wrap("b", Kind.HELLO), a.wrap("b", Kind.HELLO)
    assert reject_reason(b, second) is None
    assert reject_reason(b, second) is RejectReason.REPLAY and reject_reason(b, first) is RejectReason.REPLAY


def test_replay_is_rejected_after_a_restart_of_either_node() -> None:
    a, b = make_codecs()
    exchange_hellos(a, b)
    recorded = a.wrap("b", Kind.HELLO)
    restarted_b = PairCodec("b", 201, frozenset({"a"}), SECRET)
    assert reject_reason(restarted_b, recorded) is RejectReason.ECHO
    restarted_a = PairCodec("a", 101, frozenset({"b"}), SECRET)
    exchange_hellos(restarted_a, b)
    assert reject_reason(b, recorded) is RejectReason.REPLAY  # from a life that has ended


def test_node_whose_clock_was_set_back_is_accepted_again() -> None:
    a, b = make_codecs()
    exchange_hellos(a, b)
    earlier = PairCodec("a", 50, frozenset({"b"}), SECRET)
    exchange_hellos(earlier, b)
    assert reject_reason(b, earlier.wrap("b", Kind.HELLO)) is None


def test_unconfigured_sender_with_the_secret_is_rejected() -> None:
    _, b = make_codecs()
    stranger = PairCodec("c", 1, frozenset({"b"}), SECRET)
    assert reject_reason(b, stranger.wrap("b", Kind.HELLO)) is RejectReason.SENDER
    assert b.rejected[RejectReason.SENDER] == 1
