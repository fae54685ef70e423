"""Scenario files: strict conversion of one TOML 1.0 file to typed settings.

Every invalid value is reported by its path, with the problem and the valid form (`FileError`). Names of
durations end in `_ms` or `_s`, shares go from 0 to 1, rates are per second. `docs/lab-scenarios.md` is the
reference.
"""

from __future__ import annotations

import tomllib
from fnmatch import fnmatchcase
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, structs, to_builtins

from cloverrouter import decide
from cloverrouter.strict import Fault, FileError, convert_table, read_file, unknown_name

VERSION = 1
MAX_FILE_BYTES = 256 * 1024
MAX_REQUESTS = 2_000_000  # a run keeps several values in memory for each
MAX_PROXIES, MAX_SERVERS = 20_000, 2_000

Name = Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,40}$", description="1 to 40 letters, digits or . _ -")]
Names = Annotated[tuple[str, ...], Meta(max_length=500, description="a list of names; * stands for any")]
Share = Annotated[float, Meta(ge=0, le=1, description="a share from 0 to 1")]
PositiveShare = Annotated[float, Meta(gt=0, le=1, description="a share above 0, 1 at most")]
Ms = Annotated[float, Meta(ge=0, le=3_600_000, description="milliseconds from 0 to 3600000")]
PositiveMs = Annotated[float, Meta(gt=0, le=3_600_000, description="milliseconds above 0, 3600000 at most")]
Seconds = Annotated[float, Meta(ge=0, le=86_400, description="seconds from 0 to 86400")]
PositiveSeconds = Annotated[float, Meta(gt=0, le=86_400, description="seconds above 0, 86400 at most")]
Rate = Annotated[float, Meta(ge=0, le=100_000, description="a rate from 0 to 100000 a second")]
Factor = Annotated[float, Meta(ge=0, le=1_000, description="a factor from 0 to 1000")]
PositiveFactor = Annotated[float, Meta(gt=0, le=1_000, description="a factor above 0, 1000 at most")]
Count = Annotated[int, Meta(ge=0, le=100_000, description="a whole number from 0 to 100000")]
PositiveCount = Annotated[int, Meta(ge=1, le=100_000, description="a whole number from 1 to 100000")]
Flag = Annotated[bool, Meta(description="true or false")]
Text = Annotated[str, Meta(max_length=2_000, description="a text of up to 2000 characters")]
Effect = Annotated[Literal["safe", "keyed", "unsafe"], Meta(description="safe, keyed or unsafe")]
Group = Annotated[Literal["all", "zone", "cell"], Meta(description="all, zone or cell")]
Arrivals = Annotated[
    Literal["poisson", "even", "bursts", "recorded"], Meta(description="poisson, even, bursts or recorded")
]
Curve = Annotated[
    tuple[tuple[float, float], ...],
    Meta(max_length=1000, description="a list of [second, factor], such as [[0, 1], [10, 2.5]]"),
]
Times = Annotated[tuple[float, ...], Meta(max_length=MAX_REQUESTS, description="a list of seconds, in order")]
Indices = Annotated[tuple[int, ...], Meta(max_length=MAX_PROXIES, description="a list of proxies, from 0")]


class Class(Struct, frozen=True, kw_only=True):
    """`[[class]]`: a kind of request."""

    name: Name
    share: Share = 1.0
    effect: Effect = "safe"
    group: Group = "all"
    window_ms: Ms = 0.0
    aim_ms: PositiveMs = 500.0
    deadline_ms: PositiveMs = 1200.0
    worth: Factor = 1.0
    work_ms: PositiveMs = 50.0  # mean, on a core of speed 1
    spread: Factor = 1.0  # standard deviation over mean; log-normal
    objects: Count = 0  # that its requests are about, such as drafts; 0: none
    draft_saves: Share = 0.0  # share of the work, where a server holds the object's draft


class Office(Struct, frozen=True, kw_only=True):
    """`[[office]]`: clients that send requests through some of the proxies.

    An open-loop load: the rate does not depend on the answers.
    """

    name: Name = "office"
    rate: Rate = 100.0  # of all its proxies together
    proxies: Indices = ()  # indices; empty: all
    unequal: Factor = 0.0  # standard deviation over mean of the proxies' shares of the rate
    arrivals: Arrivals = "poisson"
    burst_factor: Factor = 4.0  # rate in a burst over the rate between bursts; `rate` stays the mean
    burst_s: PositiveSeconds = 1.0  # mean length of a burst
    calm_s: PositiveSeconds = 9.0  # mean time between bursts
    curve: Curve = ()  # factors on the rate, interpolated linearly
    times: Times = ()  # recorded arrivals
    retries: Count = 0  # after a refusal, which guarantees that the request has not run
    after_failures: Flag = False  # also retry after a failure or a timeout, where the request may have run
    backoff_ms: Ms = 100.0
    honour: Share = 0.0  # share of the clients that obey Retry-After
    try_share: PositiveShare = 1.0  # client timeout of a try, as a share of the class's deadline
    leave_share: Share = 0.0  # share of the tries that the client cancels early
    connections: PositiveCount = 256
    keeps: Share = 1.0  # share of the answers after which a client keeps its connection; sockets driver only


