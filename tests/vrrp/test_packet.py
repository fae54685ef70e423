"""Advertisement packets: the encoding of RFC 9568 section 5 and the checks of section 7.1."""

from __future__ import annotations

from ipaddress import ip_address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.vrrp.packet import (
    Advertisement,
    BadPacket,
    PacketFault,
    checksum,
    decode,
    encode,
    find_fault,
)

A, B, A6, B6 = (ip_address(t) for t in ("127.0.0.1", "127.0.0.2", "::1", "::2"))
VIP, VIP6 = ip_address("127.9.9.9"), ip_address("fe80::9")
SAMPLE = Advertisement(7, 100, 100, (VIP,))


def test_encoding_has_the_layout_of_the_rfc() -> None:
    data = encode(SAMPLE, A, B)
    assert data[:6] == bytes([0x31, 7, 100, 1, 0, 100]) and data[8:] == VIP.packed
    # Checksum by hand: 3107 + 6401 + 0064 + 7f09 + 0909 = 11d7e, carried 1d7f, its complement e280.
    assert data[6:8] == bytes([0xE2, 0x80])


@pytest.mark.parametrize(("source", "target", "vips"), [(A, B, (VIP, A)), (A6, B6, (VIP6,)), (A, B, ())])
def test_decoding_returns_what_was_encoded(source, target, vips) -> None:  # type: ignore[no-untyped-def]
    advertisement = Advertisement(255, 0, 4095, vips)
    assert decode(encode(advertisement, source, target), source, target) == advertisement


def test_checksum_covers_the_addresses_only_for_ipv6() -> None:
    assert decode(encode(SAMPLE, A, B), B, A) == SAMPLE
    data = encode(Advertisement(7, 100, 100, (VIP6,)), A6, B6)
    with pytest.raises(BadPacket, match="checksum"):
        decode(data, A6, ip_address("::3"))


def corrupted(offset: int, value: int, fix_checksum: bool = True) -> bytes:
    data = bytearray(encode(SAMPLE, A, B))
    data[offset] = value
    if fix_checksum:
        data[6:8] = b"\0\0"
        data[6:8] = checksum(bytes(data)).to_bytes(2, "big")
    return bytes(data)


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"", PacketFault.SHORT),
        (encode(SAMPLE, A, B)[:7], PacketFault.SHORT),
        (corrupted(0, 0x21), PacketFault.VERSION),
        (corrupted(0, 0x32), PacketFault.TYPE),
        (encode(SAMPLE, A, B)[:-1], PacketFault.INCOMPLETE),
        (encode(SAMPLE, A, B) + b"\0", PacketFault.INCOMPLETE),
        (corrupted(3, 2), PacketFault.INCOMPLETE),
        (corrupted(2, 200, fix_checksum=False), PacketFault.CHECKSUM),
        (corrupted(1, 0), PacketFault.VRID),
    ],
)
def test_each_check_of_section_7_1_reports_its_fault(data: bytes, fault: PacketFault) -> None:
    with pytest.raises(BadPacket) as caught:
        decode(data, A, B)
    assert caught.value.fault is fault


@pytest.mark.parametrize(
    ("advertisement", "own", "fault"),
    [
        (SAMPLE, 100, None),
        (Advertisement(8, 100, 100, (VIP,)), 100, PacketFault.VRID),
        (SAMPLE, 255, PacketFault.OWNER),
        (Advertisement(7, 100, 0, (VIP,)), 100, PacketFault.INTERVAL),
        (Advertisement(7, 0, 0, (VIP,)), 100, None),
        (Advertisement(7, 100, 100, (A,)), 100, PacketFault.ADDRESSES),
    ],
)
def test_advertisement_for_another_router_reports_its_fault(
    advertisement: Advertisement, own: int, fault: PacketFault | None
) -> None:
    assert find_fault(advertisement, 7, own, [VIP]) is fault


def test_reserved_bits_are_ignored_on_receipt() -> None:
    assert decode(corrupted(4, 0xF0), A, B).interval_cs == 100


@given(st.binary(max_size=80), st.booleans())
def test_any_bytes_decode_or_raise_bad_packet(data: bytes, ipv6: bool) -> None:
    try:
        advertisement = decode(data, *((A6, B6) if ipv6 else (A, B)))
    except BadPacket:
        return
    assert 0 <= advertisement.priority <= 255


@given(st.integers(0, 11), st.integers(1, 255))
def test_any_changed_byte_is_detected(offset: int, change: int) -> None:
    data = bytearray(encode(SAMPLE, A, B))
    data[offset] ^= change
    with pytest.raises(BadPacket):
        decode(bytes(data), A, B)
