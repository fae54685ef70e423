"""What one seed of the random faults is to be like."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from cloverrouter.lab.peers import SETTINGS
from tests.faults.faulty_sockets import Fault

# Errors that each call may fail with, and how often, beside all else that goes wrong.
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


@dataclass(frozen=True)
class Plan:
    """Drawn from the seed; `truthful`: servers send whole, true answers or none, so that each is checked."""

    sockets: int
    truthful: bool
    subscribe: bool
    short_times: bool
    faults: tuple[Fault, ...]
    short_io: bool  # reads and writes of a few bytes at a time
    upgrade: bool  # the process is replaced by another one half-way
    crowd: bool  # idle clients fill the descriptors
    series: bool  # signals come in quick succession

    @property
    def crowded(self) -> bool:
        return self.sockets == FEW_SOCKETS

    @property
    def excused(self) -> bool:
        """May a connection be shut unanswered, all descriptors being held, or clients' made to fail?"""
        return self.crowded or self.crowd or any(fault.side == "clients" for fault in self.faults)

    @property
    def shimmed(self) -> bool:
        return bool(self.faults) or self.short_io

    @property
    def killed_after_s(self) -> float:
        """How soon after SIGTERM the platform may kill it: the longest deadline, or 3 s, and 0.7 s."""
        return 0.7 + (0.4 if self.short_times else 3.0)

    def settings(self) -> dict[str, Any]:
        told = {"discovery": "subscribe" if self.subscribe else "push"}
        if not self.short_times:
            return told
        classes = [{**c, "aim_ms": 100, "deadline_ms": 400} for c in SETTINGS["categories"]]
        bounds = {**SETTINGS["bounds"], "parallel_tries": True, "cancel": True, "conn_idle_ms": 300.0}
        return {**told, "categories": classes, "bounds": bounds}


def drawn(seed: int) -> Plan:
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
    )
