"""The read-only commands: status, servers, load, failures, refusals, events, look, help.

A server's liveness and capacity come from the balancer's view and are not estimated again here; the states
set by discovery and operators come from the roster.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from cloverrouter.control.book import TrafficStats
from cloverrouter.control.events import Events
from cloverrouter.interface import BalancerView, EndpointView
from cloverrouter.proxy.observer import RequestResult
from cloverrouter.seams import Argument, Command, Commands, Json, Operator


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server of the roster. `state` is its state there; `drain` tells who drained it and when."""

    server: str
    state: str
    zone: str
    address: str
    drain: Json | None


@dataclass(frozen=True, slots=True)
class Sources:
    """Sources of the commands' results; they are read when a command runs and never modified."""

    name: str
    boot: str
    started_ms: float  # Unix
    clock: Callable[[], float]  # Unix ms
    view: Callable[[], BalancerView]
    roster: Callable[[], list[ListedServer]]
    condition: Callable[[EndpointView], str]
    clients: Callable[[], int]  # open client connections
    protocols: Callable[[], Json]  # counts by protocol, of client connections and others
    protocol: Callable[[str], str]  # the protocol now used for a server
    stopping: Callable[[], bool]
    alarms: Callable[[], list[str]]
    pause_report: Callable[[], Json]  # number and duration of this process's pauses
    contained_errors: Callable[[], dict[str, int]]  # errors limited to one connection or request, by place
    pair: Callable[[], Json | None]  # the role of a member of a pair; None: not in a pair
    report_fields: tuple[str, ...]
    stats: TrafficStats
    events: Events


def totals(sources: Sources) -> Json:
    """Return the requests of all classes: per second, and in total since the start."""
    rates: Counter[str] = Counter()
    counts: Counter[str] = Counter()
    for name, count in sources.stats.classes.items():
        rates.update(sources.stats.class_rates(name))
        counts["taken"] += count.accepted
        counts.update({result.value: n for result, n in count.results.items()})
    return {"rates": {name: round(rate, 2) for name, rate in rates.items()}, "counts": dict(counts)}


def status(sources: Sources) -> Json:
    """Return the state of the proxy as a whole, with its alarms."""
    view, listed = sources.view(), sources.roster()
    alarms = sources.alarms()
    healthy = sum(endpoint.healthy for endpoint in view.endpoints)
    if listed and not healthy:
        alarms = ["no server can take work", *alarms]
    if not listed:
        alarms = ["discovery has named no server", *alarms]
    if view.discovery_lost:
        alarms = [*alarms, f"discovery does not answer: the list of {view.discovery_age_s:.0f} s ago stands"]
    if view.rollout_in_progress:
        alarms = [
            *alarms,
            "the fleet is being replaced: new servers are fed by what they show",
        ]
    return {
        "name": sources.name,
        "boot": sources.boot,
        "at_ms": sources.clock(),
        "uptime_s": round((sources.clock() - sources.started_ms) / 1000, 1),
        "stopping": sources.stopping(),
        "servers": {"listed": len(listed), "healthy": healthy, "drained": sum(bool(s.drain) for s in listed)},
        "open": view.requests,
        "held": view.queued,
        "clients": sources.clients(),
        "protocols": sources.protocols(),
        "retry_tokens": round(view.retry_tokens, 1),
        "discovery": "lost" if view.discovery_lost else "well",
        "alarms": alarms,
        "standing": sources.pause_report(),
        "contained_errors": sources.contained_errors(),
        "pair": sources.pair(),
        "last_event": sources.events.last,
        **totals(sources),
    }


def servers(sources: Sources) -> list[Json]:
    """Return the state and the statistics of each server in the roster."""
    views = {endpoint.name: endpoint for endpoint in sources.view().endpoints}
    return [_server_status(sources, listed, views.get(listed.server)) for listed in sources.roster()]


