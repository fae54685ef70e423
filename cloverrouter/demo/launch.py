"""Starts the demo: the lab's world with the real proxy in it as a process of its own, the console here."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

UP_S = 30.0


def site_text(folder: Path) -> str:
    """The operators' file of the demo."""
    return (
        f'[control]\nenabled = true\ndirectory = "{folder}/control"\n\n'
        f'[state]\nenabled = true\ndirectory = "{folder}/state"\n'
    )


class Demo:
    """The world's process, and the folder that goes with it. Ends what it started, and nothing else."""

    def __init__(self, folder: Path, seconds: float, rate: float, servers: int) -> None:
        site = folder / "site.toml"
        site.write_text(site_text(folder))
        self.control = folder / "control" / "control.sock"
        told = {
            "servers": servers,
            "rate": rate,
            "seconds": seconds,
            "folder": str(folder),
            "site": str(site),
        }
        self._log, self._proxy_log = folder / "world.log", folder / "p-0.log"
        with self._log.open("wb") as log:
            self.world = subprocess.Popen(
                [sys.executable, "-m", "cloverrouter.demo.world", json.dumps(told)],
                stdin=subprocess.PIPE,
                stderr=log,
                start_new_session=True,  # a Ctrl-C in the console is not the world's
            )

    def wait_up(self) -> str:
        """Where the proxy serves. Raises RuntimeError, with the logs, if it does not come up."""
        until = time.monotonic() + UP_S
        while not self.control.exists():
            if self.world.poll() is not None or time.monotonic() > until:
                logs = [log.read_text() for log in (self._log, self._proxy_log) if log.exists()]
                raise RuntimeError("the demo did not come up:\n" + "\n".join(logs))
            time.sleep(0.05)
        return str(json.loads((self.control.parent.parent / "p-0.json").read_text())["listen"])

    def close(self) -> None:
        assert self.world.stdin is not None
        with suppress(OSError):
            self.world.stdin.close()  # it ends with that, and its proxy with it
        with suppress(subprocess.TimeoutExpired):
            self.world.wait(10)
        if self.world.poll() is None:
            self.world.kill()
            self.world.wait()


def main(seconds: float, rate: float, servers: int) -> int:
    try:
        import hdrh  # noqa: F401
        import msgspec  # noqa: F401
        import numpy  # noqa: F401
    except ImportError as error:
        print(f"the demo needs {error.name}: pip install -r requirements-lab.txt", file=sys.stderr)
        return 2
    from cloverrouter.console.app import main as console

    with tempfile.TemporaryDirectory(prefix="cloverrouter-") as folder:
        demo = Demo(Path(folder), seconds, rate, servers)
        try:
            print(f"The proxy serves at {demo.wait_up()}; its log is {folder}/p-0.log.")
            return console(demo.control, None, False)
        finally:
            demo.close()
