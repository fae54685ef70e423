"""Datagram format shared by groups of proxies (VRRP pairs and fleets): encoding, decoding, replay protection.

    magic | kind u8 | sender: length u8, ASCII | life u64 | sequence u64 | echo u64
    | payload: length u16, bytes | MAC: 16 bytes of HMAC-SHA256 over all preceding bytes, if a secret is set

Integers are big-endian. `life` is the sender's incarnation: each run of a process has a different one.
`sequence` increases with each datagram of a life. `echo` is the receiver's life as last received by the
sender, so a datagram that was sent to an earlier life of the receiver, or that was recorded and replayed
after its restart, carries an outdated echo.
"""

from __future__ import annotations

import hmac
import struct
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from hashlib import sha256

from cloverrouter.values import Value

HELLO = 2  # a kind of every format: announces the sender's life and has no payload
MAC_BYTES = 16
MAX_NAME_BYTES = 32
MAX_ENDED_LIVES = 64  # remembered for each peer
SEQUENCE_FIELDS = struct.Struct("!QQQ")


class DatagramFormat(Value):
    """The parts of the format that differ between groups.

    `parse_kind` converts the kind's integer to the group's enumeration, or raises ValueError.
    """

    magic: bytes
    max_bytes: int
    parse_kind: Callable[[int], int]


class RejectReason(Enum):
    """Why a datagram is rejected."""

    FORM = "no datagram of ours"
    CODE = "wrong secret, or changed"
    SENDER = "of nobody who is configured"
    REPLAY = "seen before, or overtaken"
    ECHO = "meant for an earlier life"


