"""Many proxies per server, with load reports: draws, pauses and the pooled limit; in simulated time."""

from __future__ import annotations

from math import ceil

import pytest

from cloverrouter.decide import COVER, CROWD_HALF_MS, HELD_MOST, LINKED_MS, Balancer, ConcurrencyLimit
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
MANY_PROXIES = replace(SETTINGS, proxies=int(COVER) + 1, report_fields=FIELDS)
FEW_PROXIES = replace(MANY_PROXIES, proxies=int(COVER))
SERVICE_MS = 100.0


def serve_with_report(driver: Driver, server: str, in_service: float, service_ms: float = SERVICE_MS) -> None:
    """Have `server` serve one request, with a load report in its answer."""
    others = [e for e in driver.balancer.membership.ready if e.listed.name != server]
    for e in others:
        e.paused_until_ms += 1e9
    request, _ = driver.request()
    assert driver.sent[request] == [server]
    for e in others:
        e.paused_until_ms -= 1e9
    driver.wait(50)
    driver.dispatch(
        AttemptEnded(request, 0, Outcome.OK, 50, True, (in_service, max(0.0, in_service - 1), service_ms))
    )


def count_draws(driver: Driver, count: int = 200) -> dict[str, int]:
    """Return how many requests each server gets if all are served at once, without a report."""
    found: dict[str, int] = {}
    for _ in range(count):
        request, _ = driver.request()
        for name in driver.sent.get(request, ()):
            found[name] = found.get(name, 0) + 1
            driver.end(request, Outcome.OK, 50)
    return found


@pytest.mark.parametrize(("settings", "least", "most"), [(MANY_PROXIES, 0, 0), (FEW_PROXIES, 20, 110)])
def test_draws_prefer_servers_with_less_load_from_other_proxies(
    settings: Settings, least: int, most: int
) -> None:
    """Each of forty proxies sees only its own attempt, and a server would get forty."""
    driver = Driver(settings, [endpoint("idle"), endpoint("busy")])
    serve_with_report(driver, "idle", 0.0)
    serve_with_report(driver, "busy", HELD_MOST)
    assert least <= count_draws(driver).get("busy", 0) <= most


def test_a_report_counts_less_as_it_ages() -> None:
    driver = Driver(MANY_PROXIES, [endpoint("idle"), endpoint("busy"), endpoint("new")])
    for _ in range(8):
        serve_with_report(driver, "idle", 0.5)
    serve_with_report(driver, "busy", HELD_MOST)
    picker, busy = driver.balancer.picker, driver.balancer.membership.endpoints["busy"]
    idle = driver.balancer.membership.endpoints["idle"]

    def ratio() -> float:
        scores = [picker.score(driver.now_ms, e) / e.payoff for e in (busy, idle)]
        return scores[0] / scores[1]

    recent = ratio()
    driver.wait(CROWD_HALF_MS)
    later = ratio()
    driver.wait(20 * CROWD_HALF_MS)
    assert recent < later < ratio() == pytest.approx(1, abs=0.01)


@pytest.mark.parametrize(
    ("settings", "held", "pause_ms"),
    [
        (MANY_PROXIES, HELD_MOST, 0.0),
        (MANY_PROXIES, HELD_MOST + 2, 2 * SERVICE_MS),
        (MANY_PROXIES, 1e6, MANY_PROXIES.classes[0].deadline_ms / 2),  # implausible: no longer than this
        (FEW_PROXIES, HELD_MOST + 2, 0.0),
    ],
)
def test_an_overloaded_server_is_paused_until_its_excess_is_processed(
    settings: Settings, held: float, pause_ms: float
) -> None:
    driver = Driver(settings, [endpoint("s1"), endpoint("s2")])
    serve_with_report(driver, "s1", held)
    s1 = driver.balancer.membership.endpoints["s1"]
    assert max(0.0, s1.paused_until_ms - driver.now_ms) == pytest.approx(pause_ms)


