"""Socket operations that handle the failures a peer can cause.

A peer may close or reset its connection between any two system calls of this process. Each function here
returns a result in that case instead of raising.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import select
import socket
import sys
from contextlib import suppress

# `struct linger`, two C ints: l_onoff = 1, l_linger = 0. Built without the module `struct` to save memory.
LINGER_ZERO = (1).to_bytes(4, sys.byteorder) + bytes(4)
FIONREAD = 0x541B  # of ioctl(2), on Linux (asm-generic/ioctls.h)

# Errors of accept(2) that concern only the connection to be accepted: it has failed, and the next one should
# be tried (accept(2), "Error handling"). EPERM: firewall rules forbid the connection.
CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPERM,
        errno.ENETDOWN,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
    }
)


def half_close(transport: asyncio.Transport) -> bool:
    """Send FIN after the written data and keep reading; return False if the peer has closed the connection.

    shutdown(2) fails with ENOTCONN once the peer's RST has arrived. If the peer has closed its socket, the
    bytes written just before provoke that RST, on loopback within the same call. asyncio's `write_eof` does
    not catch the error.
    """
    try:
        transport.write_eof()
    except OSError:
        transport.abort()
        return False
    return True


def reset(transport: asyncio.Transport, sock: socket.socket) -> None:
    """Close a connection with RST (socket(7), SO_LINGER), so that the peer detects a truncated message."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    transport.abort()


def close(sock: socket.socket) -> None:
    """Close a socket, ignoring errors: the descriptor is released even if close(2) fails."""
    with suppress(OSError):
        sock.close()


def unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes wait to be read; 0 where the system does not tell."""
    try:
        count = fcntl.ioctl(sock, FIONREAD, bytes(4))
    except (OSError, ValueError):  # ValueError: the socket is closed
        return 0
    return int.from_bytes(count, sys.byteorder)


def has_unread_data(sock: socket.socket) -> bool:
    """Whether unread data, end of stream or an error is pending on the socket."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    return True


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has shut down or closed its side, even with unread data pending.

    False where the system has no POLLRDHUP, or poll(2) fails (ENOMEM): a peer that may still be connected is
    owed an answer.
    """
    poller = select.poll()
    try:
        poller.register(sock, getattr(select, "POLLRDHUP", 0))
        return bool(poller.poll(0))
    except OSError:
        return False
    except ValueError:  # the socket is closed: its descriptor is -1
        return True
