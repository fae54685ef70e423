"""Each system call on each side of the real proxy fails for a while: the process survives, and serves again.

While calls on servers' connections fail, every client still gets one final answer. While calls on clients'
connections fail, only the connections concerned are closed. No request runs twice, and no resource leaks.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from cloverrouter.lab.peers import LONG_S, Client, Discovery, Host, Message, Proxy, Seen, ok, running
from cloverrouter.proxy.descriptors import MAX_RECLAIMS, RECLAIM_INTERVAL_S
from tests.faults.faulty_sockets import Fault

CLIENTS = 6
FAULTY_S = 0.4
REQUESTS_OF_A_CLIENT = 10_000  # at most
LONGEST_WAIT_S = 3.0  # the deadline is 1 s
NO_ANSWER, CLOSED_WHILE_IDLE = 0, 1
# Requests that are served (two), refused at once (a timeout of 1 ms), and rejected (unknown class).
REQUESTS = (("/unsafe", 1000), ("/keyed", 1000), ("/unsafe", 1), ("/nowhere", 1000))
COMMAND = [sys.executable, "-m", "tests.faults.faulty_sockets"]


class FaultyProxy:
    """A proxy whose system calls can be made to fail, with the observations of its clients and servers."""

    def __init__(self, proxy: Proxy, plan: Path, hosts: Sequence[Host]) -> None:
        self.proxy, self._plan, self._hosts = proxy, plan, hosts
        self.answers: Counter[int] = Counter()  # by status; `NO_ANSWER` and `CLOSED_WHILE_IDLE` without one
        self.longest_s = 0.0  # longest wait of a client for its answer, or the end of its connection
        self._asked = self._connected = 0

    async def set_faults(self, *faults: Fault) -> None:
        text = json.dumps(faults)
        self._plan.write_text(text)
        self.proxy.signal(signal.SIGUSR1)
        until_s = time.monotonic() + LONG_S
        while self._plan.with_suffix(".in-force").read_text() != text:
            assert self.proxy.up and time.monotonic() < until_s, self.proxy.log()
            await asyncio.sleep(0.005)

    async def client(self) -> Client:
        """Return a client whose request ids are unique, even if its object id was used before."""
        client = await self.proxy.client()
        self._connected += 1
        client.count = self._connected * REQUESTS_OF_A_CLIENT
        return client

    async def send_requests(self, seconds: float, new_connections: bool) -> None:
        until_s = time.monotonic() + seconds
        await asyncio.gather(*(self._ask_until(until_s, new_connections) for _ in range(CLIENTS)))

    async def _ask_until(self, until_s: float, new_connections: bool) -> None:
        client: Client | None = None
        while time.monotonic() < until_s:
            message: Message | None = None
            began_s = time.monotonic()
            with suppress(OSError, asyncio.IncompleteReadError):
                if client is None:
                    client = await self.client()
                target, timeout_ms = REQUESTS[self._asked % len(REQUESTS)]
                self._asked += 1
                extra = "Connection: close\r\n" if new_connections else ""
                message = await client.ask(target, timeout_ms=timeout_ms, extra=extra)
            self.longest_s = max(self.longest_s, time.monotonic() - began_s)
            if message is None:
                # An idle kept connection may be evicted just as a request is sent on it.
                kept = client is not None and client.count % REQUESTS_OF_A_CLIENT > 1
                self.answers[CLOSED_WHILE_IDLE if kept else NO_ANSWER] += 1
            else:
                self.answers[message.status] += 1
            if message is None or new_connections or message.headers.get("connection") == "close":
                if client is not None:
                    client.writer.close()
                client = None
            await asyncio.sleep(0.01)
        if client is not None:
            client.writer.close()

    async def wait_until_served(self) -> None:
        """Wait until a request of each kind is served on a new connection."""
        until_s = time.monotonic() + LONG_S
        for target in ("/unsafe", "/keyed"):
            status = 0
            while status != 200:
                assert self.proxy.up and time.monotonic() < until_s, self.proxy.log()
                with suppress(OSError, asyncio.IncompleteReadError):
                    client = await self.client()
                    status = (await client.ask(target)).status
                    client.writer.close()

    def ran_twice(self) -> list[str]:
        ran = Counter(
            seen.message.headers["x-request-id"]
            for host in self._hosts
            for seen in host.seen
            if "/unsafe" in seen.message.start
        )
        return [name for name, count in ran.items() if count > 1]

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.proxy.process.pid}/fd"))


async def answer_soon(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.01)
    writer.write(ok())


@asynccontextmanager
async def faulty_proxy() -> AsyncIterator[FaultyProxy]:
    hosts = [await Host(f"h{i}", answer_soon).start() for i in range(3)]
    discovery = await Discovery().start()
    with tempfile.TemporaryDirectory() as folder:
        plan = Path(folder) / "plan.json"
        plan.write_text("[]")
        environ = {"PROXY_FAULTS": str(plan)}
        async with running(discovery, hosts, command=COMMAND, environ=environ, contains=True) as proxy:
            yield FaultyProxy(proxy, plan, hosts)


def run_with_faults(faults: Sequence[Fault], new_connections: bool) -> FaultyProxy:
    """Run one process under these faults, one after the other, until its orderly shutdown."""

    async def scene() -> FaultyProxy:
        async with faulty_proxy() as faulty:
            await faulty.wait_until_served()
            for fault in faults:
                await faulty.set_faults(fault)
                await faulty.send_requests(FAULTY_S, new_connections)
                await faulty.set_faults()
                await faulty.wait_until_served()
            log = faulty.proxy.log()
            assert "CRITICAL" not in log and "was never retrieved" not in log, log
            assert not faulty.ran_twice()
            assert faulty.longest_s < LONGEST_WAIT_S
            await asyncio.sleep(0.3)  # the proxy notices the connections that clients closed
            assert faulty.descriptors() <= 40, os.listdir(f"/proc/{faulty.proxy.process.pid}/fd")
            faulty.proxy.signal(signal.SIGTERM)
            assert await faulty.proxy.ended() == 0, faulty.proxy.log()
            assert "Traceback" not in faulty.proxy.log(), faulty.proxy.log()
            return faulty

    return asyncio.run(scene())


CONNECTION_ERRORS = ("ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH")
CLIENT_FAULTS = {
    "send": CONNECTION_ERRORS,
    "recv_into": ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"),
    "recv": ("ECONNRESET",),
    "shutdown": ("ENOTCONN", "EINVAL"),
    "setsockopt": ("EINVAL", "ENOBUFS"),
    "getsockopt": ("ENOTCONN", "EINVAL"),
    "getpeername": ("ENOTCONN",),
    "poll": ("ENOMEM",),
    "close": ("EIO", "EINTR"),
    "register": ("ENOMEM", "ENOSPC"),
    "modify": ("ENOMEM",),
}
SERVER_FAULTS = {
    "connect": (
        "ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ETIMEDOUT", "EADDRNOTAVAIL",
        "EPERM", "EACCES", "EAGAIN",
    ),
    "send": CONNECTION_ERRORS,
    "recv_into": ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"),
    "recv": ("ECONNRESET",),
    "setsockopt": ("EINVAL", "ENOBUFS"),
    "getsockopt": ("ENOTCONN", "EINVAL"),
    "getpeername": ("ENOTCONN",),
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "close": ("EIO", "EINTR"),
    "register": ("ENOMEM", "ENOSPC"),
    "modify": ("ENOMEM",),
}  # fmt: skip
# Calls on client connections whose failure says nothing about the connection.
HARMLESS = ("poll", "getsockopt", "getpeername", "close", "recv")
ACCEPT_ERRORS = ("ECONNABORTED", "EPROTO", "EPERM", "ENETDOWN", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")


@pytest.mark.parametrize("call", CLIENT_FAULTS)
def test_calls_on_clients_connections(call: str) -> None:
    faults = [Fault(call, error, "clients") for error in CLIENT_FAULTS[call]]
    assert run_with_faults(faults, new_connections=True).answers.total()


@pytest.mark.parametrize("call", CLIENT_FAULTS)
def test_calls_on_some_clients_connections(call: str) -> None:
    """Every fourth call fails: some connections survive, and their requests are served meanwhile."""
    faults = [Fault(call, error, "clients", 0.25) for error in CLIENT_FAULTS[call]]
    answers = run_with_faults(faults, new_connections=False).answers
    assert answers[200]
    if call in HARMLESS:
        assert not answers[NO_ANSWER] and not answers[CLOSED_WHILE_IDLE], answers


@pytest.mark.parametrize("call", SERVER_FAULTS)
@pytest.mark.parametrize("share", [1.0, 0.3])
def test_calls_on_servers_connections(call: str, share: float) -> None:
    faults = [Fault(call, error, "servers", share) for error in SERVER_FAULTS[call]]
    answers = run_with_faults(faults, new_connections=False).answers
    # For lack of a descriptor, connections may be evicted before a request was sent: a few per second.
    most_lost = len(faults) * (FAULTY_S / RECLAIM_INTERVAL_S + 1) * MAX_RECLAIMS if call == "socket" else 0
    assert set(answers) <= {200, 404, 502, 503, CLOSED_WHILE_IDLE, NO_ANSWER}, answers
    assert answers[NO_ANSWER] <= most_lost and answers[CLOSED_WHILE_IDLE] <= most_lost, answers
    assert answers[200] or share == 1.0, answers


def test_close_fails_until_shutdown() -> None:
    """The drain closes the listener and idle connections; the process still shuts down in order."""

    async def scene() -> None:
        async with faulty_proxy() as faulty:
            await faulty.wait_until_served()
            await faulty.set_faults(Fault("close", "EIO", "clients"), Fault("close", "EIO", "servers"))
            clients = [await faulty.client() for _ in range(4)]
            for client in clients:
                client.send("/unsafe")
            await asyncio.sleep(0.05)
            faulty.proxy.signal(signal.SIGTERM)
            for client in clients:
                assert (await client.read()).status == 200
            assert await faulty.proxy.ended() == 0, faulty.proxy.log()

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("call", "error"), [("bind", "EADDRINUSE"), ("listen", "EADDRINUSE"), ("bind", "ENOMEM")]
)
def test_address_that_temporarily_can_not_be_listened_on(call: str, error: str, tmp_path: Path) -> None:
    async def scene() -> None:
        plan = tmp_path / "plan.json"
        plan.write_text(json.dumps([Fault(call, error, "clients")]))

        async def clear_faults(proxy: Proxy) -> None:
            await asyncio.sleep(1.0)
            plan.write_text("[]")
            proxy.signal(signal.SIGUSR1)

        hosts, discovery = [await Host("h0", answer_soon).start()], await Discovery().start()
        real, clearing = Proxy.start, list[asyncio.Task[None]]()

        def start(self: Proxy) -> None:
            real(self)
            clearing.append(asyncio.get_running_loop().create_task(clear_faults(self)))

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Proxy, "start", start)
            environ = {"PROXY_FAULTS": str(plan)}
            async with running(discovery, hosts, command=COMMAND, environ=environ) as proxy:
                client = await proxy.client()
                assert (await client.ask("/unsafe")).status == 200

    asyncio.run(scene())


def test_address_that_can_not_be_listened_on_is_reported() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0").start()], await Discovery().start()
        async with running(discovery, hosts) as proxy:
            other = proxy.successor(dict(proxy.environ))
            other.start()
            assert await other.ended() == 2
            assert "can't be listened on" in other.log() and "Traceback" not in other.log()
            other.close()
            await proxy.wait_health(200)

    asyncio.run(scene())


def test_accept() -> None:
    """Connections stay queued until they can be accepted."""
    faults = [Fault("accept", error, "clients", 0.5) for error in ACCEPT_ERRORS]
    assert run_with_faults(faults, new_connections=True).answers[200]
