"""The timeline of faults, carried out on the parties of a run; the same for simulated time and sockets."""

from __future__ import annotations

from collections.abc import Callable
from fnmatch import fnmatchcase
from typing import Protocol, TypeVar

from cloverrouter.clock import Loop
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.network import Net
from cloverrouter.lab.office import Level, Mix
from cloverrouter.lab.registry import Registry
from cloverrouter.lab.scenario import PROXY_KINDS, WHOLE_KINDS, Scenario, Trouble
from cloverrouter.lab.server import Server

T = TypeVar("T")
PIECE_S = 0.1  # of a process that has a share of a core: as Linux's CFS hands it out


class World(Protocol):
    """The parties, and what only the driver can do to them."""

    @property
    def loop(self) -> Loop: ...

    servers: dict[str, Server]
    registry: Registry
    net: Net
    mix: Mix
    level: Level

    def changed(self, server: Server, why: str) -> None:
        """Its true state has changed: discovery will hear of it (`why`: add, notice or crash)."""

    def replace(self, server: Server, name: str, same_address: bool) -> Server:
        """Another process, on another machine, under a name of its own; cold from now on."""

    def vanish(self, server: Server) -> None: ...

    def back(self, server: Server) -> None: ...

    def kill(self, proxy: str) -> None: ...

    def terminate(self, proxy: str) -> None: ...

    def start(self, proxy: str) -> None: ...

    def stand(self, proxy: str) -> None:
        """It stands still from here on, and nobody can tell it from one that is slow."""

    def go_on(self, proxy: str) -> None: ...

    def proxy_names(self) -> list[str]: ...

    def noted(self, from_s: float, to_s: float, text: str, servers: list[str]) -> None:
        """A fault is there from one moment to another."""


