"""The QUIC library, with bounds of ours. All that goes beneath its public API stands in this file."""

from __future__ import annotations

import hashlib
import hmac
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pylsqpack
from aioquic._buffer import Buffer, BufferReadError
from aioquic.h3 import events as h3
from aioquic.h3.connection import (
    ErrorCode,
    FrameType,
    H3Connection,
    H3Stream,
    MessageError,
    ProtocolError,
    Setting,
    encode_frame,
)
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import MAX_STREAM_DATA_FRAME_CAPACITY, NetworkAddress, QuicConnection
from aioquic.quic.events import QuicEvent, StreamDataReceived
from aioquic.quic.packet import QuicFrameType, QuicProtocolVersion
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.quic.recovery import QuicPacketSpace
from aioquic.quic.stream import QuicStream
from cryptography.x509 import load_pem_x509_certificates

from cloverrouter.http3.doors import ID_BYTES
from cloverrouter.proxy.messages import MAX_HEAD

ALPN = ["h3"]
SETTINGS_MAX_FIELD_SECTION_SIZE = 0x06  # RFC 9114, 7.2.4.1
IDLE_S = 10.0  # a path on which nothing comes for so long has ended
# Danger: what comes out of order waits for what is missing, as much as the windows allow.
CONNECTION_WINDOW = 512 * 1024
STREAM_WINDOW = 128 * 1024
# Danger: a head is unpacked whole. One over 16 KiB is answered 431, one that is over this as it comes ends
# its connection; without a dynamic table (RFC 9204, 3.2) no byte can stand for more than a short field.
MOST_FIELDS = 32 * 1024


# Of an answer that its reader is slow to take, no more than this comes on top of what is with it.
ANSWER_WINDOW = 64 * 1024


class TooMuch(ProtocolError):
    error_code = ErrorCode.H3_EXCESSIVE_LOAD


class Bounded(H3Connection):
    """The library's bounds are for browsers."""

    def _init_connection(self) -> None:
        self._max_table_capacity = self._blocked_streams = 0
        self._decoder = pylsqpack.Decoder(0, 0)
        super()._init_connection()

    def _get_local_settings(self) -> dict[int, int]:
        told = {**super()._get_local_settings(), SETTINGS_MAX_FIELD_SECTION_SIZE: MAX_HEAD}
        del told[Setting.ENABLE_CONNECT_PROTOCOL]  # RFC 9220: no such requests are served
        return told

    def _check_request_or_push_frame_type(self, frame_type: int, stream: H3Stream) -> None:
        super()._check_request_or_push_frame_type(frame_type, stream)
        # Danger: a head is held until its last byte has come.
        if frame_type == FrameType.HEADERS and (stream.frame_size or 0) > MOST_FIELDS:
            raise TooMuch("the head is too large")


class Http3(Bounded):
    """A server's side."""

    def go_away(self, stream_id: int) -> None:
        """Requests on streams from `stream_id` up are not served (RFC 9114, 5.2)."""
        assert self._local_control_stream_id is not None
        # A variable-length integer of eight bytes (RFC 9000, 16).
        told = (stream_id | 3 << 62).to_bytes(8, "big")
        self._quic.send_stream_data(self._local_control_stream_id, encode_frame(FrameType.GOAWAY, told))


class Looked(QuicConnection):
    """What the library does not tell of itself."""

    def writable(self, stream_id: int) -> bool:
        """May anything be written to the stream still?"""
        stream = self._streams.get(stream_id)
        if stream is None:
            return False
        sender = stream.sender
        return not sender.is_finished and sender._reset_error_code is None and sender._buffer_fin is None

    def readable(self, stream_id: int) -> bool:
        """May more come on the stream?"""
        stream = self._streams.get(stream_id)
        return stream is not None and not stream.receiver.is_finished

    def waiting(self, stream_id: int) -> int:
        """Bytes of a stream that its reader has not acknowledged."""
        stream = self._streams.get(stream_id)
        return 0 if stream is None else len(stream.sender._buffer)

    @property
    def unread(self) -> int:
        """The same of all streams together."""
        return sum(len(stream.sender._buffer) for stream in self._streams.values())

    @property
    def ended(self) -> bool:
        """Has either side ended it? The library goes on waiting for late copies."""
        return self._close_event is not None


