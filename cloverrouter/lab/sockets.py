"""The driver on sockets: the real proxy program, before stand-ins on loopback, in real time.

The parties' rules, the timeline and the monitors are those of simulated time. Bounded: it ends a little after
the scenario's seconds, and ends what it started. Times are the loop's, which is monotonic: a wall clock that
jumps moves nothing; Unix times are reckoned from it by an offset that is taken once.
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
from cloverrouter.lab.http import LATE_S, Address, HttpPort, StandIn, StandInDiscovery
from cloverrouter.lab.monitors import Monitors, RuleBroken
from cloverrouter.lab.office import Ask, Clients, Got, draws_of, keeps_of, rates_of
from cloverrouter.lab.process import ProxyProcess, own_address
from cloverrouter.lab.registry import Entry, Listing
from cloverrouter.lab.scenario import Scenario, plain
from cloverrouter.lab.server import Job, Server, Watching
from cloverrouter.lab.world import Parties, facts_of
from cloverrouter.strict import Fault, FileError

MOST_PROXIES = 64  # each is a process
MOST_SECONDS = 600.0
LATE_LOAD_MS = 20.0  # from here on the load is not what the scenario asks for
UNSENT_SHARE = 0.01
SLACK_S = 0.05


class Play:
    """One run on sockets. The parties see it as their `World`."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path, command: list[str] | None = None) -> None:
        """`command`: what starts a proxy, where that is not `run` without an operators' file."""
        self.scenario, self.seed, self._folder, self._command = scenario, seed, folder, command
        self.loop = asyncio.get_running_loop()
        self._offset_s = time.time() - self.loop.time()
        self.account = Account(scenario)
        self._over = asyncio.Event()
        self._broken: RuleBroken | None = None
        self._crash: BaseException | None = None
        self.monitors = Monitors(scenario.safety, SLACK_S, self._on_broken)
        watching = Watching(self._begun, self._fell, self._died)
        self.parties = Parties(scenario, seed, self.loop, watching)
        self.servers, self.registry, self.net = self.parties.servers, self.parties.registry, self.parties.net
        self.mix, self.level = self.parties.mix, self.parties.level
        self._names = [f"p-{i}" for i in range(scenario.proxies.count)]
        for i, name in enumerate(self._names):
            self.net.place(name, self.parties.hall_of_proxy(i))
        self._stand_ins = {name: self._stand_in(server) for name, server in self.servers.items()}
        self._discovery = StandInDiscovery(
            self.registry, self.net, self._names, self._address, self._offset_s, self._asked, self._told
        )
        self.registry.on_change = self._listed
        self.proxies: dict[str, ProxyProcess] = {}
        self._stopped: set[str] = set()  # told to end, or killed
        self._standing: set[str] = set()
        self._stood_s: dict[str, float] = {}  # until when they last did
        self._ports: dict[int, list[HttpPort]] = {}
        self._late: list[float] = []
        self._before: dict[str, str] = {}  # servers that took over an address, and whose
        self._known: dict[str, set[str]] = {name: set() for name in self._names}

    def _address(self, server: str, proxy: str) -> Address:
        return self._stand_ins[server].address(proxy)

    def _listed(self, entry: Entry) -> None:
        self.monitors.listed(self.loop.time(), entry.name, entry.state == "active")

    def _stand_in(self, server: Server) -> StandIn:
        found = StandIn(server, self.net, self._names, self._arrived, self._turned_away)
        found.saves = {kind.name: kind.draft_saves for kind in self.scenario.class_}
        return found

    async def run(self) -> Result:
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
                    "seed": f"{Draws(self.seed, name).whole():x}",
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
            tries = 1 + max(office.retries for office in scenario.office)
            longest_s = max(kind.deadline_ms for kind in scenario.class_) / 1000
            waits_s = max(office.backoff_ms for office in scenario.office) / 1000 * 2
            with suppress(TimeoutError):
                async with asyncio.timeout(scenario.seconds + tries * (longest_s + waits_s) + 2 * LATE_S):
                    await self._over.wait()
            cpu_s = sum(proxy.cpu_s() for proxy in self.proxies.values()) - cpu_s
        finally:
            self.close()
        if self._crash is not None:
            raise self._crash
        return self._result(cpu_s)

    def _clients(self) -> list[Clients]:
        found = []
        for at, office in enumerate(self.scenario.office):
            rates = rates_of(office, self.scenario.proxies.count, Draws(self.seed, "office", at))
            for index, rate in rates.items():
                draws = draws_of(self.seed, at, index)
                # The two know each other: the port tells the clients what came.
                box: list[Clients] = []
                port = HttpPort(
                    self.proxies[f"p-{index}"].endpoint, office.connections, self._answer_to(box), self._sent,
                    self._lost, self._late.append, keeps_of(office, draws[1]),
                )  # fmt: skip
                clients = Clients(
                    self.loop, office, index, rate, self.mix, self.level, draws, self.parties.numbers, port,
                    self.account, self.scenario.seconds,
                )  # fmt: skip
                box.append(clients)
                self._ports.setdefault(index, []).append(port)
                found.append(clients)
        return found

    def _answer_to(self, box: list[Clients]) -> Callable[[Ask, Got, float | None], None]:
        def answered(ask: Ask, got: Got, retry_after_s: float | None) -> None:
            if got in ("served", "refused", "failed"):
                self.monitors.final(self.loop.time(), ask.number, got)
            if got in ("refused", "failed") and not ask.over:
                self.account.refused(self.loop.time(), f"{got}: the proxies do not say why on the wire")
            box[0].answered(ask, got, retry_after_s)

        return answered

    def _result(self, cpu_s: float) -> Result:
        most = max(server.most_connections for server in self.servers.values())
        result = self.account.result(self.seed, "sockets", plain(self.scenario), most)
        figures = result.figures
        figures.cpu_us_per_request = cpu_s * 1e6 / max(1, figures.asked)
        late = sorted(self._late)
        figures.late_ms = 1000 * late[int(0.99 * (len(late) - 1))] if late else 0.0
        if figures.late_ms > LATE_LOAD_MS:
            result.notes.append(
                f"the load was late by {figures.late_ms:.0f} ms at the 99th percentile: this machine can't "
                "send what the scenario asks, and what that did is not the proxies' fault; lower the rates, "
                "or use simulated time"
            )
        if figures.unsent > UNSENT_SHARE * max(1, figures.tries):
            result.notes.append(
                f"{figures.unsent} of {figures.tries} tries found no connection and were not sent: they are "
                "told apart from what was not served; more connections for the offices, or fewer requests"
            )
        if self._broken is not None:
            result.broken, result.last = str(self._broken), self._broken.last
        result.digest = ""  # no two runs on sockets are alike
        return result

    # What happens

    def _on_broken(self, broken: RuleBroken) -> None:
        self._broken = self._broken or broken
        self._over.set()

    def _sent(self, ask: Ask) -> None:
        name = f"p-{ask.proxy}"
        if self.proxies[name].up:
            self.monitors.taken(self.loop.time(), name, ask.number, ask.kind)

    def _lost(self, ask: Ask) -> None:
        """No answer came in time, or its connection broke."""
        up = self.proxies[f"p-{ask.proxy}"].up and f"p-{ask.proxy}" not in self._stopped
        if up and not self._stood(ask):
            self.monitors.waited_out(self.loop.time(), ask.number)
        self.monitors.forget(self.loop.time(), ask.number)

    def _arrived(self, proxy: str, server: Server, job: Job) -> None:
        now_s = self.loop.time()
        name = server.name
        if self.monitors.left(proxy, name):  # the proxy may mean the one that had its address before
            name = self._before.get(name, name)
        self.monitors.sent(now_s, proxy, job.request_id, name, server.groups.get(job.class_name, ""))
        self.account.sent(now_s, server.name)

    def _begun(self, server: Server, job: Job) -> None:
        self.monitors.begun(self.loop.time(), job.request_id, server.name)
        self.account.begun(job.request_id, job.work_ms)

    def _fell(self, server: Server) -> None:
        self.monitors.fell(self.loop.time(), server.name)

    def _died(self, server: Server) -> None:
        self._stand_ins[server.name].died()

    def _turned_away(self, server: Server, job: Job) -> None:
        for name in (server.name, self._before.get(server.name, server.name)):
            self.monitors.known(job.request_id, name, True)

    def _asked(self, proxy: str) -> None:
        self.monitors.asked(self.loop.time(), proxy)

    def _told(self, proxy: str, listing: Listing) -> None:
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

    def _on_exception(self, loop: asyncio.AbstractEventLoop, what: dict[str, Any]) -> None:
        """Danger: asyncio only logs what a callback raises, and the run would go on with half of its
        rules."""
        self._crash = self._crash or what.get("exception") or RuntimeError(what["message"])
        self._over.set()

    # A `World` for faults

    def changed(self, server: Server, why: str) -> None:
        entry = self._entry(server)
        if why == "crash":
            entry = replace(entry, state="left")
        elif why == "add" and not self._stand_ins[server.name].listening:
            self._stand_ins[server.name].open()  # a new process at the old one's address
        self.registry.changed(entry, why)

    def replace(self, server: Server, name: str, same_address: bool) -> Server:
        new = self.parties.add(name, server.kind, server.hall, server.rack, self.loop.time())
        stand_in = self._stand_ins[name] = self._stand_in(new)
        stand_in.open(self._stand_ins[server.name] if same_address else None)
        if same_address:
            self._before[name] = server.name
        return new

    def vanish(self, server: Server) -> None:
        server.reachable = False
        self._stand_ins[server.name].vanish()

    def back(self, server: Server) -> None:
        server.reachable = True
        self._stand_ins[server.name].back()

    def kill(self, proxy: str) -> None:
        self._stop(proxy, signal.SIGKILL)

    def terminate(self, proxy: str) -> None:
        self._stop(proxy, signal.SIGTERM)

    def _stop(self, proxy: str, number: signal.Signals) -> None:
        self._stopped.add(proxy)
        self.proxies[proxy].signal(number)

    def start(self, proxy: str) -> None:
        if self.proxies[proxy].up:
            self.loop.call_later(0.05, self.start, proxy)  # it has not ended yet
        else:
            self.monitors.restarted(proxy)
            self.proxies[proxy].start()
            self._stopped.discard(proxy)

    def stand(self, proxy: str) -> None:
        self.proxies[proxy].signal(signal.SIGSTOP)
        self._standing.add(proxy)

    def go_on(self, proxy: str) -> None:
        self._standing.discard(proxy)
        self._stood_s[proxy] = self.loop.time()
        self.proxies[proxy].signal(signal.SIGCONT)

    def _stood(self, ask: Ask) -> bool:
        """Did its proxy stand still while it waited? Then its answer could not come in time."""
        name = f"p-{ask.proxy}"
        return name in self._standing or self._stood_s.get(name, 0.0) > ask.sent_s

    def proxy_names(self) -> list[str]:
        return self._names

    def noted(self, from_s: float, to_s: float, text: str, servers: list[str]) -> None:
        self.account.faults.append((from_s, to_s, text, servers))

    def close(self) -> None:
        for ports in self._ports.values():
            for port in ports:
                port.close()
        for proxy in self.proxies.values():
            proxy.close()
        for stand_in in self._stand_ins.values():
            stand_in.close()
        self._discovery.close()


async def _play(scenario: Scenario, seed: int) -> Result:
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        return await Play(scenario, seed, Path(folder)).run()


def play(scenario: Scenario, seed: int) -> Result:
    """Run a scenario on sockets.

    Raises `FileError` for one that is too large for that, RuntimeError if a proxy does not come up.
    """
    faults = []
    if scenario.proxies.count > MOST_PROXIES:
        text = f"is {scenario.proxies.count}: on sockets each is a process"
        faults.append(Fault("proxies.count", text, f"at most {MOST_PROXIES}, or use simulated time"))
    if scenario.seconds > MOST_SECONDS:
        text = f"is {scenario.seconds:g}: on sockets a run takes as long as it says"
        faults.append(Fault("seconds", text, f"at most {MOST_SECONDS:g}, or use simulated time"))
    if faults:
        raise FileError(scenario.name, faults)
    return asyncio.run(_play(scenario, seed))
