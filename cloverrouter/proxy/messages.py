"""What the parts of the client proxy hand to one another: a client's call and a host's answer."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from dataclasses import dataclass

MAX_BODY = 64 * 1024  # as the protocol has it, for either side
MAX_HEAD = 16 * 1024


def unread(sock: socket.socket) -> bool:
    """Has the peer sent something, or its end, that has not been read yet?"""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    return True


@dataclass(frozen=True, slots=True)
class Answer:
    """A host's whole answer."""

    status: int
    body: bytes
    content_type: bytes
    never_ran: bool  # the host says that it has not begun the request
    report: bytes | None  # its load report, unread


class Call(ABC):
    """One request of a client. Exactly one of the three answers is given; later ones go nowhere."""

    __slots__ = (
        "arrived_ms",
        "body",
        "class_name",
        "content_type",
        "cost_ms",
        "idempotency_key",
        "key",
        "method",
        "repeat",
        "request_id",
        "target",
        "tenant",
        "timeout_ms",
    )

    arrived_ms: float  # when its last byte had come
    method: bytes
    target: bytes
    request_id: bytes
    idempotency_key: bytes
    content_type: bytes
    body: bytes
    class_name: str
    tenant: str | None
    key: str | None
    timeout_ms: float | None  # how long the client waits; None: it did not say
    cost_ms: float | None
    repeat: bool
    former = False  # found valid by the classes as they were before the last change

    @abstractmethod
    def served(self, answer: Answer) -> None: ...

    @abstractmethod
    def refused(self, retry_after_ms: float) -> None: ...

    @abstractmethod
    def failed(self) -> None: ...
