"""What the tests of front and carrier share: a scene for each test, and the wait for what is to come."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import TypeVar

from cloverrouter.lab.process import LONG_S

S = TypeVar("S")


def played_in(
    opened: Callable[[Path], AbstractAsyncContextManager[S]],
) -> Callable[[Callable[[S], Awaitable[None]]], Callable[[Path], None]]:
    """A test that is played in a scene of its own, which `opened` makes in a folder."""

    def played(play: Callable[[S], Awaitable[None]]) -> Callable[[Path], None]:
        def test(tmp_path: Path) -> None:
            async def run() -> None:
                async with opened(tmp_path) as s:
                    await play(s)

            asyncio.run(run())

        test.__doc__ = play.__doc__
        return test

    return played


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LONG_S):
        while not condition():
            await asyncio.sleep(0.005)
