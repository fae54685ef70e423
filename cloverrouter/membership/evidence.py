"""Liveness estimates of servers from connection signals. No I/O, no clock; times in ms.

Discovery is seconds late and sometimes unresponsive. Connection signals are immediate, and each can mislead
in its own way: a refused connection shows that its process has ended, as the machine answers; a timeout
may be caused by the network or by this proxy; a closed connection may have been closed on its own. So signals
are weighted and expire, and none of them makes a server usable that discovery or an operator drained.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from cloverrouter.interface import ConnectionSignal, Liveness

# Interval between two trials of a suspected server, doubled after each up to the maximum. With many proxies
# both limits grow, so that not all of them reach a recovered server within the same second.
FIRST_TRIAL_INTERVAL_MS, MAX_TRIAL_INTERVAL_MS, TRIAL_INTERVAL_PER_PROXY_MS = 250.0, 4_000.0, 10.0
FIRST_TRIAL_INTERVAL_SHARE = 0.05  # of the maximum, where that has grown
# A suspicion expires this long after its last signal, if discovery has answered since and still lists the
# server.
EXPIRY_MS = 30_000.0
# Bursts of timeouts, each after the end of the one before, that make a suspect server absent.
BURSTS_UNTIL_ABSENT = 2
# Unanswered requests needed for a suspicion: a single one may be an expensive request that no other happened
# to overtake.
MIN_UNANSWERED_REQUESTS = 2


# The process of a server has ended if it closes all its connections, at least this many, within this time.
# Where connections break independently, two of two do so within 50 ms ten times in 20 s.
CLOSE_WINDOW_MS, MIN_SIMULTANEOUS_CLOSES = 10.0, 3
SIGNAL_WEIGHTS = {
    ConnectionSignal.UNRESPONSIVE: 0,
    ConnectionSignal.CONNECT_TIMEOUT: 1,
    ConnectionSignal.CLOSED_BY_PEER: 1,
    ConnectionSignal.REFUSED: 2,
}


@dataclass(slots=True)
class FleetState:
    """State common to all servers of a proxy."""

    proxies: int = 1
    last_response_ms: float = float("-inf")  # time of the last response from any server
    last_discovery_ms: float = float("-inf")  # time of the last response from discovery
    last_pause_ms: float = float("-inf")  # end of the last pause of this process
    suspect_count: int = 0  # servers with enough signals against them
    # Signals against every server may come from a fault of the proxy's own network. They must not exclude all
    # servers.
    all_suspected: bool = False
    first_trial_interval_ms: float = field(init=False)
    max_trial_interval_ms: float = field(init=False)

    def __post_init__(self) -> None:
        self.max_trial_interval_ms = max(MAX_TRIAL_INTERVAL_MS, TRIAL_INTERVAL_PER_PROXY_MS * self.proxies)
        self.first_trial_interval_ms = max(
            FIRST_TRIAL_INTERVAL_MS, FIRST_TRIAL_INTERVAL_SHARE * self.max_trial_interval_ms
        )


class Suspect(Protocol):
    number: int


S = TypeVar("S", bound=Suspect)


class Suspects(Generic[S]):
    """Servers with enough signals against them, ordered by number."""

    def __init__(self) -> None:
        self.all: list[S] = []
        self.added: dict[S, None] = {}  # servers added since the last response from any server
        self._from = 0

    def update(self, server: S, suspected: bool) -> None:
        if not suspected and not self.all:
            return
        at = bisect_left(self.all, server.number, key=lambda e: e.number)
        if suspected == (at < len(self.all) and self.all[at] is server):
            return
        if suspected:
            self.all.insert(at, server)
            self.added[server] = None
        else:
            del self.all[at]
            self.added.pop(server, None)

    def take_added(self) -> list[S]:
        """Return and clear the servers added since the last response; called at the next response."""
        new, self.added = self.added, {}
        return list(new)

    def sample(self, max_count: int) -> list[S]:
        """Return all servers or, of more than `max_count`, that many, different ones at each call."""
        if len(self.all) <= max_count:
            return self.all
        self._from = (self._from + max_count) % len(self.all)
        return self.all[self._from : self._from + max_count]


class ConnectionCloses:
    """Recent closes of connections by a server; if all close together, its process has ended."""

    __slots__ = ("_at_ms",)

    def __init__(self) -> None:
        self._at_ms: list[float] = []

    def record_close(self, now_ms: float, still_open: int) -> bool:
        """Record a close, after which `still_open` remain. Returns True if the process has ended."""
        self._at_ms = [at_ms for at_ms in self._at_ms if at_ms > now_ms - CLOSE_WINDOW_MS]
        self._at_ms.append(now_ms)
        # A single connection that is closed, after idling or by a fault, says nothing about the others.
        if still_open or len(self._at_ms) < MIN_SIMULTANEOUS_CLOSES:
            return False
        self._at_ms.clear()
        return True


class LivenessTracker:
    """Signals and liveness estimate of one server's process."""

    __slots__ = (
        "first_signal_ms",
        "fleet",
        "last_response_ms",
        "last_signal_ms",
        "next_trial_ms",
        "process_ended",
        "signal_bursts",
        "strongest_signal",
        "trial_interval_ms",
        "trial_request_id",
        "unanswered_requests",
    )

    def __init__(self, fleet: FleetState) -> None:
        self.fleet = fleet
        self.last_response_ms = float("-inf")
        self.signal_bursts = 0  # bursts of signals since its last response
        self.unanswered_requests = 0  # unanswered requests among them
        self.strongest_signal: ConnectionSignal | None = None  # the one of greatest weight among them
        self.first_signal_ms = self.last_signal_ms = 0.0  # times of the first and the last of them
        self.process_ended = False  # its process has ended: the next response comes from another process
        self.trial_interval_ms = self.fleet.first_trial_interval_ms
        self.next_trial_ms = 0.0  # no trial before this time
        self.trial_request_id: int | None = None  # request in flight as a trial

    def record_response(self, now_ms: float) -> bool:
        """Record a response. Returns True if that ends a suspicion."""
        self.last_response_ms = self.fleet.last_response_ms = now_ms
        return self._clear_signals()

    def record_connection(self) -> bool:
        """Record a new connection: a process listens, though none has answered yet.

        Returns True if that ends a suspicion.
        """
        return self._clear_signals()

    def only_timeouts_since(self, response_ms: float) -> bool:
        """Whether all signals against it are timeouts that began after `response_ms`."""
        return (
            self.has_enough_signals
            and self.strongest_signal in (ConnectionSignal.CONNECT_TIMEOUT, ConnectionSignal.UNRESPONSIVE)
            and not self.process_ended
            and self.first_signal_ms > response_ms
        )

    def _clear_signals(self) -> bool:
        if not self.signal_bursts:
            return False
        self.signal_bursts, self.unanswered_requests, self.strongest_signal, self.process_ended = (
            0,
            0,
            None,
            False,
        )
        self.trial_interval_ms = self.fleet.first_trial_interval_ms
        return True

    def record_signal(self, signal: ConnectionSignal, sent_ms: float, now_ms: float, jitter: float) -> bool:
        """Record a signal against the server from an operation begun at `sent_ms`; `jitter` is from 0 to 1.

        Returns True if there are now enough signals. Twenty attempts in flight to a machine that vanishes
        time out one by one; such signals count as one burst.
        """
        had_enough, first = self.has_enough_signals, not self.signal_bursts
        self.unanswered_requests += signal is ConnectionSignal.UNRESPONSIVE
        self.process_ended = self.process_ended or signal in (
            ConnectionSignal.REFUSED,
            ConnectionSignal.CLOSED_BY_PEER,
        )
        if first:
            self.signal_bursts, self.strongest_signal, self.first_signal_ms, self.next_trial_ms = (
                1,
                signal,
                now_ms,
                now_ms,
            )
            if signal is ConnectionSignal.REFUSED:
                self._schedule_trial(now_ms, jitter)
        elif sent_ms >= self.last_signal_ms:
            self.signal_bursts += 1
            self._schedule_trial(now_ms, jitter)
        assert self.strongest_signal is not None
        if SIGNAL_WEIGHTS[signal] >= SIGNAL_WEIGHTS[self.strongest_signal]:
            self.strongest_signal = signal
        self.last_signal_ms = now_ms
        return self.has_enough_signals and not had_enough

    @property
    def has_enough_signals(self) -> bool:
        """Whether the signals suffice to count at all."""
        return self.signal_bursts > 0 and (
            self.strongest_signal is not ConnectionSignal.UNRESPONSIVE
            or self.unanswered_requests >= MIN_UNANSWERED_REQUESTS
        )

    def _schedule_trial(self, now_ms: float, jitter: float) -> None:
        self.next_trial_ms = now_ms + self.trial_interval_ms * (0.5 + jitter / 2)
        self.trial_interval_ms = min(self.fleet.max_trial_interval_ms, 2 * self.trial_interval_ms)

    def estimate(self, now_ms: float) -> Liveness:
        if not self.signal_bursts:
            return Liveness.UNKNOWN if self.last_response_ms == float("-inf") else Liveness.PRESENT
        if self.fleet.all_suspected or not self.has_enough_signals:
            return Liveness.UNKNOWN
        # Without any response since the first signal, the fault may be in the proxy's own network. This
        # server has not responded since then, so a later response came from another one. A refusal is itself
        # a response.
        if (
            self.strongest_signal is not ConnectionSignal.REFUSED
            and self.fleet.last_response_ms <= self.first_signal_ms
        ):
            return Liveness.UNKNOWN
        # While discovery is unresponsive, signals are the only source: a suspicion does not expire then.
        if (
            now_ms - self.last_signal_ms > EXPIRY_MS
            and self.fleet.last_discovery_ms - self.last_signal_ms > EXPIRY_MS / 2
        ):
            return Liveness.UNKNOWN
        if self.strongest_signal is ConnectionSignal.REFUSED or (
            self.strongest_signal is not ConnectionSignal.CLOSED_BY_PEER
            and self.signal_bursts >= BURSTS_UNTIL_ABSENT
        ):
            return Liveness.ABSENT
        return Liveness.SUSPECT

    def suspected(self, now_ms: float) -> bool:
        return self.estimate(now_ms) in (Liveness.SUSPECT, Liveness.ABSENT)

    def trial_due(self, now_ms: float) -> bool:
        """Whether one request may now be sent to it as a trial."""
        return self.trial_request_id is None and now_ms >= self.next_trial_ms and self.suspected(now_ms)

    def reason(self, now_ms: float) -> str:
        """Describe the signals and the estimate for operators."""
        if not self.signal_bursts:
            age_s = (now_ms - self.last_response_ms) / 1000
            return "nothing was heard of it yet" if age_s == float("inf") else f"heard {age_s:.1f} s ago"
        assert self.strongest_signal is not None
        descriptions = {
            ConnectionSignal.REFUSED: "refused a connection",
            ConnectionSignal.CONNECT_TIMEOUT: "did not answer a connection",
            ConnectionSignal.UNRESPONSIVE: "did not answer a request",
            ConnectionSignal.CLOSED_BY_PEER: "ended all its connections",
        }
        text = f"{descriptions[self.strongest_signal]} {(now_ms - self.last_signal_ms) / 1000:.1f} s ago"
        if self.signal_bursts > 1:
            text += f", {self.signal_bursts} times since {(now_ms - self.first_signal_ms) / 1000:.1f} s"
        if self.has_enough_signals and self.estimate(now_ms) is Liveness.UNKNOWN:
            cause = "so does every other" if self.fleet.all_suspected else "nobody else was heard since"
            text += f"; not counted: {cause if now_ms - self.last_signal_ms <= EXPIRY_MS else 'too long ago'}"
        return text
