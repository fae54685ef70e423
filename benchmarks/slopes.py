"""Cost of one real proxy by the length of its list of servers: points, slopes and how linear they are.

    python -m benchmarks.slopes [--tree DIR ...] [--sizes 16,300,...] [--deadlines 0.4,3] [--quick]
                                [--proxies each|N] [--feed watch|agent] [--rounds 1] [--no-times]
                                [--json F] [--plot F]

Each point starts a separate proxy, as the deploy file's `run` does, but with this interpreter. It measures
the time until ready; memory; processor time when idle, for a request, for a change of one server, for 1,000
changes in one answer and for the full list; the size of those answers; and the time added to a request. For
the added time, the same load goes directly to a server and through the proxy, in alternating slices. Where a
point repeats a measurement, also over slices, the median counts.

`--tree` may be given several times: each point is then measured on all checkouts in turn. `--deadlines`: of
the only request class of the settings, in seconds. `--proxies`: the number of proxies stated in the settings;
`each`, the default, is one for every listed server, so that a proxy's share of a server is the same at all
lengths. `--feed`: discovery is a watch (a long poll), or an agent that answers at once.

Processor time is the main thread's (schedstat). A busy machine raises it up to twofold, because of shared
cores and caches, and makes the added times meaningless at the 99th percentile. Servers are distinguished by
name: many names share one of at most 32 listeners, which answer at once. So the proxy has its own
connections, pool and state for each name; the cost on the servers' side is not measured here. `--no-times`
omits all wall-clock figures, for a machine that is in use by others.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import shlex
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from functools import partial
from itertools import pairwise
from multiprocessing import get_context
from pathlib import Path
from statistics import median
from typing import Any, Literal

import numpy
from hdrh.histogram import HdrHistogram

from benchmarks.choices import settings
from benchmarks.startup import cpu_ms
from cloverrouter.lab.load import Load, merge, send_load
from cloverrouter.lab.peers import Discovery, Host, ok, raw, read_message
from cloverrouter.lab.process import LONG_S, ProxyProcess, own_address
from cloverrouter.lab.scenario import build

HERE = Path(__file__).resolve().parents[1]
SIZES = (16, 300, 1000, 2000, 4000, 7000)
DEADLINES_S = (0.4, 3.0)
MAX_SERVERS, MAX_ROUNDS = 8000, 10
LISTENERS = 32
RATE, REQUEST_TIMEOUT_MS = 100.0, 400.0
BATCH = 1000  # servers that change in one answer
REPLACEMENT_STATES = ("leaving", "left", "active")  # states of a server that is replaced, in order
BENT_SHARE = 0.1  # of the rise: less curvature than this is negligible
SCATTER_SHARE = 0.15  # of the rise: points further off the line than this don't support a slope
LEVEL = 0.95
# Two-sided 95% quantiles of Student's t by degrees of freedom; beyond them the normal's, slightly raised.
T_QUANTILES = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)

Shape = Literal["straight", "flat", "bent", "scattered", "too few points"]


# Line fits


@dataclass(frozen=True)
class Fit:
    """A least-squares line through points with x from `first_x` to `last_x`.

    `low`, `high`: the 95% confidence interval of the slope; `residual`: the standard deviation of the points
    from the line; `furthest`: the largest distance of a point.
    """

    slope: float
    intercept: float
    residual: float
    furthest: float
    low: float
    high: float
    shape: Shape
    points: int
    first_x: float
    last_x: float

    def at(self, x: float) -> float:
        """Return the line's value at x. Raises ValueError beyond the points unless they lie on a line."""
        if self.shape not in ("straight", "flat") and not self.first_x <= x <= self.last_x:
            raise ValueError(f"{self.shape}: not extended from {self.last_x:g} to {x:g}")
        return self.intercept + self.slope * x

    def reach(self, bound: float) -> float | None:
        """Return the x at which a rising line reaches the bound; None if the points form no rising line."""
        return (bound - self.intercept) / self.slope if self.shape == "straight" and self.slope > 0 else None


