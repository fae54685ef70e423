"""The rules of the management interface without sockets: parsing of calls, bans over the list, metrics."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.interface import (
    BalancerView,
    EndpointState,
    EndpointView,
    ListedEndpoint,
    ListKind,
    Outcome,
)
from cloverrouter.management.bans import LIFTED_KEPT_MS, Bans
from cloverrouter.management.calls import MAX_CALL_BYTES, CallError, CallKind, CallParser, OperatorCall
from cloverrouter.management.figures import Figures
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock
from cloverrouter.proxy.observer import AttemptResult, RequestResult
from cloverrouter.roster.limits import MAX_HOSTS
from cloverrouter.roster.overlay import TooManyDrains, UnknownServer
from cloverrouter.roster.store import decode, encode
from tests.control.test_book import FakeCall

NOW = 1_700_000_000_000.0
CLOCK = UnixClock()


def entry(name: str, state: EndpointState = EndpointState.READY, started: float | None = None) -> HostEntry:
    started_ms = None if started is None else CLOCK.monotonic_ms(started)
    return HostEntry(ListedEndpoint(name, state=state, started_ms=started_ms), ("127.0.0.1", 1))


def listing(*entries: HostEntry) -> HostList:
    return HostList(1, True, entries)


def states_of(found: HostList | None) -> dict[str, tuple[EndpointState, float | None]]:
    entries = () if found is None else found.entries
    return {e.listed.name: (e.listed.state, e.listed.started_ms) for e in entries}


def with_hosts(*names: str) -> Bans:
    bans = Bans(CLOCK)
    bans.listed(ListKind.FULL, listing(*(entry(name) for name in names)))
    return bans


def test_ban_outlasts_updates_of_the_list_until_it_is_lifted() -> None:
    bans = with_hosts("a", "b")
    assert states_of(bans.ban("a", NOW)) == {"a": (EndpointState.DRAINING, None)}
    assert bans.ban("a", NOW + 5) is None  # a repeated ban
    for kind in (ListKind.FULL, ListKind.DELTA, ListKind.RESTORED):
        assert states_of(bans.listed(kind, listing(entry("a"), entry("b"))))["a"][0] is EndpointState.DRAINING
    bans.listed(ListKind.FULL, listing(entry("b")))  # absent from the list during its restart
    assert bans.ban("a", NOW + 9) is None
    assert states_of(bans.listed(ListKind.DELTA, listing(entry("a"))))["a"][0] is EndpointState.DRAINING
    assert states_of(bans.lift("a", NOW + 10))["a"][0] is EndpointState.READY
    assert bans.lift("a", NOW + 11) is None


def test_host_is_cold_after_its_ban_until_the_list_has_its_new_start() -> None:
    bans = with_hosts("a")
    bans.ban("a", NOW)
    lifted_ms = states_of(bans.lift("a", NOW + 4000))["a"][1]
    assert lifted_ms == CLOCK.monotonic_ms(NOW + 4000)
    # A start before the ban is that of the old process and is ignored; a start after it applies.
    for old_start in (None, NOW - 60_000):
        assert (
            states_of(bans.listed(ListKind.FULL, listing(entry("a", started=old_start))))["a"][1] == lifted_ms
        )
    started_ms = states_of(bans.listed(ListKind.FULL, listing(entry("a", started=NOW + 3000))))["a"][1]
    assert started_ms == CLOCK.monotonic_ms(NOW + 3000)


def test_unknown_host_is_rejected_and_an_absent_one_can_be_banned() -> None:
    bans = with_hosts("a")
    for call in (bans.ban, bans.lift):
        with pytest.raises(UnknownServer):
            call("b", NOW)
    bans.listed(ListKind.FULL, listing())
    assert bans.ban("a", NOW) is None
    assert states_of(bans.listed(ListKind.FULL, listing(entry("a"))))["a"][0] is EndpointState.DRAINING


def test_known_ids_and_bans_are_bounded() -> None:
    bans = Bans(CLOCK)
    for i in range(MAX_HOSTS + 50):
        bans.listed(ListKind.FULL, listing(entry(f"h{i}")))
    with pytest.raises(UnknownServer):
        bans.ban("h0", NOW)
    for i in range(MAX_HOSTS):
        bans.ban(f"h{i + 50}", NOW)
    bans.listed(ListKind.FULL, listing(entry("one more")))
    with pytest.raises(TooManyDrains):
        bans.ban("one more", NOW)
    bans.lift("h60", NOW)
    assert len(bans.records(NOW)) == MAX_HOSTS and len(bans.records(NOW + LIFTED_KEPT_MS)) == MAX_HOSTS - 1
    assert decode(encode(bans.records(NOW))) == bans.records(NOW)  # what may be in force can be stored


def test_another_process_loads_bans_and_lifted_bans() -> None:
    one, other = with_hosts("a", "b", "c"), with_hosts("a", "b", "c")
    one.ban("a", NOW)
    one.ban("b", NOW)
    one.lift("b", NOW + 1)
    changed = states_of(other.merge_shared(one.records(NOW + 2)))
    assert changed == {"a": (EndpointState.DRAINING, None)}  # b was never banned in that process
    assert states_of(other.listed(ListKind.FULL, listing(entry("b"))))["b"][1] == CLOCK.monotonic_ms(NOW + 1)
    one.lift("a", NOW + 3)
    assert states_of(other.merge_shared(one.records(NOW + 3))) == {}  # a is no longer listed there
    assert other.merge_shared(one.records(NOW + 4)) is None


# Calls


@pytest.mark.parametrize(
    ("text", "call"),
    [
        ("GET /healthcheck", OperatorCall(CallKind.HEALTH)),
        ("GET /stats?x=1", OperatorCall(CallKind.STATS)),
        ("PUT /hosts/s-1/maint", OperatorCall(CallKind.BAN, "s-1")),
        ("PUT /hosts/a%2Fb/ready", OperatorCall(CallKind.LIFT, "a/b")),
    ],
)
@given(split_at=st.integers(1, 200))
def test_call_is_parsed_from_any_two_pieces(text: str, call: OperatorCall, split_at: int) -> None:
    data = f"{text} HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc".encode()
    parser = CallParser()
    assert (parser.feed(data[:split_at]) if split_at < len(data) else None) is None
    assert (parser.feed(data[split_at:]) if split_at < len(data) else parser.feed(data)) == call


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"POST /healthcheck HTTP/1.1\r\n\r\n", 405),
        (b"GET /hosts/a/maint HTTP/1.1\r\n\r\n", 405),
        (b"PUT /hosts/a/other HTTP/1.1\r\n\r\n", 404),
        (b"PUT /hosts//maint HTTP/1.1\r\n\r\n", 404),
        (b"GET / HTTP/1.1\r\n\r\n", 404),
        (b"\x16\x03\x01 noise\r\n\r\n", 400),
        (b"GET /" + b"a" * MAX_CALL_BYTES, 413),
    ],
)
def test_invalid_call_raises_an_error_with_status_and_text(data: bytes, status: int) -> None:
    with pytest.raises(CallError) as caught:
        CallParser().feed(data)
    assert caught.value.status == status and str(caught.value)


@given(st.lists(st.binary(max_size=60), max_size=6))
def test_any_bytes_give_a_call_an_error_or_an_incomplete_call(pieces: list[bytes]) -> None:
    parser = CallParser()
    try:
        for piece in pieces:
            parser.feed(piece)
    except CallError as error:
        assert 400 <= error.status < 500


# Metrics


def view(
    name: str, state: EndpointState = EndpointState.READY, paused: float = 0, failures: int = 0
) -> EndpointView:
    return EndpointView(name, "a", 0, state, 0, 1.0, 1.0, 1.0, paused, False, failures, 5.0)


def test_metrics_have_counters_by_class_and_result_and_gauges() -> None:
    figures = Figures()
    for outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
        figures.attempt_ended(FakeCall(), AttemptResult("s", outcome, 1.0), None)
    for final in (
        RequestResult.SERVED,
        RequestResult.SERVED,
        RequestResult.REFUSED,
        RequestResult.FAILED,
        RequestResult.GONE,
    ):
        figures.request_ended(FakeCall(), final, None, (), 1.0)
    figures.request_refused_early(FakeCall("b"), "a backup")
    figures.reloads_failed += 2
    hosts = (
        view("in use"),
        view("just failed", paused=900, failures=1),
        view("rests", paused=900),
        view("left out", paused=900, failures=4),
        view("out by hand", EndpointState.DRAINING),
    )
    text = figures.text(["a", "c"], {"a": 4}, 7, BalancerView(hosts, 0, 0, 100.0, False)).decode()
    assert text.splitlines() == [
        "edge_proxy.requests.a.served:2|c",
        "edge_proxy.requests.a.refused:1|c",
        "edge_proxy.requests.a.failed:1|c",
        "edge_proxy.requests.a.attempts:7|c",  # three written and ended, four written and still open
        "edge_proxy.requests.b.served:0|c",
        "edge_proxy.requests.b.refused:1|c",
        "edge_proxy.requests.b.failed:0|c",
        "edge_proxy.requests.b.attempts:0|c",
        "edge_proxy.requests.c.served:0|c",
        "edge_proxy.requests.c.refused:0|c",
        "edge_proxy.requests.c.failed:0|c",
        "edge_proxy.requests.c.attempts:0|c",
        "edge_proxy.in_flight:7|g",
        "edge_proxy.hosts_known:5|g",
        "edge_proxy.hosts_excluded:2|g",
        "edge_proxy.reloads_ok:0|c",
        "edge_proxy.reloads_failed:2|c",
    ]
