"""Who may begin a QUIC connection: room, and whether an address must first show that it can be reached.

Rules only (RFC 9000, 8.1). An Initial's source address can be forged. As long as few handshakes are under
way each is begun at once; beyond that a Retry packet asks for a token, which costs no memory, no handshake's
work and fewer bytes than it answers to.
"""

from __future__ import annotations

import hmac
from enum import Enum
from ipaddress import ip_address

MOST_UNPROVEN = 16  # handshakes under way, beyond which addresses must prove themselves
# An unfinished handshake ends after this time; after the shorter one where it stands in others' way. Danger:
# its client may have finished, with its last packets lost, and asked already: ended, it has no answer.
HANDSHAKE_S, CROWDED_S = 10.0, 2.3
TOKEN_S = 10.0  # a token is answered within a round trip
MAC_BYTES = 16
ID_BYTES = 8  # of connection ids that we choose


class Word(Enum):
    """What becomes of the first packet of a connection."""

    BEGIN = "begin"
    PROVE = "prove"  # send a Retry packet
    DROP = "drop"  # there is no room; its client falls back to HTTP/1.1


class Doors:
    """`most`: connections at once. `secret`: lasts over restarts, so that a stateless reset is believed."""

    def __init__(self, most: int, secret: bytes) -> None:
        self.most = most
        self._secret = secret

    def word(self, connections: int, unproven: int, proven: bool) -> Word:
        """`connections`: open; `unproven`: of those, still in their handshakes; `proven`: it has a token."""
        # Danger: each forged address would cost a connection's memory and a handshake's work; and where there
        # is no room, another's idle connection.
        if not proven and self._crowded(connections, unproven):
            return Word.PROVE
        return Word.BEGIN if connections < self.most else Word.DROP

    def handshake_s(self, connections: int, unproven: int) -> float:
        """How long a handshake may take by now."""
        return CROWDED_S if self._crowded(connections, unproven) else HANDSHAKE_S

    def _crowded(self, connections: int, unproven: int) -> bool:
        return connections >= self.most or unproven >= min(MOST_UNPROVEN, max(1, self.most // 4))

    # Tokens: what a client sends back shows that it got it, at its address, a moment ago

    def token(self, address: tuple[str, int], original: bytes, chosen: bytes, now_s: float) -> bytes:
        """For a client that asked for connection `original` and is to go on with `chosen`."""
        told = b"%b%c%b%b" % (int(now_s * 1000).to_bytes(8, "big"), len(original), original, chosen)
        return told + self._mac(address, told)

    def read(self, address: tuple[str, int], token: bytes, chosen: bytes, now_s: float) -> bytes | None:
        """The connection id that the client asked for at first; None if this is not our token for it."""
        told, mac = token[:-MAC_BYTES], token[-MAC_BYTES:]
        if len(told) < 9 or not hmac.compare_digest(mac, self._mac(address, told)):
            return None
        size = told[8]
        # Danger: kept and sent again by whoever saw it, a token would prove nothing about the address.
        age_s = now_s - int.from_bytes(told[:8], "big") / 1000
        if not 0 <= age_s <= TOKEN_S or told[9 + size :] != chosen:
            return None
        return told[9 : 9 + size]

    def reset_token(self, connection_id: bytes) -> bytes:
        """By which a client knows that a stateless reset is ours (RFC 9000, 10.3)."""
        return hmac.digest(self._secret, b"reset" + connection_id, "sha256")[:16]

    def _mac(self, address: tuple[str, int], told: bytes) -> bytes:
        place = ip_address(address[0]).packed + address[1].to_bytes(2, "big")
        return hmac.digest(self._secret, b"retry" + place + told, "sha256")[:MAC_BYTES]