def t_quantile(degrees: int) -> float:
    """Return the quantile of Student's t with 5% in both tails together."""
    if degrees < 1:
        raise ValueError(f"{degrees} degrees of freedom: at least 1, three points for a line")
    return T_QUANTILES[degrees - 1] if degrees <= len(T_QUANTILES) else 1.96 + 2.5 / degrees


def fit(xs: list[float], ys: list[float]) -> Fit:
    """Fit a line to the points, and classify whether they lie on one.

    flat: the slope's interval contains 0. bent: the curvature is significant and more than a tenth of the
    rise. scattered: a point is further off the line than 15% of the rise. too few points: three lengths leave
    no degree of freedom to detect a curve, so they are never classified as straight.
    """
    if len(xs) != len(ys) or len(set(xs)) < 3:
        raise ValueError(f"{len(xs)} points at {len(set(xs))} lengths: at least 3 lengths make a fit")
    x, y = numpy.asarray(xs, dtype=float), numpy.asarray(ys, dtype=float)
    middle, spread = x.mean(), float(((x - x.mean()) ** 2).sum())
    slope = float(((x - middle) * (y - y.mean())).sum()) / spread
    intercept = float(y.mean() - slope * middle)
    distances = y - (intercept + slope * x)
    residual = float(numpy.sqrt((distances**2).sum() / (len(x) - 2)))
    half_width = t_quantile(len(x) - 2) * residual / spread**0.5
    rise = abs(slope) * float(x.max() - x.min())
    furthest = float(abs(distances).max())
    shape: Shape = "straight"
    bend = max_bend(x, y)
    if len(set(xs)) < 4:
        shape = "too few points"
    elif bend is not None and bend > BENT_SHARE * rise:
        shape = "bent"
    elif slope - half_width <= 0 <= slope + half_width:
        shape = "flat"
    elif furthest > SCATTER_SHARE * rise:
        shape = "scattered"
    return Fit(
        slope, intercept, residual, furthest, slope - half_width, slope + half_width, shape, len(x),
        float(x.min()), float(x.max()),
    )  # fmt: skip


def max_bend(x: numpy.ndarray[Any, Any], y: numpy.ndarray[Any, Any]) -> float | None:
    """Return the largest distance of a fitted curve from its chord; None if no curvature is significant.

    Tries a parabola and a square root, which rises fast at first.
    """
    if len(x) < 4:
        return None
    scaled_x = x / float(abs(x).max())
    found = []
    for curve in (scaled_x**2, scaled_x**0.5):
        terms = numpy.stack([curve, scaled_x, numpy.ones_like(scaled_x)], axis=1)
        values = numpy.linalg.lstsq(terms, y, rcond=None)[0]
        variance = float(((y - terms @ values) ** 2).sum()) / (len(x) - 3)
        error = float(numpy.sqrt(variance * numpy.linalg.inv(terms.T @ terms)[0, 0]))
        if abs(values[0]) > t_quantile(len(x) - 3) * error:
            ends = numpy.array([scaled_x.min(), scaled_x.max()])
            chord = numpy.interp(scaled_x, ends, [curve[scaled_x.argmin()], curve[scaled_x.argmax()]])
            found.append(float(abs(values[0] * (curve - chord)).max()))
    return max(found, default=None)


def first_crossing(xs: list[float], ys: list[float], bound: float) -> float | None:
    """Return where the points, joined by straight lines, first rise over the bound; None if they never do."""
    points = sorted(zip(xs, ys, strict=True))
    for (x, y), (next_x, next_y) in pairwise(points):
        if y <= bound < next_y:
            return x + (bound - y) / (next_y - y) * (next_x - x)
    return None


# One point


