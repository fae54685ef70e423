"""Calls to discovery that end early, by an address change, a timeout or a reset, must not lose changes."""

from __future__ import annotations

import asyncio
import json
from itertools import pairwise
from typing import Any

import pytest

from cloverrouter.interface import EndpointState
from cloverrouter.lab.peers import Discovery, ok, read_message
from cloverrouter.membership.watching import WatchSchedule, push_agent_schedule
from cloverrouter.proxy.config import HostList, UnixClock
from cloverrouter.proxy.discovery import PUSHED_RETRY_DELAY_S, TIMEOUT_READ_S, Watch
from tests.test_upstream import until


def entry(name: str, state: str) -> dict[str, Any]:
    return {"id": name, "addr": "127.0.0.1:9", "state": state}


def watch_of(port: int, lists: list[HostList], failures: list[int], pushed: bool = False) -> Watch:
    return Watch(("127.0.0.1", port), UnixClock(), pushed, lists.append, lambda: failures.append(1))


def states(found: HostList) -> dict[str, EndpointState]:
    return {e.listed.name: e.listed.state for e in found.entries}


def test_connection_established_during_an_address_change_is_not_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The previous call runs for one more loop iteration: its connection leads to the previous address."""

    async def scene() -> None:
        old, new = await Discovery().start(), await Discovery().start()
        old.entries["h"], new.entries["h"] = entry("h", "active"), entry("h", "leaving")
        lists: list[HostList] = []
        failures: list[int] = []
        watch = watch_of(old.port, lists, failures)
        real = asyncio.open_connection

        async def open_connection(host: str, port: int) -> Any:
            streams = await real(host, port)
            if port == old.port:
                watch.change_address(("127.0.0.1", new.port))  # in the iteration in which it is established
            return streams

        monkeypatch.setattr(asyncio, "open_connection", open_connection)
        watch.start()
        await new.wait_for_calls(1)
        await until(lambda: lists)
        assert [states(found) for found in lists] == [{"h": EndpointState.DRAINING}]
        assert not old.calls
        assert not failures  # no failure of the old address is reported for the new one
        watch.stop()

    asyncio.run(scene())


def test_answer_from_the_previous_address_is_not_taken_for_one_from_the_new() -> None:
    async def scene() -> None:
        old, new = await Discovery().start(), await Discovery().start()
        old.entries["h"], new.entries["h"] = entry("h", "active"), entry("h", "leaving")
        lists: list[HostList] = []
        watch = watch_of(old.port, lists, [])
        watch.start()
        await old.wait_for_calls(1)
        await until(lambda: lists)
        await old.wait_for_calls(2)  # the next call is waiting
        await old.change(entry("h", "active"))  # answered in the client's socket before the next iteration
        watch.change_address(("127.0.0.1", new.port))
        await new.wait_for_calls(2)
        assert states(lists[-1]) == {"h": EndpointState.DRAINING} and len(lists) == 2
        watch.stop()

    asyncio.run(scene())


@pytest.mark.parametrize("grace_s", [1.0, 2.0])
def test_computed_delay_by_an_unresponsive_agent_is_within_the_drain_grace(grace_s: float) -> None:
    """In the worst case a call has just been sent when the agent stops answering, or when it returns."""
    asking = push_agent_schedule(grace_s)
    asking.version = 1
    open_s = asking.next_request().max_wait_s + asking.next_request().grace_s
    asking.record_failure()
    silent_s = asking.next_request().max_wait_s + asking.next_request().grace_s
    # The protocol allows a tolerance of 50 ms for each time limit on sockets.
    assert open_s + 2 * TIMEOUT_READ_S + PUSHED_RETRY_DELAY_S <= grace_s + 0.05
    assert silent_s + 2 * TIMEOUT_READ_S + PUSHED_RETRY_DELAY_S <= grace_s


def test_agent_unresponsive_for_long_is_called_as_often_as_before() -> None:
    """What it receives when discovery returns counts as delivered at once, after an outage of any length."""

    async def scene() -> None:
        asked_s: list[float] = []
        loop = asyncio.get_running_loop()
        available = False

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    await read_message(reader)
                    asked_s.append(loop.time())
                    if available:
                        message = {"version": 2, "full": False, "servers": [entry("h", "leaving")]}
                        writer.write(ok(json.dumps(message).encode()))
            except (asyncio.IncompleteReadError, ConnectionError):
                pass

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        lists: list[HostList] = []
        failures: list[int] = []
        watch = watch_of(server.sockets[0].getsockname()[1], lists, failures, pushed=True)
        watch.resume(1)
        watch.start()
        await until(lambda: len(asked_s) >= 8)
        waits = [late - early for early, late in pairwise(asked_s[1:])]
        assert max(waits) < 1.5, waits  # 0.55 s on an idle machine
        available = True
        await until(lambda: lists)
        assert states(lists[0]) == {"h": EndpointState.DRAINING}
        watch.stop()
        server.close()

    asyncio.run(scene())


def test_complete_answer_before_a_reset_is_applied() -> None:
    async def scene() -> None:
        message = {"version": 2, "full": False, "servers": [entry("h", "leaving")]}

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(ok(json.dumps(message).encode()))
            writer.transport.abort()  # the answer is in the socket by now

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        lists: list[HostList] = []
        watch = watch_of(server.sockets[0].getsockname()[1], lists, [])
        watch.resume(1)
        watch.start()
        await until(lambda: lists)
        assert states(lists[0]) == {"h": EndpointState.DRAINING}
        watch.stop()
        server.close()

    asyncio.run(scene())


@pytest.mark.parametrize("version", [None, 1])
@pytest.mark.parametrize("malformed", [{"addr": "a.name:1"}, {"weight": "much"}, {"id": 5}, {"state": "odd"}])
def test_malformed_entry_does_not_lose_a_drain_in_the_same_list(
    version: int | None, malformed: dict[str, Any]
) -> None:
    """A partly readable list is not applied, except for its drains; the full list is requested next."""

    async def scene() -> None:
        discovery = await Discovery().start()
        servers = [{**entry("odd", "active"), **malformed}, entry("h", "leaving"), entry("new", "active")]
        message = {"version": 2, "full": version is None, "servers": servers}
        discovery.broken_answers = [ok(json.dumps(message).encode())]
        lists: list[HostList] = []
        failures: list[int] = []
        watch = watch_of(discovery.port, lists, failures)
        if version is not None:
            watch.resume(version)
        watch.start()
        await until(lambda: failures)
        assert [states(found) for found in lists] == [{"h": EndpointState.DRAINING}]
        assert not lists[0].full
        watch.start()
        await discovery.wait_for_calls(2)
        assert discovery.calls[1] == "/v1/servers"
        watch.stop()

    asyncio.run(scene())


@pytest.mark.parametrize("moved", [False, True])
def test_answer_written_as_its_call_is_given_up_is_applied(moved: bool) -> None:
    """What discovery has written counts as delivered; the next call is queued there for longer than a grace.

    The call is given up by a timeout or an address change; the next call, at either address, is not answered.
    """

    async def scene() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    await read_message(reader)
                    writers.append(writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        lists: list[HostList] = []
        failures: list[int] = []
        watch = watch_of(port, lists, failures)
        watch.asking = WatchSchedule(max_wait_s=60.0 if moved else 0.1, max_grace_s=0.1)
        watch.resume(1)
        watch.start()
        await until(lambda: writers)
        if moved:
            watch.change_address(("127.0.0.1", port))
        else:
            await until(lambda: failures)
            watch.start()
        await until(lambda: len(writers) >= 2)
        servers = [entry("h", "leaving"), entry("new", "active")]
        message = {"version": 2, "full": False, "servers": servers}
        writers[0].write(ok(json.dumps(message).encode()))
        await until(lambda: lists)
        drains = {"h": EndpointState.DRAINING}  # only these are applied from a previous address
        assert states(lists[0]) == (drains if moved else {**drains, "new": EndpointState.READY})
        watch.stop()
        await asyncio.sleep(0.05)
        assert not watch._late_calls
        server.close()

    asyncio.run(scene())


def test_stopped_watch_makes_no_more_calls() -> None:
    """The balancer may subscribe again in the last loop iterations of a process."""

    async def scene() -> None:
        discovery = await Discovery().start()
        watch = watch_of(discovery.port, [], [])
        watch.start()
        await discovery.wait_for_calls(1)
        watch.stop()
        await asyncio.sleep(0.05)
        others = asyncio.all_tasks()
        watch.start()
        assert asyncio.all_tasks() == others

    asyncio.run(scene())
