"""Adapter that hosts many balancers behind the line protocol of a simulator. It makes no decisions itself.

Reads one batch per line from standard input and writes one reply per line. An unreadable line ends the
process with one line on standard error and exit code 1. A crash of a balancer is reported on standard error
and in the reply, and ends the process too.
"""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TextIO

from cloverrouter.decide import Balancer
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    EndpointsListed,
    EndpointState,
    Event,
    Fail,
    ListedEndpoint,
    ListKind,
    Log,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    Subscribe,
    TimerFired,
)
from cloverrouter.proxy.config import Json, read_settings

OUTCOMES = {
    100: Outcome.OK,
    301: Outcome.ERROR,
    302: Outcome.REJECTED,
    303: Outcome.TIMEOUT,
    304: Outcome.CONNECT_FAILED,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.NOT_SENT,
}
LIST_KINDS = {
    "update": ListKind.DELTA,
    "replace": ListKind.FULL,
    "restored": ListKind.RESTORED,
    "unavailable": ListKind.FAILED,
}
FLAG_HINT_VALID, FLAG_CLIENT_RETRY = 1, 2


class WireError(ValueError):
    """A line that violates the protocol."""


# Events


def read_endpoint(entry: Json) -> ListedEndpoint:
    return ListedEndpoint(
        name=entry["host"],
        zone=entry.get("locality", ""),
        cell=entry.get("cell", 0),
        weight=entry.get("share", 1.0),
        state=EndpointState(entry.get("lifecycle", "ready")),
        started_ms=entry.get("up_since_ms") or None,
    )


def read_report(fields: Json) -> tuple[float, ...] | None:
    return tuple(fields["stats"]) if fields.get("stats") else None


def read_int(fields: Json, name: str) -> int:
    value = fields[name]
    if not isinstance(value, int):
        raise WireError(f"{name} is not a whole number: {value!r}")
    return value


def read_number(fields: Json, name: str) -> float:
    value = fields[name]
    if not isinstance(value, int | float):
        raise WireError(f"{name} is not a number: {value!r}")
    return value


def read_request(fields: Json) -> RequestArrived:
    flags = fields.get("flags", 0)
    return RequestArrived(
        request_id=read_int(fields, "handle"),
        class_name=fields.get("priority", ""),
        deadline_ms=read_number(fields, "give_up_at_ms"),
        tenant=fields.get("org") or None,
        key=fields.get("resource"),
        work_hint_ms=fields.get("effort_ms") if flags & FLAG_HINT_VALID else None,
        client_retry=bool(flags & FLAG_CLIENT_RETRY),
    )


def read_outcome(fields: Json) -> AttemptEnded:
    return AttemptEnded(
        request_id=read_int(fields, "handle"),
        attempt=fields.get("n", 0),
        outcome=OUTCOMES[fields["verdict"]],
        latency_ms=fields.get("delay_seen_ms", 0.0),
        answered=fields.get("closed", False),
        report=read_report(fields),
    )


def read_stream(fields: Json) -> StreamStarted:
    return StreamStarted(read_int(fields, "handle"), fields.get("n", 0), fields.get("delay_seen_ms", 0.0))


def read_probe(fields: Json) -> ProbeEnded:
    latency_ms = fields.get("delay_seen_ms", 0.0)
    return ProbeEnded(fields["host"], OUTCOMES[fields["verdict"]], latency_ms, read_report(fields))


EVENTS: dict[str, Callable[[Json], Event]] = {
    "new_request": read_request,
    "resolved": read_outcome,
    "timeout_fired": lambda fields: TimerFired(read_int(fields, "cookie")),
    "head_received": read_stream,
    "left": lambda fields: ClientDisconnected(read_int(fields, "handle")),
    "health_result": read_probe,
}


# Actions


def write_action(action: Action) -> Json:
    match action:
        case Send():
            host, wait_ms = action.endpoint, action.timeout_ms
            return {"try": {"handle": action.request_id, "host": host, "max_wait_ms": wait_ms}}
        case SetTimer():
            return {"defer": {"in_ms": action.delay_ms, "cookie": action.token}}
        case Refuse():
            return {"overload_reply": {"handle": action.request_id, "retry_after_ms": action.retry_after_ms}}
        case Fail():
            return {"give_up": {"handle": action.request_id}}
        case Cancel():
            return {"cancel": {"handle": action.request_id, "n": action.attempt}}
        case Probe():
            return {"check": {"host": action.endpoint}}
        case Subscribe():
            return {"track": {"active": True}}
        case Log():
            return {"remark": {"message": action.text}}


# Reading a batch


