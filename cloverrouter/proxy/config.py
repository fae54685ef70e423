"""Environment and JSON to typed settings. The only place that knows the names of the configuration.

``settings`` has the form of the simulator's first message, so the adapter reads it with this, too.
"""

from __future__ import annotations

import json
import logging
import socket
import time
import zlib
from collections.abc import Mapping
from typing import Any, TypeVar

from cloverrouter.clock import now_s
from cloverrouter.interface import (
    EndpointState,
    Idempotency,
    Limits,
    ListedEndpoint,
    Prices,
    RepeatScope,
    RequestClass,
    Safety,
    Settings,
    Tenant,
)
from cloverrouter.values import Value, replace

Json = dict[str, Any]
Address = tuple[str, int]
N = TypeVar("N", int, float)

IDEMPOTENCY = {
    "retryable": Idempotency.SAFE,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.UNSAFE,
}
STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}
DEFAULT_IDLE_MS = 15_000.0
DEFAULT_SOCKETS = 256
DEFAULT_MEMORY_MB = 64.0
OF_EFFECT = ("group", "window_ms")  # of a class: only a keyed one has them
# What SIGHUP does not change, by where it stands in the file: the process counts on it from its start.
FIXED = (
    ("name",), ("listen",), ("limits",), ("peer_listen",), ("peers",), ("peers_all",), ("management",),
    ("settings", "zone"), ("settings", "balancers"), ("settings", "ordinal"), ("settings", "discovery"),
)  # fmt: skip
CLIENTS_SHARE = 1 / 3  # of the descriptors at most are held by clients for requests
MOST = 1e15  # no figure is larger, and sums and products of some such are exact enough
MOST_WHOLE = 2.0**63  # nor version, cell or time of a start
LEAST_MS = 0.001  # of times that others are divided by
MOST_PROXIES = 1_000_000
NO_VERSION = -1  # of a list that can't be gone on from
log = logging.getLogger(__name__)


class StartError(Exception):
    """What the operators' file turns on can't be started; the text names the table and the reason."""


# Settings


def read_class(facts: Json, path: str = "categories[]") -> RequestClass:
    return RequestClass(
        name=_text(facts["name"]),
        aim_ms=_span_ms(facts, path, "aim_ms"),
        deadline_ms=_span_ms(facts, path, "deadline_ms"),
        worth=_field(float, facts, path, "worth", 1.0),
        late_worth=_field(float, facts, path, "late_worth", 0.0),
        aim_stretch=_field(float, facts, path, "aim_stretch", 0.0, least=0.0),
        idempotency=IDEMPOTENCY[facts["effect"]],
        repeat_scope=RepeatScope(facts.get("group", "all")),
        repeat_window_ms=_field(float, facts, path, "window_ms", 0.0, least=0.0),
        streamed=_flag(facts, path, "stream"),
    )


def read_settings(facts: Json, most_open: int = 0) -> Settings:
    """`most_open`: the requests that clients have connections for; 0 where there are no connections.

    Every figure is checked here. Danger: one of another type or size would be found out by the decisions,
    in the middle of a request, and end the process.
    """
    return Settings(
        classes=tuple(read_class(c, f"categories[{i}]") for i, c in enumerate(facts["categories"])),
        zone=_text(facts.get("zone", "")),
        proxies=_field(int, facts, "", "balancers", most=MOST_PROXIES),
        number=None if facts.get("ordinal") is None else _field(int, facts, "", "ordinal", least=0),
        subscribe=facts.get("discovery") == "subscribe",
        report_fields=tuple(_text(name) for name in facts.get("reporting", {}).get("fields", ())),
        worth_by_work=facts.get("counted_by") == "work",
        limits=_read_limits(facts["bounds"], most_open),
        safety=_read_safety(facts["safety"]),
        prices=_read_prices(facts.get("prices", {})),
        tenants=tuple(
            Tenant(_text(t["name"]), _field(float, t, f"projects[{i}]", "quota_per_s", least=0.0))
            for i, t in enumerate(facts.get("projects", ()))
        ),
        over_quota_worth=_field(float, facts, "", "over_share_worth", 1.0),
    )


