"""The observer behind the console: counts by class and server, recent failures and refusals.

Fills the observer seam. Bounded in all it keeps, whatever comes; what a request costs here is a few
additions, and a record only for those that were not served. Rates are taken from totals sampled once a
second by `tick`.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from cloverrouter.interface import Outcome, Why
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.observer import Final, Tried
from cloverrouter.seams import Json

KEPT = 200  # failures, and refusals
RATE_SAMPLES = 6  # a second apart: rates are over the last five seconds
MOST_SERVERS = 1000
MOST_CLASSES = 200
UNSAID = "the module did not say"


@dataclass(slots=True)
class ServerCount:
    served: int = 0
    failed: int = 0
    outcomes: Counter[Outcome] = field(default_factory=Counter)
    report: tuple[float, ...] | None = None
    report_at_ms: float = 0.0


@dataclass(slots=True)
class ClassCount:
    taken: int = 0
    finals: Counter[Final] = field(default_factory=Counter)
    whys: Counter[tuple[Final, str]] = field(default_factory=Counter)
    served_ms: float = 0.0  # smoothed time of served answers


@dataclass(frozen=True, slots=True)
class Ended:
    """One request that was not served."""

    at_ms: float  # Unix
    request_id: str
    class_name: str
    final: Final
    why: str
    took_ms: float
    trail: tuple[Tried, ...]

    def told(self) -> Json:
        return {
            "at_ms": self.at_ms,
            "request": self.request_id,
            "class": self.class_name,
            "final": self.final.value,
            "why": self.why,
            "took_ms": round(self.took_ms, 1),
            "attempts": [
                {"server": t.server, "outcome": t.outcome.value, "took_ms": round(t.took_ms, 1)}
                for t in self.trail
            ],
        }


@dataclass(frozen=True, slots=True)
class Sample:
    at_ms: float
    servers: dict[str, tuple[int, int]]  # served, failed
    classes: dict[str, tuple[int, int, int, int, int]]  # taken, then by `Final` in its order


class Book:
    """`clock` gives Unix ms. `said` is told what the module says for the log."""

    def __init__(
        self, classes: Iterable[str], clock: Callable[[], float], said: Callable[[str], None]
    ) -> None:
        self._clock = clock
        self._said = said
        self.servers: dict[str, ServerCount] = {}
        self.classes = {name: ClassCount() for name in classes}
        self.failures: deque[Ended] = deque(maxlen=KEPT)
        self.refusals: deque[Ended] = deque(maxlen=KEPT)
        self.turned: Counter[int] = Counter()
        self._samples: deque[Sample] = deque(maxlen=RATE_SAMPLES)
        self.tick(())

    # proxy.observer.Observer

    def taken(self, call: Call) -> None:
        self._class(call.class_name).taken += 1

    def tried(self, call: Call, tried: Tried, report: tuple[float, ...] | None) -> None:
        server = self.servers.get(tried.server)
        if server is None:
            # Danger: a fleet that renames its servers with each release would grow this without end.
            if len(self.servers) >= MOST_SERVERS:
                self.servers.pop(next(iter(self.servers)))
            server = self.servers[tried.server] = ServerCount()
        if tried.outcome is Outcome.OK:
            server.served += 1
        elif tried.outcome is not Outcome.NOT_SENT and tried.outcome is not Outcome.CANCELLED:
            server.failed += 1
        server.outcomes[tried.outcome] += 1
        if report is not None:
            server.report, server.report_at_ms = report, self._clock()

    def ended(
        self, call: Call, final: Final, why: Why | None, trail: Sequence[Tried], took_ms: float
    ) -> None:
        count = self._class(call.class_name)
        count.finals[final] += 1
        if final is Final.SERVED:
            count.served_ms += 0.1 * (took_ms - count.served_ms) if count.served_ms else took_ms
            return
        if final is Final.GONE:
            return
        text = UNSAID if why is None else why.value
        count.whys[final, text] += 1
        request_id = call.request_id.decode("ascii", "replace")
        ended = Ended(self._clock(), request_id, call.class_name, final, text, took_ms, tuple(trail))
        (self.failures if final is Final.FAILED else self.refusals).append(ended)

    def not_taken(self, call: Call, why: str) -> None:
        count = self._class(call.class_name)
        count.taken += 1
        count.finals[Final.REFUSED] += 1
        # The text may hold figures that change: by its first part it is one reason.
        text = why.partition(":")[0]
        count.whys[Final.REFUSED, text] += 1
        request_id = call.request_id.decode("ascii", "replace")
        self.refusals.append(Ended(self._clock(), request_id, call.class_name, Final.REFUSED, why, 0.0, ()))

    def turned_away(self, status: int) -> None:
        self.turned[status] += 1

    def said(self, text: str) -> None:
        self._said(text)

    def _class(self, name: str) -> ClassCount:
        found = self.classes.get(name)
        if found is None:
            # Danger: names come from clients; the settings' classes are here already.
            found = self.classes.setdefault(name if len(self.classes) < MOST_CLASSES else "?", ClassCount())
        return found

    # Time

    def tick(self, listed: Iterable[str]) -> None:
        """Once a second: sample the totals. Counts of servers that are neither listed nor lately used go."""
        now_ms = self._clock()
        oldest = self._samples[0] if self._samples else None
        listed = set(listed)
        for name in [n for n in self.servers if n not in listed]:
            count = self.servers[name]
            if oldest is not None and oldest.servers.get(name) == (count.served, count.failed):
                del self.servers[name]
        self._samples.append(
            Sample(
                now_ms,
                {name: (c.served, c.failed) for name, c in self.servers.items()},
                {name: (c.taken, *_finals(c)) for name, c in self.classes.items()},
            )
        )

    def _seconds(self) -> float:
        return max(0.001, (self._clock() - self._samples[0].at_ms) / 1000)

    def server_rates(self, name: str) -> tuple[float, float]:
        """Served and failed attempts a second, over the last few seconds."""
        now, before = self.servers.get(name), self._samples[0].servers.get(name, (0, 0))
        if now is None:
            return 0.0, 0.0
        seconds = self._seconds()
        return (now.served - before[0]) / seconds, (now.failed - before[1]) / seconds

    def class_rates(self, name: str) -> dict[str, float]:
        """Requests a second, taken and by their ends."""
        count, before = self.classes[name], self._samples[0].classes.get(name, (0, 0, 0, 0, 0))
        now = (count.taken, *_finals(count))
        names = ("taken", *(final.value for final in Final))
        seconds = self._seconds()
        return {n: (a - b) / seconds for n, a, b in zip(names, now, before, strict=True)}


def _finals(count: ClassCount) -> tuple[int, int, int, int]:
    finals = count.finals
    return finals[Final.SERVED], finals[Final.REFUSED], finals[Final.FAILED], finals[Final.GONE]
