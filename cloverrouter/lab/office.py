"""What an office does: it asks at moments that do not wait for answers, gives tries up, leaves, comes back.

Rules without I/O, for whichever kind of time. Each proxy of an office has clients, and draws, of its own: the
copies of an application share nothing.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import accumulate
from math import inf, pi, sin
from typing import Literal, Protocol

from cloverrouter.clock import Handle, Loop
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.scenario import Class, Office

Got = Literal["served", "refused", "failed", "left", "unsent"]


@dataclass(slots=True, eq=False)
class Ask:
    """One try of a client. `first`: the number of its request's first try, which repeats share.

    `meant_s` is the moment at which the client meant to ask: its time counts from there, whatever kept
    the try from going out then.
    """

    number: int
    first: int
    proxy: int
    kind: Class
    work_ms: float
    meant_s: float
    first_s: float
    patience_s: float  # from when it is sent
    attempt: int = 0
    leaves_s: float = inf  # after so long it is left, whatever comes
    sent_s: float = -1.0
    about: int = 0  # the object it is about, from 1; 0: none
    over: bool = False
    timer: Handle | None = None


class Port(Protocol):
    """The way to a proxy."""

    def ask(self, ask: Ask) -> bool:
        """Send it; False if there is no way to (no connection left, the proxy is down)."""

    def left(self, ask: Ask) -> None:
        """The client waits no longer."""


class Ledger(Protocol):
    """Who keeps account of what clients got."""

    def asked(self, ask: Ask) -> None: ...

    def got(self, ask: Ask, got: Got, latency_s: float) -> None: ...


class Mix:
    """Which class the next request has. `heavy`: by class, the share that costs more, and the factor."""

    def __init__(self, classes: Iterable[Class]) -> None:
        self.classes = list(classes)
        self._upto = list(accumulate(kind.share for kind in self.classes))
        self.heavy: dict[str, tuple[float, float]] = {}

    def draw(self, draws: Draws) -> tuple[Class, float]:
        """A class, and the work of one request of it."""
        at = bisect_right(self._upto, draws.uniform() * self._upto[-1])
        kind = self.classes[min(at, len(self.classes) - 1)]
        work_ms = draws.lognormal(kind.work_ms, kind.spread)
        chance = draws.uniform()  # drawn always: a fault must not shift the numbers that follow
        share, factor = self.heavy.get(kind.name, (0.0, 1.0))
        return kind, work_ms * factor if chance < share else work_ms


class Numbers:
    """Whole numbers, each once."""

    def __init__(self) -> None:
        self.last = 0

    def next(self) -> int:
        self.last += 1
        return self.last


class Level:
    """What all offices' rates are multiplied by, as faults have it."""

    def __init__(self) -> None:
        self.factor = 1.0
        self.swings: list[tuple[float, float, float]] = []  # since, size, period

    def at(self, now_s: float) -> float:
        factor = self.factor
        for since_s, size, period_s in self.swings:
            factor *= max(0.0, 1 + (size - 1) * sin(2 * pi * (now_s - since_s) / period_s))
        return factor

    @property
    def most(self) -> float:
        most = self.factor
        for _, size, _ in self.swings:
            most *= 1 + abs(size - 1)
        return most


def on_curve(curve: tuple[tuple[float, float], ...], at_s: float) -> float:
    """The factor of a curve of straight lines; level before its first point and behind its last."""
    if not curve:
        return 1.0
    after = bisect_right([point[0] for point in curve], at_s)
    if after == 0 or after == len(curve):
        return curve[min(after, len(curve) - 1)][1]
    (x0, y0), (x1, y1) = curve[after - 1], curve[after]
    return y0 + (y1 - y0) * (at_s - x0) / (x1 - x0)


