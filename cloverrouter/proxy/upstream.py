"""Connections to hosts: a pool for each host and address, with a common limit on sockets."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from collections.abc import Set as AbstractSet

from cloverrouter.interface import ConnectionSignal, Outcome
from cloverrouter.membership.idling import IdleUseCounts
from cloverrouter.proxy.containment import Periodic, contained_errors_of
from cloverrouter.proxy.descriptors import (
    MAX_RECLAIMS,
    descriptor_budget_of,
    is_descriptor_exhaustion,
    is_local_resource_error,
)
from cloverrouter.proxy.exchange import Exchange, Host, OnBegin, OnEnd, encode_request
from cloverrouter.proxy.memory import DEFAULT_MEMORY_MB, MemoryBudget, message_budget_bytes
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.server_connection import READ_BUFFER_BYTES, ServerConnection
from cloverrouter.proxy.server_pool import ServerPool
from cloverrouter.proxy.sockets import close
from cloverrouter.proxy.wake import Loop, pause_detector_of

SWEEP_INTERVAL_S = 1.0
# Idle connections are kept for this fraction of the time after which the host may close them: a request
# written to one that the host is just closing ends in a reset and may have run.
IDLE_TIMEOUT_FRACTION = 0.5
log = logging.getLogger(__name__)


class Upstream:
    """The pools of all hosts, with a common limit on sockets."""

    def __init__(self, max_open: int, idle_ms: float, connect_timeout_ms: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.errors = contained_errors_of(self.loop)
        self.pause_detector = pause_detector_of(self.loop)
        self.buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.connections: set[ServerConnection] = set()  # that own a socket
        self._connecting: set[asyncio.Task[None]] = set()
        self._max_open = max_open
        self._idle_s = idle_ms * IDLE_TIMEOUT_FRACTION / 1000
        self._connect_timeout_s = connect_timeout_ms / 1000
        self._pools: dict[Host, ServerPool] = {}
        self.memory = MemoryBudget(message_budget_bytes(DEFAULT_MEMORY_MB))
        self.connects = 0  # total number of connects started
        self.idle_uses = IdleUseCounts()  # of the connections to all hosts
        self.on_signal: Callable[[str, ConnectionSignal], None] = lambda name, signal: None
        descriptor_budget_of(self.loop).reclaimers.append(self._evict_idle)
        self._sweeping = Periodic(self.loop, self.errors, "server_sweep", SWEEP_INTERVAL_S, self._sweep)

    def set_timeouts(self, idle_ms: float, connect_timeout_ms: float) -> None:
        """Set after what time hosts close idle connections, and how long a connect may take."""
        self._idle_s, self._connect_timeout_s = (
            idle_ms * IDLE_TIMEOUT_FRACTION / 1000,
            connect_timeout_ms / 1000,
        )

    def active_time_s(self) -> float:
        return self.pause_detector.active_time_s(self.loop.time())

    @property
    def open(self) -> int:
        """Number of sockets open or being opened. Derived from the collections: a separate counter would be
        wrong by one after each end of a connection that fails to decrement it."""
        return len(self.connections) + len(self._connecting)

    def set_max_open(self, max_open: int) -> None:
        """Set the limit on sockets: surplus idle ones are closed now, busy ones after their answers."""
        self._max_open = max_open
        for _ in range(self.open - max_open):  # aborted ones are counted until the next loop iteration
            if not self._evict_idle():
                break

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        """Drop the pools of all hosts not in `wanted`; busy connections are closed after their answers."""
        for host in [h for h in self._pools if h not in wanted]:
            self._pools.pop(host).close_idle()

    def discard_older(self, host: Host, before_s: float) -> None:
        """Close idle connections to a host that were opened before `before_s`; busy ones are not reused."""
        if (pool := self._pools.get(host)) is not None:
            pool.discard_older(before_s)

    def is_current(self, pool: ServerPool) -> bool:
        """Whether `pool` is in use: its host may have been dropped, and listed again with another pool."""
        return self._pools.get(pool.host) is pool

    def send(
        self,
        host: Host,
        call: Call,
        timeout_ms: float,
        on_end: OnEnd,
        on_begin: OnBegin | None = None,
        on_open: Callable[[], None] | None = None,
    ) -> Exchange:
        """Start an attempt.

        `on_end` is called once, possibly before this returns; `on_begin` before it, if an answer is streamed.
        With `on_open` the attempt uses a new connection, and `on_open` is called once that is established.
        """
        exchange = Exchange(encode_request(call, timeout_ms), call.upload, on_end, on_begin, on_open)
        if call.upload is not None:
            call.body = b""  # its only attempt has it
        else:
            exchange.send_by_s = self.loop.time() + timeout_ms / 1000
        pool = self._pools.get(host)
        if pool is None:
            pool = self._pools[host] = ServerPool(self, host)
        pool.close_idle(self.loop.time() - self._idle_s)
        if on_open is not None:
            pool.close_idle()  # the host is suspected: older connections may be dead
        retryable = call.upload is None and (bool(call.idempotency_key) or call.method == b"GET")
        connection = pool.acquire(retryable)
        if connection is not None:
            connection.send(exchange)
        elif self.open >= self._max_open and not self._evict_idle():
            exchange.end(Outcome.NOT_SENT)  # a local limit: it says nothing about the host
        else:
            task = self.loop.create_task(self._connect(pool, exchange, call))
            exchange.connect_task = task
            self._connecting.add(task)
            task.add_done_callback(lambda task: self._connect_done(task, exchange))
        return exchange

    def preconnect(self, host: Host) -> None:
        """Open one connection to a newly listed host before a request needs it. It costs the host no more
        than its first request would, and shows whether the host can be reached."""
        if self.open >= self._max_open // 2:
            return  # half of the limit is left for requests
        exchange = Exchange((b"", b""), None, lambda outcome, answer: None, None)
        exchange.on_end = None
        pool = self._pools.setdefault(host, ServerPool(self, host))
        task = self.loop.create_task(self._connect(pool, exchange))
        self._connecting.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self._connect_done(task, exchange)
            if exchange.signal is not None and self.is_current(pool):
                self.on_signal(host[0], exchange.signal)

        task.add_done_callback(done)

    def _connect_done(self, task: asyncio.Task[None], exchange: Exchange) -> None:
        """Done callback of a connect task; also runs if the task was cancelled before its first step."""
        self._connecting.discard(task)
        exchange.connect_task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            # Otherwise the attempt would hang until its timeout, without a cause in the log.
            self.errors.report("server_connect", error)
            # An attempt that was handed to its connection may run: it must not count as one that never did.
            exchange.end(Outcome.CANCELLED if exchange.begun else Outcome.CONNECT_FAILED)
            exchange.abandon()

    async def _connect(self, pool: ServerPool, exchange: Exchange, call: Call | None = None) -> None:
        """Connect to the host of `pool` and send `exchange`. `call`: its request; None to preconnect."""
        address = pool.host[1]
        self.connects += 1
        try:
            sock = await self._create_socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        except OSError as error:  # no descriptor or memory in this process: not the host's fault
            log.error("no socket: %s", error)
            exchange.end(Outcome.NOT_SENT)
            return
        owned = False
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with self.pause_detector.timeout_excluding_pauses(self._connect_timeout_s):
                await self.loop.sock_connect(sock, address)
            exchange.connect_task = None  # no cancellation from here on: the transport owns the socket
            _, connection = await self.loop.create_connection(lambda: ServerConnection(pool, sock), sock=sock)
            owned = True
        except OSError as error:
            self.errors.recorder.record("connect_failed", pool.host[0], str(error))
            # A reset during the connect sets no signal: it says nothing about the state of the process.
            if isinstance(error, ConnectionRefusedError):
                exchange.signal = ConnectionSignal.REFUSED
            elif isinstance(error, TimeoutError):
                exchange.signal = ConnectionSignal.CONNECT_TIMEOUT
            # A local lack of ports or memory must not be blamed on the host, which would be paused for it.
            exchange.end(Outcome.NOT_SENT if is_local_resource_error(error) else Outcome.CONNECT_FAILED)
            return
        finally:
            if not owned:
                close(sock)
        if isinstance(self.loop, Loop) and not self.loop.watches(sock):
            connection.abort()
            exchange.end(Outcome.NOT_SENT)  # a local failure: its answer would never be read
            return
        if exchange.on_open is not None:
            exchange.on_open()
        if exchange.on_end is None:
            pool.release(connection)  # abandoned in the meantime: it must not be sent any more
        elif self.loop.time() >= exchange.send_by_s or (
            call is not None and (call.is_disconnected() or call.may_be_disconnected())
        ):
            # After a process pause the connect may complete before an overdue timeout is handled; and the
            # client may have disconnected during the connect.
            pool.release(connection)
            exchange.end(Outcome.NOT_SENT)
        else:
            connection.send(exchange)

    async def _create_socket(self, family: int) -> socket.socket:
        """Create a socket; OSError if there is none and no descriptor can be reclaimed."""
        budget = descriptor_budget_of(self.loop)
        for _ in range(MAX_RECLAIMS):
            try:
                sock = socket.socket(family)
            except OSError as error:
                if not is_descriptor_exhaustion(error) or not budget.reclaim(
                    self.loop.time(), self._evict_idle
                ):
                    raise
            else:
                budget.acquired()
                return sock
            await asyncio.sleep(0)  # aborted transports close their sockets in the next iteration
        return socket.socket(family)

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle longest, across all hosts; False if there is none."""
        pools = [pool for pool in self._pools.values() if pool.idle]
        if not pools:
            return False
        min((pool.idle[0] for pool in pools), key=lambda c: c.idle_since).abort()
        return True

    def _sweep(self) -> None:
        before = self.loop.time() - self._idle_s
        for pool in self._pools.values():
            pool.close_idle(before)
            pool.close_over_age()
        for connection in [c for c in self.connections if c.stalled]:
            # Otherwise it would occupy its client's connection forever.
            self.errors.run("server_stall", connection.fail_stalled, connection)
