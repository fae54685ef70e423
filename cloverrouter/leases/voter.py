"""One voter for the tasks of a fleet: to which contender it grants which seat, under which token.

Rules only. The one value that has to survive a restart is the highest granted token of each task: `handle`
returns a `PersistToken` ahead of the answer that depends on it, and the caller stores the token before it
sends that answer.

Tokens grow: a grant is given under a token higher than all granted for the task before, or under the same
token to the same incarnation of the same holder, as long as no other contender has had the seat in between.
Any two quorums share a voter, so of two holders the later one has the higher token.
"""

from __future__ import annotations

from collections.abc import Mapping

from cloverrouter.leases.words import (
    MAX_SEATS,
    Answer,
    Ask,
    ContenderId,
    Deny,
    Free,
    Grant,
    Release,
    Request,
    contender_id,
)
from cloverrouter.rights import LeaseGrant, LeaseTerms, RequestId
from cloverrouter.values import Value

MAX_TASKS = 256
MAX_WAITING = 1024  # contenders in the queue of a task
# As shares of the duration of a grant:
TURN_RESERVATION_SHARE = 0.25  # time for which a seat that became free is reserved for the next in the queue
WAITER_EXPIRY_SHARE = 1.0  # time without a request after which a contender leaves the queue
TOKEN_LIMIT = 2**63


class PersistToken(Value):
    """Instruction to the caller: store the token before executing any later action."""

    task: str
    highest: int


class SendAnswer(Value):
    """Instruction to the caller: send `answer` to the member `to`."""

    to: str
    answer: Answer


Action = PersistToken | SendAnswer


class _Seat:
    """State of one seat at this voter."""

    __slots__ = ("free_since_ms", "granted_number", "lease", "renewed", "token")

    def __init__(self, terms: LeaseTerms) -> None:
        self.lease: LeaseGrant[ContenderId] = LeaseGrant(terms)
        self.token = self.granted_number = 0  # token and request number of the last grant
        self.renewed = False  # its contender has asked for a renewal, so it certainly holds the seat
        self.free_since_ms = float("-inf")


class _Task:
    __slots__ = ("highest", "seat_count", "seats", "tried_token", "waiting")

    def __init__(self, highest: int) -> None:
        self.highest, self.seat_count = highest, 0
        self.tried_token = 0  # the highest token requested
        self.seats: dict[int, _Seat] = {}
        # The last request of each waiting contender and its time; longest waiting first.
        self.waiting: dict[ContenderId, tuple[RequestId, float]] = {}


