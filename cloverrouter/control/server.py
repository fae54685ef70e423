"""The control socket: who may connect, and how much of the proxy one connection may take up.

It carries lines to commands and answers back, and decides nothing about either. Whatever a client does,
requests go on being served: descriptors, lines, queues, rates and unfinished time are bounded.
"""

from __future__ import annotations

import asyncio
import errno
import inspect
import logging
import os
import pwd
import socket
import stat
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import cast

from cloverrouter.control import protocol
from cloverrouter.control.events import Events
from cloverrouter.control.protocol import Asked, BadLine, Lines, LineTooLong, encode, error
from cloverrouter.seams import CommandError, Commands, Json, Operator, checked

BACKLOG = 16
ACCEPTED_AT_ONCE = 16  # then requests have their turn
ACCEPT_PAUSE_S = 0.05
NO_SOCKET_PAUSE_S = 1.0
MOST_PENDING = 32  # requests that wait behind one that is being carried out; then nothing more is read
MOST_WAITING = 512  # of what one read may bring
MOST_BAD_LINES = 8  # then whoever this is speaks something else
RATE_PER_S, BURST = 25.0, 50.0  # requests of one connection
UNFINISHED_S = 10.0  # for a line that has begun
FAREWELL_S = 2.0  # for a last word that is not being read
KERNEL_BUFFER = 32 * 1024  # what the kernel holds for a reader beyond our own queue
log = logging.getLogger(__name__)


class ControlError(Exception):
    """The socket can't be opened; the text says what is wrong and what would be right."""


def peer_of(sock: socket.socket) -> Operator:
    """Who is at the other end, as the kernel vouches for it (SO_PEERCRED, unix(7))."""
    found = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    pid, uid, _gid = struct.unpack("3i", found)
    try:
        name = pwd.getpwuid(uid).pw_name
    except KeyError:
        name = f"uid{uid}"
    return Operator(uid, pid, name)


def open_socket(path: Path) -> socket.socket:
    """The listening socket in a folder of our own. Raises `ControlError`.

    The folder keeps others out, whatever the socket's mode is for the moment between bind and chmod.
    """
    folder = path.parent
    try:
        folder.mkdir(mode=0o700, exist_ok=True)
        found = folder.stat()
    except OSError as wrong:
        right = "name a folder that the proxy can make or enter"
        raise ControlError(f"{folder}: {wrong.strerror}; {right}") from wrong
    if not stat.S_ISDIR(found.st_mode):
        raise ControlError(f"{folder} is no folder; name another, or remove what is there")
    if found.st_uid != os.geteuid():
        raise ControlError(f"{folder} belongs to user {found.st_uid}; it must belong to {os.geteuid()}")
    if found.st_mode & 0o077:
        raise ControlError(f"{folder} can be entered by others; chmod 0700 {folder}")
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        _remove_stale(path)
        listener.setblocking(False)
        listener.bind(str(path))
        path.chmod(0o600)
        listener.listen(BACKLOG)
    except OSError as wrong:
        listener.close()
        raise ControlError(f"{path}: {wrong.strerror or wrong}") from wrong
    except ControlError:
        listener.close()
        raise
    return listener


def _remove_stale(path: Path) -> None:
    """A killed proxy leaves its socket behind. Danger: a living one's must not be taken away."""
    try:
        if not stat.S_ISSOCK(path.lstat().st_mode):
            raise ControlError(f"{path} is no socket; remove it, or name another folder")
    except FileNotFoundError:
        return
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        try:
            probe.connect(str(path))
        except OSError as wrong:
            if wrong.errno == errno.ECONNREFUSED:
                path.unlink()
                return
            if wrong.errno != errno.EAGAIN:  # its backlog is full: it lives
                raise
    raise ControlError(f"another proxy listens at {path}; name another folder for this one")


