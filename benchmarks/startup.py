"""Measure the processor time of a proxy's start, from exec to ready, against a bare interpreter and asyncio.

    python benchmarks/startup.py [--against CHECKOUT] [--rounds 15] [--servers 200]

Each round starts each of them once, in turn, so that other load on the machine affects all alike; the least
and the median of each are printed. `--against`: another checkout of this project, run by the same
interpreter. The cost matters because whole fleets restart at once, and a proxy that is limited to a fraction
of a core takes that much longer to start.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

HERE = Path(__file__).resolve().parents[1]
LISTEN = ("127.31.9.1", 3000)
READY_S = 30.0


def configuration(servers: int) -> dict[str, object]:
    """The proxy's configuration, with a list of `servers` servers that it knows at its start."""
    listed = [
        {
            "id": f"s-{i}",
            "addr": f"127.31.9.7:{4000 + i}",
            "zone": "abc"[i % 3],
            "state": "active",
            "started_ms": 0,
        }
        for i in range(servers)
    ]
    classes = [
        {"name": name, "aim_ms": 100.0, "deadline_ms": 400.0, "effect": effect, "window_ms": 2000.0}
        for name, effect in (("read", "retryable"), ("keyed", "dedup"), ("once", "fragile"))
    ]
    settings = {
        "balancers": 200, "ordinal": 0, "zone": "a", "bounds": {"max_attempts": 3}, "categories": classes,
        "discovery": "subscribe", "reporting": {"fields": ["inflight", "queue"]},
        "safety": {"cold_ms": 9000.0, "cold_share": 0.3, "fall_ms": 1500.0, "fall_multiple": 3.0,
                   "must_ask_in_ms": 10000.0},
    }  # fmt: skip
    return {
        "name": "n0", "listen": "{}:{}".format(*LISTEN), "discovery": "127.31.9.6:8500", "seed": "8c1f",
        "limits": {"sockets": 1024, "memory_mb": 192}, "settings": settings,
        "known": {"version": 1, "full": True, "servers": listed},
    }  # fmt: skip


def cpu_ms(pid: int) -> float:
    """Processor time of the process's first thread (proc(5), schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e6


def ready() -> bool:
    """Whether the proxy's health check answers 200."""
    try:
        with socket.create_connection(LISTEN, timeout=READY_S) as client:
            client.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return client.recv(64).startswith(b"HTTP/1.1 200")
    except ConnectionRefusedError:
        return False


def start(checkout: Path, config: Path) -> float:
    """Milliseconds of processor time until the proxy has answered that it is ready."""
    command = [sys.executable, "-m", "cloverrouter.proxy"]
    environ = {**os.environ, "PROXY_CONFIG": str(config)}
    with subprocess.Popen(command, cwd=checkout, env=environ, stderr=subprocess.DEVNULL) as process:
        try:
            until_s = time.monotonic() + READY_S
            while not ready():
                if process.poll() is not None or time.monotonic() > until_s:
                    raise SystemExit(f"{checkout}: the proxy was not ready, exit code {process.poll()}")
                time.sleep(0.005)
            return cpu_ms(process.pid)
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait(READY_S)


def run(code: str) -> float:
    """Milliseconds of processor time of an interpreter that runs `code`."""
    process = subprocess.Popen([sys.executable, "-c", code])
    _, _, used = os.wait4(process.pid, 0)
    process.returncode = 0
    return (used.ru_utime + used.ru_stime) * 1000


def main() -> None:
    """Start each variant in turn and print the least and the median time of each."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--against", type=Path, help="another checkout of this project")
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--servers", type=int, default=200, help="in the list that a proxy starts with")
    options = parser.parse_args()
    found: dict[str, list[float]] = {}
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(configuration(options.servers), file)
        file.flush()
        for checkout in (HERE, options.against):
            if checkout is not None:  # the build of the deployment compiles, too
                subprocess.run(
                    [sys.executable, "-m", "compileall", "-q", "cloverrouter"], cwd=checkout, check=True
                )
        for i in range(options.rounds + 1):
            times_ms = {"interpreter": run("pass"), "asyncio": run("import asyncio")}
            if options.against is not None:
                times_ms["against"] = start(options.against.resolve(), Path(file.name))
            times_ms["this"] = start(HERE, Path(file.name))
            for name, ms in times_ms.items() if i else ():  # the first round fills the file cache
                found.setdefault(name, []).append(ms)
    print(f"{options.rounds} starts of each, {options.servers} servers known; ms of processor time")
    for name, all_ms in found.items():
        print(f"{name:12} least {min(all_ms):6.1f}  median {median(all_ms):6.1f}")


if __name__ == "__main__":
    main()
