"""Datagrams of a pair: total, and nothing forged, replayed or meant for an earlier life gets through."""

from __future__ import annotations

from contextlib import suppress
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter import datagrams
from cloverrouter.datagrams import BadDatagram, Datagram, Reason
from cloverrouter.rights import Stamp
from cloverrouter.vrrp.lease import Deny, Grant, Release, Request, Stale
from cloverrouter.vrrp.wire import PAIR, Courier, Kind, decode_lease, encode_lease

encode, decode = partial(datagrams.encode, PAIR), partial(datagrams.decode, PAIR)
SECRET = b"a secret that both boxes have"
STAMP = Stamp("a", 7, 9)
TOLD = Datagram(Kind.ADVERTISEMENT, "a", 5, 1, 3, b"payload")


@pytest.mark.parametrize("secret", [None, SECRET])
def test_what_is_written_is_read(secret: bytes | None) -> None:
    assert decode(encode(TOLD, secret), secret) == TOLD


@pytest.mark.parametrize(
    "message",
    [Request(STAMP), Release(STAMP), Grant("w", STAMP), Deny("w", STAMP, "b", 250.0),
     Deny("w", STAMP, "", 0.0), Stale("w", STAMP, 11)],
)  # fmt: skip
def test_lease_messages_are_read_as_written(message) -> None:  # type: ignore[no-untyped-def]
    assert decode_lease(*encode_lease(message)) == message


@given(st.binary(max_size=120), st.booleans(), st.booleans())
def test_any_bytes_are_a_datagram_or_one_fault(data: bytes, secret: bool, magic: bool) -> None:
    try:
        decode(b"CRV1" + data if magic else data, SECRET if secret else None)
    except BadDatagram as wrong:
        assert isinstance(wrong.reason, Reason)


@given(st.sampled_from(list(Kind)), st.binary(max_size=80))
def test_any_payload_is_a_lease_message_or_one_fault(kind: Kind, payload: bytes) -> None:
    with suppress(BadDatagram):
        decode_lease(kind, payload)


def test_any_byte_changed_or_cut_is_noticed_with_a_secret() -> None:
    data = encode(TOLD, SECRET)
    for place in range(len(data)):
        with pytest.raises(BadDatagram):
            decode(data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :], SECRET)
        with pytest.raises(BadDatagram):
            decode(data[:place], SECRET)
    with pytest.raises(BadDatagram, match="secret"):
        decode(encode(TOLD, b"another"), SECRET)


def couriers() -> tuple[Courier, Courier]:
    return (
        Courier("a", 100, frozenset({"b"}), SECRET),
        Courier("b", 200, frozenset({"a"}), SECRET),
    )


def reason(courier: Courier, data: bytes) -> Reason | None:
    try:
        courier.unwrap(data)
    except BadDatagram as wrong:
        return wrong.reason
    return None


def acquaint(a: Courier, b: Courier) -> None:
    for _ in range(2):
        reason(b, a.wrap("b", Kind.HELLO))
        reason(a, b.wrap("a", Kind.HELLO))


def test_two_that_start_know_each_other_after_a_hello_each() -> None:
    a, b = couriers()
    assert reason(b, a.wrap("b", Kind.HELLO)) is Reason.ECHO
    assert reason(a, b.wrap("a", Kind.HELLO)) is None  # b has learned a's life
    assert reason(b, a.wrap("b", Kind.HELLO)) is None


def test_datagram_counts_once_and_one_that_was_overtaken_not_at_all() -> None:
    a, b = couriers()
    acquaint(a, b)
    first, second = a.wrap("b", Kind.HELLO), a.wrap("b", Kind.HELLO)
    assert reason(b, second) is None
    assert reason(b, second) is Reason.REPLAY and reason(b, first) is Reason.REPLAY


def test_recording_is_worth_nothing_after_either_ones_restart() -> None:
    a, b = couriers()
    acquaint(a, b)
    recorded = a.wrap("b", Kind.HELLO)
    later = Courier("b", 201, frozenset({"a"}), SECRET)
    assert reason(later, recorded) is Reason.ECHO
    again = Courier("a", 101, frozenset({"b"}), SECRET)
    acquaint(again, b)
    assert reason(b, recorded) is Reason.REPLAY  # of a life that is over


def test_box_whose_clock_was_set_back_is_known_again() -> None:
    a, b = couriers()
    acquaint(a, b)
    earlier = Courier("a", 50, frozenset({"b"}), SECRET)
    acquaint(earlier, b)
    assert reason(b, earlier.wrap("b", Kind.HELLO)) is None


def test_stranger_with_the_secret_is_still_a_stranger() -> None:
    _, b = couriers()
    third = Courier("c", 1, frozenset({"b"}), SECRET)
    assert reason(b, third.wrap("b", Kind.HELLO)) is Reason.SENDER
    assert b.refused[Reason.SENDER] == 1
