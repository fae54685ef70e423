"""The real proxy, stopped by signals: what it does when it wakes, by what clients and servers saw."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Sequence

import pytest

from cloverrouter.lab.peers import (
    LONG_S,
    Discovery,
    Host,
    Proxy,
    Seen,
    answer_ok,
    never,
    ok,
    running,
)
from cloverrouter.lab.stops import Seen as Run
from cloverrouter.lab.stops import watch
from tests.standins.appliance import boxed

SLACK_S = 0.25  # that a busy machine may add
# Load, servers and stops are this process's: where it stood for longer than that itself, the stop was not the
# one that was meant, the load came in one burst, and the servers answered late.
PLAYS = 3
LOOK_S = 0.02
Stops = Sequence[tuple[float, float]]


async def standing(scene: Awaitable[Run]) -> tuple[Run, float]:
    """What comes of `scene`; and for how long this process stood still at most meanwhile, in seconds."""
    loop, most_s = asyncio.get_running_loop(), 0.0

    async def look() -> None:
        nonlocal most_s
        while True:
            due_s = loop.time() + LOOK_S
            await asyncio.sleep(LOOK_S)
            most_s = max(most_s, loop.time() - due_s)

    looking = loop.create_task(look())
    seen = await scene
    await asyncio.sleep(LOOK_S)
    looking.cancel()
    return seen, most_s


def played(scene: Callable[[], Awaitable[Run]]) -> Run:
    """A run in which this process did not stand itself; it is played again where it did."""
    stood: list[float] = []
    for _ in range(PLAYS):
        seen, stood_s = asyncio.run(standing(scene()))
        if stood_s <= SLACK_S:
            return seen
        assert not seen.figures()["twice"], "never, whoever stood still"
        stood.append(round(stood_s, 2))
    pytest.fail(f"no run shows anything: this process itself stood still in each, for {stood} s")


async def stand(proxy: Proxy, for_s: float) -> None:
    proxy.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    proxy.signal(signal.SIGCONT)


@pytest.mark.parametrize(
    ("stops", "rate", "over"),
    [
        ([(0.5, 0.05)], 100, False),
        ([(0.5, 0.5)], 100, False),
        ([(0.5, 1.5)], 30, True),
        ([(0.5, 3.0)], 100, True),  # more connections wait than the limit on descriptors lets in
        ([(0.5, 8.0)], 100, True),
        ([(0.1, 0.4)] * 10, 50, False),
        ([(0.01, 0.09)] * 50, 30, False),  # a tenth of a core
    ],
    ids=["0.05 s", "0.5 s", "1.5 s", "3 s", "8 s", "ten of 0.4 s", "a tenth"],
)
def test_stopped_proxy_loses_nothing_and_runs_nothing_after_its_time(
    stops: Stops, rate: float, over: bool
) -> None:
    seen = played(lambda: watch(stops, rate, after_s=2.0, slack_s=SLACK_S))
    figures = seen.figures()
    assert figures["asked"] and figures["served"] and figures["after"], f"it did nothing\n{load_of(seen)}"
    assert bool(figures["over"]) or not over
    assert not figures["resets"] and not figures["unanswered"], figures
    assert not figures["run late"] and not figures["twice"], figures
    if over:
        assert figures["refused"] >= 0.9 * figures["over"]  # answered at once, not sent on
        assert "stood still" in seen.log
    else:
        assert not figures["refused"] and not figures["failed"], f"{figures}\n{load_of(seen)}"


def load_of(seen: Run) -> str:
    """What the process says of its own pauses, and of what waited ahead of the decisions."""
    lines = seen.log.splitlines()
    return "\n".join(line for line in lines if "front_load" in line or "stood still" in line)


def test_run_in_which_this_process_stood_itself_is_played_again_and_not_for_ever() -> None:
    stands_s = [SLACK_S + 0.1, 0.0]
    runs: list[Run] = []

    async def scene() -> Run:
        await asyncio.sleep(LOOK_S)
        time.sleep(stands_s[len(runs)])
        runs.append(Run(1.0, SLACK_S))
        return runs[-1]

    assert played(scene) is runs[1]
    runs.clear()
    stands_s = [SLACK_S + 0.1] * PLAYS
    with pytest.raises(pytest.fail.Exception, match="this process itself stood still"):
        played(scene)
    assert len(runs) == PLAYS


@pytest.mark.parametrize("when", ["first", "then"])
def test_stop_round_sigterm_resets_nobody(when: str) -> None:
    """Stopped in the half second in which it still takes connections, or told to end while it stands."""
    stops = [(0.1, 1.5)] if when == "first" else [(0.5, 1.5)]
    told = {"first": None, "then": None, when: signal.SIGTERM}
    seen = played(
        lambda: watch(stops, 60, slack_s=SLACK_S, again=False, first=told["first"], then=told["then"])
    )
    figures = seen.figures()
    assert figures["served"] and figures["refused"] and not figures["resets"], figures
    assert not figures["run late"] and not figures["twice"], figures


async def later(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.3)
    writer.write(ok())


def test_answer_that_came_meanwhile_is_taken() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0", later).start()], await Discovery().start()
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.send("/unsafe", timeout_ms=600)
            await hosts[0].wait(lambda: bool(hosts[0].seen))
            await stand(proxy, 1.2)  # its time ends meanwhile, and its answer lies here
            assert (await client.read()).status == 200

    asyncio.run(scene())


def test_client_is_not_blamed_for_a_pause_that_was_ours() -> None:
    """3 s are past all that a half-sent request is given."""

    async def scene() -> None:
        hosts, discovery = [await Host("h0").start()], await Discovery().start()
        async with running(discovery, hosts) as proxy:
            in_head, in_body, idle = [await proxy.client() for _ in range(3)]
            assert (await idle.ask("/keyed")).status == 200
            in_head.writer.write(b"POST /unsafe HTTP/1.1\r\nX-Request-ID: head\r\n")
            body = bytes(300_000)
            start = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: body\r\nContent-Length: {len(body)}\r\n\r\n"
            in_body.writer.write(start.encode() + body[:100_000])
            await asyncio.sleep(0.3)
            await stand(proxy, 3.0)
            await asyncio.sleep(0.4)  # its timers have had their turn
            in_head.writer.write(b"Content-Length: 0\r\n\r\n")
            in_body.writer.write(body[100_000:])
            idle.send("/keyed")
            for client in (in_head, in_body, idle):
                assert (await client.read()).status == 200

    asyncio.run(scene())


def test_silent_server_is_still_found_and_the_others_are_not_blamed() -> None:
    """One goes silent while the proxy stands; none of the others is doubted for it."""

    async def scene() -> None:
        hosts = [await Host(f"h{i}", later).start() for i in range(4)]
        discovery = await Discovery().start()
        async with running(discovery, hosts) as proxy:
            clients = [await proxy.client() for _ in range(12)]
            for client in clients:
                client.send("/unsafe", timeout_ms=500)
            await asyncio.sleep(0.1)
            hosts[0].respond = never
            await stand(proxy, 1.5)
            for client in clients:
                assert (await client.read()).status in (200, 502, 503)
            until, served = time.monotonic() + 20.0, 0
            while served < 3 and time.monotonic() < until:  # rounds in a row in which nobody meets it
                before = len(hosts[0].seen)
                answers = await asyncio.gather(*(c.ask("/unsafe", timeout_ms=900) for c in clients))
                well = all(answer.status == 200 for answer in answers)
                served = served + 1 if well and len(hosts[0].seen) == before else 0
            assert served == 3, "it is asked for ever"

    asyncio.run(scene())


# What a suspended machine does to its clocks, and a wall clock that is set: the one that counts jumps by 3 s,
# the other goes back by an hour.
SUSPEND = """
import signal, sys, time
from cloverrouter import clock
from cloverrouter.proxy import config, wake, validity
ahead, real, wall = [0.0], clock.now_s, time.time
for module in (clock, config, wake, validity):
    module.now_s = lambda: real() + ahead[0]
