"""The watch on discovery: consecutive long-poll calls on one connection, each with its own timeout."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial

import httptools

from cloverrouter.membership.watching import VersionGuard, WatchRequest, WatchSchedule, push_agent_schedule
from cloverrouter.proxy.config import (
    NO_VERSION,
    Address,
    HostEntry,
    HostList,
    UnixClock,
    read_departures,
    read_list,
)
from cloverrouter.proxy.containment import contained_errors_of
from cloverrouter.proxy.wake import pause_detector_of

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MAX_RECEIVED_BYTES = 2 * MAX_ANSWER_BYTES  # with head, chunk framing and trailers
# An empty answer sooner than this comes from an agent that does not hold the call, and is not polled in a
# tight loop.
IMMEDIATE_ANSWER_S = 0.05
EMPTY_ANSWER_DELAY_S = 0.1  # well within the 200 ms after which a watch counts as ended
READ_STEPS = 3  # loop iterations in which data in the socket is read and processed
TIMEOUT_READ_S = 0.1  # for an answer, or the rest of one, that is in transit at its timeout
PAUSE_THRESHOLD_S = 0.5
# The answer of a call that timed out is accepted for this time. After it, what an unresponsive watch has
# missed counts as delivered anyway.
LATE_CALL_S, MAX_LATE_CALLS = 6.0, 2
PUSHED_RETRY_DELAY_S = 0.1  # after a failed call
CallTask = asyncio.Task[tuple[int, bytes]]
log = logging.getLogger(__name__)


class DiscoveryError(Exception):
    """A call to discovery that returned no list."""


class _Response:
    """Collects one answer from the callbacks of httptools."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.complete = False
        self.keep_alive = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()


