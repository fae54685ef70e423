"""Clients of an office: open-loop arrivals, attempt timeouts, abandoned requests and retries.

Performs no I/O and runs on simulated or real time. Each proxy of an office has its own clients with their own
random draws, because the copies of an application share nothing.
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

ClientOutcome = Literal["served", "refused", "failed", "left", "unsent"]


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One attempt of a client. `first` is the number of the request's first attempt; its retries share it.

    `intended_s` is when the client intended to send. Latency counts from there, even if sending was delayed.
    """

    number: int
    first: int
    proxy: int
    kind: Class
    work_ms: float
    intended_s: float
    first_s: float
    timeout_s: float  # counted from the send
    attempt: int = 0
    abandons_after_s: float = inf  # the client leaves then, before its timeout
    sent_s: float = -1.0
    object_number: int = 0  # which object it concerns, from 1; 0: none
    finished: bool = False
    timer: Handle | None = None


class Port(Protocol):
    """The transport to a proxy."""

    def ask(self, ask: ClientAttempt) -> bool:
        """Send it; False if that is impossible (no free connection, the proxy is down)."""

    def left(self, ask: ClientAttempt) -> None:
        """The client stops waiting for the answer."""


class Ledger(Protocol):
    """Records the attempts of clients and their outcomes."""

    def asked(self, ask: ClientAttempt) -> None: ...

    def got(self, ask: ClientAttempt, got: ClientOutcome, latency_s: float) -> None: ...


class Mix:
    """Chooses each request's class. `heavy`: by class, the share of costlier requests and their factor."""

    def __init__(self, classes: Iterable[Class]) -> None:
        self.classes = list(classes)
        self._cumulative_shares = list(accumulate(kind.share for kind in self.classes))
        self.heavy: dict[str, tuple[float, float]] = {}

    def draw(self, draws: Draws) -> tuple[Class, float]:
        """Draw a class, and the work of one request of it."""
        index = bisect_right(self._cumulative_shares, draws.uniform() * self._cumulative_shares[-1])
        kind = self.classes[min(index, len(self.classes) - 1)]
        work_ms = draws.lognormal(kind.work_ms, kind.spread)
        chance = draws.uniform()  # always drawn, so that a fault does not shift later draws
        share, factor = self.heavy.get(kind.name, (0.0, 1.0))
        return kind, work_ms * factor if chance < share else work_ms


class Numbers:
    """Consecutive request numbers, starting at 1."""

    def __init__(self) -> None:
        self.last = 0

    def next(self) -> int:
        """The next number."""
        self.last += 1
        return self.last


class Level:
    """The factor on all offices' request rates, set by load faults."""

    def __init__(self) -> None:
        self.factor = 1.0
        self.swings: list[tuple[float, float, float]] = []  # start, amplitude factor, period

    def at(self, now_s: float) -> float:
        """The factor at a time."""
        factor = self.factor
        for since_s, size, period_s in self.swings:
            factor *= max(0.0, 1 + (size - 1) * sin(2 * pi * (now_s - since_s) / period_s))
        return factor

    @property
    def peak(self) -> float:
        """An upper bound of the factor."""
        maximum_factor = self.factor
        for _, size, _ in self.swings:
            maximum_factor *= 1 + abs(size - 1)
        return maximum_factor


def interpolate(curve: tuple[tuple[float, float], ...], at_s: float) -> float:
    """The value of a piecewise linear curve; constant before its first point and after its last."""
    if not curve:
        return 1.0
    next_index = bisect_right([point[0] for point in curve], at_s)
    if next_index == 0 or next_index == len(curve):
        return curve[min(next_index, len(curve) - 1)][1]
    (x0, y0), (x1, y1) = curve[next_index - 1], curve[next_index]
    return y0 + (y1 - y0) * (at_s - x0) / (x1 - x0)


