"""Keys and the prompt: whatever bytes come, in whatever pieces."""

from __future__ import annotations

from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.console.editor import MOST_HISTORY, MOST_TEXT, Editor
from cloverrouter.console.keys import MOST_SEQUENCE, Keys


@pytest.mark.parametrize(
    ("data", "keys"),
    [
        (b"ab\r", ["a", "b", "ENTER"]),
        (b"\x1b[A\x1bOB", ["UP", "DOWN"]),
        (b"\x1bOP\x1bOS", ["F1", "F4"]),
        (b"\x1b[5~\x1b[6~\x1b[3~", ["PAGE_UP", "PAGE_DOWN", "DELETE"]),
        (b"\x1b[1;5C", ["RIGHT"]),
        (b"\x1b[0n", ["ACK"]),
        (b"a\x1b[0nb", ["a", "ACK", "b"]),
        (b"\x7f\x08\t\x03\x04\x0c", ["BACKSPACE", "BACKSPACE", "TAB", "INTERRUPT", "EOF", "REPAINT"]),
        (b"\x1b\x1b[A", ["UP"]),
        (b"\x1b[999zx", ["x"]),
        (b"\x00\x80\xff", []),
        ("я".encode(), []),
    ],
)
def test_bytes_become_keys_in_whatever_pieces(data: bytes, keys: list[str]) -> None:
    assert list(Keys().feed(data)) == keys
    single = Keys()
    assert [key for byte in data for key in single.feed(bytes([byte]))] == keys


def test_escape_on_its_own_is_a_key_once_nothing_follows() -> None:
    keys = Keys()
    assert list(keys.feed(b"\x1b")) == [] and keys.pending
    assert list(keys.flush()) == ["ESCAPE"] and not keys.pending
    assert list(keys.feed(b"\x1b[")) == [] and list(keys.flush()) == []


@given(st.binary(max_size=300))
def test_any_bytes_give_keys_and_no_sequence_is_kept_without_end(data: bytes) -> None:
    keys = Keys()
    for key in keys.feed(data):
        assert key
    assert len(keys._sequence) < MOST_SEQUENCE


def choices(line: str, word: int) -> Sequence[str]:
    return ("drain", "restore", "refusals") if word == 0 else ("s-1", "s-12", "t", "minutes=")


def typed(*keys: str) -> Editor:
    editor = Editor(choices)
    for key in keys:
        editor.key(key)
    return editor


def test_line_is_edited_and_entered() -> None:
    editor = typed(*"dran", "LEFT", "i", "END", "!", "BACKSPACE", "HOME", "x", "DELETE", "BACKSPACE")
    assert (editor.text, editor.cursor) == ("rain", 0)
    assert editor.key("ENTER") == "rain" and editor.text == ""


def test_tab_completes_what_is_sure_and_shows_the_rest() -> None:
    editor = typed("d", "TAB")
    assert editor.text == "drain "
    editor.key("s")
    editor.key("TAB")
    assert editor.text == "drain s-1" and editor.choices == ["s-1", "s-12"]
    editor = typed("r", "TAB")
    assert editor.text == "re" and editor.choices == ["refusals", "restore"]
    assert typed(*"drain m", "TAB").text == "drain minutes="
    assert typed(*"x", "TAB").text == "x"


def test_history_comes_back_and_the_line_being_typed_is_kept() -> None:
    editor = typed(*"one", "ENTER", *"two", "ENTER", *"two", "ENTER", *"thr")
    texts = []
    for key in ("UP", "UP", "UP", "DOWN", "DOWN", "DOWN"):
        editor.key(key)
        texts.append(editor.text)
    assert texts == ["two", "one", "one", "two", "thr", "thr"]
    assert typed(*("a", "ENTER", "b", "ENTER") * 200).history[-1] == "b"
    assert len(typed(*("a", "ENTER", "b", "ENTER") * 200).history) == MOST_HISTORY


@given(
    st.lists(
        st.sampled_from(["a", " ", "TAB", "ENTER", "LEFT", "RIGHT", "HOME", "END", "BACKSPACE", "DELETE",
                         "KILL", "KILL_END", "KILL_WORD", "UP", "DOWN", "ESCAPE", "F1"]),
        max_size=60,
    )
)  # fmt: skip
def test_cursor_stays_within_the_line(keys: list[str]) -> None:
    editor = Editor(choices)
    for key in keys:
        editor.key(key)
        assert 0 <= editor.cursor <= len(editor.text) <= MOST_TEXT + 20
