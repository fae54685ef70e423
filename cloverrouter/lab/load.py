"""Load generator for a running proxy: open-loop, bounded, from one process or several.

Latency counts from the intended start of a request, so that requests which waited for a paused generator or
proxy are included in full (no coordinated omission; Tene 2013). Requests that could not be sent are counted
apart from those that were not served. The histograms of several processes are added up.
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
from cloverrouter.lab.office import ClientAttempt, ClientOutcome, Clients, Level, Mix, Numbers
from cloverrouter.lab.scenario import Office, Scenario, build, plain
from cloverrouter.lab.text import table

MAX_RATE_PER_S, MAX_DURATION_S, MAX_PROCESSES = 50_000.0, 600.0, 16
REQUEST_ID_STRIDE = 100_000_000  # distance between the request ids of two processes


class Load(msgspec.Struct):
    """Result of one or several generators."""

    asked: int = 0
    got: dict[str, int] = {}
    seconds: float = 0.0
    sent_per_s: float = 0.0
    late_ms: float = 0.0  # delay of sends after their intended start, 99th percentile
    latencies: dict[str, str] = {}  # by "class outcome": an encoded HdrHistogram


class _Ledger:
    """Counts attempts and outcomes, and collects latencies; a `Ledger` of `office`."""

    def __init__(self) -> None:
        self.tries = 0
        self.outcomes: Counter[str] = Counter()
        self.latencies: dict[tuple[str, str], list[float]] = {}

    def asked(self, ask: ClientAttempt) -> None:
        self.tries += 1

    def got(self, ask: ClientAttempt, got: ClientOutcome, latency_s: float) -> None:
        self.outcomes[got] += 1
        self.latencies.setdefault((ask.kind.name, got), []).append(latency_s)


async def _generate(
    address: Address, scenario: Scenario, rate: float, seconds: float, seed: int, process_index: int
) -> Load:
    loop, ledger, numbers = asyncio.get_running_loop(), _Ledger(), Numbers()
    numbers.last = seed * MAX_PROCESSES * REQUEST_ID_STRIDE + process_index * REQUEST_ID_STRIDE
    delays_s: list[float] = []
    office = scenario.office[0]
    clients: list[Clients] = []

    def answered(ask: ClientAttempt, got: ClientOutcome, retry_after_s: float | None) -> None:
        clients[0].answered(ask, got, retry_after_s)

    port = HttpPort(address, office.connections, answered, on_send_delay=delays_s.append)
    kind = Office(
        name=office.name, rate=rate, arrivals="poisson", retries=office.retries, backoff_ms=office.backoff_ms,
        honour=office.honour, try_share=office.try_share, connections=office.connections,
    )  # fmt: skip
    draws = Draws(seed, "load", process_index), Draws(seed, "moods", process_index)
    clients.append(
        Clients(loop, kind, 0, rate, Mix(scenario.class_), Level(), draws, numbers, port, ledger, seconds)
    )
    started_s = loop.time()
    clients[0].start()
    max_deadline_s = max(c.deadline_ms for c in scenario.class_) / 1000
    await asyncio.sleep(seconds)
    elapsed_s = loop.time() - started_s
    await asyncio.sleep(min(10.0, max_deadline_s * (1 + office.retries)))
    port.close()
    delays_s.sort()
    return Load(
        ledger.tries, dict(ledger.outcomes), elapsed_s, len(delays_s) / elapsed_s,
        1000 * delays_s[int(0.99 * (len(delays_s) - 1))] if delays_s else 0.0,
        encoded(ledger.latencies),
    )  # fmt: skip


def _run_process(
    address: Address, scenario: dict[str, object], rate: float, seconds: float, seed: int, process_index: int
) -> Load:
    return asyncio.run(_generate(address, build(scenario), rate, seconds, seed, process_index))


def merge(parts: list[Load]) -> Load:
    """Combine the results of several processes into one."""
    merged = Load(seconds=max(part.seconds for part in parts), late_ms=max(part.late_ms for part in parts))
    histograms: dict[str, HdrHistogram] = {}
    got: Counter[str] = Counter()
    for part in parts:
        merged.asked += part.asked
        merged.sent_per_s += part.sent_per_s
        got.update(part.got)
        for name, text in part.latencies.items():
            histogram = HdrHistogram.decode(text)
            if name in histograms:
                histograms[name].add(histogram)
            else:
                histograms[name] = histogram
    merged.got = dict(got)
    merged.latencies = {name: h.encode().decode() for name, h in sorted(histograms.items())}
    return merged


def read_target(target: str) -> Address:
    """Parse `ADDRESS:PORT`. Raises ValueError unless it is on loopback: load is sent nowhere else."""
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
    """Send the load of `scenario` to `target`. Raises ValueError for a target or a value out of range."""
    address = read_target(target)
    bounds = (
        ("--rate", rate, MAX_RATE_PER_S),
        ("--seconds", seconds, MAX_DURATION_S),
        ("--processes", processes, MAX_PROCESSES),
    )
    for name, value, maximum in bounds:
        if not 0 < value <= maximum:
            raise ValueError(f"{name} is {value:g}: must be above 0 and at most {maximum:g}")
    plain_scenario = plain(scenario)
    if processes == 1:
        return _run_process(address, plain_scenario, rate, seconds, seed, 0)
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        share = rate / processes
        parts = [
            pool.submit(_run_process, address, plain_scenario, share, seconds, seed, i)
            for i in range(processes)
        ]
        return merge([part.result() for part in parts])


def load_lines(load: Load) -> list[str]:
    """Render a result as lines of text."""
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
