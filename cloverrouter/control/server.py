"""Server of the control socket: access control, and limits on what one connection may use.

It dispatches requests to the registered commands and sends their answers. No client can interrupt the proxy's
own traffic: descriptors, line lengths, queues, request rates and the time for a partial line are bounded.
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
from cloverrouter.control.protocol import BadLine, LineBuffer, LineTooLong, Request, encode, error
from cloverrouter.seams import CommandError, Commands, Json, Operator, validate_arguments

BACKLOG = 16
MAX_ACCEPTS_PER_STEP = 16  # then the event loop handles other work
ACCEPT_PAUSE_S = 0.05
ACCEPT_ERROR_PAUSE_S = 1.0
MAX_PENDING_REQUESTS = 32  # requests queued on a connection; at this number reading pauses
MAX_QUEUED_LINES = 512  # pending requests and the lines of one read; above it the connection is closed
MAX_BAD_LINES = 8  # then the client uses another protocol
REQUESTS_PER_S, BURST_REQUESTS = 25.0, 50.0  # of one connection
UNFINISHED_S = 10.0  # timeout of a partial line
BYE_TIMEOUT_S = 2.0  # for a client that does not read its last line
SEND_BUFFER_BYTES = 32 * 1024  # kernel buffer for a slow reader, beyond the queue in the process
log = logging.getLogger(__name__)


class ControlError(Exception):
    """The socket can't be opened; the text names the cause and the remedy."""


