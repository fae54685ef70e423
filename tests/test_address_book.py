"""Which of the listed hosts an address belongs to."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.interface import EndpointState, ListedEndpoint, ListKind
from cloverrouter.proxy.address_book import AddressBook
from cloverrouter.proxy.config import Address, HostEntry, HostList

ADDRESSES: list[Address] = [("127.0.0.1", 1), ("127.0.0.1", 2)]


def entry(
    name: str, port: int, started_ms: float | None = None, state: EndpointState = EndpointState.READY
) -> HostEntry:
    address = None if state is EndpointState.GONE else ("127.0.0.1", port)
    return HostEntry(ListedEndpoint(name, state=state, started_ms=started_ms), address)


def listing(*entries: HostEntry, full: bool = False) -> HostList:
    return HostList(1, full, entries)


def states(found: HostList) -> dict[str, EndpointState]:
    return {entry.listed.name: entry.listed.state for entry in found.entries}


def test_host_that_starts_at_the_address_of_another_takes_its_place() -> None:
    book = AddressBook()
    book.apply(ListKind.FULL, listing(entry("a", 1), entry("b", 2), full=True))
    found = book.apply(ListKind.DELTA, listing(entry("c", 1, started_ms=5.0)))
    assert states(found) == {"a": EndpointState.GONE, "c": EndpointState.READY}
    assert book.addresses == {"b": ("127.0.0.1", 2), "c": ("127.0.0.1", 1)}


# Guards against: a new host that is listed without its start is never used, where the old one's was told.
def test_new_host_without_a_start_takes_the_address_of_one_with_a_start() -> None:
    book = AddressBook()
    book.apply(ListKind.FULL, listing(entry("a", 1, started_ms=5.0), full=True))
    found = book.apply(ListKind.DELTA, listing(entry("c", 1)))
    assert states(found) == {"a": EndpointState.GONE, "c": EndpointState.READY}
    book.apply(ListKind.DELTA, listing(entry("a", 1, state=EndpointState.GONE)))
    assert set(book.addresses) == {"c"}


def test_late_entry_of_the_old_host_does_not_take_the_address_back() -> None:
    book = AddressBook()
    book.apply(ListKind.FULL, listing(entry("a", 1), full=True))
    book.apply(ListKind.DELTA, listing(entry("c", 1, started_ms=5.0)))
    assert states(book.apply(ListKind.DELTA, listing(entry("a", 1)))) == {"a": EndpointState.GONE}
    assert set(book.addresses) == {"c"}


def test_whole_list_names_one_host_for_an_address() -> None:
    entries = (entry("c", 1, started_ms=5.0), entry("a", 1), entry("b", 2))
    found = AddressBook().apply(ListKind.FULL, listing(*entries, full=True))
    assert states(found) == {"c": EndpointState.READY, "b": EndpointState.READY}


def test_old_host_at_another_address_is_used_again() -> None:
    book = AddressBook()
    book.apply(ListKind.FULL, listing(entry("a", 1), full=True))
    book.apply(ListKind.DELTA, listing(entry("c", 1, started_ms=5.0)))
    book.apply(ListKind.DELTA, listing(entry("a", 2, started_ms=6.0)))
    assert book.addresses == {"a": ("127.0.0.1", 2), "c": ("127.0.0.1", 1)}


def test_drained_host_leaves_its_address_to_the_next_one() -> None:
    book = AddressBook()
    book.apply(ListKind.FULL, listing(entry("a", 1), full=True))
    draining = entry("a", 1, state=EndpointState.DRAINING)
    found = book.apply(ListKind.DELTA, listing(draining, entry("c", 1)))
    assert states(found) == {"a": EndpointState.DRAINING, "c": EndpointState.READY}


def test_new_start_at_the_same_address_is_noted() -> None:
    book = AddressBook()
    book.apply(ListKind.FULL, listing(entry("a", 1), entry("b", 2, started_ms=3.0), full=True))
    again = (entry("a", 1, started_ms=9.0), entry("b", 2, started_ms=3.0))
    for kind in (ListKind.FULL, ListKind.DELTA):
        book.apply(kind, listing(*again, full=kind is ListKind.FULL))
        assert [e.listed.name for e in book.restarted] == (["a"] if kind is ListKind.FULL else [])


ENTRIES = st.builds(
    entry,
    st.sampled_from("abcd"),
    st.sampled_from([1, 2]),
    st.sampled_from([None, 1.0, 2.0]),
    st.sampled_from([EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]),
)


@given(st.lists(st.tuples(st.booleans(), st.lists(ENTRIES, max_size=4)), max_size=8))
def test_no_address_ever_belongs_to_two_hosts(lists: list[tuple[bool, list[HostEntry]]]) -> None:
    book, ready = AddressBook(), dict[str, EndpointState]()
    for full, entries in lists:
        kind = ListKind.FULL if full else ListKind.DELTA
        found = states(book.apply(kind, listing(*entries, full=full)))
        ready = {} if full else ready
        ready.update(found)
        assert len(set(book.addresses.values())) == len(book.addresses)
        # What the decisions are told is what the addresses are known of.
        assert {n for n, state in ready.items() if state is EndpointState.READY} == set(book.addresses)
