"""Replacing settings: requests in flight keep those under which they arrived, and no old state remains.

Each setting is applied, or named in the log; a file that can't be used changes nothing.
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
    IdempotencyScope,
    ListedEndpoint,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
    SettingsChanged,
)
from cloverrouter.lab.peers import Discovery, Host, Proxy, ok, raw, reset, running
from cloverrouter.proxy.config import first_missing_key, read_settings, unapplied_changes
from cloverrouter.proxy.validity import PREVIOUS_CLASSES_S, Gate, Head, ParsedCall
from cloverrouter.proxy.wake import Loop
from cloverrouter.values import replace
from tests.driver import Driver, delta, full
from tests.test_retune import change, classes
from tests.test_upstream import FakeCall
from tests.test_wake import make_node, record_events, run_scene
from tests.test_waking_front import StubHandler

Json = dict[str, Any]
SITES = Path(__file__).resolve().parents[2] / "deploy" / "sites"


def reloads_logged(count: int) -> Callable[[Proxy], bool]:
    return lambda proxy: proxy.log().count("from now on") >= count


async def wait_until(proxy: Proxy, done: Callable[[Proxy], bool]) -> None:
    until_s = time.monotonic() + 20
    while not done(proxy):
        assert proxy.up and time.monotonic() < until_s, proxy.log()[-2000:]
        await asyncio.sleep(0.01)


class PostedCall(ParsedCall):
    def reply(self, status: int, body: bytes, content_type: bytes = b"", retry_after: bytes = b"") -> None:
        raise AssertionError("this call gets no answer")


def test_previous_classes_of_the_frontend_match_those_of_the_decisions() -> None:
    """x was unsafe two changes ago and is keyed since one; only its deadline changed then."""
    at_s = 0.0
    gate = Gate(StubHandler(), {"x": Idempotency.UNSAFE}, lambda: at_s)
    head = Head()
    head.add(b"x-request-id", b"1")
    head.add(b"content-length", b"0")
    call = PostedCall(b"POST", b"/x", head, b"")  # with no key, as an unsafe one has none
    gate.update_classes({"x": Idempotency.KEYED})
    assert gate.check(call, head) == 0 and gate.revalidate(call) and call.fits_previous_classes
    gate.update_classes({"x": Idempotency.KEYED})
    assert gate.check(call, head) == 400  # the previous x of the decisions is keyed by now
    at_s = PREVIOUS_CLASSES_S + 1


def test_call_valid_two_changes_ago_is_not_retried_without_a_key() -> None:
    async def scene() -> None:
        discovery, hosts = await Discovery().start(), [await Host(f"h{i}", reset).start() for i in range(2)]
        async with running(discovery, hosts) as proxy:
            change(
                proxy, lambda fields: classes(fields)[2].update(effect="dedup", group="all", window_ms=3000)
            )
            await wait_until(proxy, reloads_logged(1))
            change(proxy, lambda fields: classes(fields)[2].update(deadline_ms=2900))
            await wait_until(proxy, reloads_logged(2))
            client = await proxy.client()
            client.send("/unsafe")  # no key
            assert (await client.read()).status != 503
            assert sum(len(host.seen) for host in hosts) <= 1

    asyncio.run(scene())


def test_call_that_waits_after_a_pause_keeps_its_class(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was validated by the previous classes: it must reach the decisions before the new ones do.

    Calls wait for some milliseconds after a process pause.
    """

    async def scene(loop: Loop) -> None:
        node = make_node(("127.0.0.1", 9))
        events = record_events(node, monkeypatch)
        call = FakeCall(timeout_ms=2000)
        call.is_delayed, call.arrived_ms = True, loop.time() * 1000
        node.call_received(call)
        assert node.in_flight == 1 and not events
        keyed = RequestClass("unsafe", 1500, 3000, idempotency=Idempotency.KEYED, idempotency_window_ms=3000)
        node.apply_settings(Settings((keyed,)))
        kinds = [type(e) for e in events if isinstance(e, RequestArrived | SettingsChanged)]
        assert kinds == [RequestArrived, SettingsChanged]

    run_scene(scene)


