"""Answer the first request of a connection without the event loop, if the answer is known in advance.

An ordinary refusal takes several iterations of the event loop, and its connection occupies a descriptor for
that time. An overloaded process can't afford this, so it reads what has arrived right after accept(2).
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from cloverrouter.proxy.sockets import close, has_unread_data, peer_has_closed

if TYPE_CHECKING:
    from cloverrouter.proxy.client_connection import ClientConnection


class DirectTransport(asyncio.Transport):
    """A transport that writes to the socket immediately and never reads."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._socket = sock
        self.ending = False  # nothing more will be written
        self.unsent = b""  # bytes that did not fit in the socket's send buffer

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write an answer to the socket; send(2) may accept only part of it at a time. An error means that
        the client has reset the connection, so the rest of the answer is dropped."""
        rest = memoryview(bytes(data))
        try:
            while rest and not self.unsent:
                rest = rest[self._socket.send(rest) :]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.ending = True
            return
        self.unsent += bytes(rest)

    def write_eof(self) -> None:
        self.ending = True

    def close(self) -> None:
        self.ending = True

    def abort(self) -> None:
        self.ending = True

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


def answer_directly(connection: ClientConnection, sock: socket.socket, buffer: memoryview) -> bool:
    """Read what has arrived and let `connection` answer it; return whether the connection is finished.

    False if it has to continue in the event loop: no complete request has arrived, the send buffer is full
    before the whole answer is written, or unread data follows the request, which close(2) would answer with
    RST.
    """
    transport = DirectTransport(sock)
    try:
        count = sock.recv_into(buffer)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        count = 0
    connection.begin_direct(transport)
    if count:
        connection.buffer_updated(count)
    else:
        connection.eof_received()
    if count and (transport.unsent or not transport.ending):
        return False
    if count and has_unread_data(sock) and not peer_has_closed(sock):
        with suppress(OSError):  # ENOTCONN: the client has reset the connection in the meantime
            sock.shutdown(socket.SHUT_WR)
        return False
    connection.connection_lost(None)
    close(sock)
    return True
