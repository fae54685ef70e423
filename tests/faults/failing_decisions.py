"""Start the proxy with decisions that raise an error at a request of the class `safe`.

If `PROXY_FAILS_AT` is `list`, they raise it at the first list of servers instead.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from typing import Any

from cloverrouter.decide import Balancer
from cloverrouter.interface import EndpointsListed, Event, RequestArrived
from cloverrouter.proxy.service import main

FAILS_AT_LIST = os.environ.get("PROXY_FAILS_AT") == "list"


def fails_at(event: Event) -> bool:
    if FAILS_AT_LIST:
        return isinstance(event, EndpointsListed)
    return isinstance(event, RequestArrived) and event.class_name == "safe"


def install() -> None:
    original_handle = Balancer.handle

    def handle(self: Balancer, now_ms: float, events: Sequence[Event]) -> Any:
        if any(fails_at(event) for event in events):
            raise RuntimeError("made to fail")
        return original_handle(self, now_ms, events)

    Balancer.handle = handle  # type: ignore[method-assign]


if __name__ == "__main__":
    install()
    sys.exit(main())
