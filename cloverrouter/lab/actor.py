"""A proxy that acts on a task of its fleet whenever it may, and tells the lab's resource of each act.

    PROXY_SITE=... ACTOR="127.0.0.1:9000 TASK ROOM" python -m cloverrouter.lab.actor

It is the program with one more direction, started from here only. After SIGUSR1 it stops itself (SIGSTOP)
once between asking for its right and acting on it.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from typing import Any

import msgspec

from cloverrouter import compose
from cloverrouter.clock import now_s
from cloverrouter.proxy.config import read_address
from cloverrouter.proxy.service import main
from cloverrouter.seams import Core, Direction, Right

ACT_S, LONGEST_S = 0.01, 0.05  # what an act takes, and what it says it takes at most
LOOKS_S = 0.005


class Act(msgspec.Struct):
    """What the resource hears. `at_s`: of CLOCK_BOOTTIME, when the actor asked for its right."""

    box: str
    pid: int
    seat: int
    token: int
    begins: bool
    at_s: float


class Actor(Direction):
    def __init__(self, core: Core, table: Any) -> None:
        super().__init__(core, table)
        where, self._task, room = os.environ["ACTOR"].split()
        self._resource, self._room = read_address(where), int(room)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._stops = False
        self._loop: asyncio.Task[None] | None = None

    async def start(self, frontend: Any) -> None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, self._stop_once)
        self.core.tasks.want(self._task, self._room)
        self._loop = asyncio.get_running_loop().create_task(self._run())

    def _stop_once(self) -> None:
        self._stops = True

    def leave(self, final: bool) -> None:
        if self._loop is not None:
            self._loop.cancel()

    async def _run(self) -> None:
        while True:
            at_s, right = now_s(), self.core.tasks.may_act(self._task, LONGEST_S)
            if right is not None:
                if self._stops:
                    self._stops = False
                    os.kill(os.getpid(), signal.SIGSTOP)
                self._tell(right, True, at_s)
                await asyncio.sleep(ACT_S)
                self._tell(right, False, at_s)
            await asyncio.sleep(LOOKS_S)

    def _tell(self, right: Right, begins: bool, at_s: float) -> None:
        act = Act(self.table.name, os.getpid(), right.seat, right.token, begins, at_s)
        self._socket.sendto(msgspec.json.encode(act), self._resource)


if __name__ == "__main__":
    compose.DIRECTIONS = (*compose.DIRECTIONS, ("leases", "cloverrouter.lab.actor", "Actor"))
    sys.exit(main())
