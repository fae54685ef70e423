"""Read-only view of a balancer's state, for operators. Reading it changes no decision."""

from __future__ import annotations

from cloverrouter.decide import Balancer, Endpoint
from cloverrouter.interface import BalancerView, EndpointView, Safety


def balancer_view(balancer: Balancer, now_ms: float) -> BalancerView:
    """Return the state at `now_ms`, on the clock of `Balancer.handle`."""
    fleet, safety = balancer.membership.fleet, balancer.settings.safety
    return BalancerView(
        tuple(_endpoint(e, now_ms, safety) for e in balancer.membership.endpoints.values()),
        len(balancer.requests),
        sum(not r.done and r.timer is not None for _, _, r in balancer.queue),
        balancer.budget.tokens,
        balancer.failed_calls > 0,
        max(0.0, now_ms - fleet.last_discovery_ms) / 1000,
        balancer.rollout.in_progress(now_ms),
    )


def _endpoint(endpoint: Endpoint, now_ms: float, safety: Safety) -> EndpointView:
    listed, liveness = endpoint.listed, endpoint.liveness
    return EndpointView(
        listed.name,
        listed.zone,
        listed.cell,
        listed.state,
        endpoint.in_flight,
        endpoint.limit,
        endpoint.payoff,
        endpoint.warmth(now_ms, safety),
        max(0.0, endpoint.paused_until_ms - now_ms),
        endpoint.unresponsive(now_ms),
        endpoint.failures,
        endpoint.latency_ms,
        liveness.estimate(now_ms),
        liveness.reason(now_ms),
        now_ms - liveness.first_signal_ms if liveness.suspected(now_ms) else 0.0,
    )
