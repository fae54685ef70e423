"""The console without a terminal that can place text: a command a line in, its answer in lines out."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TextIO

from cloverrouter.console.text import answer_lines, error_line
from cloverrouter.control.client import ControlClient, Lost, Unreachable
from cloverrouter.control.words import BadWords, parse, split

PROMPT = "> "


class Plain:
    """One run. It holds no connection while it waits for a line: a proxy may come and go in between."""

    def __init__(self, path: Path, out: TextIO, clock: Callable[[], float]) -> None:
        self._path, self._out, self._clock = path, out, clock
        self._confirm: dict[str, object] | None = None

    def say(self, *lines: str) -> None:
        print(*lines, sep="\n", file=self._out, flush=True)

    def line(self, line: str) -> bool:
        """Carry out one line; was it carried out?"""
        confirm, self._confirm = self._confirm, None
        if confirm is not None:
            if line != confirm["server"]:
                self.say(f"{confirm['server']} is not drained")
                return False
            return self._ask("drain", {**confirm, "confirm": line})
        client = self._reach()
        if client is None:
            return False
        try:
            do, args = parse(split(line), client.ask("help")["result"]["commands"])
        except (BadWords, Lost) as wrong:
            self.say(str(wrong))
            return False
        finally:
            client.close()
        args.pop("follow", None)
        return self._ask(do, args)

    def _reach(self) -> ControlClient | None:
        try:
            return ControlClient(self._path)
        except Unreachable as wrong:
            self.say(str(wrong))
            return None

    def _ask(self, do: str, args: dict[str, object]) -> bool:
        client = self._reach()
        if client is None:
            return False
        try:
            answer = client.ask(do, **args)
        except Lost as wrong:
            self.say(f"the answer was lost: {wrong}; look whether it was done")
            return False
        finally:
            client.close()
        if answer["ok"]:
            self.say(*answer_lines(do, answer["result"], self._clock() * 1000))
            return True
        self.say(error_line(answer["error"]))
        if answer["error"]["code"] == "last_healthy" and "confirm" not in args:
            self._confirm = args
            self.say(f"NOT DRAINED. Type {args['server']} to drain it all the same.")
        return False


def run(path: Path, source: TextIO, out: TextIO, clock: Callable[[], float]) -> int:
    """Status and servers, then a command for each line of `source`. 0 if all were carried out, else 1."""
    plain = Plain(path, out, clock)
    well = plain.line("status") and plain.line("servers")
    asks = source.isatty()
    while True:
        if asks:
            print(PROMPT, end="", file=out, flush=True)
        line = source.readline()
        if not line or line.strip() in ("quit", "exit", "q"):
            return 0 if well else 1
        if line.strip():
            well = plain.line(line.strip()) and well
