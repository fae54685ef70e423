"""RFC 9568 section 6.4, every state by every event: one row each."""

from __future__ import annotations

from ipaddress import ip_address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.vrrp.machine import Action, Advertise, Became, Heard, Machine, State

LOW, MINE, HIGH = (ip_address(f"127.1.0.{n}") for n in (1, 2, 3))
INTERVAL = 100  # centiseconds
SKEW = (256 - 100) * 1000 / 256
DOWN = 3 * 1000 + SKEW
INIT, BACKUP, ACTIVE = State.INITIALIZE, State.BACKUP, State.ACTIVE


def machine(state: State, priority: int = 100, preempt: bool = True) -> Machine:
    found = Machine(priority, INTERVAL, MINE, preempt)
    if state is not INIT:
        found.start(0.0)
    if state is ACTIVE and found.due_ms is not None and found.state is BACKUP:
        found.tick(found.due_ms)
    assert found.state is state
    return found


def moved(actions: list[Action]) -> list[tuple[State, State]]:
    return [(a.before, a.after) for a in actions if isinstance(a, Became)]


def sent(actions: list[Action]) -> list[int]:
    return [a.priority for a in actions if isinstance(a, Advertise)]


# state, event, then: advertisements sent, state after, time from the event to the running timer
ROWS = [
    # 6.4.1 Initialize: only Startup does anything
    (INIT, "start", [], BACKUP, DOWN),
    (INIT, "start owner", [255], ACTIVE, 1000),
    (INIT, "stop", [], INIT, None),
    (INIT, "tick", [], INIT, None),
    (INIT, Heard(200, 50, HIGH), [], INIT, None),
    # 6.4.2 Backup
    (BACKUP, "start", [], BACKUP, "same"),
    (BACKUP, "stop", [], INIT, None),
    (BACKUP, "due", [100], ACTIVE, 1000),
    (BACKUP, "tick", [], BACKUP, "same"),
    (BACKUP, Heard(0, 100, HIGH), [], BACKUP, SKEW),
    (BACKUP, Heard(101, 100, LOW), [], BACKUP, DOWN),
    (BACKUP, Heard(100, 100, LOW), [], BACKUP, DOWN),
    (BACKUP, Heard(101, 50, LOW), [], BACKUP, 3 * 500 + SKEW / 2),  # the active router's interval counts
    (BACKUP, Heard(99, 50, HIGH), [], BACKUP, "same"),  # preempts in its time
    (BACKUP, "no preempt", [], BACKUP, 3 * 500 + SKEW / 2),
    # 6.4.3 Active
    (ACTIVE, "start", [], ACTIVE, "same"),
    (ACTIVE, "stop", [0], INIT, None),
    (ACTIVE, "due", [100], ACTIVE, 1000),
    (ACTIVE, "tick", [], ACTIVE, "same"),
    (ACTIVE, Heard(0, 100, HIGH), [100], ACTIVE, 1000),
    (ACTIVE, Heard(101, 50, LOW), [], BACKUP, 3 * 500 + SKEW / 2),
    (ACTIVE, Heard(100, 100, HIGH), [], BACKUP, DOWN),  # a tie goes to the higher address
    (ACTIVE, Heard(100, 100, LOW), [100], ACTIVE, 1000),
    (ACTIVE, Heard(99, 100, HIGH), [100], ACTIVE, 1000),  # asserted at once
]


@pytest.mark.parametrize(("state", "event", "advertised", "after", "timer"), ROWS, ids=lambda x: str(x)[:40])
def test_every_state_by_every_event(
    state: State, event: object, advertised: list[int], after: State, timer: object
) -> None:
    found = machine(state, preempt=event != "no preempt")
    before, now_ms = found.due_ms, 50_000.0
    if isinstance(event, Heard):
        actions = found.heard(now_ms, event)
    elif event == "no preempt":
        actions = found.heard(now_ms, Heard(99, 50, HIGH))
    elif event == "start owner":
        found = Machine(255, INTERVAL, MINE)
        actions = found.start(now_ms)
    elif event == "start":
        actions = found.start(now_ms)
    elif event == "stop":
        actions = found.stop(now_ms)
    else:
        assert event in ("due", "tick")
        if event == "tick" and before is not None:
            now_ms = before - 0.001
        actions = found.tick(now_ms)
    assert sent(actions) == advertised
    assert found.state is after
    assert moved(actions) == ([] if state is after else [(state, after)])
    if timer == "same":
        assert found.due_ms == before
    elif timer is None:
        assert found.due_ms is None
    else:
        assert found.due_ms == pytest.approx(now_ms + float(str(timer)))


def test_backup_takes_over_after_exactly_its_down_interval() -> None:
    found = machine(BACKUP)
    assert found.tick(DOWN - 0.001) == []
    assert moved(found.tick(DOWN)) == [(BACKUP, ACTIVE)]


def test_long_pause_fires_a_timer_once_and_not_for_each_interval_missed() -> None:
    found = machine(ACTIVE)
    assert sent(found.tick(1e6)) == [100]
    assert found.tick(1e6) == []


def test_priority_that_falls_is_advertised_at_once_and_yields_by_what_is_heard() -> None:
    found = machine(ACTIVE)
    assert sent(found.set_priority(9000.0, 50)) == [50] and found.state is ACTIVE
    assert moved(found.heard(9001.0, Heard(80, 100, LOW))) == [(ACTIVE, BACKUP)]
    assert found.skew_ms == (256 - 50) * 1000 / 256


@pytest.mark.parametrize(("priority", "interval_cs"), [(0, 100), (256, 100), (100, 0), (100, 4096)])
def test_figures_out_of_range_are_errors(priority: int, interval_cs: int) -> None:
    with pytest.raises(ValueError):
        Machine(priority, interval_cs, MINE)


EVENT = st.one_of(
    st.builds(Heard, st.integers(0, 255), st.integers(1, 4095), st.sampled_from([LOW, HIGH])),
    st.sampled_from(["start", "stop", "tick"]),
    st.integers(1, 255),
)


@given(st.integers(1, 255), st.booleans(), st.lists(st.tuples(EVENT, st.floats(0, 5000)), max_size=50))
def test_a_timer_runs_in_every_state_but_initialize(
    priority: int, preempt: bool, events: list[tuple[object, float]]
) -> None:
    found, now_ms = Machine(priority, INTERVAL, MINE, preempt), 0.0
    for event, wait_ms in events:
        now_ms += wait_ms
        if isinstance(event, Heard):
            found.heard(now_ms, event)
        elif isinstance(event, int):
            found.set_priority(now_ms, event)
        else:
            getattr(found, str(event))(now_ms)
        assert (found.due_ms is None) == (found.state is INIT)
        if found.due_ms is not None and event != "tick":
            assert found.due_ms <= now_ms + 4 * 4095 * 10
