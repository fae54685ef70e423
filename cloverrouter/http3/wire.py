"""Adapts the QUIC and HTTP/3 library: limits, GOAWAY, stateless resets, flow control.

Every use of the library's internals is in this module.
"""

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

from cloverrouter.http3.doors import CONNECTION_ID_BYTES
from cloverrouter.proxy.messages import MAX_HEAD_BYTES

ALPN = ["h3"]
SETTINGS_MAX_FIELD_SECTION_SIZE = 0x06  # RFC 9114, 7.2.4.1
IDLE_S = 10.0  # idle timeout of a connection
# They limit the data that is buffered out of order until a lost packet is retransmitted.
CONNECTION_WINDOW = 512 * 1024
STREAM_WINDOW = 128 * 1024
# A head is decoded as a whole. One over 16 KiB is answered 431; one whose frame exceeds this limit ends its
# connection. Without a dynamic table (RFC 9204, 3.2) no encoded byte can expand to more than a short field.
MAX_HEAD_FRAME_BYTES = 32 * 1024


# Limits how much of an answer is received ahead of a slow reader.
ANSWER_WINDOW = 64 * 1024


class ExcessiveLoad(ProtocolError):
    """The peer exceeds a limit."""

    error_code = ErrorCode.H3_EXCESSIVE_LOAD


class LimitedHttp3Connection(H3Connection):
    """An HTTP/3 connection with tighter limits than the library's, which are meant for browsers."""

    def _init_connection(self) -> None:
        self._max_table_capacity = self._blocked_streams = 0
        self._decoder = pylsqpack.Decoder(0, 0)
        super()._init_connection()

    def _get_local_settings(self) -> dict[int, int]:
        settings = {**super()._get_local_settings(), SETTINGS_MAX_FIELD_SECTION_SIZE: MAX_HEAD_BYTES}
        del settings[Setting.ENABLE_CONNECT_PROTOCOL]  # extended CONNECT (RFC 9220) is not supported
        return settings

    def _check_request_or_push_frame_type(self, frame_type: int, stream: H3Stream) -> None:
        super()._check_request_or_push_frame_type(frame_type, stream)
        # A head is buffered until it is complete.
        if frame_type == FrameType.HEADERS and (stream.frame_size or 0) > MAX_HEAD_FRAME_BYTES:
            raise ExcessiveLoad("the head is too large")


class Http3Server(LimitedHttp3Connection):
    """The server side of an HTTP/3 connection."""

    def go_away(self, stream_id: int) -> None:
        """Send GOAWAY: requests on streams from `stream_id` up are not served (RFC 9114, 5.2)."""
        assert self._local_control_stream_id is not None
        # A variable-length integer of eight bytes (RFC 9000, 16).
        payload = (stream_id | 3 << 62).to_bytes(8, "big")
        self._quic.send_stream_data(self._local_control_stream_id, encode_frame(FrameType.GOAWAY, payload))


class BaseQuicConnection(QuicConnection):
    """A QUIC connection with access to state that the library does not expose."""

    def writable(self, stream_id: int) -> bool:
        """Whether the stream can still be written to."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return False
        sender = stream.sender
        return not sender.is_finished and sender._reset_error_code is None and sender._buffer_fin is None

    def readable(self, stream_id: int) -> bool:
        """Whether more data may arrive on the stream."""
        stream = self._streams.get(stream_id)
        return stream is not None and not stream.receiver.is_finished

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the bytes of a stream that the peer has not acknowledged."""
        stream = self._streams.get(stream_id)
        return 0 if stream is None else len(stream.sender._buffer)

    @property
    def total_unacknowledged_bytes(self) -> int:
        """The unacknowledged bytes of all streams together."""
        return sum(len(stream.sender._buffer) for stream in self._streams.values())

    @property
    def closing(self) -> bool:
        """Whether either side has closed it; the library keeps waiting for late packets."""
        return self._close_event is not None


