"""What the sockets tell of a server's being there: rules, decisions, sockets, and whole fleets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from cloverrouter.decide import TRIAL_MS
from cloverrouter.interface import (
    AttemptEnded,
    Belief,
    EndpointState,
    ListedEndpoint,
    ListKind,
    Log,
    Outcome,
    RequestArrived,
    Send,
    Sign,
    SignSeen,
)
from cloverrouter.lab.chance import random_scenario
from cloverrouter.lab.peers import Host, answer_ok
from cloverrouter.lab.scenario import build, load, plain
from cloverrouter.lab.simulation import Simulation, simulate
from cloverrouter.membership.evidence import (
    FIRST_GAP_MS,
    FIRST_PART,
    GAP_PER_PROXY_MS,
    LAPSE_MS,
    LONGEST_GAP_MS,
    TOGETHER,
    TOGETHER_MS,
    Ends,
    Evidence,
    Fleet,
)
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.values import replace
from cloverrouter.view import believed
from tests.driver import SETTINGS, Driver, delta, endpoint, full
from tests.test_upstream import FakeCall, until

REFUSED, UNANSWERED, SILENT, HUNG_UP = Sign.REFUSED, Sign.UNANSWERED, Sign.SILENT, Sign.HUNG_UP
PRESENT, SUSPECT, ABSENT, UNKNOWN = Belief.PRESENT, Belief.SUSPECT, Belief.ABSENT, Belief.UNKNOWN


# Rules


@pytest.mark.parametrize(
    ("signs", "others_ms", "belief"),
    [
        ([], 0, UNKNOWN),
        ([(REFUSED, 90, 100)], 0, ABSENT),  # its machine says so, whoever else is heard
        ([(REFUSED, 90, 100), (UNANSWERED, 95, 105)], 0, ABSENT),  # the weightier sign stands
        ([(UNANSWERED, 90, 100)], 50, UNKNOWN),  # nobody is heard since: our own network, perhaps
        ([(UNANSWERED, 90, 100)], 110, SUSPECT),
        ([(HUNG_UP, 100, 100)], 50, UNKNOWN),
        ([(HUNG_UP, 100, 100)], 110, SUSPECT),
        ([(UNANSWERED, 90, 100), (UNANSWERED, 95, 105)], 110, SUSPECT),  # of one burst
        ([(UNANSWERED, 90, 100), (UNANSWERED, 150, 200)], 210, ABSENT),
        ([(REFUSED, 90, 100), (UNANSWERED, 150, 200)], 210, ABSENT),
        ([(SILENT, 50, 100)], 110, UNKNOWN),  # it may have been a costly one
        ([(SILENT, 50, 100), (SILENT, 60, 110)], 120, SUSPECT),
        ([(SILENT, 50, 100), (SILENT, 150, 200)], 210, ABSENT),
        ([(SILENT, 50, 100), (UNANSWERED, 90, 105)], 210, SUSPECT),
        ([(SILENT, 50, 100), (SILENT, 60, 110)], 90, UNKNOWN),
    ],
)
def test_what_signs_say(signs: list[tuple[Sign, float, float]], others_ms: float, belief: Belief) -> None:
    fleet = Fleet()
    evidence = Evidence(fleet)
    for sign, sent_ms, now_ms in signs:
        stood = evidence.stands
        assert evidence.saw(sign, sent_ms, now_ms, 0.0) is (evidence.stands and not stood)
    fleet.heard_ms = others_ms
    assert evidence.belief(250.0) is belief
    assert evidence.doubted(250.0) is (belief in (SUSPECT, ABSENT))
    assert evidence.reason(250.0)
    fleet.all_doubted = True  # with all of them in doubt, none is
    assert not evidence.doubted(250.0)
    fleet.all_doubted = False
    assert evidence.heard(260.0) is bool(signs)
    assert evidence.belief(260.0) is PRESENT


@pytest.mark.parametrize(
    ("ends", "ended"),
    [
        ([(0, 2), (1, 1), (2, 0)], True),
        ([(0, 1), (1, 0)], False),  # two may end by themselves
        ([(0, 3), (1, 2), (2, 1)], False),  # one is left: its process is there
        ([(0, 2), (100, 1), (200, 0)], False),  # one by one
    ],
)
def test_connections_that_end_at_one_moment_are_a_processs_end(
    ends: list[tuple[float, int]], ended: bool
) -> None:
    together = Ends()
    assert [together.add(now_ms, left) for now_ms, left in ends][-1] is ended


def test_a_doubt_lapses_only_where_discovery_goes_on_listing_it() -> None:
    fleet = Fleet(heard_ms=200.0)
    evidence = Evidence(fleet)
    evidence.saw(UNANSWERED, 90.0, 100.0, 0.0)
    later_ms = 101.0 + LAPSE_MS
    assert evidence.doubted(later_ms)  # it may be silent, and not have told
    fleet.told_ms = later_ms
    assert not evidence.doubted(later_ms)


@pytest.mark.parametrize("proxies", [1, 5000])
def test_trials_come_one_at_a_time_and_ever_more_rarely(proxies: int) -> None:
    evidence, now_ms, gaps = Evidence(Fleet(proxies)), 1000.0, []
    evidence.saw(REFUSED, 990.0, now_ms, 1.0)
    for _ in range(20):
        assert not evidence.due(evidence.trial_ms - 1)
        gaps.append(evidence.trial_ms - now_ms)
        now_ms = evidence.trial_ms
        assert evidence.due(now_ms)
        evidence.trying = 7
        assert not evidence.due(now_ms)
        evidence.trying = None
        evidence.saw(REFUSED, now_ms, now_ms + 1, 1.0)
        now_ms += 1
    longest_ms = max(LONGEST_GAP_MS, proxies * GAP_PER_PROXY_MS)
    first_ms = max(FIRST_GAP_MS, FIRST_PART * longest_ms)
    assert gaps[0] == pytest.approx(first_ms) and gaps == sorted(gaps)
    assert gaps[-1] == pytest.approx(longest_ms)
    assert evidence.heard(now_ms) and evidence.gap_ms == first_ms


# Decisions


def only(driver: Driver, name: str) -> Any:
    return next(e for e in believed(driver.balancer, driver.now_ms).endpoints if e.name == name)


def doubt(driver: Driver, name: str, sign: Sign = REFUSED) -> list[Any]:
    return driver.tell(SignSeen(name, sign))


def test_only_one_request_that_may_be_repeated_tries_a_doubted_server() -> None:
    driver = Driver()
    driver.serve(6)
    doubt(driver, "s1")
    assert only(driver, "s1").belief is ABSENT and not only(driver, "s1").healthy
    ordinary = [driver.request(name)[1][0] for name in ("unsafe", "safe") * 4]
    assert all(isinstance(a, Send) and a.endpoint != "s1" and not a.fresh for a in ordinary)
    for action in ordinary:
        driver.end(action.request_id, Outcome.OK)  # type: ignore[union-attr]
    driver.wait(FIRST_GAP_MS)
    unsafe = driver.request("unsafe")[1][0]  # it may come to nothing there, and has no second attempt
    assert isinstance(unsafe, Send) and unsafe.endpoint != "s1"
    trial, actions = driver.request()
    assert isinstance(actions[0], Send) and (actions[0].endpoint, actions[0].fresh) == ("s1", True)
    rest = [driver.request()[0] for _ in range(3)]
    assert all(driver.sent[each][0] != "s1" for each in rest)
    for each in rest:
        driver.end(each, Outcome.OK)
    # It finds nobody: it never ran, and goes elsewhere.
    driver.tell(AttemptEnded(trial, 0, Outcome.CONNECT_FAILED, 1.0, sign=REFUSED))
    driver.wait(400)
    assert driver.sent[trial][0] == "s1" and driver.sent[trial][1] != "s1"


def test_a_trial_leaves_time_and_tokens_for_the_way_elsewhere() -> None:
    driver = Driver()
    driver.serve(6)
    doubt(driver, "s1")
    driver.wait(FIRST_GAP_MS)
    driver.last_id += 1
    sent = driver.tell(RequestArrived(driver.last_id, "safe", driver.now_ms + 300))
    assert isinstance(sent[0], Send) and sent[0].endpoint != "s1"
    driver.balancer.budget.tokens = 15.0
    assert driver.request()[1][0].endpoint != "s1"  # type: ignore[union-attr]
    driver.balancer.budget.tokens = 100.0
    assert driver.request()[1][0].endpoint == "s1"  # type: ignore[union-attr]


def test_a_server_that_slow_answers_others_is_not_doubted() -> None:
    """A time-out speaks against its server only if nothing came from there meanwhile."""
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
        assert driver.balancer.membership.endpoints["s1"].evidence.against == (0 if answers else 1)


def test_evidence_against_all_leaves_the_fleet_as_it_is() -> None:
    driver = Driver()
    driver.serve(6)
    for name in ("s1", "s2", "s3"):
        doubt(driver, name, UNANSWERED)
    assert {driver.request("unsafe")[1][0].endpoint for _ in range(12)} == {"s1", "s2", "s3"}  # type: ignore[union-attr]
    assert {only(driver, name).belief for name in ("s1", "s2", "s3")} == {UNKNOWN}


def test_a_trial_has_a_little_time_to_connect_and_nobody_answers() -> None:
    driver = Driver()
    driver.serve(6)
    driver.wait(10)
    doubt(driver, "s1", SILENT)
    assert only(driver, "s1").healthy  # one request alone leaves nobody out
    doubt(driver, "s1", SILENT)
    driver.balancer.membership.fleet.heard_ms = driver.now_ms + 1
    driver.wait(2 * FIRST_GAP_MS)
    (trial,) = driver.request("safe")[1]
    assert isinstance(trial, Send) and trial.endpoint == "s1" and trial.fresh
    assert trial.begin_within_ms == TRIAL_MS  # what is left of its time is for the way elsewhere
    driver.wait(TRIAL_MS)
    driver.tell(AttemptEnded(trial.request_id, 0, Outcome.NOT_SENT, TRIAL_MS))
    assert only(driver, "s1").belief is ABSENT
    assert only(driver, "s1").evidence.startswith("did not answer a connection")


def test_a_crowd_tries_an_ended_server_by_the_credit_of_cold_ones_only() -> None:
    settings = replace(SETTINGS, proxies=400)
    for ends in (False, True):
        driver = Driver(settings, endpoints=[endpoint(f"s{i}") for i in range(1, 4)])
        driver.serve(6)
        doubt(driver, "s1", HUNG_UP if ends else UNANSWERED)
        driver.balancer.membership.endpoints["s1"].cold_credit = 0.0
        driver.balancer.membership.endpoints["s1"].cold_credit_ms = driver.now_ms
        driver.balancer.membership.fleet.heard_ms = driver.now_ms + 1
        sent = [a for a in driver.request()[1] if isinstance(a, Send)]
        assert any(a.endpoint == "s1" for a in sent) is not ends


@pytest.mark.parametrize("answered_meanwhile", [False, True])
def test_after_a_fault_of_our_own_network_one_answer_speaks_against_nobody(answered_meanwhile: bool) -> None:
    driver = Driver(endpoints=[endpoint(f"s{i}") for i in range(1, 6)])
    driver.serve(12)
    fleet = driver.balancer.membership.fleet
    for name in ("s1", "s2", "s3"):
        driver.wait(50)
        doubt(driver, name, UNANSWERED)
        if answered_meanwhile:
            fleet.heard_ms = driver.now_ms + 1
        driver.wait(10)
    while driver.sent[(back := driver.request("unsafe")[0])][0] not in ("s4", "s5"):
        pass
    driver.end(back, Outcome.OK, 10)
    beliefs = {only(driver, name).belief for name in ("s1", "s2", "s3")}
    assert beliefs == ({SUSPECT} if answered_meanwhile else {PRESENT})


def test_one_that_falls_silent_beside_others_is_not_excused_with_them() -> None:
    """Two are known to be gone; that a third is, since the last answer, is no fault of the network."""
    driver = Driver(endpoints=[endpoint(f"s{i}") for i in range(1, 6)])
    driver.serve(12)
    fleet = driver.balancer.membership.fleet
    for name in ("s1", "s2"):
        doubt(driver, name, UNANSWERED)
        driver.wait(10)
        fleet.heard_ms = driver.now_ms
    driver.wait(10)
    doubt(driver, "s3", UNANSWERED)
    driver.wait(10)
    while driver.sent[(back := driver.request("unsafe")[0])][0] not in ("s4", "s5"):
        pass
    driver.end(back, Outcome.OK, 10)
    assert {only(driver, name).belief for name in ("s1", "s2", "s3")} == {SUSPECT}


def test_a_server_that_ended_unheard_of_comes_back_cold() -> None:
    driver = Driver()
    driver.serve(6)
    assert only(driver, "s1").warmth == 1
    said = doubt(driver, "s1", HUNG_UP)
    assert any(isinstance(a, Log) and "s1" in a.text for a in said)
    assert only(driver, "s1").warmth == pytest.approx(SETTINGS.safety.cold_share)
    driver.wait(5000)
    driver.tell(SignSeen("s1", Sign.ACCEPTED))
    assert only(driver, "s1").warmth == pytest.approx(
        SETTINGS.safety.cold_share
    )  # from now on, not from its end
    # Discovery tells of it anew: it knows which process that is.
    driver.tell(full(*(endpoint(name) for name in ("s1", "s2", "s3"))))
    assert only(driver, "s1").warmth < 1  # a whole list repeats what it had, however old
    driver.tell(delta(endpoint("s1")))
    assert only(driver, "s1").warmth == 1


def test_evidence_never_overrules_what_was_told() -> None:
    driver = Driver()
    driver.serve(6)
    doubt(driver, "s1")
    driver.tell(delta(endpoint("s1", state=EndpointState.DRAINING)))
    driver.tell(SignSeen("s1", Sign.ACCEPTED))
    driver.wait(10_000)
    assert all(driver.request()[1][0].endpoint != "s1" for _ in range(8))  # type: ignore[union-attr]
    driver.tell(SignSeen("nobody", REFUSED))  # a server that is not listed: nothing to believe


def test_a_new_process_bears_nothing_of_the_old_ones_doubt() -> None:
    driver = Driver()
    driver.serve(6)
    doubt(driver, "s1")
    driver.tell(delta(endpoint("s1", started_ms=driver.now_ms)))
    assert only(driver, "s1").belief is UNKNOWN and only(driver, "s1").doubted_ms == 0


# Sockets


def test_a_refused_connection_is_told_from_one_that_does_not_come_up() -> None:
    async def scene() -> None:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))  # bound, and nobody listens
            upstream = Upstream(8, 60_000, 1000)
            ends: list[Outcome] = []
            exchange = upstream.send(
                ("h", closed.getsockname()), FakeCall(), 2000, lambda outcome, _: ends.append(outcome)
            )
            await until(lambda: ends)
        assert ends == [Outcome.CONNECT_FAILED] and exchange.sign is REFUSED

    asyncio.run(scene())


def test_a_connection_that_is_reset_as_it_comes_up_is_no_sign(monkeypatch: pytest.MonkeyPatch) -> None:
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
        assert ends == [Outcome.CONNECT_FAILED] and exchange.sign is None

    asyncio.run(scene())


async def sent(upstream: Upstream, name: Any, count: int, on_open: Callable[[], None] | None = None) -> None:
    """So many attempts at once, and their ends."""
    ends: list[Outcome] = []
    for _ in range(count):
        upstream.send(name, FakeCall(), 2000, lambda outcome, _: ends.append(outcome), None, on_open)
    await until(lambda: len(ends) == count)


def test_a_trial_goes_out_on_a_new_connection_and_tells_when_it_is_up() -> None:
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


@pytest.mark.parametrize("count", [TOGETHER - 1, TOGETHER])
def test_a_host_that_ends_all_its_connections_has_ended(count: int) -> None:
    async def scene() -> None:
        writers = []

        async def respond(seen: Any, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await asyncio.sleep(0.05)
            await answer_ok(seen, writer)

        host = await Host("h").start()
        host.respond = respond
        upstream, name = Upstream(8, 60_000, 1000), ("h", ("127.0.0.1", host.port))
        signs: list[tuple[str, Sign]] = []
        upstream.on_sign = lambda who, sign: signs.append((who, sign))
        for ended_by in ("host, all but one", "us", "host"):
            upstream.keep_only({name})
            await sent(upstream, name, count)
            if ended_by == "us":
                for connection in list(upstream.connections):
                    connection.abort()
            else:
                for writer in writers[-count:][1 if ended_by != "host" else 0 :]:
                    writer.transport.abort()
            await asyncio.sleep(2 * TOGETHER_MS / 1000)
            assert ended_by == "host" or not signs
            upstream.keep_only(set())
            await asyncio.sleep(2 * TOGETHER_MS / 1000)
        assert signs == ([("h", HUNG_UP)] if count >= TOGETHER else [])  # fewer may end by themselves

    asyncio.run(scene())


@pytest.mark.parametrize("proxies", [3, 5000])
def test_a_newcomer_is_connected_to_ahead_and_found_out_if_it_is_not_there(proxies: int) -> None:
    async def scene() -> None:
        here, crashes = await Host("h").start(), list[BaseException]()
        upstream = Upstream(8, 60_000, 1000)
        node = Node(replace(SETTINGS, proxies=proxies), 1, upstream, lambda: None, crashes.append)
        upstream.on_sign = node.seen
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            addresses = {"old": here.port, "here": here.port, "gone": closed.getsockname()[1]}
            entries = {
                name: HostEntry(ListedEndpoint(name), ("127.0.0.1", port)) for name, port in addresses.items()
            }
            node.listed(ListKind.FULL, HostList(1, True, (entries["old"],)))
            await asyncio.sleep(0.05)
            assert not upstream.open  # what the first list names has long been there
            node.listed(ListKind.DELTA, HostList(2, False, (entries["here"], entries["gone"])))

            def doubted() -> list[str]:
                return [e.name for e in node.view().endpoints if e.doubted]

            if proxies == 3:
                await until(lambda: upstream.open == 1 and doubted() == ["gone"])
            else:  # one each of so many would be a flood
                await asyncio.sleep(0.1)
                assert not upstream.open and not doubted()
        assert not crashes

    asyncio.run(scene())


# Whole fleets, in simulated time


def fleet(**fault: Any) -> dict[str, Any]:
    told = plain(load("rolling-release"))
    return {**told, "seconds": 14.0, "fault": [{"at_s": 4.0, "count": 1, **fault}]}


def test_twenty_attempts_out_on_a_machine_that_vanishes_and_returns() -> None:
    """It is written to for little more than a second, and takes work again soon after it is back."""
    told = fleet(kind="vanish", for_s=4.0)
    told["office"][0] |= {"rate": 500, "unequal": 0.0}
    told["proxies"] = {"count": 2}
    simulation = Simulation(build(told), 3)
    written: list[tuple[float, str]] = []
    noted = simulation.monitors.sent

    def note(now_s: float, proxy: str, number: int, server: str, group: str) -> None:
        written.append((now_s, server))
        noted(now_s, proxy, number, server, group)

    simulation.monitors.sent = note  # type: ignore[method-assign]
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


def test_a_process_that_restarts_before_discovery_hears_is_not_pushed_over() -> None:
    """Seeds on which a server is, where its end is taken from nothing but discovery."""
    for seed in (50336, 50470, 50484):
        assert not simulate(random_scenario(seed), seed).broken