def _server_status(sources: Sources, listed: ListedServer, view: EndpointView | None) -> Json:
    count = sources.stats.servers.get(listed.server)
    served_s, failed_s = sources.stats.server_rates(listed.server)
    result: Json = {
        "server": listed.server,
        "zone": listed.zone,
        "address": listed.address,
        "protocol": sources.protocol(listed.server),
        "state": listed.state,
        "drain": listed.drain,
        "condition": "absent" if view is None else sources.condition(view),
        "healthy": view is not None and view.healthy,
        "served_s": round(served_s, 2),
        "failed_s": round(failed_s, 2),
        "served": count.served if count else 0,
        "failed": count.failed if count else 0,
        "outcomes": {outcome.value: n for outcome, n in count.outcomes.items()} if count else {},
        "report": None,
        "report_age_s": None,
    }
    if view is not None:
        result |= {
            "in_flight": view.in_flight,
            "limit": round(view.limit, 2),
            "payoff": round(view.payoff, 3),
            "warmth": round(view.warmth, 2),
            "paused_s": round(view.paused_ms / 1000, 1),
            "latency_ms": round(view.latency_ms, 1),
            "belief": view.liveness.value,
            "evidence": view.liveness_reason,
        }
    if count is not None and count.report is not None:
        result["report"] = dict(zip(sources.report_fields, count.report, strict=False))
        result["report_age_s"] = round((sources.clock() - count.report_at_ms) / 1000, 1)
    return result


def load(sources: Sources) -> Json:
    """Return rates, totals and the most frequent reasons of unserved requests, by class."""
    classes = []
    for name, count in sources.stats.classes.items():
        reasons = sorted(count.reasons.items(), key=lambda item: -item[1])[:12]
        classes.append(
            {
                "class": name,
                "taken": count.accepted,
                "rates": {k: round(v, 2) for k, v in sources.stats.class_rates(name).items()},
                "counts": {result.value: count.results[result] for result in RequestResult},
                "served_ms": round(count.served_ms, 1),
                "whys": [
                    {"final": result.value, "why": reason, "count": n} for (result, reason), n in reasons
                ],
            }
        )
    rejected = {str(code): n for code, n in sorted(sources.stats.rejected_by_status.items())}
    return {"classes": classes, "turned_away": rejected, **totals(sources)}


def commands(sources: Sources, registry: Commands) -> tuple[Command, ...]:
    """Return the read-only commands; `help` lists all commands of `registry`."""
    count_argument = Argument("count", int, "how many at most", default=20, minimum=1, maximum=200)

    def report_status(operator: Operator, arguments: Mapping[str, Any]) -> Json:
        return status(sources)

    def report_servers(operator: Operator, arguments: Mapping[str, Any]) -> Json:
        return {"servers": servers(sources)}

    def report_load(operator: Operator, arguments: Mapping[str, Any]) -> Json:
        return load(sources)

    def report_failures(operator: Operator, arguments: Mapping[str, Any]) -> Json:
        kept = sources.stats.failures
        return {
            "failures": [request.to_json() for request in list(kept)[-arguments["count"] :]],
            "kept": len(kept),
        }

    def report_refusals(operator: Operator, arguments: Mapping[str, Any]) -> Json:
        kept = sources.stats.refusals
        return {
            "refusals": [request.to_json() for request in list(kept)[-arguments["count"] :]],
            **load(sources),
        }

    def report_events(operator: Operator, arguments: Mapping[str, Any]) -> Json:
        found, lost = sources.events.since(arguments["since"], arguments["count"])
        return {"events": found, "lost": lost, "last": sources.events.last}

    def report_help(operator: Operator, arguments: Mapping[str, Any]) -> Json:
        return {"commands": registry.help()}

    def report_screen(operator: Operator, arguments: Mapping[str, Any]) -> Json:
        found: Json = {"status": status(sources)}
        match arguments["screen"]:
            case "servers":
                found["servers"] = servers(sources)
            case "load":
                found["load"] = load(sources)
            case "failures":
                found["failures"] = [
                    request.to_json() for request in list(sources.stats.failures)[-arguments["count"] :]
                ]
        return found

    return (
        Command("status", "The state of the proxy as a whole.", report_status),
        Command(
            "servers", "Every server: state with reason, requests in flight, statistics.", report_servers
        ),
        Command("load", "Requests by class, with the reasons of what was not served.", report_load),
        Command(
            "failures", "The last failed requests, with each attempt.", report_failures, (count_argument,)
        ),
        Command(
            "refusals",
            "The last refused requests, and the reasons by class.",
            report_refusals,
            (count_argument,),
        ),
        Command(
            "events",
            "Changes by operators and discovery.",
            report_events,
            (
                Argument("follow", bool, "keep sending new events", default=False),
                Argument("since", int, "only events after this number", default=0, minimum=0, maximum=2**53),
                Argument("count", int, "how many at most", default=50, minimum=1, maximum=500),
            ),
        ),
        Command(
            "look",
            "What a console's screen shows, in one answer.",
            report_screen,
            (
                Argument("screen", str, "servers, load, failures or events", default="servers"),
                Argument("count", int, "how many at most", default=20, minimum=1, maximum=200),
            ),
        ),
        Command("help", "The commands and their arguments.", report_help),
    )
