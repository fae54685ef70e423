"""What discovery does: a list of servers, late, with versions, and watches on its changes.

Rules without I/O, for whichever kind of time. A call ends by its `answer`, or is never answered.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cloverrouter.clock import Loop
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.scenario import Discovery


@dataclass(frozen=True, slots=True)
class Entry:
    """A server as discovery lists it; `started_s` None: long ago. `address` is the driver's."""

    name: str
    hall: str
    rack: int
    state: str  # active, leaving, left
    started_s: float | None
    address: object


@dataclass(frozen=True, slots=True)
class Listing:
    version: int
    full: bool
    entries: tuple[Entry, ...]


Answer = Callable[[Listing | None], None]  # None: the call breaks


class _Watch:
    __slots__ = ("answer", "over", "since")

    def __init__(self, since: int, answer: Answer) -> None:
        self.since, self.answer, self.over = since, answer, False


class Registry:
    def __init__(self, loop: Loop, kind: Discovery, draws: Draws) -> None:
        self._loop, self._kind, self._draws = loop, kind, draws
        self.version = 1
        self._entries: dict[str, Entry] = {}
        self._changes: list[tuple[int, str]] = []
        self._pending: dict[str, int] = {}  # the last change of a server, for those that overtake others
        self._watches: list[_Watch] = []
        self._old: Listing | None = None  # told instead, where discovery is stale
        self._before = Listing(0, True, ())  # told every other time, where it contradicts itself
        self.silent = 0
        self.break_share = 0.0  # of the calls
        self.contradicts = False
        self._calls = 0
        self.on_change: Callable[[Entry], None] = lambda entry: None  # it lists something else from now on

    def begin(self, entries: list[Entry]) -> None:
        """What it knows at the start."""
        self._entries = {entry.name: entry for entry in entries}

    def listing(self) -> Listing:
        listed = tuple(entry for entry in self._entries.values() if entry.state != "left")
        return Listing(self.version, True, listed)

    def changed(self, entry: Entry, why: str) -> None:
        """The truth about a server has changed: it is listed so after a while, by `why`: add, notice,
        crash."""
        usual = {"add": self._kind.add_s, "notice": self._kind.notice_s, "crash": self._kind.crash_notice_s}
        number = self._pending[entry.name] = self._pending.get(entry.name, 0) + 1
        self._loop.call_later(usual[why] * self._draws.between(0.7, 1.3), self._list, entry, number)

    def _list(self, entry: Entry, number: int) -> None:
        if self._pending[entry.name] != number:
            return  # something newer has been seen meanwhile
        self._entries[entry.name] = entry
        self.version += 1
        self._changes.append((self.version, entry.name))
        self.on_change(entry)
        if not self.silent and self._old is None:
            self._tell()

    def _tell(self) -> None:
        watches, self._watches = self._watches, []
        for watch in watches:
            if not watch.over:
                watch.over = True
                watch.answer(self._since(watch.since))

    def _since(self, since: int) -> Listing:
        if since > self.version:
            return self.listing()  # a version that this process never gave: it has restarted
        names = {name: None for version, name in self._changes if version > since}
        return Listing(self.version, False, tuple(self._entries[name] for name in names))

    def call(self, since: int | None, hold_s: float, answer: Answer) -> None:
        """`since` None: the whole list at once. Else a watch: what is newer, or nothing after `hold_s`."""
        if self.silent:
            return
        self._calls += 1
        if self.break_share and self._draws.uniform() < self.break_share:
            answer(None)
            return
        if self._old is not None or (self.contradicts and self._calls % 2):
            old = self._before if self._old is None else self._old
            if since is None or self._old is None:
                answer(old)
            else:
                self._loop.call_later(hold_s, answer, Listing(since, False, ()))
            return
        if since is None:
            answer(self.listing())
            return
        if since != self.version:
            answer(self._since(since))
            return
        watch = _Watch(since, answer)
        self._watches.append(watch)
        self._loop.call_later(hold_s, self._end, watch)

    def _end(self, watch: _Watch) -> None:
        if not watch.over:
            watch.over = True
            if watch in self._watches:
                self._watches.remove(watch)
            if not self.silent:
                watch.answer(Listing(self.version, False, ()))

    # Faults

    def hush(self) -> None:
        """From now on it answers nothing, and what waits is not answered either."""
        self.silent += 1
        for watch in self._watches:
            watch.over = True
        self._watches.clear()

    def speak(self) -> None:
        self.silent -= 1

    def grow_stale(self) -> None:
        self._old = self.listing()

    def refresh(self) -> None:
        self._old = None
        self._tell()

    def contradict(self) -> None:
        self._before = self.listing()
        self.contradicts = True

    def agree(self) -> None:
        self.contradicts = False

    def restart(self) -> None:
        """A new process that counts from the start again; the watches on the old one break."""
        watches, self._watches = self._watches, []
        self.version = 1
        self._changes = [(1, name) for name in self._entries]
        for watch in watches:
            if not watch.over:
                watch.over = True
                watch.answer(None)
