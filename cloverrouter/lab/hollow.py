"""Hollow proxies, many in one process: `python -m cloverrouter.lab.hollow`.

A hollow proxy runs only the product's code for control: a real `Watch` on its own connection, with its
schedule, version checks, parsing and timeouts, and a real `Node` and `Balancer`, which with a seed of its own
decide when to call again after a failure. It has no frontend, no attempts and no requests.

Differences from a real proxy: the `Balancer` gets only the first `VISIBLE_SERVERS` servers, and only answers
that name one of them or follow a failure, since a full list in each would cost this machine as much as it
costs thousands of machines. The list of each proxy is kept as a base list, which proxies may share, and the
proxy's own changes to it.

The proxies of a process share the loop and its pause detector, the offset of the wall clock, and parsed
entries and full lists, which are immutable and cached by their full content. So the CPU time of a hollow
proxy is not that of a real one; CPU time is measured on the real proxies.
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
from cloverrouter.lab.catalog import entry_checksum
from cloverrouter.lab.lines import read_commands, write_message
from cloverrouter.membership.standing import LoopGap
from cloverrouter.proxy import config, discovery
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock, read_seed, read_settings
from cloverrouter.proxy.containment import UncontainedErrors
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.exchange import Host
from cloverrouter.proxy.lag import LagMeter
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.wake import Loop, pause_detector_of
from cloverrouter.values import replace

VISIBLE_SERVERS = 4
# Answers of at least this size are cached, for other proxies that get the same one; and how many.
LARGE_ANSWER_BYTES, MAX_LARGE_ANSWERS = 16 * 1024, 16
STATES = {EndpointState.READY: "active", EndpointState.DRAINING: "leaving", EndpointState.GONE: "left"}


class SharedParser:
    """Parses messages once for all proxies of this process."""

    def __init__(self) -> None:
        self._entries: dict[tuple[Any, ...], HostEntry] = {}
        self._messages: OrderedDict[bytes, Any] = OrderedDict()
        self._lists: dict[int, HostList] = {}  # by the id() of the message, while it is cached
        self._read_entry, self._read_list = config.read_entry, config.read_list
        self._digests: dict[int, tuple[Any, int]] = {}

    def install(self) -> None:
        """Replace the parsing functions that the product's code calls."""
        vars(config)["read_entry"] = self.read_entry
        vars(discovery)["read_list"] = self.read_list
        vars(discovery)["json"] = SimpleNamespace(loads=self.loads)

    def loads(self, body: bytes) -> Any:
        """Parse JSON; large messages are cached."""
        if len(body) < LARGE_ANSWER_BYTES:
            return json.loads(body)
        if body in self._messages:
            self._messages.move_to_end(body)
        else:
            self._messages[body] = json.loads(body)
            if len(self._messages) > MAX_LARGE_ANSWERS:
                self._lists.pop(id(self._messages.popitem(last=False)[1]), None)
        return self._messages[body]

    def read_list(
        self, message: Any, clock: UnixClock, known: dict[str, HostEntry] | None = None
    ) -> HostList:
        """Return the list of a message. `known` is ignored: the proxies share entries anyway."""
        found = self._lists.get(id(message))
        if found is None:
            found = self._read_list(message, clock)
            if any(message is kept for kept in self._messages.values()):
                self._lists[id(message)] = found
        return found

    def read_entry(self, entry: dict[str, Any], clock: UnixClock) -> HostEntry:
        """Return the parsed entry, from the cache if there is an equal one."""
        key = (*entry, *entry.values())
        try:
            found = self._entries.get(key)
        except TypeError:  # an unhashable value: the real parser raises the error
            return self._read_entry(entry, clock)
        if found is None:
            found = self._entries[key] = self._read_entry(entry, clock)
        return found

    def entry_digest(self, entry: HostEntry, clock: UnixClock) -> int:
        """Return the digest of an entry, as discovery's catalog computes it."""
        cached = self._digests.get(id(entry))
        if cached is None:
            listed, offset_ms = entry.listed, (clock.monotonic_ms(1.0) or 0.0) - 1.0
            started_ms = 0 if listed.started_ms is None else round(listed.started_ms - offset_ms)
            address = "" if entry.address is None else f"{entry.address[0]}:{entry.address[1]}"
            digest = entry_checksum(listed.name, STATES[listed.state], listed.weight, started_ms, address)
            cached = self._digests[id(entry)] = (
                entry,
                digest,
            )  # keeps the entry alive, so that its id() is not reused
        return cached[1]

    def list_digest(self, hosts: HostList, clock: UnixClock) -> int:
        """Return the digest of a list: the XOR of its entries' digests."""
        cached = self._digests.get(id(hosts))
        if cached is None:
            digest = 0
            for entry in hosts.entries:
                digest ^= self.entry_digest(entry, clock)
            cached = self._digests[id(hosts)] = (hosts, digest)
        return cached[1]


