"""An operator takes one host out, and then each other host out and back. Does the first one stay out?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import common
from common import Discovery, Host, Proxy, Record, Request, answer_bytes, read_message, request_bytes

HOSTS = 1010  # of at most 3,200
CLIENTS, OPERATORS = 20, 3
GRACE_MS = 1000.0 + 50.0  # from the yes on
ROLLING_S, WATCHED_S, UNDISTURBED_S = 75.0, 25.0, 45.0


async def case(record: Record, folder: Path, trouble: bool, proxies: list[Proxy]) -> int:
    loop, rng = asyncio.get_running_loop(), random.Random(1)

    async def serve(host: Host, request: Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(rng.uniform(0.034, 0.061))
        writer.write(answer_bytes(200, b"an extract"))

    hosts = [Host(f"s-{i:04d}", record, serve) for i in range(HOSTS)]
    for host in hosts:
        await host.start()
    discovery = Discovery(record, hosts)
    await discovery.start()
    classes = [common.request_class("extract-issue", "retryable", 1200.0, 500.0)]
    address = f"127.0.0.1:{discovery.address[1]}"
    proxy = Proxy(record, folder, {"discovery": address, "settings": common.settings(classes)})
    proxy.fields["management"] = f"127.0.0.1:{proxy.management[1]}"
    proxies.append(proxy)
    await proxy.start()

    async def client(number: int) -> None:
        count, connection = 0, None
        while True:
            await asyncio.sleep(0.05)
            try:
                if connection is None:
                    connection = await asyncio.open_connection(*proxy.address)
                fields = {"X-Request-ID": f"{number:04x}{count:012x}", "X-Timeout-Ms": "1200"}
                count += 1
                connection[1].write(request_bytes("GET", f"/extract-issue?obj={count}", fields, b""))
                _, head, _ = await asyncio.wait_for(read_message(connection[0]), 3.0)
                if head.get("connection") != "close":
                    continue
            except (OSError, EOFError, TimeoutError):
                pass
            if connection is not None:
                connection[1].close()
            connection = None

    async def operate(name: str, word: str) -> None:
        for _ in range(5):
            try:
                status, _ = await common.call(proxy.management, "PUT", f"/hosts/{name}/{word}", {}, b"", 5.0)
                break
            except (OSError, EOFError, TimeoutError) as error:
                record("operator_call_failed", host=name, call=word, why=type(error).__name__)
        else:
            raise common.CannotRun("an operator's call was not answered")
        record("operator", call=word, host=name, status=status)
        if status != 200:
            raise common.CannotRun(f"{word} of {name}: {status}")

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(3.0)
    used = [host for host in hosts if len(host.requests) >= 2]
    if not used:
        raise common.CannotRun("no host was used")
    target = max(used, key=lambda host: len(host.requests))
    await operate(target.name, "maint")
    out_ms = record("out", host=target.name, requests_before=len(target.requests))

    def broken() -> bool:
        return bool(target.requests) and target.requests[-1][0] > out_ms + GRACE_MS

    others = iter([host.name for host in hosts if host is not target])
    rolled = 0

    async def roll() -> None:
        nonlocal rolled
        for name in others:
            if broken() or loop.time() > until:
                return
            await operate(name, "maint")
            await operate(name, "ready")
            rolled += 1

    until = loop.time() + ROLLING_S
    if trouble:
        await asyncio.gather(*(roll() for _ in range(OPERATORS)))
    watched = loop.time() + (WATCHED_S if trouble else UNDISTURBED_S)
    await asyncio.sleep(watched - loop.time())
    for task in clients:
        task.cancel()
    for host in hosts:
        await host.stop()
    late = [at for at, _ in target.requests if at > out_ms + GRACE_MS]
    for at in late:
        record("SENT_TO_A_HOST_THAT_IS_OUT", host=target.name, ms_after_the_yes=round(at - out_ms))
    summary = f"others_out_and_back={rolled} late_sends={len(late)}"
    print(summary)
    record("summary", text=summary)
    if trouble and not late and rolled < HOSTS - 1:
        raise common.CannotRun(f"the operators were slow: {rolled} hosts in {ROLLING_S:g} s")
    return common.BROKEN if late or not proxy.alive() else common.HELD


common.play(case, __file__)
