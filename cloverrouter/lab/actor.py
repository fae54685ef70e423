"""A proxy that acts on a leased task whenever it may, and reports each act to the lab's resource.

    PROXY_SITE=... ACTOR="127.0.0.1:9000 TASK SEATS" python -m cloverrouter.lab.actor

This is the proxy program with one more direction, which only this module enables. After SIGUSR1 the process
stops itself (SIGSTOP) once, between the check of its lease and the act that depends on it.
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
from cloverrouter.seams import Core, Direction, TaskLease

# The actual duration, and the limit passed to `current_lease`.
ACT_DURATION_S, MAX_ACT_DURATION_S = 0.01, 0.05
POLL_INTERVAL_S = 0.005


class Act(msgspec.Struct):
    """Report of the begin or end of an act. `at_s`: when the lease was checked (CLOCK_BOOTTIME)."""

    box: str
    pid: int
    seat: int
    token: int
    begins: bool
    at_s: float


class Actor(Direction):
    """Contends for a task and reports each act under its lease to the resource, as UDP datagrams."""

    def __init__(self, core: Core, table: Any) -> None:
        super().__init__(core, table)
        resource_address, self._task, seat_count = os.environ["ACTOR"].split()
        self._resource, self._seat_count = read_address(resource_address), int(seat_count)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._stop_requested = False
        self._run_task: asyncio.Task[None] | None = None

    async def start(self, frontend: Any) -> None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, self._request_stop)
        self.core.tasks.contend(self._task, self._seat_count)
        self._run_task = asyncio.get_running_loop().create_task(self._run())

    def _request_stop(self) -> None:
        self._stop_requested = True

    def prepare_shutdown(self, final: bool) -> None:
        if self._run_task is not None:
            self._run_task.cancel()

    async def _run(self) -> None:
        while True:
            at_s, lease = now_s(), self.core.tasks.current_lease(self._task, MAX_ACT_DURATION_S)
            if lease is not None:
                if self._stop_requested:
                    self._stop_requested = False
                    os.kill(os.getpid(), signal.SIGSTOP)
                self._report_act(lease, True, at_s)
                await asyncio.sleep(ACT_DURATION_S)
                self._report_act(lease, False, at_s)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _report_act(self, lease: TaskLease, begins: bool, at_s: float) -> None:
        act = Act(self.table.name, os.getpid(), lease.seat, lease.token, begins, at_s)
        self._socket.sendto(msgspec.json.encode(act), self._resource)


if __name__ == "__main__":
    compose.DIRECTIONS = (*compose.DIRECTIONS, ("leases", "cloverrouter.lab.actor", "Actor"))
    sys.exit(main())
