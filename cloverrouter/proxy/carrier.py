"""The interface through which the node sends attempts to servers: sockets, HTTP/3 or a simulated network."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Set as AbstractSet
from typing import Protocol

from cloverrouter.interface import ConnectionSignal
from cloverrouter.proxy.exchange import Host, OnBegin, OnEnd
from cloverrouter.proxy.messages import AnswerProgress, Call


class SentAttempt(Protocol):
    """An attempt that a carrier has started."""

    @property
    def written(self) -> bool:
        """Whether its last byte was handed to the transport. From then on the server may have run it."""

    @property
    def begun(self) -> bool:
        """Whether its first byte was handed to the transport."""

    @property
    def received_bytes(self) -> int:
        """How many bytes of an answer have been received."""

    def answer_progress(self) -> AnswerProgress | None:
        """Return how far an answer has come whose head is complete; None if there is none."""

    def stream_answer(self) -> bool:
        """Start to stream an answer that has begun and may be long; return whether it is streamed."""

    @property
    def signal(self) -> ConnectionSignal | None:
        """The connection signal, if its connection could not be established."""

    def abandon(self) -> None:
        """Cancel the attempt without calling `on_end`."""


class Carrier(Protocol):
    """Sends attempts to hosts; `Upstream` does so over sockets."""

    def send(
        self,
        host: Host,
        call: Call,
        timeout_ms: float,
        on_end: OnEnd,
        on_begin: OnBegin | None = None,
        on_open: Callable[[], None] | None = None,
    ) -> SentAttempt:
        """Start an attempt; with `on_open` on a new connection, called once that is established."""

    def keep_only(self, wanted: AbstractSet[Host]) -> None:
        """Drop the hosts that are not in `wanted`, which is looked up for each connected host and never
        iterated: it may hold thousands."""

    def discard_older(self, host: Host, before_s: float) -> None:
        """Use no connection to a host any more that was opened before `before_s`: its process has gone."""

    def preconnect(self, host: Host) -> None:
        """Open one connection to a newly listed host."""
