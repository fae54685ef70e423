"""Datagrams between the boxes of a pair and their witness: bytes to typed values and back.

    magic "CRV1" | kind u8 | sender: length u8, ASCII | life u64 | number u64 | echo u64
    | payload: length u16, bytes | code: 16 bytes of HMAC-SHA256 over all before it, where a secret is set

Figures are big-endian. `life` tells one run of the sender from the next, `number` rises with each datagram
of a life. `echo` is the receiver's life as the sender last heard it: what was said to an earlier life of
the receiver, or recorded and sent again after its restart, has another. An advertisement's payload is RFC
9568's packet as it stands.
"""

from __future__ import annotations

import hmac
import struct
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum, IntEnum
from hashlib import sha256

from cloverrouter.rights import Stamp
from cloverrouter.vrrp.lease import Answer, Deny, Grant, Release, Request, Stale

MAGIC = b"CRV1"
CODE_BYTES = 16
MOST_BYTES = 2048
MOST_NAME = 32
MOST_LIVES = 64  # ended ones that are remembered of each
FIGURES = struct.Struct("!QQQ")


class Kind(IntEnum):
    ADVERTISEMENT = 1
    HELLO = 2
    REQUEST = 3
    RELEASE = 4
    GRANT = 5
    DENY = 6
    STALE = 7


class Reason(Enum):
    """Why a datagram is not taken."""

    FORM = "no datagram of ours"
    CODE = "wrong secret, or changed"
    SENDER = "of nobody who is configured"
    REPLAY = "seen before, or overtaken"
    ECHO = "meant for an earlier life"


class BadDatagram(Exception):
    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Datagram:
    kind: Kind
    sender: str
    life: int
    number: int
    echo: int
    payload: bytes


def _name(text: str) -> bytes:
    data = text.encode("ascii")
    if not 1 <= len(data) <= MOST_NAME:
        raise ValueError(f"a name has 1 to {MOST_NAME} characters")
    return bytes([len(data)]) + data


def _code(secret: bytes, data: bytes) -> bytes:
    return hmac.digest(secret, data, sha256)[:CODE_BYTES]


def encode(told: Datagram, secret: bytes | None) -> bytes:
    data = (
        MAGIC
        + bytes([told.kind])
        + _name(told.sender)
        + FIGURES.pack(told.life, told.number, told.echo)
        + struct.pack("!H", len(told.payload))
        + told.payload
    )
    return data if secret is None else data + _code(secret, data)


class _Reader:
    """Takes fields off the front; anything missing or left over is `Reason.FORM`."""

    def __init__(self, data: bytes) -> None:
        self._data, self._place = data, 0

    def take(self, count: int) -> bytes:
        found = self._data[self._place : self._place + count]
        if len(found) != count:
            raise BadDatagram(Reason.FORM)
        self._place += count
        return found

    def name(self) -> str:
        count = self.take(1)[0]
        data = self.take(count)
        if not 1 <= count <= MOST_NAME or not data.isascii() or not data.decode("ascii").isprintable():
            raise BadDatagram(Reason.FORM)
        return data.decode("ascii")

    def figure(self) -> int:
        return int.from_bytes(self.take(8), "big")

    def end(self) -> None:
        if self._place != len(self._data):
            raise BadDatagram(Reason.FORM)


def decode(data: bytes, secret: bytes | None) -> Datagram:
    """Total: a datagram, or `BadDatagram`. The code is checked before anything in it is believed."""
    if len(data) > MOST_BYTES or not data.startswith(MAGIC):
        raise BadDatagram(Reason.FORM)
    if secret is not None:
        if len(data) < CODE_BYTES or not hmac.compare_digest(
            _code(secret, data[:-CODE_BYTES]), data[-CODE_BYTES:]
        ):
            raise BadDatagram(Reason.CODE)
        data = data[:-CODE_BYTES]
    reader = _Reader(data[len(MAGIC) :])
    try:
        kind = Kind(reader.take(1)[0])
    except ValueError:
        raise BadDatagram(Reason.FORM) from None
    sender = reader.name()
    life, number, echo = reader.figure(), reader.figure(), reader.figure()
    payload = reader.take(int.from_bytes(reader.take(2), "big"))
    reader.end()
    return Datagram(kind, sender, life, number, echo, payload)


