"""How a client proxy's process ends without losing what it has taken: told to by SIGTERM, or because its
decisions have failed, when what is owed is answered without them (`Node.failed`).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.node import Node

if TYPE_CHECKING:
    from cloverrouter.compose import Appliance

# After SIGTERM connections go on coming for a while: until then they are taken and served.
STILL_ACCEPTING_S = 0.5
POLL_S = 0.02
LAST_BYTES_S = 0.5  # for half-sent requests and answers still being read, once nothing is owed
# The platform's: SIGKILL comes no sooner after SIGTERM than the longest deadline, or so much of it, and this.
KILLED_S, LONGEST_S = 0.7, 3.0
LAST_LOOK_S = 0.2  # before it is gone: time for those that were accepted last to be answered
MOST_STEPS = 10  # of the loop, for connections that are still being accepted then
GONE_S = 0.1  # before that, this process has answered and gone


async def drain(
    frontend: Frontend,
    node: Node,
    succeeded: bool,
    appliance: Appliance | None,
    killed_s: float = float("inf"),
) -> None:
    """Leave without losing what was taken. Every call has a deadline, so this ends; what is not over shortly
    before the platform may kill this process is ended by it.

    `succeeded`: another process takes connections from the same listening socket. `killed_s`: the platform
    ends this process no sooner than in so many seconds.
    """
    loop = asyncio.get_running_loop()
    gone_by_s = loop.time() + killed_s - GONE_S
    # Danger: clients ask on what is open up to the process's end, and would wait past it for their answers.
    node.leave((loop.time() + STILL_ACCEPTING_S) * 1000, gone_by_s * 1000)
    frontend.gate.stopping = True
    if succeeded:
        # Danger: a request that crosses the end of its connection is turned back unheard. The other process
        # takes all that is new; answers end the connections here, which nothing crosses.
        frontend.stop_accepting()
    else:
        frontend.close_idle(spare_new=True)
    await asyncio.sleep(STILL_ACCEPTING_S)
    await frontend.accept_rest(gone_by_s - LAST_LOOK_S)
    frontend.close()
    if appliance is not None:
        appliance.stop_taking()
    while True:
        await _settle(frontend, node, gone_by_s)
        # What lies here unread is still taken; what has not come whole by now is not.
        frontend.turn_away()
        await asyncio.sleep(POLL_S)
        if node.busy and loop.time() >= gone_by_s:
            node.abandon_all() if node.failed else node.end_now()
        if not node.busy and not (frontend.owing and loop.time() < gone_by_s):
            break
    for _ in range(MOST_STEPS):
        if not frontend.listener.accepting:
            return
        await asyncio.sleep(0)


async def _settle(frontend: Frontend, node: Node, gone_by_s: float) -> None:
    """Until nothing is owed, and for a while for what is half here."""
    loop = asyncio.get_running_loop()
    owed_s = frontend.ran_s()
    # Danger: a client that neither finishes its request nor reads would keep the program from ending.
    while node.busy or (frontend.busy and frontend.ran_s() < owed_s + LAST_BYTES_S):
        if loop.time() >= gone_by_s:
            return
        if node.busy or frontend.owing:
            owed_s = frontend.ran_s()
        await asyncio.sleep(POLL_S)
        frontend.close_idle(spare_new=True)
