"""Executes a run at scale: starts discovery instances, hollow proxies and real ones as processes.

Everything runs on loopback, for a limited time, and ends with the run. Results are computed from what the
discovery instances recorded: a version is in force at a proxy when the proxy next polls from that version or
a later one, which it does as soon as it has applied the answer.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, replace
from pathlib import Path
from random import Random
from typing import Any

import numpy
from numpy.typing import NDArray

from cloverrouter.clock import now_s
from cloverrouter.lab.catalog import Catalog, Entry
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.process import ROOT, ProxyProcess, own_address
from cloverrouter.lab.scale import (
    FAULTS,
    KIND,
    Machine,
    Plan,
    ProxyObservation,
    Report,
    Step,
    agreements,
    complaints_of,
    empty_reasons,
    refusals,
    timeline,
)
from cloverrouter.proxy.wake import Loop
from cloverrouter.strict import FileError

START_TIMEOUT_S, SETTLE_TIMEOUT_S, END_TIMEOUT_S, CLOSE_TIMEOUT_S = 90.0, 40.0, 60.0, 5.0
REPORTED_PAUSE_S = 0.2  # longer pauses of hollow processes are noted, as they distort times
FIRST_VERSION = 1
WEIGHTS = (0.5, 1.0, 1.5, 2.0)
Array = NDArray[Any]


class ScaleError(RuntimeError):
    """The machine could not complete the run; this says nothing about the proxies."""


class Child:
    """A lab process that communicates by JSON lines. `reported`: the latest value of each field it sent."""

    def __init__(self, module: str, folder: Path, name: str) -> None:
        self.name, self.reported = name, dict[str, Any]()
        self._module, self._log = module, folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._updated = asyncio.Event()
        self._reader: asyncio.Task[None] | None = None

    async def start(self, spec: dict[str, Any]) -> None:
        """Start the process and send its specification."""
        environ = {**os.environ, "OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}
        environ["PYTHONPATH"] = os.pathsep.join(filter(None, (str(ROOT), environ.get("PYTHONPATH"))))
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", self._module, env=environ, stderr=log, start_new_session=True,
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=64 * 1024 * 1024,
            )  # fmt: skip
        self._reader = asyncio.create_task(self._read())
        self.send(spec)

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._process is not None
        return self._process.pid

    def send(self, command: dict[str, Any] | bytes) -> None:
        """Send a command, or an encoded line."""
        assert self._process is not None and self._process.stdin is not None
        line = command if isinstance(command, bytes) else json.dumps(command).encode() + b"\n"
        with suppress(ConnectionError):  # the process has ended; `wait_until` reports it
            self._process.stdin.write(line)

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        while line := await self._process.stdout.readline():
            self.reported.update(json.loads(line))
            self._updated.set()
        self.reported["over"] = True
        self._updated.set()

    async def wait_until(self, condition: Callable[[dict[str, Any]], bool], timeout_s: float) -> bool:
        """Wait until the condition holds for `reported`; False on a timeout. Raises `ScaleError`, with the
        log, if the process ends first."""
        deadline_s = now_s() + timeout_s
        while not condition(self.reported):
            if self.reported.get("over"):
                raise ScaleError(f"{self.name} has ended:\n{self._log.read_text()[-4000:]}")
            self._updated.clear()
            try:
                async with asyncio.timeout(deadline_s - now_s()):
                    await self._updated.wait()
            except TimeoutError:
                return False
        return True

    async def close(self) -> None:
        """End the process, by a kill if it does not end by itself."""
        if self._process is not None:
            assert self._process.stdin is not None
            self._process.stdin.close()
            try:
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self._process.wait()
            except TimeoutError:
                self._process.kill()
                await self._process.wait()
        if self._reader is not None:
            self._reader.cancel()


def deployment_settings(plan: Plan, ordinal: int) -> dict[str, Any]:
    """A proxy's deployment settings: one class of requests, and discovery by polling."""
    deadline_ms = plan.deadline_ms
    return {
        "balancers": plan.nodes,
        "ordinal": ordinal,
        "zone": "a",
        "discovery": "subscribe",
        "bounds": {"max_attempts": 3},
        "categories": [
            {"name": "c", "aim_ms": deadline_ms / 4, "deadline_ms": deadline_ms, "effect": "retryable"}
        ],
        "safety": {
            "cold_ms": 9000.0, "cold_share": 0.3, "fall_ms": 1500.0, "fall_multiple": 3.0,
            "must_ask_in_ms": 10_000.0,
        },
    }  # fmt: skip


