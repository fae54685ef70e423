"""Model of a record server: its cores, queue, cold start, jams and faults.

It does no I/O: the driver calls it for each event (`receive`, `cancel`, faults), and it schedules its own
timers on a loop in real or simulated time. Work is in milliseconds of one core of speed 1.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from cloverrouter.clock import Loop
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.scenario import Safety, Servers

ReplyKind = Literal["ok", "error", "turned away", "reset"]
TRANSIT_ALLOWANCE_S = 0.5
FAILURE_LATENCY_MS = 1.0  # of a request that the `fail` fault answers with an error
MAX_COUNTED_COST = 3.0  # in mean requests: the most that one request counts toward the limit of a cold server
COLD_ALLOWANCE = 3.0  # in mean requests per core: excess due to chance that a cold server tolerates


class Reply(NamedTuple):
    """A server's answer to a request, with its load report."""

    how: ReplyKind
    report: tuple[float, ...] | None  # inflight, queue, latency_ms


@dataclass(slots=True, eq=False)
class Job:
    """A request that a server has received. `begun`: its work has started, so it may have had its effect."""

    request_id: int
    class_name: str
    proxy: str
    key: str | None
    work_ms: float
    reply: Callable[[Reply], None]
    begun: bool = False
    object_id: str = ""  # of the object that the request refers to
    draft_saves: float = 0.0  # share of the work saved if the object's draft is in memory
    is_repeat: bool = False  # its key is known: it gets the first one's answer, without work
    done: bool = False
    generation: int = 0  # incremented when its end is rescheduled, which makes earlier timers stale
    remaining_ms: float = 0.0  # work left at `since_s`
    since_s: float = 0.0  # when its end was last scheduled
    reset_at_end: bool = False  # its connection is reset once its work is done


