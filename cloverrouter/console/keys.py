"""Bytes from a terminal to keys. Knows what VT100 and xterm send; any bytes give keys or nothing.

A key is one printable ASCII character, or a name in capitals. `ACK` is no key but a terminal's answer to
a status report (DSR, ECMA-48 section 8.3.35; VT100 User Guide, "Reports").
"""

from __future__ import annotations

from collections.abc import Iterator

SINGLE = {
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
FINAL = {"A": "UP", "B": "DOWN", "C": "RIGHT", "D": "LEFT", "H": "HOME", "F": "END"}
TILDE = {"1": "HOME", "3": "DELETE", "4": "END", "5": "PAGE_UP", "6": "PAGE_DOWN", "7": "HOME", "8": "END"}
FUNCTION = {"P": "F1", "Q": "F2", "R": "F3", "S": "F4"}
MOST_SEQUENCE = 32  # bytes of one escape sequence; then it is noise


class Keys:
    """Holds the bytes of a sequence that is not whole yet."""

    def __init__(self) -> None:
        self._sequence = bytearray()

    @property
    def pending(self) -> bool:
        """Has a sequence begun? An escape on its own looks the same until `flush`."""
        return bool(self._sequence)

    def flush(self) -> Iterator[str]:
        """No more comes for now: an escape on its own was a key."""
        alone = bytes(self._sequence) == b"\x1b"
        self._sequence.clear()
        if alone:
            yield "ESCAPE"

    def feed(self, data: bytes) -> Iterator[str]:
        for byte in data:
            if self._sequence:
                if byte == 0x1B:
                    self._sequence[:] = b"\x1b"
                    continue
                self._sequence.append(byte)
                if self._whole():
                    key = self._read()
                    self._sequence.clear()
                    if key:
                        yield key
                elif len(self._sequence) >= MOST_SEQUENCE:
                    self._sequence.clear()
            elif byte == 0x1B:
                self._sequence.append(byte)
            elif byte in SINGLE:
                yield SINGLE[byte]
            elif 0x20 <= byte < 0x7F:
                yield chr(byte)

    def _whole(self) -> bool:
        second, last = self._sequence[1], self._sequence[-1]
        if second in b"[O":
            return len(self._sequence) > 2 and 0x40 <= last <= 0x7E
        return True

    def _read(self) -> str:
        text = self._sequence.decode("latin-1")
        introducer, parameters, final = text[1], text[2:-1], text[-1]
        if introducer == "[":
            if final == "n":
                return "ACK" if parameters in ("0", "3") else ""
            if final == "~":
                return TILDE.get(parameters.partition(";")[0], "")
            return FINAL.get(final, "")
        if introducer == "O":
            return FUNCTION.get(final) or FINAL.get(final, "")
        return ""
