"""How the node applies a list: addresses, which connections are kept, which hosts are preconnected."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Set as AbstractSet
from random import Random
from typing import Any

from cloverrouter.interface import EndpointState, ListedEndpoint, ListKind
from cloverrouter.lab.engine import Engine
from cloverrouter.lab.peers import SETTINGS
from cloverrouter.proxy.config import Address, HostEntry, HostList, read_settings
from cloverrouter.proxy.exchange import Host
from cloverrouter.proxy.node import Node
from cloverrouter.values import replace

STATES = (EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)


class Carrier:
    """Records the calls of the node; `connected` are the hosts with a connection."""

    def __init__(self) -> None:
        self.connected: list[Host] = []
        self.opened: list[Host] = []
        self.discarded: list[tuple[Host, float]] = []
        self.kept: AbstractSet[Host] = set()

    def send(self, *arguments: Any) -> Any:
        raise AssertionError("nothing is sent")

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        self.connected = [host for host in self.connected if host in wanted]
        self.kept = wanted

    def discard_older(self, host: Host, before_s: float) -> None:
        self.discarded.append((host, before_s))

    def preconnect(self, host: Host) -> None:
        self.opened.append(host)


def node_of(proxies: int) -> tuple[Node, Carrier]:
    carrier = Carrier()

    def crash(error: BaseException) -> None:
        raise error

    settings = read_settings({**SETTINGS, "balancers": proxies})
    return Node(settings, 1, carrier, lambda: None, crash, Engine()), carrier


def entry(name: str, port: int, state: EndpointState = EndpointState.READY) -> HostEntry:
    listed = ListedEndpoint(name=name, zone="a", cell=1, weight=1.0, state=state, started_ms=None)
    return HostEntry(listed, None if state is EndpointState.GONE else ("127.0.0.1", port))


class NotIterable(AbstractSet[Host]):
    def __init__(self, known: dict[str, Address]) -> None:
        self._known = known

    def __contains__(self, host: object) -> bool:
        return isinstance(host, tuple) and self._known.get(host[0]) == host[1]

    def __iter__(self) -> Iterator[Host]:
        raise AssertionError("iterated over all known addresses")

    def __len__(self) -> int:
        return len(self._known)


class Addresses(dict[str, Address]):
    def __iter__(self) -> Iterator[str]:
        raise AssertionError("iterated over all known addresses")

    def items(self) -> Any:
        return NotIterable(self)


def test_list_of_changes_visits_only_the_named_hosts() -> None:
    node, carrier = node_of(1)
    every = tuple(entry(f"s-{i}", 4000 + i) for i in range(4096))
    node.listed(ListKind.FULL, HostList(1, True, every))
    assert not carrier.opened  # hosts of the first list are not new
    node._addresses = node._address_book.addresses = Addresses(node._addresses)
    carrier.connected = [("s-7", ("127.0.0.1", 4007)), ("s-8", ("127.0.0.1", 4008))]
    node.listed(ListKind.DELTA, HostList(2, False, ()))
    assert len(carrier.connected) == 2
    node.listed(ListKind.DELTA, HostList(3, False, (entry("s-7", 0, EndpointState.GONE),)))
    node.listed(ListKind.DELTA, HostList(4, False, (entry("new", 9000),)))
    assert carrier.connected == [("s-8", ("127.0.0.1", 4008))]
    assert carrier.opened == [("new", ("127.0.0.1", 9000))]
    assert len(carrier.kept) == 4096


# Guards against: a start time in the future, from a skewed clock, ends the reuse of a host's connections.
def test_connections_from_before_a_start_in_the_future_are_discarded_up_to_now_only() -> None:
    node, carrier = node_of(1)
    before = entry("s-1", 4001)
    node.listed(ListKind.FULL, HostList(1, True, (before,)))
    started = replace(before, listed=replace(before.listed, started_ms=1e12))
    node.listed(ListKind.DELTA, HostList(2, False, (started,)))
    assert carrier.discarded == [(("s-1", ("127.0.0.1", 4001)), node._loop.time())]


def test_new_hosts_are_preconnected_in_the_order_of_the_list() -> None:
    node, carrier = node_of(1)
    node.listed(ListKind.FULL, HostList(1, True, (entry("old", 4000), entry("s-7", 4001))))
    hosts: list[Host] = [(f"s-{i}", ("127.0.0.1", 5000 + i)) for i in range(12)]
    changes = tuple(entry(name, port) for name, (_, port) in hosts)
    node.listed(ListKind.DELTA, HostList(2, False, (*changes, entry("old", 4000))))
    assert carrier.opened == hosts  # one of them at another address than before
    carrier.opened.clear()
    others: list[Host] = [(f"t-{i}", ("127.0.0.1", 6000 + i)) for i in range(12)]
    every = (*(entry(name, port) for name, (_, port) in others), *changes)
    node.listed(ListKind.FULL, HostList(3, True, every))
    assert carrier.opened == others


def test_same_hosts_are_kept_and_preconnected_as_by_a_full_comparison() -> None:
    for seed in range(200):
        random = Random(seed)
        node, carrier = node_of(random.choice((1, 40)))
        known: dict[str, Address] = {}
        for version in range(1, 12):
            kind = random.choice((ListKind.DELTA, ListKind.DELTA, ListKind.FULL, ListKind.RESTORED))
            numbers = [random.randrange(6) for _ in range(random.randrange(8))]
            changes = [  # each host has addresses of its own; see `test_address_book` for shared ones
                entry(f"s-{number}", 4000 + 2 * number + random.randrange(2), random.choice(STATES))
                for number in numbers
            ]
            before = dict(known)
            if kind is not ListKind.DELTA:
                known.clear()
            for one in changes:
                if one.listed.state is EndpointState.READY and one.address is not None:
                    known[one.listed.name] = one.address
                else:
                    known.pop(one.listed.name, None)
            carrier.opened.clear()
            node.listed(kind, HostList(version, kind is not ListKind.DELTA, tuple(changes)))
            ahead = (
                set(known.items()) - set(before.items())
                if before and not node._balancer.many_proxies
                else set()
            )
            assert set(carrier.opened) == ahead and len(carrier.opened) == len(ahead), seed
            assert set(carrier.kept) == set(known.items()), seed
