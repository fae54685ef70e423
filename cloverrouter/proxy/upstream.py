"""Connections to hosts: a pool for each host and address, within one limit on sockets."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from collections.abc import Set as AbstractSet

from cloverrouter.interface import Outcome, Sign
from cloverrouter.membership.idling import Uses
from cloverrouter.proxy.containment import Periodic, contained_errors_of
from cloverrouter.proxy.descriptors import TRIES, missing, own_lack, room_of
from cloverrouter.proxy.exchange import Exchange, Host, OnBegin, OnEnd, encode
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.server_connection import READ_BYTES, ServerConnection
from cloverrouter.proxy.server_pool import ServerPool
from cloverrouter.proxy.sockets import close
from cloverrouter.proxy.wake import Loop, wake_of

SWEEP_S = 1.0
# Idle connections are kept for this part of the time after which the host may close them: a request
# written to one that the host is just closing ends as a reset, which may have run.
IDLE_SHARE = 0.5
log = logging.getLogger(__name__)


class Upstream:
    """All pools, within one limit on sockets."""

    def __init__(self, most_open: int, idle_ms: float, connect_timeout_ms: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.errors = contained_errors_of(self.loop)
        self.wake = wake_of(self.loop)
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.connections: set[ServerConnection] = set()  # that have a socket
        self._opening: set[asyncio.Task[None]] = set()
        self._most_open = most_open
        self._idle_s = idle_ms * IDLE_SHARE / 1000
        self._connect_timeout_s = connect_timeout_ms / 1000
        self._pools: dict[Host, ServerPool] = {}
        self.connects = 0  # begun, ever
        self.uses_seen = Uses()  # of all hosts' connections
        self.on_sign: Callable[[str, Sign], None] = lambda name, sign: None
        room_of(self.loop).makers.append(self._make_room)
        self._sweeping = Periodic(self.loop, self.errors, "server_sweep", SWEEP_S, self._sweep)

    def retime(self, idle_ms: float, connect_timeout_ms: float) -> None:
        """From now on hosts close idle connections after `idle_ms`, and have so long to accept one."""
        self._idle_s, self._connect_timeout_s = idle_ms * IDLE_SHARE / 1000, connect_timeout_ms / 1000

    def ran_s(self) -> float:
        return self.wake.ran_s(self.loop.time())

    @property
    def open(self) -> int:
        """Sockets held or being opened. Counted from what is there: a count kept by hand goes wrong by
        one for each way to end that it does not know of."""
        return len(self.connections) + len(self._opening)

    def resize(self, most_open: int) -> None:
        """Hold so many sockets at most from now on; idle ones make room, busy ones end with their answers."""
        self._most_open = most_open
        for _ in range(self.open - most_open):  # danger: they are counted until the loop's next step
            if not self._make_room():
                break

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        """Where requests may still go; all other pools end, busy connections with their answers."""
        for host in [h for h in self._pools if h not in wanted]:
            self._pools.pop(host).drop_idle()

    def uses(self, pool: ServerPool) -> bool:
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
        """Start an attempt. `on_end` is called once, later or before this returns; `on_begin` before it, if
        a long answer begins. With `on_open` it goes out on a new connection, which is told of when it is
        up."""
        exchange = Exchange(encode(call, timeout_ms), call.upload, on_end, on_begin, on_open)
        if call.upload is None:
            exchange.until_s = self.loop.time() + timeout_ms / 1000
        pool = self._pools.get(host)
        if pool is None:
            pool = self._pools[host] = ServerPool(self, host)
        pool.drop_idle(self.loop.time() - self._idle_s)
        if on_open is not None:
            pool.drop_idle()  # kept from before the doubt: they may lead nowhere
        repeatable = call.upload is None and (bool(call.idempotency_key) or call.method == b"GET")
        connection = pool.take(repeatable)
        if connection is not None:
            connection.send(exchange)
        elif self.open >= self._most_open and not self._make_room():
            exchange.end(Outcome.NOT_SENT)  # our own lack: it says nothing about the host
        else:
            task = self.loop.create_task(self._connect(pool, exchange, call))
            exchange.opening = task
            self._opening.add(task)
            task.add_done_callback(lambda task: self._opened(task, exchange))
        return exchange

    def open_ahead(self, host: Host) -> None:
        """One connection to a host that has just been listed, before a request needs it. It costs the host no
        more than its first request would, and tells whether anybody is there at all."""
        if self.open >= self._most_open // 2:
            return  # danger: what may come to nothing must not take the room of what is asked for
        exchange = Exchange((b"", b""), None, lambda outcome, answer: None, None)
        exchange.on_end = None
        pool = self._pools.setdefault(host, ServerPool(self, host))
        task = self.loop.create_task(self._connect(pool, exchange))
        self._opening.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self._opened(task, exchange)
            if exchange.sign is not None and self.uses(pool):
                self.on_sign(host[0], exchange.sign)

        task.add_done_callback(done)

    def _opened(self, task: asyncio.Task[None], exchange: Exchange) -> None:
        """Comes however the task ends, also if it was called off before its first step."""
        self._opening.discard(task)
        exchange.opening = None
        if not task.cancelled() and (error := task.exception()) is not None:
            # The attempt would hang until its time-out, and nobody would know why.
            self.errors.report("server_connect", error)
            # One that was handed to its connection may run: it must not be taken for one that never did.
            exchange.end(Outcome.CANCELLED if exchange.begun else Outcome.CONNECT_FAILED)
            exchange.abandon()

    async def _connect(self, pool: ServerPool, exchange: Exchange, call: Call | None = None) -> None:
        """`call`: what the connection is for; None: nothing yet."""
        address = pool.host[1]
        self.connects += 1
        try:
            sock = await self._socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        except OSError as error:  # no descriptor, no memory: not the host's fault
            log.error("no socket: %s", error)
            exchange.end(Outcome.NOT_SENT)
            return
        owned = False
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with self.wake.patience(self._connect_timeout_s):
                await self.loop.sock_connect(sock, address)
            exchange.opening = None  # from here on giving up must not cancel: the transport owns the socket
            _, connection = await self.loop.create_connection(lambda: ServerConnection(pool, sock), sock=sock)
            owned = True
        except OSError as error:
            self.errors.recorder.note("connect_failed", pool.host[0], error)
            # Danger: one that is reset as it comes up is one more broken connection, and tells of no process.
            if isinstance(error, ConnectionRefusedError):
                exchange.sign = Sign.REFUSED
            elif isinstance(error, TimeoutError):
                exchange.sign = Sign.UNANSWERED
            # Danger: no port, no memory here: told as the host's, it would be paused for it.
            exchange.end(Outcome.NOT_SENT if own_lack(error) else Outcome.CONNECT_FAILED)
            return
        finally:
            if not owned:
                close(sock)
        if isinstance(self.loop, Loop) and not self.loop.watches(sock):
            connection.abort()
            exchange.end(Outcome.NOT_SENT)  # our own lack: its answer would never be read
            return
        if exchange.on_open is not None:
            exchange.on_open()
        if exchange.on_end is None:
            pool.put(connection)  # given up in the meantime: it must not go out any more
        elif self.loop.time() >= exchange.until_s or (call is not None and call.left()):
            # Danger: after a stop the connection is up and the time-out is due, and the former comes first;
            # and the client may have gone while it came up.
            pool.put(connection)
            exchange.end(Outcome.NOT_SENT)
        else:
            connection.send(exchange)

    async def _socket(self, family: int) -> socket.socket:
        """Raises OSError if there is none, and nobody can make room for it."""
        room = room_of(self.loop)
        for _ in range(TRIES):
            try:
                sock = socket.socket(family)
            except OSError as error:
                if not missing(error) or not room.make(self.loop.time(), self._make_room):
                    raise
            else:
                room.used()
                return sock
            await asyncio.sleep(0)  # what was closed is gone then
        return socket.socket(family)

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest, at whichever host."""
        pools = [pool for pool in self._pools.values() if pool.idle]
        if not pools:
            return False
        min((pool.idle[0] for pool in pools), key=lambda c: c.idle_since).abort()
        return True

    def _sweep(self) -> None:
        before = self.loop.time() - self._idle_s
        for pool in self._pools.values():
            pool.drop_idle(before)
            pool.drop_doubtful()
        for connection in [c for c in self.connections if c.stalled]:
            # It would hold its client's connection for good.
            self.errors.run("server_stall", connection.stall, connection)
