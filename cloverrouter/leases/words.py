"""What contenders and voters say to each other about the seats of named tasks."""

from __future__ import annotations

from cloverrouter.rights import Stamp
from cloverrouter.values import Value

MOST_ROOM = 64  # seats of a task
Who = tuple[str, int]  # a box in one life: a process that was started anew is another contender


def who(stamp: Stamp) -> Who:
    return stamp.box, stamp.life


class Ask(Value):
    """For a seat (from 0), under a token that nobody has had; or, under its own, for more time on it."""

    stamp: Stamp
    task: str
    seat: int
    token: int
    room: int  # as many seats the task has, by this contender's settings


class Release(Value):
    """Who says it has stopped to act, under this token and all that it had before. `held`: it held the seat,
    and gives back more than a few votes; `heir`: who is to have it instead, under `heir_token`."""

    stamp: Stamp
    task: str
    seat: int
    token: int
    held: bool = False
    heir: Who | None = None
    heir_token: int = 0


class Grant(Value):
    """`voter` promises itself, counted from when the request with this stamp was sent."""

    voter: str
    stamp: Stamp
    task: str
    seat: int
    token: int
    highest: int  # token that it has promised for this task, or, where one waits, was asked for
    waiting: Who | None = None  # the one that has waited longest for the task


class Deny(Value):
    """`left_ms`: after so long it is worth to ask again; `busy`: a bit for each seat that is somebody's."""

    voter: str
    stamp: Stamp
    task: str
    seat: int
    token: int
    highest: int
    left_ms: float
    busy: int
    ahead: int  # so many wait for longer
    room: int  # of the task, as its holders see it; another than asked for is an error of the settings


class Free(Value):
    """To who has waited longest: a seat is free. `stamp` is that of its last request."""

    voter: str
    stamp: Stamp
    task: str
    seat: int
    highest: int


Request = Ask | Release
Answer = Grant | Deny | Free
