"""The proxy program as a process of its own, started as `run` says but with this interpreter."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LONG_S = 30.0  # for what surely comes


def own_address() -> str:
    """An address of its own for a listener: no other run, and no connection's own end, can hold the port."""
    return "127." + ".".join(str(random.randrange(1, 255)) for _ in range(3)) + ":3000"


class ProxyProcess:
    """One proxy. `config` is what PROXY_CONFIG names; file and log go to `folder`, under the proxy's name."""

    def __init__(
        self,
        config: dict[str, Any],
        folder: Path,
        command: list[str] | str | None = None,
        environ: dict[str, str] | None = None,
        constants: dict[str, float] | None = None,
        inherit: tuple[int, ...] = (),
    ) -> None:
        """`constants`: the module's, where they are to differ; `inherit`: descriptors it is started with."""
        self._inherit = inherit
        self.name, self.address = config["name"], config["listen"]
        self.config, self._log = folder / f"{self.name}.json", folder / f"{self.name}.log"
        self.config.write_text(json.dumps(config))
        told = {**os.environ, "PROXY_CONFIG": str(self.config), **(environ or {})}
        told["PYTHONPATH"] = os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH"))))
        self._environ = told
        self._command = command or [sys.executable, "-m", "cloverrouter.proxy"]
        if constants:
            changed = (f"decide.{name} = type(decide.{name})({to!r})" for name, to in constants.items())
            lines = ["import sys", "from cloverrouter import decide", *changed]
            lines += ["from cloverrouter.proxy.service import main", "sys.exit(main())"]
            self._command = [sys.executable, "-c", "\n".join(lines)]
        self._log_start = 0  # how much of the log is older than the present process
        self._lives: list[subprocess.Popen[bytes]] = []
        self._cpu_s: list[float] = []

    def start(self) -> None:
        self._log_start = len(self.log()) if self._log.exists() else 0
        with self._log.open("ab") as log:
            self._lives.append(
                subprocess.Popen(
                    self._command,
                    env=self._environ,
                    stdin=subprocess.DEVNULL,
                    stderr=log,
                    shell=isinstance(self._command, str),
                    pass_fds=self._inherit,
                    start_new_session=True,  # a Ctrl-C in a terminal is not the proxy's
                )
            )
        self._cpu_s.append(0.0)

    @property
    def environ(self) -> dict[str, str]:
        """What it is started with."""
        return self._environ

    @property
    def process(self) -> subprocess.Popen[bytes]:
        return self._lives[-1]

    @property
    def up(self) -> bool:
        return bool(self._lives) and self.process.poll() is None

    @property
    def endpoint(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    def log(self) -> str:
        return self._log.read_text()

    async def logged(self, text: str) -> None:
        """Wait until `text` is in the log, behind what was there when this process started: the one before
        it, or the one that it takes over from, writes to the same file."""
        until = time.monotonic() + LONG_S
        while text not in self.log()[self._log_start :]:
            assert self.up and time.monotonic() < until, self.log()
            await asyncio.sleep(0.02)

    async def health(self) -> int | None:
        """What `GET /healthz` answers; None if nobody does."""
        with suppress(OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            reader, writer = await asyncio.open_connection(*self.endpoint)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return int(line.split()[1])
        return None

    async def wait_health(self, *statuses: int) -> None:
        """Raises RuntimeError, with its log, if it ends or takes too long."""
        until = time.monotonic() + LONG_S
        while await self.health() not in statuses:
            if not self.up or time.monotonic() > until:
                raise RuntimeError(f"{self.name} did not come up:\n{self.log()}")
            await asyncio.sleep(0.02)

    async def ended(self) -> int:
        return await asyncio.get_running_loop().run_in_executor(None, self.process.wait, LONG_S)

    def cpu_s(self) -> float:
        """What it has used so far, in all its lives; of one that was killed, up to the last look."""
        if self.up:
            with suppress(OSError):
                words = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
                self._cpu_s[-1] = (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")
        return sum(self._cpu_s)

    def signal(self, number: int) -> None:
        self.cpu_s()
        if self.up:
            self.process.send_signal(number)

    def close(self) -> None:
        for process in self._lives:
            if process.poll() is None:
                process.kill()
            process.wait()
