"""Answers that have begun, but not ended, when the time of their request is over.

An answer of up to 64 KiB is due as a whole: it is lost if it ends later than half a second after its
request's time. Above that only its first bytes are due, and it must not be cut off while its server goes on
with it, even after a pause. Where the server has declared no length, either may be the case until 64 KiB have
come. So such an answer is not passed on before its time is over, and then only if its server is writing it;
otherwise a failure is the one final answer that is right for both. Once it is passed on it is waited for: the
end of the time for a short one has passed, and cutting it off could only harm a long one.

The table of all cases is in `docs/design/endings.md`.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverrouter.clock import Loop
from cloverrouter.proxy.carrier import SentAttempt
from cloverrouter.proxy.messages import AnswerLength, AnswerProgress

GRACE_S = 0.4  # after the request's time, for a final answer; 0.5 s after it the answer is lost
GOING_ON_IDLE_S = 0.6  # a server whose last bytes came within this time is writing its answer
MIN_BODY_BYTES = 1024  # of an answer that is being written; less is a trickle, unless its body has not begun
CHECK_INTERVAL_S = 0.5  # between two looks at an answer that is passed on
# How long an answer that is passed on may take to prove to be long: a time without any byte, and a rate. They
# end only an answer whose server would otherwise write now and then for ever.
PATIENCE_S = 10.0
MIN_BYTES_PER_S = 4096.0


class StreamedShortAnswer:
    """Ends an answer that is due as a whole, and is streamed for lack of memory, before it is lost."""

    def __init__(self, loop: Loop, exchange: SentAttempt, due_s: float, give_up: Callable[[], None]) -> None:
        """`due_s`: when the request's time is over; `give_up` is called if the answer has not ended then."""
        self._loop, self._exchange, self._give_up = loop, exchange, give_up
        self._timer = loop.call_later(max(0.0, due_s + GRACE_S - loop.time()), self._check)

    def stop(self) -> None:
        """End the watch: the attempt has ended."""
        self._timer.cancel()

    def _check(self) -> None:
        progress = self._exchange.answer_progress()
        if progress is not None and progress.client_is_slow:
            self._timer = self._loop.call_later(GRACE_S, self._check)  # its end is up to the client
        else:
            self._give_up()


class LateAnswer:
    """Decides about an answer of undeclared length from the end of its request's time on, until it has ended
    or proved to be long."""

    def __init__(self, loop: Loop, exchange: SentAttempt, due_s: float, give_up: Callable[[], None]) -> None:
        """`due_s`: when the request's time is over; `give_up` is called if the answer does not go on."""
        self._loop, self._exchange, self._due_s, self._give_up = loop, exchange, due_s, give_up
        self._streamed_since_s = 0.0
        self._bytes_before = 0  # received when it was streamed
        self._timer = loop.call_later(max(0.0, due_s - loop.time()), self._check_when_due)

    def stop(self) -> None:
        """End the watch: the attempt has ended."""
        self._timer.cancel()

    def _check_when_due(self) -> None:
        """Leave an answer that is long by now alone; decide about any other one at the end of the grace."""
        progress = self._exchange.answer_progress()
        if progress is None:
            self._give_up()
        elif progress.length is not AnswerLength.LONG:
            delay_s = max(0.0, self._due_s + GRACE_S - self._loop.time())
            self._timer = self._loop.call_later(delay_s, self._stream_or_give_up)

    def _stream_or_give_up(self) -> None:
        """Stream the answer if it goes on; one that was streamed by its size in the meantime stays so."""
        progress = self._exchange.answer_progress()
        if progress is None or not is_going_on(progress) or not self._exchange.stream_answer():
            self._give_up()
            return
        self._streamed_since_s, self._bytes_before = self._loop.time(), progress.body_bytes
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_streamed)

    def _check_streamed(self) -> None:
        """End the answer if it would not prove to be short or long in a finite time."""
        progress = self._exchange.answer_progress()
        if progress is None or progress.length is AnswerLength.LONG:
            return
        if progress.client_is_slow:
            self._streamed_since_s += CHECK_INTERVAL_S  # time in which the answer could not go on
        elif self._is_too_slow(progress):
            self._give_up()
            return
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_streamed)

    def _is_too_slow(self, progress: AnswerProgress) -> bool:
        streamed_s = self._loop.time() - self._streamed_since_s
        received_bytes = progress.body_bytes - self._bytes_before
        return streamed_s > PATIENCE_S + received_bytes / MIN_BYTES_PER_S


def is_going_on(progress: AnswerProgress) -> bool:
    """Return whether an answer may be passed on although its request's time is over."""
    if progress.length is AnswerLength.LONG or not progress.body_bytes:
        return True  # without a body yet, its server has sent the head and may be working on the rest
    return progress.body_bytes >= MIN_BODY_BYTES and progress.idle_s < GOING_ON_IDLE_S
