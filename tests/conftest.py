"""Expects the tests listed in ``KNOWN-RED.txt`` to fail, and prints them; see ``known_red.py``."""

from __future__ import annotations

# Imported before any test: pytest parses it on import, and CPython 3.11.6 fails to parse (gh-106905) while a
# garbage collection logs the traceback of a task that a failed test has left behind.
import hypothesis  # noqa: F401
import pytest

from tests.known_red import KnownRedError, read


def pytest_configure(config: pytest.Config) -> None:
    try:
        read()
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known = {entry.test: entry for entry in read()}
    for item in items:
        if (entry := known.get(item.nodeid)) is not None:
            # Strict: a listed test that passes fails the run, so that it is removed from the list once fixed.
            reason = f"known red: {entry.cause} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    if entries := read():
        terminalreporter.section(f"known red: {len(entries)}")
    for entry in entries:
        terminalreporter.line(f"{entry.test}: {entry.cause} ({entry.issue})")
