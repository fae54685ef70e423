"""Persistence of the drains: one file, replaced atomically.

Layout: one line `cloverrouter-drains 1 LENGTH CRC32`, then LENGTH bytes of JSON (UTF-8). LENGTH counts
bytes, CRC32 is of these bytes, in eight hexadecimal digits. A file that deviates in any
way is unreadable as a whole: no entries are recovered from a part.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterable
from math import isfinite
from pathlib import Path
from typing import Any
from zlib import crc32

from cloverrouter.roster.limits import MAX_FILE_BYTES, MAX_RECORDS, MAX_SET_ASIDE_FILES
from cloverrouter.roster.overlay import Drain

MAGIC = "cloverrouter-drains"
VERSION = 1
FILE = "drains"
FileStamp = tuple[int, int, int]  # identifies a version of the file: mtime in ns, inode, size


class UnreadableState(Exception):
    """The data is not a drains file, or is truncated or corrupt."""


class StateTooLarge(OSError):
    """There are more drains than a file may hold; nothing was written."""


def encode(drains: Iterable[Drain]) -> bytes:
    """Return the content of the file. Raises `StateTooLarge` for more than `Store.load` accepts."""
    entries = [
        {"server": d.server, "by": d.by, "since_ms": d.since_ms, "until_ms": d.until_ms, "note": d.note}
        for d in drains
    ]
    if len(entries) > MAX_RECORDS:
        raise StateTooLarge(f"{len(entries)} drains, where a file holds {MAX_RECORDS} at most")
    body = json.dumps(entries, ensure_ascii=False).encode()
    data = f"{MAGIC} {VERSION} {len(body)} {crc32(body):08x}\n".encode() + body
    if len(data) > MAX_FILE_BYTES:
        raise StateTooLarge(f"{len(data)} bytes of drains, where a file holds {MAX_FILE_BYTES} at most")
    return data


def decode(data: bytes) -> list[Drain]:
    """Parse the output of `encode`. Raises `UnreadableState` for any other data."""
    head, newline, body = data.partition(b"\n")
    parts = head.decode("ascii", "replace").split(" ")
    if not newline or len(parts) != 4 or parts[0] != MAGIC:
        raise UnreadableState("it does not begin as a list of drains does")
    if parts[1] != str(VERSION):
        raise UnreadableState(f"it has version {parts[1]!r}; this program reads version {VERSION}")
    if parts[2] != str(len(body)) or parts[3] != f"{crc32(body):08x}":
        raise UnreadableState("it is cut short or changed: length or checksum do not fit")
    try:
        entries = json.loads(body)
        if not isinstance(entries, list):
            raise ValueError("no list")
        drains = [_drain(entry) for entry in entries]
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise UnreadableState(f"its entries can't be read: {error}") from error
    if len(drains) > MAX_RECORDS:
        raise UnreadableState(f"it has {len(drains)} entries, where {MAX_RECORDS} are the most")
    if len({d.server for d in drains}) != len(drains):
        raise UnreadableState("it names a server twice")
    return drains


def _drain(entry: dict[str, Any]) -> Drain:
    until = entry["until_ms"]
    drain = Drain(entry["server"], entry["by"], entry["since_ms"], until, entry["note"])
    if not all(isinstance(text, str) for text in (drain.server, drain.by, drain.note)):
        raise ValueError("a name is no text")
    for number in (drain.since_ms, *([] if until is None else [until])):
        if isinstance(number, bool) or not isinstance(number, int | float) or not isfinite(number):
            raise ValueError("a time is no number")
    return drain


class Store:
    """The drains file in a state directory."""

    def __init__(self, directory: Path) -> None:
        self.path = directory / FILE

    def stamp(self) -> FileStamp | None:
        """The version of the file, which changes with every save; None without a file. Raises OSError."""
        try:
            return _stamp(self.path.stat())
        except FileNotFoundError:
            return None

    def load(self) -> tuple[list[Drain], str | None]:
        """Return the drains, and where an unreadable file was moved, with the reason, or None.

        Raises OSError if the directory can't be read at all.
        """
        # An interrupted write leaves its temporary file behind, which was never in force.
        self._temporary.unlink(missing_ok=True)
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return [], None
        try:
            if len(data) > MAX_FILE_BYTES:
                raise UnreadableState(f"it has more than {MAX_FILE_BYTES} bytes")
            return decode(data), None
        except UnreadableState as error:
            aside = self._next_aside()
            self.path.rename(aside)
            return [], f"{aside}: {error}"

    def _next_aside(self) -> Path:
        """The path to which an unreadable file is moved; the last of them is overwritten once all exist."""
        paths = [self.path.with_name(f"{FILE}.unreadable-{i + 1}") for i in range(MAX_SET_ASIDE_FILES)]
        return next((path for path in paths if not path.exists()), paths[-1])

    @property
    def _temporary(self) -> Path:
        return self.path.with_name(f"{FILE}.new")

    def save(self, drains: Iterable[Drain]) -> FileStamp:
        """Replace the file atomically; return its version. On OSError the old file is still in place.

        The data is synced before the rename, and the directory before the return: a power failure leaves
        either the old state or the new one.
        """
        data = encode(drains)
        try:
            descriptor = os.open(self._temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            with open(descriptor, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
                stamp = _stamp(os.fstat(file.fileno()))
            os.replace(self._temporary, self.path)
        except OSError:
            self._temporary.unlink(missing_ok=True)
            raise
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        return stamp


def _stamp(status: os.stat_result) -> FileStamp:
    return status.st_mtime_ns, status.st_ino, status.st_size
