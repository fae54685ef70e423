"""I/O around the overlay: timers, the file, and the commands `drain` and `restore`.

The check, the overlay's change and the update of the decision module run without an await between them:
if two operators drain the last two servers at once, only one succeeds. The change is then saved off the
event loop, and the response waits for the save.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from cloverrouter.interface import BalancerView, ListKind
from cloverrouter.proxy.config import HostList
from cloverrouter.roster.guard import check_drain
from cloverrouter.roster.overlay import Change, Drain, Overlay, TooManyDrains, UnknownServer
from cloverrouter.roster.store import Store
from cloverrouter.seams import Argument, Command, CommandError, Json, Operator

LONGEST_TIMER_S = 3600.0  # the wall clock may be set: recheck it at least this often
log = logging.getLogger(__name__)


def now_unix_ms() -> float:
    return time.time() * 1000


class Keeper:
    """Applies operators' drains to discovery's list.

    `tell` sends a list to the node, `view` returns the decision module's view, `event` reports each change,
    and `alarm` sets an alarm, or clears it with None.
    """

    def __init__(
        self,
        directory: Path | None,
        tell: Callable[[ListKind, HostList], None],
        view: Callable[[], BalancerView],
        event: Callable[[str, Json], None],
        alarm: Callable[[str, str | None], None],
    ) -> None:
        self._tell, self._view, self._event, self._alarm = tell, view, event, alarm
        self._store = Store(directory) if directory is not None else None
        self._saving = asyncio.Lock()
        self._timer: asyncio.TimerHandle | None = None
        drains: list[Drain] = []
        if self._store is not None:
            drains, aside = self._store.load()
            if aside is not None:
                log.error("the drains could not be read and none is in force; set aside as %s", aside)
                alarm("drains", f"drains unreadable, none in force; set aside as {aside}")
        self.overlay = Overlay(drains)
        self.overlay.expire(now_unix_ms())
        for drain in self.overlay.drains.values():
            log.warning("still drained: %s, by %s", drain.server, drain.by)
        self._schedule()

    # Discovery

    def listed(self, kind: ListKind, found: HostList) -> None:
        before = {name: self.overlay.state(name) for name in self.overlay.discovered}
        overlaid = self.overlay.listed(kind, found)
        self._tell(kind, overlaid)
        changed = [entry.listed.name for entry in found.entries] if kind is ListKind.DELTA else []
        for name in changed or dict.fromkeys((*before, *self.overlay.discovered)):
            old, new = before.get(name, "absent"), self.overlay.state(name)
            if old.removeprefix("drained+") != new.removeprefix("drained+"):
                self._event("roster", {"server": name, "before": old, "after": new, "by": "discovery"})

    # Operators

    def commands(self) -> tuple[Command, ...]:
        server = Argument("server", str, "the server's id", required=True)
        return (
            Command(
                "drain",
                "Send nothing new to a server; what is out there ends.",
                self._drain,
                (
                    server,
                    Argument(
                        "minutes", float, "undo it by itself after so long", minimum=0.01, maximum=525_600
                    ),
                    Argument("note", str, "why, for the others", default=""),
                    Argument("confirm", str, "the server's id again, to drain the last one that works"),
                ),
                changes=True,
            ),
            Command("restore", "Undo a drain.", self._restore, (server,), changes=True),
        )

    async def _drain(self, operator: Operator, arguments: Mapping[str, Any]) -> Json:
        server, minutes, now_ms = arguments["server"], arguments["minutes"], now_unix_ms()
        if self.overlay.state(server) == "ready":
            last = check_drain(self._view().endpoints, server)
            if last is not None and arguments["confirm"] != server:
                raise CommandError(
                    "last_healthy",
                    last.text(),
                    f"to drain it all the same, confirm with its name: {server}",
                    remaining=dict(last.remaining),
                )
        until_ms = None if minutes is None else now_ms + minutes * 60_000
        try:
            old = self.overlay.drains.get(server)
            change = self.overlay.drain(Drain(server, str(operator), now_ms, until_ms, arguments["note"]))
        except UnknownServer:
            raise self._unknown(server) from None
        except TooManyDrains:
            text = "too many drains are in force"
            raise CommandError("too_many", text, "restore some that are absent") from None
        return await self._done("drain", operator, change, old != change.drain)

    async def _restore(self, operator: Operator, arguments: Mapping[str, Any]) -> Json:
        try:
            change = self.overlay.restore(arguments["server"])
        except UnknownServer:
            raise self._unknown(arguments["server"]) from None
        return await self._done("restore", operator, change, change.before != change.after)

    def _unknown(self, server: str) -> CommandError:
        known = sorted(self.overlay.discovered)
        some = ", ".join(known[:12]) + (f" and {len(known) - 12} more" if len(known) > 12 else "")
        return CommandError("no_server", f"no server is named {server!r}", f"known: {some or 'none'}")

    async def _done(self, command: str, operator: Operator, change: Change, changed: bool) -> Json:
        at_ms = now_unix_ms()
        until_ms = change.drain.until_ms if change.drain else None
        fields = {
            "server": change.server,
            "before": change.before,
            "after": change.after,
            "by": str(operator),
        }
        if changed:
            if change.update is not None:
                self._tell(ListKind.DELTA, change.update)
            self._schedule()
            log.warning(
                "%s %s by %s: %s -> %s", command, change.server, operator, change.before, change.after
            )
            note = change.drain.note if change.drain else ""
            self._event("operator", {**fields, "command": command, "until_ms": until_ms, "note": note})
        saved = await self._save() if changed else self._store is not None
        return {**fields, "changed": changed, "at_ms": at_ms, "until_ms": until_ms, "saved": saved}

    async def _save(self) -> bool:
        """Save the drains in a thread: a slow sync on the event loop would stall every request."""
        if self._store is None:
            return False
        async with self._saving:
            drains = list(self.overlay.drains.values())  # read under the lock: the last save is complete
            try:
                await asyncio.get_running_loop().run_in_executor(None, self._store.save, drains)
            except OSError as error:
                log.error("drains are in force but not saved: %s", error)
                self._alarm("save", f"drains are in force but not saved: {error}")
                return False
        self._alarm("save", None)
        return True

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_ms = self.overlay.next_expiry_ms()
        if due_ms is not None:
            wait_s = min(LONGEST_TIMER_S, max(0.0, (due_ms - now_unix_ms()) / 1000) + 0.001)
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._expire)

    def _expire(self) -> None:
        changes = self.overlay.expire(now_unix_ms())
        for change in changes:
            if change.update is not None:
                self._tell(ListKind.DELTA, change.update)
            log.warning("the drain of %s is over: %s -> %s", change.server, change.before, change.after)
            fields = {"server": change.server, "before": change.before, "after": change.after}
            self._event("operator", {**fields, "by": "its time", "command": "restore", "until_ms": None})
        if changes:
            self._saver = asyncio.get_running_loop().create_task(self._save())
        self._schedule()

    async def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        async with self._saving:  # waits for a save in progress
            pass
