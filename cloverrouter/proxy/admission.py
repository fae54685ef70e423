"""Interface for admission control ahead of the balancer's decisions.

It is consulted for each call when the call is accepted. With none set, the cost is one comparison.
"""

from __future__ import annotations

from typing import Protocol


class Admission(Protocol):
    def refusal(self) -> str:
        """Return the reason why calls are refused now, or "" if they are accepted. Must not block."""

    def retry_after_ms(self) -> float:
        """Return the delay, in milliseconds, after which a refused client should retry."""
