"""The counts of a second that a proxy logs where it is asked to."""

from __future__ import annotations

import json
import logging
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest

from benchmarks.fleetlog import MARK, connects, read
from cloverrouter.interface import BalancerView, Outcome, Why
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.observer import Final, Tried
from cloverrouter.proxy.tally import Tally
from cloverrouter.values import replace
from cloverrouter.view import believed
from tests.driver import SETTINGS, Driver

CALL = cast(Call, SimpleNamespace(class_name="safe", repeat=True))


def tally() -> Tally:
    driver = Driver(replace(SETTINGS, report_fields=("inflight",)))

    def view() -> BalancerView:
        return believed(driver.balancer, driver.now_ms)

    return Tally(view, lambda: {"connections": 7, "connects": 9})


def test_a_line_tells_of_its_second_only(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    counted = tally()
    counted.taken(CALL)
    counted.tried(CALL, Tried("s1", Outcome.OK, 50.4), (3.0,))
    counted.ended(CALL, Final.REFUSED, Why.NO_ROOM, (), 12.0)
    line = json.loads(counted.line())
    assert line["counts"] == {
        "taken.safe": 1,
        "repeat": 1,
        "tried.OK": 1,
        "ok_ms": 50,
        "refused.safe.NO_ROOM": 1,
        "unserved_ms": 12,
    }
    assert (line["servers"], line["reports"]) == ({"s1": 1}, {"s1": [3.0]})
    assert (line["ready"], line["held"], line["connections"]) == (3, 0, 7)
    # The next second begins at nothing, and the reader finds both lines again.
    with caplog.at_level(logging.INFO):
        counted.tell()
    assert caplog.records[-1].name + ": " == MARK
    second = {**json.loads(caplog.records[-1].message), "connects": 12}
    assert not (second["counts"] or second["servers"] or second["reports"])
    text = f"noise\n0.5 INFO {MARK}{json.dumps(line)}\n1.5 INFO {MARK}{json.dumps(second)}\n"
    (tmp_path / "n1.log").write_text(text)
    (tmp_path / "n2.log").write_text("noise\n")
    fleet = read(tmp_path)
    assert list(fleet) == ["n1"] and connects(fleet["n1"]) == [9, 3]
    assert connects([line, {**line, "connects": 2}]) == [9, 2]  # the process began anew
