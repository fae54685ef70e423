"""The drains file: saves are atomic, and a truncated or modified file is rejected as a whole."""

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
def test_decode_returns_what_was_encoded(drains: list[Drain]) -> None:
    assert decode(encode(drains)) == drains


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_unreadable(data: bytes) -> None:
    with pytest.raises(UnreadableState):
        decode(data)


def test_truncated_or_modified_data_is_unreadable() -> None:
    data = encode(NEW)
    for end in range(len(data)):
        with pytest.raises(UnreadableState):
            decode(data[:end])
    for position in range(len(data)):
        with pytest.raises(UnreadableState):
            decode(data[:position] + bytes([data[position] ^ 1]) + data[position + 1 :])
    with pytest.raises(UnreadableState):
        decode(data + b"\n")


@pytest.mark.parametrize(
    "body", [b"{}", b"[5]", b'[{"server":1}]', b"[" * 9, b"null", b"\xff"], ids=lambda b: repr(b)
)
def test_invalid_body_with_a_valid_checksum_is_unreadable(body: bytes) -> None:
    with pytest.raises(UnreadableState):
        decode(b"cloverrouter-drains 1 %d %08x\n" % (len(body), crc32(body)) + body)


def test_unsupported_version_is_named_in_the_error() -> None:
    with pytest.raises(UnreadableState, match="version '2'"):
        decode(encode(OLD).replace(b" 1 ", b" 2 ", 1))


def test_power_failure_during_a_save_leaves_the_old_or_the_new_state(tmp_path: Path) -> None:
    store, data = Store(tmp_path), encode(NEW)
    for end in range(len(data) + 1):
        store.save(OLD)
        (tmp_path / "drains.new").write_bytes(data[:end])  # partly written, not renamed yet
        assert Store(tmp_path).load() == (OLD, None)
        assert not (tmp_path / "drains.new").exists()
    store.save(NEW)
    assert store.load() == (NEW, None)


def test_file_is_synced_before_the_rename_and_the_directory_before_the_return(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    steps: list[str] = []
    fsync, rename = os.fsync, os.replace

    def record_fsync(descriptor: int) -> None:
        kind = "folder" if os.path.isdir(f"/proc/self/fd/{descriptor}") else "file"
        if kind == "file":
            assert os.fstat(descriptor).st_size == len(encode(NEW))
        steps.append(f"fsync {kind}")
        fsync(descriptor)

    def record_rename(old: Path, new: Path) -> None:
        steps.append("rename")
        rename(old, new)

    monkeypatch.setattr(os, "fsync", record_fsync)
    monkeypatch.setattr(os, "replace", record_rename)
    Store(tmp_path).save(NEW)
    assert steps == ["fsync file", "rename", "fsync folder"]


def test_failed_save_leaves_the_old_state(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = Store(tmp_path)
    store.save(OLD)

    def fail(descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(OSError, match="No space"):
        store.save(NEW)
    monkeypatch.undo()
    assert store.load() == (OLD, None)
    assert [p.name for p in tmp_path.iterdir()] == ["drains"]


def test_each_unreadable_file_is_moved_aside_and_kept(tmp_path: Path) -> None:
    store = Store(tmp_path)
    for number in (1, 2):
        (tmp_path / "drains").write_bytes(b"what is this %d" % number)
        drains, aside = store.load()
        assert drains == [] and aside is not None and f"drains.unreadable-{number}" in aside
        moved = (tmp_path / f"drains.unreadable-{number}").read_bytes()
        assert moved == b"what is this %d" % number
    assert store.load() == ([], None)
