"""Hollow proxies, many in one process: `python -m cloverrouter.lab.hollow`.

A hollow proxy is the product's own code for control and nothing else: the real `Watch` on a connection of its
own (`Asking`, `Ledger`, `read_list`, the time-outs), the real `Node` and `Balancer` (when to ask again after
what failed, by its own seed), no front end, no attempts, no requests.

What differs from a real one: the `Balancer` is told of the first `KEPT` servers only, and only of answers
that name one of them or follow a failure, since a whole list in each would cost this machine what it costs
thousands. What each holds is kept here, as a list that others may have, too, and its own changes to it.

What those of one process share: the loop and its notice of standing still, the offset of the wall clock, and
parsed entries and whole lists, which are immutable and looked up by all that they say. So their processor
time is no proxy's; that is taken from the real ones.
"""

from __future__ import annotations

import asyncio
import gc
import json
import resource
from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Set as AbstractSet
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from cloverrouter.clock import Handle
from cloverrouter.interface import EndpointState, ListKind
from cloverrouter.lab.catalog import mark
from cloverrouter.lab.lines import commands, say
from cloverrouter.membership.standing import Gap
from cloverrouter.proxy import config, discovery
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock, read_seed, read_settings
from cloverrouter.proxy.containment import UncontainedErrors
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.exchange import Host
from cloverrouter.proxy.lag import LagMeter
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.wake import Loop, wake_of
from cloverrouter.values import replace

KEPT = 4
LARGE_BYTES, MOST_LARGE = 16 * 1024, 16  # answers from so many bytes on are kept, for those that get the same
STATES = {EndpointState.READY: "active", EndpointState.DRAINING: "leaving", EndpointState.GONE: "left"}


class Shared:
    """What is parsed once for all proxies of this process."""

    def __init__(self) -> None:
        self._entries: dict[tuple[Any, ...], HostEntry] = {}
        self._messages: OrderedDict[bytes, Any] = OrderedDict()
        self._lists: dict[int, HostList] = {}  # by the message's identity, as long as it is kept
        self._read_entry, self._read_list = config.read_entry, config.read_list
        self._marks: dict[int, tuple[Any, int]] = {}

    def install(self) -> None:
        """Put itself in place of the parsing that the product's code calls."""
        vars(config)["read_entry"] = self.read_entry
        vars(discovery)["read_list"] = self.read_list
        vars(discovery)["json"] = SimpleNamespace(loads=self.loads)

    def loads(self, body: bytes) -> Any:
        if len(body) < LARGE_BYTES:
            return json.loads(body)
        if body in self._messages:
            self._messages.move_to_end(body)
        else:
            self._messages[body] = json.loads(body)
            if len(self._messages) > MOST_LARGE:
                self._lists.pop(id(self._messages.popitem(last=False)[1]), None)
        return self._messages[body]

    def read_list(
        self, message: Any, clock: UnixClock, known: dict[str, HostEntry] | None = None
    ) -> HostList:
        """`known` stays empty: entries are the same objects for all proxies of this process anyway."""
        found = self._lists.get(id(message))
        if found is None:
            found = self._read_list(message, clock)
            if any(message is kept for kept in self._messages.values()):
                self._lists[id(message)] = found
        return found

    def read_entry(self, entry: dict[str, Any], clock: UnixClock) -> HostEntry:
        key = (*entry, *entry.values())
        try:
            found = self._entries.get(key)
        except TypeError:  # something in it that can't be looked up: the real one says what is wrong
            return self._read_entry(entry, clock)
        if found is None:
            found = self._entries[key] = self._read_entry(entry, clock)
        return found

    def mark_of(self, entry: HostEntry, clock: UnixClock) -> int:
        found = self._marks.get(id(entry))
        if found is None:
            listed, offset_ms = entry.listed, (clock.monotonic_ms(1.0) or 0.0) - 1.0
            started_ms = 0 if listed.started_ms is None else round(listed.started_ms - offset_ms)
            address = "" if entry.address is None else f"{entry.address[0]}:{entry.address[1]}"
            told = mark(listed.name, STATES[listed.state], listed.weight, started_ms, address)
            found = self._marks[id(entry)] = (entry, told)  # kept: its identity is not another's later
        return found[1]

    def mark_of_list(self, found: HostList, clock: UnixClock) -> int:
        kept = self._marks.get(id(found))
        if kept is None:
            told = 0
            for entry in found.entries:
                told ^= self.mark_of(entry, clock)
            kept = self._marks[id(found)] = (found, told)
        return kept[1]


class Held:
    """The list that one proxy has: one that others may have, too, and its own changes to it."""

    def __init__(self, base: HostList, names: dict[str, HostEntry]) -> None:
        self.version = base.version
        self._base, self._names = base, names
        self._changes: dict[str, HostEntry] = {}

    def take(self, found: HostList, names_of: Callable[[HostList], dict[str, HostEntry]]) -> None:
        self.version = found.version
        if found.full:
            self._base, self._names, self._changes = found, names_of(found), {}
        else:
            self._changes.update((entry.listed.name, entry) for entry in found.entries)

    def digest(self, shared: Shared, clock: UnixClock) -> int:
        told = shared.mark_of_list(self._base, clock)
        for name, entry in self._changes.items():
            before = self._names.get(name)
            if before is not None:
                told ^= shared.mark_of(before, clock)
            if entry.listed.state is not EndpointState.GONE:
                told ^= shared.mark_of(entry, clock)
        return told


