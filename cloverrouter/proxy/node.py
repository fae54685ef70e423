"""The loop round `Balancer.handle`: what happened goes in as events, its actions are carried out.

It decides nothing and knows no bytes: calls come from the frontend, attempts go to the upstream.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable
from functools import partial

from cloverrouter.clock import Loop
from cloverrouter.decide import Balancer, crowded
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    BalancerView,
    Cancel,
    EndpointsListed,
    EndpointState,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestGone,
    RequestWhole,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    Sign,
    SignSeen,
    Stood,
    StreamStarted,
    Subscribe,
    TimerFired,
    Why,
)
from cloverrouter.membership.releases import opened_ahead
from cloverrouter.membership.standing import Gap, by_worth
from cloverrouter.proxy.admission import Admission
from cloverrouter.proxy.carrier import Carrier
from cloverrouter.proxy.config import Address, HostList
from cloverrouter.proxy.containment import contained_errors_of
from cloverrouter.proxy.lag import LagMeter
from cloverrouter.proxy.load_report import read_report
from cloverrouter.proxy.messages import Answer, AnswerSink, Call
from cloverrouter.proxy.observer import Final, Observer, Tried
from cloverrouter.proxy.open_requests import OpenAttempt, OpenRequest
from cloverrouter.proxy.wake import wake_of
from cloverrouter.view import believed

# The answer's way to the client, and the loop's lateness on top, as measured: deadlines are taken to be
# this much earlier. The measured part is bounded (`LagMeter`).
MARGIN_MS = 3.0
READS_S = 0.005  # for what lies here to be read, after a gap
LONG_MS = 60_000.0  # where no class says how long
MAY_HAVE_RUN = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.SPOILT, Outcome.CANCELLED})
log = logging.getLogger(__name__)


def longest_ms(settings: Settings) -> float:
    return max((cls.deadline_ms for cls in settings.classes), default=LONG_MS)


class Node:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        carrier: Carrier,
        subscribe: Callable[[], None],
        crash: Callable[[BaseException], None],
        loop: Loop | None = None,
    ) -> None:
        """`loop`: where it waits and takes the time from; asyncio's running one by default. Another one is
        taken never to be late."""
        self._loop: Loop = asyncio.get_running_loop() if loop is None else loop
        self._settings = settings
        self._longest_ms = longest_ms(settings)
        self._balancer = Balancer(settings, seed)
        self.carrier = carrier
        self._subscribe = subscribe
        self._crash = crash
        self.failed = False  # the module has raised an error, and is asked no more
        self.errors = contained_errors_of(self._loop)
        self._note = self.errors.recorder.note
        self._addresses: dict[str, Address] = {}
        self._requests: dict[int, OpenRequest] = {}
        self._by_call: dict[Call, OpenRequest] = {}
        self._woken: dict[Call, None] = {}  # that came while this process stood, to be handed over
        self._passing: dict[Call, OpenAttempt] = {}  # long answers that are being passed on
        self._ids: set[bytes] = set()  # the clients' own, of the same requests
        self._last_id = 0
        self._events: deque[Event] = deque()
        self._handling = False
        self._now_ms = 0.0
        self._lag = LagMeter(self._loop) if loop is None else None
        self._leaving_ms = self._left_by_ms = float("inf")
        self.wake = wake_of(self._loop)
        self.wake.on_gap.append(self._stood)
        self.observer: Observer | None = None
        self.admission: Admission | None = None

    # The module's clock, events and actions

    def now_ms(self) -> float:
        self._now_ms = max(self._now_ms, self._loop.time() * 1000)
        return self._now_ms

    def _stood(self, gap: Gap) -> None:
        self.tell(Stood())

    def tell(self, event: Event) -> None:
        """Hand an event to the module and carry out what it says; the events that this raises come after it.

        After an error of the module's own nothing is handed to it any more.
        """
        if self.failed:
            return
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                events = list(self._events)
                self._events.clear()
                for action in self._decide(events):
                    self._execute(action)
        finally:
            self._handling = False
        if self.failed:
            self._settle_all()

    def _decide(self, events: list[Event]) -> list[Action]:
        """What the module says; nothing once it has failed, which ends the process."""
        try:
            return self._balancer.handle(self.now_ms(), events)
        except Exception as error:
            # A module that has lost its way would go on with wrong decisions for every request.
            self.failed = True
            self._events.clear()
            self._crash(error)
            return []

    def _execute(self, action: Action) -> None:
        """Carry an action out. An error on the way is of one request, client or server, and not of the
        module: it ends that request and nothing else."""
        try:
            self._carry_out(action)
        except Exception as error:
            self.errors.report("action", error, action)
            self._action_failed(action)

    def _action_failed(self, action: Action) -> None:
        """Let the module hear the end of what it has asked for, or it would wait for that for ever."""
        match action:
            case Send():
                self._send_failed(action)
            case Subscribe():
                self.discovery_failed()

    def _send_failed(self, action: Send) -> None:
        """An attempt that raised an error as it began. How far it came is not known: it may have run."""
        request = self._requests.get(action.request_id)
        attempt = request.out.get(request.tries - 1) if request is not None else None
        if attempt is not None and attempt.exchange is None:
            self._ended(attempt, Outcome.CANCELLED, None)

    # The end of the process after an error of the module's: what is owed is answered without it

    def _settle_all(self) -> None:
        for request in list(self._by_call.values()):
            self.errors.run("settle", partial(self._settle, request), request.id)

    def abandon_all(self) -> None:
        """Wait for no server any more: the time of this process is over."""
        for request in list(self._requests.values()):
            for attempt in list(request.out.values()):
                self._give_up(attempt, Outcome.CANCELLED)

    def end_now(self) -> None:
        """The time of this process is over: answer what is owed, whatever servers may still say, and cut long
        answers short. Killed with them under way, it would leave their clients without a word."""
        log.warning("drain_overdue requests=%d long_answers=%d", len(self._by_call), len(self._passing))
        for call in list(self._woken):
            self.errors.run("end_now", partial(call.refused, 0.0), call.request_id)
        self._woken.clear()
        for request in list(self._by_call.values()):
            self.errors.run("end_now", partial(self._answer_now, request), request.id)
        for call, attempt in list(self._passing.items()):
            if attempt.sink is not None:
                self.errors.run("end_now", attempt.sink.cut, call.request_id)
            self._give_up(attempt, Outcome.CANCELLED)

    def _answer_now(self, request: OpenRequest) -> None:
        """Answer a request without waiting for its attempts any longer."""
        written = any(a.exchange is not None and a.exchange.written for a in request.out.values())
        may_have_run = request.may_have_run or written
        if self._take_unanswered(request.id) is None:
            return
        self._reply(request, request.call.failed if may_have_run else partial(request.call.refused, 0.0))
        self._observe_end(request, Final.FAILED if may_have_run else Final.REFUSED, None)
        self.tell(RequestGone(request.id))
        for attempt in list(request.out.values()):
            self._give_up(attempt, Outcome.CANCELLED)

    def _settle(self, request: OpenRequest) -> None:
        """Answer a request for which nothing is out any more that could bring its answer."""
        for attempt in list(request.out.values()):
            if attempt.exchange is None or not attempt.exchange.written:
                self._give_up(attempt, Outcome.NOT_SENT)
        if request.out or self._take_unanswered(request.id) is None:
            return
        if request.may_have_run:
            self._reply(request, request.call.failed)
            self._observe_end(request, Final.FAILED, None)
        else:
            self._reply(request, lambda: request.call.refused(0.0))
            self._observe_end(request, Final.REFUSED, None)

    def _reply(self, request: OpenRequest, reply: Callable[[], None]) -> None:
        """Give a final answer. An error in its client's connection costs nobody else."""
        self.errors.run("reply", reply, request.id)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                self._set_timer(action)
            case Refuse():
                request = self._take_unanswered(action.request_id)
                if request is not None:
                    call, retry_after_ms = request.call, action.retry_after_ms
                    self._reply(request, lambda: call.refused(retry_after_ms))
                    self._observe_end(request, Final.REFUSED, action.why)
            case Fail():
                request = self._take_unanswered(action.request_id)
                if request is not None:
                    self._reply(request, request.call.failed)
                    self._observe_end(request, Final.FAILED, action.why)
            case Cancel():
                request = self._requests.get(action.request_id)
                if request is not None and action.attempt in request.out:
                    self._give_up(request.out[action.attempt], Outcome.CANCELLED)
            case Probe():  # no site that we serve allows them
                self.tell(ProbeEnded(action.endpoint, Outcome.NOT_SENT, 0.0))
            case Subscribe():
                self._subscribe()
            case Log():
                log.info("%s", action.text)
                if self.observer is not None:
                    self.observer.said(action.text)

    def _observe_end(self, request: OpenRequest, final: Final, why: Why | None) -> None:
        self._note(final.value, request.call.request_id, why.name if why is not None else "")
        if self.observer is not None:
            took_ms = self.now_ms() - request.call.arrived_ms
            self.observer.ended(request.call, final, why, request.trail or (), took_ms)

    def view(self) -> BalancerView:
        """What the module believes now."""
        return believed(self._balancer, self.now_ms())

    def _set_timer(self, action: SetTimer) -> None:
        due_ms = self._now_ms + action.delay_ms

        def fire() -> None:
            # The loop's clock is coarser than ours: a timer is never seen to come early.
            self._now_ms = max(self._now_ms, due_ms)
            self.tell(TimerFired(action.token))

        self._loop.call_later(max(0.0, action.delay_ms) / 1000, fire)

    def resettle(self, settings: Settings) -> None:
        """These settings hold from now on, for requests that come."""
        # Danger: those that wait to be handed over were found valid by the classes of before; under another
        # effect of the same name they could be repeated with no key.
        self._hand_over()
        self._settings = settings
        # Requests that are open keep their class, and with it the longest time they may take.
        self._longest_ms = max(self._longest_ms, longest_ms(settings))
        self.tell(SettingsChanged(settings))

    # Calls

    def ready(self) -> bool:
        if self.failed:
            return False
        return bool(self._addresses) and (self.admission is None or not self.admission.refusal())

    @property
    def busy(self) -> bool:
        return bool(self._by_call) or bool(self._passing) or bool(self._woken)

    @property
    def in_flight(self) -> int:
        """Requests that an answer, or the rest of one, is owed to."""
        return len(self._by_call) + len(self._passing) + len(self._woken)

    def written_out(self) -> Counter[str]:
        """Attempts that are out with their last byte written, by class."""
        return Counter(
            request.call.class_name
            for request in self._requests.values()
            for attempt in request.out.values()
            if attempt.exchange is not None and attempt.exchange.written
        )

    def is_open(self, request_id: bytes) -> bool:
        """Is an answer owed under this id, or an attempt still out?"""
        return request_id in self._ids

    def arrived(self, call: Call) -> None:
        deadline_ms = self._deadline_ms(call) if call.late and call.upload is None else None
        if deadline_ms is None or deadline_ms <= self.now_ms() + 2000 * READS_S:  # it can't wait any more
            self._take_or_refuse(call)
            return
        # Danger: all that came in a gap is read at one moment, and the first to be read would have what room
        # there is. It has a few steps of the loop to be read in, and goes on by worth.
        if not self._woken:
            self._loop.call_later(READS_S, self._hand_over)
        self._woken[call] = None
        self._ids.add(call.request_id)

    def _hand_over(self) -> None:
        woken, self._woken = self._woken, {}
        worths = {cls.name: cls.worth for cls in self._settings.classes}
        for call in by_worth(woken, worths):
            self._ids.discard(call.request_id)
            self._take_or_refuse(call)

    def _take_or_refuse(self, call: Call) -> None:
        """Take a call in; one that fails to be is refused, and costs those behind it nothing."""
        if self.errors.run("take", partial(self._take, call), call.request_id):
            return
        request = self._by_call.get(call)
        if request is not None:
            self._take_unanswered(request.id)
            self.tell(RequestGone(request.id))
        self.errors.run("take", partial(call.refused, 0.0), call.request_id)

    def _take(self, call: Call) -> None:
        if self.failed:
            call.refused(0.0)
            return
        if self.admission is not None and (why := self.admission.refusal()):
            # Asked here and now, by the clock: no timer that may be late stands between this and the taking.
            call.refused(self.admission.retry_after_ms())
            if self.observer is not None:
                self.observer.not_taken(call, why)
            return
        self._last_id += 1
        self._note("taken", call.request_id, (call.class_name, round(self.now_ms() - call.arrived_ms)))
        coming = call.upload is not None and not call.upload.ended
        request = OpenRequest(self._last_id, call, None if coming else self._deadline_ms(call))
        if call.upload is not None and coming:
            call.upload.on_end = lambda: self._whole(request)
        self._requests[request.id] = self._by_call[call] = request
        self._ids.add(call.request_id)
        if self.observer is not None:
            self.observer.taken(call)
        self.tell(
            RequestArrived(
                request_id=request.id,
                class_name=call.class_name,
                deadline_ms=request.deadline_ms,
                tenant=call.tenant,
                key=call.key,
                work_hint_ms=call.cost_ms,
                repeat=call.repeat,
                former=call.former,
                once=call.upload is not None,
                whole=not coming,
                waited_ms=max(0.0, self.now_ms() - call.arrived_ms) if call.late else 0.0,
            )
        )

    def _deadline_ms(self, call: Call) -> float | None:
        timeout_ms = call.timeout_ms
        late = call.arrived_ms > self._leaving_ms
        if timeout_ms is None:
            if not late:
                return None
            timeout_ms = self._longest_ms
        margin_ms = MARGIN_MS + (self._lag.peak_ms if self._lag is not None else 0.0)
        # Danger: a call that has waited behind another has less time left than it asked for.
        deadline_ms = call.arrived_ms + timeout_ms - margin_ms
        return min(deadline_ms, self._left_by_ms) if late else deadline_ms

    def leave(self, from_ms: float, by_ms: float) -> None:
        """This process is about to end: what comes after `from_ms` is answered by `by_ms`, whatever time its
        client gives it."""
        self._leaving_ms, self._left_by_ms = from_ms, by_ms

    def _whole(self, request: OpenRequest) -> None:
        """The last byte of a body has come that was passed on: its client's time runs from here."""
        if request.answered:
            return
        request.deadline_ms = self._deadline_ms(request.call)
        now_ms = self.now_ms()
        for attempt in request.out.values():
            attempt.sent_ms = now_ms
            self._set_time_out(attempt, self._longest_ms)
        self.tell(RequestWhole(request.id, request.deadline_ms))

    def _set_time_out(self, attempt: OpenAttempt, timeout_ms: float) -> None:
        deadline_ms = attempt.request.deadline_ms
        if deadline_ms is not None:
            timeout_ms = min(timeout_ms, deadline_ms - self.now_ms())
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.due_ms = self.now_ms() + timeout_ms
        attempt.timer = self._loop.call_later(max(0.0, timeout_ms) / 1000, self._timed_out, attempt)

    def gone(self, call: Call) -> None:
        """The client has left: nobody wants what its attempts would bring."""
        if call in self._woken:
            del self._woken[call]
            self._ids.discard(call.request_id)
        passing = self._passing.pop(call, None)
        request = self._by_call.get(call) if passing is None else passing.request
        if request is None:
            return
        self._take_unanswered(request.id)
        self._observe_end(request, Final.GONE, None)
        self.tell(RequestGone(request.id))
        for attempt in list(request.out.values()):
            self._give_up(attempt, Outcome.CANCELLED)
        self._drop_if_over(request)

    def _take_unanswered(self, request_id: int) -> OpenRequest | None:
        """The request, if its final answer is still owed; from here on it is not.

        What is still on its way to a host must not go out after the answer.
        """
        request = self._requests.get(request_id)
        if request is None or request.answered:
            return None
        request.answered = True
        del self._by_call[request.call]
        for attempt in list(request.out.values()):
            if attempt.exchange is not None and not attempt.exchange.written:
                self._give_up(attempt, Outcome.NOT_SENT)
        self._drop_if_over(request)
        return request

    def _drop_if_over(self, request: OpenRequest) -> None:
        if request.answered and not request.out and self._requests.pop(request.id, None) is not None:
            self._ids.discard(request.call.request_id)

    # Attempts

    def _send(self, action: Send) -> None:
        request = self._requests.get(action.request_id)
        address = self._addresses.get(action.endpoint)
        if request is None:
            self.tell(AttemptEnded(action.request_id, 0, Outcome.NOT_SENT, 0.0, answered=True))
            return
        number, request.tries = request.tries, request.tries + 1
        timeout_ms = action.timeout_ms or float("inf")
        if request.deadline_ms is not None:
            # Danger: a stop may lie between the module's choice and this line; asked here and now.
            timeout_ms = min(timeout_ms, request.deadline_ms - self.now_ms())
        if request.call.left() or request.answered or address is None or timeout_ms <= 0:
            self.tell(AttemptEnded(request.id, number, Outcome.NOT_SENT, 0.0, request.answered))
            return
        timeout_ms = min(timeout_ms, self._longest_ms)
        host, upload = (action.endpoint, address), request.call.upload
        attempt = request.out[number] = OpenAttempt(request, number, host, self._now_ms)
        attempt.ran_ms = self.wake.ran_s(self._now_ms / 1000) * 1000
        self._note("sent", request.call.request_id, action.endpoint)
        if upload is None or upload.ended:  # else its time runs from the body's last byte
            self._set_time_out(attempt, timeout_ms)
        attempt.exchange = self.carrier.send(
            host,
            request.call,
            timeout_ms,
            lambda outcome, answer: self._ended(attempt, outcome, answer),
            lambda answer: self._begin(attempt, answer),
            (lambda: self.seen(action.endpoint, Sign.ACCEPTED)) if action.fresh else None,
        )
        if action.begin_within_ms < timeout_ms and not attempt.exchange.written:
            self._loop.call_later(action.begin_within_ms / 1000, self._begin_now_or_never, attempt)

    def seen(self, name: str, sign: Sign) -> None:
        """A connection to a host showed something."""
        if name in self._addresses:
            self.tell(SignSeen(name, sign))

    def _timed_out(self, attempt: OpenAttempt) -> None:
        if self.wake.ran_out(attempt.due_ms / 1000):
            # Its answer may lie here, not read to its end yet; if not, that is not its server's fault.
            attempt.timer = self._loop.call_later(READS_S, self._give_up, attempt, Outcome.CANCELLED)
        else:
            self._give_up(attempt, Outcome.TIMEOUT)

    def _begin_now_or_never(self, attempt: OpenAttempt) -> None:
        """Danger: a connection that comes up now would carry out a repeat that the hosts no longer know."""
        exchange = attempt.exchange
        if attempt.number in attempt.request.out and exchange is not None and not exchange.written:
            self._give_up(attempt, Outcome.NOT_SENT)

    def _give_up(self, attempt: OpenAttempt, outcome: Outcome) -> None:
        """Stop an attempt from this side. One whose last byte has not been written has never run."""
        exchange = attempt.exchange
        if exchange is not None:
            if not exchange.written:
                outcome = Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT else Outcome.NOT_SENT
            self.errors.run("attempt_abandon", exchange.abandon, attempt.host[0])
        self._ended(attempt, outcome, None)

    def _begin(self, attempt: OpenAttempt, answer: Answer) -> AnswerSink | None:
        """A long answer: from here on the attempt is the client's, and no time-out of ours holds."""
        request = attempt.request
        if request.answered or attempt.number not in request.out:
            return None
        sink = request.call.begin(answer)
        if sink is None:
            return None
        self._passing[request.call], attempt.sink = attempt, sink
        self._take_unanswered(request.id)
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.first_ms, _ = self._took(attempt, Outcome.OK, answer)
        self.tell(StreamStarted(request.id, attempt.number, attempt.first_ms))
        return sink

    def _ended(self, attempt: OpenAttempt, outcome: Outcome, answer: Answer | None) -> None:
        request = attempt.request
        if request.out.pop(attempt.number, None) is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        latency_ms, unsure = self._took(attempt, outcome, answer)
        self._note("attempt_ended", request.call.request_id, (attempt.host[0], outcome.value))
        if attempt.first_ms is not None:
            latency_ms = attempt.first_ms  # how fast a client reads says nothing about its server
            if self._passing.pop(request.call, None) is not None:
                self._observe_end(request, Final.SERVED if outcome is Outcome.OK else Final.FAILED, None)
        report = read_report(answer.report, self._settings.report_fields) if answer is not None else None
        if self.observer is not None:
            self._observe_try(request, Tried(attempt.host[0], outcome, latency_ms), report)
        if answer is not None and outcome is Outcome.OK and self._take_unanswered(request.id) is not None:
            call = request.call
            self._reply(request, lambda: call.served(answer))
            self._observe_end(request, Final.SERVED, None)
        if outcome in MAY_HAVE_RUN:
            request.may_have_run = True
        if self.failed and not request.answered:
            self._settle(request)
        self._drop_if_over(request)
        sign = attempt.exchange.sign if attempt.exchange is not None else None
        self.tell(
            AttemptEnded(
                request.id, attempt.number, outcome, latency_ms, request.answered, report, sign, unsure
            )
        )

    def _took(self, attempt: OpenAttempt, outcome: Outcome, answer: Answer | None) -> tuple[float, bool]:
        """How long its server took, and is that unsure, this process having stood still meanwhile?"""
        now_ms = self.now_ms()
        took_ms = now_ms - attempt.sent_ms
        if outcome is Outcome.TIMEOUT or not self.wake.stood(attempt.sent_ms / 1000):
            return took_ms, False
        waited_ms = answer.waited_ms if answer is not None else None
        if waited_ms is None:
            return self.wake.ran_s(now_ms / 1000) * 1000 - attempt.ran_ms, True
        return max(0.0, took_ms - waited_ms), False

    def _observe_try(self, request: OpenRequest, tried: Tried, report: tuple[float, ...] | None) -> None:
        assert self.observer is not None
        if request.trail is None:
            request.trail = []
        request.trail.append(tried)
        self.observer.tried(request.call, tried, report)

    # Discovery

    def listed(self, kind: ListKind, found: HostList) -> None:
        """Danger: thousands are known, and most answers name one of them or none: only those are touched."""
        first, former = not self._addresses, self._addresses
        if kind is not ListKind.DELTA:
            self._addresses = {}
        were: dict[str, Address | None] = {}
        for entry in found.entries:
            name = entry.listed.name
            were.setdefault(name, former.get(name))
            if entry.listed.state is EndpointState.READY and entry.address is not None:
                self._addresses[name] = entry.address
            else:
                self._addresses.pop(name, None)
        # The module hears of the list whatever becomes of connections: a drain may be in it.
        self.errors.run("connections_kept", lambda: self.carrier.keep_only(self._addresses.items()))
        self._note("listed", found.version, f"{kind.name} of {len(found.entries)}")
        self.tell(EndpointsListed(kind, tuple(entry.listed for entry in found.entries)))
        now = ((name, self._addresses.get(name)) for name in were)
        new = {(name, address) for name, address in now if address is not None and address != were[name]}
        for host in opened_ahead(new, first, crowded(self._settings)):
            self.errors.run("open_ahead", partial(self.carrier.open_ahead, host), host[0])
        # Danger: a send to a host that drains, still connecting now, could go out after the grace.
        for request in list(self._requests.values()):
            for attempt in list(request.out.values()):
                exchange, name, address = attempt.exchange, *attempt.host
                unsent = exchange is not None and not exchange.written
                if exchange is not None and request.call.upload is not None:
                    unsent = not exchange.begun  # its body goes on to where it has begun
                if unsent and self._addresses.get(name) != address:
                    self._give_up(attempt, Outcome.NOT_SENT)

    def discovery_failed(self) -> None:
        self.tell(EndpointsListed(ListKind.FAILED))
