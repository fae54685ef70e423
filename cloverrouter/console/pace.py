"""How many bytes may go to the terminal now. No clock: the time is handed in, in seconds.

Three bounds, each against a queue that nobody sees:

- the line's speed: what is handed to a terminal driver sits there, and a key's echo behind it;
- the share of the line for figures that just move: a screen that is steady must not fill the line;
- a window of bytes that the terminal has not confirmed. A terminal that has stopped reading looks like a
  fast one until the kernel's buffers are full, and a minute of old frames would play back later. A status
  report (DSR 5, answered by DSR 0) after each burst tells what has arrived. A terminal that never answers
  one is served by the first two bounds alone.
"""

from __future__ import annotations

from collections import deque

ASK = b"\x1b[5n"
SPEED_SHARE = 0.95  # of the line's speed
AHEAD_S = 0.15  # what may lie in the driver's queue
STEADY_SHARE = 0.25  # of the speed, for figures that move: 240 of 960 bytes a second
WINDOW_S = 0.5
LEAST_WINDOW = 200.0
ASK_AGAIN_S = 10.0  # an answer may be lost on the line
LEAST = 24.0  # fewer bytes are not worth a write


class Pace:
    """`bytes_s`: what the line carries in a second."""

    def __init__(self, bytes_s: float, now_s: float) -> None:
        self._bytes_s = bytes_s * SPEED_SHARE
        self._ahead = max(64.0, self._bytes_s * AHEAD_S)
        self._window = max(LEAST_WINDOW, bytes_s * WINDOW_S)
        self._steady_s = bytes_s * STEADY_SHARE
        self._line, self._steady = self._ahead, 0.0
        self._at_s = now_s
        self._marks: deque[int] = deque()  # bytes up to each status report that is not answered
        self._since_mark = 0
        self._asked_s = now_s
        self.answers = False  # has the terminal ever answered?

    def _advance(self, now_s: float) -> None:
        passed = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self._line = min(self._ahead, self._line + passed * self._bytes_s)
        self._steady = min(self._steady_s, self._steady + passed * self._steady_s)

    @property
    def unconfirmed(self) -> int:
        return sum(self._marks) + self._since_mark

    def allowed(self, now_s: float, steady: bool) -> int:
        """Bytes that may be sent now; 0 if it is not worth it. `steady`: for figures that just move."""
        self._advance(now_s)
        most = self._line
        if steady:
            most = min(most, self._steady)
        if self.answers:
            most = min(most, self._window - self.unconfirmed)
        most -= len(ASK)
        return int(most) if most >= LEAST else 0

    def wait_s(self, steady: bool) -> float:
        """How long until `allowed` may say more, as far as time alone decides it."""
        need = LEAST + len(ASK)
        waits = [(need - self._line) / self._bytes_s]
        if steady:
            waits.append((need - self._steady) / self._steady_s)
        return max(0.02, *waits)

    def sent(self, count: int, now_s: float, steady: bool, ends: bool) -> bytes:
        """Note `count` bytes sent; `ends`: nothing more is to follow for now. What to send behind them."""
        self._advance(now_s)
        self._line -= count
        if steady:
            self._steady -= count
        self._since_mark += count
        if not (ends or self._since_mark >= self._window / 4):
            return b""
        # Until the terminal has answered once, one question at a time is enough.
        if not self.answers and self._marks:
            return b""
        return self._ask(now_s)

    def _ask(self, now_s: float) -> bytes:
        self._marks.append(self._since_mark + len(ASK))
        self._since_mark, self._asked_s = 0, now_s
        self._line -= len(ASK)
        return ASK

    def answered(self) -> None:
        """The terminal has confirmed what came before a status report."""
        if self.answers and self._marks:
            self._marks.popleft()
        else:
            self._marks.clear()  # what went out before the first answer was counted as one
            self._since_mark = 0
        self.answers = True

    def ask_again(self, now_s: float) -> bytes:
        """A status report, if the last one has been out for so long that it may be lost."""
        if not self._marks or now_s - self._asked_s < ASK_AGAIN_S:
            return b""
        # One mark for all: the next answer, to whichever report, says that the terminal reads again.
        total = self.unconfirmed
        self._marks.clear()
        self._marks.append(total)
        self._since_mark, self._asked_s = 0, now_s
        return ASK
