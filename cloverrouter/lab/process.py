"""Runs the proxy program in a process of its own, with the command of `run` but with this interpreter."""

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
LONG_S = 30.0  # timeout for events that occur unless something is wrong


def own_address() -> str:
    """Return a random loopback address for a listener: no other run or outgoing connection uses its port."""
    return "127." + ".".join(str(random.randrange(1, 255)) for _ in range(3)) + ":3000"


class ProxyProcess:
    """One proxy. `config` goes to the file that PROXY_CONFIG names. File and log are in `folder`, under the
    proxy's name."""

    def __init__(
        self,
        config: dict[str, Any],
        folder: Path,
        command: list[str] | str | None = None,
        environ: dict[str, str] | None = None,
        constants: dict[str, float] | None = None,
        inherit: tuple[int, ...] = (),
    ) -> None:
        """`constants`: values that replace those of `decide`; `inherit`: file descriptors to pass on."""
        self._inherit = inherit
        self.name, self.address = config["name"], config["listen"]
        self.config, self._log = folder / f"{self.name}.json", folder / f"{self.name}.log"
        self.config.write_text(json.dumps(config))
        environment = {**os.environ, "PROXY_CONFIG": str(self.config), **(environ or {})}
        environment["PYTHONPATH"] = os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH"))))
        self._environ = environment
        self._command = command or [sys.executable, "-m", "cloverrouter.proxy"]
        if constants:
            assignments = (
                f"decide.{name} = type(decide.{name})({value!r})" for name, value in constants.items()
            )
            lines = ["import sys", "from cloverrouter import decide", *assignments]
            lines += ["from cloverrouter.proxy.service import main", "sys.exit(main())"]
            self._command = [sys.executable, "-c", "\n".join(lines)]
        self._log_start = 0  # length of the log before the current process was started
        self._processes: list[subprocess.Popen[bytes]] = []
        self._cpu_s: list[float] = []

    def start(self) -> None:
        """Start a process, the first or a further one."""
        self._log_start = len(self.log()) if self._log.exists() else 0
        with self._log.open("ab") as log:
            self._processes.append(
                subprocess.Popen(
                    self._command,
                    env=self._environ,
                    stdin=subprocess.DEVNULL,
                    stderr=log,
                    shell=isinstance(self._command, str),
                    pass_fds=self._inherit,
                    start_new_session=True,  # a Ctrl-C in a terminal must not reach the proxy
                )
            )
        self._cpu_s.append(0.0)

    @property
    def environ(self) -> dict[str, str]:
        """The environment of the process."""
        return self._environ

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The process that was started last."""
        return self._processes[-1]

    @property
    def up(self) -> bool:
        """Whether the process is running."""
        return bool(self._processes) and self.process.poll() is None

    @property
    def endpoint(self) -> tuple[str, int]:
        """Host and port of the listener."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    def log(self) -> str:
        """Return the whole log, of all processes."""
        return self._log.read_text()

    async def logged(self, text: str) -> None:
        """Wait until `text` is in the log, after its end at the start of this process: the previous process,
        or the one that it takes over from, writes to the same file."""
        deadline = time.monotonic() + LONG_S
        while text not in self.log()[self._log_start :]:
            assert self.up and time.monotonic() < deadline, self.log()
            await asyncio.sleep(0.02)

    async def health(self) -> int | None:
        """Return the status of `GET /healthz`; None without an answer."""
        with suppress(OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            reader, writer = await asyncio.open_connection(*self.endpoint)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return int(line.split()[1])
        return None

    async def wait_health(self, *statuses: int) -> None:
        """Wait until `health` is one of `statuses`. Raises RuntimeError, with the log, if the process ends
        or takes too long."""
        deadline = time.monotonic() + LONG_S
        while await self.health() not in statuses:
            if not self.up or time.monotonic() > deadline:
                raise RuntimeError(f"{self.name} did not come up:\n{self.log()}")
            await asyncio.sleep(0.02)

    async def ended(self) -> int:
        """Wait for the end of the process and return its exit code."""
        return await asyncio.get_running_loop().run_in_executor(None, self.process.wait, LONG_S)

    def cpu_s(self) -> float:
        """Return the CPU time of all processes started so far; of ended ones up to their last poll."""
        if self.up:
            with suppress(OSError):
                stat_fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
                self._cpu_s[-1] = (int(stat_fields[11]) + int(stat_fields[12])) / os.sysconf("SC_CLK_TCK")
        return sum(self._cpu_s)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        self.cpu_s()
        if self.up:
            self.process.send_signal(number)

    def close(self) -> None:
        """Kill and reap all processes that are still running."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
