"""Read an answer to its end, whatever its framing, and whether it is whole or not."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import NamedTuple

from cloverrouter.lab.peers import Client, Proxy


class ReceivedAnswer(NamedTuple):
    """What a client got, with times in seconds after it had sent its request; status 0: no answer."""

    status: int
    length: int  # of its body
    first_s: float  # when its head was complete
    end_s: float  # when it, or its connection, ended
    whole: bool  # its framing says so


async def receive_answer(client: Client, sent_s: float) -> ReceivedAnswer:
    """Read until the answer or its connection has ended; `sent_s`: when the request was sent."""
    try:
        head = (await client.reader.readuntil(b"\r\n\r\n")).lower()
    except (asyncio.IncompleteReadError, ConnectionError):
        ended_s = time.monotonic() - sent_s
        return ReceivedAnswer(0, 0, ended_s, ended_s, False)
    first_s, status, length, whole = time.monotonic() - sent_s, int(head.split()[1]), 0, False
    with suppress(asyncio.IncompleteReadError, ConnectionError):
        if b"content-length:" in head:
            declared = int(head.partition(b"content-length:")[2].split()[0])
            length = len(await client.reader.readexactly(declared))
            whole = True
        while b"chunked" in head and not whole:
            size = int(await client.reader.readuntil(b"\r\n"), 16)
            length += len(await client.reader.readexactly(size + 2)) - 2
            whole = size == 0
    return ReceivedAnswer(status, length, first_s, time.monotonic() - sent_s, whole)


HOLDING_CLIENTS, HOLDING_BYTES = 60, 60_000  # more together than the budget of a process with 32 MB


async def use_up_memory(proxy: Proxy) -> list[Client]:
    """Hold the budget for messages with requests that stop one byte before the end of their body."""
    clients = [await proxy.client() for _ in range(HOLDING_CLIENTS)]
    for number, client in enumerate(clients):
        head = f"X-Request-ID: hold{number}\r\nX-Timeout-Ms: 2500\r\nContent-Length: {HOLDING_BYTES}"
        client.writer.write(f"POST /unsafe HTTP/1.1\r\nHost: b\r\n{head}\r\n\r\n".encode())
        client.writer.write(bytes(HOLDING_BYTES - 1))
    return clients
