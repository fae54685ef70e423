"""Pauses one real proxy with signals under an open load; records the answers and the requests that ran late.

The servers record what they receive and when, the clients what answers they get, all by the same monotonic
clock. Each request has its own connection and id, and its client waits for `timeout_s`. It then keeps
listening for a while to detect late answers and, with `repeat`, sends an unanswered unsafe request once more
under a new id, as a user would.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from statistics import median

from cloverrouter.lab.peers import Account, Discovery, Proxy, running, working_host
from cloverrouter.lab.processor import let_run

LATE_ANSWER_S = 6.0  # how long after its timeout a client still listens
BEFORE_S, AFTER_S = 1.0, 5.0  # of load before the first pause and after the last one
TOLERANCE_S = 0.03  # of the proxy's estimate of when a byte arrived, plus the delay to the server


@dataclass(slots=True)
class ClientRequest:
    """One request of a client."""

    request_id: str
    entry: str  # the operation; a repeated request has the same entry and another id
    unsafe: bool
    at_s: float
    status: int = 0  # 0: no answer
    took_s: float = 0.0
    reset: bool = False  # its connection ended without an answer


@dataclass
class RunRecord:
    """What clients and servers observed in a run."""

    timeout_s: float
    tolerance_s: float
    pauses: list[tuple[float, float]] = field(default_factory=list)
    requests: list[ClientRequest] = field(default_factory=list)
    account: Account = field(default_factory=Account)
    log: str = ""

    def paused_at(self, at_s: float) -> bool:
        """Return whether the proxy was paused at `at_s`."""
        return any(from_s <= at_s <= to_s for from_s, to_s in self.pauses)

    @property
    def resumed_s(self) -> float:
        """The end of the last pause."""
        return self.pauses[-1][1]

    def _answer_delayed(self, request: ClientRequest, received_s: float) -> bool:
        """Return whether a pause began between the arrival at the server and the client's timeout."""
        return any(received_s <= from_s < request.at_s + self.timeout_s for from_s, _ in self.pauses)

    def _server_was_late(self, request: ClientRequest, received_s: float) -> bool:
        """Return whether a server received a request in time, but answered too late for any proxy.

        The servers are part of the measuring process, which may be delayed on a busy machine.
        """
        timed_out_s = request.at_s + self.timeout_s
        answered_s = self.account.answered_s.get(request.request_id, 0.0)  # without its time, not excused
        return received_s <= timed_out_s and answered_s > timed_out_s - TOLERANCE_S

    def _late_ids(self, unsafe: bool | None) -> list[str]:
        """Return the ids of requests that a server received after the client's timeout."""
        received = self._received_s()
        return [
            request.request_id
            for request in self.requests
            if unsafe in (None, request.unsafe)
            and received.get(request.request_id, 0.0) > request.at_s + self.timeout_s + self.tolerance_s
        ]

    def _received_s(self) -> dict[str, float]:
        """Return when a server received each request, by its id."""
        return {name: at_s for got in self.account.received.values() for at_s, name in got}

    def _entries_run_twice(self) -> set[str]:
        """Return the unsafe operations of which a server received more than one request."""
        runs = self.account.runs()
        ran = Counter(one.entry for one in self.requests if one.unsafe and runs[one.request_id])
        return {entry for entry, count in ran.items() if count > 1}

    def repeats_report(self) -> str:
        """Return a line for each request of an operation that ran twice; times count from the last pause."""
        received, answered, run_twice = self._received_s(), self.account.answered_s, self._entries_run_twice()
        return "\n".join(
            f"{one.request_id}: sent {one.at_s - self.resumed_s:.4f} s, received by a server"
            f" {received.get(one.request_id, float('nan')) - self.resumed_s:.4f} s,"
            f" answered by it {answered.get(one.request_id, float('nan')) - self.resumed_s:.4f} s,"
            f" answered {one.status} after {one.took_s:.4f} s"
            for one in self.requests
            if one.entry in run_twice
        )

    def figures(self) -> dict[str, float]:
        """Return counts: `asked` to `failed` of requests sent during pauses, the others of the whole run."""
        during_pauses = [one for one in self.requests if self.paused_at(one.at_s)]
        statuses = Counter(one.status for one in during_pauses if one.status)
        runs = self.account.runs()
        # If a request ran before a pause, the pause delays its answer and its client repeats it, which no
        # proxy can prevent: these repeats are counted separately, and those after a late answer of a server.
        received = self._received_s()
        ran = [(one, received[one.request_id]) for one in self.requests if one.request_id in received]
        delayed_entries = {one.entry for one, received_s in ran if self._answer_delayed(one, received_s)}
        run_twice = self._entries_run_twice() - delayed_entries
        # The first request's server: that of the repeat has no part in the client's repeating it.
        first = {one.entry: one.request_id for one in reversed(self.requests)}
        server_late_entries = {
            one.entry
            for one, received_s in ran
            if one.request_id == first[one.entry] and self._server_was_late(one, received_s)
        }
        timed_out = [one for one in during_pauses if one.at_s + self.timeout_s <= self.resumed_s]
        after = [one for one in self.requests if one.at_s > self.resumed_s + 0.2]
        return {
            "asked": len(during_pauses),
            "over": len(timed_out),  # timed out before the proxy resumed
            "served": statuses[200],
            "refused": statuses[503],
            "failed": statuses[502],
            "resets": sum(one.reset for one in self.requests),
            "unanswered": sum(not one.status and not one.reset for one in self.requests),
            "run late": len(self._late_ids(None)),
            "unsafe late": len(self._late_ids(True)),
            "twice": len(run_twice - server_late_entries) + sum(n > 1 for n in runs.values()),
            "kept back": len(self._entries_run_twice() & delayed_entries),
            "server late": len(run_twice & server_late_entries),
            "after": len(after),
            "after not served": sum(one.status != 200 for one in after),
            "median ms": 1000 * median([one.took_s for one in after if one.status == 200] or [0.0]),
        }


