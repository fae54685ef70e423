"""The real proxy process under SIGSTOP and SIGCONT, judged by what clients and servers observe."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Sequence

import pytest

from cloverrouter.lab.fair_loop import fair_event_loop
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
from cloverrouter.lab.stops import ClientRequest, run_with_pauses
from cloverrouter.lab.stops import RunRecord as Run
from tests.standins.appliance import running_appliance

SLACK_S = 0.25  # tolerance for a busy machine
# The test process itself generates the load and the stops and runs the servers. If it was paused for longer
# than `SLACK_S`, the stop had another length, the load came in one burst, and the servers answered late.
MAX_RUNS = 3
CHECK_INTERVAL_S = 0.02
Stops = Sequence[tuple[float, float]]


async def measure_own_pause(scene: Awaitable[Run]) -> tuple[Run, float]:
    """Return the result of `scene`, and the longest pause of the test process meanwhile, in seconds."""
    loop, longest_s = asyncio.get_running_loop(), 0.0

    async def measure() -> None:
        nonlocal longest_s
        while True:
            due_s = loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            longest_s = max(longest_s, loop.time() - due_s)

    measuring = loop.create_task(measure())
    seen = await scene
    await asyncio.sleep(CHECK_INTERVAL_S)
    measuring.cancel()
    return seen, longest_s


def run_without_own_pause(scene: Callable[[], Awaitable[Run]]) -> Run:
    """Return a run in which the test process was not paused; repeat it up to `MAX_RUNS` times otherwise."""
    pauses_s: list[float] = []
    for _ in range(MAX_RUNS):
        with asyncio.Runner(loop_factory=fair_event_loop) as runner:
            seen, pause_s = runner.run(measure_own_pause(scene()))
        if pause_s <= SLACK_S:
            return seen
        # Must not happen even if the test process was paused.
        assert not seen.figures()["twice"], f"{seen.figures()}\n{seen.repeats_report()}"
        pauses_s.append(round(pause_s, 2))
    pytest.fail(f"no valid run: the test process itself was paused in each, for {pauses_s} s")


async def pause(proxy: Proxy, for_s: float) -> None:
    proxy.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    proxy.signal(signal.SIGCONT)


@pytest.mark.parametrize(
    ("stops", "rate", "over"),
    [
        ([(0.5, 0.05)], 100, False),
        ([(0.5, 0.5)], 100, False),
        ([(0.5, 1.5)], 30, True),
        ([(0.5, 3.0)], 100, True),  # more connections are queued than the descriptor limit allows
        ([(0.5, 8.0)], 100, True),
        ([(0.1, 0.4)] * 10, 50, False),
        ([(0.01, 0.09)] * 50, 30, False),  # a tenth of a core
    ],
    ids=["0.05 s", "0.5 s", "1.5 s", "3 s", "8 s", "ten of 0.4 s", "a tenth"],
)
def test_stopped_proxy_loses_no_request_and_runs_none_after_its_deadline(
    stops: Stops, rate: float, over: bool
) -> None:
    seen = run_without_own_pause(lambda: run_with_pauses(stops, rate, after_s=2.0, tolerance_s=SLACK_S))
    figures = seen.figures()
    assert figures["asked"] and figures["served"] and figures["after"], (
        f"no load was processed\n{load_lines(seen)}"
    )
    assert bool(figures["over"]) or not over
    assert not figures["resets"] and not figures["unanswered"], figures
    assert not figures["run late"] and not figures["twice"], f"{figures}\n{seen.repeats_report()}"
    if over:
        assert figures["refused"] >= 0.9 * figures["over"]  # answered at once, not forwarded
        assert "stood still" in seen.log
    else:
        assert not figures["refused"] and not figures["failed"], f"{figures}\n{load_lines(seen)}"


def load_lines(seen: Run) -> str:
    """Return the log lines on pauses of the process, and on connections that waited ahead of the balancer."""
    lines = seen.log.splitlines()
    return "\n".join(line for line in lines if "front_load" in line or "stood still" in line)


def test_run_with_a_pause_of_the_test_process_is_repeated_a_limited_number_of_times() -> None:
    own_pauses_s = [SLACK_S + 0.1, 0.0]
    runs: list[Run] = []

    async def scene() -> Run:
        await asyncio.sleep(CHECK_INTERVAL_S)
        time.sleep(own_pauses_s[len(runs)])
        runs.append(Run(1.0, SLACK_S))
        return runs[-1]

    assert run_without_own_pause(scene) is runs[1]
    runs.clear()
    own_pauses_s = [SLACK_S + 0.1] * MAX_RUNS
    with pytest.raises(pytest.fail.Exception, match="the test process itself was paused"):
        run_without_own_pause(scene)
    assert len(runs) == MAX_RUNS


@pytest.mark.parametrize(
    ("received_s", "server_answered_s", "repeat_answered_s", "counted_as"),
    [
        (0.95, 1.3, 1.12, "server late"),
        (0.95, None, 1.12, "twice"),  # nothing tells that its server was late
        (0.95, 0.965, 1.12, "twice"),  # the proxy had 35 ms for the answer
        (0.95, 0.965, 2.5, "twice"),  # only the repeat's server was late
        (1.05, 1.3, 1.12, "twice"),  # sent to the server after the client's timeout
    ],
)
def test_operation_that_ran_twice_is_the_servers_fault_only_if_it_answered_late(
    received_s: float, server_answered_s: float | None, repeat_answered_s: float, counted_as: str
) -> None:
    seen = Run(1.0, SLACK_S, pauses=[(-3.0, -0.5)])
    seen.requests = [ClientRequest("e1-0", "e1", True, 0.0), ClientRequest("e1-1", "e1", True, 1.0)]
    seen.account.received["s"] = [(received_s, "e1-0"), (1.1, "e1-1")]
    seen.account.answered_s["e1-1"] = repeat_answered_s
    if server_answered_s is not None:
        seen.account.answered_s["e1-0"] = server_answered_s
    figures = seen.figures()
    assert {name: figures[name] for name in ("twice", "server late", "kept back")} == {
        "twice": 0, "server late": 0, "kept back": 0, counted_as: 1
    }  # fmt: skip


@pytest.mark.parametrize("when", ["first", "then"])
def test_stop_around_sigterm_resets_no_connection(when: str) -> None:
    """It is stopped within the half second in which it still accepts, or gets SIGTERM while stopped."""
    stops = [(0.1, 1.5)] if when == "first" else [(0.5, 1.5)]
    signals = {"first": None, "then": None, when: signal.SIGTERM}
    seen = run_without_own_pause(
        lambda: run_with_pauses(
            stops,
            60,
            tolerance_s=SLACK_S,
            repeat=False,
            signal_before=signals["first"],
            signal_after=signals["then"],
        )
    )
    figures = seen.figures()
    assert figures["served"] and figures["refused"] and not figures["resets"], figures
    assert not figures["run late"] and not figures["twice"], f"{figures}\n{seen.repeats_report()}"


async def respond_after_delay(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.3)
    writer.write(ok())


def test_answer_that_arrived_in_a_pause_is_accepted() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0", respond_after_delay).start()], await Discovery().start()
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.send("/unsafe", timeout_ms=600)
            await hosts[0].wait(lambda: bool(hosts[0].seen))
            await pause(proxy, 1.2)  # its deadline passes meanwhile, and its answer is pending
            assert (await client.read()).status == 200

    asyncio.run(scene())


def test_pause_does_not_count_against_the_timeouts_of_clients() -> None:
    """3 s exceed all timeouts for a partially sent request."""

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
            await pause(proxy, 3.0)
            await asyncio.sleep(0.4)  # its timers have run
            in_head.writer.write(b"Content-Length: 0\r\n\r\n")
            in_body.writer.write(body[100_000:])
            idle.send("/keyed")
            for client in (in_head, in_body, idle):
                assert (await client.read()).status == 200

    asyncio.run(scene())


def test_unresponsive_server_is_detected_and_others_are_not_suspected() -> None:
    """One server stops answering while the proxy is paused; the others must not be suspected."""

    async def scene() -> None:
        hosts = [await Host(f"h{i}", respond_after_delay).start() for i in range(4)]
        discovery = await Discovery().start()
        async with running(discovery, hosts) as proxy:
            clients = [await proxy.client() for _ in range(12)]
            for client in clients:
                client.send("/unsafe", timeout_ms=500)
            await asyncio.sleep(0.1)
            hosts[0].respond = never
            await pause(proxy, 1.5)
            for client in clients:
                assert (await client.read()).status in (200, 502, 503)
            until, served = time.monotonic() + 20.0, 0
            # Until three consecutive rounds send no request to the unresponsive server.
            while served < 3 and time.monotonic() < until:
                before = len(hosts[0].seen)
                answers = await asyncio.gather(*(c.ask("/unsafe", timeout_ms=900) for c in clients))
                well = all(answer.status == 200 for answer in answers)
                served = served + 1 if well and len(hosts[0].seen) == before else 0
            assert served == 3, "the unresponsive server still gets requests"

    asyncio.run(scene())


# Emulates a suspended machine and a change of the wall clock: the clock that includes suspension jumps by
# 3 s, the wall clock goes back by an hour.
SUSPEND_PROGRAM = """
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


