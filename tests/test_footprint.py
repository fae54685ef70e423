"""Disabled extensions cost nothing: without an operators' file, none of their modules is imported."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path

import pytest

from cloverrouter.lab.peers import Discovery, Host, Proxy, running
from tests.standins.appliance import running_appliance

EXTENSIONS = (
    "site", "roster", "control", "console", "demo", "vrrp", "compose", "seams", "cli", "lab", "strict",
    "http3", "logs", "leases", "rights", "datagrams", "post",
)  # fmt: skip
LIBRARIES = (
    "msgspec", "tomllib", "curses", "numpy", "hdrh", "matplotlib", "aioquic", "cryptography", "pylsqpack",
)  # fmt: skip


def imported_modules(log: str) -> set[str]:
    """Return the module names in the output of `-X importtime`."""
    return {line.rpartition("|")[2].strip() for line in log.splitlines() if line.startswith("import time:")}


# Modules that the proxy may import in addition to asyncio, which takes most of the startup time. Each further
# one delays every proxy of a fleet that restarts at once, each on a fraction of a core.
ALLOWED_MODULES = {
    "__future__", "_bisect", "_json", "_random", "_sha512", "bisect", "copy", "dataclasses", "fcntl", "gc",
    "httptools", "importlib", "json", "org", "pkgutil", "random", "resource", "runpy", "zlib",
}  # fmt: skip


def rss_kb(proxy: Proxy) -> int:
    lines = Path(f"/proc/{proxy.process.pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


def test_without_a_file_no_extension_and_no_further_library_is_imported() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0").start()], await Discovery().start()
        command = [sys.executable, "-X", "importtime", "-m", "cloverrouter.proxy"]
        async with running(discovery, hosts, command=command) as proxy:
            client = await proxy.client()
            assert (await client.ask("/keyed")).status == 200
            proxy.process.terminate()
            assert await proxy.ended() == 0
            loaded = imported_modules(proxy.log())
            assert "cloverrouter.proxy.node" in loaded  # the import log was read
            own = {name for name in loaded if name.startswith("cloverrouter.")}
            assert not [name for name in own if name.split(".")[1] in EXTENSIONS]
            assert "cloverrouter.proxy.tally" not in own
            assert not [name for name in loaded if name.split(".")[0] in LIBRARIES]
            asyncio_command = [
                sys.executable,
                "-X",
                "importtime",
                "-c",
                "import sys; sys.modules['ssl'] = None; import asyncio",
            ]
            with_asyncio = imported_modules(
                subprocess.run(asyncio_command, capture_output=True, text=True, check=True).stderr
            )
            added = {name.split(".")[0] for name in loaded - with_asyncio - own} - {"cloverrouter"}
            assert added <= ALLOWED_MODULES, f"also imported: {sorted(added - ALLOWED_MODULES)}"

    asyncio.run(scene())


@pytest.mark.parametrize("site", ["", "site.toml"])
def test_tls_is_available_with_a_file_and_garbage_collection_is_on_after_the_imports(site: str) -> None:
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


def test_proxy_without_a_file_uses_less_memory_than_one_with_a_file() -> None:
    async def scene() -> None:
        hosts, discovery = [await Host("h0").start()], await Discovery().start()
        async with running(discovery, hosts) as proxy, running_appliance(hosts) as (_, boxed_proxy, _):
            for current in (proxy, boxed_proxy):
                client = await current.client()
                for _ in range(50):
                    assert (await client.ask("/keyed")).status == 200
            assert rss_kb(proxy) < rss_kb(boxed_proxy)

    asyncio.run(scene())