class Listing(Discovery):
    """Stand-in for discovery with thousands of entries, or for an agent that answers at once (not `waits`).

    It records the size of its last answer.
    """

    def __init__(self, waits: bool) -> None:
        super().__init__()
        self._waits = waits
        self.full_list_next = False  # answer the next change with the full list, once
        self.answer_bytes = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                target = (await read_message(reader)).start.split()[1]
                async with self.changed:
                    self.calls.append(target)
                    self.changed.notify_all()
                since = int(target.partition("from=")[2].partition("&")[0]) if "from=" in target else None
                hold_s = int(target.partition("hold_ms=")[2] or 0) / 1000 if self._waits else 0.0
                if since is not None and hold_s:
                    with suppress(TimeoutError):
                        async with asyncio.timeout(hold_s), self.changed:
                            await self.changed.wait_for(partial(self._has_newer, since))
                if self.full_list_next and since is not None and self.version > since:
                    since, self.full_list_next = None, False
                answer = ok(json.dumps(self.listing(since)).encode())
                self.answer_bytes = len(answer)
                writer.write(answer)
        writer.close()

    async def wait_for_version(self, version: int) -> None:
        """Wait until the last call reports that the proxy has this version."""
        async with asyncio.timeout(LONG_S), self.changed:
            await self.changed.wait_for(lambda: any(f"from={version}&" in call for call in self.calls[-1:]))

    def _has_newer(self, since: int) -> bool:
        return self.version > since


def entry(number: int, hosts: list[Host], **changed: object) -> dict[str, object]:
    """Return the list entry of a server: one of three zones, and a name as long as the protocol's."""
    host = hosts[number % len(hosts)]
    return {
        "id": f"s-{number:08x}", "addr": f"127.0.0.1:{host.port}", "zone": "abc"[number % 3], "cell": 1,
        "state": "active", "weight": 1.0, "started_ms": 0, **changed,
    }  # fmt: skip


Figures = dict[str, float]
UNITS = {
    "ready": "ms", "ready CPU": "ms", "RSS": "MB", "PSS": "MB", "idle CPU": "% of a core",
    "CPU a request": "ms", "CPU at 100/s": "% of a core", "direct p50": "ms", "direct p99": "ms",
    "through p50": "ms", "through p99": "ms", "added p50": "ms", "added p99": "ms",
    "not served": "requests", "asked": "requests",
    "connections held": "", "connections made": "",
    "CPU of a change": "ms", "bytes of a change": "bytes", "CPU of 1,000 changes": "ms",
    "bytes of 1,000 changes": "bytes", "CPU of the whole list": "ms", "bytes of the whole list": "bytes",
    "RSS at the end": "MB",
}  # fmt: skip
BOUNDS = {"idle CPU": 1.6, "RSS": 256.0, "RSS at the end": 256.0, "added p99": 0.42, "ready": 1000.0}
TIMES = ("ready", *(f"{path} p{share}" for path in ("direct", "through", "added") for share in (50, 99)))
PLOTTED = (
    "idle CPU", "CPU of a change", "CPU of 1,000 changes", "CPU of the whole list", "CPU a request",
    "added p50", "added p99", "RSS", "ready",
)  # fmt: skip


def memory_mb(pid: int) -> tuple[float, float]:
    """Return the resident and the proportional set size in MB (proc(5), smaps_rollup)."""
    kb = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, _, value = line.partition(":")
        kb[name] = int(value.split()[0])
    return kb["Rss"] / 1024, kb["Pss"] / 1024


def percentile_ms(load: Load, share: float) -> float:
    """Return a percentile of the latencies of served requests. Raises SystemExit if none was served."""
    found = [HdrHistogram.decode(text) for name, text in load.latencies.items() if name.endswith(" served")]
    if not found:
        raise SystemExit(f"no request was served: {load.got}; the run has no latencies")
    return float(found[0].get_value_at_percentile(share)) / 1000


async def close_connections(hosts: list[Host]) -> None:
    """Close every connection and wait for its end; closing the event loop earlier logs an error for each."""
    for host in hosts:
        for writer in list(host.open.values()):
            writer.transport.abort()
        await host.wait(lambda host=host: not host.open)  # type: ignore[misc]


