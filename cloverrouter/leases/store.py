"""Persistent storage of a voter's tokens: one SQLite file with one number for each task.

The stored number is a ceiling: no token above it has been granted. It is raised by many tokens at once, ahead
of need and in a thread, so that a slow disk blocks nothing else; a grant above it has to wait.

After a start tokens begin above the ceilings and above the wall-clock time of the start, so an old copy of
the file is harmless as long as that clock was not set back as well.
"""

from __future__ import annotations

import sqlite3
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from pathlib import Path

FILE_NAME = "tokens.sqlite"
SCHEMA_VERSION = 1  # stored in `user_version`
MAX_STORED_TASKS = 256  # with more, the ceilings are replaced by one floor for all tasks
LOCK_TIMEOUT_S = 5.0  # for another process to release its lock on the file


class StoreError(OSError):
    """The file can't be used. The message says what to do."""


class Store:
    """The token file in `folder`, locked while it is open. Raises `StoreError` when created.

    `ceilings` and `floor` hold what the file had at the start. `raise_ceiling` may block on the disk, and
    must not be called from two threads at once.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME
        self.floor = 0
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._open()
        except (sqlite3.Error, OSError) as error:
            if hasattr(self, "_database"):
                self._database.close()  # else the lock is kept until garbage collection
            if isinstance(error, StoreError):
                raise
            right = "if it is damaged, move it away and start: tokens then begin above the time of day"
            raise StoreError(f"{self._path}: {error}; {right}") from error
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="tokens")

    def _open(self) -> None:
        # The exclusive lock keeps out a second process, which would grant the same tokens.
        self._database = sqlite3.connect(
            self._path, timeout=LOCK_TIMEOUT_S, isolation_level=None, check_same_thread=False
        )
        self._database.execute("PRAGMA locking_mode = EXCLUSIVE")
        self._database.execute("PRAGMA journal_mode = DELETE")
        self._database.execute("PRAGMA synchronous = EXTRA")  # also syncs the directory entry
        version = self._database.execute("PRAGMA user_version").fetchone()[0]
        if version > SCHEMA_VERSION:
            right = "start the program that wrote it"
            raise StoreError(f"{self._path}: is of a later version, {version}; {right}")
        self._database.execute("BEGIN EXCLUSIVE")
        columns = "(task TEXT PRIMARY KEY, ceiling INTEGER NOT NULL)"
        self._database.execute(f"CREATE TABLE IF NOT EXISTS tokens {columns}")
        self._database.execute(f"PRAGMA user_version = {SCHEMA_VERSION}")
        with closing(self._database.execute("SELECT task, ceiling FROM tokens")) as rows:
            self.ceilings: dict[str, int] = dict(rows)
        if len(self.ceilings) > MAX_STORED_TASKS:
            self.floor = max(self.ceilings.values())
            self.ceilings = {"": self.floor}
            self._database.execute("DELETE FROM tokens")
            self._database.execute("INSERT INTO tokens VALUES ('', ?)", (self.floor,))
        self.floor = max(self.floor, self.ceilings.pop("", 0))
        self._database.execute("COMMIT")

    def raise_ceiling(self, task: str, ceiling: int) -> None:
        """Store a higher ceiling; it is on the disk when this returns. Raises OSError."""
        try:
            self._database.execute("INSERT OR REPLACE INTO tokens VALUES (?, ?)", (task, ceiling))
        except sqlite3.Error as error:
            raise OSError(f"{self._path}: {error}") from error

    def close(self) -> None:
        self.executor.shutdown(wait=True, cancel_futures=True)
        self._database.close()