class Memory:
    """The idempotency keys that the servers of one group have accepted, each kept for a window of time.

    Keys are kept slightly longer than the window: proxies count it from when they send, and a repeat sent
    within the window may arrive after its end by the network delay.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s + TRANSIT_ALLOWANCE_S
        self._seen: dict[str, float] = {}
        self._order: deque[tuple[float, str]] = deque()

    def knows(self, key: str, now_s: float) -> bool:
        """Return whether the key was received within the window; record it if not."""
        while self._order and self._order[0][0] <= now_s - self._window_s:
            at, old = self._order.popleft()
            if self._seen.get(old) == at:
                del self._seen[old]
        if key in self._seen:
            return True
        self._seen[key] = now_s
        self._order.append((now_s, key))
        return False

    def remove(self, key: str) -> None:
        """Remove the key of a request that was accepted but never begun: a retry of it must run."""
        self._seen.pop(key, None)


@dataclass
class ServerObserver:
    """Callbacks for events of a server: a request begun, an overload while cold (`fell`), a dead process."""

    begun: Callable[[Server, Job], None] = lambda server, job: None
    fell: Callable[[Server], None] = lambda server: None
    died: Callable[[Server], None] = lambda server: None


@dataclass(eq=False)
class Server:
    """One server process on one machine. `started_s` is None if it has run for long and is warm."""

    loop: Loop
    name: str
    hall: str
    rack: int
    kind: Servers
    safety: Safety
    speed: float
    draws: Draws
    memories: dict[str, Memory] = field(default_factory=dict)  # by class
    mean_work_ms: float = 50.0
    started_s: float | None = None
    observer: ServerObserver = field(default_factory=ServerObserver)

    def __post_init__(self) -> None:
        self.groups: dict[str, str] = {}  # by class: the group of servers that share a memory of its keys
        self.incarnation = 0  # incremented when the process dies or starts
        self.up = True  # the process runs
        self.reachable = True  # the machine is on the network
        self.state: Literal["active", "leaving", "left"] = "active"
        self.drained_s = 0.0
        self.frozen = 0  # number of faults that freeze it now
        self.slowdown = 1.0
        self.fail_share = self.reset_before = self.reset_after = 0.0
        self.fell = False
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self.connections = 0
        self.most_connections = 0
        self.drafts: OrderedDict[str, None] = OrderedDict()  # least recently used first
        self.jammed_since: float | None = None
        self._queue_long_since: float | None = None
        self._idle_since: float | None = None
        self.service_ms = 0.0  # smoothed
        self._report: tuple[float, ...] = (0.0, 0.0, 0.0)
        self._report_s = float("-inf")
        self._cold_arrivals: deque[tuple[float, float]] = deque()
        self._cold_work_ms = 0.0

    # Capacity

    def warmth(self) -> float:
        """Return the current share of the full capacity, which rises to 1 after a start."""
        if self.started_s is None or self.safety.cold_s <= 0:
            return 1.0
        age = (self.loop.time() - self.started_s) / self.safety.cold_s
        return min(1.0, self.safety.cold_share + (1 - self.safety.cold_share) * max(0.0, age))

    def work_rate(self) -> float:
        """Return the work done per millisecond on one core."""
        jam_slowdown = self.kind.jam_slower if self.jammed_since is not None else 1.0
        return 0.0 if self.frozen else self.speed * self.warmth() / self.slowdown / jam_slowdown

    def drops_idle_connection(self, idle_s: float) -> bool:
        """Return whether a connection idle for this long has been dropped silently."""
        return 0 < self.kind.drops_idle_ms <= idle_s * 1000

    # Requests

    def receive(self, job: Job) -> None:
        """Handle a request whose last byte has been received."""
        now_s = self.loop.time()
        if not self.up:
            job.reply(Reply("reset", None))
            return
        self._record_cold_load(now_s, job.work_ms)
        if not self.up:  # the request overloaded it
            job.reply(Reply("reset", None))
        elif self.fail_share and self.draws.uniform() < self.fail_share:
            self.loop.call_later(FAILURE_LATENCY_MS / 1000, self._fail, job, self.incarnation)
        elif self.reset_before and self.draws.uniform() < self.reset_before:
            job.done = True
            job.reply(Reply("reset", None))
        elif self._rejects(now_s):
            job.done = True
            job.reply(Reply("turned away", self._load_report(now_s)))
        else:
            job.reset_at_end = bool(self.reset_after) and self.draws.uniform() < self.reset_after
            memory = self.memories.get(job.class_name)
            job.is_repeat = job.key is not None and memory is not None and memory.knows(job.key, now_s)
            if len(self.running) < self.kind.cores and not self.frozen:
                self._begin(job)
            else:
                self.waiting.append(job)
            self._update_jam(now_s)

    def _rejects(self, now_s: float) -> bool:
        grace_s = self.safety.drain_grace_ms / 1000
        leaving = self.state != "active" and now_s > self.drained_s + 2 * grace_s
        return leaving or self.connections > self.kind.connections or len(self.waiting) >= self.kind.queue

    def _fail(self, job: Job, incarnation: int) -> None:
        if incarnation == self.incarnation and not job.done:
            job.done = True
            job.reply(Reply("error", self._load_report(self.loop.time())))

    def _record_cold_load(self, now_s: float, work_ms: float) -> None:
        """Count work sent to a cold server; above the limit the server falls over and stays down."""
        if self.started_s is None or self.warmth() >= 1:
            return
        # A request's cost is random and unknown to the proxies, so the count of a costly one is bounded.
        work_ms = min(work_ms, MAX_COUNTED_COST * self.mean_work_ms)
        self._cold_arrivals.append((now_s, work_ms))
        self._cold_work_ms += work_ms
        while self._cold_arrivals[0][0] < now_s - self.safety.fall_s:
            self._cold_work_ms -= self._cold_arrivals.popleft()[1]
        # The capacity rises linearly, so its mean over the window is its value in the middle.
        window_start_s = max(self.started_s, now_s - self.safety.fall_s)
        mean_age_s = (window_start_s + now_s) / 2 - self.started_s
        share = self.safety.cold_share + (1 - self.safety.cold_share) * mean_age_s / self.safety.cold_s
        limit_ms = (
            self.safety.fall_multiple * share * self.speed * self.kind.cores * self.safety.fall_s * 1000
        )
        if self._cold_work_ms > limit_ms + COLD_ALLOWANCE * self.kind.cores * self.mean_work_ms:
            self.fell = True
            self.observer.fell(self)
            self.crash()

    def _begin(self, job: Job) -> None:
        self.running.append(job)
        job.begun = True
        if not job.is_repeat:
            job.remaining_ms = job.work_ms * (1 - job.draft_saves * self._use_draft(job.object_id))
            self.observer.begun(self, job)
        self._schedule_end(job)

    def _use_draft(self, object_id: str) -> bool:
        """Return whether the object's draft is in memory; load it if not, which may evict the oldest."""
        if not object_id or not self.kind.drafts:
            return False
        was_held = object_id in self.drafts
        self.drafts[object_id] = None
        self.drafts.move_to_end(object_id)
        if len(self.drafts) > self.kind.drafts:
            self.drafts.popitem(last=False)
        return was_held

    def _forget_key(self, job: Job) -> None:
        """Remove the key of a job that never began from the group's memory."""
        memory = self.memories.get(job.class_name)
        if not job.begun and not job.is_repeat and job.key is not None and memory is not None:
            memory.remove(job.key)

    def _schedule_end(self, job: Job) -> None:
        job.generation += 1
        job.since_s = self.loop.time()
        rate = self.work_rate()
        if rate > 0:
            self.loop.call_later(job.remaining_ms / rate / 1000, self._end, job, job.generation)

    def _end(self, job: Job, generation: int) -> None:
        if job.generation != generation or job.done:
            return
        job.done = True
        self.running.remove(job)
        now_s = self.loop.time()
        took_ms = (now_s - job.since_s) * 1000
        self.service_ms += (0.2 if self.service_ms else 1.0) * (took_ms - self.service_ms)
        while self.waiting and len(self.running) < self.kind.cores and not self.frozen:
            self._begin(self.waiting.popleft())
        self._update_jam(now_s)
        if job.reset_at_end:
            job.reply(Reply("reset", None))
        elif self.kind.error_share and self.draws.uniform() < self.kind.error_share:
            job.reply(Reply("error", self._load_report(now_s)))
        else:
            job.reply(Reply("ok", self._load_report(now_s)))

    def cancel(self, job: Job) -> None:
        """Handle a connection closed by the proxy: a queued job may be dropped, a running one continues."""
        if self.kind.drops_waiting and not job.begun and not job.done:
            job.done = True
            self._forget_key(job)
            if job in self.waiting:
                self.waiting.remove(job)

    def _load_report(self, now_s: float) -> tuple[float, ...]:
        if now_s - self._report_s >= self.kind.report_ms / 1000:
            in_server = float(len(self.running) + len(self.waiting))
            self._report_s, self._report = now_s, (in_server, float(len(self.waiting)), self.service_ms)
        return self._report

    # Jams: an overloaded server stays slow long after the overload has ended

    def _update_jam(self, now_s: float) -> None:
        kind = self.kind
        if kind.jam_slower <= 1:
            return
        if self.jammed_since is None:
            if len(self.waiting) <= kind.jam_queue * kind.cores:
                self._queue_long_since = None
            elif self._queue_long_since is None:
                self._queue_long_since = now_s
            elif now_s - self._queue_long_since >= kind.jam_s:
                previous_rate, self.jammed_since, self._idle_since = self.work_rate(), now_s, None
                self._reschedule(previous_rate)
            return
        if len(self.running) > kind.cores / 4:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now_s
        recovered = self._idle_since is not None and now_s - self._idle_since >= kind.jam_rest_s
        if recovered or now_s - self.jammed_since >= kind.jam_most_s:
            previous_rate, self.jammed_since, self._queue_long_since = self.work_rate(), None, None
            self._reschedule(previous_rate)

    # Faults

    def _reschedule(self, previous_rate: float) -> None:
        """Reschedule the ends of running jobs after a change of rate; `previous_rate` applied until now."""
        now_s = self.loop.time()
        for job in self.running:
            job.remaining_ms = max(0.0, job.remaining_ms - (now_s - job.since_s) * 1000 * previous_rate)
            self._schedule_end(job)

    def freeze(self) -> None:
        """Stop all work until `thaw` has been called as often as `freeze`."""
        previous_rate = self.work_rate()
        self.frozen += 1
        self._reschedule(previous_rate)

    def thaw(self) -> None:
        """End one `freeze`; after the last one, work continues."""
        self.frozen -= 1
        if not self.frozen:
            self._reschedule(0.0)
            while self.waiting and len(self.running) < self.kind.cores:
                self._begin(self.waiting.popleft())

    def slow(self, factor: float) -> None:
        """Divide the work rate by `factor`."""
        previous_rate = self.work_rate()
        self.slowdown *= factor
        self._reschedule(previous_rate)

    def crash(self) -> None:
        """End the process: all its requests are reset."""
        if not self.up:
            return
        self.up = False
        self.incarnation += 1
        broken = [*self.running, *self.waiting]
        self.running, self.waiting = [], deque()
        for job in broken:
            job.done = True
            self._forget_key(job)
            job.reply(Reply("reset", None))
        self.observer.died(self)

    def start(self) -> None:
        """Start a new process with the same name, cold."""
        self.incarnation += 1
        self.up, self.fell, self.state = True, False, "active"
        self.started_s = self.loop.time()
        self.jammed_since = self._queue_long_since = None
        self.connections = 0
        self._report_s, self.service_ms = float("-inf"), 0.0
        self._cold_arrivals.clear()
        self._cold_work_ms = 0.0
        self.drafts.clear()
