"""The routing decisions of one client proxy. Its events and actions are defined in ``interface.py``.

One `Balancer` serves one client proxy. It has no clock, socket or thread: the proxy calls
`Balancer.handle` with the time and the events since the last call, and executes the returned actions.

The usual path of a request: two ready endpoints are drawn at random and the one with the higher
payoff / (1 + own attempts in flight) gets the attempt. A failed attempt is retried elsewhere after a
decorrelated-jitter backoff, within the request's absolute deadline, if the retry budget, which
successful answers refill, has enough tokens. Exceptions to this path are described where they are made.
"""

from __future__ import annotations

from bisect import bisect, insort
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from math import ceil
from random import Random

from cloverrouter.interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    ConnectionSignal,
    ConnectionSignalObserved,
    EndpointsListed,
    EndpointState,
    Event,
    Fail,
    GiveUpReason,
    Idempotency,
    IdempotencyScope,
    ListedEndpoint,
    ListKind,
    Log,
    Outcome,
    ProbeEnded,
    ProcessPaused,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestCompleted,
    Safety,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    StreamStarted,
    Subscribe,
    TimerFired,
)
from cloverrouter.membership.decay import DecayingScore, PooledMeans, WarmServerRate, WorkRate
from cloverrouter.membership.evidence import FleetState, LivenessTracker, Suspects
from cloverrouter.membership.releases import SHOWN_SPAN, CompletedWorkRate, RolloutDetector, cold_rate
from cloverrouter.membership.rings import ZoneRings, ring_key
from cloverrouter.membership.watching import reconnect_delay_ms
from cloverrouter.values import replace

# Parameters of the published algorithm: retry budget (a token bucket) and decorrelated-jitter backoff.
BUDGET_CAPACITY = 100.0
RETRY_RATIO = 0.1  # retries add at most this fraction of the successful answers
BACKOFF_BASE_MS = 100.0
BACKOFF_CAP_MS = 30_000.0
DEADLINE_MARGIN_MS = 50.0  # a retry closer than this to the deadline would most likely be wasted work

# Parameters of this implementation, from here on.

# Weight of a new sample in exponential moving averages: about the last ten answers count.
GAIN = 0.2
# A cold server is sent at most this fraction of the load that would overload it, by the estimate of its
# capacity: with the usual overload multiple of three, just its warm-up share of what other servers get. The
# rest is headroom for machines slower than the mean of their fleet, and for bursts.
COLD_MARGIN = 1 / 3
RATE_WINDOWS = 4  # overload windows over which the work rate of the warm servers is smoothed
# Slowness up to which a server is given more load: 1 plus this fraction of the headroom between the slow
# answers of an unloaded server and the class's aim, and at least and at most these multiples of the
# unloaded latency.
SLOWNESS_ROOM = 0.5
SLOWNESS_LEAST, SLOWNESS_MOST = 1.25, 3.0
# A server with attempts in flight counts as unresponsive after this many mean intervals between answers
# without one; by chance that happens once in e**5 times.
SILENT_GAPS = 5.0
# Growth of a limit for each round of answers. Small, because a surge of requests has had several rounds by
# the time that slowness shows.
LIMIT_GROWTH = 0.25
LIMIT_LEAST = 0.1  # attempts; a limit below 1 is the fraction of the time in which one is in flight
# Limit of own attempts in flight on a server of which nothing is known (many proxies may start at once), and
# lower bound on a slow one: this proxy's share of what keeps a server busy, which is one attempt for each
# unit of its weight, or core, and half as many in transit; but at least one.
PART = 1.5
PART_LEAST = 1.0
BASE_WINDOW = 25  # answers in one sample of a class's unloaded latency
# Limit of the attempts in flight to all servers together. A proxy starts with its share of FLOW_START
# attempts for each unit of weight of the servers, about what keeps a core busy; the limit never falls below
# the fraction FLOW_LEAST of that start.
FLOW_START = 3.0
FLOW_LEAST = 0.1
FLOW_FLOOR = 0.001  # attempts; lower bound of the limit from which a pause is computed
# That share is only an estimate, as other proxies may leave part of theirs unused. From a limit of one on,
# each answer adds up to FLOW_GROWTH attempts, less as the overload ratio nears one; below one, each answer
# multiplies the limit by FLOW_SEEKS. Capacity that was not used is saved, for FLOW_SAVED attempts at most.
FLOW_GROWTH, FLOW_SEEKS, FLOW_SAVED = 0.5, 1.5, 3.0
# Target load of a server that many proxies share, by its load reports: HELD_MOST requests in service for each
# that it can process at once, as more would only queue there. Where its reports lack that count, a
# utilization of its cores of UTIL_MOST, at which as many are in service on average.
HELD_MOST, UTIL_MOST = 1.5, 0.8
CROWD_HALF_MS = 1500.0  # half-life of what a load report says about other proxies' load
# A proxy uses a subset of the servers: as many as give each server COVER proxies on average, enough for their
# unequal traffic to even out; at least WINDOW_LEAST, for a choice of two to mean something; and as many as
# this proxy's traffic reaches once each within WINDOW_SPANS times the longest deadline.
COVER = 12.0
WINDOW_LEAST = 3.0
WINDOW_SPANS = 0.5
# Upper bound on the servers inspected for one request: this many beyond the size of the subset, or this many
# of all servers.
LOOK = 256
# When more than this fraction of the requests that clients may have open is in use, queued requests are given
# up, the oldest first.
FULL_SHARE = 0.85
# Discovery tells of a change at the latest so long after it was made.
LIST_DELAY_MS = 10_000.0
# How long a request whose body is still arriving may wait for a server.
UPLOAD_MS = 10_000.0
# A timeout counts as a signal against its server's liveness if it took at least this multiple of the usual
# latency, and at least this long.
SILENCE_SPANS, SILENCE_LEAST_MS = 2.0, 100.0
SILENCED = 1 / 3  # of the servers: if as many timed out while none answered, the network was at fault
# Time for the connection of a trial to come up, many round trips; after that the server counts as absent.
# What is left of the request's time is needed for an attempt elsewhere.
TRIAL_MS = 100.0
TRIAL_TOKENS = 3  # retries that the budget must have left for a trial, as it may cost one
# With many proxies, a server can't keep a connection to each, and a new one costs it part of a request's
# work. A server to which a connection is free, judged by its last answers to this proxy, is drawn
# LINKED_DRAWS times as readily, and the score of others is multiplied by UNLINKED_SCORE. After LINKED_MS
# without an answer its connections count as closed.
LINKED_DRAWS, UNLINKED_SCORE, LINKED_MS = 6.0, 0.6, 8_000.0
# Deadline of a request of an unknown class that states none.
DEFAULT_DEADLINE_MS = 1000.0

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
# The server has done the work: its latency tells the capacity, whatever the answer was worth. A malformed
# answer doesn't pause its server: all servers alike may send them, and pauses would exclude the whole fleet.
WORKED = (Outcome.OK, Outcome.SPOILT)
HEARD = (Outcome.OK, Outcome.SPOILT, Outcome.ERROR, Outcome.REJECTED)  # an answer arrived, of any kind
BROKEN = (Outcome.RESET, Outcome.CONNECT_FAILED)  # the connection failed, perhaps because of the network
NO_EVIDENCE = (Outcome.CANCELLED, Outcome.NOT_SENT)  # caused by this proxy: says nothing about the server


def has_many_proxies_per_server(settings: Settings) -> bool:
    """Whether more proxies use each server than can each have an attempt in flight on it at all times.

    With fewer proxies, each learns enough from its own answers, and its limits for each server bound the
    total. With more, the mechanisms for many proxies act: the pooled limit, limits below one, and load
    reports.
    """
    return settings.proxies > COVER


class RetryBudget:
    """Token bucket that limits retries: successful answers add tokens, retries take them."""

    def __init__(self) -> None:
        self.tokens = BUDGET_CAPACITY

    def earn(self) -> None:
        self.tokens = min(BUDGET_CAPACITY, self.tokens + 1)

    def spend(self) -> bool:
        """Take the tokens for one retry; return False, and take none, if there are too few."""
        cost = 1 / RETRY_RATIO
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