@pytest.mark.parametrize(
    ("settings", "idle_ms", "least", "most"),
    [
        (MANY_PROXIES, 100.0, 0.8, 1.0),
        (FEW_PROXIES, 100.0, 0.0, 0.6),
        (MANY_PROXIES, 2 * LINKED_MS, 0.0, 0.6),
    ],
)
def test_draws_prefer_servers_with_a_free_connection(
    settings: Settings, idle_ms: float, least: float, most: float
) -> None:
    """Forty proxies that rotate over sixty servers would open a connection for nearly every second request,
    and each server would close another one for it."""
    names, found = [f"s{i}" for i in range(9)], 0
    for seed in range(200):
        driver = Driver(settings, [endpoint(name) for name in names], seed)
        for name in names[:3]:
            serve_with_report(driver, name, 0.0)
        driver.wait(idle_ms)
        request, _ = driver.request()
        found += driver.sent[request][0] in names[:3]
    assert least <= found / 200 <= most


def test_as_many_connections_are_free_as_attempts_were_in_flight_at_once() -> None:
    driver = Driver(MANY_PROXIES, [endpoint("s1")])
    s1 = driver.balancer.membership.endpoints["s1"]
    requests = [driver.request()[0] for _ in range(3)]
    assert not s1.has_free_connection(driver.now_ms)  # all three are in use
    for request in requests:
        driver.end(request, Outcome.OK)
    for _ in range(3):
        assert s1.has_free_connection(driver.now_ms)
        driver.request()
    assert not s1.has_free_connection(driver.now_ms)


@pytest.mark.parametrize(("settings", "shrinks"), [(MANY_PROXIES, True), (FEW_PROXIES, False)])
def test_limit_of_an_overloaded_server_shrinks_even_if_it_answers_quickly(
    settings: Settings, shrinks: bool
) -> None:
    driver = Driver(settings, [endpoint("s1"), endpoint("s2")])
    for _ in range(5):
        serve_with_report(driver, "s1", 1.3 * HELD_MOST, service_ms=1.0)
        driver.wait(500)
    limits = {e.listed.name: e.limit for e in driver.balancer.membership.ready}
    assert (limits["s1"] < limits["s2"]) is shrinks


def test_a_weight_other_than_the_core_count_does_not_leave_cores_idle() -> None:
    """Servers with four cores and a weight of 1 would otherwise be limited to 1.5 requests each."""
    s1 = Driver(MANY_PROXIES, [endpoint("s1")]).balancer.membership.endpoints["s1"]
    loads = [
        s1.record_load_report(0.0, in_service, queued, 100.0, 1000.0)
        for in_service, queued in ((4.0, 0.0), (6.0, 2.0), (12.0, 8.0))
    ]
    assert loads == [pytest.approx(1 / HELD_MOST), pytest.approx(1.0), pytest.approx(2.0)]
    # A queue also shows that there are fewer cores: the weight was too large, or some of them hang.
    assert s1.record_load_report(0.0, 3.0, 1.0, 100.0, 1000.0) == pytest.approx(1.0)


def test_a_queued_request_is_sent_when_the_pause_ends() -> None:
    """A proxy with little traffic gets no other event, so it must set a timer."""
    driver = Driver(MANY_PROXIES, [endpoint("s1")])
    serve_with_report(driver, "s1", HELD_MOST + 2)
    request, actions = driver.request()
    assert not actions and request not in driver.sent
    actions = driver.wait(2 * SERVICE_MS)
    assert [a.endpoint for a in actions if isinstance(a, Send)] == ["s1"]


def test_a_proxy_with_a_tenth_of_the_load_gets_its_share_within_seconds() -> None:
    """With even shares and steps of a sixteenth, it would refuse nine of ten requests for minutes, while the
    other proxies leave their shares unused."""
    limit, answers = ConcurrencyLimit(replace(SETTINGS, proxies=40)), 0
    limit.resize(240.0)
    while limit.limit < 5 * limit.initial_limit:
        answers += 1
        limit.in_flight = ceil(limit.limit)
        assert not limit.has_capacity(float(answers))  # more requests are waiting
        limit.record_end(float(answers), 200.0, 0.3)
    assert answers < 600  # six rounds of a hundred answers


@pytest.mark.parametrize(("held", "grows"), [(0.2 * HELD_MOST, True), (3 * HELD_MOST, False)])
def test_overloaded_servers_shrink_the_pooled_limit_even_if_answers_are_quick(
    held: float, grows: bool
) -> None:
    """When answers become late, servers have long been congested, which this is to prevent."""
    driver = Driver(MANY_PROXIES, [endpoint(f"s{i}") for i in range(40)])
    limit = driver.balancer.concurrency_limit
    limit.limit = before = 2.0
    for _ in range(40):
        requests = [driver.request()[0] for _ in range(3)]
        driver.wait(20)
        for request in requests:
            if request in driver.sent and not driver.balancer.requests[request].done:
                report = (held, max(0.0, held - 1), 1.0)
                driver.dispatch(AttemptEnded(request, 0, Outcome.OK, 20, True, report))
    assert (limit.limit > before) is grows


