"""The console's connection to the control socket: kept up, whatever the proxy does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from cloverrouter.console.session import Ask
from cloverrouter.control.protocol import MOST_ANSWER, BadLine, decode_answer, encode
from cloverrouter.seams import Json

AGAIN_S = 0.5
HELLO_S = 5.0


class Link:
    """Connects, reads, and connects again. `on_hello`, `on_answer` and `on_lost` run on the event loop."""

    def __init__(
        self,
        path: Path,
        on_hello: Callable[[Json], None],
        on_answer: Callable[[Ask, Json], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._path = path
        self._on_hello, self._on_answer, self._on_lost = on_hello, on_answer, on_lost
        self._writer: asyncio.StreamWriter | None = None
        self._asked: dict[int, Ask] = {}
        self._last_id = 0

    def ask(self, ask: Ask) -> None:
        if self._writer is None:
            return
        self._last_id += 1
        self._asked[self._last_id] = ask
        self._writer.write(encode({"id": self._last_id, "do": ask.do, "args": ask.args}))

    def drop(self) -> None:
        """Give the connection up; a new one is made."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def run(self) -> None:
        while True:
            try:
                await self._one()
            except (OSError, EOFError, ValueError, BadLine) as wrong:
                reason = wrong.strerror if isinstance(wrong, OSError) and wrong.strerror else str(wrong)
                self._on_lost(reason or "it ended")
            finally:
                if self._writer is not None:
                    self._writer.close()
                    self._writer = None
                for ask in [a for a in self._asked.values() if a.typed]:
                    error = {"code": "lost", "text": "the connection was lost: look whether it was done"}
                    self._on_answer(ask, {"ok": False, "error": error})
                self._asked.clear()
            await asyncio.sleep(AGAIN_S)

    async def _one(self) -> None:
        reader, writer = await asyncio.open_unix_connection(str(self._path), limit=MOST_ANSWER)
        self._writer = writer
        async with asyncio.timeout(HELLO_S):  # TimeoutError is an OSError
            hello = await self._read(reader)
        self._on_hello(hello)
        while True:
            told = await self._read(reader)
            ask = self._asked.pop(told.get("id", 0), None)
            if ask is not None and "ok" in told:
                self._on_answer(ask, told)

    async def _read(self, reader: asyncio.StreamReader) -> Json:
        line = await reader.readline()
        if not line:
            raise EOFError("the proxy closed the connection")
        told = decode_answer(line)
        if "bye" in told:
            raise EOFError(str(told.get("text")))
        return told
