"""Descriptors at their edge: the parts, a front that is full, none left here or on the machine, upgrades."""

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

from cloverrouter.interface import Outcome, Sign
from cloverrouter.lab.peers import LONG_S, Client, Discovery, Host, Proxy, never, running
from cloverrouter.proxy import descriptors, discovery
from cloverrouter.proxy.client_connection import ClientConnection
from cloverrouter.proxy.config import HostList, UnixClock
from cloverrouter.proxy.descriptors import KEPT, LEAST, MADE_AT_ONCE, Budget, Room, budget
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.eviction import FIRST_REQUEST_S
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.listener import RETRY_S
from cloverrouter.proxy.service import opened_by_now
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.proxy.wake import Loop
from tests.test_upstream import FakeCall, until
from tests.test_wake import play
from tests.test_waking_front import connect, front_of, request

ALL_KEPT = sum(KEPT.values())


# The parts


@pytest.mark.parametrize("processes", [1, 2])
@pytest.mark.parametrize(("others", "opened"), [(0, 0), (7, descriptors.AT_START), (7, 30)])
def test_parts_are_within_the_limit_of_all_processes(processes: int, others: int, opened: int) -> None:
    more = max(0, opened - descriptors.AT_START)
    least = processes * (ALL_KEPT + others + more + 2 * LEAST)
    for limit in (least, least + 1, 256, 1024, 4096):
        found = budget(limit, 1 << 20, processes, others, opened)
        assert min(found.clients, found.hosts) >= LEAST
        used = ALL_KEPT + others + more + found.clients + found.hosts
        assert limit - 2 * processes < processes * used <= limit


def test_the_lesser_of_both_limits_counts() -> None:
    assert budget(4096, 96) == Budget(34, 34)
    assert budget(96, 4096) == Budget(34, 34)
    assert budget(96, resource.RLIM_INFINITY) == Budget(34, 34)
    assert budget(128, 64, processes=2) == Budget(18, 18)


@pytest.mark.parametrize(
    ("limit", "most", "text"),
    [
        (34, 1024, "limits.sockets is 34; right is at least 35, of which 27 are kept back"),
        (1024, 34, "RLIMIT_NOFILE is 34; right is at least 35, of which 27 are kept back"),
        (0, 1024, "limits.sockets is 0; right is at least 35, of which 27 are kept back"),
    ],
)
def test_too_few_are_said_to_be(limit: int, most: int, text: str) -> None:
    with pytest.raises(ValueError) as said:
        budget(limit, most)
    assert str(said.value) == text
    assert budget(34, 1024, processes=2) == Budget(LEAST, LEAST)  # in an upgrade it goes on with the least
    assert budget(256, 1024, opened=500) == Budget(LEAST, LEAST)  # so it does with what is not its own


def test_what_discovery_may_hold_is_kept_back() -> None:
    """A call, those that were given up and are still heard, one of a former address, one that closes."""
    (kept,) = [count for purpose, count in KEPT.items() if purpose.startswith("discovery")]
    assert kept >= discovery.MOST_LATE + 3


def test_descriptors_that_are_open_at_the_start_are_counted() -> None:
    before = opened_by_now()
    ours, theirs = socket.socketpair()
    assert opened_by_now() == before + 2
    ours.close()
    theirs.close()


# The front, full


def test_front_that_is_full_holds_no_more_than_is_kept_back_for_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Who makes room closes in the next step of the loop, and is counted until then."""

    async def scene(loop: Loop) -> None:
        frontend, _, address = await front_of(loop, 8)
        clients = [connect(address) for _ in range(8)]
        await until(lambda: frontend.count == 8)
        socks = [connection._sock for connection in frontend._connections]
        most, real = 0, ClientConnection.__init__

        def born(self: ClientConnection, owner: Frontend, sock: socket.socket, refuses: bool) -> None:
            nonlocal most
            real(self, owner, sock, refuses)
            socks.append(sock)
            most = max(most, sum(one.fileno() >= 0 for one in socks))

        monkeypatch.setattr(ClientConnection, "__init__", born)
        clients += [connect(address) for _ in range(60)]
        clients[-1].sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
        clients[-1].setblocking(False)
        assert (await loop.sock_recv(clients[-1], 100)).startswith(b"HTTP/1.1 200")
        assert 8 < most <= 8 + MADE_AT_ONCE
        assert frontend.count <= 8

    play(scene)


def test_more_than_fit_that_ask_at_one_moment_are_answered_and_not_reset() -> None:
    """They wait in the queue of the listener while those before them are read, and end with their answers."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        held.arrived = lambda call: call.reply(503, b"")  # type: ignore[method-assign]
        clients = [connect(address, request(f"r{i}")) for i in range(100)]
        await until(lambda: frontend.count)
        for client in clients:
            client.setblocking(False)
            async with asyncio.timeout(10):
                assert (await loop.sock_recv(client, 100)).startswith(b"HTTP/1.1 503")
            client.close()

    play(scene)