def _read_limits(bounds: Json, most_open: int) -> Limits:
    return Limits(
        max_attempts=_whole(bounds["max_attempts"]),
        parallel_attempts=_flag(bounds, "bounds", "parallel_tries"),
        cancel=_flag(bounds, "bounds", "cancel"),
        probes=_flag(bounds, "bounds", "probes"),
        retry_after=_flag(bounds, "bounds", "retry_after"),
        max_retry_after_ms=_field(float, bounds, "bounds", "max_retry_after_ms", 0.0, least=0.0),
        connect_timeout_ms=_field(float, bounds, "bounds", "connect_timeout_ms", 250.0, least=0.0),
        max_open=min(_field(int, bounds, "bounds", "max_open", 0, least=0) or most_open, most_open),
    )


def _read_safety(safety: Json) -> Safety:
    return Safety(
        cold_share=_field(float, safety, "safety", "cold_share"),
        cold_ms=_field(float, safety, "safety", "cold_ms", least=0.0),
        push_multiple=_field(float, safety, "safety", "fall_multiple"),
        push_window_ms=_field(float, safety, "safety", "fall_ms"),
        must_ask_ms=_field(float, safety, "safety", "must_ask_in_ms", least=0.0),
        drain_grace_ms=_field(float, safety, "safety", "drain_grace_ms", 1000.0, least=0.0),
    )


def _read_prices(prices: Json) -> Prices:
    return Prices(
        cross_zone=_field(float, prices, "prices", "cross_zone", 0.0),
        probe=_field(float, prices, "prices", "probe", 0.0),
        waste=_field(float, prices, "prices", "waste", 0.0),
        late_fail=_field(float, prices, "prices", "late_fail", 0.0),
    )


# Discovery's lists


class HostEntry(Value):
    listed: ListedEndpoint
    address: Address | None  # None: it has left


class HostList(Value):
    version: int
    full: bool
    entries: tuple[HostEntry, ...]


class UnixClock:
    """Turns discovery's Unix times into the module's monotonic ones.

    The offset is taken once: the module takes a changed start for a new process.
    """

    def __init__(self) -> None:
        self._offset_ms = now_s() * 1000 - time.time() * 1000

    def monotonic_ms(self, unix_ms: float) -> float | None:
        return unix_ms + self._offset_ms if unix_ms > 0 else None


def read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    try:  # there is no DNS: a name would block on look-ups that can't succeed
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError:
        raise ValueError(f"no IP address: {text!r}; right is such as 127.0.0.1:3000") from None
    if not 0 < int(port) < 65536:
        raise ValueError(f"no port: {text!r}")
    return host, int(port)


def read_entry(entry: Json, clock: UnixClock) -> HostEntry:
    state = STATES[entry["state"]]
    listed = ListedEndpoint(
        name=_text(entry["id"]),
        zone=_text(entry.get("zone", "")),
        cell=_number(int, entry.get("cell", 0), -MOST_WHOLE, MOST_WHOLE),
        weight=_number(float, entry.get("weight", 1.0)),
        state=state,
        started_ms=clock.monotonic_ms(_number(float, entry.get("started_ms", 0), -MOST_WHOLE, MOST_WHOLE)),
    )
    return HostEntry(listed, None if state is EndpointState.GONE else read_address(entry["addr"]))


def read_list(message: Any, clock: UnixClock, known: dict[str, HostEntry] | None = None) -> HostList:
    """Raises ValueError for anything but a whole list: half of one is never applied.

    `known`: entries by name, as last read. Those that come again are the same objects, and it is brought up
    to date. Danger: whole lists of thousands, made anew each time, leave memory in pieces that stay.
    """
    try:
        entries = tuple(_same(read_entry(entry, clock), known) for entry in message["servers"])
        version = _number(int, message["version"], -MOST_WHOLE, MOST_WHOLE)
        found = HostList(version, message["full"] is True, entries)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from error
    if known is not None:
        if found.full:
            known.clear()
        for entry in entries:
            if entry.address is None:
                known.pop(entry.listed.name, None)
            else:
                known[entry.listed.name] = entry
    return found


def _same(entry: HostEntry, known: dict[str, HostEntry] | None) -> HostEntry:
    before = known.get(entry.listed.name) if known else None
    return before if before is not None and before == entry else entry


