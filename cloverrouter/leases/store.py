"""Where a voter keeps its tokens over restarts: one SQLite file, with one figure for each task.

What is stored is a ceiling: no token above it has been promised. It is raised by many at once, ahead of need
and in a thread, so that a disk that is slow stands in nobody's way; a promise above it is not given yet.

After a start tokens begin above the ceilings, and above the start's time of day: so an old copy of the file
does no harm as long as that clock was not set back as well.
"""

from __future__ import annotations

import sqlite3
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from pathlib import Path

FILE = "tokens.sqlite"
VERSION = 1  # of its form, kept in `user_version`
MOST_KEPT = 256  # tasks; past it their ceilings become one floor for all
SLOW_S = 5.0  # for another process to let go of the file


class StoreError(OSError):
    """The file can't be used. Says what would be right."""


class Store:
    """Raises `StoreError` when made. `ceilings` and `floor` are what it found; `raise_to` may take as long as
    the disk does, and is not called from two threads at once."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE
        self.floor = 0
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._open()
        except (sqlite3.Error, OSError) as error:
            if hasattr(self, "_base"):
                self._base.close()  # or its lock would stay until it is collected
            if isinstance(error, StoreError):
                raise
            right = "if it is damaged, move it away and start: tokens then begin above the time of day"
            raise StoreError(f"{self._path}: {error}; {right}") from error
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="tokens")

    def _open(self) -> None:
        # Danger: a second process on the same file would promise the same tokens.
        self._base = sqlite3.connect(
            self._path, timeout=SLOW_S, isolation_level=None, check_same_thread=False
        )
        self._base.execute("PRAGMA locking_mode = EXCLUSIVE")
        self._base.execute("PRAGMA journal_mode = DELETE")
        self._base.execute("PRAGMA synchronous = EXTRA")  # on the disk, its folder's entry, too
        version = self._base.execute("PRAGMA user_version").fetchone()[0]
        if version > VERSION:
            right = "start the program that wrote it"
            raise StoreError(f"{self._path}: is of a later version, {version}; {right}")
        self._base.execute("BEGIN EXCLUSIVE")
        form = "(task TEXT PRIMARY KEY, ceiling INTEGER NOT NULL)"
        self._base.execute(f"CREATE TABLE IF NOT EXISTS tokens {form}")
        self._base.execute(f"PRAGMA user_version = {VERSION}")
        with closing(self._base.execute("SELECT task, ceiling FROM tokens")) as rows:
            self.ceilings: dict[str, int] = dict(rows)
        if len(self.ceilings) > MOST_KEPT:
            self.floor = max(self.ceilings.values())
            self.ceilings = {"": self.floor}
            self._base.execute("DELETE FROM tokens")
            self._base.execute("INSERT INTO tokens VALUES ('', ?)", (self.floor,))
        self.floor = max(self.floor, self.ceilings.pop("", 0))
        self._base.execute("COMMIT")

    def raise_to(self, task: str, ceiling: int) -> None:
        """On the disk when this returns. Raises OSError."""
        try:
            self._base.execute("INSERT OR REPLACE INTO tokens VALUES (?, ?)", (task, ceiling))
        except sqlite3.Error as error:
            raise OSError(f"{self._path}: {error}") from error

    def close(self) -> None:
        self.thread.shutdown(wait=True, cancel_futures=True)
        self._base.close()
