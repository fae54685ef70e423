"""The end of a call on discovery, where what it was to bring is still owed: moved, silent, reset."""

from __future__ import annotations

import asyncio
import json
from itertools import pairwise
from typing import Any

import pytest

from cloverrouter.interface import EndpointState
from cloverrouter.lab.peers import Discovery, ok, read_message
from cloverrouter.membership.watching import Asking, asking_pushed
from cloverrouter.proxy.config import HostList, UnixClock
from cloverrouter.proxy.discovery import ARRIVES_S, PUSHED_PAUSE_S, Watch
from tests.test_upstream import until


def entry(name: str, state: str) -> dict[str, Any]:
    return {"id": name, "addr": "127.0.0.1:9", "state": state}


def watch_of(port: int, lists: list[HostList], failures: list[int], pushed: bool = False) -> Watch:
    return Watch(("127.0.0.1", port), UnixClock(), pushed, lists.append, lambda: failures.append(1))


def states(found: HostList) -> dict[str, EndpointState]:
    return {e.listed.name: e.listed.state for e in found.entries}


def test_connection_that_comes_up_as_the_watch_moves_is_not_the_next_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The former call still runs for a step: its connection is to the former address."""

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
                watch.move(("127.0.0.1", new.port))  # in the step in which it is up
            return streams

        monkeypatch.setattr(asyncio, "open_connection", open_connection)
        watch.start()
        await new.asked(1)
        await until(lambda: lists)
        assert [states(found) for found in lists] == [{"h": EndpointState.DRAINING}]
        assert not old.calls
        assert not failures  # of the former place, at the new one
        watch.stop()

    asyncio.run(scene())


def test_answer_from_the_former_address_is_not_taken_for_the_new_ones() -> None:
    async def scene() -> None:
        old, new = await Discovery().start(), await Discovery().start()
        old.entries["h"], new.entries["h"] = entry("h", "active"), entry("h", "leaving")
        lists: list[HostList] = []
        watch = watch_of(old.port, lists, [])
        watch.start()
        await old.asked(1)
        await until(lambda: lists)
        await old.asked(2)  # the watch is out
        await old.change(entry("h", "active"))  # its answer is in our socket before the loop's next step
        watch.move(("127.0.0.1", new.port))
        await new.asked(2)
        assert states(lists[-1]) == {"h": EndpointState.DRAINING} and len(lists) == 2
        watch.stop()

    asyncio.run(scene())


@pytest.mark.parametrize("grace_s", [1.0, 2.0])
def test_on_paper_a_silent_agent_costs_less_than_a_drains_grace(grace_s: float) -> None:
    """From the worst moment: a call has just gone out as the agent fell silent, or as it came back."""
    asking = asking_pushed(grace_s)
    asking.version = 1
    open_s = asking.question().hold_s + asking.question().grace_s
    asking.failed()
    silent_s = asking.question().hold_s + asking.question().grace_s
    # 50 ms is what the protocol gives each time limit on sockets.
    assert open_s + 2 * ARRIVES_S + PUSHED_PAUSE_S <= grace_s + 0.05
    assert silent_s + 2 * ARRIVES_S + PUSHED_PAUSE_S <= grace_s


def test_agent_that_was_silent_for_long_is_asked_as_often_as_before() -> None:
    """What it gets at discovery's return counts as told at once, whenever it was last asked in vain."""

    async def scene() -> None:
        asked_s: list[float] = []
        loop = asyncio.get_running_loop()
        back = False

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    await read_message(reader)
                    asked_s.append(loop.time())
                    if back:
                        told = {"version": 2, "full": False, "servers": [entry("h", "leaving")]}
                        writer.write(ok(json.dumps(told).encode()))
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
        assert max(waits) < 1.5, waits  # 0.55 s on a machine of its own
        back = True
        await until(lambda: lists)
        assert states(lists[0]) == {"h": EndpointState.DRAINING}
        watch.stop()
        server.close()

    asyncio.run(scene())


def test_whole_answer_ahead_of_a_reset_is_believed() -> None:
    async def scene() -> None:
        told = {"version": 2, "full": False, "servers": [entry("h", "leaving")]}

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(ok(json.dumps(told).encode()))
            writer.transport.abort()  # what was written is in the socket by now

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
@pytest.mark.parametrize("spoilt", [{"addr": "a.name:1"}, {"weight": "much"}, {"id": 5}, {"state": "odd"}])
def test_entry_that_can_not_be_read_costs_no_drain_beside_it(
    version: int | None, spoilt: dict[str, Any]
) -> None:
    """Half a list is not applied, but what it says of servers to be left is heard; the whole is asked for."""

    async def scene() -> None:
        discovery = await Discovery().start()
        servers = [{**entry("odd", "active"), **spoilt}, entry("h", "leaving"), entry("new", "active")]
        told = {"version": 2, "full": version is None, "servers": servers}
        discovery.broken = [ok(json.dumps(told).encode())]
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
        await discovery.asked(2)
        assert discovery.calls[1] == "/v1/servers"
        watch.stop()

    asyncio.run(scene())


@pytest.mark.parametrize("moved", [False, True])
def test_answer_that_is_written_as_its_call_is_given_up_is_heard(moved: bool) -> None:
    """What discovery has written counts as told; the next call waits its turn there, for longer than a grace.

    Given up for its time, or because the watch moves; the next call, wherever it is made, stays unanswered.
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
        watch.asking = Asking(hold_s=60.0 if moved else 0.1, grace_most_s=0.1)
        watch.resume(1)
        watch.start()
        await until(lambda: writers)
        if moved:
            watch.move(("127.0.0.1", port))
        else:
            await until(lambda: failures)
            watch.start()
        await until(lambda: len(writers) >= 2)
        servers = [entry("h", "leaving"), entry("new", "active")]
        told = {"version": 2, "full": False, "servers": servers}
        writers[0].write(ok(json.dumps(told).encode()))
        await until(lambda: lists)
        heard = {"h": EndpointState.DRAINING}  # of a former address no more than that
        assert states(lists[0]) == (heard if moved else {**heard, "new": EndpointState.READY})
        watch.stop()
        await asyncio.sleep(0.05)
        assert not watch._late
        server.close()

    asyncio.run(scene())


def test_watch_that_has_ended_asks_no_more_whoever_wants_it_to() -> None:
    """The decisions ask for a list in the last steps of a process, as the loop is being closed."""

    async def scene() -> None:
        discovery = await Discovery().start()
        watch = watch_of(discovery.port, [], [])
        watch.start()
        await discovery.asked(1)
        watch.stop()
        await asyncio.sleep(0.05)
        others = asyncio.all_tasks()
        watch.start()
        assert asyncio.all_tasks() == others

    asyncio.run(scene())
