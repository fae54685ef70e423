"""A proxy in simulated time: the real `Node` and `Balancer`, on a simulated carrier, watch and client
side."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from collections.abc import Set as AbstractSet
from functools import partial
from typing import TYPE_CHECKING, Any

from cloverrouter.interface import EndpointState, ListedEndpoint, ListKind, Outcome, Sign, Why
from cloverrouter.lab.engine import Engine, Timer
from cloverrouter.lab.office import Ask
from cloverrouter.lab.registry import Listing
from cloverrouter.lab.server import Job, Reply, Server
from cloverrouter.lab.world import settings_of
from cloverrouter.membership.evidence import Ends
from cloverrouter.membership.idling import IdleAges, Uses
from cloverrouter.membership.watching import Asking, Ledger, Question
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.proxy.containment import UncontainedErrors
from cloverrouter.proxy.exchange import Host, OnBegin, OnEnd
from cloverrouter.proxy.messages import Answer, Call
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.observer import Final, Tried
from cloverrouter.proxy.upstream import IDLE_SHARE
from cloverrouter.proxy.wake import Wake

if TYPE_CHECKING:
    from cloverrouter.lab.simulation import Simulation

STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}
OUTCOMES = {
    "ok": Outcome.OK,
    "error": Outcome.ERROR,
    "turned away": Outcome.REJECTED,
    "reset": Outcome.RESET,
}
NEVER = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
TAKES_ON_S = 0.3  # after SIGTERM, as the platform has it


class Own:
    """The time of one proxy: a `Loop` whose calls wait while the proxy stands still.

    What comes for it meanwhile waits, too, as in a socket's buffer, and is met before the timers.
    """

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.wake = Wake()
        self.contained_errors = UncontainedErrors()
        self.from_s: float | None = None  # since when it stands
        self._came: list[tuple[Callable[..., object], tuple[Any, ...]]] = []
        self._due: list[tuple[Timer, Callable[..., object], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self._engine.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        timer = Timer()
        self._engine.call_later(delay, self._fire, timer, callback, args)
        return timer

    def _fire(self, timer: Timer, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self.from_s is not None:
            self._due.append((timer, callback, args))
        elif not timer.cancelled:
            callback(*args)

    def away(self, met: Callable[..., object], *args: Any) -> bool:
        """Does it stand still? Then `met` waits until it goes on."""
        if self.from_s is not None:
            self._came.append((met, args))
        return self.from_s is not None

    def stand(self) -> None:
        if self.from_s is None:
            self.from_s = self._engine.now

    def go_on(self) -> None:
        if self.from_s is None:
            return
        from_s, self.from_s = self.from_s, None
        gap = self.wake.took(from_s, self._engine.now, 0.0)
        for hear in self.wake.on_gap:
            hear(gap)
        came, self._came = self._came, []
        for met, args in came:
            met(*args)
        due, self._due = self._due, []
        for timer, callback, args in due:
            if not timer.cancelled:
                callback(*args)


class SimCall(Call):
    """A client's try, as the node sees it."""

    __slots__ = ("ask", "late", "life", "proxy")

    def __init__(self, proxy: SimProxy, ask: Ask, now_ms: float, late: bool) -> None:
        self.proxy, self.ask, self.life = proxy, ask, proxy.lives
        self.arrived_ms, self.late = now_ms, late
        self.request_id = b"%d" % ask.number
        self.class_name = ask.kind.name
        self.tenant = self.cost_ms = None
        self.key = str(ask.about) if ask.about else None
        self.timeout_ms = ask.patience_s * 1000
        self.repeat = ask.attempt > 0

    def left(self) -> bool:
        """Its client's end lies here, unread: the kernel would tell."""
        if self.ask.over and self.proxy.node is not None:
            self.proxy.node.gone(self)
        return self.ask.over

    def served(self, answer: Answer) -> None:
        self.proxy.answered(self, "served", None)

    def refused(self, retry_after_ms: float) -> None:
        self.proxy.answered(self, "refused", retry_after_ms / 1000)

    def failed(self) -> None:
        self.proxy.answered(self, "failed", None)


