"""The console on a real pty before a real proxy: a slow line, a stalled one, a proxy that dies, a window
that shrinks; and what its commands do at the servers."""

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

from cloverrouter.lab.peers import LONG_S, Account, Askers, Discovery, Host, Proxy, running, working_host
from tests.standins.appliance import Box, boxed
from tests.standins.terminal import Terminal, on_terminal

LINE = 960  # bytes a second at 9,600 baud


@asynccontextmanager
async def loaded() -> AsyncIterator[tuple[Box, Proxy, Discovery, list[Host], Account]]:
    """Three servers at work, and a proxy under load; at the end the rules are checked."""
    account = Account()
    hosts = [await working_host(f"s-{i}", account) for i in (1, 2, 3)]
    async with boxed(hosts) as (box, proxy, discovery):
        offices = Askers(proxy, account)
        yield box, proxy, discovery, hosts, account
        await offices.stop()
        account.check()


def on(box: Box, **how: Any) -> AbstractAsyncContextManager[tuple[Terminal, subprocess.Popen[bytes]]]:
    return on_terminal("console", "--socket", str(box.socket), **how)


def test_scripted_session_has_its_effect_on_screen_and_servers_within_a_second() -> None:
    async def scene() -> None:
        async with loaded() as (box, _, _, hosts, account), on(box, baud=9600) as (terminal, process):
            await terminal.sees("s-1", "s-2", "s-3", "all is well")
            # A whole screen takes no more of the line than 2.5 s.
            assert terminal.bytes < 2.5 * LINE
            screen, server = list[float](), list[float]()
            for name in ("s-1", "s-2", "s-3"):
                begun = time.monotonic()
                terminal.type(f"drain {name}\r")
                await terminal.sees(f"{name}          drained")
                drained = time.monotonic()
                screen.append(drained - begun)
                await asyncio.sleep(0.3)
                # From the moment it is seen on, nothing new comes there.
                assert account.since(name, drained) == 0
                count = len(account.received[name])
                begun = time.monotonic()
                terminal.type(f"restore {name}\r")
                await terminal.sees(f"{name}          ready")
                screen.append(time.monotonic() - begun)
                host = next(h for h in hosts if h.name == name)
                await host.wait(lambda n=name, c=count: len(account.received[n]) > c)  # type: ignore[misc]
                server.append(time.monotonic() - begun)
            assert statistics.median(screen) < 1.0 and statistics.median(server) < 1.0
            for keys, seen in (("2", "REFUSED/s"), ("3", "REQUEST"), ("4", "restore s-3"), ("1", "PAY")):
                terminal.type(keys)
                await terminal.sees(seen)
            terminal.type("quit\r")
            while process.poll() is None:
                await asyncio.sleep(0.01)
            assert process.returncode == 0

    asyncio.run(scene())


def test_operator_drains_the_last_healthy_server_by_mistake() -> None:
    async def scene() -> None:
        async with loaded() as (box, _, _, _, account), on(box) as (terminal, _):
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
            assert account.since("s-3", moment) > 0  # it goes on working
            line = await box.line()
            terminal.type("drain s-3\r")
            await terminal.sees("type s-3 to drain>")
            for name in ("s-1", "s-2"):  # else the load would be refused from here on
                await line.result("restore", server=name)
            terminal.type("s-3\r")
            await terminal.sees("s-3          drained")

    asyncio.run(scene())


def test_steady_screen_takes_less_than_a_third_of_a_slow_line_and_keys_do_not_wait() -> None:
    async def scene() -> None:
        async with loaded() as (box, _, _, _, _), on(box, baud=9600) as (terminal, _):
            await terminal.sees("s-3", "all is well")
            await asyncio.sleep(2)
            before, begun = terminal.bytes, time.monotonic()
            await asyncio.sleep(6)
            rate = (terminal.bytes - before) / (time.monotonic() - begun)
            assert 10 < rate < 300
            for number in range(1, 6):
                terminal.type("x")
                await terminal.sees("> " + "x" * number)
            # Never more in the line than it carries in half a second: a key's echo waits no longer.
            assert terminal.longest_backlog < LINE * 0.5

    asyncio.run(scene())


@pytest.mark.parametrize("answers", [True, False], ids=["confirms", "never confirms"])
def test_terminal_that_stops_reading_gets_no_old_frames_afterwards(answers: bool) -> None:
    async def scene() -> None:
        async with loaded() as (box, _, _, _, _):
            where = ("console", "--socket", str(box.socket))
            async with on_terminal(*where, baud=9600, answers=answers) as (terminal, _):
                line = await box.line()
                await terminal.sees("s-3", "all is well")
                await asyncio.sleep(1)
                terminal.paused = True
                for _ in range(8):
                    await line.result("drain", server="s-1")
                    await asyncio.sleep(0.5)
                    await line.result("restore", server="s-1")
                    await asyncio.sleep(0.5)
                await line.result("drain", server="s-2")
                if answers:
                    assert terminal.backlog < LINE * 0.7  # a window, however long it lasts
                else:
                    assert terminal.backlog < 8 * 300 + LINE  # at most the steady share of the time
                terminal.paused = False
                await terminal.sees("s-1          ready", "s-2          drained")

    asyncio.run(scene())


