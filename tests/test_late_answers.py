"""Which answers are streamed, waited for or cut off once the time of their request is over."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from cloverrouter.proxy.late_answers import GRACE_S, PATIENCE_S, LateAnswer, StreamedShortAnswer
from cloverrouter.proxy.messages import AnswerProgress

DUE_S = 1.0
LOST_AFTER_S = 0.5  # after the request's time
Timeline = Callable[[float], int]  # body bytes received by a time


class ManualLoop:
    """A clock that is moved by hand, with its timers."""

    def __init__(self) -> None:
        self.now_s = 0.5
        self._timers: list[tuple[float, Callable[..., object], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now_s

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any:
        entry = (self.now_s + delay, callback, args)
        self._timers.append(entry)
        loop = self

        class Handle:
            def cancel(self) -> None:
                if entry in loop._timers:
                    loop._timers.remove(entry)

        return Handle()

    def run(self, until_s: float) -> None:
        while due := [timer for timer in self._timers if timer[0] <= until_s]:
            timer = min(due, key=lambda entry: entry[0])
            self._timers.remove(timer)
            self.now_s = max(self.now_s, timer[0])
            timer[1](*timer[2])


class FakeAttempt:
    """An attempt whose answer arrives by a timeline; its head is there from the start."""

    signal = None
    written = begun = True

    def __init__(
        self,
        loop: ManualLoop,
        received: Timeline,
        declared_bytes: int | None = None,
        slow_client_until_s: float = 0.0,
    ) -> None:
        self._loop, self._received, self._declared_bytes = loop, received, declared_bytes
        self._slow_client_until_s = slow_client_until_s
        self.streamed_s: float | None = None

    @property
    def received_bytes(self) -> int:
        return self._received(self._loop.now_s)

    def answer_progress(self) -> AnswerProgress | None:
        now_s, count = self._loop.now_s, self.received_bytes
        steps = (i / 100 for i in range(int(now_s * 100), -1, -1))
        changed_s = next((s for s in steps if self._received(s) < count), 0.0)
        client_is_slow = now_s < self._slow_client_until_s
        return AnswerProgress(count, now_s - changed_s, self._declared_bytes, client_is_slow)

    def stream_answer(self) -> bool:
        self.streamed_s = self.streamed_s or self._loop.now_s
        return True

    def abandon(self) -> None:
        raise AssertionError("not called here")


def decide(received: Timeline, until_s: float = 10.0) -> tuple[float | None, float | None]:
    """Return when the answer was streamed and when it was given up."""
    loop = ManualLoop()
    attempt, given_up = FakeAttempt(loop, received), []
    LateAnswer(loop, attempt, DUE_S, lambda: given_up.append(loop.now_s))
    loop.run(until_s)
    return attempt.streamed_s, given_up[0] if given_up else None


# Guards against: a long answer whose length is not declared is cut off although its server goes on with it.
@pytest.mark.parametrize(
    "received",
    [
        lambda at_s: int(60_000 * at_s),
        lambda at_s: 20_000 * int(at_s / 0.55),  # lumps
        lambda at_s: max(0, int(100_000 * (at_s - 2.4))),  # a late body
    ],
    ids=["steady", "lumps", "late-body"],
)
def test_answer_that_goes_on_is_streamed_in_time_and_not_given_up(received: Timeline) -> None:
    streamed_s, given_up_s = decide(received)
    assert streamed_s is not None
    assert DUE_S <= streamed_s < DUE_S + LOST_AFTER_S
    assert given_up_s is None


# Guards against: a long answer that was streamed by its size, as the time ran out, is cut off in a pause.
def test_answer_that_has_proved_to_be_long_is_not_given_up_in_a_pause() -> None:
    streamed_s, given_up_s = decide(lambda at_s: 70_000 if at_s > 0.52 else 0)
    assert given_up_s is None
    assert streamed_s is None  # by this watch: it has been before


# Guards against: an answer that stops, or trickles for ever, keeps its client without a final answer.
@pytest.mark.parametrize("part_bytes", [1, 5000])
def test_answer_that_stopped_is_given_up_unstreamed_within_the_grace(part_bytes: int) -> None:
    streamed_s, given_up_s = decide(lambda at_s: part_bytes)
    assert streamed_s is None
    assert given_up_s is not None
    assert given_up_s <= DUE_S + LOST_AFTER_S


# Guards against: a long answer of undeclared length is cut off in a pause of its server, which then goes on.
@pytest.mark.parametrize("pause_s", [0.7, 2.0, 5.0, 9.0])
@pytest.mark.parametrize("before_bytes", [0, 9_000, 60_000])
def test_streamed_answer_is_not_given_up_in_a_pause_of_its_server(before_bytes: int, pause_s: float) -> None:
    def received(at_s: float) -> int:
        return 300_000 if at_s >= DUE_S + pause_s else before_bytes * (at_s >= 0.9)

    streamed_s, given_up_s = decide(received)
    assert streamed_s == pytest.approx(DUE_S + GRACE_S)
    assert given_up_s is None


# Guards against: a trickle is passed on as if it went on, and its request has no final answer in its time.
@pytest.mark.parametrize("bytes_per_s", [1, 20, 700])
def test_trickle_is_not_streamed(bytes_per_s: int) -> None:
    streamed_s, given_up_s = decide(lambda at_s: 1 + int(at_s * bytes_per_s))
    assert streamed_s is None
    assert given_up_s is not None
    assert given_up_s <= DUE_S + LOST_AFTER_S


# Guards against: an answer that stops or trickles for ever, once it is passed on, is never ended.
@pytest.mark.parametrize(
    "received",
    [
        lambda at_s: min(9_000, int(9_000 * at_s)),
        lambda at_s: int(min(9_000, 9_000 * at_s) + 20 * at_s),
        lambda at_s: int(min(9_000, 9_000 * at_s) + 10 * int(at_s / 5)),
        lambda at_s: 0,
    ],
    ids=["stops", "trickles", "now and then", "no body"],
)
def test_streamed_answer_that_does_not_go_on_is_ended_at_last(received: Timeline) -> None:
    streamed_s, given_up_s = decide(received, until_s=60.0)
    assert streamed_s == pytest.approx(DUE_S + GRACE_S)
    assert given_up_s is not None
    assert given_up_s < DUE_S + GRACE_S + PATIENCE_S + 1.0


def test_stopped_watch_decides_nothing() -> None:
    loop = ManualLoop()
    attempt = FakeAttempt(loop, lambda at_s: 10)
    LateAnswer(loop, attempt, DUE_S, lambda: pytest.fail("given up")).stop()
    loop.run(5.0)
    assert attempt.streamed_s is None


def end_of_short_answer(received: Timeline, slow_client_until_s: float = 0.0) -> float | None:
    """Return when an answer of 60 kB, which is streamed, was given up."""
    loop, given_up = ManualLoop(), []
    attempt = FakeAttempt(loop, received, 60_000, slow_client_until_s)
    StreamedShortAnswer(loop, attempt, DUE_S, lambda: given_up.append(loop.now_s))
    loop.run(10.0)
    return given_up[0] if given_up else None


# Guards against: a short answer that was passed on for lack of memory is not ended when it is due as a whole.
@pytest.mark.parametrize(
    "received", [lambda at_s: 40_000, lambda at_s: int(20_000 * at_s)], ids=["paused", "goes-on"]
)
def test_streamed_short_answer_that_has_not_ended_is_given_up_before_it_is_lost(received: Timeline) -> None:
    given_up_s = end_of_short_answer(received)
    assert given_up_s is not None
    assert DUE_S < given_up_s < DUE_S + LOST_AFTER_S


# Guards against: a short answer is cut off because its own client reads it slowly.
def test_streamed_short_answer_is_not_given_up_while_its_client_does_not_read() -> None:
    given_up_s = end_of_short_answer(lambda at_s: 40_000, slow_client_until_s=3.0)
    assert given_up_s is not None
    assert 3.0 <= given_up_s <= 3.0 + GRACE_S
