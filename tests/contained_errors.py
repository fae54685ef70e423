"""A plugin of all tests (see `pyproject.toml`): errors that the program contained in the test's process."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from cloverrouter.proxy.containment import ContainedErrors


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
