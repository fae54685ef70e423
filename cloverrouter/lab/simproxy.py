"""A proxy in simulated time: the real `Node` and `Balancer` with simulated clients, servers and discovery."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING

from cloverrouter.interface import ConnectionSignal, EndpointState, GiveUpReason, ListedEndpoint, ListKind
from cloverrouter.lab.engine import Timer
from cloverrouter.lab.office import ClientAttempt
from cloverrouter.lab.registry import Listing
from cloverrouter.lab.simcall import SimCall
from cloverrouter.lab.simcarrier import SimCarrier
from cloverrouter.lab.simclock import PausableClock
from cloverrouter.lab.world import settings_of
from cloverrouter.membership.watching import VersionGuard, WatchRequest, WatchSchedule
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.observer import AttemptResult, RequestResult

if TYPE_CHECKING:
    from cloverrouter.lab.simulation import Simulation

STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}
ACCEPT_AFTER_SIGTERM_S = 0.3  # after SIGTERM, as on the platform


class SimProxy:
    """One proxy over all its incarnations; the `Port` of its clients."""

    def __init__(self, world: Simulation, index: int) -> None:
        self.world, self.index, self.name = world, index, f"p-{index}"
        self.hall = world.parties.hall_of_proxy(index)
        world.net.place(self.name, self.hall)
        self.settings = settings_of(world.scenario, index, self.hall)
        self.up = self.accepting = False
        self.incarnation = 0
        self.clock = PausableClock(world.engine)
        self.node: Node | None = None
        self.carrier: SimCarrier | None = None
        self._calls: dict[ClientAttempt, SimCall] = {}
        self._watch_schedule, self._version_guard = WatchSchedule(), VersionGuard()
        self._watch_number = 0
        self._known: dict[str, HostEntry] = {}

    def start(self, known: Listing | None = None) -> None:
        """Start an incarnation. `known`: the stored list of servers; None if there is none."""
        if self.up:
            return
        self.up = self.accepting = True
        self.incarnation += 1
        self.clock = PausableClock(self.world.engine)
        self.world.monitors.restarted(self.name)
        self.carrier = SimCarrier(self.world, self)
        seed = self.world.seeds[self.index] + self.incarnation
        self.node = Node(self.settings, seed, self.carrier, self._subscribe, _raise_error, self.clock)
        self.node.observer = self
        self._watch_schedule, self._version_guard = WatchSchedule(), VersionGuard()
        if known is not None:
            self._watch_schedule.version = known.version
            self._apply_listing(ListKind.RESTORED, known)
        else:
            self._subscribe()

    # Interface for clients, see `Port`

    def ask(self, ask: ClientAttempt) -> bool:
        """Send a request to the proxy; False if it does not accept connections."""
        if not self.accepting:
            return False
        self.world.engine.post(self.world.net.client_delay_s(), self._accept, ask, self.incarnation)
        return True

    def _accept(self, ask: ClientAttempt, incarnation: int, arrived_s: float | None = None) -> None:
        now_s = self.world.engine.now
        if not self.up or incarnation != self.incarnation or self.node is None:
            self.world.deliver_answer(ask, "failed", None)
            return
        if (ask.finished and arrived_s is None) or self.clock.defer_if_paused(
            self._accept, ask, incarnation, now_s
        ):
            return
        late = arrived_s is not None
        call = self._calls[ask] = SimCall(self, ask, 1000 * (now_s if arrived_s is None else arrived_s), late)
        self.world.monitors.taken(now_s, self.name, ask.number, ask.kind)
        if ask.finished:  # the client's disconnect arrived as well, and is read next
            self.world.monitors.forget(now_s, ask.number)
        self.node.call_received(call)
        if ask.finished and self._calls.pop(ask, None) is not None:
            self.node.disconnected(call)

    def answered(self, call: SimCall, got: str, retry_after_s: float | None) -> None:
        """Handle the node's final answer to a request."""
        ask = call.ask
        if call.life != self.incarnation or not self.up:
            return  # from an incarnation that has ended
        self.world.monitors.final(self.world.engine.now, ask.number, got)
        self._calls.pop(ask, None)
        self.world.engine.post(
            self.world.net.client_delay_s(), self.world.deliver_answer, ask, got, retry_after_s
        )

    def left(self, ask: ClientAttempt) -> None:
        """Handle a client's disconnect; one that leaves at its deadline must have been answered before."""
        now_s, call = self.world.engine.now, self._calls.pop(ask, None)
        if call is None:
            return
        if ask.abandons_after_s < ask.timeout_s or self.clock.paused_since_s is not None:
            self.world.monitors.forget(self.world.engine.now, ask.number)
        else:
            self.world.monitors.waited_out(now_s, ask.number)
        if self.node is not None and self.up:
            self.world.monitors.forget(self.world.engine.now, ask.number)
            if not self.clock.defer_if_paused(self.node.disconnected, call):
                self.node.disconnected(call)

    def report_signal(self, name: str, signal: ConnectionSignal, incarnation: int) -> None:
        """Report a connection signal that belongs to no attempt to the node."""
        if not self.up or incarnation != self.incarnation or self.node is None:
            return
        if not self.clock.defer_if_paused(self.report_signal, name, signal, incarnation):
            self.node.report_signal(name, signal)

    # Discovery

    def _subscribe(self) -> None:
        self._watch_number += 1
        self._send_watch(self._watch_number, self.incarnation)

    def _send_watch(self, watch: int, incarnation: int) -> None:
        if watch != self._watch_number or incarnation != self.incarnation or not self.up:
            return
        world = self.world
        world.monitors.asked(self.world.engine.now, self.name)
        request = self._watch_schedule.next_request()
        assert self.carrier is not None
        timer = self.carrier.timeout_excluding_pauses(
            request.max_wait_s + request.grace_s, self._handle_watch_failure, watch, incarnation
        )
        if world.net.passes(self.name, "discovery"):
            answer = partial(self._send_answer, watch, incarnation, timer, request, self._active_time_s())
            delay_s = world.net.delay_s(self.name, "discovery")
            world.engine.post(delay_s, world.registry.call, request.version, request.max_wait_s, answer)

    def _send_answer(
        self,
        watch: int,
        incarnation: int,
        timer: Timer,
        request: WatchRequest,
        sent_s: float,
        listing: Listing | None,
    ) -> None:
        if self.world.net.passes("discovery", self.name):
            delay_s = self.world.net.delay_s("discovery", self.name)
            self.world.engine.post(
                delay_s, self._handle_answer, watch, incarnation, timer, request, sent_s, listing
            )

    def _handle_answer(
        self,
        watch: int,
        incarnation: int,
        timer: Timer,
        request: WatchRequest,
        sent_s: float,
        listing: Listing | None,
    ) -> None:
        if watch != self._watch_number or incarnation != self.incarnation or not self.up or timer.cancelled:
            return
        if self.clock.defer_if_paused(
            self._handle_answer, watch, incarnation, timer, request, sent_s, listing
        ):
            return
        timer.cancel()
        if listing is None:
            self._handle_watch_failure(watch, incarnation)
            return
        elapsed_s = self._active_time_s() - sent_s
        self._watch_schedule.record_answer(request, elapsed_s, listing.version, bool(listing.entries))
        self._apply_listing(ListKind.FULL if listing.full else ListKind.DELTA, listing)
        self._send_watch(watch, incarnation)

    def _handle_watch_failure(self, watch: int, incarnation: int) -> None:
        if watch == self._watch_number and incarnation == self.incarnation and self.node is not None:
            self._watch_number += 1
            self._watch_schedule.record_failure()
            self.node.discovery_failed()

    def _apply_listing(self, kind: ListKind, listing: Listing) -> None:
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
        host_list = HostList(listing.version, listing.full, entries)
        self.node.listed(kind, self._version_guard.filter_list(host_list))

    def _active_time_s(self) -> float:
        return self.clock.pause_detector.active_time_s(self.world.engine.now)

    # Process: pauses, kill, shutdown

    def pause(self) -> None:
        """Pause the process, as SIGSTOP does."""
        if self.up:
            self.clock.pause()

    def resume(self) -> None:
        """Resume the process, as SIGCONT does."""
        self.clock.resume()

    def kill(self) -> None:
        """End the process at once; its clients' requests fail."""
        if not self.up:
            return
        self.up = self.accepting = False
        assert self.carrier is not None
        self.carrier.kill()  # the old node gets no more events from servers or clients
        calls, self._calls = self._calls, {}
        for ask in calls:
            self.world.monitors.forget(self.world.engine.now, ask.number)
            self.world.deliver_answer(ask, "failed", None)

    def terminate(self) -> None:
        """Handle SIGTERM: accept requests for a while longer, answer all that were accepted, then exit."""
        if self.up:
            self.world.engine.post(ACCEPT_AFTER_SIGTERM_S, self._stop_accepting, self.incarnation)

    def _stop_accepting(self, incarnation: int) -> None:
        if self.up and incarnation == self.incarnation:
            self.accepting = False
            self._end_when_done(incarnation)

    def _end_when_done(self, incarnation: int) -> None:
        if not self.up or incarnation != self.incarnation or self.node is None:
            return
        if self._calls or self.node.busy:
            self.world.engine.post(0.02, self._end_when_done, incarnation)
        else:
            self.kill()

    # Interface for the node, see `Observer`

    def request_accepted(self, call: Call) -> None: ...

    def attempt_ended(self, call: Call, tried: AttemptResult, report: tuple[float, ...] | None) -> None: ...

    def request_ended(
        self,
        call: Call,
        final: RequestResult,
        why: GiveUpReason | None,
        trail: Sequence[AttemptResult],
        took_ms: float,
    ) -> None:
        if why is not None:
            self.world.account.refused(self.world.engine.now, f"{final.value}: {why.value}")

    def invalid_request_rejected(self, status: int) -> None: ...

    def request_refused_early(self, call: Call, why: str) -> None: ...

    def balancer_logged(self, text: str) -> None: ...


def _raise_error(error: BaseException) -> None:
    """End the run: an exception in the decisions is an error of the proxy."""
    raise error
