"""Parse the environment and the JSON configuration file into typed settings.

The configuration's key names are known to this module alone. ``settings`` has the form of the simulator's
first message, so the simulator adapter parses it with this module, too.
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
    IdempotencyScope,
    Limits,
    ListedEndpoint,
    Prices,
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
KEYED_ONLY_KEYS = ("group", "window_ms")  # keys of a class that only idempotency by key needs
# Paths of the keys that a reload by SIGHUP does not change: the process relies on their values at its start.
RESTART_ONLY_PATHS = (
    ("name",), ("listen",), ("limits",), ("peer_listen",), ("peers",), ("peers_all",), ("management",),
    ("settings", "zone"), ("settings", "balancers"), ("settings", "ordinal"), ("settings", "discovery"),
)  # fmt: skip
CLIENT_SHARE = 1 / 3  # maximum share of the descriptors that client connections with requests use
MAX_NUMBER = 1e15  # sums and products of a few such numbers are still exact enough
MAX_INTEGER = 2.0**63  # of versions, cells and start times
MIN_DIVISOR_MS = 0.001  # of durations that are used as divisors
MAX_PROXIES = 1_000_000
NO_VERSION = -1  # of a list that later changes can't be applied to
log = logging.getLogger(__name__)


class StartError(Exception):
    """A part that the operators' file enables can't start; the message names the table and the reason."""


# Settings


def read_class(fields: Json, path: str = "categories[]") -> RequestClass:
    return RequestClass(
        name=_text(fields["name"]),
        aim_ms=_divisor_ms(fields, path, "aim_ms"),
        deadline_ms=_divisor_ms(fields, path, "deadline_ms"),
        worth=_field(float, fields, path, "worth", 1.0),
        late_worth=_field(float, fields, path, "late_worth", 0.0),
        aim_stretch=_field(float, fields, path, "aim_stretch", 0.0, least=0.0),
        idempotency=IDEMPOTENCY[fields["effect"]],
        idempotency_scope=IdempotencyScope(fields.get("group", "all")),
        idempotency_window_ms=_field(float, fields, path, "window_ms", 0.0, least=0.0),
        streamed=_flag(fields, path, "stream"),
    )


def read_settings(fields: Json, max_open: int = 0) -> Settings:
    """Parse `settings`; raises ValueError, KeyError or TypeError.

    `max_open`: the number of client connections for requests; 0 where there are no connections.

    The type and range of every number are checked here: a wrong one would otherwise raise an error in the
    decisions, in the middle of a request, and end the process.
    """
    return Settings(
        classes=tuple(read_class(c, f"categories[{i}]") for i, c in enumerate(fields["categories"])),
        zone=_text(fields.get("zone", "")),
        proxies=_field(int, fields, "", "balancers", most=MAX_PROXIES),
        number=None if fields.get("ordinal") is None else _field(int, fields, "", "ordinal", least=0),
        subscribe=fields.get("discovery") == "subscribe",
        report_fields=tuple(_text(name) for name in fields.get("reporting", {}).get("fields", ())),
        worth_by_work=fields.get("counted_by") == "work",
        limits=_read_limits(fields["bounds"], max_open),
        safety=_read_safety(fields["safety"]),
        prices=_read_prices(fields.get("prices", {})),
        tenants=tuple(
            Tenant(_text(t["name"]), _field(float, t, f"projects[{i}]", "quota_per_s", least=0.0))
            for i, t in enumerate(fields.get("projects", ()))
        ),
        over_quota_worth=_field(float, fields, "", "over_share_worth", 1.0),
    )


def _read_limits(bounds: Json, most_open: int) -> Limits:
    return Limits(
        max_attempts=_integer(bounds["max_attempts"]),
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
        overload_multiple=_field(float, safety, "safety", "fall_multiple"),
        overload_window_ms=_field(float, safety, "safety", "fall_ms"),
        discovery_poll_ms=_field(float, safety, "safety", "must_ask_in_ms", least=0.0),
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
    address: Address | None  # None: removed from the list


class HostList(Value):
    version: int
    full: bool
    entries: tuple[HostEntry, ...]


class UnixClock:
    """Converts discovery's Unix times to the monotonic times of the decisions.

    The offset is measured once: with a changing one, start times would change, and the decisions take a
    changed start time for a new server process.
    """

    def __init__(self) -> None:
        self._offset_ms = now_s() * 1000 - time.time() * 1000

    def monotonic_ms(self, unix_ms: float) -> float | None:
        return unix_ms + self._offset_ms if unix_ms > 0 else None


def read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    try:  # host names are rejected: there is no DNS, and a lookup would block until it fails
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError:
        raise ValueError(f"not an IP address: {text!r}; right is such as 127.0.0.1:3000") from None
    if not 0 < int(port) < 65536:
        raise ValueError(f"not a port from 1 to 65535: {text!r}")
    return host, int(port)


def read_entry(entry: Json, clock: UnixClock) -> HostEntry:
    state = STATES[entry["state"]]
    listed = ListedEndpoint(
        name=_text(entry["id"]),
        zone=_text(entry.get("zone", "")),
        cell=_number(int, entry.get("cell", 0), -MAX_INTEGER, MAX_INTEGER),
        weight=_number(float, entry.get("weight", 1.0)),
        state=state,
        started_ms=clock.monotonic_ms(_number(float, entry.get("started_ms", 0), -MAX_INTEGER, MAX_INTEGER)),
    )
    return HostEntry(listed, None if state is EndpointState.GONE else read_address(entry["addr"]))


def read_list(message: Any, clock: UnixClock, known: dict[str, HostEntry] | None = None) -> HostList:
    """Parse a list of hosts; raises ValueError unless it is complete: a partial list is never applied.

    `known`: entries by name, as last read; updated here. Unchanged entries are returned as the same objects:
    allocating full lists of thousands of entries each time would fragment the memory.
    """
    try:
        entries = tuple(_reuse_unchanged(read_entry(entry, clock), known) for entry in message["servers"])
        version = _number(int, message["version"], -MAX_INTEGER, MAX_INTEGER)
        listing = HostList(version, message["full"] is True, entries)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from error
    if known is not None:
        if listing.full:
            known.clear()
        for entry in entries:
            if entry.address is None:
                known.pop(entry.listed.name, None)
            else:
                known[entry.listed.name] = entry
    return listing


def _reuse_unchanged(entry: HostEntry, known: dict[str, HostEntry] | None) -> HostEntry:
    before = known.get(entry.listed.name) if known else None
    return before if before is not None and before == entry else entry


def read_known(message: Any, clock: UnixClock) -> HostList | None:
    """Parse the last known list that the platform stores; None if it has no ready server.

    Malformed entries are left out, the first is logged, and discovery is asked for the full list
    (`NO_VERSION`): otherwise one malformed entry among thousands, in a file that no person wrote, would keep
    a proxy from restarting.
    """
    if not message:
        return None
    try:
        listing = read_list(message, clock)
    except ValueError as error:
        servers = message.get("servers") if isinstance(message, dict) else None
        if not isinstance(servers, list):
            text = 'right is {"version": 1, "full": true, "servers": [...]}'
            log.error("known is left out, discovery is asked: %s; %s", error, text)
            return None
        entries, malformed = [], []
        for item in servers:
            try:
                entries.append(read_entry(item, clock))
            except (KeyError, TypeError, AttributeError, ValueError) as wrong:
                malformed.append(f"{item!r:.120}: {type(wrong).__name__}: {wrong}")
        text = malformed[0] if malformed else str(error)
        log.error("known: %d of %d entries are left out, the first: %s", len(malformed), len(servers), text)
        listing = HostList(NO_VERSION, True, tuple(entries))
    # Without a ready server the proxy becomes ready only when discovery has answered: it must ask at once.
    return listing if any(entry.listed.state is EndpointState.READY for entry in listing.entries) else None


def read_departures(message: Any, clock: UnixClock) -> HostList | None:
    """Return the draining and removed hosts of a malformed list, as changes; None if there are none.

    A malformed entry must not delay the drain that another entry of the same list announces. The other
    entries are ignored until a list comes that can be parsed.
    """
    entries: list[HostEntry] = []
    servers = message.get("servers") if isinstance(message, dict) else None
    for item in servers if isinstance(servers, list) else ():
        try:
            entry = read_entry(item, clock)
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
    except UnicodeEncodeError:  # a lone surrogate, which JSON can escape and UTF-8 can't encode
        raise ValueError(f"not a text that can be written: {value!r:.120}") from None
    return value


def _number(kind: type[N], value: Any, least: float = -MAX_NUMBER, most: float = MAX_NUMBER) -> N:
    """Return `value` as `kind`; raises ValueError unless it is a number from `least` to `most`.

    Python's JSON parser also accepts NaN, Infinity and integers of any length, which would propagate through
    every calculation or raise an error in it.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"not a number: {value!r:.120}")
    if not least <= value <= most:  # also rejects NaN
        raise ValueError(f"not a number from {least:g} to {most:g}: {value!r:.120}")
    return kind(value)