def test_suspension_counts_as_elapsed_time_and_a_wall_clock_change_does_not() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0", respond_after_delay).start()], await Discovery().start()
        async with running(discovery, hosts, command=[sys.executable, "-c", SUSPEND_PROGRAM]) as proxy:
            client, slow = await proxy.client(), await proxy.client()
            slow.send("/unsafe", timeout_ms=2500)
            await hosts[0].wait(lambda: len(hosts[0].seen) == 1)
            proxy.signal(signal.SIGSTOP)
            client.send("/unsafe", timeout_ms=1000)
            proxy.signal(signal.SIGUSR1)
            await asyncio.sleep(0.1)
            proxy.signal(signal.SIGCONT)
            # Both deadlines have passed, by the clock that includes suspension; only one of the requests ran.
            assert (await slow.read()).status in (200, 502)
            assert (await client.read()).status == 503
            assert len(hosts[0].seen) == 1
            assert (await client.ask("/unsafe")).status == 200  # it goes on with its list of servers

    asyncio.run(scene())


def test_pause_does_not_make_discovery_count_as_lost() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0").start()], await Discovery().start()
        async with running(discovery, hosts) as proxy:
            await discovery.wait_for_calls(1)
            await pause(proxy, 6.0)  # longer than the timeout of a call
            await discovery.change({**hosts[0].entry(), "weight": 2.0})
            client = await proxy.client()
            assert (await client.ask("/keyed")).status == 200
            await discovery.wait_for_calls(2)
            assert "discovery lost" not in proxy.log()

    asyncio.run(scene())


