"""The overlay's rules: examples, and random sequences of lists and commands."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.interface import EndpointState, ListedEndpoint, ListKind
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.roster import overlay
from cloverrouter.roster.overlay import Change, Drain, Overlay, TooManyDrains, UnknownServer
from cloverrouter.values import replace

READY, LEAVING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE


def entry(name: str, state: EndpointState = READY, port: int = 1) -> HostEntry:
    address = None if state is GONE else ("127.0.0.1", port)
    return HostEntry(ListedEndpoint(name, state=state), address)


def host_list(*entries: HostEntry, full: bool = True) -> HostList:
    return HostList(1, full, entries)


def states(found: HostList | None) -> dict[str, EndpointState]:
    return {} if found is None else {e.listed.name: e.listed.state for e in found.entries}


def new_drain(name: str, until_ms: float | None = None) -> Drain:
    return Drain(name, "anna", 1000.0, until_ms)


def overlay_with(*names: str) -> Overlay:
    roster = Overlay()
    roster.listed(ListKind.FULL, host_list(*(entry(name) for name in names)))
    return roster


def test_without_drains_the_list_is_forwarded_unchanged() -> None:
    found = host_list(entry("a"), entry("b", LEAVING))
    assert Overlay().listed(ListKind.FULL, found) is found


def test_drain_updates_the_decision_module_and_restore_undoes_it() -> None:
    roster = overlay_with("a", "b")
    change = roster.drain(new_drain("a"))
    assert (change.before, change.after, states(change.update)) == ("ready", "drained", {"a": LEAVING})
    change = roster.restore("a")
    assert (change.before, change.after, states(change.update)) == ("drained", "ready", {"a": READY})


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.RESTORED, ListKind.DELTA])
def test_no_later_list_undoes_a_drain(kind: ListKind) -> None:
    roster = overlay_with("a", "b")
    roster.drain(new_drain("a"))
    found = roster.listed(kind, host_list(entry("a"), entry("b")))
    assert states(found) == {"a": LEAVING, "b": READY}


@pytest.mark.parametrize("way", ["delta", "full"])
def test_server_that_is_removed_and_listed_again_stays_drained(way: str) -> None:
    roster = overlay_with("a", "b")
    roster.drain(new_drain("a"))
    if way == "delta":
        roster.listed(ListKind.DELTA, host_list(entry("a", GONE)))
    else:
        roster.listed(ListKind.FULL, host_list(entry("b")))
    assert roster.state("a") == "drained+absent"
    back = replace(entry("a", port=2).listed, started_ms=5000.0)  # a new process elsewhere, the same id
    found = roster.listed(ListKind.DELTA, host_list(HostEntry(back, ("127.0.0.1", 2))))
    assert states(found) == {"a": LEAVING}


def test_new_id_at_the_old_address_is_not_drained() -> None:
    roster = overlay_with("a", "b")
    roster.drain(new_drain("a"))
    found = roster.listed(ListKind.FULL, host_list(entry("c"), entry("b")))  # c replaces a
    assert states(found) == {"c": READY, "b": READY}


def test_drain_never_upgrades_the_state_that_discovery_reports() -> None:
    roster = overlay_with("a")
    roster.drain(new_drain("a"))
    assert states(roster.listed(ListKind.DELTA, host_list(entry("a", GONE)))) == {"a": GONE}
    roster.listed(ListKind.DELTA, host_list(entry("a", LEAVING)))
    assert roster.state("a") == "drained+leaving"
    change = roster.restore("a")
    assert (change.after, states(change.update)) == ("leaving", {"a": LEAVING})


def test_repeated_drain_keeps_its_author_and_sends_no_update() -> None:
    roster = overlay_with("a")
    roster.drain(new_drain("a"))
    change = roster.drain(Drain("a", "boris", 2000.0, 9000.0, "longer"))
    assert change.update is None and change.before == change.after == "drained"
    assert roster.drains["a"] == Drain("a", "anna", 1000.0, 9000.0, "longer")
    roster.restore("a")
    assert not roster.restore("a").changed


def test_drain_expires_at_its_end_and_not_before() -> None:
    roster = overlay_with("a", "b")
    roster.drain(new_drain("a", until_ms=5000.0))
    roster.drain(new_drain("b"))
    assert roster.next_expiry_ms() == 5000.0
    assert roster.expire(4999.9) == []
    (change,) = roster.expire(5000.0)
    assert states(change.update) == {"a": READY}
    assert roster.next_expiry_ms() is None and roster.state("b") == "drained"


def test_unknown_ids_and_too_many_drains_are_errors_that_change_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    roster = overlay_with("a", "b")
    with pytest.raises(UnknownServer):
        roster.drain(new_drain("x"))
    with pytest.raises(UnknownServer):
        roster.restore("x")
    monkeypatch.setattr(overlay, "MAX_HOSTS", 1)
    roster.drain(new_drain("a"))
    with pytest.raises(TooManyDrains):
        roster.drain(new_drain("b"))
    assert set(roster.drains) == {"a"}


STEP = st.one_of(
    st.tuples(
        st.just("full"), st.lists(st.tuples(st.sampled_from("abcd"), st.sampled_from([READY, LEAVING])))
    ),
    st.tuples(
        st.just("delta"),
        st.lists(st.tuples(st.sampled_from("abcd"), st.sampled_from([READY, LEAVING, GONE]))),
    ),
    st.tuples(st.sampled_from(["drain", "restore"]), st.sampled_from("abcd")),
    st.tuples(st.just("expire"), st.integers(0, 20)),
)


@given(st.lists(st.tuples(STEP, st.integers(0, 30)), max_size=40))
def test_decision_module_always_sees_the_discovered_list_with_drains_applied(
    steps: list[tuple[tuple[str, object], int]],
) -> None:
    """A drained server is never ready in the decision module's list; the others are as discovered."""
    roster, discovered = Overlay(), dict[str, EndpointState]()
    module_states, drained = dict[str, EndpointState](), dict[str, float | None]()

    def apply_update(found: HostList | None, full: bool = False) -> None:
        if full:
            module_states.clear()
        module_states.update(states(found))
        for name in [n for n, s in module_states.items() if s is GONE]:
            del module_states[name]

    def apply_change(change: Change) -> None:
        apply_update(change.update)

    now = 0
    for (step, argument), number in steps:
        if step in ("full", "delta"):
            pairs = dict(argument)  # type: ignore[call-overload]
            entries = host_list(*(entry(name, state) for name, state in pairs.items()))
            if step == "full":
                discovered.clear()
            discovered.update(pairs)
            discovered = {n: s for n, s in discovered.items() if s is not GONE}
            kind = ListKind.FULL if step == "full" else ListKind.DELTA
            apply_update(roster.listed(kind, entries), full=step == "full")
        elif step == "expire":
            now += int(argument)  # type: ignore[call-overload]
            for change in roster.expire(now):
                apply_change(change)
            drained = {n: u for n, u in drained.items() if u is None or now < u}
        else:
            name = str(argument)
            known = name in discovered or name in drained
            try:
                if step == "drain":
                    until = None if number < 15 else float(now + number)
                    apply_change(roster.drain(new_drain(name, until)))
                    drained[name] = until
                else:
                    apply_change(roster.restore(name))
                    drained.pop(name, None)
            except UnknownServer:
                assert not known
                continue
            assert known
        assert set(roster.drains) == set(drained)
        assert module_states == {n: LEAVING if n in drained else s for n, s in discovered.items()}