class Proxies(Struct, frozen=True, kw_only=True):
    """`[proxies]`: the proxies and their settings."""

    count: Annotated[
        int, Meta(ge=1, le=MAX_PROXIES, description=f"a whole number from 1 to {MAX_PROXIES}")
    ] = 1
    start_spread_s: Seconds = 0.0
    max_attempts: Annotated[int, Meta(ge=1, le=20, description="a whole number from 1 to 20")] = 3
    retry_after: Flag = False
    max_retry_after_ms: Ms = 2000.0
    connect_timeout_ms: PositiveMs = 250.0
    conn_idle_ms: PositiveMs = 60_000.0
    sockets: Annotated[int, Meta(ge=64, le=65_536, description="a whole number from 64 to 65536")] = 1024
    module: Annotated[
        dict[str, float], Meta(description="a table of the module's constants, such as GAIN = 0.2")
    ] = {}


class Servers(Struct, frozen=True, kw_only=True):
    """`[[servers]]`: a group of record servers of the same kind."""

    name: Name = "s"  # prefix; the servers are numbered from 1
    count: Annotated[
        int, Meta(ge=1, le=MAX_SERVERS, description=f"a whole number from 1 to {MAX_SERVERS}")
    ] = 9
    halls: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=100, description="a list of names")] = (
        "a",
        "b",
        "c",
    )
    racks: Annotated[int, Meta(ge=1, le=100, description="a whole number from 1 to 100")] = 1  # in each hall
    cores: Annotated[int, Meta(ge=1, le=1024, description="a whole number from 1 to 1024")] = 4
    speed: PositiveFactor = 1.0
    speed_spread: Annotated[float, Meta(ge=0, le=0.9, description="a share from 0 to 0.9")] = 0.0
    queue: Count = 60  # waiting requests; more are rejected
    connections: PositiveCount = 76
    handshake_ms: Ms = 15.0  # work for each new connection
    drops_idle_ms: Ms = 0.0  # silently drops connections that are idle for so long; 0: never
    error_share: Share = 0.0
    drafts: Count = 0  # in an LRU cache in memory; a new process has none
    report_ms: Ms = 500.0  # between two load reports
    drops_waiting: Flag = True  # does not start a request that is cancelled while it waits
    jam_queue: Factor = 4.0  # a queue of more than so many requests per core
    jam_s: Seconds = 2.0  # for so long makes the server
    jam_slower: PositiveFactor = 2.5  # so many times slower; 1: never
    jam_rest_s: PositiveSeconds = 3.0  # until it has been mostly idle for so long
    jam_most_s: PositiveSeconds = 20.0  # or after so long at the latest


class Safety(Struct, frozen=True, kw_only=True):
    """`[safety]`: the parameters of the safety rules, the same for all servers."""

    cold_share: PositiveShare = 0.31
    cold_s: Seconds = 7.5
    fall_multiple: PositiveFactor = 3.0
    fall_s: PositiveSeconds = 2.0
    drain_grace_ms: Ms = 1000.0
    must_ask_s: PositiveSeconds = 10.0


class Discovery(Struct, frozen=True, kw_only=True):
    """`[discovery]`: the delay after which it reports a change."""

    add_s: Seconds = 1.0  # from a server's start until it is listed
    notice_s: Seconds = 2.0  # after a drain or an orderly shutdown
    crash_notice_s: Seconds = 6.0  # after a crash, or after a machine vanishes


class Network(Struct, frozen=True, kw_only=True):
    """`[network]`: one-way delays in ms, within a hall, between halls and from the clients; and loss."""

    same_ms: Ms = 0.25
    cross_ms: Ms = 2.0
    client_ms: Ms = 0.05
    jitter: Share = 0.15
    loss: Share = 0.0  # share of the messages that are lost and arrive after a retransmission
    resend_ms: Ms = 200.0


