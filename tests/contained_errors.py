"""pytest plugin for all tests (see `pyproject.toml`): fails tests in which the program contained an error."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from cloverrouter.proxy.containment import ContainedErrors


@pytest.fixture
def errors_may_be_contained() -> None:
    """Allow contained errors in a test that raises errors on purpose."""


@pytest.fixture(autouse=True)
def no_error_is_contained(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Fail a test if the program, in the test's process, contained an unexpected error.

    Assertions on the program's output would not detect a contained error.
    """
    found: list[str] = []
    original = ContainedErrors.report

    def report(self: ContainedErrors, place: str, error: BaseException, detail: object = "") -> None:
        found.append(f"{place}: {error!r} {detail}")
        original(self, place, error, detail)

    monkeypatch.setattr(ContainedErrors, "report", report)
    yield
    if "errors_may_be_contained" not in request.fixturenames:
        assert not found, f"errors were contained: {found[:5]}"