class Quic(Looked):
    """A server's connection. `reset_token`: gives the token for a connection id by which a process that knows
    nothing of the connection can end it (RFC 9000, 10.3)."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        original: bytes,
        chosen: bytes | None,
        reset_token: Callable[[bytes], bytes],
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original,
            retry_source_connection_id=chosen,
        )
        self._reset_token = reset_token
        self._name_tokens()

    def _name_tokens(self) -> None:
        for own in self._host_cids:
            if not own.was_sent or own.sequence_number == 0:
                own.stateless_reset_token = self._reset_token(own.cid)

    def _replenish_connection_ids(self) -> None:
        super()._replenish_connection_ids()
        self._name_tokens()


@dataclass(frozen=True, slots=True)
class Away(h3.H3Event):
    """GOAWAY: requests on streams from `bound` up are not served (RFC 9114, 5.2)."""

    bound: int


@dataclass(frozen=True, slots=True)
class Malformed(h3.H3Event):
    """What came on a stream is no answer; the others go on (RFC 9114, 4.1.2)."""

    stream_id: int
    why: str


class BadId(ProtocolError):
    error_code = ErrorCode.H3_ID_ERROR


class Goaways:
    """Finds GOAWAY on a control stream, whose bytes the library throws away. `feed` gives the ids."""

    def __init__(self) -> None:
        self._buffer = b""
        self._skip = 0  # of the payload of another frame
        self._typed = False

    @property
    def begun(self) -> bool:
        return self._typed

    def feed(self, data: bytes) -> list[int]:
        """Raises `BadId` for a GOAWAY without an id."""
        found = []
        skipped = min(self._skip, len(data))
        self._skip -= skipped
        self._buffer += data[skipped:]
        while self._buffer and not self._skip:
            buffer = Buffer(data=self._buffer)
            try:
                if not self._typed:
                    buffer.pull_uint_var()
                    self._typed = True
                    self._buffer = self._buffer[buffer.tell() :]
                    continue
                kind, size = buffer.pull_uint_var(), buffer.pull_uint_var()
            except BufferReadError:
                break
            begun = buffer.tell()
            if kind != FrameType.GOAWAY:
                # Danger: a payload may be as long as its sender likes, and is not ours to hold.
                there = min(size, len(self._buffer) - begun)
                self._skip = size - there
                self._buffer = self._buffer[begun + there :]
                continue
            if size > 8:
                raise BadId("GOAWAY with more than an id")
            if len(self._buffer) < begun + size:
                break
            try:
                found.append(Buffer(data=self._buffer[begun : begun + size]).pull_uint_var())
            except BufferReadError as error:
                raise BadId("GOAWAY has no id") from error
            self._buffer = self._buffer[begun + size :]
        return found


class Http3Client(Bounded):
    """A client's side. The library knows neither GOAWAY nor errors of one stream alone."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self._bound: int | None = None
        self._goaways: dict[int, Goaways | None] = {}  # by stream that the server opened; None: no control

    def handle_event(self, event: QuicEvent) -> list[h3.H3Event]:
        found = super().handle_event(event)
        if isinstance(event, StreamDataReceived) and event.stream_id % 4 == 3 and not self._is_done:
            found += self._control(event.stream_id, event.data)
        return found

    def _control(self, stream_id: int, data: bytes) -> list[h3.H3Event]:
        reader = self._goaways.setdefault(stream_id, Goaways())
        if reader is None:
            return []
        if data[:1] != b"\0" and not reader.begun:
            self._goaways[stream_id] = None  # of another type (RFC 9114, 6.2): its bytes are no frames
            return []
        found: list[h3.H3Event] = []
        try:
            for bound in reader.feed(data):
                # Danger: raised again, an id would call off what was said of requests that went elsewhere.
                if bound % 4 or (self._bound is not None and bound > self._bound):
                    raise BadId("GOAWAY with an id that is no request's, or is above the last one")
                self._bound = bound
                found.append(Away(bound))
        except BadId as error:
            self._is_done = True
            self._quic.close(error_code=error.error_code, reason_phrase=error.reason_phrase)
        return found

    def _receive_request_or_push_data(
        self, stream: H3Stream, data: bytes, stream_ended: bool
    ) -> list[h3.H3Event]:
        try:
            return super()._receive_request_or_push_data(stream, data, stream_ended)
        except (MessageError, TooMuch) as error:
            # Danger: closed with the connection, all others on it would end, and may have run.
            stream.receiving_ended = True
            return [Malformed(stream.stream_id, error.reason_phrase)]


