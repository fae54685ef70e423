"""The management interface of a process without its sockets, for tests of bans that processes share."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

from cloverrouter.interface import EndpointState, ListedEndpoint, ListKind
from cloverrouter.management.calls import CallKind, OperatorCall
from cloverrouter.management.shell import CallerConnection, Management
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock

CALL_TIMEOUT_S = 20.0  # far above any expected duration, for slow disks


class RecordingConnection(CallerConnection):
    """An operator's connection that keeps the status of the response."""

    def __init__(self, management: Management) -> None:
        super().__init__(management)
        self.status: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def respond(self, status: int, body: bytes) -> None:
        self.status.set_result(status)


class ManagedProcess:
    """The management interface of one process, and the states of hosts that its decisions were told."""

    def __init__(self, folder: Path, hosts: Iterable[str]) -> None:
        self.states: dict[str, EndpointState] = {}
        self.readmitted: list[str] = []  # hosts that became ready again, in order
        self.management = Management(UnixClock(), folder, lambda: (), lambda: False)
        self.management.attach(None, self._deliver)  # type: ignore[arg-type]
        entries = [HostEntry(ListedEndpoint(name), ("127.0.0.1", 1)) for name in hosts]
        self.management.forward_list(ListKind.FULL, HostList(1, True, tuple(entries)))

    def _deliver(self, kind: ListKind, found: HostList) -> None:
        for entry in found.entries:
            name, state = entry.listed.name, entry.listed.state
            if self.states.get(name) is EndpointState.DRAINING and state is EndpointState.READY:
                self.readmitted.append(name)
            self.states[name] = state

    @property
    def banned(self) -> set[str]:
        return {name for name, state in self.states.items() if state is EndpointState.DRAINING}

    async def call(self, kind: CallKind, host: str) -> int:
        """Make an operator's call; return the status of its response."""
        connection = RecordingConnection(self.management)
        self.management.handle_call(connection, OperatorCall(kind, host))
        return await asyncio.wait_for(connection.status, CALL_TIMEOUT_S)

    async def ban(self, *hosts: str) -> None:
        assert {await self.call(CallKind.BAN, host) for host in hosts} == {200}

    async def lift(self, *hosts: str) -> None:
        assert {await self.call(CallKind.LIFT, host) for host in hosts} == {200}


@asynccontextmanager
async def managed_process(folder: Path, hosts: Iterable[str]) -> AsyncIterator[ManagedProcess]:
    """A process that polls the shared file as in service."""
    process = ManagedProcess(folder, hosts)
    await process.management.listen(("127.0.0.1", 0))
    try:
        yield process
    finally:
        process.management.close()
