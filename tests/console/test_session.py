"""The console's logic, without a terminal or a socket."""

from __future__ import annotations

import copy
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.console.session import ANSWER_TIMEOUT_S, REFRESH_S, ProxyRequest, Session
from cloverrouter.seams import Argument, Command, Commands, Json, Operator

HELLO = {"hello": "cloverrouter", "name": "n0", "boot": "b1"}
STATUS: Json = {
    "name": "n0", "boot": "b1", "at_ms": 0.0, "uptime_s": 5.0, "stopping": False, "open": 3, "held": 1,
    "servers": {"listed": 2, "healthy": 2, "drained": 0}, "clients": 4, "retry_tokens": 100.0,
    "discovery": "well", "alarms": [], "last_event": 0,
    "rates": {"taken": 30.0, "served": 29.0, "refused": 0.5, "failed": 0.5}, "counts": {},
}  # fmt: skip


def server(name: str, **more: Any) -> Json:
    return {
        "server": name, "zone": "a", "address": "", "state": "ready", "drain": None, "condition": "ready",
        "healthy": True, "served_s": 10.0, "failed_s": 0.0, "served": 1, "failed": 0, "outcomes": {},
        "report": {"inflight": 3.0, "queue": 1.0}, "report_age_s": 0.4, "in_flight": 2, "limit": 4.0,
        "payoff": 0.97, "warmth": 1.0, "paused_s": 0.0, "latency_ms": 35.0, **more,
    }  # fmt: skip


def empty_result(operator: Operator, arguments: Any) -> Json:
    return {}


def commands() -> list[Json]:
    registry = Commands()
    arguments = (Argument("server", str, "x", required=True), Argument("minutes", float, "x"))
    registry.add(Command("drain", "x", empty_result, (*arguments, Argument("confirm", str, "x"))))
    registry.add(Command("restore", "x", empty_result, arguments[:1]), Command("status", "x", empty_result))
    return registry.help()


def connected_session(servers: tuple[Json, ...] = (server("s-1"), server("s-2")), **status: Any) -> Session:
    session = Session("x", 0.0)
    (request,) = session.connected(HELLO)
    session.answered(request, {"ok": True, "result": {"commands": commands()}})
    answer_poll(session, servers, **status)
    return session


def answer_poll(session: Session, servers: tuple[Json, ...], **status: Any) -> None:
    result = {"status": {**copy.deepcopy(STATUS), **status}, "servers": list(servers)}
    session.answered(ProxyRequest("look"), {"ok": True, "result": result})


def enter(session: Session, line: str) -> list[ProxyRequest]:
    requests = [request for key in line for request in session.key(key)]
    return requests + session.key("ENTER")


def screen_text(session: Session, height: int = 24, width: int = 79, now_s: float = 1.0) -> str:
    return "\n".join(row.text for row in session.rows(height, width, now_s)[0])


LAST_HEALTHY_ERROR = {
    "code": "last_healthy",
    "text": "without s-1 no server can take work",
    "right": "",
    "remaining": {},
}


def refused_drain() -> tuple[Session, ProxyRequest]:
    session = connected_session()
    (request,) = enter(session, "drain s-1 minutes=5")
    assert request == ProxyRequest("drain", {"server": "s-1", "minutes": 5.0}, typed=True)
    session.answered(request, {"ok": False, "error": LAST_HEALTHY_ERROR})
    return session, request


def test_drain_of_the_last_healthy_server_needs_its_name_typed() -> None:
    session, _ = refused_drain()
    assert "NOT DRAINED" in screen_text(session) and "type s-1 to drain> " in screen_text(session)
    assert enter(session, "s-1") == [
        ProxyRequest("drain", {"server": "s-1", "minutes": 5.0, "confirm": "s-1"}, typed=True)
    ]
    assert "type s-1" not in screen_text(session)


@pytest.mark.parametrize("typed", ["", "y", "yes", "s-2", "s-1 x", "drain s-1"])
def test_any_other_input_cancels_the_drain(typed: str) -> None:
    session, _ = refused_drain()
    assert enter(session, typed) == []
    assert "s-1 is not drained" in screen_text(session)
    assert enter(session, "s-1") == []  # the confirmation is over


@pytest.mark.parametrize("key", ["INTERRUPT", "ESCAPE"])
def test_confirmation_can_be_cancelled_by_key(key: str) -> None:
    session, _ = refused_drain()
    assert session.key(key) == [] and "s-1 is not drained" in screen_text(session)
    assert "type s-1 to drain" not in screen_text(session)


def test_confirmation_ends_with_the_connection() -> None:
    session, _ = refused_drain()
    session.lost("gone", 2.0)
    session.connected(HELLO)
    assert enter(session, "s-1") == []
    assert "type s-1" not in screen_text(session)


def test_connection_loss_and_reconnection_are_shown() -> None:
    session = connected_session()
    session.lost("the proxy closed the connection", 10.0)
    text = screen_text(session, now_s=13.0)
    assert "NO CONNECTION for 3s: the proxy closed the connection" in text
    assert "s-1" in text  # the last data stays on the screen
    assert enter(session, "drain s-1") == [] and "not sent" in screen_text(session)
    session.connected({**HELLO, "boot": "b2"})
    text = screen_text(session)
    assert "NO CONNECTION" not in text and "started anew" in text