@dataclass(frozen=True, slots=True)
class Begin:
    """Start of an instance, with empty state."""

    settings: Settings
    seed: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Abrupt end of an instance, as by SIGKILL."""


Step = Begin | Stop | Event


@dataclass(frozen=True, slots=True)
class Batch:
    number: int
    now_ms: float
    groups: list[tuple[str, list[Step]]]


class Reader:
    """Parser of lines into batches. Keeps the lists of servers, which are sent once for all instances."""

    def __init__(self, err: TextIO) -> None:
        self._lists: dict[int, tuple[ListedEndpoint, ...]] = {}
        self._reported_unknown: list[str] = []
        self._err = err

    def read(self, line: str) -> Batch:
        """Parse one batch. Raises WireError with the cause if the line is not a valid batch."""
        try:
            batch = json.loads(line)
            if not isinstance(batch, dict):
                raise WireError("not an object")
            groups = [(group["who"], self._steps(group["news"])) for group in batch["groups"]]
            return Batch(batch["n"], read_number(batch, "ts_ms"), groups)
        except json.JSONDecodeError as error:
            raise WireError(f"not JSON: {error}") from error
        except KeyError as error:
            raise WireError(f"missing or unknown: {error}") from error
        except (TypeError, ValueError) as error:
            raise WireError(str(error)) from error

    def _steps(self, news: list[Json]) -> list[Step]:
        steps: list[Step] = []
        for message in news:
            if not isinstance(message, dict) or len(message) != 1:
                raise WireError("an event is not an object with one key")
            ((kind, fields),) = message.items()
            if not isinstance(fields, dict):
                raise WireError(f"the fields of {kind!r} are not an object")
            step = self._step(kind, fields)
            if step is not None:
                steps.append(step)
        return steps

    def _step(self, kind: str, fields: Json) -> Step | None:
        if kind in EVENTS:
            return EVENTS[kind](fields)
        if kind == "begin":
            return Begin(read_settings(fields["facts"]), fields["seed"])
        if kind == "power_off":
            return Stop()
        if kind == "sync":
            scope = LIST_KINDS[fields["scope"]]
            return EndpointsListed(scope, () if scope is ListKind.FAILED else self._lists[fields["list"]])
        if kind == "register":
            self._lists[fields["list"]] = tuple(read_endpoint(e) for e in fields["members"])
        elif kind != "peer" and kind not in self._reported_unknown:
            self._reported_unknown.append(kind)
            print(f"benchlink: unknown event {kind!r} ignored", file=self._err)
        return None


# Hosting


class Host:
    """The balancer instances of one process; they share no state."""

    def __init__(self) -> None:
        self._balancers: dict[str, Balancer] = {}

    def play(self, who: str, now_ms: float, steps: list[Step]) -> list[Json]:
        """Play the part of a batch that concerns one instance, and return its actions.

        Events before a `Begin` or `Stop` within the batch have no effect: that instance was killed.
        """
        events: list[Event] = []
        for step in steps:
            if isinstance(step, Begin | Stop):
                events.clear()
                self._balancers.pop(who, None)
                if isinstance(step, Begin):
                    self._balancers[who] = Balancer(step.settings, step.seed)
            elif who not in self._balancers:
                raise WireError(f"event for {who!r}, which has not begun")
            else:
                events.append(step)
        if not events:
            return []
        return [write_action(action) for action in self._balancers[who].handle(now_ms, events)]


def play_batch(host: Host, batch: Batch, err: TextIO) -> tuple[list[Json], bool]:
    """Return the groups of the reply, and whether a balancer crashed; the batch ends at a crash."""
    groups: list[Json] = []
    for who, steps in batch.groups:
        try:
            cmds = host.play(who, batch.now_ms, steps)
        except WireError:
            raise
        except Exception as error:  # any crash of a balancer: reported on stderr and in the reply
            traceback.print_exc(file=err)
            fault = {"give_in": {"message": f"{type(error).__name__}: {error}"}}
            return [*groups, {"who": who, "cmds": [fault]}], True
        if cmds:
            groups.append({"who": who, "cmds": cmds})
    return groups, False


def serve(lines: Iterable[str], out: TextIO, err: TextIO) -> int:
    """Answer every line until the input ends. Returns the exit code."""
    reader, host = Reader(err), Host()
    for line in lines:
        try:
            batch = reader.read(line)
            groups, crashed = play_batch(host, batch, err)
        except WireError as error:
            print(f"benchlink: unreadable line: {error}", file=err)
            return 1
        out.write(json.dumps({"n": batch.number, "groups": groups}, separators=(",", ":")) + "\n")
        out.flush()
        if crashed:
            return 1
    return 0


def main() -> int:
    return serve(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
