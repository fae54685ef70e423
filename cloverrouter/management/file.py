"""The file of bans that the processes of one proxy share, read and written under a file lock."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from cloverrouter.management.bans import merge_records
from cloverrouter.roster.overlay import Drain
from cloverrouter.roster.store import FileStamp, Store

FOLDER_NAME = "cloverrouter-bans"


@dataclass(frozen=True, slots=True)
class Exchange:
    """What one process and the file have told each other.

    `records`: the latest of each host, from both; `lacking`: those of the process that the file did not
    have; `stored`: whether it has them now; `moved_to`: where an unreadable file was moved, and why.
    """

    records: list[Drain]
    lacking: list[Drain]
    stored: bool
    stamp: FileStamp | None
    moved_to: str | None


class SharedBanFile:
    """The store of bans in a subfolder of `directory`. Its methods raise OSError if it can't be used."""

    def __init__(self, directory: Path) -> None:
        self._folder = directory / FOLDER_NAME
        self._store = Store(self._folder)
        self._last_stamp: FileStamp | None = None  # of the version whose records `_last_records` are
        self._last_records: list[Drain] = []

    @contextmanager
    def _locked(self) -> Iterator[None]:
        descriptor = self._open_lock()
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            yield
        finally:
            os.close(descriptor)

    def _open_lock(self) -> int:
        path, flags = self._folder / "lock", os.O_RDWR | os.O_CREAT
        try:
            return os.open(path, flags, 0o600)
        except FileNotFoundError:
            self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            return os.open(path, flags, 0o600)

    def stamp(self) -> FileStamp | None:
        """The version of the file, which changes with every write; None if there is no file."""
        return self._store.stamp()

    def load(self) -> tuple[list[Drain], str | None]:
        """The stored bans, and the path to which a file that can't be read was moved, or None."""
        with self._locked():
            return self._store.load()

    def exchange(self, own: Sequence[Drain], now_ms: float, write: bool = True) -> Exchange:
        """Read the records of other processes; if `write`, add what the file lacks of `own`.

        `now_ms` is Unix time. The lock covers the read and the write; otherwise, of two processes that write
        at once, one would overwrite the other's change.
        """
        with self._locked():
            stamp, moved_to = self._store.stamp(), None
            if stamp == self._last_stamp:
                found = self._last_records
            else:
                found, moved_to = self._store.load()
            records = merge_records(found, own, now_ms)
            before = {record.server: record for record in found}
            lacking = [record for record in records if before.get(record.server) is not record]
            if lacking and write:
                stamp, found = self._store.save(records), records
            elif moved_to is not None:
                stamp = None
            self._last_stamp, self._last_records = stamp, found
            return Exchange(records, lacking, write or not lacking, stamp, moved_to)