def first_entries(servers: int) -> list[Entry]:
    """The initial servers. Nothing listens at their addresses, as no requests are sent."""
    return [
        {
            "id": f"s-{i:08x}", "addr": f"127.9.{i // 250}.{i % 250 + 1}:3000", "zone": "abcdefg"[i % 7],
            "kind": "m2", "cell": i // 7, "state": "active", "weight": 1.0, "started_ms": 0,
        }
        for i in range(servers)
    ]  # fmt: skip


class ServerStates:
    """The actual state of the servers, and the versions that publish it."""

    def __init__(self, entries: list[Entry], seed: int) -> None:
        self.catalog = Catalog(entries, FIRST_VERSION)
        self._names = [entry["id"] for entry in entries]
        self._random = Random(seed + 1)
        self.faults = 0

    def apply(self, step: Step, unix_ms: int) -> Entry | None:
        """The entry that a step changes; None if it changes nothing."""
        index = step.server
        entry = self.catalog.entries[self._names[index]]
        if step.what == "change":
            while entry["state"] != "active":
                index = (index + 1) % len(self._names)
                entry = self.catalog.entries[self._names[index]]
            weight = self._random.choice([w for w in WEIGHTS if w != entry["weight"]])
            changed = {**entry, "weight": weight}
        elif step.what == "begin":
            changed = {**entry, "state": "active", "started_ms": unix_ms}
        else:
            changed = {**entry, "state": "leaving" if step.what == "leave" else "left"}
        return changed if changed != entry else None


class CpuSampler:
    """Samples the CPU time of processes every second, from the kernel's counters."""

    def __init__(self, pids: list[int]) -> None:
        self._pids = pids
        # (end of the second, share of a core of each process)
        self.shares: list[tuple[float, list[float]]] = []
        self._last = self._sample()

    def _sample(self) -> tuple[float, list[float]]:
        used = []
        for pid in self._pids:
            total = 0.0
            with suppress(OSError):
                for thread in Path(f"/proc/{pid}/task").iterdir():
                    total += int((thread / "schedstat").read_text().split()[0]) / 1e9
            used.append(total)
        return now_s(), used

    async def run(self) -> None:
        """Take samples until cancelled."""
        while True:
            await asyncio.sleep(1.0)
            (from_s, before), (to_s, after) = self._last, self._sample()
            self._last = to_s, after
            span_s = to_s - from_s
            self.shares.append((to_s, [max(0.0, b - a) / span_s for a, b in zip(before, after, strict=True)]))

    def between(self, from_s: float, to_s: float) -> Array:
        """The shares in a period: a row for each second, a column for each process."""
        rows = [shares for at_s, shares in self.shares if from_s < at_s <= to_s + 0.5]
        return numpy.array(rows or [[0.0] * len(self._pids)])


