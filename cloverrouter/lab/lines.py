"""Messages of the lab's own processes: lines of JSON on standard input and output."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from typing import Any

MAX_LINE_BYTES = 64 * 1024 * 1024


async def read_commands(handle: Callable[[dict[str, Any]], None]) -> None:
    """Call `handle` with each message of standard input, until its end."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        handle(json.loads(line))


def write_message(message: dict[str, Any]) -> None:
    """Write a message to standard output."""
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()
