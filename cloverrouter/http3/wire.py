"""The QUIC library, with bounds of ours. All that goes beneath its public API stands in this file."""

from __future__ import annotations

import hashlib
import os
from collections.abc import Callable
from pathlib import Path

import pylsqpack
from aioquic.h3.connection import (
    ErrorCode,
    FrameType,
    H3Connection,
    H3Stream,
    ProtocolError,
    Setting,
    encode_frame,
)
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import NetworkAddress, QuicConnection
from aioquic.quic.packet import QuicProtocolVersion

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


class TooMuch(ProtocolError):
    error_code = ErrorCode.H3_EXCESSIVE_LOAD


class Http3(H3Connection):
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

    def go_away(self, stream_id: int) -> None:
        """Requests on streams from `stream_id` up are not served (RFC 9114, 5.2)."""
        assert self._local_control_stream_id is not None
        # A variable-length integer of eight bytes (RFC 9000, 16).
        told = (stream_id | 3 << 62).to_bytes(8, "big")
        self._quic.send_stream_data(self._local_control_stream_id, encode_frame(FrameType.GOAWAY, told))


class Quic(QuicConnection):
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

    def writable(self, stream_id: int) -> bool:
        """May anything be written to the stream still?"""
        stream = self._streams.get(stream_id)
        if stream is None:
            return False
        sender = stream.sender
        return not sender.is_finished and sender._reset_error_code is None and sender._buffer_fin is None

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


def server_settings(certificate: str, key: str) -> tuple[QuicConfiguration, bytes]:
    """The library's settings with a certificate (chain) and its key from PEM files; and a secret that lasts
    as long as the key does.

    Raises OSError if a file can't be read, ValueError if its content can't be used.
    """
    settings = QuicConfiguration(
        is_client=False,
        alpn_protocols=ALPN,
        connection_id_length=ID_BYTES,
        idle_timeout=IDLE_S,
        max_data=CONNECTION_WINDOW,
        max_stream_data=STREAM_WINDOW,
        max_datagram_size=1200,
        supported_versions=[QuicProtocolVersion.VERSION_1],
    )
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


__all__ = ["Http3", "NetworkAddress", "Quic", "server_settings", "stateless_reset"]
