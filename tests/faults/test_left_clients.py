"""Clients that leave: nothing is sent on for them, and what they asked does not run twice."""

from __future__ import annotations

import asyncio
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Callable

from cloverrouter.lab.peers import Discovery, Host, Proxy, Seen, answer_ok, never, running
from cloverrouter.lab.process import own_address

FOLLOWING_BYTES = 4_000_000  # pipelined behind a request: more than the kernel takes of it at once
BEGIN_LIMIT_S = 0.1  # after the close, from which on no attempt may begin
MACHINE_SLACK_S = 0.1
TIMEOUT_MS = 2500
SETTLE_S = 0.3  # for what a host is sent by then


def request(name: str, body: bytes = b"", target: str = "/unsafe", extra: str = "") -> bytes:
    head = f"X-Request-ID: {name}\r\nX-Timeout-Ms: {TIMEOUT_MS}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    return f"POST {target} HTTP/1.1\r\nHost: b\r\n".encode() + head.encode() + body


def keyed(name: str) -> bytes:
    return request(name, target="/keyed", extra=f"Idempotency-Key: k-{name}\r\n")


def ids_seen(hosts: list[Host]) -> Counter[str]:
    return Counter(seen.message.headers["x-request-id"] for host in hosts for seen in host.seen)


class FailingOnce:
    """Answers the first request with a rejection after a while, so that it is retried elsewhere."""

    def __init__(self, after_s: float) -> None:
        self.after_s = after_s
        self.received_s: list[float] = []

    async def __call__(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        self.received_s.append(time.monotonic())
        if len(self.received_s) > 1:
            await answer_ok(seen, writer)
            return
        await asyncio.sleep(self.after_s)
        writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")


# Guards against: a request is sent on although its client has left, behind input that was not read.
def test_nothing_is_sent_on_for_a_client_that_left_with_much_unread() -> None:
    async def scene() -> None:
        respond = FailingOnce(after_s=0.5)
        hosts = [await Host(f"h{i}", respond).start() for i in range(3)]
        async with running(await Discovery().start(), hosts) as proxy:
            loop = asyncio.get_running_loop()
            client = socket.socket()
            client.setblocking(False)
            await loop.sock_connect(client, proxy.endpoint)
            await loop.sock_sendall(client, keyed("r0"))
            async with asyncio.timeout(10):
                while not respond.received_s:
                    await asyncio.sleep(0.01)
            following = b"".join(request(f"f{i}", bytes(1000)) for i in range(FOLLOWING_BYTES // 1100))
            sent = 0
            try:
                while sent < len(following):
                    sent += client.send(following[sent:])
            except BlockingIOError:
                pass
            client.close()
            closed_s = time.monotonic()
            await asyncio.sleep(2.0)
            late = [at_s for at_s in respond.received_s if at_s > closed_s + BEGIN_LIMIT_S + MACHINE_SLACK_S]
            assert sent > 200_000
            assert not late

    asyncio.run(scene())


async def ask_again(proxy: Proxy, data: bytes, within_s: float = SETTLE_S) -> int:
    """Send a request on a new connection; return the status, or 0 if no answer comes soon."""
    reader, writer = await asyncio.open_connection(*proxy.endpoint)
    writer.write(data)
    try:
        async with asyncio.timeout(within_s):
            return int((await reader.readline()).split()[1])
    except TimeoutError:
        return 0
    finally:
        writer.close()


async def leave_once_sent(proxy: Proxy, hosts: list[Host], data: bytes, name: str) -> None:
    """Send a request, and close the connection once a host has it."""
    _, writer = await asyncio.open_connection(*proxy.endpoint)
    writer.write(data)
    async with asyncio.timeout(10):
        while not ids_seen(hosts)[name]:
            await asyncio.sleep(0.01)
    writer.close()
    await asyncio.sleep(0.1)


# Guards against: an id runs twice when it comes again after its client has left.
def test_id_that_comes_again_after_its_client_has_left_does_not_run_twice() -> None:
    async def scene() -> None:
        hosts = [await Host(f"h{i}", never).start() for i in range(2)]
        async with running(await Discovery().start(), hosts) as proxy:
            makers: dict[str, Callable[[str], bytes]] = {"unsafe": request, "keyed": keyed}
            for name, make in makers.items():
                await leave_once_sent(proxy, hosts, make(name), name)
                status = await ask_again(proxy, make(name))
                assert (ids_seen(hosts)[name], status) == (1, 409), name

    asyncio.run(scene())


# Guards against: an id is forgotten with the answer, which its client may not have seen.
def test_id_that_was_answered_does_not_run_twice() -> None:
    async def scene() -> None:
        hosts = [await Host(f"h{i}", answer_ok).start() for i in range(2)]
        async with running(await Discovery().start(), hosts) as proxy:
            for expected in (200, 409):
                assert await ask_again(proxy, request("r0"), within_s=10.0) == expected
            assert ids_seen(hosts)["r0"] == 1

    asyncio.run(scene())


# Guards against: a request that never ran is taken for a repetition, and its client gets no service.
def test_id_that_never_ran_may_come_again() -> None:
    async def reject(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")

    async def scene() -> None:
        host = await Host("h0", reject).start()
        async with running(await Discovery().start(), [host]) as proxy:
            assert await ask_again(proxy, request("r0")) == 503
            host.respond = answer_ok
            status = 503  # until the proxy tries the host that rejected again
            while status == 503:
                status = await ask_again(proxy, request("r0"), within_s=10.0)
            assert status == 200

    asyncio.run(scene())


# Guards against: an id that ran at one process of an upgrade runs again at the other one.
def test_id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_twice() -> None:
    async def scene() -> None:
        hosts = [await Host(f"h{i}", never).start() for i in range(2)]
        address = own_address()
        host, _, port = address.rpartition(":")
        with socket.socket() as listener, tempfile.TemporaryDirectory() as folder:
            listener.bind((host, int(port)))
            listener.listen(64)
            environ = {"PROXY_INHERITED_FD": str(listener.fileno())}
            async with running(
                await Discovery().start(),
                hosts,
                more={"listen": address},
                environ={**environ, "TMPDIR": folder},
                inherit=(listener.fileno(),),
            ) as old:
                await leave_once_sent(old, hosts, request("left"), "left")
                _, open_writer = await asyncio.open_connection(*old.endpoint)
                open_writer.write(request("open"))
                async with asyncio.timeout(10):
                    while not ids_seen(hosts)["open"]:
                        await asyncio.sleep(0.01)
                new = old.successor(dict(old.environ))
                new.start()
                try:
                    await new.logged("serves at")
                    old.process.terminate()
                    await asyncio.sleep(0.1)  # the old process accepts no connection any more
                    for name in ("left", "open"):
                        status = await ask_again(new, request(name))
                        assert (ids_seen(hosts)[name], status) == (1, 409), name
                finally:
                    open_writer.close()
                    new.close()

    asyncio.run(scene())
