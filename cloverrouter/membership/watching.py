"""Rules for calls to discovery and for which of its answers to accept. No I/O; times are in seconds.

`WatchSchedule` gives the content of the next call and its timeout, `reconnect_delay_ms` the delay after a
failed call. `VersionGuard` filters lists whose version is lower than one seen before.
"""

from __future__ import annotations

from random import Random

from cloverrouter.interface import EndpointState
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.values import Value, replace

# Longest time that an answer may wait for changes. An unresponsive watch looks like a waiting one, so its
# failure can be detected only after this time.
MAX_WAIT_S = 3.0
# Time allowed beyond the requested wait before a call times out. The maximum also applies until enough
# answers were measured. The minimum allows for a service that handles calls one by one and is sometimes late.
MAX_GRACE_S, MIN_GRACE_S = 2.0, 0.4
# RFC 6298, section 2: gains for the smoothed round-trip time and its deviation, and the multiple of the
# deviation in the timeout.
MEAN_GAIN, DEVIATION_GAIN, DEVIATION_MULTIPLE = 1 / 8, 1 / 4, 4.0
MIN_SAMPLES = 2  # answers before the measured delay is used
# The proxy must apply a change within 6 s, also one that an unresponsive call missed, so the next call has to
# be answered by then. The part of a grace beyond this value is subtracted from the requested wait.
FREE_GRACE_S = 0.7
# Maximum time from the start of a failed call to the start of the next; the rest of the 6 s is for connecting
# (1 s) and for the answer. docs/design/told.md has the calculation.
MAX_CALL_INTERVAL_MS = 4000.0
# Span from which the first delay is drawn, and the maximum span of up to 12 proxies: so few cannot overload
# discovery, and without its news they lose requests. Each further proxy makes the maximum longer. An
# overloaded service that handles calls one by one answers about ten per second, and rejected calls use part
# of that: forty proxies that call twice per second each would never be answered again.
SMALL_FLEET_PROXIES, FIRST_SPAN_MS, MAX_SPAN_MS, MAX_SPAN_PER_PROXY_MS = 12, 200.0, 500.0, 125.0
FIRST_SPAN_PER_PROXY_MS = 5.0  # of the first span: 200 watches that end together reconnect within a second
RESET_CONFIRMATIONS = 2  # consecutive answers with a lower version, after which that counting is accepted
MAX_REMOVED_ENTRIES = 4096  # drained or removed servers that are remembered


def reconnect_delay_ms(
    failures: int, proxies: int, max_delay_ms: float, random: Random, elapsed_ms: float = 0.0
) -> float:
    """Delay before the next call after `failures` consecutive failures, with full jitter (Brooker 2015).

    The span doubles with each failure, because all proxies reconnect at the moment when a service recovers.
    Its maximum grows with the number of proxies; `max_delay_ms` bounds it, so that the rule on the polling
    interval is kept. Before the first call (0 failures) the span is at its maximum: a proxy that has a list
    can wait, and a whole fleet may be starting.

    `elapsed_ms`: time since the failed call began or a list was last received. Discovery may have recovered
    right after that, and the proxy must apply its changes within 6 s, including the call and the delay.
    """
    remaining_ms = max(FIRST_SPAN_MS, MAX_CALL_INTERVAL_MS - elapsed_ms) if failures else MAX_CALL_INTERVAL_MS
    max_ms = min(
        max_delay_ms,
        remaining_ms,
        MAX_SPAN_MS + MAX_SPAN_PER_PROXY_MS * max(0, proxies - SMALL_FLEET_PROXIES),
    )
    first_ms = max(FIRST_SPAN_MS, FIRST_SPAN_PER_PROXY_MS * proxies)
    return random.random() * (min(max_ms, first_ms * 2.0 ** min(failures - 1, 16)) if failures else max_ms)


class WatchRequest(Value):
    """One call to discovery.

    `version` None asks for the complete list. `max_wait_s`: how long the answer may wait for changes;
    `grace_s`: time allowed beyond that before the call times out.
    """

    version: int | None
    max_wait_s: float
    grace_s: float


