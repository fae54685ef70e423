"""The leases' datagrams: what contenders and voters say, in at most 256 bytes each, as the platform's way
between client proxies has it.

Figures are big-endian, names as in `cloverrouter.datagrams`. Who asks is the datagram's sender in its life,
and who answers is its sender: nobody can speak for another.

    ask      number u64, task, seat u8, token u64, room u8
    release  number u64, task, seat u8, token u64, held u8, heir (name or zero, life u64), its token u64
    grant    life u64, number u64, task, seat u8, token u64, highest u64, waiting (as an heir)
    deny     life u64, number u64, task, seat u8, token u64, highest u64,
             left ms u32, busy u64, ahead u16, room u8
    free     life u64, number u64, task, seat u8, highest u64
"""

from __future__ import annotations

from enum import IntEnum

from cloverrouter import datagrams
from cloverrouter.datagrams import MOST_NAME, BadDatagram, Datagram, Form, Reader, Reason, named
from cloverrouter.leases.words import Answer, Ask, Deny, Free, Grant, Release, Request, Who
from cloverrouter.rights import Stamp


class Kind(IntEnum):
    HELLO = datagrams.HELLO
    ASK = 3
    RELEASE = 4
    GRANT = 5
    DENY = 6
    FREE = 7


FLEET = Form(b"CRL1", 256, Kind)
REQUESTS = frozenset((Kind.ASK, Kind.RELEASE))
ANSWERS = frozenset((Kind.GRANT, Kind.DENY, Kind.FREE))


def _u(value: float, size: int = 8) -> bytes:
    whole = max(0, min((1 << 8 * size) - 1, round(value)))
    return whole.to_bytes(size, "big")


def _who(who: Who | None) -> bytes:
    return bytes(9) if who is None else named(who[0]) + _u(who[1])


def _read_who(reader: Reader) -> Who | None:
    size = reader.figure(1)
    data, life = reader.take(size), reader.figure()
    if size > MOST_NAME or not data.isascii() or not data.decode("ascii").isprintable():
        raise BadDatagram(Reason.FORM)
    return (data.decode("ascii"), life) if size else None


def written(message: Request | Answer) -> tuple[Kind, bytes]:
    """Raises ValueError for a name that can't be written."""
    stamp, seat = message.stamp, _u(message.seat, 1)
    task = named(message.task)
    to = _u(stamp.life) + _u(stamp.number) + task + seat
    match message:
        case Ask():
            return Kind.ASK, _u(stamp.number) + task + seat + _u(message.token) + _u(message.room, 1)
        case Release():
            heir = _who(message.heir) + _u(message.heir_token)
            held = bytes([message.held])
            return Kind.RELEASE, _u(stamp.number) + task + seat + _u(message.token) + held + heir
        case Grant():
            return Kind.GRANT, to + _u(message.token) + _u(message.highest) + _who(message.waiting)
        case Deny():
            figures = _u(message.left_ms, 4) + _u(message.busy) + _u(message.ahead, 2) + _u(message.room, 1)
            return Kind.DENY, to + _u(message.token) + _u(message.highest) + figures
        case Free():
            return Kind.FREE, to + _u(message.highest)


def request_of(told: Datagram) -> Request:
    """Raises `BadDatagram`."""
    reader = Reader(told.payload)
    stamp = Stamp(told.sender, told.life, reader.figure())
    task, seat, token = reader.name(), reader.figure(1), reader.figure()
    message: Request
    if told.kind == Kind.ASK:
        message = Ask(stamp, task, seat, token, reader.figure(1))
    elif told.kind == Kind.RELEASE:
        held = reader.figure(1)
        if held > 1:
            raise BadDatagram(Reason.FORM)
        message = Release(stamp, task, seat, token, bool(held), _read_who(reader), reader.figure())
    else:
        raise BadDatagram(Reason.FORM)
    reader.end()
    return message


def answer_of(told: Datagram, to: str) -> Answer:
    """What a voter says to the member of that name. Raises `BadDatagram`."""
    reader = Reader(told.payload)
    stamp = Stamp(to, reader.figure(), reader.figure())
    task, seat = reader.name(), reader.figure(1)
    message: Answer
    match told.kind:
        case Kind.GRANT:
            token, highest = reader.figure(), reader.figure()
            message = Grant(told.sender, stamp, task, seat, token, highest, _read_who(reader))
        case Kind.DENY:
            token, highest, left_ms = reader.figure(), reader.figure(), float(reader.figure(4))
            busy, ahead, room = reader.figure(), reader.figure(2), reader.figure(1)
            message = Deny(told.sender, stamp, task, seat, token, highest, left_ms, busy, ahead, room)
        case Kind.FREE:
            message = Free(told.sender, stamp, task, seat, reader.figure())
        case _:
            raise BadDatagram(Reason.FORM)
    reader.end()
    return message
