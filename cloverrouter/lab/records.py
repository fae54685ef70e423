"""Files of results: one run as JSON, many as SQLite. Both carry a version; a later one is told, never guessed
at."""

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
    told = {"lab_run": VERSION, **msgspec.to_builtins(result)}
    Path(path).write_text(json.dumps(told))


def read_run(path: str) -> Result:
    """Raises `FileError` for a file that is missing, no run, or of a later version."""
    try:
        told = json.loads(Path(path).read_text())
        version = told.pop("lab_run")
    except OSError as error:
        raise FileError(path, [Fault("", f"can't be read: {error.strerror}", "give a run's file")]) from error
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        right = "give a file that 'lab run --out FILE' wrote"
        raise FileError(path, [Fault("", "is no run of the lab", right)]) from error
    if not isinstance(version, int) or version > VERSION:
        right = f"this program reads up to version {VERSION}: use a newer one"
        raise FileError(path, [Fault("lab_run", f"is version {version}, a later one", right)])
    try:
        return msgspec.convert(told, Result)
    except msgspec.ValidationError as error:
        raise FileError(path, [Fault("", f"is damaged: {error}", "run it again")]) from error


class Store:
    """The runs of a sweep, each written when it is done: what is there survives an interruption."""

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

    def plan(self, wanted: dict[str, Any] | None) -> dict[str, Any]:
        """The sweep's plan; with `wanted`, kept as such, or compared with what is there."""
        row = self._db.execute("SELECT text FROM plan").fetchone()
        if row is None:
            if wanted is None:
                raise FileError(self.path, [Fault("", "holds no sweep", "start one with 'lab sweep'")])
            with self._db:
                self._db.execute("INSERT INTO plan VALUES (1, ?)", (json.dumps(wanted, sort_keys=True),))
            return wanted
        known: dict[str, Any] = json.loads(row[0])
        if wanted is not None and json.dumps(wanted, sort_keys=True) != row[0]:
            differing = [key for key in known if known[key] != wanted.get(key)]
            text = f"holds another sweep: {', '.join(differing)} differ"
            right = "go on with the same words, or name a new file"
            raise FileError(self.path, [Fault("", text, right)])
        return known

    def done(self) -> set[tuple[int, int]]:
        return {(cell, seed) for cell, seed in self._db.execute("SELECT cell, seed FROM run")}

    def add(self, cell: int, seed: int, result: Result | None, error: str = "") -> None:
        figures = msgspec.json.encode(result.figures).decode() if result is not None else None
        digest, broken = (result.digest, result.broken) if result is not None else ("", "")
        with self._db:
            self._db.execute(
                "INSERT OR REPLACE INTO run VALUES (?, ?, ?, ?, ?, ?)",
                (cell, seed, figures, digest, broken, error),
            )

    def runs(self) -> Iterator[tuple[int, int, Figures | None, str, str]]:
        """Each run: cell, seed, figures, the rule broken, the error."""
        rows = self._db.execute("SELECT cell, seed, figures, broken, error FROM run ORDER BY cell, seed")
        for cell, seed, figures, broken, error in rows:
            yield cell, seed, msgspec.json.decode(figures, type=Figures) if figures else None, broken, error

    def close(self) -> None:
        self._db.close()
