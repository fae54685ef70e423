"""Runs a scenario on sockets in real time: the real proxy program, with scripted peers on loopback.

The models of the peers, the timeline of faults and the monitors are those of simulated time. A run ends
shortly after the scenario's seconds and ends all processes that it started. Times are the loop's, which is
monotonic; Unix times are computed with an offset read once, so steps of the wall clock have no effect.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

from cloverrouter.lab.account import Account, Result
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.faults import Timeline
from cloverrouter.lab.http import LATE_ANSWER_S, Address, HttpPort, StandIn, StandInDiscovery
from cloverrouter.lab.monitors import Monitors, RuleBroken
from cloverrouter.lab.office import (
    ClientAttempt,
    ClientOutcome,
    Clients,
    client_draws,
    keep_alive_decider,
    rates_by_proxy,
)
from cloverrouter.lab.process import ProxyProcess, own_address
from cloverrouter.lab.registry import Entry, Listing
from cloverrouter.lab.scenario import Scenario, plain
from cloverrouter.lab.server import Job, Server, ServerObserver
from cloverrouter.lab.world import Parties, facts_of
from cloverrouter.strict import Fault, FileError

MAX_PROXIES = 64  # each is a process
MAX_SECONDS = 600.0
MAX_SEND_DELAY_MS = 20.0  # above it, the load differs from what the scenario specifies
MAX_UNSENT_SHARE = 0.01
MONITOR_TOLERANCE_S = 0.05


class SocketRun:
    """One run on sockets; the `World` for faults."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path, command: list[str] | None = None) -> None:
        """`command` starts a proxy; by default `run` without an operators' file."""
        self.scenario, self.seed, self._folder, self._command = scenario, seed, folder, command
        self.loop = asyncio.get_running_loop()
        self._offset_s = time.time() - self.loop.time()
        self.account = Account(scenario)
        self._ended = asyncio.Event()
        self._violation: RuleBroken | None = None
        self._crash: BaseException | None = None
        self.monitors = Monitors(scenario.safety, MONITOR_TOLERANCE_S, self._on_violation)
        observer = ServerObserver(self._on_begun, self._on_overload, self._on_death)
        self.parties = Parties(scenario, seed, self.loop, observer)
        self.servers, self.registry, self.net = self.parties.servers, self.parties.registry, self.parties.net
        self.mix, self.level = self.parties.mix, self.parties.level
        self._names = [f"p-{i}" for i in range(scenario.proxies.count)]
        for i, name in enumerate(self._names):
            self.net.place(name, self.parties.hall_of_proxy(i))
        self._stand_ins = {name: self._stand_in(server) for name, server in self.servers.items()}
        self._discovery = StandInDiscovery(
            self.registry,
            self.net,
            self._names,
            self._address,
            self._offset_s,
            self._on_poll,
            self._on_list_sent,
        )
        self.registry.on_change = self._on_registry_change
        self.proxies: dict[str, ProxyProcess] = {}
        self._ending: set[str] = set()  # signalled to end, or killed
        self._paused: set[str] = set()
        self._resumed_s: dict[str, float] = {}  # when they last resumed
        self._ports: dict[int, list[HttpPort]] = {}
        self._send_delays_s: list[float] = []
        self._predecessors: dict[str, str] = {}  # by server: the server whose address it took over
        self._known: dict[str, set[str]] = {name: set() for name in self._names}

    def _address(self, server: str, proxy: str) -> Address:
        return self._stand_ins[server].address(proxy)

    def _on_registry_change(self, entry: Entry) -> None:
        self.monitors.listed(self.loop.time(), entry.name, entry.state == "active")

    def _stand_in(self, server: Server) -> StandIn:
        found = StandIn(server, self.net, self._names, self._on_arrival, self._on_rejection)
        found.draft_saves = {kind.name: kind.draft_saves for kind in self.scenario.class_}
        return found

    async def run(self) -> Result:
        """Run the scenario. Raises what a callback raised, or RuntimeError if a proxy does not come up."""
        scenario = self.scenario
        self.loop.set_exception_handler(self._on_exception)
        try:
            for stand_in in self._stand_ins.values():
                stand_in.open()
            self.registry.begin([self._entry(server) for server in self.servers.values()])
            self._discovery.open()
            for i, name in enumerate(self._names):
                discovery = self._discovery.address(name)
                config = {
                    "name": name,
                    "listen": own_address(),
                    "discovery": f"{discovery[0]}:{discovery[1]}",
                    "seed": f"{Draws(self.seed, name).integer():x}",
                    "limits": {"sockets": scenario.proxies.sockets},
                    "settings": facts_of(scenario, i, self.net.hall(name)),
                    "known": self._discovery.as_json(self.registry.listing(), name),
                }
                self.proxies[name] = ProxyProcess(
                    config, self._folder, self._command, constants=scenario.proxies.module
                )
                self.proxies[name].start()
            for proxy in self.proxies.values():
                await proxy.wait_health(200)
            cpu_s = sum(proxy.cpu_s() for proxy in self.proxies.values())
            self.account.begun_s = self.loop.time()
            clients = self._clients()
            for each in clients:
                each.start()
            Timeline(scenario, self, self.seed).start()
            attempts = 1 + max(office.retries for office in scenario.office)
            max_deadline_s = max(kind.deadline_ms for kind in scenario.class_) / 1000
            max_backoff_s = max(office.backoff_ms for office in scenario.office) / 1000 * 2
            with suppress(TimeoutError):
                async with asyncio.timeout(
                    scenario.seconds + attempts * (max_deadline_s + max_backoff_s) + 2 * LATE_ANSWER_S
                ):
                    await self._ended.wait()
            cpu_s = sum(proxy.cpu_s() for proxy in self.proxies.values()) - cpu_s
        finally:
            self.close()
        if self._crash is not None:
            raise self._crash
        return self._result(cpu_s)

    def _clients(self) -> list[Clients]:
        found = []
        for at, office in enumerate(self.scenario.office):
            rates = rates_by_proxy(office, self.scenario.proxies.count, Draws(self.seed, "office", at))
            for index, rate in rates.items():
                draws = client_draws(self.seed, at, index)
                # The port and the clients refer to each other: the list is filled after both exist.
                clients_slot: list[Clients] = []
                port = HttpPort(
                    self.proxies[f"p-{index}"].endpoint, office.connections,
                    self._answer_callback(clients_slot), self._on_sent, self._on_no_answer,
                    self._send_delays_s.append, keep_alive_decider(office, draws[1]),
                )  # fmt: skip
                clients = Clients(
                    self.loop, office, index, rate, self.mix, self.level, draws, self.parties.numbers, port,
                    self.account, self.scenario.seconds,
                )  # fmt: skip
                clients_slot.append(clients)
                self._ports.setdefault(index, []).append(port)
                found.append(clients)
        return found

    def _answer_callback(
        self, clients_slot: list[Clients]
    ) -> Callable[[ClientAttempt, ClientOutcome, float | None], None]:
        def answered(ask: ClientAttempt, got: ClientOutcome, retry_after_s: float | None) -> None:
            if got in ("served", "refused", "failed"):
                self.monitors.final(self.loop.time(), ask.number, got)
            if got in ("refused", "failed") and not ask.finished:
                self.account.refused(self.loop.time(), f"{got}: the proxies do not say why on the wire")
            clients_slot[0].answered(ask, got, retry_after_s)

        return answered

    def _result(self, cpu_s: float) -> Result:
        most = max(server.most_connections for server in self.servers.values())
        result = self.account.result(self.seed, "sockets", plain(self.scenario), most)
        figures = result.figures
        figures.cpu_us_per_request = cpu_s * 1e6 / max(1, figures.asked)
        delays_s = sorted(self._send_delays_s)
        figures.late_ms = 1000 * delays_s[int(0.99 * (len(delays_s) - 1))] if delays_s else 0.0
        if figures.late_ms > MAX_SEND_DELAY_MS:
            result.notes.append(
                f"the load was late by {figures.late_ms:.0f} ms at the 99th percentile: this machine can't "
                "send what the scenario asks, and what that did is not the proxies' fault; lower the rates, "
                "or use simulated time"
            )
        if figures.unsent > MAX_UNSENT_SHARE * max(1, figures.tries):
            result.notes.append(
                f"{figures.unsent} of {figures.tries} tries found no connection and were not sent: they are "
                "told apart from what was not served; more connections for the offices, or fewer requests"
            )
        if self._violation is not None:
            result.broken, result.last = str(self._violation), self._violation.last
        result.digest = ""  # no two runs on sockets are alike
        return result

    # Events

    def _on_violation(self, violation: RuleBroken) -> None:
        self._violation = self._violation or violation
        self._ended.set()

    def _on_sent(self, ask: ClientAttempt) -> None:
        name = f"p-{ask.proxy}"
        if self.proxies[name].up:
            self.monitors.taken(self.loop.time(), name, ask.number, ask.kind)

    def _on_no_answer(self, ask: ClientAttempt) -> None:
        """Handle a request whose answer did not come in time, or whose connection broke."""
        up = self.proxies[f"p-{ask.proxy}"].up and f"p-{ask.proxy}" not in self._ending
        if up and not self._was_paused(ask):
            self.monitors.waited_out(self.loop.time(), ask.number)
        self.monitors.forget(self.loop.time(), ask.number)

    def _on_arrival(self, proxy: str, server: Server, job: Job) -> None:
        now_s = self.loop.time()
        name = server.name
        if self.monitors.left(proxy, name):  # the proxy may have meant the previous server at its address
            name = self._predecessors.get(name, name)
        self.monitors.sent(now_s, proxy, job.request_id, name, server.groups.get(job.class_name, ""))
        self.account.sent(now_s, server.name)

    def _on_begun(self, server: Server, job: Job) -> None:
        self.monitors.begun(self.loop.time(), job.request_id, server.name)
        self.account.begun(job.request_id, job.work_ms)

    def _on_overload(self, server: Server) -> None:
        self.monitors.fell(self.loop.time(), server.name)

    def _on_death(self, server: Server) -> None:
        self._stand_ins[server.name].crash()

    def _on_rejection(self, server: Server, job: Job) -> None:
        for name in (server.name, self._predecessors.get(server.name, server.name)):
            self.monitors.known(job.request_id, name, True)

    def _on_poll(self, proxy: str) -> None:
        self.monitors.asked(self.loop.time(), proxy)

    def _on_list_sent(self, proxy: str, listing: Listing) -> None:
        now_s = self.loop.time()
        states = {entry.name: entry.state for entry in listing.entries}
        self.monitors.told(now_s, proxy, states, listing.full)
        if listing.full:
            for name in self._known[proxy] - set(states):
                self.monitors.gone(now_s, proxy, name)
            self._known[proxy] = set()
        self._known[proxy] |= set(states)

    def _entry(self, server: Server) -> Entry:
        state = server.state if server.up else "left"
        return Entry(server.name, server.hall, server.rack, state, server.started_s, None)

    def _on_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """End the run: asyncio only logs an exception of a callback, and the run would continue unchecked."""
        self._crash = self._crash or context.get("exception") or RuntimeError(context["message"])
        self._ended.set()

    # The `World` for faults

    def changed(self, server: Server, why: str) -> None:
        """Pass a server's new state to discovery."""
        entry = self._entry(server)
        if why == "crash":
            entry = replace(entry, state="left")
        elif why == "add" and not self._stand_ins[server.name].listening:
            self._stand_ins[server.name].open()  # a new process at the previous one's address
        self.registry.changed(entry, why)

    def replace(self, server: Server, name: str, same_address: bool) -> Server:
        """Add a cold server, at the address of `server` if so requested."""
        new = self.parties.add(name, server.kind, server.hall, server.rack, self.loop.time())
        stand_in = self._stand_ins[name] = self._stand_in(new)
        stand_in.open(self._stand_ins[server.name] if same_address else None)
        if same_address:
            self._predecessors[name] = server.name
        return new

    def vanish(self, server: Server) -> None:
        """Make a server's machine unreachable."""
        server.reachable = False
        self._stand_ins[server.name].vanish()

    def back(self, server: Server) -> None:
        """Make it reachable again; its connections are reset."""
        server.reachable = True
        self._stand_ins[server.name].restore()

    def kill(self, proxy: str) -> None:
        """Send SIGKILL to a proxy."""
        self._send_end_signal(proxy, signal.SIGKILL)

    def terminate(self, proxy: str) -> None:
        """Send SIGTERM to a proxy."""
        self._send_end_signal(proxy, signal.SIGTERM)

    def _send_end_signal(self, proxy: str, number: signal.Signals) -> None:
        self._ending.add(proxy)
        self.proxies[proxy].signal(number)

    def start(self, proxy: str) -> None:
        """Start a proxy again, once its old process has ended."""
        if self.proxies[proxy].up:
            self.loop.call_later(0.05, self.start, proxy)  # the old process has not ended yet
        else:
            self.monitors.restarted(proxy)
            self.proxies[proxy].start()
            self._ending.discard(proxy)

    def stand(self, proxy: str) -> None:
        """Pause a proxy with SIGSTOP."""
        self.proxies[proxy].signal(signal.SIGSTOP)
        self._paused.add(proxy)

    def go_on(self, proxy: str) -> None:
        """Resume a paused proxy."""
        self._paused.discard(proxy)
        self._resumed_s[proxy] = self.loop.time()
        self.proxies[proxy].signal(signal.SIGCONT)

    def _was_paused(self, ask: ClientAttempt) -> bool:
        """Return whether the proxy was paused during the request, which makes a late answer no fault."""
        name = f"p-{ask.proxy}"
        return name in self._paused or self._resumed_s.get(name, 0.0) > ask.sent_s

    def proxy_names(self) -> list[str]:
        """Return the names of all proxies."""
        return self._names

    def noted(self, from_s: float, to_s: float, text: str, servers: list[str]) -> None:
        """Record a fault for the report."""
        self.account.faults.append((from_s, to_s, text, servers))

    def close(self) -> None:
        """Close all connections and end the proxies."""
        for ports in self._ports.values():
            for port in ports:
                port.close()
        for proxy in self.proxies.values():
            proxy.close()
        for stand_in in self._stand_ins.values():
            stand_in.close()
        self._discovery.close()


async def _run(scenario: Scenario, seed: int) -> Result:
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        return await SocketRun(scenario, seed, Path(folder)).run()


def run_on_sockets(scenario: Scenario, seed: int) -> Result:
    """Run a scenario on sockets.

    Raises `FileError` if the scenario is too large for that, RuntimeError if a proxy does not come up.
    """
    faults = []
    if scenario.proxies.count > MAX_PROXIES:
        text = f"is {scenario.proxies.count}: on sockets each is a process"
        faults.append(Fault("proxies.count", text, f"at most {MAX_PROXIES}, or use simulated time"))
    if scenario.seconds > MAX_SECONDS:
        text = f"is {scenario.seconds:g}: on sockets a run takes as long as it says"
        faults.append(Fault("seconds", text, f"at most {MAX_SECONDS:g}, or use simulated time"))
    if faults:
        raise FileError(scenario.name, faults)
    return asyncio.run(_run(scenario, seed))