# Each kind of fault and its effect
KINDS = {
    "freeze": "server processes are paused",
    "slow": "servers take `factor` times as long",
    "fail": "servers answer `share` of their requests with an error, at once",
    "reset": "servers break `share` of the connections during a request, `when` is before or after its work",
    "pauses": "server processes are paused for `pause_ms` every `every_s`",
    "vanish": "machines become unreachable; those that return run the same processes",
    "crash": "processes die; after `for_s` new ones start cold under the same names",
    "drain": "servers drain; after `for_s` they are restored",
    "release": "servers drain one after the other within `within_s` and end; cold ones replace them",
    "hall_lost": "all machines of the `halls` vanish",
    "cut": "no message passes from `from` to `to`: names of servers, proxies (p-0), halls, or discovery",
    "silence": "discovery answers nothing",
    "stale": "discovery returns the list as of the fault's start",
    "lower_version": "discovery restarts with a lower version",
    "break_calls": "discovery breaks `share` of the calls",
    "contradict": "every other answer of discovery is the list as of the fault's start",
    "load": "the offices' rate is `factor` times the usual",
    "hover": "the rate oscillates around its mean by `factor`, with period `every_s`",
    "heavy": "`share` of the requests of `classes` take `factor` times the usual work",
    "kill": "proxies are killed; after `for_s` they start again without state",
    "restart": "proxies get SIGTERM; after `for_s` they start again",
    "stop": "proxies are paused (SIGSTOP) for `for_s`",
    "starve": "proxies get `share` of the CPU time, in slices",
    "loss": "`share` of the messages are lost and retransmitted",
    "delay": "messages between machines take `factor` times as long",
}
PROXY_KINDS = ("kill", "restart", "stop", "starve")
SYSTEM_KINDS = (
    "silence", "stale", "lower_version", "break_calls", "contradict", "load", "hover", "heavy", "loss",
    "delay", "hall_lost", "cut",
)  # fmt: skip
Kind = Annotated[str, Meta(description="one of " + ", ".join(KINDS))]


class FaultSpec(Struct, frozen=True, kw_only=True, rename={"from_": "from"}):
    """`[[fault]]`: a fault to inject at `at_s`, for `for_s` (0: to the end of the run)."""

    kind: Kind
    at_s: Seconds = 0.0
    for_s: Seconds = 0.0
    servers: Names = ()
    count: Count = 0  # so many of them, chosen at random; 0: see `part`
    part: Share = 1.0  # this share of them, chosen at random
    halls: Names = ()
    classes: Names = ()
    proxies: Names = ()
    from_: Names = ()
    to: Names = ()
    share: Share = 1.0
    factor: PositiveFactor = 2.0
    when: Annotated[Literal["before", "after"], Meta(description="before or after")] = "after"
    every_s: PositiveSeconds = 5.0
    pause_ms: PositiveMs = 250.0
    within_s: Seconds = 10.0
    gap_s: Seconds = 1.0  # release: from a server's drain to its end, and from there to the new one's start
    takes_address: Flag = False  # release: the new server reuses the old one's address


class Scenario(Struct, frozen=True, kw_only=True, rename={"class_": "class"}):
    """A scenario file."""

    name: Name
    about: Text = ""
    version: Annotated[int, Meta(description=f"the format's version, {VERSION}")] = VERSION
    seconds: Annotated[float, Meta(gt=0, le=86_400, description="seconds above 0, 86400 at most")] = 30.0
    class_: Annotated[
        tuple[Class, ...], Meta(min_length=1, max_length=50, description="tables, written [[class]]")
    ] = ()
    office: Annotated[
        tuple[Office, ...], Meta(min_length=1, max_length=100, description="tables, written [[office]]")
    ] = (Office(),)
    servers: Annotated[
        tuple[Servers, ...], Meta(min_length=1, max_length=100, description="tables, written [[servers]]")
    ] = (Servers(),)
    fault: Annotated[tuple[FaultSpec, ...], Meta(max_length=500, description="tables, [[fault]]")] = ()
    proxies: Proxies = Proxies()
    safety: Safety = Safety()
    discovery: Discovery = Discovery()
    network: Network = Network()

    @property
    def rate(self) -> float:
        """Requests a second of all offices."""
        return sum(office.rate for office in self.office)

    def server_names(self) -> list[str]:
        """The names of all servers, in the order of their groups."""
        return [f"{kind.name}-{i + 1}" for kind in self.servers for i in range(kind.count)]

    def capacity(self) -> float:
        """Requests a second that all servers can serve when they are warm and not overloaded."""
        total = sum(c.share for c in self.class_)
        work_ms = sum(c.share * c.work_ms for c in self.class_) / total
        return sum(kind.count * kind.cores * kind.speed for kind in self.servers) * 1000 / work_ms


