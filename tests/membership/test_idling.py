"""Limit on the idle time of connections, learned from the outcomes of their uses."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from cloverrouter.interface import Outcome
from cloverrouter.lab.peers import Host, Seen, answer_ok
from cloverrouter.lab.scenario import build, load, plain
from cloverrouter.lab.simulation import simulate
from cloverrouter.membership.idling import (
    AVOIDED_USES_PER_TRIAL,
    HALF_LIFE_S,
    IDLE_BUCKETS_S,
    IdleAgeLimit,
    IdleUseCounts,
)
from cloverrouter.proxy.upstream import Upstream
from tests.test_upstream import FakeCall, until

NEVER = float("inf")


def learned(
    dropped_s: float, chance: float, uses: int, max_idle_s: float = 2.0, seed: int = 1
) -> IdleAgeLimit:
    """State after `uses` uses of idle times up to `max_idle_s`.

    Uses after `dropped_s` break, the others with probability `chance`.
    """
    ages, random = IdleAgeLimit(IdleUseCounts()), Random(seed)
    for i in range(uses):
        idle_s = random.uniform(0, max_idle_s)
        ages.record_use(idle_s, idle_s >= dropped_s or random.random() < chance, i * 0.01)
    return ages


@pytest.mark.parametrize("dropped_s", [0.15, 0.5, 1.0])
@pytest.mark.parametrize("chance", [0.0, 0.04])
def test_the_idle_time_at_which_connections_break_is_learned(dropped_s: float, chance: float) -> None:
    for seed in range(10):
        limit_s = learned(dropped_s, chance, 400, seed=seed).limit_s
        assert dropped_s / 2 <= limit_s <= dropped_s
        assert limit_s in IDLE_BUCKETS_S


@pytest.mark.parametrize("chance", [0.0, 0.04, 0.5])
def test_breaks_independent_of_idle_time_set_no_limit(chance: float) -> None:
    limits = [learned(NEVER, chance, 400, seed=seed).limit_s for seed in range(20)]
    assert limits.count(NEVER) >= 19


def test_breaks_that_cost_less_than_new_connections_set_no_limit() -> None:
    """A significant but small difference: a tenth more breaks beyond an age than below it."""
    ages, random = IdleAgeLimit(IdleUseCounts()), Random(1)
    for i in range(20_000):
        idle_s = random.uniform(0, 2.0)
        ages.record_use(idle_s, random.random() < (0.12 if idle_s >= 0.4 else 0.02), i * 0.0001)
    assert ages.limit_s == NEVER


def test_uses_and_breaks_decay_alike() -> None:
    uses = IdleUseCounts()
    for _ in range(10):
        uses.add(0.5, True, 0.0)
    uses.add(0.0, False, HALF_LIFE_S)
    assert sum(uses.breaks) == pytest.approx(5) and sum(uses.uses) == pytest.approx(6)


def test_a_few_breaks_set_no_limit() -> None:
    ages = IdleAgeLimit(IdleUseCounts())
    for i, idle_s in enumerate([0.01] * 20 + [1.0, 1.0]):
        ages.record_use(idle_s, idle_s == 1.0, i * 0.01)
    assert ages.limit_s == NEVER and ages.may_use(5.0, False)


def test_trials_of_old_connections_are_rare_and_only_for_retryable_requests() -> None:
    ages = learned(0.15, 0.0, 400)
    assert all(ages.may_use(0.05, False) for _ in range(3 * AVOIDED_USES_PER_TRIAL))
    assert not any(ages.may_use(0.5, False) for _ in range(3 * AVOIDED_USES_PER_TRIAL))
    assert sum(ages.may_use(0.5, True) for _ in range(4 * AVOIDED_USES_PER_TRIAL)) == 4


def test_the_limit_is_lifted_once_trials_succeed() -> None:
    ages, now_s = learned(0.15, 0.0, 400), 4.0
    while ages.limit_s != NEVER:
        now_s += 1.0
        ages.record_use(0.5, False, now_s)
        ages.record_use(0.01, False, now_s)
        assert now_s < 8 * HALF_LIFE_S


def test_servers_have_limits_of_their_own() -> None:
    shared = IdleUseCounts()
    drops, keeps, new = (IdleAgeLimit(shared) for _ in range(3))
    for i in range(600):
        idle_s = (i % 20) / 10
        drops.record_use(idle_s, idle_s >= 0.4, i * 0.01)
        keeps.record_use(idle_s, False, i * 0.01)
    assert drops.limit_s == 0.4 and keeps.limit_s == NEVER
    new.record_use(0.0, False, 6.0)
    assert new.limit_s == 0.4  # the limit of all servers, until this one has enough uses


def test_connections_that_a_host_drops_without_notice_are_not_reused() -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        last: dict[int, float] = {}
        broke: list[float] = []

        async def respond(seen: Seen, writer: asyncio.StreamWriter) -> None:
            idle_s = loop.time() - last.get(seen.connection, loop.time())
            if idle_s >= 0.1:
                broke.append(idle_s)
                writer.transport.abort()
                return
            await answer_ok(seen, writer)
            last[seen.connection] = loop.time()

        host = await Host("h").start()
        host.respond = respond
        upstream, name = Upstream(8, 60_000, 1000), ("h", ("127.0.0.1", host.port))
        upstream.keep_only({name})
        outcomes: list[Outcome] = []

        async def send_request() -> None:
            ends: list[Outcome] = []
            upstream.send(name, FakeCall(), 2000, lambda outcome, _: ends.append(outcome))
            await until(lambda: ends)
            outcomes.extend(ends)

        for _ in range(12):  # reused at once, and after an idle time
            await send_request()
            await asyncio.sleep(0.02)
            await send_request()
            await asyncio.sleep(0.25)
        assert outcomes.count(Outcome.RESET) == len(broke) >= 3
        assert outcomes[-8:] == [Outcome.OK] * 8  # the limit is learned

    asyncio.run(scene())


def test_fewer_requests_are_lost_to_idle_connections_in_a_fleet() -> None:
    scenario = plain(load("calm"))
    scenario["seconds"], scenario["safety"] = 20.0, {}
    scenario["office"] = [{"rate": 60, "retries": 0}]
    scenario["servers"][0] |= {"drops_idle_ms": 150, "count": 9}
    result = simulate(build(scenario), 1)
    assert not result.broken
    # If all idle connections were reused, about half of the requests would use a dropped one.
    assert result.figures.attempts_per_request < 1.06
    assert result.figures.failed < 0.05 * result.figures.asked
