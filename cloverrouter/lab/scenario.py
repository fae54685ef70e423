"""Scenario files: one TOML 1.0 file to typed settings, strictly.

Every wrong value is told by its path, with what is wrong and what would be right (`FileError`). Spans end in
`_ms` or `_s`, shares go from 0 to 1, rates are a second. `docs/lab-scenarios.md` is the reference.
"""

from __future__ import annotations

import tomllib
from fnmatch import fnmatchcase
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, structs, to_builtins

from cloverrouter import decide
from cloverrouter.strict import Fault, FileError, read_file, table, unknown

VERSION = 1
MOST_BYTES = 256 * 1024
MOST_REQUESTS = 2_000_000  # a run holds some figures of each
MOST_PROXIES, MOST_SERVERS = 20_000, 2_000

Name = Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,40}$", description="1 to 40 letters, digits or . _ -")]
Names = Annotated[tuple[str, ...], Meta(max_length=500, description="a list of names; * stands for any")]
Share = Annotated[float, Meta(ge=0, le=1, description="a share from 0 to 1")]
Least = Annotated[float, Meta(gt=0, le=1, description="a share above 0, 1 at most")]
Ms = Annotated[float, Meta(ge=0, le=3_600_000, description="milliseconds from 0 to 3600000")]
SomeMs = Annotated[float, Meta(gt=0, le=3_600_000, description="milliseconds above 0, 3600000 at most")]
S = Annotated[float, Meta(ge=0, le=86_400, description="seconds from 0 to 86400")]
SomeS = Annotated[float, Meta(gt=0, le=86_400, description="seconds above 0, 86400 at most")]
Rate = Annotated[float, Meta(ge=0, le=100_000, description="a rate from 0 to 100000 a second")]
Factor = Annotated[float, Meta(ge=0, le=1_000, description="a factor from 0 to 1000")]
SomeFactor = Annotated[float, Meta(gt=0, le=1_000, description="a factor above 0, 1000 at most")]
Count = Annotated[int, Meta(ge=0, le=100_000, description="a whole number from 0 to 100000")]
Some = Annotated[int, Meta(ge=1, le=100_000, description="a whole number from 1 to 100000")]
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
Times = Annotated[
    tuple[float, ...], Meta(max_length=MOST_REQUESTS, description="a list of seconds, in order")
]
Indices = Annotated[tuple[int, ...], Meta(max_length=MOST_PROXIES, description="a list of proxies, from 0")]


class Class(Struct, frozen=True, kw_only=True):
    """`[[class]]`: a kind of request."""

    name: Name
    share: Share = 1.0
    effect: Effect = "safe"
    group: Group = "all"
    window_ms: Ms = 0.0
    aim_ms: SomeMs = 500.0
    deadline_ms: SomeMs = 1200.0
    worth: Factor = 1.0
    work_ms: SomeMs = 50.0  # mean, on a core of speed 1
    spread: Factor = 1.0  # standard deviation over mean; log-normal
    objects: Count = 0  # that its requests are about, such as drafts; 0: none
    draft_saves: Share = 0.0  # share of the work, where a server holds the object's draft


class Office(Struct, frozen=True, kw_only=True):
    """`[[office]]`: clients that ask through some of the proxies, at a rate that does not wait for
    answers."""

    name: Name = "office"
    rate: Rate = 100.0  # of all its proxies together
    proxies: Indices = ()  # all
    unequal: Factor = 0.0  # standard deviation over mean of the proxies' parts of the rate
    arrivals: Arrivals = "poisson"
    burst_factor: Factor = 4.0  # rate in a burst over the usual; `rate` stays the mean
    burst_s: SomeS = 1.0  # mean length of a burst
    calm_s: SomeS = 9.0  # mean time between bursts
    curve: Curve = ()  # factors on the rate, straight lines between them
    times: Times = ()  # recorded arrivals
    retries: Count = 0  # after a refusal, which says that trying again is harmless
    after_failures: Flag = False  # and after a failure, or a try given up, which may have run?
    backoff_ms: Ms = 100.0
    honour: Share = 0.0  # share of the clients that wait as long as Retry-After says
    try_share: Least = 1.0  # a try is given up after this share of the class's deadline
    leave_share: Share = 0.0  # share of the tries that are left early
    connections: Some = 256
    keeps: Share = 1.0  # share of the answers after which a client keeps its connection; on sockets