KEYED_CELL = RequestClass(
    "keyed",
    1500,
    3000,
    idempotency=Idempotency.KEYED,
    idempotency_scope=IdempotencyScope.CELL,
    idempotency_window_ms=3000,
)


def test_open_request_keeps_scope_window_and_effect_of_its_class() -> None:
    driver = Driver(Settings((KEYED_CELL,)))
    driver.dispatch(full(*(ListedEndpoint(f"h{i}", cell=i) for i in range(2))))
    number, actions = driver.request("keyed")
    assert any(isinstance(a, Send) for a in actions)
    wide = replace(KEYED_CELL, idempotency_scope=IdempotencyScope.ALL, idempotency_window_ms=9000)
    driver.dispatch(SettingsChanged(Settings((wide,))))
    actions = driver.end(number, Outcome.RESET) + driver.wait(2900)
    sent = {a.endpoint for a in actions if isinstance(a, Send)}
    first = next(iter(first_endpoint(driver, number)))
    assert sent <= {first}  # the other server is in another cell, where the key is unknown


def first_endpoint(driver: Driver, number: int) -> list[str]:
    request = driver.balancer.requests.get(number)
    return [a.endpoint.listed.name for a in request.attempts[:1]] if request else ["h0"]


def test_retry_stays_in_the_cell_of_its_server_at_the_time_of_sending() -> None:
    """The list then moves the server to another cell, whose servers do not know the key."""
    for _ in range(8):
        driver = Driver(Settings((KEYED_CELL,)))
        driver.dispatch(full(ListedEndpoint("home", cell=1)))
        number, actions = driver.request("keyed")
        assert [a.endpoint for a in actions if isinstance(a, Send)] == ["home"]
        driver.dispatch(
            delta(
                ListedEndpoint("home", cell=2, state=EndpointState.DRAINING),
                ListedEndpoint("stranger", cell=2),
            )
        )
        actions = driver.end(number, Outcome.RESET) + driver.wait(2990)
        assert not [a for a in actions if isinstance(a, Send)]
        assert any(isinstance(a, Fail) for a in actions)


# Reloading the file


def test_new_classes_are_applied_with_a_new_discovery_address() -> None:
    """All previous classes are keyed: the new one needs no window, so none counts as missing."""

    async def scene() -> None:
        old, new = await Discovery().start(), await Discovery().start()
        host = await Host("h").start()
        keyed = {"name": "keyed", "aim_ms": 1500, "deadline_ms": 3000, "effect": "dedup", "group": "cell",
                 "window_ms": 3000, "worth": 3}  # fmt: skip
        async with running(old, [host], settings={"categories": [keyed]}) as proxy:
            new.entries["h"] = host.entry()
            safe = {"name": "look", "aim_ms": 900, "deadline_ms": 1900, "effect": "fragile", "worth": 1}

            def edit(fields: Json) -> None:
                fields["settings"]["categories"] = [safe]
                fields["discovery"] = f"127.0.0.1:{new.port}"

            change(proxy, edit)
            await new.wait_for_calls(1)
            client = await proxy.client()
            assert (await client.ask("/look")).status == 200

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("now", "missing"),
    [
        ({"name": "a", "effect": "fragile"}, None),  # the effect changed
        ({"name": "b", "effect": "dedup"}, None),  # another class
        ({"name": "a", "effect": "dedup", "group": "all"}, "c[0].window_ms"),  # the same class, truncated
    ],
)
def test_key_that_only_one_effect_needs_is_required_while_the_class_has_it(
    now: Json, missing: str | None
) -> None:
    before = [{"name": "a", "effect": "dedup", "group": "all", "window_ms": 5}]
    assert first_missing_key({"c": [now]}, {"c": before}) == missing


