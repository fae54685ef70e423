"""VRRPv3 advertisements, RFC 9568 section 5: bytes to typed values and back, and the checks of section 7.1.

Carried in UDP between configured peers, so there is no IP header of VRRP's own: what section 7.1 checks
there (hop limit 255) can't be checked here, and the checksum's pseudo-header (IPv6 only, section 5.2.8) is
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
HEAD = struct.Struct("!BBBBHH")
MOST_ADDRESSES = 255
Address = IPv4Address | IPv6Address


class Fault(Enum):
    """Why a datagram is no advertisement for us: one for each check, to be counted by."""

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
    def __init__(self, fault: Fault) -> None:
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
        if len(self.addresses) > MOST_ADDRESSES or len({a.version for a in self.addresses}) > 1:
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
    """Only IPv6 has one (RFC 8200 section 8.1); for IPv4 the sum is over the message alone."""
    if source.version == 4:
        return b""
    return source.packed + target.packed + struct.pack("!I3xB", length, NEXT_HEADER)


def encode(told: Advertisement, source: Address, target: Address) -> bytes:
    """`source` and `target`: the datagram's addresses."""
    body = b"".join(address.packed for address in told.addresses)

    def head(check: int) -> bytes:
        first = VERSION << 4 | ADVERTISEMENT
        return HEAD.pack(first, told.vrid, told.priority, len(told.addresses), told.interval_cs, check)

    whole = head(0) + body
    return head(checksum(_pseudo_header(source, target, len(whole)) + whole)) + body


def decode(data: bytes, source: Address, target: Address) -> Advertisement:
    """Total: an advertisement, or `BadPacket` with the first check of section 7.1 that fails."""
    if len(data) < HEAD.size:
        raise BadPacket(Fault.SHORT)
    first, vrid, priority, count, interval, _check = HEAD.unpack_from(data)
    if first >> 4 != VERSION:
        raise BadPacket(Fault.VERSION)
    if first & 0xF != ADVERTISEMENT:
        raise BadPacket(Fault.TYPE)
    size = 4 if source.version == 4 else 16
    if len(data) != HEAD.size + count * size:
        raise BadPacket(Fault.INCOMPLETE)
    if checksum(_pseudo_header(source, target, len(data)) + data) != 0:
        raise BadPacket(Fault.CHECKSUM)
    if vrid == 0:
        raise BadPacket(Fault.VRID)
    addresses = tuple(ip_address(data[place : place + size]) for place in range(HEAD.size, len(data), size))
    # The four reserved bits are ignored on receipt (section 5.2.6).
    return Advertisement(vrid, priority, interval & 0x0FFF, addresses)


def check(told: Advertisement, vrid: int, own_priority: int, addresses: Sequence[Address]) -> Fault | None:
    """The rest of section 7.1: is it for this virtual router? `ADDRESSES` is a fault of configuration that
    the RFC lets a receiver look for; the caller says so and goes on by the other checks."""
    if told.vrid != vrid:
        return Fault.VRID
    if own_priority == 255:
        return Fault.OWNER
    if told.interval_cs == 0 and told.priority != 0:
        # Danger: an interval of nothing would make every timer due at once, for ever.
        return Fault.INTERVAL
    if set(told.addresses) != set(addresses):
        return Fault.ADDRESSES
    return None
