"""A ban holds until an operator lifts it, whatever happens to the file that the processes share."""

from __future__ import annotations

import asyncio
import logging
import os
import shutil
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import pytest

from cloverrouter.lab.peers import Account, Discovery, Proxy, SteadyClients, working_host
from cloverrouter.management.calls import CallKind
from cloverrouter.management.file import FOLDER_NAME, SharedBanFile
from cloverrouter.management.sharing import POLL_INTERVAL_S, REPAIR_INTERVAL_S
from cloverrouter.roster.overlay import Drain
from cloverrouter.roster.store import FILE, FileStamp, Store, encode
from tests.management.processes import CALL_TIMEOUT_S, ManagedProcess, managed_process
from tests.management.test_loopback import (
    OPERATOR_TIMEOUT_S,
    call,
    managed,
    read_metrics,
    upgradable,
    wait_ready,
)

LARGEST_FLEET = 3200  # hosts: the largest fleet that the operators name
CALLERS = 60  # operators' calls at once, in one process without sockets
OPERATORS = 8  # who call the real program at once, below its limit on connections
POLLS_S = 4 * POLL_INTERVAL_S
RESTORED_WITHIN_S = 5.0


def names(count: int) -> list[str]:
    return [f"s-{i:04d}" for i in range(count)]


def stored_bans(folder: Path) -> set[str]:
    return {record.server for record in SharedBanFile(folder).load()[0] if record.until_ms is None}


async def until_stored(folder: Path, hosts: set[str]) -> None:
    """Wait until the file holds the bans of exactly `hosts`, as the next process would read it."""
    async with asyncio.timeout(RESTORED_WITHIN_S):
        while True:
            if (folder / FOLDER_NAME / FILE).exists() and stored_bans(folder) == hosts:
                return
            await asyncio.sleep(0.02)


async def call_for_each(process: ManagedProcess, hosts: list[str], *kinds: CallKind) -> list[int]:
    """Make the calls for each host, in order, `CALLERS` hosts at a time; return the statuses."""
    waiting, statuses = iter(hosts), list[int]()

    async def operate() -> None:
        for host in waiting:
            for kind in kinds:
                statuses.append(await process.call(kind, host))

    await asyncio.gather(*(operate() for _ in range(CALLERS)))
    return statuses


def test_ban_outlasts_more_than_1000_hosts_that_are_out_and_back(tmp_path: Path) -> None:
    """Guards against lifted bans that make the file unreadable, which ended the bans in force."""

    async def scene() -> None:
        hosts = names(1010)
        async with managed_process(tmp_path, hosts) as process:
            await process.ban("s-0000")
            await call_for_each(process, hosts[1:], CallKind.BAN, CallKind.LIFT)
            await asyncio.sleep(POLLS_S)
            assert process.banned == {"s-0000"} and "s-0000" not in process.readmitted
        assert ManagedProcess(tmp_path, hosts).banned == {"s-0000"}  # the next process

    asyncio.run(scene())


def test_each_host_of_the_largest_fleet_can_be_out(tmp_path: Path) -> None:
    """Guards against a limit on bans below the number of hosts: calls were refused from 1,000 on."""

    async def scene() -> None:
        hosts = names(LARGEST_FLEET)
        async with managed_process(tmp_path, hosts) as process:
            assert set(await call_for_each(process, hosts, CallKind.BAN)) == {200}
            await asyncio.sleep(POLLS_S)
            assert process.banned == set(hosts) and not process.readmitted
        successor = ManagedProcess(tmp_path, hosts)
        assert successor.banned == set(hosts)

    asyncio.run(scene())


def overwrite(file: Path) -> None:
    file.write_bytes(b"other bytes\n" * 40)


def truncate(file: Path) -> None:
    os.truncate(file, 90)


def delete(file: Path) -> None:
    file.unlink()


def delete_folder(file: Path) -> None:
    shutil.rmtree(file.parent)


def write_no_bans(file: Path) -> None:
    file.write_bytes(encode([]))


def write_a_later_version(file: Path) -> None:
    file.write_bytes(file.read_bytes().replace(b" 1 ", b" 2 ", 1))


def restore_an_older_copy(file: Path) -> None:
    """An older copy in which only the first host is banned."""
    Store(file.parent).save(Store(file.parent).load()[0][:1])


