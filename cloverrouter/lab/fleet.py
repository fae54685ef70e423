"""Real proxies that share leases, linked by relays, under a timeline of faults from a seed.

The proxies act on a shared resource, and a checker examines the acts that the resource observed. Safety:
acts on one seat never overlap, no two processes act under the same token, and an act is refused only if its
process was paused before it (it is up to the resource to refuse an act whose process was paused between its
lease check and the act). Liveness: a few lease terms after the last fault a member acts again.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import combinations, pairwise
from pathlib import Path
from random import Random

import msgspec

from cloverrouter.lab.actor import Act
from cloverrouter.lab.peers import SETTINGS, Discovery, Host
from cloverrouter.lab.process import LONG_S, ProxyProcess, own_address
from cloverrouter.lab.relay import DatagramPath, Relay

SECRET = b"sixteen bytes at the least"
VOTERS = 3
RESUME_MARGIN_S = 0.1  # a resumed process may still finish the interrupted act
SITE = """
[control]
enabled = true
directory = "{folder}/control"
[log]
enabled = true
[leases]
enabled = true
name = "{name}"
listen = "{listen}"
members = {members}
voters = {voters}
promise_ms = {promise_ms}
secret_file = "{secret}"
directory = "{directory}"
"""
TASK = "job"


@dataclass(slots=True)
class ObservedAct:
    """An act as the resource observed it, in the machine's monotonic time."""

    act: Act
    begun_s: float
    ended_s: float | None = None
    accepted: bool = True