def backoff_ms(previous_ms: float, random: Random) -> float:
    """Return the next backoff by decorrelated jitter, drawn from the previous one, not the attempt number."""
    return min(BACKOFF_CAP_MS, BACKOFF_BASE_MS + random.random() * (previous_ms * 3 - BACKOFF_BASE_MS))


def retry_after_ms(settings: Settings) -> float:
    """Return the Retry-After of a refusal: the first backoff where clients are sent one, else 0.

    Clients that are refused without it retry at once, and meet the same overload again.
    """
    limits = settings.limits
    return min(BACKOFF_BASE_MS, limits.max_retry_after_ms) if limits.retry_after else 0.0


class ClassLatency:
    """Latency of a request class over all servers: the running mean, and that of unloaded servers."""

    def __init__(self, cls: RequestClass) -> None:
        self.cls = cls
        self.mean_ms = cls.aim_ms / 4  # until there are samples
        self.unloaded_ms = cls.aim_ms / 4  # the running mean, until a window is full
        self.slow_ratio = 2.0  # latency of the slow answers of unloaded servers / unloaded_ms
        self.count = 0
        self._window: list[float] = []

    def with_settings(self, cls: RequestClass) -> ClassLatency:
        """Return the statistics of the same class for new settings: what was measured still holds."""
        new = ClassLatency(cls)
        new.mean_ms, new.unloaded_ms, new.count = self.mean_ms, self.unloaded_ms, self.count
        new.slow_ratio = self.slow_ratio
        return new if self.count else ClassLatency(cls)

    def add(self, latency_ms: float) -> None:
        self.count += 1
        self.mean_ms += max(1 / self.count, GAIN / 10) * (latency_ms - self.mean_ms)
        self.mean_ms = max(self.mean_ms, 0.01)
        if self.count <= BASE_WINDOW:
            self.unloaded_ms = self.mean_ms
        self._window.append(latency_ms)
        if len(self._window) == BASE_WINDOW:
            # The lowest window mean, each raised by its standard error: the minimum of many noisy
            # means would lie far below the true latency, and healthy servers would be throttled.
            mean = sum(self._window) / BASE_WINDOW
            variance = sum((x - mean) ** 2 for x in self._window) / BASE_WINDOW
            self.unloaded_ms = max(
                0.01, min(self.unloaded_ms * 1.002, mean + (variance / BASE_WINDOW) ** 0.5)
            )
            slow = sorted(self._window)[-2] / mean  # about the 95th percentile
            self.slow_ratio += GAIN * (max(1.0, slow) - self.slow_ratio)
            self._window.clear()

    def slowness(self, latency_ms: float) -> float:
        """Return the latency relative to that of an unloaded server."""
        return latency_ms / self.unloaded_ms

    def good_latency_ms(self) -> float:
        """Return the midpoint of the unloaded latency and the aim; beyond it the aim may soon be missed."""
        return (self.unloaded_ms + max(self.unloaded_ms, self.cls.aim_ms)) / 2

    def slowness_target(self) -> float:
        """Return the slowness up to which this class lets servers be given more load."""
        headroom = self.cls.aim_ms / (self.unloaded_ms * self.slow_ratio) - 1
        return min(SLOWNESS_MOST, max(SLOWNESS_LEAST, 1 + SLOWNESS_ROOM * headroom))


class Endpoint(DecayingScore):
    """State of one server as this proxy sees it."""

    def __init__(
        self,
        listed: ListedEndpoint,
        number: int,
        fleet: FleetState,
        values: tuple[PooledMeans, float, float],
        limit: float,
    ) -> None:
        super().__init__(*values)
        self.listed, self.number = listed, number  # `number`: sequence number by first listing
        self.key = ring_key(listed.name)
        self.is_listed = True
        # As it was listed when it was added to its ring; None: it is in no ring.
        self.ring_entry: ListedEndpoint | None = None
        self.liveness = LivenessTracker(fleet)
        self.restarted_ms = float("-inf")  # inferred time of a restart that discovery has not reported
        self.replaced_ms = float("-inf")  # when another process may have taken its address
        self.overload_ratio = 1.0  # smoothed; above 1 it is given too much load
        self.in_flight = 0
        self.limit = limit  # of own attempts in flight
        self.latency_ms = 0.0  # smoothed, over all classes
        self.waiting_since_ms = 0.0  # start of the time with attempts in flight and no answer
        self.failures = 0  # consecutive; a burst of them counts once
        self.paused_until_ms = 0.0
        self.has_outcomes = False  # whether any outcome has been recorded
        self.cold_credit = 0.0  # work that it may still be sent while cold
        self.cold_credit_at_ms: float | None = None  # when the credit was last updated
        self.completed_work_rate: CompletedWorkRate | None = None  # while it is cold
        self.draw_weight = 1.0  # relative probability of being drawn
        self.contention = 1.0  # slowdown caused by other proxies' requests, by its last report
        self.contention_at_ms = float("-inf")
        self.cores = max(1.0, listed.weight)  # until it reports its load
        # Most own attempts in flight at once of late; time of the last answer.
        self.recent_connections, self.last_response_ms = 0, float("-inf")

    @property
    def weight(self) -> float:
        return max(0.0, self.listed.weight)

    @property
    def usable(self) -> bool:
        return self.is_listed and self.listed.state is EndpointState.READY

    @property
    def payoff(self) -> float:
        earned, slowness = self.values()
        return earned / slowness

    def has_capacity(self, now_ms: float) -> bool:
        return (
            self.in_flight < max(1.0, self.limit)
            and now_ms >= self.paused_until_ms
            and not self.unresponsive(now_ms)
            and not self.suspected(now_ms)
        )

    def suspected(self, now_ms: float) -> bool:
        return bool(self.liveness.signal_bursts) and self.liveness.suspected(now_ms)

    def has_free_connection(self, now_ms: float) -> bool:
        """Whether a connection to it is free, estimated from the attempts in flight."""
        return self.in_flight < self.recent_connections and now_ms - self.last_response_ms < LINKED_MS

    def unresponsive(self, now_ms: float) -> bool:
        """Whether attempts are in flight and no answer has come for several times the usual interval.

        A hung or partitioned server would take more work until the first timeout; this detects it sooner.
        """
        if not self.in_flight or not self.latency_ms:
            return False
        since_ms = max(self.waiting_since_ms, self.liveness.fleet.last_pause_ms)
        return now_ms - since_ms > SILENT_GAPS * self.latency_ms / min(self.in_flight, 4)

    def record_answer(self, now_ms: float, latency_ms: float) -> None:
        self.waiting_since_ms = self.last_response_ms = now_ms
        self.failures = 0
        self.latency_ms += (GAIN if self.latency_ms else 1.0) * (latency_ms - self.latency_ms)

    def record_failure(
        self, now_ms: float, pause_ms: float, max_pause_ms: float, connection_broken: bool = False
    ) -> None:
        """Pause the server, twice as long with each failure in a row, and halve its limit.

        A server that rejects or fails requests at once would otherwise attract and fail more than its share.
        """
        if now_ms >= self.paused_until_ms:
            self.failures += 1
            # Connections to all servers break now and then, and a pause for each would exclude the whole
            # fleet. A server that is down fails the next attempt, too.
            if connection_broken and self.failures == 1:
                return
            self.paused_until_ms = now_ms + min(max_pause_ms, pause_ms * 2.0 ** min(self.failures - 1, 16))
            self.limit = max(min(1.0, self.limit), self.limit / 2)

    def record_outcome(self, earned: float, slowness: float) -> None:
        previous_earned, previous_slowness = self.values()
        self.set_values(
            previous_earned + GAIN * (earned - previous_earned),
            previous_slowness + GAIN * (slowness - previous_slowness),
        )
        if not self.has_outcomes:
            self.has_outcomes = True
            self.set_participation(self.ring_entry is not None, self.is_listed)

    def record_load_report(
        self, now_ms: float, in_service: float, queued: float, service_ms: float, max_pause_ms: float
    ) -> float:
        """Record a load report; return the server's load relative to the target, which is 1.

        One attempt each from forty proxies overloads a server: it is paused until the excess is processed.
        """
        # A weight need not be a count of cores. While requests queue, those running show how many it has.
        running = max(1.0, in_service - queued)
        self.cores = running if queued >= 1 else max(self.cores, running)
        per_core = in_service / self.cores
        self.contention, self.contention_at_ms = 1 + max(0.0, per_core - self.in_flight / self.cores), now_ms
        excess_ms = min(max_pause_ms, (per_core - HELD_MOST) * service_ms)
        self.paused_until_ms = max(self.paused_until_ms, now_ms + excess_ms)
        return per_core / HELD_MOST

    def adapt_limit(self, now_ms: float, latency_ms: float, overload_ratio: float, min_limit: float) -> None:
        """Adapt the limit to one answer: grow a little each round, or shrink in proportion to the overload.

        Servers that are sent work faster than they process it slow down, time out and congest. Below a limit
        of one, pause after each answer: one attempt each from many proxies already congests a server.
        """
        self.overload_ratio += GAIN * (overload_ratio - self.overload_ratio)
        if self.overload_ratio > 1:
            self.limit -= min(1.0, self.limit) * (1 - 1 / self.overload_ratio)
        elif self.limit < 1:
            self.limit = min(1.0, 2 * self.limit)
        elif self.in_flight + 1 >= self.limit:
            self.limit += LIMIT_GROWTH / self.limit
        self.limit = max(min_limit, self.limit)
        if self.limit < 1:
            pause_ms = latency_ms * (1 / self.limit - 1)
            self.paused_until_ms = max(self.paused_until_ms, now_ms + pause_ms)

    def mark_restarted(self, now_ms: float) -> None:
        """Treat the server as cold: its process has ended, and discovery has not reported that yet.

        The process that replaces it is cold, and the load of the old one would overload it.
        """
        self.restarted_ms = self.replaced_ms = now_ms
        self.cold_credit, self.cold_credit_at_ms, self.completed_work_rate = 0.0, None, None

    def process_is_listed(self, now_ms: float) -> bool:
        """Whether its address belongs to the listed process, as far as this proxy can tell.

        Another server may have taken the address over, of which discovery tells within `LIST_DELAY_MS`.
        """
        return now_ms - self.replaced_ms > LIST_DELAY_MS

    def warmth(self, now_ms: float, safety: Safety) -> float:
        """Return the fraction of its full capacity that the server has for certain by now."""
        started_ms = self.restarted_ms
        if self.listed.started_ms is not None:
            started_ms = max(started_ms, self.listed.started_ms)
        if started_ms == float("-inf") or safety.cold_ms <= 0:
            return 1.0
        age = max(0.0, now_ms - started_ms) / safety.cold_ms
        return min(1.0, safety.cold_share + (1 - safety.cold_share) * age)


