"""The console on a real pty with a real proxy: slow and stalled lines, proxy crashes, window sizes, and the
effect of its commands on the servers."""

from __future__ import annotations

import asyncio
import re
import signal
import statistics
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

import pytest

from cloverrouter.lab.peers import (
    LONG_S,
    Account,
    Discovery,
    Host,
    Proxy,
    SteadyClients,
    running,
    working_host,
)
from tests.standins.appliance import ApplianceFixture, running_appliance
from tests.standins.terminal import Terminal, on_terminal

LINE_BYTES_PER_S = 960  # at 9,600 baud


@asynccontextmanager
async def proxy_under_load() -> AsyncIterator[tuple[ApplianceFixture, Proxy, Discovery, list[Host], Account]]:
    """Start three servers and a proxy under load; check the account's rules at the end."""
    account = Account()
    hosts = [await working_host(f"s-{i}", account) for i in (1, 2, 3)]
    async with running_appliance(hosts) as (box, proxy, discovery):
        clients = SteadyClients(proxy, account)
        yield box, proxy, discovery, hosts, account
        await clients.stop()
        account.check()


def console(
    box: ApplianceFixture, **options: Any
) -> AbstractAsyncContextManager[tuple[Terminal, subprocess.Popen[bytes]]]:
    return on_terminal("console", "--socket", str(box.socket), **options)


def test_commands_take_effect_on_screen_and_servers_within_a_second() -> None:
    async def scenario() -> None:
        async with (
            proxy_under_load() as (box, _, _, hosts, account),
            console(box, baud=9600) as (terminal, process),
        ):
            await terminal.sees("s-1", "s-2", "s-3", "all is well")
            # A full screen takes at most 2.5 s of the line.
            assert terminal.bytes < 2.5 * LINE_BYTES_PER_S
            screen_s, server_s = list[float](), list[float]()
            for name in ("s-1", "s-2", "s-3"):
                started = time.monotonic()
                terminal.type(f"drain {name}\r")
                await terminal.sees(f"{name}          drained")
                drained = time.monotonic()
                screen_s.append(drained - started)
                await asyncio.sleep(0.3)
                # Once the drain is shown, the server gets no new request.
                assert account.since(name, drained) == 0
                count = len(account.received[name])
                started = time.monotonic()
                terminal.type(f"restore {name}\r")
                await terminal.sees(f"{name}          ready")
                screen_s.append(time.monotonic() - started)
                host = next(h for h in hosts if h.name == name)
                await host.wait(lambda n=name, c=count: len(account.received[n]) > c)  # type: ignore[misc]
                server_s.append(time.monotonic() - started)
            assert statistics.median(screen_s) < 1.0 and statistics.median(server_s) < 1.0
            for keys, seen in (("2", "REFUSED/s"), ("3", "REQUEST"), ("4", "restore s-3"), ("1", "PAY")):
                terminal.type(keys)
                await terminal.sees(seen)
            terminal.type("quit\r")
            while process.poll() is None:
                await asyncio.sleep(0.01)
            assert process.returncode == 0

    asyncio.run(scenario())


def test_accidental_drain_of_the_last_healthy_server_needs_confirmation() -> None:
    async def scenario() -> None:
        async with proxy_under_load() as (box, _, _, _, account), console(box) as (terminal, _):
            await terminal.sees("s-3")
            for name in ("s-1", "s-2"):
                terminal.type(f"drain {name}\r")
                await terminal.sees(f"{name}          drained")
            terminal.type("drain s-3\r")
            await terminal.sees("NOT DRAINED", "s-1 is draining", "type s-3 to drain>")
            terminal.type("\r")
            await terminal.sees("s-3 is not drained", "s-3          ready")
            moment = time.monotonic()
            await asyncio.sleep(0.3)
            assert account.since("s-3", moment) > 0  # the server still gets requests
            line = await box.connect()
            terminal.type("drain s-3\r")
            await terminal.sees("type s-3 to drain>")
            for name in ("s-1", "s-2"):  # otherwise all further requests would be refused
                await line.result("restore", server=name)
            terminal.type("s-3\r")
            await terminal.sees("s-3          drained")

    asyncio.run(scenario())


