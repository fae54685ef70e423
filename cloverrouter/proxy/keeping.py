"""Budget for buffering request bodies, and the rule for when a body is streamed instead.

Rules only, no I/O. A buffered body can be sent again in a retry; a streamed one can't. The first 64 KiB of
each body are always buffered; what exceeds that comes out of one budget shared by all connections.
"""

from __future__ import annotations

from cloverrouter.proxy.messages import STREAMING_THRESHOLD_BYTES

MAX_BUFFERED_BODY_BYTES = 256 * 1024  # per body; a larger one is streamed from its 64th KiB on


class BufferBudget:
    """`limit_bytes`: how many bytes of bodies over 64 KiB may be buffered at once."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def may_buffer(self, length: int | None, received: int, reserved: int) -> bool:
        """Return whether a body may stay buffered: `received` bytes have arrived, `reserved` are reserved.

        `length`: the declared length of the body; None if the client declared none. A body that is too long
        as a whole is not buffered at all: it would use up budget for bodies that fit, and be streamed in the
        end.
        """
        if received <= STREAMING_THRESHOLD_BYTES and (length is None or length <= STREAMING_THRESHOLD_BYTES):
            return True
        whole = received if length is None else max(length, received)
        return whole <= MAX_BUFFERED_BODY_BYTES and self.reserved_bytes - reserved + whole <= self.limit_bytes

    def reserve(self, size: int, reserved: int) -> int:
        """Reserve `size` bytes in place of `reserved`, and return the new reservation."""
        self.reserved_bytes += size - reserved
        return size
