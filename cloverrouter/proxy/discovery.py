"""The watch on discovery: calls in a row on one connection, each with a time-out of its own."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial

import httptools

from cloverrouter.membership.watching import Asking, Ledger, Question, asking_pushed
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
from cloverrouter.proxy.wake import wake_of

CONNECT_S = 1.0
MOST_BYTES = 4 * 1024 * 1024
# An empty answer sooner than this is from an agent that does not wait: it is not to be asked in a loop.
HASTY_S = 0.05
PAUSE_S = 0.1  # well within the 200 ms after which a watch has ended
STEPS = 3  # of the loop, in which what lies here is read and handed on
ARRIVES_S = 0.1  # for an answer that is on its way as its time is over, and for the rest of one
STOOD_S = 0.5
# A call that is given up is heard for so long: what a silent watch misses counts as told by then, anyway.
LATE_S, MOST_LATE = 6.0, 2
PUSHED_PAUSE_S = 0.1  # after a call that failed
Call = asyncio.Task[tuple[int, bytes]]
log = logging.getLogger(__name__)


class DiscoveryError(Exception):
    """A call brought no list."""


class _Reply:
    """What httptools tells of one answer."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.complete = False
        self.keep = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep = self.parser.should_keep_alive()


class Line:
    """The way to one address: the connection there, and the call that is out on it.

    Danger: a call that is called off goes on for a step or two. It may connect or hear something in them, and
    where two calls shared a connection, the next one would be made at the former address. So each address has
    a line of its own, and what a closed one still brings is dropped.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.heard = False  # something of the answer has come
        self._wake = wake_of(asyncio.get_running_loop())
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._ended = False

    async def get(self, target: str) -> tuple[int, bytes]:
        self.heard = False
        streams = await self.connected()
        reader, writer = streams
        host, port = self.address
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        reply = _Reply()
        while not reply.complete:
            data = await reader.read(65536)
            if not data:
                raise EOFError("the answer ended early")
            self.heard = True
            reply.parser.feed_data(data)
            if len(reply.body) > MOST_BYTES:
                raise DiscoveryError("the answer does not end")
        if not reply.keep and self._streams is streams:
            self.hang_up()
        return reply.parser.get_status_code(), bytes(reply.body)

    async def connected(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is not None:
            return self._streams
        async with self._wake.patience(CONNECT_S):
            streams = await asyncio.open_connection(*self.address)
        if self._ended:
            streams[1].close()
            raise DiscoveryError("called off")
        self._streams = streams
        return streams

    def hang_up(self) -> None:
        """The next call gets a new connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    def let_go(self) -> asyncio.StreamWriter | None:
        """The next call gets a new connection, and the one that is out keeps its own; None if it has none."""
        streams, self._streams = self._streams, None
        return streams[1] if streams is not None else None

    def end(self) -> None:
        """There is no next call."""
        self._ended = True
        self.hang_up()


