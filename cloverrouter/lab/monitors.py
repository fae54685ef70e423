"""Monitors of four invariants (rules), checked at each event across all proxies of a run.

1. No request is lost: a request that a proxy accepted gets exactly one final answer while its client waits,
   and no attempt of it is sent afterwards.
2. No effect happens twice: an unsafe request is retried or refused only if every earlier attempt is known not
   to have run. A keyed request that may have run is retried only in the same group and within its
   deduplication window. At the servers, no unsafe or keyed request runs twice, and no refused one runs.
3. Drains are respected: once a grace period has passed since a proxy learned that a server drains or is gone,
   it sends no new requests there.
4. No cold server is overloaded.

The first violation raises `RuleBroken` with the last events. All events also go into a digest: two runs with
the same digest had the same sequence of events. Performs no I/O; both drivers report events to it.
"""

from __future__ import annotations

import marshal
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from cloverrouter.lab.scenario import Class, Safety

KEPT_EVENTS = 60  # last events that are reported with a violation
BUFFERED_EVENTS = 512
Step = tuple[float | int | str, ...]  # an event; its time comes first


class RuleBroken(Exception):
    """A rule is violated: its number, the violation, the time and the last events."""

    def __init__(self, rule: int, text: str, at_s: float, last: list[str]) -> None:
        super().__init__(f"rule {rule} is broken at {at_s:.4f} s: {text}")
        self.rule, self.text, self.at_s, self.last = rule, text, at_s, last


@dataclass(slots=True)
class AttemptRecord:
    """An attempt of a request at a server."""

    server: str
    group: str
    sent_s: float
    never_ran: bool | None = None  # as the proxy knows; None: it may have run or may still run


@dataclass(slots=True)
class RequestRecord:
    """The state of a request."""

    kind: Class
    proxy: str
    attempts: list[AttemptRecord] = field(default_factory=list)
    taken: bool = False
    final: str = ""
    ended_s: float = 0.0  # time of the final answer, or of the client's leaving
    runs: int = 0
    released: bool = False  # its client left or its proxy was killed: no answer is due


