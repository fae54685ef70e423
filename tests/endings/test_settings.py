"""The end of one set of settings: requests in flight keep what they came under, nothing is left over.

Each setting is applied or named in the log; a file that can't be used changes nothing.
"""

from __future__ import annotations

import asyncio
import copy
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from cloverrouter.interface import (
    EndpointState,
    Fail,
    Idempotency,
    ListedEndpoint,
    Outcome,
    RepeatScope,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
    SettingsChanged,
)
from cloverrouter.lab.peers import Discovery, Host, Proxy, ok, raw, reset, running
from cloverrouter.proxy.config import kept, missing, read_settings
from cloverrouter.proxy.validity import FORMER_S, Gate, Head, ParsedCall
from cloverrouter.proxy.wake import Loop
from cloverrouter.values import replace
from tests.driver import Driver, delta, full
from tests.test_retune import change, classes
from tests.test_upstream import FakeCall
from tests.test_wake import node_with, play, told
from tests.test_waking_front import Held

Json = dict[str, Any]
SITES = Path(__file__).resolve().parents[2] / "deploy" / "sites"


def in_force(count: int) -> Callable[[Proxy], bool]:
    return lambda proxy: proxy.log().count("from now on") >= count


async def settled(proxy: Proxy, done: Callable[[Proxy], bool]) -> None:
    until_s = time.monotonic() + 20
    while not done(proxy):
        assert proxy.up and time.monotonic() < until_s, proxy.log()[-2000:]
        await asyncio.sleep(0.01)


class Posted(ParsedCall):
    def reply(self, status: int, body: bytes, content_type: bytes = b"", retry_after: bytes = b"") -> None:
        raise AssertionError("nobody answers here")


def test_former_classes_of_the_front_are_those_of_the_module() -> None:
    """x was unsafe two changes ago and is keyed since one; only its deadline changed then."""
    at_s = 0.0
    gate = Gate(Held(), {"x": Idempotency.UNSAFE}, lambda: at_s)
    head = Head()
    head.add(b"x-request-id", b"1")
    head.add(b"content-length", b"0")
    call = Posted(b"POST", b"/x", head, b"")  # with no key, as an unsafe one has none
    gate.reclass({"x": Idempotency.KEYED})
    assert gate.check(call, head) == 0 and gate.still_valid(call) and call.former
    gate.reclass({"x": Idempotency.KEYED})
    assert gate.check(call, head) == 400  # the module's former x has a key by now
    at_s = FORMER_S + 1


def test_a_call_valid_two_changes_ago_is_not_repeated_without_a_key() -> None:
    async def scene() -> None:
        discovery, hosts = await Discovery().start(), [await Host(f"h{i}", reset).start() for i in range(2)]
        async with running(discovery, hosts) as proxy:
            change(proxy, lambda told: classes(told)[2].update(effect="dedup", group="all", window_ms=3000))
            await settled(proxy, in_force(1))
            change(proxy, lambda told: classes(told)[2].update(deadline_ms=2900))
            await settled(proxy, in_force(2))
            client = await proxy.client()
            client.send("/unsafe")  # no key
            assert (await client.read()).status != 503
            assert sum(len(host.seen) for host in hosts) <= 1

    asyncio.run(scene())


def test_what_waits_to_be_handed_over_keeps_its_class(monkeypatch: pytest.MonkeyPatch) -> None:
    """Some milliseconds after a stop: found valid by the former classes, it is judged by these."""

    async def scene(loop: Loop) -> None:
        node = node_with(("127.0.0.1", 9))
        events = told(node, monkeypatch)
        call = FakeCall(timeout_ms=2000)
        call.late, call.arrived_ms = True, loop.time() * 1000
        node.arrived(call)
        assert node.in_flight == 1 and not events
        keyed = RequestClass("unsafe", 1500, 3000, idempotency=Idempotency.KEYED, repeat_window_ms=3000)
        node.resettle(Settings((keyed,)))
        kinds = [type(e) for e in events if isinstance(e, RequestArrived | SettingsChanged)]
        assert kinds == [RequestArrived, SettingsChanged]

    play(scene)


KEYED_CELL = RequestClass(
    "keyed",
    1500,
    3000,
    idempotency=Idempotency.KEYED,
    repeat_scope=RepeatScope.CELL,
    repeat_window_ms=3000,
)