class QuicServer(BaseQuicConnection):
    """The server side of a QUIC connection. `reset_token`: returns the stateless reset token of a connection
    id, with which a process without state of the connection can end it (RFC 9000, 10.3)."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        original_id: bytes,
        retry_id: bytes | None,
        reset_token: Callable[[bytes], bytes],
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_id,
            retry_source_connection_id=retry_id,
        )
        self._reset_token = reset_token
        self._assign_reset_tokens()

    def _assign_reset_tokens(self) -> None:
        for connection_id in self._host_cids:
            if not connection_id.was_sent or connection_id.sequence_number == 0:
                connection_id.stateless_reset_token = self._reset_token(connection_id.cid)

    def _replenish_connection_ids(self) -> None:
        super()._replenish_connection_ids()
        self._assign_reset_tokens()


@dataclass(frozen=True, slots=True)
class GoawayReceived(h3.H3Event):
    """GOAWAY was received: requests on streams from `bound` up are not served (RFC 9114, 5.2)."""

    bound: int


@dataclass(frozen=True, slots=True)
class MalformedStream(h3.H3Event):
    """The answer on a stream is malformed; other streams are not affected (RFC 9114, 4.1.2)."""

    stream_id: int
    reason: str


class GoawayIdError(ProtocolError):
    """GOAWAY without a valid stream id."""

    error_code = ErrorCode.H3_ID_ERROR


class GoawayReader:
    """Parses GOAWAY frames from a control stream, since the library ignores them."""

    def __init__(self) -> None:
        self._buffer = b""
        self._skip_bytes = 0  # remaining payload bytes of another frame
        self._type_read = False

    @property
    def type_read(self) -> bool:
        """Whether the stream's type has been read."""
        return self._type_read

    def feed(self, data: bytes) -> list[int]:
        """Return the ids of the GOAWAYs completed by `data`. Raises `GoawayIdError` for one without an id."""
        ids = []
        skipped = min(self._skip_bytes, len(data))
        self._skip_bytes -= skipped
        self._buffer += data[skipped:]
        while self._buffer and not self._skip_bytes:
            buffer = Buffer(data=self._buffer)
            try:
                if not self._type_read:
                    buffer.pull_uint_var()
                    self._type_read = True
                    self._buffer = self._buffer[buffer.tell() :]
                    continue
                kind, size = buffer.pull_uint_var(), buffer.pull_uint_var()
            except BufferReadError:
                break
            payload_start = buffer.tell()
            if kind != FrameType.GOAWAY:
                # Skipped rather than buffered: the sender chooses the length of a payload.
                available = min(size, len(self._buffer) - payload_start)
                self._skip_bytes = size - available
                self._buffer = self._buffer[payload_start + available :]
                continue
            if size > 8:
                raise GoawayIdError("GOAWAY with more than an id")
            if len(self._buffer) < payload_start + size:
                break
            try:
                ids.append(Buffer(data=self._buffer[payload_start : payload_start + size]).pull_uint_var())
            except BufferReadError as error:
                raise GoawayIdError("GOAWAY has no id") from error
            self._buffer = self._buffer[payload_start + size :]
        return ids


