"""The log's reader may stop, close the pipe or resume: the proxy still serves and exits with status 0."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import IO

import pytest

from cloverrouter.lab.peers import SETTINGS, Client, Discovery, Host
from cloverrouter.lab.process import LONG_S, ROOT, own_address
from cloverrouter.proxy.logs import LogHandler, Output
from cloverrouter.proxy.recorder import MAX_STEPS, Recorder

PIPE_BYTES = 65536


class ProxyProcess:
    """A proxy process whose standard error is `target`."""

    def __init__(self, folder: Path, target: IO[bytes] | int, discovery: Discovery, host: Host) -> None:
        discovery.entries = {host.name: host.entry()}
        self.address = own_address()
        fields = {
            "name": "n0",
            "listen": self.address,
            "discovery": f"127.0.0.1:{discovery.port}",
            "limits": {"sockets": 256},
            "settings": SETTINGS,
            "known": discovery.listing(),
        }
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(fields))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cloverrouter.proxy"],
            env={**os.environ, "PROXY_CONFIG": str(self.config), "PYTHONPATH": str(ROOT)},
            stdin=subprocess.DEVNULL,
            stderr=target,
        )

    async def client(self) -> Client:
        host, _, port = self.address.rpartition(":")
        until_s = time.monotonic() + LONG_S
        while True:
            try:
                return Client(*await asyncio.open_connection(host, int(port)))
            except ConnectionRefusedError:
                assert time.monotonic() < until_s and self.process.poll() is None
                await asyncio.sleep(0.02)

    async def serves(self) -> None:
        client = await self.client()
        async with asyncio.timeout(10):
            assert (await client.ask("/unsafe")).status == 200
        client.writer.close()

    async def log_much(self) -> None:
        """Log more than fits into a pipe: each SIGHUP with a bad file logs a line or two."""
        self.config.write_text("x" * 10)
        for _ in range(1200):
            self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.001)

    async def end(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return await asyncio.get_running_loop().run_in_executor(None, self.process.wait, LONG_S)


@asynccontextmanager
async def piped(folder: Path, target: IO[bytes] | int) -> AsyncIterator[ProxyProcess]:
    host, discovery = await Host("h0").start(), await Discovery().start()
    proxy = ProxyProcess(folder, target, discovery, host)
    try:
        yield proxy
    finally:
        if proxy.process.poll() is None:
            proxy.process.kill()
            proxy.process.wait()


def pipe() -> tuple[int, int]:
    return os.pipe()


def stream() -> tuple[int, int]:
    reader, writer = socket.socketpair()
    return reader.detach(), writer.detach()


@pytest.mark.parametrize("pair", [pipe, stream])
def test_reader_that_stops_does_not_block_requests(
    pair: Callable[[], tuple[int, int]], tmp_path: Path
) -> None:
    async def scene() -> None:
        reads, writes = pair()
        async with piped(tmp_path, writes) as proxy:
            os.close(writes)
            await proxy.serves()
            await proxy.log_much()
            await proxy.serves()
            os.set_blocking(reads, False)
            received = b""
            while len(received) < 20_000:  # the reader resumes; the dropped lines are reported
                received += os.read(reads, PIPE_BYTES)
            await proxy.log_much()
            with pytest.raises(BlockingIOError):
                while True:
                    received += os.read(reads, PIPE_BYTES)
            assert b" log lines were dropped: nobody read them\n" in received
            assert all(b"cloverrouter" in line or b"dropped" in line for line in received.splitlines())
            assert await proxy.end() == 0
        os.close(reads)

    asyncio.run(scene())


@pytest.mark.parametrize("pair", [pipe, stream])
def test_closed_reader_changes_neither_service_nor_exit_code(
    pair: Callable[[], tuple[int, int]], tmp_path: Path
) -> None:
    async def scene() -> None:
        reads, writes = pair()
        async with piped(tmp_path, writes) as proxy:
            os.close(writes)
            await proxy.serves()
            os.close(reads)
            await proxy.log_much()
            await proxy.serves()
            assert await proxy.end() == 0

    asyncio.run(scene())


def test_log_file_is_appended_to(tmp_path: Path) -> None:
    """A reopened file would be overwritten from its start."""
    path = tmp_path / "log"
    path.write_bytes(b"former line\n")
    with path.open("ab") as file:
        output = Output(file.fileno())
        assert output.write(b"line\n")
    assert path.read_bytes() == b"former line\nline\n"


def test_record_that_can_not_be_formatted_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "log"
    with path.open("ab") as file:
        handler = LogHandler(Output(file.fileno()))
        handler.emit(logging.makeLogRecord({"msg": "%d", "args": ("x",)}))
        handler.emit(logging.makeLogRecord({"msg": "\ud800 half"}))
    lines = path.read_text().splitlines()
    assert (
        lines[0].startswith("a log record could not be formatted: TypeError") and lines[1] == "\\ud800 half"
    )


def test_long_line_is_written_completely(tmp_path: Path) -> None:
    reads, writes = os.pipe()
    output = Output(writes)
    assert output.write(b"x" * 40_000 + b"\n")
    assert os.read(reads, PIPE_BYTES) == b"x" * 40_000 + b"\n"
    assert not output.write(b"y" * 2 * PIPE_BYTES)
    output.close()
    os.close(writes)
    os.close(reads)


def test_recorder_keeps_the_last_steps_and_writes_them_in_order(caplog: pytest.LogCaptureFixture) -> None:
    recorder = Recorder()
    for i in range(MAX_STEPS + 5):
        recorder.record("sent", b"r%d" % i, "s1")
    recorder.write(2)
    assert len(recorder.steps) == MAX_STEPS
    texts = [record.getMessage().split(" ", 2)[2] for record in caplog.records]
    assert texts == [f"event=sent subject=r{i} detail=s1" for i in (MAX_STEPS + 3, MAX_STEPS + 4)]
