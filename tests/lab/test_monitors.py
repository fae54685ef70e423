"""The monitors: every rule broken by hand is told, and bugs put in on purpose are found by chance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cloverrouter import decide
from cloverrouter.interface import ListKind, Outcome
from cloverrouter.lab import server as servers
from cloverrouter.lab.chance import random_scenario
from cloverrouter.lab.monitors import Monitors, RuleBroken
from cloverrouter.lab.scenario import Class, Safety
from cloverrouter.lab.shrink import rule_of
from cloverrouter.lab.simcall import SimCall
from cloverrouter.lab.simulation import simulate
from cloverrouter.proxy import node

SAFETY = Safety(drain_grace_ms=1000, must_ask_s=5)
ENTRY = Class(name="entry", effect="unsafe")
EXTRACT = Class(name="extract", effect="keyed", group="cell", window_ms=800)
READ = Class(name="read", effect="safe")
Step = tuple[Any, ...]


def play(*steps: Step) -> int:
    """Call the monitors' methods in a row; the rule that the last one breaks, 0 for none."""
    monitors = Monitors(SAFETY)
    for i, (name, *arguments) in enumerate(steps):
        try:
            getattr(monitors, name)(*arguments)
        except RuleBroken as broken:
            assert i == len(steps) - 1, f"step {i} already: {broken}"
            assert broken.last and broken.at_s == arguments[0]
            return broken.rule
    return 0


def take(kind: Class) -> Step:
    return ("taken", 0.0, "p", 1, kind)


def sent(at_s: float, server: str = "s1", group: str = "g1") -> Step:
    return ("sent", at_s, "p", 1, server, group)


NEVER_RAN = (sent(0.1), ("known", 1, "s1", True))
LEFT, BACK = ({"s1": state} for state in ("leaving", "active"))
TABLE: list[tuple[str, int, list[Step]]] = [
    ("served once", 0, [take(ENTRY), sent(0.1), ("final", 0.2, 1, "served")]),
    ("two answers", 1, [take(ENTRY), ("final", 0.1, 1, "served"), ("final", 0.2, 1, "failed")]),
    ("no answer", 1, [take(READ), ("waited_out", 1.0, 1)]),
    ("no answer owed after a kill", 0, [take(READ), ("forget", 0.5, 1), ("waited_out", 1.0, 1)]),
    ("sent after its end", 1, [take(READ), ("final", 0.2, 1, "refused"), sent(0.2)]),
    ("sent after its client left", 1, [take(READ), ("forget", 0.2, 1), sent(0.3)]),
    ("unsafe again", 2, [take(ENTRY), sent(0.1), sent(0.2, "s2")]),
    ("unsafe again that never ran", 0, [take(ENTRY), *NEVER_RAN, sent(0.2, "s2")]),
    ("unsafe refused, may have run", 2, [take(ENTRY), sent(0.1), ("final", 0.2, 1, "refused")]),
    ("unsafe refused, never ran", 0, [take(ENTRY), *NEVER_RAN, ("final", 0.2, 1, "refused")]),
    ("safe refused, may have run", 0, [take(READ), sent(0.1), ("final", 0.2, 1, "refused")]),
    ("keyed again in its group", 0, [take(EXTRACT), sent(0.1), sent(0.2, "s2")]),
    ("keyed again elsewhere", 2, [take(EXTRACT), sent(0.1), sent(0.2, "s2", "g2")]),
    ("keyed again too late", 2, [take(EXTRACT), sent(0.1), sent(0.9, "s2")]),
    ("keyed elsewhere, never ran", 0, [take(EXTRACT), *NEVER_RAN, sent(0.9, "s2", "g2")]),
    ("unsafe runs twice", 2, [take(ENTRY), sent(0.1), ("begun", 0.1, 1, "s1"), ("begun", 0.2, 1, "s1")]),
    ("safe runs twice", 0, [take(READ), ("begun", 0.1, 1, "s1"), ("begun", 0.2, 1, "s1")]),
    ("runs after its refusal", 2, [take(ENTRY), ("final", 0.1, 1, "refused"), ("begun", 0.2, 1, "s1")]),
    ("drains kept", 0, [("told", 0.0, "p", LEFT, False), take(READ), sent(1.0)]),
    ("drains not kept", 3, [("told", 0.0, "p", LEFT, False), take(READ), sent(1.1)]),
    ("gone from a full list", 3, [("gone", 0.0, "p", "s1"), take(READ), sent(1.1)]),
    ("restored", 0, [("told", 0.0, "p", LEFT, False), ("told", 1.0, "p", BACK, False), sent(3.0)]),
    ("told an earlier life", 0, [("gone", 0.0, "p", "s1"), ("restarted", "p"), sent(3.0)]),
    ("never asked", 3, [("asked", 0.0, "p"), ("listed", 0.5, "s1", False), take(READ), sent(6.6)]),
    ("asked a while ago", 0, [("asked", 0.0, "p"), ("listed", 0.5, "s1", False), take(READ), sent(6.4)]),
    ("listed again", 0, [("listed", 0.5, "s1", False), ("listed", 0.6, "s1", True), take(READ), sent(9.0)]),
    ("pushed over", 4, [take(READ), ("fell", 1.0, "s1")]),
]  # fmt: skip


