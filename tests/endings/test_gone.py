"""No attempt begins for a client that has gone, wherever its request waits, and whatever the loop has heard.

`deaf` puts the client's end where a busy loop would leave it: in the kernel, unread. `stays` is the check of
each scene: the request of a client that does not leave is sent on.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from cloverrouter.http3 import front as http3
from cloverrouter.interface import (
    Idempotency,
    Limits,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestClass,
    Send,
    Settings,
)
from cloverrouter.lab.peers import Host, Respond, Seen, never, ok
from cloverrouter.proxy import server_pool
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.proxy.exchange import Exchange
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.server_connection import ServerConnection
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.proxy.validity import Gate
from cloverrouter.proxy.wake import Loop
from tests.endings.test_front import fin, half_close, rst
from tests.http3.test_carrier import Wanted
from tests.http3.test_carrier import scene as carrier_scene
from tests.http3.test_front import Scene
from tests.test_upstream import FakeCall, full_listener, until
from tests.test_wake import play
from tests.test_waking_front import connect

SETTINGS = Settings(
    (
        RequestClass("unsafe", 6000, 9000, idempotency=Idempotency.UNSAFE),
        RequestClass("keyed", 6000, 9000, idempotency=Idempotency.KEYED, repeat_window_ms=9000),
    ),
    limits=Limits(max_attempts=3, connect_timeout_ms=5000.0),
)
CLASSES = {cls.name: cls.idempotency for cls in SETTINGS.classes}
HOSTS: list[Host] = []
Leave = Callable[[socket.socket], None]


def stays(client: socket.socket) -> None:
    """It waits on."""


ALL = pytest.mark.parametrize("leave", [fin, rst, half_close, stays])


BEGUN: list[bytes] = []  # the heads of attempts that were handed to a connection


@pytest.fixture(autouse=True)
def noted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Danger: a server never sees what a reset overtakes, and the attempt has begun all the same."""
    BEGUN.clear()
    real = ServerConnection.send

    def send(self: ServerConnection, exchange: Exchange) -> None:
        BEGUN.append(exchange.message[0])
        real(self, exchange)

    monkeypatch.setattr(ServerConnection, "send", send)


def begun(name: str) -> int:
    return sum(f"X-Request-ID: {name}\r\n".encode() in head for head in BEGUN)


