"""Datagrams between the nodes of a pair and their witness, in the format of `cloverrouter.datagrams`.

The payload of an advertisement is the unchanged packet of RFC 9568.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from cloverrouter import datagrams
from cloverrouter.datagrams import (
    MAX_NAME_BYTES,
    BadDatagram,
    DatagramFormat,
    FieldReader,
    RejectReason,
    encode_name,
)
from cloverrouter.rights import RequestId
from cloverrouter.vrrp.lease import Answer, Deny, Grant, Release, Request, Stale


class Kind(IntEnum):
    ADVERTISEMENT = 1
    HELLO = datagrams.HELLO
    REQUEST = 3
    RELEASE = 4
    GRANT = 5
    DENY = 6
    STALE = 7


PAIR_FORMAT = DatagramFormat(b"CRV1", 2048, Kind)


class PairCodec(datagrams.DatagramCodec):
    """The datagram codec of a pair's members and witness."""

    def __init__(self, name: str, life: int, peers: frozenset[str], secret: bytes | None) -> None:
        super().__init__(PAIR_FORMAT, name, life, peers, secret)


# Lease messages


def _encode_stamp(stamp: RequestId) -> bytes:
    return encode_name(stamp.member) + struct.pack("!QQ", stamp.incarnation, stamp.number)


def encode_lease(message: Request | Release | Answer) -> tuple[Kind, bytes]:
    match message:
        case Request():
            return Kind.REQUEST, _encode_stamp(message.stamp)
        case Release():
            return Kind.RELEASE, _encode_stamp(message.stamp)
        case Grant():
            return Kind.GRANT, encode_name(message.voter) + _encode_stamp(message.stamp)
        case Deny():
            left = struct.pack("!I", max(0, min(2**32 - 1, round(message.left_ms))))
            holder = message.holder.encode("ascii")
            return Kind.DENY, encode_name(message.voter) + _encode_stamp(message.stamp) + left + holder
        case Stale():
            return Kind.STALE, encode_name(message.voter) + _encode_stamp(message.stamp) + struct.pack(
                "!Q", message.life
            )


def decode_lease(kind: int, payload: bytes) -> Request | Release | Answer:
    """Decode the payload of a lease message. Raises `BadDatagram`."""
    reader = FieldReader(payload)
    voter = reader.read_name() if kind in (Kind.GRANT, Kind.DENY, Kind.STALE) else ""
    stamp = RequestId(reader.read_name(), reader.read_uint(), reader.read_uint())
    message: Request | Release | Answer
    match kind:
        case Kind.REQUEST:
            message = Request(stamp)
        case Kind.RELEASE:
            message = Release(stamp)
        case Kind.GRANT:
            message = Grant(voter, stamp)
        case Kind.DENY:
            left_ms = float(int.from_bytes(reader.read_bytes(4), "big"))
            holder = reader.read_rest()
            if (
                len(holder) > MAX_NAME_BYTES
                or not holder.isascii()
                or not holder.decode("ascii").isprintable()
            ):
                raise BadDatagram(RejectReason.FORM)
            message = Deny(voter, stamp, holder.decode("ascii"), left_ms)
        case Kind.STALE:
            message = Stale(voter, stamp, reader.read_uint())
        case _:
            raise BadDatagram(RejectReason.FORM)
    reader.expect_end()
    return message
