"""Blocking client of a proxy's control socket."""

from __future__ import annotations

import socket
import time
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from cloverrouter.control.protocol import (
    MAX_ANSWER_BYTES,
    BadLine,
    LineBuffer,
    LineTooLong,
    decode_answer,
    encode,
)
from cloverrouter.seams import Json

TIMEOUT_S = 10.0


class Unreachable(Exception):
    """No proxy answers at the path, or it rejects the connection; no request was sent."""


class ConnectionLost(Exception):
    """The connection ended or timed out before the answer: it is unknown if the request was executed."""


class ControlClient:
    """One connection. The constructor raises `Unreachable`, the other methods `ConnectionLost`.

    `hello` is the proxy's first line.
    """

    def __init__(self, path: Path, timeout_s: float = TIMEOUT_S) -> None:
        self._lines, self._received = LineBuffer(MAX_ANSWER_BYTES), deque[bytes]()
        self._last_id = 0
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._socket.settimeout(timeout_s)
        try:
            self._connect(str(path), time.monotonic() + timeout_s)
            self.hello = self._read()
        except (OSError, ConnectionLost) as error:
            self._socket.close()
            reason = error.strerror if isinstance(error, OSError) and error.strerror else error
            raise Unreachable(f"{path}: {reason}; is the proxy running, with [control] enabled?") from error
        if "bye" in self.hello:
            self._socket.close()
            raise Unreachable(f"{path}: {self.hello.get('text')}")

    def _connect(self, path: str, deadline_s: float) -> None:
        while True:
            try:
                return self._socket.connect(path)
            except BlockingIOError:  # the listen backlog is full (connect(2), EAGAIN)
                if time.monotonic() > deadline_s:
                    raise
                time.sleep(0.02)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def set_timeout(self, timeout_s: float) -> None:
        """Set the timeout of each subsequent answer."""
        self._socket.settimeout(timeout_s)

    def _read(self) -> Json:
        try:
            while not self._received:
                data = self._socket.recv(65536)
                if not data:
                    raise ConnectionLost("the proxy closed the connection")
                self._received.extend(self._lines.feed(data))
            return decode_answer(self._received.popleft())
        except TimeoutError as error:
            raise ConnectionLost("the proxy does not answer") from error
        except (OSError, LineTooLong, BadLine) as error:
            raise ConnectionLost(str(error) or type(error).__name__) from error

    def ask(self, do: str, **args: Any) -> Json:
        """Send a request and return its answer, which has `ok`, and `result` or `error`."""
        self._last_id += 1
        try:
            self._socket.sendall(encode({"id": self._last_id, "do": do, "args": args}))
        except OSError as error:
            raise ConnectionLost(str(error)) from error
        while True:
            message = self._read()
            if "bye" in message:
                raise ConnectionLost(str(message.get("text")))
            if message.get("id") == self._last_id and "ok" in message:
                return message

    def follow(self) -> Iterator[Json]:
        """Yield events until the connection ends; without a timeout, since events may be rare."""
        self._socket.settimeout(None)
        while True:
            message = self._read()
            if "bye" in message:
                raise ConnectionLost(str(message.get("text")))
            if "event" in message:
                yield message["event"]
