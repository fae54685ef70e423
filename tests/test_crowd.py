"""A crowd of proxies and what servers report: draws, pauses and the pooled limit; in simulated time."""

from __future__ import annotations

from math import ceil

import pytest

from cloverrouter.decide import COVER, CROWD_HALF_MS, HELD_MOST, LINKED_MS, Balancer, Flow
from cloverrouter.interface import (
    AttemptEnded,
    EndpointsListed,
    ListKind,
    Outcome,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)
from cloverrouter.values import replace
from tests.driver import SETTINGS, Driver, delta, endpoint

FIELDS = ("inflight", "queue", "latency_ms")
CROWD = replace(SETTINGS, proxies=int(COVER) + 1, report_fields=FIELDS)
FEW = replace(CROWD, proxies=int(COVER))
SERVICE_MS = 100.0


def reported(driver: Driver, server: str, held: float, service_ms: float = SERVICE_MS) -> None:
    """One request is served by `server`, with a report in its answer."""
    others = [e for e in driver.balancer.membership.ready if e.listed.name != server]
    for e in others:
        e.paused_until_ms += 1e9
    request, _ = driver.request()
    assert driver.sent[request] == [server]
    for e in others:
        e.paused_until_ms -= 1e9
    driver.wait(50)
    driver.tell(AttemptEnded(request, 0, Outcome.OK, 50, True, (held, max(0.0, held - 1), service_ms)))


def drawn(driver: Driver, count: int = 200) -> dict[str, int]:
    """Which servers get requests that are all served at once, without a report."""
    found: dict[str, int] = {}
    for _ in range(count):
        request, _ = driver.request()
        for name in driver.sent.get(request, ()):
            found[name] = found.get(name, 0) + 1
            driver.end(request, Outcome.OK, 50)
    return found


@pytest.mark.parametrize(("settings", "least", "most"), [(CROWD, 0, 0), (FEW, 20, 110)])
def test_draws_go_where_others_have_less(settings: Settings, least: int, most: int) -> None:
    """Danger: each of forty sees its own one attempt there, and a server gets forty."""
    driver = Driver(settings, [endpoint("idle"), endpoint("busy")])
    reported(driver, "idle", 0.0)
    reported(driver, "busy", HELD_MOST)
    assert least <= drawn(driver).get("busy", 0) <= most


def test_a_report_counts_less_as_it_ages() -> None:
    driver = Driver(CROWD, [endpoint("idle"), endpoint("busy"), endpoint("new")])
    for _ in range(8):
        reported(driver, "idle", 0.5)
    reported(driver, "busy", HELD_MOST)
    picker, busy = driver.balancer.picker, driver.balancer.membership.endpoints["busy"]
    idle = driver.balancer.membership.endpoints["idle"]

    def ratio() -> float:
        scores = [picker.score(driver.now_ms, e) / e.payoff for e in (busy, idle)]
        return scores[0] / scores[1]

    fresh = ratio()
    driver.wait(CROWD_HALF_MS)
    later = ratio()
    driver.wait(20 * CROWD_HALF_MS)
    assert fresh < later < ratio() == pytest.approx(1, abs=0.01)


@pytest.mark.parametrize(
    ("settings", "held", "pause_ms"),
    [
        (CROWD, HELD_MOST, 0.0),
        (CROWD, HELD_MOST + 2, 2 * SERVICE_MS),
        (CROWD, 1e6, CROWD.classes[0].deadline_ms / 2),  # beyond belief: no longer than this
        (FEW, HELD_MOST + 2, 0.0),
    ],
)
def test_what_a_server_holds_too_much_of_is_worked_off_first(
    settings: Settings, held: float, pause_ms: float
) -> None:
    driver = Driver(settings, [endpoint("s1"), endpoint("s2")])
    reported(driver, "s1", held)
    s1 = driver.balancer.membership.endpoints["s1"]
    assert max(0.0, s1.paused_until_ms - driver.now_ms) == pytest.approx(pause_ms)


