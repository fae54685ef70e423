"""All decisions of cloverrouter. The types it speaks stand in ``interface.py``; read that first.

One `Balancer` serves one client proxy. It has no clock, socket or thread: the proxy calls
`Balancer.handle` with the time and what happened, and carries out the actions it gets back.

The ordinary path of a request: two ready endpoints are drawn and the one with the higher
payoff / (1 + own in flight) gets the attempt; a failed attempt is repeated elsewhere after a
decorrelated-jitter wait, inside the request's absolute deadline, if the retry budget, which
served answers refill, has the tokens. Departures from it are named where they stand.
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
    EndpointsListed,
    EndpointState,
    Event,
    Fail,
    Idempotency,
    ListedEndpoint,
    ListKind,
    Log,
    Outcome,
    ProbeEnded,
    Refuse,
    RepeatScope,
    RequestArrived,
    RequestClass,
    RequestGone,
    RequestWhole,
    Safety,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    Sign,
    SignSeen,
    Stood,
    StreamStarted,
    Subscribe,
    TimerFired,
    Why,
)
from cloverrouter.membership.decay import Decaying, Pool, WarmRate, WorkRate
from cloverrouter.membership.evidence import Evidence, Fleet, Suspects
from cloverrouter.membership.releases import SHOWN_SPAN, Release, Shown, cold_rate
from cloverrouter.membership.rings import Rings, ring_key
from cloverrouter.membership.watching import reconnect_ms
from cloverrouter.values import replace

# The paper's own figures.
BUDGET_CAPACITY = 100.0
RETRY_RATIO = 0.1  # retries add at most this share of the served answers
BACKOFF_BASE_MS = 100.0
BACKOFF_CAP_MS = 30_000.0
DEADLINE_MARGIN_MS = 50.0  # a retry closer than this to the deadline is expensive failure

# Ours. Smoothing of what a server is seen to do: about the last ten answers count.
GAIN = 0.2
# A cold server is sent this part of the push it must not exceed, by the estimate of its capacity: with
# the usual multiple of three just its warm share of what the others get. The rest is for machines
# slower than their fleet's mean, and for bursts.
COLD_MARGIN = 1 / 3
RATE_WINDOWS = 4  # push windows over which what the others get is smoothed
# A server's answers may be slower than unhurried ones by this part of the room that the slow among
# those leave up to the aim, and by these factors at least and at most.
SLOWNESS_ROOM = 0.5
SLOWNESS_LEAST, SLOWNESS_MOST = 1.25, 3.0
# A server that owes answers gives none for a time that this many mean gaps between them fit in once
# in e**5 times by chance.
SILENT_GAPS = 5.0
# Growth of a limit for each round of answers: by the time slowness shows, a surge has had some rounds.
LIMIT_GROWTH = 0.25
LIMIT_LEAST = 0.1  # of the time, then, one attempt is out there
# Own in flight allowed on a server that nothing is known of (many proxies may start at once), and on a slow
# one: a proxy's part of what keeps a server busy, which is one attempt for each unit of its weight, or core,
# and half as many on their way; but one at least.
PART = 1.5
PART_LEAST = 1.0
BASE_WINDOW = 25  # answers in one sample of a class's unhurried latency
# All attempts out together: what a proxy starts with is its part of this many for each unit of weight of
# the servers, about what keeps a core busy; it never falls under this part of that.
FLOW_START = 3.0
FLOW_LEAST = 0.1
FLOW_FLOOR = 0.001  # a pause is counted by no smaller limit
# It is a guess at a part of the fleet that others may not use: from one on each answer adds up to so much of
# an attempt, less as strain nears one; below one it is sought in large steps. What a few need may be saved.
FLOW_GROWTH, FLOW_SEEKS, FLOW_SAVED = 0.5, 1.5, 3.0
# A crowd's servers should hold so many requests for each that they can work on at once, as they report: more
# only wait there; where they don't report that, so much of their cores' time should be used: on average as
# many are held then. What a report said of others' load counts half as much after so long.
HELD_MOST, UTIL_MOST = 1.5, 0.8
CROWD_HALF_MS = 1500.0
# A proxy keeps to a window of the servers: of as many as give each this many proxies on average, enough
# for their unequal traffic to even out; but not under the least, for two draws to mean something; and as
# many as it meets each at least once in this many longest deadlines.
COVER = 12.0
WINDOW_LEAST = 3.0
WINDOW_SPANS = 0.5
# No more servers are looked at for a request than so many of a zone beyond those it wants, or of all.
LOOK = 256
# From this part of the requests that clients can have open on, those held are let go, the oldest first.
FULL_SHARE = 0.85
# A request whose body still comes may wait for a server so long.
UPLOAD_MS = 10_000.0
# A time-out speaks against its server's being there if it had this multiple of the usual time, and so long.
SILENCE_SPANS, SILENCE_LEAST_MS = 2.0, 100.0
SILENCED = 1 / 3  # of the servers: if so many fell silent with all others, the network did
# A trial's connection is up within so long, many round trips, or nobody is there: what is left of the
# request's time is needed for the way elsewhere.
TRIAL_MS = 100.0
TRIAL_TOKENS = 3  # retries that the budget must have left for a trial: it may cost one
# Of many proxies a server can't keep a connection each, and a new one costs it a part of a request's work. A
# server that has one free, by its last answers here, is drawn so much more readily, and what others score is
# taken for so much less; after so long without an answer it has closed them.
LINKED_DRAWS, UNLINKED_SCORE, LINKED_MS = 6.0, 0.6, 8_000.0
# Of a class nothing is known of, when the request does not say either.
DEFAULT_DEADLINE_MS = 1000.0

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
# The server has done the work: how fast tells what it can take, whatever the answer was worth. Danger:
# answers come spoilt from all servers alike, and a pause for each would leave out the whole fleet.
WORKED = (Outcome.OK, Outcome.SPOILT)
HEARD = (Outcome.OK, Outcome.SPOILT, Outcome.ERROR, Outcome.REJECTED)  # an answer came, whatever it said
BROKEN = (Outcome.RESET, Outcome.CONNECT_FAILED)  # the connection's fate, which may be the network's doing
NO_EVIDENCE = (Outcome.CANCELLED, Outcome.NOT_SENT)  # our own doing: says nothing about the server


def crowded(settings: Settings) -> bool:
    """Do more proxies send to each server than can have an attempt each out there at all times?

    Up to then what each server answers tells a proxy enough, and limits for each server bound the sum.
    Past it the exceptions for crowds act: the pooled limit, limits of less than one, what reports tell.
    """
    return settings.proxies > COVER


class RetryBudget:
    """The paper's token bucket: served answers earn, retries spend."""

    def __init__(self) -> None:
        self.tokens = BUDGET_CAPACITY

    def earn(self) -> None:
        self.tokens = min(BUDGET_CAPACITY, self.tokens + 1)

    def spend(self) -> bool:
        """Pay for one retry; False, and nothing spent, if the tokens do not reach."""
        cost = 1 / RETRY_RATIO
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


def backoff_ms(previous_ms: float, random: Random) -> float:
    """Decorrelated jitter: each wait is drawn from the one before, not from the attempt number."""
    return min(BACKOFF_CAP_MS, BACKOFF_BASE_MS + random.random() * (previous_ms * 3 - BACKOFF_BASE_MS))