class Clients:
    """An open load: sends requests at a fixed rate, regardless of the answers."""

    def __init__(self, proxy: Proxy, record: RunRecord, rate: float, repeat: bool) -> None:
        self._proxy, self._record, self._repeat = proxy, record, repeat
        self._gap_s, self._number = 1 / rate, 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False

    async def run(self) -> None:
        """Send requests until `stop` is called."""
        due_s = time.monotonic()
        while not self._stopping:
            self._number += 1
            self._begin(f"e{self._number}", bool(self._number % 2))
            due_s += self._gap_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    def _begin(self, entry: str, unsafe: bool, attempt: int = 0) -> None:
        task = asyncio.get_running_loop().create_task(self._ask(entry, unsafe, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, entry: str, unsafe: bool, attempt: int) -> None:
        request_id = f"{entry}-{attempt}"
        request = ClientRequest(request_id, entry, unsafe, time.monotonic())
        self._record.requests.append(request)
        timeout_s = self._record.timeout_s
        head = f"X-Request-ID: {request_id}\r\nX-Timeout-Ms: {timeout_s * 1000:.0f}\r\nContent-Length: 1\r\n"
        target = "/unsafe" if unsafe else "/keyed"
        key = "" if unsafe else f"Idempotency-Key: k{entry}\r\n"
        writer = None
        try:
            async with asyncio.timeout(timeout_s + LATE_ANSWER_S + self._pause_allowance_s()):
                async with asyncio.timeout(timeout_s):  # later, the client has given up
                    reader, writer = await asyncio.open_connection(*self._proxy.endpoint)
                request.at_s = time.monotonic()
                writer.write(f"POST {target} HTTP/1.1\r\nHost: x\r\n{key}{head}\r\nx".encode())
                read = asyncio.ensure_future(reader.readline())
                done, _ = await asyncio.wait([read], timeout=timeout_s)
                if not done and unsafe and self._repeat and not attempt and not self._stopping:
                    self._begin(entry, unsafe, attempt + 1)
                line = await read
            request.took_s = time.monotonic() - request.at_s
            if line:
                request.status = int(line.split()[1])
            else:
                request.reset = True
        except ConnectionRefusedError:  # the proxy no longer listens, so the request does not count
            self._record.requests.remove(request)
        except ConnectionError:
            request.reset = True
        except TimeoutError:
            pass
        finally:
            if writer is not None:
                writer.close()

    def _pause_allowance_s(self) -> float:
        return sum(to_s - from_s for from_s, to_s in self._record.pauses) + 30.0

    async def stop(self) -> None:
        """Send no more requests, and wait until each one is answered or its client stops listening."""
        self._stopping = True
        await asyncio.gather(*self._tasks)


async def run_with_pauses(
    pauses: Sequence[tuple[float, float]],
    rate: float,
    *,
    timeout_s: float = 1.0,
    servers: int = 8,
    work_s: float = 0.02,
    sockets: int = 256,
    repeat: bool = True,
    after_s: float = AFTER_S,
    tolerance_s: float = TOLERANCE_S,
    command: list[str] | None = None,
    environ: dict[str, str] | None = None,
    signal_before: int | None = None,
    signal_after: int | None = None,
) -> RunRecord:
    """Run a proxy under load, pause it, and return what was observed.

    `pauses`: for each pause, the seconds that the proxy runs before it and the seconds that it is paused.
    If the machine denies it CPU time, it runs until it has used as much, or has nothing left to do.
    `signal_before` is sent before the first pause, `signal_after` when the proxy resumes; either may end it.
    The duration is bounded by that of the pauses. `rate` is in requests per second.
    """
    record = RunRecord(timeout_s, tolerance_s)
    hosts = [await working_host(f"s-{i}", record.account, work_s) for i in range(servers)]
    discovery = await Discovery().start()
    limits = {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}}
    async with running(discovery, hosts, more=limits, command=command, environ=environ) as proxy:
        clients = Clients(proxy, record, rate, repeat)
        loop = asyncio.get_running_loop()
        load = loop.create_task(clients.run())
        try:
            await asyncio.sleep(BEFORE_S)
            if signal_before is not None:
                proxy.signal(signal_before)
            for running_s, pause_s in pauses:
                await let_run(proxy.process.pid, running_s)
                proxy.signal(signal.SIGSTOP)
                from_s = time.monotonic()
                await asyncio.sleep(pause_s)
                record.pauses.append((from_s, time.monotonic()))
                proxy.signal(signal.SIGCONT)
            if signal_after is not None:
                proxy.signal(signal_after)
            await asyncio.sleep(after_s if signal_before is None and signal_after is None else 0.0)
        finally:
            with suppress(ProcessLookupError):
                proxy.signal(signal.SIGCONT)
        await clients.stop()
        await load
        record.log = proxy.log()
    return record