def test_those_for_whom_no_room_comes_are_refused_at_once() -> None:
    """They are free to ask elsewhere, and know that nothing has run; a reset would not tell them."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 8)
        clients = [connect(address, request(f"r{i}")) for i in range(20)]
        await until(lambda: len(held.calls) == 8)
        for client in clients[8:]:
            client.setblocking(False)
            async with asyncio.timeout(10):
                assert (await loop.sock_recv(client, 100)).startswith(b"HTTP/1.1 503")
                assert await loop.sock_recv(client, 100) == b""
        assert len(held.calls) == 8
        await until(lambda: frontend.count == 8)
        for client in clients:
            client.close()

    play(scene)


def test_all_that_connected_before_the_listener_ends_are_taken_though_it_is_full() -> None:
    """Danger: the listener's end resets whoever is still in its queue."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 20)
        clients = [connect(address) for _ in range(20)]
        await until(lambda: frontend.count == 20)
        await asyncio.sleep(0.01)
        late = [connect(address, request(f"r{i}")) for i in range(12)]
        await frontend.accept_rest()
        frontend.stop_accepting()
        await until(lambda: len(held.calls) == len(late))
        for one in (*clients, *late):
            one.close()

    play(scene)


def test_fewer_connections_are_held_after_a_resize() -> None:
    """Those that are idle go at once, those that are owed an answer with it; then no more of them."""

    async def scene(loop: Loop) -> None:
        frontend, held, address = await front_of(loop, 40)
        clients = [connect(address, request(f"r{i}")) for i in range(12)]
        idle = [connect(address, b"GET /healthz HTTP/1.1\r\n\r\n") for _ in range(9)]
        await until(lambda: len(held.calls) == 12 and all(c._asked for c in frontend._connections))
        frontend.resize(10)
        await until(lambda: frontend.count == 12)
        assert len(held.calls) == 12
        answers = []
        for i, client in enumerate(clients[:4]):
            next(call for call in held.calls if call.request_id == b"r%d" % i).reply(200, b"")
            answers.append(b"Connection: close" in client.recv(1000))
            client.close()
            await until(lambda i=i: frontend.count == max(10, 11 - i))  # type: ignore[misc]
            if not frontend.over_full:
                break
        assert answers == [True, True]
        next(call for call in held.calls if call.request_id == b"r5").reply(200, b"")
        assert b"Connection: close" not in clients[5].recv(1000)
        for one in (*clients, *idle):
            one.close()

    play(scene)


def test_idle_connections_to_hosts_make_room_for_a_resize_and_no_more_of_them() -> None:
    async def scene(loop: Loop) -> None:
        host = await Host("h").start()
        upstream = Upstream(16, 60_000, 1000)
        ends: list[Outcome] = []
        for _ in range(8):
            upstream.send(("h", ("127.0.0.1", host.port)), FakeCall(), 2000, lambda end, _: ends.append(end))
        await until(lambda: len(ends) == 8)
        upstream.resize(5)
        await until(lambda: upstream.open <= 5)
        assert upstream.open == 5

    play(scene)


# None is left: here (EMFILE), or on the machine (ENFILE)