def test_open_request_keeps_scope_window_and_effect_of_its_own_class() -> None:
    driver = Driver(Settings((KEYED_CELL,)))
    driver.tell(full(*(ListedEndpoint(f"h{i}", cell=i) for i in range(2))))
    number, actions = driver.request("keyed")
    assert any(isinstance(a, Send) for a in actions)
    wide = replace(KEYED_CELL, repeat_scope=RepeatScope.ALL, repeat_window_ms=9000)
    driver.tell(SettingsChanged(Settings((wide,))))
    actions = driver.end(number, Outcome.RESET) + driver.wait(2900)
    sent = {a.endpoint for a in actions if isinstance(a, Send)}
    first = next(iter(driver_first(driver, number)))
    assert sent <= {first}  # the other is in another cell, which has not heard of the key


def driver_first(driver: Driver, number: int) -> list[str]:
    request = driver.balancer.requests.get(number)
    return [a.endpoint.listed.name for a in request.attempts[:1]] if request else ["h0"]


def test_repeat_keeps_to_the_cell_that_its_server_was_in_when_it_was_sent() -> None:
    """The list moves the server to another cell meanwhile: those there have not heard of the key."""
    for _ in range(8):
        driver = Driver(Settings((KEYED_CELL,)))
        driver.tell(full(ListedEndpoint("home", cell=1)))
        number, actions = driver.request("keyed")
        assert [a.endpoint for a in actions if isinstance(a, Send)] == ["home"]
        driver.tell(
            delta(
                ListedEndpoint("home", cell=2, state=EndpointState.DRAINING),
                ListedEndpoint("stranger", cell=2),
            )
        )
        actions = driver.end(number, Outcome.RESET) + driver.wait(2990)
        assert not [a for a in actions if isinstance(a, Send)]
        assert any(isinstance(a, Fail) for a in actions)


# The file


def test_new_set_of_classes_is_taken_with_its_new_discovery() -> None:
    """All former ones are keyed: that a safe one has no window is no loss."""

    async def scene() -> None:
        old, new = await Discovery().start(), await Discovery().start()
        host = await Host("h").start()
        keyed = {"name": "keyed", "aim_ms": 1500, "deadline_ms": 3000, "effect": "dedup", "group": "cell",
                 "window_ms": 3000, "worth": 3}  # fmt: skip
        async with running(old, [host], settings={"categories": [keyed]}) as proxy:
            new.entries["h"] = host.entry()
            safe = {"name": "look", "aim_ms": 900, "deadline_ms": 1900, "effect": "fragile", "worth": 1}

            def edit(told: Json) -> None:
                told["settings"]["categories"] = [safe]
                told["discovery"] = f"127.0.0.1:{new.port}"

            change(proxy, edit)
            await new.asked(1)
            client = await proxy.client()
            assert (await client.ask("/look")).status == 200

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("now", "lost"),
    [
        ({"name": "a", "effect": "fragile"}, None),  # another effect now
        ({"name": "b", "effect": "dedup"}, None),  # another class
        ({"name": "a", "effect": "dedup", "group": "all"}, "c[0].window_ms"),  # the same, and cut
    ],
)
def test_what_only_an_effect_needs_is_asked_for_where_the_class_still_has_it(
    now: Json, lost: str | None
) -> None:
    before = [{"name": "a", "effect": "dedup", "group": "all", "window_ms": 5}]
    assert missing({"c": [now]}, {"c": before}) == lost


def test_report_fields_change_in_service_and_the_rest_is_named() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        host = await Host("h", raw(ok(b"x", b"X-Server-Load: busy=3,queue=1\r\n"))).start()
        async with running(discovery, [host]) as proxy:

            def edit(told: Json) -> None:
                told["settings"]["reporting"]["fields"] = ["busy", "queue"]
                told["settings"]["bounds"]["conn_idle_ms"] = 10_000
                told["settings"]["balancers"] = 4
                told["settings"]["discovery"] = "automatic"
                told["limits"]["sockets"] = 128

            change(proxy, edit)
            await settled(proxy, in_force(1))
            log = proxy.log()
            for text in (
                "settings.balancers stays 3, the file has 4",
                "settings.discovery stays 'subscribe', the file has 'automatic'",
                "limits stays",
            ):
                assert text in log, text
            assert "conn_idle_ms" not in log and "reporting" not in log  # these hold
            client = await proxy.client()
            assert (await client.ask("/unsafe")).status == 200

    asyncio.run(scene())