def test_idle_connections_closed_in_a_pause_do_not_signal_that_a_server_ended() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0", respond_after_delay).start()], await Discovery().start()
        async with running(discovery, hosts) as proxy:
            clients = [await proxy.client() for _ in range(5)]
            assert [m.status for m in await asyncio.gather(*(c.ask("/keyed") for c in clients))] == [200] * 5
            assert len(hosts[0].open) >= 3
            proxy.signal(signal.SIGSTOP)
            for writer in list(hosts[0].open.values()):  # one by one, as on an idle timeout
                writer.close()
                await asyncio.sleep(0.1)
            proxy.signal(signal.SIGCONT)
            hosts[0].respond = answer_ok
            assert (await clients[0].ask("/keyed")).status == 200
            assert "ended all its connections" not in proxy.log()

    asyncio.run(scene())


def test_pause_is_reported_to_operators() -> None:
    async def scene() -> None:
        hosts = [await Host("h0").start()]
        async with running_appliance(hosts, state=False) as (box, proxy, _):
            line = await box.connect()
            assert (await line.result("status"))["standing"]["times"] == 0
            await pause(proxy, 1.3)
            status = await line.result("status")
            assert status["standing"]["last"]["s"] >= 1.2 and status["standing"]["last"]["cause"] == "stopped"
            assert [text for text in status["alarms"] if text.startswith("stood still 1.")]
            code, text, _ = await box.ctl("status")
            assert code == 0 and "stood still 1 times, 1." in text and "(stopped)" in text
            events = (await line.result("events"))["events"]
            assert [event for event in events if event["kind"] == "standing"]

    asyncio.run(scene())