class Client(asyncio.Protocol):
    """One connection. Its requests are carried out one after the other."""

    def __init__(self, server: Server, who: Operator) -> None:
        self._server = server
        self.who = who
        self._lines = Lines()
        self._pending: deque[bytes] = deque()
        self._bad_lines = 0
        self._eof = False
        self._worker: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._ended = False
        self._unfinished: asyncio.TimerHandle | None = None
        self._following: list[Callable[[Json], None]] = []
        self._tokens, self._tokens_s = BURST, server.loop.time()
        self._held = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.clients.add(self)
        self._send({"hello": "cloverrouter", "name": self._server.name, "boot": self._server.boot})

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport, self._ended = None, True
        self._server.clients.discard(self)
        for follower in self._following:
            self._server.events.followers.discard(follower)
        if self._unfinished is not None:
            self._unfinished.cancel()
        self._pending.clear()
        # What is being carried out goes on: a drain whose operator has left is still a drain.

    def data_received(self, data: bytes) -> None:
        if self._ended:
            return
        count = 0
        try:
            for line in self._lines.feed(data):
                count += 1
                # Danger: a megabyte of short or empty lines, taken in at once, would stop the loop.
                if count + len(self._pending) > MOST_WAITING:
                    self.dismiss("too_many", f"at most {MOST_WAITING} requests may wait on a connection")
                    return
                if line.strip():
                    self._pending.append(line)
        except LineTooLong:
            self.dismiss("line_too_long", f"a line has at most {protocol.MOST_LINE} bytes")
            return
        # A line's time counts from its first byte: a byte now and then does not prolong it.
        if self._unfinished is not None and (count or not self._lines.unfinished):
            self._unfinished.cancel()
            self._unfinished = None
        if self._lines.unfinished and self._unfinished is None:
            self._unfinished = self._server.loop.call_later(UNFINISHED_S, self._too_slow)
        self._hold_or_go_on()
        if self._pending and self._worker is None:
            self._worker = self._server.loop.create_task(self._work())

    def eof_received(self) -> bool:
        self._eof = True
        return self._worker is not None  # answers that are owed still go out

    # Requests

    async def _work(self) -> None:
        while self._pending and not self._ended:
            await self._wait_for_turn()
            if not self._pending:
                break
            line = self._pending.popleft()
            self._hold_or_go_on()
            try:
                asked = protocol.decode(line)
            except BadLine as wrong:
                told = error(wrong.code, wrong.text, wrong.right)
                self._send({"id": wrong.request_id, "ok": False, "error": told})
                self._bad_lines += 1
                if self._bad_lines >= MOST_BAD_LINES:
                    self.dismiss("bad_lines", f"{MOST_BAD_LINES} lines were no requests")
            else:
                await self._carry_out(asked)
        self._worker = None
        if self._eof and self._transport is not None:
            self._transport.close()

    async def _wait_for_turn(self) -> None:
        """Danger: a script that asks without a pause would take the core away from the requests."""
        now_s = self._server.loop.time()
        self._tokens = min(BURST, self._tokens + (now_s - self._tokens_s) * RATE_PER_S)
        self._tokens_s = now_s
        self._tokens -= 1
        if self._tokens < 0:
            await asyncio.sleep(-self._tokens / RATE_PER_S)

    async def _carry_out(self, asked: Asked) -> None:
        try:
            command = self._server.commands.by_name.get(asked.do)
            if command is None:
                known = ", ".join(sorted(self._server.commands.by_name))
                raise CommandError("no_command", f"no command is named {asked.do[:40]!r}", f"known: {known}")
            arguments = checked(command, asked.args)
            answer = command.run(self.who, arguments)
            result = await answer if inspect.isawaitable(answer) else answer
        except CommandError as wrong:
            told = error(wrong.code, wrong.text, wrong.right, **wrong.more)
            self._send({"id": asked.id, "ok": False, "error": told})
            return
        except Exception as wrong:
            # A fault in a command's shell costs its answer, not the requests. The decisions' own crashes
            # never come by here: the node ends the program itself.
            log.exception("control: %s failed", asked.do)
            self._send({"id": asked.id, "ok": False, "error": error("internal", repr(wrong))})
            return
        self._send({"id": asked.id, "ok": True, "result": result})
        if asked.do == "events" and arguments["follow"] and not self._ended:
            self._follow(asked.id)

    def _follow(self, request_id: int | str) -> None:
        def follower(event: Json) -> None:
            self._send({"id": request_id, "event": event})

        if len(self._following) >= 4:
            self.dismiss("too_many", "a connection follows at most 4 times")
            return
        self._following.append(follower)
        self._server.events.followers.add(follower)

    # Bounds

    def _send(self, message: Json) -> None:
        if self._transport is None or self._ended:
            return
        self._transport.write(encode(message))
        # Danger: a reader that has stopped makes the queue grow with every event.
        if self._transport.get_write_buffer_size() > self._server.most_queued:
            self.dismiss("slow_reader", "you read too slowly: what waited for you was over the limit")

    def _hold_or_go_on(self) -> None:
        """Read no more while enough waits."""
        hold = len(self._pending) >= MOST_PENDING
        if self._transport is not None and hold is not self._held:
            self._held = hold
            if hold:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _too_slow(self) -> None:
        self.dismiss("unfinished", f"a line must be whole within {UNFINISHED_S:g} s")

    def dismiss(self, code: str, text: str) -> None:
        """A last word, then the end; if it is not read in time, the end without it."""
        if self._ended or self._transport is None:
            return
        self._ended = True
        self._pending.clear()
        log.warning("control: %s is dismissed: %s", self.who, code)
        self._server.dismissed += 1
        self._transport.write(encode({"bye": code, "text": text}))
        self._transport.close()
        self._server.loop.call_later(FAREWELL_S, self._transport.abort)


