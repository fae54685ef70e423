"""The budget for the parts of messages that connections hold, and what is done while it is exhausted."""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.lab.peers import Seen, answer_ok, ok
from cloverrouter.proxy.memory import (
    FREE_BYTES,
    MIN_BUDGET_BYTES,
    MIN_RESERVED_ANSWERS,
    SMALL_READ_BYTES,
    MemoryAccount,
    MemoryBudget,
    message_budget_bytes,
)
from cloverrouter.proxy.wake import Loop
from tests.endings.test_gone import InProcessProxy, run_scene_with_cleanup, start_host
from tests.test_upstream import until
from tests.test_wake import run_scene
from tests.test_waking_front import connect, request, start_frontend

ANSWER = b"z" * 50_000


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3 * FREE_BYTES)), max_size=40))
def test_budget_is_the_sum_of_what_accounts_hold_beyond_the_free_part(holds: list[tuple[int, int]]) -> None:
    budget = MemoryBudget(FREE_BYTES)
    accounts, held = [MemoryAccount(budget) for _ in range(4)], [0] * 4
    for number, size in holds:
        may_hold = accounts[number].may_hold(size)
        before = held[number]
        held[number] = max(0, size - FREE_BYTES)
        assert may_hold == (held[number] <= before or sum(held) <= budget.limit_bytes)
        accounts[number].hold(size)
        assert budget.held_bytes == sum(held)
        assert budget.exhausted == (sum(held) >= budget.limit_bytes)


def test_budget_follows_from_the_limit_of_memory_and_the_number_of_processes() -> None:
    assert message_budget_bytes(32) == 2 * 2**20
    assert message_budget_bytes(192) == 42 * 2**20
    assert message_budget_bytes(192, processes=2) == 18 * 2**20
    assert message_budget_bytes(8) == MIN_BUDGET_BYTES


def read_status(client: socket.socket) -> bytes:
    client.setblocking(False)
    with suppress(BlockingIOError):
        return client.recv(65536)[9:12]
    return b""


# Guards against: large requests that use up the memory, or that take the memory of small ones.
def test_large_request_is_refused_and_a_small_one_served_while_the_budget_is_exhausted() -> None:
    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        frontend.memory.limit_bytes = 0
        large = connect(address, request("large", b"x" * 40_000)[:30_000])
        await until(lambda: read_status(large) == b"503")
        assert not handler.calls
        small = connect(address, request("small", b"x" * 100))
        await until(lambda: handler.calls)
        handler.calls.pop().reply(200, b"done")
        await until(lambda: read_status(small) == b"200")
        assert frontend.load.total["refused_no_memory"] == 1

    run_scene(scene)


def test_calls_sent_at_once_are_read_one_by_one_while_the_budget_is_exhausted() -> None:
    async def scene(loop: Loop) -> None:
        frontend, handler, address = await start_frontend(loop, 8)
        frontend.memory.limit_bytes = 0
        client = connect(address, b"".join(request(f"r{i}") for i in range(200)))
        client.setblocking(False)
        for _ in range(200):
            await until(lambda: handler.calls)
            connection = next(iter(frontend._connections))
            assert len(connection._unparsed) <= SMALL_READ_BYTES
            handler.calls.pop().reply(200, b"done")
        await until(lambda: not connection.busy)

    run_scene(scene)


# Guards against: answers that are buffered as a whole although there is no memory for them.
def test_answer_is_streamed_as_it_comes_while_the_budget_is_exhausted() -> None:
    async def slow(seen: Seen, writer: asyncio.StreamWriter) -> None:
        answer = ok(ANSWER)
        writer.write(answer[:30_000])
        await asyncio.sleep(0.3)
        writer.write(answer[30_000:])

    async def scene(loop: Loop) -> None:
        host = await start_host(slow)
        proxy = InProcessProxy(("127.0.0.1", host.port))
        proxy.upstream.memory = proxy.frontend.memory
        proxy.frontend.memory.limit_bytes = 0
        client = connect(await proxy.listen(), request("r0"))
        client.setblocking(False)
        received = await loop.sock_recv(client, 65536)
        assert b"200 OK" in received and not received.endswith(ANSWER)
        while not received.endswith(ANSWER):
            received += await loop.sock_recv(client, 65536)
        client.close()

    run_scene_with_cleanup(scene)


# Guards against: memory that stays charged after its connection has ended, until everything is refused.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_stays_charged_once_all_connections_have_ended(seed: int) -> None:
    draw = random.Random(seed)

    async def respond(seen: Seen, writer: asyncio.StreamWriter) -> None:
        kind = draw.random()
        await asyncio.sleep(draw.choice((0.0, 0.01)))
        if kind < 0.4:
            await answer_ok(seen, writer)
        elif kind < 0.8:
            answer = ok(b"z" * draw.choice((10_000, 60_000, 200_000)))
            writer.write(answer[: draw.randrange(1, len(answer))] if kind < 0.5 else answer)
        else:
            writer.transport.abort()

    async def scene(loop: Loop) -> None:
        host = await start_host(respond)
        proxy = InProcessProxy(("127.0.0.1", host.port))
        proxy.upstream.memory = proxy.frontend.memory
        proxy.frontend.memory.limit_bytes = draw.choice((0, 100_000, 1_000_000))
        address = await proxy.listen()
        clients = []
        for i in range(60):
            body = b"x" * draw.choice((0, 5_000, 70_000, 300_000))
            data = b"".join(request(f"r{i}-{k}", body) for k in range(draw.choice((1, 1, 4))))
            client = socket.create_connection(address)
            client.setblocking(False)
            with suppress(BlockingIOError):
                client.send(data[: draw.randrange(1, len(data) + 1)])
            clients.append(client)
            await asyncio.sleep(0.002)
        await asyncio.sleep(0.1)
        for client in clients:
            client.close()
        await until(lambda: not proxy.frontend.count and not proxy.node.busy)
        for connection in list(proxy.upstream.connections):
            connection.abort()
        assert proxy.frontend.memory.held_bytes == 0

    run_scene_with_cleanup(scene)


# Guards against: answers that may not be passed on early each hold a part, and none comes to its end.
def test_reserve_holds_some_answers_whole_and_is_given_back() -> None:
    budget = MemoryBudget(1_000_000)
    MemoryAccount(budget).hold(1_100_000)
    accounts = [MemoryAccount(budget) for _ in range(MIN_RESERVED_ANSWERS + 1)]
    held = [account.may_hold_answer(10_000) for account in accounts]
    assert held == [True] * MIN_RESERVED_ANSWERS + [False]
    accounts[0].hold(10_000)
    assert accounts[0].may_hold_answer(60_000)
    accounts[0].hold(0)
    assert accounts[-1].may_hold_answer(10_000)
