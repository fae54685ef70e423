"""What is served while single system calls of a real proxy fail now and then, against a run without faults.

    python -m benchmarks.system_calls [--share 0.01] [--seconds 4] [CALL ...]

A row for each call, side and error: requests asked and served in that time by six clients that keep their
connections, half of them new ones each time, and the share served of the share without faults. The shim and
the clients are those of `tests/faults`.
"""

from __future__ import annotations

import argparse
import asyncio

from cloverrouter.lab.text import table
from tests.faults.faulty_sockets import Fault
from tests.faults.test_system_calls import (
    ACCEPT_ERRORS,
    CLIENT_FAULTS,
    SERVER_FAULTS,
    faulty_proxy,
)

HEAD = ["call", "side", "error", "asked", "served", "share", "of no fault's", "lost", "crossed"]


def faults(share: float, calls: list[str]) -> list[Fault]:
    found = [Fault("accept", error, "clients", share) for error in ACCEPT_ERRORS]
    for side, told in (("clients", CLIENT_FAULTS), ("servers", SERVER_FAULTS)):
        found += [Fault(call, error, side, share) for call, errors in told.items() for error in errors]
    return [fault for fault in found if not calls or fault.call in calls]


async def measured(fault: Fault | None, seconds: float) -> tuple[int, int, int, int]:
    """Asked, served, lost and crossed (`tests.faults.test_system_calls`)."""
    async with faulty_proxy() as faulty:
        await faulty.serves()
        if fault is not None:
            await faulty.set(fault)
        await asyncio.gather(faulty.ask_for(seconds, False), faulty.ask_for(seconds, True))
        answers = faulty.answers
        # One request in four can't be served in its time of 1 ms, one has no class.
        return answers.total(), answers[200], answers[0], answers[1]


def row(fault: Fault, seconds: float, usual: float) -> list[str]:
    asked, served, lost, crossed = asyncio.run(measured(fault, seconds))
    share = served / asked
    figures = [str(asked), str(served), f"{share:.3f}", f"{share / usual:.2f}", str(lost), str(crossed)]
    return [fault.call, fault.side, fault.error, *figures]


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    words.add_argument("call", nargs="*")
    words.add_argument("--share", type=float, default=0.01)
    words.add_argument("--seconds", type=float, default=4.0)
    given = words.parse_args()
    asked, served, _, _ = asyncio.run(measured(None, given.seconds))
    usual = served / asked
    rows = [["none", "", "", str(asked), str(served), f"{usual:.3f}", "1.00", "0", "0"]]
    rows += [row(fault, given.seconds, usual) for fault in faults(given.share, given.call)]
    print("\n".join(table(HEAD, rows)))


if __name__ == "__main__":
    main()
