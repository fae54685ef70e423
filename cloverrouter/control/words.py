"""Parser of typed command lines, driven by the proxy's description of its commands.

    drain s-1 minutes=30 note="new disk"

The first word is the command. Words of the form name=value are named arguments; the others are assigned to
the required arguments in order.
"""

from __future__ import annotations

import shlex
from collections.abc import Sequence
from typing import Any

from cloverrouter.seams import Json

TRUE, FALSE = ("true", "yes", "on", "1"), ("false", "no", "off", "0")


class UsageError(Exception):
    """An invalid command line; the text describes the valid input."""


def split(line: str) -> list[str]:
    """Split a command line into words, with quotation marks as in a shell. Raises `UsageError`."""
    try:
        return shlex.split(line)
    except ValueError as error:
        raise UsageError(f"{error}: a quotation mark is not closed") from error


def usage(command: Json) -> str:
    """Return a one-line synopsis of the command and its arguments."""
    words = [command["name"]]
    for a in command["arguments"]:
        words.append(a["name"].upper() if a["required"] else f"[{a['name']}=...]")
    return " ".join(words)


def _parse_value(kind: str, name: str, text: str) -> Any:
    try:
        match kind:
            case "int":
                return int(text)
            case "float":
                return float(text)
            case "bool":
                if text.lower() in TRUE:
                    return True
                if text.lower() in FALSE:
                    return False
                raise ValueError
    except ValueError:
        expected = {"int": "a whole number", "float": "a number", "bool": "yes or no"}[kind]
        raise UsageError(f"{name} must be {expected}, not {text!r}") from None
    return text


def parse(words: Sequence[str], commands: Sequence[Json]) -> tuple[str, dict[str, Any]]:
    """Return the command's name and its arguments, converted to their types.

    `commands` is the result of the proxy's `help` command. Raises `UsageError`.
    """
    by_name = {command["name"]: command for command in commands}
    if not words or words[0] not in by_name:
        known = ", ".join(sorted(by_name))
        raise UsageError(f"no command is named {words[0]!r}; known: {known}" if words else f"known: {known}")
    command = by_name[words[0]]
    kinds = {a["name"]: a["kind"] for a in command["arguments"]}
    required = [a["name"] for a in command["arguments"] if a["required"]]
    args: dict[str, Any] = {}
    for word in words[1:]:
        name, equals, text = word.partition("=")
        if not equals or name not in kinds:
            unfilled = [n for n in required if n not in args]
            if not unfilled:
                raise UsageError(f"{word!r} is one word too many; usage: {usage(command)}")
            name, text = unfilled[0], word
        if name in args:
            raise UsageError(f"{name} is given twice; usage: {usage(command)}")
        args[name] = _parse_value(kinds[name], name, text)
    missing = [name for name in required if name not in args]
    if missing:
        raise UsageError(f"{' and '.join(missing)} is missing; usage: {usage(command)}")
    return words[0], args
