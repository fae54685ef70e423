"""One instance of discovery at scale, without I/O: a versioned server list and a queue of calls.

An answer is encoded once for all calls that start from the same version. Times are in seconds.

`registry.Registry` emulates discovery and its faults for a few proxies. This module serves thousands of
proxies: versions are compacted, an answer is bytes, and each answer takes service time.
"""

from __future__ import annotations

import heapq
import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

Entry = dict[str, Any]  # as discovery encodes it; `state` is "left" only in lists of changes
MAX_CATCH_UP_S = 0.05  # service time that an instance may make up for after a late timer
# Calls that arrive within the same interval of this length are served in random order. In strict order of
# arrival each proxy would keep its place in every round, and the few real proxies among thousands would be
# early every time, or late, depending on a single draw. Well below a proxy's call timeout.
ARRIVAL_BUCKET_S = 0.25


def entry_checksum(name: str, state: str, weight: float, started_ms: int, address: str) -> int:
    """Checksum of one entry. Two lists are taken as equal if the XOR of their entries' checksums is equal."""
    return zlib.crc32(f"{name}|{state}|{weight:g}|{started_ms}|{address}".encode())


def checksum_of_entry(entry: Entry) -> int:
    """Checksum of an entry as discovery encodes it."""
    return entry_checksum(entry["id"], entry["state"], entry["weight"], entry["started_ms"], entry["addr"])


@dataclass(frozen=True, slots=True)
class Answer:
    """An encoded answer: the full list, or the changes since the version in the call."""

    version: int
    full: bool
    body: bytes


class Catalog:
    """The server list, and its changes since each version that is not compacted."""

    def __init__(self, entries: Iterable[Entry], version: int) -> None:
        self.version = self.compacted_version = version  # changes up to the latter are discarded
        self.entries = {entry["id"]: entry for entry in entries}
        self._encoded_entries = {name: json.dumps(entry) for name, entry in self.entries.items()}
        self._changed_versions: dict[str, int] = {}  # version of each entry's last change, in order
        self._answers: dict[int | None, Answer] = {}  # by the version in the call

    def change(self, version: int, entries: Iterable[Entry]) -> None:
        """Apply changed entries as a new version. Raises ValueError for a version that is not newer."""
        if version <= self.version:
            raise ValueError(f"version {version} after {self.version}; right is a higher one")
        self.version = version
        self._answers.clear()
        for entry in entries:
            name = entry["id"]
            self._changed_versions.pop(name, None)
            self._changed_versions[name] = version
            self.entries[name], self._encoded_entries[name] = entry, json.dumps(entry)

    def compact(self) -> None:
        """Discard the history of changes: a call from an earlier version gets the full list."""
        self.compacted_version = self.version
        self._changed_versions.clear()
        self._answers.clear()
        for name in [name for name, entry in self.entries.items() if entry["state"] == "left"]:
            del self.entries[name], self._encoded_entries[name]

    def since(self, version: int | None) -> Answer:
        """The answer to a call from `version`; the full list if it is None, compacted or unknown."""
        answer = self._answers.get(version)
        if answer is None:
            answer = self._answers[version] = self._encode_answer(version)
        return answer

    def _encode_answer(self, version: int | None) -> Answer:
        full = version is None or not self.compacted_version <= version <= self.version
        if full:
            names = [name for name, entry in self.entries.items() if entry["state"] != "left"]
        else:
            names = []
            for name in reversed(self._changed_versions):
                if self._changed_versions[name] <= (version or 0):
                    break
                names.append(name)
        servers = ",".join(map(self._encoded_entries.__getitem__, names))
        text = f'{{"version":{self.version},"full":{json.dumps(full)},"servers":[{servers}]}}'
        return Answer(self.version, full, text.encode())

    def digest(self) -> int:
        """XOR of the checksums of all entries that are listed."""
        checksum = 0
        for entry in self.entries.values():
            if entry["state"] != "left":
                checksum ^= checksum_of_entry(entry)
        return checksum


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that is not answered yet."""

    index: int  # of the proxy
    since: int | None
    arrived_s: float
    due_s: float  # end of the long poll
    disconnected: bool = False  # the connection has ended
    ready: bool = False


class CallQueue:
    """Queue of calls. A call is ready when there are changes for it or its long poll ends.

    Ready calls are served in order of arrival, within `ARRIVAL_BUCKET_S` in random order. Each answer takes a
    service time of 1 / `calls_per_s` plus its size / `bytes_per_s`.
    """

    def __init__(self, catalog: Catalog, calls_per_s: float, bytes_per_s: float, random: Random) -> None:
        self.catalog, self._random = catalog, random
        self._call_s, self._byte_s = 1 / calls_per_s, 1 / bytes_per_s
        self._waiting: dict[PendingCall, None] = {}
        self._due: list[tuple[float, int, PendingCall]] = []
        self._ready: list[tuple[int, float, int, PendingCall]] = []
        self._sequence = 0
        self._idle_from_s = float("-inf")  # end of the previous answer's service time

    def add(self, call: PendingCall) -> None:
        """Add a call: ready at once if its version is not the current one or it does not wait."""
        self._sequence += 1
        if call.since != self.catalog.version or call.due_s <= call.arrived_s:
            self._make_ready(call)
        else:
            self._waiting[call] = None
            heapq.heappush(self._due, (call.due_s, self._sequence, call))

    def _make_ready(self, call: PendingCall) -> None:
        self._sequence += 1
        call.ready = True
        bucket = int(call.arrived_s / ARRIVAL_BUCKET_S)
        heapq.heappush(self._ready, (bucket, self._random.random(), self._sequence, call))

    def cancel(self, call: PendingCall) -> None:
        """Drop a call whose connection has ended."""
        call.disconnected = True
        self._waiting.pop(call, None)

    def catalog_changed(self) -> None:
        """Make all waiting calls ready after a change of the catalog."""
        waiting, self._waiting = self._waiting, {}
        for call in waiting:
            self._make_ready(call)

    def clear(self) -> None:
        """Drop all calls."""
        self._waiting.clear()
        self._due.clear()
        self._ready.clear()

    @property
    def queue(self) -> int:
        """Number of ready calls."""
        return len(self._ready)

    def serve(self, now_s: float) -> list[tuple[PendingCall, Answer]]:
        """Return the calls that are answered by `now_s`, with their answers."""
        while self._due and self._due[0][0] <= now_s:
            call = heapq.heappop(self._due)[2]
            if not call.ready and not call.disconnected:
                self._waiting.pop(call, None)
                self._make_ready(call)
        answered = []
        self._idle_from_s = max(self._idle_from_s, now_s - MAX_CATCH_UP_S)
        while self._ready and self._idle_from_s <= now_s:
            call = heapq.heappop(self._ready)[3]
            if call.disconnected:
                continue
            answer = self.catalog.since(call.since)
            self._idle_from_s += self._call_s + len(answer.body) * self._byte_s
            answered.append((call, answer))
        if not self._ready:
            self._idle_from_s = max(self._idle_from_s, now_s)
        return answered

    def next_due_s(self) -> float:
        """When `serve` has something to do; infinite until the catalog changes or a call is added."""
        if self._ready:
            return self._idle_from_s
        return self._due[0][0] if self._due else float("inf")