def read_known(message: Any, clock: UnixClock) -> HostList | None:
    """The list that the platform remembers, as far as it can be read; None for one with no server to use.

    Danger: one spoilt entry among thousands, in a file that nobody wrote by hand, would keep a proxy from
    starting again. It is left out and named, and discovery is asked for the whole list (`NO_VERSION`).
    """
    if not message:
        return None
    try:
        found = read_list(message, clock)
    except ValueError as error:
        servers = message.get("servers") if isinstance(message, dict) else None
        if not isinstance(servers, list):
            text = 'right is {"version": 1, "full": true, "servers": [...]}'
            log.error("known is left out, discovery is asked: %s; %s", error, text)
            return None
        entries, spoilt = [], []
        for told in servers:
            try:
                entries.append(read_entry(told, clock))
            except (KeyError, TypeError, AttributeError, ValueError) as wrong:
                spoilt.append(f"{told!r:.120}: {type(wrong).__name__}: {wrong}")
        text = spoilt[0] if spoilt else str(error)
        log.error("known: %d of %d entries are left out, the first: %s", len(spoilt), len(servers), text)
        found = HostList(NO_VERSION, True, tuple(entries))
    # Danger: with nobody to send to, it is ready when discovery has answered, and must not wait to ask.
    return found if any(entry.listed.state is EndpointState.READY for entry in found.entries) else None


def read_departures(message: Any, clock: UnixClock) -> HostList | None:
    """Of a list that can't be read whole: the hosts that it says are to be left, as changes; None for none.

    Danger: an entry that is spoilt would cost the drain that is told beside it. What else it says waits for a
    list that can be read.
    """
    entries: list[HostEntry] = []
    servers = message.get("servers") if isinstance(message, dict) else None
    for told in servers if isinstance(servers, list) else ():
        try:
            entry = read_entry(told, clock)
        except (KeyError, TypeError, AttributeError, ValueError):
            continue
        if entry.listed.state is not EndpointState.READY:
            entries.append(entry)
    return HostList(0, False, tuple(entries)) if entries else None


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"not a text: {value!r:.120}")
    try:
        value.encode()
    except UnicodeEncodeError:  # half of a surrogate pair, which JSON can name and nothing can write
        raise ValueError(f"not a text that can be written: {value!r:.120}") from None
    return value


