"""The operators' `[vrrp]` table to a `Box`."""

from __future__ import annotations

import time
from collections.abc import Callable
from ipaddress import ip_address

from cloverrouter.proxy.config import read_address
from cloverrouter.rights import Terms
from cloverrouter.site.settings import Vrrp, secret_of
from cloverrouter.vrrp.pair import Shape
from cloverrouter.vrrp.shell import Box


def make_box(
    vrrp: Vrrp,
    changed: Callable[[bool], None],
    event: Callable[[str], None],
    alarm: Callable[[str, str | None], None],
) -> Box:
    """Raises OSError or ValueError for a secret that can't be used."""
    weights = {vrrp.name: vrrp.weight, vrrp.peer: vrrp.peer_weight}
    addresses = {vrrp.peer: read_address(vrrp.peer_address)}
    if vrrp.witness:
        weights[vrrp.witness] = 1
        addresses[vrrp.witness] = read_address(vrrp.witness_address)
    shape = Shape(
        vrrp.name,
        vrrp.peer,
        weights,
        vrrp.priority,
        vrrp.interval_cs,
        ip_address(read_address(vrrp.listen)[0]),
        vrrp.preempt,
        Terms(promise_ms=float(vrrp.promise_ms)),
    )
    # A later figure with each start, as far as the clock goes; voters mend it where it does not.
    life = time.time_ns() // 1_000_000
    virtual = tuple(ip_address(address) for address in vrrp.addresses)
    return Box(shape, life, addresses, vrrp.vrid, virtual, secret_of(vrrp.secret_file), changed, event, alarm)
