"""The time of one simulated proxy, which may stand still while the others' goes on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cloverrouter.lab.engine import Engine, Timer
from cloverrouter.proxy.containment import UncontainedErrors
from cloverrouter.proxy.wake import Wake


class PausableClock:
    """The time of one proxy: a `Loop` whose calls wait while the proxy stands still.

    What comes for it meanwhile waits, too, as in a socket's buffer, and is met before the timers.
    """

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.wake = Wake()
        self.contained_errors = UncontainedErrors()
        self.from_s: float | None = None  # since when it stands
        self._came: list[tuple[Callable[..., object], tuple[Any, ...]]] = []
        self._due: list[tuple[Timer, Callable[..., object], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self._engine.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        timer = Timer()
        self._engine.call_later(delay, self._fire, timer, callback, args)
        return timer

    def _fire(self, timer: Timer, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self.from_s is not None:
            self._due.append((timer, callback, args))
        elif not timer.cancelled:
            callback(*args)

    def away(self, met: Callable[..., object], *args: Any) -> bool:
        """Does it stand still? Then `met` waits until it goes on."""
        if self.from_s is not None:
            self._came.append((met, args))
        return self.from_s is not None

    def stand(self) -> None:
        if self.from_s is None:
            self.from_s = self._engine.now

    def go_on(self) -> None:
        if self.from_s is None:
            return
        from_s, self.from_s = self.from_s, None
        gap = self.wake.took(from_s, self._engine.now, 0.0)
        for hear in self.wake.on_gap:
            hear(gap)
        came, self._came = self._came, []
        for met, args in came:
            met(*args)
        due, self._due = self._due, []
        for timer, callback, args in due:
            if not timer.cancelled:
                callback(*args)
