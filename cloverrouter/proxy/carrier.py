"""What carries attempts to servers, as the node knows it: over sockets, HTTP/3 or a simulated network."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Set as AbstractSet
from typing import Protocol

from cloverrouter.interface import Sign
from cloverrouter.proxy.exchange import Host, OnBegin, OnEnd
from cloverrouter.proxy.messages import Call


class Sent(Protocol):
    """An attempt as its carrier has it."""

    @property
    def written(self) -> bool:
        """Has its last byte been handed over? From then on it may have run."""

    @property
    def begun(self) -> bool:
        """Has its first byte been handed over?"""

    @property
    def sign(self) -> Sign | None:
        """What its connection showed, if that did not come up."""

    def abandon(self) -> None:
        """Give it up, and tell nobody."""


class Carrier(Protocol):
    """What takes attempts to hosts; `Upstream` on sockets."""

    def send(
        self,
        host: Host,
        call: Call,
        timeout_ms: float,
        on_end: OnEnd,
        on_begin: OnBegin | None = None,
        on_open: Callable[[], None] | None = None,
    ) -> Sent:
        """Start an attempt; with `on_open` on a new connection, which is told of when it is up."""

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        """`wanted` is asked for the hosts that are connected to, and not walked over."""

    def open_ahead(self, host: Host) -> None:
        """Connect once to a host that has just been listed."""
