"""The check that rejects a drain of the last healthy server."""

from __future__ import annotations

import pytest

from cloverrouter.interface import EndpointState, EndpointView
from cloverrouter.roster.guard import check_drain


def view(
    name: str, state: EndpointState = EndpointState.READY, paused_ms: float = 0, unresponsive: bool = False
) -> EndpointView:
    return EndpointView(name, "", 0, state, 0, 4.0, 1.0, 1.0, paused_ms, unresponsive, 0, 10.0)


def test_drain_is_allowed_while_another_server_is_healthy() -> None:
    assert check_drain([view("a"), view("b")], "a") is None
    assert check_drain([view("a"), view("b", paused_ms=9), view("c")], "a") is None


@pytest.mark.parametrize(
    ("other", "text"),
    [
        (view("b", EndpointState.DRAINING), "b is draining"),
        (view("b", paused_ms=1200), "b is paused 1.2s"),
        (view("b", unresponsive=True), "b is silent"),
    ],
)
def test_drain_of_the_last_healthy_server_is_rejected_with_the_remaining_states(
    other: EndpointView, text: str
) -> None:
    rejection = check_drain([view("a"), other], "a")
    assert rejection is not None and text in rejection.text()


def test_drain_of_the_only_server_is_rejected() -> None:
    rejection = check_drain([view("a")], "a")
    assert rejection is not None and "only server" in rejection.text()


def test_drain_of_a_paused_server_is_rejected_if_no_other_is_healthy() -> None:
    assert check_drain([view("a", paused_ms=5), view("b", unresponsive=True)], "a") is not None


def test_server_that_discovery_drains_or_does_not_list_may_be_drained() -> None:
    assert check_drain([view("a", EndpointState.DRAINING)], "a") is None
    assert check_drain([], "a") is None
