"""Line editor of the command prompt, with history and completion."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import takewhile

MAX_LINE_CHARACTERS = 300
MAX_HISTORY_LINES = 100
Completer = Callable[[str, int], Sequence[str]]  # called with the line up to the cursor and the word's index


class Editor:
    """The line being edited. `key` handles a key and returns the line when it is entered."""

    def __init__(self, completer: Completer) -> None:
        self._completer = completer
        self.text = ""
        self.cursor = 0
        self.completions: list[str] = []  # candidates after an ambiguous TAB
        self.history: list[str] = []
        self._history_index = 0  # the history's length stands for the line being typed
        self._draft = ""

    def clear(self) -> None:
        """Discard the line."""
        self.text, self.cursor, self._history_index = "", 0, len(self.history)

    def key(self, key: str) -> str | None:
        """Handle a key; return the line if the key enters it."""
        self.completions = []
        before, after = self.text[: self.cursor], self.text[self.cursor :]
        match key:
            case "ENTER":
                line = self.text.strip()
                if line and (not self.history or self.history[-1] != line):
                    self.history = [*self.history, line][-MAX_HISTORY_LINES:]
                self.clear()
                return line
            case "TAB":
                self._complete_word(before, after)
            case "LEFT":
                self.cursor = max(0, self.cursor - 1)
            case "RIGHT":
                self.cursor = min(len(self.text), self.cursor + 1)
            case "HOME":
                self.cursor = 0
            case "END":
                self.cursor = len(self.text)
            case "BACKSPACE" if before:
                self._set_text(before[:-1], after)
            case "DELETE" if after:
                self._set_text(before, after[1:])
            case "KILL":
                self._set_text("", after)
            case "KILL_END":
                self._set_text(before, "")
            case "KILL_WORD":
                self._set_text(before.rstrip()[: before.rstrip().rfind(" ") + 1], after)
            case "ESCAPE":
                self.clear()
            case "UP":
                self._recall(self._history_index - 1)
            case "DOWN":
                self._recall(self._history_index + 1)
            case _ if len(key) == 1 and " " <= key <= "~" and len(self.text) < MAX_LINE_CHARACTERS:
                self._set_text(before + key, after)
        return None

    def _set_text(self, before: str, after: str) -> None:
        self.text, self.cursor = before + after, len(before)

    def _recall(self, index: int) -> None:
        if not 0 <= index <= len(self.history):
            return
        if self._history_index == len(self.history):
            self._draft = self.text
        self._history_index = index
        self.text = self._draft if index == len(self.history) else self.history[index]
        self.cursor = len(self.text)

    def _complete_word(self, before: str, after: str) -> None:
        words = before.split(" ")
        prefix = words[-1]
        matches = sorted({c for c in self._completer(before, len(words) - 1) if c.startswith(prefix)})
        if not matches:
            return
        # In a sorted list, the common prefix of the first and the last item is common to all.
        same = (a == b for a, b in zip(matches[0], matches[-1], strict=False))
        common = "".join(c for c, _ in takewhile(lambda pair: pair[1], zip(matches[0], same, strict=False)))
        if len(matches) == 1 and not matches[0].endswith("="):
            common += " " if not after.startswith(" ") else ""
        self._set_text(before[: len(before) - len(prefix)] + common, after)
        self.completions = matches if len(matches) > 1 else []