class Membership:
    """The list of servers known from discovery. The cost of a change depends on the servers it names only."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.fleet = FleetState(settings.proxies)
        self.endpoints: dict[str, Endpoint] = {}
        self.rings: ZoneRings[Endpoint] = ZoneRings()  # the ready servers
        self.pooled_means = PooledMeans()  # mean earned worth and slowness of the servers
        self.suspects: Suspects[Endpoint] = Suspects()  # ready servers with enough signals against them
        self.last_endpoint_number = 0
        self.subset_warm_count = 0  # warm servers, full or not, of the last subset

    @property
    def ready(self) -> list[Endpoint]:
        return [e for e in self.endpoints.values() if e.ring_entry is not None]

    def update(self, event: EndpointsListed) -> tuple[int, int]:
        """Apply a list; return how many servers became ready, and how many ready ones no longer are."""
        if event.kind is ListKind.FAILED:
            return 0, 0  # the previous list stays in use
        changed: dict[Endpoint, None] = {}  # changed servers, in order
        if event.kind is not ListKind.DELTA:
            listed = {entry.name for entry in event.endpoints}
            for name in [name for name in self.endpoints if name not in listed]:
                changed[self._remove(name)] = None
        earned, slowness = self.pooled_means.means()
        for entry in event.endpoints:
            endpoint = self.endpoints.get(entry.name)
            if entry.state is EndpointState.GONE:
                if endpoint is not None:
                    changed[self._remove(entry.name)] = None
                continue
            if endpoint is None:
                self.last_endpoint_number += 1
                means, limit = (self.pooled_means, earned, slowness), self.limit_share(entry.weight)
                endpoint = Endpoint(entry, self.last_endpoint_number, self.fleet, means, limit)
                self.endpoints[entry.name] = endpoint
                changed[endpoint] = None
                continue
            old, endpoint.listed = endpoint.listed, entry
            if event.kind is ListKind.DELTA or old.started_ms != entry.started_ms:
                endpoint.restarted_ms = float("-inf")  # discovery now knows the current process
            if old.started_ms != entry.started_ms:  # a new process: the statistics of the old one don't apply
                endpoint.set_values(earned, slowness)
                endpoint.replaced_ms = float("-inf")  # the listed process is the current one
                endpoint.cold_credit, endpoint.cold_credit_at_ms, endpoint.completed_work_rate = (
                    0.0,
                    None,
                    None,
                )
                endpoint.liveness = LivenessTracker(self.fleet)
            elif old.state is entry.state and old.zone == entry.zone and old.weight == entry.weight:
                continue
            changed[endpoint] = None
        return self._apply_changes(changed)

    def _remove(self, name: str) -> Endpoint:
        endpoint = self.endpoints.pop(name)
        endpoint.is_listed = False
        endpoint.set_participation(False, False)
        return endpoint

    def _apply_changes(self, changed: dict[Endpoint, None]) -> tuple[int, int]:
        added, removed = self.rings.change(changed)
        for endpoint in changed:
            endpoint.set_participation(
                endpoint.ring_entry is not None, endpoint.is_listed and endpoint.has_outcomes
            )
            self.suspects.update(
                endpoint, endpoint.ring_entry is not None and endpoint.liveness.has_enough_signals
            )
        self._update_suspect_count()
        if len(changed) > len(self.endpoints):
            self.endpoints = dict(self.endpoints)  # rebuilt to free the memory of a much larger list
        return added, removed

    def update_suspects(self, endpoint: Endpoint) -> None:
        """Update the suspects after a change of the liveness signals of a server."""
        self.suspects.update(
            endpoint, endpoint.ring_entry is not None and endpoint.liveness.has_enough_signals
        )
        self._update_suspect_count()

    def _update_suspect_count(self) -> None:
        self.fleet.suspect_count = len(self.suspects.all)
        self.fleet.all_suspected = 0 < self.rings.count == self.fleet.suspect_count

    def discard_common_timeouts(self, last_response_ms: float) -> None:
        """Clear suspects after the first response since `last_response_ms`, if many timed out meanwhile.

        After a fault of the proxy's own network, the first response would otherwise leave all other servers
        suspected. If many timed out and no server responded meanwhile, the servers were not at fault.
        """
        threshold = max(2.0, SILENCED * self.rings.count)
        timed_out = [
            e for e in self.suspects.take_added() if e.liveness.only_timeouts_since(last_response_ms)
        ]
        if len(timed_out) >= threshold:
            for e in timed_out:
                e.liveness.record_connection()
                self.update_suspects(e)

    def limit_share(self, weight: float) -> float:
        """Return this proxy's share of a server's limit, the lower bound of its own limit there.

        With lower limits, which answers that are slow by chance or by a process pause would cause, all
        proxies together leave cores idle while requests are refused.
        """
        return max(PART_LEAST, PART * weight / self.settings.proxies)

    def subset(self, now_ms: float, size: float, ring_position: float) -> list[Endpoint]:
        """Return the servers with capacity of this proxy's subset, about `size` servers.

        The subset takes servers zone by zone, from `ring_position` (0 to 1) of each zone's ring on. A
        suspected server is replaced by the next one; a full one is not: otherwise in an overload each server
        would be tried by ever more proxies that don't know yet how full it is.
        """
        found: list[Endpoint] = []
        inspections_left, warm_count = LOOK, 0
        for ring, share in self.rings.zones(self.settings.zone, ring_position, LOOK):
            wanted = min(len(ring), ceil(size * share - 1e-9)) if share > 1e-9 else 0
            start, weight, selected, available = int(ring_position * len(ring)), 0.0, 0, []
            for i in range(min(len(ring), wanted + inspections_left) if wanted else 0):
                e = ring[(start + i) % len(ring)]
                if not e.suspected(now_ms):
                    selected += 1
                    warm_count += not e.liveness.signal_bursts and e.warmth(now_ms, self.settings.safety) >= 1
                if e.has_capacity(now_ms):
                    available.append(e)
                    weight += e.weight
                inspections_left -= i >= wanted
                if selected == wanted:
                    break
            for e in available:
                e.draw_weight = share * (e.weight / weight if weight else 1 / len(available))
            found += available
        self.subset_warm_count = warm_count
        return found


class ConcurrencyLimit:
    """Limit of the attempts that this proxy may have in flight to all servers together.

    A limit for each server can't be less than one, and one attempt each from hundreds of proxies congests it.
    This limit is pooled over the servers and may be a fraction: below one, an attempt uses up the time in
    which one attempt is in flight for that fraction of it; `closed_until_ms` is the end of the time used up.
    """

    def __init__(self, settings: Settings) -> None:
        self._proxies = settings.proxies
        self._many_proxies = has_many_proxies_per_server(settings)
        self.limit = 0.0  # until servers are known
        self.initial_limit = self.min_limit = 0.0
        self.in_flight = 0
        self.overload_ratio = 0.0  # until there are answers: the few first attempts can't cause any
        self.closed_until_ms = float("-inf")
        self.limit_reached = False  # whether a request found no capacity since the last attempt ended

    def resize(self, weight: float, count: int = 0) -> None:
        """Adjust the limit to the total weight of the servers.

        If all weights are zero, they say nothing about capacity, and each server counts as one.
        """
        self.initial_limit = FLOW_START * (weight or count) / self._proxies
        self.min_limit = FLOW_LEAST * self.initial_limit
        self.limit = max(self.limit, self.min_limit) if self.limit else self.initial_limit

    def has_capacity(self, now_ms: float) -> bool:
        if not self._many_proxies:
            return True
        available = self.in_flight < max(1.0, self.limit) and now_ms >= self.closed_until_ms
        self.limit_reached = self.limit_reached or not available
        return available

    def record_end(self, now_ms: float, expected_ms: float, overload_ratio: float | None) -> None:
        limit_reached, self.limit_reached = self.limit_reached, False
        self.in_flight -= 1
        if overload_ratio is not None:
            self.overload_ratio += GAIN * (overload_ratio - self.overload_ratio)
            if self.overload_ratio > 1:
                self.limit -= min(1.0, self.limit) * (1 - 1 / self.overload_ratio)
            elif self.limit < self.initial_limit:
                self.limit = min(self.initial_limit, 2 * self.limit)
            elif limit_reached and self.limit < 1:
                self.limit = min(1.0, FLOW_SEEKS * self.limit)
            elif limit_reached:
                self.limit += FLOW_GROWTH * (1 - self.overload_ratio)
            self.limit = max(self.limit, self.min_limit)
        if self.limit < 1:
            # If each attempt were followed by a pause, a proxy with two requests in a row would refuse one,
            # while idle proxies leave their shares unused. Unused time is saved, for a few attempts.
            interval_ms = expected_ms / max(FLOW_FLOOR, self.limit)
            saved_from_ms = now_ms - expected_ms - FLOW_SAVED * interval_ms
            self.closed_until_ms = max(self.closed_until_ms, saved_from_ms) + interval_ms


class Picker:
    """Chooses the better of two servers drawn at random (power of two choices), by score."""

    def __init__(self, random: Random, safety: Safety, many_proxies: bool) -> None:
        self._random = random
        self.safety = safety
        self._many_proxies = many_proxies
        self.mean_contention = 1.0  # mean over recent load reports; used for servers whose last report is old

    def pick(self, now_ms: float, candidates: Sequence[Endpoint]) -> Endpoint | None:
        """Return the better of two different servers drawn by their weights, or the only one."""
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        first = self._draw(now_ms, candidates, None)
        second = self._draw(now_ms, candidates, first)
        return first if self.score(now_ms, first) >= self.score(now_ms, second) else second

    def _draw(self, now_ms: float, candidates: Sequence[Endpoint], excluded: Endpoint | None) -> Endpoint:
        remaining = [e for e in candidates if e is not excluded]
        weights = (
            e.draw_weight * (LINKED_DRAWS if self._many_proxies and self._is_preferred(now_ms, e) else 1)
            for e in remaining
        )
        cumulative = list(accumulate(weights))
        if cumulative[-1] <= 0:
            return remaining[self._random.randrange(len(remaining))]
        return remaining[min(bisect(cumulative, self._random.random() * cumulative[-1]), len(remaining) - 1)]

    def _is_preferred(self, now_ms: float, endpoint: Endpoint) -> bool:
        """Whether a server is cold, or a connection to it is free.

        No proxy has a connection to a cold server yet. With a lower score for that, and for being cold, it
        would idle for seconds while the others are overloaded; its cold credit alone limits its load.
        """
        return endpoint.has_free_connection(now_ms) or endpoint.warmth(now_ms, self.safety) < 1

    def score(self, now_ms: float, endpoint: Endpoint) -> float:
        freshness: float = 0.5 ** ((now_ms - endpoint.contention_at_ms) / CROWD_HALF_MS)
        contention = self.mean_contention + freshness * (endpoint.contention - self.mean_contention)
        if self._many_proxies and not self._is_preferred(now_ms, endpoint):
            contention /= UNLINKED_SCORE
        warmth = 1.0 if self._many_proxies else endpoint.warmth(now_ms, self.safety)
        return endpoint.payoff * warmth / (1 + endpoint.in_flight) / contention


@dataclass(slots=True, eq=False)
class Attempt:
    endpoint: Endpoint
    sent_ms: float
    listed_at_send: ListedEndpoint  # a server moved to another cell since doesn't know the idempotency key
    process_is_listed: bool = True  # at send; otherwise the server may be in another cell or zone
    outcome: Outcome | None = None  # None: in flight
    counts_in_flight: bool = True  # the server has the whole request, and has not begun to answer

    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_RAN


@dataclass(slots=True, eq=False)
class Request:
    id: int
    cls: RequestClass | None
    arrived_ms: float
    deadline_ms: float
    work: float  # expected work, in any unit that is the same for all requests
    value: float  # worth per expected work
    class_latency: ClassLatency | None
    max_attempts: int
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0
    previous_backoff_ms: float = BACKOFF_BASE_MS
    client_retry: bool = False  # marked as a retry by its client
    send_by_for_aim_ms: float = 0.0  # sent by then, it is likely to be answered within its aim
    timer: int | None = None  # token of its one pending timer
    done: bool = False
    streaming: bool = False
    single_attempt: bool = False  # its body is not buffered, and can't be sent again
    complete: bool = True

    def is_retryable(self) -> bool:
        return (
            not self.single_attempt
            and self.cls is not None
            and self.cls.idempotency is not Idempotency.UNSAFE
        )

    def first_possible_run(self) -> Attempt | None:
        return next((a for a in self.attempts if a.may_have_run()), None)

    def deduplication_ends_ms(self) -> float:
        """Return the time from which the servers no longer deduplicate a keyed request that may have run."""
        possible_run = self.first_possible_run()
        if possible_run is None or self.cls is None or self.cls.idempotency is not Idempotency.KEYED:
            return float("inf")
        return possible_run.sent_ms + self.cls.idempotency_window_ms


def has_narrow_scope(cls: RequestClass | None) -> bool:
    """Whether retries that may have run are deduplicated by some of the servers only."""
    return (
        cls is not None
        and cls.idempotency is Idempotency.KEYED
        and cls.idempotency_scope is not IdempotencyScope.ALL
    )


def deduplicates(cls: RequestClass | None, first_server: ListedEndpoint, candidate: ListedEndpoint) -> bool:
    """Whether `candidate` deduplicates retries of a request that may have run on `first_server`."""
    if cls is None or not has_narrow_scope(cls):
        return True
    same_cell = cls.idempotency_scope is IdempotencyScope.ZONE or first_server.cell == candidate.cell
    return first_server.zone == candidate.zone and same_cell


class Balancer:
    """Makes the routing decisions of one client proxy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.budget = RetryBudget()
        self.many_proxies = has_many_proxies_per_server(settings)
        self.membership = Membership(settings)
        self.picker = Picker(self.random, settings.safety, self.many_proxies)
        self.latencies = {cls.name: ClassLatency(cls) for cls in settings.classes}
        self.previous_latencies: dict[str, ClassLatency] = {}  # before the last change of settings
        self.requests: dict[int, Request] = {}
        self.queue: list[tuple[float, int, Request]] = []  # most valuable first; newest first among equals
        self.queue_sequence = 0
        self.timers: dict[int, Callable[[], None]] = {}
        self.last_timer_token = 0
        self.subset_size = 0  # servers in the last subset
        self.subset_warm_count = 0  # warm servers among them
        self.peak_rate = 0.0  # highest recent work rate of a warm server, decaying
        self.peak_rate_at_ms = 0.0
        self.rollout = RolloutDetector()
        self.work_rate = WarmServerRate(RATE_WINDOWS * settings.safety.overload_window_ms)
        self.longest_deadline_ms = max((c.deadline_ms for c in settings.classes), default=DEFAULT_DEADLINE_MS)
        self.arrivals = WorkRate(WINDOW_SPANS * self.longest_deadline_ms)
        number = settings.number
        self.ring_position = self.random.random() if number is None else number / settings.proxies
        self.concurrency_limit = ConcurrencyLimit(settings)
        self.wakeup_ms = 0.0
        self.last_decay_ms = 0.0
        self.failed_calls = 0
        self.last_subscribe_ms = float("-inf")  # start of the last call to discovery
        self.last_served_ms = float("-inf")  # time of the last successful answer
        self.common_failure = False  # several servers failed, and no request has succeeded since
        self.now_ms = float("-inf")
        self.actions: list[Action] = []
        self.started = False

    def handle(self, now_ms: float, events: Sequence[Event]) -> list[Action]:
        """Process the events up to `now_ms`; return the actions to execute now, in this order."""
        if now_ms < self.now_ms:
            raise ValueError(f"time ran backwards: {now_ms} after {self.now_ms}")
        self.now_ms = now_ms
        self.actions = []
        if not self.started:
            self.started, self.last_decay_ms = True, now_ms
            if self.settings.subscribe:  # many proxies that start at once with a list spread their calls
                self._subscribe_soon() if self.many_proxies and events else self._subscribe()
        for event in events:
            match event:
                case AttemptEnded():
                    self._on_attempt_ended(event)
                case RequestArrived():
                    self._on_request(event)
                case TimerFired():
                    self._on_timer(event)
                case EndpointsListed():
                    self._on_list(event)
                case RequestCompleted():
                    self._on_request_completed(event)
                case ConnectionSignalObserved():
                    self._on_connection_signal(event)
                case ClientDisconnected():
                    if event.request_id in self.requests:
                        self._finish(self.requests[event.request_id])
                case StreamStarted():
                    self._on_stream(event)
                case SettingsChanged():
                    self._on_settings(event.settings)
                case ProcessPaused():  # answers that could not be read meanwhile must not count as missing
                    self.membership.fleet.last_pause_ms = now_ms
                case ProbeEnded():
                    pass
                case _:
                    raise ValueError(f"unknown event: {event!r}")
        self._decay_scores()
        self._send_queued()
        return self.actions

    # Discovery

    def _on_list(self, event: EndpointsListed) -> None:
        added, removed = self.membership.update(event)
        self.concurrency_limit.resize(self.membership.rings.weight, self.membership.rings.count)
        if event.kind is not ListKind.FAILED:
            self.membership.fleet.last_discovery_ms = self.now_ms
        if event.kind is not ListKind.RESTORED:
            self._detect_rollout(added, removed)
        if event.kind is ListKind.FAILED:
            if self.failed_calls == 0:
                self.actions.append(Log("discovery lost: subscribing again, the previous list stays in use"))
            self.failed_calls += 1
            self._subscribe_soon()  # a change counts as delivered to a proxy that is not subscribed
        elif self.failed_calls:
            self.failed_calls = 0
            self.actions.append(Log("discovery back"))

    def _detect_rollout(self, added: int, removed: int) -> None:
        before = self.rollout.in_progress(self.now_ms)
        self.rollout.record_changes(self.now_ms, added, removed, self.membership.rings.count)
        if self.rollout.in_progress(self.now_ms) and not before:
            self.actions.append(
                Log("the fleet is being replaced: cold servers are limited by the work they complete")
            )

    # Connection signals and liveness

    def _on_connection_signal(self, event: ConnectionSignalObserved) -> None:
        endpoint = self.membership.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        process_ended = endpoint.liveness.process_ended
        if event.signal is ConnectionSignal.LAST_RESET:
            endpoint.replaced_ms = self.now_ms
        elif event.signal is not ConnectionSignal.ACCEPTED:
            self._record_signal(endpoint, event.signal, self.now_ms)
        elif endpoint.liveness.record_connection():
            self._on_suspicion_cleared(endpoint, process_ended)

    def _update_liveness(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Update the liveness of the server of an attempt that has ended."""
        endpoint, liveness = attempt.endpoint, attempt.endpoint.liveness
        trial = liveness.trial_request_id == request.id
        if trial:
            liveness.trial_request_id = None
        signal, process_ended, previous_response_ms = (
            event.signal,
            liveness.process_ended,
            liveness.fleet.last_response_ms,
        )
        if event.outcome in HEARD:
            if liveness.record_response(self.now_ms):
                self._on_suspicion_cleared(endpoint, process_ended)
            if self.membership.suspects.added:
                self.membership.discard_common_timeouts(previous_response_ms)
        elif event.outcome is Outcome.CONNECT_FAILED or (trial and event.outcome is Outcome.NOT_SENT):
            if signal is None and event.latency_ms >= min(
                TRIAL_MS, self.settings.limits.connect_timeout_ms / 2
            ):
                signal = ConnectionSignal.CONNECT_TIMEOUT
        elif event.outcome is Outcome.TIMEOUT and liveness.last_response_ms <= attempt.sent_ms:
            # A slow server times out, too, but it goes on answering other requests.
            usual_ms = request.class_latency.mean_ms if request.class_latency else DEFAULT_DEADLINE_MS / 4
            if event.latency_ms >= max(SILENCE_SPANS * usual_ms, SILENCE_LEAST_MS):
                signal = ConnectionSignal.UNRESPONSIVE
        if signal is not None:
            self._record_signal(endpoint, signal, attempt.sent_ms)

    def _on_suspicion_cleared(self, endpoint: Endpoint, process_ended: bool) -> None:
        """Handle a server that is no longer suspected; `process_ended`: its process had been seen to end."""
        self.membership.update_suspects(endpoint)
        if process_ended:
            endpoint.mark_restarted(self.now_ms)
            text = f"{endpoint.listed.name} is back, presumably as a new process: treated as cold"
            self.actions.append(Log(text))

    def _record_signal(self, endpoint: Endpoint, signal: ConnectionSignal, sent_ms: float) -> None:
        liveness = endpoint.liveness
        new = liveness.record_signal(signal, sent_ms, self.now_ms, self.random.random())
        if liveness.process_ended:
            endpoint.mark_restarted(self.now_ms)
        if new:
            self.membership.update_suspects(endpoint)
            if liveness.process_ended:
                text = (
                    f"{endpoint.listed.name} {liveness.reason(self.now_ms)}: one request at a time tries it"
                )
                self.actions.append(Log(text))

    def _subscribe_soon(self) -> None:
        # Well within the allowed time, with jitter, so that the proxies don't call discovery all at once.
        max_wait_ms = self.settings.safety.discovery_poll_ms / 2
        # Discovery may be back since the failed call began; its list counts as delivered 6 s after that.
        elapsed_ms = self.now_ms - max(self.last_subscribe_ms, self.membership.fleet.last_discovery_ms)
        wait_ms = reconnect_delay_ms(
            self.failed_calls, self.settings.proxies, max_wait_ms, self.random, elapsed_ms
        )
        self._set_timer(wait_ms, self._subscribe)

    def _subscribe(self) -> None:
        self.last_subscribe_ms = self.now_ms
        self.actions.append(Subscribe())

    def _on_settings(self, new: Settings) -> None:
        old = self.settings
        self.settings = self.membership.settings = settings = replace(
            new,
            zone=old.zone,
            proxies=old.proxies,
            number=old.number,
            subscribe=old.subscribe,
        )
        if settings.classes != old.classes:
            previous = self.previous_latencies = self.latencies
            self.latencies = {
                cls.name: previous[cls.name].with_settings(cls) if cls.name in previous else ClassLatency(cls)
                for cls in settings.classes
            }
        self.picker.safety = settings.safety
        self.work_rate.span_ms = RATE_WINDOWS * settings.safety.overload_window_ms
        self.longest_deadline_ms = max((c.deadline_ms for c in settings.classes), default=DEFAULT_DEADLINE_MS)
        self.arrivals.span_ms = WINDOW_SPANS * self.longest_deadline_ms
        while self._too_many_open() and self._shed_oldest():
            pass

    # Requests

    def _on_request(self, event: RequestArrived) -> None:
        if event.request_id in self.requests:
            raise ValueError(f"request {event.request_id} arrived twice")
        latency = (self.previous_latencies if event.uses_previous_settings else self.latencies).get(
            event.class_name
        )
        cls = latency.cls if latency else None
        work = event.work_hint_ms or (latency.mean_ms if latency else DEFAULT_DEADLINE_MS / 4)
        worth = cls.worth if cls else 0.0
        value = worth if self.settings.worth_by_work else worth / work
        deadline_ms = event.deadline_ms
        if deadline_ms is None:
            deadline_ms = self.now_ms + (cls.deadline_ms if cls else DEFAULT_DEADLINE_MS) - event.waited_ms
        self.arrivals.add(self.now_ms, 1.0)
        max_attempts = self.settings.limits.max_attempts
        arrived_ms = self.now_ms - event.waited_ms
        request = Request(event.request_id, cls, arrived_ms, deadline_ms, work, value, latency, max_attempts)
        request.client_retry, request.single_attempt, request.complete = (
            event.client_retry,
            event.single_attempt,
            event.complete,
        )
        if not event.complete:
            # The client's deadline does not run during the upload; UPLOAD_MS limits the wait.
            request.arrived_ms += UPLOAD_MS
            request.deadline_ms = max(deadline_ms, self.now_ms + UPLOAD_MS) + UPLOAD_MS
        self.requests[request.id] = request
        self._dispatch(request)

    def _on_request_completed(self, event: RequestCompleted) -> None:
        request = self.requests.get(event.request_id)
        if request is None or request.done or request.complete:
            return
        request.complete, request.arrived_ms = True, self.now_ms
        request.deadline_ms = self.now_ms + (request.cls.deadline_ms if request.cls else DEFAULT_DEADLINE_MS)
        if event.deadline_ms is not None:
            request.deadline_ms = event.deadline_ms
        for attempt in request.attempts:
            if attempt.outcome is None:
                self._count_in_flight(attempt)
        if request.timer is not None and not request.attempts_in_flight:  # queued: apply the final deadline
            self._cancel_timer(request)
            self.queue = [entry for entry in self.queue if entry[2] is not request]
            self._dispatch(request)

    def _dispatch(self, request: Request) -> None:
        """Send the next attempt of a request now, or queue it until a server has capacity."""
        if self._useful_until_ms(request) <= self.now_ms:
            self._give_up(request, GiveUpReason.TOO_LATE)
        elif (
            not self._send_trial_if_due(request)
            and self._try_send(request, self._servers_with_capacity()) is None
        ):
            self._enqueue(request)

    def _send_trial_if_due(self, request: Request) -> bool:
        """Send the first attempt to a suspected server as a trial, if one is due; return whether it was sent.

        Suspected servers are not drawn, so that without trials they would never respond again. One request at
        a time tries each, on a new connection, which succeeds or fails within a round trip. The trial may
        fail, so the request must be retryable and have enough time left for an attempt elsewhere.
        """
        if not self.membership.fleet.suspect_count or request.attempts or not request.is_retryable():
            return False
        usual_ms = request.class_latency.mean_ms if request.class_latency else DEFAULT_DEADLINE_MS / 4
        trial_cost_ms = TRIAL_MS + BACKOFF_BASE_MS + DEADLINE_MARGIN_MS
        if (
            self._useful_until_ms(request) - self.now_ms < trial_cost_ms + 2 * usual_ms
            or request.max_attempts < 2
        ):
            return False
        if self.budget.tokens < TRIAL_TOKENS / RETRY_RATIO:
            return False
        due = (e for e in self.membership.suspects.sample(LOOK) if e.liveness.trial_due(self.now_ms))
        endpoint = next((e for e in due if self._may_send(request, e, trial=True)), None)
        if endpoint is None:
            return False
        endpoint.liveness.trial_request_id = request.id
        self._send(request, endpoint, new_connection=True)
        return True

    def _servers_with_capacity(self) -> list[Endpoint]:
        if not self.concurrency_limit.has_capacity(self.now_ms):
            return []
        subset = self.membership.subset(self.now_ms, self._target_subset_size(), self.ring_position)
        subset = subset or self._sample_all_servers()
        self.subset_size = len(subset)
        self.subset_warm_count = sum(e.warmth(self.now_ms, self.settings.safety) >= 1 for e in subset)
        return subset

    def _sample_all_servers(self) -> list[Endpoint]:
        rings = self.membership.rings
        found = [e for e in rings.sample(self.ring_position, LOOK) if e.has_capacity(self.now_ms)]
        if not found:  # those with capacity may be among the servers not inspected
            rings.rotate(LOOK)
        return found

    def _target_subset_size(self) -> float:
        count = self.membership.rings.count
        reached = self.arrivals.per_ms(self.now_ms) * WINDOW_SPANS * self.longest_deadline_ms
        size = max(WINDOW_LEAST, COVER * count / self.settings.proxies, reached)
        return min(size, LOOK) if count > LOOK else size

    def _try_send(self, request: Request, available: list[Endpoint]) -> Endpoint | None:
        """Send to one of the servers with capacity, if the request may go to any; return that server."""
        allowed = [e for e in available if self._may_send(request, e)]
        if not allowed and available:  # all of the subset are cold, or don't deduplicate this retry
            allowed = [e for e in self._sample_all_servers() if self._may_send(request, e)]
        tried = [a.endpoint for a in request.attempts]
        # A retry goes to another server, or back to one where it failed if there is no other.
        allowed = [e for e in allowed if e not in tried] or allowed
        endpoint = self.picker.pick(self.now_ms, allowed)
        if endpoint is not None:
            self._send(request, endpoint)
        return endpoint

    def _enqueue(self, request: Request) -> None:
        """Queue a request here, most valuable first, until it could no longer be served in time.

        Sent to full servers, requests would queue there until they are late, and congest them.
        """
        usual_ms = request.class_latency.mean_ms if request.class_latency else DEFAULT_DEADLINE_MS / 4
        wait_ms = self._useful_until_ms(request) - usual_ms - self.now_ms
        if wait_ms <= 0:
            self._give_up_queued(request)
            return
        # A client's retry has most likely missed its aim already, in the first try.
        aim_ms = self._aim_ms(request.cls, request) if request.cls and not request.client_retry else 0.0
        request.send_by_for_aim_ms = request.arrived_ms + aim_ms - usual_ms
        if self.many_proxies and request.send_by_for_aim_ms > self.now_ms:
            wait_ms = min(wait_ms, request.send_by_for_aim_ms - self.now_ms)
        self.queue_sequence += 1
        insort(self.queue, (-request.value, -self.queue_sequence, request))
        request.timer = self._set_timer(
            wait_ms, lambda: self._run_request_timer(request, self._give_up_queued)
        )
        if self._too_many_open():
            self._shed_oldest()

    def _too_many_open(self) -> bool:
        max_open = self.settings.limits.max_open
        return max_open > 0 and len(self.requests) > FULL_SHARE * max_open

    def _shed_oldest(self) -> bool:
        """Give up the oldest queued request; return False if none is queued.

        Each queued request uses a connection of its client. With none left, further requests could not even
        be refused. The request that has waited longest is the least likely to be served.
        """
        waiting = [entry for entry in self.queue if not entry[2].done and entry[2].timer is not None]
        if waiting:
            oldest = min(waiting, key=lambda entry: (entry[2].arrived_ms, entry[2].id))[2]
            self._give_up(oldest, GiveUpReason.CROWDED)
        return bool(waiting)

    def _send_queued(self) -> None:
        """Send queued requests, in one pass; a long queue costs little when few servers have capacity."""
        available = self._servers_with_capacity() if self.queue else []
        if not available and self.queue and self.many_proxies:
            # Without a timer, the end of a pause would go unnoticed if no other event occurs for long.
            ends_ms = (e.paused_until_ms for e in self.membership.rings.sample(self.ring_position, LOOK))
            pauses = (ms for ms in ends_ms if ms > self.now_ms)
            wakeup_ms = max(self.concurrency_limit.closed_until_ms, min(pauses, default=0.0))
            if self.now_ms < wakeup_ms != self.wakeup_ms:
                self.wakeup_ms = wakeup_ms
                self._set_timer(wakeup_ms - self.now_ms, lambda: None)
        if not available:
            return
        remaining: list[tuple[float, int, Request]] = []
        # In an overload, serving the longest waiting first would make them late, and the next ones, too.
        late = [entry for entry in self.queue if self.now_ms > entry[2].send_by_for_aim_ms]
        on_time = [entry for entry in self.queue if self.now_ms <= entry[2].send_by_for_aim_ms]
        full = False  # no server has capacity for a request that may go anywhere
        for entry in on_time + late:
            request = entry[2]
            if request.done or request.timer is None:
                continue
            anywhere = not request.attempts
            endpoint = None if not available or (full and anywhere) else self._try_send(request, available)
            if endpoint is None:
                full = full or anywhere
                remaining.append(entry)
            elif not self.concurrency_limit.has_capacity(self.now_ms):
                available = []
            elif endpoint in available and not endpoint.has_capacity(self.now_ms):
                available.remove(endpoint)
        remaining.sort(key=lambda entry: entry[:2])
        self.queue = remaining

    def _useful_until_ms(self, request: Request) -> float:
        """Return the time from which an answer is worthless; later work would only load full servers."""
        cls = request.cls
        if cls is None or cls.late_worth or cls.streamed:
            return request.deadline_ms
        return min(request.deadline_ms, request.arrived_ms + self._aim_ms(cls, request))

    @staticmethod
    def _aim_ms(cls: RequestClass, request: Request) -> float:
        return min(cls.deadline_ms, cls.aim_ms + cls.aim_stretch * request.work)

    def _may_send(self, request: Request, endpoint: Endpoint, trial: bool = False) -> bool:
        """Whether this request may be sent to this endpoint now. Checked before every send."""
        limits = self.settings.limits
        if request.done or request.streaming or len(request.attempts) >= request.max_attempts:
            return False
        if request.attempts_in_flight and not limits.parallel_attempts:
            return False
        # No new work on a server that is draining or removed.
        if not endpoint.usable:
            return False
        # A request that may have run must not take effect twice.
        possible_run = request.first_possible_run() if request.attempts else None
        if possible_run is not None:
            if not request.is_retryable() or self.now_ms >= request.deduplication_ends_ms():
                return False
            if not deduplicates(request.cls, possible_run.listed_at_send, endpoint.listed):
                return False
            if has_narrow_scope(request.cls) and not (
                possible_run.process_is_listed and endpoint.process_is_listed(self.now_ms)
            ):
                return False
        # A single trial can't overload a server, unless many proxies send one at the same time.
        return self._within_cold_limit(request, endpoint) or (trial and not self.many_proxies)

    def _within_cold_limit(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether a cold server's credit allows the request; a warm server needs none.

        A server that has just started fails under the load of a warm one, and does not recover.
        """
        safety = self.settings.safety
        warmth = endpoint.warmth(self.now_ms, safety)
        if warmth >= 1:
            return True
        # The work rate of a warm server from here is this proxy's share of a server's capacity; the other
        # proxies keep to their shares in the same way. The credit is limited to half an overload window, to
        # prevent bursts. It starts at a random fraction of one request: if full, the first requests of all
        # proxies would add up to an overload; if empty, a server that few proxies use would get nothing
        # until it is warm.
        expected = COLD_MARGIN * safety.overload_multiple * warmth * self._warm_server_rate()
        completed = endpoint.completed_work_rate.per_ms(self.now_ms) if endpoint.completed_work_rate else 0.0
        rate = cold_rate(expected, completed, safety.overload_multiple)
        if endpoint.cold_credit_at_ms is None:
            endpoint.cold_credit, endpoint.cold_credit_at_ms = (
                self.random.random() * request.work,
                self.now_ms,
            )
        max_credit = max(rate * safety.overload_window_ms / 2, request.work)
        earned = rate * (self.now_ms - endpoint.cold_credit_at_ms)
        endpoint.cold_credit = min(max_credit, endpoint.cold_credit + earned)
        endpoint.cold_credit_at_ms = self.now_ms
        return endpoint.cold_credit >= request.work

    def _warm_server_rate(self) -> float:
        """Return the work per millisecond that a warm server gets from here, or recently got.

        During congestion warm servers are sent little, and by that measure the cold ones, which could end it,
        would get nothing. So the highest recent rate counts, decaying over the time that a server takes to
        warm up. If no server is or was warm, the servers are assumed to be sized for all that arrives.
        """
        rate = self.work_rate.per_ms(self.now_ms)
        if not rate and not self.peak_rate:
            mean = sum(latency.mean_ms for latency in self.latencies.values()) / max(1, len(self.latencies))
            return self.arrivals.per_ms(self.now_ms) * mean / max(1, self.subset_size)
        remaining_fraction = 1 - (self.now_ms - self.peak_rate_at_ms) / max(1.0, self.settings.safety.cold_ms)
        if not self.subset_warm_count or self.rollout.in_progress(self.now_ms):
            remaining_fraction = 1.0  # a decay while no warm server updates the rate would cause refusals
        self.peak_rate, self.peak_rate_at_ms = (
            max(rate, self.peak_rate * max(0.0, remaining_fraction)),
            self.now_ms,
        )
        return self.peak_rate

    def _send(self, request: Request, endpoint: Endpoint, new_connection: bool = False) -> None:
        safety = self.settings.safety
        if endpoint.warmth(self.now_ms, safety) < 1:
            endpoint.cold_credit -= request.work
        else:
            self.work_rate.sent(
                self.now_ms, request.work, self.subset_warm_count, self.membership.subset_warm_count
            )
        self._cancel_timer(request)
        # A retry whose connection comes up late must not go out after its idempotency window.
        connect_within_ms = min(
            request.deduplication_ends_ms() - self.now_ms, TRIAL_MS if new_connection else float("inf")
        )
        attempt = Attempt(
            endpoint,
            self.now_ms,
            endpoint.listed,
            endpoint.process_is_listed(self.now_ms),
            counts_in_flight=False,
        )
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if request.complete:
            self._count_in_flight(attempt)
        self.concurrency_limit.in_flight += 1
        timeout_ms = self._useful_until_ms(request) - self.now_ms
        self.actions.append(
            Send(request.id, endpoint.listed.name, timeout_ms, connect_within_ms, new_connection)
        )

    def _count_in_flight(self, attempt: Attempt) -> None:
        """Count an attempt as in flight: the server has the whole request."""
        endpoint = attempt.endpoint
        if not endpoint.in_flight:
            endpoint.waiting_since_ms = self.now_ms
        connections = (
            endpoint.recent_connections if self.now_ms - endpoint.last_response_ms < LINKED_MS else 0
        )
        endpoint.in_flight += 1
        endpoint.recent_connections = max(connections, endpoint.in_flight)
        attempt.counts_in_flight = True

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        attempt.endpoint.in_flight -= attempt.counts_in_flight
        request.attempts_in_flight -= 1
        self._update_liveness(request, attempt, event)
        load = self._apply_load_report(attempt.endpoint, event.report)
        self._update_estimates(request, attempt, event, load)
        if event.answered:
            self._finish(request)
        elif request.done:
            self._remove_if_finished(request)
        elif not request.attempts_in_flight and not request.streaming:
            self._retry(request)

    def _slowness_target(self) -> float:
        """Return the lowest slowness target of the classes, as a server slows down for all of them alike."""
        targets = [latency.slowness_target() for latency in self.latencies.values() if latency.count]
        return min(targets, default=SLOWNESS_LEAST)

    def _apply_load_report(self, endpoint: Endpoint, report: tuple[float, ...] | None) -> float:
        """Record the load report of an answer; return the server's load relative to its target, or 0.

        One of many proxies can't see the load of a server from its own few attempts.
        """
        if not self.many_proxies or report is None:
            return 0.0
        fields = dict(zip(self.settings.report_fields, report, strict=False))
        if "inflight" not in fields:  # queues for busy cores show in latencies too late
            return fields.get("util", 0.0) / UTIL_MOST
        service_ms, max_pause_ms = fields.get("latency_ms", endpoint.latency_ms), self.longest_deadline_ms / 2
        in_service, queued = fields["inflight"], fields.get("queue", 0.0)
        load = endpoint.record_load_report(self.now_ms, in_service, queued, service_ms, max_pause_ms)
        self.picker.mean_contention += GAIN / 2 * (endpoint.contention - self.picker.mean_contention)
        return load

    def _reported_slowness(self, report: tuple[float, ...] | None) -> float:
        """Return the slowdown by queueing that a server reports; 1 if unknown.

        A proxy that starts during an overload takes the latencies it sees for those of unloaded servers.
        """
        fields = self.settings.report_fields
        if report is None or "inflight" not in fields or "queue" not in fields:
            return 1.0
        in_service, queued = report[fields.index("inflight")], report[fields.index("queue")]
        return in_service / max(1.0, in_service - queued) if queued > 0 else 1.0

    def _update_estimates(self, request: Request, attempt: Attempt, event: AttemptEnded, load: float) -> None:
        outcome, cls, latency_ms = attempt.outcome, request.cls, event.latency_ms
        if outcome is Outcome.REJECTED and attempt.endpoint.warmth(self.now_ms, self.settings.safety) >= 1:
            self.work_rate.rejected(self.now_ms, request.work, self.membership.subset_warm_count)
        if outcome is Outcome.OK:
            self.budget.earn()
            self.last_served_ms, self.common_failure = self.now_ms, False
        latency = request.class_latency
        if outcome in NO_EVIDENCE or event.latency_unreliable or cls is None or latency is None:
            self.concurrency_limit.record_end(self.now_ms, latency_ms, None)
            return
        good_ms = latency.good_latency_ms()
        overload = max(load, latency_ms / good_ms)
        self.concurrency_limit.record_end(
            self.now_ms, latency.unloaded_ms, overload if outcome in (*WORKED, Outcome.TIMEOUT) else None
        )
        if outcome is Outcome.OK:
            slowness = latency.slowness(latency_ms)
            latency.add(latency_ms)
            within_aim = latency_ms <= self._aim_ms(cls, request)
            attempt.endpoint.record_outcome(1.0 if within_aim else cls.late_worth, slowness)
        else:
            # A failure never counts as faster than usual, or a server that fails fast would look quick.
            attempt.endpoint.record_outcome(0.0, max(1.0, latency.slowness(latency_ms)))
        if outcome in WORKED:
            attempt.endpoint.record_answer(self.now_ms, latency_ms)
            self._record_cold_work(attempt.endpoint, request.work)
        if outcome in (*WORKED, Outcome.TIMEOUT):
            slowness_ratio = (
                max(latency.slowness(latency_ms), self._reported_slowness(event.report))
                / self._slowness_target()
            )
            min_limit = (
                LIMIT_LEAST if self.many_proxies else self.membership.limit_share(attempt.endpoint.weight)
            )
            attempt.endpoint.adapt_limit(
                self.now_ms, min(latency_ms, good_ms), max(load, slowness_ratio), min_limit
            )
        else:
            max_pause_ms = self.longest_deadline_ms / 2
            attempt.endpoint.record_failure(self.now_ms, latency.unloaded_ms, max_pause_ms, outcome in BROKEN)

    def _record_cold_work(self, endpoint: Endpoint, work: float) -> None:
        """Record work that a cold server has completed."""
        safety = self.settings.safety
        if endpoint.warmth(self.now_ms, safety) >= 1:
            return
        endpoint.completed_work_rate = endpoint.completed_work_rate or CompletedWorkRate(
            SHOWN_SPAN * safety.overload_window_ms
        )
        endpoint.completed_work_rate.add(self.now_ms, work)

    def _on_stream(self, event: StreamStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is not None and not request.done:
            request.streaming = True  # the answer is passed through to the client; no deadline applies
            self._cancel_timer(request)
            attempt = request.attempts[event.attempt] if event.attempt < len(request.attempts) else None
            if attempt is not None and attempt.counts_in_flight and request.cls and not request.cls.streamed:
                # Otherwise a client that reads slowly would make its server look busy, then unresponsive.
                attempt.endpoint.in_flight -= 1
                attempt.counts_in_flight = False
                attempt.endpoint.record_answer(self.now_ms, event.latency_ms)

    def _retry(self, request: Request) -> None:
        if len(request.attempts) >= request.max_attempts:
            self._give_up(request, GiveUpReason.ATTEMPTS)
        elif not request.is_retryable():
            self._give_up(
                request,
                GiveUpReason.MAY_HAVE_RUN if request.first_possible_run() else GiveUpReason.ONE_ATTEMPT,
            )
        elif (reason := self._schedule_retry(request)) is not None:
            self._give_up(request, reason)

    def _schedule_retry(self, request: Request) -> GiveUpReason | None:
        """Take the tokens and schedule a retry after a jittered backoff, or return the reason not to."""
        # The full token buckets of thousands of proxies with little traffic add up to a surge of retries. A
        # request that fails on two servers, with no success since, is not the fault of a single server.
        several_servers = len({a.endpoint for a in request.attempts}) > 1
        self.common_failure = self.common_failure or (
            several_servers and self.last_served_ms < request.attempts[0].sent_ms
        )
        if self.many_proxies and self.common_failure:
            return GiveUpReason.COMMON
        backoff = backoff_ms(request.previous_backoff_ms, self.random)
        delay_ms = min(backoff, self._useful_until_ms(request) - self.now_ms - DEADLINE_MARGIN_MS)
        if delay_ms <= 0 or self.now_ms + delay_ms >= request.deduplication_ends_ms():
            return GiveUpReason.NO_TIME
        if not self.budget.spend():
            return GiveUpReason.NO_TOKENS
        request.previous_backoff_ms = backoff
        request.timer = self._set_timer(delay_ms, lambda: self._run_request_timer(request, self._dispatch))
        return None

    def _run_request_timer(self, request: Request, callback: Callable[[Request], None]) -> None:
        request.timer = None
        callback(request)

    def _give_up_queued(self, request: Request) -> None:
        self._give_up(
            request, GiveUpReason.NO_ROOM if self.membership.rings.count else GiveUpReason.NO_SERVER
        )

    def _give_up(self, request: Request, reason: GiveUpReason) -> None:
        """End a request: with Refuse if no attempt ran, which makes a client retry safe, else with Fail."""
        if request.first_possible_run() is None:
            self.actions.append(Refuse(request.id, retry_after_ms(self.settings), reason))
        else:
            self.actions.append(Fail(request.id, reason))
        self._finish(request)

    def _finish(self, request: Request) -> None:
        request.done = True
        self._cancel_timer(request)
        self._remove_if_finished(request)

    def _remove_if_finished(self, request: Request) -> None:
        if not request.attempts_in_flight:
            self.requests.pop(request.id, None)

    # Timers and decay

    def _set_timer(self, delay_ms: float, callback: Callable[[], None]) -> int:
        self.last_timer_token += 1
        self.timers[self.last_timer_token] = callback
        self.actions.append(SetTimer(delay_ms, self.last_timer_token))
        return self.last_timer_token

    def _cancel_timer(self, request: Request) -> None:
        """Forget the timer of a request. The proxy can't cancel timers; it is ignored when it fires."""
        if request.timer is not None:
            del self.timers[request.timer]
            request.timer = None

    def _on_timer(self, event: TimerFired) -> None:
        callback = self.timers.pop(event.token, None)
        if callback is not None:
            callback()

    def _decay_scores(self) -> None:
        """Let scores decay to the mean over four times the longest deadline; by then they are out of date.

        A server with a bad score is never drawn, so without decay it could never show that it has recovered.
        """
        fraction = (self.now_ms - self.last_decay_ms) / (4 * self.longest_deadline_ms)
        if fraction < 0.01:
            return
        self.last_decay_ms = self.now_ms
        self.membership.pooled_means.drift(min(1.0, fraction))