class QueueingDiscovery:
    """Discovery service that processes `per_s` calls a second in order.

    It rejects calls that would wait longer than two seconds. Calls that are rejected or time out cost part of
    the work of a call, too.
    """

    def __init__(self, per_s: float, rejection_cost: float = 0.5) -> None:
        self.per_call_ms, self.rejection_cost = 1000 / per_s, rejection_cost
        self.free_ms = 0.0

    def call(self, now_ms: float) -> bool:
        self.free_ms = max(self.free_ms, now_ms)
        answered = self.free_ms - now_ms <= 2000
        self.free_ms += self.per_call_ms * (1 if answered else self.rejection_cost)
        return answered


@pytest.mark.parametrize(("proxies", "per_s"), [(40, 7.5), (40, 15.0), (20, 7.5)])
def test_proxies_that_start_at_once_get_their_lists_within_seconds(proxies: int, per_s: float) -> None:
    """If all call at once, those rejected call again together, and would never be answered."""
    settings = replace(MANY_PROXIES, proxies=proxies, subscribe=True)
    service, listed_ms = QueueingDiscovery(per_s), [float("inf")] * proxies
    fleet = [Balancer(settings, seed) for seed in range(proxies)]
    due: list[tuple[float, int, int | None]] = [(0.0, i, None) for i in range(proxies)]
    while due and (next_due := min(due))[0] < 20_000:
        due.remove(next_due)
        now_ms, i, token = next_due
        known = EndpointsListed(ListKind.RESTORED, (endpoint("s1"),))
        actions = fleet[i].handle(now_ms, [known if token is None else TimerFired(token)])
        for action in actions:
            if not isinstance(action, Subscribe):
                continue
            if service.call(now_ms):
                listed_ms[i] = now_ms
            else:
                actions += fleet[i].handle(now_ms, [EndpointsListed(ListKind.FAILED)])
        due += [(now_ms + a.delay_ms, i, a.token) for a in actions if isinstance(a, SetTimer)]
    times_ms = sorted(listed_ms)
    assert times_ms[int(0.9 * proxies)] <= 6000 and times_ms[-1] <= 10_000


def test_few_proxies_and_proxies_without_a_list_subscribe_at_once() -> None:
    known = EndpointsListed(ListKind.RESTORED, (endpoint("s1"),))
    for settings, events in ((FEW_PROXIES, [known]), (MANY_PROXIES, [])):
        balancer = Balancer(replace(settings, subscribe=True), 1)
        assert Subscribe() in balancer.handle(0.0, events)


@pytest.mark.parametrize(("settings", "least"), [(MANY_PROXIES, 0.8), (FEW_PROXIES, 0.0)])
def test_servers_that_are_new_to_all_proxies_get_the_load_they_are_allowed(
    settings: Settings, least: float
) -> None:
    """If six in ten servers are new at once, no proxy has connections to them. With lower scores for that and
    for being cold, they would idle while the others are overloaded into their slow state."""
    old, new, span_ms, gap_ms = range(6), range(6), 3000.0, 50.0
    got = allowed = 0.0
    for seed in range(12):
        driver = Driver(settings, [endpoint(f"old{i}") for i in old], seed)
        driver.serve(60, latency_ms=gap_ms)
        began_ms = driver.now_ms
        driver.dispatch(delta(*(endpoint(f"new{i}", started_ms=began_ms) for i in new)))
        before = len(driver.sent)
        driver.serve(int(span_ms / gap_ms), latency_ms=gap_ms)
        got += sum(sent[0].startswith("new") for sent in list(driver.sent.values())[before:])
        # A warm server's load, times the mean capacity of a cold one over the time span.
        safety = settings.safety
        share = safety.cold_share + (1 - safety.cold_share) * span_ms / 2 / safety.cold_ms
        allowed += len(new) * share * (span_ms / gap_ms / len(old))
    # The work they complete raises it (`cold_rate`), up to five sixths of the load that would overload them.
    assert least <= got / allowed <= 5 / 6 * safety.overload_multiple
