"""What the composition root does with its list, and that one which is off is not there."""

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
from tests.standins.appliance import boxed
from tests.test_footprint import modules
from tests.test_upstream import node_for

HEARD: list[str] = []


class Fake(Direction):
    """A direction that notes what it is asked."""

    @staticmethod
    def descriptors(table: Any) -> int:
        return 7

    async def start(self, frontend: Frontend) -> None:
        HEARD.append("start")

    def started(self, frontend: Frontend) -> None:
        HEARD.append("started")

    def commands(self) -> Iterable[Command]:
        HEARD.append("commands")
        yield Command("fake", "Nothing.", lambda who, told: {})

    def tell(self, status: Json) -> None:
        status["pair"] = {"fake": True}

    def tick(self) -> None:
        HEARD.append("tick")

    def reload(self) -> None:
        HEARD.append("reload")

    def leave(self, final: bool) -> None:
        HEARD.append(f"leave {final}")

    async def close(self) -> None:
        HEARD.append("close")


def test_one_entry_in_the_list_is_all_that_a_direction_needs(monkeypatch: pytest.MonkeyPatch) -> None:
    places = {name: (place, entry) for name, place, entry in compose.DIRECTIONS}
    fake = (("vrrp", "tests.test_directions", "Fake"), ("control", *places["control"]))
    monkeypatch.setattr(compose, "DIRECTIONS", fake)

    async def scene(folder: str) -> None:
        HEARD.clear()
        site = Site(vrrp=Vrrp(enabled=True), control=Control(enabled=True, directory=folder))
        assert compose.descriptors(site) == 7 + 16 + 4
        node = await node_for({}, [])
        from types import SimpleNamespace

        told: Any = SimpleNamespace(name="n0", settings=SimpleNamespace(classes=(), report_fields=()))
        appliance = compose.Appliance(site, told, node)
        frontend = Frontend(Gate(node, {}, asyncio.get_running_loop().time), 8)
        await appliance.start(frontend)
        appliance.reload()
        appliance.leave()
        appliance.stop_taking()
        await appliance.close()

    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(scene(folder))
    assert HEARD == [
        "start", "commands", "started", "tick", "reload", "leave False", "leave True", "close",
    ]  # fmt: skip


def test_proxy_that_leaves_the_work_to_another_tells_every_front() -> None:
    async def scene() -> None:
        HEARD.clear()
        node = await node_for({}, [])
        frontend = Frontend(Gate(node, {}, asyncio.get_running_loop().time), 8)
        told: Any = None
        core = Core(told, node, "boot")
        core.directions.append(Fake(core, None))
        core.take(frontend, False)
        assert frontend.gate.refusing and HEARD == ["leave True"]
        core.take(frontend, True)
        assert not frontend.gate.refusing and HEARD == ["leave True"]

    asyncio.run(scene())


def test_direction_that_is_off_is_not_imported() -> None:
    async def scene() -> None:
        async with boxed([await Host("h0").start()], importtime=True) as (box, proxy, _):
            await box.line()
            loaded = modules(proxy.log())
            assert "cloverrouter.control.tell" in loaded
            for off in ("vrrp", "http3"):
                assert not [name for name in loaded if name.startswith(f"cloverrouter.{off}")]

    asyncio.run(scene())
