"""Count the running processes of this proxy: two during an upgrade, until the old one has exited.

Each process holds an flock(2) lock on one numbered file in a shared directory while it runs; the kernel
releases it however the process ends. A count is cheap enough for ten a second. The module must be quick to
import: it is the first thing that a process does.
"""

from __future__ import annotations

import fcntl
import os

DIRECTORY_NAME = "cloverrouter-processes"
MAX_PROCESSES = 4  # more are not counted


class Presence:
    """This process's entry among the proxy's processes; raises OSError if the directory can't be used."""

    def __init__(self, directory: str) -> None:
        self.directory = os.path.join(directory, DIRECTORY_NAME)
        os.makedirs(self.directory, mode=0o700, exist_ok=True)
        self._paths = [os.path.join(self.directory, str(i)) for i in range(MAX_PROCESSES)]
        self._own_number: int | None = None
        self._descriptor: int | None = None
        self.count()

    @classmethod
    def open_if_usable(cls, directory: str | None) -> Presence | None:
        """Return None if the processes can't detect each other; each then counts as the only one."""
        if not directory:
            return None
        try:
            return cls(directory)
        except OSError as error:
            os.write(2, f"another process of this proxy would not be noticed: {error}\n".encode())
            return None

    def _try_lock(self, number: int) -> int | None:
        """Lock the file of `number` and return its descriptor; None if another process holds the lock."""
        descriptor = os.open(self._paths[number], os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        return descriptor

    def count(self) -> int:
        """Return the number of running processes, including this one. Raises OSError."""
        others = 0
        for number in range(MAX_PROCESSES):
            if number == self._own_number:
                continue
            descriptor = self._try_lock(number)
            if descriptor is None:
                others += 1
            elif self._own_number is None:
                self._own_number, self._descriptor = number, descriptor
            else:
                os.close(descriptor)
        return others + 1

    def has_others(self) -> bool:
        """Return whether another process is running; False if that can't be determined."""
        try:
            return self.count() > 1
        except OSError:
            return False

    def release(self) -> None:
        descriptor, self._descriptor, self._own_number = self._descriptor, None, None
        if descriptor is not None:
            os.close(descriptor)
