"""Distributes runs over worker processes. A worker that dies is replaced, and its run is tried again."""

from __future__ import annotations

import json
import os
import selectors
import subprocess
import sys
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from cloverrouter.lab.account import Result

OWN_CHECKOUT = str(Path(__file__).resolve().parents[2])
MAX_TRIES = 2  # per run, if its worker dies


class Run(NamedTuple):
    """A run to do. `key` identifies it to the caller."""

    key: Any
    scenario: dict[str, Any]
    seed: int
    checkout: str = OWN_CHECKOUT


class RunOutcome(NamedTuple):
    """A run that has ended: its result, or None and the error."""

    key: Any
    result: Result | None
    error: str


class Worker:
    """A worker process, which does one run at a time."""

    def __init__(self, checkout: str) -> None:
        self.checkout = checkout
        self.run: Run | None = None
        # One thread per worker: the runs share the machine's cores, not the libraries within a run.
        environ = {**os.environ, "OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}
        self.process = subprocess.Popen(
            [sys.executable, str(Path(__file__).with_name("worker.py")), checkout],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=environ,
        )
        assert self.process.stdout is not None and self.process.stdin is not None
        self.out, self._in = self.process.stdout, self.process.stdin
        os.set_blocking(self.out.fileno(), False)
        self._buffer = b""

    def start(self, run: Run) -> None:
        """Send a run to the process."""
        self.run = run
        line = json.dumps({"scenario": run.scenario, "seed": run.seed}) + "\n"
        with suppress(OSError):  # the process has died: `read` notices
            self._in.write(line.encode())
            self._in.flush()

    def read(self) -> tuple[Result | None, str] | None:
        """The result and the error of its run; None if the answer is incomplete.

        Raises EOFError if the process has died.
        """
        while True:
            try:
                data = os.read(self.out.fileno(), 1 << 20)
            except BlockingIOError:
                return None
            if not data:
                raise EOFError
            self._buffer += data
            if self._buffer.endswith(b"\n"):
                answer, self._buffer = json.loads(self._buffer), b""
                if "error" in answer:
                    return None, str(answer["error"])
                return msgspec.convert(answer["result"], Result), ""

    def close(self) -> None:
        """Terminate the process and wait for its end."""
        for stream in (self._in, self.out):
            with suppress(OSError):
                stream.close()
        if self.process.poll() is None:
            self.process.terminate()
        self.process.wait()


def run_all(
    runs: Iterable[Run], jobs: int, started: Callable[[Worker], None] = lambda worker: None
) -> Iterator[RunOutcome]:
    """Yield the outcome of each run, in the order in which they end.

    `started` is called with each worker that starts a run.
    """
    pending = deque((run, 1) for run in runs)
    try_numbers: dict[int, int] = {}
    workers: list[Worker] = []
    selector = selectors.DefaultSelector()

    def assign_next(worker: Worker | None) -> None:
        """Start the next run, on this worker if it has the run's checkout, else on a new one."""
        if not pending:
            if worker is not None:
                retire(worker)
            return
        run, try_number = pending.popleft()
        if worker is None or worker.checkout != run.checkout:
            if worker is not None:
                retire(worker)
            worker = Worker(run.checkout)
            workers.append(worker)
            selector.register(worker.out, selectors.EVENT_READ, worker)
        try_numbers[id(worker)] = try_number
        worker.start(run)
        started(worker)

    def retire(worker: Worker) -> None:
        selector.unregister(worker.out)
        workers.remove(worker)
        worker.close()

    try:
        for _ in range(max(1, jobs)):
            assign_next(None)
        while workers:
            for key, _ in selector.select():
                worker: Worker = key.data
                run = worker.run
                assert run is not None
                try:
                    outcome = worker.read()
                except EOFError:
                    try_number = try_numbers[id(worker)]
                    retire(worker)
                    code = worker.process.returncode
                    # Bounded: a run that kills its workers must neither repeat forever nor end a sweep.
                    if try_number < MAX_TRIES:
                        pending.append((run, try_number + 1))
                    else:
                        yield RunOutcome(
                            run.key, None, f"its worker died {try_number} times, with exit code {code}"
                        )
                    assign_next(None)
                    continue
                if outcome is not None:
                    assign_next(worker)
                    yield RunOutcome(run.key, *outcome)
    finally:
        for worker in list(workers):
            retire(worker)
        selector.close()
