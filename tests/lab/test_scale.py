"""Runs at scale with hollow and real proxies, and the check that detects hollow ones that misbehave."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import numpy
import pytest

from cloverrouter.lab import cli
from cloverrouter.lab.catalog import CallQueue, Catalog, Entry, PendingCall
from cloverrouter.lab.hollow import HostListCopy, SharedParser
from cloverrouter.lab.report import write_scale
from cloverrouter.lab.scale import (
    Agreement,
    Machine,
    Plan,
    ProxyObservation,
    Report,
    agreements,
    complaints_of,
    empty_reasons,
    needs,
    rank_deviation,
    refusals,
    timeline,
)
from cloverrouter.lab.scaleshell import _run, first_entries, observation_of
from cloverrouter.lab.scaletext import read_scale, scale_lines, write_report
from cloverrouter.membership.watching import VersionGuard
from cloverrouter.proxy import config
from cloverrouter.proxy.config import HostList, UnixClock
from cloverrouter.strict import FileError

# The tests check counts, not times, so that a run on a busy machine does not fail.
SMALL = Plan(
    "day", nodes=13, servers=64, real=3, discoveries=1, processes=1, seconds=2.0, quiet_s=0.5, speed=15.0,
    burst=30, burst_s=1.5, gather_s=0.25, resolution_s=5.0, down_s=1.0,
)  # fmt: skip
RUNS = {
    "honest": replace(SMALL, nodes=53, discoveries=2),
    "lies about its version": replace(SMALL, flaw="lies about its version"),
    "skips changes": replace(SMALL, flaw="skips changes"),
    # More proxies, since a few may call at the same instant by chance.
    "shares its clock": replace(SMALL, nodes=33, flaw="shares its clock"),
    "no changes": replace(SMALL, speed=0.0, burst=0, nodes=5),
    "outage": replace(SMALL, scenario="outage"),
    "regions": replace(SMALL, scenario="regions", real=4, discoveries=2, behind_s=120.0),
}


@pytest.fixture(scope="module")
def reports() -> dict[str, Report]:
    async def run_all() -> list[Report]:
        return await asyncio.gather(*(_run(plan) for plan in RUNS.values()))

    return dict(zip(RUNS, asyncio.run(run_all()), strict=True))


def disagreeing_figures(report: Report) -> set[str]:
    return {one.name for one in report.agreements if not one.agrees}


def test_hollow_and_real_proxies_agree(reports: dict[str, Report]) -> None:
    found = reports["honest"]
    assert found.complaints == []
    assert found.figures["versions"] > 30 and found.figures["faults"] >= 2
    assert found.figures["never"] == 0 and found.figures["in_force_p50_s"] > 0
    assert len(found.instances) == 2 and all(one["calls_per_s"] > 0 for one in found.instances)
    assert "agree" in scale_lines(found)[-1]


@pytest.mark.parametrize(
    ("flaw", "figure"),
    [
        ("lies about its version", "versions told of that were never heard"),
        ("skips changes", "proxies that hold another list"),
        ("shares its clock", "share of hollow ones that ask at the same instant"),
    ],
)
def test_defects_of_hollow_proxies_are_detected(reports: dict[str, Report], flaw: str, figure: str) -> None:
    found = reports[flaw]
    assert figure in disagreeing_figures(found)
    assert any(figure in text for text in found.complaints)
    agreement = next(one for one in found.agreements if one.name == figure)
    assert agreement.hollow > agreement.real


def test_run_without_changes_is_reported_as_insignificant(reports: dict[str, Report]) -> None:
    texts = reports["no changes"].complaints
    assert "this run shows nothing: nothing changed" in texts
    assert "this run shows nothing: there were no faults" in texts


def test_after_an_outage_with_compacted_versions_all_proxies_request_the_full_list(
    reports: dict[str, Report],
) -> None:
    found = reports["outage"]
    # With three real proxies and one second, the number of retries depends on a few random draws; with ten
    # and a minute it does not.
    assert disagreeing_figures(found) <= {"calls a proxy"} and len(found.complaints) == len(
        disagreeing_figures(found)
    )
    assert found.figures["fulls"] >= SMALL.nodes
    assert found.figures["never"] == 0


def test_partitioned_region_catches_up_in_one_answer(reports: dict[str, Report]) -> None:
    found = reports["regions"]
    assert found.complaints == []
    assert found.figures["never"] == 0 and found.figures["fulls"] == 0
    assert found.figures["behind"] > 20
    # Proxies of the other instance received the same changes one by one, with more calls.
    assert found.instances[0]["calls_per_s"] > found.instances[1]["calls_per_s"]


# The check, on hand-made observations


def observation(i: int, **changes: Any) -> ProxyObservation:
    random = Random(i)
    times_s = numpy.array([0.5 + 0.1 * random.random() for _ in range(20)])
    result = ProxyObservation(f"p-{i}", 100 + i % 3, 10_000 + i % 3, 900, 0, times_s, [random.uniform(0, 60)])
    for name, value in changes.items():
        setattr(result, name, value)
    return result


MATCHING = [observation(i) for i in range(60)]


def test_matching_observations_agree() -> None:
    assert complaints_of(agreements(MATCHING[:10], MATCHING[10:])) == []


@pytest.mark.parametrize(
    ("name", "spoil"),
    [
        ("calls a proxy", lambda one: {"calls": one.calls * 1.2}),
        ("bytes a proxy", lambda one: {"bytes": one.bytes * 0.85}),
        ("mean time in force, s", lambda one: {"in_force_s": one.in_force_s * 1.15}),
        ("p90 time in force, s", lambda one: {"in_force_s": numpy.where(numpy.arange(20) < 4, 0.9, 0.5)}),
        ("versions never in force", lambda one: {"in_force_s": numpy.full(20, numpy.nan)}),
        ("versions told of that were never heard", lambda one: {"untrue": 1}),
        ("proxies that hold another list", lambda one: {"wrong": True}),
        ("share of hollow ones that ask at the same instant", lambda one: {"drawn_s": [30.0]}),
    ],
)  # fmt: skip
def test_each_deviating_figure_is_reported(
    name: str, spoil: Callable[[ProxyObservation], dict[str, Any]]
) -> None:
    hollow = [observation(i, **spoil(MATCHING[i])) for i in range(10, 60)]
    found = agreements(MATCHING[:10], hollow)
    assert name in {one.name for one in found if not one.agrees}
    assert any(name in text for text in complaints_of(found))


def test_waits_after_an_outage_are_compared_by_rank() -> None:
    random = Random(3)
    waits = [random.uniform(0, 5) for _ in range(210)]
    assert abs(rank_deviation(waits[:10], waits[10:])) < 2
    good = [replace(observation(i), returned_s=wait) for i, wait in enumerate(waits)]
    assert complaints_of(agreements(good[:10], good[10:])) == []
    late = [replace(one, returned_s=one.returned_s + 5) for one in good[10:]]
    (text,) = complaints_of(agreements(good[:10], late))
    assert "wait after an outage" in text
    soon = [replace(one, returned_s=0.1) for one in good[10:]]
    assert any("wait after an outage" in text for text in complaints_of(agreements(good[:10], soon)))


def test_time_in_force_excludes_outages_and_partitions() -> None:
    arrays = {
        name: numpy.array(values)
        for name, values in {
            "asked_s": [1.0, 12.0, 12.5], "since": [1, 1, 3], "drawn": [1, 1, 0], "answers_s": [12.4],
            "sizes": [9], "untrue": [0], "fulls": [1], "asked_s_ends": [3], "since_ends": [3],
            "drawn_ends": [3], "answers_s_ends": [1], "sizes_ends": [1],
        }.items()
    }  # fmt: skip
    marks = {"begun": 0.5, "down": 2.0, "up": 10.0, "ended": 15.0}
    # One version published before the outage and received after it, one during it: the outage does not count.
    found = observation_of("p", 0, arrays, numpy.array([2, 3]), numpy.array([1.5, 7.0]), marks)
    assert found.in_force_s.tolist() == [3.0, 2.5] and found.returned_s == 2.0
    assert found.from_call_s is not None and found.from_call_s.tolist() == [1.0, 0.5]
    marks = {"begun": 0.5, "cut": 2.0, "heal": 10.0, "ended": 15.0}
    connected, partitioned = (
        observation_of("p", 0, arrays, numpy.array([2, 3]), numpy.array([1.5, 7.0]), marks, of)
        for of in (False, True)
    )
    assert connected.in_force_s.tolist() == [11.0, 5.5] and partitioned.in_force_s.tolist() == [3.0, 2.5]
    assert partitioned.from_call_s is not None and numpy.isnan(partitioned.from_call_s).tolist() == [
        False,
        True,
    ]
    assert partitioned.returned_s == 2.5 and connected.from_call_s is None


def test_version_is_in_force_with_the_call_that_reports_it() -> None:
    arrays = {
        "asked_s": numpy.array([1.0, 2.0, 3.5, 9.0]), "asked_s_ends": numpy.array([4]),
        "since": numpy.array([1, 1, 4, 5]), "since_ends": numpy.array([4]),
        "drawn": numpy.array([1, 0, 0, 0]), "drawn_ends": numpy.array([4]),
        "answers_s": numpy.array([1.5, 3.4, 3.45]), "answers_s_ends": numpy.array([3]),
        "sizes": numpy.array([100, 200, 300]), "sizes_ends": numpy.array([3]),
        "untrue": numpy.array([0]), "fulls": numpy.array([0]),
    }  # fmt: skip
    found = observation_of(
        "p",
        0,
        arrays,
        numpy.array([2, 4, 5, 6]),
        numpy.array([1.2, 3.0, 3.1, 8.0]),
        {"begun": 0.5, "ended": 9.5},
    )
    assert found.in_force_s[:3].tolist() == pytest.approx([2.3, 0.5, 5.9])
    assert numpy.isnan(found.in_force_s[3])  # no call reported it
    assert (found.calls, found.bytes, found.worst_bytes) == (4, 600, 500)
    assert found.drawn_s == [1.0]


# Limits


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"nodes": 60_000, "processes": 8}, "GB would be used; at most 12"),
        ({"processes": 190}, "211 would run; at most 200"),
        ({"seconds": 400.0}, "s; at most 300"),
        ({"nodes": 7000, "processes": 1}, "a process would open 21034; at most 20000"),
        ({"real": 2}, "3 to 30"),
        ({"real": 31}, "3 to 30"),
        ({"discoveries": 11}, "1 to 10"),
        ({"nodes": 7000, "calls_per_s": 200.0}, "would use 117% of discovery"),
        ({"scenario": "regions", "discoveries": 1}, "2 at least"),
        ({"scenario": "zone"}, "no such scenario: 'zone'"),
    ],
)
def test_plan_over_a_limit_is_refused_with_the_value(changes: dict[str, Any], text: str) -> None:
    plan = replace(Plan("day", nodes=2000, servers=2000), **changes)
    assert any(text in str(fault) for fault in refusals(plan, Machine(20_000, 16.0)))


def test_plan_beyond_the_free_memory_is_refused() -> None:
    plan = Plan("day", nodes=2000, servers=2000)
    assert refusals(plan, Machine(20_000, 16.0)) == []
    (fault,) = refusals(plan, Machine(20_000, 0.5))
    assert "GB would be used; at most the 0.5 that are free" in str(fault)


def test_the_users_fleet_size_is_within_the_limits() -> None:
    plan = Plan("day", nodes=7000, servers=7000, processes=7)
    assert refusals(plan, Machine(20_000, 12.0)) == [], needs(plan)


def test_cli_refuses_an_oversized_run_at_once(capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["scale", "day", "--nodes", "100000"]) == cli.USAGE
    assert "GB would be used; at most 12" in capsys.readouterr().err


def test_timeline_of_a_day_has_each_kind_of_step_and_a_burst() -> None:
    steps = timeline(Plan("day"))
    kinds = {step.what for step in steps}
    assert kinds == {"change", "leave", "left", "begin"}
    assert sum(step.at_s >= 60 for step in steps) >= 1000
    assert steps == timeline(Plan("day")) != timeline(Plan("day", seed=2))
    assert empty_reasons(Plan("day"), 10, 1, 0) == []
    assert empty_reasons(Plan("outage"), 10, 1, 0) != []
    assert empty_reasons(Plan("regions"), 10, 1, 0) != []
    hour = timeline(Plan("regions"))
    # 833 changes, and the steps of restarts.
    assert hour[-1].what == "heal" and sum(step.at_s >= 60 for step in hour) > 833


# Discovery's rules


def first_entries_of(count: int) -> list[Entry]:
    return first_entries(count)


def listed_names(body: bytes) -> list[str]:
    return [entry["id"] for entry in json.loads(body)["servers"]]


def test_catalog_lists_changes_since_a_version_or_all_after_compaction() -> None:
    catalog = Catalog(first_entries_of(5), 1)
    first, second = (dict(catalog.entries[name]) for name in list(catalog.entries)[:2])
    catalog.change(2, [{**first, "weight": 2.0}])
    catalog.change(3, [{**second, "state": "left"}])
    catalog.change(4, [{**first, "weight": 0.5}])
    assert sorted(listed_names(catalog.since(1).body)) == [first["id"], second["id"]]
    assert listed_names(catalog.since(3).body) == [first["id"]]
    assert listed_names(catalog.since(4).body) == [] and not catalog.since(4).full
    full_list = catalog.since(None)
    assert full_list.full and second["id"] not in listed_names(full_list.body)
    assert catalog.since(9).full  # a version that was never published
    assert catalog.since(1) is catalog.since(1)  # cached
    catalog.compact()
    assert catalog.since(3).full and not catalog.since(4).full
    catalog.change(5, [{**first, "weight": 1.0}])
    assert catalog.since(3).full and not catalog.since(4).full
    with pytest.raises(ValueError, match="version 5 after 5"):
        catalog.change(5, [])


def test_callers_are_served_in_order_at_the_configured_rate() -> None:
    catalog = Catalog(first_entries_of(3), 1)
    desk = CallQueue(catalog, 10.0, 1e9, Random(1))
    callers = [PendingCall(i, 1, 1.0 + i, 60.0) for i in range(8)]
    for caller in reversed(callers):
        desk.add(caller)
    assert desk.serve(9.0) == [] and desk.next_due_s() == 60.0
    catalog.change(2, [{**catalog.entries["s-00000000"], "weight": 2.0}])
    desk.catalog_changed()
    desk.cancel(callers[5])
    assert desk.queue == 8
    served = []
    for tenth in range(100, 200):
        now = desk.serve(tenth / 10)
        assert len(now) <= 1 + (tenth == 100)  # 0.1 s each, apart from a delay at first
        served += [caller for caller, _ in now]
        if not desk.queue:
            break
    assert served == [caller for caller in callers if not caller.disconnected]  # longest waiting first
    assert desk.next_due_s() == 60.0


def test_expired_watch_gets_an_empty_answer_unless_disconnected() -> None:
    desk = CallQueue(Catalog(first_entries_of(3), 1), 1000.0, 1e9, Random(1))
    waiting, disconnected = PendingCall(0, 1, 1.0, 4.0), PendingCall(1, 1, 1.0, 4.0)
    desk.add(waiting)
    desk.add(disconnected)
    desk.cancel(disconnected)
    assert [caller for caller, _ in desk.serve(3.9)] == []
    ((caller, answer),) = desk.serve(4.0)
    assert caller is waiting and not answer.full and listed_names(answer.body) == []


def test_state_of_a_hollow_proxy_matches_discovery() -> None:
    """The state depends only on the answers, not on which versions it received in between."""
    random, clock = Random(7), UnixClock()
    for _ in range(20):
        catalog, shared = Catalog(first_entries_of(12), 1), SharedParser()

        def receive(
            version: int | None, catalog: Catalog = catalog, shared: SharedParser = shared
        ) -> HostList:
            return shared.read_list(shared.loads(catalog.since(version).body), clock)

        def by_name(found: HostList) -> dict[str, Any]:
            return {entry.listed.name: entry for entry in found.entries}

        base = receive(None)
        held, guard, version = HostListCopy(base, by_name(base)), VersionGuard(1), 1
        for number in range(2, 40):
            entry = random.choice(list(catalog.entries.values()))
            state = random.choice(["active", "leaving", "left"])
            started_ms = random.choice([0, 1_700_000_000_000])
            changed = {**entry, "state": state, "weight": random.random(), "started_ms": started_ms}
            catalog.change(number, [changed])
            if random.random() < 0.1:
                catalog.compact()
            if random.random() < 0.3:
                found = guard.filter_list(receive(version))
                held.apply(found, by_name)
                version = found.version
                assert held.digest(shared, clock) == catalog.digest()
            if not catalog.entries:
                break


def test_parsing_is_shared_and_still_strict(monkeypatch: pytest.MonkeyPatch) -> None:
    shared, clock = SharedParser(), UnixClock()
    monkeypatch.setattr(config, "read_entry", shared.read_entry)
    body = Catalog(first_entries_of(400), 1).since(None).body
    one, other = (shared.read_list(shared.loads(body), clock) for _ in range(2))
    assert one is other
    small = Catalog(first_entries_of(3), 1).since(None).body
    first, second = (shared.read_list(shared.loads(small), clock) for _ in range(2))
    assert first is not second and first.entries[0] is second.entries[0]
    malformed = small.replace(b'"weight": 1.0', b'"weight": [1]')
    with pytest.raises(ValueError, match="not a number"):
        shared.read_list(shared.loads(malformed), clock)


# Printed and written reports


def report_of(nodes: int, complaints: list[str]) -> Report:
    figures = dict.fromkeys(
        ["in_force_p50_s", "in_force_p99_s", "in_force_last_s", "bytes_mean", "bytes_worst", "cpu_mean",
         "cpu_worst", "cpu_quiet", "memory_mb", "versions", "faults", "seconds", "fulls", "hollow_stood",
         "hollow_stood_longest_s", "all_memory_mb", "processes"],
        0.5,
    )  # fmt: skip
    instance = dict.fromkeys(
        ["calls_per_s", "calls_worst_s", "bytes_per_s", "bytes_worst_s", "longest_queue", "descriptors"], 1.0
    )
    plan = {
        "scenario": "day",
        "nodes": nodes,
        "real": 3,
        "servers": 64,
        "discoveries": 1,
        "calls_per_s": 400.0,
    }
    agreements_found = [Agreement("calls a proxy", 90.0, 100.0, True)]
    return Report("lab scale", plan, "abc", figures, agreements_found, complaints, [instance])


def test_reports_are_written_read_and_rendered(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    files = []
    for report in (report_of(250, []), report_of(500, ["hollow and real proxies disagree: x"])):
        files.append(str(tmp_path / f"{report.plan['nodes']}.json"))
        write_report(files[-1], report)
        assert read_scale(files[-1]) == report
    page = tmp_path / "page.html"
    assert cli.main(["report", *files, "--out", str(page)]) == cli.DONE
    text = page.read_text()
    assert "time until in force" in text and "disagree: x" in text and "bound 18" in text
    write_scale(str(page), [report_of(250, [])])
    (tmp_path / "bad.json").write_text('{"kind": "lab scale"}')
    with pytest.raises(FileError, match="no run at scale"):
        read_scale(str(tmp_path / "bad.json"))
