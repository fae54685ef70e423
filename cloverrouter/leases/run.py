"""`task run NAME -- COMMAND`: a command that runs only while this proxy's member holds the task.

The program asks the proxy by its control socket, and the proxy goes on contending, and renewing, only while
it is asked. Its right ends at a time of CLOCK_BOOTTIME, which is one for the whole machine: so the command is
told to stop, and killed, before that, also when the proxy has died or does not answer.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from cloverrouter.clock import now_s
from cloverrouter.control.client import ControlClient, Lost, Unreachable
from cloverrouter.seams import Right

# Exit codes beside the command's own (a command that a signal ended: 128 and the signal's number).
UNREACHABLE, NOT_HELD, STOPPED, KILLED, TOO_LONG, NOT_RUN = 120, 121, 122, 123, 124, 127
MARGIN_S = 0.05  # between the kill and the right's end
LOOKS_S = 0.05
GRACE_SHARE = 0.55  # of a promise, that a command may be given to stop in
ASKS_S = 0.15  # between two questions to the proxy


class Refused(Exception):
    """The proxy does not let this program have the task."""


class Keeper:
    """What the proxy says of the right, asked again and again over one connection, or a new one."""

    def __init__(self, path: Path, task: str, room: int, grace_s: float) -> None:
        self._path, self._task, self._room, self._grace_s = path, task, room, grace_s
        self._client: ControlClient | None = None
        self.right: Right | None = None
        self.why_not, self.reached = "", False

    def ask(self, timeout_s: float) -> None:
        """Raises `Refused`. Where nobody answers, the right that is known stands, up to its end."""
        try:
            if self._client is None:
                self._client = ControlClient(self._path, timeout_s)
            self._client.wait_at_most(timeout_s)
            told = self._client.ask("task", action="keep", name=self._task, room=self._room)
        except (Unreachable, Lost) as wrong:
            self.why_not, self.reached = str(wrong), False
            self.close()
            return
        self.reached = True
        if not told["ok"] and told["error"]["code"] == "busy":
            self.right, self.why_not = None, told["error"]["text"]
            return
        if not told["ok"]:
            raise Refused(f"{told['error']['text']}; {told['error']['right']}")
        found: dict[str, Any] = told["result"]
        most_s = GRACE_SHARE * found["promise_s"]
        if self._grace_s > most_s:
            # A right that is renewed in time has no less left, ever; with more to stop in it seems lost.
            raise Refused(f"--grace {self._grace_s:g} is too long for its promises; at most {most_s:g}")
        token = found["token"]
        self.right = Right(token, found["seat"], found["until_s"]) if token is not None else None
        self.why_not = "another holds it, or too few voters answer"

    def drop(self) -> None:
        """The proxy may let others have it."""
        try:
            if self._client is not None:
                self._client.ask("task", action="drop", name=self._task)
        except Lost:
            pass  # it gives the task back when nobody asks for it any more
        self.close()

    def close(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None

    def left_s(self) -> float:
        return self.right.until_s - now_s() if self.right is not None else 0.0


def _signal(command: subprocess.Popen[bytes], number: int) -> None:
    """To it and to all that it has started."""
    with suppress(ProcessLookupError):
        os.killpg(command.pid, number)


def run(
    path: Path,
    task: str,
    room: int,
    command: Sequence[str],
    wait_s: float | None,
    longest_s: float | None,
    grace_s: float,
    say: Callable[[str], None] = lambda text: print(text, file=sys.stderr),
) -> int:
    """The exit code. `wait_s`: for the task, `longest_s`: for the command (None: without end); `grace_s`:
    between telling it to stop and killing it."""
    keeper, begun_s = Keeper(path, task, room, grace_s), now_s()
    told: list[int] = []
    before = [
        signal.signal(number, lambda number, frame: told.append(number))
        for number in (signal.SIGTERM, signal.SIGINT)
    ]
    try:
        while True:
            keeper.ask(2.0)
            if keeper.right is not None:
                break
            if told:
                return 128 + told[0]
            if wait_s is not None and now_s() - begun_s >= wait_s:
                say(f"task {task} is not held after {wait_s:g} s: {keeper.why_not}")
                return NOT_HELD if keeper.reached else UNREACHABLE
            time.sleep(ASKS_S)
        return _carry_out(keeper, task, command, longest_s, grace_s, told, say)
    except Refused as wrong:
        say(f"task {task}: {wrong}")
        return NOT_HELD
    finally:
        keeper.drop()
        for number, handler in zip((signal.SIGTERM, signal.SIGINT), before, strict=True):
            signal.signal(number, handler)


def _carry_out(
    keeper: Keeper,
    task: str,
    command: Sequence[str],
    longest_s: float | None,
    grace_s: float,
    told: list[int],
    say: Callable[[str], None],
) -> int:
    assert keeper.right is not None
    first = keeper.right
    environ = {"TASK_NAME": task, "TASK_TOKEN": str(first.token), "TASK_SEAT": str(first.seat)}
    try:
        child = subprocess.Popen(command, env={**os.environ, **environ}, start_new_session=True)
    except OSError as error:
        say(f"{command[0]} can't be started: {error}")
        return NOT_RUN
    begun_s = asked_s = now_s()
    stopping: tuple[float, int, str] | None = None  # since when, with which code, why
    while child.poll() is None:
        now = now_s()
        if now - asked_s >= ASKS_S:
            asked_s = now
            # Danger: a proxy that does not answer must not keep this from killing in time.
            keeper.ask(max(0.05, min(1.0, keeper.left_s() - grace_s - MARGIN_S)))
        if stopping is None:
            if told:
                stopping = now, 128 + told[0], "this program was told to end"
            elif longest_s is not None and now - begun_s >= longest_s:
                stopping = now, TOO_LONG, f"it has run for {longest_s:g} s"
            elif keeper.left_s() <= grace_s + MARGIN_S:
                stopping = now, STOPPED, f"task {task} is lost: {keeper.why_not}"
            if stopping is not None:
                say(f"{command[0]} is told to stop: {stopping[2]}")
                _signal(child, signal.SIGTERM)
        elif now - stopping[0] >= grace_s:  # begun so early that its right lasts until then
            _signal(child, signal.SIGKILL)
            child.wait()
            say(f"{command[0]} was killed: it did not stop in time")
            return KILLED if stopping[1] == STOPPED else stopping[1]
        time.sleep(LOOKS_S)
    _signal(child, signal.SIGKILL)  # what it has left behind
    if stopping is not None:
        return stopping[1]
    code = child.returncode
    return code if code >= 0 else 128 - code
