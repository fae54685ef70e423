"""Plain mode of the console, for pipes and dumb terminals: reads commands and prints answers by line."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TextIO

from cloverrouter.console.text import answer_lines, error_line
from cloverrouter.control.client import ConnectionLost, ControlClient, Unreachable
from cloverrouter.control.words import UsageError, parse, split

PROMPT = "> "


class PlainConsole:
    """Executes commands. No connection stays open between them, so the proxy may restart in between."""

    def __init__(self, path: Path, out: TextIO, clock: Callable[[], float]) -> None:
        self._path, self._out, self._clock = path, out, clock
        self._unconfirmed: dict[str, object] | None = None

    def print_lines(self, *lines: str) -> None:
        """Print the lines and flush."""
        print(*lines, sep="\n", file=self._out, flush=True)

    def execute(self, line: str) -> bool:
        """Execute one line; return whether it succeeded."""
        unconfirmed, self._unconfirmed = self._unconfirmed, None
        if unconfirmed is not None:
            if line != unconfirmed["server"]:
                self.print_lines(f"{unconfirmed['server']} is not drained")
                return False
            return self._send("drain", {**unconfirmed, "confirm": line})
        client = self._connect()
        if client is None:
            return False
        try:
            do, args = parse(split(line), client.ask("help")["result"]["commands"])
        except (UsageError, ConnectionLost) as error:
            self.print_lines(str(error))
            return False
        finally:
            client.close()
        args.pop("follow", None)
        return self._send(do, args)

    def _connect(self) -> ControlClient | None:
        try:
            return ControlClient(self._path)
        except Unreachable as error:
            self.print_lines(str(error))
            return None

    def _send(self, do: str, args: dict[str, object]) -> bool:
        client = self._connect()
        if client is None:
            return False
        try:
            answer = client.ask(do, **args)
        except ConnectionLost as error:
            self.print_lines(f"the answer was lost: {error}; look whether it was done")
            return False
        finally:
            client.close()
        if answer["ok"]:
            self.print_lines(*answer_lines(do, answer["result"], self._clock() * 1000))
            return True
        self.print_lines(error_line(answer["error"]))
        if answer["error"]["code"] == "last_healthy" and "confirm" not in args:
            self._unconfirmed = args
            self.print_lines(f"NOT DRAINED. Type {args['server']} to drain it all the same.")
        return False


def run(path: Path, source: TextIO, out: TextIO, clock: Callable[[], float]) -> int:
    """Print status and servers, then execute each line of `source`. Return 0 if all succeeded, else 1."""
    console = PlainConsole(path, out, clock)
    succeeded = console.execute("status") and console.execute("servers")
    interactive = source.isatty()
    while True:
        if interactive:
            print(PROMPT, end="", file=out, flush=True)
        line = source.readline()
        if not line or line.strip() in ("quit", "exit", "q"):
            return 0 if succeeded else 1
        if line.strip():
            succeeded = console.execute(line.strip()) and succeeded