class QuicClient(Looked):
    """A client's connection: knows stateless resets, and can hold a stream's sender back."""

    def __init__(self, configuration: QuicConfiguration) -> None:
        super().__init__(configuration=configuration)
        self._held: set[int] = set()

    def is_reset(self, data: bytes) -> bool:
        """Is this a stateless reset (RFC 9000, 10.3.1)? The process that knew the connection has ended."""
        if len(data) < 21 or data[0] & 0x80:  # danger: a datagram may be empty
            return False
        known = (self._peer_cid, *self._peer_cid_available)
        return any(
            cid.stateless_reset_token and hmac.compare_digest(cid.stateless_reset_token, data[-16:])
            for cid in known
        )

    def sent(self, stream_id: int) -> bool:
        """Has all of a stream been put into packets, its end (FIN) among it?"""
        stream = self._streams.get(stream_id)
        if stream is None:
            return self._stream_is_discarded(stream_id)
        sender = stream.sender
        if sender._buffer_fin is None:
            return False
        return sender.is_finished or (not len(sender._pending) and not sender._pending_eof)

    @property
    def idle_s(self) -> float:
        """With nothing said for so long, either side forgets the connection."""
        return self._idle_timeout()

    @property
    def room(self) -> int:
        """How many more streams the server lets us open now."""
        return self._remote_max_streams_bidi - self._local_next_stream_id_bidi // 4

    def hold(self, stream_id: int, held: bool) -> None:
        """Give the sender of a stream no more room, or again some."""
        if held:
            self._held.add(stream_id)
        else:
            self._held.discard(stream_id)

    def _write_stream_limits(
        self, builder: QuicPacketBuilder, space: QuicPacketSpace, stream: QuicStream
    ) -> None:
        """Danger: the library doubles a window whenever half of it has come, whoever reads what came. An
        answer of 32 MB would be here at once, for a client that takes it by the minute."""
        number = stream.stream_id
        if number is not None and number % 4 == 0 and stream.max_stream_data_local:
            if number in self._held:
                return
            wanted = stream.receiver.highest_offset + ANSWER_WINDOW
            if wanted < stream.max_stream_data_local + ANSWER_WINDOW // 2:
                wanted = stream.max_stream_data_local
            if wanted == stream.max_stream_data_local_sent:
                return
            stream.max_stream_data_local = wanted
            buffer = builder.start_frame(
                QuicFrameType.MAX_STREAM_DATA,
                capacity=MAX_STREAM_DATA_FRAME_CAPACITY,
                handler=self._on_max_stream_data_delivery,
                handler_args=(stream,),
            )
            buffer.push_uint_var(number)
            buffer.push_uint_var(wanted)
            stream.max_stream_data_local_sent = wanted
            return
        super()._write_stream_limits(builder, space, stream)


def _settings(is_client: bool, window: int) -> QuicConfiguration:
    """`window`: bytes of a stream that its sender may be ahead."""
    return QuicConfiguration(
        is_client=is_client,
        alpn_protocols=ALPN,
        connection_id_length=ID_BYTES,
        idle_timeout=IDLE_S,
        max_data=CONNECTION_WINDOW,
        max_stream_data=window,
        max_datagram_size=1200,
        supported_versions=[QuicProtocolVersion.VERSION_1],
    )


def client_settings(authority: str) -> QuicConfiguration:
    """The library's settings for connections to servers whose certificates are signed by an authority in
    `authority`, a PEM file. Raises OSError if it can't be read, ValueError if it can't be used."""
    data = Path(authority).read_bytes()
    if b"-----BEGIN CERTIFICATE-----" not in data:
        raise ValueError(f"{authority}: has no CERTIFICATE in PEM form")
    try:
        load_pem_x509_certificates(data)  # danger: the library reads it when a server is to be believed
    except ValueError as error:
        raise ValueError(f"{authority}: {error}") from error
    settings = _settings(is_client=True, window=ANSWER_WINDOW)
    settings.load_verify_locations(cadata=data)
    return settings


def server_settings(certificate: str, key: str) -> tuple[QuicConfiguration, bytes]:
    """The library's settings with a certificate (chain) and its key from PEM files; and a secret that lasts
    as long as the key does.

    Raises OSError if a file can't be read, ValueError if its content can't be used.
    """
    settings = _settings(is_client=False, window=STREAM_WINDOW)
    chain, private = Path(certificate).read_bytes(), Path(key).read_bytes()
    for path, data, word in ((certificate, chain, b"CERTIFICATE"), (key, private, b"PRIVATE KEY")):
        if b"-----BEGIN " not in data or word + b"-----" not in data:
            raise ValueError(f"{path}: has no {word.decode()} in PEM form")
    try:
        settings.load_cert_chain(certificate, key)
    except Exception as error:  # the library's own kinds, none of them documented
        raise ValueError(f"{certificate} with {key}: {error}") from error
    return settings, hashlib.sha256(b"cloverrouter http3" + private).digest()


def stateless_reset(token: bytes, received: int) -> bytes:
    """A packet that ends a connection which this process does not know; empty if there is none to send.

    Danger: as long as what it answers, two such processes would answer each other for ever.
    """
    size = min(received - 1, 43)
    return bytes([0x40 | os.urandom(1)[0] & 0x3F]) + os.urandom(size - 17) + token if size >= 21 else b""


__all__ = [
    "Away",
    "Http3",
    "Http3Client",
    "Looked",
    "Malformed",
    "NetworkAddress",
    "Quic",
    "QuicClient",
    "client_settings",
    "server_settings",
    "stateless_reset",
]
