"""The appliance's composition root: which directions are on, and how they hang together.

Imported only where an operators' file is named. It alone knows the directions; they know the seams.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cloverrouter.control import Book, ControlError, Events, Server
from cloverrouter.control import tell as telling
from cloverrouter.control.tell import Listed, Sources
from cloverrouter.interface import ListKind
from cloverrouter.proxy.config import Config, HostList, StartError, read_address
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.observer import joined
from cloverrouter.roster import Keeper
from cloverrouter.roster.guard import condition
from cloverrouter.roster.overlay import Drain
from cloverrouter.seams import Argument, Command, CommandError, Commands, Json, Operator
from cloverrouter.site import Site, SiteError, check

if TYPE_CHECKING:
    from cloverrouter.http3.carrier import Carrier as Http3Carrier
    from cloverrouter.http3.front import Front as Http3Front
    from cloverrouter.vrrp.shell import Box
    from cloverrouter.vrrp.tracking import Fault

TICK_S = 1.0
log = logging.getLogger(__name__)


def read_site(path: str) -> Site:
    """Raises `SiteError`, a ValueError: the program does not start on a file that is wrong."""
    return check(path)


def descriptors(site: Site) -> int:
    """How many descriptors the appliance may hold, which requests then can't."""
    control = site.control.clients + 4 if site.control.enabled else 0
    carrier = site.http3_servers.connections if site.http3_servers.enabled else 0
    return control + site.vrrp.enabled + site.http3.enabled + carrier


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


