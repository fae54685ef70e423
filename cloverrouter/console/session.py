"""What the console shows and what a key does: no terminal, no socket, no clock of its own.

Keys and the proxy's answers go in; rows of text and requests to the proxy come out. Times are seconds on
any one clock, but for those in the proxy's answers, which are Unix milliseconds.
"""

from __future__ import annotations

import textwrap
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from cloverrouter.console import text
from cloverrouter.console.editor import Editor
from cloverrouter.console.paint import Row
from cloverrouter.control.words import BadWords, parse, split
from cloverrouter.seams import Json

SCREENS = ("servers", "load", "failures", "events")
LOCAL = {"refusals": "load", **{name: name for name in SCREENS}}
REFRESH_S = 1.0
SILENT_S = 5.0  # without an answer, then the connection is given up
KEPT_EVENTS = 200
OWN_HELP = ("1 2 3 4, servers, load, failures, events", "    Show another screen.", "quit", "    Leave.")
QUIT = ("quit", "exit", "q")


@dataclass(frozen=True, slots=True)
class Ask:
    """A request to the proxy. `typed`: by the operator, whose message line waits for the answer."""

    do: str
    args: dict[str, Any] = field(default_factory=dict)
    typed: bool = False


@dataclass(slots=True)
class Confirm:
    """A drain that the proxy refused: it goes on only if the server's name is typed."""

    server: str
    args: dict[str, Any]


