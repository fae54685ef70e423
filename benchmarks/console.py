"""Measure what the console costs: bytes on the line for each screen, and the proxy's CPU time per request.

    python -m benchmarks.console [--before FOLDER] [--seconds 8] [--rounds 3] [--rate 300]

The variants take turns within one run, so that other load on the machine affects all alike: the program in
FOLDER (a checkout of an earlier commit; left out if none is given), without an operators' file, with the
control socket and no console, with one console and with eight. CPU is the proxy's own run time
(/proc/PID/schedstat) for each request served. Only ratios within one run are comparable.
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
from tests.standins.appliance import running_appliance
from tests.standins.terminal import on_terminal

VARIANTS = ("before", "off", "none", "one", "eight")
CONSOLES = {"one": 1, "eight": 8}
LINE_BAUD = 9600


def run_ns(pid: int) -> int:
    """CPU time of a process so far, summed over the threads that it has now."""
    return sum(int(p.read_text().split()[0]) for p in Path(f"/proc/{pid}/task").glob("*/schedstat"))


def rss_kb(pid: int) -> int:
    """Resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


async def load(proxy: Proxy, rate: float, seconds: float) -> int:
    """Send `rate` requests a second on kept connections at fixed times and return how many were served."""
    idle: list[Client] = []
    in_flight: set[asyncio.Task[None]] = set()
    served = 0

    async def send_request() -> None:
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
        task = asyncio.get_running_loop().create_task(send_request())
        in_flight.add(task)
        task.add_done_callback(in_flight.discard)
    await asyncio.gather(*in_flight)
    for client in idle:
        client.writer.close()
    return served


async def measure(variant: str, before: str | None, rate: float, seconds: float) -> tuple[float, int, float]:
    """CPU microseconds per request, resident KB at the end, and the share served."""
    account = Account()
    hosts = [await working_host(f"s-{i}", account, 0.01) for i in range(3)]
    async with AsyncExitStack() as stack:
        if variant in ("before", "off"):
            discovery = await Discovery().start()
            discovery.ends_idle_watches = True
            environ = {"PYTHONPATH": before} if variant == "before" and before else {}
            command = [sys.executable, "-P", "-m", "cloverrouter.proxy"]
            environ = environ or {"PYTHONPATH": os.getcwd()}
            proxy = await stack.enter_async_context(
                running(discovery, hosts, environ=environ, command=command)
            )
        else:
            appliance, proxy, _ = await stack.enter_async_context(running_appliance(hosts))
            for _ in range(CONSOLES.get(variant, 0)):
                command_line = ("console", "--socket", str(appliance.socket))
                terminal, _ = await stack.enter_async_context(on_terminal(*command_line))
                await terminal.sees("s-2")
        await load(proxy, rate, 2.0)
        start = run_ns(proxy.process.pid)
        served = await load(proxy, rate, seconds)
        used = run_ns(proxy.process.pid) - start
        return used / 1000 / max(1, served), rss_kb(proxy.process.pid), served / int(rate * seconds)


async def measure_consoles(rate: float, seconds: float, rounds: int) -> None:
    """Measure one proxy with none, one and eight consoles in turns, under load and idle.

    Separately started processes differ by more than a console costs; short turns on one process don't.
    """
    account = Account()
    hosts = [await working_host(f"s-{i}", account, 0.01) for i in range(3)]
    busy, idle = defaultdict[int, list[float]](list), defaultdict[int, list[float]](list)
    async with running_appliance(hosts) as (appliance, proxy, _):
        await load(proxy, rate, 2.0)
        for number in range(rounds):
            for count in (0, 1, 8) if number % 2 == 0 else (8, 1, 0):
                async with AsyncExitStack() as stack:
                    for _ in range(count):
                        command_line = ("console", "--socket", str(appliance.socket))
                        terminal, _ = await stack.enter_async_context(on_terminal(*command_line))
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
    """Bytes of the first screen and bytes a second of each screen, on 9,600 baud under load."""
    account = Account()
    hosts = [await working_host(f"s-{i:02}", account, 0.01) for i in range(servers)]
    found: dict[str, Any] = {}
    async with running_appliance(hosts) as (appliance, proxy, _):
        loading = asyncio.create_task(load(proxy, rate, 6 * seconds + 30))
        async with on_terminal("console", "--socket", str(appliance.socket), baud=LINE_BAUD) as (terminal, _):
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
    """Run the selected measurements and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--before", help="a checkout of an earlier commit")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--only", choices=("bytes", "cpu"), help="run only one half")
    options = parser.parse_args()
    # Tasks that the stand-ins still have open at the end of a run are cancelled; asyncio would log each.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    for servers in (3, 17) if options.only != "cpu" else ():
        print(f"{servers} servers, 100 requests a second, 9,600 baud:")
        for name, value in asyncio.run(bytes_by_screen(options.seconds, 100.0, servers)).items():
            print(f"  {name}: {value:.2f}")
    if options.only == "bytes":
        return
    asyncio.run(measure_consoles(options.rate, options.seconds / 2, 3 * options.rounds))
    figures: dict[str, list[tuple[float, int, float]]] = defaultdict(list)
    variants = [v for v in VARIANTS if v != "before" or options.before]
    for number in range(options.rounds):
        for variant in variants if number % 2 == 0 else reversed(variants):
            figures[variant].append(
                asyncio.run(measure(variant, options.before, options.rate, options.seconds))
            )
    none = statistics.median(f[0] for f in figures["none"])
    least = min(f[0] for f in figures["none"])
    print(
        f"{options.rounds} rounds of {options.seconds:g} s at {options.rate:g} requests a second (medians):"
    )
    for variant in variants:
        cpu = statistics.median(f[0] for f in figures[variant])
        spread = [f"{f[0]:.0f}" for f in figures[variant]]
        low = min(f[0] for f in figures[variant]) / least
        rss, share = statistics.median(f[1] for f in figures[variant]), min(f[2] for f in figures[variant])
        print(f"  {variant:<7}{cpu:7.1f} us a request ({', '.join(spread)}), {cpu / none:6.3f} of none "
              f"(least: {low:.3f}), {rss / 1024:5.1f} MB, served {share:.3f}")  # fmt: skip


if __name__ == "__main__":
    main()
