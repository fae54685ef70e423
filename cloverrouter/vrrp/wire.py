"""Datagrams between the boxes of a pair and their witness: what is their own of `cloverrouter.datagrams`.

An advertisement's payload is RFC 9568's packet as it stands.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from cloverrouter import datagrams
from cloverrouter.datagrams import MOST_NAME, BadDatagram, Form, Reader, Reason, named
from cloverrouter.rights import Stamp
from cloverrouter.vrrp.lease import Answer, Deny, Grant, Release, Request, Stale


class Kind(IntEnum):
    ADVERTISEMENT = 1
    HELLO = datagrams.HELLO
    REQUEST = 3
    RELEASE = 4
    GRANT = 5
    DENY = 6
    STALE = 7


PAIR = Form(b"CRV1", 2048, Kind)


class Courier(datagrams.Courier):
    """A pair's."""

    def __init__(self, name: str, life: int, others: frozenset[str], secret: bytes | None) -> None:
        super().__init__(PAIR, name, life, others, secret)


# The lease's messages


def _stamp(stamp: Stamp) -> bytes:
    return named(stamp.box) + struct.pack("!QQ", stamp.life, stamp.number)


def encode_lease(message: Request | Release | Answer) -> tuple[Kind, bytes]:
    match message:
        case Request():
            return Kind.REQUEST, _stamp(message.stamp)
        case Release():
            return Kind.RELEASE, _stamp(message.stamp)
        case Grant():
            return Kind.GRANT, named(message.voter) + _stamp(message.stamp)
        case Deny():
            left = struct.pack("!I", max(0, min(2**32 - 1, round(message.left_ms))))
            holder = message.holder.encode("ascii")
            return Kind.DENY, named(message.voter) + _stamp(message.stamp) + left + holder
        case Stale():
            return Kind.STALE, named(message.voter) + _stamp(message.stamp) + struct.pack("!Q", message.life)


def decode_lease(kind: int, payload: bytes) -> Request | Release | Answer:
    """Raises `BadDatagram`."""
    reader = Reader(payload)
    voter = reader.name() if kind in (Kind.GRANT, Kind.DENY, Kind.STALE) else ""
    stamp = Stamp(reader.name(), reader.figure(), reader.figure())
    message: Request | Release | Answer
    match kind:
        case Kind.REQUEST:
            message = Request(stamp)
        case Kind.RELEASE:
            message = Release(stamp)
        case Kind.GRANT:
            message = Grant(voter, stamp)
        case Kind.DENY:
            left_ms = float(int.from_bytes(reader.take(4), "big"))
            rest = reader.rest()
            if len(rest) > MOST_NAME or not rest.isascii() or not rest.decode("ascii").isprintable():
                raise BadDatagram(Reason.FORM)
            message = Deny(voter, stamp, rest.decode("ascii"), left_ms)
        case Kind.STALE:
            message = Stale(voter, stamp, reader.figure())
        case _:
            raise BadDatagram(Reason.FORM)
    reader.end()
    return message