@pytest.mark.parametrize(
    ("settings", "idle_ms", "least", "most"),
    [(CROWD, 100.0, 0.8, 1.0), (FEW, 100.0, 0.0, 0.6), (CROWD, 2 * LINKED_MS, 0.0, 0.6)],
)
def test_draws_keep_to_where_a_connection_is_free(
    settings: Settings, idle_ms: float, least: float, most: float
) -> None:
    """Danger: forty proxies that go round sixty servers open a connection for nearly every second request,
    and each server closes another one for it."""
    names, found = [f"s{i}" for i in range(9)], 0
    for seed in range(200):
        driver = Driver(settings, [endpoint(name) for name in names], seed)
        for name in names[:3]:
            reported(driver, name, 0.0)
        driver.wait(idle_ms)
        request, _ = driver.request()
        found += driver.sent[request][0] in names[:3]
    assert least <= found / 200 <= most


def test_as_many_connections_are_free_as_attempts_were_out_at_once() -> None:
    driver = Driver(CROWD, [endpoint("s1")])
    s1 = driver.balancer.membership.endpoints["s1"]
    requests = [driver.request()[0] for _ in range(3)]
    assert not s1.linked(driver.now_ms)  # all three are in use
    for request in requests:
        driver.end(request, Outcome.OK)
    for _ in range(3):
        assert s1.linked(driver.now_ms)
        driver.request()
    assert not s1.linked(driver.now_ms)


@pytest.mark.parametrize(("settings", "shrinks"), [(CROWD, True), (FEW, False)])
def test_a_full_server_gets_less_though_it_answers_quickly(settings: Settings, shrinks: bool) -> None:
    driver = Driver(settings, [endpoint("s1"), endpoint("s2")])
    for _ in range(5):
        reported(driver, "s1", 1.3 * HELD_MOST, service_ms=1.0)
        driver.wait(500)
    limits = {e.listed.name: e.limit for e in driver.balancer.membership.ready}
    assert (limits["s1"] < limits["s2"]) is shrinks


def test_a_weight_that_counts_no_cores_does_not_leave_them_idle() -> None:
    """Danger: servers of four cores, all told to weigh 1, would be kept to one request and a half each."""
    s1 = Driver(CROWD, [endpoint("s1")]).balancer.membership.endpoints["s1"]
    told = [
        s1.told(0.0, held, waiting, 100.0, 1000.0) for held, waiting in ((4.0, 0.0), (6.0, 2.0), (12.0, 8.0))
    ]
    assert told == [pytest.approx(1 / HELD_MOST), pytest.approx(1.0), pytest.approx(2.0)]
    # What waits tells of fewer cores, too: the weight was too large, or some of them hang.
    assert s1.told(0.0, 3.0, 1.0, 100.0, 1000.0) == pytest.approx(1.0)


def test_a_held_request_goes_out_when_the_pause_ends() -> None:
    """Nothing else happens at a proxy that asks little: it must wake by itself."""
    driver = Driver(CROWD, [endpoint("s1")])
    reported(driver, "s1", HELD_MOST + 2)
    request, actions = driver.request()
    assert not actions and request not in driver.sent
    actions = driver.wait(2 * SERVICE_MS)
    assert [a.endpoint for a in actions if isinstance(a, Send)] == ["s1"]


def test_one_that_carries_a_tenth_of_the_load_has_its_part_within_seconds() -> None:
    """Danger: with even parts and steps of a sixteenth it refuses nine in ten for minutes, while the others
    leave theirs unused."""
    found, answers = Flow(replace(SETTINGS, proxies=40)), 0
    found.resize(240.0)
    while found.limit < 5 * found.start:
        answers += 1
        found.out = ceil(found.limit)
        assert not found.has_room(float(answers))  # it wants more
        found.ended(float(answers), 200.0, 0.3)
    assert answers < 600  # six rounds of a hundred


@pytest.mark.parametrize(("held", "grows"), [(0.2 * HELD_MOST, True), (3 * HELD_MOST, False)])
def test_full_servers_shrink_the_pooled_limit_though_answers_are_quick(held: float, grows: bool) -> None:
    """Danger: by the time that answers are late, servers are long in the jam that this is to prevent."""
    driver = Driver(CROWD, [endpoint(f"s{i}") for i in range(40)])
    flow = driver.balancer.flow
    flow.limit = before = 2.0
    for _ in range(40):
        requests = [driver.request()[0] for _ in range(3)]
        driver.wait(20)
        for request in requests:
            if request in driver.sent and not driver.balancer.requests[request].done:
                report = (held, max(0.0, held - 1), 1.0)
                driver.tell(AttemptEnded(request, 0, Outcome.OK, 20, True, report))
    assert (flow.limit > before) is grows


