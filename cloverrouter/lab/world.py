"""What both drivers make of a scenario: its parties, each with draws of its own."""

from __future__ import annotations

from typing import Any

from cloverrouter.clock import Loop
from cloverrouter.interface import (
    Idempotency,
    Limits,
    RepeatScope,
    RequestClass,
    Settings,
)
from cloverrouter.interface import Safety as Rules
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.network import Net
from cloverrouter.lab.office import Level, Mix, Numbers
from cloverrouter.lab.registry import Registry
from cloverrouter.lab.scenario import Scenario, Servers
from cloverrouter.lab.server import Memory, Server, Watching

REPORT_FIELDS = ("inflight", "queue", "latency_ms")


def group_of(server: Server, group: str) -> str:
    """The servers that share the memory of a keyed class's requests."""
    return {"all": "all", "zone": server.hall, "cell": f"{server.hall}/{server.rack}"}[group]


class Parties:
    """Servers, discovery, network and mix of a scenario; `seed` is the run's."""

    def __init__(self, scenario: Scenario, seed: int, loop: Loop, watching: Watching) -> None:
        self.scenario, self.seed, self.loop, self.watching = scenario, seed, loop, watching
        self.net = Net(scenario.network, Draws(seed, "network"))
        self.registry = Registry(loop, scenario.discovery, Draws(seed, "discovery"))
        self.mix, self.level, self.numbers = Mix(scenario.class_), Level(), Numbers()
        self._memories: dict[tuple[str, str], Memory] = {}
        total = sum(kind.share for kind in scenario.class_)
        self._mean_work_ms = sum(kind.share * kind.work_ms for kind in scenario.class_) / total
        self.halls = list(dict.fromkeys(hall for kind in scenario.servers for hall in kind.halls))
        self.servers: dict[str, Server] = {}
        for kind in scenario.servers:
            for i in range(kind.count):
                hall = kind.halls[i % len(kind.halls)]
                self.add(f"{kind.name}-{i + 1}", kind, hall, i // len(kind.halls) % kind.racks, None)

    def add(self, name: str, kind: Servers, hall: str, rack: int, started_s: float | None) -> Server:
        draws = Draws(self.seed, "server", name)
        spread = kind.speed_spread
        speed = kind.speed * draws.between(1 - spread, 1 + spread)
        server = Server(
            self.loop, name, hall, rack, kind, self.scenario.safety, speed, draws,
            mean_work_ms=self._mean_work_ms, started_s=started_s, watching=self.watching,
        )  # fmt: skip
        for cls in self.scenario.class_:
            server.groups[cls.name] = group_of(server, cls.group)
            if cls.effect == "keyed":
                group = server.groups[cls.name]
                memory = self._memories.get((cls.name, group))
                if memory is None:
                    memory = self._memories[cls.name, group] = Memory(cls.window_ms / 1000)
                server.memories[cls.name] = memory
        self.servers[name] = server
        self.net.place(name, hall)
        return server

    def hall_of_proxy(self, index: int) -> str:
        return self.halls[index % len(self.halls)]


EFFECTS = {"safe": Idempotency.SAFE, "keyed": Idempotency.KEYED, "unsafe": Idempotency.UNSAFE}


def settings_of(scenario: Scenario, index: int, hall: str) -> Settings:
    """What the module of one proxy is told."""
    safety, proxies = scenario.safety, scenario.proxies
    return Settings(
        classes=tuple(
            RequestClass(
                name=c.name,
                aim_ms=c.aim_ms,
                deadline_ms=c.deadline_ms,
                worth=c.worth,
                idempotency=EFFECTS[c.effect],
                repeat_scope=RepeatScope(c.group),
                repeat_window_ms=c.window_ms,
            )
            for c in scenario.class_
        ),
        zone=hall,
        proxies=proxies.count,
        number=index,
        subscribe=True,
        report_fields=REPORT_FIELDS,
        limits=Limits(
            max_attempts=proxies.max_attempts,
            cancel=True,
            retry_after=proxies.retry_after,
            max_retry_after_ms=proxies.max_retry_after_ms,
            connect_timeout_ms=proxies.connect_timeout_ms,
            max_open=proxies.sockets // 3,
        ),
        safety=Rules(
            cold_share=safety.cold_share,
            cold_ms=safety.cold_s * 1000,
            push_multiple=safety.fall_multiple,
            push_window_ms=safety.fall_s * 1000,
            must_ask_ms=safety.must_ask_s * 1000,
        ),
    )


def facts_of(scenario: Scenario, index: int, hall: str) -> dict[str, Any]:
    """The same as `settings_of`, in the form in which a real proxy's configuration has it."""
    settings = settings_of(scenario, index, hall)
    words = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
    return {
        "balancers": settings.proxies,
        "ordinal": index,
        "zone": hall,
        "discovery": "subscribe",
        "reporting": {"fields": list(REPORT_FIELDS), "how": "inline"},
        "bounds": {
            "max_attempts": settings.limits.max_attempts,
            "cancel": True,
            "retry_after": settings.limits.retry_after,
            "max_retry_after_ms": settings.limits.max_retry_after_ms,
            "connect_timeout_ms": settings.limits.connect_timeout_ms,
            "conn_idle_ms": scenario.proxies.conn_idle_ms,
        },
        "categories": [
            {
                "name": c.name,
                "aim_ms": c.aim_ms,
                "deadline_ms": c.deadline_ms,
                "worth": c.worth,
                "effect": words[c.effect],
                "group": c.group,
                "window_ms": c.window_ms,
            }
            for c in scenario.class_
        ],
        "safety": {
            "cold_share": settings.safety.cold_share,
            "cold_ms": settings.safety.cold_ms,
            "fall_multiple": settings.safety.push_multiple,
            "fall_ms": settings.safety.push_window_ms,
            "must_ask_in_ms": settings.safety.must_ask_ms,
        },
    }
