"""Lists from discovery and settings files are validated where they are read.

An exception in the balancer ends the process, so it must never get a value that it can't handle. Values are
drawn from seeded random numbers; the accepted ones go through random histories of the balancer.
"""

from __future__ import annotations

import asyncio
import copy
import json
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest

from cloverrouter.decide import Balancer
from cloverrouter.interface import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionSignal,
    ConnectionSignalObserved,
    EndpointsListed,
    EndpointState,
    Event,
    ListedEndpoint,
    ListKind,
    Outcome,
    ProcessPaused,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    TimerFired,
)
from cloverrouter.lab.peers import SETTINGS, Client, Discovery, Host, Proxy, running
from cloverrouter.proxy.config import UnixClock, read_list, read_settings

NUMBERS = (
    0, -1, 1, 3, 0.5, -0.0, 1e9, 1e15, 1e18, 1e308, -1e308, 1e-308, 5e-324, 2**63, -(2**63), 2**70, 10**400,
)  # fmt: skip
VALUES: tuple[Any, ...] = (
    *NUMBERS, "x", "", "1", None, True, [], {}, [1], {"a": 1}, float("nan"), float("inf"), "\ud800",
)  # fmt: skip
NAMES = ("s1", "", "x" * 300, "\ud800", "é", "h2")
FAILURES = tuple(outcome for outcome in Outcome if outcome is not Outcome.OK)


