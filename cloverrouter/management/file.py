"""The bans in a folder that two processes share: the store of drains, read and written under one lock."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from cloverrouter.roster.overlay import Drain
from cloverrouter.roster.store import Store

FOLDER = "cloverrouter-bans"
Stamp = tuple[int, int, int]  # what tells one writing of the file from another: time, inode, size


class Shared:
    """Raises OSError where the folder can't be used."""

    def __init__(self, directory: Path) -> None:
        self._folder = directory / FOLDER
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

    def stamp(self) -> Stamp | None:
        """Changes with every writing; None while there is no file."""
        try:
            found = self._store.path.stat()
        except FileNotFoundError:
            return None
        return found.st_mtime_ns, found.st_ino, found.st_size

    def load(self) -> tuple[list[Drain], str | None]:
        """What is written, and where a file that can't be read was set aside."""
        with self._locked():
            return self._store.load()

    def change(self, edit: Callable[[list[Drain]], list[Drain]]) -> None:
        """Write what `edit` makes of what is written.

        Danger: without the lock, of two processes that change it at once one would undo the other's change.
        """
        with self._locked():
            self._store.save(edit(self._store.load()[0]))
