"""The control socket of a running proxy: who gets in, what it answers, and what it does not let happen."""

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
from tests.standins.appliance import Line, boxed


async def fleet(count: int = 3) -> list[Host]:
    return [await Host(f"h{i}").start() for i in range(count)]


# The socket itself


def test_folder_and_socket_are_private_and_a_living_proxys_socket_is_not_taken(tmp_path: Path) -> None:
    path = tmp_path / "c" / "control.sock"
    with open_socket(path):
        assert stat.S_IMODE(path.parent.stat().st_mode) == 0o700
        assert stat.S_IMODE(path.stat().st_mode) == 0o600
        with pytest.raises(ControlError, match="another proxy"):
            open_socket(path)
    with open_socket(path):  # what a killed proxy leaves behind is taken away
        pass
    path.unlink()
    path.write_text("mine")
    with pytest.raises(ControlError, match="no socket"):
        open_socket(path)
    assert path.read_text() == "mine"
    path.parent.chmod(0o755)
    with pytest.raises(ControlError, match="chmod 0700"):
        open_socket(path)


def test_socket_whose_backlog_is_full_is_a_living_one(tmp_path: Path) -> None:
    path = tmp_path / "c" / "control.sock"
    waiting = []
    with open_socket(path):  # of a proxy that stands still: nobody is let in
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
def test_many_lines_at_once_are_not_taken_in(data: bytes, tmp_path: Path) -> None:
    async def scene() -> None:
        server = Server("n", "b", tmp_path / "c" / "s", Commands(), Events(lambda: 0.0), 4, 65536)
        server.listen()
        reader, writer = await asyncio.open_unix_connection(str(server.path))
        line = Line(reader, writer)
        await line.read()
        (client,) = server.clients
        client.data_received(data)
        while (told := await line.read()) and "bye" not in told:
            pass
        assert told["bye"] == "too_many"
        writer.close()
        server.close()

    asyncio.run(scene())


def test_second_proxy_on_the_same_folder_does_not_start_and_says_why() -> None:
    async def scene() -> None:
        hosts = await fleet(1)
        async with boxed(hosts) as (box, proxy, _):
            config = box.folder / "config.json"
            told = json.loads(proxy.config.read_text())
            config.write_text(json.dumps({**told, "listen": "127.31.9.9:3000"}))
            second = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "cloverrouter.proxy",
                env={**os.environ, **box.environ, "PROXY_CONFIG": str(config)},
                stderr=asyncio.subprocess.PIPE,
            )  # fmt: skip
            async with asyncio.timeout(LONG_S):
                _, err = await second.communicate()
            assert second.returncode == 2 and b"another proxy listens" in err
            assert (await (await box.line()).ask("status"))["ok"]

    asyncio.run(scene())


def test_peer_of_another_user_is_turned_away(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "peer_of", lambda sock: Operator(12345, 7, "eve"))

    async def scene() -> None:
        server = Server("n", "b", tmp_path / "c" / "s", Commands(), Events(lambda: 0.0), 4, 65536)
        server.listen()
        reader, _ = await asyncio.open_unix_connection(str(server.path))
        told = json.loads(await reader.readline())
        assert told["bye"] == "not_allowed" and "eve" in told["text"]
        assert await reader.read() == b"" and not server.clients
        server.close()

    asyncio.run(scene())


# Commands


def test_status_and_servers_tell_what_module_roster_and_counts_say() -> None:
    async def scene() -> None:
        hosts = await fleet(2)
        async with boxed(hosts) as (box, proxy, _):
            client = await proxy.client()
            for _ in range(10):
                assert (await client.ask("/keyed")).status == 200
            line = await box.line()
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

    asyncio.run(scene())


def test_failures_and_refusals_are_told_with_attempts_and_reasons() -> None:
    async def scene() -> None:
        host = await Host("h0", reset).start()
        async with boxed([host]) as (box, proxy, discovery):
            client, line = await proxy.client(), await box.line()
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

    async def known(line: Line, name: str) -> bool:
        return any(s["server"] == name for s in (await line.result("servers"))["servers"])

    asyncio.run(scene())


