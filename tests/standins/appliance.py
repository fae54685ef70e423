"""A proxy with an operators' file, for tests: its directories, its control socket and its peers."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from cloverrouter.control.protocol import MAX_ANSWER_BYTES, encode
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


class ControlConnection:
    """A raw connection to the control socket."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.hello: Json = {}
        self.last_id = 0

    @classmethod
    async def open(cls, path: Path) -> ControlConnection:
        """Connect to the socket and read the greeting into `hello`."""
        line = cls(*await asyncio.open_unix_connection(str(path), limit=MAX_ANSWER_BYTES))
        line.hello = await line.read()
        return line

    async def read(self) -> Json:
        """Return the next line, or an empty object at the end of the connection."""
        async with asyncio.timeout(LONG_S):
            try:
                line = await self.reader.readline()
            except ConnectionError:
                line = b""
        return dict(json.loads(line)) if line else {}

    async def ask(self, do: str, **args: Any) -> Json:
        """Send a command and return its answer; lines that arrive before it are discarded."""
        self.last_id += 1
        self.writer.write(encode({"id": self.last_id, "do": do, "args": args}))
        while (answer := await self.read()) and not (answer.get("id") == self.last_id and "ok" in answer):
            pass
        return answer

    async def result(self, do: str, **args: Any) -> Json:
        """Send a command that must succeed and return its result."""
        answer = await self.ask(do, **args)
        assert answer.get("ok"), answer
        return dict(answer["result"])

    async def server(self, name: str) -> Json:
        """Return the entry of a server in the answer to `servers`."""
        found = (await self.result("servers"))["servers"]
        return next(dict(server) for server in found if server["server"] == name)


class ApplianceFixture:
    """Directory of the operators' file, the control socket and the state; it persists across restarts."""

    def __init__(self, folder: Path, state: bool, control: str) -> None:
        self.folder = folder
        self.file = folder / "site.toml"
        self.socket = folder / "control" / "control.sock"
        self.state = folder / "state"
        text = SITE.format(folder=folder, state=str(state).lower(), control=control)
        self.file.write_text(text)

    @property
    def environ(self) -> dict[str, str]:
        """Environment variables of a proxy that uses the operators' file."""
        return {"PROXY_SITE": str(self.file)}

    async def connect(self) -> ControlConnection:
        """Connect to the control socket."""
        return await ControlConnection.open(self.socket)

    async def ctl(self, *arguments: str) -> tuple[int, str, str]:
        """Run `ctl` in a process of its own; return its exit code, standard output and standard error."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cloverrouter", "ctl", "--socket", str(self.socket), *arguments,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        async with asyncio.timeout(LONG_S):
            out, err = await process.communicate()
        assert process.returncode is not None
        return process.returncode, out.decode(), err.decode()


@asynccontextmanager
async def running_appliance(
    hosts: list[Host],
    state: bool = True,
    control: str = "",
    discovery: Discovery | None = None,
    importtime: bool = False,
) -> AsyncIterator[tuple[ApplianceFixture, Proxy, Discovery]]:
    """Run a proxy for these hosts, with the control socket and, if `state`, with persistent state."""
    if discovery is None:
        discovery = await Discovery().start()
        discovery.ends_idle_watches = True
    with tempfile.TemporaryDirectory() as folder:
        box = ApplianceFixture(Path(folder), state, control)
        command = [sys.executable, "-X", "importtime", "-m", "cloverrouter.proxy"] if importtime else None
        async with running(discovery, hosts, environ=box.environ, command=command) as proxy:
            yield box, proxy, discovery
