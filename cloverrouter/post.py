"""The UDP socket of one member of a group of proxies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import cast

from cloverrouter.clock import now_s
from cloverrouter.datagrams import HELLO, BadDatagram, Courier, Datagram, Reason

SocketAddress = tuple[str, int]
HELLO_EVERY_MS = 100.0  # at most, to each: a flood of strange echoes is not answered one by one


class Post(asyncio.DatagramProtocol):
    """The socket of one member: wraps, unwraps, says hello to whoever does not know this life."""

    def __init__(
        self,
        courier: Courier,
        addresses: Mapping[str, SocketAddress],
        on_datagram: Callable[[Datagram], None],
    ) -> None:
        self.courier = courier
        self.addresses = dict(addresses)
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None
        self._greeted_ms: dict[str, float] = {}

    async def open(self, listen: SocketAddress) -> None:
        """Raises OSError."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=listen)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """A peer that is not there answers by ICMP: it is as silent as one that is cut off."""

    def send(self, target: str, kind: int, payload: bytes = b"") -> None:
        if self._transport is not None:
            self._transport.sendto(self.courier.wrap(target, kind, payload), self.addresses[target])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = next((name for name, known in self.addresses.items() if known == addr[:2]), None)
        if sender is None:
            self.courier.refused[Reason.SENDER] += 1  # a third box, or a stranger
            return
        try:
            told = self.courier.unwrap(data)
        except BadDatagram as wrong:
            if wrong.reason is Reason.ECHO:
                self._greet(sender)
            return
        if told.sender != sender:
            self.courier.refused[Reason.SENDER] += 1
        elif told.kind != HELLO:
            self._on_datagram(told)

    def _greet(self, target: str) -> None:
        at_ms = now_s() * 1000
        if at_ms - self._greeted_ms.get(target, float("-inf")) >= HELLO_EVERY_MS:
            self._greeted_ms[target] = at_ms
            self.send(target, HELLO)
