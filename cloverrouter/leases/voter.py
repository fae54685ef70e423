"""One voter of the fleet's tasks: to whom it promises which seat, and under which token.

Rules only. What it has to keep over a restart is one figure for each task, the highest token that it has
promised; `handle` says `Keep` ahead of the answer that rests on it, and the shell stores it before it sends
what follows.

Tokens grow: a promise is given under a token that is higher than all of the task before, or again under the
same one to the same life of the same holder, as long as the seat has been nobody else's. Two sets of more
than half share a voter, so whoever acts later has the higher token.
"""

from __future__ import annotations

from collections.abc import Mapping

from cloverrouter.leases.words import MOST_ROOM, Answer, Ask, Deny, Free, Grant, Release, Request, Who, who
from cloverrouter.rights import Promise, Stamp, Terms
from cloverrouter.values import Value

MOST_TASKS = 256
MOST_WAITING = 1024  # contenders that are remembered of a task
TURN_SHARE = 0.25  # of a promise: for so long a seat that became free waits for whose turn it is
LOST_SHARE = 1.0  # who has not asked for so long waits no more
MOST_TOKEN = 2**63


class Keep(Value):
    """To be stored before anything that follows is sent."""

    task: str
    highest: int


class Tell(Value):
    to: str
    answer: Answer


Out = Keep | Tell


class _Seat:
    """What is known of one seat."""

    __slots__ = ("free_ms", "number", "promise", "renewed", "token")

    def __init__(self, terms: Terms) -> None:
        self.promise: Promise[Who] = Promise(terms)
        self.token = self.number = 0  # of the last promise
        self.renewed = False  # whoever has it asked for more time: it is surely held
        self.free_ms = float("-inf")  # since when nobody holds it


class _Task:
    __slots__ = ("highest", "room", "seats", "tried", "waiting")

    def __init__(self, highest: int) -> None:
        self.highest, self.room = highest, 0
        self.tried = 0  # the highest token that was asked for
        self.seats: dict[int, _Seat] = {}
        self.waiting: dict[Who, tuple[Stamp, float]] = {}  # their last requests, and when; longest first


