"""The console's connection to the control socket, with automatic reconnection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from cloverrouter.console.session import ProxyRequest
from cloverrouter.control.protocol import MAX_ANSWER_BYTES, BadLine, decode_answer, encode
from cloverrouter.seams import Json

RECONNECT_DELAY_S = 0.5
HELLO_TIMEOUT_S = 5.0


class Link:
    """Connects, dispatches answers and reconnects. The callbacks run on the event loop."""

    def __init__(
        self,
        path: Path,
        on_hello: Callable[[Json], None],
        on_answer: Callable[[ProxyRequest, Json], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._path = path
        self._on_hello, self._on_answer, self._on_lost = on_hello, on_answer, on_lost
        self._writer: asyncio.StreamWriter | None = None
        self._pending: dict[int, ProxyRequest] = {}
        self._last_id = 0

    def send(self, request: ProxyRequest) -> None:
        """Send a request; without a connection it is dropped."""
        if self._writer is None:
            return
        self._last_id += 1
        self._pending[self._last_id] = request
        self._writer.write(encode({"id": self._last_id, "do": request.do, "args": request.args}))

    def drop(self) -> None:
        """Abort the connection; `run` opens a new one."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        while True:
            try:
                await self._run_connection()
            except (OSError, EOFError, ValueError, BadLine) as exc:
                reason = exc.strerror if isinstance(exc, OSError) and exc.strerror else str(exc)
                self._on_lost(reason or "the connection ended")
            finally:
                if self._writer is not None:
                    self._writer.close()
                    self._writer = None
                for request in [a for a in self._pending.values() if a.typed]:
                    error = {"code": "lost", "text": "the connection was lost: look whether it was done"}
                    self._on_answer(request, {"ok": False, "error": error})
                self._pending.clear()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _run_connection(self) -> None:
        reader, writer = await asyncio.open_unix_connection(str(self._path), limit=MAX_ANSWER_BYTES)
        self._writer = writer
        async with asyncio.timeout(HELLO_TIMEOUT_S):  # TimeoutError is an OSError
            hello = await self._read(reader)
        self._on_hello(hello)
        while True:
            message = await self._read(reader)
            request = self._pending.pop(message.get("id", 0), None)
            if request is not None and "ok" in message:
                self._on_answer(request, message)

    async def _read(self, reader: asyncio.StreamReader) -> Json:
        line = await reader.readline()
        if not line:
            raise EOFError("the proxy closed the connection")
        message = decode_answer(line)
        if "bye" in message:
            raise EOFError(str(message.get("text")))
        return message
