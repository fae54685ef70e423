"""A client's try of a request in simulated time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cloverrouter.lab.office import Ask
from cloverrouter.proxy.messages import Answer, Call

if TYPE_CHECKING:
    from cloverrouter.lab.simproxy import SimProxy


class SimCall(Call):
    """A client's try, as the node sees it."""

    __slots__ = ("ask", "late", "life", "proxy")

    def __init__(self, proxy: SimProxy, ask: Ask, now_ms: float, late: bool) -> None:
        self.proxy, self.ask, self.life = proxy, ask, proxy.lives
        self.arrived_ms, self.late = now_ms, late
        self.request_id = b"%d" % ask.number
        self.class_name = ask.kind.name
        self.tenant = self.cost_ms = None
        self.key = str(ask.about) if ask.about else None
        self.timeout_ms = ask.patience_s * 1000
        self.repeat = ask.attempt > 0

    def left(self) -> bool:
        """Its client's end lies here, unread: the kernel would tell."""
        if self.ask.over and self.proxy.node is not None:
            self.proxy.node.gone(self)
        return self.ask.over

    def served(self, answer: Answer) -> None:
        self.proxy.answered(self, "served", None)

    def refused(self, retry_after_ms: float) -> None:
        self.proxy.answered(self, "refused", retry_after_ms / 1000)

    def failed(self) -> None:
        self.proxy.answered(self, "failed", None)
