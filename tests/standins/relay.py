"""A UDP relay between members of a pair: loses, delays, doubles and cuts, each way by itself."""

from __future__ import annotations

import asyncio
from random import Random
from typing import cast

Address = tuple[str, int]


class Way:
    """One direction. `loss` from 0 to 1, `delay_s` at the most, `double` the share that comes twice."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.loss, self.delay_s, self.double = 0.0, 0.0, 0.0
        self.cut = False
        self.passed = self.lost = 0

    def times(self) -> list[float]:
        """After how long each copy goes on; none if it is lost."""
        if self.cut or self._random.random() < self.loss:
            self.lost += 1
            return []
        self.passed += 1
        copies = 2 if self._random.random() < self.double else 1
        return [self._random.random() * self.delay_s for _ in range(copies)]


class End(asyncio.DatagramProtocol):
    """What stands in for one member towards another: what comes here goes on from the other's end."""

    def __init__(self, way: Way, target: Address) -> None:
        self.way, self.target = way, target
        self.other: End | None = None
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        assert self.other is not None
        loop = asyncio.get_running_loop()
        for wait_s in self.way.times():
            loop.call_later(wait_s, self.other.send_on, data, self.target)

    def send_on(self, data: bytes, target: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, target)


class Relay:
    """Between two members at their own addresses. `for_a` is where a sends for b, `for_b` the other way;
    each sees the other at that address."""

    def __init__(self, seed: int, a: Address, b: Address) -> None:
        random = Random(seed)
        self.a_to_b, self.b_to_a = Way(random), Way(random)
        self._ends = End(self.a_to_b, b), End(self.b_to_a, a)
        self._ends[0].other, self._ends[1].other = self._ends[1], self._ends[0]
        self.for_a: Address = ("", 0)
        self.for_b: Address = ("", 0)

    async def start(self, host_for_a: str, host_for_b: str) -> Relay:
        loop = asyncio.get_running_loop()
        found = []
        for end, host in zip(self._ends, (host_for_a, host_for_b), strict=True):
            transport, _ = await loop.create_datagram_endpoint(lambda end=end: end, local_addr=(host, 0))  # type: ignore[misc]
            found.append(transport.get_extra_info("sockname")[:2])
        self.for_a, self.for_b = found
        return self

    def cut(self, cut: bool = True) -> None:
        self.a_to_b.cut = self.b_to_a.cut = cut

    def close(self) -> None:
        for end in self._ends:
            if end.transport is not None:
                end.transport.close()