def peer_of(sock: socket.socket) -> Operator:
    """Return the peer's credentials from the kernel (SO_PEERCRED, unix(7))."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    pid, uid, _gid = struct.unpack("3i", credentials)
    try:
        name = pwd.getpwuid(uid).pw_name
    except KeyError:
        name = f"uid{uid}"
    return Operator(uid, pid, name)


def open_socket(path: Path) -> socket.socket:
    """Return a listening socket in a folder that only this user can enter. Raises `ControlError`.

    The folder's mode denies access to others also in the moment between bind and chmod of the socket.
    """
    folder = path.parent
    try:
        folder.mkdir(mode=0o700, exist_ok=True)
        folder_stat = folder.stat()
    except OSError as exc:
        remedy = "name a folder that the proxy can make or enter"
        raise ControlError(f"{folder}: {exc.strerror}; {remedy}") from exc
    if not stat.S_ISDIR(folder_stat.st_mode):
        raise ControlError(f"{folder} is no folder; name another, or remove what is there")
    if folder_stat.st_uid != os.geteuid():
        raise ControlError(f"{folder} belongs to user {folder_stat.st_uid}; it must belong to {os.geteuid()}")
    if folder_stat.st_mode & 0o077:
        raise ControlError(f"{folder} can be entered by others; chmod 0700 {folder}")
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        _remove_stale(path)
        listener.setblocking(False)
        listener.bind(str(path))
        path.chmod(0o600)
        listener.listen(BACKLOG)
    except OSError as exc:
        listener.close()
        raise ControlError(f"{path}: {exc.strerror or exc}") from exc
    except ControlError:
        listener.close()
        raise
    return listener


def _remove_stale(path: Path) -> None:
    """Remove the socket that a killed proxy left behind, unless a running proxy still listens on it."""
    try:
        if not stat.S_ISSOCK(path.lstat().st_mode):
            raise ControlError(f"{path} is no socket; remove it, or name another folder")
    except FileNotFoundError:
        return
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        try:
            probe.connect(str(path))
        except OSError as exc:
            if exc.errno == errno.ECONNREFUSED:
                path.unlink()
                return
            if exc.errno != errno.EAGAIN:  # a full backlog: a proxy is listening
                raise
    raise ControlError(f"another proxy listens at {path}; name another folder for this one")


class Client(asyncio.Protocol):
    """One connection. Its requests are executed one after the other."""

    def __init__(self, server: Server, operator: Operator) -> None:
        self._server = server
        self.operator = operator
        self._lines = LineBuffer()
        self._pending: deque[bytes] = deque()
        self._bad_lines = 0
        self._eof = False
        self._worker: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._ended = False
        self._line_timer: asyncio.TimerHandle | None = None
        self._followers: list[Callable[[Json], None]] = []
        self._tokens, self._tokens_at_s = BURST_REQUESTS, server.loop.time()
        self._reading_paused = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.clients.add(self)
        self._send({"hello": "cloverrouter", "name": self._server.name, "boot": self._server.boot})

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport, self._ended = None, True
        self._server.clients.discard(self)
        for follower in self._followers:
            self._server.events.followers.discard(follower)
        if self._line_timer is not None:
            self._line_timer.cancel()
        self._pending.clear()
        # The command in execution completes: a drain stays in force after its operator disconnects.

    def data_received(self, data: bytes) -> None:
        if self._ended:
            return
        count = 0
        try:
            for line in self._lines.feed(data):
                count += 1
                # A megabyte of short or empty lines, processed at once, would block the event loop.
                if count + len(self._pending) > MAX_QUEUED_LINES:
                    self.disconnect(
                        "too_many", f"at most {MAX_QUEUED_LINES} requests may wait on a connection"
                    )
                    return
                if line.strip():
                    self._pending.append(line)
        except LineTooLong:
            self.disconnect("line_too_long", f"a line has at most {protocol.MAX_LINE_BYTES} bytes")
            return
        # The timeout counts from a line's first byte: sending single bytes does not extend it.
        if self._line_timer is not None and (count or not self._lines.has_partial_line):
            self._line_timer.cancel()
            self._line_timer = None
        if self._lines.has_partial_line and self._line_timer is None:
            self._line_timer = self._server.loop.call_later(UNFINISHED_S, self._on_line_timeout)
        self._update_reading()
        if self._pending and self._worker is None:
            self._worker = self._server.loop.create_task(self._process_requests())

    def eof_received(self) -> bool:
        self._eof = True
        return self._worker is not None  # stay open until the pending answers are sent

    # Requests

    async def _process_requests(self) -> None:
        while self._pending and not self._ended:
            await self._wait_for_token()
            if not self._pending:
                break
            line = self._pending.popleft()
            self._update_reading()
            try:
                request = protocol.decode(line)
            except BadLine as exc:
                failure = error(exc.code, exc.text, exc.right)
                self._send({"id": exc.request_id, "ok": False, "error": failure})
                self._bad_lines += 1
                if self._bad_lines >= MAX_BAD_LINES:
                    self.disconnect("bad_lines", f"{MAX_BAD_LINES} lines were not valid requests")
            else:
                await self._execute(request)
        self._worker = None
        if self._eof and self._transport is not None:
            self._transport.close()

    async def _wait_for_token(self) -> None:
        """Apply the rate limit: a script that sends requests in a loop must not starve the proxy itself."""
        now_s = self._server.loop.time()
        self._tokens = min(BURST_REQUESTS, self._tokens + (now_s - self._tokens_at_s) * REQUESTS_PER_S)
        self._tokens_at_s = now_s
        self._tokens -= 1
        if self._tokens < 0:
            await asyncio.sleep(-self._tokens / REQUESTS_PER_S)

    async def _execute(self, request: Request) -> None:
        try:
            command = self._server.commands.by_name.get(request.do)
            if command is None:
                known = ", ".join(sorted(self._server.commands.by_name))
                raise CommandError(
                    "no_command", f"no command is named {request.do[:40]!r}", f"known: {known}"
                )
            arguments = validate_arguments(command, request.args)
            answer = command.run(self.operator, arguments)
            result = await answer if inspect.isawaitable(answer) else answer
        except CommandError as exc:
            failure = error(exc.code, exc.text, exc.right, **exc.more)
            self._send({"id": request.id, "ok": False, "error": failure})
            return
        except Exception as exc:
            # An error in a command's handler fails this request only. Errors in the decision logic are not
            # caught here: on these the node ends the process itself.
            log.exception("control: %s failed", request.do)
            self._send({"id": request.id, "ok": False, "error": error("internal", repr(exc))})
            return
        self._send({"id": request.id, "ok": True, "result": result})
        if request.do == "events" and arguments["follow"] and not self._ended:
            self._follow(request.id)

    def _follow(self, request_id: int | str) -> None:
        def follower(event: Json) -> None:
            self._send({"id": request_id, "event": event})

        if len(self._followers) >= 4:
            self.disconnect("too_many", "a connection follows at most 4 times")
            return
        self._followers.append(follower)
        self._server.events.followers.add(follower)

    # Limits

    def _send(self, message: Json) -> None:
        if self._transport is None or self._ended:
            return
        self._transport.write(encode(message))
        # A client that stops reading would make the queue grow with every event.
        if self._transport.get_write_buffer_size() > self._server.max_queued_bytes:
            self.disconnect("slow_reader", "the client reads too slowly: its output queue is over the limit")

    def _update_reading(self) -> None:
        """Pause reading while `MAX_PENDING_REQUESTS` are queued."""
        pause = len(self._pending) >= MAX_PENDING_REQUESTS
        if self._transport is not None and pause is not self._reading_paused:
            self._reading_paused = pause
            if pause:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _on_line_timeout(self) -> None:
        self.disconnect("unfinished", f"a line must be complete within {UNFINISHED_S:g} s")

    def disconnect(self, code: str, text: str) -> None:
        """Send a last line with the reason and close; abort if it is not read within `BYE_TIMEOUT_S`."""
        if self._ended or self._transport is None:
            return
        self._ended = True
        self._pending.clear()
        log.warning("control: %s is dismissed: %s", self.operator, code)
        self._server.disconnects += 1
        self._transport.write(encode({"bye": code, "text": text}))
        self._transport.close()
        self._server.loop.call_later(BYE_TIMEOUT_S, self._transport.abort)


class Server:
    """The listening socket and its clients."""

    def __init__(
        self,
        name: str,
        boot: str,
        path: Path,
        commands: Commands,
        events: Events,
        max_clients: int,
        max_queued_bytes: int,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.name, self.boot, self.path = name, boot, path
        self.commands, self.events = commands, events
        self.max_queued_bytes = max_queued_bytes
        self.clients: set[Client] = set()
        self.disconnects = 0
        self._max_clients = max_clients
        self._starting: set[asyncio.Task[None]] = set()
        self._listener: socket.socket | None = None
        self._allowed_uids = {0, os.geteuid()}

    def listen(self) -> None:
        """Open the socket and accept connections. Raises `ControlError`."""
        self._listener = open_socket(self.path)
        self.loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        """Accept a few connections, then pause; each one over the limit is rejected before the next accept.

        A thousand connects at once must not use up the descriptors that requests need, nor the loop's time.
        """
        for _ in range(MAX_ACCEPTS_PER_STEP):
            assert self._listener is not None
            try:
                sock, _address = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                log.error("control: accept: %s", exc)
                self._pause_accepting(ACCEPT_ERROR_PAUSE_S)
                return
            self._admit(sock)
        self._pause_accepting(ACCEPT_PAUSE_S)

    def _pause_accepting(self, seconds: float) -> None:
        assert self._listener is not None
        self.loop.remove_reader(self._listener)
        self.loop.call_later(seconds, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._listener is not None:
            self.loop.add_reader(self._listener, self._accept)

    def _admit(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        operator = peer_of(sock)
        if operator.uid not in self._allowed_uids:
            log.warning("control: %s may not connect", operator)
            self._reject(sock, "not_allowed", f"user {operator.name} may not control this proxy")
        elif len(self.clients) + len(self._starting) >= self._max_clients:
            self._reject(sock, "too_many", f"{self._max_clients} clients are connected already")
        else:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            task = self.loop.create_task(self._start_client(sock, operator))
            self._starting.add(task)
            task.add_done_callback(self._starting.discard)

    def _reject(self, sock: socket.socket, code: str, text: str) -> None:
        with sock, suppress(OSError):  # the peer may have closed already
            sock.send(encode({"bye": code, "text": text}))

    async def _start_client(self, sock: socket.socket, operator: Operator) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: Client(self, operator), sock)
        except OSError:
            sock.close()

    def close(self) -> None:
        """Stop listening, remove the socket and disconnect all clients."""
        listener, self._listener = self._listener, None
        if listener is None:
            return
        self.loop.remove_reader(listener)
        listener.close()
        self.path.unlink(missing_ok=True)
        for client in list(self.clients):
            client.disconnect("ending", "the proxy is ending")
