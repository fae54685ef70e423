"""The control socket as an extension that the composition root starts."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cloverrouter.control import ControlError, Events, Server, TrafficStats
from cloverrouter.control import tell as queries
from cloverrouter.control.tell import ListedServer, Sources
from cloverrouter.proxy.config import StartError
from cloverrouter.proxy.observer import with_observer
from cloverrouter.roster.guard import condition
from cloverrouter.roster.overlay import Drain
from cloverrouter.seams import Commands, Core, Direction, Json
from cloverrouter.site import Control

if TYPE_CHECKING:
    from cloverrouter.proxy.frontend import Frontend

log = logging.getLogger(__name__)


class Entry(Direction):
    """Serves operators' queries and commands on a Unix socket."""

    table: Control

    def __init__(self, core: Core, table: Control) -> None:
        super().__init__(core, table)
        self._events = Events(core.now_ms)
        core.event_listeners.append(self._events.add)
        self._server: Server | None = None
        self._stats: TrafficStats | None = None

    @staticmethod
    def descriptors(table: Control) -> int:
        return table.clients + 4

    async def start(self, frontend: Frontend) -> None:
        core = self.core
        settings, node = core.config.settings, core.node
        node.pause_detector.on_report = lambda text: core.event("standing", {"text": text})
        names = [cls.name for cls in settings.classes]
        stats = self._stats = TrafficStats(
            names, core.now_ms, lambda text: core.event("module", {"text": text})
        )
        node.observer = frontend.observer = with_observer(node.observer, stats, node.errors)
        sources = Sources(
            core.config.name,
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
            node.pause_detector.pause_report,
            lambda: dict(node.errors.counts),
            lambda: self._status(frontend)["pair"],
            settings.report_fields,
            stats,
            self._events,
        )
        commands = Commands()
        commands.add(*queries.commands(sources, commands), *core.keeper.commands())
        for direction in core.directions:
            commands.add(*direction.commands())
        table = self.table
        self._server = Server(
            core.config.name,
            core.boot,
            table.socket,
            commands,
            self._events,
            table.clients,
            table.queue_kb * 1024,
        )
        try:
            self._server.listen()
        except ControlError as error:
            raise StartError(f"[control]: {error}") from error
        log.info("control: listens at %s", table.socket)

    def _status(self, frontend: Frontend) -> Json:
        count = frontend.count
        status: Json = {"clients": count, "protocols": {"clients": {"HTTP/1.1": count}}, "pair": None}
        for direction in self.core.directions:
            direction.add_status(status)
        return status

    def _protocol(self, server: str) -> str:
        status = {"protocol": "HTTP/1.1"}
        for direction in self.core.directions:
            direction.add_server_status(server, status)
        return status["protocol"]

    def _alarms(self) -> list[str]:
        pause_alarm = self.core.node.pause_detector.alarm()
        return [*self.core.alarms.texts(), *([pause_alarm] if pause_alarm else [])]

    def _roster(self) -> list[ListedServer]:
        overlay = self.core.keeper.overlay
        servers = []
        for name in sorted({*overlay.discovered, *overlay.drains}):
            entry = overlay.discovered.get(name)
            zone = entry.listed.zone if entry is not None else ""
            address = "" if entry is None or entry.address is None else "{}:{}".format(*entry.address)
            servers.append(
                ListedServer(name, overlay.state(name), zone, address, _drain_json(overlay.drains.get(name)))
            )
        return servers

    def tick(self) -> None:
        if self._stats is not None:
            self._stats.tick(self.core.keeper.overlay.discovered)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()


def _drain_json(drain: Drain | None) -> Json | None:
    if drain is None:
        return None
    return {"by": drain.by, "since_ms": drain.since_ms, "until_ms": drain.until_ms, "note": drain.note}
