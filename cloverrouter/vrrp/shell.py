"""The I/O around a `PairMember` or a witness's `Voter`: UDP, timers and the clock. Makes no decisions.

The clock is CLOCK_BOOTTIME: monotonic, and it includes the time for which the machine was suspended, since a
lease must expire during that time, too.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from ipaddress import ip_address

from cloverrouter.clock import now_s
from cloverrouter.datagrams import BadDatagram, Datagram, RejectReason
from cloverrouter.post import MemberSocket, SocketAddress
from cloverrouter.rights import LeaseTerms
from cloverrouter.vrrp import packet
from cloverrouter.vrrp.lease import Release, Request, Voter
from cloverrouter.vrrp.machine import Advertise, ReceivedAdvertisement, Transition
from cloverrouter.vrrp.pair import PairAction, PairConfig, PairMember
from cloverrouter.vrrp.tracking import Fault, PriorityTracker
from cloverrouter.vrrp.wire import Kind, PairCodec, decode_lease, encode_lease

RETRY_AFTER_MS = 1000.0
REJECT_ALARM_HOLD_MS = 60_000.0  # the alarm ends after this time without another rejected datagram
REJECT_ALARMS = {
    RejectReason.CODE: (
        "the pair is set up wrongly: datagrams come with another secret; give all members the same"
    ),
    RejectReason.SENDER: "datagrams come from no member of the pair: a third box, or a wrong peer_address",
}
log = logging.getLogger(__name__)


def now_ms() -> float:
    return now_s() * 1000


class Witness:
    """The third voter of a pair: it grants its vote, and never accepts work itself."""

    def __init__(
        self,
        name: str,
        life: int,
        nodes: Mapping[str, SocketAddress],
        terms: LeaseTerms,
        secret: bytes | None,
    ) -> None:
        self.voter = Voter(name, terms, now_ms())
        self._socket = MemberSocket(PairCodec(name, life, frozenset(nodes), secret), nodes, self._on_datagram)

    async def open(self, listen: SocketAddress) -> None:
        await self._socket.open(listen)

    def close(self) -> None:
        self._socket.close()

    def _on_datagram(self, datagram: Datagram) -> None:
        if datagram.kind not in (Kind.REQUEST, Kind.RELEASE):
            return
        try:
            message = decode_lease(datagram.kind, datagram.payload)
        except BadDatagram:
            return
        # A node that sends in the name of the other could otherwise free the vote granted to the other.
        if isinstance(message, Request | Release) and message.stamp.member == datagram.sender:
            answer = self.voter.handle(now_ms(), message)
            if answer is not None:
                self._socket.send(datagram.sender, *encode_lease(answer))


class VrrpNode:
    """One node of a pair; implements `proxy.admission.Admission`.

    `on_accepting_change` is called when accepting work begins or ends, `event` with each transition and its
    reason, and `alarm` when the pair is misconfigured.
    """

    def __init__(
        self,
        config: PairConfig,
        life: int,
        addresses: Mapping[str, SocketAddress],
        vrid: int,
        virtual_addresses: tuple[packet.Address, ...],
        secret: bytes | None,
        on_accepting_change: Callable[[bool], None],
        event: Callable[[str], None],
        alarm: Callable[[str, str | None], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._config, self._vrid, self._virtual_addresses = config, vrid, virtual_addresses
        self._on_accepting_change, self._event, self._alarm = on_accepting_change, event, alarm
        self.pair = PairMember(config, life, now_ms())
        self.packet_faults: Counter[packet.PacketFault] = Counter()
        self.transitions: Counter[str] = Counter()
        self.priority_tracker = PriorityTracker(config.priority)
        self._rejections_seen: dict[RejectReason, tuple[int, float]] = {}  # count, and time of the last
        self._peer_address = ip_address(addresses[config.peer][0])
        self.socket = MemberSocket(
            PairCodec(config.name, life, frozenset(addresses), secret), addresses, self._on_datagram
        )
        self._timer: asyncio.TimerHandle | None = None
        self._accepting_since_ms: float | None = None  # None: no work is accepted
        self._lease_until_ms = 0.0  # as of the last check; work may be accepted until then
        self._stopped = False

    async def open(self, listen: SocketAddress) -> None:
        """Bind the socket and start the state machine. Raises OSError."""
        await self.socket.open(listen)
        self._execute(self.pair.start(now_ms()))

    # proxy.admission.Admission

    def refusal(self) -> str:
        at_ms = now_ms()
        return "" if self.pair.may_accept(at_ms) else self.pair.refusal_reason(at_ms)

    def retry_after_ms(self) -> float:
        return RETRY_AFTER_MS

    # Datagrams and timers

    def _on_datagram(self, datagram: Datagram) -> None:
        if self._stopped:
            return
        try:
            if datagram.kind is Kind.ADVERTISEMENT:
                self._on_advertisement(datagram.payload)
                return
            message = decode_lease(datagram.kind, datagram.payload)
        except BadDatagram:
            self.socket.codec.rejected[RejectReason.FORM] += 1
            return
        # A member that sends in the name of another could otherwise free or forge the other's vote.
        author = message.stamp.member if isinstance(message, Request | Release) else message.voter
        if author == datagram.sender:
            self._execute(self.pair.handle_message(now_ms(), datagram.sender, message))

    def _on_advertisement(self, payload: bytes) -> None:
        machine = self.pair.machine
        try:
            advertisement = packet.decode(payload, self._peer_address, self._config.address)
        except packet.BadPacket as error:
            self.packet_faults[error.fault] += 1
            return
        fault = packet.find_fault(advertisement, self._vrid, machine.priority, self._virtual_addresses)
        if fault is not None:
            self.packet_faults[fault] += 1
        self._alarm(
            "vrrp", None if fault is None else f"the pair is set up wrongly: the peer has {fault.value}"
        )
        if fault is not None and fault is not packet.PacketFault.ADDRESSES:
            return
        if advertisement.priority == machine.priority:
            text = (
                f"both boxes have priority {machine.priority}; give the one that is to be active the higher"
            )
            self._alarm("vrrp", f"the pair is set up wrongly: {text}")
        if advertisement.interval_cs != machine.interval_cs and advertisement.priority:
            text = (
                f"the peer advertises every {advertisement.interval_cs} cs, "
                f"this box every {machine.interval_cs}"
            )
            self._alarm("vrrp", f"the pair is set up wrongly: {text}")
        received = ReceivedAdvertisement(
            advertisement.priority, advertisement.interval_cs, self._peer_address
        )
        self._execute(self.pair.handle_message(now_ms(), self._config.peer, received))

    def _execute(self, actions: list[PairAction]) -> None:
        try:
            self._execute_each(actions)
        finally:
            self._schedule()  # without a timer the lease would neither be renewed nor given up

    def _execute_each(self, actions: list[PairAction]) -> None:
        # Before sending: the peer may accept work as soon as a release is sent. If the end were logged
        # afterwards, a process pause in between would make the logs show both nodes accepting at once.
        self._update_accepting()
        for action in actions:
            if isinstance(action, Transition):
                self.transitions[f"{action.before.value} to {action.after.value}"] += 1
                text = f"{action.before.value} -> {action.after.value}: {action.reason}"
                log.warning("vrrp: %s", text)
                self._event(text)
            elif isinstance(action.message, Advertise):
                advertisement = packet.Advertisement(
                    self._vrid,
                    action.message.priority,
                    self.pair.machine.interval_cs,
                    self._virtual_addresses,
                )
                data = packet.encode(advertisement, self._config.address, self._peer_address)
                self.socket.send(action.target, Kind.ADVERTISEMENT, data)
            else:
                self.socket.send(action.target, *encode_lease(action.message))

    def _update_accepting(self) -> None:
        """Detect, log and report that accepting work has begun or ended."""
        at_ms = now_ms()
        if self.pair.may_accept(at_ms):
            if self._accepting_since_ms is None:
                self._accepting_since_ms = at_ms
                log.warning("vrrp: takes work from %.3f on", at_ms)
                self._on_accepting_change(True)
            self._lease_until_ms = self.pair.lease.until_ms()
        elif self._accepting_since_ms is not None:
            # A released lease ended now; an expired one ended at its expiry, even if this check is late.
            since_ms, self._accepting_since_ms = self._accepting_since_ms, None
            log.warning("vrrp: took work from %.3f to %.3f", since_ms, min(at_ms, self._lease_until_ms))
            self._on_accepting_change(False)

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due_ms = self.pair.due_ms()
        if self._accepting_since_ms is not None:
            due_ms = self._lease_until_ms if due_ms is None else min(due_ms, self._lease_until_ms)
        if due_ms is not None:
            self._timer = self._loop.call_later(max(0.0, due_ms - now_ms()) / 1000 + 0.0005, self._tick)

    def _tick(self) -> None:
        self._execute(self.pair.tick(now_ms()))

    def track(self, faults: frozenset[Fault]) -> None:
        """Adjust the priority to the current health faults; called about once a second."""
        self._update_reject_alarms()
        before, after = self.pair.machine.priority, self.priority_tracker.update(now_ms(), faults)
        if after != before:
            reason = (
                ", ".join(fault.value for fault in self.priority_tracker.counted_faults)
                or "all is well again"
            )
            log.warning("vrrp: priority %d -> %d: %s", before, after, reason)
            self._event(f"priority {before} -> {after}: {reason}")
            self._execute(self.pair.set_priority(now_ms(), after))

    def _update_reject_alarms(self) -> None:
        """Raise or clear the alarms for rejected datagrams whose cause an operator can fix."""
        at_ms, rejected = now_ms(), self.socket.codec.rejected
        for reason, text in REJECT_ALARMS.items():
            if rejected[reason] > self._rejections_seen.get(reason, (0, 0.0))[0]:
                self._rejections_seen[reason] = (rejected[reason], at_ms)
                self._alarm(f"vrrp {reason.name}", text)
            elif (
                reason in self._rejections_seen
                and at_ms - self._rejections_seen[reason][1] > REJECT_ALARM_HOLD_MS
            ):
                self._alarm(f"vrrp {reason.name}", None)

    def declare_peer_off(self) -> None:
        self._execute(self.pair.declare_peer_off(now_ms()))

    def hand_over(self) -> None:
        """Start a planned handover: advertise priority 0, release the lease when the peer requests it."""
        self._execute(self.pair.hand_over(now_ms()))

    def resume(self) -> None:
        self._execute(self.pair.start(now_ms()))

    def close(self) -> None:
        self._execute(self.pair.stop(now_ms()))
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self.socket.close()

    def role(self) -> dict[str, object]:
        """A summary: the state, and whether this node accepts work."""
        at_ms = now_ms()
        return {
            "state": self.pair.machine.state.value,
            "taking": self.pair.may_accept(at_ms),
            "why_not": self.pair.refusal_reason(at_ms),
        }

    def status(self) -> dict[str, object]:
        """The result of the `vrrp status` command."""
        at_ms = now_ms()
        pair = self.pair
        left_ms = pair.lease.until_ms() - at_ms
        return {
            "name": self._config.name,
            "state": pair.machine.state.value,
            "taking": pair.may_accept(at_ms),
            "why_not": pair.refusal_reason(at_ms),
            "priority": pair.machine.priority,
            "priority_why": [fault.value for fault in self.priority_tracker.counted_faults],
            "lease_left_ms": round(left_ms) if left_ms > 0 else 0,
            "vote_of_ours": pair.voter.holder(at_ms) or "",
            "heard_ms_ago": {name: round(at_ms - at) for name, at in pair.last_received_ms.items()},
            "vouched": sorted(pair.lease.declared_off),
            "transitions": dict(self.transitions),
            "refused": {reason.value: n for reason, n in self.socket.codec.rejected.items()},
            "faults": {fault.value: n for fault, n in self.packet_faults.items()},
        }
