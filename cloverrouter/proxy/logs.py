"""Write the log to standard error without blocking on its reader.

When a log collector stops reading, the pipe fills (64 KiB on Linux), and the next `write(2)` would block the
whole process and all its clients. Lines that do not fit are dropped; the next line that is written reports
their number.
"""

from __future__ import annotations

import logging
import os
import select
import socket
import stat

STANDARD_ERROR = 2
# Writes of up to PIPE_BUF bytes to a pipe are atomic (pipe(7)): only longer lines can be truncated.
CHUNK_BYTES = select.PIPE_BUF
FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"


class Output:
    """A descriptor with non-blocking writes."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._socket: socket.socket | None = None
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
            # O_NONBLOCK is a flag of the open file description, which other processes share: it is reopened.
            # A regular file is not: it would be overwritten from its start, and disk writes block anyway.
            self._descriptor = self._reopen(descriptor)
        elif stat.S_ISSOCK(mode):
            self._socket = socket.socket(fileno=os.dup(descriptor))

    @staticmethod
    def _reopen(descriptor: int) -> int:
        try:
            return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY)
        except OSError:  # no /proc, or no permission: writes may block
            return descriptor

    def write(self, data: bytes) -> bool:
        """Write `data`; return False if not all of it could be written without blocking."""
        try:
            for start in range(0, len(data), CHUNK_BYTES):
                chunk = data[start : start + CHUNK_BYTES]
                if self._write(chunk) < len(chunk):
                    return False
        except OSError:  # EAGAIN: buffer full; EPIPE, EIO: the reader has closed it; ENOSPC: disk full
            return False
        return True

    def _write(self, chunk: bytes) -> int:
        if self._socket is not None:
            return self._socket.send(chunk, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
        return os.write(self._descriptor, chunk)

    def close(self) -> None:
        if self._socket is not None:
            self._socket.close()
        elif self._descriptor != STANDARD_ERROR:
            os.close(self._descriptor)


class LogHandler(logging.Handler):
    """Writes log records to an `Output` and counts those that it drops."""

    def __init__(self, output: Output) -> None:
        super().__init__()
        self._output = output
        self.dropped = 0  # lines since the last one that was written

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record)
        except Exception as error:  # a malformed record must not make its caller fail
            line = f"a log record could not be formatted: {error!r}"
        if self.dropped:
            line = f"{self.dropped} log lines were dropped: nobody read them\n{line}"
        if self._output.write(line.encode(errors="backslashreplace") + b"\n"):
            self.dropped = 0
        else:
            self.dropped += 1


def configure() -> None:
    """Send this process's log records of level INFO and above to standard error."""
    root = logging.getLogger()
    root.setLevel(logging.INFO)
    try:
        handler: logging.Handler = LogHandler(Output(STANDARD_ERROR))
    except OSError:  # the parent process has closed standard error
        handler = logging.NullHandler()
    handler.setFormatter(logging.Formatter(FORMAT))
    root.addHandler(handler)
