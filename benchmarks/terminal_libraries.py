"""Compare how many bytes terminal libraries send for the same screen.

The choice of the console's own renderer rests on this comparison.

    python -m benchmarks.terminal_libraries [PYTHON]

PYTHON is an interpreter that has urwid, prompt_toolkit and textual (this project does not need them). Each
library shows the same twenty frames of the servers' screen, one every 0.3 s, on a VT100 of 80 by 24. Counted
are the bytes until the first frame is complete and those of each frame after it. The terminal reads without a
rate limit, so the benchmark compares the amount of output and not its timing.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import pty
import struct
import subprocess
import sys
import termios
import time
from pathlib import Path
from random import Random

from cloverrouter.console.paint import Renderer, Row

FRAMES, EVERY_S, FIRST_S = 20, 0.3, 2.0
HEIGHT, WIDTH = 24, 79


def frames() -> list[list[str]]:
    """Frames of the servers' screen whose figures change as they do under load."""
    random, found = Random(1), []
    for number in range(FRAMES):
        rows = [
            " demo   1 SERVERS  2 load  3 failures  4 events   help  quit",
            f"able 3/3 drained 0 | open {random.randrange(4)} held 0 | /s: in {random.randrange(28, 32)}",
            f"10:07:{number:02} all is well",
            "SERVER       STATE    WHY         OUT/LIM  PAY    MS  OK/s BAD/s REPORT     AGE",
        ]
        for name in ("s-1", "s-2", "s-3"):
            rows.append(
                f"{name:<12} ready    ready       {random.randrange(3):>5}/4 0.{random.randrange(94, 99)}"
                f" {random.randrange(30, 40):>5} {random.randrange(8, 13):>5}   0.0 i{random.randrange(4)} q0"
                f"       {random.randrange(2)}s"
            )
        found.append(rows + [""] * (HEIGHT - len(rows) - 1) + ["> "])
    return found


HEAD = f"""
import sys, time
sys.path.insert(0, {str(Path(__file__).parents[1])!r})
from benchmarks.terminal_libraries import frames, EVERY_S, FIRST_S, WIDTH
FRAMES = frames()
"""
PROGRAMS = {
    "curses": """
import curses
def show(screen):
    curses.use_default_colors() if curses.has_colors() else None
    for number, rows in enumerate(FRAMES):
        for y, row in enumerate(rows):
            screen.move(y, 0); screen.clrtoeol(); screen.addnstr(y, 0, row, WIDTH)
        screen.refresh()
        time.sleep(FIRST_S if number == 0 else EVERY_S)
curses.wrapper(show)
""",
    "urwid": """
import urwid
text = urwid.Text("\\n".join(FRAMES[0]))
loop = urwid.MainLoop(urwid.Filler(text, "top"))
def again(loop, number):
    if number == len(FRAMES):
        raise urwid.ExitMainLoop
    text.set_text("\\n".join(FRAMES[number]))
    loop.set_alarm_in(EVERY_S, again, number + 1)
loop.set_alarm_in(FIRST_S, again, 1)
loop.run()
""",
    "prompt_toolkit": """
import asyncio
from prompt_toolkit import Application
from prompt_toolkit.layout import Layout, Window, FormattedTextControl
now = [FRAMES[0]]
app = Application(Layout(Window(FormattedTextControl(lambda: "\\n".join(now[0])))), full_screen=True)
async def feed():
    await asyncio.sleep(FIRST_S)
    for rows in FRAMES[1:]:
        now[0] = rows
        app.invalidate()
        await asyncio.sleep(EVERY_S)
    app.exit()
async def main():
    task = asyncio.create_task(feed())
    await app.run_async()
asyncio.run(main())
""",
    "textual": """
import asyncio
from textual.app import App
from textual.widgets import Static
class Show(App):
    def compose(self):
        yield Static("\\n".join(FRAMES[0]), markup=False)
    def on_mount(self):
        self.run_worker(self.feed())
    async def feed(self):
        await asyncio.sleep(FIRST_S)
        for rows in FRAMES[1:]:
            self.query_one(Static).update("\\n".join(rows))
            await asyncio.sleep(EVERY_S)
        self.exit()
Show().run()
""",
}


def ours() -> tuple[int, float]:
    """Bytes of the first frame, and the mean of each later one, as this project's renderer sends them."""
    renderer = Renderer(HEIGHT, WIDTH)
    counts = []
    for rows in frames():
        renderer.set_target(
            [Row(row, reverse=y == 0) for y, row in enumerate(rows)], (HEIGHT - 1, 2), [HEIGHT - 1]
        )
        count = 0
        while not renderer.clean:
            count += len(renderer.next(4096))
        counts.append(count)
    return counts[0], sum(counts[1:]) / len(counts[1:])


async def count(python: str, program: str) -> tuple[int, float] | None:
    """Bytes of the first frame, and the mean of each later one, that a program sends; None if it fails."""
    master, slave = pty.openpty()
    os.set_blocking(master, False)
    fcntl.ioctl(slave, termios.TIOCSWINSZ, struct.pack("4H", HEIGHT, WIDTH + 1, 0, 0))
    process = subprocess.Popen(
        [python, "-c", HEAD + program], stdin=slave, stdout=slave, stderr=subprocess.DEVNULL,
        env={**os.environ, "TERM": "vt100"},
    )  # fmt: skip
    os.close(slave)
    total, first, begun, last = 0, None, 0.0, time.monotonic()
    while time.monotonic() - last < 15 and (process.poll() is None):
        await asyncio.sleep(0.02)
        try:
            data = os.read(master, 65536)
        except BlockingIOError:
            data = b""
        except OSError:
            break
        if data:
            begun = begun or time.monotonic()
            last = time.monotonic()
            total += len(data)
        # By then the first frame is complete and the second has not begun.
        if begun and first is None and time.monotonic() - begun > FIRST_S * 0.75:
            first = total
    if process.poll() is None:
        process.kill()
    code = process.wait()
    os.close(master)
    if first is None or code != 0:
        return None
    return first, (total - first) / (FRAMES - 1)


def main() -> None:
    """Print the byte counts of this project and of each library."""
    python = sys.argv[1] if len(sys.argv) > 1 else sys.executable
    print(f"bytes on a VT100: first screen, then each of {FRAMES - 1} frames (with the program's end)")
    print("  {:<15}{:>6}{:>8.0f}".format("this project", *ours()))
    for name, program in PROGRAMS.items():
        found = asyncio.run(count(python, program))
        figures = "not there, or it failed" if found is None else "{:>6}{:>8.0f}".format(*found)
        print(f"  {name:<15}{figures}")


if __name__ == "__main__":
    main()
