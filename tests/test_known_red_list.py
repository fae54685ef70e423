"""``KNOWN-RED.txt`` in the root directory names only tests of this suite."""

from __future__ import annotations

import pytest

from tests.known_red import PATH, read, unknown


def test_each_line_names_a_test(request: pytest.FixtureRequest) -> None:
    """A run of part of the suite only checks that the files exist, because it does not collect all tests."""
    tests = [item.nodeid for item in request.session.items]
    entries = read()
    # A line whose test was renamed would otherwise match nothing, without any notice.
    if request.config.args_source is not pytest.Config.ArgsSource.ARGS:
        assert unknown(entries, tests) == []
    for entry in entries:
        assert (PATH.parent / entry.test.partition("::")[0]).is_file(), entry
