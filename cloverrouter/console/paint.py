"""The screen as it is wanted against the screen as it was sent: always the next few bytes that matter most.

Nothing is queued here. Each call of `next` compares anew, so what has changed again in the meantime was
never sent, and a slow line gets fewer frames, not older ones. Uses what a VT100 knows (VT100 User Guide,
chapter 3): CUP, CUF, EL, ED, SGR 0 and 7; no colour, no Unicode, no insert or scroll.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

CLEAR = "\x1b[H\x1b[2J"
GAP = 4  # equal cells between two changes that are cheaper to write again than to skip
LEAST_CUT = 4  # cells that make clearing to the end of the line worth its three bytes


class Row(NamedTuple):
    text: str
    bright: bool = False  # in reverse video


Cell = tuple[str, bool]
BLANK: Cell = (" ", False)


def cells(row: Row, width: int) -> list[Cell]:
    text = "".join(c if " " <= c <= "~" else "?" for c in row.text[:width])
    return [(c, row.bright) for c in text.ljust(width)]


class Painter:
    """A screen of `height` by `width`. Rows and columns count from 0."""

    def __init__(self, height: int, width: int) -> None:
        self.resize(height, width)

    def resize(self, height: int, width: int) -> None:
        """A new size, or the same with its content lost: everything is to be sent again."""
        self.height, self.width = height, width
        self._sent = [[BLANK] * width for _ in range(height)]
        self._wanted = [[BLANK] * width for _ in range(height)]
        self._urgent: tuple[int, ...] = ()
        self._cursor = (0, 0)  # where it is wanted
        self._at: tuple[int, int] | None = None  # where the terminal has it; None: not known
        self._turn = 0
        self._cleared = False

    def want(self, rows: Sequence[Row], cursor: tuple[int, int], urgent: Sequence[int]) -> None:
        """The screen as it should be. `urgent` rows are sent before all others."""
        self._wanted = [cells(row, self.width) for row in rows[: self.height]]
        self._wanted += [[BLANK] * self.width] * (self.height - len(self._wanted))
        self._urgent = tuple(row for row in urgent if row < self.height)
        self._cursor = (min(cursor[0], self.height - 1), min(cursor[1], self.width - 1))

    @property
    def urgent(self) -> bool:
        """Is any urgent row not as wanted?"""
        return any(self._sent[row] != self._wanted[row] for row in self._urgent)

    @property
    def clean(self) -> bool:
        return self._cleared and self._sent == self._wanted and self._at == self._cursor

    def next(self, most: int, urgent_only: bool = False) -> bytes:
        """The next bytes, about `most` of them at most; empty if all that may be sent is."""
        if most < len(CLEAR):
            return b""
        out: list[str] = []
        left = most
        if not self._cleared:
            out.append(CLEAR)
            left, self._cleared, self._at = left - len(CLEAR), True, (0, 0)
        for row in self._order(urgent_only):
            left = self._change(row, left, out)
            if self._sent[row] != self._wanted[row]:
                break  # no room for the rest of it
            if row not in self._urgent:
                self._turn = (row + 1) % self.height
        if self._at != self._cursor and left >= 8 and (out or not urgent_only):
            out.append(self._move(*self._cursor))
        return "".join(out).encode("ascii")

    def _order(self, urgent_only: bool) -> Iterator[int]:
        """Rows that differ: the urgent first, the others in turn, so that none waits for ever."""
        for row in self._urgent:
            if self._sent[row] != self._wanted[row]:
                yield row
        if urgent_only:
            return
        start = self._turn
        for i in range(self.height):
            row = (start + i) % self.height
            if row not in self._urgent and self._sent[row] != self._wanted[row]:
                yield row

    def _change(self, row: int, left: int, out: list[str]) -> int:
        """Put the changes of one row to `out`, from left to right, while there is room; the room left."""
        sent, wanted = self._sent[row], self._wanted[row]
        end = len(wanted)
        while end and wanted[end - 1] == BLANK:
            end -= 1
        column = 0
        while column < self.width:
            if sent[column] == wanted[column]:
                column += 1
                continue
            if left < 20:  # a move, the brightness on and off, and something to show
                break
            move = self._move(row, column)
            if column >= end and sum(cell != BLANK for cell in sent[column:]) >= LEAST_CUT:
                sent[column:] = [BLANK] * (self.width - column)
                out.append(move + "\x1b[K")
                return left - len(out[-1])
            bright = wanted[column][1]
            stop = self._run(row, column, left - len(move) - (7 if bright else 0))
            text = "".join(cell[0] for cell in wanted[column:stop])
            out.append(move + (f"\x1b[7m{text}\x1b[m" if bright else text))
            left -= len(out[-1])
            sent[column:stop] = wanted[column:stop]
            # Danger: past the last column terminals differ in where the cursor is.
            self._at = (row, stop) if stop < self.width else None
            column = stop
        return left

    def _run(self, row: int, column: int, most: int) -> int:
        """Where the run of changes that begins at `column` ends: short equal stretches are taken along."""
        sent, wanted = self._sent[row], self._wanted[row]
        stop, same, place = column + 1, 0, column + 1
        while place < min(self.width, column + most) and wanted[place][1] == wanted[column][1]:
            same = same + 1 if sent[place] == wanted[place] else 0
            if same > GAP:
                break
            place += 1
            if not same:
                stop = place
        return stop

    def _move(self, row: int, column: int) -> str:
        at, self._at = self._at, (row, column)
        if at == (row, column):
            return ""
        if at is not None and at[0] == row and at[1] < column:
            skip = column - at[1]
            if skip <= GAP and all(s == w and not w[1] for s, w in self._between(row, at[1], column)):
                return "".join(cell[0] for cell in self._sent[row][at[1] : column])
            return f"\x1b[{skip}C" if skip > 1 else "\x1b[C"
        return f"\x1b[{row + 1};{column + 1}H" if column else f"\x1b[{row + 1}H"

    def _between(self, row: int, start: int, stop: int) -> Iterator[tuple[Cell, Cell]]:
        return zip(self._sent[row][start:stop], self._wanted[row][start:stop], strict=True)