class Run:
    """One run: its processes, the published changes and the observations."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self._folder = plan, folder
        self._entries = first_entries(plan.servers)
        self.server_states = ServerStates(self._entries, plan.seed)
        self.known = folder / "known.json"
        message = {"version": FIRST_VERSION, "full": True, "servers": self._entries}
        self._message = message
        self.known.write_text(json.dumps(message))
        lab = "cloverrouter.lab"
        self.instances = [
            Child(f"{lab}.scalediscovery", folder, f"discovery-{i}") for i in range(plan.discoveries)
        ]
        self.hollow = [Child(f"{lab}.hollow", folder, f"hollow-{i}") for i in range(plan.processes)]
        self.real: list[ProxyProcess] = []
        self.names = [f"p-{i}" for i in range(plan.nodes)]  # the first ones are real
        self.published: list[tuple[int, float]] = []  # (version, time of publication)
        self._management_address = own_address()
        # Instances that are partitioned from the others in scenario "regions".
        self.cut_region = frozenset(range(1, plan.discoveries, 2))
        self._cut: frozenset[int] = frozenset()
        self._missed: dict[str, None] = {}
        self.behind = 0  # servers whose changes a region had missed when the partition healed

    async def start(self) -> None:
        """Start all processes and wait until all proxies have called discovery. Raises `ScaleError`."""
        plan = self.plan
        addresses: dict[str, tuple[str, int]] = {}
        for i, instance in enumerate(self.instances):
            host = "127." + ".".join(str(random.randrange(10, 250)) for _ in range(3))
            instance_names = self.names[i :: plan.discoveries]
            await instance.start(
                {
                    "nodes": len(instance_names), "known": str(self.known), "host": host,
                    "calls_per_s": plan.calls_per_s, "bytes_per_s": plan.mb_per_s * 1e6,
                    "out": str(self._folder / f"seen-{i}.npz"), "seed": plan.seed * 100 + i,
                    "gather_s": plan.gather_s,
                }
            )  # fmt: skip
        for i, instance in enumerate(self.instances):
            if not await instance.wait_until(lambda reported: "addresses" in reported, START_TIMEOUT_S):
                raise ScaleError(f"{instance.name} does not come up")
            for name, (host, port) in zip(
                self.names[i :: plan.discoveries], instance.reported["addresses"], strict=True
            ):
                addresses[name] = (host, port)
        hollow_names = self.names[plan.real :]
        for i, process in enumerate(self.hollow):
            nodes = [
                {
                    "name": name, "address": addresses[name], "ordinal": int(name[2:]),
                    "seed": f"{Draws(plan.seed, name).integer():x}",
                }
                for name in hollow_names[i :: plan.processes]
            ]  # fmt: skip
            await process.start(
                {
                    "nodes": nodes,
                    "facts": deployment_settings(plan, 0),
                    "known": str(self.known),
                    "flaw": plan.flaw,
                }
            )
        for ordinal, name in enumerate(self.names[: plan.real]):
            host, port = addresses[name]
            config = {
                "name": name, "listen": own_address(), "discovery": f"{host}:{port}",
                "seed": f"{Draws(plan.seed, name).integer():x}",
                "settings": deployment_settings(plan, ordinal), "known": self._message,
            }  # fmt: skip
            # The last real proxy has a management listener for the final check; no cost figure includes it.
            environ = {"PROXY_MANAGEMENT": self._management_address, "TMPDIR": str(self._folder)}
            proxy = ProxyProcess(config, self._folder, environ=environ if ordinal == plan.real - 1 else None)
            self.real.append(proxy)
            proxy.start()
        for process in self.hollow:
            if not await process.wait_until(lambda reported: "ready" in reported, START_TIMEOUT_S):
                raise ScaleError(f"{process.name} does not come up in {START_TIMEOUT_S:g} s")
        await asyncio.gather(*(proxy.wait_health(200) for proxy in self.real))
        for i, instance in enumerate(self.instances):
            count = len(self.names[i :: plan.discoveries])
            if not await instance.wait_until(
                lambda reported, count=count: reported["asked"] >= count,  # type: ignore[misc]
                START_TIMEOUT_S,
            ):
                raise ScaleError(f"{instance.name}: {instance.reported['asked']} of {count} have asked")

    def _send_all(self, command: dict[str, Any], except_for: frozenset[int] = frozenset()) -> None:
        line = json.dumps(command).encode() + b"\n"
        for i, instance in enumerate(self.instances):
            if i not in except_for:
                instance.send(line)

    def _heal(self) -> None:
        """End the partition: send its instances the present state of each server that they missed."""
        command = {
            "do": "change", "version": self.server_states.catalog.version,
            "entries": [self.server_states.catalog.entries[name] for name in self._missed],
        }  # fmt: skip
        for i in self._cut if self._missed else ():
            self.instances[i].send(command)
        self.behind = len(self._missed)
        self._cut = frozenset()

    def _execute(self, step: Step) -> None:
        if step.what == "cut":
            self._cut = self.cut_region
            self.server_states.faults += 1
            return
        if step.what == "heal":
            self._heal()
            return
        if step.what in ("down", "up", "compact"):
            if step.what == "compact":
                self.server_states.catalog.compact()
            self._send_all({"do": step.what})
            self.server_states.faults += step.what == "down"
            return
        entry = self.server_states.apply(step, self._unix_ms())
        if entry is None:
            return
        catalog = self.server_states.catalog
        catalog.change(catalog.version + 1, [entry])
        self.published.append((catalog.version, now_s()))
        self._send_all({"do": "change", "version": catalog.version, "entries": [entry]}, self._cut)
        if self._cut:
            self._missed[entry["id"]] = None
        self.server_states.faults += step.what in FAULTS

    def _unix_ms(self) -> int:
        return int(time.time() * 1000)

    async def run_timeline(self) -> dict[str, float]:
        """Execute the timeline; returns the start times of the run's phases."""
        begun_s = now_s()
        await asyncio.sleep(self.plan.quiet_s)
        from_s = now_s()
        marks = {"begun": begun_s, "calm": from_s}
        for step in timeline(self.plan):
            if (wait_s := from_s + step.at_s - now_s()) > 0:
                await asyncio.sleep(wait_s)
            if step.what in ("down", "up", "cut", "heal"):
                marks[step.what] = now_s()
            if "burst" not in marks and self.plan.scenario == "day" and step.at_s >= self.plan.seconds:
                marks["burst"] = now_s()
            self._execute(step)
        marks["last"] = now_s()
        version = self.server_states.catalog.version
        settled = [
            await instance.wait_until(
                lambda reported: reported["lowest"] >= version, marks["last"] + SETTLE_TIMEOUT_S - now_s()
            )
            for instance in self.instances
        ]
        marks["ended"] = now_s()
        marks["settled"] = float(all(settled))
        return marks

    async def end(self) -> None:
        """Have the processes report their results. Raises `ScaleError` on a timeout."""
        for child in (*self.instances, *self.hollow):
            child.send({"do": "end"})
        for child in (*self.instances, *self.hollow):
            if not await child.wait_until(lambda reported: "ended" in reported, END_TIMEOUT_S):
                raise ScaleError(f"{child.name} did not report its results in time")

    async def last_proxy_agrees(self) -> bool:
        """Whether the last real proxy knows, and excludes, the right number of servers.

        Its polls show only that it received the answers; this checks the state that resulted from them.
        """
        host, _, port = self._management_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        states = [
            entry["state"]
            for entry in self.server_states.catalog.entries.values()
            if entry["state"] != "left"
        ]
        expected = {f"hosts_known:{len(states)}|g", f"hosts_excluded:{states.count('leaving')}|g"}
        return expected <= {line.partition(".")[2] for line in text.splitlines()}

    async def close(self) -> None:
        """End all processes."""
        for proxy in self.real:
            proxy.close()
        await asyncio.gather(*(child.close() for child in (*self.instances, *self.hollow)))

    # Results

    def observations(self, marks: dict[str, float]) -> tuple[list[ProxyObservation], list[dict[str, float]]]:
        """The observations of each proxy, and the figures of each discovery instance."""
        plan = self.plan
        versions = numpy.array([version for version, _ in self.published], dtype=numpy.int64)
        published_s = numpy.array([at_s for _, at_s in self.published])
        digest = {self.server_states.catalog.version: self.server_states.catalog.digest()}
        held = {
            name: (version, own_digest)
            for child in self.hollow
            for name, version, own_digest in child.reported["held"]
        }
        observations_by_name: dict[str, ProxyObservation] = {}
        instances = []
        for i, instance in enumerate(self.instances):
            names = self.names[i :: plan.discoveries]
            with numpy.load(self._folder / f"seen-{i}.npz") as arrays:
                arrays_of_instance = {name: arrays[name] for name in arrays.files}
            for j, name in enumerate(names):
                observation = observation_of(
                    name, j, arrays_of_instance, versions, published_s, marks, i in self.cut_region
                )
                if name in held:
                    version, own_digest = held[name]
                    observation.wrong = version in digest and digest[version] != own_digest
                observations_by_name[name] = observation
            instances.append(_instance_figures(arrays_of_instance, instance.reported, marks))
        return [observations_by_name[name] for name in self.names], instances


