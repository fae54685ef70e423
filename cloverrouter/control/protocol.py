"""Lines of JSON on the control socket: bytes to typed values and back. Version 1.

Each line is one JSON object in UTF-8 that ends with a line feed and has at most `MOST_LINE` bytes. The
server speaks first:

    {"v":1,"hello":"cloverrouter","name":"n0","boot":"5f..."}

A request, its answer, an event that a request asked for, and the server's last word before it closes:

    {"v":1,"id":7,"do":"drain","args":{"server":"s-1"}}
    {"v":1,"id":7,"ok":true,"result":{...}}      or     {"v":1,"id":7,"ok":false,"error":{...}}
    {"v":1,"id":7,"event":{...}}
    {"v":1,"bye":"slow_reader","text":"..."}

`error` has `code`, `text`, `right` and perhaps more. The decoder is total: any bytes give a request or a
`BadLine`.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

VERSION = 1
MOST_LINE = 16 * 1024
MOST_ANSWER = 4 * 1024 * 1024  # of a line from the server, for clients
MOST_DEPTH = 16


class BadLine(Exception):
    """A line that is no request. `id` is the request's, where it could be read."""

    def __init__(self, code: str, text: str, right: str, request_id: int | str | None = None) -> None:
        super().__init__(text)
        self.code, self.text, self.right, self.request_id = code, text, right, request_id


class LineTooLong(Exception):
    """More bytes came than a line may have, with no end of it in sight."""


@dataclass(frozen=True, slots=True)
class Asked:
    """A request as it came. `args` is not checked against the command yet."""

    id: int | str
    do: str
    args: dict[str, Any]


class Lines:
    """Bytes to lines, keeping no more than one unfinished line of `most` bytes."""

    def __init__(self, most: int = MOST_LINE) -> None:
        self._most = most
        self._rest = bytearray()

    @property
    def unfinished(self) -> bool:
        return bool(self._rest)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The lines that `data` ends, without their line feeds. Raises `LineTooLong` in their turn."""
        start = 0
        while (end := data.find(b"\n", start)) >= 0:
            line = bytes(self._rest) + data[start:end]
            self._rest.clear()
            start = end + 1
            if len(line) > self._most:
                raise LineTooLong
            yield line
        # Danger: ten megabytes with no line feed in them would be kept, or searched again and again.
        if len(self._rest) + len(data) - start > self._most:
            self._rest.clear()
            raise LineTooLong
        self._rest += data[start:]


def encode(message: dict[str, Any]) -> bytes:
    return json.dumps({"v": VERSION, **message}, separators=(",", ":"), allow_nan=False).encode() + b"\n"


def error(code: str, text: str, right: str = "", **more: Any) -> dict[str, Any]:
    return {"code": code, "text": text, "right": right, **more}


def _no_number(text: str) -> Any:
    raise ValueError(f"{text} is no JSON")


def decode(line: bytes) -> Asked:
    """Raises `BadLine` for anything that is not a request of this version."""
    right = 'a line such as {"v":1,"id":1,"do":"status","args":{}}'
    try:
        # Danger: nested deeply, a short line would make the parser recurse until it fails in its own way.
        if line.count(b"[") + line.count(b"{") > MOST_DEPTH:
            raise ValueError("nested too deeply")
        told = json.loads(line.decode(), parse_constant=_no_number)
    except (ValueError, RecursionError) as wrong:
        raise BadLine("bad_line", f"no JSON: {wrong}", right) from wrong
    if not isinstance(told, dict):
        raise BadLine("bad_line", "no JSON object", right)
    request_id = told.get("id")
    if not isinstance(request_id, int | str) or isinstance(request_id, bool) or len(str(request_id)) > 64:
        raise BadLine("bad_id", "no usable id", "a whole number or a short text as id")
    if told.get("v") != VERSION or isinstance(told.get("v"), bool):
        text = f"version {told.get('v')!r} is not spoken here"
        raise BadLine("bad_version", text, f"this proxy speaks version {VERSION}", request_id)
    do, args = told.get("do"), told.get("args", {})
    if not isinstance(do, str) or not isinstance(args, dict):
        raise BadLine("bad_line", "do must be a text and args an object", right, request_id)
    for key in told:
        if key not in ("v", "id", "do", "args"):
            raise BadLine("bad_line", f"{key[:40]!r} is not known in a request", right, request_id)
    return Asked(request_id, do, args)


def decode_answer(line: bytes) -> dict[str, Any]:
    """A line of the server's, for clients. Raises `BadLine`."""
    try:
        told = json.loads(line)
    except (ValueError, RecursionError) as wrong:
        raise BadLine("bad_line", f"no JSON: {wrong}", "is this the proxy's control socket?") from wrong
    if not isinstance(told, dict) or told.get("v") != VERSION:
        raise BadLine("bad_version", "the proxy speaks another version", f"version {VERSION}")
    return told
