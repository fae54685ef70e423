"""`python -m tests.faults.chaos FIRST LAST` plays these seeds and prints what each showed, a line a seed."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path

from tests.faults.chaos.run import Chaos


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--seconds", type=float, default=6.0, help="of trouble in each run")
    parser.add_argument("--logs", type=Path, help="a folder for the whole logs of the runs with trouble")
    told = parser.parse_args()
    seeds = range(told.first, told.last + 1)
    if told.logs is not None:
        told.logs.mkdir(parents=True, exist_ok=True)
    bad = sum(not well(seed, told.seconds, told.logs) for seed in seeds)
    print(f"{len(seeds)} runs, {bad} with trouble")
    return 1 if bad else 0


def well(seed: int, seconds: float, logs: Path | None) -> bool:
    outcome = asyncio.run(Chaos(seed, seconds).play())
    troubles = outcome.troubles()
    line = {
        "seed": seed,
        "plan": outcome.plan,
        "troubles": troubles[:5],
        "statuses": outcome.statuses,
        "kept": [outcome.kept, outcome.kept_while_ending],
    }
    print(json.dumps(line), flush=True)
    if troubles:
        print(outcome.log[-8000:], file=sys.stderr, flush=True)
        if logs is not None:
            (logs / f"{seed}.log").write_text(outcome.log)
    return not troubles


if __name__ == "__main__":
    sys.exit(main())
