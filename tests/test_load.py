"""Log lines on connections that waited ahead of the balancer, and on the steps of single requests."""

from __future__ import annotations

import logging

import pytest

from cloverrouter.proxy.load import DeferReason, LoadCounters, RefusalReason
from cloverrouter.proxy.recorder import Recorder


def logged_lines(caplog: pytest.LogCaptureFixture, counters: LoadCounters) -> list[str]:
    caplog.clear()
    counters.log_if_noteworthy()
    return [record.message for record in caplog.records]


def test_second_without_delays_is_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    counters = LoadCounters(lambda: (3, 10))
    counters.accepted(0.01)
    assert logged_lines(caplog, counters) == []


def test_line_covers_its_second_and_totals_accumulate(caplog: pytest.LogCaptureFixture) -> None:
    counters = LoadCounters(lambda: (3, 10))
    counters.accepted(0.12)
    counters.accepted(0.25)
    counters.deferred(DeferReason.RECOVERING)
    counters.refused(RefusalReason.NO_CAPACITY)
    counters.paused(0.1, "own step")
    (line,) = logged_lines(caplog, counters)
    assert line.startswith("front_load connections=3 limit=10 accept_delay_ms=250 paused_ms=100 cpu_ms=")
    for field in ("accepted=2", "deferred_recovering=1", "refused_no_capacity=1", "paused_own_step=1"):
        assert f" {field}" in line
    assert logged_lines(caplog, counters) == []
    counters.deferred(DeferReason.NO_DESCRIPTORS)
    assert len(logged_lines(caplog, counters)) == 1
    assert counters.total["deferred_recovering"] == counters.total["deferred_no_descriptors"] == 1


# Guards against: a process near its memory limit whose log says nothing of its memory.
def test_memory_near_its_limit_is_logged_with_what_is_buffered(caplog: pytest.LogCaptureFixture) -> None:
    assert logged_lines(caplog, LoadCounters(lambda: (3, 10), lambda: 5000, memory_limit_mb=100_000.0)) == []
    (line,) = logged_lines(caplog, LoadCounters(lambda: (3, 10), lambda: 5000, memory_limit_mb=1.0))
    fields = dict(field.split("=") for field in line.split()[1:])
    assert int(fields["rss_mb"]) >= 1
    assert fields["buffered_kb"] == "4"


def test_delay_in_the_queue_alone_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    counters = LoadCounters(lambda: (3, 10))
    counters.accepted(0.06)
    assert len(logged_lines(caplog, counters)) == 1


@pytest.mark.parametrize("traced", [False, True])
def test_each_step_of_a_request_is_logged_if_tracing_is_enabled(
    traced: bool, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PROXY_TRACE", "1" if traced else "")
    recorder = Recorder()
    with caplog.at_level(logging.INFO):
        recorder.record("refused", b"r1", "NO_ROOM")
    assert [step.event for step in recorder.steps] == ["refused"]
    messages = [record.message for record in caplog.records]
    assert messages == (["request_step event=refused subject=r1 detail=NO_ROOM"] if traced else [])