class WatchSchedule:
    """Schedule of the consecutive calls of one proxy to discovery."""

    def __init__(self, max_wait_s: float = MAX_WAIT_S, max_grace_s: float = MAX_GRACE_S) -> None:
        self.version: int | None = None
        self.max_wait_s, self.max_grace_s = max_wait_s, max_grace_s
        self.lost = False  # the last call failed
        self._late_s = self._deviation_s = 0.0
        self._samples = 0
        self._failures = 0

    def next_request(self) -> WatchRequest:
        # A call that may wait times out only after its wait. Made while discovery is unresponsive, it would
        # still hang for seconds after the recovery, so after a failure the call asks for an immediate answer.
        grace_s = self.grace_s
        wait_s = max(0.0, self.max_wait_s - max(0.0, grace_s - FREE_GRACE_S))
        return WatchRequest(self.version, 0.0 if self.version is None or self.lost else wait_s, grace_s)

    @property
    def grace_s(self) -> float:
        if self._samples < MIN_SAMPLES:
            return self.max_grace_s
        usual_s = self._late_s + DEVIATION_MULTIPLE * self._deviation_s
        # RFC 6298, section 5.5, doubled at every second failure: a service that is merely slow is answered in
        # the end, and the recovery of an unresponsive one is detected soon.
        return min(self.max_grace_s, max(MIN_GRACE_S, usual_s) * 2.0 ** min(self._failures // 2, 16))

    def record_answer(self, request: WatchRequest, elapsed_s: float, version: int, has_changes: bool) -> None:
        """Record an answer that came after `elapsed_s`. One that waited for changes gives no delay sample."""
        self.version, self.lost, self._failures = version, False, 0
        if has_changes and request.max_wait_s:
            return
        late_s = max(0.0, elapsed_s - request.max_wait_s)
        if not self._samples:
            self._late_s, self._deviation_s = late_s, late_s / 2
        else:
            self._deviation_s += DEVIATION_GAIN * (abs(late_s - self._late_s) - self._deviation_s)
            self._late_s += MEAN_GAIN * (late_s - self._late_s)
        self._samples += 1

    def record_failure(self, trusted: bool = True) -> None:
        """Record a call that timed out or failed; `trusted` False: its answer was malformed."""
        self.lost = True
        self._failures += 1
        if not trusted:
            self.version = None  # changes relative to it are unreliable: ask for the complete list


def push_agent_schedule(drain_grace_s: float) -> WatchSchedule:
    """Schedule of calls to a local agent to which lists are pushed, which answers at once and at no cost.

    A change counts as delivered as soon as the agent has it, whether or not a watch is open, and from the
    moment of discovery's recovery on. So an unresponsive call must time out, and the next one start, within
    the drain grace.
    """
    return WatchSchedule(min(MAX_WAIT_S, drain_grace_s / 2), min(MAX_GRACE_S, drain_grace_s / 4))


class VersionGuard:
    """Filter that protects against lists with a version lower than one seen before.

    An old list, from an inconsistent service or one restored from a backup, lists servers as active that have
    been drained since. Servers drained or removed by the higher version stay so while that version may be the
    right one: until more than `RESET_CONFIRMATIONS` consecutive answers have a lower version.
    """

    def __init__(self, version: int | None = None) -> None:
        self.highest_version = version
        self._known: dict[str, float | None] = {}  # start times of the listed processes, by server
        self._removed: dict[str, float | None] = {}  # the same of drained and removed servers
        self._lower_count = 0  # consecutive answers with a lower version
        self._withheld: dict[str, HostEntry] = {}

    def filter_list(self, found: HostList) -> HostList:
        """Return the list to apply instead of `found`."""
        if self.highest_version is None or found.version >= self.highest_version:
            self.highest_version, self._lower_count = found.version, 0
            self._withheld.clear()
            self._record_entries(found)
            return found
        self._lower_count += 1
        if self._lower_count > RESET_CONFIRMATIONS:
            # The service has restarted its versions: entries withheld so far apply unless listed anew.
            self.highest_version, self._lower_count = found.version, 0
            listed = {entry.listed.name for entry in found.entries}
            withheld = tuple(entry for name, entry in self._withheld.items() if name not in listed)
            found = replace(found, entries=(*found.entries, *withheld)) if not found.full else found
            self._withheld.clear()
            self._record_entries(found)
            return found
        if found.full:
            self._withheld.clear()
        return replace(found, entries=tuple(self._guard_entry(entry) for entry in found.entries))

    def _guard_entry(self, entry: HostEntry) -> HostEntry:
        listed = entry.listed
        self._withheld.pop(listed.name, None)
        same = listed.name in self._removed and self._removed[listed.name] == listed.started_ms
        if listed.state is not EndpointState.READY or not same:
            return entry
        self._withheld[listed.name] = entry
        return replace(entry, listed=replace(listed, state=EndpointState.DRAINING))

    def _record_entries(self, found: HostList) -> None:
        if found.full:
            listed_names = {entry.listed.name for entry in found.entries}
            for name in [name for name in self._known if name not in listed_names]:
                self._removed[name] = self._known.pop(name)
        for entry in found.entries:
            listed = entry.listed
            if listed.state is EndpointState.READY:
                self._known[listed.name] = listed.started_ms
                self._removed.pop(listed.name, None)
            else:
                started_ms = self._known.pop(listed.name, listed.started_ms)
                self._removed[listed.name] = started_ms if listed.started_ms is None else listed.started_ms
        while len(self._removed) > MAX_REMOVED_ENTRIES:  # drop the oldest entries first
            del self._removed[next(iter(self._removed))]
