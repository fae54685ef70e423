"""Scenario, run and store files: faults are reported with their path, and round trips keep all values."""

from __future__ import annotations

import json
import sqlite3
from pathlib import Path
from typing import Any

import pytest
from msgspec import Struct
from msgspec.structs import fields

from cloverrouter.lab.account import Figures, Result, Series
from cloverrouter.lab.records import Store, read_run, write_run
from cloverrouter.lab.scenario import (
    KINDS,
    MAX_REQUESTS,
    Class,
    Discovery,
    FaultSpec,
    Network,
    Office,
    Proxies,
    Safety,
    Scenario,
    Servers,
    build,
    change,
    library,
    load,
    plain,
    read,
)
from cloverrouter.lab.sweep import Factor, cells_of, interval, paired_difference, read_change, read_factor
from cloverrouter.strict import FileError

BASE = 'name = "x"\n[[class]]\nname = "c"\n'
INVALID_SCENARIOS: list[tuple[str, str, str]] = [
    ("name = 'x'", "class: is missing", "at least one [[class]]"),
    ("[[class]]\nname = 'c'", "name: is missing", "1 to 40 letters"),
    (BASE + "aim_ms = -1", "class[0].aim_ms: is -1", "milliseconds above 0"),
    (BASE + "aim_ms = 2000", "class[0].aim_ms: is 2000", "1200 (deadline_ms) at most"),
    (BASE + "aim_ms = nan", "class[0].aim_ms: is nan", "milliseconds above 0"),
    (BASE + "effect = 'keyd'", "class[0].effect: is 'keyd'", "safe, keyed or unsafe"),
    (BASE + "effect = 'keyed'", "class[0].window_ms: is 0 in a keyed class", "for how long"),
    (BASE + "share = 0", "class: all shares are 0", "above 0"),
    (BASE + "[[class]]\nname = 'c'", "class[1].name: 'c' is another's, too", "give each its own"),
    (BASE + "worht = 3", "class[0].worht: no such setting", "did you mean 'worth'?"),
    (BASE + "[[servers]]\n[[servers]]", "servers[1].name: 's' is another's, too", "give each its own"),
    (BASE + "[[office]]\nproxies = [4]", "office[0].proxies: has 4", "proxies go from 0 to 0"),
    (BASE + "[[office]]\narrivals = 'recorded'", "office[0].times: are missing", "list of seconds"),
    (BASE + "[[office]]\ntimes = [2, 1]", "office[0].times: are not in order", "rising"),
    (BASE + "[[office]]\ncurve = [[5, 1], [0, 1]]", "office[0].curve: is not in order", "in order"),
    (
        BASE + "[[office]]\nrate = 100000",
        "seconds: asks for 3,000,000 requests",
        f"at most {MAX_REQUESTS:,}",
    ),
    (BASE + "[[fault]]\nkind = 'freze'", "fault[0].kind: is 'freze'", "did you mean 'freeze'?"),
    (BASE + "[[fault]]\nkind = 'freeze'\nat_s = 30", "fault[0].at_s: is 30", "the run ends at 30 s"),
    (BASE + "[[fault]]\nkind = 'freeze'\nservers = ['t-1']", "fault[0].servers: 't-1' fits none", "s-1"),
    (BASE + "[[fault]]\nkind = 'cut'\nto = ['p-0']", "fault[0].from: a cut needs from and to", "who is cut"),
    (BASE + "[[fault]]\nkind = 'hall_lost'", "fault[0].halls: is missing", "name some of a, b, c"),
    (BASE + "[proxies.module]\nGIAN = 0.1", "proxies.module.GIAN: is no figure", "did you mean 'GAIN'?"),
    (BASE + "[proxies]\ncount = 0", "proxies.count: is 0", "a whole number from 1"),
    (BASE + "[proxy]", "proxy: no such setting", "did you mean 'proxies'?"),
    ("version = 2\n" + BASE, "version: is 2, a later one", "knows versions up to 1"),
    ("name = ", "is no TOML", "toml.io"),
]


@pytest.mark.parametrize(
    ("text", "wrong", "right"), INVALID_SCENARIOS, ids=[row[1][:40] for row in INVALID_SCENARIOS]
)
def test_invalid_scenario_is_reported_with_its_path(text: str, wrong: str, right: str) -> None:
    with pytest.raises(FileError) as caught:
        read(text, "f.toml")
    assert len(caught.value.faults) == 1, caught.value
    message = str(caught.value)
    assert message.startswith(f"f.toml: {wrong}") and right in message


def test_all_faults_of_a_scenario_are_reported_at_once() -> None:
    with pytest.raises(FileError) as caught:
        read(BASE + "aim_ms = 0\nshare = 2\n[proxies]\ncount = 'many'\n")
    assert [fault.key for fault in caught.value.faults] == [
        "class[0].aim_ms",
        "class[0].share",
        "proxies.count",
    ]


def test_scenarios_round_trip_through_plain_values() -> None:
    assert len(library()) >= 12
    for name in library():
        scenario = load(name)
        assert scenario.name == name and scenario.about
        assert build(plain(scenario)) == scenario
        assert build(json.loads(json.dumps(plain(scenario)))) == scenario


def test_unreadable_scenario_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(FileError, match="did you mean 'village'"):
        load("vilage")
    (tmp_path / "bad").write_bytes(b"\xff")
    with pytest.raises(FileError, match="no UTF-8"):
        load(str(tmp_path / "bad"))