class Proxies(Struct, frozen=True, kw_only=True):
    """`[proxies]`"""

    count: Annotated[
        int, Meta(ge=1, le=MOST_PROXIES, description=f"a whole number from 1 to {MOST_PROXIES}")
    ] = 1
    start_spread_s: S = 0.0
    max_attempts: Annotated[int, Meta(ge=1, le=20, description="a whole number from 1 to 20")] = 3
    retry_after: Flag = False
    max_retry_after_ms: Ms = 2000.0
    connect_timeout_ms: SomeMs = 250.0
    conn_idle_ms: SomeMs = 60_000.0
    sockets: Annotated[int, Meta(ge=64, le=65_536, description="a whole number from 64 to 65536")] = 1024
    module: Annotated[
        dict[str, float], Meta(description="a table of the module's constants, such as GAIN = 0.2")
    ] = {}


class Servers(Struct, frozen=True, kw_only=True):
    """`[[servers]]`: some record servers of one kind."""

    name: Name = "s"  # a number is added
    count: Annotated[
        int, Meta(ge=1, le=MOST_SERVERS, description=f"a whole number from 1 to {MOST_SERVERS}")
    ] = 9
    halls: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=100, description="a list of names")] = (
        "a",
        "b",
        "c",
    )
    racks: Annotated[int, Meta(ge=1, le=100, description="a whole number from 1 to 100")] = 1  # in each hall
    cores: Annotated[int, Meta(ge=1, le=1024, description="a whole number from 1 to 1024")] = 4
    speed: SomeFactor = 1.0
    speed_spread: Annotated[float, Meta(ge=0, le=0.9, description="a share from 0 to 0.9")] = 0.0
    queue: Count = 60  # that may wait; more are turned away
    connections: Some = 76
    handshake_ms: Ms = 15.0  # of work, for each new connection
    drops_idle_ms: Ms = 0.0  # connections idle for so long are dropped without a word; 0: never
    error_share: Share = 0.0
    drafts: Count = 0  # that it holds in memory, the last used; a new process has none
    report_ms: Ms = 500.0  # between two readings of its load
    drops_waiting: Flag = True  # what is called off while it waits is not begun
    jam_queue: Factor = 4.0  # so many waiting a core
    jam_s: S = 2.0  # for so long make it
    jam_slower: SomeFactor = 2.5  # so much slower; 1: never
    jam_rest_s: SomeS = 3.0  # until it was mostly idle for so long
    jam_most_s: SomeS = 20.0  # or so long has passed


class Safety(Struct, frozen=True, kw_only=True):
    """`[safety]`: the figures of the rules, the same at all servers."""

    cold_share: Least = 0.31
    cold_s: S = 7.5
    fall_multiple: SomeFactor = 3.0
    fall_s: SomeS = 2.0
    drain_grace_ms: Ms = 1000.0
    must_ask_s: SomeS = 10.0


class Discovery(Struct, frozen=True, kw_only=True):
    """`[discovery]`: what it tells, and how late."""

    add_s: S = 1.0  # from a server's start to its listing
    notice_s: S = 2.0  # from a drain or an orderly end
    crash_notice_s: S = 6.0  # from a crash or a machine that vanishes


class Network(Struct, frozen=True, kw_only=True):
    """`[network]`: one way, in ms."""

    same_ms: Ms = 0.25
    cross_ms: Ms = 2.0
    client_ms: Ms = 0.05
    jitter: Share = 0.15
    loss: Share = 0.0  # share of the messages that are lost, and come a retransmission later
    resend_ms: Ms = 200.0