class Sockets:
    """`socket.socket`, which has none for so many calls."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, number: int) -> None:
        self.lacking, self.tries, self._number, self._real = 0, 0, number, socket.socket
        monkeypatch.setattr(socket, "socket", self)

    def __call__(self, *what: Any, **how: Any) -> socket.socket:
        if not how.get("fileno"):
            self.tries += 1
            if self.lacking:
                self.lacking -= 1
                raise OSError(self._number, os.strerror(self._number))
        return self._real(*what, **how)


NONE_LEFT = pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE])


class Lacking:
    """A listener that has a descriptor for nobody, so many times."""

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


@NONE_LEFT
@pytest.mark.parametrize("times", [1, 3])
def test_listener_without_descriptors_makes_room_and_neither_spins_nor_dies(number: int, times: int) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await front_of(loop, 20)
        idle = [connect(address) for _ in range(6)]
        await until(lambda: frontend.count == 6)
        rested_s = frontend.ran_s() + FIRST_REQUEST_S  # by the clock that stands still with this process
        await until(lambda: frontend.ran_s() > rested_s)  # they are not about to ask
        listener = frontend.listener
        assert listener._socket is not None
        lacking = Lacking(listener._socket, number, times)
        loop.remove_reader(listener._socket)
        listener._socket = lacking  # type: ignore[assignment]
        loop.add_reader(lacking.fileno(), listener.accept)
        began_s = loop.time()
        client = connect(address, b"GET /healthz HTTP/1.1\r\n\r\n")
        client.setblocking(False)
        async with asyncio.timeout(10):
            assert (await loop.sock_recv(client, 100)).startswith(b"HTTP/1.1 200")
        assert lacking.left == 0
        # It was found missing `times` times, one idle one made room each time, and it did not turn round.
        assert frontend.count == 7 - times
        if times > 1:
            assert loop.time() - began_s > RETRY_S * (times - 1)
        for one in (*idle, client):
            one.close()

    play(scene)


@NONE_LEFT
def test_attempt_without_a_descriptor_has_room_made_for_it(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await front_of(loop, 20)
        host = await Host("h").start()
        idle = [connect(address, b"GET /healthz HTTP/1.1\r\n\r\n") for _ in range(2)]
        await until(lambda: sum(c._asked for c in frontend._connections) == 2)
        upstream, ends = Upstream(8, 60_000, 1000), list[Outcome]()
        sockets = Sockets(monkeypatch, number)
        sockets.lacking = 1
        place = ("h", ("127.0.0.1", host.port))
        upstream.send(place, FakeCall(), 2000, lambda end, _: ends.append(end))
        await until(lambda: ends)
        assert ends == [Outcome.OK] and frontend.count == 1  # one idle client has made room
        for one in idle:
            one.close()

    play(scene)


@NONE_LEFT
def test_attempt_for_which_nobody_can_make_room_does_not_count_against_its_host(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        upstream, ends, signs = Upstream(8, 60_000, 1000), list[Outcome](), list[tuple[str, Sign]]()
        upstream.on_sign = lambda name, sign: signs.append((name, sign))
        sockets = Sockets(monkeypatch, number)
        sockets.lacking = 100
        sent = upstream.send(("h", ("127.0.0.1", 9)), FakeCall(), 2000, lambda end, _: ends.append(end))
        await until(lambda: ends)
        assert ends == [Outcome.NOT_SENT] and sent.sign is None and not signs and not sockets.tries > 2
        sockets.lacking = 0

    play(scene)


@NONE_LEFT
def test_attempts_that_get_a_descriptor_by_it_have_room_made_each_time(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        host = await Host("h", never).start()
        made: list[float] = []

        def make_room() -> bool:
            made.append(loop.time())
            return True

        loop.room.makers.append(make_room)
        upstream, began = Upstream(8, 60_000, 1000), list[int]()
        sockets = Sockets(monkeypatch, number)
        times = descriptors.TRIES + 2
        for i in range(times):
            sockets.lacking = 1
            upstream.send(("h", ("127.0.0.1", host.port)), FakeCall(), 2000, lambda end, _: began.append(1))
            await until(lambda i=i: upstream.connects == i + 1 and not sockets.lacking)  # type: ignore[misc]
            await until(lambda i=i: len(upstream.connections) == i + 1)  # type: ignore[misc]
        assert len(made) == times and not began

    play(scene)


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM])
def test_own_lack_while_connecting_does_not_count_against_its_host(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        upstream, ends = Upstream(8, 60_000, 1000), list[Outcome]()

        async def lacking(*_: object) -> None:
            raise OSError(number, os.strerror(number))

        monkeypatch.setattr(loop, "sock_connect", lacking)
        sent = upstream.send(("h", ("127.0.0.1", 9)), FakeCall(), 2000, lambda end, _: ends.append(end))
        await until(lambda: ends)
        assert ends == [Outcome.NOT_SENT] and sent.sign is None
        await until(lambda: not upstream.open)

    play(scene)


@NONE_LEFT
def test_call_to_discovery_has_room_made_for_it_and_has_not_failed(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(loop: Loop) -> None:
        frontend, _, address = await front_of(loop, 20)
        idle = [connect(address, b"GET /healthz HTTP/1.1\r\n\r\n") for _ in range(3)]
        await until(lambda: sum(c._asked for c in frontend._connections) == 3)
        service, lists, failures = await Discovery().start(), list[HostList](), list[int]()
        place = ("127.0.0.1", service.port)
        watch = Watch(place, UnixClock(), False, lists.append, lambda: failures.append(1))
        sockets = Sockets(monkeypatch, number)
        sockets.lacking = 2
        watch.start()
        await until(lambda: lists)
        assert not failures and frontend.count == 1
        watch.stop()
        for one in idle:
            one.close()

    play(scene)


@NONE_LEFT
def test_call_for_which_nobody_can_make_room_fails_once(number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        failures: list[int] = []
        watch = Watch(("127.0.0.1", 9), UnixClock(), False, lambda _: None, lambda: failures.append(1))
        sockets = Sockets(monkeypatch, number)
        sockets.lacking = 100
        watch.start()
        await until(lambda: failures)
        await asyncio.sleep(0.05)
        assert failures == [1] and sockets.tries <= descriptors.TRIES + 1
        sockets.lacking = 0
        watch.stop()

    play(scene)


def test_room_is_made_by_the_first_that_can() -> None:
    asked: list[str] = []

    def maker(name: str, can: bool) -> Callable[[], bool]:
        def make() -> bool:
            asked.append(name)
            return can

        return make

    room = Room()
    assert not room.make(0.0)
    room.makers = [maker("none", False), maker("first", True), maker("second", True)]
    assert room.make(0.0) and asked == ["none", "first"]
    assert room.make(0.0, maker("preferred", True)) and asked == ["none", "first", "preferred"]


def test_room_is_made_a_few_times_for_as_long_as_nobody_gets_a_descriptor_by_it() -> None:
    made: list[float] = []
    now_s = 100.0

    def close_one() -> bool:
        made.append(now_s)
        return True

    room = Room()
    room.makers.append(close_one)
    for step in range(30):
        now_s = 100 + step / 100
        assert room.make(now_s)
    in_first_pause = [at_s for at_s in made if at_s < 100 + descriptors.PAUSE_S]
    assert len(in_first_pause) == descriptors.TRIES and len(made) == 2 * descriptors.TRIES
    room.used()
    assert room.make(now_s) and len(made) == 2 * descriptors.TRIES + 1


@NONE_LEFT
def test_attempts_that_find_no_descriptor_do_not_go_on_closing_others(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One connection after the other becomes idle, and each could make room, which others would get."""

    async def scene(loop: Loop) -> None:
        closed, idle = list[float](), list[int]()

        def close_idle() -> bool:
            if not idle:
                return False
            idle.pop()
            closed.append(loop.time())
            return True

        loop.room.makers.append(close_idle)
        upstream, ends = Upstream(8, 60_000, 1000), list[Outcome]()
        sockets = Sockets(monkeypatch, number)
        sockets.lacking = 1000
        began_s = loop.time()
        for _ in range(30):
            idle.append(1)
            ends.clear()
            upstream.send(("h", ("127.0.0.1", 9)), FakeCall(), 2000, lambda end, _: ends.append(end))
            await until(lambda: ends)
            assert ends == [Outcome.NOT_SENT]
        pauses = (loop.time() - began_s) // descriptors.PAUSE_S + 1
        sockets.lacking = 0
        assert len(closed) <= descriptors.TRIES * pauses

    play(scene)


