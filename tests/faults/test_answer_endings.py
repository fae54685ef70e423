"""Seeded random answers (size, framing, pauses) against the rules on their ends, with a real process.

By hand, for more seeds: `python -m tests.faults.test_answer_endings FIRST LAST`.
"""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from random import Random
from typing import NamedTuple

import pytest

from cloverrouter.lab.peers import Discovery, Host, Proxy, Seen, running
from cloverrouter.proxy.late_answers import GOING_ON_IDLE_S, GRACE_S
from cloverrouter.proxy.messages import STREAMING_THRESHOLD_BYTES
from tests.standins.answers import ReceivedAnswer, receive_answer, use_up_memory

REQUESTS, ARRIVING_S = 80, 4.0
LOST_AFTER_S = 0.5  # after a request's time
MARGIN_S = 0.15  # between this process's clock and the proxy's decision, where either would do
LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 512}
FRAMINGS = {"length": b"Content-Length: %d\r\n", "chunked": b"Transfer-Encoding: chunked\r\n", "close": b""}


class Plan(NamedTuple):
    """One answer: `pieces` are pairs of a delay in seconds and a number of bytes."""

    framing: str
    pieces: tuple[tuple[float, int], ...]
    timeout_s: float

    @property
    def length(self) -> int:
        return sum(size for _, size in self.pieces)

    def may_end_late(self) -> bool:
        """Whether the page on endings names it: undeclared, and still being written at the decision."""
        if self.framing == "length" or self.length > STREAMING_THRESHOLD_BYTES:
            return False
        decision_s, at_s, last_s = self.timeout_s + GRACE_S, 0.0, 0.0
        for delay_s, _ in self.pieces:
            at_s += delay_s
            if at_s <= decision_s + MARGIN_S:
                last_s = at_s
        has_body = self.pieces[0][0] <= decision_s - MARGIN_S
        return not has_body or decision_s - last_s < GOING_ON_IDLE_S + MARGIN_S


def draw_plan(random: Random) -> Plan:
    sizes = [random.choice((500, 5_000, 20_000, 50_000)) for _ in range(random.randint(1, 6))]
    delays = [random.choice((0.0, 0.05, 0.3, 0.8, 2.0)) for _ in sizes]
    return Plan(
        random.choice(list(FRAMINGS)), tuple(zip(delays, sizes, strict=True)), random.choice((0.4, 0.7, 1.1))
    )


async def write_answer(plan: Plan, writer: asyncio.StreamWriter) -> None:
    head = FRAMINGS[plan.framing]
    writer.write(b"HTTP/1.1 200 OK\r\n" + (head % plan.length if plan.framing == "length" else head))
    writer.write(b"Connection: close\r\n\r\n" if plan.framing == "close" else b"\r\n")
    for delay_s, size in plan.pieces:
        await asyncio.sleep(delay_s)
        data = b"x" * size
        writer.write(b"%x\r\n%b\r\n" % (size, data) if plan.framing == "chunked" else data)
        await writer.drain()
    if plan.framing == "chunked":
        writer.write(b"0\r\n\r\n")
    if plan.framing == "close":
        writer.close()


def fault_of(plan: Plan, got: ReceivedAnswer) -> str:
    """Return which rule is broken, or an empty text."""
    lost_s = plan.timeout_s + LOST_AFTER_S
    if got.first_s > lost_s:
        return "no first byte in time"
    if got.status != 200:
        return "" if got.status in (502, 503) else "another status"
    if plan.length > STREAMING_THRESHOLD_BYTES:
        return "" if got.whole and got.length == plan.length else "a long answer was cut off"
    if got.end_s > lost_s and not plan.may_end_late():
        return "no end in time"
    return "" if got.length == plan.length or not got.whole else "another body"


async def play(seed: int) -> tuple[list[str], int]:
    """Return the faults, and how many answers were served whole."""
    random = Random(seed)
    plans = [draw_plan(random) for _ in range(REQUESTS)]

    async def respond(seen: Seen, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            await write_answer(plans[int(seen.message.start.split()[1].partition("obj=")[2])], writer)

    async def ask(proxy: Proxy, number: int) -> ReceivedAnswer:
        await asyncio.sleep(ARRIVING_S * number / REQUESTS)
        client = await proxy.client()
        sent_s = time.monotonic()
        client.send(f"/unsafe?obj={number}", timeout_ms=int(plans[number].timeout_s * 1000))
        async with asyncio.timeout(30):
            return await receive_answer(client, sent_s)

    hosts = [await Host(f"h{i}", respond).start() for i in range(8)]
    async with running(await Discovery().start(), hosts, more={"limits": LIMITS}) as proxy:
        if seed % 2:
            await use_up_memory(proxy)
        got = await asyncio.gather(*(ask(proxy, number) for number in range(REQUESTS)))
        assert proxy.up
    faults = [
        f"seed {seed}: {fault}: {plan}, {one}"
        for plan, one in zip(plans, got, strict=True)
        if (fault := fault_of(plan, one))
    ]
    return faults, sum(one.status == 200 and one.whole for one in got)


# Guards against: an answer that has begun is cut off though it is long, or has no end in time though short.
@pytest.mark.parametrize("seed", [1, 2])  # with and without memory for messages
def test_random_answers_end_as_the_rules_ask(seed: int) -> None:
    faults, served = asyncio.run(play(seed))
    assert not faults
    assert served >= REQUESTS // 4


if __name__ == "__main__":
    for chosen in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        print(chosen, *asyncio.run(play(chosen)), flush=True)