class DiscoveryConnection:
    """The connection to one address of discovery, and the call in flight on it.

    A cancelled call runs for one or two more loop iterations, in which it may connect or receive data. If two
    calls shared a connection, the next call would be made at the previous address. So there is one object for
    each address, and what a closed one still receives is dropped.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.response_started = False  # a part of the answer has arrived
        self._pause_detector = pause_detector_of(asyncio.get_running_loop())
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._closed = False

    async def get(self, target: str) -> tuple[int, bytes]:
        """Request `target` and return the status and the body of the answer.

        Raises OSError or EOFError if the connection fails, DiscoveryError if the answer is too large.
        """
        self.response_started = False
        streams = await self.connect()
        reader, writer = streams
        host, port = self.address
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        response, received_bytes = _Response(), 0
        while not response.complete:
            data = await reader.read(65536)
            if not data:
                raise EOFError("connection closed before the end of the answer")
            self.response_started = True
            response.parser.feed_data(data)
            received_bytes += len(data)
            if len(response.body) > MAX_ANSWER_BYTES or received_bytes > MAX_RECEIVED_BYTES:
                raise DiscoveryError("answer exceeds the size limit")
        if not response.keep_alive and self._streams is streams:
            self.disconnect()
        return response.parser.get_status_code(), bytes(response.body)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the streams of the connection, which is opened if there is none."""
        if self._streams is not None:
            return self._streams
        async with self._pause_detector.timeout_excluding_pauses(CONNECT_TIMEOUT_S):
            streams = await asyncio.open_connection(*self.address)
        if self._closed:
            streams[1].close()
            raise DiscoveryError("connection was closed while connecting")
        self._streams = streams
        return streams

    def disconnect(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    def detach(self) -> asyncio.StreamWriter | None:
        """Leave the connection to the call in flight and return its writer; None if there is none. The next
        call opens a new one."""
        streams, self._streams = self._streams, None
        return streams[1] if streams is not None else None

    def close(self) -> None:
        """Close the connection for good."""
        self._closed = True
        self.disconnect()


class Watch:
    """Keeps the list of servers up to date.

    `on_list` gets each complete answer. `on_failure` is called after a failed call; the watch then stops
    until the next `start`, unless the list is pushed: then it continues by itself.
    """

    def __init__(
        self,
        address: Address,
        clock: UnixClock,
        pushed: bool,
        on_list: Callable[[HostList], None],
        on_failure: Callable[[], None],
        drain_grace_s: float = 1.0,
    ) -> None:
        """`drain_grace_s`: the time after a drain in which the server may still be sent requests."""
        self._connection = DiscoveryConnection(address)
        self._clock = clock
        self._pushed = pushed
        self._on_list = on_list
        self._on_failure = on_failure
        self._pause_detector = pause_detector_of(asyncio.get_running_loop())
        self._errors = contained_errors_of(asyncio.get_running_loop())
        self._task: asyncio.Task[None] | None = None
        self._current_call: CallTask | None = None
        self._stopped = False
        self._late_calls: list[CallTask] = []  # given up; their answers are still accepted
        self.asking = push_agent_schedule(drain_grace_s) if pushed else WatchSchedule()
        self._ledger = VersionGuard()
        self._known_entries: dict[str, HostEntry] = {}  # as last received

    def resume(self, version: int, entries: Iterable[HostEntry] = ()) -> None:
        """Continue from a known list; with `NO_VERSION` the full list is requested first."""
        self._known_entries = {entry.listed.name: entry for entry in entries}
        if version == NO_VERSION:
            return
        self.asking.version = version
        self._ledger = VersionGuard(version)

    def start(self) -> None:
        """Start the calls, unless they are running or `stop` was called."""
        if not self._stopped and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._run(self._connection))

    def change_address(self, address: Address) -> None:
        """Call another address from now on, first for the full list: versions are not shared between them.

        The call in flight is not awaited: it could wait at the old address while the list there grows stale.
        """
        if self._current_call is not None:
            self._keep_late_call(self._connection, self._current_call, None)
        self._stop()
        self._connection = DiscoveryConnection(address)
        self.asking, self._ledger = (
            WatchSchedule(self.asking.max_wait_s, self.asking.max_grace_s),
            VersionGuard(),
        )
        self.start()

    def stop(self) -> None:
        """Stop for good.

        The balancer runs on in the last loop iterations of the process and may subscribe again; a call that
        started then would be cancelled and logged as lost when the loop closes.
        """
        self._stopped = True
        self._cancel_late_calls()
        self._stop()

    def _stop(self) -> None:
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
        self._connection.close()

    def _keep_late_call(
        self, connection: DiscoveryConnection, call: CallTask, question: WatchRequest | None
    ) -> None:
        """Keep reading the answer of a call that is given up; `question` None: it went to a previous address.

        What discovery has written counts as delivered. A service that handles its calls one after the other
        may write the answer just as the call times out, and the next call queues there for seconds.
        """
        writer = connection.detach()
        if writer is None or call.done():
            return  # not connected, or its result is handled by the caller
        self._late_calls.append(call)
        timer = asyncio.get_running_loop().call_later(LATE_CALL_S, call.cancel)

        def done(call: CallTask) -> None:
            timer.cancel()
            writer.close()
            if call not in self._late_calls:
                return
            self._late_calls.remove(call)
            if not call.cancelled() and call.exception() is None and call.result()[0] == 200:
                self._errors.run("late_list", partial(self._apply_late_answer, call.result()[1], question))

        call.add_done_callback(done)
        while len(self._late_calls) > MAX_LATE_CALLS:
            self._late_calls.pop(0).cancel()

    def _apply_late_answer(self, body: bytes, question: WatchRequest | None) -> None:
        """Apply an answer that no newer one has followed. From a previous address only departures count."""
        try:
            message = json.loads(body)
        except ValueError:
            return
        host_list = None
        if question is not None:
            with suppress(ValueError):
                host_list = read_list(message, self._clock, self._known_entries)
        if (
            host_list is not None
            and question is not None
            and (host_list.full or question.version is not None)
        ):
            log.info("discovery: applying the late answer of a call that had timed out")
            self._on_list(self._ledger.filter_list(host_list))
        elif (departures := read_departures(message, self._clock)) is not None:
            self._on_list(departures)

    def _cancel_late_calls(self) -> None:
        calls, self._late_calls = self._late_calls, []
        for call in calls:
            call.cancel()

    def _call_duration_s(self, started_s: float, started_active_s: float) -> float:
        """Return how long a call took, without a pause of this process. Pauses up to `PAUSE_THRESHOLD_S` are
        included: they are part of the usual delay, since the timeout includes them as well."""
        now_s = asyncio.get_running_loop().time()
        paused_s = now_s - started_s - (self._pause_detector.active_time_s(now_s) - started_active_s)
        return now_s - started_s - (paused_s if paused_s > PAUSE_THRESHOLD_S else 0.0)

    async def _run(self, connection: DiscoveryConnection) -> None:
        while True:
            question, started_s = self.asking.next_request(), asyncio.get_running_loop().time()
            started_active_s = self._pause_detector.active_time_s(started_s)
            try:
                host_list = await self._call(connection, question)
                duration_s = self._call_duration_s(started_s, started_active_s)
                self._cancel_late_calls()
                self.asking.record_answer(question, duration_s, host_list.version, bool(host_list.entries))
                self._on_list(self._ledger.filter_list(host_list))
            except Exception as error:
                # An unforeseen error in reading an answer or applying a list must not end the watch for good.
                # Errors of the balancer are handled by the node.
                if connection is not self._connection:
                    return  # the address has changed: the error does not concern the new one
                log.warning("discovery: %s: %s", type(error).__name__, error)
                connection.disconnect()
                self.asking.record_failure(isinstance(error, OSError | EOFError | DiscoveryError))
                self._on_failure()
                if not self._pushed:
                    return
                # What an unresponsive agent receives when discovery returns counts as delivered at once.
                # Calls to it cost nothing, and a growing delay between them would use up the drain grace.
                await asyncio.sleep(PUSHED_RETRY_DELAY_S)
                continue
            if not host_list.entries and question.max_wait_s and duration_s < IMMEDIATE_ANSWER_S:
                await asyncio.sleep(EMPTY_ANSWER_DELAY_S)

    async def _call(self, connection: DiscoveryConnection, question: WatchRequest) -> HostList:
        target = "/v1/servers"
        if question.version is not None:
            target = f"{target}?from={question.version}&hold_ms={question.max_wait_s * 1000:.0f}"
        if not self._pushed and not question.max_wait_s:
            # Connecting gets its own timeout, or a restarted service that is slow to accept connections would
            # time out before it is queried. Not for a call that may wait, since its timeouts together must
            # stay within 6 s, nor for an agent, which runs on this machine.
            await connection.connect()
        call = self._current_call = asyncio.get_running_loop().create_task(connection.get(target))
        try:
            async with self._pause_detector.timeout_excluding_pauses(question.max_wait_s + question.grace_s):
                status, body = await asyncio.shield(call)
        except TimeoutError:
            # What discovery has written counts as delivered. An answer that arrives in the loop iteration of
            # its timeout would be lost, and a drain in it with it, until the next call. Of the answers of
            # a slow service that would have been given up, one in eight came within this time.
            await asyncio.wait([call], timeout=TIMEOUT_READ_S)
            for _ in range(READ_STEPS):
                await asyncio.sleep(0)
            if not call.done() and connection.response_started:
                await asyncio.wait([call], timeout=TIMEOUT_READ_S)
            if not call.done():
                self._keep_late_call(connection, call, question)
                raise
            status, body = call.result()
        finally:
            if call not in self._late_calls:
                call.cancel()
            if self._current_call is call:
                self._current_call = None
        if status != 200:
            raise DiscoveryError(f"answered {status}")
        message = json.loads(body)
        try:
            host_list = read_list(message, self._clock, self._known_entries)
        except ValueError:
            if (departures := read_departures(message, self._clock)) is not None:
                self._on_list(departures)
            raise
        if question.version is None and not host_list.full:
            raise ValueError("received a list of changes instead of the full list")
        return host_list
