"""Seams that the core owns and directions fill: commands that operators give, and what they may answer.

A direction registers its commands; the control socket carries them. Neither imports the other.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

Value = str | int | float | bool | None
Json = dict[str, Any]


class CommandError(Exception):
    """A command that was not carried out. `code` is for scripts, `text` says what is wrong, `right` what
    would be right; `more` holds figures to go with it."""

    def __init__(self, code: str, text: str, right: str = "", **more: Any) -> None:
        super().__init__(text)
        self.code, self.text, self.right, self.more = code, text, right, more


@dataclass(frozen=True, slots=True)
class Operator:
    """Who gives a command, as the system vouches for it, and by what name they go."""

    uid: int
    pid: int
    name: str

    def __str__(self) -> str:
        return f"{self.name} (uid {self.uid}, pid {self.pid})"


@dataclass(frozen=True, slots=True)
class Argument:
    """One argument of a command. `kind` is `str`, `int`, `float` or `bool`."""

    name: str
    kind: type
    help: str
    required: bool = False
    default: Value = None
    least: float | None = None
    most: float | None = None


@dataclass(frozen=True, slots=True)
class Command:
    """A named command. `run` gets who asks and the arguments, checked and complete; it raises
    `CommandError` for whatever can't be done."""

    name: str
    help: str
    run: Callable[[Operator, Mapping[str, Any]], Json | Awaitable[Json]]
    arguments: tuple[Argument, ...] = ()
    changes: bool = False  # does it change anything, or only tell?


@dataclass(slots=True)
class Commands:
    """All commands by name."""

    by_name: dict[str, Command] = field(default_factory=dict)

    def add(self, *commands: Command) -> None:
        for command in commands:
            if command.name in self.by_name:
                raise ValueError(f"two commands are named {command.name!r}")
            self.by_name[command.name] = command

    def help(self) -> list[Json]:
        return [
            {
                "name": c.name,
                "help": c.help,
                "changes": c.changes,
                "arguments": [
                    {"name": a.name, "kind": a.kind.__name__, "help": a.help, "required": a.required}
                    for a in c.arguments
                ],
            }
            for c in sorted(self.by_name.values(), key=lambda c: c.name)
        ]


def checked(command: Command, given: Mapping[str, Any]) -> dict[str, Any]:
    """The arguments of `command`, checked and completed by their defaults.

    Raises `CommandError` (`bad_argument`) that names the argument and what would be right.
    """
    names = [a.name for a in command.arguments]
    for name in given:
        if name not in names:
            right = f"it takes {', '.join(names)}" if names else "it takes none"
            raise CommandError("bad_argument", f"{command.name} has no argument {name!r}", right)
    arguments: dict[str, Any] = {}
    for a in command.arguments:
        value = given.get(a.name)
        if value is None:
            if a.required:
                raise CommandError("bad_argument", f"{command.name} needs {a.name}", f"{a.name}: {a.help}")
            arguments[a.name] = a.default
            continue
        fits = isinstance(value, a.kind) or (a.kind is float and isinstance(value, int))
        # Danger: a truth value counts as a whole number, and would pass for 1 second.
        if not fits or (isinstance(value, bool) and a.kind is not bool):
            kind = {"str": "a text", "int": "a whole number", "float": "a number", "bool": "true or false"}
            right = f"{a.name} must be {kind[a.kind.__name__]}: {a.help}"
            raise CommandError("bad_argument", f"{a.name} is {value!r}", right)
        if isinstance(value, str) and len(value) > 200:
            raise CommandError("bad_argument", f"{a.name} is too long", "at most 200 characters")
        low = a.least is not None and isinstance(value, int | float) and not value >= a.least
        high = a.most is not None and isinstance(value, int | float) and not value <= a.most
        if low or high:
            raise CommandError(
                "bad_argument", f"{a.name} is {value!r}", f"{a.name} must be from {a.least:g} to {a.most:g}"
            )
        arguments[a.name] = value
    return arguments
