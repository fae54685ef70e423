"""The driver in simulated time: runs a scenario with a seed; the result is byte-identical each time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from cloverrouter import decide
from cloverrouter.lab.account import Account, Result
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.engine import Engine
from cloverrouter.lab.faults import Timeline
from cloverrouter.lab.monitors import Monitors, RuleBroken
from cloverrouter.lab.office import ClientAttempt, ClientOutcome, Clients, client_draws, rates_by_proxy
from cloverrouter.lab.registry import Entry
from cloverrouter.lab.scenario import Scenario, plain
from cloverrouter.lab.server import Job, Server, ServerObserver
from cloverrouter.lab.simproxy import SimProxy
from cloverrouter.lab.world import Parties
from cloverrouter.proxy.config import Address

OBSERVED_PROXIES = 4  # number of proxies whose estimates of the servers' health are recorded
PORT = 3000


@contextmanager
def overridden_constants(constants: dict[str, float]) -> Iterator[None]:
    """Set constants of `decide` to other values in this process, and restore them at the end."""
    original = {name: getattr(decide, name) for name in constants}
    for name, value in constants.items():
        setattr(decide, name, type(original[name])(value))
    try:
        yield
    finally:
        for name, value in original.items():
            setattr(decide, name, value)


class Simulation:
    """One run of a scenario; the `World` of its faults."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.engine = self.loop = Engine()
        self.account = Account(scenario)
        self.monitors = Monitors(scenario.safety)
        watching = ServerObserver(self._begun, self._fell, self._died)
        self.parties = Parties(scenario, seed, self.engine, watching)
        self.servers, self.registry, self.net = self.parties.servers, self.parties.registry, self.parties.net
        self.mix, self.level = self.parties.mix, self.parties.level
        self.by_address: dict[Address, Server] = {}
        self._addresses: dict[str, Address] = {}
        for server in self.servers.values():
            self._assign_address(server)
        self.registry.begin([self._entry(server) for server in self.servers.values()])
        self.registry.on_change = self._listed
        seeds = Draws(seed, "modules")
        self.seeds = [seeds.integer() for _ in range(scenario.proxies.count)]
        self.proxies = [SimProxy(self, i) for i in range(scenario.proxies.count)]
        self._clients: dict[int, list[Clients]] = {}
        self._clients_by_ask: dict[ClientAttempt, Clients] = {}
        for office_index, office in enumerate(scenario.office):
            rates = rates_by_proxy(office, scenario.proxies.count, Draws(seed, "office", office_index))
            for index, rate in rates.items():
                draws = client_draws(seed, office_index, index)
                clients = Clients(
                    self.engine, office, index, rate, self.mix, self.level, draws, self.parties.numbers,
                    self._port(index, len(self._clients.get(index, []))), self.account, scenario.seconds,
                )  # fmt: skip
                self._clients.setdefault(index, []).append(clients)
        self.timeline = Timeline(scenario, self, seed)

    def _port(self, index: int, clients_index: int) -> Port:
        return Port(self, index, clients_index)

    def run(self) -> Result:
        """Run the scenario. A violated invariant ends the run and is named in the result, not raised."""
        scenario, start_draws = self.scenario, Draws(self.seed, "starts")
        broken, last_events = "", list[str]()
        with overridden_constants(scenario.proxies.module):
            try:
                initial_listing = self.registry.listing()
                for proxy in self.proxies:
                    start_s = scenario.proxies.start_spread_s * start_draws.uniform()
                    if start_s:
                        self.engine.post(start_s, proxy.start, initial_listing)
                    else:
                        proxy.start(initial_listing)
                for clients_of_proxy in self._clients.values():
                    for clients in clients_of_proxy:
                        clients.start()
                self.timeline.start()
                for second in range(int(scenario.seconds)):
                    self.engine.post(second + 0.5, self._record_estimates, second)
                max_deadline_s = max(kind.deadline_ms for kind in scenario.class_) / 1000
                max_attempts = 1 + max(office.retries for office in scenario.office)
                max_backoff_s = max(office.backoff_ms for office in scenario.office) / 1000 * 2
                self.engine.run(scenario.seconds + max_attempts * (max_deadline_s + max_backoff_s) + 1)
            except RuleBroken as error:
                broken, last_events = str(error), error.last
        max_connections = max(server.most_connections for server in self.servers.values())
        result = self.account.result(self.seed, "simulated", plain(scenario), max_connections)
        result.digest, result.broken, result.last = self.monitors.digest(), broken, last_events
        return result

    def _record_estimates(self, second: int) -> None:
        """Record the proxies' estimates of the servers' health."""
        observed = [proxy for proxy in self.proxies[:OBSERVED_PROXIES] if proxy.up and proxy.node is not None]
        for proxy in observed:
            assert proxy.node is not None
            for endpoint in proxy.node.view().endpoints:
                estimates = self.account.believed[endpoint.name]
                estimates[second] = estimates.get(second, 0.0) + endpoint.healthy / len(observed)

    def deliver_answer(self, ask: ClientAttempt, got: ClientOutcome, retry_after_s: float | None) -> None:
        """Deliver the final answer of a proxy to the clients that sent the request."""
        clients = self._clients_by_ask.pop(ask, None)
        if clients is not None:
            clients.answered(ask, got, retry_after_s)

    def record_sent(self, ask: ClientAttempt, index: int, clients_index: int) -> None:
        """Record which clients have sent a request, to deliver its answer to them."""
        self._clients_by_ask[ask] = self._clients[index][clients_index]

    def _begun(self, server: Server, job: Job) -> None:
        self.monitors.begun(self.engine.now, job.request_id, server.name)
        self.account.begun(job.request_id, job.work_ms)

    def _fell(self, server: Server) -> None:
        self.monitors.fell(self.engine.now, server.name)

    def _died(self, server: Server) -> None:
        for proxy in self.proxies:
            if proxy.carrier is not None and proxy.up:
                proxy.carrier.reset_connections(server)

    def _listed(self, entry: Entry) -> None:
        self.monitors.listed(self.engine.now, entry.name, entry.state == "active")

    # Addresses

    def _assign_address(self, server: Server, address: Address | None = None) -> None:
        address = address or (f"10.0.{len(self._addresses) // 250}.{len(self._addresses) % 250 + 1}", PORT)
        self._addresses[server.name] = address
        self.by_address[address] = server

    def address_of(self, address: object) -> Address:
        """Return the address of a listed entry, which is opaque to the registry."""
        assert isinstance(address, tuple)
        return address

    def _entry(self, server: Server) -> Entry:
        state, address = server.state if server.up else "left", self._addresses[server.name]
        return Entry(server.name, server.hall, server.rack, state, server.started_s, address)

    # Interface for faults, see `World`

    def changed(self, server: Server, why: str) -> None:
        entry = self._entry(server)
        if why == "crash" and not server.reachable:
            entry = Entry(server.name, server.hall, server.rack, "left", server.started_s, entry.address)
        self.registry.changed(entry, why)

    def replace(self, server: Server, name: str, same_address: bool) -> Server:
        replacement = self.parties.add(name, server.kind, server.hall, server.rack, self.engine.now)
        self._assign_address(replacement, self._addresses[server.name] if same_address else None)
        return replacement

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
        sim_proxy = self._proxy(proxy)
        if sim_proxy.up and not sim_proxy.accepting:
            self.engine.post(0.05, self.start, proxy)  # it is still shutting down
        else:
            sim_proxy.start(self.registry.listing())

    def stand(self, proxy: str) -> None:
        self._proxy(proxy).pause()

    def go_on(self, proxy: str) -> None:
        self._proxy(proxy).resume()

    def _proxy(self, name: str) -> SimProxy:
        return self.proxies[int(name.removeprefix("p-"))]

    def proxy_names(self) -> list[str]:
        return [proxy.name for proxy in self.proxies]

    def noted(self, from_s: float, to_s: float, text: str, servers: list[str]) -> None:
        self.account.faults.append((from_s, to_s, text, servers))


class Port:
    """Carries the requests of one office's clients to their proxy; a `Port` of `office`."""

    def __init__(self, world: Simulation, index: int, clients_index: int) -> None:
        self._world, self._index, self._clients_index = world, index, clients_index

    def ask(self, ask: ClientAttempt) -> bool:
        if not self._world.proxies[self._index].ask(ask):
            return False
        self._world.record_sent(ask, self._index, self._clients_index)
        return True

    def left(self, ask: ClientAttempt) -> None:
        self._world._clients_by_ask.pop(ask, None)
        self._world.proxies[self._index].left(ask)


def simulate(scenario: Scenario, seed: int) -> Result:
    """Run a scenario in simulated time."""
    return Simulation(scenario, seed).run()