def retry_after_ms(settings: Settings) -> float:
    """When a refused client should come back: the paper's first wait, for clients of sites that pass it on; 0
    elsewhere. Turned away at once, they are back at once, and the same overload turns them away again."""
    limits = settings.limits
    return min(BACKOFF_BASE_MS, limits.max_retry_after_ms) if limits.retry_after else 0.0


class ClassLatency:
    """What a request class takes, whichever server answers: now, and when servers are unhurried."""

    def __init__(self, cls: RequestClass) -> None:
        self.cls = cls
        self.mean_ms = cls.aim_ms / 4  # until seen
        self.base_ms = cls.aim_ms / 4  # until a window is full, the running mean stands in
        self.slow_ratio = 2.0  # what the slow among unhurried answers take, as a multiple of base_ms
        self.seen = 0
        self._window: list[float] = []

    def renewed(self, cls: RequestClass) -> ClassLatency:
        """The same class under new settings: what was learned of its requests still holds."""
        new = ClassLatency(cls)
        new.mean_ms, new.base_ms, new.seen = self.mean_ms, self.base_ms, self.seen
        new.slow_ratio = self.slow_ratio
        return new if self.seen else ClassLatency(cls)

    def add(self, latency_ms: float) -> None:
        self.seen += 1
        self.mean_ms += max(1 / self.seen, GAIN / 10) * (latency_ms - self.mean_ms)
        self.mean_ms = max(self.mean_ms, 0.01)
        if self.seen <= BASE_WINDOW:
            self.base_ms = self.mean_ms
        self._window.append(latency_ms)
        if len(self._window) == BASE_WINDOW:
            # The lowest window mean, each raised by its standard error: the lowest of many noisy
            # means would lie far under the truth and throttle healthy servers.
            mean = sum(self._window) / BASE_WINDOW
            variance = sum((x - mean) ** 2 for x in self._window) / BASE_WINDOW
            self.base_ms = max(0.01, min(self.base_ms * 1.002, mean + (variance / BASE_WINDOW) ** 0.5))
            slow = sorted(self._window)[-2] / mean  # about the 95th percentile
            self.slow_ratio += GAIN * (max(1.0, slow) - self.slow_ratio)
            self._window.clear()

    def slowness(self, latency_ms: float) -> float:
        """Relative to what the class takes unhurried."""
        return latency_ms / self.base_ms

    def in_good_time_ms(self) -> float:
        """Half-way between what the class takes unhurried and its aim: later, the aim is in danger."""
        return (self.base_ms + max(self.base_ms, self.cls.aim_ms)) / 2

    def target(self) -> float:
        """The slowness up to which this class lets servers be fed."""
        room = self.cls.aim_ms / (self.base_ms * self.slow_ratio) - 1
        return min(SLOWNESS_MOST, max(SLOWNESS_LEAST, 1 + SLOWNESS_ROOM * room))


class Endpoint(Decaying):
    """One server as this proxy has come to know it."""

    def __init__(
        self,
        listed: ListedEndpoint,
        number: int,
        fleet: Fleet,
        values: tuple[Pool, float, float],
        limit: float,
    ) -> None:
        super().__init__(*values)
        self.listed, self.number = listed, number  # `number`: by the order in which they became known
        self.key = ring_key(listed.name)
        self.known = True  # as long as it is listed
        self.placed: ListedEndpoint | None = None  # as what it stands among the ready ones
        self.evidence = Evidence(fleet)
        self.restarted_ms = float("-inf")  # when it must have, though nobody has told of it yet
        self.strain = 1.0  # smoothed; above 1 it is fed more than it should be
        self.in_flight = 0
        self.limit = limit  # own in flight it may hold
        self.latency_ms = 0.0  # smoothed, over all classes
        self.waiting_since_ms = 0.0  # since then it owes answers and has given none
        self.failures = 0  # in a row, a burst of them counted once
        self.paused_until_ms = 0.0
        self.judged = False  # has an outcome said something about it?
        self.cold_credit = 0.0  # work that it may be sent while cold
        self.cold_credit_ms: float | None = None  # when that was reckoned
        self.shown: Shown | None = None  # the work it does, while it is cold
        self.share = 1.0  # how readily it is drawn
        self.crowd = 1.0  # by its last report, how much slower what others have there makes it
        self.crowd_ms = float("-inf")
        self.cores = max(1.0, listed.weight)  # until its reports tell
        self.links, self.linked_ms = 0, float("-inf")  # own attempts out at once of late; its last answer

    @property
    def weight(self) -> float:
        return max(0.0, self.listed.weight)

    @property
    def usable(self) -> bool:
        return self.known and self.listed.state is EndpointState.READY

    @property
    def payoff(self) -> float:
        earned, slowness = self.values()
        return earned / slowness

    def has_room(self, now_ms: float) -> bool:
        return (
            self.in_flight < max(1.0, self.limit)
            and now_ms >= self.paused_until_ms
            and not self.silent(now_ms)
            and not self.doubted(now_ms)
        )

    def doubted(self, now_ms: float) -> bool:
        return bool(self.evidence.against) and self.evidence.doubted(now_ms)

    def linked(self, now_ms: float) -> bool:
        """Is a connection to it free, as far as attempts tell?"""
        return self.in_flight < self.links and now_ms - self.linked_ms < LINKED_MS

    def silent(self, now_ms: float) -> bool:
        """Danger: a hung or cut-off server swallows work until the first time-out tells. Owed answers
        that stay out for several times the usual gap between answers tell sooner."""
        if not self.in_flight or not self.latency_ms:
            return False
        since_ms = max(self.waiting_since_ms, self.evidence.fleet.stood_ms)
        return now_ms - since_ms > SILENT_GAPS * self.latency_ms / min(self.in_flight, 4)

    def answered(self, now_ms: float, latency_ms: float) -> None:
        self.waiting_since_ms = self.linked_ms = now_ms
        self.failures = 0
        self.latency_ms += (GAIN if self.latency_ms else 1.0) * (latency_ms - self.latency_ms)

    def failed(self, now_ms: float, pause_ms: float, longest_ms: float, broken: bool = False) -> None:
        """Danger: a server that turns work away or fails at once takes in, and spoils, more than its
        share. It gets a pause, doubled each time, and then little to prove itself with."""
        if now_ms >= self.paused_until_ms:
            self.failures += 1
            # Danger: connections break now and then to all servers alike, and a pause for each would leave
            # out the whole fleet. A server that is down breaks the next one, too.
            if broken and self.failures == 1:
                return
            self.paused_until_ms = now_ms + min(longest_ms, pause_ms * 2.0 ** min(self.failures - 1, 16))
            self.limit = max(min(1.0, self.limit), self.limit / 2)

    def judge(self, earned: float, slowness: float) -> None:
        was_earned, was_slowness = self.values()
        self.put(was_earned + GAIN * (earned - was_earned), was_slowness + GAIN * (slowness - was_slowness))
        if not self.judged:
            self.judged = True
            self.settle(self.placed is not None, self.known)

    def told(self, now_ms: float, held: float, waiting: float, service_ms: float, longest_ms: float) -> float:
        """It reported so many requests held, and so long for each: how full it is, 1 being what it should be.
        Danger: one attempt each from forty proxies is a jam. What is over has time to be worked off first."""
        # Danger: a weight need not be a count of cores. While some wait, the others are all it can work on.
        running = max(1.0, held - waiting)
        self.cores = running if waiting >= 1 else max(self.cores, running)
        each = held / self.cores
        self.crowd, self.crowd_ms = 1 + max(0.0, each - self.in_flight / self.cores), now_ms
        over_ms = min(longest_ms, (each - HELD_MOST) * service_ms)
        self.paused_until_ms = max(self.paused_until_ms, now_ms + over_ms)
        return each / HELD_MOST

    def adapt_limit(self, now_ms: float, latency_ms: float, strain: float, least: float) -> None:
        """Danger: servers fed faster than they serve slow down, time out and jam. Grow a little a round
        while answers come in good time, shrink in proportion to their slowness when they do not. Below
        one, pause after each answer: one each from many proxies is a jam already."""
        self.strain += GAIN * (strain - self.strain)
        if self.strain > 1:
            self.limit -= min(1.0, self.limit) * (1 - 1 / self.strain)
        elif self.limit < 1:
            self.limit = min(1.0, 2 * self.limit)
        elif self.in_flight + 1 >= self.limit:
            self.limit += LIMIT_GROWTH / self.limit
        self.limit = max(least, self.limit)
        if self.limit < 1:
            rest_ms = latency_ms * (1 / self.limit - 1)
            self.paused_until_ms = max(self.paused_until_ms, now_ms + rest_ms)

    def restarted(self, now_ms: float) -> None:
        """Danger: its process has ended, and discovery does not know yet. The one that comes up in its place
        is cold, and would be pushed over by what the old one got."""
        self.restarted_ms = now_ms
        self.cold_credit, self.cold_credit_ms, self.shown = 0.0, None, None

    def warmth(self, now_ms: float, safety: Safety) -> float:
        """The share of its full capacity that it surely has by now."""
        started_ms = self.restarted_ms
        if self.listed.started_ms is not None:
            started_ms = max(started_ms, self.listed.started_ms)
        if started_ms == float("-inf") or safety.cold_ms <= 0:
            return 1.0
        age = max(0.0, now_ms - started_ms) / safety.cold_ms
        return min(1.0, safety.cold_share + (1 - safety.cold_share) * age)