class Resource(asyncio.DatagramProtocol):
    """The shared resource. It keeps the highest token of each seat and refuses lower ones (fencing)."""

    def __init__(self) -> None:
        self.acts: list[ObservedAct] = []
        self._open: dict[tuple[int, int], ObservedAct] = {}
        self._highest: dict[int, int] = {}

    async def start(self) -> tuple[str, int]:
        """Open the socket; returns its address."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port

    def datagram_received(self, data: bytes, addr: object) -> None:
        at_s, act = time.monotonic(), msgspec.json.decode(data, type=Act)
        if not act.begins:
            observed = self._open.pop((act.pid, act.seat), None)
            if observed is not None:
                observed.ended_s = at_s
            return
        accepted = act.token >= self._highest.get(act.seat, 0)
        if accepted:
            self._highest[act.seat] = act.token
        observed = self._open[act.pid, act.seat] = ObservedAct(act, at_s, None, accepted)
        self.acts.append(observed)


@dataclass(slots=True)
class Fault:
    """An injected fault and its duration."""

    kind: str
    member: str
    from_s: float
    to_s: float


@dataclass
class Fleet:
    """A running fleet. `members` are ordered by name; the first ones are the voters."""

    promise_ms: int
    folder: Path
    members: dict[str, ProxyProcess] = field(default_factory=dict)
    links: dict[tuple[str, str], DatagramPath] = field(default_factory=dict)
    resource: Resource = field(default_factory=Resource)
    faults: list[Fault] = field(default_factory=list)
    history: list[str] = field(default_factory=list)  # from the processes' logs, after they have ended

    @property
    def promise_s(self) -> float:
        """The lease term in seconds."""
        return self.promise_ms / 1000

    def start(self, name: str) -> None:
        """Start a member's process."""
        self.members[name].start()

    # Faults

    async def kill(self, name: str, for_s: float) -> None:
        """Kill a member and start it again after `for_s`."""
        from_s = time.monotonic()
        self.members[name].signal(signal.SIGKILL)
        await self.members[name].ended()
        await asyncio.sleep(for_s)
        self.start(name)
        self.faults.append(Fault("kill", name, from_s, time.monotonic()))

    async def stop(self, name: str, for_s: float) -> None:
        """Pause a member's process."""
        fault = Fault("stop", name, time.monotonic(), float("inf"))
        self.faults.append(fault)
        self.members[name].signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        fault.to_s = time.monotonic()
        self.members[name].signal(signal.SIGCONT)

    async def starve(self, name: str, for_s: float) -> None:
        """Pause a member's process for 90% of the time."""
        fault = Fault("stop", name, time.monotonic(), float("inf"))
        self.faults.append(fault)
        while time.monotonic() < fault.from_s + for_s:
            self.members[name].signal(signal.SIGSTOP)
            await asyncio.sleep(0.09)
            self.members[name].signal(signal.SIGCONT)
            await asyncio.sleep(0.01)
        fault.to_s = time.monotonic()

    async def cut(self, directions: list[tuple[str, str]], for_s: float) -> None:
        """Cut directions of links, each a (source, target)."""
        from_s = time.monotonic()
        for direction in directions:
            self.links[direction].cut = True
        await asyncio.sleep(for_s)
        for direction in directions:
            self.links[direction].cut = False
        self.faults.append(Fault("cut", str(directions), from_s, time.monotonic()))

    async def leave(self, name: str) -> None:
        """Shut a member down in order, and start it again."""
        from_s = time.monotonic()
        self.members[name].signal(signal.SIGTERM)
        await self.members[name].ended()
        self.start(name)
        self.faults.append(Fault("leave", name, from_s, time.monotonic()))

    async def random_fault(self, random: Random) -> None:
        """Inject one random fault and wait until it ends."""
        name, span_s = random.choice(list(self.members)), random.uniform(0.2, 4.0) * self.promise_s
        if random.random() < 0.6:  # more often the holder of the task
            name = self.holder
        match random.randrange(7):
            case 0:
                await self.kill(name, span_s / 4)
            case 1 | 2:
                await self.stop(name, random.choice((0.05, span_s)))
            case 3:  # one-way partition
                await self.cut([random.choice(list(self.links))], span_s)
            case 4:  # partition from all others
                await self.cut([direction for direction in self.links if name in direction], span_s)
            case 5:
                await self.leave(name)
            case 6:
                await self.starve(name, span_s)

    # Observations

    @property
    def holder(self) -> str:
        """The member of the last accepted act."""
        return self.accepted()[-1].act.box

    def accepted(self, since_s: float = 0.0) -> list[ObservedAct]:
        """The accepted acts that began after `since_s`."""
        return [
            observed for observed in self.resource.acts if observed.accepted and observed.begun_s > since_s
        ]

    async def acts(
        self, by: str | None = None, not_by: str | None = None, count: int = 1
    ) -> list[ObservedAct]:
        """Wait for `count` accepted acts, by the member `by` or by any but `not_by`. Raises TimeoutError."""
        from_s = time.monotonic()
        async with asyncio.timeout(LONG_S):
            while True:
                found = [
                    observed
                    for observed in self.accepted(from_s)
                    if by in (None, observed.act.box) and observed.act.box != not_by
                ]
                if len(found) >= count:
                    return found
                await asyncio.sleep(0.005)

    @property
    def holder_changes(self) -> int:
        """How often the holder changed, summed over the seats."""
        by_seat: dict[int, list[int]] = {}
        for observed in self.accepted():
            by_seat.setdefault(observed.act.seat, []).append(observed.act.pid)
        return sum(a != b for pids in by_seat.values() for a, b in pairwise(pids))

    def collect_history(self) -> None:
        """Collect what the processes logged about their leases, in order of time. For diagnosis only: `check`
        uses just the resource's observations."""
        lines = []
        for process in self.members.values():
            for text in process.log().splitlines():
                entry = msgspec.json.decode(text) if text.startswith("{") else {}
                if entry.get("event") in ("task", "standing"):
                    lines.append((entry["boot_s"], entry["proxy"], entry["life"], entry["fields"]["text"]))
        self.history = [
            f"{at_s:.3f} {name} ({incarnation}): {text}" for at_s, name, incarnation, text in sorted(lines)
        ]

    def check(self) -> list[str]:
        """The violations so far."""
        return check(self.resource.acts, self.faults)


def check(acts: list[ObservedAct], faults: list[Fault]) -> list[str]:
    """The violations among the observed acts. An act during which its process was paused may overlap another,
    and may be refused for a lower token."""
    violations = []
    interruptions = [fault for fault in faults if fault.kind in ("stop", "kill")]

    def interrupted(observed: ObservedAct, until_s: float) -> bool:
        from_s = observed.begun_s - RESUME_MARGIN_S
        return any(
            f.member == observed.act.box and f.from_s <= until_s and f.to_s >= from_s for f in interruptions
        )

    last_by_seat: dict[int, ObservedAct] = {}
    for observed in acts:
        act = observed.act
        if not observed.accepted:
            if not interrupted(observed, observed.begun_s):
                violations.append(
                    f"{act.box} had no right to act with token {act.token} at {observed.begun_s:.3f}"
                )
            continue
        previous = last_by_seat.get(act.seat)
        last_by_seat[act.seat] = observed
        if previous is None or previous.act.pid == act.pid:
            continue
        ended_s = previous.ended_s if previous.ended_s is not None else previous.begun_s
        if ended_s > observed.begun_s and not interrupted(previous, ended_s):
            violations.append(f"acts of {previous.act.box} and {act.box} overlap at {observed.begun_s:.3f}")
        if previous.act.token == act.token:
            violations.append(f"{previous.act.box} and {act.box} both acted with token {act.token}")
    return violations


