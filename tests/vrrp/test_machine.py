"""The state machine of RFC 9568 section 6.4: a table of every state and event, and further properties."""

from __future__ import annotations

from ipaddress import ip_address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.vrrp.machine import (
    Action,
    Advertise,
    ReceivedAdvertisement,
    State,
    StateMachine,
    Transition,
)

LOW, OWN, HIGH = (ip_address(f"127.1.0.{n}") for n in (1, 2, 3))
INTERVAL = 100  # centiseconds
SKEW = (256 - 100) * 1000 / 256
DOWN = 3 * 1000 + SKEW
INIT, BACKUP, ACTIVE = State.INITIALIZE, State.BACKUP, State.ACTIVE


def machine(state: State, priority: int = 100, preempt: bool = True) -> StateMachine:
    router = StateMachine(priority, INTERVAL, OWN, preempt)
    if state is not INIT:
        router.start(0.0)
    if state is ACTIVE and router.due_ms is not None and router.state is BACKUP:
        router.tick(router.due_ms)
    assert router.state is state
    return router


def transitions(actions: list[Action]) -> list[tuple[State, State]]:
    return [(a.before, a.after) for a in actions if isinstance(a, Transition)]


def advertised_priorities(actions: list[Action]) -> list[int]:
    return [a.priority for a in actions if isinstance(a, Advertise)]


# state, event; expected: advertisements sent, state after, time from the event to the running timer
ROWS = [
    # 6.4.1 Initialize: only Startup does anything
    (INIT, "start", [], BACKUP, DOWN),
    (INIT, "start owner", [255], ACTIVE, 1000),
    (INIT, "stop", [], INIT, None),
    (INIT, "tick", [], INIT, None),
    (INIT, ReceivedAdvertisement(200, 50, HIGH), [], INIT, None),
    # 6.4.2 Backup
    (BACKUP, "start", [], BACKUP, "same"),
    (BACKUP, "stop", [], INIT, None),
    (BACKUP, "due", [100], ACTIVE, 1000),
    (BACKUP, "tick", [], BACKUP, "same"),
    (BACKUP, ReceivedAdvertisement(0, 100, HIGH), [], BACKUP, SKEW),
    (BACKUP, ReceivedAdvertisement(101, 100, LOW), [], BACKUP, DOWN),
    (BACKUP, ReceivedAdvertisement(100, 100, LOW), [], BACKUP, DOWN),
    # Uses the active router's interval.
    (BACKUP, ReceivedAdvertisement(101, 50, LOW), [], BACKUP, 3 * 500 + SKEW / 2),
    # Ignored: preempts when the timer fires.
    (BACKUP, ReceivedAdvertisement(99, 50, HIGH), [], BACKUP, "same"),
    (BACKUP, "no preempt", [], BACKUP, 3 * 500 + SKEW / 2),
    # 6.4.3 Active
    (ACTIVE, "start", [], ACTIVE, "same"),
    (ACTIVE, "stop", [0], INIT, None),
    (ACTIVE, "due", [100], ACTIVE, 1000),
    (ACTIVE, "tick", [], ACTIVE, "same"),
    (ACTIVE, ReceivedAdvertisement(0, 100, HIGH), [100], ACTIVE, 1000),
    (ACTIVE, ReceivedAdvertisement(101, 50, LOW), [], BACKUP, 3 * 500 + SKEW / 2),
    (ACTIVE, ReceivedAdvertisement(100, 100, HIGH), [], BACKUP, DOWN),  # a tie goes to the higher address
    (ACTIVE, ReceivedAdvertisement(100, 100, LOW), [100], ACTIVE, 1000),
    (ACTIVE, ReceivedAdvertisement(99, 100, HIGH), [100], ACTIVE, 1000),  # advertises at once
]


@pytest.mark.parametrize(("state", "event", "advertised", "after", "timer"), ROWS, ids=lambda x: str(x)[:40])
def test_every_state_by_every_event(
    state: State, event: object, advertised: list[int], after: State, timer: object
) -> None:
    router = machine(state, preempt=event != "no preempt")
    before, now_ms = router.due_ms, 50_000.0
    if isinstance(event, ReceivedAdvertisement):
        actions = router.handle_advertisement(now_ms, event)
    elif event == "no preempt":
        actions = router.handle_advertisement(now_ms, ReceivedAdvertisement(99, 50, HIGH))
    elif event == "start owner":
        router = StateMachine(255, INTERVAL, OWN)
        actions = router.start(now_ms)
    elif event == "start":
        actions = router.start(now_ms)
    elif event == "stop":
        actions = router.stop(now_ms)
    else:
        assert event in ("due", "tick")
        if event == "tick" and before is not None:
            now_ms = before - 0.001
        actions = router.tick(now_ms)
    assert advertised_priorities(actions) == advertised
    assert router.state is after
    assert transitions(actions) == ([] if state is after else [(state, after)])
    if timer == "same":
        assert router.due_ms == before
    elif timer is None:
        assert router.due_ms is None
    else:
        assert router.due_ms == pytest.approx(now_ms + float(str(timer)))


def test_backup_takes_over_after_exactly_its_down_interval() -> None:
    router = machine(BACKUP)
    assert router.tick(DOWN - 0.001) == []
    assert transitions(router.tick(DOWN)) == [(BACKUP, ACTIVE)]


def test_timer_fires_once_after_a_long_pause() -> None:
    router = machine(ACTIVE)
    assert advertised_priorities(router.tick(1e6)) == [100]
    assert router.tick(1e6) == []


def test_lowered_priority_is_advertised_at_once_and_yields_to_a_higher_one_received() -> None:
    router = machine(ACTIVE)
    assert advertised_priorities(router.set_priority(9000.0, 50)) == [50] and router.state is ACTIVE
    assert transitions(router.handle_advertisement(9001.0, ReceivedAdvertisement(80, 100, LOW))) == [
        (ACTIVE, BACKUP)
    ]
    assert router.skew_ms == (256 - 50) * 1000 / 256


@pytest.mark.parametrize(("priority", "interval_cs"), [(0, 100), (256, 100), (100, 0), (100, 4096)])
def test_values_out_of_range_raise_value_error(priority: int, interval_cs: int) -> None:
    with pytest.raises(ValueError):
        StateMachine(priority, interval_cs, OWN)


EVENT = st.one_of(
    st.builds(ReceivedAdvertisement, st.integers(0, 255), st.integers(1, 4095), st.sampled_from([LOW, HIGH])),
    st.sampled_from(["start", "stop", "tick"]),
    st.integers(1, 255),
)


@given(st.integers(1, 255), st.booleans(), st.lists(st.tuples(EVENT, st.floats(0, 5000)), max_size=50))
def test_a_timer_runs_in_every_state_but_initialize(
    priority: int, preempt: bool, events: list[tuple[object, float]]
) -> None:
    router, now_ms = StateMachine(priority, INTERVAL, OWN, preempt), 0.0
    for event, wait_ms in events:
        now_ms += wait_ms
        if isinstance(event, ReceivedAdvertisement):
            router.handle_advertisement(now_ms, event)
        elif isinstance(event, int):
            router.set_priority(now_ms, event)
        else:
            getattr(router, str(event))(now_ms)
        assert (router.due_ms is None) == (router.state is INIT)
        if router.due_ms is not None and event != "tick":
            assert router.due_ms <= now_ms + 4 * 4095 * 10