def _number(kind: type[N], value: Any, least: float = -MOST, most: float = MOST) -> N:
    """Python's JSON also reads NaN, Infinity and whole numbers of any length, which would spread through
    every figure they touch, or raise an error there."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"not a number: {value!r:.120}")
    if not least <= value <= most:  # nor is NaN
        raise ValueError(f"not a number from {least:g} to {most:g}: {value!r:.120}")
    return kind(value)


def _field(
    kind: type[N],
    facts: Json,
    path: str,
    key: str,
    default: N | None = None,
    least: float = -MOST,
    most: float = MOST,
) -> N:
    """The number at `key`; `default` where there is none, or null. Raises ValueError with its place."""
    if default is not None and facts.get(key) is None:
        return default
    try:
        return _number(kind, facts[key], least, most)
    except ValueError as error:
        place = f"{path}.{key}" if path else key
        raise ValueError(f"{place}: {error}") from None


def _span_ms(facts: Json, path: str, key: str) -> float:
    """A time that others are divided by."""
    found = _field(float, facts, path, key)
    if found < LEAST_MS:
        raise ValueError(f"{path}.{key} is {found:g}; it must be positive, {LEAST_MS:g} ms at least")
    return found


def _flag(facts: Json, path: str, key: str) -> bool:
    value = facts.get(key)
    if value is None:
        return False
    if value not in (True, False):
        raise ValueError(f"{path}.{key}: {value!r:.120}; right is true or false")
    return bool(value)


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"not a whole number: {value!r}")
    return value


# The whole


class Config(Value):
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: float
    conn_idle_ms: float
    settings: Settings
    known: HostList | None
    clock: UnixClock
    told: Json  # the file, but for the list of hosts
    management: Address | None = None  # where operators call
    inherited: int | None = None  # the descriptor of a listening socket that the platform holds


def read_seed(value: Any) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        return zlib.crc32(str(value).encode())


def missing(now: Any, before: Any, path: str = "") -> str | None:
    """The path of the first key that `before` has and `now` lacks.

    Entries of a list are compared with what all of the former entries have: there may be others now.
    """
    if isinstance(before, dict):
        if not isinstance(now, dict):
            return path
        for key, value in before.items():
            where = f"{path}.{key}" if path else key
            if key not in now:
                return where
            if (lost := missing(now[key], value, where)) is not None:
                return lost
    elif isinstance(before, list) and before and all(isinstance(entry, dict) for entry in before):
        if not isinstance(now, list):
            return path
        for i, entry in enumerate(now):
            # Danger: what only one effect needs is no loss to a class of another; refused for it, the file
            # would leave discovery's new address unheard, too.
            told = entry if isinstance(entry, dict) else {}
            alike = [e for e in before if all(e.get(key) == told.get(key) for key in ("name", "effect"))]
            shared = [key for key in before[0] if all(key in e for e in before)]
            shared = [key for key in shared if key not in OF_EFFECT]
            shared += [key for key in OF_EFFECT if alike and all(key in e for e in alike)]
            if (lost := missing(entry, dict.fromkeys(shared), f"{path}[{i}]")) is not None:
                return lost
    return None


def _read_file(environ: Mapping[str, str]) -> Json:
    with open(environ["PROXY_CONFIG"], encoding="utf-8") as file:
        told: Json = json.load(file)
    return told


def reload(environ: Mapping[str, str], former: Config) -> Config:
    """What the file says now, where that can change in service: discovery's address and the settings.

    The environment is as old as the process: its copy of discovery's address would undo the change. Raises
    KeyError, ValueError, TypeError, AttributeError or OSError for a file that can't be used: nothing of
    it holds then.
    """
    told = _read_file(environ)
    # Danger: a file that was cut, or lost a key, would put defaults in place of what an operator had set.
    lost = missing({**told, "known": None}, former.told)
    if lost is not None:
        raise ValueError(f"{lost} is missing, and the file in force has it")
    settings = read_settings(told["settings"], int(former.sockets * CLIENTS_SHARE))
    if not settings.classes:
        raise ValueError("settings.categories is empty; right is at least one class")
    told["known"] = None
    return replace(
        former,
        discovery=read_address(told["discovery"]),
        settings=settings,
        conn_idle_ms=read_idle_ms(told["settings"]),
        told=told,
    )


def _at(told: Any, path: tuple[str, ...]) -> Any:
    for key in path:
        told = told.get(key) if isinstance(told, dict) else None
    return told


def kept(now: Json, before: Json) -> list[str]:
    """What `now` says otherwise than the file in force, and a running process does not change, as texts."""
    return [
        f"{'.'.join(path)} stays {_at(before, path)!r}, the file has {_at(now, path)!r}: a restart changes it"
        for path in FIXED
        if _at(now, path) != _at(before, path)
    ]


def read_idle_ms(facts: Json) -> float:
    """For how long a host keeps a connection that stands idle."""
    return _field(float, facts["bounds"], "bounds", "conn_idle_ms", DEFAULT_IDLE_MS, least=0.0)


def load(environ: Mapping[str, str]) -> Config:
    """Raises KeyError, ValueError, TypeError, AttributeError or OSError when the program can't start with
    what it was told."""
    told = _read_file(environ)
    facts, clock = told["settings"], UnixClock()
    management = environ.get("PROXY_MANAGEMENT") or told.get("management")
    inherited = environ.get("PROXY_INHERITED_FD")
    limits = told.get("limits", {})
    sockets = _field(int, limits, "limits", "sockets", DEFAULT_SOCKETS, least=0)
    return Config(
        told={**told, "known": None},
        name=_text(environ.get("PROXY_NAME") or told["name"]),
        listen=read_address(environ.get("PROXY_LISTEN") or told["listen"]),
        discovery=read_address(environ.get("PROXY_DISCOVERY") or told["discovery"]),
        seed=read_seed(told.get("seed", 0)),
        sockets=sockets,
        memory_mb=_field(float, limits, "limits", "memory_mb", DEFAULT_MEMORY_MB, least=0.0),
        conn_idle_ms=read_idle_ms(facts),
        settings=read_settings(facts, int(sockets * CLIENTS_SHARE)),
        known=read_known(told.get("known"), clock),
        clock=clock,
        management=read_address(management) if management else None,
        inherited=_descriptor(inherited) if inherited else None,
    )


def _descriptor(text: str) -> int:
    if not text.isdecimal() or int(text) < 3:
        raise ValueError(f"PROXY_INHERITED_FD is {text!r}; right is the number of a descriptor, from 3 on")
    return int(text)
