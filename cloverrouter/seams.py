"""Interfaces between the core and its extensions: operators' commands, alarms, task leases, `Direction`.

An extension registers its commands and the control socket dispatches them; neither imports the other.
`Direction` is the interface of an extension to the composition root.
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
MAX_TEXT_CHARS = 200  # of a text that is an argument of a command
Json = dict[str, Any]
log = logging.getLogger(__name__)


class CommandError(Exception):
    """A command was not executed.

    `code` is for scripts, `text` describes the error and `right` the valid input; `more` holds further
    fields of the response.
    """

    def __init__(self, code: str, text: str, right: str = "", **more: Any) -> None:
        super().__init__(text)
        self.code, self.text, self.right, self.more = code, text, right, more


@dataclass(frozen=True, slots=True)
class Operator:
    """The peer that sends a command: its credentials from the kernel, and its user name."""

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
    minimum: float | None = None
    maximum: float | None = None


@dataclass(frozen=True, slots=True)
class Command:
    """A named command.

    `run` receives the operator and the validated arguments, defaults filled in; it raises `CommandError`
    if it can't execute the command.
    """

    name: str
    help: str
    run: Callable[[Operator, Mapping[str, Any]], Json | Awaitable[Json]]
    arguments: tuple[Argument, ...] = ()
    changes: bool = False  # False: the command only reads


@dataclass(slots=True)
class Commands:
    """Registry of the commands by name."""

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


def validate_arguments(command: Command, values: Mapping[str, Any]) -> dict[str, Any]:
    """Return the arguments of `command`, validated and with defaults filled in.

    Raises `CommandError` (`bad_argument`) with the name of the argument and its valid values.
    """
    names = [argument.name for argument in command.arguments]
    for name in values:
        if name not in names:
            right = f"it takes {', '.join(names)}" if names else "it takes none"
            raise CommandError("bad_argument", f"{command.name} has no argument {name!r}", right)
    arguments: dict[str, Any] = {}
    for argument in command.arguments:
        value = values.get(argument.name)
        if value is None:
            if argument.required:
                raise CommandError(
                    "bad_argument",
                    f"{command.name} needs {argument.name}",
                    f"{argument.name}: {argument.help}",
                )
            arguments[argument.name] = argument.default
            continue
        kind_matches = isinstance(value, argument.kind) or (argument.kind is float and isinstance(value, int))
        # bool is a subclass of int in Python: without this check `true` would be accepted as 1 second.
        if not kind_matches or (isinstance(value, bool) and argument.kind is not bool):
            kind_texts = {
                "str": "a text",
                "int": "a whole number",
                "float": "a number",
                "bool": "true or false",
            }
            right = f"{argument.name} must be {kind_texts[argument.kind.__name__]}: {argument.help}"
            raise CommandError("bad_argument", f"{argument.name} is {value!r}", right)
        if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
            right = f"at most {MAX_TEXT_CHARS} characters"
            raise CommandError("bad_argument", f"{argument.name} is too long", right)
        too_low = (
            argument.minimum is not None and isinstance(value, int | float) and not value >= argument.minimum
        )
        too_high = (
            argument.maximum is not None and isinstance(value, int | float) and not value <= argument.maximum
        )
        if too_low or too_high:
            raise CommandError(
                "bad_argument",
                f"{argument.name} is {value!r}",
                f"{argument.name} must be from {argument.minimum:g} to {argument.maximum:g}",
            )
        arguments[argument.name] = value
    return arguments


class Alarms:
    """Active alarms by name; each stays until it is cleared."""

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
class TaskLease:
    """Permission to act on a task, as one of its concurrent holders, up to `until_s` (CLOCK_BOOTTIME).

    `token` is the fencing token and `seat` the holder's slot, from 0. The resource that is acted on must
    keep the highest token that it has seen for each slot and reject lower ones: nothing else catches a
    write of a holder whose process was paused past the end of its lease.
    """

    token: int
    seat: int
    until_s: float


class Tasks(Protocol):
    """Leases for tasks that only a limited number of proxies may execute at a time."""

    def contend(self, task: str, seat_count: int = 1) -> None:
        """Start contending for `task`, which has `seat_count` concurrent holders.

        Raises ValueError for an invalid name or number of holders.
        """

    def current_lease(self, task: str, longest_s: float = 0.0) -> TaskLease | None:
        """Return the lease for an action that begins now and takes `longest_s` at most; None without one.

        Callers ask again immediately before each action.
        """

    def release(self, task: str, hand_over: bool = False) -> None:
        """Release the lease now; `hand_over`: to the member that has waited longest."""


class UncontendedTasks:
    """Grants every task: for a proxy that shares no tasks with others."""

    def __init__(self) -> None:
        self._token = time.time_ns() // 1_000_000

    def contend(self, task: str, seat_count: int = 1) -> None:
        pass

    def current_lease(self, task: str, longest_s: float = 0.0) -> TaskLease | None:
        return TaskLease(self._token, 0, float("inf"))

    def release(self, task: str, hand_over: bool = False) -> None:
        pass


class Core:
    """State shared by all extensions of one proxy: components, events, alarms, the other extensions."""

    def __init__(self, config: Config, node: Node, boot: str) -> None:
        self.config, self.node, self.boot = config, node, boot
        self.alarms = Alarms()
        self.event_listeners: list[Callable[[str, Json], None]] = []  # called with kind and fields
        self.tasks: Tasks = UncontendedTasks()
        self.directions: list[Direction] = []  # the enabled ones, in the order of their start
        self.keeper: Keeper  # set by the composition root before any extension is constructed

    def now_ms(self) -> float:
        """Return the Unix time in milliseconds."""
        return time.time() * 1000

    def event(self, kind: str, what: Json) -> None:
        """Report an event to all listeners."""
        for listener in self.event_listeners:
            # A listener that raises must not interrupt the reporting component or the other listeners.
            self.node.errors.run("event", partial(listener, kind, what), kind)

    def set_accepting(self, frontend: Frontend, accepting: bool) -> None:
        """Start or stop accepting requests; on a stop, idle connections close so that clients move away."""
        frontend.gate.refusing = not accepting
        if not accepting:
            frontend.close_idle()
            for direction in self.directions:
                direction.prepare_shutdown(final=True)

    def reload_file(self, name: str, what: str, step: Callable[[], None]) -> None:
        """Reload a file that operators may have replaced; a bad one raises an alarm and changes nothing."""
        try:
            step()
        except (OSError, ValueError) as error:
            log.error("%s: %s not reread: %s", name, what, error)
            self.alarms.set(name, f"[{name}]: {what} not reread: {error}")
        else:
            self.alarms.set(name, None)
            self.event(name, {"text": f"{what} reread"})


class Direction:
    """Base class of the extensions; methods that a subclass does not override do nothing.

    An extension is constructed before the proxy listens, and only if its table of the operators' file is
    enabled. Settings that can't be applied raise a `StartError` that names the table.
    """

    def __init__(self, core: Core, table: Any) -> None:
        self.core, self.table = core, table

    @staticmethod
    def descriptors(table: Any) -> int:
        """Return the number of file descriptors that the extension may use, unavailable to requests."""
        return 0

    async def start(self, frontend: Frontend) -> None:
        """Open the listening sockets."""

    def started(self, frontend: Frontend) -> None:
        """Called once all extensions have started."""

    def commands(self) -> Iterable[Command]:
        """Return the commands that the control socket offers."""
        return ()

    def add_status(self, status: Json) -> None:
        """Add the extension's fields to the status report: `pair`, `clients`, `protocols`."""

    def add_server_status(self, server: str, status: Json) -> None:
        """Add the extension's fields to the status of one server: `protocol`."""

    def tick(self) -> None:
        """Run periodic work; called once a second."""

    def reload(self) -> None:
        """Reload files on SIGHUP."""

    def prepare_shutdown(self, final: bool) -> None:
        """Prepare for the proxy's shutdown; `final`: the proxy accepts no more requests from here on."""

    async def close(self) -> None:
        """Release all resources; all responses have been sent."""
