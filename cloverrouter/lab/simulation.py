"""The driver in simulated time: a scenario and a seed to a result, the same to the byte each time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from cloverrouter import decide
from cloverrouter.lab.account import Account, Result
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.engine import Engine
from cloverrouter.lab.faults import Timeline
from cloverrouter.lab.monitors import Monitors, RuleBroken
from cloverrouter.lab.office import Ask, Clients, Got, draws_of, rates_of
from cloverrouter.lab.registry import Entry
from cloverrouter.lab.scenario import Scenario, plain
from cloverrouter.lab.server import Job, Server, Watching
from cloverrouter.lab.simproxy import SimProxy
from cloverrouter.lab.world import Parties
from cloverrouter.proxy.config import Address

LOOKED_AT = 4  # proxies whose beliefs are noted
PORT = 3000


@contextmanager
def module_with(constants: dict[str, float]) -> Iterator[None]:
    """The module with other constants, in this process, for as long as this lasts."""
    before = {name: getattr(decide, name) for name in constants}
    for name, value in constants.items():
        setattr(decide, name, type(before[name])(value))
    try:
        yield
    finally:
        for name, value in before.items():
            setattr(decide, name, value)


class Simulation:
    """One run. The parties see it as their `World`."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.engine = self.loop = Engine()
        self.account = Account(scenario)
        self.monitors = Monitors(scenario.safety)
        watching = Watching(self._begun, self._fell, self._died)
        self.parties = Parties(scenario, seed, self.engine, watching)
        self.servers, self.registry, self.net = self.parties.servers, self.parties.registry, self.parties.net
        self.mix, self.level = self.parties.mix, self.parties.level
        self.by_address: dict[Address, Server] = {}
        self._addresses: dict[str, Address] = {}
        for server in self.servers.values():
            self._settle(server)
        self.registry.begin([self._entry(server) for server in self.servers.values()])
        self.registry.on_change = self._listed
        seeds = Draws(seed, "modules")
        self.seeds = [seeds.whole() for _ in range(scenario.proxies.count)]
        self.proxies = [SimProxy(self, i) for i in range(scenario.proxies.count)]
        self._clients: dict[int, list[Clients]] = {}
        self._by_ask: dict[Ask, Clients] = {}
        for at, office in enumerate(scenario.office):
            rates = rates_of(office, scenario.proxies.count, Draws(seed, "office", at))
            for index, rate in rates.items():
                draws = draws_of(seed, at, index)
                clients = Clients(
                    self.engine, office, index, rate, self.mix, self.level, draws, self.parties.numbers,
                    self._port(index, len(self._clients.get(index, []))), self.account, scenario.seconds,
                )  # fmt: skip
                self._clients.setdefault(index, []).append(clients)
        self.timeline = Timeline(scenario, self, seed)

    def _port(self, index: int, which: int) -> Port:
        return Port(self, index, which)

    # What happens

    def run(self) -> Result:
        """Raises nothing for a broken rule: the result names it."""
        scenario, spread = self.scenario, Draws(self.seed, "starts")
        broken, last = "", list[str]()
        with module_with(scenario.proxies.module):
            try:
                known = self.registry.listing()
                for proxy in self.proxies:
                    start_s = scenario.proxies.start_spread_s * spread.uniform()
                    if start_s:
                        self.engine.post(start_s, proxy.start, known)
                    else:
                        proxy.start(known)
                for each in self._clients.values():
                    for clients in each:
                        clients.start()
                self.timeline.start()
                for second in range(int(scenario.seconds)):
                    self.engine.post(second + 0.5, self._look, second)
                longest_s = max(kind.deadline_ms for kind in scenario.class_) / 1000
                tries = 1 + max(office.retries for office in scenario.office)
                waits_s = max(office.backoff_ms for office in scenario.office) / 1000 * 2
                self.engine.run(scenario.seconds + tries * (longest_s + waits_s) + 1)
            except RuleBroken as error:
                broken, last = str(error), error.last
        most = max(server.most_connections for server in self.servers.values())
        result = self.account.result(self.seed, "simulated", plain(scenario), most)
        result.digest, result.broken, result.last = self.monitors.digest(), broken, last
        return result

    def _look(self, second: int) -> None:
        """Note what the proxies believe of the servers."""
        looked = [proxy for proxy in self.proxies[:LOOKED_AT] if proxy.up and proxy.node is not None]
        for proxy in looked:
            assert proxy.node is not None
            for endpoint in proxy.node.view().endpoints:
                believed = self.account.believed[endpoint.name]
                believed[second] = believed.get(second, 0.0) + endpoint.healthy / len(looked)

    def clients_got(self, ask: Ask, got: Got, retry_after_s: float | None) -> None:
        clients = self._by_ask.pop(ask, None)
        if clients is not None:
            clients.answered(ask, got, retry_after_s)

    def out(self, ask: Ask, index: int, which: int) -> None:
        self._by_ask[ask] = self._clients[index][which]

    def _begun(self, server: Server, job: Job) -> None:
        self.monitors.begun(self.engine.now, job.request_id, server.name)
        self.account.begun(job.request_id, job.work_ms)

    def _fell(self, server: Server) -> None:
        self.monitors.fell(self.engine.now, server.name)

    def _died(self, server: Server) -> None:
        for proxy in self.proxies:
            if proxy.carrier is not None and proxy.up:
                proxy.carrier.broke(server)

    def _listed(self, entry: Entry) -> None:
        self.monitors.listed(self.engine.now, entry.name, entry.state == "active")

    # Addresses

    def _settle(self, server: Server, address: Address | None = None) -> None:
        address = address or (f"10.0.{len(self._addresses) // 250}.{len(self._addresses) % 250 + 1}", PORT)
        self._addresses[server.name] = address
        self.by_address[address] = server

    def address_of(self, address: object) -> Address:
        assert isinstance(address, tuple)
        return address

    def _entry(self, server: Server) -> Entry:
        state, address = server.state if server.up else "left", self._addresses[server.name]
        return Entry(server.name, server.hall, server.rack, state, server.started_s, address)

    # A `World` for faults

    def changed(self, server: Server, why: str) -> None:
        entry = self._entry(server)
        if why == "crash" and not server.reachable:
            entry = Entry(server.name, server.hall, server.rack, "left", server.started_s, entry.address)
        self.registry.changed(entry, why)

    def replace(self, server: Server, name: str, same_address: bool) -> Server:
        new = self.parties.add(name, server.kind, server.hall, server.rack, self.engine.now)
        self._settle(new, self._addresses[server.name] if same_address else None)
        return new

    def vanish(self, server: Server) -> None:
        server.reachable = False

    def back(self, server: Server) -> None:
        server.reachable = True
        self._died(server)  # open connections are reset when it is back

    def kill(self, proxy: str) -> None:
        self._proxy(proxy).kill()

    def terminate(self, proxy: str) -> None:
        self._proxy(proxy).terminate()

    def start(self, proxy: str) -> None:
        found = self._proxy(proxy)
        if found.up and not found.taking:
            self.engine.post(0.05, self.start, proxy)  # it has not ended yet
        else:
            found.start(self.registry.listing())

    def stand(self, proxy: str) -> None:
        self._proxy(proxy).stand()

    def go_on(self, proxy: str) -> None:
        self._proxy(proxy).go_on()

    def _proxy(self, name: str) -> SimProxy:
        return self.proxies[int(name.removeprefix("p-"))]

    def proxy_names(self) -> list[str]:
        return [proxy.name for proxy in self.proxies]

    def noted(self, from_s: float, to_s: float, text: str, servers: list[str]) -> None:
        self.account.faults.append((from_s, to_s, text, servers))


class Port:
    """The way from one office's clients to their proxy."""

    def __init__(self, world: Simulation, index: int, which: int) -> None:
        self._world, self._index, self._which = world, index, which

    def ask(self, ask: Ask) -> bool:
        if not self._world.proxies[self._index].ask(ask):
            return False
        self._world.out(ask, self._index, self._which)
        return True

    def left(self, ask: Ask) -> None:
        self._world._by_ask.pop(ask, None)
        self._world.proxies[self._index].left(ask)


def simulate(scenario: Scenario, seed: int) -> Result:
    return Simulation(scenario, seed).run()
