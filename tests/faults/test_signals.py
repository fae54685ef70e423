"""Signals while no event loop handles them: at the start of a process and at its end."""

from __future__ import annotations

import asyncio
import signal
import sys
import tomllib
from pathlib import Path

import pytest

from cloverrouter.lab.peers import Discovery, Host, Proxy, running
from cloverrouter.lab.process import ROOT
from tests.faults.test_decision_failure import COMMAND as FAILING_COMMAND

REPEATED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
RUNS = 4


async def send_until_exit(proxy: Proxy) -> None:
    """Send signals until the process has exited."""
    while proxy.up:
        for number in REPEATED_SIGNALS:
            proxy.signal(number)
        await asyncio.sleep(0.0005)


def ignores_sighup(proxy: Proxy) -> bool:
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    ignored = int(status.partition("SigIgn:")[2].split()[0], 16)
    return bool(ignored & 1 << signal.SIGHUP - 1)


def test_signals_during_exit_do_not_change_the_exit_code() -> None:
    """`loop.close()` restores the default actions of SIGHUP and SIGTERM, which end the process."""

    async def scene() -> None:
        host, discovery = await Host("h0").start(), await Discovery().start()
        for _ in range(RUNS):
            async with running(discovery, [host]) as proxy:
                client = await proxy.client()
                assert (await client.ask("/unsafe")).status == 200
                proxy.signal(signal.SIGTERM)
                await send_until_exit(proxy)
                assert proxy.process.returncode == 0, proxy.log()

    asyncio.run(scene())


def test_signals_during_exit_after_failed_decisions_do_not_change_the_exit_code() -> None:
    async def scene() -> None:
        host, discovery = await Host("h0").start(), await Discovery().start()
        for _ in range(RUNS):
            async with running(discovery, [host], command=FAILING_COMMAND) as proxy:
                client = await proxy.client()
                client.writer.write(
                    b"GET /safe HTTP/1.1\r\nX-Request-ID: fatal\r\nX-Timeout-Ms: 2000\r\n\r\n"
                )
                await send_until_exit(proxy)
                assert proxy.process.returncode == 1, proxy.log()

    asyncio.run(scene())


def test_sighup_during_startup_does_not_keep_a_proxy_from_starting() -> None:
    """Started with the deploy file's command; the interpreter takes some hundredths of a second to start."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        run: str = tomllib.load(file)["run"]
    command = run.replace(".venv/bin/python", sys.executable)
    assert command != run

    async def scene() -> None:
        host, discovery = await Host("h0").start(), await Discovery().start()

        async def repeat_sighup(proxy: Proxy) -> None:
            while not ignores_sighup(proxy):  # until then the shell has not set SIGHUP to ignored
                await asyncio.sleep(0)
            while True:
                proxy.signal(signal.SIGHUP)
                await asyncio.sleep(0.001)

        original_start = Proxy.start
        senders: list[asyncio.Task[None]] = []

        def start(self: Proxy) -> None:
            original_start(self)
            senders.append(asyncio.get_running_loop().create_task(repeat_sighup(self)))

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Proxy, "start", start)
            async with running(discovery, [host], command=command) as proxy:
                client = await proxy.client()
                assert (await client.ask("/unsafe")).status == 200
                senders[0].cancel()
                proxy.signal(signal.SIGTERM)
                assert await proxy.ended() == 0

    asyncio.run(scene())


@pytest.mark.parametrize("target", ["/new", "/unsafe"])
def test_configuration_that_changes_during_startup_is_reread(target: str) -> None:
    command = [sys.executable, "-m", "tests.faults.changing_configuration"]

    async def scene() -> None:
        host, discovery = await Host("h0").start(), await Discovery().start()
        async with running(discovery, [host], command=command) as proxy:
            await proxy.logged("settings: classes")
            client = await proxy.client()
            assert (await client.ask(target)).status == 200

    asyncio.run(scene())


def test_modules_that_inject_faults_exist() -> None:
    """They are started by name: a missing one would show only as a process that does not start."""
    for name in ("changing_configuration", "failing_decisions", "faulty_sockets"):
        assert (Path(__file__).parent / f"{name}.py").exists()