def jump(*told):
    ahead[0] = 3.0
    time.time = lambda: wall() - 3600.0
signal.signal(signal.SIGUSR1, jump)
from cloverrouter.proxy.service import main
sys.exit(main())
"""


def test_suspended_machine_counts_and_a_wall_clock_does_not() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0", later).start()], await Discovery().start()
        async with running(discovery, hosts, command=[sys.executable, "-c", SUSPEND]) as proxy:
            client, slow = await proxy.client(), await proxy.client()
            slow.send("/unsafe", timeout_ms=2500)
            await hosts[0].wait(lambda: len(hosts[0].seen) == 1)
            proxy.signal(signal.SIGSTOP)
            client.send("/unsafe", timeout_ms=1000)
            proxy.signal(signal.SIGUSR1)
            await asyncio.sleep(0.1)
            proxy.signal(signal.SIGCONT)
            # Both clients' times are over by the clock that counts; one of the two has run, and says so.
            assert (await slow.read()).status in (200, 502)
            assert (await client.read()).status == 503
            assert len(hosts[0].seen) == 1
            assert (await client.ask("/unsafe")).status == 200  # it goes on, with the list that it had

    asyncio.run(scene())


def test_discovery_is_not_taken_to_be_silent() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0").start()], await Discovery().start()
        async with running(discovery, hosts) as proxy:
            await discovery.asked(1)
            await stand(proxy, 6.0)  # longer than a call may wait
            await discovery.change({**hosts[0].entry(), "weight": 2.0})
            client = await proxy.client()
            assert (await client.ask("/keyed")).status == 200
            await discovery.asked(2)
            assert "discovery lost" not in proxy.log()

    asyncio.run(scene())


def test_idle_connections_that_ended_meanwhile_are_no_sign_of_a_process() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0", later).start()], await Discovery().start()
        async with running(discovery, hosts) as proxy:
            clients = [await proxy.client() for _ in range(5)]
            assert [m.status for m in await asyncio.gather(*(c.ask("/keyed") for c in clients))] == [200] * 5
            assert len(hosts[0].open) >= 3
            proxy.signal(signal.SIGSTOP)
            for writer in list(hosts[0].open.values()):  # one by one, as idle ones are
                writer.close()
                await asyncio.sleep(0.1)
            proxy.signal(signal.SIGCONT)
            hosts[0].respond = answer_ok
            assert (await clients[0].ask("/keyed")).status == 200
            assert "ended all its connections" not in proxy.log()

    asyncio.run(scene())


def test_operators_are_told() -> None:
    async def scene() -> None:
        hosts = [await Host("h0").start()]
        async with boxed(hosts, state=False) as (box, proxy, _):
            line = await box.line()
            assert (await line.result("status"))["standing"]["times"] == 0
            await stand(proxy, 1.3)
            told = await line.result("status")
            assert told["standing"]["last"]["s"] >= 1.2 and told["standing"]["last"]["cause"] == "stopped"
            assert [text for text in told["alarms"] if text.startswith("stood still 1.")]
            code, text, _ = await box.ctl("status")
            assert code == 0 and "stood still 1 times, 1." in text and "(stopped)" in text
            events = (await line.result("events"))["events"]
            assert [event for event in events if event["kind"] == "standing"]

    asyncio.run(scene())


def test_two_processes_of_an_upgrade_stopped_in_turn() -> None:
    """Both take connections from one socket: what waits for the one that stands, the other serves."""

    async def scene() -> None:
        hosts, discovery = [await Host("h0").start()], await Discovery().start()
        listener = socket.create_server((f"127.{os.getpid() % 250 + 2}.7.9", 0), backlog=1024)
        host, port = listener.getsockname()
        environ = {"PROXY_INHERITED_FD": str(listener.fileno())}
        more = {"listen": f"{host}:{port}"}
        async with running(discovery, hosts, environ=environ, more=more, inherit=(listener.fileno(),)) as old:
            new = old.successor(environ)
            new.start()
            try:
                await new.logged("serves at")
                for standing in (old, new):
                    standing.signal(signal.SIGSTOP)
                    answers = []
                    for _ in range(20):
                        client = await old.client()
                        answers.append((await client.ask("/unsafe", timeout_ms=2000)).status)
                        client.writer.close()
                    standing.signal(signal.SIGCONT)
                    assert answers == [200] * 20
                old.signal(signal.SIGSTOP)
                old.signal(signal.SIGTERM)
                await asyncio.sleep(1.0)
                old.signal(signal.SIGCONT)
                assert await old.ended() == 0
                assert (await (await new.client()).ask("/unsafe")).status == 200
            finally:
                new.close()
                listener.close()

    asyncio.run(scene())


async def failing_once(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Turns the first request away; it is due again some 100 ms later."""
    if len(FAILED) < 1:
        FAILED.append(seen.message.headers["x-request-id"])
        writer.write(b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
    else:
        writer.write(ok())


FAILED: list[str] = []


def test_retry_that_fell_due_meanwhile_goes_out_in_the_time_that_is_left() -> None:
    async def scene() -> None:
        FAILED.clear()
        hosts = [await Host(name, failing_once).start() for name in ("h0", "h1")]
        discovery = await Discovery().start()

        async def turned_away() -> None:
            async with asyncio.timeout(LONG_S):
                while not FAILED:
                    await asyncio.sleep(0.001)
            await asyncio.sleep(0.03)  # the proxy has read it, and waits to try again

        async with running(discovery, hosts) as proxy:
            client, other = await proxy.client(), await proxy.client()
            client.send("/keyed", timeout_ms=2900)
            await turned_away()
            await stand(proxy, 0.5)
            assert (await client.read()).status == 200 and sum(len(host.seen) for host in hosts) == 2
            FAILED.clear()
            other.send("/keyed", timeout_ms=700)  # and where none is left it does not
            await turned_away()
            await stand(proxy, 1.5)
            assert (await other.read()).status == 503 and sum(len(host.seen) for host in hosts) == 3

    asyncio.run(scene())


SHORT = """
import sys
from cloverrouter.proxy import client_connection, server_connection
client_connection.STALL_S = server_connection.STALL_S = client_connection.UNREAD_S = 1.0
from cloverrouter.proxy.service import main
sys.exit(main())
"""


def test_answer_that_is_passed_on_is_not_cut_for_a_pause_that_was_ours() -> None:
    """One's server holds back the rest, the other's client does not read; 1 s is allowed for that."""

    async def scene() -> None:
        go_on = asyncio.Event()
        half = bytes(300_000)

        async def halves(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n" + half)
            await go_on.wait()
            writer.write(half)

        async def large(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(ok(bytes(8_000_000)))

        for respond, size in ((halves, 600_000), (large, 8_000_000)):
            hosts, discovery = [await Host("h0", respond).start()], await Discovery().start()
            async with running(discovery, hosts, command=[sys.executable, "-c", SHORT]) as proxy:
                client = await proxy.client()
                client.send("/keyed")
                await hosts[0].wait(lambda hosts=hosts: bool(hosts[0].seen))  # type: ignore[misc]
                await asyncio.sleep(0.3)
                await stand(proxy, 2.0)
                await asyncio.sleep(0.4)  # its timers have had their turn
                go_on.set()
                answer = await client.read()
                assert answer.status == 200 and len(answer.body) == size

    asyncio.run(scene())
