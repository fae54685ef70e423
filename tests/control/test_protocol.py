"""The control socket's protocol: decoding any input, line limits, chunking; arguments and command lines."""

from __future__ import annotations

import json
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.control.protocol import (
    MAX_LINE_BYTES,
    BadLine,
    LineBuffer,
    LineTooLong,
    Request,
    decode,
    decode_answer,
    encode,
)
from cloverrouter.control.words import UsageError, parse, split
from cloverrouter.seams import Argument, Command, CommandError, Commands, Json, Operator, validate_arguments

VALID_REQUEST = {"v": 1, "id": 7, "do": "drain", "args": {"server": "s"}}


def test_valid_request_is_decoded() -> None:
    assert decode(json.dumps(VALID_REQUEST).encode()) == Request(7, "drain", {"server": "s"})
    assert decode(b'{"v":1,"id":"a","do":"status"}') == Request("a", "status", {})


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
def test_invalid_line_raises_an_error_with_the_valid_input(line: bytes, code: str) -> None:
    with pytest.raises(BadLine) as caught:
        decode(line)
    assert caught.value.code == code and caught.value.right


@given(st.binary(max_size=300))
def test_any_bytes_decode_or_raise_bad_line(data: bytes) -> None:
    for read in (decode, decode_answer):
        with suppress(BadLine):
            read(data)


@given(st.binary(max_size=400), st.lists(st.integers(1, 50), min_size=1))
def test_lines_are_split_independently_of_chunking(data: bytes, sizes: list[int]) -> None:
    whole, pieces = LineBuffer(), LineBuffer()
    expected = list(whole.feed(data))
    found, offset, index = [], 0, 0
    while offset < len(data):
        size = sizes[index % len(sizes)]
        found += list(pieces.feed(data[offset : offset + size]))
        offset, index = offset + size, index + 1
    assert found == expected == data.split(b"\n")[:-1]
    assert pieces.has_partial_line == (not data.endswith(b"\n") and data != b"")


def test_endless_line_raises_an_error_and_is_not_buffered() -> None:
    lines = LineBuffer()
    with pytest.raises(LineTooLong):
        for _ in range(10_000):
            list(lines.feed(b"x" * 1000))
    assert not lines.has_partial_line
    with pytest.raises(LineTooLong):
        list(LineBuffer().feed(b"x" * (MAX_LINE_BYTES + 1) + b"\n"))
    assert list(LineBuffer().feed(b"x" * MAX_LINE_BYTES + b"\n")) == [b"x" * MAX_LINE_BYTES]


def test_encode_rejects_nan() -> None:
    with pytest.raises(ValueError):
        encode({"x": float("nan")})


# Arguments and command lines


def empty_result(operator: Operator, arguments: Any) -> Json:
    return {}


DRAIN = Command(
    "drain",
    "x",
    empty_result,
    (
        Argument("server", str, "the id", required=True),
        Argument("minutes", float, "how long", minimum=0.01, maximum=60),
        Argument("force", bool, "or not", default=False),
        Argument("count", int, "how many", default=3, minimum=1, maximum=5),
    ),
)


def test_missing_arguments_get_their_defaults() -> None:
    assert validate_arguments(DRAIN, {"server": "s", "minutes": 5}) == {
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
def test_invalid_arguments_raise_an_error_with_the_valid_input(given_arguments: dict[str, Any]) -> None:
    with pytest.raises(CommandError) as caught:
        validate_arguments(DRAIN, given_arguments)
    assert caught.value.code == "bad_argument" and caught.value.right


def test_words_are_parsed_as_positional_and_named_arguments() -> None:
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
def test_invalid_command_lines_raise_a_usage_error(line: str) -> None:
    commands = Commands()
    commands.add(DRAIN)
    with pytest.raises(UsageError):
        parse(split(line), commands.help())