@dataclass
class Point:
    """One proxy, started for the measurement, and its peers. `quick` shortens the measurements."""

    tree: Path
    servers: int
    deadline_s: float
    proxies: int
    watched: bool
    quick: bool
    pool: ProcessPoolExecutor
    cache: Path

    async def measure(self) -> Figures:
        """Start the peers and the proxy, and return all figures."""
        report = b"X-Server-Load: inflight=1,queue=0\r\n"
        hosts = [
            await Host(f"h{i}", raw(ok(head=report))).start() for i in range(min(LISTENERS, self.servers))
        ]
        discovery = Listing(self.watched)
        await discovery.start()
        entries = [entry(i, hosts) for i in range(self.servers)]
        discovery.entries = {str(e["id"]): e for e in entries}
        config = {
            "name": "n0", "listen": own_address(), "discovery": f"127.0.0.1:{discovery.port}", "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
            "settings": settings(self.deadline_s, self.proxies, self.watched), "known": discovery.listing(),
        }  # fmt: skip
        command = (
            f"cd {shlex.quote(str(self.tree))} && exec {shlex.quote(sys.executable)} -m cloverrouter.proxy"
        )
        environ = {"MALLOC_MMAP_THRESHOLD_": "65536", "PYTHONPYCACHEPREFIX": str(self.cache)}
        with tempfile.TemporaryDirectory() as folder:
            proxy = ProxyProcess(config, Path(folder), command, environ)
            proxy.start()
            direct_host = await Host("alone", raw(ok(head=report))).start()  # receives the direct load
            try:
                return await self._measure(proxy, discovery, hosts, direct_host)
            finally:
                proxy.close()
                discovery.server.close()
                for host in (*hosts, direct_host):
                    host.server.close()
                await close_connections([*hosts, direct_host])

    async def _measure(
        self, proxy: ProxyProcess, discovery: Listing, hosts: list[Host], direct_host: Host
    ) -> Figures:
        begun_s = time.monotonic()
        await proxy.wait_health(200)
        pid, ready_s = proxy.process.pid, time.monotonic() - begun_s
        found: Figures = {"ready": ready_s * 1000, "ready CPU": cpu_ms(pid)}
        await discovery.wait_for_calls(1)
        found["RSS"], found["PSS"] = memory_mb(pid)
        idle = await self._idle(pid, discovery)
        found["idle CPU"] = idle * 100
        found.update(await self._load(proxy, direct_host, idle))
        found["connections held"] = float(sum(len(host.open) for host in hosts))
        found["connections made"] = float(sum(host.connections for host in hosts))
        found.update(await self._changes(pid, discovery, hosts, idle))
        found["RSS at the end"], _ = memory_mb(pid)
        return found

    async def _idle(self, pid: int, discovery: Listing) -> float:
        """Return the processor seconds per second of the idle proxy, over whole calls of its watch."""
        await discovery.wait_for_calls(len(discovery.calls) + 1)
        calls, from_s, cpu = len(discovery.calls), time.monotonic(), cpu_ms(pid)
        while time.monotonic() - from_s < (2.5 if self.quick else 5.0):
            calls += 1
            await discovery.wait_for_calls(calls)
        return (cpu_ms(pid) - cpu) / 1000 / (time.monotonic() - from_s)

    async def _load(self, proxy: ProxyProcess, host: Host, idle: float) -> Figures:
        """Send load directly to a server and through the proxy, in alternating slices."""
        loop = asyncio.get_running_loop()
        direct_slices: list[Load] = []
        proxied_slices: list[Load] = []
        cpu = took_s = 0.0
        office = {"name": "o", "connections": 256, "try_share": 1.0}
        request_class = {
            "name": "read",
            "effect": "safe",
            "aim_ms": REQUEST_TIMEOUT_MS,
            "deadline_ms": REQUEST_TIMEOUT_MS,
            "work_ms": 1,
        }
        scenario = build({"name": "slopes", "version": 1, "class": [request_class], "office": [office]})
        # The first slice opens the connections on either path; no figure includes it.
        slices = [0.5] + ([1.0] * 2 if self.quick else [1.25] * 4)
        request_cpu_ms: list[float] = []
        cpu_percent: list[float] = []
        for i, seconds in enumerate(slices):
            for address, loads in (
                (f"127.0.0.1:{host.port}", direct_slices),
                (proxy.address, proxied_slices),
            ):
                cpu, from_s = cpu_ms(proxy.process.pid), time.monotonic()
                seed = 2 * i + (loads is proxied_slices)
                load = await loop.run_in_executor(
                    self.pool, send_load, address, scenario, RATE, seconds, 1, seed
                )
                cpu, took_s = cpu_ms(proxy.process.pid) - cpu, time.monotonic() - from_s
                if i:
                    loads.append(load)
                if i and loads is proxied_slices:
                    request_cpu_ms.append((cpu - idle * took_s * 1000) / load.asked)
                    # The generator also waits for late answers: the idle use of that time is subtracted.
                    cpu_percent.append((cpu / 1000 - idle * (took_s - seconds)) / seconds * 100)
        direct, proxied = merge(direct_slices), merge(proxied_slices)
        found = {
            "asked": float(proxied.asked),
            "CPU a request": median(request_cpu_ms),
            "CPU at 100/s": median(cpu_percent),
        }
        found["not served"] = float(proxied.asked - proxied.got.get("served", 0))
        for share in (50, 99):
            found[f"direct p{share}"] = percentile_ms(direct, share)
            found[f"through p{share}"] = percentile_ms(proxied, share)
            found[f"added p{share}"] = median(
                percentile_ms(b, share) - percentile_ms(a, share)
                for a, b in zip(direct_slices, proxied_slices, strict=True)
            )
        return found

    async def _changes(self, pid: int, discovery: Listing, hosts: list[Host], idle: float) -> Figures:
        found: Figures = {}

        async def change(*entries: dict[str, Any]) -> float:
            """Return milliseconds of processor time above idle until the proxy polls for the next version."""
            cpu, from_s = cpu_ms(pid), time.monotonic()
            await discovery.change(*entries)
            await discovery.wait_for_version(discovery.version)
            return cpu_ms(pid) - cpu - idle * (time.monotonic() - from_s) * 1000

        took, sizes = [], []
        for i in range(4 if self.quick else 10):
            for state in REPLACEMENT_STATES:
                started = int(time.time() * 1000) if state == "active" else 0
                took.append(await change(entry(i, hosts, state=state, started_ms=started)))
                sizes.append(discovery.answer_bytes)
        found["CPU of a change"] = median(took)
        found["bytes of a change"] = float(median(sizes))
        if self.servers >= BATCH:
            took = []
            for weight in (0.9, 1.0, 0.9, 1.0):
                took.append(await change(*(entry(i, hosts, weight=weight) for i in range(BATCH))))
            found["CPU of 1,000 changes"] = median(took)
            found["bytes of 1,000 changes"] = float(discovery.answer_bytes)
        took = []
        for _ in range(4):
            discovery.full_list_next = True
            took.append(await change(entry(self.servers - 1, hosts)))
        found["CPU of the whole list"] = median(took)
        found["bytes of the whole list"] = float(discovery.answer_bytes)
        return found


