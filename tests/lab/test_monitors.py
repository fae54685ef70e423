"""The monitors report each violation in hand-made event sequences, and random scenarios detect mutations."""

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


def broken_rule(*steps: Step) -> int:
    """Call the monitors' methods in order; returns the rule that the last call breaks, 0 for none."""
    monitors = Monitors(SAFETY)
    for i, (name, *arguments) in enumerate(steps):
        try:
            getattr(monitors, name)(*arguments)
        except RuleBroken as broken:
            assert i == len(steps) - 1, f"step {i} already: {broken}"
            assert broken.last and broken.at_s == arguments[0]
            return broken.rule
    return 0


def taken(kind: Class) -> Step:
    return ("taken", 0.0, "p", 1, kind)


def sent(at_s: float, server: str = "s1", group: str = "g1") -> Step:
    return ("sent", at_s, "p", 1, server, group)


NEVER_RAN = (sent(0.1), ("known", 1, "s1", True))
LEAVING, ACTIVE = ({"s1": state} for state in ("leaving", "active"))
CASES: list[tuple[str, int, list[Step]]] = [
    ("served once", 0, [taken(ENTRY), sent(0.1), ("final", 0.2, 1, "served")]),
    ("two answers", 1, [taken(ENTRY), ("final", 0.1, 1, "served"), ("final", 0.2, 1, "failed")]),
    ("no answer", 1, [taken(READ), ("waited_out", 1.0, 1)]),
    ("no answer due after a kill", 0, [taken(READ), ("forget", 0.5, 1), ("waited_out", 1.0, 1)]),
    ("sent after its end", 1, [taken(READ), ("final", 0.2, 1, "refused"), sent(0.2)]),
    ("sent after its client left", 1, [taken(READ), ("forget", 0.2, 1), sent(0.3)]),
    ("unsafe retried", 2, [taken(ENTRY), sent(0.1), sent(0.2, "s2")]),
    ("unsafe retried, never ran", 0, [taken(ENTRY), *NEVER_RAN, sent(0.2, "s2")]),
    ("unsafe refused, may have run", 2, [taken(ENTRY), sent(0.1), ("final", 0.2, 1, "refused")]),
    ("unsafe refused, never ran", 0, [taken(ENTRY), *NEVER_RAN, ("final", 0.2, 1, "refused")]),
    ("safe refused, may have run", 0, [taken(READ), sent(0.1), ("final", 0.2, 1, "refused")]),
    ("keyed retried in its group", 0, [taken(EXTRACT), sent(0.1), sent(0.2, "s2")]),
    ("keyed retried in another group", 2, [taken(EXTRACT), sent(0.1), sent(0.2, "s2", "g2")]),
    ("keyed retried after its window", 2, [taken(EXTRACT), sent(0.1), sent(0.9, "s2")]),
    ("keyed retried in another group, never ran", 0, [taken(EXTRACT), *NEVER_RAN, sent(0.9, "s2", "g2")]),
    ("unsafe runs twice", 2, [taken(ENTRY), sent(0.1), ("begun", 0.1, 1, "s1"), ("begun", 0.2, 1, "s1")]),
    ("safe runs twice", 0, [taken(READ), ("begun", 0.1, 1, "s1"), ("begun", 0.2, 1, "s1")]),
    ("runs after its refusal", 2, [taken(ENTRY), ("final", 0.1, 1, "refused"), ("begun", 0.2, 1, "s1")]),
    ("drain respected", 0, [("told", 0.0, "p", LEAVING, False), taken(READ), sent(1.0)]),
    ("drain violated", 3, [("told", 0.0, "p", LEAVING, False), taken(READ), sent(1.1)]),
    ("gone from a full list", 3, [("gone", 0.0, "p", "s1"), taken(READ), sent(1.1)]),
    ("restored", 0, [("told", 0.0, "p", LEAVING, False), ("told", 1.0, "p", ACTIVE, False), sent(3.0)]),
    ("learned before a restart", 0, [("gone", 0.0, "p", "s1"), ("restarted", "p"), sent(3.0)]),
    ("not polled in time", 3, [("asked", 0.0, "p"), ("listed", 0.5, "s1", False), taken(READ), sent(6.6)]),
    ("poll not yet due", 0, [("asked", 0.0, "p"), ("listed", 0.5, "s1", False), taken(READ), sent(6.4)]),
    ("listed again", 0, [("listed", 0.5, "s1", False), ("listed", 0.6, "s1", True), taken(READ), sent(9.0)]),
    ("cold server overloaded", 4, [taken(READ), ("fell", 1.0, "s1")]),
]  # fmt: skip


@pytest.mark.parametrize(("rule", "steps"), [row[1:] for row in CASES], ids=[row[0] for row in CASES])
def test_event_sequence_breaks_the_expected_rule(rule: int, steps: list[Step]) -> None:
    assert broken_rule(*steps) == rule


@settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 2**32))
def test_random_scenarios_break_no_rule(seed: int) -> None:
    result = simulate(random_scenario(seed), seed)
    assert not result.broken, (seed, result.broken, result.last)


# Mutations. Each disables a safeguard in the decisions, the node or a simulated component.

Mutation = Callable[[pytest.MonkeyPatch], None]


def unsafe_requests_are_retried(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(decide.Request, "is_retryable", lambda self: True)


def requests_that_may_have_run_are_refused(patch: pytest.MonkeyPatch) -> None:
    original = decide.Balancer._give_up

    def give_up(self: decide.Balancer, request: decide.Request, why: Any) -> None:
        attempts, request.attempts = request.attempts, []
        original(self, request, why)
        request.attempts = attempts

    patch.setattr(decide.Balancer, "_give_up", give_up)


def keyed_requests_are_retried_in_any_group(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(decide, "deduplicates", lambda cls, home, there: True)


def deduplication_windows_never_end(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(decide.Request, "deduplication_ends_ms", lambda self: float("inf"))


def cold_limit_is_not_applied(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(decide.Balancer, "_within_cold_limit", lambda self, request, endpoint: True)


def timeouts_count_as_never_run(patch: pytest.MonkeyPatch) -> None:
    original = node.Node._attempt_ended

    def ended(self: node.Node, attempt: Any, outcome: Outcome, answer: Any) -> None:
        original(self, attempt, Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT else outcome, answer)

    patch.setattr(node.Node, "_attempt_ended", ended)


def queued_attempts_are_not_cancelled(patch: pytest.MonkeyPatch) -> None:
    original = node.Node.disconnected

    def disconnected(self: node.Node, call: Any) -> None:
        request = self._by_call.get(call)
        attempts = {} if request is None else dict(request.attempts)
        if request is not None:
            request.attempts.clear()
        original(self, call)
        if request is not None:
            request.attempts.update(attempts)

    patch.setattr(node.Node, "disconnected", disconnected)
    # Otherwise the check just before an attempt starts would still find the client disconnected.
    patch.setattr(SimCall, "is_disconnected", lambda self: False)


def lists_are_applied_late(patch: pytest.MonkeyPatch) -> None:
    original = node.Node.listed

    def listed(self: node.Node, kind: ListKind, found: Any) -> None:
        delay_s = 0.0 if kind is ListKind.RESTORED else 1.5
        self._loop.call_later(delay_s, original, self, kind, found)

    patch.setattr(node.Node, "listed", listed)


def client_timeouts_are_ignored(patch: pytest.MonkeyPatch) -> None:
    original = node.Node.call_received

    def call_received(self: node.Node, call: Any) -> None:
        call.timeout_ms = None
        original(self, call)

    patch.setattr(node.Node, "call_received", call_received)


def servers_forget_keys(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(servers.Memory, "knows", lambda self, key, now_s: False)


def requests_that_ran_are_rejected(patch: pytest.MonkeyPatch) -> None:
    original = servers.Server._end

    def end(self: servers.Server, job: servers.Job, run: int) -> None:
        reply = job.reply
        if self.draws.uniform() < 0.05:
            job.reply = lambda response: reply(response._replace(how="turned away"))
        original(self, job, run)

    patch.setattr(servers.Server, "_end", end)


# Each mutation, the rule it breaks, and the first seed of the search. Mutations that rarely show would take
# long from seed 0.
MUTATIONS: list[tuple[Mutation, str, int]] = [
    (unsafe_requests_are_retried, "rule 2", 0),
    (requests_that_may_have_run_are_refused, "rule 2", 0),
    (keyed_requests_are_retried_in_any_group, "rule 2", 0),
    (deduplication_windows_never_end, "rule 2", 20),
    (cold_limit_is_not_applied, "rule 4", 104),
    (timeouts_count_as_never_run, "rule 2", 0),
    (queued_attempts_are_not_cancelled, "rule 1", 190),
    (lists_are_applied_late, "rule 3", 0),
    (client_timeouts_are_ignored, "rule 1", 15),
    (servers_forget_keys, "rule 2", 0),
    (requests_that_ran_are_rejected, "rule 2", 0),
]
SCENARIOS = 200


def first_violation(first_seed: int) -> tuple[int, str]:
    """The seed and rule of the first violation in the random scenarios, starting at `first_seed` and wrapping
    around; -1 if there is none."""
    for seed in (*range(first_seed, SCENARIOS), *range(first_seed)):
        result = simulate(random_scenario(seed), seed)
        if result.broken:
            return seed, rule_of(result)
    return -1, ""


@pytest.mark.parametrize(("bug", "rule", "begin"), MUTATIONS, ids=[bug.__name__ for bug, *_ in MUTATIONS])
def test_mutation_is_detected(bug: Mutation, rule: str, begin: int, monkeypatch: pytest.MonkeyPatch) -> None:
    bug(monkeypatch)
    seed, found = first_violation(begin)
    assert found == rule, seed