def _check_consistency(scenario: Scenario) -> list[Fault]:
    """Faults that only show in several values together."""
    faults: list[Fault] = []
    names = [c.name for c in scenario.class_]
    for i, c in enumerate(scenario.class_):
        if names.index(c.name) != i:
            faults.append(Fault(f"class[{i}].name", f"{c.name!r} is another's, too", "give each its own"))
        if c.aim_ms > c.deadline_ms:
            right = f"must be {c.deadline_ms:g} (deadline_ms) at most"
            faults.append(Fault(f"class[{i}].aim_ms", f"is {c.aim_ms:g}", right))
        if c.effect == "keyed" and not c.window_ms:
            right = "say for how long the servers remember a key"
            faults.append(Fault(f"class[{i}].window_ms", "is 0 in a keyed class", right))
    if scenario.class_ and not sum(c.share for c in scenario.class_):
        faults.append(Fault("class", "all shares are 0", "let one be above 0"))
    group_names = [kind.name for kind in scenario.servers]
    for i, name in enumerate(group_names):
        if group_names.index(name) != i:
            faults.append(Fault(f"servers[{i}].name", f"{name!r} is another's, too", "give each its own"))
    for i, office in enumerate(scenario.office):
        for index in office.proxies:
            if not 0 <= index < scenario.proxies.count:
                right = f"proxies go from 0 to {scenario.proxies.count - 1}"
                faults.append(Fault(f"office[{i}].proxies", f"has {index}", right))
        if list(office.times) != sorted(office.times) or (office.times and office.times[0] < 0):
            faults.append(Fault(f"office[{i}].times", "are not in order", "give seconds from 0, rising"))
        if office.arrivals == "recorded" and not office.times:
            faults.append(Fault(f"office[{i}].times", "are missing", "give a list of seconds"))
        starts = [at for at, _ in office.curve]
        if starts != sorted(starts) or any(factor < 0 for _, factor in office.curve):
            right = "give [second, factor] in order, factors of 0 or more"
            faults.append(Fault(f"office[{i}].curve", "is not in order, or falls under 0", right))
    if scenario.rate * scenario.seconds > MAX_REQUESTS:
        text = f"asks for {scenario.rate * scenario.seconds:,.0f} requests in all"
        faults.append(Fault("seconds", text, f"at most {MAX_REQUESTS:,}: shorten the run or lower the rates"))
    servers, proxies = scenario.server_names(), [f"p-{i}" for i in range(scenario.proxies.count)]
    halls = sorted({hall for kind in scenario.servers for hall in kind.halls})
    for i, fault in enumerate(scenario.fault):
        path = f"fault[{i}]"
        if fault.kind not in KINDS:
            unknown = unknown_name("kind of fault", fault.kind, list(KINDS))
            faults.append(Fault(f"{path}.kind", f"is {fault.kind!r}", unknown.right))
            continue
        if fault.at_s >= scenario.seconds:
            right = f"the run ends at {scenario.seconds:g} s"
            faults.append(Fault(f"{path}.at_s", f"is {fault.at_s:g}", right))
        endpoints = [*servers, *proxies, "discovery", *halls]
        for key, known in (
            ("servers", servers), ("proxies", proxies), ("halls", halls), ("classes", names),
            ("from", endpoints), ("to", endpoints),
        ):  # fmt: skip
            for pattern in getattr(fault, "from_" if key == "from" else key):
                if not any(fnmatchcase(name, pattern) for name in known):
                    unknown = unknown_name(key, pattern, known[:20])
                    faults.append(Fault(f"{path}.{key}", f"{pattern!r} fits none", unknown.right))
        if fault.kind == "cut" and not (fault.from_ and fault.to):
            faults.append(Fault(f"{path}.from", "a cut needs from and to", "name who is cut from whom"))
        if fault.kind == "stop" and not fault.for_s:
            faults.append(Fault(f"{path}.for_s", "is missing", "say for how many seconds they stand still"))
        if fault.kind == "starve" and not 0 < fault.share < 1:
            right = "give a share above 0 and below 1"
            faults.append(Fault(f"{path}.share", f"is {fault.share:g}", right))
        if fault.kind == "hall_lost" and not fault.halls:
            faults.append(Fault(f"{path}.halls", "is missing", f"name some of {', '.join(halls)}"))
    for key in scenario.proxies.module:
        if not isinstance(getattr(decide, key, None), int | float) or not key.isupper():
            known = [n for n in vars(decide) if n.isupper() and isinstance(getattr(decide, n), int | float)]
            faults.append(
                Fault(
                    f"proxies.module.{key}", "is no figure of the module", unknown_name("", key, known).right
                )
            )
    return faults


