"""Handle signals before the event loop runs and after it has ended.

asyncio handles them while the loop runs. Before that, the default action of SIGHUP would end the process, and
if it were ignored, a new configuration would not be read. Afterwards `loop.close()` restores the default
actions, and a signal during interpreter shutdown would replace the exit code.
"""

from __future__ import annotations

import signal
import sys
from types import FrameType

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """Handles signals before the loop runs: SIGHUP is remembered for a reload, SIGTERM exits with status 0.

    No connection has been accepted yet, so there is nothing to drain.
    """

    def __init__(self) -> None:
        self.reload_wanted = False
        signal.signal(signal.SIGHUP, self._on_hangup)
        signal.signal(signal.SIGTERM, self._on_terminate)

    def _on_hangup(self, number: int, frame: FrameType | None) -> None:
        self.reload_wanted = True

    def _on_terminate(self, number: int, frame: FrameType | None) -> None:
        block()
        sys.exit(0)


def block() -> None:
    """Block SIGHUP, SIGTERM and SIGINT until the process ends (pthread_sigmask(3))."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
