"""System calls on connections whose failure is the peer's doing, and expected.

A peer may close or reset its connection between any two calls of ours. Each call here has an answer for that
case instead of an error.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import sys
from contextlib import suppress

# `struct linger`, two of C's int: on, for no time. Made without the module `struct`, which takes memory.
LINGERS_NOT = (1).to_bytes(4, sys.byteorder) + bytes(4)

# Errors of accept(2) that belong to the connection which was to be accepted: it has ended, and the next one
# is to be tried ("Error handling" there). EPERM: a firewall forbids it.
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
    """Send FIN behind what was written, and go on reading; False if the peer has ended the connection.

    shutdown(2) fails with ENOTCONN once the peer's RST is there. Where the peer has closed its socket, RST
    answers the bytes that are written just before, on loopback within that very call. asyncio's `write_eof`
    lets the error through.
    """
    try:
        transport.write_eof()
    except OSError:
        transport.abort()
        return False
    return True


def reset(transport: asyncio.Transport, sock: socket.socket) -> None:
    """End a connection with RST (socket(7), SO_LINGER): its peer can tell that something is missing."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGERS_NOT)
    transport.abort()


def close(sock: socket.socket) -> None:
    """Close a socket. Its descriptor is free whatever close(2) says, also where that is an error."""
    with suppress(OSError):
        sock.close()


def has_unread_data(sock: socket.socket) -> bool:
    """Has the peer sent something, or its end, that has not been read yet?"""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    return True


def peer_has_closed(sock: socket.socket) -> bool:
    """Has the peer ended its sending, or the connection, whatever lies here unread before that? False where
    the system does not tell, or can't just now (poll(2): ENOMEM): who is there is owed an answer."""
    poller = select.poll()
    try:
        poller.register(sock, getattr(select, "POLLRDHUP", 0))
        return bool(poller.poll(0))
    except OSError:
        return False
    except ValueError:  # it is closed, and has no descriptor any more
        return True
