"""The command prompt: one line of text with a cursor, history and completion. Keys in, a line out."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import takewhile

MOST_TEXT = 300
MOST_HISTORY = 100
Complete = Callable[[str, int], Sequence[str]]  # the line up to the cursor and the number of the word


class Editor:
    def __init__(self, complete: Complete) -> None:
        self._complete = complete
        self.text = ""
        self.cursor = 0
        self.choices: list[str] = []  # what TAB left open
        self.history: list[str] = []
        self._place = 0  # in the history; its length stands for the line being typed
        self._typed = ""

    def clear(self) -> None:
        self.text, self.cursor, self._place = "", 0, len(self.history)

    def key(self, key: str) -> str | None:
        """Take a key; the whole line when it is entered."""
        self.choices = []
        before, after = self.text[: self.cursor], self.text[self.cursor :]
        match key:
            case "ENTER":
                line = self.text.strip()
                if line and (not self.history or self.history[-1] != line):
                    self.history = [*self.history, line][-MOST_HISTORY:]
                self.clear()
                return line
            case "TAB":
                self._fill(before, after)
            case "LEFT":
                self.cursor = max(0, self.cursor - 1)
            case "RIGHT":
                self.cursor = min(len(self.text), self.cursor + 1)
            case "HOME":
                self.cursor = 0
            case "END":
                self.cursor = len(self.text)
            case "BACKSPACE" if before:
                self._put(before[:-1], after)
            case "DELETE" if after:
                self._put(before, after[1:])
            case "KILL":
                self._put("", after)
            case "KILL_END":
                self._put(before, "")
            case "KILL_WORD":
                self._put(before.rstrip()[: before.rstrip().rfind(" ") + 1], after)
            case "ESCAPE":
                self.clear()
            case "UP":
                self._recall(self._place - 1)
            case "DOWN":
                self._recall(self._place + 1)
            case _ if len(key) == 1 and " " <= key <= "~" and len(self.text) < MOST_TEXT:
                self._put(before + key, after)
        return None

    def _put(self, before: str, after: str) -> None:
        self.text, self.cursor = before + after, len(before)

    def _recall(self, place: int) -> None:
        if not 0 <= place <= len(self.history):
            return
        if self._place == len(self.history):
            self._typed = self.text
        self._place = place
        self.text = self._typed if place == len(self.history) else self.history[place]
        self.cursor = len(self.text)

    def _fill(self, before: str, after: str) -> None:
        words = before.split(" ")
        begun = words[-1]
        found = sorted({c for c in self._complete(before, len(words) - 1) if c.startswith(begun)})
        if not found:
            return
        # Sorted, the first and the last differ the soonest.
        same = (a == b for a, b in zip(found[0], found[-1], strict=False))
        common = "".join(c for c, _ in takewhile(lambda pair: pair[1], zip(found[0], same, strict=False)))
        if len(found) == 1 and not found[0].endswith("="):
            common += " " if not after.startswith(" ") else ""
        self._put(before[: len(before) - len(begun)] + common, after)
        self.choices = found if len(found) > 1 else []
