"""Start the demo: the lab's world and the real proxy in processes of their own, the console in this one."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

STARTUP_TIMEOUT_S = 30.0


def site_toml(folder: Path) -> str:
    """The demo's settings file in TOML: control socket and state directory under `folder`."""
    return (
        f'[control]\nenabled = true\ndirectory = "{folder}/control"\n\n'
        f'[state]\nenabled = true\ndirectory = "{folder}/state"\n'
    )


class Demo:
    """The process of the lab's world, with its files in `folder`.

    `close` ends this process and the proxy that it started, no others.
    """

    def __init__(self, folder: Path, seconds: float, rate: float, servers: int) -> None:
        site = folder / "site.toml"
        site.write_text(site_toml(folder))
        self.control = folder / "control" / "control.sock"
        options = {
            "servers": servers,
            "rate": rate,
            "seconds": seconds,
            "folder": str(folder),
            "site": str(site),
        }
        self._world_log, self._proxy_log = folder / "world.log", folder / "p-0.log"
        with self._world_log.open("wb") as log:
            self.world = subprocess.Popen(
                [sys.executable, "-m", "cloverrouter.demo.world", json.dumps(options)],
                stdin=subprocess.PIPE,
                stderr=log,
                start_new_session=True,  # keeps a Ctrl-C in the console from sending SIGINT to the world
            )

    def wait_ready(self) -> str:
        """Wait for the proxy's control socket and return the address on which the proxy listens.

        Raises RuntimeError, with the logs, if the world exits or `STARTUP_TIMEOUT_S` passes first.
        """
        deadline_s = time.monotonic() + STARTUP_TIMEOUT_S
        while not self.control.exists():
            if self.world.poll() is not None or time.monotonic() > deadline_s:
                logs = [log.read_text() for log in (self._world_log, self._proxy_log) if log.exists()]
                raise RuntimeError("the demo did not come up:\n" + "\n".join(logs))
            time.sleep(0.05)
        return str(json.loads((self.control.parent.parent / "p-0.json").read_text())["listen"])

    def close(self) -> None:
        assert self.world.stdin is not None
        with suppress(OSError):
            self.world.stdin.close()  # the world exits at the end of its input, and ends its proxy
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
            print(f"The proxy serves at {demo.wait_ready()}; its log is {folder}/p-0.log.")
            return console(demo.control, None, False)
        finally:
            demo.close()
