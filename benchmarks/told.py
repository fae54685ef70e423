"""Measure the delay of a change after discovery's return, and the load of many proxies, in simulated time.

    python -m benchmarks.told sequences [--count 20000] [--seed 1]
    python -m benchmarks.told crowd [--proxies 200] [--answers 100] [--down 8] [--how silent]

The real `Watch`, `DiscoveryConnection`, `WatchSchedule`, `reconnect_delay_ms` and `Balancer` run on an event
loop with a simulated clock; only connections are simulated. `sequences`: each is one proxy with a discovery
of its own, whose calls fail in randomly drawn ways until discovery can be reached. `crowd`: all proxies call
one discovery that answers them in turn. docs/design/told.md has the results.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import logging
import selectors
from collections import Counter, deque
from collections.abc import Callable, Coroutine, Iterable
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

from cloverrouter.decide import Balancer
from cloverrouter.interface import (
    EndpointsListed,
    EndpointState,
    Limits,
    ListedEndpoint,
    ListKind,
    Prices,
    Safety,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)
from cloverrouter.membership.watching import reconnect_delay_ms
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock
from cloverrouter.proxy.discovery import Watch

DELIVERY_LIMIT_S = 6.0  # required by the users
MUST_ASK_MS = 10_000.0
# Faults that prevent a connection. FAULTS also has the ways in which a call fails; they decide, too, whether
# a watch that is open as discovery goes down is reset or falls silent.
NO_CONNECTION = ("refused", "unconnected")
FAULTS = ("503", "reset", "silent", "half", "half silent", "spoilt", *NO_CONNECTION)
DOWN_S = (0.0, 1.0, 8.0, 60.0)
FLEETS = (1, 12, 30, 200, 7000)
CONNECT_S, ANSWER_S = 0.9, 0.5  # maximum times once discovery can be reached
QUEUE_S = 1.5  # maximum answer time with a queue; connections are then immediate


class _Selector(selectors.DefaultSelector):
    """A selector without real events: each wait returns at once and advances the clock by its timeout."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: no timer is pending")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """asyncio's loop in simulated time, in seconds from 0."""

    def __init__(self) -> None:
        self._clock = _Selector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now_s


