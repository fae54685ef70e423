"""The request statistics and the event log: counts, rates and memory limits."""

from __future__ import annotations

from cloverrouter.control import book as stats_module
from cloverrouter.control.book import TrafficStats
from cloverrouter.control.events import MAX_EVENTS, Events
from cloverrouter.interface import GiveUpReason, Outcome
from cloverrouter.proxy.messages import Answer, Call
from cloverrouter.proxy.observer import AttemptResult, RequestResult


class FakeCall(Call):
    """A call without a client; its answer is discarded."""

    def __init__(self, class_name: str = "a", request_id: bytes = b"r") -> None:
        self.class_name, self.request_id = class_name, request_id

    def served(self, answer: Answer) -> None: ...

    def refused(self, retry_after_ms: float) -> None: ...

    def failed(self) -> None: ...


CALL = FakeCall()


class Clock:
    ms = 0.0

    def __call__(self) -> float:
        return self.ms


def new_stats() -> tuple[TrafficStats, Clock]:
    clock = Clock()
    return TrafficStats(["a"], clock, lambda text: None), clock


def test_failure_is_recorded_with_its_attempts_and_reason() -> None:
    stats, _ = new_stats()
    attempts = [AttemptResult("s-1", Outcome.RESET, 12.0), AttemptResult("s-2", Outcome.ERROR, 30.0)]
    stats.request_accepted(FakeCall(request_id=b"id-1"))
    stats.request_ended(
        FakeCall(request_id=b"id-1"), RequestResult.FAILED, GiveUpReason.MAY_HAVE_RUN, attempts, 55.0
    )
    record = stats.failures[0].to_json()
    assert record["request"] == "id-1" and record["why"] == GiveUpReason.MAY_HAVE_RUN.value
    assert [(a["server"], a["outcome"]) for a in record["attempts"]] == [("s-1", "reset"), ("s-2", "error")]
    assert stats.classes["a"].results[RequestResult.FAILED] == 1 and not stats.refusals


def test_rates_cover_the_last_seconds_and_fall_to_zero() -> None:
    stats, clock = new_stats()
    for _ in range(20):
        for _ in range(10):
            stats.request_accepted(FakeCall())
            stats.attempt_ended(CALL, AttemptResult("s", Outcome.OK, 5.0), None)
            stats.request_ended(FakeCall(), RequestResult.SERVED, None, (), 5.0)
        clock.ms += 1000
        stats.tick(["s"])
    clock.ms += 0.001
    assert abs(stats.class_rates("a")["taken"] - 10) < 0.1
    assert abs(stats.server_rates("s")[0] - 10) < 0.1
    for _ in range(6):
        clock.ms += 1000
        stats.tick(["s"])
    assert stats.class_rates("a")["served"] == 0 == stats.server_rates("s")[0]


def test_unsent_and_cancelled_attempts_are_not_server_failures() -> None:
    stats, _ = new_stats()
    for outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
        stats.attempt_ended(CALL, AttemptResult("s", outcome, 1.0), None)
    assert stats.servers["s"].failed == 0
    stats.attempt_ended(CALL, AttemptResult("s", Outcome.TIMEOUT, 1.0), None)
    assert stats.servers["s"].failed == 1


def test_stored_data_is_bounded() -> None:
    stats, clock = new_stats()
    for i in range(3 * stats_module.MAX_SERVERS):
        stats.attempt_ended(CALL, AttemptResult(f"s{i}", Outcome.OK, 1.0), (1.0,))
        stats.request_accepted(FakeCall(f"c{i}"))
        stats.request_ended(FakeCall(f"c{i}"), RequestResult.FAILED, None, (), 1.0)
        stats.request_ended(FakeCall(f"c{i}"), RequestResult.REFUSED, None, (), 1.0)
    assert len(stats.servers) <= stats_module.MAX_SERVERS
    assert len(stats.classes) <= stats_module.MAX_CLASSES + 1
    assert len(stats.failures) == len(stats.refusals) == stats_module.MAX_UNSERVED_REQUESTS
    for _ in range(stats_module.RATE_SAMPLES + 1):
        clock.ms += 1000
        stats.tick(["s2999"])
    assert set(stats.servers) == {"s2999"}  # counts of unlisted servers are removed


def test_events_are_numbered_and_missing_ones_counted() -> None:
    events = Events(lambda: 0.0)
    for i in range(MAX_EVENTS + 100):
        events.add("module", {"text": str(i)})
    kept, lost = events.since(0)
    assert len(kept) == MAX_EVENTS and lost == 100 and kept[0]["seq"] == 101
    assert events.since(events.last) == ([], 0)
    kept, lost = events.since(events.last - 3, 2)
    assert [e["seq"] for e in kept] == [events.last - 1, events.last] and lost == 1
    # A sequence number from before a restart is higher than the last event's: all events are returned.
    assert len(events.since(10**6)[0]) == MAX_EVENTS