def test_drain_and_restore_answer_who_when_old_and_new_and_are_idempotent() -> None:
    async def scene() -> None:
        hosts = await fleet(2)
        async with boxed(hosts) as (box, proxy, _):
            line, client = await box.line(), await proxy.client()
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
            said = [(e["command"], e["server"]) for e in events if e["kind"] == "operator"]
            assert said == [("drain", "h0"), ("restore", "h0")]  # what changed nothing is no event

    asyncio.run(scene())


def test_unknown_server_and_command_name_what_would_be_right() -> None:
    async def scene() -> None:
        async with boxed(await fleet(2)) as (box, _, _):
            line = await box.line()
            error = (await line.ask("drain", server="h9"))["error"]
            assert error["code"] == "no_server" and "h0, h1" in error["right"]
            error = (await line.ask("dran"))["error"]
            assert error["code"] == "no_command" and "drain" in error["right"]
            error = (await line.ask("drain", server="h0", minutes="x"))["error"]
            assert error["code"] == "bad_argument" and "minutes" in error["text"]

    asyncio.run(scene())


def test_last_healthy_server_takes_a_second_step() -> None:
    async def scene() -> None:
        hosts = await fleet(2)
        async with boxed(hosts) as (box, proxy, _):
            line, client = await box.line(), await proxy.client()
            await line.result("drain", server="h0")
            error = (await line.ask("drain", server="h1"))["error"]
            assert error["code"] == "last_healthy" and error["remaining"] == {"h0": "draining"}
            assert "h1" in error["right"]
            assert (await line.ask("drain", server="h1", confirm="h0"))["error"]["code"] == "last_healthy"
            assert (await client.ask("/keyed")).status == 200  # and nothing has happened
            done = await line.result("drain", server="h1", confirm="h1")
            assert done["after"] == "drained"
            begun = time.monotonic()
            assert (await client.ask("/keyed", timeout_ms=1000)).status == 503
            assert time.monotonic() - begun < LONG_S
            assert "no server can take work" in (await line.result("status"))["alarms"]

    asyncio.run(scene())


