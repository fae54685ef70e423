"""The witness program: the third voter of a pair, on any machine that both nodes can reach.

    python -m cloverrouter witness --listen 10.0.0.3:8112 --name w --box a=10.0.0.1:8112 --box b=10.0.0.2:8112

It stores nothing: after a start it withholds its vote until any grant from before has expired.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
import time
from collections.abc import Mapping
from pathlib import Path

from cloverrouter.post import SocketAddress
from cloverrouter.proxy.config import read_address
from cloverrouter.rights import LeaseTerms
from cloverrouter.vrrp.shell import Witness

log = logging.getLogger(__name__)


async def serve(
    listen: SocketAddress,
    name: str,
    nodes: Mapping[str, SocketAddress],
    terms: LeaseTerms,
    secret: bytes | None,
) -> None:
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    witness = Witness(name, time.time_ns() // 1_000_000, nodes, terms, secret)
    await witness.open(listen)
    log.info("witness %s listens at %s:%d", name, *listen)
    await stop.wait()
    witness.close()


def main(listen: str, name: str, nodes: list[str], promise_ms: float, secret_file: str | None) -> int:
    """Run the witness; return the exit code: 0 after SIGTERM or SIGINT, 2 for invalid arguments."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    try:
        addresses = {}
        for text in nodes:
            node, equals_sign, address = text.partition("=")
            if not equals_sign or not node:
                raise ValueError(f"{text!r}: a box is given as name=address:port")
            addresses[node] = read_address(address)
        if len(addresses) != 2:
            raise ValueError("a pair has two boxes: give --box twice, with two names")
        secret = Path(secret_file).read_bytes().strip() if secret_file else None
        if secret is not None and len(secret) < 16:
            raise ValueError(f"{secret_file}: a secret has at least 16 bytes")
        asyncio.run(serve(read_address(listen), name, addresses, LeaseTerms(promise_ms=promise_ms), secret))
    except (ValueError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0
