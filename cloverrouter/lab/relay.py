"""UDP relays between two members or in front of a server: loss, delay, duplication and cuts per direction."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import cast

Address = tuple[str, int]


class DatagramPath:
    """One direction of a datagram network: loss, delay, duplication, cuts.

    `loss` and `duplicate` are probabilities; `delay` draws the delay of each copy, in the caller's unit of
    time. With `bursts`, the mean lengths of a bad and of a good state, datagrams are lost only in the bad
    state (Gilbert 1960).
    """

    def __init__(
        self,
        random: Random,
        delay: Callable[[], float] = lambda: 0.0,
        bursts: tuple[float, float] | None = None,
        loss: float = 0.0,
        duplicate: float = 0.0,
    ) -> None:
        self._random, self._bursts = random, bursts
        self.delay, self.loss, self.duplicate = delay, loss, duplicate
        self.cut = False
        self.cut_until = 0.0
        self._lossy, self._state_ends = bursts is None, float("inf") if bursts is None else 0.0
        self.passed = self.lost = 0

    def copy_delays(self, now: float) -> list[float]:
        """Return the delay of each copy of a datagram sent at `now`; empty if it is lost."""
        random = self._random
        while now >= self._state_ends and self._bursts is not None:
            self._lossy = not self._lossy
            self._state_ends += random.expovariate(1 / self._bursts[0 if self._lossy else 1])
        copies = 2 if random.random() < self.duplicate else 1
        delays = []
        for _ in range(copies):
            lost = self._lossy and random.random() < self.loss
            if not (lost or self.cut or now < self.cut_until):
                delays.append(self.delay())
        self.lost += not delays
        self.passed += bool(delays)
        return delays


class RelaySocket(asyncio.DatagramProtocol):
    """A relay's socket at one member: forwards what it receives through the `other` socket to `target`."""

    def __init__(self, path: DatagramPath, target: Address) -> None:
        self.path, self.target = path, target
        self.other: RelaySocket | None = None
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        assert self.other is not None
        loop = asyncio.get_running_loop()
        for delay_s in self.path.copy_delays(loop.time()):
            loop.call_later(delay_s, self.other.forward, data, self.target)

    def forward(self, data: bytes, target: Address) -> None:
        """Send a datagram from this socket."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, target)


class Relay:
    """A relay between members a and b.

    a sends datagrams for b to `address_for_a` and receives b's from there; `address_for_b` is the same for b.
    """

    def __init__(self, seed: int, a: Address, b: Address) -> None:
        random = Random(seed)
        self.a_to_b, self.b_to_a = DatagramPath(random), DatagramPath(random)
        self._sockets = RelaySocket(self.a_to_b, b), RelaySocket(self.b_to_a, a)
        self._sockets[0].other, self._sockets[1].other = self._sockets[1], self._sockets[0]
        self.address_for_a: Address = ("", 0)
        self.address_for_b: Address = ("", 0)

    async def start(self, host_for_a: str, host_for_b: str) -> Relay:
        """Open the two sockets."""
        loop = asyncio.get_running_loop()
        found = []
        for end, host in zip(self._sockets, (host_for_a, host_for_b), strict=True):
            transport, _ = await loop.create_datagram_endpoint(lambda end=end: end, local_addr=(host, 0))  # type: ignore[misc]
            found.append(transport.get_extra_info("sockname")[:2])
        self.address_for_a, self.address_for_b = found
        return self

    def cut(self, cut: bool = True) -> None:
        """Cut both directions, or restore them."""
        self.a_to_b.cut = self.b_to_a.cut = cut

    def close(self) -> None:
        """Close the sockets."""
        for end in self._sockets:
            if end.transport is not None:
                end.transport.close()


class NatSocket(asyncio.DatagramProtocol):
    """A client's port on the server side of a `Nat`."""

    def __init__(self, nat: Nat, client: Address) -> None:
        self.nat, self.client = nat, client
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.nat.on_server_datagram(data, self.client)


class Nat(asyncio.DatagramProtocol):
    """A NAT between clients and one server, with a port for each client.

    `rebind` gives every client a new port, as a NAT device does that has lost its table of flows.
    """

    def __init__(self, seed: int, server: Address) -> None:
        random = Random(seed)
        self.to_server, self.to_clients = DatagramPath(random), DatagramPath(random)
        self.address: Address = ("", 0)  # where clients send
        self._server = server
        self._sockets: dict[Address, asyncio.Task[NatSocket]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str = "127.0.0.1") -> Nat:
        """Open the socket for the clients."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, 0))
        self.address = self._transport.get_extra_info("sockname")[:2]
        return self

    def datagram_received(self, data: bytes, addr: Address) -> None:
        loop = asyncio.get_running_loop()
        if addr not in self._sockets:
            self._sockets[addr] = loop.create_task(self._open(addr))
        for delay_s in self.to_server.copy_delays(loop.time()):
            loop.call_later(delay_s, self._send_to_server, data, addr)

    async def _open(self, client: Address) -> NatSocket:
        loop = asyncio.get_running_loop()
        _, end = await loop.create_datagram_endpoint(
            lambda: NatSocket(self, client), local_addr=(self.address[0], 0)
        )
        return end

    def _send_to_server(self, data: bytes, client: Address) -> None:
        task = self._sockets.get(client)
        if task is not None:
            task.add_done_callback(lambda task: self._forward(task, data))

    def _forward(self, task: asyncio.Task[NatSocket], data: bytes) -> None:
        if not task.cancelled() and task.exception() is None:
            transport = task.result().transport
            if transport is not None and not transport.is_closing():
                transport.sendto(data, self._server)

    def on_server_datagram(self, data: bytes, client: Address) -> None:
        """Forward a datagram of the server to `client`."""
        loop = asyncio.get_running_loop()
        for delay_s in self.to_clients.copy_delays(loop.time()):
            loop.call_later(delay_s, self._send_to_client, data, client)

    def _send_to_client(self, data: bytes, client: Address) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, client)

    def rebind(self) -> None:
        """Give each client a new port; the old ports are closed."""
        old, self._sockets = self._sockets, {}
        for task in old.values():
            task.add_done_callback(_close)

    def close(self) -> None:
        """Close all sockets."""
        self.rebind()
        if self._transport is not None:
            self._transport.close()


def _close(task: asyncio.Task[NatSocket]) -> None:
    if not task.cancelled() and task.exception() is None:
        transport = task.result().transport
        if transport is not None:
            transport.close()
