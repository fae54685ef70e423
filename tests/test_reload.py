"""SIGHUP: the file is read again and the watch moves, whatever else is going on."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import Any

import pytest

from cloverrouter.lab.peers import Discovery, Host, Proxy, answer_ok, never, ok, running


def replace(proxy: Proxy, **changes: Any) -> None:
    told = json.loads(proxy.config.read_text())
    proxy.config.write_text(json.dumps({**told, **changes}))


async def moved(old: Discovery, hosts: list[Host]) -> Discovery:
    """A second discovery, with an own count of versions."""
    new = await Discovery().start()
    new.version = 1  # behind the old one's: asked for changes from there, it would stay silent
    new.entries.update({host.name: host.entry() for host in hosts})
    return new


# The program is told by its environment, too, as the platform does.
@pytest.mark.parametrize("environment", [False, True])
def test_sighup_moves_the_watch_and_keeps_the_open_call(environment: bool) -> None:
    async def scene() -> None:
        old, host, late = await Discovery().start(), await Host("h0", never).start(), await Host("h1").start()
        old.version = 7
        extra = {"PROXY_DISCOVERY": f"127.0.0.1:{old.port}"} if environment else {}
        async with running(old, [host], environ=extra) as proxy:
            await old.asked(1)
            client = await proxy.client()
            client.send("/unsafe")
            await host.wait(lambda: len(host.seen) == 1)
            new = await moved(old, [host, late])
            replace(proxy, discovery=f"127.0.0.1:{new.port}")
            proxy.process.send_signal(signal.SIGHUP)
            await new.asked(2)
            assert new.calls[0] == "/v1/servers"  # the whole list, at once
            assert new.calls[1].startswith("/v1/servers?from=1&")
            host.open[1].write(ok(b"kept"))
            assert (await client.read()).body == b"kept"
            host.respond = answer_ok
            while not late.seen:  # what the new address tells is believed
                assert (await client.ask("/unsafe")).status == 200
            calls = len(old.calls)
            await new.change(late.entry("leaving"))
            await new.asked(3)
            assert len(old.calls) == calls

    asyncio.run(scene())


@pytest.mark.parametrize("text", ["", "{", "[]", "{}", '{"discovery": 5}', '{"discovery": "a.name:1"}', None])
def test_bad_file_is_logged_and_what_works_is_kept(text: str | None) -> None:
    async def scene() -> None:
        discovery, host, late = await Discovery().start(), await Host("h0").start(), await Host("h1").start()
        async with running(discovery, [host]) as proxy:
            await discovery.asked(1)
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


def test_sighup_during_a_drain_loses_nothing() -> None:
    async def scene() -> None:
        discovery, host = await Discovery().start(), await Host("h0", never).start()
        async with running(discovery, [host]) as proxy:
            client = await proxy.client()
            client.send("/unsafe")
            await host.wait(lambda: len(host.seen) == 1)
            new = await moved(discovery, [host])
            replace(proxy, discovery=f"127.0.0.1:{new.port}")
            proxy.process.send_signal(signal.SIGTERM)
            proxy.process.send_signal(signal.SIGHUP)
            await new.asked(1)
            host.open[1].write(ok(b"kept"))
            assert (await client.read()).body == b"kept"
            assert await proxy.ended() == 0

    asyncio.run(scene())
