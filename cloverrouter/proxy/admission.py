"""The admission seam: before a call reaches the module, may it be taken at all?

Asked for each call at the moment of taking. With none set, the cost is one comparison.
"""

from __future__ import annotations

from typing import Protocol


class Admission(Protocol):
    def refusal(self) -> str:
        """Why no call is taken now; empty if calls are. Must not block."""

    def retry_after_ms(self) -> float:
        """When a client that was refused should come back."""
