"""The table of ids of requests that may have run, in one process and shared by several."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.proxy import run_ids
from cloverrouter.proxy.run_ids import (
    FILE_BYTES,
    FILE_NAME,
    KEEP_S,
    MAX_OWN_IDS,
    SETS,
    WAYS,
    RunIds,
    SharedIds,
    digest_of,
)

IDS = st.sampled_from([b"a", b"b", b"c", b"d", b"e"])


@given(st.lists(st.tuples(st.sampled_from(["add", "discard"]), IDS), max_size=30))
def test_table_behaves_like_a_set(steps: list[tuple[str, bytes]]) -> None:
    with TemporaryDirectory() as directory:
        for table in (RunIds(), SharedIds(directory)):
            check_like_a_set(table, steps)


def check_like_a_set(table: RunIds | SharedIds, steps: list[tuple[str, bytes]]) -> None:
    model = set[bytes]()
    for step, name in steps:
        if step == "add":
            assert table.add(name) == (name not in model)
            model.add(name)
        else:
            table.discard(name)
            model.discard(name)
        assert all(table.contains(known) == (known in model) for known in (b"a", b"b", b"c", b"d", b"e"))


@pytest.mark.parametrize("shared", [False, True])
def test_id_is_forgotten_after_its_time(
    shared: bool, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    at_s = 1000.0
    monkeypatch.setattr(run_ids, "now_s", lambda: at_s)
    table = RunIds()
    if shared:
        table.share(str(tmp_path))
    assert table.add(b"a")
    at_s += KEEP_S - 1
    assert table.contains(b"a")
    at_s += 2
    assert not table.contains(b"a")
    assert table.add(b"a")


# Guards against: an id that one process of an upgrade has sent is sent again by the other one.
def test_processes_that_share_a_directory_know_each_others_ids(tmp_path: Path) -> None:
    first, second = RunIds(), RunIds()
    first.share(str(tmp_path))
    assert first.add(b"before the start of the second")
    second.share(str(tmp_path))
    assert second.contains(b"before the start of the second")
    assert second.add(b"a")
    assert not first.add(b"a")
    second.discard(b"a")
    assert not first.contains(b"a")
    assert first.add(b"a")
    assert (tmp_path / FILE_NAME).stat().st_size == FILE_BYTES


def test_each_process_knows_its_own_ids_where_they_can_not_be_shared(tmp_path: Path) -> None:
    table = RunIds()
    table.share(str(tmp_path / "missing"))
    assert table.add(b"a")
    assert not table.add(b"a")


def test_file_of_another_size_is_used_from_its_beginning(tmp_path: Path) -> None:
    (tmp_path / FILE_NAME).write_bytes(b"\xff" * 100)
    table = RunIds()
    table.share(str(tmp_path))
    assert table.add(b"a")
    assert table.contains(b"a")


def test_full_set_of_slots_forgets_its_oldest_id(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    at_s = 1000.0
    monkeypatch.setattr(run_ids, "now_s", lambda: at_s)
    names = (b"%d" % i for i in range(1_000_000))
    alike: list[bytes] = []
    wanted = digest_of(b"0") % SETS
    while len(alike) <= WAYS:
        name = next(names)
        if digest_of(name) % SETS == wanted:
            alike.append(name)
    table = SharedIds(str(tmp_path))
    for name in alike:
        at_s += 1
        assert table.add(name)
    assert [table.contains(name) for name in alike] == [False] + [True] * WAYS


def test_number_of_own_ids_is_bounded() -> None:
    table = RunIds()
    for i in range(MAX_OWN_IDS + 10):
        assert table.add(b"%d" % i)
    assert not table.contains(b"9")
    assert table.contains(b"10")
    assert table.contains(b"%d" % (MAX_OWN_IDS + 9))
