"""Keeps the bans of this process and the file that the processes of one proxy share in agreement.

A ban is in force in this process at once; the file carries it to the other processes and to the next one.
No state of the file ends a ban: what the file lacks is written to it again. The file is read and written in
a thread, since a slow disk or another process that holds the lock would delay every request.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine
from pathlib import Path

from cloverrouter.management.bans import Bans, merge_records
from cloverrouter.management.file import Exchange, SharedBanFile
from cloverrouter.proxy.config import HostList
from cloverrouter.roster.store import FileStamp

POLL_INTERVAL_S = 0.1
# Between two attempts to repair the file, which another process may keep damaging, or a full disk prevent.
REPAIR_INTERVAL_S = 1.0
MAX_NAMES_IN_LOG = 8
log = logging.getLogger(__name__)


class SharedBans:
    """The bans in force, and their exchange with other processes.

    `deliver` receives each update for the decision module.
    """

    def __init__(self, bans: Bans, directory: Path, deliver: Callable[[HostList], None]) -> None:
        self._bans, self._deliver = bans, deliver
        self._file = SharedBanFile(directory)
        self._stamp: FileStamp | None = None  # version of the file that was last read or written
        self._exchanging = asyncio.Lock()
        self._changes = 0  # by operators of this process
        self._unsaved: dict[str, int] = {}  # by host: number of its change that is not in the file yet
        self._complete = True  # the file has all records of this process
        self._next_repair_s = 0.0
        self._reported = ""  # the last fault of the file that was logged, until it is intact again
        self._tasks: set[asyncio.Task[None]] = set()
        self._poll_timer: asyncio.TimerHandle | None = None
        self._load()

    def _load(self) -> None:
        """Read the bans of the processes before this one."""
        try:
            stamp = self._file.stamp()
            records, moved_to = self._file.load()
        except OSError as error:
            self._complete = False  # read again at the next poll
            self._report_unusable(error)
            return
        self._stamp = None if moved_to is not None else stamp
        if moved_to is not None:
            log.error("the ban file could not be read, no host is banned; moved to %s", moved_to)
        self._bans.merge_shared(merge_records(records, (), _now_ms()))

    def close(self) -> None:
        if self._poll_timer is not None:
            self._poll_timer.cancel()

    # Calls of operators

    def set_banned(self, host: str, banned: bool) -> asyncio.Task[None]:
        """Ban a host, or lift its ban; the task ends when other processes can read the change.

        Raises `UnknownServer`. This method, or the task, raises `TooManyDrains`.
        """
        self._bans.check_known(host)
        if self._bans.is_banned(host) is banned:
            # Another process may have changed it since the last poll, before this call.
            return self._run(self._change_after_read(host, banned))
        self._change(host, banned)
        return self._run(self._save())

    def _change(self, host: str, banned: bool) -> None:
        update = (self._bans.ban if banned else self._bans.lift)(host, _now_ms())
        log.warning("%s %s by an operator's call", host, "out" if banned else "back")
        self._changes += 1
        self._unsaved[host] = self._changes
        if update is not None:
            self._deliver(update)

    async def _change_after_read(self, host: str, banned: bool) -> None:
        if self._file_changed():
            async with self._exchanging:
                await self._exchange(write=True)
        if self._bans.is_banned(host) is not banned:
            self._change(host, banned)
        await self._save()

    async def _save(self) -> None:
        """Write the changes that are not in the file; one write serves all who wait for it."""
        change = self._changes
        async with self._exchanging:
            if any(number <= change for number in self._unsaved.values()):
                await self._exchange(write=True)

    # Polls

    def poll(self) -> None:
        """Start to look for changes of the file, and to repair it, at regular intervals."""
        self._poll_timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self.poll)
        if self._exchanging.locked():
            return
        if (not self._complete and self._may_repair()) or self._file_changed():
            self._run(self._read())

    async def _read(self) -> None:
        async with self._exchanging:
            await self._exchange(write=self._may_repair())

    def _may_repair(self) -> bool:
        return time.monotonic() >= self._next_repair_s

    def _file_changed(self) -> bool:
        try:
            return self._file.stamp() != self._stamp
        except OSError as error:
            self._report_unusable(error)
            return False

    # Exchange

    async def _exchange(self, write: bool) -> None:
        """Exchange records with the file. The caller holds `_exchanging`."""
        change, own = self._changes, self._bans.records(_now_ms())
        try:
            found = await asyncio.get_running_loop().run_in_executor(
                None, self._file.exchange, own, _now_ms(), write
            )
        except OSError as error:
            self._complete, self._next_repair_s = False, time.monotonic() + REPAIR_INTERVAL_S
            self._report_unusable(error)
            return
        self._stamp, self._complete = found.stamp, found.stored
        self._check_found(found)
        if found.stored:
            self._unsaved = {host: number for host, number in self._unsaved.items() if number > change}
        update = self._bans.merge_shared(found.records)
        if update is not None:
            banned = sorted(self._bans.drains)
            names = ", ".join(banned[:MAX_NAMES_IN_LOG]) or "none"
            log.warning(
                "bans loaded from another process; banned hosts: %d, the first: %s", len(banned), names
            )
            self._deliver(update)

    def _check_found(self, found: Exchange) -> None:
        """Report a file that had lost bans, once, and put off the next repair."""
        lost = [record.server for record in found.lacking if record.until_ms is None]
        lost = [host for host in lost if host not in self._unsaved]
        if not lost and found.moved_to is None:
            self._reported = ""
            return
        if found.stored:
            self._next_repair_s = time.monotonic() + REPAIR_INTERVAL_S
        why = "was missing or lacked them" if found.moved_to is None else f"was moved to {found.moved_to}"
        self._report("lost", f"{len(lost)} bans in force are written again: the ban file {why}")

    def _report_unusable(self, error: OSError) -> None:
        self._report("unusable", f"bans are in force, but not shared with other processes: {error}")

    def _report(self, fault: str, text: str) -> None:
        if self._reported != fault:
            log.error("%s", text)
        self._reported = fault

    def _run(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _now_ms() -> float:
    return time.time() * 1000
