"""Encoding of the lease messages between contenders and voters as datagrams of at most 256 bytes, the limit
that the platform sets for traffic between client proxies.

Integers are big-endian, names are encoded as in `cloverrouter.datagrams`. A request is attributed to the
datagram's sender and its incarnation, an answer to the datagram's sender, so that no member can send in the
name of another.

    ask      number u64, task, seat u8, token u64, seat count u8
    release  number u64, task, seat u8, token u64, held u8,
             successor (name or one zero byte, incarnation u64), its token u64
    grant    incarnation u64, number u64, task, seat u8, token u64, highest u64,
             longest waiting (as a successor)
    deny     incarnation u64, number u64, task, seat u8, token u64, highest u64,
             retry after ms u32, busy seats u64, queue position u16, seat count u8
    free     incarnation u64, number u64, task, seat u8, highest u64
"""

from __future__ import annotations

from enum import IntEnum

from cloverrouter import datagrams
from cloverrouter.datagrams import (
    MAX_NAME_BYTES,
    BadDatagram,
    Datagram,
    DatagramFormat,
    FieldReader,
    RejectReason,
    encode_name,
)
from cloverrouter.leases.words import Answer, Ask, ContenderId, Deny, Free, Grant, Release, Request
from cloverrouter.rights import RequestId


class Kind(IntEnum):
    HELLO = datagrams.HELLO
    ASK = 3
    RELEASE = 4
    GRANT = 5
    DENY = 6
    FREE = 7


LEASE_FORM = DatagramFormat(b"CRL1", 256, Kind)
REQUESTS = frozenset((Kind.ASK, Kind.RELEASE))
ANSWERS = frozenset((Kind.GRANT, Kind.DENY, Kind.FREE))


def _uint(value: float, size: int = 8) -> bytes:
    """Encode an unsigned integer of `size` bytes, rounded and clamped to its range."""
    clamped = max(0, min((1 << 8 * size) - 1, round(value)))
    return clamped.to_bytes(size, "big")


def _encode_contender(contender: ContenderId | None) -> bytes:
    return bytes(9) if contender is None else encode_name(contender[0]) + _uint(contender[1])


def _read_contender(reader: FieldReader) -> ContenderId | None:
    size = reader.read_uint(1)
    data, incarnation = reader.read_bytes(size), reader.read_uint()
    if size > MAX_NAME_BYTES or not data.isascii() or not data.decode("ascii").isprintable():
        raise BadDatagram(RejectReason.FORM)
    return (data.decode("ascii"), incarnation) if size else None


def encode_message(message: Request | Answer) -> tuple[Kind, bytes]:
    """Return the kind and the payload of a message. Raises ValueError for a name that can't be encoded."""
    request_id, seat = message.request_id, _uint(message.seat, 1)
    task = encode_name(message.task)
    answer_head = _uint(request_id.incarnation) + _uint(request_id.number) + task + seat
    match message:
        case Ask():
            return Kind.ASK, _uint(request_id.number) + task + seat + _uint(message.token) + _uint(
                message.seat_count, 1
            )
        case Release():
            successor = _encode_contender(message.successor) + _uint(message.successor_token)
            held = bytes([message.held])
            return Kind.RELEASE, _uint(request_id.number) + task + seat + _uint(
                message.token
            ) + held + successor
        case Grant():
            return Kind.GRANT, answer_head + _uint(message.token) + _uint(
                message.highest
            ) + _encode_contender(message.longest_waiting)
        case Deny():
            details = (
                _uint(message.retry_after_ms, 4)
                + _uint(message.busy_seats)
                + _uint(message.queue_position, 2)
                + _uint(message.seat_count, 1)
            )
            return Kind.DENY, answer_head + _uint(message.token) + _uint(message.highest) + details
        case Free():
            return Kind.FREE, answer_head + _uint(message.highest)


def decode_request(datagram: Datagram) -> Request:
    """Decode a contender's request. Raises `BadDatagram`."""
    reader = FieldReader(datagram.payload)
    request_id = RequestId(datagram.sender, datagram.life, reader.read_uint())
    task, seat, token = reader.read_name(), reader.read_uint(1), reader.read_uint()
    message: Request
    if datagram.kind == Kind.ASK:
        message = Ask(request_id, task, seat, token, reader.read_uint(1))
    elif datagram.kind == Kind.RELEASE:
        held = reader.read_uint(1)
        if held > 1:
            raise BadDatagram(RejectReason.FORM)
        message = Release(
            request_id, task, seat, token, bool(held), _read_contender(reader), reader.read_uint()
        )
    else:
        raise BadDatagram(RejectReason.FORM)
    reader.expect_end()
    return message


def decode_answer(datagram: Datagram, to: str) -> Answer:
    """Decode a voter's answer to the member named `to`. Raises `BadDatagram`."""
    reader = FieldReader(datagram.payload)
    request_id = RequestId(to, reader.read_uint(), reader.read_uint())
    task, seat = reader.read_name(), reader.read_uint(1)
    message: Answer
    match datagram.kind:
        case Kind.GRANT:
            token, highest = reader.read_uint(), reader.read_uint()
            message = Grant(datagram.sender, request_id, task, seat, token, highest, _read_contender(reader))
        case Kind.DENY:
            token, highest, retry_after_ms = (
                reader.read_uint(),
                reader.read_uint(),
                float(reader.read_uint(4)),
            )
            busy_seats, queue_position, seat_count = (
                reader.read_uint(),
                reader.read_uint(2),
                reader.read_uint(1),
            )
            message = Deny(
                datagram.sender,
                request_id,
                task,
                seat,
                token,
                highest,
                retry_after_ms,
                busy_seats,
                queue_position,
                seat_count,
            )
        case Kind.FREE:
            message = Free(datagram.sender, request_id, task, seat, reader.read_uint())
        case _:
            raise BadDatagram(RejectReason.FORM)
    reader.expect_end()
    return message
