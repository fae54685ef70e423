"""Answer a connection's first request without the event loop, where the answer is known before it is read.

A refusal that takes the ordinary way costs several steps of the loop, and its connection a descriptor
meanwhile. In an overload of this process there is no time for that: what has come is read as the connection
is accepted.
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
    """A transport that writes at once, and reads nothing by itself."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._socket = sock
        self.ending = False  # nothing more is to be written
        self.unsent = b""  # what the kernel has not taken

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Hand an answer to the kernel, which may take a part of it at a time (send(2)). An error is the
        client's end: it has reset the connection, and nothing can be said to it any more."""
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


def answered_at_once(connection: ClientConnection, sock: socket.socket, buffer: memoryview) -> bool:
    """Read what is there and let `connection` answer it.

    False if it has to go on in the loop: nothing has come yet, or not all of a request, the kernel does not
    take all of the answer, or something lies behind the request that closing would answer with RST.
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
        with suppress(OSError):  # ENOTCONN: its client has reset it meanwhile
            sock.shutdown(socket.SHUT_WR)
        return False
    connection.connection_lost(None)
    close(sock)
    return True