def _array_of(arrays: dict[str, Array], name: str, index: int) -> Array:
    ends = arrays[f"{name}_ends"]
    return arrays[name][(ends[index - 1] if index else 0) : ends[index]]


def observation_of(
    name: str,
    index: int,
    arrays: dict[str, Array],
    versions: Array,
    published_s: Array,
    marks: dict[str, float],
    cut: bool = False,
) -> ProxyObservation:
    """The observation of one proxy, from the recorded arrays. `cut`: its instance is in `Run.cut_region`.

    Time during which its instance could not publish changes does not count.
    """
    asked_s, since = _array_of(arrays, "asked_s", index), _array_of(arrays, "since", index)
    drawn = _array_of(arrays, "drawn", index).astype(bool)
    answers_s, sizes = _array_of(arrays, "answers_s", index), _array_of(arrays, "sizes", index)
    from_s, to_s = marks["begun"], marks["ended"]
    index_of_call = (
        numpy.searchsorted(numpy.maximum.accumulate(since), versions) if since.size else versions * 0
    )
    confirmed_s = numpy.where(
        index_of_call < since.size, asked_s[numpy.minimum(index_of_call, since.size - 1)], numpy.nan
    )
    in_force_s = confirmed_s - published_s
    for start_mark, end_mark in [("down", "up"), *([("cut", "heal")] if cut else [])]:
        if end_mark in marks:
            unavailable_s = numpy.minimum(confirmed_s, marks[end_mark]) - numpy.maximum(
                published_s, marks[start_mark]
            )
            in_force_s = in_force_s - numpy.maximum(unavailable_s, 0.0)
    from_call_s, returned_s = None, numpy.nan
    if "up" in marks and (later_calls_s := asked_s[asked_s >= marks["up"]]).size:
        returned_s = float(later_calls_s[0] - marks["up"])
        from_call_s = in_force_s - numpy.where(confirmed_s >= marks["up"], returned_s, 0.0)
        # Versions published after the first call do not include that wait.
        from_call_s = numpy.where(published_s >= marks["up"] + returned_s, in_force_s, from_call_s)
    if cut and "heal" in marks:  # one answer carries all missed versions
        missed_versions = (
            (published_s >= marks["cut"]) & (published_s < marks["heal"]) & (confirmed_s >= marks["heal"])
        )
        if missed_versions.any():
            returned_s = float(confirmed_s[missed_versions].max() - marks["heal"])
            from_call_s = numpy.where(missed_versions, numpy.nan, in_force_s)
    during = (answers_s >= from_s) & (answers_s <= to_s)
    seconds = (answers_s[during] - from_s).astype(int)
    worst = numpy.bincount(seconds, weights=sizes[during]).max() if seconds.size else 0
    return ProxyObservation(
        name,
        int(((asked_s >= from_s) & (asked_s <= to_s)).sum()),
        int(sizes[during].sum()),
        int(worst),
        int(arrays["fulls"][index]),
        # A proxy that polls between a change and its publication can get a negative time.
        numpy.maximum(in_force_s, 0.0),
        asked_s[drawn].tolist(),
        from_call_s,
        returned_s,
        int(arrays["untrue"][index]),
    )