class Voter:
    """One vote. `stored`: the highest token of each task, as it was kept; `floor`: no token up to this one is
    promised. It is the time of day of the start in ms: promises come slower than one a ms, so tokens grow
    over restarts, also without storage, as long as that clock was not set back."""

    def __init__(
        self, name: str, terms: Terms, now_ms: float, floor: int, stored: Mapping[str, int] | None = None
    ) -> None:
        self.name = name
        self._terms, self._floor = terms, floor
        # Danger: what was promised before a restart is forgotten, and could be promised to another now.
        self.quiet_until_ms = now_ms + terms.promise_ms
        # An old copy of a store has lower tokens than were promised: the floor is above them, too.
        self._tasks = {task: _Task(max(highest, floor)) for task, highest in (stored or {}).items()}

    def handle(self, now_ms: float, message: Request) -> list[Out]:
        if not 0 <= message.seat < MOST_ROOM or not 0 < message.token < MOST_TOKEN:
            return []
        task = self._tasks.get(message.task)
        if task is None:
            if len(self._tasks) >= MOST_TASKS and not self._forget_one(now_ms):
                return []
            task = self._tasks[message.task] = _Task(self._floor)
        if isinstance(message, Release):
            return self._released(now_ms, task, message)
        return self._asked(now_ms, task, message)

    def _forget_one(self, now_ms: float) -> bool:
        """Danger: names without end would fill the memory. What is forgotten is a task that nobody holds or
        waits for, and the floor rises to its tokens."""
        for name, task in self._tasks.items():
            if not task.waiting and all(s.promise.left_ms(now_ms) <= 0 for s in task.seats.values()):
                self._floor = max(self._floor, task.highest)
                del self._tasks[name]
                return True
        return False

    # Requests

    def _asked(self, now_ms: float, task: _Task, ask: Ask) -> list[Out]:
        asker, seat = who(ask.stamp), task.seats.get(ask.seat)
        task.tried = max(task.tried, ask.token)
        mine = seat is not None and seat.promise.to == asker
        if mine and seat is not None and ask.stamp.number <= seat.number:
            return []  # a copy, or overtaken
        if now_ms < self.quiet_until_ms:
            # Whoever asks now may have had this voter's promise under that token, which it has forgotten.
            task.highest = max(task.highest, ask.token)
            return [self._denied(now_ms, task, ask, self.quiet_until_ms - now_ms, wait=False)]
        if mine and seat is not None and ask.token == seat.token:
            seat.renewed = True
            return [self._promise(now_ms, task, ask, seat)]
        if ask.token <= task.highest:
            free = seat is None or mine or seat.promise.left_ms(now_ms) <= 0
            return [self._denied(now_ms, task, ask, 0.0 if free and self._turn(now_ms, task, ask) else None)]
        if not mine:
            held = any(s.promise.left_ms(now_ms) > 0 for s in task.seats.values())
            if ask.seat >= ask.room or (held and ask.room != task.room):
                return [self._denied(now_ms, task, ask, self._terms.promise_ms, wait=False)]
            if seat is not None and seat.promise.left_ms(now_ms) > 0:
                return [self._denied(now_ms, task, ask, None)]
            if not self._turn(now_ms, task, ask):
                return [self._denied(now_ms, task, ask, None)]
        seat = task.seats.setdefault(ask.seat, _Seat(self._terms))
        if not mine:
            free_ms = self._free_since(now_ms, seat)
            seat.free_ms, seat.renewed = now_ms if free_ms is None else free_ms, False
        task.room, task.highest = ask.room, ask.token
        task.waiting.pop(asker, None)
        return [Keep(ask.task, ask.token), self._promise(now_ms, task, ask, seat)]

    def _promise(self, now_ms: float, task: _Task, ask: Ask, seat: _Seat) -> Tell:
        seat.promise.give(now_ms, who(ask.stamp))
        seat.token, seat.number = ask.token, ask.stamp.number
        self._tidy(now_ms, task)
        first = next(iter(task.waiting), None)
        # An heir has to get a token that it has not been denied before.
        known = task.tried if first is not None else task.highest
        grant = Grant(self.name, ask.stamp, ask.task, ask.seat, ask.token, known, first)
        return Tell(ask.stamp.box, grant)

    def _turn(self, now_ms: float, task: _Task, ask: Ask) -> bool:
        """May this contender have a free seat now? Danger: without turns who asks oftenest has it for ever,
        and many that ask at one moment part the votes."""
        self._tidy(now_ms, task)
        free = [
            since_ms
            for number in range(ask.room)
            if (since_ms := self._free_since(now_ms, task.seats.get(number))) is not None
        ]
        ahead = list(task.waiting)[: len(free)]
        if not ahead or who(ask.stamp) in ahead or len(task.waiting) < len(free):
            return True
        # Danger: who is ahead may be gone, or cut off from the others.
        return now_ms - max(free) >= TURN_SHARE * self._terms.promise_ms

    def _free_since(self, now_ms: float, seat: _Seat | None) -> float | None:
        if seat is None:
            return self.quiet_until_ms
        if seat.promise.left_ms(now_ms) > 0:
            return None
        # Danger: votes that were parted and given back would begin the waiting for turns anew each time.
        return seat.promise.until_ms if seat.promise.to is not None and seat.renewed else seat.free_ms

    def _tidy(self, now_ms: float, task: _Task) -> None:
        lost_ms = now_ms - LOST_SHARE * self._terms.promise_ms
        for waiter in [waiter for waiter, (_, at_ms) in task.waiting.items() if at_ms < lost_ms]:
            del task.waiting[waiter]

    def _denied(self, now_ms: float, task: _Task, ask: Ask, left_ms: float | None, wait: bool = True) -> Tell:
        """`left_ms`: None for until the next seat is free."""
        asker = who(ask.stamp)
        held = {n: s for n, s in task.seats.items() if s.promise.left_ms(now_ms) > 0}
        seat = task.seats.get(ask.seat)
        holds = seat is not None and seat.promise.to == asker
        if wait and not holds and (asker in task.waiting or len(task.waiting) < MOST_WAITING):
            task.waiting[asker] = (ask.stamp, now_ms)
        if left_ms is None:
            left_ms = min((s.promise.left_ms(now_ms) for s in held.values()), default=0.0)
            if len(held) < ask.room:
                left_ms = TURN_SHARE * self._terms.promise_ms
        ahead = list(task.waiting).index(asker) if asker in task.waiting else len(task.waiting)
        busy = sum(1 << number for number in held)
        room = task.room if held else ask.room
        told = Deny(
            self.name, ask.stamp, ask.task, ask.seat, ask.token, task.highest, left_ms, busy, ahead, room
        )
        return Tell(ask.stamp.box, told)

    def _released(self, now_ms: float, task: _Task, release: Release) -> list[Out]:
        giver, seat = who(release.stamp), task.seats.get(release.seat)
        task.waiting.pop(giver, None)
        # A request that this overtook finds its token used.
        task.highest = max(task.highest, release.token)
        # Danger: a late one would free a promise that its giver has asked for again since.
        if (
            seat is None
            or seat.promise.to != giver
            or release.token < seat.token
            or release.stamp.number <= seat.number
        ):
            return []
        seat.promise.free()
        held, seat.renewed = seat.renewed or release.held, False
        if held:
            seat.free_ms = now_ms
        self._tidy(now_ms, task)
        heir = task.waiting.get(release.heir) if release.heir is not None else None
        if heir is not None and release.heir is not None and release.heir_token > task.highest:
            # The heir counts from its last request, which is older than this moment.
            stamp, token = heir[0], release.heir_token
            del task.waiting[release.heir]
            task.highest = token
            ask = Ask(stamp, release.task, release.seat, token, task.room)
            return [Keep(release.task, token), self._promise(now_ms, task, ask, seat)]
        first = next(iter(task.waiting.values()), None)
        if first is None or not held or now_ms < self.quiet_until_ms:
            return []
        stamp = first[0]
        return [Tell(stamp.box, Free(self.name, stamp, release.task, release.seat, task.highest))]

    # For operators

    def holders(self, task: str, now_ms: float) -> dict[int, tuple[Who, int, float]]:
        """By seat: who has this vote, under which token, for how many ms more."""
        seats = self._tasks[task].seats if task in self._tasks else {}
        return {
            number: (seat.promise.to, seat.token, left_ms)
            for number, seat in seats.items()
            if (left_ms := seat.promise.left_ms(now_ms)) > 0 and seat.promise.to is not None
        }

    def waiting(self, task: str) -> list[Who]:
        return list(self._tasks[task].waiting) if task in self._tasks else []

    @property
    def tasks(self) -> list[str]:
        return list(self._tasks)