class Timers:
    """The loop, for a `Node` that does not hear of its standing still: nothing of it is out meanwhile."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.time = loop.time
        self.contained_errors = UncontainedErrors()
        self._loop = loop

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Handle:
        return self._loop.call_later(delay, callback, *args)


class NoCarrier:
    """Takes nothing anywhere: there are no requests."""

    def send(self, *args: Any) -> Any:
        raise AssertionError("a hollow proxy has no requests")

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        pass

    def open_ahead(self, host: Host) -> None:
        pass


class HollowProxy:
    def __init__(self, process: HollowProcess, spec: dict[str, Any], facts: dict[str, Any]) -> None:
        self.name = spec["name"]
        self._process = process
        settings = replace(process.settings, number=spec["ordinal"])
        grace_s = settings.safety.drain_grace_ms / 1000
        address = (spec["address"][0], spec["address"][1])
        # Each has what it needs of its own: its connection, draws, ledger, evidence and timers.
        self.watch = Watch(address, process.clock, False, self._on_list, self._on_failure, grace_s)
        seed = read_seed(process.flaw if process.flaw == "shares its clock" else spec["seed"])
        self.node = Node(settings, seed, NoCarrier(), self.watch.start, process.crash, Timers(process.loop))
        known = process.known
        self.held = Held(known, process.names_of(known))
        self.watch.resume(known.version)
        self.node.listed(ListKind.RESTORED, process.part(known))
        self._answers, self._failed = 0, False

    def _on_list(self, found: HostList) -> None:
        self._answers += 1
        flaw = self._process.flaw
        if flaw == "skips changes" and self._answers % 2 and not found.full:
            found = replace(found, entries=())  # the version counts all the same
        self.held.take(found, self._process.names_of)
        part = self._process.part(found)
        if part.entries or found.full or self._failed:
            self._failed = False
            self.node.listed(ListKind.FULL if found.full else ListKind.DELTA, part)
        if flaw == "lies about its version" and found.entries:
            self.watch.asking.version = found.version + 1

    def _on_failure(self) -> None:
        self._failed = True
        self.node.discovery_failed()


class HollowProcess:
    def __init__(self, spec: dict[str, Any]) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = UnixClock()
        self.shared = Shared()
        self.shared.install()
        self.flaw = spec.get("flaw", "")
        self.settings = read_settings(spec["facts"])
        body = Path(spec["known"]).read_bytes()
        self.known = self.shared.read_list(self.shared.loads(body), self.clock)
        self._kept = {entry.listed.name for entry in self.known.entries[:KEPT]}
        self._large: dict[int, tuple[HostList, dict[str, HostEntry], HostList]] = {}
        self._lag = LagMeter(self.loop)  # it has the loop look at its sockets, as a real one's does
        self.crashed: list[BaseException] = []
        self.gaps: list[Gap] = []
        wake_of(self.loop).on_gap.append(self._stood)  # without it the watches hear of no gap either
        self.proxies = [HollowProxy(self, one, spec["facts"]) for one in spec["nodes"]]
        gc.collect()
        gc.freeze()

    def _stood(self, gap: Gap) -> None:
        self.gaps.append(gap)

    def crash(self, error: BaseException) -> None:
        self.crashed.append(error)

    def _whole(self, found: HostList) -> tuple[HostList, dict[str, HostEntry], HostList]:
        """Of a whole list: itself, what it has by name, and what of it the decisions are told."""
        kept = self._large.get(id(found))
        if kept is None:
            names = {entry.listed.name: entry for entry in found.entries}
            kept = self._large[id(found)] = (found, names, self._part(found))
        return kept

    def names_of(self, found: HostList) -> dict[str, HostEntry]:
        return self._whole(found)[1]

    def _part(self, found: HostList) -> HostList:
        return replace(found, entries=tuple(e for e in found.entries if e.listed.name in self._kept))

    def part(self, found: HostList) -> HostList:
        return self._whole(found)[2] if found.full else self._part(found)

    def do(self, command: dict[str, Any]) -> None:
        if command["do"] != "end":
            raise ValueError(f"no such command: {command['do']!r}")
        if self.crashed:
            raise RuntimeError("the decisions of a hollow proxy crashed") from self.crashed[0]
        say(
            {
                "ended": True,
                "held": [
                    [proxy.name, proxy.held.version, proxy.held.digest(self.shared, self.clock)]
                    for proxy in self.proxies
                ],
                "stood": len(self.gaps),
                "stood_longest_s": max((gap.span_s for gap in self.gaps), default=0.0),
                "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
                "descriptors": len(list(Path("/proc/self/fd").iterdir())),
            }
        )


async def main() -> None:
    process: HollowProcess | None = None

    def take(command: dict[str, Any]) -> None:
        nonlocal process
        if process is None:
            process = HollowProcess(command)
            say({"ready": len(process.proxies)})
        else:
            process.do(command)

    await commands(take)


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(main())
