"""Passes over the tests that ``KNOWN-RED.txt`` lists, and prints them; see ``known_red.py``."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from cloverrouter.proxy.containment import ContainedErrors
from tests.known_red import KnownRedError, read


@pytest.fixture
def errors_may_be_contained() -> None:
    """For tests that raise errors on purpose."""


@pytest.fixture(autouse=True)
def no_error_is_contained(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Fail a test in which a part of the program, in this process, contained an error that nobody expected.

    Danger: contained, it would be found by no assertion on what comes out.
    """
    found: list[str] = []
    real = ContainedErrors.report

    def report(self: ContainedErrors, place: str, error: BaseException, detail: object = "") -> None:
        found.append(f"{place}: {error!r} {detail}")
        real(self, place, error, detail)

    monkeypatch.setattr(ContainedErrors, "report", report)
    yield
    if "errors_may_be_contained" not in request.fixturenames:
        assert not found, f"errors were contained: {found[:5]}"


def pytest_configure(config: pytest.Config) -> None:
    try:
        read()
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known = {entry.test: entry for entry in read()}
    for item in items:
        if (entry := known.get(item.nodeid)) is not None:
            # Danger: passed over for good, it would stay on the list when it has been mended: strict.
            reason = f"known red: {entry.cause} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    if entries := read():
        terminalreporter.section(f"known red: {len(entries)}")
    for entry in entries:
        terminalreporter.line(f"{entry.test}: {entry.cause} ({entry.issue})")
