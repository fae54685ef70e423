"""The commands that only tell: status, servers, load, failures, refusals, events, help.

What a server can do is read from the module's view, never guessed beside it; what discovery and operators
said comes from the roster.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from cloverrouter.control.book import Book
from cloverrouter.control.events import Events
from cloverrouter.interface import BalancerView, EndpointView
from cloverrouter.proxy.observer import Final
from cloverrouter.seams import Argument, Command, Commands, Json, Operator


@dataclass(frozen=True, slots=True)
class Listed:
    """A server as the roster has it. `state` is the roster's word; `drain` who drained it and when."""

    server: str
    state: str
    zone: str
    address: str
    drain: Json | None


@dataclass(frozen=True, slots=True)
class Sources:
    """Where the answers come from; each is read when asked and changed by nothing here."""

    name: str
    boot: str
    started_ms: float  # Unix
    clock: Callable[[], float]  # Unix ms
    view: Callable[[], BalancerView]
    roster: Callable[[], list[Listed]]
    condition: Callable[[EndpointView], str]
    clients: Callable[[], int]  # connections of clients that are open
    protocols: Callable[[], Json]  # the same and more, by protocol
    protocol: Callable[[str], str]  # by which a server is asked now
    stopping: Callable[[], bool]
    alarms: Callable[[], list[str]]
    standing: Callable[[], Json]  # how often and for how long this process stood still
    contained_errors: Callable[[], dict[str, int]]  # that were kept to one connection or request, by place
    pair: Callable[[], Json | None]  # the role of a box of a pair; None: it is none
    report_fields: tuple[str, ...]
    book: Book
    events: Events


def totals(sources: Sources) -> Json:
    """Requests a second over all classes, and since the start."""
    rates: Counter[str] = Counter()
    counts: Counter[str] = Counter()
    for name, count in sources.book.classes.items():
        rates.update(sources.book.class_rates(name))
        counts["taken"] += count.taken
        counts.update({final.value: n for final, n in count.finals.items()})
    return {"rates": {name: round(rate, 2) for name, rate in rates.items()}, "counts": dict(counts)}


def status(sources: Sources) -> Json:
    view, listed = sources.view(), sources.roster()
    alarms = sources.alarms()
    healthy = sum(endpoint.healthy for endpoint in view.endpoints)
    if listed and not healthy:
        alarms = ["no server can take work", *alarms]
    if not listed:
        alarms = ["discovery has named no server", *alarms]
    if view.discovery_lost:
        alarms = [*alarms, f"discovery does not answer: the list of {view.told_s:.0f} s ago stands"]
    if view.releasing:
        alarms = [*alarms, "the fleet is being replaced: new servers are fed by what they show"]
    return {
        "name": sources.name,
        "boot": sources.boot,
        "at_ms": sources.clock(),
        "uptime_s": round((sources.clock() - sources.started_ms) / 1000, 1),
        "stopping": sources.stopping(),
        "servers": {"listed": len(listed), "healthy": healthy, "drained": sum(bool(s.drain) for s in listed)},
        "open": view.requests,
        "held": view.held,
        "clients": sources.clients(),
        "protocols": sources.protocols(),
        "retry_tokens": round(view.retry_tokens, 1),
        "discovery": "lost" if view.discovery_lost else "well",
        "alarms": alarms,
        "standing": sources.standing(),
        "contained_errors": sources.contained_errors(),
        "pair": sources.pair(),
        "last_event": sources.events.last,
        **totals(sources),
    }


def servers(sources: Sources) -> list[Json]:
    views = {endpoint.name: endpoint for endpoint in sources.view().endpoints}
    return [_server(sources, listed, views.get(listed.server)) for listed in sources.roster()]