class BadDatagram(Exception):
    def __init__(self, reason: RejectReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Datagram(Value):
    kind: int
    sender: str
    life: int
    sequence: int
    echo: int
    payload: bytes


def encode_name(text: str) -> bytes:
    """Encode a name with its length prefix. Raises ValueError if it is not ASCII or has an invalid length."""
    data = text.encode("ascii")
    if not 1 <= len(data) <= MAX_NAME_BYTES:
        raise ValueError(f"a name has 1 to {MAX_NAME_BYTES} characters")
    return bytes([len(data)]) + data


def _mac(secret: bytes, data: bytes) -> bytes:
    return hmac.digest(secret, data, sha256)[:MAC_BYTES]


def encode(wire_format: DatagramFormat, datagram: Datagram, secret: bytes | None) -> bytes:
    data = (
        wire_format.magic
        + bytes([datagram.kind])
        + encode_name(datagram.sender)
        + SEQUENCE_FIELDS.pack(datagram.life, datagram.sequence, datagram.echo)
        + struct.pack("!H", len(datagram.payload))
        + datagram.payload
    )
    data = data if secret is None else data + _mac(secret, data)
    assert len(data) <= wire_format.max_bytes, "datagram exceeds the maximum size of its format"
    return data


class FieldReader:
    """Reads fields in order; missing or excess bytes raise `BadDatagram` with `RejectReason.FORM`."""

    def __init__(self, data: bytes) -> None:
        self._data, self._offset = data, 0

    def read_bytes(self, count: int) -> bytes:
        found = self._data[self._offset : self._offset + count]
        if len(found) != count:
            raise BadDatagram(RejectReason.FORM)
        self._offset += count
        return found

    def read_rest(self) -> bytes:
        return self.read_bytes(len(self._data) - self._offset)

    def read_name(self) -> str:
        count = self.read_bytes(1)[0]
        data = self.read_bytes(count)
        if not 1 <= count <= MAX_NAME_BYTES or not data.isascii() or not data.decode("ascii").isprintable():
            raise BadDatagram(RejectReason.FORM)
        return data.decode("ascii")

    def read_uint(self, size: int = 8) -> int:
        return int.from_bytes(self.read_bytes(size), "big")

    def expect_end(self) -> None:
        if self._offset != len(self._data):
            raise BadDatagram(RejectReason.FORM)


def decode(wire_format: DatagramFormat, data: bytes, secret: bytes | None) -> Datagram:
    """Decode any input to a datagram, or raise `BadDatagram`. The MAC is verified before parsing."""
    if len(data) > wire_format.max_bytes or not data.startswith(wire_format.magic):
        raise BadDatagram(RejectReason.FORM)
    if secret is not None:
        if len(data) < MAC_BYTES or not hmac.compare_digest(
            _mac(secret, data[:-MAC_BYTES]), data[-MAC_BYTES:]
        ):
            raise BadDatagram(RejectReason.CODE)
        data = data[:-MAC_BYTES]
    reader = FieldReader(data[len(wire_format.magic) :])
    try:
        kind = wire_format.parse_kind(reader.read_uint(1))
    except ValueError:
        raise BadDatagram(RejectReason.FORM) from None
    sender = reader.read_name()
    life, sequence, echo = reader.read_uint(), reader.read_uint(), reader.read_uint()
    payload = reader.read_bytes(reader.read_uint(2))
    reader.expect_end()
    return Datagram(kind, sender, life, sequence, echo, payload)


class DatagramCodec:
    """Encodes and checks the datagrams of one member: authentication, sequence numbers, replays. No I/O.

    An accepted datagram was sent by a configured member (proven only if a secret is set), to this life, and
    was not accepted before. Leases are safe without these guarantees; a pair's state machine, which acts on
    every advertisement, depends on them. `previous_secret` is accepted, too, while members change theirs.
    """

    def __init__(
        self,
        wire_format: DatagramFormat,
        name: str,
        life: int,
        peers: frozenset[str],
        secret: bytes | None,
        previous_secret: bytes | None = None,
    ) -> None:
        self.name, self.life = name, life
        self._format, self._peers, self._secret, self._previous_secret = (
            wire_format,
            peers,
            secret,
            previous_secret,
        )
        self._sequence = 0
        self._peer_lives: dict[str, int] = {}  # last received life of each peer, sent back to it as echo
        self._latest: dict[str, tuple[int, int]] = {}  # by peer: life and highest sequence accepted
        self._ended_lives: dict[str, deque[int]] = {}  # by peer
        self.rejected: Counter[RejectReason] = Counter()

    def wrap(self, target: str, kind: int, payload: bytes = b"") -> bytes:
        self._sequence += 1
        echo = self._peer_lives.get(target, 0)
        datagram = Datagram(kind, self.name, self.life, self._sequence, echo, payload)
        return encode(self._format, datagram, self._secret)

    def unwrap(self, data: bytes) -> Datagram:
        """Decode and check a datagram. Raises `BadDatagram`, counted by reason.

        The caller answers one with `RejectReason.ECHO` by a hello: its sender does not know this life yet.
        """
        try:
            return self._unwrap(data)
        except BadDatagram as error:
            self.rejected[error.reason] += 1
            raise

    def _decode(self, data: bytes) -> Datagram:
        try:
            return decode(self._format, data, self._secret)
        except BadDatagram as error:
            if error.reason is not RejectReason.CODE or self._previous_secret is None:
                raise
        return decode(self._format, data, self._previous_secret)

    def _unwrap(self, data: bytes) -> Datagram:
        datagram = self._decode(data)
        if datagram.sender not in self._peers:
            raise BadDatagram(RejectReason.SENDER)
        life, highest = self._latest.get(datagram.sender, (datagram.life, -1))
        ended_lives = self._ended_lives.setdefault(datagram.sender, deque(maxlen=MAX_ENDED_LIVES))
        # Lives are compared for equality only: a node whose clock was set back starts with a lower life.
        if datagram.life in ended_lives or (datagram.life == life and datagram.sequence <= highest):
            raise BadDatagram(RejectReason.REPLAY)
        self._peer_lives[datagram.sender] = datagram.life
        if datagram.echo != self.life:
            # Only the life is used. A replayed recording can at most make this node send a wrong echo, which
            # the peer's next genuine datagram corrects.
            raise BadDatagram(RejectReason.ECHO)
        if datagram.life != life:
            ended_lives.append(life)
        self._latest[datagram.sender] = (datagram.life, datagram.sequence)
        return datagram
