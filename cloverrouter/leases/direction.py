"""The leases' entry for the composition root."""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

from cloverrouter.leases.shell import Member, now_ms
from cloverrouter.proxy.config import StartError, read_address
from cloverrouter.rights import Terms
from cloverrouter.seams import Argument, Command, CommandError, Core, Direction, Json, Operator
from cloverrouter.site.settings import Leases, secret_of

if TYPE_CHECKING:
    from cloverrouter.proxy.frontend import Frontend

T = TypeVar("T")
KEPT_S = 2.0  # a program that has not asked for so long is gone
log = logging.getLogger(__name__)


class Entry(Direction):
    """This proxy is a member of a fleet that shares tasks."""

    table: Leases

    def __init__(self, core: Core, table: Leases) -> None:
        super().__init__(core, table)
        self._member: Member | None = None
        self._kept: Kept | None = None

    @staticmethod
    def descriptors(table: Leases) -> int:
        return 4 if table.directory else 1  # its store: the file, its journal, the folder

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
                Terms(promise_ms=float(table.promise_ms)),
                secret_of(table.secret_file),
                secret_of(table.former_secret_file),
                store=store,
                floor=time.time_ns() // 1_000_000,
                changed=self._changed,
                alarm=self.core.alarms.set,
            )
            await member.open(read_address(table.listen))
        except (OSError, ValueError) as error:
            raise StartError(f"[leases]: {error}") from error
        self._member = self.core.tasks = member

    def _changed(self, task: str, token: int | None, why: str) -> None:
        text = f"task {task}: {why}" + (f", token {token}" if token is not None else "")
        log.info("%s", text)
        self.core.event("task", {"text": text, "task": task, "token": token, "why": why})

    def commands(self) -> Iterable[Command]:
        assert self._member is not None
        self._kept = Kept(self._member)
        yield task_command(self._member, self._kept)

    def tick(self) -> None:
        if self._kept is not None:
            self._kept.look()

    def leave(self, final: bool) -> None:
        """Another may have what this one holds."""
        if self._member is not None and not final:
            assert self._kept is not None
            self._kept.leaving = True
            for task in list(self._member.claims):
                if not self._kept.has(task):
                    self._member.give_back(task, hand_over=True)

    async def close(self) -> None:
        if self._member is not None:
            kept = self._kept
            self._member.close(lambda task: kept is not None and kept.has(task))


class Kept:
    """Tasks that programs on this machine hold (`task run`), for as long as they ask."""

    def __init__(self, member: Member) -> None:
        self._member = member
        # By task: whose, when it last asked, and up to when (CLOCK_BOOTTIME, s) it was told that it may act.
        self._by: dict[str, tuple[int, float, float]] = {}
        self.leaving = False  # the proxy is about to end: programs are to stop

    def look(self) -> None:
        """Give back what nobody asks for any more. Danger: a program that died would keep it for ever."""
        for task in list(self._by):
            if not self.has(task):
                self._drop(task)

    def has(self, task: str) -> bool:
        """Does a program have it, or may its command run on? Danger: given back before that, another would
        hold it beside a command that was told it may act."""
        _, asked_ms, until_s = self._by.get(task, (0, 0.0, 0.0))
        return now_ms() - asked_ms <= KEPT_S * 1000 or now_ms() < until_s * 1000

    def keep(self, who: Operator, task: str, room: int) -> Json:
        pid, _, until_s = self._by.get(task, (who.pid, 0.0, 0.0))
        # Danger: two programs of one proxy would both hold what only one may.
        if pid != who.pid and self.has(task):
            raise CommandError("busy", f"process {pid} has {task!r} at this proxy", "wait for it to end")
        if self.leaving:
            return {"token": None, "promise_s": self._member.promise_s}
        if pid != who.pid or task not in self._by:
            claim = self._member.claims.get(task)
            if claim is not None and claim.wanted and task not in self._by:
                raise CommandError("busy", f"this proxy itself has {task!r}", f"task give-up name={task}")
            self._member.give_back(task)  # the one before had another token
        self._member.want(task, room)
        right, promise_s = self._member.may_act(task), self._member.promise_s
        self._by[task] = who.pid, now_ms(), right.until_s if right is not None else until_s
        if right is None:
            return {"token": None, "promise_s": promise_s}
        told = {"token": right.token, "seat": right.seat, "until_s": right.until_s}
        return {**told, "promise_s": promise_s}

    def drop(self, who: Operator, task: str) -> None:
        if task in self._by and self._by[task][0] == who.pid:
            self._drop(task)

    def _drop(self, task: str) -> None:
        del self._by[task]
        self._member.give_back(task, hand_over=True)


def valid(call: Callable[..., T], *args: Any) -> T:
    try:
        return call(*args)
    except ValueError as error:
        raise CommandError("bad_argument", str(error), "a short name, and room=1") from error


def task_command(member: Member, kept: Kept) -> Command:
    """`task list`, `show`, `want`, `give-up` and `hand-over`; `keep` and `drop` are `task run`'s."""

    def run(who: Operator, told: Mapping[str, Any]) -> Json:
        action, name = told["action"], told["name"]
        if action == "list":
            return {"tasks": [member.told(task) for task in member.tasks]}
        if name is None:
            raise CommandError("bad_argument", f"task {action} needs a name", "name=nightly")
        match action:
            case "show":
                return member.told(name)
            case "want":
                valid(member.want, name, told["room"])
            case "keep":
                return valid(kept.keep, who, name, told["room"])
            case "drop":
                kept.drop(who, name)
                return {}
            case "give-up" | "hand-over" if kept.has(name):
                raise CommandError("busy", f"a program on this machine has {name!r}", "end that program")
            case "give-up" | "hand-over":
                member.give_back(name, hand_over=action == "hand-over")
            case other:
                right = "list, show, want, give-up or hand-over"
                raise CommandError("bad_argument", f"action is {other!r}", right)
        log.warning("task %s %s by %s", name, action, who)
        return {**member.told(name), "by": str(who)}

    return Command(
        "task",
        "Tasks of the fleet: who holds them; contend, give up, or hand over to who has waited longest.",
        run,
        (
            Argument("action", str, "list, show, want, give-up or hand-over", required=True),
            Argument("name", str, "the task's name"),
            Argument("room", int, "as many may hold it at a time", default=1, least=1, most=64),
        ),
        changes=True,
    )
