"""Injects a scenario's timeline of faults into a run, in simulated time or on real sockets."""

from __future__ import annotations

from collections.abc import Callable
from fnmatch import fnmatchcase
from typing import Protocol, TypeVar

from cloverrouter.clock import Loop
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.network import Net
from cloverrouter.lab.office import Level, Mix
from cloverrouter.lab.registry import Registry
from cloverrouter.lab.scenario import PROXY_KINDS, SYSTEM_KINDS, FaultSpec, Scenario
from cloverrouter.lab.server import Server

T = TypeVar("T")
SCHEDULING_PERIOD_S = 0.1  # in which a starved process runs once: the period of Linux CFS bandwidth control


class World(Protocol):
    """The components of a run, and the operations that depend on the driver."""

    @property
    def loop(self) -> Loop: ...

    servers: dict[str, Server]
    registry: Registry
    net: Net
    mix: Mix
    level: Level

    def changed(self, server: Server, why: str) -> None:
        """A server's state has changed; discovery learns of it (`why`: add, notice or crash)."""

    def replace(self, server: Server, name: str, same_address: bool) -> Server:
        """Replace a server by a new, cold process on another machine, under a new name."""

    def vanish(self, server: Server) -> None:
        """Disconnect a server's machine from the network."""
        ...

    def back(self, server: Server) -> None:
        """Reconnect a server's machine."""
        ...

    def kill(self, proxy: str) -> None:
        """Kill a proxy's process."""
        ...

    def terminate(self, proxy: str) -> None:
        """Shut a proxy down in order."""
        ...

    def start(self, proxy: str) -> None:
        """Start a proxy's process."""
        ...

    def stand(self, proxy: str) -> None:
        """Pause a proxy's process; to others it looks slow."""

    def go_on(self, proxy: str) -> None:
        """Resume a paused proxy."""
        ...

    def proxy_names(self) -> list[str]:
        """The names of all proxies."""
        ...

    def noted(self, from_s: float, to_s: float, text: str, servers: list[str]) -> None:
        """Record that a fault is active from `from_s` to `to_s`."""


