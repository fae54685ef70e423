"""Parse ``KNOWN-RED.txt``, the list of tests that are known to fail: one line each, test, cause, issue.

The suite expects exactly these tests to fail and prints them. A line that is malformed, names no test or
names one that passes is an error. So is a fourth line: the list is for faults that will be fixed next.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3
OWN = "tests/test_known_red"  # the tests of the list itself can't be listed
LINE_FORMAT = "'tests/FILE.py::TEST, CAUSE, ISSUE'"
_LINE = re.compile(
    r"(?P<test>[^\s,\[\]:]+::[^\s,\[\]]+(?:\[.*?\])?), (?P<cause>.*\S.*), (?P<issue>[^,]*\S[^,]*)"
)


class KnownRed(NamedTuple):
    """A test by its pytest node id, the cause of its failure, and the issue that tracks the fix."""

    test: str
    cause: str
    issue: str


class KnownRedError(ValueError):
    """The list is invalid. The message names the line and the expected format."""


def parse(text: str) -> list[KnownRed]:
    """Parse the text of the list. Raises `KnownRedError`."""
    found: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        match = _LINE.fullmatch(line.strip())
        if match is None:
            raise KnownRedError(f"KNOWN-RED.txt, line {number}: {line.strip()!r} is not {LINE_FORMAT}")
        entry = KnownRed(*match.group("test", "cause", "issue"))
        if entry.test.startswith(OWN):
            raise KnownRedError(f"KNOWN-RED.txt, line {number}: a test of the list itself can't be on it")
        if entry.test in {other.test for other in found}:
            raise KnownRedError(f"KNOWN-RED.txt, line {number}: {entry.test} is listed twice")
        found.append(entry)
    if len(found) > MAX_ENTRIES:
        raise KnownRedError(
            f"KNOWN-RED.txt has {len(found)} lines: {MAX_ENTRIES} at most; fix a test instead"
        )
    return found


def read(path: Path = PATH) -> list[KnownRed]:
    """Return the entries of a list, or an empty list if the file does not exist. Raises `KnownRedError`."""
    return parse(path.read_text()) if path.exists() else []


def unknown(entries: Iterable[KnownRed], tests: Iterable[str]) -> list[str]:
    """Return the listed tests that are not in `tests`, the node ids of the whole suite."""
    collected = set(tests)
    return [entry.test for entry in entries if entry.test not in collected]
