"""A server's report of its load, as it comes in the head of an answer."""

from __future__ import annotations

from functools import lru_cache

# Danger: smoothed, a figure beyond belief would outweigh all that come after it.
MOST_REPORTED = 1e6


@lru_cache(maxsize=1024)  # a host repeats a reading in every answer until its next one
def read_report(text: bytes | None, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """A host's load report in the order of `fields`; None if it is missing, or any of it is no figure."""
    if text is None or not fields:
        return None
    pairs = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
    try:
        report = tuple(float(pairs[name.encode()]) for name in fields)
    except (KeyError, ValueError):
        return None
    return report if all(0 <= value <= MOST_REPORTED for value in report) else None
