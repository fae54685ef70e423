"""The per-second counters that a proxy logs with `PROXY_TALLY` set."""

from __future__ import annotations

import json
import logging
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest

from benchmarks.fleetlog import MARK, connects, read
from cloverrouter.interface import BalancerView, GiveUpReason, Outcome
from cloverrouter.proxy.messages import Call
from cloverrouter.proxy.observer import AttemptResult, RequestResult
from cloverrouter.proxy.tally import Tally
from cloverrouter.values import replace
from cloverrouter.view import balancer_view
from tests.driver import SETTINGS, Driver

CALL = cast(Call, SimpleNamespace(class_name="safe", is_retry=True))


def tally() -> Tally:
    driver = Driver(replace(SETTINGS, report_fields=("inflight",)))

    def view() -> BalancerView:
        return balancer_view(driver.balancer, driver.now_ms)

    return Tally(view, lambda: {"connections": 7, "connects": 9})


def test_line_counts_only_its_own_second(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    counted = tally()
    counted.request_accepted(CALL)
    counted.attempt_ended(CALL, AttemptResult("s1", Outcome.OK, 50.4), (3.0,))
    counted.request_ended(CALL, RequestResult.REFUSED, GiveUpReason.NO_ROOM, (), 12.0)
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
    # The counters start again from zero, and the log reader finds both lines.
    with caplog.at_level(logging.INFO):
        counted.log_line()
    assert caplog.records[-1].name + ": " == MARK
    second = {**json.loads(caplog.records[-1].message), "connects": 12}
    assert not (second["counts"] or second["servers"] or second["reports"])
    text = f"noise\n0.5 INFO {MARK}{json.dumps(line)}\n1.5 INFO {MARK}{json.dumps(second)}\n"
    (tmp_path / "n1.log").write_text(text)
    (tmp_path / "n2.log").write_text("noise\n")
    fleet = read(tmp_path)
    assert list(fleet) == ["n1"] and connects(fleet["n1"]) == [9, 3]
    assert connects([line, {**line, "connects": 2}]) == [9, 2]  # the process was restarted
