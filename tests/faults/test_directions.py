"""An error in one of the operators' directions, or of one member or client of it, stops no other."""

from __future__ import annotations

from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from cloverrouter.compose import Appliance
from cloverrouter.http3.front import Connection
from cloverrouter.leases.claim import Claim
from cloverrouter.leases.shell import Member
from cloverrouter.proxy.containment import ContainedErrors
from cloverrouter.proxy.wake import Loop
from cloverrouter.rights import Terms
from cloverrouter.seams import Core
from cloverrouter.vrrp import shell
from cloverrouter.vrrp.pair import Shape
from tests.faults.test_containment import boom
from tests.http3.test_front import Scene
from tests.test_upstream import until
from tests.test_wake import play
from tests.vrrp.test_loopback import free_address

pytestmark = pytest.mark.usefixtures("errors_may_be_contained")


def test_event_is_heard_by_all_also_behind_one_that_raises() -> None:
    errors, heard = ContainedErrors(), list[str]()
    core = Core(cast(Any, None), cast(Any, SimpleNamespace(errors=errors)), "boot")
    core.hear = [boom, lambda kind, what: heard.append(kind)]
    core.event("roster", {})
    assert heard == ["roster"] and errors.counts == {"event": 1}


@pytest.mark.parametrize(
    "step", [Appliance.reload, Appliance.leave, Appliance.stop_taking, Appliance._on_tick]
)
def test_each_direction_takes_its_step_also_behind_one_that_raises(step: Callable[[Appliance], None]) -> None:
    errors, took = ContainedErrors(), list[str]()
    names = ("reload", "leave", "tick")
    first = SimpleNamespace(**dict.fromkeys(names, boom))
    second = SimpleNamespace(**dict.fromkeys(names, lambda **told: took.append("second")))
    appliance = object.__new__(Appliance)
    appliance._core = cast(Any, SimpleNamespace(directions=[first, second]))
    appliance._errors = errors
    step(appliance)
    assert took == ["second"] and errors.counts.total() == 1


def test_all_directions_are_closed_also_behind_one_that_raises() -> None:
    async def scene(loop: Loop) -> None:
        closed: list[str] = []

        async def fails() -> None:
            boom()

        async def closes() -> None:
            closed.append("closed")

        appliance = object.__new__(Appliance)
        appliance._errors = ContainedErrors()
        appliance._tick = None
        directions = [SimpleNamespace(close=fails), SimpleNamespace(close=closes)]
        appliance._core = cast(
            Any, SimpleNamespace(directions=directions, keeper=SimpleNamespace(close=closes))
        )
        await appliance.close()
        assert closed == ["closed", "closed"]

    play(scene)


def test_box_of_a_pair_keeps_its_timer_after_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without one it would neither renew its lease nor advertise, and the pair would have nobody."""

    async def scene(loop: Loop) -> None:
        shape = Shape("a", "b", {"a": 1, "b": 0}, 150, 1, ip_address("127.77.0.51"))
        addresses = {"b": free_address("127.77.0.52")}
        box = shell.Box(
            shape, 1, addresses, 1, (ip_address("127.9.9.9"),), b"sixteen bytes and more",
            lambda taking: None, lambda text: None, lambda name, text: None,
        )  # fmt: skip
        await box.open(free_address("127.77.0.51"))
        await until(lambda: not box.refusal())
        failures = 3
        real = box.post.send

        def send(target: str, kind: int, payload: bytes = b"") -> None:
            nonlocal failures
            if failures:
                failures -= 1
                boom()
            real(target, kind, payload)

        monkeypatch.setattr(box.post, "send", send)
        await until(lambda: not failures)
        sent: list[int] = []
        monkeypatch.setattr(box.post, "send", lambda target, kind, payload=b"": sent.append(kind))
        await until(lambda: len(sent) >= 2)
        box.close()

    play(scene)


def test_one_task_that_raises_keeps_no_other_from_its_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        member = Member("p1", 1, {}, ("p1",), Terms(), None)
        await member.open(free_address("127.77.0.61"))
        member.want("bad")
        member.want("good")
        real = Claim.tick

        def tick(self: Claim, now_ms: float) -> Any:
            return boom() if self.task == "bad" else real(self, now_ms)

        monkeypatch.setattr(Claim, "tick", tick)
        await until(lambda: loop.contained_errors.counts["lease_tick"] >= 2)
        await until(lambda: member.may_act("good"))
        member.close()

    play(scene)


def test_http3_connection_that_raises_ends_and_the_others_are_settled(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Their datagrams lie in one socket, and are read together."""

    async def scene(loop: Loop) -> None:
        s = Scene(tmp_path)
        s.address = s.front.listen(("127.0.0.1", 0))
        clients = [await s.client("aioquic") for _ in range(3)]
        bad = next(iter(s.front._connections))
        real = Connection.settle
        monkeypatch.setattr(Connection, "settle", lambda self: boom() if self is bad else real(self))
        numbers = [(client, client.send("/unsafe")) for client in clients]
        await until(lambda: len(s.handler.calls) == 2)
        await until(lambda: s.front.open == 2)
        assert loop.contained_errors.counts == {"http3_settle": 1} and len(numbers) == 3
        for client in clients:
            client.close()
        await s.front.close()

    play(scene)


def test_http3_sweep_goes_on_behind_a_connection_that_raises(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def scene(loop: Loop) -> None:
        s = Scene(tmp_path)
        s.address = s.front.listen(("127.0.0.1", 0))
        clients = [await s.client("aioquic") for _ in range(3)]
        bad = next(iter(s.front._connections))
        checked: list[Connection] = []

        def check(self: Connection, now_s: float, crowded: bool, handshake_s: float) -> None:
            if self is bad:
                boom()
            checked.append(self)

        monkeypatch.setattr(Connection, "check", check)
        await until(lambda: len(checked) >= 4)
        assert s.front.open == 2
        for client in clients:
            client.close()
        await s.front.close()

    play(scene)
