"""Starts the demo: the stand-in world and the real proxy as processes of their own, the console here."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

from cloverrouter.demo.world import SETTINGS

UP_S = 30.0


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def site_text(folder: Path) -> str:
    """The operators' file of the demo."""
    return (
        f'[control]\nenabled = true\ndirectory = "{folder}/control"\n\n'
        f'[state]\nenabled = true\ndirectory = "{folder}/state"\n'
    )


class Demo:
    """The processes, and the folder that goes with them. Ends what it started, and nothing else."""

    def __init__(self, folder: Path, seconds: float, rate: float, servers: int) -> None:
        self.folder = folder
        self.listen = f"127.0.0.1:{free_port()}"
        told = {"servers": servers, "rate": rate, "seconds": seconds, "listen": self.listen}
        self.site = folder / "site.toml"
        self.site.write_text(site_text(folder))
        self.control = folder / "control" / "control.sock"
        self.world = subprocess.Popen(
            [sys.executable, "-m", "cloverrouter.demo.world", json.dumps(told)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert self.world.stdout is not None
        found = json.loads(self.world.stdout.readline())
        config = {"name": "demo", "listen": self.listen, "seed": "1", "limits": {"sockets": 512},
                  "settings": SETTINGS, **found}  # fmt: skip
        (folder / "config.json").write_text(json.dumps(config))
        self.log = folder / "proxy.log"
        with self.log.open("wb") as log:
            self.proxy = subprocess.Popen(
                [sys.executable, "-m", "cloverrouter", "run", "--site", str(self.site)],
                env={**os.environ, "PROXY_CONFIG": str(folder / "config.json")},
                stdin=subprocess.DEVNULL,
                stderr=log,
                start_new_session=True,  # a Ctrl-C in the console is not the proxy's
            )

    def wait_up(self) -> None:
        """Raises RuntimeError, with the proxy's log, if it does not come up."""
        until = time.monotonic() + UP_S
        while not self.control.exists():
            if self.proxy.poll() is not None or time.monotonic() > until:
                raise RuntimeError(f"the proxy did not come up:\n{self.log.read_text()}")
            time.sleep(0.05)

    def close(self) -> None:
        for process in (self.proxy, self.world):
            if process.poll() is None:
                process.terminate()
        for process in (self.proxy, self.world):
            with suppress(subprocess.TimeoutExpired):
                process.wait(10)
            if process.poll() is None:
                process.kill()
                process.wait()


def main(seconds: float, rate: float, servers: int) -> int:
    from cloverrouter.console.app import main as console

    with tempfile.TemporaryDirectory(prefix="cloverrouter-") as folder:
        demo = Demo(Path(folder), seconds, max(0.0, rate), servers)
        try:
            demo.wait_up()
            print(f"The proxy serves at {demo.listen}; its log is {demo.log}.")
            return console(demo.control, None, False)
        finally:
            demo.close()
