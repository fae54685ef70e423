"""Descriptor limits: their split, a full frontend, exhaustion (EMFILE, ENFILE), and upgrades."""

from __future__ import annotations

import asyncio
import errno
import os
import resource
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from typing import Any

import pytest

from cloverrouter.interface import ConnectionSignal, Outcome
from cloverrouter.lab.peers import LONG_S, Client, Discovery, Host, Proxy, never, running
from cloverrouter.proxy import descriptors, discovery
from cloverrouter.proxy.client_connection import ClientConnection
from cloverrouter.proxy.config import HostList, UnixClock
from cloverrouter.proxy.descriptors import (
    MAX_EVICTIONS_PER_STEP,
    MIN_CONNECTIONS,
    RESERVED,
    ConnectionLimits,
    DescriptorBudget,
    connection_limits,
)
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.eviction import FIRST_REQUEST_GRACE_S
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.listener import ACCEPT_RETRY_S
from cloverrouter.proxy.service import open_descriptor_count
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.proxy.wake import Loop
from tests.test_upstream import FakeCall, until
from tests.test_wake import run_scene
from tests.test_waking_front import connect, request, start_frontend

TOTAL_RESERVED = sum(RESERVED.values())


# Split of the limit


@pytest.mark.parametrize("processes", [1, 2])
@pytest.mark.parametrize(("extensions", "opened"), [(0, 0), (7, descriptors.OPEN_AT_START), (7, 30)])
def test_limits_add_up_to_at_most_the_total_of_all_processes(
    processes: int, extensions: int, opened: int
) -> None:
    more = max(0, opened - descriptors.OPEN_AT_START)
    least = processes * (TOTAL_RESERVED + extensions + more + 2 * MIN_CONNECTIONS)
    for limit in (least, least + 1, 256, 1024, 4096):
        found = connection_limits(limit, 1 << 20, processes, extensions, opened)
        assert min(found.clients, found.hosts) >= MIN_CONNECTIONS
        used = TOTAL_RESERVED + extensions + more + found.clients + found.hosts
        assert limit - 2 * processes < processes * used <= limit


def test_lower_of_both_limits_applies() -> None:
    assert connection_limits(4096, 96) == ConnectionLimits(34, 34)
    assert connection_limits(96, 4096) == ConnectionLimits(34, 34)
    assert connection_limits(96, resource.RLIM_INFINITY) == ConnectionLimits(34, 34)
    assert connection_limits(128, 64, processes=2) == ConnectionLimits(18, 18)


@pytest.mark.parametrize(
    ("limit", "process_limit", "text"),
    [
        (34, 1024, "limits.sockets is 34; right is at least 35, of which 27 are kept back"),
        (1024, 34, "RLIMIT_NOFILE is 34; right is at least 35, of which 27 are kept back"),
        (0, 1024, "limits.sockets is 0; right is at least 35, of which 27 are kept back"),
    ],
)
def test_too_low_limit_is_reported(limit: int, process_limit: int, text: str) -> None:
    with pytest.raises(ValueError) as raised:
        connection_limits(limit, process_limit)
    assert str(raised.value) == text
    assert connection_limits(34, 1024, processes=2) == ConnectionLimits(
        MIN_CONNECTIONS, MIN_CONNECTIONS
    )  # during an upgrade the minimum is used
    assert connection_limits(256, 1024, open_at_start=500) == ConnectionLimits(
        MIN_CONNECTIONS, MIN_CONNECTIONS
    )  # as with descriptors inherited from the parent process


def test_descriptors_of_discovery_are_reserved() -> None:
    """One call, those that timed out and may still answer, one to a previous address, one that closes."""
    (reserved,) = [count for purpose, count in RESERVED.items() if purpose.startswith("discovery")]
    assert reserved >= discovery.MAX_LATE_CALLS + 3


def test_descriptors_open_at_the_start_are_counted() -> None:
    before = open_descriptor_count()
    local, peer = socket.socketpair()
    assert open_descriptor_count() == before + 2
    local.close()
    peer.close()


# Full frontend


