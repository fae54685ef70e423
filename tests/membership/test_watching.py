"""How discovery is asked and believed: its rhythm, the wait after a failure, lists that contradict."""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest

from cloverrouter.interface import EndpointState, ListedEndpoint
from cloverrouter.lab.peers import Discovery, ok
from cloverrouter.membership.watching import (
    GRACE_LEAST_S,
    GRACE_MOST_S,
    HOLD_S,
    Asking,
    Ledger,
    reconnect_ms,
)
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock
from cloverrouter.proxy.discovery import Watch
from tests.test_upstream import until

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE


def told(asking: Asking, *late_s: float) -> None:
    """Answers without news, each so late."""
    for s in late_s:
        asked = asking.question()
        asking.answered(asked, asked.hold_s + s, 1, False)


def test_silence_is_told_from_the_rhythm_of_the_answers() -> None:
    asking = Asking()
    assert asking.question().version is None and asking.question().hold_s == 0  # first, the whole list
    assert asking.grace_s == GRACE_MOST_S  # nothing is known yet
    told(asking, *[0.005] * 20)
    assert asking.question().hold_s == HOLD_S and asking.grace_s == GRACE_LEAST_S
    slow = Asking()
    told(slow, *[0.3, 0.5] * 10)
    assert 0.6 < slow.grace_s < 1.2
    asked = asking.question()
    asking.answered(asked, 2.9, 2, True)  # it waited for news: that is not late
    assert asking.grace_s == GRACE_LEAST_S
    for _ in range(
        50
    ):  # nor are fifty that came before the wait was over, of a service that is slow to end one
        slow.answered(slow.question(), 1.0, 2, True)
    assert slow.grace_s > 0.6


def test_while_it_is_lost_nothing_waits_and_the_patience_grows() -> None:
    asking = Asking()
    told(asking, *[0.005] * 20)
    graces = []
    for _ in range(8):
        asking.failed()
        assert asking.question().hold_s == 0 and asking.question().version == 1
        graces.append(asking.grace_s)
    assert graces == sorted(graces) and graces[0] == GRACE_LEAST_S and graces[-1] == GRACE_MOST_S
    told(asking, 0.01)
    assert asking.question().hold_s == HOLD_S and asking.grace_s == GRACE_LEAST_S
    asking.failed(trusted=False)
    assert asking.question().version is None


@pytest.mark.parametrize(
    ("failed", "proxies", "span_ms"),
    [(1, 1, 200), (30, 1, 500), (0, 12, 500), (30, 12, 500), (1, 40, 200), (3, 40, 800), (0, 40, 4000)],
)
def test_waits_are_spread_over_a_span_that_grows(failed: int, proxies: int, span_ms: float) -> None:
    waits = [reconnect_ms(failed, proxies, 5000.0, Random(seed)) for seed in range(400)]
    assert 0 <= min(waits) < 0.05 * span_ms and 0.95 * span_ms < max(waits) <= span_ms
    assert 0.4 * span_ms < sum(waits) / len(waits) < 0.6 * span_ms


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
    "leaves",
    [delta(6, entry("a", DRAINING)), delta(6, entry("a", GONE)), full(6, entry("b"))],
    ids=["drains", "gone", "missing"],
)
def test_an_older_list_brings_nobody_back(leaves: HostList) -> None:
    ledger = Ledger()
    ledger.take(full(5, entry("a"), entry("b")))
    assert ledger.take(leaves) is leaves
    old = full(5, entry("a"), entry("b"))
    assert states(ledger.take(old)) == {"a": DRAINING, "b": READY}
    # It goes on contradicting itself: the higher counting holds, however often.
    for _ in range(5):
        ledger.take(delta(6))
        assert states(ledger.take(old))["a"] is DRAINING
    # The higher counting itself may bring it back.
    assert states(ledger.take(delta(7, entry("a")))) == {"a": READY}
    assert states(ledger.take(old)) == {"a": READY, "b": READY}


def test_the_watch_goes_by_the_ledger() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        listed = {"id": "a", "addr": "127.0.0.1:9", "state": "active"}
        discovery.broken = [
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


def test_a_new_process_is_not_held_out_for_the_old_one() -> None:
    ledger = Ledger()
    ledger.take(full(5, entry("a", started_ms=1.0)))
    ledger.take(delta(6, entry("a", GONE, 1.0)))
    assert states(ledger.take(full(2, entry("a", started_ms=9.0)))) == {"a": READY}


def test_a_service_that_counts_anew_is_believed_once_it_goes_on() -> None:
    ledger = Ledger(100)
    ledger.take(full(100, entry("a"), entry("b")))
    ledger.take(delta(101, entry("a", DRAINING)))
    assert states(ledger.take(full(1, entry("a"), entry("b")))) == {"a": DRAINING, "b": READY}
    assert states(ledger.take(delta(1))) == {}
    assert states(ledger.take(delta(2, entry("b", DRAINING)))) == {"b": DRAINING, "a": READY}
    assert ledger.top == 2
    assert states(ledger.take(delta(3, entry("b")))) == {"b": READY}  # by the new counting from here on


def test_what_the_lower_counting_says_last_of_a_server_holds() -> None:
    ledger = Ledger()
    ledger.take(full(100, entry("a"), entry("b")))
    ledger.take(delta(101, entry("a", DRAINING)))
    ledger.take(full(1, entry("a")))
    ledger.take(delta(2, entry("a", GONE)))
    assert states(ledger.take(delta(3))) == {}
