"""A voter's stored tokens grow over restarts; a store that is slow, full, cut short or another's says so."""

from __future__ import annotations

import asyncio
import shutil
import sqlite3
import threading
from pathlib import Path

import pytest

from cloverrouter.leases import store as storing
from cloverrouter.leases.shell import Member
from cloverrouter.leases.store import FILE, Store, StoreError
from cloverrouter.rights import Terms
from tests.test_upstream import until

TERMS = Terms(promise_ms=200.0)


async def token_of(store: Store | None, floor: int = 0, alarms: list[str | None] | None = None) -> int:
    """What a member gets that is its own only voter, started anew."""

    def alarm(name: str, text: str | None) -> None:
        if name == "leases" and alarms is not None:
            alarms.append(text)

    member = Member("p1", 1, {}, ("p1",), TERMS, None, store=store, floor=floor, alarm=alarm)
    member.want("t")
    await until(lambda: member.may_act("t") is not None)
    right = member.may_act("t")
    member.close()
    assert right is not None
    return right.token


def test_tokens_grow_over_restarts_also_where_the_time_of_day_went_back(tmp_path: Path) -> None:
    async def scene() -> None:
        tokens = [await token_of(Store(tmp_path), floor) for floor in (5_000_000, 0, 0, 4_000_000)]
        assert tokens == sorted(set(tokens))
        assert await token_of(None) < tokens[0]  # without a store they do not

    asyncio.run(scene())


def test_old_copy_is_no_harm_while_the_time_of_day_goes_on(tmp_path: Path) -> None:
    async def scene() -> None:
        await token_of(Store(tmp_path / "now"), 1_000_000)
        shutil.copytree(tmp_path / "now", tmp_path / "old")
        later = await token_of(Store(tmp_path / "now"), 2_000_000)
        assert await token_of(Store(tmp_path / "old"), 3_000_000) > later

    asyncio.run(scene())


def test_slow_store_stands_in_nobodys_way_and_promises_nothing_meanwhile(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    go, asked, real = threading.Event(), threading.Event(), Store.raise_to

    def slow(self: Store, task: str, ceiling: int) -> None:
        asked.set()
        go.wait(20.0)
        real(self, task, ceiling)

    async def scene() -> None:
        monkeypatch.setattr(Store, "raise_to", slow)
        getting = asyncio.get_running_loop().create_task(token_of(Store(tmp_path)))
        await until(asked.is_set)  # the loop goes on
        await asyncio.sleep(0.5)
        assert not getting.done()
        go.set()
        assert await getting

    asyncio.run(scene())


def test_store_that_can_not_be_written_is_told_until_it_can(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real, alarms = Store.raise_to, list[str | None]()

    def full(self: Store, task: str, ceiling: int) -> None:
        if len([text for text in alarms if text]) >= 2:
            real(self, task, ceiling)
        else:
            raise OSError("No space left on device")

    async def scene() -> None:
        monkeypatch.setattr(Store, "raise_to", full)
        await token_of(Store(tmp_path), alarms=alarms)
        assert alarms[0] and "promises nothing" in alarms[0] and "No space" in alarms[0]
        assert alarms[-1] is None

    asyncio.run(scene())


def test_read_only_file_raises_no_ceiling(tmp_path: Path) -> None:
    store = Store(tmp_path)
    store._base.execute("PRAGMA query_only = 1")
    with pytest.raises(OSError, match="readonly"):
        store.raise_to("t", 5)
    store.close()


def test_file_that_was_cut_short_is_never_read_as_another(tmp_path: Path) -> None:
    store = Store(tmp_path)
    for number in range(30):
        store.raise_to(f"task {number}", 1000 + number)
    right = {f"task {number}": 1000 + number for number in range(30)}
    store.close()
    whole = (tmp_path / FILE).read_bytes()
    refused = 0
    for size in [*range(0, 120, 7), *range(120, len(whole), 997)]:
        (tmp_path / FILE).write_bytes(whole[:size])
        try:
            found = Store(tmp_path)
        except StoreError as error:
            assert FILE in str(error) and "move it away" in str(error)
            refused += 1
            continue
        assert found.ceilings in ({}, right)  # an empty file is a new one
        found.close()
    assert refused > 10
    (tmp_path / FILE).write_bytes(whole)
    with_all = Store(tmp_path)
    assert with_all.ceilings == right
    with_all.close()


def test_second_process_and_later_version_are_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(storing, "SLOW_S", 0.1)
    first = Store(tmp_path)
    with pytest.raises(StoreError, match="locked"):
        Store(tmp_path)
    first.close()
    with sqlite3.connect(tmp_path / FILE) as base:
        base.execute("PRAGMA user_version = 2")
    base.close()
    with pytest.raises(StoreError, match="later version, 2"):
        Store(tmp_path)


def test_many_tasks_become_one_floor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(storing, "MOST_KEPT", 10)
    store = Store(tmp_path)
    for number in range(storing.MOST_KEPT + 5):
        store.raise_to(f"t{number}", number + 1)
    store.close()
    for _ in range(2):
        again = Store(tmp_path)
        assert again.floor == storing.MOST_KEPT + 5 and not again.ceilings
        again.close()
    assert asyncio.run(token_of(Store(tmp_path))) > storing.MOST_KEPT + 5