def test_full_frontend_uses_no_more_than_its_reserved_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    """An evicted connection closes in the next loop step, and its descriptor counts until then."""

    async def scene(loop: Loop) -> None:
        frontend, _, address = await start_frontend(loop, 8)
        clients = [connect(address) for _ in range(8)]
        await until(lambda: frontend.count == 8)
        socks = [connection._sock for connection in frontend._connections]
        most, real = 0, ClientConnection.__init__

        def init(self: ClientConnection, owner: Frontend, sock: socket.socket, refuses: bool) -> None:
            nonlocal most
            real(self, owner, sock, refuses)
            socks.append(sock)
            most = max(most, sum(one.fileno() >= 0 for one in socks))

        monkeypatch.setattr(ClientConnection, "__init__", init)
        clients += [connect(address) for _ in range(60)]
        clients[-1].sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
        clients[-1].setblocking(False)
        assert (await loop.sock_recv(clients[-1], 100)).startswith(b"HTTP/1.1 200")
        assert 8 < most <= 8 + MAX_EVICTIONS_PER_STEP
        assert frontend.count <= 8

    run_scene(scene)


def test_burst_beyond_the_limit_is_answered_and_not_reset() -> None:
    """Connections stay queued while earlier ones are read, and close with their answers."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        handler.call_received = lambda call: call.reply(503, b"")  # type: ignore[method-assign]
        clients = [connect(address, request(f"r{i}")) for i in range(100)]
        await until(lambda: frontend.count)
        for client in clients:
            client.setblocking(False)
            async with asyncio.timeout(10):
                assert (await loop.sock_recv(client, 100)).startswith(b"HTTP/1.1 503")
            client.close()

    run_scene(scene)


def test_requests_beyond_the_capacity_are_refused_at_once() -> None:
    """After a refusal clients know that nothing ran and can retry elsewhere; after a reset they would not."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        clients = [connect(address, request(f"r{i}")) for i in range(20)]
        await until(lambda: len(handler.calls) == 8)
        for client in clients[8:]:
            client.setblocking(False)
            async with asyncio.timeout(10):
                assert (await loop.sock_recv(client, 100)).startswith(b"HTTP/1.1 503")
                assert await loop.sock_recv(client, 100) == b""
        assert len(handler.calls) == 8
        await until(lambda: frontend.count == 8)
        for client in clients:
            client.close()

    run_scene(scene)


def test_closing_listener_accepts_all_queued_connections_even_if_full() -> None:
    """Closing a listening socket resets the connections that are still in its queue."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 20)
        clients = [connect(address) for _ in range(20)]
        await until(lambda: frontend.count == 20)
        await asyncio.sleep(0.01)
        late = [connect(address, request(f"r{i}")) for i in range(12)]
        await frontend.accept_queued()
        frontend.stop_accepting()
        await until(lambda: len(handler.calls) == len(late))
        for one in (*clients, *late):
            one.close()

    run_scene(scene)


def test_connections_are_closed_down_to_the_new_limit_after_a_resize() -> None:
    """Idle connections close at once, busy ones with their answers, until the new limit is reached."""

    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 40)
        clients = [connect(address, request(f"r{i}")) for i in range(12)]
        idle = [connect(address, b"GET /healthz HTTP/1.1\r\n\r\n") for _ in range(9)]
        await until(lambda: len(handler.calls) == 12 and all(c._has_requested for c in frontend._connections))
        frontend.resize(10)
        await until(lambda: frontend.count == 12)
        assert len(handler.calls) == 12
        answers = []
        for i, client in enumerate(clients[:4]):
            next(call for call in handler.calls if call.request_id == b"r%d" % i).reply(200, b"")
            answers.append(b"Connection: close" in client.recv(1000))
            client.close()
            await until(lambda i=i: frontend.count == max(10, 11 - i))  # type: ignore[misc]
            if not frontend.over_limit:
                break
        assert answers == [True, True]
        next(call for call in handler.calls if call.request_id == b"r5").reply(200, b"")
        assert b"Connection: close" not in clients[5].recv(1000)
        for one in (*clients, *idle):
            one.close()

    run_scene(scene)


def test_resize_closes_idle_connections_to_hosts_down_to_the_new_limit() -> None:
    async def scene(loop: Loop) -> None:
        host = await Host("h").start()
        upstream = Upstream(16, 60_000, 1000)
        ends: list[Outcome] = []
        for _ in range(8):
            upstream.send(("h", ("127.0.0.1", host.port)), FakeCall(), 2000, lambda end, _: ends.append(end))
        await until(lambda: len(ends) == 8)
        upstream.set_max_open(5)
        await until(lambda: upstream.open <= 5)
        assert upstream.open == 5

    run_scene(scene)


# Exhaustion: in this process (EMFILE), or on the machine (ENFILE)


class FailingSockets:
    """Replaces `socket.socket`, and fails for the next `failures` calls."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, number: int) -> None:
        self.failures, self.tries, self._number, self._real = 0, 0, number, socket.socket
        monkeypatch.setattr(socket, "socket", self)

    def __call__(self, *args: Any, **options: Any) -> socket.socket:
        if not options.get("fileno"):
            self.tries += 1
            if self.failures:
                self.failures -= 1
                raise OSError(self._number, os.strerror(self._number))
        return self._real(*args, **options)