class HostListCopy:
    """The list of one proxy: a base list, which other proxies may share, and its own changes to it."""

    def __init__(self, base: HostList, names: dict[str, HostEntry]) -> None:
        self.version = base.version
        self._base, self._names = base, names
        self._changes: dict[str, HostEntry] = {}

    def apply(self, hosts: HostList, names_of: Callable[[HostList], dict[str, HostEntry]]) -> None:
        """Apply an answer of discovery; `names_of` returns the entries of a full list by name."""
        self.version = hosts.version
        if hosts.full:
            self._base, self._names, self._changes = hosts, names_of(hosts), {}
        else:
            self._changes.update((entry.listed.name, entry) for entry in hosts.entries)

    def digest(self, shared: SharedParser, clock: UnixClock) -> int:
        """Return the digest of the current list."""
        digest = shared.list_digest(self._base, clock)
        for name, entry in self._changes.items():
            base_entry = self._names.get(name)
            if base_entry is not None:
                digest ^= shared.entry_digest(base_entry, clock)
            if entry.listed.state is not EndpointState.GONE:
                digest ^= shared.entry_digest(entry, clock)
        return digest


class NodeTimers:
    """The loop for a `Node` that is not notified of process pauses: it has no attempts in flight."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.time = loop.time
        self.contained_errors = UncontainedErrors()
        self._loop = loop

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Handle:
        """Schedule a callback on the loop."""
        return self._loop.call_later(delay, callback, *args)


class NoCarrier:
    """A `Carrier` without connections: a hollow proxy has no requests."""

    def send(self, *args: Any) -> Any:
        """Never called."""
        raise AssertionError("a hollow proxy has no requests")

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        """Do nothing."""
        pass

    def discard_older(self, host: Host, before_s: float) -> None:
        """Do nothing."""
        pass

    def preconnect(self, host: Host) -> None:
        """Do nothing."""
        pass


class HollowProxy:
    """The control part of one proxy."""

    def __init__(self, process: HollowProcess, spec: dict[str, Any], facts: dict[str, Any]) -> None:
        self.name = spec["name"]
        self._process = process
        settings = replace(process.settings, number=spec["ordinal"])
        grace_s = settings.safety.drain_grace_ms / 1000
        address = (spec["address"][0], spec["address"][1])
        # Not shared between proxies: connection, random draws, versions, liveness and timers.
        self.watch = Watch(address, process.clock, False, self._on_list, self._on_failure, grace_s)
        seed = read_seed(process.flaw if process.flaw == "shares its clock" else spec["seed"])
        self.node = Node(
            settings, seed, NoCarrier(), self.watch.start, process.crash, NodeTimers(process.loop)
        )
        known = process.known
        self.list_copy = HostListCopy(known, process.names_of(known))
        self.watch.resume(known.version)
        self.node.listed(ListKind.RESTORED, process.visible_part(known))
        self._answers, self._failed = 0, False

    def _on_list(self, hosts: HostList) -> None:
        self._answers += 1
        flaw = self._process.flaw
        if flaw == "skips changes" and self._answers % 2 and not hosts.full:
            hosts = replace(hosts, entries=())  # the version still counts
        self.list_copy.apply(hosts, self._process.names_of)
        visible_part = self._process.visible_part(hosts)
        if visible_part.entries or hosts.full or self._failed:
            self._failed = False
            self.node.listed(ListKind.FULL if hosts.full else ListKind.DELTA, visible_part)
        if flaw == "lies about its version" and hosts.entries:
            self.watch.asking.version = hosts.version + 1

    def _on_failure(self) -> None:
        self._failed = True
        self.node.discovery_failed()


class HollowProcess:
    """The proxies of this process and what they share."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = UnixClock()
        self.shared = SharedParser()
        self.shared.install()
        self.flaw = spec.get("flaw", "")
        self.settings = read_settings(spec["facts"])
        body = Path(spec["known"]).read_bytes()
        self.known = self.shared.read_list(self.shared.loads(body), self.clock)
        self._visible_names = {entry.listed.name for entry in self.known.entries[:VISIBLE_SERVERS]}
        self._prepared_lists: dict[int, tuple[HostList, dict[str, HostEntry], HostList]] = {}
        self._lag_meter = LagMeter(self.loop)  # makes the loop check its sockets, as in a real proxy
        self.crashed: list[BaseException] = []
        self.gaps: list[LoopGap] = []
        # Without a callback the loop doesn't look for pauses, and the watches are not notified either.
        pause_detector_of(self.loop).on_pause.append(self._on_pause)
        self.proxies = [HollowProxy(self, one, spec["facts"]) for one in spec["nodes"]]
        gc.collect()
        gc.freeze()

    def _on_pause(self, gap: LoopGap) -> None:
        self.gaps.append(gap)

    def crash(self, error: BaseException) -> None:
        """Record an exception of the decisions."""
        self.crashed.append(error)

    def _prepare(self, hosts: HostList) -> tuple[HostList, dict[str, HostEntry], HostList]:
        """Return a full list, its entries by name, and the list of its visible servers; cached by id()."""
        prepared = self._prepared_lists.get(id(hosts))
        if prepared is None:
            names = {entry.listed.name: entry for entry in hosts.entries}
            prepared = self._prepared_lists[id(hosts)] = (hosts, names, self._filter_visible(hosts))
        return prepared

    def names_of(self, hosts: HostList) -> dict[str, HostEntry]:
        """Return the entries of a full list by name."""
        return self._prepare(hosts)[1]

    def _filter_visible(self, hosts: HostList) -> HostList:
        return replace(hosts, entries=tuple(e for e in hosts.entries if e.listed.name in self._visible_names))

    def visible_part(self, hosts: HostList) -> HostList:
        """Return the list with only the servers that the decisions see."""
        return self._prepare(hosts)[2] if hosts.full else self._filter_visible(hosts)

    def run_command(self, command: dict[str, Any]) -> None:
        """Run a command of the parent process: `end` writes the final report."""
        if command["do"] != "end":
            raise ValueError(f"no such command: {command['do']!r}")
        if self.crashed:
            raise RuntimeError("the decisions of a hollow proxy crashed") from self.crashed[0]
        write_message(
            {
                "ended": True,
                "held": [
                    [proxy.name, proxy.list_copy.version, proxy.list_copy.digest(self.shared, self.clock)]
                    for proxy in self.proxies
                ],
                "stood": len(self.gaps),
                "stood_longest_s": max((gap.span_s for gap in self.gaps), default=0.0),
                "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
                "descriptors": len(list(Path("/proc/self/fd").iterdir())),
            }
        )


async def main() -> None:
    """Read commands from the parent process: first the specification, then `end`."""
    process: HollowProcess | None = None

    def on_command(command: dict[str, Any]) -> None:
        nonlocal process
        if process is None:
            process = HollowProcess(command)
            write_message({"ready": len(process.proxies)})
        else:
            process.run_command(command)

    await read_commands(on_command)


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(main())
