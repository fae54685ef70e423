"""The painter against a VT100 emulator: whatever the budget, the screen ends as it was wanted."""

from __future__ import annotations

import pyte
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.console.paint import Painter, Row

HEIGHT, WIDTH = 6, 39
TEXT = st.text(st.sampled_from("ab  1"), max_size=WIDTH + 3)
ROWS = st.lists(st.builds(Row, TEXT, st.booleans()), max_size=HEIGHT + 1)


class Seen:
    def __init__(self, height: int = HEIGHT, width: int = WIDTH) -> None:
        self.screen = pyte.Screen(width + 1, height)
        self.stream = pyte.ByteStream(self.screen)

    def check(self, painter: Painter, rows: list[Row], cursor: tuple[int, int]) -> None:
        for y in range(painter.height):
            row = rows[y] if y < len(rows) else Row("")
            expected = row.text[: painter.width].ljust(painter.width)
            assert self.screen.display[y][: painter.width] == expected
            for x, char in enumerate(expected):
                assert self.screen.buffer[y][x].reverse == (row.bright if y < len(rows) else False), (
                    y,
                    x,
                    char,
                )
        assert (self.screen.cursor.y, self.screen.cursor.x) == cursor


@settings(max_examples=150)
@given(st.lists(st.tuples(ROWS, st.integers(0, HEIGHT - 1), st.integers(24, 400)), min_size=1, max_size=5))
def test_screen_ends_as_wanted_in_pieces_of_any_size(frames: list[tuple[list[Row], int, int]]) -> None:
    painter, seen = Painter(HEIGHT, WIDTH), Seen()
    for rows, own, most in frames:
        cursor = (own, WIDTH // 2)
        painter.want(rows, cursor, [own])
        while not painter.clean:
            data = painter.next(most)
            assert 0 < len(data) <= most
            seen.stream.feed(data)
        seen.check(painter, rows, cursor)


@given(st.lists(ROWS, min_size=2, max_size=6), st.integers(24, 60))
def test_frames_that_are_overtaken_are_never_sent(frames: list[list[Row]], most: int) -> None:
    """Each frame gets one piece only; the last one then ends as wanted all the same."""
    painter, seen = Painter(HEIGHT, WIDTH), Seen()
    for rows in frames:
        painter.want(rows, (0, 0), [])
        seen.stream.feed(painter.next(most))
    while not painter.clean:
        seen.stream.feed(painter.next(most))
    seen.check(painter, frames[-1], (0, 0))


def drain(painter: Painter) -> int:
    count = 0
    while not painter.clean:
        count += len(painter.next(4096))
    return count


def test_what_stays_costs_nothing_and_a_figure_costs_a_few_bytes() -> None:
    painter = Painter(24, 79)
    rows = [Row(f"server-{i:02} ready 12/16 0.97 35 {'x' * 30}") for i in range(24)]
    painter.want(rows, (23, 2), [23])
    drain(painter)
    painter.want(rows, (23, 2), [23])
    assert painter.clean and painter.next(100) == b""
    rows[7] = Row(rows[7].text.replace("0.97", "0.98"))
    painter.want(rows, (23, 2), [23])
    assert drain(painter) <= 16  # there, one digit, and back


def test_typed_key_costs_one_byte_and_goes_before_all_else() -> None:
    painter = Painter(24, 79)
    painter.want([Row("")] * 23 + [Row("> ")], (23, 2), [23])
    drain(painter)
    painter.want([Row("y" * 70)] * 23 + [Row("> d")], (23, 3), [23])
    assert painter.urgent
    assert painter.next(40, urgent_only=True) == b"d"
    assert not painter.urgent
    painter.want([Row("")] * 23 + [Row("> d")], (23, 3), [23])
    assert painter.clean


def test_every_row_has_its_turn_though_the_first_ones_change_all_the_time() -> None:
    painter, seen = Painter(HEIGHT, WIDTH), Seen()
    for i in range(60):
        rows = [Row(f"{i % 10}" * WIDTH)] * 2 + [Row("still")] * 4
        painter.want(rows, (0, 0), [])
        seen.stream.feed(painter.next(45))
    assert [line.strip() for line in seen.screen.display[2:]] == ["still"] * 4


def test_nothing_but_printable_ascii_and_our_own_sequences_goes_out() -> None:
    painter = Painter(2, 20)
    painter.want([Row("a\x1b[2Jb\x07\x9bé\n")], (0, 0), [])
    data = painter.next(400).replace(b"\x1b[H\x1b[2J", b"", 1)
    assert b"\x1b[2J" not in data and data.isascii() and b"\x07" not in data