class Http3Client(LimitedHttp3Connection):
    """The client side of an HTTP/3 connection. Adds GOAWAY and stream errors, which the library lacks."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self._bound: int | None = None
        # By unidirectional stream of the server; None: not a control stream.
        self._goaway_readers: dict[int, GoawayReader | None] = {}

    def handle_event(self, event: QuicEvent) -> list[h3.H3Event]:
        """Handle an event of the QUIC connection; also returns GOAWAY and malformed streams."""
        http_events = super().handle_event(event)
        if isinstance(event, StreamDataReceived) and event.stream_id % 4 == 3 and not self._is_done:
            http_events += self._read_control_stream(event.stream_id, event.data)
        return http_events

    def _read_control_stream(self, stream_id: int, data: bytes) -> list[h3.H3Event]:
        reader = self._goaway_readers.setdefault(stream_id, GoawayReader())
        if reader is None:
            return []
        if data[:1] != b"\0" and not reader.type_read:
            self._goaway_readers[stream_id] = None  # of another type, without frames (RFC 9114, 6.2)
            return []
        http_events: list[h3.H3Event] = []
        try:
            for bound in reader.feed(data):
                # A raised id would contradict the last GOAWAY, after which requests were sent elsewhere.
                if bound % 4 or (self._bound is not None and bound > self._bound):
                    raise GoawayIdError("GOAWAY with an id that is no request's, or is above the last one")
                self._bound = bound
                http_events.append(GoawayReceived(bound))
        except GoawayIdError as error:
            self._is_done = True
            self._quic.close(error_code=error.error_code, reason_phrase=error.reason_phrase)
        return http_events

    def _receive_request_or_push_data(
        self, stream: H3Stream, data: bytes, stream_ended: bool
    ) -> list[h3.H3Event]:
        try:
            return super()._receive_request_or_push_data(stream, data, stream_ended)
        except (MessageError, ExcessiveLoad) as error:
            # Closing the connection would also end the other requests on it, which may have run.
            stream.receiving_ended = True
            return [MalformedStream(stream.stream_id, error.reason_phrase)]


class QuicClient(BaseQuicConnection):
    """The client side of a QUIC connection. Detects stateless resets; can pause the sender of a stream."""

    def __init__(self, configuration: QuicConfiguration) -> None:
        super().__init__(configuration=configuration)
        self._paused_streams: set[int] = set()

    def is_reset(self, data: bytes) -> bool:
        """Whether this is a stateless reset (RFC 9000, 10.3.1): the server lost the connection's state."""
        if len(data) < 21 or data[0] & 0x80:  # the length first: a datagram may be empty
            return False
        known = (self._peer_cid, *self._peer_cid_available)
        return any(
            cid.stateless_reset_token and hmac.compare_digest(cid.stateless_reset_token, data[-16:])
            for cid in known
        )

    def all_sent(self, stream_id: int) -> bool:
        """Whether all of a stream, including FIN, has been put into packets."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return self._stream_is_discarded(stream_id)
        sender = stream.sender
        if sender._buffer_fin is None:
            return False
        return sender.is_finished or (not len(sender._pending) and not sender._pending_eof)

    @property
    def idle_timeout_s(self) -> float:
        """The idle timeout, after which either side discards the connection."""
        return self._idle_timeout()

    @property
    def available_streams(self) -> int:
        """How many more streams the server currently allows."""
        return self._remote_max_streams_bidi - self._local_next_stream_id_bidi // 4

    def set_receive_paused(self, stream_id: int, paused: bool) -> None:
        """Stop or resume granting flow control credit to the sender of a stream."""
        if paused:
            self._paused_streams.add(stream_id)
        else:
            self._paused_streams.discard(stream_id)

    def _write_stream_limits(
        self, builder: QuicPacketBuilder, space: QuicPacketSpace, stream: QuicStream
    ) -> None:
        """Keep the window of an answer constant.

        The library doubles a window whenever half of it has been received, even if the data was not read: an
        answer of 32 MB would be buffered here for a client that takes minutes to read it.
        """
        stream_id = stream.stream_id
        if stream_id is not None and stream_id % 4 == 0 and stream.max_stream_data_local:
            if stream_id in self._paused_streams:
                return
            limit = stream.receiver.highest_offset + ANSWER_WINDOW
            if limit < stream.max_stream_data_local + ANSWER_WINDOW // 2:
                limit = stream.max_stream_data_local
            if limit == stream.max_stream_data_local_sent:
                return
            stream.max_stream_data_local = limit
            buffer = builder.start_frame(
                QuicFrameType.MAX_STREAM_DATA,
                capacity=MAX_STREAM_DATA_FRAME_CAPACITY,
                handler=self._on_max_stream_data_delivery,
                handler_args=(stream,),
            )
            buffer.push_uint_var(stream_id)
            buffer.push_uint_var(limit)
            stream.max_stream_data_local_sent = limit
            return
        super()._write_stream_limits(builder, space, stream)


def _settings(is_client: bool, window: int) -> QuicConfiguration:
    """Return the settings common to both sides; `window`: initial flow control window of a stream."""
    return QuicConfiguration(
        is_client=is_client,
        alpn_protocols=ALPN,
        connection_id_length=CONNECTION_ID_BYTES,
        idle_timeout=IDLE_S,
        max_data=CONNECTION_WINDOW,
        max_stream_data=window,
        max_datagram_size=1200,
        supported_versions=[QuicProtocolVersion.VERSION_1],
    )


def client_settings(authority: str) -> QuicConfiguration:
    """Return the settings for connections to servers whose certificates are signed by an authority in
    `authority`, a PEM file. Raises OSError if it can't be read, ValueError if it can't be used."""
    data = Path(authority).read_bytes()
    if b"-----BEGIN CERTIFICATE-----" not in data:
        raise ValueError(f"{authority}: has no CERTIFICATE in PEM form")
    try:
        load_pem_x509_certificates(data)  # checked now: the library parses it only in a handshake
    except ValueError as error:
        raise ValueError(f"{authority}: {error}") from error
    settings = _settings(is_client=True, window=ANSWER_WINDOW)
    settings.load_verify_locations(cadata=data)
    return settings


def server_settings(certificate: str, key: str) -> tuple[QuicConfiguration, bytes]:
    """Return the settings with a certificate (chain) and its key from PEM files, and a secret derived from
    the key, which stays the same as long as the key does.

    Raises OSError if a file can't be read, ValueError if its content can't be used.
    """
    settings = _settings(is_client=False, window=STREAM_WINDOW)
    chain, private_key = Path(certificate).read_bytes(), Path(key).read_bytes()
    for path, data, label in ((certificate, chain, b"CERTIFICATE"), (key, private_key, b"PRIVATE KEY")):
        if b"-----BEGIN " not in data or label + b"-----" not in data:
            raise ValueError(f"{path}: has no {label.decode()} in PEM form")
    try:
        settings.load_cert_chain(certificate, key)
    except Exception as error:  # the library doesn't document its exceptions
        raise ValueError(f"{certificate} with {key}: {error}") from error
    return settings, hashlib.sha256(b"cloverrouter http3" + private_key).digest()


def stateless_reset(token: bytes, received_bytes: int) -> bytes:
    """Return a packet that ends a connection which this process does not know; empty if none can be sent.

    It is shorter than the packet that caused it: otherwise two such processes would reply to each other
    forever.
    """
    size = min(received_bytes - 1, 43)
    return bytes([0x40 | os.urandom(1)[0] & 0x3F]) + os.urandom(size - 17) + token if size >= 21 else b""


__all__ = [
    "BaseQuicConnection",
    "GoawayReceived",
    "Http3Client",
    "Http3Server",
    "MalformedStream",
    "NetworkAddress",
    "QuicClient",
    "QuicServer",
    "client_settings",
    "server_settings",
    "stateless_reset",
]
