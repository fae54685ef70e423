"""The addresses of the ready hosts, each of which belongs to one host. No I/O.

Lists are late: a host that has gone may still be listed when another one is at its address. Two ready hosts
with one address are one process, that of the host which started last.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cloverrouter.interface import EndpointState, ListedEndpoint, ListKind
from cloverrouter.proxy.config import Address, HostEntry, HostList
from cloverrouter.values import replace


def started_ms(entry: HostEntry) -> float:
    """Return when the host's process started; long ago if the list does not tell."""
    return float("-inf") if entry.listed.started_ms is None else entry.listed.started_ms


class AddressBook:
    """The ready hosts by name and by address."""

    def __init__(self) -> None:
        self.addresses: dict[str, Address] = {}
        self._owners: dict[Address, HostEntry] = {}
        self._superseded: dict[str, HostEntry] = {}  # entries of hosts whose address has another owner
        self.restarted: list[HostEntry] = []  # by the last list: at the same address, in a new process

    def apply(self, kind: ListKind, listing: HostList) -> HostList:
        """Apply a list; return it with the hosts that have lost their address as gone, or left out."""
        self.restarted = []
        previous = self._owners
        if kind is not ListKind.DELTA:
            self.addresses, self._owners, self._superseded = {}, {}, {}
        entries: dict[str, HostEntry] = {}
        for entry in listing.entries:
            self._note_restart(entry, previous)
            for changed in self._apply_entry(entry, kind is not ListKind.DELTA):
                entries.pop(changed.listed.name, None)  # the last change of a host comes last
                entries[changed.listed.name] = changed
        if kind is not ListKind.DELTA:  # what a whole list does not name is gone
            entries = {name: entry for name, entry in entries.items() if name not in self._superseded}
        return replace(listing, entries=tuple(entries.values()))

    def _note_restart(self, entry: HostEntry, owners: Mapping[Address, HostEntry]) -> None:
        before = owners.get(entry.address) if entry.address is not None else None
        same_host = before is not None and before.listed.name == entry.listed.name
        if before is not None and same_host and started_ms(before) < started_ms(entry):
            self.restarted.append(entry)

    def _apply_entry(self, entry: HostEntry, of_whole_list: bool) -> Iterable[HostEntry]:
        """Apply one entry; return the entries that change by it.

        A change that names a host at the address of another one is the latest that is known of it, unless
        that host has lost the address before. In a whole list the start times decide.
        """
        name, address = entry.listed.name, entry.address
        if entry.listed.state is not EndpointState.READY or address is None:
            self._superseded.pop(name, None)
            self._release(name)
            return [entry]
        owner = self._owners.get(address)
        if owner is None or owner.listed.name == name:
            self._assign(entry, address)
            return [entry]
        is_older = started_ms(entry) < started_ms(owner)
        superseded = self._superseded.get(name)
        if superseded == entry or (is_older and (of_whole_list or superseded is not None)):
            self._release(name)
            self._superseded[name] = entry
            return [gone(name)]
        self._release(owner.listed.name)
        self._superseded[owner.listed.name] = owner
        self._assign(entry, address)
        return [gone(owner.listed.name), entry]

    def _assign(self, entry: HostEntry, address: Address) -> None:
        name = entry.listed.name
        self._superseded.pop(name, None)
        self._release(name)
        self.addresses[name] = address
        self._owners[address] = entry

    def _release(self, name: str) -> None:
        address = self.addresses.pop(name, None)
        if address is not None:
            del self._owners[address]


def gone(name: str) -> HostEntry:
    """Return an entry that removes a host."""
    return HostEntry(ListedEndpoint(name, state=EndpointState.GONE), None)
