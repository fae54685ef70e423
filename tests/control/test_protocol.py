"""The control socket's lines: total, bounded, and the same whatever pieces they come in."""

from __future__ import annotations

import json
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.control.protocol import (
    MOST_LINE,
    Asked,
    BadLine,
    Lines,
    LineTooLong,
    decode,
    decode_answer,
    encode,
)
from cloverrouter.control.words import BadWords, parse, split
from cloverrouter.seams import Argument, Command, CommandError, Commands, Json, Operator, checked

GOOD = {"v": 1, "id": 7, "do": "drain", "args": {"server": "s"}}


def test_request_is_read() -> None:
    assert decode(json.dumps(GOOD).encode()) == Asked(7, "drain", {"server": "s"})
    assert decode(b'{"v":1,"id":"a","do":"status"}') == Asked("a", "status", {})


@pytest.mark.parametrize(
    ("line", "code"),
    [
        (b"status", "bad_line"),
        (b"\xff\xfe", "bad_line"),
        (b"[1]", "bad_line"),
        (b"[" * 10_000, "bad_line"),
        (b'{"v":1,"id":1,"do":"x","args":{"a":NaN}}', "bad_line"),
        (b'{"v":1,"id":1,"do":5}', "bad_line"),
        (b'{"v":1,"id":1,"do":"x","args":[]}', "bad_line"),
        (b'{"v":1,"id":1,"do":"x","more":1}', "bad_line"),
        (b'{"v":1,"do":"x"}', "bad_id"),
        (b'{"v":1,"id":true,"do":"x"}', "bad_id"),
        (b'{"v":1,"id":"' + b"x" * 65 + b'","do":"x"}', "bad_id"),
        (b'{"v":2,"id":1,"do":"x"}', "bad_version"),
        (b'{"id":1,"do":"x"}', "bad_version"),
        (b'{"v":true,"id":1,"do":"x"}', "bad_version"),
    ],
)
def test_what_is_no_request_is_one_error_that_says_what_would_be_right(line: bytes, code: str) -> None:
    with pytest.raises(BadLine) as caught:
        decode(line)
    assert caught.value.code == code and caught.value.right


@given(st.binary(max_size=300))
def test_any_bytes_are_a_request_or_one_error(data: bytes) -> None:
    for read in (decode, decode_answer):
        with suppress(BadLine):
            read(data)


@given(st.binary(max_size=400), st.lists(st.integers(1, 50), min_size=1))
def test_lines_are_the_same_in_whatever_pieces_they_come(data: bytes, sizes: list[int]) -> None:
    whole, pieces = Lines(), Lines()
    expected = list(whole.feed(data))
    found, place, turn = [], 0, 0
    while place < len(data):
        size = sizes[turn % len(sizes)]
        found += list(pieces.feed(data[place : place + size]))
        place, turn = place + size, turn + 1
    assert found == expected == data.split(b"\n")[:-1]
    assert pieces.unfinished == (not data.endswith(b"\n") and data != b"")


def test_line_without_end_is_given_up_and_not_kept() -> None:
    lines = Lines()
    with pytest.raises(LineTooLong):
        for _ in range(10_000):
            list(lines.feed(b"x" * 1000))
    assert not lines.unfinished
    with pytest.raises(LineTooLong):
        list(Lines().feed(b"x" * (MOST_LINE + 1) + b"\n"))
    assert list(Lines().feed(b"x" * MOST_LINE + b"\n")) == [b"x" * MOST_LINE]


def test_no_number_beyond_json_goes_out() -> None:
    with pytest.raises(ValueError):
        encode({"x": float("nan")})


# Arguments, and the words that people type


def nothing(who: Operator, told: Any) -> Json:
    return {}


DRAIN = Command(
    "drain",
    "x",
    nothing,
    (
        Argument("server", str, "the id", required=True),
        Argument("minutes", float, "how long", least=0.01, most=60),
        Argument("force", bool, "or not", default=False),
        Argument("count", int, "how many", default=3, least=1, most=5),
    ),
)


def test_arguments_are_completed() -> None:
    assert checked(DRAIN, {"server": "s", "minutes": 5}) == {
        "server": "s", "minutes": 5, "force": False, "count": 3,
    }  # fmt: skip


@pytest.mark.parametrize(
    "given_arguments",
    [
        {},
        {"server": 5},
        {"server": "x" * 201},
        {"server": "s", "minutes": True},
        {"server": "s", "minutes": 0},
        {"server": "s", "minutes": float("nan")},
        {"server": "s", "minutes": "5"},
        {"server": "s", "force": 1},
        {"server": "s", "count": 1.5},
        {"server": "s", "count": 6},
        {"server": "s", "sever": "t"},
    ],
)
def test_wrong_arguments_are_named(given_arguments: dict[str, Any]) -> None:
    with pytest.raises(CommandError) as caught:
        checked(DRAIN, given_arguments)
    assert caught.value.code == "bad_argument" and caught.value.right


def test_words_become_arguments_by_place_and_by_name() -> None:
    commands = Commands()
    commands.add(DRAIN)
    parsed = parse(split("drain s-1 minutes=2.5 force=yes"), commands.help())
    assert parsed == ("drain", {"server": "s-1", "minutes": 2.5, "force": True})
    assert parse(["drain", "server=a=b"], commands.help()) == ("drain", {"server": "a=b"})
    assert parse(["drain", "a=b"], commands.help()) == ("drain", {"server": "a=b"})


@pytest.mark.parametrize(
    "line",
    ["", "dran s", "drain", "drain s t", "drain s minutes=x", "drain s force=maybe", "drain s server=t",
     "drain 's"],
)  # fmt: skip
def test_wrong_words_say_what_would_be_right(line: str) -> None:
    commands = Commands()
    commands.add(DRAIN)
    with pytest.raises(BadWords):
        parse(split(line), commands.help())
