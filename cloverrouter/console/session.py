"""The console's state and logic, without input and output.

Its inputs are keys and the proxy's answers, its outputs rows of text and requests to the proxy. Times are
seconds of any one clock, except those in the proxy's answers, which are Unix milliseconds.
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
from cloverrouter.control.words import UsageError, parse, split
from cloverrouter.seams import Json

SCREENS = ("servers", "load", "failures", "events")
SCREEN_COMMANDS = {"refusals": "load", **{name: name for name in SCREENS}}
REFRESH_S = 1.0
ANSWER_TIMEOUT_S = 5.0  # then the console reconnects
MAX_EVENTS = 200
CONSOLE_HELP = ("1 2 3 4, servers, load, failures, events", "    Show another screen.", "quit", "    Leave.")
QUIT_COMMANDS = ("quit", "exit", "q")


@dataclass(frozen=True, slots=True)
class ProxyRequest:
    """A request to the proxy. `typed`: entered by the operator; the message line shows its answer."""

    do: str
    args: dict[str, Any] = field(default_factory=dict)
    typed: bool = False


@dataclass(slots=True)
class DrainConfirmation:
    """A drain that the proxy refused; it is repeated if the operator types the server's name."""

    server: str
    args: dict[str, Any]


class Session:
    """State of one console: the screen shown, the prompt, the connection, and the latest data."""

    def __init__(self, address: str, now_s: float) -> None:
        self._address = address
        self.screen = "servers"
        self.redraw_now = True  # the operator waits for the new content: it is not paced as a refresh
        self.ended = False
        self.editor = Editor(self._completions)
        self._scroll = 0  # index of the body's first row shown
        self._now_ms = 0.0
        self._name = ""
        self._boot = ""
        self._status: Json | None = None
        self._screen_data: dict[str, Any] = {}
        self._events: deque[Json] = deque(maxlen=MAX_EVENTS)
        self._last_event = 0
        self._commands: list[Json] = []
        self._help_shown = False
        self._message: str = "type help for the commands, 1 to 4 for the screens"
        self._confirmation: DrainConfirmation | None = None
        self._disconnected_s: float | None = now_s
        self._disconnect_reason = "connecting"
        self._polled_s = float("-inf")
        self._poll_pending = False  # whether the answer to a poll is outstanding

    # The connection

    def connected(self, hello: Json) -> list[ProxyRequest]:
        """Handle the proxy's first line; return the requests to send."""
        reconnected = self._disconnected_s is not None and bool(self._name)
        restarted = hello.get("boot") != self._boot
        self._name, self._boot = text.printable(hello.get("name", "?")), hello.get("boot", "")
        self._disconnected_s, self._poll_pending, self._polled_s, self.redraw_now = (
            None,
            False,
            float("-inf"),
            True,
        )
        if reconnected:
            self._message = "connected again" + ("; the proxy has been started anew" if restarted else "")
        if restarted:
            self._last_event = 0
            self._events.clear()
        return [ProxyRequest("help")]

    def lost(self, reason: str, now_s: float) -> None:
        """Handle the loss of the connection; a drain that waits for confirmation is cancelled."""
        if self._disconnected_s is None:
            self._disconnected_s, self.redraw_now = now_s, True
            if self._confirmation is not None:
                self._confirmation, self._message = None, "the connection was lost: nothing was drained"
        self._disconnect_reason = reason

    @property
    def online(self) -> bool:
        """Return whether the proxy is connected."""
        return self._disconnected_s is None

    def poll(self, now_s: float, body_rows: int) -> list[ProxyRequest]:
        """Return the requests of the next poll if it is due; none while an answer is outstanding."""
        if not self.online or self._poll_pending or now_s < self._polled_s + REFRESH_S:
            return []
        self._polled_s, self._poll_pending = now_s, True
        return [
            ProxyRequest("events", {"since": self._last_event, "count": MAX_EVENTS}),
            ProxyRequest("look", {"screen": self.screen, "count": max(1, min(200, body_rows))}),
        ]

    def answer_overdue(self, now_s: float) -> bool:
        """Return whether the answer to a poll has exceeded its timeout."""
        return self.online and self._poll_pending and now_s > self._polled_s + ANSWER_TIMEOUT_S

    def answered(self, request: ProxyRequest, answer: Json) -> list[ProxyRequest]:
        """Handle the proxy's answer to `request`; return the requests to send."""
        result = answer.get("result", {})
        if request.typed:
            return self._answered_typed(request, answer)
        if request.do == "look":
            self._poll_pending = False
            if answer.get("ok"):
                self._status = result["status"]
                self._now_ms = self._status["at_ms"]
                self._screen_data.update({k: v for k, v in result.items() if k != "status"})
        elif request.do == "events" and answer.get("ok"):
            if result["lost"] and self._last_event:
                self._events.append({"kind": "text", "at_ms": self._now_ms, "text": "events were missed"})
            self._events.extend(result["events"])
            self._last_event = result["last"]
        elif request.do == "help" and answer.get("ok"):
            self._commands = result["commands"]
        return []

    def _answered_typed(self, request: ProxyRequest, answer: Json) -> list[ProxyRequest]:
        self.redraw_now = True
        self._polled_s = float("-inf")  # poll again at once, to show the command's effect
        self._poll_pending = False
        if answer.get("ok"):
            self._message = " / ".join(text.answer_lines(request.do, answer["result"], self._now_ms)[:3])
            return []
        error = answer["error"]
        if error["code"] == "last_healthy" and "confirm" not in request.args:
            self._confirmation = DrainConfirmation(request.args["server"], request.args)
            server = text.printable(request.args["server"])
            reason = text.printable(error["text"])
            self._message = f"NOT DRAINED: {reason}. Type {server} to drain it all the same."
        else:
            self._message = text.error_line(error)
        return []

    # Keys

    def key(self, key: str) -> list[ProxyRequest]:
        """Handle a key; return the requests to send."""
        if key == "EOF" and not self.editor.text:
            self.ended = True
            return []
        if key == "INTERRUPT":
            if self._confirmation is None and not self.editor.text:
                self._message = "type quit to leave"
            self._cancel_confirmation()
            self.editor.clear()
            return []
        if not self.editor.text and self._confirmation is None and self._navigate(key):
            return []
        line = self.editor.key(key)
        if self.editor.completions:
            self._message = "  ".join(self.editor.completions)
        if key == "ESCAPE":
            self._cancel_confirmation()
        return [] if line is None else self._submit(line)

    def _cancel_confirmation(self) -> None:
        if self._confirmation is not None:
            self._message = f"{text.printable(self._confirmation.server)} is not drained"
            self._confirmation = None

    def _navigate(self, key: str) -> bool:
        if key in ("1", "2", "3", "4", "F1", "F2", "F3", "F4"):
            self._show_screen(SCREENS[int(key[-1]) - 1])
        elif key in ("PAGE_DOWN", "+"):
            self._scroll, self.redraw_now = self._scroll + 10, True
        elif key in ("PAGE_UP", "-"):
            self._scroll, self.redraw_now = max(0, self._scroll - 10), True
        else:
            return False
        return True

    def _show_screen(self, screen: str) -> None:
        self.screen, self._scroll, self._help_shown, self.redraw_now = screen, 0, False, True
        self._polled_s = float("-inf")
        self._poll_pending = False

    def _submit(self, line: str) -> list[ProxyRequest]:
        confirmation, self._confirmation = self._confirmation, None
        if confirmation is not None:
            self.editor.history = [entry for entry in self.editor.history if entry != line]
            if line != confirmation.server:
                self._message = f"{text.printable(confirmation.server)} is not drained"
                return []
            self._message = "asking ..."
            return [ProxyRequest("drain", {**confirmation.args, "confirm": line}, typed=True)]
        if not line:
            return []
        if line in QUIT_COMMANDS:
            self.ended = True
        elif line in SCREEN_COMMANDS:
            self._show_screen(SCREEN_COMMANDS[line])
        elif line == "help":
            self._help_shown, self._scroll, self.redraw_now = True, 0, True
        elif not self.online:
            self._message = "no connection: the command was not sent"
        else:
            try:
                do, args = parse(split(line), self._commands)
            except UsageError as error:
                self._message = text.printable(error)
                return []
            args.pop("follow", None)  # the events screen shows new events
            self._message = "asking ..."
            return [ProxyRequest(do, args, typed=True)]
        return []

    def _completions(self, line: str, word_index: int) -> Sequence[str]:
        by_name = {command["name"]: command for command in self._commands}
        if word_index == 0:
            return [*by_name, *SCREEN_COMMANDS, "help", "quit"]
        command = by_name.get(line.split(" ")[0])
        if command is None:
            return []
        options = [f"{a['name']}=" for a in command["arguments"] if not a["required"]]
        if word_index == 1 and any(a["name"] == "server" for a in command["arguments"]):
            return [text.printable(server["server"]) for server in self._screen_data.get("servers", ())]
        return options

    # Rendering

    def rows(self, height: int, width: int, now_s: float) -> tuple[list[Row], tuple[int, int], list[int]]:
        """Return the rows, the cursor's position, and the indices of the urgent rows: prompt and messages."""
        prompt = (
            f"type {text.printable(self._confirmation.server)} to drain> " if self._confirmation else "> "
        )
        available = max(1, width - len(prompt) - 1)
        start = max(0, self.editor.cursor - available)
        prompt_row = Row(prompt + self.editor.text[start : start + available])
        cursor = min(width - 1, len(prompt) + self.editor.cursor - start)
        if height < 4:
            return [Row("")] * (height - 1) + [prompt_row], (height - 1, cursor), [height - 1]
        compact = height < 10
        message_height = 1 if compact else 2
        wrapped = textwrap.wrap(text.printable(self._message), width)
        message = [Row(line) for line in (*wrapped, "", "")[:message_height]]
        status_rows = [*([] if compact else [self._title(width)]), self._summary(), self._state(now_s, width)]
        header, body = self._body()
        available = height - len(status_rows) - len(message) - 1 - (0 if compact else 1)
        self._scroll = max(0, min(self._scroll, len(body) - available))
        shown = body[self._scroll : self._scroll + available]
        hidden = len(body) - self._scroll - len(shown)
        if hidden > 0 and shown:
            shown[-1] = f"... {hidden + 1} more: PgDn or +, back with PgUp or -"
        rows = [*status_rows, *([] if compact else [Row(header)]), *(Row(line) for line in shown)]
        rows += [Row("")] * (height - len(message) - 1 - len(rows))
        rows += [*message, prompt_row]
        urgent = [height - 1, *range(height - 1 - message_height, height - 1)]
        return rows, (height - 1, cursor), urgent

    def _title(self, width: int) -> Row:
        tabs = "  ".join(
            f"{i + 1} {name.upper() if name == self.screen else name}" for i, name in enumerate(SCREENS)
        )
        return Row(f" {self._name or self._address}   {tabs}   help  quit".ljust(width), reverse=True)

    def _summary(self) -> Row:
        return Row("" if self._status is None else text.summary(self._status))

    def _state(self, now_s: float, width: int) -> Row:
        if self._disconnected_s is not None:
            duration = text.format_duration(now_s - self._disconnected_s)
            line = f"NO CONNECTION for {duration}: {text.printable(self._disconnect_reason)}; trying again"
            return Row(line[:width], reverse=True)
        if self._status is None:
            return Row("")
        alarms = self._status["alarms"]
        if self._status["stopping"]:
            alarms = ["the proxy is ending", *alarms]
        at = text.format_time(self._now_ms)
        pair = self._status.get("pair")
        if pair is not None:
            role = "active, takes work" if pair["taking"] else text.printable(pair["why_not"])
            at = f"{at} [{role}]"
        if not alarms:
            return Row(f"{at} all is well"[:width])
        more = f" (and {len(alarms) - 1} more: status)" if len(alarms) > 1 else ""
        return Row(f"{at} ALARM{more}: {text.printable(alarms[0])}"[:width])

    def _body(self) -> tuple[str, list[str]]:
        if self._help_shown:
            return "COMMANDS", [*CONSOLE_HELP, *text.help_lines(self._commands)]
        match self.screen:
            case "servers":
                data = self._screen_data.get("servers", ())
                return text.SERVERS_HEADER, [text.server_line(server, self._now_ms) for server in data]
            case "load":
                data = self._screen_data.get("load")
                return text.LOAD_HEADER, [] if data is None else text.load_lines(data)
            case "failures":
                return text.FAILURES_HEADER, text.failure_lines(self._screen_data.get("failures", ()))
        return text.EVENTS_HEADER, [text.event_line(event) for event in reversed(self._events)]
