"""Lease datagrams: size limit, decoding of any input, and authentication of the sender."""

from __future__ import annotations

from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.datagrams import BadDatagram, Datagram, DatagramCodec, RejectReason
from cloverrouter.leases.wire import LEASE_FORM, REQUESTS, Kind, decode_answer, decode_request, encode_message
from cloverrouter.leases.words import Answer, Ask, Deny, Free, Grant, Release, Request
from cloverrouter.rights import RequestId

LONG, BIG = "n" * 32, 2**63 - 1
REQUEST_ID = RequestId(LONG, BIG, BIG)
SECRET = b"sixteen bytes at the least"
MESSAGES: list[Request | Answer] = [
    Ask(REQUEST_ID, LONG, 63, BIG, 64),
    Release(REQUEST_ID, LONG, 63, BIG),
    Release(REQUEST_ID, LONG, 63, BIG, True, (LONG, BIG), BIG),
    Grant("v" * 32, REQUEST_ID, LONG, 63, BIG, BIG),
    Grant("v" * 32, REQUEST_ID, LONG, 63, BIG, BIG, (LONG, BIG)),
    Deny("v" * 32, REQUEST_ID, LONG, 63, BIG, BIG, 60_000.0, BIG, 65_535, 64),
    Free("v" * 32, REQUEST_ID, LONG, 63, BIG),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_round_trip_and_fit_the_size_limit(message: Request | Answer) -> None:
    kind, payload = encode_message(message)
    is_request = kind in REQUESTS
    sender = REQUEST_ID.member if is_request else "v" * 32
    datagram = Datagram(kind, sender, BIG, 1, 1, payload)
    assert (decode_request(datagram) if is_request else decode_answer(datagram, REQUEST_ID.member)) == message
    courier = DatagramCodec(LEASE_FORM, sender, BIG, frozenset({"b"}), SECRET)
    assert len(courier.wrap("b", kind, payload)) <= 256


@given(st.sampled_from(list(Kind)), st.binary(max_size=200))
def test_any_payload_decodes_or_raises_bad_datagram(kind: Kind, payload: bytes) -> None:
    datagram = Datagram(kind, "a", 1, 1, 1, payload)
    with suppress(BadDatagram):
        decode_request(datagram)
    with suppress(BadDatagram):
        decode_answer(datagram, "b")


def test_former_secret_is_accepted_and_a_wrong_one_refused() -> None:
    old, new = b"the former secret, long enough", SECRET
    receiver = DatagramCodec(LEASE_FORM, "a", 1, frozenset({"b", "c"}), new, old)
    for name, secret, accepted in (
        ("b", old, True),
        ("c", new, True),
        ("b", b"a stranger's own secret", False),
    ):
        sender = DatagramCodec(LEASE_FORM, name, 7, frozenset({"a"}), secret)
        sender._peer_lives["a"] = 1
        try:
            assert receiver.unwrap(sender.wrap("a", Kind.ASK)).sender == name and accepted
        except BadDatagram as error:
            assert not accepted and error.reason is RejectReason.CODE