class History:
    """A balancer with its timers and attempts, on a simulated clock."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.balancer = Balancer(settings, random.randrange(1000))
        self.settings, self.random = settings, random
        self.now_ms = random.choice((0.0, 1e3, 1e9))
        self.timers: list[tuple[float, int]] = []
        self.in_flight: list[tuple[int, int]] = []
        self.sent: Counter[int] = Counter()
        self.request_count = 0

    def dispatch(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_ms, [event]):
            if isinstance(action, SetTimer):
                self.timers.append((self.now_ms + action.delay_ms, action.token))
            elif isinstance(action, Send):
                self.in_flight.append((action.request_id, self.sent[action.request_id]))
                self.sent[action.request_id] += 1

    def wait(self, ms: float) -> None:
        self.now_ms += ms
        for timer in [timer for timer in self.timers if timer[0] <= self.now_ms]:
            self.timers.remove(timer)
            self.dispatch(TimerFired(timer[1]))

    def request(self) -> None:
        random, self.request_count = self.random, self.request_count + 1
        name = random.choice([cls.name for cls in self.settings.classes])
        deadlines = (
            None,
            self.now_ms - 1e6,
            self.now_ms,
            self.now_ms + 1,
            self.now_ms + 2000,
            self.now_ms + 1e9,
        )
        self.dispatch(
            RequestArrived(
                self.request_count,
                name,
                random.choice(deadlines),
                random.choice((None, "t", "unknown")),
                random.choice((None, "k", "")),
                random.choice((None, 0.001, 3.6e6)),
                random.random() < 0.3,
                single_attempt=random.random() < 0.1,
                waited_ms=random.choice((0.0, 5000.0)),
            )
        )

    def end(self) -> None:
        if not self.in_flight:
            return
        random = self.random
        request_id, attempt = self.in_flight.pop(random.randrange(len(self.in_flight)))
        served = random.random() < 0.5
        field_count = len(self.settings.report_fields)
        report = random.choice((None, *((figure,) * field_count for figure in (0.0, 1.0, 1e6))))
        connection_signal = (
            None
            if served
            else random.choice((None, ConnectionSignal.REFUSED, ConnectionSignal.CONNECT_TIMEOUT))
        )
        outcome = Outcome.OK if served else random.choice(FAILURES)
        latency_ms = random.choice((0.0, 1e-9, 50.0, 1e9))
        self.dispatch(
            AttemptEnded(
                request_id,
                attempt,
                outcome,
                latency_ms,
                served,
                report,
                connection_signal,
                random.random() < 0.2,
            )
        )

    def step(self) -> None:
        random = self.random
        self.wait(random.choice((0, 0.1, 1, 10, 100, 1000, 1e5)))
        draw = random.random()
        if draw < 0.45:
            self.request()
        elif draw < 0.85:
            self.end()
        elif draw < 0.9:
            self.dispatch(ProcessPaused())
        elif draw < 0.95:
            self.dispatch(
                ConnectionSignalObserved(
                    random.choice(("s1", "h2", "nobody")), random.choice(list(ConnectionSignal))
                )
            )
        elif self.request_count:
            self.dispatch(ClientDisconnected(random.randrange(1, self.request_count + 2)))


def entry(random: Random, number: int) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "id": random.choice((f"s{number}", *NAMES)),
        "addr": f"127.0.0.1:{1000 + number}",
        "state": random.choice(("active", "active", "active", "leaving", "left")),
        "zone": random.choice(("a", "b", "", "é")),
    }
    for field in ("weight", "cell", "started_ms"):
        if random.random() < 0.25:
            fields[field] = random.choice(NUMBERS)
    return fields


def random_settings(random: Random) -> Settings:
    fields: dict[str, Any] = copy.deepcopy(SETTINGS)
    fields["discovery"] = random.choice(("subscribe", "push"))
    fields["balancers"] = random.choice((1, 3, 30, 200))
    fields["bounds"] |= {"parallel_tries": random.random() < 0.5, "cancel": random.random() < 0.5}
    fields["safety"] |= {"cold_ms": random.choice((0, 9000.0)), "cold_share": random.choice((0.01, 0.3, 1.0))}
    if random.random() < 0.5:
        fields["projects"] = [{"name": "t", "quota_per_s": random.choice((0, 5.0))}]
    return read_settings(fields, random.choice((8, 80)))


def test_lists_with_any_numbers_and_names_never_fail_the_balancer() -> None:
    applied = 0
    for seed in range(150):
        random = Random(seed)
        history = History(random_settings(random), random)
        for _ in range(20):
            servers = [entry(random, i) for i in range(random.choice((0, 1, 3, 10)))]
            message = {"version": random.choice(NUMBERS), "full": random.random() < 0.5, "servers": servers}
            try:
                found = read_list(message, UnixClock())
            except ValueError:
                continue
            applied += bool(found.entries)
            kind = ListKind.FULL if found.full else ListKind.DELTA
            history.dispatch(EndpointsListed(kind, tuple(entry.listed for entry in found.entries)))
            for _ in range(8):
                history.step()
    assert applied > 500


@pytest.mark.parametrize("weight", [0, -1, 5e-324])
@pytest.mark.parametrize("proxies", [1, 200])
def test_servers_without_positive_weights_are_used(weight: float, proxies: int) -> None:
    """Each gets a weight of one, so that a concurrency limit shared by many proxies has a starting value."""
    fields = {**copy.deepcopy(SETTINGS), "balancers": proxies}
    history = History(read_settings(fields, 80), Random(1))
    servers = [ListedEndpoint(f"s{i}", "a", weight=weight) for i in range(8)]
    history.dispatch(EndpointsListed(ListKind.RESTORED, tuple(servers)))
    for _ in range(200):
        history.wait(50.0)
        history.request()
        while history.in_flight:
            request_id, attempt = history.in_flight.pop()
            history.dispatch(AttemptEnded(request_id, attempt, Outcome.OK, 20.0, True))
    assert history.sent.total() >= 50


# Settings

FULL_SETTINGS: dict[str, Any] = {
    **SETTINGS,
    "zone": "a",
    "counted_by": "work",
    "prices": {"cross_zone": 0.1, "probe": 0.1, "waste": 0.1, "late_fail": 0.1},
    "projects": [{"name": "t", "quota_per_s": 5.0}],
    "over_share_worth": 0.5,
    "bounds": {
        **SETTINGS["bounds"],
        "parallel_tries": True,
        "cancel": True,
        "probes": False,
        "retry_after": True,
        "max_retry_after_ms": 500.0,
        "max_open": 50,
    },
    "safety": {**SETTINGS["safety"], "cold_ms": 5000, "cold_share": 0.3, "drain_grace_ms": 1000},
    "categories": [
        {**fields, "late_worth": 0.3, "aim_stretch": 0.5, "stream": False}
        for fields in SETTINGS["categories"]
    ],
}
KeyPath = tuple[str | int, ...]


def key_paths(fields: Any, key_path: KeyPath = ()) -> Iterator[KeyPath]:
    items = (
        fields.items() if isinstance(fields, dict) else enumerate(fields) if isinstance(fields, list) else ()
    )
    for key, value in items:
        yield (*key_path, key)
        yield from key_paths(value, (*key_path, key))


def with_value(key_path: KeyPath, value: object) -> dict[str, Any]:
    fields = copy.deepcopy(FULL_SETTINGS)
    inner: Any = fields
    for key in key_path[:-1]:
        inner = inner[key]
    inner[key_path[-1]] = value
    return fields


def run_history(first: Settings, then: Settings) -> None:
    random = Random(1)
    history = History(first, random)
    states = (EndpointState.READY, EndpointState.READY, EndpointState.DRAINING)
    for step in range(60):
        if step % 12 == 0:
            servers = (ListedEndpoint(f"s{i}", random.choice("ab"), i, state=states[i % 3]) for i in range(6))
            history.dispatch(EndpointsListed(ListKind.FULL, tuple(servers)))
        if step == 30:
            history.settings = then
            history.dispatch(SettingsChanged(then))
        history.step()


@pytest.mark.parametrize(
    "key_path", list(key_paths(FULL_SETTINGS)), ids=lambda key_path: ".".join(map(str, key_path))
)
def test_settings_are_rejected_when_read_or_work_in_the_balancer(key_path: KeyPath) -> None:
    good = read_settings(FULL_SETTINGS, 50)
    for value in VALUES:
        try:
            found = read_settings(with_value(key_path, value), 50)
        except (KeyError, ValueError, TypeError, AttributeError):
            continue
        if found.classes:  # `config.reload` rejects settings without classes
            run_history(found, found)
            run_history(good, found)


@pytest.mark.parametrize(
    ("key_path", "value", "text"),
    [
        (("categories", 1, "worth"), "3", r"categories\[1\]\.worth: not a number: '3'"),
        (("safety", "cold_ms"), float("nan"), r"safety\.cold_ms: not a number from 0 to 1e\+15: nan"),
        (("bounds", "cancel"), "yes", r"bounds\.cancel: 'yes'; right is true or false"),
        (("balancers",), 2e6, r"balancers: not a number from -1e\+15 to 1e\+06: 2000000"),
        (("balancers",), 0, "proxies must be at least 1"),
        (("categories", 0, "aim_ms"), 1e-300, r"categories\[0\]\.aim_ms is 1e-300; it must be positive"),
    ],
)
def test_error_message_names_the_setting_and_the_valid_values(
    key_path: KeyPath, value: object, text: str
) -> None:
    with pytest.raises(ValueError, match=text):
        read_settings(with_value(key_path, value), 50)


@pytest.mark.parametrize("key_path", [("categories", 1, "worth"), ("safety", "cold_ms"), ("prices", "waste")])
def test_null_is_treated_as_a_missing_setting(key_path: KeyPath) -> None:
    if key_path[0] == "safety":
        with pytest.raises(ValueError, match="not a number"):  # it has no default
            read_settings(with_value(key_path, None), 50)
    else:
        read_settings(with_value(key_path, None), 50)


# The process


async def assert_served(proxy: Proxy) -> None:
    client: Client = await proxy.client()
    assert (await client.ask("/unsafe")).status == 200, proxy.log()
    client.writer.close()


@pytest.mark.parametrize(
    "hostile",
    [
        {"id": "\ud800"},
        {"weight": 1e308},
        {"weight": 10**400},
        {"cell": 10**400},
        {"weight": 0},
        {"weight": -1},
    ],
)
def test_invalid_list_ends_neither_the_process_nor_the_watch(hostile: dict[str, Any]) -> None:
    async def scene() -> None:
        hosts, discovery = [await Host(f"h{i}").start() for i in range(3)], await Discovery().start()
        async with running(discovery, hosts) as proxy:
            await assert_served(proxy)
            bad = {**hosts[1].entry(), "id": "h9", **hostile}
            await discovery.change(bad)
            await asyncio.sleep(0.3)
            await assert_served(proxy)
            del discovery.entries[bad["id"]]
            discovery.changes = [change for change in discovery.changes if change[1] != bad["id"]]
            asked = len(discovery.calls)
            await discovery.change(hosts[0].entry("leaving"))
            await discovery.wait_for_calls(asked + 1)
            await asyncio.sleep(0.3)
            before = len(hosts[0].seen)
            for _ in range(10):
                await assert_served(proxy)
            assert len(hosts[0].seen) == before, "what it lists afterwards is in force"
            assert "CRITICAL" not in proxy.log(), proxy.log()

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("key_path", "value"),
    [(("categories", 0, "worth"), "x"), (("safety", "cold_ms"), 1e308), (("zone",), [1])],
)
def test_invalid_settings_at_sighup_change_nothing(key_path: KeyPath, value: object) -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0").start()], await Discovery().start()
        async with running(discovery, hosts, settings=FULL_SETTINGS) as proxy:
            await assert_served(proxy)
            fields = json.loads(proxy.config.read_text())
            proxy.config.write_text(json.dumps({**fields, "settings": with_value(key_path, value)}))
            proxy.signal(signal.SIGHUP)
            await proxy.logged("configuration not reread")
            for target in ("/unsafe", "/keyed"):
                client = await proxy.client()
                assert (await client.ask(target)).status == 200, proxy.log()

    asyncio.run(scene())


@pytest.mark.parametrize(
    "text",
    [
        "[]", "5", "{}", '{"settings": 5}', '{"settings": {"categories": 5}}', "[" * 100_000, "\x00",
        '{"name": 5, "listen": 5, "discovery": 5, "settings": null}', '{"limits": {"sockets": "x"}}',
    ],
)  # fmt: skip
def test_unusable_configuration_file_is_reported_in_one_line(text: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "cloverrouter.proxy"],
        env={"PROXY_CONFIG": str(path), "PATH": "/usr/bin:/bin"},
        capture_output=True,
        timeout=60,
        check=False,
        text=True,
    )
    assert done.returncode == 2, done.stderr
    assert "no usable configuration" in done.stderr and "Traceback" not in done.stderr
