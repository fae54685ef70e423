"""Attempts that end in the same loop iteration as an answer, a timeout or a drain."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import pytest

from cloverrouter.interface import EndpointState, ListedEndpoint, ListKind, Outcome
from cloverrouter.lab.peers import Discovery, Host, Respond, raw, running
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.proxy.messages import Answer
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.proxy.wake import Loop
from tests.test_upstream import FakeCall, full_listener, until
from tests.test_wake import make_node, run_scene

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers"
SHORT = {
    "categories": [
        {"name": "keyed", "aim_ms": 500, "deadline_ms": 600, "effect": "dedup", "group": "cell",
         "window_ms": 3000, "worth": 3},
        {"name": "unsafe", "aim_ms": 500, "deadline_ms": 600, "effect": "fragile", "worth": 10},
    ]
}  # fmt: skip


def test_answer_before_the_last_byte_of_its_request_is_not_served() -> None:
    """It can only be a second answer to the previous request: a host starts after the last byte."""

    async def scene(loop: Loop) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        upstream = Upstream(8, 60_000, 1000)
        ends: list[tuple[Outcome, Answer | None]] = []
        host = ("h", listener.getsockname()[:2])
        upstream.keep_only({host})
        call = FakeCall(b"z" * 8_000_000)  # more than the socket buffers hold
        exchange = upstream.send(host, call, 5000, lambda outcome, answer: ends.append((outcome, answer)))
        listener.setblocking(False)
        sock, _ = await loop.sock_accept(listener)
        await until(lambda: exchange.connection is not None)
        assert not exchange.written
        await loop.sock_sendall(sock, OK)
        await until(lambda: ends)
        assert ends == [(Outcome.CONNECT_FAILED, None)]  # it never ran
        await until(lambda: not upstream.open)

    run_scene(scene)


@pytest.mark.parametrize(
    "respond",
    [
        raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"),  # incomplete
        raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart"),
        raw(b"HTTP/1.1 200 OK\r\nContent-Le"),
        raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", close=True),
        raw(b"\x00\x01 no answer at all\r\n\r\n"),
    ],
)
@pytest.mark.parametrize("target", ["/unsafe", "/keyed"])
def test_incomplete_or_malformed_answer_is_a_failure_and_no_refusal_at_the_deadline(
    respond: Respond, target: str
) -> None:
    """The request may have run: an unsafe one is not retried, a keyed one only in its cell, and neither is
    refused."""

    async def scene() -> None:
        discovery = await Discovery().start()
        hosts = [await Host(f"h{i}", respond).start() for i in range(2)]
        entries = [{**host.entry(), "cell": i} for i, host in enumerate(hosts)]
        for host, entry in zip(hosts, entries, strict=True):
            host.entry = lambda state="active", entry=entry: entry  # type: ignore[method-assign,misc]
        async with running(discovery, hosts, settings=SHORT) as proxy:
            client = await proxy.client()
            client.send(target, timeout_ms=600)
            assert (await client.read()).status == 502
            names = [host.name for host in hosts for _ in host.seen]
            assert len(set(names)) == 1
            assert target == "/keyed" or len(names) == 1

    asyncio.run(scene())


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE, EndpointState.READY])
def test_connection_established_after_a_drain_or_address_change_carries_no_request(
    state: EndpointState,
) -> None:
    """The list arrives during the connect; `READY`: the same name at another address."""

    async def scene(loop: Loop) -> None:
        listener, fillers = full_listener()
        node = make_node(listener.getsockname())
        call = FakeCall(timeout_ms=3000)
        call.arrived_ms = loop.time() * 1000
        node.call_received(call)
        await asyncio.sleep(0.05)
        address = ("127.0.0.1", 9) if state is EndpointState.READY else None
        entry = HostEntry(ListedEndpoint("h", state=state), address)
        node.listed(ListKind.DELTA, HostList(2, False, (entry,)))
        for filler in fillers:
            filler.close()
        listener.setblocking(False)
        received = b""
        for _ in range(40):  # no accepted connection receives data
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                await asyncio.sleep(0.01)
                continue
            sock.settimeout(0.05)
            with suppress(TimeoutError, ConnectionError):
                received += sock.recv(1000)
        assert received == b""
        listener.close()

    run_scene(scene)


def test_timeout_in_the_iteration_that_reads_the_answer_gives_one_final_answer() -> None:
    async def scene(loop: Loop) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        node = make_node(listener.getsockname()[:2])
        call = FakeCall(timeout_ms=3000)
        call.arrived_ms = loop.time() * 1000
        node.call_received(call)
        sock, _ = await loop.sock_accept(listener)
        sock.setblocking(False)
        await loop.sock_recv(sock, 65536)
        request = next(iter(node._requests.values()))
        attempt = next(iter(request.attempts.values()))
        sock.send(OK)  # now in the proxy's socket
        node._timed_out(attempt)  # the timeout, in the same iteration
        await asyncio.sleep(0.05)
        assert len(call.given) == 1
        assert not node._requests and not node.busy
        assert node._balancer.membership.endpoints["h"].in_flight == 0
        sock.close()
        listener.close()

    run_scene(scene)
