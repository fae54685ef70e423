"""One discovery instance of a run at scale, as a process: `python -m cloverrouter.lab.scalediscovery`.

Communicates by JSON lines. The first line read is its specification; the next ones are commands: `change`,
`down`, `up`, `compact`, `end`. Each proxy calls its own port, which identifies it. The recorded calls and
answers of each proxy are the basis of the run's evaluation.
"""

from __future__ import annotations

import asyncio
import json
from array import array
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from cloverrouter.clock import now_s
from cloverrouter.lab.catalog import CallQueue, Catalog, PendingCall
from cloverrouter.lab.http import Connection, Endpoint
from cloverrouter.lab.lines import read_commands, write_message
from cloverrouter.proxy.wake import Loop

STATUS_S = 0.25
MAX_HOLD_S = 60.0


class ProxyRecord:
    """The recorded calls and answers of one proxy."""

    __slots__ = ("answered", "answers_s", "asked_s", "drawn", "fulls", "given", "held", "since", "sizes",
                 "untrue")  # fmt: skip

    def __init__(self, version: int) -> None:
        self.asked_s, self.since, self.drawn = array("d"), array("q"), array("b")
        self.answers_s, self.sizes = array("d"), array("q")
        self.given = {version}  # versions sent to it; it starts with this one
        self.held = -1  # the version that it last reported
        self.answered = False  # whether its last call has been answered
        self.untrue = self.fulls = 0

    def record_call(self, at_s: float, since: int | None) -> None:
        """Record a call for changes after `since`, or for the full list."""
        self.asked_s.append(at_s)
        self.since.append(-1 if since is None else since)
        self.drawn.append(not self.answered)
        self.answered = False
        if since is not None:
            self.held = since
            # A proxy that reports versions it never received would seem faster than all others.
            self.untrue += since not in self.given

    def record_answer(self, at_s: float, size: int, version: int, full: bool) -> None:
        """Record an answer; `size`: the bytes of the call and the answer."""
        self.answers_s.append(at_s)
        self.sizes.append(size)
        self.given.add(version)
        self.fulls += full
        self.answered = True


class ProxyConnection(Connection):
    """A connection of one proxy."""

    def __init__(self, instance: Instance, index: int) -> None:
        super().__init__()
        self._instance, self._index = instance, index
        self._caller: PendingCall | None = None
        self._received_bytes = 0  # bytes of the call

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._instance.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._instance.connections.pop(self, None)
        if self._caller is not None:
            self._instance.desk.cancel(self._caller)

    def data_received(self, data: bytes) -> None:
        self._received_bytes += len(data)
        super().data_received(data)

    def request(self, target: bytes, headers: dict[bytes, bytes]) -> None:
        path, _, query = target.partition(b"?")
        parameters = dict(part.partition(b"=")[::2] for part in query.split(b"&")) if query else {}
        try:
            since = int(parameters[b"from"]) if b"from" in parameters else None
            hold_s = min(MAX_HOLD_S, int(parameters.get(b"hold_ms", b"0")) / 1000)
        except ValueError:
            self.write(b"400 Bad", b"", b"")
            return
        if path != b"/v1/servers":
            self.write(b"404 Unknown", b"", b"")
            return
        at_s = now_s()
        caller = PendingCall(self._index, since, at_s, at_s if since is None else at_s + hold_s)
        if self._instance.receive_call(caller, self):
            self._caller = caller

    def answer(self, at_s: float, body: bytes, version: int, full: bool) -> None:
        """Send the answer to the open call."""
        received_bytes, self._received_bytes, self._caller = self._received_bytes, 0, None
        if self.transport is not None:
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            head = head % len(body)
            self.transport.write(head + body)
            size = received_bytes + len(head) + len(body)
            self._instance.records[self._index].record_answer(at_s, size, version, full)


