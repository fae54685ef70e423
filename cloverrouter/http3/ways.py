"""Selects the protocol for a server, and one of its connections for a request. Pure logic, no I/O.

Times are seconds of the caller's monotonic clock. The decisions choose the server; this module only chooses
how to reach it. Nothing is retried below the decisions: if a connection can't be established, the attempt is
reported as never run, and the next one that they send to this server may go over HTTP/1.1.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

# Backoff of HTTP/3 after a failed handshake, doubled with each further failure up to the maximum.
BACKOFF_S, MAX_BACKOFF_S = 5.0, 300.0
MAX_STREAMS = 64  # at once on one connection: more would be delayed by one another's packet losses
MAX_CONNECTIONS_PER_SERVER = 4  # connections to one server at once
# Timeout of a handshake, as a multiple of TCP's connect timeout: the server sends two flights, and a lost
# first packet is retransmitted only after twice the initial round-trip estimate (RFC 9002, 6.2.2).
HANDSHAKE_TIMEOUT_FACTOR = 3.0


@dataclass(slots=True)
class Http3Availability:
    """Tracks which servers are reached over HTTP/3. `names`: their ids, empty for all; `fallback`: whether
    HTTP/1.1 is used while HTTP/3 fails."""

    names: frozenset[str] = frozenset()
    fallback: bool = True
    # Consecutive failures, and the end of the backoff.
    _failures: dict[str, tuple[int, float]] = field(default_factory=dict)

    def is_selected(self, server: str) -> bool:
        """Whether the operators' file selects HTTP/3 for the server."""
        return not self.names or server in self.names

    def uses_http3(self, server: str, now_s: float) -> bool:
        """Whether an attempt to the server goes over HTTP/3 now."""
        if not self.is_selected(server):
            return False
        # Without a fallback, a backoff would only make the server unreachable.
        return not self.fallback or now_s >= self._failures.get(server, (0, 0.0))[1]

    def record_success(self, server: str) -> None:
        """Record an established connection: ends the backoff."""
        self._failures.pop(server, None)

    def record_failure(self, server: str, now_s: float) -> None:
        """Record a failed handshake. Of handshakes that were in progress together only the first counts."""
        count, until_s = self._failures.get(server, (0, 0.0))
        if now_s >= until_s:
            backoff_s = min(MAX_BACKOFF_S, BACKOFF_S * 2.0**count)
            self._failures[server] = (min(count + 1, 16), now_s + backoff_s)

    def keep_only(self, servers: Iterable[str]) -> None:
        """Drop the state of all other servers."""
        kept = set(servers)
        self._failures = {name: failure for name, failure in self._failures.items() if name in kept}

    def backoff_left_s(self, server: str, now_s: float) -> float:
        """Return the remaining backoff of HTTP/3 for this server; 0 if there is none."""
        return max(0.0, self._failures.get(server, (0, 0.0))[1] - now_s) if self.fallback else 0.0


class SelectableConnection(Protocol):
    """The properties of a connection by which one is chosen."""

    @property
    def established(self) -> bool:
        """Whether its handshake is complete."""

    @property
    def usable(self) -> bool:
        """Whether it accepts requests: no GOAWAY was received, it is not closing, and it is responsive."""

    @property
    def load(self) -> int:
        """Requests on it, including those queued until its handshake completes."""

    @property
    def available_streams(self) -> int:
        """How many more streams the server allows; known only after the handshake."""


L = TypeVar("L", bound=SelectableConnection)


@dataclass(frozen=True, slots=True)
class Choice(Generic[L]):
    """The connection for a request. None with `open`: open a new one; None without: all are in use."""

    connection: L | None
    open: bool = False


def choose_connection(connections: Iterable[L], require_new: bool, may_open: bool) -> Choice[L]:
    """Choose the connection for a request. `require_new`: it must be a new one, which tests whether
    connections can be established; `may_open`: a socket is available for it."""
    usable = [connection for connection in connections if connection.usable]
    if require_new:
        return Choice(None, may_open)
    established = [
        connection
        for connection in usable
        if connection.established and connection.load < MAX_STREAMS and connection.available_streams > 0
    ]
    if established:
        return Choice(min(established, key=lambda connection: connection.load))
    handshaking = [
        connection for connection in usable if not connection.established and connection.load < MAX_STREAMS
    ]
    if handshaking:
        return Choice(min(handshaking, key=lambda connection: connection.load))
    return Choice(None, may_open and len(usable) < MAX_CONNECTIONS_PER_SERVER)


def is_unresponsive(received_s: float, sent_s: float) -> bool:
    """Whether the connection of an unanswered request that was abandoned appears to be dead.

    `received_s`: time of the last datagram received on it, `sent_s`: time at which the request was sent. A
    server that is merely slow has acknowledged its packets (RFC 9000, 13.2.1: within 25 ms). On a dead
    connection further requests would be lost until the idle timeout.
    """
    return received_s < sent_s
