"""When a client has written the input that its connection reads, and whether the client is still there.

The kernel takes bytes from a client also while this process does not read them: in a pause of the process, in
a backlog, and while flow control holds the input back. Clients time their requests from the last byte that
they wrote. So the earliest time counts at which that may have been.
"""

from __future__ import annotations

import socket
from collections.abc import Sequence

from cloverrouter.clock import Loop
from cloverrouter.proxy.client_call import ClientCall
from cloverrouter.proxy.sockets import has_unread_data, unread_bytes
from cloverrouter.proxy.wake import PauseDetector

# Input that follows within this time was held back by flow control: it may be as old as the input before it.
FLOW_CONTROL_GAP_S = 0.05
MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024  # of a client's socket (tcp(7), tcp_wmem)
MAX_UNSEEN_CLOSE_S = 0.08  # an attempt must not begin 0.1 s after its client has closed the connection
MAX_VISIBLE_BYTES = 32 * 1024  # unread, with which the rest of what a client has sent still arrives


class InputTimes:
    """The times of the input of one connection, in seconds of the loop's clock."""

    def __init__(
        self,
        loop: Loop,
        pause_detector: PauseDetector,
        sock: socket.socket,
        read_limit: int,
        delayed_since_s: float,
    ) -> None:
        """`read_limit`: how much a read takes at most; `delayed_since_s`: since when the connection, and its
        input, may have waited to be accepted, where that exceeds the loop's own delay; 0: it has not."""
        self._loop, self._pause_detector, self._sock = loop, pause_detector, sock
        self.read_limit = read_limit
        self._delayed_since_s = delayed_since_s
        self._opened_s, self._nothing_read = loop.time(), True
        self._read_s = 0.0  # when the last input was read
        self._delayed_read_since_s: float | None = None  # since when it may have waited unread
        self._resumed_s = 0.0  # when reading was last resumed
        self._unread_since_s = 0.0  # since when input may be unread because calls wait; 0: it is not
        self._connected_s = self._opened_s  # when the client was last known not to have closed the connection
        self._drained = True  # the last read has left nothing in the receive buffer
        # Since when the client may have written the last byte of a streamed body, unread; 0: it has not.
        self.upload_written_since_s = 0.0

    # Reading

    def reading_resumed(self) -> None:
        """Record that input is read again."""
        self._resumed_s = self._loop.time()

    def reading_paused(self, is_uploading: bool) -> None:
        """Record that no input is read for now: `is_uploading`, because a host takes a body slowly, or
        because calls wait."""
        if is_uploading:
            self._unread_since_s = 0.0
        elif not (self._unread_since_s and has_unread_data(self._sock)):
            self._unread_since_s = self._loop.time()

    def record_read(self, nbytes: int) -> None:
        """Record that input was read, and since when it may have waited unread, if it may."""
        now_s = self._loop.time()
        drained = nbytes < self.read_limit
        if drained or self._drained:
            self._connected_s = now_s
        self._drained = drained
        if self._unread_since_s:
            if now_s - max(self._read_s, self._resumed_s) > FLOW_CONTROL_GAP_S:
                self._unread_since_s = 0.0
            self._delayed_since_s = self._delayed_since_s or self._unread_since_s
        since_s = self._delayed_since_s or self._pause_detector.waiting_since_s(now_s)
        if self._nothing_read:
            self._nothing_read = False
            since_s = since_s or self._pause_detector.first_data_waiting_since_s(now_s, self._opened_s)
        # If the read filled the buffer, the remaining input may have waited as long.
        self._delayed_since_s = 0.0 if drained else since_s or 0.0
        self._read_s, self._delayed_read_since_s = now_s, since_s

    def set_arrivals(
        self, completed: Sequence[ClientCall], is_last_input: bool, ends_with_request: bool
    ) -> None:
        """Set the arrival time of the calls that were just parsed, if they may have waited.

        A process that resumes after a pause finds the requests that arrived in the meantime, and would
        execute them after their clients gave up. `is_last_input`: all that was read has been parsed;
        `ends_with_request`: nothing of a further request follows.
        """
        since_s = self._delayed_read_since_s
        for call in completed:
            if since_s is None:
                call.arrived_ms = min(call.arrived_ms, self._read_s * 1000)
                continue
            is_last_data = is_last_input and call is completed[-1] and ends_with_request
            # The kernel's age says nothing of data that the client's kernel held back.
            sock = self._sock if is_last_input and not self._unread_since_s else None
            call.set_arrival(self._pause_detector.arrival_bounds_s(self._read_s, since_s, sock, is_last_data))

    # Streamed bodies

    def record_upload_backlog(self, call: ClientCall | None, paused: bool, missing_bytes: int | None) -> None:
        """Note since when the rest of the body of `call` may have been written by its client.

        `paused`: it is not read for now; `missing_bytes`: of it, None if its length was not declared.
        """
        if call is None or not (paused or has_unread_data(self._sock)):
            self.upload_written_since_s = 0.0  # all that has been written has been read
        elif not self.upload_written_since_s and self._may_be_written(missing_bytes):
            self.upload_written_since_s = self._loop.time()

    def _may_be_written(self, missing_bytes: int | None) -> bool:
        """Whether the kernel can hold so much of a body on both sides of the connection."""
        return missing_bytes is None or missing_bytes <= unread_bytes(self._sock) + MAX_SEND_BUFFER_BYTES

    def upload_arrived_ms(self) -> float:
        """Return when the last byte of a streamed body, which has just been read, was written."""
        return (self.upload_written_since_s or self._loop.time()) * 1000

    # The client

    def record_answer(self) -> None:
        """Record that an answer was sent: a closed socket of the client would have replied with RST."""
        self._connected_s = self._loop.time()

    def may_be_disconnected(self) -> bool:
        """Return whether the client may have closed the connection without this process seeing it.

        Its FIN lies behind all that it has sent, and does not arrive while the receive buffer is full.
        """
        since_s = self._loop.time() - self._connected_s
        return since_s > MAX_UNSEEN_CLOSE_S and unread_bytes(self._sock) > MAX_VISIBLE_BYTES
