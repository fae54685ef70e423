"""The composition root calls every enabled extension and does not import disabled ones."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

import pytest

from cloverrouter import compose
from cloverrouter.lab.peers import Host
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.validity import Gate
from cloverrouter.seams import Command, Core, Direction, Json
from cloverrouter.site import Site
from cloverrouter.site.settings import Control, Vrrp
from tests.standins.appliance import running_appliance
from tests.test_footprint import imported_modules
from tests.test_upstream import node_for

CALLS: list[str] = []


class Fake(Direction):
    """An extension that records the calls of its methods."""

    @staticmethod
    def descriptors(table: Any) -> int:
        return 7

    async def start(self, frontend: Frontend) -> None:
        CALLS.append("start")

    def started(self, frontend: Frontend) -> None:
        CALLS.append("started")

    def commands(self) -> Iterable[Command]:
        CALLS.append("commands")
        yield Command("fake", "Nothing.", lambda operator, arguments: {})

    def add_status(self, status: Json) -> None:
        status["pair"] = {"fake": True}

    def tick(self) -> None:
        CALLS.append("tick")

    def reload(self) -> None:
        CALLS.append("reload")

    def prepare_shutdown(self, final: bool) -> None:
        CALLS.append(f"leave {final}")

    async def close(self) -> None:
        CALLS.append("close")


def test_extension_needs_only_an_entry_in_the_list(monkeypatch: pytest.MonkeyPatch) -> None:
    entries = {name: (module, class_name) for name, module, class_name in compose.DIRECTIONS}
    fake = (("vrrp", "tests.test_directions", "Fake"), ("control", *entries["control"]))
    monkeypatch.setattr(compose, "DIRECTIONS", fake)

    async def scene(folder: str) -> None:
        CALLS.clear()
        site = Site(vrrp=Vrrp(enabled=True), control=Control(enabled=True, directory=folder))
        assert compose.descriptors(site) == 7 + 16 + 4
        node = await node_for({}, [])
        from types import SimpleNamespace

        config: Any = SimpleNamespace(name="n0", settings=SimpleNamespace(classes=(), report_fields=()))
        appliance = compose.Appliance(site, config, node)
        frontend = Frontend(Gate(node, {}, asyncio.get_running_loop().time), 8)
        await appliance.start(frontend)
        appliance.reload()
        appliance.leave()
        appliance.stop_accepting()
        await appliance.close()

    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(scene(folder))
    assert CALLS == [
        "start", "commands", "started", "tick", "reload", "leave False", "leave True", "close",
    ]  # fmt: skip


def test_stop_of_accepting_notifies_every_extension() -> None:
    async def scene() -> None:
        CALLS.clear()
        node = await node_for({}, [])
        frontend = Frontend(Gate(node, {}, asyncio.get_running_loop().time), 8)
        config: Any = None
        core = Core(config, node, "boot")
        core.directions.append(Fake(core, None))
        core.set_accepting(frontend, False)
        assert frontend.gate.refusing and CALLS == ["leave True"]
        core.set_accepting(frontend, True)
        assert not frontend.gate.refusing and CALLS == ["leave True"]

    asyncio.run(scene())


def test_disabled_extension_is_not_imported() -> None:
    async def scene() -> None:
        async with running_appliance([await Host("h0").start()], importtime=True) as (box, proxy, _):
            await box.connect()
            loaded = imported_modules(proxy.log())
            assert "cloverrouter.control.tell" in loaded
            for off in ("vrrp", "http3"):
                assert not [name for name in loaded if name.startswith(f"cloverrouter.{off}")]

    asyncio.run(scene())