def test_proxy_dies_and_returns_while_a_console_is_attached() -> None:
    async def scene() -> None:
        account = Account()
        hosts = [await working_host(f"s-{i}", account) for i in (1, 2)]
        async with boxed(hosts) as (box, proxy, discovery), on(box) as (terminal, _):
            await terminal.sees("s-1", "all is well")
            terminal.type("drain s-1\r")
            await terminal.sees("s-1          drained")
            proxy.process.kill()
            await terminal.sees("NO CONNECTION")
            terminal.type("restore s-1\r")
            await terminal.sees("the command was not sent")
            async with running(discovery, hosts, environ=box.environ):
                await terminal.sees("connected again; the proxy has been started anew", "all is well")
                await terminal.sees("s-1          drained")  # it is still drained
                terminal.type("restore s-1\r")
                await terminal.sees("s-1          ready")

    asyncio.run(scene())


def test_proxy_that_stands_still_is_noticed() -> None:
    async def scene() -> None:
        async with boxed([await Host("s-1").start()]) as (box, proxy, _), on(box) as (terminal, _):
            await terminal.sees("all is well")
            proxy.process.send_signal(signal.SIGSTOP)
            try:
                await terminal.sees("NO CONNECTION")
            finally:
                proxy.process.send_signal(signal.SIGCONT)
            await terminal.until(lambda: "NO CONNECTION" not in terminal.text)

    asyncio.run(scene())


def test_two_consoles_see_each_others_commands() -> None:
    async def scene() -> None:
        async with loaded() as (box, _, _, _, _):
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

    asyncio.run(scene())


@pytest.mark.parametrize(("columns", "lines"), [(40, 12), (20, 5), (80, 3), (132, 43)])
def test_any_window_and_one_that_is_resized(columns: int, lines: int) -> None:
    async def scene() -> None:
        async with boxed([await Host("s-1").start()]) as (box, _, _):
            where = ("console", "--socket", str(box.socket))
            async with on_terminal(*where, columns=columns, lines=lines) as (terminal, process):
                terminal.type("abc")
                await terminal.sees("> abc")
                terminal.resize(80, 24)
                await terminal.sees("PAY", "s-1", "> abc")
                terminal.resize(columns, lines)
                await terminal.until(lambda: terminal.text.splitlines()[-1].startswith("> abc"))
                assert process.poll() is None

    asyncio.run(scene())


def test_vt100_gets_no_colour_and_no_unicode() -> None:
    async def scene() -> None:
        async with loaded() as (box, _, _, _, _), on(box) as (terminal, _):
            for key, seen in (("2", "CLASS"), ("3", "REQUEST"), ("4", "WHAT"), ("1", "PAY")):
                terminal.type(key)
                await terminal.sees(seen)
            assert bytes(terminal.raw).isascii()
            sequences = set(bytes(terminal.raw).split(b"\x1b")[1:])
            known = re.compile(rb"\[(\d*(;\d+)?H|2J|K|\d*C|7m|m|5n)")
            assert all(known.match(s) for s in sequences)

    asyncio.run(scene())


def test_closed_terminal_ends_the_console() -> None:
    async def scene() -> None:
        async with boxed([await Host("s-1").start()]) as (box, _, _), on(box) as (terminal, process):
            await terminal.sees("all is well")
            terminal.type("\x04")
            async with asyncio.timeout(LONG_S):
                while process.poll() is None:
                    await asyncio.sleep(0.02)
            assert process.returncode == 0

    asyncio.run(scene())


# Without a terminal


async def plain(box: Box, text: str, *more: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cloverrouter", "console", "--socket", str(box.socket), *more,
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    async with asyncio.timeout(LONG_S):
        out, _ = await process.communicate(text.encode())
    assert process.returncode is not None
    return process.returncode, out.decode()


def test_plain_lines_where_there_is_no_terminal() -> None:
    async def scene() -> None:
        hosts = [await Host(f"s-{i}").start() for i in (1, 2)]
        async with boxed(hosts) as (box, proxy, _):
            code, out = await plain(box, "drain s-1\nservers\n")
            assert code == 0 and "s-1: ready -> drained" in out and "\x1b" not in out
            code, out = await plain(box, "drain s-2\nyes\nstatus\n")
            assert code == 1 and "NOT DRAINED" in out and "s-2 is not drained" in out
            code, out = await plain(box, "drain s-2\ns-2\nrestore s-1\nrestore s-2\n")
            assert "s-2: ready -> drained" in out
            code, out = await plain(box, "dran s-2\n")
            assert code == 1 and "no command is named 'dran'" in out
            proxy.process.kill()
            await proxy.ended()
            code, out = await plain(box, "status\n")
            assert code == 1 and "is the proxy running" in out

    asyncio.run(scene())


def test_dumb_terminal_gets_plain_lines() -> None:
    async def scene() -> None:
        async with boxed([await Host("s-1").start()]) as (box, _, _), on(box, term="dumb") as (terminal, _):
            await terminal.sees("able 1/1", ">")
            terminal.type("drain s-1\r")
            await terminal.sees("NOT DRAINED. Type s-1")
            assert b"\x1b" not in terminal.raw

    asyncio.run(scene())


def test_no_console_is_left_out_of_the_demo() -> None:
    """The demo brings everything up by itself, and ends what it started."""

    async def scene() -> None:
        async with on_terminal("demo", "--seconds", "60", baud=9600) as (terminal, process):
            await terminal.sees("p-0", "s-1", "s-2", "s-3", "all is well")
            terminal.type("drain s-2\r")
            await terminal.sees("s-2          drained")
            terminal.type("quit\r")
            async with asyncio.timeout(LONG_S):
                while process.poll() is None:
                    await asyncio.sleep(0.05)
            assert process.returncode == 0

    asyncio.run(scene())
