"""Output pacing for the terminal. All times are parameters, in seconds of any one clock.

Three limits, each against an invisible queue:

- the line speed: bytes written to the terminal driver queue up there and delay the echo of a key;
- a share of the line for periodic refreshes: changing figures alone must not fill the line;
- a window of bytes that the terminal has not confirmed. A terminal that stops reading looks like a fast one
  until the kernel's buffers are full, and would later display a minute of outdated frames. A status request
  (DSR 5, answered by DSR 0) after each burst reports what has arrived. Only the first two limits apply to a
  terminal that never answers.
"""

from __future__ import annotations

from collections import deque

STATUS_REQUEST = b"\x1b[5n"
SPEED_SHARE = 0.95  # of the line's speed
MAX_DRIVER_QUEUE_S = 0.15  # of output in the driver's queue
REFRESH_SHARE = 0.25  # of the speed, for periodic refreshes: 240 of 960 bytes a second
WINDOW_S = 0.5
MIN_WINDOW_BYTES = 200.0
STATUS_TIMEOUT_S = 10.0  # then the request is repeated: the reply may be lost on the line
MIN_WRITE_BYTES = 24.0  # smaller writes are postponed


class Pacer:
    """Token buckets for the line and for refreshes, and the window.

    `bytes_s`: the line speed in bytes per second.
    """

    def __init__(self, bytes_s: float, now_s: float) -> None:
        self._bytes_s = bytes_s * SPEED_SHARE
        self._max_line_budget = max(64.0, self._bytes_s * MAX_DRIVER_QUEUE_S)
        self._window = max(MIN_WINDOW_BYTES, bytes_s * WINDOW_S)
        self._refresh_bytes_s = bytes_s * REFRESH_SHARE
        self._line_budget, self._refresh_budget = self._max_line_budget, 0.0
        self._updated_s = now_s
        self._pending_reports: deque[int] = deque()  # bytes up to each unanswered status request
        self._since_request = 0
        self._requested_s = now_s
        self.terminal_answers = False  # whether the terminal has ever answered

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self._line_budget = min(self._max_line_budget, self._line_budget + elapsed_s * self._bytes_s)
        self._refresh_budget = min(
            self._refresh_bytes_s, self._refresh_budget + elapsed_s * self._refresh_bytes_s
        )

    @property
    def unconfirmed(self) -> int:
        """Return the number of bytes sent that the terminal has not confirmed."""
        return sum(self._pending_reports) + self._since_request

    def allowed(self, now_s: float, refresh: bool) -> int:
        """Return the number of bytes that may be sent now; 0 if it is below `MIN_WRITE_BYTES`.

        `refresh`: the output is a periodic refresh, not a reaction to the operator.
        """
        self._advance(now_s)
        max_bytes = self._line_budget
        if refresh:
            max_bytes = min(max_bytes, self._refresh_budget)
        if self.terminal_answers:
            max_bytes = min(max_bytes, self._window - self.unconfirmed)
        max_bytes -= len(STATUS_REQUEST)
        return int(max_bytes) if max_bytes >= MIN_WRITE_BYTES else 0

    def wait_s(self, refresh: bool) -> float:
        """Return the time until `allowed` may permit a write, unless the window prevents it."""
        needed = MIN_WRITE_BYTES + len(STATUS_REQUEST)
        waits = [(needed - self._line_budget) / self._bytes_s]
        if refresh:
            waits.append((needed - self._refresh_budget) / self._refresh_bytes_s)
        return max(0.02, *waits)

    def sent(self, count: int, now_s: float, refresh: bool, final: bool) -> bytes:
        """Account for `count` bytes; return the status request to send after them, if any.

        `final`: no more output follows for now.
        """
        self._advance(now_s)
        self._line_budget -= count
        if refresh:
            self._refresh_budget -= count
        self._since_request += count
        if not (final or self._since_request >= self._window / 4):
            return b""
        # Until the terminal has answered once, only one request is outstanding.
        if not self.terminal_answers and self._pending_reports:
            return b""
        return self._request_status(now_s)

    def _request_status(self, now_s: float) -> bytes:
        self._pending_reports.append(self._since_request + len(STATUS_REQUEST))
        self._since_request, self._requested_s = 0, now_s
        self._line_budget -= len(STATUS_REQUEST)
        return STATUS_REQUEST

    def confirmed(self) -> None:
        """Record the terminal's reply, which confirms all bytes before a status request."""
        if self.terminal_answers and self._pending_reports:
            self._pending_reports.popleft()
        else:
            self._pending_reports.clear()  # the first reply confirms everything sent before
            self._since_request = 0
        self.terminal_answers = True

    def repeat_request(self, now_s: float) -> bytes:
        """Return a status request if the last one is unanswered for `STATUS_TIMEOUT_S`."""
        if not self._pending_reports or now_s - self._requested_s < STATUS_TIMEOUT_S:
            return b""
        # Merge all entries: the next reply, to any of the requests, shows that the terminal reads again.
        total = self.unconfirmed
        self._pending_reports.clear()
        self._pending_reports.append(total)
        self._since_request, self._requested_s = 0, now_s
        return STATUS_REQUEST
