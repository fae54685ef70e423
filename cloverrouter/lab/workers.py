"""Runs spread over worker processes. One that dies costs the run that it had, and is replaced."""

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

OWN = str(Path(__file__).resolve().parents[2])
TRIES = 2  # of a run whose worker dies


class Run(NamedTuple):
    """A run to be done. `key` is the caller's."""

    key: Any
    scenario: dict[str, Any]
    seed: int
    checkout: str = OWN


class Done(NamedTuple):
    key: Any
    result: Result | None
    error: str


class Worker:
    """A worker process; at most one run at a time."""

    def __init__(self, checkout: str) -> None:
        self.checkout = checkout
        self.run: Run | None = None
        # One thread each: the machine's cores are shared by runs, not by the libraries within one.
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
        self._text = b""

    def start(self, run: Run) -> None:
        self.run = run
        line = json.dumps({"scenario": run.scenario, "seed": run.seed}) + "\n"
        with suppress(OSError):  # it has died: its end is read as such
            self._in.write(line.encode())
            self._in.flush()

    def read(self) -> tuple[Result | None, str] | None:
        """The result and the error of its run; None while it is not whole. Raises EOFError if it has died."""
        while True:
            try:
                data = os.read(self.out.fileno(), 1 << 20)
            except BlockingIOError:
                return None
            if not data:
                raise EOFError
            self._text += data
            if self._text.endswith(b"\n"):
                told, self._text = json.loads(self._text), b""
                if "error" in told:
                    return None, str(told["error"])
                return msgspec.convert(told["result"], Result), ""

    def close(self) -> None:
        for end in (self._in, self.out):
            with suppress(OSError):
                end.close()
        if self.process.poll() is None:
            self.process.terminate()
        self.process.wait()


def spread(
    runs: Iterable[Run], jobs: int, started: Callable[[Worker], None] = lambda worker: None
) -> Iterator[Done]:
    """Each run's end, in the order in which they end. `started` is told of each worker that takes a run."""
    left = deque((run, 1) for run in runs)
    tries: dict[int, int] = {}
    workers: list[Worker] = []
    selector = selectors.DefaultSelector()

    def give(worker: Worker | None) -> None:
        """The next run, to this worker if it is of the right checkout."""
        if not left:
            if worker is not None:
                retire(worker)
            return
        run, number = left.popleft()
        if worker is None or worker.checkout != run.checkout:
            if worker is not None:
                retire(worker)
            worker = Worker(run.checkout)
            workers.append(worker)
            selector.register(worker.out, selectors.EVENT_READ, worker)
        tries[id(worker)] = number
        worker.start(run)
        started(worker)

    def retire(worker: Worker) -> None:
        selector.unregister(worker.out)
        workers.remove(worker)
        worker.close()

    try:
        for _ in range(max(1, jobs)):
            give(None)
        while workers:
            for key, _ in selector.select():
                worker: Worker = key.data
                run = worker.run
                assert run is not None
                try:
                    found = worker.read()
                except EOFError:
                    number = tries[id(worker)]
                    retire(worker)
                    code = worker.process.returncode
                    # Danger: a run that kills its worker would be tried for ever, or end the whole sweep.
                    if number < TRIES:
                        left.append((run, number + 1))
                    else:
                        yield Done(run.key, None, f"its worker died {number} times, with exit code {code}")
                    give(None)
                    continue
                if found is not None:
                    give(worker)
                    yield Done(run.key, *found)
    finally:
        for worker in list(workers):
            retire(worker)
        selector.close()