def _instance_figures(
    arrays: dict[str, Array], reported: dict[str, Any], marks: dict[str, float]
) -> dict[str, float]:
    from_s, to_s = marks["begun"], marks["ended"]
    span_s = to_s - from_s
    calls_s, answers_s = arrays["asked_s"], arrays["answers_s"]
    calls = numpy.bincount(
        ((calls_in_run_s := calls_s[(calls_s >= from_s) & (calls_s <= to_s)]) - from_s).astype(int)
    )
    during = (answers_s >= from_s) & (answers_s <= to_s)
    sizes = numpy.bincount((answers_s[during] - from_s).astype(int), weights=arrays["sizes"][during])
    return {
        "calls_per_s": calls_in_run_s.size / span_s,
        "calls_worst_s": float(calls.max(initial=0)),
        "bytes_per_s": float(sizes.sum()) / span_s,
        "bytes_worst_s": float(sizes.max(initial=0.0)),
        "longest_queue": float(reported["longest_queue"]),
        "descriptors": float(reported["descriptors"]),
        **{
            f"bytes_{name}": float(arrays["sizes"][(answers_s >= from_s) & (answers_s < to_s)].sum())
            / max(to_s - from_s, 1e-3)
            for name, from_s, to_s in phases_of(marks)
        },
    }


