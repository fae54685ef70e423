"""The file of drains: whole, or as it was; cut or changed at any byte it is never half believed."""

from __future__ import annotations

import os
from pathlib import Path
from zlib import crc32

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.roster.overlay import Drain
from cloverrouter.roster.store import Store, UnreadableState, decode, encode

OLD = [Drain("s-1", "anna", 1000.0, None, "")]
NEW = [Drain("s-1", "anna", 1000.0, 9e12, "нов диск"), Drain("s-2", "boris (uid 5, pid 7)", 2000.5)]
TEXT = st.text(st.characters(codec="utf-8"), max_size=20)


@given(
    st.lists(
        st.builds(
            Drain,
            TEXT,
            TEXT,
            st.floats(0, 1e15),
            st.none() | st.floats(0, 1e15),
            TEXT,
        ),
        unique_by=lambda d: d.server,
        max_size=5,
    )
)
def test_what_is_written_is_read(drains: list[Drain]) -> None:
    assert decode(encode(drains)) == drains


@given(st.binary(max_size=200))
def test_any_bytes_are_drains_or_one_error(data: bytes) -> None:
    with pytest.raises(UnreadableState):
        decode(data)


def test_cut_at_any_byte_or_with_any_byte_changed_it_is_unreadable() -> None:
    data = encode(NEW)
    for end in range(len(data)):
        with pytest.raises(UnreadableState):
            decode(data[:end])
    for place in range(len(data)):
        with pytest.raises(UnreadableState):
            decode(data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :])
    with pytest.raises(UnreadableState):
        decode(data + b"\n")


@pytest.mark.parametrize(
    "body", [b"{}", b"[5]", b'[{"server":1}]', b"[" * 9, b"null", b"\xff"], ids=lambda b: repr(b)
)
def test_well_framed_nonsense_is_unreadable(body: bytes) -> None:
    with pytest.raises(UnreadableState):
        decode(b"cloverrouter-drains 1 %d %08x\n" % (len(body), crc32(body)) + body)


def test_other_version_is_named() -> None:
    with pytest.raises(UnreadableState, match="version '2'"):
        decode(encode(OLD).replace(b" 1 ", b" 2 ", 1))


def test_power_cut_at_every_byte_of_a_save_leaves_old_or_new(tmp_path: Path) -> None:
    store, data = Store(tmp_path), encode(NEW)
    for end in range(len(data) + 1):
        store.save(OLD)
        (tmp_path / "drains.new").write_bytes(data[:end])  # written so far, and not renamed yet
        assert Store(tmp_path).load() == (OLD, None)
        assert not (tmp_path / "drains.new").exists()
    store.save(NEW)
    assert store.load() == (NEW, None)


def test_bytes_are_on_disk_before_the_name_and_the_name_before_the_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    steps: list[str] = []
    fsync, rename = os.fsync, os.replace

    def note_fsync(descriptor: int) -> None:
        kind = "folder" if os.path.isdir(f"/proc/self/fd/{descriptor}") else "file"
        if kind == "file":
            assert os.fstat(descriptor).st_size == len(encode(NEW))
        steps.append(f"fsync {kind}")
        fsync(descriptor)

    def note_rename(old: Path, new: Path) -> None:
        steps.append("rename")
        rename(old, new)

    monkeypatch.setattr(os, "fsync", note_fsync)
    monkeypatch.setattr(os, "replace", note_rename)
    Store(tmp_path).save(NEW)
    assert steps == ["fsync file", "rename", "fsync folder"]


def test_disk_that_fails_leaves_the_old_state(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = Store(tmp_path)
    store.save(OLD)

    def full(descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(OSError, match="No space"):
        store.save(NEW)
    monkeypatch.undo()
    assert store.load() == (OLD, None)
    assert [p.name for p in tmp_path.iterdir()] == ["drains"]


def test_unreadable_file_is_set_aside_and_each_is_kept(tmp_path: Path) -> None:
    store = Store(tmp_path)
    for number in (1, 2):
        (tmp_path / "drains").write_bytes(b"what is this %d" % number)
        drains, aside = store.load()
        assert drains == [] and aside is not None and f"drains.unreadable-{number}" in aside
        kept = (tmp_path / f"drains.unreadable-{number}").read_bytes()
        assert kept == b"what is this %d" % number
    assert store.load() == ([], None)