KINDS = {
    "freeze": "servers stand still",
    "slow": "servers take `factor` times as long",
    "fail": "servers answer `share` of their requests with an error, at once",
    "reset": "servers break `share` of the connections under a request, `when` its work has run or before",
    "pauses": "servers stand still for `pause_ms` every `every_s`",
    "vanish": "machines say nothing more; those that return are the same processes",
    "crash": "processes die; after `for_s` new ones start cold under the same names",
    "drain": "servers drain; after `for_s` they are restored",
    "release": "servers drain one after the other within `within_s`, leave, and new ones come, cold",
    "hall_lost": "all machines of the `halls` vanish",
    "cut": "nothing passes `from` to `to`: names of servers, proxies (p-0), or discovery",
    "silence": "discovery answers nothing",
    "stale": "discovery tells what it knew at the fault's begin",
    "lower_version": "discovery restarts, with a version that is lower",
    "break_calls": "discovery breaks `share` of the calls",
    "contradict": "discovery tells what it knew at the fault's begin every other time",
    "load": "the offices' rate is `factor` times the usual",
    "hover": "the rate swings by `factor` round itself, once in `every_s`",
    "heavy": "`share` of the `classes` requests cost `factor` times the usual",
    "kill": "proxies die; after `for_s` they start again from nothing",
    "restart": "proxies get SIGTERM; after `for_s` they start again",
    "stop": "proxies stand still (SIGSTOP) for `for_s`",
    "starve": "proxies get `share` of their time, in pieces",
    "loss": "`share` of the messages are lost, and come late",
    "delay": "messages between machines take `factor` times as long",
}
PROXY_KINDS = ("kill", "restart", "stop", "starve")
WHOLE_KINDS = (
    "silence", "stale", "lower_version", "break_calls", "contradict", "load", "hover", "heavy", "loss",
    "delay", "hall_lost", "cut",
)  # fmt: skip
Kind = Annotated[str, Meta(description="one of " + ", ".join(KINDS))]


class Trouble(Struct, frozen=True, kw_only=True, rename={"from_": "from"}):
    """`[[fault]]`: what goes wrong from `at_s` on, for `for_s` (0: to the end)."""

    kind: Kind
    at_s: S = 0.0
    for_s: S = 0.0
    servers: Names = ()
    count: Count = 0  # so many of them, drawn; 0: see `part`
    part: Share = 1.0  # this share of them, drawn
    halls: Names = ()
    classes: Names = ()
    proxies: Names = ()
    from_: Names = ()
    to: Names = ()
    share: Share = 1.0
    factor: SomeFactor = 2.0
    when: Annotated[Literal["before", "after"], Meta(description="before or after")] = "after"
    every_s: SomeS = 5.0
    pause_ms: SomeMs = 250.0
    within_s: S = 10.0
    gap_s: S = 1.0  # release: from a server's drain to its end, and from there to the new one's start
    takes_address: Flag = False  # release: the new one has the old one's address


class Scenario(Struct, frozen=True, kw_only=True, rename={"class_": "class"}):
    """The whole file."""

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
    fault: Annotated[tuple[Trouble, ...], Meta(max_length=500, description="tables, [[fault]]")] = ()
    proxies: Proxies = Proxies()
    safety: Safety = Safety()
    discovery: Discovery = Discovery()
    network: Network = Network()

    @property
    def rate(self) -> float:
        return sum(office.rate for office in self.office)

    def server_names(self) -> list[str]:
        return [f"{kind.name}-{i + 1}" for kind in self.servers for i in range(kind.count)]

    def capacity(self) -> float:
        """Requests a second that all servers can serve, warm and at their ease."""
        total = sum(c.share for c in self.class_)
        work_ms = sum(c.share * c.work_ms for c in self.class_) / total
        return sum(kind.count * kind.cores * kind.speed for kind in self.servers) * 1000 / work_ms


