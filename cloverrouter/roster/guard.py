"""May this server be drained? Not if nothing that can take work would remain, unless that is meant.

Rules only. What can take work is what the decision module believes, read from its view.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cloverrouter.interface import EndpointState, EndpointView


def condition(view: EndpointView) -> str:
    """Why a server can't take work, or that it can, in one word or two."""
    if view.state is EndpointState.DRAINING:
        return "draining"
    if view.state is EndpointState.GONE:
        return "gone"
    if view.paused_ms > 0:
        return f"paused {view.paused_ms / 1000:.1f}s"
    if view.doubted:
        return view.belief.value
    if view.silent:
        return "silent"
    return "cold" if view.warmth < 1 else "ready"


@dataclass(frozen=True, slots=True)
class LastHealthy:
    """The drain would leave nothing that can take work. `remaining`: the other servers and their state."""

    server: str
    remaining: tuple[tuple[str, str], ...]

    def text(self) -> str:
        if not self.remaining:
            return f"{self.server} is the only server: with it drained every request is refused"
        rest = ", ".join(f"{name} is {state}" for name, state in self.remaining[:8])
        more = f" and {len(self.remaining) - 8} more" if len(self.remaining) > 8 else ""
        return f"without {self.server} no server can take work: {rest}{more}"


def check_drain(views: Sequence[EndpointView], server: str) -> LastHealthy | None:
    """The reason against draining `server`; None if there is none.

    A server that is not ready by discovery's word can't be missed. One that is ready but paused or silent
    just now can: it may be the next to recover.
    """
    target = next((view for view in views if view.name == server), None)
    if target is None or target.state is not EndpointState.READY:
        return None
    others = [view for view in views if view.name != server]
    if any(view.healthy for view in others):
        return None
    return LastHealthy(server, tuple((view.name, condition(view)) for view in others))
