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

from cloverrouter.roster.overlay import MOST_DRAINS, Drain

MAGIC = "cloverrouter-drains"
VERSION = 1
FILE = "drains"
MOST_BYTES = 1024 * 1024


class UnreadableState(Exception):
    """The data is not a drains file, or is truncated or corrupt."""


def encode(drains: Iterable[Drain]) -> bytes:
    body = json.dumps(
        [
            {"server": d.server, "by": d.by, "since_ms": d.since_ms, "until_ms": d.until_ms, "note": d.note}
            for d in drains
        ],
        ensure_ascii=False,
    ).encode()
    return f"{MAGIC} {VERSION} {len(body)} {crc32(body):08x}\n".encode() + body


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
    if len(drains) > MOST_DRAINS or len({d.server for d in drains}) != len(drains):
        raise UnreadableState("it names a server twice, or too many")
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

    def load(self) -> tuple[list[Drain], str | None]:
        """Return the drains, and where an unreadable file was moved, with the reason, or None.

        Raises OSError if the directory can't be read at all.
        """
        # An interrupted write leaves its temporary file behind, which was never in force.
        self._temporary.unlink(missing_ok=True)
        try:
            with self.path.open("rb") as file:
                data = file.read(MOST_BYTES + 1)
        except FileNotFoundError:
            return [], None
        try:
            if len(data) > MOST_BYTES:
                raise UnreadableState("it is far too large")
            return decode(data), None
        except UnreadableState as error:
            number = 1
            while (aside := self.path.with_name(f"{FILE}.unreadable-{number}")).exists():
                number += 1
            self.path.rename(aside)
            return [], f"{aside}: {error}"

    @property
    def _temporary(self) -> Path:
        return self.path.with_name(f"{FILE}.new")

    def save(self, drains: Iterable[Drain]) -> None:
        """Replace the file atomically. On OSError the old file is still in place.

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
            os.replace(self._temporary, self.path)
        except OSError:
            self._temporary.unlink(missing_ok=True)
            raise
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
