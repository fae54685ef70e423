"""What the console costs: bytes on the line by screen, and the proxy's time for a request.

    python -m benchmarks.console [--before FOLDER] [--seconds 8] [--rounds 3] [--rate 300]

The variants take turns in one run, so that the machine's moods fall on all alike: the program as it was in
FOLDER (a checkout of an earlier commit; left out if none is given), with no operators' file, with the
control socket and no console, with one and with eight. CPU is the proxy's own run time
(/proc/PID/schedstat) for each request served. Only ratios within one run mean something.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import statistics
import sys
import time
from collections import defaultdict
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from cloverrouter.lab.peers import Account, Client, Discovery, Proxy, running, working_host
from tests.standins.appliance import boxed
from tests.standins.terminal import on_terminal

VARIANTS = ("before", "off", "none", "one", "eight")
CONSOLES = {"one": 1, "eight": 8}
LINE_BAUD = 9600


def run_ns(pid: int) -> int:
    """CPU time of a process so far, all threads that it has now."""
    return sum(int(p.read_text().split()[0]) for p in Path(f"/proc/{pid}/task").glob("*/schedstat"))


def rss_kb(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


async def load(proxy: Proxy, rate: float, seconds: float) -> int:
    """`rate` requests a second on kept connections, sent by the clock; how many were served."""
    idle: list[Client] = []
    out: set[asyncio.Task[None]] = set()
    served = 0

    async def ask() -> None:
        nonlocal served
        client = idle.pop() if idle else await proxy.client()
        answer = await client.ask("/keyed")
        served += answer.status == 200
        if answer.headers.get("connection") == "close":
            client.writer.close()
        else:
            idle.append(client)

    begun = time.monotonic()
    for i in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, begun + i / rate - time.monotonic()))
        task = asyncio.get_running_loop().create_task(ask())
        out.add(task)
        task.add_done_callback(out.discard)
    await asyncio.gather(*out)
    for client in idle:
        client.writer.close()
    return served


async def measure(variant: str, before: str | None, rate: float, seconds: float) -> tuple[float, int, float]:
    """CPU microseconds a request, resident KB at the end, share served."""
    account = Account()
    hosts = [await working_host(f"s-{i}", account, 0.01) for i in range(3)]
    async with AsyncExitStack() as stack:
        if variant in ("before", "off"):
            discovery = await Discovery().start()
            discovery.holds = True
            environ = {"PYTHONPATH": before} if variant == "before" and before else {}
            command = [sys.executable, "-P", "-m", "cloverrouter.proxy"]
            environ = environ or {"PYTHONPATH": os.getcwd()}
            proxy = await stack.enter_async_context(
                running(discovery, hosts, environ=environ, command=command)
            )
        else:
            box, proxy, _ = await stack.enter_async_context(boxed(hosts))
            for _ in range(CONSOLES.get(variant, 0)):
                where = ("console", "--socket", str(box.socket))
                terminal, _ = await stack.enter_async_context(on_terminal(*where))
                await terminal.sees("s-2")
        await load(proxy, rate, 2.0)
        start = run_ns(proxy.process.pid)
        served = await load(proxy, rate, seconds)
        used = run_ns(proxy.process.pid) - start
        return used / 1000 / max(1, served), rss_kb(proxy.process.pid), served / int(rate * seconds)


async def attached(rate: float, seconds: float, rounds: int) -> None:
    """The same proxy with none, one and eight consoles in turns, under load and idle.

    Processes that are started one after the other differ by more than a console costs; one process, looked
    at in short turns, does not.
    """
    account = Account()
    hosts = [await working_host(f"s-{i}", account, 0.01) for i in range(3)]
    busy, idle = defaultdict[int, list[float]](list), defaultdict[int, list[float]](list)
    async with boxed(hosts) as (box, proxy, _):
        await load(proxy, rate, 2.0)
        for number in range(rounds):
            for count in (0, 1, 8) if number % 2 == 0 else (8, 1, 0):
                async with AsyncExitStack() as stack:
                    for _ in range(count):
                        where = ("console", "--socket", str(box.socket))
                        terminal, _ = await stack.enter_async_context(on_terminal(*where))
                        await terminal.sees("s-2")
                    await asyncio.sleep(0.5)
                    start = run_ns(proxy.process.pid)
                    served = await load(proxy, rate, seconds)
                    busy[count].append((run_ns(proxy.process.pid) - start) / 1000 / max(1, served))
                    await asyncio.sleep(0.2)
                    start = run_ns(proxy.process.pid)
                    await asyncio.sleep(seconds / 2)
                    idle[count].append((run_ns(proxy.process.pid) - start) / 1e6 / (seconds / 2))
    none = statistics.median(busy[0])
    print(f"one proxy in turns, {rounds} rounds of {seconds:g} s at {rate:g} requests a second (medians):")
    for count in (0, 1, 8):
        cpu, rest = statistics.median(busy[count]), statistics.median(idle[count])
        more = rest - statistics.median(idle[0])
        print(
            f"  {count} consoles: {cpu:.1f} us a request, {cpu / none:.3f} of none;"
            f" idle {rest:.2f} ms a second: {more:.2f} ms more,"
            f" {100 * more / (none * rate / 1000):.2f}% of what the load takes"
        )


async def bytes_by_screen(seconds: float, rate: float, servers: int) -> dict[str, Any]:
    """Bytes of the first paint, and bytes a second of each screen, on 9,600 baud under load."""
    account = Account()
    hosts = [await working_host(f"s-{i:02}", account, 0.01) for i in range(servers)]
    found: dict[str, Any] = {}
    async with boxed(hosts) as (box, proxy, _):
        loading = asyncio.create_task(load(proxy, rate, 6 * seconds + 30))
        async with on_terminal("console", "--socket", str(box.socket), baud=LINE_BAUD) as (terminal, _):
            found["first screen s"] = await terminal.sees(f"s-{min(servers, 14) - 1:02}", "all is well")
            found["first screen bytes"] = terminal.bytes
            for key, screen, head in (("1", "servers", "PAY"), ("2", "load", "GONE/s"),
                                      ("3", "failures", "REQUEST"), ("4", "events", "WHAT")):  # fmt: skip
                terminal.type(key)
                found[f"{screen} shown after s"] = await terminal.sees(head)
                await asyncio.sleep(2)
                before, begun = terminal.bytes, time.monotonic()
                await asyncio.sleep(seconds)
                found[f"{screen} bytes a second"] = (terminal.bytes - before) / (time.monotonic() - begun)
            terminal.type("1")
            await terminal.sees("PAY")
            echoes = []
            for number in range(1, 21):
                await asyncio.sleep(0.13)
                terminal.type("x")
                echoes.append(await terminal.sees("> " + "x" * number))
            found["key echo s, longest of 20"] = max(echoes)
            found["longest backlog bytes"] = terminal.longest_backlog
            terminal.type("\x15")
            effects = []
            for word, state in (("drain", "drained"), ("restore", "ready")) * 5:
                terminal.type(f"{word} s-00\r")
                effects.append(await terminal.sees(f"s-00         {state}"))
                await asyncio.sleep(0.4)
            found["command's effect on screen s, longest of 10"] = max(effects)
        loading.cancel()
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--before", help="a checkout of an earlier commit")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--only", choices=("bytes", "cpu"), help="half of it")
    told = parser.parse_args()
    # What the stand-ins still have open at the end of a run is cancelled, and would be written out each.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    for servers in (3, 17) if told.only != "cpu" else ():
        print(f"{servers} servers, 100 requests a second, 9,600 baud:")
        for name, value in asyncio.run(bytes_by_screen(told.seconds, 100.0, servers)).items():
            print(f"  {name}: {value:.2f}")
    if told.only == "bytes":
        return
    asyncio.run(attached(told.rate, told.seconds / 2, 3 * told.rounds))
    figures: dict[str, list[tuple[float, int, float]]] = defaultdict(list)
    variants = [v for v in VARIANTS if v != "before" or told.before]
    for number in range(told.rounds):
        for variant in variants if number % 2 == 0 else reversed(variants):
            figures[variant].append(asyncio.run(measure(variant, told.before, told.rate, told.seconds)))
    none = statistics.median(f[0] for f in figures["none"])
    least = min(f[0] for f in figures["none"])
    print(f"{told.rounds} rounds of {told.seconds:g} s at {told.rate:g} requests a second (medians):")
    for variant in variants:
        cpu = statistics.median(f[0] for f in figures[variant])
        spread = [f"{f[0]:.0f}" for f in figures[variant]]
        low = min(f[0] for f in figures[variant]) / least
        rss, share = statistics.median(f[1] for f in figures[variant]), min(f[2] for f in figures[variant])
        print(f"  {variant:<7}{cpu:7.1f} us a request ({', '.join(spread)}), {cpu / none:6.3f} of none "
              f"(least: {low:.3f}), {rss / 1024:5.1f} MB, served {share:.3f}")  # fmt: skip


if __name__ == "__main__":
    main()