class Conn:
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
        self.conn: Conn | None = None
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
        self.alive, self._own = True, proxy.own
        self._pools: dict[Host, list[Conn]] = {}
        self._wanted: AbstractSet[Host] = set()
        self.conns: dict[Conn, None] = {}
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
        timer, begun_s, stood_s = Timer(), self._engine.now, self._own.wake.standing.stood_s

        def over() -> None:
            left_s = delay_s - (self._engine.now - begun_s) + self._own.wake.standing.stood_s - stood_s
            if timer.cancelled:
                return
            if left_s > 1e-9:
                self._own.call_later(left_s, over)
            else:
                callback(*args)

        self._own.call_later(delay_s, over)
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
            conn = Conn(exchange.host, server)
            server.connections += 1
            server.most_connections = max(server.most_connections, server.connections)
        if world.net.passes(server.name, self._name):
            world.engine.post(world.net.delay_s(server.name, self._name), self._connected, exchange, conn)
        elif conn is not None:
            server.connections -= 1

    def _connected(self, exchange: SimExchange, conn: Conn | None) -> None:
        if self._own.away(self._connected, exchange, conn):
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

    def _write(self, exchange: SimExchange, conn: Conn) -> None:
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

    def _arrive(self, exchange: SimExchange, conn: Conn) -> None:
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

    def _reply(self, exchange: SimExchange, conn: Conn, reply: Reply) -> None:
        server = conn.server
        if server.reachable and self.world.net.passes(server.name, self._name):
            delay_s = self.world.net.delay_s(server.name, self._name)
            self.world.engine.post(delay_s, self._back, exchange, conn, reply)

    def _back(self, exchange: SimExchange, conn: Conn, reply: Reply, came_s: float | None = None) -> None:
        now_s = self._engine.now
        if self._own.away(self._back, exchange, conn, reply, now_s):
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

    def _put(self, conn: Conn) -> None:
        if conn.host not in self._wanted:
            self.close(conn)
            return
        conn.idle_since = self._engine.now
        self._pools.setdefault(conn.host, []).append(conn)

    def close(self, conn: Conn) -> None:
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

    def _hung_up(self, conn: Conn, exchange: SimExchange | None) -> None:
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
        if self.alive and not self._own.away(self._ends, exchange):
            exchange.end(Outcome.RESET)

    def die(self) -> None:
        self.alive = False
        for conn in list(self.conns):
            self.close(conn)


def _no_end(outcome: Outcome, answer: Answer | None) -> None:
    """No attempt waits for it."""


def _nobody(reply: Reply) -> None:
    """Nobody waits for it yet."""


