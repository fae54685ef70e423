"""Seams that the core owns and directions fill: commands that operators give, and what a direction is to the
composition root.

A direction registers its commands; the control socket carries them. Neither imports the other.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from cloverrouter.proxy.config import Config
    from cloverrouter.proxy.frontend import Frontend
    from cloverrouter.proxy.node import Node
    from cloverrouter.roster import Keeper

Value = str | int | float | bool | None
Json = dict[str, Any]
log = logging.getLogger(__name__)


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


class Alarms:
    """What is wrong until it is mended, by a name for each."""

    def __init__(self) -> None:
        self._texts: dict[str, str] = {}

    def set(self, name: str, text: str | None) -> None:
        if text is None:
            self._texts.pop(name, None)
        else:
            self._texts[name] = text

    def texts(self) -> list[str]:
        return list(self._texts.values())


@dataclass(frozen=True, slots=True)
class Right:
    """To act on a task, as one of those that may at a time: under this `token`, at this `seat` (from 0), up
    to `until_s` of CLOCK_BOOTTIME. What is acted on keeps the highest token of each seat that it has seen,
    and refuses lower ones: nothing else catches an act that its holder was stopped in."""

    token: int
    seat: int
    until_s: float


class Tasks(Protocol):
    """Who may act on what only some may do at a time."""

    def want(self, task: str, room: int = 1) -> None:
        """Contend from here on. Raises ValueError for a name or a room that can't be."""

    def may_act(self, task: str, longest_s: float = 0.0) -> Right | None:
        """The right to an act that begins now and takes `longest_s` at most. To be asked each time, at the
        moment of acting."""

    def give_back(self, task: str, hand_over: bool = False) -> None:
        """Stop, at once; `hand_over`: to who has waited longest."""


class Alone:
    """A proxy that shares nothing with others may do everything."""

    def __init__(self) -> None:
        self._token = time.time_ns() // 1_000_000

    def want(self, task: str, room: int = 1) -> None:
        pass

    def may_act(self, task: str, longest_s: float = 0.0) -> Right | None:
        return Right(self._token, 0, float("inf"))

    def give_back(self, task: str, hand_over: bool = False) -> None:
        pass


class Core:
    """What all directions of one proxy share: its parts, the events and alarms for operators, each other."""

    def __init__(self, told: Config, node: Node, boot: str) -> None:
        self.told, self.node, self.boot = told, node, boot
        self.alarms = Alarms()
        self.hear: list[Callable[[str, Json], None]] = []  # who wants to know of events
        self.tasks: Tasks = Alone()
        self.directions: list[Direction] = []  # those that are on, in the order of their start
        self.keeper: Keeper  # the roster, as operators have it

    def now_ms(self) -> float:
        """Unix time."""
        return time.time() * 1000

    def event(self, kind: str, what: Json) -> None:
        for hear in self.hear:
            # Whoever tells of an event is in the middle of its own work, and others want to hear it, too.
            self.node.errors.run("event", partial(hear, kind, what), kind)

    def take(self, frontend: Frontend, taking: bool) -> None:
        """From here on this proxy takes work, or leaves it to another: then its clients are to move."""
        frontend.gate.refusing = not taking
        if not taking:
            frontend.close_idle()
            for direction in self.directions:
                direction.leave(final=True)

    def reread(self, name: str, what: str, step: Callable[[], None]) -> None:
        """Take a file that the operators may have replaced; a bad one changes nothing."""
        try:
            step()
        except (OSError, ValueError) as error:
            log.error("%s: %s not reread: %s", name, what, error)
            self.alarms.set(name, f"[{name}]: {what} not reread: {error}")
        else:
            self.alarms.set(name, None)
            self.event(name, {"text": f"{what} reread"})


class Direction:
    """One of the operators' directions, as the composition root sees it. What one does not fill does nothing.

    It is made, before the proxy listens, only if its table of the operators' file turns it on; whatever can't
    be carried out is a `StartError` that names the table.
    """

    def __init__(self, core: Core, table: Any) -> None:
        self.core, self.table = core, table

    @staticmethod
    def descriptors(table: Any) -> int:
        """How many it may hold, which requests then can't."""
        return 0

    async def start(self, frontend: Frontend) -> None:
        """Open what it listens on."""

    def started(self, frontend: Frontend) -> None:
        """All directions have."""

    def commands(self) -> Iterable[Command]:
        """For the control socket."""
        return ()

    def tell(self, status: Json) -> None:
        """Add what operators want to see to `status`: `pair`, `clients`, `protocols`."""

    def tell_server(self, server: str, told: Json) -> None:
        """The same of one server: `protocol`."""

    def tick(self) -> None:
        """Once a second."""

    def reload(self) -> None:
        """SIGHUP."""

    def leave(self, final: bool) -> None:
        """The proxy is about to end, or (`final`) nothing is taken from here on."""

    async def close(self) -> None:
        """Nothing is owed any more."""
