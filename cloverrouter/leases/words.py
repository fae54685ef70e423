"""Messages between contenders and voters about the seats of named tasks.

A task has a fixed number of seats, and each seat has at most one holder at a time.
"""

from __future__ import annotations

from cloverrouter.rights import RequestId
from cloverrouter.values import Value

MAX_SEATS = 64  # of a task
ContenderId = tuple[str, int]  # member name and incarnation: a restarted process is another contender


def contender_id(request_id: RequestId) -> ContenderId:
    return request_id.member, request_id.incarnation


class Ask(Value):
    """Request for a seat (from 0) under a token that no contender has had; or, under its own token, a
    holder's request for renewal."""

    request_id: RequestId
    task: str
    seat: int
    token: int
    seat_count: int  # of the task, by this contender's settings


class Release(Value):
    """Notice that the sender has stopped acting under this token and all its earlier ones.

    `held`: the sender held the seat, so this returns a quorum rather than a few votes. `successor`: the
    contender that is to get the seat next, under `successor_token`.
    """

    request_id: RequestId
    task: str
    seat: int
    token: int
    held: bool = False
    successor: ContenderId | None = None
    successor_token: int = 0


class Grant(Value):
    """`voter` grants its vote; the holder counts the duration from when it sent the request."""

    voter: str
    request_id: RequestId
    task: str
    seat: int
    token: int
    highest: int  # token granted for this task or, while contenders wait, requested for it
    longest_waiting: ContenderId | None = None  # first in the voter's queue for the task


class Deny(Value):
    """`voter` refuses its vote. It is worth asking again after `retry_after_ms`. `busy_seats` is a bit mask
    of the seats with a holder."""

    voter: str
    request_id: RequestId
    task: str
    seat: int
    token: int
    highest: int
    retry_after_ms: float
    busy_seats: int
    queue_position: int  # number of contenders that have waited longer
    seat_count: (
        int  # of the task, as its holders have it; one that differs from the request's is a settings error
    )


class Free(Value):
    """Notice to the contender that has waited longest that a seat is free. `request_id` is that of its last
    request."""

    voter: str
    request_id: RequestId
    task: str
    seat: int
    highest: int


Request = Ask | Release
Answer = Grant | Deny | Free