# A whole run


@dataclass(frozen=True)
class Row:
    """The points of one figure, for one checkout and one deadline."""

    tree: str
    deadline_s: float
    figure: str
    servers: list[float]
    values: list[float]
    line: Fit | None


def last_commit(tree: Path) -> str:
    """Return the last commit that changed the program, with a + if the checkout has uncommitted changes."""

    def git(*words: str) -> str:
        command = ["git", "-C", str(tree), *words, "--", "cloverrouter"]
        return subprocess.run(command, capture_output=True, text=True).stdout.strip()

    return git("log", "-1", "--format=%h") + ("+" if git("status", "--porcelain") else "")


def rows_of(points: list[tuple[str, float, int, Figures]]) -> list[Row]:
    """Group the points by checkout, deadline and figure, and fit a line to each group."""
    found = []
    for tree, deadline_s in dict.fromkeys((tree, deadline_s) for tree, deadline_s, _, _ in points):
        group = [(n, figures) for t, d, n, figures in points if (t, d) == (tree, deadline_s)]
        for figure in UNITS:
            xs = [float(n) for n, figures in group if figure in figures]
            ys = [figures[figure] for _, figures in group if figure in figures]
            line = fit(xs, ys) if len(set(xs)) >= 3 else None
            found.append(Row(tree, deadline_s, figure, xs, ys, line))
    return found


