"""The leases' entry for the composition root."""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any

from cloverrouter.leases.shell import Member
from cloverrouter.proxy.config import StartError, read_address
from cloverrouter.rights import Terms
from cloverrouter.seams import Argument, Command, CommandError, Core, Direction, Json, Operator
from cloverrouter.site.settings import Leases, secret_of

if TYPE_CHECKING:
    from cloverrouter.proxy.frontend import Frontend

log = logging.getLogger(__name__)


class Entry(Direction):
    """This proxy is a member of a fleet that shares tasks."""

    table: Leases

    def __init__(self, core: Core, table: Leases) -> None:
        super().__init__(core, table)
        self._member: Member | None = None

    @staticmethod
    def descriptors(table: Leases) -> int:
        return 1

    async def start(self, frontend: Frontend) -> None:
        table = self.table
        try:
            member = Member(
                table.name,
                secrets.randbits(63) + 1,
                {name: read_address(address) for name, address in table.addresses.items()},
                table.voters,
                Terms(promise_ms=float(table.promise_ms)),
                secret_of(table.secret_file),
                secret_of(table.former_secret_file),
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
        self.core.event("task", {"text": text})

    def commands(self) -> Iterable[Command]:
        assert self._member is not None
        yield task_command(self._member)

    def leave(self, final: bool) -> None:
        """Another may have what this one holds."""
        if self._member is not None and not final:
            for task in list(self._member.claims):
                self._member.give_back(task, hand_over=True)

    async def close(self) -> None:
        if self._member is not None:
            self._member.close()


def task_command(member: Member) -> Command:
    """`task list`, `show`, `want`, `give-up` and `hand-over`."""

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
                try:
                    member.want(name, told["room"])
                except ValueError as error:
                    raise CommandError("bad_argument", str(error), "a short name, and room=1") from error
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
