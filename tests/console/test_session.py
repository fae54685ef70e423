"""What the console shows and does, without terminal or socket."""

from __future__ import annotations

import copy
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.console.session import REFRESH_S, SILENT_S, Ask, Session
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


def nothing(who: Operator, told: Any) -> Json:
    return {}


def commands() -> list[Json]:
    registry = Commands()
    arguments = (Argument("server", str, "x", required=True), Argument("minutes", float, "x"))
    registry.add(Command("drain", "x", nothing, (*arguments, Argument("confirm", str, "x"))))
    registry.add(Command("restore", "x", nothing, arguments[:1]), Command("status", "x", nothing))
    return registry.help()


def online(servers: tuple[Json, ...] = (server("s-1"), server("s-2")), **status: Any) -> Session:
    session = Session("x", 0.0)
    (ask,) = session.connected(HELLO)
    session.answered(ask, {"ok": True, "result": {"commands": commands()}})
    look(session, servers, **status)
    return session


def look(session: Session, servers: tuple[Json, ...], **status: Any) -> None:
    result = {"status": {**copy.deepcopy(STATUS), **status}, "servers": list(servers)}
    session.answered(Ask("look"), {"ok": True, "result": result})


def enter(session: Session, line: str) -> list[Ask]:
    asks = [ask for key in line for ask in session.key(key)]
    return asks + session.key("ENTER")


def shown(session: Session, height: int = 24, width: int = 79, now_s: float = 1.0) -> str:
    return "\n".join(row.text for row in session.rows(height, width, now_s)[0])


LAST = {"code": "last_healthy", "text": "without s-1 no server can take work", "right": "", "remaining": {}}


def refused() -> tuple[Session, Ask]:
    session = online()
    (ask,) = enter(session, "drain s-1 minutes=5")
    assert ask == Ask("drain", {"server": "s-1", "minutes": 5.0}, typed=True)
    session.answered(ask, {"ok": False, "error": LAST})
    return session, ask


def test_last_healthy_server_goes_on_only_with_its_name_typed() -> None:
    session, _ = refused()
    assert "NOT DRAINED" in shown(session) and "type s-1 to drain> " in shown(session)
    assert enter(session, "s-1") == [
        Ask("drain", {"server": "s-1", "minutes": 5.0, "confirm": "s-1"}, typed=True)
    ]
    assert "type s-1" not in shown(session)


@pytest.mark.parametrize("typed", ["", "y", "yes", "s-2", "s-1 x", "drain s-1"])
def test_anything_else_drains_nothing(typed: str) -> None:
    session, _ = refused()
    assert enter(session, typed) == []
    assert "s-1 is not drained" in shown(session)
    assert enter(session, "s-1") == []  # and the question is over


@pytest.mark.parametrize("key", ["INTERRUPT", "ESCAPE"])
def test_question_can_be_left(key: str) -> None:
    session, _ = refused()
    assert session.key(key) == [] and "s-1 is not drained" in shown(session)
    assert "type s-1 to drain" not in shown(session)


def test_question_does_not_outlive_the_connection() -> None:
    session, _ = refused()
    session.lost("gone", 2.0)
    session.connected(HELLO)
    assert enter(session, "s-1") == []
    assert "type s-1" not in shown(session)


def test_lost_connection_is_said_with_its_reason_and_the_return_too() -> None:
    session = online()
    session.lost("the proxy closed the connection", 10.0)
    text = shown(session, now_s=13.0)
    assert "NO CONNECTION for 3s: the proxy closed the connection" in text
    assert "s-1" in text  # what was seen last stays
    assert enter(session, "drain s-1") == [] and "not sent" in shown(session)
    session.connected({**HELLO, "boot": "b2"})
    text = shown(session)
    assert "NO CONNECTION" not in text and "started anew" in text


def test_command_whose_answer_is_lost_is_not_called_done() -> None:
    session = online()
    (ask,) = enter(session, "drain s-1")
    session.answered(ask, {"ok": False, "error": {"code": "lost", "text": "look whether it was done"}})
    assert "look whether it was done" in shown(session)


