"""The listener of the management interface.

Does the I/O for `calls`, `bans` and `figures`. A ban is in force in this process in the event loop step that
parses the call. The response is sent once the file that processes share is written (`sharing`).
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import cast

from cloverrouter.interface import ListKind
from cloverrouter.management.bans import Bans
from cloverrouter.management.calls import CallError, CallKind, CallParser, OperatorCall, encode_response
from cloverrouter.management.figures import Figures
from cloverrouter.management.sharing import SharedBans
from cloverrouter.proxy.config import Address, HostList, UnixClock
from cloverrouter.proxy.node import Node
from cloverrouter.roster.limits import MAX_HOSTS
from cloverrouter.roster.overlay import TooManyDrains, UnknownServer

MAX_CALLERS = 64
CALL_TIMEOUT_S = 2.5  # limits how long an incomplete call holds a descriptor
MAX_RESPONSE_DELAY_S = 0.7  # by a slow disk; operators wait for 1 s
BACKLOG = 128
# asyncio's server accepts up to `backlog` connections in one step, before `add` counts any of them. Accepting
# all that wait in the socket's queue could leave no descriptors for requests or the call to discovery.
MAX_ACCEPTS_PER_STEP = 4
# Discovery answers at once if it has changes to the list that was stored before the start of this process, so
# after this time without an answer that list counts as current.
DISCOVERY_WAIT_S = 0.5
TOO_MANY_OUT = f"{MAX_HOSTS} hosts are out, and no more can be: give back those that are gone\n".encode()
log = logging.getLogger(__name__)


class CallerConnection(asyncio.Protocol):
    """A connection of an operator: one call and its response."""

    def __init__(self, management: Management) -> None:
        self._management = management
        self._parser: CallParser | None = CallParser()
        self._transport: asyncio.Transport | None = None
        self._timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        # Callers that send nothing must not hold descriptors that requests need.
        self._timeout = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self._on_timeout)
        self._management.add(self)

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return  # only one call per connection
        try:
            call = self._parser.feed(data)
        except CallError as error:
            self.respond(error.status, f"{error}\n".encode())
            return
        if call is not None:
            self._parser = None
            self._management.handle_call(self, call)

    def eof_received(self) -> bool:
        return self._parser is None  # keeps a half-closed connection open while its response is pending

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport, self._parser = None, None
        if self._timeout is not None:
            self._timeout.cancel()
        self._management.remove(self)

    def _on_timeout(self) -> None:
        if self._parser is not None:
            self.respond(408, b"no whole call came\n")
        else:
            self.abort()

    def respond(self, status: int, body: bytes) -> None:
        self._parser = None
        if self._transport is not None:
            self._transport.write(encode_response(status, body))
            self._transport.close()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    @property
    def unfinished(self) -> bool:
        return self._parser is not None


class Management:
    """The management interface of one process.

    `forward_list` applies the bans to the lists of discovery on their way to the node; `figures` observes
    the node and the frontend.
    """

    def __init__(
        self,
        clock: UnixClock,
        directory: Path,
        classes: Callable[[], Iterable[str]],
        stopping: Callable[[], bool],
        max_callers: int = MAX_CALLERS,
    ) -> None:
        """`max_callers`: limit on open connections (`proxy.descriptors.max_operator_calls`)."""
        self._max_callers = max_callers
        self._classes, self._stopping = classes, stopping
        self._bans = Bans(clock)
        self.figures = Figures()
        self._node: Node | None = None
        self._deliver_list: Callable[[ListKind, HostList], None] | None = None
        self._list_received = False  # from discovery since the start of this process
        self._started_s = time.monotonic()
        self._callers: dict[CallerConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._shared = SharedBans(self._bans, directory, self._deliver_update)
        self._responses: set[asyncio.Task[None]] = set()

    def attach(self, node: Node, deliver_list: Callable[[ListKind, HostList], None]) -> None:
        """Set the node, and the function that delivers lists to it."""
        self._node, self._deliver_list = node, deliver_list

    def forward_list(self, kind: ListKind, found: HostList) -> None:
        assert self._deliver_list is not None
        self._list_received = self._list_received or kind is not ListKind.RESTORED
        self._deliver_list(kind, self._bans.listed(kind, found))

    def _deliver_update(self, update: HostList) -> None:
        assert self._deliver_list is not None
        self._deliver_list(ListKind.DELTA, update)

    async def listen(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock, backlog=MAX_ACCEPTS_PER_STEP
        )
        sock.listen(BACKLOG)
        self._shared.poll()
        log.info("management interface listens on %s:%d", *address)

    def close(self) -> None:
        self._shared.close()
        if self._server is not None:
            self._server.close()
        for caller in list(self._callers):
            caller.abort()

    # Connections

    def add(self, caller: CallerConnection) -> None:
        self._callers[caller] = None
        if len(self._callers) > self._max_callers:
            oldest = next((c for c in self._callers if c.unfinished), caller)
            # connection_lost comes in a later step; until then it would count and be evicted again.
            del self._callers[oldest]
            oldest.abort()

    def remove(self, caller: CallerConnection) -> None:
        self._callers.pop(caller, None)

    def handle_call(self, caller: CallerConnection, call: OperatorCall) -> None:
        match call.kind:
            case CallKind.HEALTH:
                ready = self.ready()
                caller.respond(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
            case CallKind.STATS:
                caller.respond(200, self._metrics())
            case CallKind.BAN | CallKind.LIFT:
                self._change_ban(caller, call)

    def ready(self) -> bool:
        """Whether the process can serve requests.

        The list that was stored before the start may name removed hosts, so it alone doesn't count until
        discovery has had `DISCOVERY_WAIT_S` to answer.
        """
        assert self._node is not None
        list_current = self._list_received or time.monotonic() - self._started_s >= DISCOVERY_WAIT_S
        return list_current and not self._stopping() and self._node.ready()

    def _metrics(self) -> bytes:
        assert self._node is not None
        node = self._node
        return self.figures.text(self._classes(), node.fully_sent_by_class(), node.in_flight, node.view())

    # Bans

    def _change_ban(self, caller: CallerConnection, call: OperatorCall) -> None:
        try:
            change = self._shared.set_banned(call.host, call.kind is CallKind.BAN)
        except UnknownServer:
            caller.respond(404, f"no host was ever listed as {call.host!r}\n".encode())
            return
        except TooManyDrains:
            caller.respond(503, TOO_MANY_OUT)
            return
        response = asyncio.get_running_loop().create_task(self._respond_when_saved(caller, change))
        self._responses.add(response)
        response.add_done_callback(self._responses.discard)

    async def _respond_when_saved(self, caller: CallerConnection, change: asyncio.Task[None]) -> None:
        """Respond when other processes can read the change, or without that, as the change is in force."""
        try:
            await asyncio.wait_for(asyncio.shield(change), MAX_RESPONSE_DELAY_S)
        except TooManyDrains:
            caller.respond(503, TOO_MANY_OUT)
        except TimeoutError:
            caller.respond(200, b"done, and not stored yet\n")
        else:
            caller.respond(200, b"done\n")
