"""No attempt starts for a disconnected client, wherever its request waits in the proxy.

`stop_reading_clients` leaves the client's FIN or RST unread in the kernel, as a busy event loop would.
`stay_connected` is the control of each scene: the request of a client that stays is forwarded.
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
from tests.http3.test_carrier import StubCall
from tests.http3.test_carrier import scene as carrier_scene
from tests.http3.test_front import Scene
from tests.test_upstream import FakeCall, full_listener, until
from tests.test_wake import run_scene
from tests.test_waking_front import connect

SETTINGS = Settings(
    (
        RequestClass("unsafe", 6000, 9000, idempotency=Idempotency.UNSAFE),
        RequestClass("keyed", 6000, 9000, idempotency=Idempotency.KEYED, idempotency_window_ms=9000),
    ),
    limits=Limits(max_attempts=3, connect_timeout_ms=5000.0),
)
CLASSES = {cls.name: cls.idempotency for cls in SETTINGS.classes}
HOSTS: list[Host] = []
Disconnect = Callable[[socket.socket], None]


def stay_connected(client: socket.socket) -> None:
    """Keep the connection open."""


DISCONNECTS = pytest.mark.parametrize("disconnect", [fin, rst, half_close, stay_connected])


STARTED_ATTEMPTS: list[bytes] = []  # heads of the attempts that were passed to a server connection


@pytest.fixture(autouse=True)
def record_attempts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Record attempts as they start: a server doesn't see a request that is followed by a reset."""
    STARTED_ATTEMPTS.clear()
    real = ServerConnection.send

    def send(self: ServerConnection, exchange: Exchange) -> None:
        STARTED_ATTEMPTS.append(exchange.message[0])
        real(self, exchange)

    monkeypatch.setattr(ServerConnection, "send", send)


def attempts_started(name: str) -> int:
    return sum(f"X-Request-ID: {name}\r\n".encode() in head for head in STARTED_ATTEMPTS)


