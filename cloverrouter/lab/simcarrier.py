"""Attempts to servers over simulated connections, as one simulated proxy makes them."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Set as AbstractSet
from functools import partial
from typing import TYPE_CHECKING, Any

from cloverrouter.interface import Outcome, Sign
from cloverrouter.lab.engine import Timer
from cloverrouter.lab.server import Job, Reply, Server
from cloverrouter.lab.simcall import SimCall
from cloverrouter.membership.evidence import Ends
from cloverrouter.membership.idling import IdleAges, Uses
from cloverrouter.proxy.exchange import Host, OnBegin, OnEnd
from cloverrouter.proxy.messages import Answer, Call
from cloverrouter.proxy.upstream import IDLE_SHARE

if TYPE_CHECKING:
    from cloverrouter.lab.simproxy import SimProxy
    from cloverrouter.lab.simulation import Simulation

OUTCOMES = {
    "ok": Outcome.OK,
    "error": Outcome.ERROR,
    "turned away": Outcome.REJECTED,
    "reset": Outcome.RESET,
}
NEVER = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class SimConnection:
    """A connection from a proxy to one process of a server."""

    __slots__ = ("dead", "exchange", "host", "idle_s", "idle_since", "number", "server", "used")

    def __init__(self, host: Host, server: Server) -> None:
        self.host, self.server, self.number = host, server, server.number
        self.dead = self.used = False
        self.idle_since = 0.0
        self.idle_s = 0.0  # before its last use
        self.exchange: SimExchange | None = None


class SimExchange:
    """One attempt: a request on its way to a server."""

    __slots__ = (
        "call", "carrier", "conn", "host", "job", "number", "on_end", "on_open", "sign", "timer", "written",
    )  # fmt: skip

    @property
    def begun(self) -> bool:
        return self.written

    def __init__(self, carrier: SimCarrier, host: Host, number: int, on_end: OnEnd) -> None:
        self.carrier, self.host, self.number = carrier, host, number
        self.on_end: OnEnd | None = on_end
        self.call: SimCall | None = None  # what it is for
        self.conn: SimConnection | None = None
        self.job: Job | None = None
        self.timer: Timer | None = None
        self.sign: Sign | None = None
        self.on_open: Callable[[], None] | None = None
        self.written = False

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            if outcome in NEVER:
                self.carrier.world.monitors.known(self.number, self.host[0], True)
            on_end(outcome, answer)

    def fail(self, sign: Sign) -> None:
        """Its connection did not come up."""
        self.sign = sign
        self.end(Outcome.CONNECT_FAILED)

    def abandon(self) -> None:
        self.on_end = None
        if self.conn is not None:
            self.carrier.close(self.conn)


class SimCarrier:
    """Attempts to servers over simulated connections; a `Carrier`."""

    def __init__(self, world: Simulation, proxy: SimProxy) -> None:
        self.world, self._proxy, self._name = world, proxy, proxy.name
        self._engine, self._net = world.engine, world.net
        self.alive, self._clock = True, proxy.clock
        self._pools: dict[Host, list[SimConnection]] = {}
        self._wanted: AbstractSet[Host] = set()
        self.conns: dict[SimConnection, None] = {}
        self._idle_s = world.scenario.proxies.conn_idle_ms * IDLE_SHARE / 1000
        self._connect_s = world.scenario.proxies.connect_timeout_ms / 1000
        self._uses = Uses()
        self._ages: dict[Host, IdleAges] = {}
        self._reports: dict[str, tuple[tuple[float, ...], bytes]] = {}

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        self._wanted = wanted
        for host in [host for host in self._ages if host not in wanted]:
            del self._ages[host]
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
        exchange.job = Job(ask.number, ask.kind.name, self._name, key, ask.work_ms, _nobody)
        if ask.about:
            exchange.job.about, exchange.job.saves = f"{ask.kind.name} {ask.about}", ask.kind.draft_saves
        pool, now_s = self._pools.get(host, []), self._engine.now
        while pool:
            conn = pool.pop()
            conn.idle_s = now_s - conn.idle_since
            fit = on_open is None and conn.idle_s <= self._idle_s
            if fit and self._age(host).may_use(conn.idle_s, ask.kind.effect != "unsafe"):
                self._write(exchange, conn)
                return exchange
            self.close(conn)
        engine, net = self.world.engine, self.world.net
        exchange.timer = self.patience(self._connect_s, exchange.fail, Sign.UNANSWERED)
        engine.post(net.delay_s(self._name, server.name), self._knock, exchange, server)
        return exchange

    def open_ahead(self, host: Host) -> None:
        if not self.alive:
            return
        server = self.world.by_address[host[1]]
        exchange = SimExchange(self, host, -1, _no_end)
        exchange.on_end = None
        exchange.timer = self.patience(self._connect_s, self._not_opened, exchange, Sign.UNANSWERED)
        self._engine.post(self._net.delay_s(self._name, server.name), self._knock, exchange, server)

    def patience(self, delay_s: float, callback: Callable[..., object], *args: Any) -> Timer:
        """As `Wake.patience`: a time in which the proxy stood does not count."""
        timer, begun_s, stood_s = Timer(), self._engine.now, self._clock.wake.standing.stood_s

        def over() -> None:
            left_s = delay_s - (self._engine.now - begun_s) + self._clock.wake.standing.stood_s - stood_s
            if timer.cancelled:
                return
            if left_s > 1e-9:
                self._clock.call_later(left_s, over)
            else:
                callback(*args)

        self._clock.call_later(delay_s, over)
        return timer

    def _not_opened(self, exchange: SimExchange, sign: Sign) -> None:
        if self.alive and exchange.host in self._wanted:
            self._proxy.signed(exchange.host[0], sign, self._proxy.lives)

    def _age(self, host: Host) -> IdleAges:
        if host not in self._ages:
            self._ages[host] = IdleAges(self._uses)
        return self._ages[host]

    def _knock(self, exchange: SimExchange, server: Server) -> None:
        """A connection is asked for, at the server's end."""
        world = self.world
        if not server.reachable or not world.net.passes(self._name, server.name):
            return
        conn = None
        if server.up and world.by_address[exchange.host[1]] is server:
            conn = SimConnection(exchange.host, server)
            server.connections += 1
            server.most_connections = max(server.most_connections, server.connections)
        if world.net.passes(server.name, self._name):
            world.engine.post(world.net.delay_s(server.name, self._name), self._connected, exchange, conn)
        elif conn is not None:
            server.connections -= 1

    def _connected(self, exchange: SimExchange, conn: SimConnection | None) -> None:
        if self._clock.away(self._connected, exchange, conn):
            return
        if exchange.timer is not None:
            exchange.timer.cancel()
        if conn is not None:
            self.conns[conn] = None
        if not self.alive:
            if conn is not None:
                self.close(conn)
        elif conn is None or conn.number != conn.server.number:
            if exchange.number < 0:
                self._not_opened(exchange, Sign.REFUSED)
            exchange.fail(Sign.REFUSED)
            return
        if exchange.on_open is not None and self.alive:
            exchange.on_open()
        if not self.alive or conn is None:
            return
        if exchange.call is not None and exchange.call.left():
            exchange.end(Outcome.NOT_SENT)
        if exchange.on_end is None:
            self._put(conn)  # given up in the meantime
        else:
            self._write(exchange, conn)

    def _write(self, exchange: SimExchange, conn: SimConnection) -> None:
        world, server, job = self.world, conn.server, exchange.job
        assert job is not None
        exchange.conn, conn.exchange, exchange.written = conn, exchange, True
        now_s = self._engine.now
        # By the name that the proxy knows it by: another may have come to that address since.
        name = exchange.host[0]
        world.monitors.sent(now_s, self._name, job.request_id, name, server.groups[job.class_name])
        world.account.sent(now_s, server.name)
        if not conn.used:
            conn.used = True
            job.work_ms += server.kind.handshake_ms  # a new connection costs the server work
        job.reply = partial(self._reply, exchange, conn)
        self._engine.post(self._net.delay_s(self._name, server.name), self._arrive, exchange, conn)

    def _arrive(self, exchange: SimExchange, conn: SimConnection) -> None:
        server, job = conn.server, exchange.job
        assert job is not None
        if conn.dead and not conn.server.up:
            return
        if not server.reachable or not self.world.net.passes(self._name, server.name):
            return  # into the void: nothing tells
        if conn.number != server.number or server.forgets(conn.idle_s):
            self._reply(exchange, conn, Reply("reset", None))
        elif not conn.dead:
            server.receive(job)

    def _reply(self, exchange: SimExchange, conn: SimConnection, reply: Reply) -> None:
        server = conn.server
        if server.reachable and self.world.net.passes(server.name, self._name):
            delay_s = self.world.net.delay_s(server.name, self._name)
            self.world.engine.post(delay_s, self._back, exchange, conn, reply)

    def _back(
        self, exchange: SimExchange, conn: SimConnection, reply: Reply, came_s: float | None = None
    ) -> None:
        now_s = self._engine.now
        if self._clock.away(self._back, exchange, conn, reply, now_s):
            return
        if exchange.on_end is None or conn.dead or not self.alive:
            return
        outcome = OUTCOMES[reply.how]
        conn.exchange = exchange.conn = None
        self._age(conn.host).used(conn.idle_s, reply.how == "reset", now_s)
        if reply.how == "reset":
            self.close(conn)
            exchange.end(outcome)
            return
        self._put(conn)
        report = self._report(conn.server.name, reply.report) if reply.report is not None else None
        waited_ms = 0.0 if came_s is None else (now_s - came_s) * 1000
        exchange.end(outcome, Answer(200, b"", b"", reply.how == "turned away", report, waited_ms=waited_ms))

    def _report(self, server: str, reading: tuple[float, ...]) -> bytes:
        known = self._reports.get(server)
        if known is None or known[0] is not reading:
            text = b"inflight=%d,queue=%d,latency_ms=%.2f" % reading
            known = self._reports[server] = reading, text
        return known[1]

    def _put(self, conn: SimConnection) -> None:
        if conn.host not in self._wanted:
            self.close(conn)
            return
        conn.idle_since = self._engine.now
        self._pools.setdefault(conn.host, []).append(conn)

    def close(self, conn: SimConnection) -> None:
        """From this end. The server hears of it a way later, if at all."""
        if conn.dead:
            return
        conn.dead = True
        self.conns.pop(conn, None)
        pool = self._pools.get(conn.host, [])
        if conn in pool:
            pool.remove(conn)
        exchange, server = conn.exchange, conn.server
        delay_s = self.world.net.delay_s(self._name, server.name)
        self.world.engine.post(delay_s, self._hung_up, conn, exchange)

    def _hung_up(self, conn: SimConnection, exchange: SimExchange | None) -> None:
        server = conn.server
        if conn.number != server.number:
            return
        server.connections -= 1
        if exchange is not None and exchange.job is not None:
            server.called_off(exchange.job)

    def broke(self, server: Server) -> None:
        """A server's process has died, or its machine is back: connections to it end, as far as that is
        heard."""
        if server.reachable and self.world.net.passes(server.name, self._name):
            ended = [conn for conn in self.conns if conn.server is server]
            ends, now_ms = Ends(), self._engine.now * 1000
            if [ends.add(now_ms, left) for left in reversed(range(len(ended)))][-1:] == [True]:
                name, delay_s = ended[0].host[0], self.world.net.delay_s(server.name, self._name)
                self.world.engine.post(delay_s, self._proxy.signed, name, Sign.HUNG_UP, self._proxy.lives)
            for conn in ended:
                exchange, conn.exchange = conn.exchange, None
                self.close(conn)
                if exchange is not None:
                    delay_s = self.world.net.delay_s(server.name, self._name)
                    self.world.engine.post(delay_s, self._ends, exchange)

    def _ends(self, exchange: SimExchange) -> None:
        if self.alive and not self._clock.away(self._ends, exchange):
            exchange.end(Outcome.RESET)

    def die(self) -> None:
        self.alive = False
        for conn in list(self.conns):
            self.close(conn)


def _no_end(outcome: Outcome, answer: Answer | None) -> None:
    """No attempt waits for it."""


def _nobody(reply: Reply) -> None:
    """Nobody waits for it yet."""
