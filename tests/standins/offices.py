"""Load through a proxy that keeps account: what was asked, how it was answered, what each server got when."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

from tests.sockets import Host, Proxy, Seen, ok


@dataclass
class Account:
    """What servers received, by server: when, and which request."""

    received: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    answers: dict[str, list[int]] = field(default_factory=dict)

    def since(self, server: str, moment_s: float) -> int:
        return sum(at_s > moment_s for at_s, _ in self.received[server])

    def runs(self) -> Counter[str]:
        return Counter(name for got in self.received.values() for _, name in got)


async def working_host(name: str, account: Account, work_s: float = 0.02) -> Host:
    """A server that takes a while for each request and notes when it came."""
    account.received[name] = []

    async def respond(seen: Seen, writer: asyncio.StreamWriter) -> None:
        account.received[name].append((time.monotonic(), seen.message.headers["x-request-id"]))
        await asyncio.sleep(work_s)
        writer.write(ok(name.encode(), b"X-Server-Load: inflight=3,queue=1\r\n"))

    return await Host(name, respond).start()


class Offices:
    """`count` connections, each asking one request after the other, every other one an entry-register."""

    def __init__(self, proxy: Proxy, account: Account, count: int = 4, pause_s: float = 0.02) -> None:
        self._proxy, self._account, self._pause_s = proxy, account, pause_s
        self._stopping = False
        self._tasks = [asyncio.get_running_loop().create_task(self._run()) for _ in range(count)]

    async def _run(self) -> None:
        client = await self._proxy.client()
        while not self._stopping:
            kind = "/unsafe" if client.count % 2 else "/keyed"
            name = f"{id(client):x}-{client.count + 1}"
            told = self._account.answers.setdefault(name, [])
            answer = await client.ask(kind)
            told.append(answer.status)
            if answer.headers.get("connection") == "close":
                client.writer.close()
                count, client = client.count, await self._proxy.client()
                client.count = count
            await asyncio.sleep(self._pause_s)
        client.writer.close()

    async def stop(self) -> None:
        """Every request under way gets its answer first."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def check(self) -> None:
        """No request lost, none answered twice, no entry-register run twice."""
        assert self._account.answers
        assert all(len(told) == 1 for told in self._account.answers.values())
        assert max(self._account.runs().values()) == 1  # nothing fails here, so nothing is repeated
