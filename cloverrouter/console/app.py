"""The console's event loop on a terminal: input and output, window size, signals. `Session` has the logic."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import termios
import time
from contextlib import suppress
from pathlib import Path

from cloverrouter.console.keys import KeyDecoder
from cloverrouter.console.link import Link
from cloverrouter.console.pace import Pacer
from cloverrouter.console.paint import Renderer
from cloverrouter.console.session import ProxyRequest, Session
from cloverrouter.seams import Json

DUMB_TERMINALS = ("", "dumb", "unknown")
ESCAPE_TIMEOUT_S = 0.2  # an escape byte followed by nothing within this time is the Escape key
FRAME_INTERVAL_S = 0.25  # between redraws without input or answers
MIN_BAUD, MAX_BAUD = 300, 4_000_000
# The kernel's constants for line speeds, which differ from the speeds themselves (termios(3)).
BAUD_BY_CONSTANT = {
    getattr(termios, f"B{n}"): n
    for n in (300, 600, 1200, 2400, 4800, 9600, 19200, 38400, 57600, 115200, 230400)
}


def speed_of(descriptor: int) -> int:
    """Return the line speed in baud that the terminal driver reports."""
    return BAUD_BY_CONSTANT.get(termios.tcgetattr(descriptor)[5], 38400)


class App:
    """One console. `descriptor` is a terminal, opened separately in non-blocking mode."""

    def __init__(self, path: Path, descriptor: int, baud: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._descriptor = descriptor
        now_s = self._loop.time()
        self._session = Session(str(path), now_s)
        self._link = Link(path, self._on_hello, self._on_answer, self._on_lost)
        self._key_decoder = KeyDecoder()
        self._renderer = Renderer(*self._size())
        self._pacer = Pacer(baud / 10, now_s)  # ten bits a byte: start, eight, stop
        self._step_timer: asyncio.TimerHandle | None = None
        self._escape_timer: asyncio.TimerHandle | None = None
        self._output_blocked = False  # the terminal driver's queue is full
        self._done = asyncio.Event()

    def _size(self) -> tuple[int, int]:
        """Return the rows and columns in use; the last column stays free, as terminals differ in wrapping."""
        try:
            size = os.get_terminal_size(self._descriptor)
        except OSError:
            return 24, 79
        if size.lines <= 0 or size.columns <= 0:  # a serial line without a configured size
            return 24, 79
        return min(size.lines, 200), min(max(2, size.columns), 300) - 1

    async def run(self) -> None:
        """Run until the operator quits, a signal arrives or the terminal closes."""
        self._loop.add_reader(self._descriptor, self._readable)
        self._loop.add_signal_handler(signal.SIGWINCH, self._resized)
        for number in (signal.SIGTERM, signal.SIGHUP):
            self._loop.add_signal_handler(number, self._done.set)
        link_task = self._loop.create_task(self._link.run())
        self._step()
        try:
            await self._done.wait()
        finally:
            link_task.cancel()
            self._loop.remove_reader(self._descriptor)
            if self._step_timer is not None:
                self._step_timer.cancel()
            with suppress(OSError):  # the terminal may be closed or blocked
                os.write(self._descriptor, f"\x1b[{self._renderer.height}H\x1b[K".encode())

    # Input

    def _readable(self) -> None:
        try:
            data = os.read(self._descriptor, 4096)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._done.set()  # the terminal was closed
            return
        if self._escape_timer is not None:
            self._escape_timer.cancel()
            self._escape_timer = None
        for key in self._key_decoder.feed(data):
            self._handle_key(key)
        if self._key_decoder.pending:
            self._escape_timer = self._loop.call_later(ESCAPE_TIMEOUT_S, self._lone_escape)
        self._step()

    def _lone_escape(self) -> None:
        for key in self._key_decoder.flush():
            self._handle_key(key)
        self._step()

    def _handle_key(self, key: str) -> None:
        if key == "ACK":
            self._pacer.confirmed()
        elif key == "REPAINT":
            self._resized()
        else:
            self._send_requests(self._session.key(key))
            if self._session.ended:
                self._done.set()

    def _resized(self) -> None:
        self._renderer.resize(*self._size())
        self._session.redraw_now = True
        self._step()

    def _on_hello(self, hello: Json) -> None:
        self._send_requests(self._session.connected(hello))
        self._step()

    def _on_answer(self, request: ProxyRequest, answer: Json) -> None:
        self._send_requests(self._session.answered(request, answer))
        self._step()

    def _on_lost(self, reason: str) -> None:
        self._session.lost(reason, self._loop.time())
        self._step()

    def _send_requests(self, requests: list[ProxyRequest]) -> None:
        for request in requests:
            self._link.send(request)

    # Output

    def _step(self) -> None:
        """Send the requests that are due, and as much of the screen as the pacer allows."""
        if self._done.is_set():
            return
        now_s = self._loop.time()
        if self._session.answer_overdue(now_s):
            self._link.drop()
        self._send_requests(self._session.poll(now_s, self._renderer.height))
        if not self._output_blocked:
            wait_s = self._render(now_s)
            if self._step_timer is not None:
                self._step_timer.cancel()
            self._step_timer = self._loop.call_later(wait_s, self._step)

    def _render(self, now_s: float) -> float:
        """Write as much of the screen as the pacer allows; return the time to the next call."""
        renderer, session, pacer = self._renderer, self._session, self._pacer
        renderer.set_target(*session.rows(renderer.height, renderer.width, now_s))
        while not renderer.clean:
            refresh = not (session.redraw_now or renderer.urgent)
            max_bytes = pacer.allowed(now_s, refresh)
            data = (
                renderer.next(max_bytes, urgent_only=renderer.urgent and not session.redraw_now)
                if max_bytes
                else b""
            )
            if not data:
                self._write(pacer.repeat_request(now_s))
                return min(FRAME_INTERVAL_S, pacer.wait_s(refresh))
            self._write(data + pacer.sent(len(data), now_s, refresh, renderer.clean))
            if self._output_blocked:
                return FRAME_INTERVAL_S
        session.redraw_now = False
        self._write(pacer.repeat_request(now_s))
        return FRAME_INTERVAL_S

    def _write(self, data: bytes) -> None:
        """Write `data`; the rest follows when the terminal accepts more.

        A stopped terminal accepts only a part or nothing. The rest must be written before any new output, or
        an escape sequence would be cut off.
        """
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
            self._output_blocked = True
            self._unwritten = data[count:]
            self._loop.add_writer(self._descriptor, self._writable)

    def _writable(self) -> None:
        try:
            self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
        except BlockingIOError:
            return
        except OSError:
            self._unwritten = b""
            self._done.set()
        if not self._unwritten:
            self._output_blocked = False
            self._loop.remove_writer(self._descriptor)
            self._step()


def on_terminal(path: Path, speed: int | None) -> int:
    """Run the console on this process's terminal and restore the terminal's settings at the end."""
    # Opened separately: O_NONBLOCK belongs to the open file description, which the shell shares.
    descriptor = os.open(os.ttyname(sys.stdout.fileno()), os.O_RDWR | os.O_NOCTTY | os.O_NONBLOCK)
    saved_settings = termios.tcgetattr(descriptor)
    raw_settings = termios.tcgetattr(descriptor)
    # Read single keys without echo. XON/XOFF stays enabled: slow terminals need it.
    raw_settings[3] &= ~(termios.ICANON | termios.ECHO | termios.ISIG | termios.IEXTEN)
    raw_settings[0] &= ~(termios.ICRNL | termios.INLCR)
    raw_settings[6][termios.VMIN], raw_settings[6][termios.VTIME] = 1, 0
    baud = min(MAX_BAUD, max(MIN_BAUD, speed or speed_of(descriptor)))

    async def serve() -> None:
        await App(path, descriptor, baud).run()

    try:
        termios.tcsetattr(descriptor, termios.TCSANOW, raw_settings)
        asyncio.run(serve())
    finally:
        with suppress(termios.error, OSError):
            termios.tcsetattr(descriptor, termios.TCSANOW, saved_settings)
        os.close(descriptor)
    print()
    return 0


def main(path: Path, speed: int | None, plain: bool) -> int:
    """Run the console, in plain mode if requested or if the terminal can't position text."""
    terminal = sys.stdin.isatty() and sys.stdout.isatty() and os.environ.get("TERM", "") not in DUMB_TERMINALS
    if plain or not terminal:
        from cloverrouter.console.plain import run

        return run(path, sys.stdin, sys.stdout, time.time)
    return on_terminal(path, speed)
