"""Helpers of the HTTP/3 tests: runs a test in a scene of its own, and waits for conditions."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import TypeVar

from cloverrouter.lab.process import LONG_S

S = TypeVar("S")


def run_in_scene(
    open_scene: Callable[[Path], AbstractAsyncContextManager[S]],
) -> Callable[[Callable[[S], Awaitable[None]]], Callable[[Path], None]]:
    """Return a decorator for a test that gets a scene of its own, which `open_scene` sets up in a folder."""

    def decorate(test_body: Callable[[S], Awaitable[None]]) -> Callable[[Path], None]:
        def test(tmp_path: Path) -> None:
            async def run() -> None:
                async with open_scene(tmp_path) as s:
                    await test_body(s)

            asyncio.run(run())

        test.__doc__ = test_body.__doc__
        return test

    return decorate


async def until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds."""
    async with asyncio.timeout(LONG_S):
        while not condition():
            await asyncio.sleep(0.005)