@pytest.mark.parametrize(("rule", "steps"), [row[1:] for row in TABLE], ids=[row[0] for row in TABLE])
def test_each_rule(rule: int, steps: list[Step]) -> None:
    assert play(*steps) == rule


@settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 2**32))
def test_no_rule_breaks_whatever_the_scenario(seed: int) -> None:
    result = simulate(random_scenario(seed), seed)
    assert not result.broken, (seed, result.broken, result.last)


# Bugs on purpose. Each puts something else in the place of a guard, in the decisions, the node or a stand-in.

Bug = Callable[[pytest.MonkeyPatch], None]


def unsafe_is_repeated(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(decide.Request, "repeatable", lambda self: True)


def refused_though_it_may_have_run(patch: pytest.MonkeyPatch) -> None:
    original = decide.Balancer._give_up

    def give_up(self: decide.Balancer, request: decide.Request, why: Any) -> None:
        attempts, request.attempts = request.attempts, []
        original(self, request, why)
        request.attempts = attempts

    patch.setattr(decide.Balancer, "_give_up", give_up)


def keyed_goes_anywhere(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(decide, "drops_repeats", lambda cls, home, there: True)


def windows_never_end(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(decide.Request, "repeats_end_ms", lambda self: float("inf"))


def cold_servers_get_all(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(decide.Balancer, "_cold_room", lambda self, request, endpoint: True)


def what_is_written_counts_as_never_run(patch: pytest.MonkeyPatch) -> None:
    original = node.Node._ended

    def ended(self: node.Node, attempt: Any, outcome: Outcome, answer: Any) -> None:
        original(self, attempt, Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT else outcome, answer)

    patch.setattr(node.Node, "_ended", ended)


def what_waits_to_go_out_is_not_called_off(patch: pytest.MonkeyPatch) -> None:
    original = node.Node.gone

    def gone(self: node.Node, call: Any) -> None:
        request = self._by_call.get(call)
        out = {} if request is None else dict(request.out)
        if request is not None:
            request.out.clear()
        original(self, call)
        if request is not None:
            request.out.update(out)

    patch.setattr(node.Node, "gone", gone)
    # Asked in the moment before an attempt begins, the client would be found gone all the same.
    patch.setattr(SimCall, "left", lambda self: False)


def lists_are_told_late(patch: pytest.MonkeyPatch) -> None:
    original = node.Node.listed

    def listed(self: node.Node, kind: ListKind, found: Any) -> None:
        late_s = 0.0 if kind is ListKind.RESTORED else 1.5
        self._loop.call_later(late_s, original, self, kind, found)

    patch.setattr(node.Node, "listed", listed)


def the_clients_time_is_not_heeded(patch: pytest.MonkeyPatch) -> None:
    original = node.Node.arrived

    def arrived(self: node.Node, call: Any) -> None:
        call.timeout_ms = None
        original(self, call)

    patch.setattr(node.Node, "arrived", arrived)


def keys_are_forgotten(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(servers.Memory, "knows", lambda self, key, now_s: False)


def turned_away_though_it_ran(patch: pytest.MonkeyPatch) -> None:
    original = servers.Server._end

    def end(self: servers.Server, job: servers.Job, run: int) -> None:
        reply = job.reply
        if self.draws.uniform() < 0.05:
            job.reply = lambda told: reply(told._replace(how="turned away"))
        original(self, job, run)

    patch.setattr(servers.Server, "_end", end)


# Each bug, the rule it breaks, and where to begin the search: a bug that rarely shows would take long.
BUGS: list[tuple[Bug, str, int]] = [
    (unsafe_is_repeated, "rule 2", 0),
    (refused_though_it_may_have_run, "rule 2", 0),
    (keyed_goes_anywhere, "rule 2", 0),
    (windows_never_end, "rule 2", 20),
    (cold_servers_get_all, "rule 4", 104),
    (what_is_written_counts_as_never_run, "rule 2", 0),
    (what_waits_to_go_out_is_not_called_off, "rule 1", 190),
    (lists_are_told_late, "rule 3", 0),
    (the_clients_time_is_not_heeded, "rule 1", 15),
    (keys_are_forgotten, "rule 2", 0),
    (turned_away_though_it_ran, "rule 2", 0),
]
SCENARIOS = 200


def first_broken(begin: int) -> tuple[int, str]:
    """The first of the random scenarios, from `begin` round to it again, that breaks a rule, and which."""
    for seed in (*range(begin, SCENARIOS), *range(begin)):
        result = simulate(random_scenario(seed), seed)
        if result.broken:
            return seed, rule_of(result)
    return -1, ""


@pytest.mark.parametrize(("bug", "rule", "begin"), BUGS, ids=[bug.__name__ for bug, *_ in BUGS])
def test_a_bug_put_in_on_purpose_is_found(
    bug: Bug, rule: str, begin: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    seed, found = first_broken(begin)
    assert found == rule, seed
