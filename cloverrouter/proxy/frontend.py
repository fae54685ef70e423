"""The HTTP/1.1 server for clients: its listener, its connections, and the limit on open connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from cloverrouter.proxy.client_connection import READ_BUFFER_BYTES, ClientConnection, Stage
from cloverrouter.proxy.config import Address
from cloverrouter.proxy.containment import Periodic, contained_errors_of
from cloverrouter.proxy.descriptors import descriptor_budget_of
from cloverrouter.proxy.eviction import FIRST_REQUEST_GRACE_S, Eviction
from cloverrouter.proxy.keeping import BufferBudget
from cloverrouter.proxy.listener import Listener
from cloverrouter.proxy.load import LOG_INTERVAL_S, LoadCounters, RefusalReason
from cloverrouter.proxy.memory import DEFAULT_MEMORY_MB, MemoryBudget, message_budget_bytes
from cloverrouter.proxy.observer import Observer
from cloverrouter.proxy.validity import Gate, ParsedCall
from cloverrouter.proxy.wake import pause_detector_of

SWEEP_INTERVAL_S = 0.2
MAX_IDLE_DIVISOR = 6  # at most 1/6 of the connections may be idle; beyond that, answers close theirs


class Frontend:
    """The listening socket and the connections accepted from it."""

    def __init__(
        self,
        gate: Gate,
        max_connections: int,
        max_buffered_bytes: int = 4 * 1024 * 1024,
        memory_limit_mb: float = DEFAULT_MEMORY_MB,
    ) -> None:
        """`max_buffered_bytes`: limit on the bytes of long bodies that are buffered at once;
        `memory_limit_mb`: of the process."""
        self.gate = gate
        self.buffer_budget = BufferBudget(max_buffered_bytes)
        self.memory = MemoryBudget(message_budget_bytes(memory_limit_mb))
        self.loop = asyncio.get_running_loop()
        self.errors = contained_errors_of(self.loop)
        self.pause_detector = pause_detector_of(self.loop)
        self.load = LoadCounters(
            lambda: (self.count, self._max_connections),
            lambda: self.memory.held_bytes,
            memory_limit_mb,
        )
        self.pause_detector.on_pause.append(lambda gap: self.load.paused(gap.span_s, gap.cause.value))
        self.observer: Observer | None = None
        self.buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.eviction = Eviction(max_connections)
        self.listener = Listener(self)
        self._max_connections = max_connections
        self._connections: set[ClientConnection] = set()
        self._number = 0
        self._periodic: list[Periodic] = []
        reclaimers = descriptor_budget_of(self.loop).reclaimers
        # First in the order, as a client's reconnect costs hosts nothing.
        reclaimers.insert(0, lambda: self.evict(spare_active=True))
        reclaimers.append(self.evict)

    async def listen(self, address: Address, inherited: int | None = None) -> Address:
        """Start accepting connections, and return the bound address.

        `inherited`: the descriptor of a socket that is already listening, possibly shared with another
        process. Raises OSError if it is not a socket, or if listening on the address fails.
        """
        bound = await self.listener.listen(address, inherited)
        self._periodic = [
            Periodic(self.loop, self.errors, "client_sweep", SWEEP_INTERVAL_S, self._sweep),
            Periodic(self.loop, self.errors, "load_line", LOG_INTERVAL_S, self.load.log_if_noteworthy),
        ]
        return bound

    def next_connection_number(self) -> int:
        """Return the number that identifies the next connection in the log."""
        self._number += 1
        return self._number

    # Capacity

    def is_full(self, share: float = 1.0) -> bool:
        """Return whether open connections, with those being accepted, have reached `share` of the limit."""
        open_now = len(self._connections) - self.listener.refusing + self.listener.accepting
        return open_now >= share * self._max_connections

    @property
    def overloaded(self) -> bool:
        """Whether the event loop falls behind the incoming requests."""
        return self.pause_detector.is_overloaded(self.loop.time())

    def reason_to_refuse(self, connection: ClientConnection, call: ParsedCall) -> RefusalReason | None:
        """Return why a request of `connection` is refused before it reaches the balancer, or None."""
        if connection.refuses:
            return RefusalReason.NO_CAPACITY
        if self.overloaded and connection.may_be_delayed():
            return RefusalReason.OVERLOADED
        return RefusalReason.EXPIRED if call.is_expired(self.loop.time() * 1000) else None

    def evict(self, spare_active: bool = False) -> bool:
        """Close the least useful connection; return whether there was one.

        `spare_active`: spare connections that may be about to send a request, and those whose answer is not
        fully sent.
        """
        return self.eviction.evict(self.active_time_s(), spare_active)

    def could_evict(self, spare_active: bool = False) -> bool:
        """Return whether `evict` would close a connection."""
        return self.eviction.choose(self.active_time_s(), spare_active) is not None

    @property
    def has_many_idle(self) -> bool:
        """Whether so many connections are idle that answers should close theirs.

        Clients that send one request and keep the connection open would use up all connections. An answer
        with `Connection: close` frees its connection immediately, and no request can be in flight on it.
        """
        return self.eviction.idle_count >= self._max_connections // MAX_IDLE_DIVISOR

    @property
    def over_limit(self) -> bool:
        """Whether more connections are open than a lowered limit allows; answers close theirs until it is
        met."""
        return len(self._connections) > self._max_connections

    def resize(self, max_connections: int) -> None:
        """Change the limit on open connections: excess idle ones are evicted, others close with an answer."""
        self._max_connections = self.eviction.max_open = max_connections
        self._trim()

    def _trim(self) -> None:
        for _ in range(len(self._connections) - self._max_connections):
            if not self.evict(spare_active=True):
                break

    @property
    def count(self) -> int:
        """Number of open client connections."""
        return len(self._connections)

    @property
    def nearly_full(self) -> bool:
        """Whether the open connections have reached 90% of the limit."""
        return len(self._connections) * 10 >= self._max_connections * 9

    def add(self, connection: ClientConnection) -> None:
        self._connections.add(connection)
        self.note_stage(connection)

    def note_stage(self, connection: ClientConnection) -> None:
        """Update the eviction order and the memory in use after a change of the state of `connection`."""
        if connection not in self._connections:
            return
        connection.record_memory()
        if not connection.refuses:
            self.eviction.update_stage(connection)

    def remove(self, connection: ClientConnection) -> None:
        self._connections.discard(connection)
        self.eviction.remove(connection)
        self.listener.connection_ended(connection)

    def close_idle(self, spare_new: bool = False) -> None:
        """Close idle connections.

        `spare_new`: keep recently opened ones: the client is about to send a request and would get a reset.
        """
        asked_by_s = self.active_time_at_poll_s() - FIRST_REQUEST_GRACE_S
        for connection in list(self._connections):
            if (
                not spare_new
                or connection.stage is not Stage.SILENT
                or connection.state_since_s <= asked_by_s
            ):
                self._contain(connection, "client_close_idle", connection.close_idle)

    def refuse_incomplete_requests(self) -> None:
        """Refuse requests that are only partially received, and close idle connections: the proxy shuts
        down."""
        for connection in list(self._connections):
            self._contain(connection, "client_turn_away", connection.refuse_incomplete_request)
            self._contain(connection, "client_close_idle", connection.close_idle)

    def _contain(self, connection: ClientConnection, place: str, step: Callable[[], object]) -> None:
        """Run `step` for one connection; an error in it closes only that connection."""
        try:
            step()
        except Exception as error:
            connection.fail(place, error)

    def close(self) -> None:
        """Stop accepting connections, and close those without an open request or unsent answer."""
        self.stop_accepting()
        self.close_idle(spare_new=True)

    def stop_accepting(self) -> None:
        self.listener.close()

    async def accept_queued(self, until_s: float = float("inf")) -> None:
        """Accept the connections that are queued in the kernel, until `until_s` at the latest."""
        await self.listener.accept_queued(until_s)

    @property
    def busy(self) -> bool:
        return bool(self._connections) or bool(self.listener.accepting)

    @property
    def has_unfinished_answers(self) -> bool:
        """Whether a call is unanswered or an answer is still in a write buffer of this process."""
        return bool(self.listener.accepting) or any(c.busy or c.unflushed for c in self._connections)

    def active_time_s(self) -> float:
        return self.pause_detector.active_time_s(self.loop.time())

    def active_time_at_poll_s(self) -> float:
        return self.pause_detector.active_time_at_poll_s(self.loop.time())

    def _sweep(self) -> None:
        now_s = self.active_time_at_poll_s()
        self._trim()
        half_full = len(self._connections) > self._max_connections // 2
        for connection in list(self._connections):
            self._contain(connection, "client_check", partial(connection.check, now_s, half_full))
