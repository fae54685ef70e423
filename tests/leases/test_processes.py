"""Real proxies that share leases and are killed, paused, partitioned and shut down. Their acts on a shared
resource are checked."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

import pytest

from cloverrouter.lab.actor import Act
from cloverrouter.lab.fleet import Fault, Fleet, ObservedAct, check, fleet, timeline

Scene = Callable[[Fleet], Awaitable[None]]


def play(scene: Scene, size: int = 5, promise_ms: int = 400, room: int = 1) -> None:
    async def run() -> None:
        async with fleet(size, promise_ms, seats=room) as running:
            await scene(running)
            assert not running.check() and running.accepted()

    asyncio.run(run())


@pytest.mark.parametrize("seed", range(20))
def test_timelines_of_faults(seed: int) -> None:
    """`lab.fleet.timeline(seed)` repeats a failing timeline."""
    finished = asyncio.run(timeline(seed))
    assert not finished.check(), "\n".join(finished.history)
    assert len(finished.accepted()) >= 10 and finished.history, "too few acts, or no faults"


def test_act_delayed_by_a_process_pause_is_refused_by_the_resource() -> None:
    """The holder is paused between its check and its act, for longer than its lease."""

    async def scene(running: Fleet) -> None:
        holder = running.holder
        running.members[holder].signal(signal.SIGUSR1)
        await running.acts(not_by=holder)  # it is paused, and another member holds the task
        running.faults.append(Fault("stop", holder, time.monotonic() - 5.0, time.monotonic()))
        before = len(running.resource.acts)
        running.members[holder].signal(signal.SIGCONT)
        await running.acts(count=5)
        late = [noted for noted in running.resource.acts[before:] if noted.act.box == holder]
        assert [noted.accepted for noted in late] == [False]  # only the act that the pause interrupted

    play(scene)


@pytest.mark.parametrize("what", ["killed", "paused", "partitioned", "outgoing lost", "incoming lost"])
def test_another_member_acts_when_the_holder_is(what: str) -> None:
    async def scene(running: Fleet) -> None:
        holder, process = running.holder, running.members[running.holder]
        links = [ends for ends in running.links if holder in ends]
        match what:
            case "killed":
                process.signal(signal.SIGKILL)
                running.faults.append(Fault("kill", holder, time.monotonic(), float("inf")))
            case "paused":
                process.signal(signal.SIGSTOP)
                running.faults.append(Fault("stop", holder, time.monotonic(), float("inf")))
            case "outgoing lost":
                links = [ends for ends in links if ends[0] == holder]
            case "incoming lost":
                links = [ends for ends in links if ends[1] == holder]
        for ends in links if what in ("partitioned", "outgoing lost", "incoming lost") else ():
            running.links[ends].cut = True
        from_s = time.monotonic()
        first_act = (await running.acts(not_by=holder))[0]
        assert first_act.begun_s - from_s < 20 * running.promise_s
        await running.acts(not_by=holder, count=5)
        if what == "partitioned":
            assert not [noted for noted in running.accepted(first_act.begun_s) if noted.act.box == holder]

    play(scene)


def test_holder_that_is_shut_down_hands_over_at_once() -> None:
    async def scene(running: Fleet) -> None:
        gaps = []
        for _ in range(3):
            await asyncio.sleep(running.promise_s)  # renewals tell the holder who waits
            holder = running.holder
            running.members[holder].signal(signal.SIGTERM)
            first_act = (await running.acts(not_by=holder))[0]
            last_act = [noted for noted in running.accepted() if noted.act.box == holder][-1]
            gaps.append(first_act.begun_s - last_act.begun_s)
            await running.members[holder].ended()
            running.start(holder)
            await running.members[holder].wait_health(200)
        assert min(gaps) < running.promise_s / 2  # without a wait for the lease to expire

    play(scene, promise_ms=1000)


def test_all_voters_restarted_within_the_duration_of_one_grant() -> None:
    async def scene(running: Fleet) -> None:
        before = running.accepted()[-1].act.token
        await asyncio.gather(*(running.kill(name, 0.05) for name in ("p0", "p1", "p2")))
        after = (await running.acts())[-1].act.token
        assert after >= before

    play(scene, promise_ms=1500)


def test_partition_that_moves_continually() -> None:
    async def scene(running: Fleet) -> None:
        names = list(running.members)
        for turn in range(7):  # each member alone, so that the holder loses the task once; then 2 of 5
            side = {names[(turn + i) % 5] for i in range(1 if turn < 5 else 2)}
            links = [ends for ends in running.links if (ends[0] in side) != (ends[1] in side)]
            await running.cut(links, 0.6)
        await running.acts(count=3)
        assert running.holder_changes

    play(scene)


def test_only_a_majority_of_voters_allows_acts() -> None:
    """Two of three voters are partitioned from all members: none acts once the holder's lease has expired."""

    async def scene(running: Fleet) -> None:
        for ends in running.links:
            if {"p0", "p1"} & set(ends):
                running.links[ends].cut = True
        await asyncio.sleep(running.promise_s * 1.5)
        from_s = time.monotonic()
        await asyncio.sleep(running.promise_s * 3)
        assert not running.accepted(from_s)
        for link in running.links.values():
            link.cut = False
        await running.acts(count=3)

    play(scene)


def test_two_seats_have_two_holders_and_never_three() -> None:
    async def scene(running: Fleet) -> None:
        await asyncio.sleep(running.promise_s * 3)
        from_s = time.monotonic()
        await running.acts(count=60)
        acts = running.accepted(from_s)
        assert len({noted.act.box for noted in acts}) == 2 and {noted.act.seat for noted in acts} == {0, 1}

    play(scene, room=2)


# The checker


def noted(member: str, token: int, begun_s: float, ended_s: float, accepted: bool = True) -> ObservedAct:
    return ObservedAct(Act(member, ord(member), 0, token, True, begun_s), begun_s, ended_s, accepted)


STOP = Fault("stop", "a", 1.0, 5.0)


@pytest.mark.parametrize(
    ("acts", "faults", "broken"),
    [
        ([noted("a", 1, 0, 1), noted("b", 2, 2, 3)], [], 0),
        ([noted("a", 1, 0, 2), noted("b", 2, 1, 3)], [], 1),  # the acts overlap
        ([noted("a", 1, 0, 5.2), noted("b", 2, 3, 4)], [STOP], 0),  # `a` was paused during its act
        ([noted("a", 1, 0, 1), noted("b", 1, 2, 3)], [], 1),  # both under one token
        ([noted("b", 2, 0, 1), noted("a", 1, 9, 10, False)], [STOP], 1),  # long after the pause
        ([noted("b", 2, 4, 4.5), noted("a", 1, 5.05, 5.1, False)], [STOP], 0),
        ([noted("a", 2, 4, 4.5), noted("b", 1, 5.05, 5.1, False)], [STOP], 1),  # the pause of another member
    ],
)
def test_checker_reports_violations(acts: list[ObservedAct], faults: list[Fault], broken: int) -> None:
    assert len(check(acts, faults)) == broken