CHANGES: list[tuple[str, Any, Any]] = [
    ("office[0].rate=33", "office", lambda s: s.office[0].rate == 33),
    ("proxies.module.GAIN=0.5", "proxies", lambda s: s.proxies.module == {"GAIN": 0.5}),
    ("servers[*].cores=2", "servers", lambda s: all(kind.cores == 2 for kind in s.servers)),
    ("fault[0].servers=['s-1', 's-3']", "fault", lambda s: s.fault[0].servers == ("s-1", "s-3")),
    ("network.same_ms=1.5", "network", lambda s: s.network.same_ms == 1.5),
    ("name=other", "name", lambda s: s.name == "other"),
]


@pytest.mark.parametrize(("words", "only", "holds"), CHANGES, ids=[row[0] for row in CHANGES])
def test_one_setting_is_changed(words: str, only: str, holds: Any) -> None:
    before = load("village")
    after = change(before, *read_change(words))
    assert holds(after)
    one, other = plain(before), plain(after)
    assert {key for key in one | other if one.get(key) != other.get(key)} == {only}


@pytest.mark.parametrize(
    "path", ["office[3].rate", "office[x].rate", "ofice[0].rate", "office[0].rat", "proxies.module.X"]
)
def test_unknown_setting_path_is_rejected(path: str) -> None:
    with pytest.raises(FileError):
        change(load("village"), path, 1)


def test_factors_are_crossed() -> None:
    factors = [
        read_factor("office[0].rate=10,20"),
        read_factor("servers[0].halls=['a'],['a', 'b']"),
    ]
    assert factors == [Factor("office[0].rate", [10, 20]), Factor("servers[0].halls", [["a"], ["a", "b"]])]
    cells = cells_of(load("village"), [factors[0], read_factor("network.loss=0,0.1,0.2")])
    assert [cell.values for cell in cells] == [(10, 0), (10, 0.1), (10, 0.2), (20, 0), (20, 0.1), (20, 0.2)]
    assert [(c.scenario.office[0].rate, c.scenario.network.loss) for c in cells] == [
        cell.values for cell in cells
    ]
    for words in ("office[0].rate", "=1", "a="):
        with pytest.raises(FileError):
            read_factor(words)


def test_difference_within_chance_is_not_reported() -> None:
    same = paired_difference("f", [1.0, 2.0, 3.0, 4.0, 5.0, 6.0], [1.1, 1.9, 3.1, 3.9, 5.1, 5.9])
    assert same.verdict == "no difference shown" and same.low < 0 < same.high
    higher = paired_difference("f", [1.0, 2.0, 3.0, 4.0, 5.0, 6.0], [1.5, 2.6, 3.5, 4.7, 5.5, 6.6])
    assert higher.verdict == "b is higher" and 0 < higher.low < 0.57 < higher.high
    assert paired_difference("f", [2.0] * 6, [1.0] * 6).verdict == "b is lower"
    few = paired_difference("f", [1.0, 2.0], [3.0, 4.0])  # two pairs may agree by chance
    assert not few.significant and "too few" in few.verdict
    assert interval([1.0, 2.0, 6.0]) == (3.0, 1.0, 6.0)


RESULT = Result({"name": "x"}, 7, "simulated", Figures(worth=0.5), Series(), "abc")


def test_run_file_round_trip(tmp_path: Path) -> None:
    path = str(tmp_path / "run.json")
    write_run(path, RESULT)
    assert read_run(path) == RESULT


@pytest.mark.parametrize(
    ("change_it", "says"),
    [
        (lambda document: document | {"lab_run": 2}, "a later one"),
        (lambda document: document | {"seed": "x"}, "is damaged"),
        (lambda document: {}, "no run of the lab"),
        (lambda document: [], "no run of the lab"),
    ],
)
def test_invalid_run_file_is_rejected(change_it: Any, says: str, tmp_path: Path) -> None:
    path = tmp_path / "run.json"
    write_run(str(path), RESULT)
    path.write_text(json.dumps(change_it(json.loads(path.read_text()))))
    with pytest.raises(FileError, match=says):
        read_run(str(path))
    path.write_text(path.read_text()[:-3])
    with pytest.raises(FileError, match="no run of the lab"):
        read_run(str(path))
    with pytest.raises(FileError, match="can't be read"):
        read_run(str(path) + "x")


def test_incompatible_store_is_rejected(tmp_path: Path) -> None:
    path = str(tmp_path / "s.db")
    store = Store(path)
    store.plan({"scenario": 1})
    with pytest.raises(FileError, match="another sweep: scenario differ"):
        store.plan({"scenario": 2})
    store.close()
    with sqlite3.connect(path) as db:
        db.execute("PRAGMA user_version = 2")
    with pytest.raises(FileError, match="version 2, a later one"):
        Store(path)
    other = str(tmp_path / "other.db")
    with sqlite3.connect(other) as db:
        db.execute("CREATE TABLE theirs (x)")
    with pytest.raises(FileError, match="another program's"):
        Store(other)
    Path(other).write_text("no database at all, but a text that is long enough to be taken for one" * 20)
    with pytest.raises(FileError, match="no store of runs"):
        Store(other)


def test_the_reference_names_every_setting_and_every_fault() -> None:
    reference = (Path(__file__).resolve().parents[2] / "docs" / "lab-scenarios.md").read_text()
    sections = reference.split("\n## ")[1:]
    kinds: tuple[type[Struct], ...] = (
        Scenario, Class, Office, Proxies, Servers, Safety, Discovery, Network, FaultSpec,
    )  # fmt: skip
    for kind, section in zip(kinds, sections, strict=True):
        named = [line.split("`")[1] for line in section.splitlines() if line.startswith("| `")]
        assert named[: len(fields(kind))] == [field.encode_name for field in fields(kind)]
    assert named[len(fields(FaultSpec)) :] == list(KINDS)
