"""The requests of one HTTP/3 connection: what is taken, gone, answered; what a drain does. Rules, no I/O.

A request is *taken* when its stream's end (FIN) has been read and it was found valid: from there on it is
owed one final answer. It is *withdrawn* by RESET_STREAM or STOP_SENDING on its stream, by the connection's
end, or by silence of the path; before FIN nothing of it has gone anywhere. It is *answered* when the last
byte of its answer is handed to the connection. Times are seconds of the caller's monotonic clock, sizes are
bytes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from cloverrouter.http3.fields import Request
from cloverrouter.proxy.keeping import Keeping
from cloverrouter.proxy.messages import MAX_BODY

MOST_HANDED = 32  # requests of one connection that are with the handler; others wait their turn
FREE_BYTES = 2 * MAX_BODY  # of bodies that a connection may hold; the rest is out of the budget for all
UNFINISHED_S = 2.3  # from a stream's first byte to its last, as on HTTP/1.1
SLOWEST_BODY = 16 * 1024  # a second
PAUSE_S = 2.3
FROM_ANY = 2**62 - 4  # as GOAWAY's id: nothing is turned away yet (RFC 9114, 5.2)
STEP = 4  # between the ids of a client's request streams (RFC 9000, 2.1)


@dataclass(slots=True)
class Stream:
    """A request on its way in."""

    id: int
    since_s: float
    moved_s: float
    request: Request | None = None  # once its head is there
    body: bytearray = field(default_factory=bytearray)


class Streams:
    """`keeping`: the budget for bodies of all connections, whatever their protocol."""

    def __init__(self, keeping: Keeping) -> None:
        self._keeping = keeping
        self._claimed = 0
        self.coming: dict[int, Stream] = {}  # not whole yet
        self._held: dict[int, int] = {}  # bytes of bodies, of all streams that are not answered
        self._waiting: deque[int] = deque()  # taken, and not with the handler yet
        self._handed: set[int] = set()
        self._next = 0  # above all ids that have been seen
        self._skipped: set[int] = set()  # below that, and not seen: they may come late
        self._bound = FROM_ANY  # what GOAWAY said: from here on streams are turned away

    # A stream's life

    def opened(self, stream_id: int, now_s: float) -> Stream | None:
        """The first of a stream has come. None: it is turned away, nothing of it was or will be looked at."""
        if stream_id >= self._bound:
            return None
        self._skipped.update(range(self._next, stream_id, STEP))
        self._skipped.discard(stream_id)
        self._next = max(self._next, stream_id + STEP)
        stream = self.coming[stream_id] = Stream(stream_id, now_s, now_s)
        return stream

    def seen(self, stream_id: int) -> bool:
        """Has it been opened, whatever became of it?"""
        return stream_id < self._next and stream_id not in self._skipped

    def more(self, stream: Stream, data: bytes, now_s: float) -> int:
        """Some of a body has come. The status of the error that this earns; 0 for none."""
        request = stream.request
        assert request is not None
        size = len(stream.body) + len(data)
        if request.length is not None and size > request.length:
            return 400  # danger: which length counts, the one said or the one sent?
        whole = max(size, request.length or 0)
        if whole > self._keeping.budget // 2 and whole > MAX_BODY:
            return 413  # it can never be held
        if not self._hold(stream.id, whole):
            return 503  # not now: the others' bodies take up the room
        stream.body += data
        stream.moved_s = now_s
        return 0

    def _hold(self, stream_id: int, size: int) -> bool:
        """Room for `size` bytes of a body. Danger: a hundred streams would hold as many bodies."""
        held = sum(self._held.values()) - self._held.get(stream_id, 0) + size
        over = max(0, held - FREE_BYTES)
        if over > self._claimed and self._keeping.held - self._claimed + over > self._keeping.budget:
            return False
        self._held[stream_id] = size
        self._claimed = self._keeping.claim(over, self._claimed)
        return True

    def taken(self, stream: Stream) -> None:
        """Its end has been read, and it is valid."""
        del self.coming[stream.id]
        self._waiting.append(stream.id)

    def next(self) -> int | None:
        """The request that goes to the handler now, if one may."""
        if not self._waiting or len(self._handed) >= MOST_HANDED:
            return None
        stream_id = self._waiting.popleft()
        self._handed.add(stream_id)
        return stream_id

    def over(self, stream_id: int) -> None:
        """It is answered, withdrawn or turned back: nothing is owed to it any more."""
        self.coming.pop(stream_id, None)
        self._handed.discard(stream_id)
        if stream_id in self._waiting:
            self._waiting.remove(stream_id)
        if self._held.pop(stream_id, 0):
            over = max(0, sum(self._held.values()) - FREE_BYTES)
            self._claimed = self._keeping.claim(over, self._claimed)

    def ended(self) -> None:
        """The connection has ended, and with it all that came by it."""
        self.coming.clear()
        self._waiting.clear()
        self._handed.clear()
        self._held.clear()
        self._claimed = self._keeping.claim(0, self._claimed)

    # The connection's

    @property
    def owed(self) -> bool:
        """Is a request taken and not answered?"""
        return bool(self._waiting) or bool(self._handed)

    @property
    def busy(self) -> bool:
        return self.owed or bool(self.coming)

    def late(self, now_s: float) -> Iterator[Stream]:
        """Streams that do not come to their end. Danger: each holds memory for as long as it likes."""
        for stream in list(self.coming.values()):
            most_s = UNFINISHED_S + len(stream.body) / SLOWEST_BODY
            paused = stream.request is not None and now_s - stream.moved_s > PAUSE_S
            if now_s - stream.since_s > most_s or paused:
                yield stream

    def announce(self) -> int:
        """GOAWAY's id when the proxy is about to leave: what is on its way still counts."""
        return self._bound

    def leave(self) -> int:
        """GOAWAY's id from here on: what has been seen is served, all above never ran (RFC 9114, 5.2)."""
        self._bound = self._next  # which rises no more: what is at it or above is turned away
        return self._bound

    @property
    def leaving(self) -> bool:
        return self._bound != FROM_ANY
