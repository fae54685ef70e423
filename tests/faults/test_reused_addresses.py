"""Servers that are replaced by others at the same address, which the list tells late or never."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from typing import Any

from cloverrouter.lab.peers import Client, Discovery, Host, Proxy, Seen, answer_ok, never, ok, reset, running

MAX_REQUESTS, MIN_SEEN = 600, 2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER
OTHER_CELL = 2  # of the server that takes over an address; all others are in cell 1


def ids_at(host: Host) -> set[str]:
    return {seen.message.headers["x-request-id"] for seen in host.seen}


async def ask_keyed_until_seen(proxy: Proxy, host: Host) -> None:
    """Send keyed requests, one after the other on new connections, until `host` has had some of them."""
    for _ in range(MAX_REQUESTS):
        client = await proxy.client()
        await client.ask("/keyed", timeout_ms=1200)
        client.writer.close()
        if len(host.seen) >= MIN_SEEN:
            return
        await asyncio.sleep(0.01)
    assert host.seen


async def end_process(host: Host) -> None:
    """End a server's process: its connections are reset, and its address is free."""
    host.server.close()
    for writer in list(host.open.values()):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
    await host.wait(lambda: not host.open)


async def take_over(host: Host, name: str) -> Host:
    """Start another server at the address of one that has ended. It resets each request."""
    other = Host(name, reset)
    other.server = await asyncio.start_server(other._serve, "127.0.0.1", host.port)
    other.port = host.port
    return other


def entry_of(host: Host, **changes: Any) -> dict[str, Any]:
    return {**host.entry(), **changes}


async def warm_up(proxy: Proxy, hosts: list[Host]) -> None:
    """Have each server answer, so that the proxy has a connection to each."""
    async with asyncio.timeout(10):
        while not all(host.seen for host in hosts):
            await (await proxy.client()).ask("/keyed")


# Guards against: an address that belongs to a new server is used as that of the old one, whose entry is late:
# a repetition then goes to servers that do not know the key.
def test_address_that_is_listed_for_a_new_server_is_not_used_as_that_of_the_old_one() -> None:
    async def scene() -> None:
        hosts = [await Host(f"h{i}", answer_ok).start() for i in range(3)]
        discovery = await Discovery().start()
        async with running(discovery, hosts) as proxy:
            await warm_up(proxy, hosts)
            await end_process(hosts[0])
            new = await take_over(hosts[0], "n0")
            await discovery.change(entry_of(new, cell=OTHER_CELL))
            await asyncio.sleep(0.2)
            await ask_keyed_until_seen(proxy, new)
            assert not [host.name for host in hosts[1:] if ids_at(host) & ids_at(new)]

    asyncio.run(scene())


# Guards against: a request is repeated in the cell of a server whose process was replaced by one of another
# cell, of which the list does not tell.
def test_request_at_a_process_that_the_list_does_not_know_is_not_repeated_in_the_old_cell() -> None:
    async def scene() -> None:
        hosts = [await Host(f"h{i}", answer_ok).start() for i in range(3)]
        async with running(await Discovery().start(), hosts) as proxy:
            await warm_up(proxy, hosts)
            await end_process(hosts[0])
            new = await take_over(hosts[0], "n0")
            await ask_keyed_until_seen(proxy, new)
            assert not [host.name for host in hosts[1:] if ids_at(host) & ids_at(new)]

    asyncio.run(scene())


class Restarting:
    """Answers only on connections that were opened after its restart; older ones stay open and silent."""

    def __init__(self) -> None:
        self.first_connection = 0  # of the current process

    async def __call__(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        if seen.connection < self.first_connection:
            await never(seen, writer)
        else:
            writer.write(ok())


# Guards against: a request is sent on a connection of a process that has gone without a word.
def test_connection_from_before_a_start_that_the_list_tells_is_not_used() -> None:
    async def scene() -> None:
        respond = Restarting()
        host = await Host("h0", respond).start()
        discovery = await Discovery().start()
        async with running(discovery, [host]) as proxy:
            clients: list[Client] = [await proxy.client() for _ in range(4)]
            for client in clients:
                client.send("/unsafe")
            for client in clients:
                assert (await client.read()).status == 200
            respond.first_connection = host.connections + 1
            await asyncio.sleep(0.05)
            await discovery.change(entry_of(host, started_ms=int(time.time() * 1000)))
            await asyncio.sleep(0.2)
            assert (await clients[0].ask("/unsafe", timeout_ms=1000)).status == 200
            assert host.seen[-1].connection >= respond.first_connection

    asyncio.run(scene())