EXHAUSTION_ERRORS = pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE])


class FailingListener:
    """A listening socket whose accept(2) fails `times` times."""

    def __init__(self, listener: socket.socket, number: int, times: int) -> None:
        self._listener, self._number, self.left, self.tries = listener, number, times, 0

    def fileno(self) -> int:
        return self._listener.fileno()

    def close(self) -> None:
        self._listener.close()

    def accept(self) -> Any:
        self.tries += 1
        if self.left:
            self.left -= 1
            raise OSError(self._number, os.strerror(self._number))
        return self._listener.accept()


@EXHAUSTION_ERRORS
@pytest.mark.parametrize("times", [1, 3])
def test_listener_without_descriptors_evicts_and_retries_with_a_pause(number: int, times: int) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await start_frontend(loop, 20)
        idle = [connect(address) for _ in range(6)]
        await until(lambda: frontend.count == 6)
        # By the clock that excludes process pauses, no longer about to send a first request.
        evictable_s = frontend.active_time_s() + FIRST_REQUEST_GRACE_S
        await until(lambda: frontend.active_time_s() > evictable_s)
        listener = frontend.listener
        assert listener._socket is not None
        failing = FailingListener(listener._socket, number, times)
        loop.remove_reader(listener._socket)
        listener._socket = failing  # type: ignore[assignment]
        loop.add_reader(failing.fileno(), listener.accept)
        began_s = loop.time()
        client = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        client.setblocking(False)
        async with asyncio.timeout(10):
            assert (await loop.sock_recv(client, 100)).startswith(b"HTTP/1.1 200")
        assert failing.left == 0
        # accept(2) failed `times` times, an idle connection was evicted each time, and the loop did not spin.
        assert frontend.count == 7 - times
        if times > 1:
            assert loop.time() - began_s > ACCEPT_RETRY_S * (times - 1)
        for one in (*idle, client):
            one.close()

    run_scene(scene)


