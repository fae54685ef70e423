"""Operators' calls: bytes to one typed call, and a word back. Any bytes give a call, an error, or not yet."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote

import httptools

MOST_BYTES = 8192  # of a call with its body, if it has one
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}
HOST = re.compile(r"/hosts/([^/]+)/(maint|ready)")


class Word(Enum):
    HEALTH = "health"
    FIGURES = "figures"
    TAKE_OUT = "maint"
    GIVE_BACK = "ready"


@dataclass(frozen=True, slots=True)
class OperatorCall:
    word: Word
    host: str = ""


class CallError(Exception):
    """`status`: what the caller is answered; the text says what would be right."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def understand(method: str, target: str) -> OperatorCall:
    """Raises `CallError`."""
    path = target.partition("?")[0]
    found = HOST.fullmatch(path)
    if found is not None:
        call, right = OperatorCall(Word(found[2]), unquote(found[1])), "PUT"
    elif path in ("/healthcheck", "/stats"):
        call, right = OperatorCall(Word.HEALTH if path == "/healthcheck" else Word.FIGURES), "GET"
    else:
        raise CallError(404, "known are /healthcheck, /stats, /hosts/ID/maint and /hosts/ID/ready")
    if method != right:
        raise CallError(405, f"{path} is called with {right}")
    return call


class Reader:
    """Takes in what comes on one connection; a call is whole with its last byte."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._bytes = 0
        self._complete = False

    def feed(self, data: bytes) -> OperatorCall | None:
        """The call, once it is whole. Raises `CallError`."""
        self._bytes += len(data)
        if self._bytes > MOST_BYTES:
            raise CallError(413, f"a call has {MOST_BYTES} bytes at most")
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._complete:
                raise CallError(400, f"not HTTP/1.1: {error}") from error
        if not self._complete:
            return None
        return understand(self._parser.get_method().decode("latin-1"), self._target.decode("latin-1"))

    # httptools

    def on_url(self, url: bytes) -> None:
        if not self._complete:
            self._target += url

    def on_message_complete(self) -> None:
        self._complete = True


def answer(status: int, body: bytes) -> bytes:
    return (
        b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
        % (
            status,
            REASONS[status],
            len(body),
            body,
        )
    )
