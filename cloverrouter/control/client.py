"""One connection to a proxy's control socket, for a program that waits for its answers."""

from __future__ import annotations

import socket
import time
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from cloverrouter.control.protocol import MOST_ANSWER, BadLine, Lines, LineTooLong, decode_answer, encode
from cloverrouter.seams import Json

TIMEOUT_S = 10.0


class Unreachable(Exception):
    """No proxy answers there, or it does not let us in; nothing was asked of it."""


class Lost(Exception):
    """The connection ended, or fell silent, before the answer: whether it was carried out is not known."""


class ControlClient:
    """Raises `Unreachable` when made, `Lost` later. `hello` is the proxy's first line."""

    def __init__(self, path: Path, timeout_s: float = TIMEOUT_S) -> None:
        self._lines, self._ready = Lines(MOST_ANSWER), deque[bytes]()
        self._last_id = 0
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._socket.settimeout(timeout_s)
        try:
            self._connect(str(path), time.monotonic() + timeout_s)
            self.hello = self._read()
        except (OSError, Lost) as wrong:
            self._socket.close()
            reason = wrong.strerror if isinstance(wrong, OSError) and wrong.strerror else wrong
            raise Unreachable(f"{path}: {reason}; is the proxy running, with [control] enabled?") from wrong
        if "bye" in self.hello:
            self._socket.close()
            raise Unreachable(f"{path}: {self.hello.get('text')}")

    def _connect(self, path: str, until_s: float) -> None:
        while True:
            try:
                return self._socket.connect(path)
            except BlockingIOError:  # its backlog is full, for the moment (connect(2), EAGAIN)
                if time.monotonic() > until_s:
                    raise
                time.sleep(0.02)

    def close(self) -> None:
        self._socket.close()

    def wait_at_most(self, timeout_s: float) -> None:
        """For each answer from here on."""
        self._socket.settimeout(timeout_s)

    def _read(self) -> Json:
        try:
            while not self._ready:
                data = self._socket.recv(65536)
                if not data:
                    raise Lost("the proxy closed the connection")
                self._ready.extend(self._lines.feed(data))
            return decode_answer(self._ready.popleft())
        except TimeoutError as wrong:
            raise Lost("the proxy does not answer") from wrong
        except (OSError, LineTooLong, BadLine) as wrong:
            raise Lost(str(wrong) or type(wrong).__name__) from wrong

    def ask(self, do: str, **args: Any) -> Json:
        """The answer: `ok`, and `result` or `error`."""
        self._last_id += 1
        try:
            self._socket.sendall(encode({"id": self._last_id, "do": do, "args": args}))
        except OSError as wrong:
            raise Lost(str(wrong)) from wrong
        while True:
            told = self._read()
            if "bye" in told:
                raise Lost(str(told.get("text")))
            if told.get("id") == self._last_id and "ok" in told:
                return told

    def follow(self) -> Iterator[Json]:
        """Events for as long as they come; the connection's silence is no fault."""
        self._socket.settimeout(None)
        while True:
            told = self._read()
            if "bye" in told:
                raise Lost(str(told.get("text")))
            if "event" in told:
                yield told["event"]
