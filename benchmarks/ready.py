"""Time until restarted proxies are ready: several at once on few cores, with a long list of known servers.

    python -m benchmarks.ready [--proxies 20] [--cores 2] [--servers 7000] [--rounds 1] [--bound 10]

Each round starts all of them at the same moment for each state of discovery: it answers; it is down (refuses
connections); it is silent (accepts connections and never answers); it is crowded (answers after 3 s, every
other call with 503); and, for proxies with no known servers, it answers ten calls a second. Only the started
processes are pinned to the cores, and only they are terminated. Fails if fewer than nine in ten are ready
within the bound.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from cloverrouter.lab.peers import SETTINGS, ok, read_message
from cloverrouter.lab.process import ProxyProcess, own_address

POLL_INTERVAL_S = 0.02
CROWDED_DELAY_S = 3.0  # delay of a crowded discovery's answer
STATES = ("answers", "down", "silent", "crowded", "nothing known")


def known(servers: int) -> dict[str, Any]:
    """Return a full list of servers as discovery sends it."""
    entries = [
        {
            "id": f"s-{i:08x}", "addr": f"127.32.{i // 250}.{i % 250 + 1}:3000", "zone": "abc"[i % 3],
            "kind": "m2", "cell": i % 8, "state": "active", "weight": 1.0,
            "started_ms": 1_700_000_000_000 + i,
        }
        for i in range(servers)
    ]  # fmt: skip
    return {"version": 41, "full": True, "servers": entries}


class Discovery:
    """A stand-in for discovery in one of `STATES`."""

    def __init__(self, state: str, full_list: dict[str, Any]) -> None:
        self.state, self.calls = state, 0
        self.first_target = ""  # target of the first call
        self._full_list = ok(json.dumps(full_list).encode())
        self._empty_delta = ok(json.dumps({**full_list, "full": False, "servers": []}).encode())
        self._one_at_a_time = asyncio.Lock()

    async def start(self) -> str:
        """Listen on a free port, and return the address; nothing listens there if the state is `down`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        if self.state == "down":
            self.close()
        return f"127.0.0.1:{port}"

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                target = (await read_message(reader)).start.split()[1]
                self.calls += 1
                self.first_target = self.first_target or target
                if self.state == "silent":
                    continue
                if self.state == "crowded":
                    await asyncio.sleep(CROWDED_DELAY_S)
                    if self.calls % 2:
                        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                        continue
                if self.state == "nothing known":
                    async with self._one_at_a_time:
                        await asyncio.sleep(CROWDED_DELAY_S / 30)
                if "from=" in target:
                    await asyncio.sleep(int(target.partition("hold_ms=")[2] or 0) / 1000)
                writer.write(self._empty_delta if "from=" in target else self._full_list)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # tasks are cancelled when this program ends
        finally:
            writer.close()


def configuration(
    number: int, proxies: int, discovery: str, known_list: dict[str, Any] | None
) -> dict[str, Any]:
    """Return the configuration of one proxy; `known_list` is its list of known servers, if any."""
    return {
        "name": f"n{number}", "listen": own_address(), "discovery": discovery, "seed": f"{number:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {**SETTINGS, "balancers": max(proxies, 200), "ordinal": number},
        **({} if known_list is None else {"known": known_list}),
    }  # fmt: skip


async def ready_s(proxy: ProxyProcess, begun_s: float, timeout_s: float) -> float:
    """Return the seconds until the health check succeeds; infinity if it doesn't, or the process ends."""
    while time.monotonic() - begun_s < timeout_s and proxy.up:
        if await proxy.health() == 200:
            return time.monotonic() - begun_s
        await asyncio.sleep(POLL_INTERVAL_S)
    return float("inf")


async def measure_ready_times(
    state: str, proxies: int, cores: int, full_list: dict[str, Any], folder: Path, timeout_s: float = 30.0
) -> tuple[list[float], list[float]]:
    """Start all proxies; return their times until ready in ascending order, and their processor times."""
    discovery = Discovery(state, full_list)
    address = await discovery.start()
    known_list = None if state == "nothing known" else full_list
    processes = [ProxyProcess(configuration(i, proxies, address, known_list), folder) for i in range(proxies)]
    own_cores = os.sched_getaffinity(0)
    proxy_cores = set(sorted(own_cores)[:cores])
    try:
        begun_s = time.monotonic()
        for proxy in processes:
            os.sched_setaffinity(0, proxy_cores)  # inherited by the started process
            try:
                proxy.start()
            finally:
                os.sched_setaffinity(0, own_cores)
        took = await asyncio.gather(*(ready_s(proxy, begun_s, timeout_s) for proxy in processes))
        return sorted(took), [proxy.cpu_s() for proxy in processes]
    finally:
        for proxy in processes:
            proxy.close()
        discovery.close()


def main() -> None:
    """Print a row for each state and round; exit with 1 if a round missed the bound."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--proxies", type=int, default=20)
    parser.add_argument("--cores", type=int, default=2)
    parser.add_argument("--servers", type=int, default=7000)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--bound", type=float, default=10.0)
    args = parser.parse_args()
    if not 1 <= args.proxies <= 60:
        parser.error(f"--proxies is {args.proxies}: must be from 1 to 60")
    if not 1 <= args.cores <= len(os.sched_getaffinity(0)):
        parser.error(f"--cores is {args.cores}: must be from 1 to {len(os.sched_getaffinity(0))}")
    full_list, failed = known(args.servers), False
    print(
        f"{args.proxies} at once on {args.cores} cores, {args.servers} servers; load {os.getloadavg()[0]:.1f}"
    )
    for state in STATES:
        for _ in range(args.rounds):
            with tempfile.TemporaryDirectory() as folder:
                took, cpu = asyncio.run(
                    measure_ready_times(
                        state, args.proxies, args.cores, full_list, Path(folder), 3 * args.bound
                    )
                )
            p90_s = took[-(-9 * len(took) // 10) - 1]
            failed |= p90_s > args.bound
            print(
                f"{state:14} ready after: half {took[len(took) // 2]:.2f} s, nine in ten {p90_s:.2f} s, "
                f"all {took[-1]:.2f} s; processor time each {max(cpu):.2f} s at most"
            )
    sys.exit(failed)


if __name__ == "__main__":
    main()