@pytest.fixture(params=[0.0, 60.0], ids=["pooled", "new"])
def connection_mode(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Send attempts on pooled connections, or each on a new connection that has to be established."""
    monkeypatch.setattr(server_pool, "REUSE_DELAY_S", request.param)


def request(name: str, target: str = "/unsafe", length: int = 0) -> bytes:
    key = "Idempotency-Key: k\r\n" if target == "/keyed" else ""
    head = f"POST {target} HTTP/1.1\r\nX-Request-ID: {name}\r\n{key}X-Timeout-Ms: 8000\r\n"
    return f"{head}Content-Length: {length}\r\n\r\n".encode()


def received_ids(host: Host) -> list[str]:
    return [seen.message.headers["x-request-id"] for seen in host.seen]


async def start_host(respond: Respond = never) -> Host:
    """Start a host; its connections are closed at the end of the scene."""
    host = await Host("h0", respond).start()
    HOSTS.append(host)
    return host


def run_scene_with_cleanup(scene: Callable[[Loop], Coroutine[Any, Any, None]]) -> None:
    async def scene_with_cleanup(loop: Loop) -> None:
        HOSTS.clear()  # left over from a failed scene
        await scene(loop)
        while HOSTS:
            host = HOSTS.pop()
            host.server.close()
            for writer in list(host.open.values()):
                writer.transport.abort()
            await host.wait(lambda host=host: not host.open)  # type: ignore[misc]

    run_scene(scene_with_cleanup)


class InProcessProxy:
    """The proxy's frontend, node and upstream in the event loop of the test."""

    def __init__(self, address: tuple[str, int], settings: Settings = SETTINGS) -> None:
        self.upstream = Upstream(64, 60_000, settings.limits.connect_timeout_ms)
        self.node = Node(settings, 1, self.upstream, lambda: None, lambda e: pytest.fail(repr(e)))
        self.node.listed(ListKind.RESTORED, HostList(1, True, (HostEntry(ListedEndpoint("h0"), address),)))
        self.frontend = Frontend(Gate(self.node, CLASSES, asyncio.get_running_loop().time), 64)

    async def listen(self) -> tuple[str, int]:
        return await self.frontend.listen(("127.0.0.1", 0))

    def stop_reading_clients(self) -> None:
        """Leave everything that clients send or close from now on unread in the kernel."""
        for connection in self.frontend._connections:
            assert connection._transport is not None
            connection._transport.pause_reading()

    async def saturate(self, host: Host) -> None:
        """Send requests until the concurrency limit is reached, so that further ones are queued."""
        for i in range(16):
            call = FakeCall(timeout_ms=8000)
            call.request_id = b"b%d" % i
            self.node.call_received(call)
        await host.wait(lambda: bool(host.seen))
        await asyncio.sleep(0.05)
        assert len(host.seen) < 16

    async def wait_for_earlier_sends(self, host: Host) -> None:
        """Wait until everything queued so far has been sent: a request sent after it has reached the host."""
        call = FakeCall(timeout_ms=8000)
        call.request_id = name = b"s%d" % len(host.seen)
        self.node.call_received(call)
        async with asyncio.timeout(10):
            while not call.given or name.decode() not in received_ids(host):
                for writer in list(host.open.values()):
                    writer.write(ok())
                await asyncio.sleep(0.005)


@DISCONNECTS
@pytest.mark.usefixtures("connection_mode")
@pytest.mark.parametrize("step_s", [0.0, 0.15], ids=["short step", "long step"])
def test_client_disconnects_before_its_request_is_read(disconnect: Disconnect, step_s: float) -> None:
    """Both the request and the disconnect are in the kernel when the event loop polls its sockets again."""

    async def scene(loop: Loop) -> None:
        host = await start_host()
        proxy = InProcessProxy(("127.0.0.1", host.port))
        address = await proxy.listen()
        await proxy.wait_for_earlier_sends(host)
        client = connect(address, request("r0"))
        disconnect(client)
        behind = connect(address, request("r1"))
        time.sleep(step_s)
        await host.wait(lambda: "r1" in received_ids(host))
        await proxy.wait_for_earlier_sends(host)
        behind.close()
        assert attempts_started("r0") == (disconnect is stay_connected)

    run_scene_with_cleanup(scene)


@DISCONNECTS
@pytest.mark.parametrize("length", [0, 100_000], ids=["no body", "streamed body"])
@pytest.mark.usefixtures("connection_mode")
def test_client_disconnects_while_its_request_is_queued(disconnect: Disconnect, length: int) -> None:
    async def scene(loop: Loop) -> None:
        host = await start_host()
        proxy = InProcessProxy(("127.0.0.1", host.port))
        proxy.frontend.buffer_budget.limit_bytes = (
            0  # nothing of a long body is buffered: the frontend stops reading
        )
        address = await proxy.listen()
        await proxy.saturate(host)
        client = connect(address)
        client.setblocking(False)
        await loop.sock_sendall(client, request("r0", length=length) + b"x" * length)
        await until(lambda: proxy.node.is_open(b"r0"))
        if not length:
            proxy.stop_reading_clients()
        disconnect(client)
        await proxy.wait_for_earlier_sends(host)
        if length and disconnect is stay_connected:  # reading of its body resumes once it is dispatched
            await host.wait(lambda: "r0" in received_ids(host))
        assert attempts_started("r0") == (disconnect is stay_connected)

    run_scene_with_cleanup(scene)


@DISCONNECTS
@pytest.mark.usefixtures("connection_mode")
def test_client_disconnects_while_its_request_waits_behind_another(disconnect: Disconnect) -> None:
    async def scene(loop: Loop) -> None:
        host = await start_host()
        proxy = InProcessProxy(("127.0.0.1", host.port))
        client = connect(await proxy.listen(), request("r0") + request("r1"))
        await host.wait(lambda: received_ids(host) == ["r0"])
        proxy.stop_reading_clients()
        disconnect(client)
        next(iter(host.open.values())).write(ok())
        await until(lambda: not proxy.node.is_open(b"r0"))
        await proxy.wait_for_earlier_sends(host)
        assert attempts_started("r1") == (disconnect is stay_connected)

    run_scene_with_cleanup(scene)


@DISCONNECTS
def test_client_disconnects_while_a_server_connection_is_established(disconnect: Disconnect) -> None:
    async def scene(loop: Loop) -> None:
        listener, fillers = full_listener()
        proxy = InProcessProxy(listener.getsockname())
        client = connect(await proxy.listen(), request("r0"))
        await until(lambda: proxy.upstream._connecting)
        await asyncio.sleep(0.02)
        proxy.stop_reading_clients()
        disconnect(client)
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
        await until(lambda: proxy.upstream.connections)  # it is established
        await until(lambda: not proxy.upstream._connecting)
        await asyncio.sleep(0.05)
        assert (b"X-Request-ID: r0" in got) is (disconnect is stay_connected)
        assert attempts_started("r0") == (disconnect is stay_connected)
        for task in tasks:
            task.cancel()
        listener.close()

    run_scene_with_cleanup(scene)


@DISCONNECTS
def test_client_disconnects_before_a_retry(disconnect: Disconnect) -> None:
    async def scene(loop: Loop) -> None:
        disconnected = False

        async def respond(seen: Seen, writer: Any) -> None:
            nonlocal disconnected
            name = seen.message.headers["x-request-id"]
            if name == "r0" and not disconnected:
                proxy.stop_reading_clients()
                disconnect(client)
                disconnected = True
                writer.transport.abort()
            elif name != "r0":
                writer.write(ok())

        host = await start_host(respond)
        proxy = InProcessProxy(("127.0.0.1", host.port))
        client = connect(await proxy.listen(), request("r0", "/keyed"))
        await until(lambda: disconnected)
        await until(lambda: not proxy.node.is_open(b"r0") or attempts_started("r0") > 1)
        await proxy.wait_for_earlier_sends(host)
        assert attempts_started("r0") == (2 if disconnect is stay_connected else 1)

    run_scene_with_cleanup(scene)


@DISCONNECTS
@pytest.mark.parametrize("at", [0, 1], ids=["first", "retry"])
@pytest.mark.usefixtures("connection_mode")
def test_client_disconnects_right_before_its_attempt_starts(disconnect: Disconnect, at: int) -> None:
    """The client disconnects between the balancer's choice and the start of the attempt."""

    async def scene(loop: Loop) -> None:
        async def respond(seen: Seen, writer: Any) -> None:
            if seen.message.headers["x-request-id"] == "r0" and received_ids(host).count("r0") == 1:
                writer.transport.abort()
            else:
                writer.write(ok())

        host = await start_host(respond)
        proxy = InProcessProxy(("127.0.0.1", host.port))
        began = 0
        real = proxy.node._send

        def send(action: Send) -> None:
            nonlocal began
            if action.request_id == 2:
                if began == at:
                    proxy.stop_reading_clients()
                    disconnect(client)
                began += 1
            real(action)

        proxy.node._send = send  # type: ignore[method-assign]
        await proxy.wait_for_earlier_sends(host)
        client = connect(await proxy.listen(), request("r0", "/keyed"))
        await until(lambda: began > at)
        if disconnect is stay_connected:
            await host.wait(lambda: received_ids(host).count("r0") > at)
        await proxy.wait_for_earlier_sends(host)
        assert attempts_started("r0") > at if disconnect is stay_connected else attempts_started("r0") == at
        if disconnect is not stay_connected:  # withdrawn, and not retried
            assert not proxy.node.is_open(b"r0") and began == at + 1

    run_scene_with_cleanup(scene)


# HTTP/3: a stream reset is a datagram and may be queued behind others


@pytest.mark.parametrize("client_end", ["cancelled", "stop_sending", "closed", "connected"])
def test_http3_client_disconnects_behind_many_datagrams(tmp_path: Path, client_end: str) -> None:
    """The datagrams arrive during a process pause. A timer that is due, or the balancer when it is notified
    of the pause, would start an attempt before they are read."""

    async def scene(loop: Loop) -> None:
        at_pause, at_timer = list[bool](), list[bool]()
        s = Scene(tmp_path)
        loop.pause_detector.on_pause.append(
            lambda pause: at_pause.append(bool(s.handler.disconnected_calls))
        )  # takes the place of the balancer
        s.address = s.front.listen(("127.0.0.1", 0))
        s.handler.answer = None
        client = await s.client("aioquic")
        number = client.send("/unsafe")
        await until(lambda: len(s.handler.calls) == 1)
        await asyncio.sleep(0.1)
        at_pause.clear()
        loop.call_later(0.05, lambda: at_timer.append(bool(s.handler.disconnected_calls)))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(3 * http3.MAX_READS_AT_ONCE):
                sender.sendto(b"noise", s.address)
        if client_end == "cancelled":
            client.cancel(number)
        elif client_end == "stop_sending":
            client.quic.stop_stream(number, 0x10C)
        if client_end == "closed":
            client.close()
        else:
            client.flush()
        time.sleep(0.15)  # blocks the event loop
        await until(lambda: at_timer)
        assert at_pause[0] is at_timer[0] is (client_end != "connected")
        for opened in s.clients:
            opened.close()
        await s.front.close()

    run_scene_with_cleanup(scene)


def test_http3_reads_all_datagrams_that_have_waited(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    """Without a pause, more datagrams arrive than one read takes; those that have waited too long are all
    read."""

    async def scene(loop: Loop) -> None:
        s = Scene(tmp_path)
        s.address = s.front.listen(("127.0.0.1", 0))
        accepted = 0
        real = s.front._take

        def take(data: bytes, address: Any) -> Any:
            nonlocal accepted
            accepted += 1
            return real(data, address)

        monkeypatch.setattr(s.front, "_take", take)
        count = 20 * http3.MAX_READS_AT_ONCE
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(count):
                sender.sendto(b"noise", s.address)
        s.front._read()
        assert accepted == http3.MAX_READS_AT_ONCE  # other sockets have their turn
        assert s.front._backlog_since_s is not None
        s.front._backlog_since_s -= 2 * http3.MAX_READ_DELAY_S
        s.front._read()
        assert accepted == count
        await s.front.close()

    run_scene_with_cleanup(scene)


class DisconnectedCall(StubCall):
    """A call whose client disconnects while a connection is being established."""

    def is_disconnected(self) -> bool:
        return True


def test_http3_attempt_of_a_disconnected_client_does_not_start(tmp_path: Path) -> None:
    async def run() -> None:
        async with carrier_scene(tmp_path) as s:
            host = await s.host()
            cancelled, other = s.send(host, DisconnectedCall()), s.send(host)  # both wait for one connection
            assert await s.ended(cancelled, other) == [Outcome.NOT_SENT, Outcome.OK]
            assert len(host.started) == 1

    asyncio.run(run())