def _field(
    kind: type[N],
    fields: Json,
    path: str,
    key: str,
    default: N | None = None,
    least: float = -MAX_NUMBER,
    most: float = MAX_NUMBER,
) -> N:
    """Return the number at `key`, or `default` if it is absent or null; a ValueError names its path."""
    if default is not None and fields.get(key) is None:
        return default
    try:
        return _number(kind, fields[key], least, most)
    except ValueError as error:
        place = f"{path}.{key}" if path else key
        raise ValueError(f"{place}: {error}") from None


def _divisor_ms(fields: Json, path: str, key: str) -> float:
    """Return the duration at `key`, which others are divided by; raises ValueError below `MIN_DIVISOR_MS`."""
    duration_ms = _field(float, fields, path, key)
    if duration_ms < MIN_DIVISOR_MS:
        raise ValueError(
            f"{path}.{key} is {duration_ms:g}; it must be positive, {MIN_DIVISOR_MS:g} ms at least"
        )
    return duration_ms


def _flag(fields: Json, path: str, key: str) -> bool:
    value = fields.get(key)
    if value is None:
        return False
    if value not in (True, False):
        raise ValueError(f"{path}.{key}: {value!r:.120}; right is true or false")
    return bool(value)


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"not a whole number: {value!r}")
    return value


