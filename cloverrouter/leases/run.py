"""`task run NAME -- COMMAND`: runs a command only while this proxy's member holds the task.

The program polls the proxy over its control socket, and the proxy contends and renews only while it is
polled. The lease ends at a time of CLOCK_BOOTTIME, which all processes of the machine share, so the command
is terminated and, if need be, killed before that time, also when the proxy has died or does not answer.
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
from cloverrouter.control.client import ConnectionLost, ControlClient, Unreachable
from cloverrouter.seams import TaskLease

# Exit codes beside the command's own (for a command that a signal ended: 128 plus the signal's number).
UNREACHABLE, NOT_HELD, STOPPED, KILLED, TOO_LONG, NOT_RUN = 120, 121, 122, 123, 124, 127
KILL_MARGIN_S = 0.05  # between the kill and the end of the lease
POLL_INTERVAL_S = 0.05  # for the state of the command
MAX_GRACE_SHARE = 0.55  # of the duration of a grant
KEEP_INTERVAL_S = 0.15  # between requests to the proxy


class Refused(Exception):
    """The proxy refuses the task to this program."""


class LeaseKeeper:
    """Keeps a task through the proxy, over one control connection that is replaced when it fails."""

    def __init__(self, path: Path, task: str, room: int, grace_s: float) -> None:
        self._path, self._task, self._room, self._grace_s = path, task, room, grace_s
        self._client: ControlClient | None = None
        self.right: TaskLease | None = None
        self.reason, self.reached = "", False

    def renew(self, timeout_s: float) -> None:
        """Ask the proxy for the task or for more time. Without an answer the current right stays valid until
        it ends. Raises `Refused`."""
        try:
            if self._client is None:
                self._client = ControlClient(self._path, timeout_s)
            self._client.set_timeout(timeout_s)
            answer = self._client.ask("task", action="keep", name=self._task, room=self._room)
        except (Unreachable, ConnectionLost) as error:
            self.reason, self.reached = str(error), False
            self.close()
            return
        self.reached = True
        if not answer["ok"] and answer["error"]["code"] == "busy":
            self.right, self.reason = None, answer["error"]["text"]
            return
        if not answer["ok"]:
            raise Refused(f"{answer['error']['text']}; {answer['error']['right']}")
        result: dict[str, Any] = answer["result"]
        max_grace_s = MAX_GRACE_SHARE * result["promise_s"]
        if self._grace_s > max_grace_s:
            # Renewal in time leaves at least this share of a lease; a longer grace makes it seem lost.
            raise Refused(f"--grace {self._grace_s:g} is too long for its promises; at most {max_grace_s:g}")
        token = result["token"]
        self.right = TaskLease(token, result["seat"], result["until_s"]) if token is not None else None
        self.reason = "another holds it, or too few voters answer"

    def drop(self) -> None:
        """Tell the proxy that the task is no longer needed."""
        try:
            if self._client is not None:
                self._client.ask("task", action="drop", name=self._task)
        except ConnectionLost:
            pass  # the proxy releases a task that is no longer polled for
        self.close()

    def close(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None

    def remaining_s(self) -> float:
        return self.right.until_s - now_s() if self.right is not None else 0.0


def _signal(command: subprocess.Popen[bytes], number: int) -> None:
    """Signal the command and all processes in its process group."""
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
    report: Callable[[str], None] = lambda text: print(text, file=sys.stderr),
) -> int:
    """Run a command under the lease of a task; returns the exit code.

    `wait_s`: time limit for acquiring the task, `longest_s`: time limit for the command (None: no limit),
    `grace_s`: from the command's SIGTERM to its SIGKILL.
    """
    keeper, started_s = LeaseKeeper(path, task, room, grace_s), now_s()
    signals: list[int] = []
    previous_handlers = [
        signal.signal(number, lambda number, frame: signals.append(number))
        for number in (signal.SIGTERM, signal.SIGINT)
    ]
    try:
        while True:
            keeper.renew(2.0)
            if keeper.right is not None:
                break
            if signals:
                return 128 + signals[0]
            if wait_s is not None and now_s() - started_s >= wait_s:
                report(f"task {task} is not held after {wait_s:g} s: {keeper.reason}")
                return NOT_HELD if keeper.reached else UNREACHABLE
            time.sleep(KEEP_INTERVAL_S)
        return _run_command(keeper, task, command, longest_s, grace_s, signals, report)
    except Refused as error:
        report(f"task {task}: {error}")
        return NOT_HELD
    finally:
        keeper.drop()
        for number, handler in zip((signal.SIGTERM, signal.SIGINT), previous_handlers, strict=True):
            signal.signal(number, handler)


def _run_command(
    keeper: LeaseKeeper,
    task: str,
    command: Sequence[str],
    longest_s: float | None,
    grace_s: float,
    signals: list[int],
    report: Callable[[str], None],
) -> int:
    assert keeper.right is not None
    right = keeper.right
    variables = {"TASK_NAME": task, "TASK_TOKEN": str(right.token), "TASK_SEAT": str(right.seat)}
    try:
        child = subprocess.Popen(command, env={**os.environ, **variables}, start_new_session=True)
    except OSError as error:
        report(f"{command[0]} can't be started: {error}")
        return NOT_RUN
    started_s = asked_s = now_s()
    stopping: tuple[float, int, str] | None = None  # time of the SIGTERM, exit code, reason
    while child.poll() is None:
        now = now_s()
        if now - asked_s >= KEEP_INTERVAL_S:
            asked_s = now
            # The timeout leaves time to kill the command when the proxy does not answer.
            keeper.renew(max(0.05, min(1.0, keeper.remaining_s() - grace_s - KILL_MARGIN_S)))
        if stopping is None:
            if signals:
                stopping = now, 128 + signals[0], "this program was told to end"
            elif longest_s is not None and now - started_s >= longest_s:
                stopping = now, TOO_LONG, f"it has run for {longest_s:g} s"
            elif keeper.remaining_s() <= grace_s + KILL_MARGIN_S:
                stopping = now, STOPPED, f"task {task} is lost: {keeper.reason}"
            if stopping is not None:
                report(f"{command[0]} is told to stop: {stopping[2]}")
                _signal(child, signal.SIGTERM)
        elif now - stopping[0] >= grace_s:  # the SIGTERM was early enough for the lease to last until now
            _signal(child, signal.SIGKILL)
            child.wait()
            report(f"{command[0]} was killed: it did not stop in time")
            return KILLED if stopping[1] == STOPPED else stopping[1]
        time.sleep(POLL_INTERVAL_S)
    _signal(child, signal.SIGKILL)  # processes that the command has left running
    if stopping is not None:
        return stopping[1]
    code = child.returncode
    return code if code >= 0 else 128 - code
