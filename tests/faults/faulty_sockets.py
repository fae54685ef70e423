"""Make system calls on sockets of a real proxy process fail. Installed before the program starts.

The plan is a JSON file with a list of `Fault`, read again at SIGUSR1. `PROXY_FAULTS` names the file; its copy
with the suffix `.in-force` shows which plan is in force.
"""

from __future__ import annotations

import errno
import json
import os
import random as random_module
import select
import selectors
import signal
import socket
import sys
from pathlib import Path
from typing import Any, NamedTuple

CLIENTS_PORT = 3000  # `lab.process.own_address`; servers and discovery have others
SOCKET_CALLS = (
    "accept", "connect", "send", "recv", "recv_into", "shutdown", "setsockopt", "getsockopt", "getpeername",
)  # fmt: skip
SELECTOR_CALLS = ("register", "modify")
SHORT_SIZES = (1, 3, 50, 4000, 65536)


class Fault(NamedTuple):
    """A system call that fails. `side`: "clients" or "servers", by whose connection it is made on."""

    call: str
    error: str  # name of the error, as in errno(3)
    side: str
    share: float = 1.0  # fraction of the calls that fail


class Plan:
    """The faults in force."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._faults: dict[tuple[str, str], Fault] = {}
        self._random = random_module.Random(1)
        self.load()
        signal.signal(signal.SIGUSR1, lambda number, frame: self.load())

    def load(self) -> None:
        text = self._path.read_text()
        self._faults = {(fields[0], fields[2]): Fault(*fields) for fields in json.loads(text)}
        self._path.with_suffix(".in-force").write_text(text)

    def check(self, call: str, descriptor: Any) -> None:
        """Raise the error that is planned for `call` on this socket."""
        if self._faults:
            self.check_side(call, side_of(descriptor))

    def check_side(self, call: str, side: str) -> None:
        fault = self._faults.get((call, side))
        if fault is not None and self._random.random() < fault.share:
            number = getattr(errno, fault.error)
            raise OSError(number, os.strerror(number))


def side_of(sock: Any) -> str:
    try:
        port = sock.getsockname()[1]
    except (OSError, AttributeError, IndexError):
        return "none"
    return "clients" if port == CLIENTS_PORT else "servers"


def install(plan: Plan) -> None:
    for name in SOCKET_CALLS:
        _wrap_socket_call(plan, name)
    for name in SELECTOR_CALLS:
        _wrap_selector_call(plan, name)
    _wrap_listening(plan)
    _wrap_close(plan)
    _wrap_new_socket(plan)
    _wrap_poll(plan)


def shorten_io() -> None:
    """Limit send and recv_into to a few bytes at a time, as a kernel with full buffers may."""
    random = random_module.Random(2)
    send, recv_into = socket.socket.send, socket.socket.recv_into

    def short_send(self: socket.socket, data: Any, *args: Any) -> int:
        with memoryview(data) as view:
            # Copied: an error's traceback would keep a view alive, and asyncio could not clear its buffer.
            piece = bytes(view[: random.choice(SHORT_SIZES)])
        return send(self, piece, *args)

    def short_recv_into(self: socket.socket, buffer: Any, *args: Any) -> int:
        return recv_into(self, memoryview(buffer)[: random.choice(SHORT_SIZES)], *args)

    socket.socket.send = short_send  # type: ignore[assignment, method-assign]
    socket.socket.recv_into = short_recv_into  # type: ignore[assignment, method-assign]


def _wrap_socket_call(plan: Plan, name: str) -> None:
    real = getattr(socket.socket, name)

    def call(self: socket.socket, *args: Any) -> Any:
        plan.check(name, self)
        return real(self, *args)

    setattr(socket.socket, name, call)


def _wrap_selector_call(plan: Plan, name: str) -> None:
    """Make epoll_ctl(2) fail: ENOMEM, or ENOSPC at the limit on watches per user."""
    real = getattr(selectors.DefaultSelector, name)

    def call(self: Any, fileobj: Any, *args: Any) -> Any:
        if isinstance(fileobj, int):
            try:
                with socket.socket(fileno=os.dup(fileobj)) as same:
                    plan.check(name, same)
            except OSError as error:
                if error.errno in (errno.ENOMEM, errno.ENOSPC):
                    raise
        else:
            plan.check(name, fileobj)
        return real(self, fileobj, *args)

    setattr(selectors.DefaultSelector, name, call)


def _wrap_listening(plan: Plan) -> None:
    """Wrap bind and listen. An unbound socket has no side yet; only the side of the clients listens."""
    for name in ("bind", "listen"):
        real = getattr(socket.socket, name)

        def call(self: socket.socket, *args: Any, name: str = name, real: Any = real) -> Any:
            plan.check_side(name, "clients")
            return real(self, *args)

        setattr(socket.socket, name, call)


def _wrap_close(plan: Plan) -> None:
    """Wrap close; the descriptor is released even if close(2) returns an error."""
    real = socket.socket.close

    def call(self: socket.socket) -> None:
        side = side_of(self) if self.fileno() >= 0 else "none"
        real(self)
        plan.check_side("close", side)

    socket.socket.close = call  # type: ignore[method-assign, assignment]


def _wrap_new_socket(plan: Plan) -> None:
    real = socket.socket.__init__

    def init(self: Any, *args: Any, **named: Any) -> None:
        if named.get("fileno") is None and len(args) < 4:
            plan.check_side("socket", "servers")
        real(self, *args, **named)

    socket.socket.__init__ = init  # type: ignore[method-assign]


def _wrap_poll(plan: Plan) -> None:
    real = select.poll

    class Poller:
        def __init__(self) -> None:
            self._real = real()

        def register(self, sock: Any, *args: Any) -> None:
            self._sock = sock
            self._real.register(sock, *args)

        def poll(self, *args: Any) -> Any:
            plan.check("poll", self._sock)
            return self._real.poll(*args)

    select.poll = Poller  # type: ignore[assignment, misc]


def main() -> int:
    install(Plan(Path(os.environ["PROXY_FAULTS"])))
    if os.environ.get("PROXY_SHORT_IO"):
        shorten_io()
    from cloverrouter.proxy.__main__ import (
        main as start,
    )  # processes of an upgrade find each other

    return start()


if __name__ == "__main__":
    sys.exit(main())
