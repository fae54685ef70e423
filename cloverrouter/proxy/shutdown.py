"""Shut down a client proxy without losing accepted requests.

The reason is SIGTERM, or an error in the decisions; then open requests are answered without the decisions
(`Node.failed`).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.node import Node

if TYPE_CHECKING:
    from cloverrouter.compose import Appliance

# New connections keep arriving for a while after SIGTERM; for this time they are accepted and served.
ACCEPT_PERIOD_S = 0.5
POLL_S = 0.02
CLIENT_GRACE_S = 0.5  # for incomplete requests and unread answers, once every complete request is answered
# The platform sends SIGKILL, at the earliest, the longest deadline (MAX_DEADLINE_S at most) plus
# KILL_MARGIN_S after SIGTERM.
KILL_MARGIN_S, MAX_DEADLINE_S = 0.7, 3.0
ANSWER_MARGIN_S = 0.2  # from the last accepted connection to the exit, for its answer
MAX_ACCEPT_STEPS = 10  # iterations of the loop, for connections that are still being accepted at the end
EXIT_MARGIN_S = 0.1  # from the exit of this process to the earliest SIGKILL


async def drain(
    frontend: Frontend,
    node: Node,
    has_successor: bool,
    appliance: Appliance | None,
    kill_after_s: float = float("inf"),
) -> None:
    """Answer all accepted requests and close the connections.

    Every request has a deadline, so this terminates; requests that are still open shortly before the platform
    may kill this process are ended then.

    `has_successor`: another process accepts connections from the same listening socket. `kill_after_s`: the
    minimum number of seconds until the platform kills this process.
    """
    loop = asyncio.get_running_loop()
    exit_by_s = loop.time() + kill_after_s - EXIT_MARGIN_S
    # Clients send requests on open connections until the exit, with deadlines after it: answer these earlier.
    node.set_drain_deadline((loop.time() + ACCEPT_PERIOD_S) * 1000, exit_by_s * 1000)
    frontend.gate.stopping = True
    if has_successor:
        # A request that is in transit while its idle connection is closed would be reset. The other process
        # accepts new connections; those here are closed by their next answers, when no request is in transit.
        frontend.stop_accepting()
    else:
        frontend.close_idle(spare_new=True)
    await asyncio.sleep(ACCEPT_PERIOD_S)
    await frontend.accept_queued(exit_by_s - ANSWER_MARGIN_S)
    frontend.close()
    if appliance is not None:
        appliance.stop_accepting()
    while True:
        await _settle(frontend, node, exit_by_s)
        # Requests in the receive buffers are still accepted; those that are incomplete by now are rejected.
        frontend.refuse_incomplete_requests()
        await asyncio.sleep(POLL_S)
        if node.busy and loop.time() >= exit_by_s:
            node.abandon_all() if node.failed else node.answer_all_now()
        if not node.busy and not (frontend.has_unfinished_answers and loop.time() < exit_by_s):
            break
    for _ in range(MAX_ACCEPT_STEPS):
        if not frontend.listener.accepting:
            return
        await asyncio.sleep(0)


async def _settle(frontend: Frontend, node: Node, exit_by_s: float) -> None:
    """Wait until all requests are answered, and `CLIENT_GRACE_S` more for incomplete requests."""
    loop = asyncio.get_running_loop()
    last_open_s = frontend.active_time_at_poll_s()
    # Limited, as a client that neither completes its request nor reads would keep the process from exiting.
    while node.busy or (frontend.busy and frontend.active_time_at_poll_s() < last_open_s + CLIENT_GRACE_S):
        if loop.time() >= exit_by_s:
            return
        if node.busy or frontend.has_unfinished_answers:
            last_open_s = frontend.active_time_at_poll_s()
        await asyncio.sleep(POLL_S)
        frontend.close_idle(spare_new=True)
