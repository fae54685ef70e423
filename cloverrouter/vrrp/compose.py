"""Construction of a `VrrpNode` from the operators' `[vrrp]` settings."""

from __future__ import annotations

import time
from collections.abc import Callable
from ipaddress import ip_address

from cloverrouter.proxy.config import read_address
from cloverrouter.rights import LeaseTerms
from cloverrouter.site.settings import Vrrp, secret_of
from cloverrouter.vrrp.pair import PairConfig
from cloverrouter.vrrp.shell import VrrpNode


def make_vrrp_node(
    vrrp: Vrrp,
    on_accepting_change: Callable[[bool], None],
    event: Callable[[str], None],
    alarm: Callable[[str, str | None], None],
) -> VrrpNode:
    """Build the node. Raises OSError or ValueError if the secret file is unreadable or invalid."""
    weights = {vrrp.name: vrrp.weight, vrrp.peer: vrrp.peer_weight}
    addresses = {vrrp.peer: read_address(vrrp.peer_address)}
    if vrrp.witness:
        weights[vrrp.witness] = 1
        addresses[vrrp.witness] = read_address(vrrp.witness_address)
    config = PairConfig(
        vrrp.name,
        vrrp.peer,
        weights,
        vrrp.priority,
        vrrp.interval_cs,
        ip_address(read_address(vrrp.listen)[0]),
        vrrp.preempt,
        LeaseTerms(promise_ms=float(vrrp.promise_ms)),
    )
    # Higher with each start unless the clock was set back; voters then answer `Stale`, which corrects it.
    life = time.time_ns() // 1_000_000
    virtual_addresses = tuple(ip_address(address) for address in vrrp.addresses)
    return VrrpNode(
        config,
        life,
        addresses,
        vrrp.vrid,
        virtual_addresses,
        secret_of(vrrp.secret_file),
        on_accepting_change,
        event,
        alarm,
    )
