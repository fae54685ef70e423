"""The base of client and server QUIC connections: drives the QUIC library with datagrams and timers.

Subclasses handle the events of the library.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from aioquic.quic import events as quic

from cloverrouter.http3.wire import BaseQuicConnection, NetworkAddress

T = TypeVar("T")
log = logging.getLogger(__name__)


class ConnectionBase:
    """One QUIC connection. `peer`: its address, for the log; `count`: counters of its frontend or carrier."""

    def __init__(self, loop: asyncio.AbstractEventLoop, transport: BaseQuicConnection, peer: str,
                 count: Counter[str]) -> None:  # fmt: skip
        self._loop, self._transport, self._peer, self._count = loop, transport, peer, count
        self.closed = False
        self.received_s = loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._flush_scheduled = False

    # Implemented by subclasses

    def _on_quic_event(self, event: quic.QuicEvent) -> None:
        """Handle an event of the QUIC library."""
        raise NotImplementedError

    def _send(self, data: bytes, address: NetworkAddress) -> None:
        """Hand a datagram to the socket."""
        raise NotImplementedError

    def _on_flushed(self) -> None:
        """Called after pending packets have been handed to the socket."""

    def _on_settled(self) -> None:
        """Called after the events of all received datagrams have been handled."""

    def _end(self) -> None:
        """End the connection immediately; may be called more than once."""
        raise NotImplementedError

    # Datagrams, timers

    def receive(self, data: bytes, address: NetworkAddress) -> None:
        """Process a datagram. Call `settle` once after all that are read in this turn of the event loop."""
        self.received_s = self._loop.time()
        self._run_and_dispatch(lambda: self._transport.receive_datagram(data, address, now=self.received_s))

    def _run_and_dispatch(self, step: Callable[[], None]) -> None:
        self._call_library(step)
        while not self.closed and (event := self._transport.next_event()) is not None:
            self._on_quic_event(event)

    def settle(self) -> None:
        """Finish processing received datagrams, and send pending packets."""
        self._on_settled()
        self.flush()
        # Closed by either side. The library would wait for late packets; they get a stateless reset instead.
        if self._transport.closing:
            self._end()

    def _call_library(self, step: Callable[[], T]) -> T | None:
        """Run a call into the QUIC library: an exception there, whatever a peer sends, ends only its
        connection. Used only for library calls: errors in the proxy's own logic must not be caught here."""
        try:
            return step()
        except Exception as error:
            log.warning("a connection of %s ended: %s: %s", self._peer, type(error).__name__, error)
            self._count["failed"] += 1
            self._end()
            return None

    def flush(self) -> None:
        """Send pending packets, and set the timer of the library."""
        self._flush_scheduled = False
        if self.closed:
            return
        now_s = self._loop.time()
        for data, address in self._call_library(lambda: self._transport.datagrams_to_send(now=now_s)) or ():
            self._send(data, address)
        if self.closed:
            return
        self._on_flushed()
        if self._timer is not None:
            self._timer.cancel()
        due_s = self._transport.get_timer()
        self._timer = None if due_s is None else self._loop.call_at(due_s, self._on_timer)

    def flush_soon(self) -> None:
        """Schedule one `flush` for all writes of this turn of the event loop, to fill packets better."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self.flush)

    def _on_timer(self) -> None:
        now_s = self._loop.time()
        self._timer = None
        self._run_and_dispatch(lambda: self._transport.handle_timer(now=now_s))
        self.settle()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