class Appliance:
    """All that the operators' file turned on, for one node."""

    def __init__(self, site: Site, told: Config, node: Node) -> None:
        self._site, self._told, self._node = site, told, node
        self._alarms = Alarms()
        self._boot = secrets.token_hex(4)
        self._server: Server | None = None
        self._box: Box | None = None
        self._frontend: Frontend | None = None
        self._http3: Http3Front | None = None
        self._carrier = self._carry(told, node) if site.http3_servers.enabled else None
        self._tick: asyncio.TimerHandle | None = None
        self._events = Events(_now_ms)
        folder = None
        if site.state.enabled:
            folder = Path(site.state.directory)
        try:
            if folder is not None:
                folder.mkdir(mode=0o700, exist_ok=True)
            self.keeper = Keeper(folder, node.listed, node.view, self._event, self._alarms.set)
        except OSError as error:
            raise StartError(f"[state]: {error}") from error
        self._book: Book | None = None

    def _event(self, kind: str, what: Json) -> None:
        self._events.add(kind, what)

    def listed(self, kind: ListKind, found: HostList) -> None:
        self.keeper.listed(kind, found)

    async def start(self, frontend: Frontend) -> None:
        """Open the pair's and the control socket. Raises `StartError`."""
        if self._site.vrrp.enabled:
            self._box = await self._pair(frontend)
            self._frontend = frontend
        if self._site.http3.enabled:
            self._http3 = self._open_http3(frontend)
        self._open_control(frontend)
        if self._http3 is not None:
            self._http3.observer = frontend.observer
        if self._book is not None or self._box is not None:
            self._on_tick()

    def _carry(self, told: Config, node: Node) -> Http3Carrier:
        """Put the carrier of HTTP/3 before the node's own. Raises `StartError`."""
        try:
            from cloverrouter.http3.carrier import Carrier
            from cloverrouter.http3.ways import Speech
            from cloverrouter.http3.wire import client_settings
        except ImportError as error:
            raise StartError(f"[http3_servers] needs what requirements-http3.txt names: {error}") from error

        own = self._site.http3_servers
        try:
            settings = client_settings(own.authority)
        except (OSError, ValueError) as error:
            raise StartError(f"[http3_servers]: {error}") from error
        speech = Speech(frozenset(own.servers), own.fallback)
        wait_ms, idle_ms = told.settings.limits.connect_timeout_ms, told.conn_idle_ms
        carrier = Carrier(
            node.carrier, speech, settings, own.name, own.connections, wait_ms, idle_ms, node.seen
        )
        node.carrier = carrier
        return carrier

    def _open_http3(self, frontend: Frontend) -> Http3Front:
        # Imported here: a box that does not speak it loads nothing of it.
        try:
            from cloverrouter.http3.front import Front
        except ImportError as error:
            raise StartError(f"[http3] needs what requirements-http3.txt names: {error}") from error

        told, gate = self._site.http3, frontend.gate
        try:
            front = Front(gate, frontend.keeping, (told.certificate, told.key), told.connections)
            _, port = front.listen(read_address(told.listen))
        except (OSError, ValueError) as error:
            raise StartError(f"[http3]: {error}") from error
        if told.alt_svc:
            gate.alt_svc = b'Alt-Svc: h3=":%d"; ma=%d\r\n' % (port, told.alt_svc_s)
        log.info("http3: listens at %s", told.listen)
        return front

    def reload(self) -> None:
        """SIGHUP: files that the operators may have replaced are read again; bad ones change nothing."""
        if self._http3 is not None:
            self._reread("http3", "certificate and key", self._http3.recertify)
        carrier = self._carrier
        if carrier is not None:
            from cloverrouter.http3.wire import client_settings

            path = self._site.http3_servers.authority
            self._reread("http3_servers", "authority", lambda: carrier.retrust(client_settings(path)))

    def _reread(self, name: str, what: str, step: Callable[[], None]) -> None:
        try:
            step()
        except (OSError, ValueError) as error:
            log.error("%s: %s not reread: %s", name, what, error)
            self._alarms.set(name, f"[{name}]: {what} not reread: {error}")
        else:
            self._alarms.set(name, None)
            self._event(name, {"text": f"{what} reread"})

    def _open_control(self, frontend: Frontend) -> None:
        settings = self._told.settings
        if not self._site.control.enabled:
            return
        self._node.wake.on_told = lambda text: self._event("standing", {"text": text})
        names = [cls.name for cls in settings.classes]
        book = self._book = Book(names, _now_ms, lambda text: self._event("module", {"text": text}))
        self._node.observer = frontend.observer = joined(self._node.observer, book)
        sources = Sources(
            self._told.name,
            self._boot,
            _now_ms(),
            _now_ms,
            self._node.view,
            self._roster,
            condition,
            lambda: frontend.count + (0 if self._http3 is None else self._http3.open),
            lambda: self._protocols(frontend),
            lambda server: "HTTP/1.1" if self._carrier is None else self._carrier.told(server),
            lambda: frontend.gate.stopping,
            self._told_alarms,
            self._node.wake.told,
            lambda: None if self._box is None else self._box.role(),
            settings.report_fields,
            book,
            self._events,
        )
        commands = Commands()
        commands.add(*telling.commands(sources, commands), *self.keeper.commands())
        if self._box is not None:
            commands.add(vrrp_command(self._box, self._event))
        control = self._site.control
        self._server = Server(
            self._told.name,
            self._boot,
            control.socket,
            commands,
            self._events,
            control.clients,
            control.queue_kb * 1024,
        )
        try:
            self._server.listen()
        except ControlError as error:
            raise StartError(f"[control]: {error}") from error
        log.info("control: listens at %s", control.socket)

    def _told_alarms(self) -> list[str]:
        stood = self._node.wake.alarm()
        return [*self._alarms.texts(), *([stood] if stood else [])]

    def _protocols(self, frontend: Frontend) -> Json:
        found: Json = {"clients": {"HTTP/1.1": frontend.count}}
        if self._http3 is not None:
            found["clients"]["HTTP/3"] = self._http3.open
            found["HTTP/3 from clients"] = dict(self._http3.count)
        if self._carrier is not None:
            found["HTTP/3 to servers"] = dict(self._carrier.count)
        return found

    async def _pair(self, frontend: Frontend) -> Box:
        # Imported here: a box that is no member of a pair loads nothing of it.
        from cloverrouter.vrrp.compose import make_box

        def changed(taking: bool) -> None:
            frontend.gate.refusing = not taking
            if not taking:
                frontend.close_idle()  # clients look for the box that takes
                if self._http3 is not None:
                    self._http3.leave(final=True)

        frontend.gate.refusing = True
        vrrp = self._site.vrrp
        try:
            box = make_box(vrrp, changed, lambda text: self._event("vrrp", {"text": text}), self._alarms.set)
            self._node.admission = box
            await box.open(read_address(vrrp.listen))
        except (OSError, ValueError) as error:
            raise StartError(f"[vrrp]: {error}") from error
        return box

    def _faults(self, frontend: Frontend) -> frozenset[Fault]:
        from cloverrouter.vrrp.tracking import Fault

        view = self._node.view()
        found = {
            Fault.NO_SERVER: not any(endpoint.healthy for endpoint in view.endpoints),
            Fault.DISCOVERY: view.discovery_lost,
            Fault.DESCRIPTORS: frontend.nearly_full,
        }
        return frozenset(fault for fault, there in found.items() if there)

    def leave(self) -> None:
        """The proxy is about to end: the other box of a pair may take from here on."""
        if self._box is not None:
            self._box.hand_over()
        if self._http3 is not None:
            self._http3.leave(final=False)

    def stop_taking(self) -> None:
        """From here on what comes is turned away by every front."""
        if self._http3 is not None:
            self._http3.leave(final=True)

    def _roster(self) -> list[Listed]:
        overlay = self.keeper.overlay
        found = []
        for name in sorted({*overlay.told, *overlay.drains}):
            entry = overlay.told.get(name)
            zone = entry.listed.zone if entry is not None else ""
            address = "" if entry is None or entry.address is None else "{}:{}".format(*entry.address)
            found.append(Listed(name, overlay.state(name), zone, address, _told(overlay.drains.get(name))))
        return found

    def _on_tick(self) -> None:
        if self._book is not None:
            self._book.tick(self.keeper.overlay.told)
        if self._box is not None and self._frontend is not None:
            self._box.track(self._faults(self._frontend))
        self._tick = asyncio.get_running_loop().call_later(TICK_S, self._on_tick)

    async def close(self) -> None:
        if self._tick is not None:
            self._tick.cancel()
        if self._box is not None:
            self._box.close()
        if self._http3 is not None:
            await self._http3.close()
        if self._carrier is not None:
            self._carrier.close()
        if self._server is not None:
            self._server.close()
        await self.keeper.close()


