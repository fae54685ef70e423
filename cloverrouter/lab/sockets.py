"""The driver on sockets: the real proxy program, before stand-ins on loopback, in real time.

The parties' rules, the timeline and the monitors are those of simulated time. Bounded: it ends a little after
the scenario's seconds, and ends what it started. Times are the loop's, which is monotonic: a wall clock that
jumps moves nothing; Unix times are reckoned from it by an offset that is taken once.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
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
from cloverrouter.lab.office import Ask, Clients, Got, rates_of
from cloverrouter.lab.registry import Entry, Listing
from cloverrouter.lab.scenario import Scenario, plain
from cloverrouter.lab.server import Job, Server, Watching
from cloverrouter.lab.world import Parties, facts_of, group_of
from cloverrouter.strict import Fault, FileError

MOST_PROXIES = 64  # each is a process
MOST_SECONDS = 600.0
UP_S = 30.0
LATE_LOAD_MS = 20.0  # from here on the load is not what the scenario asks for
UNSENT_SHARE = 0.01
SLACK_S = 0.05
ROOT = Path(__file__).resolve().parents[2]


class ProxyProcess:
    """The program, started as `run` says but with this interpreter."""

    def __init__(
        self,
        config: dict[str, Any],
        folder: Path,
        constants: dict[str, float] | None = None,
        arguments: tuple[str, ...] = (),
        environ: dict[str, str] | None = None,
    ) -> None:
        """`constants`: the module's, where they differ. `arguments`: to `python -m cloverrouter run`."""
        self.name = config["name"]
        host, _, port = config["listen"].rpartition(":")
        self.address: Address = (host, int(port))
        self.config, self.log = folder / f"{self.name}.json", folder / f"{self.name}.log"
        self.config.write_text(json.dumps(config))
        self._environ = {
            **os.environ, "PROXY_CONFIG": str(self.config), **(environ or {}),
            "PYTHONPATH": os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH")))),
        }  # fmt: skip
        for name in ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY"):
            self._environ.pop(name, None)
        self._command = [sys.executable, "-m", "cloverrouter.proxy"]
        if arguments:
            self._command = [sys.executable, "-m", "cloverrouter", "run", *arguments]
        if constants:
            setting = "".join(
                f"decide.{name} = type(decide.{name})({value!r}); " for name, value in constants.items()
            )
            program = f"import sys; from cloverrouter import decide; {setting}"
            program += "from cloverrouter.proxy.__main__ import main; sys.exit(main())"
            self._command = [sys.executable, "-c", program]
        self.process: subprocess.Popen[bytes] | None = None
        self._cpu_s = 0.0

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, env=self._environ, stdin=subprocess.DEVNULL, stderr=log, start_new_session=True
            )

    async def wait_ready(self) -> None:
        """Raises RuntimeError, with its log, if it does not come up."""
        until = time.monotonic() + UP_S
        while True:
            if self.process is None or self.process.poll() is not None or time.monotonic() > until:
                raise RuntimeError(f"{self.name} did not come up:\n{self.log.read_text()}")
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            await asyncio.sleep(0.02)

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def cpu_s(self) -> float:
        """That it has used so far, in all its lives."""
        if self.process is not None and self.up:
            with suppress(OSError):
                words = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
                return self._cpu_s + (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")
        return self._cpu_s

    def signal(self, number: int) -> None:
        self._cpu_s = self.cpu_s()
        if self.process is not None and self.up:
            self.process.send_signal(number)

    def close(self) -> None:
        if self.process is not None:
            if self.up:
                self.process.kill()
            self.process.wait()


def loopback_address(draws: Draws) -> str:
    """An address of its own for a listener: no other run, and no connection's own end, can hold the port."""
    return "127." + ".".join(str(1 + int(254 * draws.uniform())) for _ in range(3)) + ":3000"


class Play:
    """One run on sockets. The parties see it as their `World`."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path) -> None:
        self.scenario, self.seed, self._folder = scenario, seed, folder
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
        self._classes = {kind.name: kind for kind in scenario.class_}
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
        self._ports: dict[int, list[HttpPort]] = {}
        self._late: list[float] = []
        self._known: dict[str, set[str]] = {name: set() for name in self._names}

    def _address(self, server: str, proxy: str) -> Address:
        return self._stand_ins[server].address(proxy)

    def _listed(self, entry: Entry) -> None:
        self.monitors.listed(self.loop.time(), entry.name, entry.state == "active")

    def _stand_in(self, server: Server) -> StandIn:
        return StandIn(server, self.net, self._names, self._arrived, self._turned_away)

    async def run(self) -> Result:
        scenario = self.scenario
        self.loop.set_exception_handler(self._on_exception)
        try:
            for stand_in in self._stand_ins.values():
                stand_in.open()
            self.registry.begin([self._entry(server) for server in self.servers.values()])
            self._discovery.open()
            addresses = Draws(self.seed ^ os.getpid(), "addresses")
            for i, name in enumerate(self._names):
                discovery = self._discovery.address(name)
                config = {
                    "name": name,
                    "listen": loopback_address(addresses),
                    "discovery": f"{discovery[0]}:{discovery[1]}",
                    "seed": f"{Draws(self.seed, name).whole():x}",
                    "limits": {"sockets": scenario.proxies.sockets},
                    "settings": facts_of(scenario, i, self.net.hall(name)),
                    "known": self._discovery.as_json(self.registry.listing(), name),
                }
                self.proxies[name] = ProxyProcess(config, self._folder, scenario.proxies.module)
                self.proxies[name].start()
            for proxy in self.proxies.values():
                await proxy.wait_ready()
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
                draws = Draws(self.seed, "clients", at, index)
                # The two know each other: the port tells the clients what came.
                box: list[Clients] = []
                port = HttpPort(
                    self.proxies[f"p-{index}"].address, office.connections, self._answer_to(box), self._sent,
                    self._lost, self._late.append,
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
        if self.proxies[f"p-{ask.proxy}"].up and f"p-{ask.proxy}" not in self._stopped:
            self.monitors.waited_out(self.loop.time(), ask.number)
        self.monitors.forget(self.loop.time(), ask.number)

    def _arrived(self, proxy: str, server: Server, job: Job) -> None:
        now_s, cls = self.loop.time(), self._classes[job.class_name]
        self.monitors.sent(now_s, proxy, job.request_id, server.name, group_of(server, cls.group))
        self.account.sent(now_s, server.name)

    def _begun(self, server: Server, job: Job) -> None:
        self.monitors.begun(self.loop.time(), job.request_id, server.name)
        self.account.begun(job.request_id, job.work_ms)

    def _fell(self, server: Server) -> None:
        self.monitors.fell(self.loop.time(), server.name)

    def _died(self, server: Server) -> None:
        self._stand_ins[server.name].died()

    def _turned_away(self, server: Server, job: Job) -> None:
        self.monitors.known(job.request_id, server.name, True)

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
