"""The events that the keeper reports for discovery's lists."""

from __future__ import annotations

from cloverrouter.interface import BalancerView, EndpointState, ListedEndpoint, ListKind
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.roster.keeper import Keeper


def entry(name: str, state: EndpointState = EndpointState.READY) -> HostEntry:
    return HostEntry(ListedEndpoint(name, state=state), ("127.0.0.1", 1))


def no_view() -> BalancerView:
    raise AssertionError("no command is given")


def test_events_of_a_full_list_name_the_known_servers_first_then_the_new_ones_in_their_order() -> None:
    reported: list[tuple[object, object]] = []
    keeper = Keeper(
        None,
        lambda kind, found: None,
        no_view,
        lambda kind, fields: reported.append((fields["server"], fields["after"])),
        lambda name, text: None,
    )
    old, new = [f"s-{i}" for i in range(12)], [f"t-{i}" for i in range(12)]
    keeper.listed(ListKind.FULL, HostList(1, True, tuple(entry(name) for name in old)))
    assert reported == [(name, "ready") for name in old]
    reported.clear()
    entries = (entry("s-5", EndpointState.DRAINING), entry("s-3"), *(entry(name) for name in new))
    keeper.listed(ListKind.FULL, HostList(2, True, entries))
    known = [(name, "leaving" if name == "s-5" else "absent") for name in old if name != "s-3"]
    assert reported == [*known, *((name, "ready") for name in new)]
