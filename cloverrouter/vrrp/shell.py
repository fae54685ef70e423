"""UDP, timers and the clock round a `Pair` or a witness's `Voter`. Carries out, decides nothing.

The clock is CLOCK_BOOTTIME: monotonic, and it counts the time for which the machine was suspended, which a
lease must not outlast.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from ipaddress import ip_address

from cloverrouter.clock import now_s
from cloverrouter.datagrams import BadDatagram, Datagram, Reason
from cloverrouter.post import Post, SocketAddress
from cloverrouter.rights import Terms
from cloverrouter.vrrp import packet
from cloverrouter.vrrp.lease import Release, Request, Voter
from cloverrouter.vrrp.machine import Advertise, Became, Heard
from cloverrouter.vrrp.pair import Out, Pair, Shape
from cloverrouter.vrrp.tracking import Fault, Tracking
from cloverrouter.vrrp.wire import Courier, Kind, decode_lease, encode_lease

RETRY_AFTER_MS = 1000.0
STRANGE_MS = 60_000.0  # without another, then the alarm ends
STRANGERS = {
    Reason.CODE: "the pair is set up wrongly: datagrams come with another secret; give all members the same",
    Reason.SENDER: "datagrams come from no member of the pair: a third box, or a wrong peer_address",
}
log = logging.getLogger(__name__)


def now_ms() -> float:
    return now_s() * 1000


class Witness:
    """The third voter: promises its vote, and nothing else."""

    def __init__(
        self, name: str, life: int, boxes: Mapping[str, SocketAddress], terms: Terms, secret: bytes | None
    ) -> None:
        self.voter = Voter(name, terms, now_ms())
        self._post = Post(Courier(name, life, frozenset(boxes), secret), boxes, self._received)

    async def open(self, listen: SocketAddress) -> None:
        await self._post.open(listen)

    def close(self) -> None:
        self._post.close()

    def _received(self, told: Datagram) -> None:
        if told.kind not in (Kind.REQUEST, Kind.RELEASE):
            return
        try:
            message = decode_lease(told.kind, told.payload)
        except BadDatagram:
            return
        # Danger: a box that speaks for another could free the other's promise.
        if isinstance(message, Request | Release) and message.stamp.box == told.sender:
            answer = self.voter.handle(now_ms(), message)
            if answer is not None:
                self._post.send(told.sender, *encode_lease(answer))


class Box:
    """One box of a pair. Fills the admission seam. `changed` is called when taking begins or ends, `event`
    of each transition with its reason, `alarm` of a pair that is set up wrongly."""

    def __init__(
        self,
        shape: Shape,
        life: int,
        addresses: Mapping[str, SocketAddress],
        vrid: int,
        virtual: tuple[packet.Address, ...],
        secret: bytes | None,
        changed: Callable[[bool], None],
        event: Callable[[str], None],
        alarm: Callable[[str, str | None], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._shape, self._vrid, self._virtual = shape, vrid, virtual
        self._changed, self._event, self._alarm = changed, event, alarm
        self.pair = Pair(shape, life, now_ms())
        self.faults: Counter[packet.Fault] = Counter()
        self.transitions: Counter[str] = Counter()
        self.tracking = Tracking(shape.priority)
        self._strange: dict[Reason, tuple[int, float]] = {}  # how many, and when it last rose
        self._peer_address = ip_address(addresses[shape.peer][0])
        self.post = Post(Courier(shape.name, life, frozenset(addresses), secret), addresses, self._received)
        self._timer: asyncio.TimerHandle | None = None
        self._taking_ms: float | None = None  # since when work is taken
        self._until_ms = 0.0  # and up to when it may be, as far as is known
        self._stopped = False

    async def open(self, listen: SocketAddress) -> None:
        """Raises OSError."""
        await self.post.open(listen)
        self._carry_out(self.pair.start(now_ms()))

    # proxy.admission.Admission

    def refusal(self) -> str:
        at_ms = now_ms()
        return "" if self.pair.may_take(at_ms) else self.pair.why_not(at_ms)

    def retry_after_ms(self) -> float:
        return RETRY_AFTER_MS

    # Datagrams, timers

    def _received(self, told: Datagram) -> None:
        if self._stopped:
            return
        try:
            if told.kind is Kind.ADVERTISEMENT:
                self._advertised(told.payload)
                return
            message = decode_lease(told.kind, told.payload)
        except BadDatagram:
            self.post.courier.refused[Reason.FORM] += 1
            return
        # Danger: one that speaks for another could free, or forge, that one's promise.
        spoken_for = message.stamp.box if isinstance(message, Request | Release) else message.voter
        if spoken_for == told.sender:
            self._carry_out(self.pair.heard(now_ms(), told.sender, message))

    def _advertised(self, payload: bytes) -> None:
        own = self.pair.machine
        try:
            told = packet.decode(payload, self._peer_address, self._shape.address)
        except packet.BadPacket as wrong:
            self.faults[wrong.fault] += 1
            return
        fault = packet.check(told, self._vrid, own.priority, self._virtual)
        if fault is not None:
            self.faults[fault] += 1
        self._alarm(
            "vrrp", None if fault is None else f"the pair is set up wrongly: the peer has {fault.value}"
        )
        if fault is not None and fault is not packet.Fault.ADDRESSES:
            return
        if told.priority == own.priority:
            text = f"both boxes have priority {own.priority}; give the one that is to be active the higher"
            self._alarm("vrrp", f"the pair is set up wrongly: {text}")
        if told.interval_cs != own.interval_cs and told.priority:
            text = f"the peer advertises every {told.interval_cs} cs, this box every {own.interval_cs}"
            self._alarm("vrrp", f"the pair is set up wrongly: {text}")
        heard = Heard(told.priority, told.interval_cs, self._peer_address)
        self._carry_out(self.pair.heard(now_ms(), self._shape.peer, heard))

    def _carry_out(self, out: list[Out]) -> None:
        try:
            self._carry_out_each(out)
        finally:
            self._schedule()  # with no timer the box would neither renew nor give up its lease

    def _carry_out_each(self, out: list[Out]) -> None:
        # Danger: once a release is on its way, the other box may take. Looked at after the sending, a pause
        # in between would have the log say that both took at once.
        self._look()
        for action in out:
            if isinstance(action, Became):
                self.transitions[f"{action.before.value} to {action.after.value}"] += 1
                text = f"{action.before.value} -> {action.after.value}: {action.why}"
                log.warning("vrrp: %s", text)
                self._event(text)
            elif isinstance(action.message, Advertise):
                told = packet.Advertisement(
                    self._vrid, action.message.priority, self.pair.machine.interval_cs, self._virtual
                )
                data = packet.encode(told, self._shape.address, self._peer_address)
                self.post.send(action.target, Kind.ADVERTISEMENT, data)
            else:
                self.post.send(action.target, *encode_lease(action.message))

    def _look(self) -> None:
        """Has taking begun or ended?"""
        at_ms = now_ms()
        if self.pair.may_take(at_ms):
            if self._taking_ms is None:
                self._taking_ms = at_ms
                log.warning("vrrp: takes work from %.3f on", at_ms)
                self._changed(True)
            self._until_ms = self.pair.lease.until_ms()
        elif self._taking_ms is not None:
            # Released, it ended just now; by time, it ended when the lease did, however late we look.
            begun, self._taking_ms = self._taking_ms, None
            log.warning("vrrp: took work from %.3f to %.3f", begun, min(at_ms, self._until_ms))
            self._changed(False)

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due_ms = self.pair.due_ms()
        if self._taking_ms is not None:
            due_ms = self._until_ms if due_ms is None else min(due_ms, self._until_ms)
        if due_ms is not None:
            self._timer = self._loop.call_later(max(0.0, due_ms - now_ms()) / 1000 + 0.0005, self._tick)

    def _tick(self) -> None:
        self._carry_out(self.pair.tick(now_ms()))

    def track(self, faults: frozenset[Fault]) -> None:
        """What is wrong with this box at this moment; called about once a second."""
        self._look_for_strangers()
        before, after = self.pair.machine.priority, self.tracking.look(now_ms(), faults)
        if after != before:
            why = ", ".join(fault.value for fault in self.tracking.counting) or "all is well again"
            log.warning("vrrp: priority %d -> %d: %s", before, after, why)
            self._event(f"priority {before} -> {after}: {why}")
            self._carry_out(self.pair.set_priority(now_ms(), after))

    def _look_for_strangers(self) -> None:
        """Datagrams that are turned away for what an operator can mend are said in clear words."""
        at_ms, refused = now_ms(), self.post.courier.refused
        for reason, text in STRANGERS.items():
            if refused[reason] > self._strange.get(reason, (0, 0.0))[0]:
                self._strange[reason] = (refused[reason], at_ms)
                self._alarm(f"vrrp {reason.name}", text)
            elif reason in self._strange and at_ms - self._strange[reason][1] > STRANGE_MS:
                self._alarm(f"vrrp {reason.name}", None)

    def vouch(self) -> None:
        self._carry_out(self.pair.vouch(now_ms()))

    def hand_over(self) -> None:
        """Stop in an orderly way: priority 0 now, and the votes given back when the other asks for them."""
        self._carry_out(self.pair.hand_over(now_ms()))

    def resume(self) -> None:
        self._carry_out(self.pair.start(now_ms()))

    def close(self) -> None:
        self._carry_out(self.pair.stop(now_ms()))
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self.post.close()

    def role(self) -> dict[str, object]:
        """In a few words: what this box is, and whether it takes work."""
        at_ms = now_ms()
        return {
            "state": self.pair.machine.state.value,
            "taking": self.pair.may_take(at_ms),
            "why_not": self.pair.why_not(at_ms),
        }

    def told(self) -> dict[str, object]:
        """For `status`."""
        at_ms = now_ms()
        pair = self.pair
        left_ms = pair.lease.until_ms() - at_ms
        return {
            "name": self._shape.name,
            "state": pair.machine.state.value,
            "taking": pair.may_take(at_ms),
            "why_not": pair.why_not(at_ms),
            "priority": pair.machine.priority,
            "priority_why": [fault.value for fault in self.tracking.counting],
            "lease_left_ms": round(left_ms) if left_ms > 0 else 0,
            "vote_of_ours": pair.voter.holder(at_ms) or "",
            "heard_ms_ago": {name: round(at_ms - heard) for name, heard in pair.heard_ms.items()},
            "vouched": sorted(pair.lease.vouched),
            "transitions": dict(self.transitions),
            "refused": {reason.value: n for reason, n in self.post.courier.refused.items()},
            "faults": {fault.value: n for fault, n in self.faults.items()},
        }