class Turns:
    """A discovery that works through calls in turn, `per_s` of them, and turns away what would wait for over
    two seconds; so do what it turns away and what waits too long take a part of a call's work."""

    def __init__(self, per_s: float, turned_away: float = 0.5) -> None:
        self.each_ms, self.turned_away = 1000 / per_s, turned_away
        self.free_ms = 0.0

    def asked(self, now_ms: float) -> bool:
        self.free_ms = max(self.free_ms, now_ms)
        answered = self.free_ms - now_ms <= 2000
        self.free_ms += self.each_ms * (1 if answered else self.turned_away)
        return answered


@pytest.mark.parametrize(("proxies", "per_s"), [(40, 7.5), (40, 15.0), (20, 7.5)])
def test_a_fleet_that_starts_at_once_has_its_list_within_seconds(proxies: int, per_s: float) -> None:
    """Danger: all ask at the same instant; those turned away ask again together, and are never answered."""
    settings = replace(CROWD, proxies=proxies, subscribe=True)
    service, told_ms = Turns(per_s), [float("inf")] * proxies
    fleet = [Balancer(settings, seed) for seed in range(proxies)]
    due: list[tuple[float, int, int | None]] = [(0.0, i, None) for i in range(proxies)]
    while due and (first := min(due))[0] < 20_000:
        due.remove(first)
        now_ms, i, token = first
        known = EndpointsListed(ListKind.RESTORED, (endpoint("s1"),))
        actions = fleet[i].handle(now_ms, [known if token is None else TimerFired(token)])
        for action in actions:
            if not isinstance(action, Subscribe):
                continue
            if service.asked(now_ms):
                told_ms[i] = now_ms
            else:
                actions += fleet[i].handle(now_ms, [EndpointsListed(ListKind.FAILED)])
        due += [(now_ms + a.delay_ms, i, a.token) for a in actions if isinstance(a, SetTimer)]
    late = sorted(told_ms)
    assert late[int(0.9 * proxies)] <= 6000 and late[-1] <= 10_000


def test_few_ask_at_once_and_whoever_knows_nobody_does() -> None:
    known = EndpointsListed(ListKind.RESTORED, (endpoint("s1"),))
    for settings, events in ((FEW, [known]), (CROWD, [])):
        balancer = Balancer(replace(settings, subscribe=True), 1)
        assert Subscribe() in balancer.handle(0.0, events)


@pytest.mark.parametrize(("settings", "least"), [(CROWD, 0.8), (FEW, 0.0)])
def test_servers_that_are_new_to_all_get_what_they_may_be_sent(settings: Settings, least: float) -> None:
    """Danger: six in ten of a fleet are new at once, with connections to none of them; marked down for that
    and for being cold they idle, and the others are driven into their slow state."""
    old, new, span_ms, gap_ms = range(6), range(6), 3000.0, 50.0
    got = allowed = 0.0
    for seed in range(12):
        driver = Driver(settings, [endpoint(f"old{i}") for i in old], seed)
        driver.serve(60, latency_ms=gap_ms)
        began_ms = driver.now_ms
        driver.tell(delta(*(endpoint(f"new{i}", started_ms=began_ms) for i in new)))
        before = len(driver.sent)
        driver.serve(int(span_ms / gap_ms), latency_ms=gap_ms)
        got += sum(sent[0].startswith("new") for sent in list(driver.sent.values())[before:])
        # Of a warm server's part, that which a cold one has of its capacity in the mean over the span.
        safety = settings.safety
        share = safety.cold_share + (1 - safety.cold_share) * span_ms / 2 / safety.cold_ms
        allowed += len(new) * share * (span_ms / gap_ms / len(old))
    # What they show to do raises it (`cold_rate`), up to five sixths of the push that they must not get.
    assert least <= got / allowed <= 5 / 6 * safety.push_multiple
