"""An installed wheel holds the whole package, and its command starts from there.

The commands run without the libraries of the optional parts, as after a plain `pip install .`.
"""

from __future__ import annotations

import argparse
import fcntl
import os
import re
import shutil
import subprocess
import sys
import sysconfig
import tomllib
import venv
import zipfile
from collections.abc import Iterator
from importlib import metadata
from pathlib import Path
from typing import NamedTuple

import pytest

from cloverrouter import cli
from cloverrouter.lab import cli as lab_cli

ROOT = Path(__file__).parent.parent
BYTECODE = shutil.ignore_patterns("__pycache__", "*.pyc")
TIMEOUT_S = 300.0

# Both scripts get the directories of the optional libraries as arguments, and search them last.
IMPORT_MODULES = """
import importlib, sys
directories, names = sys.argv[1].split(":"), sys.argv[2:]
sys.path += directories
for name in names:
    print(importlib.import_module(name).__file__)
"""
LIST_SCENARIOS = """
import sys
sys.path += sys.argv[1].split(":")
from cloverrouter.cli import main
sys.exit(main(["lab", "list"]))
"""


class Installation(NamedTuple):
    """A wheel, and a virtual environment that has it and the package's required dependencies only."""

    wheel: Path
    environment: Path

    def run(self, program: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a program of the environment in the environment's directory."""
        return run([str(self.environment / "bin" / program), *arguments], self.environment)


def run(command: list[str], directory: Path) -> subprocess.CompletedProcess[str]:
    """Run a command without variables that would let Python import modules from elsewhere."""
    environ = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
    return subprocess.run(
        command, cwd=directory, env=environ, capture_output=True, text=True, timeout=TIMEOUT_S
    )


def run_pip(*arguments: str, directory: Path) -> None:
    """Run this environment's pip; it downloads nothing and ignores the user's settings."""
    result = run([sys.executable, "-m", "pip", "--isolated", "--quiet", *arguments], directory)
    assert result.returncode == 0, result.stdout + result.stderr


def copy_sources(target: Path) -> None:
    """Copy what a build reads, and the packages that it must leave out: it writes beside its sources."""
    target.mkdir()
    for name in ("pyproject.toml", "README.md"):
        shutil.copy(ROOT / name, target)
    for package in ROOT.glob("*/__init__.py"):
        shutil.copytree(package.parent, target / package.parent.name, ignore=BYTECODE)


def link_required_dependencies(target: Path) -> None:
    """Link the libraries that the package requires, without its extras, from the running environment."""
    target.mkdir()
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    for requirement in project["dependencies"]:
        distribution = metadata.distribution(re.split(r"[^\w.-]", requirement)[0])
        for name in {file.parts[0] for file in distribution.files or () if file.parts[0] != ".."}:
            (target / name).symlink_to(Path(str(distribution.locate_file(name))))


def build_wheel(directory: Path) -> Path:
    """Build the wheel from a copy of the sources, with the running environment's setuptools."""
    copy_sources(directory / "sources")
    options = ("--no-index", "--no-deps", "--no-build-isolation", "--wheel-dir", "wheels")
    run_pip("wheel", *options, "./sources", directory=directory)
    (wheel,) = directory.glob("wheels/*.whl")
    return wheel


def install(wheel: Path, directory: Path) -> None:
    """Install the wheel into a new environment, which also gets the required libraries."""
    environment, required = directory / "environment", directory / "required"
    venv.create(environment, symlinks=True)
    options = ("--no-index", "--no-deps", "--no-compile")
    python = str(environment / "bin" / "python")
    run_pip("--python", python, "install", *options, str(wheel), directory=directory)
    link_required_dependencies(required)
    (site_packages,) = environment.glob("lib/python*/site-packages")
    (site_packages / "required.pth").write_text(f"{required}\n")


@pytest.fixture(scope="module")
def installation(tmp_path_factory: pytest.TempPathFactory) -> Installation:
    """The installed wheel, which the first worker that needs it builds for all of them."""
    shared = tmp_path_factory.getbasetemp()
    if "PYTEST_XDIST_WORKER" in os.environ:
        shared = shared.parent
    directory, complete = shared / "wheel", shared / "wheel" / "complete"
    with (shared / "wheel.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        if not complete.exists():
            shutil.rmtree(directory, ignore_errors=True)
            directory.mkdir()
            install(build_wheel(directory), directory)
            complete.touch()
    (wheel,) = directory.glob("wheels/*.whl")
    return Installation(wheel, directory / "environment")


def package_files() -> set[str]:
    """The files of the package in the checkout, relative to its root."""
    files = {path.relative_to(ROOT) for path in (ROOT / "cloverrouter").rglob("*") if path.is_file()}
    return {str(file) for file in files if "__pycache__" not in file.parts and file.suffix != ".pyc"}


def module_names() -> list[str]:
    """The names of all modules and packages in the checkout."""
    names = (file.removesuffix(".py").replace("/", ".") for file in package_files() if file.endswith(".py"))
    return sorted(name.removesuffix(".__init__") for name in names)


def optional_libraries() -> str:
    """The directories of the running environment's libraries."""
    return ":".join(dict.fromkeys(sysconfig.get_path(kind) for kind in ("purelib", "platlib")))


def subcommands(parser: argparse.ArgumentParser, *prefix: str) -> Iterator[tuple[str, ...]]:
    """Yield the words that lead to each parser: to this one, and to those of its subcommands."""
    yield prefix
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for word, subparser in action.choices.items():
                yield from subcommands(subparser, *prefix, word)


def test_wheel_holds_every_file_of_the_package_and_no_other(installation: Installation) -> None:
    with zipfile.ZipFile(installation.wheel) as archive:
        packed = {name for name in archive.namelist() if ".dist-info/" not in name}
    assert packed == package_files()


def test_every_module_is_imported_from_the_installed_package(installation: Installation) -> None:
    names = module_names()
    result = installation.run("python", "-c", IMPORT_MODULES, optional_libraries(), *names)
    assert result.returncode == 0, result.stderr
    files = result.stdout.splitlines()
    assert len(files) == len(names)
    assert not [file for file in files if not Path(file).is_relative_to(installation.environment)]


def test_scenarios_are_read_from_the_installed_package(installation: Installation) -> None:
    result = installation.run("python", "-c", LIST_SCENARIOS, optional_libraries())
    assert result.returncode == 0, result.stderr
    listed = {line.split()[0] for line in result.stdout.splitlines()}
    assert listed == {path.stem for path in ROOT.glob("cloverrouter/lab/library/*.toml")}


def test_optional_libraries_are_not_seen_by_the_commands(installation: Installation) -> None:
    result = installation.run("cloverrouter", "lab", "list")
    assert (result.returncode, result.stdout) == (lab_cli.USAGE, "")
    assert lab_cli.MISSING_LIBRARIES in result.stderr


def test_command_that_needs_an_optional_library_names_it(installation: Installation, tmp_path: Path) -> None:
    file = tmp_path / "site.toml"
    file.write_text("")
    for words in (["check", str(file)], ["ctl", "--site", str(file), "status"]):
        result = installation.run("cloverrouter", *words)
        assert (result.returncode, result.stdout) == (cli.USAGE, ""), words
        assert result.stderr == f"{cli.MISSING_LIBRARIES} (msgspec is missing)\n"


def test_every_subcommand_prints_its_help_without_optional_libraries(installation: Installation) -> None:
    commands = {*subcommands(cli.build_parser()), *subcommands(lab_cli.build_parser(), "lab")}
    assert {(), ("run",), ("task", "run"), ("lab", "run")} <= commands  # the parsers were walked
    for words in sorted(commands):
        result = installation.run("cloverrouter", *words, "--help")
        assert (result.returncode, result.stderr) == (0, ""), words
        usage = result.stdout.split("\n\n")[0]
        assert usage.startswith("usage: ") and f" {' '.join(words)}" in usage, words