class Session:
    def __init__(self, where: str, now_s: float) -> None:
        self._where = where
        self.screen = "servers"
        self.hurry = True  # what is shown is new to the operator: it need not be spread out
        self.ended = False
        self.editor = Editor(self._choices)
        self._top = 0  # first row shown of the body
        self._now_ms = 0.0
        self._name = ""
        self._boot = ""
        self._status: Json | None = None
        self._look: dict[str, Any] = {}
        self._events: deque[Json] = deque(maxlen=KEPT_EVENTS)
        self._last_event = 0
        self._commands: list[Json] = []
        self._help = False
        self._message: str = "type help for the commands, 1 to 4 for the screens"
        self._confirm: Confirm | None = None
        self._lost_s: float | None = now_s
        self._lost_why = "connecting"
        self._polled_s = float("-inf")
        self._waiting = False  # for a poll's answer

    # The connection

    def connected(self, hello: Json) -> list[Ask]:
        again = self._lost_s is not None and bool(self._name)
        new = hello.get("boot") != self._boot
        self._name, self._boot = text.plain(hello.get("name", "?")), hello.get("boot", "")
        self._lost_s, self._waiting, self._polled_s, self.hurry = None, False, float("-inf"), True
        if again:
            self._message = "connected again" + ("; the proxy has been started anew" if new else "")
        if new:
            self._last_event = 0
            self._events.clear()
        return [Ask("help")]

    def lost(self, why: str, now_s: float) -> None:
        if self._lost_s is None:
            self._lost_s, self.hurry = now_s, True
            if self._confirm is not None:
                self._confirm, self._message = None, "the connection was lost: nothing was drained"
        self._lost_why = why

    @property
    def online(self) -> bool:
        return self._lost_s is None

    def poll(self, now_s: float, body: int) -> list[Ask]:
        """What to ask now; nothing while the last answer is out."""
        if not self.online or self._waiting or now_s < self._polled_s + REFRESH_S:
            return []
        self._polled_s, self._waiting = now_s, True
        return [
            Ask("events", {"since": self._last_event, "count": KEPT_EVENTS}),
            Ask("look", {"screen": self.screen, "count": max(1, min(200, body))}),
        ]

    def silent(self, now_s: float) -> bool:
        """Is the proxy's answer out for too long?"""
        return self.online and self._waiting and now_s > self._polled_s + SILENT_S

    def answered(self, ask: Ask, answer: Json) -> list[Ask]:
        """The proxy's answer to `ask`."""
        result = answer.get("result", {})
        if ask.typed:
            return self._answered_typed(ask, answer)
        if ask.do == "look":
            self._waiting = False
            if answer.get("ok"):
                self._status = result["status"]
                self._now_ms = self._status["at_ms"]
                self._look.update({k: v for k, v in result.items() if k != "status"})
        elif ask.do == "events" and answer.get("ok"):
            if result["lost"] and self._last_event:
                self._events.append({"kind": "text", "at_ms": self._now_ms, "text": "events were missed"})
            self._events.extend(result["events"])
            self._last_event = result["last"]
        elif ask.do == "help" and answer.get("ok"):
            self._commands = result["commands"]
        return []

    def _answered_typed(self, ask: Ask, answer: Json) -> list[Ask]:
        self.hurry = True
        self._polled_s = float("-inf")  # its effect is to be seen at once
        self._waiting = False
        if answer.get("ok"):
            self._message = " / ".join(text.answer_lines(ask.do, answer["result"], self._now_ms)[:3])
            return []
        error = answer["error"]
        if error["code"] == "last_healthy" and "confirm" not in ask.args:
            self._confirm = Confirm(ask.args["server"], ask.args)
            server = text.plain(ask.args["server"])
            why = text.plain(error["text"])
            self._message = f"NOT DRAINED: {why}. Type {server} to drain it all the same."
        else:
            self._message = text.error_line(error)
        return []

    # Keys

    def key(self, key: str) -> list[Ask]:
        if key == "EOF" and not self.editor.text:
            self.ended = True
            return []
        if key == "INTERRUPT":
            if self._confirm is None and not self.editor.text:
                self._message = "type quit to leave"
            self._cancel()
            self.editor.clear()
            return []
        if not self.editor.text and self._confirm is None and self._moved(key):
            return []
        line = self.editor.key(key)
        if self.editor.choices:
            self._message = "  ".join(self.editor.choices)
        if key == "ESCAPE":
            self._cancel()
        return [] if line is None else self._entered(line)

    def _cancel(self) -> None:
        if self._confirm is not None:
            self._message = f"{text.plain(self._confirm.server)} is not drained"
            self._confirm = None

    def _moved(self, key: str) -> bool:
        if key in ("1", "2", "3", "4", "F1", "F2", "F3", "F4"):
            self._show(SCREENS[int(key[-1]) - 1])
        elif key in ("PAGE_DOWN", "+"):
            self._top, self.hurry = self._top + 10, True
        elif key in ("PAGE_UP", "-"):
            self._top, self.hurry = max(0, self._top - 10), True
        else:
            return False
        return True

    def _show(self, screen: str) -> None:
        self.screen, self._top, self._help, self.hurry = screen, 0, False, True
        self._polled_s = float("-inf")
        self._waiting = False

    def _entered(self, line: str) -> list[Ask]:
        confirm, self._confirm = self._confirm, None
        if confirm is not None:
            self.editor.history = [known for known in self.editor.history if known != line]
            if line != confirm.server:
                self._message = f"{text.plain(confirm.server)} is not drained"
                return []
            self._message = "asking ..."
            return [Ask("drain", {**confirm.args, "confirm": line}, typed=True)]
        if not line:
            return []
        if line in QUIT:
            self.ended = True
        elif line in LOCAL:
            self._show(LOCAL[line])
        elif line == "help":
            self._help, self._top, self.hurry = True, 0, True
        elif not self.online:
            self._message = "no connection: the command was not sent"
        else:
            try:
                do, args = parse(split(line), self._commands)
            except BadWords as wrong:
                self._message = text.plain(wrong)
                return []
            args.pop("follow", None)  # the events screen does
            self._message = "asking ..."
            return [Ask(do, args, typed=True)]
        return []

    def _choices(self, line: str, word: int) -> Sequence[str]:
        names = {command["name"]: command for command in self._commands}
        if word == 0:
            return [*names, *LOCAL, "help", "quit"]
        command = names.get(line.split(" ")[0])
        if command is None:
            return []
        found = [f"{a['name']}=" for a in command["arguments"] if not a["required"]]
        if word == 1 and any(a["name"] == "server" for a in command["arguments"]):
            return [text.plain(server["server"]) for server in self._look.get("servers", ())]
        return found

    # What is shown

    def rows(self, height: int, width: int, now_s: float) -> tuple[list[Row], tuple[int, int], list[int]]:
        """The rows, the cursor's place, and the rows that are the operator's own: prompt and messages."""
        prompt = f"type {text.plain(self._confirm.server)} to drain> " if self._confirm else "> "
        room = max(1, width - len(prompt) - 1)
        start = max(0, self.editor.cursor - room)
        typed = Row(prompt + self.editor.text[start : start + room])
        cursor = min(width - 1, len(prompt) + self.editor.cursor - start)
        if height < 4:
            return [Row("")] * (height - 1) + [typed], (height - 1, cursor), [height - 1]
        low = height < 10
        lines = 1 if low else 2
        wrapped = textwrap.wrap(text.plain(self._message), width)
        message = [Row(line) for line in (*wrapped, "", "")[:lines]]
        top = [*([] if low else [self._title(width)]), self._summary(), self._state(now_s, width)]
        head, body = self._body()
        room = height - len(top) - len(message) - 1 - (0 if low else 1)
        self._top = max(0, min(self._top, len(body) - room))
        shown = body[self._top : self._top + room]
        left = len(body) - self._top - len(shown)
        if left > 0 and shown:
            shown[-1] = f"... {left + 1} more: PgDn or +, back with PgUp or -"
        rows = [*top, *([] if low else [Row(head)]), *(Row(line) for line in shown)]
        rows += [Row("")] * (height - len(message) - 1 - len(rows))
        rows += [*message, typed]
        own = [height - 1, *range(height - 1 - lines, height - 1)]
        return rows, (height - 1, cursor), own

    def _title(self, width: int) -> Row:
        tabs = "  ".join(
            f"{i + 1} {name.upper() if name == self.screen else name}" for i, name in enumerate(SCREENS)
        )
        return Row(f" {self._name or self._where}   {tabs}   help  quit".ljust(width), bright=True)

    def _summary(self) -> Row:
        return Row("" if self._status is None else text.summary(self._status))

    def _state(self, now_s: float, width: int) -> Row:
        if self._lost_s is not None:
            since = text.span(now_s - self._lost_s)
            line = f"NO CONNECTION for {since}: {text.plain(self._lost_why)}; trying again"
            return Row(line[:width], bright=True)
        if self._status is None:
            return Row("")
        alarms = self._status["alarms"]
        if self._status["stopping"]:
            alarms = ["the proxy is ending", *alarms]
        at = text.clock(self._now_ms)
        pair = self._status.get("pair")
        if pair is not None:
            role = "active, takes work" if pair["taking"] else text.plain(pair["why_not"])
            at = f"{at} [{role}]"
        if not alarms:
            return Row(f"{at} all is well"[:width])
        more = f" (and {len(alarms) - 1} more: status)" if len(alarms) > 1 else ""
        return Row(f"{at} ALARM{more}: {text.plain(alarms[0])}"[:width])

    def _body(self) -> tuple[str, list[str]]:
        if self._help:
            return "COMMANDS", [*OWN_HELP, *text.help_lines(self._commands)]
        match self.screen:
            case "servers":
                found = self._look.get("servers", ())
                return text.SERVERS_HEAD, [text.server_line(server, self._now_ms) for server in found]
            case "load":
                found = self._look.get("load")
                return text.LOAD_HEAD, [] if found is None else text.load_lines(found)
            case "failures":
                return text.FAILURES_HEAD, text.failure_lines(self._look.get("failures", ()))
        return text.EVENTS_HEAD, [text.event_line(event) for event in reversed(self._events)]
