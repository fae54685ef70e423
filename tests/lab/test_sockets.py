"""The same scenarios on sockets: the real program, the same rules and monitors, bounded in time."""

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
from cloverrouter.lab.sockets import Play, play
from cloverrouter.strict import FileError

ROUGH = """
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


def rough(*faults: tuple[str, float, str]) -> Scenario:
    return read(
        ROUGH + "".join(f'[[fault]]\nkind = "{kind}"\nat_s = {at}\n{rest}\n' for kind, at, rest in faults)
    )


def test_the_same_file_and_seed_on_both_drivers() -> None:
    """Every kind of fault in a row, and no rule broken; what is served agrees."""
    real, model = play(rough(*FAULTS), 1), simulate(rough(*FAULTS), 1)
    for result in (real, model):
        assert not result.broken, (result.broken, result.last)
        assert [text.split()[0] for _, _, text in result.series.faults] == [kind for kind, _, _ in FAULTS]
    assert abs(real.figures.asked - model.figures.asked) <= 0.03 * model.figures.asked
    assert real.figures.served > 0.8 and abs(real.figures.served - model.figures.served) < 0.1
    assert real.figures.cpu_us_per_request and real.figures.attempts > 100


def test_a_clock_that_jumps_moves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    class Jumping:
        """The wall clock, an hour ahead after it was first looked at."""

        looks = 0

        def __getattr__(self, name: str) -> object:
            return getattr(time, name)

        def time(self) -> float:
            self.looks += 1
            return time.time() + (3600 if self.looks > 1 else 0)

    jumping = Jumping()
    monkeypatch.setattr(sockets, "time", jumping)
    scenario = change(rough(("crash", 0.5, 'for_s = 0.7\nservers = ["s-1"]')), "seconds", 3.0)
    result = play(scenario, 2)
    assert not result.broken and result.figures.worth > 0.8
    assert jumping.looks == 1  # the offset is taken once: a second look would be the jump


def test_a_load_that_this_machine_cannot_send_is_not_the_proxies_fault(tmp_path: Path) -> None:
    async def stalled() -> tuple[float, list[str]]:
        running = Play(change(rough(), "seconds", 2.0), 1, tmp_path)
        asyncio.get_running_loop().call_later(2.0, time.sleep, 0.4)
        result = await running.run()
        return result.figures.late_ms or 0.0, result.notes

    late_ms, notes = asyncio.run(stalled())
    assert late_ms > 20 and any("the load was late" in note for note in notes)
    few = change(change(change(rough(), "office[0].connections", 1), "office[0].rate", 300), "seconds", 2.0)
    result = play(few, 1)
    assert result.figures.unsent > 50 and any("were not sent" in note for note in result.notes)
    assert not result.broken
    with pytest.raises(FileError, match="on sockets each is a process; at most 64"):
        play(load("quiet-proxies"), 1)


def test_load_from_several_processes_is_added_up() -> None:
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


def test_two_events_at_one_instant_keep_their_order() -> None:
    engine, seen = Engine(), list[str]()
    engine.post(1.0, seen.append, "first")
    late = engine.call_later(1.0, seen.append, "called off")
    engine.post(1.0, lambda: engine.post(0.0, seen.append, "asked for at that instant"))
    engine.post(1.0, seen.append, "second")
    late.cancel()
    engine.run(2.0)
    assert seen == ["first", "second", "asked for at that instant"] and engine.now == 2.0


def test_a_fault_within_one_step_leaves_nothing_behind() -> None:
    blink = "for_s = 0.000001"
    cut = f'{blink}\nfrom = ["*"]\nto = ["*"]'
    scenario = rough(("freeze", 2.0, blink), ("fail", 2.0, blink), ("cut", 2.0, cut))
    one, other = simulate(scenario, 1).figures, simulate(rough(), 1).figures
    assert (one.asked, one.in_aim) == (other.asked, other.in_aim)


def test_discovery_answers_an_unknown_version_with_the_whole_list() -> None:
    engine, heard = Engine(), list[object]()
    registry = Registry(engine, load("calm").discovery, Draws(1, "d"))
    registry.call(99, 3.0, heard.append)
    registry.call(1, 3.0, heard.append)
    assert len(heard) == 1 and heard[0] == registry.listing()
    registry.restart()  # breaks the watch on the old process
    assert heard[1:] == [None]
    registry.hush()
    registry.call(None, 0.0, heard.append)
    engine.run(10.0)
    assert len(heard) == 2


def test_drafts_in_memory_are_bounded_and_lost_with_their_process() -> None:
    engine, worked = Engine(), list[float]()
    kind = Servers(drafts=2, handshake_ms=0)
    server = Server(engine, "s-1", "a", 0, kind, Safety(), 1.0, Draws(1, "s"))

    def took(*about: str) -> list[float]:
        worked.clear()
        for each in about:
            begun = engine.now
            job = Job(1, "c", "p", None, 100.0, lambda reply, begun=begun: worked.append(engine.now - begun))  # type: ignore[misc]
            job.about, job.saves = each, 0.75
            server.receive(job)
            engine.run(engine.now + 1)
        return [round(1000 * s) for s in worked]

    assert took("x", "x", "y", "x") == [100, 25, 100, 25]
    assert took("z", "x", "y") == [100, 25, 100]  # the oldest made room
    server.crash()
    server.start()
    engine.run(engine.now + 10)
    assert took("x", "x") == [100, 25]