class Membership:
    """The list of servers, as far as this proxy has been told. What a change costs goes by what it names."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.fleet = Fleet(settings.proxies)
        self.endpoints: dict[str, Endpoint] = {}
        self.rings: Rings[Endpoint] = Rings()  # the ready ones
        self.pool = Pool()  # what they have earned, and how slow they are
        self.suspects: Suspects[Endpoint] = Suspects()  # the ready ones that enough speaks against
        self.last_number = 0
        self.window_warm = 0  # the warm ones, full or not, of the window last looked at

    @property
    def ready(self) -> list[Endpoint]:
        return [e for e in self.endpoints.values() if e.placed is not None]

    def update(self, event: EndpointsListed) -> tuple[int, int]:
        """How many servers began, and how many that were ready no longer are."""
        if event.kind is ListKind.FAILED:
            return 0, 0  # the old list stands
        touched: dict[Endpoint, None] = {}  # those that something has changed of
        if event.kind is not ListKind.DELTA:
            listed = {entry.name for entry in event.endpoints}
            for name in [name for name in self.endpoints if name not in listed]:
                touched[self._drop(name)] = None
        earned, slowness = self.pool.means()
        for entry in event.endpoints:
            known = self.endpoints.get(entry.name)
            if entry.state is EndpointState.GONE:
                if known is not None:
                    touched[self._drop(entry.name)] = None
                continue
            if known is None:
                self.last_number += 1
                mean, part = (self.pool, earned, slowness), self.part(entry.weight)
                known = Endpoint(entry, self.last_number, self.fleet, mean, part)
                self.endpoints[entry.name] = known
                touched[known] = None
                continue
            old, known.listed = known.listed, entry
            if event.kind is ListKind.DELTA or old.started_ms != entry.started_ms:
                known.restarted_ms = float("-inf")  # who tells of it now knows which process it is
            if old.started_ms != entry.started_ms:  # a new process: the old one's record is void
                known.put(earned, slowness)
                known.cold_credit, known.cold_credit_ms, known.shown = 0.0, None, None
                known.evidence = Evidence(self.fleet)
            elif old.state is entry.state and old.zone == entry.zone and old.weight == entry.weight:
                continue
            touched[known] = None
        return self._settle(touched)

    def _drop(self, name: str) -> Endpoint:
        endpoint = self.endpoints.pop(name)
        endpoint.known = False
        endpoint.settle(False, False)
        return endpoint

    def _settle(self, touched: dict[Endpoint, None]) -> tuple[int, int]:
        began, left = self.rings.change(touched)
        for e in touched:
            e.settle(e.placed is not None, e.known and e.judged)
            self.suspects.note(e, e.placed is not None and e.evidence.stands)
        self._count_doubts()
        if len(touched) > len(self.endpoints):
            self.endpoints = dict(self.endpoints)  # a large list's room is given back
        return began, left

    def weigh(self, endpoint: Endpoint) -> None:
        """Something has changed for or against a server."""
        self.suspects.note(endpoint, endpoint.placed is not None and endpoint.evidence.stands)
        self._count_doubts()

    def _count_doubts(self) -> None:
        self.fleet.doubts = len(self.suspects.all)
        self.fleet.all_doubted = 0 < self.rings.count == self.fleet.doubts

    def excuse(self, heard_ms: float) -> None:
        """Somebody answers, for the first time since `heard_ms`. Danger: after a fault of our own network the
        first to answer would speak against all others: what silenced many at once, and nobody was heard
        meanwhile, was no server's end."""
        most = max(2.0, SILENCED * self.rings.count)
        silenced = [e for e in self.suspects.newest() if e.evidence.silenced_since(heard_ms)]
        if len(silenced) >= most:
            for e in silenced:
                e.evidence.accepted()
                self.weigh(e)

    def part(self, weight: float) -> float:
        """Danger: under it the limits of all proxies together leave cores idle, while requests are refused;
        answers that are slow by chance, or by a pause, are enough to bring them there."""
        return max(PART_LEAST, PART * weight / self.settings.proxies)

    def window(self, now_ms: float, size: float, place: float) -> list[Endpoint]:
        """The servers with room among those this proxy keeps to: about `size` of them, zone by zone, from
        `place` (0 to 1) of each zone's ring on; a doubted one is replaced by the next. Danger: were full ones
        replaced, an overload would have each server met by ever more who do not know yet how full it is."""
        found: list[Endpoint] = []
        spare, warm = LOOK, 0
        for ring, share in self.rings.zones(self.settings.zone, place, LOOK):
            wanted = min(len(ring), ceil(size * share - 1e-9)) if share > 1e-9 else 0
            start, weight, kept, mine = int(place * len(ring)), 0.0, 0, []
            for i in range(min(len(ring), wanted + spare) if wanted else 0):
                e = ring[(start + i) % len(ring)]
                if not e.doubted(now_ms):
                    kept += 1
                    warm += not e.evidence.against and e.warmth(now_ms, self.settings.safety) >= 1
                if e.has_room(now_ms):
                    mine.append(e)
                    weight += e.weight
                spare -= i >= wanted
                if kept == wanted:
                    break
            for e in mine:
                e.share = share * (e.weight / weight if weight else 1 / len(mine))
            found += mine
        self.window_warm = warm
        return found


