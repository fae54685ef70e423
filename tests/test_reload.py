"""Reload on SIGHUP: the file is reread and the watch moves to a new address, also during calls and drains."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import Any

import pytest

from cloverrouter.lab.peers import Discovery, Host, Proxy, answer_ok, never, ok, running


def change_file(proxy: Proxy, **changes: Any) -> None:
    fields = json.loads(proxy.config.read_text())
    proxy.config.write_text(json.dumps({**fields, **changes}))


async def second_discovery(old: Discovery, hosts: list[Host]) -> Discovery:
    """Start another discovery service, which counts its versions independently."""
    new = await Discovery().start()
    new.version = 1  # lower than the old one's: asked for changes since that, it would not answer
    new.entries.update({host.name: host.entry() for host in hosts})
    return new


# The platform also sets discovery's address in the environment.
@pytest.mark.parametrize("environment", [False, True])
def test_sighup_moves_the_watch_and_keeps_the_open_request(environment: bool) -> None:
    async def scene() -> None:
        old, host, late = await Discovery().start(), await Host("h0", never).start(), await Host("h1").start()
        old.version = 7
        extra = {"PROXY_DISCOVERY": f"127.0.0.1:{old.port}"} if environment else {}
        async with running(old, [host], environ=extra) as proxy:
            await old.wait_for_calls(1)
            client = await proxy.client()
            client.send("/unsafe")
            await host.wait(lambda: len(host.seen) == 1)
            new = await second_discovery(old, [host, late])
            change_file(proxy, discovery=f"127.0.0.1:{new.port}")
            proxy.process.send_signal(signal.SIGHUP)
            await new.wait_for_calls(2)
            assert new.calls[0] == "/v1/servers"  # the whole list, at once
            assert new.calls[1].startswith("/v1/servers?from=1&")
            host.open[1].write(ok(b"kept"))
            assert (await client.read()).body == b"kept"
            host.respond = answer_ok
            while not late.seen:  # until the list from the new address is in force
                assert (await client.ask("/unsafe")).status == 200
            calls = len(old.calls)
            await new.change(late.entry("leaving"))
            await new.wait_for_calls(3)
            assert len(old.calls) == calls

    asyncio.run(scene())


@pytest.mark.parametrize("text", ["", "{", "[]", "{}", '{"discovery": 5}', '{"discovery": "a.name:1"}', None])
def test_bad_file_is_logged_and_the_configuration_stays_in_force(text: str | None) -> None:
    async def scene() -> None:
        discovery, host, late = await Discovery().start(), await Host("h0").start(), await Host("h1").start()
        async with running(discovery, [host]) as proxy:
            await discovery.wait_for_calls(1)
            if text is None:
                proxy.config.unlink()
            else:
                proxy.config.write_text(text)
            proxy.process.send_signal(signal.SIGHUP)
            await proxy.logged("not reread")
            await discovery.change(late.entry())
            client = await proxy.client()
            while not late.seen:
                assert (await client.ask("/unsafe")).status == 200

    asyncio.run(scene())


def test_sighup_during_a_drain_loses_no_request() -> None:
    async def scene() -> None:
        discovery, host = await Discovery().start(), await Host("h0", never).start()
        async with running(discovery, [host]) as proxy:
            client = await proxy.client()
            client.send("/unsafe")
            await host.wait(lambda: len(host.seen) == 1)
            new = await second_discovery(discovery, [host])
            change_file(proxy, discovery=f"127.0.0.1:{new.port}")
            proxy.process.send_signal(signal.SIGTERM)
            proxy.process.send_signal(signal.SIGHUP)
            await new.wait_for_calls(1)
            host.open[1].write(ok(b"kept"))
            assert (await client.read()).body == b"kept"
            assert await proxy.ended() == 0

    asyncio.run(scene())