def test_refreshes_use_under_a_third_of_a_slow_line_and_do_not_delay_keys() -> None:
    async def scenario() -> None:
        async with (
            proxy_under_load() as (box, _, _, _, _),
            console(box, baud=9600) as (terminal, _),
        ):
            await terminal.sees("s-3", "all is well")
            await asyncio.sleep(2)
            before, started = terminal.bytes, time.monotonic()
            await asyncio.sleep(6)
            rate = (terminal.bytes - before) / (time.monotonic() - started)
            assert 10 < rate < 300
            for number in range(1, 6):
                terminal.type("x")
                await terminal.sees("> " + "x" * number)
            # The backlog bounds the delay of a key's echo to half a second.
            assert terminal.longest_backlog < LINE_BYTES_PER_S * 0.5

    asyncio.run(scenario())


@pytest.mark.parametrize("answers", [True, False], ids=["confirms", "never confirms"])
def test_terminal_that_stopped_reading_gets_no_outdated_frames(answers: bool) -> None:
    async def scenario() -> None:
        async with proxy_under_load() as (box, _, _, _, _):
            where = ("console", "--socket", str(box.socket))
            async with on_terminal(*where, baud=9600, answers=answers) as (terminal, _):
                line = await box.connect()
                await terminal.sees("s-3", "all is well")
                await asyncio.sleep(1)
                terminal.paused = True
                for _ in range(8):
                    # Confirmed: the servers live in this process, and are silent while it is held up.
                    await line.result("drain", server="s-1", confirm="s-1")
                    await asyncio.sleep(0.5)
                    await line.result("restore", server="s-1")
                    await asyncio.sleep(0.5)
                await line.result("drain", server="s-2", confirm="s-2")
                if answers:
                    # One window, independent of the duration.
                    assert terminal.backlog < LINE_BYTES_PER_S * 0.7
                else:
                    assert terminal.backlog < 8 * 300 + LINE_BYTES_PER_S  # at most the refresh share
                terminal.paused = False
                await terminal.sees("s-1          ready", "s-2          drained")

    asyncio.run(scenario())


def test_console_reconnects_after_a_proxy_crash_and_restart() -> None:
    async def scenario() -> None:
        account = Account()
        hosts = [await working_host(f"s-{i}", account) for i in (1, 2)]
        async with running_appliance(hosts) as (box, proxy, discovery), console(box) as (terminal, _):
            await terminal.sees("s-1", "all is well")
            terminal.type("drain s-1\r")
            await terminal.sees("s-1          drained")
            proxy.process.kill()
            await terminal.sees("NO CONNECTION")
            terminal.type("restore s-1\r")
            await terminal.sees("the command was not sent")
            async with running(discovery, hosts, environ=box.environ):
                await terminal.sees("connected again; the proxy has been started anew", "all is well")
                await terminal.sees("s-1          drained")  # the drain survives the restart
                terminal.type("restore s-1\r")
                await terminal.sees("s-1          ready")

    asyncio.run(scenario())


def test_paused_proxy_is_reported_as_no_connection() -> None:
    async def scenario() -> None:
        async with (
            running_appliance([await Host("s-1").start()]) as (box, proxy, _),
            console(box) as (terminal, _),
        ):
            await terminal.sees("all is well")
            proxy.process.send_signal(signal.SIGSTOP)
            try:
                await terminal.sees("NO CONNECTION")
            finally:
                proxy.process.send_signal(signal.SIGCONT)
            await terminal.until(lambda: "NO CONNECTION" not in terminal.text)

    asyncio.run(scenario())


def test_two_consoles_show_each_others_commands() -> None:
    async def scenario() -> None:
        async with proxy_under_load() as (box, _, _, _, _):
            where = ("console", "--socket", str(box.socket))
            async with on_terminal(*where) as (one, _), on_terminal(*where) as (other, _):
                await one.sees("s-3")
                await other.sees("s-3")
                one.type("drain s-1\r")
                await other.sees("s-1          drained")
                other.type("restore s-1\r")
                await one.sees("s-1          ready")
                one.type("4")
                await one.sees("drain s-1: ready -> drained", "restore s-1: drained -> ready")

    asyncio.run(scenario())


