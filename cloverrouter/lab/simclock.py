"""The clock of one simulated proxy, which can be paused independently of the others."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cloverrouter.lab.engine import Engine, Timer
from cloverrouter.proxy.containment import UncontainedErrors
from cloverrouter.proxy.wake import PauseDetector


class PausableClock:
    """The event loop of one proxy: a `Loop` whose calls are delayed while the proxy's process is paused.

    Data that arrives meanwhile is delayed, too, as in a socket's buffer, and is handled before the timers.
    """

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.pause_detector = PauseDetector()
        self.contained_errors = UncontainedErrors()
        self.paused_since_s: float | None = None  # start of the current pause
        self._deferred: list[tuple[Callable[..., object], tuple[Any, ...]]] = []
        self._expired: list[tuple[Timer, Callable[..., object], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self._engine.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        timer = Timer()
        self._engine.call_later(delay, self._fire, timer, callback, args)
        return timer

    def _fire(self, timer: Timer, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self.paused_since_s is not None:
            self._expired.append((timer, callback, args))
        elif not timer.cancelled:
            callback(*args)

    def defer_if_paused(self, handler: Callable[..., object], *args: Any) -> bool:
        """Whether the proxy is paused; if so, `handler` is called with `args` when it resumes."""
        if self.paused_since_s is not None:
            self._deferred.append((handler, args))
        return self.paused_since_s is not None

    def pause(self) -> None:
        """Pause the proxy, as SIGSTOP does."""
        if self.paused_since_s is None:
            self.paused_since_s = self._engine.now

    def resume(self) -> None:
        """Resume: report the pause, then handle the deferred data and the expired timers, in this order."""
        if self.paused_since_s is None:
            return
        paused_since_s, self.paused_since_s = self.paused_since_s, None
        gap = self.pause_detector.record_pause(paused_since_s, self._engine.now, 0.0)
        for listener in self.pause_detector.on_pause:
            listener(gap)
        deferred, self._deferred = self._deferred, []
        for handler, args in deferred:
            handler(*args)
        expired, self._expired = self._expired, []
        for timer, callback, args in expired:
            if not timer.cancelled:
                callback(*args)