def vrrp_command(box: Box, event: Callable[[str, Json], None]) -> Command:
    """`vrrp status`, `handover`, `resume` and `alone`."""

    def run(who: Operator, told: Mapping[str, Any]) -> Json:
        before = box.told()
        match told["action"]:
            case "status":
                return before
            case "handover":
                box.hand_over()
            case "resume":
                box.resume()
            case "alone":
                if told["confirm"] != "off":
                    raise CommandError(
                        "not_confirmed",
                        "alone is for a peer that is switched off: if it is not, both boxes may take work",
                        "switch it off, then say: vrrp alone confirm=off",
                    )
                box.vouch()
            case other:
                right = "status, handover, resume or alone"
                raise CommandError("bad_argument", f"action is {other!r}", right)
        after = box.told()
        log.warning("vrrp %s by %s: %s -> %s", told["action"], who, before["state"], after["state"])
        event("vrrp", {"text": f"{told['action']} by {who}: {before['state']} -> {after['state']}"})
        return {**after, "by": str(who), "before": before["state"], "at_ms": _now_ms()}

    return Command(
        "vrrp",
        "The pair: role, votes and reasons; hand over, resume, or go alone.",
        run,
        (
            Argument("action", str, "status, handover, resume or alone", required=True),
            Argument("confirm", str, "off: the peer is switched off"),
        ),
        changes=True,
    )


def _told(drain: Drain | None) -> Json | None:
    if drain is None:
        return None
    return {"by": drain.by, "since_ms": drain.since_ms, "until_ms": drain.until_ms, "note": drain.note}


def _now_ms() -> float:
    return time.time() * 1000


__all__ = ["Appliance", "SiteError", "StartError", "descriptors", "read_site"]
