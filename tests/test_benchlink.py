"""The simulator adapter: input, output and exit on invalid input."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from typing import Any

import pytest

from cloverrouter import decide
from cloverrouter.benchlink import serve

Json = dict[str, Any]

FACTS: Json = {
    "balancers": 2,
    "bounds": {"max_attempts": 3, "a key of later years": 1},
    "categories": [{"name": "c", "aim_ms": 100.0, "deadline_ms": 400.0, "effect": "retryable", "worth": 1.0}],
    "discovery": "automatic",
    "safety": {
        "cold_ms": 9000.0,
        "cold_share": 0.3,
        "fall_ms": 1500.0,
        "fall_multiple": 3.0,
        "must_ask_in_ms": 10000.0,
    },
    "unknown": {"x": 1},
}
MEMBERS = [{"host": "h1", "lifecycle": "ready"}, {"host": "h2", "lifecycle": "ready", "colour": "blue"}]
REGISTER: Json = {"register": {"list": 0, "members": MEMBERS}}
SYNC: Json = {"sync": {"scope": "restored", "revision": 1, "list": 0}}


def begin(seed: int = 7) -> Json:
    return {"begin": {"seed": seed, "facts": FACTS}}


def request(handle: int, give_up_at_ms: float = 500.0) -> Json:
    return {"new_request": {"handle": handle, "priority": "c", "give_up_at_ms": give_up_at_ms}}


def batch(n: int, now_ms: float, who: str, *news: Json) -> str:
    return json.dumps({"ts_ms": now_ms, "n": n, "groups": [{"who": who, "news": list(news)}]})


def run(*lines: str) -> tuple[int, list[Json], str]:
    out, err = io.StringIO(), io.StringIO()
    code = serve([line + "\n" for line in lines], out, err)
    return code, [json.loads(line) for line in out.getvalue().splitlines()], err.getvalue()


def test_empty_batch_and_end_of_input() -> None:
    assert run('{"ts_ms":1,"n":1,"groups":[]}') == (0, [{"n": 1, "groups": []}], "")


def test_a_request_is_sent_and_answered() -> None:
    ok = {
        "resolved": {"handle": 5, "n": 0, "host": "h1", "verdict": 100, "delay_seen_ms": 9.5, "closed": True}
    }
    code, replies, err = run(
        batch(1, 10, "proxy_0", begin(), REGISTER, SYNC, request(5)), batch(2, 20, "proxy_0", ok)
    )
    (sent,) = replies[0]["groups"][0]["cmds"]
    assert sent["try"]["handle"] == 5 and sent["try"]["host"] in ("h1", "h2")
    assert (code, replies[1], err) == (0, {"n": 2, "groups": []}, "")


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("{oops", "not JSON"),
        ("[1]", "not an object"),
        ('{"n":1,"groups":[]}', "ts_ms"),
        ('{"ts_ms":1,"n":1,"groups":[{"who":"proxy_0","news":[7]}]}', "one key"),
        ('{"ts_ms":1,"n":1,"groups":[{"who":"proxy_0","news":[{"left":5}]}]}', "not an object"),
        (batch(1, 1, "proxy_0", begin(), {"new_request": {"handle": 1}}), "give_up_at_ms"),
        (batch(1, 1, "proxy_0", begin(), {"new_request": {"handle": "x", "give_up_at_ms": 5}}), "handle"),
        (batch(1, 1, "proxy_0", {"begin": {"seed": 1, "facts": {**FACTS, "balancers": 0}}}), "proxies"),
        (batch(1, 1, "proxy_0", {"left": {"handle": 1}}), "proxy_0"),
        (batch(1, 1, "proxy_0", begin(), {"sync": {"scope": "replace", "list": 3}}), "3"),
    ],
)
def test_an_unreadable_line_ends_the_process_with_one_error_line(line: str, message: str) -> None:
    code, replies, err = run(line)
    assert code != 0 and replies == []
    assert len(err.splitlines()) == 1 and message in err


def test_an_unknown_event_is_reported_once_and_ignored() -> None:
    new = {"weather": {"rain": True}}
    code, replies, err = run(batch(1, 1, "proxy_0", begin(), new, new), batch(2, 2, "proxy_0", new))
    assert code == 0 and len(replies) == 2
    assert err.count("weather") == 1


def test_a_killed_instance_sends_nothing_and_restarts_with_empty_state() -> None:
    code, replies, _ = run(
        batch(1, 10, "proxy_0", begin(), REGISTER, SYNC, request(5)),
        batch(2, 20, "proxy_0", {"left": {"handle": 5}}, request(6), {"power_off": {}}),
        batch(3, 30, "proxy_0", begin(8), SYNC, {"timeout_fired": {"cookie": 1}}, request(5)),
    )
    assert code == 0 and replies[1]["groups"] == []
    assert [list(cmd) for cmd in replies[2]["groups"][0]["cmds"]] == [["try"]]


def test_list_numbers_are_reused_in_event_order() -> None:
    other: Json = {"register": {"list": 0, "members": [{"host": "h9", "lifecycle": "ready"}]}}
    replace: Json = {"sync": {"scope": "replace", "revision": 2, "list": 0}}
    _, replies, _ = run(batch(1, 10, "proxy_0", begin(), REGISTER, SYNC, other, replace, request(5)))
    assert replies[0]["groups"][0]["cmds"][0]["try"]["host"] == "h9"


def test_a_crash_of_a_balancer_is_reported_with_its_text(monkeypatch: pytest.MonkeyPatch) -> None:
    def crash(*_: object) -> None:
        raise ZeroDivisionError("a bug")

    monkeypatch.setattr(decide.Balancer, "handle", crash)
    code, replies, err = run(batch(1, 10, "proxy_0", begin(), REGISTER, SYNC))
    assert code != 0 and "a bug" in err
    assert replies[0]["groups"][0]["cmds"] == [{"give_in": {"message": "ZeroDivisionError: a bug"}}]


def traffic() -> list[str]:
    """Batches with two instances, failures and retries."""
    lines = [batch(0, 0, who, begin(i), REGISTER, SYNC) for i, who in enumerate(("proxy_0", "proxy_1"))]
    for i in range(60):
        who, at = f"proxy_{i % 2}", 10.0 * i + 10
        lines.append(batch(i, at, who, request(i, at + 400)))
        verdict = 301 if i % 3 == 0 else 100
        end = {"handle": i, "n": 0, "host": "h1", "verdict": verdict, "closed": verdict == 100}
        lines.append(batch(i, at + 5, who, {"resolved": end}, {"timeout_fired": {"cookie": i // 4}}))
    return lines


def test_same_actions_in_one_process_and_in_two_whatever_the_hash_seed() -> None:
    def play(lines: list[str], hash_seed: str) -> dict[str, list[Json]]:
        env = {**os.environ, "PYTHONHASHSEED": hash_seed}
        command = [sys.executable, "-m", "cloverrouter.benchlink"]
        result = subprocess.run(
            command, input="\n".join(lines), env=env, capture_output=True, text=True, check=True
        )
        actions: dict[str, list[Json]] = {"proxy_0": [], "proxy_1": []}
        for reply in map(json.loads, result.stdout.splitlines()):
            for group in reply["groups"]:
                actions[group["who"]] += group["cmds"]
        return actions

    together = play(traffic(), "1")
    apart = [play([line for line in traffic() if who in line], "77")[who] for who in together]
    assert list(together.values()) == apart
    assert all(len(cmds) > 30 for cmds in apart)