# The whole program


LIMITED = (
    "import resource, sys\n"
    "resource.setrlimit(resource.RLIMIT_NOFILE, (96, 96))\n"
    "from cloverrouter.proxy.service import main\n"
    "sys.exit(main())\n"
)


class Failing(Discovery):
    """A discovery that can be down: nobody listens, and its connections are reset."""

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


class Fill:
    """`count` clients that hold a connection each and ask nothing, or once; who is closed comes again."""

    def __init__(self, proxy: Proxy, count: int) -> None:
        loop = asyncio.get_running_loop()
        self.begun = 0
        self._proxy = proxy
        self._tasks = [loop.create_task(self._hold(i % 2 == 0)) for i in range(count)]

    async def _hold(self, asks: bool) -> None:
        while True:
            with suppress(ConnectionError, OSError):
                reader, writer = await asyncio.open_connection(*self._proxy.endpoint)
                self.begun += 1
                try:
                    if asks:
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
async def watched(*proxies: Proxy) -> AsyncIterator[list[int]]:
    """How many descriptors all of them hold, again and again."""
    found: list[int] = []

    async def look() -> None:
        while True:
            held = 0
            for proxy in proxies:
                with suppress(OSError, IndexError):
                    held += len(os.listdir(f"/proc/{proxy.process.pid}/fd"))
            found.append(held)
            await asyncio.sleep(0.01)

    task = asyncio.get_running_loop().create_task(look())
    try:
        yield found
    finally:
        task.cancel()


