"""Encode answers to clients in HTTP/1.1 (RFC 9112), buffered or streamed."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cloverrouter.proxy.messages import Answer

if TYPE_CHECKING:
    from cloverrouter.proxy.client_connection import ClientConnection

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


def encode_answer(status: int, body: bytes, headers: bytes, close: bool) -> bytes:
    """Return a complete answer; `headers`: additional header lines; `close`: the connection ends with it."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASONS.get(status, b"Error"),
        headers,
        len(body),
        b"Connection: close\r\n" if close else b"",
        body,
    )


def encode_stream_head(answer: Answer, headers: bytes, chunked: bool, close: bool) -> bytes:
    """Return the head of a streamed answer; `headers`: additional header lines."""
    kind = b"Content-Type: %b\r\n" % answer.content_type if answer.content_type else b""
    framing = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if answer.length is not None:
        framing = b"Content-Length: %d\r\n" % answer.length
    end = b"Connection: close\r\n" if close else b""
    return b"HTTP/1.1 200 OK\r\n%b%b%b%b\r\n" % (kind, headers, framing, end)


class StreamedAnswer:
    """The `AnswerSink` of an answer that is streamed to an HTTP/1.x client."""

    def __init__(self, client: ClientConnection, chunked: bool, close: bool, self_delimited: bool) -> None:
        """`self_delimited`: the framing marks where the body ends, not the end of the connection."""
        self._client, self._chunked, self._close = client, chunked, close
        self._self_delimited = self_delimited
        self.on_ready: Callable[[], None] | None = None

    def write(self, data: bytes) -> bool:
        return self._client.write_stream(self, b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        if self._chunked:
            self._client.write_stream(self, b"0\r\n\r\n")
        self._client.finish_stream(self, self._close)

    def abort(self) -> None:
        self._client.abort_stream(self, self._self_delimited)