class Monitors:
    """Checks the rules for one run.

    `slack_s` is added to each time limit, for delays of real sockets and clocks. `on_broken` receives
    violations; without it they are raised.
    """

    def __init__(
        self,
        safety: Safety,
        slack_s: float = 0.0,
        on_broken: Callable[[RuleBroken], None] | None = None,
    ) -> None:
        self._safety, self._slack_s, self._on_broken = safety, slack_s, on_broken
        self._requests: dict[int, RequestRecord] = {}
        # (proxy, server): when the proxy learned that the server drains or is gone.
        self._left_since: dict[tuple[str, str], float] = {}
        # By server: when discovery stopped listing it as active.
        self._unlisted_since: dict[str, float] = {}
        self._polled: dict[str, float] = {}  # by proxy: its last call to discovery, or the answer
        self._buffer: list[Step] = []
        self._last_events: deque[Step] = deque(maxlen=KEPT_EVENTS)
        self._hash = blake2b(digest_size=16)
        self.attempts = 0

    def _record(self, event: Step) -> None:
        buffer = self._buffer
        buffer.append(event)
        if len(buffer) >= BUFFERED_EVENTS:
            self._flush()

    def _flush(self) -> None:
        # Later versions of the format also record object identity, which differs between equal runs.
        self._hash.update(marshal.dumps(self._buffer, 2))
        self._last_events.extend(self._buffer[-KEPT_EVENTS:])
        self._buffer.clear()

    def digest(self) -> str:
        """A digest of all events so far."""
        self._flush()
        return self._hash.hexdigest()

    def _broken(self, rule: int, text: str, now_s: float) -> None:
        self._flush()
        broken = RuleBroken(
            rule, text, now_s, [f"{at_s:.6f} {' '.join(map(str, what))}" for at_s, *what in self._last_events]
        )
        if self._on_broken is None:
            raise broken
        self._on_broken(broken)

    # Requests

    def taken(self, now_s: float, proxy: str, number: int, kind: Class) -> None:
        """A proxy has accepted a request."""
        request = self._requests[number] = RequestRecord(kind, proxy)
        request.taken = True
        self._record((now_s, proxy, "takes", number, kind.name))

    def final(self, now_s: float, number: int, how: str) -> None:
        """The proxy has given its final answer: served, refused or failed."""
        request = self._requests.get(number)
        if request is None:
            return
        self._record((now_s, request.proxy, "answers", number, how))
        if request.final:
            self._broken(1, f"{request.proxy} answers {number} {how} after {request.final}", now_s)
        request.final, request.ended_s = how, now_s
        if how == "refused" and request.kind.effect != "safe":
            for attempt in request.attempts:
                if attempt.never_ran is not True:
                    text = f"{number} ({request.kind.name}) is refused, and may have run at {attempt.server}"
                    self._broken(2, text, now_s)

    def waited_out(self, now_s: float, number: int) -> None:
        """The client's timeout has passed."""
        request = self._requests.get(number)
        if request is None or request.released:
            return
        if request.taken and not request.final:
            self._broken(
                1, f"{number} ({request.kind.name}), taken by {request.proxy}, was never answered", now_s
            )

    def forget(self, now_s: float, number: int) -> None:
        """The client has left or the proxy was killed: no answer is due any more."""
        request = self._requests.get(number)
        if request is not None and not request.released:
            request.released = True
            request.ended_s = request.ended_s or now_s

    def discard(self, number: int) -> None:
        """Drop the state of a request that can have no more events."""
        self._requests.pop(number, None)

    # Attempts

    def sent(self, now_s: float, proxy: str, number: int, server: str, group: str) -> None:
        """The first byte of an attempt is sent. `group`: the servers that deduplicate its key together."""
        self.attempts += 1
        self._record((now_s, proxy, "sends", number, "to", server))
        grace_s = self._safety.drain_grace_ms / 1000 + self._slack_s
        left_s = self._left_since.get((proxy, server))
        if left_s is not None and now_s > left_s + grace_s:
            text = (
                f"{proxy} sends {number} to {server}, which it was told to leave {now_s - left_s:.2f} s ago"
            )
            self._broken(3, text, now_s)
        gone_s = self._unlisted_since.get(server)
        if gone_s is not None and left_s is None:
            latest_poll_s = max(gone_s, self._polled.get(proxy, 0.0)) + self._safety.must_ask_s
            if now_s > latest_poll_s + grace_s:
                text = f"{proxy} sends {number} to {server}, and has not asked discovery since it left"
                self._broken(3, text, now_s)
        request = self._requests.get(number)
        if request is None:
            return
        # With no slack, an attempt sent in the same instant as the end counts as sent after it.
        if (request.final or request.released) and now_s - request.ended_s >= self._slack_s:
            self._broken(
                1, f"{proxy} sends {number} to {server} after its end ({request.final or 'left'})", now_s
            )
        unresolved = next((attempt for attempt in request.attempts if attempt.never_ran is not True), None)
        if unresolved is not None and request.kind.effect == "unsafe":
            text = (
                f"{number} ({request.kind.name}) is sent to {server} "
                f"though its try at {unresolved.server} may have run"
            )
            self._broken(2, text, now_s)
        if unresolved is not None and request.kind.effect == "keyed":
            if unresolved.group != group:
                text = f"{number} is sent to {server} ({group}), but may have run in {unresolved.group}"
                self._broken(2, text, now_s)
            if now_s >= unresolved.sent_s + request.kind.window_ms / 1000 + self._slack_s:
                text = f"{number} is sent to {server} after the window in which its key is remembered"
                self._broken(2, text, now_s)
        request.attempts.append(AttemptRecord(server, group, now_s))

    def known(self, number: int, server: str, never_ran: bool) -> None:
        """The proxy has learned how an attempt ended."""
        request = self._requests.get(number)
        if request is not None:
            for attempt in request.attempts:
                if attempt.server == server and attempt.never_ran is None:
                    attempt.never_ran = never_ran
                    return

    def begun(self, now_s: float, number: int, server: str) -> None:
        """A server starts to process the request: from here on its effect counts."""
        self._record((now_s, server, "begins", number))
        request = self._requests.get(number)
        if request is None:
            return
        request.runs += 1
        if request.kind.effect != "safe":
            if request.runs > 1:
                self._broken(
                    2, f"{number} ({request.kind.name}) is worked on a second time, at {server}", now_s
                )
            if request.final == "refused":
                self._broken(2, f"{number} ({request.kind.name}) was refused, and {server} begins it", now_s)

    # Discovery and cold servers

    def asked(self, now_s: float, proxy: str) -> None:
        """A proxy has called discovery."""
        self._polled[proxy] = now_s

    def told(self, now_s: float, proxy: str, states: dict[str, str], full: bool) -> None:
        """A proxy has received these servers' states, from a full list or a list of changes."""
        self._polled[proxy] = now_s
        for server, state in states.items():
            if state == "active":
                self._left_since.pop((proxy, server), None)
            else:
                self._left_since.setdefault((proxy, server), now_s)
        self._record((now_s, proxy, "is told all:" if full else "is told", str(states)))

    def gone(self, now_s: float, proxy: str, server: str) -> None:
        """A server was missing from a full list that a proxy received."""
        self._left_since.setdefault((proxy, server), now_s)

    def left(self, proxy: str, server: str) -> bool:
        """Whether the proxy has learned that the server drains or is gone."""
        return (proxy, server) in self._left_since

    def listed(self, now_s: float, server: str, active: bool) -> None:
        """Discovery lists a server as active, or no longer does."""
        if active:
            self._unlisted_since.pop(server, None)
        else:
            self._unlisted_since.setdefault(server, now_s)

    def restarted(self, proxy: str) -> None:
        """A proxy has started without state: it has lost what it learned before."""
        for key in [key for key in self._left_since if key[0] == proxy]:
            del self._left_since[key]

    def fell(self, now_s: float, server: str) -> None:
        """A cold server failed from overload."""
        self._broken(4, f"{server}, cold, was sent more than it can handle and has failed", now_s)
