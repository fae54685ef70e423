"""Reading repeated lists: entries that have not changed are reused."""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import Any

import pytest

from cloverrouter.lab.peers import LONG_S, Discovery, ok
from cloverrouter.proxy.config import HostEntry, HostList, UnixClock, read_list
from cloverrouter.proxy.discovery import Watch


def random_message(random: Random, most: int = 8) -> dict[str, Any]:
    servers = [
        {
            "id": f"s-{random.randrange(most)}",
            "addr": f"127.0.0.1:{4000 + random.randrange(2)}",
            "zone": random.choice("ab"),
            "state": random.choice(("active", "active", "leaving", "left")),
            "weight": random.choice((1.0, 2.0)),
            "started_ms": random.choice((0, 1_700_000_000_000)),
        }
        for _ in range(random.randrange(most))
    ]
    return {"version": random.randrange(100), "full": random.random() < 0.3, "servers": servers}


def test_lists_read_the_same_with_and_without_known_entries() -> None:
    clock = UnixClock()
    for seed in range(300):
        random, known = Random(seed), dict[str, HostEntry]()
        listed: set[str] = set()
        for _ in range(12):
            message = random_message(random)
            found = read_list(message, clock, known)
            assert found == read_list(message, clock), seed
            listed = set() if found.full else listed
            for entry in found.entries:
                (listed.discard if entry.address is None else listed.add)(entry.listed.name)
            assert known.keys() == listed, seed  # bounded by what is listed
            assert all(known[name].listed.name == name for name in known)


def test_repeated_full_list_creates_only_the_changed_entries() -> None:
    clock, known = UnixClock(), dict[str, HostEntry]()
    servers = [{"id": f"s-{i}", "addr": f"127.0.0.1:{4000 + i}", "state": "active"} for i in range(100)]
    first = read_list({"version": 1, "full": True, "servers": servers}, clock, known)
    servers[7] = {**servers[7], "state": "leaving"}
    again = read_list({"version": 2, "full": True, "servers": servers}, clock, known)
    new = [i for i in range(100) if again.entries[i] is not first.entries[i]]
    assert new == [7]
    del servers[50:]
    read_list({"version": 3, "full": True, "servers": servers}, clock, known)
    assert len(known) == 50


def test_malformed_list_leaves_the_known_entries_unchanged() -> None:
    clock, known = UnixClock(), dict[str, HostEntry]()
    server = {"id": "s-1", "addr": "127.0.0.1:4000", "state": "active"}
    read_list({"version": 1, "full": True, "servers": [server]}, clock, known)
    before = dict(known)
    malformed = [{**server, "state": "left"}, {"id": "s-2", "addr": "nowhere", "state": "active"}]
    with pytest.raises(ValueError):
        read_list({"version": 2, "full": True, "servers": malformed}, clock, known)
    assert known == before


def test_watch_reuses_the_entries_that_it_resumed_with() -> None:
    async def scene() -> None:
        discovery, clock = await Discovery().start(), UnixClock()
        server = {"id": "s-1", "addr": "127.0.0.1:4000", "state": "active"}
        message = {"version": 2, "full": True, "servers": [server]}
        discovery.broken_answers = [ok(json.dumps(message).encode())]
        before = read_list(message, clock)
        found: asyncio.Queue[HostList] = asyncio.Queue()
        watch = Watch(("127.0.0.1", discovery.port), clock, False, found.put_nowait, lambda: None)
        watch.resume(1, before.entries)
        watch.start()
        async with asyncio.timeout(LONG_S):
            received = await found.get()
        watch.stop()
        assert received.full and received.entries[0] is before.entries[0]
        discovery.server.close()

    asyncio.run(scene())
