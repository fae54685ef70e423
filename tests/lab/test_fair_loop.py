"""The event loop of processes that generate load and keep time."""

from __future__ import annotations

import asyncio
import socket
import time
from itertools import pairwise

from cloverrouter.lab.fair_loop import MAX_READY, fair_event_loop

SOCKETS, HANDLING_S = 8 * MAX_READY, 0.001


def test_timers_are_evaluated_within_a_burst_of_ready_sockets() -> None:
    async def scene() -> list[int]:
        loop, pairs = asyncio.get_running_loop(), [socket.socketpair() for _ in range(SOCKETS)]
        handled, handled_at_timer = set[int](), list[int]()

        def handle(index: int) -> None:
            time.sleep(HANDLING_S)
            pairs[index][0].recv(1)
            loop.remove_reader(pairs[index][0])
            handled.add(index)

        for index, (local, peer) in enumerate(pairs):
            loop.add_reader(local, handle, index)
            peer.send(b"x")
        while len(handled) < SOCKETS:
            await asyncio.sleep(HANDLING_S)
            handled_at_timer.append(len(handled))
        for pair in pairs:
            for one in pair:
                one.close()
        return handled_at_timer

    with asyncio.Runner(loop_factory=fair_event_loop) as runner:
        counts = [0, *runner.run(scene())]
    assert max(after - before for before, after in pairwise(counts)) <= 2 * MAX_READY


def test_socket_that_is_always_ready_does_not_delay_the_others() -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        busy = [socket.socketpair() for _ in range(2 * MAX_READY)]
        for local, peer in busy:
            peer.send(b"x")
            loop.add_reader(local, int)  # never read, so always ready
        late, late_peer = socket.socketpair()
        handled = asyncio.Event()
        loop.add_reader(late, handled.set)
        late_peer.send(b"x")
        async with asyncio.timeout(5):
            await handled.wait()
        for one in (late, late_peer, *(sock for pair in busy for sock in pair)):
            loop.remove_reader(one)
            one.close()

    with asyncio.Runner(loop_factory=fair_event_loop) as runner:
        runner.run(scene())
