"""`python -m tests.faults.chaos FIRST LAST` runs these seeds and prints each result as a line of JSON."""

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
    parser.add_argument("--seconds", type=float, default=6.0, help="duration of the faults in each run")
    parser.add_argument("--logs", type=Path, help="directory for the complete logs of failed runs")
    options = parser.parse_args()
    seeds = range(options.first, options.last + 1)
    if options.logs is not None:
        options.logs.mkdir(parents=True, exist_ok=True)
    failed = sum(not run_seed(seed, options.seconds, options.logs) for seed in seeds)
    print(f"{len(seeds)} runs, {failed} with trouble")
    return 1 if failed else 0


def run_seed(seed: int, seconds: float, logs: Path | None) -> bool:
    """Run one seed and print its result; return whether it passed."""
    outcome = asyncio.run(Chaos(seed, seconds).run())
    failures = outcome.failures()
    line = {
        "seed": seed,
        "plan": outcome.plan,
        "troubles": failures[:5],
        "statuses": outcome.statuses,
        "peak_mb": round(outcome.peak_mb, 1),
        "kept": [outcome.kept_answered, outcome.kept_answered_after_sigterm],
    }
    print(json.dumps(line), flush=True)
    if failures:
        print(outcome.log[-8000:], file=sys.stderr, flush=True)
        if logs is not None:
            (logs / f"{seed}.log").write_text(outcome.log)
    return not failures


if __name__ == "__main__":
    sys.exit(main())