class Clients:
    """One office's clients at one proxy."""

    def __init__(
        self,
        loop: Loop,
        office: Office,
        proxy: int,
        rate: float,
        mix: Mix,
        level: Level,
        draws: tuple[Draws, Draws],
        numbers: Numbers,
        port: Port,
        ledger: Ledger,
        duration_s: float,
    ) -> None:
        self._loop, self._office, self._proxy, self._rate = loop, office, proxy, rate
        self._mix, self._level, self._numbers = mix, level, numbers
        # Reactions to answers have their own draws. With shared draws, two variants of a run would receive
        # different requests from the first retry on.
        self._arrival_draws, self._reaction_draws = draws
        self._port, self._ledger, self._duration_s = port, ledger, duration_s
        self._peak_factor = max((factor for _, factor in office.curve), default=1.0)
        self._in_burst, self._burst_ends_s = False, 0.0
        burst_weight, calm_weight = office.burst_s * office.burst_factor, office.calm_s
        # Keeps `rate` the mean over bursts and calm periods.
        self._calm_rate = (office.burst_s + office.calm_s) / (burst_weight + calm_weight)
        self._started_s = 0.0

    def start(self) -> None:
        """Schedule the arrivals."""
        self._started_s = self._loop.time()
        if self._office.arrivals == "recorded":
            for at_s in self._office.times:
                if at_s < self._duration_s:
                    self._loop.call_later(at_s, self._send_request, self._started_s + at_s)
        elif self._rate > 0:
            self._schedule_arrival(self._started_s)

    def _schedule_arrival(self, from_s: float) -> None:
        """Schedule the next arrival after `from_s`, by thinning a Poisson process of the maximum rate."""
        office, now_s, end_s = self._office, from_s, self._started_s + self._duration_s
        while True:
            maximum_rate = self._rate * self._peak_factor * self._level.peak
            if office.arrivals == "bursts":
                maximum_rate *= self._calm_rate * max(1.0, office.burst_factor)
            if maximum_rate <= 0:
                now_s += 0.1
                if now_s >= end_s:
                    return
                continue
            now_s += 1 / maximum_rate if office.arrivals == "even" else self._arrival_draws.wait(maximum_rate)
            if now_s >= end_s:
                return
            acceptance = self._rate_at(now_s) / maximum_rate
            if acceptance >= 1 or self._arrival_draws.uniform() < acceptance:
                break
        self._loop.call_later(now_s - self._loop.time(), self._on_arrival, now_s)

    def _rate_at(self, now_s: float) -> float:
        office = self._office
        rate = self._rate * interpolate(office.curve, now_s - self._started_s) * self._level.at(now_s)
        if office.arrivals != "bursts":
            return rate
        while now_s >= self._burst_ends_s:
            self._in_burst = not self._in_burst if self._burst_ends_s else self._arrival_draws.uniform() < 0.1
            mean_s = office.burst_s if self._in_burst else office.calm_s
            self._burst_ends_s = max(self._burst_ends_s, self._started_s) + self._arrival_draws.wait(
                1 / mean_s
            )
        return rate * self._calm_rate * (office.burst_factor if self._in_burst else 1.0)

    def _on_arrival(self, intended_s: float) -> None:
        self._send_request(intended_s)
        self._schedule_arrival(intended_s)

    def _send_request(self, intended_s: float) -> None:
        kind, work_ms = self._mix.draw(self._arrival_draws)
        number = self._numbers.next()
        object_number = 1 + int(self._arrival_draws.uniform() * kind.objects) if kind.objects else 0
        self._send_attempt(number, number, kind, work_ms, intended_s, intended_s, 0, object_number)

    def _send_attempt(
        self,
        number: int,
        first_number: int,
        kind: Class,
        work_ms: float,
        intended_s: float,
        first_s: float,
        attempt: int,
        object_number: int,
    ) -> None:
        timeout_s = kind.deadline_ms / 1000 * self._office.try_share
        client_attempt = ClientAttempt(
            number, first_number, self._proxy, kind, work_ms, intended_s, first_s, timeout_s, attempt
        )
        client_attempt.object_number = object_number
        if self._office.leave_share and self._reaction_draws.uniform() < self._office.leave_share:
            client_attempt.abandons_after_s = timeout_s * self._reaction_draws.uniform()
        self._ledger.asked(client_attempt)
        client_attempt.sent_s = self._loop.time()
        if not self._port.ask(client_attempt):
            self.answered(client_attempt, "unsent", None)
            return
        wait_s = min(client_attempt.abandons_after_s, timeout_s)
        client_attempt.timer = self._loop.call_later(wait_s, self._on_timeout, client_attempt)

    def _on_timeout(self, client_attempt: ClientAttempt) -> None:
        if not client_attempt.finished:
            self._port.left(client_attempt)
            self.answered(client_attempt, "left", None)

    def answered(
        self, client_attempt: ClientAttempt, outcome: ClientOutcome, retry_after_s: float | None
    ) -> None:
        """Record the outcome of an attempt. If it was not served, it may be retried under a new number."""
        if client_attempt.finished:
            return
        client_attempt.finished = True
        if client_attempt.timer is not None:
            client_attempt.timer.cancel()
        now_s = self._loop.time()
        self._ledger.got(client_attempt, outcome, now_s - client_attempt.intended_s)
        abandoned = outcome == "left" and client_attempt.abandons_after_s < client_attempt.timeout_s
        if outcome == "served" or abandoned or client_attempt.attempt >= self._office.retries:
            return
        # A failed attempt may have run: a retry under a new number could repeat its effect.
        if outcome not in ("refused", "unsent") and not self._office.after_failures:
            return
        wait_s = self._office.backoff_ms / 1000 * self._reaction_draws.between(0.5, 1.5)
        if retry_after_s and self._reaction_draws.uniform() < self._office.honour:
            wait_s = max(wait_s, retry_after_s)
        self._loop.call_later(wait_s, self._retry, client_attempt, now_s + wait_s)

    def _retry(self, previous: ClientAttempt, intended_s: float) -> None:
        number = self._numbers.next()
        self._send_attempt(
            number,
            previous.first,
            previous.kind,
            previous.work_ms,
            intended_s,
            previous.first_s,
            previous.attempt + 1,
            previous.object_number,
        )


def client_draws(seed: int, office: int, proxy: int) -> tuple[Draws, Draws]:
    """Draws of an office's clients at one proxy: for arrivals, and for reactions to answers."""
    return Draws(seed, "clients", office, proxy), Draws(seed, "moods", office, proxy)


def keep_alive_decider(office: Office, reaction_draws: Draws) -> Callable[[], bool]:
    """A function that decides, after each answer, whether the client keeps its connection."""
    return lambda: office.keeps >= 1 or reaction_draws.uniform() < office.keeps


def rates_by_proxy(office: Office, proxies: int, draws: Draws) -> dict[int, float]:
    """An office's request rate at each of its proxies, by proxy index."""
    proxy_indexes = list(office.proxies) or list(range(proxies))
    weights = [draws.lognormal(1.0, office.unequal) for _ in proxy_indexes]
    return {
        index: office.rate * weight / sum(weights)
        for index, weight in zip(proxy_indexes, weights, strict=True)
    }
