"""The control socket's entry for the composition root."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cloverrouter.control import Book, ControlError, Events, Server
from cloverrouter.control import tell as telling
from cloverrouter.control.tell import Listed, Sources
from cloverrouter.proxy.config import StartError
from cloverrouter.proxy.observer import joined
from cloverrouter.roster.guard import condition
from cloverrouter.roster.overlay import Drain
from cloverrouter.seams import Commands, Core, Direction, Json
from cloverrouter.site import Control

if TYPE_CHECKING:
    from cloverrouter.proxy.frontend import Frontend

log = logging.getLogger(__name__)


class Entry(Direction):
    """Operators ask, and give commands, over a Unix socket."""

    table: Control

    def __init__(self, core: Core, table: Control) -> None:
        super().__init__(core, table)
        self._events = Events(core.now_ms)
        core.hear.append(self._events.add)
        self._server: Server | None = None
        self._book: Book | None = None

    @staticmethod
    def descriptors(table: Control) -> int:
        return table.clients + 4

    async def start(self, frontend: Frontend) -> None:
        core = self.core
        settings, node = core.told.settings, core.node
        node.wake.on_told = lambda text: core.event("standing", {"text": text})
        names = [cls.name for cls in settings.classes]
        book = self._book = Book(names, core.now_ms, lambda text: core.event("module", {"text": text}))
        node.observer = frontend.observer = joined(node.observer, book, node.errors)
        sources = Sources(
            core.told.name,
            core.boot,
            core.now_ms(),
            core.now_ms,
            node.view,
            self._roster,
            condition,
            lambda: self._status(frontend)["clients"],
            lambda: self._status(frontend)["protocols"],
            self._protocol,
            lambda: frontend.gate.stopping,
            self._alarms,
            node.wake.told,
            lambda: dict(node.errors.counts),
            lambda: self._status(frontend)["pair"],
            settings.report_fields,
            book,
            self._events,
        )
        commands = Commands()
        commands.add(*telling.commands(sources, commands), *core.keeper.commands())
        for direction in core.directions:
            commands.add(*direction.commands())
        own = self.table
        self._server = Server(
            core.told.name, core.boot, own.socket, commands, self._events, own.clients, own.queue_kb * 1024
        )
        try:
            self._server.listen()
        except ControlError as error:
            raise StartError(f"[control]: {error}") from error
        log.info("control: listens at %s", own.socket)

    def _status(self, frontend: Frontend) -> Json:
        count = frontend.count
        found: Json = {"clients": count, "protocols": {"clients": {"HTTP/1.1": count}}, "pair": None}
        for direction in self.core.directions:
            direction.tell(found)
        return found

    def _protocol(self, server: str) -> str:
        found = {"protocol": "HTTP/1.1"}
        for direction in self.core.directions:
            direction.tell_server(server, found)
        return found["protocol"]

    def _alarms(self) -> list[str]:
        stood = self.core.node.wake.alarm()
        return [*self.core.alarms.texts(), *([stood] if stood else [])]

    def _roster(self) -> list[Listed]:
        overlay = self.core.keeper.overlay
        found = []
        for name in sorted({*overlay.told, *overlay.drains}):
            entry = overlay.told.get(name)
            zone = entry.listed.zone if entry is not None else ""
            address = "" if entry is None or entry.address is None else "{}:{}".format(*entry.address)
            found.append(Listed(name, overlay.state(name), zone, address, _told(overlay.drains.get(name))))
        return found

    def tick(self) -> None:
        if self._book is not None:
            self._book.tick(self.core.keeper.overlay.told)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()


def _told(drain: Drain | None) -> Json | None:
    if drain is None:
        return None
    return {"by": drain.by, "since_ms": drain.since_ms, "until_ms": drain.until_ms, "note": drain.note}
