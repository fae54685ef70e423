"""Parsing of the load report that a server sends in the head of an answer."""

from __future__ import annotations

from functools import lru_cache

# Larger values are rejected: in a moving average an absurd one would outweigh all that follow.
MAX_REPORTED_VALUE = 1e6


@lru_cache(maxsize=1024)  # a host repeats a report in every answer until its next measurement
def read_report(text: bytes | None, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """Return the load report in the order of `fields`; None if it is missing, incomplete or out of range."""
    if text is None or not fields:
        return None
    pairs = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
    try:
        report = tuple(float(pairs[name.encode()]) for name in fields)
    except (KeyError, ValueError):
        return None
    return report if all(0 <= value <= MAX_REPORTED_VALUE for value in report) else None
