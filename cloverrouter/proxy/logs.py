"""Write the log to standard error without ever waiting for whoever reads it.

A collector that stops reading fills the pipe (64 KiB on Linux), and the next `write(2)` would hold up the
whole process, and every client with it. Lines for which there is no room are dropped, and counted in the next
line that goes out.
"""

from __future__ import annotations

import logging
import os
import select
import socket
import stat

STANDARD_ERROR = 2
# What a pipe takes whole or not at all (pipe(7)): no line is cut, unless it is longer.
PIECE = select.PIPE_BUF
FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"


class Output:
    """A descriptor that is written to without waiting."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._socket: socket.socket | None = None
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
            # O_NONBLOCK belongs to the open file, which other processes share: it is opened anew for us. A
            # regular file is not: it would be written from its start, and the disk is waited for in any case.
            self._descriptor = self._reopened(descriptor)
        elif stat.S_ISSOCK(mode):
            self._socket = socket.socket(fileno=os.dup(descriptor))

    @staticmethod
    def _reopened(descriptor: int) -> int:
        try:
            return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY)
        except OSError:  # no /proc, or not ours to open: as it was
            return descriptor

    def write(self, data: bytes) -> bool:
        """False if not all of it could be written at once."""
        try:
            for start in range(0, len(data), PIECE):
                piece = data[start : start + PIECE]
                if self._write(piece) < len(piece):
                    return False
        except OSError:  # EAGAIN: it is full; EPIPE, EIO: nobody reads any more; ENOSPC: the disk is full
            return False
        return True

    def _write(self, piece: bytes) -> int:
        if self._socket is not None:
            return self._socket.send(piece, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
        return os.write(self._descriptor, piece)

    def close(self) -> None:
        if self._socket is not None:
            self._socket.close()
        elif self._descriptor != STANDARD_ERROR:
            os.close(self._descriptor)


class LogHandler(logging.Handler):
    """The log's way out."""

    def __init__(self, output: Output) -> None:
        super().__init__()
        self._output = output
        self.dropped = 0  # lines, since the last one that went out

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record)
        except Exception as error:  # a record that can't be formatted is no reason to fail
            line = f"a log record could not be formatted: {error!r}"
        if self.dropped:
            line = f"{self.dropped} log lines were dropped: nobody read them\n{line}"
        if self._output.write(line.encode(errors="backslashreplace") + b"\n"):
            self.dropped = 0
        else:
            self.dropped += 1


def configure() -> None:
    """Send the log of this process to standard error, from INFO on."""
    root = logging.getLogger()
    root.setLevel(logging.INFO)
    try:
        handler: logging.Handler = LogHandler(Output(STANDARD_ERROR))
    except OSError:  # whoever started this process has closed it
        handler = logging.NullHandler()
    handler.setFormatter(logging.Formatter(FORMAT))
    root.addHandler(handler)
