"""The advertisement's bytes, RFC 9568 section 5, and the checks of section 7.1."""

from __future__ import annotations

from ipaddress import ip_address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.vrrp.packet import Advertisement, BadPacket, Fault, check, checksum, decode, encode

A, B, A6, B6 = (ip_address(t) for t in ("127.0.0.1", "127.0.0.2", "::1", "::2"))
VIP, VIP6 = ip_address("127.9.9.9"), ip_address("fe80::9")
TOLD = Advertisement(7, 100, 100, (VIP,))


def test_layout_is_the_rfcs() -> None:
    data = encode(TOLD, A, B)
    assert data[:6] == bytes([0x31, 7, 100, 1, 0, 100]) and data[8:] == VIP.packed
    # By hand: 3107 + 6401 + 0064 + 7f09 + 0909 = 11d7e, carried 1d7f, its complement e280.
    assert data[6:8] == bytes([0xE2, 0x80])


@pytest.mark.parametrize(("source", "target", "vips"), [(A, B, (VIP, A)), (A6, B6, (VIP6,)), (A, B, ())])
def test_what_is_written_is_read(source, target, vips) -> None:  # type: ignore[no-untyped-def]
    told = Advertisement(255, 0, 4095, vips)
    assert decode(encode(told, source, target), source, target) == told


def test_checksum_covers_the_addresses_only_for_ipv6() -> None:
    assert decode(encode(TOLD, A, B), B, A) == TOLD
    data = encode(Advertisement(7, 100, 100, (VIP6,)), A6, B6)
    with pytest.raises(BadPacket, match="checksum"):
        decode(data, A6, ip_address("::3"))


def broken(place: int, value: int, fix: bool = True) -> bytes:
    data = bytearray(encode(TOLD, A, B))
    data[place] = value
    if fix:
        data[6:8] = b"\0\0"
        data[6:8] = checksum(bytes(data)).to_bytes(2, "big")
    return bytes(data)


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"", Fault.SHORT),
        (encode(TOLD, A, B)[:7], Fault.SHORT),
        (broken(0, 0x21), Fault.VERSION),
        (broken(0, 0x32), Fault.TYPE),
        (encode(TOLD, A, B)[:-1], Fault.INCOMPLETE),
        (encode(TOLD, A, B) + b"\0", Fault.INCOMPLETE),
        (broken(3, 2), Fault.INCOMPLETE),
        (broken(2, 200, fix=False), Fault.CHECKSUM),
        (broken(1, 0), Fault.VRID),
    ],
)
def test_each_check_of_7_1_has_its_reason(data: bytes, fault: Fault) -> None:
    with pytest.raises(BadPacket) as caught:
        decode(data, A, B)
    assert caught.value.fault is fault


@pytest.mark.parametrize(
    ("told", "own", "fault"),
    [
        (TOLD, 100, None),
        (Advertisement(8, 100, 100, (VIP,)), 100, Fault.VRID),
        (TOLD, 255, Fault.OWNER),
        (Advertisement(7, 100, 0, (VIP,)), 100, Fault.INTERVAL),
        (Advertisement(7, 0, 0, (VIP,)), 100, None),
        (Advertisement(7, 100, 100, (A,)), 100, Fault.ADDRESSES),
    ],
)
def test_what_is_not_for_this_router_is_named(told: Advertisement, own: int, fault: Fault | None) -> None:
    assert check(told, 7, own, [VIP]) is fault


def test_reserved_bits_are_ignored_on_receipt() -> None:
    assert decode(broken(4, 0xF0), A, B).interval_cs == 100


@given(st.binary(max_size=80), st.booleans())
def test_any_bytes_are_an_advertisement_or_one_fault(data: bytes, six: bool) -> None:
    try:
        told = decode(data, *((A6, B6) if six else (A, B)))
    except BadPacket:
        return
    assert 0 <= told.priority <= 255


@given(st.integers(0, 11), st.integers(1, 255))
def test_any_byte_changed_is_noticed(place: int, change: int) -> None:
    data = bytearray(encode(TOLD, A, B))
    data[place] ^= change
    with pytest.raises(BadPacket):
        decode(bytes(data), A, B)
