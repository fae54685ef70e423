"""A change known to discovery reaches the proxy within 6 s of discovery's return, after any failures.

The timing is tested in simulated time (`benchmarks/told.py`), with the real watch and delays over simulated
connections. Each kind of failure is also tested over loopback sockets.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from itertools import pairwise, product
from random import Random
from typing import Any

import pytest

from benchmarks.told import (
    DELIVERY_LIMIT_S,
    FAULTS,
    FLEETS,
    Decisions,
    Delivery,
    ReconnectDelays,
    Sequence,
    connecting,
    crowd,
    draw_sequence,
    play,
    simulated,
)
from cloverrouter.interface import EndpointState
from cloverrouter.lab.peers import ok, read_message
from cloverrouter.membership.watching import WatchSchedule, reconnect_delay_ms
from cloverrouter.proxy.config import HostList, UnixClock
from cloverrouter.proxy.discovery import CONNECT_TIMEOUT_S, TIMEOUT_READ_S, Watch
from tests.test_upstream import until

MARGIN_S = 0.4  # left of the 6 s in the worst case
ANSWER_S = 0.5  # maximum response time of discovery, in tests without a queue
MODULES = [ReconnectDelays, Decisions]


def worst_of(found: list[Delivery]) -> str:
    worst = found[0]
    return f"{worst.late_s:.2f} s after {worst.faults_met[-6:]}, {worst.sequence}"


def delay_histories() -> list[WatchSchedule]:
    """Call states after a prompt, slow, uneven or unknown discovery, each with 0 to 7 failures."""
    found = []
    for late_s in ((), (0.005,) * 20, (0.3, 0.5) * 10, (1.2,) * 20, (0.0, 3.0) * 10):
        for failures in range(8):
            asking = WatchSchedule()
            asking.version = 1
            for s in late_s:
                asked = asking.next_request()
                asking.record_answer(asked, asked.max_wait_s + s, 1, False)
            if failures:
                for _ in range(failures):
                    asking.record_failure()
            found.append(asking)
    return found


def test_longest_computed_delay_leaves_a_margin() -> None:
    """From the start of a call just before discovery returned, or without an answer, to the next answer."""
    longest_s = 0.0
    for asking, proxies, failed in product(delay_histories(), FLEETS, (1, 2, 5, 40)):
        asked = asking.next_request()
        spent_s = asked.max_wait_s + asked.grace_s + 2 * TIMEOUT_READ_S
        if not asked.max_wait_s:
            spent_s += CONNECT_TIMEOUT_S
        for call_s in (0.0, 1.0, spent_s):  # refused or reset at once, connect timeout, answer timeout
            waits = [reconnect_delay_ms(failed, proxies, 5000.0, Random(i), 1000 * call_s) for i in range(50)]
            longest_s = max(longest_s, call_s + max(waits) / 1000)
    assert longest_s + CONNECT_TIMEOUT_S + ANSWER_S + MARGIN_S <= DELIVERY_LIMIT_S, longest_s


@pytest.mark.parametrize("module", MODULES)
@pytest.mark.parametrize("slow", [False, True], ids=["prompt", "with a queue"])
def test_change_arrives_in_time_after_any_failures(
    slow: bool, module: type[Decisions | ReconnectDelays]
) -> None:
    """Random: proxies, faults, outage, time of the change, an address change, whether a list is known."""
    found = play((draw_sequence(seed, slow) for seed in range(700)), module)
    met = {fault for one in found for fault in one.faults_met}
    assert met >= {*FAULTS, "watch silent", "watch reset"}
    assert found[0].late_s <= DELIVERY_LIMIT_S - MARGIN_S, worst_of(found)


@pytest.mark.parametrize("module", MODULES)
def test_change_arrives_in_time_after_each_pair_of_failures(
    module: type[Decisions | ReconnectDelays],
) -> None:
    orders = [
        Sequence(seed, proxies, faults, down_s, in_turn=True)
        for seed, (faults, down_s, proxies) in enumerate(
            product(product(FAULTS, repeat=2), (1.0, 8.0, 60.0), (30, 7000))
        )
    ]
    found = play(orders, module)
    assert found[0].late_s <= DELIVERY_LIMIT_S - MARGIN_S, worst_of(found)


@pytest.mark.parametrize(("down_s", "silent"), [(1.0, False), (8.0, True), (8.0, False)])
def test_queue_of_callers_is_answered_in_time_and_does_not_grow(down_s: float, silent: bool) -> None:
    """200 proxies, and a discovery that answers them one after the other, 70 a second."""
    found = crowd(200, 70.0, down_s, silent, seed=1, span_s=8.0)
    assert max(found.late_s) <= DELIVERY_LIMIT_S - MARGIN_S
    assert found.peak_calls <= 250 and found.rejected == 0
    assert found.calls[-1] <= 300  # while it is still down


@pytest.mark.parametrize("grace_s", [1.0, 2.0])
def test_unreachable_agent_is_called_again_within_the_drain_grace(grace_s: float) -> None:
    """The agent runs on this machine, so connecting has no separate timeout."""

    class Unreached:
        async def connect(self) -> Any:
            tries_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(1000.0)

    async def scene() -> None:
        with connecting({1: Unreached()}):
            watch = Watch(("127.0.0.1", 1), UnixClock(), True, lambda found: None, lambda: None, grace_s)
            watch.start()
            await asyncio.sleep(20.0)
            watch.stop()

    tries_s: list[float] = []
    simulated(scene())
    waits = [late - early for early, late in pairwise(tries_s)]
    assert len(waits) > 5 and max(waits) <= grace_s, waits


# On loopback sockets

Failure = Callable[[asyncio.StreamWriter, bytes], Awaitable[None]]


async def answer_503(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


async def reset(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.transport.abort()


async def silent(writer: asyncio.StreamWriter, whole: bytes) -> None:
    pass


async def half(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(whole[: len(whole) // 2])
    writer.close()


async def half_silent(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(whole[: len(whole) // 2])


async def malformed(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(ok(b'{"version": 2, "full": '))


FAILURES: dict[str, Failure] = {
    "503": answer_503,
    "reset": reset,
    "silent": silent,
    "half": half,
    "half silent": half_silent,
    "spoilt": malformed,
}


class Failing:
    """A discovery that fails one call with each of `failures`, waiting calls included, then answers."""

    def __init__(self, failures: list[str]) -> None:
        self.failures = failures
        self.calls: list[str] = []

    async def start(self, port: int = 0) -> Failing:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                target = (await read_message(reader)).start.split()[1]
                self.calls.append(target)
                servers = [{"id": "h", "addr": "127.0.0.1:9", "state": "leaving"}]
                full = "from=" not in target
                whole = ok(json.dumps({"version": 2, "full": full, "servers": servers}).encode())
                if self.failures:
                    await FAILURES[self.failures.pop(0)](writer, whole)
                elif "from=2" not in target:
                    writer.write(whole)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass


def eager(port: int, lists: list[HostList], failures: list[int]) -> Watch:
    """A watch with short timeouts that calls again at once after a failure."""

    def failed() -> None:
        failures.append(1)
        asyncio.get_running_loop().call_soon(watch.start)

    watch = Watch(("127.0.0.1", port), UnixClock(), False, lists.append, failed)
    watch.asking = WatchSchedule(max_wait_s=0.1, max_grace_s=0.1)
    watch.resume(1)
    return watch


def leaving(lists: list[HostList]) -> list[str]:
    draining = (
        e.listed for found in lists for e in found.entries if e.listed.state is EndpointState.DRAINING
    )
    return [listed.name for listed in draining]


@pytest.mark.parametrize("offset", range(len(FAILURES)))
def test_each_failure_is_followed_by_the_next_call(offset: int) -> None:
    """Each kind of failure occurs before each other kind, and twice in a row."""
    names = [*FAILURES][offset:] + [*FAILURES][:offset]
    sequence = [name for name in names for _ in range(2)]

    async def scene() -> None:
        service = await Failing([*sequence, *reversed(names)]).start()
        lists: list[HostList] = []
        failures: list[int] = []
        watch = eager(service.port, lists, failures)
        watch.start()
        await until(lambda: lists)
        assert leaving(lists) == ["h"]
        assert len(failures) == len(sequence) + len(names) < len(service.calls)
        watch.stop()
        service.server.close()

    asyncio.run(scene())


def test_watch_recovers_from_refused_connects_and_a_call_without_answer() -> None:
    async def scene() -> None:
        service = await Failing([]).start()
        port = service.port
        service.server.close()
        await service.server.wait_closed()
        lists: list[HostList] = []
        failures: list[int] = []
        watch = eager(port, lists, failures)
        watch.start()
        await until(lambda: len(failures) >= 3)
        service = await Failing(["silent"]).start(port)
        await until(lambda: lists)
        assert leaving(lists) == ["h"] and len(service.calls) >= 2
        watch.stop()
        service.server.close()

    asyncio.run(scene())


def test_address_change_during_failures_requests_the_full_list() -> None:
    async def scene() -> None:
        old = await Failing(["reset", "silent"]).start()
        new = await Failing(["503"]).start()
        lists: list[HostList] = []
        failures: list[int] = []
        watch = eager(old.port, lists, failures)
        watch.start()
        await until(lambda: len(old.calls) >= 2)  # the second call is waiting
        watch.change_address(("127.0.0.1", new.port))
        await until(lambda: lists)
        assert leaving(lists) == ["h"] and lists[0].full
        assert new.calls[:2] == ["/v1/servers"] * 2
        watch.stop()
        old.server.close()
        new.server.close()

    asyncio.run(scene())


def test_hold_time_is_shorter_for_a_slow_discovery() -> None:
    """So that one that stops answering during a waiting call is detected in time, without a call too short
    to be answered."""
    for asking in delay_histories():
        asking.lost = False
        asked: Any = asking.next_request()
        assert asked.max_wait_s + asked.grace_s <= 3.7
        assert asked.max_wait_s >= 1.6
