"""A single `VrrpNode` on sockets: the times that it logs for accepting work."""

from __future__ import annotations

import asyncio
import logging
import re
import time
from ipaddress import ip_address

import pytest

from cloverrouter.vrrp import shell
from cloverrouter.vrrp.pair import PairConfig
from cloverrouter.vrrp.wire import Kind
from tests.vrrp.test_loopback import free_address


def test_end_of_accepting_is_logged_before_the_release_is_sent(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A pause after sending a release must not extend the logged time: the peer may accept at once."""
    released: list[float] = []

    async def scene() -> None:
        config = PairConfig("a", "b", {"a": 1, "b": 0}, 150, 1, ip_address("127.77.0.41"))
        addresses = {"b": free_address("127.77.0.42")}
        node = shell.VrrpNode(
            config, 1, addresses, 1, (ip_address("127.9.9.9"),), b"sixteen bytes and more",
            lambda accepting: None, lambda text: None, lambda name, text: None,
        )  # fmt: skip
        await node.open(free_address("127.77.0.41"))
        async with asyncio.timeout(30):
            while node.refusal():
                await asyncio.sleep(0.02)

        def send(target: str, kind: Kind, payload: bytes = b"") -> None:
            if kind is Kind.RELEASE:
                released.append(shell.now_ms())
            time.sleep(0.01)

        monkeypatch.setattr(node.socket, "send", send)
        node.close()

    with caplog.at_level(logging.WARNING):
        asyncio.run(scene())
    (end,) = re.findall(r"took work from [\d.]+ to ([\d.]+)", caplog.text)
    assert released and float(end) <= released[0]