KNOWN: list[Client] = []  # a client's ids are made of its object's, which another one would have after it


async def ask_on(proxy: Proxy, client: Client, hosts: Sequence[Host] = ()) -> Client:
    """A request that is answered 200. As clients do, it is sent again on a new connection where the former
    one ended between requests, unheard; `hosts`: have not seen it then."""
    KNOWN.append(client)
    name = client.next_name
    try:
        answer = await client.ask("/unsafe")
    except (asyncio.IncompleteReadError, ConnectionError):
        assert all(seen.message.headers["x-request-id"] != name for host in hosts for seen in host.seen)
        return await ask_on(proxy, await proxy.client(), hosts)
    assert answer.status == 200
    if answer.headers.get("connection") == "close":
        client.writer.close()
        return await proxy.client()
    return client


def test_idle_clients_fill_the_descriptors_while_discovery_is_down() -> None:
    async def scene() -> None:
        service = Failing()
        await service.start()
        hosts = [await Host(f"h{i}").start() for i in range(3)]
        command = [sys.executable, "-c", LIMITED]
        async with running(service, hosts[:2], command=command) as proxy, watched(proxy) as held:
            client = await ask_on(proxy, await proxy.client())
            service.down()
            fill = Fill(proxy, 100)
            until_s = time.monotonic() + 2.5
            while time.monotonic() < until_s or fill.begun < 150:
                client = await ask_on(proxy, client, hosts)  # on a connection that is there it is answered
                await asyncio.sleep(0.02)
            assert max(held) >= budget(256, 96).clients  # they do fill their part
            # Told at its return: one server drains, another one is new.
            await service.change(hosts[0].entry("leaving"), hosts[2].entry())
            calls = len(service.called_s)
            await service.up()
            up_s = time.monotonic()
            while not hosts[2].seen:
                client = await ask_on(proxy, client, hosts)
                await asyncio.sleep(0.01)
                assert time.monotonic() < up_s + LONG_S
            assert service.called_s[calls] - up_s < 6.0
            seen = len(hosts[0].seen)
            for _ in range(20):
                client = await ask_on(proxy, client, hosts)
            assert len(hosts[0].seen) == seen  # the drain was heard
            await fill.end()
            assert max(held) <= 96
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
            how: dict[str, Any] = {"more": more, "environ": environ, "inherit": (listener.fileno(),)}
            async with running(service, [host], **how) as old:
                new = old.successor(environ)
                try:
                    async with watched(old, new) as held:
                        fill = Fill(old, 150)
                        async with asyncio.timeout(LONG_S):
                            while fill.begun < 200:
                                await asyncio.sleep(0.02)
                        assert max(held) >= budget(limit, 1 << 20).clients
                        calls = len(service.calls)
                        new.start()
                        await old.logged("share the limits: 2")
                        await new.logged("serves at")
                        await service.asked(calls + 1)  # the successor's call has its descriptor
                        client = await ask_on(old, await old.client())
                        each = ALL_KEPT + budget(limit, 1 << 20, processes=2).clients
                        async with asyncio.timeout(LONG_S):
                            while max(held[-10:]) > 2 * each:  # each keeps to half from there on
                                await asyncio.sleep(0.02)
                        old.process.send_signal(signal.SIGTERM)
                        assert await old.ended() == 0
                        await new.logged("share the limits: 1")
                        client.writer.close()
                        await ask_on(new, await new.client())
                        await fill.end()
                    assert max(held) <= limit
                    for proxy in (old, new):
                        assert "no socket" not in proxy.log() and "accept:" not in proxy.log()
                finally:
                    new.close()

    asyncio.run(scene())


@pytest.mark.parametrize(("sockets", "status"), [(34, 2), (35, 0)])
def test_least_limit_with_which_it_starts(sockets: int, status: int) -> None:
    async def scene() -> None:
        service, host = await Discovery().start(), await Host("h").start()
        more = {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}}
        if status:
            with pytest.raises(RuntimeError, match=r"limits\.sockets is 34; right is at least 35"):
                async with running(service, [host], more=more):
                    pass
            return
        async with running(service, [host], more=more) as proxy, watched(proxy) as held:
            fill = Fill(proxy, 20)
            async with asyncio.timeout(LONG_S):
                while fill.begun < 40:
                    await asyncio.sleep(0.02)
            await ask_on(proxy, await proxy.client())
            await fill.end()
            assert max(held) <= sockets

    asyncio.run(scene())
