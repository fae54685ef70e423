"""How many processes are this proxy just now? Two, from an upgrade's start until the old one has left.

Each holds the lock of one numbered file in the folder that they share, for as long as it lives; the kernel
lets go of it whatever way the process ends. Cheap enough to be asked ten times a second, and quick to load:
it is the first thing that a process does.
"""

from __future__ import annotations

import fcntl
import os

FOLDER = "cloverrouter-processes"
MOST = 4  # processes; more are not counted


class Presence:
    """Raises OSError where the folder can't be used."""

    def __init__(self, directory: str) -> None:
        folder = os.path.join(directory, FOLDER)
        os.makedirs(folder, mode=0o700, exist_ok=True)
        self._paths = [os.path.join(folder, str(i)) for i in range(MOST)]
        self._mine: int | None = None
        self._descriptor: int | None = None
        self.count()

    @classmethod
    def found(cls, directory: str | None) -> Presence | None:
        """None where processes can't tell of one another: each counts as alone then."""
        if not directory:
            return None
        try:
            return cls(directory)
        except OSError as error:
            os.write(2, f"another process of this proxy would not be noticed: {error}\n".encode())
            return None

    def _try(self, number: int) -> int | None:
        """The descriptor of that file with its lock; None if another process holds it."""
        descriptor = os.open(self._paths[number], os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        return descriptor

    def count(self) -> int:
        """Processes that are there, this one included. Raises OSError."""
        others = 0
        for number in range(MOST):
            if number == self._mine:
                continue
            descriptor = self._try(number)
            if descriptor is None:
                others += 1
            elif self._mine is None:
                self._mine, self._descriptor = number, descriptor
            else:
                os.close(descriptor)
        return others + 1

    def others(self) -> bool:
        """Is another process there, as far as can be told?"""
        try:
            return self.count() > 1
        except OSError:
            return False

    def leave(self) -> None:
        descriptor, self._descriptor, self._mine = self._descriptor, None, None
        if descriptor is not None:
            os.close(descriptor)
