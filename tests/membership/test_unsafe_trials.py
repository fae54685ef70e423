"""Servers with signals against them, where no request may be repeated."""

from __future__ import annotations

from cloverrouter import Balancer
from cloverrouter.interface import (
    AttemptEnded,
    ConnectionSignal,
    ConnectionSignalObserved,
    EndpointsListed,
    Idempotency,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)

UNSAFE = RequestClass("unsafe", aim_ms=1500, deadline_ms=3000, idempotency=Idempotency.UNSAFE)
REQUESTS, INTERVAL_MS, SERVICE_MS = 3000, 10.0, 2.0


# Guards against: a server that was down for a moment gets no request any more, since none may be repeated.
def test_server_that_is_back_is_used_again_by_requests_that_may_not_be_repeated() -> None:
    balancer = Balancer(Settings(classes=(UNSAFE,)), seed=1)
    servers = (ListedEndpoint("h0"), ListedEndpoint("h1"))
    balancer.handle(0.0, [EndpointsListed(ListKind.RESTORED, servers)])
    balancer.handle(1.0, [ConnectionSignalObserved("h1", ConnectionSignal.REFUSED)])
    now_ms, used = 1.0, set[str]()
    for number in range(REQUESTS):
        now_ms += INTERVAL_MS
        arrived = RequestArrived(number, "unsafe", deadline_ms=now_ms + UNSAFE.deadline_ms)
        for action in balancer.handle(now_ms, [arrived]):
            if isinstance(action, Send):
                used.add(action.endpoint)
                now_ms += SERVICE_MS
                balancer.handle(now_ms, [AttemptEnded(number, 0, Outcome.OK, SERVICE_MS, answered=True)])
    assert used == {"h0", "h1"}