def test_one_poll_is_out_at_a_time_and_a_silent_proxy_is_noticed() -> None:
    session = online()
    assert {ask.do for ask in session.poll(10.0, 20)} == {"look", "events"}
    assert session.poll(20.0, 20) == []
    assert not session.silent(10.0 + SILENT_S) and session.silent(10.1 + SILENT_S)
    look(session, ())
    assert not session.silent(100.0)
    assert session.poll(10.0 + REFRESH_S / 2, 20) == []
    assert session.poll(10.0 + REFRESH_S, 20) != []


def test_commands_effect_is_looked_at_once() -> None:
    session = online()
    session.poll(10.0, 20)
    (ask,) = enter(session, "restore s-1")
    answer = {"server": "s-1", "before": "drained", "after": "ready", "changed": True, "saved": True,
              "by": "anna (uid 5, pid 7)", "at_ms": 0.0, "until_ms": None}  # fmt: skip
    session.answered(ask, {"ok": True, "result": answer})
    assert session.hurry and session.poll(10.1, 20) != []
    assert "s-1: drained -> ready, by anna" in shown(session)


def test_keys_one_to_four_show_the_screens_unless_something_is_typed() -> None:
    session = online()
    for key, head in (("2", "REFUSED/s"), ("F3", "REQUEST"), ("4", "WHAT"), ("F1", "PAY")):
        session.key(key)
        assert head in shown(session)
    session.key("s")
    session.key("2")
    assert session.editor.text == "s2" and "PAY" in shown(session)


def test_many_servers_are_paged() -> None:
    session = online(tuple(server(f"s-{i:02}") for i in range(40)))
    first = shown(session)
    assert "s-00" in first and "s-39" not in first and "more: PgDn" in first
    for _ in range(9):
        session.key("PAGE_DOWN")
    assert "s-39" in shown(session) and "s-00" not in shown(session)
    for _ in range(9):
        session.key("-")
    assert "s-00" in shown(session)


def test_state_names_who_drained_and_what_is_left_of_the_time() -> None:
    by = {"by": "anna (uid 5, pid 7)", "since_ms": 0.0, "until_ms": None, "note": ""}
    session = online((server("s-1", state="drained", drain=by),
                      server("s-2", state="drained", drain={**by, "until_ms": 240_000.0}),
                      server("s-3", condition="paused 1.2s"),
                      server("s-4", state="drained+absent", drain=by, condition="absent")))  # fmt: skip
    text = shown(session)
    for words in ("s-1          drained  by anna", "s-2          drained  4m left", "paused 1.2s", "dr+abs"):
        assert words in text


def test_alarms_stand_above_the_screen() -> None:
    session = online(alarms=["no server can take work", "drains unreadable"])
    assert "ALARM (and 1 more: status): no server can take work" in shown(session)


def test_box_of_a_pair_shows_its_role() -> None:
    session = online(pair={"state": "active", "taking": True, "why_not": ""})
    assert "[active, takes work] all is well" in shown(session)
    session = online(pair={"state": "backup", "taking": False, "why_not": "backup: a is to take"})
    assert "[backup: a is to take]" in shown(session)


def test_lines_that_matter_fit_eighty_columns() -> None:
    from cloverrouter.console import text

    busy = server("a-very-long-name-of-a-server", in_flight=128, limit=256.0, latency_ms=99999.0,
                  served_s=1234.5, failed_s=1234.5, report_age_s=86400.0 * 30)  # fmt: skip
    assert len(text.server_line(busy, 0.0)) <= 79
    assert len(text.summary(STATUS)) <= 79
    for head in (text.SERVERS_HEAD, text.LOAD_HEAD, text.FAILURES_HEAD):
        assert len(head) <= 79


@given(st.integers(1, 60), st.integers(2, 140), st.text(max_size=60), st.sampled_from("1234"))
def test_any_window_gets_its_rows(height: int, width: int, typed: str, screen: str) -> None:
    session = online((server("\x1b[2J\x07evil"), server("s-2")), alarms=["\x1b]0;x\x07"])
    session.key(screen)
    for key in typed:
        session.key(key)
    rows, (y, x), own = session.rows(height, width, 1.0)
    assert len(rows) == height and 0 <= y < height and 0 <= x < width
    assert all(0 <= row < height for row in own)
    assert all("\x1b" not in row.text and "\x07" not in row.text for row in rows)