def phases_of(marks: dict[str, float]) -> list[tuple[str, float, float]]:
    """The phases of a run, each with its start and end."""
    phases = [("quiet", "begun", "calm"), ("calm", "calm", "burst"), ("burst", "burst", "ended")]
    phases += [("calm", "calm", "down"), ("down", "down", "up"), ("return", "up", "ended")]
    phases += [("calm", "calm", "cut"), ("cut", "cut", "heal"), ("heal", "heal", "ended")]
    return [(name, marks[a], marks[b]) for name, a, b in phases if a in marks and b in marks]


def memory_mb(pid: int) -> float:
    """Peak resident memory of a process; 0 if it has ended."""
    with suppress(OSError, StopIteration):
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
        return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) / 1024
    return 0.0


def machine() -> Machine:
    """The resources of this machine."""
    lines = Path("/proc/meminfo").read_text().splitlines()
    free_kb = int(next(line for line in lines if line.startswith("MemAvailable")).split()[1])
    return Machine(resource.getrlimit(resource.RLIMIT_NOFILE)[0], free_kb / 1024 / 1024)


def commit_of(folder: Path = ROOT) -> str:
    """The commit of the sources, followed by "+" if they were modified; "" if unknown."""
    with suppress(OSError, subprocess.SubprocessError):
        described = subprocess.run(
            ["git", "describe", "--always", "--dirty=+", "--abbrev=10"],
            cwd=folder, capture_output=True, text=True, check=True, timeout=10,
        )  # fmt: skip
        return described.stdout.strip()
    return ""


async def _run(plan: Plan) -> Report:
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        run = Run(plan, Path(folder))
        sampler_task: asyncio.Task[None] | None = None
        try:
            before_s = now_s()
            await run.start()
            started_s = now_s() - before_s
            children = [child.pid for child in (*run.hollow, *run.instances)]
            real = [proxy.process.pid for proxy in run.real]
            cpu = CpuSampler([*real, *children])
            sampler_task = asyncio.create_task(cpu.run())
            marks = await run.run_timeline()
            real_mb = [memory_mb(pid) for pid in real[:-1]]
            all_mb = sum(memory_mb(pid) for pid in (*real, *children, os.getpid()))
            agrees = await run.last_proxy_agrees()
            await run.end()
            observations, instances = run.observations(marks)
            observations[plan.real - 1].wrong = bool(marks["settled"]) and not agrees
            running = [proxy.up for proxy in run.real]
        finally:
            if sampler_task is not None:
                sampler_task.cancel()
            await run.close()
    figures = _figures(plan, observations, instances, cpu, marks)
    figures["started_s"], figures["memory_mb"], figures["all_memory_mb"] = started_s, max(real_mb), all_mb
    figures["processes"] = 1.0 + len(real) + len(children)
    figures["hollow_stood"] = float(sum(child.reported["stood"] for child in run.hollow))
    figures["hollow_stood_longest_s"] = max(child.reported["stood_longest_s"] for child in run.hollow)
    figures["descriptors_hollow"] = float(max(child.reported["descriptors"] for child in run.hollow))
    figures["behind"] = float(run.behind)
    figures["versions"], figures["faults"] = float(len(run.published)), float(run.server_states.faults)
    results = agreements(observations[: plan.real], observations[plan.real :], plan.resolution_s)
    complaints = empty_reasons(
        plan, len(run.published), run.server_states.faults, sum(one.fulls for one in observations), run.behind
    )
    complaints += complaints_of(results)
    notes = []
    if (pause_s := figures["hollow_stood_longest_s"]) > REPORTED_PAUSE_S:
        notes.append(f"a process of hollow proxies stood still for {pause_s:.2f} s: the machine was too busy")
    if not marks["settled"]:
        complaints.append(
            f"the last version was not in force everywhere {SETTLE_TIMEOUT_S:g} s after it was told"
        )
    if not all(running):
        complaints.append(f"{running.count(False)} real proxies have ended")
    return Report(KIND, asdict(plan), commit_of(), figures, results, complaints, instances, notes)


