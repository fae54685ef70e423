"""What the decisions believe at one moment, for people. Reading it changes no decision."""

from __future__ import annotations

from cloverrouter.decide import Balancer, Endpoint
from cloverrouter.interface import BalancerView, EndpointView, Safety


def believed(balancer: Balancer, now_ms: float) -> BalancerView:
    """`now_ms`: on the clock that `Balancer.handle` is told."""
    fleet, safety = balancer.membership.fleet, balancer.settings.safety
    return BalancerView(
        tuple(_endpoint(e, now_ms, safety) for e in balancer.membership.endpoints.values()),
        len(balancer.requests),
        sum(not r.done and r.timer is not None for _, _, r in balancer.held),
        balancer.budget.tokens,
        balancer.failed_calls > 0,
        max(0.0, now_ms - fleet.told_ms) / 1000,
        balancer.release.on(now_ms),
    )


def _endpoint(endpoint: Endpoint, now_ms: float, safety: Safety) -> EndpointView:
    listed, evidence = endpoint.listed, endpoint.evidence
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
        endpoint.silent(now_ms),
        endpoint.failures,
        endpoint.latency_ms,
        evidence.belief(now_ms),
        evidence.reason(now_ms),
        now_ms - evidence.since_ms if evidence.doubted(now_ms) else 0.0,
    )