@EXHAUSTION_ERRORS
def test_attempt_without_a_free_descriptor_evicts_a_client_connection(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await start_frontend(loop, 20)
        host = await Host("h").start()
        idle = [connect(address, b"GET /healthz HTTP/1.1\r\n\r\n") for _ in range(2)]
        await until(lambda: sum(c._has_requested for c in frontend._connections) == 2)
        upstream, ends = Upstream(8, 60_000, 1000), list[Outcome]()
        sockets = FailingSockets(monkeypatch, number)
        sockets.failures = 1
        target = ("h", ("127.0.0.1", host.port))
        upstream.send(target, FakeCall(), 2000, lambda end, _: ends.append(end))
        await until(lambda: ends)
        assert ends == [Outcome.OK] and frontend.count == 1  # one idle client connection was evicted
        for one in idle:
            one.close()

    run_scene(scene)


@EXHAUSTION_ERRORS
def test_attempt_that_gets_no_descriptor_does_not_count_against_its_host(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        upstream, ends, signals = (
            Upstream(8, 60_000, 1000),
            list[Outcome](),
            list[tuple[str, ConnectionSignal]](),
        )
        upstream.on_signal = lambda name, signal: signals.append((name, signal))
        sockets = FailingSockets(monkeypatch, number)
        sockets.failures = 100
        sent = upstream.send(("h", ("127.0.0.1", 9)), FakeCall(), 2000, lambda end, _: ends.append(end))
        await until(lambda: ends)
        assert ends == [Outcome.NOT_SENT] and sent.signal is None and not signals and not sockets.tries > 2
        sockets.failures = 0

    run_scene(scene)


@EXHAUSTION_ERRORS
def test_reclaims_are_not_limited_while_attempts_acquire_the_descriptors(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        host = await Host("h", never).start()
        reclaimed_s: list[float] = []

        def reclaim_one() -> bool:
            reclaimed_s.append(loop.time())
            return True

        loop.descriptor_budget.reclaimers.append(reclaim_one)
        upstream, began = Upstream(8, 60_000, 1000), list[int]()
        sockets = FailingSockets(monkeypatch, number)
        times = descriptors.MAX_RECLAIMS + 2
        for i in range(times):
            sockets.failures = 1
            upstream.send(("h", ("127.0.0.1", host.port)), FakeCall(), 2000, lambda end, _: began.append(1))
            await until(lambda i=i: upstream.connects == i + 1 and not sockets.failures)  # type: ignore[misc]
            await until(lambda i=i: len(upstream.connections) == i + 1)  # type: ignore[misc]
        assert len(reclaimed_s) == times and not began

    run_scene(scene)


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM])
def test_local_resource_error_while_connecting_does_not_count_against_the_host(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        upstream, ends = Upstream(8, 60_000, 1000), list[Outcome]()

        async def fail(*_: object) -> None:
            raise OSError(number, os.strerror(number))

        monkeypatch.setattr(loop, "sock_connect", fail)
        sent = upstream.send(("h", ("127.0.0.1", 9)), FakeCall(), 2000, lambda end, _: ends.append(end))
        await until(lambda: ends)
        assert ends == [Outcome.NOT_SENT] and sent.signal is None
        await until(lambda: not upstream.open)

    run_scene(scene)


@EXHAUSTION_ERRORS
def test_call_to_discovery_without_a_free_descriptor_evicts_and_succeeds(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await start_frontend(loop, 20)
        idle = [connect(address, b"GET /healthz HTTP/1.1\r\n\r\n") for _ in range(3)]
        await until(lambda: sum(c._has_requested for c in frontend._connections) == 3)
        service, lists, failures = await Discovery().start(), list[HostList](), list[int]()
        service_address = ("127.0.0.1", service.port)
        watch = Watch(service_address, UnixClock(), False, lists.append, lambda: failures.append(1))
        sockets = FailingSockets(monkeypatch, number)
        sockets.failures = 2
        watch.start()
        await until(lambda: lists)
        assert not failures and frontend.count == 1
        watch.stop()
        for one in idle:
            one.close()

    run_scene(scene)


@EXHAUSTION_ERRORS
def test_call_to_discovery_that_gets_no_descriptor_fails_once(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        failures: list[int] = []
        watch = Watch(("127.0.0.1", 9), UnixClock(), False, lambda _: None, lambda: failures.append(1))
        sockets = FailingSockets(monkeypatch, number)
        sockets.failures = 100
        watch.start()
        await until(lambda: failures)
        await asyncio.sleep(0.05)
        assert failures == [1] and sockets.tries <= descriptors.MAX_RECLAIMS + 1
        sockets.failures = 0
        watch.stop()

    run_scene(scene)


def test_first_reclaimer_that_succeeds_is_used() -> None:
    called: list[str] = []

    def reclaimer(name: str, can: bool) -> Callable[[], bool]:
        def reclaim() -> bool:
            called.append(name)
            return can

        return reclaim

    budget = DescriptorBudget()
    assert not budget.reclaim(0.0)
    budget.reclaimers = [reclaimer("none", False), reclaimer("first", True), reclaimer("second", True)]
    assert budget.reclaim(0.0) and called == ["none", "first"]
    assert budget.reclaim(0.0, reclaimer("preferred", True)) and called == ["none", "first", "preferred"]


def test_reclaims_are_limited_until_a_descriptor_is_acquired() -> None:
    reclaimed_s: list[float] = []
    now_s = 100.0

    def close_one() -> bool:
        reclaimed_s.append(now_s)
        return True

    budget = DescriptorBudget()
    budget.reclaimers.append(close_one)
    for step in range(30):
        now_s = 100 + step / 100
        assert budget.reclaim(now_s)
    in_first_interval = [at_s for at_s in reclaimed_s if at_s < 100 + descriptors.RECLAIM_INTERVAL_S]
    assert (
        len(in_first_interval) == descriptors.MAX_RECLAIMS
        and len(reclaimed_s) == 2 * descriptors.MAX_RECLAIMS
    )
    budget.acquired()
    assert budget.reclaim(now_s) and len(reclaimed_s) == 2 * descriptors.MAX_RECLAIMS + 1


@EXHAUSTION_ERRORS
def test_failing_attempts_do_not_close_connections_without_limit(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Connections become idle one by one; descriptors freed by closing them would go to other processes."""

    async def scene(loop: Loop) -> None:
        closed, idle = list[float](), list[int]()

        def close_idle() -> bool:
            if not idle:
                return False
            idle.pop()
            closed.append(loop.time())
            return True

        loop.descriptor_budget.reclaimers.append(close_idle)
        upstream, ends = Upstream(8, 60_000, 1000), list[Outcome]()
        sockets = FailingSockets(monkeypatch, number)
        sockets.failures = 1000
        began_s = loop.time()
        for _ in range(30):
            idle.append(1)
            ends.clear()
            upstream.send(("h", ("127.0.0.1", 9)), FakeCall(), 2000, lambda end, _: ends.append(end))
            await until(lambda: ends)
            assert ends == [Outcome.NOT_SENT]
        intervals = (loop.time() - began_s) // descriptors.RECLAIM_INTERVAL_S + 1
        sockets.failures = 0
        assert len(closed) <= descriptors.MAX_RECLAIMS * intervals

    run_scene(scene)


# The whole program


LIMITED_PROGRAM = (
    "import resource, sys\n"
    "resource.setrlimit(resource.RLIMIT_NOFILE, (96, 96))\n"
    "from cloverrouter.proxy.service import main\n"
    "sys.exit(main())\n"
)


class InterruptibleDiscovery(Discovery):
    """A discovery service that can be taken down: it stops listening, and its connections are reset."""

    def __init__(self) -> None:
        super().__init__()
        self.writers: set[asyncio.StreamWriter] = set()
        self.called_s: list[float] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        self.called_s.append(time.monotonic())
        await super()._serve(reader, writer)
        self.writers.discard(writer)

    def down(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def up(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)


class IdleClients:
    """`count` clients with one connection each that send one request or none; closed ones reconnect."""

    def __init__(self, proxy: Proxy, count: int) -> None:
        loop = asyncio.get_running_loop()
        self.connected = 0
        self._proxy = proxy
        self._tasks = [loop.create_task(self._hold(i % 2 == 0)) for i in range(count)]

    async def _hold(self, sends_request: bool) -> None:
        while True:
            with suppress(ConnectionError, OSError):
                reader, writer = await asyncio.open_connection(*self._proxy.endpoint)
                self.connected += 1
                try:
                    if sends_request:
                        writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
                    while await reader.read(1000):
                        pass
                finally:
                    writer.close()
            await asyncio.sleep(0.05)

    async def end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@asynccontextmanager
async def descriptor_counts(*proxies: Proxy) -> AsyncIterator[list[int]]:
    """Sample the number of open descriptors of all `proxies` every 10 ms, into the returned list."""
    found: list[int] = []

    async def look() -> None:
        while True:
            count = 0
            for proxy in proxies:
                with suppress(OSError, IndexError):
                    count += len(os.listdir(f"/proc/{proxy.process.pid}/fd"))
            found.append(count)
            await asyncio.sleep(0.01)

    task = asyncio.get_running_loop().create_task(look())
    try:
        yield found
    finally:
        task.cancel()


# Keeps the clients alive: request ids derive from the id of the client object, which could be reused.
USED_CLIENTS: list[Client] = []


async def request_ok(proxy: Proxy, client: Client, hosts: Sequence[Host] = ()) -> Client:
    """Send a request that must be answered with 200; return the client to go on with.

    As real clients do, it retries on a new connection if the connection was closed between two requests;
    `hosts` must not have received the request then.
    """
    USED_CLIENTS.append(client)
    name = client.next_id
    try:
        answer = await client.ask("/unsafe")
    except (asyncio.IncompleteReadError, ConnectionError):
        assert all(seen.message.headers["x-request-id"] != name for host in hosts for seen in host.seen)
        return await request_ok(proxy, await proxy.client(), hosts)
    assert answer.status == 200, f"{answer} for {name}\n{proxy.log()}"
    if answer.headers.get("connection") == "close":
        client.writer.close()
        return await proxy.client()
    return client


def test_idle_clients_fill_the_descriptors_while_discovery_is_down() -> None:
    async def scene() -> None:
        service = InterruptibleDiscovery()
        await service.start()
        hosts = [await Host(f"h{i}").start() for i in range(3)]
        command = [sys.executable, "-c", LIMITED_PROGRAM]
        environ = {"PROXY_TRACE": "1"}  # the log tells why a request is refused
        async with (
            running(service, hosts[:2], command=command, environ=environ) as proxy,
            descriptor_counts(proxy) as counts,
        ):
            client = await request_ok(proxy, await proxy.client())
            service.down()
            idle = IdleClients(proxy, 100)
            until_s = time.monotonic() + 2.5
            while time.monotonic() < until_s or idle.connected < 150:
                client = await request_ok(proxy, client, hosts)  # an open connection is served
                await asyncio.sleep(0.02)
            assert max(counts) >= connection_limits(256, 96).clients  # the idle clients use up their share
            # Reported once discovery is up again: one server drains, another one is new.
            await service.change(hosts[0].entry("leaving"), hosts[2].entry())
            calls = len(service.called_s)
            await service.up()
            up_s = time.monotonic()
            while not hosts[2].seen:
                client = await request_ok(proxy, client, hosts)
                await asyncio.sleep(0.01)
                assert time.monotonic() < up_s + LONG_S
            assert service.called_s[calls] - up_s < 6.0
            seen = len(hosts[0].seen)
            for _ in range(20):
                client = await request_ok(proxy, client, hosts)
            assert len(hosts[0].seen) == seen  # the drain is in force
            await idle.end()
            assert max(counts) <= 96
            assert "no socket" not in proxy.log() and "accept:" not in proxy.log(), proxy.log()

    asyncio.run(scene())


def test_upgrade_under_idle_clients_keeps_both_within_the_one_limit() -> None:
    limit = 160

    async def scene() -> None:
        service, host = await Discovery().start(), await Host("h").start()
        listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        listen = "{}:{}".format(*listener.getsockname())
        with tempfile.TemporaryDirectory() as folder, listener:
            environ = {"TMPDIR": folder, "PROXY_INHERITED_FD": str(listener.fileno())}
            more = {"listen": listen, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": limit}}
            options: dict[str, Any] = {"more": more, "environ": environ, "inherit": (listener.fileno(),)}
            async with running(service, [host], **options) as old:
                new = old.successor(environ)
                try:
                    async with descriptor_counts(old, new) as counts:
                        idle = IdleClients(old, 150)
                        async with asyncio.timeout(LONG_S):
                            while idle.connected < 200:
                                await asyncio.sleep(0.02)
                        assert max(counts) >= connection_limits(limit, 1 << 20).clients
                        calls = len(service.calls)
                        new.start()
                        await old.logged("share the limits: 2")
                        await new.logged("serves at")
                        # the successor's call to discovery has a descriptor
                        await service.wait_for_calls(calls + 1)
                        client = await request_ok(old, await old.client())
                        each = TOTAL_RESERVED + connection_limits(limit, 1 << 20, processes=2).clients
                        async with asyncio.timeout(LONG_S):
                            while max(counts[-10:]) > 2 * each:  # from there on each process uses half
                                await asyncio.sleep(0.02)
                        old.process.send_signal(signal.SIGTERM)
                        assert await old.ended() == 0
                        await new.logged("share the limits: 1")
                        client.writer.close()
                        await request_ok(new, await new.client())
                        await idle.end()
                    assert max(counts) <= limit
                    for proxy in (old, new):
                        assert "no socket" not in proxy.log() and "accept:" not in proxy.log()
                finally:
                    new.close()

    asyncio.run(scene())


@pytest.mark.parametrize(("sockets", "status"), [(34, 2), (35, 0)])
def test_lowest_limit_that_allows_a_start(sockets: int, status: int) -> None:
    async def scene() -> None:
        service, host = await Discovery().start(), await Host("h").start()
        more = {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}}
        if status:
            with pytest.raises(RuntimeError, match=r"limits\.sockets is 34; right is at least 35"):
                async with running(service, [host], more=more):
                    pass
            return
        async with running(service, [host], more=more) as proxy, descriptor_counts(proxy) as counts:
            idle = IdleClients(proxy, 20)
            async with asyncio.timeout(LONG_S):
                while idle.connected < 40:
                    await asyncio.sleep(0.02)
            await request_ok(proxy, await proxy.client())
            await idle.end()
            assert max(counts) <= sockets

    asyncio.run(scene())
