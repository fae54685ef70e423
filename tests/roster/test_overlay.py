"""The overlay's rules, by example and over random histories."""

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


def told(*entries: HostEntry, full: bool = True) -> HostList:
    return HostList(1, full, entries)


def states(found: HostList | None) -> dict[str, EndpointState]:
    return {} if found is None else {e.listed.name: e.listed.state for e in found.entries}


def by(name: str, until_ms: float | None = None) -> Drain:
    return Drain(name, "anna", 1000.0, until_ms)


def fresh(*names: str) -> Overlay:
    found = Overlay()
    found.listed(ListKind.FULL, told(*(entry(name) for name in names)))
    return found


def test_without_drains_the_list_is_passed_on_as_it_is() -> None:
    found = told(entry("a"), entry("b", LEAVING))
    assert Overlay().listed(ListKind.FULL, found) is found


def test_drain_tells_the_module_and_restore_takes_it_back() -> None:
    roster = fresh("a", "b")
    change = roster.drain(by("a"))
    assert (change.before, change.after, states(change.tell)) == ("ready", "drained", {"a": LEAVING})
    change = roster.restore("a")
    assert (change.before, change.after, states(change.tell)) == ("drained", "ready", {"a": READY})


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.RESTORED, ListKind.DELTA])
def test_no_later_list_undoes_a_drain(kind: ListKind) -> None:
    roster = fresh("a", "b")
    roster.drain(by("a"))
    found = roster.listed(kind, told(entry("a"), entry("b")))
    assert states(found) == {"a": LEAVING, "b": READY}


@pytest.mark.parametrize("way", ["delta", "full"])
def test_server_that_vanishes_and_comes_back_under_its_id_stays_drained(way: str) -> None:
    roster = fresh("a", "b")
    roster.drain(by("a"))
    if way == "delta":
        roster.listed(ListKind.DELTA, told(entry("a", GONE)))
    else:
        roster.listed(ListKind.FULL, told(entry("b")))
    assert roster.state("a") == "drained+absent"
    back = replace(entry("a", port=2).listed, started_ms=5000.0)  # a new process elsewhere, the same id
    found = roster.listed(ListKind.DELTA, told(HostEntry(back, ("127.0.0.1", 2))))
    assert states(found) == {"a": LEAVING}


def test_new_id_at_the_old_address_is_not_drained() -> None:
    roster = fresh("a", "b")
    roster.drain(by("a"))
    found = roster.listed(ListKind.FULL, told(entry("c"), entry("b")))  # c stands where a stood
    assert states(found) == {"c": READY, "b": READY}


def test_drain_never_makes_more_of_a_server_than_discovery_does() -> None:
    roster = fresh("a")
    roster.drain(by("a"))
    assert states(roster.listed(ListKind.DELTA, told(entry("a", GONE)))) == {"a": GONE}
    roster.listed(ListKind.DELTA, told(entry("a", LEAVING)))
    assert roster.state("a") == "drained+leaving"
    change = roster.restore("a")
    assert (change.after, states(change.tell)) == ("leaving", {"a": LEAVING})


def test_said_again_a_drain_keeps_its_author_and_tells_nothing() -> None:
    roster = fresh("a")
    roster.drain(by("a"))
    change = roster.drain(Drain("a", "boris", 2000.0, 9000.0, "longer"))
    assert change.tell is None and change.before == change.after == "drained"
    assert roster.drains["a"] == Drain("a", "anna", 1000.0, 9000.0, "longer")
    roster.restore("a")
    assert not roster.restore("a").changed


def test_drain_ends_by_itself_at_its_time_and_not_before() -> None:
    roster = fresh("a", "b")
    roster.drain(by("a", until_ms=5000.0))
    roster.drain(by("b"))
    assert roster.next_expiry_ms() == 5000.0
    assert roster.expire(4999.9) == []
    (change,) = roster.expire(5000.0)
    assert states(change.tell) == {"a": READY}
    assert roster.next_expiry_ms() is None and roster.state("b") == "drained"


def test_unknown_ids_and_too_many_are_errors_and_change_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    roster = fresh("a", "b")
    with pytest.raises(UnknownServer):
        roster.drain(by("x"))
    with pytest.raises(UnknownServer):
        roster.restore("x")
    monkeypatch.setattr(overlay, "MOST_DRAINS", 1)
    roster.drain(by("a"))
    with pytest.raises(TooManyDrains):
        roster.drain(by("b"))
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
def test_what_the_module_was_told_is_always_discovery_overlaid(
    steps: list[tuple[tuple[str, object], int]],
) -> None:
    """The module's list, kept from what it is told, is never ready for a drained server and never differs
    from what discovery said for any other."""
    roster, discovery = Overlay(), dict[str, EndpointState]()
    module, drained = dict[str, EndpointState](), dict[str, float | None]()

    def tell(found: HostList | None, whole: bool = False) -> None:
        if whole:
            module.clear()
        module.update(states(found))
        for name in [n for n, s in module.items() if s is GONE]:
            del module[name]

    def follow(change: Change) -> None:
        tell(change.tell)

    now = 0
    for (what, how), number in steps:
        if what in ("full", "delta"):
            pairs = dict(how)  # type: ignore[call-overload]
            entries = told(*(entry(name, state) for name, state in pairs.items()))
            if what == "full":
                discovery.clear()
            discovery.update(pairs)
            discovery = {n: s for n, s in discovery.items() if s is not GONE}
            kind = ListKind.FULL if what == "full" else ListKind.DELTA
            tell(roster.listed(kind, entries), whole=what == "full")
        elif what == "expire":
            now += int(how)  # type: ignore[call-overload]
            for change in roster.expire(now):
                follow(change)
            drained = {n: u for n, u in drained.items() if u is None or now < u}
        else:
            name = str(how)
            known = name in discovery or name in drained
            try:
                if what == "drain":
                    until = None if number < 15 else float(now + number)
                    follow(roster.drain(by(name, until)))
                    drained[name] = until
                else:
                    follow(roster.restore(name))
                    drained.pop(name, None)
            except UnknownServer:
                assert not known
                continue
            assert known
        assert set(roster.drains) == set(drained)
        assert module == {n: LEAVING if n in drained else s for n, s in discovery.items()}
