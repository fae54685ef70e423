"""Admission of new QUIC connections: their limit, and address validation (RFC 9000, 8.1). Pure logic, no I/O.

The source address of an Initial packet can be forged. While few handshakes are in progress, each connection
is accepted at once; beyond that a Retry packet requests a token. That costs no memory and no cryptographic
handshake, and the Retry is smaller than the packet that caused it, so that it amplifies nothing.
"""

from __future__ import annotations

import hmac
from enum import Enum
from ipaddress import ip_address

MOST_UNPROVEN = 16  # handshakes in progress, from which on addresses must be validated by Retry
# Timeouts of a handshake; the shorter one applies while connections are scarce. The client may have finished,
# with its last packets lost, and have sent requests: after a timeout these get no answer.
HANDSHAKE_S, CROWDED_S = 10.0, 2.3
TOKEN_LIFETIME_S = 10.0  # a client returns the token within a round trip
MAC_BYTES = 16
CONNECTION_ID_BYTES = 8  # of the connection ids that the proxy chooses


class Admission(Enum):
    """The decision on the first packet of a connection. The values are counters."""

    BEGIN = "begin"
    PROVE = "prove"  # send a Retry packet
    DROP = "drop"  # all connections are in use; the client falls back to HTTP/1.1


class AdmissionControl:
    """Decides which connections are accepted; issues and verifies the tokens.

    `max_connections`: at once. `secret`: stays the same across restarts, so that clients accept stateless
    resets of a restarted process.
    """

    def __init__(self, max_connections: int, secret: bytes) -> None:
        self.max_connections = max_connections
        self._secret = secret

    def admit(self, connections: int, handshaking: int, validated: bool) -> Admission:
        """Decide on a first packet. `connections`: open ones; `handshaking`: of those, in their handshake;
        `validated`: the packet has a valid token."""
        # Without validation each forged address would cost the memory and the handshake of a connection and,
        # at the limit, evict an idle one.
        if not validated and self._crowded(connections, handshaking):
            return Admission.PROVE
        return Admission.BEGIN if connections < self.max_connections else Admission.DROP

    def handshake_s(self, connections: int, handshaking: int) -> float:
        """Return the timeout that applies to handshakes now."""
        return CROWDED_S if self._crowded(connections, handshaking) else HANDSHAKE_S

    def _crowded(self, connections: int, handshaking: int) -> bool:
        return connections >= self.max_connections or handshaking >= min(
            MOST_UNPROVEN, max(1, self.max_connections // 4)
        )

    # Tokens: returning one proves that the client recently received it at its address

    def issue_token(
        self, address: tuple[str, int], original_id: bytes, retry_id: bytes, now_s: float
    ) -> bytes:
        """Return a token for a client that started with connection id `original_id`; the Retry gives it
        `retry_id`."""
        payload = b"%b%c%b%b" % (
            int(now_s * 1000).to_bytes(8, "big"),
            len(original_id),
            original_id,
            retry_id,
        )
        return payload + self._mac(address, payload)

    def verify_token(
        self, address: tuple[str, int], token: bytes, retry_id: bytes, now_s: float
    ) -> bytes | None:
        """Return the connection id that the client started with; None if the token is not valid for it."""
        payload, mac = token[:-MAC_BYTES], token[-MAC_BYTES:]
        if len(payload) < 9 or not hmac.compare_digest(mac, self._mac(address, payload)):
            return None
        id_length = payload[8]
        # Without an expiry, a token replayed by an observer would prove nothing about the address.
        age_s = now_s - int.from_bytes(payload[:8], "big") / 1000
        if not 0 <= age_s <= TOKEN_LIFETIME_S or payload[9 + id_length :] != retry_id:
            return None
        return payload[9 : 9 + id_length]

    def reset_token(self, connection_id: bytes) -> bytes:
        """Return the token by which a client authenticates a stateless reset (RFC 9000, 10.3)."""
        return hmac.digest(self._secret, b"reset" + connection_id, "sha256")[:16]

    def _mac(self, address: tuple[str, int], payload: bytes) -> bytes:
        source = ip_address(address[0]).packed + address[1].to_bytes(2, "big")
        return hmac.digest(self._secret, b"retry" + source + payload, "sha256")[:MAC_BYTES]
