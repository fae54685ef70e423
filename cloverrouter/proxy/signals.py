"""Signals before the event loop takes them and after it has ended.

asyncio handles them while the loop runs. Before, SIGHUP would end the process by its default action, and
where it was ignored a new configuration would go unread; after, `loop.close()` restores the default actions,
and a signal that comes while the interpreter ends would replace the exit code.
"""

from __future__ import annotations

import signal
import sys
from types import FrameType

TAKEN = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """What came before the loop: SIGHUP is remembered, SIGTERM ends the process in order (nothing is taken
    yet)."""

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
    """Let no signal interfere from here to the end of the process; SIGKILL ends it all the same."""
    signal.pthread_sigmask(signal.SIG_BLOCK, TAKEN)
