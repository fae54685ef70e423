"""Measure how long neither proxy of a VRRP pair accepts connections, and check simulated schedules.

The gap is measured after a kill, after an isolation of the active proxy, and in a planned handover.

    python -m benchmarks.vrrp [--rounds 8] [--schedules 200000]

Two real proxies, a witness and a relay run on loopback, under load, with an interval of 0.1 s and a lease
grant of 0.4 s. Times are read from the proxies' own logs, which use the same clock. The RFC bounds the
backup's delay by Active_Down_Interval (3 intervals and Skew_Time); with leases, the rest of a lease grant is
added to it.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

from cloverrouter.lab.pairs import run_range
from cloverrouter.vrrp.shell import now_ms
from tests.vrrp.test_loopback import (
    ACCEPTING_FROM,
    INTERVAL_CS,
    PROMISE_MS,
    a_accepts,
    b_accepts,
    load,
    running_pair,
    wait_for_answers,
)

SKEW_MS = (256 - 100) * INTERVAL_CS * 10 / 256
DOWN_MS = 3 * INTERVAL_CS * 10 + SKEW_MS


async def measure(kind: str, folder: Path) -> tuple[float, int]:
    """Milliseconds in which neither proxy accepted connections, and requests refused in the meantime."""
    async with running_pair(folder) as pair:
        await pair.until(a_accepts)
        async with load(pair):
            await wait_for_answers(pair)
            refused = pair.answers[503]
            if kind == "kill":
                begun_ms = now_ms()
                pair.a.proxy.process.kill()
                await pair.a.proxy.ended()
                while not (await pair.b.status())["taking"]:
                    await asyncio.sleep(0.02)
            elif kind == "isolated":  # the active proxy is cut off: it must stop, and the other one begin
                pair.relay.cut()
                pair.to_witness[0].cut()
                while not (await pair.b.status())["taking"] or (await pair.a.status())["taking"]:
                    await asyncio.sleep(0.02)
                begun_ms = pair.a.accepted_spans()[-1][1]
            else:
                await pair.a.run_action("handover")
                await pair.until(b_accepts)
                begun_ms = pair.a.accepted_spans()[-1][1]
            refused = pair.answers[503] - refused
            gap_ms = float(ACCEPTING_FROM.findall(pair.b.proxy.log())[-1]) - begun_ms
    return gap_ms, refused


def main() -> None:
    """Run the simulated schedules and the rounds of each kind, and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--schedules", type=int, default=200_000, help="simulated, before that")
    options = parser.parse_args()
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    print(f"RFC's bound {DOWN_MS:.0f} ms; with the rest of a promise {DOWN_MS + PROMISE_MS:.0f} ms at most")
    if options.schedules:
        starts = range(0, options.schedules, 500)
        with ProcessPoolExecutor(mp_context=get_context("spawn")) as pool:
            results = list(pool.map(run_range, starts, [start + 500 for start in starts]))
        broken = [text for _, texts in results for text in texts]
        accepted = sum(count for count, _ in results)
        print(f"{500 * len(starts)} schedules: {accepted} in which somebody took, broken: {broken or 'none'}")
    for kind in ("handover", "kill", "isolated") if options.rounds else ():
        gaps, refusals = [], []
        for _ in range(options.rounds):
            with tempfile.TemporaryDirectory() as folder:
                gap_ms, refused = asyncio.run(measure(kind, Path(folder)))
            gaps.append(gap_ms)
            refusals.append(refused)
        print(f"{kind}: median {statistics.median(gaps):.1f} ms, worst {max(gaps):.1f} ms;"
              f" refused in all {sum(refusals)}")  # fmt: skip


if __name__ == "__main__":
    main()
