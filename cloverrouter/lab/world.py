"""Builds the parties of a scenario, each with its own random stream, and the proxies' settings.

Both drivers use it, the one in simulated time and the one on sockets.
"""

from __future__ import annotations

from typing import Any

from cloverrouter.clock import Loop
from cloverrouter.interface import (
    Idempotency,
    IdempotencyScope,
    Limits,
    RequestClass,
    Settings,
)
from cloverrouter.interface import Safety as SafetySettings
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.network import Net
from cloverrouter.lab.office import Level, Mix, Numbers
from cloverrouter.lab.registry import Registry
from cloverrouter.lab.scenario import Scenario, Servers
from cloverrouter.lab.server import Memory, Server, ServerObserver

REPORT_FIELDS = ("inflight", "queue", "latency_ms")


def group_of(server: Server, group: str) -> str:
    """Return the group of a server; its servers share the memory of a class's idempotency keys."""
    return {"all": "all", "zone": server.hall, "cell": f"{server.hall}/{server.rack}"}[group]


class Parties:
    """Servers, discovery, network and mix of request classes of a scenario; `seed` is that of the run."""

    def __init__(self, scenario: Scenario, seed: int, loop: Loop, watching: ServerObserver) -> None:
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
        """Create a server. `started_s` None: it has been running for long and is warm."""
        draws = Draws(self.seed, "server", name)
        spread = kind.speed_spread
        speed = kind.speed * draws.between(1 - spread, 1 + spread)
        server = Server(
            self.loop, name, hall, rack, kind, self.scenario.safety, speed, draws,
            mean_work_ms=self._mean_work_ms, started_s=started_s, observer=self.watching,
        )  # fmt: skip
        for request_class in self.scenario.class_:
            server.groups[request_class.name] = group_of(server, request_class.group)
            if request_class.effect == "keyed":
                group = server.groups[request_class.name]
                memory = self._memories.get((request_class.name, group))
                if memory is None:
                    memory = self._memories[request_class.name, group] = Memory(
                        request_class.window_ms / 1000
                    )
                server.memories[request_class.name] = memory
        self.servers[name] = server
        self.net.place(name, hall)
        return server

    def hall_of_proxy(self, index: int) -> str:
        """Return the hall of a proxy; the proxies are spread evenly over the halls."""
        return self.halls[index % len(self.halls)]


EFFECTS = {"safe": Idempotency.SAFE, "keyed": Idempotency.KEYED, "unsafe": Idempotency.UNSAFE}


def settings_of(scenario: Scenario, index: int, hall: str) -> Settings:
    """Return the settings of the decision module of one proxy."""
    safety, proxies = scenario.safety, scenario.proxies
    return Settings(
        classes=tuple(
            RequestClass(
                name=c.name,
                aim_ms=c.aim_ms,
                deadline_ms=c.deadline_ms,
                worth=c.worth,
                idempotency=EFFECTS[c.effect],
                idempotency_scope=IdempotencyScope(c.group),
                idempotency_window_ms=c.window_ms,
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
        safety=SafetySettings(
            cold_share=safety.cold_share,
            cold_ms=safety.cold_s * 1000,
            overload_multiple=safety.fall_multiple,
            overload_window_ms=safety.fall_s * 1000,
            discovery_poll_ms=safety.must_ask_s * 1000,
        ),
    )


def facts_of(scenario: Scenario, index: int, hall: str) -> dict[str, Any]:
    """Return the same as `settings_of`, in the form of a real proxy's configuration."""
    settings = settings_of(scenario, index, hall)
    effect_names = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
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
                "effect": effect_names[c.effect],
                "group": c.group,
                "window_ms": c.window_ms,
            }
            for c in scenario.class_
        ],
        "safety": {
            "cold_share": settings.safety.cold_share,
            "cold_ms": settings.safety.cold_ms,
            "fall_multiple": settings.safety.overload_multiple,
            "fall_ms": settings.safety.overload_window_ms,
            "must_ask_in_ms": settings.safety.discovery_poll_ms,
        },
    }
