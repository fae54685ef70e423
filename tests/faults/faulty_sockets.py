"""Make system calls on sockets of a real proxy process fail. Loaded into it ahead of the program.

The plan is a JSON file, read anew at SIGUSR1: a list of `Fault`. `PROXY_FAULTS` names the file; its copy with
the suffix `.in-force` tells which plan is in force.
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

PORT_OF_CLIENTS = 3000  # `lab.process.own_address`; servers and discovery have others
SOCKET_CALLS = (
    "accept", "connect", "send", "recv", "recv_into", "shutdown", "setsockopt", "getsockopt", "getpeername",
)  # fmt: skip
SELECTOR_CALLS = ("register", "modify")
SHORT_SIZES = (1, 3, 50, 4000, 65536)


class Fault(NamedTuple):
    """A system call that fails. `side`: "clients" or "servers", by whose connection it is made on."""

    call: str
    error: str  # its name, as in errno(3)
    side: str
    share: float = 1.0  # of the calls


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
        self._faults = {(told[0], told[2]): Fault(*told) for told in json.loads(text)}
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
    return "clients" if port == PORT_OF_CLIENTS else "servers"


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
    """Take and give a few bytes at a time, as a kernel with full buffers may."""
    random = random_module.Random(2)
    send, recv_into = socket.socket.send, socket.socket.recv_into

    def short_send(self: socket.socket, data: Any, *told: Any) -> int:
        with memoryview(data) as view:
            # Copied: the traceback of an error would hold a view, and asyncio could not clear its buffer.
            piece = bytes(view[: random.choice(SHORT_SIZES)])
        return send(self, piece, *told)

    def short_recv_into(self: socket.socket, buffer: Any, *told: Any) -> int:
        return recv_into(self, memoryview(buffer)[: random.choice(SHORT_SIZES)], *told)

    socket.socket.send = short_send  # type: ignore[assignment, method-assign]
    socket.socket.recv_into = short_recv_into  # type: ignore[assignment, method-assign]


def _wrap_socket_call(plan: Plan, name: str) -> None:
    real = getattr(socket.socket, name)

    def call(self: socket.socket, *told: Any) -> Any:
        plan.check(name, self)
        return real(self, *told)

    setattr(socket.socket, name, call)


def _wrap_selector_call(plan: Plan, name: str) -> None:
    """epoll_ctl(2): ENOMEM, and ENOSPC at the limit on watches of one user."""
    real = getattr(selectors.DefaultSelector, name)

    def call(self: Any, fileobj: Any, *told: Any) -> Any:
        if isinstance(fileobj, int):
            try:
                with socket.socket(fileno=os.dup(fileobj)) as same:
                    plan.check(name, same)
            except OSError as error:
                if error.errno in (errno.ENOMEM, errno.ENOSPC):
                    raise
        else:
            plan.check(name, fileobj)
        return real(self, fileobj, *told)

    setattr(selectors.DefaultSelector, name, call)


def _wrap_listening(plan: Plan) -> None:
    """A socket that is not bound yet tells no side; only the clients' one listens."""
    for name in ("bind", "listen"):
        real = getattr(socket.socket, name)

        def call(self: socket.socket, *told: Any, name: str = name, real: Any = real) -> Any:
            plan.check_side(name, "clients")
            return real(self, *told)

        setattr(socket.socket, name, call)


def _wrap_close(plan: Plan) -> None:
    """The descriptor is free also where close(2) returns an error."""
    real = socket.socket.close

    def call(self: socket.socket) -> None:
        side = side_of(self) if self.fileno() >= 0 else "none"
        real(self)
        plan.check_side("close", side)

    socket.socket.close = call  # type: ignore[method-assign, assignment]


def _wrap_new_socket(plan: Plan) -> None:
    real = socket.socket.__init__

    def init(self: Any, *told: Any, **named: Any) -> None:
        if named.get("fileno") is None and len(told) < 4:
            plan.check_side("socket", "servers")
        real(self, *told, **named)

    socket.socket.__init__ = init  # type: ignore[method-assign]


def _wrap_poll(plan: Plan) -> None:
    real = select.poll

    class Poller:
        def __init__(self) -> None:
            self._real = real()

        def register(self, sock: Any, *told: Any) -> None:
            self._sock = sock
            self._real.register(sock, *told)

        def poll(self, *told: Any) -> Any:
            plan.check("poll", self._sock)
            return self._real.poll(*told)

    select.poll = Poller  # type: ignore[assignment, misc]


def main() -> int:
    install(Plan(Path(os.environ["PROXY_FAULTS"])))
    if os.environ.get("PROXY_SHORT_IO"):
        shorten_io()
    from cloverrouter.proxy.service import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