def _server(sources: Sources, listed: Listed, view: EndpointView | None) -> Json:
    count = sources.book.servers.get(listed.server)
    served_s, failed_s = sources.book.server_rates(listed.server)
    told: Json = {
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
        "outcomes": {o.value: n for o, n in count.outcomes.items()} if count else {},
        "report": None,
        "report_age_s": None,
    }
    if view is not None:
        told |= {
            "in_flight": view.in_flight,
            "limit": round(view.limit, 2),
            "payoff": round(view.payoff, 3),
            "warmth": round(view.warmth, 2),
            "paused_s": round(view.paused_ms / 1000, 1),
            "latency_ms": round(view.latency_ms, 1),
            "belief": view.belief.value,
            "evidence": view.evidence,
        }
    if count is not None and count.report is not None:
        told["report"] = dict(zip(sources.report_fields, count.report, strict=False))
        told["report_age_s"] = round((sources.clock() - count.report_at_ms) / 1000, 1)
    return told


def load(sources: Sources) -> Json:
    """By class: rates, totals, and for what was not served the reasons, the most frequent first."""
    classes = []
    for name, count in sources.book.classes.items():
        whys = sorted(count.whys.items(), key=lambda item: -item[1])[:12]
        classes.append(
            {
                "class": name,
                "taken": count.taken,
                "rates": {k: round(v, 2) for k, v in sources.book.class_rates(name).items()},
                "counts": {final.value: count.finals[final] for final in Final},
                "served_ms": round(count.served_ms, 1),
                "whys": [{"final": final.value, "why": why, "count": n} for (final, why), n in whys],
            }
        )
    turned = {str(code): n for code, n in sorted(sources.book.turned.items())}
    return {"classes": classes, "turned_away": turned, **totals(sources)}


def commands(sources: Sources, registry: Commands) -> tuple[Command, ...]:
    most = Argument("count", int, "how many at most", default=20, least=1, most=200)

    def tell_status(who: Operator, told: Mapping[str, Any]) -> Json:
        return status(sources)

    def tell_servers(who: Operator, told: Mapping[str, Any]) -> Json:
        return {"servers": servers(sources)}

    def tell_load(who: Operator, told: Mapping[str, Any]) -> Json:
        return load(sources)

    def tell_failures(who: Operator, told: Mapping[str, Any]) -> Json:
        kept = sources.book.failures
        return {"failures": [e.told() for e in list(kept)[-told["count"] :]], "kept": len(kept)}

    def tell_refusals(who: Operator, told: Mapping[str, Any]) -> Json:
        kept = sources.book.refusals
        return {"refusals": [e.told() for e in list(kept)[-told["count"] :]], **load(sources)}

    def tell_events(who: Operator, told: Mapping[str, Any]) -> Json:
        found, lost = sources.events.since(told["since"], told["count"])
        return {"events": found, "lost": lost, "last": sources.events.last}

    def tell_help(who: Operator, told: Mapping[str, Any]) -> Json:
        return {"commands": registry.help()}

    def tell_all(who: Operator, told: Mapping[str, Any]) -> Json:
        found: Json = {"status": status(sources)}
        match told["screen"]:
            case "servers":
                found["servers"] = servers(sources)
            case "load":
                found["load"] = load(sources)
            case "failures":
                found["failures"] = [e.told() for e in list(sources.book.failures)[-told["count"] :]]
        return found

    return (
        Command("status", "How the proxy is, in one look.", tell_status),
        Command("servers", "Every server: its state and why, what is out there, its figures.", tell_servers),
        Command("load", "Requests by class, with the reasons of what was not served.", tell_load),
        Command("failures", "The last failed requests, with each attempt.", tell_failures, (most,)),
        Command("refusals", "The last refused requests, and the reasons by class.", tell_refusals, (most,)),
        Command(
            "events",
            "Changes by operators and discovery.",
            tell_events,
            (
                Argument("follow", bool, "go on telling", default=False),
                Argument("since", int, "those behind this number", default=0, least=0, most=2**53),
                Argument("count", int, "how many at most", default=50, least=1, most=500),
            ),
        ),
        Command(
            "look",
            "What a console's screen shows, in one answer.",
            tell_all,
            (
                Argument("screen", str, "servers, load, failures or events", default="servers"),
                Argument("count", int, "how many at most", default=20, least=1, most=200),
            ),
        ),
        Command("help", "The commands and their arguments.", tell_help),
    )