class Instance:
    """A discovery instance: its listeners, pending calls and records."""

    def __init__(self, spec: dict[str, Any], say: Callable[[dict[str, Any]], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._say = say
        known = json.loads(Path(spec["known"]).read_text())
        self.catalog = Catalog(known["servers"], known["version"])
        self.desk = CallQueue(self.catalog, spec["calls_per_s"], spec["bytes_per_s"], Random(spec["seed"]))
        self.records = [ProxyRecord(known["version"]) for _ in range(spec["nodes"])]
        self.connections: dict[ProxyConnection, None] = {}
        self._callers: dict[PendingCall, ProxyConnection] = {}
        self._endpoints = [
            Endpoint(lambda index=index: ProxyConnection(self, index), spec["host"])  # type: ignore[misc]
            for index in range(spec["nodes"])
        ]
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = float("inf")
        self._out = Path(spec["out"])
        self._down = False
        self._publish_delay_s = spec["gather_s"]
        self._unpublished: list[dict[str, Any]] = []
        self._unpublished_version = self.catalog.version
        self.longest_queue = 0

    def open(self) -> None:
        """Open the listeners and report their addresses."""
        self._say({"addresses": [endpoint.open() for endpoint in self._endpoints]})
        self._report_status()

    def _report_status(self) -> None:
        asked = sum(record.held >= 0 or len(record.asked_s) > 0 for record in self.records)
        lowest = min(record.held for record in self.records)
        self._say({"asked": asked, "lowest": lowest, "connections": len(self.connections)})
        self._loop.call_later(STATUS_S, self._report_status)

    def receive_call(self, caller: PendingCall, connection: ProxyConnection) -> bool:
        """Queue a call; False if the instance is down."""
        self.records[caller.index].record_call(caller.arrived_s, caller.since)
        if self._down:
            connection.abort()
            return False
        self._callers[caller] = connection
        self.desk.add(caller)
        self._schedule_serve()
        return True

    def _schedule_serve(self) -> None:
        """Set the timer for the next call to be served."""
        self.longest_queue = max(self.longest_queue, self.desk.queue)
        due_s = self.desk.next_due_s()
        if self._timer is not None and due_s >= self._due_s:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due_s < float("inf"):
            self._due_s = due_s
            self._timer = self._loop.call_at(due_s, self._serve)

    def _serve(self) -> None:
        self._timer, self._due_s = None, float("inf")
        at_s = now_s()
        for caller, answer in self.desk.serve(at_s):
            self._callers.pop(caller).answer(at_s, answer.body, answer.version, answer.full)
        for caller in [caller for caller in self._callers if caller.disconnected]:
            del self._callers[caller]
        self._schedule_serve()

    def execute(self, command: dict[str, Any]) -> None:
        """Execute a command."""
        match command["do"]:
            case "change":
                if not self._unpublished:
                    self._loop.call_later(self._publish_delay_s, self._publish_changes)
                self._unpublished += command["entries"]
                self._unpublished_version = command["version"]
            case "compact":
                self._publish_changes()
                self.catalog.compact()
            case "down":
                self._down = True
                self.desk.clear()
                self._callers.clear()
                for connection in list(self.connections):
                    connection.abort()
            case "up":
                self._down = False
            case "end":
                self._write_results()
            case other:
                raise ValueError(f"no such command: {other!r}")

    def _publish_changes(self) -> None:
        """Publish the batched changes as one new version."""
        if not self._unpublished:
            return
        self.catalog.change(self._unpublished_version, self._unpublished)
        self._unpublished = []
        if not self._down:
            self.desk.catalog_changed()
            self._schedule_serve()

    def _write_results(self) -> None:
        import numpy  # imported late: its import would delay the start, for which proxies wait

        arrays: dict[str, Any] = {}
        for name in ("asked_s", "since", "drawn", "answers_s", "sizes"):
            columns = [getattr(record, name) for record in self.records]
            arrays[name] = numpy.concatenate([numpy.array(column) for column in columns])
            arrays[f"{name}_ends"] = numpy.cumsum([len(column) for column in columns])
        arrays["untrue"] = numpy.array([record.untrue for record in self.records])
        arrays["fulls"] = numpy.array([record.fulls for record in self.records])
        numpy.savez(self._out, **arrays)
        descriptors = len(list(Path("/proc/self/fd").iterdir()))
        self._say({"ended": True, "longest_queue": self.longest_queue, "descriptors": descriptors})


async def main() -> None:
    """Execute commands from standard input until it ends."""
    instance: Instance | None = None
    failed = asyncio.get_running_loop().create_future()

    def on_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """End the process. By default asyncio only logs exceptions of callbacks, and the run would go on."""
        if not failed.done():
            failed.set_exception(context.get("exception") or RuntimeError(context["message"]))

    asyncio.get_running_loop().set_exception_handler(on_exception)

    def handle_command(command: dict[str, Any]) -> None:
        nonlocal instance
        if instance is None:
            instance = Instance(command, write_message)
            instance.open()
        else:
            instance.execute(command)

    reader = asyncio.ensure_future(read_commands(handle_command))
    await asyncio.wait([reader, failed], return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        failed.result()
    reader.result()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(main())
