"""A box's shell alone: what its log says of when it took."""

from __future__ import annotations

import asyncio
import logging
import re
import time
from ipaddress import ip_address

import pytest

from cloverrouter.vrrp import shell
from cloverrouter.vrrp.pair import Shape
from cloverrouter.vrrp.wire import Kind
from tests.vrrp.test_loopback import free_address


def test_taking_has_ended_by_the_log_before_the_votes_go_back(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The machine may be slow between the sending of a release and what is done next: the peer is not."""
    released: list[float] = []

    async def scene() -> None:
        shape = Shape("a", "b", {"a": 1, "b": 0}, 150, 1, ip_address("127.77.0.41"))
        addresses = {"b": free_address("127.77.0.42")}
        box = shell.Box(
            shape, 1, addresses, 1, (ip_address("127.9.9.9"),), b"sixteen bytes and more",
            lambda taking: None, lambda text: None, lambda name, text: None,
        )  # fmt: skip
        await box.open(free_address("127.77.0.41"))
        async with asyncio.timeout(30):
            while box.refusal():
                await asyncio.sleep(0.02)

        def send(target: str, kind: Kind, payload: bytes = b"") -> None:
            if kind is Kind.RELEASE:
                released.append(shell.now_ms())
            time.sleep(0.01)

        monkeypatch.setattr(box.post, "send", send)
        box.close()

    with caplog.at_level(logging.WARNING):
        asyncio.run(scene())
    (end,) = re.findall(r"took work from [\d.]+ to ([\d.]+)", caplog.text)
    assert released and float(end) <= released[0]
