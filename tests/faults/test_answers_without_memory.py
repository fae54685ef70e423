"""Answers of up to 64 KiB while the memory for messages is used up, with a real process.

An answer that is due as a whole is lost if it has not ended half a second after its request's time, also
where it was passed on from its head for lack of memory.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from cloverrouter.lab.peers import Discovery, Host, Proxy, Respond, Seen, running
from tests.standins.answers import ReceivedAnswer, receive_answer, use_up_memory

MEMORY_MB = 32  # a budget of 2 MiB for messages
ANSWER_BYTES, FIRST_BYTES = 60_000, 40_000
PAUSE_S = 4.0  # of a server within its answer
REQUESTS = 16  # at once: their answers do not fit into the reserve for undeclared ones either
TIMEOUT_MS, LOST_AFTER_S = 700, 0.5
HEADS = {
    "length": b"Content-Length: %d\r\n" % ANSWER_BYTES,
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "close": b"Connection: close\r\n",
}


def piece_of(framing: str, data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if framing == "chunked" else data


def paused_answer(framing: str, pause_s: float) -> Respond:
    """Write the first part of an answer, and the rest after a pause."""

    async def respond(seen: Seen, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            writer.write(b"HTTP/1.1 200 OK\r\n" + HEADS[framing] + b"\r\n")
            writer.write(piece_of(framing, b"x" * FIRST_BYTES))
            await writer.drain()
            await asyncio.sleep(pause_s)
            writer.write(piece_of(framing, b"y" * (ANSWER_BYTES - FIRST_BYTES)))
            if framing == "chunked":
                writer.write(b"0\r\n\r\n")
            await writer.drain()
        if framing == "close":
            writer.close()

    return respond


@asynccontextmanager
async def proxy_without_memory(respond: Respond) -> AsyncIterator[Proxy]:
    """Run a proxy whose budget for messages is used up by requests that stop within their body."""
    hosts = [await Host(f"h{i}", respond).start() for i in range(4)]
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512}
    async with running(await Discovery().start(), hosts, more={"limits": limits}) as proxy:
        holding = await use_up_memory(proxy)
        await asyncio.sleep(0.2)
        yield proxy
        for client in holding:
            client.writer.transport.abort()


async def ask_all(proxy: Proxy) -> list[ReceivedAnswer]:
    """Send the requests at once."""

    async def ask() -> ReceivedAnswer:
        client = await proxy.client()
        sent_s = time.monotonic()
        client.send("/unsafe", timeout_ms=TIMEOUT_MS)
        return await receive_answer(client, sent_s)

    async with asyncio.timeout(30):
        return await asyncio.gather(*(ask() for _ in range(REQUESTS)))


# Guards against: a short answer that was passed on for lack of memory is not ended while its server pauses.
@pytest.mark.parametrize("framing", HEADS)
def test_short_answer_whose_server_pauses_is_ended_in_its_time_without_memory(framing: str) -> None:
    async def scene() -> None:
        async with proxy_without_memory(paused_answer(framing, PAUSE_S)) as proxy:
            answers = await ask_all(proxy)
            assert [one for one in answers if one.end_s > TIMEOUT_MS / 1000 + LOST_AFTER_S] == []
            assert {one.status for one in answers} <= {200, 502, 503}
            assert [one for one in answers if one.status == 200 and one.whole] == []
            # Only one that is declared short may begin before it is known which it is.
            await asyncio.sleep(1.2)  # the line of the second in which they began
            assert ("answers_begun_short=" in proxy.log()) is (framing == "length")
            assert "answers_begun_undeclared=" not in proxy.log()

    asyncio.run(scene())


# Guards against: answers that are not read for lack of memory are not read on.
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_short_answer_that_comes_at_once_is_served_in_its_time_without_memory(framing: str) -> None:
    async def scene() -> None:
        async with proxy_without_memory(paused_answer(framing, 0.02)) as proxy:
            answers = await ask_all(proxy)
            assert [one[:2] for one in answers] == [(200, ANSWER_BYTES)] * REQUESTS
            assert max(one.end_s for one in answers) < TIMEOUT_MS / 1000

    asyncio.run(scene())
