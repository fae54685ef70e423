"""One member of a fleet that shares leases: runs its voter and its claims on a socket and a timer.

The clock is CLOCK_BOOTTIME: monotonic, and it includes the time for which the machine was suspended, which
counts against a lease.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from cloverrouter.clock import now_s
from cloverrouter.datagrams import BadDatagram, Datagram, DatagramCodec, encode_name
from cloverrouter.leases.claim import Claim, SendRequest
from cloverrouter.leases.voter import PersistToken, Voter
from cloverrouter.leases.wire import (
    ANSWERS,
    LEASE_FORM,
    REQUESTS,
    decode_answer,
    decode_request,
    encode_message,
)
from cloverrouter.leases.words import MAX_SEATS, Answer, Grant, Request
from cloverrouter.post import MemberSocket, SocketAddress
from cloverrouter.proxy.containment import contained_errors_of
from cloverrouter.rights import LeaseTerms
from cloverrouter.seams import TaskLease

if TYPE_CHECKING:
    from cloverrouter.leases.store import Store

MAX_CLAIMS = 64
CEILING_STEP = 1000  # tokens by which a stored ceiling is raised at once
log = logging.getLogger(__name__)


def now_ms() -> float:
    return now_s() * 1000


class Member:
    """Implements the protocol `Tasks`.

    `addresses`: of all other members, by name. `voters`: names, which may include this member's own.
    `on_change` is called with a task, its token or None, and a reason when the member notices that its hold
    on the task begins or ends; code that acts has to call `current_lease` all the same. `set_alarm` sets or
    clears alarms for operators by name.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        addresses: Mapping[str, SocketAddress],
        voters: tuple[str, ...],
        terms: LeaseTerms,
        secret: bytes | None,
        former_secret: bytes | None = None,
        store: Store | None = None,
        floor: int = 0,
        on_change: Callable[[str, int | None, str], None] = lambda task, token, reason: None,
        set_alarm: Callable[[str, str | None], None] = lambda name, text: None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._errors = contained_errors_of(self._loop)
        self.name, self.incarnation, self._terms = name, incarnation, terms
        self._weights = dict.fromkeys(voters, 1)
        self._on_change, self._set_alarm = on_change, set_alarm
        self._store, self._raising = store, set[str]()  # tasks whose ceiling is being raised
        self._ceilings = dict(store.ceilings) if store is not None else {}
        self.voter: Voter | None = None
        if name in self._weights:
            floor = max(floor, store.floor) if store is not None else floor
            self.voter = Voter(name, terms, now_ms(), floor, self._ceilings)
        self.claims: dict[str, Claim] = {}
        self._reported_tokens: dict[str, int] = {}  # by task, as last passed to `on_change`
        self._random = Random(incarnation)
        courier = DatagramCodec(LEASE_FORM, name, incarnation, frozenset(addresses), secret, former_secret)
        self.post = MemberSocket(courier, addresses, self._received)
        self._timer: asyncio.TimerHandle | None = None

    async def open(self, listen: SocketAddress) -> None:
        """Open the socket. Raises OSError."""
        await self.post.open(listen)

    def close(self, is_in_use: Callable[[str], bool] = lambda task: False) -> None:
        """Release all seats and stop contending. Tasks that `is_in_use` reports are not released, because
        something may still act on them; their grants expire."""
        for claim in self.claims.values():
            if not is_in_use(claim.task):
                self._execute(claim, claim.release(hand_over=True))
        if self._timer is not None:
            self._timer.cancel()
        self.post.close()
        if self._store is not None:
            self._store.close()

    # Implementation of `Tasks`

    def contend(self, task: str, seat_count: int = 1) -> None:
        encode_name(task)
        if not 1 <= seat_count <= MAX_SEATS:
            raise ValueError(f"a task has room for 1 to {MAX_SEATS}")
        claim = self.claims.get(task)
        if claim is None:
            if len(self.claims) >= MAX_CLAIMS:
                raise ValueError(f"at most {MAX_CLAIMS} tasks at once")
            claim = Claim(
                self.name, self.incarnation, task, seat_count, self._terms, self._random, self._weights
            )
            self.claims[task] = claim
        elif not claim.wanted:
            claim.seat_count = seat_count
        self._execute(claim, claim.contend(now_ms()))

    def current_lease(self, task: str, longest_s: float = 0.0) -> TaskLease | None:
        claim = self.claims.get(task)
        token = claim.current_token(now_ms(), longest_s * 1000) if claim is not None else None
        if claim is None or token is None:
            return None
        return TaskLease(token, claim.seat, claim.held_until_ms() / 1000)

    def release(self, task: str, hand_over: bool = False) -> None:
        claim = self.claims.get(task)
        if claim is not None:
            self._execute(claim, claim.release(hand_over))

    # Events

    def _received(self, datagram: Datagram) -> None:
        try:
            if datagram.kind in REQUESTS and self.voter is not None:
                self._handle_request(decode_request(datagram))
            elif datagram.kind in ANSWERS:
                self._handle_answer(decode_answer(datagram, self.name))
        except BadDatagram as error:
            self.post.codec.rejected[error.reason] += 1

    def _handle_request(self, request: Request) -> None:
        assert self.voter is not None
        for action in self.voter.handle(now_ms(), request):
            if isinstance(action, PersistToken):
                continue  # `_token_is_stored` checks the stored ceiling, which covers many tokens
            if isinstance(action.answer, Grant) and not self._token_is_stored(
                action.answer.task, action.answer.token
            ):
                continue  # the contender asks again, under the same token
            if action.to == self.name:
                # Deferred: the claim that sent the request may still be changing its state.
                self._loop.call_soon(self._handle_answer, action.answer)
            elif action.to in self.post.addresses:
                self.post.send(action.to, *encode_message(action.answer))

    def _token_is_stored(self, task: str, token: int) -> bool:
        """Whether the stored ceiling covers the token; raises the ceiling ahead of need. A token that is not
        covered could be granted again, to another contender, after a restart."""
        if self._store is None:
            return True
        ceiling = self._ceilings.get(task, 0)
        if token + CEILING_STEP // 2 > ceiling and task not in self._raising:
            self._raising.add(task)
            raising = self._loop.run_in_executor(
                self._store.executor, self._store.raise_ceiling, task, token + CEILING_STEP
            )
            raising.add_done_callback(lambda done: self._on_ceiling_raised(task, token + CEILING_STEP, done))
        return token <= ceiling

    def _on_ceiling_raised(self, task: str, ceiling: int, done: asyncio.Future[None]) -> None:
        self._raising.discard(task)
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self._ceilings[task] = ceiling
            self._set_alarm("leases", None)
        else:
            self._set_alarm("leases", f"this voter promises nothing: its tokens can't be stored: {error}")
            log.error("tokens of %s are not stored: %s", task, error)

    def _handle_answer(self, answer: Answer) -> None:
        claim = self.claims.get(answer.task)
        if claim is not None:
            self._execute(claim, claim.handle_answer(now_ms(), answer))

    def _on_timer(self) -> None:
        self._timer = None
        try:
            for claim in list(self.claims.values()):
                self._errors.run("lease_tick", partial(self._tick, claim), claim.task)
        finally:
            self._set_timer()

    def _tick(self, claim: Claim) -> None:
        self._execute(claim, claim.tick(now_ms()))

    def _execute(self, claim: Claim, requests: list[SendRequest]) -> None:
        for send in requests:
            for voter in send.to:
                if voter == self.name:
                    self._handle_request(send.request)
                else:
                    self.post.send(voter, *encode_message(send.request))
        self._report_change(claim)
        self._set_alarm(f"task {claim.task}", claim.settings_conflict)
        self._set_timer()

    def _report_change(self, claim: Claim) -> None:
        token, reported = claim.current_token(now_ms()), self._reported_tokens.get(claim.task)
        if token == reported:
            return
        if token is None:
            del self._reported_tokens[claim.task]
            self._on_change(claim.task, None, "given back" if not claim.wanted else "its time ran out")
        else:
            self._reported_tokens[claim.task] = token
            self._on_change(claim.task, token, "held" if reported is None else "under a higher token")

    def _set_timer(self) -> None:
        due_times_ms = [claim.due_ms for claim in self.claims.values()]
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_ms = min(due_times_ms, default=float("inf"))
        if due_ms < float("inf"):
            self._timer = self._loop.call_later(max(0.0, due_ms - now_ms()) / 1000, self._on_timer)

    # Status for operators

    @property
    def promise_s(self) -> float:
        return self._terms.promise_ms / 1000

    def status(self, task: str) -> dict[str, Any]:
        claim, at_ms = self.claims.get(task), now_ms()
        status: dict[str, Any] = {"task": task}
        if claim is not None:
            token = claim.current_token(at_ms)
            status |= {"wanted": claim.wanted, "room": claim.seat_count, "votes": claim.votes, "token": token}
            if token is not None:
                status |= {"seat": claim.seat, "left_ms": round(claim.held_until_ms() - at_ms)}
        if self.voter is not None:
            holders = self.voter.holders(task, at_ms)
            status["promised"] = [
                {"seat": seat, "to": contender[0], "token": token, "left_ms": round(remaining_ms)}
                for seat, (contender, token, remaining_ms) in sorted(holders.items())
            ]
            status["waiting"] = [member for member, _ in self.voter.waiting(task)]
        return status

    @property
    def tasks(self) -> list[str]:
        return sorted({*self.claims, *(self.voter.tasks if self.voter is not None else ())})
