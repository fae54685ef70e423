"""Decoder of terminal input into keys, for the sequences of VT100 and xterm; unknown input is ignored.

A key is one printable ASCII character, or a name in capitals. `ACK` is not a key but the terminal's reply to
a status request (DSR, ECMA-48 section 8.3.35; VT100 User Guide, "Reports").
"""

from __future__ import annotations

from collections.abc import Iterator

CONTROL_KEYS = {
    0x01: "HOME",
    0x03: "INTERRUPT",
    0x04: "EOF",
    0x05: "END",
    0x08: "BACKSPACE",
    0x09: "TAB",
    0x0A: "ENTER",
    0x0B: "KILL_END",
    0x0C: "REPAINT",
    0x0D: "ENTER",
    0x0E: "DOWN",
    0x10: "UP",
    0x15: "KILL",
    0x17: "KILL_WORD",
    0x7F: "BACKSPACE",
}
FINAL_KEYS = {"A": "UP", "B": "DOWN", "C": "RIGHT", "D": "LEFT", "H": "HOME", "F": "END"}
TILDE_KEYS = {
    "1": "HOME",
    "3": "DELETE",
    "4": "END",
    "5": "PAGE_UP",
    "6": "PAGE_DOWN",
    "7": "HOME",
    "8": "END",
}
FUNCTION_KEYS = {"P": "F1", "Q": "F2", "R": "F3", "S": "F4"}
MAX_SEQUENCE_BYTES = 32  # longer escape sequences are discarded


class KeyDecoder:
    """Decodes a stream of bytes; buffers an incomplete escape sequence."""

    def __init__(self) -> None:
        self._sequence = bytearray()

    @property
    def pending(self) -> bool:
        """Return whether a sequence has begun; it may be a lone Escape key, which only `flush` can tell."""
        return bool(self._sequence)

    def flush(self) -> Iterator[str]:
        """End an incomplete sequence after a timeout; a lone escape byte was the Escape key."""
        alone = bytes(self._sequence) == b"\x1b"
        self._sequence.clear()
        if alone:
            yield "ESCAPE"

    def feed(self, data: bytes) -> Iterator[str]:
        """Yield the keys that `data` completes."""
        for byte in data:
            if self._sequence:
                if byte == 0x1B:
                    self._sequence[:] = b"\x1b"
                    continue
                self._sequence.append(byte)
                if self._is_complete():
                    key = self._decode_sequence()
                    self._sequence.clear()
                    if key:
                        yield key
                elif len(self._sequence) >= MAX_SEQUENCE_BYTES:
                    self._sequence.clear()
            elif byte == 0x1B:
                self._sequence.append(byte)
            elif byte in CONTROL_KEYS:
                yield CONTROL_KEYS[byte]
            elif 0x20 <= byte < 0x7F:
                yield chr(byte)

    def _is_complete(self) -> bool:
        second, last = self._sequence[1], self._sequence[-1]
        if second in b"[O":
            return len(self._sequence) > 2 and 0x40 <= last <= 0x7E
        return True

    def _decode_sequence(self) -> str:
        text = self._sequence.decode("latin-1")
        introducer, parameters, final = text[1], text[2:-1], text[-1]
        if introducer == "[":
            if final == "n":
                return "ACK" if parameters in ("0", "3") else ""
            if final == "~":
                return TILDE_KEYS.get(parameters.partition(";")[0], "")
            return FINAL_KEYS.get(final, "")
        if introducer == "O":
            return FUNCTION_KEYS.get(final) or FINAL_KEYS.get(final, "")
        return ""