def _meaning(s: Scenario) -> list[Fault]:
    """What each value alone can't show."""
    faults: list[Fault] = []
    names = [c.name for c in s.class_]
    for i, c in enumerate(s.class_):
        if names.index(c.name) != i:
            faults.append(Fault(f"class[{i}].name", f"{c.name!r} is another's, too", "give each its own"))
        if c.aim_ms > c.deadline_ms:
            right = f"must be {c.deadline_ms:g} (deadline_ms) at most"
            faults.append(Fault(f"class[{i}].aim_ms", f"is {c.aim_ms:g}", right))
        if c.effect == "keyed" and not c.window_ms:
            right = "say for how long the servers remember a key"
            faults.append(Fault(f"class[{i}].window_ms", "is 0 in a keyed class", right))
    if s.class_ and not sum(c.share for c in s.class_):
        faults.append(Fault("class", "all shares are 0", "let one be above 0"))
    kinds = [kind.name for kind in s.servers]
    for i, name in enumerate(kinds):
        if kinds.index(name) != i:
            faults.append(Fault(f"servers[{i}].name", f"{name!r} is another's, too", "give each its own"))
    for i, office in enumerate(s.office):
        for index in office.proxies:
            if not 0 <= index < s.proxies.count:
                right = f"proxies go from 0 to {s.proxies.count - 1}"
                faults.append(Fault(f"office[{i}].proxies", f"has {index}", right))
        if list(office.times) != sorted(office.times) or (office.times and office.times[0] < 0):
            faults.append(Fault(f"office[{i}].times", "are not in order", "give seconds from 0, rising"))
        if office.arrivals == "recorded" and not office.times:
            faults.append(Fault(f"office[{i}].times", "are missing", "give a list of seconds"))
        starts = [at for at, _ in office.curve]
        if starts != sorted(starts) or any(factor < 0 for _, factor in office.curve):
            right = "give [second, factor] in order, factors of 0 or more"
            faults.append(Fault(f"office[{i}].curve", "is not in order, or falls under 0", right))
    if s.rate * s.seconds > MOST_REQUESTS:
        text = f"asks for {s.rate * s.seconds:,.0f} requests in all"
        faults.append(
            Fault("seconds", text, f"at most {MOST_REQUESTS:,}: shorten the run or lower the rates")
        )
    servers, proxies = s.server_names(), [f"p-{i}" for i in range(s.proxies.count)]
    halls = sorted({hall for kind in s.servers for hall in kind.halls})
    for i, fault in enumerate(s.fault):
        where = f"fault[{i}]"
        if fault.kind not in KINDS:
            wrong = unknown("kind of fault", fault.kind, list(KINDS))
            faults.append(Fault(f"{where}.kind", f"is {fault.kind!r}", wrong.right))
            continue
        if fault.at_s >= s.seconds:
            right = f"the run ends at {s.seconds:g} s"
            faults.append(Fault(f"{where}.at_s", f"is {fault.at_s:g}", right))
        parties = [*servers, *proxies, "discovery", *halls]
        for key, known in (
            ("servers", servers), ("proxies", proxies), ("halls", halls), ("classes", names),
            ("from", parties), ("to", parties),
        ):  # fmt: skip
            for pattern in getattr(fault, "from_" if key == "from" else key):
                if not any(fnmatchcase(name, pattern) for name in known):
                    wrong = unknown(key, pattern, known[:20])
                    faults.append(Fault(f"{where}.{key}", f"{pattern!r} fits none", wrong.right))
        if fault.kind == "cut" and not (fault.from_ and fault.to):
            faults.append(Fault(f"{where}.from", "a cut needs from and to", "name who is cut from whom"))
        if fault.kind == "stop" and not fault.for_s:
            faults.append(Fault(f"{where}.for_s", "is missing", "say for how many seconds they stand still"))
        if fault.kind == "starve" and not 0 < fault.share < 1:
            right = "give a share above 0 and below 1"
            faults.append(Fault(f"{where}.share", f"is {fault.share:g}", right))
        if fault.kind == "hall_lost" and not fault.halls:
            faults.append(Fault(f"{where}.halls", "is missing", f"name some of {', '.join(halls)}"))
    for key in s.proxies.module:
        if not isinstance(getattr(decide, key, None), int | float) or not key.isupper():
            known = [n for n in vars(decide) if n.isupper() and isinstance(getattr(decide, n), int | float)]
            faults.append(
                Fault(f"proxies.module.{key}", "is no figure of the module", unknown("", key, known).right)
            )
    return faults


