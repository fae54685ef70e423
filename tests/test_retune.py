"""Reload of settings: a file applies as a whole or not at all, and open requests keep their settings."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from collections.abc import Callable
from typing import Any

import pytest

from cloverrouter.interface import (
    Fail,
    Idempotency,
    Limits,
    Outcome,
    Refuse,
    RequestArrived,
    SettingsChanged,
)
from cloverrouter.lab.peers import SETTINGS as FILE_SETTINGS
from cloverrouter.lab.peers import Client, Discovery, Host, Proxy, never, ok, raw, reset, running
from cloverrouter.membership.decay import MIN_OBSERVED_SHARE, WorkRate
from cloverrouter.proxy.config import first_missing_key
from cloverrouter.values import replace
from cloverrouter.view import balancer_view
from tests.driver import KEYED, SAFE, SETTINGS, UNSAFE, Driver, endpoint, full

Json = dict[str, Any]
NEW = {"name": "new", "aim_ms": 1500, "deadline_ms": 3000, "effect": "fragile", "worth": 1}


def change(proxy: Proxy, edit: Callable[[Json], object]) -> None:
    config = json.loads(proxy.config.read_text())
    edit(config)
    proxy.config.write_text(json.dumps(config))
    proxy.process.send_signal(signal.SIGHUP)


def classes(config: Json) -> list[Json]:
    found: list[Json] = config["settings"]["categories"]
    return found


def test_class_is_added_and_removed_in_service() -> None:
    async def scenario() -> None:
        discovery, hosts = await Discovery().start(), [await Host(f"h{i}").start() for i in range(2)]
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            assert (await client.ask("/new")).status == 404
            change(proxy, lambda config: classes(config).append(NEW))
            await proxy.logged("classes keyed, safe, unsafe, new")
            client = await proxy.client()
            assert (await client.ask("/new")).status == 200
            change(proxy, lambda config: classes(config).pop(2))
            await proxy.logged("classes keyed, safe, new")
            # Clients learn of a removed class a little later: until then its requests are still served.
            assert (await client.ask("/unsafe")).status == 200
            await asyncio.sleep(1.6)
            assert (await client.ask("/new")).status == 200
            assert (await client.ask("/unsafe")).status == 404

    asyncio.run(scenario())


def test_open_request_keeps_its_class_and_its_attempts() -> None:
    async def scenario() -> None:
        discovery, host = await Discovery().start(), await Host("h", never).start()
        async with running(discovery, [host]) as proxy:
            client = await proxy.client()
            client.send("/unsafe")
            await host.wait(lambda: len(host.seen) == 1)
            change(proxy, lambda config: classes(config).pop(2))
            await proxy.logged("classes keyed, safe from now on")
            host.open[1].write(ok(b"kept"))
            assert (await client.read()).body == b"kept"

    asyncio.run(scenario())


def test_new_effect_and_max_attempts_apply_to_later_requests() -> None:
    def edit(config: Json) -> None:
        classes(config)[0].update(effect="fragile")
        config["settings"]["bounds"]["max_attempts"] = 2

    async def count_attempts(client: Client, hosts: list[Host], target: str, extra: str = "") -> int:
        before = sum(len(host.seen) for host in hosts)
        client.send(target, extra=extra)
        assert (await client.read()).status in (502, 503)
        return sum(len(host.seen) for host in hosts) - before

    async def scenario() -> None:
        rejected = raw(b"HTTP/1.1 503 S\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        discovery, hosts = (
            await Discovery().start(),
            [await Host(f"h{i}", rejected).start() for i in range(3)],
        )
        settings = {
            "categories": [{**FILE_SETTINGS["categories"][0], "name": "k"}, *FILE_SETTINGS["categories"]]
        }
        async with running(discovery, hosts, settings=settings) as proxy:
            client = await proxy.client()
            assert await count_attempts(client, hosts, "/keyed") == 3
            change(proxy, edit)
            await proxy.logged("from now on")
            assert await count_attempts(client, hosts, "/keyed") == 2
            await asyncio.sleep(1.6)
            for host in hosts:
                host.respond = reset
            client = await proxy.client()
            assert await count_attempts(client, hosts, "/k") == 1  # without a key there is no retry
            client = await proxy.client()
            client.send("/k", extra="Idempotency-Key: 1\r\n")
            assert (await client.read()).status == 400

    asyncio.run(scenario())


def test_keyless_call_that_waited_through_two_reloads_is_refused_not_retried() -> None:
    async def scenario() -> None:
        discovery, host = await Discovery().start(), await Host("h", never).start()
        async with running(discovery, [host]) as proxy:
            client = await proxy.client()
            client.send("/keyed")
            client.send("/unsafe")  # queued behind it, and checked by the current classes
            await host.wait(lambda: len(host.seen) == 1)
            change(proxy, lambda config: classes(config).append(NEW))
            await proxy.logged("classes keyed, safe, unsafe, new")
            change(proxy, lambda config: classes(config)[2].update(effect="dedup"))
            while proxy.log().count("from now on") < 2:
                await asyncio.sleep(0.01)
            host.open[1].write(ok())
            assert [(await client.read()).status for _ in range(2)] == [200, 503]
            assert len(host.seen) == 1

    asyncio.run(scenario())


def without(*path: Any) -> Callable[[Json], None]:
    def edit(config: Json) -> None:
        *before, last = path
        node: Any = config
        for key in before:
            node = node[key]
        del node[last]

    return edit


def with_value(value: Any, *path: Any) -> Callable[[Json], None]:
    def edit(config: Json) -> None:
        *before, last = path
        node: Any = config
        for key in before:
            node = node[key]
        node[last] = value

    return edit


CLASS = ("settings", "categories", 0)
BAD: dict[str, tuple[Callable[[Json], None], str]] = {
    "no discovery": (without("discovery"), "discovery is missing"),
    "no settings": (without("settings"), "settings is missing"),
    "no bounds": (without("settings", "bounds"), "settings.bounds is missing"),
    "no attempts": (without("settings", "bounds", "max_attempts"), "settings.bounds.max_attempts is missing"),
    "no deadline": (without(*CLASS, "deadline_ms"), r"settings.categories[0].deadline_ms is missing"),
    "no worth": (without(*CLASS, "worth"), r"settings.categories[0].worth is missing"),
    "no prices": (without("settings", "safety", "fall_ms"), "settings.safety.fall_ms is missing"),
    "no class": (with_value([], "settings", "categories"), "is empty"),
    "attempts 0": (with_value(0, "settings", "bounds", "max_attempts"), "at least 1"),
    "attempts below 0": (with_value(-3, "settings", "bounds", "max_attempts"), "at least 1"),
    "half an attempt": (with_value(1.5, "settings", "bounds", "max_attempts"), "not a whole number"),
    "deadline 0": (with_value(0, *CLASS, "deadline_ms"), "must be positive"),
    "deadline below 0": (with_value(-5, *CLASS, "deadline_ms"), "must be positive"),
    "deadline no number": (with_value("soon", *CLASS, "deadline_ms"), "not a number"),
    "deadline NaN": (with_value(float("nan"), *CLASS, "deadline_ms"), "not a number"),
    "unknown effect": (with_value("harmless", *CLASS, "effect"), "KeyError"),
    "one name twice": (with_value("safe", *CLASS, "name"), "share a name"),
    "a list": (with_value([], "settings"), "settings"),
}


def test_invalid_file_changes_nothing() -> None:
    """Classes, attempts and discovery address stay, for any error; each file has new values for them."""

    async def scenario() -> None:
        discovery, host, elsewhere = (
            await Discovery().start(),
            await Host("h").start(),
            await Discovery().start(),
        )
        async with running(discovery, [host]) as proxy:
            good = json.loads(proxy.config.read_text())
            client = await proxy.client()
            for name, (edit, text) in BAD.items():
                config = copy.deepcopy(good)
                config["discovery"] = f"127.0.0.1:{elsewhere.port}"
                config["settings"]["categories"].append(NEW)
                edit(config)
                before = proxy.log().count("not reread")
                proxy.config.write_text(json.dumps(config))
                proxy.process.send_signal(signal.SIGHUP)
                while proxy.log().count("not reread") == before:
                    assert proxy.up, name
                    await asyncio.sleep(0.01)
                assert text in proxy.log().rpartition("not reread")[2], name
                assert (await client.ask("/unsafe")).status == 200, name
            for length in (0, 1, 300, len(json.dumps(good)) - 1):
                proxy.config.write_text(json.dumps(good)[:length])
                before = proxy.log().count("not reread")
                proxy.process.send_signal(signal.SIGHUP)
                while proxy.log().count("not reread") == before:
                    assert proxy.up
                    await asyncio.sleep(0.01)
            assert (await client.ask("/new")).status == 404
            assert not elsewhere.calls

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("now", "before", "lost"),
    [
        ({"a": 1}, {}, None),
        ({}, {"a": None}, "a"),
        ({"a": {"b": 1}}, {"a": {"b": 2, "c": 3}}, "a.c"),
        ({"a": 5}, {"a": {"b": 2}}, "a"),
        ({"a": [{"n": 1, "x": 2}]}, {"a": [{"n": 1, "w": 1}, {"n": 2, "x": 1}]}, None),
        ({"a": [{"n": 1}, {"x": 2}]}, {"a": [{"n": 1, "w": 1}, {"n": 2}]}, "a[1].n"),
        ({"a": [3]}, {"a": [{"n": 1}]}, "a[0]"),
        ({"a": [3]}, {"a": [1, 2]}, None),
    ],
)
def test_key_of_the_file_in_force_may_not_be_missing(now: Json, before: Json, lost: str | None) -> None:
    assert first_missing_key(now, before) == lost


# The balancer


def test_balancer_keeps_latencies_and_open_requests_their_class_settings() -> None:
    driver = Driver(replace(SETTINGS, classes=(SAFE, KEYED)))
    driver.serve(40)
    learned = driver.balancer.latencies["safe"].mean_ms
    open_id, _ = driver.request("keyed")
    driver.dispatch(
        SettingsChanged(
            replace(
                SETTINGS,
                classes=(replace(SAFE, aim_ms=900), replace(KEYED, idempotency=Idempotency.UNSAFE), UNSAFE),
                limits=Limits(max_attempts=1),
                zone="other",
                proxies=700,
            )
        )
    )
    balancer = driver.balancer
    assert balancer.latencies["safe"].mean_ms == learned and balancer.latencies["safe"].cls.aim_ms == 900
    assert (balancer.settings.zone, balancer.settings.proxies) == (SETTINGS.zone, SETTINGS.proxies)
    # The open request may still be retried, three times; a new one may not.
    driver.end(open_id, Outcome.RESET)
    driver.wait(700)
    assert len(driver.sent[open_id]) == 2
    late_id, _ = driver.request("keyed")
    assert [type(a) for a in driver.end(late_id, Outcome.RESET)] == [Fail]
    # A request that was checked by the previous classes keeps their settings.
    driver.last_id += 1
    driver.dispatch(RequestArrived(driver.last_id, "keyed", uses_previous_settings=True))
    request = balancer.requests[driver.last_id]
    assert request.is_retryable() and request.max_attempts == 1


def test_lower_limit_of_open_requests_gives_up_the_oldest_queued() -> None:
    settings = replace(SETTINGS, limits=Limits(max_open=100))
    driver = Driver(settings, endpoints=())
    ids = [driver.request("safe", driver.now_ms + 2000)[0] for _ in range(60)]
    driver.dispatch(SettingsChanged(replace(settings, limits=Limits(max_open=50))))
    given_up = [a.request_id for a in driver.log if isinstance(a, Refuse)]
    assert given_up == ids[: 60 - 42]


def test_rate_is_computed_over_the_observed_time() -> None:
    rate = WorkRate(8000.0)
    for ms in range(0, 1001, 10):
        rate.add(1_000_000 + ms, 5.0)
    assert rate.per_ms(1_001_000) == pytest.approx(0.5, rel=0.1)
    for ms in range(1010, 60_001, 10):
        rate.add(1_000_000 + ms, 5.0)
    assert rate.per_ms(1_060_000) == pytest.approx(0.5, rel=0.05)
    # A burst at the very start counts as if it had taken a fraction of the time span.
    burst = WorkRate(8000.0)
    burst.add(0.0, 80.0)
    assert burst.per_ms(1.0) == pytest.approx(80 / (8000 * MIN_OBSERVED_SHARE), rel=0.01)


def test_limit_does_not_fall_below_the_share_of_the_cores() -> None:
    """Below it, two proxies with new or briefly slow servers leave three of four cores idle and refuse."""
    heavy = [replace(endpoint(name), weight=4.0) for name in ("s1", "s2", "s3")]
    driver = Driver(replace(SETTINGS, proxies=2), endpoints=[])
    driver.dispatch(full(*heavy))
    assert {e.limit for e in balancer_view(driver.balancer, driver.now_ms).endpoints} == {3.0}
    driver.serve(60, latency_ms=20.0)
    driver.serve(60, latency_ms=450.0)
    assert {e.limit for e in balancer_view(driver.balancer, driver.now_ms).endpoints} == {3.0}
    # Where more proxies use a server than it has cores, a limit may be as low as one.
    many = Driver(replace(SETTINGS, proxies=12), endpoints=[])
    many.dispatch(full(*heavy))
    assert {e.limit for e in balancer_view(many.balancer, many.now_ms).endpoints} == {1.0}