def test_paused_servers_do_not_count_as_healthy() -> None:
    async def scene() -> None:
        full = raw(b"HTTP/1.1 503 S\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        hosts = [await Host("h0").start(), await Host("h1", full).start()]
        async with boxed(hosts) as (box, proxy, discovery):
            line, client = await box.line(), await proxy.client()
            await discovery.change(hosts[0].entry("leaving"))
            while (await line.server("h1"))["paused_s"] < 1:  # each refusal doubles its pause
                await client.ask("/unsafe", timeout_ms=1400)
            await discovery.change(hosts[0].entry())
            while not (await line.server("h0"))["healthy"]:
                pass
            error = (await line.ask("drain", server="h0"))["error"]
            assert error["code"] == "last_healthy" and error["remaining"]["h1"].startswith("paused")

    asyncio.run(scene())


def test_of_two_that_drain_the_last_two_in_the_same_instant_exactly_one_succeeds() -> None:
    async def scene() -> None:
        async with boxed(await fleet(2)) as (box, _, _):
            lines = [await box.line(), await box.line()]
            for _ in range(10):
                answers = await asyncio.gather(
                    lines[0].ask("drain", server="h0"), lines[1].ask("drain", server="h1")
                )
                assert sorted(a["ok"] for a in answers) == [False, True]
                refused = next(a for a in answers if not a["ok"])
                assert refused["error"]["code"] == "last_healthy"
                for name in ("h0", "h1"):
                    await lines[0].result("restore", server=name)

    asyncio.run(scene())


def test_two_that_contradict_each_other_each_see_what_the_other_did() -> None:
    async def scene() -> None:
        async with boxed(await fleet(3)) as (box, _, _):
            one, other = await box.line(), await box.line()
            for _ in range(5):
                await one.result("drain", server="h0")
                done = await other.result("restore", server="h0")
                assert done["before"] == "drained" and done["after"] == "ready"
                assert (await one.server("h0"))["state"] == "ready"
            events = (await one.result("events"))["events"]
            said = [e["command"] for e in events if e["kind"] == "operator"]
            assert said == ["drain", "restore"] * 5

    asyncio.run(scene())


def test_what_is_out_on_a_drained_server_ends_there_once() -> None:
    async def scene() -> None:
        hosts = [await Host("h0", never).start(), await Host("h1", never).start()]
        async with boxed(hosts) as (box, proxy, _):
            line, client = await box.line(), await proxy.client()
            client.send("/unsafe")
            async with asyncio.timeout(LONG_S):
                while not any(h.seen for h in hosts):
                    await asyncio.sleep(0.01)
            busy = next(h for h in hosts if h.seen)
            await line.result("drain", server=busy.name)
            busy.open[1].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkept")
            assert (await client.read()).body == b"kept"
            assert sum(len(h.seen) for h in hosts) == 1
            await busy.wait(lambda: not busy.open)  # and its connection is not kept idle there

    asyncio.run(scene())


def test_drain_with_a_time_ends_by_itself() -> None:
    async def scene() -> None:
        hosts = await fleet(2)
        async with boxed(hosts) as (box, proxy, _):
            line, client = await box.line(), await proxy.client()
            done = await line.result("drain", server="h0", minutes=0.02)
            assert done["until_ms"] > done["at_ms"]
            async with asyncio.timeout(LONG_S):
                while not hosts[0].seen:
                    assert (await client.ask("/keyed")).status == 200
            assert (await line.server("h0"))["state"] == "ready"
            assert time.time() * 1000 >= done["until_ms"]

    asyncio.run(scene())


def test_drains_live_through_a_kill_and_an_unreadable_file_is_said_loudly() -> None:
    async def scene() -> None:
        hosts = await fleet(2)
        async with boxed(hosts) as (box, proxy, discovery):
            line = await box.line()
            assert (await line.result("drain", server="h0"))["saved"]
            proxy.process.kill()
            await proxy.ended()
            async with running(discovery, hosts, environ=box.environ) as second:
                assert (await (await box.line()).server("h0"))["state"] == "drained"
                client = await second.client()
                for _ in range(8):
                    assert (await client.ask("/keyed")).status == 200
                assert not hosts[0].seen
                second.process.kill()
                await second.ended()
            (box.state / "drains").write_bytes((box.state / "drains").read_bytes()[:-1])
            async with running(discovery, hosts, environ=box.environ) as third:
                await third.logged("could not be read")
                line = await box.line()
                assert (await line.server("h0"))["state"] == "ready"
                assert any("unreadable" in text for text in (await line.result("status"))["alarms"])

    asyncio.run(scene())


def test_events_are_followed() -> None:
    async def scene() -> None:
        hosts = await fleet(2)
        async with boxed(hosts) as (box, _, discovery):
            follower, line = await box.line(), await box.line()
            assert (await follower.ask("events", follow=True))["ok"]
            await line.result("drain", server="h0")
            event = (await follower.read())["event"]
            assert (event["command"], event["server"]) == ("drain", "h0")
            await discovery.change(hosts[1].entry("leaving"))
            event = (await follower.read())["event"]
            assert (event["kind"], event["server"], event["after"]) == ("roster", "h1", "leaving")

    asyncio.run(scene())


# Bad peers


async def serve_while(box_line: Line, proxy_client: object, ask: int = 20) -> None:
    """Requests and commands are answered as ever."""
    for _ in range(ask):
        assert (await proxy_client.ask("/keyed")).status == 200  # type: ignore[attr-defined]
    assert (await box_line.ask("status"))["ok"]


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
def test_garbage_costs_its_connection_and_no_request(data: bytes, bye: str | None) -> None:
    async def scene() -> None:
        async with boxed(await fleet(2)) as (box, proxy, _):
            line, client, bad = await box.line(), await proxy.client(), await box.line()

            async def send() -> None:
                try:
                    bad.writer.write(data)
                    await bad.writer.drain()
                except ConnectionError:
                    pass

            sending = asyncio.create_task(send())
            await serve_while(line, client)
            if bye is None:
                assert (await bad.read())["error"]["code"] == "bad_line"
                bad.last_id = 5
                assert (await bad.ask("status"))["ok"]  # one bad line is forgiven
            else:
                told = await bad.read()
                while told and "bye" not in told:
                    told = await bad.read()
                assert told == {} or told["bye"] == bye  # a reset may overtake the last word
                await sending
            await serve_while(line, client)

    asyncio.run(scene())


def test_half_a_line_is_given_up(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setattr(control, "UNFINISHED_S", 0.2)

    async def scene() -> None:
        server = Server("n", "b", tmp_path / "c" / "s", Commands(), Events(lambda: 0.0), 4, 65536)
        server.listen()
        reader, writer = await asyncio.open_unix_connection(str(server.path))
        await reader.readline()
        line = Line(reader, writer)

        async def dribble() -> None:  # a byte now and then does not prolong it
            while not reader.at_eof():
                writer.write(b"x")
                await asyncio.sleep(0.02)

        task = asyncio.create_task(dribble())
        assert (await line.read())["bye"] == "unfinished"
        task.cancel()
        server.close()

    asyncio.run(scene())


def test_thousand_connects_take_up_no_request_and_no_descriptor() -> None:
    async def scene() -> None:
        async with boxed(await fleet(2), control="clients = 4") as (box, proxy, _):
            line, client = await box.line(), await proxy.client()
            loop = asyncio.get_running_loop()

            def flood() -> int:
                told = 0
                kept = []
                for _ in range(1000):
                    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
                    sock.connect(str(box.socket))  # blocking: it waits while the backlog is full
                    sock.settimeout(LONG_S)
                    kept.append(sock)
                    if len(kept) > 100:
                        kept.pop(0).close()
                for sock in kept[10:]:
                    told += b"too_many" in sock.recv(4096)
                    sock.close()
                return told

            flooding = loop.run_in_executor(None, flood)
            most = 0
            while not flooding.done():
                await serve_while(line, client, 5)
                most = max(most, len(os.listdir(f"/proc/{proxy.process.pid}/fd")))
            assert (await flooding) >= 80  # all but those that found a place were told why not
            assert most < 60
            await serve_while(line, client)

    asyncio.run(scene())


def test_slow_reader_is_dropped_and_told_why_and_holds_up_nobody(tmp_path: Path) -> None:
    def much(who: Operator, told: object) -> Json:
        return {"x": "y" * 4000}

    async def scene() -> None:
        commands, events = Commands(), Events(lambda: 0.0)
        arguments = (Argument("follow", bool, "x", default=False),)
        commands.add(Command("events", "x", much, arguments))
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
        while events.followers and count < 10_000:  # nobody reads
            events.add("module", {"text": "z" * 1000})
            count += 1
            if server.dismissed:
                break
        assert server.dismissed == 1 and count < 400
        got = b""
        async with asyncio.timeout(LONG_S):
            while data := await loop.sock_recv(sock, 65536):
                got += data
        assert json.loads(got.splitlines()[-1])["bye"] == "slow_reader"
        async with asyncio.timeout(LONG_S):
            while server.clients:
                await asyncio.sleep(0.01)
        assert not events.followers
        sock.close()
        server.close()

    asyncio.run(scene())


def test_script_that_asks_without_pause_is_held_to_its_rate(tmp_path: Path) -> None:
    async def scene() -> None:
        commands = Commands()
        commands.add(Command("status", "x", lambda who, told: {}))
        server = Server("n", "b", tmp_path / "c" / "s", commands, Events(lambda: 0.0), 4, 65536)
        server.listen()
        reader, writer = await asyncio.open_unix_connection(str(server.path))
        line = Line(reader, writer)
        await line.read()
        begun = time.monotonic()
        count = int(control.BURST) + 10
        for _ in range(count):
            await line.ask("status")
        assert time.monotonic() - begun > 9 / control.RATE_PER_S
        server.close()

    asyncio.run(scene())


def test_leaving_proxy_says_so_and_takes_its_socket_away() -> None:
    async def scene() -> None:
        async with boxed(await fleet(1)) as (box, proxy, _):
            line = await box.line()
            proxy.process.terminate()
            assert (await line.read())["bye"] == "ending"
            assert await proxy.ended() == 0
            assert not box.socket.exists()

    asyncio.run(scene())


# ctl


def test_ctl_exits_by_what_came_of_it() -> None:
    async def scene() -> None:
        async with boxed(await fleet(2)) as (box, proxy, _):
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

    asyncio.run(scene())
