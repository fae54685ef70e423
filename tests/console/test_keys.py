"""Key decoding and the line editor, with arbitrary input in arbitrary chunks."""

from __future__ import annotations

from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.console.editor import MAX_HISTORY_LINES, MAX_LINE_CHARACTERS, Editor
from cloverrouter.console.keys import MAX_SEQUENCE_BYTES, KeyDecoder


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
def test_keys_are_decoded_independently_of_chunking(data: bytes, keys: list[str]) -> None:
    assert list(KeyDecoder().feed(data)) == keys
    single = KeyDecoder()
    assert [key for byte in data for key in single.feed(bytes([byte]))] == keys


def test_lone_escape_byte_is_the_escape_key_after_flush() -> None:
    keys = KeyDecoder()
    assert list(keys.feed(b"\x1b")) == [] and keys.pending
    assert list(keys.flush()) == ["ESCAPE"] and not keys.pending
    assert list(keys.feed(b"\x1b[")) == [] and list(keys.flush()) == []


@given(st.binary(max_size=300))
def test_any_input_decodes_and_the_sequence_buffer_is_bounded(data: bytes) -> None:
    keys = KeyDecoder()
    for key in keys.feed(data):
        assert key
    assert len(keys._sequence) < MAX_SEQUENCE_BYTES


def completions(line: str, word: int) -> Sequence[str]:
    return ("drain", "restore", "refusals") if word == 0 else ("s-1", "s-12", "t", "minutes=")


def editor_after(*keys: str) -> Editor:
    editor = Editor(completions)
    for key in keys:
        editor.key(key)
    return editor


def test_line_is_edited_and_entered() -> None:
    editor = editor_after(*"dran", "LEFT", "i", "END", "!", "BACKSPACE", "HOME", "x", "DELETE", "BACKSPACE")
    assert (editor.text, editor.cursor) == ("rain", 0)
    assert editor.key("ENTER") == "rain" and editor.text == ""


def test_tab_completes_the_common_prefix_and_lists_the_candidates() -> None:
    editor = editor_after("d", "TAB")
    assert editor.text == "drain "
    editor.key("s")
    editor.key("TAB")
    assert editor.text == "drain s-1" and editor.completions == ["s-1", "s-12"]
    editor = editor_after("r", "TAB")
    assert editor.text == "re" and editor.completions == ["refusals", "restore"]
    assert editor_after(*"drain m", "TAB").text == "drain minutes="
    assert editor_after(*"x", "TAB").text == "x"


def test_history_is_recalled_and_the_draft_line_is_kept() -> None:
    editor = editor_after(*"one", "ENTER", *"two", "ENTER", *"two", "ENTER", *"thr")
    texts = []
    for key in ("UP", "UP", "UP", "DOWN", "DOWN", "DOWN"):
        editor.key(key)
        texts.append(editor.text)
    assert texts == ["two", "one", "one", "two", "thr", "thr"]
    assert editor_after(*("a", "ENTER", "b", "ENTER") * 200).history[-1] == "b"
    assert len(editor_after(*("a", "ENTER", "b", "ENTER") * 200).history) == MAX_HISTORY_LINES


@given(
    st.lists(
        st.sampled_from(["a", " ", "TAB", "ENTER", "LEFT", "RIGHT", "HOME", "END", "BACKSPACE", "DELETE",
                         "KILL", "KILL_END", "KILL_WORD", "UP", "DOWN", "ESCAPE", "F1"]),
        max_size=60,
    )
)  # fmt: skip
def test_cursor_stays_within_the_line(keys: list[str]) -> None:
    editor = Editor(completions)
    for key in keys:
        editor.key(key)
        assert 0 <= editor.cursor <= len(editor.text) <= MAX_LINE_CHARACTERS + 20
