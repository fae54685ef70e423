"""Datagrams between members of a group of proxies: bytes to typed values and back, for a pair and a fleet.

    magic | kind u8 | sender: length u8, ASCII | life u64 | number u64 | echo u64
    | payload: length u16, bytes | code: 16 bytes of HMAC-SHA256 over all before it, where a secret is set

Figures are big-endian. `life` tells one run of the sender from the next, `number` rises with each datagram
of a life. `echo` is the receiver's life as the sender last heard it: what was said to an earlier life of
the receiver, or recorded and sent again after its restart, has another.
"""

from __future__ import annotations

import hmac
import struct
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from hashlib import sha256

from cloverrouter.values import Value

HELLO = 2  # a kind that every form has: it tells one's life, and nothing else
CODE_BYTES = 16
MOST_NAME = 32
MOST_LIVES = 64  # ended ones that are remembered of each
FIGURES = struct.Struct("!QQQ")


class Form(Value):
    """What one group's datagrams have of their own. `kind` makes one of the group's kinds of its figure, or
    raises ValueError."""

    magic: bytes
    most_bytes: int
    kind: Callable[[int], int]


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


class Datagram(Value):
    kind: int
    sender: str
    life: int
    number: int
    echo: int
    payload: bytes


def named(text: str) -> bytes:
    """A name, as it is written. Raises ValueError for one that can't be."""
    data = text.encode("ascii")
    if not 1 <= len(data) <= MOST_NAME:
        raise ValueError(f"a name has 1 to {MOST_NAME} characters")
    return bytes([len(data)]) + data


def _code(secret: bytes, data: bytes) -> bytes:
    return hmac.digest(secret, data, sha256)[:CODE_BYTES]


def encode(form: Form, told: Datagram, secret: bytes | None) -> bytes:
    data = (
        form.magic
        + bytes([told.kind])
        + named(told.sender)
        + FIGURES.pack(told.life, told.number, told.echo)
        + struct.pack("!H", len(told.payload))
        + told.payload
    )
    data = data if secret is None else data + _code(secret, data)
    assert len(data) <= form.most_bytes, "a name or a payload is too long for its group"
    return data


class Reader:
    """Takes fields off the front; anything missing or left over is `Reason.FORM`."""

    def __init__(self, data: bytes) -> None:
        self._data, self._place = data, 0

    def take(self, count: int) -> bytes:
        found = self._data[self._place : self._place + count]
        if len(found) != count:
            raise BadDatagram(Reason.FORM)
        self._place += count
        return found

    def rest(self) -> bytes:
        return self.take(len(self._data) - self._place)

    def name(self) -> str:
        count = self.take(1)[0]
        data = self.take(count)
        if not 1 <= count <= MOST_NAME or not data.isascii() or not data.decode("ascii").isprintable():
            raise BadDatagram(Reason.FORM)
        return data.decode("ascii")

    def figure(self, size: int = 8) -> int:
        return int.from_bytes(self.take(size), "big")

    def end(self) -> None:
        if self._place != len(self._data):
            raise BadDatagram(Reason.FORM)


def decode(form: Form, data: bytes, secret: bytes | None) -> Datagram:
    """Total: a datagram, or `BadDatagram`. The code is checked before anything in it is believed."""
    if len(data) > form.most_bytes or not data.startswith(form.magic):
        raise BadDatagram(Reason.FORM)
    if secret is not None:
        if len(data) < CODE_BYTES or not hmac.compare_digest(
            _code(secret, data[:-CODE_BYTES]), data[-CODE_BYTES:]
        ):
            raise BadDatagram(Reason.CODE)
        data = data[:-CODE_BYTES]
    reader = Reader(data[len(form.magic) :])
    try:
        kind = form.kind(reader.figure(1))
    except ValueError:
        raise BadDatagram(Reason.FORM) from None
    sender = reader.name()
    life, number, echo = reader.figure(), reader.figure(), reader.figure()
    payload = reader.take(reader.figure(2))
    reader.end()
    return Datagram(kind, sender, life, number, echo, payload)


class Courier:
    """Wraps and unwraps for one member: names, numbers, echoes. Rules only.

    What it lets through was said by a configured member (with a secret: surely), to this life, and not
    before. Leases do not lean on that; a pair's state machine, which believes every advertisement, does.
    `former`: a secret that others may use still, while it is being changed.
    """

    def __init__(
        self,
        form: Form,
        name: str,
        life: int,
        others: frozenset[str],
        secret: bytes | None,
        former: bytes | None = None,
    ) -> None:
        self.name, self.life = name, life
        self._form, self._others, self._secret, self._former = form, others, secret, former
        self._number = 0
        self._lives: dict[str, int] = {}  # of the others, as last heard: what they are to be echoed
        self._last: dict[str, tuple[int, int]] = {}  # life and highest number taken from each
        self._over: dict[str, deque[int]] = {}  # lives of each that have ended
        self.refused: Counter[Reason] = Counter()

    def wrap(self, target: str, kind: int, payload: bytes = b"") -> bytes:
        self._number += 1
        echo = self._lives.get(target, 0)
        told = Datagram(kind, self.name, self.life, self._number, echo, payload)
        return encode(self._form, told, self._secret)

    def unwrap(self, data: bytes) -> Datagram:
        """Raises `BadDatagram`, counted by reason. One with `Reason.ECHO` is to be answered by a hello: its
        sender does not know this life yet."""
        try:
            return self._unwrap(data)
        except BadDatagram as wrong:
            self.refused[wrong.reason] += 1
            raise

    def _decode(self, data: bytes) -> Datagram:
        try:
            return decode(self._form, data, self._secret)
        except BadDatagram as wrong:
            if wrong.reason is not Reason.CODE or self._former is None:
                raise
        return decode(self._form, data, self._former)

    def _unwrap(self, data: bytes) -> Datagram:
        told = self._decode(data)
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
