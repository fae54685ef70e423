"""Run a test without the garbage collector, to see what reference counts alone free."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def collector_disabled() -> Iterator[None]:
    """Collect what earlier tests have left, then let nothing but reference counts free objects."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def alive(*kinds: type) -> list[str]:
    """Return the names of the types of all living objects of these kinds that the collector knows."""
    return sorted(type(found).__name__ for found in gc.get_objects() if isinstance(found, kinds))
