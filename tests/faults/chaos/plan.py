"""The faults that a run injects, drawn from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from cloverrouter.lab.peers import SETTINGS
from tests.faults.faulty_sockets import Fault

# System calls that may fail, each with an error that it can return.
SYSTEM_CALLS = (
    ("send", "ECONNRESET"),
    ("send", "EPIPE"),
    ("recv_into", "ECONNRESET"),
    ("recv_into", "ETIMEDOUT"),
    ("shutdown", "ENOTCONN"),
    ("setsockopt", "EINVAL"),
    ("getsockopt", "ENOTCONN"),
    ("getpeername", "ENOTCONN"),
    ("poll", "ENOMEM"),
    ("connect", "EHOSTUNREACH"),
    ("register", "ENOMEM"),
)
FEW_SOCKETS, MANY_SOCKETS = 48, 256
SMALL_MEMORY_MB, LARGE_MEMORY_MB = 32, 192


@dataclass(frozen=True)
class Plan:
    """Faults of one run.

    `truthful`: servers send correct answers, complete or truncated, or none, so that clients can check each.
    """

    sockets: int
    truthful: bool
    subscribe: bool
    short_times: bool
    faults: tuple[Fault, ...]
    short_io: bool  # reads and writes of a few bytes at a time
    upgrade: bool  # another process takes over half-way
    crowd: bool  # idle clients use up the descriptors
    series: bool  # signals are sent in quick succession
    hungry: bool  # clients make the proxy hold as much as they can, and its memory is small

    @property
    def few_descriptors(self) -> bool:
        """Whether the proxy has fewer descriptors than the clients need."""
        return self.sockets == FEW_SOCKETS

    @property
    def may_close_unanswered(self) -> bool:
        """Whether the proxy may close a connection without an answer.

        It may when all descriptors are in use, or when system calls on clients' connections fail.
        """
        return self.few_descriptors or self.crowd or any(fault.side == "clients" for fault in self.faults)

    @property
    def wraps_system_calls(self) -> bool:
        """Whether the proxy runs under `faulty_sockets`."""
        return bool(self.faults) or self.short_io

    @property
    def memory_mb(self) -> int:
        """The limit of memory in the proxy's configuration."""
        return SMALL_MEMORY_MB if self.hungry else LARGE_MEMORY_MB

    @property
    def sigkill_after_s(self) -> float:
        """The platform's grace period after SIGTERM: the longest deadline or 3 s, plus 0.7 s."""
        return 0.7 + (0.4 if self.short_times else 3.0)

    def settings(self) -> dict[str, Any]:
        """Return the settings of the proxy that differ from the defaults."""
        changed = {"discovery": "subscribe" if self.subscribe else "push"}
        if not self.short_times:
            return changed
        classes = [{**c, "aim_ms": 100, "deadline_ms": 400} for c in SETTINGS["categories"]]
        bounds = {**SETTINGS["bounds"], "parallel_tries": True, "cancel": True, "conn_idle_ms": 300.0}
        return {**changed, "categories": classes, "bounds": bounds}


def draw_plan(seed: int) -> Plan:
    """Return the plan of a seed."""
    random = Random(seed)
    faults: tuple[Fault, ...] = ()
    if random.random() < 0.4:
        chosen = random.sample(SYSTEM_CALLS, 3)
        sides = [random.choice(("clients", "servers")) for _ in chosen]
        faults = tuple(
            Fault(call, error, side, 0.02) for (call, error), side in zip(chosen, sides, strict=True)
        )
    return Plan(
        sockets=FEW_SOCKETS if random.random() < 0.25 else MANY_SOCKETS,
        truthful=random.random() < 0.5,
        subscribe=random.random() < 0.5,
        short_times=random.random() < 0.3,
        faults=faults,
        short_io=random.random() < 0.3,
        upgrade=random.random() < 0.25,
        crowd=random.random() < 0.25,
        series=random.random() < 0.5,
        hungry=random.random() < 0.3,
    )
