"""Answers that have begun, but not ended, when the time of their attempt is over.

Above 64 KiB only the first bytes of an answer are due within the request's time. Where a server has not
declared the length, its answer may be long: it is streamed once that time is over. An answer that proves to
be short was due as a whole, so one that does not come any more is cut off, which its client can detect. One
that is declared short is streamed only for lack of memory, and remains due as a whole.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverrouter.clock import Loop
from cloverrouter.proxy.carrier import SentAttempt
from cloverrouter.proxy.messages import STREAMING_THRESHOLD_BYTES

GRACE_S = 0.4  # after the request's time, for the first bytes; 0.5 s after it a final answer is lost
POLL_S = 0.05  # between two looks at an answer within that grace
# Limits on the silence of a server after which its answer is not expected to go on.
UNSTREAMED_IDLE_S, STREAMED_IDLE_S, BODY_DELAY_S = 0.4, 0.6, 3.0
MIN_BYTES_PER_S = 4096.0  # of a streamed answer that may still prove to be short


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
    """Decides about one answer, from the end of its attempt's time until it has proved to be long."""

    def __init__(self, loop: Loop, exchange: SentAttempt, due_s: float, give_up: Callable[[], None]) -> None:
        """`due_s`: when the request's time is over; `give_up` is called if the answer does not go on."""
        self._loop, self._exchange, self._due_s, self._give_up = loop, exchange, due_s, give_up
        self._checked_s = 0.0
        self._checked_bytes = 0  # received by then
        self._timer = loop.call_later(max(0.0, due_s - loop.time()), self._check_unstreamed)

    def stop(self) -> None:
        """End the watch: the attempt has ended."""
        self._timer.cancel()

    def _check_unstreamed(self) -> None:
        """Stream the answer if it goes on; give it up at the end of the grace if it does not."""
        progress, now_s = self._exchange.answer_progress(), self._loop.time()
        grace_is_over = now_s >= self._due_s + GRACE_S
        if progress is None:
            self._give_up()
            return
        if progress.body_bytes > STREAMING_THRESHOLD_BYTES:
            return  # it is long, and streamed
        goes_on = progress.body_bytes > 0 and progress.idle_s < UNSTREAMED_IDLE_S
        body_may_follow = progress.body_bytes == 0 and grace_is_over
        if not goes_on and not body_may_follow:
            if grace_is_over:
                self._give_up()
            else:
                self._timer = self._loop.call_later(POLL_S, self._check_unstreamed)
        elif self._exchange.stream_answer():
            self._checked_s, self._checked_bytes = now_s, progress.body_bytes
            delay_s = max(STREAMED_IDLE_S, self._due_s + GRACE_S - now_s)
            self._timer = self._loop.call_later(delay_s, self._check_streamed)
        else:
            self._give_up()

    def _check_streamed(self) -> None:
        """Cut off the answer if its server does not go on with it."""
        progress = self._exchange.answer_progress()
        if progress is None or progress.body_bytes > STREAMING_THRESHOLD_BYTES:
            return
        max_idle_s = STREAMED_IDLE_S if progress.body_bytes else BODY_DELAY_S
        if progress.idle_s >= max_idle_s or self._is_too_slow(progress.body_bytes):
            self._give_up()
            return
        self._timer = self._loop.call_later(max_idle_s - progress.idle_s, self._check_streamed)

    def _is_too_slow(self, body_bytes: int) -> bool:
        """Return whether too little has come since the last check, if anything had come before it."""
        before_s, before = self._checked_s, self._checked_bytes
        self._checked_s, self._checked_bytes = self._loop.time(), body_bytes
        return before > 0 and body_bytes - before < MIN_BYTES_PER_S * (self._checked_s - before_s)