# The configuration


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
    parsed_file: Json  # without the list of hosts
    management: Address | None = None  # of the operators' interface
    inherited: int | None = None  # descriptor of a listening socket passed by the platform


def read_seed(value: Any) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        return zlib.crc32(str(value).encode())


def first_missing_key(now: Any, before: Any, path: str = "") -> str | None:
    """Return the path of the first key that `before` has and `now` lacks.

    Each entry of a list must have the keys that all former entries have: the entries may be others now.
    """
    if isinstance(before, dict):
        if not isinstance(now, dict):
            return path
        for key, value in before.items():
            where = f"{path}.{key}" if path else key
            if key not in now:
                return where
            if (missing := first_missing_key(now[key], value, where)) is not None:
                return missing
    elif isinstance(before, list) and before and all(isinstance(entry, dict) for entry in before):
        if not isinstance(now, list):
            return path
        for i, entry in enumerate(now):
            # A key that only one effect needs may be absent in a class of another effect: rejecting the file
            # for it would also reject a new address of discovery.
            fields = entry if isinstance(entry, dict) else {}
            alike = [e for e in before if all(e.get(key) == fields.get(key) for key in ("name", "effect"))]
            shared = [key for key in before[0] if all(key in e for e in before)]
            shared = [key for key in shared if key not in KEYED_ONLY_KEYS]
            shared += [key for key in KEYED_ONLY_KEYS if alike and all(key in e for e in alike)]
            if (missing := first_missing_key(entry, dict.fromkeys(shared), f"{path}[{i}]")) is not None:
                return missing
    return None


