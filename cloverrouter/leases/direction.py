"""Extension that makes the proxy a member of a fleet that shares tasks, and adds the `task` command."""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

from cloverrouter.leases.shell import Member, now_ms
from cloverrouter.proxy.config import StartError, read_address
from cloverrouter.rights import LeaseTerms
from cloverrouter.seams import Argument, Command, CommandError, Core, Direction, Json, Operator
from cloverrouter.site.settings import Leases, secret_of

if TYPE_CHECKING:
    from cloverrouter.proxy.frontend import Frontend

T = TypeVar("T")
PROGRAM_TIMEOUT_S = 2.0  # without a request; after it a program counts as ended
log = logging.getLogger(__name__)


class Entry(Direction):
    """Makes this proxy a member of a fleet that shares tasks."""

    table: Leases

    def __init__(self, core: Core, table: Leases) -> None:
        super().__init__(core, table)
        self._member: Member | None = None
        self._program_tasks: ProgramTasks | None = None

    @staticmethod
    def descriptors(table: Leases) -> int:
        return 4 if table.directory else 1  # a socket; a store has a file, its journal and its directory

    async def start(self, frontend: Frontend) -> None:
        table = self.table
        try:
            store = None
            if table.directory and table.name in table.voters:
                from cloverrouter.leases.store import Store

                store = Store(Path(table.directory))
            member = Member(
                table.name,
                secrets.randbits(63) + 1,
                {name: read_address(address) for name, address in table.addresses.items()},
                table.voters,
                LeaseTerms(promise_ms=float(table.promise_ms)),
                secret_of(table.secret_file),
                secret_of(table.former_secret_file),
                store=store,
                floor=time.time_ns() // 1_000_000,
                on_change=self._on_change,
                set_alarm=self.core.alarms.set,
            )
            await member.open(read_address(table.listen))
        except (OSError, ValueError) as error:
            raise StartError(f"[leases]: {error}") from error
        self._member = self.core.tasks = member

    def _on_change(self, task: str, token: int | None, reason: str) -> None:
        text = f"task {task}: {reason}" + (f", token {token}" if token is not None else "")
        log.info("%s", text)
        self.core.event("task", {"text": text, "task": task, "token": token, "why": reason})

    def commands(self) -> Iterable[Command]:
        assert self._member is not None
        self._program_tasks = ProgramTasks(self._member)
        yield task_command(self._member, self._program_tasks)

    def tick(self) -> None:
        if self._program_tasks is not None:
            self._program_tasks.release_expired()

    def prepare_shutdown(self, final: bool) -> None:
        """Hand over the tasks that no program on this machine holds."""
        if self._member is not None and not final:
            assert self._program_tasks is not None
            self._program_tasks.leaving = True
            for task in list(self._member.claims):
                if not self._program_tasks.is_held(task):
                    self._member.release(task, hand_over=True)

    async def close(self) -> None:
        if self._member is not None:
            program_tasks = self._program_tasks
            self._member.close(lambda task: program_tasks is not None and program_tasks.is_held(task))


class ProgramTasks:
    """Tasks held for programs on this machine (`task run`), as long as they keep asking."""

    def __init__(self, member: Member) -> None:
        self._member = member
        # By task: the program's pid, the time of its last request (CLOCK_BOOTTIME, ms), and until when it may
        # act by the last answer to it (CLOCK_BOOTTIME, s).
        self._holds: dict[str, tuple[int, float, float]] = {}
        self.leaving = False  # the proxy is shutting down, and programs have to stop

    def release_expired(self) -> None:
        """Release the tasks of programs that have stopped asking, such as one that was killed."""
        for task in list(self._holds):
            if not self.is_held(task):
                self._drop(task)

    def is_held(self, task: str) -> bool:
        """Whether a program holds the task or its command may still act on it. If the task were released
        earlier, another member could hold it while the command acts."""
        _, asked_ms, until_s = self._holds.get(task, (0, 0.0, 0.0))
        return now_ms() - asked_ms <= PROGRAM_TIMEOUT_S * 1000 or now_ms() < until_s * 1000

    def keep(self, caller: Operator, task: str, room: int) -> Json:
        pid, _, until_s = self._holds.get(task, (caller.pid, 0.0, 0.0))
        # Else two programs at one proxy would both hold a task that only one may hold.
        if pid != caller.pid and self.is_held(task):
            raise CommandError("busy", f"process {pid} has {task!r} at this proxy", "wait for it to end")
        if self.leaving:
            return {"token": None, "promise_s": self._member.promise_s}
        if pid != caller.pid or task not in self._holds:
            claim = self._member.claims.get(task)
            if claim is not None and claim.wanted and task not in self._holds:
                raise CommandError("busy", f"this proxy itself has {task!r}", f"task give-up name={task}")
            self._member.release(task)  # a program must not act under its predecessor's token
        self._member.contend(task, room)
        right, promise_s = self._member.current_lease(task), self._member.promise_s
        self._holds[task] = caller.pid, now_ms(), right.until_s if right is not None else until_s
        if right is None:
            return {"token": None, "promise_s": promise_s}
        lease = {"token": right.token, "seat": right.seat, "until_s": right.until_s}
        return {**lease, "promise_s": promise_s}

    def drop(self, caller: Operator, task: str) -> None:
        if task in self._holds and self._holds[task][0] == caller.pid:
            self._drop(task)

    def _drop(self, task: str) -> None:
        del self._holds[task]
        self._member.release(task, hand_over=True)


def _call_checked(call: Callable[..., T], *args: Any) -> T:
    """The result of a call, with a ValueError turned into a `CommandError`."""
    try:
        return call(*args)
    except ValueError as error:
        raise CommandError("bad_argument", str(error), "a short name, and room=1") from error


def task_command(member: Member, program_tasks: ProgramTasks) -> Command:
    """`task list`, `show`, `want`, `give-up` and `hand-over`; `keep` and `drop` serve `task run`."""

    def run(caller: Operator, arguments: Mapping[str, Any]) -> Json:
        action, name = arguments["action"], arguments["name"]
        if action == "list":
            return {"tasks": [member.status(task) for task in member.tasks]}
        if name is None:
            raise CommandError("bad_argument", f"task {action} needs a name", "name=nightly")
        match action:
            case "show":
                return member.status(name)
            case "want":
                _call_checked(member.contend, name, arguments["room"])
            case "keep":
                return _call_checked(program_tasks.keep, caller, name, arguments["room"])
            case "drop":
                program_tasks.drop(caller, name)
                return {}
            case "give-up" | "hand-over" if program_tasks.is_held(name):
                raise CommandError("busy", f"a program on this machine has {name!r}", "end that program")
            case "give-up" | "hand-over":
                member.release(name, hand_over=action == "hand-over")
            case other:
                right = "list, show, want, give-up or hand-over"
                raise CommandError("bad_argument", f"action is {other!r}", right)
        log.warning("task %s %s by %s", name, action, caller)
        return {**member.status(name), "by": str(caller)}

    return Command(
        "task",
        "Tasks of the fleet: who holds them; contend, give up, or hand over to who has waited longest.",
        run,
        (
            Argument("action", str, "list, show, want, give-up or hand-over", required=True),
            Argument("name", str, "the task's name"),
            Argument("room", int, "as many may hold it at a time", default=1, minimum=1, maximum=64),
        ),
        changes=True,
    )
