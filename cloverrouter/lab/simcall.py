"""A client's request in simulated time, as the proxy's node sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cloverrouter.lab.office import ClientAttempt
from cloverrouter.proxy.messages import Answer, Call

if TYPE_CHECKING:
    from cloverrouter.lab.simproxy import SimProxy


class SimCall(Call):
    """One request of a client. `late`: it arrived earlier and waited while the proxy was paused.

    `life` is the incarnation of the proxy that accepted it.
    """

    __slots__ = ("ask", "is_delayed", "life", "proxy")

    def __init__(self, proxy: SimProxy, ask: ClientAttempt, now_ms: float, late: bool) -> None:
        self.proxy, self.ask, self.life = proxy, ask, proxy.incarnation
        self.arrived_ms, self.is_delayed = now_ms, late
        self.request_id = b"%d" % ask.number
        self.class_name = ask.kind.name
        self.tenant = self.cost_ms = None
        self.key = str(ask.object_number) if ask.object_number else None
        self.timeout_ms = ask.timeout_s * 1000
        self.is_retry = ask.attempt > 0

    @property
    def is_safe(self) -> bool:
        return True  # no simulated client uses an id twice

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected. The node is notified if so, as it is by a real socket."""
        if self.ask.finished and self.proxy.node is not None:
            self.proxy.node.disconnected(self)
        return self.ask.finished

    def served(self, answer: Answer) -> None:
        self.proxy.answered(self, "served", None)

    def refused(self, retry_after_ms: float) -> None:
        self.proxy.answered(self, "refused", retry_after_ms / 1000)

    def failed(self) -> None:
        self.proxy.answered(self, "failed", None)
