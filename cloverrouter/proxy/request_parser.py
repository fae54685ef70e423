"""Parses the bytes of a client's HTTP/1.x connection into requests (RFC 9112). No I/O.

A request is described by the attributes of the parser while it is being received, until the next one begins.
"""

from __future__ import annotations

from typing import Protocol

import httptools

from cloverrouter.proxy.messages import MAX_BODY_BYTES, MAX_HEAD_BYTES
from cloverrouter.proxy.validity import Head


class RequestReceiver(Protocol):
    """Is told of the requests in the bytes that are being parsed."""

    def head_received(self) -> None:
        """The head is complete, and its body may follow."""

    def request_received(self) -> None:
        """The last byte of a valid request has been parsed."""


class RequestParser:
    """The requests of one connection; those that follow an invalid one are not reported."""

    def __init__(self) -> None:
        self._parser: httptools.HttpRequestParser | None = None  # created late: many connections send nothing
        self._receiver: RequestReceiver | None = None
        self._completed = False  # a request was completed by the piece that is being parsed
        self.error_status = 0  # of an invalid request
        self.begun = False  # part of a request has been received
        self.reset()

    def reset(self) -> None:
        """Forget the current request."""
        self.headers = Head()
        self.target = b""
        self.body = bytearray()  # the part that has been neither forwarded nor made part of a call
        self.in_head = True
        self.body_size = 0  # bytes of the body so far, including those already forwarded
        self.head_bytes = 0  # received of an incomplete head
        self._overhead_bytes = 0  # received since the last byte of the body

    def close(self) -> None:
        """Break a reference cycle that only the garbage collector would free."""
        self._parser = None

    def feed(self, data: memoryview, receiver: RequestReceiver) -> bool:
        """Parse `data` and report its requests to `receiver`; False if the bytes are no request.

        An invalid request, which may be well-formed, sets `error_status`.
        """
        if self._parser is None:
            self._parser = httptools.HttpRequestParser(self)
        self._completed, self._receiver = False, receiver
        well_formed, body_size = True, self.body_size
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            well_formed = self.error_status != 0
            self._reject(400)
        finally:
            self._receiver = None
        if self.in_head and self.begun and not self._completed:
            self.head_bytes += len(data)  # the parser reports nothing of a header line that never ends
            if self.head_bytes > MAX_HEAD_BYTES:
                self._reject(431)
        elif self.begun and self.body_size == body_size:
            self._overhead_bytes += len(data)  # chunk extensions, trailers
            if self._overhead_bytes > MAX_HEAD_BYTES:
                self._reject(431)
        else:
            self._overhead_bytes = 0
        return well_formed

    def _reject(self, status: int) -> None:
        """Set the error status, unless an earlier error has."""
        self.error_status = self.error_status or status

    # The request

    @property
    def method(self) -> bytes:
        assert self._parser is not None
        return self._parser.get_method()

    @property
    def keep_alive(self) -> bool:
        """Whether the client lets the connection stay open after the answer."""
        assert self._parser is not None
        return self._parser.should_keep_alive()

    @property
    def http_version(self) -> str:
        assert self._parser is not None
        return self._parser.get_http_version()

    @property
    def path(self) -> bytes:
        """The target without scheme and host of the absolute form (RFC 9112, 3.2.2); empty if invalid."""
        if self.target.startswith(b"/"):
            return self.target
        scheme, _, rest = self.target.partition(b"://")
        slash = rest.find(b"/")
        return rest[slash:] if scheme.lower() in (b"http", b"https") and slash > 0 else b""

    @property
    def held_bytes(self) -> int:
        """How much memory the part of a request takes that has been received."""
        return len(self.body) + self.head_bytes

    def abandon(self, status: int) -> None:
        """Drop the request that is being received, and treat it as invalid with `status`."""
        self._reject(status)
        self.body.clear()

    @property
    def missing_body_bytes(self) -> int:
        """How much of a body of declared length is still to come; 0 where that is not known."""
        length = self.headers.get(b"content-length") if not self.in_head else None
        return int(length) - self.body_size if length is not None else 0

    # Callbacks of httptools.HttpRequestParser

    def on_message_begin(self) -> None:
        self.reset()
        self.begun = True

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # a trailer field after the body must not override a field of the head
        self.error_status = self.error_status or self.headers.add(name.lower(), value)

    def on_headers_complete(self) -> None:
        self.in_head, self.body_size, self.head_bytes = False, 0, 0
        parser, headers = self._parser, self.headers
        assert parser is not None and self._receiver is not None
        length = headers.get(b"content-length")
        if parser.should_upgrade() or parser.get_http_version() not in ("1.1", "1.0"):
            self._reject(400)  # the bytes that follow have another framing
        elif b"transfer-encoding" in headers and (
            length is not None or headers[b"transfer-encoding"].lower() != b"chunked"
        ):
            self._reject(400)  # ambiguous framing: request smuggling
        elif length is not None and int(length) > MAX_BODY_BYTES:
            self._reject(413)
        self._receiver.head_received()

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > MAX_BODY_BYTES:
            self._reject(413)
        elif not self.error_status:
            self.body += body

    def on_message_complete(self) -> None:
        self.begun, self.in_head, self._completed = False, True, True
        if self.error_status:
            return
        assert self._receiver is not None
        self._receiver.request_received()
        self.reset()
