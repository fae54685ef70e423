"""How long nobody takes: after a kill, cut off from all, in a planned handover; and many schedules.

    python -m benchmarks.vrrp [--rounds 8] [--schedules 200000]

Two real proxies, a witness and a relay on loopback, under load; interval 0.1 s, promise 0.4 s. Times are read
from the boxes' own logs, on the machine's one clock. The RFC's bound for the backup is Active_Down_Interval
(3 intervals and Skew_Time), the note's that and the rest of a promise.
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
from tests.vrrp.test_loopback import INTERVAL_CS, PROMISE_MS, TAKES, a_takes, b_takes, load, pair, served_on

SKEW_MS = (256 - 100) * INTERVAL_CS * 10 / 256
DOWN_MS = 3 * INTERVAL_CS * 10 + SKEW_MS


async def one(kind: str, folder: Path) -> tuple[float, int]:
    """Milliseconds for which nobody took, and requests refused in the meantime."""
    async with pair(folder) as p:
        await p.until(a_takes)
        async with load(p):
            await served_on(p)
            refused = p.answers[503]
            if kind == "kill":
                begun_ms = now_ms()
                p.a.proxy.process.kill()
                await p.a.proxy.ended()
                while not (await p.b.told())["taking"]:
                    await asyncio.sleep(0.02)
            elif kind == "isolated":  # the active one is cut off from all: it must stop, the other begin
                p.relay.cut()
                p.to_witness[0].cut()
                while not (await p.b.told())["taking"] or (await p.a.told())["taking"]:
                    await asyncio.sleep(0.02)
                begun_ms = p.a.times()[-1][1]
            else:
                await p.a.do("handover")
                await p.until(b_takes)
                begun_ms = p.a.times()[-1][1]
            refused = p.answers[503] - refused
            gap_ms = float(TAKES.findall(p.b.proxy.log())[-1]) - begun_ms
    return gap_ms, refused


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--schedules", type=int, default=200_000, help="simulated, before that")
    told = parser.parse_args()
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    print(f"RFC's bound {DOWN_MS:.0f} ms; with the rest of a promise {DOWN_MS + PROMISE_MS:.0f} ms at most")
    if told.schedules:
        starts = range(0, told.schedules, 500)
        with ProcessPoolExecutor(mp_context=get_context("spawn")) as pool:
            results = list(pool.map(run_range, starts, [start + 500 for start in starts]))
        broken = [text for _, texts in results for text in texts]
        took = sum(count for count, _ in results)
        print(f"{500 * len(starts)} schedules: {took} in which somebody took, broken: {broken or 'none'}")
    for kind in ("handover", "kill", "isolated") if told.rounds else ():
        gaps, refusals = [], []
        for _ in range(told.rounds):
            with tempfile.TemporaryDirectory() as folder:
                gap_ms, refused = asyncio.run(one(kind, Path(folder)))
            gaps.append(gap_ms)
            refusals.append(refused)
        print(f"{kind}: median {statistics.median(gaps):.1f} ms, worst {max(gaps):.1f} ms;"
              f" refused in all {sum(refusals)}")  # fmt: skip


if __name__ == "__main__":
    main()
