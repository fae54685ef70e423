"""The demo's world: the lab's stand-ins round the real proxy, on loopback, bounded in rate and time.

    python -m cloverrouter.demo.world CONFIG

CONFIG is JSON: `servers`, `rate` (requests a second), `seconds`, `folder` and `site`, the operators' file. It
ends after its seconds, or when its standard input is closed, and ends the proxy with it.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import traceback
from contextlib import suppress
from pathlib import Path
from typing import Any

from cloverrouter.lab.scenario import MOST_REQUESTS, Scenario, build, load, plain
from cloverrouter.lab.sockets import Play

MOST_RATE, MOST_SECONDS, MOST_SERVERS, MOST_FAULTS = 200.0, 24 * 3600.0, 20, 400
TROUBLE_EVERY_S, TROUBLE_S = 40.0, 8.0


def scenario_of(told: dict[str, Any]) -> Scenario:
    """The village, as large as wished; from time to time one server fails half of what it gets, so that there
    is something to see."""
    rate = min(MOST_RATE, max(0.0, float(told["rate"])))
    seconds = min(MOST_SECONDS, max(1.0, float(told["seconds"])))
    if rate:
        seconds = min(seconds, MOST_REQUESTS / rate)
    village = plain(load("village"))
    village["seconds"] = seconds
    village["office"][0]["rate"] = rate
    village["servers"][0]["count"] = max(1, min(MOST_SERVERS, int(told["servers"])))
    village["proxies"] = {"retry_after": True, "sockets": 512}
    village["fault"] = [
        {"kind": "fail", "at_s": at_s, "for_s": TROUBLE_S, "count": 1, "share": 0.5}
        for i in range(1, MOST_FAULTS)
        if (at_s := i * TROUBLE_EVERY_S) < seconds
    ]
    return build(village, "demo")


async def run(told: dict[str, Any]) -> None:
    command = [sys.executable, "-m", "cloverrouter", "run", "--site", told["site"]]
    play = Play(scenario_of(told), 1, Path(told["folder"]), command)
    parent = asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # ends with the parent, however
    playing = asyncio.ensure_future(play.run())
    done, _ = await asyncio.wait((parent, playing), return_when=asyncio.FIRST_COMPLETED)
    if playing in done:
        playing.result()
    else:
        playing.cancel()
        with suppress(asyncio.CancelledError):
            await playing


if __name__ == "__main__":
    try:
        asyncio.run(run(json.loads(sys.argv[1])))
    except Exception:
        traceback.print_exc()
    # The thread that waits for the parent's end would keep the process from ending by itself.
    sys.stderr.flush()
    os._exit(0)
