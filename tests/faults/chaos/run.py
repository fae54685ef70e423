"""Run one real proxy under random faults.

Clients, servers, the network, signals, lists of servers and system calls cause the faults. A run is checked
by what clients and servers observed, by the exit codes of the processes and by their log.
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
from math import inf
from pathlib import Path
from random import Random
from typing import Any

from cloverrouter.lab.peers import Discovery, Host, Proxy, running
from cloverrouter.lab.process import own_address
from tests.faults.chaos.clients import Clients
from tests.faults.chaos.hungry import HungryClients
from tests.faults.chaos.kept import IdleClients, KeptConnections, lost
from tests.faults.chaos.plan import Plan, draw_plan
from tests.faults.chaos.servers import Servers
from tests.faults.tcp_proxy import ChunkFaults, FaultyLink

WORKERS = 10  # concurrent clients that misbehave
BROKEN_CHUNK_SHARE = 0.02  # share of the chunks on a faulty connection that end it
MAX_DESCRIPTORS = 60  # of an idle process
# Resident memory at the end of a run, in MiB: the interpreter, the program and buffers of 256 connections.
MAX_MEMORY_MB = 60.0
# Log texts that show an unexpected error. `socket_error_contained` is not one: it is a peer's reset.
UNEXPECTED_LOG_TEXTS = (
    "CRITICAL",
    "Traceback",
    " error_contained",
    "loop_error",
    "was destroyed",
    "never awaited",
)


@dataclass
class Outcome:
    """Result of a run."""

    plan: str
    statuses: Counter[str] = field(default_factory=Counter)
    observed: list[str] = field(default_factory=list)  # failures that clients and servers observed
    kept_answered: int = 0  # requests answered on persistent connections
    kept_answered_after_sigterm: int = 0  # of these after SIGTERM
    exit_codes: list[int] = field(default_factory=list)
    descriptors: int = 0
    memory_mb: float = 0.0
    peak_mb: float = 0.0
    max_peak_mb: float = inf
    log: str = ""
    errors_expected: bool = False  # system calls fail as they do only on a faulty machine

    def failures(self) -> list[str]:
        """Return a description of each failed check; an empty list if the run passed."""
        texts = (
            ("CRITICAL", "was destroyed", "never awaited") if self.errors_expected else UNEXPECTED_LOG_TEXTS
        )
        found = [f"the log has {text.strip()!r}" for text in texts if text in self.log]
        if any(self.exit_codes):
            found.append(f"exit codes {self.exit_codes}")
        if self.descriptors > MAX_DESCRIPTORS:
            found.append(f"{self.descriptors} descriptors were open at rest")
        if self.memory_mb > MAX_MEMORY_MB:
            found.append(f"resident memory is {self.memory_mb:.0f} MB")
        if self.peak_mb > self.max_peak_mb:
            found.append(f"peak of resident memory is {self.peak_mb:.1f} MB of {self.max_peak_mb} MB")
        return found + self.observed


class Chaos:
    """One run: a proxy with its peers, and the faults of one seed."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._random = Random(seed)
        self._seconds = seconds
        self._plan: Plan = draw_plan(seed)
        self.outcome = Outcome(str(self._plan), errors_expected=bool(self._plan.faults))
        self._servers = Servers(self._random, self._plan.truthful)
        self._stack = AsyncExitStack()

    async def run(self) -> Outcome:
        """Start the peers and the proxy, inject the faults, stop the proxy and check the result."""
        async with self._stack:
            await self._servers.start()
            discovery = await Discovery().start()
            peers: list[Host | Discovery] = [*self._servers.hosts, discovery]
            for peer in peers:
                self._stack.callback(peer.server.close)
                # The proxy gets the link's address instead of the peer's.
                peer.port = (await self._link(("127.0.0.1", peer.port))).port
            proxy = await self._proxy(discovery)
            link = await self._link(proxy.endpoint)
            endpoints = [proxy.endpoint, ("127.0.0.1", link.port)]
            clients = Clients(self._random, endpoints, self._plan.truthful, self._plan.may_close_unanswered)
            kept = KeptConnections(self._random, proxy.endpoint)
            kept_task = asyncio.ensure_future(kept.run())
            proxies = await self._inject_faults(proxy, discovery, clients)
            await self._stop(proxies, clients, kept)
            await kept_task
            self._check(clients, kept)
        return self.outcome

    async def _proxy(self, discovery: Discovery) -> Proxy:
        plan, folder = self._plan, self._stack.enter_context(tempfile.TemporaryDirectory())
        environ, command = {"TMPDIR": folder, "PROXY_TRACE": "1", "MALLOC_MMAP_THRESHOLD_": "65536"}, None
        inherit: tuple[int, ...] = ()
        more: dict[str, Any] = {
            "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.sockets}
        }
        if plan.wraps_system_calls:
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
                contains=True,  # `Outcome.failures` checks the log
            )
        )

    async def _link(self, target: tuple[str, int]) -> FaultyLink:
        faults = ChunkFaults(self._random, BROKEN_CHUNK_SHARE)
        link = await FaultyLink(target, faults, self._random.random()).start()
        self._stack.push_async_callback(link.close)
        return link

    async def _inject_faults(self, proxy: Proxy, discovery: Discovery, clients: Clients) -> list[Proxy]:
        """Inject all kinds of faults concurrently; return the processes, the newest one last."""
        until_s = clients.until_s = time.monotonic() + self._seconds
        proxies = [proxy]
        tasks = [clients.run_worker() for _ in range(WORKERS)]
        tasks += [
            clients.run_steady_client(),
            self._send_signals(proxies, until_s),
            self._change_lists(discovery, until_s),
        ]
        if self._plan.upgrade:
            tasks.append(self._upgrade(proxies))
        if self._plan.crowd:
            tasks.append(self._use_up_descriptors(proxy, until_s))
        if self._plan.hungry:
            tasks.append(self._use_up_memory(proxy, until_s))
        await asyncio.gather(*tasks)
        return proxies

    async def _send_signals(self, proxies: list[Proxy], until_s: float) -> None:
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.uniform(0.05, 0.5))
            for _ in range(self._random.randrange(3, 8) if self._plan.series else 1):
                await self._send_signal(proxies[-1])

    async def _send_signal(self, proxy: Proxy) -> None:
        if self._random.random() < 0.3:
            proxy.signal(signal.SIGHUP)
            return
        proxy.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.choice((0.01, 0.05, 0.15)))
        proxy.signal(signal.SIGCONT)

    async def _use_up_descriptors(self, proxy: Proxy, until_s: float) -> None:
        idle_clients = IdleClients(proxy.endpoint, 2 * self._plan.sockets)
        idle_task = asyncio.ensure_future(idle_clients.run())
        await asyncio.sleep(until_s - time.monotonic())
        idle_clients.stopping = True
        await idle_task

    async def _use_up_memory(self, proxy: Proxy, until_s: float) -> None:
        hungry_clients = HungryClients(self._random, proxy.endpoint, self._plan.sockets // 2)
        hungry_task = asyncio.ensure_future(hungry_clients.run())
        await asyncio.sleep(until_s - time.monotonic())
        hungry_clients.stopping = True
        await hungry_task

    async def _change_lists(self, discovery: Discovery, until_s: float) -> None:
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.uniform(0.1, 0.6))
            host = self._random.choice(self._servers.hosts[1:])
            await discovery.change(host.entry(self._random.choice(("active", "active", "leaving"))))

    async def _upgrade(self, proxies: list[Proxy]) -> None:
        """Start a second process on the same listening socket, then send SIGTERM to the first one."""
        await asyncio.sleep(self._seconds / 2)
        old, new = proxies[0], proxies[0].successor(dict(proxies[0].environ))
        new.start()
        self._stack.callback(new.close)
        await new.logged("serves at")
        proxies.append(new)
        old.signal(signal.SIGTERM)
        self.outcome.exit_codes.append(await old.ended())

    async def _stop(self, proxies: list[Proxy], clients: Clients, kept: KeptConnections) -> None:
        """Measure the nearly idle process, then send SIGTERM while clients continue on open connections."""
        await asyncio.sleep(0.5)
        proxy = proxies[-1]
        with suppress(OSError):
            self.outcome.descriptors = len(os.listdir(f"/proc/{proxy.process.pid}/fd"))
            self.outcome.memory_mb = memory_mb(proxy.process.pid)
            self.outcome.peak_mb = peak_mb(proxy.process.pid)
            # `faulty_sockets` brings modules of its own.
            self.outcome.max_peak_mb = inf if self._plan.wraps_system_calls else self._plan.memory_mb
        clients.until_s = time.monotonic() + 1.0
        tasks = [asyncio.ensure_future(clients.run_worker()) for _ in range(WORKERS)]
        await asyncio.sleep(0.1)
        proxy.signal(signal.SIGTERM)
        kept.stopping = True
        kill_task = asyncio.ensure_future(self._kill_after_grace_period(proxy))
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM) if self._plan.series else ():
            await asyncio.sleep(self._random.choice((0.0, 0.01, 0.2)))
            proxy.signal(number)
        await asyncio.gather(*tasks)
        self.outcome.exit_codes.append(await proxy.ended())
        kill_task.cancel()
        self.outcome.log = proxies[0].log()

    async def _kill_after_grace_period(self, proxy: Proxy) -> None:
        """Kill the process as the platform does.

        Requests that are not answered by then are lost, which the exit code shows.
        """
        await asyncio.sleep(self._plan.sigkill_after_s)
        if proxy.up:
            proxy.signal(signal.SIGKILL)

    def _check(self, clients: Clients, kept: KeptConnections) -> None:
        self.outcome.statuses = clients.statuses
        observed = self.outcome.observed
        observed += [f"{name} ran twice" for name in self._servers.ran_twice()]
        observed += [f"no client has sent {what}" for what in self._servers.unknown_requests]
        observed += [f"no answer for {what}" for what in clients.unanswered]
        self.outcome.kept_answered, self.outcome.kept_answered_after_sigterm = (
            kept.answered,
            kept.answered_after_sigterm,
        )
        if not self._plan.may_close_unanswered:
            observed += [f"no answer for {what}" for what in lost(kept.unanswered, self.outcome.log)]
        observed += [f"late: {what}" for what in clients.late]
        observed += [f"answer to another request: {what}" for what in clients.mismatched]


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def peak_mb(pid: int) -> float:
    """Return the largest resident memory of a process so far in MiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024