def simulated(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in simulated time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class Connection:
    """A proxy's connection to a simulated discovery. It also serves as the stream writer."""

    def __init__(self, service: DedicatedDiscovery) -> None:
        self.service = service
        self.reader = asyncio.StreamReader()
        self.open = True
        self.dead = False  # all data in either direction is lost

    def write(self, data: bytes) -> None:
        """Deliver a request to discovery."""
        if self.open and not self.dead:
            self.service.receive_call(self, data.split()[1].decode())

    def close(self) -> None:
        """Close the connection on the proxy's side."""
        if self.open:
            self.open = False
            self.service.connection_closed(self)

    def send_to_proxy(self, data: bytes) -> None:
        """Deliver data from discovery to the proxy."""
        if self.open and not self.dead:
            self.reader.feed_data(data)

    def reset(self) -> None:
        """Reset the connection on discovery's side."""
        if self.open and not self.dead:
            self.dead = True
            self.reader.set_exception(ConnectionResetError("reset"))


def body_of(version: int, full: bool, leaving: bool) -> bytes:
    """The body of an answer: a full list or a delta; the change is that the one server is leaving."""
    state = "leaving" if leaving else "active"
    servers = [{"id": "h", "addr": "127.0.0.1:9", "state": state}] if leaving or full else []
    return json.dumps({"version": version, "full": full, "servers": servers}).encode()


def answer_of(body: bytes) -> bytes:
    """An HTTP response with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class DedicatedDiscovery:
    """A simulated discovery of one proxy: down from `down_s` to `back_s`, with a change at `change_s`."""

    def __init__(
        self, draws: Random, down_s: float, back_s: float, change_s: float, pick: Callable[[], str]
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.draws, self.down_s, self.back_s, self.change_s = draws, down_s, back_s, change_s
        self.pick = pick
        self.connect_s, self.answer_s = CONNECT_S, ANSWER_S
        self.waiting: dict[Connection, int] = {}
        self.version = 1
        self.faults: list[str] = []
        self.loop.call_at(down_s, self._go_down)
        self.loop.call_at(change_s, self._change)

    @property
    def down(self) -> bool:
        """Whether the outage is going on."""
        return self.down_s <= self.loop.time() < self.back_s

    def _go_down(self) -> None:
        """Reset the open watches, or leave them without any further data."""
        silent = self.pick() in ("silent", "half silent", "unconnected")
        for connection in list(self.waiting):
            if silent:
                connection.dead = True
            else:
                connection.reset()
        self.faults.append("watch silent" if silent else "watch reset")
        self.waiting.clear()

    def _change(self) -> None:
        self.version = 2
        if not self.down:
            for connection in list(self.waiting):
                self._answer(connection)

    async def connect(self) -> Connection:
        """Accept a connection, or fail as the fault says."""
        if self.down:
            fault = self.pick()
            if fault == "refused":
                self.faults.append(fault)
                raise ConnectionRefusedError(fault)
            if fault == "unconnected":
                self.faults.append(fault)
                await asyncio.sleep(1000.0)
        else:
            await asyncio.sleep(self.draws.random() * self.connect_s)
        return Connection(self)

    def connection_closed(self, connection: Connection) -> None:
        """End the watch of a connection that the proxy has closed."""
        self.waiting.pop(connection, None)

    def receive_call(self, connection: Connection, target: str) -> None:
        """Answer a call after a random time; during the outage it meets a fault."""
        since = int(target.partition("from=")[2].partition("&")[0]) if "from=" in target else 0
        hold_s = int(target.partition("hold_ms=")[2] or 0) / 1000
        if not self.down:
            self.loop.call_later(self.draws.random() * self.answer_s, self._begin, connection, since, hold_s)
            return
        fault = self.pick()
        while fault in NO_CONNECTION:
            fault = self.pick()
        self.faults.append(fault)
        answer = answer_of(body_of(1, since == 0, False))
        if fault == "503":
            connection.send_to_proxy(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif fault == "reset":
            connection.reset()
        elif fault == "spoilt":
            connection.send_to_proxy(answer_of(b'{"version": 1, "full": '))
        elif fault.startswith("half"):
            connection.send_to_proxy(answer[: len(answer) // 2])
            if fault == "half":
                connection.reader.feed_eof()
        connection.dead = True  # for good: all further data on it is lost

    def _begin(self, connection: Connection, since: int, hold_s: float) -> None:
        if self.down or not connection.open or connection.dead:
            connection.dead = True
        elif since < self.version or not hold_s:
            self._answer(connection, since)
        else:
            self.waiting[connection] = since
            self.loop.call_later(hold_s, self._end_hold, connection)

    def _end_hold(self, connection: Connection) -> None:
        if connection in self.waiting:
            self._answer(connection)

    def _answer(self, connection: Connection, since: int | None = None) -> None:
        since = self.waiting.pop(connection, 0) if since is None else since
        leaving = self.version > 1 and since < 2
        connection.send_to_proxy(answer_of(body_of(self.version, since == 0, leaving)))


def settings_of(proxies: int, must_ask_ms: float = MUST_ASK_MS) -> Settings:
    """Settings for a fleet of `proxies` that must poll discovery at least every `must_ask_ms`."""
    return Settings(
        classes=(), zone="", proxies=proxies, number=None, subscribe=True, report_fields=(),
        worth_by_work=False, limits=Limits(), safety=Safety(discovery_poll_ms=must_ask_ms), prices=Prices(),
    )  # fmt: skip


class Decisions:
    """Hosts a `Balancer` as a node does, limited to its calls to discovery."""

    def __init__(self, proxies: int, seed: int, known: HostList | None, start: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._start = start
        self._balancer = Balancer(settings_of(proxies), seed)
        if known is not None:
            self.listed(known, ListKind.RESTORED)

    def listed(self, found: HostList, kind: ListKind | None = None) -> None:
        """Handle a list received from discovery."""
        kind = kind or (ListKind.FULL if found.full else ListKind.DELTA)
        self._handle(EndpointsListed(kind, tuple(entry.listed for entry in found.entries)))

    def failed(self) -> None:
        """Handle a failed call to discovery."""
        self._handle(EndpointsListed(ListKind.FAILED))

    def _handle(self, event: EndpointsListed | TimerFired) -> None:
        for action in self._balancer.handle(self._loop.time() * 1000, [event]):
            if isinstance(action, Subscribe):
                self._start()
            elif isinstance(action, SetTimer):
                self._loop.call_later(action.delay_ms / 1000, self._handle, TimerFired(action.token))


class ReconnectDelays:
    """A stand-in for `Decisions` that only applies the delays before reconnects."""

    def __init__(self, proxies: int, seed: int, known: HostList | None, start: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._proxies, self._draws, self._start = proxies, Random(seed), start
        self._failed, self._called_s = 0, self._loop.time()
        if known is not None:
            self._schedule_call()

    def listed(self, found: HostList) -> None:
        """Handle a list received from discovery."""
        self._failed, self._called_s = 0, self._loop.time()

    def failed(self) -> None:
        """Handle a failed call to discovery."""
        self._failed += 1
        self._schedule_call()

    def _schedule_call(self) -> None:
        spent_ms = 1000 * (self._loop.time() - self._called_s)
        wait_ms = reconnect_delay_ms(self._failed, self._proxies, MUST_ASK_MS / 2, self._draws, spent_ms)
        self._loop.call_later(wait_ms / 1000, self._call)

    def _call(self) -> None:
        self._called_s = self._loop.time()
        self._start()


@contextmanager
def connecting(services: dict[int, Any]) -> Any:
    """Replace `asyncio.open_connection` so that each port leads to a simulated discovery."""
    real = asyncio.open_connection

    async def open_connection(host: str, port: int) -> Any:
        connection = await services[port].connect()
        return connection.reader, connection

    asyncio.open_connection = open_connection  # type: ignore[assignment]
    try:
        yield
    finally:
        asyncio.open_connection = real


@dataclass
class Delivery:
    """When the change reached the proxy.

    `late_s`: the delay from when discovery had the change and could be reached; infinite if it didn't arrive.
    `faults_met`: the faults, call by call.
    """

    sequence: Sequence
    late_s: float
    faults_met: list[str] = field(default_factory=list)


KNOWN = HostList(1, True, (HostEntry(ListedEndpoint("h"), ("127.0.0.1", 9)),))


class Proxy:
    """A proxy's watch and its decisions. `known`: whether it knows a list at its start."""

    def __init__(
        self,
        port: int,
        proxies: int,
        seed: int,
        module: type[Decisions | ReconnectDelays] = Decisions,
        known: bool = True,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.delivered_s: float | None = None
        self.watch = Watch(("127.0.0.1", port), UnixClock(), False, self._listed, self._failed)
        if known:
            self.watch.resume(1)
        self.decisions = module(proxies, seed, KNOWN if known else None, self.watch.start)
        if not known:
            self.watch.start()

    def _listed(self, found: HostList) -> None:
        if self.delivered_s is None and any(e.listed.state is not EndpointState.READY for e in found.entries):
            self.delivered_s = self._loop.time()
        self.decisions.listed(found)

    def _failed(self) -> None:
        self.decisions.failed()


@dataclass(frozen=True)
class Sequence:
    """An outage of one proxy's discovery for `down_s`.

    Each call meets one of `faults`, drawn at random or, with `in_turn`, in their order.
    """

    seed: int
    proxies: int
    faults: tuple[str, ...]
    down_s: float
    in_turn: bool = False
    change_s: float = -0.001  # time of the change after discovery's return
    slow: bool = False  # answers wait in a queue, and connections are immediate
    known: bool = True
    moved: bool = False  # the proxy switches to this discovery as it goes down


def draw_sequence(seed: int, slow: bool) -> Sequence:
    """Draw a sequence at random."""
    draws = Random(seed)
    down_s = draws.choice(DOWN_S) * draws.uniform(1.0, 1.05)
    return Sequence(
        seed=seed,
        proxies=draws.choice(FLEETS),
        faults=tuple(draws.sample(FAULTS, draws.randint(1, len(FAULTS)))),  # also a single one
        down_s=down_s,
        change_s=draws.uniform(-down_s, 3.0) if draws.random() < 0.5 else -0.001,
        slow=slow,
        known=draws.random() < 0.9,
        moved=draws.random() < 0.2,
    )


async def _play(
    number: int, sequence: Sequence, services: dict[int, Any], module: type[Decisions | ReconnectDelays]
) -> Delivery:
    loop, draws = asyncio.get_running_loop(), Random(sequence.seed + 1)
    begin_s = loop.time() + 12.0 + 4.0 * draws.random()
    back_s = begin_s + sequence.down_s
    change_s = max(begin_s, back_s + sequence.change_s)
    turns = itertools.cycle(sequence.faults)
    pick = (lambda: next(turns)) if sequence.in_turn else (lambda: draws.choice(sequence.faults))
    service = services[2 * number] = DedicatedDiscovery(draws, begin_s, back_s, change_s, pick)
    if sequence.slow:
        service.connect_s, service.answer_s = 0.0, QUEUE_S
    port = 2 * number
    if sequence.moved:
        never_s = begin_s + 1e6
        services[2 * number + 1] = DedicatedDiscovery(draws, never_s, never_s, never_s, pick)
        port += 1
    proxy = Proxy(port, sequence.proxies, sequence.seed, module, sequence.known)
    if sequence.moved:
        await asyncio.sleep(begin_s - loop.time())
        proxy.watch.change_address(("127.0.0.1", 2 * number))
    due_s = max(back_s, change_s)
    await asyncio.sleep(due_s + 4 * DELIVERY_LIMIT_S - loop.time())
    proxy.watch.stop()
    late_s = (proxy.delivered_s if proxy.delivered_s is not None else float("inf")) - due_s
    return Delivery(sequence, late_s, service.faults)


def play(
    sequences: Iterable[Sequence], module: type[Decisions | ReconnectDelays] = Decisions
) -> list[Delivery]:
    """Run all sequences concurrently on one simulated clock; the longest delay comes first."""
    services: dict[int, Any] = {}

    async def scene() -> list[Delivery]:
        with connecting(services):
            return await asyncio.gather(*(_play(i, one, services, module) for i, one in enumerate(sequences)))

    found: list[Delivery] = simulated(scene())
    return sorted(found, key=lambda one: -one.late_s)


class SharedDiscovery:
    """One simulated discovery for all proxies, with `answers_s` answers a second, one after the other.

    A call that has waited longer than `timeout_s` gets 503, which takes a tenth of an answer's time. Calls
    that the proxy has given up stay in the queue.
    """

    def __init__(
        self, down_s: float, back_s: float, silent: bool, answers_s: float, timeout_s: float
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.down_s, self.back_s, self.silent = down_s, back_s, silent
        self.answers_s, self.timeout_s = answers_s, timeout_s
        self.queue: deque[tuple[Connection, int, float]] = deque()
        self.calls: list[float] = []
        self.busy = False
        self.longest = 0
        self.rejected = 0
        self.watches: dict[Connection, int] = {}
        self.version = 1
        self.loop.call_at(down_s, self._go_down)

    @property
    def down(self) -> bool:
        """Whether the outage is going on."""
        return self.down_s <= self.loop.time() < self.back_s

    def _go_down(self) -> None:
        self.version = 2  # the change happens during the outage
        for connection in [*self.watches, *(connection for connection, _, _ in self.queue)]:
            if self.silent:
                connection.dead = True
            else:
                connection.reset()
        self.watches.clear()
        self.queue.clear()

    async def connect(self) -> Connection:
        """Accept a connection; refuse it during an outage that is not silent."""
        if self.down and not self.silent:
            self.calls.append(self.loop.time())
            raise ConnectionRefusedError("down")
        return Connection(self)  # type: ignore[arg-type]

    def connection_closed(self, connection: Connection) -> None:
        """End the watch of a connection that the proxy has closed."""
        self.watches.pop(connection, None)

    def receive_call(self, connection: Connection, target: str) -> None:
        """Queue a call, or keep it as a watch; during the outage it is lost."""
        self.calls.append(self.loop.time())
        if self.down:
            connection.dead = True
            return
        since = int(target.partition("from=")[2].partition("&")[0]) if "from=" in target else 0
        hold_s = int(target.partition("hold_ms=")[2] or 0) / 1000
        if hold_s and since == self.version:  # a waiting watch costs no time
            self.watches[connection] = since
            self.loop.call_later(hold_s, self._end_hold, connection)
            return
        self.queue.append((connection, since, self.loop.time()))
        self.longest = max(self.longest, len(self.queue))
        if not self.busy:
            self._answer_next()

    def _end_hold(self, connection: Connection) -> None:
        if (since := self.watches.pop(connection, None)) is not None:
            connection.send_to_proxy(answer_of(body_of(self.version, False, since < self.version)))

    def _answer_next(self) -> None:
        self.busy = bool(self.queue) and not self.down
        if self.busy:
            connection, since, queued_s = self.queue.popleft()
            timed_out = self.loop.time() - queued_s > self.timeout_s
            self.loop.call_later(
                (0.1 if timed_out else 1.0) / self.answers_s, self._finish, connection, since, timed_out
            )

    def _finish(self, connection: Connection, since: int, timed_out: bool) -> None:
        if timed_out:
            self.rejected += 1
            connection.send_to_proxy(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        else:
            connection.send_to_proxy(answer_of(body_of(self.version, since == 0, self.version > since)))
        self._answer_next()


@dataclass
class Crowd:
    """Delays, calls and queue of a fleet that calls one discovery."""

    late_s: list[float]  # of each proxy, after discovery's return; infinite: not delivered
    calls: Counter[int]  # by second after its return, from -1 on, the last second of the outage
    peak_calls: int  # most calls in any one second from its return on
    longest: int  # longest queue
    rejected: int


def crowd(
    proxies: int,
    answers_s: float,
    down_s: float,
    silent: bool,
    seed: int,
    timeout_s: float = 3.0,
    span_s: float = 20.0,
) -> Crowd:
    """Simulate an outage of a discovery that all proxies share, and `span_s` after it."""

    async def scene() -> Crowd:
        begin_s = 12.0
        service = SharedDiscovery(begin_s, begin_s + down_s, silent, answers_s, timeout_s)
        with connecting({1: service}):
            found = [Proxy(1, proxies, seed * 100_003 + number) for number in range(proxies)]
            await asyncio.sleep(begin_s + down_s + span_s)
            for proxy in found:
                proxy.watch.stop()
        back_s = service.back_s
        late_s = [(float("inf") if p.delivered_s is None else p.delivered_s) - back_s for p in found]
        at_s = [call_s - back_s for call_s in service.calls]
        calls = Counter(int(call_s // 1) for call_s in at_s if call_s >= -1)
        later = [call_s for call_s in at_s if call_s >= 0]
        most = first = 0
        for last, call_s in enumerate(later):
            while later[first] < call_s - 1:
                first += 1
            most = max(most, last - first + 1)
        return Crowd(late_s, calls, most, service.longest, service.rejected)

    found: Crowd = simulated(scene())
    return found


def main() -> None:
    """Run the selected simulation and print its figures."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("sequences", "crowd"))
    parser.add_argument("--count", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--proxies", type=int, default=200)
    parser.add_argument("--answers", type=float, default=100.0, help="answers of discovery per second")
    parser.add_argument("--down", type=float, default=8.0)
    parser.add_argument("--how", choices=("silent", "refused"), default="silent")
    args = parser.parse_args()
    logging.disable(logging.WARNING)
    if args.what == "crowd":
        found = crowd(args.proxies, args.answers, args.down, args.how == "silent", args.seed)
        late = sorted(found.late_s)
        print(f"{args.proxies} proxies, {args.answers:g} answers a second, down {args.down:g} s ({args.how})")
        print(f"told: half after {late[len(late) // 2]:.2f} s, the last after {late[-1]:.2f} s")
        print(f"not told after {DELIVERY_LIMIT_S:g} s: {sum(each > DELIVERY_LIMIT_S for each in late)}")
        print(f"calls: {found.peak_calls} in the busiest second; by second from the return on:")
        print(" ", " ".join(f"{second}:{found.calls[second]}" for second in range(-1, 12)))
        print(f"longest queue {found.longest}, turned away {found.rejected}")
        return
    for slow in (False, True):
        each: list[Delivery] = []
        for first in range(args.seed, args.seed + args.count, 2000):
            seeds = range(first, min(first + 2000, args.seed + args.count))
            each += play(draw_sequence(seed, slow) for seed in seeds)
        each.sort(key=lambda one: -one.late_s)
        print(f"{len(each)} sequences, {'a queue there' if slow else 'prompt'}: worst {each[0].late_s:.2f} s")
        print(f"  over {DELIVERY_LIMIT_S:g} s: {sum(one.late_s > DELIVERY_LIMIT_S for one in each)}")
        for one in each[:3]:
            met = ", ".join(one.faults_met[-6:])
            print(f"  {one.late_s:.2f} s: seed {one.sequence.seed}, {one.sequence.proxies} proxies: {met}")
        by_last_fault: dict[str, float] = {}
        for one in each:
            by_last_fault.setdefault(one.faults_met[-1], one.late_s)
        print(
            "  by what was met last:",
            ", ".join(f"{name} {late_s:.2f}" for name, late_s in sorted(by_last_fault.items())),
        )


if __name__ == "__main__":
    main()
