"""Signals at the moments in which no event loop takes them: the first steps of a process, and its last."""

from __future__ import annotations

import asyncio
import signal
import sys
import tomllib
from pathlib import Path

import pytest

from cloverrouter.lab.peers import Discovery, Host, Proxy, running
from cloverrouter.lab.process import ROOT
from tests.faults.test_decision_failure import COMMAND as FAILING

STORM = (signal.SIGHUP, signal.SIGTERM)
RUNS = 4


async def storm(proxy: Proxy) -> None:
    """Signals up to the process's very end."""
    while proxy.up:
        for number in STORM:
            proxy.signal(number)
        await asyncio.sleep(0.0005)


def ignores_sighup(proxy: Proxy) -> bool:
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    ignored = int(status.partition("SigIgn:")[2].split()[0], 16)
    return bool(ignored & 1 << signal.SIGHUP - 1)


def test_signals_at_the_end_do_not_change_the_exit_code() -> None:
    """`loop.close()` gives SIGHUP and SIGTERM their default actions back, which end a process."""

    async def scene() -> None:
        host, discovery = await Host("h0").start(), await Discovery().start()
        for _ in range(RUNS):
            async with running(discovery, [host]) as proxy:
                client = await proxy.client()
                assert (await client.ask("/unsafe")).status == 200
                proxy.signal(signal.SIGTERM)
                await storm(proxy)
                assert proxy.process.returncode == 0, proxy.log()

    asyncio.run(scene())


def test_signals_at_the_end_after_failed_decisions_do_not_change_the_exit_code() -> None:
    async def scene() -> None:
        host, discovery = await Host("h0").start(), await Discovery().start()
        for _ in range(RUNS):
            async with running(discovery, [host], command=FAILING) as proxy:
                client = await proxy.client()
                client.writer.write(
                    b"GET /safe HTTP/1.1\r\nX-Request-ID: fatal\r\nX-Timeout-Ms: 2000\r\n\r\n"
                )
                await storm(proxy)
                assert proxy.process.returncode == 1, proxy.log()

    asyncio.run(scene())


def test_sighup_from_the_first_moment_on_does_not_keep_a_proxy_from_starting() -> None:
    """As the deploy file starts it; the interpreter itself takes some hundredths of a second to begin."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        run: str = tomllib.load(file)["run"]
    command = run.replace(".venv/bin/python", sys.executable)
    assert command != run

    async def scene() -> None:
        host, discovery = await Host("h0").start(), await Discovery().start()

        async def hang_up(proxy: Proxy) -> None:
            while not ignores_sighup(proxy):  # the shell's first millisecond
                await asyncio.sleep(0)
            while True:
                proxy.signal(signal.SIGHUP)
                await asyncio.sleep(0.001)

        real = Proxy.start
        storms: list[asyncio.Task[None]] = []

        def start(self: Proxy) -> None:
            real(self)
            storms.append(asyncio.get_running_loop().create_task(hang_up(self)))

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Proxy, "start", start)
            async with running(discovery, [host], command=command) as proxy:
                client = await proxy.client()
                assert (await client.ask("/unsafe")).status == 200
                storms[0].cancel()
                proxy.signal(signal.SIGTERM)
                assert await proxy.ended() == 0

    asyncio.run(scene())


@pytest.mark.parametrize("target", ["/new", "/unsafe"])
def test_configuration_that_changes_as_the_process_starts_is_read_again(target: str) -> None:
    command = [sys.executable, "-m", "tests.faults.changing_configuration"]

    async def scene() -> None:
        host, discovery = await Host("h0").start(), await Discovery().start()
        async with running(discovery, [host], command=command) as proxy:
            await proxy.logged("settings: classes")
            client = await proxy.client()
            assert (await client.ask(target)).status == 200

    asyncio.run(scene())


def test_modules_of_faults_are_here() -> None:
    """Started by name, they would be missed only as a process that does not come up."""
    for name in ("changing_configuration", "failing_decisions", "faulty_sockets"):
        assert (Path(__file__).parent / f"{name}.py").exists()