def build(data: Any, path: str = "scenario") -> Scenario:
    """A scenario from plain values, as TOML gives them. Raises `FileError` with all faults."""
    if isinstance(data, dict):
        version = data.get("version", VERSION)
        # Checked first: otherwise settings of a later format would be reported as unknown names.
        if isinstance(version, int) and version > VERSION:
            right = f"this program knows versions up to {VERSION}: use a newer one"
            raise FileError(path, [Fault("version", f"is {version}, a later one", right)])
    faults: list[Fault] = []
    scenario = convert_table("", Scenario, data, faults)
    if scenario is not None and not scenario.class_:
        faults.append(Fault("class", "is missing", "give at least one [[class]]"))
    if scenario is not None and not faults:
        faults = _check_consistency(scenario)
    if scenario is None or faults:
        raise FileError(path, faults)
    return scenario


def plain(scenario: Scenario) -> dict[str, Any]:
    """The scenario as plain values without defaults, from which `build` restores it."""

    def non_default_values(value: Struct) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for field in structs.fields(value):
            given = getattr(value, field.name)
            if not field.required and given == field.default:
                continue
            if isinstance(given, Struct):
                values[field.encode_name] = non_default_values(given)
            elif isinstance(given, tuple) and given and isinstance(given[0], Struct):
                values[field.encode_name] = [non_default_values(item) for item in given]
            else:
                values[field.encode_name] = to_builtins(given)
        return values

    return non_default_values(scenario)


def read(text: str, path: str = "scenario") -> Scenario:
    """A scenario from the text of a file. Raises `FileError`."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise FileError(
            path, [Fault("", f"is no TOML: {error}", "see https://toml.io for the form")]
        ) from error
    return build(data, path)


def library() -> dict[str, str]:
    """The texts of the scenarios that ship with the package, by name."""
    folder = resources.files("cloverrouter.lab").joinpath("library")
    files = [file for file in folder.iterdir() if file.name.endswith(".toml")]
    return {file.name.removesuffix(".toml"): file.read_text() for file in sorted(files, key=lambda f: f.name)}


def load(name: str) -> Scenario:
    """A scenario by its name in the library, or from a file. Raises `FileError`."""
    shipped = library()
    if name in shipped:
        return read(shipped[name], name)
    if not Path(name).exists():
        unknown = unknown_name("scenario or file", name, list(shipped))
        raise FileError(name, [Fault("", unknown.text, unknown.right)])
    text, faults = read_file(name, MAX_FILE_BYTES)
    if text is None:
        raise FileError(name, faults)
    return read(text, name)


def change(scenario: Scenario, path: str, value: Any) -> Scenario:
    """The scenario with one value changed, such as `office[0].rate`, `proxies.module.GAIN`, `fault[1].for_s`.

    The index `*` changes the value in all tables of a list. Raises `FileError`.
    """
    data = plain(scenario)
    all_values = _tuples_to_lists(to_builtins(scenario))
    steps = path.replace("[", ".[").split(".")
    targets: list[tuple[Any, Any]] = [(data, all_values)]
    for depth, step in enumerate(steps):
        last = depth == len(steps) - 1
        next_targets: list[tuple[Any, Any]] = []
        for target, current in targets:
            if step.startswith("[") and isinstance(current, list):
                inner = step[1:-1]
                indices = range(len(current)) if inner == "*" else [int(inner)] if inner.isdigit() else []
                next_targets += [(target[i], current[i]) for i in indices if i < len(current)]
            elif isinstance(current, dict) and (step in current or steps[:depth] == ["proxies", "module"]):
                if last:
                    target[step] = value
                    next_targets.append((target, current))
                else:
                    default: Any = [{} for _ in current[step]] if isinstance(current[step], list) else {}
                    next_targets.append((target.setdefault(step, default), current[step]))
        if not next_targets:
            keys = [k for _, k in targets if isinstance(k, dict) for k in k]
            unknown = unknown_name("setting", step, keys)
            raise FileError(scenario.name, [Fault(path, f"no such place: {step!r}", unknown.right)])
        targets = next_targets
    return build(data, scenario.name)


def _tuples_to_lists(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _tuples_to_lists(item) for key, item in value.items()}
    return [_tuples_to_lists(item) for item in value] if isinstance(value, list | tuple) else value
