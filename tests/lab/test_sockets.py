"""Scenarios on sockets with the real proxy program; also loads, the event queue, discovery and servers."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from cloverrouter.lab import sockets
from cloverrouter.lab.draws import Draws
from cloverrouter.lab.engine import Engine
from cloverrouter.lab.http import StandIn
from cloverrouter.lab.load import Load, load_lines, merge, read_target, send_load
from cloverrouter.lab.network import Net
from cloverrouter.lab.registry import Registry
from cloverrouter.lab.scenario import Network, Safety, Scenario, Servers, change, load, read
from cloverrouter.lab.server import Job, Server
from cloverrouter.lab.simulation import simulate
from cloverrouter.lab.sockets import SocketRun, run_on_sockets
from cloverrouter.strict import FileError

BASE_SCENARIO = """
name = "rough"
seconds = 7
[proxies]
count = 2
[[class]]
name = "extract"
share = 0.6
effect = "keyed"
window_ms = 800
work_ms = 20
objects = 50
draft_saves = 0.5
[[class]]
name = "entry"
share = 0.4
effect = "unsafe"
work_ms = 30
[[office]]
rate = 60
retries = 1
keeps = 0.8
[[servers]]
count = 4
drafts = 20
halls = ["a", "b"]
[discovery]
add_s = 0.2
notice_s = 0.2
crash_notice_s = 0.5
[safety]
cold_s = 1
"""
FAULTS = (
    ("vanish", 0.5, 'for_s = 1.0\nservers = ["s-1"]'),
    ("cut", 1.0, 'for_s = 0.5\nfrom = ["s-2"]\nto = ["p-0"]'),
    ("reset", 1.5, 'for_s = 0.5\nshare = 0.2\nservers = ["s-3"]'),
    ("silence", 1.5, "for_s = 1.0"),
    ("crash", 2.0, 'for_s = 1.0\nservers = ["s-4"]'),
    ("kill", 2.5, 'for_s = 0.3\nproxies = ["p-0"]'),
    ("restart", 3.5, 'for_s = 0.3\nproxies = ["p-1"]'),
    ("drain", 4.0, 'for_s = 0.8\nservers = ["s-1"]'),
    ("release", 4.5, 'servers = ["s-2"]\ngap_s = 0.4\nwithin_s = 0.1\ntakes_address = true'),
    ("lower_version", 5.0, ""),
    ("break_calls", 5.2, "for_s = 0.5\nshare = 0.5"),
    ("delay", 5.5, "for_s = 0.5\nfactor = 20"),
)


def scenario_with(*faults: tuple[str, float, str]) -> Scenario:
    return read(
        BASE_SCENARIO
        + "".join(f'[[fault]]\nkind = "{kind}"\nat_s = {at}\n{rest}\n' for kind, at, rest in faults)
    )


def test_sockets_and_simulated_time_agree() -> None:
    """With many kinds of faults in a row, neither driver violates a rule, and the shares served agree."""
    real, model = run_on_sockets(scenario_with(*FAULTS), 1), simulate(scenario_with(*FAULTS), 1)
    for result in (real, model):
        assert not result.broken, (result.broken, result.last)
        assert [text.split()[0] for _, _, text in result.series.faults] == [kind for kind, _, _ in FAULTS]
    assert abs(real.figures.asked - model.figures.asked) <= 0.03 * model.figures.asked
    assert real.figures.served > 0.8 and abs(real.figures.served - model.figures.served) < 0.1
    assert real.figures.cpu_us_per_request and real.figures.attempts > 100


def test_wall_clock_step_has_no_effect_on_a_run(monkeypatch: pytest.MonkeyPatch) -> None:
    class SteppedClock:
        """The wall clock, an hour ahead after its first reading."""

        readings = 0

        def __getattr__(self, name: str) -> object:
            return getattr(time, name)

        def time(self) -> float:
            self.readings += 1
            return time.time() + (3600 if self.readings > 1 else 0)

    clock = SteppedClock()
    monkeypatch.setattr(sockets, "time", clock)
    scenario = change(scenario_with(("crash", 0.5, 'for_s = 0.7\nservers = ["s-1"]')), "seconds", 3.0)
    result = run_on_sockets(scenario, 2)
    assert not result.broken and result.figures.worth > 0.8
    assert clock.readings == 1  # the offset is read once: a second reading would include the step


def test_late_or_unsent_load_is_noted_in_the_result(tmp_path: Path) -> None:
    async def run_with_blocked_loop() -> tuple[float, list[str]]:
        running = SocketRun(change(scenario_with(), "seconds", 2.0), 1, tmp_path)
        asyncio.get_running_loop().call_later(2.0, time.sleep, 0.4)
        result = await running.run()
        return result.figures.late_ms or 0.0, result.notes

    late_ms, notes = asyncio.run(run_with_blocked_loop())
    assert late_ms > 20 and any("the load was late" in note for note in notes)
    few_connections = change(
        change(change(scenario_with(), "office[0].connections", 1), "office[0].rate", 300), "seconds", 2.0
    )
    result = run_on_sockets(few_connections, 1)
    assert result.figures.unsent > 50 and any("were not sent" in note for note in result.notes)
    assert not result.broken
    with pytest.raises(FileError, match="on sockets each is a process; at most 64"):
        run_on_sockets(load("quiet-proxies"), 1)


def test_load_from_several_processes_is_merged() -> None:
    async def scene() -> Load:
        loop = asyncio.get_running_loop()
        kind = Servers(cores=64, connections=1000, handshake_ms=0, jam_slower=1)
        server = Server(loop, "s-1", "a", 0, kind, Safety(), 1.0, Draws(1, "s"))
        stand_in = StandIn(server, Net(Network(same_ms=0, client_ms=0), Draws(1, "n")), ["p"])
        stand_in.open()
        host, port = stand_in.address("p")
        scenario = change(load("calm"), "class[*].work_ms", 5)
        found = await loop.run_in_executor(None, send_load, f"{host}:{port}", scenario, 100.0, 2.0, 2, 1)
        stand_in.close()
        return found

    found = asyncio.run(scene())
    assert 120 < found.asked < 290 and found.got == {"served": found.asked}
    assert sum("served" in line for line in load_lines(found)) == 2
    assert merge([found, found]).asked == 2 * found.asked
    for target in ("10.0.0.1:80", "localhost:80", "127.0.0.1", "127.0.0.1:0", "[::1]:70000"):
        with pytest.raises(ValueError, match="on loopback"):
            read_target(target)
    assert read_target("[::1]:80") == ("::1", 80)


def test_simultaneous_events_run_in_the_order_of_scheduling() -> None:
    engine, seen = Engine(), list[str]()
    engine.post(1.0, seen.append, "first")
    cancelled = engine.call_later(1.0, seen.append, "cancelled")
    engine.post(1.0, lambda: engine.post(0.0, seen.append, "scheduled at that time"))
    engine.post(1.0, seen.append, "second")
    cancelled.cancel()
    engine.run(2.0)
    assert seen == ["first", "second", "scheduled at that time"] and engine.now == 2.0


def test_fault_shorter_than_a_step_has_no_effect() -> None:
    duration = "for_s = 0.000001"
    cut = f'{duration}\nfrom = ["*"]\nto = ["*"]'
    scenario = scenario_with(("freeze", 2.0, duration), ("fail", 2.0, duration), ("cut", 2.0, cut))
    one, other = simulate(scenario, 1).figures, simulate(scenario_with(), 1).figures
    assert (one.asked, one.in_aim) == (other.asked, other.in_aim)


def test_discovery_answers_an_unknown_version_with_the_full_list() -> None:
    engine, answers = Engine(), list[object]()
    registry = Registry(engine, load("calm").discovery, Draws(1, "d"))
    registry.call(99, 3.0, answers.append)
    registry.call(1, 3.0, answers.append)
    assert len(answers) == 1 and answers[0] == registry.listing()
    registry.restart()  # breaks the watch on the old process
    assert answers[1:] == [None]
    registry.stop_answering()
    registry.call(None, 0.0, answers.append)
    engine.run(10.0)
    assert len(answers) == 2


def test_drafts_in_memory_are_bounded_and_lost_with_their_process() -> None:
    engine, took_s = Engine(), list[float]()
    kind = Servers(drafts=2, handshake_ms=0)
    server = Server(engine, "s-1", "a", 0, kind, Safety(), 1.0, Draws(1, "s"))

    def service_times_ms(*object_ids: str) -> list[float]:
        took_s.clear()
        for object_id in object_ids:
            begun = engine.now
            job = Job(1, "c", "p", None, 100.0, lambda reply, begun=begun: took_s.append(engine.now - begun))  # type: ignore[misc]
            job.object_id, job.draft_saves = object_id, 0.75
            server.receive(job)
            engine.run(engine.now + 1)
        return [round(1000 * s) for s in took_s]

    assert service_times_ms("x", "x", "y", "x") == [100, 25, 100, 25]
    assert service_times_ms("z", "x", "y") == [100, 25, 100]  # the least recently used one was evicted
    server.crash()
    server.start()
    engine.run(engine.now + 10)
    assert service_times_ms("x", "x") == [100, 25]
