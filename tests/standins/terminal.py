"""A terminal on a pty for tests: a VT100 emulator (pyte) on a line of limited speed, running a program."""

from __future__ import annotations

import array
import asyncio
import fcntl
import os
import pty
import struct
import subprocess
import sys
import termios
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pyte

from cloverrouter.lab.peers import LONG_S

TICK_S = 0.01


class Emulator(pyte.Screen):
    """VT100 emulator; passes its replies to status requests to `reply`, as a terminal sends them."""

    def __init__(self, columns: int, lines: int, reply: Callable[[bytes], None]) -> None:
        self._reply = reply
        super().__init__(columns, lines)

    def write_process_input(self, data: str) -> None:
        self._reply(data.encode())


class Terminal:
    """A terminal on the pty's master side.

    `speed`: the line's bytes per second; None: unlimited. `answers`: whether it replies to status requests.
    While `paused` is set, it reads nothing.
    """

    def __init__(self, master: int, columns: int, lines: int, speed: float | None, answers: bool) -> None:
        self.master = master
        self.speed = speed
        self.paused = False
        self.bytes = 0
        self.raw = bytearray()
        self.longest_backlog = 0
        self.screen = Emulator(columns, lines, self._reply if answers else lambda data: None)
        self._stream = pyte.ByteStream(self.screen)
        self._changed = asyncio.Condition()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def _reply(self, data: bytes) -> None:
        os.write(self.master, data)

    @property
    def backlog(self) -> int:
        """Return the number of bytes that the program has sent and the terminal has not read."""
        found = array.array("i", [0])
        fcntl.ioctl(self.master, termios.FIONREAD, found)
        return found[0]

    async def _run(self) -> None:
        allowed, before = 0.0, time.monotonic()
        while True:
            now = time.monotonic()
            if self.speed is not None:
                # Unused time does not accumulate: an idle line is not faster afterwards.
                allowed = min(allowed + (now - before) * self.speed, self.speed * 5 * TICK_S)
            before = now
            self.longest_backlog = max(self.longest_backlog, self.backlog)
            if not self.paused and (self.speed is None or allowed >= 1):
                try:
                    data = os.read(self.master, 65536 if self.speed is None else int(allowed))
                except BlockingIOError:
                    data = b""
                except OSError:  # the program has ended
                    async with self._changed:
                        self._changed.notify_all()
                    return
                if data:
                    allowed -= len(data)
                    self.bytes += len(data)
                    self.raw += data
                    self._stream.feed(data)
                    async with self._changed:
                        self._changed.notify_all()
            await asyncio.sleep(TICK_S)

    @property
    def text(self) -> str:
        """Return the screen's text."""
        return "\n".join(line.rstrip() for line in self.screen.display)

    def type(self, text: str) -> None:
        """Send keys to the program."""
        os.write(self.master, text.encode("latin-1"))

    async def until(self, condition: Callable[[], bool], seconds: float = LONG_S) -> float:
        """Wait until `condition` holds, checked after each output; return the seconds it took.

        On a timeout, raises an AssertionError with the screen's text.
        """
        started = time.monotonic()
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(condition)
        except TimeoutError:
            raise AssertionError(f"not seen within {seconds} s:\n{self.text}") from None
        return time.monotonic() - started

    async def sees(self, *texts: str, seconds: float = LONG_S) -> float:
        """Wait until all texts are on the screen; return the seconds it took."""
        return await self.until(lambda: all(text in self.text for text in texts), seconds)

    def resize(self, columns: int, lines: int) -> None:
        """Change the window size, which signals the program."""
        self.screen.resize(lines, columns)
        fcntl.ioctl(self.master, termios.TIOCSWINSZ, struct.pack("4H", lines, columns, 0, 0))

    def close(self) -> None:
        """Stop reading and close the pty."""
        self._task.cancel()
        os.close(self.master)


@asynccontextmanager
async def on_terminal(
    *arguments: str,
    columns: int = 80,
    lines: int = 24,
    baud: int | None = None,
    answers: bool = True,
    term: str = "vt100",
) -> AsyncIterator[tuple[Terminal, subprocess.Popen[bytes]]]:
    """Run `python -m cloverrouter ARGUMENTS` on a new terminal. `baud` 9600 carries 960 bytes per second."""
    master, slave = pty.openpty()
    fcntl.ioctl(master, termios.TIOCSWINSZ, struct.pack("4H", lines, columns, 0, 0))
    if baud is not None:
        settings = termios.tcgetattr(slave)
        settings[4] = settings[5] = getattr(termios, f"B{baud}")
        termios.tcsetattr(slave, termios.TCSANOW, settings)
    os.set_blocking(master, False)
    process = subprocess.Popen(
        [sys.executable, "-m", "cloverrouter", *arguments],
        stdin=slave,
        stdout=slave,
        stderr=slave,
        env={**os.environ, "TERM": term, "TZ": "UTC"},
        start_new_session=True,
        preexec_fn=lambda: fcntl.ioctl(0, termios.TIOCSCTTY, 0),  # the session receives SIGWINCH
    )
    os.close(slave)
    terminal = Terminal(master, columns, lines, None if baud is None else baud / 10, answers)
    try:
        yield terminal, process
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()
        terminal.close()
