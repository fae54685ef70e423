"""The event loop around `Balancer.handle`: dispatches events to the balancer and executes its actions.

The node makes no decisions and does no I/O itself: the frontend passes in calls, a carrier sends attempts.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable
from functools import partial

from cloverrouter.clock import Loop
from cloverrouter.decide import Balancer, has_many_proxies_per_server
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    BalancerView,
    Cancel,
    ClientDisconnected,
    ConnectionSignal,
    ConnectionSignalObserved,
    EndpointsListed,
    Event,
    Fail,
    GiveUpReason,
    ListKind,
    Log,
    Outcome,
    Probe,
    ProbeEnded,
    ProcessPaused,
    Refuse,
    RequestArrived,
    RequestCompleted,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    StreamStarted,
    Subscribe,
    TimerFired,
)
from cloverrouter.membership.releases import servers_to_preconnect
from cloverrouter.membership.standing import LoopGap, sort_by_worth
from cloverrouter.proxy.address_book import AddressBook
from cloverrouter.proxy.admission import Admission
from cloverrouter.proxy.carrier import Carrier
from cloverrouter.proxy.config import HostList
from cloverrouter.proxy.containment import contained_errors_of
from cloverrouter.proxy.lag import LagMeter
from cloverrouter.proxy.late_answers import LateAnswer, StreamedShortAnswer
from cloverrouter.proxy.load_report import read_report
from cloverrouter.proxy.messages import Answer, AnswerLength, AnswerSink, Call
from cloverrouter.proxy.observer import AttemptResult, Observer, RequestResult
from cloverrouter.proxy.open_requests import OpenAttempt, OpenRequest
from cloverrouter.proxy.run_ids import RunIds
from cloverrouter.proxy.wake import pause_detector_of
from cloverrouter.view import balancer_view

# Deadlines are brought forward by this allowance for the answer's way to the client, plus the loop lag that
# `LagMeter` measures (and bounds).
DEADLINE_MARGIN_MS = 3.0
READ_AFTER_PAUSE_S = 0.005  # time to read data that queued up in sockets during a pause
DEFAULT_MAX_TIMEOUT_MS = 60_000.0  # if the settings define no class
MAY_HAVE_RUN = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.SPOILT, Outcome.CANCELLED})
log = logging.getLogger(__name__)


def max_timeout_ms(settings: Settings) -> float:
    """Return the longest deadline of all classes."""
    return max((cls.deadline_ms for cls in settings.classes), default=DEFAULT_MAX_TIMEOUT_MS)


class Node:
    """Connects the balancer to the frontend, a carrier and discovery, and keeps the open requests."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        carrier: Carrier,
        subscribe: Callable[[], None],
        crash: Callable[[BaseException], None],
        loop: Loop | None = None,
    ) -> None:
        """`loop`: clock and timers; by default asyncio's running loop. Any other loop is assumed to have no
        lag."""
        self._loop: Loop = asyncio.get_running_loop() if loop is None else loop
        self._settings = settings
        self._max_timeout_ms = max_timeout_ms(settings)
        self._balancer = Balancer(settings, seed)
        self.carrier = carrier
        self._subscribe = subscribe
        self._crash = crash
        self.failed = False  # the balancer has raised an error and is not called any more
        self.errors = contained_errors_of(self._loop)
        self._record = self.errors.recorder.record
        self._address_book = AddressBook()
        self._addresses = self._address_book.addresses
        self._requests: dict[int, OpenRequest] = {}
        self._by_call: dict[Call, OpenRequest] = {}
        # Calls that arrived during a process pause and wait to be admitted.
        self._pending_after_pause: dict[Call, None] = {}
        self._streaming: dict[Call, OpenAttempt] = {}  # answers that are being streamed
        self._ids: set[bytes] = set()  # client request ids of the open requests
        self.run_ids = RunIds()  # of those that have been sent, and must not run again
        self._last_id = 0
        self._events: deque[Event] = deque()
        self._handling = False
        self._now_ms = 0.0
        self._lag = LagMeter(self._loop) if loop is None else None
        self._drain_from_ms = self._answer_by_ms = float("inf")
        self.pause_detector = pause_detector_of(self._loop)
        self.pause_detector.on_pause.append(self._on_pause)
        self.observer: Observer | None = None
        self.on_answer_begun: Callable[[AnswerLength], None] = lambda length: None
        self.admission: Admission | None = None

    # The balancer's clock, events and actions

    def now_ms(self) -> float:
        self._now_ms = max(self._now_ms, self._loop.time() * 1000)
        return self._now_ms

    def _on_pause(self, gap: LoopGap) -> None:
        self.dispatch(ProcessPaused())

    def dispatch(self, event: Event) -> None:
        """Pass an event to the balancer and execute its actions; events raised by these are queued behind it.

        Does nothing once the balancer has raised an error.
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
                    self._execute_contained(action)
        finally:
            self._handling = False
        if self.failed:
            self._finish_all_without_balancer()

    def _decide(self, events: list[Event]) -> list[Action]:
        """Return the balancer's actions; none if it raises an error, which ends the process."""
        try:
            return self._balancer.handle(self.now_ms(), events)
        except Exception as error:
            # After an error the state of the balancer is unknown: it could decide wrongly for every request.
            self.failed = True
            self._events.clear()
            self._crash(error)
            return []

    def _execute_contained(self, action: Action) -> None:
        """Execute an action. An error in it concerns one request, client or server, not the balancer: it ends
        that request and nothing else."""
        try:
            self._execute(action)
        except Exception as error:
            self.errors.report("action", error, action)
            self._action_failed(action)

    def _action_failed(self, action: Action) -> None:
        """Report the end of a failed action to the balancer, which would otherwise wait for it forever."""
        match action:
            case Send():
                self._send_failed(action)
            case Subscribe():
                self.discovery_failed()

    def _send_failed(self, action: Send) -> None:
        """End an attempt that raised an error while it was started. How far it got is unknown: it may have
        run."""
        request = self._requests.get(action.request_id)
        attempt = request.attempts.get(request.attempt_count - 1) if request is not None else None
        if attempt is not None and attempt.exchange is None:
            self._attempt_ended(attempt, Outcome.CANCELLED, None)

    # Shutdown after an error of the balancer: open requests are answered without it

    def _finish_all_without_balancer(self) -> None:
        for request in list(self._by_call.values()):
            self.errors.run("settle", partial(self._finish_without_balancer, request), request.id)

    def abandon_all(self) -> None:
        """Cancel all attempts: the time limit for the shutdown has passed."""
        for request in list(self._requests.values()):
            for attempt in list(request.attempts.values()):
                self._give_up(attempt, Outcome.CANCELLED)

    def answer_all_now(self) -> None:
        """Answer all open requests without waiting for servers, and abort streamed answers.

        The time limit for the shutdown has passed; killed with requests in flight, the process would leave
        their clients without an answer.
        """
        log.warning("drain_overdue requests=%d long_answers=%d", len(self._by_call), len(self._streaming))
        for call in list(self._pending_after_pause):
            self.errors.run("end_now", partial(call.refused, 0.0), call.request_id)
        self._pending_after_pause.clear()
        for request in list(self._by_call.values()):
            self.errors.run("end_now", partial(self._answer_now, request), request.id)
        for call, attempt in list(self._streaming.items()):
            if attempt.sink is not None:
                self.errors.run("end_now", attempt.sink.abort, call.request_id)
            self._give_up(attempt, Outcome.CANCELLED)

    def _answer_now(self, request: OpenRequest) -> None:
        """Answer a request without waiting for its attempts."""
        may_have_run = request.may_have_run or request.is_fully_sent
        if self._claim_unanswered(request.id) is None:
            return
        self._reply(request, request.call.failed if may_have_run else partial(request.call.refused, 0.0))
        self.dispatch(ClientDisconnected(request.id))
        for attempt in list(request.attempts.values()):
            self._give_up(attempt, Outcome.CANCELLED)
        self._observe_end(request, RequestResult.FAILED if may_have_run else RequestResult.REFUSED, None)

    def _finish_without_balancer(self, request: OpenRequest) -> None:
        """Answer a request if none of its attempts can still bring an answer."""
        for attempt in list(request.attempts.values()):
            if attempt.exchange is None or not attempt.exchange.written:
                self._give_up(attempt, Outcome.NOT_SENT)
        if request.attempts or self._claim_unanswered(request.id) is None:
            return
        if request.may_have_run:
            self._reply(request, request.call.failed)
            self._observe_end(request, RequestResult.FAILED, None)
        else:
            self._reply(request, lambda: request.call.refused(0.0))
            self._observe_end(request, RequestResult.REFUSED, None)

    def _reply(self, request: OpenRequest, reply: Callable[[], None]) -> None:
        """Send a final answer. An error in the client's connection affects no other request."""
        self.errors.run("reply", reply, request.id)

    def _execute(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                self._set_timer(action)
            case Refuse():
                self._refuse(action)
            case Fail():
                request = self._claim_unanswered(action.request_id)
                if request is not None:
                    self._reply(request, request.call.failed)
                    self._observe_end(request, RequestResult.FAILED, action.reason)
            case Cancel():
                request = self._requests.get(action.request_id)
                if request is not None and action.attempt in request.attempts:
                    self._give_up(request.attempts[action.attempt], Outcome.CANCELLED)
            case Probe():  # probes are not supported: sites do not allow them
                self.dispatch(ProbeEnded(action.endpoint, Outcome.NOT_SENT, 0.0))
            case Subscribe():
                self._subscribe()
            case Log():
                log.info("%s", action.text)
                if self.observer is not None:
                    self.observer.balancer_logged(action.text)

    def _refuse(self, action: Refuse) -> None:
        """Refuse a request. One that may have run, and must not run twice, fails instead."""
        request = self._requests.get(action.request_id)
        if request is None:
            return
        call, result = request.call, RequestResult.REFUSED
        is_unsafe = not call.is_safe and not call.idempotency_key
        if is_unsafe and (request.may_have_run or request.is_fully_sent):
            result = RequestResult.FAILED
            log.error("refusal_prevented request_id=%s", call.request_id.decode("latin-1"))
        if self._claim_unanswered(request.id) is None:
            return
        refuse = partial(call.refused, action.retry_after_ms)
        self._reply(request, refuse if result is RequestResult.REFUSED else call.failed)
        self._observe_end(request, result, action.reason)

    def _observe_end(self, request: OpenRequest, final: RequestResult, reason: GiveUpReason | None) -> None:
        self._record(final.value, request.call.request_id, reason.name if reason is not None else "")
        if self.observer is not None:
            took_ms = self.now_ms() - request.call.arrived_ms
            self.observer.request_ended(request.call, final, reason, request.attempt_results or (), took_ms)

    def view(self) -> BalancerView:
        """Return the balancer's current view of its endpoints."""
        return balancer_view(self._balancer, self.now_ms())

    def _set_timer(self, action: SetTimer) -> None:
        due_ms = self._now_ms + action.delay_ms

        def fire() -> None:
            # The loop's clock is coarser than `now_ms`: a timer must not appear to fire early.
            self._now_ms = max(self._now_ms, due_ms)
            self.dispatch(TimerFired(action.token))

        self._loop.call_later(max(0.0, action.delay_ms) / 1000, fire)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to the requests that arrive from now on."""
        # Calls that wait to be admitted were validated against the previous classes. If a class of the same
        # name now has another idempotency setting, they could be retried without a key.
        self._admit_pending()
        self._settings = settings
        # Open requests keep their class, and with it their maximum timeout.
        self._max_timeout_ms = max(self._max_timeout_ms, max_timeout_ms(settings))
        self.dispatch(SettingsChanged(settings))

    # Calls

    def ready(self) -> bool:
        """Whether requests can be accepted: a host is listed, and admission does not refuse."""
        if self.failed:
            return False
        return bool(self._addresses) and (self.admission is None or not self.admission.refusal())

    @property
    def busy(self) -> bool:
        return bool(self._by_call) or bool(self._streaming) or bool(self._pending_after_pause)

    @property
    def in_flight(self) -> int:
        """Number of requests whose answer, or the rest of it, is still due."""
        return len(self._by_call) + len(self._streaming) + len(self._pending_after_pause)

    def fully_sent_by_class(self) -> Counter[str]:
        """Count the attempts in flight whose last byte has been written, by class."""
        return Counter(
            request.call.class_name
            for request in self._requests.values()
            for attempt in request.attempts.values()
            if attempt.exchange is not None and attempt.exchange.written
        )

    def is_open(self, request_id: bytes) -> bool:
        """Whether a request with this id waits for its answer or has an attempt in flight."""
        return request_id in self._ids

    def may_have_run(self, request_id: bytes) -> bool:
        """Whether a request with this id may have run, here or at another process of this proxy."""
        return self.run_ids.contains(request_id)

    def call_received(self, call: Call) -> None:
        """Accept or refuse a call, after a short wait if it arrived during a process pause."""
        deadline_ms = self._deadline_ms(call) if call.is_delayed and call.upload is None else None
        if (
            deadline_ms is None or deadline_ms <= self.now_ms() + 2000 * READ_AFTER_PAUSE_S
        ):  # too close to its deadline to wait
            self._accept_or_refuse(call)
            return
        # All calls that arrived during a pause are read at once afterwards, and the first ones read would use
        # up the free capacity. So they are collected for a few loop iterations and admitted by worth.
        if not self._pending_after_pause:
            self._loop.call_later(READ_AFTER_PAUSE_S, self._admit_pending)
        self._pending_after_pause[call] = None
        self._ids.add(call.request_id)

    def _admit_pending(self) -> None:
        pending, self._pending_after_pause = self._pending_after_pause, {}
        worths = {cls.name: cls.worth for cls in self._settings.classes}
        for call in sort_by_worth(pending, worths):
            self._ids.discard(call.request_id)
            self._accept_or_refuse(call)

    def _accept_or_refuse(self, call: Call) -> None:
        """Accept a call. If that raises an error the call is answered, and later calls are not affected."""
        if self.errors.run("take", partial(self._accept, call), call.request_id):
            return
        request = self._by_call.get(call)
        # It may have been sent before the error.
        answer = partial(call.refused, 0.0) if request is None else partial(self._answer_now, request)
        self.errors.run("take", answer, call.request_id)

    def _accept(self, call: Call) -> None:
        if self.failed:
            call.refused(0.0)
            return
        if self.admission is not None and (reason := self.admission.refusal()):
            # Checked here against the clock, not by a timer, which could fire late.
            call.refused(self.admission.retry_after_ms())
            if self.observer is not None:
                self.observer.request_refused_early(call, reason)
            return
        self._last_id += 1
        self._record("taken", call.request_id, (call.class_name, round(self.now_ms() - call.arrived_ms)))
        uploading = call.upload is not None and not call.upload.ended
        request = OpenRequest(self._last_id, call, None if uploading else self._deadline_ms(call))
        if call.upload is not None and uploading:
            call.upload.on_end = lambda: self._upload_completed(request)
        self._requests[request.id] = self._by_call[call] = request
        self._ids.add(call.request_id)
        if self.observer is not None:
            self.observer.request_accepted(call)
        self.dispatch(
            RequestArrived(
                request_id=request.id,
                class_name=call.class_name,
                deadline_ms=request.deadline_ms,
                tenant=call.tenant,
                key=call.key,
                work_hint_ms=call.cost_ms,
                client_retry=call.is_retry,
                uses_previous_settings=call.fits_previous_classes,
                single_attempt=call.upload is not None,
                complete=not uploading,
                waited_ms=max(0.0, self.now_ms() - call.arrived_ms) if call.is_delayed else 0.0,
            )
        )

    def _deadline_ms(self, call: Call) -> float | None:
        timeout_ms = call.timeout_ms
        late = call.arrived_ms > self._drain_from_ms
        if timeout_ms is None:
            if not late:
                return None
            timeout_ms = self._max_timeout_ms
        margin_ms = DEADLINE_MARGIN_MS + (self._lag.peak_ms if self._lag is not None else 0.0)
        # Counted from arrival: a call that was queued behind another has less time left than it asked for.
        deadline_ms = call.arrived_ms + timeout_ms - margin_ms
        return min(deadline_ms, self._answer_by_ms) if late else deadline_ms

    def set_drain_deadline(self, from_ms: float, by_ms: float) -> None:
        """Have requests that arrive after `from_ms` answered by `by_ms`, whatever timeout their client set:
        the process is about to shut down."""
        self._drain_from_ms, self._answer_by_ms = from_ms, by_ms

    def _upload_completed(self, request: OpenRequest) -> None:
        """The last byte of a streamed request body has arrived: the client's timeout starts now."""
        if request.answered:
            return
        request.deadline_ms = self._deadline_ms(request.call)
        now_ms = self.now_ms()
        for attempt in request.attempts.values():
            attempt.sent_ms = now_ms
            self._start_timeout(attempt, self._max_timeout_ms)
        self.dispatch(RequestCompleted(request.id, request.deadline_ms))

    def upload_held_back(self, call: Call, since_s: float) -> None:
        """Answer a call if its time is over, counted from `since_s`, before its host has read its body."""
        request = self._by_call.get(call)
        timeout_ms = self._max_timeout_ms if call.timeout_ms is None else call.timeout_ms
        if request is None or self.now_ms() < since_s * 1000 + timeout_ms:
            return
        log.warning(
            "upload_overdue request_id=%s servers=%s",
            call.request_id.decode("latin-1"),
            ",".join(attempt.host[0] for attempt in request.attempts.values()),
        )
        self._answer_now(request)

    def _start_timeout(self, attempt: OpenAttempt, timeout_ms: float) -> None:
        deadline_ms = attempt.request.deadline_ms
        if deadline_ms is not None:
            timeout_ms = min(timeout_ms, deadline_ms - self.now_ms())
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.expires_ms = self.now_ms() + timeout_ms
        attempt.timer = self._loop.call_later(max(0.0, timeout_ms) / 1000, self._timed_out, attempt)

    def disconnected(self, call: Call) -> None:
        """The client has disconnected: its attempts are cancelled."""
        if call in self._pending_after_pause:
            del self._pending_after_pause[call]
            self._ids.discard(call.request_id)
        streaming = self._streaming.pop(call, None)
        request = self._by_call.get(call) if streaming is None else streaming.request
        if request is None:
            return
        self._claim_unanswered(request.id)
        self._observe_end(request, RequestResult.GONE, None)
        self.dispatch(ClientDisconnected(request.id))
        for attempt in list(request.attempts.values()):
            self._give_up(attempt, Outcome.CANCELLED)
        self._remove_if_finished(request)

    def _claim_unanswered(self, request_id: int) -> OpenRequest | None:
        """Mark the request as answered and return it; None if it was answered before.

        Attempts that are not fully sent are given up: none may go out after the final answer.
        """
        request = self._requests.get(request_id)
        if request is None or request.answered:
            return None
        request.answered = True
        del self._by_call[request.call]
        for attempt in list(request.attempts.values()):
            if attempt.exchange is not None and not attempt.exchange.written:
                self._give_up(attempt, Outcome.NOT_SENT)
        self._remove_if_finished(request)
        return request

    def _remove_if_finished(self, request: OpenRequest) -> None:
        if request.answered and not request.attempts and self._requests.pop(request.id, None) is not None:
            self._ids.discard(request.call.request_id)
            if request.call.upload is not None:
                request.call.upload.on_end = None  # it refers to the request
            if request.registered and not request.may_have_run:
                self.run_ids.discard(request.call.request_id)

    # Attempts

    def _send(self, action: Send) -> None:
        request = self._requests.get(action.request_id)
        address = self._addresses.get(action.endpoint)
        if request is None:
            self.dispatch(AttemptEnded(action.request_id, 0, Outcome.NOT_SENT, 0.0, answered=True))
            return
        number, request.attempt_count = request.attempt_count, request.attempt_count + 1
        if not request.answered and request.call.may_be_disconnected():
            self._record("not_sent", request.call.request_id, "its client may have left")
            self._answer_now(request)
        if not request.answered and not self._register(request):
            self._record("not_sent", request.call.request_id, "sent by another process")
            self._claim_unanswered(request.id)
            self._reply(request, request.call.failed)
            self._observe_end(request, RequestResult.FAILED, None)
        timeout_ms = action.timeout_ms or float("inf")
        if request.deadline_ms is not None:
            # Computed here: the process may have been paused since the balancer's decision.
            timeout_ms = min(timeout_ms, request.deadline_ms - self.now_ms())
        if request.call.is_disconnected() or request.answered or address is None or timeout_ms <= 0:
            self.dispatch(AttemptEnded(request.id, number, Outcome.NOT_SENT, 0.0, request.answered))
            return
        timeout_ms = min(timeout_ms, self._max_timeout_ms)
        host, upload = (action.endpoint, address), request.call.upload
        attempt = request.attempts[number] = OpenAttempt(request, number, host, self._now_ms)
        attempt.sent_active_ms = self.pause_detector.active_time_s(self._now_ms / 1000) * 1000
        self._record("sent", request.call.request_id, action.endpoint)
        if upload is None or upload.ended:  # otherwise the timeout starts at the body's last byte
            self._start_timeout(attempt, timeout_ms)
        attempt.exchange = self.carrier.send(
            host,
            request.call,
            timeout_ms,
            lambda outcome, answer: self._attempt_ended(attempt, outcome, answer),
            lambda answer: self._begin_stream(attempt, answer),
            (lambda: self.report_signal(action.endpoint, ConnectionSignal.ACCEPTED))
            if action.new_connection
            else None,
        )
        # It may have ended already: then a timer would hold it, and the request with its body.
        is_open = attempt.number in request.attempts
        if is_open and action.begin_within_ms < timeout_ms and not attempt.exchange.written:
            attempt.send_timer = self._loop.call_later(
                action.begin_within_ms / 1000, self._give_up_if_unsent, attempt
            )

    def _register(self, request: OpenRequest) -> bool:
        """Note that a request is sent that must not run twice; False if another process has sent it."""
        if request.registered or request.call.is_safe:
            return True
        request.registered = self.run_ids.add(request.call.request_id)
        return request.registered

    def report_signal(self, name: str, signal: ConnectionSignal) -> None:
        """Report a connection signal of a listed host to the balancer."""
        if name in self._addresses:
            self._record("signal", name, signal.value)
            self.dispatch(ConnectionSignalObserved(name, signal))

    def _timed_out(self, attempt: OpenAttempt) -> None:
        if self.pause_detector.paused_at_expiry(attempt.expires_ms / 1000):
            # Its answer may be in the socket, not fully read yet; if not, that is not the server's fault.
            attempt.timer = self._loop.call_later(
                READ_AFTER_PAUSE_S, self._end_overdue, attempt, Outcome.CANCELLED
            )
        else:
            self._end_overdue(attempt, Outcome.TIMEOUT)

    def _end_overdue(self, attempt: OpenAttempt, outcome: Outcome) -> None:
        """End an attempt whose time is over, unless its server is writing an answer that may be long."""
        exchange = attempt.exchange
        progress = exchange.answer_progress() if exchange is not None else None
        if exchange is None or progress is None or progress.length is AnswerLength.SHORT:
            self._give_up(attempt, outcome)
            return
        attempt.answer_watch = LateAnswer(
            self._loop, exchange, self._due_s(attempt), partial(self._give_up_answer, attempt, outcome)
        )

    def _due_s(self, attempt: OpenAttempt) -> float:
        """Return when the time of the attempt's request is over."""
        due_ms = attempt.request.deadline_ms
        if due_ms is None:
            due_ms = attempt.request.call.arrived_ms + self._max_timeout_ms
        return due_ms / 1000

    def _give_up_answer(self, attempt: OpenAttempt, outcome: Outcome) -> None:
        """Give up an answer that has begun and does not go on; one that is streamed is cut off."""
        if attempt.sink is not None:
            self.errors.run("answer_cut", attempt.sink.abort, attempt.host[0])
        self._give_up(attempt, outcome)

    def _give_up_if_unsent(self, attempt: OpenAttempt) -> None:
        """Give up a retry that is not sent yet: sent after the idempotency window of the servers, it would be
        executed again."""
        exchange = attempt.exchange
        if attempt.number in attempt.request.attempts and exchange is not None and not exchange.written:
            self._give_up(attempt, Outcome.NOT_SENT)

    def _give_up(self, attempt: OpenAttempt, outcome: Outcome) -> None:
        """Cancel an attempt. One whose last byte was not written has never run."""
        exchange = attempt.exchange
        if exchange is not None:
            if exchange.received_bytes:
                log.warning(
                    "answer_discarded request_id=%s server=%s received_bytes=%d after_ms=%d outcome=%s",
                    attempt.request.call.request_id.decode("latin-1"),
                    attempt.host[0],
                    exchange.received_bytes,
                    self.now_ms() - attempt.sent_ms,
                    outcome.value,
                )
            if not exchange.written:
                outcome = Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT else Outcome.NOT_SENT
            self.errors.run("attempt_abandon", exchange.abandon, attempt.host[0])
        self._attempt_ended(attempt, outcome, None)

    def _begin_stream(self, attempt: OpenAttempt, answer: Answer) -> AnswerSink | None:
        """Start to stream an answer to the client.

        The timeout of the attempt ends with that. An answer that is not long is still due as a whole.
        """
        request = attempt.request
        if request.answered or attempt.number not in request.attempts:
            return None
        sink = request.call.begin(answer)
        if sink is None:
            return None
        self._streaming[request.call], attempt.sink = attempt, sink
        self._claim_unanswered(request.id)
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._answer_begun(attempt)
        attempt.first_byte_ms, _ = self._server_latency_ms(attempt, Outcome.OK, answer)
        self.dispatch(StreamStarted(request.id, attempt.number, attempt.first_byte_ms))
        return sink

    def _answer_begun(self, attempt: OpenAttempt) -> None:
        """Record that an answer is streamed, and watch the time of one that is due as a whole."""
        exchange = attempt.exchange
        progress = exchange.answer_progress() if exchange is not None else None
        if exchange is None or progress is None:
            return
        self._record("answer_begun", attempt.request.call.request_id, (attempt.host[0], *progress))
        self.on_answer_begun(progress.length)
        if progress.length is AnswerLength.SHORT:
            attempt.answer_watch = StreamedShortAnswer(
                self._loop,
                exchange,
                self._due_s(attempt),
                partial(self._give_up_answer, attempt, Outcome.TIMEOUT),
            )

    def _attempt_ended(self, attempt: OpenAttempt, outcome: Outcome, answer: Answer | None) -> None:
        request = attempt.request
        if request.attempts.pop(attempt.number, None) is None:
            return
        if outcome in MAY_HAVE_RUN or outcome is Outcome.OK:
            request.may_have_run = True
        attempt.release()
        latency_ms, uncertain = self._server_latency_ms(attempt, outcome, answer)
        self._record("attempt_ended", request.call.request_id, (attempt.host[0], outcome.value))
        if attempt.first_byte_ms is not None:
            latency_ms = attempt.first_byte_ms  # the rest depends on how fast the client reads
            if self._streaming.pop(request.call, None) is not None:
                self._observe_end(
                    request, RequestResult.SERVED if outcome is Outcome.OK else RequestResult.FAILED, None
                )
        report = read_report(answer.report, self._settings.report_fields) if answer is not None else None
        if self.observer is not None:
            self._observe_attempt(request, AttemptResult(attempt.host[0], outcome, latency_ms), report)
        if answer is not None and outcome is Outcome.OK and self._claim_unanswered(request.id) is not None:
            call = request.call
            self._reply(request, lambda: call.served(answer))
            self._observe_end(request, RequestResult.SERVED, None)
        if self.failed and not request.answered:
            self._finish_without_balancer(request)
        self._remove_if_finished(request)
        signal = attempt.exchange.signal if attempt.exchange is not None else None
        self.dispatch(
            AttemptEnded(
                request.id, attempt.number, outcome, latency_ms, request.answered, report, signal, uncertain
            )
        )

    def _server_latency_ms(
        self, attempt: OpenAttempt, outcome: Outcome, answer: Answer | None
    ) -> tuple[float, bool]:
        """Return the time the server took, and whether that is uncertain because this process was paused."""
        now_ms = self.now_ms()
        took_ms = now_ms - attempt.sent_ms
        if outcome is Outcome.TIMEOUT or not self.pause_detector.paused_since(attempt.sent_ms / 1000):
            return took_ms, False
        waited_ms = answer.waited_ms if answer is not None else None
        if waited_ms is None:
            return self.pause_detector.active_time_s(now_ms / 1000) * 1000 - attempt.sent_active_ms, True
        return max(0.0, took_ms - waited_ms), False

    def _observe_attempt(
        self, request: OpenRequest, result: AttemptResult, report: tuple[float, ...] | None
    ) -> None:
        assert self.observer is not None
        if request.attempt_results is None:
            request.attempt_results = []
        request.attempt_results.append(result)
        self.observer.attempt_ended(request.call, result, report)

    # Discovery

    def listed(self, kind: ListKind, found: HostList) -> None:
        """Apply an answer of discovery. Thousands of hosts may be known, and most answers name one or none:
        only the named ones are visited."""
        first = not self._addresses
        before = {entry.listed.name: self._addresses.get(entry.listed.name) for entry in found.entries}
        found = self._address_book.apply(kind, found)
        self._addresses = self._address_book.addresses
        # The balancer receives the list even if closing connections fails: it may contain a drain.
        self.errors.run("connections_kept", lambda: self.carrier.keep_only(self._addresses.items()))
        for entry in self._address_book.restarted:
            if entry.address is not None and entry.listed.started_ms is not None:
                host = (entry.listed.name, entry.address)
                # The server's clock may be ahead of this one.
                started_s = min(entry.listed.started_ms / 1000, self._loop.time())
                self.errors.run("connections_older", partial(self.carrier.discard_older, host, started_s))
        self._record("listed", found.version, f"{kind.name} of {len(found.entries)}")
        self.dispatch(EndpointsListed(kind, tuple(entry.listed for entry in found.entries)))
        current = ((name, self._addresses.get(name)) for name in before)
        new = [
            (name, address) for name, address in current if address is not None and address != before[name]
        ]
        for host in servers_to_preconnect(new, first, has_many_proxies_per_server(self._settings)):
            self.errors.run("open_ahead", partial(self.carrier.preconnect, host), host[0])
        # An attempt that is still connecting to a draining host could go out after the drain grace.
        for request in list(self._requests.values()):
            for attempt in list(request.attempts.values()):
                exchange, name, address = attempt.exchange, *attempt.host
                unsent = exchange is not None and not exchange.written
                if exchange is not None and request.call.upload is not None:
                    unsent = not exchange.begun  # its body continues on the connection where it began
                if unsent and self._addresses.get(name) != address:
                    self._give_up(attempt, Outcome.NOT_SENT)

    def discovery_failed(self) -> None:
        """Report a failed call to discovery to the balancer."""
        self.dispatch(EndpointsListed(ListKind.FAILED))
