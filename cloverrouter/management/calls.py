"""Parse operators' HTTP/1.1 calls into typed calls, and encode the responses.

Any input is a complete call, an incomplete one, or a `CallError`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote

import httptools

MAX_CALL_BYTES = 8192  # head and body
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}
HOST_PATH = re.compile(r"/hosts/([^/]+)/(maint|ready)")


class CallKind(Enum):
    HEALTH = "health"
    STATS = "figures"
    BAN = "maint"
    LIFT = "ready"


@dataclass(frozen=True, slots=True)
class OperatorCall:
    kind: CallKind
    host: str = ""


class CallError(Exception):
    """An invalid call. `status` is the HTTP status of the response; the text says what is valid."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def parse_call(method: str, target: str) -> OperatorCall:
    """Return the call for a request line. Raises `CallError` with status 404 or 405."""
    path = target.partition("?")[0]
    host_match = HOST_PATH.fullmatch(path)
    if host_match is not None:
        call, expected_method = OperatorCall(CallKind(host_match[2]), unquote(host_match[1])), "PUT"
    elif path in ("/healthcheck", "/stats"):
        call, expected_method = (
            OperatorCall(CallKind.HEALTH if path == "/healthcheck" else CallKind.STATS),
            "GET",
        )
    else:
        raise CallError(404, "known are /healthcheck, /stats, /hosts/ID/maint and /hosts/ID/ready")
    if method != expected_method:
        raise CallError(405, f"{path} is called with {expected_method}")
    return call


class CallParser:
    """Parses the bytes of one connection; a call is complete with the last byte of its body."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._bytes = 0
        self._complete = False

    def feed(self, data: bytes) -> OperatorCall | None:
        """Parse `data`. Returns the call, or None while it is incomplete. Raises `CallError`."""
        self._bytes += len(data)
        if self._bytes > MAX_CALL_BYTES:
            raise CallError(413, f"a call has {MAX_CALL_BYTES} bytes at most")
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._complete:
                raise CallError(400, f"not HTTP/1.1: {error}") from error
        if not self._complete:
            return None
        return parse_call(self._parser.get_method().decode("latin-1"), self._target.decode("latin-1"))

    # Callbacks of httptools

    def on_url(self, url: bytes) -> None:
        if not self._complete:
            self._target += url

    def on_message_complete(self) -> None:
        self._complete = True


def encode_response(status: int, body: bytes) -> bytes:
    return (
        b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
        % (
            status,
            REASONS[status],
            len(body),
            body,
        )
    )