def test_new_report_fields_are_read_by_the_node(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = node_with(("127.0.0.1", 9))
        fields = ("util", "qps")
        node.resettle(Settings((RequestClass("unsafe", 1500, 3000),), report_fields=fields))
        assert node._settings.report_fields == fields
        assert node._balancer.settings.report_fields == fields

    play(scene)


def test_what_is_fixed_is_named_by_its_path() -> None:
    before: Json = {"name": "n0", "limits": {"sockets": 9}, "settings": {"zone": "a", "categories": [1]}}
    now = copy.deepcopy(before)
    assert kept(now, before) == []
    now["settings"]["zone"], now["settings"]["categories"] = "b", [2]
    assert kept(now, before) == ["settings.zone stays 'a', the file has 'b': a restart changes it"]


# The same program for each customer

EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


def facts_of(path: Path) -> Json:
    site = tomllib.loads(path.read_text())
    allow, rules, tier = site["allow"], site["rules"], site["tier"][0]
    return {
        "balancers": 4, "ordinal": 0,
        "discovery": "subscribe" if site["discovery"]["mode"] == "ask" else "automatic",
        "reporting": {"fields": tier["report"]["fields"], "how": "inline"},
        "bounds": {"max_attempts": allow["max_attempts"], "parallel_tries": allow["second_copies"],
                   "retry_after": allow["retry_after"], "conn_idle_ms": tier["conn"]["idle_s"] * 1000,
                   "connect_timeout_ms": tier["conn"]["connect_timeout_ms"]},
        "categories": [{"name": c["name"], "aim_ms": c["aim_ms"], "deadline_ms": c["deadline_ms"],
                        "effect": EFFECTS[c["effect"]], "worth": c["worth"], "group": c.get("group", "all"),
                        "window_ms": c.get("window_ms", 0)} for c in site["class"]],
        "projects": [{"name": t["name"], "quota_per_s": 50.0} for t in site.get("tenant", ())],
        "safety": {"cold_ms": 9000, "cold_share": 0.3, "fall_ms": rules["fall_ms"], "must_ask_in_ms": 10_000,
                   "fall_multiple": rules["fall_multiple"], "drain_grace_ms": rules["drain_grace_ms"]},
    }  # fmt: skip


def test_the_test_deployments_are_far_apart() -> None:
    one, other = (read_settings(facts_of(path), 100) for path in sorted(SITES.glob("*.toml")))
    assert not {c.name for c in one.classes} & {c.name for c in other.classes}
    assert one.subscribe is not other.subscribe and bool(one.tenants) is not bool(other.tenants)


@pytest.mark.parametrize("path", sorted(SITES.glob("*.toml")), ids=lambda path: path.stem)
def test_each_customer_is_served_by_its_own_settings_and_leaves_nothing_to_the_next(path: Path) -> None:
    """Started for the one, then told to serve the other: its classes and their effects hold, no others."""
    other = next(p for p in SITES.glob("*.toml") if p != path)

    def calls(facts: Json) -> dict[str, tuple[bytes, int]]:
        """By effect: a request that is right, and how often it may go out where each attempt is reset."""
        found = {}
        for c in facts["categories"]:
            key = "Idempotency-Key: k\r\n" if c["effect"] == "dedup" else ""
            if c["effect"] == "retryable":
                head = f"GET /{c['name']} HTTP/1.1\r\nX-Request-ID: {c['name']}\r\n\r\n"
            else:
                head = f"POST /{c['name']} HTTP/1.1\r\nX-Request-ID: {c['name']}\r\n{key}"
                head += "Content-Length: 0\r\n\r\n"
            most = facts["bounds"]["max_attempts"]
            found[c["name"]] = head.encode(), 1 if c["effect"] == "fragile" else most
        return found

    async def scene() -> None:
        discovery, hosts = await Discovery().start(), [await Host(f"h{i}", reset).start() for i in range(3)]
        first, second = facts_of(path), facts_of(other)
        async with running(discovery, hosts, settings=first) as proxy:
            for facts, former in ((first, second), (second, first)):
                if facts is second:
                    change(proxy, lambda told: told.update(settings={**first, **second}))
                    await settled(proxy, in_force(1))
                    await asyncio.sleep(FORMER_S + 0.1)  # what was the former customer's is over then
                for name, (data, most) in calls(facts).items():
                    client, before = await proxy.client(), sum(len(h.seen) for h in hosts)
                    client.writer.write(data)
                    status = (await client.read()).status
                    assert status in (502, 503), name
                    sent = sum(len(h.seen) for h in hosts) - before
                    assert sent <= most and (status == 503) <= (sent == 0), name
                for name, (data, _) in calls(former).items():
                    client = await proxy.client()
                    client.writer.write(data)
                    assert (await client.read()).status == 404, name

    asyncio.run(scene())
