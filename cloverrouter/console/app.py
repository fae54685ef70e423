"""The console on a terminal: raw bytes in and out, sizes and signals. What it shows, `Session` decides."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import termios
import time
from contextlib import suppress
from pathlib import Path

from cloverrouter.console.keys import Keys
from cloverrouter.console.link import Link
from cloverrouter.console.pace import Pace
from cloverrouter.console.paint import Painter
from cloverrouter.console.session import Ask, Session
from cloverrouter.seams import Json

DUMB = ("", "dumb", "unknown")
LONE_ESCAPE_S = 0.2  # an escape that nothing follows for so long was a key
FRAME_S = 0.25  # between looks at what should be shown, when nothing happens
LEAST_BAUD, MOST_BAUD = 300, 4_000_000
# What the kernel calls a speed, where it is not the figure itself (termios(3)).
BAUD = {
    getattr(termios, f"B{n}"): n
    for n in (300, 600, 1200, 2400, 4800, 9600, 19200, 38400, 57600, 115200, 230400)
}


def speed_of(descriptor: int) -> int:
    """The line's speed in baud, as the terminal driver has it."""
    return BAUD.get(termios.tcgetattr(descriptor)[5], 38400)


class App:
    """One console. `descriptor` is a terminal, opened anew and not blocking."""

    def __init__(self, path: Path, descriptor: int, baud: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._descriptor = descriptor
        now_s = self._loop.time()
        self._session = Session(str(path), now_s)
        self._link = Link(path, self._hello, self._answered, self._lost)
        self._keys = Keys()
        self._painter = Painter(*self._size())
        self._pace = Pace(baud / 10, now_s)  # ten bits a byte: start, eight, stop
        self._due: asyncio.TimerHandle | None = None
        self._escape: asyncio.TimerHandle | None = None
        self._full = False  # the driver takes nothing more
        self._done = asyncio.Event()

    def _size(self) -> tuple[int, int]:
        """Rows and columns that are used: the last column stays free, since terminals differ on it."""
        try:
            found = os.get_terminal_size(self._descriptor)
        except OSError:
            return 24, 79
        if found.lines <= 0 or found.columns <= 0:  # a serial line that nobody told its size
            return 24, 79
        return min(found.lines, 200), min(max(2, found.columns), 300) - 1

    async def run(self) -> None:
        self._loop.add_reader(self._descriptor, self._readable)
        self._loop.add_signal_handler(signal.SIGWINCH, self._resized)
        for number in (signal.SIGTERM, signal.SIGHUP):
            self._loop.add_signal_handler(number, self._done.set)
        linking = self._loop.create_task(self._link.run())
        self._step()
        try:
            await self._done.wait()
        finally:
            linking.cancel()
            self._loop.remove_reader(self._descriptor)
            if self._due is not None:
                self._due.cancel()
            with suppress(OSError):  # a terminal that takes nothing is left as it is
                os.write(self._descriptor, f"\x1b[{self._painter.height}H\x1b[K".encode())

    # What comes

    def _readable(self) -> None:
        try:
            data = os.read(self._descriptor, 4096)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._done.set()  # the terminal is gone
            return
        if self._escape is not None:
            self._escape.cancel()
            self._escape = None
        for key in self._keys.feed(data):
            self._key(key)
        if self._keys.pending:
            self._escape = self._loop.call_later(LONE_ESCAPE_S, self._lone_escape)
        self._step()

    def _lone_escape(self) -> None:
        for key in self._keys.flush():
            self._key(key)
        self._step()

    def _key(self, key: str) -> None:
        if key == "ACK":
            self._pace.answered()
        elif key == "REPAINT":
            self._resized()
        else:
            self._ask(self._session.key(key))
            if self._session.ended:
                self._done.set()

    def _resized(self) -> None:
        self._painter.resize(*self._size())
        self._session.hurry = True
        self._step()

    def _hello(self, hello: Json) -> None:
        self._ask(self._session.connected(hello))
        self._step()

    def _answered(self, ask: Ask, answer: Json) -> None:
        self._ask(self._session.answered(ask, answer))
        self._step()

    def _lost(self, why: str) -> None:
        self._session.lost(why, self._loop.time())
        self._step()

    def _ask(self, asks: list[Ask]) -> None:
        for ask in asks:
            self._link.ask(ask)

    # What goes

    def _step(self) -> None:
        """Ask what is due, and send what may be sent of what should be seen."""
        if self._done.is_set():
            return
        now_s = self._loop.time()
        if self._session.silent(now_s):
            self._link.drop()
        self._ask(self._session.poll(now_s, self._painter.height))
        if not self._full:
            wait_s = self._paint(now_s)
            if self._due is not None:
                self._due.cancel()
            self._due = self._loop.call_later(wait_s, self._step)

    def _paint(self, now_s: float) -> float:
        """Send what may be sent; how long to wait then."""
        painter, session, pace = self._painter, self._session, self._pace
        painter.want(*session.rows(painter.height, painter.width, now_s))
        while not painter.clean:
            steady = not (session.hurry or painter.urgent)
            most = pace.allowed(now_s, steady)
            data = painter.next(most, urgent_only=painter.urgent and not session.hurry) if most else b""
            if not data:
                self._write(pace.ask_again(now_s))
                return min(FRAME_S, pace.wait_s(steady))
            self._write(data + pace.sent(len(data), now_s, steady, painter.clean))
            if self._full:
                return FRAME_S
        session.hurry = False
        self._write(pace.ask_again(now_s))
        return FRAME_S

    def _write(self, data: bytes) -> None:
        """Danger: a terminal that has stopped takes a part, or nothing. Bytes once begun must go out whole,
        or an escape sequence ends in the middle; until they have, no more is made."""
        if not data:
            return
        try:
            count = os.write(self._descriptor, data)
        except BlockingIOError:
            count = 0
        except OSError:
            self._done.set()
            return
        if count < len(data):
            self._full = True
            self._rest = data[count:]
            self._loop.add_writer(self._descriptor, self._writable)

    def _writable(self) -> None:
        try:
            self._rest = self._rest[os.write(self._descriptor, self._rest) :]
        except BlockingIOError:
            return
        except OSError:
            self._rest = b""
            self._done.set()
        if not self._rest:
            self._full = False
            self._loop.remove_writer(self._descriptor)
            self._step()


def on_terminal(path: Path, speed: int | None) -> int:
    """The console on this process's terminal. The terminal's settings are put back, however it ends."""
    # Opened anew: not to block is a setting of the open file, which the shell shares with us.
    descriptor = os.open(os.ttyname(sys.stdout.fileno()), os.O_RDWR | os.O_NOCTTY | os.O_NONBLOCK)
    before = termios.tcgetattr(descriptor)
    raw = termios.tcgetattr(descriptor)
    # Keys come one by one and unechoed. XON/XOFF stays as it is: slow terminals need it.
    raw[3] &= ~(termios.ICANON | termios.ECHO | termios.ISIG | termios.IEXTEN)
    raw[0] &= ~(termios.ICRNL | termios.INLCR)
    raw[6][termios.VMIN], raw[6][termios.VTIME] = 1, 0
    baud = min(MOST_BAUD, max(LEAST_BAUD, speed or speed_of(descriptor)))

    async def serve() -> None:
        await App(path, descriptor, baud).run()

    try:
        termios.tcsetattr(descriptor, termios.TCSANOW, raw)
        asyncio.run(serve())
    finally:
        with suppress(termios.error, OSError):
            termios.tcsetattr(descriptor, termios.TCSANOW, before)
        os.close(descriptor)
    print()
    return 0


def main(path: Path, speed: int | None, plain: bool) -> int:
    terminal = sys.stdin.isatty() and sys.stdout.isatty() and os.environ.get("TERM", "") not in DUMB
    if plain or not terminal:
        from cloverrouter.console.plain import run

        return run(path, sys.stdin, sys.stdout, time.time)
    return on_terminal(path, speed)
