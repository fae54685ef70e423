"""Incremental screen renderer: compares the target screen with what was sent, most urgent rows first.

Nothing is queued. Each call of `next` compares again, so outdated content is never sent, and a slow line gets
fewer frames instead of older ones. Uses the VT100's sequences only (VT100 User Guide, chapter 3): CUP, CUF,
EL, ED, SGR 0 and 7; no colour, no Unicode, no insert or scroll.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

CLEAR_SCREEN = "\x1b[H\x1b[2J"
MAX_GAP_CELLS = 4  # unchanged cells between two changes that are cheaper to rewrite than to skip
MIN_CLEARED_CELLS = 4  # from this number on, clearing to the end of the line (3 bytes) is cheaper


class Row(NamedTuple):
    """One row of the screen."""

    text: str
    reverse: bool = False  # in reverse video


Cell = tuple[str, bool]
BLANK: Cell = (" ", False)


def cells(row: Row, width: int) -> list[Cell]:
    """Return the row as `width` cells; characters outside printable ASCII become question marks."""
    text = "".join(c if " " <= c <= "~" else "?" for c in row.text[:width])
    return [(c, row.reverse) for c in text.ljust(width)]


class Renderer:
    """A screen of `height` rows and `width` columns, both counted from 0."""

    def __init__(self, height: int, width: int) -> None:
        self.resize(height, width)

    def resize(self, height: int, width: int) -> None:
        """Set the size and assume that the terminal's content is lost: everything is sent again."""
        self.height, self.width = height, width
        self._sent = [[BLANK] * width for _ in range(height)]
        self._target = [[BLANK] * width for _ in range(height)]
        self._urgent: tuple[int, ...] = ()
        self._cursor = (0, 0)  # target position
        self._terminal_cursor: tuple[int, int] | None = None  # position in the terminal; None: unknown
        self._next_row = 0
        self._cleared = False

    def set_target(self, rows: Sequence[Row], cursor: tuple[int, int], urgent: Sequence[int]) -> None:
        """Set the content to display. `urgent` rows are sent before all others."""
        self._target = [cells(row, self.width) for row in rows[: self.height]]
        self._target += [[BLANK] * self.width] * (self.height - len(self._target))
        self._urgent = tuple(row for row in urgent if row < self.height)
        self._cursor = (min(cursor[0], self.height - 1), min(cursor[1], self.width - 1))

    @property
    def urgent(self) -> bool:
        """Return whether an urgent row differs from its target."""
        return any(self._sent[row] != self._target[row] for row in self._urgent)

    @property
    def clean(self) -> bool:
        """Return whether the terminal shows the target."""
        return self._cleared and self._sent == self._target and self._terminal_cursor == self._cursor

    def next(self, max_bytes: int, urgent_only: bool = False) -> bytes:
        """Return the next bytes to send, at most about `max_bytes`; empty if there are none."""
        if max_bytes < len(CLEAR_SCREEN):
            return b""
        out: list[str] = []
        remaining = max_bytes
        if not self._cleared:
            out.append(CLEAR_SCREEN)
            remaining, self._cleared, self._terminal_cursor = remaining - len(CLEAR_SCREEN), True, (0, 0)
        for row in self._rows_to_send(urgent_only):
            remaining = self._append_changes(row, remaining, out)
            if self._sent[row] != self._target[row]:
                break  # the budget is used up
            if row not in self._urgent:
                self._next_row = (row + 1) % self.height
        if self._terminal_cursor != self._cursor and remaining >= 8 and (out or not urgent_only):
            out.append(self._move_cursor(*self._cursor))
        return "".join(out).encode("ascii")

    def _rows_to_send(self, urgent_only: bool) -> Iterator[int]:
        """Yield the rows that differ: urgent ones first, the others round robin, so that none starves."""
        for row in self._urgent:
            if self._sent[row] != self._target[row]:
                yield row
        if urgent_only:
            return
        start = self._next_row
        for i in range(self.height):
            row = (start + i) % self.height
            if row not in self._urgent and self._sent[row] != self._target[row]:
                yield row

    def _append_changes(self, row: int, remaining: int, out: list[str]) -> int:
        """Append the changes of one row to `out` from left to right; return the remaining budget."""
        sent, target = self._sent[row], self._target[row]
        end = len(target)
        while end and target[end - 1] == BLANK:
            end -= 1
        column = 0
        while column < self.width:
            if sent[column] == target[column]:
                column += 1
                continue
            if remaining < 20:  # a cursor move, reverse video on and off, and some text
                break
            move = self._move_cursor(row, column)
            if column >= end and sum(cell != BLANK for cell in sent[column:]) >= MIN_CLEARED_CELLS:
                sent[column:] = [BLANK] * (self.width - column)
                out.append(move + "\x1b[K")
                return remaining - len(out[-1])
            reverse = target[column][1]
            stop = self._run_end(row, column, remaining - len(move) - (7 if reverse else 0))
            text = "".join(cell[0] for cell in target[column:stop])
            out.append(move + (f"\x1b[7m{text}\x1b[m" if reverse else text))
            remaining -= len(out[-1])
            sent[column:stop] = target[column:stop]
            # After a write to the last column, terminals differ in the cursor's position.
            self._terminal_cursor = (row, stop) if stop < self.width else None
            column = stop
        return remaining

    def _run_end(self, row: int, column: int, max_cells: int) -> int:
        """Return the end of the run of changes that starts at `column`; it includes short unchanged gaps."""
        sent, target = self._sent[row], self._target[row]
        stop, equal_cells, position = column + 1, 0, column + 1
        while position < min(self.width, column + max_cells) and target[position][1] == target[column][1]:
            equal_cells = equal_cells + 1 if sent[position] == target[position] else 0
            if equal_cells > MAX_GAP_CELLS:
                break
            position += 1
            if not equal_cells:
                stop = position
        return stop

    def _move_cursor(self, row: int, column: int) -> str:
        start, self._terminal_cursor = self._terminal_cursor, (row, column)
        if start == (row, column):
            return ""
        if start is not None and start[0] == row and start[1] < column:
            skip = column - start[1]
            if skip <= MAX_GAP_CELLS and all(
                s == w and not w[1] for s, w in self._cell_pairs(row, start[1], column)
            ):
                return "".join(cell[0] for cell in self._sent[row][start[1] : column])
            return f"\x1b[{skip}C" if skip > 1 else "\x1b[C"
        return f"\x1b[{row + 1};{column + 1}H" if column else f"\x1b[{row + 1}H"

    def _cell_pairs(self, row: int, start: int, stop: int) -> Iterator[tuple[Cell, Cell]]:
        return zip(self._sent[row][start:stop], self._target[row][start:stop], strict=True)
