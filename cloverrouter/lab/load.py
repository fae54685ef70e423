"""Load on a proxy that runs already: open-loop, bounded, from one process or several.

Latency counts from the moment at which a request was meant to start, so that a generator or a proxy that
stalls is not spared the requests it kept waiting (no coordinated omission; Tene 2013). What could not be sent
is told apart from what was not served. Histograms of several processes are added up.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from ipaddress import ip_address
from multiprocessing import get_context

import msgspec
from hdrh.histogram import HdrHistogram

from cloverrouter.lab.account import encoded
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.http import Address, HttpPort
from cloverrouter.lab.office import Ask, Clients, Got, Level, Mix, Numbers
from cloverrouter.lab.scenario import Office, Scenario, build, plain
from cloverrouter.lab.text import table

MOST_RATE, MOST_SECONDS, MOST_PROCESSES = 50_000.0, 600.0, 16
STRIDE = 100_000_000  # between two processes' request ids


class Load(msgspec.Struct):
    """What one or several generators saw."""

    asked: int = 0
    got: dict[str, int] = {}
    seconds: float = 0.0
    sent_per_s: float = 0.0
    late_ms: float = 0.0  # of sends behind the moment meant, at the 99th percentile
    latencies: dict[str, str] = {}  # "class outcome" to an HdrHistogram, encoded


class _Ledger:
    def __init__(self) -> None:
        self.tries = 0
        self.outcomes: Counter[str] = Counter()
        self.latencies: dict[tuple[str, str], list[float]] = {}

    def asked(self, ask: Ask) -> None:
        self.tries += 1

    def got(self, ask: Ask, got: Got, latency_s: float) -> None:
        self.outcomes[got] += 1
        self.latencies.setdefault((ask.kind.name, got), []).append(latency_s)


async def _generate(
    address: Address, scenario: Scenario, rate: float, seconds: float, seed: int, part: int
) -> Load:
    loop, ledger, numbers = asyncio.get_running_loop(), _Ledger(), Numbers()
    numbers.last = seed * MOST_PROCESSES * STRIDE + part * STRIDE
    late: list[float] = []
    office = scenario.office[0]
    clients: list[Clients] = []

    def answered(ask: Ask, got: Got, retry_after_s: float | None) -> None:
        clients[0].answered(ask, got, retry_after_s)

    port = HttpPort(address, office.connections, answered, late=late.append)
    kind = Office(
        name=office.name, rate=rate, arrivals="poisson", retries=office.retries, backoff_ms=office.backoff_ms,
        honour=office.honour, try_share=office.try_share, connections=office.connections,
    )  # fmt: skip
    draws = Draws(seed, "load", part), Draws(seed, "moods", part)
    clients.append(
        Clients(loop, kind, 0, rate, Mix(scenario.class_), Level(), draws, numbers, port, ledger, seconds)
    )
    begun_s = loop.time()
    clients[0].start()
    longest_s = max(c.deadline_ms for c in scenario.class_) / 1000
    await asyncio.sleep(seconds)
    took_s = loop.time() - begun_s
    await asyncio.sleep(min(10.0, longest_s * (1 + office.retries)))
    port.close()
    late.sort()
    return Load(
        ledger.tries, dict(ledger.outcomes), took_s, len(late) / took_s,
        1000 * late[int(0.99 * (len(late) - 1))] if late else 0.0,
        encoded(ledger.latencies),
    )  # fmt: skip


def _part(
    address: Address, scenario: dict[str, object], rate: float, seconds: float, seed: int, part: int
) -> Load:
    return asyncio.run(_generate(address, build(scenario), rate, seconds, seed, part))


def merge(parts: list[Load]) -> Load:
    whole = Load(seconds=max(part.seconds for part in parts), late_ms=max(part.late_ms for part in parts))
    histograms: dict[str, HdrHistogram] = {}
    got: Counter[str] = Counter()
    for part in parts:
        whole.asked += part.asked
        whole.sent_per_s += part.sent_per_s
        got.update(part.got)
        for name, text in part.latencies.items():
            histogram = HdrHistogram.decode(text)
            if name in histograms:
                histograms[name].add(histogram)
            else:
                histograms[name] = histogram
    whole.got = dict(got)
    whole.latencies = {name: h.encode().decode() for name, h in sorted(histograms.items())}
    return whole


def read_target(target: str) -> Address:
    """Raises ValueError for anything but an address and a port on loopback: a load goes nowhere else."""
    host, _, port = target.rpartition(":")
    try:
        if not ip_address(host.strip("[]")).is_loopback or not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise ValueError(
            f"{target}: must be an address and a port on loopback, such as 127.0.0.1:3000"
        ) from None
    return host.strip("[]"), int(port)


def send_load(
    target: str, scenario: Scenario, rate: float, seconds: float, processes: int, seed: int
) -> Load:
    """Raises ValueError for a target or a figure out of bounds."""
    address = read_target(target)
    bounds = (
        ("--rate", rate, MOST_RATE),
        ("--seconds", seconds, MOST_SECONDS),
        ("--processes", processes, MOST_PROCESSES),
    )
    for name, value, most in bounds:
        if not 0 < value <= most:
            raise ValueError(f"{name} is {value:g}: must be above 0 and at most {most:g}")
    told = plain(scenario)
    if processes == 1:
        return _part(address, told, rate, seconds, seed, 0)
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        share = rate / processes
        parts = [pool.submit(_part, address, told, share, seconds, seed, i) for i in range(processes)]
        return merge([part.result() for part in parts])


def load_lines(load: Load) -> list[str]:
    unsent = load.got.get("unsent", 0)
    sent = load.asked - unsent
    per_s = sent / max(1e-9, load.seconds)
    lines = [f"{sent} requests sent, {per_s:.0f} a second; late by {load.late_ms:.1f} ms (99%)"]
    if unsent:
        lines.append(f"{unsent} could not be sent: no connection was left, or none came up")
    rows = []
    for name, text in load.latencies.items():
        histogram = HdrHistogram.decode(text)
        times = [f"{histogram.get_value_at_percentile(share) / 1000:.1f}" for share in (50, 90, 99, 99.9)]
        rows.append([name, str(histogram.get_total_count()), *times])
    return [*lines, "", *table(["class, outcome", "tries", "50% ms", "90%", "99%", "99.9%"], rows)]
