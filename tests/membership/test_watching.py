"""Calls to discovery: timeouts, the delay after a failure, and contradictory lists."""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest

from cloverrouter.interface import EndpointState, ListedEndpoint
from cloverrouter.lab.peers import Discovery, ok
from cloverrouter.membership import watching
from cloverrouter.membership.watching import (
    MAX_GRACE_S,
    MAX_WAIT_S,
    MIN_GRACE_S,
    VersionGuard,
    WatchSchedule,
    reconnect_delay_ms,
)
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock
from cloverrouter.proxy.discovery import Watch
from tests.test_upstream import until

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE


def record_answers(schedule: WatchSchedule, *late_s: float) -> None:
    """Record answers without changes, each late by one of `late_s`."""
    for s in late_s:
        request = schedule.next_request()
        schedule.record_answer(request, request.max_wait_s + s, 1, False)


def test_the_timeout_follows_the_measured_delay_of_answers() -> None:
    schedule = WatchSchedule()
    assert (
        schedule.next_request().version is None and schedule.next_request().max_wait_s == 0
    )  # at first, the full list
    assert schedule.grace_s == MAX_GRACE_S  # no samples yet
    record_answers(schedule, *[0.005] * 20)
    assert schedule.next_request().max_wait_s == MAX_WAIT_S and schedule.grace_s == MIN_GRACE_S
    slow = WatchSchedule()
    record_answers(slow, *[0.3, 0.5] * 10)
    assert 0.6 < slow.grace_s < 1.2
    request = schedule.next_request()
    schedule.record_answer(request, 2.9, 2, True)  # it waited for changes, which is not a delay
    assert schedule.grace_s == MIN_GRACE_S
    for _ in range(
        50
    ):  # nor are fifty answers before the end of the wait, from a service that is slow to end one
        slow.record_answer(slow.next_request(), 1.0, 2, True)
    assert slow.grace_s > 0.6


def test_after_failures_calls_do_not_wait_and_timeouts_grow() -> None:
    schedule = WatchSchedule()
    record_answers(schedule, *[0.005] * 20)
    graces = []
    for _ in range(8):
        schedule.record_failure()
        assert schedule.next_request().max_wait_s == 0 and schedule.next_request().version == 1
        graces.append(schedule.grace_s)
    assert graces == sorted(graces) and graces[0] == MIN_GRACE_S and graces[-1] == MAX_GRACE_S
    record_answers(schedule, 0.01)
    assert schedule.next_request().max_wait_s == MAX_WAIT_S and schedule.grace_s == MIN_GRACE_S
    schedule.record_failure(trusted=False)
    assert schedule.next_request().version is None


@pytest.mark.parametrize(
    ("failures", "proxies", "span_ms"),
    [(1, 1, 200), (30, 1, 500), (0, 12, 500), (30, 12, 500), (1, 40, 200), (3, 40, 800), (0, 40, 4000)],
)
def test_delays_are_spread_over_a_growing_span(failures: int, proxies: int, span_ms: float) -> None:
    delays = [reconnect_delay_ms(failures, proxies, 5000.0, Random(seed)) for seed in range(400)]
    assert 0 <= min(delays) < 0.05 * span_ms and 0.95 * span_ms < max(delays) <= span_ms
    assert 0.4 * span_ms < sum(delays) / len(delays) < 0.6 * span_ms


# Lists


def entry(name: str, state: EndpointState = READY, started_ms: float | None = None) -> HostEntry:
    return HostEntry(ListedEndpoint(name, state=state, started_ms=started_ms), ("127.0.0.1", 1))


def full(version: int, *entries: HostEntry) -> HostList:
    return HostList(version, True, entries)


def delta(version: int, *entries: HostEntry) -> HostList:
    return HostList(version, False, entries)


def states(found: HostList) -> dict[str, EndpointState]:
    return {each.listed.name: each.listed.state for each in found.entries}


@pytest.mark.parametrize(
    "drained",
    [delta(6, entry("a", DRAINING)), delta(6, entry("a", GONE)), full(6, entry("b"))],
    ids=["drains", "gone", "missing"],
)
def test_an_older_list_does_not_restore_drained_servers(drained: HostList) -> None:
    guard = VersionGuard()
    guard.filter_list(full(5, entry("a"), entry("b")))
    assert guard.filter_list(drained) is drained
    old = full(5, entry("a"), entry("b"))
    assert states(guard.filter_list(old)) == {"a": DRAINING, "b": READY}
    # The service keeps contradicting itself: the higher version applies, however often.
    for _ in range(5):
        guard.filter_list(delta(6))
        assert states(guard.filter_list(old))["a"] is DRAINING
    # The higher version itself may restore the server.
    assert states(guard.filter_list(delta(7, entry("a")))) == {"a": READY}
    assert states(guard.filter_list(old)) == {"a": READY, "b": READY}


def test_the_watch_applies_the_version_guard() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        listed = {"id": "a", "addr": "127.0.0.1:9", "state": "active"}
        discovery.broken_answers = [
            ok(
                json.dumps(
                    {"version": version, "full": full, "servers": [{**listed, "state": state}]}
                ).encode()
            )
            for version, full, state in ((5, True, "active"), (6, False, "leaving"), (2, True, "active"))
        ]
        lists: list[HostList] = []
        watch = Watch(("127.0.0.1", discovery.port), UnixClock(), True, lists.append, lambda: None)
        watch.start()
        await until(lambda: len(lists) >= 3)
        watch.stop()
        assert [states(found)["a"] for found in lists[:3]] == [READY, DRAINING, DRAINING]

    asyncio.run(scene())


def test_a_new_process_is_not_withheld_because_of_the_old_one() -> None:
    guard = VersionGuard()
    guard.filter_list(full(5, entry("a", started_ms=1.0)))
    guard.filter_list(delta(6, entry("a", GONE, 1.0)))
    assert states(guard.filter_list(full(2, entry("a", started_ms=9.0)))) == {"a": READY}


def test_of_more_removed_servers_than_are_remembered_the_first_of_the_list_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watching, "MAX_REMOVED_ENTRIES", 6)
    names = [f"s-{i}" for i in range(12)]
    every = [entry(name) for name in names]
    guard = VersionGuard()
    guard.filter_list(full(5, *every))
    guard.filter_list(full(6, entry("other")))
    found = states(guard.filter_list(full(5, *every)))
    assert found == {name: READY if i < 6 else DRAINING for i, name in enumerate(names)}


def test_restarted_versions_are_accepted_once_they_continue() -> None:
    guard = VersionGuard(100)
    guard.filter_list(full(100, entry("a"), entry("b")))
    guard.filter_list(delta(101, entry("a", DRAINING)))
    assert states(guard.filter_list(full(1, entry("a"), entry("b")))) == {"a": DRAINING, "b": READY}
    assert states(guard.filter_list(delta(1))) == {}
    assert states(guard.filter_list(delta(2, entry("b", DRAINING)))) == {"b": DRAINING, "a": READY}
    assert guard.highest_version == 2
    assert states(guard.filter_list(delta(3, entry("b")))) == {
        "b": READY
    }  # the new versions apply from now on


def test_the_last_entry_of_the_lower_versions_applies() -> None:
    guard = VersionGuard()
    guard.filter_list(full(100, entry("a"), entry("b")))
    guard.filter_list(delta(101, entry("a", DRAINING)))
    guard.filter_list(full(1, entry("a")))
    guard.filter_list(delta(2, entry("a", GONE)))
    assert states(guard.filter_list(delta(3))) == {}
