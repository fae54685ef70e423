"""Check against draining the last healthy server by mistake; an operator can confirm the drain.

Rules only, without I/O. Which servers can take work is read from the decision module's view.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cloverrouter.interface import EndpointState, EndpointView


def condition(view: EndpointView) -> str:
    """Return the server's condition, or the reason that it can't take work, as a short text."""
    if view.state is EndpointState.DRAINING:
        return "draining"
    if view.state is EndpointState.GONE:
        return "gone"
    if view.paused_ms > 0:
        return f"paused {view.paused_ms / 1000:.1f}s"
    if view.suspected:
        return view.liveness.value
    if view.unresponsive:
        return "silent"
    return "cold" if view.warmth < 1 else "ready"


@dataclass(frozen=True, slots=True)
class LastHealthy:
    """The drain would leave no server that can take work. `remaining`: the other servers, with states."""

    server: str
    remaining: tuple[tuple[str, str], ...]

    def text(self) -> str:
        if not self.remaining:
            return f"{self.server} is the only server: with it drained every request is refused"
        rest = ", ".join(f"{name} is {state}" for name, state in self.remaining[:8])
        more = f" and {len(self.remaining) - 8} more" if len(self.remaining) > 8 else ""
        return f"without {self.server} no server can take work: {rest}{more}"


def check_drain(views: Sequence[EndpointView], server: str) -> LastHealthy | None:
    """Return the reason against draining `server`; None if there is none.

    A server that discovery does not list as ready may always be drained. One that is listed as ready but is
    paused or unresponsive is checked like a healthy one: it may be the next to recover.
    """
    target = next((view for view in views if view.name == server), None)
    if target is None or target.state is not EndpointState.READY:
        return None
    others = [view for view in views if view.name != server]
    if any(view.healthy for view in others):
        return None
    return LastHealthy(server, tuple((view.name, condition(view)) for view in others))
