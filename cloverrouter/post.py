"""The UDP socket of one member of a group of proxies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import cast

from cloverrouter.clock import now_s
from cloverrouter.datagrams import HELLO, BadDatagram, Datagram, DatagramCodec, RejectReason

SocketAddress = tuple[str, int]
MIN_HELLO_INTERVAL_MS = 100.0  # to each peer: limits the replies to a flood of datagrams with a wrong echo


class MemberSocket(asyncio.DatagramProtocol):
    """Sends and receives a member's datagrams; replies with a hello to peers that do not know its life."""

    def __init__(
        self,
        codec: DatagramCodec,
        addresses: Mapping[str, SocketAddress],
        on_datagram: Callable[[Datagram], None],
    ) -> None:
        self.codec = codec
        self.addresses = dict(addresses)
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None
        self._last_hello_ms: dict[str, float] = {}

    async def open(self, listen: SocketAddress) -> None:
        """Bind the socket. Raises OSError."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=listen)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: an unreachable peer is handled like one that does not answer."""

    def send(self, target: str, kind: int, payload: bytes = b"") -> None:
        if self._transport is not None:
            self._transport.sendto(self.codec.wrap(target, kind, payload), self.addresses[target])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = next((name for name, known in self.addresses.items() if known == addr[:2]), None)
        if sender is None:
            self.codec.rejected[RejectReason.SENDER] += 1  # not the address of a configured member
            return
        try:
            datagram = self.codec.unwrap(data)
        except BadDatagram as error:
            if error.reason is RejectReason.ECHO:
                self._send_hello(sender)
            return
        if datagram.sender != sender:
            self.codec.rejected[RejectReason.SENDER] += 1
        elif datagram.kind != HELLO:
            self._on_datagram(datagram)

    def _send_hello(self, target: str) -> None:
        at_ms = now_s() * 1000
        if at_ms - self._last_hello_ms.get(target, float("-inf")) >= MIN_HELLO_INTERVAL_MS:
            self._last_hello_ms[target] = at_ms
            self.send(target, HELLO)
