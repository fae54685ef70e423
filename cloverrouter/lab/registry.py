"""A discovery service for the lab: a versioned list of servers, updated with a delay, and long-poll watches.

Performs no I/O and runs on simulated or real time. Each call ends with one call of its `answer`, unless
discovery has stopped answering.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cloverrouter.clock import Loop
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.scenario import Discovery


@dataclass(frozen=True, slots=True)
class Entry:
    """A server as discovery lists it. `started_s` None: long ago. The driver defines `address`."""

    name: str
    hall: str
    rack: int
    state: str  # active, leaving, left
    started_s: float | None
    address: object


@dataclass(frozen=True, slots=True)
class Listing:
    """An answer: the full list, or the entries that changed."""

    version: int
    full: bool
    entries: tuple[Entry, ...]


Answer = Callable[[Listing | None], None]  # None: the connection breaks


class _Watch:
    """A pending long poll for changes after the version `since`."""

    __slots__ = ("answer", "over", "since")

    def __init__(self, since: int, answer: Answer) -> None:
        self.since, self.answer, self.over = since, answer, False


class Registry:
    """One discovery service with its pending watches and injected faults."""

    def __init__(self, loop: Loop, settings: Discovery, draws: Draws) -> None:
        self._loop, self._settings, self._draws = loop, settings, draws
        self.version = 1
        self._entries: dict[str, Entry] = {}
        self._changes: list[tuple[int, str]] = []
        # By server: number of its latest change. Older changes that arrive later are dropped.
        self._latest_change: dict[str, int] = {}
        self._watches: list[_Watch] = []
        self._stale_listing: Listing | None = None  # answered instead while discovery is stale
        self._contradictory_listing = Listing(0, True, ())  # every second answer while it contradicts
        self.silent = 0  # number of active faults that stop all answers
        self.break_share = 0.0  # share of the calls whose connection breaks
        self.contradicts = False
        self._calls = 0
        self.on_change: Callable[[Entry], None] = lambda entry: None  # the listed entry changed

    def begin(self, entries: list[Entry]) -> None:
        """Set the initial entries."""
        self._entries = {entry.name: entry for entry in entries}

    def listing(self) -> Listing:
        """The full list."""
        listed = tuple(entry for entry in self._entries.values() if entry.state != "left")
        return Listing(self.version, True, listed)

    def changed(self, entry: Entry, why: str) -> None:
        """A server has changed; the list follows after a delay set by `why` (add, notice or crash)."""
        mean_delay_s = {
            "add": self._settings.add_s,
            "notice": self._settings.notice_s,
            "crash": self._settings.crash_notice_s,
        }
        number = self._latest_change[entry.name] = self._latest_change.get(entry.name, 0) + 1
        self._loop.call_later(
            mean_delay_s[why] * self._draws.between(0.7, 1.3), self._apply_change, entry, number
        )

    def _apply_change(self, entry: Entry, number: int) -> None:
        if self._latest_change[entry.name] != number:
            return  # a newer change has overtaken this one
        self._entries[entry.name] = entry
        self.version += 1
        self._changes.append((self.version, entry.name))
        self.on_change(entry)
        if not self.silent and self._stale_listing is None:
            self._answer_watches()

    def _answer_watches(self) -> None:
        watches, self._watches = self._watches, []
        for watch in watches:
            if not watch.over:
                watch.over = True
                watch.answer(self._changes_since(watch.since))

    def _changes_since(self, since: int) -> Listing:
        if since > self.version:
            return self.listing()  # a version from before a restart
        names = {name: None for version, name in self._changes if version > since}
        return Listing(self.version, False, tuple(self._entries[name] for name in names))

    def call(self, since: int | None, hold_s: float, answer: Answer) -> None:
        """With `since` None, answer the full list at once. Otherwise answer the changes after `since`, or an
        empty list if there are none within `hold_s`."""
        if self.silent:
            return
        self._calls += 1
        if self.break_share and self._draws.uniform() < self.break_share:
            answer(None)
            return
        if self._stale_listing is not None or (self.contradicts and self._calls % 2):
            outdated = self._contradictory_listing if self._stale_listing is None else self._stale_listing
            if since is None or self._stale_listing is None:
                answer(outdated)
            else:
                self._loop.call_later(hold_s, answer, Listing(since, False, ()))
            return
        if since is None:
            answer(self.listing())
            return
        if since != self.version:
            answer(self._changes_since(since))
            return
        watch = _Watch(since, answer)
        self._watches.append(watch)
        self._loop.call_later(hold_s, self._expire_watch, watch)

    def _expire_watch(self, watch: _Watch) -> None:
        if not watch.over:
            watch.over = True
            if watch in self._watches:
                self._watches.remove(watch)
            if not self.silent:
                watch.answer(Listing(self.version, False, ()))

    # Faults

    def stop_answering(self) -> None:
        """Answer no calls from now on; pending watches stay unanswered."""
        self.silent += 1
        for watch in self._watches:
            watch.over = True
        self._watches.clear()

    def resume_answering(self) -> None:
        """End one `stop_answering`."""
        self.silent -= 1

    def become_stale(self) -> None:
        """Answer with the present list until `end_staleness`, and report no changes."""
        self._stale_listing = self.listing()

    def end_staleness(self) -> None:
        """Answer with the current list again; pending watches get the changes they missed."""
        self._stale_listing = None
        self._answer_watches()

    def start_contradicting(self) -> None:
        """Answer every second call with a snapshot of the present list."""
        self._contradictory_listing = self.listing()
        self.contradicts = True

    def stop_contradicting(self) -> None:
        """Answer every call with the current list again."""
        self.contradicts = False

    def restart(self) -> None:
        """Restart as a new process: versions start from 1 again and pending watches break."""
        watches, self._watches = self._watches, []
        self.version = 1
        self._changes = [(1, name) for name in self._entries]
        for watch in watches:
            if not watch.over:
                watch.over = True
                watch.answer(None)