def _figures(
    plan: Plan,
    observations: list[ProxyObservation],
    instances: list[dict[str, float]],
    cpu: CpuSampler,
    marks: dict[str, float],
) -> dict[str, float]:
    times = numpy.concatenate([one.in_force_s for one in observations])
    matrix = numpy.stack([one.in_force_s for one in observations])
    known_times = times[~numpy.isnan(times)]
    figures: dict[str, float] = {}
    if known_times.size:
        p50, p99 = numpy.quantile(known_times, (0.5, 0.99))
        figures |= {"in_force_p50_s": p50, "in_force_p99_s": p99, "in_force_last_s": known_times.max()}
        everywhere = numpy.nanmax(matrix, axis=0)
        figures["everywhere_p50_s"] = float(numpy.quantile(everywhere, 0.5))
    else:
        figures |= {"in_force_p50_s": 0.0, "in_force_p99_s": 0.0, "in_force_last_s": 0.0}
    real_s = numpy.concatenate([one.in_force_s for one in observations[: plan.real]])
    if (real_s := real_s[~numpy.isnan(real_s)]).size:
        figures["in_force_real_p50_s"], figures["in_force_real_p99_s"] = numpy.quantile(real_s, (0.5, 0.99))
    figures["never"] = float(numpy.isnan(times).sum())
    span_s = marks["ended"] - marks["begun"]
    figures["seconds"] = span_s
    figures["bytes_mean"] = float(numpy.mean([one.bytes for one in observations])) / span_s
    figures["bytes_worst"] = float(max(one.worst_bytes for one in observations))
    figures["calls_mean"] = float(numpy.mean([one.calls for one in observations])) / span_s
    figures["fulls"] = float(sum(one.fulls for one in observations))
    real = cpu.between(marks["begun"], marks["ended"])[:, : plan.real - 1]
    figures["cpu_mean"], figures["cpu_worst"] = float(real.mean()), float(real.max())
    figures["cpu_worst_of_mean"] = float(real.mean(axis=1).max())
    first_instance = plan.real + plan.processes  # column of the first discovery instance
    for name, from_s, to_s in phases_of(marks):
        figures[f"bytes_{name}"] = sum(one.pop(f"bytes_{name}") for one in instances) / plan.nodes
        shares = cpu.between(from_s, to_s)
        figures[f"cpu_{name}"] = float(shares[:, : plan.real - 1].mean())
        figures[f"cpu_{name}_hollow_process"] = float(shares[:, plan.real : first_instance].mean())
        figures[f"cpu_{name}_instance"] = float(shares[:, first_instance:].mean())
    return {name: float(value) for name, value in figures.items()}


def play(plan: Plan) -> Report:
    """Execute a run. Raises `FileError` for an invalid plan, `ScaleError` if the run can't be completed."""
    faults = refusals(plan, machine())
    if faults:
        raise FileError(f"scale {plan.scenario}", faults)
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(_run(replace(plan)))