@pytest.mark.parametrize(
    "damage",
    [
        overwrite,
        truncate,
        delete,
        delete_folder,
        write_no_bans,
        write_a_later_version,
        restore_an_older_copy,
    ],
)
def test_no_state_of_the_file_ends_a_ban_that_is_in_force(
    tmp_path: Path, damage: Callable[[Path], None], caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a process that replaces the bans in force by what a damaged or older file holds."""

    async def scene() -> None:
        async with managed_process(tmp_path, names(4)) as process:
            await process.ban("s-0000", "s-0001")
            await asyncio.sleep(POLLS_S)
            caplog.clear()
            damage(tmp_path / FOLDER_NAME / FILE)
            await until_stored(tmp_path, {"s-0000", "s-0001"})
            await asyncio.sleep(POLLS_S)
            assert process.banned == {"s-0000", "s-0001"} and not process.readmitted
            # The process still accepts calls, and says once that it kept its bans.
            await process.ban("s-0002")
            await process.lift("s-0001")
            assert process.banned == {"s-0000", "s-0002"}
            assert len([r for r in caplog.records if r.levelno >= logging.ERROR]) == 1
        await until_stored(tmp_path, {"s-0000", "s-0002"})

    asyncio.run(scene())


def test_file_that_is_deleted_all_the_time_is_written_at_intervals(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against two processes that undo each other's writes ten times a second."""
    saves: list[float] = []
    save = Store.save

    def count(store: Store, drains: Iterable[Drain]) -> FileStamp:
        saves.append(time.monotonic())
        return save(store, drains)

    async def scene() -> None:
        async with managed_process(tmp_path, names(2)) as process:
            await process.ban("s-0000")
            monkeypatch.setattr(Store, "save", count)
            end_s = time.monotonic() + 2.5 * REPAIR_INTERVAL_S
            while time.monotonic() < end_s:
                (tmp_path / FOLDER_NAME / FILE).unlink(missing_ok=True)
                await asyncio.sleep(POLL_INTERVAL_S / 5)
            assert 2 <= len(saves) <= 3 and process.banned == {"s-0000"}
            assert len([r for r in caplog.records if r.levelno >= logging.ERROR]) == 1

    asyncio.run(scene())


def test_call_on_a_damaged_file_keeps_the_other_bans(tmp_path: Path) -> None:
    """Guards against an update that writes only its own record over a file that it can't read."""

    async def scene() -> None:
        process = ManagedProcess(tmp_path, names(4))  # no polls: the call is the first to read the file
        await process.ban("s-0000", "s-0001")
        overwrite(tmp_path / FOLDER_NAME / FILE)
        await process.ban("s-0002")
        assert stored_bans(tmp_path) == {"s-0000", "s-0001", "s-0002"}

    asyncio.run(scene())


def test_change_that_could_not_be_written_reaches_the_other_process_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a ban that only its own process knows after a full disk: the next upgrade ended it."""

    def fail(descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    async def scene() -> None:
        async with (
            managed_process(tmp_path, names(3)) as one,
            managed_process(tmp_path, names(3)) as other,
        ):
            await one.ban("s-0000")
            monkeypatch.setattr(os, "fsync", fail)
            await one.ban("s-0001")
            await one.lift("s-0000")
            monkeypatch.undo()
            async with asyncio.timeout(CALL_TIMEOUT_S):
                while other.banned != {"s-0001"}:
                    await asyncio.sleep(0.02)
            assert one.banned == {"s-0001"}

    asyncio.run(scene())


def test_slow_disk_delays_neither_the_ban_nor_the_response_for_long(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against operators who get no response while a write to the disk hangs."""
    fsync = os.fsync

    def sync_slowly(descriptor: int) -> None:
        time.sleep(1.2)
        fsync(descriptor)

    async def scene() -> None:
        async with managed_process(tmp_path, names(2)) as process:
            monkeypatch.setattr(os, "fsync", sync_slowly)
            began_s = time.monotonic()
            await process.ban("s-0000")
            assert time.monotonic() - began_s < OPERATOR_TIMEOUT_S and process.banned == {"s-0000"}
            await until_stored(tmp_path, {"s-0000"})

    asyncio.run(scene())


def test_successor_that_finds_a_damaged_file_obeys_the_bans_of_the_process_before(tmp_path: Path) -> None:
    """Guards against an upgrade in which an unreadable file leaves the new process without any ban."""

    async def scene() -> None:
        async with managed_process(tmp_path, names(3)) as old:
            await old.ban("s-0000")
            overwrite(tmp_path / FOLDER_NAME / FILE)
            async with managed_process(tmp_path, names(3)) as new, asyncio.timeout(RESTORED_WITHIN_S):
                while new.banned != {"s-0000"}:
                    await asyncio.sleep(0.02)
            assert old.banned == {"s-0000"}

    asyncio.run(scene())


@pytest.mark.parametrize("waits_s", [0.0, POLLS_S])
def test_last_call_decides_whichever_process_gets_it(tmp_path: Path, waits_s: float) -> None:
    """Guards against a call that is undone by an older one that the other process has not read yet."""

    async def scene() -> None:
        async with (
            managed_process(tmp_path, names(3)) as one,
            managed_process(tmp_path, names(3)) as other,
        ):
            await one.ban("s-0000", "s-0001")
            await asyncio.sleep(POLLS_S)
            await one.lift("s-0000")
            await one.ban("s-0002")
            await asyncio.sleep(waits_s)
            await other.ban("s-0000")  # which it may still take for banned
            await other.lift("s-0002")  # which it may not know to be banned
            await other.lift("s-0001")
            await one.ban("s-0001")
            await asyncio.sleep(POLLS_S)
            assert one.banned == other.banned == {"s-0000", "s-0001"}
        assert ManagedProcess(tmp_path, names(3)).banned == {"s-0000", "s-0001"}

    asyncio.run(scene())


# The real program


def test_program_keeps_a_ban_while_over_1000_hosts_are_out_and_back() -> None:
    """Guards against requests to a host that is out, after the file has grown by the bans of other hosts."""

    async def scene() -> None:
        account = Account()
        hosts = [await working_host(f"h{i}", account) for i in range(2)]
        discovery = await Discovery().start()
        # The other ids stand for further servers: all lead to the host that stays in use.
        others = [{**hosts[1].entry(), "id": name} for name in names(1010)]
        discovery.entries.update({str(entry["id"]): entry for entry in others})
        memory = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None  # as the platform's TMPDIR
        with tempfile.TemporaryDirectory(dir=memory) as folder:
            async with managed(discovery, hosts, environ={"TMPDIR": folder}) as (proxy, management):
                await play(account, proxy, management)

    async def play(account: Account, proxy: Proxy, management: str) -> None:
        clients = SteadyClients(proxy, account)
        await wait_ready(proxy, management)
        assert (await call(management, "PUT /hosts/h0/maint"))[0] == 200
        banned_s = time.monotonic()
        waiting = iter(names(1010))

        async def operate() -> None:
            for name in waiting:
                for word in ("maint", "ready"):
                    assert (await call(management, f"PUT /hosts/{name}/{word}"))[0] == 200

        await asyncio.gather(*(operate() for _ in range(OPERATORS)))
        await asyncio.sleep(1.0)
        await clients.stop()
        # Attempts that were under way at the ban may still arrive within the duration of a request.
        assert account.since("h0", banned_s + 0.1) == 0
        assert (await read_metrics(management))["hosts_excluded"] == 1
        assert "unreadable" not in proxy.log()
        assert "bans loaded from another process" not in proxy.log()  # there is none

    asyncio.run(scene())


def test_program_keeps_bans_through_an_upgrade_in_which_the_file_is_overwritten() -> None:
    """Guards against an upgrade that ends bans because the shared file was damaged on the way."""

    async def scene() -> None:
        account = Account()
        hosts = [await working_host(f"h{i}", account) for i in range(3)]
        discovery = await Discovery().start()
        async with upgradable(discovery, hosts) as (old, new, old_management, new_management, folder):
            clients = SteadyClients(old, account, count=8)
            assert (await call(old_management, "PUT /hosts/h2/maint"))[0] == 200
            banned_s = time.monotonic()
            overwrite(folder / FOLDER_NAME / FILE)
            await until_stored(folder, {"h2"})
            new.start()
            await wait_ready(new, new_management)
            overwrite(folder / FOLDER_NAME / FILE)
            await until_stored(folder, {"h2"})
            old.process.send_signal(15)
            assert await old.ended() == 0
            overwrite(folder / FOLDER_NAME / FILE)
            await asyncio.sleep(0.5)
            lifted_s = time.monotonic()
            assert account.since("h2", banned_s + 0.1) == 0
            assert (await call(new_management, "PUT /hosts/h2/ready"))[0] == 200
            while not account.since("h2", lifted_s):
                await asyncio.sleep(0.02)
            await clients.stop()
            account.check()

    asyncio.run(scene())
