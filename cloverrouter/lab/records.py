"""Result files: one run as JSON, the runs of a sweep as SQLite.

Both formats carry a version; a file of a later version is rejected.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from cloverrouter.lab.account import Figures, Result
from cloverrouter.strict import Fault, FileError

VERSION = 1
STORE_VERSION = 1


def write_run(path: str, result: Result) -> None:
    """Write a run to a JSON file that `read_run` reads."""
    document = {"lab_run": VERSION, **msgspec.to_builtins(result)}
    Path(path).write_text(json.dumps(document))


def read_run(path: str) -> Result:
    """Read a run from a JSON file. Raises `FileError` if it is missing, not a run, or of a later version."""
    try:
        document = json.loads(Path(path).read_text())
        version = document.pop("lab_run")
    except OSError as error:
        raise FileError(path, [Fault("", f"can't be read: {error.strerror}", "give a run's file")]) from error
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        right = "give a file that 'lab run --out FILE' wrote"
        raise FileError(path, [Fault("", "is no run of the lab", right)]) from error
    if not isinstance(version, int) or version > VERSION:
        right = f"this program reads up to version {VERSION}: use a newer one"
        raise FileError(path, [Fault("lab_run", f"is version {version}, a later one", right)])
    try:
        return msgspec.convert(document, Result)
    except msgspec.ValidationError as error:
        raise FileError(path, [Fault("", f"is damaged: {error}", "run it again")]) from error


class Store:
    """The runs of a sweep in an SQLite database.

    Each run is committed when it ends, so that an interrupted sweep keeps its completed runs.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            self._db = sqlite3.connect(path)
            version = self._db.execute("PRAGMA user_version").fetchone()[0]
            tables = [row[0] for row in self._db.execute("SELECT name FROM sqlite_master WHERE type='table'")]
        except sqlite3.Error as error:
            right = "name a new file, or one that 'lab sweep' wrote"
            raise FileError(path, [Fault("", f"is no store of runs: {error}", right)]) from error
        if version > STORE_VERSION:
            right = f"this program reads up to version {STORE_VERSION}: use a newer one"
            raise FileError(path, [Fault("", f"is a store of version {version}, a later one", right)])
        if version == 0 and tables:
            raise FileError(path, [Fault("", "is another program's database", "name a new file")])
        if version == 0:
            self._db.executescript(
                f"""
                CREATE TABLE plan (one INTEGER PRIMARY KEY CHECK (one = 1), text TEXT NOT NULL);
                CREATE TABLE run (
                    cell INTEGER NOT NULL, seed INTEGER NOT NULL, figures TEXT, digest TEXT, broken TEXT,
                    error TEXT, PRIMARY KEY (cell, seed)
                );
                PRAGMA user_version = {STORE_VERSION};
                """
            )

    def plan(self, requested: dict[str, Any] | None) -> dict[str, Any]:
        """Return the sweep's plan.

        `requested` is stored if the database has no plan yet. Raises `FileError` if it differs from the
        stored plan, or if there is neither.
        """
        row = self._db.execute("SELECT text FROM plan").fetchone()
        if row is None:
            if requested is None:
                raise FileError(self.path, [Fault("", "holds no sweep", "start one with 'lab sweep'")])
            with self._db:
                self._db.execute("INSERT INTO plan VALUES (1, ?)", (json.dumps(requested, sort_keys=True),))
            return requested
        stored: dict[str, Any] = json.loads(row[0])
        if requested is not None and json.dumps(requested, sort_keys=True) != row[0]:
            differing = [key for key in stored if stored[key] != requested.get(key)]
            text = f"holds another sweep: {', '.join(differing)} differ"
            right = "resume with the same arguments, or name a new file"
            raise FileError(self.path, [Fault("", text, right)])
        return stored

    def done(self) -> set[tuple[int, int]]:
        """The cell and the seed of each stored run."""
        return {(cell, seed) for cell, seed in self._db.execute("SELECT cell, seed FROM run")}

    def add(self, cell: int, seed: int, result: Result | None, error: str = "") -> None:
        """Store one run; `result` is None if it ended with an error."""
        figures = msgspec.json.encode(result.figures).decode() if result is not None else None
        digest, broken = (result.digest, result.broken) if result is not None else ("", "")
        with self._db:
            self._db.execute(
                "INSERT OR REPLACE INTO run VALUES (?, ?, ?, ?, ?, ?)",
                (cell, seed, figures, digest, broken, error),
            )

    def runs(self) -> Iterator[tuple[int, int, Figures | None, str, str]]:
        """Yield each stored run: cell, seed, figures, broken rule (or ""), error (or "")."""
        rows = self._db.execute("SELECT cell, seed, figures, broken, error FROM run ORDER BY cell, seed")
        for cell, seed, figures, broken, error in rows:
            yield cell, seed, msgspec.json.decode(figures, type=Figures) if figures else None, broken, error

    def close(self) -> None:
        """Close the database."""
        self._db.close()
