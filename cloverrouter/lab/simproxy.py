"""A proxy in simulated time: the real `Node` and `Balancer`, on a simulated carrier, watch and client
side."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING

from cloverrouter.interface import EndpointState, ListedEndpoint, ListKind, Sign, Why
from cloverrouter.lab.engine import Timer
from cloverrouter.lab.office import Ask
from cloverrouter.lab.registry import Listing
from cloverrouter.lab.simcall import SimCall
from cloverrouter.lab.simcarrier import SimCarrier
from cloverrouter.lab.simclock import PausableClock
from cloverrouter.lab.world import settings_of
from cloverrouter.membership.watching import Asking, Ledger, Question
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.observer import Final, Tried

if TYPE_CHECKING:
    from cloverrouter.lab.simulation import Simulation

STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}
TAKES_ON_S = 0.3  # after SIGTERM, as the platform has it


class SimProxy:
    """One proxy and the lives it has; the `Port` of its clients."""

    def __init__(self, world: Simulation, index: int) -> None:
        self.world, self.index, self.name = world, index, f"p-{index}"
        self.hall = world.parties.hall_of_proxy(index)
        world.net.place(self.name, self.hall)
        self.settings = settings_of(world.scenario, index, self.hall)
        self.up = self.taking = False
        self.lives = 0
        self.clock = PausableClock(world.engine)
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
        self.clock = PausableClock(self.world.engine)
        self.world.monitors.restarted(self.name)
        self.carrier = SimCarrier(self.world, self)
        seed = self.world.seeds[self.index] + self.lives
        self.node = Node(self.settings, seed, self.carrier, self._subscribe, _crash, self.clock)
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
        if (ask.over and came_s is None) or self.clock.away(self._take, ask, life, now_s):
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
        if ask.leaves_s < ask.patience_s or self.clock.from_s is not None:
            self.world.monitors.forget(self.world.engine.now, ask.number)
        else:
            self.world.monitors.waited_out(now_s, ask.number)
        if self.node is not None and self.up:
            self.world.monitors.forget(self.world.engine.now, ask.number)
            if not self.clock.away(self.node.gone, call):
                self.node.gone(call)

    def signed(self, name: str, sign: Sign, life: int) -> None:
        """A connection showed something, apart from any attempt."""
        if not self.up or life != self.lives or self.node is None:
            return
        if not self.clock.away(self.signed, name, sign, life):
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
        if self.clock.away(self._heard, watch, life, timer, asked, at_s, listing):
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
        return self.clock.wake.ran_s(self.world.engine.now)

    # Lives

    def stand(self) -> None:
        if self.up:
            self.clock.stand()

    def go_on(self) -> None:
        self.clock.go_on()

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
