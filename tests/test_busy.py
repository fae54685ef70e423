"""Many proxies, and servers that report their utilization, not their request count; in simulated time."""

from __future__ import annotations

from functools import partial
from math import ceil
from pathlib import Path

import pytest

from cloverrouter.decide import COVER, UTIL_MOST, ConcurrencyLimit
from cloverrouter.interface import AttemptEnded, Outcome
from cloverrouter.lab import simcarrier, world
from cloverrouter.lab.scenario import Scenario, load
from cloverrouter.lab.server import Job, Reply, Server
from cloverrouter.lab.simulation import Simulation
from cloverrouter.values import replace
from tests.driver import SETTINGS, Driver, endpoint

FIELDS = ("util", "qps", "eps")
MANY_PROXIES = replace(SETTINGS, proxies=int(COVER) + 1, report_fields=FIELDS)


def answer_requests(driver: Driver, report: tuple[float, ...], rounds: int = 40) -> None:
    """Send three requests at a time, more than the pooled limit allows, and answer each at once."""
    for _ in range(rounds):
        requests = [driver.request()[0] for _ in range(3)]
        driver.wait(20)
        for request in requests:
            if request in driver.sent and not driver.balancer.requests[request].done:
                driver.dispatch(AttemptEnded(request, 0, Outcome.OK, 20, True, report))


@pytest.mark.parametrize(
    ("fields", "report", "grows"),
    [
        (FIELDS, (0.4 * UTIL_MOST, 9.0, 0.0), True),
        (FIELDS, (1.0, 9.0, 0.0), False),
        (FIELDS, (1.3 * UTIL_MOST, 9.0, 0.0), False),  # a noisy report may exceed the maximum
        (("inflight", "util"), (0.3, 1.0), True),  # the request count takes precedence
        (("qps", "eps"), (1.0, 0.0), True),  # no load in the report
    ],
)
def test_busy_servers_shrink_the_pooled_limit_even_if_answers_are_quick(
    fields: tuple[str, ...], report: tuple[float, ...], grows: bool
) -> None:
    """When answers become late, servers have long been congested, which this is to prevent."""
    settings = replace(MANY_PROXIES, report_fields=fields)
    driver = Driver(settings, [endpoint(f"s{i}") for i in range(int(COVER) + 1)])
    limit = driver.balancer.concurrency_limit
    limit.limit = before = 2.0
    answer_requests(driver, report)
    assert (limit.limit > before) is grows


# A lab scenario. Requests use no core for part of their time, the aims are far longer than the usual latency,
# and servers process requests whose clients have given up: when answers are late, servers stay congested.
DAY = """
name = "busy"
seconds = 20
[proxies]
count = 24
max_attempts = 6
retry_after = true
[[office]]
rate = 214  # 0.72 of what the servers can do, unhurried
unequal = 1.5
retries = 2
try_share = 0.75
backoff_ms = 350
honour = 0.8
curve = [[0, 0.67], [20, 1.33]]
[[class]]
name = "status"
share = 0.84
aim_ms = 3500
deadline_ms = 17700
worth = 5
work_ms = 200
spread = 1.3
[[class]]
name = "submit"
share = 0.16
effect = "unsafe"
aim_ms = 2900
deadline_ms = 11800
worth = 2
work_ms = 170
spread = 0.8
[[servers]]
count = 14
halls = ["a"]
speed_spread = 0.35
queue = 109
report_ms = 370
drops_waiting = false
handshake_ms = 70
jam_queue = 2
jam_s = 1
jam_slower = 2.8
jam_most_s = 30
[[fault]]
kind = "load"
at_s = 7
for_s = 5
factor = 1.5
"""
IO_S = 0.32


class BusyServer(Server):
    """Reports the utilization of its cores and its request rate; answers take another IO_S after the work."""

    used_s = 0.0  # CPU time, of all cores
    served = 0
    since = (0.0, 0.0, 0)  # time of the last report, and used_s and served at that time
    last_report = (0.0, 0.0, 0.0)

    def _load_report(self, now_s: float) -> tuple[float, ...]:
        span_s = now_s - self.since[0]
        if span_s >= self.kind.report_ms / 1000:
            util = (self.used_s - self.since[1]) / span_s / self.kind.cores
            noise = [self.draws.between(0.75, 1.25) for _ in range(2)]
            self.last_report = (
                min(1.0, util) * noise[0],
                (self.served - self.since[2]) / span_s * noise[1],
                0.0,
            )
            self.since = (now_s, self.used_s, self.served)
        return self.last_report

    def _end(self, job: Job, run: int) -> None:
        if job.generation == run and not job.done:
            self.used_s += self.loop.time() - job.since_s
            self.served += 1
            job.reply = partial(self._reply_later, job.reply)
        super()._end(job, run)

    def _reply_later(self, reply: object, answer: Reply) -> None:
        assert callable(reply)
        self.loop.call_later(IO_S, reply, answer)


def _text(self: simcarrier.SimCarrier, server: str, reading: tuple[float, ...]) -> bytes:
    return b"util=%.3f,qps=%.2f,eps=%.2f" % reading


@pytest.fixture
def day(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> Scenario:
    monkeypatch.setattr(world, "Server", BusyServer)
    monkeypatch.setattr(world, "REPORT_FIELDS", FIELDS)
    monkeypatch.setattr(simcarrier.SimCarrier, "_report", _text)
    path = tmp_path / "day.toml"
    path.write_text(DAY)
    return load(str(path))


@pytest.mark.parametrize("seed", [1, 2])
def test_many_proxies_serve_well_if_servers_report_only_their_utilization(day: Scenario, seed: int) -> None:
    """Otherwise too little is sent at first, then too much; congested servers answer no request in time, and
    the clients' retries keep them congested."""
    simulation = Simulation(day, seed)
    result = simulation.run()
    jammed = sum(server.jammed_since is not None for server in simulation.servers.values())
    assert result.figures.worth > 0.75
    assert jammed <= 3


def test_limit_grows_within_seconds_where_weights_are_not_core_counts() -> None:
    """Where a server with four cores has a weight of 1, the initial limit keeps a quarter of them busy, and
    requests are refused in the first seconds while the servers idle."""
    limit, answers = ConcurrencyLimit(MANY_PROXIES), 0
    limit.resize(8.0)
    while limit.limit < 4 * limit.initial_limit:
        answers += 1
        limit.in_flight = ceil(limit.limit)
        assert not limit.has_capacity(float(answers))  # more requests are waiting
        limit.record_end(float(answers), 500.0, 0.4)
    assert answers < 20  # about four rounds
