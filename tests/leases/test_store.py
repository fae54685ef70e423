"""A voter's stored tokens grow over restarts; a store that is slow, full, truncated or locked is reported."""

from __future__ import annotations

import asyncio
import shutil
import sqlite3
import threading
from pathlib import Path

import pytest

from cloverrouter.leases import store as store_module
from cloverrouter.leases.shell import Member
from cloverrouter.leases.store import FILE_NAME, Store, StoreError
from cloverrouter.rights import LeaseTerms
from tests.test_upstream import until

TERMS = LeaseTerms(promise_ms=200.0)


async def token_of(store: Store | None, floor: int = 0, alarms: list[str | None] | None = None) -> int:
    """The token that a restarted member gets when it is the only voter."""

    def set_alarm(name: str, text: str | None) -> None:
        if name == "leases" and alarms is not None:
            alarms.append(text)

    member = Member("p1", 1, {}, ("p1",), TERMS, None, store=store, floor=floor, set_alarm=set_alarm)
    member.contend("t")
    await until(lambda: member.current_lease("t") is not None)
    right = member.current_lease("t")
    member.close()
    assert right is not None
    return right.token


def test_tokens_grow_over_restarts_also_when_the_wall_clock_is_set_back(tmp_path: Path) -> None:
    async def scene() -> None:
        tokens = [await token_of(Store(tmp_path), floor) for floor in (5_000_000, 0, 0, 4_000_000)]
        assert tokens == sorted(set(tokens))
        assert await token_of(None) < tokens[0]  # without a store they do not grow

    asyncio.run(scene())


def test_old_copy_of_the_store_is_harmless_while_the_wall_clock_advances(tmp_path: Path) -> None:
    async def scene() -> None:
        await token_of(Store(tmp_path / "now"), 1_000_000)
        shutil.copytree(tmp_path / "now", tmp_path / "old")
        later = await token_of(Store(tmp_path / "now"), 2_000_000)
        assert await token_of(Store(tmp_path / "old"), 3_000_000) > later

    asyncio.run(scene())


def test_slow_store_blocks_only_grants(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    proceed, called, original = threading.Event(), threading.Event(), Store.raise_ceiling

    def slow(self: Store, task: str, ceiling: int) -> None:
        called.set()
        proceed.wait(20.0)
        original(self, task, ceiling)

    async def scene() -> None:
        monkeypatch.setattr(Store, "raise_ceiling", slow)
        acquiring = asyncio.get_running_loop().create_task(token_of(Store(tmp_path)))
        await until(called.is_set)  # the event loop keeps running
        await asyncio.sleep(0.5)
        assert not acquiring.done()
        proceed.set()
        assert await acquiring

    asyncio.run(scene())


def test_unwritable_store_raises_an_alarm_until_it_recovers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    original, alarms = Store.raise_ceiling, list[str | None]()

    def full(self: Store, task: str, ceiling: int) -> None:
        if len([text for text in alarms if text]) >= 2:
            original(self, task, ceiling)
        else:
            raise OSError("No space left on device")

    async def scene() -> None:
        monkeypatch.setattr(Store, "raise_ceiling", full)
        await token_of(Store(tmp_path), alarms=alarms)
        assert alarms[0] and "promises nothing" in alarms[0] and "No space" in alarms[0]
        assert alarms[-1] is None

    asyncio.run(scene())


def test_read_only_file_raises_an_error(tmp_path: Path) -> None:
    store = Store(tmp_path)
    store._database.execute("PRAGMA query_only = 1")
    with pytest.raises(OSError, match="readonly"):
        store.raise_ceiling("t", 5)
    store.close()


def test_truncated_file_never_yields_other_tokens(tmp_path: Path) -> None:
    store = Store(tmp_path)
    for number in range(30):
        store.raise_ceiling(f"task {number}", 1000 + number)
    stored = {f"task {number}": 1000 + number for number in range(30)}
    store.close()
    content = (tmp_path / FILE_NAME).read_bytes()
    refused = 0
    for size in [*range(0, 120, 7), *range(120, len(content), 997)]:
        (tmp_path / FILE_NAME).write_bytes(content[:size])
        try:
            truncated = Store(tmp_path)
        except StoreError as error:
            assert FILE_NAME in str(error) and "move it away" in str(error)
            refused += 1
            continue
        assert truncated.ceilings in ({}, stored)  # an empty file counts as new
        truncated.close()
    assert refused > 10
    (tmp_path / FILE_NAME).write_bytes(content)
    restored = Store(tmp_path)
    assert restored.ceilings == stored
    restored.close()


def test_second_process_and_later_version_are_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_module, "LOCK_TIMEOUT_S", 0.1)
    first = Store(tmp_path)
    with pytest.raises(StoreError, match="locked"):
        Store(tmp_path)
    first.close()
    with sqlite3.connect(tmp_path / FILE_NAME) as database:
        database.execute("PRAGMA user_version = 2")
    database.close()
    with pytest.raises(StoreError, match="later version, 2"):
        Store(tmp_path)


def test_many_tasks_become_one_floor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store_module, "MAX_STORED_TASKS", 10)
    store = Store(tmp_path)
    for number in range(store_module.MAX_STORED_TASKS + 5):
        store.raise_ceiling(f"t{number}", number + 1)
    store.close()
    for _ in range(2):
        reopened = Store(tmp_path)
        assert reopened.floor == store_module.MAX_STORED_TASKS + 5 and not reopened.ceilings
        reopened.close()
    assert asyncio.run(token_of(Store(tmp_path))) > store_module.MAX_STORED_TASKS + 5