class Clients:
    """One office's clients at one proxy."""

    def __init__(
        self,
        loop: Loop,
        kind: Office,
        proxy: int,
        rate: float,
        mix: Mix,
        level: Level,
        draws: tuple[Draws, Draws],
        numbers: Numbers,
        port: Port,
        ledger: Ledger,
        until_s: float,
    ) -> None:
        self._loop, self._kind, self._proxy, self._rate = loop, kind, proxy, rate
        self._mix, self._level, self._numbers = mix, level, numbers
        # What a client does about its answers has draws of its own: were they the arrivals', two variants
        # would meet other requests from the first retry on.
        self._draws, self._moods = draws
        self._port, self._ledger, self._until_s = port, ledger, until_s
        self._peak = max((factor for _, factor in kind.curve), default=1.0)
        self._burst, self._burst_ends_s = False, 0.0
        bursts, calms = kind.burst_s * kind.burst_factor, kind.calm_s
        self._calm_rate = (kind.burst_s + kind.calm_s) / (bursts + calms)  # `rate` stays the mean
        self._begun_s = 0.0

    def start(self) -> None:
        self._begun_s = self._loop.time()
        if self._kind.arrivals == "recorded":
            for at_s in self._kind.times:
                if at_s < self._until_s:
                    self._loop.call_later(at_s, self._arrive, self._begun_s + at_s)
        elif self._rate > 0:
            self._await(self._begun_s)

    def _await(self, from_s: float) -> None:
        """Reckon the next arrival after `from_s`: by thinning of the highest rate that there may be."""
        kind, now_s, end_s = self._kind, from_s, self._begun_s + self._until_s
        while True:
            most = self._rate * self._peak * self._level.most
            if kind.arrivals == "bursts":
                most *= self._calm_rate * max(1.0, kind.burst_factor)
            if most <= 0:
                now_s += 0.1
                if now_s >= end_s:
                    return
                continue
            now_s += 1 / most if kind.arrivals == "even" else self._draws.wait(most)
            if now_s >= end_s:
                return
            keep = self._rate_at(now_s) / most
            if keep >= 1 or self._draws.uniform() < keep:
                break
        self._loop.call_later(now_s - self._loop.time(), self._arrived, now_s)

    def _rate_at(self, now_s: float) -> float:
        kind = self._kind
        rate = self._rate * on_curve(kind.curve, now_s - self._begun_s) * self._level.at(now_s)
        if kind.arrivals != "bursts":
            return rate
        while now_s >= self._burst_ends_s:
            self._burst = not self._burst if self._burst_ends_s else self._draws.uniform() < 0.1
            mean_s = kind.burst_s if self._burst else kind.calm_s
            self._burst_ends_s = max(self._burst_ends_s, self._begun_s) + self._draws.wait(1 / mean_s)
        return rate * self._calm_rate * (kind.burst_factor if self._burst else 1.0)

    def _arrived(self, meant_s: float) -> None:
        self._arrive(meant_s)
        self._await(meant_s)

    def _arrive(self, meant_s: float) -> None:
        kind, work_ms = self._mix.draw(self._draws)
        number = self._numbers.next()
        about = 1 + int(self._draws.uniform() * kind.objects) if kind.objects else 0
        self._try(number, number, kind, work_ms, meant_s, meant_s, 0, about)

    def _try(
        self,
        number: int,
        first: int,
        kind: Class,
        work_ms: float,
        meant_s: float,
        first_s: float,
        attempt: int,
        about: int,
    ) -> None:
        patience_s = kind.deadline_ms / 1000 * self._kind.try_share
        ask = Ask(number, first, self._proxy, kind, work_ms, meant_s, first_s, patience_s, attempt)
        ask.about = about
        if self._kind.leave_share and self._moods.uniform() < self._kind.leave_share:
            ask.leaves_s = patience_s * self._moods.uniform()
        self._ledger.asked(ask)
        ask.sent_s = self._loop.time()
        if not self._port.ask(ask):
            self.answered(ask, "unsent", None)
            return
        wait_s = min(ask.leaves_s, patience_s)
        ask.timer = self._loop.call_later(wait_s, self._patience_ends, ask)

    def _patience_ends(self, ask: Ask) -> None:
        if not ask.over:
            self._port.left(ask)
            self.answered(ask, "left", None)

    def answered(self, ask: Ask, got: Got, retry_after_s: float | None) -> None:
        """What a try came to. Refused, failed and given up, it may be tried again, with a new number."""
        if ask.over:
            return
        ask.over = True
        if ask.timer is not None:
            ask.timer.cancel()
        now_s = self._loop.time()
        self._ledger.got(ask, got, now_s - ask.meant_s)
        left_early = got == "left" and ask.leaves_s < ask.patience_s
        if got == "served" or left_early or ask.attempt >= self._kind.retries:
            return
        # Danger: what failed may have run; asked again under a new number, its effect would come twice.
        if got not in ("refused", "unsent") and not self._kind.after_failures:
            return
        wait_s = self._kind.backoff_ms / 1000 * self._moods.between(0.5, 1.5)
        if retry_after_s and self._moods.uniform() < self._kind.honour:
            wait_s = max(wait_s, retry_after_s)
        self._loop.call_later(wait_s, self._again, ask, now_s + wait_s)

    def _again(self, ask: Ask, meant_s: float) -> None:
        number = self._numbers.next()
        self._try(number, ask.first, ask.kind, ask.work_ms, meant_s, ask.first_s, ask.attempt + 1, ask.about)


def draws_of(seed: int, office: int, proxy: int) -> tuple[Draws, Draws]:
    """An office's clients' at one proxy: for what they ask, and for what they do about the answers."""
    return Draws(seed, "clients", office, proxy), Draws(seed, "moods", office, proxy)


def keeps_of(kind: Office, moods: Draws) -> Callable[[], bool]:
    """Does a client keep its connection after this answer? Asked for each."""
    return lambda: kind.keeps >= 1 or moods.uniform() < kind.keeps


def rates_of(kind: Office, proxies: int, draws: Draws) -> dict[int, float]:
    """How an office's rate is shared out among its proxies."""
    which = list(kind.proxies) or list(range(proxies))
    parts = [draws.lognormal(1.0, kind.unequal) for _ in which]
    return {index: kind.rate * part / sum(parts) for index, part in zip(which, parts, strict=True)}