class Watch:
    """Keeps a list up to date.

    `on_list` gets each whole answer; `on_failure` is told of a failed call, after which nothing is
    asked until the next `start`, unless the list is pushed: then the watch goes on by itself.
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
        """`drain_grace_s`: after a drain was told, the time in which a server may still be sent requests."""
        self._line = Line(address)
        self._clock = clock
        self._pushed = pushed
        self._on_list = on_list
        self._on_failure = on_failure
        self._wake = wake_of(asyncio.get_running_loop())
        self._errors = contained_errors_of(asyncio.get_running_loop())
        self._task: asyncio.Task[None] | None = None
        self._out: Call | None = None
        self._stopped = False
        self._late: list[Call] = []  # given up; what they bring is still heard
        self.asking = asking_pushed(drain_grace_s) if pushed else Asking()
        self._ledger = Ledger()
        self._entries: dict[str, HostEntry] = {}  # as last read

    def resume(self, version: int, entries: Iterable[HostEntry] = ()) -> None:
        """Go on from a list that is known already; from `NO_VERSION`, by asking for the whole one."""
        self._entries = {entry.listed.name: entry for entry in entries}
        if version == NO_VERSION:
            return
        self.asking.version = version
        self._ledger = Ledger(version)

    def start(self) -> None:
        """Ask, if it does not yet; never again after `stop`."""
        if not self._stopped and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._run(self._line))

    def move(self, address: Address) -> None:
        """Ask at another address from now on, first for the whole list: versions are not shared.

        Danger: a call that is out may go on waiting at the old address while its list grows stale.
        """
        if self._out is not None:
            self._keep(self._line, self._out, None)
        self._stop()
        self._line = Line(address)
        self.asking, self._ledger = Asking(self.asking.hold_s, self.asking.grace_most_s), Ledger()
        self.start()

    def stop(self) -> None:
        """Ask no more. Danger: the decisions go on for the last steps of the process, and may ask for a list:
        a call that began then would be cut off, and said to be lost, as the loop closes."""
        self._stopped = True
        self._drop_late()
        self._stop()

    def _stop(self) -> None:
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
        self._line.end()

    def _keep(self, line: Line, call: Call, asked: Question | None) -> None:
        """Hear what a call brings that is given up; `asked` None: at an address that is left.

        Danger: what discovery has written counts as told. A service that works through its calls in turn may
        be writing the answer as it is given up on, and the next call waits in turn for seconds.
        """
        writer = line.let_go()
        if writer is None or call.done():
            return  # nothing can come, or it is looked at in this step
        self._late.append(call)
        over = asyncio.get_running_loop().call_later(LATE_S, call.cancel)

        def done(call: Call) -> None:
            over.cancel()
            writer.close()
            if call not in self._late:
                return
            self._late.remove(call)
            if not call.cancelled() and call.exception() is None and call.result()[0] == 200:
                self._errors.run("late_list", partial(self._hear_late, call.result()[1], asked))

        call.add_done_callback(done)
        while len(self._late) > MOST_LATE:
            self._late.pop(0).cancel()

    def _hear_late(self, body: bytes, asked: Question | None) -> None:
        """Nothing newer has come since. Of a former address only what is to be left counts."""
        try:
            message = json.loads(body)
        except ValueError:
            return
        found = None
        if asked is not None:
            with suppress(ValueError):
                found = read_list(message, self._clock, self._entries)
        if found is not None and asked is not None and (found.full or asked.version is not None):
            log.info("discovery: an answer came late, and is heard")
            self._on_list(self._ledger.take(found))
        elif (left := read_departures(message, self._clock)) is not None:
            self._on_list(left)

    def _drop_late(self) -> None:
        late, self._late = self._late, []
        for call in late:
            call.cancel()

    def _took_s(self, asked_s: float, ran_s: float) -> float:
        """Discovery is not late for as long as this process stood still; small gaps are part of its rhythm,
        since the time that it is given does not leave them out either."""
        now_s = asyncio.get_running_loop().time()
        stood_s = now_s - asked_s - (self._wake.ran_s(now_s) - ran_s)
        return now_s - asked_s - (stood_s if stood_s > STOOD_S else 0.0)

    async def _run(self, line: Line) -> None:
        while True:
            asked, asked_s = self.asking.question(), asyncio.get_running_loop().time()
            ran_s = self._wake.ran_s(asked_s)
            try:
                found = await self._call(line, asked)
                took_s = self._took_s(asked_s, ran_s)
                self._drop_late()
                self.asking.answered(asked, took_s, found.version, bool(found.entries))
                self._on_list(self._ledger.take(found))
            except Exception as error:
                # An answer that can't be read, or a list that can't be applied, in a way nobody thought of
                # would end the watch for good. The node itself tells of crashes of the module.
                if line is not self._line:
                    return  # moved in this step: it says nothing about the new place
                log.warning("discovery: %s: %s", type(error).__name__, error)
                line.hang_up()
                self.asking.failed(isinstance(error, OSError | EOFError | DiscoveryError))
                self._on_failure()
                if not self._pushed:
                    return
                # Danger: what a silent agent gets at discovery's return counts as told at once. It is asked
                # at no cost, and waiting for longer each time would use up a drain's grace.
                await asyncio.sleep(PUSHED_PAUSE_S)
                continue
            if not found.entries and asked.hold_s and took_s < HASTY_S:
                await asyncio.sleep(PAUSE_S)

    async def _call(self, line: Line, asked: Question) -> HostList:
        target = "/v1/servers"
        if asked.version is not None:
            target = f"{target}?from={asked.version}&hold_ms={asked.hold_s * 1000:.0f}"
        if not self._pushed and not asked.hold_s:
            # Danger: a service that is back, and slow to take connections, is given up on before it is asked.
            # A call that may wait is not given this time: the sum of all of its times is due after 6 s; nor
            # is one to an agent, which is on this machine.
            await line.connected()
        call = self._out = asyncio.get_running_loop().create_task(line.get(target))
        try:
            async with self._wake.patience(asked.hold_s + asked.grace_s):
                status, body = await asyncio.shield(call)
        except TimeoutError:
            # Danger: what discovery has written counts as told. An answer that is read in the same step in
            # which its time is over would be lost, and with it a drain, until the next call. Of a slow
            # service, one of eight that would have been given up on came within this time.
            await asyncio.wait([call], timeout=ARRIVES_S)
            for _ in range(STEPS):
                await asyncio.sleep(0)
            if not call.done() and line.heard:
                await asyncio.wait([call], timeout=ARRIVES_S)
            if not call.done():
                self._keep(line, call, asked)
                raise
            status, body = call.result()
        finally:
            if call not in self._late:
                call.cancel()
            if self._out is call:
                self._out = None
        if status != 200:
            raise DiscoveryError(f"answered {status}")
        message = json.loads(body)
        try:
            found = read_list(message, self._clock, self._entries)
        except ValueError:
            if (left := read_departures(message, self._clock)) is not None:
                self._on_list(left)
            raise
        if asked.version is None and not found.full:
            raise ValueError("changes came for the whole list")
        return found