@asynccontextmanager
async def fleet(
    size: int = 5,
    promise_ms: int = 400,
    seed: int = 1,
    seats: int = 1,
    voters: int = VOTERS,
    stored: bool = True,
) -> AsyncIterator[Fleet]:
    """Start a fleet; entered once its processes are healthy and one of them has acted."""
    names = [f"p{i}" for i in range(size)]
    discovery, host = await Discovery().start(), await Host("h0").start()
    discovery.entries[host.name] = host.entry()
    relays: list[Relay] = []
    with tempfile.TemporaryDirectory() as folder:
        running = Fleet(promise_ms, Path(folder))
        resource = await running.resource.start()
        secret = running.folder / "secret"
        secret.write_bytes(SECRET)
        listens = {name: own_address().replace(":3000", ":8113") for name in names}
        peers: dict[str, list[str]] = {name: [] for name in names}
        for number, (a, b) in enumerate(combinations(names, 2)):
            if names.index(a) >= voters:
                continue
            endpoints = [parse_address(listens[name]) for name in (a, b)]
            relay = await Relay(seed * 1000 + number, *endpoints).start("127.0.0.1", "127.0.0.1")
            relays.append(relay)
            peers[a].append(f"{b}={relay.address_for_a[0]}:{relay.address_for_a[1]}")
            peers[b].append(f"{a}={relay.address_for_b[0]}:{relay.address_for_b[1]}")
            running.links[a, b], running.links[b, a] = relay.a_to_b, relay.b_to_a
        try:
            for name in names:
                directory = running.folder / name
                directory.mkdir()
                site = directory / "site.toml"
                site.write_text(
                    SITE.format(
                        folder=directory,
                        name=name,
                        listen=listens[name],
                        members=msgspec.json.encode(peers[name]).decode(),
                        voters=msgspec.json.encode(names[:voters]).decode(),
                        promise_ms=promise_ms,
                        secret=secret,
                        directory=directory / "state" if stored else "",
                    )
                )
                config = {
                    "name": name, "listen": own_address(), "discovery": f"127.0.0.1:{discovery.port}",
                    "seed": "8c1f", "settings": SETTINGS, "known": discovery.listing(),
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                }  # fmt: skip
                environ = {"PROXY_SITE": str(site), "ACTOR": f"{resource[0]}:{resource[1]} {TASK} {seats}"}
                command = [sys.executable, "-m", "cloverrouter.lab.actor"]
                running.members[name] = ProxyProcess(config, directory, command, environ)
                running.start(name)
            await asyncio.gather(*(process.wait_health(200) for process in running.members.values()))
            await running.acts()
            yield running
        finally:
            for process in running.members.values():
                process.signal(signal.SIGCONT)
                process.close()
            running.collect_history()
            for relay in relays:
                relay.close()
            running.resource.transport.close()


def parse_address(address: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def timeline(seed: int, faults: int = 6, size: int = 5, promise_ms: int = 400) -> Fleet:
    """One run from a seed: pairs of simultaneous random faults, then none until ten acts are accepted."""
    random = Random(seed)
    stored = random.random() < 0.5
    async with fleet(size, promise_ms, seed, random.choice((1, 1, 2)), stored=stored) as running:
        for link in running.links.values():
            if random.random() < 0.3:
                link.loss, link.duplicate = random.choice((0.0, 0.2)), random.choice((0.0, 0.2))
                mean_s = random.choice((0.0, 0.02))
                link.delay = lambda mean_s=mean_s: random.expovariate(1 / mean_s) if mean_s else 0.0  # type: ignore[misc]
        for _ in range(faults // 2):
            await asyncio.gather(running.random_fault(random), running.random_fault(random))
        for link in running.links.values():
            link.loss = link.duplicate = 0.0
        await running.acts(count=10)
    return running
