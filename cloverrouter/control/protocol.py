"""The control socket's protocol, version 1: JSON lines to typed values and back.

Each line is one JSON object in UTF-8 that ends with a line feed and has at most `MAX_LINE_BYTES`. The
server sends the first line:

    {"v":1,"hello":"cloverrouter","name":"n0","boot":"5f..."}

A request, its answer, an event that a request subscribed to, and the server's last line before it closes:

    {"v":1,"id":7,"do":"drain","args":{"server":"s-1"}}
    {"v":1,"id":7,"ok":true,"result":{...}}      or     {"v":1,"id":7,"ok":false,"error":{...}}
    {"v":1,"id":7,"event":{...}}
    {"v":1,"bye":"slow_reader","text":"..."}

`error` has `code`, `text`, `right` (the valid input) and optional further fields. Any input decodes to a
request or raises `BadLine`.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

VERSION = 1
MAX_LINE_BYTES = 16 * 1024
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # a client's limit for a line from the server
MAX_DEPTH = 16


class BadLine(Exception):
    """A line that is not a valid message. `request_id` is set if it could be decoded."""

    def __init__(self, code: str, text: str, right: str, request_id: int | str | None = None) -> None:
        super().__init__(text)
        self.code, self.text, self.right, self.request_id = code, text, right, request_id


class LineTooLong(Exception):
    """A line exceeds the maximum length."""


@dataclass(frozen=True, slots=True)
class Request:
    """A decoded request. `args` is not validated against the command yet."""

    id: int | str
    do: str
    args: dict[str, Any]


class LineBuffer:
    """Splits a byte stream into lines; buffers at most one partial line of `max_bytes`."""

    def __init__(self, max_bytes: int = MAX_LINE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._partial = bytearray()

    @property
    def has_partial_line(self) -> bool:
        """Return whether a line has begun and not ended."""
        return bool(self._partial)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the lines completed by `data`, without line feeds.

        Raises `LineTooLong` at the position of a line that is too long.
        """
        start = 0
        while (end := data.find(b"\n", start)) >= 0:
            line = bytes(self._partial) + data[start:end]
            self._partial.clear()
            start = end + 1
            if len(line) > self._max_bytes:
                raise LineTooLong
            yield line
        # Without this limit, megabytes without a line feed would be buffered and copied with each read.
        if len(self._partial) + len(data) - start > self._max_bytes:
            self._partial.clear()
            raise LineTooLong
        self._partial += data[start:]


def encode(message: dict[str, Any]) -> bytes:
    """Return `message` as a line of the current version. Raises ValueError for NaN and infinities."""
    return json.dumps({"v": VERSION, **message}, separators=(",", ":"), allow_nan=False).encode() + b"\n"


def error(code: str, text: str, right: str = "", **more: Any) -> dict[str, Any]:
    """Return the `error` object of an answer."""
    return {"code": code, "text": text, "right": right, **more}


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is not valid JSON")


def decode(line: bytes) -> Request:
    """Decode a request. Raises `BadLine` for anything that is not a request of this version."""
    right = 'a line such as {"v":1,"id":1,"do":"status","args":{}}'
    try:
        # A short line with deep nesting would exceed the JSON parser's recursion limit.
        if line.count(b"[") + line.count(b"{") > MAX_DEPTH:
            raise ValueError("nested too deeply")
        message = json.loads(line.decode(), parse_constant=_reject_constant)
    except (ValueError, RecursionError) as exc:
        raise BadLine("bad_line", f"not valid JSON: {exc}", right) from exc
    if not isinstance(message, dict):
        raise BadLine("bad_line", "not a JSON object", right)
    request_id = message.get("id")
    if not isinstance(request_id, int | str) or isinstance(request_id, bool) or len(str(request_id)) > 64:
        raise BadLine("bad_id", "id is missing or invalid", "a whole number or a short text as id")
    if message.get("v") != VERSION or isinstance(message.get("v"), bool):
        text = f"version {message.get('v')!r} is not supported"
        raise BadLine("bad_version", text, f"this proxy supports version {VERSION}", request_id)
    do, args = message.get("do"), message.get("args", {})
    if not isinstance(do, str) or not isinstance(args, dict):
        raise BadLine("bad_line", "do must be a text and args an object", right, request_id)
    for key in message:
        if key not in ("v", "id", "do", "args"):
            raise BadLine("bad_line", f"unknown field {key[:40]!r} in a request", right, request_id)
    return Request(request_id, do, args)


def decode_answer(line: bytes) -> dict[str, Any]:
    """Decode a line of the server, for clients. Raises `BadLine`."""
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as exc:
        raise BadLine("bad_line", f"not valid JSON: {exc}", "is this the proxy's control socket?") from exc
    if not isinstance(message, dict) or message.get("v") != VERSION:
        raise BadLine("bad_version", "the proxy uses another protocol version", f"version {VERSION}")
    return message