class Flow:
    """How many attempts this proxy may have out over all servers together.

    Danger: a limit a server can't be less than one, and with hundreds of proxies one each is a jam. This
    limit is pooled over the servers and may be a fraction: below one, an attempt takes up as long as to keep
    one out for that part of the time; `closed_until_ms` is when all that went out has been made up for.
    """

    def __init__(self, settings: Settings) -> None:
        self._proxies = settings.proxies
        self._crowded = crowded(settings)
        self.limit = 0.0  # until servers are known
        self.start = self.least = 0.0
        self.out = 0
        self.strain = 0.0  # as little as the start's few attempts can make, until answers tell
        self.closed_until_ms = float("-inf")
        self.bound = False  # something found no room since the last attempt ended

    def resize(self, weight: float, count: int = 0) -> None:
        """The servers known now weigh this much together. Where all weigh nothing, that tells nothing of what
        they can take: each counts as one."""
        self.start = FLOW_START * (weight or count) / self._proxies
        self.least = FLOW_LEAST * self.start
        self.limit = max(self.limit, self.least) if self.limit else self.start

    def has_room(self, now_ms: float) -> bool:
        if not self._crowded:
            return True
        room = self.out < max(1.0, self.limit) and now_ms >= self.closed_until_ms
        self.bound = self.bound or not room
        return room

    def ended(self, now_ms: float, usual_ms: float, strain: float | None) -> None:
        bound, self.bound = self.bound, False
        self.out -= 1
        if strain is not None:
            self.strain += GAIN * (strain - self.strain)
            if self.strain > 1:
                self.limit -= min(1.0, self.limit) * (1 - 1 / self.strain)
            elif self.limit < self.start:
                self.limit = min(self.start, 2 * self.limit)
            elif bound and self.limit < 1:
                self.limit = min(1.0, FLOW_SEEKS * self.limit)
            elif bound:
                self.limit += FLOW_GROWTH * (1 - self.strain)
            self.limit = max(self.limit, self.least)
        if self.limit < 1:
            # Danger: with a pause behind each, whoever asks twice in a row is refused, while those who do not
            # ask leave their parts unused. What was not needed is kept, for a few attempts.
            part_ms = usual_ms / max(FLOW_FLOOR, self.limit)
            saved_from_ms = now_ms - usual_ms - FLOW_SAVED * part_ms
            self.closed_until_ms = max(self.closed_until_ms, saved_from_ms) + part_ms


class Picker:
    """The two-draw payoff bandit."""

    def __init__(self, random: Random, safety: Safety, crowded: bool) -> None:
        self._random = random
        self.safety = safety
        self._crowded = crowded
        self.crowd = 1.0  # of a server on average, by the reports of late: of one that is long not heard

    def pick(self, now_ms: float, candidates: Sequence[Endpoint]) -> Endpoint | None:
        """The better of two different servers drawn by their shares; the only one, if there is just one."""
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        one = self._draw(now_ms, candidates, None)
        other = self._draw(now_ms, candidates, one)
        return one if self.score(now_ms, one) >= self.score(now_ms, other) else other

    def _draw(self, now_ms: float, candidates: Sequence[Endpoint], but: Endpoint | None) -> Endpoint:
        left = [e for e in candidates if e is not but]
        shares = (e.share * (LINKED_DRAWS if self._crowded and self._at_hand(now_ms, e) else 1) for e in left)
        upto = list(accumulate(shares))
        if upto[-1] <= 0:
            return left[self._random.randrange(len(left))]
        return left[min(bisect(upto, self._random.random() * upto[-1]), len(left) - 1)]

    def _at_hand(self, now_ms: float, endpoint: Endpoint) -> bool:
        """Danger: to a crowd a cold server is new; with no connection to it, and marked down for being cold,
        it idles for seconds while all else is overdriven. Its credit alone bounds what it gets."""
        return endpoint.linked(now_ms) or endpoint.warmth(now_ms, self.safety) < 1

    def score(self, now_ms: float, endpoint: Endpoint) -> float:
        fresh: float = 0.5 ** ((now_ms - endpoint.crowd_ms) / CROWD_HALF_MS)
        crowd = self.crowd + fresh * (endpoint.crowd - self.crowd)
        if self._crowded and not self._at_hand(now_ms, endpoint):
            crowd /= UNLINKED_SCORE
        warmth = 1.0 if self._crowded else endpoint.warmth(now_ms, self.safety)
        return endpoint.payoff * warmth / (1 + endpoint.in_flight) / crowd


@dataclass(slots=True, eq=False)
class Attempt:
    endpoint: Endpoint
    sent_ms: float
    home: ListedEndpoint  # as it was listed then: another cell since has not heard of the key
    outcome: Outcome | None = None  # None: still out
    counted: bool = True  # as in flight: the server has all of the request, and has not begun to answer

    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_RAN


@dataclass(slots=True, eq=False)
class Request:
    id: int
    cls: RequestClass | None
    arrived_ms: float
    deadline_ms: float
    work: float  # expected, in any unit that is the same for all requests
    value: float  # worth per expected work
    usual: ClassLatency | None
    most_attempts: int
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0  # attempts still out
    prev_wait_ms: float = BACKOFF_BASE_MS
    repeat: bool = False  # marked so by its client
    in_aim_until_ms: float = 0.0  # sent by then it is likely to be answered within its aim
    timer: int | None = None  # token of its one pending timer
    done: bool = False
    streaming: bool = False
    once: bool = False  # its body is gone with the first attempt
    whole: bool = True

    def repeatable(self) -> bool:
        return not self.once and self.cls is not None and self.cls.idempotency is not Idempotency.UNSAFE

    def first_possible_run(self) -> Attempt | None:
        return next((a for a in self.attempts if a.may_have_run()), None)

    def repeats_end_ms(self) -> float:
        """From when on the servers no longer drop a repeat of a keyed request that may have run."""
        ran = self.first_possible_run()
        if ran is None or self.cls is None or self.cls.idempotency is not Idempotency.KEYED:
            return float("inf")
        return ran.sent_ms + self.cls.repeat_window_ms


def drops_repeats(cls: RequestClass | None, home: ListedEndpoint, there: ListedEndpoint) -> bool:
    """Is `there` in the group of servers that drops repeats of what may have run at `home`?"""
    if cls is None or cls.idempotency is not Idempotency.KEYED or cls.repeat_scope is RepeatScope.ALL:
        return True
    same_cell = cls.repeat_scope is RepeatScope.ZONE or home.cell == there.cell
    return home.zone == there.zone and same_cell


