"""Measure the requests served while one system call of a real proxy fails at random, against no faults.

    python -m benchmarks.system_calls [--share 0.01] [--seconds 4] [CALL ...]

Prints a row for each call, side and error: the requests sent and served in that time, and the share served
relative to the share without faults. Six clients keep their connections, and six others open a new
one for each request. The shim that injects the faults and the clients are those of `tests/faults`.
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
    """The faults to measure, one for each call, error and side; all calls if `calls` is empty."""
    found = [Fault("accept", error, "clients", share) for error in ACCEPT_ERRORS]
    for side, errors_by_call in (("clients", CLIENT_FAULTS), ("servers", SERVER_FAULTS)):
        found += [
            Fault(call, error, side, share) for call, errors in errors_by_call.items() for error in errors
        ]
    return [fault for fault in found if not calls or fault.call in calls]


async def measured(fault: Fault | None, seconds: float) -> tuple[int, int, int, int]:
    """Requests sent, served, left without an answer, and sent as their idle connection was closed."""
    async with faulty_proxy() as faulty:
        await faulty.wait_until_served()
        if fault is not None:
            await faulty.set_faults(fault)
        await asyncio.gather(faulty.send_requests(seconds, False), faulty.send_requests(seconds, True))
        answers = faulty.answers
        # Of four requests, one has a deadline of 1 ms, which can't be met, and one has no class.
        return answers.total(), answers[200], answers[0], answers[1]


def row(fault: Fault, seconds: float, baseline: float) -> list[str]:
    """A table row: the counts under a fault, and its share served relative to the one without faults."""
    asked, served, lost, crossed = asyncio.run(measured(fault, seconds))
    share = served / asked
    figures = [str(asked), str(served), f"{share:.3f}", f"{share / baseline:.2f}", str(lost), str(crossed)]
    return [fault.call, fault.side, fault.error, *figures]


def main() -> None:
    """Run without faults first, then once for each fault, and print the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("call", nargs="*")
    parser.add_argument("--share", type=float, default=0.01)
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args()
    asked, served, _, _ = asyncio.run(measured(None, options.seconds))
    baseline = served / asked
    rows = [["none", "", "", str(asked), str(served), f"{baseline:.3f}", "1.00", "0", "0"]]
    rows += [row(fault, options.seconds, baseline) for fault in faults(options.share, options.call)]
    print("\n".join(table(HEAD, rows)))


if __name__ == "__main__":
    main()
