"""What is off costs nothing: without an operators' file `run` loads what it always did."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path

import pytest

from cloverrouter.lab.peers import Discovery, Host, Proxy, running
from tests.standins.appliance import boxed

DIRECTIONS = (
    "site", "roster", "control", "console", "demo", "vrrp", "compose", "seams", "cli", "lab", "strict",
    "http3", "logs", "leases", "rights", "datagrams", "post",
)  # fmt: skip
LIBRARIES = (
    "msgspec", "tomllib", "curses", "numpy", "hdrh", "matplotlib", "aioquic", "cryptography", "pylsqpack",
)  # fmt: skip


def modules(log: str) -> set[str]:
    """The names that `-X importtime` has written."""
    return {line.rpartition("|")[2].strip() for line in log.splitlines() if line.startswith("import time:")}


# What `run` may load beside asyncio, which takes most of a start: each module more is paid for by every proxy
# of a fleet that restarts at once, divided by its part of a core.
BESIDE_ASYNCIO = {
    "__future__", "_bisect", "_json", "_random", "_sha512", "bisect", "copy", "dataclasses", "fcntl", "gc",
    "httptools", "importlib", "json", "org", "pkgutil", "random", "resource", "runpy", "zlib",
}  # fmt: skip


def rss_kb(proxy: Proxy) -> int:
    lines = Path(f"/proc/{proxy.process.pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


def test_without_a_file_no_direction_and_no_further_library_is_loaded() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0").start()], await Discovery().start()
        command = [sys.executable, "-X", "importtime", "-m", "cloverrouter.proxy"]
        async with running(discovery, hosts, command=command) as proxy:
            client = await proxy.client()
            assert (await client.ask("/keyed")).status == 200
            proxy.process.terminate()
            assert await proxy.ended() == 0
            loaded = modules(proxy.log())
            assert "cloverrouter.proxy.node" in loaded  # the list is there
            ours = {name for name in loaded if name.startswith("cloverrouter.")}
            assert not [name for name in ours if name.split(".")[1] in DIRECTIONS]
            assert "cloverrouter.proxy.tally" not in ours
            assert not [name for name in loaded if name.split(".")[0] in LIBRARIES]
            bare = [
                sys.executable,
                "-X",
                "importtime",
                "-c",
                "import sys; sys.modules['ssl'] = None; import asyncio",
            ]
            usual = modules(subprocess.run(bare, capture_output=True, text=True, check=True).stderr)
            more = {name.split(".")[0] for name in loaded - usual - ours} - {"cloverrouter"}
            assert more <= BESIDE_ASYNCIO, f"loaded on top: {sorted(more - BESIDE_ASYNCIO)}"

    asyncio.run(scene())


@pytest.mark.parametrize("site", ["", "site.toml"])
def test_what_needs_tls_finds_it_and_the_collector_runs_once_all_is_loaded(site: str) -> None:
    code = (
        "import gc, sys; from cloverrouter.proxy.__main__ import main; code = main(); "
        "import asyncio.sslproto as tls, ssl; "
        "print(code, gc.isenabled(), gc.get_freeze_count() > 1000, tls.ssl is ssl)"
    )
    environ = {**os.environ, "PROXY_CONFIG": "/none", "PROXY_SITE": site}
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, env=environ, check=True
    )
    assert done.stdout.split() == ["2", "True", "True", str(bool(site))]


def test_without_a_file_it_takes_less_memory_than_with_one() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0").start()], await Discovery().start()
        async with running(discovery, hosts) as proxy, boxed(hosts) as (_, boxed_proxy, _):
            for each in (proxy, boxed_proxy):
                client = await each.client()
                for _ in range(50):
                    assert (await client.ask("/keyed")).status == 200
            assert rss_kb(proxy) < rss_kb(boxed_proxy)

    asyncio.run(scene())