def describe_bound(row: Row) -> str:
    """Return at how many servers the figure reaches its bound; only straight lines are extrapolated."""
    bound = BOUNDS.get(row.figure)
    if bound is None or not row.values:
        return ""
    if min(row.values) > bound:
        return f"{bound:g}: over it from the first"
    at = first_crossing(row.servers, row.values, bound)
    if at is not None:
        return f"{bound:g}: {at:,.0f}"
    reach = row.line.reach(bound) if row.line is not None else None
    return f"{bound:g}: {reach:,.0f}, extended" if reach is not None else f"{bound:g}: not by the last"


def format_value(value: float) -> str:
    """Format a value with about three significant digits."""
    return f"{value:.0f}" if abs(value) >= 100 else f"{value:.1f}" if abs(value) >= 10 else f"{value:.2f}"


def lines_of(rows: list[Row]) -> list[str]:
    """Return Markdown: for each checkout and deadline the points, then the slope per 1,000 servers."""
    lines = []
    for tree, deadline_s in dict.fromkeys((row.tree, row.deadline_s) for row in rows):
        group = [row for row in rows if (row.tree, row.deadline_s) == (tree, deadline_s) and row.values]
        sizes = sorted({x for row in group for x in row.servers})
        lines += ["", f"{tree}, longest deadline {deadline_s:g} s", ""]
        head = [f"{size:,.0f}" for size in sizes]
        lines += [
            "| | unit | "
            + " | ".join(head)
            + " | a 1,000 servers (95%) | at none | residual | shape | bound: met at |",
            "| --- " * (len(sizes) + 7) + "|",
        ]
        for row in group:
            cells = []
            for size in sizes:
                at = [y for x, y in zip(row.servers, row.values, strict=True) if x == size]
                cells.append(", ".join(format_value(y) for y in at) or "not measured")
            line = row.line
            if line is None:
                fit_cells = ["", "", "", "too few points"]
            else:
                slope = f"{line.slope * 1000:.3g} ({line.low * 1000:.3g} to {line.high * 1000:.3g})"
                fit_cells = [slope, format_value(line.intercept), format_value(line.residual), line.shape]
            lines.append(
                f"| {row.figure} | {UNITS[row.figure]} | "
                + " | ".join([*cells, *fit_cells, describe_bound(row)])
                + " |"
            )
    return lines


def plot(rows: list[Row], path: Path) -> None:
    """Plot a subplot per figure, a line per checkout and deadline; SVG or PNG by the path's suffix."""
    import matplotlib

    matplotlib.use("svg" if path.suffix == ".svg" else "agg")
    from matplotlib import pyplot
    from matplotlib.lines import Line2D

    figure, fields = pyplot.subplots(3, 3, figsize=(11, 8.5), layout="constrained")
    keys = list(dict.fromkeys((row.tree, row.deadline_s) for row in rows))
    for field, name in zip(fields.flat, PLOTTED, strict=True):
        group = [row for row in rows if row.figure == name and row.values]
        for row in group:
            number = keys.index((row.tree, row.deadline_s))
            field.plot(row.servers, row.values, "o", color=f"C{number}", markersize=4)
            if row.line is not None and row.line.shape in ("straight", "flat"):
                ends = [row.line.first_x, row.line.last_x]
                field.plot(ends, [row.line.at(x) for x in ends], "-", color=f"C{number}", linewidth=1)
        field.set_title(f"{name}, {UNITS[name]}" + ("" if group else ": not measured"), fontsize=9)
        field.set_ylim(bottom=0)
        field.tick_params(labelsize=7)
    marks = [Line2D([], [], marker="o", color=f"C{i}") for i in range(len(keys))]
    names = [f"{tree}, {deadline_s:g} s" for tree, deadline_s in keys]
    figure.legend(marks, names, loc="outside upper center", ncols=2, fontsize=8)
    figure.supxlabel("servers listed; a line where the points lie on one", fontsize=8)
    figure.savefig(path)