def _read_file(environ: Mapping[str, str]) -> Json:
    with open(environ["PROXY_CONFIG"], encoding="utf-8") as file:
        fields: Json = json.load(file)
    return fields


def reload(environ: Mapping[str, str], former: Config) -> Config:
    """Reread what can change in service from the file: discovery's address and the settings.

    Discovery's address in the environment is ignored: it dates from the start of the process and would undo
    the change. Raises KeyError, ValueError, TypeError, AttributeError or OSError for a file that can't be
    used: none of it is applied then.
    """
    fields = _read_file(environ)
    # In a truncated file, or one that lost a key, defaults would replace what an operator had set.
    missing = first_missing_key({**fields, "known": None}, former.parsed_file)
    if missing is not None:
        raise ValueError(f"{missing} is missing, and the file in force has it")
    settings = read_settings(fields["settings"], int(former.sockets * CLIENT_SHARE))
    if not settings.classes:
        raise ValueError("settings.categories is empty; right is at least one class")
    fields["known"] = None
    return replace(
        former,
        discovery=read_address(fields["discovery"]),
        settings=settings,
        conn_idle_ms=read_idle_ms(fields["settings"]),
        parsed_file=fields,
    )


def _at(fields: Any, path: tuple[str, ...]) -> Any:
    for key in path:
        fields = fields.get(key) if isinstance(fields, dict) else None
    return fields


def unapplied_changes(now: Json, before: Json) -> list[str]:
    """Describe the keys that differ from the file in force and that only a restart changes, a text each."""
    return [
        f"{'.'.join(path)} stays {_at(before, path)!r}, the file has {_at(now, path)!r}: a restart changes it"
        for path in RESTART_ONLY_PATHS
        if _at(now, path) != _at(before, path)
    ]


def read_idle_ms(fields: Json) -> float:
    """Return the time after which a host closes an idle connection."""
    return _field(float, fields["bounds"], "bounds", "conn_idle_ms", DEFAULT_IDLE_MS, least=0.0)


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration of a new process; the environment takes precedence over the file.

    Raises KeyError, ValueError, TypeError, AttributeError or OSError for a configuration that can't be used.
    """
    fields = _read_file(environ)
    settings, clock = fields["settings"], UnixClock()
    management = environ.get("PROXY_MANAGEMENT") or fields.get("management")
    inherited = environ.get("PROXY_INHERITED_FD")
    limits = fields.get("limits", {})
    sockets = _field(int, limits, "limits", "sockets", DEFAULT_SOCKETS, least=0)
    return Config(
        parsed_file={**fields, "known": None},
        name=_text(environ.get("PROXY_NAME") or fields["name"]),
        listen=read_address(environ.get("PROXY_LISTEN") or fields["listen"]),
        discovery=read_address(environ.get("PROXY_DISCOVERY") or fields["discovery"]),
        seed=read_seed(fields.get("seed", 0)),
        sockets=sockets,
        memory_mb=_field(float, limits, "limits", "memory_mb", DEFAULT_MEMORY_MB, least=0.0),
        conn_idle_ms=read_idle_ms(settings),
        settings=read_settings(settings, int(sockets * CLIENT_SHARE)),
        known=read_known(fields.get("known"), clock),
        clock=clock,
        management=read_address(management) if management else None,
        inherited=_descriptor(inherited) if inherited else None,
    )


def _descriptor(text: str) -> int:
    if not text.isdecimal() or int(text) < 3:
        raise ValueError(f"PROXY_INHERITED_FD is {text!r}; right is the number of a descriptor, from 3 on")
    return int(text)