def test_command_with_a_lost_answer_is_not_reported_as_done() -> None:
    session = connected_session()
    (request,) = enter(session, "drain s-1")
    session.answered(request, {"ok": False, "error": {"code": "lost", "text": "look whether it was done"}})
    assert "look whether it was done" in screen_text(session)


def test_single_poll_is_outstanding_and_times_out() -> None:
    session = connected_session()
    assert {request.do for request in session.poll(10.0, 20)} == {"look", "events"}
    assert session.poll(20.0, 20) == []
    assert not session.answer_overdue(10.0 + ANSWER_TIMEOUT_S) and session.answer_overdue(
        10.1 + ANSWER_TIMEOUT_S
    )
    answer_poll(session, ())
    assert not session.answer_overdue(100.0)
    assert session.poll(10.0 + REFRESH_S / 2, 20) == []
    assert session.poll(10.0 + REFRESH_S, 20) != []


def test_command_triggers_an_immediate_poll() -> None:
    session = connected_session()
    session.poll(10.0, 20)
    (request,) = enter(session, "restore s-1")
    answer = {"server": "s-1", "before": "drained", "after": "ready", "changed": True, "saved": True,
              "by": "anna (uid 5, pid 7)", "at_ms": 0.0, "until_ms": None}  # fmt: skip
    session.answered(request, {"ok": True, "result": answer})
    assert session.redraw_now and session.poll(10.1, 20) != []
    assert "s-1: drained -> ready, by anna" in screen_text(session)


def test_digit_keys_switch_screens_only_at_an_empty_prompt() -> None:
    session = connected_session()
    for key, header in (("2", "REFUSED/s"), ("F3", "REQUEST"), ("4", "WHAT"), ("F1", "PAY")):
        session.key(key)
        assert header in screen_text(session)
    session.key("s")
    session.key("2")
    assert session.editor.text == "s2" and "PAY" in screen_text(session)


def test_long_server_list_is_paged() -> None:
    session = connected_session(tuple(server(f"s-{i:02}") for i in range(40)))
    first = screen_text(session)
    assert "s-00" in first and "s-39" not in first and "more: PgDn" in first
    for _ in range(9):
        session.key("PAGE_DOWN")
    assert "s-39" in screen_text(session) and "s-00" not in screen_text(session)
    for _ in range(9):
        session.key("-")
    assert "s-00" in screen_text(session)


def test_server_row_shows_drain_operator_and_remaining_time() -> None:
    by = {"by": "anna (uid 5, pid 7)", "since_ms": 0.0, "until_ms": None, "note": ""}
    session = connected_session((server("s-1", state="drained", drain=by),
                      server("s-2", state="drained", drain={**by, "until_ms": 240_000.0}),
                      server("s-3", condition="paused 1.2s"),
                      server("s-4", state="drained+absent", drain=by, condition="absent")))  # fmt: skip
    text = screen_text(session)
    for words in ("s-1          drained  by anna", "s-2          drained  4m left", "paused 1.2s", "dr+abs"):
        assert words in text


def test_first_alarm_and_alarm_count_are_shown() -> None:
    session = connected_session(alarms=["no server can take work", "drains unreadable"])
    assert "ALARM (and 1 more: status): no server can take work" in screen_text(session)


def test_member_of_a_pair_shows_its_role() -> None:
    session = connected_session(pair={"state": "active", "taking": True, "why_not": ""})
    assert "[active, takes work] all is well" in screen_text(session)
    session = connected_session(pair={"state": "backup", "taking": False, "why_not": "backup: a is to take"})
    assert "[backup: a is to take]" in screen_text(session)


def test_server_rows_summary_and_headers_fit_80_columns() -> None:
    from cloverrouter.console import text

    busy = server("a-very-long-name-of-a-server", in_flight=128, limit=256.0, latency_ms=99999.0,
                  served_s=1234.5, failed_s=1234.5, report_age_s=86400.0 * 30)  # fmt: skip
    assert len(text.server_line(busy, 0.0)) <= 79
    assert len(text.summary(STATUS)) <= 79
    for header in (text.SERVERS_HEADER, text.LOAD_HEADER, text.FAILURES_HEADER):
        assert len(header) <= 79


@given(st.integers(1, 60), st.integers(2, 140), st.text(max_size=60), st.sampled_from("1234"))
def test_rows_fit_any_window_size(height: int, width: int, typed: str, screen: str) -> None:
    session = connected_session((server("\x1b[2J\x07evil"), server("s-2")), alarms=["\x1b]0;x\x07"])
    session.key(screen)
    for key in typed:
        session.key(key)
    rows, (y, x), urgent = session.rows(height, width, 1.0)
    assert len(rows) == height and 0 <= y < height and 0 <= x < width
    assert all(0 <= row < height for row in urgent)
    assert all("\x1b" not in row.text and "\x07" not in row.text for row in rows)