@pytest.fixture(params=[0.0, 60.0], ids=["pooled", "new"])
def out_on(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Attempts go out on a connection that is there, or each on a new one that has to come up."""
    monkeypatch.setattr(server_pool, "SETTLE_S", request.param)


def request(name: str, target: str = "/unsafe", length: int = 0) -> bytes:
    key = "Idempotency-Key: k\r\n" if target == "/keyed" else ""
    head = f"POST {target} HTTP/1.1\r\nX-Request-ID: {name}\r\n{key}X-Timeout-Ms: 8000\r\n"
    return f"{head}Content-Length: {length}\r\n\r\n".encode()


def names(host: Host) -> list[str]:
    return [seen.message.headers["x-request-id"] for seen in host.seen]


async def serving(respond: Respond = never) -> Host:
    """Its connections end with the scene."""
    host = await Host("h0", respond).start()
    HOSTS.append(host)
    return host


def played(scene: Callable[[Loop], Coroutine[Any, Any, None]]) -> None:
    async def whole(loop: Loop) -> None:
        HOSTS.clear()  # of a scene that failed
        await scene(loop)
        while HOSTS:
            host = HOSTS.pop()
            host.server.close()
            for writer in list(host.open.values()):
                writer.transport.abort()
            await host.wait(lambda host=host: not host.open)  # type: ignore[misc]

    play(whole)


class Whole:
    """Front, loop round the module and hosts' side, without the process."""

    def __init__(self, address: tuple[str, int], settings: Settings = SETTINGS) -> None:
        self.upstream = Upstream(64, 60_000, settings.limits.connect_timeout_ms)
        self.node = Node(settings, 1, self.upstream, lambda: None, lambda e: pytest.fail(repr(e)))
        self.node.listed(ListKind.RESTORED, HostList(1, True, (HostEntry(ListedEndpoint("h0"), address),)))
        self.front = Frontend(Gate(self.node, CLASSES, asyncio.get_running_loop().time), 64)

    async def listen(self) -> tuple[str, int]:
        return await self.front.listen(("127.0.0.1", 0))

    def deaf(self) -> None:
        """The loop has no turn to read what its clients do from here on."""
        for connection in self.front._connections:
            assert connection._transport is not None
            connection._transport.pause_reading()

    async def fill(self, host: Host) -> None:
        """All further requests wait in the module."""
        for i in range(16):
            call = FakeCall(timeout_ms=8000)
            call.request_id = b"b%d" % i
            self.node.arrived(call)
        await host.wait(lambda: bool(host.seen))
        await asyncio.sleep(0.05)
        assert len(host.seen) < 16

    async def settled(self, host: Host) -> None:
        """All that was to be sent on before now has been: a request behind it has come through."""
        call = FakeCall(timeout_ms=8000)
        call.request_id = name = b"s%d" % len(host.seen)
        self.node.arrived(call)
        async with asyncio.timeout(10):
            while not call.given or name.decode() not in names(host):
                for writer in list(host.open.values()):
                    writer.write(ok())
                await asyncio.sleep(0.005)


@ALL
@pytest.mark.usefixtures("out_on")
@pytest.mark.parametrize("step_s", [0.0, 0.15], ids=["short step", "long step"])
def test_gone_before_its_request_was_read(leave: Leave, step_s: float) -> None:
    """Request and end lie in the kernel as the loop comes back to its sockets."""

    async def scene(loop: Loop) -> None:
        host = await serving()
        whole = Whole(("127.0.0.1", host.port))
        address = await whole.listen()
        await whole.settled(host)
        client = connect(address, request("r0"))
        leave(client)
        behind = connect(address, request("r1"))
        time.sleep(step_s)
        await host.wait(lambda: "r1" in names(host))
        await whole.settled(host)
        behind.close()
        assert begun("r0") == (leave is stays)

    played(scene)


@ALL
@pytest.mark.parametrize("length", [0, 100_000], ids=["whole", "held back"])
@pytest.mark.usefixtures("out_on")
def test_gone_while_it_waits_in_the_module(leave: Leave, length: int) -> None:
    async def scene(loop: Loop) -> None:
        host = await serving()
        whole = Whole(("127.0.0.1", host.port))
        whole.front.keeping.budget = 0  # no part of a long body is held: the front does not read on
        address = await whole.listen()
        await whole.fill(host)
        client = connect(address)
        client.setblocking(False)
        await loop.sock_sendall(client, request("r0", length=length) + b"x" * length)
        await until(lambda: whole.node.is_open(b"r0"))
        if not length:
            whole.deaf()
        leave(client)
        await whole.settled(host)
        if length and leave is stays:  # its body is read on as its turn has come
            await host.wait(lambda: "r0" in names(host))
        assert begun("r0") == (leave is stays)

    played(scene)


@ALL
@pytest.mark.usefixtures("out_on")
def test_gone_while_it_waits_behind_another_on_its_connection(leave: Leave) -> None:
    async def scene(loop: Loop) -> None:
        host = await serving()
        whole = Whole(("127.0.0.1", host.port))
        client = connect(await whole.listen(), request("r0") + request("r1"))
        await host.wait(lambda: names(host) == ["r0"])
        whole.deaf()
        leave(client)
        next(iter(host.open.values())).write(ok())
        await until(lambda: not whole.node.is_open(b"r0"))
        await whole.settled(host)
        assert begun("r1") == (leave is stays)

    played(scene)


@ALL
def test_gone_while_its_connection_comes_up(leave: Leave) -> None:
    async def scene(loop: Loop) -> None:
        listener, fillers = full_listener()
        whole = Whole(listener.getsockname())
        client = connect(await whole.listen(), request("r0"))
        await until(lambda: whole.upstream._opening)
        await asyncio.sleep(0.02)
        whole.deaf()
        leave(client)
        for filler in fillers:
            filler.close()
        listener.listen(64)
        listener.setblocking(False)
        got = b""

        async def accept() -> None:
            nonlocal got
            while True:
                sock, _ = await loop.sock_accept(listener)
                sock.setblocking(False)
                tasks.append(loop.create_task(read(sock)))

        async def read(sock: socket.socket) -> None:
            nonlocal got
            while piece := await loop.sock_recv(sock, 65536):
                got += piece

        tasks = [loop.create_task(accept())]
        await until(lambda: whole.upstream.connections)  # it is up
        await until(lambda: not whole.upstream._opening)
        await asyncio.sleep(0.05)
        assert (b"X-Request-ID: r0" in got) is (leave is stays)
        assert begun("r0") == (leave is stays)
        for task in tasks:
            task.cancel()
        listener.close()

    played(scene)


@ALL
def test_gone_while_it_waits_to_be_tried_again(leave: Leave) -> None:
    async def scene(loop: Loop) -> None:
        left = False

        async def respond(seen: Seen, writer: Any) -> None:
            nonlocal left
            name = seen.message.headers["x-request-id"]
            if name == "r0" and not left:
                whole.deaf()
                leave(client)
                left = True
                writer.transport.abort()
            elif name != "r0":
                writer.write(ok())

        host = await serving(respond)
        whole = Whole(("127.0.0.1", host.port))
        client = connect(await whole.listen(), request("r0", "/keyed"))
        await until(lambda: left)
        await until(lambda: not whole.node.is_open(b"r0") or begun("r0") > 1)
        await whole.settled(host)
        assert begun("r0") == (2 if leave is stays else 1)

    played(scene)


@ALL
@pytest.mark.parametrize("at", [0, 1], ids=["first", "further"])
@pytest.mark.usefixtures("out_on")
def test_gone_in_the_step_in_which_its_attempt_begins(leave: Leave, at: int) -> None:
    """Between the module's choice and the attempt."""

    async def scene(loop: Loop) -> None:
        async def respond(seen: Seen, writer: Any) -> None:
            if seen.message.headers["x-request-id"] == "r0" and names(host).count("r0") == 1:
                writer.transport.abort()
            else:
                writer.write(ok())

        host = await serving(respond)
        whole = Whole(("127.0.0.1", host.port))
        began = 0
        real = whole.node._send

        def send(action: Send) -> None:
            nonlocal began
            if action.request_id == 2:
                if began == at:
                    whole.deaf()
                    leave(client)
                began += 1
            real(action)

        whole.node._send = send  # type: ignore[method-assign]
        await whole.settled(host)
        client = connect(await whole.listen(), request("r0", "/keyed"))
        await until(lambda: began > at)
        if leave is stays:
            await host.wait(lambda: names(host).count("r0") > at)
        await whole.settled(host)
        assert begun("r0") > at if leave is stays else begun("r0") == at
        if leave is not stays:  # it is withdrawn, and not tried again
            assert not whole.node.is_open(b"r0") and began == at + 1

    played(scene)


# HTTP/3: a reset is a datagram, and may lie behind others


@pytest.mark.parametrize("way", ["cancelled", "stop_sending", "closed", "stays"])
def test_http3_client_gone_behind_many_datagrams(tmp_path: Path, way: str) -> None:
    """They came while the loop was away. A timer that is due, or the module as it is told of the gap, would
    begin an attempt before they are read."""

    async def scene(loop: Loop) -> None:
        at_gap, at_timer = list[bool](), list[bool]()
        s = Scene(tmp_path)
        loop.wake.on_gap.append(lambda gap: at_gap.append(bool(s.handler.left)))  # in the place of the module
        s.address = s.front.listen(("127.0.0.1", 0))
        s.handler.answer = None
        client = await s.client("aioquic")
        number = client.send("/unsafe")
        await until(lambda: len(s.handler.calls) == 1)
        await asyncio.sleep(0.1)
        at_gap.clear()
        loop.call_later(0.05, lambda: at_timer.append(bool(s.handler.left)))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as noise:
            for _ in range(3 * http3.READ_AT_ONCE):
                noise.sendto(b"noise", s.address)
        if way == "cancelled":
            client.cancel(number)
        elif way == "stop_sending":
            client.quic.stop_stream(number, 0x10C)
        if way == "closed":
            client.close()
        else:
            client.flush()
        time.sleep(0.15)  # no step of the loop lies within
        await until(lambda: at_timer)
        assert at_gap[0] is at_timer[0] is (way != "stays")
        for opened in s.clients:
            opened.close()
        await s.front.close()

    played(scene)


def test_http3_reads_on_where_datagrams_have_waited(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    """With no gap, but more coming than is read at once: what has waited for a while is caught up."""

    async def scene(loop: Loop) -> None:
        s = Scene(tmp_path)
        s.address = s.front.listen(("127.0.0.1", 0))
        taken = 0
        real = s.front._take

        def take(data: bytes, address: Any) -> Any:
            nonlocal taken
            taken += 1
            return real(data, address)

        monkeypatch.setattr(s.front, "_take", take)
        count = 20 * http3.READ_AT_ONCE
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as noise:
            for _ in range(count):
                noise.sendto(b"noise", s.address)
        s.front._read()
        assert taken == http3.READ_AT_ONCE  # the others have their turn
        assert s.front._behind_s is not None
        s.front._behind_s -= 2 * http3.BEHIND_S
        s.front._read()
        assert taken == count
        await s.front.close()

    played(scene)


class Left(Wanted):
    """A call whose client leaves while a connection comes up."""

    def left(self) -> bool:
        return True


def test_http3_attempt_that_waited_for_its_connection_does_not_begin(tmp_path: Path) -> None:
    async def run() -> None:
        async with carrier_scene(tmp_path) as s:
            host = await s.host()
            gone, other = s.send(host, Left()), s.send(host)  # they wait for one connection
            assert await s.ended(gone, other) == [Outcome.NOT_SENT, Outcome.OK]
            assert len(host.begun) == 1

    asyncio.run(run())
