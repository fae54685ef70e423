"""One member of a fleet that shares leases: its socket, its timer, its vote and its claims. Decides nothing.

The clock is CLOCK_BOOTTIME: monotonic, and it counts the time for which the machine was suspended, which a
right must not outlast.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from cloverrouter.clock import now_s
from cloverrouter.datagrams import BadDatagram, Courier, Datagram, named
from cloverrouter.leases.claim import Claim, Say
from cloverrouter.leases.voter import Keep, Voter
from cloverrouter.leases.wire import ANSWERS, FLEET, REQUESTS, answer_of, request_of, written
from cloverrouter.leases.words import MOST_ROOM, Answer, Grant, Request
from cloverrouter.post import Post, SocketAddress
from cloverrouter.proxy.containment import contained_errors_of
from cloverrouter.rights import Terms
from cloverrouter.seams import Right

if TYPE_CHECKING:
    from cloverrouter.leases.store import Store

MOST_CLAIMS = 64
RESERVE = 1000  # tokens, by which a stored ceiling is raised
log = logging.getLogger(__name__)


def now_ms() -> float:
    return now_s() * 1000


class Member:
    """Fills the seam `Tasks`. `addresses`: of all other members by name; `voters`: names, perhaps its own
    among them. `changed` is called with a task, its token or None, and why, whenever the right to it begins
    or ends as far as is known; who acts asks `may_act` all the same. `alarm` is told what operators should
    look at."""

    def __init__(
        self,
        name: str,
        life: int,
        addresses: Mapping[str, SocketAddress],
        voters: tuple[str, ...],
        terms: Terms,
        secret: bytes | None,
        former: bytes | None = None,
        store: Store | None = None,
        floor: int = 0,
        changed: Callable[[str, int | None, str], None] = lambda task, token, why: None,
        alarm: Callable[[str, str | None], None] = lambda name, text: None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._errors = contained_errors_of(self._loop)
        self.name, self.life, self._terms = name, life, terms
        self._weights = dict.fromkeys(voters, 1)
        self._changed, self._alarm = changed, alarm
        self._store, self._raising = store, set[str]()
        self._ceilings = dict(store.ceilings) if store is not None else {}
        self.voter: Voter | None = None
        if name in self._weights:
            floor = max(floor, store.floor) if store is not None else floor
            self.voter = Voter(name, terms, now_ms(), floor, self._ceilings)
        self.claims: dict[str, Claim] = {}
        self._tokens: dict[str, int] = {}  # as told
        self._random = Random(life)
        courier = Courier(FLEET, name, life, frozenset(addresses), secret, former)
        self.post = Post(courier, addresses, self._received)
        self._timer: asyncio.TimerHandle | None = None

    async def open(self, listen: SocketAddress) -> None:
        """Raises OSError."""
        await self.post.open(listen)

    def close(self, keeps: Callable[[str], bool] = lambda task: False) -> None:
        """What it holds is given back, and nothing is asked for any more. `keeps`: tasks that somebody may
        act on still; their promises end by themselves."""
        for claim in self.claims.values():
            if not keeps(claim.task):
                self._carry_out(claim, claim.give_back(hand_over=True))
        if self._timer is not None:
            self._timer.cancel()
        self.post.close()
        if self._store is not None:
            self._store.close()

    # For whoever has a task to do

    def want(self, task: str, room: int = 1) -> None:
        named(task)
        if not 1 <= room <= MOST_ROOM:
            raise ValueError(f"a task has room for 1 to {MOST_ROOM}")
        claim = self.claims.get(task)
        if claim is None:
            if len(self.claims) >= MOST_CLAIMS:
                raise ValueError(f"at most {MOST_CLAIMS} tasks at once")
            claim = Claim(self.name, self.life, task, room, self._terms, self._random, self._weights)
            self.claims[task] = claim
        elif not claim.wanted:
            claim.room = room
        self._carry_out(claim, claim.want(now_ms()))

    def may_act(self, task: str, longest_s: float = 0.0) -> Right | None:
        claim = self.claims.get(task)
        token = claim.may_act(now_ms(), longest_s * 1000) if claim is not None else None
        if claim is None or token is None:
            return None
        return Right(token, claim.seat, claim.held_until_ms() / 1000)

    def give_back(self, task: str, hand_over: bool = False) -> None:
        claim = self.claims.get(task)
        if claim is not None:
            self._carry_out(claim, claim.give_back(hand_over))

    # What happens

    def _received(self, told: Datagram) -> None:
        try:
            if told.kind in REQUESTS and self.voter is not None:
                self._vote(request_of(told))
            elif told.kind in ANSWERS:
                self._heard(answer_of(told, self.name))
        except BadDatagram as wrong:
            self.post.courier.refused[wrong.reason] += 1

    def _vote(self, request: Request) -> None:
        assert self.voter is not None
        for out in self.voter.handle(now_ms(), request):
            if isinstance(out, Keep):
                continue  # what is stored is a ceiling above many tokens
            if isinstance(out.answer, Grant) and not self._covered(out.answer.task, out.answer.token):
                continue  # it is asked for again, under the same token
            if out.to == self.name:
                # Not from within what asked: that is in the middle of its own change.
                self._loop.call_soon(self._heard, out.answer)
            elif out.to in self.post.addresses:
                self.post.send(out.to, *written(out.answer))

    def _covered(self, task: str, token: int) -> bool:
        """Is that token under what is stored? Danger: a promise that is not kept could be given again, to
        another, after a restart."""
        if self._store is None:
            return True
        ceiling = self._ceilings.get(task, 0)
        if token + RESERVE // 2 > ceiling and task not in self._raising:
            self._raising.add(task)
            raising = self._loop.run_in_executor(
                self._store.thread, self._store.raise_to, task, token + RESERVE
            )
            raising.add_done_callback(lambda done: self._raised(task, token + RESERVE, done))
        return token <= ceiling

    def _raised(self, task: str, ceiling: int, done: asyncio.Future[None]) -> None:
        self._raising.discard(task)
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self._ceilings[task] = ceiling
            self._alarm("leases", None)
        else:
            self._alarm("leases", f"this voter promises nothing: its tokens can't be stored: {error}")
            log.error("tokens of %s are not stored: %s", task, error)

    def _heard(self, answer: Answer) -> None:
        claim = self.claims.get(answer.task)
        if claim is not None:
            self._carry_out(claim, claim.heard(now_ms(), answer))

    def _on_time(self) -> None:
        self._timer = None
        try:
            for claim in list(self.claims.values()):
                self._errors.run("lease_tick", partial(self._tick, claim), claim.task)
        finally:
            self._set_timer()

    def _tick(self, claim: Claim) -> None:
        self._carry_out(claim, claim.tick(now_ms()))

    def _carry_out(self, claim: Claim, said: list[Say]) -> None:
        for one in said:
            for voter in one.to:
                if voter == self.name:
                    self._vote(one.request)
                else:
                    self.post.send(voter, *written(one.request))
        self._tell(claim)
        self._alarm(f"task {claim.task}", claim.trouble)
        self._set_timer()

    def _tell(self, claim: Claim) -> None:
        token, before = claim.may_act(now_ms()), self._tokens.get(claim.task)
        if token == before:
            return
        if token is None:
            del self._tokens[claim.task]
            self._changed(claim.task, None, "given back" if not claim.wanted else "its time ran out")
        else:
            self._tokens[claim.task] = token
            self._changed(claim.task, token, "held" if before is None else "under a higher token")

    def _set_timer(self) -> None:
        dues = [claim.due_ms for claim in self.claims.values()]
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_ms = min(dues, default=float("inf"))
        if due_ms < float("inf"):
            self._timer = self._loop.call_later(max(0.0, due_ms - now_ms()) / 1000, self._on_time)

    # For operators

    @property
    def promise_s(self) -> float:
        return self._terms.promise_ms / 1000

    def told(self, task: str) -> dict[str, Any]:
        claim, at_ms = self.claims.get(task), now_ms()
        found: dict[str, Any] = {"task": task}
        if claim is not None:
            token = claim.may_act(at_ms)
            found |= {"wanted": claim.wanted, "room": claim.room, "votes": claim.votes, "token": token}
            if token is not None:
                found |= {"seat": claim.seat, "left_ms": round(claim.held_until_ms() - at_ms)}
        if self.voter is not None:
            holders = self.voter.holders(task, at_ms)
            found["promised"] = [
                {"seat": seat, "to": who[0], "token": token, "left_ms": round(left_ms)}
                for seat, (who, token, left_ms) in sorted(holders.items())
            ]
            found["waiting"] = [box for box, _ in self.voter.waiting(task)]
        return found

    @property
    def tasks(self) -> list[str]:
        return sorted({*self.claims, *(self.voter.tasks if self.voter is not None else ())})