def build(told: Any, path: str = "scenario") -> Scenario:
    """A scenario from plain values, as TOML gives them. Raises `FileError` with all that is wrong."""
    if isinstance(told, dict):
        version = told.get("version", VERSION)
        # Danger: read by this program, a later form's settings would be called errors of the writer's.
        if isinstance(version, int) and version > VERSION:
            right = f"this program knows versions up to {VERSION}: use a newer one"
            raise FileError(path, [Fault("version", f"is {version}, a later one", right)])
    faults: list[Fault] = []
    found = table("", Scenario, told, faults)
    if found is not None and not found.class_:
        faults.append(Fault("class", "is missing", "give at least one [[class]]"))
    if found is not None and not faults:
        faults = _meaning(found)
    if found is None or faults:
        raise FileError(path, faults)
    return found


def plain(scenario: Scenario) -> dict[str, Any]:
    """The scenario as plain values, without what is left at its default: `build` takes it back."""

    def lean(value: Struct) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for field in structs.fields(value):
            given = getattr(value, field.name)
            if not field.required and given == field.default:
                continue
            if isinstance(given, Struct):
                found[field.encode_name] = lean(given)
            elif isinstance(given, tuple) and given and isinstance(given[0], Struct):
                found[field.encode_name] = [lean(one) for one in given]
            else:
                found[field.encode_name] = to_builtins(given)
        return found

    return lean(scenario)


def read(text: str, path: str = "scenario") -> Scenario:
    """Raises `FileError`."""
    try:
        told = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise FileError(
            path, [Fault("", f"is no TOML: {error}", "see https://toml.io for the form")]
        ) from error
    return build(told, path)


def library() -> dict[str, str]:
    """The texts of the scenarios that ship with the package, by name."""
    folder = resources.files("cloverrouter.lab").joinpath("library")
    files = [file for file in folder.iterdir() if file.name.endswith(".toml")]
    return {file.name.removesuffix(".toml"): file.read_text() for file in sorted(files, key=lambda f: f.name)}


def load(name: str) -> Scenario:
    """A scenario of the library by its name, or else a file. Raises `FileError`."""
    shipped = library()
    if name in shipped:
        return read(shipped[name], name)
    if not Path(name).exists():
        wrong = unknown("scenario or file", name, list(shipped))
        raise FileError(name, [Fault("", wrong.text, wrong.right)])
    text, faults = read_file(name, MOST_BYTES)
    if text is None:
        raise FileError(name, faults)
    return read(text, name)


def change(scenario: Scenario, path: str, value: Any) -> Scenario:
    """The scenario with one value changed: `office[0].rate`, `proxies.module.GAIN`, `fault[1].for_s`; with
    `*` for an index, in all. Raises `FileError`."""
    told = plain(scenario)
    full = _lists(to_builtins(scenario))
    steps = path.replace("[", ".[").split(".")
    targets: list[tuple[Any, Any]] = [(told, full)]
    for depth, step in enumerate(steps):
        last = depth == len(steps) - 1
        found: list[tuple[Any, Any]] = []
        for place, known in targets:
            if step.startswith("[") and isinstance(known, list):
                inner = step[1:-1]
                which = range(len(known)) if inner == "*" else [int(inner)] if inner.isdigit() else []
                found += [(place[i], known[i]) for i in which if i < len(known)]
            elif isinstance(known, dict) and (step in known or steps[:depth] == ["proxies", "module"]):
                if last:
                    place[step] = value
                    found.append((place, known))
                else:
                    default: Any = [{} for _ in known[step]] if isinstance(known[step], list) else {}
                    found.append((place.setdefault(step, default), known[step]))
        if not found:
            keys = [k for _, k in targets if isinstance(k, dict) for k in k]
            wrong = unknown("setting", step, keys)
            raise FileError(scenario.name, [Fault(path, f"no such place: {step!r}", wrong.right)])
        targets = found
    return build(told, scenario.name)


def _lists(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _lists(one) for key, one in value.items()}
    return [_lists(one) for one in value] if isinstance(value, list | tuple) else value
