"""Connections to the management interface and the limit on descriptors."""

from __future__ import annotations

import asyncio
import os
from contextlib import suppress

from cloverrouter.lab.peers import Discovery, Host, running
from cloverrouter.lab.process import own_address
from cloverrouter.proxy.descriptors import max_operator_calls


def test_management_connections_and_idle_clients_stay_within_the_descriptor_limit() -> None:
    """200 silent connections to the management interface and 200 idle clients, opened at the same time."""

    async def scene() -> None:
        limit, management_address = 128, own_address()
        discovery, host = await Discovery().start(), await Host("h").start()
        settings = {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": limit}}
        environ = {"PROXY_MANAGEMENT": management_address}
        async with running(discovery, [host], more=settings, environ=environ) as proxy:
            descriptor_counts: list[int] = []

            async def count_descriptors() -> None:
                while True:
                    with suppress(OSError):
                        descriptor_counts.append(len(os.listdir(f"/proc/{proxy.process.pid}/fd")))
                    await asyncio.sleep(0.005)

            counting = asyncio.get_running_loop().create_task(count_descriptors())
            address, _, port = management_address.rpartition(":")
            opened = [asyncio.open_connection(*proxy.endpoint) for _ in range(200)]
            opened += [asyncio.open_connection(address, int(port)) for _ in range(200)]
            writers = [writer for _, writer in await asyncio.gather(*opened)]
            client = await proxy.client()
            assert (await client.ask("/unsafe")).status == 200
            await asyncio.sleep(0.1)
            counting.cancel()
            for writer in writers:
                writer.close()
            assert max_operator_calls(limit) == 8 < max(descriptor_counts) <= limit
            assert "Too many open files" not in proxy.log()

    asyncio.run(scene())
