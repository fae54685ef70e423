"""A restarted proxy is ready with its stored list in any state of discovery, also with 7,000 servers."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

import pytest

from benchmarks.ready import Discovery, configuration, known, ready_s
from cloverrouter.interface import EndpointState, ListedEndpoint
from cloverrouter.lab.process import ProxyProcess
from cloverrouter.membership.watching import VersionGuard
from cloverrouter.proxy.config import NO_VERSION, HostEntry, HostList, UnixClock, read_known
from cloverrouter.proxy.discovery import Watch

BOUND_S = 10.0  # the required limit; it takes 0.2 s on an idle machine
MANY = 7000


def ready_after(state: str, whole: dict[str, Any], folder: Path) -> tuple[float, str]:
    """Return the time until a proxy that knows `whole` is ready, with discovery in `state`, and its log."""

    async def scene() -> tuple[float, str]:
        discovery = Discovery(state, known(3))
        at = await discovery.start()
        proxy = ProxyProcess(configuration(0, 200, at, whole), folder)
        proxy.start()
        try:
            took_s = await ready_s(proxy, asyncio.get_running_loop().time(), 3 * BOUND_S)
            return took_s, proxy.log()
        finally:
            proxy.close()
            discovery.close()

    return asyncio.run(scene())


@pytest.mark.parametrize("state", ["down", "silent", "crowded"])
def test_restart_with_7000_known_servers_does_not_wait_for_discovery(state: str, tmp_path: Path) -> None:
    took_s, log = ready_after(state, known(MANY), tmp_path)
    assert took_s <= BOUND_S, log


def test_malformed_entry_among_7000_known_does_not_prevent_the_start(tmp_path: Path) -> None:
    whole = known(MANY)
    whole["servers"][4321]["weight"] = "much"
    took_s, log = ready_after("silent", whole, tmp_path)
    assert took_s <= BOUND_S, log
    assert "1 of 7000 entries are left out" in log and "'much'" in log


@pytest.mark.parametrize(
    "malformed", [{"addr": "a.name:1"}, {"weight": "much"}, {"id": 5}, {"state": "odd"}, {"started_ms": None}]
)
def test_malformed_known_entries_are_skipped(malformed: dict[str, Any]) -> None:
    whole = known(3)
    whole["servers"][1].update(malformed)
    found = read_known(whole, UnixClock())
    assert found is not None and found.version == NO_VERSION
    assert [e.listed.name for e in found.entries] == ["s-00000000", "s-00000002"]


@pytest.mark.parametrize(
    "message",
    [None, {}, [], "servers", {"servers": 5}, {"version": 4, "full": True, "servers": []}, {"servers": [5]}],
)
def test_unusable_known_list_is_read_as_none(message: Any) -> None:
    assert read_known(message, UnixClock()) is None


def test_resuming_without_a_version_requests_the_full_list() -> None:
    async def scene() -> None:
        watch = Watch(("127.0.0.1", 1), UnixClock(), False, lambda found: None, lambda: None)
        watch.resume(NO_VERSION)
        assert watch.asking.next_request().version is None
        watch.resume(4)
        assert watch.asking.next_request().version == 4

    asyncio.run(scene())


def test_known_list_of_only_draining_servers_is_read_as_none() -> None:
    whole = known(3)
    for entry in whole["servers"]:
        entry["state"] = "leaving"
    assert read_known(whole, UnixClock()) is None
    assert read_known(known(3), UnixClock()) is not None


def test_empty_known_list_does_not_delay_the_first_call(tmp_path: Path) -> None:
    """In a large fleet a proxy with a known list delays its first call by up to seconds."""
    calls: list[str] = []

    async def scene() -> float:
        discovery = Discovery("answers", known(3))
        at = await discovery.start()
        settings = configuration(0, 200, at, {"version": 4, "full": True, "servers": []})
        settings["settings"]["safety"] = {**settings["settings"]["safety"], "must_ask_in_ms": 10_000.0}
        proxy = ProxyProcess(settings, tmp_path)
        proxy.start()
        try:
            took_s = await ready_s(proxy, asyncio.get_running_loop().time(), 3 * BOUND_S)
            calls.append(discovery.first_target)
            return took_s
        finally:
            proxy.close()
            discovery.close()

    assert asyncio.run(scene()) <= BOUND_S
    assert calls == ["/v1/servers"]


# Cost, in executed lines


def steps(call: Callable[[], object]) -> int:
    """Count the lines of Python that a call executes."""
    count = 0

    def trace(frame: FrameType, event: str, argument: object) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def listed(
    *names: str, version: int, full: bool = False, state: EndpointState = EndpointState.READY
) -> HostList:
    entries = (HostEntry(ListedEndpoint(name, state=state), ("127.0.0.1", 1)) for name in names)
    return HostList(version, full, tuple(entries))


@pytest.mark.parametrize("state", [EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE])
@pytest.mark.parametrize("version", [9, 1], ids=["newer", "of a lower counting"])
def test_cost_of_one_change_does_not_depend_on_the_number_of_known_servers(
    state: EndpointState, version: int
) -> None:
    counts = []
    for many in (64, 4096):
        ledger = VersionGuard()
        ledger.filter_list(listed(*(f"s{i}" for i in range(many)), version=5, full=True))
        ledger.filter_list(listed("s1", version=6, state=EndpointState.DRAINING))
        one = listed("s1", version=version, state=state)
        counts.append(steps(lambda ledger=ledger, one=one: ledger.filter_list(one)))  # type: ignore[misc]
    assert counts[0] == counts[1]


def test_full_list_with_a_lower_version_costs_linear_time() -> None:
    counts = []
    for many in (64, 4096):
        ledger = VersionGuard()
        names = [f"s{i}" for i in range(many)]
        ledger.filter_list(listed(*names, version=5, full=True))
        ledger.filter_list(listed(*names[: many // 2], version=6, state=EndpointState.DRAINING))
        whole = listed(*names, version=1, full=True)
        counts.append(steps(lambda ledger=ledger, whole=whole: ledger.filter_list(whole)) / many)  # type: ignore[misc]
    assert counts[1] <= 1.1 * counts[0]


def test_replaced_servers_are_kept_only_up_to_a_limit() -> None:
    ledger = VersionGuard()
    ledger.filter_list(listed(*(f"a{i}" for i in range(MANY)), version=1, full=True))
    ledger.filter_list(listed(*(f"b{i}" for i in range(MANY)), version=2, full=True))
    ledger.filter_list(listed("c1", "c2", "c3", version=3, full=True))
    assert len(ledger._known) == 3 and len(ledger._removed) == 4096
    assert json.dumps(sorted(ledger._known)) == '["c1", "c2", "c3"]'
