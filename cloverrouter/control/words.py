"""Words that a person types to a command and its arguments, by what the proxy says of its commands.

    drain s-1 minutes=30 note="new disk"

The first word is the command; words of the form name=value give arguments by name, the others the
required ones in their order.
"""

from __future__ import annotations

import shlex
from collections.abc import Sequence
from typing import Any

from cloverrouter.seams import Json

TRUE, FALSE = ("true", "yes", "on", "1"), ("false", "no", "off", "0")


class BadWords(Exception):
    """What was typed is no command; the text says what would be right."""


def split(line: str) -> list[str]:
    try:
        return shlex.split(line)
    except ValueError as wrong:
        raise BadWords(f"{wrong}: a quotation mark is not closed") from wrong


def usage(command: Json) -> str:
    words = [command["name"]]
    for a in command["arguments"]:
        words.append(a["name"].upper() if a["required"] else f"[{a['name']}=...]")
    return " ".join(words)


def _value(kind: str, name: str, text: str) -> Any:
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
        right = {"int": "a whole number", "float": "a number", "bool": "yes or no"}[kind]
        raise BadWords(f"{name} must be {right}, not {text!r}") from None
    return text


def parse(words: Sequence[str], commands: Sequence[Json]) -> tuple[str, dict[str, Any]]:
    """Raises `BadWords`. `commands` is what the proxy's `help` answers."""
    by_name = {command["name"]: command for command in commands}
    if not words or words[0] not in by_name:
        known = ", ".join(sorted(by_name))
        raise BadWords(f"no command is named {words[0]!r}; known: {known}" if words else f"known: {known}")
    command = by_name[words[0]]
    kinds = {a["name"]: a["kind"] for a in command["arguments"]}
    required = [a["name"] for a in command["arguments"] if a["required"]]
    args: dict[str, Any] = {}
    for word in words[1:]:
        name, equals, text = word.partition("=")
        if not equals or name not in kinds:
            free = [n for n in required if n not in args]
            if not free:
                raise BadWords(f"{word!r} is one word too many; usage: {usage(command)}")
            name, text = free[0], word
        if name in args:
            raise BadWords(f"{name} is given twice; usage: {usage(command)}")
        args[name] = _value(kinds[name], name, text)
    missing = [name for name in required if name not in args]
    if missing:
        raise BadWords(f"{' and '.join(missing)} is missing; usage: {usage(command)}")
    return words[0], args
