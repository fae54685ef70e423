"""Shared test support: default settings, and a driver that keeps a balancer's clock and timers."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.decide import Balancer
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    EndpointsListed,
    EndpointState,
    Event,
    Idempotency,
    IdempotencyScope,
    Limits,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Safety,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from cloverrouter.values import replace

SAFE = RequestClass("safe", aim_ms=500, deadline_ms=2000, worth=1, idempotency=Idempotency.SAFE)
UNSAFE = replace(SAFE, name="unsafe", worth=5, idempotency=Idempotency.UNSAFE)
KEYED = replace(
    SAFE,
    name="keyed",
    idempotency=Idempotency.KEYED,
    idempotency_scope=IdempotencyScope.ZONE,
    idempotency_window_ms=800,
)
SETTINGS = Settings(
    classes=(SAFE, UNSAFE, KEYED),
    zone="a",
    proxies=3,
    limits=Limits(max_attempts=4),
    safety=Safety(cold_share=0.2, cold_ms=10_000, overload_multiple=3, overload_window_ms=1500),
)


def endpoint(
    name: str,
    zone: str = "a",
    cell: int = 0,
    state: EndpointState = EndpointState.READY,
    started_ms: float | None = None,
) -> ListedEndpoint:
    return ListedEndpoint(name, zone, cell, state=state, started_ms=started_ms)


def full(*endpoints: ListedEndpoint) -> EndpointsListed:
    return EndpointsListed(ListKind.FULL, endpoints)


def delta(*endpoints: ListedEndpoint) -> EndpointsListed:
    return EndpointsListed(ListKind.DELTA, endpoints)


class Driver:
    """Stands in for the proxy: dispatches events, fires timers when due, records the attempts sent."""

    def __init__(
        self,
        settings: Settings = SETTINGS,
        endpoints: Iterable[ListedEndpoint] = (endpoint("s1"), endpoint("s2"), endpoint("s3")),
        seed: int = 1,
    ) -> None:
        self.balancer = Balancer(settings, seed)
        self.now_ms = 1000.0
        self.timers: list[tuple[float, int]] = []
        self.sent: dict[int, list[str]] = {}
        self.log: list[Action] = []
        self.last_id = 0
        self.dispatch(EndpointsListed(ListKind.RESTORED, tuple(endpoints)))
        for server in self.balancer.membership.endpoints.values():
            server.limit = 4.0  # as after the slow start
        self.balancer.concurrency_limit.limit = 100.0

    def dispatch(self, *events: Event) -> list[Action]:
        actions = self.balancer.handle(self.now_ms, events)
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now_ms + action.delay_ms, action.token))
            elif isinstance(action, Send):
                self.sent.setdefault(action.request_id, []).append(action.endpoint)
        self.log += actions
        return [a for a in actions if not isinstance(a, SetTimer)]

    def wait(self, ms: float) -> list[Action]:
        """Advance the clock; return the actions of the timers that fired meanwhile."""
        until, done = self.now_ms + ms, []
        while due := [t for t in self.timers if t[0] <= until]:
            timer = min(due)
            self.timers.remove(timer)
            self.now_ms = max(self.now_ms, timer[0])
            done += self.dispatch(TimerFired(timer[1]))
        self.now_ms = until
        return done

    def request(self, class_name: str = "safe", deadline_ms: float | None = None) -> tuple[int, list[Action]]:
        self.last_id += 1
        return self.last_id, self.dispatch(RequestArrived(self.last_id, class_name, deadline_ms))

    def end(self, request_id: int, outcome: Outcome, latency_ms: float = 50.0) -> list[Action]:
        """End the last attempt of a request."""
        attempt = len(self.sent[request_id]) - 1
        answered = outcome is Outcome.OK
        return self.dispatch(AttemptEnded(request_id, attempt, outcome, latency_ms, answered))

    def serve(self, count: int, class_name: str = "safe", latency_ms: float = 50.0) -> None:
        """Complete `count` requests successfully, one after the other."""
        for _ in range(count):
            request_id, _ = self.request(class_name)
            self.wait(latency_ms)
            self.end(request_id, Outcome.OK, latency_ms)