class Timeline:
    """All faults of a scenario. Each has its own random draws, so that removing one changes no other."""

    def __init__(self, scenario: Scenario, world: World, seed: int) -> None:
        self._scenario, self._world = scenario, world
        self._draws = [Draws(seed, "fault", i) for i in range(len(scenario.fault))]

    def start(self) -> None:
        """Schedule the faults."""
        for i, fault in enumerate(self._scenario.fault):
            self._world.loop.call_later(fault.at_s, self._begin, fault, self._draws[i])

    def _servers(self, fault: FaultSpec, draws: Draws) -> list[Server]:
        """The servers affected: of the running ones that match, as many as `count` or `part` says."""
        names = [
            name
            for name, server in self._world.servers.items()
            if server.up
            and (not fault.servers or any(fnmatchcase(name, p) for p in fault.servers))
            and (not fault.halls or any(fnmatchcase(server.hall, p) for p in fault.halls))
        ]
        count = min(len(names), fault.count or round(fault.part * len(names)))
        return [self._world.servers[name] for name in draws.pick(names, count)]

    def _proxies(self, fault: FaultSpec, draws: Draws) -> list[str]:
        names = [
            name
            for name in self._world.proxy_names()
            if not fault.proxies or any(fnmatchcase(name, p) for p in fault.proxies)
        ]
        return draws.pick(names, min(len(names), fault.count or round(fault.part * len(names))))

    def _begin(self, fault: FaultSpec, draws: Draws) -> None:
        duration_s = fault.for_s or self._scenario.seconds - fault.at_s
        affected = [] if fault.kind in (*SYSTEM_KINDS, *PROXY_KINDS) else self._servers(fault, draws)
        names = [server.name for server in affected]
        text = fault.kind + (f" {', '.join(names[:4])}{' ...' if len(names) > 4 else ''}" if names else "")
        if fault.kind == "release":
            duration_s = fault.within_s + 2 * fault.gap_s
        servers = names if fault.kind in ("freeze", "fail", "vanish", "crash", "drain") else []
        self._world.noted(fault.at_s, min(self._scenario.seconds, fault.at_s + duration_s), text, servers)
        end: Callable[[], None] | None = getattr(self, f"_{fault.kind}")(fault, draws, affected)
        if end is not None and fault.for_s:
            self._world.loop.call_later(fault.for_s, end)

    @staticmethod
    def _each(targets: list[T], action: Callable[[T], object]) -> Callable[[], None]:
        """A function that applies the action to each target."""

        def for_each() -> None:
            for target in targets:
                action(target)

        return for_each

    # One method for each kind of fault: begins it, and returns the function that ends it

    def _freeze(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        for server in affected:
            server.freeze()
        return self._each(affected, Server.thaw)

    def _slow(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        for server in affected:
            server.slow(fault.factor)
        return self._each(affected, lambda server: server.slow(1 / fault.factor))

    def _fail(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        return self._set(affected, "fail_share", fault.share)

    def _reset(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        return self._set(affected, f"reset_{fault.when}", fault.share)

    @staticmethod
    def _set(affected: list[Server], attribute: str, share: float) -> Callable[[], None]:
        def set_all(value: float) -> None:
            for server in affected:
                setattr(server, attribute, value)

        set_all(share)
        return lambda: set_all(0.0)

    def _pauses(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        active = [True]

        def pause(server: Server) -> None:
            if active[0]:
                server.freeze()
                self._world.loop.call_later(fault.pause_ms / 1000, server.thaw)
                self._world.loop.call_later(fault.every_s, pause, server)

        for server in affected:
            self._world.loop.call_later(fault.every_s * draws.uniform(), pause, server)

        def end() -> None:
            active[0] = False

        return end

    def _vanish(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        for server in affected:
            self._world.vanish(server)
            self._world.changed(server, "crash")

        def end() -> None:
            for server in affected:
                self._world.back(server)
                self._world.changed(server, "add")

        return end

    def _hall_lost(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        return self._vanish(fault, draws, self._servers(fault, draws))

    def _crash(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        for server in affected:
            server.crash()
            self._world.changed(server, "crash")

        def end() -> None:
            for server in affected:
                server.start()
                self._world.changed(server, "add")

        return end

    def _drain(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        def set_all(state: str) -> None:
            for server in affected:
                self._begin_drain(server) if state == "leaving" else self._end_drain(server)

        set_all("leaving")
        return lambda: set_all("active")

    def _begin_drain(self, server: Server) -> None:
        server.state, server.drained_s = "leaving", self._world.loop.time()
        self._world.changed(server, "notice")

    def _end_drain(self, server: Server) -> None:
        if server.up:
            server.state = "active"
            self._world.changed(server, "notice")

    def _release(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> None:
        step_s = fault.within_s / max(1, len(affected))
        for i, server in enumerate(affected):
            self._world.loop.call_later(i * step_s, self._replace_server, fault, server)

    def _replace_server(self, fault: FaultSpec, server: Server) -> None:
        loop = self._world.loop
        self._begin_drain(server)

        def end_process() -> None:
            # An orderly shutdown: discovery knows of it, and the process ends when its requests are done.
            server.state = "left"
            if server.running or server.waiting:
                loop.call_later(0.1, end_process)
                return
            server.crash()
            self._world.changed(server, "notice")
            loop.call_later(fault.gap_s, start_successor)

        def start_successor() -> None:
            base, _, count = server.name.partition("+")
            new = self._world.replace(server, f"{base}+{int(count or 0) + 1}", fault.takes_address)
            self._world.changed(new, "add")

        loop.call_later(fault.gap_s, end_process)

    def _cut(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        self._world.net.cut(fault.from_, fault.to)
        return lambda: self._world.net.mend(fault.from_, fault.to)

    def _silence(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        self._world.registry.stop_answering()
        return self._world.registry.resume_answering

    def _stale(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        self._world.registry.become_stale()
        return self._world.registry.end_staleness

    def _lower_version(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> None:
        self._world.registry.restart()

    def _contradict(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        self._world.registry.start_contradicting()
        return self._world.registry.stop_contradicting

    def _break_calls(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        self._world.registry.break_share = fault.share

        def end() -> None:
            self._world.registry.break_share = 0.0

        return end

    def _delay(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        net = self._world.net
        net.factor *= fault.factor

        def end() -> None:
            net.factor /= fault.factor

        return end

    def _load(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        level = self._world.level
        level.factor *= fault.factor

        def end() -> None:
            level.factor /= fault.factor

        return end

    def _hover(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        swing = (self._world.loop.time(), fault.factor, fault.every_s)
        self._world.level.swings.append(swing)
        return lambda: self._world.level.swings.remove(swing)

    def _heavy(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        heavy = self._world.mix.heavy
        classes = [
            kind.name
            for kind in self._world.mix.classes
            if not fault.classes or any(fnmatchcase(kind.name, p) for p in fault.classes)
        ]
        for name in classes:
            heavy[name] = (fault.share, fault.factor)
        return self._each(classes, lambda name: heavy.pop(name, None))

    def _loss(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        net, before = self._world.net, self._world.net.loss
        net.loss = fault.share

        def end() -> None:
            net.loss = before

        return end

    def _kill(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        return self._end_proxies(self._proxies(fault, draws), self._world.kill)

    def _restart(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        return self._end_proxies(self._proxies(fault, draws), self._world.terminate)

    def _stop(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        names = self._proxies(fault, draws)
        for name in names:
            self._world.stand(name)
        return self._each(names, self._world.go_on)

    def _starve(self, fault: FaultSpec, draws: Draws, affected: list[Server]) -> Callable[[], None]:
        active, names = [True], self._proxies(fault, draws)

        def run_period(name: str) -> None:
            if active[0]:
                self._world.stand(name)
                self._world.loop.call_later((1 - fault.share) * SCHEDULING_PERIOD_S, self._world.go_on, name)
                self._world.loop.call_later(SCHEDULING_PERIOD_S, run_period, name)

        for name in names:
            self._world.loop.call_later(SCHEDULING_PERIOD_S * draws.uniform(), run_period, name)

        def end() -> None:
            active[0] = False

        return end

    def _end_proxies(self, names: list[str], action: Callable[[str], None]) -> Callable[[], None]:
        for name in names:
            action(name)
        return self._each(names, self._world.start)
