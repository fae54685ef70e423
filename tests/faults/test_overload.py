"""Overloaded servers and a paused or starved proxy: each request still gets its final answer.

The incident: docs/incidents/2026-12-02-requests-not-accepted.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from cloverrouter.lab.peers import Discovery, Proxy, running
from tests.faults.overload import LimitedServers, RetryingClients
from tests.faults.processor import Starvation, pause

REQUESTS_PER_S, RETRIES = 120.0, 3  # of the clients; the servers can answer 27 requests a second
TIMEOUTS_S = (0.15, 0.4, 1.5, 3.0)
TROUBLE_FROM_S, SECONDS = 1.5, 5.0
RUN_S, REST_S = 0.025, 0.075  # the proxy gets a quarter of a CPU
# A run in which the machine itself denied the proxy its CPU time is not valid; it is repeated, up to this
# number of runs.
MAX_RUNS = 3
Trouble = Callable[[Proxy], Awaitable[None]]


async def run_overload(trouble: Trouble) -> tuple[RetryingClients, str]:
    """Run `trouble` while clients send four times what the servers can answer, and retry.

    Returns the clients, and the log of the proxy.
    """
    servers, discovery = LimitedServers(4, 2, 0.3), await Discovery().start()
    trace = {"PROXY_TRACE": "1"}
    async with running(discovery, await servers.start(), environ=trace) as proxy:
        clients = RetryingClients(proxy.endpoint, REQUESTS_PER_S, RETRIES, TIMEOUTS_S)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(clients.run(SECONDS))
            await asyncio.sleep(TROUBLE_FROM_S)
            await trouble(proxy)
        log = proxy.log()
    assert max(servers.received().values()) == 1  # no request of this class may run twice
    return clients, log


def check_record(clients: RetryingClients, log: str, evidence: str) -> None:
    assert clients.record.statuses["200"] >= 50, clients.record.summary()
    assert clients.record.statuses["503"] >= 300, clients.record.summary()
    clients.record.check(log, evidence)


def test_overload_in_which_the_process_is_paused_once_loses_no_request() -> None:
    clients, log = asyncio.run(run_overload(lambda proxy: pause(proxy.process.pid, 0.15)))
    check_record(clients, log, "paused once")


def run_starved() -> tuple[RetryingClients, str, Starvation]:
    starvation = Starvation(RUN_S, REST_S)
    trouble_s = SECONDS - TROUBLE_FROM_S - 0.5
    clients, log = asyncio.run(run_overload(lambda proxy: starvation.play(proxy.process.pid, trouble_s)))
    return clients, log, starvation


def test_overload_with_a_quarter_of_the_processor_loses_no_request() -> None:
    for _ in range(MAX_RUNS):
        clients, log, starvation = run_starved()
        if not starvation.denied:
            break
        print(f"repeated: {starvation.summary()}; {clients.record.summary()}")
    check_record(clients, log, starvation.summary())
