"""Processor time of the decision module alone, in this process: for a served request and for a list.

    python benchmarks/choices.py [--sizes 16,7000] [--deadlines 0.4,3] [--proxies each|N]

Reports mean milliseconds of processor time at a simulated 100 requests a second. `arrival`: from the arrival
of a request until its attempt is sent; `end`: handling the answer; `empty` and `one`: applying a list of
changes with no server and with one. The time of individual methods comes from a separate run, as wall-clock
time that includes their callees. The package is imported from the working directory: to measure another
checkout, run the script in its root.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections.abc import Callable
from functools import wraps
from typing import Any

if __name__ == "__main__":
    sys.path.insert(0, os.getcwd())

from cloverrouter import decide
from cloverrouter.interface import AttemptEnded, EndpointsListed, ListKind, Outcome, RequestArrived, Send
from cloverrouter.proxy.config import UnixClock, read_list, read_settings

ARRIVAL_INTERVAL_MS, SERVICE_TIME_MS, REQUEST_TIMEOUT_MS = 10.0, 1.0, 400.0
LIST_INTERVAL_MS = 100.0
TIMED_METHODS = (("Membership", "subset"), ("Balancer", "_may_send"), ("Picker", "pick"),
         ("Balancer", "_decay_scores"))  # fmt: skip


def settings(deadline_s: float, proxies: int, watched: bool) -> dict[str, Any]:
    """Return proxy settings with one request class; `watched` selects subscription to discovery."""
    request_class = {
        "name": "read",
        "aim_ms": deadline_s * 250,
        "deadline_ms": deadline_s * 1000,
        "effect": "retryable",
    }
    return {
        "balancers": proxies, "ordinal": 0, "zone": "a", "discovery": "subscribe" if watched else "pushed",
        "bounds": {"max_attempts": 3, "connect_timeout_ms": 250.0, "conn_idle_ms": 60000.0},
        "categories": [request_class], "reporting": {"fields": ["inflight", "queue"]},
        "safety": {"cold_ms": 9000.0, "cold_share": 0.3, "fall_ms": 1500.0, "fall_multiple": 3.0,
                   "must_ask_in_ms": 400.0},
    }  # fmt: skip


class DecisionDriver:
    """The decision module of a proxy that knows `servers` servers, driven by a simulated clock."""

    def __init__(self, servers: int, deadline_s: float, proxies: int) -> None:
        self.balancer = decide.Balancer(read_settings(settings(deadline_s, proxies, True)), 1)
        servers_listed = [
            {"id": f"s-{i:08x}", "addr": f"127.0.0.1:{4000 + i % 32}", "zone": "abc"[i % 3], "cell": 1,
             "state": "active", "weight": 1.0, "started_ms": 0}
            for i in range(servers)
        ]  # fmt: skip
        found = read_list({"version": 1, "full": True, "servers": servers_listed}, UnixClock())
        self._listed = tuple(entry.listed for entry in found.entries)
        self._now_ms = 1000.0
        self._request_count = 0
        self.balancer.handle(0.0, [EndpointsListed(ListKind.RESTORED, self._listed)])

    def measure_requests(self, count: int) -> tuple[float, float]:
        """Return the mean milliseconds for an arrival and for an end.

        Raises SystemExit if a request is not sent at once.
        """
        arrivals_s = ends_s = 0.0
        for _ in range(count):
            self._request_count += 1
            self._now_ms += ARRIVAL_INTERVAL_MS
            event = RequestArrived(self._request_count, "read", self._now_ms + REQUEST_TIMEOUT_MS)
            begun_s = time.process_time()
            actions = self.balancer.handle(self._now_ms, [event])
            arrivals_s += time.process_time() - begun_s
            if not any(isinstance(action, Send) for action in actions):
                raise SystemExit(f"request {self._request_count} was not sent: {actions}")
            end = AttemptEnded(self._request_count, 0, Outcome.OK, SERVICE_TIME_MS, True, (1.0, 0.0))
            begun_s = time.process_time()
            self.balancer.handle(self._now_ms + SERVICE_TIME_MS, [end])
            ends_s += time.process_time() - begun_s
        return arrivals_s / count * 1000, ends_s / count * 1000

    def measure_lists(self, count: int, entries: int) -> float:
        """Return the mean milliseconds for a list of changes with `entries` servers."""
        took_s = 0.0
        for _ in range(count):
            self._now_ms += LIST_INTERVAL_MS
            event = EndpointsListed(ListKind.DELTA, self._listed[:entries])
            begun_s = time.process_time()
            self.balancer.handle(self._now_ms, [event])
            took_s += time.process_time() - begun_s
        return took_s / count * 1000


def measure_methods(driver: DecisionDriver, count: int) -> dict[str, float]:
    """Return the mean milliseconds per request in each timed method that this checkout has."""
    took_s: dict[str, float] = {}
    originals: list[tuple[Any, str, Callable[..., Any]]] = []
    for owner, name in TIMED_METHODS:
        cls = getattr(decide, owner, None)
        if cls is None or not hasattr(cls, name):
            continue
        original = getattr(cls, name)
        originals.append((cls, name, original))
        took_s[name] = 0.0

        @wraps(original)
        def timed(*args: Any, original: Any = original, name: str = name, **kwargs: Any) -> Any:
            begun_s = time.perf_counter()
            try:
                return original(*args, **kwargs)
            finally:
                took_s[name] += time.perf_counter() - begun_s

        setattr(cls, name, timed)
    try:
        driver.measure_requests(count)
    finally:
        for cls, name, original in originals:
            setattr(cls, name, original)
    return {name: s / count * 1000 for name, s in took_s.items()}


def main() -> None:
    """Print one row for each combination of deadline and number of servers."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", default="16,7000")
    parser.add_argument("--deadlines", default="0.4,3")
    parser.add_argument("--proxies", default="each")
    args = parser.parse_args()
    print(f"{decide.__file__}: ms of processor time")
    for deadline_s in map(float, args.deadlines.split(",")):
        for size in map(int, args.sizes.split(",")):
            proxies = size if args.proxies == "each" else int(args.proxies)
            driver, count = DecisionDriver(size, deadline_s, proxies), 3000 if size < 1000 else 600
            arrival, end = driver.measure_requests(count)
            split = ", ".join(f"{name} {ms:.3f}" for name, ms in measure_methods(driver, count).items())
            empty, one = driver.measure_lists(50, 0), driver.measure_lists(50, 1)
            print(
                f"{size:,} servers, {proxies:,} proxies, {deadline_s:g} s: arrival {arrival:.3f} ({split}), "
                f"end {end:.3f}, empty {empty:.3f}, one {one:.3f}"
            )


if __name__ == "__main__":
    main()
