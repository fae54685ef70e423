"""VRRPv3 advertisements, RFC 9568 section 5: encoding, decoding, and the checks of section 7.1.

Advertisements are carried in UDP between configured peers, so there is no IP header of VRRP's own: its hop
limit of 255 (section 7.1) can't be checked, and the checksum's pseudo-header (IPv6 only, section 5.2.8) is
made of the addresses of the UDP datagram.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address, IPv6Address, ip_address

VERSION, ADVERTISEMENT = 3, 1
NEXT_HEADER = 112  # VRRP's protocol number, in the pseudo-header
FIXED_FIELDS = struct.Struct("!BBBBHH")
MAX_ADDRESSES = 255
Address = IPv4Address | IPv6Address


class PacketFault(Enum):
    """Which check a received packet fails; also the key of its counter."""

    SHORT = "shorter than the fixed fields"
    VERSION = "not VRRP version 3"
    TYPE = "no advertisement"
    INCOMPLETE = "not as long as its count of addresses says"
    CHECKSUM = "wrong checksum"
    VRID = "another virtual router's"
    OWNER = "this router owns the addresses"
    ADDRESSES = "other virtual addresses"
    INTERVAL = "an interval of zero"


class BadPacket(Exception):
    def __init__(self, fault: PacketFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


@dataclass(frozen=True, slots=True)
class Advertisement:
    """`interval_cs`: Max Advertise Interval in centiseconds, 12 bits. Addresses are all of one family."""

    vrid: int
    priority: int
    interval_cs: int
    addresses: tuple[Address, ...]

    def __post_init__(self) -> None:
        if not 1 <= self.vrid <= 255 or not 0 <= self.priority <= 255 or not 0 <= self.interval_cs <= 4095:
            raise ValueError("vrid 1 to 255, priority 0 to 255, interval 0 to 4095 centiseconds")
        if len(self.addresses) > MAX_ADDRESSES or len({a.version for a in self.addresses}) > 1:
            raise ValueError("at most 255 addresses, all of one family")


def checksum(data: bytes) -> int:
    """The 16-bit one's complement of the one's complement sum (RFC 1071)."""
    if len(data) % 2:
        data += b"\0"
    total: int = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def _pseudo_header(source: Address, target: Address, length: int) -> bytes:
    """The pseudo-header of IPv6 (RFC 8200 section 8.1); empty for IPv4, which sums the packet alone."""
    if source.version == 4:
        return b""
    return source.packed + target.packed + struct.pack("!I3xB", length, NEXT_HEADER)


def encode(advertisement: Advertisement, source: Address, target: Address) -> bytes:
    """`source` and `target`: the addresses of the UDP datagram."""
    addresses = b"".join(address.packed for address in advertisement.addresses)

    def fixed_fields(checksum_field: int) -> bytes:
        version_and_type = VERSION << 4 | ADVERTISEMENT
        return FIXED_FIELDS.pack(
            version_and_type,
            advertisement.vrid,
            advertisement.priority,
            len(advertisement.addresses),
            advertisement.interval_cs,
            checksum_field,
        )

    packet = fixed_fields(0) + addresses
    return fixed_fields(checksum(_pseudo_header(source, target, len(packet)) + packet)) + addresses


def decode(data: bytes, source: Address, target: Address) -> Advertisement:
    """Decode any input to an advertisement, or raise `BadPacket` with the first failed check."""
    if len(data) < FIXED_FIELDS.size:
        raise BadPacket(PacketFault.SHORT)
    version_and_type, vrid, priority, count, interval, _checksum = FIXED_FIELDS.unpack_from(data)
    if version_and_type >> 4 != VERSION:
        raise BadPacket(PacketFault.VERSION)
    if version_and_type & 0xF != ADVERTISEMENT:
        raise BadPacket(PacketFault.TYPE)
    size = 4 if source.version == 4 else 16
    if len(data) != FIXED_FIELDS.size + count * size:
        raise BadPacket(PacketFault.INCOMPLETE)
    if checksum(_pseudo_header(source, target, len(data)) + data) != 0:
        raise BadPacket(PacketFault.CHECKSUM)
    if vrid == 0:
        raise BadPacket(PacketFault.VRID)
    addresses = tuple(
        ip_address(data[offset : offset + size]) for offset in range(FIXED_FIELDS.size, len(data), size)
    )
    # The four reserved bits are ignored on receipt (section 5.2.6).
    return Advertisement(vrid, priority, interval & 0x0FFF, addresses)


def find_fault(
    advertisement: Advertisement, vrid: int, own_priority: int, addresses: Sequence[Address]
) -> PacketFault | None:
    """The remaining checks of section 7.1: the first that fails for this virtual router, or None.

    `ADDRESSES` is a misconfiguration that the RFC lets a receiver check for; the caller reports it and still
    processes the advertisement.
    """
    if advertisement.vrid != vrid:
        return PacketFault.VRID
    if own_priority == 255:
        return PacketFault.OWNER
    if advertisement.interval_cs == 0 and advertisement.priority != 0:
        # With an interval of zero every timer would be due again at once, without end.
        return PacketFault.INTERVAL
    if set(advertisement.addresses) != set(addresses):
        return PacketFault.ADDRESSES
    return None
