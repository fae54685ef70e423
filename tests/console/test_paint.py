"""The renderer against a VT100 emulator: the screen matches the target for any byte budget."""

from __future__ import annotations

import pyte
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.console.paint import Renderer, Row

HEIGHT, WIDTH = 6, 39
TEXT = st.text(st.sampled_from("ab  1"), max_size=WIDTH + 3)
ROWS = st.lists(st.builds(Row, TEXT, st.booleans()), max_size=HEIGHT + 1)


class EmulatedScreen:
    """A VT100 emulator that is compared with the target rows."""

    def __init__(self, height: int = HEIGHT, width: int = WIDTH) -> None:
        self.screen = pyte.Screen(width + 1, height)
        self.stream = pyte.ByteStream(self.screen)

    def check(self, renderer: Renderer, rows: list[Row], cursor: tuple[int, int]) -> None:
        for y in range(renderer.height):
            row = rows[y] if y < len(rows) else Row("")
            expected = row.text[: renderer.width].ljust(renderer.width)
            assert self.screen.display[y][: renderer.width] == expected
            for x, char in enumerate(expected):
                assert self.screen.buffer[y][x].reverse == (row.reverse if y < len(rows) else False), (
                    y,
                    x,
                    char,
                )
        assert (self.screen.cursor.y, self.screen.cursor.x) == cursor


@settings(max_examples=150)
@given(st.lists(st.tuples(ROWS, st.integers(0, HEIGHT - 1), st.integers(24, 400)), min_size=1, max_size=5))
def test_screen_matches_the_target_for_any_chunk_size(frames: list[tuple[list[Row], int, int]]) -> None:
    renderer, emulator = Renderer(HEIGHT, WIDTH), EmulatedScreen()
    for rows, urgent_row, max_bytes in frames:
        cursor = (urgent_row, WIDTH // 2)
        renderer.set_target(rows, cursor, [urgent_row])
        while not renderer.clean:
            data = renderer.next(max_bytes)
            assert 0 < len(data) <= max_bytes
            emulator.stream.feed(data)
        emulator.check(renderer, rows, cursor)


@given(st.lists(ROWS, min_size=2, max_size=6), st.integers(24, 60))
def test_superseded_frames_are_not_sent(frames: list[list[Row]], max_bytes: int) -> None:
    """Each frame gets one chunk only; the screen still ends as the last frame."""
    renderer, emulator = Renderer(HEIGHT, WIDTH), EmulatedScreen()
    for rows in frames:
        renderer.set_target(rows, (0, 0), [])
        emulator.stream.feed(renderer.next(max_bytes))
    while not renderer.clean:
        emulator.stream.feed(renderer.next(max_bytes))
    emulator.check(renderer, frames[-1], (0, 0))


def send_all(renderer: Renderer) -> int:
    count = 0
    while not renderer.clean:
        count += len(renderer.next(4096))
    return count


def test_unchanged_screen_sends_nothing_and_a_changed_digit_a_few_bytes() -> None:
    renderer = Renderer(24, 79)
    rows = [Row(f"server-{i:02} ready 12/16 0.97 35 {'x' * 30}") for i in range(24)]
    renderer.set_target(rows, (23, 2), [23])
    send_all(renderer)
    renderer.set_target(rows, (23, 2), [23])
    assert renderer.clean and renderer.next(100) == b""
    rows[7] = Row(rows[7].text.replace("0.97", "0.98"))
    renderer.set_target(rows, (23, 2), [23])
    assert send_all(renderer) <= 16  # a cursor move, one digit, a move back


def test_echo_of_a_key_is_one_byte_and_sent_first() -> None:
    renderer = Renderer(24, 79)
    renderer.set_target([Row("")] * 23 + [Row("> ")], (23, 2), [23])
    send_all(renderer)
    renderer.set_target([Row("y" * 70)] * 23 + [Row("> d")], (23, 3), [23])
    assert renderer.urgent
    assert renderer.next(40, urgent_only=True) == b"d"
    assert not renderer.urgent
    renderer.set_target([Row("")] * 23 + [Row("> d")], (23, 3), [23])
    assert renderer.clean


def test_constantly_changing_rows_do_not_starve_the_others() -> None:
    renderer, emulator = Renderer(HEIGHT, WIDTH), EmulatedScreen()
    for i in range(60):
        rows = [Row(f"{i % 10}" * WIDTH)] * 2 + [Row("still")] * 4
        renderer.set_target(rows, (0, 0), [])
        emulator.stream.feed(renderer.next(45))
    assert [line.strip() for line in emulator.screen.display[2:]] == ["still"] * 4


def test_only_printable_ascii_and_own_escape_sequences_are_sent() -> None:
    renderer = Renderer(2, 20)
    renderer.set_target([Row("a\x1b[2Jb\x07\x9bé\n")], (0, 0), [])
    data = renderer.next(400).replace(b"\x1b[H\x1b[2J", b"", 1)
    assert b"\x1b[2J" not in data and data.isascii() and b"\x07" not in data
