"""The control socket of a running proxy: access, commands, and limits against misbehaving clients."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import stat
import sys
import time
from pathlib import Path

import pytest

from cloverrouter.control import server as control
from cloverrouter.control.events import Events
from cloverrouter.control.protocol import encode
from cloverrouter.control.server import ControlError, Server, open_socket
from cloverrouter.lab.peers import LONG_S, Host, never, raw, reset, running
from cloverrouter.seams import Argument, Command, Commands, Json, Operator
from tests.standins.appliance import ControlConnection, running_appliance


async def start_hosts(count: int = 3) -> list[Host]:
    return [await Host(f"h{i}").start() for i in range(count)]


# The socket itself


def test_folder_and_socket_are_private_and_a_live_socket_is_not_replaced(tmp_path: Path) -> None:
    path = tmp_path / "c" / "control.sock"
    with open_socket(path):
        assert stat.S_IMODE(path.parent.stat().st_mode) == 0o700
        assert stat.S_IMODE(path.stat().st_mode) == 0o600
        with pytest.raises(ControlError, match="another proxy"):
            open_socket(path)
    with open_socket(path):  # the socket that a killed proxy left behind is replaced
        pass
    path.unlink()
    path.write_text("mine")
    with pytest.raises(ControlError, match="no socket"):
        open_socket(path)
    assert path.read_text() == "mine"
    path.parent.chmod(0o755)
    with pytest.raises(ControlError, match="chmod 0700"):
        open_socket(path)


def test_socket_with_a_full_backlog_is_not_replaced(tmp_path: Path) -> None:
    path = tmp_path / "c" / "control.sock"
    waiting = []
    with open_socket(path):  # as of a paused proxy: nothing accepts connections
        with pytest.raises(BlockingIOError):
            for _ in range(1000):
                sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
                waiting.append(sock)
                sock.setblocking(False)
                sock.connect(str(path))
        with pytest.raises(ControlError, match="another proxy"):
            open_socket(path)
        assert path.exists()
    for sock in waiting:
        sock.close()


@pytest.mark.parametrize("data", [b"\n" * 10_000, encode({"id": 1, "do": "x", "args": {}}) * 600])
def test_too_many_lines_in_one_read_close_the_connection(data: bytes, tmp_path: Path) -> None:
    async def scenario() -> None:
        server = Server("n", "b", tmp_path / "c" / "s", Commands(), Events(lambda: 0.0), 4, 65536)
        server.listen()
        reader, writer = await asyncio.open_unix_connection(str(server.path))
        line = ControlConnection(reader, writer)
        await line.read()
        (client,) = server.clients
        client.data_received(data)
        while (message := await line.read()) and "bye" not in message:
            pass
        assert message["bye"] == "too_many"
        writer.close()
        server.close()

    asyncio.run(scenario())


def test_second_proxy_on_the_same_folder_fails_to_start() -> None:
    async def scenario() -> None:
        hosts = await start_hosts(1)
        async with running_appliance(hosts) as (box, proxy, _):
            config = box.folder / "config.json"
            settings = json.loads(proxy.config.read_text())
            config.write_text(json.dumps({**settings, "listen": "127.31.9.9:3000"}))
            second = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "cloverrouter.proxy",
                env={**os.environ, **box.environ, "PROXY_CONFIG": str(config)},
                stderr=asyncio.subprocess.PIPE,
            )  # fmt: skip
            async with asyncio.timeout(LONG_S):
                _, err = await second.communicate()
            assert second.returncode == 2 and b"another proxy listens" in err
            assert (await (await box.connect()).ask("status"))["ok"]

    asyncio.run(scenario())


def test_peer_of_another_user_is_rejected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "peer_of", lambda sock: Operator(12345, 7, "eve"))

    async def scenario() -> None:
        server = Server("n", "b", tmp_path / "c" / "s", Commands(), Events(lambda: 0.0), 4, 65536)
        server.listen()
        reader, _ = await asyncio.open_unix_connection(str(server.path))
        message = json.loads(await reader.readline())
        assert message["bye"] == "not_allowed" and "eve" in message["text"]
        assert await reader.read() == b"" and not server.clients
        server.close()

    asyncio.run(scenario())


# Commands


def test_status_servers_and_load_report_counts_and_conditions() -> None:
    async def scenario() -> None:
        hosts = await start_hosts(2)
        async with running_appliance(hosts) as (box, proxy, _):
            client = await proxy.client()
            for _ in range(10):
                assert (await client.ask("/keyed")).status == 200
            line = await box.connect()
            assert line.hello["hello"] == "cloverrouter" and line.hello["v"] == 1
            status = await line.result("status")
            assert status["servers"] == {"listed": 2, "healthy": 2, "drained": 0}
            assert status["counts"]["served"] == 10 and status["alarms"] == []
            found = (await line.result("servers"))["servers"]
            assert [s["server"] for s in found] == ["h0", "h1"]
            assert sum(s["served"] for s in found) == 10
            assert all(s["condition"] == "ready" and s["limit"] >= 1 for s in found)
            load = await line.result("load")
            assert next(c for c in load["classes"] if c["class"] == "keyed")["counts"]["served"] == 10
            names = {c["name"] for c in (await line.result("help"))["commands"]}
            assert {"status", "servers", "drain", "restore", "failures", "refusals", "events"} <= names

    asyncio.run(scenario())


def test_failures_and_refusals_are_reported_with_attempts_and_reasons() -> None:
    async def scenario() -> None:
        host = await Host("h0", reset).start()
        async with running_appliance([host]) as (box, proxy, discovery):
            client, line = await proxy.client(), await box.connect()
            assert (await client.ask("/unsafe")).status == 502
            (failure,) = (await line.result("failures"))["failures"]
            assert failure["class"] == "unsafe" and "may have run" in failure["why"]
            assert [(a["server"], a["outcome"]) for a in failure["attempts"]] == [("h0", "reset")]
            await discovery.change(host.entry("left"))
            while await known(line, "h0"):
                pass
            assert (await client.ask("/unsafe")).status == 503
            (refusal,) = (await line.result("refusals"))["refusals"]
            assert refusal["why"] == "no server is listed as ready" and refusal["attempts"] == []
            client.writer.write(b"GET /none HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\n\r\n")
            assert (await client.read()).status == 404
            assert (await line.result("load"))["turned_away"] == {"404": 1}

    async def known(line: ControlConnection, name: str) -> bool:
        return any(s["server"] == name for s in (await line.result("servers"))["servers"])

    asyncio.run(scenario())


def test_drain_and_restore_report_the_change_and_are_idempotent() -> None:
    async def scenario() -> None:
        hosts = await start_hosts(2)
        async with running_appliance(hosts) as (box, proxy, _):
            line, client = await box.connect(), await proxy.client()
            before_ms = time.time() * 1000
            done = await line.result("drain", server="h0", note="disk")
            assert (done["before"], done["after"], done["changed"]) == ("ready", "drained", True)
            assert f"uid {os.getuid()}" in done["by"] and done["at_ms"] >= before_ms - 1 and done["saved"]
            for _ in range(10):
                assert (await client.ask("/keyed")).status == 200
            assert not hosts[0].seen and len(hosts[1].seen) == 10
            again = await line.result("drain", server="h0")
            assert (again["before"], again["after"], again["changed"]) == ("drained", "drained", False)
            server = await line.server("h0")
            assert server["drain"]["note"] == "disk" and server["condition"] == "draining"
            done = await line.result("restore", server="h0")
            assert (done["before"], done["after"]) == ("drained", "ready")
            assert not (await line.result("restore", server="h0"))["changed"]
            while not hosts[0].seen:
                assert (await client.ask("/keyed")).status == 200
            await proxy.logged("drain h0 by")
            events = (await line.result("events"))["events"]
            commands = [(e["command"], e["server"]) for e in events if e["kind"] == "operator"]
            assert commands == [("drain", "h0"), ("restore", "h0")]  # commands without effect add no event

    asyncio.run(scenario())


def test_errors_name_the_known_servers_and_commands() -> None:
    async def scenario() -> None:
        async with running_appliance(await start_hosts(2)) as (box, _, _):
            line = await box.connect()
            error = (await line.ask("drain", server="h9"))["error"]
            assert error["code"] == "no_server" and "h0, h1" in error["right"]
            error = (await line.ask("dran"))["error"]
            assert error["code"] == "no_command" and "drain" in error["right"]
            error = (await line.ask("drain", server="h0", minutes="x"))["error"]
            assert error["code"] == "bad_argument" and "minutes" in error["text"]

    asyncio.run(scenario())


def test_drain_of_the_last_healthy_server_needs_confirmation() -> None:
    async def scenario() -> None:
        hosts = await start_hosts(2)
        async with running_appliance(hosts) as (box, proxy, _):
            line, client = await box.connect(), await proxy.client()
            await line.result("drain", server="h0")
            error = (await line.ask("drain", server="h1"))["error"]
            assert error["code"] == "last_healthy" and error["remaining"] == {"h0": "draining"}
            assert "h1" in error["right"]
            assert (await line.ask("drain", server="h1", confirm="h0"))["error"]["code"] == "last_healthy"
            assert (await client.ask("/keyed")).status == 200  # the server is not drained
            done = await line.result("drain", server="h1", confirm="h1")
            assert done["after"] == "drained"
            started = time.monotonic()
            assert (await client.ask("/keyed", timeout_ms=1000)).status == 503
            assert time.monotonic() - started < LONG_S
            assert "no server can take work" in (await line.result("status"))["alarms"]

    asyncio.run(scenario())


def test_paused_servers_do_not_count_as_healthy() -> None:
    async def scenario() -> None:
        full = raw(b"HTTP/1.1 503 S\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        hosts = [await Host("h0").start(), await Host("h1", full).start()]
        async with running_appliance(hosts) as (box, proxy, discovery):
            line, client = await box.connect(), await proxy.client()
            await discovery.change(hosts[0].entry("leaving"))
            while (await line.server("h1"))["paused_s"] < 1:  # each refusal doubles its pause
                await client.ask("/unsafe", timeout_ms=1400)
            await discovery.change(hosts[0].entry())
            while not (await line.server("h0"))["healthy"]:
                pass
            error = (await line.ask("drain", server="h0"))["error"]
            assert error["code"] == "last_healthy" and error["remaining"]["h1"].startswith("paused")

    asyncio.run(scenario())


def test_exactly_one_of_two_concurrent_drains_of_the_last_two_servers_succeeds() -> None:
    async def scenario() -> None:
        async with running_appliance(await start_hosts(2)) as (box, _, _):
            lines = [await box.connect(), await box.connect()]
            for _ in range(10):
                answers = await asyncio.gather(
                    lines[0].ask("drain", server="h0"), lines[1].ask("drain", server="h1")
                )
                assert sorted(a["ok"] for a in answers) == [False, True]
                refused = next(a for a in answers if not a["ok"])
                assert refused["error"]["code"] == "last_healthy"
                for name in ("h0", "h1"):
                    await lines[0].result("restore", server=name)

    asyncio.run(scenario())


def test_conflicting_operators_see_each_others_changes() -> None:
    async def scenario() -> None:
        async with running_appliance(await start_hosts(3)) as (box, _, _):
            one, other = await box.connect(), await box.connect()
            for _ in range(5):
                await one.result("drain", server="h0")
                done = await other.result("restore", server="h0")
                assert done["before"] == "drained" and done["after"] == "ready"
                assert (await one.server("h0"))["state"] == "ready"
            events = (await one.result("events"))["events"]
            commands = [e["command"] for e in events if e["kind"] == "operator"]
            assert commands == ["drain", "restore"] * 5

    asyncio.run(scenario())


def test_attempt_in_flight_on_a_drained_server_completes_once() -> None:
    async def scenario() -> None:
        hosts = [await Host("h0", never).start(), await Host("h1", never).start()]
        async with running_appliance(hosts) as (box, proxy, _):
            line, client = await box.connect(), await proxy.client()
            client.send("/unsafe")
            async with asyncio.timeout(LONG_S):
                while not any(h.seen for h in hosts):
                    await asyncio.sleep(0.01)
            busy = next(h for h in hosts if h.seen)
            await line.result("drain", server=busy.name)
            busy.open[1].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkept")
            assert (await client.read()).body == b"kept"
            assert sum(len(h.seen) for h in hosts) == 1
            await busy.wait(lambda: not busy.open)  # the idle connection is closed

    asyncio.run(scenario())


def test_timed_drain_expires() -> None:
    async def scenario() -> None:
        hosts = await start_hosts(2)
        async with running_appliance(hosts) as (box, proxy, _):
            line, client = await box.connect(), await proxy.client()
            done = await line.result("drain", server="h0", minutes=0.02)
            assert done["until_ms"] > done["at_ms"]
            async with asyncio.timeout(LONG_S):
                while not hosts[0].seen:
                    assert (await client.ask("/keyed")).status == 200
            assert (await line.server("h0"))["state"] == "ready"
            assert time.time() * 1000 >= done["until_ms"]

    asyncio.run(scenario())


def test_drains_survive_a_kill_and_a_corrupt_file_raises_an_alarm() -> None:
    async def scenario() -> None:
        hosts = await start_hosts(2)
        async with running_appliance(hosts) as (box, proxy, discovery):
            line = await box.connect()
            assert (await line.result("drain", server="h0"))["saved"]
            proxy.process.kill()
            await proxy.ended()
            async with running(discovery, hosts, environ=box.environ) as second:
                assert (await (await box.connect()).server("h0"))["state"] == "drained"
                client = await second.client()
                for _ in range(8):
                    assert (await client.ask("/keyed")).status == 200
                assert not hosts[0].seen
                second.process.kill()
                await second.ended()
            (box.state / "drains").write_bytes((box.state / "drains").read_bytes()[:-1])
            async with running(discovery, hosts, environ=box.environ) as third:
                await third.logged("could not be read")
                line = await box.connect()
                assert (await line.server("h0"))["state"] == "ready"
                assert any("unreadable" in text for text in (await line.result("status"))["alarms"])

    asyncio.run(scenario())


def test_followed_events_are_sent() -> None:
    async def scenario() -> None:
        hosts = await start_hosts(2)
        async with running_appliance(hosts) as (box, _, discovery):
            follower, line = await box.connect(), await box.connect()
            assert (await follower.ask("events", follow=True))["ok"]
            await line.result("drain", server="h0")
            event = (await follower.read())["event"]
            assert (event["command"], event["server"]) == ("drain", "h0")
            await discovery.change(hosts[1].entry("leaving"))
            event = (await follower.read())["event"]
            assert (event["kind"], event["server"], event["after"]) == ("roster", "h1", "leaving")

    asyncio.run(scenario())


# Misbehaving clients


async def check_service(line: ControlConnection, client: object, requests: int = 20) -> None:
    """Check that requests and commands are answered."""
    for _ in range(requests):
        assert (await client.ask("/keyed")).status == 200  # type: ignore[attr-defined]
    assert (await line.ask("status"))["ok"]


@pytest.mark.parametrize(
    ("data", "bye"),
    [
        (b"x" * 10_000_000, "line_too_long"),
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 20, "bad_lines"),
        (b"{}\n" * 100_000, "too_many"),
        (bytes(range(11, 256)) * 20 + b"\n", None),
    ],
    ids=["10 MB line", "http", "flood", "garbage"],
)
def test_malformed_input_affects_only_its_connection(data: bytes, bye: str | None) -> None:
    async def scenario() -> None:
        async with running_appliance(await start_hosts(2)) as (box, proxy, _):
            line, client, bad = await box.connect(), await proxy.client(), await box.connect()

            async def send() -> None:
                try:
                    bad.writer.write(data)
                    await bad.writer.drain()
                except ConnectionError:
                    pass

            sending = asyncio.create_task(send())
            await check_service(line, client)
            if bye is None:
                assert (await bad.read())["error"]["code"] == "bad_line"
                bad.last_id = 5
                assert (await bad.ask("status"))["ok"]  # one bad line does not close the connection
            else:
                message = await bad.read()
                while message and "bye" not in message:
                    message = await bad.read()
                assert message == {} or message["bye"] == bye  # a reset may discard the last line
                await sending
            await check_service(line, client)

    asyncio.run(scenario())


def test_incomplete_line_times_out(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setattr(control, "UNFINISHED_S", 0.2)

    async def scenario() -> None:
        server = Server("n", "b", tmp_path / "c" / "s", Commands(), Events(lambda: 0.0), 4, 65536)
        server.listen()
        reader, writer = await asyncio.open_unix_connection(str(server.path))
        await reader.readline()
        line = ControlConnection(reader, writer)

        async def dribble() -> None:  # single bytes do not extend the timeout
            while not reader.at_eof():
                writer.write(b"x")
                await asyncio.sleep(0.02)

        task = asyncio.create_task(dribble())
        assert (await line.read())["bye"] == "unfinished"
        task.cancel()
        server.close()

    asyncio.run(scenario())


def test_thousand_connects_do_not_affect_requests_or_descriptors() -> None:
    async def scenario() -> None:
        async with running_appliance(await start_hosts(2), control="clients = 4") as (box, proxy, _):
            line, client = await box.connect(), await proxy.client()
            loop = asyncio.get_running_loop()

            def flood() -> int:
                rejected = 0
                sockets = []
                for _ in range(1000):
                    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
                    sock.connect(str(box.socket))  # blocks while the backlog is full
                    sock.settimeout(LONG_S)
                    sockets.append(sock)
                    if len(sockets) > 100:
                        sockets.pop(0).close()
                for sock in sockets[10:]:
                    rejected += b"too_many" in sock.recv(4096)
                    sock.close()
                return rejected

            flooding = loop.run_in_executor(None, flood)
            max_descriptors = 0
            while not flooding.done():
                await check_service(line, client, 5)
                max_descriptors = max(max_descriptors, len(os.listdir(f"/proc/{proxy.process.pid}/fd")))
            assert (await flooding) >= 80  # all except the accepted ones received the reason
            assert max_descriptors < 60
            await check_service(line, client)

    asyncio.run(scenario())


def test_slow_reader_is_disconnected_with_a_reason(tmp_path: Path) -> None:
    def large_result(operator: Operator, values: object) -> Json:
        return {"x": "y" * 4000}

    async def scenario() -> None:
        commands, events = Commands(), Events(lambda: 0.0)
        arguments = (Argument("follow", bool, "x", default=False),)
        commands.add(Command("events", "x", large_result, arguments))
        server = Server("n", "b", tmp_path / "c" / "s", commands, events, 4, 65536)
        server.listen()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, str(server.path))
        await loop.sock_sendall(sock, encode({"id": 1, "do": "events", "args": {"follow": True}}))
        async with asyncio.timeout(LONG_S):
            while not events.followers:
                await asyncio.sleep(0.01)
        count = 0
        while events.followers and count < 10_000:  # the client does not read
            events.add("module", {"text": "z" * 1000})
            count += 1
            if server.disconnects:
                break
        assert server.disconnects == 1 and count < 400
        received = b""
        async with asyncio.timeout(LONG_S):
            while data := await loop.sock_recv(sock, 65536):
                received += data
        assert json.loads(received.splitlines()[-1])["bye"] == "slow_reader"
        async with asyncio.timeout(LONG_S):
            while server.clients:
                await asyncio.sleep(0.01)
        assert not events.followers
        sock.close()
        server.close()

    asyncio.run(scenario())


def test_request_rate_of_a_connection_is_limited(tmp_path: Path) -> None:
    async def scenario() -> None:
        commands = Commands()
        commands.add(Command("status", "x", lambda operator, arguments: {}))
        server = Server("n", "b", tmp_path / "c" / "s", commands, Events(lambda: 0.0), 4, 65536)
        server.listen()
        reader, writer = await asyncio.open_unix_connection(str(server.path))
        line = ControlConnection(reader, writer)
        await line.read()
        started = time.monotonic()
        count = int(control.BURST_REQUESTS) + 10
        for _ in range(count):
            await line.ask("status")
        assert time.monotonic() - started > 9 / control.REQUESTS_PER_S
        server.close()

    asyncio.run(scenario())


def test_stopping_proxy_says_bye_and_removes_its_socket() -> None:
    async def scenario() -> None:
        async with running_appliance(await start_hosts(1)) as (box, proxy, _):
            line = await box.connect()
            proxy.process.terminate()
            assert (await line.read())["bye"] == "ending"
            assert await proxy.ended() == 0
            assert not box.socket.exists()

    asyncio.run(scenario())


# ctl


def test_ctl_exit_codes() -> None:
    async def scenario() -> None:
        async with running_appliance(await start_hosts(2)) as (box, proxy, _):
            code, out, _ = await box.ctl("drain", "h0", "minutes=5")
            assert code == 0 and out.startswith("h0: ready -> drained until ")
            code, out, _ = await box.ctl("--json", "servers")
            assert code == 0
            assert [s["state"] for s in json.loads(out)["result"]["servers"]] == ["drained", "ready"]
            code, _, err = await box.ctl("drain", "h1")
            assert code == 1 and "no server can take work" in err
            code, out, _ = await box.ctl("--json", "drain", "h1")
            assert code == 1 and json.loads(out)["error"]["code"] == "last_healthy"
            assert (await box.ctl("drain"))[0] == 2
            assert (await box.ctl("drian", "h1"))[0] == 2
            for words in (
                ["status"],
                ["servers"],
                ["load"],
                ["failures"],
                ["refusals"],
                ["events"],
                ["help"],
            ):
                code, out, err = await box.ctl(*words)
                assert code == 0 and out and not err
            proxy.process.kill()
            await proxy.ended()
            code, _, err = await box.ctl("status")
            assert code == 3 and "is the proxy running" in err

    asyncio.run(scenario())
