"""Composition root: constructs and runs the extensions that the operators' file enables.

It uses them only through their base class, `seams.Direction`. This module is imported only if an operators'
file is named, and the module of an extension only if that extension is enabled.
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
# Table of the operators' file, module and class of each extension. They start in this order, so that the
# last one, `control`, can read the status of the others; they close in the same order.
DIRECTIONS: tuple[tuple[str, str, str], ...] = (
    ("log", "cloverrouter.logs.direction", "Entry"),
    ("vrrp", "cloverrouter.vrrp.direction", "Entry"),
    ("leases", "cloverrouter.leases.direction", "Entry"),
    ("http3", "cloverrouter.http3.direction", "Clients"),
    ("http3_servers", "cloverrouter.http3.direction", "Servers"),
    ("control", "cloverrouter.control.direction", "Entry"),
)


def read_site(path: str) -> Site:
    """Load and check the operators' file.

    Raises `SiteError`, a ValueError: the program does not start with an invalid file.
    """
    return check(path)


def enabled_directions(site: Site) -> list[tuple[type[Direction], Any]]:
    """Return the classes of the enabled extensions, each with its table."""
    tables = ((getattr(site, name), module, class_name) for name, module, class_name in DIRECTIONS)
    return [
        (getattr(import_module(module), class_name), table)
        for table, module, class_name in tables
        if table.enabled
    ]


def descriptors(site: Site) -> int:
    """Return the number of file descriptors that extensions may use, unavailable to requests."""
    return sum(extension.descriptors(table) for extension, table in enabled_directions(site))


class Appliance:
    """The extensions of one node, as the operators' file enables them."""

    def __init__(self, site: Site, config: Config, node: Node) -> None:
        """Construct the enabled extensions. Raises `StartError`."""
        self._core = core = Core(config, node, secrets.token_hex(4))
        self._errors = node.errors
        self._tick: Periodic | None = None
        folder = Path(site.state.directory) if site.state.enabled else None
        try:
            if folder is not None:
                folder.mkdir(mode=0o700, exist_ok=True)
            core.keeper = Keeper(folder, node.listed, node.view, core.event, core.alarms.set)
        except OSError as error:
            raise StartError(f"[state]: {error}") from error
        for extension, table in enabled_directions(site):
            core.directions.append(extension(core, table))

    def listed(self, kind: ListKind, found: HostList) -> None:
        self._core.keeper.listed(kind, found)

    async def start(self, frontend: Frontend) -> None:
        """Start the extensions, then their periodic work. Raises `StartError`."""
        for direction in self._core.directions:
            await direction.start(frontend)
        for direction in self._core.directions:
            direction.started(frontend)
        if self._core.directions:
            self._on_tick()
            loop = asyncio.get_running_loop()
            self._tick = Periodic(loop, self._errors, "tick", TICK_S, self._on_tick)

    def reload(self) -> None:
        """Reload files that operators may have replaced, on SIGHUP; invalid ones change nothing."""
        self._each("reload", lambda direction: direction.reload())

    def leave(self) -> None:
        """Notify the extensions that the proxy is about to shut down."""
        self._each("leave", lambda direction: direction.prepare_shutdown(final=False))

    def stop_accepting(self) -> None:
        """Make every frontend reject new requests from here on."""
        self._each("leave", lambda direction: direction.prepare_shutdown(final=True))

    def _on_tick(self) -> None:
        self._each("tick", lambda direction: direction.tick())

    def _each(self, place: str, step: Callable[[Direction], None]) -> None:
        """Run `step` for each extension; an exception stops neither the other extensions nor a drain."""
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
