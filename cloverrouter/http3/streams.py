"""The state of the requests of one HTTP/3 connection, including a drain. Pure logic, no I/O.

A request is *accepted* once its stream's FIN has been read and it is valid: from then on it must get one
final answer. It is *withdrawn* by RESET_STREAM or STOP_SENDING on its stream, by the connection's end, or if
the peer becomes unresponsive; before FIN no part of it is forwarded. It is *answered* once the last byte of
its answer is handed to the connection. Times are seconds of the caller's monotonic clock, sizes are bytes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from cloverrouter.http3.fields import Request
from cloverrouter.proxy.keeping import BufferBudget
from cloverrouter.proxy.messages import STREAMING_THRESHOLD_BYTES

MAX_DISPATCHED = 32  # requests of one connection that the handler processes at once; others are queued
# Of bodies that a connection may buffer; the rest counts against the shared budget.
UNBUDGETED_BYTES = 2 * STREAMING_THRESHOLD_BYTES
# From a stream's first byte to its last, as on HTTP/1.1; plus the time of its body at the minimum rate.
UNFINISHED_S = 2.3
MIN_BODY_BYTES_PER_S = 16 * 1024
MAX_BODY_GAP_S = 2.3  # between two pieces of a body
MAX_GOAWAY_ID = 2**62 - 4  # as the id in GOAWAY: announces a drain, rejects nothing yet (RFC 9114, 5.2)
STREAM_ID_STEP = 4  # between the ids of a client's request streams (RFC 9000, 2.1)


@dataclass(slots=True)
class RequestStream:
    """A request that has not been received completely."""

    id: int
    opened_s: float
    progress_s: float
    request: Request | None = None  # once its head has been received
    body: bytearray = field(default_factory=bytearray)


class RequestStreams:
    """The requests of one connection. `budget`: for the bodies of all connections of either protocol."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0
        self.incomplete: dict[int, RequestStream] = {}  # not received completely
        self._buffered_bytes: dict[int, int] = {}  # bytes of bodies, of all streams that are not answered
        self._queued: deque[int] = deque()  # accepted, and not dispatched to the handler yet
        self._dispatched: set[int] = set()
        self._next_id = 0  # above all ids that have been opened
        self._skipped: set[int] = set()  # below that, and not opened: they may arrive out of order
        self._goaway_id = MAX_GOAWAY_ID  # the id in GOAWAY: streams from here on are rejected

    # The lifecycle of a stream

    def open(self, stream_id: int, now_s: float) -> RequestStream | None:
        """Open a stream on its first bytes. None: it is rejected, no part of it was or will be processed."""
        if stream_id >= self._goaway_id:
            return None
        self._skipped.update(range(self._next_id, stream_id, STREAM_ID_STEP))
        self._skipped.discard(stream_id)
        self._next_id = max(self._next_id, stream_id + STREAM_ID_STEP)
        stream = self.incomplete[stream_id] = RequestStream(stream_id, now_s, now_s)
        return stream

    def was_opened(self, stream_id: int) -> bool:
        """Whether the stream has been opened, even if it has ended since."""
        return stream_id < self._next_id and stream_id not in self._skipped

    def add_body(self, stream: RequestStream, data: bytes, now_s: float) -> int:
        """Add a piece of a body. Returns the status of the error to answer; 0 for none."""
        request = stream.request
        assert request is not None
        size = len(stream.body) + len(data)
        if request.length is not None and size > request.length:
            return 400  # it would be ambiguous whether the declared or the actual length counts
        body_length = max(size, request.length or 0)
        if body_length > self._budget.limit_bytes // 2 and body_length > STREAMING_THRESHOLD_BYTES:
            return 413  # one body may use at most half of the budget
        if not self._reserve(stream.id, body_length):
            return 503  # other bodies use the budget at the moment
        stream.body += data
        stream.progress_s = now_s
        return 0

    def _reserve(self, stream_id: int, size: int) -> bool:
        """Reserve `size` bytes for a body. The limit holds for all streams of the connection together."""
        buffered = sum(self._buffered_bytes.values()) - self._buffered_bytes.get(stream_id, 0) + size
        budgeted = max(0, buffered - UNBUDGETED_BYTES)
        if (
            budgeted > self._reserved_bytes
            and self._budget.reserved_bytes - self._reserved_bytes + budgeted > self._budget.limit_bytes
        ):
            return False
        self._buffered_bytes[stream_id] = size
        self._reserved_bytes = self._budget.reserve(budgeted, self._reserved_bytes)
        return True

    def accept(self, stream: RequestStream) -> None:
        """Accept a request: it has been received completely and is valid."""
        del self.incomplete[stream.id]
        self._queued.append(stream.id)

    def next_request(self) -> int | None:
        """Return the next request to dispatch to the handler, if the limit allows one."""
        if not self._queued or len(self._dispatched) >= MAX_DISPATCHED:
            return None
        stream_id = self._queued.popleft()
        self._dispatched.add(stream_id)
        return stream_id

    def release(self, stream_id: int) -> None:
        """Release a request that was answered, withdrawn or rejected."""
        self.incomplete.pop(stream_id, None)
        self._dispatched.discard(stream_id)
        if stream_id in self._queued:
            self._queued.remove(stream_id)
        if self._buffered_bytes.pop(stream_id, 0):
            budgeted = max(0, sum(self._buffered_bytes.values()) - UNBUDGETED_BYTES)
            self._reserved_bytes = self._budget.reserve(budgeted, self._reserved_bytes)

    def release_all(self) -> None:
        """Release all requests: the connection has ended."""
        self.incomplete.clear()
        self._queued.clear()
        self._dispatched.clear()
        self._buffered_bytes.clear()
        self._reserved_bytes = self._budget.reserve(0, self._reserved_bytes)

    # The state of the connection

    @property
    def has_unanswered(self) -> bool:
        """Whether a request was accepted and not answered."""
        return bool(self._queued) or bool(self._dispatched)

    @property
    def busy(self) -> bool:
        """Whether any request is incomplete or not answered."""
        return self.has_unanswered or bool(self.incomplete)

    def overdue(self, now_s: float) -> Iterator[RequestStream]:
        """Yield streams that arrive too slowly: without a limit they would hold memory indefinitely."""
        for stream in list(self.incomplete.values()):
            timeout_s = UNFINISHED_S + len(stream.body) / MIN_BODY_BYTES_PER_S
            paused = stream.request is not None and now_s - stream.progress_s > MAX_BODY_GAP_S
            if now_s - stream.opened_s > timeout_s or paused:
                yield stream

    def goaway_announcement(self) -> int:
        """Return the id for the GOAWAY that announces a drain: requests in transit are still served."""
        return self._goaway_id

    def start_drain(self) -> int:
        """Start the drain and return the id for GOAWAY: streams opened so far are served, all from this id
        on are rejected and never run (RFC 9114, 5.2)."""
        self._goaway_id = self._next_id  # streams at or above it are no longer opened, so `_next_id` stays
        return self._goaway_id

    @property
    def draining(self) -> bool:
        """Whether the connection drains."""
        return self._goaway_id != MAX_GOAWAY_ID