class Server:
    """The listening socket and its clients."""

    def __init__(
        self,
        name: str,
        boot: str,
        path: Path,
        commands: Commands,
        events: Events,
        most_clients: int,
        most_queued: int,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.name, self.boot, self.path = name, boot, path
        self.commands, self.events = commands, events
        self.most_queued = most_queued
        self.clients: set[Client] = set()
        self.dismissed = 0
        self._most_clients = most_clients
        self._adopting: set[asyncio.Task[None]] = set()
        self._listener: socket.socket | None = None
        self._may_connect = {0, os.geteuid()}

    def listen(self) -> None:
        """Raises `ControlError`."""
        self._listener = open_socket(self.path)
        self.loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        """Danger: a thousand connects at once must not take the descriptors that requests need, nor the
        loop's time: a few are taken in, one over the limit is told so and closed before the next."""
        for _ in range(ACCEPTED_AT_ONCE):
            assert self._listener is not None
            try:
                sock, _address = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as wrong:
                log.error("control: accept: %s", wrong)
                self._pause(NO_SOCKET_PAUSE_S)
                return
            self._take_in(sock)
        self._pause(ACCEPT_PAUSE_S)

    def _pause(self, seconds: float) -> None:
        assert self._listener is not None
        self.loop.remove_reader(self._listener)
        self.loop.call_later(seconds, self._resume)

    def _resume(self) -> None:
        if self._listener is not None:
            self.loop.add_reader(self._listener, self._accept)

    def _take_in(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        who = peer_of(sock)
        if who.uid not in self._may_connect:
            log.warning("control: %s may not connect", who)
            self._turn_away(sock, "not_allowed", f"user {who.name} may not control this proxy")
        elif len(self.clients) + len(self._adopting) >= self._most_clients:
            self._turn_away(sock, "too_many", f"{self._most_clients} clients are connected already")
        else:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER)
            task = self.loop.create_task(self._adopt(sock, who))
            self._adopting.add(task)
            task.add_done_callback(self._adopting.discard)

    def _turn_away(self, sock: socket.socket, code: str, text: str) -> None:
        with sock, suppress(OSError):  # it may have left already
            sock.send(encode({"bye": code, "text": text}))

    async def _adopt(self, sock: socket.socket, who: Operator) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: Client(self, who), sock)
        except OSError:
            sock.close()

    def close(self) -> None:
        listener, self._listener = self._listener, None
        if listener is None:
            return
        self.loop.remove_reader(listener)
        listener.close()
        self.path.unlink(missing_ok=True)
        for client in list(self.clients):
            client.dismiss("ending", "the proxy is ending")
