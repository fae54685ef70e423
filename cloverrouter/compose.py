"""The composition root: which directions are on, in a list. It knows them by one protocol, `seams.Direction`.

Imported only where an operators' file is named. A direction that is off is not imported.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from functools import partial
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cloverrouter.interface import ListKind
from cloverrouter.proxy.config import Config, HostList, StartError
from cloverrouter.proxy.containment import Periodic
from cloverrouter.roster import Keeper
from cloverrouter.seams import Core, Direction
from cloverrouter.site import Site, SiteError, check

if TYPE_CHECKING:
    from cloverrouter.proxy.frontend import Frontend
    from cloverrouter.proxy.node import Node

TICK_S = 1.0
# Tables of the operators' file, and where their directions are. They start in this order, so that the last
# one can ask the others for what it tells; they close in it, too.
DIRECTIONS: tuple[tuple[str, str, str], ...] = (
    ("log", "cloverrouter.logs.direction", "Entry"),
    ("vrrp", "cloverrouter.vrrp.direction", "Entry"),
    ("leases", "cloverrouter.leases.direction", "Entry"),
    ("http3", "cloverrouter.http3.direction", "Clients"),
    ("http3_servers", "cloverrouter.http3.direction", "Servers"),
    ("control", "cloverrouter.control.direction", "Entry"),
)


def read_site(path: str) -> Site:
    """Raises `SiteError`, a ValueError: the program does not start on a file that is wrong."""
    return check(path)


def turned_on(site: Site) -> list[tuple[type[Direction], Any]]:
    """The directions that the file turns on, each with its table."""
    tables = ((getattr(site, name), place, entry) for name, place, entry in DIRECTIONS)
    return [(getattr(import_module(place), entry), table) for table, place, entry in tables if table.enabled]


def descriptors(site: Site) -> int:
    """How many descriptors the directions may hold, which requests then can't."""
    return sum(entry.descriptors(table) for entry, table in turned_on(site))


class Appliance:
    """All that the operators' file turned on, for one node."""

    def __init__(self, site: Site, told: Config, node: Node) -> None:
        """Raises `StartError`."""
        self._core = core = Core(told, node, secrets.token_hex(4))
        self._errors = node.errors
        self._tick: Periodic | None = None
        folder = Path(site.state.directory) if site.state.enabled else None
        try:
            if folder is not None:
                folder.mkdir(mode=0o700, exist_ok=True)
            core.keeper = Keeper(folder, node.listed, node.view, core.event, core.alarms.set)
        except OSError as error:
            raise StartError(f"[state]: {error}") from error
        for entry, table in turned_on(site):
            core.directions.append(entry(core, table))

    def listed(self, kind: ListKind, found: HostList) -> None:
        self._core.keeper.listed(kind, found)

    async def start(self, frontend: Frontend) -> None:
        """Raises `StartError`."""
        for direction in self._core.directions:
            await direction.start(frontend)
        for direction in self._core.directions:
            direction.started(frontend)
        if self._core.directions:
            self._on_tick()
            loop = asyncio.get_running_loop()
            self._tick = Periodic(loop, self._errors, "tick", TICK_S, self._on_tick)

    def reload(self) -> None:
        """SIGHUP: files that the operators may have replaced are read again; bad ones change nothing."""
        self._each("reload", lambda direction: direction.reload())

    def leave(self) -> None:
        """The proxy is about to end."""
        self._each("leave", lambda direction: direction.leave(final=False))

    def stop_taking(self) -> None:
        """From here on what comes is turned away by every front."""
        self._each("leave", lambda direction: direction.leave(final=True))

    def _on_tick(self) -> None:
        self._each("tick", lambda direction: direction.tick())

    def _each(self, place: str, step: Callable[[Direction], None]) -> None:
        """Take a step of each direction; one that fails keeps neither the others nor a drain from theirs."""
        for direction in self._core.directions:
            self._errors.run(place, partial(step, direction), type(direction).__name__)

    async def close(self) -> None:
        if self._tick is not None:
            self._tick.cancel()
        for direction in self._core.directions:
            try:
                await direction.close()
            except Exception as error:
                self._errors.report("close", error, type(direction).__name__)
        await self._core.keeper.close()


__all__ = ["Appliance", "SiteError", "StartError", "descriptors", "read_site"]
