"""`task run` with real proxies, and commands that obey or ignore SIGTERM."""

from __future__ import annotations

import asyncio
import shlex
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from cloverrouter.lab.fleet import Fleet, fleet
from cloverrouter.lab.process import LONG_S
from cloverrouter.leases import run as codes
from tests.standins.appliance import ControlConnection

# Logs its token, its times and each SIGTERM; `stubborn` ignores the signal. It uses write(2), because a
# signal during a write to a buffered file would raise an error in the handler ("reentrant call").
COMMAND = """
import os, signal, sys, time
out = os.open(sys.argv[1], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
def write(*words):
    os.write(out, (" ".join(map(str, words)) + "\\n").encode())
def on_sigterm(number, frame):
    write("sigterm", number, time.monotonic())
    if sys.argv[2] != "stubborn":
        sys.exit(3)
signal.signal(signal.SIGTERM, on_sigterm)
write("begin", os.environ["TASK_TOKEN"], time.monotonic())
until = time.monotonic() + float(sys.argv[3])
while time.monotonic() < until:
    time.sleep(0.01)
    write("at", 0, time.monotonic())
sys.exit(7)
"""


class Runner:
    """One `task run` process at a member."""

    def __init__(
        self,
        running: Fleet,
        member: str,
        how: str = "mild",
        for_s: float = 60.0,
        *more: str,
        shell: bool = False,
    ) -> None:
        self.out = running.folder / f"{member}-{time.monotonic_ns()}"
        socket = running.folder / member / "control" / "control.sock"
        command = [sys.executable, "-c", COMMAND, str(self.out), how, str(for_s)]
        if shell:  # a shell that stops on SIGTERM and leaves the command running
            command = ["sh", "-c", f"{shlex.join(command)} & wait"]
        args = ["task", "run", "--socket", str(socket), "--grace", "0.5", *more, "nightly", "--", *command]
        self.process = subprocess.Popen([sys.executable, "-m", "cloverrouter", *args], stderr=subprocess.PIPE)

    def lines(self, word: str) -> list[list[str]]:
        text = self.out.read_text() if self.out.exists() else ""
        return [line.split() for line in text.splitlines() if line.startswith(word)]

    async def started(self) -> None:
        async with asyncio.timeout(LONG_S):
            while not self.lines("begin"):
                await asyncio.sleep(0.01)

    async def ended(self) -> int:
        return await asyncio.get_running_loop().run_in_executor(None, self.process.wait, LONG_S)

    @property
    def token(self) -> int:
        return int(self.lines("begin")[0][1])

    @property
    def last_s(self) -> float:
        """Time of the last sign of life of the command."""
        return float(self.lines("at")[-1][2])


def play(scene: Callable[[Fleet], Awaitable[None]], promise_ms: int = 2000) -> None:
    async def run() -> None:
        async with fleet(3, promise_ms) as running:
            await scene(running)

    asyncio.run(run())


def test_commands_run_one_at_a_time_and_exit_codes_are_passed_on() -> None:
    async def scene(running: Fleet) -> None:
        runners = [Runner(running, name, "mild", 0.5) for name in running.members]
        assert [await runner.ended() for runner in runners] == [7, 7, 7]
        spans = sorted((float(r.lines("begin")[0][2]), r.last_s, r.token) for r in runners)
        assert spans[0][1] < spans[1][0] and spans[1][1] < spans[2][0]
        assert spans[0][2] < spans[1][2] < spans[2][2]  # tokens grow
        code = await Runner(running, "p0", "mild", 0.5, "--longest", "0.2").ended()
        assert code == codes.TOO_LONG

    play(scene, promise_ms=3000)  # on a busy machine renewals may be late


@pytest.mark.parametrize("how", ["mild", "stubborn"])
@pytest.mark.parametrize("what", ["proxy killed", "proxy paused", "proxy shut down", "partitioned"])
def test_command_is_terminated_or_killed_before_another_member_has_the_task(what: str, how: str) -> None:
    async def scene(running: Fleet) -> None:
        first = Runner(running, "p2", how)
        await first.started()
        second = Runner(running, "p1", "mild", 0.3)
        await asyncio.sleep(1.2)
        line = await ControlConnection.open(running.folder / "p2" / "control" / "control.sock")
        assert (await line.ask("task", action="hand-over", name="nightly"))["error"]["code"] == "busy"
        match what:
            case "proxy killed":
                running.members["p2"].signal(signal.SIGKILL)
            case "proxy shut down":
                running.members["p2"].signal(signal.SIGTERM)
            case "proxy paused":
                running.members["p2"].signal(signal.SIGSTOP)
            case "partitioned":
                for ends in running.links:
                    if "p2" in ends:
                        running.links[ends].cut = True
        assert await first.ended() == (codes.STOPPED if how == "mild" else codes.KILLED)
        assert len(first.lines("sigterm")) == 1
        assert await second.ended() == 7
        assert first.last_s < float(second.lines("begin")[0][2])

    play(scene)


def test_program_that_is_killed_or_terminated_frees_the_task(tmp_path: Path) -> None:
    async def scene(running: Fleet) -> None:
        terminated = Runner(running, "p0", "stubborn", shell=True)
        await terminated.started()
        waiting = Runner(running, "p0", "mild", 0.1, "--wait", "0.3")  # at the same proxy
        assert await waiting.ended() == codes.NOT_HELD and not waiting.lines("begin")
        terminated.process.send_signal(signal.SIGTERM)
        assert await terminated.ended() == 128 + signal.SIGTERM and terminated.lines("sigterm")
        last_s = terminated.last_s
        killed = Runner(running, "p1", "mild", 1.0)
        await killed.started()
        killed.process.kill()
        after = Runner(running, "p1", "mild", 0.1)  # at the same proxy, but under its own token
        assert await after.ended() == 7 and after.token > killed.token
        assert terminated.last_s == last_s, "a process that the command started is still running"
        line = await ControlConnection.open(running.folder / "p2" / "control" / "control.sock")
        await line.result("task", action="want", name="nightly")
        # The proxy itself contends for the task.
        refused = Runner(running, "p2", "mild", 0.1, "--wait", "0.3")
        assert await refused.ended() == codes.NOT_HELD and not refused.lines("begin")
        assert await Runner(running, "p0", "mild", 0.1, "--grace", "1.2").ended() == codes.NOT_HELD
        unreachable = Runner(running, "p0", "mild", 0.1, "--wait", "0.3", "--socket", str(tmp_path / "none"))
        assert await unreachable.ended() in (codes.UNREACHABLE, 2)

    play(scene)
