"""An error in one direction, or in one of its members or clients, does not affect the others."""

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
from cloverrouter.rights import LeaseTerms
from cloverrouter.seams import Core
from cloverrouter.vrrp import shell
from cloverrouter.vrrp.pair import PairConfig
from tests.faults.test_containment import raise_error
from tests.http3.test_front import Scene
from tests.test_upstream import until
from tests.test_wake import run_scene
from tests.vrrp.test_loopback import free_address

pytestmark = pytest.mark.usefixtures("errors_may_be_contained")


def test_event_reaches_the_listeners_after_one_that_raises() -> None:
    errors, received = ContainedErrors(), list[str]()
    core = Core(cast(Any, None), cast(Any, SimpleNamespace(errors=errors)), "boot")
    core.event_listeners = [raise_error, lambda kind, what: received.append(kind)]
    core.event("roster", {})
    assert received == ["roster"] and errors.counts == {"event": 1}


@pytest.mark.parametrize(
    "step", [Appliance.reload, Appliance.leave, Appliance.stop_accepting, Appliance._on_tick]
)
def test_step_runs_in_the_directions_after_one_that_raises(step: Callable[[Appliance], None]) -> None:
    errors, ran = ContainedErrors(), list[str]()
    names = ("reload", "prepare_shutdown", "tick")
    first = SimpleNamespace(**dict.fromkeys(names, raise_error))
    second = SimpleNamespace(**dict.fromkeys(names, lambda **arguments: ran.append("second")))
    appliance = object.__new__(Appliance)
    appliance._core = cast(Any, SimpleNamespace(directions=[first, second]))
    appliance._errors = errors
    step(appliance)
    assert ran == ["second"] and errors.counts.total() == 1


def test_directions_after_one_that_raises_are_closed() -> None:
    async def scene(loop: Loop) -> None:
        closed: list[str] = []

        async def fails() -> None:
            raise_error()

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

    run_scene(scene)


def test_vrrp_node_keeps_its_timer_after_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the timer it would neither renew its lease nor advertise, and the pair would have no holder."""

    async def scene(loop: Loop) -> None:
        config = PairConfig("a", "b", {"a": 1, "b": 0}, 150, 1, ip_address("127.77.0.51"))
        addresses = {"b": free_address("127.77.0.52")}
        node = shell.VrrpNode(
            config, 1, addresses, 1, (ip_address("127.9.9.9"),), b"sixteen bytes and more",
            lambda taking: None, lambda text: None, lambda name, text: None,
        )  # fmt: skip
        await node.open(free_address("127.77.0.51"))
        await until(lambda: not node.refusal())
        failures = 3
        original = node.socket.send

        def send(target: str, kind: int, payload: bytes = b"") -> None:
            nonlocal failures
            if failures:
                failures -= 1
                raise_error()
            original(target, kind, payload)

        monkeypatch.setattr(node.socket, "send", send)
        await until(lambda: not failures)
        sent: list[int] = []
        monkeypatch.setattr(node.socket, "send", lambda target, kind, payload=b"": sent.append(kind))
        await until(lambda: len(sent) >= 2)
        node.close()

    run_scene(scene)


def test_lease_task_that_raises_does_not_block_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        member = Member("p1", 1, {}, ("p1",), LeaseTerms(), None)
        await member.open(free_address("127.77.0.61"))
        member.contend("bad")
        member.contend("good")
        original = Claim.tick

        def tick(self: Claim, now_ms: float) -> Any:
            return raise_error() if self.task == "bad" else original(self, now_ms)

        monkeypatch.setattr(Claim, "tick", tick)
        await until(lambda: loop.contained_errors.counts["lease_tick"] >= 2)
        await until(lambda: member.current_lease("good"))
        member.close()

    run_scene(scene)


def test_http3_connection_that_raises_is_closed_and_the_others_are_served(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """The datagrams of all connections arrive at one socket and are read together."""

    async def scene(loop: Loop) -> None:
        s = Scene(tmp_path)
        s.address = s.front.listen(("127.0.0.1", 0))
        clients = [await s.client("aioquic") for _ in range(3)]
        bad = next(iter(s.front._connections))
        original = Connection.settle
        monkeypatch.setattr(
            Connection, "settle", lambda self: raise_error() if self is bad else original(self)
        )
        numbers = [(client, client.send("/unsafe")) for client in clients]
        await until(lambda: len(s.handler.calls) == 2)
        await until(lambda: s.front.open == 2)
        assert loop.contained_errors.counts == {"http3_settle": 1} and len(numbers) == 3
        for client in clients:
            client.close()
        await s.front.close()

    run_scene(scene)


def test_http3_check_covers_the_connections_after_one_that_raises(
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
                raise_error()
            checked.append(self)

        monkeypatch.setattr(Connection, "check", check)
        await until(lambda: len(checked) >= 4)
        assert s.front.open == 2
        for client in clients:
            client.close()
        await s.front.close()

    run_scene(scene)
