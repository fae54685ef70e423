"""Ids of requests that may have run, by which a request that comes again is recognised.

A client that has left may come again with the same id, here or at the other process of an upgrade. Such a
request must not run twice, unless its class is safe to repeat. The ids of all processes of one proxy are in
one file, which each of them maps into memory: a hash table of fixed size without any pointers.
"""

from __future__ import annotations

import fcntl
import logging
import os
import zlib
from contextlib import suppress

from cloverrouter.clock import now_s

MAX_OWN_IDS = 8192
KEEP_S = 60.0  # after that, a client is not expected to come again
WAYS = 8  # slots in which an id may be; the oldest one is overwritten
SETS = 2048
WORD_BYTES = 8
FILE_NAME = "run-ids"
FILE_BYTES = 2 * WORD_BYTES * WAYS * SETS  # a digest and a time for each id
LOCK_ATTEMPTS = 3
SHARED_IDS_DESCRIPTORS = 2  # of the file, and of its mapping
MS = 1000
log = logging.getLogger(__name__)


def digest_of(request_id: bytes) -> int:
    """Return a number from 1 to 2**64 - 1 that is the same in each process."""
    return (zlib.crc32(request_id) << 32 | zlib.crc32(request_id[::-1], 1)) or 1


class SharedIds:
    """The ids of all processes of one proxy, in a file that each of them maps into memory."""

    def __init__(self, directory: str) -> None:
        """Open or create the file in `directory`. Raises OSError or ValueError."""
        import mmap  # imported here since only processes that can be upgraded need it

        self._descriptor = os.open(os.path.join(directory, FILE_NAME), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            if os.fstat(self._descriptor).st_size != FILE_BYTES:
                os.ftruncate(self._descriptor, FILE_BYTES)
            self._words = memoryview(mmap.mmap(self._descriptor, FILE_BYTES)).cast("Q")
        except (OSError, ValueError):
            os.close(self._descriptor)
            raise

    def contains(self, request_id: bytes) -> bool:
        return self._find(digest_of(request_id)) is not None

    def add(self, request_id: bytes) -> bool:
        """Add an id; False if it is there already."""
        digest = digest_of(request_id)
        locked = self._lock()
        try:
            if self._find(digest) is not None:
                return False
            self._insert(digest)
            return True
        finally:
            if locked:
                self._unlock()

    def discard(self, request_id: bytes) -> None:
        slot = self._find(digest_of(request_id))
        if slot is not None:
            self._words[slot] = 0

    def _slots(self, digest: int) -> range:
        first = digest % SETS * 2 * WAYS
        return range(first, first + 2 * WAYS, 2)

    def _find(self, digest: int) -> int | None:
        """Return the slot of an id that was added recently."""
        words = self._words
        for slot in self._slots(digest):
            if words[slot] == digest and words[slot + 1] > (now_s() - KEEP_S) * MS:
                return slot
        return None

    def _insert(self, digest: int) -> None:
        words = self._words
        slots = self._slots(digest)
        slot = next((s for s in slots if not words[s]), None)
        if slot is None:
            slot = min(slots, key=lambda s: words[s + 1])
        words[slot + 1] = int(now_s() * MS)  # before the digest, which makes the slot valid
        words[slot] = digest

    def _lock(self) -> bool:
        """Lock the table against other processes; not waited for, since a stopped process may hold it."""
        for _ in range(LOCK_ATTEMPTS):
            with suppress(OSError):
                fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return True
        return False

    def _unlock(self) -> None:
        with suppress(OSError):
            fcntl.flock(self._descriptor, fcntl.LOCK_UN)


class RunIds:
    """The ids of requests that have been sent to a server within the last `KEEP_S` seconds."""

    def __init__(self) -> None:
        self._added_s: dict[bytes, float] = {}  # by id of this process, the oldest first
        self._shared: SharedIds | None = None

    def share(self, directory: str) -> None:
        """Share the ids with the other processes that use `directory`. If that fails, each process knows its
        own ids only."""
        try:
            self._shared = SharedIds(directory)
        except (OSError, ValueError) as error:
            log.error("ids are not shared with other processes of this proxy: %s", error)

    def contains(self, request_id: bytes) -> bool:
        """Return whether a request with this id may have run."""
        added_s = self._added_s.get(request_id)
        if added_s is not None and now_s() - added_s <= KEEP_S:
            return True
        return self._shared is not None and self._shared.contains(request_id)

    def add(self, request_id: bytes) -> bool:
        """Add the id of a request that is about to be sent; False if it is there already."""
        if self.contains(request_id) or (self._shared is not None and not self._shared.add(request_id)):
            return False
        self._added_s.pop(request_id, None)
        if len(self._added_s) >= MAX_OWN_IDS:
            del self._added_s[next(iter(self._added_s))]
        self._added_s[request_id] = now_s()
        return True

    def discard(self, request_id: bytes) -> None:
        """Remove the id of a request that has not run."""
        self._added_s.pop(request_id, None)
        if self._shared is not None:
            self._shared.discard(request_id)