# The lease's messages


def _stamp(stamp: Stamp) -> bytes:
    return _name(stamp.box) + struct.pack("!QQ", stamp.life, stamp.number)


def encode_lease(message: Request | Release | Answer) -> tuple[Kind, bytes]:
    match message:
        case Request():
            return Kind.REQUEST, _stamp(message.stamp)
        case Release():
            return Kind.RELEASE, _stamp(message.stamp)
        case Grant():
            return Kind.GRANT, _name(message.voter) + _stamp(message.stamp)
        case Deny():
            left = struct.pack("!I", max(0, min(2**32 - 1, round(message.left_ms))))
            holder = message.holder.encode("ascii")
            return Kind.DENY, _name(message.voter) + _stamp(message.stamp) + left + holder
        case Stale():
            return Kind.STALE, _name(message.voter) + _stamp(message.stamp) + struct.pack("!Q", message.life)


def decode_lease(kind: Kind, payload: bytes) -> Request | Release | Answer:
    """Raises `BadDatagram`."""
    reader = _Reader(payload)
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
            rest = payload[reader._place :]
            reader.take(len(rest))
            if len(rest) > MOST_NAME or not rest.isascii() or not rest.decode("ascii").isprintable():
                raise BadDatagram(Reason.FORM)
            message = Deny(voter, stamp, rest.decode("ascii"), left_ms)
        case Kind.STALE:
            message = Stale(voter, stamp, reader.figure())
        case _:
            raise BadDatagram(Reason.FORM)
    reader.end()
    return message


class Courier:
    """Wraps and unwraps for one member: names, numbers, echoes. Rules only.

    What it lets through was said by a configured member (with a secret: surely), to this life, and not
    before. The lease does not lean on that; the state machine, which believes every advertisement, does.
    """

    def __init__(self, name: str, life: int, others: frozenset[str], secret: bytes | None) -> None:
        self.name, self.life = name, life
        self._others, self._secret = others, secret
        self._number = 0
        self._lives: dict[str, int] = {}  # of the others, as last heard: what they are to be echoed
        self._last: dict[str, tuple[int, int]] = {}  # life and highest number taken from each
        self._over: dict[str, deque[int]] = {}  # lives of each that have ended
        self.refused: Counter[Reason] = Counter()

    def wrap(self, target: str, kind: Kind, payload: bytes = b"") -> bytes:
        self._number += 1
        echo = self._lives.get(target, 0)
        return encode(Datagram(kind, self.name, self.life, self._number, echo, payload), self._secret)

    def unwrap(self, data: bytes) -> Datagram:
        """Raises `BadDatagram`, counted by reason. One with `Reason.ECHO` is to be answered by a hello: its
        sender does not know this life yet."""
        try:
            return self._unwrap(data)
        except BadDatagram as wrong:
            self.refused[wrong.reason] += 1
            raise

    def _unwrap(self, data: bytes) -> Datagram:
        told = decode(data, self._secret)
        if told.sender not in self._others:
            raise BadDatagram(Reason.SENDER)
        life, highest = self._last.get(told.sender, (told.life, -1))
        over = self._over.setdefault(told.sender, deque(maxlen=MOST_LIVES))
        # Lives are told apart, not put in order: a box whose clock was set back is no stranger.
        if told.life in over or (told.life == life and told.number <= highest):
            raise BadDatagram(Reason.REPLAY)
        self._lives[told.sender] = told.life
        if told.echo != self.life:
            # Not believed but for the life in it: an old recording can at most make us say a wrong echo,
            # which the next true datagram mends.
            raise BadDatagram(Reason.ECHO)
        if told.life != life:
            over.append(life)
        self._last[told.sender] = (told.life, told.number)
        return told