def test_report_fields_change_in_service_and_other_changes_are_logged() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        host = await Host("h", raw(ok(b"x", b"X-Server-Load: busy=3,queue=1\r\n"))).start()
        async with running(discovery, [host]) as proxy:

            def edit(fields: Json) -> None:
                fields["settings"]["reporting"]["fields"] = ["busy", "queue"]
                fields["settings"]["bounds"]["conn_idle_ms"] = 10_000
                fields["settings"]["balancers"] = 4
                fields["settings"]["discovery"] = "automatic"
                fields["limits"]["sockets"] = 128

            change(proxy, edit)
            await wait_until(proxy, reloads_logged(1))
            log = proxy.log()
            for text in (
                "settings.balancers stays 3, the file has 4",
                "settings.discovery stays 'subscribe', the file has 'automatic'",
                "limits stays",
            ):
                assert text in log, text
            assert "conn_idle_ms" not in log and "reporting" not in log  # both are applied
            client = await proxy.client()
            assert (await client.ask("/unsafe")).status == 200

    asyncio.run(scene())


def test_new_report_fields_reach_the_node_and_the_decisions(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(loop: Loop) -> None:
        node = make_node(("127.0.0.1", 9))
        fields = ("util", "qps")
        node.apply_settings(Settings((RequestClass("unsafe", 1500, 3000),), report_fields=fields))
        assert node._settings.report_fields == fields
        assert node._balancer.settings.report_fields == fields

    run_scene(scene)


def test_unapplied_change_is_named_by_its_path() -> None:
    before: Json = {"name": "n0", "limits": {"sockets": 9}, "settings": {"zone": "a", "categories": [1]}}
    now = copy.deepcopy(before)
    assert unapplied_changes(now, before) == []
    now["settings"]["zone"], now["settings"]["categories"] = "b", [2]
    assert unapplied_changes(now, before) == [
        "settings.zone stays 'a', the file has 'b': a restart changes it"
    ]


# The example deployments

EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


def settings_of(path: Path) -> Json:
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


def test_example_deployments_share_no_class() -> None:
    one, other = (read_settings(settings_of(path), 100) for path in sorted(SITES.glob("*.toml")))
    assert not {c.name for c in one.classes} & {c.name for c in other.classes}
    assert one.subscribe is not other.subscribe and bool(one.tenants) is not bool(other.tenants)


@pytest.mark.parametrize("path", sorted(SITES.glob("*.toml")), ids=lambda path: path.stem)
def test_proxy_applies_the_settings_of_one_deployment_and_then_only_those_of_the_other(path: Path) -> None:
    """After a reload with the other's settings, its classes and their effects are in force, and no others."""
    other = next(p for p in SITES.glob("*.toml") if p != path)

    def calls(settings: Json) -> dict[str, tuple[bytes, int]]:
        """Return by class: a valid request, and its maximum of attempts when each is reset."""
        found = {}
        for c in settings["categories"]:
            key = "Idempotency-Key: k\r\n" if c["effect"] == "dedup" else ""
            if c["effect"] == "retryable":
                head = f"GET /{c['name']} HTTP/1.1\r\nX-Request-ID: {c['name']}\r\n\r\n"
            else:
                head = f"POST /{c['name']} HTTP/1.1\r\nX-Request-ID: {c['name']}\r\n{key}"
                head += "Content-Length: 0\r\n\r\n"
            max_attempts = settings["bounds"]["max_attempts"]
            found[c["name"]] = head.encode(), 1 if c["effect"] == "fragile" else max_attempts
        return found

    async def scene() -> None:
        discovery, hosts = await Discovery().start(), [await Host(f"h{i}", reset).start() for i in range(3)]
        first, second = settings_of(path), settings_of(other)
        async with running(discovery, hosts, settings=first) as proxy:
            for settings, other_settings in ((first, second), (second, first)):
                if settings is second:
                    change(proxy, lambda fields: fields.update(settings={**first, **second}))
                    await wait_until(proxy, reloads_logged(1))
                    await asyncio.sleep(PREVIOUS_CLASSES_S + 0.1)  # the previous classes have expired then
                for name, (data, max_attempts) in calls(settings).items():
                    client, before = await proxy.client(), sum(len(h.seen) for h in hosts)
                    client.writer.write(data)
                    status = (await client.read()).status
                    assert status in (502, 503), name
                    sent = sum(len(h.seen) for h in hosts) - before
                    assert sent <= max_attempts and (status == 503) <= (sent == 0), name
                for name, (data, _) in calls(other_settings).items():
                    client = await proxy.client()
                    client.writer.write(data)
                    assert (await client.read()).status == 404, name

    asyncio.run(scene())
