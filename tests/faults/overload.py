"""Overload around one real proxy: servers of low capacity, and clients that retry on new connections.

A run is judged by what clients observe: each request must get its final answer.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from cloverrouter.lab.peers import Host, Respond, Seen, ok, read_message
from tests.faults.chaos.kept import lost

Address = tuple[str, int]
# Time after a request's timeout at which its client gives up. The users' clients do after 0.06 s; the rest is
# tolerance for a busy machine.
GIVE_UP_GRACE_S = 0.4
READ_GRACE_S = 0.1  # extra time to read answers that arrived while the test process itself was paused
MAX_UNANSWERED_SHARE = 1 / 500  # of the requests, without an answer in time
RETRY_AFTER_S = 0.05


@dataclass
class Record:
    """What the clients observed."""

    statuses: Counter[str] = field(default_factory=Counter)
    unanswered: list[str] = field(default_factory=list)  # without an answer in time
    truncated: list[str] = field(default_factory=list)  # closed connections without a complete answer
    max_delay_s: float = 0.0  # maximum delay of an answer after its request's timeout

    def check(self, log: str, evidence: str = "") -> None:
        """Check that no request was lost, by the users' definition.

        A connection may be closed while a request is in transit, which its client then retries; a request
        that had been read, by the trace in `log`, is lost. `evidence`: details for the failure message.
        """
        found = "\n".join((self.summary(), evidence, *load_lines(log)))
        assert not lost([label.split()[0] for label in self.truncated], log), found
        assert len(self.unanswered) <= MAX_UNANSWERED_SHARE * self.statuses.total(), found

    def summary(self) -> str:
        lost = (
            f"{len(self.unanswered)} unanswered {self.unanswered[:3]}, "
            f"{len(self.truncated)} cut {self.truncated[:3]}"
        )
        return f"{dict(self.statuses)}; {lost}; at most {self.max_delay_s:.2f} s late"


def load_lines(log: str) -> list[str]:
    """Return the log lines of the process on its load, per second, and on its long pauses.

    The load lines show how long clients waited to be accepted, the time paused, and the CPU time used.
    """
    return [line for line in log.splitlines() if "front_load" in line or "stood still" in line]


class LimitedServers:
    """Servers that process `at_once` requests each at a time, for `work_s`, and queue the others."""

    def __init__(self, count: int, at_once: int, work_s: float) -> None:
        self._work_s = work_s
        self._slots = {f"h{i}": asyncio.Semaphore(at_once) for i in range(count)}
        self.hosts: list[Host] = []

    async def start(self) -> Sequence[Host]:
        self.hosts = [await Host(name, self._responder(slots)).start() for name, slots in self._slots.items()]
        return self.hosts

    def _responder(self, slots: asyncio.Semaphore) -> Respond:
        async def respond(seen: Seen, writer: asyncio.StreamWriter) -> None:
            async with slots:
                await asyncio.sleep(self._work_s)
            writer.write(ok(seen.message.headers["x-request-id"].encode()))

        return respond

    def received(self) -> Counter[str]:
        return Counter(s.message.headers["x-request-id"] for host in self.hosts for s in host.seen)


class RetryingClients:
    """Clients that send `per_s` requests a second, each on its own connection.

    A refused request is retried up to `retries` times; each retry is a request with its own id.
    """

    def __init__(self, endpoint: Address, per_s: float, retries: int, timeouts_s: Sequence[float]) -> None:
        self._endpoint, self._per_s, self._retries = endpoint, per_s, retries
        self._timeouts_s = itertools.cycle(timeouts_s)
        self._names = itertools.count()
        self.record = Record()

    async def run(self, seconds: float) -> None:
        began_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(seconds * self._per_s)):
                await asyncio.sleep(max(0.0, began_s + number / self._per_s - time.monotonic()))
                tasks.create_task(self._request_with_retries(next(self._timeouts_s)))

    async def _request_with_retries(self, timeout_s: float) -> None:
        for _ in range(1 + self._retries):
            status = await self._ask(f"r{next(self._names)}", timeout_s)
            if status != 503:
                return
            await asyncio.sleep(RETRY_AFTER_S)

    async def _ask(self, name: str, timeout_s: float) -> int:
        """Send one request; return the status of its answer, or 0 if there was none (see the record)."""
        began_s = time.monotonic()
        exchange = asyncio.ensure_future(self._exchange(name, timeout_s))
        await asyncio.wait({exchange}, timeout=timeout_s + GIVE_UP_GRACE_S)
        await asyncio.wait({exchange}, timeout=READ_GRACE_S)
        elapsed_s = time.monotonic() - began_s
        status, label = 0, f"{name} of {timeout_s} s after {elapsed_s:.2f} s"
        if not exchange.done():
            exchange.cancel()
            self.record.unanswered.append(label)
        elif (error := exchange.exception()) is not None:
            self.record.truncated.append(f"{label}: {error!r}")
        else:
            status = exchange.result()
        self.record.statuses[str(status)] += 1
        self.record.max_delay_s = max(self.record.max_delay_s, elapsed_s - timeout_s)
        return status

    async def _exchange(self, name: str, timeout_s: float) -> int:
        reader, writer = await asyncio.open_connection(*self._endpoint)
        try:
            writer.write(
                f"POST /unsafe HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: {timeout_s * 1000:.0f}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return (await read_message(reader)).status
        finally:
            with suppress(OSError):
                writer.transport.abort()