class Balancer:
    """The decisions of one client proxy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.budget = RetryBudget()
        self.crowded = crowded(settings)
        self.membership = Membership(settings)
        self.picker = Picker(self.random, settings.safety, self.crowded)
        self.latencies = {cls.name: ClassLatency(cls) for cls in settings.classes}
        self.former: dict[str, ClassLatency] = {}  # as they were before the last change of settings
        self.requests: dict[int, Request] = {}
        self.held: list[tuple[float, int, Request]] = []  # the most valuable first, the newest of equals
        self.held_count = 0
        self.timers: dict[int, Callable[[], None]] = {}
        self.last_token = 0
        self.window_count = 0  # servers in the window last looked at
        self.window_warm = 0  # the warm ones of these
        self.peak_rate = 0.0  # highest work rate of a warm server, fading
        self.peak_ms = 0.0
        self.release = Release()
        self.work_rate = WarmRate(RATE_WINDOWS * settings.safety.push_window_ms)
        self.longest_deadline_ms = max((c.deadline_ms for c in settings.classes), default=DEFAULT_DEADLINE_MS)
        self.arrivals = WorkRate(WINDOW_SPANS * self.longest_deadline_ms)
        number = settings.number
        self.place = self.random.random() if number is None else number / settings.proxies
        self.flow = Flow(settings)
        self.wake_ms = 0.0
        self.forgot_ms = 0.0
        self.failed_calls = 0
        self.asked_ms = float("-inf")  # when a call on discovery was last begun
        self.served_ms = float("-inf")  # when a request was last served
        self.trouble = False  # servers fail alike, and nothing was served since
        self.now_ms = float("-inf")
        self.actions: list[Action] = []
        self.started = False

    def handle(self, now_ms: float, events: Sequence[Event]) -> list[Action]:
        """Take in what happened by `now_ms`; returns what to do now, in that order."""
        if now_ms < self.now_ms:
            raise ValueError(f"time ran backwards: {now_ms} after {self.now_ms}")
        self.now_ms = now_ms
        self.actions = []
        if not self.started:
            self.started, self.forgot_ms = True, now_ms
            if self.settings.subscribe:  # a crowd may be starting at once, and knows a list
                self._subscribe_soon() if self.crowded and events else self._subscribe()
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
                case RequestWhole():
                    self._on_whole(event)
                case SignSeen():
                    self._on_sign(event)
                case RequestGone():
                    if event.request_id in self.requests:
                        self._finish(self.requests[event.request_id])
                case StreamStarted():
                    self._on_stream(event)
                case SettingsChanged():
                    self._on_settings(event.settings)
                case Stood():  # danger: answers that nobody could read would count as not given
                    self.membership.fleet.stood_ms = now_ms
                case ProbeEnded():
                    pass
                case _:
                    raise ValueError(f"not an event: {event!r}")
        self._forget_old_judgements()
        self._send_held()
        return self.actions

    # Discovery

    def _on_list(self, event: EndpointsListed) -> None:
        began, left = self.membership.update(event)
        self.flow.resize(self.membership.rings.weight, self.membership.rings.count)
        if event.kind is not ListKind.FAILED:
            self.membership.fleet.told_ms = self.now_ms
        if event.kind is not ListKind.RESTORED:
            self._on_changes(began, left)
        if event.kind is ListKind.FAILED:
            if self.failed_calls == 0:
                self.actions.append(Log("discovery lost: asking again, the old list stands"))
            self.failed_calls += 1
            self._subscribe_soon()  # danger: an unsubscribed proxy counts as told of what it has not heard
        elif self.failed_calls:
            self.failed_calls = 0
            self.actions.append(Log("discovery back"))

    def _on_changes(self, began: int, left: int) -> None:
        before = self.release.on(self.now_ms)
        self.release.told(self.now_ms, began, left, self.membership.rings.count)
        if self.release.on(self.now_ms) and not before:
            self.actions.append(Log("the fleet is being replaced: cold servers are fed by what they show"))

    # What the sockets tell

    def _on_sign(self, event: SignSeen) -> None:
        endpoint = self.membership.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        ended = endpoint.evidence.ended
        if event.sign is not Sign.ACCEPTED:
            self._against(endpoint, event.sign, self.now_ms)
        elif endpoint.evidence.accepted():
            self._cleared(endpoint, ended)

    def _weigh(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """What the end of an attempt says about its server's being there."""
        endpoint, evidence = attempt.endpoint, attempt.endpoint.evidence
        trial = evidence.trying == request.id
        if trial:
            evidence.trying = None
        sign, ended, before_ms = event.sign, evidence.ended, evidence.fleet.heard_ms
        if event.outcome in HEARD:
            if evidence.heard(self.now_ms):
                self._cleared(endpoint, ended)
            if self.membership.suspects.new:
                self.membership.excuse(before_ms)
        elif event.outcome is Outcome.CONNECT_FAILED or (trial and event.outcome is Outcome.NOT_SENT):
            if sign is None and event.latency_ms >= min(
                TRIAL_MS, self.settings.limits.connect_timeout_ms / 2
            ):
                sign = Sign.UNANSWERED
        elif event.outcome is Outcome.TIMEOUT and evidence.heard_ms <= attempt.sent_ms:
            # Danger: a slow server times out, too. But it goes on answering others.
            usual_ms = request.usual.mean_ms if request.usual else DEFAULT_DEADLINE_MS / 4
            if event.latency_ms >= max(SILENCE_SPANS * usual_ms, SILENCE_LEAST_MS):
                sign = Sign.SILENT
        if sign is not None:
            self._against(endpoint, sign, attempt.sent_ms)

    def _cleared(self, endpoint: Endpoint, ended: bool) -> None:
        """A doubt is over; `ended`: its process had been seen to end."""
        self.membership.weigh(endpoint)
        if ended:
            endpoint.restarted(self.now_ms)
            text = f"{endpoint.listed.name} is back, a new process as far as can be told: taken to be cold"
            self.actions.append(Log(text))

    def _against(self, endpoint: Endpoint, sign: Sign, sent_ms: float) -> None:
        evidence = endpoint.evidence
        new = evidence.saw(sign, sent_ms, self.now_ms, self.random.random())
        if evidence.ended:
            endpoint.restarted(self.now_ms)
        if new:
            self.membership.weigh(endpoint)
            if evidence.ended:
                text = (
                    f"{endpoint.listed.name} {evidence.reason(self.now_ms)}: one request at a time tries it"
                )
                self.actions.append(Log(text))

    def _subscribe_soon(self) -> None:
        # Well inside the time the rule allows, jittered so that the proxies don't ask as one.
        longest_ms = self.settings.safety.must_ask_ms / 2
        # Danger: discovery may be back since the failed call began; what it has counts as told 6 s later.
        spent_ms = self.now_ms - max(self.asked_ms, self.membership.fleet.told_ms)
        wait_ms = reconnect_ms(self.failed_calls, self.settings.proxies, longest_ms, self.random, spent_ms)
        self._set_timer(wait_ms, self._subscribe)

    def _subscribe(self) -> None:
        self.asked_ms = self.now_ms
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
            known = self.former = self.latencies
            self.latencies = {
                cls.name: known[cls.name].renewed(cls) if cls.name in known else ClassLatency(cls)
                for cls in settings.classes
            }
        self.picker.safety = settings.safety
        self.work_rate.span_ms = RATE_WINDOWS * settings.safety.push_window_ms
        self.longest_deadline_ms = max((c.deadline_ms for c in settings.classes), default=DEFAULT_DEADLINE_MS)
        self.arrivals.span_ms = WINDOW_SPANS * self.longest_deadline_ms
        while self._too_many() and self._let_go():
            pass

    # Requests

    def _on_request(self, event: RequestArrived) -> None:
        if event.request_id in self.requests:
            raise ValueError(f"request {event.request_id} arrived twice")
        usual = (self.former if event.former else self.latencies).get(event.class_name)
        cls = usual.cls if usual else None
        work = event.work_hint_ms or (usual.mean_ms if usual else DEFAULT_DEADLINE_MS / 4)
        worth = cls.worth if cls else 0.0
        value = worth if self.settings.worth_by_work else worth / work
        deadline_ms = event.deadline_ms
        if deadline_ms is None:
            deadline_ms = self.now_ms + (cls.deadline_ms if cls else DEFAULT_DEADLINE_MS) - event.waited_ms
        self.arrivals.add(self.now_ms, 1.0)
        most = self.settings.limits.max_attempts
        arrived_ms = self.now_ms - event.waited_ms
        request = Request(event.request_id, cls, arrived_ms, deadline_ms, work, value, usual, most)
        request.repeat, request.once, request.whole = event.repeat, event.once, event.whole
        if not event.whole:
            # No time of its client's runs yet; ours for waiting ends.
            request.arrived_ms += UPLOAD_MS
            request.deadline_ms = max(deadline_ms, self.now_ms + UPLOAD_MS) + UPLOAD_MS
        self.requests[request.id] = request
        self._dispatch(request)

    def _on_whole(self, event: RequestWhole) -> None:
        request = self.requests.get(event.request_id)
        if request is None or request.done or request.whole:
            return
        request.whole, request.arrived_ms = True, self.now_ms
        request.deadline_ms = self.now_ms + (request.cls.deadline_ms if request.cls else DEFAULT_DEADLINE_MS)
        if event.deadline_ms is not None:
            request.deadline_ms = event.deadline_ms
        for attempt in request.attempts:
            if attempt.outcome is None:
                self._count(attempt)
        if request.timer is not None and not request.out:  # it is held: by its own time from here on
            self._drop_timer(request)
            self.held = [entry for entry in self.held if entry[2] is not request]
            self._dispatch(request)

    def _dispatch(self, request: Request) -> None:
        """Send the request's next attempt now, or hold it until a server may take it."""
        if self._useless_ms(request) <= self.now_ms:
            self._give_up(request, Why.TOO_LATE)
        elif not self._try(request) and self._try_send(request, self._roomy()) is None:
            self._hold(request)

    def _try(self, request: Request) -> bool:
        """Departure from the two draws: a server in doubt is drawn by nobody, and so would never be heard
        again. One request at a time tries it, on a connection of its own, which tells within a round trip.
        Danger: the request that tries may come to nothing; it must be one that can go elsewhere then, and in
        time."""
        if not self.membership.fleet.doubts or request.attempts or not request.repeatable():
            return False
        usual_ms = request.usual.mean_ms if request.usual else DEFAULT_DEADLINE_MS / 4
        lost_ms = TRIAL_MS + BACKOFF_BASE_MS + DEADLINE_MARGIN_MS
        if self._useless_ms(request) - self.now_ms < lost_ms + 2 * usual_ms or request.most_attempts < 2:
            return False
        if self.budget.tokens < TRIAL_TOKENS / RETRY_RATIO:
            return False
        due = (e for e in self.membership.suspects.some(LOOK) if e.evidence.due(self.now_ms))
        endpoint = next((e for e in due if self._may_send(request, e, trial=True)), None)
        if endpoint is None:
            return False
        endpoint.evidence.trying = request.id
        self._send(request, endpoint, fresh=True)
        return True

    def _roomy(self) -> list[Endpoint]:
        if not self.flow.has_room(self.now_ms):
            return []
        window = self.membership.window(self.now_ms, self._window_size(), self.place)
        window = window or self._anywhere()
        self.window_count = len(window)
        self.window_warm = sum(e.warmth(self.now_ms, self.settings.safety) >= 1 for e in window)
        return window

    def _anywhere(self) -> list[Endpoint]:
        rings = self.membership.rings
        found = [e for e in rings.around(self.place, LOOK) if e.has_room(self.now_ms)]
        if not found:  # danger: those that have room may be others
            rings.turn(LOOK)
        return found

    def _window_size(self) -> float:
        count = self.membership.rings.count
        met = self.arrivals.per_ms(self.now_ms) * WINDOW_SPANS * self.longest_deadline_ms
        size = max(WINDOW_LEAST, COVER * count / self.settings.proxies, met)
        return min(size, LOOK) if count > LOOK else size

    def _try_send(self, request: Request, roomy: list[Endpoint]) -> Endpoint | None:
        """Send to one of the servers with room, if the request may go to any of them."""
        allowed = [e for e in roomy if self._may_send(request, e)]
        if not allowed and roomy:  # the window has none for it: a repeat's group, or servers that are cold
            allowed = [e for e in self._anywhere() if self._may_send(request, e)]
        tried = [a.endpoint for a in request.attempts]
        # A retry goes elsewhere; with nowhere else to go, back to where it failed.
        allowed = [e for e in allowed if e not in tried] or allowed
        endpoint = self.picker.pick(self.now_ms, allowed)
        if endpoint is not None:
            self._send(request, endpoint)
        return endpoint

    def _hold(self, request: Request) -> None:
        """Danger: sent to full servers, work queues there until it is late, and jams them. It waits
        here instead, the most valuable first, until it could no longer be served in time."""
        usual_ms = request.usual.mean_ms if request.usual else DEFAULT_DEADLINE_MS / 4
        wait_ms = self._useless_ms(request) - usual_ms - self.now_ms
        if wait_ms <= 0:
            self._give_up_held(request)
            return
        # A client's repeat has most likely waited for its aim already, the time before.
        aim_ms = self._aim_ms(request.cls, request) if request.cls and not request.repeat else 0.0
        request.in_aim_until_ms = request.arrived_ms + aim_ms - usual_ms
        if self.crowded and request.in_aim_until_ms > self.now_ms:
            wait_ms = min(wait_ms, request.in_aim_until_ms - self.now_ms)
        self.held_count += 1
        insort(self.held, (-request.value, -self.held_count, request))
        request.timer = self._set_timer(wait_ms, lambda: self._wake(request, self._give_up_held))
        if self._too_many():
            self._let_go()

    def _too_many(self) -> bool:
        most = self.settings.limits.max_open
        return most > 0 and len(self.requests) > FULL_SHARE * most

    def _let_go(self) -> bool:
        """False if none is held. Danger: each held request takes up a connection of its client's. With none
        left, whatever comes next is lost unseen. What has waited longest is the least likely to be served."""
        waiting = [entry for entry in self.held if not entry[2].done and entry[2].timer is not None]
        if waiting:
            oldest = min(waiting, key=lambda entry: (entry[2].arrived_ms, entry[2].id))[2]
            self._give_up(oldest, Why.CROWDED)
        return bool(waiting)

    def _send_held(self) -> None:
        """Walk the queue once; a walk costs little even when it is long and few servers have room."""
        roomy = self._roomy() if self.held else []
        if not roomy and self.held and self.crowded:
            # Danger: nothing else may happen here for long, and nobody would hear of a pause's end.
            ends_ms = (e.paused_until_ms for e in self.membership.rings.around(self.place, LOOK))
            pauses = (ms for ms in ends_ms if ms > self.now_ms)
            wake_ms = max(self.flow.closed_until_ms, min(pauses, default=0.0))
            if self.now_ms < wake_ms != self.wake_ms:
                self.wake_ms = wake_ms
                self._set_timer(wake_ms - self.now_ms, lambda: None)
        if not roomy:
            return
        still: list[tuple[float, int, Request]] = []
        # Danger: in an overload those that have waited longest are served late, and make the next late.
        late = [entry for entry in self.held if self.now_ms > entry[2].in_aim_until_ms]
        hopeful = [entry for entry in self.held if self.now_ms <= entry[2].in_aim_until_ms]
        full = False  # no server has room for a request that may go anywhere
        for entry in hopeful + late:
            request = entry[2]
            if request.done or request.timer is None:
                continue
            anywhere = not request.attempts
            endpoint = None if not roomy or (full and anywhere) else self._try_send(request, roomy)
            if endpoint is None:
                full = full or anywhere
                still.append(entry)
            elif not self.flow.has_room(self.now_ms):
                roomy = []
            elif endpoint in roomy and not endpoint.has_room(self.now_ms):
                roomy.remove(endpoint)
        still.sort(key=lambda entry: entry[:2])
        self.held = still

    def _useless_ms(self, request: Request) -> float:
        """From when on an answer is worth nothing. Danger: work for nobody, on servers that are full."""
        cls = request.cls
        if cls is None or cls.late_worth or cls.streamed:
            return request.deadline_ms
        return min(request.deadline_ms, request.arrived_ms + self._aim_ms(cls, request))

    @staticmethod
    def _aim_ms(cls: RequestClass, request: Request) -> float:
        return min(cls.deadline_ms, cls.aim_ms + cls.aim_stretch * request.work)

    def _may_send(self, request: Request, endpoint: Endpoint, trial: bool = False) -> bool:
        """The guard every send passes: may this request be sent to this endpoint now?"""
        limits = self.settings.limits
        if request.done or request.streaming or len(request.attempts) >= request.most_attempts:
            return False
        if request.out and not limits.parallel_attempts:
            return False
        # Danger: new work on a server that drains or is gone.
        if not endpoint.usable:
            return False
        # Danger: an effect that happens twice.
        ran = request.first_possible_run() if request.attempts else None
        if ran is not None:
            if not request.repeatable() or self.now_ms >= request.repeats_end_ms():
                return False
            if not drops_repeats(request.cls, ran.home, endpoint.listed):
                return False
        # One request that tries a server is no push, unless a crowd tries it at one moment.
        return self._cold_room(request, endpoint) or (trial and not self.crowded)

    def _cold_room(self, request: Request, endpoint: Endpoint) -> bool:
        """Danger: a server just started falls over under a warm server's share, and stays down."""
        safety = self.settings.safety
        warmth = endpoint.warmth(self.now_ms, safety)
        if warmth >= 1:
            return True
        # What a warm server gets from here is this proxy's part of what a server can do; the other
        # proxies keep to theirs in the same way. Credit for half a window at most: no bursts. It starts
        # at a random part of one request: full, the proxies' first requests would add up to a push;
        # empty, a server in few proxies' traffic would get nothing until it is warm.
        stated = COLD_MARGIN * safety.push_multiple * warmth * self._warm_rate()
        shown = endpoint.shown.per_ms(self.now_ms) if endpoint.shown else 0.0
        rate = cold_rate(stated, shown, safety.push_multiple)
        if endpoint.cold_credit_ms is None:
            endpoint.cold_credit, endpoint.cold_credit_ms = self.random.random() * request.work, self.now_ms
        most = max(rate * safety.push_window_ms / 2, request.work)
        earned = rate * (self.now_ms - endpoint.cold_credit_ms)
        endpoint.cold_credit = min(most, endpoint.cold_credit + earned)
        endpoint.cold_credit_ms = self.now_ms
        return endpoint.cold_credit >= request.work

    def _warm_rate(self) -> float:
        """Work a millisecond that a warm server gets from here, or lately got.

        Danger: in a jam little is sent to warm servers, and by that measure the cold ones, which could
        end it, get nothing. So the highest of late counts, fading over the time that warming takes.
        Where none is warm and none was, all that arrives is taken to be what the servers are made for.
        """
        rate = self.work_rate.per_ms(self.now_ms)
        if not rate and not self.peak_rate:
            mean = sum(usual.mean_ms for usual in self.latencies.values()) / max(1, len(self.latencies))
            return self.arrivals.per_ms(self.now_ms) * mean / max(1, self.window_count)
        kept = 1 - (self.now_ms - self.peak_ms) / max(1.0, self.settings.safety.cold_ms)
        if not self.window_warm or self.release.on(self.now_ms):
            kept = 1.0  # what faded while none is left to show it would come back as refusals
        self.peak_rate, self.peak_ms = max(rate, self.peak_rate * max(0.0, kept)), self.now_ms
        return self.peak_rate

    def _send(self, request: Request, endpoint: Endpoint, fresh: bool = False) -> None:
        safety = self.settings.safety
        if endpoint.warmth(self.now_ms, safety) < 1:
            endpoint.cold_credit -= request.work
        else:
            self.work_rate.sent(self.now_ms, request.work, self.window_warm, self.membership.window_warm)
        self._drop_timer(request)
        # Danger: a repeat whose connection comes up late would go out after its key is forgotten.
        within_ms = min(request.repeats_end_ms() - self.now_ms, TRIAL_MS if fresh else float("inf"))
        attempt = Attempt(endpoint, self.now_ms, endpoint.listed, counted=False)
        request.attempts.append(attempt)
        request.out += 1
        if request.whole:
            self._count(attempt)
        self.flow.out += 1
        timeout_ms = self._useless_ms(request) - self.now_ms
        self.actions.append(Send(request.id, endpoint.listed.name, timeout_ms, within_ms, fresh))

    def _count(self, attempt: Attempt) -> None:
        """From here on the server owes an answer."""
        endpoint = attempt.endpoint
        if not endpoint.in_flight:
            endpoint.waiting_since_ms = self.now_ms
        kept = endpoint.links if self.now_ms - endpoint.linked_ms < LINKED_MS else 0
        endpoint.in_flight += 1
        endpoint.links = max(kept, endpoint.in_flight)
        attempt.counted = True

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        attempt.endpoint.in_flight -= attempt.counted
        request.out -= 1
        self._weigh(request, attempt, event)
        full = self._told(attempt.endpoint, event.report)
        self._learn(request, attempt, event, full)
        if event.answered:
            self._finish(request)
        elif request.done:
            self._drop_if_over(request)
        elif not request.out and not request.streaming:
            self._retry(request)

    def _target(self) -> float:
        """A server slows down for all classes alike: the one with the least room sets the target."""
        seen = [usual.target() for usual in self.latencies.values() if usual.seen]
        return min(seen, default=SLOWNESS_LEAST)

    def _told(self, endpoint: Endpoint, report: tuple[float, ...] | None) -> float:
        """How full its report shows it to be: what one of a crowd can't see in its own few attempts."""
        if not self.crowded or report is None:
            return 0.0
        told = dict(zip(self.settings.report_fields, report, strict=False))
        if "inflight" not in told:  # danger: what waits for cores that are all busy is seen when it is late
            return told.get("util", 0.0) / UTIL_MOST
        service_ms, longest_ms = told.get("latency_ms", endpoint.latency_ms), self.longest_deadline_ms / 2
        held, waiting = told["inflight"], told.get("queue", 0.0)
        full = endpoint.told(self.now_ms, held, waiting, service_ms, longest_ms)
        self.picker.crowd += GAIN / 2 * (endpoint.crowd - self.picker.crowd)
        return full

    def _reported_slowness(self, report: tuple[float, ...] | None) -> float:
        """How much waiting stretches the time of requests there, as the server tells it; 1 if unknown.
        Danger: a proxy that starts in the middle of an overload takes its latencies for unhurried."""
        fields = self.settings.report_fields
        if report is None or "inflight" not in fields or "queue" not in fields:
            return 1.0
        held, waiting = report[fields.index("inflight")], report[fields.index("queue")]
        return held / max(1.0, held - waiting) if waiting > 0 else 1.0

    def _learn(self, request: Request, attempt: Attempt, event: AttemptEnded, full: float) -> None:
        outcome, cls, latency_ms = attempt.outcome, request.cls, event.latency_ms
        warm = attempt.endpoint.warmth(self.now_ms, self.settings.safety) >= 1
        if outcome is Outcome.REJECTED and warm:
            self.work_rate.turned_away(self.now_ms, request.work, self.membership.window_warm)
        if outcome is Outcome.OK:
            self.budget.earn()
            self.served_ms, self.trouble = self.now_ms, False
        usual = request.usual
        if outcome in NO_EVIDENCE or event.unsure or cls is None or usual is None:
            self.flow.ended(self.now_ms, latency_ms, None)
            return
        good_ms = usual.in_good_time_ms()
        slow = max(full, latency_ms / good_ms)
        self.flow.ended(self.now_ms, usual.base_ms, slow if outcome in (*WORKED, Outcome.TIMEOUT) else None)
        if outcome is Outcome.OK:
            slowness = usual.slowness(latency_ms)
            usual.add(latency_ms)
            on_time = latency_ms <= self._aim_ms(cls, request)
            attempt.endpoint.judge(1.0 if on_time else cls.late_worth, slowness)
        else:
            # Danger: a server that fails fast looks quick. A failure never counts as faster than usual.
            attempt.endpoint.judge(0.0, max(1.0, usual.slowness(latency_ms)))
        if outcome in WORKED:
            attempt.endpoint.answered(self.now_ms, latency_ms)
            self._show(attempt.endpoint, request.work)
        if outcome in (*WORKED, Outcome.TIMEOUT):
            strain = max(usual.slowness(latency_ms), self._reported_slowness(event.report)) / self._target()
            least = LIMIT_LEAST if self.crowded else self.membership.part(attempt.endpoint.weight)
            attempt.endpoint.adapt_limit(self.now_ms, min(latency_ms, good_ms), max(full, strain), least)
        else:
            longest_ms = self.longest_deadline_ms / 2
            attempt.endpoint.failed(self.now_ms, usual.base_ms, longest_ms, outcome in BROKEN)

    def _show(self, endpoint: Endpoint, work: float) -> None:
        """A server that is still cold has done so much."""
        safety = self.settings.safety
        if endpoint.warmth(self.now_ms, safety) >= 1:
            return
        endpoint.shown = endpoint.shown or Shown(SHOWN_SPAN * safety.push_window_ms)
        endpoint.shown.add(self.now_ms, work)

    def _on_stream(self, event: StreamStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is not None and not request.done:
            request.streaming = True  # the attempt is the client's now; no deadline runs
            self._drop_timer(request)
            attempt = request.attempts[event.attempt] if event.attempt < len(request.attempts) else None
            if attempt is not None and attempt.counted and request.cls and not request.cls.streamed:
                # Danger: a client that reads slowly would make its server look busy, and then silent.
                attempt.endpoint.in_flight -= 1
                attempt.counted = False
                attempt.endpoint.answered(self.now_ms, event.latency_ms)

    def _retry(self, request: Request) -> None:
        if len(request.attempts) >= request.most_attempts:
            self._give_up(request, Why.ATTEMPTS)
        elif not request.repeatable():
            self._give_up(request, Why.MAY_HAVE_RUN if request.first_possible_run() else Why.ONE_ATTEMPT)
        elif (why := self._sleep(request)) is not None:
            self._give_up(request, why)

    def _sleep(self, request: Request) -> Why | None:
        """Pay, wait by the paper's jitter and try then. Or why not: no time, or no token, is left."""
        # Danger: the full buckets of thousands that ask little add up to a wave, whatever each is allowed.
        # What fails at two servers, with nothing served since, is no one server's fault.
        apart = len({a.endpoint for a in request.attempts}) > 1
        self.trouble = self.trouble or (apart and self.served_ms < request.attempts[0].sent_ms)
        if self.crowded and self.trouble:
            return Why.COMMON
        wait = backoff_ms(request.prev_wait_ms, self.random)
        sleep = min(wait, self._useless_ms(request) - self.now_ms - DEADLINE_MARGIN_MS)
        if sleep <= 0 or self.now_ms + sleep >= request.repeats_end_ms():
            return Why.NO_TIME
        if not self.budget.spend():
            return Why.NO_TOKENS
        request.prev_wait_ms = wait
        request.timer = self._set_timer(sleep, lambda: self._wake(request, self._dispatch))
        return None

    def _wake(self, request: Request, then: Callable[[Request], None]) -> None:
        request.timer = None
        then(request)

    def _give_up_held(self, request: Request) -> None:
        self._give_up(request, Why.NO_ROOM if self.membership.rings.count else Why.NO_SERVER)

    def _give_up(self, request: Request, why: Why) -> None:
        """FAIL, or REFUSE, which tells the client that trying again is harmless, if no attempt ran."""
        if request.first_possible_run() is None:
            self.actions.append(Refuse(request.id, retry_after_ms(self.settings), why))
        else:
            self.actions.append(Fail(request.id, why))
        self._finish(request)

    def _finish(self, request: Request) -> None:
        request.done = True
        self._drop_timer(request)
        self._drop_if_over(request)

    def _drop_if_over(self, request: Request) -> None:
        if not request.out:
            self.requests.pop(request.id, None)

    # Time

    def _set_timer(self, delay_ms: float, call: Callable[[], None]) -> int:
        self.last_token += 1
        self.timers[self.last_token] = call
        self.actions.append(SetTimer(delay_ms, self.last_token))
        return self.last_token

    def _drop_timer(self, request: Request) -> None:
        """The proxy can't unset a timer; when this one fires it is not known here, and ignored."""
        if request.timer is not None:
            del self.timers[request.timer]
            request.timer = None

    def _on_timer(self, event: TimerFired) -> None:
        call = self.timers.pop(event.token, None)
        if call is not None:
            call()

    def _forget_old_judgements(self) -> None:
        """Judgements fade over four times the longest deadline: what they were about is over then. Danger: a
        server judged bad is never drawn, so nothing would ever show that it is well again."""
        share = (self.now_ms - self.forgot_ms) / (4 * self.longest_deadline_ms)
        if share < 0.01:
            return
        self.forgot_ms = self.now_ms
        self.membership.pool.drift(min(1.0, share))
