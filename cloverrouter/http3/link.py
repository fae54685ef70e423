"""A QUIC connection and its library, whichever side of it is ours: datagrams in and out, timers, its end.

Shell: what the events mean is told to the class that extends this.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from aioquic.quic import events as quic

from cloverrouter.http3.wire import Looked, NetworkAddress

T = TypeVar("T")
log = logging.getLogger(__name__)


class Link:
    """One QUIC connection. `peer`: its address, for the log; `count`: what happened to all of a shell's."""

    def __init__(self, loop: asyncio.AbstractEventLoop, transport: Looked, peer: str,
                 count: Counter[str]) -> None:  # fmt: skip
        self._loop, self._transport, self._peer, self._count = loop, transport, peer, count
        self.over = False
        self.heard_s = loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._flushing = False

    # What a side of the connection fills in

    def _happened(self, event: quic.QuicEvent) -> None:
        raise NotImplementedError

    def _send(self, data: bytes, address: NetworkAddress) -> None:
        raise NotImplementedError

    def _flushed(self) -> None:
        """What there was to send has been handed to the socket."""

    def _settled(self) -> None:
        """All that has come was told."""

    def _end(self) -> None:
        """It is gone, at once and for good; may come more than once."""
        raise NotImplementedError

    # Datagrams, timers

    def receive(self, data: bytes, address: NetworkAddress) -> None:
        """What has come; `settle` is to follow, once for all that is read in this turn of the loop."""
        self.heard_s = self._loop.time()
        self._run(lambda: self._transport.receive_datagram(data, address, now=self.heard_s))

    def _run(self, step: Callable[[], None]) -> None:
        self._guarded(step)
        while not self.over and (event := self._transport.next_event()) is not None:
            self._happened(event)

    def settle(self) -> None:
        """Tell what has come, and send what there is to send."""
        self._settled()
        self.flush()
        # Ended by either side: what the library still waits for, late copies, is answered by a reset.
        if self._transport.ended:
            self._end()

    def _guarded(self, step: Callable[[], T]) -> T | None:
        """Danger: whatever a peer sends, what it breaks in the library ends its connection and nothing else.
        Only the library's own steps go through here: an error in the rules must end the process."""
        try:
            return step()
        except Exception as error:
            log.warning("a connection of %s ended: %s: %s", self._peer, type(error).__name__, error)
            self._count["failed"] += 1
            self._end()
            return None

    def flush(self) -> None:
        self._flushing = False
        if self.over:
            return
        now_s = self._loop.time()
        for data, address in self._guarded(lambda: self._transport.datagrams_to_send(now=now_s)) or ():
            self._send(data, address)
        if self.over:
            return
        self._flushed()
        if self._timer is not None:
            self._timer.cancel()
        due_s = self._transport.get_timer()
        self._timer = None if due_s is None else self._loop.call_at(due_s, self._on_timer)

    def flush_soon(self) -> None:
        """Once for all that is written in this turn of the loop: more of it goes into one packet."""
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self.flush)

    def _on_timer(self) -> None:
        now_s = self._loop.time()
        self._timer = None
        self._run(lambda: self._transport.handle_timer(now=now_s))
        self.settle()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
