"""The demo's world: the lab's stand-ins around the real proxy, on loopback, with limits on rate and duration.

    python -m cloverrouter.demo.world CONFIG

CONFIG is JSON: `servers`, `rate` (requests per second), `seconds`, `folder` and `site`, the settings file.
The process ends the proxy and exits after `seconds`, or when its standard input is closed.
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

from cloverrouter.lab.scenario import MAX_REQUESTS, Scenario, build, load, plain
from cloverrouter.lab.sockets import SocketRun

MAX_RATE, MAX_SECONDS, MAX_SERVERS, MAX_FAULTS = 200.0, 24 * 3600.0, 20, 400
FAULT_INTERVAL_S, FAULT_DURATION_S = 40.0, 8.0


def demo_scenario(options: dict[str, Any]) -> Scenario:
    """The scenario "village" with the rate, duration and number of servers from `options`.

    Every `FAULT_INTERVAL_S` one server fails half of its requests, so that the console shows faults.
    """
    rate = min(MAX_RATE, max(0.0, float(options["rate"])))
    seconds = min(MAX_SECONDS, max(1.0, float(options["seconds"])))
    if rate:
        seconds = min(seconds, MAX_REQUESTS / rate)
    settings = plain(load("village"))
    settings["seconds"] = seconds
    settings["office"][0]["rate"] = rate
    settings["servers"][0]["count"] = max(1, min(MAX_SERVERS, int(options["servers"])))
    settings["proxies"] = {"retry_after": True, "sockets": 512}
    settings["fault"] = [
        {"kind": "fail", "at_s": at_s, "for_s": FAULT_DURATION_S, "count": 1, "share": 0.5}
        for i in range(1, MAX_FAULTS)
        if (at_s := i * FAULT_INTERVAL_S) < seconds
    ]
    return build(settings, "demo")


async def run(options: dict[str, Any]) -> None:
    command = [sys.executable, "-m", "cloverrouter", "run", "--site", options["site"]]
    play = SocketRun(demo_scenario(options), 1, Path(options["folder"]), command)
    stdin_closed = asyncio.get_running_loop().run_in_executor(
        None, sys.stdin.read
    )  # returns at EOF, however the parent process ends
    play_task = asyncio.ensure_future(play.run())
    done, _ = await asyncio.wait((stdin_closed, play_task), return_when=asyncio.FIRST_COMPLETED)
    if play_task in done:
        play_task.result()
    else:
        play_task.cancel()
        with suppress(asyncio.CancelledError):
            await play_task


if __name__ == "__main__":
    try:
        asyncio.run(run(json.loads(sys.argv[1])))
    except Exception:
        traceback.print_exc()
    # A normal exit would wait for the executor's thread, which is still blocked in stdin.read().
    sys.stderr.flush()
    os._exit(0)