@pytest.mark.parametrize(("columns", "lines"), [(40, 12), (20, 5), (80, 3), (132, 43)])
def test_window_sizes_and_resizing(columns: int, lines: int) -> None:
    async def scenario() -> None:
        async with running_appliance([await Host("s-1").start()]) as (box, _, _):
            where = ("console", "--socket", str(box.socket))
            async with on_terminal(*where, columns=columns, lines=lines) as (terminal, process):
                terminal.type("abc")
                await terminal.sees("> abc")
                terminal.resize(80, 24)
                await terminal.sees("PAY", "s-1", "> abc")
                terminal.resize(columns, lines)
                await terminal.until(lambda: terminal.text.splitlines()[-1].startswith("> abc"))
                assert process.poll() is None

    asyncio.run(scenario())


def test_output_uses_ascii_and_vt100_sequences_only() -> None:
    async def scenario() -> None:
        async with proxy_under_load() as (box, _, _, _, _), console(box) as (terminal, _):
            for key, seen in (("2", "CLASS"), ("3", "REQUEST"), ("4", "WHAT"), ("1", "PAY")):
                terminal.type(key)
                await terminal.sees(seen)
            assert bytes(terminal.raw).isascii()
            sequences = set(bytes(terminal.raw).split(b"\x1b")[1:])
            known = re.compile(rb"\[(\d*(;\d+)?H|2J|K|\d*C|7m|m|5n)")
            assert all(known.match(s) for s in sequences)

    asyncio.run(scenario())


def test_end_of_input_ends_the_console() -> None:
    async def scenario() -> None:
        async with (
            running_appliance([await Host("s-1").start()]) as (box, _, _),
            console(box) as (terminal, process),
        ):
            await terminal.sees("all is well")
            terminal.type("\x04")
            async with asyncio.timeout(LONG_S):
                while process.poll() is None:
                    await asyncio.sleep(0.02)
            assert process.returncode == 0

    asyncio.run(scenario())


# Without a terminal


async def run_plain(box: ApplianceFixture, text: str, *more: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cloverrouter", "console", "--socket", str(box.socket), *more,
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    async with asyncio.timeout(LONG_S):
        out, _ = await process.communicate(text.encode())
    assert process.returncode is not None
    return process.returncode, out.decode()


def test_plain_mode_without_a_terminal() -> None:
    async def scenario() -> None:
        hosts = [await Host(f"s-{i}").start() for i in (1, 2)]
        async with running_appliance(hosts) as (box, proxy, _):
            code, out = await run_plain(box, "drain s-1\nservers\n")
            assert code == 0 and "s-1: ready -> drained" in out and "\x1b" not in out
            code, out = await run_plain(box, "drain s-2\nyes\nstatus\n")
            assert code == 1 and "NOT DRAINED" in out and "s-2 is not drained" in out
            code, out = await run_plain(box, "drain s-2\ns-2\nrestore s-1\nrestore s-2\n")
            assert "s-2: ready -> drained" in out
            code, out = await run_plain(box, "dran s-2\n")
            assert code == 1 and "no command is named 'dran'" in out
            proxy.process.kill()
            await proxy.ended()
            code, out = await run_plain(box, "status\n")
            assert code == 1 and "is the proxy running" in out

    asyncio.run(scenario())


def test_plain_mode_on_a_dumb_terminal() -> None:
    async def scenario() -> None:
        async with (
            running_appliance([await Host("s-1").start()]) as (box, _, _),
            console(box, term="dumb") as (terminal, _),
        ):
            await terminal.sees("able 1/1", ">")
            terminal.type("drain s-1\r")
            await terminal.sees("NOT DRAINED. Type s-1")
            assert b"\x1b" not in terminal.raw

    asyncio.run(scenario())


def test_demo_starts_everything_and_stops_what_it_started() -> None:
    """The demo starts all processes by itself and stops them at the end."""

    async def scenario() -> None:
        async with on_terminal("demo", "--seconds", "60", baud=9600) as (terminal, process):
            await terminal.sees("p-0", "s-1", "s-2", "s-3", "all is well")
            terminal.type("drain s-2\r")
            await terminal.sees("s-2          drained")
            terminal.type("quit\r")
            async with asyncio.timeout(LONG_S):
                while process.poll() is None:
                    await asyncio.sleep(0.05)
            assert process.returncode == 0

    asyncio.run(scenario())
