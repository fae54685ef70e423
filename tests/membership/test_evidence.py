"""Liveness estimates from connection signals: rules, decisions, sockets and whole fleets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from cloverrouter.decide import TRIAL_MS
from cloverrouter.interface import (
    AttemptEnded,
    ConnectionSignal,
    ConnectionSignalObserved,
    EndpointState,
    ListedEndpoint,
    ListKind,
    Liveness,
    Log,
    Outcome,
    RequestArrived,
    Send,
)
from cloverrouter.lab.chance import random_scenario
from cloverrouter.lab.peers import Host, answer_ok
from cloverrouter.lab.scenario import build, load, plain
from cloverrouter.lab.simulation import Simulation, simulate
from cloverrouter.membership.evidence import (
    CLOSE_WINDOW_MS,
    EXPIRY_MS,
    FIRST_TRIAL_INTERVAL_MS,
    FIRST_TRIAL_INTERVAL_SHARE,
    MAX_TRIAL_INTERVAL_MS,
    MIN_SIMULTANEOUS_CLOSES,
    TRIAL_INTERVAL_PER_PROXY_MS,
    ConnectionCloses,
    FleetState,
    LivenessTracker,
)
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.values import replace
from cloverrouter.view import balancer_view
from tests.driver import SETTINGS, Driver, delta, endpoint, full
from tests.test_upstream import FakeCall, until

REFUSED, CONNECT_TIMEOUT, UNRESPONSIVE, CLOSED_BY_PEER = (
    ConnectionSignal.REFUSED,
    ConnectionSignal.CONNECT_TIMEOUT,
    ConnectionSignal.UNRESPONSIVE,
    ConnectionSignal.CLOSED_BY_PEER,
)
PRESENT, SUSPECT, ABSENT, UNKNOWN = Liveness.PRESENT, Liveness.SUSPECT, Liveness.ABSENT, Liveness.UNKNOWN


# Rules


@pytest.mark.parametrize(
    ("signals", "others_ms", "expected"),
    [
        ([], 0, UNKNOWN),
        ([(REFUSED, 90, 100)], 0, ABSENT),  # its machine refused, whatever other servers answer
        ([(REFUSED, 90, 100), (CONNECT_TIMEOUT, 95, 105)], 0, ABSENT),  # the signal of greater weight counts
        (
            [(CONNECT_TIMEOUT, 90, 100)],
            50,
            UNKNOWN,
        ),  # no response since: perhaps a fault of the proxy's network
        ([(CONNECT_TIMEOUT, 90, 100)], 110, SUSPECT),
        ([(CLOSED_BY_PEER, 100, 100)], 50, UNKNOWN),
        ([(CLOSED_BY_PEER, 100, 100)], 110, SUSPECT),
        ([(CONNECT_TIMEOUT, 90, 100), (CONNECT_TIMEOUT, 95, 105)], 110, SUSPECT),  # one burst
        ([(CONNECT_TIMEOUT, 90, 100), (CONNECT_TIMEOUT, 150, 200)], 210, ABSENT),
        ([(REFUSED, 90, 100), (CONNECT_TIMEOUT, 150, 200)], 210, ABSENT),
        ([(UNRESPONSIVE, 50, 100)], 110, UNKNOWN),  # it may have been an expensive request
        ([(UNRESPONSIVE, 50, 100), (UNRESPONSIVE, 60, 110)], 120, SUSPECT),
        ([(UNRESPONSIVE, 50, 100), (UNRESPONSIVE, 150, 200)], 210, ABSENT),
        ([(UNRESPONSIVE, 50, 100), (CONNECT_TIMEOUT, 90, 105)], 210, SUSPECT),
        ([(UNRESPONSIVE, 50, 100), (UNRESPONSIVE, 60, 110)], 90, UNKNOWN),
    ],
)
def test_liveness_is_estimated_from_signals(
    signals: list[tuple[ConnectionSignal, float, float]], others_ms: float, expected: Liveness
) -> None:
    fleet = FleetState()
    tracker = LivenessTracker(fleet)
    for signal, sent_ms, now_ms in signals:
        had_enough = tracker.has_enough_signals
        assert tracker.record_signal(signal, sent_ms, now_ms, 0.0) is (
            tracker.has_enough_signals and not had_enough
        )
    fleet.last_response_ms = others_ms
    assert tracker.estimate(250.0) is expected
    assert tracker.suspected(250.0) is (expected in (SUSPECT, ABSENT))
    assert tracker.reason(250.0)
    fleet.all_suspected = True  # with all servers suspected, none is
    assert not tracker.suspected(250.0)
    fleet.all_suspected = False
    assert tracker.record_response(260.0) is bool(signals)
    assert tracker.estimate(260.0) is PRESENT


@pytest.mark.parametrize(
    ("ends", "ended"),
    [
        ([(0, 2), (1, 1), (2, 0)], True),
        ([(0, 1), (1, 0)], False),  # two may close independently
        ([(0, 3), (1, 2), (2, 1)], False),  # one connection remains: its process is alive
        ([(0, 2), (100, 1), (200, 0)], False),  # one by one
    ],
)
def test_connections_that_close_together_mean_that_the_process_ended(
    ends: list[tuple[float, int]], ended: bool
) -> None:
    closes = ConnectionCloses()
    assert [closes.record_close(now_ms, still_open) for now_ms, still_open in ends][-1] is ended


def test_a_suspicion_expires_only_while_discovery_answers() -> None:
    fleet = FleetState(last_response_ms=200.0)
    tracker = LivenessTracker(fleet)
    tracker.record_signal(CONNECT_TIMEOUT, 90.0, 100.0, 0.0)
    later_ms = 101.0 + EXPIRY_MS
    assert tracker.suspected(later_ms)  # discovery may be unresponsive
    fleet.last_discovery_ms = later_ms
    assert not tracker.suspected(later_ms)


@pytest.mark.parametrize("proxies", [1, 5000])
def test_trials_run_one_at_a_time_at_growing_intervals(proxies: int) -> None:
    tracker, now_ms, gaps = LivenessTracker(FleetState(proxies)), 1000.0, []
    tracker.record_signal(REFUSED, 990.0, now_ms, 1.0)
    for _ in range(20):
        assert not tracker.trial_due(tracker.next_trial_ms - 1)
        gaps.append(tracker.next_trial_ms - now_ms)
        now_ms = tracker.next_trial_ms
        assert tracker.trial_due(now_ms)
        tracker.trial_request_id = 7
        assert not tracker.trial_due(now_ms)
        tracker.trial_request_id = None
        tracker.record_signal(REFUSED, now_ms, now_ms + 1, 1.0)
        now_ms += 1
    longest_ms = max(MAX_TRIAL_INTERVAL_MS, proxies * TRIAL_INTERVAL_PER_PROXY_MS)
    first_ms = max(FIRST_TRIAL_INTERVAL_MS, FIRST_TRIAL_INTERVAL_SHARE * longest_ms)
    assert gaps[0] == pytest.approx(first_ms) and gaps == sorted(gaps)
    assert gaps[-1] == pytest.approx(longest_ms)
    assert tracker.record_response(now_ms) and tracker.trial_interval_ms == first_ms


# Decisions


def only(driver: Driver, name: str) -> Any:
    return next(e for e in balancer_view(driver.balancer, driver.now_ms).endpoints if e.name == name)


def observe(driver: Driver, name: str, signal: ConnectionSignal = REFUSED) -> list[Any]:
    return driver.dispatch(ConnectionSignalObserved(name, signal))


def test_only_one_retryable_request_is_sent_to_a_suspected_server() -> None:
    driver = Driver()
    driver.serve(6)
    observe(driver, "s1")
    assert only(driver, "s1").liveness is ABSENT and not only(driver, "s1").healthy
    ordinary = [driver.request(name)[1][0] for name in ("unsafe", "safe") * 4]
    assert all(isinstance(a, Send) and a.endpoint != "s1" and not a.new_connection for a in ordinary)
    for action in ordinary:
        driver.end(action.request_id, Outcome.OK)  # type: ignore[union-attr]
    driver.wait(FIRST_TRIAL_INTERVAL_MS)
    unsafe = driver.request("unsafe")[1][0]  # it may fail there and cannot be retried
    assert isinstance(unsafe, Send) and unsafe.endpoint != "s1"
    trial, actions = driver.request()
    assert isinstance(actions[0], Send) and (actions[0].endpoint, actions[0].new_connection) == ("s1", True)
    rest = [driver.request()[0] for _ in range(3)]
    assert all(driver.sent[each][0] != "s1" for each in rest)
    for each in rest:
        driver.end(each, Outcome.OK)
    # The connection is refused: the request did not run and is sent to another server.
    driver.dispatch(AttemptEnded(trial, 0, Outcome.CONNECT_FAILED, 1.0, signal=REFUSED))
    driver.wait(400)
    assert driver.sent[trial][0] == "s1" and driver.sent[trial][1] != "s1"


def test_a_trial_needs_time_and_tokens_for_a_retry_elsewhere() -> None:
    driver = Driver()
    driver.serve(6)
    observe(driver, "s1")
    driver.wait(FIRST_TRIAL_INTERVAL_MS)
    driver.last_id += 1
    sent = driver.dispatch(RequestArrived(driver.last_id, "safe", driver.now_ms + 300))
    assert isinstance(sent[0], Send) and sent[0].endpoint != "s1"
    driver.balancer.budget.tokens = 15.0
    assert driver.request()[1][0].endpoint != "s1"  # type: ignore[union-attr]
    driver.balancer.budget.tokens = 100.0
    assert driver.request()[1][0].endpoint == "s1"  # type: ignore[union-attr]


def test_a_slow_server_that_answers_other_requests_is_not_suspected() -> None:
    """A timeout is a signal against its server only if the server answered nothing meanwhile."""
    for answers in (True, False):
        driver = Driver(endpoints=[endpoint("s1")])
        driver.serve(4)
        slow, _ = driver.request("unsafe")
        other, _ = driver.request("unsafe")
        driver.wait(300)
        if answers:
            driver.end(other, Outcome.OK, 300)
        driver.wait(200)
        driver.end(slow, Outcome.TIMEOUT, 500)
        assert driver.balancer.membership.endpoints["s1"].liveness.signal_bursts == (0 if answers else 1)


def test_signals_against_all_servers_exclude_none() -> None:
    driver = Driver()
    driver.serve(6)
    for name in ("s1", "s2", "s3"):
        observe(driver, name, CONNECT_TIMEOUT)
    assert {driver.request("unsafe")[1][0].endpoint for _ in range(12)} == {"s1", "s2", "s3"}  # type: ignore[union-attr]
    assert {only(driver, name).liveness for name in ("s1", "s2", "s3")} == {UNKNOWN}


def test_a_trial_has_a_short_connect_timeout_and_fails() -> None:
    driver = Driver()
    driver.serve(6)
    driver.wait(10)
    observe(driver, "s1", UNRESPONSIVE)
    assert only(driver, "s1").healthy  # a single request excludes no server
    observe(driver, "s1", UNRESPONSIVE)
    driver.balancer.membership.fleet.last_response_ms = driver.now_ms + 1
    driver.wait(2 * FIRST_TRIAL_INTERVAL_MS)
    (trial,) = driver.request("safe")[1]
    assert isinstance(trial, Send) and trial.endpoint == "s1" and trial.new_connection
    assert trial.begin_within_ms == TRIAL_MS  # the rest of its time is for a retry elsewhere
    driver.wait(TRIAL_MS)
    driver.dispatch(AttemptEnded(trial.request_id, 0, Outcome.NOT_SENT, TRIAL_MS))
    assert only(driver, "s1").liveness is ABSENT
    assert only(driver, "s1").liveness_reason.startswith("did not answer a connection")


def test_many_proxies_send_trials_to_an_ended_server_only_within_its_cold_credit() -> None:
    settings = replace(SETTINGS, proxies=400)
    for ends in (False, True):
        driver = Driver(settings, endpoints=[endpoint(f"s{i}") for i in range(1, 4)])
        driver.serve(6)
        observe(driver, "s1", CLOSED_BY_PEER if ends else CONNECT_TIMEOUT)
        driver.balancer.membership.endpoints["s1"].cold_credit = 0.0
        driver.balancer.membership.endpoints["s1"].cold_credit_at_ms = driver.now_ms
        driver.balancer.membership.fleet.last_response_ms = driver.now_ms + 1
        sent = [a for a in driver.request()[1] if isinstance(a, Send)]
        assert any(a.endpoint == "s1" for a in sent) is not ends


@pytest.mark.parametrize("answered_meanwhile", [False, True])
def test_after_a_fault_of_the_proxys_network_one_answer_makes_no_server_suspected(
    answered_meanwhile: bool,
) -> None:
    driver = Driver(endpoints=[endpoint(f"s{i}") for i in range(1, 6)])
    driver.serve(12)
    fleet = driver.balancer.membership.fleet
    for name in ("s1", "s2", "s3"):
        driver.wait(50)
        observe(driver, name, CONNECT_TIMEOUT)
        if answered_meanwhile:
            fleet.last_response_ms = driver.now_ms + 1
        driver.wait(10)
    while driver.sent[(back := driver.request("unsafe")[0])][0] not in ("s4", "s5"):
        pass
    driver.end(back, Outcome.OK, 10)
    estimates = {only(driver, name).liveness for name in ("s1", "s2", "s3")}
    assert estimates == ({SUSPECT} if answered_meanwhile else {PRESENT})


def test_a_server_that_fails_after_others_is_suspected_like_them() -> None:
    """Two servers are known to be down; a third that fails after the last answer is no network fault."""
    driver = Driver(endpoints=[endpoint(f"s{i}") for i in range(1, 6)])
    driver.serve(12)
    fleet = driver.balancer.membership.fleet
    for name in ("s1", "s2"):
        observe(driver, name, CONNECT_TIMEOUT)
        driver.wait(10)
        fleet.last_response_ms = driver.now_ms
    driver.wait(10)
    observe(driver, "s3", CONNECT_TIMEOUT)
    driver.wait(10)
    while driver.sent[(back := driver.request("unsafe")[0])][0] not in ("s4", "s5"):
        pass
    driver.end(back, Outcome.OK, 10)
    assert {only(driver, name).liveness for name in ("s1", "s2", "s3")} == {SUSPECT}


def test_a_server_whose_process_ended_is_cold_when_it_returns() -> None:
    driver = Driver()
    driver.serve(6)
    assert only(driver, "s1").warmth == 1
    actions = observe(driver, "s1", CLOSED_BY_PEER)
    assert any(isinstance(a, Log) and "s1" in a.text for a in actions)
    assert only(driver, "s1").warmth == pytest.approx(SETTINGS.safety.cold_share)
    driver.wait(5000)
    driver.dispatch(ConnectionSignalObserved("s1", ConnectionSignal.ACCEPTED))
    assert only(driver, "s1").warmth == pytest.approx(
        SETTINGS.safety.cold_share
    )  # warms from now on, not from the end of the old process
    # Discovery lists it anew and knows which process that is.
    driver.dispatch(full(*(endpoint(name) for name in ("s1", "s2", "s3"))))
    assert only(driver, "s1").warmth < 1  # a full list repeats known entries, however old
    driver.dispatch(delta(endpoint("s1")))
    assert only(driver, "s1").warmth == 1


def test_signals_never_override_discovery() -> None:
    driver = Driver()
    driver.serve(6)
    observe(driver, "s1")
    driver.dispatch(delta(endpoint("s1", state=EndpointState.DRAINING)))
    driver.dispatch(ConnectionSignalObserved("s1", ConnectionSignal.ACCEPTED))
    driver.wait(10_000)
    assert all(driver.request()[1][0].endpoint != "s1" for _ in range(8))  # type: ignore[union-attr]
    driver.dispatch(ConnectionSignalObserved("nobody", REFUSED))  # a server that is not listed is ignored


def test_a_new_process_does_not_inherit_the_suspicion() -> None:
    driver = Driver()
    driver.serve(6)
    observe(driver, "s1")
    driver.dispatch(delta(endpoint("s1", started_ms=driver.now_ms)))
    assert only(driver, "s1").liveness is UNKNOWN and only(driver, "s1").suspected_ms == 0


# Sockets


def test_a_refused_connection_is_reported_as_refused() -> None:
    async def scene() -> None:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))  # bound, but not listening
            upstream = Upstream(8, 60_000, 1000)
            ends: list[Outcome] = []
            exchange = upstream.send(
                ("h", closed.getsockname()), FakeCall(), 2000, lambda outcome, _: ends.append(outcome)
            )
            await until(lambda: ends)
        assert ends == [Outcome.CONNECT_FAILED] and exchange.signal is REFUSED

    asyncio.run(scene())


def test_a_connection_reset_while_connecting_gives_no_signal(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        async def broken(sock: socket.socket, address: object) -> None:
            raise ConnectionResetError

        upstream = Upstream(8, 60_000, 1000)
        monkeypatch.setattr(upstream.loop, "sock_connect", broken)
        ends: list[Outcome] = []
        exchange = upstream.send(
            ("h", ("127.0.0.1", 9)), FakeCall(), 2000, lambda outcome, _: ends.append(outcome)
        )
        await until(lambda: ends)
        assert ends == [Outcome.CONNECT_FAILED] and exchange.signal is None

    asyncio.run(scene())


async def sent(upstream: Upstream, name: Any, count: int, on_open: Callable[[], None] | None = None) -> None:
    """Send `count` attempts at once and wait for their ends."""
    ends: list[Outcome] = []
    for _ in range(count):
        upstream.send(name, FakeCall(), 2000, lambda outcome, _: ends.append(outcome), None, on_open)
    await until(lambda: len(ends) == count)


def test_a_trial_uses_a_new_connection_and_reports_when_it_is_established() -> None:
    async def scene() -> None:
        host = await Host("h").start()
        upstream, name = Upstream(8, 60_000, 1000), ("h", ("127.0.0.1", host.port))
        upstream.keep_only({name})
        opened: list[int] = []
        for on_open in (None, None, lambda: opened.append(len(host.seen))):
            await sent(upstream, name, 1, on_open)
            await asyncio.sleep(0.02)
        assert opened == [2]  # before the host had seen the request
        assert len({seen.connection for seen in host.seen}) == 2

    asyncio.run(scene())


@pytest.mark.parametrize("count", [MIN_SIMULTANEOUS_CLOSES - 1, MIN_SIMULTANEOUS_CLOSES])
def test_a_host_that_closes_all_its_connections_is_reported_as_ended(count: int) -> None:
    async def scene() -> None:
        writers = []

        async def respond(seen: Any, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await asyncio.sleep(0.05)
            await answer_ok(seen, writer)

        host = await Host("h").start()
        host.respond = respond
        upstream, name = Upstream(8, 60_000, 1000), ("h", ("127.0.0.1", host.port))
        signals: list[tuple[str, ConnectionSignal]] = []
        upstream.on_signal = lambda server, signal: signals.append((server, signal))
        for ended_by in ("host, all but one", "us", "host"):
            upstream.keep_only({name})
            await sent(upstream, name, count)
            if ended_by == "us":
                for connection in list(upstream.connections):
                    connection.abort()
            else:
                for writer in writers[-count:][1 if ended_by != "host" else 0 :]:
                    writer.transport.abort()
            await asyncio.sleep(2 * CLOSE_WINDOW_MS / 1000)
            assert ended_by == "host" or not signals
            upstream.keep_only(set())
            await asyncio.sleep(2 * CLOSE_WINDOW_MS / 1000)
        assert signals == (
            [("h", CLOSED_BY_PEER)] if count >= MIN_SIMULTANEOUS_CLOSES else []
        )  # fewer may close independently

    asyncio.run(scene())


@pytest.mark.parametrize("proxies", [3, 5000])
def test_new_servers_are_connected_to_in_advance_and_suspected_if_down(proxies: int) -> None:
    async def scene() -> None:
        here, crashes = await Host("h").start(), list[BaseException]()
        upstream = Upstream(8, 60_000, 1000)
        node = Node(replace(SETTINGS, proxies=proxies), 1, upstream, lambda: None, crashes.append)
        upstream.on_signal = node.report_signal
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            addresses = {"old": here.port, "here": here.port, "gone": closed.getsockname()[1]}
            entries = {
                name: HostEntry(ListedEndpoint(name), ("127.0.0.1", port)) for name, port in addresses.items()
            }
            node.listed(ListKind.FULL, HostList(1, True, (entries["old"],)))
            await asyncio.sleep(0.05)
            assert not upstream.open  # servers of the first list have long been running
            node.listed(ListKind.DELTA, HostList(2, False, (entries["here"], entries["gone"])))

            def suspected() -> list[str]:
                return [e.name for e in node.view().endpoints if e.suspected]

            if proxies == 3:
                await until(lambda: upstream.open == 1 and suspected() == ["gone"])
            else:  # one connection each from many proxies would flood the server
                await asyncio.sleep(0.1)
                assert not upstream.open and not suspected()
        assert not crashes

    asyncio.run(scene())


# Whole fleets, in simulated time


def fleet(**fault: Any) -> dict[str, Any]:
    scenario = plain(load("rolling-release"))
    return {**scenario, "seconds": 14.0, "fault": [{"at_s": 4.0, "count": 1, **fault}]}


def test_a_machine_that_vanishes_with_attempts_in_flight_and_returns() -> None:
    """It is sent requests for little more than a second, and again soon after its return."""
    scenario = fleet(kind="vanish", for_s=4.0)
    scenario["office"][0] |= {"rate": 500, "unequal": 0.0}
    scenario["proxies"] = {"count": 2}
    simulation = Simulation(build(scenario), 3)
    written: list[tuple[float, str]] = []
    monitor_sent = simulation.monitors.sent

    def record_sent(now_s: float, proxy: str, number: int, server: str, group: str) -> None:
        written.append((now_s, server))
        monitor_sent(now_s, proxy, number, server, group)

    simulation.monitors.sent = record_sent  # type: ignore[method-assign]
    gone: list[str] = []
    simulation.engine.post(
        4.5, lambda: gone.extend(n for n, s in simulation.servers.items() if not s.reachable)
    )
    result = simulation.run()
    assert not result.broken
    at = [now_s for now_s, name in written if name == gone[0]]
    assert not [now_s for now_s in at if 5.5 < now_s < 8.0]
    assert len([now_s for now_s in at if 8.0 < now_s < 12.5]) > 20
    assert result.figures.worth > 0.99


def test_a_process_that_restarts_before_discovery_notices_is_not_overloaded() -> None:
    """Seeds on which a server is overloaded if the end of its process is known from discovery alone."""
    for seed in (50336, 50470, 50484):
        assert not simulate(random_scenario(seed), seed).broken