def read_numbers(text: str, least: float, most: float) -> list[float]:
    """Parse comma-separated numbers from `least` to `most`. Raises ArgumentTypeError if any is not."""
    try:
        found = [float(part) for part in text.split(",")]
        if not all(least <= value <= most for value in found):
            raise ValueError
    except ValueError:
        raise argparse.ArgumentTypeError(
            f"{text!r}: must be numbers from {least:g} to {most:g} with commas between"
        ) from None
    return found


async def run(args: argparse.Namespace) -> list[tuple[str, float, int, Figures]]:
    """Measure all points; return (checkout, deadline in seconds, servers, figures) for each."""
    trees = [tree.resolve() for tree in args.tree or [HERE]]
    names = [last_commit(tree) for tree in trees]
    if len(set(names)) < len(names):
        names = [f"{tree.name} {name}" for tree, name in zip(trees, names, strict=True)]
    points = []
    with (
        ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool,
        tempfile.TemporaryDirectory() as cache,
    ):
        for checkout in trees:  # compile the code beforehand, and bring it into the file cache
            environ = {**os.environ, "PYTHONPYCACHEPREFIX": cache}
            code = [sys.executable, "-c", "import cloverrouter.proxy.service"]
            subprocess.run(code, cwd=checkout, env=environ, check=True)
        for _ in range(args.rounds):
            for deadline_s in args.deadlines:
                for size in args.sizes:
                    for name, tree in zip(names, trees, strict=True):
                        proxies = int(size) if args.proxies == "each" else int(args.proxies)
                        watched = args.feed == "watch"
                        point = Point(
                            tree, int(size), deadline_s, proxies, watched, args.quick, pool, Path(cache)
                        )
                        figures = await point.measure()
                        if args.no_times:
                            figures = {key: ms for key, ms in figures.items() if key not in TIMES}
                        points.append((name, deadline_s, int(size), figures))
                        summary = ("idle CPU", "CPU of a change", "CPU a request", "RSS")
                        text = ", ".join(f"{key} {format_value(figures[key])}" for key in summary)
                        print(f"{name}, {deadline_s:g} s, {size:,.0f} servers: {text}", file=sys.stderr)
    return points


def main() -> None:
    """Measure the points, print the tables, and write the JSON and the plot if requested."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--tree", type=Path, action="append", help="a checkout; several are measured in turn")
    parser.add_argument("--sizes", type=lambda t: read_numbers(t, 1, MAX_SERVERS), default=list(SIZES))
    parser.add_argument("--deadlines", type=lambda t: read_numbers(t, 0.1, 60), default=list(DEADLINES_S))
    parser.add_argument("--proxies", default="each", help="'each', or a number")
    parser.add_argument("--feed", choices=("watch", "agent"), default="watch")
    parser.add_argument("--rounds", type=int, choices=range(1, MAX_ROUNDS + 1), default=1)
    parser.add_argument(
        "--quick", action="store_true", help="shorter measurements, one deadline: a minute per checkout"
    )
    parser.add_argument("--no-times", action="store_true", help="processor time, memory and bytes alone")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--plot", type=Path)
    args = parser.parse_args()
    if args.proxies != "each" and not (args.proxies.isdecimal() and int(args.proxies) >= 1):
        parser.error(f"--proxies is {args.proxies!r}: must be 'each' or a whole number from 1")
    if args.quick:
        args.deadlines = args.deadlines[:1]
    begun, load = datetime.now(UTC), os.getloadavg()[0]
    points = asyncio.run(run(args))
    rows = rows_of(points)
    run_info = {
        "command": " ".join(["python -m benchmarks.slopes", *sys.argv[1:]]),
        "begun": begun.isoformat(timespec="seconds"),
        "seconds": round((datetime.now(UTC) - begun).total_seconds()),
        "load average before and after": [round(load, 1), round(os.getloadavg()[0], 1)],
        "cores": os.cpu_count(), "python": platform.python_version(),
    }  # fmt: skip
    print("\n".join(f"- {key}: {value}" for key, value in run_info.items()))
    print("\n".join(lines_of(rows)))
    if args.json:
        args.json.write_text(json.dumps({"about": run_info, "rows": [asdict(row) for row in rows]}, indent=1))
    if args.plot:
        plot(rows, args.plot)


if __name__ == "__main__":
    main()
