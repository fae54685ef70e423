"""Sends the attempts of one simulated proxy to servers over simulated connections."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Set as AbstractSet
from functools import partial
from typing import TYPE_CHECKING, Any

from cloverrouter.interface import ConnectionSignal, Outcome
from cloverrouter.lab.engine import Timer
from cloverrouter.lab.server import Job, Reply, Server
from cloverrouter.lab.simcall import SimCall
from cloverrouter.membership.evidence import ConnectionCloses
from cloverrouter.membership.idling import IdleAgeLimit, IdleUseCounts
from cloverrouter.proxy.exchange import Host, OnBegin, OnEnd
from cloverrouter.proxy.messages import Answer, Call
from cloverrouter.proxy.upstream import IDLE_TIMEOUT_FRACTION

if TYPE_CHECKING:
    from cloverrouter.lab.simproxy import SimProxy
    from cloverrouter.lab.simulation import Simulation

OUTCOMES = {
    "ok": Outcome.OK,
    "error": Outcome.ERROR,
    "turned away": Outcome.REJECTED,
    "reset": Outcome.RESET,
}
NEVER_RAN_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class SimConnection:
    """A connection from a proxy to one process of a server."""

    __slots__ = ("dead", "exchange", "host", "idle_s", "idle_since", "number", "server", "used")

    def __init__(self, host: Host, server: Server) -> None:
        self.host, self.server, self.number = host, server, server.incarnation
        self.dead = self.used = False
        self.idle_since = 0.0
        self.idle_s = 0.0  # how long it had been idle before its last use
        self.exchange: SimExchange | None = None


class SimExchange:
    """One attempt: a request sent to a server; a `SentAttempt`."""

    __slots__ = (
        "call", "carrier", "conn", "host", "job", "number", "on_end", "on_open", "signal", "timer", "written",
    )  # fmt: skip

    received_bytes = 0  # a simulated answer arrives as a whole

    def answer_progress(self) -> None:
        return None

    def stream_answer(self) -> bool:
        return False

    @property
    def begun(self) -> bool:
        return self.written

    def __init__(self, carrier: SimCarrier, host: Host, number: int, on_end: OnEnd) -> None:
        self.carrier, self.host, self.number = carrier, host, number
        self.on_end: OnEnd | None = on_end
        self.call: SimCall | None = None  # the client's request
        self.conn: SimConnection | None = None
        self.job: Job | None = None
        self.timer: Timer | None = None
        self.signal: ConnectionSignal | None = None
        self.on_open: Callable[[], None] | None = None
        self.written = False

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            if outcome in NEVER_RAN_OUTCOMES:
                self.carrier.world.monitors.known(self.number, self.host[0], True)
            on_end(outcome, answer)

    def fail(self, signal: ConnectionSignal) -> None:
        """End the attempt: its connection could not be established."""
        self.signal = signal
        self.end(Outcome.CONNECT_FAILED)

    def abandon(self) -> None:
        self.on_end = None
        if self.conn is not None:
            self.carrier.close(self.conn)


class SimCarrier:
    """Sends attempts over simulated connections, with a pool of idle ones for each host; a `Carrier`."""

    def __init__(self, world: Simulation, proxy: SimProxy) -> None:
        self.world, self._proxy, self._name = world, proxy, proxy.name
        self._engine, self._net = world.engine, world.net
        self.alive, self._clock = True, proxy.clock
        self._pools: dict[Host, list[SimConnection]] = {}
        self._wanted: AbstractSet[Host] = set()
        self.connections: dict[SimConnection, None] = {}
        self._max_idle_s = world.scenario.proxies.conn_idle_ms * IDLE_TIMEOUT_FRACTION / 1000
        self._connect_timeout_s = world.scenario.proxies.connect_timeout_ms / 1000
        self._idle_use_counts = IdleUseCounts()
        self._idle_age_limits: dict[Host, IdleAgeLimit] = {}
        self._reports: dict[str, tuple[tuple[float, ...], bytes]] = {}

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        self._wanted = wanted
        for host in [host for host in self._idle_age_limits if host not in wanted]:
            del self._idle_age_limits[host]
        for host in [host for host in self._pools if host not in wanted]:
            for conn in self._pools.pop(host):
                self.close(conn)

    def send(
        self,
        host: Host,
        call: Call,
        timeout_ms: float,
        on_end: OnEnd,
        on_begin: OnBegin | None = None,
        on_open: Callable[[], None] | None = None,
    ) -> SimExchange:
        assert isinstance(call, SimCall)
        exchange = SimExchange(self, host, call.ask.number, on_end)
        exchange.on_open, exchange.call = on_open, call
        if not self.alive:
            return exchange
        server = self.world.by_address[host[1]]
        ask = call.ask
        key = str(ask.number) if ask.kind.effect == "keyed" else None
        exchange.job = Job(ask.number, ask.kind.name, self._name, key, ask.work_ms, _ignore_reply)
        if ask.object_number:
            exchange.job.object_id, exchange.job.draft_saves = (
                f"{ask.kind.name} {ask.object_number}",
                ask.kind.draft_saves,
            )
        pool, now_s = self._pools.get(host, []), self._engine.now
        while pool:
            conn = pool.pop()
            conn.idle_s = now_s - conn.idle_since
            usable = on_open is None and conn.idle_s <= self._max_idle_s
            if usable and self._idle_age_limit(host).may_use(conn.idle_s, ask.kind.effect != "unsafe"):
                self._write(exchange, conn)
                return exchange
            self.close(conn)
        engine, net = self.world.engine, self.world.net
        exchange.timer = self.timeout_excluding_pauses(
            self._connect_timeout_s, exchange.fail, ConnectionSignal.CONNECT_TIMEOUT
        )
        engine.post(net.delay_s(self._name, server.name), self._handle_connect_request, exchange, server)
        return exchange

    def discard_older(self, host: Host, before_s: float) -> None:
        """Do nothing: a simulated connection ends with its server's process."""

    def preconnect(self, host: Host) -> None:
        if not self.alive:
            return
        server = self.world.by_address[host[1]]
        exchange = SimExchange(self, host, -1, _ignore_end)
        exchange.on_end = None
        exchange.timer = self.timeout_excluding_pauses(
            self._connect_timeout_s,
            self._report_failed_preconnect,
            exchange,
            ConnectionSignal.CONNECT_TIMEOUT,
        )
        self._engine.post(
            self._net.delay_s(self._name, server.name), self._handle_connect_request, exchange, server
        )

    def timeout_excluding_pauses(self, delay_s: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Call `callback` after `delay_s`, in which the time the proxy is paused does not count.

        It corresponds to `PauseDetector.timeout_excluding_pauses`.
        """
        timer, started_s, paused_before_s = (
            Timer(),
            self._engine.now,
            self._clock.pause_detector.pauses.paused_s,
        )

        def expire() -> None:
            remaining_s = (
                delay_s
                - (self._engine.now - started_s)
                + self._clock.pause_detector.pauses.paused_s
                - paused_before_s
            )
            if timer.cancelled:
                return
            if remaining_s > 1e-9:
                self._clock.call_later(remaining_s, expire)
            else:
                callback(*args)

        self._clock.call_later(delay_s, expire)
        return timer

    def _report_failed_preconnect(self, exchange: SimExchange, signal: ConnectionSignal) -> None:
        if self.alive and exchange.host in self._wanted:
            self._proxy.report_signal(exchange.host[0], signal, self._proxy.incarnation)

    def _idle_age_limit(self, host: Host) -> IdleAgeLimit:
        if host not in self._idle_age_limits:
            self._idle_age_limits[host] = IdleAgeLimit(self._idle_use_counts)
        return self._idle_age_limits[host]

    def _handle_connect_request(self, exchange: SimExchange, server: Server) -> None:
        """Handle a connection request at the server."""
        world = self.world
        if not server.reachable or not world.net.passes(self._name, server.name):
            return
        conn = None
        if server.up and world.by_address[exchange.host[1]] is server:
            conn = SimConnection(exchange.host, server)
            server.connections += 1
            server.most_connections = max(server.most_connections, server.connections)
        if world.net.passes(server.name, self._name):
            world.engine.post(
                world.net.delay_s(server.name, self._name), self._handle_connect_result, exchange, conn
            )
        elif conn is not None:
            server.connections -= 1

    def _handle_connect_result(self, exchange: SimExchange, conn: SimConnection | None) -> None:
        if self._clock.defer_if_paused(self._handle_connect_result, exchange, conn):
            return
        if exchange.timer is not None:
            exchange.timer.cancel()
        if conn is not None:
            self.connections[conn] = None
        if not self.alive:
            if conn is not None:
                self.close(conn)
        elif conn is None or conn.number != conn.server.incarnation:
            if exchange.number < 0:
                self._report_failed_preconnect(exchange, ConnectionSignal.REFUSED)
            exchange.fail(ConnectionSignal.REFUSED)
            return
        if exchange.on_open is not None and self.alive:
            exchange.on_open()
        if not self.alive or conn is None:
            return
        if exchange.call is not None and exchange.call.is_disconnected():
            exchange.end(Outcome.NOT_SENT)
        if exchange.on_end is None:
            self._return_to_pool(conn)  # the attempt was abandoned meanwhile
        else:
            self._write(exchange, conn)

    def _write(self, exchange: SimExchange, conn: SimConnection) -> None:
        world, server, job = self.world, conn.server, exchange.job
        assert job is not None
        exchange.conn, conn.exchange, exchange.written = conn, exchange, True
        now_s = self._engine.now
        # The name under which the proxy knows the server: another may have taken over its address since.
        name = exchange.host[0]
        world.monitors.sent(now_s, self._name, job.request_id, name, server.groups[job.class_name])
        world.account.sent(now_s, server.name)
        if not conn.used:
            conn.used = True
            job.work_ms += server.kind.handshake_ms  # a new connection costs the server work
        job.reply = partial(self._send_reply, exchange, conn)
        self._engine.post(self._net.delay_s(self._name, server.name), self._deliver_request, exchange, conn)

    def _deliver_request(self, exchange: SimExchange, conn: SimConnection) -> None:
        server, job = conn.server, exchange.job
        assert job is not None
        if conn.dead and not conn.server.up:
            return
        if not server.reachable or not self.world.net.passes(self._name, server.name):
            return  # lost without a signal to the sender
        if conn.number != server.incarnation or server.drops_idle_connection(conn.idle_s):
            self._send_reply(exchange, conn, Reply("reset", None))
        elif not conn.dead:
            server.receive(job)

    def _send_reply(self, exchange: SimExchange, conn: SimConnection, reply: Reply) -> None:
        server = conn.server
        if server.reachable and self.world.net.passes(server.name, self._name):
            delay_s = self.world.net.delay_s(server.name, self._name)
            self.world.engine.post(delay_s, self._handle_reply, exchange, conn, reply)

    def _handle_reply(
        self, exchange: SimExchange, conn: SimConnection, reply: Reply, arrived_s: float | None = None
    ) -> None:
        now_s = self._engine.now
        if self._clock.defer_if_paused(self._handle_reply, exchange, conn, reply, now_s):
            return
        if exchange.on_end is None or conn.dead or not self.alive:
            return
        outcome = OUTCOMES[reply.how]
        conn.exchange = exchange.conn = None
        self._idle_age_limit(conn.host).record_use(conn.idle_s, reply.how == "reset", now_s)
        if reply.how == "reset":
            self.close(conn)
            exchange.end(outcome)
            return
        self._return_to_pool(conn)
        report = self._report(conn.server.name, reply.report) if reply.report is not None else None
        waited_ms = 0.0 if arrived_s is None else (now_s - arrived_s) * 1000
        exchange.end(outcome, Answer(200, b"", b"", reply.how == "turned away", report, waited_ms=waited_ms))

    def _report(self, server: str, reading: tuple[float, ...]) -> bytes:
        known = self._reports.get(server)
        if known is None or known[0] is not reading:
            encoded = b"inflight=%d,queue=%d,latency_ms=%.2f" % reading
            known = self._reports[server] = reading, encoded
        return known[1]

    def _return_to_pool(self, conn: SimConnection) -> None:
        if conn.host not in self._wanted:
            self.close(conn)
            return
        conn.idle_since = self._engine.now
        self._pools.setdefault(conn.host, []).append(conn)

    def close(self, conn: SimConnection) -> None:
        """Close a connection from the proxy's side. The server learns of it after the one-way delay."""
        if conn.dead:
            return
        conn.dead = True
        self.connections.pop(conn, None)
        pool = self._pools.get(conn.host, [])
        if conn in pool:
            pool.remove(conn)
        exchange, server = conn.exchange, conn.server
        delay_s = self.world.net.delay_s(self._name, server.name)
        self.world.engine.post(delay_s, self._handle_close, conn, exchange)

    def _handle_close(self, conn: SimConnection, exchange: SimExchange | None) -> None:
        server = conn.server
        if conn.number != server.incarnation:
            return
        server.connections -= 1
        if exchange is not None and exchange.job is not None:
            server.cancel(exchange.job)

    def reset_connections(self, server: Server) -> None:
        """Close the connections to a server whose process has died or whose machine is back, if it can be
        reached."""
        if server.reachable and self.world.net.passes(server.name, self._name):
            lost = [conn for conn in self.connections if conn.server is server]
            closes, now_ms = ConnectionCloses(), self._engine.now * 1000
            if [closes.record_close(now_ms, still_open) for still_open in reversed(range(len(lost)))][
                -1:
            ] == [True]:
                name, delay_s = lost[0].host[0], self.world.net.delay_s(server.name, self._name)
                self.world.engine.post(
                    delay_s,
                    self._proxy.report_signal,
                    name,
                    ConnectionSignal.CLOSED_BY_PEER,
                    self._proxy.incarnation,
                )
            for conn in lost:
                exchange, conn.exchange = conn.exchange, None
                self.close(conn)
                if exchange is not None:
                    delay_s = self.world.net.delay_s(server.name, self._name)
                    self.world.engine.post(delay_s, self._end_with_reset, exchange)

    def _end_with_reset(self, exchange: SimExchange) -> None:
        if self.alive and not self._clock.defer_if_paused(self._end_with_reset, exchange):
            exchange.end(Outcome.RESET)

    def kill(self) -> None:
        """Close all connections: the proxy's process has ended."""
        self.alive = False
        for conn in list(self.connections):
            self.close(conn)


def _ignore_end(outcome: Outcome, answer: Answer | None) -> None:
    """Placeholder for `on_end` of a preconnect, which has no attempt."""


def _ignore_reply(reply: Reply) -> None:
    """Placeholder for a job's `reply` until the job is written to a connection."""