def test_processes_of_an_upgrade_are_stopped_in_turn() -> None:
    """Both accept from one listening socket: while one is stopped, the other serves all connections."""

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
                for stopped in (old, new):
                    stopped.signal(signal.SIGSTOP)
                    answers = []
                    for _ in range(20):
                        client = await old.client()
                        answers.append((await client.ask("/unsafe", timeout_ms=2000)).status)
                        client.writer.close()
                    stopped.signal(signal.SIGCONT)
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


async def reject_first(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Reject the first request; its retry is due some 100 ms later."""
    if len(REJECTED_IDS) < 1:
        REJECTED_IDS.append(seen.message.headers["x-request-id"])
        writer.write(b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
    else:
        writer.write(ok())


REJECTED_IDS: list[str] = []


def test_retry_that_fell_due_in_a_pause_is_sent_if_time_is_left() -> None:
    async def scene() -> None:
        REJECTED_IDS.clear()
        hosts = [await Host(name, reject_first).start() for name in ("h0", "h1")]
        discovery = await Discovery().start()

        async def wait_until_rejected() -> None:
            async with asyncio.timeout(LONG_S):
                while not REJECTED_IDS:
                    await asyncio.sleep(0.001)
            await asyncio.sleep(0.03)  # the proxy has read the rejection, and waits to retry

        async with running(discovery, hosts) as proxy:
            client, other = await proxy.client(), await proxy.client()
            client.send("/keyed", timeout_ms=2900)
            await wait_until_rejected()
            await pause(proxy, 0.5)
            assert (await client.read()).status == 200 and sum(len(host.seen) for host in hosts) == 2
            REJECTED_IDS.clear()
            other.send("/keyed", timeout_ms=700)  # without time left it is not sent
            await wait_until_rejected()
            await pause(proxy, 1.5)
            assert (await other.read()).status == 503 and sum(len(host.seen) for host in hosts) == 3

    asyncio.run(scene())


SHORT_STALL_PROGRAM = """
import sys
from cloverrouter.proxy import client_connection, server_connection
client_connection.STREAM_STALL_S = server_connection.STALL_TIMEOUT_S = client_connection.UNREAD_ANSWER_S = 1.0
from cloverrouter.proxy.service import main
sys.exit(main())
"""


def test_forwarded_answer_is_not_truncated_because_of_a_pause() -> None:
    """Once the server delays the second half, once the client does not read; the stall timeout is 1 s."""

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
            async with running(
                discovery, hosts, command=[sys.executable, "-c", SHORT_STALL_PROGRAM]
            ) as proxy:
                client = await proxy.client()
                client.send("/keyed")
                await hosts[0].wait(lambda hosts=hosts: bool(hosts[0].seen))  # type: ignore[misc]
                await asyncio.sleep(0.3)
                await pause(proxy, 2.0)
                await asyncio.sleep(0.4)  # its timers have run
                go_on.set()
                answer = await client.read()
                assert answer.status == 200 and len(answer.body) == size

    asyncio.run(scene())