class Voter:
    """One vote. `stored`: the persisted highest token of each task. `floor`: no token up to it is granted.

    The floor is the wall-clock time of the start in ms. Fewer than one grant a ms is given, so tokens grow
    over restarts, even without storage, as long as that clock was not set back.
    """

    def __init__(
        self, name: str, terms: LeaseTerms, now_ms: float, floor: int, stored: Mapping[str, int] | None = None
    ) -> None:
        self.name = name
        self._terms, self._floor = terms, floor
        # Grants from before a restart are unknown: until they have expired, the seat could be granted twice.
        self.quiet_until_ms = now_ms + terms.promise_ms
        # An old copy of the store has lower tokens than have been granted; the floor is above these as well.
        self._tasks = {task: _Task(max(highest, floor)) for task, highest in (stored or {}).items()}

    def handle(self, now_ms: float, message: Request) -> list[Action]:
        """Process a request; returns the actions to execute in order. Invalid requests get no answer."""
        if not 0 <= message.seat < MAX_SEATS or not 0 < message.token < TOKEN_LIMIT:
            return []
        task = self._tasks.get(message.task)
        if task is None:
            if len(self._tasks) >= MAX_TASKS and not self._evict_idle_task(now_ms):
                return []
            task = self._tasks[message.task] = _Task(self._floor)
        if isinstance(message, Release):
            return self._handle_release(now_ms, task, message)
        return self._handle_ask(now_ms, task, message)

    def _evict_idle_task(self, now_ms: float) -> bool:
        """Remove a task without holders and waiting contenders, to bound the memory that task names take. The
        floor rises to its tokens, so that none is granted again."""
        for name, task in self._tasks.items():
            if not task.waiting and all(s.lease.remaining_ms(now_ms) <= 0 for s in task.seats.values()):
                self._floor = max(self._floor, task.highest)
                del self._tasks[name]
                return True
        return False

    # Requests

    def _handle_ask(self, now_ms: float, task: _Task, ask: Ask) -> list[Action]:
        asker, seat = contender_id(ask.request_id), task.seats.get(ask.seat)
        task.tried_token = max(task.tried_token, ask.token)
        is_holder = seat is not None and seat.lease.holder == asker
        if is_holder and seat is not None and ask.request_id.number <= seat.granted_number:
            return []  # a duplicate, or overtaken by a later request
        if now_ms < self.quiet_until_ms:
            # The asker may have a grant under that token from before this voter's restart.
            task.highest = max(task.highest, ask.token)
            return [self._deny(now_ms, task, ask, self.quiet_until_ms - now_ms, wait=False)]
        if is_holder and seat is not None and ask.token == seat.token:
            seat.renewed = True
            return [self._grant(now_ms, task, ask, seat)]
        if ask.token <= task.highest:
            free = seat is None or is_holder or seat.lease.remaining_ms(now_ms) <= 0
            return [
                self._deny(
                    now_ms, task, ask, 0.0 if free and self._may_take_turn(now_ms, task, ask) else None
                )
            ]
        if not is_holder:
            held = any(s.lease.remaining_ms(now_ms) > 0 for s in task.seats.values())
            if ask.seat >= ask.seat_count or (held and ask.seat_count != task.seat_count):
                return [self._deny(now_ms, task, ask, self._terms.promise_ms, wait=False)]
            if seat is not None and seat.lease.remaining_ms(now_ms) > 0:
                return [self._deny(now_ms, task, ask, None)]
            if not self._may_take_turn(now_ms, task, ask):
                return [self._deny(now_ms, task, ask, None)]
        seat = task.seats.setdefault(ask.seat, _Seat(self._terms))
        if not is_holder:
            free_since_ms = self._free_since(now_ms, seat)
            seat.free_since_ms, seat.renewed = now_ms if free_since_ms is None else free_since_ms, False
        task.seat_count, task.highest = ask.seat_count, ask.token
        task.waiting.pop(asker, None)
        return [PersistToken(ask.task, ask.token), self._grant(now_ms, task, ask, seat)]

    def _grant(self, now_ms: float, task: _Task, ask: Ask, seat: _Seat) -> SendAnswer:
        seat.lease.assign(now_ms, contender_id(ask.request_id))
        seat.token, seat.granted_number = ask.token, ask.request_id.number
        self._expire_waiting(now_ms, task)
        first = next(iter(task.waiting), None)
        # A successor has to get a token higher than any that it has been denied.
        known = task.tried_token if first is not None else task.highest
        grant = Grant(self.name, ask.request_id, ask.task, ask.seat, ask.token, known, first)
        return SendAnswer(ask.request_id.member, grant)

    def _may_take_turn(self, now_ms: float, task: _Task, ask: Ask) -> bool:
        """Whether this contender may have a free seat now.

        Without a queue the contender that asks most often would always win, and many that ask at the same
        time would split the votes.
        """
        self._expire_waiting(now_ms, task)
        free = [
            since_ms
            for number in range(ask.seat_count)
            if (since_ms := self._free_since(now_ms, task.seats.get(number))) is not None
        ]
        ahead = list(task.waiting)[: len(free)]
        if not ahead or contender_id(ask.request_id) in ahead or len(task.waiting) < len(free):
            return True
        # A contender ahead in the queue may have ended, or be partitioned from the other voters.
        return now_ms - max(free) >= TURN_RESERVATION_SHARE * self._terms.promise_ms

    def _free_since(self, now_ms: float, seat: _Seat | None) -> float | None:
        if seat is None:
            return self.quiet_until_ms
        if seat.lease.remaining_ms(now_ms) > 0:
            return None
        # Votes that were split and released must not restart the reservation each time.
        return seat.lease.expires_ms if seat.lease.holder is not None and seat.renewed else seat.free_since_ms

    def _expire_waiting(self, now_ms: float, task: _Task) -> None:
        oldest_ms = now_ms - WAITER_EXPIRY_SHARE * self._terms.promise_ms
        for waiter in [waiter for waiter, (_, at_ms) in task.waiting.items() if at_ms < oldest_ms]:
            del task.waiting[waiter]

    def _deny(
        self, now_ms: float, task: _Task, ask: Ask, retry_after_ms: float | None, wait: bool = True
    ) -> SendAnswer:
        """Deny a request, and queue the contender if `wait` is set. `retry_after_ms` None: until the next
        seat is free."""
        asker = contender_id(ask.request_id)
        held = {n: s for n, s in task.seats.items() if s.lease.remaining_ms(now_ms) > 0}
        seat = task.seats.get(ask.seat)
        is_holder = seat is not None and seat.lease.holder == asker
        if wait and not is_holder and (asker in task.waiting or len(task.waiting) < MAX_WAITING):
            task.waiting[asker] = (ask.request_id, now_ms)
        if retry_after_ms is None:
            retry_after_ms = min((s.lease.remaining_ms(now_ms) for s in held.values()), default=0.0)
            if len(held) < ask.seat_count:
                retry_after_ms = TURN_RESERVATION_SHARE * self._terms.promise_ms
        queue_position = list(task.waiting).index(asker) if asker in task.waiting else len(task.waiting)
        busy_seats = sum(1 << number for number in held)
        seat_count = task.seat_count if held else ask.seat_count
        denial = Deny(
            self.name,
            ask.request_id,
            ask.task,
            ask.seat,
            ask.token,
            task.highest,
            retry_after_ms,
            busy_seats,
            queue_position,
            seat_count,
        )
        return SendAnswer(ask.request_id.member, denial)

    def _handle_release(self, now_ms: float, task: _Task, release: Release) -> list[Action]:
        releaser, seat = contender_id(release.request_id), task.seats.get(release.seat)
        task.waiting.pop(releaser, None)
        # A request that this release overtook is denied, because its token counts as used.
        task.highest = max(task.highest, release.token)
        # A late release must not free a grant that its sender has requested again since.
        if (
            seat is None
            or seat.lease.holder != releaser
            or release.token < seat.token
            or release.request_id.number <= seat.granted_number
        ):
            return []
        seat.lease.release()
        held, seat.renewed = seat.renewed or release.held, False
        if held:
            seat.free_since_ms = now_ms
        self._expire_waiting(now_ms, task)
        successor = task.waiting.get(release.successor) if release.successor is not None else None
        if successor is not None and release.successor is not None and release.successor_token > task.highest:
            # The successor counts its lease from its last request, which is earlier than this grant.
            request_id, token = successor[0], release.successor_token
            del task.waiting[release.successor]
            task.highest = token
            ask = Ask(request_id, release.task, release.seat, token, task.seat_count)
            return [PersistToken(release.task, token), self._grant(now_ms, task, ask, seat)]
        first = next(iter(task.waiting.values()), None)
        if first is None or not held or now_ms < self.quiet_until_ms:
            return []
        request_id = first[0]
        return [
            SendAnswer(
                request_id.member, Free(self.name, request_id, release.task, release.seat, task.highest)
            )
        ]

    # Status for operators

    def holders(self, task: str, now_ms: float) -> dict[int, tuple[ContenderId, int, float]]:
        """By seat: the contender that has this vote, its token, and the remaining time in ms."""
        seats = self._tasks[task].seats if task in self._tasks else {}
        return {
            number: (seat.lease.holder, seat.token, remaining_ms)
            for number, seat in seats.items()
            if (remaining_ms := seat.lease.remaining_ms(now_ms)) > 0 and seat.lease.holder is not None
        }

    def waiting(self, task: str) -> list[ContenderId]:
        return list(self._tasks[task].waiting) if task in self._tasks else []

    @property
    def tasks(self) -> list[str]:
        return list(self._tasks)
