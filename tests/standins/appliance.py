"""A proxy with an operators' file, for tests: its folders, its control socket, and both ends of its work."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from cloverrouter.control.protocol import MOST_ANSWER, encode
from cloverrouter.lab.peers import LONG_S, Discovery, Host, Proxy, running
from cloverrouter.seams import Json

SITE = """
[control]
enabled = true
directory = "{folder}/control"
{control}
[state]
enabled = {state}
directory = "{folder}/state"
"""


class Line:
    """A raw connection to the control socket."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.hello: Json = {}
        self.last_id = 0

    @classmethod
    async def to(cls, path: Path) -> Line:
        line = cls(*await asyncio.open_unix_connection(str(path), limit=MOST_ANSWER))
        line.hello = await line.read()
        return line

    async def read(self) -> Json:
        """The next line; an empty object at the end of the connection."""
        async with asyncio.timeout(LONG_S):
            try:
                line = await self.reader.readline()
            except ConnectionError:
                line = b""
        return dict(json.loads(line)) if line else {}

    async def ask(self, do: str, **args: Any) -> Json:
        self.last_id += 1
        self.writer.write(encode({"id": self.last_id, "do": do, "args": args}))
        while (told := await self.read()) and not (told.get("id") == self.last_id and "ok" in told):
            pass
        return told

    async def result(self, do: str, **args: Any) -> Json:
        told = await self.ask(do, **args)
        assert told.get("ok"), told
        return dict(told["result"])

    async def server(self, name: str) -> Json:
        found = (await self.result("servers"))["servers"]
        return next(dict(server) for server in found if server["server"] == name)


class Box:
    """A folder for the operators' file, the control socket and the state; it outlives a proxy."""

    def __init__(self, folder: Path, state: bool, control: str) -> None:
        self.folder = folder
        self.file = folder / "site.toml"
        self.socket = folder / "control" / "control.sock"
        self.state = folder / "state"
        text = SITE.format(folder=folder, state=str(state).lower(), control=control)
        self.file.write_text(text)

    @property
    def environ(self) -> dict[str, str]:
        return {"PROXY_SITE": str(self.file)}

    async def line(self) -> Line:
        return await Line.to(self.socket)

    async def ctl(self, *words: str) -> tuple[int, str, str]:
        """`ctl` as its own process: exit code, standard output, standard error."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cloverrouter", "ctl", "--socket", str(self.socket), *words,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        async with asyncio.timeout(LONG_S):
            out, err = await process.communicate()
        assert process.returncode is not None
        return process.returncode, out.decode(), err.decode()


@asynccontextmanager
async def boxed(
    hosts: list[Host],
    state: bool = True,
    control: str = "",
    discovery: Discovery | None = None,
    importtime: bool = False,
) -> AsyncIterator[tuple[Box, Proxy, Discovery]]:
    """A proxy with control and, if wanted, state, before these hosts."""
    if discovery is None:
        discovery = await Discovery().start()
        discovery.holds = True
    with tempfile.TemporaryDirectory() as folder:
        box = Box(Path(folder), state, control)
        command = [sys.executable, "-X", "importtime", "-m", "cloverrouter.proxy"] if importtime else None
        async with running(discovery, hosts, environ=box.environ, command=command) as proxy:
            yield box, proxy, discovery
