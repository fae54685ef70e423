"""What the node does with a list: its addresses, who keeps a connection, who is connected to ahead."""

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

STATES = (EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)


class Carrier:
    """Remembers what it was told of hosts; it is connected to some of them."""

    def __init__(self) -> None:
        self.connected: list[Host] = []
        self.opened: list[Host] = []
        self.kept: AbstractSet[Host] = set()

    def send(self, *told: Any) -> Any:
        raise AssertionError("nothing is sent")

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        self.connected = [host for host in self.connected if host in wanted]
        self.kept = wanted

    def open_ahead(self, host: Host) -> None:
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


class Unwalked(AbstractSet[Host]):
    def __init__(self, known: dict[str, Address]) -> None:
        self._known = known

    def __contains__(self, host: object) -> bool:
        return isinstance(host, tuple) and self._known.get(host[0]) == host[1]

    def __iter__(self) -> Iterator[Host]:
        raise AssertionError("all that is known was walked over")

    def __len__(self) -> int:
        return len(self._known)


class Addresses(dict[str, Address]):
    def __iter__(self) -> Iterator[str]:
        raise AssertionError("all that is known was walked over")

    def items(self) -> Any:
        return Unwalked(self)


def test_a_list_of_changes_touches_only_those_that_it_names() -> None:
    node, carrier = node_of(1)
    every = tuple(entry(f"s-{i}", 4000 + i) for i in range(4096))
    node.listed(ListKind.FULL, HostList(1, True, every))
    assert not carrier.opened  # a first list names who has long been there
    node._addresses = Addresses(node._addresses)
    carrier.connected = [("s-7", ("127.0.0.1", 4007)), ("s-8", ("127.0.0.1", 4008))]
    node.listed(ListKind.DELTA, HostList(2, False, ()))
    assert len(carrier.connected) == 2
    node.listed(ListKind.DELTA, HostList(3, False, (entry("s-7", 0, EndpointState.GONE),)))
    node.listed(ListKind.DELTA, HostList(4, False, (entry("new", 9000),)))
    assert carrier.connected == [("s-8", ("127.0.0.1", 4008))]
    assert carrier.opened == [("new", ("127.0.0.1", 9000))]
    assert len(carrier.kept) == 4096


def test_whatever_the_lists_say_the_same_are_kept_and_opened_as_by_comparing_all_of_them() -> None:
    for seed in range(200):
        random = Random(seed)
        node, carrier = node_of(random.choice((1, 40)))
        known: dict[str, Address] = {}
        for version in range(1, 12):
            kind = random.choice((ListKind.DELTA, ListKind.DELTA, ListKind.FULL, ListKind.RESTORED))
            told = [
                entry(f"s-{random.randrange(6)}", 4000 + random.randrange(2), random.choice(STATES))
                for _ in range(random.randrange(8))
            ]
            before = dict(known)
            if kind is not ListKind.DELTA:
                known.clear()
            for one in told:
                if one.listed.state is EndpointState.READY and one.address is not None:
                    known[one.listed.name] = one.address
                else:
                    known.pop(one.listed.name, None)
            carrier.opened.clear()
            node.listed(kind, HostList(version, kind is not ListKind.DELTA, tuple(told)))
            ahead = (
                set(known.items()) - set(before.items()) if before and not node._balancer.crowded else set()
            )
            assert set(carrier.opened) == ahead and len(carrier.opened) == len(ahead), seed
            assert set(carrier.kept) == set(known.items()), seed