class SimProxy:
    """One proxy and the lives it has; the `Port` of its clients."""

    def __init__(self, world: Simulation, index: int) -> None:
        self.world, self.index, self.name = world, index, f"p-{index}"
        self.hall = world.parties.hall_of_proxy(index)
        world.net.place(self.name, self.hall)
        self.settings = settings_of(world.scenario, index, self.hall)
        self.up = self.taking = False
        self.lives = 0
        self.own = Own(world.engine)
        self.node: Node | None = None
        self.carrier: SimCarrier | None = None
        self._calls: dict[Ask, SimCall] = {}
        self._asking, self._ledger = Asking(), Ledger()
        self._watching = 0
        self._known: dict[str, HostEntry] = {}

    def start(self, known: Listing | None = None) -> None:
        """Begin a life. `known`: the list as it last had it."""
        if self.up:
            return
        self.up = self.taking = True
        self.lives += 1
        self.own = Own(self.world.engine)
        self.world.monitors.restarted(self.name)
        self.carrier = SimCarrier(self.world, self)
        seed = self.world.seeds[self.index] + self.lives
        self.node = Node(self.settings, seed, self.carrier, self._subscribe, _crash, self.own)
        self.node.observer = self
        self._asking, self._ledger = Asking(), Ledger()
        if known is not None:
            self._asking.version = known.version
            self._listed(ListKind.RESTORED, known)
        else:
            self._subscribe()

    # Clients: a `Port`

    def ask(self, ask: Ask) -> bool:
        if not self.taking:
            return False
        self.world.engine.post(self.world.net.client_delay_s(), self._take, ask, self.lives)
        return True

    def _take(self, ask: Ask, life: int, came_s: float | None = None) -> None:
        now_s = self.world.engine.now
        if not self.up or life != self.lives or self.node is None:
            self.world.clients_got(ask, "failed", None)
            return
        if (ask.over and came_s is None) or self.own.away(self._take, ask, life, now_s):
            return
        late = came_s is not None
        call = self._calls[ask] = SimCall(self, ask, 1000 * (now_s if came_s is None else came_s), late)
        self.world.monitors.taken(now_s, self.name, ask.number, ask.kind)
        if ask.over:  # the end of its connection lies behind it, and is read next
            self.world.monitors.forget(now_s, ask.number)
        self.node.arrived(call)
        if ask.over and self._calls.pop(ask, None) is not None:
            self.node.gone(call)

    def answered(self, call: SimCall, got: str, retry_after_s: float | None) -> None:
        """The node's final answer."""
        ask = call.ask
        if call.life != self.lives or not self.up:
            return  # a ghost's: the process is gone
        self.world.monitors.final(self.world.engine.now, ask.number, got)
        self._calls.pop(ask, None)
        self.world.engine.post(
            self.world.net.client_delay_s(), self.world.clients_got, ask, got, retry_after_s
        )

    def left(self, ask: Ask) -> None:
        """The client leaves. Its time being over, it must have had its answer."""
        now_s, call = self.world.engine.now, self._calls.pop(ask, None)
        if call is None:
            return
        if ask.leaves_s < ask.patience_s or self.own.from_s is not None:
            self.world.monitors.forget(self.world.engine.now, ask.number)
        else:
            self.world.monitors.waited_out(now_s, ask.number)
        if self.node is not None and self.up:
            self.world.monitors.forget(self.world.engine.now, ask.number)
            if not self.own.away(self.node.gone, call):
                self.node.gone(call)

    def signed(self, name: str, sign: Sign, life: int) -> None:
        """A connection showed something, apart from any attempt."""
        if not self.up or life != self.lives or self.node is None:
            return
        if not self.own.away(self.signed, name, sign, life):
            self.node.seen(name, sign)

    # Discovery

    def _subscribe(self) -> None:
        self._watching += 1
        self._call(self._watching, self.lives)

    def _call(self, watch: int, life: int) -> None:
        if watch != self._watching or life != self.lives or not self.up:
            return
        world = self.world
        world.monitors.asked(self.world.engine.now, self.name)
        asked = self._asking.question()
        assert self.carrier is not None
        timer = self.carrier.patience(asked.hold_s + asked.grace_s, self._failed, watch, life)
        if world.net.passes(self.name, "discovery"):
            answer = partial(self._answer, watch, life, timer, asked, self._ran_s())
            delay_s = world.net.delay_s(self.name, "discovery")
            world.engine.post(delay_s, world.registry.call, asked.version, asked.hold_s, answer)

    def _answer(
        self, watch: int, life: int, timer: Timer, asked: Question, at_s: float, listing: Listing | None
    ) -> None:
        if self.world.net.passes("discovery", self.name):
            delay_s = self.world.net.delay_s("discovery", self.name)
            self.world.engine.post(delay_s, self._heard, watch, life, timer, asked, at_s, listing)

    def _heard(
        self, watch: int, life: int, timer: Timer, asked: Question, at_s: float, listing: Listing | None
    ) -> None:
        if watch != self._watching or life != self.lives or not self.up or timer.cancelled:
            return
        if self.own.away(self._heard, watch, life, timer, asked, at_s, listing):
            return
        timer.cancel()
        if listing is None:
            self._failed(watch, life)
            return
        took_s = self._ran_s() - at_s
        self._asking.answered(asked, took_s, listing.version, bool(listing.entries))
        self._listed(ListKind.FULL if listing.full else ListKind.DELTA, listing)
        self._call(watch, life)

    def _failed(self, watch: int, life: int) -> None:
        if watch == self._watching and life == self.lives and self.node is not None:
            self._watching += 1
            self._asking.failed()
            self.node.discovery_failed()

    def _listed(self, kind: ListKind, listing: Listing) -> None:
        now_s, monitors = self.world.engine.now, self.world.monitors
        states = {entry.name: entry.state for entry in listing.entries}
        if states or listing.full:
            monitors.told(now_s, self.name, states, listing.full)
        else:
            monitors.asked(now_s, self.name)
        entries = tuple(
            HostEntry(
                ListedEndpoint(
                    entry.name, entry.hall, entry.rack, 1.0, STATES[entry.state],
                    entry.started_s * 1000 if entry.started_s is not None else None,
                ),
                self.world.address_of(entry.address),
            )
            for entry in listing.entries
        )  # fmt: skip
        if listing.full:
            for name in self._known:
                if name not in states:
                    monitors.gone(now_s, self.name, name)
            self._known.clear()
        for entry in entries:
            if entry.listed.state is EndpointState.GONE:
                self._known.pop(entry.listed.name, None)
            else:
                self._known[entry.listed.name] = entry
        assert self.node is not None
        found = HostList(listing.version, listing.full, entries)
        self.node.listed(kind, self._ledger.take(found))

    def _ran_s(self) -> float:
        return self.own.wake.ran_s(self.world.engine.now)

    # Lives

    def stand(self) -> None:
        if self.up:
            self.own.stand()

    def go_on(self) -> None:
        self.own.go_on()

    def kill(self) -> None:
        if not self.up:
            return
        self.up = self.taking = False
        assert self.carrier is not None
        self.carrier.die()  # what its node still waits for finds nobody: neither servers nor clients
        calls, self._calls = self._calls, {}
        for ask in calls:
            self.world.monitors.forget(self.world.engine.now, ask.number)
            self.world.clients_got(ask, "failed", None)

    def terminate(self) -> None:
        """SIGTERM: it takes what comes for a while yet, answers all that it took, and ends."""
        if self.up:
            self.world.engine.post(TAKES_ON_S, self._stop_taking, self.lives)

    def _stop_taking(self, life: int) -> None:
        if self.up and life == self.lives:
            self.taking = False
            self._end_when_done(life)

    def _end_when_done(self, life: int) -> None:
        if not self.up or life != self.lives or self.node is None:
            return
        if self._calls or self.node.busy:
            self.world.engine.post(0.02, self._end_when_done, life)
        else:
            self.kill()

    # What the node tells: an `Observer`

    def taken(self, call: Call) -> None: ...

    def tried(self, call: Call, tried: Tried, report: tuple[float, ...] | None) -> None: ...

    def ended(
        self, call: Call, final: Final, why: Why | None, trail: Sequence[Tried], took_ms: float
    ) -> None:
        if why is not None:
            self.world.account.refused(self.world.engine.now, f"{final.value}: {why.value}")

    def turned_away(self, status: int) -> None: ...

    def not_taken(self, call: Call, why: str) -> None: ...

    def said(self, text: str) -> None: ...


def _crash(error: BaseException) -> None:
    """An exception in the decisions ends the run, loudly."""
    raise error
