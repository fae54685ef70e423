"""The suite expects the tests listed in ``KNOWN-RED.txt`` to fail, and no others."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, parse

HERE = Path(__file__).parent
TEST_MODULE = """
import pytest

def test_red() -> None:
    assert False

def test_green() -> None:
    assert True

@pytest.mark.parametrize("size", ["a, b", "c"])
def test_sizes(size: str) -> None:
    assert size == "c"
"""


def test_entry_is_parsed() -> None:
    text = "\ntests/test_a.py::test_b[x, y], a queue, and a lock, issue 12: Ends\n"
    assert parse(text) == [KnownRed("tests/test_a.py::test_b[x, y]", "a queue, and a lock", "issue 12: Ends")]
    assert parse("") == []


@pytest.mark.parametrize(
    "text, words",
    [
        ("tests/test_a.py::test_b", "line 1"),
        ("tests/test_a.py::test_b, slow", "is not 'tests/FILE.py::TEST, CAUSE, ISSUE'"),
        ("tests/test_a.py::test_b, , issue 1", "line 1"),
        ("tests/test_a.py::test_b, slow, ", "line 1"),
        ("tests/test_a.py, slow, issue 1", "line 1"),
        ("# a remark", "line 1"),
        ("tests/test_a.py::b, slow, issue 1\ntests/test_a.py::b, late, issue 2", "line 2.*twice"),
        ("tests/test_known_red_list.py::test_b, slow, issue 1", "can't be on it"),
        ("\n".join(f"tests/test_a.py::test_{n}, slow, issue 1" for n in range(4)), "4 lines: 3 at most"),
    ],
)
def test_invalid_list_is_rejected(text: str, words: str) -> None:
    with pytest.raises(KnownRedError, match=words):
        parse(text)


def _run(root: Path, listed: str, *options: str) -> subprocess.CompletedProcess[str]:
    tests = root / "tests"
    tests.mkdir()
    # This file is not copied: the run would start itself recursively.
    for name in ("conftest.py", "known_red.py", "test_known_red_list.py"):
        shutil.copy(HERE / name, tests / name)
    (tests / "__init__.py").touch()
    (tests / "test_scene.py").write_text(TEST_MODULE)
    (root / "KNOWN-RED.txt").write_text(listed)
    (root / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options]
    env = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    return subprocess.run(command, cwd=root, env=env, capture_output=True, text=True, timeout=60)


RED = "tests/test_scene.py::test_red, the sum is wrong, issue 7\n"
SIZES = "tests/test_scene.py::test_sizes[a, b], of two, issue 7\n"


@pytest.mark.parametrize("options", [(), ("-n", "2")])
def test_listed_tests_may_fail_and_are_printed(tmp_path: Path, options: tuple[str, ...]) -> None:
    result = _run(tmp_path, RED + SIZES, *options)
    assert result.returncode == 0, result.stdout
    assert "tests/test_scene.py::test_red: the sum is wrong (issue 7)" in result.stdout
    assert "2 xfailed" in result.stdout


@pytest.mark.parametrize(
    "listed, words",
    [
        (RED, "test_sizes[a, b]"),  # a test that is not listed fails
        (RED + SIZES + "tests/test_scene.py::test_green, slow, issue 7\n", "XPASS(strict)"),
        (RED + SIZES + "tests/test_scene.py::test_gone, slow, issue 7\n", "test_gone"),
        (RED + SIZES + "tests/test_none.py::test_gone, slow, issue 7\n", "test_none"),
        (RED * 2 + SIZES, "is listed twice"),
        ("tests/test_scene.py::test_red\n", "is not 'tests/FILE.py::TEST, CAUSE, ISSUE'"),
    ],
)
def test_suite_fails_with_an_inaccurate_list(tmp_path: Path, listed: str, words: str) -> None:
    result = _run(tmp_path, listed)
    assert result.returncode != 0, result.stdout
    assert words in result.stdout + result.stderr


def test_removed_test_is_also_detected_with_xdist(tmp_path: Path) -> None:
    result = _run(tmp_path, RED + SIZES + "tests/test_scene.py::test_gone, slow, issue 7\n", "-n", "2")
    assert result.returncode != 0 and "test_gone" in result.stdout, result.stdout
