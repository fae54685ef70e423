"""The JSON log: each line is one object and events have stable names, whatever values are logged."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
import sys
from typing import Any

import pytest

from cloverrouter.lab.peers import Host
from cloverrouter.logs.direction import MAX_TEXT_CHARS, JsonFormatter
from tests.standins.appliance import running_appliance


def line(message: str, *args: object, **extra: Any) -> dict[str, Any]:
    record = logging.makeLogRecord({"msg": message, "args": args, "levelname": "INFO", "name": "x", **extra})
    found: dict[str, Any] = json.loads(JsonFormatter("n0", "life").format(record))
    assert found["proxy"] == "n0" and found["life"] == "life" and found["boot_s"] > 0
    return found


def self_referencing_list() -> list[Any]:
    found: list[Any] = []
    found.append(found)
    return found


@pytest.mark.parametrize(
    "value", [b"\xff", {1, 2}, object(), 2**70, float("nan"), {("a", 1): 2}, self_referencing_list()]
)
def test_event_with_any_field_value_is_written_as_a_line(value: object) -> None:
    found = line("", event="task", fields={"value": value, "task": "t"})
    assert found["event"] == "task" and found["fields"]


def test_unformattable_and_long_texts_are_written_as_lines() -> None:
    assert "does not fit" in line("%d %d", "one")["text"]
    assert len(line("%s", "x" * 100_000)["text"]) == MAX_TEXT_CHARS
    assert line("a\nb")["text"] == "a\nb" and line("a")["event"] == "log"
    try:
        raise ValueError("why")
    except ValueError:
        assert "ValueError: why" in line("failed", exc_info=sys.exc_info())["error"]


def test_proxy_writes_one_object_per_line_with_its_events() -> None:
    async def scene() -> None:
        async with running_appliance([await Host("h0").start()], control="[log]\nenabled = true") as (
            box,
            proxy,
            _,
        ):
            proxy.signal(signal.SIGSTOP)
            await asyncio.sleep(0.6)
            proxy.signal(signal.SIGCONT)
            await (await box.connect()).result("status")
            await proxy.logged('"event":"standing"')
            lines = [json.loads(text) for text in proxy.log().splitlines()]
            assert {"log", "standing"} <= {entry["event"] for entry in lines}
            assert [entry for entry in lines if entry.get("text", "").startswith("control: listens at")]

    asyncio.run(scene())
