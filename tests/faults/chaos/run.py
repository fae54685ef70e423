"""Random faults round one real proxy: what clients, servers, the network, signals, lists and system calls do.

A run is judged by what clients and servers saw, by the process's end and by its log.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from cloverrouter.lab.peers import Discovery, Host, Proxy, running
from cloverrouter.lab.process import own_address
from tests.faults.chaos.clients import Clients
from tests.faults.chaos.kept import Crowd, KeptConnections, lost
from tests.faults.chaos.plan import Plan, drawn
from tests.faults.chaos.servers import Servers
from tests.faults.tcp_proxy import Trouble, TroubledLink

WORKERS = 10
PIECES_THAT_END = 0.02  # share of the pieces on a troubled connection
MOST_DESCRIPTORS = 60  # of a process at rest
# Of a process that has been through it, in MiB: an interpreter, the program, buffers of 256 connections.
MOST_MEMORY_MB = 60.0
# Words of the log that tell of an error which nobody expected. `socket_error_contained` is a peer's reset.
UNEXPECTED = ("CRITICAL", "Traceback", " error_contained", "loop_error", "was destroyed", "never awaited")


@dataclass
class Outcome:
    """What a run showed."""

    plan: str
    statuses: Counter[str] = field(default_factory=Counter)
    seen: list[str] = field(default_factory=list)  # troubles by what clients and servers saw
    kept: int = 0  # requests answered on connections that are kept
    kept_while_ending: int = 0  # of these after SIGTERM
    exit_codes: list[int] = field(default_factory=list)
    descriptors: int = 0
    memory_mb: float = 0.0
    log: str = ""
    log_may_tell: bool = False  # system calls were made to fail in ways that only a broken machine shows

    def troubles(self) -> list[str]:
        """What must not be, in words; none if all is well."""
        words = ("CRITICAL", "was destroyed", "never awaited") if self.log_may_tell else UNEXPECTED
        found = [f"the log has {word.strip()!r}" for word in words if word in self.log]
        if any(self.exit_codes):
            found.append(f"exit codes {self.exit_codes}")
        if self.descriptors > MOST_DESCRIPTORS:
            found.append(f"{self.descriptors} descriptors were open at rest")
        if self.memory_mb > MOST_MEMORY_MB:
            found.append(f"it holds {self.memory_mb:.0f} MB")
        return found + self.seen


class Chaos:
    """One run."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._random = Random(seed)
        self._seconds = seconds
        self._plan: Plan = drawn(seed)
        self.outcome = Outcome(str(self._plan), log_may_tell=bool(self._plan.faults))
        self._servers = Servers(self._random, self._plan.truthful)
        self._stack = AsyncExitStack()

    async def play(self) -> Outcome:
        async with self._stack:
            await self._servers.start()
            discovery = await Discovery().start()
            peers: list[Host | Discovery] = [*self._servers.hosts, discovery]
            for peer in peers:
                self._stack.callback(peer.server.close)
                peer.port = (await self._link(("127.0.0.1", peer.port))).port  # as the proxy is told
            proxy = await self._proxy(discovery)
            link = await self._link(proxy.endpoint)
            through = [proxy.endpoint, ("127.0.0.1", link.port)]
            clients = Clients(self._random, through, self._plan.truthful, self._plan.excused)
            kept = KeptConnections(self._random, proxy.endpoint)
            keeping = asyncio.ensure_future(kept.run())
            proxies = await self._trouble(proxy, discovery, clients)
            await self._end(proxies, clients, kept)
            await keeping
            self._judge(clients, kept)
        return self.outcome

    async def _proxy(self, discovery: Discovery) -> Proxy:
        plan, folder = self._plan, self._stack.enter_context(tempfile.TemporaryDirectory())
        environ, command = {"TMPDIR": folder, "PROXY_TRACE": "1"}, None
        inherit: tuple[int, ...] = ()
        more: dict[str, Any] = {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": plan.sockets}}
        if plan.shimmed:
            path = Path(folder) / "plan.json"
            path.write_text(json.dumps(plan.faults))
            environ |= {"PROXY_FAULTS": str(path), "PROXY_SHORT_IO": "1" if plan.short_io else ""}
            command = [sys.executable, "-m", "tests.faults.faulty_sockets"]
        if plan.upgrade:
            listener = self._stack.enter_context(socket.socket())
            address = own_address()
            host, _, port = address.rpartition(":")
            listener.bind((host, int(port)))
            listener.listen(4096)
            more["listen"] = address
            environ["PROXY_INHERITED_FD"] = str(listener.fileno())
            inherit = (listener.fileno(),)
        return await self._stack.enter_async_context(
            running(
                discovery,
                self._servers.hosts,
                settings=plan.settings(),
                more=more,
                command=command,
                environ=environ,
                inherit=inherit,
                contains=True,  # judged by its log below
            )
        )

    async def _link(self, target: tuple[str, int]) -> TroubledLink:
        trouble = Trouble(self._random, PIECES_THAT_END)
        link = await TroubledLink(target, trouble, self._random.random()).start()
        self._stack.push_async_callback(link.close)
        return link

    async def _trouble(self, proxy: Proxy, discovery: Discovery, clients: Clients) -> list[Proxy]:
        """All at once; the processes that there are at the end, the last one last."""
        until_s = clients.until_s = time.monotonic() + self._seconds
        proxies = [proxy]
        tasks = [clients.one() for _ in range(WORKERS)]
        tasks += [clients.steady(), self._signals(proxies, until_s), self._lists(discovery, until_s)]
        if self._plan.upgrade:
            tasks.append(self._upgrade(proxies))
        if self._plan.crowd:
            tasks.append(self._crowd(proxy, until_s))
        await asyncio.gather(*tasks)
        return proxies

    async def _signals(self, proxies: list[Proxy], until_s: float) -> None:
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.uniform(0.05, 0.5))
            for _ in range(self._random.randrange(3, 8) if self._plan.series else 1):
                await self._signal(proxies[-1])

    async def _signal(self, proxy: Proxy) -> None:
        if self._random.random() < 0.3:
            proxy.signal(signal.SIGHUP)
            return
        proxy.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.choice((0.01, 0.05, 0.15)))
        proxy.signal(signal.SIGCONT)

    async def _crowd(self, proxy: Proxy, until_s: float) -> None:
        crowd = Crowd(proxy.endpoint, 2 * self._plan.sockets)
        crowding = asyncio.ensure_future(crowd.run())
        await asyncio.sleep(until_s - time.monotonic())
        crowd.over = True
        await crowding

    async def _lists(self, discovery: Discovery, until_s: float) -> None:
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.uniform(0.1, 0.6))
            host = self._random.choice(self._servers.hosts[1:])
            await discovery.change(host.entry(self._random.choice(("active", "active", "leaving"))))

    async def _upgrade(self, proxies: list[Proxy]) -> None:
        """Another process takes over the listening socket, and the first one is told to end."""
        await asyncio.sleep(self._seconds / 2)
        old, new = proxies[0], proxies[0].successor(dict(proxies[0].environ))
        new.start()
        self._stack.callback(new.close)
        await new.logged("serves at")
        proxies.append(new)
        old.signal(signal.SIGTERM)
        self.outcome.exit_codes.append(await old.ended())

    async def _end(self, proxies: list[Proxy], clients: Clients, kept: KeptConnections) -> None:
        """Nearly at rest; then told to end while clients go on, on every connection that stays open."""
        await asyncio.sleep(0.5)
        proxy = proxies[-1]
        with suppress(OSError):
            self.outcome.descriptors = len(os.listdir(f"/proc/{proxy.process.pid}/fd"))
            self.outcome.memory_mb = memory_mb(proxy.process.pid)
        clients.until_s = time.monotonic() + 1.0
        tasks = [asyncio.ensure_future(clients.one()) for _ in range(WORKERS)]
        await asyncio.sleep(0.1)
        proxy.signal(signal.SIGTERM)
        kept.ending = True
        killing = asyncio.ensure_future(self._kill_at_the_earliest(proxy))
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM) if self._plan.series else ():
            await asyncio.sleep(self._random.choice((0.0, 0.01, 0.2)))
            proxy.signal(number)
        await asyncio.gather(*tasks)
        self.outcome.exit_codes.append(await proxy.ended())
        killing.cancel()
        self.outcome.log = proxies[0].log()

    async def _kill_at_the_earliest(self, proxy: Proxy) -> None:
        """As the platform does. What is not answered by then is lost, and the exit code tells of it."""
        await asyncio.sleep(self._plan.killed_after_s)
        if proxy.up:
            proxy.signal(signal.SIGKILL)

    def _judge(self, clients: Clients, kept: KeptConnections) -> None:
        self.outcome.statuses = clients.statuses
        seen = self.outcome.seen
        seen += [f"{name} ran twice" for name in self._servers.ran_twice()]
        seen += [f"no client has sent {what}" for what in self._servers.strange]
        seen += [f"no answer for {what}" for what in clients.unanswered]
        self.outcome.kept, self.outcome.kept_while_ending = kept.answered, kept.answered_while_ending
        if not self._plan.excused:
            seen += [f"no answer for {what}" for what in lost(kept.unanswered, self.outcome.log)]
        seen += [f"late: {what}" for what in clients.late]
        seen += [f"not its answer: {what}" for what in clients.mixed_up]


def memory_mb(pid: int) -> float:
    """Resident memory of a process, in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