class Timeline:
    """Every fault of a scenario. Each has draws of its own, so that taking one out changes no other."""

    def __init__(self, scenario: Scenario, world: World, seed: int) -> None:
        self._scenario, self._world = scenario, world
        self._draws = [Draws(seed, "fault", i) for i in range(len(scenario.fault))]

    def start(self) -> None:
        for i, fault in enumerate(self._scenario.fault):
            self._world.loop.call_later(fault.at_s, self._begin, fault, self._draws[i])

    def _servers(self, fault: Trouble, draws: Draws) -> list[Server]:
        """Those it befalls: of those named (or all) that run, so many as `count` or `part` says."""
        names = [
            name
            for name, server in self._world.servers.items()
            if server.up
            and (not fault.servers or any(fnmatchcase(name, p) for p in fault.servers))
            and (not fault.halls or any(fnmatchcase(server.hall, p) for p in fault.halls))
        ]
        count = min(len(names), fault.count or round(fault.part * len(names)))
        return [self._world.servers[name] for name in draws.pick(names, count)]

    def _proxies(self, fault: Trouble, draws: Draws) -> list[str]:
        names = [
            name
            for name in self._world.proxy_names()
            if not fault.proxies or any(fnmatchcase(name, p) for p in fault.proxies)
        ]
        return draws.pick(names, min(len(names), fault.count or round(fault.part * len(names))))

    def _begin(self, fault: Trouble, draws: Draws) -> None:
        for_s = fault.for_s or self._scenario.seconds - fault.at_s
        befalls = [] if fault.kind in (*WHOLE_KINDS, *PROXY_KINDS) else self._servers(fault, draws)
        names = [server.name for server in befalls]
        text = fault.kind + (f" {', '.join(names[:4])}{' ...' if len(names) > 4 else ''}" if names else "")
        if fault.kind == "release":
            for_s = fault.within_s + 2 * fault.gap_s
        telling = names if fault.kind in ("freeze", "fail", "vanish", "crash", "drain") else []
        self._world.noted(fault.at_s, min(self._scenario.seconds, fault.at_s + for_s), text, telling)
        end: Callable[[], None] | None = getattr(self, f"_{fault.kind}")(fault, draws, befalls)
        if end is not None and fault.for_s:
            self._world.loop.call_later(fault.for_s, end)

    @staticmethod
    def _each(ones: list[T], do: Callable[[T], object]) -> Callable[[], None]:
        """Later, for each of them."""

        def later() -> None:
            for one in ones:
                do(one)

        return later

    # One for each kind: begins it, and gives back what ends it

    def _freeze(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        for server in befalls:
            server.freeze()
        return self._each(befalls, Server.thaw)

    def _slow(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        for server in befalls:
            server.slow(fault.factor)
        return self._each(befalls, lambda server: server.slow(1 / fault.factor))

    def _fail(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        return self._set(befalls, "fail_share", fault.share)

    def _reset(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        return self._set(befalls, f"reset_{fault.when}", fault.share)

    @staticmethod
    def _set(befalls: list[Server], name: str, share: float) -> Callable[[], None]:
        def each(value: float) -> None:
            for server in befalls:
                setattr(server, name, value)

        each(share)
        return lambda: each(0.0)

    def _pauses(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        on = [True]

        def pause(server: Server) -> None:
            if on[0]:
                server.freeze()
                self._world.loop.call_later(fault.pause_ms / 1000, server.thaw)
                self._world.loop.call_later(fault.every_s, pause, server)

        for server in befalls:
            self._world.loop.call_later(fault.every_s * draws.uniform(), pause, server)

        def end() -> None:
            on[0] = False

        return end

    def _vanish(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        for server in befalls:
            self._world.vanish(server)
            self._world.changed(server, "crash")

        def end() -> None:
            for server in befalls:
                self._world.back(server)
                self._world.changed(server, "add")

        return end

    def _hall_lost(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        return self._vanish(fault, draws, self._servers(fault, draws))

    def _crash(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        for server in befalls:
            server.crash()
            self._world.changed(server, "crash")

        def end() -> None:
            for server in befalls:
                server.start()
                self._world.changed(server, "add")

        return end

    def _drain(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        def each(state: str) -> None:
            for server in befalls:
                self._leave(server) if state == "leaving" else self._restore(server)

        each("leaving")
        return lambda: each("active")

    def _leave(self, server: Server) -> None:
        server.state, server.drained_s = "leaving", self._world.loop.time()
        self._world.changed(server, "notice")

    def _restore(self, server: Server) -> None:
        if server.up:
            server.state = "active"
            self._world.changed(server, "notice")

    def _release(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> None:
        step_s = fault.within_s / max(1, len(befalls))
        for i, server in enumerate(befalls):
            self._world.loop.call_later(i * step_s, self._release_one, fault, server)

    def _release_one(self, fault: Trouble, server: Server) -> None:
        loop = self._world.loop
        self._leave(server)

        def leave() -> None:
            # Orderly: it has told discovery, and stays until what it has is done, or its machine is taken
            # away.
            server.state = "left"
            if server.running or server.waiting:
                loop.call_later(0.1, leave)
                return
            server.crash()
            self._world.changed(server, "notice")
            loop.call_later(fault.gap_s, come)

        def come() -> None:
            base, _, count = server.name.partition("+")
            new = self._world.replace(server, f"{base}+{int(count or 0) + 1}", fault.takes_address)
            self._world.changed(new, "add")

        loop.call_later(fault.gap_s, leave)

    def _cut(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        self._world.net.cut(fault.from_, fault.to)
        return lambda: self._world.net.mend(fault.from_, fault.to)

    def _silence(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        self._world.registry.hush()
        return self._world.registry.speak

    def _stale(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        self._world.registry.grow_stale()
        return self._world.registry.refresh

    def _lower_version(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> None:
        self._world.registry.restart()

    def _contradict(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        self._world.registry.contradict()
        return self._world.registry.agree

    def _break_calls(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        self._world.registry.break_share = fault.share

        def end() -> None:
            self._world.registry.break_share = 0.0

        return end

    def _delay(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        net = self._world.net
        net.factor *= fault.factor

        def end() -> None:
            net.factor /= fault.factor

        return end

    def _load(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        level = self._world.level
        level.factor *= fault.factor

        def end() -> None:
            level.factor /= fault.factor

        return end

    def _hover(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        swing = (self._world.loop.time(), fault.factor, fault.every_s)
        self._world.level.swings.append(swing)
        return lambda: self._world.level.swings.remove(swing)

    def _heavy(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        heavy = self._world.mix.heavy
        classes = [
            kind.name
            for kind in self._world.mix.classes
            if not fault.classes or any(fnmatchcase(kind.name, p) for p in fault.classes)
        ]
        for name in classes:
            heavy[name] = (fault.share, fault.factor)
        return self._each(classes, lambda name: heavy.pop(name, None))

    def _loss(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        net, before = self._world.net, self._world.net.loss
        net.loss = fault.share

        def end() -> None:
            net.loss = before

        return end

    def _kill(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        return self._end(self._proxies(fault, draws), self._world.kill)

    def _restart(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        return self._end(self._proxies(fault, draws), self._world.terminate)

    def _stop(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        names = self._proxies(fault, draws)
        for name in names:
            self._world.stand(name)
        return self._each(names, self._world.go_on)

    def _starve(self, fault: Trouble, draws: Draws, befalls: list[Server]) -> Callable[[], None]:
        on, names = [True], self._proxies(fault, draws)

        def piece(name: str) -> None:
            if on[0]:
                self._world.stand(name)
                self._world.loop.call_later((1 - fault.share) * PIECE_S, self._world.go_on, name)
                self._world.loop.call_later(PIECE_S, piece, name)

        for name in names:
            self._world.loop.call_later(PIECE_S * draws.uniform(), piece, name)

        def end() -> None:
            on[0] = False

        return end

    def _end(self, names: list[str], how: Callable[[str], None]) -> Callable[[], None]:
        for name in names:
            how(name)
        return self._each(names, self._world.start)
