"""The file of bans that the processes of one proxy share, read and written under a file lock."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from cloverrouter.roster.overlay import Drain
from cloverrouter.roster.store import Store

FOLDER_NAME = "cloverrouter-bans"
FileStamp = tuple[int, int, int]  # identifies a version of the file: mtime in ns, inode, size


class SharedBanFile:
    """The store of bans in a subfolder of `directory`. Raises OSError if the folder can't be used."""

    def __init__(self, directory: Path) -> None:
        self._folder = directory / FOLDER_NAME
        self._folder.mkdir(mode=0o700, exist_ok=True)
        self._store = Store(self._folder)

    @contextmanager
    def _locked(self) -> Iterator[None]:
        descriptor = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            yield
        finally:
            os.close(descriptor)

    def stamp(self) -> FileStamp | None:
        """The version of the file, which changes with every write; None if there is no file."""
        try:
            status = self._store.path.stat()
        except FileNotFoundError:
            return None
        return status.st_mtime_ns, status.st_ino, status.st_size

    def load(self) -> tuple[list[Drain], str | None]:
        """The stored bans, and the path to which a file that can't be read was moved, or None."""
        with self._locked():
            return self._store.load()

    def update(self, edit: Callable[[list[Drain]], list[Drain]]) -> None:
        """Replace the stored bans by the result of `edit`.

        The lock covers the read and the write; otherwise, of two processes that update the file at once, one
        would overwrite the other's change.
        """
        with self._locked():
            self._store.save(edit(self._store.load()[0]))
