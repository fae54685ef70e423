"""The last server that can take work is not drained by mistake."""

from __future__ import annotations

import pytest

from cloverrouter.interface import EndpointState, EndpointView
from cloverrouter.roster.guard import check_drain


def view(
    name: str, state: EndpointState = EndpointState.READY, paused_ms: float = 0, silent: bool = False
) -> EndpointView:
    return EndpointView(name, "", 0, state, 0, 4.0, 1.0, 1.0, paused_ms, silent, 0, 10.0)


def test_drain_is_allowed_while_another_can_take_work() -> None:
    assert check_drain([view("a"), view("b")], "a") is None
    assert check_drain([view("a"), view("b", paused_ms=9), view("c")], "a") is None


@pytest.mark.parametrize(
    ("other", "word"),
    [
        (view("b", EndpointState.DRAINING), "b is draining"),
        (view("b", paused_ms=1200), "b is paused 1.2s"),
        (view("b", silent=True), "b is silent"),
    ],
)
def test_last_that_can_take_work_is_refused_with_what_would_remain(other: EndpointView, word: str) -> None:
    last = check_drain([view("a"), other], "a")
    assert last is not None and word in last.text()


def test_only_server_is_refused() -> None:
    last = check_drain([view("a")], "a")
    assert last is not None and "only server" in last.text()


def test_server_that_is_paused_just_now_is_missed_too_if_no_other_works() -> None:
    assert check_drain([view("a", paused_ms=5), view("b", silent=True)], "a") is not None


def test_server_that_discovery_lets_go_is_no_loss() -> None:
    assert check_drain([view("a", EndpointState.DRAINING)], "a") is None
    assert check_drain([], "a") is None
